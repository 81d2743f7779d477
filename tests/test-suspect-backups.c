/* What a daemon keeps for owners whose store takes nothing. */
#include "src/entry/peers/suspect-backups.h"

#include <CUnit/Basic.h>

#define NOW_MS 100000
#define JOB "00000000000000c1"
#define TOO_OLD_MS 60000

/* Takes a copy of JOB with N tasks. */
static void
take (FbSuspectBackups *self, const char *job, uint64_t epoch, u_int n, uint64_t now_ms)
{
  fb_work_suspect tasks[] = { { .step = 1 }, { .step = 2 } };
  const fb_suspects_backup kept
      = { .job = (char *) job, .epoch = epoch, .suspects = { .tasks = { n, tasks } } };
  fb_suspect_backups_put (self, &kept, now_ms);
}

/* Returns: how many tasks of all jobs SELF tells of at NOW_MS. */
static guint
told_n (const FbSuspectBackups *self, uint64_t now_ms)
{
  fb_suspect_backups_reply told;
  guint n = 0;
  fb_suspect_backups_list (self, now_ms, &told);
  for (u_int i = 0; i < told.jobs.jobs_len; i++)
    n += told.jobs.jobs_val[i].suspects.tasks.tasks_len;
  xdr_free ((xdrproc_t) xdr_fb_suspect_backups_reply, (char *) &told);
  return n;
}

/* Guards against: what an owner could not store is lost with it. */
static void
test_a_copy_is_told (void)
{
  FbSuspectBackups *self = fb_suspect_backups_new ();
  take (self, JOB, 3, 1, NOW_MS);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS), 1);
  take (self, JOB, 3, 2, NOW_MS);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS), 2);
  fb_suspect_backups_free (self);
}

/* Guards against: a crash that a task was cleared of is held against it again. */
static void
test_a_copy_that_is_stored_is_forgotten (void)
{
  FbSuspectBackups *self = fb_suspect_backups_new ();
  take (self, JOB, 3, 2, NOW_MS);
  take (self, JOB, 4, 0, NOW_MS);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS), 0);
  take (self, JOB, 4, 2, NOW_MS);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS + TOO_OLD_MS), 0);
  fb_suspect_backups_free (self);
}

/* Guards against: a replaced owner takes back what its successor has handed over. */
static void
test_an_owner_before_changes_nothing (void)
{
  FbSuspectBackups *self = fb_suspect_backups_new ();
  take (self, JOB, 4, 2, NOW_MS);
  take (self, JOB, 3, 0, NOW_MS);
  CU_ASSERT_EQUAL (told_n (self, NOW_MS), 2);
  fb_suspect_backups_free (self);
}

/* Guards against: jobs without end fill the memory of a daemon. */
static void
test_it_is_bounded (void)
{
  FbSuspectBackups *self = fb_suspect_backups_new ();
  for (guint i = 0; i < 2 * FB_WORK_MAX_SUSPECT_BACKUPS; i++)
    {
      g_autofree char *job = g_strdup_printf ("%016x", i);
      take (self, job, 3, 1, NOW_MS);
    }
  CU_ASSERT_EQUAL (told_n (self, NOW_MS), FB_WORK_MAX_SUSPECT_BACKUPS);
  fb_suspect_backups_free (self);
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
