/* Durable state of a pool: the progress of jobs that changed, and the list of workers.
 *
 * One flush is open at a time and contains everything that changed since the previous one. Ends of
 * runs in it may be acknowledged, and job states shown to callers, once it is stored. */
#include "fb-event.h"
#include "internal/codec.h"
#include "internal/pool-compact.h"
#include "internal/pool-crash.h"
#include "internal/pool-silence.h"

static void
record_free (gpointer data)
{
  FbPoolRecord *record = data;
  g_free (record->job);
  if (record->progress != NULL)
    g_bytes_unref (record->progress);
  g_free (record);
}

static void
mark_flushing_ends (FbPool *self)
{
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    worker->flushing_end = worker->processed_end;
}

static void
log_left_out (FbPoolJob *job, guint left_out_n)
{
  if (left_out_n > 0 && job->checkpoints_left_out_n == 0)
    fb_event_log (FB_EVENT_CHECKPOINTS_LEFT_OUT, "job=%s tasks=%u", job->id, left_out_n);
  job->checkpoints_left_out_n = left_out_n;
}

/* TRUE when a record could not be encoded as RECORD, or has more than MAX_BYTES; 0: no limit. */
static gboolean
exceeds (GBytes *record, gsize max_bytes)
{
  return record == NULL || (max_bytes > 0 && g_bytes_get_size (record) > max_bytes);
}

/* Returns: the size that a record with SUSPECTS leaves for the progress of tasks. */
static gsize
max_progress_bytes (const FbPool *self, const fb_work_suspects *suspects)
{
  gsize max_bytes = self->limits.max_progress_bytes > 0
                        ? MIN (self->limits.max_progress_bytes, FB_CODEC_RECORD_MAX_BYTES)
                        : FB_CODEC_RECORD_MAX_BYTES;
  gsize suspects_bytes = xdr_sizeof ((xdrproc_t) xdr_fb_work_suspects, (gpointer) suspects);
  return max_bytes - MIN (suspects_bytes, max_bytes);
}

/* Returns: (transfer full) (nullable): the record of JOB; NULL when it cannot be encoded. */
static GBytes *
encode_progress (const FbPool *self, FbPoolJob *job)
{
  fb_work_progress progress;
  fb_work_suspects suspects;
  fb_pool_crash_record (job, &suspects);
  guint left_out_n = 0;
  fb_pool_job_progress (job, &progress);
  GBytes *bytes = fb_codec_encode_progress (&progress, &suspects);
  if (exceeds (bytes, self->limits.max_progress_bytes))
    {
      g_clear_pointer (&bytes, g_bytes_unref);
      left_out_n = fb_pool_compact_progress (job, &progress, max_progress_bytes (self, &suspects));
      bytes = fb_codec_encode_progress (&progress, &suspects);
    }
  log_left_out (job, left_out_n);
  g_free (progress.task_progress.task_progress_val);
  fb_pool_crash_record_clear (&suspects);
  return bytes;
}

/* TRUE when the store does not accept PROGRESS as a record of JOB. */
static gboolean
is_not_accepted (const FbPoolJob *job, GBytes *progress)
{
  return job->not_accepted_bytes > 0 && g_bytes_get_size (progress) >= job->not_accepted_bytes;
}

static FbPoolRecord *
add_record (GPtrArray *records, const char *job, GBytes *progress)
{
  FbPoolRecord *record = g_new0 (FbPoolRecord, 1);
  record->job = g_strdup (job);
  record->progress = progress;
  g_ptr_array_add (records, record);
  return record;
}

static void
add_deletion (GPtrArray *records, const char *job)
{
  add_record (records, job, NULL)->is_deletion = TRUE;
}

static gboolean
has_run (FbPool *self, const FbPoolJob *job)
{
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      GHashTableIter runs;
      gpointer run;
      g_hash_table_iter_init (&runs, worker->runs);
      while (g_hash_table_iter_next (&runs, NULL, &run))
        {
          FbPoolStep *step = ((FbPoolRun *) run)->step;
          if (step != NULL && step->job == job)
            return TRUE;
        }
    }
  return FALSE;
}

/* ---- records that the store does not accept ------------------------------------------ */

static void
hold_end (FbPoolWorker *worker, uint64_t number)
{
  if (worker->unstored_end == 0 || number < worker->unstored_end)
    worker->unstored_end = number;
}

/* Any end that is not acknowledged yet may be one of the job that is not stored, also one that was
 * processed after the open flush began. */
static void
hold_processed_ends (FbPool *self)
{
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (worker->processed_end > worker->acknowledged)
        hold_end (worker, worker->acknowledged + 1);
    }
}

/* No record of JOB of BYTES or more is stored. */
static void
set_not_accepted (FbPool *self, FbPoolJob *job, gsize bytes)
{
  self->not_accepted_n += job->not_accepted_bytes == 0;
  job->not_accepted_bytes = bytes;
  hold_processed_ends (self);
  /* The record in the same flush may tell that runs with these ends are over. */
  self->workers_dirty = TRUE;
}

static void
flush_jobs (FbPool *self, GPtrArray *records)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->dirty);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      FbPoolJob *job = value;
      GBytes *progress = encode_progress (self, job);
      if (progress == NULL)
        {
          if (job->not_accepted_bytes == 0)
            fb_event_log (FB_EVENT_RECORD_NOT_ACCEPTED, "key=%s not encoded", job->id);
          set_not_accepted (self, job, G_MAXSIZE);
          continue;
        }
      if (is_not_accepted (job, progress))
        {
          g_bytes_unref (progress);
          continue;
        }
      job->flushing_state = job->state;
      job->suspects_version_flushing = job->suspects_version;
      g_ptr_array_add (self->in_flush, job);
      add_record (records, job->id, progress)->ended = fb_pool_job_ended (job);
    }
  g_hash_table_remove_all (self->dirty);
}

/* Leaves out the steps of rows for which they do not fit into MAX_BYTES.  The next owner then
 * counts with runs of any step there. */
static void
leave_out_steps (fb_work_workers *record, gsize max_bytes)
{
  gsize bytes = 0;
  for (u_int i = 0; i < record->workers.workers_len; i++)
    {
      fb_work_known_worker *row = &record->workers.workers_val[i];
      gsize more = xdr_sizeof ((xdrproc_t) xdr_fb_work_known_worker, row);
      if (bytes + more > max_bytes && row->steps.steps_len > 0)
        {
          fb_pool_drain_record_clear (row);
          row->steps_known = FALSE;
          more = xdr_sizeof ((xdrproc_t) xdr_fb_work_known_worker, row);
        }
      bytes += more;
    }
}

/* Returns: (transfer full) (nullable): the record of all workers; NULL when it cannot be encoded.
 *
 * An owner of an earlier version does not know which workers are closed. If it started work there
 * and its successor then read both records, the work would run twice. So closed workers with known
 * runs are written like draining ones, on which that owner starts nothing; and the record gets a
 * row without a worker, which makes it different from any that such an owner writes. */
static GBytes *
encode_workers (FbPool *self, uint64_t now_ms)
{
  guint n = MIN (g_hash_table_size (self->workers), FB_WORK_MAX_WORKERS - 1);
  g_autofree fb_work_known_worker *known = g_new0 (fb_work_known_worker, n + 1);
  g_autofree char *mark = g_strdup_printf ("#record %" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
                                           self->epoch, self->flushes_n);
  gboolean has_closed = FALSE;
  fb_work_workers record = { .workers = { 0, known } };
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  while (record.workers.workers_len < n
         && (worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      worker->in_open_record = TRUE;
      fb_work_known_worker *row = &known[record.workers.workers_len++];
      *row = (fb_work_known_worker){ .id = worker->id, .address = worker->address };
      g_autoptr (GHashTable) runs = fb_pool_silence_runs (self, worker, now_ms);
      has_closed = has_closed || fb_pool_silence_will_close (self, worker, now_ms);
      fb_pool_drain_record (worker, runs, row);
    }
  if (has_closed)
    known[record.workers.workers_len++]
        = (fb_work_known_worker){ .id = mark, .address = (char *) "", .steps_known = TRUE };
  GBytes *bytes = fb_codec_encode_workers (&record);
  if (exceeds (bytes, self->limits.max_workers_bytes))
    {
      g_clear_pointer (&bytes, g_bytes_unref);
      leave_out_steps (&record, self->limits.max_workers_bytes > 0 ? self->limits.max_workers_bytes
                                                                   : FB_CODEC_RECORD_MAX_BYTES);
      bytes = fb_codec_encode_workers (&record);
    }
  for (u_int i = 0; i < record.workers.workers_len; i++)
    fb_pool_drain_record_clear (&known[i]);
  return bytes;
}

static gboolean
has_unrecorded_worker (const FbPool *self)
{
  guint slot = 0;
  const FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (worker->listed && !worker->recorded)
        return TRUE;
    }
  return FALSE;
}

/* Returns: TRUE when the stored record of workers is to be replaced. Nothing starts on a worker
 * before a record names it, so new ones do not wait until the pool has recovered. */
static gboolean
workers_record_is_due (const FbPool *self, uint64_t now_ms)
{
  if (!self->workers_dirty || !fb_pool_silence_may_record (self, now_ms))
    return FALSE;
  return self->recovered
         || (self->workers_complete && fb_pool_may_place (self) && has_unrecorded_worker (self));
}

static void
workers_record_not_accepted (FbPool *self)
{
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  fb_pool_silence_not_stored (self);
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    worker->in_open_record = FALSE;
  self->workers_dirty = TRUE;
}

/* The record of a pool that has not recovered contains the workers of the previous record that are
 * still unconfirmed, since these are removed only when they are known to be gone. */
static void
flush_workers (FbPool *self, GPtrArray *records, uint64_t now_ms)
{
  /* A successor would take a record of the listed workers for complete. */
  if (self->workers_unreadable && !self->recovered)
    return;
  if (!workers_record_is_due (self, now_ms) && !fb_pool_silence_record_is_due (self, now_ms))
    return;
  self->workers_dirty = !self->recovered;
  fb_pool_silence_choose_rows (self, now_ms);
  GBytes *silent = NULL;
  GBytes *workers = encode_workers (self, now_ms);
  if (workers == NULL || !fb_pool_silence_record (self, workers, now_ms, &silent))
    {
      fb_event_log (FB_EVENT_RECORD_NOT_ACCEPTED, "workers of service=%s not encoded",
                    self->service);
      g_clear_pointer (&workers, g_bytes_unref);
      workers_record_not_accepted (self);
      return;
    }
  add_record (records, NULL, workers)->kind = FB_POOL_RECORD_WORKERS;
  if (silent != NULL)
    add_record (records, NULL, silent)->kind = FB_POOL_RECORD_SILENT_WORKERS;
}

static void
flush_expired (FbPool *self, GPtrArray *records, uint64_t wall_ms)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->ended_jobs);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      FbPoolJob *job = value;
      if (job->stored_state != job->state
          || wall_ms <= job->ended_wall_ms + FB_POOL_ENDED_JOB_RETENTION_MS || has_run (self, job))
        continue;
      add_deletion (records, job->id);
      g_hash_table_iter_remove (&iter);
      fb_pool_queue_remove_job (self, job);
      fb_pool_unstored_suspects_remove (self, job);
      g_hash_table_remove (self->jobs, job->id);
    }
}

GPtrArray *
fb_pool_flush (FbPool *self, uint64_t now_ms, uint64_t wall_ms)
{
  if (self->flushing || self->fenced)
    return NULL;
  GPtrArray *records = g_ptr_array_new_with_free_func (record_free);
  flush_jobs (self, records);
  flush_workers (self, records, now_ms);
  if (now_ms >= self->expired_ms + FB_POOL_EXPIRE_INTERVAL_MS)
    {
      self->expired_ms = now_ms;
      flush_expired (self, records, wall_ms);
    }
  mark_flushing_ends (self);
  self->flushing = TRUE;
  self->flushes_n++;
  self->flush_started_ms = now_ms;
  if (records->len > 0)
    return records;
  /* Ends that changed nothing can be acknowledged without a write. */
  g_ptr_array_unref (records);
  fb_pool_flushed (self, now_ms);
  return NULL;
}

GBytes *
fb_pool_encode_admission (const FbPool *self, const char *id)
{
  const FbPoolJob *job = g_hash_table_lookup (self->jobs, id);
  return job != NULL && !fb_pool_job_ended (job) ? fb_codec_encode_admit (&job->record) : NULL;
}

void
fb_pool_record_hold_end (FbPoolWorker *worker, const FbPoolJob *job, uint64_t number)
{
  if (job != NULL && job->not_accepted_bytes > 0)
    hold_end (worker, number);
}

static void
release_ends (FbPool *self)
{
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    worker->unstored_end = 0;
}

void
fb_pool_record_not_accepted (FbPool *self, const char *id, gsize bytes)
{
  FbPoolJob *job = id != NULL ? g_hash_table_lookup (self->jobs, id) : NULL;
  if (id == NULL)
    workers_record_not_accepted (self);
  if (job == NULL || !g_ptr_array_remove (self->in_flush, job))
    return;
  set_not_accepted (self, job, bytes);
}

/* The record of JOB has been stored. */
static void
set_accepted (FbPool *self, FbPoolJob *job)
{
  if (job->not_accepted_bytes == 0)
    return;
  job->not_accepted_bytes = 0;
  self->not_accepted_n--;
  if (self->not_accepted_n == 0)
    release_ends (self);
}

/* Returns: the highest number of an end of WORKER that is stored with the open flush. */
static uint64_t
stored_end (const FbPoolWorker *worker)
{
  return worker->unstored_end > 0 ? MIN (worker->flushing_end, worker->unstored_end - 1)
                                  : worker->flushing_end;
}

void
fb_pool_flushed (FbPool *self, uint64_t now_ms)
{
  self->flushing = FALSE;
  self->stored_flushes_n = self->flushes_n;
  for (guint i = 0; i < self->in_flush->len; i++)
    {
      FbPoolJob *job = self->in_flush->pdata[i];
      job->stored_state = job->flushing_state;
      set_accepted (self, job);
      fb_pool_crash_stored (self, job);
    }
  g_ptr_array_set_size (self->in_flush, 0);
  fb_pool_silence_stored (self, now_ms);
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      worker->recorded = worker->recorded || worker->in_open_record;
      worker->in_open_record = FALSE;
      if (worker->acknowledged >= stored_end (worker))
        continue;
      worker->acknowledged = stored_end (worker);
      /* The worker keeps unacknowledged ends, and answers polls at once while it has any. */
      fb_pool_order_poll (self, worker, now_ms);
    }
}
