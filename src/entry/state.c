/* What a daemon believes: the store's health, the configuration, the workers, and which
 * partitions are its own. */
#include "entry-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "fb-status.h"

#include <string.h>
#include <time.h>
#include <xxhash.h>

#define REAP_MS 100
/* Ids of entries that could not be read; with more of them some are told of again. */
#define SKIPPED_MAX 1000
/* A poll of the store is answered each 0.4 s, after up to 0.25 s more when it is slow; a
 * join each 0.25 s. */
#define STORE_SILENT_MS 1000
/* The store counts as lost after this without an answer; polls end sooner. */
#define STORE_LOST_MS 2500
/* Takes of one partition by one daemon within a generation of the group: with a take
 * each 350 ms this lasts 6 minutes. */
#define EPOCHS_PER_GENERATION 1024
/* Every worker writes to its entry each 1.5 s, and a poll returns at the first
 * change: without a pause 48 workers cost 32 polls a second.  A worker that leaves
 * has to be known within 2 s. */
#define WORKER_LIST_PAUSE_MS 300

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

void
fb_entry_renewed (FbEntry *self, const FbHttpReply *reply, uint64_t sent_ms)
{
  uint64_t now_ms = fb_clock_ms ();
  if (reply->status == FB_HTTP_OK)
    fb_store_health_renewed (&self->pace, (uint32_t) MIN (now_ms - sent_ms, G_MAXUINT32));
  else if (reply->status == FB_HTTP_TIMEOUT)
    fb_store_health_failed (&self->pace, now_ms);
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

void
fb_entry_each_owner (FbEntry *self, void (*func) (FbOwner *owner))
{
  GHashTableIter iter;
  gpointer owner;
  g_hash_table_iter_init (&iter, self->owners);
  while (g_hash_table_iter_next (&iter, NULL, &owner))
    func (owner);
}

/* ---- workers ---------------------------------------------------------------------------- */

/* ID: of a worker; the life that is listed under it is not any more. */
static void
unlist_worker (FbEntry *self, const char *id)
{
  const FbListedWorker *worker = fb_worker_list_of (self->workers, id);
  if (worker == NULL)
    return;
  GHashTableIter iter;
  gpointer owner;
  g_hash_table_iter_init (&iter, self->owners);
  while (g_hash_table_iter_next (&iter, NULL, &owner))
    fb_owner_worker_unlisted (owner, worker);
  fb_worker_list_remove (self->workers, id);
}

static void
list_worker (FbEntry *self, FbListedWorker *worker)
{
  const FbListedWorker *before = fb_worker_list_of (self->workers, worker->id);
  if (before != NULL && before->incarnation_started_ms != worker->incarnation_started_ms)
    unlist_worker (self, worker->id);
  fb_worker_list_put (self->workers, worker);
  GHashTableIter iter;
  gpointer owner;
  g_hash_table_iter_init (&iter, self->owners);
  while (g_hash_table_iter_next (&iter, NULL, &owner))
    fb_owner_worker_listed (owner, worker);
}

/* An entry that cannot be read names no worker.  It is told of once: its writer may write it
 * again each second. */
static void
skip_entry (FbEntry *self, const char *id)
{
  fb_counter_add (FB_COUNTER_LOG_SKIPPED, 1);
  unlist_worker (self, id);
  if (g_hash_table_size (self->skipped) >= SKIPPED_MAX)
    g_hash_table_remove_all (self->skipped);
  if (g_hash_table_add (self->skipped, g_strdup (id)))
    fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "%s", fb_status_message ());
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
  FbListedWorker *worker = fb_wire_parse_worker (record->key, record->value);
  if (worker == NULL)
    {
      skip_entry (self, record->key);
      return;
    }
  if (self->relisted != NULL)
    g_hash_table_add (self->relisted, g_strdup (record->key));
  if (fb_worker_list_passes_over (self->workers, worker))
    fb_listed_worker_free (worker);
  else
    list_worker (self, worker);
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
  g_autoptr (GList) ids = fb_worker_list_ids (self->workers);
  for (GList *l = ids; l != NULL; l = l->next)
    {
      if (!g_hash_table_contains (self->relisted, l->data))
        unlist_worker (self, l->data);
    }
  g_clear_pointer (&self->relisted, g_hash_table_unref);
}

static const FbTopicReaderOps worker_ops
    = { on_workers_begin, on_worker_record, on_workers_listed };

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

/* 0 for what never happened. */
static guint
ms_ago (uint64_t at_ms, uint64_t now_ms)
{
  return at_ms != 0 ? (guint) (now_ms - at_ms) : 0;
}

char *
fb_entry_ages (const FbEntry *self)
{
  uint64_t now_ms = fb_clock_ms ();
  return g_strdup_printf (
      "join_sent_ms_ago=%u join_answered_ms_ago=%u join_gap_ms=%u kept_ms_ago=%u loop_late_ms=%u",
      ms_ago (self->joins.sent_ms, now_ms), ms_ago (self->joins.answered_ms, now_ms),
      self->joins.gap_ms,
      ms_ago (fb_keepalive_renewed_ms (self->keepalive, FB_MEMBERSHIP_OWNERS), now_ms),
      fb_loop_watch_longest_ms (self->loop, now_ms));
}

void
fb_entry_join_answered (FbEntry *self, uint32_t ttl_ms)
{
  if (!fb_join_watch_answered (&self->joins, ttl_ms, fb_clock_ms ()))
    return;
  g_autofree char *ages = fb_entry_ages (self);
  fb_event_log (FB_EVENT_JOIN_LATE, "ttl_ms=%u %s", ttl_ms, ages);
}

static void
log_lost (const FbEntry *self, uint32_t partition, uint64_t generation, const char *why)
{
  g_autofree char *ages = fb_entry_ages (self);
  fb_event_log (FB_EVENT_POOL_LOST, "partition=%u generation=%" G_GUINT64_FORMAT " why=\"%s\" %s",
                partition, generation, why, ages);
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
      log_lost (self, partition, generation, "taken too often in one generation");
      return;
    }
  if (self->worker_reader == NULL)
    self->worker_reader
        = fb_topic_reader_new (self, FB_TOPIC_WORKERS, 0, WORKER_LIST_PAUSE_MS, &worker_ops, self);
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
fb_entry_own (FbEntry *self, const GArray *partitions, uint64_t generation, const char *why)
{
  g_autoptr (GList) mine = g_hash_table_get_keys (self->owners);
  for (GList *l = mine; l != NULL; l = l->next)
    {
      uint32_t partition = GPOINTER_TO_UINT (l->data);
      if (contains (partitions, partition))
        continue;
      log_lost (self, partition, generation, why);
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
  FbRoutes *routes = fb_wire_parse_routes (record->value);
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
  fb_entry_each_owner (self, fb_owner_routes_changed);
}

static const FbTopicReaderOps config_ops = { nothing, on_config_record, nothing };

void
fb_entry_watch (FbEntry *self)
{
  self->config_reader = fb_topic_reader_new (self, FB_TOPIC_CONFIG, 0, 0, &config_ops, self);
  fb_timer_subscribe (self->timer, REAP_MS, reap_lost, self);
}
