/* What an owner answers about jobs that it has not read, and what it is told of cancels. */
#include "busy-pool.h"

#include "src/entry/frontend/cancel-notice.h"

#include "src/entry/owner/owner-private.h"

#include "fb-event.h"
#include "internal/codec.h"

#include <CUnit/Basic.h>
#include <string.h>

#define START_MS 100000
#define JOB "0000000000000001"
#define UNKNOWN_JOB "0000000000000002"

static uint64_t clock_ms;
static uint64_t synced_ms;
static guint checks_n;

uint64_t __wrap_fb_clock_ms (void);
uint64_t __wrap_fb_topic_reader_synced_ms (const FbTopicReader *self);
void __wrap_fb_topic_reader_check (FbTopicReader *self);

uint64_t
__wrap_fb_clock_ms (void)
{
  return clock_ms;
}

uint64_t
__wrap_fb_topic_reader_synced_ms (const FbTopicReader *self)
{
  (void) self;
  return synced_ms;
}

void
__wrap_fb_topic_reader_check (FbTopicReader *self)
{
  (void) self;
  checks_n++;
}

#define OWNER_ADDRESS "127.0.0.1:2"
/* The owner does not answer a notice. */
#define NO_REPLY 0

static const int *notice_replies; /* to the next notices, of fb_peer_reply_type or NO_REPLY */
static guint notice_replies_n;
static guint notices_n;

const char *__wrap_fb_group_owner_of (const FbGroup *group, uint32_t partition);
void __wrap_fb_group_refresh_owners (FbGroup *group);
void __wrap_fb_links_call (FbLinks *self, const char *address, GBytes *body, uint32_t timeout_ms,
                           FbLinkDone done, gpointer user);

const char *
__wrap_fb_group_owner_of (const FbGroup *group, uint32_t partition)
{
  (void) group;
  (void) partition;
  return OWNER_ADDRESS;
}

void
__wrap_fb_group_refresh_owners (FbGroup *group)
{
  (void) group;
}

void
__wrap_fb_links_call (FbLinks *self, const char *address, GBytes *body, uint32_t timeout_ms,
                      FbLinkDone done, gpointer user)
{
  (void) self;
  (void) timeout_ms;
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (body, &len);
  fb_peer_request peer_request;
  CU_ASSERT_TRUE_FATAL (fb_codec_decode_peer_request (data, len, &peer_request));
  CU_ASSERT_EQUAL (peer_request.type, FB_REQUEST_NOTIFY_STORED);
  CU_ASSERT_STRING_EQUAL (address, OWNER_ADDRESS);
  xdr_free ((xdrproc_t) xdr_fb_peer_request, (char *) &peer_request);
  CU_ASSERT_TRUE_FATAL (notices_n < notice_replies_n);
  int type = notice_replies[notices_n++];
  const fb_peer_reply reply = { .type = (fb_peer_reply_type) type };
  g_autoptr (GBytes) answer = type != NO_REPLY ? fb_codec_encode_peer_reply (&reply) : NULL;
  gconstpointer answer_data = answer != NULL ? g_bytes_get_data (answer, &len) : NULL;
  done (user, answer != NULL ? FB_LINK_ANSWERED : FB_LINK_LOST, answer_data, len);
}

typedef struct
{
  FbOwner owner;
  FbServicePool service_pool;
  BusyPool pool;
} Fixture;

/* An owner whose pool has JOB. */
static void
fixture_init (Fixture *self)
{
  *self = (Fixture){ .owner = { .loaded = TRUE } };
  clock_ms = START_MS;
  checks_n = 0;
  busy_pool_begin (&self->pool, clock_ms);
  busy_pool_admit (&self->pool, JOB, 0, "", 1, clock_ms);
  self->service_pool.pool = self->pool.pool;
  self->owner.service_pools = g_hash_table_new (g_str_hash, g_str_equal);
  self->owner.held_jobs = fb_owner_held_jobs_new ();
  g_hash_table_insert (self->owner.service_pools, (char *) SERVICE, &self->service_pool);
}

static void
fixture_clear (Fixture *self)
{
  busy_pool_clear (&self->pool);
  g_hash_table_unref (self->owner.service_pools);
  g_hash_table_unref (self->owner.held_jobs);
}

/* Returns: the reply to a cancel that arrived AGE_MS ago. */
static fb_peer_reply_type
reply_to_cancel (Fixture *self, const char *job, uint64_t age_ms)
{
  fb_peer_request request = { .type = FB_REQUEST_CURRENT_JOB_STATE };
  fb_current_job_state_request *current = &request.fb_peer_request_u.current_job;
  current->job.service = (char *) SERVICE;
  current->job.job = (char *) job;
  current->job.account = (char *) "";
  current->age_ms = age_ms;
  fb_peer_reply reply;
  fb_owner_answer (&self->owner, &request, &reply);
  return reply.type;
}

/* A cancel just after its job was accepted elsewhere is answered that there is no such job. */
static void
test_a_job_that_was_not_read_is_not_denied_to_a_cancel (void)
{
  Fixture self;
  fixture_init (&self);
  synced_ms = START_MS - 1;
  CU_ASSERT_EQUAL (reply_to_cancel (&self, UNKNOWN_JOB, 0), FB_REPLY_JOBS_NOT_READ);
  CU_ASSERT_EQUAL (checks_n, 1);
  clock_ms += 20;
  synced_ms = START_MS;
  CU_ASSERT_EQUAL (reply_to_cancel (&self, UNKNOWN_JOB, 20), FB_REPLY_JOBS_NOT_READ);
  synced_ms = START_MS + 1;
  CU_ASSERT_EQUAL (reply_to_cancel (&self, UNKNOWN_JOB, 20), FB_REPLY_NO_SUCH_JOB);
  CU_ASSERT_EQUAL (checks_n, 2);
  fixture_clear (&self);
}

static void
test_a_cancel_of_a_known_job_does_not_wait (void)
{
  Fixture self;
  fixture_init (&self);
  synced_ms = 0;
  CU_ASSERT_EQUAL (reply_to_cancel (&self, JOB, 0), FB_REPLY_JOB_STATE);
  CU_ASSERT_EQUAL (checks_n, 0);
  fixture_clear (&self);
}

static void
test_a_state_is_answered_from_an_older_read (void)
{
  Fixture self;
  fixture_init (&self);
  fb_peer_request request = { .type = FB_REQUEST_JOB_STATE };
  request.fb_peer_request_u.job.service = (char *) SERVICE;
  request.fb_peer_request_u.job.job = (char *) UNKNOWN_JOB;
  fb_peer_reply reply;
  synced_ms = START_MS - 1000;
  fb_owner_answer (&self.owner, &request, &reply);
  CU_ASSERT_EQUAL (reply.type, FB_REPLY_NO_SUCH_JOB);
  synced_ms = START_MS - 2000;
  fb_owner_answer (&self.owner, &request, &reply);
  CU_ASSERT_EQUAL (reply.type, FB_REPLY_UNAVAILABLE);
  CU_ASSERT_EQUAL (checks_n, 0);
  fixture_clear (&self);
}

static gboolean
on_timeout (gpointer timed_out)
{
  *(gboolean *) timed_out = TRUE;
  return G_SOURCE_REMOVE;
}

/* Sends a notice, to which the owner replies with the N REPLIES.
 * Returns: the number of notices that it gets within DURATION_MS. */
static guint
notify (const int *replies, guint n, guint duration_ms)
{
  FbEntrySettings settings = { .peers = (char *) "127.0.0.1:1" };
  FbEntryDaemon entry = { .settings = &settings, .owners = g_hash_table_new (NULL, NULL) };
  g_autoptr (GBytes) cancel = g_bytes_new_static (FB_CANCEL_PREFIX, strlen (FB_CANCEL_PREFIX));
  gboolean timed_out = FALSE;
  clock_ms = START_MS;
  notices_n = 0;
  notice_replies = replies;
  notice_replies_n = n;
  fb_cancel_notice_send (&entry, 0, "c" JOB, cancel);
  g_timeout_add (duration_ms, on_timeout, &timed_out);
  while (!timed_out)
    g_main_context_iteration (NULL, TRUE);
  g_hash_table_unref (entry.owners);
  return notices_n;
}

/* Guards against an owner that the store rejects and that does not learn of a cancel. */
static void
test_a_notice_is_repeated_until_the_owner_has_applied_it (void)
{
  const int replies[] = { NO_REPLY, FB_REPLY_UNAVAILABLE, FB_REPLY_STORED };
  CU_ASSERT_EQUAL (notify (replies, G_N_ELEMENTS (replies), 1200), 3);
}

/* Guards against notices that are repeated although they were applied. */
static void
test_an_applied_notice_is_sent_once (void)
{
  const int replies[] = { FB_REPLY_STORED };
  CU_ASSERT_EQUAL (notify (replies, G_N_ELEMENTS (replies), 600), 1);
}

int
main (void)
{
  fb_event_set_quiet (TRUE);
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("cancel", NULL, NULL);
  CU_add_test (suite, "a job that was not read is not denied to a cancel",
               test_a_job_that_was_not_read_is_not_denied_to_a_cancel);
  CU_add_test (suite, "a cancel of a known job does not wait",
               test_a_cancel_of_a_known_job_does_not_wait);
  CU_add_test (suite, "a state is answered from an older read",
               test_a_state_is_answered_from_an_older_read);
  CU_add_test (suite, "a notice is repeated until the owner has applied it",
               test_a_notice_is_repeated_until_the_owner_has_applied_it);
  CU_add_test (suite, "an applied notice is sent once", test_an_applied_notice_is_sent_once);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
