/* Speculative execution: second runs, called copies, of tasks whose step allows two at once. The
 * first run that ends successfully counts.
 *
 * The last task of a step decides when the step ends. A copy is started when the first run is on a
 * worker that has stopped answering, or takes clearly longer than the other runs of its step took.
 * Copies are started after the pending tasks, and only into free capacity. */
#include "internal/pool-account.h"
#include "internal/pool-crash.h"

#include "fb-counter.h"
#include "fb-event.h"

/* Run times of the tasks of one step differ by 0.15 to 0.3 of their mean, and workers by 0.8 to
 * 1.25. A run that exceeds 2.2 times the mean, plus the time of an order and a poll, is most likely
 * on an abnormally slow worker (3 to 8 times). */
#define STRAGGLER_PERCENT 220
#define STRAGGLER_MS 150
/* Until other runs have ended only the estimate is known, which is wrong by up to half. */
#define STRAGGLER_ESTIMATE_FACTOR 3

static gboolean
wants_copy (const FbPoolWorker *worker, const FbPoolRun *run, uint64_t now_ms)
{
  const FbPoolStep *step = run->step;
  if (step == NULL || !step->spec->speculative || step->spec->gang || step->spec->long_running)
    return FALSE;
  const FbPoolTask *task = &step->tasks[run->index];
  /* A copy could crash a second worker before it is known that the first one has crashed. */
  if (fb_pool_task_is_suspect (task) || run->awaits_record)
    return FALSE;
  if (task->done || task->run != run || task->copy != NULL || run->state == FB_RUN_STOPPING
      || fb_pool_job_ended (step->job) || fb_pool_account_is_exhausted (step))
    return FALSE;
  uint64_t expected_ms
      = fb_pool_step_scaled_run_ms (step, STRAGGLER_PERCENT, STRAGGLER_ESTIMATE_FACTOR)
        + STRAGGLER_MS;
  return fb_pool_worker_silent (worker, now_ms) || now_ms > run->started_ms + expected_ms;
}

static void
start_copy (FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run, uint64_t now_ms)
{
  FbPoolStep *step = run->step;
  FbPoolWorker *other
      = fb_pool_best_worker (self, step, run->index, NULL, worker, FB_TICKET_VALID, now_ms);
  if (other == NULL)
    {
      other = fb_pool_best_worker (self, step, run->index, NULL, worker, FB_TICKET_ALLOWED, now_ms);
      if (other != NULL)
        fb_pool_renew_ticket (self, step, other, now_ms);
      return;
    }
  fb_counter_add (FB_COUNTER_COPIES, 1);
  fb_event_log (FB_EVENT_TASK_COPIED, "task=%s attempt=%u worker=%s heard_ms_ago=%u ran_ms=%u",
                run->name, run->attempt, worker->id, (guint) (now_ms - worker->last_answer_ms),
                (guint) (now_ms - run->started_ms));
  fb_pool_order_start (self, other, step, run->index, fb_pool_next_attempt (self, step, run->index),
                       now_ms);
}

void
fb_pool_place_copies (FbPool *self, uint64_t now_ms)
{
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  while (!self->fenced && (worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      GHashTableIter runs;
      gpointer run;
      g_hash_table_iter_init (&runs, worker->runs);
      while (g_hash_table_iter_next (&runs, NULL, &run))
        {
          /* the copy is started on another worker, so it does not change the table that is iterated
           * over */
          if (wants_copy (worker, run, now_ms))
            start_copy (self, worker, run, now_ms);
        }
    }
}

void
fb_pool_task_attach_run (FbPoolTask *task, FbPoolRun *run)
{
  if (task->run == NULL)
    task->run = run;
  else if (task->run != run)
    task->copy = run;
}

void
fb_pool_task_detach_run (FbPoolTask *task, const FbPoolRun *run)
{
  if (task->copy == run)
    task->copy = NULL;
  else if (task->run == run)
    {
      task->run = task->copy;
      task->copy = NULL;
    }
}
