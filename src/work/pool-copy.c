/* Copies of tasks whose step allows two runs at once: the first that ends done counts.
 *
 * The last task of a step decides when the step ends.  A copy is started when its run is on
 * a worker that has fallen silent, or takes clearly longer than the others of its step did.
 * It is started after the tasks that wait, and only into room that is free. */
#include "internal/pool-crash.h"

#include "fb-counter.h"
#include "fb-event.h"

/* Tasks of one step differ by 0.15 to 0.3 of their mean and workers by 0.8 to 1.25: a run
 * beyond 2.2 times the mean, and what an order and a look take, is most likely on a worker
 * that is slow for a reason of its own (3 to 8 times). */
#define LAG_PERCENT 220
#define LAG_MS 150
/* Before others have ended there is only the estimate, which is off by up to half. */
#define LAG_ESTIMATE_FACTOR 3

static gboolean
wants_copy (const FbPoolWorker *worker, const FbPoolRun *run, uint64_t now_ms)
{
  const FbPoolStep *step = run->step;
  if (step == NULL || !step->shape->speculative || step->shape->gang || step->shape->long_running)
    return FALSE;
  const FbPoolTask *task = &step->tasks[run->index];
  /* A copy would take down a second worker before it is known that the first one crashed. */
  if (fb_pool_task_is_suspect (task))
    return FALSE;
  if (task->done || task->run != run || task->copy != NULL || run->state == FB_RUN_STOPPING
      || fb_pool_job_ended (step->job))
    return FALSE;
  uint64_t patience_ms = fb_pool_step_times_ms (step, LAG_PERCENT, LAG_ESTIMATE_FACTOR) + LAG_MS;
  return fb_pool_worker_silent (worker, now_ms) || now_ms > run->started_ms + patience_ms;
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
          /* The copy goes to another worker, so this table stays as it is. */
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
