/* Workers of the fuzzing world, the orders on their way to them, and the judge of what
 * they start. */
#include "pool-world.h"

#include <stdio.h>
#include <string.h>

void
world_broke (World *world, const char *format, ...)
{
  if (world->broken != NULL)
    return;
  va_list args;
  va_start (args, format);
  g_autofree char *what = g_strdup_vprintf (format, args);
  va_end (args);
  world->broken = g_strdup_printf ("%s (at %u ms)", what, (unsigned) (world->now_ms % 1000000));
}

void
world_trace (const World *world, const char *format, ...)
{
  if (!world->traced)
    return;
  va_list args;
  va_start (args, format);
  g_autofree char *what = g_strdup_vprintf (format, args);
  va_end (args);
  printf ("%u ms: %s\n", (unsigned) (world->now_ms % 1000000), what);
}

guint
world_chance (World *world, guint n)
{
  return (guint) g_rand_int_range (world->rand, 0, (gint32) n);
}

static uint64_t
clock_of (const World *world, const Worker *worker)
{
  uint64_t ran_ms = world->now_ms - worker->began_ms;
  return worker->clock_from_ms + ran_ms * (1000 - worker->slow_permille) / 1000;
}

static Job *
job_of (World *world, const char *task, guint *step, guint *index)
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

/* The most that WORKER may be brought to hold. */
static int64_t
room_of (const World *world, const Worker *worker)
{
  gboolean late = world->now_ms > worker->cpu_changed_ms + ROOM_GRACE_MS;
  return late ? worker->cpu_milli : MAX (worker->cpu_milli, worker->cpu_before);
}

void
world_worker_resize (World *world, Worker *worker, int64_t cpu_milli)
{
  worker->cpu_before = room_of (world, worker);
  worker->cpu_milli = cpu_milli;
  worker->cpu_changed_ms = world->now_ms;
}

void
world_worker_crash (World *world, Worker *worker, const Run *by)
{
  worker->up = FALSE;
  world_trace (world, "%s, life %u, crashes%s%s", worker->id, worker->incarnation,
               by != NULL ? " under " : "", by != NULL ? by->task : "");
  for (guint i = 0; i < worker->runs->len; i++)
    {
      guint step = 0;
      guint index = 0;
      const Run *run = &g_array_index (worker->runs, Run, i);
      Job *job = job_of (world, run->task, &step, &index);
      world_trace (world, "%s of attempt %u was on it", run->task, run->attempt);
      job->crashed[step][index] += by == NULL;
      job->took_down[step][index] += by == run;
      job->beside[step][index] += by != NULL && by != run;
    }
  g_array_set_size (worker->runs, 0);
}

static void
add_end (const World *world, Worker *worker, const Run *run, FbEndReason how)
{
  End end = {
    .number = ++worker->next_end, .attempt = run->attempt, .how = how, .at_ms = world->now_ms
  };
  memcpy (end.task, run->task, sizeof end.task);
  g_array_append_val (worker->ends, end);
  g_hash_table_replace (worker->highest, g_strdup (run->task), GUINT_TO_POINTER (run->attempt));
}

static void
end_run (World *world, Worker *worker, guint at, FbEndReason how)
{
  Run run = g_array_index (worker->runs, Run, at);
  world_trace (world, "%s of attempt %u ends on %s, how %d", run.task, run.attempt, worker->id,
               (int) how);
  g_array_remove_index (worker->runs, at);
  add_end (world, worker, &run, how);
  guint step = 0;
  guint index = 0;
  Job *job = job_of (world, run.task, &step, &index);
  job->done[step][index] += how == FB_END_DONE;
  job->fell[step][index] += how == FB_END_FAILED;
}

void
world_worker_tick (World *world, Worker *worker)
{
  if (!worker->up && worker->back_ms != 0 && world->now_ms >= worker->back_ms)
    world_worker_begin (world, (guint) (worker - world->workers));
  if (!worker->up)
    return;
  if (worker->crash_again_ms != 0 && world->now_ms >= worker->crash_again_ms && !world->healing)
    {
      worker->crash_again_ms = 0;
      world_worker_crash (world, worker, NULL);
      worker->back_ms = world->now_ms + 1 + world_return_chance (world, RETURN_MOST_MS);
      return;
    }
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const Run *run = &g_array_index (worker->runs, Run, i);
      if (run->crash_ms == 0 || world->now_ms < run->crash_ms)
        continue;
      worker->back_ms = world->now_ms + 2000 + world_chance (world, 6000);
      world_worker_crash (world, worker, run);
      return;
    }
  gboolean lapsed = clock_of (world, worker) >= worker->lease_ms;
  for (guint i = 0; lapsed && i < worker->ends->len; i++)
    g_array_index (worker->ends, End, i).lapsed = TRUE;
  for (guint i = worker->runs->len; i > 0; i--)
    {
      const Run *run = &g_array_index (worker->runs, Run, i - 1);
      if (run->max_stop_ms != 0 && world->now_ms >= run->max_stop_ms)
        end_run (world, worker, i - 1, FB_END_STOPPED);
      else if (world->now_ms >= run->ends_ms)
        end_run (world, worker, i - 1, run->fails ? FB_END_FAILED : FB_END_DONE);
      else if (lapsed)
        end_run (world, worker, i - 1, FB_END_LEASE_EXPIRED);
    }
}

/* ---- the judge ---------------------------------------------------------------------------- */

static void
judge_start (World *world, const Worker *worker, const Order *order)
{
  guint step = 0;
  guint index = 0;
  Job *job = job_of (world, order->task, &step, &index);
  if (job == NULL)
    {
      world_broke (world, "%s started and nobody submitted it", order->task);
      return;
    }
  int64_t cpu_milli = job->record.spec.steps.steps_val[step].cpu_milli;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      guint s = 0;
      guint x = 0;
      const Job *other = job_of (world, g_array_index (worker->runs, Run, i).task, &s, &x);
      cpu_milli += other->record.spec.steps.steps_val[s].cpu_milli;
    }
  if (cpu_milli > room_of (world, worker))
    world_broke (world, "%s holds %d of %d", worker->id, (int) cpu_milli,
                 (int) room_of (world, worker));
  for (guint i = 0; i < WORKER_N; i++)
    {
      const Worker *other = &world->workers[i];
      gboolean alone = !job->record.spec.steps.steps_val[step].speculative || other == worker;
      for (guint j = 0; alone && other->up && j < other->runs->len; j++)
        {
          if (g_str_equal (g_array_index (other->runs, Run, j).task, order->task))
            world_broke (world, "%s runs on %s and %s", order->task, other->id, worker->id);
        }
    }
  job->started_ms[step][index] = world->now_ms;
  if (job->noted[step][index] && order->sent_ms >= job->excused_ms[step][index])
    world_broke (world, "%s started after its end was acknowledged", order->task);
  if (job->failed[step][index] >= MAX_ATTEMPTS)
    world_broke (world, "%s started after %u failed runs", order->task, job->failed[step][index]);
  if (order->in_touch && job->took_down[step][index] >= STARTS_AFTER
      && ++job->starts_after[step][index] == STARTS_AFTER)
    world_broke (world, "%s started %u times more after %u workers crashed under it", order->task,
                 STARTS_AFTER, STARTS_AFTER);
  if (step > 0)
    {
      for (u_int i = 0; i < job->record.spec.steps.steps_val[0].count; i++)
        {
          if (job->done[0][i] == 0)
            world_broke (world, "%s started before step 0 was done", order->task);
        }
    }
  if (job->cancelled && order->knows_ms > job->cancelled_ms)
    world_broke (world, "%s started after its job was cancelled", order->task);
}

/* ---- orders arrive --------------------------------------------------------------------------- */

/* A lease that is longer than what a worker grants is shortened to that. */
static void
extend_lease (const World *world, Worker *worker, uint64_t deadline_ms)
{
  uint64_t longest_ms = clock_of (world, worker) + HOLD_MAX_MS;
  worker->lease_ms = MAX (worker->lease_ms, MIN (deadline_ms, longest_ms));
}

static FbOrderResult
take_start (World *world, Worker *worker, const Order *order)
{
  guint highest = GPOINTER_TO_UINT (g_hash_table_lookup (worker->highest, order->task));
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const Run *run = &g_array_index (worker->runs, Run, i);
      if (g_str_equal (run->task, order->task))
        return run->attempt == order->attempt ? FB_ORDER_DONE : FB_ORDER_SUPERSEDED;
    }
  if (highest >= order->attempt)
    return FB_ORDER_SUPERSEDED;
  if (clock_of (world, worker) >= order->deadline_ms)
    return FB_ORDER_PAST_DEADLINE;
  guint step = 0;
  guint index = 0;
  const Job *job = job_of (world, order->task, &step, &index);
  if (job != NULL && job->record.policy.advised && !world_allows (order->task, order->worker))
    return FB_ORDER_BAD_TICKET;
  world_trace (world, "%s of attempt %u starts on %s, life %u, by epoch %u, sent at %u ms",
               order->task, order->attempt, worker->id, worker->incarnation,
               (unsigned) order->epoch, (unsigned) (order->sent_ms % 1000000));
  judge_start (world, worker, order);
  if (job == NULL)
    return FB_ORDER_NOT_DONE;
  Run run = { .attempt = order->attempt,
              /* Some outlast a lease, so that one that was thought to have ended shows. */
              .ends_ms = world->now_ms + 200
                         + world_chance (world, world_chance (world, 6) == 0 ? 8000 : 1500),
              .fails = job->poison || world_chance (world, 12) == 0 };
  /* Some end before a copy of their start arrives. */
  if (world->repeats && world_chance (world, 4) == 0)
    run.ends_ms = world->now_ms + world_chance (world, 100);
  if (step == 0 && index < job->crashers)
    {
      run.crash_ms = world->now_ms + world_chance (world, 4) * world_chance (world, 400);
      run.ends_ms = run.crash_ms + 1;
    }
  memcpy (run.task, order->task, sizeof run.task);
  g_array_append_val (worker->runs, run);
  extend_lease (world, worker, order->deadline_ms);
  world->starts++;
  return FB_ORDER_DONE;
}

static void
take_stop (World *world, Worker *worker, const Order *order)
{
  guint highest = GPOINTER_TO_UINT (g_hash_table_lookup (worker->highest, order->task));
  g_hash_table_replace (worker->highest, g_strdup (order->task),
                        GUINT_TO_POINTER (MAX (highest, order->attempt)));
  for (guint i = 0; i < worker->runs->len; i++)
    {
      Run *run = &g_array_index (worker->runs, Run, i);
      if (g_str_equal (run->task, order->task) && run->attempt <= order->attempt
          && run->max_stop_ms == 0)
        run->max_stop_ms = world->now_ms + STOP_TAKES_MS;
    }
}

static void
note_done (World *world, Job *job, guint step, guint index, const End *end)
{
  /* A lease that ended before its end was acknowledged allows a start elsewhere, as a copy is, and
   * what was sent then may still arrive. */
  gboolean excused = end->lapsed || job->record.spec.steps.steps_val[step].speculative;
  if (!excused && job->started_ms[step][index] > end->at_ms)
    world_broke (world, "%s started after it had ended, and that end counts", end->task);
  if (!excused)
    job->excused_ms[step][index] = 0;
  else if (!job->noted[step][index])
    job->excused_ms[step][index] = world->now_ms;
  job->noted[step][index] = TRUE;
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
      Job *job = job_of (world, end->task, &step, &index);
      if (end->how == FB_END_DONE)
        note_done (world, job, step, index, end);
      job->failed[step][index] += end->how == FB_END_FAILED;
      g_array_remove_index (worker->ends, i - 1);
    }
  worker->acknowledged = MAX (worker->acknowledged, number);
}

static Owner *
sender_of (World *world, const Order *order)
{
  Owner *owner = &world->owners[order->owner];
  return owner->pool != NULL && owner->incarnation == order->owner_life ? owner : NULL;
}

/* Who carries ORDER hears what became of it, also when its sender is gone. */
static void
tell_carrier (World *world, const Order *order)
{
  FbRecentStarts *carrier = world_carrier (world, order->worker);
  if (order->kind == ORDER_LOOK)
    fb_recent_starts_polled (carrier, order->worker_name, &order->answer);
  else if (order->kind == ORDER_START)
    fb_recent_starts_answered (carrier, order->worker_name, order->task, order->attempt,
                               order->answer.result);
}

/* The sender of ORDER hears what became of it. */
static void
deliver (World *world, Order *order)
{
  Owner *owner = sender_of (world, order);
  const FbPollAnswer *told = &order->answer;
  tell_carrier (world, order);
  if (owner != NULL && order->kind == ORDER_LOOK)
    fb_pool_poll_answered (owner->pool, order->worker_name, told, world->now_ms,
                           WALL_MS + world->now_ms);
  else if (owner != NULL && order->kind == ORDER_START)
    fb_pool_start_answered (owner->pool, order->order, told->result, told->clock_ms, world->now_ms);
  else if (owner != NULL)
    fb_pool_stop_answered (owner->pool, order->order, told->result, told->clock_ms, world->now_ms);
  order->answer_ms = 0;
  order->gives_up_ms = G_MAXUINT64;
}

/* RESULT is what the worker says at CLOCK_MS. */
static void
make_answer (World *world, Order *order, FbOrderResult result, uint64_t clock_ms)
{
  fb_poll_answer_clear (&order->answer);
  if (order->kind == ORDER_LOOK)
    world_reply_to_look (world, order, result, &world->workers[order->worker], clock_ms,
                         &order->answer);
  else
    order->answer
        = (FbPollAnswer){ .result = world_reply (order, result, &clock_ms), .clock_ms = clock_ms };
}

/* Answers overtake each other on their ways back. */
static void
answer_if_heard (World *world, Order *order, FbOrderResult result, uint64_t clock_ms)
{
  if (order->answer_lost || world->now_ms > order->gives_up_ms)
    return;
  gboolean slow = world->repeats && !world->healing && world_chance (world, 20) == 0;
  make_answer (world, order, result, clock_ms);
  order->answer_ms = world->now_ms + (slow ? world_chance (world, 500) : 0);
  if (!slow)
    deliver (world, order);
}

/* What a worker has taken and not carried out is gone with its life. */
static void
take_late (const World *world, Order *order)
{
  const Worker *worker = &world->workers[order->worker];
  if (order->taken_ms == 0 || order->taken_life != 0 || world->now_ms < order->taken_ms)
    return;
  order->taken_life = worker->up && !worker->cut ? worker->incarnation : G_MAXUINT;
}

static gboolean
is_forgotten (const World *world, const Order *order)
{
  return world->returns == RETURNS_EITHER_WAY && order->taken_ms != 0
         && order->taken_life != world->workers[order->worker].incarnation;
}

/* TRUE when the connection for ORDER is tried until its sender gives up. */
static gboolean
waits_for_listener (World *world, Order *order)
{
  if (world->returns == RETURNS_UNDER_NEW_IDS || order->taken_ms != 0 || order->answer_lost
      || world->now_ms >= order->gives_up_ms)
    return FALSE;
  order->waits = order->waits || world_return_chance (world, 2) == 0;
  return order->waits;
}

/* Returns: FALSE while the order waits at the worker for news. */
static gboolean
carry_out (World *world, Order *order)
{
  Worker *worker = &world->workers[order->worker];
  FbOrderResult result = FB_ORDER_DONE;
  if (!worker->up && world->repeats)
    {
      answer_if_heard (world, order, FB_ORDER_NO_LISTENER, 0);
      return TRUE;
    }
  if (!worker->up || worker->cut)
    return !waits_for_listener (world, order);
  gboolean is_same = g_str_equal (worker->id, order->worker_id);
  /* The life that took it has ended, and its connection with it. */
  if (order->arrived && is_same && order->arrived_life != worker->incarnation)
    return TRUE;
  if (is_same && is_forgotten (world, order))
    return TRUE;
  if (order->refusal != FB_ORDER_DONE)
    result = order->refusal;
  else if (!is_same)
    result = FB_ORDER_OTHER_INCARNATION;
  else if (order->epoch < worker->token)
    result = FB_ORDER_FENCED;
  else
    {
      worker->token = order->epoch;
      if (order->kind == ORDER_START)
        {
          result = take_start (world, worker, order);
          /* Such a start extends what runs there all the same. */
          if (world->repeats && result == FB_ORDER_SUPERSEDED)
            extend_lease (world, worker, order->deadline_ms);
          /* A task may crash its worker before the start is answered. */
          world_worker_tick (world, worker);
          if (!worker->up)
            return TRUE;
        }
      else if (order->kind == ORDER_STOP)
        take_stop (world, worker, order);
      else if (!order->arrived)
        {
          order->arrived = TRUE;
          order->arrived_life = worker->incarnation;
          order->waits_until_ms = world->now_ms + order->wait_ms;
          if (order->acknowledged > 0 && worker->ends->len > 0)
            world_trace (world,
                         "a look at %s, sent at %u ms, acknowledges ends up to %u on life %u",
                         order->worker_name, (unsigned) (order->sent_ms % 1000000),
                         (unsigned) order->acknowledged, worker->incarnation);
          acknowledge (world, worker, order->acknowledged);
          if (order->deadline_ms > 0)
            extend_lease (world, worker, order->deadline_ms);
        }
      if (order->kind == ORDER_LOOK && worker->ends->len == 0
          && world->now_ms < order->waits_until_ms)
        return FALSE;
    }
  answer_if_heard (world, order, result, clock_of (world, worker));
  return TRUE;
}

void
world_order_free (gpointer data)
{
  Order *order = data;
  fb_poll_answer_clear (&order->answer);
  g_free (order);
}

/* Its sender stood still with it in hand, and does not send it any more. */
static gboolean
is_overdue (const World *world, const Order *order)
{
  return !order->arrived && order->taken_ms == 0 && world->now_ms > order->gives_up_ms;
}

/* An order is done with when it was carried out or lost and its sender knows or gave up. */
void
world_orders_tick (World *world)
{
  for (guint i = 0; i < world->orders->len;)
    {
      Order *order = world->orders->pdata[i];
      gboolean due = order->arrives_ms != G_MAXUINT64 && world->now_ms >= order->arrives_ms;
      Owner *owner = sender_of (world, order);
      take_late (world, order);
      if (owner != NULL && owner->paused)
        due = due && order->arrived; /* it sends nothing, and nobody hears answers */
      else if (due && is_overdue (world, order))
        {
          order->arrives_ms = G_MAXUINT64;
          due = FALSE;
        }
      if (due && carry_out (world, order))
        order->arrives_ms = G_MAXUINT64;
      if (order->answer_ms != 0 && world->now_ms >= order->answer_ms
          && world->now_ms <= order->gives_up_ms && (owner == NULL || !owner->paused))
        deliver (world, order);
      if (order->gives_up_ms != G_MAXUINT64 && world->now_ms > order->gives_up_ms
          && (owner == NULL || !owner->paused))
        {
          make_answer (world, order, FB_ORDER_UNKNOWN, 0);
          deliver (world, order);
        }
      if (order->arrives_ms == G_MAXUINT64 && order->gives_up_ms == G_MAXUINT64)
        {
          world_order_free (order);
          g_ptr_array_remove_index_fast (world->orders, i);
        }
      else
        i++;
    }
}
