/* Speculative execution: second runs, called copies, of tasks whose step allows two at once. The
 * first run that ends successfully counts.
 *
 * The last task of a step decides when the step ends. A copy is started when the first run is on a
 * worker that has stopped answering, or when a fresh run elsewhere would end clearly earlier by the
 * progress of the first one. Without progress, a copy is started when the first run takes clearly
 * longer than the other runs of its step took. Copies are started after the pending tasks, and only
 * into free capacity. */
#include "internal/pool-account.h"
#include "internal/pool-crash.h"

#include "fb-counter.h"
#include "fb-event.h"

/* Run times of the tasks of one step differ by 0.15 to 0.3 of their mean, and workers by 0.8 to
 * 1.25. A run that exceeds 2.2 times the median, plus the time of an order and a poll, is most
 * likely on an abnormally slow worker (3 to 8 times). */
#define STRAGGLER_PERCENT 220
#define STRAGGLER_MS 150
/* Until other runs have ended only the estimate is known, which is wrong by up to half. */
#define STRAGGLER_ESTIMATE_FACTOR 3
/* By how much the first run has to outlast a fresh one, in percent: the rate of a run is known to a
 * fifth. */
#define MIN_ADVANTAGE_PERCENT 125
/* A worker that is this many times slower than the other is the cause. Ordinary workers differ by
 * up to 2.4 (0.55 to 1.3 of the mean), and not every task of a slower one is worth a copy. */
#define CAUSE_FACTOR 2.0

gboolean
fb_pool_copy_is_worthwhile (uint64_t remaining_ms, uint64_t fresh_ms, double slowness,
                            double other_slowness, gboolean is_outlier)
{
  if (remaining_ms * 100 <= fresh_ms * MIN_ADVANTAGE_PERCENT)
    return FALSE;
  return is_outlier || slowness >= CAUSE_FACTOR * other_slowness;
}

static gboolean
may_have_copy (const FbPoolRun *run)
{
  const FbPoolStep *step = run->step;
  if (step == NULL || !step->spec->speculative || step->spec->gang || step->spec->long_running)
    return FALSE;
  const FbPoolTask *task = &step->tasks[run->index];
  /* A copy could crash a second worker before it is known that the first one has crashed. */
  if (fb_pool_task_is_suspect (task) || run->awaits_record)
    return FALSE;
  return !task->done && task->run == run && task->copy == NULL && run->state != FB_RUN_STOPPING
         && !fb_pool_job_ended (step->job) && !fb_pool_account_is_exhausted (step);
}

/* TRUE when RUN, whose progress is not known, takes longer than its step gives reason to expect. */
static gboolean
has_run_too_long (const FbPoolRun *run, uint64_t now_ms)
{
  uint64_t median_ms = fb_pool_step_median_ms (run->step);
  uint64_t expected_ms = median_ms > 0 ? median_ms * STRAGGLER_PERCENT / 100
                                       : fb_pool_step_scaled_run_ms (run->step, STRAGGLER_PERCENT,
                                                                     STRAGGLER_ESTIMATE_FACTOR);
  return now_ms > run->started_ms + expected_ms + STRAGGLER_MS;
}

/* TRUE when the ended runs of its step show that RUN takes unusually long, also for its worker. */
static gboolean
is_outlier (const FbPoolRun *run, uint64_t predicted_ms, gboolean measured, uint64_t now_ms)
{
  uint64_t total_ms = now_ms - run->started_ms + fb_pool_run_remaining_ms (run, now_ms);
  double usual_ms = (double) predicted_ms * fb_pool_pace_slowness (run->speed, now_ms);
  return measured && (double) total_ms * 100 > usual_ms * STRAGGLER_PERCENT;
}

/* TRUE when the progress of RUN shows that a fresh run on OTHER would end clearly earlier. */
static gboolean
is_worthwhile_on (const FbPoolRun *run, const FbPoolWorker *other, uint64_t now_ms)
{
  gboolean measured = FALSE;
  uint64_t predicted_ms = fb_pool_step_predicted_ms (run->step, &measured);
  double other_slowness = fb_pool_pace_slowness (other->speed, now_ms);
  uint64_t fresh_ms = (uint64_t) ((double) predicted_ms * other_slowness) + STRAGGLER_MS;
  return fb_pool_copy_is_worthwhile (fb_pool_run_remaining_ms (run, now_ms), fresh_ms,
                                     fb_pool_pace_slowness (run->speed, now_ms), other_slowness,
                                     is_outlier (run, predicted_ms, measured, now_ms));
}

/* TRUE when RUN on WORKER wants a copy whatever worker that is on. */
static gboolean
wants_copy_anywhere (const FbPoolWorker *worker, const FbPoolRun *run, uint64_t now_ms)
{
  if (fb_pool_worker_silent (worker, now_ms))
    return TRUE;
  return fb_pool_run_remaining_ms (run, now_ms) == 0 && has_run_too_long (run, now_ms);
}

/* TRUE when RUN reported progress by which no copy has been considered yet. Each time takes a pass
 * over the workers, and reports come every 0.5 s. */
static gboolean
has_new_progress (FbPoolRun *run, uint64_t now_ms)
{
  if (fb_pool_run_remaining_ms (run, now_ms) == 0 || run->considered_ms == run->progress.seen_ms)
    return FALSE;
  run->considered_ms = run->progress.seen_ms;
  return TRUE;
}

static void
start_copy (FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run, gboolean anywhere,
            uint64_t now_ms)
{
  FbPoolStep *step = run->step;
  gboolean has_ticket = FALSE;
  FbPoolWorker *other
      = fb_pool_best_other_worker (self, step, run->index, worker, &has_ticket, now_ms);
  if (other == NULL || (!anywhere && !is_worthwhile_on (run, other, now_ms)))
    return;
  if (!has_ticket)
    {
      fb_pool_renew_ticket (self, step, other, now_ms);
      return;
    }
  fb_counter_add (FB_COUNTER_COPIES, 1);
  fb_event_log (
      FB_EVENT_TASK_COPIED,
      "task=%s attempt=%u worker=%s heard_ms_ago=%u ran_ms=%u remaining_ms=%u slowness=%.2f",
      run->name, run->attempt, worker->id, (guint) (now_ms - worker->last_answer_ms),
      (guint) (now_ms - run->started_ms), (guint) fb_pool_run_remaining_ms (run, now_ms),
      fb_pool_pace_slowness (worker->speed, now_ms));
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
          if (!may_have_copy (run))
            continue;
          gboolean anywhere = wants_copy_anywhere (worker, run, now_ms);
          if (anywhere || has_new_progress (run, now_ms))
            start_copy (self, worker, run, anywhere, now_ms);
        }
    }
}

void
fb_pool_task_attach_run (FbPoolTask *task, FbPoolRun *run)
{
  if (task->run == NULL)
    task->run = run;
  else if (task->run != run)
    {
      task->copy = run;
      run->is_copy = TRUE;
    }
}

void
fb_pool_copy_ended (const FbPoolRun *run, FbEndReason reason)
{
  if (!run->is_copy)
    return;
  if (reason == FB_END_DONE && !run->step->tasks[run->index].done)
    fb_counter_add (FB_COUNTER_COPIES_FIRST, 1);
  else if (reason == FB_END_STOPPED)
    fb_counter_add (FB_COUNTER_COPIES_STOPPED, 1);
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
