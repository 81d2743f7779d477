/* The record of workers that do not answer, for the next owner.
 *
 * A new owner must assume that a worker without an answer runs whatever it has capacity for. Of a
 * worker that is known from the record of workers only, and is missing in the platform's list, not
 * even the capacity was known: an account that used 8,400 of its 3,595,524 had to wait for 6.2 s
 * because all of its 13,893,900 waiting could be running on 13 such workers. So the owner stores
 * the size and the labels of workers that the next owner may not find in the list.
 *
 * Of a worker that counts as silent and has failed its last poll, the owner also stores which runs
 * can be there and when the last lease there will have ended. The row "closes" the worker:
 *
 *   From the moment when a flush with such a row begins until a later flush without it has been
 *   stored, the owner orders no start on that worker and extends no lease there.
 *
 * So whichever of the two records the next owner reads, it is true of everything that this owner
 * has ordered. A new owner that reads such a row keeps to the same rule, also while the worker
 * answers again, because its own successor may read that row too. An owner that was replaced cannot
 * store anything, so it cannot reopen a worker. The ends of runs that are missing in the row are in
 * the same flush or in an earlier one.
 *
 * A worker that may hold a lease from a call that was meant for an earlier incarnation has a row as
 * well. The next owner has to assume the longest lease for it, and for each worker if the record
 * does not have all of them.
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

/* A change of the workers, or of which of them answer, is recorded at most once in this time per 2
 * workers, and at least once in RECORD_INTERVAL_MAX_MS. Both records have some 60 bytes per worker,
 * so an owner with 17,000 workers of which some always fail a poll writes 1 MB/s. The lease of a
 * worker that waits for the record has 2.4 s left, so the upper limit is 1 s. */
#define RECORD_INTERVAL_MAX_MS 1000

typedef enum
{
  CLOSED_BY_ROW = 1, /* a row is stored, or may be */
  CLOSED_LEFT_OUT    /* the open flush leaves the row out */
} Closure;

/* A worker that has never answered this owner is closed only after this time, because an answer
 * that arrives late at a takeover must not cost a write of the store, which can take seconds. */
#define CLOSE_UNHEARD_AFTER_MS 500

struct _FbPoolSilence
{
  GHashTable *rows;           /* id -> fb_work_silent_worker, as the previous owner stored it */
  GHashTable *clocks;         /* id -> clock_ms of the reference clocks in the same record */
  int64_t recorded_ms;        /* that record is not newer, on this owner's clock */
  GHashTable *closed;         /* id -> Closure, of workers that are closed, also of removed ones */
  gboolean reopening;         /* some are CLOSED_LEFT_OUT */
  gboolean dirty;             /* the stored record is out of date */
  gboolean refused;           /* the store did not accept the last record */
  gboolean has_all_rows;      /* each worker that needs a row gets one in the next record */
  gboolean has_all_restarted; /* ROWS has all workers with leases from misdirected calls */
  uint64_t flushed_ms;        /* when the last record was flushed */
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
  self->clocks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->closed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return self;
}

void
fb_pool_silence_free (FbPoolSilence *self)
{
  g_hash_table_unref (self->rows);
  g_hash_table_unref (self->clocks);
  g_hash_table_unref (self->closed);
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

static void
restore_runs (FbPoolWorker *worker, const fb_work_silent_worker *row)
{
  if (!row->runs_known)
    return;
  g_clear_pointer (&worker->known_steps, g_hash_table_unref);
  worker->known_steps = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  worker->runs_counted = TRUE;
  for (u_int i = 0; i < row->runs.runs_len; i++)
    g_hash_table_replace (worker->known_steps, g_strdup (row->runs.runs_val[i].step),
                          GUINT_TO_POINTER (row->runs.runs_val[i].tasks_n));
}

/* A worker may be removed and added again while its row is stored. */
void
fb_pool_silence_worker_added (FbPool *self, FbPoolWorker *worker)
{
  const fb_work_silent_worker *row = g_hash_table_lookup (self->silence->rows, worker->id);
  worker->closed = g_hash_table_contains (self->silence->closed, worker->id);
  if (row == NULL)
    return;
  worker->draining = worker->draining || row->draining;
  worker->lease_recorded = row->lease_known;
  /* Its bound includes calls of the owner that recorded it. */
  if (row->lease_known)
    worker->misdirected_end_ms = 0;
  worker->recorded_lease_ms = row->lease_remaining_ms;
  restore_runs (worker, row);
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
needs_row (const FbPoolWorker *worker, uint64_t now_ms)
{
  return !worker->answered || fb_pool_lease_may_be_misdirected (worker, now_ms)
         || fb_pool_worker_poll_failed (worker) || !worker->listed || has_shrunk (worker);
}

/* While the owner seems to be cut off itself, it closes no further workers. A worker that has
 * answered is closed only once it is silent, because its lease is not extended from then on in any
 * case. Closing it at its first failed poll ended leases sooner, so tasks started again sooner and
 * late orders met more of them: of the seeds 700001 1000 crashing old-calls of fuzz-pool, 19 broke,
 * and 11 when only silent workers were closed. */
static gboolean
wants_closed (const FbPool *self, const FbPoolWorker *worker, uint64_t now_ms)
{
  if (worker->answered)
    return fb_pool_worker_poll_failed (worker)
           && (worker->closed || (self->is_connected && fb_pool_worker_silent (worker, now_ms)));
  return worker->closed || worker->runs_ended
         || (fb_pool_worker_poll_failed (worker)
             && now_ms >= self->majority_ms + CLOSE_UNHEARD_AFTER_MS);
}

gboolean
fb_pool_silence_will_close (const FbPool *self, const FbPoolWorker *worker, uint64_t now_ms)
{
  return wants_closed (self, worker, now_ms) && fb_pool_lease_is_bounded (self, worker);
}

void
fb_pool_silence_polled (FbPool *self, const FbPoolWorker *worker, uint64_t now_ms)
{
  gboolean is_due = needs_row (worker, now_ms);
  if ((is_due && !worker->has_silence_row) || (!is_due && worker->has_restart_row)
      || fb_pool_silence_will_close (self, worker, now_ms) != worker->closed)
    self->silence->dirty = TRUE;
}

/* Runs of a later incarnation are unknown when starts that were meant for an earlier one may still
 * arrive there; the pool then transfers them (pool-restart.c). */
static gboolean
are_runs_tracked (const FbPool *self, const FbPoolWorker *worker)
{
  if (fb_pool_worker_has_unsettled_end (worker))
    return FALSE;
  return !worker->may_restart || fb_pool_incarnation_is_latest (self, worker);
}

/* Returns: (transfer full): name of a step -> number of its tasks on WORKER. */
static GHashTable *
count_runs (const FbPoolWorker *worker)
{
  GHashTable *steps = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      char *step = fb_pool_step_of_task (name);
      guint n = GPOINTER_TO_UINT (g_hash_table_lookup (steps, step));
      g_hash_table_replace (steps, step, GUINT_TO_POINTER (n + 1));
    }
  return steps;
}

/* Returns: (transfer full) (nullable): as count_runs(), if no other run can be on WORKER. */
static GHashTable *
known_runs (const FbPool *self, const FbPoolWorker *worker)
{
  GHashTable *steps = NULL;
  if (worker->runs_ended || (worker->answered && are_runs_tracked (self, worker)))
    steps = count_runs (worker);
  else if (!worker->answered && worker->known_steps != NULL && worker->misdirected_end_ms == 0)
    steps = g_hash_table_ref (worker->known_steps);
  if (steps != NULL && g_hash_table_size (steps) > FB_WORK_MAX_RUNS)
    g_clear_pointer (&steps, g_hash_table_unref);
  return steps;
}

GHashTable *
fb_pool_silence_runs (const FbPool *self, const FbPoolWorker *worker, uint64_t now_ms)
{
  return worker->has_silence_row && fb_pool_silence_will_close (self, worker, now_ms)
             ? known_runs (self, worker)
             : NULL;
}

void
fb_pool_silence_forget (FbPool *self, FbPoolWorker *worker)
{
  self->silence->dirty = self->silence->dirty || worker->closed;
  if (worker->answered || !worker->lease_recorded)
    return;
  worker->lease_recorded = FALSE;
  worker->runs_counted = FALSE;
  g_clear_pointer (&worker->known_steps, g_hash_table_unref);
}

/* ---- clocks ------------------------------------------------------------------------------ */

/* At least as much real time has passed as a worker's clock has advanced, because these clocks
 * never run fast. */
static void
compare_with_reference (FbPool *self, const FbPoolWorker *worker, uint64_t now_ms)
{
  const uint64_t *clock_ms = g_hash_table_lookup (self->silence->clocks, worker->id);
  if (clock_ms == NULL || worker->clock_ms <= *clock_ms)
    return;
  const int64_t passed_ms = (int64_t) (worker->clock_ms - *clock_ms);
  self->silence->recorded_ms = MIN (self->silence->recorded_ms, (int64_t) now_ms - passed_ms);
}

void
fb_pool_silence_answered (FbPool *self, FbPoolWorker *worker, gboolean is_first, uint64_t now_ms)
{
  /* The clock was read after the poll had been sent and does not run fast, so it never gets further
   * ahead of this owner's clock than this. The maximum also holds if an answer was delayed and
   * taken for the one to a later poll. */
  const int64_t ahead_ms = (int64_t) worker->clock_ms - (int64_t) worker->poll_sent_ms;
  worker->clock_ahead_ms = is_first ? ahead_ms : MAX (worker->clock_ahead_ms, ahead_ms);
  compare_with_reference (self, worker, now_ms);
  if (!is_first)
    return;
  /* From now on this owner may start other runs there. */
  fb_work_silent_worker *row = g_hash_table_lookup (self->silence->rows, worker->id);
  if (row != NULL)
    row->runs_known = row->lease_known = FALSE;
  worker->lease_recorded = FALSE;
  worker->runs_counted = FALSE;
  if (!worker->draining)
    g_clear_pointer (&worker->known_steps, g_hash_table_unref);
}

uint64_t
fb_pool_silence_lease_end_ms (const FbPool *self, const FbPoolWorker *worker)
{
  if (!worker->lease_recorded)
    return G_MAXUINT64;
  const int64_t end_ms = self->silence->recorded_ms + (int64_t) worker->recorded_lease_ms;
  return (uint64_t) MAX (end_ms, 0);
}

/* Keeps the workers that answered last in REFERENCES, ordered by the time of the answer. */
static void
add_reference (const FbPoolWorker **references, const FbPoolWorker *worker)
{
  for (guint i = 0; i < FB_WORK_MAX_REFERENCE_CLOCKS && worker != NULL; i++)
    {
      const FbPoolWorker *other = references[i];
      if (other != NULL && other->last_answer_ms >= worker->last_answer_ms)
        continue;
      references[i] = worker;
      worker = other;
    }
}

static void
write_clocks (const FbPool *self, fb_work_reference_clock *clocks, u_int *clocks_n, uint64_t now_ms)
{
  const FbPoolWorker *references[FB_WORK_MAX_REFERENCE_CLOCKS] = { NULL };
  guint slot = 0;
  const FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (worker->answered && !fb_pool_worker_poll_failed (worker) && !worker->superseded
          && worker->clock_ms > 0)
        add_reference (references, worker);
    }
  while (*clocks_n < FB_WORK_MAX_REFERENCE_CLOCKS && references[*clocks_n] != NULL)
    {
      worker = references[*clocks_n];
      clocks[(*clocks_n)++] = (fb_work_reference_clock){
        .worker = worker->id,
        .clock_ms = (uint64_t) MAX (worker->clock_ahead_ms + (int64_t) now_ms, 0),
      };
    }
}

/* ---- writing ----------------------------------------------------------------------------- */

gboolean
fb_pool_silence_may_record (const FbPool *self, uint64_t now_ms)
{
  const uint64_t interval_ms = self->silence->refused ? RECORD_INTERVAL_MAX_MS
                                                      : MIN (g_hash_table_size (self->workers) / 2,
                                                             RECORD_INTERVAL_MAX_MS);
  return now_ms >= self->silence->flushed_ms + interval_ms;
}

gboolean
fb_pool_silence_record_is_due (const FbPool *self, uint64_t now_ms)
{
  return self->silence->dirty && self->workers_complete && fb_pool_may_place (self)
         && fb_pool_silence_may_record (self, now_ms);
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
write_runs (const FbPool *self, const FbPoolWorker *worker, fb_work_silent_worker *row)
{
  g_autoptr (GHashTable) runs = known_runs (self, worker);
  if (runs == NULL)
    return;
  row->runs_known = TRUE;
  row->runs.runs_val = g_new0 (fb_work_step_runs, g_hash_table_size (runs) + 1);
  GHashTableIter iter;
  gpointer step;
  gpointer n;
  g_hash_table_iter_init (&iter, runs);
  while (g_hash_table_iter_next (&iter, &step, &n))
    row->runs.runs_val[row->runs.runs_len++]
        = (fb_work_step_runs){ g_strdup (step), GPOINTER_TO_UINT (n) };
}

static void
write_row (const FbPool *self, const FbPoolWorker *worker, fb_work_silent_worker *row,
           uint64_t now_ms)
{
  *row = (fb_work_silent_worker){ .id = worker->id,
                                  .size_known = worker->size_known,
                                  .cpu_milli = worker->max_cpu_milli,
                                  .mem_mb = worker->max_mem_mb,
                                  .gpu_count = worker->max_gpu_count,
                                  .draining = worker->draining };
  write_labels (worker, row);
  row->lease_known = fb_pool_silence_will_close (self, worker, now_ms);
  if (!row->lease_known)
    return;
  row->lease_remaining_ms = fb_pool_worker_lease_remaining_ms (self, worker, now_ms);
  write_runs (self, worker, row);
}

static void
clear_row (fb_work_silent_worker *row)
{
  for (u_int i = 0; i < row->runs.runs_len; i++)
    g_free (row->runs.runs_val[i].step);
  g_free (row->runs.runs_val);
  g_free (row->labels.labels_val);
}

/* A flush of RECORD, or of no record if it has no rows, begins. */
static void
close_workers (FbPool *self, const fb_work_silent_workers *record)
{
  FbPoolSilence *silence = self->silence;
  GHashTableIter iter;
  g_hash_table_iter_init (&iter, silence->closed);
  while (g_hash_table_iter_next (&iter, NULL, NULL))
    g_hash_table_iter_replace (&iter, GINT_TO_POINTER (CLOSED_LEFT_OUT));
  silence->reopening = g_hash_table_size (silence->closed) > 0;
  for (u_int i = 0; i < record->workers.workers_len; i++)
    {
      const fb_work_silent_worker *row = &record->workers.workers_val[i];
      if (!row->lease_known)
        continue;
      g_hash_table_replace (silence->closed, g_strdup (row->id), GINT_TO_POINTER (CLOSED_BY_ROW));
      FbPoolWorker *worker = g_hash_table_lookup (self->workers, row->id);
      worker->closed = TRUE;
    }
}

static gboolean
is_left_out (gpointer id, gpointer closure, gpointer user)
{
  (void) id;
  (void) user;
  return GPOINTER_TO_INT (closure) == CLOSED_LEFT_OUT;
}

void
fb_pool_silence_stored (FbPool *self, uint64_t now_ms)
{
  FbPoolSilence *silence = self->silence;
  if (!silence->reopening)
    return;
  silence->reopening = FALSE;
  g_hash_table_foreach_remove (silence->closed, is_left_out, NULL);
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (!worker->closed || g_hash_table_contains (silence->closed, worker->id))
        continue;
      worker->closed = FALSE;
      fb_pool_worker_gained_capacity (self, worker);
      /* Its lease was not extended meanwhile. */
      worker->next_poll_ms = now_ms;
    }
}

void
fb_pool_silence_not_stored (FbPool *self)
{
  self->silence->reopening = FALSE;
  self->silence->refused = TRUE;
}

static uint64_t
hash_of (GBytes *workers)
{
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (workers, &len);
  return XXH64 (data, len, RECORD_HASH_SEED);
}

/* Returns: FALSE when ROW would make the record larger than the store takes together with the
 * record of workers. A worker without a row is not closed, and the next owner waits for its longest
 * lease. */
static gboolean
has_room_for (const FbPool *self, const fb_work_silent_worker *row, gsize *bytes)
{
  *bytes += xdr_sizeof ((xdrproc_t) xdr_fb_work_silent_worker, (gpointer) row);
  return self->limits.max_silence_bytes == 0 || *bytes <= self->limits.max_silence_bytes;
}

void
fb_pool_silence_choose_rows (FbPool *self, uint64_t now_ms)
{
  gsize rows_bytes = 0;
  guint rows_n = 0;
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  self->silence->has_all_rows = TRUE;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      worker->has_restart_row = FALSE;
      worker->has_silence_row = needs_row (worker, now_ms);
      if (!worker->has_silence_row)
        continue;
      fb_work_silent_worker row;
      write_row (self, worker, &row, now_ms);
      worker->has_silence_row
          = rows_n < FB_WORK_MAX_WORKERS && has_room_for (self, &row, &rows_bytes);
      worker->has_restart_row
          = worker->has_silence_row && fb_pool_lease_may_be_misdirected (worker, now_ms);
      rows_n += worker->has_silence_row;
      self->silence->has_all_rows = self->silence->has_all_rows && worker->has_silence_row;
      clear_row (&row);
    }
}

gboolean
fb_pool_silence_record (FbPool *self, GBytes *workers, uint64_t now_ms, GBytes **silent)
{
  guint n = MIN (g_hash_table_size (self->workers), FB_WORK_MAX_WORKERS);
  g_autofree fb_work_silent_worker *rows = g_new0 (fb_work_silent_worker, n + 1);
  fb_work_reference_clock clocks[FB_WORK_MAX_REFERENCE_CLOCKS];
  gboolean may_restart = FALSE;
  fb_work_silent_workers record
      = { .state = self->silence->has_all_rows ? FB_WORK_RUNNING : FB_WORK_QUEUED,
          .workers_hash = hash_of (workers),
          .workers = { 0, rows },
          .clocks = { 0, clocks } };
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  self->silence->dirty = FALSE;
  self->silence->refused = FALSE;
  self->silence->flushed_ms = now_ms;
  while (record.workers.workers_len < n
         && (worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      may_restart = may_restart || worker->may_restart;
      if (worker->has_silence_row)
        write_row (self, worker, &rows[record.workers.workers_len++], now_ms);
    }
  write_clocks (self, clocks, &record.clocks.clocks_len, now_ms);
  close_workers (self, &record);
  gboolean is_needed = record.workers.workers_len > 0 || may_restart;
  *silent = is_needed ? fb_codec_encode_silent_workers (&record) : NULL;
  for (u_int i = 0; i < record.workers.workers_len; i++)
    clear_row (&rows[i]);
  return !is_needed || *silent != NULL;
}

/* ---- reading ------------------------------------------------------------------------------ */

gboolean
fb_pool_silence_has_runs (const FbPool *self, const char *id)
{
  const fb_work_silent_worker *row = g_hash_table_lookup (self->silence->rows, id);
  return row != NULL && row->runs_known;
}

void
fb_pool_silence_applied (FbPool *self)
{
  self->silence->has_all_restarted = FALSE;
}

gboolean
fb_pool_silence_excludes_misdirected (const FbPool *self, const char *id)
{
  return self->silence->has_all_restarted && !g_hash_table_contains (self->silence->rows, id);
}

/* Takes over ROW, which is left empty. */
static void
restore_row (FbPool *self, fb_work_silent_worker *row)
{
  fb_work_silent_worker *kept = g_new0 (fb_work_silent_worker, 1);
  *kept = *row;
  *row = (fb_work_silent_worker){ 0 };
  g_hash_table_replace (self->silence->rows, kept->id, kept);
  if (kept->lease_known)
    g_hash_table_replace (self->silence->closed, g_strdup (kept->id),
                          GINT_TO_POINTER (CLOSED_BY_ROW));
  FbPoolWorker *worker = g_hash_table_lookup (self->workers, kept->id);
  if (worker != NULL)
    fb_pool_silence_worker_added (self, worker);
}

static void
restore_clock (FbPool *self, const fb_work_reference_clock *clock)
{
  const uint64_t clock_ms = clock->clock_ms;
  g_hash_table_replace (self->silence->clocks, g_strdup (clock->worker),
                        g_memdup2 (&clock_ms, sizeof clock_ms));
}

gboolean
fb_pool_restore_silent_workers (FbPool *self, GBytes *workers, GBytes *silent_workers,
                                uint64_t fenced_ms)
{
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (silent_workers, &len);
  fb_work_silent_workers record;
  if (!fb_codec_decode_silent_workers (data, len, &record))
    return FALSE;
  gboolean matches = record.workers_hash == hash_of (workers);
  self->silence->recorded_ms = (int64_t) fenced_ms;
  /* The remaining waits are stored again for the next owner, from this owner's time on. */
  self->silence->dirty = matches;
  self->silence->has_all_restarted = matches && record.state == FB_WORK_RUNNING;
  for (u_int i = 0; matches && i < record.workers.workers_len; i++)
    restore_row (self, &record.workers.workers_val[i]);
  for (u_int i = 0; matches && i < record.clocks.clocks_len; i++)
    restore_clock (self, &record.clocks.clocks_val[i]);
  xdr_free ((xdrproc_t) xdr_fb_work_silent_workers, (char *) &record);
  return TRUE;
}
