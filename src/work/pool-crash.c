/* Tasks that crash their workers.
 *
 * A task may crash its worker, and with it all other runs there, each time it is started. A run
 * lost with its worker is not a failed run, so the limit on failures never applies, and the task
 * would be started on one worker after the other and crash each of them. So the workers that
 * crashed under a task are counted and recorded with its job, and the job fails after
 * MAX_ISOLATED_CRASHES of them.
 *
 * Other tasks on a crashed worker are counted as well, but their jobs must not fail for it. So only
 * proof of a crash counts: another incarnation answers, or is listed, at the address. Silence alone
 * leaves the loss unresolved (pool-unresolved-losses.c); an unresolved loss holds back starts that
 * could exceed the limit. A task with ISOLATE_AFTER_CRASHES crashes is kept apart from all other
 * suspected tasks and nothing is started beside it, so that a further crash has fewer possible
 * causes. */
#include "internal/pool-crash.h"

#include "fb-counter.h"
#include "fb-event.h"

/* Default limits. A start sent just after a worker crashed counts as well: it is in no list and
 * gets no answer, exactly like a task that crashes its worker at once. So one more crash is needed
 * where other tasks were present each time. */
#define MAX_ISOLATED_CRASHES 3
#define MAX_SHARED_CRASHES 4
/* Crashes after which a task no longer shares a worker with other suspected tasks, and nothing is
 * started beside it. */
#define ISOLATE_AFTER_CRASHES 2
/* A long-running task is cleared after it has run on its worker for this long; otherwise crashes
 * weeks apart would add up. */
#define LONG_RUNNING_PROVEN_MS 20000
/* Tasks that crash their worker do so as they begin. A run that has been listed for this long is
 * not considered a cause of a crash while another run is beginning. */
#define STARTUP_MS 1500
/* Longest time that a task waits for a worker on which no run is beginning. After it the runs there
 * are over or have been listed for STARTUP_MS. */
#define STABLE_WAIT_MS 3500
/* The lower limit applies only with at least this many confirmed crashes. */
#define MIN_CONFIRMED_CRASHES 2
/* The higher limit, max_shared_crashes, applies from this many crashes that other tasks may have
 * caused: the few crashes without another possible cause are then too little proof. */
#define MIN_SHARED_FOR_HIGHER_LIMIT 2
/* Cost of a worker whose answer to a poll is overdue: exceeds the sum of all other costs. */
#define OVERDUE_ANSWER_COST 1000
/* Network time of an answer to a poll, with some margin. */
#define POLL_NETWORK_MS 100

guint
fb_pool_task_crashes_n (const FbPoolTask *task)
{
  return task->crashes != NULL ? task->crashes->len : 0;
}

/* Returns: how many of TASK's confirmed crashes have no other possible cause: the run was isolated,
 * or, with ELIMINATED, all other tasks present have proven to be harmless since. */
static guint
sole_cause_n (const FbPool *self, const FbPoolTask *task, gboolean eliminated)
{
  guint n = 0;
  for (guint i = 0; task->crashes != NULL && i < task->crashes->len; i++)
    {
      const FbPoolCrash *crash = &g_array_index (task->crashes, FbPoolCrash, i);
      n += crash->evidence == FB_CRASH_CONFIRMED
           && (crash->isolated
               || (eliminated && fb_pool_crash_has_one_cause (self, crash->worker)));
    }
  return n;
}

/* Returns: how many of TASK's crashes have EVIDENCE. */
static guint
crashes_with_evidence_n (const FbPoolTask *task, FbCrashEvidence evidence)
{
  guint n = 0;
  for (guint i = 0; task->crashes != NULL && i < task->crashes->len; i++)
    n += g_array_index (task->crashes, FbPoolCrash, i).evidence == evidence;
  return n;
}

void
fb_pool_crash_set_limits (FbPoolLimits *limits)
{
  if (limits->max_isolated_crashes == 0)
    limits->max_isolated_crashes = MAX_ISOLATED_CRASHES;
  if (limits->max_shared_crashes == 0)
    limits->max_shared_crashes = MAX_SHARED_CRASHES;
  limits->max_shared_crashes = MAX (limits->max_shared_crashes, limits->max_isolated_crashes);
}

/* Unanswered starts, and runs whose ends were not received, are counted for workers that crashed
 * later, and a harmless job could be failed for them. So the lower limit requires
 * MIN_CONFIRMED_CRASHES and no crash that is only reported. */
static gboolean
has_confirmed_crashes (const FbPoolTask *task)
{
  return crashes_with_evidence_n (task, FB_CRASH_CONFIRMED) >= MIN_CONFIRMED_CRASHES
         && crashes_with_evidence_n (task, FB_CRASH_REPORTED) == 0;
}

/* Returns: the number of crashes at which TASK's job fails; one more if none of them is confirmed.
 */
static guint
crash_limit (const FbPool *self, const FbPoolTask *task, gboolean eliminated)
{
  guint alone = sole_cause_n (self, task, eliminated);
  guint shared = fb_pool_task_crashes_n (task) - alone;
  if (alone > 0 && has_confirmed_crashes (task) && shared < MIN_SHARED_FOR_HIGHER_LIMIT)
    return self->limits.max_isolated_crashes;
  return self->limits.max_shared_crashes
         + (crashes_with_evidence_n (task, FB_CRASH_CONFIRMED) == 0);
}

gboolean
fb_pool_task_is_suspect (const FbPoolTask *task)
{
  return task->crashes != NULL || task->unresolved_losses_n > 0;
}

/* An owner whose store is unreachable could start a task on one worker after the other, and the
 * next owner would count its crashes from zero. So a task with several crashes or unresolved losses
 * starts only once their number is stored, which limits the number of crashes that a failed owner
 * leaves unrecorded. */
static gboolean
awaits_storing (const FbPoolStep *step, const FbPoolTask *task)
{
  return fb_pool_task_crashes_n (task) + task->unresolved_losses_n >= ISOLATE_AFTER_CRASHES
         && step->job->suspects_version_stored != step->job->suspects_version;
}

void
fb_pool_task_update_withheld (const FbPool *self, FbPoolStep *step, uint32_t index)
{
  FbPoolTask *task = &step->tasks[index];
  /* In an unresolved loss the task may have been the only possible cause. */
  guint limit = task->unresolved_losses_n > 0 ? self->limits.max_isolated_crashes
                                              : crash_limit (self, task, FALSE);
  task->withheld = fb_pool_task_crashes_n (task) + task->unresolved_losses_n >= limit
                   || awaits_storing (step, task);
}

void
fb_pool_crash_stored (FbPool *self, FbPoolJob *job)
{
  if (job->suspects_version_stored == job->suspects_version_flushing)
    return;
  job->suspects_version_stored = job->suspects_version_flushing;
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
      for (guint j = 0; j < job->record.spec.steps.steps_len; j++)
        {
          FbPoolStep *step = &occurrence->steps[j];
          for (uint32_t k = 0; k < step->spec->count; k++)
            {
              if (!step->tasks[k].withheld)
                continue;
              fb_pool_task_update_withheld (self, step, k);
              fb_pool_task_requeue (self, step, k);
            }
        }
    }
}

gboolean
fb_pool_task_has_crash (const FbPoolTask *task, uint64_t worker)
{
  for (guint i = 0; task->crashes != NULL && i < task->crashes->len; i++)
    {
      if (g_array_index (task->crashes, FbPoolCrash, i).worker == worker)
        return TRUE;
    }
  return FALSE;
}

void
fb_pool_crash_clear (FbPool *self, FbPoolStep *step, uint32_t index, const char *why)
{
  FbPoolTask *task = &step->tasks[index];
  g_clear_pointer (&task->unresolved, g_ptr_array_unref);
  if (task->crashes == NULL)
    return;
  for (guint i = 0; i < task->crashes->len; i++)
    fb_pool_crash_cause_drop (self, g_array_index (task->crashes, FbPoolCrash, i).worker);
  g_clear_pointer (&task->crashes, g_array_unref);
  fb_pool_task_update_withheld (self, step, index);
  fb_event_log (FB_EVENT_TASK_CLEARED, "task=%s.%u.%u.%u why=\"%s\"", step->job->id,
                step->occurrence, step->index, index, why);
  fb_pool_job_changed (self, step->job);
  fb_pool_unstored_suspects_add (self, step->job);
  fb_pool_task_requeue (self, step, index);
}

void
fb_pool_crash_task_absent (FbPool *self, const FbPoolWorker *worker, FbPoolStep *step,
                           uint32_t index)
{
  FbPoolTask *task = &step->tasks[index];
  if (task->unresolved == NULL)
    return;
  fb_pool_unresolved_start_drop (task, worker->id);
  fb_pool_job_changed (self, step->job);
}

void
fb_pool_crash_task_ended (FbPool *self, const FbPoolWorker *worker, FbPoolStep *step,
                          uint32_t index, FbEndReason reason)
{
  fb_pool_crash_task_absent (self, worker, step, index);
  if (reason == FB_END_DONE)
    fb_pool_probe_passed (step);
  if (reason == FB_END_DONE || reason == FB_END_FAILED)
    fb_pool_crash_clear (self, step, index, "ended");
}

/* ---- counting crashes -------------------------------------------------------------- */

/* Returns: FALSE when that worker's crash is counted already. */
static gboolean
add_crash (FbPoolTask *task, FbPoolCrash crash)
{
  if (fb_pool_task_has_crash (task, crash.worker)
      || fb_pool_task_crashes_n (task) == FB_WORK_MAX_CRASHES)
    return FALSE;
  if (task->crashes == NULL)
    task->crashes = g_array_new (FALSE, FALSE, sizeof (FbPoolCrash));
  g_array_append_val (task->crashes, crash);
  return TRUE;
}

static const char *const evidence_names[] = {
  [FB_CRASH_REPORTED] = "hearsay", [FB_CRASH_PROBABLE] = "likely", [FB_CRASH_CONFIRMED] = "firm"
};

void
fb_pool_crash_count (FbPool *self, FbPoolStep *step, uint32_t index, FbPoolCrash crash,
                     uint64_t now_ms)
{
  FbPoolTask *task = &step->tasks[index];
  if (task->done || !add_crash (task, crash))
    return;
  fb_pool_crash_cause_add (self, crash.worker);
  if (fb_pool_job_ended (step->job))
    return;
  fb_pool_probe_record_crash (step, crash.worker, now_ms);
  step->job->suspects_version++;
  fb_pool_unstored_suspects_add (self, step->job);
  fb_pool_task_update_withheld (self, step, index);
  g_hash_table_add (self->suspect_steps, step);
  self->limit_reached |= fb_pool_task_crashes_n (task) >= self->limits.max_isolated_crashes;
  fb_pool_job_changed (self, step->job);
  fb_event_log (FB_EVENT_TASK_SUSPECTED,
                "task=%s.%u.%u.%u crashes=%u of=%u apart=%d evidence=%s doubts=%u", step->job->id,
                step->occurrence, step->index, index, fb_pool_task_crashes_n (task),
                crash_limit (self, task, FALSE), crash.isolated, evidence_names[crash.evidence],
                task->unresolved_losses_n);
}

/* Returns: how long RUN had been running at WORKER's last answer. */
static uint64_t
ran_ms (const FbPoolWorker *worker, const FbPoolRun *run)
{
  return worker->last_answer_ms > run->started_ms ? worker->last_answer_ms - run->started_ms : 0;
}

/* TRUE when RUN may have been on its worker. A start that neither an answer nor a list has
 * confirmed did not begin, or its order is still in flight: orders to a worker that has just
 * crashed have no effect. */
static gboolean
run_may_have_begun (const FbPoolRun *run)
{
  return run->seen_clock_ms > 0 || run->unanswered;
}

static gboolean
is_starting_up (const FbPoolRun *run)
{
  return run->listed_ms < run->started_ms + STARTUP_MS;
}

static gboolean
is_proven_harmless (const FbPoolWorker *worker, const FbPoolRun *run)
{
  return run->step != NULL && run->step->spec->long_running
         && ran_ms (worker, run) >= LONG_RUNNING_PROVEN_MS;
}

/* TRUE when OTHER is unlikely to have crashed WORKER: RUN, which is isolated, was beginning and
 * OTHER was not. */
static gboolean
is_unlikely_cause (const FbPoolWorker *worker, const FbPoolRun *run, const FbPoolRun *other)
{
  return run->suspect_score >= ISOLATE_AFTER_CRASHES && ran_ms (worker, run) < STARTUP_MS
         && !is_starting_up (other);
}

/* Returns: how certain it is that RUN was on WORKER when WORKER crashed. An unanswered start may
 * have been sent to a worker that had just crashed for another reason. That is unlikely if the task
 * is isolated and the worker had answered a moment before. */
static FbCrashEvidence
evidence_of (const FbPoolWorker *worker, const FbPoolRun *run)
{
  gboolean sent_after_answer = run->started_ms >= worker->last_answer_ms
                               && run->started_ms <= worker->last_answer_ms + POLL_NETWORK_MS;
  gboolean confirmed = run->seen_clock_ms > 0
                       || (run->suspect_score >= ISOLATE_AFTER_CRASHES && sent_after_answer);
  return confirmed ? FB_CRASH_CONFIRMED : FB_CRASH_PROBABLE;
}

/* TRUE when RUN may have begun as its worker crashed: its start is not answered yet. */
static gboolean
is_start_unconfirmed (const FbPoolRun *run)
{
  return run->step != NULL && run->state == FB_RUN_STARTING && !run_may_have_begun (run);
}

/* TRUE when RUN is the only run on WORKER that could have crashed it. */
static gboolean
is_isolated (const FbPoolWorker *worker, const FbPoolRun *run)
{
  GHashTableIter iter;
  gpointer other;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &other))
    {
      if (other == run || is_proven_harmless (worker, other)
          || is_unlikely_cause (worker, run, other))
        continue;
      if (run_may_have_begun (other) || is_start_unconfirmed (other))
        return FALSE;
    }
  return TRUE;
}

static void
suspect_run (FbPool *self, const FbPoolWorker *worker, FbPoolRun *run, FbPoolLoss loss,
             const FbPoolWorker *next, uint64_t now_ms)
{
  FbPoolStep *step = run->step;
  const FbPoolCrash crash
      = { worker->id_hash, is_isolated (worker, run), evidence_of (worker, run) };
  if (next != NULL && run->listed_ms == 0 && fb_pool_restart_may_deliver (self, run))
    {
      if (run->deferred_crash.worker == 0)
        run->deferred_crash = crash;
      fb_pool_unresolved_start_add (&step->tasks[run->index], worker->id, worker->address, FALSE);
      fb_pool_job_changed (self, step->job);
      return;
    }
  /* A start can crash only one incarnation. If it does not arrive at this one, it crashed the one
   * before. */
  if (run->deferred_crash.worker != 0)
    return;
  if (loss == FB_LOSS_OTHER_INCARNATION)
    {
      fb_pool_unresolved_start_drop (&step->tasks[run->index], worker->id);
      fb_pool_crash_count (self, step, run->index, crash, now_ms);
      return;
    }
  fb_pool_unresolved_loss_add (self, worker->id, worker->address, step, run->index, crash, now_ms);
  /* It is recorded as well, so that the next owner can find out whether the worker crashed. */
  fb_pool_unresolved_start_add (&step->tasks[run->index], worker->id, worker->address,
                                run->seen_clock_ms > 0);
  fb_pool_job_changed (self, step->job);
}

void
fb_pool_crash_task_seen (FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run)
{
  if (run->step != NULL
      && fb_pool_unresolved_start_set_seen (&run->step->tasks[run->index], worker->id))
    fb_pool_job_changed (self, run->step->job);
}

static void
record_silence (FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run, gboolean silent)
{
  FbPoolTask *task = &run->step->tasks[run->index];
  if (silent)
    {
      fb_pool_unresolved_start_add (task, worker->id, worker->address, run->seen_clock_ms > 0);
      fb_pool_job_changed (self, run->step->job);
      fb_pool_unstored_suspects_add (self, run->step->job);
    }
  else if (!fb_pool_task_is_suspect (task) && fb_pool_unresolved_start_has (task, worker->id))
    {
      fb_pool_unresolved_start_drop (task, worker->id);
      fb_pool_job_changed (self, run->step->job);
      fb_pool_unstored_suspects_add (self, run->step->job);
    }
}

/* If the owner is replaced before it is certain that a worker has crashed, the next owner has no
 * record of what ran there, and a task could crash further workers while owners change. So the runs
 * on a worker are recorded as soon as a poll of it fails, which a crash usually shows within
 * milliseconds, until it answers again. An owner that gets answers from fewer than half of the
 * workers is itself disconnected and records nothing. */
void
fb_pool_crash_record_silence (FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  gboolean silent
      = worker->answered
        && (fb_pool_worker_poll_failed (worker) || fb_pool_worker_silent (worker, now_ms));
  if (silent == worker->silence_recorded || worker->draining)
    return;
  if (silent && !self->is_connected)
    return;
  worker->silence_recorded = silent;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const FbPoolRun *run = value;
      /* A start transferred from an earlier incarnation is recorded for that one. */
      if (run->step != NULL && run_may_have_begun (run) && run->transferred_ms == 0)
        record_silence (self, worker, run, silent);
    }
}

/* The outcome may arrive after the runs on WORKER were recorded. */
void
fb_pool_crash_start_answered (FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run)
{
  if (worker->silence_recorded && run->step != NULL && run_may_have_begun (run)
      && run->transferred_ms == 0)
    record_silence (self, worker, run, TRUE);
}

void
fb_pool_crash_clear_long_running (FbPool *self, FbPoolWorker *worker)
{
  if (worker->suspect_runs_n == 0)
    return;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolRun *run = value;
      if (!is_proven_harmless (worker, run) || run->step->tasks[run->index].crashes == NULL)
        continue;
      fb_pool_worker_charge (worker, run, -1);
      fb_pool_crash_clear (self, run->step, run->index, "lasted");
      fb_pool_worker_charge (worker, run, 1);
      fb_pool_worker_gained_capacity (self, worker);
    }
}

/* A draining worker exits as planned, so no task is suspected for it. */
void
fb_pool_crash_worker_lost (FbPool *self, FbPoolWorker *worker, FbPoolLoss loss,
                           const FbPoolWorker *next, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, worker->runs);
  while (!worker->draining && g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolRun *run = value;
      /* This task is not suspected itself, but the others on the worker are no longer the only
       * possible causes. */
      if (is_start_unconfirmed (run))
        fb_pool_crash_cause_add (self, worker->id_hash);
      if (run->step == NULL || !run_may_have_begun (run))
        continue;
      if (is_proven_harmless (worker, run))
        fb_pool_crash_clear (self, run->step, run->index, "lasted");
      else
        suspect_run (self, worker, run, loss, next, now_ms);
    }
  if (loss != FB_LOSS_OTHER_INCARNATION)
    return;
  fb_counter_add (FB_COUNTER_WORKER_CRASHES, !worker->draining);
  fb_pool_unresolved_loss_resolve (self, worker->id, !worker->draining, now_ms);
}

/* ---- the crash limit ------------------------------------------------------------------ */

static void
fail_job (FbPool *self, FbPoolStep *step, uint32_t index, uint64_t now_ms, uint64_t wall_ms)
{
  const FbPoolTask *task = &step->tasks[index];
  fb_counter_add (FB_COUNTER_TASKS_OVER_CRASH_LIMIT, 1);
  fb_event_log (FB_EVENT_TASK_GIVEN_UP, "task=%s.%u.%u.%u queue=%s crashes=%u apart=%d",
                step->job->id, step->occurrence, step->index, index, step->job->record.policy.queue,
                fb_pool_task_crashes_n (task), sole_cause_n (self, task, FALSE) > 0);
  fb_pool_job_end (self, step->job, FB_WORK_FAILED, now_ms, wall_ms);
}

static void
end_job_at_limit (FbPool *self, FbPoolStep *step, uint64_t now_ms, uint64_t wall_ms)
{
  for (uint32_t i = 0; i < step->spec->count; i++)
    {
      const FbPoolTask *task = &step->tasks[i];
      if (fb_pool_task_crashes_n (task) < crash_limit (self, task, TRUE))
        continue;
      fail_job (self, step, i, now_ms, wall_ms);
      return;
    }
}

void
fb_pool_crash_end_jobs (FbPool *self, uint64_t now_ms, uint64_t wall_ms)
{
  if (!self->limit_reached)
    return;
  self->limit_reached = FALSE;
  g_autoptr (GList) steps = g_hash_table_get_keys (self->suspect_steps);
  for (GList *l = steps; l != NULL; l = l->next)
    {
      FbPoolStep *step = l->data;
      if (!fb_pool_job_ended (step->job))
        end_job_at_limit (self, step, now_ms, wall_ms);
    }
}

void
fb_pool_crash_remove_job (FbPool *self, FbPoolJob *job)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
      for (guint j = 0; j < job->record.spec.steps.steps_len; j++)
        g_hash_table_remove (self->suspect_steps, &occurrence->steps[j]);
    }
}

/* ---- placement -------------------------------------------------------------------------- */

/* Returns: the crashes that TASK may have caused, including unresolved losses. */
static guint
suspect_score_of (const FbPoolTask *task)
{
  return fb_pool_task_crashes_n (task) + task->unresolved_losses_n;
}

gboolean
fb_pool_crash_may_share (const FbPoolWorker *worker, const FbPoolTask *task)
{
  return suspect_score_of (task) < ISOLATE_AFTER_CRASHES || worker->suspect_runs_n == 0;
}

gboolean
fb_pool_crash_may_use (const FbPoolWorker *worker, const FbPoolTask *task, uint64_t now_ms)
{
  return worker->exclusive_for == NULL || worker->exclusive_for == task
         || now_ms >= worker->exclusive_until_ms;
}

static gboolean
is_stable (const FbPoolWorker *worker)
{
  GHashTableIter iter;
  gpointer run;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &run))
    {
      if (is_starting_up (run))
        return FALSE;
    }
  return TRUE;
}

/* A harmless task that was on two crashed workers could start beside another task that crashes its
 * worker, and its job would fail for it. A task that did cause the crashes could start where others
 * begin, and its next crash would prove no more than those before. So such a task starts on a
 * worker where no run has begun recently, and nothing else starts on that worker meanwhile. */
gboolean
fb_pool_crash_waits_for_stable (FbPoolWorker *worker, FbPoolTask *task, uint64_t now_ms)
{
  if (suspect_score_of (task) < ISOLATE_AFTER_CRASHES || is_stable (worker))
    return FALSE;
  if (task->stable_wait_until_ms == 0)
    task->stable_wait_until_ms = now_ms + STABLE_WAIT_MS;
  if (now_ms >= task->stable_wait_until_ms)
    return FALSE;
  worker->exclusive_for = task;
  worker->exclusive_until_ms = task->stable_wait_until_ms;
  return TRUE;
}

double
fb_pool_crash_cost (const FbPoolWorker *worker, const FbPoolTask *task, uint64_t now_ms)
{
  gboolean isolated = suspect_score_of (task) >= ISOLATE_AFTER_CRASHES;
  /* A worker whose answer is overdue may have crashed already, and that would count for TASK. */
  gboolean overdue = now_ms > worker->last_answer_ms + FB_POOL_POLL_WAIT_MS + POLL_NETWORK_MS;
  /* The other runs there would be lost with the worker. */
  return worker->suspect_runs_n + (isolated ? g_hash_table_size (worker->runs) : 0)
         + (overdue ? OVERDUE_ANSWER_COST : 0);
}

void
fb_pool_crash_charge (FbPoolWorker *worker, FbPoolRun *run, int sign)
{
  if (sign > 0)
    run->suspect_score = suspect_score_of (&run->step->tasks[run->index]);
  worker->suspect_runs_n += run->suspect_score > 0 ? (guint) sign : 0;
  worker->isolated_runs_n += run->suspect_score >= ISOLATE_AFTER_CRASHES ? (guint) sign : 0;
}

void
fb_pool_crash_task_placed (FbPoolWorker *worker, FbPoolStep *step, uint32_t index)
{
  FbPoolTask *task = &step->tasks[index];
  if (!fb_pool_task_needs_record (task))
    return;
  task->stable_wait_until_ms = 0;
  if (worker->exclusive_for == task)
    worker->exclusive_for = NULL;
  fb_pool_unresolved_start_add (task, worker->id, worker->address, FALSE);
}
