#include "worker-list.h"

#include "fb-event.h"

struct _FbWorkerList
{
  GHashTable *workers;      /* life -> FbListedWorker */
  GHashTable *incarnations; /* id of a worker -> FbListedWorker; borrowed */
  GHashTable *passed_over;  /* id -> uint64_t, birth in its last entry that was passed over */
};

FbWorkerList *
fb_worker_list_new (void)
{
  FbWorkerList *self = g_new0 (FbWorkerList, 1);
  self->workers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, fb_listed_worker_free);
  self->incarnations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  self->passed_over = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
fb_worker_list_free (FbWorkerList *self)
{
  g_hash_table_unref (self->incarnations);
  g_hash_table_unref (self->passed_over);
  g_hash_table_unref (self->workers);
  g_free (self);
}

const FbListedWorker *
fb_worker_list_of (const FbWorkerList *self, const char *id)
{
  return g_hash_table_lookup (self->incarnations, id);
}

const FbListedWorker *
fb_worker_list_find (const FbWorkerList *self, const char *incarnation)
{
  return g_hash_table_lookup (self->workers, incarnation);
}

gboolean
fb_worker_list_passes_over (FbWorkerList *self, const FbListedWorker *worker)
{
  const FbListedWorker *listed = fb_worker_list_of (self, worker->id);
  if (listed == NULL || worker->incarnation_started_ms >= listed->incarnation_started_ms)
    return FALSE;
  const uint64_t *before = g_hash_table_lookup (self->passed_over, worker->id);
  if (worker->incarnation_started_ms != 0 && before != NULL
      && *before == worker->incarnation_started_ms)
    return FALSE;
  g_hash_table_replace (
      self->passed_over, g_strdup (worker->id),
      g_memdup2 (&worker->incarnation_started_ms, sizeof worker->incarnation_started_ms));
  fb_event_log (FB_EVENT_WORKER_ENTRY_LATE, "worker=%s listed=%s", worker->entry.id,
                listed->entry.id);
  return TRUE;
}

void
fb_worker_list_put (FbWorkerList *self, FbListedWorker *worker)
{
  g_hash_table_remove (self->passed_over, worker->id);
  g_hash_table_replace (self->incarnations, g_strdup (worker->id), worker);
  g_hash_table_replace (self->workers, g_strdup (worker->entry.id), worker);
}

void
fb_worker_list_remove (FbWorkerList *self, const char *id)
{
  const FbListedWorker *worker = fb_worker_list_of (self, id);
  if (worker == NULL)
    return;
  g_hash_table_remove (self->incarnations, id);
  g_hash_table_remove (self->workers, worker->entry.id);
}

GList *
fb_worker_list_ids (const FbWorkerList *self)
{
  return g_hash_table_get_keys (self->incarnations);
}
