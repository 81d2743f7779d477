/* Recent starts that a daemon keeps for the next owner of a pool. */
#include "src/entry/peers/recent-starts.h"

#include <CUnit/Basic.h>

#define NOW_MS 100000
#define TASK "00000000000000c1.0.0.0"
#define OTHER_TASK "00000000000000c1.0.0.1"

/* Returns: the number of starts that SELF reports at NOW_MS. FIRST: set to the first of them. */
static guint
reported_n (const FbRecentStarts *self, uint64_t now_ms, fb_recent_start *first)
{
  fb_recent_starts_reply reply;
  fb_recent_starts_list (self, FALSE, now_ms, &reply);
  guint n = reply.starts.starts_len;
  if (n > 0 && first != NULL)
    *first = reply.starts.starts_val[0];
  g_free (reply.starts.starts_val);
  return n;
}

static void
answer_poll (FbRecentStarts *self, FbOrderResult result, const FbReportedRun *run,
             const FbReportedEnd *end)
{
  g_autoptr (GArray) running = g_array_new (FALSE, TRUE, sizeof (FbReportedRun));
  g_autoptr (GArray) finished = g_array_new (FALSE, TRUE, sizeof (FbReportedEnd));
  if (run != NULL)
    g_array_append_val (running, *run);
  if (end != NULL)
    g_array_append_val (finished, *end);
  const FbPollAnswer answer = { .result = result, .running = running, .finished = finished };
  fb_recent_starts_polled (self, "w1", &answer, NOW_MS);
}

/* A start on a crashed worker must not be lost together with its owner. */
static void
test_start_on_unresponsive_worker (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_start first = { .worker = "", .address = "", .task = "" };
  fb_recent_starts_sent (self, "w1", "10.0.0.1:7", TASK, 3, NOW_MS);
  fb_recent_starts_answered (self, "w1", TASK, 3, FB_ORDER_DONE, NOW_MS);
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS, NULL), 0);
  answer_poll (self, FB_ORDER_UNKNOWN, NULL, NULL);
  CU_ASSERT_EQUAL_FATAL (reported_n (self, NOW_MS, &first), 1);
  CU_ASSERT_STRING_EQUAL (first.worker, "w1");
  CU_ASSERT_STRING_EQUAL (first.address, "10.0.0.1:7");
  CU_ASSERT_STRING_EQUAL (first.task, TASK);
  CU_ASSERT_EQUAL (first.attempt, 3);
  CU_ASSERT_TRUE (first.confirmed);
  fb_recent_starts_free (self);
}

/* A worker that returned under another id between two owners is polled by nobody. */
static void
test_start_on_unlisted_worker (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_start first = { .worker = "", .address = "", .task = "" };
  fb_recent_starts_sent (self, "w1", "a", TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", TASK, 1, FB_ORDER_DONE, NOW_MS);
  fb_recent_starts_unlisted (self, "w2");
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS, NULL), 0);
  fb_recent_starts_unlisted (self, "w1");
  CU_ASSERT_EQUAL_FATAL (reported_n (self, NOW_MS, &first), 1);
  CU_ASSERT_TRUE (first.confirmed);
  const FbReportedRun run = { .task = (char *) TASK, .attempt = 1 };
  answer_poll (self, FB_ORDER_DONE, &run, NULL);
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS, NULL), 0);
  fb_recent_starts_free (self);
}

/* An unanswered start must not be reported as confirmed by the worker. */
static void
test_unanswered_start (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_start first = { .worker = "", .address = "", .task = "" };
  const FbReportedRun run = { .task = (char *) TASK, .attempt = 1 };
  fb_recent_starts_sent (self, "w1", "a", TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", TASK, 1, FB_ORDER_UNKNOWN, NOW_MS);
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS, &first), 1);
  CU_ASSERT_FALSE (first.confirmed);
  answer_poll (self, FB_ORDER_DONE, &run, NULL);
  answer_poll (self, FB_ORDER_OTHER_INCARNATION, NULL, NULL);
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS, &first), 1);
  CU_ASSERT_TRUE (first.confirmed);
  fb_recent_starts_free (self);
}

/* A job must not fail because of runs that had ended, or never began, before the crash. */
static void
test_ended_start_is_not_reported (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  const FbReportedEnd end = { .number = 1, .task = (char *) TASK, .attempt = 2 };
  fb_recent_starts_sent (self, "w1", "a", TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", TASK, 1, FB_ORDER_NO_CAPACITY, NOW_MS);
  fb_recent_starts_sent (self, "w1", "a", TASK, 2, NOW_MS);
  answer_poll (self, FB_ORDER_DONE, NULL, &end);
  fb_recent_starts_sent (self, "w1", "a", OTHER_TASK, 1, NOW_MS);
  answer_poll (self, FB_ORDER_UNKNOWN, NULL, NULL);
  fb_recent_start first = { .worker = "", .address = "", .task = "" };
  CU_ASSERT_EQUAL_FATAL (reported_n (self, NOW_MS, &first), 1);
  CU_ASSERT_STRING_EQUAL (first.task, OTHER_TASK);
  fb_recent_starts_answered (self, "w1", OTHER_TASK, 1, FB_ORDER_OTHER_INCARNATION, NOW_MS);
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS, NULL), 0);
  fb_recent_starts_free (self);
}

/* A confirmed start must not expire before the next owner requests it. */
static void
test_confirmed_start_is_reported_longer (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_start first = { .worker = "", .address = "", .task = "" };
  fb_recent_starts_sent (self, "w1", "a", TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", TASK, 1, FB_ORDER_DONE, NOW_MS);
  fb_recent_starts_sent (self, "w1", "a", OTHER_TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", OTHER_TASK, 1, FB_ORDER_UNKNOWN, NOW_MS);
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS + 5000, NULL), 2);
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS + 20000, &first), 1);
  CU_ASSERT_STRING_EQUAL (first.task, TASK);
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS + 60000, NULL), 0);
  fb_recent_starts_free (self);
}

/* A run whose end was reported to another daemon must not be considered to be running. */
static void
test_unlisted_run_has_ended (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_starts_sent (self, "w1", "a", TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", TASK, 1, FB_ORDER_DONE, NOW_MS);
  answer_poll (self, FB_ORDER_DONE, NULL, NULL);
  answer_poll (self, FB_ORDER_UNKNOWN, NULL, NULL);
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS, NULL), 1);
  answer_poll (self, FB_ORDER_DONE, NULL, NULL);
  answer_poll (self, FB_ORDER_UNKNOWN, NULL, NULL);
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS, NULL), 0);
  fb_recent_starts_free (self);
}

/* A call that was not sent, as its worker's host is down, must not hide a crash. */
static void
test_call_that_was_not_sent (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_starts_sent (self, "w1", "a", TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", TASK, 1, FB_ORDER_DONE, NOW_MS);
  answer_poll (self, FB_ORDER_UNKNOWN, NULL, NULL);
  answer_poll (self, FB_ORDER_NOT_DONE, NULL, NULL);
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS, NULL), 1);
  fb_recent_starts_free (self);
}

/* Starts whose runs have ended must not evict others. */
static void
test_ended_starts_evict_no_others (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_starts_sent (self, "w1", "a", OTHER_TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", OTHER_TASK, 1, FB_ORDER_DONE, NOW_MS);
  for (guint i = 1; i < 3 * FB_WORK_MAX_STARTS; i++)
    {
      fb_recent_starts_sent (self, "w2", "a", TASK, i, NOW_MS);
      fb_recent_starts_answered (self, "w2", TASK, i, FB_ORDER_PAST_DEADLINE, NOW_MS);
    }
  answer_poll (self, FB_ORDER_UNKNOWN, NULL, NULL);
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS, NULL), 1);
  fb_recent_starts_free (self);
}

/* The number of recorded starts is bounded, so that they do not exhaust the memory of a daemon. */
static void
test_oldest_start_is_evicted (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  for (guint i = 0; i < 3 * FB_WORK_MAX_STARTS; i++)
    {
      g_autofree char *worker = g_strdup_printf ("w%u", i % 7);
      fb_recent_starts_sent (self, worker, "a", TASK, i, NOW_MS);
      fb_recent_starts_answered (self, worker, TASK, i, FB_ORDER_UNKNOWN, NOW_MS);
    }
  fb_recent_start first = { .worker = "", .address = "", .task = "" };
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS, &first), FB_WORK_MAX_STARTS);
  CU_ASSERT_EQUAL (first.attempt, 2 * FB_WORK_MAX_STARTS);
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS + 60000, NULL), 0);
  fb_recent_starts_free (self);
}

int
main (void)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("recent starts", NULL, NULL);
  CU_add_test (suite, "a start on an unresponsive worker", test_start_on_unresponsive_worker);
  CU_add_test (suite, "a start on an unlisted worker", test_start_on_unlisted_worker);
  CU_add_test (suite, "an unanswered start", test_unanswered_start);
  CU_add_test (suite, "an ended start is not reported", test_ended_start_is_not_reported);
  CU_add_test (suite, "a confirmed start is reported longer",
               test_confirmed_start_is_reported_longer);
  CU_add_test (suite, "an unlisted run has ended", test_unlisted_run_has_ended);
  CU_add_test (suite, "a call that was not sent", test_call_that_was_not_sent);
  CU_add_test (suite, "ended starts evict no others", test_ended_starts_evict_no_others);
  CU_add_test (suite, "the oldest start is evicted", test_oldest_start_is_evicted);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
