/* Suspected tasks whose crash counts are not stored yet, because the store accepts no writes.
 *
 * If an owner counts crashes while its store accepts no writes, and is killed, the next owner would
 * count from zero, and a task would go on crashing workers. So other daemons keep such counts until
 * they are stored, and pass them to the next owner. Nothing is sent while the store works. */
#include "internal/codec.h"
#include "internal/pool-crash.h"

#include "fb-event.h"

/* A write usually takes 10 to 50 ms. */
#define SLOW_WRITE_MS 200

static void
unstored_suspects_free (gpointer data)
{
  FbPoolUnstoredSuspects *unstored = data;
  g_free (unstored->job);
  g_clear_pointer (&unstored->suspects, g_bytes_unref);
  g_free (unstored);
}

gboolean
fb_pool_write_is_slow (const FbPool *self, uint64_t now_ms)
{
  return self->flushing && now_ms > self->flush_started_ms + SLOW_WRITE_MS;
}

void
fb_pool_unstored_suspects_add (FbPool *self, FbPoolJob *job)
{
  g_hash_table_add (self->unstored_suspects, job);
  job->unstored_changed = TRUE;
}

void
fb_pool_unstored_suspects_remove (FbPool *self, const FbPoolJob *job)
{
  g_hash_table_remove (self->unstored_suspects, job);
}

static gboolean
is_stored (const FbPool *self, const FbPoolJob *job)
{
  return !g_hash_table_contains (self->dirty, job) && !g_ptr_array_find (self->in_flush, job, NULL);
}

/* Sets *BYTES (transfer full) to the suspects of JOB; to NULL when none of its tasks is suspected.
 * Returns: FALSE when they cannot be encoded. */
static gboolean
encode_suspects (const FbPoolJob *job, GBytes **bytes)
{
  fb_work_suspects suspects;
  fb_pool_crash_record (job, &suspects);
  gboolean is_empty = suspects.tasks.tasks_len == 0;
  *bytes = is_empty ? NULL : fb_codec_encode_suspects (&suspects);
  fb_pool_crash_record_clear (&suspects);
  return is_empty || *bytes != NULL;
}

static void
add_unstored (GPtrArray *all, FbPoolJob *job, GBytes *suspects)
{
  job->unstored_changed = FALSE;
  if (suspects == NULL && !job->has_backup)
    return;
  job->has_backup = suspects != NULL;
  FbPoolUnstoredSuspects *unstored = g_new0 (FbPoolUnstoredSuspects, 1);
  unstored->job = g_strdup (job->id);
  unstored->suspects = suspects;
  g_ptr_array_add (all, unstored);
}

GPtrArray *
fb_pool_take_unstored_suspects (FbPool *self, uint64_t now_ms)
{
  if (g_hash_table_size (self->unstored_suspects) == 0)
    return NULL;
  gboolean is_late = fb_pool_write_is_slow (self, now_ms);
  GPtrArray *all = g_ptr_array_new_with_free_func (unstored_suspects_free);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->unstored_suspects);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      FbPoolJob *job = value;
      GBytes *suspects = NULL;
      if (is_stored (self, job))
        {
          add_unstored (all, job, NULL);
          g_hash_table_iter_remove (&iter);
        }
      else if (is_late && job->unstored_changed && encode_suspects (job, &suspects))
        add_unstored (all, job, suspects);
    }
  if (all->len > 0)
    return all;
  g_ptr_array_unref (all);
  return NULL;
}

void
fb_pool_import_suspects (FbPool *self, const char *id, const fb_work_suspects *suspects,
                         uint64_t now_ms)
{
  FbPoolJob *job = g_hash_table_lookup (self->jobs, id);
  if (job == NULL || fb_pool_job_ended (job))
    return;
  fb_event_log (FB_EVENT_SUSPECTS_RECALLED, "job=%s tasks=%u", id, suspects->tasks.tasks_len);
  fb_pool_crash_restore (self, job, suspects, now_ms);
  fb_pool_job_changed (self, job);
  fb_pool_unstored_suspects_add (self, job);
  job->has_backup = TRUE;
}
