/* What workers report: what runs, what ended, and what must be true then.
 *
 * An end is taken in once by its number, and counted once by its attempt: a
 * successor finds ends again that its predecessor had recorded but could not
 * acknowledge any more. */
#include "internal/pool-crash.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "fb-histogram.h"

/* The same while an end waits for its job to be read from the store. */
#define UNREAD_PAUSE_MS 100
/* Looks that find unacknowledged ends return at once; this is their pause.  It shows when
 * records take long: other ends at the worker are heard that much later, and a job has
 * 250 ms to spare; 35 workers cost 300 looks a second meanwhile. */
#define LOOK_PAUSE_MS 120

/* Ends that a worker lists in one answer; those behind them are listed once these are
 * acknowledged. */
#define ENDS_LISTED 500

static const char *const end_names[] = { "done", "failed", "stopped", "lapsed", "broken", "alone" };

void
fb_pool_report_set_limits (FbPoolLimits *limits)
{
  if (limits->max_reported_ends == 0)
    limits->max_reported_ends = ENDS_LISTED;
}

void
fb_pool_fenced (FbPool *self, const FbPoolWorker *worker)
{
  if (self->fenced)
    return;
  self->fenced = TRUE;
  self->sink->fenced (self->user, worker != NULL ? worker->id : "");
}

void
fb_pool_job_changed (FbPool *self, FbPoolJob *job)
{
  g_hash_table_add (self->dirty, job);
  self->place_due = TRUE;
}

/* ---- stopping ----------------------------------------------------------------- */

static void
stop_run (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms)
{
  run->abandoned = TRUE;
  if (run->state != FB_RUN_STOPPING)
    fb_pool_order_stop (self, worker, run, now_ms);
}

typedef gboolean (*RunFilter) (const FbPoolRun *run, gconstpointer of);

static gboolean
is_of_job (const FbPoolRun *run, gconstpointer job)
{
  return run->step != NULL && run->step->job == job;
}

static gboolean
is_of_step (const FbPoolRun *run, gconstpointer step)
{
  return run->step == step;
}

static gboolean
is_of_task (const FbPoolRun *run, gconstpointer task)
{
  return run->step != NULL && &run->step->tasks[run->index] == task;
}

static void
stop_all (FbPool *self, RunFilter filter, gconstpointer of, uint64_t now_ms)
{
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      GHashTableIter runs;
      gpointer run;
      g_hash_table_iter_init (&runs, worker->runs);
      while (g_hash_table_iter_next (&runs, NULL, &run))
        {
          if (filter (run, of))
            stop_run (self, worker, run, now_ms);
        }
    }
}

/* Failure: a member of a gang is refused or lost; the others hold their room,
 * wait for it and end alone.  Guard: they are stopped at once, and the gang starts
 * again under a new attempt when none of them is left. */
void
fb_pool_stop_gang (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  if (step->gang_broken)
    return;
  step->gang_broken = TRUE;
  fb_counter_add (FB_COUNTER_GANGS_BROKEN, 1);
  fb_event_log (FB_EVENT_GANG_BROKEN, "job=%s step=%u attempt=%u", step->job->id, step->index,
                step->gang_attempt);
  stop_all (self, is_of_step, step, now_ms);
}

static void
release_holds (FbPool *self, FbPoolJob *job)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
      for (guint j = 0; j < job->record.spec.steps.steps_len; j++)
        g_ptr_array_unref (fb_pool_release_reservation (self, &occurrence->steps[j]));
    }
}

void
fb_pool_job_end (FbPool *self, FbPoolJob *job, fb_work_state state, uint64_t now_ms,
                 uint64_t wall_ms)
{
  if (!fb_pool_job_ended (job))
    {
      fb_histogram_add (FB_HISTOGRAM_JOB_TIME, now_ms - job->admitted_ms);
      job->state = state;
      job->ended_wall_ms = wall_ms;
      fb_pool_job_changed (self, job);
    }
  g_hash_table_remove (self->active, job);
  g_hash_table_remove (self->timed, job);
  g_hash_table_remove (self->chained, job);
  g_hash_table_add (self->ended, job);
  fb_pool_crash_forget (self, job);
  release_holds (self, job);
  fb_event_log (FB_EVENT_JOB_OVER, "job=%s queue=%s state=%d age_ms=%" G_GUINT64_FORMAT, job->id,
                job->record.policy.queue, job->state, now_ms - job->admitted_ms);
  /* What still runs of a completed job are members of a gang that end by themselves. */
  if (job->state != FB_WORK_COMPLETED)
    stop_all (self, is_of_job, job, now_ms);
}

/* ---- ends ---------------------------------------------------------------------- */

/* What runs on of a task that may have copies has lost; members of a gang end together. */
static void
task_done (FbPool *self, FbPoolStep *step, uint32_t index, uint64_t now_ms)
{
  FbPoolTask *task = &step->tasks[index];
  if (task->done || step->shape->long_running)
    return;
  task->done = TRUE;
  step->done_n++;
  if (task->run != NULL && task->run->state != FB_RUN_STOPPING)
    task->run->abandoned = TRUE;
  if (step->shape->speculative)
    stop_all (self, is_of_task, task, now_ms);
}

static void
count_failure (FbPool *self, FbPoolStep *step, uint32_t index, const FbReportedEnd *end,
               uint64_t now_ms, uint64_t wall_ms)
{
  /* A gang fails as one: its first task keeps the count. */
  FbPoolTask *task = &step->tasks[step->shape->gang ? 0 : index];
  if (step->shape->long_running || task->done || !fb_pool_task_count_failed (task, end->attempt))
    return;
  fb_pool_job_changed (self, step->job);
  if (fb_pool_task_failed_n (task) >= step->job->record.policy.max_attempts)
    fb_pool_job_end (self, step->job, FB_WORK_FAILED, now_ms, wall_ms);
}

static void
judge_worker (FbPoolWorker *worker, const FbPoolStep *step, FbEndReason how, uint64_t now_ms)
{
  if (how == FB_END_DONE)
    {
      worker->failure_streak = 0;
      worker->throttled_until_ms = 0;
    }
  else if (how == FB_END_FAILED && g_strcmp0 (worker->last_failed_job, step->job->id) != 0)
    {
      worker->failure_streak++;
      fb_pool_worker_throttle (worker, now_ms);
      g_free (worker->last_failed_job);
      worker->last_failed_job = g_strdup (step->job->id);
    }
}

static void
take_time (FbPoolWorker *worker, const FbPoolRun *run, uint64_t now_ms)
{
  FbPoolStep *step = run->step;
  uint32_t took_ms = (uint32_t) (now_ms - run->started_ms);
  step->timed_n++;
  step->timed_ms += took_ms;
  /* Members of a gang end together, whatever their workers are. */
  if (run->from_start && !step->shape->gang)
    fb_pool_speed_note (&step->tasks[run->index], worker->speed, took_ms);
}

static void
end_of_task (FbPool *self, FbPoolWorker *worker, FbPoolStep *step, uint32_t index,
             const FbReportedEnd *end, uint64_t now_ms, uint64_t wall_ms)
{
  FbPoolTask *task = &step->tasks[index];
  FbPoolRun *run = g_hash_table_lookup (worker->runs, end->task);
  fb_pool_task_set_checkpoint (step, index, end->checkpoint);
  task->attempt = MAX (task->attempt, end->attempt);
  step->gang_attempt = MAX (step->gang_attempt, end->attempt);
  step->job->started = TRUE;
  judge_worker (worker, step, end->how, now_ms);
  fb_pool_crash_task_ended (self, worker, step, index, end->how);
  if (run != NULL && run->step == step && run->attempt == end->attempt && end->how == FB_END_DONE)
    take_time (worker, run, now_ms);
  if (run != NULL && run->attempt <= end->attempt)
    fb_pool_run_ended (self, worker, run, end_names[end->how], now_ms);
  if (task->run == NULL)
    fb_pool_long_running_ended (step, index, end_names[end->how], now_ms);
  if (fb_pool_job_ended (step->job))
    return;
  if (end->how == FB_END_DONE && step->shape->gang)
    {
      for (uint32_t i = 0; i < step->shape->count; i++)
        task_done (self, step, i, now_ms);
    }
  else if (end->how == FB_END_DONE)
    task_done (self, step, index, now_ms);
  else if (end->how == FB_END_FAILED)
    count_failure (self, step, index, end, now_ms, wall_ms);
  if (step->shape->gang && end->how != FB_END_DONE && end->attempt == step->gang_attempt
      && !fb_pool_step_done (step) && !fb_pool_job_ended (step->job))
    fb_pool_stop_gang (self, step, now_ms);
  if (end->how == FB_END_DONE)
    {
      if (fb_pool_step_done (step))
        fb_pool_speed_learn (step);
      fb_pool_job_changed (self, step->job);
      if (fb_pool_job_release (self, step->job, wall_ms))
        fb_pool_job_end (self, step->job, FB_WORK_COMPLETED, now_ms, wall_ms);
    }
}

static void
take_end (FbPool *self, FbPoolWorker *worker, const FbReportedEnd *end, uint64_t now_ms,
          uint64_t wall_ms)
{
  uint32_t index = 0;
  FbPoolStep *step = fb_pool_find_task (self, end->task, &index);
  fb_event_log (FB_EVENT_TASK_ENDED, "task=%s attempt=%u worker=%s how=%s known=%d number=%u",
                end->task, end->attempt, worker->id, end_names[end->how], step != NULL,
                (guint) end->number);
  static const FbCounter counters[] = {
    [FB_END_DONE] = FB_COUNTER_TASKS_DONE,         [FB_END_FAILED] = FB_COUNTER_TASKS_FAILED,
    [FB_END_STOPPED] = FB_COUNTER_TASKS_OTHER,     [FB_END_LEASE_EXPIRED] = FB_COUNTER_TASKS_OTHER,
    [FB_END_GANG_BROKEN] = FB_COUNTER_TASKS_OTHER, [FB_END_GANG_TIMEOUT] = FB_COUNTER_TASKS_OTHER
  };
  fb_counter_add (counters[end->how], 1);
  if (step != NULL)
    {
      end_of_task (self, worker, step, index, end, now_ms, wall_ms);
      return;
    }
  FbPoolRun *run = g_hash_table_lookup (worker->runs, end->task);
  if (run != NULL && run->attempt <= end->attempt)
    fb_pool_run_ended (self, worker, run, end_names[end->how], now_ms);
}

/* ---- what runs ------------------------------------------------------------------ */

/* Gives a run that is of STEP to its task, or stops it. */
static void
settle_run (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms)
{
  FbPoolStep *step = run->step;
  FbPoolTask *task = &step->tasks[run->index];
  gboolean wanted = !task->done && !fb_pool_job_ended (step->job);
  if (wanted && task->run != NULL && task->run != run)
    wanted = step->shape->speculative ? task->copy == NULL : task->run->attempt <= run->attempt;
  fb_event_log (FB_EVENT_RUN_ADOPTED, "task=%s attempt=%u worker=%s wanted=%d", run->name,
                run->attempt, worker->id, wanted);
  if (!wanted)
    {
      stop_run (self, worker, run, now_ms);
      return;
    }
  if (task->run == NULL || step->shape->speculative)
    fb_pool_task_attach_run (task, run);
  task->attempt = MAX (task->attempt, run->attempt);
  step->gang_attempt = MAX (step->gang_attempt, run->attempt);
  step->job->started = TRUE;
  if (step->job->state == FB_WORK_QUEUED)
    step->job->state = FB_WORK_RUNNING;
}

/* A run that this owner did not order: a predecessor did. */
static FbPoolRun *
adopt (FbPool *self, FbPoolWorker *worker, const FbReportedRun *seen, uint64_t now_ms)
{
  uint32_t index = 0;
  FbPoolStep *step = fb_pool_find_task (self, seen->task, &index);
  FbPoolRun *run = fb_pool_worker_add_run (worker, step, index, seen->task, seen->attempt);
  run->state = FB_RUN_RUNNING;
  run->started_ms = now_ms;
  run->seen_ms = now_ms;
  fb_pool_restart_found (self, worker, run, now_ms);
  if (step != NULL)
    settle_run (self, worker, run, now_ms);
  else
    fb_event_log (FB_EVENT_RUN_ADOPTED, "task=%s attempt=%u worker=%s job not known", seen->task,
                  seen->attempt, worker->id);
  return run;
}

/* Failure: the owner before was told of a job directly and started it; this one finds
 * the run before it has read the job.  Taken for a stray it would be stopped, and the
 * job, once read, started a second time meanwhile.  Guard: a run of no known job keeps
 * its worker to itself until the job is read, or certainly does not exist. */
void
fb_pool_adopt_runs (FbPool *self, const FbPoolJob *job)
{
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      /* Only a run without a step can be of a job that was not known. */
      if (worker->unknown_runs_n == 0)
        continue;
      g_autoptr (GList) runs = g_hash_table_get_values (worker->runs);
      for (GList *l = runs; l != NULL; l = l->next)
        {
          FbPoolRun *run = l->data;
          uint32_t index = 0;
          if (run->step != NULL || !g_str_has_prefix (run->name, job->id))
            continue;
          FbPoolStep *step = fb_pool_find_task (self, run->name, &index);
          if (step == NULL)
            continue;
          fb_pool_worker_charge (worker, run, -1);
          run->step = step;
          run->index = index;
          fb_pool_worker_charge (worker, run, 1);
          settle_run (self, worker, run, run->started_ms);
        }
    }
}

void
fb_pool_stop_orphans (FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  if (worker->unknown_runs_n == 0)
    return;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolRun *run = value;
      if (run->step == NULL && run->state != FB_RUN_STOPPING
          && (self->jobs_read_ms > run->seen_ms || fb_pool_find_job (self, run->name) != NULL))
        stop_run (self, worker, run, now_ms);
    }
}

static void
take_running (FbPool *self, FbPoolWorker *worker, const FbReportedRun *seen, uint64_t clock_ms,
              uint64_t now_ms)
{
  FbPoolRun *run = g_hash_table_lookup (worker->runs, seen->task);
  /* What is listed has been started since. */
  if (run != NULL && run->transferred_ms != 0 && run->attempt < seen->attempt)
    {
      fb_pool_run_ended (self, worker, run, "superseded", now_ms);
      run = NULL;
    }
  if (run == NULL)
    run = adopt (self, worker, seen, now_ms);
  if (run->attempt != seen->attempt)
    return;
  run->seen_clock_ms = MAX (run->seen_clock_ms, clock_ms);
  run->listed_ms = now_ms;
  fb_pool_restart_listed (self, worker, run, now_ms);
  fb_pool_crash_task_seen (self, worker, run);
  if (run->state == FB_RUN_STARTING)
    run->state = FB_RUN_RUNNING;
  if (run->step != NULL)
    fb_pool_task_set_checkpoint (run->step, run->index, seen->checkpoint);
}

/* TRUE when a look at CLOCK_MS that does not list RUN proves that it is over. */
static gboolean
absence_proves (const FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run,
                uint64_t clock_ms)
{
  if (run->transferred_ms != 0)
    return fb_pool_restart_is_over (self, worker, run, clock_ms);
  if (run->seen_clock_ms >= clock_ms)
    return FALSE;
  if (run->state == FB_RUN_STOPPING && run->stopped_clock_ms > 0)
    return clock_ms > run->stopped_clock_ms + self->limits.max_stop_ms;
  return run->seen_clock_ms > 0 || clock_ms > run->deadline_ms;
}

static void
drop_absent (FbPool *self, FbPoolWorker *worker, uint64_t clock_ms, uint64_t now_ms)
{
  g_autoptr (GList) runs = g_hash_table_get_values (worker->runs);
  for (GList *l = runs; l != NULL; l = l->next)
    {
      FbPoolRun *run = l->data;
      if (!absence_proves (self, worker, run, clock_ms))
        {
          if (run->transferred_ms != 0)
            fb_pool_restart_reject (self, worker, run, now_ms);
          continue;
        }
      FbPoolStep *step = run->step;
      fb_event_log (FB_EVENT_RUN_ABSENT, "task=%s attempt=%u worker=%s state=%d clock_ms=%u",
                    run->name, run->attempt, worker->id, run->state, (guint) clock_ms);
      if (step != NULL)
        fb_pool_crash_task_gone (self, worker, step, run->index);
      fb_pool_restart_count_crash (self, run, now_ms);
      fb_pool_run_ended (self, worker, run, "absent", now_ms);
      if (step != NULL && step->shape->gang && !fb_pool_step_done (step)
          && !fb_pool_job_ended (step->job))
        fb_pool_stop_gang (self, step, now_ms);
    }
}

/* TRUE while END is of a job that may yet be read from the store.  Once acknowledged it
 * would be gone, and the job, when it is read, would run again. */
static gboolean
is_unread (const FbPool *self, FbPoolWorker *worker, const FbReportedEnd *end, uint64_t now_ms)
{
  if (fb_pool_find_job (self, end->task) != NULL)
    return FALSE;
  if (worker->unknown_end != end->number)
    worker->unknown_end_ms = now_ms;
  worker->unknown_end = end->number;
  return self->jobs_read_ms <= worker->unknown_end_ms;
}

/* The record names what may still run on a worker that drains: once that is nothing, it is
 * written again. */
static void
note_if_emptied (FbPool *self, const FbPoolWorker *worker, guint runs_before)
{
  if (worker->draining && runs_before > 0 && g_hash_table_size (worker->runs) == 0)
    self->workers_dirty = TRUE;
}

/* The longest lease that WORKER may have at its first answer: by the owner before, or by a look at
 * its life before, whose deadline its clock may be far behind. */
static uint64_t
first_lease_ms (const FbPool *self, const FbPoolWorker *worker)
{
  return worker->misdirected_calls_since_ms != 0
             ? MAX (FB_POOL_LEASE_MS, self->limits.max_lease_ms + FB_POOL_DELAYED_CALL_MS)
             : FB_POOL_LEASE_MS;
}

/* What WORKER lists it has not forgotten: an answer to another look was taken for that to the one
 * that acknowledged. */
static void
acknowledge_again (FbPoolWorker *worker, const FbPollAnswer *answer)
{
  for (guint i = 0; i < answer->finished->len; i++)
    {
      uint64_t number = g_array_index (answer->finished, FbReportedEnd, i).number;
      if (number > 0 && number <= worker->told_acknowledged)
        worker->told_acknowledged = number - 1;
    }
}

static void
take_answer (FbPool *self, FbPoolWorker *worker, const FbPollAnswer *answer, uint64_t now_ms,
             uint64_t wall_ms)
{
  guint runs_before = g_hash_table_size (worker->runs);
  gboolean is_first = !worker->answered;
  if (!worker->answered)
    fb_event_log (FB_EVENT_POOL_WORKER_HEARD,
                  "worker=%s epoch=%" G_GUINT64_FORMAT " running=%u ends=%u", worker->id,
                  self->epoch, answer->running->len, answer->finished->len);
  if (!worker->answered)
    {
      /* The owner before may have given it a lease a moment ago, which covers what starts there. */
      worker->lease_ms = MAX (worker->lease_ms, answer->clock_ms + first_lease_ms (self, worker));
      fb_pool_worker_gained_capacity (self, worker);
      self->workers_dirty = self->workers_dirty || worker->draining;
    }
  fb_pool_restart_log_stale (worker, answer);
  acknowledge_again (worker, answer);
  fb_pool_unresolved_loss_resolve (self, worker->id, FALSE, now_ms);
  worker->answered = TRUE;
  worker->runs_ended = FALSE;
  fb_pool_incarnation_answered (self, worker, now_ms);
  worker->answered_poll_sent_ms = worker->poll_sent_ms;
  worker->last_answer_ms = now_ms;
  worker->clock_ms = answer->clock_ms;
  for (guint i = 0; i < answer->running->len; i++)
    take_running (self, worker, &g_array_index (answer->running, FbReportedRun, i),
                  answer->clock_ms, now_ms);
  if (is_first)
    fb_pool_unanswered_starts_reject (self, worker, now_ms);
  worker->has_unknown_end = FALSE;
  for (guint i = 0; i < answer->finished->len; i++)
    {
      const FbReportedEnd *end = &g_array_index (answer->finished, FbReportedEnd, i);
      if (end->number <= worker->seen_end)
        continue;
      worker->has_unknown_end = is_unread (self, worker, end, now_ms);
      if (worker->has_unknown_end)
        break;
      worker->seen_end = end->number;
      take_end (self, worker, end, now_ms, wall_ms);
    }
  if (answer->finished->len >= self->limits.max_reported_ends)
    worker->has_unknown_end = TRUE;
  /* What is not listed any more may be among the ends behind the unread one, or behind those that
   * one answer holds. */
  if (!worker->has_unknown_end)
    drop_absent (self, worker, answer->clock_ms, now_ms);
  note_if_emptied (self, worker, runs_before);
  if (worker->has_unknown_end)
    worker->next_poll_ms = now_ms + UNREAD_PAUSE_MS;
  else if (worker->acknowledged == worker->seen_end && fb_pool_may_poll_again (worker))
    fb_pool_order_poll (self, worker, now_ms);
}

/* Failure: a worker leaves while its pool changes hands; the successor knows it from the
 * record of the owner before and waits for its lease, 6 s with the whole pool idle (seen
 * when a worker left 1 s before).  Guard: a worker that a list read under this epoch lacks,
 * and whose host answers that nothing listens there, has left with all that ran on it.
 * Either alone is no proof: lists lose workers that live, and a cut may refuse connections. */
static gboolean
has_left (const FbPool *self, const FbPoolWorker *worker)
{
  return self->workers_complete && !worker->listed;
}

void
fb_pool_poll_answered (FbPool *self, const char *id, const FbPollAnswer *answer, uint64_t now_ms,
                       uint64_t wall_ms)
{
  FbPoolWorker *worker = g_hash_table_lookup (self->workers, id);
  if (worker == NULL)
    return;
  worker->poll_open = FALSE;
  if (answer->result == FB_ORDER_DONE)
    worker->told_acknowledged = MAX (worker->told_acknowledged, worker->acknowledging);
  if (worker->acknowledging != 0)
    fb_pool_worker_gained_capacity (self, worker);
  worker->acknowledging = 0;
  worker->poll_failed = answer->result != FB_ORDER_DONE;
  worker->next_poll_ms = !worker->answered && answer->result == FB_ORDER_UNKNOWN
                             ? fb_pool_first_poll_retry_ms (worker, now_ms)
                             : now_ms + LOOK_PAUSE_MS;
  if (answer->result == FB_ORDER_DONE && !worker->replaced)
    take_answer (self, worker, answer, now_ms, wall_ms);
  else if (answer->result == FB_ORDER_FENCED)
    fb_pool_fenced (self, worker);
  else if (answer->result == FB_ORDER_OTHER_INCARNATION && answer->incarnation != NULL)
    fb_pool_worker_restarted (self, worker, answer->incarnation, now_ms);
  else if (answer->result == FB_ORDER_OTHER_INCARNATION)
    fb_pool_worker_lost (self, worker, FB_LOSS_OTHER_INCARNATION, NULL, now_ms);
  else if (answer->result == FB_ORDER_NO_LISTENER && has_left (self, worker))
    fb_pool_worker_lost (self, worker, FB_LOSS_LEFT, NULL, now_ms);
}
