#include "internal/pool-overload.h"

/* Length of a window: the shortest objectives are about 1 s. */
#define WINDOW_MS 1000
/* Steps that have to become late in one window, so that one job of many steps is no overload. */
#define LATE_MIN_N 4
/* The priority is overloaded when one step becomes late for this many that arrive. Callers lose
 * little up to then, and the order by the latest start serves more of them. */
#define ARRIVED_PER_LATE 4
/* The state is kept for this time after the last window with too many late steps, so that the order
 * does not change with each gap in a burst. */
#define KEPT_MS 2000

static void
begin_window (FbPoolOverload *self, uint64_t now_ms)
{
  if (self->window_ms != 0 && now_ms < self->window_ms + WINDOW_MS)
    return;
  self->window_ms = now_ms;
  self->arrived_n = 0;
  self->late_n = 0;
}

void
fb_pool_overload_arrived (FbPoolOverload *self, uint64_t now_ms)
{
  begin_window (self, now_ms);
  self->arrived_n++;
}

void
fb_pool_overload_became_late (FbPoolOverload *self, uint64_t now_ms)
{
  begin_window (self, now_ms);
  self->late_n++;
  if (self->late_n >= LATE_MIN_N && self->late_n * ARRIVED_PER_LATE >= self->arrived_n)
    self->until_ms = now_ms + KEPT_MS;
}

gboolean
fb_pool_overload_is_on (const FbPoolOverload *self, uint64_t now_ms)
{
  return now_ms < self->until_ms;
}
