/* The part of a job's record about suspected tasks: their crashes and unresolved starts. */
#include "internal/pool-crash.h"

static void
unresolved_start_free (gpointer data)
{
  FbPoolUnresolvedStart *start = data;
  g_free (start->worker);
  g_free (start->address);
  g_free (start);
}

/* Returns: (nullable): borrowed. */
static FbPoolUnresolvedStart *
find_unresolved_start (const FbPoolTask *task, const char *worker)
{
  for (guint i = 0; task->unresolved != NULL && i < task->unresolved->len; i++)
    {
      FbPoolUnresolvedStart *start = task->unresolved->pdata[i];
      if (g_str_equal (start->worker, worker))
        return start;
    }
  return NULL;
}

gboolean
fb_pool_unresolved_start_has (const FbPoolTask *task, const char *worker)
{
  return find_unresolved_start (task, worker) != NULL;
}

gboolean
fb_pool_unresolved_start_set_seen (FbPoolTask *task, const char *worker)
{
  FbPoolUnresolvedStart *start = find_unresolved_start (task, worker);
  if (start == NULL || start->seen)
    return FALSE;
  start->seen = TRUE;
  return TRUE;
}

void
fb_pool_unresolved_start_drop_id_hash (FbPoolTask *task, uint64_t id_hash)
{
  for (guint i = task->unresolved != NULL ? task->unresolved->len : 0; i > 0; i--)
    {
      const FbPoolUnresolvedStart *start = task->unresolved->pdata[i - 1];
      if (fb_pool_worker_id_hash (start->worker) == id_hash)
        g_ptr_array_remove_index (task->unresolved, i - 1);
    }
  if (task->unresolved != NULL && task->unresolved->len == 0)
    g_clear_pointer (&task->unresolved, g_ptr_array_unref);
}

void
fb_pool_unresolved_start_drop (FbPoolTask *task, const char *worker)
{
  fb_pool_unresolved_start_drop_id_hash (task, fb_pool_worker_id_hash (worker));
}

void
fb_pool_unresolved_start_add (FbPoolTask *task, const char *worker, const char *address,
                              gboolean seen)
{
  fb_pool_unresolved_start_drop (task, worker);
  if (task->unresolved == NULL)
    task->unresolved = g_ptr_array_new_with_free_func (unresolved_start_free);
  if (task->unresolved->len == FB_WORK_MAX_CRASHES)
    g_ptr_array_remove_index (task->unresolved, 0);
  FbPoolUnresolvedStart *start = g_new0 (FbPoolUnresolvedStart, 1);
  start->worker = g_strdup (worker);
  start->address = g_strdup (address != NULL ? address : "");
  start->seen = seen;
  g_ptr_array_add (task->unresolved, start);
}

static void
add_unresolved_start (GArray *rows, const FbPoolUnresolvedStart *start)
{
  const fb_work_unresolved_start row = { .worker = start->worker, .address = start->address };
  if (rows->len < FB_WORK_MAX_CRASHES)
    g_array_append_val (rows, row);
}

/* Returns: (transfer full): array of fb_work_unresolved_start, whose strings are borrowed from
 * TASK. The record has no flag for FbPoolUnresolvedStart.seen: an entry that was seen is listed
 * twice. */
static GArray *
unresolved_starts_of (const FbPoolTask *task)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (fb_work_unresolved_start));
  guint n = task->unresolved != NULL ? task->unresolved->len : 0;
  for (guint i = 0; i < n; i++)
    add_unresolved_start (rows, task->unresolved->pdata[i]);
  for (guint i = 0; i < n; i++)
    {
      const FbPoolUnresolvedStart *start = task->unresolved->pdata[i];
      if (start->seen)
        add_unresolved_start (rows, start);
    }
  return rows;
}

/* Returns: (transfer full): id hashes of the workers of TASK's crashes with this value of ISOLATED.
 */
static GArray *
crashed_workers_of (const FbPoolTask *task, gboolean isolated)
{
  GArray *workers = g_array_new (FALSE, FALSE, sizeof (u_quad_t));
  for (guint i = 0; task->crashes != NULL && i < task->crashes->len; i++)
    {
      const FbPoolCrash *crash = &g_array_index (task->crashes, FbPoolCrash, i);
      u_quad_t worker = crash->worker;
      if (crash->isolated == isolated)
        g_array_append_val (workers, worker);
    }
  return workers;
}

/* Marks confirmed crashes: the record has no field for the evidence, so their workers are listed
 * twice, up to the maximum length. */
static void
append_confirmed_again (const FbPoolTask *task, gboolean isolated, GArray *workers)
{
  for (guint i = 0; task->crashes != NULL && i < task->crashes->len; i++)
    {
      const FbPoolCrash *crash = &g_array_index (task->crashes, FbPoolCrash, i);
      u_quad_t worker = crash->worker;
      if (crash->isolated == isolated && crash->evidence == FB_CRASH_CONFIRMED
          && workers->len < FB_WORK_MAX_CRASHES)
        g_array_append_val (workers, worker);
    }
}

static void
add_suspect (GArray *suspects, const FbPoolStep *step, uint32_t index)
{
  const FbPoolTask *task = &step->tasks[index];
  GArray *unresolved = unresolved_starts_of (task);
  GArray *isolated = crashed_workers_of (task, TRUE);
  GArray *shared = crashed_workers_of (task, FALSE);
  append_confirmed_again (task, TRUE, isolated);
  append_confirmed_again (task, FALSE, shared);
  fb_work_suspect suspect = { .occurrence = step->occurrence, .step = step->index, .index = index };
  suspect.unresolved.unresolved_len = unresolved->len;
  suspect.unresolved.unresolved_val
      = (fb_work_unresolved_start *) (gpointer) g_array_free (unresolved, FALSE);
  suspect.isolated.isolated_len = isolated->len;
  suspect.isolated.isolated_val = (u_quad_t *) (gpointer) g_array_free (isolated, FALSE);
  suspect.shared.shared_len = shared->len;
  suspect.shared.shared_val = (u_quad_t *) (gpointer) g_array_free (shared, FALSE);
  g_array_append_val (suspects, suspect);
}

static void
add_suspects (GArray *suspects, const FbPoolStep *step)
{
  for (uint32_t i = 0; i < step->spec->count && suspects->len < FB_WORK_MAX_TASK_ROWS; i++)
    {
      const FbPoolTask *task = &step->tasks[i];
      if (!task->done && (task->crashes != NULL || task->unresolved != NULL))
        add_suspect (suspects, step, i);
    }
}

void
fb_pool_crash_record (const FbPoolJob *job, fb_work_suspects *record)
{
  GArray *suspects = g_array_new (FALSE, TRUE, sizeof (fb_work_suspect));
  for (guint i = 0; !fb_pool_job_ended (job) && i < job->occurrences->len; i++)
    {
      const FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
      for (guint j = 0; j < job->record.spec.steps.steps_len; j++)
        add_suspects (suspects, &occurrence->steps[j]);
    }
  record->tasks.tasks_len = suspects->len;
  record->tasks.tasks_val = (fb_work_suspect *) (gpointer) g_array_free (suspects, FALSE);
}

void
fb_pool_crash_record_clear (fb_work_suspects *record)
{
  for (u_int i = 0; i < record->tasks.tasks_len; i++)
    {
      g_free (record->tasks.tasks_val[i].isolated.isolated_val);
      g_free (record->tasks.tasks_val[i].shared.shared_val);
      g_free (record->tasks.tasks_val[i].unresolved.unresolved_val);
    }
  g_clear_pointer (&record->tasks.tasks_val, g_free);
  record->tasks.tasks_len = 0;
}

static gboolean
contains (const u_quad_t *workers, u_int from, u_int until, u_quad_t worker)
{
  for (u_int i = from; i < until; i++)
    {
      if (workers[i] == worker)
        return TRUE;
    }
  return FALSE;
}

/* Counts recorded crashes of task INDEX. Each gets one possible cause besides this task, because
 * the record does not name other tasks on the worker whose jobs have ended, and they stay possible
 * causes. */
static void
restore_crashes (FbPool *self, FbPoolStep *step, uint32_t index, gboolean isolated,
                 const u_quad_t *workers, u_int n, uint64_t now_ms)
{
  for (u_int i = 0; i < n; i++)
    {
      if (contains (workers, 0, i, workers[i])
          || fb_pool_task_has_crash (&step->tasks[index], workers[i]))
        continue;
      gboolean confirmed = contains (workers, i + 1, n, workers[i]);
      const FbPoolCrash crash
          = { workers[i], isolated, confirmed ? FB_CRASH_CONFIRMED : FB_CRASH_REPORTED };
      fb_pool_crash_cause_add (self, crash.worker);
      fb_pool_crash_count (self, step, index, crash, now_ms);
    }
}

static gboolean
has_unresolved_start (const fb_work_suspect *suspect, u_int from, u_int until, const char *worker)
{
  for (u_int i = from; i < until; i++)
    {
      if (g_str_equal (suspect->unresolved.unresolved_val[i].worker, worker))
        return TRUE;
    }
  return FALSE;
}

gboolean
fb_pool_start_is_resolved (const FbPool *self, const FbPoolTask *task, const char *worker)
{
  const FbPoolWorker *known = g_hash_table_lookup (self->workers, worker);
  return (known != NULL && known->answered) || fb_pool_unresolved_start_has (task, worker)
         || fb_pool_task_has_crash (task, fb_pool_worker_id_hash (worker));
}

static void
restore_unresolved_starts (FbPool *self, FbPoolStep *step, const fb_work_suspect *suspect,
                           uint64_t now_ms)
{
  for (u_int i = 0; i < suspect->unresolved.unresolved_len; i++)
    {
      const fb_work_unresolved_start *start = &suspect->unresolved.unresolved_val[i];
      if (has_unresolved_start (suspect, 0, i, start->worker)
          || fb_pool_start_is_resolved (self, &step->tasks[suspect->index], start->worker))
        continue;
      gboolean seen = has_unresolved_start (suspect, i + 1, suspect->unresolved.unresolved_len,
                                            start->worker);
      const FbPoolCrash crash = { fb_pool_worker_id_hash (start->worker), FALSE,
                                  seen ? FB_CRASH_PROBABLE : FB_CRASH_REPORTED };
      fb_pool_unresolved_start_add (&step->tasks[suspect->index], start->worker, start->address,
                                    seen);
      fb_pool_unresolved_loss_add (self, start->worker, start->address, step, suspect->index, crash,
                                   now_ms);
    }
}

static void
restore_suspect (FbPool *self, FbPoolStep *step, const fb_work_suspect *suspect, uint64_t now_ms)
{
  if (step->tasks[suspect->index].done)
    return;
  restore_crashes (self, step, suspect->index, TRUE, suspect->isolated.isolated_val,
                   suspect->isolated.isolated_len, now_ms);
  restore_crashes (self, step, suspect->index, FALSE, suspect->shared.shared_val,
                   suspect->shared.shared_len, now_ms);
  restore_unresolved_starts (self, step, suspect, now_ms);
}

/* If the owner is replaced before it detects a crash, and the run was never reported to the next
 * owner, the task could be started more often than the limit allows. So each start of a suspected
 * task is recorded, and what happens to its worker counts for the task under the next owner too. */
void
fb_pool_crash_restore (FbPool *self, FbPoolJob *job, const fb_work_suspects *record,
                       uint64_t now_ms)
{
  for (u_int i = 0; i < record->tasks.tasks_len; i++)
    {
      const fb_work_suspect *suspect = &record->tasks.tasks_val[i];
      FbPoolStep *step = fb_pool_job_step (job, suspect->occurrence, suspect->step);
      if (step != NULL && suspect->index < step->spec->count)
        restore_suspect (self, step, suspect, now_ms);
    }
}
