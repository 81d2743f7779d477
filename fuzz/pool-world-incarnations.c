/* Incarnations of the simulated workers: their starts, their ids and their entries in the list. */
#include "pool-world.h"

#include <stdio.h>

guint
world_restart_random (World *world, guint n)
{
  return (guint) g_rand_int_range (world->restart_rand, 0, (gint32) n);
}

/* The next incarnation of WORKER keeps its id; the list still has the previous entry. */
static void
reuse_id (World *world, Worker *worker)
{
  worker->previous_entry = (Entry){ .incarnation_started_ms = worker->incarnation_started_ms };
  g_strlcpy (worker->previous_entry.id, worker->id, sizeof worker->previous_entry.id);
  worker->entry_updated_ms = world->now_ms + world_restart_random (world, ENTRY_INTERVAL_MS);
  worker->stale_entry_ms = 0;
  if (world_restart_random (world, 4) == 0)
    worker->stale_entry_ms
        = worker->entry_updated_ms + LIST_LAG_MS + world_restart_random (world, ENTRY_INTERVAL_MS);
  if (world_restart_random (world, 4) == 0)
    worker->second_crash_ms = world->now_ms + 1 + world_restart_random (world, MAX_RESTART_MS);
  worker->clock_start_ms = 1000 + world_restart_random (world, 200000);
}

static void
assign_new_id (Worker *worker, guint i)
{
  g_snprintf (worker->id, sizeof worker->id, "w%u-%u", i, worker->incarnation);
  worker->entry_updated_ms = 0;
  worker->stale_entry_ms = 0;
  worker->clock_start_ms = 5000;
}

void
world_worker_start (World *world, guint i)
{
  Worker *worker = &world->workers[i];
  gboolean reuses_id = world->restart_mode != RESTART_NEW_ID && worker->incarnation > 0
                       && (worker->keeps_id || world_restart_random (world, 2) == 0);
  worker->keeps_id = FALSE;
  worker->incarnation++;
  worker->second_crash_ms = 0;
  if (reuses_id)
    reuse_id (world, worker);
  else
    assign_new_id (worker, i);
  worker->incarnation_started_ms = WALL_MS + world->now_ms;
  worker->up = TRUE;
  worker->restart_ms = 0;
  /* A worker may restart while it is unreachable. */
  worker->unreachable
      = reuses_id && !world->healing && worker->unreachable && world_restart_random (world, 2) == 0;
  worker->draining = FALSE;
  worker->failing = FALSE;
  worker->cpu_milli = WORKER_CPU_MILLI;
  worker->previous_cpu_milli = WORKER_CPU_MILLI;
  worker->cpu_changed_ms = 0;
  worker->started_ms = world->now_ms;
  worker->slow_permille = world_random (world, 21);
  worker->fence_epoch = 0;
  worker->lease_until_ms = 0;
  worker->last_end_number = 0;
  worker->acknowledged = 0;
  worker->unanswered_since_ms = 0;
  worker->listed = TRUE;
  for (guint j = 0; j < worker->runs->len; j++)
    world_conclusions_run_ended (world, worker, &g_array_index (worker->runs, Run, j));
  g_array_set_size (worker->runs, 0);
  g_array_set_size (worker->ends, 0);
  g_hash_table_remove_all (worker->highest_attempts);
  world_partitions_worker_started (world, worker, reuses_id);
  world_restarts_worker_started (world, worker, reuses_id);
  world_trace (world, "%s, incarnation %u, starts", worker->id, worker->incarnation);
}

char *
world_worker_name (const World *world, const Worker *worker)
{
  gboolean reports_start = world->restart_mode != RESTART_NEW_ID;
  return fb_wire_incarnation (worker->id, reports_start ? worker->incarnation_started_ms : 0);
}

Entry
world_worker_entry (const World *world, const Worker *worker)
{
  gboolean is_stale = worker->stale_entry_ms != 0 && world->now_ms >= worker->stale_entry_ms
                      && world->now_ms < worker->stale_entry_ms + LIST_LAG_MS;
  if (world->now_ms < worker->entry_updated_ms || is_stale)
    return worker->previous_entry;
  Entry entry = { .incarnation_started_ms = worker->incarnation_started_ms };
  g_strlcpy (entry.id, worker->id, sizeof entry.id);
  return entry;
}

void
world_worker_fail (World *world, Worker *worker)
{
  world_worker_crash (world, worker, NULL);
  if (world->restart_mode != RESTART_NEW_ID && worker->restart_ms == 0
      && world_restart_random (world, 2) == 0)
    worker->restart_ms = world->now_ms + 1 + world_restart_random (world, MAX_RESTART_MS);
}
