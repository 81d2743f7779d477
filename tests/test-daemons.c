/* The list of daemons, and which of them carries an order. */
#include "internal/codec.h"
#include "src/entry/peers/relay.h"

#include <CUnit/Basic.h>

static GPtrArray *
daemons_from (const char *const *names)
{
  g_autoptr (GArray) rows = g_array_new (FALSE, TRUE, sizeof (FbPartitionOwner));
  for (; *names != NULL; names++)
    {
      FbPartitionOwner row = { .member = (char *) *names };
      g_array_append_val (rows, row);
    }
  GPtrArray *daemons = g_ptr_array_new_with_free_func (fb_daemon_free);
  fb_daemons_read (daemons, rows);
  return daemons;
}

/* A daemon is killed and starts again; the store still names the process before it.  Both are at
 * one address, and only one of them lives. */
static void
test_one_daemon_an_address (void)
{
  static const char *const names[] = { "10.0.0.1:7/z1/250/100",
                                       "10.0.0.2:7/z1/500/100",
                                       "10.0.0.1:7/z1/250/200",
                                       "10.0.0.2:7/z1/500/100",
                                       "no name of a daemon",
                                       "/z1/250/100",
                                       NULL };
  g_autoptr (GPtrArray) daemons = daemons_from (names);
  CU_ASSERT_EQUAL_FATAL (daemons->len, 2);
  const FbDaemon *first = daemons->pdata[0];
  CU_ASSERT_STRING_EQUAL (first->address, "10.0.0.1:7");
  CU_ASSERT_STRING_EQUAL (first->domain, "z1");
  CU_ASSERT_EQUAL (first->cpu_milli, 250);
  CU_ASSERT_EQUAL (first->started_us, 200);
}

/* All 33 daemons were killed and started again; the list that each read first named two of them, of
 * 0.12 of a core, so that each took itself for a strong one, and weak ones took the pools over and
 * lost them 0.5 to 1.3 s later.  A list counts that names the reader's address; the process before
 * it is as good, as its list is of before the loss.
 * Evidence: members=2 in the first list of each of 31 daemons, 31 in the second, 1.2 s later. */
static void
test_a_list_without_the_reader_does_not_count (void)
{
  static const char *const before[]
      = { "10.0.0.1:7/z1/120/100", "10.0.0.2:7/z1/120/100", "10.0.0.3:7/z1/500/100", NULL };
  static const char *const between[] = { "10.0.0.1:7/z1/120/100", "10.0.0.2:7/z1/120/100", NULL };
  g_autoptr (GPtrArray) old = daemons_from (before);
  g_autoptr (GPtrArray) partial = daemons_from (between);
  CU_ASSERT_FALSE (fb_daemons_hold (partial, "10.0.0.3:7"));
  CU_ASSERT_TRUE (fb_daemons_hold (old, "10.0.0.3:7"));
}

/* All daemons lost power and came back within 0.7 s; the group waited for the processes before them
 * until their time to live was over.  Each takes out the one before it, and nobody else. */
static void
test_only_the_process_before_is_dismissed (void)
{
  static const char own[] = "10.0.0.3:7/z1/500/200";
  CU_ASSERT_TRUE (fb_daemons_is_predecessor ("10.0.0.3:7/z1/500/100", own));
  CU_ASSERT_TRUE (fb_daemons_is_predecessor ("10.0.0.3:7/z1/250/100", own));
  CU_ASSERT_FALSE (fb_daemons_is_predecessor (own, own));
  CU_ASSERT_FALSE (fb_daemons_is_predecessor ("10.0.0.3:70/z1/500/100", own));
  CU_ASSERT_FALSE (fb_daemons_is_predecessor ("10.0.0.30:7/z1/500/100", own));
  CU_ASSERT_FALSE (fb_daemons_is_predecessor ("", own));
}

/* Of 300 daemons the store names 128 where the group has as many partitions: the others would carry
 * nothing, and a strong one among them own nothing.  The group deals out more until all are named;
 * few daemons make do with what there is. */
static void
test_each_daemon_has_a_partition (void)
{
  guint topics_n = 4;
  guint partitions_n = 4 * 32;
  for (guint reads = 0; reads < 3; reads++)
    {
      topics_n = fb_daemons_topics (topics_n, partitions_n, MIN (300, partitions_n));
      partitions_n = topics_n * 32;
    }
  CU_ASSERT_EQUAL (partitions_n, 512);
  CU_ASSERT_EQUAL (fb_daemons_topics (topics_n, partitions_n, 300), topics_n);
  CU_ASSERT_EQUAL (fb_daemons_topics (4, 128, 39), 4);
  CU_ASSERT_EQUAL (fb_daemons_topics (4, 0, 0), 4);
  CU_ASSERT_EQUAL (fb_daemons_topics (64, 2048, 2048), 64);
}

#define WORKER_N 350

static const char *
relay_of (const GPtrArray *daemons, guint worker, uint64_t now_ms)
{
  g_autofree char *id = g_strdup_printf ("i-%08x", worker * 2654435761U);
  const FbDaemon *daemon = fb_relay_choose (daemons, "z1", id, "10.0.0.9:7", now_ms);
  return daemon != NULL ? daemon->address : NULL;
}

/* Orders to 350 workers are spread by processor, within the workers' failure domain, and not to
 * the owner itself.  A relay stands still: its workers go to others, and only these move. */
static void
test_relays_share_the_workers (void)
{
  static const char *const names[]
      = { "10.0.0.1:7/z1/500/1", "10.0.0.2:7/z1/125/1", "10.0.0.3:7/z1/125/1",
          "10.0.0.4:7/z2/500/1", "10.0.0.9:7/z1/500/1", NULL };
  g_autoptr (GPtrArray) daemons = daemons_from (names);
  guint strong_n = 0;
  guint moved_n = 0;
  FbDaemon *resting = daemons->pdata[1];
  for (guint i = 0; i < WORKER_N; i++)
    {
      resting->rests_ms = 0;
      const char *before = relay_of (daemons, i, 1000);
      CU_ASSERT_STRING_NOT_EQUAL (before, "10.0.0.4:7");
      CU_ASSERT_STRING_NOT_EQUAL (before, "10.0.0.9:7");
      strong_n += g_str_equal (before, "10.0.0.1:7");
      resting->rests_ms = 2000;
      const char *after = relay_of (daemons, i, 1000);
      CU_ASSERT_STRING_NOT_EQUAL (after, resting->address);
      moved_n += !g_str_equal (before, after);
      CU_ASSERT (g_str_equal (before, after) || g_str_equal (before, resting->address));
    }
  /* Two thirds of the processor, within what chance gives. */
  CU_ASSERT (strong_n > WORKER_N * 6 / 10 && strong_n < WORKER_N * 73 / 100);
  CU_ASSERT (moved_n > WORKER_N / 10 && moved_n < WORKER_N / 4);
}

/* Nobody else lives in the workers' domain: the owner carries its orders itself. */
static void
test_no_relay_left (void)
{
  static const char *const names[] = { "10.0.0.4:7/z2/500/1", "10.0.0.9:7/z1/500/1", NULL };
  g_autoptr (GPtrArray) daemons = daemons_from (names);
  CU_ASSERT_PTR_NULL (relay_of (daemons, 1, 1000));
}

/* What a worker listed comes through a relay as it was. */
static void
test_a_carried_look (void)
{
  fb_reported_run run = { (char *) "j.0.0.1", 3, (char *) "c1" };
  fb_reported_end end = { 7, (char *) "j.0.0.2", 2, FB_END_LEASE_EXPIRED, (char *) "" };
  fb_peer_reply told = { .type = FB_REPLY_ORDER_RESULT };
  told.fb_peer_reply_u.order = (fb_relay_reply){ .result = FB_ORDER_DONE,
                                                 .clock_ms = 482113,
                                                 .incarnation = (char *) "",
                                                 .running = { 1, &run },
                                                 .finished = { 1, &end } };
  g_autoptr (GBytes) bytes = fb_codec_encode_peer_reply (&told);
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (bytes, &len);
  fb_peer_reply again;
  CU_ASSERT_TRUE_FATAL (fb_codec_decode_peer_reply (data, len, &again));
  FbPollAnswer answer;
  fb_relay_poll_answer (&again.fb_peer_reply_u.order, &answer);
  CU_ASSERT_EQUAL (answer.result, FB_ORDER_DONE);
  CU_ASSERT_EQUAL (answer.clock_ms, 482113);
  CU_ASSERT_EQUAL_FATAL (answer.running->len, 1);
  CU_ASSERT_EQUAL_FATAL (answer.finished->len, 1);
  CU_ASSERT_STRING_EQUAL (g_array_index (answer.running, FbReportedRun, 0).checkpoint, "c1");
  CU_ASSERT_EQUAL (g_array_index (answer.finished, FbReportedEnd, 0).how, FB_END_LEASE_EXPIRED);
  fb_poll_answer_clear (&answer);
  xdr_free ((xdrproc_t) xdr_fb_peer_reply, (char *) &again);
}

int
main (void)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("daemons", NULL, NULL);
  CU_add_test (suite, "one daemon an address", test_one_daemon_an_address);
  CU_add_test (suite, "a list without the reader does not count",
               test_a_list_without_the_reader_does_not_count);
  CU_add_test (suite, "only the process before is dismissed",
               test_only_the_process_before_is_dismissed);
  CU_add_test (suite, "each daemon has a partition", test_each_daemon_has_a_partition);
  CU_add_test (suite, "relays share the workers", test_relays_share_the_workers);
  CU_add_test (suite, "nobody to carry", test_no_relay_left);
  CU_add_test (suite, "a carried look", test_a_carried_look);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
