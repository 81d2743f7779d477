#include "busy-pool.h"

#include <stdlib.h>

void
busy_fill_job (fb_work_admit *record, fb_work_step *step)
{
  *step = (fb_work_step){
    .count = JOB_TASKS, .cpu_milli = TASK_CPU, .mem_mb = 100, .estimate_ms = 600000
  };
  step->data_rack = step->required_label = step->image = "";
  *record = (fb_work_admit){ .accepted_ms = (uint64_t) g_get_real_time () / 1000 };
  record->policy = (fb_work_policy){
    .queue = QUEUE, .service = SERVICE, .max_attempts = 3, .stretch_milli = 2000, .target_ms = 1000
  };
  record->spec.payload = "600000";
  record->spec.steps.steps_len = 1;
  record->spec.steps.steps_val = step;
}

static void
on_start (gpointer user, const FbStartOrder *order)
{
  BusyPool *play = user;
  FbRunSeen run = { g_strdup (order->task), order->attempt, "" };
  g_array_append_val (play->workers[atoi (order->worker)].runs, run);
  g_array_append_val (play->starts, order->order);
  play->started_n++;
}

static void
on_stop (gpointer user, const FbStopOrder *order)
{
  (void) user;
  (void) order;
}

static void
on_look (gpointer user, const FbLookOrder *order)
{
  ((BusyPool *) user)->workers[atoi (order->worker)].look_open = TRUE;
}

static gboolean
on_advise (gpointer user, const char *step, const char *const *workers, guint n,
           uint32_t expected_ms)
{
  (void) user;
  (void) step;
  (void) workers;
  (void) n;
  (void) expected_ms;
  return FALSE;
}

static void
on_fenced (gpointer user, const char *worker)
{
  (void) user;
  (void) worker;
}

const FbPoolSink busy_pool_sink = { on_start, on_stop, on_look, on_advise, on_fenced };

static void
answer_look (BusyPool *play, guint i, uint64_t now_ms)
{
  BusyWorker *worker = &play->workers[i];
  g_autofree char *id = g_strdup_printf ("%u", i);
  g_autoptr (GArray) finished = g_array_new (FALSE, TRUE, sizeof (FbEndSeen));
  const FbLookAnswer answer = { FB_ORDER_DONE, now_ms, worker->runs, finished };
  worker->look_open = FALSE;
  fb_pool_look_answered (play->pool, id, &answer, now_ms, WALL_MS + now_ms);
}

void
busy_pool_answer_all (BusyPool *play, uint64_t now_ms)
{
  for (guint i = 0; i < play->starts->len; i++)
    fb_pool_start_answered (play->pool, g_array_index (play->starts, uint64_t, i), FB_ORDER_DONE,
                            now_ms, now_ms);
  g_array_set_size (play->starts, 0);
  for (guint i = 0; i < WORKER_N; i++)
    {
      if (play->workers[i].look_open)
        answer_look (play, i, now_ms);
    }
}

static void
clear_run (gpointer run)
{
  g_free (((FbRunSeen *) run)->task);
}

void
busy_pool_list_workers (BusyPool *play, uint64_t now_ms)
{
  static const char *const labels[] = { "a", "r1", NULL };
  for (guint i = 0; i < WORKER_N; i++)
    {
      g_autofree char *id = g_strdup_printf ("%u", i);
      const FbWorkerEntry entry = { .id = id,
                                    .address = id,
                                    .rack = "r1",
                                    .labels = labels,
                                    .cpu_milli = WORKER_CPU,
                                    .mem_mb = 65536 };
      play->workers[i].runs = g_array_new (FALSE, TRUE, sizeof (FbRunSeen));
      g_array_set_clear_func (play->workers[i].runs, clear_run);
      fb_pool_worker_listed (play->pool, &entry, now_ms);
    }
  fb_pool_workers_complete (play->pool);
}

void
busy_pool_clear (BusyPool *play)
{
  for (guint i = 0; i < WORKER_N; i++)
    g_array_unref (play->workers[i].runs);
  g_array_unref (play->starts);
  fb_pool_free (play->pool);
}
