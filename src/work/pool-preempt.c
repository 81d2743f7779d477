/* Making room for large tasks and gangs by stopping work of lower priority that loses
 * nothing.
 *
 * A task that saves its progress also saves it when it is stopped, and goes on elsewhere
 * after its restore time (0.1 to 0.25 s).  Small tasks that are started one by one into
 * each room that comes free would otherwise keep waiting what needs a whole worker, or
 * several at once. */
#include "internal/pool-private.h"

#include "fb-counter.h"
#include "fb-event.h"

/* Work gives way only if its job has so much more time than the one that waits: a stop,
 * a wait for other room and a restore take about a second. */
#define GIVE_WAY_MS 2000

/* What is left until the caller wants the job, less the step's run time; below 0 it is
 * late already. */
static int64_t
slack_ms (const FbPoolStep *step, uint64_t now_ms)
{
  return (int64_t) step->job->objective_ms - (int64_t) now_ms - (int64_t) step->shape->estimate_ms;
}

/* Failure: work that gives way each time is stopped again and again and never ends; it
 * shows as a queue of lower priority that starves on a heavy day (in time 0.97 to 0.45).
 * Guard: a task gives way once, and only while its job has clearly more time than the one
 * that waits. */
static gboolean
gives_way (const FbPoolRun *run, const FbPoolStep *to, uint64_t now_ms)
{
  if (run->step == NULL || run->state != FB_RUN_RUNNING || run->abandoned)
    return FALSE;
  const fb_work_step *shape = run->step->shape;
  if (!shape->checkpointing || shape->gang || shape->long_running
      || run->step->tasks[run->index].was_preempted)
    return FALSE;
  return run->step->job->record.policy.priority > to->job->record.policy.priority
         && slack_ms (run->step, now_ms) > MAX (slack_ms (to, now_ms), 0) + GIVE_WAY_MS;
}

/* Takes what would give way out of the ledgers (SIGN -1), or puts it back (1). */
static void
charge_all (FbPool *self, const FbPoolStep *to, int sign, uint64_t now_ms)
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
          if (gives_way (run, to, now_ms))
            fb_pool_worker_charge (worker, run, sign);
        }
    }
}

/* The run whose stop costs least: the one that was started last. */
static FbPoolRun *
next_to_stop (const FbPoolWorker *worker, const FbPoolStep *to, uint64_t now_ms)
{
  FbPoolRun *best = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolRun *run = value;
      if (gives_way (run, to, now_ms) && (best == NULL || run->started_ms > best->started_ms))
        best = run;
    }
  return best;
}

static gboolean
is_over_full (const FbPoolWorker *worker)
{
  return worker->cpu_used + worker->cpu_reserved > worker->cpu_milli
         || worker->mem_used + worker->mem_reserved > worker->mem_mb
         || worker->gpu_used + worker->gpu_reserved > worker->gpu_count;
}

/* Stops runs until what is held for the gang will fit when they have ended. */
static void
stop_for (FbPool *self, FbPoolWorker *worker, const FbPoolStep *step, uint64_t now_ms)
{
  g_autoptr (GPtrArray) stopped = g_ptr_array_new ();
  while (is_over_full (worker))
    {
      FbPoolRun *run = next_to_stop (worker, step, now_ms);
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
  /* It holds its room until its end is listed. */
  for (guint i = 0; i < stopped->len; i++)
    fb_pool_worker_charge (worker, stopped->pdata[i], 1);
}

guint
fb_pool_make_room (FbPool *self, FbPoolStep *step, guint most, FbPoolWorker **chosen,
                   uint64_t until_ms, uint64_t now_ms)
{
  charge_all (self, step, -1, now_ms);
  guint n = fb_pool_choose_step (self, step, most, FB_TICKET_ALLOWED, chosen, now_ms);
  charge_all (self, step, 1, now_ms);
  if (n == 0)
    return 0;
  fb_pool_reserve (self, step, chosen, n, until_ms);
  for (guint i = 0; i < n; i++)
    stop_for (self, chosen[i], step, now_ms);
  return n;
}
