/* Stateful fuzzing of pools: owners that come and go over workers and a store that
 * fail, judged by what really ran.
 *
 * The world keeps the truth about every run and shares no code with the pool.  After
 * each fault phase everything heals, and all that was accepted has to end.  A seed
 * gives the same run every time. */
#include "pool-world.h"

#include "fb-event.h"

#include <stdio.h>
#include <stdlib.h>

/* ---- jobs and faults ---------------------------------------------------------------- */

static void
submit (World *world)
{
  if (world->job_n == JOB_MAX)
    return;
  Job *job = &world->jobs[world->job_n++];
  g_snprintf (job->id, sizeof job->id, "%016x", world->job_n);
  job->poison = world_chance (world, 10) == 0;
  if (world->crashing && world->job_n % 8 == 0)
    job->crashers = 1 + world_chance (world, TASK_MAX);
  guint steps = 1 + world_chance (world, STEP_MAX);
  fb_work_admit *record = &job->record;
  record->policy = (fb_work_policy){ .queue = "q",
                                     .service = "svc",
                                     .priority = world_chance (world, 3),
                                     .max_attempts = MAX_ATTEMPTS,
                                     .stretch_factor_milli = 1500,
                                     .target_ms = 1000 };
  record->policy.advised = world->advised && world->job_n % 2 == 0;
  record->spec.payload = "p";
  record->spec.steps.steps_len = steps;
  record->spec.steps.steps_val = g_new0 (fb_work_step, steps);
  record->accepted_ms = WALL_MS + world->now_ms;
  (void) world_chance (world, 4); /* so that a seed goes on meaning the same run */
  for (guint i = 0; i < steps; i++)
    {
      fb_work_step *step = &record->spec.steps.steps_val[i];
      step->count = 1 + world_chance (world, TASK_MAX);
      step->cpu_milli = 1000 * (1 + world_chance (world, 8));
      step->mem_mb = 100;
      step->estimate_ms = 1000;
      step->preferred_rack = step->required_label = step->image = "";
      step->speculative = world->advised && world->job_n % 3 == 0;
      step->gang = FALSE; /* workers here end runs one by one; scripts judge gangs */
      step->after.after_val = g_new0 (u_int, 1);
      step->after.after_len = i;
    }
  job->submitted = TRUE;
  for (guint i = 0; i < OWNER_N; i++)
    {
      /* Others read it from the store up to LIST_LAG_MS later. */
      if (world->owners[i].pool != NULL && !world->owners[i].paused && world_chance (world, 2) == 0)
        fb_pool_admit (world->owners[i].pool, job->id, record, world->now_ms,
                       WALL_MS + world->now_ms);
    }
}

static void
cancel (World *world)
{
  if (world->job_n == 0)
    return;
  Job *job = &world->jobs[world_chance (world, world->job_n)];
  if (job->cancelled)
    return;
  job->cancelled = TRUE;
  job->cancelled_ms = world->now_ms;
  for (guint i = 0; i < OWNER_N; i++)
    {
      if (world->owners[i].pool != NULL && !world->owners[i].paused)
        fb_pool_cancel (world->owners[i].pool, job->id, world->now_ms, WALL_MS + world->now_ms);
    }
}

static void
fault_worker (World *world)
{
  guint i = world_chance (world, WORKER_N);
  Worker *worker = &world->workers[i];
  /* A worker that drains may go at any moment, as planned: nobody can tell that from a crash. */
  switch (world_chance (world, world->crashing ? 3 : 4))
    {
    case 0:
      world_worker_fail (world, worker);
      break;
    case 1:
      world_worker_crash (world, worker, NULL);
      world_worker_begin (world, i);
      break;
    case 2:
      worker->cut = !worker->cut;
      world_trace (world, "%s is %s", worker->id, worker->cut ? "cut off" : "back");
      break;
    default:
      worker->draining = TRUE;
    }
}

/* Half of the changes leave less than some tasks need, some leave nothing. */
static void
resize_worker (World *world)
{
  Worker *worker = &world->workers[world_chance (world, WORKER_N)];
  int64_t cpu_milli
      = world_chance (world, 2) == 0 ? CPU : 1000 * (int64_t) world_chance (world, 17);
  if (worker->up)
    world_worker_resize (world, worker, cpu_milli);
}

static void
fault_owner (World *world)
{
  guint i = world_chance (world, OWNER_N);
  Owner *owner = &world->owners[i];
  if (owner->pool == NULL)
    return;
  switch (world_chance (world, 3))
    {
    case 0:
      world_owner_end (world, i);
      world_carrier_die (world);
      break;
    default:
      owner->paused = !owner->paused;
      owner->resumes_ms = 0;
      world_trace (world, "daemon %u %s", i, owner->paused ? "is paused" : "goes on");
    }
  world->disturbed_ms[i] = world->now_ms;
}

/* An owner stands still for a moment; what renews its membership goes on. */
static void
stall_owner (World *world)
{
  Owner *owner = &world->owners[world->current];
  if (owner->pool == NULL || owner->paused)
    return;
  owner->paused = TRUE;
  owner->resumes_ms = world->now_ms + world_chance (world, STALL_MOST_MS);
}

/* A worker fails half of its calls for a while, or all connections break for a moment. */
static void
fault_connections (World *world)
{
  Worker *worker = &world->workers[world_chance (world, WORKER_N)];
  if (world_chance (world, 200) == 0)
    worker->failing = !worker->failing;
  if (world_chance (world, 500) == 0)
    world->breaking_ms = world->now_ms + world_chance (world, 500);
  if (world_chance (world, 200) == 0)
    stall_owner (world);
}

static void
faults (World *world)
{
  /* Jobs and cancels are accepted when the store has them. */
  if (world_chance (world, 30) == 0 && !world->store_away)
    submit (world);
  if (world_chance (world, 400) == 0 && !world->store_away)
    cancel (world);
  /* Tasks crash workers enough; what is lost with one is known 4 s later, and not at all where the
   * owner changes each time within these. */
  if (world_chance (world, world->crashing ? 450 : 150) == 0)
    fault_worker (world);
  if (world->shrinking && world_chance (world, 100) == 0 && !world->store_away)
    resize_worker (world);
  if (world->repeats)
    fault_connections (world);
  if (world->steady)
    return;
  if (world_chance (world, world->crashing ? 2500 : 250) == 0)
    fault_owner (world);
  if (world_chance (world, 500) == 0)
    {
      world->store_away = !world->store_away;
      world_trace (world, "the store is %s", world->store_away ? "away" : "back");
    }
}

static void
heal (World *world)
{
  world->healing = TRUE;
  world->store_away = FALSE;
  for (guint i = 0; i < WORKER_N; i++)
    {
      if (!world->workers[i].up || world->workers[i].draining)
        world_worker_begin (world, i);
      world_worker_resize (world, &world->workers[i], CPU);
      world->workers[i].cut = FALSE;
      world->workers[i].failing = FALSE;
    }
  for (guint i = 0; i < OWNER_N; i++)
    world->owners[i].paused = FALSE;
}

/* The platform lists a worker while it hears it. */
static void
list_tick (World *world)
{
  for (guint i = 0; i < WORKER_N && !world->store_away; i++)
    {
      Worker *worker = &world->workers[i];
      gboolean heard = worker->up && !worker->cut;
      if (heard)
        worker->silent_ms = 0;
      else if (worker->silent_ms == 0)
        worker->silent_ms = world->now_ms;
      worker->listed = heard || world->now_ms < worker->silent_ms + SILENCE_MS;
    }
}

/* ---- the end ---------------------------------------------------------------------- */

static void
judge_job (World *world, const FbPool *pool, const Job *job)
{
  fb_work_state state = FB_WORK_QUEUED;
  if (!fb_pool_job_state (pool, job->id, &state))
    world_broke (world, "job %s is not known at the end", job->id);
  else if (state < FB_WORK_COMPLETED)
    world_broke (world, "job %s has not ended", job->id);
  else if (state == FB_WORK_FAILED && !job->poison)
    {
      for (u_int i = 0; i < job->record.spec.steps.steps_len; i++)
        {
          for (u_int j = 0; j < TASK_MAX; j++)
            {
              /* What others did is no cause by itself. */
              uint32_t own = job->crashed[i][j] + job->took_down[i][j];
              if (job->fell[i][j] >= MAX_ATTEMPTS
                  || (own > 0 && own + job->beside[i][j] >= MAX_CRASHES))
                return;
            }
        }
      world_broke (world, "job %s failed without cause", job->id);
    }
  for (u_int i = 0; state == FB_WORK_COMPLETED && i < job->record.spec.steps.steps_len; i++)
    {
      for (u_int j = 0; j < job->record.spec.steps.steps_val[i].count; j++)
        {
          if (job->done[i][j] == 0)
            world_broke (world, "job %s completed without task %u.%u", job->id, i, j);
        }
    }
}

static void
judge_end (World *world)
{
  const FbPool *pool = world->owners[world->current].pool;
  if (pool == NULL)
    world_broke (world, "nobody owns the pool at the end");
  for (guint i = 0; pool != NULL && i < world->job_n; i++)
    judge_job (world, pool, &world->jobs[i]);
}

static World *
world_new (guint32 seed, const char *mode, Returns returns)
{
  World *world = g_new0 (World, 1);
  world->repeats = g_str_equal (mode, "repeats");
  world->advised = world->repeats || g_str_equal (mode, "advised");
  world->steady = g_str_equal (mode, "crashing-steady");
  world->crashing = world->steady || g_str_equal (mode, "crashing");
  world->shrinking = g_str_equal (mode, "shrinking");
  world->traced = getenv ("FUZZ_LOG") != NULL;
  world->rand = g_rand_new_with_seed (seed);
  world->return_rand = g_rand_new_with_seed (~seed);
  world->returns = returns;
  world->ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  world->now_ms = 1000000;
  world->progress
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  world->orders = g_ptr_array_new ();
  for (guint i = 0; i < WORKER_N; i++)
    {
      Worker *worker = &world->workers[i];
      worker->runs = g_array_new (FALSE, TRUE, sizeof (Run));
      worker->ends = g_array_new (FALSE, TRUE, sizeof (End));
      worker->highest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      world_worker_begin (world, i);
    }
  for (guint i = 0; i < CARRIER_N; i++)
    {
      world->carriers[i] = fb_recent_starts_new ();
      world->keepers[i] = fb_suspect_backups_new ();
    }
  world_owner_begin (world, 0);
  return world;
}

static void
world_free (World *world)
{
  for (guint i = 0; i < OWNER_N; i++)
    world_owner_end (world, i);
  for (guint i = 0; i < WORKER_N; i++)
    {
      g_array_unref (world->workers[i].runs);
      g_array_unref (world->workers[i].ends);
      g_hash_table_unref (world->workers[i].highest);
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
  for (guint i = 0; i < CARRIER_N; i++)
    {
      fb_recent_starts_free (world->carriers[i]);
      fb_suspect_backups_free (world->keepers[i]);
    }
  g_hash_table_unref (world->progress);
  g_clear_pointer (&world->known_workers, g_bytes_unref);
  g_rand_free (world->rand);
  g_rand_free (world->return_rand);
  g_hash_table_unref (world->ids);
  g_free (world->broken);
  g_free (world);
}

static void
world_tick (World *world)
{
  world->now_ms += TICK_MS;
  if (world->store_away)
    world->store_away_ms = world->now_ms;
  /* A change of room that the list does not show counts for nobody yet. */
  for (guint i = 0; world->store_away && i < WORKER_N; i++)
    world->workers[i].cpu_changed_ms = world->now_ms;
  for (guint i = 0; i < OWNER_N; i++)
    {
      Owner *owner = &world->owners[i];
      if (owner->resumes_ms != 0 && world->now_ms >= owner->resumes_ms)
        owner->paused = FALSE;
      if (owner->paused)
        world->disturbed_ms[i] = world->now_ms;
    }
  for (guint i = 0; i < WORKER_N; i++)
    world_worker_tick (world, &world->workers[i]);
  world_orders_tick (world);
  list_tick (world);
  world_deal (world);
  for (guint i = 0; i < OWNER_N; i++)
    world_owner_tick (world, i);
}

/* Returns: TRUE when a promise was broken. */
static gboolean
run_seed (guint32 seed, const char *mode, Returns returns, uint64_t *starts)
{
  World *world = world_new (seed, mode, returns);
  uint64_t heal_ms = world->now_ms + FAULT_MS;
  /* Tasks that crash their workers go on when all else has healed. */
  uint64_t end_ms = heal_ms + HEAL_MS * (world->crashing ? 2 : 1);
  while (world->broken == NULL && world->now_ms < end_ms)
    {
      if (world->now_ms < heal_ms)
        faults (world);
      else if (!world->healing)
        heal (world);
      world_tick (world);
    }
  if (world->broken == NULL)
    judge_end (world);
  if (world->broken != NULL)
    printf ("seed %u: %s\n", seed, world->broken);
  gboolean broken = world->broken != NULL;
  *starts += world->starts;
  world_free (world);
  return broken;
}

int
main (int argc, char **argv)
{
  static const char *const return_names[] = { [RETURNS_EITHER_WAY] = "either-way",
                                              [RETURNS_UNDER_NEW_IDS] = "new-ids",
                                              [RETURNS_WITH_OLD_CALLS] = "old-calls",
                                              NULL };
  static const char *const modes[]
      = { "plain", "advised", "crashing", "crashing-steady", "shrinking", "repeats", NULL };
  const char *mode = argc > 3 ? argv[3] : modes[0];
  const char *returns = argc > 4 ? argv[4] : return_names[RETURNS_EITHER_WAY];
  if (argc < 3 || argc > 5 || !g_strv_contains (modes, mode)
      || !g_strv_contains (return_names, returns))
    {
      g_autofree char *names = g_strjoinv ("|", (char **) modes);
      g_autofree char *ways = g_strjoinv ("|", (char **) return_names);
      fprintf (stderr, "usage: fuzz-pool FIRST-SEED SEEDS [%s [%s]]\n", names, ways);
      return 2;
    }
  fb_event_set_quiet (getenv ("FUZZ_LOG") == NULL);
  guint32 first = (guint32) atoi (argv[1]);
  guint32 n = (guint32) atoi (argv[2]);
  guint broken = 0;
  uint64_t starts = 0;
  guint way = 0;
  while (return_names[way + 1] != NULL && !g_str_equal (return_names[way], returns))
    way++;
  for (guint32 i = 0; i < n; i++)
    broken += run_seed (first + i, mode, (Returns) way, &starts);
  printf ("%u seeds, %u starts, %u broken\n", n, (unsigned) starts, broken);
  return broken > 0;
}
