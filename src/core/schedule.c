/* The scheduling pass of a rack: the order in which waiting tasks start.
 *
 * The order is by partner, kind, team and rank:
 * - The home partner, to which the rack belongs, comes first. Capacity that it does not use
 *   is lent to the other partner, the borrower, up to LEND_MILLI. Kinds and priorities of
 *   one partner have no influence on the order of the other's work.
 * - Within a partner: urgent, service, gang, batch.
 * - Within a kind: the team with the smallest dominant share in relation to its weight.
 * - Within a team: the rank in the queue (task-queue.c).
 *
 * If the first task of a queue does not fit, the others among its first BACKFILL_MAX tasks may
 * start before it. With backfill alone, small tasks could starve a large one. So once the large
 * task has waited for FB_RACK_HOLD_MS, one worker is held for it: only urgent work starts there
 * until the large task has started. Only one worker is held at a time, so at most one worker of
 * the rack is left idle for this. */
#include "internal/rack-private.h"

#include "fb-counter.h"
#include "fb-event.h"

#define BACKFILL_MAX 8

typedef struct
{
  guint best;
  guint runner_up;
  int64_t best_cost;
} Choice;

static gboolean
is_held (const FbRack *self, guint worker, const FbTask *task)
{
  if (self->hold_worker != worker || task->spec.kind == FB_KIND_URGENT)
    return FALSE;
  return !fb_run_equal (&self->hold_run, &task->spec.run);
}

static gboolean
may_take (const FbRack *self, uint64_t now_ms, guint index, const FbTask *task)
{
  const FbWorker *w = fb_rack_worker (self, index);
  if (!fb_worker_takes_work (w) || is_held (self, index, task))
    return FALSE;
  if (w->urgent_only && (task->spec.kind != FB_KIND_URGENT || task->spec.partner != self->home))
    return FALSE;
  fb_res free = fb_worker_free_capacity (w);
  return fb_res_fits (&task->spec.demand, &free) && fb_worker_health_allows (self, now_ms, w, task);
}

/* Returns: the GUARD_MILLI of TASK, see place.c. */
static uint32_t
guard_for (const FbRack *self, const FbTask *task)
{
  /* A gang member that waited until no accelerator work is queued would delay its whole gang,
   * and keep the capacity idle that the gang has reserved on other racks. */
  if (task->spec.kind == FB_KIND_GANG)
    return 0;
  if (fb_task_queues_accel_count (self->queues) > 0)
    return 1000;
  if (task->spec.flags & FB_FLAG_PREEMPTIBLE)
    return 0;
  uint64_t total = self->total.amount[FB_RES_ACCEL_COUNT];
  uint64_t used = 0;
  for (guint p = 0; p < FB_PARTNER_N; p++)
    used += self->partner_used[p].amount[FB_RES_ACCEL_COUNT];
  return total > 0 ? (uint32_t) (used * 1000 / total) : 0;
}

static Choice
choose_worker (const FbRack *self, uint64_t now_ms, const FbTask *task, const FbPlacePolicy *policy)
{
  Choice choice = { FB_NO_WORKER, FB_NO_WORKER, G_MAXINT64 };
  uint32_t guard_milli = guard_for (self, task);
  for (guint i = 0; i < self->workers->len; i++)
    {
      if (!may_take (self, now_ms, i, task))
        continue;
      const FbWorker *w = fb_rack_worker (self, i);
      fb_res free = fb_worker_free_capacity (w);
      FbPlaceCandidate candidate = { &w->capacity, &free, &task->spec.demand, i, guard_milli };
      int64_t cost = policy->cost (&candidate);
      if (cost < 0)
        continue;
      cost += fb_worker_health_cost (w, task);
      if (cost < choice.best_cost)
        {
          choice.runner_up = choice.best;
          choice.best = i;
          choice.best_cost = cost;
        }
      else if (choice.runner_up == FB_NO_WORKER)
        choice.runner_up = i;
    }
  return choice;
}

static gboolean
within_limits (const FbRack *self, const FbTask *task)
{
  const FbTeam *team = fb_teams_get (self->policy.teams, task->spec.partner, task->spec.team);
  fb_res team_after = *fb_rack_team_used (self, task->spec.partner, task->spec.team);
  fb_res_add (&team_after, &task->spec.demand);
  for (guint i = 0; i < FB_RES_N; i++)
    {
      if (team->quota_slice.amount[i] > 0 && team_after.amount[i] > team->quota_slice.amount[i])
        return FALSE;
    }
  if (task->spec.partner == self->home)
    return TRUE;
  fb_res partner_after = self->partner_used[task->spec.partner];
  fb_res_add (&partner_after, &task->spec.demand);
  return fb_res_dominant_share_milli (&partner_after, &self->total) <= self->policy.lend_milli;
}

static void
start_task (FbRack *self, uint64_t now_ms, FbTask *task, const Choice *choice)
{
  fb_rack_dequeue (self, task);
  fb_usage_charge (self, task, choice->best, &task->spec.demand);
  task->last_worker = choice->best;
  fb_worker_health_record_start (fb_rack_worker (self, choice->best), now_ms);
  fb_counter_add (FB_COUNTER_PLACEMENTS, 1);
  fb_event_log (
      FB_EVENT_PLACED,
      "job=%016" G_GINT64_MODIFIER
      "x task=%u attempt=%u rack=%s worker=%s policy=%s cost=%" G_GINT64_FORMAT
      " runner_up=%s waited_ms=%" G_GUINT64_FORMAT,
      task->spec.run.job, task->spec.run.index, task->spec.run.attempt, self->name,
      fb_rack_worker (self, choice->best)->name, self->policy.place->name, choice->best_cost,
      choice->runner_up == FB_NO_WORKER ? "none" : fb_rack_worker (self, choice->runner_up)->name,
      now_ms - task->arrived_ms);
  if (task->spec.flags & FB_FLAG_RESERVE)
    {
      task->state = FB_TASK_RESERVED;
      task->reserved_until_ms = now_ms + FB_RACK_RESERVE_MS;
      fb_rack_send_run_status (self, task, FB_RUN_STATUS_RESERVED, FB_REASON_NONE);
      return;
    }
  task->state = FB_TASK_STARTING;
  fb_rack_mark_dirty (self, choice->best);
}

static gboolean
try_start (FbRack *self, uint64_t now_ms, FbTask *task)
{
  if (!within_limits (self, task))
    return FALSE;
  Choice choice = choose_worker (self, now_ms, task, self->policy.place);
  /* Urgent work may use capacity that the policy would keep free. */
  if (choice.best == FB_NO_WORKER && task->spec.kind == FB_KIND_URGENT)
    choice = choose_worker (self, now_ms, task, &fb_place_best_fit);
  if (choice.best == FB_NO_WORKER)
    return FALSE;
  start_task (self, now_ms, task, &choice);
  return TRUE;
}

static void
hold_worker_for (FbRack *self, uint64_t now_ms, const FbTask *head)
{
  if (self->hold_worker != FB_NO_WORKER || now_ms - head->arrived_ms < FB_RACK_HOLD_MS
      || head->spec.partner != self->home || !within_limits (self, head))
    return;
  /* Work without accelerators may not start on accelerator hosts while accelerator work waits.
   * Holding such a host would leave it idle without starting the task. */
  gboolean guarded = fb_spec_wait_class (&head->spec) == FB_WAIT_CLASS_OTHER
                     && fb_task_queues_accel_count (self->queues) > 0;
  uint32_t least_milli = G_MAXUINT32;
  for (guint i = 0; i < self->workers->len; i++)
    {
      const FbWorker *w = fb_rack_worker (self, i);
      if (!fb_worker_takes_work (w) || w->quarantined
          || !fb_res_fits (&head->spec.demand, &w->capacity)
          || (guarded && w->capacity.amount[FB_RES_ACCEL_COUNT] > 0))
        continue;
      uint32_t used_milli = fb_res_dominant_share_milli (&w->used, &w->capacity);
      if (used_milli < least_milli)
        {
          least_milli = used_milli;
          self->hold_worker = i;
          self->hold_run = head->spec.run;
        }
    }
}

static gboolean
start_from_queue (FbRack *self, uint64_t now_ms, FbTaskQueue *queue)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (queue->tasks);
  FbTask *head = g_sequence_get (iter);
  for (guint i = 0; i < BACKFILL_MAX && !g_sequence_iter_is_end (iter); i++)
    {
      FbTask *task = g_sequence_get (iter);
      iter = g_sequence_iter_next (iter);
      if (try_start (self, now_ms, task))
        return TRUE;
    }
  if (queue->kind != FB_KIND_URGENT)
    hold_worker_for (self, now_ms, head);
  return FALSE;
}

/* Returns: the queue, not blocked in this pass, whose team has the smallest weighted
 * share, or NULL. */
static FbTaskQueue *
next_queue (const FbRack *self, uint32_t partner, FbKind kind)
{
  const GPtrArray *queues = fb_task_queues_of (self->queues, partner, kind);
  FbTaskQueue *best = NULL;
  uint64_t best_share = G_MAXUINT64;
  for (guint i = 0; i < queues->len; i++)
    {
      FbTaskQueue *queue = g_ptr_array_index (queues, i);
      if (queue->blocked)
        continue;
      const FbTeam *team = fb_teams_get (self->policy.teams, partner, queue->team);
      const fb_res *used = fb_rack_team_used (self, partner, queue->team);
      uint64_t share = (uint64_t) fb_res_dominant_share_milli (used, &self->total) * 1000
                       / MAX (team->weight, 1);
      if (best == NULL || share < best_share || (share == best_share && queue->team < best->team))
        {
          best = queue;
          best_share = share;
        }
    }
  return best;
}

static void
start_tasks_of_kind (FbRack *self, uint64_t now_ms, uint32_t partner, FbKind kind)
{
  FbTaskQueue *queue;
  while ((queue = next_queue (self, partner, kind)) != NULL)
    {
      if (!start_from_queue (self, now_ms, queue))
        queue->blocked = TRUE;
    }
}

void
fb_rack_schedule (FbRack *self, uint64_t now_ms)
{
  if (fb_task_queues_count (self->queues) == 0)
    return;
  fb_task_queues_unblock (self->queues);
  for (guint i = 0; i < self->workers->len; i++)
    fb_rack_worker (self, i)->urgent_only = FALSE;
  const uint32_t order[FB_PARTNER_N] = { self->home, 1 - self->home };
  for (guint p = 0; p < FB_PARTNER_N; p++)
    {
      for (guint kind = 0; kind < FB_KIND_N; kind++)
        {
          start_tasks_of_kind (self, now_ms, order[p], (FbKind) kind);
          if (fb_task_queues_count_of (self->queues, order[p], (FbKind) kind) > 0)
            fb_preempt_for_waiting (self, now_ms, order[p], (FbKind) kind);
        }
    }
}
