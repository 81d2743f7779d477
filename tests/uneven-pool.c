#include "uneven-pool.h"
#include "idle-callbacks.h"
#include "recorded-workers.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define WALL_OFFSET_MS 1000000000
#define SERVICE "svc"

static guint
worker_index (const char *id)
{
  return (guint) atoi (id + 1);
}

static char *
worker_id (guint i)
{
  return g_strdup_printf ("w%02u", i);
}

static UnevenRun *
find_run (UnevenWorker *worker, const char *task, uint32_t attempt, guint *position)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      UnevenRun *run = &g_array_index (worker->runs, UnevenRun, i);
      *position = i;
      if (g_str_equal (run->task, task) && run->attempt == attempt)
        return run;
    }
  return NULL;
}

/* ---- orders -------------------------------------------------------------------- */

static void
on_start (gpointer user, const FbStartOrder *order)
{
  UnevenPool *self = user;
  UnevenWorker *worker = &self->workers[worker_index (order->worker)];
  UnevenRun run
      = { .task = g_strdup (order->task),
          .attempt = order->attempt,
          .started_ms = self->now_ms,
          .length_ms
          = self->length_ms != NULL ? self->length_ms (order->task, order->attempt) : 1000 };
  if (*order->checkpoint != '\0')
    {
      run.done_ms = atoi (order->checkpoint + 1) * run.length_ms / 100;
      run.restore_ms = UNEVEN_RESTORE_MS;
    }
  g_array_append_val (worker->runs, run);
  g_array_append_val (self->starts, order->order);
  worker->started_n++;
  self->started_n++;
}

static void
on_stop (gpointer user, const FbStopOrder *order)
{
  UnevenPool *self = user;
  guint position = 0;
  UnevenRun *run = find_run (&self->workers[worker_index (order->worker)], order->task,
                             order->attempt, &position);
  g_array_append_val (self->stops, order->order);
  if (run == NULL || run->stop_at_ms != 0)
    return;
  run->stop_at_ms = self->now_ms + UNEVEN_STOP_MS;
  self->stopped_n++;
}

static void
clear_end (gpointer end)
{
  g_free (((FbReportedEnd *) end)->task);
  g_free (((FbReportedEnd *) end)->checkpoint);
}

static void
on_poll (gpointer user, const FbPollOrder *order)
{
  UnevenPool *self = user;
  UnevenWorker *worker = &self->workers[worker_index (order->worker)];
  while (worker->ends->len > 0
         && g_array_index (worker->ends, FbReportedEnd, 0).number <= order->acknowledged)
    g_array_remove_index (worker->ends, 0);
  worker->poll_open = TRUE;
  worker->poll_until_ms = self->now_ms + order->wait_ms;
}

static const FbPoolCallbacks callbacks
    = { on_start, on_stop, on_poll, idle_on_request_advice, idle_on_fenced, NULL, NULL, NULL };

/* ---- workers ------------------------------------------------------------------- */

static void
clear_run (gpointer run)
{
  g_free (((UnevenRun *) run)->task);
}

static void
end_run (const UnevenPool *self, UnevenWorker *worker, guint position, FbEndReason reason)
{
  const UnevenRun *run = &g_array_index (worker->runs, UnevenRun, position);
  const int percent = (int) (run->done_ms * 100 / run->length_ms);
  const FbReportedEnd end = { .number = ++worker->last_end,
                              .task = g_strdup (run->task),
                              .attempt = run->attempt,
                              .reason = reason,
                              .checkpoint = reason == FB_END_STOPPED && self->saves_checkpoints
                                                ? g_strdup_printf ("c%d", percent)
                                                : g_strdup ("") };
  g_array_append_val (worker->ends, end);
  g_array_remove_index (worker->runs, position);
}

static void
advance_worker (const UnevenPool *self, UnevenWorker *worker)
{
  for (guint i = worker->runs->len; i > 0; i--)
    {
      UnevenRun *run = &g_array_index (worker->runs, UnevenRun, i - 1);
      if (run->restore_ms > 0)
        run->restore_ms -= UNEVEN_STEP_MS;
      else
        run->done_ms += UNEVEN_STEP_MS * worker->speed;
      if (run->stop_at_ms != 0 && self->now_ms >= run->stop_at_ms)
        end_run (self, worker, i - 1, FB_END_STOPPED);
      else if (run->done_ms >= run->length_ms)
        end_run (self, worker, i - 1, FB_END_DONE);
    }
}

static uint8_t
percent_of (const UnevenWorker *worker, const UnevenRun *run)
{
  if (worker->fixed_percent >= 0)
    return (uint8_t) worker->fixed_percent;
  if (worker->fixed_percent == -2)
    return FB_PERCENT_NOT_REPORTED;
  return (uint8_t) MIN (run->done_ms * 100 / run->length_ms, 100);
}

static void
answer_poll (UnevenPool *self, guint i)
{
  UnevenWorker *worker = &self->workers[i];
  g_autoptr (GArray) running = g_array_new (FALSE, TRUE, sizeof (FbReportedRun));
  for (guint j = 0; j < worker->runs->len; j++)
    {
      const UnevenRun *run = &g_array_index (worker->runs, UnevenRun, j);
      const FbReportedRun row = { run->task, run->attempt, (char *) "", percent_of (worker, run) };
      g_array_append_val (running, row);
    }
  const FbPollAnswer answer
      = { .clock_ms = self->now_ms, .running = running, .finished = worker->ends };
  g_autofree char *id = worker_id (i);
  worker->poll_open = FALSE;
  fb_pool_poll_answered (self->pool, id, &answer, self->now_ms, WALL_OFFSET_MS + self->now_ms);
}

static void
answer_orders (UnevenPool *self)
{
  for (guint i = 0; i < self->starts->len; i++)
    fb_pool_start_answered (self->pool, g_array_index (self->starts, uint64_t, i), FB_ORDER_DONE,
                            self->now_ms, self->now_ms);
  for (guint i = 0; i < self->stops->len; i++)
    fb_pool_stop_answered (self->pool, g_array_index (self->stops, uint64_t, i), FB_ORDER_DONE,
                           self->now_ms, self->now_ms);
  g_array_set_size (self->starts, 0);
  g_array_set_size (self->stops, 0);
}

/* ---- time ------------------------------------------------------------------------ */

static void
step_once (UnevenPool *self)
{
  self->now_ms += UNEVEN_STEP_MS;
  for (guint i = 0; i < self->workers_n; i++)
    {
      UnevenWorker *worker = &self->workers[i];
      advance_worker (self, worker);
      if (worker->poll_open && (worker->ends->len > 0 || self->now_ms >= worker->poll_until_ms))
        answer_poll (self, i);
    }
  fb_pool_tick (self->pool, TRUE, self->now_ms, WALL_OFFSET_MS + self->now_ms);
  answer_orders (self);
  g_autoptr (GPtrArray) records
      = fb_pool_flush (self->pool, self->now_ms, WALL_OFFSET_MS + self->now_ms);
  if (records != NULL)
    fb_pool_flushed (self->pool, self->now_ms);
}

void
uneven_pool_run (UnevenPool *self, uint64_t ms)
{
  for (uint64_t until_ms = self->now_ms + ms; self->now_ms < until_ms;)
    step_once (self);
}

uint64_t
uneven_pool_run_until_done (UnevenPool *self, const char *job, uint64_t max_ms)
{
  const uint64_t from_ms = self->now_ms;
  fb_work_state state = FB_WORK_QUEUED;
  while (self->now_ms < from_ms + max_ms
         && (!fb_pool_job_state (self->pool, job, &state) || state != FB_WORK_COMPLETED))
    step_once (self);
  return self->now_ms - from_ms;
}

/* ---- jobs ------------------------------------------------------------------------- */

char *
uneven_pool_admit (UnevenPool *self, const fb_work_step *spec, uint32_t target_ms)
{
  fb_work_step step = *spec;
  step.count = MAX (step.count, 1);
  step.cpu_milli = step.cpu_milli != 0 ? step.cpu_milli : 2000;
  step.mem_mb = 100;
  step.estimate_ms = step.estimate_ms != 0 ? step.estimate_ms : 1000;
  step.preferred_rack = step.required_label = step.image = (char *) "";
  fb_work_admit record = { .accepted_ms = WALL_OFFSET_MS + self->now_ms };
  record.policy = (fb_work_policy){ .queue = (char *) "q",
                                    .service = (char *) SERVICE,
                                    .max_attempts = 3,
                                    .stretch_factor_milli = 2000,
                                    .target_ms = target_ms };
  record.account = (char *) "";
  record.spec.payload = (char *) "";
  record.spec.steps.steps_len = 1;
  record.spec.steps.steps_val = &step;
  char *id = g_strdup_printf ("%016x", ++self->jobs_n);
  fb_pool_add_job (self->pool, id, &record, self->now_ms, WALL_OFFSET_MS + self->now_ms);
  return id;
}

guint
uneven_pool_runs_on (const UnevenPool *self, const char *job, guint i)
{
  guint n = 0;
  for (guint j = 0; j < self->workers[i].runs->len; j++)
    n += g_str_has_prefix (g_array_index (self->workers[i].runs, UnevenRun, j).task, job);
  return n;
}

/* ---- the pool ----------------------------------------------------------------------- */

void
uneven_pool_begin (UnevenPool *self, guint workers_n)
{
  static const FbPoolLimits limits
      = { .max_lease_ms = 6000, .max_stop_ms = 200, .gang_wait_ms = 3000 };
  static const char *const labels[] = { "a", NULL };
  self->now_ms = UNEVEN_START_MS;
  self->workers_n = workers_n;
  self->starts = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  self->stops = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  self->pool = fb_pool_new (SERVICE, 1, &limits, &callbacks, self, self->now_ms);
  fb_pool_set_leases_until (self->pool, G_MAXUINT64);
  for (guint i = 0; i < workers_n; i++)
    {
      UnevenWorker *worker = &self->workers[i];
      worker->speed = 1;
      worker->fixed_percent = -1;
      worker->runs = g_array_new (FALSE, TRUE, sizeof (UnevenRun));
      worker->ends = g_array_new (FALSE, TRUE, sizeof (FbReportedEnd));
      g_array_set_clear_func (worker->runs, clear_run);
      g_array_set_clear_func (worker->ends, clear_end);
      g_autofree char *id = worker_id (i);
      const FbWorkerEntry entry = {
        .id = id, .address = id, .labels = labels, .cpu_milli = UNEVEN_WORKER_CPU, .mem_mb = 64000
      };
      list_recorded_worker (self->pool, &entry, self->now_ms);
    }
  fb_pool_workers_complete (self->pool);
  uneven_pool_run (self, 1000);
}

void
uneven_pool_clear (UnevenPool *self)
{
  for (guint i = 0; i < self->workers_n; i++)
    {
      g_array_unref (self->workers[i].runs);
      g_array_unref (self->workers[i].ends);
    }
  g_array_unref (self->starts);
  g_array_unref (self->stops);
  fb_pool_free (self->pool);
}
