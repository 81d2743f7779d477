/* Tightness of a step: the part of the time until the objective of its job that the rest of the job
 * needs, on average workers. */
#include "internal/pool-private.h"

/* Returns: the longest chain of steps after step INDEX, by their estimates. */
static uint64_t
chain_after_ms (const fb_work_spec *spec, uint32_t index)
{
  uint64_t after_ms[FB_WORK_MAX_STEPS] = { 0 };
  for (u_int i = spec->steps.steps_len; i > index + 1; i--)
    {
      const fb_work_step *step = &spec->steps.steps_val[i - 1];
      uint64_t from_here_ms = after_ms[i - 1] + step->estimate_ms;
      for (u_int j = 0; j < step->after.after_len; j++)
        {
          uint64_t *before_ms = &after_ms[step->after.after_val[j]];
          *before_ms = MAX (*before_ms, from_here_ms);
        }
    }
  return after_ms[index];
}

double
fb_pool_step_tightness (FbPoolStep *step, uint64_t now_ms)
{
  const FbPoolJob *job = step->job;
  gboolean measured = FALSE;
  /* The objective of a job with a schedule is that of its first occurrence. */
  if (job->record.spec.occurrences > 0)
    return job->tightness;
  if (now_ms > job->no_value_ms)
    return 0;
  if (now_ms >= job->objective_ms)
    return 1;
  uint64_t work_ms = fb_pool_step_predicted_ms (step, &measured)
                     + chain_after_ms (&job->record.spec, step->index);
  return MIN ((double) work_ms / (double) (job->objective_ms - now_ms), 1);
}
