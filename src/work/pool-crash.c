/* Tasks under which workers crash.
 *
 * Failure: a task takes its worker down each time it is started, with all that runs there.  A run
 * that ends with its worker is no failed end, so no limit counts it, and the task is started on one
 * worker after the other; it shows as workers that fall silent in series.  Guard: the workers that
 * crashed under a task are counted and recorded with its job, and after CRASHES_MOST of them the
 * job is given up.
 *
 * What else ran on a crashed worker is counted as well, and must not be given up for it.  So only
 * what proves a crash counts: another life answers, or is listed, at the address.  Silence leaves
 * the runs in doubt (pool-unresolved-losses.c); a doubt holds back starts that would go past the
 * limit.  A task under which ISOLATED_CRASHES workers have crashed runs apart from all others that
 * are suspected, nothing is started beside it, and a crash then tells more. */
#include "internal/pool-crash.h"

#include "fb-counter.h"
#include "fb-event.h"

/* Limits of a pool that is given none.  What is sent to a worker in the moments after its crash
 * counts too, as it is in no list and gets no answer, just like a task that crashed the worker at
 * once; so one more is needed where others were there each time. */
#define CRASHES_MOST 3
#define CRASHES_MOST_SHARED 4
/* Crashes after which a task no longer shares a worker with others that are suspected, and nothing
 * is started beside it. */
#define ISOLATED_CRASHES 2
/* A task that lasts has shown that it does not crash its worker once it ran there for so long;
 * without this the losses of weeks would add up. */
#define LASTING_PROVEN_MS 20000
/* A task that crashes its worker does it as it begins.  A run that was listed for so long is taken
 * for no cause of a crash while another one begins. */
#define BEGINNING_MS 1500
/* For so long a task waits for a worker where nothing begins: what runs there has gone by then, or
 * is listed for BEGINNING_MS. */
#define CALM_WAIT_MS 3500
/* A job is given up at the sooner limit if so many of its crashes are firm. */
#define FIRM_CRASHES 2
/* Of so many crashes with others there each time, one more that was not so proves too little. */
#define SHARED_ENOUGH 2
/* Above all other costs. */
#define QUIET_COST 1000
/* What the answer to a look takes on its way, with room to spare. */
#define ANSWER_MS 100

guint
fb_pool_task_crashes_n (const FbPoolTask *task)
{
  return task->crashes != NULL ? task->crashes->len : 0;
}

/* Returns: how many of TASK's firm crashes nothing else can have caused: it was apart, or, with
 * ELIMINATED, all others that were there have shown since that they crash no worker. */
static guint
alone_n (const FbPool *self, const FbPoolTask *task, gboolean eliminated)
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

/* Returns: how many of TASK's crashes rest on EVIDENCE. */
static guint
evidence_n (const FbPoolTask *task, FbCrashEvidence evidence)
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
    limits->max_isolated_crashes = CRASHES_MOST;
  if (limits->max_shared_crashes == 0)
    limits->max_shared_crashes = CRASHES_MOST_SHARED;
  limits->max_shared_crashes = MAX (limits->max_shared_crashes, limits->max_isolated_crashes);
}

/* Failure: starts that got no answer, or runs whose ends were not heard, count for workers that
 * crashed later, and a job is given up that crashed none.  Guard: the sooner limit needs
 * FIRM_CRASHES and no hearsay. */
static gboolean
is_well_known (const FbPoolTask *task)
{
  return evidence_n (task, FB_CRASH_CONFIRMED) >= FIRM_CRASHES
         && evidence_n (task, FB_CRASH_REPORTED) == 0;
}

/* Returns: after how many crashes TASK is given up.  Where none is firm, one more is needed. */
static guint
limit_of (const FbPool *self, const FbPoolTask *task, gboolean eliminated)
{
  guint alone = alone_n (self, task, eliminated);
  guint shared = fb_pool_task_crashes_n (task) - alone;
  if (alone > 0 && is_well_known (task) && shared < SHARED_ENOUGH)
    return self->limits.max_isolated_crashes;
  return self->limits.max_shared_crashes + (evidence_n (task, FB_CRASH_CONFIRMED) == 0);
}

gboolean
fb_pool_task_is_suspect (const FbPoolTask *task)
{
  return task->crashes != NULL || task->unresolved_losses_n > 0;
}

/* Failure: an owner whose store is gone starts a task on one worker after the other, and is
 * replaced; the next one counts from the beginning.  Guard: what has crashed several workers, or
 * may have, is started once it is stored how many these were, so that an owner takes few crashes
 * with it. */
static gboolean
is_unstored (const FbPoolStep *step, const FbPoolTask *task)
{
  return fb_pool_task_crashes_n (task) + task->unresolved_losses_n >= ISOLATED_CRASHES
         && step->job->suspects_version_stored != step->job->suspects_version;
}

void
fb_pool_task_update_withheld (const FbPool *self, FbPoolStep *step, uint32_t index)
{
  FbPoolTask *task = &step->tasks[index];
  /* What is in doubt may have been apart. */
  guint limit = task->unresolved_losses_n > 0 ? self->limits.max_isolated_crashes
                                              : limit_of (self, task, FALSE);
  task->withheld = fb_pool_task_crashes_n (task) + task->unresolved_losses_n >= limit
                   || is_unstored (step, task);
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
          for (uint32_t k = 0; k < step->shape->count; k++)
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
fb_pool_crash_task_gone (FbPool *self, const FbPoolWorker *worker, FbPoolStep *step, uint32_t index)
{
  FbPoolTask *task = &step->tasks[index];
  if (task->unresolved == NULL)
    return;
  fb_pool_unresolved_start_drop (task, worker->id);
  fb_pool_job_changed (self, step->job);
}

void
fb_pool_crash_task_ended (FbPool *self, const FbPoolWorker *worker, FbPoolStep *step,
                          uint32_t index, FbEndReason how)
{
  fb_pool_crash_task_gone (self, worker, step, index);
  if (how == FB_END_DONE)
    fb_pool_probe_passed (step);
  if (how == FB_END_DONE || how == FB_END_FAILED)
    fb_pool_crash_clear (self, step, index, "ended");
}

/* ---- counting -------------------------------------------------------------------- */

/* Returns: FALSE when that worker was counted before. */
static gboolean
note_crash (FbPoolTask *task, FbPoolCrash crash)
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
  if (task->done || !note_crash (task, crash))
    return;
  fb_pool_crash_cause_add (self, crash.worker);
  if (fb_pool_job_ended (step->job))
    return;
  fb_pool_probe_note_crash (step, crash.worker, now_ms);
  step->job->suspects_version++;
  fb_pool_unstored_suspects_add (self, step->job);
  fb_pool_task_update_withheld (self, step, index);
  g_hash_table_add (self->suspects, step);
  self->limit_reached |= fb_pool_task_crashes_n (task) >= self->limits.max_isolated_crashes;
  fb_pool_job_changed (self, step->job);
  fb_event_log (FB_EVENT_TASK_SUSPECTED,
                "task=%s.%u.%u.%u crashes=%u of=%u apart=%d evidence=%s doubts=%u", step->job->id,
                step->occurrence, step->index, index, fb_pool_task_crashes_n (task),
                limit_of (self, task, FALSE), crash.isolated, evidence_names[crash.evidence],
                task->unresolved_losses_n);
}

/* For how long RUN was seen at work by what was last heard of WORKER. */
static uint64_t
ran_ms (const FbPoolWorker *worker, const FbPoolRun *run)
{
  return worker->last_answer_ms > run->started_ms ? worker->last_answer_ms - run->started_ms : 0;
}

/* A start that no answer and no list ever told of did not begin, or its order is still on its way:
 * what is sent to a worker that has just crashed comes to nothing. */
static gboolean
was_there (const FbPoolRun *run)
{
  return run->seen_clock_ms > 0 || run->unanswered;
}

static gboolean
is_beginning (const FbPoolRun *run)
{
  return run->listed_ms < run->started_ms + BEGINNING_MS;
}

static gboolean
is_proven (const FbPoolWorker *worker, const FbPoolRun *run)
{
  return run->step != NULL && run->step->shape->long_running
         && ran_ms (worker, run) >= LASTING_PROVEN_MS;
}

/* TRUE when RUN, which runs apart, was beginning on WORKER and OTHER was not. */
static gboolean
is_outlived (const FbPoolWorker *worker, const FbPoolRun *run, const FbPoolRun *other)
{
  return run->suspect_score >= ISOLATED_CRASHES && ran_ms (worker, run) < BEGINNING_MS
         && !is_beginning (other);
}

/* A start that got no answer may have come to a worker that had just crashed by itself.  That is
 * hardly so if the task runs apart and the worker had spoken a moment before. */
static FbCrashEvidence
evidence_of (const FbPoolWorker *worker, const FbPoolRun *run)
{
  gboolean sent_soon = run->started_ms >= worker->last_answer_ms
                       && run->started_ms <= worker->last_answer_ms + ANSWER_MS;
  gboolean firm = run->seen_clock_ms > 0 || (run->suspect_score >= ISOLATED_CRASHES && sent_soon);
  return firm ? FB_CRASH_CONFIRMED : FB_CRASH_PROBABLE;
}

/* TRUE when RUN may have begun on WORKER as that crashed: its answer is awaited. */
static gboolean
may_have_begun (const FbPoolRun *run)
{
  return run->step != NULL && run->state == FB_RUN_STARTING && !was_there (run);
}

/* TRUE when RUN is the only one on WORKER that could have crashed it. */
static gboolean
is_apart (const FbPoolWorker *worker, const FbPoolRun *run)
{
  GHashTableIter iter;
  gpointer other;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &other))
    {
      if (other == run || is_proven (worker, other) || is_outlived (worker, run, other))
        continue;
      if (was_there (other) || may_have_begun (other))
        return FALSE;
    }
  return TRUE;
}

static void
suspect_run (FbPool *self, const FbPoolWorker *worker, FbPoolRun *run, FbPoolLoss loss,
             const FbPoolWorker *next, uint64_t now_ms)
{
  FbPoolStep *step = run->step;
  const FbPoolCrash crash = { worker->id_hash, is_apart (worker, run), evidence_of (worker, run) };
  if (next != NULL && run->listed_ms == 0 && fb_pool_restart_may_deliver (self, run))
    {
      if (run->deferred_crash.worker == 0)
        run->deferred_crash = crash;
      return;
    }
  /* One start crashes one life; if it did not come to this one, it was on the one before. */
  if (run->deferred_crash.worker != 0)
    return;
  if (loss == FB_LOSS_OTHER_INCARNATION)
    {
      fb_pool_unresolved_start_drop (&step->tasks[run->index], worker->id);
      fb_pool_crash_count (self, step, run->index, crash, now_ms);
      return;
    }
  fb_pool_unresolved_loss_add (self, worker->id, worker->address, step, run->index, crash, now_ms);
  /* It is recorded too, so that a successor can still learn what became of the worker. */
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
note_silence (FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run, gboolean silent)
{
  FbPoolTask *task = &run->step->tasks[run->index];
  if (silent)
    {
      fb_pool_unresolved_start_add (task, worker->id, worker->address, run->seen_clock_ms > 0);
      fb_pool_job_changed (self, run->step->job);
    }
  else if (task->crashes == NULL)
    fb_pool_unresolved_start_drop (task, worker->id);
}

/* Failure: the owner is replaced within the 4 s in which a crash shows only as silence, and the
 * next one knows nothing of what ran there; it shows as a task that goes on crashing workers while
 * owners change.  Guard: what is on a worker that falls silent is recorded at once.  An owner that
 * hears nobody is cut off itself, and records nothing. */
void
fb_pool_crash_note_silence (FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  gboolean silent = worker->answered && fb_pool_worker_silent (worker, now_ms);
  if (silent == worker->silence_noted || worker->draining)
    return;
  if (silent && !self->majority_answers)
    return;
  worker->silence_noted = silent;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const FbPoolRun *run = value;
      /* Of a start that may have come from the life before, that one is recorded. */
      if (run->step != NULL && was_there (run) && run->transferred_ms == 0)
        note_silence (self, worker, run, silent);
    }
}

void
fb_pool_crash_clear_lasted (FbPool *self, FbPoolWorker *worker)
{
  if (worker->suspects_n == 0)
    return;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolRun *run = value;
      if (!is_proven (worker, run) || run->step->tasks[run->index].crashes == NULL)
        continue;
      fb_pool_worker_charge (worker, run, -1);
      fb_pool_crash_clear (self, run->step, run->index, "lasted");
      fb_pool_worker_charge (worker, run, 1);
      fb_pool_worker_gained_capacity (self, worker);
    }
}

/* A worker that drains ends as planned: nobody is suspected for it. */
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
      /* It is not counted for that, but what else was there is no longer the only cause. */
      if (may_have_begun (run))
        fb_pool_crash_cause_add (self, worker->id_hash);
      if (run->step == NULL || !was_there (run))
        continue;
      if (is_proven (worker, run))
        fb_pool_crash_clear (self, run->step, run->index, "lasted");
      else
        suspect_run (self, worker, run, loss, next, now_ms);
    }
  if (loss != FB_LOSS_OTHER_INCARNATION)
    return;
  fb_counter_add (FB_COUNTER_WORKER_CRASHES, !worker->draining);
  fb_pool_unresolved_loss_resolve (self, worker->id, !worker->draining, now_ms);
}

/* ---- the limit ------------------------------------------------------------------------- */

static void
give_up (FbPool *self, FbPoolStep *step, uint32_t index, uint64_t now_ms, uint64_t wall_ms)
{
  const FbPoolTask *task = &step->tasks[index];
  fb_counter_add (FB_COUNTER_TASKS_GIVEN_UP, 1);
  fb_event_log (FB_EVENT_TASK_GIVEN_UP, "task=%s.%u.%u.%u queue=%s crashes=%u apart=%d",
                step->job->id, step->occurrence, step->index, index, step->job->record.policy.queue,
                fb_pool_task_crashes_n (task), alone_n (self, task, FALSE) > 0);
  fb_pool_job_end (self, step->job, FB_WORK_FAILED, now_ms, wall_ms);
}

static void
end_job_at_limit (FbPool *self, FbPoolStep *step, uint64_t now_ms, uint64_t wall_ms)
{
  for (uint32_t i = 0; i < step->shape->count; i++)
    {
      const FbPoolTask *task = &step->tasks[i];
      if (fb_pool_task_crashes_n (task) < limit_of (self, task, TRUE))
        continue;
      give_up (self, step, i, now_ms, wall_ms);
      return;
    }
}

void
fb_pool_crash_end_jobs (FbPool *self, uint64_t now_ms, uint64_t wall_ms)
{
  if (!self->limit_reached)
    return;
  self->limit_reached = FALSE;
  g_autoptr (GList) steps = g_hash_table_get_keys (self->suspects);
  for (GList *l = steps; l != NULL; l = l->next)
    {
      FbPoolStep *step = l->data;
      if (!fb_pool_job_ended (step->job))
        end_job_at_limit (self, step, now_ms, wall_ms);
    }
}

void
fb_pool_crash_forget (FbPool *self, FbPoolJob *job)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
      for (guint j = 0; j < job->record.spec.steps.steps_len; j++)
        g_hash_table_remove (self->suspects, &occurrence->steps[j]);
    }
}

/* ---- placing ---------------------------------------------------------------------------- */

/* Crashes that TASK may have caused, those in doubt with them. */
static guint
suspicion_of (const FbPoolTask *task)
{
  return fb_pool_task_crashes_n (task) + task->unresolved_losses_n;
}

gboolean
fb_pool_crash_may_share (const FbPoolWorker *worker, const FbPoolTask *task)
{
  return suspicion_of (task) < ISOLATED_CRASHES || worker->suspects_n == 0;
}

gboolean
fb_pool_crash_is_open (const FbPoolWorker *worker, const FbPoolTask *task, uint64_t now_ms)
{
  return worker->exclusive_for == NULL || worker->exclusive_for == task
         || now_ms >= worker->exclusive_until_ms;
}

static gboolean
is_calm (const FbPoolWorker *worker)
{
  GHashTableIter iter;
  gpointer run;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &run))
    {
      if (is_beginning (run))
        return FALSE;
    }
  return TRUE;
}

/* Failure: what has lost two workers to others starts beside another task that crashes its worker,
 * and is given up for it; or it did crash them, starts where others begin, and its crash proves no
 * more than those before.  Guard: it starts where nothing has begun of late, and nothing starts on
 * that worker meanwhile. */
gboolean
fb_pool_crash_waits_for_stable (FbPoolWorker *worker, FbPoolTask *task, uint64_t now_ms)
{
  if (suspicion_of (task) < ISOLATED_CRASHES || is_calm (worker))
    return FALSE;
  if (task->stable_wait_until_ms == 0)
    task->stable_wait_until_ms = now_ms + CALM_WAIT_MS;
  if (now_ms >= task->stable_wait_until_ms)
    return FALSE;
  worker->exclusive_for = task;
  worker->exclusive_until_ms = task->stable_wait_until_ms;
  return TRUE;
}

double
fb_pool_crash_cost (const FbPoolWorker *worker, const FbPoolTask *task, uint64_t now_ms)
{
  gboolean isolated = suspicion_of (task) >= ISOLATED_CRASHES;
  /* It may have crashed already, and that would count for TASK. */
  gboolean quiet = now_ms > worker->last_answer_ms + FB_POOL_POLL_WAIT_MS + ANSWER_MS;
  /* What runs beside it would be lost with the worker. */
  return worker->suspects_n + (isolated ? g_hash_table_size (worker->runs) : 0)
         + (quiet ? QUIET_COST : 0);
}

void
fb_pool_crash_charge (FbPoolWorker *worker, FbPoolRun *run, int sign)
{
  if (sign > 0)
    run->suspect_score = suspicion_of (&run->step->tasks[run->index]);
  worker->suspects_n += run->suspect_score > 0 ? (guint) sign : 0;
  worker->isolated_n += run->suspect_score >= ISOLATED_CRASHES ? (guint) sign : 0;
}

void
fb_pool_crash_task_ordered (FbPool *self, FbPoolWorker *worker, FbPoolStep *step, uint32_t index)
{
  FbPoolTask *task = &step->tasks[index];
  if (!fb_pool_task_is_suspect (task))
    return;
  task->stable_wait_until_ms = 0;
  if (worker->exclusive_for == task)
    worker->exclusive_for = NULL;
  fb_pool_unresolved_start_add (task, worker->id, worker->address, FALSE);
  g_hash_table_add (self->dirty, step->job);
}
