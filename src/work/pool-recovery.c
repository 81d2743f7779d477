/* The beginning of an owner: what may still run that it has not heard of.
 *
 * Failure: a new owner starts a task that still runs on a worker that it has not heard; it
 * shows as two runs of one task.  Guard: a task starts only when no worker that has not
 * answered under the new epoch can hold a run of it.  That is so for every task once all
 * have answered or their leases have surely ended.
 *
 * A worker that is dark at that moment takes up to 6.2 s to lapse, and waiting for it with
 * everything kept whole pools idle.  Until then work goes on that surely is not there:
 * steps that did not run there when it began to drain, steps for which the worker lacks a label,
 * steps that the advice service does not allow it (what it allows never changes, and workers refuse
 * starts without its ticket), and jobs that were stored after the owner before had stopped. */
#include "internal/pool-private.h"

#include "fb-event.h"

static guint
running_n (const FbPoolStep *step)
{
  guint n = 0;
  for (uint32_t i = 0; i < step->shape->count; i++)
    n += step->tasks[i].run != NULL;
  return n;
}

static void
break_partial_gangs (FbPool *self, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->active);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      FbPoolJob *job = value;
      for (guint i = 0; i < job->occurrences->len; i++)
        {
          FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
          for (guint j = 0; j < job->record.spec.steps.steps_len; j++)
            {
              FbPoolStep *step = &occurrence->steps[j];
              guint runs = step->shape->gang ? running_n (step) : 0;
              if (runs > 0 && runs < step->shape->count && !fb_pool_step_done (step))
                fb_pool_stop_gang (self, step, now_ms);
            }
        }
    }
}

/* Failure: workers are replaced one after the other during a take-over; each new one is not heard
 * for its first moments, so that there always is one, and the pool is never settled.  Guard: the
 * owner before had stopped, and its last orders had run out, before the worker was listed. */
static gboolean
came_too_late (const FbPool *self, const FbPoolWorker *worker)
{
  return worker->listed_ms > self->majority_ms + FB_POOL_STEP_DOWN_MS + FB_POOL_START_WINDOW_MS;
}

static void
find_unheard (FbPool *self)
{
  g_ptr_array_set_size (self->unconfirmed_workers, 0);
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if ((!worker->answered || worker->has_unknown_end) && !worker->runs_ended
          && !fb_pool_drain_is_empty (worker) && !came_too_late (self, worker))
        g_ptr_array_add (self->unconfirmed_workers, worker);
    }
}

void
fb_pool_check_recovery (FbPool *self, uint64_t now_ms)
{
  if (self->recovered || !self->workers_complete)
    return;
  if (self->majority_ms == 0 && fb_pool_holds_majority (self, G_MAXUINT32, now_ms))
    self->majority_ms = now_ms;
  if (self->majority_ms == 0)
    return;
  find_unheard (self);
  if (self->unconfirmed_workers->len > 0)
    return;
  self->recovered = TRUE;
  self->place_due = TRUE;
  break_partial_gangs (self, now_ms);
  fb_event_log (FB_EVENT_POOL_SETTLED,
                "service=%s epoch=%" G_GUINT64_FORMAT " workers=%u jobs=%u active=%u took_ms=%u",
                self->service, self->epoch, g_hash_table_size (self->workers),
                g_hash_table_size (self->jobs), g_hash_table_size (self->active),
                (guint) (now_ms - self->began_ms));
}

gboolean
fb_pool_may_place (const FbPool *self)
{
  return self->majority_ms != 0;
}

gboolean
fb_pool_has_no_earlier_starts (const FbPool *self)
{
  /* A job that comes now was stored after JOBS_READ_MS, or it would be known. */
  return self->recovered
         || (self->majority_ms != 0
             && self->jobs_read_ms > self->majority_ms + FB_POOL_STEP_DOWN_MS);
}

static gboolean
may_hold (const FbPoolWorker *worker, const FbPoolStep *step)
{
  if (!fb_pool_drain_may_run (worker, step))
    return FALSE;
  /* Of a worker that is not listed no label is known. */
  if (!worker->listed)
    return TRUE;
  /* Its size proves nothing: it may have shrunk since a run that it had room for began. */
  if (!fb_pool_has_labels_for (worker, step->shape))
    return FALSE;
  if (!step->job->record.policy.advised || !step->job->advised_when_stored)
    return TRUE;
  const FbPoolWorkerAdvice *advice = fb_pool_worker_advice (step, worker);
  return advice == NULL || advice->allowed;
}

/* Failure: reads of the store are behind, and a job is read after the new owner has heard its
 * end from a worker; it shows as a second run of a task that is done.  Guard: a job that comes
 * while an end is unread waits until the workers that listed one are heard again. */
static gboolean
end_may_be_unread (const FbPool *self, FbPoolJob *job)
{
  guint slot = 0;
  const FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (worker->has_unknown_end && worker->last_answer_ms <= job->taken_ms)
        return TRUE;
    }
  job->awaits_unknown_ends = FALSE;
  return FALSE;
}

void
fb_pool_await_unknown_ends (FbPool *self, FbPoolJob *job, uint64_t now_ms)
{
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  job->taken_ms = now_ms;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (!worker->has_unknown_end)
        continue;
      job->awaits_unknown_ends = TRUE;
      worker->next_poll_ms = now_ms;
    }
}

gboolean
fb_pool_may_run_unconfirmed (const FbPool *self, const FbPoolStep *step)
{
  if (step->job->awaits_unknown_ends && end_may_be_unread (self, step->job))
    return TRUE;
  if (self->recovered || step->job->never_started)
    return FALSE;
  for (guint i = 0; i < self->unconfirmed_workers->len; i++)
    {
      if (may_hold (self->unconfirmed_workers->pdata[i], step))
        return TRUE;
    }
  return FALSE;
}
