#include "busy-pool.h"
#include "idle-callbacks.h"
#include "recorded-workers.h"

#include <stdlib.h>

void
busy_pool_init_job (fb_work_admit *record, fb_work_step *step)
{
  *step = (fb_work_step){
    .count = JOB_TASKS, .cpu_milli = TASK_CPU, .mem_mb = 100, .estimate_ms = 600000
  };
  step->preferred_rack = step->required_label = step->image = "";
  *record = (fb_work_admit){ .accepted_ms = (uint64_t) g_get_real_time () / 1000 };
  record->policy = (fb_work_policy){ .queue = QUEUE,
                                     .service = SERVICE,
                                     .max_attempts = 3,
                                     .stretch_factor_milli = 2000,
                                     .target_ms = 1000 };
  record->spec.payload = "600000";
  record->spec.steps.steps_len = 1;
  record->spec.steps.steps_val = step;
}

static void
on_start (gpointer user, const FbStartOrder *order)
{
  BusyPool *busy = user;
  FbReportedRun run = { g_strdup (order->task), order->attempt, "", FB_PERCENT_NOT_REPORTED };
  g_array_append_val (busy->workers[atoi (order->worker)].runs, run);
  g_array_append_val (busy->starts, order->order);
  busy->started_n++;
}

static void
on_poll (gpointer user, const FbPollOrder *order)
{
  ((BusyPool *) user)->workers[atoi (order->worker)].poll_open = TRUE;
}

static const FbPoolCallbacks busy_pool_callbacks
    = { on_start, idle_on_stop, on_poll, idle_on_request_advice, idle_on_fenced, NULL, NULL, NULL };

static void
answer_poll (BusyPool *busy, guint i, GArray *finished, uint64_t now_ms)
{
  BusyWorker *worker = &busy->workers[i];
  g_autofree char *id = g_strdup_printf ("%u", i);
  const FbPollAnswer answer = { .clock_ms = now_ms, .running = worker->runs, .finished = finished };
  worker->poll_open = FALSE;
  fb_pool_poll_answered (busy->pool, id, &answer, now_ms, WALL_OFFSET_MS + now_ms);
}

void
busy_pool_answer_all (BusyPool *busy, uint64_t now_ms)
{
  for (guint i = 0; i < busy->starts->len; i++)
    fb_pool_start_answered (busy->pool, g_array_index (busy->starts, uint64_t, i), FB_ORDER_DONE,
                            now_ms, now_ms);
  g_array_set_size (busy->starts, 0);
  g_autoptr (GArray) finished = g_array_new (FALSE, TRUE, sizeof (FbReportedEnd));
  for (guint i = 0; i < WORKER_N; i++)
    {
      if (busy->workers[i].poll_open)
        answer_poll (busy, i, finished, now_ms);
    }
}

void
busy_pool_end_run (BusyPool *busy, guint worker, uint64_t number, uint64_t now_ms)
{
  GArray *runs = busy->workers[worker].runs;
  g_autoptr (GArray) finished = g_array_new (FALSE, TRUE, sizeof (FbReportedEnd));
  const FbReportedRun *run = &g_array_index (runs, FbReportedRun, 0);
  g_autofree char *task = g_strdup (run->task);
  const FbReportedEnd end = {
    .number = number, .task = task, .attempt = run->attempt, .reason = FB_END_DONE, .checkpoint = ""
  };
  g_array_append_val (finished, end);
  g_array_remove_index (runs, 0);
  answer_poll (busy, worker, finished, now_ms);
}

gboolean
busy_pool_is_running (const BusyPool *busy, const char *job)
{
  for (guint i = 0; i < WORKER_N; i++)
    {
      for (guint j = 0; j < busy->workers[i].runs->len; j++)
        if (g_str_has_prefix (g_array_index (busy->workers[i].runs, FbReportedRun, j).task, job))
          return TRUE;
    }
  return FALSE;
}

static void
clear_run (gpointer run)
{
  g_free (((FbReportedRun *) run)->task);
}

void
busy_pool_list_worker (BusyPool *busy, guint i, const char *label, uint64_t now_ms)
{
  const char *const labels[] = { label, "r1", NULL };
  g_autofree char *id = g_strdup_printf ("%u", i);
  const FbWorkerEntry entry = { .id = id,
                                .address = id,
                                .rack = "r1",
                                .labels = labels,
                                .cpu_milli = WORKER_CPU,
                                .mem_mb = 65536 };
  list_recorded_worker (busy->pool, &entry, now_ms);
}

void
busy_pool_list_workers (BusyPool *busy, uint64_t now_ms)
{
  for (guint i = 0; i < WORKER_N; i++)
    busy_pool_list_worker (busy, i, "a", now_ms);
  fb_pool_workers_complete (busy->pool);
}

void
busy_pool_admit (BusyPool *busy, const char *id, uint32_t priority, const char *label, guint tasks,
                 uint64_t now_ms)
{
  fb_work_admit record;
  fb_work_step step;
  busy_pool_init_job (&record, &step);
  record.policy.priority = priority;
  step.count = tasks;
  step.required_label = (char *) label;
  fb_pool_add_job (busy->pool, id, &record, now_ms, WALL_OFFSET_MS + now_ms);
}

void
busy_pool_admit_backlog (BusyPool *busy, uint32_t priority, const char *label, uint64_t now_ms)
{
  for (guint i = 0; i < JOB_N; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", i + 1);
      busy_pool_admit (busy, id, priority, label, JOB_TASKS, now_ms);
    }
}

void
busy_pool_begin (BusyPool *busy, uint64_t now_ms)
{
  static const FbPoolLimits limits
      = { .max_lease_ms = 6000, .max_stop_ms = 200, .gang_wait_ms = 3000 };
  busy->starts = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  busy->pool = fb_pool_new (SERVICE, 1, &limits, &busy_pool_callbacks, busy, now_ms);
  fb_pool_set_leases_until (busy->pool, G_MAXUINT64);
  for (guint i = 0; i < WORKER_N; i++)
    {
      busy->workers[i].runs = g_array_new (FALSE, TRUE, sizeof (FbReportedRun));
      g_array_set_clear_func (busy->workers[i].runs, clear_run);
    }
}

void
busy_pool_clear (BusyPool *busy)
{
  for (guint i = 0; i < WORKER_N; i++)
    g_array_unref (busy->workers[i].runs);
  g_array_unref (busy->starts);
  fb_pool_free (busy->pool);
}
