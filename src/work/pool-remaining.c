/* Remaining time of jobs, by the expected run times of their tasks. */
#include "internal/pool-order.h"

uint64_t
fb_pool_step_expected_ms (const FbPool *self, const FbPoolStep *step)
{
  (void) self;
  return step->spec->estimate_ms;
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
step_remaining_ms (const FbPool *self, const FbPoolStep *step, uint64_t now_ms)
{
  if (fb_pool_step_done (step) || step->spec->long_running)
    return 0;
  uint64_t expected_ms = fb_pool_step_expected_ms (self, step);
  if (!step->released || fb_pool_step_is_pending (step))
    return expected_ms;
  return running_ms (step, expected_ms, now_ms);
}

uint64_t
fb_pool_job_remaining_ms (const FbPool *self, const FbPoolOccurrence *occurrence, uint64_t now_ms)
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
      until_ms[i] = from_ms + step_remaining_ms (self, step, now_ms);
      longest_ms = MAX (longest_ms, until_ms[i]);
    }
  return longest_ms;
}
