/* Crashes that must not be lost when the owner of a pool is replaced: what daemons remember of
 * starts and crashes for the next owner, and what that owner requests from them.
 *
 * Usage: test-lost-crashes CASE */
#include "src/entry/peers/recent-starts.h"

#include <CUnit/Basic.h>
#include <stdio.h>

#define NOW_MS 100000
/* Owners poll each worker several times in this time. */
#define SILENT_MS 2000
#define TASK "00000000000000c1.0.0.0"
#define OTHER_TASK "00000000000000c1.0.0.1"

/* ---- starts that a daemon reports ---------------------------------------------------- */

/* Returns: the number of starts that SELF reports at NOW_MS. */
static guint
reported_starts_n (const FbRecentStarts *self, uint64_t now_ms)
{
  fb_recent_starts_reply reply;
  fb_recent_starts_list (self, TRUE, now_ms, &reply);
  guint n = reply.starts.starts_len;
  g_free (reply.starts.starts_val);
  return n;
}

/* A worker may crash while no daemon has an order for it, as between two owners. A daemon that has
 * had no answer of it for SILENT_MS cannot know whether the run goes on. */
static void
test_start_on_worker_without_orders (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_starts_sent (self, "w1", "a", TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", TASK, 1, FB_ORDER_DONE, NOW_MS);
  CU_ASSERT_EQUAL (reported_starts_n (self, NOW_MS + SILENT_MS), 1);
  fb_recent_starts_free (self);
}

/* A start on a crashed worker must not be forgotten because many tasks start on running workers. */
static void
test_running_workers_evict_no_others (void)
{
  FbRecentStarts *self = fb_recent_starts_new ();
  fb_recent_starts_sent (self, "w1", "a", OTHER_TASK, 1, NOW_MS);
  fb_recent_starts_answered (self, "w1", OTHER_TASK, 1, FB_ORDER_UNKNOWN, NOW_MS);
  for (guint i = 0; i < FB_WORK_MAX_STARTS; i++)
    {
      fb_recent_starts_sent (self, "w2", "a", TASK, i, NOW_MS);
      fb_recent_starts_answered (self, "w2", TASK, i, FB_ORDER_DONE, NOW_MS);
    }
  CU_ASSERT_EQUAL (reported_starts_n (self, NOW_MS), 1);
  fb_recent_starts_free (self);
}

static const struct
{
  const char *name;
  CU_TestFunc run;
} cases[] = {
  { "start-on-a-worker-without-orders", test_start_on_worker_without_orders },
  { "running-workers-evict-no-others", test_running_workers_evict_no_others },
};

int
main (int argc, char **argv)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("lost crashes", NULL, NULL);
  for (guint i = 0; argc == 2 && i < G_N_ELEMENTS (cases); i++)
    {
      if (g_str_equal (argv[1], cases[i].name))
        CU_add_test (suite, cases[i].name, cases[i].run);
    }
  CU_basic_run_tests ();
  unsigned run_n = CU_get_number_of_tests_run ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  if (run_n == 0)
    fprintf (stderr, "usage: test-lost-crashes CASE\n");
  return run_n == 0 ? 2 : failures > 0;
}
