/* What a job's record says of its tasks under which workers crashed, or may have. */
#include "internal/pool-crash.h"

static void
tried_free (gpointer data)
{
  FbPoolUnresolvedStart *unresolved = data;
  g_free (unresolved->worker);
  g_free (unresolved->address);
  g_free (unresolved);
}

/* Returns: (nullable): borrowed. */
static FbPoolUnresolvedStart *
find_tried (const FbPoolTask *task, const char *worker)
{
  for (guint i = 0; task->unresolved != NULL && i < task->unresolved->len; i++)
    {
      FbPoolUnresolvedStart *unresolved = task->unresolved->pdata[i];
      if (g_str_equal (unresolved->worker, worker))
        return unresolved;
    }
  return NULL;
}

gboolean
fb_pool_unresolved_start_has (const FbPoolTask *task, const char *worker)
{
  return find_tried (task, worker) != NULL;
}

gboolean
fb_pool_unresolved_start_set_seen (FbPoolTask *task, const char *worker)
{
  FbPoolUnresolvedStart *unresolved = find_tried (task, worker);
  if (unresolved == NULL || unresolved->seen)
    return FALSE;
  unresolved->seen = TRUE;
  return TRUE;
}

void
fb_pool_unresolved_start_drop_id_hash (FbPoolTask *task, uint64_t id_hash)
{
  for (guint i = task->unresolved != NULL ? task->unresolved->len : 0; i > 0; i--)
    {
      const FbPoolUnresolvedStart *unresolved = task->unresolved->pdata[i - 1];
      if (fb_pool_worker_id_hash (unresolved->worker) == id_hash)
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
    task->unresolved = g_ptr_array_new_with_free_func (tried_free);
  if (task->unresolved->len == FB_WORK_MAX_CRASHES)
    g_ptr_array_remove_index (task->unresolved, 0);
  FbPoolUnresolvedStart *unresolved = g_new0 (FbPoolUnresolvedStart, 1);
  unresolved->worker = g_strdup (worker);
  unresolved->address = g_strdup (address != NULL ? address : "");
  unresolved->seen = seen;
  g_ptr_array_add (task->unresolved, unresolved);
}

static void
add_tried (GArray *rows, const FbPoolUnresolvedStart *unresolved)
{
  const fb_work_unresolved_start row
      = { .worker = unresolved->worker, .address = unresolved->address };
  if (rows->len < FB_WORK_MAX_CRASHES)
    g_array_append_val (rows, row);
}

/* Returns: (transfer full): of fb_work_unresolved_start, which borrow from TASK. */
static GArray *
tried_of (const FbPoolTask *task)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (fb_work_unresolved_start));
  guint n = task->unresolved != NULL ? task->unresolved->len : 0;
  for (guint i = 0; i < n; i++)
    add_tried (rows, task->unresolved->pdata[i]);
  for (guint i = 0; i < n; i++)
    {
      const FbPoolUnresolvedStart *unresolved = task->unresolved->pdata[i];
      if (unresolved->seen)
        add_tried (rows, unresolved);
    }
  return rows;
}

/* Returns: (transfer full): the workers of TASK's crashes that were APART, or not. */
static GArray *
workers_of (const FbPoolTask *task, gboolean isolated)
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

/* Adds the workers of TASK's crashes that are firm a second time, as far as there is room. */
static void
repeat_firm (const FbPoolTask *task, gboolean isolated, GArray *workers)
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
  GArray *unresolved = tried_of (task);
  GArray *isolated = workers_of (task, TRUE);
  GArray *shared = workers_of (task, FALSE);
  repeat_firm (task, TRUE, isolated);
  repeat_firm (task, FALSE, shared);
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
  for (uint32_t i = 0; i < step->shape->count && suspects->len < FB_WORK_MAX_TASK_ROWS; i++)
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
is_listed (const u_quad_t *workers, u_int from, u_int until, u_quad_t worker)
{
  for (u_int i = from; i < until; i++)
    {
      if (workers[i] == worker)
        return TRUE;
    }
  return FALSE;
}

/* What else was on a worker is not recorded where its job has ended: it stays suspected. */
static void
restore_crashes (FbPool *self, FbPoolStep *step, uint32_t index, gboolean isolated,
                 const u_quad_t *workers, u_int n, uint64_t now_ms)
{
  for (u_int i = 0; i < n; i++)
    {
      if (is_listed (workers, 0, i, workers[i])
          || fb_pool_task_has_crash (&step->tasks[index], workers[i]))
        continue;
      gboolean firm = is_listed (workers, i + 1, n, workers[i]);
      const FbPoolCrash crash
          = { workers[i], isolated, firm ? FB_CRASH_CONFIRMED : FB_CRASH_REPORTED };
      fb_pool_crash_cause_add (self, crash.worker);
      fb_pool_crash_count (self, step, index, crash, now_ms);
    }
}

static gboolean
is_tried (const fb_work_suspect *suspect, u_int from, u_int until, const char *worker)
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
restore_tried (FbPool *self, FbPoolStep *step, const fb_work_suspect *suspect, uint64_t now_ms)
{
  for (u_int i = 0; i < suspect->unresolved.unresolved_len; i++)
    {
      const fb_work_unresolved_start *unresolved = &suspect->unresolved.unresolved_val[i];
      if (is_tried (suspect, 0, i, unresolved->worker)
          || fb_pool_start_is_resolved (self, &step->tasks[suspect->index], unresolved->worker))
        continue;
      gboolean seen
          = is_tried (suspect, i + 1, suspect->unresolved.unresolved_len, unresolved->worker);
      const FbPoolCrash crash = { fb_pool_worker_id_hash (unresolved->worker), FALSE,
                                  seen ? FB_CRASH_PROBABLE : FB_CRASH_REPORTED };
      fb_pool_unresolved_start_add (&step->tasks[suspect->index], unresolved->worker,
                                    unresolved->address, seen);
      fb_pool_unresolved_loss_add (self, unresolved->worker, unresolved->address, step,
                                   suspect->index, crash, now_ms);
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
  restore_tried (self, step, suspect, now_ms);
}

/* Failure: the owner is replaced between a crash and the moment when it knows of it, and the
 * successor never saw the run; it shows as a task that is started more often than the limit allows
 * when owners change.  Guard: where a suspected task was started is recorded, and what becomes of
 * that worker counts for it under the next owner too. */
void
fb_pool_crash_restore (FbPool *self, FbPoolJob *job, const fb_work_suspects *record,
                       uint64_t now_ms)
{
  for (u_int i = 0; i < record->tasks.tasks_len; i++)
    {
      const fb_work_suspect *suspect = &record->tasks.tasks_val[i];
      FbPoolStep *step = fb_pool_job_step (job, suspect->occurrence, suspect->step);
      if (step != NULL && suspect->index < step->shape->count)
        restore_suspect (self, step, suspect, now_ms);
    }
}
