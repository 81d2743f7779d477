/* Creating and freeing a pool, adding, cancelling and updating its workers and jobs, and the
 * periodic tick that drives all other parts. */
#include "internal/pool-account.h"
#include "internal/pool-crash.h"
#include "internal/pool-silence.h"

#include "fb-event.h"

/* All workers are checked at most once in this time for each of them, so that the checks of a pool
 * of any size take the same share of a core: some 0.2 us a worker. While a takeover is not complete
 * they are checked more often, because work waits for the result. */
#define MAINTENANCE_US_PER_WORKER 20
#define RECOVERY_US_PER_WORKER 10
#define MAINTENANCE_INTERVAL_MAX_MS 100
/* Polls that are ordered in one iteration of the main loop.  A poll takes some 40 us, so all first
 * polls of 4,320 workers would take 0.2 s, for which no answer is read. */
#define POLLS_PER_ITERATION 256
/* First polls that are open at a time: their answers arrive together and are read in some 30 ms. */
#define FIRST_POLLS_OPEN_MAX 1024

/* Jobs and steps are hashed by their names, not by their addresses, so that sets of them are walked
 * in the same order in each run. */
static guint
job_hash (gconstpointer job)
{
  return g_str_hash (((const FbPoolJob *) job)->id);
}

static guint
step_hash (gconstpointer key)
{
  const FbPoolStep *step = key;
  return job_hash (step->job) + step->occurrence * FB_WORK_MAX_STEPS + step->index;
}

FbPool *
fb_pool_new (const char *service, uint64_t epoch, const FbPoolLimits *limits,
             const FbPoolCallbacks *callbacks, gpointer user, uint64_t now_ms)
{
  FbPool *self = g_new0 (FbPool, 1);
  self->service = g_strdup (service);
  self->epoch = epoch;
  self->limits = *limits;
  fb_pool_crash_set_limits (&self->limits);
  fb_pool_report_set_limits (&self->limits);
  self->callbacks = callbacks;
  self->user = user;
  self->created_ms = now_ms;
  self->workers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, fb_pool_worker_free);
  self->outlived_polls = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->counted_departures = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->worker_slots = g_ptr_array_new ();
  self->latest_incarnations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  self->gained_capacity = g_ptr_array_new ();
  self->queue = g_ptr_array_new ();
  self->unmerged = g_ptr_array_new ();
  self->jobs_to_release = g_hash_table_new (job_hash, NULL);
  self->jobs_with_dependencies = g_hash_table_new (job_hash, NULL);
  self->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, fb_pool_job_free);
  self->active_jobs = g_hash_table_new (job_hash, NULL);
  self->ended_jobs = g_hash_table_new (job_hash, NULL);
  self->dirty = g_hash_table_new (job_hash, NULL);
  self->suspect_steps = g_hash_table_new (step_hash, NULL);
  self->unstored_suspects = g_hash_table_new (job_hash, NULL);
  self->silence = fb_pool_silence_new ();
  self->awaiting_starts = fb_pool_awaiting_starts_new ();
  self->moves = fb_pool_moves_new ();
  self->crash_causes = fb_pool_crash_causes_new ();
  self->unresolved_losses = fb_pool_unresolved_losses_new ();
  self->drain_steps = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                             (GDestroyNotify) g_hash_table_unref);
  self->in_flush = g_ptr_array_new ();
  self->unconfirmed_workers = g_ptr_array_new ();
  self->open_orders = fb_pool_orders_new ();
  self->unanswered_starts = fb_pool_unanswered_starts_new ();
  self->conclusions = fb_pool_conclusions_new ();
  self->accounts = fb_pool_accounts_new ();
  self->run_times = fb_run_times_new ();
  self->forecasts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
fb_pool_free (FbPool *self)
{
  g_hash_table_unref (self->open_orders);
  fb_pool_unanswered_starts_free (self->unanswered_starts);
  fb_pool_conclusions_free (self->conclusions);
  g_hash_table_unref (self->workers); /* before the jobs: runs point to their steps */
  g_hash_table_unref (self->outlived_polls);
  g_hash_table_unref (self->counted_departures);
  g_ptr_array_unref (self->worker_slots);
  fb_pool_silence_free (self->silence);
  g_hash_table_unref (self->latest_incarnations);
  g_ptr_array_unref (self->gained_capacity);
  g_ptr_array_unref (self->queue);
  g_ptr_array_unref (self->unmerged);
  g_hash_table_unref (self->drain_steps);
  g_hash_table_unref (self->jobs_to_release);
  g_hash_table_unref (self->jobs_with_dependencies);
  g_hash_table_unref (self->active_jobs);
  g_hash_table_unref (self->ended_jobs);
  g_hash_table_unref (self->dirty);
  g_hash_table_unref (self->suspect_steps);
  g_hash_table_unref (self->unstored_suspects);
  g_ptr_array_unref (self->awaiting_starts);
  g_ptr_array_unref (self->moves);
  g_hash_table_unref (self->crash_causes);
  g_hash_table_unref (self->unresolved_losses);
  g_hash_table_unref (self->forecasts);
  g_ptr_array_unref (self->in_flush);
  g_ptr_array_unref (self->unconfirmed_workers);
  g_hash_table_unref (self->jobs);
  g_hash_table_unref (self->accounts); /* after the jobs: their steps are in its sequences */
  fb_run_times_free (self->run_times);
  g_free (self->service);
  g_free (self);
}

/* ---- workers -------------------------------------------------------------------- */

static gboolean
should_move (const FbPoolRun *run)
{
  if (run->step == NULL || run->state != FB_RUN_RUNNING || run->step->spec->gang)
    return FALSE;
  return run->step->spec->long_running || run->step->spec->checkpointing;
}

/* Moves long-running and checkpointing tasks off a draining worker before it exits, as soon as they
 * may start elsewhere.
 *
 * Called in every maintenance pass, because the owner of the pool may change while a worker begins
 * to drain, and for the new owner the worker is draining from the first list on. If tasks were
 * moved only at the transition to draining, a long-running task would end with its worker and start
 * again only after the next owner has recovered, 12 s later. */
static void
move_runs_off_draining (FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  g_autoptr (GList) runs = g_hash_table_get_values (worker->runs);
  gboolean may_start = self->may_start && fb_pool_may_place (self);
  for (GList *l = runs; l != NULL && may_start; l = l->next)
    {
      FbPoolRun *run = l->data;
      if (should_move (run) && !fb_pool_may_run_unconfirmed (self, run->step))
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
      fb_pool_worker_slots_add (self, worker, now_ms);
      fb_pool_drain_apply (self, worker);
      self->unresolved_losses_due = TRUE;
      self->workers_dirty = TRUE;
    }
  gboolean was_draining = worker->draining;
  gboolean address_changed = g_strcmp0 (worker->address, entry->address) != 0;
  if (address_changed)
    fb_pool_incarnation_remove (self, worker);
  if (address_changed && worker->address != NULL)
    worker->address_changed_ms = now_ms;
  fb_pool_worker_set_entry (worker, entry);
  fb_pool_silence_worker_listed (worker);
  fb_pool_worker_gained_capacity (self, worker);
  if (is_new || was_draining != worker->draining)
    fb_event_log (FB_EVENT_POOL_WORKER_LISTED, "worker=%s address=%s cpu=%u gpu=%u draining=%d",
                  worker->id, worker->address, worker->cpu_milli, worker->gpu_count,
                  worker->draining);
  if (address_changed)
    fb_pool_incarnation_known (self, worker, now_ms);
  if (!worker->draining || was_draining)
    return;
  self->workers_dirty = TRUE;
  move_runs_off_draining (self, worker, now_ms);
}

void
fb_pool_worker_unlisted (FbPool *self, const char *id, uint64_t now_ms)
{
  FbPoolWorker *worker = g_hash_table_lookup (self->workers, id);
  if (worker == NULL || !worker->listed)
    return;
  worker->listed = FALSE;
  worker->unlisted_ms = now_ms;
  self->unresolved_losses_due = TRUE;
  fb_event_log (FB_EVENT_POOL_WORKER_UNLISTED, "worker=%s runs=%u heard_ms_ago=%u", id,
                g_hash_table_size (worker->runs), (guint) (now_ms - worker->last_answer_ms));
}

/* A worker's entry in the platform's list may expire while the store is unavailable. If the owner
 * then changes, the new owner would have no entry for the worker and would start tasks that still
 * run there a second time. So the owner records its own list of workers, which the next owner reads
 * here. */
void
fb_pool_restore_workers (FbPool *self, const fb_work_workers *record)
{
  for (u_int i = 0; i < record->workers.workers_len; i++)
    {
      const fb_work_known_worker *known = &record->workers.workers_val[i];
      FbPoolWorker *worker = g_hash_table_lookup (self->workers, known->id);
      gboolean empty = known->steps_known && known->steps.steps_len == 0;
      fb_pool_drain_restore (self, known);
      if (worker == NULL && !empty)
        {
          worker = fb_pool_worker_new (known->id);
          worker->address = g_strdup (known->address);
          fb_pool_worker_slots_add (self, worker, self->created_ms);
          fb_pool_incarnation_known (self, worker, self->created_ms);
        }
      if (worker == NULL)
        continue;
      worker->recorded = TRUE;
      if (fb_pool_silence_excludes_misdirected (self, worker->id))
        worker->misdirected_end_ms = 0;
      fb_pool_drain_apply (self, worker);
    }
  fb_pool_silence_applied (self);
}

void
fb_pool_workers_unreadable (FbPool *self)
{
  self->workers_unreadable = TRUE;
}

void
fb_pool_workers_complete (FbPool *self)
{
  self->workers_complete = TRUE;
  self->unresolved_losses_due = TRUE;
}

/* Returns: why can_be_removed() holds for WORKER, as a text for the log. */
static const char *
reason_of_removal (const FbPoolWorker *worker)
{
  if (worker->replaced)
    return "other life";
  return worker->runs_ended ? "lease ended" : "no runs";
}

static void
remove_worker (FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  uint64_t lease_ms = fb_pool_worker_lease_remaining_ms (self, worker, now_ms);
  fb_event_log (FB_EVENT_POOL_WORKER_FORGOTTEN,
                "worker=%s why=\"%s\" heard_ms_ago=%u unlisted_ms_ago=%u lease_left_ms=%u"
                " recorded=%d epoch=%" G_GUINT64_FORMAT,
                worker->id, reason_of_removal (worker),
                worker->last_answer_ms != 0 ? (guint) (now_ms - worker->last_answer_ms) : 0,
                worker->unlisted_ms != 0 ? (guint) (now_ms - worker->unlisted_ms) : 0,
                (guint) lease_ms, worker->recorded, self->epoch);
  fb_pool_worker_slots_remove (self, worker);
  self->workers_dirty = TRUE;
}

static void
maintain_worker (FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  if (!worker->runs_ended && fb_pool_worker_lease_expired (self, worker, now_ms))
    fb_pool_worker_lost (self, worker, FB_LOSS_LEASE_ENDED, NULL, now_ms);
  fb_pool_loss_end_remaining_runs (self, worker, now_ms);
  fb_pool_stops_repeat (self, worker, now_ms);
  GHashTableIter iter;
  gpointer run;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &run))
    fb_pool_run_check_stuck (self, worker, run, now_ms);
  if (worker->draining)
    move_runs_off_draining (self, worker, now_ms);
  fb_pool_stop_orphans (self, worker, now_ms);
  fb_pool_crash_record_silence (self, worker, now_ms);
  fb_pool_crash_clear_long_running (self, worker);
  gboolean accepts_work = fb_pool_worker_accepts_starts (worker, now_ms);
  if (accepts_work && !worker->accepted_work)
    fb_pool_worker_gained_capacity (self, worker);
  worker->accepted_work = accepts_work;
}

/* Polls WORKER if that is due and the iteration may order another poll.  ORDERED_N: number of polls
 * that it has ordered. */
static void
poll_if_due (FbPool *self, FbPoolWorker *worker, guint *ordered_n, uint64_t now_ms)
{
  if (worker->poll_open || now_ms < worker->next_poll_ms)
    return;
  if (*ordered_n >= POLLS_PER_ITERATION || self->first_polls_open_n >= FIRST_POLLS_OPEN_MAX)
    {
      self->has_due_polls = TRUE;
      return;
    }
  fb_pool_order_poll (self, worker, now_ms);
  (*ordered_n)++;
}

static void
order_due_polls (FbPool *self, uint64_t now_ms)
{
  guint ordered_n = 0;
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  self->has_due_polls = FALSE;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    poll_if_due (self, worker, &ordered_n, now_ms);
}

/* TRUE when WORKER has left and need not be polled any more: either all runs of this incarnation
 * have certainly ended, or this owner has recovered, so that it has found everything that runs in
 * the pool, and nothing runs there. A later owner would otherwise wait for the worker for a whole
 * lease.
 *
 * A worker with reserved capacity is kept. If it were removed and then listed again as a new one,
 * the reservation would be returned to a worker that never had it, which would then get more runs
 * than it has capacity for.
 *
 * So is a worker that lists an end of a job that is not read yet: the job waits for that end only
 * while the worker is known. And so is one that may still receive an acknowledgement, of its own
 * ends or of those of an earlier incarnation: nothing is started on that worker before. */
static gboolean
can_be_removed (const FbPool *self, const FbPoolWorker *worker)
{
  if (worker->listed || worker->reserved_n > 0 || worker->outlived_poll_sent_ms != 0)
    return FALSE;
  if (worker->runs_ended)
    return !worker->poll_open && g_hash_table_size (worker->runs) == 0;
  return self->recovered && worker->answered && !worker->has_unknown_end
         && !fb_pool_has_pending_acknowledgement (worker)
         && worker->foreign_acknowledgement_until_ms <= self->last_maintenance_ms
         && g_hash_table_size (worker->runs) == 0;
}

void
fb_pool_set_leases_until (FbPool *self, uint64_t until_ms)
{
  self->leases_until_ms = until_ms;
}

/* Adds what WORKER has, and has free, to the sums for client accounts. */
static void
add_capacity (FbPool *self, const FbPoolWorker *worker)
{
  const FbAmounts capacity = { worker->cpu_milli, worker->mem_mb, worker->gpu_count };
  const FbAmounts room = { MAX (worker->cpu_milli - worker->cpu_used - worker->cpu_reserved, 0),
                           MAX (worker->mem_mb - worker->mem_used - worker->mem_reserved, 0),
                           MAX (worker->gpu_count - worker->gpu_used - worker->gpu_reserved, 0) };
  if (worker->listed)
    fb_amounts_add (&self->capacity, &capacity, 1);
  if (worker->accepted_work)
    fb_amounts_add (&self->free_capacity, &room, 1);
}

static void
maintain_workers (FbPool *self, uint64_t now_ms)
{
  guint ordered_n = 0;
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  self->has_due_polls = FALSE;
  self->is_connected = fb_pool_is_connected (self, now_ms);
  self->capacity = self->free_capacity = (FbAmounts){ 0 };
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (can_be_removed (self, worker))
        remove_worker (self, worker, now_ms);
      else
        {
          maintain_worker (self, worker, now_ms);
          poll_if_due (self, worker, &ordered_n, now_ms);
          add_capacity (self, worker);
        }
    }
}

/* ---- jobs ---------------------------------------------------------------------------- */

FbPoolReceipt
fb_pool_make_receipt (const FbPool *self, const fb_work_admit *record)
{
  return (FbPoolReceipt){ .stored_after_ms = self->jobs_complete_ms,
                          .was_advised = record->policy.advised };
}

void
fb_pool_add_job_take (FbPool *self, const char *id, fb_work_admit *record,
                      const FbPoolReceipt *receipt, uint64_t now_ms, uint64_t wall_ms)
{
  if (g_hash_table_contains (self->jobs, id))
    return;
  FbPoolJob *job = fb_pool_job_new (self, id, record, now_ms, wall_ms);
  job->account = fb_pool_account_get (self, job->record.account);
  job->beyond_rate = !fb_pool_account_count_job (job->account, job->record.accepted_ms);
  job->restored = !self->recovered;
  job->never_started = fb_pool_has_no_earlier_starts (self, receipt->stored_after_ms);
  job->advised_when_received = receipt->was_advised;
  fb_pool_await_unknown_ends (self, job, now_ms);
  g_hash_table_insert (self->jobs, job->id, job);
  g_hash_table_add (self->active_jobs, job);
  (void) fb_pool_job_release (self, job, wall_ms); /* cannot complete: no task has ended yet */
  if (job->record.spec.occurrences > 0)
    g_hash_table_add (self->jobs_to_release, job);
  if (job->record.spec.steps.steps_len > 1)
    g_hash_table_add (self->jobs_with_dependencies, job);
  self->round_due = TRUE;
  fb_pool_attach_runs (self, job);
  fb_event_log (FB_EVENT_JOB_TAKEN,
                "job=%s queue=%s steps=%u restored=%d age_ms=%u objective_ms=%u service=%s"
                " epoch=%" G_GUINT64_FORMAT,
                id, job->record.policy.queue, job->record.spec.steps.steps_len, job->restored,
                (guint) (now_ms - job->admitted_ms), (guint) (job->objective_ms - job->admitted_ms),
                self->service, self->epoch);
}

void
fb_pool_add_job (FbPool *self, const char *id, const fb_work_admit *record, uint64_t now_ms,
                 uint64_t wall_ms)
{
  if (g_hash_table_contains (self->jobs, id))
    return;
  fb_work_admit copy;
  fb_pool_job_copy_record (record, &copy);
  const FbPoolReceipt receipt = fb_pool_make_receipt (self, record);
  fb_pool_add_job_take (self, id, &copy, &receipt, now_ms, wall_ms);
}

void
fb_pool_restore_job (FbPool *self, const char *id, const fb_work_progress *record,
                     const fb_work_suspects *suspects, uint64_t now_ms)
{
  FbPoolJob *job = g_hash_table_lookup (self->jobs, id);
  if (job == NULL && record->state < FB_WORK_COMPLETED)
    return;
  if (job == NULL)
    {
      /* Only the end of the job is still recorded; it is kept to answer callers. */
      fb_work_admit no_record = { 0 };
      job = fb_pool_job_new (self, id, &no_record, 0, 0);
      g_hash_table_insert (self->jobs, job->id, job);
    }
  fb_pool_job_restore (job, record);
  g_hash_table_add (self->jobs_to_release,
                    job); /* tasks that are already done may release further steps */
  if (!fb_pool_job_ended (job))
    {
      fb_pool_crash_restore (self, job, suspects, now_ms);
      return;
    }
  g_hash_table_remove (self->jobs_to_release, job);
  g_hash_table_remove (self->jobs_with_dependencies, job);
  g_hash_table_remove (self->active_jobs, job);
  g_hash_table_add (self->ended_jobs, job);
}

void
fb_pool_jobs_complete (FbPool *self, uint64_t until_ms)
{
  self->jobs_complete_ms = until_ms;
}

void
fb_pool_cancel_job (FbPool *self, const char *id, uint64_t now_ms, uint64_t wall_ms)
{
  FbPoolJob *job = g_hash_table_lookup (self->jobs, id);
  if (job == NULL)
    return;
  if (!fb_pool_job_ended (job))
    {
      job->cancelled_ms = now_ms;
      fb_pool_job_end (self, job, FB_WORK_CANCELLED, now_ms, wall_ms);
    }
  /* The runs of a job that has failed or was cancelled are stopped already. */
  else if (job->state == FB_WORK_COMPLETED)
    fb_pool_job_stop_runs (self, job, now_ms);
}

void
fb_pool_update_policy (fb_work_policy *current, const fb_work_policy *policy)
{
  current->priority = policy->priority;
  current->max_attempts = policy->max_attempts;
  current->stretch_factor_milli = policy->stretch_factor_milli;
  current->target_ms = policy->target_ms;
  current->advised = policy->advised;
  current->advice_decision_us = policy->advice_decision_us;
  current->advice_per_worker_us = policy->advice_per_worker_us;
  current->advice_validity_ms = policy->advice_validity_ms;
}

void
fb_pool_set_policies (FbPool *self, GHashTable *policies)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->active_jobs);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      FbPoolJob *job = value;
      const fb_work_policy *policy = g_hash_table_lookup (policies, job->record.policy.queue);
      if (policy == NULL)
        continue;
      fb_pool_update_policy (&job->record.policy, policy);
      fb_pool_job_update_objective (self, job);
    }
}

static void
release_due (FbPool *self, uint64_t now_ms, uint64_t wall_ms)
{
  g_autoptr (GList) jobs = g_hash_table_get_keys (self->jobs_to_release);
  for (GList *l = jobs; l != NULL; l = l->next)
    {
      FbPoolJob *job = l->data;
      if (fb_pool_job_release (self, job, wall_ms))
        fb_pool_job_end (self, job, FB_WORK_COMPLETED, now_ms, wall_ms);
      if (job->next_occurrence >= job->record.spec.occurrences)
        g_hash_table_remove (self->jobs_to_release, job);
    }
}

static uint64_t
maintenance_interval_ms (const FbPool *self)
{
  return CLAMP (g_hash_table_size (self->workers) * MAINTENANCE_US_PER_WORKER / 1000,
                FB_POOL_MAINTENANCE_INTERVAL_MS, MAINTENANCE_INTERVAL_MAX_MS);
}

/* Returns: the interval at which workers are checked while the pool has not recovered. */
static uint64_t
recovery_interval_ms (const FbPool *self)
{
  return MIN (g_hash_table_size (self->workers) * RECOVERY_US_PER_WORKER / 1000,
              MAINTENANCE_INTERVAL_MAX_MS);
}

void
fb_pool_tick (FbPool *self, gboolean may_start, uint64_t now_ms, uint64_t wall_ms)
{
  if (self->fenced)
    return;
  self->may_start = may_start;
  gboolean maintenance_due = now_ms >= self->last_maintenance_ms + maintenance_interval_ms (self);
  if (maintenance_due
      || (!self->recovered && now_ms >= self->last_maintenance_ms + recovery_interval_ms (self)))
    {
      self->last_maintenance_ms = now_ms;
      maintain_workers (self, now_ms);
      fb_pool_unresolved_losses_check (self, now_ms);
      fb_pool_spread_check (self, now_ms);
      fb_pool_check_recovery (self, now_ms);
    }
  else if (self->has_due_polls)
    order_due_polls (self, now_ms);
  fb_pool_crash_end_jobs (self, now_ms, wall_ms);
  fb_pool_awaiting_starts_check (self, may_start && fb_pool_may_place (self), now_ms);
  if (!fb_pool_may_place (self) || !may_start)
    {
      self->no_start_reason = may_start ? "majority" : "authority";
      self->no_start_ms = now_ms;
      return;
    }
  if (maintenance_due)
    release_due (self, now_ms, wall_ms);
  if (!maintenance_due && !self->round_due)
    return;
  self->round_due = FALSE;
  fb_pool_moves_check (self, now_ms);
  fb_pool_place (self, now_ms);
  if (maintenance_due && self->round_position == 0)
    {
      fb_pool_place_copies (self, now_ms);
      fb_pool_relocate_runs (self, now_ms);
    }
}

/* ---- queries ----------------------------------------------------------------------------- */

gboolean
fb_pool_job_state (const FbPool *self, const char *id, fb_work_state *state)
{
  const FbPoolJob *job = g_hash_table_lookup (self->jobs, id);
  if (job == NULL)
    return FALSE;
  /* A job is reported as ended only once the end is durable: a later owner must not run the job
   * again after its caller has been notified of the end. */
  if (job->stored_state >= FB_WORK_COMPLETED)
    *state = job->stored_state;
  else
    *state = job->started ? FB_WORK_RUNNING : FB_WORK_QUEUED;
  return TRUE;
}

gboolean
fb_pool_job_is_visible (const FbPool *self, const char *id, const char *account)
{
  const char *owner = fb_pool_job_account (self, id);
  return *owner == '\0' || *account == '\0' || g_str_equal (owner, account);
}

const char *
fb_pool_job_account (const FbPool *self, const char *id)
{
  const FbPoolJob *job = g_hash_table_lookup (self->jobs, id);
  return job != NULL && job->record.account != NULL ? job->record.account : "";
}

uint32_t
fb_pool_pending_jobs_n (const FbPool *self, const char *queue)
{
  uint32_t pending = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->active_jobs);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      const FbPoolJob *job = value;
      pending += !job->started && job->record.spec.occurrences == 0
                 && g_str_equal (job->record.policy.queue, queue);
    }
  return pending;
}
