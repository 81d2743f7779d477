/* Detection of stuck runs.
 *
 * The tasks on a worker may make no progress while the worker still answers, and their jobs would
 * never end. So a run that takes far too long is restarted elsewhere, and its worker gets fewer
 * runs. The limit follows from the other runs of the step once some have ended, and from the
 * estimate before. It doubles with each restart, and after the last restart the task runs without a
 * limit, because it may just be long.
 *
 * A run that ends by itself sooner than a fresh one would, by its progress, is left alone. False
 * progress cannot delay the restart for long: percentages are whole, at most 100, and constant ones
 * count as not known. */
#include "internal/pool-private.h"

#include "fb-event.h"

/* A run is stuck when it takes this percentage of the time that the other runs of its step took
 * (they differ by some 15%), plus this time for the start on a slow worker. The limit doubles with
 * each restart. */
#define STUCK_PERCENT 250
#define STUCK_MS 800
/* Until other runs have ended only the estimate is known, which is wrong by a factor of up to 1.9,
 * while run times spread to 2.5 times their mean. A factor of 5 restarted healthy runs in load
 * tests without faults. */
#define STUCK_ESTIMATE_FACTOR 10
#define MAX_STUCK_RESTARTS 3

static uint64_t
stuck_limit_ms (const FbPoolStep *step)
{
  return fb_pool_step_scaled_run_ms (step, STUCK_PERCENT, STUCK_ESTIMATE_FACTOR) + STUCK_MS;
}

gboolean
fb_pool_run_ends_sooner_than_restarted (uint64_t remaining_ms, uint64_t fresh_ms)
{
  return remaining_ms > 0 && remaining_ms <= fresh_ms;
}

/* TRUE when RUN ends by itself, by its progress, no later than a fresh run would on an average
 * worker. */
static gboolean
is_about_to_end (const FbPool *self, const FbPoolRun *run, uint64_t now_ms)
{
  gboolean measured = FALSE;
  uint64_t fresh_ms = fb_pool_step_predicted_ms (run->step, &measured) + self->limits.max_stop_ms;
  return fb_pool_run_ends_sooner_than_restarted (fb_pool_run_remaining_ms (run, now_ms), fresh_ms);
}

static gboolean
is_stuck (const FbPoolRun *run, uint64_t now_ms)
{
  const FbPoolStep *step = run->step;
  if (step == NULL || run->state != FB_RUN_RUNNING || step->spec->long_running
      || step->spec->estimate_ms == 0)
    return FALSE;
  uint32_t stuck_restarts = step->tasks[run->index].stuck_restarts;
  return stuck_restarts < MAX_STUCK_RESTARTS
         && now_ms > run->started_ms + (stuck_limit_ms (step) << stuck_restarts);
}

static void
restart_stuck (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms)
{
  fb_event_log (FB_EVENT_TASK_STUCK, "task=%s attempt=%u worker=%s ran_ms=%u estimate_ms=%u",
                run->name, run->attempt, worker->id, (guint) (now_ms - run->started_ms),
                run->step->spec->estimate_ms);
  run->step->tasks[run->index].stuck_restarts++;
  worker->failure_streak++;
  fb_pool_worker_throttle (worker, now_ms);
  if (run->step->spec->gang)
    fb_pool_stop_gang (self, run->step, now_ms);
  else
    fb_pool_order_stop (self, worker, run, now_ms);
}

void
fb_pool_run_check_stuck (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms)
{
  if (is_stuck (run, now_ms) && !is_about_to_end (self, run, now_ms))
    restart_stuck (self, worker, run, now_ms);
}
