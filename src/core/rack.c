/* A rack: construction, the lifecycle of a task, leases and timed work. */
#include "internal/rack-private.h"

#include "fb-counter.h"
#include "fb-event.h"

#define WORKER_PROBE_FIRST_MS 2000

static void
worker_free (gpointer data)
{
  FbWorker *worker = data;
  g_ptr_array_free (worker->tasks, TRUE);
  g_free (worker->name);
  g_free (worker);
}

static void
task_free (gpointer data)
{
  FbTask *task = data;
  fb_spec_clear (&task->spec);
  g_clear_pointer (&task->answer, g_bytes_unref);
  g_free (task);
}

FbTask *
fb_task_new (uint64_t now_ms, const fb_spec *spec)
{
  FbTask *task = g_new0 (FbTask, 1);
  fb_spec_copy (&task->spec, spec);
  task->worker = FB_NO_WORKER;
  task->last_worker = FB_NO_WORKER;
  task->arrived_ms = now_ms - MIN (now_ms, spec->waited_ms);
  task->due_ms = fb_deadline_after (now_ms, spec->remaining_ms);
  task->rank_ms = fb_task_queue_rank ((FbKind) spec->kind, task->arrived_ms, task->due_ms);
  return task;
}

FbRack *
fb_rack_new (uint32_t id, const char *name, uint32_t home_partner, uint64_t epoch,
             const FbRackCallbacks *callbacks, gpointer user)
{
  FbRack *self = g_new0 (FbRack, 1);
  self->id = id;
  self->name = name;
  self->home = home_partner;
  self->epoch = epoch;
  self->callbacks = callbacks;
  self->user = user;
  self->policy = (FbRackPolicy){ 1000, &fb_place_accel_guard, FB_RACK_QUEUE_MAX, NULL };
  self->workers = g_ptr_array_new_with_free_func (worker_free);
  self->tasks = g_hash_table_new_full (fb_run_hash, fb_run_equal, NULL, task_free);
  self->queues = fb_task_queues_new ();
  self->by_due = g_sequence_new (NULL);
  self->team_used = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  self->range_epochs = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  self->hold_worker = FB_NO_WORKER;
  g_queue_init (&self->ended);
  return self;
}

void
fb_rack_free (FbRack *self)
{
  g_queue_clear (&self->ended);
  g_sequence_free (self->by_due);
  fb_task_queues_free (self->queues);
  g_hash_table_destroy (self->tasks);
  g_hash_table_destroy (self->team_used);
  g_hash_table_destroy (self->range_epochs);
  g_ptr_array_free (self->workers, TRUE);
  g_free (self);
}

void
fb_rack_set_policy (FbRack *self, const FbRackPolicy *policy)
{
  self->policy = *policy;
  self->schedule_pending = TRUE;
}

guint
fb_rack_add_worker (FbRack *self, const char *name, const fb_res *capacity)
{
  FbWorker *worker = g_new0 (FbWorker, 1);
  worker->name = g_strdup (name);
  worker->capacity = *capacity;
  worker->state = FB_WORKER_UNKNOWN;
  worker->dirty = TRUE;
  worker->probe_wait_ms = WORKER_PROBE_FIRST_MS;
  worker->tasks = g_ptr_array_new ();
  g_ptr_array_add (self->workers, worker);
  fb_res_add (&self->total, capacity);
  return self->workers->len - 1;
}

FbWorker *
fb_rack_worker (const FbRack *self, guint index)
{
  return g_ptr_array_index (self->workers, index);
}

FbTask *
fb_rack_find (const FbRack *self, const fb_run *run)
{
  return g_hash_table_lookup (self->tasks, run);
}

void
fb_rack_mark_dirty (FbRack *self, guint worker)
{
  if (worker != FB_NO_WORKER)
    fb_rack_worker (self, worker)->dirty = TRUE;
}

gboolean
fb_rack_is_complete (const FbRack *self)
{
  for (guint i = 0; i < self->workers->len; i++)
    {
      if (fb_rack_worker (self, i)->state == FB_WORKER_UNKNOWN)
        return FALSE;
    }
  return TRUE;
}

void
fb_rack_report (FbRack *self, const fb_spec *spec, guint worker, FbRunStatus run_status,
                FbReason reason, GBytes *answer)
{
  gsize len = 0;
  const char *data = answer != NULL ? g_bytes_get_data (answer, &len) : NULL;
  fb_report report = { .run = spec->run,
                       .range = spec->range,
                       .rack = self->id,
                       .rack_epoch = self->epoch,
                       .run_status = run_status,
                       .reason = reason,
                       .worker = worker,
                       .answer = { (u_int) len, (char *) data } };
  self->callbacks->report (self->user, self, &report);
}

void
fb_rack_send_run_status (FbRack *self, const FbTask *task, FbRunStatus run_status, FbReason reason)
{
  fb_rack_report (self, &task->spec, task->worker, run_status, reason, task->answer);
}

static int
compare_due (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void) unused;
  const FbTask *x = a;
  const FbTask *y = b;
  return (x->due_ms > y->due_ms) - (x->due_ms < y->due_ms);
}

void
fb_rack_enqueue (FbRack *self, FbTask *task)
{
  task->state = FB_TASK_QUEUED;
  fb_task_queues_insert (self->queues, task);
  if (task->due_ms != FB_NO_DEADLINE_MS)
    task->due_pos = g_sequence_insert_sorted (self->by_due, task, compare_due, NULL);
  self->schedule_pending = TRUE;
}

void
fb_rack_dequeue (FbRack *self, FbTask *task)
{
  if (task->queue_pos != NULL)
    fb_task_queues_remove (self->queues, task);
  if (task->due_pos != NULL)
    g_sequence_remove (task->due_pos);
  task->due_pos = NULL;
  if (self->hold_worker != FB_NO_WORKER && fb_run_equal (&self->hold_run, &task->spec.run))
    self->hold_worker = FB_NO_WORKER;
}

void
fb_rack_end_task (FbRack *self, uint64_t now_ms, FbTask *task, FbRunStatus run_status,
                  FbReason reason, const char *answer, uint32_t answer_len)
{
  guint worker = task->worker;
  if (task->state != FB_TASK_ENDED)
    g_queue_push_tail (&self->ended, task);
  fb_rack_dequeue (self, task);
  fb_usage_release (self, task);
  task->state = FB_TASK_ENDED;
  task->run_status = run_status;
  task->reason = reason;
  task->report_at_ms = now_ms + FB_RACK_REPORT_PERIOD_MS;
  g_clear_pointer (&task->answer, g_bytes_unref);
  if (answer_len > 0)
    task->answer = g_bytes_new (answer, answer_len);
  fb_rack_report (self, &task->spec, worker, run_status, reason, task->answer);
  fb_event_log (FB_EVENT_RUN_ENDED,
                "job=%016" G_GINT64_MODIFIER "x task=%u attempt=%u rack=%s news=%s reason=%s",
                task->spec.run.job, task->spec.run.index, task->spec.run.attempt, self->name,
                fb_run_status_name (run_status), fb_reason_name (reason));
}

void
fb_rack_remove_task (FbRack *self, FbTask *task)
{
  g_queue_remove (&self->ended, task);
  g_hash_table_remove (self->tasks, &task->spec.run);
}

FbTask *
fb_rack_adopt (FbRack *self, uint64_t now_ms, guint worker, const fb_spec *spec)
{
  FbTask *task = fb_task_new (now_ms, spec);
  task->state = FB_TASK_RUNNING;
  task->started_ms = now_ms;
  g_hash_table_insert (self->tasks, &task->spec.run, task);
  fb_usage_charge (self, task, worker, &spec->demand);
  task->last_worker = worker;
  return task;
}

void
fb_rack_stop_task (FbRack *self, FbTask *task, FbReason reason)
{
  task->state = FB_TASK_STOPPING;
  task->stop_reason = reason;
  task->checkpoint_stop = (task->spec.flags & FB_FLAG_CHECKPOINT) != 0;
  fb_rack_mark_dirty (self, task->worker);
}

gboolean
fb_task_never_sent (const FbTask *task)
{
  return task->state == FB_TASK_QUEUED || task->state == FB_TASK_RESERVED
         || (task->state == FB_TASK_STARTING && task->sent_seq == 0);
}

static void
end_past_due (FbRack *self, uint64_t now_ms)
{
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (self->by_due);
      if (g_sequence_iter_is_end (first))
        return;
      FbTask *task = g_sequence_get (first);
      if (task->due_ms > now_ms)
        return;
      fb_rack_end_task (self, now_ms, task, FB_RUN_STATUS_NOT_RUN, FB_REASON_PAST_DUE, NULL, 0);
    }
}

static void
end_expired_reservations (FbRack *self, uint64_t now_ms)
{
  for (guint i = 0; i < self->workers->len; i++)
    {
      FbWorker *w = fb_rack_worker (self, i);
      for (guint t = w->tasks->len; t > 0; t--)
        {
          FbTask *task = g_ptr_array_index (w->tasks, t - 1);
          gboolean past_due = task->due_ms <= now_ms;
          if (task->state == FB_TASK_RESERVED && (past_due || task->reserved_until_ms <= now_ms))
            fb_rack_end_task (self, now_ms, task, FB_RUN_STATUS_NOT_RUN,
                              past_due ? FB_REASON_PAST_DUE : FB_REASON_EXPIRED, NULL, 0);
          else if (task->state == FB_TASK_STARTING && task->sent_seq == 0 && past_due)
            fb_rack_end_task (self, now_ms, task, FB_RUN_STATUS_NOT_RUN, FB_REASON_PAST_DUE, NULL,
                              0);
        }
    }
}

static void
resend_reports (FbRack *self, uint64_t now_ms)
{
  for (GList *link = self->ended.head; link != NULL; link = link->next)
    {
      FbTask *task = link->data;
      if (task->acked || task->report_at_ms > now_ms)
        continue;
      task->report_at_ms = now_ms + FB_RACK_REPORT_PERIOD_MS;
      fb_rack_send_run_status (self, task, task->run_status, task->reason);
    }
}

void
fb_rack_drain (FbRack *self, uint64_t now_ms)
{
  self->draining = TRUE;
  g_autoptr (GPtrArray) waiting = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (fb_task_never_sent (value))
        g_ptr_array_add (waiting, value);
    }
  for (guint i = 0; i < waiting->len; i++)
    fb_rack_end_task (self, now_ms, g_ptr_array_index (waiting, i), FB_RUN_STATUS_NOT_RUN,
                      FB_REASON_LEAVING, NULL, 0);
}

static void
check_leases (FbRack *self, uint64_t now_ms)
{
  const uint64_t lease_expiry_ms
      = FB_RACK_LEASE_MS + FB_RACK_LEASE_MS * FB_RACK_CLOCK_DRIFT_PERCENT / 100;
  gboolean confirm = FALSE;
  for (guint i = 0; i < self->workers->len; i++)
    {
      FbWorker *w = fb_rack_worker (self, i);
      if (w->state == FB_WORKER_OK && now_ms - w->last_reply_ms >= lease_expiry_ms)
        {
          w->state = FB_WORKER_SILENT;
          fb_event_log (FB_EVENT_WORKER_SILENT, "rack=%s worker=%s", self->name, w->name);
        }
      if (w->state == FB_WORKER_UNKNOWN && w->unlisted_since_ms > 0
          && now_ms - w->unlisted_since_ms >= lease_expiry_ms)
        w->state = FB_WORKER_GONE;
      gboolean unconfirmed = w->state == FB_WORKER_OK && w->confirmed_incarnation != w->incarnation;
      confirm = confirm || unconfirmed || w->state == FB_WORKER_SILENT;
    }
  if (confirm && now_ms - self->confirm_requested_ms >= FB_RACK_REPORT_PERIOD_MS)
    {
      self->confirm_requested_ms = now_ms;
      self->callbacks->confirm_ownership (self->user, self);
    }
}

/* Confirms the incarnations of workers that were seen before the log was read. Nothing starts on
 * a new incarnation of a worker until the log, read after the first reply of that incarnation,
 * has confirmed this owner. A worker that restarts loses the highest epoch that it has accepted;
 * its new incarnation would accept the requests of an owner that was replaced but has not
 * noticed it yet, and that owner could start runs that its successor has reported as not
 * started. */
static void
confirm_incarnations (FbRack *self, uint64_t requested_ms)
{
  for (guint i = 0; i < self->workers->len; i++)
    {
      FbWorker *w = fb_rack_worker (self, i);
      if (w->state == FB_WORKER_OK && w->incarnation_seen_ms <= requested_ms)
        w->confirmed_incarnation = w->incarnation;
    }
  self->schedule_pending = TRUE;
}

void
fb_rack_set_confirmed_incarnation (FbRack *self, guint worker, uint64_t incarnation)
{
  fb_rack_worker (self, worker)->confirmed_incarnation = incarnation;
}

/* A lease counts as expired only if the log, read after the expiry, still names this daemon as
 * the owner. Otherwise an owner that reaches neither the log nor its workers could report a run
 * as lost although a successor has claimed the rack and renewed the lease; the range would start
 * the run again, and it would run twice at the same time. If a successor claims the rack after
 * that read, the worker has already stopped the run. */
void
fb_rack_ownership_confirmed (FbRack *self, uint64_t now_ms, uint64_t requested_ms)
{
  const uint64_t lease_expiry_ms
      = FB_RACK_LEASE_MS + FB_RACK_LEASE_MS * FB_RACK_CLOCK_DRIFT_PERCENT / 100;
  confirm_incarnations (self, requested_ms);
  for (guint i = 0; i < self->workers->len; i++)
    {
      FbWorker *w = fb_rack_worker (self, i);
      if (w->state != FB_WORKER_SILENT || w->last_reply_ms + lease_expiry_ms > requested_ms)
        continue;
      w->state = FB_WORKER_LEASE_EXPIRED;
      while (w->tasks->len > 0)
        {
          FbTask *task = g_ptr_array_index (w->tasks, w->tasks->len - 1);
          if (fb_task_never_sent (task))
            {
              fb_rack_end_task (self, now_ms, task, FB_RUN_STATUS_NOT_RUN, FB_REASON_WORKER_LOST,
                                NULL, 0);
              continue;
            }
          fb_counter_add (FB_COUNTER_LOST_RUNS, 1);
          fb_event_log (FB_EVENT_RUN_LOST,
                        "job=%016" G_GINT64_MODIFIER "x task=%u attempt=%u rack=%s worker=%s",
                        task->spec.run.job, task->spec.run.index, task->spec.run.attempt,
                        self->name, w->name);
          fb_rack_end_task (self, now_ms, task, FB_RUN_STATUS_LOST, FB_REASON_WORKER_LOST, NULL, 0);
        }
    }
}

void
fb_rack_worker_changed (FbRack *self, guint worker)
{
  fb_rack_mark_dirty (self, worker);
}

void
fb_rack_set_leaving (FbRack *self, uint64_t now_ms, guint worker, gboolean leaving)
{
  FbWorker *w = fb_rack_worker (self, worker);
  if (w->leaving == leaving)
    return;
  w->leaving = leaving;
  if (!leaving)
    {
      self->schedule_pending = TRUE;
      return;
    }
  fb_event_log (FB_EVENT_WORKER_LEAVING, "rack=%s worker=%s", self->name, w->name);
  for (guint i = w->tasks->len; i > 0; i--)
    {
      FbTask *task = g_ptr_array_index (w->tasks, i - 1);
      if (fb_task_never_sent (task))
        fb_rack_end_task (self, now_ms, task, FB_RUN_STATUS_NOT_RUN, FB_REASON_LEAVING, NULL, 0);
      else if (task->state == FB_TASK_RUNNING && (task->spec.flags & FB_FLAG_PREEMPTIBLE))
        fb_rack_stop_task (self, task, FB_REASON_LEAVING);
    }
}

void
fb_rack_set_gone (FbRack *self, uint64_t now_ms, guint worker)
{
  FbWorker *w = fb_rack_worker (self, worker);
  if (w->unlisted_since_ms == 0)
    w->unlisted_since_ms = MAX (now_ms, 1);
}

void
fb_rack_tick (FbRack *self, uint64_t now_ms)
{
  end_past_due (self, now_ms);
  end_expired_reservations (self, now_ms);
  check_leases (self, now_ms);
  fb_worker_health_tick (self, now_ms);
  resend_reports (self, now_ms);
  if (fb_task_queues_count (self->queues) > 0)
    self->schedule_pending = TRUE;
}

void
fb_rack_pause_starts (FbRack *self, uint64_t until_ms)
{
  self->starts_paused_until_ms = until_ms;
}

void
fb_rack_flush (FbRack *self, uint64_t now_ms)
{
  if (self->schedule_pending && now_ms >= self->starts_paused_until_ms)
    {
      self->schedule_pending = FALSE;
      fb_rack_schedule (self, now_ms);
    }
  fb_rack_exchange (self, now_ms);
}
