#include "loop-watch.h"

#include "fb-histogram.h"

/* A daemon joins its group every 250 ms to remain a member; with a larger delay of the main loop it
 * misses a join. */
#define LATE_MS 250
#define REPORT_INTERVAL_MS 1000
/* Time slots that cover the last 2 s; the oldest one also covers earlier time. */
#define SLOT_MS 250
#define SLOT_N 9

typedef struct
{
  uint64_t number;  /* index of the covered interval, in units of SLOT_MS */
  uint32_t late_ms; /* largest delay in that interval */
} Slot;

struct _FbLoopWatch
{
  uint32_t period_ms;
  uint64_t turn_ms;      /* time of the last iteration */
  uint64_t reported_ms;  /* time of the last report; 0: never */
  FbLoopLate unreported; /* delayed iterations since the last report */
  Slot slots[SLOT_N];
};

FbLoopWatch *
fb_loop_watch_new (uint32_t period_ms, uint64_t now_ms)
{
  FbLoopWatch *self = g_new0 (FbLoopWatch, 1);
  self->period_ms = period_ms;
  self->turn_ms = now_ms;
  return self;
}

void
fb_loop_watch_free (FbLoopWatch *self)
{
  g_free (self);
}

/* Returns: the delay of an iteration that begins at NOW_MS. */
static uint32_t
late_at (const FbLoopWatch *self, uint64_t now_ms)
{
  uint64_t due_ms = self->turn_ms + self->period_ms;
  return now_ms > due_ms ? (uint32_t) MIN (now_ms - due_ms, G_MAXUINT32) : 0;
}

static void
note_slot (FbLoopWatch *self, uint64_t now_ms, uint32_t late_ms)
{
  uint64_t number = now_ms / SLOT_MS;
  Slot *slot = &self->slots[number % SLOT_N];
  if (slot->number != number)
    *slot = (Slot){ .number = number };
  slot->late_ms = MAX (slot->late_ms, late_ms);
}

gboolean
fb_loop_watch_turn (FbLoopWatch *self, uint64_t now_ms, FbLoopLate *late)
{
  uint32_t late_ms = late_at (self, now_ms);
  self->turn_ms = now_ms;
  fb_histogram_add (FB_HISTOGRAM_LOOP_LATE, late_ms);
  note_slot (self, now_ms, late_ms);
  if (late_ms > LATE_MS)
    {
      self->unreported.late_ms = MAX (self->unreported.late_ms, late_ms);
      self->unreported.turns_n++;
    }
  if (self->unreported.turns_n == 0
      || (self->reported_ms != 0 && now_ms < self->reported_ms + REPORT_INTERVAL_MS))
    return FALSE;
  *late = self->unreported;
  self->unreported = (FbLoopLate){ 0 };
  self->reported_ms = now_ms;
  return TRUE;
}

uint32_t
fb_loop_watch_longest_ms (const FbLoopWatch *self, uint64_t now_ms)
{
  uint32_t longest_ms = late_at (self, now_ms);
  for (guint i = 0; i < SLOT_N; i++)
    {
      if (self->slots[i].number + SLOT_N > now_ms / SLOT_MS)
        longest_ms = MAX (longest_ms, self->slots[i].late_ms);
    }
  return longest_ms;
}
