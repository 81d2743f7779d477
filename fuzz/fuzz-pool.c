/* Stateful fuzzing of pools: owners change while workers and the store fail, and the invariants
 * are checked against the actual runs on the workers.
 *
 * The environment records every run and shares no code with the pool.  After the fault phase
 * all faults are healed, and every accepted job has to end.  A seed gives the same run as long as
 * memory has the same addresses (setarch -R), since the pool iterates over hash tables that are
 * keyed by pointers. */
#include "pool-world.h"

#include "fb-event.h"

#include <stdio.h>
#include <stdlib.h>

#define PARTITION_SEED 0x10000
#define CANCEL_SEED 0x20000
#define STOP_SEED 0x30000
#define RESTARTS_SEED 0x40000

/* ---- jobs and faults ---------------------------------------------------------------- */

static void
submit (World *world)
{
  if (world->job_n == JOB_MAX)
    return;
  Job *job = &world->jobs[world->job_n++];
  g_snprintf (job->id, sizeof job->id, "%016x", world->job_n);
  job->always_fails = world_random (world, 10) == 0;
  if (world->crashing && world->job_n % 8 == 0)
    job->crashing_tasks = 1 + world_random (world, TASK_MAX);
  guint steps = 1 + world_random (world, STEP_MAX);
  fb_work_admit *record = &job->record;
  record->policy = (fb_work_policy){ .queue = "q",
                                     .service = "svc",
                                     .priority = world_random (world, 3),
                                     .max_attempts = MAX_ATTEMPTS,
                                     .stretch_factor_milli = 1500,
                                     .target_ms = 1000 };
  record->policy.advised = world->uses_advice && world->job_n % 2 == 0;
  record->spec.payload = "p";
  record->spec.steps.steps_len = steps;
  record->spec.steps.steps_val = g_new0 (fb_work_step, steps);
  record->accepted_ms = WALL_MS + world->now_ms;
  (void) world_random (world, 4); /* unused draw: keeps the runs of existing seeds */
  for (guint i = 0; i < steps; i++)
    {
      fb_work_step *step = &record->spec.steps.steps_val[i];
      step->count = 1 + world_random (world, TASK_MAX);
      step->cpu_milli = 1000 * (1 + world_random (world, 8));
      step->mem_mb = 100;
      step->estimate_ms = 1000;
      step->preferred_rack = step->required_label = step->image = "";
      step->speculative = world->uses_advice && world->job_n % 3 == 0;
      step->gang = FALSE; /* these workers end runs one by one; gangs are tested by scripts */
      step->after.after_val = g_new0 (u_int, 1);
      step->after.after_len = i;
    }
  world_cancels_submit (world, job);
  world_stops_submit (world, job);
  world_restarts_submit (world, job);
  job->submitted = TRUE;
  for (guint i = 0; i < OWNER_N; i++)
    {
      /* The other owners read the job from the store up to LIST_LAG_MS later. */
      if (world->owners[i].pool != NULL && !world->owners[i].paused && world_random (world, 2) == 0)
        {
          fb_pool_add_job (world->owners[i].pool, job->id, record, world->now_ms,
                           WALL_MS + world->now_ms);
          world_cancels_job_read (world, &world->owners[i], job);
        }
    }
}

static void
cancel (World *world)
{
  if (world->job_n == 0)
    return;
  Job *job = &world->jobs[world_random (world, world->job_n)];
  if (job->cancelled)
    return;
  job->cancelled = TRUE;
  job->cancelled_ms = world->now_ms;
  for (guint i = 0; i < OWNER_N; i++)
    {
      if (world->owners[i].pool != NULL && !world->owners[i].paused)
        fb_pool_cancel_job (world->owners[i].pool, job->id, world->now_ms, WALL_MS + world->now_ms);
    }
}

static void
inject_worker_fault (World *world)
{
  guint i = world_random (world, WORKER_N);
  Worker *worker = &world->workers[i];
  /* A draining worker may exit at any time, which an owner cannot distinguish from a crash: the
   * modes with crashing tasks do not drain workers. */
  switch (world_random (world, world->crashing ? 3 : 4))
    {
    case 0:
      world_worker_fail (world, worker);
      break;
    case 1:
      world_worker_crash (world, worker, NULL);
      world_worker_start (world, i);
      break;
    case 2:
      worker->unreachable = !worker->unreachable;
      world_trace (world, "%s is %s", worker->id,
                   worker->unreachable ? "unreachable" : "reachable again");
      break;
    default:
      worker->draining = TRUE;
    }
}

/* Half of the changes restore the full capacity; the others set a random one, which may be less
 * than some tasks need, or 0. */
static void
resize_worker (World *world)
{
  Worker *worker = &world->workers[world_random (world, WORKER_N)];
  int64_t cpu_milli
      = world_random (world, 2) == 0 ? WORKER_CPU_MILLI : 1000 * (int64_t) world_random (world, 17);
  if (worker->up)
    world_worker_resize (world, worker, cpu_milli);
}

static void
inject_owner_fault (World *world)
{
  guint i = world_random (world, OWNER_N);
  Owner *owner = &world->owners[i];
  if (owner->pool == NULL)
    return;
  switch (world_random (world, 3))
    {
    case 0:
      world_owner_stop (world, i);
      world_peer_fail (world);
      break;
    default:
      owner->paused = !owner->paused;
      owner->resume_ms = 0;
      world_trace (world, "daemon %u %s", i, owner->paused ? "is paused" : "is resumed");
    }
  world->last_fault_ms[i] = world->now_ms;
}

/* An owner's main loop stalls for a moment, while its membership is still renewed. */
static void
stall_owner (World *world)
{
  Owner *owner = &world->owners[world->current_owner];
  if (owner->pool == NULL || owner->paused)
    return;
  owner->paused = TRUE;
  owner->resume_ms = world->now_ms + world_random (world, MAX_STALL_MS);
}

/* A worker fails half of its calls until the next change, all connections break for less than
 * 500 ms, or the owner stalls. */
static void
inject_connection_faults (World *world)
{
  Worker *worker = &world->workers[world_random (world, WORKER_N)];
  if (world_random (world, 200) == 0)
    worker->failing = !worker->failing;
  if (world_random (world, 500) == 0)
    world->connections_break_until_ms = world->now_ms + world_random (world, 500);
  if (world_random (world, 200) == 0)
    stall_owner (world);
}

static void
inject_faults (World *world)
{
  /* A job or cancel is accepted once the store has it, so none is accepted while the store is
   * unavailable. */
  if (world_random (world, 30) == 0 && !world->store_unavailable && world_cancels_may_submit (world)
      && world_stops_may_submit (world) && world_restarts_may_submit (world))
    submit (world);
  if (world_random (world, 400) == 0 && !world->store_unavailable && !world->cancelling)
    cancel (world);
  /* In the crashing modes tasks already crash workers often, so workers and owners fail less often:
   * the loss of a run becomes known 4 s after the crash of its worker, and never if the owner
   * changes within each of these periods.  In mode "partitions" a crash would end most partitions
   * of a worker early, and in the cancelling ones the runs that are not stopped. */
  gboolean fewer = world->crashing || world->partitions || world->cancelling || world->stops;
  if (world_random (world, fewer ? 450 : 150) == 0)
    inject_worker_fault (world);
  if (world->shrinking && world_random (world, 100) == 0 && !world->store_unavailable)
    resize_worker (world);
  if (world->repeats)
    inject_connection_faults (world);
  world_partitions_inject_faults (world);
  world_stops_inject_faults (world);
  world_restarts_inject_faults (world);
  if (world->owners_stable || world->restarts)
    return;
  if (world_random (world, world->crashing ? 2500 : world->stops ? 1000 : 250) == 0)
    inject_owner_fault (world);
  guint store_changes = world->stops ? (world->store_unavailable ? 150 : 1200) : 500;
  if (world_random (world, store_changes) == 0)
    {
      world->store_unavailable = !world->store_unavailable;
      world_trace (world, "the store is %s",
                   world->store_unavailable ? "unavailable" : "available again");
    }
}

static void
heal (World *world)
{
  world->healing = TRUE;
  world->store_unavailable = FALSE;
  for (guint i = 0; i < WORKER_N; i++)
    {
      if (!world->workers[i].up || world->workers[i].draining)
        world_worker_start (world, i);
      world_worker_resize (world, &world->workers[i], WORKER_CPU_MILLI);
      world->workers[i].unreachable = FALSE;
      world->workers[i].failing = FALSE;
    }
  for (guint i = 0; i < OWNER_N; i++)
    world->owners[i].paused = FALSE;
  world_partitions_heal (world);
  world_stops_heal (world);
  world_restarts_heal (world);
}

/* The platform lists a worker until it has had no messages from it for UNLIST_DELAY_MS. */
static void
list_tick (World *world)
{
  for (guint i = 0; i < WORKER_N && !world->store_unavailable; i++)
    {
      Worker *worker = &world->workers[i];
      gboolean is_reachable
          = worker->up && !worker->unreachable && !world_stops_stands_still (world, worker);
      if (is_reachable)
        worker->unanswered_since_ms = 0;
      else if (worker->unanswered_since_ms == 0)
        worker->unanswered_since_ms = world->now_ms;
      worker->listed
          = is_reachable || world->now_ms < worker->unanswered_since_ms + UNLIST_DELAY_MS;
    }
}

/* ---- final checks ---------------------------------------------------------------------- */

static void
check_job_end (World *world, const FbPool *pool, const Job *job)
{
  fb_work_state state = FB_WORK_QUEUED;
  if (!fb_pool_job_state (pool, job->id, &state))
    world_report_violation (world, "job %s is not known at the end", job->id);
  else if (state < FB_WORK_COMPLETED)
    world_report_violation (world, "job %s has not ended", job->id);
  else if (state == FB_WORK_FAILED && !job->always_fails)
    {
      for (u_int i = 0; i < job->record.spec.steps.steps_len; i++)
        {
          for (u_int j = 0; j < TASK_MAX; j++)
            {
              /* Crashes by other tasks alone do not justify a failure. */
              uint32_t own = job->plain_crashes[i][j] + job->own_crashes[i][j];
              if (job->failed_runs[i][j] >= MAX_ATTEMPTS
                  || (own > 0 && own + job->other_crashes[i][j] >= MAX_CRASHES))
                return;
            }
        }
      world_report_violation (world, "job %s failed without cause", job->id);
    }
  for (u_int i = 0; state == FB_WORK_COMPLETED && i < job->record.spec.steps.steps_len; i++)
    {
      for (u_int j = 0; j < job->record.spec.steps.steps_val[i].count; j++)
        {
          if (job->done_runs[i][j] == 0)
            world_report_violation (world, "job %s completed without task %u.%u", job->id, i, j);
        }
    }
}

static void
check_end (World *world)
{
  const FbPool *pool = world->owners[world->current_owner].pool;
  if (pool == NULL)
    world_report_violation (world, "the pool has no owner at the end");
  for (guint i = 0; pool != NULL && i < world->job_n; i++)
    check_job_end (world, pool, &world->jobs[i]);
}

static World *
world_new (guint32 seed, const char *mode, RestartMode restart_mode)
{
  World *world = g_new0 (World, 1);
  world->cancelling = g_str_has_prefix (mode, "cancelling");
  world->stops = g_str_has_prefix (mode, "stops");
  world->repeats = g_str_equal (mode, "repeats") || g_str_equal (mode, "cancelling")
                   || g_str_equal (mode, "stops");
  world->uses_advice
      = (world->repeats && !world->stops) || world->cancelling || g_str_equal (mode, "advised");
  world->owners_stable = g_str_equal (mode, "crashing-steady");
  world->crashing = world->owners_stable || g_str_equal (mode, "crashing");
  world->shrinking = g_str_equal (mode, "shrinking");
  world->restarts = g_str_has_prefix (mode, "restarts-cut");
  world->restarts_owners = g_str_equal (mode, "restarts-cut-owners");
  world->partitions = world->restarts || g_str_equal (mode, "partitions")
                      || g_str_has_suffix (mode, "-partitions");
  world->max_lease_ms = MAX_LEASE_MS;
  world->entries_expire = TRUE;
  world->traced = getenv ("FUZZ_LOG") != NULL;
  world->rand = g_rand_new_with_seed (seed);
  world->restart_rand = g_rand_new_with_seed (~seed);
  world->partition_rand = g_rand_new_with_seed (seed + PARTITION_SEED);
  world->cancel_rand = g_rand_new_with_seed (seed + CANCEL_SEED);
  world->stop_rand = g_rand_new_with_seed (seed + STOP_SEED);
  world->restarts_rand = g_rand_new_with_seed (seed + RESTARTS_SEED);
  world->restart_mode = restart_mode;
  world->ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  world->now_ms = 1000000;
  world->progress
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  world->orders = g_ptr_array_new ();
  world_restarts_init (world);
  world_conclusions_begin (world);
  for (guint i = 0; i < WORKER_N; i++)
    {
      Worker *worker = &world->workers[i];
      worker->runs = g_array_new (FALSE, TRUE, sizeof (Run));
      worker->ends = g_array_new (FALSE, TRUE, sizeof (End));
      worker->highest_attempts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      world_worker_start (world, i);
    }
  for (guint i = 0; i < PEER_N; i++)
    {
      world->recent_starts[i] = fb_recent_starts_new ();
      world->suspect_backups[i] = fb_suspect_backups_new ();
    }
  world_owner_start (world, 0);
  return world;
}

static void
world_free (World *world)
{
  world_conclusions_end (world);
  for (guint i = 0; i < OWNER_N; i++)
    world_owner_stop (world, i);
  for (guint i = 0; i < WORKER_N; i++)
    {
      g_array_unref (world->workers[i].runs);
      g_array_unref (world->workers[i].ends);
      g_hash_table_unref (world->workers[i].highest_attempts);
    }
  for (guint i = 0; i < world->job_n; i++)
    {
      fb_work_spec *spec = &world->jobs[i].record.spec;
      for (u_int j = 0; j < spec->steps.steps_len; j++)
        g_free (spec->steps.steps_val[j].after.after_val);
      g_free (spec->steps.steps_val);
    }
  g_ptr_array_set_free_func (world->orders, world_order_free);
  g_ptr_array_unref (world->orders);
  for (guint i = 0; i < PEER_N; i++)
    {
      fb_recent_starts_free (world->recent_starts[i]);
      fb_suspect_backups_free (world->suspect_backups[i]);
    }
  g_hash_table_unref (world->progress);
  g_clear_pointer (&world->known_workers, g_bytes_unref);
  g_clear_pointer (&world->silent_workers, g_bytes_unref);
  g_rand_free (world->rand);
  g_rand_free (world->restart_rand);
  g_rand_free (world->partition_rand);
  g_rand_free (world->cancel_rand);
  g_rand_free (world->stop_rand);
  g_rand_free (world->restarts_rand);
  g_hash_table_unref (world->ids);
  g_free (world->violation);
  g_free (world);
}

static void
world_tick (World *world)
{
  world->now_ms += TICK_MS;
  if (world->store_unavailable)
    world->store_unavailable_ms = world->now_ms;
  /* The grace period of a capacity change begins once the list can show the change. */
  for (guint i = 0; world->store_unavailable && i < WORKER_N; i++)
    world->workers[i].cpu_changed_ms = world->now_ms;
  for (guint i = 0; i < OWNER_N; i++)
    {
      Owner *owner = &world->owners[i];
      if (owner->resume_ms != 0 && world->now_ms >= owner->resume_ms)
        owner->paused = FALSE;
      if (owner->paused)
        world->last_fault_ms[i] = world->now_ms;
    }
  world_stops_tick (world);
  for (guint i = 0; i < WORKER_N; i++)
    world_worker_tick (world, &world->workers[i]);
  world_orders_tick (world);
  if (world->partitions)
    world_partitions_list_tick (world);
  else
    list_tick (world);
  world_assign_pool (world);
  for (guint i = 0; i < OWNER_N; i++)
    world_owner_tick (world, i);
  world_cancels_tick (world);
}

/* Returns: TRUE when an invariant was violated. */
static gboolean
run_seed (guint32 seed, const char *mode, RestartMode restart_mode, uint64_t *starts)
{
  World *world = world_new (seed, mode, restart_mode);
  uint64_t heal_ms = world->now_ms + FAULT_MS;
  /* Tasks still crash their workers after the faults have been healed, or take long. */
  uint64_t end_ms = heal_ms
                    + HEAL_MS
                          * (world->restarts                   ? 3
                             : world->crashing || world->stops ? 2
                                                               : 1);
  while (world->violation == NULL && world->now_ms < end_ms)
    {
      if (world->now_ms < heal_ms)
        inject_faults (world);
      else if (!world->healing)
        heal (world);
      world_tick (world);
    }
  if (world->violation == NULL)
    check_end (world);
  if (world->violation != NULL)
    printf ("seed %u: %s\n", seed, world->violation);
  gboolean violated = world->violation != NULL;
  *starts += world->starts;
  world_free (world);
  return violated;
}

int
main (int argc, char **argv)
{
  static const char *const restart_mode_names[] = { [RESTART_EITHER_ID] = "either-way",
                                                    [RESTART_NEW_ID] = "new-ids",
                                                    [RESTART_LATE_CALLS] = "old-calls",
                                                    NULL };
  static const char *const modes[] = { "plain",
                                       "advised",
                                       "crashing",
                                       "crashing-steady",
                                       "shrinking",
                                       "repeats",
                                       "partitions",
                                       "cancelling",
                                       "cancelling-partitions",
                                       "stops",
                                       "stops-partitions",
                                       "restarts-cut",
                                       "restarts-cut-owners",
                                       NULL };
  if (argc > 1 && g_str_equal (argv[1], "--margins"))
    {
      world_conclusions_keep_margins ();
      argc--;
      argv++;
    }
  const char *mode = argc > 3 ? argv[3] : modes[0];
  const char *restart_mode = argc > 4 ? argv[4] : restart_mode_names[RESTART_EITHER_ID];
  if (argc < 3 || argc > 5 || !g_strv_contains (modes, mode)
      || !g_strv_contains (restart_mode_names, restart_mode))
    {
      g_autofree char *names = g_strjoinv ("|", (char **) modes);
      g_autofree char *ways = g_strjoinv ("|", (char **) restart_mode_names);
      fprintf (stderr, "usage: fuzz-pool [--margins] FIRST-SEED SEEDS [%s [%s]]\n", names, ways);
      return 2;
    }
  fb_event_set_quiet (getenv ("FUZZ_LOG") == NULL);
  guint32 first = (guint32) atoi (argv[1]);
  guint32 n = (guint32) atoi (argv[2]);
  guint violations_n = 0;
  uint64_t starts = 0;
  guint mode_index = 0;
  while (restart_mode_names[mode_index + 1] != NULL
         && !g_str_equal (restart_mode_names[mode_index], restart_mode))
    mode_index++;
  for (guint32 i = 0; i < n; i++)
    violations_n += run_seed (first + i, mode, (RestartMode) mode_index, &starts);
  world_conclusions_print_margins ();
  printf ("%u seeds, %u starts, %u broken\n", n, (unsigned) starts, violations_n);
  return violations_n > 0;
}
