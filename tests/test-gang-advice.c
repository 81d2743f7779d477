/* A pool of gangs whose requests for advice share 44 daemons with those of other services: how long
 * gangs wait for their first start, and how busy the daemons are with advice.
 *
 * The load is that of the accelerator pool in docs/design/hard-load.md: 98 workers with 8
 * accelerators, 3.3 gangs/s of 5 members and 3.8 forecasts/s of 16 tasks.  A decision for a gang
 * takes 715 ms and 10.27 ms for each worker; three of ten workers are allowed.  Requests of other
 * services keep about 20 daemons busy.  The simulation has no network. */
#include "fb-event.h"
#include "idle-callbacks.h"
#include "internal/pool.h"
#include "recorded-workers.h"
#include "src/entry/advice/advice-balancer.h"
#include "src/entry/advice/advice-queue.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define DAEMON_N 44
#define WORKER_N 98
#define WORKER_GPUS 8
#define STEP_MS 5
#define LOAD_MS 40000
#define SIMULATION_MS 60000
#define NETWORK_MS 4
#define WALL_OFFSET_MS 1000000000
#define GANG_MEMBERS 5
#define GANGS_PER_SECOND 3.3
#define FORECASTS_PER_SECOND 3.8
#define FIRST_JOB_MS 1000
#define GANG_MS 3600
#define FORECAST_MS 3000
#define DECISION_US 715000
#define PER_WORKER_US 10270
#define VALIDITY_MS 2000
/* Requests of other services: 20 in a second that take 1 s each. */
#define OTHER_PER_SECOND 20
#define OTHER_MS 1000
#define MAX_JOBS 1000
/* When an account sends more gangs than otherwise. */
#define BURST_MS 10000
#define BURST_LENGTH_MS 4000
#define SEED_N 12

typedef struct
{
  char *task;
  uint32_t attempt;
  uint64_t ends_ms;
} Run;

typedef struct
{
  GArray *runs; /* of Run */
  GArray *ends; /* of FbReportedEnd that are not acknowledged */
  uint64_t last_end;
  gboolean poll_open;
  uint64_t poll_due_ms;
} Worker;

/* STEP is NULL for a request of another service. */
typedef struct
{
  char *step;
  GPtrArray *workers;
  uint32_t expected_ms;
  guint daemon;
  uint64_t answered_ms;
} Request;

typedef struct
{
  FbAdviceQueue *queue;
  GQueue calls; /* of Request */
  uint64_t ends_ms;
} Daemon;

typedef struct
{
  uint64_t admitted_ms;
  uint64_t started_ms;  /* 0: not started */
  uint64_t answered_ms; /* when its first answer came; 0: none yet */
  gboolean is_gang;
  gboolean is_measured;
  uint32_t run_ms;
} Job;

typedef struct
{
  FbPool *pool;
  uint64_t now_ms;
  GRand *random;
  Worker workers[WORKER_N];
  GArray *starts; /* of uint64_t: orders to answer */
  Daemon daemons[DAEMON_N];
  GPtrArray *names;
  FbAdviceBalancer *balancers[2]; /* of the pool's owner, and of the other services' */
  guint other_waiting;
  GQueue answers; /* of Request */
  Job jobs[MAX_JOBS];
  guint job_n;
  uint64_t busy_ms; /* of all daemons, while the load lasts */
  uint64_t gang_busy_ms;
  double failing;        /* Load.failing */
  gboolean has_accounts; /* only jobs of an account are measured */
  guint requests_n;
} Simulation;

typedef struct
{
  gboolean splits;        /* the pool may send parallel requests */
  double hot_per_second;  /* gangs of the account "hot"; 0: there are no accounts */
  gboolean hot_forecasts; /* all forecasts are the account's, too */
  double burst_factor;    /* for the account's gangs, for BURST_LENGTH_MS */
  int64_t hot_gpus;       /* what the account may use */
  double failing;         /* share of the pool's requests that get no answer */
} Load;

/* Times to the first start, of the account's jobs if there are accounts. */
typedef struct
{
  GArray *waits;          /* of uint32_t: of gangs */
  GArray *answer_waits;   /* of uint32_t: of gangs, times to their first answer */
  GArray *forecast_waits; /* of uint32_t */
  uint64_t busy_ms;
  uint64_t gang_busy_ms;
  guint requests_n;
  guint runs_n;
} Totals;

/* ---- orders ------------------------------------------------------------------------- */

static void
on_start (gpointer user, const FbStartOrder *order)
{
  Simulation *simulation = user;
  Job *job = &simulation->jobs[strtoul (order->task, NULL, 16)];
  if (job->started_ms == 0)
    job->started_ms = simulation->now_ms;
  const Run run = { g_strdup (order->task), order->attempt, simulation->now_ms + job->run_ms };
  g_array_append_val (simulation->workers[atoi (order->worker)].runs, run);
  g_array_append_val (simulation->starts, order->order);
}

static void
on_poll (gpointer user, const FbPollOrder *order)
{
  Simulation *simulation = user;
  Worker *worker = &simulation->workers[atoi (order->worker)];
  while (worker->ends->len > 0
         && g_array_index (worker->ends, FbReportedEnd, 0).number <= order->acknowledged)
    {
      g_free (g_array_index (worker->ends, FbReportedEnd, 0).task);
      g_array_remove_index (worker->ends, 0);
    }
  worker->poll_open = TRUE;
  worker->poll_due_ms = simulation->now_ms + order->wait_ms;
}

static void
send_to (Simulation *simulation, guint owner, const char *name, Request *request)
{
  g_ptr_array_find (simulation->names, name, &request->daemon);
  fb_advice_balancer_began (simulation->balancers[owner], name, request->expected_ms,
                            simulation->now_ms);
  fb_advice_queue_add (simulation->daemons[request->daemon].queue, request, request->expected_ms,
                       simulation->now_ms);
}

static gboolean
on_request_advice (gpointer user, const char *step, const char *const *workers, guint n,
                   uint32_t expected_ms)
{
  Simulation *simulation = user;
  const char *name = fb_advice_balancer_choose (simulation->balancers[0], simulation->names,
                                                expected_ms, simulation->now_ms);
  if (name == NULL)
    return FALSE;
  Request *request = g_new0 (Request, 1);
  request->step = g_strdup (step);
  request->workers = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < n; i++)
    g_ptr_array_add (request->workers, g_strdup (workers[i]));
  request->expected_ms = expected_ms;
  send_to (simulation, 0, name, request);
  simulation->requests_n++;
  return TRUE;
}

static guint
idle_daemons (gpointer user, uint32_t expected_ms)
{
  Simulation *simulation = user;
  return fb_advice_balancer_idle_n (simulation->balancers[0], simulation->names, expected_ms,
                                    simulation->now_ms);
}

static const FbPoolCallbacks callbacks
    = { on_start, idle_on_stop, on_poll, on_request_advice, idle_on_fenced, NULL, NULL, NULL };

/* ---- workers ------------------------------------------------------------------------ */

static void
answer_poll (Simulation *simulation, guint i)
{
  Worker *worker = &simulation->workers[i];
  g_autoptr (GArray) running = g_array_new (FALSE, TRUE, sizeof (FbReportedRun));
  for (guint k = 0; k < worker->runs->len; k++)
    {
      const Run *run = &g_array_index (worker->runs, Run, k);
      const FbReportedRun reported
          = { .task = run->task, .attempt = run->attempt, .checkpoint = "" };
      g_array_append_val (running, reported);
    }
  g_autofree char *id = g_strdup_printf ("%u", i);
  const FbPollAnswer answer
      = { .clock_ms = simulation->now_ms, .running = running, .finished = worker->ends };
  worker->poll_open = FALSE;
  fb_pool_poll_answered (simulation->pool, id, &answer, simulation->now_ms,
                         WALL_OFFSET_MS + simulation->now_ms);
}

static void
end_runs (Worker *worker, uint64_t now_ms)
{
  for (guint k = worker->runs->len; k > 0; k--)
    {
      const Run *run = &g_array_index (worker->runs, Run, k - 1);
      if (now_ms < run->ends_ms)
        continue;
      const FbReportedEnd end = { .number = ++worker->last_end,
                                  .task = run->task,
                                  .attempt = run->attempt,
                                  .reason = FB_END_DONE,
                                  .checkpoint = "" };
      g_array_append_val (worker->ends, end);
      g_array_remove_index (worker->runs, k - 1);
    }
}

static void
run_workers (Simulation *simulation)
{
  g_autoptr (GArray) starts = simulation->starts;
  simulation->starts = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (guint i = 0; i < starts->len; i++)
    fb_pool_start_answered (simulation->pool, g_array_index (starts, uint64_t, i), FB_ORDER_DONE,
                            simulation->now_ms, simulation->now_ms);
  for (guint i = 0; i < WORKER_N; i++)
    {
      Worker *worker = &simulation->workers[i];
      end_runs (worker, simulation->now_ms);
      if (worker->poll_open && (worker->ends->len > 0 || simulation->now_ms >= worker->poll_due_ms))
        answer_poll (simulation, i);
    }
}

/* ---- advice service ------------------------------------------------------------------ */

static gboolean
allows (const char *step, const char *worker)
{
  return XXH64 (worker, strlen (worker), XXH64 (step, strlen (step), 1)) % 10 < 3;
}

static void
deliver (Simulation *simulation, const Request *request)
{
  g_autofree fb_ticket *tickets = g_new0 (fb_ticket, request->workers->len + 1);
  fb_advice_reply reply = { .tickets = { 0, tickets }, .validity_ms = VALIDITY_MS };
  for (guint i = 0; i < request->workers->len; i++)
    {
      char *id = request->workers->pdata[i];
      if (allows (request->step, id))
        tickets[reply.tickets.tickets_len++] = (fb_ticket){ id, "t" };
    }
  Job *job = &simulation->jobs[strtoul (request->step, NULL, 16)];
  if (job->answered_ms == 0)
    job->answered_ms = simulation->now_ms;
  gboolean failed
      = simulation->failing > 0 && g_rand_double (simulation->random) < simulation->failing;
  fb_pool_advice_answered (simulation->pool, request->step,
                           (const char *const *) request->workers->pdata, request->workers->len,
                           failed ? NULL : &reply, simulation->now_ms);
}

static void
request_free (Request *request)
{
  g_free (request->step);
  g_clear_pointer (&request->workers, g_ptr_array_unref);
  g_free (request);
}

/* As in test-advice.c: the service handles the calls of one daemon one after the other. */
static void
serve (Simulation *simulation, Daemon *daemon)
{
  uint64_t now_ms = simulation->now_ms;
  Request *request = g_queue_peek_head (&daemon->calls);
  if (request != NULL && now_ms >= daemon->ends_ms)
    {
      g_queue_pop_head (&daemon->calls);
      fb_advice_queue_ended (daemon->queue, request);
      request->answered_ms = now_ms + NETWORK_MS;
      g_queue_push_tail (&simulation->answers, request);
      request = g_queue_peek_head (&daemon->calls);
      daemon->ends_ms = request != NULL ? now_ms + request->expected_ms : 0;
    }
  gpointer next = NULL;
  while ((next = fb_advice_queue_next (daemon->queue)) != NULL)
    {
      if (g_queue_is_empty (&daemon->calls))
        daemon->ends_ms = now_ms + ((Request *) next)->expected_ms;
      g_queue_push_tail (&daemon->calls, next);
    }
  request = g_queue_peek_head (&daemon->calls);
  if (request != NULL && now_ms < LOAD_MS)
    {
      simulation->busy_ms += STEP_MS;
      simulation->gang_busy_ms += request->step != NULL ? STEP_MS : 0;
    }
}

static void
receive_answers (Simulation *simulation)
{
  Request *request = NULL;
  while ((request = g_queue_peek_head (&simulation->answers)) != NULL
         && simulation->now_ms >= request->answered_ms)
    {
      g_queue_pop_head (&simulation->answers);
      fb_advice_balancer_ended (simulation->balancers[request->step != NULL ? 0 : 1],
                                simulation->names->pdata[request->daemon]);
      if (request->step != NULL)
        deliver (simulation, request);
      request_free (request);
    }
}

static gboolean
happens (Simulation *simulation, double per_second)
{
  return g_rand_double (simulation->random) < per_second * STEP_MS / 1000;
}

static void
request_for_others (Simulation *simulation)
{
  simulation->other_waiting += happens (simulation, OTHER_PER_SECOND);
  const char *name = NULL;
  while (simulation->other_waiting > 0
         && (name = fb_advice_balancer_choose (simulation->balancers[1], simulation->names,
                                               OTHER_MS, simulation->now_ms))
                != NULL)
    {
      Request *request = g_new0 (Request, 1);
      request->expected_ms = OTHER_MS;
      send_to (simulation, 1, name, request);
      simulation->other_waiting--;
    }
}

/* ---- load ---------------------------------------------------------------------------- */

static void
add_job (Simulation *simulation, gboolean is_gang, const char *account)
{
  guint number = ++simulation->job_n;
  g_assert_true (number < MAX_JOBS);
  simulation->jobs[number] = (Job){ .admitted_ms = simulation->now_ms,
                                    .is_gang = is_gang,
                                    .is_measured = account != NULL || !simulation->has_accounts,
                                    .run_ms = is_gang ? GANG_MS : FORECAST_MS };
  fb_work_step step
      = { .count = is_gang ? GANG_MEMBERS : 16,
          .cpu_milli = is_gang ? 4000 : 2000,
          .mem_mb = 100,
          .gpu_count = is_gang ? (u_int) g_rand_int_range (simulation->random, 2, 9) : 1,
          .gang = is_gang,
          .estimate_ms = is_gang ? GANG_MS : FORECAST_MS };
  step.preferred_rack = step.required_label = step.image = "";
  fb_work_admit record = { .accepted_ms = WALL_OFFSET_MS + simulation->now_ms };
  record.policy = (fb_work_policy){ .queue = is_gang ? "gangs" : "forecasts",
                                    .service = "svc",
                                    .priority = is_gang ? 1 : 2,
                                    .max_attempts = 3,
                                    .stretch_factor_milli = is_gang ? 2200 : 4000,
                                    .target_ms = is_gang ? 1000 : 3000,
                                    .advised = is_gang,
                                    .advice_decision_us = DECISION_US,
                                    .advice_per_worker_us = PER_WORKER_US,
                                    .advice_validity_ms = VALIDITY_MS };
  record.account = (char *) account;
  record.spec.payload = "";
  record.spec.steps.steps_len = 1;
  record.spec.steps.steps_val = &step;
  g_autofree char *id = g_strdup_printf ("%016x", number);
  fb_pool_add_job (simulation->pool, id, &record, simulation->now_ms,
                   WALL_OFFSET_MS + simulation->now_ms);
}

static void
simulation_init (Simulation *simulation, gboolean splits, guint32 seed)
{
  static const FbPoolLimits limits
      = { .max_lease_ms = 6000, .max_stop_ms = 200, .gang_wait_ms = 3000 };
  simulation->random = g_rand_new_with_seed (seed);
  simulation->starts = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  simulation->names = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < DAEMON_N; i++)
    {
      g_ptr_array_add (simulation->names, g_strdup_printf ("daemon-%02u", i));
      simulation->daemons[i].queue = fb_advice_queue_new ();
    }
  for (guint i = 0; i < G_N_ELEMENTS (simulation->balancers); i++)
    simulation->balancers[i] = fb_advice_balancer_new ();
  simulation->pool = fb_pool_new ("svc", 1, &limits, &callbacks, simulation, 0);
  fb_pool_set_leases_until (simulation->pool, G_MAXUINT64);
  if (splits)
    fb_pool_set_idle_daemons (simulation->pool, idle_daemons);
  for (guint i = 0; i < WORKER_N; i++)
    {
      simulation->workers[i].runs = g_array_new (FALSE, FALSE, sizeof (Run));
      simulation->workers[i].ends = g_array_new (FALSE, TRUE, sizeof (FbReportedEnd));
      const char *const labels[] = { "a", NULL };
      g_autofree char *id = g_strdup_printf ("%u", i);
      const FbWorkerEntry entry = { .id = id,
                                    .address = id,
                                    .rack = "r1",
                                    .labels = labels,
                                    .cpu_milli = 32000,
                                    .mem_mb = 65536,
                                    .gpu_count = WORKER_GPUS };
      list_recorded_worker (simulation->pool, &entry, 0);
    }
  fb_pool_workers_complete (simulation->pool);
  fb_pool_jobs_complete (simulation->pool, 0);
}

static void
simulation_clear (Simulation *simulation)
{
  fb_pool_free (simulation->pool);
  for (guint i = 0; i < WORKER_N; i++)
    {
      for (guint k = 0; k < simulation->workers[i].runs->len; k++)
        g_free (g_array_index (simulation->workers[i].runs, Run, k).task);
      for (guint k = 0; k < simulation->workers[i].ends->len; k++)
        g_free (g_array_index (simulation->workers[i].ends, FbReportedEnd, k).task);
      g_array_unref (simulation->workers[i].runs);
      g_array_unref (simulation->workers[i].ends);
    }
  for (guint i = 0; i < DAEMON_N; i++)
    {
      fb_advice_queue_free (simulation->daemons[i].queue);
      g_queue_clear (&simulation->daemons[i].calls);
    }
  for (guint i = 0; i < G_N_ELEMENTS (simulation->balancers); i++)
    fb_advice_balancer_free (simulation->balancers[i]);
  g_ptr_array_unref (simulation->names);
  g_array_unref (simulation->starts);
  g_rand_free (simulation->random);
  g_free (simulation);
}

static gint
compare_u32 (gconstpointer a, gconstpointer b)
{
  uint32_t x = *(const uint32_t *) a;
  uint32_t y = *(const uint32_t *) b;
  return (x > y) - (x < y);
}

static void
add_waits (const Simulation *simulation, Totals *totals)
{
  for (guint i = 1; i <= simulation->job_n; i++)
    {
      const Job *job = &simulation->jobs[i];
      uint64_t started_ms = job->started_ms != 0 ? job->started_ms : SIMULATION_MS;
      uint32_t wait_ms = (uint32_t) (started_ms - job->admitted_ms);
      uint64_t answered_ms = job->answered_ms != 0 ? job->answered_ms : SIMULATION_MS;
      uint32_t answer_wait_ms = (uint32_t) (answered_ms - job->admitted_ms);
      if (job->is_measured)
        g_array_append_val (job->is_gang ? totals->waits : totals->forecast_waits, wait_ms);
      if (job->is_measured && job->is_gang)
        g_array_append_val (totals->answer_waits, answer_wait_ms);
    }
  totals->busy_ms += simulation->busy_ms;
  totals->gang_busy_ms += simulation->gang_busy_ms;
  totals->requests_n += simulation->requests_n;
  totals->runs_n++;
}

static void
add_jobs (Simulation *simulation, const Load *load)
{
  const char *hot = load->hot_per_second > 0 ? "hot" : NULL;
  gboolean burst
      = simulation->now_ms >= BURST_MS && simulation->now_ms < BURST_MS + BURST_LENGTH_MS;
  if (happens (simulation, GANGS_PER_SECOND - load->hot_per_second))
    add_job (simulation, TRUE, NULL);
  if (happens (simulation, load->hot_per_second * (burst ? load->burst_factor : 1)))
    add_job (simulation, TRUE, hot);
  if (happens (simulation, FORECASTS_PER_SECOND))
    add_job (simulation, FALSE, load->hot_forecasts ? hot : NULL);
}

static void
simulate (const Load *load, guint32 seed, Totals *totals)
{
  Simulation *simulation = g_new0 (Simulation, 1);
  simulation_init (simulation, load->splits, seed);
  FbAccount hot
      = { .name = (char *) "hot", .weight = 1000, .cap = { .gpu_count = load->hot_gpus } };
  g_autoptr (GHashTable) accounts = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (accounts, hot.name, &hot);
  simulation->has_accounts = load->hot_per_second > 0;
  simulation->failing = load->failing;
  if (simulation->has_accounts)
    fb_pool_set_accounts (simulation->pool, accounts);
  for (; simulation->now_ms < SIMULATION_MS; simulation->now_ms += STEP_MS)
    {
      receive_answers (simulation);
      for (guint i = 0; i < DAEMON_N; i++)
        serve (simulation, &simulation->daemons[i]);
      if (simulation->now_ms < LOAD_MS)
        request_for_others (simulation);
      if (simulation->now_ms > FIRST_JOB_MS && simulation->now_ms < LOAD_MS)
        add_jobs (simulation, load);
      run_workers (simulation);
      fb_pool_tick (simulation->pool, TRUE, simulation->now_ms,
                    WALL_OFFSET_MS + simulation->now_ms);
    }
  add_waits (simulation, totals);
  simulation_clear (simulation);
}

/* Returns: the mean of WAITS, which it prints. */
static double
print_waits (const char *name, GArray *waits)
{
  if (waits->len == 0)
    return 0;
  g_array_sort (waits, compare_u32);
  double total_ms = 0;
  guint late_n = 0;
  for (guint i = 0; i < waits->len; i++)
    {
      total_ms += g_array_index (waits, uint32_t, i);
      late_n += g_array_index (waits, uint32_t, i) > 5000;
    }
  printf ("    %u %s after %.0f ms on average, one in ten after %u ms or more, %u after "
          "more than 5 s\n",
          waits->len, name, total_ms / waits->len,
          g_array_index (waits, uint32_t, waits->len * 9 / 10), late_n);
  return total_ms / waits->len;
}

typedef struct
{
  double start_ms;  /* mean time of gangs to their first start */
  double answer_ms; /* mean time of gangs to their first answer */
  double busy;      /* mean number of daemons that are busy with advice */
} Result;

/* Simulates LOAD with SEED_N seeds. */
static Result
measure (const Load *load)
{
  Totals totals = { .waits = g_array_new (FALSE, FALSE, sizeof (uint32_t)),
                    .answer_waits = g_array_new (FALSE, FALSE, sizeof (uint32_t)),
                    .forecast_waits = g_array_new (FALSE, FALSE, sizeof (uint32_t)) };
  for (guint32 seed = 1; seed <= SEED_N; seed++)
    simulate (load, seed, &totals);
  printf ("\n");
  double load_ms = (double) LOAD_MS * totals.runs_n;
  const Result result = { .start_ms = print_waits ("first starts of gangs", totals.waits),
                          .answer_ms = print_waits ("first answers for gangs", totals.answer_waits),
                          .busy = (double) totals.busy_ms / load_ms };
  (void) print_waits ("first starts of forecasts", totals.forecast_waits);
  printf ("    %.1f of %u daemons busy, %.1f of them for this pool, %u requests\n", result.busy,
          DAEMON_N, (double) totals.gang_busy_ms / load_ms, totals.requests_n);
  g_array_unref (totals.waits);
  g_array_unref (totals.answer_waits);
  g_array_unref (totals.forecast_waits);
  return result;
}

/* ---- tests ----------------------------------------------------------------------------- */

/* Gangs must get their first answer after the time of a request for a third of the workers, without
 * keeping the daemons from other requests. */
static void
test_parallel_requests (void)
{
  const Result single = measure (&(Load){ .splits = FALSE });
  const Result split = measure (&(Load){ .splits = TRUE });
  CU_ASSERT_TRUE (split.start_ms + 400 < single.start_ms);
  CU_ASSERT_TRUE (split.busy < single.busy + 8);
  CU_ASSERT_TRUE (split.busy < 0.9 * DAEMON_N);
}

/* Gangs must not get their first answer only after their account, which is at its cap, may start
 * them: 2,808 ms on average before steps that wait requested advice. */
static void
test_account_at_its_cap (void)
{
  const Result result = measure (&(Load){ .splits = TRUE,
                                          .hot_per_second = 1,
                                          .hot_forecasts = TRUE,
                                          .burst_factor = 1,
                                          .hot_gpus = 280 });
  CU_ASSERT_TRUE (result.answer_ms < 2400);
  CU_ASSERT_TRUE (result.start_ms < 5800);
  CU_ASSERT_TRUE (result.busy < 0.9 * DAEMON_N);
}

/* The same while an account sends 5.5 times its gangs for 4 s: 2,902 ms before. */
static void
test_burst_of_gangs (void)
{
  const Result result = measure (
      &(Load){ .splits = TRUE, .hot_per_second = 1, .burst_factor = 5.5, .hot_gpus = 150 });
  CU_ASSERT_TRUE (result.answer_ms < 2500);
  CU_ASSERT_TRUE (result.start_ms < 8900);
  CU_ASSERT_TRUE (result.busy < 0.9 * DAEMON_N);
}

/* One request in five fails, as when the daemon that forwards it dies or the service is busy: only
 * the failed part of a split request is repeated, so that gangs are hardly later. */
static void
test_failing_requests (void)
{
  const Result result = measure (&(Load){ .splits = TRUE, .failing = 0.2 });
  CU_ASSERT_TRUE (result.start_ms < 2400);
  CU_ASSERT_TRUE (result.busy < 0.9 * DAEMON_N);
}

int
main (void)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  fb_event_set_quiet (TRUE);
  CU_pSuite suite = CU_add_suite ("gang advice", NULL, NULL);
  CU_add_test (suite, "parallel first requests", test_parallel_requests);
  CU_add_test (suite, "gangs and single tasks of an account at its cap", test_account_at_its_cap);
  CU_add_test (suite, "burst of gangs of an account", test_burst_of_gangs);
  CU_add_test (suite, "failing requests", test_failing_requests);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  guint failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
