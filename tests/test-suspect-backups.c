/* Copies of crash suspects that a daemon holds for owners that cannot write to the store. */
#include "src/entry/peers/suspect-backups.h"

#include <CUnit/Basic.h>

#define NOW_MS 100000
#define JOB "00000000000000c1"
#define MAX_AGE_MS 60000

/* Adds a copy of JOB with N suspected tasks. */
static void
put_copy (FbSuspectBackups *self, const char *job, uint64_t epoch, u_int n, uint64_t now_ms)
{
  fb_work_suspect tasks[] = { { .step = 1 }, { .step = 2 } };
  const fb_suspects_backup backup
      = { .job = (char *) job, .epoch = epoch, .suspects = { .tasks = { n, tasks } } };
  fb_suspect_backups_put (self, &backup, now_ms);
}

/* Returns: the number of suspected tasks that SELF reports at NOW_MS, over all jobs. */
static guint
reported_n (const FbSuspectBackups *self, uint64_t now_ms)
{
  fb_suspect_backups_reply reply;
  guint n = 0;
  fb_suspect_backups_list (self, now_ms, &reply);
  for (u_int i = 0; i < reply.jobs.jobs_len; i++)
    n += reply.jobs.jobs_val[i].suspects.tasks.tasks_len;
  xdr_free ((xdrproc_t) xdr_fb_suspect_backups_reply, (char *) &reply);
  return n;
}

/* Crash suspects that an owner could not store must not be lost together with the owner. */
static void
test_copy_is_reported (void)
{
  FbSuspectBackups *self = fb_suspect_backups_new ();
  put_copy (self, JOB, 3, 1, NOW_MS);
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS), 1);
  put_copy (self, JOB, 3, 2, NOW_MS);
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS), 2);
  fb_suspect_backups_free (self);
}

/* A crash must not be attributed to a task again after the task was cleared of it. */
static void
test_stored_copy_is_dropped (void)
{
  FbSuspectBackups *self = fb_suspect_backups_new ();
  put_copy (self, JOB, 3, 2, NOW_MS);
  put_copy (self, JOB, 4, 0, NOW_MS);
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS), 0);
  put_copy (self, JOB, 4, 2, NOW_MS);
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS + MAX_AGE_MS), 0);
  fb_suspect_backups_free (self);
}

/* A replaced owner must not overwrite the copy of its successor. */
static void
test_replaced_owner_is_ignored (void)
{
  FbSuspectBackups *self = fb_suspect_backups_new ();
  put_copy (self, JOB, 4, 2, NOW_MS);
  put_copy (self, JOB, 3, 0, NOW_MS);
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS), 2);
  fb_suspect_backups_free (self);
}

/* The number of copies is bounded, so that they do not exhaust the memory of a daemon. */
static void
test_copies_are_bounded (void)
{
  FbSuspectBackups *self = fb_suspect_backups_new ();
  for (guint i = 0; i < 2 * FB_WORK_MAX_SUSPECT_BACKUPS; i++)
    {
      g_autofree char *job = g_strdup_printf ("%016x", i);
      put_copy (self, job, 3, 1, NOW_MS);
    }
  CU_ASSERT_EQUAL (reported_n (self, NOW_MS), FB_WORK_MAX_SUSPECT_BACKUPS);
  fb_suspect_backups_free (self);
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("suspect-backups", NULL, NULL);
  CU_add_test (suite, "a copy is reported", test_copy_is_reported);
  CU_add_test (suite, "a stored copy is dropped", test_stored_copy_is_dropped);
  CU_add_test (suite, "a replaced owner is ignored", test_replaced_owner_is_ignored);
  CU_add_test (suite, "copies are bounded", test_copies_are_bounded);
  CU_basic_run_tests ();
  unsigned failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed > 0;
}
