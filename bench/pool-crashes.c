/* What tasks that crash their workers cost others: a pool with its workers as small fakes on a fake
 * clock, beside a load of short and long jobs.
 *
 * A worker that crashes is dark for 2 to 8 s and comes back under a new name; its old entry stays
 * listed for 4.5 s.  The processor time is what the pool's own calls took. */
#include "fb-event.h"
#include "internal/pool.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define STEP_MS 4
#define BEGIN_MS 1000000
#define WALL_MS 1000000000
#define PLAY_MS 90000
#define SUBMIT_MS 60000
#define CRASHERS_FROM_MS 5000
#define CRASHER_EVERY_MS 500
#define LISTED_MS 4500
#define UNANSWERED_MS 600
#define WORKER_CPU 64000
#define WORKER_MEM 262144
/* Of the room of all workers, in percent. */
#define LOAD_PERCENT 60
/* Of a job whose tasks all crash their workers. */
#define WIDE_TASKS 200

typedef struct
{
  uint32_t tasks;
  uint32_t cpu_milli;
  uint32_t run_ms;
} Kind;

/* Three short jobs come for each long one. */
static const Kind kinds[]
    = { { 6, 6100, 880 }, { 6, 6100, 880 }, { 6, 6100, 880 }, { 9, 13000, 5600 } };

typedef struct
{
  char task[64];
  guint job;
  uint32_t attempt;
  uint64_t began_ms;
  uint64_t ends_ms;
  uint64_t crash_ms; /* 0: never */
} Run;

typedef struct
{
  char id[32];
  char address[16];
  guint incarnation;
  gboolean up;
  uint64_t back_ms;
  char old_id[32];      /* of the life before, while it is listed */
  uint64_t unlisted_ms; /* when it is not any more */
  GArray *runs;         /* of Run */
  GArray *ends;         /* of FbReportedEnd */
  uint64_t next_end;
} Host;

typedef struct
{
  gboolean crasher;
  uint32_t crasher_n; /* how many of its tasks crash their workers */
  const Kind *kind;
  uint64_t submitted_ms;
  uint64_t started_ms; /* 0: nothing of it was started */
  guint crashed;
} Job;

typedef enum
{
  CALL_START,
  CALL_STOP,
  CALL_LOOK
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
  uint64_t due_ms; /* when it is answered at the latest */
  uint64_t given_up_ms;
} Call;

typedef struct
{
  FbPool *pool;
  GRand *rand;
  uint64_t now_ms;
  guint host_n;
  Host *hosts;
  GArray *jobs;  /* of Job */
  GArray *calls; /* of Call */
  uint64_t cpu_ns;
  uint64_t starts;
  double lost_core_s;
  double down_s;
} Play;

/* ---- orders --------------------------------------------------------------------- */

static void
add_call (Play *play, Call *call, const char *worker, uint32_t wait_ms, uint32_t patience_ms)
{
  call->host = (guint) atoi (worker + 1);
  g_strlcpy (call->worker, worker, sizeof call->worker);
  call->due_ms = play->now_ms + STEP_MS + wait_ms;
  call->given_up_ms = play->now_ms + wait_ms + patience_ms;
  g_array_append_val (play->calls, *call);
}

static void
on_start (gpointer user, const FbStartOrder *order)
{
  Call call = { .kind = CALL_START, .order = order->order, .attempt = order->attempt };
  g_strlcpy (call.task, order->task, sizeof call.task);
  add_call (user, &call, order->worker, 0, UNANSWERED_MS);
}

static void
on_stop (gpointer user, const FbStopOrder *order)
{
  Call call = { .kind = CALL_STOP, .order = order->order, .attempt = order->attempt };
  g_strlcpy (call.task, order->task, sizeof call.task);
  add_call (user, &call, order->worker, 0, UNANSWERED_MS);
}

static void
on_look (gpointer user, const FbPollOrder *order)
{
  Call call = { .kind = CALL_LOOK, .acknowledged = order->acknowledged };
  add_call (user, &call, order->worker, order->wait_ms, order->answer_ms);
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

static const FbPoolSink sink = { on_start, on_stop, on_look, on_advise, on_fenced, NULL };

/* ---- workers ----------------------------------------------------------------------- */

static void
list_host (Play *play, const Host *host)
{
  static const char *const labels[] = { "a", "r1", NULL };
  const FbWorkerEntry entry = { .id = host->id,
                                .address = host->address,
                                .rack = "r1",
                                .labels = labels,
                                .cpu_milli = WORKER_CPU,
                                .mem_mb = WORKER_MEM };
  fb_pool_worker_listed (play->pool, &entry, play->now_ms);
}

static void
host_begin (Play *play, guint i)
{
  Host *host = &play->hosts[i];
  host->incarnation++;
  g_snprintf (host->id, sizeof host->id, "w%u-%u", i, host->incarnation);
  g_snprintf (host->address, sizeof host->address, "a%u", i);
  host->up = TRUE;
  host->next_end = 0;
  g_array_set_size (host->runs, 0);
  g_array_set_size (host->ends, 0);
  list_host (play, host);
}

static void
host_crash (Play *play, Host *host, const Run *by)
{
  Job *crasher = &g_array_index (play->jobs, Job, by->job);
  crasher->crashed++;
  for (guint i = 0; i < host->runs->len; i++)
    {
      const Run *run = &g_array_index (host->runs, Run, i);
      const Job *job = &g_array_index (play->jobs, Job, run->job);
      if (!job->crasher)
        play->lost_core_s
            += (double) (play->now_ms - run->began_ms) / 1000 * job->kind->cpu_milli / 1000;
    }
  g_array_set_size (host->runs, 0);
  host->up = FALSE;
  host->back_ms = play->now_ms + 2000 + (uint64_t) g_rand_int_range (play->rand, 0, 6000);
  host->unlisted_ms = play->now_ms + LISTED_MS;
  g_strlcpy (host->old_id, host->id, sizeof host->old_id);
  play->down_s += (double) (host->back_ms - play->now_ms) / 1000;
}

static void
add_end (Host *host, const Run *run, FbEndReason how)
{
  const FbReportedEnd end = { .number = ++host->next_end,
                              .task = g_strdup (run->task),
                              .attempt = run->attempt,
                              .how = how,
                              .checkpoint = g_strdup ("") };
  g_array_append_val (host->ends, end);
}

static void
host_tick (Play *play, guint i)
{
  Host *host = &play->hosts[i];
  if (*host->old_id != '\0' && play->now_ms >= host->unlisted_ms)
    {
      fb_pool_worker_unlisted (play->pool, host->old_id, play->now_ms);
      *host->old_id = '\0';
    }
  if (!host->up && play->now_ms >= host->back_ms)
    host_begin (play, i);
  for (guint j = host->runs->len; host->up && j > 0; j--)
    {
      const Run run = g_array_index (host->runs, Run, j - 1);
      if (run.crash_ms != 0 && play->now_ms >= run.crash_ms)
        host_crash (play, host, &g_array_index (host->runs, Run, j - 1));
      else if (play->now_ms >= run.ends_ms)
        {
          add_end (host, &run, FB_END_DONE);
          g_array_remove_index (host->runs, j - 1);
        }
    }
}

/* ---- answers ---------------------------------------------------------------------------- */

static void
begin_run (Play *play, Host *host, const Call *call)
{
  char id[FB_WORK_JOB_ID_CHARS + 1];
  g_strlcpy (id, call->task, sizeof id);
  Run run = { .job = (guint) strtoul (id, NULL, 16) - 1, .attempt = call->attempt };
  Job *job = &g_array_index (play->jobs, Job, run.job);
  g_strlcpy (run.task, call->task, sizeof run.task);
  run.began_ms = play->now_ms;
  run.ends_ms = play->now_ms
                + job->kind->run_ms * (80 + (uint64_t) g_rand_int_range (play->rand, 0, 45)) / 100;
  guint index = (guint) atoi (strrchr (call->task, '.') + 1);
  if (index < job->crasher_n)
    run.crash_ms = play->now_ms + (uint64_t) g_rand_int_range (play->rand, 10, job->kind->run_ms);
  if (job->started_ms == 0)
    job->started_ms = play->now_ms;
  play->starts++;
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
answer_look (Play *play, Host *host, const Call *call, FbOrderResult result)
{
  g_autoptr (GArray) running = g_array_new (FALSE, TRUE, sizeof (FbReportedRun));
  for (guint i = 0; result == FB_ORDER_DONE && i < host->runs->len; i++)
    {
      Run *run = &g_array_index (host->runs, Run, i);
      const FbReportedRun seen = { run->task, run->attempt, (char *) "" };
      g_array_append_val (running, seen);
    }
  for (guint i = host->ends->len; result == FB_ORDER_DONE && i > 0; i--)
    {
      if (g_array_index (host->ends, FbReportedEnd, i - 1).number <= call->acknowledged)
        g_array_remove_index (host->ends, i - 1);
    }
  const FbPollAnswer answer
      = { .result = result, .clock_ms = play->now_ms, .running = running, .finished = host->ends };
  fb_pool_poll_answered (play->pool, call->worker, &answer, play->now_ms, WALL_MS + play->now_ms);
}

static void
answer (Play *play, const Call *call, FbOrderResult result)
{
  Host *host = &play->hosts[call->host];
  if (call->kind == CALL_LOOK)
    answer_look (play, host, call, result);
  else if (call->kind == CALL_STOP)
    {
      if (result == FB_ORDER_DONE)
        stop_run (host, call);
      fb_pool_stop_answered (play->pool, call->order, result, play->now_ms, play->now_ms);
    }
  else
    {
      if (result == FB_ORDER_DONE)
        begin_run (play, host, call);
      fb_pool_start_answered (play->pool, call->order, result, play->now_ms, play->now_ms);
    }
}

/* Returns: FALSE while CALL waits. */
static gboolean
carry_out (Play *play, const Call *call)
{
  const Host *host = &play->hosts[call->host];
  gboolean there = host->up && g_str_equal (host->id, call->worker);
  gboolean has_news = call->kind == CALL_LOOK && there && host->ends->len > 0;
  if (!host->up)
    {
      if (play->now_ms < call->given_up_ms)
        return FALSE;
      answer (play, call, FB_ORDER_UNKNOWN);
    }
  else if (!there)
    answer (play, call, FB_ORDER_OTHER_INCARNATION);
  else if (play->now_ms < call->due_ms && !has_news)
    return FALSE;
  else
    answer (play, call, FB_ORDER_DONE);
  return TRUE;
}

static void
calls_tick (Play *play)
{
  guint n = play->calls->len;
  guint kept = 0;
  for (guint i = 0; i < n; i++)
    {
      const Call call = g_array_index (play->calls, Call, i);
      if (!carry_out (play, &call))
        g_array_index (play->calls, Call, kept++) = call;
    }
  /* What the answers led to was added behind the N. */
  g_array_remove_range (play->calls, kept, n - kept);
}

/* ---- jobs --------------------------------------------------------------------------------- */

/* CRASHER_N: 0 for an innocent job, else all tasks of the job crash their workers. */
static void
submit (Play *play, const Kind *kind, uint32_t crasher_n)
{
  const Job job = {
    .crasher = crasher_n > 0, .crasher_n = crasher_n, .kind = kind, .submitted_ms = play->now_ms
  };
  g_array_append_val (play->jobs, job);
  fb_work_step step = { .count = crasher_n > 0 ? crasher_n : kind->tasks,
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
                                 .accepted_ms = WALL_MS + play->now_ms };
  g_autofree char *id = g_strdup_printf ("%016x", play->jobs->len);
  fb_pool_admit (play->pool, id, &record, play->now_ms, WALL_MS + play->now_ms);
}

/* Jobs a second that use LOAD_PERCENT of the room. */
static double
jobs_per_s (const Play *play)
{
  const guint kind_n = G_N_ELEMENTS (kinds);
  double core_s = 0;
  for (guint i = 0; i < kind_n; i++)
    core_s += (double) kinds[i].tasks * kinds[i].cpu_milli / 1000 * kinds[i].run_ms / 1000;
  core_s /= kind_n;
  return play->host_n * (WORKER_CPU / 1000.0) * LOAD_PERCENT / 100 / core_s;
}

static void
submit_due (Play *play, guint crasher_n, uint32_t tasks)
{
  uint64_t passed_ms = play->now_ms - BEGIN_MS;
  if (passed_ms > SUBMIT_MS)
    return;
  double due = jobs_per_s (play) * STEP_MS / 1000;
  while (due > 0 && g_rand_double (play->rand) < due)
    {
      submit (play, &kinds[g_rand_int_range (play->rand, 0, G_N_ELEMENTS (kinds))], 0);
      due -= 1;
    }
  guint crashers_due = passed_ms < CRASHERS_FROM_MS
                           ? 0
                           : (guint) ((passed_ms - CRASHERS_FROM_MS) / CRASHER_EVERY_MS) + 1;
  guint before = passed_ms < CRASHERS_FROM_MS + STEP_MS
                     ? 0
                     : (guint) ((passed_ms - STEP_MS - CRASHERS_FROM_MS) / CRASHER_EVERY_MS) + 1;
  if (crashers_due > before && crashers_due <= crasher_n)
    submit (play, &kinds[0], tasks);
}

/* ---- the play ---------------------------------------------------------------------------------
 */

static uint64_t
cpu_ns (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (uint64_t) now.tv_sec * 1000000000 + (uint64_t) now.tv_nsec;
}

static void
tick (Play *play, guint crasher_n, uint32_t tasks)
{
  play->now_ms += STEP_MS;
  for (guint i = 0; i < play->host_n; i++)
    host_tick (play, i);
  submit_due (play, crasher_n, tasks);
  uint64_t from_ns = cpu_ns ();
  calls_tick (play);
  fb_pool_tick (play->pool, TRUE, play->now_ms, WALL_MS + play->now_ms);
  GPtrArray *flush = fb_pool_flush (play->pool, play->now_ms, WALL_MS + play->now_ms);
  if (flush != NULL)
    {
      g_ptr_array_unref (flush);
      fb_pool_flushed (play->pool, play->now_ms);
    }
  play->cpu_ns += cpu_ns () - from_ns;
}

static gint
compare_waits (gconstpointer a, gconstpointer b)
{
  uint64_t x = *(const uint64_t *) a;
  uint64_t y = *(const uint64_t *) b;
  return (x > y) - (x < y);
}

static void
report (const Play *play, guint crasher_n, uint32_t tasks)
{
  g_autoptr (GArray) waits = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  guint crashed = 0;
  guint most = 0;
  guint given_up = 0;
  guint unfinished = 0;
  for (guint i = 0; i < play->jobs->len; i++)
    {
      const Job *job = &g_array_index (play->jobs, Job, i);
      fb_work_state state = FB_WORK_QUEUED;
      g_autofree char *id = g_strdup_printf ("%016x", i + 1);
      (void) fb_pool_job_state (play->pool, id, &state);
      crashed += job->crashed;
      most = MAX (most, job->crashed);
      unfinished += state < FB_WORK_COMPLETED;
      given_up += !job->crasher && state == FB_WORK_FAILED;
      uint64_t wait_ms
          = (job->started_ms != 0 ? job->started_ms : play->now_ms) - job->submitted_ms;
      if (!job->crasher)
        g_array_append_val (waits, wait_ms);
    }
  g_array_sort (waits, compare_waits);
  printf ("%7u %8u %5u %6u %9.2f %4u %8u %10u %9.0f %8.0f %6u %6.1f\n", play->host_n, crasher_n,
          tasks, play->jobs->len, crasher_n > 0 ? (double) crashed / crasher_n : 0, most, given_up,
          unfinished, play->lost_core_s, play->down_s,
          (guint) g_array_index (waits, uint64_t, waits->len * 99 / 100),
          (double) play->cpu_ns / 1000 / (double) MAX (play->starts, 1));
}

static void
play_one (guint host_n, guint crasher_n, uint32_t tasks, guint32 seed)
{
  static const FbPoolLimits limits
      = { .max_lease_ms = 6000, .max_stop_ms = 200, .gang_wait_ms = 3000 };
  Play play = { .now_ms = BEGIN_MS, .host_n = host_n, .rand = g_rand_new_with_seed (seed) };
  play.pool = fb_pool_new ("svc", 1, &limits, &sink, &play, play.now_ms);
  play.hosts = g_new0 (Host, host_n);
  play.jobs = g_array_new (FALSE, TRUE, sizeof (Job));
  play.calls = g_array_new (FALSE, TRUE, sizeof (Call));
  for (guint i = 0; i < host_n; i++)
    {
      play.hosts[i].runs = g_array_new (FALSE, TRUE, sizeof (Run));
      play.hosts[i].ends = g_array_new (FALSE, TRUE, sizeof (FbReportedEnd));
      g_array_set_clear_func (play.hosts[i].ends, clear_end);
      host_begin (&play, i);
    }
  fb_pool_workers_complete (play.pool);
  fb_pool_jobs_read (play.pool, play.now_ms);
  while (play.now_ms < BEGIN_MS + PLAY_MS)
    tick (&play, crasher_n, tasks);
  report (&play, crasher_n, tasks);
  fb_pool_free (play.pool);
  for (guint i = 0; i < host_n; i++)
    {
      g_array_unref (play.hosts[i].runs);
      g_array_unref (play.hosts[i].ends);
    }
  g_free (play.hosts);
  g_array_unref (play.jobs);
  g_array_unref (play.calls);
  g_rand_free (play.rand);
}

int
main (int argc, char **argv)
{
  static const guint sizes[] = { 13, 48, 350 };
  static const guint crashers[] = { 0, 1, 5, 20 };
  if (argc > 2 || (argc == 2 && atoi (argv[1]) <= 0))
    {
      fprintf (stderr, "usage: flamingobarrow-bench-crashes [SEED]\n");
      return 2;
    }
  fb_event_set_quiet (TRUE);
  printf ("workers crashers tasks   jobs  crashed/ most innocent unfinished lost core  workers    "
          "p99     "
          "us\n"
          "                                crasher      given up               s   down s  wait  "
          "start\n");
  guint32 seed = argc == 2 ? (guint32) atoi (argv[1]) : 1;
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      for (guint j = 0; j < G_N_ELEMENTS (crashers); j++)
        play_one (sizes[i], crashers[j], 1, seed);
      play_one (sizes[i], 1, WIDE_TASKS, seed);
    }
  return 0;
}
