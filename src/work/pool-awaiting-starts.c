/* Starts of suspected tasks are stored before they are ordered.
 *
 * The owner and all daemons that know of a start may be killed while the store accepts no writes.
 * If the start were ordered meanwhile, its crash would never be counted, and neither would those
 * counted since the last write. So a suspected task first gets its worker, then the start is
 * recorded together with the crashes counted so far, and the order is sent once that is stored. */
#include "internal/pool-crash.h"

#include "fb-event.h"

/* A start that could not be ordered for this long gives its worker up, so that others can use the
 * capacity. */
#define AWAITING_MAX_MS 3000

typedef struct
{
  char *worker; /* id of the worker */
  char *task;   /* name of the task */
  uint32_t attempt;
  uint64_t flush; /* number of the flush that contains the start */
  uint64_t since_ms;
} AwaitingStart;

static void
awaiting_start_free (gpointer data)
{
  AwaitingStart *start = data;
  g_free (start->worker);
  g_free (start->task);
  g_free (start);
}

gboolean
fb_pool_task_needs_record (const FbPoolTask *task)
{
  return fb_pool_task_is_suspect (task) || task->unresolved != NULL;
}

GPtrArray *
fb_pool_awaiting_starts_new (void)
{
  return g_ptr_array_new_with_free_func (awaiting_start_free);
}

/* The members of a gang are ordered together, so they all wait for the record. */
gboolean
fb_pool_start_needs_record (const FbPoolStep *step, uint32_t index)
{
  if (!step->spec->gang)
    return fb_pool_task_needs_record (&step->tasks[index]);
  for (uint32_t i = 0; i < step->spec->count; i++)
    {
      if (fb_pool_task_needs_record (&step->tasks[i]))
        return TRUE;
    }
  return FALSE;
}

gboolean
fb_pool_start_is_postponed (const FbPool *self, const FbPoolStep *step, uint32_t index,
                            uint64_t now_ms)
{
  return fb_pool_write_is_slow (self, now_ms) && fb_pool_start_needs_record (step, index);
}

void
fb_pool_start_await_record (FbPool *self, const FbPoolWorker *worker, FbPoolRun *run,
                            uint64_t now_ms)
{
  FbPoolJob *job = run->step->job;
  run->awaits_record = TRUE;
  run->deadline_ms = G_MAXUINT64;
  AwaitingStart *start = g_new0 (AwaitingStart, 1);
  start->worker = g_strdup (worker->id);
  start->task = g_strdup (run->name);
  start->attempt = run->attempt;
  start->flush = self->flushes_n + 1;
  start->since_ms = now_ms;
  g_ptr_array_add (self->awaiting_starts, start);
  g_hash_table_add (self->dirty, job);
  const FbPoolTask *task = &run->step->tasks[run->index];
  fb_event_log (FB_EVENT_START_AWAITS_RECORD,
                "task=%s attempt=%u worker=%s crashes=%u doubts=%u epoch=%" G_GUINT64_FORMAT,
                run->name, run->attempt, worker->id, fb_pool_task_crashes_n (task),
                task->unresolved_losses_n, self->epoch);
}

/* Returns: (nullable): the run of START, if it still waits. */
static FbPoolRun *
find_run (const FbPoolWorker *worker, const AwaitingStart *start)
{
  FbPoolRun *run = worker != NULL ? g_hash_table_lookup (worker->runs, start->task) : NULL;
  return run != NULL && run->awaits_record && run->attempt == start->attempt ? run : NULL;
}

static gboolean
is_stored (const FbPool *self, const AwaitingStart *start)
{
  return self->stored_flushes_n >= start->flush;
}

/* TRUE when WORKER has shrunk below what its runs use, those that await their record included. */
static gboolean
exceeds_capacity (const FbPoolWorker *worker)
{
  return worker->cpu_used > worker->cpu_milli || worker->mem_used > worker->mem_mb
         || worker->gpu_used > worker->gpu_count;
}

/* Returns: why RUN must not be ordered any more, as a static text for the log; NULL if it may. */
static const char *
reason_to_withdraw (const FbPoolWorker *worker, const FbPoolRun *run, uint64_t now_ms)
{
  const FbPoolTask *task = &run->step->tasks[run->index];
  if (run->state == FB_RUN_STOPPING || run->abandoned || task->done
      || fb_pool_job_ended (run->step->job))
    return "no longer needed";
  if (task->withheld)
    return "withheld";
  if (!worker->listed || worker->draining)
    return "worker leaves";
  if (exceeds_capacity (worker))
    return "no room";
  if (run->step->job->record.policy.advised
      && fb_pool_valid_ticket (run->step, worker, now_ms) == NULL)
    return "ticket expired";
  return NULL;
}

static void
withdraw (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, const char *why, uint64_t now_ms)
{
  FbPoolStep *step = run->step;
  fb_event_log (FB_EVENT_START_WITHDRAWN, "task=%s attempt=%u worker=%s why=\"%s\"", run->name,
                run->attempt, worker->id, why);
  fb_pool_crash_task_absent (self, worker, step, run->index);
  fb_pool_run_ended (self, worker, run, "withdrawn", now_ms);
  if (step->spec->gang && !fb_pool_job_ended (step->job))
    fb_pool_stop_gang (self, step, now_ms);
}

void
fb_pool_awaiting_starts_withdraw (FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  for (guint i = 0; i < self->awaiting_starts->len; i++)
    {
      const AwaitingStart *start = self->awaiting_starts->pdata[i];
      FbPoolRun *run = g_str_equal (start->worker, worker->id) ? find_run (worker, start) : NULL;
      if (run != NULL)
        withdraw (self, worker, run, "worker lost", now_ms);
    }
}

/* TRUE when a run of the same task that was found since RUN got its place may still work. */
static gboolean
has_run_beside (const FbPoolRun *run)
{
  return !run->step->spec->speculative && run->step->tasks[run->index].known_runs_n > 1;
}

static gboolean
is_ready (const FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run,
          const AwaitingStart *start, uint64_t now_ms)
{
  return is_stored (self, start) && run->step->job->not_accepted_bytes == 0 && !has_run_beside (run)
         && !fb_pool_worker_poll_failed (worker) && fb_pool_worker_accepts_orders (worker, now_ms);
}

/* TRUE when all members of the gang STEP are ready. */
static gboolean
gang_is_ready (const FbPool *self, const FbPoolStep *step, uint64_t now_ms)
{
  guint ready_n = 0;
  for (guint i = 0; i < self->awaiting_starts->len; i++)
    {
      const AwaitingStart *start = self->awaiting_starts->pdata[i];
      const FbPoolWorker *worker = g_hash_table_lookup (self->workers, start->worker);
      const FbPoolRun *run = find_run (worker, start);
      if (run != NULL && run->step == step)
        ready_n += is_ready (self, worker, run, start, now_ms);
    }
  return ready_n == step->spec->count;
}

static void
order_gang (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  /* A member may have reported another checkpoint since the gang was placed. */
  fb_pool_gang_unify_checkpoints (step);
  for (guint i = 0; i < self->awaiting_starts->len; i++)
    {
      const AwaitingStart *start = self->awaiting_starts->pdata[i];
      FbPoolWorker *worker = g_hash_table_lookup (self->workers, start->worker);
      FbPoolRun *run = find_run (worker, start);
      if (run != NULL && run->step == step)
        fb_pool_order_placed_start (self, worker, run, now_ms);
    }
}

/* Returns: FALSE when START, which is not out of date, still waits. */
static gboolean
try_order (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, const AwaitingStart *start,
           uint64_t now_ms)
{
  FbPoolStep *step = run->step;
  if (step->spec->gang ? !gang_is_ready (self, step, now_ms)
                       : !is_ready (self, worker, run, start, now_ms))
    return FALSE;
  if (step->spec->gang)
    order_gang (self, step, now_ms);
  else
    fb_pool_order_placed_start (self, worker, run, now_ms);
  return TRUE;
}

/* Returns: FALSE when START still waits. */
static gboolean
settle (FbPool *self, AwaitingStart *start, gboolean may_start, uint64_t now_ms)
{
  FbPoolWorker *worker = g_hash_table_lookup (self->workers, start->worker);
  FbPoolRun *run = find_run (worker, start);
  if (run == NULL)
    return TRUE;
  /* The write before the one that contains the start may have taken long. */
  if (self->flushes_n == start->flush)
    start->since_ms = self->flush_started_ms;
  const char *why = reason_to_withdraw (worker, run, now_ms);
  if (why == NULL && may_start && try_order (self, worker, run, start, now_ms))
    return TRUE;
  if (why == NULL && now_ms >= start->since_ms + AWAITING_MAX_MS)
    why = is_stored (self, start) ? "worker takes no starts" : "not stored";
  if (why != NULL)
    withdraw (self, worker, run, why, now_ms);
  return why != NULL;
}

void
fb_pool_awaiting_starts_check (FbPool *self, gboolean may_start, uint64_t now_ms)
{
  guint i = 0;
  while (i < self->awaiting_starts->len)
    {
      if (settle (self, self->awaiting_starts->pdata[i], may_start, now_ms))
        g_ptr_array_remove_index (self->awaiting_starts, i);
      else
        i++;
    }
}
