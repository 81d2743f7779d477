/* Lives of the fuzzing world's workers: how they begin, under which id, and what the list has of
 * them. */
#include "pool-world.h"

#include <stdio.h>

guint
world_return_chance (World *world, guint n)
{
  return (guint) g_rand_int_range (world->return_rand, 0, (gint32) n);
}

/* The next life of WORKER has its id; the list still has the entry of the one before. */
static void
keep_id (World *world, Worker *worker)
{
  worker->before = (Entry){ .incarnation_started_ms = worker->incarnation_started_ms };
  g_strlcpy (worker->before.id, worker->id, sizeof worker->before.id);
  worker->entry_ms = world->now_ms + world_return_chance (world, ENTRY_LAG_MS);
  worker->stale_ms = 0;
  if (world_return_chance (world, 4) == 0)
    worker->stale_ms = worker->entry_ms + LIST_LAG_MS + world_return_chance (world, ENTRY_LAG_MS);
  if (world_return_chance (world, 4) == 0)
    worker->crash_again_ms = world->now_ms + 1 + world_return_chance (world, RETURN_MOST_MS);
  worker->clock_from_ms = 1000 + world_return_chance (world, 200000);
}

static void
take_new_id (Worker *worker, guint i)
{
  g_snprintf (worker->id, sizeof worker->id, "w%u-%u", i, worker->incarnation);
  worker->entry_ms = 0;
  worker->stale_ms = 0;
  worker->clock_from_ms = 5000;
}

void
world_worker_begin (World *world, guint i)
{
  Worker *worker = &world->workers[i];
  gboolean returns = world->returns != RETURNS_UNDER_NEW_IDS && worker->incarnation > 0
                     && world_return_chance (world, 2) == 0;
  worker->incarnation++;
  worker->crash_again_ms = 0;
  if (returns)
    keep_id (world, worker);
  else
    take_new_id (worker, i);
  worker->incarnation_started_ms = WALL_MS + world->now_ms;
  worker->up = TRUE;
  worker->back_ms = 0;
  /* It may have ended and started again behind a cut. */
  worker->cut = returns && !world->healing && worker->cut && world_return_chance (world, 2) == 0;
  worker->draining = FALSE;
  worker->failing = FALSE;
  worker->cpu_milli = CPU;
  worker->cpu_before = CPU;
  worker->cpu_changed_ms = 0;
  worker->began_ms = world->now_ms;
  worker->slow_permille = world_chance (world, 21);
  worker->token = 0;
  worker->lease_ms = 0;
  worker->next_end = 0;
  worker->acknowledged = 0;
  worker->silent_ms = 0;
  worker->listed = TRUE;
  g_array_set_size (worker->runs, 0);
  g_array_set_size (worker->ends, 0);
  g_hash_table_remove_all (worker->highest);
  world_trace (world, "%s, life %u, begins", worker->id, worker->incarnation);
}

Entry
world_worker_entry (const World *world, const Worker *worker)
{
  gboolean is_stale = worker->stale_ms != 0 && world->now_ms >= worker->stale_ms
                      && world->now_ms < worker->stale_ms + LIST_LAG_MS;
  if (world->now_ms < worker->entry_ms || is_stale)
    return worker->before;
  Entry entry = { .incarnation_started_ms = worker->incarnation_started_ms };
  g_strlcpy (entry.id, worker->id, sizeof entry.id);
  return entry;
}

void
world_worker_fail (World *world, Worker *worker)
{
  world_worker_crash (world, worker, NULL);
  if (world->returns != RETURNS_UNDER_NEW_IDS && worker->back_ms == 0
      && world_return_chance (world, 2) == 0)
    worker->back_ms = world->now_ms + 1 + world_return_chance (world, RETURN_MOST_MS);
}
