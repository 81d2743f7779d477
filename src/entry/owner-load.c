/* Loading what the owner before left, and what comes in later.
 *
 * The order matters: the writer before is shut out, then its progress is read, then the
 * jobs, and only then are workers spoken to, whose lists of runs can be understood then. */
#include "owner-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "internal/codec.h"

#include <string.h>

static void
admit (FbOwner *self, const char *job, GBytes *value)
{
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (value, &len);
  fb_work_admit record;
  if (!fb_codec_decode_admit (data, len, &record))
    {
      fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "job=%s malformed", job);
      return;
    }
  fb_pool_admit_owned (fb_owner_part_for (self, record.policy.service)->pool, job, &record,
                       fb_clock_ms (), fb_clock_wall_ms ());
  xdr_free ((xdrproc_t) xdr_fb_work_admit, (char *) &record);
}

static void
cancel (FbOwner *self, const char *job)
{
  GHashTableIter iter;
  gpointer part;
  g_hash_table_iter_init (&iter, self->parts);
  while (g_hash_table_iter_next (&iter, NULL, &part))
    fb_pool_cancel (((FbOwnerPart *) part)->pool, job, fb_clock_ms (), fb_clock_wall_ms ());
}

static void
restore_workers (FbOwner *self, const char *service, GBytes *value)
{
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (value, &len);
  fb_work_workers record;
  if (!fb_codec_decode_workers (data, len, &record))
    {
      fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "workers of service=%s malformed", service);
      return;
    }
  fb_pool_restore_workers (fb_owner_part_for (self, service)->pool, &record);
  xdr_free ((xdrproc_t) xdr_fb_work_workers, (char *) &record);
}

static void
restore (FbOwner *self, const char *job, GBytes *value)
{
  if (g_str_has_prefix (job, FB_KEY_WORKERS))
    {
      restore_workers (self, job + strlen (FB_KEY_WORKERS), value);
      return;
    }
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (value, &len);
  fb_work_progress record;
  if (!fb_codec_decode_progress (data, len, &record))
    {
      fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "progress of job=%s malformed", job);
      return;
    }
  GHashTableIter iter;
  gpointer part;
  g_hash_table_iter_init (&iter, self->parts);
  while (g_hash_table_iter_next (&iter, NULL, &part))
    fb_pool_restore (((FbOwnerPart *) part)->pool, job, &record);
  xdr_free ((xdrproc_t) xdr_fb_work_progress, (char *) &record);
}

/* ---- reading ------------------------------------------------------------------ */

static void
ignore_begin (gpointer user)
{
  (void) user;
}

static gsize
bytes_of (GHashTable *records)
{
  gsize bytes = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    bytes += g_bytes_get_size (value);
  return bytes;
}

/* FROM_MS is when the jobs were read, which were JOBS_N in BYTES. */
static void
log_taken (const FbOwner *self, guint jobs_n, gsize bytes, uint64_t from_ms)
{
  uint64_t now_ms = fb_clock_ms ();
  fb_event_log (FB_EVENT_POOL_TAKEN,
                "partition=%u epoch=%" G_GUINT64_FORMAT
                " load_ms=%u shut_out_ms=%u progress_ms=%u jobs_ms=%u admit_ms=%u jobs=%u"
                " bytes=%" G_GSIZE_FORMAT " loop_late_ms=%u",
                self->partition, self->epoch, (guint) (now_ms - self->began_ms),
                (guint) (self->fenced_ms - self->began_ms),
                (guint) (self->progress_ms - self->fenced_ms),
                (guint) (from_ms - self->progress_ms), (guint) (now_ms - from_ms), jobs_n, bytes,
                fb_loop_watch_longest_ms (self->entry->loop, now_ms));
}

static void
finish_loading (FbOwner *self)
{
  uint64_t from_ms = fb_clock_ms ();
  guint jobs_n = g_hash_table_size (self->loading);
  gsize bytes = bytes_of (self->loading) + bytes_of (self->progress);
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, self->loading);
  while (g_hash_table_iter_next (&iter, &key, &value))
    admit (self, key, value);
  g_hash_table_iter_init (&iter, self->progress);
  while (g_hash_table_iter_next (&iter, &key, &value))
    restore (self, key, value);
  g_hash_table_iter_init (&iter, self->cancelled);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    cancel (self, key);
  g_hash_table_remove_all (self->loading);
  g_hash_table_remove_all (self->progress);
  g_hash_table_remove_all (self->cancelled);
  self->loaded = TRUE;
  fb_counter_add (FB_COUNTER_TAKE_OVERS, 1);
  self->authority_ms = fb_clock_ms ();
  log_taken (self, jobs_n, bytes, from_ms);
  fb_owner_routes_changed (self);
  fb_owner_kick (self);
}

void
fb_owner_take_record (FbOwner *self, const char *key, GBytes *value)
{
  if (!self->loaded || value == NULL || strlen (key) < 2)
    return;
  if (key[0] == FB_KEY_JOB)
    admit (self, key + 1, value);
  else
    cancel (self, key + 1);
  fb_owner_kick (self);
}

static void
on_job_record (gpointer user, const FbStoreRecord *record)
{
  FbOwner *self = user;
  if (self->loaded)
    {
      fb_owner_take_record (self, record->key, record->value);
      return;
    }
  if (record->value == NULL || strlen (record->key) < 2)
    return;
  g_hash_table_replace (record->key[0] == FB_KEY_JOB ? self->loading : self->cancelled,
                        g_strdup (record->key + 1), g_bytes_ref (record->value));
}

static void
on_jobs_listed (gpointer user)
{
  FbOwner *self = user;
  if (!self->loaded)
    finish_loading (self);
}

static const FbFollowerOps job_ops = { ignore_begin, on_job_record, on_jobs_listed };

static void
on_progress_record (gpointer user, const FbStoreRecord *record)
{
  FbOwner *self = user;
  if (record->value != NULL)
    g_hash_table_replace (self->progress, g_strdup (record->key), g_bytes_ref (record->value));
  else
    g_hash_table_remove (self->progress, record->key);
}

static void
on_progress_listed (gpointer user)
{
  FbOwner *self = user;
  self->progress_ms = fb_clock_ms ();
  g_clear_pointer (&self->progress_follower, fb_follower_free);
  self->job_follower
      = fb_follower_new (self->entry, FB_TOPIC_JOBS, self->partition, 0, &job_ops, self);
}

static const FbFollowerOps progress_ops = { ignore_begin, on_progress_record, on_progress_listed };

void
fb_owner_writer_shut_out (gpointer data, FbAppendResult result)
{
  FbOwner *self = data;
  if (result != FB_APPEND_STORED)
    {
      fb_owner_lose (self, "a later owner writes");
      return;
    }
  self->fenced_ms = fb_clock_ms ();
  fb_follower_hurry (self->entry->worker_follower);
  self->progress_follower
      = fb_follower_new (self->entry, FB_TOPIC_PROGRESS, self->partition, 0, &progress_ops, self);
}
