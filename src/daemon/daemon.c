#include "daemon.h"

#include "frontend.h"
#include "src/entry/entry.h"
#include "src/entry/settings.h"
#include "src/net/libraries.h"

#include "fb-build-info.h"
#include "fb-crash-report.h"
#include "fb-event.h"
#include "fb-reload-signal.h"
#include "fb-status.h"

#include <glib-unix.h>
#include <sodium.h>
#include <stdio.h>
#include <unistd.h>

#define EXIT_OK 0
#define EXIT_USAGE 2
#define EXIT_SETTINGS 3
#define EXIT_ADDRESS 4

typedef struct
{
  FbSettings *settings;
  FbCell *cell;
  guint self_index;
  FbLoop *loop;
  FbLogService *log;
  FbWorkerService *workers;
  FbHostList *hosts;
  FbCore *core;
  FbPeers *peers;
  FbFrontend *frontend;
  GMainLoop *main_loop;
  gboolean draining;
} Daemon;

static char *settings_path;
static gboolean check_only;
static gboolean show_version;

static const GOptionEntry options[]
    = { { "settings", 's', 0, G_OPTION_ARG_FILENAME, &settings_path, "Settings of this daemon",
          "FILE" },
        { "check", 'c', 0, G_OPTION_ARG_NONE, &check_only, "Check the settings and exit", NULL },
        { "version", 'V', 0, G_OPTION_ARG_NONE, &show_version,
          "Print the versions of program and libraries and exit", NULL },
        { NULL, 0, 0, 0, NULL, NULL, NULL } };

static gboolean
quit (gpointer data)
{
  Daemon *self = data;
  g_main_loop_quit (self->main_loop);
  return G_SOURCE_REMOVE;
}

static void
on_drained (gpointer data)
{
  g_main_context_invoke (NULL, quit, data);
}

/* Graceful shutdown: rejects new jobs, hands shards over and answers open calls. */
static gboolean
on_stop_signal (gpointer data)
{
  Daemon *self = data;
  if (self->draining)
    return G_SOURCE_CONTINUE;
  self->draining = TRUE;
  fb_event_log (FB_EVENT_PROCESS_DRAINING, "limit_ms=%" G_GUINT64_FORMAT, self->settings->drain_ms);
  fb_frontend_close (self->frontend);
  fb_core_drain (self->core, self->settings->drain_ms, on_drained, self);
  return G_SOURCE_CONTINUE;
}

/* Returns: the name of a changed setting that takes effect only after a restart, or NULL. */
static const char *
setting_that_needs_restart (const Daemon *self, const FbSettings *settings, const FbCell *cell)
{
  if (!g_str_equal (settings->name, self->settings->name))
    return "[daemon] name";
  if (!g_str_equal (settings->cell_path, self->settings->cell_path))
    return "[daemon] cell";
  if (!fb_cell_equal (cell, self->cell))
    return "the cell file";
  return NULL;
}

/* A reload applies all changes, or none if one of them needs a restart. */
static gboolean
on_reload_signal (gpointer data)
{
  Daemon *self = data;
  FbSettings *settings = NULL;
  FbCell *cell = NULL;
  if (fb_settings_load (settings_path, &settings, &cell) != FB_SETTINGS_OK)
    {
      fb_event_log (FB_EVENT_RELOAD_REFUSED, "%s", fb_status_message ());
      return G_SOURCE_CONTINUE;
    }
  const char *restart_setting = setting_that_needs_restart (self, settings, cell);
  fb_cell_free (cell);
  if (restart_setting != NULL)
    {
      fb_event_log (FB_EVENT_RELOAD_REFUSED, "%s: needs a restart", restart_setting);
      fb_settings_free (settings);
      return G_SOURCE_CONTINUE;
    }
  fb_settings_free (self->settings);
  self->settings = settings;
  fb_event_set_quiet (FALSE);
  fb_event_log (FB_EVENT_SETTINGS_RELOADED, "quiet=%d drain_ms=%" G_GUINT64_FORMAT, settings->quiet,
                settings->drain_ms);
  fb_event_set_quiet (settings->quiet);
  return G_SOURCE_CONTINUE;
}

static int
start (Daemon *self)
{
  self->self_index = (guint) fb_cell_member_by_name (self->cell, self->settings->name);
  self->loop = fb_loop_new_for_current_thread ();
  self->log = fb_log_http_new (self->cell->log_url);
  self->workers = fb_worker_http_new ();
  self->hosts = fb_host_list_http_new (self->cell->host_list_url);
  self->core = fb_core_new (self->cell, self->self_index, self->log, self->workers, self->hosts);
  const FbCellMember *member = fb_cell_member (self->cell, self->self_index);
  if (fb_peers_new (self->cell, self->self_index, fb_core_receive, self->core, &self->peers)
      != FB_PEERS_OK)
    {
      fprintf (stderr, "cannot listen for peers on %s:%u\n", member->host, member->rpc_port);
      return EXIT_ADDRESS;
    }
  fb_core_set_peers (self->core, self->peers);
  if (fb_frontend_new (self->cell, self->self_index, self->core, self->loop, &self->frontend)
      != FB_FRONTEND_OK)
    {
      fprintf (stderr, "cannot listen for callers on %s:%u\n", member->host, member->http_port);
      return EXIT_ADDRESS;
    }
  fb_core_start (self->core);
  g_autofree char *libraries = fb_libraries_describe ();
  fb_event_log (FB_EVENT_PROCESS_STARTED, "name=%s rpc_port=%u http_port=%u version=%s build=%s %s",
                member->name, member->rpc_port, member->http_port, fb_build_version (),
                fb_build_id (), libraries);
  return EXIT_OK;
}

/* The core's threads are joined first, so that the core makes no more calls; then the components
 * that call the core are freed, and the core last. Otherwise a batch from a peer or an answer that
 * arrives while components are freed crashes the process at the end of a graceful shutdown. */
static void
stop (Daemon *self)
{
  fb_event_log (FB_EVENT_PROCESS_STOPPED, "name=%s", self->settings->name);
  fb_core_stop (self->core);
  fb_peers_free (self->peers);
  fb_frontend_free (self->frontend);
  fb_core_free (self->core);
  self->log->ops->free (self->log);
  self->workers->ops->free (self->workers);
  self->hosts->ops->free (self->hosts);
}

static int
run (Daemon *self)
{
  int code = start (self);
  if (code != EXIT_OK)
    return code;
  self->main_loop = g_main_loop_new (NULL, FALSE);
  g_unix_signal_add (SIGTERM, on_stop_signal, self);
  g_unix_signal_add (SIGINT, on_stop_signal, self);
  g_unix_signal_add (SIGHUP, on_reload_signal, self);
  fb_reload_signal_unblock ();
  g_main_loop_run (self->main_loop);
  stop (self);
  g_main_loop_unref (self->main_loop);
  return EXIT_OK;
}

static int
print_version (void)
{
  g_autofree char *libraries = fb_libraries_describe ();
  printf ("flamingobarrowd %s\nbuild %s\n%s\n", fb_build_version (), fb_build_id (), libraries);
  return EXIT_OK;
}

int
fb_daemon_main (int argc, char **argv)
{
  fb_reload_signal_block ();
  g_autoptr (GOptionContext) context = g_option_context_new ("- schedule work on a shared pool");
  g_option_context_add_main_entries (context, options, NULL);
  g_autoptr (GError) error = NULL;
  gboolean parsed = g_option_context_parse (context, &argc, &argv, &error);
  if (parsed && show_version)
    return print_version ();
  if (!parsed || settings_path == NULL)
    {
      fprintf (stderr, "flamingobarrowd: %s\n",
               error != NULL ? error->message : "expected --settings FILE");
      return EXIT_USAGE;
    }
  if (sodium_init () < 0)
    return EXIT_SETTINGS;
  if (fb_entry_settings_recognize (settings_path))
    return fb_entry_main (settings_path, check_only);
  Daemon self = { 0 };
  if (fb_settings_load (settings_path, &self.settings, &self.cell) != FB_SETTINGS_OK)
    {
      fb_event_init ("flamingobarrowd", FALSE);
      fb_event_log (FB_EVENT_SETTINGS_REFUSED, "%s", fb_status_message ());
      return EXIT_SETTINGS;
    }
  fb_event_init (self.settings->name, self.settings->quiet);
  fb_crash_report_install (STDERR_FILENO, self.settings->name);
  int code = check_only ? EXIT_OK : run (&self);
  fb_settings_free (self.settings);
  fb_cell_free (self.cell);
  return code;
}
