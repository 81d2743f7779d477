/* Reduces the progress of a job to what one record can hold. */
#pragma once

#include "internal/pool-job-private.h"

/* PROGRESS: that of JOB, which exceeds a limit of the record.  Combines tasks that are done and, if
 * it still has too many rows or more than MAX_BYTES, leaves out checkpoints that do not fit: these
 * tasks would begin again from their start.
 * Returns: the number of checkpoints that were left out. */
guint fb_pool_compact_progress (const FbPoolJob *job, fb_work_progress *progress, gsize max_bytes);
/* Returns: the number of tasks for which ROW stands, which follow each other in the order of their
 * job and are done; 0 for a row of a single task. */
uint32_t fb_pool_compact_series_n (const fb_work_task_progress *row);
/* Returns: the index of the step of the first task for which ROW stands. */
uint32_t fb_pool_compact_step (const fb_work_task_progress *row);
