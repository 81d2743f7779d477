/* Suspected tasks that a daemon keeps for owners whose store accepts no writes. */
#include "src/entry/peers/kept-suspects.h"

#include <CUnit/Basic.h>

#define NOW_MS 100000
#define JOB "00000000000000c1"
#define TOO_OLD_MS 60000

/* Passes in a copy of JOB with N suspected tasks. */
static void
take (FbKeptSuspects *self, const char *job, uint64_t epoch, u_int n, uint64_t now_ms)
{
  fb_work_suspect tasks[] = { { .step = 1 }, { .step = 2 } };
  const fb_kept_job kept
      = { .job = (char *) job, .epoch = epoch, .suspects = { .tasks = { n, tasks } } };
  fb_kept_suspects_take (self, &kept, now_ms);
}

/* Returns: the number of suspected tasks that SELF reports at NOW_MS, over all jobs. */
static guint
told_n (const FbKeptSuspects *self, uint64_t now_ms)
{
  fb_told_kept told;
  guint n = 0;
  fb_kept_suspects_tell (self, now_ms, &told);
  for (u_int i = 0; i < told.jobs.jobs_len; i++)
    n += told.jobs.jobs_val[i].suspects.tasks.tasks_len;
  xdr_free ((xdrproc_t) xdr_fb_told_kept, (char *) &told);
  return n;
}

/* Guards against: suspicions that an owner could not store are lost with the owner. */
static void
test_a_copy_is_told (void)
{
  FbKeptSuspects *self = fb_kept_suspects_new ();
  take (self, JOB, 3, 1, NOW_MS);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS), 1);
  take (self, JOB, 3, 2, NOW_MS);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS), 2);
  fb_kept_suspects_free (self);
}

/* Guards against: a crash is counted for a task again after the task was cleared of it. */
static void
test_a_copy_that_is_stored_is_forgotten (void)
{
  FbKeptSuspects *self = fb_kept_suspects_new ();
  take (self, JOB, 3, 2, NOW_MS);
  take (self, JOB, 4, 0, NOW_MS);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS), 0);
  take (self, JOB, 4, 2, NOW_MS);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS + TOO_OLD_MS), 0);
  fb_kept_suspects_free (self);
}

/* Guards against: a replaced owner overwrites the copy of its successor. */
static void
test_an_owner_before_changes_nothing (void)
{
  FbKeptSuspects *self = fb_kept_suspects_new ();
  take (self, JOB, 4, 2, NOW_MS);
  take (self, JOB, 3, 0, NOW_MS);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS), 2);
  fb_kept_suspects_free (self);
}

/* Guards against: the copies of many jobs exhaust the memory of a daemon. */
static void
test_it_is_bounded (void)
{
  FbKeptSuspects *self = fb_kept_suspects_new ();
  for (guint i = 0; i < 2 * FB_WORK_MAX_KEPT; i++)
    {
      g_autofree char *job = g_strdup_printf ("%016x", i);
      take (self, job, 3, 1, NOW_MS);
    }
  CU_ASSERT_EQUAL (told_n (self, NOW_MS), FB_WORK_MAX_KEPT);
  fb_kept_suspects_free (self);
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("kept-suspects", NULL, NULL);
  CU_add_test (suite, "a copy is told", test_a_copy_is_told);
  CU_add_test (suite, "a copy that is stored is forgotten",
               test_a_copy_that_is_stored_is_forgotten);
  CU_add_test (suite, "an owner before changes nothing", test_an_owner_before_changes_nothing);
  CU_add_test (suite, "it is bounded", test_it_is_bounded);
  CU_basic_run_tests ();
  unsigned failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed > 0;
}
