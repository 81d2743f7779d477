/* Repeats stops, and checks whether runs that were ordered to stop do stop.
 *
 * A worker serves a limited number of connections and resets further ones. A poll that waits holds
 * one all the time, so where no other is free, polls are answered and no stop arrives. Therefore
 * polls of a worker on which a stop has failed do not wait, and the stop is sent again when one has
 * been answered: until the next poll is due, its connection is free. */
#include "internal/pool-private.h"

#include "fb-counter.h"
#include "fb-event.h"

/* A stop without an answer is sent again after this time. */
#define STOP_REPEAT_MS 600
/* Interval at which it is logged that a run outlives its stop. */
#define LOG_INTERVAL_MS 5000

/* TRUE when a list of CLOCK_MS from WORKER shows RUN although a stop of it should have been carried
 * out by then. */
static gboolean
outlives_stop (const FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run,
               uint64_t clock_ms)
{
  if (run->state != FB_RUN_STOPPING || run->stops_n == 0)
    return FALSE;
  if (run->stopped_clock_ms != 0)
    return clock_ms > run->stopped_clock_ms + self->limits.max_stop_ms;
  return worker->poll_sent_ms
         > run->stop_ordered_ms + FB_POOL_DELAYED_CALL_MS + self->limits.max_stop_ms;
}

static void
log_outlived_stop (const FbPool *self, const FbPoolWorker *worker, FbPoolRun *run,
                   uint64_t clock_ms, uint64_t now_ms)
{
  if (run->outlived_ms != 0 && now_ms < run->outlived_ms + LOG_INTERVAL_MS)
    return;
  if (run->outlived_ms == 0)
    fb_counter_add (FB_COUNTER_RUNS_OUTLIVING_STOPS, 1);
  run->outlived_ms = now_ms;
  fb_event_log (FB_EVENT_RUN_OUTLIVES_STOP,
                "task=%s attempt=%u worker=%s stops=%u ordered_ms_ago=%u sent_ms_ago=%u"
                " accepted_clock_ms=%" G_GUINT64_FORMAT " clock_ms=%" G_GUINT64_FORMAT
                " needed=%d epoch=%" G_GUINT64_FORMAT,
                run->name, run->attempt, worker->id, run->stops_n,
                (guint) (now_ms - run->stop_ordered_ms), (guint) (now_ms - run->stop_sent_ms),
                run->stopped_clock_ms, clock_ms, !run->abandoned, self->epoch);
}

void
fb_pool_stop_check_listed (FbPool *self, const FbPoolWorker *worker, FbPoolRun *run,
                           uint64_t clock_ms, uint64_t now_ms)
{
  if (!outlives_stop (self, worker, run, clock_ms))
    return;
  log_outlived_stop (self, worker, run, clock_ms, now_ms);
  /* The list proves that the accepted stop was not carried out; it is sent again. */
  run->stopped_clock_ms = 0;
}

static gboolean
awaits_confirmation (const FbPoolRun *run)
{
  return run->state == FB_RUN_STOPPING && run->stopped_clock_ms == 0;
}

void
fb_pool_stops_repeat (FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  worker->has_failed_stop = FALSE;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolRun *run = value;
      if (!awaits_confirmation (run))
        continue;
      worker->has_failed_stop = worker->has_failed_stop || run->stop_failed;
      if (now_ms > run->stop_sent_ms + STOP_REPEAT_MS)
        fb_pool_order_stop (self, worker, run, now_ms);
    }
}

void
fb_pool_stops_retry_failed (FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolRun *run = value;
      if (awaits_confirmation (run) && run->stop_failed
          && !fb_pool_order_is_open (self, run->order))
        fb_pool_order_stop (self, worker, run, now_ms);
    }
}

void
fb_pool_stop_handle_answer (FbPoolWorker *worker, FbPoolRun *run, uint64_t clock_ms)
{
  run->stopped_clock_ms = clock_ms;
  run->stop_failed = clock_ms == 0;
  worker->has_failed_stop = worker->has_failed_stop || run->stop_failed;
}
