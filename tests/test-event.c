/* What is written of a daemon's log when more happens than its bound holds. */
#include "fb-event.h"

#include <CUnit/Basic.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#define LINES_PER_S 1000

static char *written; /* all that went to standard output while lines were logged */

/* On call: a service's pool seemed to stand still from some moment on, as its owner never said that
 * it was settled.  It had taken over 2,000 jobs in that second, a line each, and the bound of lines
 * a second left out the one that mattered.
 * Evidence: LINES_DROPPED n=366 beside the missing line, and work that was started after it. */
static void
test_rare_lines_have_room (void)
{
  CU_ASSERT_PTR_NOT_NULL (strstr (written, "JOB_TAKEN"));
  CU_ASSERT_PTR_NOT_NULL (strstr (written, "POOL_SETTLED"));
  CU_ASSERT_PTR_NOT_NULL (strstr (written, "POOL_LOST"));
}

static void
test_lines_are_bounded (void)
{
  guint n = 0;
  for (const char *at = written; (at = strchr (at, '\n')) != NULL; at++)
    n++;
  /* The clock's second may change once meanwhile. */
  CU_ASSERT_TRUE (n > 0);
  CU_ASSERT_TRUE (n <= 2 * LINES_PER_S);
}

/* Logs a take-over to a file in place of standard output. */
static void
log_take_over (void)
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
  g_assert (g_file_get_contents (path, &written, NULL, NULL));
  g_unlink (path);
  close (file);
  close (out);
}

int
main (void)
{
  log_take_over ();
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("event", NULL, NULL);
  CU_add_test (suite, "rare lines have room", test_rare_lines_have_room);
  CU_add_test (suite, "lines are bounded", test_lines_are_bounded);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  g_free (written);
  return failures > 0;
}
