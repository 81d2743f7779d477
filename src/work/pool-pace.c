/* Workers that are slow for some seconds, found by the progress of their runs.
 *
 * pool-speed.c learns from ended steps how fast each worker is in general.  A worker that turns
 * five to seven times slow is known there only once its runs have ended, and long after it has
 * recovered. Here the rates of the runs on a worker are compared with what their steps take
 * elsewhere, at each answer to a poll, so that the slowness is known after one or two polls and
 * forgotten as quickly.
 *
 * A task that is long by itself must not make its worker look slow.  So at least two values are
 * needed, and the lower median of them decides: of runs of different steps, or of several runs of
 * one step that is known from other workers.  One run alone counts only together with a run that
 * has just ended on the worker.  Nothing is stored: the next owner knows what workers report again.
 */
#include "internal/pool-private.h"

#include "fb-event.h"

#include <stdlib.h>

/* A worker is slow now when its runs take this many times as long as is usual for it.  Below, run
 * times of one step (0.3 of their mean) and the speeds that are learnt in general account for it.
 */
#define SLOW_FACTOR 2.0
/* What was measured is used for this long: two polls and a little more.  Afterwards nothing runs
 * there that would tell, and the worker is tried again. */
#define VALID_MS 1500
/* A run that has ended is evidence for this long: short jobs have runs of 0.6 s. */
#define ENDED_VALID_MS 2000
/* Estimates are off by up to 0.9 of themselves, so that a run may take 1.9 times its estimate on a
 * worker of usual speed. */
#define ESTIMATE_ERROR 1.9
/* A worker is measured at most this often: it answers a poll every 0.5 s, and more often while its
 * runs end. */
#define MEASURE_INTERVAL_MS 300
/* With more runs than this on a worker, those in progress suffice, and one that ends is not
 * compared. */
#define MAX_RUNS_WITH_ENDED 3
/* Lines about one worker are at least this far apart. */
#define LOG_INTERVAL_MS 1000
/* Different steps on one worker that are compared; more would not change the median much. */
#define MAX_STEPS 16

/* The runs of one step on a worker. */
typedef struct
{
  FbPoolStep *step;
  double total_ms; /* the shortest time that one of them takes as a whole */
  guint runs_n;
} StepRuns;

typedef struct
{
  double values[2 * MAX_STEPS];
  guint n;
} Values;

static gboolean
is_comparable (const FbPoolRun *run)
{
  /* Members of a gang wait for each other, best-effort tasks for capacity, and long-running ones
   * have no end. */
  if (run->step == NULL || run->state != FB_RUN_RUNNING || run->step->spec->gang
      || run->step->spec->best_effort || run->step->spec->long_running)
    return FALSE;
  /* Tasks that were started again or twice are likely to be long by themselves; several of them may
   * well be on one worker. */
  const FbPoolTask *task = &run->step->tasks[run->index];
  return task->stuck_restarts == 0 && task->copy == NULL;
}

/* Stores the steps of the runs on WORKER in STEPS.  Of the runs of one step the fastest counts, so
 * that a long task beside others of its step changes nothing.  Returns: their number. */
static guint
collect_steps (const FbPoolWorker *worker, StepRuns steps[MAX_STEPS], uint64_t now_ms)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const FbPoolRun *run = value;
      double total_ms = (double) fb_run_progress_total_ms (&run->progress, now_ms);
      if (total_ms == 0 || !is_comparable (run))
        continue;
      guint i = 0;
      while (i < n && steps[i].step != run->step)
        i++;
      if (i == n && n == MAX_STEPS)
        continue;
      if (i == n)
        steps[n++] = (StepRuns){ run->step, total_ms, 0 };
      steps[i].total_ms = MIN (steps[i].total_ms, total_ms);
      steps[i].runs_n++;
    }
  return n;
}

static void
add_value (Values *values, double value, guint times)
{
  for (guint i = 0; i < times && values->n < G_N_ELEMENTS (values->values); i++)
    values->values[values->n++] = value;
}

static double
lower_median (Values *values)
{
  qsort (values->values, values->n, sizeof values->values[0], fb_pool_compare_doubles);
  return values->values[(values->n - 1) / 2];
}

/* Compares the runs in STEPS with what their steps take on other workers, into MEASURED, or with
 * their estimates, into ESTIMATED. */
static void
compare_steps (const FbPoolWorker *worker, const StepRuns *steps, guint n, Values *measured,
               Values *estimated, uint64_t now_ms)
{
  for (guint i = 0; i < n; i++)
    {
      double baseline_ms = fb_pool_step_baseline_ms (steps[i].step, worker->speed, now_ms);
      double estimate_ms = steps[i].step->spec->estimate_ms;
      if (baseline_ms > 0)
        add_value (measured, steps[i].total_ms / baseline_ms, MIN (steps[i].runs_n, 2));
      else if (estimate_ms > 0)
        add_value (estimated, steps[i].total_ms / (estimate_ms * ESTIMATE_ERROR), 1);
    }
}

/* Returns: how many times longer runs take on WORKER now than on an average worker; 0: not known.
 */
static double
measure (const FbPoolWorker *worker, uint64_t now_ms)
{
  StepRuns steps[MAX_STEPS];
  Values measured = { .n = 0 };
  Values estimated = { .n = 0 };
  guint n = collect_steps (worker, steps, now_ms);
  compare_steps (worker, steps, n, &measured, &estimated, now_ms);
  const FbPoolSpeed *speed = worker->speed;
  if (measured.n < 2)
    {
      for (guint i = 0; i < estimated.n; i++)
        add_value (&measured, estimated.values[i], 1);
    }
  if (measured.n > 0 && speed->ended_ms != 0 && now_ms <= speed->ended_ms + ENDED_VALID_MS)
    add_value (&measured, speed->ended_ratio, 1);
  return measured.n >= 2 ? lower_median (&measured) : 0;
}

static gboolean
is_slow_now (const FbPoolSpeed *speed, uint64_t now_ms)
{
  return speed->pace > SLOW_FACTOR * speed->slowness && now_ms <= speed->pace_ms + VALID_MS;
}

double
fb_pool_pace_slowness (const FbPoolSpeed *speed, uint64_t now_ms)
{
  return is_slow_now (speed, now_ms) ? speed->pace : speed->slowness;
}

gboolean
fb_pool_pace_was_slow (const FbPoolSpeed *speed, uint64_t since_ms)
{
  return speed->slow_ms != 0 && speed->slow_ms >= since_ms;
}

static void
log_change (const FbPoolWorker *worker, gboolean is_slow, uint64_t now_ms)
{
  FbPoolSpeed *speed = worker->speed;
  if (is_slow == speed->slow_logged || now_ms < speed->logged_ms + LOG_INTERVAL_MS)
    return;
  speed->slow_logged = is_slow;
  speed->logged_ms = now_ms;
  fb_event_log (is_slow ? FB_EVENT_POOL_WORKER_SLOW : FB_EVENT_POOL_WORKER_NOT_SLOW,
                "worker=%s slowness=%.2f in_general=%.2f runs=%u", worker->id, speed->pace,
                speed->slowness, g_hash_table_size (worker->runs));
}

void
fb_pool_pace_update (const FbPoolWorker *worker, uint64_t now_ms)
{
  FbPoolSpeed *speed = worker->speed;
  if (now_ms < speed->measured_ms + MEASURE_INTERVAL_MS)
    return;
  speed->measured_ms = now_ms;
  double pace = measure (worker, now_ms);
  if (pace > 0)
    {
      speed->pace = pace;
      speed->pace_ms = now_ms;
    }
  gboolean is_slow = is_slow_now (speed, now_ms);
  if (is_slow)
    speed->slow_ms = now_ms;
  log_change (worker, is_slow, now_ms);
}

void
fb_pool_pace_run_ended (const FbPoolWorker *worker, const FbPoolRun *run, uint64_t now_ms)
{
  FbPoolSpeed *speed = worker->speed;
  if (!run->from_start || run->step->spec->gang
      || g_hash_table_size (worker->runs) > MAX_RUNS_WITH_ENDED)
    return;
  double baseline_ms = fb_pool_step_baseline_ms (run->step, speed, now_ms);
  if (baseline_ms == 0)
    return;
  speed->ended_ratio = (double) (now_ms - run->started_ms) / baseline_ms;
  speed->ended_ms = now_ms;
}
