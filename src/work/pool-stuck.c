/* Runs that stand still.
 *
 * Failure: the tasks on a worker stand still while it answers as ever; it shows as jobs
 * that never end.  Guard: a run that takes far too long starts again elsewhere, and its
 * worker is given less.  What is too long follows from the other runs of the step once
 * some have ended, else from the estimate; it doubles with each move, and after the last
 * move a task is left alone: it may just be long. */
#include "internal/pool-private.h"

#include "fb-event.h"

/* A run is stuck when it takes this many times what the others of its step took (they
 * differ by some 15%), and this on top for a slow worker's start; each time it is moved
 * the next one gets twice as long. */
#define STUCK_PERCENT 250
#define STUCK_MS 800
/* Without such others its estimate is all there is, which is off by up to 1.9 times while
 * run times spread to 2.5 times their mean.  5 times moved sound runs on calm days. */
#define STUCK_FACTOR 10
#define STUCK_MOVES 3

static uint64_t
longest_run_ms (const FbPoolStep *step)
{
  return fb_pool_step_times_ms (step, STUCK_PERCENT, STUCK_FACTOR) + STUCK_MS;
}

static gboolean
is_stuck (const FbPoolRun *run, uint64_t now_ms)
{
  const FbPoolStep *step = run->step;
  if (step == NULL || run->state != FB_RUN_RUNNING || step->shape->long_running
      || step->shape->estimate_ms == 0)
    return FALSE;
  uint32_t moved = step->tasks[run->index].moved;
  return moved < STUCK_MOVES && now_ms > run->started_ms + (longest_run_ms (step) << moved);
}

static void
move_stuck (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms)
{
  fb_event_log (FB_EVENT_TASK_STUCK, "task=%s attempt=%u worker=%s ran_ms=%u estimate_ms=%u",
                run->name, run->attempt, worker->id, (guint) (now_ms - run->started_ms),
                run->step->shape->estimate_ms);
  run->step->tasks[run->index].moved++;
  worker->failure_streak++;
  fb_pool_worker_throttle (worker, now_ms);
  if (run->step->shape->gang)
    fb_pool_stop_gang (self, run->step, now_ms);
  else
    fb_pool_order_stop (self, worker, run, now_ms);
}

void
fb_pool_run_check_stuck (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms)
{
  if (is_stuck (run, now_ms))
    move_stuck (self, worker, run, now_ms);
}
