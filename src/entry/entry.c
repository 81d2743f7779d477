/* Joins the parts of a daemon on the platform and runs their loop. */
#include "entry.h"

#include "entry-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "fb-histogram.h"
#include "fb-status.h"

#include <glib-unix.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

#define EXIT_OK 0
#define EXIT_SETTINGS 3
#define EXIT_ADDRESS 4

#define TIMER_MS 25
#define REAP_MS 100
#define SETTINGS_CHECK_MS 1000
/* A poll of the store is answered each 0.4 s, after up to 0.25 s more when it is slow; a
 * join each 0.25 s. */
#define STORE_SILENT_MS 1000
/* The store counts as lost after this without an answer; polls end sooner. */
#define STORE_LOST_MS 2500
/* A planned stop: answers are flushed, then shards are given back, then callers on
 * open connections are served until shortly before the process would be killed. */
#define STOP_STEP_MS 50
#define STOP_MARGIN_MS 1200
#define STOP_FLUSH_MS 800
#define STOP_LINGER_MS 1500
/* Lines a second; a day's peak of decisions is below it. */
#define LOG_LINES_PER_S 2000
/* Takes of one partition by one daemon within a generation of the group: with a take
 * each 350 ms this lasts 6 minutes. */
#define EPOCHS_PER_GENERATION 1024
/* Every worker writes to its entry each 1.5 s, and a poll returns at the first
 * change: without a pause 48 workers cost 32 polls a second.  A worker that leaves
 * has to be known within 2 s. */
#define WORKER_LIST_PAUSE_MS 300

typedef struct
{
  FbEntry entry;
  GMainLoop *loop;
  SoupServer *callers;
  SoupServer *internal;
  uint64_t stop_began_ms;
  gboolean left;
  gboolean leave_asked;
  uint64_t left_ms;
} Daemon;

uint64_t
fb_clock_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (uint64_t) now.tv_sec * 1000 + (uint64_t) now.tv_nsec / 1000000;
}

uint64_t
fb_clock_wall_ms (void)
{
  return (uint64_t) g_get_real_time () / 1000;
}

/* ---- the store's health ----------------------------------------------------------- */

void
fb_entry_store_answered (FbEntry *self, const FbHttpReply *reply)
{
  fb_counter_add (FB_COUNTER_STORE_CALLS, 1);
  if (reply->status != FB_HTTP_OK || reply->code >= 500 || reply->code == 429)
    {
      fb_counter_add (FB_COUNTER_STORE_ERRORS, 1);
      return;
    }
  self->store_ok_ms = fb_clock_ms ();
  if (!self->store_lost)
    return;
  self->store_lost = FALSE;
  fb_event_log (FB_EVENT_STORE_REGAINED, "store=%s", self->settings->store);
}

static void
check_store (FbEntry *self, uint64_t now_ms)
{
  if (self->store_lost || now_ms < self->store_ok_ms + STORE_LOST_MS)
    return;
  self->store_lost = TRUE;
  fb_event_log (FB_EVENT_STORE_LOST, "store=%s silent_ms=%u", self->settings->store,
                (guint) (now_ms - self->store_ok_ms));
}

gboolean
fb_entry_store_is_silent (const FbEntry *self)
{
  return fb_clock_ms () > self->store_ok_ms + STORE_SILENT_MS;
}

gboolean
fb_entry_is_ready (const FbEntry *self)
{
  return self->routes != NULL && !self->stopping && !self->store_lost;
}

static void
each_owner (FbEntry *self, void (*func) (FbOwner *owner))
{
  GHashTableIter iter;
  gpointer owner;
  g_hash_table_iter_init (&iter, self->owners);
  while (g_hash_table_iter_next (&iter, NULL, &owner))
    func (owner);
}

/* ---- workers ---------------------------------------------------------------------------- */

static void
unlist_worker (FbEntry *self, const char *id)
{
  const FbListedWorker *worker = g_hash_table_lookup (self->workers, id);
  if (worker == NULL)
    return;
  GHashTableIter iter;
  gpointer owner;
  g_hash_table_iter_init (&iter, self->owners);
  while (g_hash_table_iter_next (&iter, NULL, &owner))
    fb_owner_worker_unlisted (owner, worker);
  g_hash_table_remove (self->workers, id);
}

static void
list_worker (FbEntry *self, FbListedWorker *worker)
{
  g_hash_table_replace (self->workers, g_strdup (worker->entry.id), worker);
  GHashTableIter iter;
  gpointer owner;
  g_hash_table_iter_init (&iter, self->owners);
  while (g_hash_table_iter_next (&iter, NULL, &owner))
    fb_owner_worker_listed (owner, worker);
}

static void
on_worker_record (gpointer user, const FbStoreRecord *record)
{
  FbEntry *self = user;
  if (record->value == NULL)
    {
      unlist_worker (self, record->key);
      return;
    }
  if (self->relisted != NULL)
    g_hash_table_add (self->relisted, g_strdup (record->key));
  FbListedWorker *worker = fb_wire_listed_worker (record->key, record->value);
  if (worker != NULL)
    list_worker (self, worker);
  else
    fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "%s", fb_status_message ());
}

static void
on_workers_begin (gpointer user)
{
  FbEntry *self = user;
  g_clear_pointer (&self->relisted, g_hash_table_unref);
  self->relisted = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static void
on_workers_listed (gpointer user)
{
  FbEntry *self = user;
  g_autoptr (GList) ids = g_hash_table_get_keys (self->workers);
  for (GList *l = ids; l != NULL; l = l->next)
    {
      if (!g_hash_table_contains (self->relisted, l->data))
        unlist_worker (self, l->data);
    }
  g_clear_pointer (&self->relisted, g_hash_table_unref);
}

static const FbFollowerOps worker_ops = { on_workers_begin, on_worker_record, on_workers_listed };

/* ---- partitions --------------------------------------------------------------------- */

/* Epochs of one partition rise with each owner: with the group's generation, and
 * within it when the same daemon takes the partition again. */
typedef struct
{
  uint64_t generation;
  uint64_t n;
} FbTake;

uint32_t
fb_entry_partition_of (const FbEntry *self, const char *service)
{
  return (uint32_t) (XXH64 (service, strlen (service), 0) % self->settings->partitions);
}

FbOwner *
fb_entry_owner (const FbEntry *self, uint32_t partition)
{
  return g_hash_table_lookup (self->owners, GUINT_TO_POINTER (partition));
}

FbAppender *
fb_entry_appender (FbEntry *self, uint32_t partition)
{
  FbAppender *appender = g_hash_table_lookup (self->appenders, GUINT_TO_POINTER (partition));
  if (appender == NULL)
    {
      appender = fb_appender_new (self, FB_TOPIC_JOBS, partition, NULL, 0);
      g_hash_table_insert (self->appenders, GUINT_TO_POINTER (partition), appender);
    }
  return appender;
}

static void
take_partition (FbEntry *self, uint32_t partition, uint64_t generation)
{
  gpointer key = GUINT_TO_POINTER (partition);
  FbTake *take = g_hash_table_lookup (self->takes, key);
  if (take == NULL)
    {
      take = g_new0 (FbTake, 1);
      g_hash_table_insert (self->takes, key, take);
    }
  take->n = take->generation == generation ? take->n + 1 : 0;
  take->generation = generation;
  if (take->n >= EPOCHS_PER_GENERATION)
    {
      /* The next change of the group brings new ones. */
      fb_event_log (FB_EVENT_POOL_LOST, "partition=%u generation=%" G_GUINT64_FORMAT " why=%s",
                    partition, generation, "taken too often in one generation");
      return;
    }
  if (self->worker_follower == NULL)
    self->worker_follower
        = fb_follower_new (self, FB_TOPIC_WORKERS, 0, WORKER_LIST_PAUSE_MS, &worker_ops, self);
  uint64_t epoch = generation * EPOCHS_PER_GENERATION + take->n;
  g_hash_table_insert (self->owners, key, fb_owner_new (self, partition, epoch));
}

void
fb_entry_disown (FbEntry *self, uint32_t partition)
{
  FbOwner *owner = fb_entry_owner (self, partition);
  if (owner == NULL)
    return;
  g_hash_table_remove (self->owners, GUINT_TO_POINTER (partition));
  fb_owner_free (owner);
}

/* Only partitions that a service falls on need an owner. */
static gboolean
is_used (const FbEntry *self, uint32_t partition)
{
  for (guint i = 0; self->routes != NULL && i < self->routes->services->len; i++)
    {
      if (fb_entry_partition_of (self, self->routes->services->pdata[i]) == partition)
        return TRUE;
    }
  return FALSE;
}

static gboolean
contains (const GArray *partitions, uint32_t partition)
{
  for (guint i = 0; i < partitions->len; i++)
    {
      if (g_array_index (partitions, uint32_t, i) == partition)
        return TRUE;
    }
  return FALSE;
}

void
fb_entry_own (FbEntry *self, const GArray *partitions, uint64_t generation)
{
  g_autoptr (GList) mine = g_hash_table_get_keys (self->owners);
  for (GList *l = mine; l != NULL; l = l->next)
    {
      uint32_t partition = GPOINTER_TO_UINT (l->data);
      if (contains (partitions, partition))
        continue;
      fb_event_log (FB_EVENT_POOL_LOST, "partition=%u generation=%" G_GUINT64_FORMAT " why=%s",
                    partition, generation, "dealt to another daemon");
      fb_entry_disown (self, partition);
    }
  for (guint i = 0; i < partitions->len && !self->stopping; i++)
    {
      uint32_t partition = g_array_index (partitions, uint32_t, i);
      if (fb_entry_owner (self, partition) == NULL && is_used (self, partition))
        take_partition (self, partition, generation);
    }
}

static void
reap_lost (gpointer data, uint64_t now_ms)
{
  FbEntry *self = data;
  check_store (self, now_ms);
  g_autoptr (GList) mine = g_hash_table_get_keys (self->owners);
  for (GList *l = mine; l != NULL; l = l->next)
    {
      if (fb_owner_lost (fb_entry_owner (self, GPOINTER_TO_UINT (l->data))))
        fb_entry_disown (self, GPOINTER_TO_UINT (l->data));
    }
}

/* ---- configuration ------------------------------------------------------------------- */

static void
nothing (gpointer user)
{
  (void) user;
}

/* The highest version that was ever read stays in force: a slow read may return an
 * older one after a newer one. */
static void
on_config_record (gpointer user, const FbStoreRecord *record)
{
  FbEntry *self = user;
  if (!g_str_equal (record->key, FB_KEY_CONFIG) || record->value == NULL)
    return;
  FbRoutes *routes = fb_wire_routes (record->value);
  if (routes == NULL)
    {
      fb_event_log (FB_EVENT_CONFIG_IGNORED, "why=\"%s\"", fb_status_message ());
      return;
    }
  if (self->routes != NULL && routes->version <= self->routes->version)
    {
      fb_routes_free (routes);
      return;
    }
  fb_routes_free (self->routes);
  self->routes = routes;
  fb_event_log (FB_EVENT_ROUTES_IN_FORCE,
                "version=%" G_GUINT64_FORMAT " routes=%u services=%u offset=%" G_GUINT64_FORMAT,
                routes->version, routes->routes->len, routes->services->len, record->offset);
  each_owner (self, fb_owner_routes_changed);
}

static const FbFollowerOps config_ops = { nothing, on_config_record, nothing };

/* ---- servers ------------------------------------------------------------------------------- */

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
  (void) data;
  g_autofree char *counters = fb_counter_render ();
  GString *all = g_string_new (counters);
  fb_histogram_render (all);
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
  soup_server_add_handler (self->callers, NULL, fb_entry_front_serve, &self->entry, NULL);
  self->internal = soup_server_new ("server-header", "flamingobarrow", NULL);
  soup_server_add_handler (self->internal, FB_PATH_READY, serve_ready, &self->entry, NULL);
  soup_server_add_handler (self->internal, "/metrics", serve_metrics, NULL, NULL);
  soup_server_add_handler (self->internal, "/v1", fb_peers_serve, &self->entry, NULL);
  return listen_on (self->callers, settings->callers)
         && listen_on (self->internal, settings->readiness)
         && listen_on (self->internal, settings->peers)
         && listen_on (self->internal, settings->metrics);
}

/* ---- settings -------------------------------------------------------------------------------- */

static void
reload (FbEntry *self, const char *why)
{
  FbEntrySettings *settings = fb_entry_settings_load (self->settings_path);
  if (settings == NULL)
    {
      fb_event_log (FB_EVENT_RELOAD_REFUSED, "why=%s: %s", why, fb_status_message ());
      return;
    }
  if (!fb_entry_settings_same_listeners (settings, self->settings))
    {
      fb_event_log (FB_EVENT_RELOAD_REFUSED, "why=%s: names or addresses need a restart", why);
      fb_entry_settings_free (settings);
      return;
    }
  fb_entry_settings_free (self->settings);
  self->settings = settings;
  fb_event_log (FB_EVENT_SETTINGS_RELOADED, "why=%s store=%s", why, settings->store);
}

static gboolean
on_reload_signal (gpointer data)
{
  reload (data, "signal");
  return G_SOURCE_CONTINUE;
}

/* Settings may change without a signal. */
static void
check_settings (gpointer data, uint64_t now_ms)
{
  (void) now_ms;
  static char *last;
  FbEntry *self = data;
  g_autofree char *text = NULL;
  if (!g_file_get_contents (self->settings_path, &text, NULL, NULL))
    return;
  if (last != NULL && !g_str_equal (last, text))
    reload (self, "file");
  g_free (last);
  last = g_steal_pointer (&text);
}

/* ---- life ---------------------------------------------------------------------------------------
 */

static gboolean
on_timer (gpointer data)
{
  fb_timer_advance (((FbEntry *) data)->timer, fb_clock_ms ());
  return G_SOURCE_CONTINUE;
}

static void
on_left (gpointer data)
{
  Daemon *self = data;
  self->left = TRUE;
  self->left_ms = fb_clock_ms ();
}

static gboolean
all_quiet (const FbEntry *self)
{
  GHashTableIter iter;
  gpointer owner;
  g_hash_table_iter_init (&iter, self->owners);
  while (g_hash_table_iter_next (&iter, NULL, &owner))
    {
      if (!fb_owner_is_quiet (owner))
        return FALSE;
    }
  return TRUE;
}

static gboolean
on_stop_step (gpointer data)
{
  Daemon *self = data;
  FbEntry *entry = &self->entry;
  uint64_t now_ms = fb_clock_ms ();
  uint64_t spent_ms = now_ms - self->stop_began_ms;
  if (!self->leave_asked && (all_quiet (entry) || spent_ms > STOP_FLUSH_MS))
    {
      g_autoptr (GArray) none = g_array_new (FALSE, TRUE, sizeof (uint32_t));
      self->leave_asked = TRUE;
      fb_entry_own (entry, none, 0);
      fb_group_leave (entry->group, on_left, self);
    }
  gboolean done
      = self->left && fb_entry_front_open () == 0 && now_ms > self->left_ms + STOP_LINGER_MS;
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
                (guint) self->entry.settings->grace_ms, fb_entry_front_open ());
  each_owner (&self->entry, fb_owner_quiesce);
  g_timeout_add (STOP_STEP_MS, on_stop_step, self);
  return G_SOURCE_CONTINUE;
}

static void
start_parts (FbEntry *self)
{
  self->store_ok_ms = fb_clock_ms ();
  self->timer = fb_timer_new (self->store_ok_ms);
  self->store_client = fb_http_client_new ();
  self->worker_client = fb_http_client_new ();
  self->peer_client = fb_http_client_new ();
  self->workers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, fb_listed_worker_free);
  self->owners = g_hash_table_new (NULL, NULL);
  self->appenders = g_hash_table_new (NULL, NULL);
  self->takes = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  self->advisor = fb_advisor_new (self);
  self->config_follower = fb_follower_new (self, FB_TOPIC_CONFIG, 0, 0, &config_ops, self);
  self->group = fb_group_new (self);
  fb_timer_subscribe (self->timer, REAP_MS, reap_lost, self);
  fb_timer_subscribe (self->timer, SETTINGS_CHECK_MS, check_settings, self);
  g_timeout_add (TIMER_MS, on_timer, self);
}

static int
run (Daemon *self)
{
  if (!start_servers (self))
    return EXIT_ADDRESS;
  start_parts (&self->entry);
  self->loop = g_main_loop_new (NULL, FALSE);
  g_unix_signal_add (SIGTERM, on_stop_signal, self);
  g_unix_signal_add (SIGINT, on_stop_signal, self);
  g_unix_signal_add (SIGHUP, on_reload_signal, &self->entry);
  fb_event_log (FB_EVENT_PROCESS_STARTED, "name=%s callers=%s peers=%s store=%s",
                self->entry.settings->name, self->entry.settings->callers,
                self->entry.settings->peers, self->entry.settings->store);
  g_main_loop_run (self->loop);
  fb_event_log (FB_EVENT_PROCESS_STOPPED, "name=%s open=%u", self->entry.settings->name,
                fb_entry_front_open ());
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
  int code = check_only ? EXIT_OK : run (&self);
  fb_entry_settings_free (self.entry.settings);
  return code;
}
