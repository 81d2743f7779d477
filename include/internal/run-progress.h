/* Progress of one run as its worker reports it, and the rate that follows from it.  No I/O, clock
 * or thread. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct
{
  gboolean is_known; /* a percentage was reported */
  /* The last report. */
  uint8_t percent;
  uint64_t clock_ms; /* on the worker's clock */
  uint64_t seen_ms;  /* when it arrived */
  /* The report with which the present interval began. */
  uint8_t base_percent;
  uint64_t base_clock_ms; /* on the worker's clock */
  /* Percent per ms over the last interval that is long enough; 0: not known. */
  double rate;
} FbRunProgress;

/* The worker reported PERCENT (FB_PERCENT_NOT_REPORTED: nothing) at CLOCK_MS of its clock. Returns:
 * TRUE when RATE has been computed anew. */
gboolean fb_run_progress_add (FbRunProgress *self, uint8_t percent, uint64_t clock_ms,
                              uint64_t now_ms);
/* Returns: how long the whole run takes at the present rate; 0: not known. */
uint64_t fb_run_progress_total_ms (const FbRunProgress *self, uint64_t now_ms);
/* Returns: how long the run still takes at the present rate, at least 1; 0: not known. */
uint64_t fb_run_progress_remaining_ms (const FbRunProgress *self, uint64_t now_ms);
