/* Progress of runs: the rate over the last interval of reports.
 *
 * Percentages are whole numbers, so the rate over a short interval is wrong by a percent either
 * way: after one percent it may be off by its double, after five by a fifth. An interval of
 * MIN_INTERVAL_MS therefore suffices only with MIN_GAIN; after MEDIUM_INTERVAL_MS any gain does,
 * which tells a task of 3 s on a healthy worker from one on a worker that is six times slow. With
 * less gain than MIN_GAIN the interval is extended, up to MAX_INTERVAL_MS. Without any gain by then
 * the run takes longer than 100 s, or its worker reports no true progress: the rate is not known,
 * and decisions are made as without progress. */
#include "internal/run-progress.h"

#include "internal/pool.h"

#define MIN_INTERVAL_MS 150
#define MIN_GAIN 5
#define MEDIUM_INTERVAL_MS 400
#define MAX_INTERVAL_MS 1000
/* A report that is older than this says nothing about the present: workers answer polls every 0.5
 * s, and one that has not answered for 1.3 s counts as silent. */
#define VALID_MS 2000

static gboolean
interval_suffices (uint32_t gain, uint64_t interval_ms)
{
  if (gain >= MIN_GAIN)
    return interval_ms >= MIN_INTERVAL_MS;
  return interval_ms >= (gain > 0 ? MEDIUM_INTERVAL_MS : MAX_INTERVAL_MS);
}

static void
begin_interval (FbRunProgress *self)
{
  self->base_percent = self->percent;
  self->base_clock_ms = self->clock_ms;
}

gboolean
fb_run_progress_add (FbRunProgress *self, uint8_t percent, uint64_t clock_ms, uint64_t now_ms)
{
  if (percent > 100)
    return FALSE;
  /* A run that goes back began again from a checkpoint, or its worker reports false progress. */
  gboolean is_first = !self->is_known || percent < self->percent || clock_ms < self->clock_ms;
  /* A run that is complete ends; one that is reported as complete again has false progress. */
  gboolean is_false = !is_first && percent == 100 && self->percent == 100;
  self->is_known = TRUE;
  self->percent = percent;
  self->clock_ms = clock_ms;
  self->seen_ms = now_ms;
  if (is_first || is_false)
    {
      self->rate = 0;
      begin_interval (self);
      return FALSE;
    }
  uint32_t gain = percent - self->base_percent;
  uint64_t interval_ms = clock_ms - self->base_clock_ms;
  if (!interval_suffices (gain, interval_ms))
    return FALSE;
  self->rate = (double) gain / (double) interval_ms;
  if (gain >= MIN_GAIN || interval_ms >= MAX_INTERVAL_MS)
    begin_interval (self);
  return TRUE;
}

static gboolean
has_rate (const FbRunProgress *self, uint64_t now_ms)
{
  return self->rate > 0 && now_ms <= self->seen_ms + VALID_MS;
}

uint64_t
fb_run_progress_total_ms (const FbRunProgress *self, uint64_t now_ms)
{
  return has_rate (self, now_ms) ? MAX ((uint64_t) (100 / self->rate), 1) : 0;
}

uint64_t
fb_run_progress_remaining_ms (const FbRunProgress *self, uint64_t now_ms)
{
  if (!has_rate (self, now_ms))
    return 0;
  uint64_t left_ms = (uint64_t) ((100 - self->percent) / self->rate);
  uint64_t passed_ms = now_ms - self->seen_ms;
  return left_ms > passed_ms ? left_ms - passed_ms : 1;
}
