/* Measures the delays of main loop iterations.  While the loop lacks processor time, or spends long
 * in one callback, no calls are served.  No I/O, clock or thread. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbLoopMonitor FbLoopMonitor;

/* Delayed iterations since the last report. */
typedef struct
{
  uint32_t delay_ms;     /* largest delay */
  uint32_t iterations_n; /* number of delayed iterations */
} FbLoopDelays;

/* PERIOD_MS: expected interval between two iterations. */
FbLoopMonitor *fb_loop_monitor_new (uint32_t period_ms, uint64_t now_ms);
void fb_loop_monitor_free (FbLoopMonitor *self);
/* To be called in each iteration.
 * Returns: TRUE when *DELAYS is to be logged, at most once a second; every delayed iteration is
 * included in exactly one report. */
gboolean fb_loop_monitor_iteration (FbLoopMonitor *self, uint64_t now_ms, FbLoopDelays *delays);
/* Returns: the largest delay of the last 2 s, including that of an iteration that is overdue
 * now. */
uint32_t fb_loop_monitor_max_delay_ms (const FbLoopMonitor *self, uint64_t now_ms);
