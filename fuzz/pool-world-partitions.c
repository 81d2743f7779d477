/* Kind "partitions": entries of live workers expire, and workers and daemons are cut off from each
 * other and from the store.  Its faults are drawn in addition to those of kind "plain", from a
 * random stream of their own. */
#include "pool-world.h"

/* An entry that expired is written again within this time after its worker reaches the store. */
#define MAX_RELIST_MS 2000
#define MAX_OUTAGE_MS 9000
#define MAX_CUT_MS 10000
#define MAX_RUN_MS 8000
#define MAX_DAEMON_CUT_MS 7000

static guint
partition_random (World *world, guint n)
{
  return (guint) g_rand_int_range (world->partition_rand, 0, (gint32) n);
}

static gboolean
is_cut_off (const World *world, const Worker *worker)
{
  return worker->unreachable || world->now_ms < worker->cut_until_ms;
}

gboolean
world_daemon_reaches_store (const World *world, guint i)
{
  return !world->store_unavailable && world->now_ms >= world->daemons[i].store_cut_until_ms;
}

/* ---- entries in the list of workers -------------------------------------------------- */

void
world_partitions_worker_started (World *world, Worker *worker, gboolean reuses_id)
{
  if (!world->partitions)
    return;
  worker->refuses_when_down = partition_random (world, 2) == 0;
  worker->writes_entry = TRUE;
  worker->next_entry_ms = reuses_id ? worker->entry_updated_ms : world->now_ms;
  if (reuses_id)
    {
      worker->listed = worker->entry_listed;
      worker->entry_updated_ms = G_MAXUINT64;
    }
  else
    {
      worker->listed = FALSE;
      worker->cut_until_ms = 0;
      worker->store_cut_until_ms = 0;
    }
  /* The owner may not have stored that it knows the worker when the store becomes unavailable. */
  if (worker->incarnation > 1 && !world->healing && !world->restarts
      && partition_random (world, 3) == 0)
    world->outage_ms = world->now_ms + partition_random (world, 600);
}

static void
write_entry (World *world, Worker *worker)
{
  worker->listed = TRUE;
  worker->entry_written_ms = world->now_ms;
  worker->next_entry_ms = world->now_ms + ENTRY_INTERVAL_MS;
  if (worker->entry_updated_ms == G_MAXUINT64)
    worker->entry_updated_ms = world->now_ms;
}

void
world_partitions_list_tick (World *world)
{
  for (guint i = 0; i < WORKER_N; i++)
    {
      Worker *worker = &world->workers[i];
      gboolean writes_entry
          = worker->up && !is_cut_off (world, worker) && !world_stops_stands_still (world, worker)
            && world->now_ms >= worker->store_cut_until_ms
            && world->now_ms >= worker->hidden_until_ms && !world->store_unavailable;
      if (writes_entry && !worker->writes_entry)
        worker->next_entry_ms = world->now_ms + partition_random (world, MAX_RELIST_MS);
      worker->writes_entry = writes_entry;
      if (writes_entry && world->now_ms >= worker->next_entry_ms)
        write_entry (world, worker);
      if (world->store_unavailable && !world->entries_expire)
        worker->entry_written_ms = world->now_ms;
      if (worker->listed && world->now_ms >= worker->entry_written_ms + UNLIST_DELAY_MS)
        {
          worker->listed = FALSE;
          world_trace (world, "the entry of %s expires", worker->id);
        }
      worker->entry_listed = worker->listed;
    }
}

/* ---- calls --------------------------------------------------------------------------- */

/* Returns: the result of a call that fails as KIND; FB_ORDER_DONE: it gets no reply. */
static FbOrderResult
cut_result (const Order *order, CutKind kind)
{
  if (kind == CUT_SILENT)
    return FB_ORDER_DONE;
  return kind == CUT_REFUSED && !order->arrived ? FB_ORDER_NO_LISTENER : FB_ORDER_UNKNOWN;
}

static CutKind
cut_kind_of_worker (const World *world, const Worker *worker)
{
  if (!worker->up)
    return worker->refuses_when_down ? CUT_REFUSED : CUT_SILENT;
  return worker->cut_kinds[world->now_ms >= worker->cut_change_ms];
}

gboolean
world_call_is_blocked (const World *world, const Order *order, FbOrderResult *result)
{
  const Worker *worker = &world->workers[order->worker];
  const Daemon *daemon = &world->daemons[order->owner];
  *result = FB_ORDER_DONE;
  /* The worker has received it and executes it later. */
  if (order->received_incarnation != 0 && order->received_incarnation == worker->incarnation)
    return FALSE;
  if (!worker->up || is_cut_off (world, worker))
    *result = cut_result (order, cut_kind_of_worker (world, worker));
  else if (daemon->cut_workers[order->worker] && world->now_ms < daemon->cut_until_ms)
    *result = cut_result (order, daemon->cut_kind);
  else
    return FALSE;
  return TRUE;
}

gboolean
world_partitions_separate (const World *world, guint i, const Worker *worker)
{
  const Daemon *daemon = &world->daemons[i];
  return world->now_ms < worker->cut_until_ms
         || (daemon->cut_workers[worker - world->workers] && world->now_ms < daemon->cut_until_ms);
}

/* Half of the runs last about as long as the partition of a worker. */
guint
world_partitions_min_run_ms (World *world)
{
  return partition_random (world, 2) == 0 ? partition_random (world, MAX_RUN_MS) : 0;
}

/* ---- faults -------------------------------------------------------------------------- */

static CutKind
draw_cut_kind (World *world)
{
  return (CutKind) partition_random (world, CUT_KIND_N);
}

/* A worker is cut off from the daemons and mostly from the store. */
static void
cut_worker (World *world, Worker *worker)
{
  guint for_ms = 500 + partition_random (world, MAX_CUT_MS - 500);
  worker->cut_until_ms = world->now_ms + for_ms;
  worker->cut_change_ms = world->now_ms + partition_random (world, for_ms);
  worker->cut_kinds[0] = draw_cut_kind (world);
  worker->cut_kinds[1] = draw_cut_kind (world);
  if (partition_random (world, 4) > 0)
    worker->store_cut_until_ms = worker->cut_until_ms;
  world_trace (world, "%s is cut off for %u ms, as %d, then after %u ms as %d", worker->id, for_ms,
               (int) worker->cut_kinds[0], (guint) (worker->cut_change_ms - world->now_ms),
               (int) worker->cut_kinds[1]);
}

static void
cut_workers (World *world)
{
  for (guint n = 1 + partition_random (world, 3); n > 0; n--)
    cut_worker (world, &world->workers[partition_random (world, WORKER_N)]);
}

static void
cut_worker_from_store (World *world, Worker *worker, guint for_ms)
{
  worker->store_cut_until_ms = world->now_ms + for_ms;
  world_trace (world, "%s is cut off from the store for %u ms", worker->id, for_ms);
}

/* In half of the outages workers are cut off too, and in half of them the owner is killed around
 * the end. */
static void
begin_outage (World *world)
{
  guint for_ms = 1000 + partition_random (world, MAX_OUTAGE_MS - 1000);
  world->store_unavailable = TRUE;
  world->outage_end_ms = world->now_ms + for_ms;
  world->entries_expire = partition_random (world, 4) > 0;
  world_trace (world, "the store is unavailable for %u ms", for_ms);
  if (partition_random (world, 2) == 0)
    world->worker_cut_ms = world->now_ms + for_ms - partition_random (world, MIN (for_ms, 3000));
  if (partition_random (world, 2) == 0)
    world->owner_kill_ms = world->outage_end_ms + partition_random (world, 1500) - 1000;
}

/* The owner is cut off from the store, and each daemon from some workers, so that the next owner
 * and the previous one reach different workers. */
static void
separate_owners (World *world)
{
  guint owner = world->current_owner;
  guint for_ms = 1000 + partition_random (world, MAX_DAEMON_CUT_MS - 1000);
  world->daemons[owner].store_cut_until_ms = world->now_ms + for_ms;
  world_trace (world, "daemon %u is cut off from the store for %u ms", owner, for_ms);
  for (guint i = 0; i < OWNER_N; i++)
    {
      Daemon *daemon = &world->daemons[i];
      daemon->cut_until_ms = world->now_ms + partition_random (world, for_ms);
      daemon->cut_kind = draw_cut_kind (world);
      for (guint j = 0; j < WORKER_N; j++)
        {
          daemon->cut_workers[j] = partition_random (world, 3) == 0;
          if (daemon->cut_workers[j])
            world_trace (world, "daemon %u is cut off from %s until %u ms", i, world->workers[j].id,
                         (guint) (daemon->cut_until_ms % 1000000));
        }
    }
}

/* Entries of some workers expire before the owners are separated, so that the next owner has an
 * incomplete list. */
static void
schedule_separation (World *world)
{
  for (guint i = 0; i < WORKER_N; i++)
    {
      if (partition_random (world, 2) == 0)
        cut_worker_from_store (world, &world->workers[i],
                               UNLIST_DELAY_MS + partition_random (world, MAX_CUT_MS / 2));
    }
  world->separation_ms = world->now_ms + UNLIST_DELAY_MS - 500 + partition_random (world, 1500);
}

static void
inject_due_faults (World *world)
{
  if (world_is_due (world, &world->outage_ms) && !world->store_unavailable)
    begin_outage (world);
  if (world_is_due (world, &world->outage_end_ms))
    {
      world->store_unavailable = FALSE;
      world_trace (world, "the store is available again");
    }
  if (world_is_due (world, &world->worker_cut_ms))
    cut_workers (world);
  if (world_is_due (world, &world->separation_ms))
    separate_owners (world);
  if (world_is_due (world, &world->owner_kill_ms))
    {
      world_trace (world, "daemon %u is killed", world->current_owner);
      world_owner_stop (world, world->current_owner);
      if (partition_random (world, 2) == 0)
        world_peer_fail (world);
      world->last_fault_ms[world->current_owner] = world->now_ms;
    }
}

void
world_partitions_inject_faults (World *world)
{
  if (!world->partitions || world->restarts)
    return;
  if (partition_random (world, 400) == 0)
    cut_workers (world);
  if (partition_random (world, 500) == 0)
    cut_worker_from_store (world, &world->workers[partition_random (world, WORKER_N)],
                           1000 + partition_random (world, MAX_CUT_MS));
  if (partition_random (world, 800) == 0)
    world->outage_ms = world->now_ms;
  if (partition_random (world, 800) == 0)
    separate_owners (world);
  if (partition_random (world, 800) == 0)
    schedule_separation (world);
  inject_due_faults (world);
  for (guint i = 0; i < OWNER_N; i++)
    {
      if (world->now_ms < world->daemons[i].store_cut_until_ms)
        world->last_fault_ms[i] = world->now_ms;
    }
}

void
world_partitions_heal (World *world)
{
  for (guint i = 0; i < WORKER_N; i++)
    {
      world->workers[i].cut_until_ms = 0;
      world->workers[i].store_cut_until_ms = 0;
    }
  for (guint i = 0; i < OWNER_N; i++)
    {
      world->daemons[i].cut_until_ms = 0;
      world->daemons[i].store_cut_until_ms = 0;
    }
}
