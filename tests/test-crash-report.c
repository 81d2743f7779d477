/* Reports of processes that a fault ends. */
#include "fb-build-info.h"
#include "fb-crash-report.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

static volatile int recursion_sum;

static int
recurse_forever (volatile int depth)
{
  volatile char frame[512] = { (char) depth };
  if (depth == 0)
    return 0;
  return recurse_forever (depth + 1) + frame[0] + recursion_sum;
}

static void
overflow_stack (void)
{
  recursion_sum = recurse_forever (1);
}

static void
send_segv (void)
{
  (void) kill (getpid (), SIGSEGV);
  for (;;)
    (void) pause ();
}

/* Runs FAULT in a process of its own.  Returns: (transfer full): what the process wrote. */
static char *
run_fault (void (*fault) (void), int *status)
{
  int ends[2];
  CU_ASSERT_EQUAL_FATAL (pipe (ends), 0);
  pid_t pid = fork ();
  if (pid == 0)
    {
      const struct rlimit no_core = { 0 };
      (void) setrlimit (RLIMIT_CORE, &no_core);
      (void) close (ends[0]);
      fb_crash_report_install (ends[1], "d7");
      fault ();
      _exit (0);
    }
  (void) close (ends[1]);
  GString *text = g_string_new (NULL);
  char buffer[512];
  ssize_t n = 0;
  while ((n = read (ends[0], buffer, sizeof buffer)) > 0)
    g_string_append_len (text, buffer, n);
  (void) close (ends[0]);
  CU_ASSERT_EQUAL (waitpid (pid, status, 0), pid);
  return g_string_free (text, FALSE);
}

static void
check_report (void (*fault) (void), int signal, const char *name)
{
  int status = 0;
  g_autofree char *text = run_fault (fault, &status);
  g_autofree char *expected
      = g_strdup_printf (" d7 FB1006 PROCESS_CRASHED signal=%d name=%s address=0x", signal, name);
  g_autofree char *build = g_strdup_printf (" build=%s frames=", fb_build_id ());
  g_auto (GStrv) words = g_strsplit (text, " ", 2);
  g_autoptr (GDateTime) time = g_date_time_new_from_iso8601 (words[0], NULL);
  CU_ASSERT_TRUE (WIFSIGNALED (status));
  CU_ASSERT_EQUAL (WTERMSIG (status), signal);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, expected));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, build));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "program+0x"));
  CU_ASSERT_PTR_EQUAL (strchr (text, '\n'), text + strlen (text) - 1);
  CU_ASSERT_PTR_NOT_NULL_FATAL (time);
  CU_ASSERT_TRUE (ABS (g_get_real_time () / G_USEC_PER_SEC - g_date_time_to_unix (time)) < 60);
}

/* Guards against an overflow of the stack that leaves no line. */
static void
test_stack_overflow (void)
{
  check_report (overflow_stack, SIGSEGV, "SIGSEGV");
}

/* Guards against an abort that leaves no line. */
static void
test_abort (void)
{
  check_report (abort, SIGABRT, "SIGABRT");
}

/* Guards against a process that goes on after a signal that no instruction has raised. */
static void
test_signal_of_another_process (void)
{
  check_report (send_segv, SIGSEGV, "SIGSEGV");
}

static void
test_build_id (void)
{
  CU_ASSERT_EQUAL (strlen (fb_build_id ()), 40);
  CU_ASSERT_EQUAL (strspn (fb_build_id (), "0123456789abcdef"), 40);
}

int
main (void)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("crash reports", NULL, NULL);
  CU_add_test (suite, "stack overflow", test_stack_overflow);
  CU_add_test (suite, "abort", test_abort);
  CU_add_test (suite, "signal of another process", test_signal_of_another_process);
  CU_add_test (suite, "build id", test_build_id);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
