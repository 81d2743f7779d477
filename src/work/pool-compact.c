/* A row that stands for a series of tasks names a step that no job has, so that daemons of earlier
 * versions skip it.  Such rows are only written where these daemons could not write a record with
 * all rows. */
#include "internal/pool-compact.h"

#define SERIES_STEP 0x80000000u

G_STATIC_ASSERT (FB_WORK_MAX_STEPS < SERIES_STEP);

static gboolean
fits (const fb_work_progress *progress, gsize max_bytes)
{
  gsize bytes = xdr_sizeof ((xdrproc_t) xdr_fb_work_progress, (gpointer) progress);
  return bytes > 0 && bytes <= max_bytes;
}

/* ---- series of tasks that are done ------------------------------------------------ */

/* Returns: TRUE when the task of NEXT follows that of ROW in the order of JOB. */
static gboolean
is_next_task (const FbPoolJob *job, const fb_work_task_progress *row,
              const fb_work_task_progress *next)
{
  if (next->occurrence == row->occurrence && next->step == row->step)
    return next->index == row->index + 1;
  if (next->index != 0 || row->index + 1 != job->record.spec.steps.steps_val[row->step].count)
    return FALSE;
  if (next->occurrence == row->occurrence)
    return next->step == row->step + 1;
  return next->occurrence == row->occurrence + 1 && next->step == 0
         && row->step + 1 == job->record.spec.steps.steps_len;
}

/* Returns: the number of rows from FROM on that are a series of tasks that are done. */
static guint
series_length (const FbPoolJob *job, const fb_work_progress *progress, guint from)
{
  const fb_work_task_progress *rows = progress->task_progress.task_progress_val;
  const guint rows_n = progress->task_progress.task_progress_len;
  guint until = from;
  while (until < rows_n && rows[until].done
         && (until == from || is_next_task (job, &rows[until - 1], &rows[until])))
    until++;
  return until - from;
}

static void
combine_done_tasks (const FbPoolJob *job, fb_work_progress *progress)
{
  fb_work_task_progress *rows = progress->task_progress.task_progress_val;
  const guint rows_n = progress->task_progress.task_progress_len;
  guint kept_n = 0;
  for (guint i = 0; i < rows_n;)
    {
      fb_work_task_progress row = rows[i];
      guint n = series_length (job, progress, i);
      if (n > 1)
        row = (fb_work_task_progress){ .occurrence = row.occurrence,
                                       .step = row.step | SERIES_STEP,
                                       .index = row.index,
                                       .attempt = n,
                                       .done = TRUE,
                                       .checkpoint = (char *) "" };
      rows[kept_n++] = row;
      i += MAX (n, 1);
    }
  progress->task_progress.task_progress_len = kept_n;
}

uint32_t
fb_pool_compact_series_n (const fb_work_task_progress *row)
{
  return (row->step & SERIES_STEP) != 0 ? row->attempt : 0;
}

uint32_t
fb_pool_compact_step (const fb_work_task_progress *row)
{
  return row->step & ~SERIES_STEP;
}

/* ---- checkpoints ------------------------------------------------------------------- */

/* Returns: the size of ROW without its checkpoint; 0 when nothing else is recorded of its task. */
static gsize
bytes_without_checkpoint (const fb_work_task_progress *row)
{
  fb_work_task_progress without = *row;
  without.checkpoint = (char *) "";
  return row->done || row->failed.failed_len > 0
             ? xdr_sizeof ((xdrproc_t) xdr_fb_work_task_progress, &without)
             : 0;
}

/* Returns: the number of checkpoints that were left out. */
static guint
leave_out_checkpoints (fb_work_progress *progress, gsize max_bytes)
{
  const fb_work_progress empty = { 0 };
  fb_work_task_progress *rows = progress->task_progress.task_progress_val;
  const guint rows_n = progress->task_progress.task_progress_len;
  gsize bytes = xdr_sizeof ((xdrproc_t) xdr_fb_work_progress, (gpointer) &empty);
  guint left_out_n = 0;
  guint kept_n = 0;
  for (guint i = 0; i < rows_n; i++)
    bytes += bytes_without_checkpoint (&rows[i]);
  for (guint i = 0; i < rows_n; i++)
    {
      fb_work_task_progress row = rows[i];
      gsize without = bytes_without_checkpoint (&row);
      gsize whole = xdr_sizeof ((xdrproc_t) xdr_fb_work_task_progress, &row);
      gboolean is_kept = whole > 0 && bytes + whole - without <= max_bytes;
      if (is_kept)
        bytes += whole - without;
      else if (*row.checkpoint != '\0')
        {
          row.checkpoint = (char *) "";
          left_out_n++;
        }
      if (without > 0 || *row.checkpoint != '\0')
        rows[kept_n++] = row;
    }
  progress->task_progress.task_progress_len = kept_n;
  return left_out_n;
}

guint
fb_pool_compact_progress (const FbPoolJob *job, fb_work_progress *progress, gsize max_bytes)
{
  combine_done_tasks (job, progress);
  return fits (progress, max_bytes) ? 0 : leave_out_checkpoints (progress, max_bytes);
}
