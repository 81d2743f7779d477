/* The record of workers that do not answer, for the next owner.
 *
 * A new owner must assume that a worker without an answer runs whatever it has capacity for. Of a
 * worker that is known from the record of workers only, and is missing in the platform's list, not
 * even the capacity was known: an account that used 8,400 of its 3,595,524 had to wait for 6.2 s
 * because all of its 13,893,900 waiting could be running on 13 such workers. So the owner stores
 * the size and the labels of workers that the next owner may not find in the list.
 *
 * The record has a key of its own, because daemons of earlier versions decode the record of workers
 * as a whole. It contains a hash of the record of workers that it was stored with and is ignored
 * beside any other: an owner of an earlier version replaces only the record of workers. */
#include "internal/pool-silence.h"

#include "internal/codec.h"

#include <string.h>
#include <xxhash.h>

/* Arbitrary, but the same at all owners. */
#define RECORD_HASH_SEED 1

/* A change of which workers answer is recorded at most once in this time per 2 workers, and at
 * least once in RECORD_INTERVAL_MAX_MS. Both records have some 60 bytes per worker, so an owner
 * with 17,000 workers of which some always fail a poll writes 1 MB/s. The lease of a worker that
 * waits for the record has 2.4 s left, so the upper limit is 1 s. */
#define RECORD_INTERVAL_MAX_MS 1000

struct _FbPoolSilence
{
  GHashTable *rows; /* id -> fb_work_silent_worker, as the previous owner stored it */
  gboolean dirty;   /* the stored record is out of date */
  uint64_t flushed_ms;
};

static void
row_free (gpointer data)
{
  xdr_free ((xdrproc_t) xdr_fb_work_silent_worker, data);
  g_free (data);
}

FbPoolSilence *
fb_pool_silence_new (void)
{
  FbPoolSilence *self = g_new0 (FbPoolSilence, 1);
  self->rows = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, row_free);
  return self;
}

void
fb_pool_silence_free (FbPoolSilence *self)
{
  g_hash_table_unref (self->rows);
  g_free (self);
}

/* ---- what is known of a worker --------------------------------------------------------- */

static void
add_size (FbPoolWorker *worker, uint32_t cpu_milli, uint32_t mem_mb, uint32_t gpu_count)
{
  worker->max_cpu_milli = MAX (worker->max_cpu_milli, cpu_milli);
  worker->max_mem_mb = MAX (worker->max_mem_mb, mem_mb);
  worker->max_gpu_count = MAX (worker->max_gpu_count, gpu_count);
  worker->size_known = TRUE;
}

void
fb_pool_silence_worker_listed (FbPoolWorker *worker)
{
  add_size (worker, worker->cpu_milli, worker->mem_mb, worker->gpu_count);
  worker->labels_known = TRUE;
}

static void
restore_labels (FbPoolWorker *worker, const fb_work_silent_worker *row)
{
  if (worker->labels_known || !row->labels_known)
    return;
  g_strfreev (worker->labels);
  worker->labels = g_new0 (char *, row->labels.labels_len + 1);
  for (u_int i = 0; i < row->labels.labels_len; i++)
    worker->labels[i] = g_strdup (row->labels.labels_val[i].name);
  worker->labels_known = TRUE;
}

void
fb_pool_silence_worker_added (FbPool *self, FbPoolWorker *worker)
{
  const fb_work_silent_worker *row = g_hash_table_lookup (self->silence->rows, worker->id);
  if (row == NULL)
    return;
  if (row->size_known)
    add_size (worker, row->cpu_milli, row->mem_mb, row->gpu_count);
  restore_labels (worker, row);
}

/* A worker that has shrunk may still run what it had capacity for before. */
static gboolean
has_shrunk (const FbPoolWorker *worker)
{
  return worker->cpu_milli < worker->max_cpu_milli || worker->mem_mb < worker->max_mem_mb
         || worker->gpu_count < worker->max_gpu_count;
}

static gboolean
needs_row (const FbPoolWorker *worker)
{
  return !worker->answered || worker->poll_failed || !worker->listed || has_shrunk (worker);
}

void
fb_pool_silence_polled (FbPool *self, const FbPoolWorker *worker)
{
  if (needs_row (worker) && !worker->has_silence_row)
    self->silence->dirty = TRUE;
}

/* ---- writing ----------------------------------------------------------------------------- */

gboolean
fb_pool_silence_record_is_due (const FbPool *self, uint64_t now_ms)
{
  const uint64_t interval_ms = MIN (g_hash_table_size (self->workers) / 2, RECORD_INTERVAL_MAX_MS);
  return self->silence->dirty && self->workers_complete && fb_pool_may_place (self)
         && now_ms >= self->silence->flushed_ms + interval_ms;
}

static void
write_labels (const FbPoolWorker *worker, fb_work_silent_worker *row)
{
  guint n = worker->labels_known ? g_strv_length (worker->labels) : 0;
  if (!worker->labels_known || n > FB_WORK_MAX_LABELS)
    return;
  row->labels_known = TRUE;
  row->labels.labels_val = g_new0 (fb_work_label, n + 1);
  for (guint i = 0; i < n; i++)
    {
      /* No step can require a longer one. */
      if (strlen (worker->labels[i]) <= FB_WORK_MAX_NAME)
        row->labels.labels_val[row->labels.labels_len++].name = worker->labels[i];
    }
}

static void
write_row (FbPoolWorker *worker, fb_work_silent_worker *row)
{
  *row = (fb_work_silent_worker){ .id = worker->id,
                                  .size_known = worker->size_known,
                                  .cpu_milli = worker->max_cpu_milli,
                                  .mem_mb = worker->max_mem_mb,
                                  .gpu_count = worker->max_gpu_count,
                                  .draining = worker->draining };
  write_labels (worker, row);
}

static uint64_t
hash_of (GBytes *workers)
{
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (workers, &len);
  return XXH64 (data, len, RECORD_HASH_SEED);
}

GBytes *
fb_pool_silence_record (FbPool *self, GBytes *workers, uint64_t now_ms)
{
  guint n = MIN (g_hash_table_size (self->workers), FB_WORK_MAX_WORKERS);
  g_autofree fb_work_silent_worker *rows = g_new0 (fb_work_silent_worker, n + 1);
  fb_work_silent_workers record
      = { .state = FB_WORK_QUEUED, .workers_hash = hash_of (workers), .workers = { 0, rows } };
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  self->silence->dirty = FALSE;
  self->silence->flushed_ms = now_ms;
  while (record.workers.workers_len < n
         && (worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      worker->has_silence_row = needs_row (worker);
      if (worker->has_silence_row)
        write_row (worker, &rows[record.workers.workers_len++]);
    }
  GBytes *bytes = record.workers.workers_len > 0 ? fb_codec_encode_silent_workers (&record) : NULL;
  for (u_int i = 0; i < record.workers.workers_len; i++)
    g_free (rows[i].labels.labels_val);
  return bytes;
}

/* ---- reading ------------------------------------------------------------------------------ */

gboolean
fb_pool_restore_silent_workers (FbPool *self, GBytes *workers, GBytes *silent_workers)
{
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (silent_workers, &len);
  fb_work_silent_workers record;
  if (!fb_codec_decode_silent_workers (data, len, &record))
    return FALSE;
  gboolean matches = record.workers_hash == hash_of (workers);
  for (u_int i = 0; matches && i < record.workers.workers_len; i++)
    {
      fb_work_silent_worker *row = g_new0 (fb_work_silent_worker, 1);
      *row = record.workers.workers_val[i];
      record.workers.workers_val[i] = (fb_work_silent_worker){ 0 };
      g_hash_table_replace (self->silence->rows, row->id, row);
      FbPoolWorker *worker = g_hash_table_lookup (self->workers, row->id);
      if (worker != NULL)
        fb_pool_silence_worker_added (self, worker);
    }
  xdr_free ((xdrproc_t) xdr_fb_work_silent_workers, (char *) &record);
  return TRUE;
}
