/* Admission by forecast between a daemon that receives a job and the owner of its pool, with all
 * ways in which one of them may fail.  No network: requests between daemons are calls here. */
#include "busy-pool.h"

#include "src/entry/frontend/frontend-private.h"
#include "src/entry/owner/owner-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "internal/codec.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define START_MS 100000
#define EPOCH 7
#define ACCOUNT "a"
#define NEW_JOB "00000000000f0001"
#define KNOWN_JOB "0000000000000001"
#define OWN_ADDRESS "10.0.0.1:1"
#define OTHER_N 3

/* ---- replaced functions of the daemon ------------------------------------------------------ */

/* What becomes of a question to the owner. */
typedef enum
{
  OWNER_ANSWERS,
  OWNER_IS_SILENT, /* killed, frozen, cut off or too slow: the question times out */
  OWNER_IS_OLD     /* of the previous version: it cannot decode the question */
} OwnerState;

static uint64_t clock_ms;
static GPtrArray *members; /* of FbDaemon, borrowed */
static gboolean is_confirmed;
static OwnerState owner_state;
static FbOwner *asked_owner;
static guint services_n; /* to which the queue has been directed */
static guint notices_n;
static guint questions_n;
static guint stored_n;
static uint64_t stored_accepted_ms; /* of the last record that was stored */
static uint32_t submitted_priority;
static guint status;                /* of the last answer to a caller; 0: none */
static SoupMessageHeaders *headers; /* of that answer */
static fb_load_notice last_notice;

FbQueueDirectory *__wrap_fb_entry_queue_directory (FbEntryDaemon *entry);
const GPtrArray *__wrap_fb_queue_directory_services (const FbQueueDirectory *self,
                                                     const char *queue);
uint64_t __wrap_fb_clock_ms (void);
const GPtrArray *__wrap_fb_daemons_all (const FbDaemons *self);
gboolean __wrap_fb_owner_confirm (FbOwner *self, const FbServicePool *service_pool,
                                  uint64_t now_ms);
void __wrap_fb_peers_request (FbEntryDaemon *entry, const char *address,
                              const fb_peer_request *peer_request, uint32_t timeout_ms,
                              FbPeerReplyDone done, gpointer user);
void __wrap_fb_peers_request_owner (FbEntryDaemon *entry, const char *service,
                                    const fb_peer_request *peer_request, uint32_t timeout_ms,
                                    FbPeerReplyDone done, gpointer user);
void __wrap_fb_entry_frontend_store (FbFrontendRequest *request, char kind, GBytes *value);
void __wrap_fb_entry_frontend_finish (FbFrontendRequest *request, guint code, const char *body);
SoupMessageHeaders *__wrap_soup_server_message_get_response_headers (SoupServerMessage *message);

FbQueueDirectory *
__wrap_fb_entry_queue_directory (FbEntryDaemon *entry)
{
  (void) entry;
  return NULL;
}

const GPtrArray *
__wrap_fb_queue_directory_services (const FbQueueDirectory *self, const char *queue)
{
  (void) self;
  (void) queue;
  static FbQueueService rows[]
      = { { .service = (char *) SERVICE }, { .service = (char *) "other" } };
  static gpointer pointers[] = { &rows[0], &rows[1] };
  static GPtrArray services;
  services = (GPtrArray){ .pdata = pointers, .len = services_n };
  return &services;
}

uint64_t
__wrap_fb_clock_ms (void)
{
  return clock_ms;
}

const GPtrArray *
__wrap_fb_daemons_all (const FbDaemons *self)
{
  (void) self;
  return members;
}

gboolean
__wrap_fb_owner_confirm (FbOwner *self, const FbServicePool *service_pool, uint64_t now_ms)
{
  (void) self;
  (void) service_pool;
  (void) now_ms;
  return is_confirmed;
}

void
__wrap_fb_peers_request (FbEntryDaemon *entry, const char *address,
                         const fb_peer_request *peer_request, uint32_t timeout_ms,
                         FbPeerReplyDone done, gpointer user)
{
  (void) entry;
  (void) timeout_ms;
  CU_ASSERT_EQUAL (peer_request->type, FB_REQUEST_LOAD_NOTICE);
  CU_ASSERT_STRING_NOT_EQUAL (address, OWN_ADDRESS);
  last_notice = peer_request->fb_peer_request_u.notice;
  notices_n++;
  done (user, NULL);
}

void
__wrap_fb_peers_request_owner (FbEntryDaemon *entry, const char *service,
                               const fb_peer_request *peer_request, uint32_t timeout_ms,
                               FbPeerReplyDone done, gpointer user)
{
  (void) entry;
  fb_peer_reply peer_reply = { .type = FB_REPLY_UNAVAILABLE };
  CU_ASSERT_STRING_EQUAL (service, SERVICE);
  CU_ASSERT_EQUAL (timeout_ms, 250);
  questions_n++;
  if (owner_state == OWNER_ANSWERS)
    fb_owner_answer (asked_owner, peer_request, &peer_reply);
  /* fb_peers_request_owner() repeats a request that got FB_REPLY_UNAVAILABLE until its timeout. */
  done (user, peer_reply.type != FB_REPLY_UNAVAILABLE ? &peer_reply : NULL);
}

void
__wrap_fb_entry_frontend_store (FbFrontendRequest *request, char kind, GBytes *value)
{
  (void) request;
  fb_work_admit admit;
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (value, &len);
  CU_ASSERT_EQUAL (kind, FB_KEY_JOB);
  CU_ASSERT_TRUE_FATAL (fb_codec_decode_admit (data, len, &admit));
  stored_accepted_ms = admit.accepted_ms;
  xdr_free ((xdrproc_t) xdr_fb_work_admit, (char *) &admit);
  stored_n++;
}

void
__wrap_fb_entry_frontend_finish (FbFrontendRequest *request, guint code, const char *body)
{
  (void) request;
  (void) body;
  status = code;
}

SoupMessageHeaders *
__wrap_soup_server_message_get_response_headers (SoupServerMessage *message)
{
  (void) message;
  return headers;
}

/* ---- a daemon that owns an overloaded pool ----------------------------------------------------
 */

typedef struct
{
  FbEntrySettings settings;
  FbEntryDaemon entry;
  FbOwner owner;
  FbServicePool service_pool;
  FbDaemon others[OTHER_N];
  FbDaemon own;
  BusyPool busy;
} Daemon;

static void
configure (Daemon *self)
{
  FbRoute *route = g_new0 (FbRoute, 1);
  FbAccount *account = g_new0 (FbAccount, 1);
  route->host = g_strdup ("host");
  route->prefix = g_strdup ("/");
  route->policy = (fb_work_policy){ .queue = strdup (QUEUE),
                                    .service = strdup (SERVICE),
                                    .stretch_factor_milli = 1500,
                                    .target_ms = 1000 };
  account->name = g_strdup (ACCOUNT);
  account->weight = 1;
  self->entry.routes = fb_routes_new (1);
  self->entry.routes->accounts = fb_accounts_new ();
  fb_routes_add (self->entry.routes, route);
  CU_ASSERT_TRUE_FATAL (fb_accounts_add (self->entry.routes->accounts, account));
  fb_pool_set_accounts (self->busy.pool, fb_accounts_by_name (self->entry.routes->accounts));
}

static void
tick (Daemon *self)
{
  clock_ms += TICK_MS;
  fb_pool_tick (self->busy.pool, TRUE, clock_ms, WALL_OFFSET_MS + clock_ms);
  fb_owner_watch_load (&self->service_pool, clock_ms);
  busy_pool_answer_all (&self->busy, clock_ms);
}

static void
run_for (Daemon *self, uint64_t duration_ms)
{
  for (uint64_t until_ms = clock_ms + duration_ms; clock_ms < until_ms;)
    tick (self);
}

/* Adds JOB, the one that the account "a" is owed in this second, so that another one is beyond its
 * rate. */
static void
use_up_rate (Daemon *self, const char *job)
{
  fb_work_admit record;
  fb_work_step step;
  busy_pool_init_job (&record, &step);
  record.account = (char *) ACCOUNT;
  record.accepted_ms = WALL_OFFSET_MS + clock_ms;
  fb_pool_add_job (self->busy.pool, job, &record, clock_ms, WALL_OFFSET_MS + clock_ms);
}

/* BACKLOG: with an overloaded pool. */
static Daemon *
daemon_new (gboolean backlog)
{
  Daemon *self = g_new0 (Daemon, 1);
  clock_ms = START_MS;
  is_confirmed = TRUE;
  submitted_priority = 0;
  owner_state = OWNER_ANSWERS;
  notices_n = questions_n = stored_n = status = 0;
  headers = soup_message_headers_new (SOUP_MESSAGE_HEADERS_RESPONSE);
  members = g_ptr_array_new ();
  self->settings.peers = (char *) OWN_ADDRESS;
  self->own.address = (char *) OWN_ADDRESS;
  g_ptr_array_add (members, &self->own);
  for (guint i = 0; i < OTHER_N; i++)
    {
      self->others[i].address = (char *) "10.0.0.2:1";
      g_ptr_array_add (members, &self->others[i]);
    }
  self->entry.settings = &self->settings;
  self->entry.load_notices = fb_load_notices_new ();
  self->entry.recent_appends = fb_recent_appends_new ();
  busy_pool_begin (&self->busy, clock_ms);
  configure (self);
  busy_pool_list_workers (&self->busy, clock_ms);
  self->owner = (FbOwner){ .entry = &self->entry, .epoch = EPOCH, .loaded = TRUE };
  self->owner.service_pools = g_hash_table_new (g_str_hash, g_str_equal);
  self->service_pool = (FbServicePool){ .owner = &self->owner,
                                        .pool = self->busy.pool,
                                        .service = (char *) SERVICE,
                                        .admission = fb_admission_control_new () };
  g_hash_table_insert (self->owner.service_pools, self->service_pool.service, &self->service_pool);
  self->owner.held_jobs = fb_owner_held_jobs_new ();
  asked_owner = &self->owner;
  services_n = 1;
  run_for (self, 1000);
  for (guint i = 0; backlog && i < JOB_N; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", 0x1000 + i);
      busy_pool_admit (&self->busy, id, 0, "", JOB_TASKS, clock_ms);
    }
  run_for (self, 1000);
  use_up_rate (self, KNOWN_JOB);
  return self;
}

static void
daemon_free (Daemon *self)
{
  fb_routes_free (self->entry.routes);
  fb_load_notices_free (self->entry.load_notices);
  fb_recent_appends_free (self->entry.recent_appends);
  fb_admission_control_free (self->service_pool.admission);
  g_hash_table_unref (self->owner.held_jobs);
  g_hash_table_unref (self->owner.service_pools);
  busy_pool_clear (&self->busy);
  g_ptr_array_unref (members);
  soup_message_headers_unref (headers);
  g_free (self);
}

/* Submits JOB of 1 s for the account "a" to the daemon, as frontend.c does.  Returns: TRUE when the
 * owner was asked. */
static gboolean
submit (Daemon *self, const char *job)
{
  uint64_t epoch = 0;
  fb_work_admit admit;
  fb_work_step step;
  busy_pool_init_job (&admit, &step);
  step.estimate_ms = 1000;
  step.count = 1;
  admit.policy.priority = submitted_priority;
  admit.account = (char *) ACCOUNT;
  admit.accepted_ms = WALL_OFFSET_MS + clock_ms;
  FbFrontendRequest request = { .entry = &self->entry,
                                .job = (char *) job,
                                .queue = (char *) QUEUE,
                                .service = (char *) SERVICE,
                                .account = (char *) ACCOUNT,
                                .received_ms = clock_ms };
  status = 0;
  g_autoptr (GBytes) value = fb_codec_encode_admit (&admit);
  gboolean asks = fb_entry_frontend_must_ask (self->entry.load_notices, self->entry.recent_appends,
                                              SERVICE, job, &admit.spec, clock_ms, &epoch);
  if (asks)
    fb_entry_frontend_ask (&request, &admit, value, epoch);
  else
    stored_n++;
  return asks;
}

/* ---- with an owner that answers -----------------------------------------------------------------
 */

/* A job that certainly has no value is refused at once, nothing is stored, and the caller is told
 * when to return. */
static void
test_job_without_value_is_refused (void)
{
  Daemon *self = daemon_new (TRUE);
  CU_ASSERT_TRUE (submit (self, NEW_JOB));
  CU_ASSERT_EQUAL (status, 429);
  CU_ASSERT_EQUAL (stored_n, 0);
  CU_ASSERT_EQUAL (g_strcmp0 (soup_message_headers_get_one (headers, "Retry-After"), "10"), 0);
  daemon_free (self);
}

/* Guards against messages and refusals without an overload. */
static void
test_no_messages_without_overload (void)
{
  Daemon *self = daemon_new (FALSE);
  run_for (self, 3000);
  CU_ASSERT_EQUAL (notices_n, 0);
  CU_ASSERT_FALSE (submit (self, NEW_JOB));
  CU_ASSERT_EQUAL (stored_n, 1);
  daemon_free (self);
}

/* All daemons but the owner itself get one notice a second. */
static void
test_notices_to_all_daemons (void)
{
  Daemon *self = daemon_new (TRUE);
  notices_n = 0;
  run_for (self, 5000);
  CU_ASSERT_EQUAL (notices_n, 5 * OTHER_N);
  CU_ASSERT_EQUAL (last_notice.epoch, EPOCH);
  CU_ASSERT_EQUAL (last_notice.valid_ms, 2000);
  CU_ASSERT_TRUE (last_notice.overloaded);
  daemon_free (self);
}

/* A job within the rate of its account comes before the backlog that is late: it is accepted. */
static void
test_job_with_value_is_stored (void)
{
  Daemon *self = daemon_new (TRUE);
  run_for (self, 1000); /* the account is owed another job */
  CU_ASSERT_TRUE (submit (self, NEW_JOB));
  CU_ASSERT_EQUAL (status, 0);
  CU_ASSERT_EQUAL (stored_n, 1);
  daemon_free (self);
}

/* Replaces the sums of waiting work by those of an empty pool, as if all of it had been cancelled.
 */
static void
forget_backlog (Daemon *self)
{
  const FbAmounts capacity = { .cpu_milli = WORKER_N * WORKER_CPU };
  fb_admission_begin (fb_admission_control_forecasts (self->service_pool.admission), &capacity,
                      clock_ms);
}

/* The objective of a job that was refused before counts from its first attempt. */
static void
test_returned_job_keeps_its_age (void)
{
  Daemon *self = daemon_new (TRUE);
  submitted_priority = 1;
  run_for (self, 1000);
  (void) submit (self, NEW_JOB);
  CU_ASSERT_EQUAL (status, 429);
  run_for (self, 1000);
  forget_backlog (self);
  CU_ASSERT_TRUE (submit (self, NEW_JOB));
  CU_ASSERT_EQUAL (stored_n, 1);
  CU_ASSERT_EQUAL (stored_accepted_ms, WALL_OFFSET_MS + clock_ms - 1000);
  daemon_free (self);
}

/* A job that was beyond its account's rate at its first attempt, and is not when it returns, must
 * not be counted at its first attempt, where it would be beyond the rate again. */
static void
test_returned_job_within_the_rate (void)
{
  Daemon *self = daemon_new (TRUE);
  (void) submit (self, NEW_JOB);
  CU_ASSERT_EQUAL (status, 429);
  run_for (self, 1000);
  CU_ASSERT_TRUE (submit (self, NEW_JOB));
  CU_ASSERT_EQUAL (stored_n, 1);
  CU_ASSERT_EQUAL (stored_accepted_ms, WALL_OFFSET_MS + clock_ms);
  daemon_free (self);
}

/* A job that the owner has is not refused, and is not stored again. */
static void
test_known_job_is_not_refused (void)
{
  Daemon *self = daemon_new (TRUE);
  CU_ASSERT_TRUE (submit (self, KNOWN_JOB));
  CU_ASSERT_EQUAL (status, 200);
  CU_ASSERT_EQUAL (stored_n, 0);
  daemon_free (self);
}

/* Guards against the refusal of a job that the pool of another service has. */
static void
test_job_that_another_service_may_have (void)
{
  Daemon *self = daemon_new (TRUE);
  services_n = 2;
  CU_ASSERT_TRUE (submit (self, NEW_JOB));
  CU_ASSERT_EQUAL (status, 0);
  CU_ASSERT_EQUAL (stored_n, 1);
  daemon_free (self);
}

/* ---- failures -----------------------------------------------------------------------------------
 */

/* Guards against a refusal of a job whose append has an unknown outcome: it would be run. */
static void
test_job_with_append_of_unknown_outcome (void)
{
  Daemon *self = daemon_new (TRUE);
  fb_recent_appends_note (self->entry.recent_appends, NEW_JOB, clock_ms);
  run_for (self, 500);
  CU_ASSERT_FALSE (submit (self, NEW_JOB));
  CU_ASSERT_EQUAL (stored_n, 1);
  const fb_admission_reply refusal = { .retry_after_ms = 1000 };
  CU_ASSERT_EQUAL (
      fb_entry_frontend_admission_answer (self->entry.recent_appends, NEW_JOB, &refusal, clock_ms),
      FB_ADMISSION_STORE);
  CU_ASSERT_EQUAL (fb_entry_frontend_admission_answer (self->entry.recent_appends, NEW_JOB,
                                                       &refusal, clock_ms + 10000),
                   FB_ADMISSION_REFUSE);
  daemon_free (self);
}

/* Guards against a refusal at one daemon while another one may be storing the job. */
static void
test_admitted_job_is_not_refused_elsewhere (void)
{
  Daemon *self = daemon_new (TRUE);
  run_for (self, 1000);
  (void) submit (self, NEW_JOB);
  CU_ASSERT_EQUAL (stored_n, 1);
  use_up_rate (self, "00000000000f0002");
  (void) submit (self, "00000000000f0003");
  CU_ASSERT_EQUAL (status, 429);
  (void) submit (self, NEW_JOB);
  CU_ASSERT_EQUAL (stored_n, 2);
  daemon_free (self);
}

/* An owner that was killed, is frozen, cut off or slow does not answer: the job is accepted, and
 * 2 s after the last notice nobody is asked any more. */
static void
test_owner_without_answer (void)
{
  Daemon *self = daemon_new (TRUE);
  uint64_t unanswered_n = fb_counter_get (FB_COUNTER_ADMITTED_UNANSWERED);
  owner_state = OWNER_IS_SILENT;
  CU_ASSERT_TRUE (submit (self, NEW_JOB));
  CU_ASSERT_EQUAL (stored_n, 1);
  CU_ASSERT_EQUAL (fb_counter_get (FB_COUNTER_ADMITTED_UNANSWERED), unanswered_n + 1);
  clock_ms += 2000;
  CU_ASSERT_FALSE (submit (self, NEW_JOB));
  CU_ASSERT_EQUAL (stored_n, 2);
  daemon_free (self);
}

/* An owner of the previous version cannot decode the question. */
static void
test_owner_of_the_previous_version (void)
{
  Daemon *self = daemon_new (TRUE);
  owner_state = OWNER_IS_OLD;
  (void) submit (self, NEW_JOB);
  CU_ASSERT_EQUAL (stored_n, 1);
  /* A type that this version does not know, as 17 and 18 are not known to the previous one. */
  const fb_peer_request known = { .type = FB_REQUEST_RECENT_STARTS };
  g_autoptr (GBytes) body = fb_codec_encode_peer_request (&known);
  gsize len = 0;
  g_autofree guint8 *unknown = g_memdup2 (g_bytes_get_data (body, &len), g_bytes_get_size (body));
  fb_peer_request decoded;
  unknown[3] = 200;
  CU_ASSERT_FALSE (fb_codec_decode_peer_request (unknown, g_bytes_get_size (body), &decoded));
  daemon_free (self);
}

/* After all daemons were killed, nothing is known: jobs are stored without a question. */
static void
test_all_daemons_killed (void)
{
  Daemon *self = daemon_new (TRUE);
  fb_load_notices_free (self->entry.load_notices);
  self->entry.load_notices = fb_load_notices_new ();
  CU_ASSERT_FALSE (submit (self, NEW_JOB));
  CU_ASSERT_EQUAL (stored_n, 1);
  daemon_free (self);
}

/* An owner that is no longer certain of its ownership, that has another epoch than the notice, or
 * whose sums are old, does not refuse. */
static void
test_uncertain_owner (void)
{
  Daemon *self = daemon_new (TRUE);
  is_confirmed = FALSE;
  (void) submit (self, "00000000000000f2");
  CU_ASSERT_EQUAL (stored_n, 1);
  is_confirmed = TRUE;
  self->owner.epoch++;
  (void) submit (self, "00000000000000f3");
  CU_ASSERT_EQUAL (stored_n, 2);
  self->owner.epoch--;
  self->owner.stepped_down = TRUE;
  (void) submit (self, "00000000000000f4");
  CU_ASSERT_EQUAL (stored_n, 3);
  self->owner.stepped_down = FALSE;
  clock_ms += 600;
  (void) submit (self, "00000000000000f5");
  CU_ASSERT_EQUAL (stored_n, 4);
  CU_ASSERT_EQUAL (questions_n, 4);
  daemon_free (self);
}

/* A new owner that has not found everything that runs must neither send notices nor refuse. */
static void
test_owner_before_recovery (void)
{
  Daemon *self = daemon_new (TRUE);
  Daemon *next = g_new0 (Daemon, 1);
  busy_pool_begin (&next->busy, clock_ms);
  fb_pool_set_accounts (next->busy.pool, fb_accounts_by_name (self->entry.routes->accounts));
  busy_pool_list_workers (&next->busy, clock_ms);
  busy_pool_admit_backlog (&next->busy, 0, "", clock_ms);
  self->service_pool.pool = next->busy.pool;
  notices_n = 0;
  fb_pool_tick (next->busy.pool, TRUE, clock_ms, WALL_OFFSET_MS + clock_ms);
  clock_ms += 1000;
  fb_owner_watch_load (&self->service_pool, clock_ms);
  CU_ASSERT_EQUAL (notices_n, 0);
  (void) submit (self, NEW_JOB);
  CU_ASSERT_EQUAL (stored_n, 1);
  busy_pool_clear (&next->busy);
  g_free (next);
  daemon_free (self);
}

/* A pool without client accounts behaves as before, however much waits in it. */
static void
test_pool_without_accounts (void)
{
  Daemon *self = daemon_new (FALSE);
  Daemon *plain = g_new0 (Daemon, 1);
  busy_pool_begin (&plain->busy, clock_ms);
  busy_pool_list_workers (&plain->busy, clock_ms);
  busy_pool_admit_backlog (&plain->busy, 0, "", clock_ms);
  self->service_pool.pool = plain->busy.pool;
  for (uint64_t until_ms = clock_ms + 2000; clock_ms < until_ms; clock_ms += TICK_MS)
    {
      fb_pool_tick (plain->busy.pool, TRUE, clock_ms, WALL_OFFSET_MS + clock_ms);
      fb_owner_watch_load (&self->service_pool, clock_ms);
      busy_pool_answer_all (&plain->busy, clock_ms);
    }
  CU_ASSERT_EQUAL (plain->busy.started_n, WORKER_N * WORKER_CPU / TASK_CPU);
  CU_ASSERT_EQUAL (notices_n, 0);
  busy_pool_clear (&plain->busy);
  g_free (plain);
  daemon_free (self);
}

/* ---- notices that a daemon receives
 * -------------------------------------------------------------- */

static fb_load_notice
notice_of (uint64_t epoch, uint64_t sequence, gboolean overloaded)
{
  return (fb_load_notice){ .service = (char *) SERVICE,
                           .epoch = epoch,
                           .sequence = sequence,
                           .overloaded = overloaded,
                           .valid_ms = 2000 };
}

/* Notices of a replaced owner, and notices that arrive out of order, must not count. */
static void
test_order_of_notices (void)
{
  FbLoadNotices *notices = fb_load_notices_new ();
  const fb_load_notice all[]
      = { notice_of (3, 5, TRUE), notice_of (3, 4, FALSE), notice_of (2, 9, FALSE),
          notice_of (4, 1, FALSE), notice_of (3, 6, TRUE) };
  uint64_t epoch = 0;
  for (guint i = 0; i < G_N_ELEMENTS (all); i++)
    {
      fb_load_notices_put (notices, &all[i], START_MS);
      gboolean overloaded
          = fb_load_notices_is_overloaded (notices, SERVICE, START_MS + 1999, &epoch);
      CU_ASSERT_EQUAL (overloaded, i < 3);
      CU_ASSERT_EQUAL (epoch, 3);
    }
  const fb_load_notice next = notice_of (4, 2, TRUE);
  fb_load_notices_put (notices, &next, START_MS);
  CU_ASSERT_TRUE (fb_load_notices_is_overloaded (notices, SERVICE, START_MS + 1999, &epoch));
  CU_ASSERT_EQUAL (epoch, 4);
  CU_ASSERT_FALSE (fb_load_notices_is_overloaded (notices, SERVICE, START_MS + 2000, &epoch));
  CU_ASSERT_FALSE (fb_load_notices_is_overloaded (notices, "other", START_MS, &epoch));
  fb_load_notices_free (notices);
}

/* While more appends are noted than are kept, no job may be refused. */
static void
test_many_appends (void)
{
  FbRecentAppends *appends = fb_recent_appends_new ();
  for (guint i = 0; i < 16385; i++)
    {
      g_autofree char *job = g_strdup_printf ("job %u", i);
      CU_ASSERT_FALSE (fb_recent_appends_contain (appends, NEW_JOB, START_MS));
      fb_recent_appends_note (appends, job, START_MS);
    }
  CU_ASSERT_TRUE (fb_recent_appends_contain (appends, "not noted", START_MS + 9999));
  CU_ASSERT_FALSE (fb_recent_appends_contain (appends, "not noted", START_MS + 10000));
  fb_recent_appends_note (appends, NEW_JOB, START_MS + 10000);
  fb_recent_appends_note (appends, NEW_JOB, START_MS + 15000);
  CU_ASSERT_TRUE (fb_recent_appends_contain (appends, NEW_JOB, START_MS + 24999));
  CU_ASSERT_FALSE (fb_recent_appends_contain (appends, NEW_JOB, START_MS + 25000));
  fb_recent_appends_free (appends);
}

int
main (void)
{
  fb_event_set_quiet (TRUE);
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("admission between daemons", NULL, NULL);
  CU_add_test (suite, "a job without value is refused", test_job_without_value_is_refused);
  CU_add_test (suite, "no messages without overload", test_no_messages_without_overload);
  CU_add_test (suite, "notices to all daemons", test_notices_to_all_daemons);
  CU_add_test (suite, "a job with value is stored", test_job_with_value_is_stored);
  CU_add_test (suite, "a returned job keeps its age", test_returned_job_keeps_its_age);
  CU_add_test (suite, "a returned job within the rate", test_returned_job_within_the_rate);
  CU_add_test (suite, "a known job is not refused", test_known_job_is_not_refused);
  CU_add_test (suite, "an append of unknown outcome", test_job_with_append_of_unknown_outcome);
  CU_add_test (suite, "an admitted job elsewhere", test_admitted_job_is_not_refused_elsewhere);
  CU_add_test (suite, "a job that another service may have",
               test_job_that_another_service_may_have);
  CU_add_test (suite, "an owner without answer", test_owner_without_answer);
  CU_add_test (suite, "an owner of the previous version", test_owner_of_the_previous_version);
  CU_add_test (suite, "all daemons killed", test_all_daemons_killed);
  CU_add_test (suite, "an uncertain owner", test_uncertain_owner);
  CU_add_test (suite, "an owner before recovery", test_owner_before_recovery);
  CU_add_test (suite, "a pool without accounts", test_pool_without_accounts);
  CU_add_test (suite, "the order of notices", test_order_of_notices);
  CU_add_test (suite, "many appends", test_many_appends);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
