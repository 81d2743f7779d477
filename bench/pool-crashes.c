/* Measures what tasks that crash their workers cost other tasks: a pool with simulated workers on a
 * fake clock, under a load of short and long jobs.
 *
 * A worker that crashes is down for 2 to 8 s and restarts under a new id; its old entry stays
 * listed for 4.5 s.  The CPU time printed is that of the calls of the pool. */
#include "fb-event.h"
#include "internal/pool.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define STEP_MS 4
#define FIRST_CLOCK_MS 1000000
#define WALL_CLOCK_OFFSET_MS 1000000000
#define SIMULATED_MS 90000
#define SUBMIT_FOR_MS 60000
#define CRASHING_JOBS_FROM_MS 5000
#define CRASHING_JOB_INTERVAL_MS 500
#define ENTRY_TTL_MS 4500
#define CALL_TIMEOUT_MS 600
#define WORKER_CPU 64000
#define WORKER_MEM 262144
/* CPU use of the load in percent of the capacity of all workers. */
#define LOAD_PERCENT 60
/* Tasks of the job whose tasks all crash their workers. */
#define MANY_CRASHING_TASKS 200

typedef struct
{
  uint32_t tasks;
  uint32_t cpu_milli;
  uint32_t run_ms;
} JobKind;

/* Three short jobs for each long one: tasks, CPU and run time. */
static const JobKind kinds[]
    = { { 6, 6100, 880 }, { 6, 6100, 880 }, { 6, 6100, 880 }, { 9, 13000, 5600 } };

typedef struct
{
  char task[64];
  guint job;
  uint32_t attempt;
  uint64_t started_ms;
  uint64_t ends_ms;
  uint64_t crash_ms; /* when it crashes its worker; 0: never */
} Run;

typedef struct
{
  char id[32];
  char address[16];
  guint incarnation;
  gboolean up;
  uint64_t restart_ms;         /* when it restarts, while it is down */
  char previous_id[32];        /* of the crashed incarnation while it is listed; else empty */
  uint64_t unlist_previous_ms; /* when the entry of previous_id is removed */
  GArray *runs;                /* of Run */
  GArray *ends;                /* of FbReportedEnd */
  uint64_t next_end;
} Host;

typedef struct
{
  gboolean is_crashing;      /* its tasks crash their workers */
  uint32_t crashing_tasks_n; /* number of its tasks, from the first on, that crash their workers */
  const JobKind *kind;
  uint64_t submitted_ms;
  uint64_t started_ms;     /* of its first task; 0: none was started */
  guint crashed_workers_n; /* workers that its tasks crashed */
} Job;

typedef enum
{
  CALL_START,
  CALL_STOP,
  CALL_POLL
} CallKind;

typedef struct
{
  CallKind kind;
  uint64_t order;
  guint host;
  char worker[32];
  char task[64];
  uint32_t attempt;
  uint64_t acknowledged;
  uint64_t answer_by_ms;  /* when it is answered at the latest while the worker is up */
  uint64_t timeout_at_ms; /* when it fails if the worker is down */
} Call;

typedef struct
{
  FbPool *pool;
  GRand *rand;
  uint64_t now_ms;
  guint host_n;
  Host *hosts;
  GArray *jobs;    /* of Job */
  GArray *calls;   /* of Call */
  uint64_t cpu_ns; /* of the pool's calls */
  uint64_t starts;
  double lost_core_s; /* work of other jobs that was lost in crashes */
  double down_s;      /* of workers */
} Simulation;

/* ---- orders --------------------------------------------------------------------- */

static void
add_call (Simulation *sim, Call *call, const char *worker, uint32_t wait_ms, uint32_t timeout_ms)
{
  call->host = (guint) atoi (worker + 1);
  g_strlcpy (call->worker, worker, sizeof call->worker);
  call->answer_by_ms = sim->now_ms + STEP_MS + wait_ms;
  call->timeout_at_ms = sim->now_ms + wait_ms + timeout_ms;
  g_array_append_val (sim->calls, *call);
}

static void
on_start (gpointer user, const FbStartOrder *order)
{
  Call call = { .kind = CALL_START, .order = order->order, .attempt = order->attempt };
  g_strlcpy (call.task, order->task, sizeof call.task);
  add_call (user, &call, order->worker, 0, CALL_TIMEOUT_MS);
}

static void
on_stop (gpointer user, const FbStopOrder *order)
{
  Call call = { .kind = CALL_STOP, .order = order->order, .attempt = order->attempt };
  g_strlcpy (call.task, order->task, sizeof call.task);
  add_call (user, &call, order->worker, 0, CALL_TIMEOUT_MS);
}

static void
on_poll (gpointer user, const FbPollOrder *order)
{
  Call call = { .kind = CALL_POLL, .acknowledged = order->acknowledged };
  add_call (user, &call, order->worker, order->wait_ms, order->timeout_ms);
}

static gboolean
on_advise (gpointer user, const char *step, const char *const *workers, guint n,
           uint32_t expected_ms)
{
  (void) user;
  (void) step;
  (void) workers;
  (void) n;
  (void) expected_ms;
  return FALSE;
}

static void
on_fenced (gpointer user, const char *worker)
{
  (void) user;
  (void) worker;
}

static const FbPoolCallbacks callbacks
    = { on_start, on_stop, on_poll, on_advise, on_fenced, NULL, NULL, NULL };

/* ---- workers ----------------------------------------------------------------------- */

static void
list_host (Simulation *sim, const Host *host)
{
  static const char *const labels[] = { "a", "r1", NULL };
  const FbWorkerEntry entry = { .id = host->id,
                                .address = host->address,
                                .rack = "r1",
                                .labels = labels,
                                .cpu_milli = WORKER_CPU,
                                .mem_mb = WORKER_MEM };
  fb_pool_worker_listed (sim->pool, &entry, sim->now_ms);
}

static void
host_start (Simulation *sim, guint i)
{
  Host *host = &sim->hosts[i];
  host->incarnation++;
  g_snprintf (host->id, sizeof host->id, "w%u-%u", i, host->incarnation);
  g_snprintf (host->address, sizeof host->address, "a%u", i);
  host->up = TRUE;
  host->next_end = 0;
  g_array_set_size (host->runs, 0);
  g_array_set_size (host->ends, 0);
  list_host (sim, host);
}

static void
host_crash (Simulation *sim, Host *host, const Run *cause)
{
  Job *causing_job = &g_array_index (sim->jobs, Job, cause->job);
  causing_job->crashed_workers_n++;
  for (guint i = 0; i < host->runs->len; i++)
    {
      const Run *run = &g_array_index (host->runs, Run, i);
      const Job *job = &g_array_index (sim->jobs, Job, run->job);
      if (!job->is_crashing)
        sim->lost_core_s
            += (double) (sim->now_ms - run->started_ms) / 1000 * job->kind->cpu_milli / 1000;
    }
  g_array_set_size (host->runs, 0);
  host->up = FALSE;
  host->restart_ms = sim->now_ms + 2000 + (uint64_t) g_rand_int_range (sim->rand, 0, 6000);
  host->unlist_previous_ms = sim->now_ms + ENTRY_TTL_MS;
  g_strlcpy (host->previous_id, host->id, sizeof host->previous_id);
  sim->down_s += (double) (host->restart_ms - sim->now_ms) / 1000;
}

static void
add_end (Host *host, const Run *run, FbEndReason reason)
{
  const FbReportedEnd end = { .number = ++host->next_end,
                              .task = g_strdup (run->task),
                              .attempt = run->attempt,
                              .reason = reason,
                              .checkpoint = g_strdup ("") };
  g_array_append_val (host->ends, end);
}

static void
host_tick (Simulation *sim, guint i)
{
  Host *host = &sim->hosts[i];
  if (*host->previous_id != '\0' && sim->now_ms >= host->unlist_previous_ms)
    {
      fb_pool_worker_unlisted (sim->pool, host->previous_id, sim->now_ms);
      *host->previous_id = '\0';
    }
  if (!host->up && sim->now_ms >= host->restart_ms)
    host_start (sim, i);
  for (guint j = host->runs->len; host->up && j > 0; j--)
    {
      const Run run = g_array_index (host->runs, Run, j - 1);
      if (run.crash_ms != 0 && sim->now_ms >= run.crash_ms)
        host_crash (sim, host, &g_array_index (host->runs, Run, j - 1));
      else if (sim->now_ms >= run.ends_ms)
        {
          add_end (host, &run, FB_END_DONE);
          g_array_remove_index (host->runs, j - 1);
        }
    }
}

/* ---- answers ---------------------------------------------------------------------------- */

static void
begin_run (Simulation *sim, Host *host, const Call *call)
{
  char id[FB_WORK_JOB_ID_CHARS + 1];
  g_strlcpy (id, call->task, sizeof id);
  Run run = { .job = (guint) strtoul (id, NULL, 16) - 1, .attempt = call->attempt };
  Job *job = &g_array_index (sim->jobs, Job, run.job);
  g_strlcpy (run.task, call->task, sizeof run.task);
  run.started_ms = sim->now_ms;
  run.ends_ms = sim->now_ms
                + job->kind->run_ms * (80 + (uint64_t) g_rand_int_range (sim->rand, 0, 45)) / 100;
  guint index = (guint) atoi (strrchr (call->task, '.') + 1);
  if (index < job->crashing_tasks_n)
    run.crash_ms = sim->now_ms + (uint64_t) g_rand_int_range (sim->rand, 10, job->kind->run_ms);
  if (job->started_ms == 0)
    job->started_ms = sim->now_ms;
  sim->starts++;
  g_array_append_val (host->runs, run);
}

static void
stop_run (Host *host, const Call *call)
{
  for (guint i = 0; i < host->runs->len; i++)
    {
      const Run run = g_array_index (host->runs, Run, i);
      if (!g_str_equal (run.task, call->task) || run.attempt > call->attempt)
        continue;
      add_end (host, &run, FB_END_STOPPED);
      g_array_remove_index (host->runs, i);
      return;
    }
}

static void
clear_end (gpointer end)
{
  g_free (((FbReportedEnd *) end)->task);
  g_free (((FbReportedEnd *) end)->checkpoint);
}

static void
answer_poll (Simulation *sim, Host *host, const Call *call, FbOrderResult result)
{
  g_autoptr (GArray) running = g_array_new (FALSE, TRUE, sizeof (FbReportedRun));
  for (guint i = 0; result == FB_ORDER_DONE && i < host->runs->len; i++)
    {
      Run *run = &g_array_index (host->runs, Run, i);
      const FbReportedRun reported
          = { run->task, run->attempt, (char *) "", FB_PERCENT_NOT_REPORTED };
      g_array_append_val (running, reported);
    }
  for (guint i = host->ends->len; result == FB_ORDER_DONE && i > 0; i--)
    {
      if (g_array_index (host->ends, FbReportedEnd, i - 1).number <= call->acknowledged)
        g_array_remove_index (host->ends, i - 1);
    }
  const FbPollAnswer answer
      = { .result = result, .clock_ms = sim->now_ms, .running = running, .finished = host->ends };
  fb_pool_poll_answered (sim->pool, call->worker, &answer, sim->now_ms,
                         WALL_CLOCK_OFFSET_MS + sim->now_ms);
}

static void
answer (Simulation *sim, const Call *call, FbOrderResult result)
{
  Host *host = &sim->hosts[call->host];
  if (call->kind == CALL_POLL)
    answer_poll (sim, host, call, result);
  else if (call->kind == CALL_STOP)
    {
      if (result == FB_ORDER_DONE)
        stop_run (host, call);
      fb_pool_stop_answered (sim->pool, call->order, result, sim->now_ms, sim->now_ms);
    }
  else
    {
      if (result == FB_ORDER_DONE)
        begin_run (sim, host, call);
      fb_pool_start_answered (sim->pool, call->order, result, sim->now_ms, sim->now_ms);
    }
}

/* Returns: FALSE while CALL has no answer yet. */
static gboolean
execute_call (Simulation *sim, const Call *call)
{
  const Host *host = &sim->hosts[call->host];
  gboolean is_right_incarnation = host->up && g_str_equal (host->id, call->worker);
  gboolean has_end = call->kind == CALL_POLL && is_right_incarnation && host->ends->len > 0;
  if (!host->up)
    {
      if (sim->now_ms < call->timeout_at_ms)
        return FALSE;
      answer (sim, call, FB_ORDER_UNKNOWN);
    }
  else if (!is_right_incarnation)
    answer (sim, call, FB_ORDER_OTHER_INCARNATION);
  else if (sim->now_ms < call->answer_by_ms && !has_end)
    return FALSE;
  else
    answer (sim, call, FB_ORDER_DONE);
  return TRUE;
}

static void
calls_tick (Simulation *sim)
{
  guint n = sim->calls->len;
  guint remaining_n = 0;
  for (guint i = 0; i < n; i++)
    {
      const Call call = g_array_index (sim->calls, Call, i);
      if (!execute_call (sim, &call))
        g_array_index (sim->calls, Call, remaining_n++) = call;
    }
  /* Calls that the answers led to were added after the first N. */
  g_array_remove_range (sim->calls, remaining_n, n - remaining_n);
}

/* ---- jobs --------------------------------------------------------------------------------- */

/* Submits a job.  CRASHING_TASKS_N: its number of tasks, which all crash their workers; 0: a job
 * whose tasks crash no worker. */
static void
submit (Simulation *sim, const JobKind *kind, uint32_t crashing_tasks_n)
{
  const Job job = { .is_crashing = crashing_tasks_n > 0,
                    .crashing_tasks_n = crashing_tasks_n,
                    .kind = kind,
                    .submitted_ms = sim->now_ms };
  g_array_append_val (sim->jobs, job);
  fb_work_step step = { .count = crashing_tasks_n > 0 ? crashing_tasks_n : kind->tasks,
                        .cpu_milli = kind->cpu_milli,
                        .mem_mb = 500,
                        .estimate_ms = kind->run_ms,
                        .preferred_rack = (char *) "",
                        .required_label = (char *) "",
                        .image = (char *) "" };
  const fb_work_admit record = { .policy = { .queue = (char *) "q",
                                             .service = (char *) "svc",
                                             .max_attempts = 3,
                                             .stretch_factor_milli = 1500,
                                             .target_ms = 250 },
                                 .spec = { .payload = (char *) "p", .steps = { 1, &step } },
                                 .accepted_ms = WALL_CLOCK_OFFSET_MS + sim->now_ms };
  g_autofree char *id = g_strdup_printf ("%016x", sim->jobs->len);
  fb_pool_add_job (sim->pool, id, &record, sim->now_ms, WALL_CLOCK_OFFSET_MS + sim->now_ms);
}

/* Returns: jobs per second that use LOAD_PERCENT of the capacity. */
static double
jobs_per_s (const Simulation *sim)
{
  const guint kind_n = G_N_ELEMENTS (kinds);
  double core_s = 0;
  for (guint i = 0; i < kind_n; i++)
    core_s += (double) kinds[i].tasks * kinds[i].cpu_milli / 1000 * kinds[i].run_ms / 1000;
  core_s /= kind_n;
  return sim->host_n * (WORKER_CPU / 1000.0) * LOAD_PERCENT / 100 / core_s;
}

static void
submit_due (Simulation *sim, guint crashing_jobs_n, uint32_t crashing_tasks_n)
{
  uint64_t passed_ms = sim->now_ms - FIRST_CLOCK_MS;
  if (passed_ms > SUBMIT_FOR_MS)
    return;
  double due = jobs_per_s (sim) * STEP_MS / 1000;
  while (due > 0 && g_rand_double (sim->rand) < due)
    {
      submit (sim, &kinds[g_rand_int_range (sim->rand, 0, G_N_ELEMENTS (kinds))], 0);
      due -= 1;
    }
  guint crashing_jobs_due
      = passed_ms < CRASHING_JOBS_FROM_MS
            ? 0
            : (guint) ((passed_ms - CRASHING_JOBS_FROM_MS) / CRASHING_JOB_INTERVAL_MS) + 1;
  guint before
      = passed_ms < CRASHING_JOBS_FROM_MS + STEP_MS
            ? 0
            : (guint) ((passed_ms - STEP_MS - CRASHING_JOBS_FROM_MS) / CRASHING_JOB_INTERVAL_MS)
                  + 1;
  if (crashing_jobs_due > before && crashing_jobs_due <= crashing_jobs_n)
    submit (sim, &kinds[0], crashing_tasks_n);
}

/* ---- simulation --------------------------------------------------------------------------- */

static uint64_t
cpu_ns (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (uint64_t) now.tv_sec * 1000000000 + (uint64_t) now.tv_nsec;
}

static void
tick (Simulation *sim, guint crashing_jobs_n, uint32_t crashing_tasks_n)
{
  sim->now_ms += STEP_MS;
  for (guint i = 0; i < sim->host_n; i++)
    host_tick (sim, i);
  submit_due (sim, crashing_jobs_n, crashing_tasks_n);
  uint64_t from_ns = cpu_ns ();
  calls_tick (sim);
  fb_pool_tick (sim->pool, TRUE, sim->now_ms, WALL_CLOCK_OFFSET_MS + sim->now_ms);
  GPtrArray *flush = fb_pool_flush (sim->pool, sim->now_ms, WALL_CLOCK_OFFSET_MS + sim->now_ms);
  if (flush != NULL)
    {
      g_ptr_array_unref (flush);
      fb_pool_flushed (sim->pool, sim->now_ms);
    }
  sim->cpu_ns += cpu_ns () - from_ns;
}

static gint
compare_waits (gconstpointer a, gconstpointer b)
{
  uint64_t x = *(const uint64_t *) a;
  uint64_t y = *(const uint64_t *) b;
  return (x > y) - (x < y);
}

static void
report (const Simulation *sim, guint crashing_jobs_n, uint32_t crashing_tasks_n)
{
  g_autoptr (GArray) waits = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  guint crashed = 0;
  guint max_crashed = 0;
  guint other_jobs_failed = 0;
  guint unfinished = 0;
  for (guint i = 0; i < sim->jobs->len; i++)
    {
      const Job *job = &g_array_index (sim->jobs, Job, i);
      fb_work_state state = FB_WORK_QUEUED;
      g_autofree char *id = g_strdup_printf ("%016x", i + 1);
      (void) fb_pool_job_state (sim->pool, id, &state);
      crashed += job->crashed_workers_n;
      max_crashed = MAX (max_crashed, job->crashed_workers_n);
      unfinished += state < FB_WORK_COMPLETED;
      other_jobs_failed += !job->is_crashing && state == FB_WORK_FAILED;
      uint64_t wait_ms = (job->started_ms != 0 ? job->started_ms : sim->now_ms) - job->submitted_ms;
      if (!job->is_crashing)
        g_array_append_val (waits, wait_ms);
    }
  g_array_sort (waits, compare_waits);
  printf ("%7u %8u %5u %6u %9.2f %4u %8u %10u %9.0f %8.0f %6u %6.1f\n", sim->host_n,
          crashing_jobs_n, crashing_tasks_n, sim->jobs->len,
          crashing_jobs_n > 0 ? (double) crashed / crashing_jobs_n : 0, max_crashed,
          other_jobs_failed, unfinished, sim->lost_core_s, sim->down_s,
          (guint) g_array_index (waits, uint64_t, waits->len * 99 / 100),
          (double) sim->cpu_ns / 1000 / (double) MAX (sim->starts, 1));
}

static void
simulate (guint host_n, guint crashing_jobs_n, uint32_t crashing_tasks_n, guint32 seed)
{
  static const FbPoolLimits limits
      = { .max_lease_ms = 6000, .max_stop_ms = 200, .gang_wait_ms = 3000 };
  Simulation sim
      = { .now_ms = FIRST_CLOCK_MS, .host_n = host_n, .rand = g_rand_new_with_seed (seed) };
  sim.pool = fb_pool_new ("svc", 1, &limits, &callbacks, &sim, sim.now_ms);
  fb_pool_set_leases_until (sim.pool, G_MAXUINT64);
  sim.hosts = g_new0 (Host, host_n);
  sim.jobs = g_array_new (FALSE, TRUE, sizeof (Job));
  sim.calls = g_array_new (FALSE, TRUE, sizeof (Call));
  for (guint i = 0; i < host_n; i++)
    {
      sim.hosts[i].runs = g_array_new (FALSE, TRUE, sizeof (Run));
      sim.hosts[i].ends = g_array_new (FALSE, TRUE, sizeof (FbReportedEnd));
      g_array_set_clear_func (sim.hosts[i].ends, clear_end);
      host_start (&sim, i);
    }
  fb_pool_workers_complete (sim.pool);
  fb_pool_jobs_complete (sim.pool, sim.now_ms);
  while (sim.now_ms < FIRST_CLOCK_MS + SIMULATED_MS)
    tick (&sim, crashing_jobs_n, crashing_tasks_n);
  report (&sim, crashing_jobs_n, crashing_tasks_n);
  fb_pool_free (sim.pool);
  for (guint i = 0; i < host_n; i++)
    {
      g_array_unref (sim.hosts[i].runs);
      g_array_unref (sim.hosts[i].ends);
    }
  g_free (sim.hosts);
  g_array_unref (sim.jobs);
  g_array_unref (sim.calls);
  g_rand_free (sim.rand);
}

int
main (int argc, char **argv)
{
  static const guint sizes[] = { 13, 48, 350 };
  static const guint crashing_jobs[] = { 0, 1, 5, 20 };
  if (argc > 2 || (argc == 2 && atoi (argv[1]) <= 0))
    {
      fprintf (stderr, "usage: flamingobarrow-bench-crashes [SEED]\n");
      return 2;
    }
  fb_event_set_quiet (TRUE);
  printf (
      "workers crashing tasks   jobs  crashed/  max   others unfinished lost core  workers    p99 "
      "    us\n"
      "            jobs                    job        failed                    s   down s   wait "
      " start\n");
  guint32 seed = argc == 2 ? (guint32) atoi (argv[1]) : 1;
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      for (guint j = 0; j < G_N_ELEMENTS (crashing_jobs); j++)
        simulate (sizes[i], crashing_jobs[j], 1, seed);
      simulate (sizes[i], 1, MANY_CRASHING_TASKS, seed);
    }
  return 0;
}
