/* Kinds "restarts-cut" and "restarts-cut-owners": workers restart under their ids and are cut off
 * soon after, while long tasks run.
 *
 * Calls that were meant for the incarnation before reach the next one, whose clock is anywhere.
 * Entries in the list are written late, removed and written again.  In "restarts-cut-owners" the
 * owner changes or stands still meanwhile.  Draws come from a random stream of their own. */
#include "pool-world.h"

#define MIN_LONG_RUN_MS 9000
#define MAX_LONG_RUN_MS 18000
#define LONG_MAX_LEASE_MS 10000
#define MAX_RESTART_SAME_ID_MS 1000
#define MIN_CUT_AFTER_MS 300
#define MAX_CUT_AFTER_MS 3000
#define MIN_CUT_MS 7000
#define MAX_CUT_MS 11000
/* A call that was meant for the incarnation before is carried out within this time after it was
 * sent, unless orders of any incarnation may be carried out late. */
#define MAX_MISDIRECTED_MS 1200
#define MIN_ENTRY_DELAY_MS 100
#define MAX_ENTRY_DELAY_MS 2000
#define MAX_SLOW_STORE_DELAY_MS 6000
#define MAX_HIDDEN_MS 1500
#define MAX_OWNER_FAULT_AFTER_MS 4000
#define MAX_FREEZE_MS 8000

static guint
restarts_random (World *world, guint n)
{
  return (guint) g_rand_int_range (world->restarts_rand, 0, (gint32) n);
}

/* Returns: a number from MIN to MAX, drawn from the seed. */
static guint
draw_between (World *world, guint min, guint max)
{
  return min + restarts_random (world, max - min + 1);
}

void
world_restarts_init (World *world)
{
  if (world->restarts && restarts_random (world, 2) == 0)
    world->max_lease_ms = LONG_MAX_LEASE_MS;
}

/* ---- jobs ---------------------------------------------------------------------------- */

gboolean
world_restarts_may_submit (World *world)
{
  return !world->restarts || restarts_random (world, 2) == 0;
}

/* Tasks are small, so that a task that is taken for lost can start elsewhere at once. */
void
world_restarts_submit (World *world, Job *job)
{
  if (!world->restarts)
    return;
  for (u_int i = 0; i < job->record.spec.steps.steps_len; i++)
    job->record.spec.steps.steps_val[i].cpu_milli = 1000 * (1 + (int) restarts_random (world, 3));
}

guint
world_restarts_min_run_ms (World *world)
{
  return restarts_random (world, 3) > 0 ? draw_between (world, MIN_LONG_RUN_MS, MAX_LONG_RUN_MS)
                                        : 0;
}

/* ---- workers ------------------------------------------------------------------------- */

void
world_restarts_worker_started (World *world, Worker *worker, gboolean reuses_id)
{
  if (!world->restarts)
    return;
  worker->clock_start_ms = 1000 + restarts_random (world, 200000);
  worker->cut_due_ms = 0;
  worker->hide_due_ms = 0;
  if (!reuses_id || world->healing)
    return;
  gboolean store_is_slow = restarts_random (world, 4) == 0;
  worker->next_entry_ms
      = world->now_ms
        + draw_between (world, MIN_ENTRY_DELAY_MS,
                        store_is_slow ? MAX_SLOW_STORE_DELAY_MS : MAX_ENTRY_DELAY_MS);
  if (restarts_random (world, 4) > 0)
    worker->cut_due_ms = world->now_ms + draw_between (world, MIN_CUT_AFTER_MS, MAX_CUT_AFTER_MS);
  if (restarts_random (world, 3) == 0)
    worker->hide_due_ms = world->now_ms + restarts_random (world, MAX_CUT_AFTER_MS);
}

/* An owner that has not heard of an end cannot tell it from a crash of the run. */
void
world_restarts_worker_crashed (World *world, const Worker *worker)
{
  for (guint i = 0; world->restarts && i < worker->ends->len; i++)
    world_worker_count_crash (world, g_array_index (worker->ends, End, i).task);
}

void
world_restarts_order_received (const World *world, Order *order)
{
  g_autofree char *name = world_worker_name (world, &world->workers[order->worker]);
  if (world->restarts && world->restart_mode == RESTART_EITHER_ID
      && !g_str_equal (order->worker_name, name))
    order->arrives_ms = MIN (order->arrives_ms, order->sent_ms + MAX_MISDIRECTED_MS);
}

/* Nor can it tell a start without an answer, sent around a crash, from one that crashed with its
 * worker. */
void
world_restarts_start_unanswered (World *world, const Order *order)
{
  const Worker *worker = &world->workers[order->worker];
  if (world->restarts && (!worker->up || worker->started_ms > order->sent_ms))
    world_worker_count_crash (world, order->task);
}

/* The entry of WORKER is removed from the list and written again. */
static void
hide_entry (World *world, Worker *worker)
{
  worker->hidden_until_ms = world->now_ms + 1 + restarts_random (world, MAX_HIDDEN_MS);
  worker->listed = FALSE;
  worker->entry_listed = FALSE;
  world_trace (world, "the entry of %s is removed until %u ms", worker->id,
               (guint) (worker->hidden_until_ms % 1000000));
}

static void
cut_worker (World *world, Worker *worker)
{
  guint for_ms = draw_between (world, MIN_CUT_MS, MAX_CUT_MS);
  CutKind kind = restarts_random (world, 2) == 0 ? CUT_SILENT
                                                 : (CutKind) restarts_random (world, CUT_KIND_N);
  worker->cut_until_ms = worker->store_cut_until_ms = worker->cut_change_ms
      = world->now_ms + for_ms;
  worker->cut_kinds[0] = worker->cut_kinds[1] = kind;
  world_trace (world, "%s is cut off for %u ms as %d", worker->id, for_ms, (int) kind);
}

static void
restart_worker (World *world, Worker *worker)
{
  if (!worker->up)
    return;
  world_worker_crash (world, worker, NULL);
  worker->keeps_id = TRUE;
  worker->restart_ms = world->now_ms + 1 + restarts_random (world, MAX_RESTART_SAME_ID_MS);
}

static void
restart_workers (World *world)
{
  for (guint n = 1 + restarts_random (world, 3); n > 0; n--)
    restart_worker (world, &world->workers[restarts_random (world, WORKER_N)]);
  if (world->restarts_owners && world->owner_fault_ms == 0 && restarts_random (world, 4) > 0)
    world->owner_fault_ms = world->now_ms + restarts_random (world, MAX_OWNER_FAULT_AFTER_MS);
}

/* ---- owners -------------------------------------------------------------------------- */

/* The store assigns the pool to another daemon. */
static void
replace_owner (World *world)
{
  world_owner_start (world, (world->current_owner + 1) % OWNER_N);
}

static void
fail_owner (World *world)
{
  guint i = world->current_owner;
  Owner *owner = &world->owners[i];
  if (owner->pool == NULL || owner->paused || world->store_unavailable)
    return;
  world->last_fault_ms[i] = world->now_ms;
  guint for_ms = 1 + restarts_random (world, MAX_FREEZE_MS);
  switch (restarts_random (world, 6))
    {
    case 0:
      world_trace (world, "daemon %u is suspended for %u ms", i, for_ms);
      owner->paused = TRUE;
      owner->resume_ms = 0;
      world->owner_still_until_ms[i] = world->now_ms + for_ms;
      break;
    case 1:
      world_trace (world, "daemon %u stands still for %u ms but renews its membership", i, for_ms);
      owner->paused = TRUE;
      owner->resume_ms = world->now_ms + for_ms;
      break;
    case 2:
      world_trace (world, "the keys of daemon %u are revoked", i);
      replace_owner (world);
      break;
    case 3:
      world_trace (world, "daemon %u is stopped as planned", i);
      world_owner_stop (world, i);
      replace_owner (world);
      break;
    default:
      world_trace (world, "daemon %u is killed", i);
      world_owner_stop (world, i);
      if (restarts_random (world, 2) == 0)
        world_peer_fail (world);
    }
}

static void
resume_owners (World *world)
{
  for (guint i = 0; i < OWNER_N; i++)
    {
      if (world_is_due (world, &world->owner_still_until_ms[i]) && world->owners[i].resume_ms == 0)
        world->owners[i].paused = FALSE;
    }
}

void
world_restarts_inject_faults (World *world)
{
  if (!world->restarts)
    return;
  if (restarts_random (world, 600) == 0)
    restart_workers (world);
  if (restarts_random (world, 200) == 0)
    hide_entry (world, &world->workers[restarts_random (world, WORKER_N)]);
  for (guint i = 0; i < WORKER_N; i++)
    {
      Worker *worker = &world->workers[i];
      if (world_is_due (world, &worker->cut_due_ms) && worker->up)
        cut_worker (world, worker);
      if (world_is_due (world, &worker->hide_due_ms))
        hide_entry (world, worker);
    }
  if (world_is_due (world, &world->owner_fault_ms))
    fail_owner (world);
  resume_owners (world);
}

void
world_restarts_heal (World *world)
{
  for (guint i = 0; world->restarts && i < WORKER_N; i++)
    {
      world->workers[i].cut_due_ms = 0;
      world->workers[i].hide_due_ms = 0;
      world->workers[i].hidden_until_ms = 0;
    }
}
