/* Remaining time of jobs, by the expected run times of their tasks. */
#include "internal/pool-order.h"

#include "fb-histogram.h"

uint64_t
fb_pool_step_expected_ms (const FbPoolStep *step)
{
  gboolean half_ended = step->timed_runs_n * 2 >= step->spec->count;
  return half_ended && step->normal_median_ms > 0 ? step->normal_median_ms
                                                  : step->job->expected_ms[step->index];
}

void
fb_pool_learn_run_time (FbPool *self, FbPoolStep *step, uint32_t duration_ms, double slowness)
{
  const char *queue = step->job->record.policy.queue;
  uint32_t estimate_ms = step->spec->estimate_ms;
  uint32_t normal_ms = (uint32_t) MIN (duration_ms / slowness, G_MAXUINT32);
  uint32_t predicted_ms = fb_run_times_predict (self->run_times, queue, step->index, estimate_ms);
  fb_histogram_add (FB_HISTOGRAM_RUN_TIME_ERROR,
                    predicted_ms > normal_ms ? predicted_ms - normal_ms : normal_ms - predicted_ms);
  fb_run_times_add (self->run_times, queue, step->index, estimate_ms, normal_ms);
  if (step->timed_runs_n * 2 >= step->spec->count)
    (void) fb_pool_step_median_ms (step); /* keeps FbPoolStep.normal_median_ms up to date */
}

/* Returns: the time until the tasks of STEP, which are all done or on workers, have ended. */
static uint64_t
running_ms (const FbPoolStep *step, uint64_t expected_ms, uint64_t now_ms)
{
  uint64_t longest_ms = 0;
  for (uint32_t i = 0; i < step->spec->count; i++)
    {
      const FbPoolRun *run = step->tasks[i].run;
      if (run == NULL)
        continue;
      uint64_t ran_ms = now_ms > run->started_ms ? now_ms - run->started_ms : 0;
      if (expected_ms > ran_ms)
        longest_ms = MAX (longest_ms, expected_ms - ran_ms);
    }
  return longest_ms;
}

/* Returns: the time that STEP needs from when the steps before it are done.  A step with a pending
 * task needs a whole run; a long-running one does not end by itself and counts as nothing. */
static uint64_t
step_remaining_ms (const FbPoolStep *step, uint64_t now_ms)
{
  if (fb_pool_step_done (step) || step->spec->long_running)
    return 0;
  uint64_t expected_ms = fb_pool_step_expected_ms (step);
  if (!step->released || fb_pool_step_is_pending (step))
    return expected_ms;
  return running_ms (step, expected_ms, now_ms);
}

uint64_t
fb_pool_job_remaining_ms (const FbPoolOccurrence *occurrence, uint64_t now_ms)
{
  uint64_t until_ms[FB_WORK_MAX_STEPS];
  uint64_t longest_ms = 0;
  const FbPoolJob *job = occurrence->steps[0].job;
  for (u_int i = 0; i < job->record.spec.steps.steps_len; i++)
    {
      const FbPoolStep *step = &occurrence->steps[i];
      uint64_t from_ms = 0;
      for (u_int j = 0; j < step->spec->after.after_len; j++)
        from_ms = MAX (from_ms, until_ms[step->spec->after.after_val[j]]);
      until_ms[i] = from_ms + step_remaining_ms (step, now_ms);
      longest_ms = MAX (longest_ms, until_ms[i]);
    }
  return longest_ms;
}
