/* Queue of the steps with pending tasks, in the order in which they are placed.
 *
 * Restarting long-running tasks come first, and steps whose completion has no value any more last;
 * among the others those of jobs within the rates of their accounts come first, then the priority
 * decides, then whether the account uses more than its share, then the objective of the job. Where
 * client accounts are configured, pool-order.c describes the order within a priority. So an account
 * that sends many times its usual delays its own work, and is served from what the others leave.
 * The order is kept between rounds: new steps are sorted among themselves and merged, so that a
 * round takes one pass over the pending steps. Sorting all of them in each round took a quarter of
 * an owner's processor time once hundreds of steps were pending, so the backlog grew. */
#include "internal/pool-account.h"
#include "internal/pool-order.h"

#include <string.h>

gint
fb_pool_queue_compare (const FbPoolStep *x, const FbPoolStep *y)
{
  if (x->urgency != y->urgency)
    return x->urgency < y->urgency ? -1 : 1;
  const FbPoolJob *m = x->job;
  const FbPoolJob *n = y->job;
  uint32_t mp = m->record.policy.priority;
  uint32_t np = n->record.policy.priority;
  if (mp != np)
    return mp < np ? -1 : 1;
  if (x->is_late != y->is_late)
    return x->is_late ? 1 : -1;
  if (x->is_over_share != y->is_over_share)
    return x->is_over_share ? 1 : -1;
  uint64_t x_ms = x->position_ms != 0 ? x->position_ms : m->objective_ms;
  uint64_t y_ms = y->position_ms != 0 ? y->position_ms : n->objective_ms;
  if (x_ms != y_ms)
    return x_ms < y_ms ? -1 : 1;
  return strcmp (m->id, n->id);
}

static gint
compare_step_pointers (gconstpointer a, gconstpointer b)
{
  return fb_pool_queue_compare (*(FbPoolStep *const *) a, *(FbPoolStep *const *) b);
}

/* TRUE when a pending task of STEP has run before, or may have run under an earlier owner. */
static gboolean
is_restarting (const FbPoolStep *step)
{
  gboolean may_have_run = step->job->restored && !step->job->never_started;
  for (uint32_t i = 0; i < step->spec->count; i++)
    {
      const FbPoolTask *task = &step->tasks[i];
      if (fb_pool_task_is_pending (task) && (may_have_run || task->attempt > 0))
        return TRUE;
    }
  return FALSE;
}

/* A new owner has to request advice again for each step. When a long-running task whose lease had
 * expired meanwhile queued behind hundreds of urgent ones, it was down for 11 s while workers were
 * idle. So restarting tasks come first. Long-running tasks are few and have enough workers
 * otherwise, so the other steps are delayed by only a few requests. */
FbPoolUrgency
fb_pool_queue_urgency (const FbPoolStep *step, uint64_t now_ms)
{
  const FbPoolJob *job = step->job;
  if (step->spec->long_running)
    return is_restarting (step) ? FB_URGENCY_RESTARTING : FB_URGENCY_NORMAL;
  if (job->record.spec.occurrences == 0 && now_ms > job->no_value_ms)
    return FB_URGENCY_NO_VALUE;
  return job->beyond_rate ? FB_URGENCY_BEYOND_RATE : FB_URGENCY_NORMAL;
}

void
fb_pool_queue_add (FbPool *self, FbPoolStep *step)
{
  if (step->queued)
    return;
  step->queued = TRUE;
  g_ptr_array_add (self->unmerged, step);
}

/* Keys that are computed again in one update (0.7 ms of CPU time); with more steps than that, the
 * next update goes on with the others. */
#define UPDATED_N 5000

/* TRUE when STEP has to be sorted in again.  UPDATE: compute its whole key, not only its urgency.
 */
static gboolean
has_changed (FbPool *self, const FbPoolStep *step, gboolean update, uint64_t now_ms)
{
  if (!update)
    return step->urgency != fb_pool_queue_urgency (step, now_ms);
  const FbPoolOrderKey key = fb_pool_order_key (self, step, now_ms);
  self->visits_n += FB_POOL_ORDER_KEY_VISITS;
  return fb_pool_order_key_differs (step, &key);
}

/* Removes steps without pending tasks from the queue and moves to FbPool.unmerged those whose
 * position has changed. */
static void
remove_changed (FbPool *self, gboolean update, uint64_t now_ms)
{
  guint n = 0;
  guint from = self->order_position < self->queue->len ? self->order_position : 0;
  for (guint i = 0; i < self->queue->len; i++)
    {
      FbPoolStep *step = self->queue->pdata[i];
      /* Held since the last sort, and possibly released again, which has added it a second time. */
      if (!step->is_merged)
        continue;
      if (!fb_pool_step_is_pending (step))
        {
          step->queued = FALSE;
          step->is_merged = FALSE;
          fb_pool_order_forget (self, step);
        }
      else if (has_changed (self, step, update && i >= from && i - from < UPDATED_N, now_ms))
        g_ptr_array_add (self->unmerged, step);
      else
        self->queue->pdata[n++] = step;
    }
  g_ptr_array_set_size (self->queue, (gint) n);
  if (update)
    self->order_position = from + UPDATED_N;
}

/* Sorts FbPool.unmerged and removes steps without pending tasks from it. */
static void
sort_unmerged (FbPool *self, uint64_t now_ms)
{
  guint n = 0;
  for (guint i = 0; i < self->unmerged->len; i++)
    {
      FbPoolStep *step = self->unmerged->pdata[i];
      step->queued = fb_pool_step_is_pending (step);
      step->is_merged = step->queued;
      if (!step->queued)
        continue;
      const FbPoolOrderKey key = fb_pool_order_key (self, step, now_ms);
      fb_pool_order_set_key (self, step, &key, now_ms);
      self->unmerged->pdata[n++] = step;
    }
  g_ptr_array_set_size (self->unmerged, (gint) n);
  g_ptr_array_sort (self->unmerged, compare_step_pointers);
}

static void
merge_unmerged (FbPool *self)
{
  guint kept = self->queue->len;
  guint added = self->unmerged->len;
  g_ptr_array_set_size (self->queue, (gint) (kept + added));
  gpointer *all = self->queue->pdata;
  gpointer *unmerged = self->unmerged->pdata;
  while (added > 0)
    {
      gboolean from_sorted
          = kept > 0 && fb_pool_queue_compare (all[kept - 1], unmerged[added - 1]) > 0;
      all[kept + added - 1] = from_sorted ? all[kept - 1] : unmerged[added - 1];
      if (from_sorted)
        kept--;
      else
        added--;
    }
  g_ptr_array_set_size (self->unmerged, 0);
}

void
fb_pool_queue_sort (FbPool *self, gboolean update, uint64_t now_ms)
{
  remove_changed (self, update, now_ms);
  sort_unmerged (self, now_ms);
  merge_unmerged (self);
}

static void
remove_steps_of (GPtrArray *steps, const FbPoolJob *job)
{
  guint n = 0;
  for (guint i = 0; i < steps->len; i++)
    {
      if (((FbPoolStep *) steps->pdata[i])->job != job)
        steps->pdata[n++] = steps->pdata[i];
    }
  g_ptr_array_set_size (steps, (gint) n);
}

void
fb_pool_queue_remove_job (FbPool *self, const FbPoolJob *job)
{
  remove_steps_of (self->queue, job);
  remove_steps_of (self->unmerged, job);
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
      for (guint j = 0; j < job->record.spec.steps.steps_len; j++)
        fb_pool_order_forget (self, &occurrence->steps[j]);
    }
}
