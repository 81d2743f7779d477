/* Fuzzes the division of caps among pools: several pools with owners that are replaced and frozen,
 * messages that are lost, delayed and answered by a replaced owner, workers that carry out orders
 * late, and caps that change.
 *
 * The oracle knows only what the workers run: a start must not bring an account above the highest
 * cap that may be in force, and an account under half of its cap must not wait. */
#include "account-world.h"

#include <stdio.h>
#include <stdlib.h>

/* ---- the world --------------------------------------------------------------------------- */

static void
add_job (World *world)
{
  Job *job = g_new0 (Job, 1);
  g_snprintf (job->id, sizeof job->id, "%016x", world->jobs->len + 1);
  job->service = (guint) g_rand_int_range (world->rand, 0, SERVICES_N);
  job->account = (guint) g_rand_int_range (world->rand, 0, ACCOUNTS_N);
  job->stored_ms = world->now_ms;
  job->step = (fb_work_step){ .count = (u_int) g_rand_int_range (world->rand, 1, 6),
                              .cpu_milli = (u_int) g_rand_int_range (world->rand, 1, 4) * 500,
                              .mem_mb = 100,
                              .estimate_ms = 1000,
                              .preferred_rack = "",
                              .required_label = "",
                              .image = "" };
  job->step.gang = g_rand_int_range (world->rand, 0, 4) == 0;
  job->record = (fb_work_admit){ .policy = { .queue = "q",
                                             .service = world->services->pdata[job->service],
                                             .max_attempts = 3,
                                             .stretch_factor_milli = 2000,
                                             .target_ms = 1000 },
                                 .spec = { .payload = "" },
                                 .accepted_ms = WALL_MS + world->now_ms,
                                 .account = world->accounts[job->account].name };
  job->record.spec.steps.steps_len = 1;
  job->record.spec.steps.steps_val = &job->step;
  g_ptr_array_add (world->jobs, job);
  fb_pool_add_job (world->owners[job->service]->pool, job->id, &job->record, world->now_ms,
                   WALL_MS + world->now_ms);
}

static void
change_cap (World *world)
{
  guint i = (guint) g_rand_int_range (world->rand, 0, ACCOUNTS_N);
  if (world->now_ms < world->changed_ms[i] + CONFIG_MAX_MS)
    return;
  world->previous_cap[i] = world->accounts[i].cap.cpu_milli;
  world->changed_ms[i] = world->now_ms;
  world->accounts[i].cap.cpu_milli = g_rand_int_range (world->rand, 16, 40) * 500;
  for (guint j = 0; j < SERVICES_N; j++)
    {
      uint64_t read_ms = world->now_ms + (uint64_t) g_rand_int_range (world->rand, 1, CONFIG_MS);
      /* A pending read also returns this change. */
      if (world->owners[j]->config_ms == 0)
        world->owners[j]->config_ms = read_ms;
    }
}

/* An owner that wakes reads the configuration before it starts anything. */
static void
freeze (World *world, Owner *owner)
{
  owner->frozen_until_ms = world->now_ms + (uint64_t) g_rand_int_range (world->rand, 200, 2500);
  owner->config_ms = 1;
}

static void
play_faults (World *world)
{
  guint service = (guint) g_rand_int_range (world->rand, 0, SERVICES_N);
  if (account_world_chance (world, 0.003))
    account_world_replace_owner (world, service);
  if (account_world_chance (world, 0.0005))
    {
      for (guint i = 0; i < SERVICES_N; i++)
        account_world_replace_owner (world, i);
    }
  if (account_world_chance (world, 0.001))
    freeze (world, world->owners[service]);
  if (account_world_chance (world, 0.001))
    world->workers[service][0].cut_until_ms
        = world->now_ms + (uint64_t) g_rand_int_range (world->rand, 200, 3000);
  if (account_world_chance (world, 0.005))
    change_cap (world);
}

static void
end_runs (World *world)
{
  for (guint i = 0; i < SERVICES_N; i++)
    {
      for (guint j = 0; j < WORKERS_N; j++)
        {
          Worker *worker = &world->workers[i][j];
          for (guint k = worker->runs->len; k > 0; k--)
            {
              Run *run = worker->runs->pdata[k - 1];
              if (world->now_ms > worker->lease_ms)
                account_world_end_run (worker, run, FB_END_LEASE_EXPIRED);
              else if (world->now_ms >= run->ends_ms)
                account_world_end_run (worker, run, FB_END_DONE);
            }
        }
    }
}

static void
remove_replaced (World *world)
{
  for (guint i = world->replaced->len; i > 0; i--)
    {
      const Owner *owner = world->replaced->pdata[i - 1];
      if (world->calm
          || (world->now_ms >= owner->gone_ms && !account_world_is_frozen (world, owner)))
        g_ptr_array_remove_index (world->replaced, i - 1);
    }
}

/* TRUE when a job of ACCOUNT has nothing running, and none of its tasks was started. */
static gboolean
has_waiting_job (World *world, guint account)
{
  for (guint i = 0; i < world->jobs->len; i++)
    {
      const Job *job = world->jobs->pdata[i];
      fb_work_state state = FB_WORK_QUEUED;
      if (job->account == account
          && fb_pool_job_state (world->owners[job->service]->pool, job->id, &state)
          && state == FB_WORK_QUEUED)
        return TRUE;
    }
  return FALSE;
}

static void
check_waiting (World *world)
{
  for (guint i = 0; i < ACCOUNTS_N; i++)
    {
      gboolean waits = account_world_running (world, i) * 2 < world->accounts[i].cap.cpu_milli
                       && has_waiting_job (world, i);
      if (world->now_ms < TROUBLED_MS + SETTLED_MS || !waits)
        world->idle_since_ms[i] = world->now_ms;
      if (world->now_ms > world->idle_since_ms[i] + WAIT_MAX_MS)
        account_world_fail (world, "account %s waits with %d of %d", world->accounts[i].name,
                            (int) account_world_running (world, i),
                            (int) world->accounts[i].cap.cpu_milli);
    }
}

static void
step (World *world)
{
  world->now_ms += STEP_MS;
  gboolean is_last = world->now_ms > TROUBLED_MS + LAST_JOB_MS;
  if (!is_last && g_rand_int_range (world->rand, 0, 12) == 0)
    add_job (world);
  play_faults (world);
  end_runs (world);
  account_world_run_events (world);
  for (guint i = 0; i < SERVICES_N; i++)
    account_world_run_owner (world->owners[i]);
  for (guint i = 0; i < world->replaced->len; i++)
    account_world_run_owner (world->replaced->pdata[i]);
  remove_replaced (world);
  check_waiting (world);
}

static World *
world_new (guint32 seed)
{
  World *world = g_new0 (World, 1);
  world->rand = g_rand_new_with_seed (seed);
  world->now_ms = 1000;
  world->replaced = g_ptr_array_new_with_free_func (account_world_owner_free);
  world->jobs = g_ptr_array_new_with_free_func (g_free);
  world->progress
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  world->services = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < ACCOUNTS_N; i++)
    {
      world->accounts[i].name = g_strdup_printf ("account-%u", i);
      world->accounts[i].cap.cpu_milli = g_rand_int_range (world->rand, 16, 40) * 500;
    }
  for (guint i = 0; i < SERVICES_N; i++)
    g_ptr_array_add (world->services, g_strdup_printf ("service-%u", i));
  for (guint i = 0; i < SERVICES_N; i++)
    {
      for (guint j = 0; j < WORKERS_N; j++)
        {
          Worker *worker = &world->workers[i][j];
          worker->id = g_strdup_printf ("worker-%u-%u", i, j);
          worker->runs = g_ptr_array_new_with_free_func (account_world_run_free);
          worker->ends = g_array_new (FALSE, TRUE, sizeof (FbReportedEnd));
        }
      world->owners[i] = account_world_owner_new (world, i, 1);
    }
  return world;
}

/* Returns: FALSE when the oracle has found a fault. */
static gboolean
play (guint32 seed)
{
  World *world = world_new (seed);
  while (world->fault == NULL && world->now_ms < TROUBLED_MS + CALM_MS)
    {
      world->calm = world->now_ms > TROUBLED_MS;
      step (world);
    }
  gboolean ok = world->fault == NULL;
  if (!ok)
    printf ("seed %u at %u ms: %s\n", seed, (guint) world->now_ms, world->fault);
  else if (world->starts_n == 0)
    printf ("seed %u: nothing was started\n", seed);
  return ok && world->starts_n > 0;
}

int
main (int argc, char **argv)
{
  if (argc != 3)
    {
      fprintf (stderr, "usage: fuzz-account-parts FIRST-SEED COUNT\n");
      return 2;
    }
  guint32 first = (guint32) strtoul (argv[1], NULL, 10);
  guint32 count = (guint32) strtoul (argv[2], NULL, 10);
  guint broken_n = 0;
  fb_event_set_quiet (TRUE);
  for (guint32 i = 0; i < count; i++)
    broken_n += !play (first + i);
  printf ("%u seeds, %u broken\n", count, broken_n);
  return broken_n == 0 ? 0 : 1;
}
