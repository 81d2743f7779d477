/* Starts by earlier owners that other daemons have relayed and that are in no record.
 *
 * They are evidence only, no proof of a crash: such a start leaves an unresolved loss, like a
 * worker that was lost with the task on it (pool-unresolved-losses.c), until the worker answers or
 * another incarnation is found at its address. */
#include "internal/pool-crash.h"

#include "fb-counter.h"
#include "fb-event.h"

static void
import_start (FbPool *self, const fb_recent_start *start, uint64_t now_ms)
{
  uint32_t index = 0;
  FbPoolStep *step = fb_pool_find_task (self, start->task, &index);
  if (step == NULL || fb_pool_job_ended (step->job))
    return;
  fb_pool_unanswered_start_add (self, start->worker, start->address, start->task, start->attempt,
                                now_ms, now_ms);
  FbPoolTask *task = &step->tasks[index];
  if (task->done || fb_pool_start_is_resolved (self, task, start->worker))
    return;
  fb_counter_add (FB_COUNTER_STARTS_IMPORTED, 1);
  fb_event_log (FB_EVENT_START_RECALLED, "task=%s attempt=%u worker=%s seen=%d", start->task,
                start->attempt, start->worker, start->confirmed);
  const FbPoolCrash crash = { fb_pool_worker_id_hash (start->worker), FALSE,
                              start->confirmed ? FB_CRASH_CONFIRMED : FB_CRASH_REPORTED };
  fb_pool_unresolved_start_add (task, start->worker, start->address, start->confirmed);
  fb_pool_unresolved_loss_add (self, start->worker, start->address, step, index, crash, now_ms);
  fb_pool_job_changed (self, step->job);
}

void
fb_pool_import_starts (FbPool *self, const fb_recent_starts_reply *reply, uint64_t now_ms)
{
  for (u_int i = 0; i < reply->starts.starts_len; i++)
    import_start (self, &reply->starts.starts_val[i], now_ms);
}
