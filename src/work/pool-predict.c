/* Predicted run times of the tasks of a step, from its own runs.
 *
 * Medians are used: one task in 33 may take seven times as long as is normal for its kind, which
 * raises the mean of its step by a fifth. */
#include "internal/pool-private.h"

#include <stdlib.h>

/* Ended runs whose median counts: two suffice to see that an estimate is off by more than runs
 * differ among themselves. */
#define MIN_ENDED_RUNS 2
/* Runs from which it can be told whether one more is an outlier, or its worker slow: with fewer,
 * one outlier among them would be the median or next to it. */
#define MIN_BASELINE_RUNS 3
/* Tasks that are looked at, and run times that are compared, for one prediction; steps have up to
 * 10,000 tasks, and a median of 64 run times that differ by 0.3 is known to 0.05. */
#define MAX_VISITED 256
#define MAX_SAMPLES 64

typedef struct
{
  double values[MAX_SAMPLES];
  guint n;
} Samples;

int
fb_pool_compare_doubles (const void *a, const void *b)
{
  double x = *(const double *) a;
  double y = *(const double *) b;
  return (x > y) - (x < y);
}

static double
median (Samples *samples)
{
  if (samples->n == 0)
    return 0;
  qsort (samples->values, samples->n, sizeof samples->values[0], fb_pool_compare_doubles);
  guint middle = samples->n / 2;
  if (samples->n % 2 == 1)
    return samples->values[middle];
  return (samples->values[middle - 1] + samples->values[middle]) / 2;
}

static void
add_sample (Samples *samples, double value)
{
  if (samples->n < MAX_SAMPLES && value > 0)
    samples->values[samples->n++] = value;
}

static uint32_t
visited_n (const FbPoolStep *step)
{
  return MIN (step->spec->count, MAX_VISITED);
}

/* Computes the medians of the ended runs anew if more runs have ended. */
static void
update_medians (FbPoolStep *step)
{
  if (step->median_runs_n == step->timed_runs_n)
    return;
  Samples measured = { .n = 0 };
  Samples normal = { .n = 0 };
  for (uint32_t i = 0; i < visited_n (step); i++)
    {
      const FbPoolTask *task = &step->tasks[i];
      if (task->worker_speed == NULL)
        continue;
      add_sample (&measured, task->duration_ms);
      add_sample (&normal, task->duration_ms / task->worker_speed->slowness);
    }
  gboolean suffices = measured.n >= MIN_ENDED_RUNS;
  step->median_runs_n = step->timed_runs_n;
  step->median_ms = suffices ? (uint64_t) median (&measured) : 0;
  step->normal_median_ms = suffices ? (uint64_t) median (&normal) : 0;
}

uint64_t
fb_pool_step_median_ms (FbPoolStep *step)
{
  update_medians (step);
  return step->median_ms;
}

uint64_t
fb_pool_step_predicted_ms (FbPoolStep *step, gboolean *measured)
{
  update_medians (step);
  *measured = step->normal_median_ms > 0;
  return *measured ? step->normal_median_ms : step->spec->estimate_ms;
}

double
fb_pool_step_baseline_ms (const FbPoolStep *step, const FbPoolSpeed *excluded, uint64_t now_ms)
{
  Samples samples = { .n = 0 };
  for (uint32_t i = 0; i < visited_n (step) && samples.n < MAX_SAMPLES; i++)
    {
      const FbPoolTask *task = &step->tasks[i];
      const FbPoolRun *run = task->run;
      if (task->worker_speed != NULL)
        add_sample (&samples, task->duration_ms / task->worker_speed->slowness);
      else if (run != NULL && run->speed != excluded)
        add_sample (&samples, (double) fb_run_progress_total_ms (&run->progress, now_ms)
                                  / fb_pool_pace_slowness (run->speed, now_ms));
    }
  return samples.n >= MIN_BASELINE_RUNS ? median (&samples) : 0;
}
