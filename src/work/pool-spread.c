/* How much the speeds of the workers differ.
 *
 * Where they differ little, the speed of a worker decides only between workers that are otherwise
 * alike.  Where some take twice as long as others, short jobs are late on the slow ones, and it is
 * worth more than free capacity to place them on fast ones. */
#include "internal/pool-private.h"

#include "fb-event.h"

#include <math.h>

/* Buckets per factor of two: percentiles are known to 4%. */
#define BUCKETS_PER_OCTAVE 16
/* A worker counts once this many runs there were measured: four tell half of its deviation. */
#define MIN_LEARNT_RUNS 4
/* With fewer workers the percentiles would be the speeds of single workers. */
#define MIN_WORKERS 10
/* Speeds differ when the 90th percentile is this many times the 10th. On workers of one speed,
 * 2,000 jobs of 20 tasks whose run times differ by 0.3 gave ratios of up to 1.35 with 12 workers
 * and 1.30 with 40, and with one outlier of seven times in 33 up to 1.19. */
#define UNEVEN_RATIO 1.5
/* Below this ratio they do not differ any more; the gap prevents a change at each check. */
#define EVEN_RATIO 1.35
/* Speeds that are learnt change over seconds. */
#define CHECK_INTERVAL_MS 1000

void
fb_speed_spread_add (FbSpeedSpread *self, double slowness)
{
  long bucket = lround (log2 (slowness) * BUCKETS_PER_OCTAVE) + FB_SPEED_SPREAD_BUCKETS / 2;
  self->counts[CLAMP (bucket, 0, FB_SPEED_SPREAD_BUCKETS - 1)]++;
  self->n++;
}

/* Returns: the bucket of the entry at POSITION, from 0, in ascending order. */
static int
bucket_at (const FbSpeedSpread *self, uint32_t position)
{
  uint32_t n = 0;
  for (int i = 0; i < FB_SPEED_SPREAD_BUCKETS; i++)
    {
      n += self->counts[i];
      if (n > position)
        return i;
    }
  return FB_SPEED_SPREAD_BUCKETS - 1;
}

double
fb_speed_spread_ratio (const FbSpeedSpread *self)
{
  if (self->n < MIN_WORKERS)
    return 1;
  uint32_t tenth = self->n / 10;
  int octave_parts = bucket_at (self, self->n - 1 - tenth) - bucket_at (self, tenth);
  return exp2 ((double) octave_parts / BUCKETS_PER_OCTAVE);
}

gboolean
fb_speed_spread_is_uneven (double ratio, gboolean was_uneven)
{
  return ratio > (was_uneven ? EVEN_RATIO : UNEVEN_RATIO);
}

void
fb_pool_spread_check (FbPool *self, uint64_t now_ms)
{
  if (now_ms < self->spread_checked_ms + CHECK_INTERVAL_MS)
    return;
  self->spread_checked_ms = now_ms;
  FbSpeedSpread spread = { .n = 0 };
  guint slot = 0;
  const FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (worker->speed->learnt_n >= MIN_LEARNT_RUNS)
        fb_speed_spread_add (&spread, fb_pool_pace_slowness (worker->speed, now_ms));
    }
  double ratio = fb_speed_spread_ratio (&spread);
  gboolean was_uneven = self->speeds_differ;
  self->speeds_differ = fb_speed_spread_is_uneven (ratio, was_uneven);
  if (self->speeds_differ != was_uneven)
    fb_event_log (FB_EVENT_POOL_SPEEDS_DIFFER, "differ=%d ratio=%.2f workers=%u",
                  self->speeds_differ, ratio, spread.n);
}
