/* Requests of range owners to a rack: place, withdraw, query, commit, acknowledge, list runs.
 *
 * A run arrives at most once: the range owner sends each attempt exactly once, addressed to the
 * epoch of this owner, over an ordered connection. A run is removed only after the range owner
 * has acknowledged its end. Until then the rack repeats the report of the end, and the worker
 * also keeps it. A successor that reads the states of the workers therefore finds every end that
 * the range owner does not have yet. */
#include "internal/rack-private.h"

#include "fb-counter.h"
#include "fb-event.h"

#define BORROWER_QUEUE_MAX 4

static gboolean
fits_some_worker (const FbRack *self, const fb_res *demand)
{
  for (guint i = 0; i < self->workers->len; i++)
    {
      const FbWorker *w = fb_rack_worker (self, i);
      if (w->state != FB_WORKER_GONE && fb_res_fits (demand, &w->capacity))
        return TRUE;
    }
  return FALSE;
}

static gboolean
fits_quota (const fb_res *demand, const fb_res *slice)
{
  for (guint i = 0; i < FB_RES_N; i++)
    {
      if (slice->amount[i] > 0 && demand->amount[i] > slice->amount[i])
        return FALSE;
    }
  return TRUE;
}

/* Records the highest epoch of the owners of RANGE and rejects messages with a lower one.
 * Otherwise a place message of a replaced owner could arrive after its successor has queried the
 * rack, got the answer "not found" and started the next attempt, and the task would run twice at
 * the same time. */
static gboolean
range_is_current (FbRack *self, uint32_t range, uint64_t epoch)
{
  gpointer key = GUINT_TO_POINTER (range + 1);
  uint64_t *highest = g_hash_table_lookup (self->range_epochs, key);
  if (highest != NULL && epoch < *highest)
    return FALSE;
  if (highest == NULL || epoch > *highest)
    g_hash_table_insert (self->range_epochs, key, g_memdup2 (&epoch, sizeof epoch));
  return TRUE;
}

static FbReason
refusal_of (const FbRack *self, const fb_place *place)
{
  const fb_spec *spec = &place->spec;
  if (place->rack_epoch != self->epoch)
    return FB_REASON_WRONG_EPOCH;
  if (self->draining)
    return FB_REASON_LEAVING;
  if (spec->partner >= FB_PARTNER_N || spec->kind >= FB_KIND_N
      || !fits_some_worker (self, &spec->demand))
    return FB_REASON_NEVER_FITS;
  const FbTeam *team = fb_teams_get (self->policy.teams, spec->partner, spec->team);
  if (!fits_quota (&spec->demand, &team->quota_slice))
    return FB_REASON_QUOTA;
  gboolean borrower = spec->partner != self->home;
  if (borrower && (self->policy.lend_milli == 0 || !(spec->flags & FB_FLAG_PREEMPTIBLE)))
    return FB_REASON_NOT_LENT;
  /* Work of the other partner is sent here because capacity was free. A few tasks may queue if
   * it was taken in the meantime, but not more. */
  if (borrower
      && fb_task_queues_count_of (self->queues, spec->partner, (FbKind) spec->kind)
             >= BORROWER_QUEUE_MAX)
    return FB_REASON_QUEUE_FULL;
  /* The limit is per partner and kind, so that many tasks of one kind cannot fill the queues of
   * the others. */
  if (fb_task_queues_count_of (self->queues, spec->partner, (FbKind) spec->kind)
      >= self->policy.queue_max)
    return FB_REASON_QUEUE_FULL;
  return FB_REASON_NONE;
}

void
fb_rack_place (FbRack *self, uint64_t now_ms, const fb_place *place)
{
  const fb_spec *spec = &place->spec;
  if (fb_rack_find (self, &spec->run) != NULL)
    return;
  FbReason refusal = range_is_current (self, spec->range, spec->range_epoch)
                         ? refusal_of (self, place)
                         : FB_REASON_WRONG_EPOCH;
  if (refusal != FB_REASON_NONE)
    {
      fb_counter_add (FB_COUNTER_REFUSALS, 1);
      fb_event_log (
          FB_EVENT_REFUSED, "job=%016" G_GINT64_MODIFIER "x task=%u attempt=%u rack=%s reason=%s",
          spec->run.job, spec->run.index, spec->run.attempt, self->name, fb_reason_name (refusal));
      fb_rack_report (self, spec, FB_NO_WORKER, FB_RUN_STATUS_REFUSED, refusal, NULL);
      return;
    }
  FbTask *task = fb_task_new (now_ms, spec);
  g_hash_table_insert (self->tasks, &task->spec.run, task);
  fb_rack_enqueue (self, task);
}

void
fb_rack_withdraw (FbRack *self, uint64_t now_ms, const fb_run_command *command)
{
  if (!range_is_current (self, command->range, command->range_epoch))
    return;
  FbTask *task = fb_rack_find (self, &command->run);
  if (task == NULL)
    {
      fb_rack_query (self, now_ms, command);
      return;
    }
  if (task->state == FB_TASK_ENDED)
    {
      fb_rack_send_run_status (self, task, task->run_status, task->reason);
      return;
    }
  if (fb_task_never_sent (task))
    fb_rack_end_task (self, now_ms, task, FB_RUN_STATUS_NOT_RUN, FB_REASON_WITHDRAWN, NULL, 0);
  else if (command->force && task->state != FB_TASK_STOPPING)
    fb_rack_stop_task (self, task, FB_REASON_CANCELLED);
  else
    fb_rack_send_run_status (self, task, FB_RUN_STATUS_STARTED, FB_REASON_NONE);
}

void
fb_rack_query (FbRack *self, uint64_t now_ms, const fb_run_command *command)
{
  if (!range_is_current (self, command->range, command->range_epoch))
    return;
  FbTask *task = fb_rack_find (self, &command->run);
  if (task == NULL)
    {
      FbRunStatus run_status
          = fb_rack_is_complete (self) ? FB_RUN_STATUS_NOT_FOUND : FB_RUN_STATUS_UNDETERMINED;
      fb_spec unknown = { .run = command->run, .range = command->range };
      fb_rack_report (self, &unknown, FB_NO_WORKER, run_status, FB_REASON_NONE, NULL);
      return;
    }
  switch (task->state)
    {
    case FB_TASK_QUEUED:
      fb_event_log (FB_EVENT_QUEUED,
                    "job=%016" G_GINT64_MODIFIER
                    "x task=%u attempt=%u rack=%s waited_ms=%" G_GUINT64_FORMAT,
                    task->spec.run.job, task->spec.run.index, task->spec.run.attempt, self->name,
                    now_ms - task->arrived_ms);
      fb_rack_send_run_status (self, task, FB_RUN_STATUS_QUEUED, FB_REASON_NONE);
      break;
    case FB_TASK_RESERVED:
      /* The range is still reserving for other members of the gang; its query extends the
       * reservation. */
      task->reserved_until_ms = now_ms + FB_RACK_RESERVE_MS;
      fb_rack_send_run_status (self, task, FB_RUN_STATUS_RESERVED, FB_REASON_NONE);
      break;
    case FB_TASK_STARTING:
    case FB_TASK_RUNNING:
    case FB_TASK_STOPPING:
      fb_rack_send_run_status (self, task, FB_RUN_STATUS_STARTED, FB_REASON_NONE);
      break;
    case FB_TASK_ENDED:
      fb_rack_send_run_status (self, task, task->run_status, task->reason);
      break;
    }
}

void
fb_rack_commit (FbRack *self, uint64_t now_ms, const fb_run_command *command)
{
  if (!range_is_current (self, command->range, command->range_epoch))
    return;
  FbTask *task = fb_rack_find (self, &command->run);
  if (task == NULL || task->state != FB_TASK_RESERVED)
    {
      fb_rack_query (self, now_ms, command);
      return;
    }
  task->state = FB_TASK_STARTING;
  fb_rack_mark_dirty (self, task->worker);
}

void
fb_rack_ack (FbRack *self, uint64_t now_ms, const fb_run_command *command)
{
  (void) now_ms;
  if (!range_is_current (self, command->range, command->range_epoch))
    return;
  FbTask *task = fb_rack_find (self, &command->run);
  if (task == NULL || task->state != FB_TASK_ENDED || task->acked)
    return;
  if (task->sent_seq == 0)
    {
      fb_rack_remove_task (self, task);
      return;
    }
  /* The worker may still list the end. The rack removes the task once the worker does not list
   * it any more, see rack-sync.c. */
  task->acked = TRUE;
}

void
fb_rack_list_runs (FbRack *self, uint64_t now_ms, const fb_run_command *command)
{
  (void) now_ms;
  if (!range_is_current (self, command->range, command->range_epoch) || !fb_rack_is_complete (self))
    return;
  g_autoptr (GArray) runs = g_array_new (FALSE, FALSE, sizeof (fb_run));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value) && runs->len < FB_MAX_MEMBERS)
    {
      const FbTask *task = value;
      gboolean done = task->state == FB_TASK_ENDED && task->acked;
      if (task->spec.range == command->range && !done)
        g_array_append_val (runs, task->spec.run);
    }
  fb_run_list run_list = { .rack = self->id, .range = command->range };
  run_list.runs.runs_len = runs->len;
  run_list.runs.runs_val = (fb_run *) (void *) runs->data;
  self->callbacks->run_list (self->user, self, &run_list);
}
