/* Creates the components of the daemon on the platform and runs its main loop. */
#include "entry.h"

#include "entry-private.h"

#include "src/entry/frontend/body-limit.h"
#include "src/entry/frontend/frontend.h"
#include "src/net/libraries.h"

#include "fb-build-info.h"
#include "fb-counter.h"
#include "fb-crash-report.h"
#include "fb-event.h"
#include "fb-histogram.h"
#include "fb-reload-signal.h"
#include "fb-status.h"
#include "fb-traffic.h"

#include <glib-unix.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#define EXIT_OK 0
#define EXIT_SETTINGS 3
#define EXIT_ADDRESS 4

#define TIMER_MS 25
#define SETTINGS_CHECK_MS 1000
/* Interval at which the utilization of the network link is checked; bursts of traffic after a
 * takeover last 1 to 2 s. */
#define LINK_CHECK_MS 2000
/* Connections to workers that no call has used for this time are closed.  A worker serves a limited
 * number of them for all daemons together, and the starts of one job may need several at once. */
#define WORKER_CONNECTION_IDLE_MS 5000
#define IDLE_CHECK_MS 500
/* Phases of a planned stop: progress is flushed, then partitions are released, then callers on open
 * connections are served until shortly before the process would be killed. */

/* Interval of the checks whether the process can exit; must be shorter than STOP_SETTLE_MS, the
 * period without answers that they require.  With an interval of 50 ms and a caller that sends a
 * request every 50 ms, each check saw a recent answer, and the process ran until it had to refuse
 * callers. */
#define STOP_STEP_MS 10
#define STOP_MARGIN_MS 1200
#define STOP_FLUSH_MS 800
#define STOP_LINGER_MS 1500
/* Time until an answer has been written to the socket, on a quarter of a core. */
#define STOP_SETTLE_MS 20
/* Size of the cache of payloads received from other owners: some 700 payloads of 1.4 KB, 1 MB of a
 * daemon's 64 MB. */
#define PAYLOAD_CACHE_BYTES (1024 * 1024)
/* Maximum number of log lines per second, above the daily peak of decisions. */
#define LOG_LINES_PER_S 2000
/* Share of the process's file descriptors for connections to workers; the others are for callers,
 * peers and the store.  FILES_MAX: number of descriptors that are used at most. */
#define WORKER_CALLS_FILES_PERCENT 75
#define FILES_MAX 65536

typedef struct
{
  FbEntryDaemon entry;
  GMainLoop *loop;
  SoupServer *callers;
  SoupServer *internal;
  uint64_t stop_began_ms;
  gboolean leave_requested;
  uint64_t released_ms; /* time of the release of the partitions; 0: not released */
} Daemon;

/* ---- servers ---------------------------------------------------------------------- */

static void
serve_ready (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
             gpointer data)
{
  (void) server;
  (void) path;
  (void) query;
  guint status = fb_entry_is_ready (data) ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE;
  soup_server_message_set_status (message, status, NULL);
}

static void
serve_metrics (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
               gpointer data)
{
  (void) server;
  (void) path;
  (void) query;
  FbEntryDaemon *self = data;
  g_autofree char *counters = fb_counter_render ();
  g_autofree char *build = fb_libraries_render ();
  GString *all = g_string_new (counters);
  g_string_append (all, build);
  fb_histogram_render (all);
  fb_traffic_render (all);
  GHashTableIter iter;
  gpointer owner;
  g_hash_table_iter_init (&iter, self->owners);
  while (g_hash_table_iter_next (&iter, NULL, &owner))
    fb_owner_render_accounts (owner, all);
  char *text = g_string_free (all, FALSE);
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (message, "text/plain", SOUP_MEMORY_TAKE, text, strlen (text));
}

static gboolean
listen_on (SoupServer *server, const char *address)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketConnectable) parsed = g_network_address_parse (address, 0, NULL);
  if (parsed != NULL)
    {
      GNetworkAddress *network = G_NETWORK_ADDRESS (parsed);
      g_autoptr (GSocketAddress) socket = g_inet_socket_address_new_from_string (
          g_network_address_get_hostname (network), g_network_address_get_port (network));
      if (socket != NULL && soup_server_listen (server, socket, 0, &error))
        return TRUE;
    }
  fprintf (stderr, "flamingobarrowd: cannot listen on %s: %s\n", address,
           error != NULL ? error->message : "expected IP:PORT");
  return FALSE;
}

static gboolean
start_servers (Daemon *self)
{
  const FbEntrySettings *settings = self->entry.settings;
  self->callers = soup_server_new ("server-header", "flamingobarrow", NULL);
  fb_body_limit_install (self->callers);
  soup_server_add_handler (self->callers, NULL, fb_entry_frontend_serve, &self->entry, NULL);
  self->internal = soup_server_new ("server-header", "flamingobarrow", NULL);
  fb_body_limit_install (self->internal);
  soup_server_add_handler (self->internal, FB_PATH_READY, serve_ready, &self->entry, NULL);
  soup_server_add_handler (self->internal, "/metrics", serve_metrics, &self->entry, NULL);
  return listen_on (self->callers, settings->callers)
         && listen_on (self->internal, settings->readiness)
         && listen_on (self->internal, settings->metrics);
}

/* ---- settings --------------------------------------------------------------------- */

static void
reload (FbEntryDaemon *self, const char *reason)
{
  FbEntrySettings *settings = fb_entry_settings_load (self->settings_path);
  if (settings == NULL)
    {
      fb_event_log (FB_EVENT_RELOAD_REFUSED, "why=%s: %s", reason, fb_status_message ());
      return;
    }
  if (!fb_entry_settings_same_listeners (settings, self->settings))
    {
      fb_event_log (
          FB_EVENT_RELOAD_REFUSED,
          "why=%s: the name, the addresses and the number of partitions change only at a restart",
          reason);
      fb_entry_settings_free (settings);
      return;
    }
  fb_entry_settings_free (self->settings);
  self->settings = settings;
  fb_event_log (FB_EVENT_SETTINGS_RELOADED, "why=%s store=%s", reason, settings->store);
}

static gboolean
on_reload_signal (gpointer data)
{
  reload (data, "signal");
  return G_SOURCE_CONTINUE;
}

/* Reloads the settings when the file's content has changed, also without a signal. */
static void
check_settings (gpointer data, uint64_t now_ms)
{
  (void) now_ms;
  static char *last;
  FbEntryDaemon *self = data;
  g_autofree char *text = NULL;
  if (!g_file_get_contents (self->settings_path, &text, NULL, NULL))
    return;
  if (last != NULL && !g_str_equal (last, text))
    reload (self, "file");
  g_free (last);
  last = g_steal_pointer (&text);
}

/* ---- process life cycle ----------------------------------------------------------- */

static gboolean
on_timer (gpointer data)
{
  FbEntryDaemon *self = data;
  uint64_t now_ms = fb_clock_ms ();
  FbLoopDelays delays;
  if (fb_loop_monitor_iteration (self->loop_monitor, now_ms, &delays))
    fb_event_log (FB_EVENT_LOOP_LATE, "late_ms=%u turns=%u partitions=%u open=%u", delays.delay_ms,
                  delays.iterations_n, g_hash_table_size (self->owners), self->open_calls);
  fb_timer_advance (self->timer, now_ms);
  return G_SOURCE_CONTINUE;
}

static void
on_group_left (gpointer data)
{
  Daemon *self = data;
  self->released_ms = fb_clock_ms ();
}

static gboolean
all_owners_flushed (const FbEntryDaemon *self)
{
  GHashTableIter iter;
  gpointer owner;
  g_hash_table_iter_init (&iter, self->owners);
  while (g_hash_table_iter_next (&iter, NULL, &owner))
    {
      if (!fb_owner_is_flushed (owner))
        return FALSE;
    }
  return TRUE;
}

static gboolean
on_stop_step (gpointer data)
{
  Daemon *self = data;
  FbEntryDaemon *entry = &self->entry;
  uint64_t now_ms = fb_clock_ms ();
  uint64_t spent_ms = now_ms - self->stop_began_ms;
  if (!self->leave_requested && (all_owners_flushed (entry) || spent_ms > STOP_FLUSH_MS))
    {
      g_autoptr (GArray) none = g_array_new (FALSE, TRUE, sizeof (uint32_t));
      self->leave_requested = TRUE;
      fb_entry_set_owned_partitions (entry, none, 0, "planned stop");
      fb_group_release_partitions (entry->group, on_group_left, self);
    }
  /* Refuses requests that could outlast the process; otherwise they would be read and never
   * answered. */
  if (spent_ms + STOP_MARGIN_MS + FB_ENTRY_FRONTEND_CALL_MAX_MS >= entry->settings->grace_ms)
    entry->refusing_callers = TRUE;
  gboolean done = self->released_ms != 0 && now_ms > self->released_ms + STOP_LINGER_MS
                  && entry->open_calls == 0 && now_ms >= entry->last_answer_ms + STOP_SETTLE_MS;
  if (!done && spent_ms + STOP_MARGIN_MS < entry->settings->grace_ms)
    return G_SOURCE_CONTINUE;
  g_main_loop_quit (self->loop);
  return G_SOURCE_REMOVE;
}

static gboolean
on_stop_signal (gpointer data)
{
  Daemon *self = data;
  if (self->entry.stopping)
    return G_SOURCE_CONTINUE;
  self->entry.stopping = TRUE;
  self->stop_began_ms = fb_clock_ms ();
  fb_event_log (FB_EVENT_PROCESS_DRAINING, "grace_ms=%u open=%u",
                (guint) self->entry.settings->grace_ms, self->entry.open_calls);
  fb_entry_foreach_owner (&self->entry, fb_owner_quiesce);
  fb_daemons_leave (self->entry.daemons);
  g_timeout_add (STOP_STEP_MS, on_stop_step, self);
  return G_SOURCE_CONTINUE;
}

static void
check_link_utilization (gpointer data, uint64_t now_ms)
{
  FbEntryDaemon *self = data;
  FbTrafficTotals totals;
  FbLinkUtilization sent;
  FbLinkUtilization received;
  fb_traffic_totals (&totals);
  if (!fb_link_monitor_sample (self->link_monitor, &totals, now_ms, &sent, &received))
    return;
  fb_event_log (FB_EVENT_LINK_BUSY,
                "link_kbit_s=%u sent_kbit_s=%u most=%s most_kbit_s=%u received_kbit_s=%u most=%s"
                " most_kbit_s=%u partitions=%u",
                (guint) self->settings->link_kbit_s, sent.kbit_s, fb_traffic_name (sent.busiest),
                sent.busiest_kbit_s, received.kbit_s, fb_traffic_name (received.busiest),
                received.busiest_kbit_s, g_hash_table_size (self->owners));
}

static void
check_link_timeouts (gpointer data, uint64_t now_ms)
{
  fb_links_check_timeouts (((FbEntryDaemon *) data)->links, now_ms);
}

static void
close_idle_connections (gpointer data, uint64_t now_ms)
{
  (void) now_ms;
  fb_http_client_close_idle (((FbEntryDaemon *) data)->worker_client, WORKER_CONNECTION_IDLE_MS);
}

/* Returns: how many calls to workers this process may have open, each on a connection of its own.
 */
static guint
worker_calls_max (void)
{
  struct rlimit limit;
  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > FILES_MAX)
    limit.rlim_cur = FILES_MAX;
  return (guint) (limit.rlim_cur * WORKER_CALLS_FILES_PERCENT / 100);
}

static void
start_components (FbEntryDaemon *self)
{
  self->store_answered_ms = fb_clock_ms ();
  self->timer = fb_timer_new (self->store_answered_ms);
  self->loop_monitor = fb_loop_monitor_new (TIMER_MS, self->store_answered_ms);
  self->payload_dedup = fb_payload_dedup_new ((uint32_t) self->settings->link_kbit_s);
  self->payload_cache = fb_payload_cache_new (PAYLOAD_CACHE_BYTES);
  self->relay_versions = fb_relay_versions_new ();
  self->relay_choices = fb_relay_choices_new ();
  self->recent_starts = fb_recent_starts_new ();
  self->suspect_backups = fb_suspect_backups_new ();
  self->load_notices = fb_load_notices_new ();
  self->recent_appends = fb_recent_appends_new ();
  self->link_monitor
      = fb_link_monitor_new ((uint32_t) self->settings->link_kbit_s, self->store_answered_ms);
  self->store_client = fb_http_client_new ();
  self->worker_client = fb_http_client_new ();
  fb_http_client_set_calls_max (self->worker_client, worker_calls_max ());
  self->advice_client = fb_http_client_new ();
  self->workers = fb_worker_list_new ();
  self->malformed_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  self->owners = g_hash_table_new (NULL, NULL);
  self->appenders = g_hash_table_new (NULL, NULL);
  self->partition_epochs = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  self->route_directory = fb_route_directory_new (self);
  self->advisor = fb_advisor_new (self);
  self->keepalive = fb_keepalive_new ();
  self->daemons = fb_daemons_new (self);
  self->store_witnesses = fb_store_witnesses_new (self);
  self->group = fb_group_new (self);
  fb_entry_start_watching (self);
  fb_timer_subscribe (self->timer, TIMER_MS, check_link_timeouts, self);
  fb_timer_subscribe (self->timer, SETTINGS_CHECK_MS, check_settings, self);
  fb_timer_subscribe (self->timer, LINK_CHECK_MS, check_link_utilization, self);
  fb_timer_subscribe (self->timer, IDLE_CHECK_MS, close_idle_connections, self);
  g_timeout_add (TIMER_MS, on_timer, self);
}

static int
run (Daemon *self)
{
  if (!start_servers (self))
    return EXIT_ADDRESS;
  self->entry.links
      = fb_links_new (self->entry.settings->peers_listen, fb_peers_serve, &self->entry);
  if (self->entry.links == NULL)
    {
      fprintf (stderr, "flamingobarrowd: %s\n", fb_status_message ());
      return EXIT_ADDRESS;
    }
  start_components (&self->entry);
  self->loop = g_main_loop_new (NULL, FALSE);
  g_unix_signal_add (SIGTERM, on_stop_signal, self);
  g_unix_signal_add (SIGINT, on_stop_signal, self);
  g_unix_signal_add (SIGHUP, on_reload_signal, &self->entry);
  fb_reload_signal_unblock ();
  g_autofree char *libraries = fb_libraries_describe ();
  fb_event_log (
      FB_EVENT_PROCESS_STARTED, "name=%s callers=%s peers=%s store=%s version=%s build=%s %s",
      self->entry.settings->name, self->entry.settings->callers, self->entry.settings->peers,
      self->entry.settings->store, fb_build_version (), fb_build_id (), libraries);
  g_main_loop_run (self->loop);
  fb_keepalive_free (self->entry.keepalive);
  fb_event_log (FB_EVENT_PROCESS_STOPPED, "name=%s open=%u", self->entry.settings->name,
                self->entry.open_calls);
  return EXIT_OK;
}

int
fb_entry_main (const char *settings_path, int check_only)
{
  Daemon self = { .entry.settings_path = settings_path };
  self.entry.settings = fb_entry_settings_load (settings_path);
  if (self.entry.settings == NULL)
    {
      fb_event_init ("flamingobarrowd", FALSE);
      fb_event_log (FB_EVENT_SETTINGS_REFUSED, "%s", fb_status_message ());
      return EXIT_SETTINGS;
    }
  fb_event_init_stdout (self.entry.settings->name, LOG_LINES_PER_S);
  fb_crash_report_install (STDOUT_FILENO, self.entry.settings->name);
  int code = check_only ? EXIT_OK : run (&self);
  fb_entry_settings_free (self.entry.settings);
  return code;
}
