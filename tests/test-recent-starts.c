/* Recent starts that a daemon remembers for the next owner of a pool. */
#include "src/entry/peers/recent-starts.h"

#include <CUnit/Basic.h>

#define NOW_MS 100000
#define TASK "00000000000000c1.0.0.0"
#define OTHER_TASK "00000000000000c1.0.0.1"

/* Returns: the number of starts that SELF reports at NOW_MS. FIRST: set to the first of them. */
static guint
told_n (const FbRecentStarts *self, uint64_t now_ms, fb_recent_start *first)
{
  fb_told_starts told;
  fb_recent_starts_tell (self, now_ms, &told);
  guint n = told.starts.starts_len;
  if (n > 0 && first != NULL)
    *first = told.starts.starts_val[0];
  g_free (told.starts.starts_val);
  return n;
}

static void
look (FbRecentStarts *self, FbOrderResult result, const FbRunSeen *run, const FbEndSeen *end)
{
  g_autoptr (GArray) running = g_array_new (FALSE, TRUE, sizeof (FbRunSeen));
  g_autoptr (GArray) finished = g_array_new (FALSE, TRUE, sizeof (FbEndSeen));
  if (run != NULL)
    g_array_append_val (running, *run);
  if (end != NULL)
    g_array_append_val (finished, *end);
  const FbLookAnswer answer = { .result = result, .running = running, .finished = finished };
  fb_recent_starts_looked (self, "w1", &answer);
}

/* Guards against: a start on a crashed worker is forgotten when its owner is lost. */
static void
test_a_start_at_a_worker_that_fell_silent (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_start first = { .worker = "", .address = "", .task = "" };
  fb_recent_starts_sent (self, "w1", "10.0.0.1:7", TASK, 3, NOW_MS);
  fb_recent_starts_answered (self, "w1", TASK, 3, FB_ORDER_DONE);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS, NULL), 0);
  look (self, FB_ORDER_UNKNOWN, NULL, NULL);
  CU_ASSERT_EQUAL_FATAL (told_n (self, NOW_MS, &first), 1);
  CU_ASSERT_STRING_EQUAL (first.worker, "w1");
  CU_ASSERT_STRING_EQUAL (first.address, "10.0.0.1:7");
  CU_ASSERT_STRING_EQUAL (first.task, TASK);
  CU_ASSERT_EQUAL (first.attempt, 3);
  CU_ASSERT_TRUE (first.seen);
  fb_recent_starts_free (self);
}

/* Guards against: an unanswered start is reported as seen by the worker. */
static void
test_a_start_without_an_answer (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_start first = { .worker = "", .address = "", .task = "" };
  const FbRunSeen run = { .task = (char *) TASK, .attempt = 1 };
  fb_recent_starts_sent (self, "w1", "a", TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", TASK, 1, FB_ORDER_UNKNOWN);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS, &first), 1);
  CU_ASSERT_FALSE (first.seen);
  look (self, FB_ORDER_DONE, &run, NULL);
  look (self, FB_ORDER_OTHER_LIFE, NULL, NULL);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS, &first), 1);
  CU_ASSERT_TRUE (first.seen);
  fb_recent_starts_free (self);
}

/* Guards against: a job is failed for runs that had ended, or never began, before the crash. */
static void
test_what_is_over_is_not_told (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  const FbEndSeen end = { .number = 1, .task = (char *) TASK, .attempt = 2 };
  fb_recent_starts_sent (self, "w1", "a", TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", TASK, 1, FB_ORDER_NO_ROOM);
  fb_recent_starts_sent (self, "w1", "a", TASK, 2, NOW_MS);
  look (self, FB_ORDER_DONE, NULL, &end);
  fb_recent_starts_sent (self, "w1", "a", OTHER_TASK, 1, NOW_MS);
  look (self, FB_ORDER_UNKNOWN, NULL, NULL);
  fb_recent_start first = { .worker = "", .address = "", .task = "" };
  CU_ASSERT_EQUAL_FATAL (told_n (self, NOW_MS, &first), 1);
  CU_ASSERT_STRING_EQUAL (first.task, OTHER_TASK);
  fb_recent_starts_answered (self, "w1", OTHER_TASK, 1, FB_ORDER_OTHER_LIFE);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS, NULL), 0);
  fb_recent_starts_free (self);
}

/* Guards against: a start that was seen expires before the next owner asks. */
static void
test_what_was_seen_is_told_later (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_start first = { .worker = "", .address = "", .task = "" };
  fb_recent_starts_sent (self, "w1", "a", TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", TASK, 1, FB_ORDER_DONE);
  fb_recent_starts_sent (self, "w1", "a", OTHER_TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", OTHER_TASK, 1, FB_ORDER_UNKNOWN);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS + 5000, NULL), 2);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS + 20000, &first), 1);
  CU_ASSERT_STRING_EQUAL (first.task, TASK);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS + 60000, NULL), 0);
  fb_recent_starts_free (self);
}

/* Guards against: a run whose end was reported to another daemon is taken for one that still
 * runs. */
static void
test_what_is_not_listed_any_more_is_over (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_starts_sent (self, "w1", "a", TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", TASK, 1, FB_ORDER_DONE);
  look (self, FB_ORDER_DONE, NULL, NULL);
  look (self, FB_ORDER_UNKNOWN, NULL, NULL);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS, NULL), 1);
  look (self, FB_ORDER_DONE, NULL, NULL);
  look (self, FB_ORDER_UNKNOWN, NULL, NULL);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS, NULL), 0);
  fb_recent_starts_free (self);
}

/* Guards against: starts that are over displace those that are not. */
static void
test_what_is_over_takes_no_place (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_starts_sent (self, "w1", "a", OTHER_TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", OTHER_TASK, 1, FB_ORDER_DONE);
  for (guint i = 1; i < 3 * FB_WORK_MAX_STARTS; i++)
    {
      fb_recent_starts_sent (self, "w2", "a", TASK, i, NOW_MS);
      fb_recent_starts_answered (self, "w2", TASK, i, FB_ORDER_LATE);
    }
  look (self, FB_ORDER_UNKNOWN, NULL, NULL);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS, NULL), 1);
  fb_recent_starts_free (self);
}

/* Guards against: remembered starts exhaust the memory of a daemon. */
static void
test_the_oldest_goes (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  for (guint i = 0; i < 3 * FB_WORK_MAX_STARTS; i++)
    {
      g_autofree char *worker = g_strdup_printf ("w%u", i % 7);
      fb_recent_starts_sent (self, worker, "a", TASK, i, NOW_MS);
      fb_recent_starts_answered (self, worker, TASK, i, FB_ORDER_UNKNOWN);
    }
  fb_recent_start first = { .worker = "", .address = "", .task = "" };
  CU_ASSERT_EQUAL (told_n (self, NOW_MS, &first), FB_WORK_MAX_STARTS);
  CU_ASSERT_EQUAL (first.attempt, 2 * FB_WORK_MAX_STARTS);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS + 60000, NULL), 0);
  fb_recent_starts_free (self);
}

int
main (void)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("recent starts", NULL, NULL);
  CU_add_test (suite, "a start at a worker that fell silent",
               test_a_start_at_a_worker_that_fell_silent);
  CU_add_test (suite, "a start without an answer", test_a_start_without_an_answer);
  CU_add_test (suite, "what is over is not told", test_what_is_over_is_not_told);
  CU_add_test (suite, "what was seen is told later", test_what_was_seen_is_told_later);
  CU_add_test (suite, "what is not listed any more is over",
               test_what_is_not_listed_any_more_is_over);
  CU_add_test (suite, "what is over takes no place", test_what_is_over_takes_no_place);
  CU_add_test (suite, "the oldest goes", test_the_oldest_goes);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
