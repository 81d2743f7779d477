/* Occurrences of a scheduled job: their order, and the cost of finding one. */
#include "internal/pool-private.h"

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <time.h>

#define FEW 4000
#define MANY 32000
#define MEASUREMENTS_N 3

static FbPoolJob *
new_job (void)
{
  FbPoolJob *job = g_new0 (FbPoolJob, 1);
  job->occurrences = g_ptr_array_new ();
  job->record.spec.occurrences = MANY + 1;
  job->record.spec.steps.steps_len = 1;
  job->record.spec.steps.steps_val = calloc (1, sizeof (fb_work_step));
  job->record.spec.steps.steps_val[0].count = 1;
  return job;
}

static void
test_order (void)
{
  static const uint32_t numbers[] = { 7, 3, 9, 0, 5 };
  static const uint32_t sorted[] = { 0, 3, 5, 7, 9 };
  FbPoolJob *job = new_job ();
  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    CU_ASSERT_EQUAL (fb_pool_job_occurrence (job, numbers[i])->number, numbers[i]);
  CU_ASSERT_EQUAL_FATAL (job->occurrences->len, G_N_ELEMENTS (sorted));
  for (guint i = 0; i < G_N_ELEMENTS (sorted); i++)
    {
      CU_ASSERT_EQUAL (((FbPoolOccurrence *) job->occurrences->pdata[i])->number, sorted[i]);
      CU_ASSERT_PTR_EQUAL (fb_pool_job_occurrence (job, sorted[i]), job->occurrences->pdata[i]);
    }
  CU_ASSERT_PTR_NULL (fb_pool_job_occurrence (job, MANY + 1));
  fb_pool_job_free (job);
}

static double
cpu_us (void)
{
  struct timespec now;
  (void) clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double) now.tv_sec * 1e6 + (double) now.tv_nsec / 1e3;
}

/* Returns: the processor time for each of N occurrences that are created and found again. */
static double
cost_of_occurrences_us (uint32_t n)
{
  double least_us = G_MAXDOUBLE;
  for (guint k = 0; k < MEASUREMENTS_N; k++)
    {
      FbPoolJob *job = new_job ();
      double began_us = cpu_us ();
      /* As after a restart, the first occurrence is not among them. */
      for (uint32_t number = 1; number <= n; number++)
        (void) fb_pool_job_occurrence (job, number);
      for (uint32_t number = 1; number <= n; number++)
        (void) fb_pool_job_occurrence (job, number);
      least_us = MIN (least_us, (cpu_us () - began_us) / n);
      fb_pool_job_free (job);
    }
  return least_us;
}

/* Guards against a cost of takeovers that grows with the square of the occurrences. */
static void
test_cost_grows_with_the_occurrences (void)
{
  double few_us = cost_of_occurrences_us (FEW);
  double many_us = cost_of_occurrences_us (MANY);
  g_print ("%.2f us for each of %d occurrences, %.2f us of %d\n", few_us, FEW, many_us, MANY);
  CU_ASSERT_TRUE (many_us < 4 * few_us);
}

int
main (void)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("occurrences", NULL, NULL);
  CU_add_test (suite, "order", test_order);
  CU_add_test (suite, "cost grows with the occurrences", test_cost_grows_with_the_occurrences);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
