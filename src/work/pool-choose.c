/* Chooses the worker for a task.
 *
 * fb_pool_can_start_now() decides whether a worker qualifies for the tasks of a step now;
 * fb_pool_best_worker() adds the conditions of the single task. Of the workers that qualify, the
 * one with the lowest cost is taken: among otherwise equal workers the one with the least free
 * capacity (best fit), so that workers with much free capacity remain for large tasks. Long-running
 * tasks are spread instead. */
#include "internal/pool-account.h"
#include "internal/pool-crash.h"

/* A ticket is not used when less than this is left of its validity, because the start order takes
 * time on the network and may wait in a slow daemon. */
#define TICKET_MARGIN_MS 250
/* Weight of a worker's slowness against its free capacity, multiplied by the square of the job's
 * tightness. Short jobs may take 1.5 times their work and 250 ms, and workers differ in speed by
 * 0.8 to 1.25, so the speed of the worker can decide whether a job with little slack is completed
 * in time. */
#define SLOWNESS_WEIGHT 6.0
/* The same where speeds differ, multiplied by how much the tightness exceeds SLACK_TIGHTNESS. Quick
 * checks (0.55) then find 3.9 in the speeds of workers (0.55 to 1.3 of the mean), more than the
 * free shares of capacity differ by, and gangs (0.4) 1.6. Batches and forecasts (0.2), whose chains
 * may take four times as long, prefer slow workers by 1.6, so that the fast ones stay free; the
 * last step of a chain that has waited is tight again. With 6.0, 948 of 1,267 checks were in time,
 * with 15.0 1,031. */
#define UNEVEN_SLOWNESS_WEIGHT 15.0
#define SLACK_TIGHTNESS 0.3
/* A worker that is this many times slow gets nothing while others have room: a quick check would
 * take twice its objective there. */
#define VERY_SLOW_FACTOR 3.0
/* More than the other costs together; less than that of an answer which is overdue. */
#define VERY_SLOW_COST 50

/* TRUE when a task of SPEC must not share WORKER with the runs there: best-effort tasks and serving
 * steps, which have a latency target, are kept apart. */
static gboolean
conflicts_with_serving (const FbPoolWorker *worker, const fb_work_step *spec)
{
  if (!spec->best_effort && spec->tail_latency_target_ms == 0)
    return FALSE;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const FbPoolRun *run = value;
      if (run->step == NULL)
        continue;
      const fb_work_step *other = run->step->spec;
      if (spec->best_effort ? other->tail_latency_target_ms > 0 : other->best_effort)
        return TRUE;
    }
  return FALSE;
}

static guint
runs_of_step (const FbPoolWorker *worker, const FbPoolStep *step)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer run;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &run))
    n += ((FbPoolRun *) run)->step == step;
  return n;
}

gboolean
fb_pool_has_labels_for (const FbPoolWorker *worker, const fb_work_step *spec)
{
  return *spec->required_label == '\0' || fb_pool_worker_has_label (worker, spec->required_label);
}

gboolean
fb_pool_worker_could_run (const FbPoolWorker *worker, const fb_work_step *spec)
{
  return spec->cpu_milli <= worker->cpu_milli && spec->mem_mb <= worker->mem_mb
         && spec->gpu_count <= worker->gpu_count && fb_pool_has_labels_for (worker, spec);
}

gboolean
fb_pool_worker_accepts_orders (const FbPoolWorker *worker, uint64_t now_ms)
{
  /* The next owner may find a worker in the record only, as its entry may have expired. */
  return worker->listed && worker->recorded && !worker->draining && !worker->closed
         && !worker->runs_ended && !worker->superseded
         && !fb_pool_has_pending_acknowledgement (worker)
         && now_ms >= worker->foreign_acknowledgement_until_ms
         && !fb_pool_worker_silent (worker, now_ms) && now_ms >= worker->paused_until_ms;
}

gboolean
fb_pool_worker_accepts_starts (const FbPoolWorker *worker, uint64_t now_ms)
{
  return fb_pool_worker_accepts_orders (worker, now_ms) && now_ms >= worker->throttled_until_ms;
}

const FbPoolWorkerAdvice *
fb_pool_valid_ticket (const FbPoolStep *step, const FbPoolWorker *worker, uint64_t now_ms)
{
  const FbPoolWorkerAdvice *advice = fb_pool_worker_advice (step, worker);
  return advice != NULL && advice->allowed && now_ms + TICKET_MARGIN_MS < advice->valid_until_ms
             ? advice
             : NULL;
}

gboolean
fb_pool_worker_can_start (const FbPoolWorker *worker, const FbPoolStep *step, uint64_t now_ms)
{
  const fb_work_step *spec = step->spec;
  if (!fb_pool_worker_accepts_starts (worker, now_ms) || !fb_pool_worker_could_run (worker, spec)
      || !fb_pool_worker_fits (worker, spec) || conflicts_with_serving (worker, spec))
    return FALSE;
  return spec->max_per_worker == 0 || runs_of_step (worker, step) < spec->max_per_worker;
}

/* The part of fb_pool_can_start_now() that does not depend on the load of the worker. */
static gboolean
has_ticket (const FbPoolWorker *worker, const FbPoolStep *step, FbPoolTicketRule rule,
            uint64_t now_ms)
{
  if (!step->job->record.policy.advised)
    return TRUE;
  if (rule == FB_TICKET_VALID)
    return fb_pool_valid_ticket (step, worker, now_ms) != NULL;
  const FbPoolWorkerAdvice *advice = fb_pool_worker_advice (step, worker);
  return advice != NULL && advice->allowed;
}

gboolean
fb_pool_can_start_now (const FbPoolWorker *worker, const FbPoolStep *step, FbPoolTicketRule rule,
                       uint64_t now_ms)
{
  return has_ticket (worker, step, rule, now_ms) && fb_pool_worker_can_start (worker, step, now_ms);
}

gboolean
fb_pool_step_may_fit (FbPool *self, const FbPoolStep *step, uint64_t now_ms)
{
  /* The capacity that is reserved for the step itself counts as used in the check below. */
  if (step->last_failed_round + 1 < self->round || now_ms >= step->retry_at_ms
      || step->reserved_on->len > 0)
    return TRUE;
  for (guint i = 0; i < self->gained_capacity->len; i++)
    {
      self->visits_n++;
      const FbPoolWorker *worker = self->gained_capacity->pdata[i];
      const FbPoolWorkerAdvice *advice = fb_pool_worker_advice (step, worker);
      gboolean forbidden = step->job->record.policy.advised && advice != NULL && !advice->allowed;
      if (!forbidden && fb_pool_worker_can_start (worker, step, now_ms))
        return TRUE;
    }
  return FALSE;
}

double
fb_pool_worker_free_share (const FbPoolWorker *worker)
{
  double cpu_left = worker->cpu_milli - worker->cpu_used;
  double mem_left = worker->mem_mb - worker->mem_used;
  double left = cpu_left / MAX (worker->cpu_milli, 1) + 0.5 * mem_left / MAX (worker->mem_mb, 1);
  if (worker->gpu_count > 0)
    left += (double) (worker->gpu_count - worker->gpu_used) / worker->gpu_count;
  return left;
}

gboolean
fb_pool_worker_very_slow (const FbPoolWorker *worker, uint64_t now_ms)
{
  return fb_pool_pace_slowness (worker->speed, now_ms) >= VERY_SLOW_FACTOR;
}

double
fb_pool_slowness_weight (double tightness)
{
  return UNEVEN_SLOWNESS_WEIGHT * (tightness - SLACK_TIGHTNESS);
}

FbSlownessRule
fb_pool_slowness_rule (const FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  double tightness = step->job->tightness;
  if (!self->speeds_differ || step->spec->long_running)
    return (FbSlownessRule){ SLOWNESS_WEIGHT * tightness * tightness, FALSE, now_ms };
  return (FbSlownessRule){ fb_pool_slowness_weight (fb_pool_step_tightness (step, now_ms)), TRUE,
                           now_ms };
}

static double
slowness_cost (const FbPoolWorker *worker, const FbSlownessRule *rule)
{
  double now = fb_pool_pace_slowness (worker->speed, rule->now_ms);
  double counted = rule->at_present ? now : worker->speed->slowness;
  return rule->weight * (counted - 1) + (now >= VERY_SLOW_FACTOR ? VERY_SLOW_COST : 0);
}

/* Cost of WORKER that does not depend on its free capacity. */
static double
load_independent_cost (const FbPoolWorker *worker, const FbPoolStep *step,
                       const FbSlownessRule *rule)
{
  const fb_work_step *spec = step->spec;
  double cost = slowness_cost (worker, rule);
  if (*spec->preferred_rack != '\0' && !fb_pool_worker_has_label (worker, spec->preferred_rack))
    cost += 10;
  if (worker->failure_streak > 0)
    cost += 2.0 * worker->failure_streak;
  return cost;
}

/* Long-running tasks are spread, so that the loss of one worker affects few of them. */
double
fb_pool_placement_cost (const FbPoolWorker *worker, const FbPoolStep *step,
                        const FbSlownessRule *rule)
{
  double fit = fb_pool_worker_free_share (worker);
  return (step->spec->long_running ? -fit : fit) + load_independent_cost (worker, step, rule);
}

FbPoolWorker *
fb_pool_best_worker (FbPool *self, FbPoolStep *step, uint32_t index, const char *rack,
                     const FbPoolWorker *excluded, FbPoolTicketRule rule, uint64_t now_ms)
{
  const FbPoolTask *task = &step->tasks[index];
  gboolean suspect = fb_pool_task_is_suspect (task);
  const FbSlownessRule speed_rule = fb_pool_slowness_rule (self, step, now_ms);
  FbPoolWorker *best = NULL;
  double best_cost = 0;
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  self->visits_n += self->worker_slots->len;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (worker == excluded || (rack != NULL && g_strcmp0 (rack, worker->rack) != 0)
          || worker->isolated_runs_n > 0 || !fb_pool_can_start_now (worker, step, rule, now_ms)
          || !fb_pool_crash_may_use (worker, task, now_ms)
          || (suspect && !fb_pool_crash_may_share (worker, task))
          || fb_pool_worker_has_other_run (worker, step, index))
        continue;
      if (worker->exclusive_for == task)
        return worker;
      double cost = fb_pool_placement_cost (worker, step, &speed_rule)
                    + (suspect ? fb_pool_crash_cost (worker, task, now_ms) : 0);
      if (best == NULL || cost < best_cost
          || (cost == best_cost && worker->id_hash < best->id_hash))
        {
          best = worker;
          best_cost = cost;
        }
    }
  return best;
}

FbPoolWorker *
fb_pool_best_other_worker (FbPool *self, FbPoolStep *step, uint32_t index,
                           const FbPoolWorker *excluded, gboolean *has_ticket, uint64_t now_ms)
{
  FbPoolWorker *other
      = fb_pool_best_worker (self, step, index, NULL, excluded, FB_TICKET_VALID, now_ms);
  *has_ticket = other != NULL;
  if (other == NULL)
    other = fb_pool_best_worker (self, step, index, NULL, excluded, FB_TICKET_ALLOWED, now_ms);
  return other;
}

/* ---- several at once ----------------------------------------------------------- */

guint
fb_pool_choose_workers (FbPool *self, FbPoolStep *step, guint max_n, const char *rack,
                        FbPoolTicketRule rule, FbPoolWorker **chosen, uint64_t now_ms)
{
  /* Where the number of runs per worker is limited, each choice is represented by a temporary run,
   * so that the next one counts it; otherwise reserving the capacity suffices. */
  gboolean counted = step->spec->max_per_worker > 0;
  max_n = fb_pool_account_room_n (step, max_n);
  g_autofree FbPoolRun **runs = g_new0 (FbPoolRun *, max_n);
  g_autoptr (FbPoolCandidates) candidates = NULL;
  guint n = 0;
  for (uint32_t i = 0; i < step->spec->count && n < max_n; i++)
    {
      if (!fb_pool_task_is_pending (&step->tasks[i]))
        continue;
      if (candidates == NULL)
        candidates = fb_pool_candidates_new (self, step, rack, rule, now_ms);
      chosen[n] = fb_pool_candidates_best (candidates, i);
      if (chosen[n] == NULL)
        break;
      g_autofree char *name = counted ? fb_pool_task_name (step, i) : NULL;
      if (counted)
        runs[n] = fb_pool_worker_add_run (chosen[n], step, i, name, 0);
      else
        fb_pool_worker_reserve (chosen[n], step->spec, 1);
      n++;
    }
  for (guint i = 0; i < n; i++)
    {
      if (counted)
        fb_pool_worker_drop_run (chosen[i], runs[i]);
      else
        fb_pool_worker_reserve (chosen[i], step->spec, -1);
    }
  return n;
}

/* Tries each rack in turn. CHOSEN holds the workers only when the result is TRUE. */
static gboolean
choose_one_rack (FbPool *self, FbPoolStep *step, FbPoolTicketRule rule, FbPoolWorker **chosen,
                 uint64_t now_ms)
{
  g_autoptr (GHashTable) tried_racks = g_hash_table_new (g_str_hash, g_str_equal);
  guint slot = 0;
  const FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      const char *rack = worker->rack;
      guint count = step->spec->count;
      if (rack != NULL && g_hash_table_add (tried_racks, (gpointer) rack)
          && fb_pool_choose_workers (self, step, count, rack, rule, chosen, now_ms) == count)
        return TRUE;
    }
  return FALSE;
}

gboolean
fb_pool_choose_gang (FbPool *self, FbPoolStep *step, FbPoolTicketRule rule, FbPoolWorker **chosen,
                     uint64_t now_ms)
{
  guint count = step->spec->count;
  if (step->spec->rack_local && choose_one_rack (self, step, rule, chosen, now_ms))
    return TRUE;
  return fb_pool_choose_workers (self, step, count, NULL, rule, chosen, now_ms) == count;
}

guint
fb_pool_choose_step (FbPool *self, FbPoolStep *step, guint max_n, FbPoolTicketRule rule,
                     FbPoolWorker **chosen, uint64_t now_ms)
{
  if (!step->spec->gang)
    return fb_pool_choose_workers (self, step, max_n, NULL, rule, chosen, now_ms);
  return fb_pool_choose_gang (self, step, rule, chosen, now_ms) ? step->spec->count : 0;
}

/* ---- reserved capacity -------------------------------------------------------------- */

void
fb_pool_reserve (FbPool *self, FbPoolStep *step, FbPoolWorker **chosen, guint n, uint64_t until_ms)
{
  g_ptr_array_unref (fb_pool_release_reservation (self, step));
  step->reserved_until_ms = until_ms;
  for (guint i = 0; i < n; i++)
    {
      fb_pool_worker_reserve (chosen[i], step->spec, 1);
      g_ptr_array_add (step->reserved_on, g_strdup (chosen[i]->id));
    }
}

GPtrArray *
fb_pool_release_reservation (FbPool *self, FbPoolStep *step)
{
  GPtrArray *reserved_on = step->reserved_on;
  for (guint i = 0; i < reserved_on->len; i++)
    {
      FbPoolWorker *worker = g_hash_table_lookup (self->workers, reserved_on->pdata[i]);
      if (worker == NULL)
        continue;
      fb_pool_worker_reserve (worker, step->spec, -1);
      fb_pool_worker_gained_capacity (self, worker);
    }
  step->reserved_on = g_ptr_array_new_with_free_func (g_free);
  step->reserved_until_ms = 0;
  return reserved_on;
}

void
fb_pool_reserve_again (FbPool *self, FbPoolStep *step, GPtrArray *reserved_on, guint max_n,
                       uint64_t until_ms)
{
  step->reserved_until_ms = until_ms;
  for (guint i = 0; i < MIN (reserved_on->len, max_n); i++)
    {
      FbPoolWorker *worker = g_hash_table_lookup (self->workers, reserved_on->pdata[i]);
      if (worker == NULL)
        continue;
      fb_pool_worker_reserve (worker, step->spec, 1);
      g_ptr_array_add (step->reserved_on, g_strdup (worker->id));
    }
}
