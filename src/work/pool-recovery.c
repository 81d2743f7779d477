/* Takeover by a new owner: which runs may exist that the new owner has not found yet.
 *
 * A new owner must not start a task that still runs on a worker that has not answered yet, as the
 * task would run twice. So a task starts only when no worker without an answer under the new epoch
 * can hold a run of it. This is the case for every task once all workers have answered or their
 * leases have certainly ended.
 *
 * A worker that is unreachable at that moment takes up to 6.2 s until its lease ends, and holding
 * back everything for it left whole pools idle. Until then tasks that certainly do not run there
 * may start: those of steps that did not run there when the worker began to drain, or when the
 * previous owner recorded its silence (pool-silence.c), of steps for
 * which the worker lacks a label, of steps that the advice service does not allow on it (its
 * permissions never change, and workers refuse starts without its ticket), and of jobs that were
 * stored after the previous owner had stopped. */
#include "internal/pool-account.h"

#include "fb-event.h"
#include "fb-histogram.h"

/* Most takeovers need no longer, and are not logged. */
#define AWAITS_LOG_AFTER_MS 200
#define AWAITS_LOG_INTERVAL_MS 1000

static guint
running_n (const FbPoolStep *step)
{
  guint n = 0;
  for (uint32_t i = 0; i < step->spec->count; i++)
    n += step->tasks[i].run != NULL;
  return n;
}

static void
break_partial_gangs (FbPool *self, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->active_jobs);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      FbPoolJob *job = value;
      for (guint i = 0; i < job->occurrences->len; i++)
        {
          FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
          for (guint j = 0; j < job->record.spec.steps.steps_len; j++)
            {
              FbPoolStep *step = &occurrence->steps[j];
              guint runs = step->spec->gang ? running_n (step) : 0;
              if (runs > 0 && runs < step->spec->count && !fb_pool_step_done (step))
                fb_pool_stop_gang (self, step, now_ms);
            }
        }
    }
}

/* During a rolling replacement of workers, each new worker is unconfirmed for its first moments, so
 * a takeover would never complete. A worker listed after the previous owner had stopped and its
 * last orders had expired cannot hold any of its runs, unless orders that were meant for an earlier
 * incarnation have reached it before it was listed. */
static gboolean
is_listed_after_takeover (const FbPool *self, const FbPoolWorker *worker)
{
  return worker->listed_ms > self->majority_ms + FB_POOL_STEP_DOWN_MS + FB_POOL_START_WINDOW_MS
         && !worker->has_predecessor;
}

static void
find_unconfirmed (FbPool *self)
{
  g_ptr_array_set_size (self->unconfirmed_workers, 0);
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if ((!worker->answered || worker->has_unknown_end) && !worker->runs_ended
          && !fb_pool_drain_is_empty (worker) && !is_listed_after_takeover (self, worker))
        g_ptr_array_add (self->unconfirmed_workers, worker);
    }
}

static gboolean
any_may_restart (const FbPool *self)
{
  guint slot = 0;
  const FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (worker->may_restart)
        return TRUE;
    }
  return g_hash_table_size (self->workers) == 0;
}

/* TRUE while any step may run on a worker that only the unreadable record names. */
static gboolean
may_run_on_unknown_worker (const FbPool *self, uint64_t now_ms)
{
  return self->workers_unreadable
         && now_ms <= fb_pool_lease_earlier_end_ms (self, any_may_restart (self));
}

static const char *
reason_to_await (const FbPoolWorker *worker)
{
  if (worker->answered)
    return "unknown end";
  return worker->lease_recorded ? "silent" : "never answered";
}

/* Returns: the unconfirmed worker for whose leases the wait is the longest. */
static const FbPoolWorker *
longest_awaited (const FbPool *self, uint64_t now_ms)
{
  const FbPoolWorker *longest = NULL;
  for (guint i = 0; i < self->unconfirmed_workers->len; i++)
    {
      const FbPoolWorker *worker = self->unconfirmed_workers->pdata[i];
      if (longest == NULL
          || fb_pool_worker_lease_remaining_ms (self, worker, now_ms)
                 > fb_pool_worker_lease_remaining_ms (self, longest, now_ms))
        longest = worker;
    }
  return longest;
}

static guint
held_steps_of (const FbPool *self, const FbPoolJob *job)
{
  guint n = 0;
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      const FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
      for (guint j = 0; !occurrence->finished && j < job->record.spec.steps.steps_len; j++)
        n += fb_pool_step_is_pending (&occurrence->steps[j])
             && fb_pool_may_run_unconfirmed (self, &occurrence->steps[j]);
    }
  return n;
}

static guint
held_steps_n (const FbPool *self)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer job;
  g_hash_table_iter_init (&iter, self->active_jobs);
  while (g_hash_table_iter_next (&iter, &job, NULL))
    n += held_steps_of (self, job);
  return n;
}

static void
log_awaited_workers (FbPool *self, uint64_t now_ms)
{
  if (self->unconfirmed_workers->len == 0 || now_ms < self->majority_ms + AWAITS_LOG_AFTER_MS
      || (self->awaits_logged_ms != 0 && now_ms < self->awaits_logged_ms + AWAITS_LOG_INTERVAL_MS))
    return;
  self->awaits_logged_ms = now_ms;
  const FbPoolWorker *worker = longest_awaited (self, now_ms);
  fb_event_log (FB_EVENT_POOL_AWAITS_WORKERS,
                "service=%s epoch=%" G_GUINT64_FORMAT
                " workers=%u longest=%s bound_ms=%" G_GUINT64_FORMAT
                " reason=\"%s\" runs_known=%d held_steps=%u",
                self->service, self->epoch, self->unconfirmed_workers->len, worker->id,
                fb_pool_worker_lease_remaining_ms (self, worker, now_ms), reason_to_await (worker),
                worker->known_steps != NULL, held_steps_n (self));
}

void
fb_pool_check_recovery (FbPool *self, uint64_t now_ms)
{
  if (self->recovered || !self->workers_complete)
    return;
  if (self->majority_ms == 0 && fb_pool_has_majority (self, G_MAXUINT32, now_ms))
    {
      self->majority_ms = now_ms;
      fb_pool_log_majority (self, now_ms);
    }
  if (self->majority_ms == 0)
    return;
  find_unconfirmed (self);
  self->recovered
      = self->unconfirmed_workers->len == 0 && !may_run_on_unknown_worker (self, now_ms);
  fb_pool_accounts_update_unconfirmed (self, now_ms);
  if (!self->recovered)
    {
      log_awaited_workers (self, now_ms);
      return;
    }
  fb_histogram_add (FB_HISTOGRAM_POOL_RECOVERY, now_ms - self->created_ms);
  self->round_due = TRUE;
  break_partial_gangs (self, now_ms);
  fb_event_log (FB_EVENT_POOL_SETTLED,
                "service=%s epoch=%" G_GUINT64_FORMAT " workers=%u jobs=%u active=%u took_ms=%u",
                self->service, self->epoch, g_hash_table_size (self->workers),
                g_hash_table_size (self->jobs), g_hash_table_size (self->active_jobs),
                (guint) (now_ms - self->created_ms));
}

gboolean
fb_pool_may_place (const FbPool *self)
{
  return self->majority_ms != 0;
}

gboolean
fb_pool_has_no_earlier_starts (const FbPool *self, uint64_t stored_after_ms)
{
  return self->recovered
         || (self->majority_ms != 0 && stored_after_ms > self->majority_ms + FB_POOL_STEP_DOWN_MS);
}

/* What proves that no task of a step runs on an unconfirmed worker. */
typedef enum
{
  EXCLUDED_BY_NOTHING, /* a task may run there */
  EXCLUDED_BY_RECORD,  /* the record of the previous owner */
  EXCLUDED_BY_LABELS,
  EXCLUDED_BY_ADVICE,
  EXCLUSIONS_N
} Exclusion;

static Exclusion
exclusion_from (const FbPoolWorker *worker, const FbPoolStep *step)
{
  if (!fb_pool_drain_may_run (worker, step))
    return EXCLUDED_BY_RECORD;
  /* Its capacity proves nothing: it may have shrunk since a run was started that fitted then. */
  if (worker->labels_known && !fb_pool_has_labels_for (worker, step->spec))
    return EXCLUDED_BY_LABELS;
  if (!step->job->record.policy.advised || !step->job->advised_when_received)
    return EXCLUDED_BY_NOTHING;
  const FbPoolWorkerAdvice *advice = fb_pool_worker_advice (step, worker);
  return advice == NULL || advice->allowed ? EXCLUDED_BY_NOTHING : EXCLUDED_BY_ADVICE;
}

char *
fb_pool_describe_confirmation (const FbPool *self, const FbPoolStep *step)
{
  guint counts[EXCLUSIONS_N] = { 0 };
  if (self->recovered || self->unconfirmed_workers->len == 0)
    return g_strdup ("");
  for (guint i = 0; i < self->unconfirmed_workers->len; i++)
    counts[exclusion_from (self->unconfirmed_workers->pdata[i], step)]++;
  return g_strdup_printf (" unheard=%u by_record=%u by_labels=%u by_advice=%u stored_later=%d",
                          self->unconfirmed_workers->len, counts[EXCLUDED_BY_RECORD],
                          counts[EXCLUDED_BY_LABELS], counts[EXCLUDED_BY_ADVICE],
                          step->job->never_started);
}

/* If reads of the store lag, a worker may report the end of a task to the new owner before the
 * owner has read the task's job, and the owner would then run the finished task again. So a job
 * that is read while a worker lists an end of an unknown job waits until these workers have
 * answered again. */
static gboolean
may_have_unknown_end (const FbPool *self, FbPoolJob *job)
{
  guint slot = 0;
  const FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (worker->has_unknown_end && worker->last_answer_ms <= job->added_ms)
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
  job->added_ms = now_ms;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (!worker->has_unknown_end)
        continue;
      job->awaits_unknown_ends = TRUE;
      worker->next_poll_ms = now_ms;
    }
}

/* COUNTED_TOO: also on workers whose runs were counted by the previous owner. */
static gboolean
may_run (const FbPool *self, const FbPoolStep *step, gboolean counted_too)
{
  if (step->job->awaits_unknown_ends && may_have_unknown_end (self, step->job))
    return TRUE;
  if (self->recovered || step->job->never_started)
    return FALSE;
  if (self->workers_unreadable)
    return TRUE;
  for (guint i = 0; i < self->unconfirmed_workers->len; i++)
    {
      const FbPoolWorker *worker = self->unconfirmed_workers->pdata[i];
      if ((counted_too || !worker->runs_counted)
          && exclusion_from (worker, step) == EXCLUDED_BY_NOTHING)
        return TRUE;
    }
  return FALSE;
}

gboolean
fb_pool_may_run_unconfirmed (const FbPool *self, const FbPoolStep *step)
{
  return may_run (self, step, TRUE);
}

gboolean
fb_pool_may_run_uncounted (const FbPool *self, const FbPoolStep *step)
{
  return may_run (self, step, FALSE);
}
