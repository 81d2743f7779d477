#include "plan.h"

/* Upper bound of the time between the beginnings of two faults; the earlier one may still be
 * active. */
#define MAX_GAP_MS 1200
#define FIRST_FAULT_AFTER_MS 1000
/* Longer than a lease and than the time to live of a consumer group member. */
#define MAX_DURATION_MS 7000
#define MAX_QUEUE_MOVE_GAP_MS 3000
#define QUEUE_MOVE_SEED 0x10000
#define MAX_OTHER_WRITER_GAP_MS 1500
#define OTHER_WRITER_SEED 0x20000
#define MAX_LATE_APPENDS_GAP_MS 2500
#define LATE_APPENDS_SEED 0x30000
#define MAX_PARTITION_GAP_MS 2500
/* Longer than an entry in the worker list lives. */
#define MIN_EXPIRY_MS 5000
#define MAX_EXPIRY_MS 7000
/* The daemon is killed at most so long before and after the store is back. */
#define MAX_KILL_LEAD_MS 1000
#define MAX_KILL_DELAY_MS 500
/* A sixth of the workers is cut off during each outage of the store, and until after it. */
#define FIRST_OUTAGE_MS 6000
#define OUTAGE_INTERVAL_MS 14000
#define OUTAGE_MS 4500
#define CUT_OFF_DELAY_MS 2500
#define CUT_OFF_MS 5500
#define CUT_OFF_WORKERS_DIVISOR 6
/* Percentage of each kind of fault.  PLAIN_WEIGHTS has no faults of single calls, of links to
 * workers and of links between daemons. */
static const guint plain_weights[SOAK_FAULT_N] = { [SOAK_KILL] = 12,
                                                   [SOAK_TERM] = 10,
                                                   [SOAK_FREEZE] = 12,
                                                   [SOAK_RELOAD] = 4,
                                                   [SOAK_STORE_LINK] = 14,
                                                   [SOAK_STORE_RESET] = 5,
                                                   [SOAK_STORE_BLACKHOLE] = 6,
                                                   [SOAK_CALLER_LINK] = 6,
                                                   [SOAK_CALLER_RESET] = 5,
                                                   [SOAK_STORE_DOWN] = 5,
                                                   [SOAK_STORE_UNRESPONSIVE] = 4,
                                                   [SOAK_WORKER_CRASH] = 11,
                                                   [SOAK_ROLLING_RESTART] = 4,
                                                   [SOAK_KILL_ALL] = 2 };
static const guint all_weights[SOAK_FAULT_N] = { [SOAK_KILL] = 8,
                                                 [SOAK_TERM] = 6,
                                                 [SOAK_FREEZE] = 7,
                                                 [SOAK_RELOAD] = 2,
                                                 [SOAK_STORE_LINK] = 8,
                                                 [SOAK_STORE_RESET] = 3,
                                                 [SOAK_STORE_BLACKHOLE] = 3,
                                                 [SOAK_CALLER_LINK] = 3,
                                                 [SOAK_CALLER_RESET] = 2,
                                                 [SOAK_STORE_DOWN] = 3,
                                                 [SOAK_STORE_UNRESPONSIVE] = 3,
                                                 [SOAK_WORKER_CRASH] = 6,
                                                 [SOAK_ROLLING_RESTART] = 2,
                                                 [SOAK_KILL_ALL] = 1,
                                                 [SOAK_WORKER_LINK] = 8,
                                                 [SOAK_WORKER_RESET] = 5,
                                                 [SOAK_WORKER_BLACKHOLE] = 4,
                                                 [SOAK_WORKER_PARTITION] = 4,
                                                 [SOAK_WORKER_REFUSES] = 3,
                                                 [SOAK_WORKER_LOSES] = 3,
                                                 [SOAK_WORKER_FLAKY] = 5,
                                                 [SOAK_WORKER_LATE] = 4,
                                                 [SOAK_PEER_LINK] = 2,
                                                 [SOAK_PEER_RESET] = 1,
                                                 [SOAK_PEER_BLACKHOLE] = 1,
                                                 [SOAK_STORE_FLAKY] = 3 };

/* Percentage of each fault of workers in plans with stops. */
static const guint stops_weights[SOAK_FAULT_N]
    = { [SOAK_WORKER_FREEZE] = 28, [SOAK_WORKER_LATER_OWNERS] = 34, [SOAK_WORKER_LATE] = 10,
        [SOAK_WORKER_LOSES] = 10,  [SOAK_WORKER_CRASH] = 8,         [SOAK_WORKER_PARTITION] = 10 };
/* Upper bound of the time between the beginnings of two of them. */
#define MAX_STOPS_GAP_MS 4000
/* The owner is disturbed at most so long before and after a fault of a worker begins. */
#define MAX_OWNER_LEAD_MS 400
#define MAX_OWNER_DELAY_MS 2000
/* Variant of SOAK_STORE_LINK for which nothing is forwarded. */
#define PARTITION_VARIANT 1
/* Lower bound of how long a worker stands still or is out of reach for later owners; with that the
 * leases of most of its runs end. */
#define MIN_UNREACHABLE_MS 3500
#define MAX_SLOW_DAEMON_GAP_MS 9000
#define SLOW_DAEMON_SEED 0x40000
/* Several workers restart one after the other, and are cut off one after the other. */
#define FIRST_RESTARTS_MS 4000
#define MIN_RESTARTS_GAP_MS 9000
#define MAX_RESTARTS_GAP_MS 13000
#define RESTARTS_SPREAD_MS 200
#define MIN_DOWN_MS 100
#define MAX_DOWN_MS 900
/* A worker is cut off so long after it is back. */
#define MIN_CUT_DELAY_MS 300
#define MAX_CUT_DELAY_MS 3000
/* Besides the time in which its entry expires. */
#define MIN_CUT_MS 3000

static SoakFaultKind
draw_kind (GRand *rand, const guint *weights)
{
  guint drawn = (guint) g_rand_int_range (rand, 0, 100);
  guint kind = 0;
  while (drawn >= weights[kind])
    drawn -= weights[kind++];
  return (SoakFaultKind) kind;
}

static gboolean
targets_worker (SoakFaultKind kind)
{
  return kind == SOAK_WORKER_CRASH || (kind >= SOAK_WORKER_LINK && kind <= SOAK_WORKER_LATE);
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  const SoakFault *first = a;
  const SoakFault *second = b;
  return first->at_ms < second->at_ms ? -1 : first->at_ms > second->at_ms;
}

/* Adds faults of KIND at intervals of up to MAX_GAP_MS.  They are drawn from numbers of their own,
 * so that the other faults of a seed are the same without them. */
static void
add_independent_faults (const SoakPlanSetup *setup, GArray *plan, SoakFaultKind kind,
                        guint32 seed_offset, guint max_gap_ms)
{
  GRand *rand = g_rand_new_with_seed (setup->seed + seed_offset);
  guint at_ms = 0;
  while ((at_ms += (guint) g_rand_int_range (rand, 50, (gint32) max_gap_ms)) < setup->duration_ms)
    {
      const SoakFault fault
          = { .kind = kind, .at_ms = at_ms, .variant = (guint) g_rand_int_range (rand, 0, 100) };
      g_array_append_val (plan, fault);
    }
  g_array_sort (plan, compare_times);
  g_rand_free (rand);
}

static void
add_partition (const SoakPlanSetup *setup, GArray *plan, GRand *rand, guint at_ms,
               guint duration_ms)
{
  const SoakFault fault = { .kind = SOAK_WORKER_NO_LISTENER,
                            .at_ms = at_ms,
                            .target = (guint) g_rand_int_range (rand, 0, (gint32) setup->worker_n),
                            .duration_ms = duration_ms,
                            .variant = (guint) g_rand_int_range (rand, 0, 100) };
  g_array_append_val (plan, fault);
}

/* The store is down until the entries have expired.  Before it is back a worker is cut off, and
 * mostly one daemon or all are killed around that time.  Returns: when the store is back. */
static guint
add_expiry (const SoakPlanSetup *setup, GArray *plan, GRand *rand, guint at_ms)
{
  static const SoakFaultKind kills[] = { SOAK_KILL, SOAK_KILL_ALL };
  const SoakFault expiry
      = { .kind = SOAK_STORE_EXPIRY,
          .at_ms = at_ms,
          .duration_ms = (guint) g_rand_int_range (rand, MIN_EXPIRY_MS, MAX_EXPIRY_MS) };
  g_array_append_val (plan, expiry);
  guint end_ms = at_ms + expiry.duration_ms;
  add_partition (setup, plan, rand, end_ms - (guint) g_rand_int_range (rand, 100, 2500),
                 (guint) g_rand_int_range (rand, MIN_EXPIRY_MS, MAX_DURATION_MS));
  guint drawn = (guint) g_rand_int_range (rand, 0, G_N_ELEMENTS (kills) + 1);
  if (drawn == G_N_ELEMENTS (kills))
    return end_ms;
  const SoakFault kill
      = { .kind = kills[drawn],
          .at_ms = end_ms - MAX_KILL_LEAD_MS
                   + (guint) g_rand_int_range (rand, 0, MAX_KILL_LEAD_MS + MAX_KILL_DELAY_MS),
          .target = (guint) g_rand_int_range (rand, 0, (gint32) setup->daemon_n),
          .duration_ms = (guint) g_rand_int_range (rand, 100, MAX_DURATION_MS),
          .variant = (guint) g_rand_int_range (rand, 0, 100) };
  g_array_append_val (plan, kill);
  return end_ms;
}

static void
add_partitions (const SoakPlanSetup *setup, GArray *plan, GRand *rand)
{
  guint at_ms = FIRST_FAULT_AFTER_MS;
  while ((at_ms += (guint) g_rand_int_range (rand, 500, MAX_PARTITION_GAP_MS)) < setup->duration_ms)
    {
      if (g_rand_int_range (rand, 0, 4) > 0 && at_ms + MAX_EXPIRY_MS <= setup->duration_ms)
        at_ms = add_expiry (setup, plan, rand, at_ms);
      else
        {
          guint duration_ms = (guint) g_rand_int_range (rand, MIN_EXPIRY_MS, 2 * MIN_EXPIRY_MS);
          add_partition (setup, plan, rand, at_ms, duration_ms);
          at_ms += duration_ms / 2;
        }
    }
  g_array_sort (plan, compare_times);
}

/* The workers that one outage cuts off have the same variant. */
static void
add_cut_off_workers (const SoakPlanSetup *setup, GArray *plan, GRand *rand, guint at_ms)
{
  guint n = (setup->worker_n + CUT_OFF_WORKERS_DIVISOR - 1) / CUT_OFF_WORKERS_DIVISOR;
  guint first = (guint) g_rand_int_range (rand, 0, (gint32) setup->worker_n);
  guint variant = (guint) g_rand_int_range (rand, 0, 100);
  for (guint i = 0; i < n; i++)
    {
      const SoakFault fault = { .kind = SOAK_WORKER_CUT_OFF,
                                .at_ms = at_ms,
                                .target = (first + i * CUT_OFF_WORKERS_DIVISOR) % setup->worker_n,
                                .duration_ms = CUT_OFF_MS,
                                .variant = variant };
      g_array_append_val (plan, fault);
    }
}

static void
add_outages (const SoakPlanSetup *setup, GArray *plan, GRand *rand)
{
  for (guint at_ms = FIRST_OUTAGE_MS; at_ms + OUTAGE_MS <= setup->duration_ms;
       at_ms += OUTAGE_INTERVAL_MS)
    {
      const SoakFault outage
          = { .kind = SOAK_STORE_OUTAGE, .at_ms = at_ms, .duration_ms = OUTAGE_MS };
      g_array_append_val (plan, outage);
      add_cut_off_workers (setup, plan, rand, at_ms + CUT_OFF_DELAY_MS);
    }
}

/* Some daemons, of which one may be the owner, are killed, stopped, stand still or don't reach
 * the store.
 * One daemon or more goes on. */
static void
add_owner_faults (const SoakPlanSetup *setup, GArray *plan, GRand *rand, guint around_ms)
{
  static const SoakFaultKind kinds[] = { SOAK_KILL, SOAK_FREEZE, SOAK_STORE_LINK, SOAK_TERM };
  guint n = (guint) g_rand_int_range (rand, 1, (gint32) MAX (setup->daemon_n, 2));
  SoakFault fault
      = { .kind = kinds[g_rand_int_range (rand, 0, G_N_ELEMENTS (kinds))],
          .at_ms = around_ms - MAX_OWNER_LEAD_MS
                   + (guint) g_rand_int_range (rand, 0, MAX_OWNER_LEAD_MS + MAX_OWNER_DELAY_MS),
          .duration_ms = (guint) g_rand_int_range (rand, 500, MAX_DURATION_MS),
          .variant = PARTITION_VARIANT };
  guint first = (guint) g_rand_int_range (rand, 0, (gint32) setup->daemon_n);
  for (guint i = 0; i < n && fault.at_ms < setup->duration_ms; i++)
    {
      fault.target = (first + i) % setup->daemon_n;
      g_array_append_val (plan, fault);
    }
}

static void
add_slow_daemons (const SoakPlanSetup *setup, GArray *plan)
{
  GRand *rand = g_rand_new_with_seed (setup->seed + SLOW_DAEMON_SEED);
  guint at_ms = 0;
  while ((at_ms += (guint) g_rand_int_range (rand, 500, MAX_SLOW_DAEMON_GAP_MS))
         < setup->duration_ms)
    {
      const SoakFault fault
          = { .kind = SOAK_DAEMON_SLOW,
              .at_ms = at_ms,
              .target = (guint) g_rand_int_range (rand, 0, (gint32) setup->daemon_n),
              .duration_ms = (guint) g_rand_int_range (rand, 500, MAX_DURATION_MS) };
      g_array_append_val (plan, fault);
      at_ms += fault.duration_ms;
    }
  g_rand_free (rand);
}

static void
add_stops (const SoakPlanSetup *setup, GArray *plan, GRand *rand)
{
  guint at_ms = FIRST_FAULT_AFTER_MS;
  while ((at_ms += (guint) g_rand_int_range (rand, 800, MAX_STOPS_GAP_MS)) < setup->duration_ms)
    {
      SoakFault fault = { .kind = draw_kind (rand, stops_weights),
                          .at_ms = at_ms,
                          .target = (guint) g_rand_int_range (rand, 0, (gint32) setup->worker_n),
                          .duration_ms = (guint) g_rand_int_range (rand, 500, MAX_DURATION_MS),
                          .variant = (guint) g_rand_int_range (rand, 0, 100) };
      if (fault.kind == SOAK_WORKER_FREEZE || fault.kind == SOAK_WORKER_LATER_OWNERS)
        fault.duration_ms += MIN_UNREACHABLE_MS;
      g_array_append_val (plan, fault);
      if (g_rand_int_range (rand, 0, 3) > 0)
        add_owner_faults (setup, plan, rand, at_ms);
    }
  add_slow_daemons (setup, plan);
  g_array_sort (plan, compare_times);
}

/* Restarts some workers, and cuts them off when they are back and have new work. */
static void
add_restarted_workers (const SoakPlanSetup *setup, GArray *plan, GRand *rand, guint at_ms)
{
  guint n = (guint) g_rand_int_range (rand, 1, (gint32) MAX (setup->worker_n * 2 / 3, 2));
  guint first = (guint) g_rand_int_range (rand, 0, (gint32) setup->worker_n);
  guint down_ms = (guint) g_rand_int_range (rand, MIN_DOWN_MS, MAX_DOWN_MS);
  guint cut_ms
      = at_ms + down_ms + (guint) g_rand_int_range (rand, MIN_CUT_DELAY_MS, MAX_CUT_DELAY_MS);
  guint duration_ms = (guint) g_rand_int_range (rand, MIN_CUT_MS, MAX_DURATION_MS);
  for (guint i = 0; i < n; i++)
    {
      guint delay_ms = (guint) g_rand_int_range (rand, 0, RESTARTS_SPREAD_MS);
      SoakFault fault = { .kind = SOAK_WORKER_RESTART,
                          .at_ms = at_ms + delay_ms,
                          .target = (first + i) % setup->worker_n,
                          .duration_ms = down_ms,
                          .variant = (guint) g_rand_int_range (rand, 0, 100) };
      g_array_append_val (plan, fault);
      fault.kind = SOAK_WORKER_PARTITION;
      fault.at_ms = cut_ms + delay_ms;
      fault.duration_ms = duration_ms;
      fault.variant = 0; /* this worker only */
      g_array_append_val (plan, fault);
    }
}

static void
add_restarts (const SoakPlanSetup *setup, GArray *plan, GRand *rand)
{
  for (guint at_ms = FIRST_RESTARTS_MS; at_ms < setup->duration_ms;
       at_ms += (guint) g_rand_int_range (rand, MIN_RESTARTS_GAP_MS, MAX_RESTARTS_GAP_MS))
    {
      add_restarted_workers (setup, plan, rand, at_ms);
      if (g_rand_int_range (rand, 0, 2) > 0)
        add_owner_faults (setup, plan, rand, at_ms);
    }
  g_array_sort (plan, compare_times);
}

/* Faults of all kinds with a weight, one after the other. */
static void
add_weighted_faults (const SoakPlanSetup *setup, GArray *plan, GRand *rand)
{
  const guint *weights = setup->worker_links ? all_weights : plain_weights;
  guint at_ms = FIRST_FAULT_AFTER_MS;
  while ((at_ms += (guint) g_rand_int_range (rand, 50, MAX_GAP_MS)) < setup->duration_ms)
    {
      SoakFault fault = { .kind = draw_kind (rand, weights), .at_ms = at_ms };
      guint n = targets_worker (fault.kind) ? setup->worker_n : setup->daemon_n;
      fault.target = (guint) g_rand_int_range (rand, 0, (gint32) n);
      fault.duration_ms = (guint) g_rand_int_range (rand, 100, MAX_DURATION_MS);
      fault.variant = (guint) g_rand_int_range (rand, 0, 100);
      g_array_append_val (plan, fault);
    }
}

GArray *
soak_plan_new (const SoakPlanSetup *setup)
{
  GRand *rand = g_rand_new_with_seed (setup->seed);
  GArray *plan = g_array_new (FALSE, FALSE, sizeof (SoakFault));
  if (setup->outages)
    add_outages (setup, plan, rand);
  else if (setup->partitions)
    add_partitions (setup, plan, rand);
  else if (setup->restarts)
    add_restarts (setup, plan, rand);
  else if (setup->stops)
    add_stops (setup, plan, rand);
  else
    add_weighted_faults (setup, plan, rand);
  /* Two of three runs end with a crash of all daemons at once, as in a power failure. */
  if (setup->seed % 3 != 0 && !setup->outages)
    {
      const SoakFault last
          = { .kind = SOAK_KILL_ALL, .at_ms = setup->duration_ms, .duration_ms = 500 };
      g_array_append_val (plan, last);
    }
  g_rand_free (rand);
  if (setup->queue_moves)
    add_independent_faults (setup, plan, SOAK_QUEUE_MOVE, QUEUE_MOVE_SEED, MAX_QUEUE_MOVE_GAP_MS);
  if (setup->other_writer)
    add_independent_faults (setup, plan, SOAK_OTHER_WRITER, OTHER_WRITER_SEED,
                            MAX_OTHER_WRITER_GAP_MS);
  if (setup->late_appends)
    add_independent_faults (setup, plan, SOAK_STORE_LATE, LATE_APPENDS_SEED,
                            MAX_LATE_APPENDS_GAP_MS);
  return plan;
}

char *
soak_plan_text (const GArray *plan)
{
  /* The names in plan.txt; tools/check-docs.sh looks them up in the table of faults. */
  static const char *const names[SOAK_FAULT_N]
      = { [SOAK_KILL] = "kill",
          [SOAK_TERM] = "term",
          [SOAK_FREEZE] = "freeze",
          [SOAK_RELOAD] = "reload",
          [SOAK_STORE_LINK] = "store-link",
          [SOAK_STORE_RESET] = "store-reset",
          [SOAK_STORE_BLACKHOLE] = "store-silence",
          [SOAK_CALLER_LINK] = "caller-link",
          [SOAK_CALLER_RESET] = "caller-reset",
          [SOAK_STORE_DOWN] = "store-away",
          [SOAK_STORE_UNRESPONSIVE] = "store-mute",
          [SOAK_WORKER_CRASH] = "worker-crash",
          [SOAK_ROLLING_RESTART] = "roll",
          [SOAK_KILL_ALL] = "kill-all",
          [SOAK_WORKER_LINK] = "worker-link",
          [SOAK_WORKER_RESET] = "worker-reset",
          [SOAK_WORKER_BLACKHOLE] = "worker-silence",
          [SOAK_WORKER_PARTITION] = "worker-cut",
          [SOAK_WORKER_REFUSES] = "worker-refuses",
          [SOAK_WORKER_LOSES] = "worker-loses",
          [SOAK_WORKER_FLAKY] = "worker-flaky",
          [SOAK_WORKER_LATE] = "worker-late",
          [SOAK_PEER_LINK] = "peer-link",
          [SOAK_PEER_RESET] = "peer-reset",
          [SOAK_PEER_BLACKHOLE] = "peer-silence",
          [SOAK_STORE_FLAKY] = "store-flaky",
          [SOAK_QUEUE_MOVE] = "queue-move",
          [SOAK_WORKER_NO_LISTENER] = "worker-no-listener",
          [SOAK_STORE_EXPIRY] = "store-expiry",
          [SOAK_STORE_OUTAGE] = "store-outage",
          [SOAK_WORKER_CUT_OFF] = "worker-cut-off",
          [SOAK_OTHER_WRITER] = "other-writer",
          [SOAK_STORE_LATE] = "store-late",
          [SOAK_WORKER_FREEZE] = "worker-freeze",
          [SOAK_WORKER_LATER_OWNERS] = "worker-later-owners",
          [SOAK_DAEMON_SLOW] = "daemon-slow",
          [SOAK_WORKER_RESTART] = "worker-restart" };
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < plan->len; i++)
    {
      const SoakFault *fault = &g_array_index (plan, SoakFault, i);
      g_string_append_printf (text, "%6u ms %-14s target=%u for_ms=%u variant=%u\n", fault->at_ms,
                              names[fault->kind], fault->target, fault->duration_ms,
                              fault->variant);
    }
  return g_string_free (text, FALSE);
}
