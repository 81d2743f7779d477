/* Tests which incarnation of a worker is listed. */
#include "src/entry/store/worker-list.h"

#include "fb-event.h"

#include <CUnit/Basic.h>

/* Returns: an entry of worker i-1.  INCARNATION_STARTED_MS: 0 for an entry without a start time. */
static FbListedWorker *
entry_of (uint64_t incarnation_started_ms)
{
  FbListedWorker *worker = g_new0 (FbListedWorker, 1);
  worker->id = g_strdup ("i-1");
  worker->incarnation_started_ms = incarnation_started_ms;
  worker->entry.id = fb_wire_incarnation ("i-1", incarnation_started_ms);
  return worker;
}

/* Applies an entry.
 * Returns: FALSE when it is ignored. */
static gboolean
apply_entry (FbWorkerList *self, uint64_t incarnation_started_ms)
{
  FbListedWorker *worker = entry_of (incarnation_started_ms);
  if (fb_worker_list_is_outdated (self, worker))
    {
      fb_listed_worker_free (worker);
      return FALSE;
    }
  fb_worker_list_remove (self, worker->id);
  fb_worker_list_put (self, worker);
  return TRUE;
}

static FbWorkerList *
list_of (uint64_t incarnation_started_ms)
{
  FbWorkerList *self = fb_worker_list_new ();
  CU_ASSERT_TRUE (apply_entry (self, incarnation_started_ms));
  return self;
}

/* A delayed write of the previous incarnation must not remove a worker that has restarted. */
static void
test_a_late_entry_of_the_previous_incarnation (void)
{
  FbWorkerList *self = list_of (7);
  CU_ASSERT_TRUE (apply_entry (self, 8));
  CU_ASSERT_FALSE (apply_entry (self, 7));
  CU_ASSERT_STRING_EQUAL (fb_worker_list_by_id (self, "i-1")->entry.id, "i-1@8");
  CU_ASSERT_PTR_NULL (fb_worker_list_by_incarnation (self, "i-1@7"));
  CU_ASSERT_TRUE (apply_entry (self, 8));
  CU_ASSERT_FALSE (apply_entry (self, 7));
  fb_worker_list_free (self);
}

/* A worker whose host's clock was set back has to be listed again. */
static void
test_an_earlier_start_time_that_is_repeated (void)
{
  FbWorkerList *self = list_of (8);
  CU_ASSERT_FALSE (apply_entry (self, 7));
  CU_ASSERT_TRUE (apply_entry (self, 7));
  CU_ASSERT_STRING_EQUAL (fb_worker_list_by_id (self, "i-1")->entry.id, "i-1@7");
  fb_worker_list_free (self);
}

/* An entry without a start time, from another writer, must not replace one with a start time. */
static void
test_an_entry_without_a_start_time (void)
{
  FbWorkerList *self = list_of (7);
  CU_ASSERT_FALSE (apply_entry (self, 0));
  CU_ASSERT_FALSE (apply_entry (self, 0));
  fb_worker_list_free (self);
  self = list_of (0);
  CU_ASSERT_TRUE (apply_entry (self, 0));
  CU_ASSERT_TRUE (apply_entry (self, 7));
  CU_ASSERT_STRING_EQUAL (fb_worker_list_by_id (self, "i-1")->entry.id, "i-1@7");
  fb_worker_list_free (self);
}

int
main (void)
{
  fb_event_set_quiet (TRUE);
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("worker list", NULL, NULL);
  CU_add_test (suite, "a late entry of the previous incarnation",
               test_a_late_entry_of_the_previous_incarnation);
  CU_add_test (suite, "an earlier start time that is repeated",
               test_an_earlier_start_time_that_is_repeated);
  CU_add_test (suite, "an entry without a start time", test_an_entry_without_a_start_time);
  CU_basic_run_tests ();
  guint failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed > 0;
}
