/* Loads the records of a partition when it is taken over, and applies records that arrive later.
 *
 * The order of the steps matters: the previous writer is fenced, then its progress is read, then
 * the jobs.  Workers are contacted only after that, because the runs that they report can be
 * interpreted only when the jobs are known. */
#include "owner-private.h"

#include "src/entry/store/record-parts.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "internal/codec.h"

#include <string.h>

/* Number of records applied in one iteration of the main loop, which takes some 10 ms of processor
 * time. */
#define LOAD_PER_ITERATION 32

static void
apply_admission (FbOwner *self, const char *job, GBytes *value)
{
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (value, &len);
  fb_work_admit record;
  if (!fb_codec_decode_admit (data, len, &record))
    {
      fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "job=%s malformed", job);
      return;
    }
  fb_owner_admit (self, job, &record);
  xdr_free ((xdrproc_t) xdr_fb_work_admit, (char *) &record);
}

static void
apply_worker_list (FbOwner *self, const char *service, GBytes *value)
{
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (value, &len);
  fb_work_workers record;
  FbPool *pool = fb_owner_pool_for (self, service)->pool;
  if (!fb_codec_decode_workers (data, len, &record))
    {
      fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "workers of service=%s malformed", service);
      fb_pool_workers_unreadable (pool);
      return;
    }
  g_autofree char *silent_key = g_strconcat (FB_KEY_SILENT_WORKERS, service, NULL);
  GBytes *silent = g_hash_table_lookup (self->progress, silent_key);
  if (silent != NULL && !fb_pool_restore_silent_workers (pool, value, silent, self->fenced_ms))
    fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "silent workers of service=%s malformed", service);
  fb_pool_restore_workers (pool, &record);
  xdr_free ((xdrproc_t) xdr_fb_work_workers, (char *) &record);
}

void
fb_owner_apply_progress (FbOwner *self, const char *job, GBytes *value)
{
  /* Applied by create_recorded_pools(). */
  if (g_str_has_prefix (job, FB_KEY_WORKERS) || g_str_has_prefix (job, FB_KEY_SILENT_WORKERS)
      || g_str_has_prefix (job, FB_KEY_DISCLAIMED))
    return;
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (value, &len);
  fb_work_progress record;
  fb_work_suspects suspects;
  if (!fb_codec_decode_progress (data, len, &record, &suspects))
    {
      fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "progress of job=%s malformed", job);
      return;
    }
  FbHeldJob *held = fb_owner_held_job (self, job);
  /* A job that has ended in this partition is in no other pool. */
  if (held != NULL && record.state >= FB_WORK_COMPLETED)
    fb_owner_forget_held_job (self, job);
  else if (held != NULL)
    fb_owner_hold_progress (held, value);
  GHashTableIter iter;
  gpointer service_pool;
  g_hash_table_iter_init (&iter, self->service_pools);
  while (g_hash_table_iter_next (&iter, NULL, &service_pool))
    fb_pool_restore_job (((FbServicePool *) service_pool)->pool, job, &record, &suspects,
                         fb_clock_ms ());
  fb_codec_clear_progress (&record, &suspects);
}

/* ---- reading ------------------------------------------------------------------ */

static void
ignore_begin (gpointer user)
{
  (void) user;
}

static void
log_takeover (const FbOwner *self)
{
  uint64_t now_ms = fb_clock_ms ();
  fb_event_log (FB_EVENT_POOL_TAKEN,
                "partition=%u epoch=%" G_GUINT64_FORMAT
                " load_ms=%u shut_out_ms=%u progress_ms=%u jobs_ms=%u admit_ms=%u jobs=%u"
                " bytes=%" G_GSIZE_FORMAT " loop_late_ms=%u",
                self->partition, self->epoch, (guint) (now_ms - self->takeover_began_ms),
                (guint) (self->fenced_ms - self->takeover_began_ms),
                (guint) (self->progress_ms - self->fenced_ms),
                (guint) (self->jobs_ms - self->progress_ms), (guint) (now_ms - self->jobs_ms),
                self->loaded_n, self->loaded_bytes,
                fb_loop_monitor_max_delay_ms (self->entry->loop_monitor, now_ms));
}

typedef void (*ApplyRecord) (FbOwner *self, const char *key, GBytes *value);

/* Applies and removes up to MAX_N records of TABLE.
 * Returns: the number of records that were applied. */
static guint
apply_up_to (FbOwner *self, GHashTable *table, ApplyRecord apply, guint max_n)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  guint n = 0;
  g_hash_table_iter_init (&iter, table);
  while (n < max_n && g_hash_table_iter_next (&iter, &key, &value))
    {
      apply (self, key, value);
      self->loaded_bytes += g_bytes_get_size (value);
      g_hash_table_iter_remove (&iter);
      n++;
    }
  return n;
}

static void
finish_loading (FbOwner *self)
{
  self->loaded = TRUE;
  fb_counter_add (FB_COUNTER_TAKE_OVERS, 1);
  self->confirmed_ms = fb_clock_ms ();
  self->member_ms = self->fenced_ms;
  log_takeover (self);
  fb_owner_routes_changed (self);
  fb_owner_schedule_tick (self);
}

/* Applies a limited number of records in each iteration: all jobs, then their progress, then the
 * cancels.  Loading a pool of hundreds of jobs in one iteration takes 0.4 s on 0.12 of a core,
 * which delays callers, orders of other owners and membership renewals. */
static gboolean
on_load_next (gpointer data)
{
  FbOwner *self = data;
  guint budget = LOAD_PER_ITERATION;
  guint jobs_n = apply_up_to (self, self->admissions, apply_admission, budget);
  self->loaded_n += jobs_n;
  budget -= jobs_n;
  budget -= apply_up_to (self, self->progress, fb_owner_apply_progress, budget);
  budget -= apply_up_to (self, self->cancelled, fb_owner_apply_stored_cancel, budget);
  if (budget == 0)
    return G_SOURCE_CONTINUE;
  self->load_source = 0;
  finish_loading (self);
  return G_SOURCE_REMOVE;
}

static void
apply_record (FbOwner *self, const char *key, GBytes *value, ApplyRecord apply_cancel)
{
  if (key[0] == FB_KEY_JOB)
    apply_admission (self, key + 1, value);
  else
    apply_cancel (self, key + 1, value);
  fb_owner_schedule_tick (self);
}

gboolean
fb_owner_apply_record (FbOwner *self, const char *key, GBytes *value)
{
  if (!self->loaded || self->stepped_down || value == NULL || strlen (key) < 2)
    return FALSE;
  apply_record (self, key, value, fb_owner_apply_cancel);
  return TRUE;
}

static void
on_job_record (gpointer user, const FbStoreRecord *record)
{
  FbOwner *self = user;
  if (strlen (record->key) < 2)
    return;
  if (record->value == NULL)
    {
      if (self->loaded && record->key[0] == FB_KEY_CANCEL)
        fb_owner_cancel_deleted (self, record->key + 1);
      return;
    }
  if (self->loaded)
    {
      apply_record (self, record->key, record->value, fb_owner_apply_stored_cancel);
      return;
    }
  g_hash_table_replace (record->key[0] == FB_KEY_JOB ? self->admissions : self->cancelled,
                        g_strdup (record->key + 1), g_bytes_ref (record->value));
}

static gboolean
is_part (gpointer key, gpointer value, gpointer user)
{
  (void) value;
  (void) user;
  g_autofree char *value_key = NULL;
  guint n = 0;
  return fb_record_parts_parse_key (key, &value_key, &n);
}

/* Replaces the parts of values that are stored in several records by these values. */
static void
join_parts (FbOwner *self)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, self->progress);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      char *value_key = NULL;
      guint n = 0;
      if (!fb_record_parts_parse_key (key, &value_key, &n))
        continue;
      n = MAX (n, GPOINTER_TO_UINT (g_hash_table_lookup (self->parts_n, value_key)));
      g_hash_table_replace (self->parts_n, value_key, GUINT_TO_POINTER (n));
    }
  g_hash_table_iter_init (&iter, self->parts_n);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      GBytes *value = fb_record_parts_join (self->progress, key);
      if (value != NULL)
        g_hash_table_replace (self->progress, g_strdup (key), value);
      /* The pool must know that there is a record of workers. */
      else if (g_str_has_prefix (key, FB_KEY_WORKERS))
        g_hash_table_replace (self->progress, g_strdup (key), g_bytes_new_static ("", 0));
      else if (g_hash_table_remove (self->progress, key))
        fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "key=%s parts missing", (const char *) key);
    }
  g_hash_table_foreach_remove (self->progress, is_part, NULL);
}

/* The admissions of ended jobs are deleted, so no admission may name the service whose progress was
 * read.  Without its pool, the ends of jobs would be dropped, and their callers would be told that
 * there are no such jobs.  The two records of workers are applied together, so both must still be
 * there. */
static void
create_recorded_pools (FbOwner *self)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, self->progress);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      if (g_str_has_prefix (key, FB_KEY_WORKERS))
        apply_worker_list (self, (const char *) key + strlen (FB_KEY_WORKERS), value);
      else if (g_str_has_prefix (key, FB_KEY_DISCLAIMED))
        fb_owner_restore_disclaimer (self, key, value);
    }
  fb_owner_create_configured_pools (self);
}

static void
on_jobs_listed (gpointer user)
{
  FbOwner *self = user;
  if (self->loaded || self->load_source != 0)
    return;
  self->jobs_ms = fb_clock_ms ();
  create_recorded_pools (self);
  self->load_source = g_idle_add_full (G_PRIORITY_DEFAULT, on_load_next, self, NULL);
}

static const FbTopicReaderOps job_ops = { ignore_begin, on_job_record, on_jobs_listed };

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
  join_parts (self);
  g_clear_pointer (&self->progress_reader, fb_topic_reader_free);
  self->job_reader
      = fb_topic_reader_new (self->entry, FB_TOPIC_JOBS, self->partition, 0, &job_ops, self);
}

static const FbTopicReaderOps progress_ops
    = { ignore_begin, on_progress_record, on_progress_listed };

void
fb_owner_previous_writer_fenced (gpointer data, FbAppendResult result)
{
  FbOwner *self = data;
  if (result != FB_APPEND_STORED)
    {
      fb_owner_step_down (self, "append rejected because a later owner has written");
      return;
    }
  self->fenced_ms = fb_clock_ms ();
  fb_topic_reader_skip_pause (self->entry->worker_reader);
  self->progress_reader = fb_topic_reader_new (self->entry, FB_TOPIC_PROGRESS, self->partition, 0,
                                               &progress_ops, self);
}
