/* Orders to workers (start, stop and poll) and the handling of their answers.
 *
 * An order without an answer may still be carried out. An unanswered start counts as using its
 * resources until a poll made after the start's deadline does not list the run: from then on the
 * worker would refuse the start as late. */
#include "internal/pool-crash.h"
#include "internal/pool-order.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "fb-histogram.h"

/* Timeout of a poll: answers take some 10 ms, the rest allows for a slow daemon or network. */
#define POLL_TIMEOUT_MS 600
/* Timeout of the first poll of a worker. A takeover waits for each worker's first answer; with
 * POLL_TIMEOUT_MS one lost answer delayed it by 0.7 s (the 95th percentile of takeovers). Each
 * retry doubles the timeout. */
#define FIRST_POLL_TIMEOUT_MS 150
/* Pause after a worker refused a start or left it unanswered. */
#define REFUSAL_PAUSE_MS 300

const char *
fb_order_result_name (FbOrderResult result)
{
  static const char *const names[] = { [FB_ORDER_DONE] = "done",
                                       [FB_ORDER_FENCED] = "fenced",
                                       [FB_ORDER_SUPERSEDED] = "superseded",
                                       [FB_ORDER_PAST_DEADLINE] = "late",
                                       [FB_ORDER_NO_CAPACITY] = "no-room",
                                       [FB_ORDER_BAD_TICKET] = "bad-ticket",
                                       [FB_ORDER_NOT_DONE] = "not-done",
                                       [FB_ORDER_OTHER_INCARNATION] = "other-life",
                                       [FB_ORDER_NO_LISTENER] = "no-listener",
                                       [FB_ORDER_UNKNOWN] = "unknown" };
  return names[MIN (result, FB_ORDER_UNKNOWN)];
}

/* What an open order to start or stop a run is about. */
typedef struct
{
  char *worker; /* id of the worker */
  char *task;   /* name of the task */
  uint32_t attempt;
  gboolean is_start;
  uint64_t sent_ms;
  uint64_t sent_clock_ms; /* lower bound of the worker's clock at SENT_MS */
  uint32_t incarnation;   /* FbPoolWorker.incarnation of the worker that it was sent to */
} FbPoolOrderRef;

static void
order_ref_free (gpointer data)
{
  FbPoolOrderRef *ref = data;
  g_free (ref->worker);
  g_free (ref->task);
  g_free (ref);
}

GHashTable *
fb_pool_orders_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, order_ref_free);
}

gboolean
fb_pool_order_is_open (const FbPool *self, uint64_t order)
{
  return order != 0 && g_hash_table_contains (self->open_orders, &order);
}

static uint64_t
add_order (FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run, uint64_t now_ms)
{
  FbPoolOrderRef *ref = g_new0 (FbPoolOrderRef, 1);
  ref->worker = g_strdup (worker->id);
  ref->task = g_strdup (run->name);
  ref->attempt = run->attempt;
  ref->is_start = run->state != FB_RUN_STOPPING;
  ref->sent_ms = now_ms;
  ref->sent_clock_ms = fb_pool_worker_clock_min (worker, now_ms);
  ref->incarnation = worker->incarnation;
  uint64_t *key = g_new (uint64_t, 1);
  *key = ++self->last_order;
  g_hash_table_insert (self->open_orders, key, ref);
  return *key;
}

/* TRUE when an answer of CLOCK_MS to the order REF is certainly not of WORKER but of a later
 * incarnation, whose clock started anew. */
static gboolean
is_of_other_incarnation (const FbPoolOrderRef *ref, const FbPoolWorker *worker, uint64_t clock_ms)
{
  return worker->may_restart
         && (ref->incarnation != worker->incarnation || clock_ms < ref->sent_clock_ms);
}

/* Removes ORDER from the open orders.
 *
 * *RESULT becomes FB_ORDER_UNKNOWN when it tells nothing about its worker. *IS_OTHER: CLOCK_MS is
 * of another incarnation than the worker.
 *
 * Returns: its worker, NULL if unknown. *RUN is NULL when the run is over already, even if another
 * attempt of its task is on the worker. */
static FbPoolWorker *
remove_order (FbPool *self, uint64_t order, uint64_t clock_ms, FbPoolRun **run,
              FbOrderResult *result, gboolean *is_other)
{
  FbPoolOrderRef *ref = g_hash_table_lookup (self->open_orders, &order);
  *run = NULL;
  *is_other = FALSE;
  if (ref == NULL)
    return NULL;
  FbPoolWorker *worker = g_hash_table_lookup (self->workers, ref->worker);
  if (worker != NULL)
    {
      *run = g_hash_table_lookup (worker->runs, ref->task);
      *result = fb_pool_worker_call_result (worker, *result, ref->sent_ms);
      /* It may be the answer of a worker that was there before this one. */
      if (*result == FB_ORDER_OTHER_INCARNATION && ref->incarnation != worker->incarnation)
        *result = FB_ORDER_UNKNOWN;
      *is_other = is_of_other_incarnation (ref, worker, clock_ms);
    }
  if (*run != NULL && (*run)->attempt != ref->attempt)
    *run = NULL;
  g_hash_table_remove (self->open_orders, &order);
  return worker;
}

/* TRUE when REF is an order about RUN, which is or was on WORKER. */
static gboolean
is_about_run (const FbPoolOrderRef *ref, const FbPoolWorker *worker, const FbPoolRun *run)
{
  return ref->attempt == run->attempt && g_str_equal (ref->task, run->name)
         && g_str_equal (ref->worker, worker->id);
}

void
fb_pool_orders_move (FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run,
                     const FbPoolWorker *next)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->open_orders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolOrderRef *ref = value;
      if (!is_about_run (ref, worker, run))
        continue;
      g_free (ref->worker);
      ref->worker = g_strdup (next->id);
    }
}

void
fb_pool_orders_run_absent (FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run,
                           uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->open_orders);
  while (worker->may_restart && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const FbPoolOrderRef *ref = value;
      if (ref->is_start && is_about_run (ref, worker, run))
        fb_pool_unanswered_start_add (self, worker->id, worker->address, run->name, run->attempt,
                                      ref->sent_ms, now_ms);
    }
}

uint32_t
fb_pool_next_attempt (const FbPool *self, const FbPoolStep *step, uint32_t index)
{
  const FbPoolTask *task = &step->tasks[index];
  uint32_t attempt = task->attempt;
  /* A start that is not ordered yet has its number already. */
  if (task->run != NULL)
    attempt = MAX (attempt, task->run->attempt);
  if (step->job->restored)
    attempt = MAX (attempt, (uint32_t) (self->epoch * FB_POOL_ATTEMPTS_PER_EPOCH));
  return attempt + 1;
}

void
fb_pool_order_start (FbPool *self, FbPoolWorker *worker, FbPoolStep *step, uint32_t index,
                     uint32_t attempt, uint64_t now_ms)
{
  g_autofree char *name = fb_pool_task_name (step, index);
  FbPoolTask *task = &step->tasks[index];
  FbPoolRun *run = fb_pool_worker_add_run (worker, step, index, name, attempt);
  run->state = FB_RUN_STARTING;
  run->started_ms = now_ms;
  run->from_start = task->checkpoint == NULL;
  fb_pool_worker_throttle (worker, now_ms);
  fb_pool_order_count_start (self, step);
  fb_pool_task_attach_run (task, run);
  fb_pool_crash_task_placed (worker, step, index);
  fb_pool_long_running_placed (self, step, run, now_ms);
  if (fb_pool_start_needs_record (step, index))
    fb_pool_start_await_record (self, worker, run, now_ms);
  else
    fb_pool_order_placed_start (self, worker, run, now_ms);
}

/* Returns: why RUN is started, as a static text for the log. */
static const char *
start_reason (const FbPoolRun *run)
{
  const FbPoolTask *task = &run->step->tasks[run->index];
  if (run->is_copy)
    return "copy";
  if (task->last_outcome != NULL)
    return task->last_outcome;
  return run->step->job->restored && !run->step->job->never_started ? "not found" : "first";
}

static void
log_start (const FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run, uint64_t now_ms)
{
  g_autofree char *confirmation = fb_pool_describe_confirmation (self, run->step);
  fb_event_log (FB_EVENT_TASK_PLACED,
                "task=%s attempt=%u worker=%s cpu_used=%" G_GINT64_FORMAT
                " cpu=%u mem_used=%" G_GINT64_FORMAT " heard_ms_ago=%" G_GUINT64_FORMAT
                " slowness=%.2f tightness=%.2f epoch=%" G_GUINT64_FORMAT " why=\"%s\"%s",
                run->name, run->attempt, worker->id, worker->cpu_used, worker->cpu_milli,
                worker->mem_used, now_ms - worker->last_answer_ms, worker->speed->slowness,
                run->step->job->tightness, self->epoch, start_reason (run), confirmation);
}

void
fb_pool_order_placed_start (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms)
{
  FbPoolStep *step = run->step;
  FbPoolTask *task = &step->tasks[run->index];
  const FbPoolWorkerAdvice *ticket = fb_pool_valid_ticket (step, worker, now_ms);
  run->awaits_record = FALSE;
  run->deadline_ms = fb_pool_worker_clock_min (worker, now_ms) + FB_POOL_START_WINDOW_MS;
  run->started_ms = now_ms;
  if (!self->has_started)
    fb_histogram_add (FB_HISTOGRAM_POOL_FIRST_START, now_ms - self->created_ms);
  self->has_started = TRUE;
  run->order = add_order (self, worker, run, now_ms);
  worker->lease_ms = MAX (worker->lease_ms, run->deadline_ms);
  worker->deadline_sent_ms = now_ms;
  task->attempt = run->attempt;
  if (!step->job->started)
    {
      fb_histogram_add (FB_HISTOGRAM_FIRST_START, now_ms - step->job->admitted_ms);
      fb_pool_forecast_started (self, step->job, now_ms);
    }
  step->job->started = TRUE;
  if (step->job->state == FB_WORK_QUEUED)
    step->job->state = FB_WORK_RUNNING;
  fb_counter_add (FB_COUNTER_PLACEMENTS, 1);
  log_start (self, worker, run, now_ms);
  const FbStartOrder order = { .order = run->order,
                               .worker = worker->id,
                               .address = worker->address,
                               .epoch = self->epoch,
                               .task = run->name,
                               .attempt = run->attempt,
                               .payload = step->job->record.spec.payload,
                               .checkpoint = task->checkpoint != NULL ? task->checkpoint : "",
                               .ticket = ticket != NULL ? ticket->ticket : NULL,
                               .deadline_ms = run->deadline_ms };
  self->callbacks->start (self->user, &order);
}

void
fb_pool_order_stop (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms)
{
  run->state = FB_RUN_STOPPING;
  run->stop_sent_ms = now_ms;
  if (run->awaits_record)
    return;
  if (run->stops_n++ == 0)
    run->stop_ordered_ms = now_ms;
  run->order = add_order (self, worker, run, now_ms);
  fb_event_log (FB_EVENT_TASK_STOPPING, "task=%s attempt=%u worker=%s epoch=%" G_GUINT64_FORMAT,
                run->name, run->attempt, worker->id, self->epoch);
  const FbStopOrder order = { .order = run->order,
                              .worker = worker->id,
                              .address = worker->address,
                              .epoch = self->epoch,
                              .task = run->name,
                              .attempt = run->attempt };
  self->callbacks->stop (self->user, &order);
}

/* Returns: the timeout of the next poll. */
static uint32_t
poll_timeout_ms (FbPoolWorker *worker)
{
  if (worker->answered)
    return POLL_TIMEOUT_MS;
  worker->first_poll_timeout_ms = worker->first_poll_timeout_ms == 0
                                      ? FIRST_POLL_TIMEOUT_MS
                                      : 2 * worker->first_poll_timeout_ms;
  worker->first_poll_timeout_ms = MIN (worker->first_poll_timeout_ms, POLL_TIMEOUT_MS);
  return worker->first_poll_timeout_ms;
}

uint64_t
fb_pool_first_poll_retry_ms (const FbPoolWorker *worker, uint64_t now_ms)
{
  if (worker->first_poll_timeout_ms <= FIRST_POLL_TIMEOUT_MS)
    return now_ms;
  /* A lost answer has taken its whole timeout, but a reset connection fails at once and would be
   * retried in every pass. */
  return MAX (now_ms, worker->poll_sent_ms + worker->first_poll_timeout_ms / 2);
}

void
fb_pool_first_poll_ended (FbPool *self, FbPoolWorker *worker)
{
  self->first_polls_open_n -= worker->first_poll_open;
  worker->first_poll_open = FALSE;
}

gboolean
fb_pool_has_pending_acknowledgement (const FbPoolWorker *worker)
{
  return worker->may_restart && worker->acknowledged > worker->confirmed_acknowledged;
}

/* TRUE when WORKER has not listed some run since that run was started. The run may be on a later
 * incarnation, because an answer to a start does not identify the incarnation that sent it. */
static gboolean
has_unlisted_run (const FbPoolWorker *worker)
{
  /* While has_unknown_end is set, unlisted runs are not dropped, so waiting for them might never
   * end; and a worker with a full list of ends lists further ends only after an
   * acknowledgement. */
  if (worker->has_unknown_end)
    return FALSE;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const FbPoolRun *run = value;
      if (run->listed_ms == 0 && !run->awaits_record)
        return TRUE;
    }
  return FALSE;
}

/* A worker may restart under its id while a start and a poll are in flight. The new incarnation
 * carries out the start, and then discards the end of that run, because the poll acknowledges the
 * same number of the earlier incarnation; the finished task runs again. To prevent this, an end of
 * such a worker is acknowledged only once, by a poll that does not wait, when every run started
 * there has been listed; nothing starts there until then. */
static gboolean
may_acknowledge (const FbPoolWorker *worker)
{
  if (fb_pool_worker_poll_failed (worker))
    return FALSE;
  return !worker->may_restart
         || (fb_pool_has_pending_acknowledgement (worker) && !has_unlisted_run (worker));
}

gboolean
fb_pool_may_poll_again (const FbPoolWorker *worker)
{
  return !fb_pool_has_pending_acknowledgement (worker) || !has_unlisted_run (worker);
}

void
fb_pool_order_poll (FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  if (worker->poll_open || self->fenced)
    return;
  gboolean acknowledges = may_acknowledge (worker);
  uint64_t lease_ms = MIN (FB_POOL_LEASE_MS, self->limits.max_lease_ms);
  FbPollOrder order = { .worker = worker->id,
                        .address = worker->address,
                        .epoch = self->epoch,
                        .acknowledged = acknowledges ? worker->acknowledged : 0,
                        .timeout_ms = poll_timeout_ms (worker) };
  worker->poll_acknowledges = worker->may_restart ? order.acknowledged : 0;
  /* If each poll extended the lease of a silent worker, which may still receive it, the lease would
   * never end and its tasks would never start again. So a silent worker is polled without a lease,
   * and the last lease runs out. */
  if (worker->answered && !worker->closed && !fb_pool_worker_silent (worker, now_ms)
      && now_ms < self->leases_until_ms)
    order.deadline_ms = fb_pool_worker_clock_min (worker, now_ms) + lease_ms;
  /* While a worker has ends that may not be acknowledged yet, it answers each poll at once, so the
   * poll requests no wait. */
  if (worker->answered && worker->acknowledged == worker->processed_end && !worker->has_unknown_end
      && !fb_pool_has_pending_acknowledgement (worker) && !worker->has_failed_stop)
    order.wait_ms = FB_POOL_POLL_WAIT_MS;
  worker->lease_ms = MAX (worker->lease_ms, order.deadline_ms);
  if (order.deadline_ms != 0)
    worker->deadline_sent_ms = now_ms;
  worker->poll_open = TRUE;
  worker->first_poll_open = !worker->answered;
  self->first_polls_open_n += worker->first_poll_open;
  worker->poll_sent_ms
      = worker->outlived_poll_sent_ms != 0 ? worker->outlived_poll_sent_ms : now_ms;
  self->callbacks->poll (self->user, &order);
}

/* Returns: (nullable): a run of task INDEX that the task may depend on. */
static FbPoolRun *
find_other_run (const FbPool *self, const FbPoolStep *step, uint32_t index)
{
  g_autofree char *name = fb_pool_task_name (step, index);
  guint slot = 0;
  const FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      FbPoolRun *run = g_hash_table_lookup (worker->runs, name);
      if (run != NULL && run->step == step && !run->abandoned && !run->is_tombstone)
        return run;
    }
  return NULL;
}

void
fb_pool_run_ended (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, const char *outcome,
                   uint64_t now_ms)
{
  FbPoolStep *step = run->step;
  uint32_t index = run->index;
  FbPoolTask *task = step != NULL ? &step->tasks[index] : NULL;
  gboolean was_current = task != NULL && task->run == run;
  gboolean ran = run->seen_clock_ms > 0;
  if (task != NULL)
    task->last_outcome = outcome;
  fb_pool_worker_drop_run (worker, run);
  if (was_current && task->run == NULL && task->known_runs_n > 0)
    task->run = find_other_run (self, step, index);
  fb_pool_worker_gained_capacity (self, worker);
  if (step != NULL && step->job->cancelled_ms != 0)
    fb_histogram_add (FB_HISTOGRAM_CANCEL, now_ms - step->job->cancelled_ms);
  if (was_current && ran)
    fb_pool_long_running_ended (step, index, outcome, now_ms);
  if (was_current || (task != NULL && fb_pool_task_is_pending (task)))
    fb_pool_task_requeue (self, step, index);
}

/* The worker refused the start: the run is not there and never will be. */
static void
start_refused (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, FbOrderResult result,
               uint64_t now_ms)
{
  FbPoolStep *step = run->step;
  fb_event_log (FB_EVENT_TASK_REFUSED,
                "task=%s attempt=%u worker=%s reason=%s epoch=%" G_GUINT64_FORMAT, run->name,
                run->attempt, worker->id, fb_order_result_name (result), self->epoch);
  /* The worker stays allowed, so that a new ticket is requested for it. */
  if (result == FB_ORDER_BAD_TICKET)
    fb_pool_worker_advice_expire_ticket (step, worker);
  if (result != FB_ORDER_SUPERSEDED && result != FB_ORDER_BAD_TICKET)
    worker->paused_until_ms = now_ms + REFUSAL_PAUSE_MS;
  gboolean gang = step->spec->gang;
  fb_pool_crash_task_absent (self, worker, step, run->index);
  fb_pool_run_ended (self, worker, run, "refused", now_ms);
  if (gang)
    fb_pool_stop_gang (self, step, now_ms);
}

/* Handles an answer that concerns WORKER (nullable) as a whole.
 *
 * Returns: FALSE when the answer concerns the run only. */
static gboolean
handle_worker_answer (FbPool *self, FbPoolWorker *worker, FbOrderResult result, uint64_t now_ms)
{
  if (result == FB_ORDER_FENCED)
    fb_pool_fenced (self, worker);
  else if (result == FB_ORDER_OTHER_INCARNATION && worker != NULL)
    fb_pool_worker_lost (self, worker, FB_LOSS_OTHER_INCARNATION, NULL, now_ms);
  else
    return FALSE;
  return TRUE;
}

void
fb_pool_start_answered (FbPool *self, uint64_t order, FbOrderResult result, uint64_t clock_ms,
                        uint64_t now_ms)
{
  FbPoolRun *run = NULL;
  gboolean is_other = FALSE;
  FbPoolWorker *worker = remove_order (self, order, clock_ms, &run, &result, &is_other);
  if (handle_worker_answer (self, worker, result, now_ms))
    return;
  if (run == NULL || (run->order != order && run->state != FB_RUN_STOPPING))
    return;
  if (result == FB_ORDER_DONE && run->transferred_ms != 0)
    run->unanswered = TRUE; /* either incarnation may have sent this answer */
  else if (result == FB_ORDER_DONE && is_other)
    {
      /* No list of WORKER proves that the run is over: it is transferred once the other incarnation
       * is known. */
      run->unanswered = TRUE;
      run->deadline_ms = G_MAXUINT64;
      worker->next_poll_ms = now_ms;
    }
  else if (result == FB_ORDER_DONE)
    {
      run->seen_clock_ms = MAX (run->seen_clock_ms, clock_ms);
      fb_pool_crash_task_seen (self, worker, run);
      fb_pool_crash_start_answered (self, worker, run);
      if (run->state == FB_RUN_STARTING)
        run->state = FB_RUN_RUNNING;
    }
  else if (result != FB_ORDER_UNKNOWN)
    {
      if (run->seen_clock_ms == 0)
        start_refused (self, worker, run, result, now_ms);
    }
  else
    {
      fb_event_log (FB_EVENT_ORDER_UNANSWERED, "task=%s attempt=%u worker=%s heard_ms_ago=%u",
                    run->name, run->attempt, worker->id, (guint) (now_ms - worker->last_answer_ms));
      worker->paused_until_ms = now_ms + REFUSAL_PAUSE_MS;
      run->unanswered = TRUE;
      fb_pool_crash_start_answered (self, worker, run);
      if (worker->may_restart)
        fb_pool_unanswered_start_add (self, worker->id, worker->address, run->name, run->attempt,
                                      run->started_ms, now_ms);
      /* The other members would wait for this one until their own timeout. */
      if (run->step->spec->gang)
        fb_pool_stop_gang (self, run->step, now_ms);
    }
}

void
fb_pool_stop_answered (FbPool *self, uint64_t order, FbOrderResult result, uint64_t clock_ms,
                       uint64_t now_ms)
{
  FbPoolRun *run = NULL;
  gboolean is_other = FALSE;
  FbPoolWorker *worker = remove_order (self, order, clock_ms, &run, &result, &is_other);
  if (handle_worker_answer (self, worker, result, now_ms))
    return;
  if (run != NULL && run->order == order)
    fb_pool_stop_handle_answer (worker, run, result == FB_ORDER_DONE && !is_other ? clock_ms : 0);
}
