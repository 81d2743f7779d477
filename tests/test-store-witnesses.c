/* The state of the store according to other daemons, whose replies are set here. */
#include "src/entry/entry-private.h"

#include "fb-event.h"

#include <CUnit/Basic.h>

#define OWN_ADDRESS "127.0.0.1:1"
#define DAEMON_MAX 100
#define START_MS 100000
#define INTERVAL_MS 400
/* Longer than a reply counts. */
#define SILENCE_MS 1500

/* What a daemon replies; NO_REPLY: it is cut off. */
#define NO_REPLY (-1)

static uint64_t clock_ms;
static GPtrArray *daemons;
static int replies[DAEMON_MAX]; /* by the port of the daemon */
static guint questions_n;

uint64_t __wrap_fb_clock_ms (void);
const GPtrArray *__wrap_fb_daemons_all (const FbDaemons *self);
void __wrap_fb_peers_request (FbEntryDaemon *entry, const char *address,
                              const fb_peer_request *peer_request, uint32_t timeout_ms,
                              FbPeerReplyDone done, gpointer user);

uint64_t
__wrap_fb_clock_ms (void)
{
  return clock_ms;
}

const GPtrArray *
__wrap_fb_daemons_all (const FbDaemons *self)
{
  (void) self;
  return daemons;
}

void
__wrap_fb_peers_request (FbEntryDaemon *entry, const char *address,
                         const fb_peer_request *peer_request, uint32_t timeout_ms,
                         FbPeerReplyDone done, gpointer user)
{
  (void) entry;
  (void) timeout_ms;
  CU_ASSERT_EQUAL (peer_request->type, FB_REQUEST_STORE_STATE);
  CU_ASSERT_STRING_NOT_EQUAL (address, OWN_ADDRESS);
  questions_n++;
  int reply = replies[atoi (strchr (address, ':') + 1)];
  fb_peer_reply peer_reply = { .type = FB_REPLY_STORE_STATE };
  if (reply != NO_REPLY)
    peer_reply.fb_peer_reply_u.store_state = (fb_store_state) reply;
  done (user, reply != NO_REPLY ? &peer_reply : NULL);
}

static void
daemon_free (gpointer data)
{
  g_free (((FbDaemon *) data)->address);
  g_free (data);
}

/* This daemon and OTHERS_N others, which all reply with REPLY. */
static FbStoreWitnesses *
witnesses_of (FbEntryDaemon *entry, guint others_n, int reply)
{
  static FbEntrySettings settings = { .peers = (char *) OWN_ADDRESS };
  *entry = (FbEntryDaemon){ .settings = &settings };
  clock_ms = START_MS;
  questions_n = 0;
  g_clear_pointer (&daemons, g_ptr_array_unref);
  daemons = g_ptr_array_new_with_free_func (daemon_free);
  for (guint i = 1; i <= others_n + 1; i++)
    {
      FbDaemon *daemon = g_new0 (FbDaemon, 1);
      daemon->address = g_strdup_printf ("127.0.0.1:%u", i);
      g_ptr_array_add (daemons, daemon);
      replies[i] = reply;
    }
  return fb_store_witnesses_new (entry);
}

/* Returns: whether an outage is reported after two rounds of questions. */
static gboolean
reports_outage (FbStoreWitnesses *witnesses)
{
  fb_store_witnesses_ask (witnesses, clock_ms);
  clock_ms += INTERVAL_MS;
  fb_store_witnesses_ask (witnesses, clock_ms);
  return fb_store_witnesses_report_outage (witnesses, clock_ms);
}

/* An owner that is cut off from the other daemons takes a partition for an outage. */
static void
test_no_reply_is_no_outage (void)
{
  FbEntryDaemon entry;
  CU_ASSERT_FALSE (reports_outage (witnesses_of (&entry, 1, NO_REPLY)));
  CU_ASSERT_FALSE (reports_outage (witnesses_of (&entry, 6, NO_REPLY)));
  CU_ASSERT_FALSE (reports_outage (witnesses_of (&entry, 2, FB_STORE_STATE_UNKNOWN)));
}

static void
test_a_majority_reports_an_outage (void)
{
  FbEntryDaemon entry;
  CU_ASSERT_TRUE (reports_outage (witnesses_of (&entry, 0, NO_REPLY)));
  CU_ASSERT_TRUE (reports_outage (witnesses_of (&entry, 1, FB_STORE_STATE_UNAVAILABLE)));
  FbStoreWitnesses *witnesses = witnesses_of (&entry, 6, NO_REPLY);
  replies[2] = replies[3] = FB_STORE_STATE_UNAVAILABLE;
  CU_ASSERT_FALSE (reports_outage (witnesses));
  replies[4] = FB_STORE_STATE_UNAVAILABLE;
  clock_ms += INTERVAL_MS;
  CU_ASSERT_TRUE (reports_outage (witnesses));
}

/* The store rejects this daemon and most others, and serves one, which may be the successor. */
static void
test_one_daemon_that_is_served_refutes_an_outage (void)
{
  FbEntryDaemon entry;
  FbStoreWitnesses *witnesses = witnesses_of (&entry, 6, FB_STORE_STATE_UNAVAILABLE);
  replies[5] = FB_STORE_STATE_AVAILABLE;
  CU_ASSERT_FALSE (reports_outage (witnesses));
}

/* Replies of before a partition count for as long as it lasts. */
static void
test_old_replies_do_not_count (void)
{
  FbEntryDaemon entry;
  FbStoreWitnesses *witnesses = witnesses_of (&entry, 2, FB_STORE_STATE_UNAVAILABLE);
  CU_ASSERT_TRUE (reports_outage (witnesses));
  clock_ms += SILENCE_MS;
  CU_ASSERT_FALSE (fb_store_witnesses_report_outage (witnesses, clock_ms));
}

static void
test_a_sample_of_a_large_fleet_is_asked (void)
{
  FbEntryDaemon entry;
  FbStoreWitnesses *witnesses = witnesses_of (&entry, DAEMON_MAX - 2, FB_STORE_STATE_UNAVAILABLE);
  CU_ASSERT_TRUE (reports_outage (witnesses));
  CU_ASSERT_EQUAL (questions_n, 30);
  fb_store_witnesses_ask (witnesses, clock_ms + 1);
  CU_ASSERT_EQUAL (questions_n, 30);
}

static void
test_own_state (void)
{
  FbEntryDaemon entry = { .store_answered_ms = 5000 };
  CU_ASSERT_EQUAL (fb_store_witnesses_own_state (&entry, 6000), FB_STORE_STATE_AVAILABLE);
  CU_ASSERT_EQUAL (fb_store_witnesses_own_state (&entry, 60000), FB_STORE_STATE_UNKNOWN);
  entry.store_failed_ms = 5500;
  CU_ASSERT_EQUAL (fb_store_witnesses_own_state (&entry, 6000), FB_STORE_STATE_UNAVAILABLE);
  CU_ASSERT_EQUAL (fb_store_witnesses_own_state (&entry, 60000), FB_STORE_STATE_UNKNOWN);
  entry.store_answered_ms = 5800;
  CU_ASSERT_EQUAL (fb_store_witnesses_own_state (&entry, 6000), FB_STORE_STATE_AVAILABLE);
}

int
main (void)
{
  fb_event_set_quiet (TRUE);
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("store-witnesses", NULL, NULL);
  CU_add_test (suite, "no reply is no outage", test_no_reply_is_no_outage);
  CU_add_test (suite, "a majority reports an outage", test_a_majority_reports_an_outage);
  CU_add_test (suite, "one daemon that is served refutes an outage",
               test_one_daemon_that_is_served_refutes_an_outage);
  CU_add_test (suite, "old replies do not count", test_old_replies_do_not_count);
  CU_add_test (suite, "a sample of a large fleet is asked",
               test_a_sample_of_a_large_fleet_is_asked);
  CU_add_test (suite, "own state", test_own_state);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
