#include "internal/run-times.h"

#include <math.h>
#include <string.h>

/* Share by which older runs lose weight with each new one. A memory of 2,048 runs is 3 s of the
 * most frequent tasks (600 runs a second) and 12 s of batches, some 75 to 200 jobs: enough for the
 * slope, whose data are jobs rather than runs, and short enough to follow a change of the load. */
#define DECAY (1.0 / 2048)
/* Shrinkage towards the estimate, in runs: two thirds of the level come from the first 8 runs, with
 * which predictions begin; the slope needs runs of several jobs, because the runs of one step all
 * have the same estimate. */
#define LEVEL_PRIOR_RUNS 4
#define SLOPE_PRIOR_RUNS 64
/* Spread of the estimates that the prior of the slope stands for, as a share of their mean. */
#define SLOPE_PRIOR_SPREAD 0.3
/* A run counts with at most this multiple of its prediction. One task in 33 may take seven times as
 * long as is normal, which would raise the mean by a fifth; with this limit it is a tenth. */
#define MAX_RATIO 4
/* Limits of a prediction, in multiples of the smaller or larger one of the estimate and the mean
 * run time: a line through noise may leave any sensible range at its ends. */
#define LIMIT_FACTOR 8

/* What is known of a key: weighted sums over its runs. */
typedef struct
{
  char *queue;
  uint32_t step;
  GList link;     /* in FbRunTimes.recent */
  guint known_n;  /* number of runs, up to FB_RUN_TIMES_MIN_RUNS */
  double runs_n;  /* sum of the weights */
  double x;       /* of the estimates */
  double y;       /* of the run times */
  double xx;      /* of the squared deviations of the estimates from their mean */
  double xy;      /* of the products of both deviations */
  double error_n; /* sum of the weights of the errors below */
  double error;   /* of the squared errors of predictions */
} Key;

struct _FbRunTimes
{
  GHashTable *keys; /* set of Key */
  GQueue recent;    /* of Key.link, the most recently used first */
};

static guint
key_hash (gconstpointer data)
{
  const Key *key = data;
  return g_str_hash (key->queue) * 31 + key->step;
}

static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
  const Key *x = a;
  const Key *y = b;
  return x->step == y->step && g_str_equal (x->queue, y->queue);
}

static void
key_free (gpointer data)
{
  Key *key = data;
  g_free (key->queue);
  g_free (key);
}

FbRunTimes *
fb_run_times_new (void)
{
  FbRunTimes *self = g_new0 (FbRunTimes, 1);
  self->keys = g_hash_table_new_full (key_hash, key_equal, key_free, NULL);
  return self;
}

void
fb_run_times_free (FbRunTimes *self)
{
  g_hash_table_unref (self->keys);
  g_free (self);
}

guint
fb_run_times_keys_n (const FbRunTimes *self)
{
  return g_hash_table_size (self->keys);
}

static Key *
find (const FbRunTimes *self, const char *queue, uint32_t step)
{
  const Key wanted = { .queue = (char *) queue, .step = step };
  return g_hash_table_lookup (self->keys, &wanted);
}

/* Returns: the key, created when there is none, as the most recently used one. */
static Key *
use (FbRunTimes *self, const char *queue, uint32_t step)
{
  Key *key = find (self, queue, step);
  if (key != NULL)
    {
      g_queue_unlink (&self->recent, &key->link);
      g_queue_push_head_link (&self->recent, &key->link);
      return key;
    }
  if (g_hash_table_size (self->keys) >= FB_RUN_TIMES_MAX_KEYS)
    {
      Key *oldest = self->recent.tail->data;
      g_queue_unlink (&self->recent, &oldest->link);
      g_hash_table_remove (self->keys, oldest);
    }
  key = g_new0 (Key, 1);
  key->queue = g_strdup (queue);
  key->step = step;
  key->link.data = key;
  g_queue_push_head_link (&self->recent, &key->link);
  g_hash_table_add (self->keys, key);
  return key;
}

static double
predict (const Key *key, double estimate_ms)
{
  if (key == NULL || key->known_n < FB_RUN_TIMES_MIN_RUNS)
    return estimate_ms;
  double x = key->x / key->runs_n;
  double y = key->y / key->runs_n;
  double prior = SLOPE_PRIOR_RUNS * SLOPE_PRIOR_SPREAD * SLOPE_PRIOR_SPREAD * x * x;
  double variance = key->xx + prior;
  double slope = variance > 0 ? (key->xy + prior) / variance : 1;
  double fit_ms = y + slope * (estimate_ms - x);
  double trust = key->runs_n / (key->runs_n + LEVEL_PRIOR_RUNS);
  double predicted_ms = trust * fit_ms + (1 - trust) * estimate_ms;
  return CLAMP (predicted_ms, MIN (estimate_ms, y) / LIMIT_FACTOR,
                MAX (estimate_ms, y) * LIMIT_FACTOR);
}

static void
add (Key *key, double x, double y)
{
  double kept = 1 - DECAY;
  double mean_x = key->runs_n > 0 ? key->x / key->runs_n : x;
  double mean_y = key->runs_n > 0 ? key->y / key->runs_n : y;
  double old_n = key->runs_n * kept;
  double share = old_n / (old_n + 1);
  key->xx = key->xx * kept + share * (x - mean_x) * (x - mean_x);
  key->xy = key->xy * kept + share * (x - mean_x) * (y - mean_y);
  key->x = key->x * kept + x;
  key->y = key->y * kept + y;
  key->runs_n = old_n + 1;
  key->known_n = MIN (key->known_n + 1, FB_RUN_TIMES_MIN_RUNS);
}

void
fb_run_times_add (FbRunTimes *self, const char *queue, uint32_t step, uint32_t estimate_ms,
                  uint32_t duration_ms)
{
  Key *key = use (self, queue, step);
  double run_ms = duration_ms;
  if (key->known_n >= FB_RUN_TIMES_MIN_RUNS)
    {
      double expected_ms = predict (key, estimate_ms);
      run_ms = MIN (run_ms, MAX_RATIO * MAX (expected_ms, 1));
      key->error = key->error * (1 - DECAY) + (run_ms - expected_ms) * (run_ms - expected_ms);
      key->error_n = key->error_n * (1 - DECAY) + 1;
    }
  add (key, estimate_ms, run_ms);
}

uint32_t
fb_run_times_predict (const FbRunTimes *self, const char *queue, uint32_t step,
                      uint32_t estimate_ms)
{
  double predicted_ms = predict (find (self, queue, step), estimate_ms);
  return (uint32_t) MIN (predicted_ms + 0.5, G_MAXUINT32);
}

uint32_t
fb_run_times_spread_ms (const FbRunTimes *self, const char *queue, uint32_t step)
{
  const Key *key = find (self, queue, step);
  if (key == NULL || key->error_n <= 0)
    return 0;
  return (uint32_t) MIN (sqrt (key->error / key->error_n), G_MAXUINT32);
}
