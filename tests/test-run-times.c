/* Tests of the predictions of run times (src/work/run-times.c). */
#include "internal/run-times.h"

#include <CUnit/Basic.h>
#include <math.h>
#include <stdio.h>

#define QUICK "quick"

/* Guards against predictions from the few runs that happen to end first: they are the short ones.
 */
static void
test_estimate_until_enough_runs (void)
{
  FbRunTimes *times = fb_run_times_new ();
  CU_ASSERT_EQUAL (fb_run_times_predict (times, QUICK, 0, 500), 500);
  for (guint i = 0; i < FB_RUN_TIMES_MIN_RUNS - 1; i++)
    fb_run_times_add (times, QUICK, 0, 500, 2000);
  CU_ASSERT_EQUAL (fb_run_times_predict (times, QUICK, 0, 500), 500);
  CU_ASSERT_EQUAL (fb_run_times_spread_ms (times, QUICK, 0), 0);
  fb_run_times_add (times, QUICK, 0, 500, 2000);
  uint32_t predicted_ms = fb_run_times_predict (times, QUICK, 0, 500);
  CU_ASSERT_TRUE (predicted_ms > 1200 && predicted_ms < 2000); /* still drawn to the estimate */
  CU_ASSERT_EQUAL (fb_run_times_predict (times, QUICK, 1, 500), 500);
  CU_ASSERT_EQUAL (fb_run_times_predict (times, "batch", 0, 500), 500);
  fb_run_times_free (times);
}

/* Adds the runs of JOBS_N jobs of 10 tasks that take RUN_MS, plus SHARE of the estimate. Estimates
 * are off by up to 0.9. */
static void
add_jobs (FbRunTimes *times, guint jobs_n, uint32_t run_ms, double share, guint straggler_every)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (7);
  guint runs_n = 0;
  for (guint i = 0; i < jobs_n; i++)
    {
      uint32_t estimate_ms = (uint32_t) (560 * g_rand_double_range (rand, 0.1, 1.9));
      for (guint j = 0; j < 10; j++)
        {
          double duration_ms
              = (run_ms + share * estimate_ms) * g_rand_double_range (rand, 0.75, 1.25);
          if (straggler_every > 0 && ++runs_n % straggler_every == 0)
            duration_ms *= 7;
          fb_run_times_add (times, QUICK, 0, estimate_ms, (uint32_t) duration_ms);
        }
    }
}

static void
check_prediction (const FbRunTimes *times, uint32_t estimate_ms, double expected_ms, double error)
{
  uint32_t predicted_ms = fb_run_times_predict (times, QUICK, 0, estimate_ms);
  if (fabs (predicted_ms - expected_ms) > error * expected_ms)
    printf ("\nestimate %u: predicted %u instead of %.0f\n", estimate_ms, predicted_ms,
            expected_ms);
  CU_ASSERT_TRUE (fabs (predicted_ms - expected_ms) <= error * expected_ms);
}

/* Guards against estimates that say nothing: all tasks take 560 ms. */
static void
test_estimates_off_by_nine_tenths (void)
{
  FbRunTimes *times = fb_run_times_new ();
  add_jobs (times, 40, 560, 0, 0);
  check_prediction (times, 56, 560, 0.15);
  check_prediction (times, 560, 560, 0.1);
  check_prediction (times, 1064, 560, 0.15);
  uint32_t spread_ms = fb_run_times_spread_ms (times, QUICK, 0);
  CU_ASSERT_TRUE (spread_ms > 50 && spread_ms < 250);
  fb_run_times_free (times);
}

/* Guards against a prediction that ignores estimates which are right, or wrong by a factor. */
static void
test_proportional_run_times (void)
{
  FbRunTimes *times = fb_run_times_new ();
  add_jobs (times, 40, 0, 2, 0);
  check_prediction (times, 100, 200, 0.3);
  check_prediction (times, 560, 1120, 0.1);
  check_prediction (times, 1000, 2000, 0.1);
  fb_run_times_free (times);
}

/* One task in 33 takes seven times as long. Guards against a prediction that these raise by a
 * fifth. */
static void
test_stragglers (void)
{
  FbRunTimes *times = fb_run_times_new ();
  add_jobs (times, 100, 560, 0, 33);
  check_prediction (times, 560, 560, 0.13);
  fb_run_times_free (times);
}

/* Run times change to three times as long. Guards against a memory that follows too late. */
static void
test_change (void)
{
  FbRunTimes *times = fb_run_times_new ();
  add_jobs (times, 200, 560, 0, 0);
  add_jobs (times, 400, 1680, 0, 0);
  check_prediction (times, 560, 1680, 0.2);
  fb_run_times_free (times);
}

/* Guards against predictions outside any sensible range at the ends of the line. */
static void
test_limits (void)
{
  FbRunTimes *times = fb_run_times_new ();
  for (guint i = 0; i < 1000; i++)
    fb_run_times_add (times, QUICK, 0, 1000 + i % 10, 1000 + 100 * (i % 10));
  CU_ASSERT_TRUE (fb_run_times_predict (times, QUICK, 0, 1) <= 12000);
  CU_ASSERT_TRUE (fb_run_times_predict (times, QUICK, 0, 100000) <= 800000);
  CU_ASSERT_TRUE (fb_run_times_predict (times, QUICK, 0, G_MAXUINT32) > 0);
  for (guint i = 0; i < 100; i++)
    fb_run_times_add (times, "none", 0, 0, 700);
  uint32_t predicted_ms = fb_run_times_predict (times, "none", 0, 0);
  CU_ASSERT_TRUE (predicted_ms > 600 && predicted_ms <= 700);
  for (guint i = 0; i < 100; i++)
    fb_run_times_add (times, "zero", 0, 0, 0);
  CU_ASSERT_EQUAL (fb_run_times_predict (times, "zero", 0, 0), 0);
  fb_run_times_free (times);
}

/* Guards against a table that grows with the names that callers choose. */
static void
test_number_of_keys_is_bounded (void)
{
  FbRunTimes *times = fb_run_times_new ();
  for (guint i = 0; i < FB_RUN_TIMES_MIN_RUNS; i++)
    {
      fb_run_times_add (times, "kept", 0, 500, 2000);
      fb_run_times_add (times, "dropped", 0, 500, 2000);
    }
  for (uint32_t i = 0; i < FB_RUN_TIMES_MAX_KEYS - 1; i++)
    {
      fb_run_times_add (times, "many", i, 500, 2000);
      fb_run_times_add (times, "kept", 0, 500, 2000);
    }
  CU_ASSERT_EQUAL (fb_run_times_keys_n (times), FB_RUN_TIMES_MAX_KEYS);
  CU_ASSERT_TRUE (fb_run_times_predict (times, "kept", 0, 500) > 1200);
  CU_ASSERT_EQUAL (fb_run_times_predict (times, "dropped", 0, 500), 500);
  fb_run_times_free (times);
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("run times", NULL, NULL);
  CU_add_test (suite, "the estimate until enough runs are known", test_estimate_until_enough_runs);
  CU_add_test (suite, "estimates off by nine tenths", test_estimates_off_by_nine_tenths);
  CU_add_test (suite, "proportional run times", test_proportional_run_times);
  CU_add_test (suite, "stragglers", test_stragglers);
  CU_add_test (suite, "a change", test_change);
  CU_add_test (suite, "limits of a prediction", test_limits);
  CU_add_test (suite, "the number of keys is bounded", test_number_of_keys_is_bounded);
  CU_basic_set_mode (CU_BRM_NORMAL);
  CU_basic_run_tests ();
  guint failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
