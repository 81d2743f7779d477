#include "large-pool.h"

#include "idle-callbacks.h"
#include "recorded-workers.h"

#include <string.h>

static void
clear_run (gpointer run)
{
  g_free (((FbReportedRun *) run)->task);
}

static void
clear_end (gpointer end)
{
  g_free (((FbReportedEnd *) end)->task);
}

static void
on_start (gpointer user, const FbStartOrder *order)
{
  LargePool *self = user;
  LargePoolWorker *worker = g_hash_table_lookup (self->by_id, order->worker);
  FbReportedRun run = { g_strdup (order->task), order->attempt, "", FB_PERCENT_NOT_REPORTED };
  g_array_append_val (worker->runs, run);
  g_array_append_val (self->starts, order->order);
  self->started_n++;
}

static void
on_poll (gpointer user, const FbPollOrder *order)
{
  LargePool *self = user;
  LargePoolWorker *worker = g_hash_table_lookup (self->by_id, order->worker);
  worker->poll_open = TRUE;
  self->polls_n++;
  guint kept_n = 0;
  while (kept_n < worker->ends->len
         && g_array_index (worker->ends, FbReportedEnd, kept_n).number <= order->acknowledged)
    kept_n++;
  if (kept_n > 0)
    g_array_remove_range (worker->ends, 0, kept_n);
}

static const FbPoolCallbacks callbacks
    = { on_start, idle_on_stop, on_poll, idle_on_request_advice, idle_on_fenced, NULL, NULL, NULL };

static void
list_worker (LargePool *self, const LargePoolWorker *worker, uint64_t now_ms)
{
  static const char *const labels[] = { "a", NULL };
  const FbWorkerEntry entry = { .id = worker->id,
                                .address = worker->id,
                                .rack = "r1",
                                .labels = labels,
                                .cpu_milli = LARGE_POOL_WORKER_CPU,
                                .mem_mb = 65536 };
  list_recorded_worker (self->pool, &entry, now_ms);
}

void
large_pool_begin (LargePool *self, guint workers_n, uint64_t now_ms)
{
  static const FbPoolLimits limits = { .max_lease_ms = 6000,
                                       .max_stop_ms = 200,
                                       .gang_wait_ms = 3000,
                                       .max_progress_bytes = LARGE_POOL_PROGRESS_MAX_BYTES };
  *self = (LargePool){ .workers_n = workers_n, .workers = g_new0 (LargePoolWorker, workers_n) };
  self->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  self->starts = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  self->pool = fb_pool_new (LARGE_POOL_SERVICE, 1, &limits, &callbacks, self, now_ms);
  fb_pool_set_leases_until (self->pool, G_MAXUINT64);
  for (guint i = 0; i < workers_n; i++)
    {
      LargePoolWorker *worker = &self->workers[i];
      worker->id
          = g_strdup_printf ("10.%u.%u.%u-8080-%06u-worker", i / 62500, i / 250 % 250, i % 250, i);
      worker->runs = g_array_new (FALSE, TRUE, sizeof (FbReportedRun));
      worker->ends = g_array_new (FALSE, TRUE, sizeof (FbReportedEnd));
      g_array_set_clear_func (worker->runs, clear_run);
      g_array_set_clear_func (worker->ends, clear_end);
      g_hash_table_insert (self->by_id, worker->id, worker);
      list_worker (self, worker, now_ms);
    }
  fb_pool_workers_complete (self->pool);
}

void
large_pool_clear (LargePool *self)
{
  fb_pool_free (self->pool);
  for (guint i = 0; i < self->workers_n; i++)
    {
      g_array_unref (self->workers[i].runs);
      g_array_unref (self->workers[i].ends);
      g_free (self->workers[i].id);
    }
  g_array_unref (self->starts);
  g_hash_table_unref (self->by_id);
  g_free (self->workers);
}

void
large_pool_admit (LargePool *self, const char *id, guint tasks, uint32_t task_cpu, uint64_t now_ms)
{
  fb_work_step step = { .count = tasks, .cpu_milli = task_cpu, .mem_mb = 10, .estimate_ms = 60000 };
  step.preferred_rack = step.required_label = step.image = "";
  fb_work_admit record = { .accepted_ms = (uint64_t) g_get_real_time () / 1000 };
  record.policy = (fb_work_policy){ .queue = "q",
                                    .service = LARGE_POOL_SERVICE,
                                    .max_attempts = 3,
                                    .stretch_factor_milli = 2000,
                                    .target_ms = 1000 };
  record.spec.payload = "60000";
  record.spec.steps.steps_len = 1;
  record.spec.steps.steps_val = &step;
  fb_pool_add_job (self->pool, id, &record, now_ms, LARGE_POOL_WALL_OFFSET_MS + now_ms);
}

void
large_pool_tick (LargePool *self, uint64_t now_ms)
{
  fb_pool_jobs_complete (self->pool, now_ms);
  fb_pool_tick (self->pool, TRUE, now_ms, LARGE_POOL_WALL_OFFSET_MS + now_ms);
}

static void
answer_poll (LargePool *self, LargePoolWorker *worker, uint64_t now_ms)
{
  const FbPollAnswer answer
      = { .clock_ms = now_ms, .running = worker->runs, .finished = worker->ends };
  worker->poll_open = FALSE;
  fb_pool_poll_answered (self->pool, worker->id, &answer, now_ms,
                         LARGE_POOL_WALL_OFFSET_MS + now_ms);
}

guint
large_pool_answer (LargePool *self, guint max_n, uint64_t now_ms)
{
  for (guint i = 0; i < self->starts->len; i++)
    fb_pool_start_answered (self->pool, g_array_index (self->starts, uint64_t, i), FB_ORDER_DONE,
                            now_ms, now_ms);
  g_array_set_size (self->starts, 0);
  guint n = 0;
  for (guint i = 0; i < self->workers_n && n < max_n; i++)
    {
      LargePoolWorker *worker = &self->workers[self->next_worker];
      self->next_worker = (self->next_worker + 1) % self->workers_n;
      if (!worker->poll_open)
        continue;
      answer_poll (self, worker, now_ms);
      n++;
    }
  return n;
}

void
large_pool_recover (LargePool *self, uint64_t *now_ms)
{
  for (guint i = 0; i < 100; i++, *now_ms += 20)
    {
      large_pool_tick (self, *now_ms);
      (void) large_pool_answer (self, self->workers_n, *now_ms);
    }
}

static void
end_run (LargePoolWorker *worker, guint at, const char *checkpoint)
{
  const FbReportedRun *run = &g_array_index (worker->runs, FbReportedRun, at);
  const FbReportedEnd end = { .number = ++worker->last_end,
                              .task = g_strdup (run->task),
                              .attempt = run->attempt,
                              .reason = FB_END_DONE,
                              .checkpoint = (char *) checkpoint };
  g_array_append_val (worker->ends, end);
  g_array_remove_index (worker->runs, at);
}

guint
large_pool_end_runs (LargePool *self, const char *job, guint max_n, const char *checkpoint)
{
  guint n = 0;
  for (guint i = 0; i < self->workers_n; i++)
    {
      LargePoolWorker *worker = &self->workers[i];
      for (guint j = worker->runs->len; j > 0 && n < max_n; j--)
        {
          if (!g_str_has_prefix (g_array_index (worker->runs, FbReportedRun, j - 1).task, job))
            continue;
          end_run (worker, j - 1, checkpoint);
          n++;
        }
    }
  return n;
}

void
large_pool_save (LargePool *self, const char *job, const char *checkpoint)
{
  for (guint i = 0; i < self->workers_n; i++)
    {
      GArray *runs = self->workers[i].runs;
      for (guint j = 0; j < runs->len; j++)
        {
          FbReportedRun *run = &g_array_index (runs, FbReportedRun, j);
          if (g_str_has_prefix (run->task, job))
            run->checkpoint = (char *) checkpoint;
        }
    }
}
