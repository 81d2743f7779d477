/* Making room for work that may not wait.
 *
 * Three rights to stop running work:
 *  - urgent work of a partner may stop that partner's own batch work;
 *  - work that needs accelerators may stop its own partner's batch work that
 *    needs none, where that stands in the way;
 *  - any work of the home partner may stop the guest's work (what was lent).
 *
 * For each waiting task in rank order the cheapest worker is found: the one
 * where the least run time is lost, counting nothing for runs that checkpoint.
 * Space that is already being freed is counted first, so that ten urgent tasks
 * do not stop a victim each when one victim makes room for all ten.  The space
 * is marked as promised, else batch work would take each part of it as it comes
 * free and the urgent task would chase its room for ever.
 *
 * The loss is bounded: a run that was stopped FB_RACK_PREEMPT_MAX times is not
 * stopped for its own partner's urgent work again, and the exact set is found
 * greedily (youngest first), not optimally: a rack holds a few dozen runs and
 * the optimum is a knapsack. */
#include "internal/rack-private.h"

#include "fb-counter.h"
#include "fb-event.h"

#define WAITING_SEEN_MAX 64

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

/* Returns: (transfer full): victims on one worker that make room for DEMAND in
 * SPACE, or NULL when there are not enough.  *LOSS is the run time lost. */
static GPtrArray *
find_victims (const FbRack *self, const FbWorker *w, const fb_res *space, const FbTask *for_task,
              uint64_t now_ms, uint64_t *loss_ms)
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
  fb_res room = *space;
  *loss_ms = 0;
  for (guint i = 0; i < candidates->len; i++)
    {
      FbTask *task = g_ptr_array_index (candidates, i);
      if (fb_res_fits (&for_task->spec.demand, &room))
        break;
      g_ptr_array_add (victims, task);
      fb_res_add (&room, &task->charge);
      if (!(task->spec.flags & FB_FLAG_CHECKPOINT))
        *loss_ms += now_ms - task->started_ms;
    }
  if (fb_res_fits (&for_task->spec.demand, &room))
    return victims;
  g_ptr_array_free (victims, TRUE);
  return NULL;
}

static fb_res
space_to_come (const FbWorker *w)
{
  fb_res space = fb_worker_free_space (w);
  for (guint i = 0; i < w->tasks->len; i++)
    {
      const FbTask *task = g_ptr_array_index (w->tasks, i);
      if (task->state == FB_TASK_STOPPING)
        fb_res_add (&space, &task->charge);
    }
  return space;
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

/* Gives TASK a promise on one worker; SPACES is the space left to promise. */
static void
promise_room (FbRack *self, uint64_t now_ms, const FbTask *task, fb_res *spaces)
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
      GPtrArray *victims = find_victims (self, w, &spaces[i], task, now_ms, &loss_ms);
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
    fb_res_add (&spaces[best], &((FbTask *) g_ptr_array_index (best_victims, i))->charge);
  fb_res_sub (&spaces[best], &task->spec.demand);
  if (task->spec.partner == self->home)
    fb_rack_worker (self, best)->promised = TRUE;
}

static gboolean
has_right (const FbRack *self, uint32_t partner, FbKind kind)
{
  if (kind == FB_KIND_URGENT || fb_task_queues_accel_count (self->lanes) > 0)
    return TRUE;
  return partner == self->home && !fb_res_is_zero (&self->partner_used[1 - self->home]);
}

void
fb_preempt_for_waiting (FbRack *self, uint64_t now_ms, uint32_t partner, FbKind kind)
{
  if (!has_right (self, partner, kind))
    return;
  g_autofree fb_res *spaces = g_new (fb_res, self->workers->len);
  for (guint i = 0; i < self->workers->len; i++)
    spaces[i] = space_to_come (fb_rack_worker (self, i));
  guint seen = 0;
  const GPtrArray *lanes = fb_task_queues_of (self->lanes, partner, kind);
  for (guint l = 0; l < lanes->len && seen < WAITING_SEEN_MAX; l++)
    {
      FbTaskQueue *lane = g_ptr_array_index (lanes, l);
      GSequenceIter *iter = g_sequence_get_begin_iter (lane->tasks);
      while (!g_sequence_iter_is_end (iter) && seen++ < WAITING_SEEN_MAX)
        {
          promise_room (self, now_ms, g_sequence_get (iter), spaces);
          iter = g_sequence_iter_next (iter);
        }
    }
}
