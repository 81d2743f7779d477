#include "processes.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>

/* Memory that a daemon may use on the smallest hosts. */
#define MAX_MEMORY_MB 160
#define MAX_FDS 2000

typedef struct
{
  SoakProcesses *all;
  guint index;
  GSubprocess *process; /* NULL while it does not run */
  guint16 ports[4];     /* callers, readiness, peers, metrics */
  SoakLink *store;
  SoakLink *callers;
  SoakLink *peers;        /* NULL: none */
  gboolean exit_expected; /* this program sent it SIGKILL or SIGTERM */
  char *unexpected_exit;  /* text of an unexpected exit; NULL: none */
  guint restart_ms;       /* delay after its exit; G_MAXUINT: it is not restarted */
  guint timer;            /* source of the scheduled restart; 0: none */
} Daemon;

struct _SoakProcesses
{
  SoakSetup setup;
  GSubprocess *platform;
  Daemon *daemons;
  SoakLink **workers; /* by worker; NULL: no links to workers */
  gboolean closing;
};

/* Child setup: kills the child when the soak test exits, so that no process is left behind. */
static void
kill_on_parent_exit (gpointer user)
{
  (void) user;
  (void) prctl (PR_SET_PDEATHSIG, SIGKILL);
}

/* LOG: name of the log file in the folder of the run.  DEBUG: enables debug messages. */
static GSubprocess *
spawn (const SoakSetup *setup, const char *log, gboolean debug, const char *const *argv)
{
  g_autoptr (GSubprocessLauncher) launcher
      = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_STDERR_MERGE);
  g_autofree char *path = g_build_filename (setup->folder, log, NULL);
  /* A restarted daemon appends to the same log. */
  int fd = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (fd < 0)
    return NULL;
  g_subprocess_launcher_take_stdout_fd (launcher, fd);
  g_subprocess_launcher_set_child_setup (launcher, kill_on_parent_exit, NULL, NULL);
  if (debug)
    g_subprocess_launcher_setenv (launcher, "G_MESSAGES_DEBUG", "all", TRUE);
  return g_subprocess_launcher_spawnv (launcher, argv, NULL);
}

static gboolean
write_settings (const Daemon *daemon, const char *path)
{
  g_autofree char *advertised
      = daemon->peers != NULL
            ? g_strdup_printf ("advertised-peers=127.0.0.1:%u\n", soak_link_port (daemon->peers))
            : g_strdup ("");
  g_autofree char *text = g_strdup_printf (
      "[daemon]\nname=d%u\ndomain=z%u\ngrace=6s\n"
      "[listen]\ncallers=127.0.0.1:%u\nreadiness=127.0.0.1:%u\npeers=127.0.0.1:%u\nmetrics=127.0.0."
      "1:%u\n%s"
      "[store]\naddress=127.0.0.1:%u\npartitions=32\nshortest-membership=1000ms\n"
      "[workers]\nlongest-lease=%ums\nlongest-stop=%ums\ngang-patience=3000ms\n",
      daemon->index, daemon->index % 3, daemon->ports[0], daemon->ports[1], daemon->ports[2],
      daemon->ports[3], advertised, soak_link_port (daemon->store), daemon->all->setup.max_lease_ms,
      daemon->all->setup.stops ? SOAK_LONGEST_STOP_MS : SOAK_SHORT_STOP_MS);
  return g_file_set_contents (path, text, -1, NULL);
}

static gboolean start_daemon (gpointer user);

static void
on_daemon_ended (GObject *process, GAsyncResult *result, gpointer user)
{
  Daemon *daemon = user;
  (void) g_subprocess_wait_finish (G_SUBPROCESS (process), result, NULL);
  if (daemon->process != G_SUBPROCESS (process) || daemon->all->closing)
    return;
  GSubprocess *ended = G_SUBPROCESS (process);
  if (!daemon->exit_expected && daemon->unexpected_exit == NULL)
    daemon->unexpected_exit
        = g_subprocess_get_if_signaled (ended)
              ? g_strdup_printf ("by signal %d", g_subprocess_get_term_sig (ended))
              : g_strdup_printf ("with %d", g_subprocess_get_exit_status (ended));
  g_clear_object (&daemon->process);
  if (daemon->restart_ms != G_MAXUINT)
    daemon->timer = g_timeout_add (daemon->restart_ms, start_daemon, daemon);
}

static gboolean
start_daemon (gpointer user)
{
  Daemon *daemon = user;
  const SoakSetup *setup = &daemon->all->setup;
  g_autofree char *name = g_strdup_printf ("d%u.ini", daemon->index);
  g_autofree char *log = g_strdup_printf ("d%u.log", daemon->index);
  g_autofree char *path = g_build_filename (setup->folder, name, NULL);
  g_autofree char *program = g_build_filename (setup->programs, "flamingobarrowd", NULL);
  const char *argv[] = { program, "--settings", path, NULL };
  daemon->timer = 0;
  daemon->exit_expected = FALSE;
  if (daemon->process == NULL && write_settings (daemon, path))
    daemon->process = spawn (setup, log, FALSE, argv);
  if (daemon->process != NULL)
    g_subprocess_wait_async (daemon->process, NULL, on_daemon_ended, daemon);
  return G_SOURCE_REMOVE;
}

/* Returns: (transfer full) (nullable): the ports of the links to workers, separated by commas; NULL
 * when a link cannot listen. */
static char *
link_workers (SoakProcesses *self)
{
  GString *ports = g_string_new (NULL);
  self->workers = g_new0 (SoakLink *, self->setup.worker_n);
  for (guint k = 0; k < self->setup.worker_n; k++)
    {
      self->workers[k] = soak_link_new ((guint16) (self->setup.base_port + 1 + k));
      if (self->workers[k] == NULL)
        return g_string_free (ports, TRUE);
      g_string_append_printf (ports, "%s%u", k > 0 ? "," : "", soak_link_port (self->workers[k]));
    }
  return g_string_free (ports, FALSE);
}

static gboolean
start_platform (SoakProcesses *self)
{
  g_autofree char *program
      = g_build_filename (self->setup.programs, "standins", "standin-platform", NULL);
  g_autofree char *port = g_strdup_printf ("%u", self->setup.base_port);
  g_autofree char *workers = g_strdup_printf ("%u", self->setup.worker_n);
  g_autofree char *listed = self->setup.worker_links ? link_workers (self) : NULL;
  g_autofree char *services
      = g_strdup_printf ("%s=%u", SOAK_SECOND_SERVICE, self->setup.worker_n / 2);
  const char *argv[] = { program,
                         port,
                         workers,
                         listed != NULL ? listed : "",
                         self->setup.queue_moves ? services : "",
                         self->setup.start_times ? NULL : "without-start-times",
                         NULL };
  if (listed != NULL || !self->setup.worker_links)
    self->platform = spawn (&self->setup, "platform.log", TRUE, argv);
  return self->platform != NULL;
}

static gboolean
daemon_init (SoakProcesses *self, guint i)
{
  Daemon *daemon = &self->daemons[i];
  guint16 first = (guint16) (self->setup.base_port + 1 + self->setup.worker_n + 4 * i);
  daemon->all = self;
  daemon->index = i;
  for (guint j = 0; j < G_N_ELEMENTS (daemon->ports); j++)
    daemon->ports[j] = (guint16) (first + j);
  daemon->store = soak_link_new (self->setup.base_port);
  daemon->callers = soak_link_new (daemon->ports[0]);
  if (self->setup.worker_links)
    daemon->peers = soak_link_new (daemon->ports[2]);
  if (daemon->store == NULL || daemon->callers == NULL
      || (self->setup.worker_links && daemon->peers == NULL))
    return FALSE;
  (void) start_daemon (daemon);
  return daemon->process != NULL;
}

SoakProcesses *
soak_processes_new (const SoakSetup *setup)
{
  SoakProcesses *self = g_new0 (SoakProcesses, 1);
  self->setup = *setup;
  self->daemons = g_new0 (Daemon, setup->daemon_n);
  gboolean ok = start_platform (self);
  for (guint i = 0; ok && i < setup->daemon_n; i++)
    ok = daemon_init (self, i);
  if (ok)
    return self;
  soak_processes_free (self);
  return NULL;
}

void
soak_processes_free (SoakProcesses *self)
{
  self->closing = TRUE;
  for (guint i = 0; i < self->setup.daemon_n; i++)
    {
      Daemon *daemon = &self->daemons[i];
      if (daemon->timer != 0)
        g_source_remove (daemon->timer);
      if (daemon->process != NULL)
        {
          g_subprocess_force_exit (daemon->process);
          (void) g_subprocess_wait (daemon->process, NULL, NULL);
          g_object_unref (daemon->process);
        }
      g_clear_pointer (&daemon->store, soak_link_free);
      g_clear_pointer (&daemon->callers, soak_link_free);
      g_clear_pointer (&daemon->peers, soak_link_free);
    }
  for (guint k = 0; self->workers != NULL && k < self->setup.worker_n; k++)
    g_clear_pointer (&self->workers[k], soak_link_free);
  g_clear_pointer (&self->workers, g_free);
  if (self->platform != NULL)
    {
      g_subprocess_force_exit (self->platform);
      (void) g_subprocess_wait (self->platform, NULL, NULL);
      g_object_unref (self->platform);
    }
  /* SELF and its daemons are not freed: callbacks of their exits may still be pending. */
}

SoakLink *
soak_store_link (SoakProcesses *self, guint i)
{
  return self->daemons[i].store;
}

SoakLink *
soak_caller_link (SoakProcesses *self, guint i)
{
  return self->daemons[i].callers;
}

SoakLink *
soak_peer_link (SoakProcesses *self, guint i)
{
  return self->daemons[i].peers;
}

SoakLink *
soak_worker_link (SoakProcesses *self, guint k)
{
  return self->workers != NULL ? self->workers[k] : NULL;
}

guint16
soak_daemon_port (const SoakProcesses *self, guint i)
{
  return self->daemons[i].ports[0];
}

gboolean
soak_daemon_runs (const SoakProcesses *self, guint i)
{
  return self->daemons[i].process != NULL;
}

gboolean
soak_daemon_stays (const SoakProcesses *self, guint i)
{
  return self->daemons[i].process != NULL && !self->daemons[i].exit_expected;
}

void
soak_daemon_signal (SoakProcesses *self, guint i, int signal)
{
  Daemon *daemon = &self->daemons[i];
  if (daemon->process == NULL)
    return;
  daemon->exit_expected |= signal == SIGKILL || signal == SIGTERM;
  g_subprocess_send_signal (daemon->process, signal);
}

void
soak_daemon_restart (SoakProcesses *self, guint i, guint after_ms)
{
  Daemon *daemon = &self->daemons[i];
  daemon->restart_ms = after_ms;
  if (daemon->process == NULL && daemon->timer == 0)
    daemon->timer = g_timeout_add (after_ms, start_daemon, daemon);
}

static guint
memory_mb (const char *pid)
{
  g_autofree char *path = g_strdup_printf ("/proc/%s/status", pid);
  g_autofree char *text = NULL;
  const char *line = NULL;
  if (g_file_get_contents (path, &text, NULL, NULL))
    line = strstr (text, "VmRSS:");
  return line != NULL ? (guint) atoi (line + strlen ("VmRSS:")) / 1024 : 0;
}

static guint
fds_n (const char *pid)
{
  g_autofree char *path = g_strdup_printf ("/proc/%s/fd", pid);
  g_autoptr (GDir) folder = g_dir_open (path, 0, NULL);
  guint n = 0;
  while (folder != NULL && g_dir_read_name (folder) != NULL)
    n++;
  return n;
}

char *
soak_processes_check (SoakProcesses *self)
{
  for (guint i = 0; i < self->setup.daemon_n; i++)
    {
      Daemon *daemon = &self->daemons[i];
      if (daemon->unexpected_exit != NULL)
        return g_strdup_printf ("daemon %u exited unexpectedly, %s", i, daemon->unexpected_exit);
      const char *pid
          = daemon->process != NULL ? g_subprocess_get_identifier (daemon->process) : NULL;
      if (pid == NULL)
        continue;
      if (memory_mb (pid) > MAX_MEMORY_MB)
        return g_strdup_printf ("daemon %u uses %u MB", i, memory_mb (pid));
      if (fds_n (pid) > MAX_FDS)
        return g_strdup_printf ("daemon %u has %u descriptors open", i, fds_n (pid));
    }
  return NULL;
}
