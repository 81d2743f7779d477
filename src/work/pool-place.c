/* The rounds in which waiting tasks are started.
 *
 * Waiting steps are taken in their order (pool-queue.c).  A gang is placed as a whole or not at
 * all.  A round goes through all of them in one or more turns of the main loop. */
#include "internal/pool-crash.h"

/* ---- single tasks ------------------------------------------------------------ */

static void
place_probe (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  uint32_t index = fb_pool_probe_next (step);
  if (index == step->shape->count)
    return;
  FbPoolWorker *worker
      = fb_pool_best_worker (self, step, index, NULL, NULL, FB_TICKET_VALID, now_ms);
  if (worker != NULL && !fb_pool_crash_waits_for_stable (worker, &step->tasks[index], now_ms))
    fb_pool_order_start (self, worker, step, index, fb_pool_next_attempt (self, step, index),
                         now_ms);
}

/* Returns: the task of STEP that is placed next, from FROM on or by how long it is away; its count
 * when none is.  LATER: set of tasks that are left out; NULL: none. */
static uint32_t
next_to_place (const FbPool *self, FbPoolStep *step, uint32_t from, GHashTable *later)
{
  while (step->waiting_from < step->shape->count
         && !fb_pool_task_waits (&step->tasks[step->waiting_from]))
    step->waiting_from++;
  if (step->urgency == FB_URGENCY_RESTARTING)
    return fb_pool_long_running_next (self, step, later);
  uint32_t i = MAX (from, step->waiting_from);
  while (i < step->shape->count && !fb_pool_task_waits (&step->tasks[i]))
    i++;
  return i;
}

/* Room on WORKER is used: it is not to be held again. */
static void
forget_held (GPtrArray *reserved_on, const FbPoolWorker *worker)
{
  guint place = 0;
  if (g_ptr_array_find_with_equal_func (reserved_on, worker->id, g_str_equal, &place))
    g_ptr_array_remove_index (reserved_on, place);
}

/* HELD_ON: on whose workers room was held; those that are used are taken out.
 * Returns: TRUE when no task waits for room any more. */
static gboolean
place_tasks (FbPool *self, FbPoolStep *step, GPtrArray *reserved_on, uint64_t now_ms)
{
  if (fb_pool_probe_is_on (step))
    place_probe (self, step, now_ms);
  if (fb_pool_probe_is_on (step))
    return FALSE;
  g_autoptr (GHashTable) later = NULL;
  for (uint32_t i = next_to_place (self, step, 0, later); i < step->shape->count;
       i = next_to_place (self, step, i + 1, later))
    {
      FbPoolTask *task = &step->tasks[i];
      FbPoolWorker *worker
          = fb_pool_best_worker (self, step, i, NULL, NULL, FB_TICKET_VALID, now_ms);
      if (worker == NULL)
        return FALSE;
      if (fb_pool_crash_waits_for_stable (worker, task, now_ms))
        {
          later = later != NULL ? later : g_hash_table_new (NULL, NULL);
          g_hash_table_add (later, task);
          continue;
        }
      fb_pool_order_start (self, worker, step, i, fb_pool_next_attempt (self, step, i), now_ms);
      forget_held (reserved_on, worker);
    }
  return TRUE;
}

/* ---- gangs -------------------------------------------------------------------- */

static gboolean
gang_is_idle (const FbPoolStep *step)
{
  for (uint32_t i = 0; i < step->shape->count; i++)
    {
      if (step->tasks[i].run != NULL)
        return FALSE;
    }
  return TRUE;
}

static const char *
gang_checkpoint (const FbPoolStep *step)
{
  const char *newest = NULL;
  for (uint32_t i = 0; i < step->shape->count; i++)
    {
      if (step->tasks[i].checkpoint != NULL)
        newest = step->tasks[i].checkpoint;
    }
  return newest;
}

static gboolean
place_gang (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  if (!gang_is_idle (step))
    return FALSE;
  step->gang_broken = FALSE;
  g_autofree FbPoolWorker **chosen = g_new0 (FbPoolWorker *, step->shape->count);
  if (!fb_pool_choose_gang (self, step, FB_TICKET_VALID, chosen, now_ms))
    return FALSE;
  uint32_t attempt = step->gang_attempt + 1;
  for (uint32_t i = 0; i < step->shape->count; i++)
    attempt = MAX (attempt, fb_pool_next_attempt (self, step, i));
  step->gang_attempt = attempt;
  /* All members carry the same checkpoint. */
  g_autofree char *checkpoint = g_strdup (gang_checkpoint (step));
  for (uint32_t i = 0; i < step->shape->count; i++)
    {
      fb_pool_task_set_checkpoint (step, i, checkpoint);
      fb_pool_order_start (self, chosen[i], step, i, attempt, now_ms);
    }
  return TRUE;
}

/* ---- the round ------------------------------------------------------------------ */

/* A step that found no place is looked at again after this, whatever has changed: workers
 * that recover from a refusal and questions that got no answer open nothing by an event.  The
 * first hundred in the order are looked at each 100 ms, the one in place 1,000 each second: some
 * 3,300 looks a second in all with 1,000 that wait, in place of 10,000. */
#define LOOK_AGAIN_MS 100
#define LOOK_AGAIN_PER_PLACE_MS 1

/* Failure: after a take-over hundreds of steps wait, each is looked at on hundreds of workers in
 * one turn of the main loop, and joins and leases wait behind it (0.3 to 0.8 s a turn on 0.12 of a
 * core with 950 steps and 250 workers); the store takes the owner for dead, and the next one does
 * the same.  It shows as owners that take a pool from each other every 2 s while nothing runs.
 * Guard: a turn ends after so many visits of workers and runs (17 to 35 ns each), and the next one
 * goes on where it ended; a round ends with the last step that waits. */
#define VISITS_PER_TURN 50000

/* STEP found no place and asked for advice if there was something to ask.  "turn": for a daemon
 * that can take its question. */
static const char *
what_it_waits_for (const FbPoolStep *step, gboolean could_ask)
{
  if (step->advice_until_ms != 0)
    return "advice";
  return could_ask ? "room" : "turn";
}

/* Returns: FALSE when no daemon can take a question for advice now. */
static gboolean
look_at (FbPool *self, FbPoolStep *step, guint place, uint64_t now_ms)
{
  gboolean advised = step->job->record.policy.advised;
  gboolean unconfirmed_workers = fb_pool_may_run_unconfirmed (self, step);
  if (unconfirmed_workers || (advised && !step->has_advice))
    {
      gboolean can_ask = fb_pool_ask_first_advice (self, step, now_ms);
      fb_pool_long_running_waits (
          self, step, unconfirmed_workers ? "take-over" : what_it_waits_for (step, can_ask),
          now_ms);
      return can_ask;
    }
  uint64_t reserved_until_ms = step->reserved_until_ms;
  g_autoptr (GPtrArray) reserved_on = fb_pool_release_reservation (self, step);
  gboolean placed = step->shape->gang ? place_gang (self, step, now_ms)
                                      : place_tasks (self, step, reserved_on, now_ms);
  if (placed)
    {
      fb_pool_long_running_wait_over (step);
      return TRUE;
    }
  if (now_ms < reserved_until_ms)
    {
      fb_pool_long_running_waits (self, step, what_it_waits_for (step, TRUE), now_ms);
      fb_pool_reserve_again (self, step, reserved_on, fb_pool_step_waiting_n (step),
                             reserved_until_ms);
      return TRUE;
    }
  gboolean can_ask = fb_pool_ask_advice (self, step, now_ms);
  /* Who could not ask tries again when a daemon can take a question. */
  if (can_ask)
    step->looked_round = self->round;
  step->full_look_ms = now_ms + MAX (LOOK_AGAIN_MS, place * LOOK_AGAIN_PER_PLACE_MS);
  fb_pool_long_running_waits (self, step, what_it_waits_for (step, can_ask), now_ms);
  return can_ask;
}

static void
forget_opened (FbPool *self, guint n)
{
  for (guint i = 0; i < n; i++)
    ((FbPoolWorker *) self->gained_capacity->pdata[i])->gained_capacity = FALSE;
  g_ptr_array_remove_range (self->gained_capacity, 0, n);
}

/* Looks at the step in PLACE if that is of use.  Returns: FALSE when it could not ask for advice.
 */
static gboolean
look_at_place (FbPool *self, guint place, uint64_t now_ms)
{
  FbPoolStep *step = self->waiting->pdata[place];
  if (step->advice_until_ms != 0 && now_ms < step->reserved_until_ms)
    return TRUE; /* its room is held until the advice comes */
  if (fb_pool_step_may_fit (self, step, now_ms))
    return look_at (self, step, place, now_ms);
  step->looked_round = self->round;
  return TRUE;
}

/* What the earlier turns of the round have passed is more urgent than what is left of it, and goes
 * first where room has come since; it leaves half of the turn to the rest. */
static gboolean
look_back (FbPool *self, uint64_t now_ms)
{
  gboolean can_ask = TRUE;
  for (guint place = 0; place < self->place_from && place < self->waiting->len && !self->fenced
                        && self->visits_n <= VISITS_PER_TURN / 2;
       place++)
    can_ask &= look_at_place (self, place, now_ms);
  return can_ask;
}

static void
ask_ahead (FbPool *self, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer job;
  g_hash_table_iter_init (&iter, self->chained);
  while (g_hash_table_iter_next (&iter, &job, NULL))
    fb_pool_ask_ahead (self, job, now_ms);
}

void
fb_pool_place (FbPool *self, uint64_t now_ms)
{
  self->asked_in_vain = 0;
  self->visits_n = 0;
  fb_pool_queue_sort (self, now_ms);
  if (self->place_from == 0)
    {
      self->round++;
      self->round_gained_n = self->gained_capacity->len;
    }
  gboolean can_ask = look_back (self, now_ms);
  for (;
       self->place_from < self->waiting->len && !self->fenced && self->visits_n <= VISITS_PER_TURN;
       self->place_from++)
    can_ask &= look_at_place (self, self->place_from, now_ms);
  if (self->place_from < self->waiting->len && !self->fenced)
    {
      self->place_due = TRUE;
      return;
    }
  self->place_from = 0;
  forget_opened (self, MIN (self->round_gained_n, self->gained_capacity->len));
  if (can_ask)
    ask_ahead (self, now_ms);
}
