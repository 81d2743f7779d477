/* Workers, and the part of the oracle that checks each start. */
#include "account-world.h"

/* ---- workers ----------------------------------------------------------------------- */

int64_t
account_world_running (World *world, guint account)
{
  int64_t cpu_milli = 0;
  for (guint i = 0; i < SERVICES_N; i++)
    {
      for (guint j = 0; j < WORKERS_N; j++)
        {
          const GPtrArray *runs = world->workers[i][j].runs;
          for (guint k = 0; k < runs->len; k++)
            {
              const Run *run = runs->pdata[k];
              cpu_milli += run->account == account ? run->cpu_milli : 0;
            }
        }
    }
  return cpu_milli;
}

static void
check_start (World *world, const Run *run)
{
  guint account = run->account;
  int64_t cap = world->accounts[account].cap.cpu_milli;
  if (world->now_ms < world->changed_ms[account] + CONFIG_MAX_MS)
    cap = MAX (cap, world->previous_cap[account]);
  int64_t running = account_world_running (world, account);
  if (running > cap)
    account_world_fail (world, "account %s runs %d of %d after the start of %s",
                        world->accounts[account].name, (int) running, (int) cap, run->task);
}

static const Job *
job_of (const World *world, const char *task)
{
  for (guint i = 0; i < world->jobs->len; i++)
    {
      const Job *job = world->jobs->pdata[i];
      if (g_str_has_prefix (task, job->id))
        return job;
    }
  g_assert_not_reached ();
}

void
account_world_run_free (gpointer data)
{
  Run *run = data;
  g_free (run->task);
  g_free (run);
}

static Run *
find_run (const Worker *worker, const char *task)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      Run *run = worker->runs->pdata[i];
      if (g_str_equal (run->task, task))
        return run;
    }
  return NULL;
}

void
account_world_end_run (Worker *worker, Run *run, FbEndReason reason)
{
  const FbReportedEnd end
      = { ++worker->last_end, g_strdup (run->task), run->attempt, reason, g_strdup ("") };
  g_array_append_val (worker->ends, end);
  g_ptr_array_remove (worker->runs, run);
}

static FbOrderResult
carry_out_start (World *world, const Event *event)
{
  Worker *worker = event->worker;
  if (event->epoch < worker->epoch)
    return FB_ORDER_FENCED;
  worker->epoch = event->epoch;
  if (world->now_ms > event->deadline_ms)
    return FB_ORDER_PAST_DEADLINE;
  worker->lease_ms = MAX (worker->lease_ms, event->deadline_ms);
  if (find_run (worker, event->task) != NULL)
    return FB_ORDER_DONE;
  const Job *job = job_of (world, event->task);
  Run *run = g_new0 (Run, 1);
  run->task = g_strdup (event->task);
  run->attempt = event->attempt;
  run->account = job->account;
  run->cpu_milli = job->step.cpu_milli;
  run->ends_ms = world->now_ms + (uint64_t) g_rand_int_range (world->rand, 200, 4000);
  g_ptr_array_add (worker->runs, run);
  world->starts_n++;
  check_start (world, run);
  return FB_ORDER_DONE;
}

static void
answer (World *world, const Event *event, EventKind kind, FbOrderResult result)
{
  const Owner *owner = account_world_owner (world, event->service, event->epoch);
  if (owner == NULL)
    return;
  Event *reply = account_world_schedule (world, kind, owner);
  reply->worker = event->worker;
  reply->task = g_strdup (event->task);
  reply->order = event->order;
  reply->result = result;
  reply->acknowledged = event->acknowledged;
  account_world_post (world, reply);
}

void
account_world_start (World *world, const Event *event)
{
  if (world->now_ms < event->worker->cut_until_ms)
    {
      answer (world, event, EVENT_START_ANSWER, FB_ORDER_UNKNOWN);
      return;
    }
  FbOrderResult result = carry_out_start (world, event);
  answer (world, event, EVENT_START_ANSWER,
          account_world_chance (world, 0.03) ? FB_ORDER_UNKNOWN : result);
}

void
account_world_stop (World *world, const Event *event)
{
  Worker *worker = event->worker;
  if (world->now_ms < worker->cut_until_ms || event->epoch < worker->epoch)
    return;
  Run *run = find_run (worker, event->task);
  if (run != NULL && run->attempt == event->attempt)
    account_world_end_run (worker, run, FB_END_STOPPED);
}

void
account_world_poll (World *world, const Event *event)
{
  Worker *worker = event->worker;
  FbOrderResult result = FB_ORDER_DONE;
  if (world->now_ms < worker->cut_until_ms || account_world_chance (world, 0.01))
    result = FB_ORDER_UNKNOWN;
  else if (event->epoch < worker->epoch)
    result = FB_ORDER_FENCED;
  else
    {
      worker->epoch = event->epoch;
      worker->lease_ms = MAX (worker->lease_ms, event->deadline_ms);
    }
  guint forgotten = 0;
  while (result == FB_ORDER_DONE && forgotten < worker->ends->len
         && g_array_index (worker->ends, FbReportedEnd, forgotten).number <= event->acknowledged)
    forgotten++;
  g_array_remove_range (worker->ends, 0, forgotten);
  answer (world, event, EVENT_POLL_ANSWER, result);
}

/* The lists are those of the moment at which the answer arrives. */
void
account_world_poll_answered (World *world, Owner *owner, const Event *event)
{
  g_autoptr (GArray) running = g_array_new (FALSE, TRUE, sizeof (FbReportedRun));
  for (guint i = 0; i < event->worker->runs->len; i++)
    {
      const Run *run = event->worker->runs->pdata[i];
      FbReportedRun row = { run->task, run->attempt, "", FB_PERCENT_NOT_REPORTED };
      g_array_append_val (running, row);
    }
  const FbPollAnswer poll_answer = { .result = event->result,
                                     .clock_ms = world->now_ms,
                                     .running = running,
                                     .finished = event->worker->ends };
  fb_pool_poll_answered (owner->pool, event->worker->id, &poll_answer, world->now_ms,
                         WALL_MS + world->now_ms);
}
