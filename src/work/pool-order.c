/* Order of waiting steps where client accounts are configured.
 *
 * Load: more work arrives than the pool can run, for seconds to minutes, as after a burst of one
 * account. If the oldest objective came first, each job would start when it is already too late,
 * and make the next one late too: measured with a burst of 4 s, checks with an objective of 1 s
 * started 7 s after their arrival for 8 s on end. So steps whose job can still be completed within
 * its objective come before those of the same priority whose job cannot.
 *
 * A job is in time while now + its remaining time <= its objective, that is until the latest start
 * of the step. The remaining time of a job with a waiting step does not depend on the clock as long
 * as the pending step is on its longest chain, so a position changes only when the latest start
 * passes or the job makes progress. */
#include "internal/pool-order.h"

#include "fb-counter.h"
#include "internal/pool-account.h"

/* Interval at which the keys of all queued steps are computed again. A tenth of the shortest
 * objectives (1 s), and 1,000 steps cost 0.1 ms of CPU time. */
#define UPDATE_INTERVAL_MS 100
/* Interval at which the run times of a job are predicted again. A new owner learns the usual run
 * times within some seconds, and a prediction takes as long as a key. */
#define PREDICTION_INTERVAL_MS 1000
/* Shifts of the latest start that are ignored: the remaining time of a run that takes longer than
 * expected shifts it in each pass. */
#define LATEST_START_TOLERANCE_MS 50
/* A job that has begun counts as in time for this much longer: its work would be wasted, and its
 * objective, which follows from the longest of its runs, is rather later than the prediction from
 * their mean. Without a margin, a load that the pool can just carry lost 14 of 1,510 checks (late
 * 33 instead of 21), and with 200 ms a backlog again made more of the following checks late. */
#define BEGUN_MARGIN_MS 100
/* Positions of steps of which the newest comes first: later than any latest start. */
#define NEWEST_FIRST_MS ((uint64_t) 1 << 62)
/* A late step that has waited for this long gets a turn. Callers wait up to 5 times 3 s, so a turn
 * comes only for jobs whose result is fetched later. */
#define TURN_WAIT_MS 15000
/* Starts of the pool for each start in a turn: at most an eighth of the capacity goes to jobs that
 * have lost most of their value. */
#define STARTS_PER_TURN 8
/* A turn ends after this time even if nothing could start, so that a step that does not fit does
 * not keep the turn from others: about the longest wait for a gang's advice. */
#define TURN_MS 2000
/* Late steps that are considered for a turn in one update. */
#define TURN_CANDIDATES_N 64

uint64_t
fb_pool_occurrence_objective_ms (const FbPoolOccurrence *occurrence)
{
  const FbPoolJob *job = occurrence->steps[0].job;
  const fb_work_spec *spec = &job->record.spec;
  uint64_t due_ms = spec->first_due_ms + (uint64_t) occurrence->number * spec->interval_ms;
  if (spec->occurrences == 0 || due_ms <= job->record.accepted_ms)
    return job->objective_ms;
  return job->objective_ms + due_ms - job->record.accepted_ms;
}

/* Returns: the remaining time of OCCURRENCE.  It is computed once in an update for all its steps: a
 * job may have 64 that wait at the same time, and each would walk through all of them. */
static uint64_t
remaining_ms (FbPoolOccurrence *occurrence, uint64_t now_ms)
{
  if (occurrence->remaining_at_ms != now_ms)
    occurrence->remaining_ms = fb_pool_job_remaining_ms (occurrence, now_ms);
  occurrence->remaining_at_ms = now_ms;
  return occurrence->remaining_ms;
}

int64_t
fb_pool_order_slack_ms (const FbPoolStep *step, uint64_t now_ms)
{
  const FbPoolOccurrence *occurrence = fb_pool_job_occurrence (step->job, step->occurrence);
  return (int64_t) fb_pool_occurrence_objective_ms (occurrence) - (int64_t) now_ms
         - (int64_t) fb_pool_job_remaining_ms (occurrence, now_ms);
}

static void
predict_run_times (const FbPool *self, FbPoolJob *job, uint64_t now_ms)
{
  if (now_ms < job->predicted_ms + PREDICTION_INTERVAL_MS)
    return;
  job->predicted_ms = now_ms;
  fb_pool_job_update_objective (self, job);
}

static FbPoolOverload *
overload_of (FbPool *self, const FbPoolStep *step)
{
  uint32_t priority = step->job->record.policy.priority;
  return &self->overloads[MIN (priority, FB_POOL_OVERLOADS_N - 1)];
}

/* While a priority is overloaded, the newest steps come first. In the order of the latest start
 * each would start just before it is too late for it, and whatever then takes longer than predicted
 * makes it late: of the quick checks in a burst that the pool could half carry, 260 of 419 were in
 * time with the oldest objective first and 65 with the earliest latest start first. Jobs that have
 * begun keep their order before the others, since their work would be wasted, and gangs because
 * their advice would be. */
static gboolean
is_newest_first (const FbPool *self, const FbPoolStep *step, uint64_t now_ms)
{
  uint32_t priority = step->job->record.policy.priority;
  return !step->job->started && !step->spec->gang && !step->spec->long_running && !step->has_turn
         && fb_pool_overload_is_on (&self->overloads[MIN (priority, FB_POOL_OVERLOADS_N - 1)],
                                    now_ms);
}

FbPoolOrderKey
fb_pool_order_key (const FbPool *self, const FbPoolStep *step, uint64_t now_ms)
{
  if (!self->orders_by_slack)
    return (FbPoolOrderKey){ .urgency = fb_pool_queue_urgency (step, now_ms) };
  /* The urgency depends on the objective, which follows from the predictions. */
  predict_run_times (self, step->job, now_ms);
  FbPoolOrderKey key = { .urgency = fb_pool_queue_urgency (step, now_ms) };
  FbPoolOccurrence *occurrence = fb_pool_job_occurrence (step->job, step->occurrence);
  uint64_t objective_ms = fb_pool_occurrence_objective_ms (occurrence);
  /* A long-running step has no end that could be late. */
  uint64_t left_ms = step->spec->long_running ? 0 : remaining_ms (occurrence, now_ms);
  key.latest_start_ms = objective_ms > left_ms ? objective_ms - left_ms : 1;
  key.is_over_share = step->held_at == NULL && fb_pool_account_is_over_share (step->job->account);
  key.position_ms = is_newest_first (self, step, now_ms) ? NEWEST_FIRST_MS - step->job->admitted_ms
                                                         : key.latest_start_ms;
  uint64_t in_time_until_ms = key.latest_start_ms + (step->job->started ? BEGUN_MARGIN_MS : 0);
  key.is_late = !step->spec->long_running && now_ms > in_time_until_ms && !step->has_turn;
  return key;
}

gboolean
fb_pool_order_yields_to_newer (const FbPoolStep *step)
{
  return step->position_ms > NEWEST_FIRST_MS / 2;
}

gboolean
fb_pool_order_key_differs (const FbPoolStep *step, const FbPoolOrderKey *key)
{
  uint64_t low_ms = MIN (step->position_ms, key->position_ms);
  uint64_t high_ms = MAX (step->position_ms, key->position_ms);
  return step->urgency != key->urgency || step->is_late != key->is_late
         || step->is_over_share != key->is_over_share
         || high_ms - low_ms >= LATEST_START_TOLERANCE_MS;
}

/* ---- turns of steps that have waited long ------------------------------------------------ */

/* Keeps FbPool.late_steps up to date.  Only steps that nothing but their lateness puts behind
 * others of their priority get turns. */
static void
update_late_steps (FbPool *self, FbPoolStep *step)
{
  gboolean belongs = step->is_late && step->urgency == FB_URGENCY_NORMAL;
  if (belongs && step->late_link.data == NULL)
    {
      step->late_link.data = step;
      g_queue_push_tail_link (&self->late_steps, &step->late_link);
    }
  else if (!belongs && !step->has_turn)
    fb_pool_order_forget (self, step);
}

void
fb_pool_order_set_key (FbPool *self, FbPoolStep *step, const FbPoolOrderKey *key, uint64_t now_ms)
{
  gboolean was_sorted = step->latest_start_ms != 0;
  step->urgency = key->urgency;
  step->is_late = key->is_late;
  step->is_over_share = key->is_over_share;
  step->latest_start_ms = key->latest_start_ms;
  step->position_ms = key->position_ms;
  if (!self->orders_by_slack)
    return;
  if (step->waits_since_ms == 0)
    {
      step->waits_since_ms = now_ms;
      fb_pool_overload_arrived (overload_of (self, step), now_ms);
    }
  if (key->is_late && !step->job->was_late)
    {
      step->job->was_late = TRUE;
      if (was_sorted)
        fb_pool_overload_became_late (overload_of (self, step), now_ms);
      fb_counter_add (FB_COUNTER_JOBS_BECAME_LATE, was_sorted);
    }
  update_late_steps (self, step);
}

void
fb_pool_order_forget (FbPool *self, FbPoolStep *step)
{
  if (step->has_turn)
    self->turn_step = NULL;
  step->has_turn = FALSE;
  if (step->late_link.data == NULL)
    return;
  g_queue_unlink (&self->late_steps, &step->late_link);
  step->late_link.data = NULL;
}

void
fb_pool_order_count_start (FbPool *self, const FbPoolStep *step)
{
  self->turn_credit = MIN (self->turn_credit + 1, STARTS_PER_TURN);
  if (!step->has_turn)
    return;
  self->turn_credit -= STARTS_PER_TURN;
  self->turn_until_ms = 0;
}

/* Returns: (nullable): the step that became late first, of those that have waited long enough. */
static FbPoolStep *
next_for_turn (FbPool *self, uint64_t now_ms)
{
  GList *next = NULL;
  guint n = 0;
  for (GList *l = self->late_steps.head; l != NULL && n < TURN_CANDIDATES_N; l = next, n++)
    {
      FbPoolStep *step = l->data;
      next = l->next;
      if (!fb_pool_step_is_pending (step))
        fb_pool_order_forget (self, step);
      else if (now_ms >= step->waits_since_ms + TURN_WAIT_MS)
        return step;
    }
  return NULL;
}

static void
end_turn (FbPool *self, uint64_t now_ms)
{
  FbPoolStep *step = self->turn_step;
  self->turn_step = NULL;
  step->has_turn = FALSE;
  g_queue_unlink (&self->late_steps, &step->late_link);
  g_queue_push_tail_link (&self->late_steps, &step->late_link);
  fb_pool_account_reorder_held (self, step, now_ms);
}

/* A step has its turn until some of its tasks have started.  The turn covers all of its tasks that
 * fit at that time; each of them uses up STARTS_PER_TURN starts before the next turn. */
static void
update_turn (FbPool *self, uint64_t now_ms)
{
  if (self->turn_step != NULL && now_ms >= self->turn_until_ms)
    end_turn (self, now_ms);
  if (self->turn_step != NULL || self->turn_credit < STARTS_PER_TURN)
    return;
  self->turn_step = next_for_turn (self, now_ms);
  if (self->turn_step == NULL)
    return;
  self->turn_step->has_turn = TRUE;
  self->turn_until_ms = now_ms + TURN_MS;
  fb_pool_account_reorder_held (self, self->turn_step, now_ms);
}

gboolean
fb_pool_order_update (FbPool *self, uint64_t now_ms)
{
  if (!self->orders_by_slack || now_ms < self->order_updated_ms + UPDATE_INTERVAL_MS)
    return FALSE;
  self->order_updated_ms = now_ms;
  update_turn (self, now_ms);
  fb_pool_accounts_reorder_held (self, now_ms);
  return TRUE;
}
