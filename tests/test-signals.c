/* Signals that a daemon receives before its handlers are installed. */
#include "src/daemon/daemon.h"
#include "src/entry/settings.h"
#include "test-ports.h"

#include <CUnit/Basic.h>
#include <errno.h>
#include <glib/gstdio.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define TEST_TIMEOUT_MS 20000

/* Signal that the daemon sends to itself when it loads its settings for the first time; 0: none. */
static int early_signal;

FbEntrySettings *__real_fb_entry_settings_load (const char *path);
FbEntrySettings *__wrap_fb_entry_settings_load (const char *path);

FbEntrySettings *
__wrap_fb_entry_settings_load (const char *path)
{
  int sent = early_signal;
  early_signal = 0;
  if (sent != 0)
    (void) kill (getpid (), sent);
  return __real_fb_entry_settings_load (path);
}

/* Returns: (transfer full): the path of a valid settings file. */
static char *
write_settings (void)
{
  g_autofree char *callers = test_unused_address ();
  g_autofree char *readiness = test_unused_address ();
  g_autofree char *peers = test_unused_address ();
  g_autofree char *metrics = test_unused_address ();
  g_autofree char *store = test_unused_address ();
  g_autofree char *text = g_strdup_printf (
      "[daemon]\nname=d\ndomain=z\ngrace=6s\n"
      "[listen]\ncallers=%s\nreadiness=%s\npeers=%s\nmetrics=%s\n"
      "[store]\naddress=%s\npartitions=1\nshortest-membership=1000ms\n"
      "[workers]\nlongest-lease=6000ms\nlongest-stop=200ms\ngang-patience=3000ms\n",
      callers, readiness, peers, metrics, store);
  char *path = NULL;
  int fd = g_file_open_tmp ("fb-signals-XXXXXX", &path, NULL);
  CU_ASSERT_TRUE_FATAL (fd >= 0);
  close (fd);
  CU_ASSERT_TRUE_FATAL (g_file_set_contents (path, text, -1, NULL));
  return path;
}

/* Returns: the process id of a daemon that receives SIGNAL while it starts.  Its log can be read
 * from *LOG_FD. */
static pid_t
start_daemon (char *settings_path, int signal, int *log_fd)
{
  int pipe_fds[2];
  CU_ASSERT_TRUE_FATAL (pipe (pipe_fds) == 0);
  fflush (stdout);
  pid_t pid = fork ();
  CU_ASSERT_TRUE_FATAL (pid >= 0);
  if (pid == 0)
    {
      char *arguments[] = { "flamingobarrowd", "--settings", settings_path, NULL };
      dup2 (pipe_fds[1], STDOUT_FILENO);
      close (pipe_fds[0]);
      early_signal = signal;
      _exit (fb_daemon_main (3, arguments));
    }
  close (pipe_fds[1]);
  *log_fd = pipe_fds[0];
  return pid;
}

/* Returns: FALSE when the log ends, or TEST_TIMEOUT_MS pass, before TEXT appears in it. */
static gboolean
log_contains (int log_fd, const char *text)
{
  g_autoptr (GString) log = g_string_new (NULL);
  gint64 until_us = g_get_monotonic_time () + TEST_TIMEOUT_MS * 1000;
  while (strstr (log->str, text) == NULL)
    {
      gint64 remaining_ms = (until_us - g_get_monotonic_time ()) / 1000;
      struct pollfd readable = { .fd = log_fd, .events = POLLIN };
      if (remaining_ms <= 0 || (poll (&readable, 1, (int) remaining_ms) < 1 && errno != EINTR))
        return FALSE;
      char bytes[4096];
      ssize_t n = read (log_fd, bytes, sizeof bytes);
      if (n <= 0)
        return FALSE;
      g_string_append_len (log, bytes, n);
    }
  return TRUE;
}

static int
wait_status_of (pid_t pid)
{
  int end = 0;
  CU_ASSERT_EQUAL (waitpid (pid, &end, 0), pid);
  return end;
}

/* A SIGHUP while the daemon starts must neither end the daemon nor be lost. */
static void
test_reload_while_starting (void)
{
  g_autofree char *settings_path = write_settings ();
  int log_fd = -1;
  pid_t pid = start_daemon (settings_path, SIGHUP, &log_fd);
  CU_ASSERT_TRUE (log_contains (log_fd, " SETTINGS_RELOADED why=signal"));
  (void) kill (pid, SIGKILL);
  int end = wait_status_of (pid);
  CU_ASSERT_TRUE (WIFSIGNALED (end) && WTERMSIG (end) == SIGKILL);
  close (log_fd);
  (void) g_unlink (settings_path);
}

/* A daemon that receives SIGTERM while it starts must stop instead of accepting requests. */
static void
test_stop_while_starting (void)
{
  g_autofree char *settings_path = write_settings ();
  int log_fd = -1;
  pid_t pid = start_daemon (settings_path, SIGTERM, &log_fd);
  CU_ASSERT_FALSE (log_contains (log_fd, " PROCESS_STARTED "));
  int end = wait_status_of (pid);
  CU_ASSERT_TRUE (WIFSIGNALED (end) && WTERMSIG (end) == SIGTERM);
  close (log_fd);
  (void) g_unlink (settings_path);
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("signals", NULL, NULL);
  CU_add_test (suite, "reload while starting", test_reload_while_starting);
  CU_add_test (suite, "stop while starting", test_stop_while_starting);
  CU_basic_set_mode (CU_BRM_NORMAL);
  CU_basic_run_tests ();
  int failed = CU_get_number_of_failures () > 0;
  CU_cleanup_registry ();
  return failed;
}
