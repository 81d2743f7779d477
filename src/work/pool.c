/* A pool's life: workers that come and go, and jobs that are accepted and cancelled. */
#include "internal/pool-crash.h"

#include "fb-event.h"

/* An unanswered stop is repeated. */
#define STOP_REPEAT_MS 600
/* An owner that most workers answered within this time is not cut off itself. */
#define HEARS_MS 1500

FbPool *
fb_pool_new (const char *service, uint64_t epoch, const FbPoolLimits *limits,
             const FbPoolSink *sink, gpointer user, uint64_t now_ms)
{
  FbPool *self = g_new0 (FbPool, 1);
  self->service = g_strdup (service);
  self->epoch = epoch;
  self->limits = *limits;
  fb_pool_crash_set_limits (&self->limits);
  fb_pool_report_set_limits (&self->limits);
  self->sink = sink;
  self->user = user;
  self->began_ms = now_ms;
  self->workers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, fb_pool_worker_free);
  self->worker_slots = g_ptr_array_new ();
  self->latest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  self->gained_capacity = g_ptr_array_new ();
  self->waiting = g_ptr_array_new ();
  self->fresh = g_ptr_array_new ();
  self->timed = g_hash_table_new (NULL, NULL);
  self->chained = g_hash_table_new (NULL, NULL);
  self->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, fb_pool_job_free);
  self->active = g_hash_table_new (NULL, NULL);
  self->ended = g_hash_table_new (NULL, NULL);
  self->dirty = g_hash_table_new (NULL, NULL);
  self->suspects = g_hash_table_new (NULL, NULL);
  self->unstored = g_hash_table_new (NULL, NULL);
  self->causes = fb_pool_crash_causes_new ();
  self->unresolved_losses = fb_pool_unresolved_losses_new ();
  self->closed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify) g_hash_table_unref);
  self->in_flush = g_ptr_array_new ();
  self->unconfirmed_workers = g_ptr_array_new ();
  self->orders = fb_pool_orders_new ();
  self->unanswered_starts = fb_pool_unanswered_starts_new ();
  return self;
}

void
fb_pool_free (FbPool *self)
{
  g_hash_table_unref (self->orders);
  fb_pool_unanswered_starts_free (self->unanswered_starts);
  g_hash_table_unref (self->workers); /* its runs point into the jobs */
  g_ptr_array_unref (self->worker_slots);
  g_hash_table_unref (self->latest);
  g_ptr_array_unref (self->gained_capacity);
  g_ptr_array_unref (self->waiting);
  g_ptr_array_unref (self->fresh);
  g_hash_table_unref (self->closed);
  g_hash_table_unref (self->timed);
  g_hash_table_unref (self->chained);
  g_hash_table_unref (self->active);
  g_hash_table_unref (self->ended);
  g_hash_table_unref (self->dirty);
  g_hash_table_unref (self->suspects);
  g_hash_table_unref (self->unstored);
  g_hash_table_unref (self->causes);
  g_hash_table_unref (self->unresolved_losses);
  g_ptr_array_unref (self->in_flush);
  g_ptr_array_unref (self->unconfirmed_workers);
  g_hash_table_unref (self->jobs);
  g_free (self->service);
  g_free (self);
}

/* ---- workers -------------------------------------------------------------------- */

static gboolean
is_worth_moving (const FbPoolRun *run)
{
  if (run->step == NULL || run->state != FB_RUN_RUNNING || run->step->shape->gang)
    return FALSE;
  return run->step->shape->long_running || run->step->shape->checkpointing;
}

/* Tasks that last, or that keep what they did, are moved before the worker ends, once they may
 * start elsewhere.
 *
 * Failure: a worker begins to drain while the owner changes, and each new owner finds a task that
 * lasts there when it has seen the worker drain already; moved only as a worker begins to drain, it
 * ends with the worker, and starts again after the next owner has settled, 12 s later.  Guard: what
 * runs there is looked at as long as the worker drains. */
static void
leave_draining (FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  g_autoptr (GList) runs = g_hash_table_get_values (worker->runs);
  gboolean may_start = self->may_start && fb_pool_may_place (self);
  for (GList *l = runs; l != NULL && may_start; l = l->next)
    {
      FbPoolRun *run = l->data;
      if (is_worth_moving (run) && !fb_pool_may_run_unconfirmed (self, run->step))
        fb_pool_order_stop (self, worker, run, now_ms);
    }
}

void
fb_pool_worker_listed (FbPool *self, const FbWorkerEntry *entry, uint64_t now_ms)
{
  FbPoolWorker *worker = g_hash_table_lookup (self->workers, entry->id);
  gboolean is_new = worker == NULL;
  if (is_new)
    {
      worker = fb_pool_worker_new (entry->id);
      worker->listed_ms = now_ms;
      fb_pool_worker_slots_add (self, worker);
      fb_pool_drain_apply (self, worker);
      self->unresolved_losses_due = TRUE;
      self->workers_dirty = TRUE;
    }
  gboolean was_draining = worker->draining;
  gboolean has_moved = g_strcmp0 (worker->address, entry->address) != 0;
  if (has_moved)
    fb_pool_incarnation_forget (self, worker);
  fb_pool_worker_describe (worker, entry);
  fb_pool_worker_gained_capacity (self, worker);
  if (is_new || was_draining != worker->draining)
    fb_event_log (FB_EVENT_POOL_WORKER_LISTED, "worker=%s address=%s cpu=%u gpu=%u draining=%d",
                  worker->id, worker->address, worker->cpu_milli, worker->gpu_count,
                  worker->draining);
  if (has_moved)
    fb_pool_incarnation_known (self, worker, now_ms);
  if (!worker->draining || was_draining)
    return;
  self->workers_dirty = TRUE;
  leave_draining (self, worker, now_ms);
}

void
fb_pool_worker_unlisted (FbPool *self, const char *id, uint64_t now_ms)
{
  FbPoolWorker *worker = g_hash_table_lookup (self->workers, id);
  if (worker == NULL || !worker->listed)
    return;
  worker->listed = FALSE;
  self->unresolved_losses_due = TRUE;
  fb_event_log (FB_EVENT_POOL_WORKER_UNLISTED, "worker=%s runs=%u heard_ms_ago=%u", id,
                g_hash_table_size (worker->runs), (guint) (now_ms - worker->last_answer_ms));
}

/* Failure: a worker's entry lapsed while the store was away, the owner changed, and the
 * successor does not know of the worker; it shows as a second run of what it runs.
 * Guard: the owner's own list of workers outlives it. */
void
fb_pool_restore_workers (FbPool *self, const fb_work_workers *record)
{
  for (u_int i = 0; i < record->workers.workers_len; i++)
    {
      const fb_work_known_worker *known = &record->workers.workers_val[i];
      FbPoolWorker *worker = g_hash_table_lookup (self->workers, known->id);
      gboolean empty = known->closed && known->steps.steps_len == 0;
      fb_pool_drain_restore (self, known);
      if (worker == NULL && !empty)
        {
          worker = fb_pool_worker_new (known->id);
          worker->address = g_strdup (known->address);
          fb_pool_worker_slots_add (self, worker);
          fb_pool_incarnation_known (self, worker, self->began_ms);
        }
      if (worker != NULL)
        fb_pool_drain_apply (self, worker);
    }
}

void
fb_pool_workers_complete (FbPool *self)
{
  self->workers_complete = TRUE;
  self->unresolved_losses_due = TRUE;
}

static void
forget_worker (FbPool *self, FbPoolWorker *worker)
{
  fb_pool_worker_slots_remove (self, worker);
  self->workers_dirty = TRUE;
}

static void
tend_worker (FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  if (!worker->runs_ended && fb_pool_worker_lapsed (self, worker, now_ms))
    fb_pool_worker_lost (self, worker, FB_LOSS_LEASE_ENDED, NULL, now_ms);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolRun *run = value;
      if (run->state == FB_RUN_STOPPING && run->stopped_clock_ms == 0
          && now_ms > run->stop_sent_ms + STOP_REPEAT_MS)
        fb_pool_order_stop (self, worker, run, now_ms);
      else
        fb_pool_run_check_stuck (self, worker, run, now_ms);
    }
  if (worker->draining)
    leave_draining (self, worker, now_ms);
  fb_pool_stop_orphans (self, worker, now_ms);
  fb_pool_crash_note_silence (self, worker, now_ms);
  fb_pool_crash_clear_lasted (self, worker);
  gboolean takes = fb_pool_worker_takes (worker, now_ms);
  if (takes && !worker->accepted_work)
    fb_pool_worker_gained_capacity (self, worker);
  worker->accepted_work = takes;
  if (now_ms >= worker->next_poll_ms)
    fb_pool_order_poll (self, worker, now_ms);
}

/* A worker that left is not looked at any more once nothing can run there: its life is
 * over, or this owner knows all that runs in the pool and has nothing on it.  A
 * successor would wait for it for a whole lease.
 *
 * Failure: room is held on a worker that is forgotten, listed again and known anew; the room is
 * then given back where it was never taken, and the worker gets more than it can hold.  Guard: a
 * worker on which room is held is not forgotten. */
static gboolean
is_over (const FbPool *self, const FbPoolWorker *worker)
{
  if (worker->listed || worker->reserved_n > 0)
    return FALSE;
  if (worker->runs_ended)
    return !worker->poll_open;
  return self->recovered && worker->answered && g_hash_table_size (worker->runs) == 0;
}

static void
tend_workers (FbPool *self, uint64_t now_ms)
{
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  self->majority_answers = fb_pool_holds_majority (self, HEARS_MS, now_ms);
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (is_over (self, worker))
        forget_worker (self, worker);
      else
        tend_worker (self, worker, now_ms);
    }
}

gboolean
fb_pool_holds_majority (const FbPool *self, uint32_t within_ms, uint64_t now_ms)
{
  guint listed = 0;
  guint heard = 0;
  guint slot = 0;
  const FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (!worker->listed)
        continue;
      listed++;
      heard += worker->answered && now_ms - worker->answered_poll_sent_ms <= within_ms;
    }
  return heard * 2 > listed;
}

/* ---- jobs ---------------------------------------------------------------------------- */

void
fb_pool_admit_owned (FbPool *self, const char *id, fb_work_admit *record, uint64_t now_ms,
                     uint64_t wall_ms)
{
  if (g_hash_table_contains (self->jobs, id))
    return;
  FbPoolJob *job = fb_pool_job_new (id, record, now_ms, wall_ms);
  job->restored = !self->recovered;
  job->never_started = fb_pool_has_no_earlier_starts (self);
  job->advised_when_stored = job->record.policy.advised;
  fb_pool_await_unknown_ends (self, job, now_ms);
  g_hash_table_insert (self->jobs, job->id, job);
  g_hash_table_add (self->active, job);
  (void) fb_pool_job_release (self, job, wall_ms); /* nothing has ended yet */
  if (job->record.spec.occurrences > 0)
    g_hash_table_add (self->timed, job);
  if (job->record.spec.steps.steps_len > 1)
    g_hash_table_add (self->chained, job);
  self->place_due = TRUE;
  fb_pool_adopt_runs (self, job);
  fb_event_log (
      FB_EVENT_JOB_TAKEN, "job=%s queue=%s steps=%u restored=%d age_ms=%u objective_ms=%u", id,
      job->record.policy.queue, job->record.spec.steps.steps_len, job->restored,
      (guint) (now_ms - job->admitted_ms), (guint) (job->objective_ms - job->admitted_ms));
}

void
fb_pool_admit (FbPool *self, const char *id, const fb_work_admit *record, uint64_t now_ms,
               uint64_t wall_ms)
{
  if (g_hash_table_contains (self->jobs, id))
    return;
  fb_work_admit copy;
  fb_pool_job_copy_record (record, &copy);
  fb_pool_admit_owned (self, id, &copy, now_ms, wall_ms);
}

void
fb_pool_restore (FbPool *self, const char *id, const fb_work_progress *record,
                 const fb_work_suspects *suspects, uint64_t now_ms)
{
  FbPoolJob *job = g_hash_table_lookup (self->jobs, id);
  if (job == NULL && record->state < FB_WORK_COMPLETED)
    return;
  if (job == NULL)
    {
      /* Only its end is left of it, for callers who ask. */
      fb_work_admit nothing = { 0 };
      job = fb_pool_job_new (id, &nothing, 0, 0);
      g_hash_table_insert (self->jobs, job->id, job);
    }
  fb_pool_job_restore (job, record);
  g_hash_table_add (self->timed, job); /* what is done of it may release more */
  if (!fb_pool_job_ended (job))
    {
      fb_pool_crash_restore (self, job, suspects, now_ms);
      return;
    }
  g_hash_table_remove (self->timed, job);
  g_hash_table_remove (self->chained, job);
  g_hash_table_remove (self->active, job);
  g_hash_table_add (self->ended, job);
}

void
fb_pool_jobs_read (FbPool *self, uint64_t until_ms)
{
  self->jobs_read_ms = until_ms;
}

void
fb_pool_cancel (FbPool *self, const char *id, uint64_t now_ms, uint64_t wall_ms)
{
  FbPoolJob *job = g_hash_table_lookup (self->jobs, id);
  if (job != NULL && !fb_pool_job_ended (job))
    fb_pool_job_end (self, job, FB_WORK_CANCELLED, now_ms, wall_ms);
}

static void
replace_policy (FbPoolJob *job, const fb_work_policy *policy)
{
  fb_work_policy *mine = &job->record.policy;
  mine->priority = policy->priority;
  mine->max_attempts = policy->max_attempts;
  mine->stretch_factor_milli = policy->stretch_factor_milli;
  mine->target_ms = policy->target_ms;
  mine->advised = policy->advised;
  mine->advice_decision_us = policy->advice_decision_us;
  mine->advice_per_worker_us = policy->advice_per_worker_us;
  mine->advice_validity_ms = policy->advice_validity_ms;
  fb_pool_job_objective (job);
}

void
fb_pool_policies (FbPool *self, GHashTable *policies)
{
  GHashTableIter iter;
  gpointer job;
  g_hash_table_iter_init (&iter, self->active);
  while (g_hash_table_iter_next (&iter, &job, NULL))
    {
      const fb_work_policy *policy
          = g_hash_table_lookup (policies, ((FbPoolJob *) job)->record.policy.queue);
      if (policy != NULL)
        replace_policy (job, policy);
    }
}

static void
release_due (FbPool *self, uint64_t now_ms, uint64_t wall_ms)
{
  g_autoptr (GList) jobs = g_hash_table_get_keys (self->timed);
  for (GList *l = jobs; l != NULL; l = l->next)
    {
      FbPoolJob *job = l->data;
      if (fb_pool_job_release (self, job, wall_ms))
        fb_pool_job_end (self, job, FB_WORK_COMPLETED, now_ms, wall_ms);
      if (job->next_occurrence >= job->record.spec.occurrences)
        g_hash_table_remove (self->timed, job);
    }
}

void
fb_pool_tick (FbPool *self, gboolean may_start, uint64_t now_ms, uint64_t wall_ms)
{
  if (self->fenced)
    return;
  self->may_start = may_start;
  gboolean tend = now_ms >= self->last_maintenance_ms + FB_POOL_MAINTENANCE_INTERVAL_MS;
  if (tend || !self->recovered)
    {
      self->last_maintenance_ms = now_ms;
      tend_workers (self, now_ms);
      fb_pool_unresolved_losses_check (self, now_ms);
      fb_pool_check_recovery (self, now_ms);
    }
  fb_pool_crash_end_jobs (self, now_ms, wall_ms);
  if (!fb_pool_may_place (self) || !may_start)
    {
      self->no_start_reason = may_start ? "majority" : "authority";
      self->no_start_ms = now_ms;
      return;
    }
  if (tend)
    release_due (self, now_ms, wall_ms);
  if (!tend && !self->place_due)
    return;
  self->place_due = FALSE;
  fb_pool_place (self, now_ms);
  if (tend && self->place_from == 0)
    fb_pool_place_copies (self, now_ms);
}

/* ---- queries ----------------------------------------------------------------------------- */

gboolean
fb_pool_job_state (const FbPool *self, const char *id, fb_work_state *state)
{
  const FbPoolJob *job = g_hash_table_lookup (self->jobs, id);
  if (job == NULL)
    return FALSE;
  /* An end is shown once it is durable: a successor must not run the job again
   * after its caller was told that it is done. */
  if (job->stored_state >= FB_WORK_COMPLETED)
    *state = job->stored_state;
  else
    *state = job->started ? FB_WORK_RUNNING : FB_WORK_QUEUED;
  return TRUE;
}

uint32_t
fb_pool_pending (const FbPool *self, const char *queue)
{
  uint32_t pending = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->active);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      const FbPoolJob *job = value;
      pending += !job->started && job->record.spec.occurrences == 0
                 && g_str_equal (job->record.policy.queue, queue);
    }
  return pending;
}
