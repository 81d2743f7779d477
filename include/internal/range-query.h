/* Questions about a range; none of them changes it. */
#pragma once

#include "internal/range.h"

uint32_t fb_range_id (const FbRange *self);
guint fb_range_open_count (const FbRange *self);

/* Returns: how long keys used before may still be unknown, and whether racks are
 * still being asked. */
uint64_t fb_range_history_gap_ms (const FbRange *self, uint64_t now_ms);
gboolean fb_range_is_surveying (const FbRange *self);

/* Returns: the offset of the oldest full record of a job that is needed, or
 * NEXT when there is none before that. */
uint64_t fb_range_oldest_offset (const FbRange *self, uint64_t next);

typedef struct
{
  uint32_t index;
  uint32_t attempt;
  uint32_t rack;
  FbOutcome outcome;
  const char *state;
} FbRangeTaskView;
typedef void (*FbRangeTaskFunc) (gpointer user, const FbRangeTaskView *task);

/* Calls FUNC for each task of JOB.  Returns: FALSE when there is no such job. */
gboolean fb_range_foreach_task (const FbRange *self, uint64_t job, FbRangeTaskFunc func,
                                gpointer user);
