/* A row that stands for a series of tasks names a step that no job has, so that daemons of earlier
 * versions skip it.  Such rows are only written where these daemons could not write a record with
 * all rows. */
#include "internal/pool-compact.h"

#include <string.h>

#define SERIES_STEP 0x80000000u
/* Size of a row without a checkpoint and failed attempts, and of a record without rows. */
#define ROW_BYTES 28
#define RECORD_BYTES 16
#define XDR_UNIT_BYTES 4

G_STATIC_ASSERT (FB_WORK_MAX_STEPS < SERIES_STEP);

static gsize
checkpoint_bytes (const fb_work_task_progress *row)
{
  gsize len = strlen (row->checkpoint);
  return (len + XDR_UNIT_BYTES - 1) / XDR_UNIT_BYTES * XDR_UNIT_BYTES;
}

static gsize
row_bytes (const fb_work_task_progress *row)
{
  return ROW_BYTES + row->failed.failed_len * XDR_UNIT_BYTES;
}

static gboolean
fits (const GArray *rows, gsize max_bytes)
{
  gsize bytes = RECORD_BYTES;
  for (guint i = 0; i < rows->len; i++)
    {
      const fb_work_task_progress *row = &g_array_index (rows, fb_work_task_progress, i);
      bytes += row_bytes (row) + checkpoint_bytes (row);
    }
  return rows->len <= FB_WORK_MAX_TASK_ROWS && bytes <= max_bytes;
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
series_length (const FbPoolJob *job, const GArray *rows, guint from)
{
  guint n = 0;
  const fb_work_task_progress *row = &g_array_index (rows, fb_work_task_progress, from);
  while (from + n < rows->len && row->done)
    {
      const fb_work_task_progress *next = row + 1;
      n++;
      if (from + n == rows->len || !is_next_task (job, row, next))
        break;
      row = next;
    }
  return n;
}

static void
combine_done_tasks (const FbPoolJob *job, GArray *rows)
{
  guint kept_n = 0;
  for (guint i = 0; i < rows->len;)
    {
      fb_work_task_progress row = g_array_index (rows, fb_work_task_progress, i);
      guint n = series_length (job, rows, i);
      if (n > 1)
        row = (fb_work_task_progress){ .occurrence = row.occurrence,
                                       .step = row.step | SERIES_STEP,
                                       .index = row.index,
                                       .attempt = n,
                                       .done = TRUE,
                                       .checkpoint = (char *) "" };
      g_array_index (rows, fb_work_task_progress, kept_n++) = row;
      i += MAX (n, 1);
    }
  g_array_set_size (rows, kept_n);
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

static gboolean
is_needed_without_checkpoint (const fb_work_task_progress *row)
{
  return row->done || row->failed.failed_len > 0;
}

static gsize
bytes_without_checkpoints (const GArray *rows)
{
  gsize bytes = RECORD_BYTES;
  for (guint i = 0; i < rows->len; i++)
    {
      const fb_work_task_progress *row = &g_array_index (rows, fb_work_task_progress, i);
      bytes += is_needed_without_checkpoint (row) ? row_bytes (row) : 0;
    }
  return bytes;
}

/* Returns: the number of checkpoints that were left out. */
static guint
leave_out_checkpoints (GArray *rows, gsize max_bytes)
{
  gsize bytes = bytes_without_checkpoints (rows);
  guint left_out_n = 0;
  guint kept_n = 0;
  for (guint i = 0; i < rows->len; i++)
    {
      fb_work_task_progress row = g_array_index (rows, fb_work_task_progress, i);
      gboolean is_needed = is_needed_without_checkpoint (&row);
      gsize more = checkpoint_bytes (&row) + (is_needed ? 0 : row_bytes (&row));
      if (*row.checkpoint != '\0' && bytes + more > max_bytes)
        {
          row.checkpoint = (char *) "";
          left_out_n++;
        }
      else
        bytes += more;
      if (is_needed || *row.checkpoint != '\0')
        g_array_index (rows, fb_work_task_progress, kept_n++) = row;
    }
  g_array_set_size (rows, kept_n);
  return left_out_n;
}

guint
fb_pool_compact_rows (const FbPoolJob *job, GArray *rows, gsize max_bytes)
{
  if (fits (rows, max_bytes))
    return 0;
  combine_done_tasks (job, rows);
  return fits (rows, max_bytes) ? 0 : leave_out_checkpoints (rows, max_bytes);
}
