/* Exchanges between the owner of a rack and its workers.
 *
 * Each request lists everything that is outstanding at the owner (lease, starts, stops, ends
 * that the worker may drop), and each reply lists the complete state of the worker, so a lost
 * exchange only delays this by one period. If the state of a worker has not changed since the
 * last reply, the reply says so and carries no runs; this holds for most replies of an idle
 * worker.
 *
 * Leases and starts are bounded on the worker's own clock: the owner adds the duration of the
 * lease to the last clock reading that it received. A request that was buffered while the worker
 * was suspended therefore neither renews a lease nor starts a run when the worker resumes. */
#include "internal/rack-private.h"

#include "fb-counter.h"
#include "fb-event.h"

static uint64_t
start_limit_ms (const FbWorker *w, uint64_t now_ms, const FbTask *task)
{
  /* Lower bound of the worker's clock now. */
  uint64_t clock_now_ms = w->clock_ms + (now_ms - w->last_reply_ms);
  /* The lease limits the start too: the owner declares the worker's runs lost when the lease has
   * expired. */
  uint64_t limit_ms = MIN (clock_now_ms + FB_RACK_START_MS, w->clock_ms + FB_RACK_LEASE_MS);
  uint64_t remaining_ms = fb_deadline_remaining (now_ms, task->due_ms);
  if (remaining_ms == FB_NO_DEADLINE_MS)
    return limit_ms;
  uint64_t due_on_worker_ms = fb_deadline_after (clock_now_ms, remaining_ms);
  return MIN (limit_ms, due_on_worker_ms);
}

static void
add_orders (const FbRack *self, FbWorker *w, uint64_t now_ms, FbSyncRequest *request)
{
  for (guint i = 0; i < w->tasks->len; i++)
    {
      FbTask *task = g_ptr_array_index (w->tasks, i);
      if (task->state == FB_TASK_STARTING && w->state == FB_WORKER_OK && !w->leaving
          && now_ms >= self->starts_paused_until_ms)
        {
          uint64_t limit_ms = start_limit_ms (w, now_ms, task);
          if (task->sent_seq == 0)
            task->sent_seq = request->seq;
          task->last_sent_seq = request->seq;
          g_ptr_array_add (request->starts, &task->spec);
          g_array_append_val (request->start_by_ms, limit_ms);
        }
      else if (task->state == FB_TASK_STOPPING)
        {
          FbSyncStop stop = { task->spec.run, task->checkpoint_stop };
          g_array_append_val (request->stops, stop);
        }
    }
  if (fb_res_fits (&w->used, &w->capacity))
    return;
  /* The measured usage exceeds the capacity: throttle the runs that may be slowed down. */
  for (guint i = 0; i < w->tasks->len; i++)
    {
      FbTask *task = g_ptr_array_index (w->tasks, i);
      if (task->state == FB_TASK_RUNNING && (task->spec.flags & FB_FLAG_PREEMPTIBLE))
        g_array_append_val (request->throttles, task->spec.run);
    }
}

/* Returns: (transfer full): the acknowledged ends that the worker still keeps. */
static GArray *
acks_for (const FbRack *self, guint index)
{
  GArray *acks = g_array_new (FALSE, FALSE, sizeof (fb_run));
  for (const GList *link = self->ended.head; link != NULL; link = link->next)
    {
      const FbTask *task = link->data;
      if (task->acked && task->last_worker == index)
        g_array_append_val (acks, task->spec.run);
    }
  return acks;
}

static void
send_exchange (FbRack *self, uint64_t now_ms, guint index)
{
  FbWorker *w = fb_rack_worker (self, index);
  FbSyncRequest request = { .epoch = self->epoch, .seq = ++w->sent_seq };
  request.incarnation = w->incarnation;
  request.known_version = w->known_version;
  request.lease_until_ms = w->state == FB_WORKER_OK ? w->clock_ms + FB_RACK_LEASE_MS : 0;
  request.starts = g_ptr_array_new ();
  request.start_by_ms = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  request.stops = g_array_new (FALSE, FALSE, sizeof (FbSyncStop));
  request.throttles = g_array_new (FALSE, FALSE, sizeof (fb_run));
  request.acks = acks_for (self, index);
  add_orders (self, w, now_ms, &request);
  w->dirty = FALSE;
  w->in_flight = TRUE;
  w->sync_at_ms = now_ms + FB_RACK_SYNC_PERIOD_MS;
  fb_counter_add (FB_COUNTER_WORKER_SYNCS, 1);
  self->callbacks->sync (self->user, self, index, &request);
  g_ptr_array_free (request.starts, TRUE);
  g_array_free (request.start_by_ms, TRUE);
  g_array_free (request.stops, TRUE);
  g_array_free (request.throttles, TRUE);
  g_array_free (request.acks, TRUE);
}

void
fb_rack_exchange (FbRack *self, uint64_t now_ms)
{
  for (guint i = 0; i < self->workers->len; i++)
    {
      FbWorker *w = fb_rack_worker (self, i);
      if (w->state == FB_WORKER_GONE || w->in_flight)
        continue;
      if (w->dirty || w->sync_at_ms <= now_ms)
        send_exchange (self, now_ms, i);
    }
}

static void
stop_if_over_memory (FbRack *self, guint index)
{
  FbWorker *w = fb_rack_worker (self, index);
  if (w->used.amount[FB_RES_MEM_BYTES] <= w->capacity.amount[FB_RES_MEM_BYTES])
    return;
  /* Memory cannot be throttled: stop the youngest preemptible run. */
  FbTask *youngest = NULL;
  for (guint i = 0; i < w->tasks->len; i++)
    {
      FbTask *task = g_ptr_array_index (w->tasks, i);
      if (task->state == FB_TASK_STOPPING)
        return;
      if (task->state == FB_TASK_RUNNING && (task->spec.flags & FB_FLAG_PREEMPTIBLE)
          && (youngest == NULL || task->started_ms > youngest->started_ms))
        youngest = task;
    }
  if (youngest != NULL)
    fb_rack_stop_task (self, youngest, FB_REASON_PREEMPTED);
}

static void
handle_live_run (FbRack *self, uint64_t now_ms, guint index, const FbSyncRun *run)
{
  FbTask *task = fb_rack_find (self, &run->spec.run);
  if (task == NULL)
    {
      task = fb_rack_adopt (self, now_ms, index, &run->spec);
      task->sent_seq = fb_rack_worker (self, index)->sent_seq;
    }
  if (task->state == FB_TASK_STARTING)
    {
      task->state = FB_TASK_RUNNING;
      task->started_ms = now_ms;
      fb_rack_send_run_status (self, task, FB_RUN_STATUS_STARTED, FB_REASON_NONE);
    }
  if (task->state != FB_TASK_RUNNING && task->state != FB_TASK_STOPPING)
    return;
  fb_res charge = task->spec.demand;
  for (guint i = 0; i < FB_RES_N; i++)
    charge.amount[i] = MAX (charge.amount[i], run->usage.amount[i]);
  fb_usage_recharge (self, task, &charge);
}

static FbReason
end_reason (const FbTask *task, FbRunStatus run_status)
{
  if (run_status == FB_RUN_STATUS_STOPPED)
    return task->stop_reason;
  return run_status == FB_RUN_STATUS_LOST ? FB_REASON_WORKER_LOST : FB_REASON_NONE;
}

static void
handle_ended_run (FbRack *self, uint64_t now_ms, guint index, const FbSyncRun *run)
{
  FbWorker *w = fb_rack_worker (self, index);
  FbTask *task = fb_rack_find (self, &run->spec.run);
  if (task == NULL)
    {
      task = fb_rack_adopt (self, now_ms, index, &run->spec);
      task->sent_seq = w->sent_seq;
    }
  if (task->state == FB_TASK_ENDED)
    return;
  fb_worker_health_record_end (self, now_ms, index, task, run->run_status);
  fb_rack_end_task (self, now_ms, task, run->run_status, end_reason (task, run->run_status),
                    run->answer, run->answer_len);
}

/* Handles a start that the worker has refused. The refusal counts only if no later request was
 * sent, since that one may have contained the start as well: after a timeout the start is
 * repeated, and the worker may refuse it in the first request, which arrived too late, and
 * execute it in the second. Otherwise the run would be reported as not run although it executes. */
static void
handle_refused_start (FbRack *self, uint64_t now_ms, guint index, const FbSyncReply *reply,
                      const FbSyncRun *run)
{
  if (reply->seq != fb_rack_worker (self, index)->sent_seq)
    return;
  FbTask *task = fb_rack_find (self, &run->spec.run);
  if (task != NULL && (task->state == FB_TASK_STARTING || task->state == FB_TASK_STOPPING))
    fb_rack_end_task (self, now_ms, task, FB_RUN_STATUS_NOT_RUN,
                      task->due_ms <= now_ms ? FB_REASON_PAST_DUE : FB_REASON_WORKER_REFUSED, NULL,
                      0);
}

static gboolean
reply_lists (const FbSyncReply *reply, const fb_run *run)
{
  for (guint i = 0; i < reply->run_n; i++)
    {
      if (fb_run_equal (&reply->runs[i].spec.run, run))
        return TRUE;
    }
  return FALSE;
}

/* Ends the tasks that the worker does not list although it has handled a request that contained
 * them. A run that was live, or that an earlier incarnation of the worker may have started, is
 * lost. A start that was cancelled before the worker handled it has not run; nor has a start
 * that is no longer sent because the worker is leaving. */
static void
end_unlisted (FbRack *self, uint64_t now_ms, guint index, const FbSyncReply *reply,
              gboolean restarted)
{
  FbWorker *w = fb_rack_worker (self, index);
  for (guint i = w->tasks->len; i > 0; i--)
    {
      FbTask *task = g_ptr_array_index (w->tasks, i - 1);
      /* After a restart, every start sent before this reply was addressed to the previous
       * incarnation, including those in requests that the new incarnation has not
       * received. */
      gboolean handled = restarted || task->sent_seq <= reply->seq;
      if (task->sent_seq == 0 || !handled || reply_lists (reply, &task->spec.run))
        continue;
      if (restarted || task->state == FB_TASK_RUNNING || task->started_ms > 0)
        fb_rack_end_task (self, now_ms, task, FB_RUN_STATUS_LOST, FB_REASON_WORKER_LOST, NULL, 0);
      else if (task->state == FB_TASK_STOPPING)
        fb_rack_end_task (self, now_ms, task, FB_RUN_STATUS_NOT_RUN, FB_REASON_WITHDRAWN, NULL, 0);
      else if (task->state == FB_TASK_STARTING && w->leaving && task->last_sent_seq <= reply->seq)
        fb_rack_end_task (self, now_ms, task, FB_RUN_STATUS_NOT_RUN, FB_REASON_LEAVING, NULL, 0);
    }
}

/* Removes acknowledged ends that the worker does not list any more. */
static void
remove_acked_tasks (FbRack *self, const FbSyncReply *reply, guint index)
{
  GList *link = self->ended.head;
  while (link != NULL)
    {
      GList *next = link->next;
      FbTask *task = link->data;
      if (task->acked && task->last_worker == index && !reply_lists (reply, &task->spec.run))
        fb_rack_remove_task (self, task);
      link = next;
    }
}

void
fb_rack_sync_done (FbRack *self, uint64_t now_ms, guint worker, const FbSyncReply *reply)
{
  FbWorker *w = fb_rack_worker (self, worker);
  w->in_flight = FALSE;
  if (reply->fenced && reply->epoch > self->epoch)
    {
      self->callbacks->fenced (self->user, self);
      return;
    }
  gboolean new_incarnation = reply->incarnation != w->incarnation;
  if (reply->fenced || reply->epoch != self->epoch || reply->seq <= w->last_reply_seq
      || (reply->unchanged && new_incarnation))
    return;
  gboolean restarted = w->last_reply_seq > 0 && new_incarnation;
  if (w->state != FB_WORKER_OK)
    fb_event_log (FB_EVENT_WORKER_HEARD, "rack=%s worker=%s runs=%u", self->name, w->name,
                  reply->run_n);
  w->state = FB_WORKER_OK;
  if (new_incarnation)
    w->incarnation_seen_ms = now_ms;
  w->unlisted_since_ms = 0;
  w->last_reply_seq = reply->seq;
  w->last_reply_ms = now_ms;
  w->clock_ms = reply->clock_ms;
  w->incarnation = reply->incarnation;
  self->schedule_pending = TRUE;
  if (reply->unchanged)
    return;
  w->known_version = reply->version;
  for (guint i = 0; i < reply->run_n; i++)
    {
      const FbSyncRun *run = &reply->runs[i];
      if (run->state == FB_SYNC_LIVE)
        handle_live_run (self, now_ms, worker, run);
      else if (run->state == FB_SYNC_ENDED)
        handle_ended_run (self, now_ms, worker, run);
      else
        handle_refused_start (self, now_ms, worker, reply, run);
    }
  end_unlisted (self, now_ms, worker, reply, restarted);
  remove_acked_tasks (self, reply, worker);
  stop_if_over_memory (self, worker);
  self->schedule_pending = TRUE;
}

void
fb_rack_sync_failed (FbRack *self, uint64_t now_ms, guint worker)
{
  FbWorker *w = fb_rack_worker (self, worker);
  w->in_flight = FALSE;
  w->sync_at_ms = now_ms + FB_RACK_SYNC_PERIOD_MS / 4;
  fb_counter_add (FB_COUNTER_WORKER_ERRORS, 1);
}
