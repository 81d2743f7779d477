/* Placement rounds, which start pending tasks.
 *
 * A round visits the steps with pending tasks in queue order (pool-queue.c), in one or more
 * iterations of the main loop. A gang is placed as a whole or not at all. */
#include "internal/pool-account.h"
#include "internal/pool-advice-requests.h"
#include "internal/pool-crash.h"
#include "internal/pool-order.h"

/* ---- the work of an iteration ----------------------------------------------------- */

/* Maximum number of workers and runs (17 to 35 ns each) visited in one iteration of the main loop;
 * the next iteration continues there, and a round ends with the last pending step.
 *
 * After a takeover hundreds of steps may be pending. When each was checked against hundreds of
 * workers in one iteration, joins and leases were delayed (an iteration took 0.3 to 0.8 s on 0.12
 * of a core with 950 steps and 250 workers). The store then considered the owner failed, and the
 * next owner failed in the same way: owners replaced each other every 2 s while nothing ran. */
#define VISITS_PER_ITERATION 50000
/* Ordering a start takes as long as visiting this many workers. */
#define VISITS_PER_START 75

/* ---- single tasks ------------------------------------------------------------ */

static void
place_probe (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  uint32_t index = fb_pool_probe_next (step);
  if (index == step->spec->count || fb_pool_start_is_postponed (self, step, index, now_ms))
    return;
  FbPoolWorker *worker
      = fb_pool_best_worker (self, step, index, NULL, NULL, FB_TICKET_VALID, now_ms);
  if (worker != NULL && !fb_pool_crash_waits_for_stable (worker, &step->tasks[index], now_ms))
    fb_pool_order_start (self, worker, step, index, fb_pool_next_attempt (self, step, index),
                         now_ms);
}

/* Returns: the index of the task of STEP to place next: the first pending one from FROM on, or, for
 * a restarting long-running step, the one that has been down for longest; the number of tasks when
 * there is none.  DEFERRED: set of tasks to leave out; NULL: none. */
static uint32_t
next_to_place (const FbPool *self, FbPoolStep *step, uint32_t from, GHashTable *deferred)
{
  while (step->pending_from < step->spec->count
         && !fb_pool_task_is_pending (&step->tasks[step->pending_from]))
    step->pending_from++;
  if (step->urgency == FB_URGENCY_RESTARTING)
    return fb_pool_long_running_next (self, step, deferred);
  uint32_t i = MAX (from, step->pending_from);
  while (i < step->spec->count && !fb_pool_task_is_pending (&step->tasks[i]))
    i++;
  return i;
}

/* Removes the reservation on WORKER, which has been used, so that it is not restored. */
static void
drop_used_reservation (GPtrArray *reserved_on, const FbPoolWorker *worker)
{
  guint position = 0;
  if (g_ptr_array_find_with_equal_func (reserved_on, worker->id, g_str_equal, &position))
    g_ptr_array_remove_index (reserved_on, position);
}

/* Places the pending tasks of STEP until the iteration has done enough. RESERVED_ON: ids of the
 * workers on which capacity was reserved; those that get a task are removed. Returns: TRUE when no
 * task is left without capacity. */
static gboolean
place_tasks (FbPool *self, FbPoolStep *step, GPtrArray *reserved_on, uint64_t now_ms)
{
  if (fb_pool_probe_is_on (step))
    place_probe (self, step, now_ms);
  if (fb_pool_probe_is_on (step))
    return FALSE;
  g_autoptr (GHashTable) deferred = NULL;
  g_autoptr (FbPoolCandidates) candidates = NULL;
  for (uint32_t i = next_to_place (self, step, 0, deferred); i < step->spec->count;
       i = next_to_place (self, step, i + 1, deferred))
    {
      if (fb_pool_account_is_exhausted (step))
        return FALSE;
      if (self->visits_n > VISITS_PER_ITERATION)
        {
          self->interrupted = TRUE;
          return FALSE;
        }
      FbPoolTask *task = &step->tasks[i];
      gboolean postponed = fb_pool_start_is_postponed (self, step, i, now_ms);
      if (candidates == NULL && !postponed)
        candidates = fb_pool_candidates_new (self, step, NULL, FB_TICKET_VALID, now_ms);
      FbPoolWorker *worker = postponed ? NULL : fb_pool_candidates_best (candidates, i);
      if (worker == NULL && !postponed)
        return FALSE;
      if (postponed || fb_pool_crash_waits_for_stable (worker, task, now_ms))
        {
          deferred = deferred != NULL ? deferred : g_hash_table_new (NULL, NULL);
          g_hash_table_add (deferred, task);
          continue;
        }
      fb_pool_order_start (self, worker, step, i, fb_pool_next_attempt (self, step, i), now_ms);
      self->visits_n += VISITS_PER_START;
      drop_used_reservation (reserved_on, worker);
    }
  return TRUE;
}

/* ---- gangs -------------------------------------------------------------------- */

static gboolean
gang_is_idle (const FbPoolStep *step)
{
  for (uint32_t i = 0; i < step->spec->count; i++)
    {
      if (step->tasks[i].run != NULL || step->tasks[i].known_runs_n > 0)
        return FALSE;
    }
  return TRUE;
}

static const char *
gang_checkpoint (const FbPoolStep *step)
{
  const char *newest = NULL;
  for (uint32_t i = 0; i < step->spec->count; i++)
    {
      if (step->tasks[i].checkpoint != NULL)
        newest = step->tasks[i].checkpoint;
    }
  return newest;
}

void
fb_pool_gang_unify_checkpoints (FbPoolStep *step)
{
  g_autofree char *checkpoint = g_strdup (gang_checkpoint (step));
  for (uint32_t i = 0; i < step->spec->count; i++)
    fb_pool_task_set_checkpoint (step, i, checkpoint);
}

static gboolean
place_gang (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  if (!gang_is_idle (step))
    return FALSE;
  step->gang_broken = FALSE;
  g_autofree FbPoolWorker **chosen = g_new0 (FbPoolWorker *, step->spec->count);
  if (!fb_pool_choose_gang (self, step, FB_TICKET_VALID, chosen, now_ms))
    return FALSE;
  uint32_t attempt = step->gang_attempt + 1;
  for (uint32_t i = 0; i < step->spec->count; i++)
    attempt = MAX (attempt, fb_pool_next_attempt (self, step, i));
  step->gang_attempt = attempt;
  fb_pool_gang_unify_checkpoints (step);
  for (uint32_t i = 0; i < step->spec->count; i++)
    fb_pool_order_start (self, chosen[i], step, i, attempt, now_ms);
  return TRUE;
}

/* ---- the round ------------------------------------------------------------------ */

/* A step that could not be placed is retried after this time, even if nothing has changed: no event
 * reports that a worker has recovered from a refusal or that a request got no answer. The first
 * hundred steps in the order are tried every 100 ms, the step at position 1,000 once a second. With
 * 1,000 pending steps this makes some 3,300 tries a second instead of 10,000. */
#define RETRY_MS 100
#define RETRY_PER_POSITION_MS 1

/* Returns: what a step that could not be placed waits for, as a static text for the log. "turn":
 * for a daemon that can forward its request to the advice service. */
static const char *
wait_reason (const FbPoolStep *step, gboolean can_request)
{
  if (fb_pool_advice_requests_are_open (step))
    return "advice";
  return can_request ? "room" : "turn";
}

/* Tries to place STEP, and requests advice if that fails. Returns: FALSE when no daemon can forward
 * a request to the advice service now. */
static gboolean
try_step (FbPool *self, FbPoolStep *step, guint position, uint64_t now_ms)
{
  gboolean advised = step->job->record.policy.advised;
  gboolean unconfirmed = fb_pool_may_run_unconfirmed (self, step);
  if (unconfirmed || (advised && !step->has_advice))
    {
      gboolean can_request = fb_pool_request_first_advice (self, step, now_ms);
      fb_pool_long_running_set_wait_reason (
          self, step, unconfirmed ? "take-over" : wait_reason (step, can_request), now_ms);
      return can_request;
    }
  if (step->spec->gang && fb_pool_start_is_postponed (self, step, 0, now_ms))
    {
      step->retry_at_ms = now_ms + RETRY_MS;
      fb_pool_long_running_set_wait_reason (self, step, "store", now_ms);
      return TRUE;
    }
  uint64_t reserved_until_ms = step->reserved_until_ms;
  g_autoptr (GPtrArray) reserved_on = fb_pool_release_reservation (self, step);
  gboolean placed = step->spec->gang ? place_gang (self, step, now_ms)
                                     : place_tasks (self, step, reserved_on, now_ms);
  if (self->interrupted)
    {
      if (now_ms < reserved_until_ms)
        fb_pool_reserve_again (self, step, reserved_on, fb_pool_step_pending_n (step),
                               reserved_until_ms);
      return TRUE;
    }
  if (placed)
    {
      fb_pool_long_running_clear_wait (step);
      fb_pool_account_note_room (step, TRUE, now_ms);
      return TRUE;
    }
  if (fb_pool_account_is_exhausted (step))
    {
      fb_pool_account_hold (self, step, now_ms);
      return TRUE;
    }
  if (now_ms < reserved_until_ms)
    {
      fb_pool_long_running_set_wait_reason (self, step, wait_reason (step, TRUE), now_ms);
      fb_pool_reserve_again (self, step, reserved_on, fb_pool_step_pending_n (step),
                             reserved_until_ms);
      fb_pool_renew_reserved (self, step, now_ms);
      return TRUE;
    }
  fb_pool_account_note_room (step, FALSE, now_ms);
  gboolean can_request = fb_pool_request_advice (self, step, now_ms);
  /* a step whose request was not sent is retried as soon as a daemon can forward one */
  if (can_request)
    step->last_failed_round = self->round;
  step->retry_at_ms = now_ms + MAX (RETRY_MS, position * RETRY_PER_POSITION_MS);
  fb_pool_long_running_set_wait_reason (self, step, wait_reason (step, can_request), now_ms);
  return can_request;
}

static void
clear_gained_capacity (FbPool *self, guint n)
{
  for (guint i = 0; i < n; i++)
    ((FbPoolWorker *) self->gained_capacity->pdata[i])->gained_capacity = FALSE;
  g_ptr_array_remove_range (self->gained_capacity, 0, n);
}

/* Tries the step at POSITION if it may succeed. Returns: FALSE when it could not request advice. */
static gboolean
try_position (FbPool *self, guint position, uint64_t now_ms)
{
  FbPoolStep *step = self->queue->pdata[position];
  if (step->held_at != NULL)
    return TRUE;
  if (fb_pool_account_is_exhausted (step) && fb_pool_step_is_pending (step))
    {
      fb_pool_account_hold (self, step, now_ms);
      return TRUE;
    }
  if (fb_pool_account_yields_to_gang (self, step, now_ms))
    return TRUE;
  if (fb_pool_advice_keeps_reservation (step, now_ms))
    return TRUE; /* its capacity stays reserved until the advice arrives */
  if (fb_pool_step_may_fit (self, step, now_ms))
    return try_step (self, step, position, now_ms);
  step->last_failed_round = self->round;
  return TRUE;
}

/* Retries the steps that earlier iterations of the round have passed: they are more urgent than the
 * remaining ones, and capacity may have been freed meanwhile. Half of the iteration is left for the
 * remaining steps. */
static gboolean
retry_passed_steps (FbPool *self, uint64_t now_ms)
{
  gboolean can_request = TRUE;
  for (guint position = 0;
       position < self->round_position && position < self->queue->len && !self->fenced
       && !self->interrupted && self->visits_n <= VISITS_PER_ITERATION / 2;
       position++)
    can_request &= try_position (self, position, now_ms);
  return can_request;
}

static void
request_advice_ahead (FbPool *self, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer job;
  g_hash_table_iter_init (&iter, self->jobs_with_dependencies);
  while (g_hash_table_iter_next (&iter, &job, NULL))
    fb_pool_request_advice_ahead (self, job, now_ms);
}

void
fb_pool_place (FbPool *self, uint64_t now_ms)
{
  self->refused_request_kinds = 0;
  self->interrupted = FALSE;
  self->visits_n = 0;
  gboolean update = fb_pool_order_update (self, now_ms);
  fb_pool_accounts_release_held (self, now_ms);
  fb_pool_accounts_update_shares (self, now_ms);
  fb_pool_queue_sort (self, update, now_ms);
  if (self->round_position == 0)
    {
      self->round++;
      self->round_gained_n = self->gained_capacity->len;
    }
  gboolean can_request = retry_passed_steps (self, now_ms);
  while (self->round_position < self->queue->len && !self->fenced && !self->interrupted
         && self->visits_n <= VISITS_PER_ITERATION)
    {
      can_request &= try_position (self, self->round_position, now_ms);
      if (!self->interrupted)
        self->round_position++;
    }
  if (self->round_position < self->queue->len && !self->fenced)
    {
      self->round_due = TRUE;
      return;
    }
  self->round_position = 0;
  clear_gained_capacity (self, MIN (self->round_gained_n, self->gained_capacity->len));
  if (!can_request)
    return;
  request_advice_ahead (self, now_ms);
  fb_pool_held_advice_request (self, now_ms);
}
