/* Estimates the speed of the workers.
 *
 * Workers differ by 0.8 to 1.25 and more, and they do not report their speed. The tasks of one step
 * are alike, so once a step has ended each of its runs is compared with the mean of all. If runs
 * were taken into account as they end, each would be compared with shorter ones only, and every
 * worker would seem slow. The known speeds of the workers are factored out first; otherwise a step
 * that ran on fast workers only would make each of them seem average. */
#include "internal/pool-private.h"

#include <math.h>

/* Weight of one run in the estimate: run times of the tasks of a step differ by 0.15 to 0.3 of
 * their mean, so some ten runs are needed to distinguish one worker from another. */
#define LEARNING_RATE 0.125
/* The ratio of a single run is clamped to this range, because outliers say little about the worker:
 * a run far from the others was stuck, or short by chance. */
#define RATIO_MIN 0.4
#define RATIO_MAX 4.0

FbPoolSpeed *
fb_pool_speed_new (void)
{
  FbPoolSpeed *speed = g_new0 (FbPoolSpeed, 1);
  speed->slowness = 1;
  speed->refs = 1;
  return speed;
}

static FbPoolSpeed *
speed_ref (FbPoolSpeed *speed)
{
  speed->refs++;
  return speed;
}

void
fb_pool_speed_unref (FbPoolSpeed *speed)
{
  if (speed != NULL && --speed->refs == 0)
    g_free (speed);
}

void
fb_pool_speed_record_run (FbPoolTask *task, FbPoolSpeed *speed, uint32_t duration_ms)
{
  fb_pool_speed_unref (task->worker_speed);
  task->worker_speed = speed_ref (speed);
  task->duration_ms = duration_ms;
}

/* Returns: the run time on a worker of slowness 1, estimated from the recorded runs of STEP; 0 when
 * there are fewer than two. */
static double
baseline_ms (const FbPoolStep *step)
{
  double duration_ms = 0;
  double slowness = 0;
  guint n = 0;
  for (uint32_t i = 0; i < step->spec->count; i++)
    {
      const FbPoolTask *task = &step->tasks[i];
      if (task->worker_speed == NULL)
        continue;
      duration_ms += task->duration_ms;
      slowness += task->worker_speed->slowness;
      n++;
    }
  return n > 1 ? duration_ms / slowness : 0;
}

/* Updates the slowness of a worker from all its runs of one step together: one by one, those taken
 * last would have the highest weight. */
static void
update_slowness (FbPoolSpeed *speed)
{
  if (speed->step_runs == 0)
    return;
  double ratio = speed->step_ratio / speed->step_runs;
  speed->learnt_n += speed->step_runs;
  double share = 1 - pow (1 - LEARNING_RATE, speed->step_runs);
  speed->slowness += share * (ratio - speed->slowness);
  speed->step_ratio = 0;
  speed->step_runs = 0;
}

void
fb_pool_speed_update (FbPoolStep *step)
{
  double baseline = baseline_ms (step);
  for (uint32_t i = 0; baseline > 0 && i < step->spec->count; i++)
    {
      const FbPoolTask *task = &step->tasks[i];
      if (task->worker_speed == NULL)
        continue;
      task->worker_speed->step_ratio += CLAMP (task->duration_ms / baseline, RATIO_MIN, RATIO_MAX);
      task->worker_speed->step_runs++;
    }
  for (uint32_t i = 0; i < step->spec->count; i++)
    {
      FbPoolTask *task = &step->tasks[i];
      if (task->worker_speed != NULL)
        update_slowness (task->worker_speed);
      g_clear_pointer (&task->worker_speed, fb_pool_speed_unref);
    }
}
