/* Preemption: frees capacity for large tasks and gangs by stopping runs of lower priority that lose
 * no work.
 *
 * A checkpointing task also saves a checkpoint when it is stopped, and continues elsewhere after
 * its restore time (0.1 to 0.25 s). Without preemption, small tasks that are started one by one
 * into all freed capacity would starve gangs and tasks that need a whole worker. */
#include "internal/pool-order.h"

#include "fb-counter.h"
#include "fb-event.h"

/* A run is preempted only if its job has this much more slack than the pending one: a stop, the
 * wait for other capacity and a restore take about a second. */
#define MIN_EXTRA_SLACK_MS 2000

/* Returns: how long STEP could wait without delaying its job past its objective; negative when the
 * job is already late.  Where client accounts are configured, the whole rest of the job counts as
 * in the order of waiting steps, otherwise the estimated run time of the step. */
static int64_t
slack_ms (const FbPool *self, const FbPoolStep *step, uint64_t now_ms)
{
  if (self->orders_by_slack)
    return fb_pool_order_slack_ms (step, now_ms);
  return (int64_t) step->job->objective_ms - (int64_t) now_ms - (int64_t) step->spec->estimate_ms;
}

/* TRUE when RUN may be preempted for the step TO.
 *
 * Runs that may be preempted any number of times may be stopped repeatedly and never end. In a
 * heavy load test this starved a queue of lower priority: the share of its jobs that ended in time
 * fell from 0.97 to 0.45. So a task is preempted only once, and only while its job has clearly more
 * slack than the pending one. */
static gboolean
is_preemptible (FbPool *self, const FbPoolRun *run, const FbPoolStep *to, uint64_t now_ms)
{
  if (run->step == NULL || run->state != FB_RUN_RUNNING || run->abandoned)
    return FALSE;
  const fb_work_step *spec = run->step->spec;
  if (!spec->checkpointing || spec->gang || spec->long_running
      || run->step->tasks[run->index].was_preempted)
    return FALSE;
  if (run->step->job->record.policy.priority <= to->job->record.policy.priority)
    return FALSE;
  self->visits_n += self->orders_by_slack ? 2 * FB_POOL_ORDER_KEY_VISITS : 0;
  return slack_ms (self, run->step, now_ms)
         > MAX (slack_ms (self, to, now_ms), 0) + MIN_EXTRA_SLACK_MS;
}

/* Subtracts the resources of the preemptible runs from those used on their workers (SIGN -1), or
 * adds them again (1). */
static void
charge_preemptible (FbPool *self, const FbPoolStep *to, int sign, uint64_t now_ms)
{
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      GHashTableIter runs;
      gpointer run;
      self->visits_n += 1 + g_hash_table_size (worker->runs);
      g_hash_table_iter_init (&runs, worker->runs);
      while (g_hash_table_iter_next (&runs, NULL, &run))
        {
          if (is_preemptible (self, run, to, now_ms))
            fb_pool_worker_charge (worker, run, sign);
        }
    }
}

/* Returns: (nullable): the preemptible run that loses the least work: the one started last. */
static FbPoolRun *
next_victim (FbPool *self, const FbPoolWorker *worker, const FbPoolStep *to, uint64_t now_ms)
{
  FbPoolRun *best = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolRun *run = value;
      if (is_preemptible (self, run, to, now_ms)
          && (best == NULL || run->started_ms > best->started_ms))
        best = run;
    }
  return best;
}

static gboolean
is_overcommitted (const FbPoolWorker *worker)
{
  return worker->cpu_used + worker->cpu_reserved > worker->cpu_milli
         || worker->mem_used + worker->mem_reserved > worker->mem_mb
         || worker->gpu_used + worker->gpu_reserved > worker->gpu_count;
}

/* Stops runs on WORKER until the capacity reserved for STEP will be free once they have ended. */
static void
preempt_runs (FbPool *self, FbPoolWorker *worker, const FbPoolStep *step, uint64_t now_ms)
{
  g_autoptr (GPtrArray) stopped = g_ptr_array_new ();
  while (is_overcommitted (worker))
    {
      FbPoolRun *run = next_victim (self, worker, step, now_ms);
      if (run == NULL)
        break;
      fb_event_log (FB_EVENT_TASK_PREEMPTED, "task=%s attempt=%u worker=%s for=%s priority=%u",
                    run->name, run->attempt, worker->id, step->job->id,
                    step->job->record.policy.priority);
      run->step->tasks[run->index].was_preempted = TRUE;
      fb_counter_add (FB_COUNTER_PREEMPTIONS, 1);
      fb_pool_order_stop (self, worker, run, now_ms);
      fb_pool_worker_charge (worker, run, -1);
      g_ptr_array_add (stopped, run);
    }
  /* a stopped run uses its capacity until its end is reported */
  for (guint i = 0; i < stopped->len; i++)
    fb_pool_worker_charge (worker, stopped->pdata[i], 1);
}

guint
fb_pool_preempt (FbPool *self, FbPoolStep *step, guint max_n, FbPoolWorker **chosen,
                 uint64_t until_ms, uint64_t now_ms)
{
  charge_preemptible (self, step, -1, now_ms);
  guint n = fb_pool_choose_step (self, step, max_n, FB_TICKET_ALLOWED, chosen, now_ms);
  charge_preemptible (self, step, 1, now_ms);
  if (n == 0)
    return 0;
  fb_pool_reserve (self, step, chosen, n, until_ms);
  for (guint i = 0; i < n; i++)
    preempt_runs (self, chosen[i], step, now_ms);
  return n;
}
