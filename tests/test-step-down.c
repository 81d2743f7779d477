/* Owners that replace each other and reach different workers.  No network: the daemon of an owner
 * is replaced by functions here. */
#include "idle-callbacks.h"

#include "src/entry/owner/owner-private.h"

#include "fb-event.h"
#include "internal/pool-job-private.h"
#include "internal/pool.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#define START_MS 100000
#define WALL_OFFSET_MS 1000000000
#define STEP_MS 5
#define CONNECTED_MIN_MS 3000
/* Longer than the interval of polls. */
#define CONNECTED_MAX_MS 3600
#define REPLACED_MS 12000
#define ENTRY_TTL_MS 4500
/* When an owner resumes that was suspended while it loaded its pool, after it was replaced. */
#define RESUMED_MS 3000
#define SERVICE "svc"
#define JOB "0000000000000001"
#define HELD_JOB "0000000000000002"
/* For how long the other service of its queue does not answer. */
#define HELD_MS 2000
/* By then a worker that has not answered may still hold a lease of the owner before. */
#define LEASES_END_MS 6000
#define WORKER_N 3
/* The worker that the replaced owner reaches, and its successor does not. */
#define CUT_OFF 2
/* With the workers that join after the replaced owner was cut off from the store. */
#define GROWN_N 6
/* How long the owner is connected after the answer to its append was lost. */
#define ANSWER_LOST_MS 200

static const char *const workers[GROWN_N] = { "w0", "w1", "w2", "w3", "w4", "w5" };

typedef struct
{
  FbPool *pool;
  uint64_t answer_ms[GROWN_N]; /* when the open poll is answered; 0: none is open */
  uint64_t lease_ms;           /* deadline of the latest poll of CUT_OFF, on the clock of all */
  uint64_t started_ms;         /* when the task was started; 0: never */
  int worker;                  /* that runs it; -1: none */
  int ended_on;                /* the worker on which HELD_JOB has ended; -1: none */
  uint64_t acknowledged;       /* by the polls of that worker */
  guint held_starts_n;         /* starts of HELD_JOB */
  guint stops_n;
} Side;

static uint64_t clock_ms;
static gboolean store_is_up;            /* it confirms the first owner and answers its appends */
static gboolean outage_reported = TRUE; /* by the other daemons that the first owner asks */

/* ---- replaced functions of the daemon ------------------------------------------------------ */

uint64_t __wrap_fb_clock_ms (void);
gboolean __wrap_fb_group_is_member (const FbGroup *self, uint64_t now_ms);
char *__wrap_fb_entry_format_timing (const FbEntryDaemon *self);
uint64_t __wrap_fb_topic_reader_synced_ms (const FbTopicReader *self);
void __wrap_fb_store_witnesses_ask (FbStoreWitnesses *self, uint64_t now_ms);
gboolean __wrap_fb_store_witnesses_report_outage (const FbStoreWitnesses *self, uint64_t now_ms);
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
  return store_is_up;
}

void
__wrap_fb_store_witnesses_ask (FbStoreWitnesses *self, uint64_t now_ms)
{
  (void) self;
  (void) now_ms;
}

gboolean
__wrap_fb_store_witnesses_report_outage (const FbStoreWitnesses *self, uint64_t now_ms)
{
  (void) self;
  (void) now_ms;
  return outage_reported;
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
  return clock_ms - STEP_MS;
}

static gboolean later_workers_recorded;

/* Returns: TRUE when RECORDS name the last worker. */
static gboolean
name_last_worker (const GByteArray *records)
{
  const char *name = workers[GROWN_N - 1];
  for (guint i = 0; i + strlen (name) <= records->len; i++)
    {
      if (memcmp (records->data + i, name, strlen (name)) == 0)
        return TRUE;
    }
  return FALSE;
}

void
__wrap_fb_appender_put (FbAppender *self, GByteArray *records, uint64_t retry_until_ms,
                        FbAppendDone done, gpointer user)
{
  (void) self;
  (void) retry_until_ms;
  later_workers_recorded = later_workers_recorded || name_last_worker (records);
  g_byte_array_unref (records);
  if (store_is_up)
    done (user, FB_APPEND_STORED);
}

static int queue_position; /* of the service of HELD_JOB among those of its queue */

FbQueueDirectory *__wrap_fb_entry_queue_directory (FbEntryDaemon *entry);
int __wrap_fb_queue_directory_position (const FbQueueDirectory *self, const char *queue,
                                        const char *service);
const GPtrArray *__wrap_fb_queue_directory_services (const FbQueueDirectory *self,
                                                     const char *queue);
uint32_t __wrap_fb_entry_partition_of (const FbEntryDaemon *self, const char *service);
const char *__wrap_fb_group_owner_of (const FbGroup *self, uint32_t partition);
void __wrap_fb_group_refresh_owners (FbGroup *self);

FbQueueDirectory *
__wrap_fb_entry_queue_directory (FbEntryDaemon *entry)
{
  (void) entry;
  return NULL;
}

int
__wrap_fb_queue_directory_position (const FbQueueDirectory *self, const char *queue,
                                    const char *service)
{
  (void) self;
  (void) queue;
  (void) service;
  return queue_position;
}

const GPtrArray *
__wrap_fb_queue_directory_services (const FbQueueDirectory *self, const char *queue)
{
  (void) self;
  (void) queue;
  static FbQueueService other = { .service = (char *) "other" };
  static gpointer rows[] = { &other };
  static GPtrArray services = { rows, 1 };
  return &services;
}

/* The service "other" is in a partition that has no owner. */
uint32_t
__wrap_fb_entry_partition_of (const FbEntryDaemon *self, const char *service)
{
  (void) self;
  return g_str_equal (service, SERVICE) ? 0 : 1;
}

const char *
__wrap_fb_group_owner_of (const FbGroup *self, uint32_t partition)
{
  (void) self;
  (void) partition;
  return NULL;
}

void
__wrap_fb_group_refresh_owners (FbGroup *self)
{
  (void) self;
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
  if (g_str_has_prefix (order->task, HELD_JOB))
    side->held_starts_n++;
  else
    {
      side->started_ms = clock_ms;
      side->worker = index_of (order->worker);
    }
  fb_pool_start_answered (side->pool, order->order, FB_ORDER_DONE, clock_ms, clock_ms);
}

static void
on_stop (gpointer user, const FbStopOrder *order)
{
  (void) order;
  ((Side *) user)->stops_n++;
}

static void
on_poll (gpointer user, const FbPollOrder *order)
{
  Side *side = user;
  int worker = index_of (order->worker);
  side->answer_ms[worker] = clock_ms + order->wait_ms + STEP_MS;
  if (worker == side->ended_on)
    side->acknowledged = MAX (side->acknowledged, order->acknowledged);
  if (worker == CUT_OFF)
    side->lease_ms = MAX (side->lease_ms, order->deadline_ms);
}

/* The pool of the first owner. */
static FbServicePool *first_pool;

static gboolean
on_is_job_held (gpointer user, const char *job)
{
  const Side *side = user;
  return first_pool != NULL && side->pool == first_pool->pool
         && fb_owner_is_job_held (first_pool, job);
}

static const FbPoolCallbacks callbacks
    = { on_start,       on_stop, on_poll,        idle_on_request_advice,
        idle_on_fenced, NULL,    on_is_job_held, NULL };

static void
answer (Side *side, int worker)
{
  g_autoptr (GArray) running = g_array_new (FALSE, TRUE, sizeof (FbReportedRun));
  g_autoptr (GArray) finished = g_array_new (FALSE, TRUE, sizeof (FbReportedEnd));
  const FbReportedRun run = { (char *) JOB ".0.0.0", 1, (char *) "", FB_PERCENT_NOT_REPORTED };
  const FbPollAnswer list = { .clock_ms = clock_ms, .running = running, .finished = finished };
  if (side->worker == worker)
    g_array_append_val (running, run);
  const FbReportedEnd end = { 1, (char *) HELD_JOB ".0.0.0", 1, FB_END_DONE, (char *) "" };
  if (side->ended_on == worker && side->acknowledged == 0)
    g_array_append_val (finished, end);
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

/* RECORD borrows STEP. */
static void
init_job (fb_work_admit *record, fb_work_step *step)
{
  *step = (fb_work_step){ .count = 1, .cpu_milli = 1000, .mem_mb = 100, .estimate_ms = 600000 };
  step->preferred_rack = step->required_label = step->image = (char *) "";
  *record = (fb_work_admit){ .accepted_ms = WALL_OFFSET_MS, .account = (char *) "" };
  record->policy = (fb_work_policy){ .queue = (char *) "q",
                                     .service = (char *) SERVICE,
                                     .max_attempts = 3,
                                     .stretch_factor_milli = 2000,
                                     .target_ms = 1000 };
  record->spec.payload = (char *) "";
  record->spec.steps.steps_len = 1;
  record->spec.steps.steps_val = step;
}

static void
list_workers (Side *side, uint32_t cpu_milli, int workers_n)
{
  static const char *const labels[] = { "a", NULL };
  for (int i = 0; i < workers_n; i++)
    {
      const FbWorkerEntry entry = { .id = workers[i],
                                    .address = workers[i],
                                    .labels = labels,
                                    .cpu_milli = i == CUT_OFF ? 1000 : cpu_milli,
                                    .mem_mb = 1000 };
      fb_pool_worker_listed (side->pool, &entry, clock_ms);
    }
}

/* The task fits on CUT_OFF only under the first owner. */
static void
side_begin (Side *side, uint64_t epoch, uint32_t cpu_milli, int workers_n)
{
  static const FbPoolLimits limits
      = { .max_lease_ms = 6000, .max_stop_ms = 200, .gang_wait_ms = 3000 };
  *side = (Side){ .worker = -1, .ended_on = -1 };
  side->pool = fb_pool_new (SERVICE, epoch, &limits, &callbacks, side, clock_ms);
  fb_work_step step;
  fb_work_admit record;
  init_job (&record, &step);
  fb_pool_add_job (side->pool, JOB, &record, clock_ms, WALL_OFFSET_MS + clock_ms);
  list_workers (side, cpu_milli, workers_n);
  fb_pool_workers_complete (side->pool);
}

/* SIDE reads the record that names the first N workers, which the owner before has stored. */
static void
restore_record (Side *side, guint n)
{
  fb_work_known_worker known[GROWN_N] = { 0 };
  for (guint i = 0; i < n; i++)
    known[i].id = known[i].address = (char *) workers[i];
  const fb_work_workers record = { .workers = { n, known } };
  fb_pool_restore_workers (side->pool, &record);
}

/* ---- the test ------------------------------------------------------------------------------ */

static void
tick_owner (FbOwner *owner)
{
  fb_owner_schedule_tick (owner);
  (void) scheduled (scheduled_for);
}

static void
tick_next (Side *side)
{
  fb_pool_tick (side->pool, TRUE, clock_ms, WALL_OFFSET_MS + clock_ms);
  g_autoptr (GPtrArray) records = fb_pool_flush (side->pool, clock_ms, WALL_OFFSET_MS + clock_ms);
  if (records != NULL)
    fb_pool_flushed (side->pool, clock_ms);
}

/* The first owner and its daemon. */
typedef struct
{
  FbEntryDaemon entry;
  FbEntrySettings settings;
  FbOwner owner;
  FbServicePool service_pool;
  Side side;
} First;

static First *
first_new (void)
{
  First *self = g_new0 (First, 1);
  self->settings.append_max_bytes = 1000000;
  self->settings.record_max_bytes = 100000;
  self->entry.settings = &self->settings;
  self->entry.owners = g_hash_table_new (NULL, NULL);
  self->entry.appenders
      = g_hash_table_new_full (NULL, NULL, NULL, (GDestroyNotify) fb_appender_free);
  side_begin (&self->side, 1, 500, WORKER_N);
  self->owner = (FbOwner){ .entry = &self->entry,
                           .epoch = 1,
                           .loaded = TRUE,
                           .workers_known = TRUE,
                           .import_until_ms = 1,
                           .confirmed_ms = clock_ms,
                           .member_ms = clock_ms };
  self->owner.service_pools = g_hash_table_new (g_str_hash, g_str_equal);
  self->owner.held_jobs = fb_owner_held_jobs_new ();
  self->owner.kept_cancels = fb_owner_kept_cancels_new ();
  self->owner.stale_keys = g_ptr_array_new ();
  self->owner.parts_n = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  self->service_pool = (FbServicePool){ .owner = &self->owner,
                                        .pool = self->side.pool,
                                        .service = (char *) SERVICE,
                                        .admission = fb_admission_control_new () };
  first_pool = &self->service_pool;
  self->service_pool.disclaimed = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (self->owner.service_pools, self->service_pool.service, &self->service_pool);
  g_hash_table_insert (self->entry.owners, GUINT_TO_POINTER (self->owner.partition), &self->owner);
  return self;
}

static void
first_free (First *self)
{
  first_pool = NULL;
  fb_pool_free (self->side.pool);
  fb_admission_control_free (self->service_pool.admission);
  g_hash_table_unref (self->service_pool.disclaimed);
  g_hash_table_unref (self->owner.parts_n);
  g_ptr_array_unref (self->owner.stale_keys);
  g_hash_table_unref (self->owner.kept_cancels);
  g_hash_table_unref (self->owner.held_jobs);
  g_hash_table_unref (self->owner.service_pools);
  g_hash_table_unref (self->entry.appenders);
  g_hash_table_unref (self->entry.owners);
  g_free (self);
}

/* Returns: (transfer full): the first owner after it has reached all workers and the store for
 * CONNECTED_MS, and has started the task on CUT_OFF.  Its store is unavailable from then on. */
static First *
first_connected (uint64_t connected_ms)
{
  clock_ms = START_MS;
  store_is_up = TRUE;
  First *self = first_new ();
  for (; clock_ms < START_MS + connected_ms; clock_ms += STEP_MS)
    {
      answer_due (&self->side, 0, CUT_OFF);
      tick_owner (&self->owner);
    }
  CU_ASSERT_EQUAL_FATAL (self->side.worker, CUT_OFF);
  store_is_up = FALSE;
  return self;
}

/* The first owner reaches CUT_OFF only, and the next one the others. */
static void
step_apart (First *first, Side *next)
{
  if (!first->owner.stepped_down)
    answer_due (&first->side, CUT_OFF, CUT_OFF);
  tick_owner (&first->owner);
  answer_due (next, 0, CUT_OFF - 1);
  tick_next (next);
}

/* Returns: by how much the last lease exceeds the wait of the next owner. */
static int64_t
excess_of (const First *first, const Side *next, uint64_t replaced_ms)
{
  int64_t excess_ms = (int64_t) first->side.lease_ms - (int64_t) next->started_ms;
  if (excess_ms >= 0)
    printf ("\nafter the change of owner: the last lease ends at %d ms, the next owner starts the "
            "task at %d ms",
            (int) (first->side.lease_ms - replaced_ms), (int) (next->started_ms - replaced_ms));
  return excess_ms;
}

/* The first owner reaches two of the first WORKER_N workers, and the next one all others. */
static void
step_split (First *first, Side *next)
{
  answer_due (&first->side, CUT_OFF - 1, CUT_OFF);
  tick_owner (&first->owner);
  answer_due (next, 0, 0);
  answer_due (next, WORKER_N, GROWN_N - 1);
  tick_next (next);
}

/* Checks that the task did not run twice, and frees FIRST and the pool of NEXT. */
static void
end_split (First *first, Side *next, uint64_t replaced_ms)
{
  CU_ASSERT_TRUE (next->started_ms == 0 || excess_of (first, next, replaced_ms) < 0);
  fb_pool_free (next->pool);
  first_free (first);
}

/* CONNECTED_MS: how long the owner reaches all workers before it is replaced, which decides when
 * its last polls are answered. */
static int64_t
replace_owner (uint64_t connected_ms)
{
  Side next;
  First *first = first_connected (connected_ms);
  side_begin (&next, 2, 2000, WORKER_N);
  uint64_t replaced_ms = clock_ms;
  for (; clock_ms < replaced_ms + REPLACED_MS && next.started_ms == 0; clock_ms += STEP_MS)
    step_apart (first, &next);
  int64_t excess_ms = excess_of (first, &next, replaced_ms);
  fb_pool_free (next.pool);
  first_free (first);
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

/* An owner that resumes after its replacement extends a lease that an earlier owner has granted. */
static void
test_an_owner_that_was_never_confirmed_extends_no_lease (void)
{
  Side next;
  clock_ms = START_MS;
  store_is_up = FALSE;
  side_begin (&next, 2, 2000, WORKER_N);
  for (; clock_ms < START_MS + RESUMED_MS; clock_ms += STEP_MS)
    {
      answer_due (&next, 0, CUT_OFF - 1);
      tick_next (&next);
    }
  First *first = first_new ();
  first->side.worker = CUT_OFF;
  for (; clock_ms < START_MS + REPLACED_MS && next.started_ms == 0; clock_ms += STEP_MS)
    step_apart (first, &next);
  CU_ASSERT_TRUE (excess_of (first, &next, START_MS) < 0);
  fb_pool_free (next.pool);
  first_free (first);
}

/* An owner and its successor, which knows more workers, have a majority each. */
static void
test_two_owners_have_no_majority_beside_each_other (void)
{
  Side next;
  First *first = first_connected (CONNECTED_MIN_MS);
  side_begin (&next, 2, 2000, GROWN_N);
  restore_record (&next, WORKER_N);
  uint64_t replaced_ms = clock_ms;
  for (; clock_ms < replaced_ms + REPLACED_MS && next.started_ms == 0; clock_ms += STEP_MS)
    step_split (first, &next);
  end_split (first, &next, replaced_ms);
}

/* The store has taken a record with later workers, but its answer to the owner is lost. */
static void
test_a_record_without_an_answer_gives_no_second_majority (void)
{
  Side next;
  First *first = first_connected (CONNECTED_MIN_MS);
  later_workers_recorded = FALSE;
  list_workers (&first->side, 500, GROWN_N);
  for (uint64_t end_ms = clock_ms + ANSWER_LOST_MS; clock_ms < end_ms; clock_ms += STEP_MS)
    {
      answer_due (&first->side, 0, GROWN_N - 1);
      tick_owner (&first->owner);
    }
  CU_ASSERT_TRUE (later_workers_recorded);
  side_begin (&next, 2, 2000, GROWN_N);
  restore_record (&next, GROWN_N);
  uint64_t replaced_ms = clock_ms;
  for (; clock_ms < replaced_ms + REPLACED_MS && next.started_ms == 0; clock_ms += STEP_MS)
    step_split (first, &next);
  end_split (first, &next, replaced_ms);
}

/* Returns: an owner that holds HELD_JOB, which was stored after it had loaded. */
static First *
first_with_held_job (void)
{
  fb_work_step step;
  fb_work_admit source;
  fb_work_admit record;
  clock_ms = START_MS;
  store_is_up = TRUE;
  queue_position = 1;
  First *first = first_new ();
  init_job (&source, &step);
  step.cpu_milli = 400;
  fb_pool_job_copy_record (&source, &record);
  fb_owner_admit (&first->owner, HELD_JOB, &record);
  return first;
}

/* A job that was stored after loading and is held runs again though an earlier owner has run it. */
static void
test_the_end_of_a_held_job_is_not_acknowledged_unread (void)
{
  First *first = first_with_held_job ();
  first->side.ended_on = 0;
  for (; clock_ms < START_MS + 2 * HELD_MS; clock_ms += STEP_MS)
    {
      if (clock_ms == START_MS + HELD_MS)
        queue_position = 0;
      answer_due (&first->side, 0, CUT_OFF);
      tick_owner (&first->owner);
    }
  CU_ASSERT_PTR_NULL (fb_owner_held_job (&first->owner, HELD_JOB));
  CU_ASSERT_EQUAL (first->side.held_starts_n, 0);
  first_free (first);
}

/* FIRST reaches all workers but CUT_OFF. */
static void
run_without_cut_off (First *first, uint64_t until_ms)
{
  for (; clock_ms < until_ms; clock_ms += STEP_MS)
    {
      answer_due (&first->side, 0, CUT_OFF - 1);
      tick_owner (&first->owner);
    }
}

/* Checks that HELD_JOB, which waits for no other service any more, starts once all leases of the
 * owner before have ended.  Frees FIRST. */
static void
check_start_after_leases (First *first)
{
  run_without_cut_off (first, START_MS + LEASES_END_MS);
  CU_ASSERT_PTR_NULL (fb_owner_held_job (&first->owner, HELD_JOB));
  CU_ASSERT_EQUAL (first->side.held_starts_n, 0);
  run_without_cut_off (first, START_MS + REPLACED_MS);
  CU_ASSERT_TRUE (first->side.held_starts_n > 0);
  first_free (first);
}

/* A job runs twice that is held for longer than the owner before may start it, on a worker that has
 * not answered its successor. */
static void
test_a_job_that_was_held_waits_for_unconfirmed_workers (void)
{
  First *first = first_with_held_job ();
  run_without_cut_off (first, START_MS + 2 * HELD_MS);
  queue_position = 0;
  check_start_after_leases (first);
}

/* A job runs twice that the owner before started without advice, which its queue has had since. */
static void
test_advice_since_a_job_is_held_excludes_no_worker (void)
{
  static const char *const asked[] = { "w0", "w1", "w2" };
  fb_ticket ticket = { (char *) "w0", (char *) "t" };
  const fb_advice_reply reply = { .validity_ms = REPLACED_MS, .tickets = { 1, &ticket } };
  fb_work_policy policy = { .max_attempts = 3, .advised = TRUE };
  First *first = first_with_held_job ();
  g_autoptr (GHashTable) policies = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (policies, (gpointer) "q", &policy);
  fb_owner_set_held_policies (&first->owner, policies);
  queue_position = 0;
  run_without_cut_off (first, START_MS + HELD_MS);
  fb_pool_advice_answered (first->side.pool, HELD_JOB ".0.0", asked, G_N_ELEMENTS (asked), &reply,
                           clock_ms);
  check_start_after_leases (first);
}

/* An owner that resumes long after its last confirmation stops runs that its successor has found.
 */
static void
test_an_owner_that_resumes_orders_nothing (void)
{
  First *first = first_connected (CONNECTED_MIN_MS);
  fb_pool_cancel_job (first->side.pool, JOB, clock_ms, WALL_OFFSET_MS + clock_ms);
  CU_ASSERT_EQUAL (first->side.stops_n, 1);
  clock_ms += RESUMED_MS;
  tick_owner (&first->owner);
  CU_ASSERT_TRUE (first->owner.stepped_down);
  CU_ASSERT_EQUAL (first->side.stops_n, 1);
  first_free (first);
}

/* Entries of workers that are cut off from the store expire, and no longer count for a majority. */
static void
test_an_owner_without_the_store_keeps_no_majority_of_expired_entries (void)
{
  Side next;
  outage_reported = FALSE;
  First *first = first_connected (CONNECTED_MIN_MS);
  side_begin (&next, 2, 2000, WORKER_N);
  restore_record (&next, WORKER_N);
  uint64_t replaced_ms = clock_ms;
  for (; clock_ms < replaced_ms + 2 * REPLACED_MS && next.started_ms == 0; clock_ms += STEP_MS)
    {
      if (clock_ms == replaced_ms + ENTRY_TTL_MS)
        {
          fb_pool_worker_unlisted (next.pool, workers[1], clock_ms);
          fb_pool_worker_unlisted (next.pool, workers[CUT_OFF], clock_ms);
        }
      step_split (first, &next);
    }
  end_split (first, &next, replaced_ms);
}

/* Work ends during an outage, though the owner reaches its workers and other daemons. */
static void
test_an_outage_that_other_daemons_report_ends_no_lease (void)
{
  First *first = first_connected (CONNECTED_MIN_MS);
  for (uint64_t end_ms = clock_ms + REPLACED_MS; clock_ms < end_ms; clock_ms += STEP_MS)
    {
      answer_due (&first->side, 0, CUT_OFF);
      tick_owner (&first->owner);
      CU_ASSERT_TRUE (first->side.lease_ms > clock_ms);
    }
  first_free (first);
}

/* Each test but the first is run by its name. */
static void
add_tests (CU_pSuite suite, const char *name)
{
  if (g_strcmp0 (name, "never-confirmed") == 0)
    CU_add_test (suite, "an owner that was never confirmed extends no lease",
                 test_an_owner_that_was_never_confirmed_extends_no_lease);
  else if (g_strcmp0 (name, "two-majorities") == 0)
    CU_add_test (suite, "two owners have no majority beside each other",
                 test_two_owners_have_no_majority_beside_each_other);
  else if (g_strcmp0 (name, "record-without-an-answer") == 0)
    CU_add_test (suite, "a record without an answer gives no second majority",
                 test_a_record_without_an_answer_gives_no_second_majority);
  else if (g_strcmp0 (name, "expired-entries") == 0)
    CU_add_test (suite, "an owner without the store keeps no majority of expired entries",
                 test_an_owner_without_the_store_keeps_no_majority_of_expired_entries);
  else if (g_strcmp0 (name, "outage") == 0)
    CU_add_test (suite, "an outage that other daemons report ends no lease",
                 test_an_outage_that_other_daemons_report_ends_no_lease);
  else if (g_strcmp0 (name, "held-job") == 0)
    CU_add_test (suite, "the end of a held job is not acknowledged unread",
                 test_the_end_of_a_held_job_is_not_acknowledged_unread);
  else if (g_strcmp0 (name, "resumes") == 0)
    CU_add_test (suite, "an owner that resumes orders nothing",
                 test_an_owner_that_resumes_orders_nothing);
  else if (g_strcmp0 (name, "held-job-of-before") == 0)
    CU_add_test (suite, "a job that was held waits for unconfirmed workers",
                 test_a_job_that_was_held_waits_for_unconfirmed_workers);
  else if (g_strcmp0 (name, "held-job-with-later-advice") == 0)
    CU_add_test (suite, "advice since a job is held excludes no worker",
                 test_advice_since_a_job_is_held_excludes_no_worker);
  else
    CU_add_test (suite, "a replaced owner extends no lease beyond the wait of its successor",
                 test_a_replaced_owner_extends_no_lease_beyond_the_wait_of_its_successor);
}

int
main (int argc, char **argv)
{
  fb_event_set_quiet (TRUE);
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("step-down", NULL, NULL);
  add_tests (suite, argc > 1 ? argv[1] : NULL);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
