/* A job and its tasks inside a range. */
#include "internal/range-private.h"

#include <string.h>

static gboolean
counts_for_spread (FbJobTaskState state)
{
  return state >= FB_JOB_TASK_INTENT && state <= FB_JOB_TASK_RUNNING;
}

void
fb_job_count_rack (FbJob *job, uint32_t rack, int change)
{
  gpointer key = GUINT_TO_POINTER (rack + 1);
  int count = GPOINTER_TO_INT (g_hash_table_lookup (job->per_rack, key)) + change;
  if (count > 0)
    g_hash_table_insert (job->per_rack, key, GINT_TO_POINTER (count));
  else
    g_hash_table_remove (job->per_rack, key);
}

void
fb_job_set_state (FbJob *job, FbJobTask *task, FbJobTaskState state)
{
  if (counts_for_spread (task->state))
    fb_job_count_rack (job, task->rack, -1);
  job->state_n[task->state]--;
  task->state = state;
  job->state_n[state]++;
  if (counts_for_spread (state))
    fb_job_count_rack (job, task->rack, 1);
}

static void
init_tasks (FbJob *job, guint from, guint to)
{
  for (guint i = from; i < to; i++)
    {
      FbJobTask *task = &job->tasks[i];
      memset (task, 0, sizeof *task);
      task->job = job;
      task->index = i;
      task->rack = FB_NO_RACK;
      task->avoid_rack = FB_NO_RACK;
      task->outcome = FB_OUTCOME_PENDING;
      job->state_n[FB_JOB_TASK_WAITING]++;
    }
}

FbJob *
fb_job_new (uint64_t now_ms, const fb_job *spec)
{
  FbJob *job = g_new0 (FbJob, 1);
  fb_job_copy (&job->spec, spec);
  job->arrived_ms = now_ms;
  job->due_ms = fb_deadline_after (now_ms, spec->remaining_ms);
  job->written_ms = now_ms;
  job->outcome = FB_OUTCOME_PENDING;
  job->task_n = spec->count;
  job->tasks = g_new0 (FbJobTask, MAX (spec->count, 1));
  job->per_rack = g_hash_table_new (NULL, NULL);
  job->frontends = g_ptr_array_new_with_free_func (g_free);
  job->intents = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  init_tasks (job, 0, job->task_n);
  return job;
}

FbJob *
fb_job_new_recovered (uint64_t now_ms, const fb_rec_admit *admit, uint64_t age_ms,
                      const FbRecordPosition *position)
{
  FbJob *job = fb_job_new (now_ms, &admit->job);
  job->arrived_ms = now_ms - MIN (now_ms, age_ms);
  job->due_log_ms = admit->due_log_ms;
  if (admit->first_attempt_after_gap)
    fb_job_set_history_gap (job, admit->first_attempt_after_gap);
  /* If the log's clock was not known at admission, due_log_ms is 0. The job then counts as past
   * due, so that nothing starts too late. */
  if (admit->job.remaining_ms != FB_NO_DEADLINE_MS)
    job->due_ms = now_ms + fb_deadline_remaining (position->log_now_ms, admit->due_log_ms);
  return job;
}

void
fb_job_free (gpointer data)
{
  FbJob *job = data;
  for (guint i = 0; i < job->task_n; i++)
    {
      if (job->tasks[i].timer != NULL)
        g_sequence_remove (job->tasks[i].timer);
    }
  g_free (job->tasks);
  fb_job_clear (&job->spec);
  g_clear_pointer (&job->body, g_bytes_unref);
  g_clear_pointer (&job->ending_body, g_bytes_unref);
  g_hash_table_destroy (job->per_rack);
  g_ptr_array_free (job->frontends, TRUE);
  g_array_free (job->intents, TRUE);
  g_free (job);
}

/* Counts every task as started, so that no outcome of this job is "not run". */
void
fb_job_set_history_gap (FbJob *job, uint32_t first_attempt)
{
  job->first_attempt_after_gap = first_attempt;
  for (guint i = 0; i < job->task_n; i++)
    {
      job->tasks[i].started_count = MAX (job->tasks[i].started_count, 1);
      job->tasks[i].attempt = MAX (job->tasks[i].attempt, first_attempt);
    }
}

/* Sets the number of tasks of a service. If the service shrinks, the tasks beyond its count are
 * ended but their entries are kept, since late reports may still refer to them. */
void
fb_job_resize (FbRange *self, uint64_t now_ms, FbJob *job, guint count)
{
  if (count > job->task_n)
    {
      for (guint i = 0; i < job->task_n; i++)
        fb_range_clear_timer (self, &job->tasks[i]);
      job->tasks = g_renew (FbJobTask, job->tasks, count);
      init_tasks (job, job->task_n, count);
      job->task_n = count;
      if (job->first_attempt_after_gap > 0)
        fb_job_set_history_gap (job, job->first_attempt_after_gap);
    }
  job->spec.count = count;
  for (guint i = 0; i < job->task_n; i++)
    {
      FbJobTask *task = &job->tasks[i];
      if (i < count && task->state == FB_JOB_TASK_DONE)
        {
          job->outcome_n[task->outcome]--;
          task->outcome = FB_OUTCOME_PENDING;
          fb_job_set_state (job, task, FB_JOB_TASK_WAITING);
        }
      if (task->state != FB_JOB_TASK_DONE)
        fb_range_set_timer (self, task, now_ms);
    }
}

gboolean
fb_job_is_service (const FbJob *job)
{
  return job->spec.kind == FB_KIND_SERVICE;
}

gboolean
fb_job_is_gang (const FbJob *job)
{
  return job->spec.kind == FB_KIND_GANG;
}

gboolean
fb_job_is_final (const FbJob *job)
{
  return job->outcome != FB_OUTCOME_PENDING;
}

fb_run
fb_job_run (const FbJob *job, const FbJobTask *task)
{
  return (fb_run){ job->spec.id, task->index, task->attempt };
}
