/* The simulated workers, the orders on their way to them, and the checks of what they start. */
#include "pool-world.h"

#include <stdio.h>
#include <string.h>

void
world_report_violation (World *world, const char *format, ...)
{
  if (world->violation != NULL)
    return;
  va_list args;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  world->violation = g_strdup_printf ("%s (at %u ms)", text, (unsigned) (world->now_ms % 1000000));
}

void
world_trace (const World *world, const char *format, ...)
{
  if (!world->traced)
    return;
  va_list args;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  printf ("%u ms: %s\n", (unsigned) (world->now_ms % 1000000), text);
}

guint
world_random (World *world, guint n)
{
  return (guint) g_rand_int_range (world->rand, 0, (gint32) n);
}

static uint64_t
worker_clock_ms (const World *world, const Worker *worker)
{
  uint64_t ran_ms = world->now_ms - worker->started_ms;
  return worker->clock_start_ms + ran_ms * (1000 - worker->slow_permille) / 1000;
}

static Job *
find_job (World *world, const char *task, guint *step, guint *index)
{
  unsigned occurrence = 0;
  char id[FB_WORK_JOB_ID_CHARS + 1];
  memcpy (id, task, FB_WORK_JOB_ID_CHARS);
  id[FB_WORK_JOB_ID_CHARS] = '\0';
  if (sscanf (task + FB_WORK_JOB_ID_CHARS, ".%u.%u.%u", &occurrence, step, index) != 3)
    return NULL;
  for (guint i = 0; i < world->job_n; i++)
    {
      if (g_str_equal (world->jobs[i].id, id))
        return &world->jobs[i];
    }
  return NULL;
}

Job *
world_find_job (World *world, const char *task)
{
  guint step = 0;
  guint index = 0;
  return find_job (world, task, &step, &index);
}

gboolean
world_allows (const char *task, guint worker)
{
  char job[FB_WORK_JOB_ID_CHARS + 1];
  unsigned occurrence = 0;
  unsigned step = 0;
  g_strlcpy (job, task, sizeof job);
  if (sscanf (task + FB_WORK_JOB_ID_CHARS, ".%u.%u", &occurrence, &step) != 2)
    return FALSE;
  guint drawn = (g_str_hash (job) + step) * 2654435761U;
  return (drawn >> 8) % WORKER_N == worker || (drawn >> (16 + worker) & 1) != 0;
}

/* ---- workers ------------------------------------------------------------------------- */

/* Returns: the maximum CPU that the runs on WORKER may use now. */
static int64_t
capacity_bound (const World *world, const Worker *worker)
{
  gboolean late = world->now_ms > worker->cpu_changed_ms + CAPACITY_GRACE_MS;
  return late ? worker->cpu_milli : MAX (worker->cpu_milli, worker->previous_cpu_milli);
}

void
world_worker_resize (World *world, Worker *worker, int64_t cpu_milli)
{
  worker->previous_cpu_milli = capacity_bound (world, worker);
  worker->cpu_milli = cpu_milli;
  worker->cpu_changed_ms = world->now_ms;
}

void
world_worker_count_crash (World *world, const char *task)
{
  guint step = 0;
  guint index = 0;
  Job *job = find_job (world, task, &step, &index);
  job->plain_crashes[step][index]++;
}

void
world_worker_crash (World *world, Worker *worker, const Run *cause)
{
  worker->up = FALSE;
  world_cancels_worker_crashed (world, worker);
  world_restarts_worker_crashed (world, worker);
  world_trace (world, "%s, incarnation %u, crashes%s%s", worker->id, worker->incarnation,
               cause != NULL ? " by " : "", cause != NULL ? cause->task : "");
  for (guint i = 0; i < worker->runs->len; i++)
    {
      guint step = 0;
      guint index = 0;
      const Run *run = &g_array_index (worker->runs, Run, i);
      Job *job = find_job (world, run->task, &step, &index);
      world_trace (world, "%s, attempt %u, was running on it", run->task, run->attempt);
      world_stops_run_ended (world, run, FB_END_GANG_BROKEN);
      world_conclusions_run_ended (world, worker, run);
      job->plain_crashes[step][index] += cause == NULL;
      job->own_crashes[step][index] += cause == run;
      job->other_crashes[step][index] += cause != NULL && cause != run;
    }
  g_array_set_size (worker->runs, 0);
}

static void
add_end (const World *world, Worker *worker, const Run *run, FbEndReason reason)
{
  End end = { .number = ++worker->last_end_number,
              .attempt = run->attempt,
              .reason = reason,
              .at_ms = world->now_ms };
  memcpy (end.task, run->task, sizeof end.task);
  memcpy (end.checkpoint, run->checkpoint, sizeof end.checkpoint);
  g_array_append_val (worker->ends, end);
  g_hash_table_replace (worker->highest_attempts, g_strdup (run->task),
                        GUINT_TO_POINTER (run->attempt));
}

static void
end_run (World *world, Worker *worker, guint at, FbEndReason reason)
{
  Run run = g_array_index (worker->runs, Run, at);
  world_trace (world, "%s, attempt %u, ends on %s, reason %d", run.task, run.attempt, worker->id,
               (int) reason);
  g_array_remove_index (worker->runs, at);
  if (reason == FB_END_STOPPED)
    world_stops_save_at_stop (&run);
  add_end (world, worker, &run, reason);
  guint step = 0;
  guint index = 0;
  Job *job = find_job (world, run.task, &step, &index);
  job->done_runs[step][index] += reason == FB_END_DONE;
  job->failed_runs[step][index] += reason == FB_END_FAILED;
  world_stops_run_ended (world, &run, reason);
  world_conclusions_run_ended (world, worker, &run);
}

void
world_worker_tick (World *world, Worker *worker)
{
  if (!worker->up && worker->restart_ms != 0 && world->now_ms >= worker->restart_ms)
    world_worker_start (world, (guint) (worker - world->workers));
  if (!worker->up)
    return;
  if (worker->second_crash_ms != 0 && world->now_ms >= worker->second_crash_ms && !world->healing)
    {
      worker->second_crash_ms = 0;
      world_worker_crash (world, worker, NULL);
      worker->restart_ms = world->now_ms + 1 + world_restart_random (world, MAX_RESTART_MS);
      return;
    }
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const Run *run = &g_array_index (worker->runs, Run, i);
      if (run->crash_ms == 0 || world->now_ms < run->crash_ms)
        continue;
      worker->restart_ms = world->now_ms + 2000 + world_random (world, 6000);
      world_worker_crash (world, worker, run);
      return;
    }
  if (world_stops_stands_still (world, worker))
    return;
  gboolean lease_expired = worker_clock_ms (world, worker) >= worker->lease_until_ms;
  for (guint i = 0; lease_expired && i < worker->ends->len; i++)
    g_array_index (worker->ends, End, i).lease_expired = TRUE;
  for (guint i = worker->runs->len; i > 0; i--)
    {
      const Run *run = &g_array_index (worker->runs, Run, i - 1);
      FbEndReason gang_reason = FB_END_DONE;
      if (run->stop_ms != 0 && world->now_ms >= run->stop_ms)
        end_run (world, worker, i - 1, FB_END_STOPPED);
      else if (world_stops_gang_end (world, run, &gang_reason))
        end_run (world, worker, i - 1, gang_reason);
      else if (world->now_ms >= run->end_ms)
        end_run (world, worker, i - 1, run->fails ? FB_END_FAILED : FB_END_DONE);
      else if (lease_expired)
        end_run (world, worker, i - 1, FB_END_LEASE_EXPIRED);
    }
}

/* ---- checks of starts --------------------------------------------------------------- */

static void
check_start (World *world, const Worker *worker, const Order *order)
{
  guint step = 0;
  guint index = 0;
  Job *job = find_job (world, order->task, &step, &index);
  if (job == NULL)
    {
      world_report_violation (world, "%s started without having been submitted", order->task);
      return;
    }
  int64_t cpu_milli = job->record.spec.steps.steps_val[step].cpu_milli;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      guint s = 0;
      guint x = 0;
      const Job *other = find_job (world, g_array_index (worker->runs, Run, i).task, &s, &x);
      cpu_milli += other->record.spec.steps.steps_val[s].cpu_milli;
    }
  if (cpu_milli > capacity_bound (world, worker))
    world_report_violation (world, "the runs on %s use %d of %d CPU milli", worker->id,
                            (int) cpu_milli, (int) capacity_bound (world, worker));
  for (guint i = 0; i < WORKER_N; i++)
    {
      const Worker *other = &world->workers[i];
      gboolean alone = !job->record.spec.steps.steps_val[step].speculative || other == worker;
      /* What ran there was killed with its lease. */
      alone = alone
              && !(world_stops_stands_still (world, other)
                   && worker_clock_ms (world, other) >= other->lease_until_ms);
      for (guint j = 0; alone && other->up && j < other->runs->len; j++)
        {
          if (g_str_equal (g_array_index (other->runs, Run, j).task, order->task))
            world_report_violation (world, "%s runs on %s and %s at the same time", order->task,
                                    other->id, worker->id);
        }
    }
  job->started_ms[step][index] = world->now_ms;
  if (job->end_acknowledged[step][index] && order->sent_ms >= job->late_start_limit_ms[step][index])
    world_report_violation (world, "%s started after its end was acknowledged", order->task);
  if (job->failed_acknowledged[step][index] >= MAX_ATTEMPTS)
    world_report_violation (world, "%s started after %u failed runs", order->task,
                            job->failed_acknowledged[step][index]);
  if (order->sender_stable && job->own_crashes[step][index] >= CRASHED_START_LIMIT
      && ++job->crashed_starts[step][index] == CRASHED_START_LIMIT)
    world_report_violation (world, "%s started %u more times after it had crashed %u workers",
                            order->task, CRASHED_START_LIMIT, CRASHED_START_LIMIT);
  if (step > 0)
    {
      for (u_int i = 0; i < job->record.spec.steps.steps_val[0].count; i++)
        {
          if (job->done_runs[0][i] == 0)
            world_report_violation (world, "%s started before step 0 was done", order->task);
        }
    }
  if (world->cancelling)
    world_cancels_check_start (world, job, order);
  else if (job->cancelled && order->store_read_ms > job->cancelled_ms)
    world_report_violation (world, "%s started after its job was cancelled", order->task);
}

/* ---- execution of orders ------------------------------------------------------------ */

/* A worker shortens a lease to the longest that it grants. */
static void
extend_lease (const World *world, Worker *worker, const Order *order)
{
  uint64_t longest_ms = worker_clock_ms (world, worker) + world->max_lease_ms;
  if (order->deadline_ms > longest_ms)
    world_trace (
        world,
        "a call that was meant for %s, sent at %u ms, gives incarnation %u the longest lease",
        order->worker_name, (unsigned) (order->sent_ms % 1000000), worker->incarnation);
  worker->lease_until_ms = MAX (worker->lease_until_ms, MIN (order->deadline_ms, longest_ms));
}

static FbOrderResult
handle_start (World *world, Worker *worker, const Order *order)
{
  guint highest_attempt
      = GPOINTER_TO_UINT (g_hash_table_lookup (worker->highest_attempts, order->task));
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const Run *run = &g_array_index (worker->runs, Run, i);
      if (g_str_equal (run->task, order->task))
        return run->attempt == order->attempt ? FB_ORDER_DONE : FB_ORDER_SUPERSEDED;
    }
  if (highest_attempt >= order->attempt)
    return FB_ORDER_SUPERSEDED;
  if (worker_clock_ms (world, worker) >= order->deadline_ms)
    return FB_ORDER_PAST_DEADLINE;
  guint step = 0;
  guint index = 0;
  const Job *job = find_job (world, order->task, &step, &index);
  if (job != NULL && job->record.policy.advised && !world_allows (order->task, order->worker))
    return FB_ORDER_BAD_TICKET;
  world_trace (world, "%s, attempt %u, starts on %s, incarnation %u, by epoch %u, sent at %u ms",
               order->task, order->attempt, worker->id, worker->incarnation,
               (unsigned) order->epoch, (unsigned) (order->sent_ms % 1000000));
  check_start (world, worker, order);
  if (job == NULL)
    return FB_ORDER_NOT_DONE;
  Run run = { .attempt = order->attempt,
              /* Some runs last longer than a lease: a pool that wrongly counts such a run as
               * ended starts its task a second time, which is found. */
              .end_ms = world->now_ms + 200
                        + world_random (world, world_random (world, 6) == 0 ? 8000 : 1500),
              .fails = job->always_fails || world_random (world, 12) == 0 };
  /* Some runs end before a second copy of their start arrives. */
  if (world->repeats && world_random (world, 4) == 0)
    run.end_ms = world->now_ms + world_random (world, 100);
  if (world->restarts)
    run.end_ms = MAX (run.end_ms, world->now_ms + world_restarts_min_run_ms (world));
  else if (world->partitions)
    run.end_ms = MAX (run.end_ms, world->now_ms + world_partitions_min_run_ms (world));
  if (world->cancelling)
    run.end_ms = MAX (run.end_ms, world->now_ms + world_cancels_min_run_ms (world));
  if (job->lasting)
    run.end_ms = G_MAXUINT64;
  if (step == 0 && index < job->crashing_tasks)
    {
      run.crash_ms = world->now_ms + world_random (world, 4) * world_random (world, 400);
      run.end_ms = run.crash_ms + 1;
    }
  memcpy (run.task, order->task, sizeof run.task);
  world_stops_start_run (world, order, &run);
  world_conclusions_run_started (world, worker, &run);
  g_array_append_val (worker->runs, run);
  extend_lease (world, worker, order);
  world->starts++;
  return FB_ORDER_DONE;
}

static void
handle_stop (World *world, Worker *worker, const Order *order)
{
  guint highest_attempt
      = GPOINTER_TO_UINT (g_hash_table_lookup (worker->highest_attempts, order->task));
  g_hash_table_replace (worker->highest_attempts, g_strdup (order->task),
                        GUINT_TO_POINTER (MAX (highest_attempt, order->attempt)));
  for (guint i = 0; i < worker->runs->len; i++)
    {
      Run *run = &g_array_index (worker->runs, Run, i);
      if (g_str_equal (run->task, order->task) && run->attempt <= order->attempt
          && run->stop_ms == 0)
        run->stop_ms = world->now_ms + world_stops_delay_ms (world);
    }
}

static void
acknowledge_done (World *world, Job *job, guint step, guint index, const End *end)
{
  /* A second start is allowed when the lease expired before the end was acknowledged, and for a
   * copy of a speculative task.  One that is already sent may arrive after the acknowledgement. */
  gboolean second_start_allowed
      = end->lease_expired || job->record.spec.steps.steps_val[step].speculative;
  if (!second_start_allowed && job->started_ms[step][index] > end->at_ms)
    world_report_violation (world, "%s started after the end that was acknowledged", end->task);
  if (!second_start_allowed)
    job->late_start_limit_ms[step][index] = 0;
  else if (!job->end_acknowledged[step][index])
    job->late_start_limit_ms[step][index] = world->now_ms;
  job->end_acknowledged[step][index] = TRUE;
  world_stops_done_acknowledged (world, job, step);
  world_cancels_end_acknowledged (world, job, end->task);
}

static void
acknowledge (World *world, Worker *worker, uint64_t number)
{
  for (guint i = worker->ends->len; i > 0; i--)
    {
      const End *end = &g_array_index (worker->ends, End, i - 1);
      if (end->number > number)
        continue;
      guint step = 0;
      guint index = 0;
      Job *job = find_job (world, end->task, &step, &index);
      if (end->reason == FB_END_DONE)
        acknowledge_done (world, job, step, index, end);
      job->failed_acknowledged[step][index] += end->reason == FB_END_FAILED;
      g_array_remove_index (worker->ends, i - 1);
    }
  worker->acknowledged = MAX (worker->acknowledged, number);
}

static Owner *
live_sender (World *world, const Order *order)
{
  Owner *owner = &world->owners[order->owner];
  return owner->pool != NULL && owner->incarnation == order->owner_incarnation ? owner : NULL;
}

/* The peer that relays ORDER gets the reply, even when its sender has stopped. */
static void
notify_recent_starts (World *world, const Order *order)
{
  FbRecentStarts *recent_starts = world_recent_starts (world, order->worker);
  if (order->kind == ORDER_POLL)
    fb_recent_starts_polled (recent_starts, order->worker_name, &order->answer, world->now_ms);
  else if (order->kind == ORDER_START)
    fb_recent_starts_answered (recent_starts, order->worker_name, order->task, order->attempt,
                               order->answer.result, world->now_ms);
}

/* The sender of ORDER gets the reply, unless it has stopped. */
static void
deliver (World *world, Order *order)
{
  Owner *owner = live_sender (world, order);
  const FbPollAnswer *reply = &order->answer;
  notify_recent_starts (world, order);
  if (owner != NULL && order->kind == ORDER_POLL)
    fb_pool_poll_answered (owner->pool, order->worker_name, reply, world->now_ms,
                           WALL_MS + world->now_ms);
  else if (owner != NULL && order->kind == ORDER_START)
    fb_pool_start_answered (owner->pool, order->order, reply->result, reply->clock_ms,
                            world->now_ms);
  else if (owner != NULL)
    fb_pool_stop_answered (owner->pool, order->order, reply->result, reply->clock_ms,
                           world->now_ms);
  order->answer_ms = 0;
  order->timeout_at_ms = G_MAXUINT64;
}

/* RESULT is the worker's answer at CLOCK_MS by its clock. */
static void
make_answer (World *world, Order *order, FbOrderResult result, uint64_t clock_ms)
{
  fb_poll_answer_clear (&order->answer);
  if (order->kind == ORDER_POLL)
    world_poll_reply (world, order, result, &world->workers[order->worker], clock_ms,
                      &order->answer);
  else
    order->answer
        = (FbPollAnswer){ .result = world_reply (order, result, &clock_ms), .clock_ms = clock_ms };
}

/* Replies may arrive out of order. */
static void
send_answer (World *world, Order *order, FbOrderResult result, uint64_t clock_ms)
{
  if (order->answer_lost || world->now_ms > order->timeout_at_ms
      || world_stops_relay_stands_still (world, order))
    return;
  gboolean slow = world->repeats && !world->healing && world_random (world, 20) == 0;
  make_answer (world, order, result, clock_ms);
  order->answer_ms = world->now_ms + (slow ? world_random (world, 500) : 0);
  if (!slow)
    deliver (world, order);
}

/* An order that a worker has received but not executed is lost when its incarnation ends. */
static void
receive_late_order (const World *world, Order *order)
{
  const Worker *worker = &world->workers[order->worker];
  if (order->received_ms == 0 || order->received_incarnation != 0
      || world->now_ms < order->received_ms)
    return;
  FbOrderResult result = FB_ORDER_DONE;
  gboolean is_received = worker->up && !worker->unreachable
                         && !(world->partitions && world_call_is_blocked (world, order, &result));
  order->received_incarnation = is_received ? worker->incarnation : G_MAXUINT;
  world_restarts_order_received (world, order);
}

static gboolean
is_dropped_by_restart (const World *world, const Order *order)
{
  return world->restart_mode == RESTART_EITHER_ID && order->received_ms != 0
         && order->received_incarnation != world->workers[order->worker].incarnation;
}

/* Returns: TRUE when the sender of ORDER retries the connection until it times out. */
static gboolean
waits_for_listener (World *world, Order *order)
{
  if (world->restart_mode == RESTART_NEW_ID || order->received_ms != 0 || order->answer_lost
      || world->now_ms >= order->timeout_at_ms)
    return FALSE;
  order->is_connecting = order->is_connecting || world_restart_random (world, 2) == 0;
  return order->is_connecting;
}

/* Returns: FALSE while ORDER has to be tried again: a poll waits for ends, or the connection is
 * not made yet. */
static gboolean
execute_order (World *world, Order *order)
{
  Worker *worker = &world->workers[order->worker];
  FbOrderResult result = FB_ORDER_DONE;
  if (!worker->up && world->repeats)
    {
      send_answer (world, order, FB_ORDER_NO_LISTENER, 0);
      return TRUE;
    }
  if (world->restarts && !worker->up && waits_for_listener (world, order))
    return FALSE;
  if (world->partitions && world_call_is_blocked (world, order, &result))
    {
      if (result != FB_ORDER_DONE)
        send_answer (world, order, result, 0);
      return TRUE;
    }
  if (world_stops_path_is_cut (world, order))
    return TRUE;
  if (!worker->up || (worker->unreachable && !world->partitions))
    return !waits_for_listener (world, order);
  if (world_stops_hold_call (world, worker, order))
    return FALSE;
  gboolean is_same = g_str_equal (worker->id, order->worker_id);
  /* The incarnation that received the order has ended, and its connection with it. */
  if (order->arrived && is_same && order->arrived_incarnation != worker->incarnation)
    return TRUE;
  if (is_same && is_dropped_by_restart (world, order))
    return TRUE;
  if (order->refusal != FB_ORDER_DONE)
    result = order->refusal;
  else if (!is_same)
    result = FB_ORDER_OTHER_INCARNATION;
  else if (order->epoch < worker->fence_epoch)
    result = FB_ORDER_FENCED;
  else
    {
      worker->fence_epoch = order->epoch;
      if (order->kind == ORDER_START)
        {
          result = handle_start (world, worker, order);
          /* A superseded start still extends the worker's lease. */
          if ((world->repeats || world->restarts) && result == FB_ORDER_SUPERSEDED)
            extend_lease (world, worker, order);
          /* The task may crash its worker before the start is answered. */
          world_worker_tick (world, worker);
          if (!worker->up)
            return TRUE;
        }
      else if (order->kind == ORDER_STOP)
        handle_stop (world, worker, order);
      else if (!order->arrived)
        {
          order->arrived = TRUE;
          order->arrived_incarnation = worker->incarnation;
          order->reply_by_ms = world->now_ms + order->wait_ms;
          if (order->acknowledged > 0 && worker->ends->len > 0)
            world_trace (
                world, "a poll of %s, sent at %u ms, acknowledges ends up to %u on incarnation %u",
                order->worker_name, (unsigned) (order->sent_ms % 1000000),
                (unsigned) order->acknowledged, worker->incarnation);
          acknowledge (world, worker, order->acknowledged);
          if (order->deadline_ms > 0)
            extend_lease (world, worker, order);
        }
      if (order->kind == ORDER_POLL && worker->ends->len == 0 && world->now_ms < order->reply_by_ms)
        return FALSE;
    }
  send_answer (world, order, result, worker_clock_ms (world, worker));
  return TRUE;
}

void
world_order_free (gpointer data)
{
  Order *order = data;
  fb_poll_answer_clear (&order->answer);
  g_free (order);
}

/* Returns: TRUE when the sender stalled before sending ORDER for longer than its timeout; it does
 * not send ORDER then. */
static gboolean
is_overdue (const World *world, const Order *order)
{
  return !order->arrived && order->received_ms == 0 && world->now_ms > order->timeout_at_ms;
}

/* An order is freed once it was executed or lost, and its sender got a reply or timed out. */
void
world_orders_tick (World *world)
{
  for (guint i = 0; i < world->orders->len;)
    {
      Order *order = world->orders->pdata[i];
      gboolean due = order->arrives_ms != G_MAXUINT64 && world->now_ms >= order->arrives_ms;
      Owner *owner = live_sender (world, order);
      receive_late_order (world, order);
      if (owner != NULL && owner->paused)
        /* A paused daemon neither sends orders nor reads replies. */
        due = due
              && (order->arrived || ((world->stops || world->restarts) && order->received_ms != 0));
      else if (due && is_overdue (world, order))
        {
          order->arrives_ms = G_MAXUINT64;
          due = FALSE;
        }
      if (due && execute_order (world, order))
        order->arrives_ms = G_MAXUINT64;
      if (order->answer_ms != 0 && world->now_ms >= order->answer_ms
          && world->now_ms <= order->timeout_at_ms && (owner == NULL || !owner->paused))
        deliver (world, order);
      if (order->timeout_at_ms != G_MAXUINT64 && world->now_ms > order->timeout_at_ms
          && (owner == NULL || !owner->paused))
        {
          if (order->kind == ORDER_START)
            world_restarts_start_unanswered (world, order);
          make_answer (world, order, FB_ORDER_UNKNOWN, 0);
          deliver (world, order);
        }
      if (order->arrives_ms == G_MAXUINT64 && order->timeout_at_ms == G_MAXUINT64)
        {
          world_order_free (order);
          g_ptr_array_remove_index_fast (world->orders, i);
        }
      else
        i++;
    }
}
