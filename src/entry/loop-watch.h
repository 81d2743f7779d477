/* Delays of the main loop's turns.  A loop that lacks processor time, or spends long in one
 * callback, serves no calls meanwhile.  No I/O, clock or thread. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbLoopWatch FbLoopWatch;

/* Report of late turns. */
typedef struct
{
  uint32_t late_ms; /* largest delay */
  uint32_t turns_n; /* number of late turns */
} FbLoopLate;

/* PERIOD_MS: expected time between two turns. */
FbLoopWatch *fb_loop_watch_new (uint32_t period_ms, uint64_t now_ms);
void fb_loop_watch_free (FbLoopWatch *self);
/* To be called at each turn.
 * Returns: TRUE when *LATE is to be logged, at most once a second; every late turn is included in
 * one report. */
gboolean fb_loop_watch_turn (FbLoopWatch *self, uint64_t now_ms, FbLoopLate *late);
/* Returns: the largest delay of the last 2 s, including a turn that is overdue now. */
uint32_t fb_loop_watch_longest_ms (const FbLoopWatch *self, uint64_t now_ms);
