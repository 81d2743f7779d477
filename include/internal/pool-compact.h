/* Reduces the progress of a job to what one record can hold. */
#pragma once

#include "internal/pool-job-private.h"

/* ROWS: the progress of the tasks of JOB, of fb_work_task_progress, in the order of the tasks.  If
 * they are too many, or larger than MAX_BYTES, tasks that are done are combined, and checkpoints
 * that do not fit are left out: these tasks would begin again from their start.
 * Returns: the number of checkpoints that were left out. */
guint fb_pool_compact_rows (const FbPoolJob *job, GArray *rows, gsize max_bytes);
/* Returns: the number of tasks for which ROW stands, which follow each other in the order of their
 * job and are done; 0 for a row of a single task. */
uint32_t fb_pool_compact_series_n (const fb_work_task_progress *row);
/* Returns: the index of the step of the first task for which ROW stands. */
uint32_t fb_pool_compact_step (const fb_work_task_progress *row);
