/* Remaining time of jobs, by the expected run times of their tasks. */
#include "internal/pool-order.h"

#include "fb-histogram.h"

uint64_t
fb_pool_step_expected_ms (const FbPoolStep *step)
{
  return step->median_ms > 0 ? step->median_ms : step->job->expected_ms[step->index];
}

static gint
compare_durations (gconstpointer a, gconstpointer b)
{
  double x = *(const double *) a;
  double y = *(const double *) b;
  return x < y ? -1 : x > y;
}

/* Computes the median of the ended runs of STEP, each divided by the slowness of its worker, once
 * half of the tasks have ended and again after each quarter more, so that the cost for a step of
 * many tasks stays linear. */
static void
update_median (FbPoolStep *step)
{
  if (step->timed_runs_n * 2 < step->spec->count
      || step->timed_runs_n * 4 < step->median_runs_n * 5)
    return;
  g_autoptr (GArray) durations_ms = g_array_new (FALSE, FALSE, sizeof (double));
  for (uint32_t i = 0; i < step->spec->count; i++)
    {
      const FbPoolTask *task = &step->tasks[i];
      if (task->worker_speed == NULL)
        continue;
      double duration_ms = task->duration_ms / task->worker_speed->slowness;
      g_array_append_val (durations_ms, duration_ms);
    }
  if (durations_ms->len * 2 < step->spec->count)
    return;
  g_array_sort (durations_ms, compare_durations);
  step->median_ms = (uint32_t) MAX (g_array_index (durations_ms, double, durations_ms->len / 2), 1);
  step->median_runs_n = step->timed_runs_n;
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
  update_median (step);
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
fb_pool_job_remaining_ms (const FbPool *self, const FbPoolOccurrence *occurrence, uint64_t now_ms)
{
  (void) self;
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
