/* Kinds "cancelling" and "cancelling-partitions": most jobs are cancelled, many at moments at which
 * their runs are hard to stop.  Checks that tasks of a cancelled job neither start nor run on.  Its
 * draws come from a random stream of its own. */
#include "pool-world.h"

/* The bound of rule UNASKED: a cancelled job has no starts after it, and no runs after it and the
 * longest stop. */
#define CANCEL_MS 3000
/* A lasting job is cancelled at the latest this long after its submission. */
#define MAX_LASTING_MS 10000
#define MAX_RUN_MS 15000

static guint
cancel_random (World *world, guint n)
{
  return (guint) g_rand_int_range (world->cancel_rand, 0, (gint32) n);
}

/* ---- jobs ---------------------------------------------------------------------------- */

/* Jobs are submitted throughout the phase of faults. */
gboolean
world_cancels_may_submit (World *world)
{
  return !world->cancelling || cancel_random (world, 2) == 0;
}

/* Lasting tasks run until they are stopped, so that a missed stop is found. */
static void
make_lasting (World *world, Job *job)
{
  fb_work_spec *spec = &job->record.spec;
  job->lasting = TRUE;
  job->always_fails = FALSE;
  if (spec->steps.steps_len > 1)
    g_free (spec->steps.steps_val[1].after.after_val);
  spec->steps.steps_len = 1;
  fb_work_step *step = &spec->steps.steps_val[0];
  step->cpu_milli = 1000 * (1 + cancel_random (world, 3));
  step->speculative = FALSE;
  guint kind = cancel_random (world, 4);
  step->long_running = kind == 0;
  step->gang = kind == 1;
  if (kind == 2)
    {
      spec->first_due_ms = job->record.accepted_ms + cancel_random (world, 2000);
      spec->interval_ms = 500 + cancel_random (world, 3000);
      spec->occurrences = 1 + cancel_random (world, 3);
    }
  /* Without an estimate a run never counts as stuck. */
  if (cancel_random (world, 2) == 0)
    step->estimate_ms = 0;
}

static guint
draw_cancel_delay_ms (World *world)
{
  static const guint max_ms[] = { 1, 50, 500, 2000, MAX_LASTING_MS };
  return cancel_random (world, max_ms[cancel_random (world, G_N_ELEMENTS (max_ms))]);
}

void
world_cancels_submit (World *world, Job *job)
{
  if (!world->cancelling)
    return;
  if (cancel_random (world, 2) == 0)
    make_lasting (world, job);
  else if (cancel_random (world, 2) == 0)
    job->record.spec.steps.steps_val[0].speculative = TRUE;
  /* Crashes are counted for all occurrences of a job together. */
  if (cancel_random (world, 10) == 0 && job->record.spec.occurrences == 0)
    job->crashing_tasks = 1 + cancel_random (world, TASK_MAX);
  if (!job->lasting && job->crashing_tasks == 0 && cancel_random (world, 3) == 0)
    return;
  job->cancel_trigger = (CancelTrigger) cancel_random (world, CANCEL_TRIGGER_N);
  job->cancel_due_ms = world->now_ms
                       + (job->cancel_trigger == CANCEL_AT_ANY_TIME ? draw_cancel_delay_ms (world)
                                                                    : MAX_LASTING_MS);
  /* A submission in doubt is repeated, and may be stored after its cancel. */
  if (cancel_random (world, 20) == 0)
    {
      job->cancelled = TRUE;
      job->cancelled_ms = world->now_ms;
    }
}

/* ---- cancels ------------------------------------------------------------------------- */

/* Cancels JOB within MAX_MS if it waits for TRIGGER. */
static void
trigger_cancel (World *world, Job *job, CancelTrigger trigger, guint max_ms)
{
  if (job->cancelled || job->cancel_due_ms == 0 || job->cancel_trigger != trigger)
    return;
  job->cancel_trigger = CANCEL_AT_ANY_TIME;
  job->cancel_due_ms = world->now_ms + cancel_random (world, max_ms);
}

void
world_cancels_order_sent (World *world, const Order *order)
{
  if (!world->cancelling || order->kind == ORDER_POLL)
    return;
  Job *job = world_find_job (world, order->task);
  if (job != NULL && order->kind == ORDER_START)
    trigger_cancel (world, job, CANCEL_AT_START, 30);
  else if (job != NULL)
    trigger_cancel (world, job, CANCEL_AT_STOP, 700);
}

void
world_cancels_owner_changed (World *world)
{
  for (guint i = 0; world->cancelling && i < world->job_n; i++)
    trigger_cancel (world, &world->jobs[i], CANCEL_AT_OWNER_CHANGE, 1500);
}

void
world_cancels_worker_crashed (World *world, const Worker *worker)
{
  for (guint i = 0; world->cancelling && i < worker->runs->len; i++)
    {
      Job *job = world_find_job (world, g_array_index (worker->runs, Run, i).task);
      if (job != NULL)
        trigger_cancel (world, job, CANCEL_AT_CRASH, 3000);
    }
}

static gboolean
is_running (const World *world, const char *task)
{
  for (guint i = 0; i < WORKER_N; i++)
    {
      const Worker *worker = &world->workers[i];
      for (guint j = 0; worker->up && j < worker->runs->len; j++)
        {
          if (g_str_equal (g_array_index (worker->runs, Run, j).task, task))
            return TRUE;
        }
    }
  return FALSE;
}

void
world_cancels_end_acknowledged (World *world, Job *job, const char *task)
{
  if (world->cancelling && is_running (world, task))
    trigger_cancel (world, job, CANCEL_AT_SECOND_RUN, 500);
}

/* A third of the runs may outlast a partition that holds back an end of their task. */
guint
world_cancels_min_run_ms (World *world)
{
  return cancel_random (world, 3) == 0 ? cancel_random (world, MAX_RUN_MS) : 0;
}

static guint
job_index (const World *world, const Job *job)
{
  return (guint) (job - world->jobs);
}

/* A cancel of a job that the daemon has not read yet is kept by it until it reads the job. */
static void
apply (World *world, Owner *owner, const Job *job)
{
  fb_work_state state = FB_WORK_QUEUED;
  uint64_t *applied_ms = &owner->cancel_applied_ms[job_index (world, job)];
  if (*applied_ms != 0 || !fb_pool_job_state (owner->pool, job->id, &state))
    return;
  *applied_ms = world->now_ms;
  fb_pool_cancel_job (owner->pool, job->id, world->now_ms, WALL_MS + world->now_ms);
}

static void
read_cancel (World *world, Owner *owner, const Job *job)
{
  owner->cancel_read[job_index (world, job)] = TRUE;
  apply (world, owner, job);
}

void
world_cancels_job_read (World *world, Owner *owner, const Job *job)
{
  if (world->cancelling && owner->cancel_read[job_index (world, job)])
    apply (world, owner, job);
}

void
world_cancels_read_all (World *world, Owner *owner)
{
  for (guint i = 0; i < world->job_n; i++)
    {
      if (world->jobs[i].cancelled)
        read_cancel (world, owner, &world->jobs[i]);
    }
}

void
world_cancels_read_some (World *world, Owner *owner)
{
  for (guint i = 0; world->cancelling && i < world->job_n; i++)
    {
      if (world->jobs[i].cancelled && cancel_random (world, 2) == 0)
        read_cancel (world, owner, &world->jobs[i]);
    }
}

/* Half of the owners read the cancel when it is stored, the others up to LIST_LAG_MS later. */
static void
store_cancel (World *world, Job *job)
{
  job->cancelled = TRUE;
  job->cancelled_ms = world->now_ms;
  world_trace (world, "job %s is cancelled", job->id);
  for (guint i = 0; i < OWNER_N; i++)
    {
      Owner *owner = &world->owners[i];
      if (owner->pool != NULL && !owner->paused && world_daemon_reaches_store (world, i)
          && cancel_random (world, 2) == 0)
        read_cancel (world, owner, job);
    }
}

/* ---- checks -------------------------------------------------------------------------- */

void
world_cancels_check_start (World *world, const Job *job, const Order *order)
{
  if (!job->cancelled)
    return;
  if (order->follows_cancel)
    world_report_violation (world, "%s started after its owner had been told of the cancel",
                            order->task);
  if (order->sender_stable && order->sent_ms > job->cancelled_ms + CANCEL_MS)
    world_report_violation (world, "%s was started %u ms after its job was cancelled", order->task,
                            (guint) (order->sent_ms - job->cancelled_ms));
}

/* Returns: TRUE when the list shows the present incarnation of WORKER. */
static gboolean
is_entry_current (const World *world, const Worker *worker)
{
  const Entry entry = world_worker_entry (world, worker);
  return worker->listed && g_str_equal (entry.id, worker->id)
         && entry.incarnation_started_ms == worker->incarnation_started_ms;
}

/* Notes which incarnations OWNER has found in the list since LIST_LAG_MS. */
static void
update_known_incarnations (World *world, Owner *owner)
{
  for (guint i = 0; i < WORKER_N; i++)
    {
      const Worker *worker = &world->workers[i];
      if (!is_entry_current (world, worker))
        owner->entry_current_since_ms[i] = 0;
      else if (owner->entry_current_since_ms[i] == 0)
        owner->entry_current_since_ms[i] = world->now_ms;
      if (owner->entry_current_since_ms[i] != 0 && owner->list_complete
          && owner->list_read_ms >= owner->entry_current_since_ms[i])
        owner->known_incarnations[i] = worker->incarnation;
    }
}

/* Returns: TRUE when calls of OWNER reach WORKER and are answered, but for single ones. */
static gboolean
are_in_touch (const World *world, const Owner *owner, const Worker *worker)
{
  guint i = (guint) (worker - world->workers);
  return !worker->unreachable && !worker->failing
         && world->now_ms >= world->connections_break_until_ms
         && owner->known_incarnations[i] == worker->incarnation
         && !world_partitions_separate (world, (guint) (owner - world->owners), worker);
}

static void
check_runs (World *world, const Owner *owner, Worker *worker)
{
  gboolean in_touch = owner != NULL && are_in_touch (world, owner, worker);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      Run *run = &g_array_index (worker->runs, Run, i);
      const Job *job = world_find_job (world, run->task);
      if (job == NULL || !job->cancelled)
        continue;
      if (!in_touch || owner->cancel_applied_ms[job_index (world, job)] == 0
          || run->in_touch_with != owner->incarnation)
        {
          run->in_touch_with = in_touch ? owner->incarnation : 0;
          run->in_touch_since_ms = world->now_ms;
        }
      else if (world->now_ms > run->in_touch_since_ms + CANCEL_MS + STOP_DELAY_MS)
        world_report_violation (world, "%s, attempt %u, runs on %s %u ms after its cancel",
                                run->task, run->attempt, worker->id,
                                (guint) (world->now_ms - job->cancelled_ms));
    }
}

void
world_cancels_tick (World *world)
{
  if (!world->cancelling)
    return;
  for (guint i = 0; i < world->job_n; i++)
    {
      Job *job = &world->jobs[i];
      if (!job->cancelled && job->cancel_due_ms != 0 && world->now_ms >= job->cancel_due_ms
          && !world->store_unavailable)
        store_cancel (world, job);
    }
  Owner *owner = &world->owners[world->current_owner];
  gboolean is_at_work = owner->pool != NULL && !owner->paused && !owner->fenced
                        && owner->epoch == world->store_epoch;
  if (is_at_work)
    update_known_incarnations (world, owner);
  for (guint i = 0; i < WORKER_N; i++)
    {
      if (world->workers[i].up)
        check_runs (world, is_at_work ? owner : NULL, &world->workers[i]);
    }
}
