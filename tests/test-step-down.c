/* An owner that is replaced and reaches one worker only, beside its successor, which reaches the
 * others.  No network: the owner's daemon is replaced by functions here. */
#include "src/entry/owner/owner-private.h"

#include "fb-event.h"
#include "internal/pool.h"

#include <CUnit/Basic.h>
#include <stdio.h>

#define START_MS 100000
#define WALL_OFFSET_MS 1000000000
#define STEP_MS 5
#define CONNECTED_MIN_MS 3000
/* Longer than the interval of polls. */
#define CONNECTED_MAX_MS 3600
#define REPLACED_MS 12000
#define SERVICE "svc"
#define JOB "0000000000000001"
#define WORKER_N 3
/* The worker that the replaced owner reaches, and its successor does not. */
#define CUT_OFF 2

static const char *const workers[WORKER_N] = { "w0", "w1", "w2" };

typedef struct
{
  FbPool *pool;
  uint64_t answer_ms[WORKER_N]; /* when the open poll is answered; 0: none is open */
  uint64_t lease_ms;            /* deadline of the latest poll of CUT_OFF, on the clock of all */
  uint64_t started_ms;          /* when the task was started; 0: never */
  int worker;                   /* that runs it; -1: none */
} Side;

static uint64_t clock_ms;

/* ---- replaced functions of the daemon ------------------------------------------------------ */

uint64_t __wrap_fb_clock_ms (void);
gboolean __wrap_fb_group_is_member (const FbGroup *self, uint64_t now_ms);
char *__wrap_fb_entry_format_timing (const FbEntryDaemon *self);
uint64_t __wrap_fb_topic_reader_synced_ms (const FbTopicReader *self);
void __wrap_fb_appender_put (FbAppender *self, GByteArray *records, uint64_t retry_until_ms,
                             FbAppendDone done, gpointer user);

uint64_t
__wrap_fb_clock_ms (void)
{
  return clock_ms;
}

gboolean
__wrap_fb_group_is_member (const FbGroup *self, uint64_t now_ms)
{
  (void) self;
  (void) now_ms;
  return FALSE;
}

char *
__wrap_fb_entry_format_timing (const FbEntryDaemon *self)
{
  (void) self;
  return g_strdup ("");
}

uint64_t
__wrap_fb_topic_reader_synced_ms (const FbTopicReader *self)
{
  (void) self;
  return START_MS;
}

/* The store answers nothing. */
void
__wrap_fb_appender_put (FbAppender *self, GByteArray *records, uint64_t retry_until_ms,
                        FbAppendDone done, gpointer user)
{
  (void) self;
  (void) retry_until_ms;
  (void) done;
  (void) user;
  g_byte_array_unref (records);
}

/* The scheduled tick of the owner, which tick_owner() calls at once. */
static GSourceFunc scheduled;
static gpointer scheduled_for;

guint __wrap_g_timeout_add (guint interval_ms, GSourceFunc func, gpointer user);

guint
__wrap_g_timeout_add (guint interval_ms, GSourceFunc func, gpointer user)
{
  (void) interval_ms;
  scheduled = func;
  scheduled_for = user;
  return 1;
}

/* ---- orders -------------------------------------------------------------------------------- */

static int
index_of (const char *worker)
{
  return worker[1] - '0';
}

static void
on_start (gpointer user, const FbStartOrder *order)
{
  Side *side = user;
  side->started_ms = clock_ms;
  side->worker = index_of (order->worker);
  fb_pool_start_answered (side->pool, order->order, FB_ORDER_DONE, clock_ms, clock_ms);
}

static void
on_stop (gpointer user, const FbStopOrder *order)
{
  (void) user;
  (void) order;
}

static void
on_poll (gpointer user, const FbPollOrder *order)
{
  Side *side = user;
  int worker = index_of (order->worker);
  side->answer_ms[worker] = clock_ms + order->wait_ms + STEP_MS;
  if (worker == CUT_OFF)
    side->lease_ms = MAX (side->lease_ms, order->deadline_ms);
}

static gboolean
on_advise (gpointer user, const char *step, const char *const *names, guint n, uint32_t expected_ms)
{
  (void) user;
  (void) step;
  (void) names;
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

static const FbPoolCallbacks callbacks = { on_start, on_stop, on_poll, on_advise, on_fenced, NULL };

static void
answer (Side *side, int worker)
{
  g_autoptr (GArray) running = g_array_new (FALSE, TRUE, sizeof (FbReportedRun));
  g_autoptr (GArray) finished = g_array_new (FALSE, TRUE, sizeof (FbReportedEnd));
  const FbReportedRun run = { (char *) JOB ".0.0.0", 1, (char *) "", FB_PERCENT_NOT_REPORTED };
  const FbPollAnswer list = { .clock_ms = clock_ms, .running = running, .finished = finished };
  if (side->worker == worker)
    g_array_append_val (running, run);
  side->answer_ms[worker] = 0;
  fb_pool_poll_answered (side->pool, workers[worker], &list, clock_ms, WALL_OFFSET_MS + clock_ms);
}

static void
answer_due (Side *side, int from, int to)
{
  for (int i = from; i <= to; i++)
    {
      if (side->answer_ms[i] != 0 && clock_ms >= side->answer_ms[i])
        answer (side, i);
    }
}

/* The task fits on CUT_OFF only under the first owner. */
static void
side_begin (Side *side, uint64_t epoch, uint32_t cpu_milli)
{
  static const FbPoolLimits limits
      = { .max_lease_ms = 6000, .max_stop_ms = 200, .gang_wait_ms = 3000 };
  *side = (Side){ .worker = -1 };
  side->pool = fb_pool_new (SERVICE, epoch, &limits, &callbacks, side, clock_ms);
  fb_work_step step = { .count = 1, .cpu_milli = 1000, .mem_mb = 100, .estimate_ms = 600000 };
  step.preferred_rack = step.required_label = step.image = (char *) "";
  fb_work_admit record = { .accepted_ms = WALL_OFFSET_MS };
  record.policy = (fb_work_policy){ .queue = (char *) "q",
                                    .service = (char *) SERVICE,
                                    .max_attempts = 3,
                                    .stretch_factor_milli = 2000,
                                    .target_ms = 1000 };
  record.spec.payload = (char *) "";
  record.spec.steps.steps_len = 1;
  record.spec.steps.steps_val = &step;
  fb_pool_add_job (side->pool, JOB, &record, clock_ms, WALL_OFFSET_MS + clock_ms);
  static const char *const labels[] = { "a", NULL };
  for (int i = 0; i < WORKER_N; i++)
    {
      const FbWorkerEntry entry = { .id = workers[i],
                                    .address = workers[i],
                                    .labels = labels,
                                    .cpu_milli = i == CUT_OFF ? 1000 : cpu_milli,
                                    .mem_mb = 1000 };
      fb_pool_worker_listed (side->pool, &entry, clock_ms);
    }
  fb_pool_workers_complete (side->pool);
}

/* ---- the test ------------------------------------------------------------------------------ */

static void
tick_owner (FbOwner *owner)
{
  fb_owner_schedule_tick (owner);
  (void) scheduled (scheduled_for);
}

/* CONNECTED_MS: how long the owner reaches all workers before it is replaced, which decides when
 * its last polls are answered.
 * Returns: by how much the last lease exceeds the wait of the next owner. */
static int64_t
replace_owner (uint64_t connected_ms)
{
  static FbEntryDaemon entry;
  static FbEntrySettings settings = { .append_max_bytes = 1000000, .record_max_bytes = 100000 };
  Side first;
  Side next;
  clock_ms = START_MS;
  entry.settings = &settings;
  side_begin (&first, 1, 500);
  FbOwner owner = { .entry = &entry,
                    .epoch = 1,
                    .loaded = TRUE,
                    .workers_known = TRUE,
                    .import_until_ms = 1,
                    .confirmed_ms = START_MS };
  owner.service_pools = g_hash_table_new (g_str_hash, g_str_equal);
  owner.held_jobs = fb_owner_held_jobs_new ();
  owner.unknown_cancels = g_hash_table_new (g_str_hash, g_str_equal);
  owner.ended_jobs = g_ptr_array_new ();
  owner.parts_n = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  FbServicePool service_pool = { .owner = &owner, .pool = first.pool, .service = (char *) SERVICE };
  service_pool.admission = fb_admission_control_new ();
  service_pool.disclaimed = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (owner.service_pools, service_pool.service, &service_pool);
  for (; clock_ms < START_MS + connected_ms; clock_ms += STEP_MS)
    {
      answer_due (&first, 0, CUT_OFF);
      tick_owner (&owner);
    }
  CU_ASSERT_EQUAL_FATAL (first.worker, CUT_OFF);
  side_begin (&next, 2, 2000);
  uint64_t replaced_ms = clock_ms;
  uint64_t stepped_down_ms = 0;
  for (; clock_ms < replaced_ms + REPLACED_MS && next.started_ms == 0; clock_ms += STEP_MS)
    {
      if (!owner.stepped_down)
        answer_due (&first, CUT_OFF, CUT_OFF);
      tick_owner (&owner);
      if (owner.stepped_down && stepped_down_ms == 0)
        stepped_down_ms = clock_ms;
      answer_due (&next, 0, CUT_OFF - 1);
      fb_pool_tick (next.pool, TRUE, clock_ms, WALL_OFFSET_MS + clock_ms);
    }
  int64_t excess_ms = (int64_t) first.lease_ms - (int64_t) next.started_ms;
  if (excess_ms >= 0)
    printf ("\nconnected for %d ms; after the change of owner: stepped down at %d ms, the last "
            "lease ends at %d ms, the next owner starts the task at %d ms",
            (int) connected_ms, (int) (stepped_down_ms - replaced_ms),
            (int) (first.lease_ms - replaced_ms), (int) (next.started_ms - replaced_ms));
  fb_pool_free (next.pool);
  fb_pool_free (first.pool);
  fb_admission_control_free (service_pool.admission);
  g_hash_table_unref (service_pool.disclaimed);
  g_hash_table_unref (owner.parts_n);
  g_ptr_array_unref (owner.ended_jobs);
  g_hash_table_unref (owner.unknown_cancels);
  g_hash_table_unref (owner.held_jobs);
  g_hash_table_unref (owner.service_pools);
  return excess_ms;
}

/* A replaced owner extends the lease of a worker for longer than its successor waits for it. */
static void
test_a_replaced_owner_extends_no_lease_beyond_the_wait_of_its_successor (void)
{
  int64_t max_ms = G_MININT64;
  for (uint64_t ms = CONNECTED_MIN_MS; ms < CONNECTED_MAX_MS; ms += 20)
    {
      int64_t excess_ms = replace_owner (ms);
      max_ms = MAX (max_ms, excess_ms);
    }
  CU_ASSERT_TRUE (max_ms < 0);
}

int
main (void)
{
  fb_event_set_quiet (TRUE);
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("step-down", NULL, NULL);
  CU_add_test (suite, "a replaced owner extends no lease beyond the wait of its successor",
               test_a_replaced_owner_extends_no_lease_beyond_the_wait_of_its_successor);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
