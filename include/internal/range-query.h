/* Read-only functions of a range. */
#pragma once

#include "internal/range.h"

uint32_t fb_range_id (const FbRange *self);
guint fb_range_open_count (const FbRange *self);

/* Returns: for how long jobs and keys from before a loss of records may be unknown, in ms. */
uint64_t fb_range_history_gap_ms (const FbRange *self, uint64_t now_ms);
/* Returns: TRUE while some rack has not replied, or has runs that this range does not know. */
gboolean fb_range_is_reconciling (const FbRange *self);

/* Returns: the offset of the oldest full record of a job that is still needed, or NEXT if
 * there is none before it. */
uint64_t fb_range_oldest_offset (const FbRange *self, uint64_t next);

/* One task of a job, see FbJobTask. */
typedef struct
{
  uint32_t index;
  uint32_t attempt; /* number of the last attempt; 0 if none */
  uint32_t rack;    /* of the last attempt, or FB_NO_RACK */
  FbOutcome outcome;
  const char *state; /* name of its FbJobTaskState, static */
} FbRangeTaskView;
typedef void (*FbRangeTaskFunc) (gpointer user, const FbRangeTaskView *task);

/* Calls FUNC for each task of JOB. Returns: FALSE if there is no such job. */
gboolean fb_range_foreach_task (const FbRange *self, uint64_t job, FbRangeTaskFunc func,
                                gpointer user);
