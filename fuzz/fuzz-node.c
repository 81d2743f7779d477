/* Stateful fuzzing of whole nodes: the input is decoded to a sequence of events on several daemons,
 * workers and a log, and the oracle checks the invariants after each.
 *
 * The first byte is a seed, and each step takes two bytes: the event and its target. Every step
 * also advances the clock. At the end all faults are healed and recovery has to complete. */
#include "../tests/world.h"

#include "fb-event.h"
#include "fuzz-node.h"

#include <stdio.h>
#include <stdlib.h>

#define MEMBER_N 4
#define RACK_N 4
#define HOST_N 2
#define JOB_MAX 24
#define STEP_MAX 160

typedef struct
{
  World *world;
  uint64_t next_job;
  uint64_t serial[FB_PARTNER_N];
} Run;

static void
submit (Run *run, guint event, guint target)
{
  static const uint64_t run_times_ms[] = { 100, 400, 1500, 6000 };
  static const uint64_t deadlines_ms[] = { 0, 2000, 5000, 20000 };
  gboolean is_repeat = run->next_job > 1 && target % 7 == 0;
  if (!is_repeat && run->next_job > JOB_MAX)
    return;
  uint64_t id = is_repeat ? 1 + target % (run->next_job - 1) : run->next_job++;
  /* The job's parameters depend on its id alone, so that a repeated submission is identical. */
  guint hash = (guint) (id * 2654435761u >> 7);
  WorldJob job = { .id = id, .partner = hash % FB_PARTNER_N };
  job.kind = (FbKind) (hash / 2 % FB_KIND_N);
  if (job.kind == FB_KIND_SERVICE)
    job.kind = FB_KIND_BATCH;
  job.flags = (hash / 8 % 3 == 0)   ? FB_FLAG_AT_MOST_ONCE
              : (hash / 8 % 3 == 1) ? FB_FLAG_PREEMPTIBLE
                                    : 0;
  job.count = job.kind == FB_KIND_GANG ? 2 + hash / 24 % 3 : 1 + hash / 24 % 4;
  /* A gang whose tasks need a whole host each might never start next to services. */
  guint cpu_max = job.kind == FB_KIND_GANG ? 2 : 3;
  job.demand = (fb_res){ { 1000 * (1 + hash / 96 % cpu_max), 1ull << 30, 0, 1 } };
  job.run_ms = run_times_ms[hash / 288 % 4];
  job.deadline_ms = deadlines_ms[hash / 1152 % 4];
  if (hash / 4608 % 5 == 0 && job.kind != FB_KIND_GANG)
    {
      /* The daemon generates the ids of ephemeral jobs, and they never repeat. */
      if (is_repeat)
        return;
      job.flags |= FB_FLAG_EPHEMERAL;
    }
  world_submit (run->world, (target + event) % MEMBER_N, &job);
}

static void
inject_daemon_fault (Run *run, guint event, guint target)
{
  guint node = target % MEMBER_N;
  gboolean on = (target / MEMBER_N) % 2 == 0;
  switch (event % 6)
    {
    case 0:
      world_kill (run->world, node);
      break;
    case 1:
      world_start (run->world, node);
      break;
    case 2:
      world_set_paused (run->world, node, on);
      break;
    case 3:
      world_drain (run->world, node);
      break;
    case 4:
      world_set_peers_unreachable (run->world, node, on);
      break;
    default:
      world_set_workers_unreachable (run->world, node, on);
      break;
    }
}

static void
inject_host_fault (Run *run, guint event, guint target)
{
  guint rack = target % RACK_N;
  guint host = target / RACK_N % HOST_N;
  gboolean on = (target / 16) % 2 == 0;
  switch (event % 5)
    {
    case 0:
      world_set_worker_frozen (run->world, rack, host, on);
      break;
    case 1:
      world_restart_worker (run->world, rack, host);
      break;
    case 2:
      world_set_runs_fail (run->world, rack, host, on);
      break;
    case 3:
      world_set_host_state (run->world, rack, host, (FbHostState) (target / 32 % 3));
      break;
    default:
      world_set_usage (run->world, rack, host, 50 + target % 200);
      break;
    }
}

static void
configure (Run *run, guint target)
{
  uint32_t partner = target % FB_PARTNER_N;
  /* Some serials are skipped, and some are used a second time. */
  uint64_t serial = run->serial[partner] + 1 + (target / 8 % 4 == 0 ? 1 : 0);
  if (world_publish_config (run->world, target / 2 % MEMBER_N, partner, serial, target / 16 % 4,
                            target % 101)
      == FB_NODE_CONFIG_OK)
    run->serial[partner] = serial - (target / 64 % 2);
}

static void
run_step (Run *run, guint event, guint target)
{
  static const guint fault_rates[] = { 0, 0, 20, 60 };
  switch (event % 16)
    {
    case 0:
    case 1:
    case 2:
    case 3:
    case 4:
      submit (run, event / 16, target);
      break;
    case 5:
    case 6:
      inject_daemon_fault (run, event / 16, target);
      break;
    case 7:
    case 8:
      inject_host_fault (run, event / 16, target);
      break;
    case 9:
      world_set_message_faults (run->world, fault_rates[target % 4], fault_rates[target / 4 % 4],
                                fault_rates[target / 16 % 4]);
      break;
    case 10:
      world_set_log_state (run->world, (WorldLogState) (target % 3));
      break;
    case 11:
      if (run->next_job > 1)
        {
          uint64_t id = 1 + target % (run->next_job - 1);
          guint hash = (guint) (id * 2654435761u >> 7);
          world_cancel (run->world, event / 16 % MEMBER_N, hash % FB_PARTNER_N, id);
        }
      break;
    case 12:
      configure (run, target);
      break;
    case 13:
      world_log_trim (run->world);
      break;
    default:
      world_run (run->world, 100 + (uint64_t) target * 40);
      break;
    }
  world_run (run->world, 100);
}

guint64
fuzz_node_run (const uint8_t *data, size_t size, char **violation)
{
  WorldSize world_size = { .member_n = MEMBER_N,
                           .rack_n = RACK_N,
                           .host_n = HOST_N,
                           .range_n = 4,
                           .host_capacity = { { 4000, 8ull << 30, 0, 4 } },
                           .retention_ms = 60000,
                           .seed = size > 0 ? data[0] : 0 };
  Run run = { .world = world_new (&world_size), .next_job = 1 };
  guint64 steps = 0;
  world_run (run.world, 6000);
  for (size_t i = 1; i + 1 < size && steps < STEP_MAX && world_violation (run.world) == NULL;
       i += 2)
    {
      run_step (&run, data[i], data[i + 1]);
      steps++;
    }
  if (world_violation (run.world) == NULL)
    {
      world_heal (run.world);
      world_check_final_state (run.world);
    }
  *violation = g_strdup (world_violation (run.world));
  world_free (run.world);
  return steps;
}
