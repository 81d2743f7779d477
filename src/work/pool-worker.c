/* Workers of a pool and their resources.
 *
 * A run is charged for its resources from the start order until its end is listed or it certainly
 * never began: a worker that does not check its own capacity carries out every start. */
#include "internal/pool-account.h"
#include "internal/pool-crash.h"
#include "internal/pool-silence.h"

#include <string.h>
#include <xxhash.h>

/* A worker that has not answered for this long gets no new work: a poll takes up to
 * FB_POOL_POLL_WAIT_MS, the rest allows for the network and a slow daemon. */
#define SILENT_MS 1300
/* After this many failed runs of different jobs in a row a worker gets one run per
 * THROTTLE_INTERVAL_MS until one succeeds. */
#define THROTTLE_AFTER_FAILURES 3
#define THROTTLE_INTERVAL_MS 1000

/* Arbitrary, but the same at all owners. */
#define ID_HASH_SEED 1

uint64_t
fb_pool_worker_id_hash (const char *id)
{
  return XXH64 (id, strlen (id), ID_HASH_SEED);
}

FbPoolWorker *
fb_pool_worker_new (const char *id)
{
  FbPoolWorker *worker = g_new0 (FbPoolWorker, 1);
  worker->id = g_strdup (id);
  worker->id_hash = fb_pool_worker_id_hash (id);
  worker->speed = fb_pool_speed_new ();
  worker->labels = g_new0 (char *, 1);
  worker->runs = g_hash_table_new (g_str_hash, g_str_equal);
  return worker;
}

/* Adds RUN to (SIGN 1) or removes it from (-1) the known runs of its task. */
static void
count_run (const FbPoolRun *run, int sign)
{
  if (run->step != NULL && !run->is_tombstone)
    run->step->tasks[run->index].known_runs_n += (uint32_t) sign;
}

static void
run_free (FbPoolRun *run)
{
  count_run (run, -1);
  if (run->step != NULL)
    fb_pool_task_detach_run (&run->step->tasks[run->index], run);
  g_free (run->name);
  g_free (run);
}

void
fb_pool_worker_free (gpointer data)
{
  FbPoolWorker *worker = data;
  GHashTableIter iter;
  gpointer run;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &run))
    run_free (run);
  g_hash_table_unref (worker->runs);
  g_clear_pointer (&worker->known_steps, g_hash_table_unref);
  fb_pool_speed_unref (worker->speed);
  g_strfreev (worker->labels);
  g_free (worker->last_failed_job);
  g_free (worker->rack);
  g_free (worker->address);
  g_free (worker->id);
  g_free (worker);
}

void
fb_pool_worker_set_entry (FbPoolWorker *worker, const FbWorkerEntry *entry)
{
  g_free (worker->address);
  g_free (worker->rack);
  g_strfreev (worker->labels);
  worker->address = g_strdup (entry->address);
  worker->rack = g_strdup (entry->rack);
  worker->labels = g_strdupv ((char **) entry->labels);
  worker->cpu_milli = entry->cpu_milli;
  worker->mem_mb = entry->mem_mb;
  worker->gpu_count = entry->gpu_count;
  /* A worker that drains never becomes available again. */
  worker->draining = worker->draining || entry->draining;
  worker->listed = TRUE;
}

uint64_t
fb_pool_run_remaining_ms (const FbPoolRun *run, uint64_t now_ms)
{
  return fb_run_progress_remaining_ms (&run->progress, now_ms);
}

gboolean
fb_pool_worker_silent (const FbPoolWorker *worker, uint64_t now_ms)
{
  return !worker->answered || now_ms > worker->last_answer_ms + SILENT_MS;
}

gboolean
fb_pool_worker_has_unsettled_end (const FbPoolWorker *worker)
{
  return worker->has_unknown_end || worker->unstored_end != 0;
}

FbOrderResult
fb_pool_worker_call_result (const FbPoolWorker *worker, FbOrderResult result, uint64_t sent_ms)
{
  gboolean has_moved = worker->address_changed_ms != 0 && sent_ms <= worker->address_changed_ms;
  return result == FB_ORDER_OTHER_INCARNATION && has_moved ? FB_ORDER_UNKNOWN : result;
}

gboolean
fb_pool_worker_poll_failed (const FbPoolWorker *worker)
{
  return worker->poll_result != FB_ORDER_DONE;
}

void
fb_pool_worker_charge (FbPoolWorker *worker, FbPoolRun *run, int sign)
{
  if (run->step == NULL)
    {
      worker->unknown_runs_n += (uint32_t) sign;
      return;
    }
  const fb_work_step *spec = run->step->spec;
  if (!spec->best_effort)
    worker->cpu_used += sign * (int64_t) spec->cpu_milli;
  worker->mem_used += sign * (int64_t) spec->mem_mb;
  worker->gpu_used += sign * (int64_t) spec->gpu_count;
  fb_pool_account_charge (run->step->job->account, spec, sign);
  fb_pool_crash_charge (worker, run, sign);
}

FbPoolRun *
fb_pool_worker_add_run (FbPoolWorker *worker, FbPoolStep *step, uint32_t index, const char *name,
                        uint32_t attempt)
{
  FbPoolRun *run = g_new0 (FbPoolRun, 1);
  run->name = g_strdup (name);
  run->step = step;
  run->index = index;
  run->attempt = attempt;
  run->speed = worker->speed;
  g_hash_table_insert (worker->runs, run->name, run);
  fb_pool_worker_charge (worker, run, 1);
  count_run (run, 1);
  return run;
}

void
fb_pool_worker_set_step (FbPoolWorker *worker, FbPoolRun *run, FbPoolStep *step, uint32_t index)
{
  fb_pool_worker_charge (worker, run, -1);
  run->step = step;
  run->index = index;
  fb_pool_worker_charge (worker, run, 1);
  count_run (run, 1);
}

void
fb_pool_worker_set_tombstone (FbPoolWorker *worker, FbPoolRun *run, gboolean is_tombstone)
{
  if (run->is_tombstone == is_tombstone)
    return;
  count_run (run, -1);
  run->is_tombstone = is_tombstone;
  count_run (run, 1);
  if (is_tombstone)
    worker->tombstones_n++;
  else
    worker->tombstones_n--;
}

static gboolean
is_counted (const FbPoolRun *run)
{
  return run != NULL && !run->is_tombstone;
}

/* A new run would replace the other one in the table of runs, and the resources of that one would
 * never be released. So the task does not start there until the other one is over. */
gboolean
fb_pool_worker_has_other_run (const FbPoolWorker *worker, const FbPoolStep *step, uint32_t index)
{
  const FbPoolTask *task = &step->tasks[index];
  guint current_n = (guint) is_counted (task->run) + (guint) is_counted (task->copy);
  if (worker->tombstones_n == 0 && task->known_runs_n <= current_n)
    return FALSE;
  g_autofree char *name = fb_pool_task_name (step, index);
  return g_hash_table_contains (worker->runs, name);
}

void
fb_pool_worker_drop_run (FbPoolWorker *worker, FbPoolRun *run)
{
  fb_pool_worker_charge (worker, run, -1);
  worker->tombstones_n -= run->is_tombstone;
  g_hash_table_remove (worker->runs, run->name);
  run_free (run);
}

gboolean
fb_pool_worker_fits (const FbPoolWorker *worker, const fb_work_step *spec)
{
  int64_t cpu_milli = spec->best_effort ? 0 : spec->cpu_milli;
  return worker->unknown_runs_n == 0
         && worker->cpu_used + worker->cpu_reserved + cpu_milli <= worker->cpu_milli
         && worker->mem_used + worker->mem_reserved + spec->mem_mb <= worker->mem_mb
         && worker->gpu_used + worker->gpu_reserved + spec->gpu_count <= worker->gpu_count;
}

void
fb_pool_worker_reserve (FbPoolWorker *worker, const fb_work_step *spec, int sign)
{
  worker->reserved_n += (guint) sign;
  if (!spec->best_effort)
    worker->cpu_reserved += sign * (int64_t) spec->cpu_milli;
  worker->mem_reserved += sign * (int64_t) spec->mem_mb;
  worker->gpu_reserved += sign * (int64_t) spec->gpu_count;
}

/* A worker that fails its runs seems to have free capacity and would therefore get more of them. So
 * it gets one run a second until one succeeds. A limit on the number of its runs would not do,
 * since one long-running task would keep the worker out of use indefinitely. */
void
fb_pool_worker_throttle (FbPoolWorker *worker, uint64_t now_ms)
{
  if (worker->failure_streak >= THROTTLE_AFTER_FAILURES)
    worker->throttled_until_ms = now_ms + THROTTLE_INTERVAL_MS;
}

gboolean
fb_pool_worker_has_label (const FbPoolWorker *worker, const char *label)
{
  return worker->labels != NULL && g_strv_contains ((const char *const *) worker->labels, label);
}
