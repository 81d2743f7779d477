/* Preemption.
 *
 * Running work may be stopped in three cases:
 * - urgent work of a partner may stop batch work of the same partner;
 * - work that needs accelerators may stop batch work of the same partner that needs none
 *   and occupies capacity on an accelerator host;
 * - any work of the home partner may stop work of the other partner, the borrower, which
 *   runs on lent capacity.
 *
 * For each waiting task, in rank order, the worker with the lowest cost is chosen: the one where
 * the least run time is lost. Runs that checkpoint lose nothing. Capacity that is already being
 * freed is counted first, so that ten urgent tasks do not stop one victim each if stopping a
 * single one frees enough capacity for all ten. The worker is marked as urgent_only; otherwise
 * batch work would take each part of the capacity as it becomes free, and the urgent task would
 * never fit.
 *
 * The loss is bounded: a run that was stopped FB_RACK_PREEMPT_MAX times is not stopped again for
 * urgent or accelerator work of its own partner. The set of victims is found greedily (youngest
 * first), not optimally: a rack has a few dozen runs, and the optimum is a knapsack problem. */
#include "internal/rack-private.h"

#include "fb-counter.h"
#include "fb-event.h"

#define WAITING_EXAMINED_MAX 64

static gboolean
may_stop (const FbRack *self, const FbTask *victim, const FbTask *for_task)
{
  if (victim->state != FB_TASK_RUNNING || !(victim->spec.flags & FB_FLAG_PREEMPTIBLE)
      || (victim->spec.flags & FB_FLAG_AT_MOST_ONCE))
    return FALSE;
  if (victim->spec.partner != for_task->spec.partner)
    return for_task->spec.partner == self->home;
  gboolean for_accel = for_task->spec.demand.amount[FB_RES_ACCEL_COUNT] > 0
                       && victim->spec.demand.amount[FB_RES_ACCEL_COUNT] == 0;
  return (for_task->spec.kind == FB_KIND_URGENT || for_accel) && victim->spec.kind == FB_KIND_BATCH
         && victim->spec.preempt_count < FB_RACK_PREEMPT_MAX;
}

static int
compare_youngest (gconstpointer a, gconstpointer b)
{
  const FbTask *x = *(FbTask *const *) a;
  const FbTask *y = *(FbTask *const *) b;
  return (x->started_ms < y->started_ms) - (x->started_ms > y->started_ms);
}

/* Returns: (transfer full): runs on W that have to be stopped so that FOR_TASK fits, given that
 * AVAILABLE is free or being freed; NULL if stopping all candidates is not enough. *LOSS_MS is
 * the run time lost. */
static GPtrArray *
find_victims (const FbRack *self, const FbWorker *w, const fb_res *available,
              const FbTask *for_task, uint64_t now_ms, uint64_t *loss_ms)
{
  g_autoptr (GPtrArray) candidates = g_ptr_array_new ();
  for (guint i = 0; i < w->tasks->len; i++)
    {
      FbTask *task = g_ptr_array_index (w->tasks, i);
      if (may_stop (self, task, for_task))
        g_ptr_array_add (candidates, task);
    }
  g_ptr_array_sort (candidates, compare_youngest);
  GPtrArray *victims = g_ptr_array_new ();
  fb_res freed = *available;
  *loss_ms = 0;
  for (guint i = 0; i < candidates->len; i++)
    {
      FbTask *task = g_ptr_array_index (candidates, i);
      if (fb_res_fits (&for_task->spec.demand, &freed))
        break;
      g_ptr_array_add (victims, task);
      fb_res_add (&freed, &task->charge);
      if (!(task->spec.flags & FB_FLAG_CHECKPOINT))
        *loss_ms += now_ms - task->started_ms;
    }
  if (fb_res_fits (&for_task->spec.demand, &freed))
    return victims;
  g_ptr_array_free (victims, TRUE);
  return NULL;
}

static fb_res
upcoming_capacity (const FbWorker *w)
{
  fb_res available = fb_worker_free_capacity (w);
  for (guint i = 0; i < w->tasks->len; i++)
    {
      const FbTask *task = g_ptr_array_index (w->tasks, i);
      if (task->state == FB_TASK_STOPPING)
        fb_res_add (&available, &task->charge);
    }
  return available;
}

static void
stop_victims (FbRack *self, const GPtrArray *victims, const FbTask *for_task)
{
  for (guint i = 0; i < victims->len; i++)
    {
      FbTask *victim = g_ptr_array_index (victims, i);
      gboolean reclaim = victim->spec.partner != for_task->spec.partner;
      fb_counter_add (FB_COUNTER_PREEMPTIONS, 1);
      fb_event_log (FB_EVENT_PREEMPTED,
                    "job=%016" G_GINT64_MODIFIER
                    "x task=%u rack=%s worker=%s for_job=%016" G_GINT64_MODIFIER "x reason=%s",
                    victim->spec.run.job, victim->spec.run.index, self->name,
                    fb_rack_worker (self, victim->worker)->name, for_task->spec.run.job,
                    reclaim ? "guarantee" : "urgent");
      fb_rack_stop_task (self, victim, reclaim ? FB_REASON_RECLAIMED : FB_REASON_PREEMPTED);
    }
}

/* Chooses a worker for TASK and stops the runs there that TASK displaces. AVAILABLE has, for
 * each worker, the capacity that is free or being freed and not yet assigned in this pass. */
static void
preempt_for_task (FbRack *self, uint64_t now_ms, const FbTask *task, fb_res *available)
{
  guint best = FB_NO_WORKER;
  uint64_t best_loss_ms = G_MAXUINT64;
  g_autoptr (GPtrArray) best_victims = NULL;
  for (guint i = 0; i < self->workers->len; i++)
    {
      const FbWorker *w = fb_rack_worker (self, i);
      if (!fb_worker_takes_work (w) || !fb_worker_health_allows (self, now_ms, w, task)
          || !fb_res_fits (&task->spec.demand, &w->capacity))
        continue;
      uint64_t loss_ms = 0;
      GPtrArray *victims = find_victims (self, w, &available[i], task, now_ms, &loss_ms);
      if (victims == NULL)
        continue;
      if (loss_ms < best_loss_ms)
        {
          g_clear_pointer (&best_victims, g_ptr_array_unref);
          best = i;
          best_loss_ms = loss_ms;
          best_victims = victims;
        }
      else
        g_ptr_array_free (victims, TRUE);
    }
  if (best == FB_NO_WORKER)
    return;
  stop_victims (self, best_victims, task);
  for (guint i = 0; i < best_victims->len; i++)
    fb_res_add (&available[best], &((FbTask *) g_ptr_array_index (best_victims, i))->charge);
  fb_res_sub (&available[best], &task->spec.demand);
  if (task->spec.partner == self->home)
    fb_rack_worker (self, best)->urgent_only = TRUE;
}

static gboolean
may_preempt (const FbRack *self, uint32_t partner, FbKind kind)
{
  if (kind == FB_KIND_URGENT || fb_task_queues_accel_count (self->queues) > 0)
    return TRUE;
  return partner == self->home && !fb_res_is_zero (&self->partner_used[1 - self->home]);
}

void
fb_preempt_for_waiting (FbRack *self, uint64_t now_ms, uint32_t partner, FbKind kind)
{
  if (!may_preempt (self, partner, kind))
    return;
  g_autofree fb_res *available = g_new (fb_res, self->workers->len);
  for (guint i = 0; i < self->workers->len; i++)
    available[i] = upcoming_capacity (fb_rack_worker (self, i));
  guint examined = 0;
  const GPtrArray *queues = fb_task_queues_of (self->queues, partner, kind);
  for (guint l = 0; l < queues->len && examined < WAITING_EXAMINED_MAX; l++)
    {
      FbTaskQueue *queue = g_ptr_array_index (queues, l);
      GSequenceIter *iter = g_sequence_get_begin_iter (queue->tasks);
      while (!g_sequence_iter_is_end (iter) && examined++ < WAITING_EXAMINED_MAX)
        {
          preempt_for_task (self, now_ms, g_sequence_get (iter), available);
          iter = g_sequence_iter_next (iter);
        }
    }
}
