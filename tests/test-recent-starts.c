/* The starts that a daemon remembers for the next owner of a pool. */
#include "src/entry/peers/recent-starts.h"

#include <CUnit/Basic.h>

#define NOW_MS 100000
#define TASK "00000000000000c1.0.0.0"
#define OTHER_TASK "00000000000000c1.0.0.1"

/* Returns: how many starts SELF tells of at NOW_MS; FIRST: the first of them. */
static guint
told_n (const FbRecentStarts *self, uint64_t now_ms, fb_recent_start *first)
{
  fb_recent_starts_reply told;
  fb_recent_starts_list (self, now_ms, &told);
  guint n = told.starts.starts_len;
  if (n > 0 && first != NULL)
    *first = told.starts.starts_val[0];
  g_free (told.starts.starts_val);
  return n;
}

static void
note_poll (FbRecentStarts *self, FbOrderResult result, const FbReportedRun *run,
           const FbReportedEnd *end)
{
  g_autoptr (GArray) running = g_array_new (FALSE, TRUE, sizeof (FbReportedRun));
  g_autoptr (GArray) finished = g_array_new (FALSE, TRUE, sizeof (FbReportedEnd));
  if (run != NULL)
    g_array_append_val (running, *run);
  if (end != NULL)
    g_array_append_val (finished, *end);
  const FbPollAnswer answer = { .result = result, .running = running, .finished = finished };
  fb_recent_starts_polled (self, "w1", &answer);
}

/* Guards against: a start at a worker that crashed is forgotten with its owner. */
static void
test_a_start_at_a_worker_that_fell_silent (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_start first = { .worker = "", .address = "", .task = "" };
  fb_recent_starts_sent (self, "w1", "10.0.0.1:7", TASK, 3, NOW_MS);
  fb_recent_starts_answered (self, "w1", TASK, 3, FB_ORDER_DONE);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS, NULL), 0);
  note_poll (self, FB_ORDER_UNKNOWN, NULL, NULL);
  CU_ASSERT_EQUAL_FATAL (told_n (self, NOW_MS, &first), 1);
  CU_ASSERT_STRING_EQUAL (first.worker, "w1");
  CU_ASSERT_STRING_EQUAL (first.address, "10.0.0.1:7");
  CU_ASSERT_STRING_EQUAL (first.task, TASK);
  CU_ASSERT_EQUAL (first.attempt, 3);
  CU_ASSERT_TRUE (first.seen);
  fb_recent_starts_free (self);
}

/* Guards against: a start without an answer is taken for one that the worker has seen. */
static void
test_a_start_without_an_answer (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_start first = { .worker = "", .address = "", .task = "" };
  const FbReportedRun run = { .task = (char *) TASK, .attempt = 1 };
  fb_recent_starts_sent (self, "w1", "a", TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", TASK, 1, FB_ORDER_UNKNOWN);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS, &first), 1);
  CU_ASSERT_FALSE (first.seen);
  note_poll (self, FB_ORDER_DONE, &run, NULL);
  note_poll (self, FB_ORDER_OTHER_INCARNATION, NULL, NULL);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS, &first), 1);
  CU_ASSERT_TRUE (first.seen);
  fb_recent_starts_free (self);
}

/* Guards against: a job is given up for runs that had ended, or never began, before the crash. */
static void
test_what_is_over_is_not_told (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  const FbReportedEnd end = { .number = 1, .task = (char *) TASK, .attempt = 2 };
  fb_recent_starts_sent (self, "w1", "a", TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", TASK, 1, FB_ORDER_NO_CAPACITY);
  fb_recent_starts_sent (self, "w1", "a", TASK, 2, NOW_MS);
  note_poll (self, FB_ORDER_DONE, NULL, &end);
  fb_recent_starts_sent (self, "w1", "a", OTHER_TASK, 1, NOW_MS);
  note_poll (self, FB_ORDER_UNKNOWN, NULL, NULL);
  fb_recent_start first = { .worker = "", .address = "", .task = "" };
  CU_ASSERT_EQUAL_FATAL (told_n (self, NOW_MS, &first), 1);
  CU_ASSERT_STRING_EQUAL (first.task, OTHER_TASK);
  fb_recent_starts_answered (self, "w1", OTHER_TASK, 1, FB_ORDER_OTHER_INCARNATION);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS, NULL), 0);
  fb_recent_starts_free (self);
}

/* Guards against: a start that was seen is forgotten before the next owner comes. */
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

/* Guards against: a run whose end another daemon heard is taken for one that still runs. */
static void
test_what_is_not_listed_any_more_is_over (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_starts_sent (self, "w1", "a", TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", TASK, 1, FB_ORDER_DONE);
  note_poll (self, FB_ORDER_DONE, NULL, NULL);
  note_poll (self, FB_ORDER_UNKNOWN, NULL, NULL);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS, NULL), 1);
  note_poll (self, FB_ORDER_DONE, NULL, NULL);
  note_poll (self, FB_ORDER_UNKNOWN, NULL, NULL);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS, NULL), 0);
  fb_recent_starts_free (self);
}

/* Guards against: starts that have ended take the place of those that have not. */
static void
test_what_is_over_takes_no_place (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_starts_sent (self, "w1", "a", OTHER_TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", OTHER_TASK, 1, FB_ORDER_DONE);
  for (guint i = 1; i < 3 * FB_WORK_MAX_STARTS; i++)
    {
      fb_recent_starts_sent (self, "w2", "a", TASK, i, NOW_MS);
      fb_recent_starts_answered (self, "w2", TASK, i, FB_ORDER_PAST_DEADLINE);
    }
  note_poll (self, FB_ORDER_UNKNOWN, NULL, NULL);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS, NULL), 1);
  fb_recent_starts_free (self);
}

/* Guards against: the memory of a daemon fills with starts. */
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
