#include "internal/range-query.h"

#include "internal/range-private.h"

uint32_t
fb_range_id (const FbRange *self)
{
  return self->id;
}

guint
fb_range_open_count (const FbRange *self)
{
  return g_hash_table_size (self->jobs) - self->ended.length;
}

gboolean
fb_range_foreach_task (const FbRange *self, uint64_t id, FbRangeTaskFunc func, gpointer user)
{
  static const char *const names[]
      = { "waiting", "being recorded", "at rack", "reserved", "running", "ending", "done" };
  const FbJob *job = fb_range_find (self, id);
  if (job == NULL)
    return FALSE;
  for (guint i = 0; i < job->task_n; i++)
    {
      const FbJobTask *task = &job->tasks[i];
      FbRangeTaskView view
          = { task->index, task->attempt, task->rack, task->outcome, names[task->state] };
      func (user, &view);
    }
  return TRUE;
}
