/* Estimates of the remaining time of jobs, and the order of waiting steps that follows from them;
 * only for the pool's source files. */
#pragma once

#include "internal/pool-private.h"

/* Returns: the expected run time of a task of STEP on an average worker. */
uint64_t fb_pool_step_expected_ms (const FbPoolStep *step);
/* A run of STEP that began without a checkpoint ended successfully after DURATION_MS, on a worker
 * with SLOWNESS.  Its task must have been passed to fb_pool_speed_record_run(). */
void fb_pool_learn_run_time (FbPool *self, FbPoolStep *step, uint32_t duration_ms, double slowness);
/* Returns: the length of the longest chain of unfinished work of OCCURRENCE.  Runs in progress
 * count with their remaining time. */
uint64_t fb_pool_job_remaining_ms (const FbPoolOccurrence *occurrence, uint64_t now_ms);
/* Returns: when OCCURRENCE should be completed, on the pool's clock. */
uint64_t fb_pool_occurrence_objective_ms (const FbPoolOccurrence *occurrence);

/* Returns: for how long the job of STEP could wait and still be completed within its objective;
 * negative when it is late. */
int64_t fb_pool_order_slack_ms (const FbPoolStep *step, uint64_t now_ms);

/* What decides the position of a waiting step, besides the priority and the id of its job. */
typedef struct
{
  FbPoolUrgency urgency;
  gboolean is_late;         /* as FbPoolStep.is_late */
  gboolean is_over_share;   /* as FbPoolStep.is_over_share */
  uint64_t latest_start_ms; /* as FbPoolStep.latest_start_ms */
  uint64_t position_ms;     /* as FbPoolStep.position_ms */
} FbPoolOrderKey;

/* Cost of computing a key (130 ns) in visits of a worker or run, for FbPool.visits_n. */
#define FB_POOL_ORDER_KEY_VISITS 6

/* Returns: the key of STEP as of NOW_MS.  Predicts the run times of its job again if that was last
 * done a while ago. */
FbPoolOrderKey fb_pool_order_key (const FbPool *self, const FbPoolStep *step, uint64_t now_ms);
/* TRUE when KEY puts STEP at another position than the key that it was sorted by.  Shifts of the
 * latest start of less than 50 ms do not count. */
gboolean fb_pool_order_key_differs (const FbPoolStep *step, const FbPoolOrderKey *key);
/* Sets the key that STEP is sorted by; STEP must not be in a sorted queue, or be moved in it right
 * after the call. */
void fb_pool_order_set_key (FbPool *self, FbPoolStep *step, const FbPoolOrderKey *key,
                            uint64_t now_ms);
/* Called before each iteration of a round.  Returns: TRUE when the keys of all queued steps have to
 * be computed again, at most once in 100 ms. */
gboolean fb_pool_order_update (FbPool *self, uint64_t now_ms);
/* TRUE when steps that arrive later with the same priority start before STEP, because its priority
 * is overloaded. */
gboolean fb_pool_order_yields_to_newer (const FbPoolStep *step);
/* A start of a task of STEP was ordered. */
void fb_pool_order_count_start (FbPool *self, const FbPoolStep *step);
/* STEP does not wait any more, or is about to be freed. */
void fb_pool_order_forget (FbPool *self, FbPoolStep *step);
