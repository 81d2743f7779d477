#include "loop-monitor.h"

#include "fb-histogram.h"

/* A daemon joins its group every 250 ms to remain a member; with a larger delay of the main loop it
 * misses a join. */
#define DELAY_MIN_MS 250
#define REPORT_INTERVAL_MS 1000
/* Time slots that cover the last 2 s; the oldest one also covers earlier time. */
#define SLOT_MS 250
#define SLOT_N 9

typedef struct
{
  uint64_t number;   /* index of the covered interval, in units of SLOT_MS */
  uint32_t delay_ms; /* largest delay in that interval */
} Slot;

struct _FbLoopMonitor
{
  uint32_t period_ms;
  uint64_t iteration_ms;   /* time of the last iteration */
  uint64_t reported_ms;    /* time of the last report; 0: never */
  FbLoopDelays unreported; /* delayed iterations since the last report */
  Slot slots[SLOT_N];
};

FbLoopMonitor *
fb_loop_monitor_new (uint32_t period_ms, uint64_t now_ms)
{
  FbLoopMonitor *self = g_new0 (FbLoopMonitor, 1);
  self->period_ms = period_ms;
  self->iteration_ms = now_ms;
  return self;
}

void
fb_loop_monitor_free (FbLoopMonitor *self)
{
  g_free (self);
}

/* Returns: the delay of an iteration that begins at NOW_MS. */
static uint32_t
delay_at (const FbLoopMonitor *self, uint64_t now_ms)
{
  uint64_t due_ms = self->iteration_ms + self->period_ms;
  return now_ms > due_ms ? (uint32_t) MIN (now_ms - due_ms, G_MAXUINT32) : 0;
}

static void
record_delay (FbLoopMonitor *self, uint64_t now_ms, uint32_t delay_ms)
{
  uint64_t number = now_ms / SLOT_MS;
  Slot *slot = &self->slots[number % SLOT_N];
  if (slot->number != number)
    *slot = (Slot){ .number = number };
  slot->delay_ms = MAX (slot->delay_ms, delay_ms);
}

gboolean
fb_loop_monitor_iteration (FbLoopMonitor *self, uint64_t now_ms, FbLoopDelays *delays)
{
  uint32_t delay_ms = delay_at (self, now_ms);
  self->iteration_ms = now_ms;
  fb_histogram_add (FB_HISTOGRAM_LOOP_DELAY, delay_ms);
  record_delay (self, now_ms, delay_ms);
  if (delay_ms > DELAY_MIN_MS)
    {
      self->unreported.delay_ms = MAX (self->unreported.delay_ms, delay_ms);
      self->unreported.iterations_n++;
    }
  if (self->unreported.iterations_n == 0
      || (self->reported_ms != 0 && now_ms < self->reported_ms + REPORT_INTERVAL_MS))
    return FALSE;
  *delays = self->unreported;
  self->unreported = (FbLoopDelays){ 0 };
  self->reported_ms = now_ms;
  return TRUE;
}

uint32_t
fb_loop_monitor_max_delay_ms (const FbLoopMonitor *self, uint64_t now_ms)
{
  uint32_t longest_ms = delay_at (self, now_ms);
  for (guint i = 0; i < SLOT_N; i++)
    {
      if (self->slots[i].number + SLOT_N > now_ms / SLOT_MS)
        longest_ms = MAX (longest_ms, self->slots[i].delay_ms);
    }
  return longest_ms;
}
