/* Kinds "stops" and "stops-partitions": tasks that are stopped to run elsewhere.
 *
 * Adds gangs, checkpointing and long-running tasks, priorities that cause preemption, slow and
 * draining workers, and stops that take long.  Its draws come from a random stream of their own. */
#include "pool-world.h"

#include <stdio.h>
#include <string.h>

#define MIN_WORK_MS 900
#define MAX_WORK_MS 5600
#define RESTORE_MS 150
#define CHECKPOINT_WORK_MS 500
/* A slow worker does this part of its work. */
#define SLOW_DIVISOR 10
#define MAX_SLOW_MS 8000
#define MAX_FREEZE_MS 10000
#define MAX_PATH_CUT_MS 8000
/* Longer than a successor waits for the leases of workers that it does not reach. */
#define MIN_SPLIT_MS 7000
#define MAX_SPLIT_MS 12000
#define MAX_LATE_STOP_MS 3000
#define MAX_DRAIN_MS 8000
#define MAX_FAULT_AFTER_STOP_MS 1000

static guint
stops_random (World *world, guint n)
{
  return (guint) g_rand_int_range (world->stop_rand, 0, (gint32) n);
}

static const fb_work_step *
find_step (World *world, const char *task, Job **job, guint *step, guint *index)
{
  unsigned occurrence = 0;
  *job = world_find_job (world, task);
  if (*job == NULL
      || sscanf (task + FB_WORK_JOB_ID_CHARS, ".%u.%u.%u", &occurrence, step, index) != 3)
    return NULL;
  return &(*job)->record.spec.steps.steps_val[*step];
}

/* ---- jobs ---------------------------------------------------------------------------- */

gboolean
world_stops_may_submit (World *world)
{
  return !world->stops || stops_random (world, 3) == 0;
}

/* A gang fits on one worker, so that it can start wherever its job is allowed. */
static void
make_gang (World *world, fb_work_step *step)
{
  step->gang = TRUE;
  step->count = 2 + stops_random (world, 2);
  step->cpu_milli = WORKER_CPU_MILLI / step->count;
}

static void
make_long_running (Job *job)
{
  fb_work_spec *spec = &job->record.spec;
  job->lasting = TRUE;
  job->always_fails = FALSE;
  if (spec->steps.steps_len > 1)
    g_free (spec->steps.steps_val[1].after.after_val);
  spec->steps.steps_len = 1;
  spec->steps.steps_val[0].long_running = TRUE;
  spec->steps.steps_val[0].cpu_milli = 2000;
}

static void
draw_step (World *world, fb_work_step *step)
{
  static const guint estimates_ms[] = { 0, 300, 3000 };
  step->estimate_ms = estimates_ms[stops_random (world, G_N_ELEMENTS (estimates_ms))];
  step->checkpointing = stops_random (world, 4) > 0;
  guint kind = stops_random (world, 4);
  if (kind == 0)
    make_gang (world, step);
  else if (kind == 1)
    step->cpu_milli = WORKER_CPU_MILLI - 1000 * (int) stops_random (world, 6);
  step->speculative = FALSE;
}

/* Runs are preempted for jobs of a higher priority that have less time. */
void
world_stops_submit (World *world, Job *job)
{
  if (!world->stops)
    return;
  fb_work_policy *policy = &job->record.policy;
  policy->target_ms = policy->priority == 0 ? 500 : 15000 * policy->priority;
  policy->advised = stops_random (world, 4) > 0;
  for (u_int i = 0; i < job->record.spec.steps.steps_len; i++)
    draw_step (world, &job->record.spec.steps.steps_val[i]);
  if (stops_random (world, 8) == 0)
    make_long_running (job);
}

/* ---- runs ---------------------------------------------------------------------------- */

static gboolean
stands_still (const World *world, const Worker *worker)
{
  return world->now_ms < worker->stands_still_until_ms;
}

gboolean
world_stops_stands_still (const World *world, const Worker *worker)
{
  return world->stops && stands_still (world, worker);
}

guint
world_stops_delay_ms (World *world)
{
  if (!world->stops)
    return STOP_DELAY_MS;
  guint least_ms = stops_random (world, 2) == 0 ? LONG_STOP_MS - 200 : 0;
  return least_ms + stops_random (world, LONG_STOP_MS + 1 - least_ms);
}

static gboolean
is_same_gang (World *world, const Run *run, const Run *other)
{
  if (!run->is_gang || run->attempt != other->attempt)
    return FALSE;
  Job *job = NULL;
  Job *other_job = NULL;
  guint step = 0;
  guint other_step = 0;
  guint index = 0;
  (void) find_step (world, run->task, &job, &step, &index);
  (void) find_step (world, other->task, &other_job, &other_step, &index);
  return job == other_job && step == other_step;
}

typedef void (*MemberFunc) (World *world, Worker *worker, Run *member, gpointer data);

/* Calls FUNC for each run of the gang of RUN, also for RUN. */
static void
foreach_member (World *world, const Run *run, MemberFunc func, gpointer data)
{
  for (guint i = 0; i < WORKER_N; i++)
    {
      Worker *worker = &world->workers[i];
      for (guint j = 0; worker->up && j < worker->runs->len; j++)
        {
          Run *member = &g_array_index (worker->runs, Run, j);
          if (is_same_gang (world, run, member))
            func (world, worker, member, data);
        }
    }
}

static void
check_checkpoint (World *world, Worker *worker, Run *member, gpointer data)
{
  const Run *run = data;
  if (!g_str_equal (member->start_checkpoint, run->start_checkpoint))
    world_report_violation (world, "%s starts from checkpoint \"%s\", %s on %s from \"%s\"",
                            run->task, run->start_checkpoint, member->task, worker->id,
                            member->start_checkpoint);
}

void
world_stops_start_run (World *world, const Order *order, Run *run)
{
  if (!world->stops)
    return;
  Job *job = NULL;
  guint step = 0;
  guint index = 0;
  const fb_work_step *spec = find_step (world, order->task, &job, &step, &index);
  guint unit = spec->gang ? 0 : index;
  if (job->work_ms[step][unit] == 0)
    job->work_ms[step][unit] = MIN_WORK_MS + stops_random (world, MAX_WORK_MS - MIN_WORK_MS);
  run->work_ms = job->work_ms[step][unit];
  run->saves = spec->checkpointing;
  run->is_gang = spec->gang;
  run->waits = spec->gang;
  run->gang_until_ms = world->now_ms + GANG_WAIT_MS;
  /* The first member stands for failures of the whole gang. */
  run->fails = run->fails && unit == index;
  guint done_ms = 0;
  (void) sscanf (order->checkpoint, "w%u", &done_ms);
  run->left_ms = run->work_ms - MIN (done_ms, run->work_ms);
  run->left_ms += done_ms > 0 ? RESTORE_MS : 0;
  run->end_ms = G_MAXUINT64;
  g_strlcpy (run->checkpoint, order->checkpoint, sizeof run->checkpoint);
  g_strlcpy (run->start_checkpoint, order->checkpoint, sizeof run->start_checkpoint);
  if (run->is_gang)
    foreach_member (world, run, check_checkpoint, run);
}

/* Returns: TRUE when RUN ends because of its gang, with REASON. */
gboolean
world_stops_gang_end (const World *world, const Run *run, FbEndReason *reason)
{
  if (!run->is_gang)
    return FALSE;
  *reason = run->is_broken ? FB_END_GANG_BROKEN : FB_END_GANG_TIMEOUT;
  return run->is_broken || (run->waits && world->now_ms >= run->gang_until_ms);
}

static void
end_member (World *world, Worker *worker, Run *member, gpointer data)
{
  (void) worker;
  if (*(FbEndReason *) data != FB_END_DONE)
    member->is_broken = !member->waits;
  else
    {
      member->end_ms = world->now_ms;
      member->stop_ms = 0;
    }
}

/* The other members of the gang of RUN end with it; one that waits for it goes on waiting. */
void
world_stops_run_ended (World *world, const Run *run, FbEndReason reason)
{
  if (!run->is_gang)
    return;
  foreach_member (world, run, end_member, &reason);
  if (reason != FB_END_DONE)
    return;
  /* This end stands for those of all members. */
  Job *job = NULL;
  guint step = 0;
  guint index = 0;
  const fb_work_step *spec = find_step (world, run->task, &job, &step, &index);
  for (u_int i = 0; i < spec->count; i++)
    job->done_runs[step][i] += i != index;
}

/* Starts of other members that were sent before may still arrive. */
void
world_stops_done_acknowledged (const World *world, Job *job, guint step)
{
  const fb_work_step *spec = &job->record.spec.steps.steps_val[step];
  for (u_int i = 0; world->stops && spec->gang && i < spec->count; i++)
    {
      if (job->end_acknowledged[step][i])
        continue;
      job->end_acknowledged[step][i] = TRUE;
      job->late_start_limit_ms[step][i] = world->now_ms;
    }
}

/* Saves what RUN has done so far in CHECKPOINT. */
static void
save (const Run *run, char *checkpoint, gsize size)
{
  if (run->saves && run->left_ms < run->work_ms)
    g_snprintf (checkpoint, size, "w%u", run->work_ms - run->left_ms);
}

void
world_stops_save_at_stop (Run *run)
{
  save (run, run->checkpoint, sizeof run->checkpoint);
}

static void
count_ready_member (World *world, Worker *worker, Run *member, gpointer data)
{
  (void) world;
  (void) worker;
  *(guint *) data += member->stop_ms == 0;
}

static void
begin_member (World *world, Worker *worker, Run *member, gpointer data)
{
  (void) world;
  (void) worker;
  (void) data;
  member->waits = FALSE;
}

static void
check_member_works (World *world, Worker *worker, Run *member, gpointer data)
{
  (void) member;
  *(gboolean *) data &= !stands_still (world, worker);
}

static gboolean
gang_is_at_work (World *world, Run *run)
{
  Job *job = NULL;
  guint step = 0;
  guint index = 0;
  guint ready = 0;
  gboolean works = TRUE;
  const fb_work_step *spec = find_step (world, run->task, &job, &step, &index);
  if (run->waits)
    {
      foreach_member (world, run, count_ready_member, &ready);
      if (ready == spec->count)
        foreach_member (world, run, begin_member, NULL);
      return FALSE;
    }
  foreach_member (world, run, check_member_works, &works);
  return works;
}

static void
work (World *world, const Worker *worker, Run *run)
{
  if (stands_still (world, worker) || (run->is_gang && !gang_is_at_work (world, run)))
    return;
  gboolean is_slow = world->now_ms < worker->slow_until_ms;
  if (is_slow && world->now_ms / TICK_MS % SLOW_DIVISOR != 0)
    return;
  const Job *job = world_find_job (world, run->task);
  run->left_ms -= MIN (run->left_ms, TICK_MS);
  if (run->left_ms == 0 && !job->lasting)
    run->end_ms = world->now_ms;
  if (run->left_ms < run->work_ms && (run->work_ms - run->left_ms) % CHECKPOINT_WORK_MS < TICK_MS)
    save (run, run->checkpoint, sizeof run->checkpoint);
  run->percent
      = (uint8_t) (100 - MIN (run->left_ms, run->work_ms) * 100 / MAX (run->work_ms, MIN_WORK_MS));
}

static void
worker_tick (World *world, Worker *worker)
{
  for (guint i = 0; worker->up && i < worker->runs->len; i++)
    work (world, worker, &g_array_index (worker->runs, Run, i));
  if (worker->up && worker->draining && worker->second_crash_ms == 0 && !world->healing)
    worker->second_crash_ms = world->now_ms + 1000 + stops_random (world, MAX_DRAIN_MS);
}

/* ---- calls --------------------------------------------------------------------------- */

static gint
compare_orders (gconstpointer a, gconstpointer b)
{
  const Order *first = *(const Order *const *) a;
  const Order *second = *(const Order *const *) b;
  return (first->sent_ms > second->sent_ms) - (first->sent_ms < second->sent_ms);
}

/* Returns: TRUE while ORDER has been received by WORKER, which stands still. */
gboolean
world_stops_hold_call (const World *world, const Worker *worker, Order *order)
{
  if (!world_stops_stands_still (world, worker))
    return FALSE;
  if (order->received_ms == 0)
    {
      order->received_ms = world->now_ms;
      order->received_incarnation = worker->incarnation;
    }
  return TRUE;
}

gboolean
world_stops_path_is_cut (const World *world, const Order *order)
{
  return world->stops && order->received_ms == 0
         && world->now_ms < world->path_cut_until_ms[order->owner][order->worker];
}

gboolean
world_stops_relay_stands_still (const World *world, const Order *order)
{
  return world->stops && world->now_ms < world->relay_still_until_ms[order->worker % PEER_N];
}

static void
delay_order (Order *order, uint64_t until_ms)
{
  order->answer_lost = TRUE;
  order->received_ms = order->arrives_ms;
  order->arrives_ms = until_ms;
}

static void
draw_stop_fault (World *world, Order *order)
{
  switch (stops_random (world, 12))
    {
    case 0:
      order->answer_lost = TRUE;
      break;
    case 1:
      delay_order (order, world->now_ms + stops_random (world, MAX_LATE_STOP_MS));
      break;
    case 2:
      order->arrives_ms = G_MAXUINT64;
      break;
    case 3:
      {
        Order *copy = g_memdup2 (order, sizeof *order);
        copy->copies = 1;
        copy->timeout_at_ms = G_MAXUINT64;
        delay_order (copy, world->now_ms + stops_random (world, MAX_LATE_STOP_MS));
        g_ptr_array_add (world->orders, copy);
        break;
      }
    default:
      break;
    }
}

void
world_stops_order_sent (World *world, Order *order)
{
  if (!world->stops || world->healing)
    return;
  if (world_stops_relay_stands_still (world, order))
    delay_order (order, world->relay_still_until_ms[order->worker % PEER_N]);
  if (order->kind != ORDER_STOP)
    return;
  draw_stop_fault (world, order);
  if (world->stop_fault_ms == 0 && stops_random (world, 8) == 0)
    world->stop_fault_ms = world->now_ms + 1 + stops_random (world, MAX_FAULT_AFTER_STOP_MS);
}

/* ---- faults -------------------------------------------------------------------------- */

/* The daemon is killed, or its process or only its main loop stands still. */
static void
fail_owner (World *world, guint i)
{
  Owner *owner = &world->owners[i];
  if (owner->pool == NULL || owner->paused)
    return;
  guint for_ms = 1 + stops_random (world, MAX_FREEZE_MS);
  guint kind = stops_random (world, 3);
  world->last_fault_ms[i] = world->now_ms;
  if (kind == 0)
    {
      world_trace (world, "daemon %u is killed", i);
      world_owner_stop (world, i);
      if (stops_random (world, 2) == 0)
        world_peer_fail (world);
      return;
    }
  world_trace (world, "daemon %u stands still for %u ms%s", i, for_ms,
               kind == 1 ? "" : " but renews its membership");
  owner->paused = TRUE;
  owner->resume_ms = kind == 1 ? 0 : world->now_ms + for_ms;
  world->owner_still_until_ms[i] = kind == 1 ? world->now_ms + for_ms : 0;
}

/* The owner does not reach the store, and most workers are reached by one daemon only.  The workers
 * reach the store. */
static void
split_daemons (World *world)
{
  guint for_ms = MIN_SPLIT_MS + stops_random (world, MAX_SPLIT_MS - MIN_SPLIT_MS);
  world->daemons[world->current_owner].store_cut_until_ms = world->now_ms + for_ms;
  world_trace (world, "daemon %u does not reach the store for %u ms", world->current_owner, for_ms);
  for (guint i = 0; i < WORKER_N; i++)
    {
      guint daemon = stops_random (world, OWNER_N);
      if (stops_random (world, 5) == 0)
        continue;
      world->path_cut_until_ms[daemon][i] = world->now_ms + for_ms;
      world_trace (world, "daemon %u does not reach %s for %u ms", daemon, world->workers[i].id,
                   for_ms);
    }
}

static void
inject_worker_faults (World *world)
{
  guint i = stops_random (world, WORKER_N);
  Worker *worker = &world->workers[i];
  if (stops_random (world, 300) == 0)
    {
      worker->slow_until_ms = world->now_ms + 1000 + stops_random (world, MAX_SLOW_MS);
      world_trace (world, "%s is slow until %u ms", worker->id,
                   (guint) (worker->slow_until_ms % 1000000));
    }
  if (stops_random (world, 600) == 0)
    {
      worker->stands_still_until_ms = world->now_ms + 1 + stops_random (world, MAX_FREEZE_MS);
      world_trace (world, "%s stands still until %u ms", worker->id,
                   (guint) (worker->stands_still_until_ms % 1000000));
    }
  if (stops_random (world, 250) == 0)
    {
      guint daemon = stops_random (world, OWNER_N);
      guint for_ms = 1 + stops_random (world, MAX_PATH_CUT_MS);
      world->path_cut_until_ms[daemon][i] = world->now_ms + for_ms;
      world_trace (world, "daemon %u does not reach %s for %u ms", daemon, worker->id, for_ms);
    }
}

void
world_stops_inject_faults (World *world)
{
  if (!world->stops)
    return;
  inject_worker_faults (world);
  if (stops_random (world, 900) == 0)
    {
      guint i = stops_random (world, PEER_N);
      world->relay_still_until_ms[i] = world->now_ms + 1 + stops_random (world, MAX_FREEZE_MS);
      world_trace (world, "relay %u stands still until %u ms", i,
                   (guint) (world->relay_still_until_ms[i] % 1000000));
    }
  if (stops_random (world, 900) == 0)
    fail_owner (world, stops_random (world, OWNER_N));
  if (stops_random (world, 2500) == 0)
    split_daemons (world);
  if (world->stop_fault_ms != 0 && world->now_ms >= world->stop_fault_ms)
    {
      world->stop_fault_ms = 0;
      fail_owner (world, world->current_owner);
    }
}

/* Long-running tasks end when their job is cancelled. */
void
world_stops_heal (World *world)
{
  if (!world->stops)
    return;
  for (guint i = 0; i < WORKER_N; i++)
    {
      world->workers[i].slow_until_ms = 0;
      world->workers[i].stands_still_until_ms
          = MIN (world->workers[i].stands_still_until_ms, world->now_ms);
    }
  memset (world->path_cut_until_ms, 0, sizeof world->path_cut_until_ms);
  memset (world->relay_still_until_ms, 0, sizeof world->relay_still_until_ms);
  for (guint i = 0; i < world->job_n; i++)
    {
      Job *job = &world->jobs[i];
      if (!job->lasting || job->cancelled)
        continue;
      job->cancelled = TRUE;
      job->cancelled_ms = world->now_ms;
    }
}

void
world_stops_tick (World *world)
{
  if (!world->stops)
    return;
  for (guint i = 0; i < WORKER_N; i++)
    {
      Worker *worker = &world->workers[i];
      worker_tick (world, worker);
      if (worker->stands_still_until_ms == 0 || stands_still (world, worker))
        continue;
      /* It executes what it has received meanwhile in the order in which it was sent. */
      worker->stands_still_until_ms = 0;
      g_ptr_array_sort (world->orders, compare_orders);
    }
  for (guint i = 0; i < OWNER_N; i++)
    {
      Owner *owner = &world->owners[i];
      if (world->owner_still_until_ms[i] == 0 || world->now_ms < world->owner_still_until_ms[i])
        continue;
      world->owner_still_until_ms[i] = 0;
      if (owner->resume_ms == 0)
        owner->paused = FALSE;
    }
}
