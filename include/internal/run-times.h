/* Learns how long tasks take, by queue and by the number of the step in its job.
 *
 * Estimates come from callers and may be off by up to nine tenths.  For each key the run time is
 * predicted as a + b * estimate by least squares over ended runs, recent ones counting more, so
 * that estimates which say nothing about the run time are ignored (b near 0) and others are
 * corrected.  Nothing is stored: a new owner learns again. */
#pragma once

#include <glib.h>
#include <stdint.h>

/* Runs of a key that must be known before the job's own estimate is replaced. */
#define FB_RUN_TIMES_MIN_RUNS 8
/* Number of keys that are kept; of more than that the least recently used are dropped. */
#define FB_RUN_TIMES_MAX_KEYS 4096

typedef struct _FbRunTimes FbRunTimes;

FbRunTimes *fb_run_times_new (void);
void fb_run_times_free (FbRunTimes *self);
/* A run with ESTIMATE_MS of step STEP of a job of QUEUE took DURATION_MS, on an average worker. */
void fb_run_times_add (FbRunTimes *self, const char *queue, uint32_t step, uint32_t estimate_ms,
                       uint32_t duration_ms);
/* Returns: the expected run time on an average worker; ESTIMATE_MS while too few runs are known. */
uint32_t fb_run_times_predict (const FbRunTimes *self, const char *queue, uint32_t step,
                               uint32_t estimate_ms);
/* Returns: the spread of run times around their prediction, as a root mean square; 0 while too few
 * runs are known. */
uint32_t fb_run_times_spread_ms (const FbRunTimes *self, const char *queue, uint32_t step);
/* Returns: the number of keys that are known. */
guint fb_run_times_keys_n (const FbRunTimes *self);
