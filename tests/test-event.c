/* The log of a daemon when it has more lines than its limit per second. */
#include "fb-event.h"

#include <CUnit/Basic.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#define LINES_PER_S 1000

static char *output; /* standard output while lines were logged */

/* Rare lines must not be dropped among many frequent ones. A daemon took over a pool of 2,000
 * jobs within a second and logged a line for each; the limit per second then dropped the line
 * that reports the pool as recovered, so the pool seemed to make no progress. Symptom:
 * LINES_DROPPED n=366 instead of the missing line, and work that was started after it. */
static void
test_rare_lines_are_written (void)
{
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "JOB_TAKEN"));
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "POOL_SETTLED"));
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "POOL_LOST"));
}

static void
test_lines_are_bounded (void)
{
  guint n = 0;
  for (const char *at = output; (at = strchr (at, '\n')) != NULL; at++)
    n++;
  /* The clock's second may change once while lines are logged. */
  CU_ASSERT_TRUE (n > 0);
  CU_ASSERT_TRUE (n <= 2 * LINES_PER_S);
}

/* Logs the takeover of a pool to a file instead of standard output. */
static void
log_takeover (void)
{
  g_autofree char *path = NULL;
  int file = g_file_open_tmp ("event-XXXXXX", &path, NULL);
  int out = dup (STDOUT_FILENO);
  g_assert (file >= 0 && out >= 0 && dup2 (file, STDOUT_FILENO) >= 0);
  fb_event_init_stdout ("daemon", LINES_PER_S);
  for (guint i = 0; i < 5 * LINES_PER_S; i++)
    fb_event_log (FB_EVENT_JOB_TAKEN, "job=%u", i);
  fb_event_log (FB_EVENT_POOL_SETTLED, "service=s");
  fb_event_log (FB_EVENT_POOL_LOST, "partition=1");
  g_assert (dup2 (out, STDOUT_FILENO) >= 0);
  g_assert (g_file_get_contents (path, &output, NULL, NULL));
  g_unlink (path);
  close (file);
  close (out);
}

int
main (void)
{
  log_takeover ();
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("event", NULL, NULL);
  CU_add_test (suite, "rare lines are written", test_rare_lines_are_written);
  CU_add_test (suite, "lines are bounded", test_lines_are_bounded);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  g_free (output);
  return failures > 0;
}
