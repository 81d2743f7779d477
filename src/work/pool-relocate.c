/* Restarts elsewhere of tasks that save checkpoints and run on a worker that is very slow.
 *
 * Such a task loses no work when it is stopped, and where copies are not allowed it would otherwise
 * last as long as its worker is slow.  The room that it is to have is reserved until its run has
 * ended, so that several tasks are not stopped for the same room. */
#include "internal/pool-account.h"
#include "internal/pool-crash.h"

#include "fb-event.h"

/* Time for the restore of a checkpoint (0.1 to 0.25 s), an order and the poll that reports the end,
 * in addition to the longest stop. */
#define RESTORE_MS 600
/* A move has to save this part of the remaining time: what is known of both workers is a fifth off,
 * and the slow one may recover. */
#define MIN_SAVED_FACTOR 2

/* A task that is being stopped to be started on another worker. */
typedef struct
{
  char *from;          /* id of its worker */
  char *task;          /* name of the task */
  uint32_t attempt;    /* of the run that is being stopped */
  char *to;            /* id of the worker on which room is reserved */
  fb_work_step demand; /* resources that are reserved; its pointers are not used */
  uint64_t until_ms;   /* when the reservation ends at the latest */
} Move;

static void
move_free (gpointer data)
{
  Move *move = data;
  g_free (move->from);
  g_free (move->task);
  g_free (move->to);
  g_free (move);
}

GPtrArray *
fb_pool_moves_new (void)
{
  return g_ptr_array_new_with_free_func (move_free);
}

gboolean
fb_pool_relocate_is_worthwhile (uint64_t remaining_ms, double slowness, double other_slowness,
                                uint64_t move_ms)
{
  double there_ms = (double) remaining_ms * other_slowness / slowness + (double) move_ms;
  return there_ms * MIN_SAVED_FACTOR < (double) remaining_ms;
}

/* ---- reservations ---------------------------------------------------------------- */

static uint64_t
move_ms (const FbPool *self)
{
  return self->limits.max_stop_ms + RESTORE_MS;
}

static void
reserve (FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run, FbPoolWorker *other,
         uint64_t now_ms)
{
  const fb_work_step *spec = run->step->spec;
  Move *move = g_new0 (Move, 1);
  move->from = g_strdup (worker->id);
  move->task = g_strdup (run->name);
  move->attempt = run->attempt;
  move->to = g_strdup (other->id);
  move->demand = (fb_work_step){ .cpu_milli = spec->cpu_milli,
                                 .mem_mb = spec->mem_mb,
                                 .gpu_count = spec->gpu_count,
                                 .best_effort = spec->best_effort };
  move->until_ms = now_ms + move_ms (self);
  fb_pool_worker_reserve (other, &move->demand, 1);
  g_ptr_array_add (self->moves, move);
}

static gboolean
is_in_progress (const FbPool *self, const Move *move, uint64_t now_ms)
{
  const FbPoolWorker *worker = g_hash_table_lookup (self->workers, move->from);
  const FbPoolRun *run = worker != NULL ? g_hash_table_lookup (worker->runs, move->task) : NULL;
  return run != NULL && run->attempt == move->attempt && now_ms < move->until_ms;
}

void
fb_pool_moves_check (FbPool *self, uint64_t now_ms)
{
  for (guint i = self->moves->len; i > 0; i--)
    {
      const Move *move = self->moves->pdata[i - 1];
      if (is_in_progress (self, move, now_ms))
        continue;
      FbPoolWorker *other = g_hash_table_lookup (self->workers, move->to);
      if (other != NULL)
        {
          fb_pool_worker_reserve (other, &move->demand, -1);
          fb_pool_worker_gained_capacity (self, other);
          self->round_due = TRUE;
        }
      g_ptr_array_remove_index (self->moves, i - 1);
    }
}

/* ---- choice --------------------------------------------------------------------- */

static gboolean
may_move (const FbPool *self, const FbPoolRun *run)
{
  const FbPoolStep *step = run->step;
  if (step == NULL || run->state != FB_RUN_RUNNING || run->abandoned)
    return FALSE;
  const fb_work_step *spec = step->spec;
  if (!spec->checkpointing || spec->speculative || spec->gang || spec->long_running)
    return FALSE;
  const FbPoolTask *task = &step->tasks[run->index];
  return task->run == run && !task->done && !task->was_moved && !fb_pool_task_is_suspect (task)
         && !fb_pool_job_ended (step->job) && !fb_pool_account_is_exhausted (step)
         && !fb_pool_may_run_unconfirmed (self, step);
}

static void
consider (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms)
{
  uint64_t remaining_ms = fb_pool_run_remaining_ms (run, now_ms);
  if (remaining_ms <= MIN_SAVED_FACTOR * move_ms (self)
      || run->considered_ms == run->progress.seen_ms || !may_move (self, run))
    return;
  run->considered_ms = run->progress.seen_ms;
  FbPoolStep *step = run->step;
  gboolean has_ticket = FALSE;
  FbPoolWorker *other
      = fb_pool_best_other_worker (self, step, run->index, worker, &has_ticket, now_ms);
  double slowness = fb_pool_pace_slowness (worker->speed, now_ms);
  if (other == NULL
      || !fb_pool_relocate_is_worthwhile (
          remaining_ms, slowness, fb_pool_pace_slowness (other->speed, now_ms), move_ms (self)))
    return;
  if (!has_ticket)
    {
      fb_pool_renew_ticket (self, step, other, now_ms);
      return;
    }
  fb_event_log (FB_EVENT_TASK_MOVED,
                "task=%s attempt=%u worker=%s slowness=%.2f remaining_ms=%u to=%s", run->name,
                run->attempt, worker->id, slowness, (guint) remaining_ms, other->id);
  step->tasks[run->index].was_moved = TRUE;
  reserve (self, worker, run, other, now_ms);
  fb_pool_order_stop (self, worker, run, now_ms);
}

void
fb_pool_relocate_runs (FbPool *self, uint64_t now_ms)
{
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  while (!self->fenced && (worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (!fb_pool_worker_very_slow (worker, now_ms))
        continue;
      GHashTableIter runs;
      gpointer run;
      g_hash_table_iter_init (&runs, worker->runs);
      while (g_hash_table_iter_next (&runs, NULL, &run))
        consider (self, worker, run, now_ms);
    }
}
