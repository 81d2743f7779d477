#include "worker-list.h"

#include "fb-event.h"

struct _FbWorkerList
{
  GHashTable *by_incarnation; /* incarnation -> FbListedWorker */
  GHashTable *by_id;          /* id of a worker -> FbListedWorker, borrowed */
  GHashTable *ignored;        /* id -> uint64_t: start time in the last ignored entry */
};

FbWorkerList *
fb_worker_list_new (void)
{
  FbWorkerList *self = g_new0 (FbWorkerList, 1);
  self->by_incarnation
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, fb_listed_worker_free);
  self->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  self->ignored = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
fb_worker_list_free (FbWorkerList *self)
{
  g_hash_table_unref (self->by_id);
  g_hash_table_unref (self->ignored);
  g_hash_table_unref (self->by_incarnation);
  g_free (self);
}

const FbListedWorker *
fb_worker_list_by_id (const FbWorkerList *self, const char *id)
{
  return g_hash_table_lookup (self->by_id, id);
}

const FbListedWorker *
fb_worker_list_by_incarnation (const FbWorkerList *self, const char *incarnation)
{
  return g_hash_table_lookup (self->by_incarnation, incarnation);
}

gboolean
fb_worker_list_is_outdated (FbWorkerList *self, const FbListedWorker *worker)
{
  const FbListedWorker *listed = fb_worker_list_by_id (self, worker->id);
  if (listed == NULL || worker->incarnation_started_ms >= listed->incarnation_started_ms)
    return FALSE;
  const uint64_t *previous = g_hash_table_lookup (self->ignored, worker->id);
  if (worker->incarnation_started_ms != 0 && previous != NULL
      && *previous == worker->incarnation_started_ms)
    return FALSE;
  g_hash_table_replace (
      self->ignored, g_strdup (worker->id),
      g_memdup2 (&worker->incarnation_started_ms, sizeof worker->incarnation_started_ms));
  fb_event_log (FB_EVENT_WORKER_ENTRY_LATE, "worker=%s listed=%s", worker->entry.id,
                listed->entry.id);
  return TRUE;
}

void
fb_worker_list_put (FbWorkerList *self, FbListedWorker *worker)
{
  g_hash_table_remove (self->ignored, worker->id);
  g_hash_table_replace (self->by_id, g_strdup (worker->id), worker);
  g_hash_table_replace (self->by_incarnation, g_strdup (worker->entry.id), worker);
}

void
fb_worker_list_remove (FbWorkerList *self, const char *id)
{
  const FbListedWorker *worker = fb_worker_list_by_id (self, id);
  if (worker == NULL)
    return;
  g_hash_table_remove (self->by_id, id);
  g_hash_table_remove (self->by_incarnation, worker->entry.id);
}

GList *
fb_worker_list_ids (const FbWorkerList *self)
{
  return g_hash_table_get_keys (self->by_id);
}
