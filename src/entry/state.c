/* State of a daemon: the store's health, the configuration, the workers, and the partitions that it
 * owns. */
#include "configuration.h"
#include "entry-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "fb-status.h"

#include <string.h>
#include <time.h>
#include <xxhash.h>

#define RELEASE_INTERVAL_MS 100
/* Maximum number of malformed worker entries that are recorded as logged; beyond it, entries may be
 * logged again. */
#define MALFORMED_IDS_MAX 1000
/* Time without an answer after which the store is considered silent.  Normally an answer to a poll
 * arrives every 0.4 s, up to 0.25 s later when the store is slow, and an answer to a join every
 * 0.25 s. */
#define STORE_SILENT_MS 1000
/* Time without an answer after which the store is considered unavailable; longer than the timeout
 * of polls. */
#define STORE_LOST_MS 2500
/* Number of epochs that one daemon can use for a partition within one generation of the group: at
 * one takeover every 350 ms they suffice for 6 minutes. */
#define EPOCHS_PER_GENERATION 1024
/* Pause between polls of the worker list.  Every worker rewrites its entry every 1.5 s, and a poll
 * returns at the first change, so that without a pause 48 workers would cause 32 polls a second.  A
 * worker that leaves has to be detected within 2 s. */
#define WORKER_LIST_PAUSE_MS 300
/* Time without a pool after which the worker list is no longer read: its entries change at the rate
 * of the workers' heartbeats, 0.5 MB/s with 6,000 workers. */
#define WORKER_LIST_KEPT_MS 5000

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
fb_entry_store_answered (FbEntryDaemon *self, const FbHttpReply *reply)
{
  fb_counter_add (FB_COUNTER_STORE_CALLS, 1);
  if (reply->status != FB_HTTP_OK || reply->code >= 500 || reply->code == 429)
    {
      fb_counter_add (FB_COUNTER_STORE_ERRORS, 1);
      self->store_failed_ms = fb_clock_ms ();
      return;
    }
  self->store_answered_ms = fb_clock_ms ();
  if (!self->store_lost)
    return;
  self->store_lost = FALSE;
  fb_event_log (FB_EVENT_STORE_REGAINED, "store=%s", self->settings->store);
}

void
fb_entry_membership_renewed (FbEntryDaemon *self, const FbHttpReply *reply, uint64_t sent_ms)
{
  uint64_t now_ms = fb_clock_ms ();
  if (reply->status == FB_HTTP_OK)
    fb_store_health_renewed (&self->store_health, (uint32_t) MIN (now_ms - sent_ms, G_MAXUINT32));
  else if (reply->status == FB_HTTP_TIMEOUT)
    fb_store_health_failed (&self->store_health, now_ms);
}

static void
check_store_lost (FbEntryDaemon *self, uint64_t now_ms)
{
  if (self->store_lost || now_ms < self->store_answered_ms + STORE_LOST_MS)
    return;
  self->store_lost = TRUE;
  fb_event_log (FB_EVENT_STORE_LOST, "store=%s silent_ms=%u", self->settings->store,
                (guint) (now_ms - self->store_answered_ms));
}

gboolean
fb_entry_store_is_silent (const FbEntryDaemon *self)
{
  return fb_clock_ms () > self->store_answered_ms + STORE_SILENT_MS;
}

gboolean
fb_entry_is_ready (const FbEntryDaemon *self)
{
  return self->routes != NULL && !self->stopping && !self->store_lost;
}

void
fb_entry_foreach_owner (FbEntryDaemon *self, void (*func) (FbOwner *owner))
{
  GHashTableIter iter;
  gpointer owner;
  g_hash_table_iter_init (&iter, self->owners);
  while (g_hash_table_iter_next (&iter, NULL, &owner))
    func (owner);
}

/* ---- workers ---------------------------------------------------------------------------- */

/* Removes the listed incarnation of the worker with this ID. */
static void
remove_worker (FbEntryDaemon *self, const char *id)
{
  const FbListedWorker *worker = fb_worker_list_by_id (self->workers, id);
  if (worker == NULL)
    return;
  GHashTableIter iter;
  gpointer owner;
  g_hash_table_iter_init (&iter, self->owners);
  while (g_hash_table_iter_next (&iter, NULL, &owner))
    fb_owner_worker_unlisted (owner, worker);
  /* A worker that drained has left as planned. */
  if (!worker->entry.draining)
    fb_recent_starts_unlisted (self->recent_starts, worker->entry.id);
  fb_worker_list_remove (self->workers, id);
}

static void
apply_worker_entry (FbEntryDaemon *self, FbListedWorker *worker)
{
  const FbListedWorker *before = fb_worker_list_by_id (self->workers, worker->id);
  if (before != NULL && before->incarnation_started_ms != worker->incarnation_started_ms)
    remove_worker (self, worker->id);
  fb_worker_list_put (self->workers, worker);
  GHashTableIter iter;
  gpointer owner;
  g_hash_table_iter_init (&iter, self->owners);
  while (g_hash_table_iter_next (&iter, NULL, &owner))
    fb_owner_worker_listed (owner, worker);
}

/* Removes the worker of a malformed entry.  The entry is logged once, because its writer may repeat
 * it every second. */
static void
remove_malformed_worker (FbEntryDaemon *self, const char *id)
{
  fb_counter_add (FB_COUNTER_LOG_SKIPPED, 1);
  remove_worker (self, id);
  if (g_hash_table_size (self->malformed_ids) >= MALFORMED_IDS_MAX)
    g_hash_table_remove_all (self->malformed_ids);
  if (g_hash_table_add (self->malformed_ids, g_strdup (id)))
    fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "%s", fb_status_message ());
}

static void
on_worker_record (gpointer user, const FbStoreRecord *record)
{
  FbEntryDaemon *self = user;
  if (record->value == NULL)
    {
      remove_worker (self, record->key);
      return;
    }
  FbListedWorker *worker = fb_wire_parse_worker (record->key, record->value);
  if (worker == NULL)
    {
      remove_malformed_worker (self, record->key);
      return;
    }
  if (self->listed_ids != NULL)
    g_hash_table_add (self->listed_ids, g_strdup (record->key));
  if (fb_worker_list_is_outdated (self->workers, worker))
    fb_listed_worker_free (worker);
  else
    apply_worker_entry (self, worker);
}

static void
on_workers_begin (gpointer user)
{
  FbEntryDaemon *self = user;
  g_clear_pointer (&self->listed_ids, g_hash_table_unref);
  self->listed_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static void
on_workers_listed (gpointer user)
{
  FbEntryDaemon *self = user;
  g_autoptr (GList) ids = fb_worker_list_ids (self->workers);
  for (GList *l = ids; l != NULL; l = l->next)
    {
      if (!g_hash_table_contains (self->listed_ids, l->data))
        remove_worker (self, l->data);
    }
  g_clear_pointer (&self->listed_ids, g_hash_table_unref);
}

static const FbTopicReaderOps worker_ops
    = { on_workers_begin, on_worker_record, on_workers_listed };

/* ---- partitions --------------------------------------------------------------------- */

/* Epochs of a partition increase with each owner: with the group's generation, and within a
 * generation with each takeover by the same daemon. */
typedef struct
{
  uint64_t generation; /* generation of the group at the last takeover */
  uint64_t n;          /* index of the last epoch used in that generation, from 0 */
} FbPartitionEpochs;

uint32_t
fb_entry_partition_of (const FbEntryDaemon *self, const char *service)
{
  return (uint32_t) (XXH64 (service, strlen (service), 0) % self->settings->partitions);
}

FbOwner *
fb_entry_owner (const FbEntryDaemon *self, uint32_t partition)
{
  return g_hash_table_lookup (self->owners, GUINT_TO_POINTER (partition));
}

FbAppender *
fb_entry_appender (FbEntryDaemon *self, uint32_t partition)
{
  FbAppender *appender = g_hash_table_lookup (self->appenders, GUINT_TO_POINTER (partition));
  if (appender == NULL)
    {
      appender = fb_appender_new (self, FB_TOPIC_JOBS, partition, NULL, 0);
      g_hash_table_insert (self->appenders, GUINT_TO_POINTER (partition), appender);
    }
  return appender;
}

/* Returns: the time since AT_MS; 0 when AT_MS is 0, which means that the event has not occurred. */
static guint
elapsed_ms (uint64_t at_ms, uint64_t now_ms)
{
  return at_ms != 0 ? (guint) (now_ms - at_ms) : 0;
}

char *
fb_entry_format_timing (const FbEntryDaemon *self)
{
  uint64_t now_ms = fb_clock_ms ();
  return g_strdup_printf (
      "join_sent_ms_ago=%u join_answered_ms_ago=%u join_gap_ms=%u kept_ms_ago=%u loop_late_ms=%u",
      elapsed_ms (self->join_monitor.sent_ms, now_ms),
      elapsed_ms (self->join_monitor.answered_ms, now_ms), self->join_monitor.gap_ms,
      elapsed_ms (fb_keepalive_renewed_ms (self->keepalive, FB_MEMBERSHIP_OWNERS), now_ms),
      fb_loop_monitor_max_delay_ms (self->loop_monitor, now_ms));
}

void
fb_entry_join_answered (FbEntryDaemon *self, uint32_t ttl_ms)
{
  if (!fb_join_monitor_answered (&self->join_monitor, ttl_ms, fb_clock_ms ()))
    return;
  g_autofree char *ages = fb_entry_format_timing (self);
  fb_event_log (FB_EVENT_JOIN_LATE, "ttl_ms=%u %s", ttl_ms, ages);
}

static void
log_lost_partition (const FbEntryDaemon *self, uint32_t partition, uint64_t generation,
                    const char *reason)
{
  const FbOwner *owner = fb_entry_owner (self, partition);
  g_autofree char *ages = fb_entry_format_timing (self);
  fb_event_log (FB_EVENT_POOL_LOST,
                "partition=%u generation=%" G_GUINT64_FORMAT " epoch=%" G_GUINT64_FORMAT
                " owned_ms=%" G_GUINT64_FORMAT " confirmed_ms_ago=%" G_GUINT64_FORMAT
                " why=\"%s\" %s",
                partition, generation, owner != NULL ? fb_owner_epoch (owner) : 0,
                owner != NULL ? fb_owner_owned_ms (owner) : 0,
                owner != NULL ? fb_owner_confirmed_ms_ago (owner) : 0, reason, ages);
}

static void
take_over_partition (FbEntryDaemon *self, uint32_t partition, uint64_t generation)
{
  gpointer key = GUINT_TO_POINTER (partition);
  FbPartitionEpochs *epochs = g_hash_table_lookup (self->partition_epochs, key);
  if (epochs == NULL)
    {
      epochs = g_new0 (FbPartitionEpochs, 1);
      g_hash_table_insert (self->partition_epochs, key, epochs);
    }
  epochs->n = epochs->generation == generation ? epochs->n + 1 : 0;
  epochs->generation = generation;
  if (epochs->n >= EPOCHS_PER_GENERATION)
    {
      /* The group's next generation allows new epochs. */
      log_lost_partition (self, partition, generation, "taken over too often in one generation");
      return;
    }
  if (self->worker_reader == NULL)
    self->worker_reader
        = fb_topic_reader_new (self, FB_TOPIC_WORKERS, 0, WORKER_LIST_PAUSE_MS, &worker_ops, self);
  fb_daemons_refresh (self->daemons);
  uint64_t epoch = generation * EPOCHS_PER_GENERATION + epochs->n;
  g_hash_table_insert (self->owners, key, fb_owner_new (self, partition, epoch));
}

void
fb_entry_release_partition (FbEntryDaemon *self, uint32_t partition)
{
  FbOwner *owner = fb_entry_owner (self, partition);
  if (owner == NULL)
    return;
  g_hash_table_remove (self->owners, GUINT_TO_POINTER (partition));
  fb_owner_free (owner);
}

FbQueueDirectory *
fb_entry_queue_directory (FbEntryDaemon *self)
{
  if (self->queue_directory == NULL)
    self->queue_directory = fb_queue_directory_new (self);
  return self->queue_directory;
}

static gboolean
contains_partition (const GArray *partitions, uint32_t partition)
{
  for (guint i = 0; i < partitions->len; i++)
    {
      if (g_array_index (partitions, uint32_t, i) == partition)
        return TRUE;
    }
  return FALSE;
}

static void
add_partitions (const FbEntryDaemon *self, const GPtrArray *services, GArray *partitions)
{
  for (guint i = 0; i < services->len; i++)
    {
      uint32_t partition = fb_entry_partition_of (self, services->pdata[i]);
      if (!contains_partition (partitions, partition))
        g_array_append_val (partitions, partition);
    }
}

GArray *
fb_entry_service_partitions (const FbEntryDaemon *self)
{
  if (self->routes == NULL)
    return NULL;
  GArray *partitions = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  add_partitions (self, self->routes->services, partitions);
  if (self->queue_directory == NULL)
    return partitions;
  g_autoptr (GPtrArray) services = fb_queue_directory_all_services (self->queue_directory);
  add_partitions (self, services, partitions);
  return partitions;
}

void
fb_entry_set_owned_partitions (FbEntryDaemon *self, const GArray *partitions, uint64_t generation,
                               const char *reason)
{
  g_autoptr (GList) owned = g_hash_table_get_keys (self->owners);
  for (GList *l = owned; l != NULL; l = l->next)
    {
      uint32_t partition = GPOINTER_TO_UINT (l->data);
      if (contains_partition (partitions, partition))
        continue;
      log_lost_partition (self, partition, generation, reason);
      fb_entry_release_partition (self, partition);
    }
  if (partitions->len == 0 || self->stopping)
    return;
  (void) fb_entry_queue_directory (self);
  /* Other partitions need no owner. */
  g_autoptr (GArray) needed = fb_entry_service_partitions (self);
  for (guint i = 0; needed != NULL && i < partitions->len; i++)
    {
      uint32_t partition = g_array_index (partitions, uint32_t, i);
      if (fb_entry_owner (self, partition) == NULL && contains_partition (needed, partition))
        take_over_partition (self, partition, generation);
    }
}

static void
stop_unused_worker_list (FbEntryDaemon *self, uint64_t now_ms)
{
  if (g_hash_table_size (self->owners) > 0 || self->worker_reader == NULL)
    self->without_pools_ms = 0;
  else if (self->without_pools_ms == 0)
    self->without_pools_ms = now_ms;
  else if (now_ms >= self->without_pools_ms + WORKER_LIST_KEPT_MS)
    g_clear_pointer (&self->worker_reader, fb_topic_reader_free);
}

static void
release_lost_partitions (gpointer data, uint64_t now_ms)
{
  FbEntryDaemon *self = data;
  check_store_lost (self, now_ms);
  stop_unused_worker_list (self, now_ms);
  g_autoptr (GList) owned = g_hash_table_get_keys (self->owners);
  for (GList *l = owned; l != NULL; l = l->next)
    {
      if (fb_owner_has_stepped_down (fb_entry_owner (self, GPOINTER_TO_UINT (l->data))))
        fb_entry_release_partition (self, GPOINTER_TO_UINT (l->data));
    }
}

void
fb_entry_start_watching (FbEntryDaemon *self)
{
  fb_configuration_watch (self);
  fb_timer_subscribe (self->timer, RELEASE_INTERVAL_MS, release_lost_partitions, self);
}
