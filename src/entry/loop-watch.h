/* Measures the delays of main loop iterations.  While the loop lacks processor time, or spends long
 * in one callback, no calls are served.  No I/O, clock or thread. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbLoopWatch FbLoopWatch;

/* Delayed iterations since the last report. */
typedef struct
{
  uint32_t late_ms; /* largest delay */
  uint32_t turns_n; /* number of delayed iterations */
} FbLoopLate;

/* PERIOD_MS: expected interval between two iterations. */
FbLoopWatch *fb_loop_watch_new (uint32_t period_ms, uint64_t now_ms);
void fb_loop_watch_free (FbLoopWatch *self);
/* To be called in each iteration.
 * Returns: TRUE when *DELAYS is to be logged, at most once a second; every delayed iteration is
 * included in exactly one report. */
gboolean fb_loop_watch_turn (FbLoopWatch *self, uint64_t now_ms, FbLoopLate *late);
/* Returns: the largest delay of the last 2 s, including that of an iteration that is overdue
 * now. */
uint32_t fb_loop_watch_longest_ms (const FbLoopWatch *self, uint64_t now_ms);
