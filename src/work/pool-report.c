/* Handles what workers report: the runs they list and the ends of runs.
 *
 * Each end is processed once by its number and counted once by its attempt: a new owner receives
 * ends again that the previous owner had recorded but could no longer acknowledge. */
#include "internal/pool-account.h"
#include "internal/pool-crash.h"
#include "internal/pool-order.h"
#include "internal/pool-silence.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "fb-histogram.h"

/* Pause between polls while an end waits for its job to be read from the store. */
#define UNKNOWN_END_POLL_INTERVAL_MS 100
/* Pause between polls while ends are not acknowledged, since polls are then answered at once, or
 * after a poll has failed. When writes to the store are slow, other ends at the worker are seen
 * later by this pause, and short jobs have 250 ms to spare; 35 workers cost 300 polls a second
 * meanwhile. */
#define POLL_INTERVAL_MS 120

/* Maximum number of ends that a worker lists in one answer; later ends are listed once these are
 * acknowledged. */
#define MAX_REPORTED_ENDS 500

static const char *const end_names[] = { "done", "failed", "stopped", "lapsed", "broken", "alone" };

const char *
fb_pool_end_name (FbEndReason reason)
{
  return end_names[reason];
}

void
fb_pool_report_set_limits (FbPoolLimits *limits)
{
  if (limits->max_reported_ends == 0)
    limits->max_reported_ends = MAX_REPORTED_ENDS;
}

void
fb_pool_fenced (FbPool *self, const FbPoolWorker *worker)
{
  if (self->fenced)
    return;
  self->fenced = TRUE;
  self->callbacks->fenced (self->user, worker != NULL ? worker->id : "");
}

void
fb_pool_job_changed (FbPool *self, FbPoolJob *job)
{
  g_hash_table_add (self->dirty, job);
  self->round_due = TRUE;
}

/* ---- stopping runs ----------------------------------------------------------------- */

static void
stop_run (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms)
{
  run->abandoned = TRUE;
  if (run->state != FB_RUN_STOPPING)
    fb_pool_order_stop (self, worker, run, now_ms);
}

typedef gboolean (*RunFilter) (const FbPoolRun *run, gconstpointer object);

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

static gboolean
is_other_run_of_task (const FbPoolRun *run, gconstpointer data)
{
  const FbPoolRun *kept = data;
  return run->step == kept->step && run->index == kept->index && run != kept;
}

static void
stop_runs (FbPool *self, RunFilter filter, gconstpointer object, uint64_t now_ms)
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
          if (filter (run, object))
            stop_run (self, worker, run, now_ms);
        }
    }
}

/* When one member of a gang is refused or lost, the others would hold their resources, wait for it
 * and time out. So they are stopped at once, and the gang restarts under a new attempt when none of
 * them is left. */
void
fb_pool_stop_gang (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  if (step->gang_broken)
    return;
  step->gang_broken = TRUE;
  fb_counter_add (FB_COUNTER_GANGS_STOPPED, 1);
  fb_event_log (FB_EVENT_GANG_BROKEN, "job=%s step=%u attempt=%u", step->job->id, step->index,
                step->gang_attempt);
  stop_runs (self, is_of_step, step, now_ms);
}

static void
release_reservations (FbPool *self, FbPoolJob *job)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
      for (guint j = 0; j < job->record.spec.steps.steps_len; j++)
        g_ptr_array_unref (fb_pool_release_reservation (self, &occurrence->steps[j]));
    }
}

void
fb_pool_job_stop_runs (FbPool *self, FbPoolJob *job, uint64_t now_ms)
{
  stop_runs (self, is_of_job, job, now_ms);
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
  g_hash_table_remove (self->active_jobs, job);
  g_hash_table_remove (self->jobs_to_release, job);
  g_hash_table_remove (self->jobs_with_dependencies, job);
  g_hash_table_add (self->ended_jobs, job);
  fb_pool_crash_remove_job (self, job);
  release_reservations (self, job);
  fb_pool_account_drop_job (job);
  fb_event_log (FB_EVENT_JOB_OVER, "job=%s queue=%s state=%d age_ms=%" G_GUINT64_FORMAT, job->id,
                job->record.policy.queue, job->state, now_ms - job->admitted_ms);
  /* The remaining runs of a completed job are gang members, which end by themselves. */
  if (job->state != FB_WORK_COMPLETED)
    fb_pool_job_stop_runs (self, job, now_ms);
}

/* ---- ends of runs ------------------------------------------------------------------ */

/* The task is done: other runs of a task with speculative copies are stopped. Members of a gang end
 * together. */
static void
mark_task_done (FbPool *self, FbPoolStep *step, uint32_t index, uint64_t now_ms)
{
  FbPoolTask *task = &step->tasks[index];
  if (task->done || step->spec->long_running)
    return;
  task->done = TRUE;
  step->done_n++;
  if (task->run != NULL && task->run->state != FB_RUN_STOPPING)
    task->run->abandoned = TRUE;
  if (step->spec->speculative)
    stop_runs (self, is_of_task, task, now_ms);
}

static void
count_failure (FbPool *self, FbPoolStep *step, uint32_t index, const FbReportedEnd *end,
               uint64_t now_ms, uint64_t wall_ms)
{
  /* A gang fails as a whole; the failures are counted at its first task. */
  FbPoolTask *task = &step->tasks[step->spec->gang ? 0 : index];
  if (step->spec->long_running || task->done || !fb_pool_task_count_failed (task, end->attempt))
    return;
  fb_pool_job_changed (self, step->job);
  if (fb_pool_task_failed_n (task) >= step->job->record.policy.max_attempts)
    fb_pool_job_end (self, step->job, FB_WORK_FAILED, now_ms, wall_ms);
}

static void
update_failure_streak (FbPoolWorker *worker, const FbPoolStep *step, FbEndReason reason,
                       uint64_t now_ms)
{
  if (reason == FB_END_DONE)
    {
      worker->failure_streak = 0;
      worker->throttled_until_ms = 0;
    }
  else if (reason == FB_END_FAILED && g_strcmp0 (worker->last_failed_job, step->job->id) != 0)
    {
      worker->failure_streak++;
      fb_pool_worker_throttle (worker, now_ms);
      g_free (worker->last_failed_job);
      worker->last_failed_job = g_strdup (step->job->id);
    }
}

static void
record_run_time (FbPool *self, FbPoolWorker *worker, const FbPoolRun *run, uint64_t now_ms)
{
  FbPoolStep *step = run->step;
  uint32_t duration_ms = (uint32_t) (now_ms - run->started_ms);
  step->timed_runs_n++;
  step->timed_total_ms += duration_ms;
  fb_pool_pace_run_ended (worker, run, now_ms);
  /* Members of a gang end together, so their times say nothing about single workers, and what a
   * worker does while it is slow for some seconds says nothing about its speed in general. */
  if (!run->from_start || step->spec->gang
      || fb_pool_pace_was_slow (worker->speed, run->started_ms))
    return;
  fb_pool_speed_record_run (&step->tasks[run->index], worker->speed, duration_ms);
  fb_pool_learn_run_time (self, step, duration_ms, worker->speed->slowness);
}

static void
process_task_end (FbPool *self, FbPoolWorker *worker, FbPoolStep *step, uint32_t index,
                  const FbReportedEnd *end, uint64_t now_ms, uint64_t wall_ms)
{
  FbPoolTask *task = &step->tasks[index];
  FbPoolRun *run = g_hash_table_lookup (worker->runs, end->task);
  fb_pool_task_set_checkpoint (step, index, end->checkpoint);
  task->attempt = MAX (task->attempt, end->attempt);
  step->gang_attempt = MAX (step->gang_attempt, end->attempt);
  step->job->started = TRUE;
  update_failure_streak (worker, step, end->reason, now_ms);
  fb_pool_crash_task_ended (self, worker, step, index, end->reason);
  if (run != NULL && run->step == step && run->attempt == end->attempt)
    {
      fb_pool_copy_ended (run, end->reason);
      if (end->reason == FB_END_DONE)
        record_run_time (self, worker, run, now_ms);
    }
  if (run != NULL && run->attempt <= end->attempt)
    fb_pool_run_ended (self, worker, run, end_names[end->reason], now_ms);
  if (task->run == NULL)
    fb_pool_long_running_ended (step, index, end_names[end->reason], now_ms);
  if (fb_pool_job_ended (step->job))
    return;
  if (end->reason == FB_END_DONE && step->spec->gang)
    {
      for (uint32_t i = 0; i < step->spec->count; i++)
        mark_task_done (self, step, i, now_ms);
    }
  else if (end->reason == FB_END_DONE)
    mark_task_done (self, step, index, now_ms);
  else if (end->reason == FB_END_FAILED)
    count_failure (self, step, index, end, now_ms, wall_ms);
  if (step->spec->gang && end->reason != FB_END_DONE && end->attempt == step->gang_attempt
      && !fb_pool_step_done (step) && !fb_pool_job_ended (step->job))
    fb_pool_stop_gang (self, step, now_ms);
  if (end->reason == FB_END_DONE)
    {
      if (fb_pool_step_done (step))
        fb_pool_speed_update (step);
      fb_pool_job_changed (self, step->job);
      if (fb_pool_job_release (self, step->job, wall_ms))
        fb_pool_job_end (self, step->job, FB_WORK_COMPLETED, now_ms, wall_ms);
    }
}

static void
process_end (FbPool *self, FbPoolWorker *worker, const FbReportedEnd *end, uint64_t now_ms,
             uint64_t wall_ms)
{
  uint32_t index = 0;
  FbPoolStep *step = fb_pool_find_task (self, end->task, &index);
  fb_event_log (FB_EVENT_TASK_ENDED, "task=%s attempt=%u worker=%s how=%s known=%d number=%u",
                end->task, end->attempt, worker->id, end_names[end->reason], step != NULL,
                (guint) end->number);
  static const FbCounter counters[] = {
    [FB_END_DONE] = FB_COUNTER_TASKS_DONE,         [FB_END_FAILED] = FB_COUNTER_TASKS_FAILED,
    [FB_END_STOPPED] = FB_COUNTER_TASKS_OTHER,     [FB_END_LEASE_EXPIRED] = FB_COUNTER_TASKS_OTHER,
    [FB_END_GANG_BROKEN] = FB_COUNTER_TASKS_OTHER, [FB_END_GANG_TIMEOUT] = FB_COUNTER_TASKS_OTHER
  };
  fb_counter_add (counters[end->reason], 1);
  if (step != NULL)
    {
      process_task_end (self, worker, step, index, end, now_ms, wall_ms);
      return;
    }
  FbPoolRun *run = g_hash_table_lookup (worker->runs, end->task);
  if (run != NULL && run->attempt <= end->attempt)
    fb_pool_run_ended (self, worker, run, end_names[end->reason], now_ms);
}

/* ---- listed runs ------------------------------------------------------------------- */

static void
count_run_of_cancelled_job (const FbPoolJob *job)
{
  if (job != NULL && job->state == FB_WORK_CANCELLED)
    fb_counter_add (FB_COUNTER_CANCELLED_RUNS_FOUND, 1);
}

/* TRUE when a task whose step allows one run at a time depends on RUN rather than on CURRENT. */
static gboolean
takes_precedence (const FbPoolRun *run, const FbPoolRun *current)
{
  return current->attempt < run->attempt
         || (current->attempt == run->attempt && current->seen_clock_ms == 0);
}

/* Assigns RUN, whose step is known, to its task, or stops it if it is not needed. */
static void
assign_run (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms)
{
  FbPoolStep *step = run->step;
  FbPoolTask *task = &step->tasks[run->index];
  gboolean wanted = !task->done && !fb_pool_job_ended (step->job);
  if (wanted && task->run != NULL && task->run != run)
    wanted = step->spec->speculative ? task->copy == NULL : takes_precedence (run, task->run);
  fb_event_log (FB_EVENT_RUN_ADOPTED,
                "task=%s attempt=%u worker=%s wanted=%d epoch=%" G_GUINT64_FORMAT, run->name,
                run->attempt, worker->id, wanted, self->epoch);
  if (!wanted)
    {
      count_run_of_cancelled_job (step->job);
      stop_run (self, worker, run, now_ms);
      return;
    }
  if (task->run == NULL || step->spec->speculative)
    fb_pool_task_attach_run (task, run);
  else if (task->run->attempt < run->attempt)
    {
      stop_runs (self, is_other_run_of_task, run, now_ms);
      task->run = run;
    }
  task->attempt = MAX (task->attempt, run->attempt);
  step->gang_attempt = MAX (step->gang_attempt, run->attempt);
  step->job->started = TRUE;
  if (step->job->state == FB_WORK_QUEUED)
    step->job->state = FB_WORK_RUNNING;
}

/* Adds a run that WORKER lists and that this owner did not start there; an earlier owner did. */
static FbPoolRun *
adopt_run (FbPool *self, FbPoolWorker *worker, const FbReportedRun *seen, uint64_t now_ms)
{
  uint32_t index = 0;
  FbPoolStep *step = fb_pool_find_task (self, seen->task, &index);
  FbPoolRun *run = fb_pool_worker_add_run (worker, step, index, seen->task, seen->attempt);
  run->state = FB_RUN_RUNNING;
  run->started_ms = now_ms;
  run->first_listed_ms = now_ms;
  fb_pool_restart_found (self, worker, run, now_ms);
  if (step != NULL)
    assign_run (self, worker, run, now_ms);
  else
    fb_event_log (FB_EVENT_RUN_ADOPTED,
                  "task=%s attempt=%u worker=%s wanted=unknown epoch=%" G_GUINT64_FORMAT,
                  seen->task, seen->attempt, worker->id, self->epoch);
  return run;
}

/* The previous owner may have received a job directly and started it, and this owner finds the run
 * in a worker's list before it has read the job. Stopping the run as an orphan would lose its work,
 * and the job would start a second time once read. So a run of an unknown job is left running, and
 * nothing else is started on its worker, until the job is read or certainly does not exist. */
void
fb_pool_attach_runs (FbPool *self, const FbPoolJob *job)
{
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      /* Only a run without a step can belong to a job that was unknown so far. */
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
          fb_pool_worker_set_step (worker, run, step, index);
          assign_run (self, worker, run, run->started_ms);
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
      if (run->step != NULL || run->state == FB_RUN_STOPPING)
        continue;
      gboolean has_no_job = self->jobs_complete_ms > run->first_listed_ms
                            && !fb_pool_is_of_held_job (self, run->name);
      const FbPoolJob *job = fb_pool_find_job (self, run->name);
      if (!has_no_job && job == NULL)
        continue;
      count_run_of_cancelled_job (job);
      stop_run (self, worker, run, now_ms);
    }
}

/* Two workers may list the same attempt of a task. While one of them is a start that its worker has
 * not listed, it may never arrive, and both are left. */
static void
stop_runs_beside (FbPool *self, const FbPoolRun *run, uint64_t now_ms)
{
  const FbPoolTask *task = run->step != NULL ? &run->step->tasks[run->index] : NULL;
  if (task != NULL && task->run == run && task->known_runs_n > 1 && !run->step->spec->speculative)
    stop_runs (self, is_other_run_of_task, run, now_ms);
}

static void
process_listed_run (FbPool *self, FbPoolWorker *worker, const FbReportedRun *seen,
                    uint64_t clock_ms, uint64_t now_ms)
{
  FbPoolRun *run = g_hash_table_lookup (worker->runs, seen->task);
  /* The listed run is a later attempt. */
  if (run != NULL && run->transferred_ms != 0 && run->attempt < seen->attempt)
    {
      fb_pool_run_ended (self, worker, run, "superseded", now_ms);
      run = NULL;
    }
  if (run == NULL)
    run = adopt_run (self, worker, seen, now_ms);
  if (run->attempt != seen->attempt)
    return;
  if (run->listed_ms == 0)
    stop_runs_beside (self, run, now_ms);
  fb_pool_stop_check_listed (self, worker, run, clock_ms, now_ms);
  run->seen_clock_ms = MAX (run->seen_clock_ms, clock_ms);
  run->absent_clock_ms = 0;
  run->listed_ms = now_ms;
  fb_run_progress_add (&run->progress, seen->percent, clock_ms, now_ms);
  fb_pool_restart_listed (self, worker, run, now_ms);
  fb_pool_crash_task_seen (self, worker, run);
  if (run->state == FB_RUN_STARTING)
    run->state = FB_RUN_RUNNING;
  if (run->step != NULL)
    fb_pool_task_set_checkpoint (run->step, run->index, seen->checkpoint);
}

/* Returns: (nullable): why an answer of CLOCK_MS that does not list RUN proves that RUN has ended
 * or never began, as a static text for the log; NULL when it does not prove it. */
static const char *
proof_of_absence (const FbPoolRun *run, uint64_t clock_ms)
{
  if (run->seen_clock_ms > 0)
    return "seen before";
  return clock_ms > run->deadline_ms ? "deadline passed" : NULL;
}

/* TRUE when RUN may be being stopped; an earlier owner may have ordered that of a run that was
 * found in a list. */
static gboolean
may_be_stopping (const FbPoolRun *run)
{
  return run->state == FB_RUN_STOPPING || run->order == 0;
}

/* As proof_of_absence(), for a run that may be being stopped: the worker may not list it any more
 * and still work on it. */
static const char *
proof_of_stop (const FbPool *self, FbPoolRun *run, uint64_t clock_ms)
{
  if (run->stopped_clock_ms > 0)
    return clock_ms > run->stopped_clock_ms + self->limits.max_stop_ms ? "stop accepted" : NULL;
  const char *proof = proof_of_absence (run, clock_ms);
  if (proof == NULL)
    return NULL;
  if (run->absent_clock_ms == 0)
    run->absent_clock_ms = clock_ms;
  return clock_ms > run->absent_clock_ms + self->limits.max_stop_ms ? proof : NULL;
}

/* Returns: (nullable): why RUN, which an answer of CLOCK_MS does not list, is over, as a static
 * text for the log; NULL when it may not be. */
static const char *
proof_of_end (const FbPool *self, const FbPoolWorker *worker, FbPoolRun *run, uint64_t clock_ms)
{
  if (run->transferred_ms != 0)
    return fb_pool_restart_is_over (self, worker, run, clock_ms) ? "never arrived" : NULL;
  if (run->seen_clock_ms >= clock_ms)
    return NULL;
  return may_be_stopping (run) ? proof_of_stop (self, run, clock_ms)
                               : proof_of_absence (run, clock_ms);
}

static void
drop_unlisted_runs (FbPool *self, FbPoolWorker *worker, uint64_t clock_ms, uint64_t now_ms)
{
  g_autoptr (GList) runs = g_hash_table_get_values (worker->runs);
  for (GList *l = runs; l != NULL; l = l->next)
    {
      FbPoolRun *run = l->data;
      const char *proof = proof_of_end (self, worker, run, clock_ms);
      if (proof == NULL)
        {
          if (run->transferred_ms != 0)
            fb_pool_restart_reject (self, worker, run, now_ms);
          continue;
        }
      FbPoolStep *step = run->step;
      fb_event_log (FB_EVENT_RUN_ABSENT,
                    "task=%s attempt=%u worker=%s state=%d clock_ms=%u seen_clock_ms=%u"
                    " proof=\"%s\" epoch=%" G_GUINT64_FORMAT,
                    run->name, run->attempt, worker->id, run->state, (guint) clock_ms,
                    (guint) run->seen_clock_ms, proof, self->epoch);
      if (step != NULL)
        fb_pool_crash_task_absent (self, worker, step, run->index);
      if (run->seen_clock_ms == 0)
        fb_pool_orders_run_absent (self, worker, run, now_ms);
      fb_pool_restart_count_crash (self, run, now_ms);
      fb_pool_run_ended (self, worker, run, "absent", now_ms);
      if (step != NULL && step->spec->gang && !fb_pool_step_done (step)
          && !fb_pool_job_ended (step->job))
        fb_pool_stop_gang (self, step, now_ms);
    }
}

/* TRUE while END belongs to a job that may not have been read from the store yet, or is held. If
 * END were acknowledged, the worker would discard it, and the job would run again once read. */
static gboolean
is_of_unknown_job (const FbPool *self, FbPoolWorker *worker, const FbReportedEnd *end,
                   uint64_t now_ms)
{
  if (fb_pool_find_job (self, end->task) != NULL)
    return FALSE;
  if (worker->unknown_end != end->number)
    worker->unknown_end_ms = now_ms;
  worker->unknown_end = end->number;
  (void) g_strlcpy (worker->unknown_end_job, end->task, sizeof worker->unknown_end_job);
  return self->jobs_complete_ms <= worker->unknown_end_ms
         || fb_pool_is_of_held_job (self, end->task);
}

/* The stored record lists the steps that may still run on a draining worker; it is rewritten when
 * the last run there is over. */
static void
mark_workers_dirty_if_emptied (FbPool *self, const FbPoolWorker *worker, guint runs_before)
{
  if (worker->draining && runs_before > 0 && g_hash_table_size (worker->runs) == 0)
    self->workers_dirty = TRUE;
}

/* A worker discards acknowledged ends. If one is still listed, the acknowledgement was not
 * received: the answer to another poll was taken for the one to the acknowledging poll. Acknowledge
 * it again. */
static void
acknowledge_again (FbPoolWorker *worker, const FbPollAnswer *answer)
{
  for (guint i = 0; i < answer->finished->len; i++)
    {
      uint64_t number = g_array_index (answer->finished, FbReportedEnd, i).number;
      if (number > 0 && number <= worker->confirmed_acknowledged)
        worker->confirmed_acknowledged = number - 1;
    }
}

/* SENT_MS: the highest deadline that WORKER had been sent. ALLOWED_MS: the longest lease that it
 * may hold from others. */
static void
log_heard (const FbPool *self, const FbPoolWorker *worker, const FbPollAnswer *answer,
           uint64_t sent_ms, uint64_t allowed_ms)
{
  const char *bound = allowed_ms > FB_POOL_LEASE_MS ? "misdirected call" : "lease";
  if (sent_ms > answer->clock_ms + allowed_ms)
    bound = "deadlines sent";
  fb_event_log (FB_EVENT_POOL_WORKER_HEARD,
                "worker=%s epoch=%" G_GUINT64_FORMAT " running=%u ends=%u lease_ms=%u bound=\"%s\"",
                worker->id, self->epoch, answer->running->len, answer->finished->len,
                (guint) (worker->lease_ms - answer->clock_ms), bound);
}

static void
process_answer (FbPool *self, FbPoolWorker *worker, const FbPollAnswer *answer, uint64_t now_ms,
                uint64_t wall_ms)
{
  fb_pool_conclusions_check (self, worker, answer, now_ms);
  guint runs_before = g_hash_table_size (worker->runs);
  gboolean is_first = !worker->answered;
  if (!worker->answered)
    {
      /* The previous owner may have given it a lease just now, which covers any run started
       * there. */
      uint64_t sent_ms = worker->lease_ms;
      uint64_t allowed_ms = fb_pool_lease_first_answer (self, worker, now_ms);
      worker->lease_ms = MAX (sent_ms, answer->clock_ms + allowed_ms);
      log_heard (self, worker, answer, sent_ms, allowed_ms);
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
  fb_pool_silence_answered (self, worker, is_first, now_ms);
  for (guint i = 0; i < answer->running->len; i++)
    process_listed_run (self, worker, &g_array_index (answer->running, FbReportedRun, i),
                        answer->clock_ms, now_ms);
  fb_pool_pace_update (worker, now_ms);
  if (is_first)
    fb_pool_unanswered_starts_reject (self, worker, now_ms);
  worker->has_unknown_end = FALSE;
  for (guint i = 0; i < answer->finished->len; i++)
    {
      const FbReportedEnd *end = &g_array_index (answer->finished, FbReportedEnd, i);
      if (end->number <= worker->processed_end)
        continue;
      worker->has_unknown_end = is_of_unknown_job (self, worker, end, now_ms);
      if (worker->has_unknown_end)
        break;
      worker->processed_end = end->number;
      if (self->not_accepted_n > 0)
        fb_pool_record_hold_end (worker, fb_pool_find_job (self, end->task), end->number);
      process_end (self, worker, end, now_ms, wall_ms);
    }
  if (answer->finished->len >= self->limits.max_reported_ends)
    worker->has_unknown_end = TRUE;
  /* A run that is no longer listed may be among the ends after the unknown one, or after those that
   * fit into one answer. */
  if (!worker->has_unknown_end)
    drop_unlisted_runs (self, worker, answer->clock_ms, now_ms);
  mark_workers_dirty_if_emptied (self, worker, runs_before);
  if (worker->has_unknown_end)
    worker->next_poll_ms = now_ms + UNKNOWN_END_POLL_INTERVAL_MS;
  else if (worker->has_failed_stop)
    fb_pool_stops_retry_failed (self, worker, now_ms);
  else if (worker->acknowledged == worker->processed_end && fb_pool_may_poll_again (worker))
    fb_pool_order_poll (self, worker, now_ms);
}

void
fb_pool_poll_answered (FbPool *self, const char *id, const FbPollAnswer *answer, uint64_t now_ms,
                       uint64_t wall_ms)
{
  FbPoolWorker *worker = g_hash_table_lookup (self->workers, id);
  if (worker == NULL)
    {
      g_hash_table_remove (self->outlived_polls, id);
      return;
    }
  /* Of two open polls, it is not known which one is answered: the next poll waits for both. */
  if (worker->outlived_poll_sent_ms != 0 && !worker->poll_open)
    worker->poll_sent_ms = worker->outlived_poll_sent_ms;
  worker->poll_open = worker->poll_open && worker->outlived_poll_sent_ms != 0;
  worker->outlived_poll_sent_ms = 0;
  fb_pool_first_poll_ended (self, worker);
  FbOrderResult result = fb_pool_worker_call_result (worker, answer->result, worker->poll_sent_ms);
  if (result == FB_ORDER_DONE)
    worker->confirmed_acknowledged
        = MAX (worker->confirmed_acknowledged, worker->poll_acknowledges);
  if (result == FB_ORDER_UNKNOWN && worker->poll_acknowledges != 0)
    worker->unanswered_acknowledgement_ms = worker->poll_sent_ms;
  if (worker->poll_acknowledges != 0)
    fb_pool_worker_gained_capacity (self, worker);
  worker->poll_acknowledges = 0;
  worker->poll_result = result;
  worker->next_poll_ms = !worker->answered && result == FB_ORDER_UNKNOWN
                             ? fb_pool_first_poll_retry_ms (worker, now_ms)
                             : now_ms + POLL_INTERVAL_MS;
  if (result == FB_ORDER_DONE && !worker->replaced)
    process_answer (self, worker, answer, now_ms, wall_ms);
  else if (result == FB_ORDER_FENCED)
    fb_pool_fenced (self, worker);
  else if (result == FB_ORDER_OTHER_INCARNATION && answer->incarnation != NULL)
    fb_pool_worker_restarted (self, worker, answer->incarnation, now_ms);
  else if (result == FB_ORDER_OTHER_INCARNATION)
    fb_pool_worker_lost (self, worker, FB_LOSS_OTHER_INCARNATION, NULL, now_ms);
  fb_pool_silence_polled (self, worker, now_ms);
}
