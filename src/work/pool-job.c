/* Jobs of a pool: their occurrences, steps and tasks, and the progress recorded of them.
 *
 * A record holds only tasks that have ended or have a checkpoint.  The others are found again by
 * polling the workers, so a start needs no write to the store. */
#include "internal/codec.h"
#include "internal/pool-compact.h"
#include "internal/pool-crash.h"

#include <stdlib.h>
#include <string.h>

/* Runs of a step that must have ended before their mean time replaces the estimate. */
#define MIN_ENDED_RUNS 2

void
fb_pool_job_copy_record (const fb_work_admit *from, fb_work_admit *to)
{
  g_autoptr (GBytes) record = fb_codec_encode_admit (from);
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (record, &len);
  (void) fb_codec_decode_admit (data, len, to);
}

/* Predicts the run times of the steps of JOB.  Returns: the length of the critical path through
 * them; where no client accounts are configured, by the estimates of the job. */
static uint64_t
critical_path_ms (const FbPool *self, const FbPoolJob *job)
{
  const fb_work_spec *spec = &job->record.spec;
  uint64_t until_ms[FB_WORK_MAX_STEPS] = { 0 };
  uint64_t longest_ms = 0;
  for (u_int i = 0; i < spec->steps.steps_len; i++)
    {
      const fb_work_step *step = &spec->steps.steps_val[i];
      uint64_t from_ms = 0;
      for (u_int j = 0; j < step->after.after_len; j++)
        from_ms = MAX (from_ms, until_ms[step->after.after_val[j]]);
      job->expected_ms[i]
          = fb_run_times_predict (self->run_times, job->record.policy.queue, i, step->estimate_ms);
      until_ms[i] = from_ms + (self->orders_by_slack ? job->expected_ms[i] : step->estimate_ms);
      longest_ms = MAX (longest_ms, until_ms[i]);
    }
  return longest_ms;
}

uint64_t
fb_pool_objective_duration_ms (const fb_work_policy *policy, uint64_t path_ms)
{
  return path_ms * policy->stretch_factor_milli / 1000 + policy->target_ms;
}

void
fb_pool_job_update_objective (const FbPool *self, FbPoolJob *job)
{
  uint64_t work_ms = critical_path_ms (self, job);
  uint64_t objective_ms = fb_pool_objective_duration_ms (&job->record.policy, work_ms);
  job->tightness = objective_ms > 0 ? MIN ((double) work_ms / (double) objective_ms, 1) : 0;
  /* Work that has begun for an objective would be wasted if a new prediction made the job late. */
  if (self->orders_by_slack && job->started)
    objective_ms = MAX (objective_ms, job->objective_ms - job->admitted_ms);
  job->objective_ms = job->admitted_ms + objective_ms;
  job->no_value_ms = job->admitted_ms + 3 * objective_ms;
}

FbPoolJob *
fb_pool_job_new (const FbPool *self, const char *id, fb_work_admit *record, uint64_t now_ms,
                 uint64_t wall_ms)
{
  FbPoolJob *job = g_new0 (FbPoolJob, 1);
  job->id = g_strdup (id);
  job->record = *record;
  *record = (fb_work_admit){ 0 };
  uint64_t accepted_ms = job->record.accepted_ms;
  uint64_t age_ms = wall_ms > accepted_ms ? wall_ms - accepted_ms : 0;
  job->admitted_ms = now_ms > age_ms ? now_ms - age_ms : 0;
  job->occurrences = g_ptr_array_new ();
  job->expected_ms = g_new0 (uint32_t, job->record.spec.steps.steps_len);
  fb_pool_job_update_objective (self, job);
  return job;
}

static void
step_clear (FbPoolStep *step)
{
  for (uint32_t i = 0; i < step->spec->count; i++)
    {
      g_free (step->tasks[i].checkpoint);
      fb_pool_speed_unref (step->tasks[i].worker_speed);
      g_clear_pointer (&step->tasks[i].failed, g_array_unref);
      g_clear_pointer (&step->tasks[i].crashes, g_array_unref);
      g_clear_pointer (&step->tasks[i].unresolved, g_ptr_array_unref);
    }
  g_free (step->tasks);
  g_free (step->long_running);
  g_ptr_array_unref (step->reserved_on);
  fb_pool_worker_advice_clear (step);
  g_clear_pointer (&step->advice_requests, g_ptr_array_unref);
}

static void
occurrence_free (FbPoolOccurrence *occurrence, guint step_n)
{
  for (guint i = 0; i < step_n; i++)
    step_clear (&occurrence->steps[i]);
  g_free (occurrence->steps);
  g_free (occurrence);
}

void
fb_pool_job_free (gpointer data)
{
  FbPoolJob *job = data;
  for (guint i = 0; i < job->occurrences->len; i++)
    occurrence_free (job->occurrences->pdata[i], job->record.spec.steps.steps_len);
  g_ptr_array_unref (job->occurrences);
  xdr_free ((xdrproc_t) xdr_fb_work_admit, (char *) &job->record);
  g_free (job->expected_ms);
  g_free (job->id);
  g_free (job);
}

gboolean
fb_pool_job_ended (const FbPoolJob *job)
{
  return job->state >= FB_WORK_COMPLETED;
}

gboolean
fb_pool_step_done (const FbPoolStep *step)
{
  return step->done_n == step->spec->count;
}

gboolean
fb_pool_task_is_pending (const FbPoolTask *task)
{
  return !task->done && task->run == NULL && task->known_runs_n == 0 && !task->withheld;
}

void
fb_pool_task_requeue (FbPool *self, FbPoolStep *step, uint32_t index)
{
  step->pending_from = MIN (step->pending_from, index);
  fb_pool_queue_add (self, step);
  self->round_due = TRUE;
}

gboolean
fb_pool_step_is_pending (const FbPoolStep *step)
{
  if (!step->released || fb_pool_job_ended (step->job) || fb_pool_step_done (step))
    return FALSE;
  for (uint32_t i = step->pending_from; i < step->spec->count; i++)
    {
      if (fb_pool_task_is_pending (&step->tasks[i]))
        return TRUE;
    }
  return FALSE;
}

guint
fb_pool_step_pending_n (const FbPoolStep *step)
{
  guint n = 0;
  for (uint32_t i = step->pending_from; i < step->spec->count; i++)
    n += fb_pool_task_is_pending (&step->tasks[i]);
  return n;
}

uint64_t
fb_pool_step_scaled_run_ms (const FbPoolStep *step, uint32_t percent, uint32_t factor)
{
  if (step->timed_runs_n >= MIN_ENDED_RUNS)
    return step->timed_total_ms / step->timed_runs_n * percent / 100;
  return (uint64_t) step->spec->estimate_ms * factor;
}

/* Returns: the index of the first occurrence that is not before NUMBER. */
static guint
occurrence_index (const FbPoolJob *job, uint32_t number)
{
  guint low = 0;
  guint high = job->occurrences->len;
  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      const FbPoolOccurrence *occurrence = job->occurrences->pdata[middle];
      if (occurrence->number < number)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static FbPoolOccurrence *
occurrence_new (FbPoolJob *job, uint32_t number, guint index)
{
  guint step_n = job->record.spec.steps.steps_len;
  FbPoolOccurrence *occurrence = g_new0 (FbPoolOccurrence, 1);
  occurrence->number = number;
  occurrence->steps = g_new0 (FbPoolStep, step_n);
  for (guint i = 0; i < step_n; i++)
    {
      FbPoolStep *step = &occurrence->steps[i];
      step->job = job;
      step->occurrence = number;
      step->index = i;
      step->spec = &job->record.spec.steps.steps_val[i];
      step->tasks = g_new0 (FbPoolTask, step->spec->count);
      step->reserved_on = g_ptr_array_new_with_free_func (g_free);
    }
  g_ptr_array_insert (job->occurrences, (gint) index, occurrence);
  return occurrence;
}

FbPoolOccurrence *
fb_pool_job_occurrence (FbPoolJob *job, uint32_t number)
{
  guint index = occurrence_index (job, number);
  if (index < job->occurrences->len)
    {
      FbPoolOccurrence *occurrence = job->occurrences->pdata[index];
      if (occurrence->number == number)
        return occurrence;
    }
  if (number >= MAX (job->record.spec.occurrences, 1))
    return NULL;
  return occurrence_new (job, number, index);
}

FbPoolStep *
fb_pool_job_step (FbPoolJob *job, uint32_t number, uint32_t step)
{
  FbPoolOccurrence *occurrence = fb_pool_job_occurrence (job, number);
  if (occurrence == NULL || step >= job->record.spec.steps.steps_len)
    return NULL;
  return &occurrence->steps[step];
}

static gboolean
is_due (const FbPoolJob *job, uint32_t number, uint64_t wall_ms)
{
  const fb_work_spec *spec = &job->record.spec;
  if (spec->occurrences == 0)
    return number == 0;
  return number < spec->occurrences
         && wall_ms >= spec->first_due_ms + (uint64_t) number * spec->interval_ms;
}

static void
release_steps (FbPool *self, FbPoolOccurrence *occurrence, guint step_n)
{
  occurrence->finished = TRUE;
  for (guint i = 0; i < step_n; i++)
    {
      FbPoolStep *step = &occurrence->steps[i];
      gboolean ready = TRUE;
      for (u_int j = 0; j < step->spec->after.after_len; j++)
        ready = ready && fb_pool_step_done (&occurrence->steps[step->spec->after.after_val[j]]);
      if (ready && !step->released)
        fb_pool_queue_add (self, step);
      step->released = ready;
      occurrence->finished = occurrence->finished && fb_pool_step_done (step);
    }
}

gboolean
fb_pool_job_release (FbPool *self, FbPoolJob *job, uint64_t wall_ms)
{
  if (fb_pool_job_ended (job))
    return FALSE;
  while (is_due (job, job->next_occurrence, wall_ms))
    fb_pool_job_occurrence (job, job->next_occurrence++);
  gboolean finished = job->next_occurrence >= MAX (job->record.spec.occurrences, 1);
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
      if (!occurrence->finished && occurrence->number < job->next_occurrence)
        release_steps (self, occurrence, job->record.spec.steps.steps_len);
      finished = finished && occurrence->finished;
    }
  return finished;
}

/* ---- records ------------------------------------------------------------- */

static gboolean
has_progress (const FbPoolTask *task)
{
  return task->done || task->failed != NULL || task->checkpoint != NULL;
}

static void
add_task_progress (GArray *task_progress, const FbPoolStep *step)
{
  for (uint32_t i = 0; i < step->spec->count; i++)
    {
      const FbPoolTask *task = &step->tasks[i];
      if (!has_progress (task))
        continue;
      gboolean has_checkpoint = task->checkpoint != NULL && !task->done;
      fb_work_task_progress row = { .occurrence = step->occurrence,
                                    .step = step->index,
                                    .index = i,
                                    .attempt = task->attempt,
                                    .done = task->done,
                                    .checkpoint = has_checkpoint ? task->checkpoint : (char *) "" };
      if (task->failed != NULL)
        {
          row.failed.failed_len = task->failed->len;
          row.failed.failed_val = (u_int *) (gpointer) task->failed->data;
        }
      g_array_append_val (task_progress, row);
    }
}

/* The admission of an ended job is deleted, so its progress has to name the account that may still
 * ask for the result.  It stands in place of a checkpoint, in a row of an occurrence that no job
 * has, which daemons that do not know accounts skip. */
#define ACCOUNT_OCCURRENCE G_MAXUINT32

static void
add_account (GArray *task_progress, const FbPoolJob *job)
{
  if (job->record.account == NULL || *job->record.account == '\0')
    return;
  const fb_work_task_progress row
      = { .occurrence = ACCOUNT_OCCURRENCE, .checkpoint = job->record.account };
  g_array_append_val (task_progress, row);
}

static void
restore_account (FbPoolJob *job, const char *account)
{
  free (job->record.account);
  job->record.account = strdup (account);
}

/* PROGRESS borrows strings from the job; the caller frees its array of task progress. */
void
fb_pool_job_progress (const FbPoolJob *job, fb_work_progress *progress)
{
  GArray *task_progress = g_array_new (FALSE, TRUE, sizeof (fb_work_task_progress));
  gboolean ended = fb_pool_job_ended (job);
  if (ended)
    add_account (task_progress, job);
  for (guint i = 0; !ended && i < job->occurrences->len; i++)
    {
      const FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
      for (guint j = 0; j < job->record.spec.steps.steps_len; j++)
        add_task_progress (task_progress, &occurrence->steps[j]);
    }
  progress->state = job->state;
  progress->ended_ms = job->ended_wall_ms;
  progress->task_progress.task_progress_len = task_progress->len;
  progress->task_progress.task_progress_val
      = (fb_work_task_progress *) g_array_free (task_progress, FALSE);
}

static void
restore_done (FbPoolStep *step, uint32_t index)
{
  FbPoolTask *task = &step->tasks[index];
  step->done_n += !task->done;
  task->done = TRUE;
}

/* Restores N tasks that are done, in the order of the job from that of ROW on. */
static void
restore_series (FbPoolJob *job, const fb_work_task_progress *row, uint32_t n)
{
  uint32_t occurrence = row->occurrence;
  uint32_t step_index = fb_pool_compact_step (row);
  uint32_t index = row->index;
  FbPoolStep *step = fb_pool_job_step (job, occurrence, step_index);
  while (n > 0 && step != NULL)
    {
      for (; n > 0 && index < step->spec->count; n--)
        restore_done (step, index++);
      index = 0;
      if (++step_index == job->record.spec.steps.steps_len)
        {
          step_index = 0;
          occurrence++;
        }
      if (n > 0)
        step = fb_pool_job_step (job, occurrence, step_index);
    }
}

static void
restore_task_progress (FbPoolJob *job, const fb_work_task_progress *row)
{
  if (row->occurrence == ACCOUNT_OCCURRENCE)
    {
      restore_account (job, row->checkpoint);
      return;
    }
  uint32_t series_n = fb_pool_compact_series_n (row);
  if (series_n > 0)
    {
      restore_series (job, row, series_n);
      return;
    }
  FbPoolStep *step = fb_pool_job_step (job, row->occurrence, row->step);
  if (step == NULL || row->index >= step->spec->count)
    return;
  FbPoolTask *task = &step->tasks[row->index];
  task->attempt = MAX (task->attempt, row->attempt);
  for (u_int i = 0; i < row->failed.failed_len; i++)
    (void) fb_pool_task_count_failed (task, row->failed.failed_val[i]);
  fb_pool_task_set_checkpoint (step, row->index, row->checkpoint);
  if (row->done)
    restore_done (step, row->index);
  step->gang_attempt = MAX (step->gang_attempt, task->attempt);
}

void
fb_pool_job_restore (FbPoolJob *job, const fb_work_progress *progress)
{
  job->state = progress->state;
  job->stored_state = progress->state;
  job->flushing_state = progress->state;
  job->started = progress->state != FB_WORK_QUEUED;
  job->ended_wall_ms = progress->ended_ms;
  for (u_int i = 0; i < progress->task_progress.task_progress_len; i++)
    restore_task_progress (job, &progress->task_progress.task_progress_val[i]);
}

gboolean
fb_pool_task_count_failed (FbPoolTask *task, uint32_t attempt)
{
  if (task->failed == NULL)
    task->failed = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  for (guint i = 0; i < task->failed->len; i++)
    {
      if (g_array_index (task->failed, uint32_t, i) == attempt)
        return FALSE;
    }
  if (task->failed->len < FB_WORK_MAX_FAILED)
    g_array_append_val (task->failed, attempt);
  return TRUE;
}

guint
fb_pool_task_failed_n (const FbPoolTask *task)
{
  return task->failed != NULL ? task->failed->len : 0;
}

void
fb_pool_task_set_checkpoint (FbPoolStep *step, uint32_t index, const char *checkpoint)
{
  FbPoolTask *task = &step->tasks[index];
  if (checkpoint == NULL || *checkpoint == '\0' || g_strcmp0 (task->checkpoint, checkpoint) == 0)
    return;
  g_free (task->checkpoint);
  task->checkpoint = g_strdup (checkpoint);
}

/* ---- names ----------------------------------------------------------------- */

char *
fb_pool_step_name (const FbPoolStep *step)
{
  return g_strdup_printf ("%s.%u.%u", step->job->id, step->occurrence, step->index);
}

char *
fb_pool_task_name (const FbPoolStep *step, uint32_t index)
{
  return g_strdup_printf ("%s.%u.%u.%u", step->job->id, step->occurrence, step->index, index);
}

/* Splits NAME into the id of a job and up to N of the numbers after it.  Returns: how many numbers
 * there were; 0 when NAME is malformed. */
static guint
split_name (const char *name, char *job, uint32_t *numbers, guint n)
{
  const char *dot = strchr (name, '.');
  if (dot == NULL || (gsize) (dot - name) != FB_WORK_JOB_ID_CHARS)
    return 0;
  memcpy (job, name, FB_WORK_JOB_ID_CHARS);
  job[FB_WORK_JOB_ID_CHARS] = '\0';
  guint found = 0;
  while (dot != NULL && found < n)
    {
      char *end = NULL;
      unsigned long value = strtoul (dot + 1, &end, 10);
      if (end == dot + 1 || value > G_MAXUINT32)
        return 0;
      numbers[found++] = (uint32_t) value;
      dot = *end == '.' ? end : NULL;
    }
  return found;
}

FbPoolJob *
fb_pool_find_job (const FbPool *self, const char *name)
{
  char id[FB_WORK_JOB_ID_CHARS + 1];
  uint32_t number;
  return split_name (name, id, &number, 1) == 1 ? g_hash_table_lookup (self->jobs, id) : NULL;
}

gboolean
fb_pool_is_of_held_job (const FbPool *self, const char *name)
{
  char id[FB_WORK_JOB_ID_CHARS + 1];
  uint32_t number;
  return self->callbacks->is_job_held != NULL && split_name (name, id, &number, 1) == 1
         && self->callbacks->is_job_held (self->user, id);
}

FbPoolStep *
fb_pool_find_step (FbPool *self, const char *name)
{
  char id[FB_WORK_JOB_ID_CHARS + 1];
  uint32_t numbers[2];
  if (split_name (name, id, numbers, 2) != 2)
    return NULL;
  FbPoolJob *job = g_hash_table_lookup (self->jobs, id);
  return job != NULL ? fb_pool_job_step (job, numbers[0], numbers[1]) : NULL;
}

FbPoolStep *
fb_pool_find_task (FbPool *self, const char *name, uint32_t *index)
{
  char id[FB_WORK_JOB_ID_CHARS + 1];
  uint32_t numbers[3];
  if (split_name (name, id, numbers, 3) != 3)
    return NULL;
  FbPoolJob *job = g_hash_table_lookup (self->jobs, id);
  FbPoolStep *step = job != NULL ? fb_pool_job_step (job, numbers[0], numbers[1]) : NULL;
  *index = numbers[2];
  return step != NULL && numbers[2] < step->spec->count ? step : NULL;
}
