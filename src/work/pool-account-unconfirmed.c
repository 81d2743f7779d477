/* What may run for accounts on workers that have not answered a new owner yet. */
#include "internal/pool-account-private.h"

/* Interval at which what may run on workers without an answer is computed again during a takeover:
 * it takes a pass over the active jobs. */
#define UNCONFIRMED_INTERVAL_MS 100

/* A worker may have shrunk since its runs were started, so its largest size counts; only that of a
 * worker which a daemon of an earlier version recorded is unknown, and counts as unlimited. */
static FbAmounts
largest_size (const FbPoolWorker *worker)
{
  return worker->size_known
             ? (FbAmounts){ worker->max_cpu_milli, worker->max_mem_mb, worker->max_gpu_count }
             : (FbAmounts){ G_MAXINT64, G_MAXINT64, G_MAXINT64 };
}

/* Returns: what all unconfirmed workers whose runs are not counted have together. */
static FbAmounts
unconfirmed_capacity (const FbPool *self)
{
  FbAmounts capacity = { 0 };
  for (guint i = 0; i < self->unconfirmed_workers->len; i++)
    {
      const FbPoolWorker *worker = self->unconfirmed_workers->pdata[i];
      const FbAmounts of_worker = largest_size (worker);
      if (worker->runs_counted)
        continue;
      if (!worker->size_known)
        return of_worker;
      fb_amounts_add (&capacity, &of_worker, 1);
    }
  return capacity;
}

/* The CPU of best-effort tasks does not count at their workers, so the size of these is no bound
 * for it. */
static void
charge_unconfirmed (FbPoolAccount *account, const fb_work_step *spec, guint tasks_n)
{
  FbAmounts demand = fb_pool_demand_of (spec);
  if (spec->best_effort)
    {
      account->unconfirmed_best_effort_cpu_milli += tasks_n * demand.cpu_milli;
      demand.cpu_milli = 0;
    }
  fb_amounts_add (&account->unconfirmed, &demand, tasks_n);
}

static void
add_unconfirmed (const FbPool *self, FbPoolJob *job)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
      for (guint j = 0; !occurrence->finished && j < job->record.spec.steps.steps_len; j++)
        {
          const FbPoolStep *step = &occurrence->steps[j];
          guint pending_n = fb_pool_step_is_pending (step) ? fb_pool_step_pending_n (step) : 0;
          if (pending_n > 0 && fb_pool_may_run_uncounted (self, step))
            charge_unconfirmed (job->account, step->spec, pending_n);
        }
    }
}

/* Charges the tasks that the previous owner has counted on WORKER, in addition to what is bounded
 * by bound_unconfirmed(). */
static void
add_counted (FbPool *self, const FbPoolWorker *worker)
{
  const FbAmounts capacity = largest_size (worker);
  GHashTableIter iter;
  gpointer name;
  gpointer n;
  g_hash_table_iter_init (&iter, worker->known_steps);
  while (g_hash_table_iter_next (&iter, &name, &n))
    {
      uint32_t index = 0;
      g_autofree char *task = g_strconcat (name, ".0", NULL);
      const FbPoolStep *step = fb_pool_find_task (self, task, &index);
      if (step == NULL || step->job->account == NULL)
        continue;
      const FbAmounts demand = fb_pool_demand_of (step->spec);
      FbAmounts amounts = { 0 };
      fb_amounts_add (&amounts, &demand, GPOINTER_TO_UINT (n));
      if (!step->spec->best_effort)
        amounts = fb_amounts_min (&amounts, &capacity);
      fb_amounts_add (&step->job->account->unconfirmed, &amounts, 1);
    }
}

static void
add_all_counted (FbPool *self)
{
  for (guint i = 0; i < self->unconfirmed_workers->len; i++)
    {
      const FbPoolWorker *worker = self->unconfirmed_workers->pdata[i];
      if (worker->runs_counted)
        add_counted (self, worker);
    }
}

/* Tasks that may run on workers without an answer use no more than these workers have. */
static void
bound_unconfirmed (FbPool *self)
{
  const FbAmounts capacity = unconfirmed_capacity (self);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolAccount *account = value;
      account->unconfirmed = fb_amounts_min (&account->unconfirmed, &capacity);
      account->unconfirmed.cpu_milli += account->unconfirmed_best_effort_cpu_milli;
      account->release_due = TRUE;
    }
}

static void
clear_unconfirmed (FbPool *self)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolAccount *account = value;
      const FbAmounts none = { 0 };
      account->release_due
          = account->release_due || !fb_amounts_equal (&account->unconfirmed, &none);
      account->unconfirmed = none;
      account->unconfirmed_best_effort_cpu_milli = 0;
    }
}

void
fb_pool_accounts_update_unconfirmed (FbPool *self, uint64_t now_ms)
{
  if (!self->recovered && now_ms < self->unconfirmed_ms + UNCONFIRMED_INTERVAL_MS)
    return;
  self->unconfirmed_ms = now_ms;
  clear_unconfirmed (self);
  if (self->recovered)
    return;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->active_jobs);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      FbPoolJob *job = value;
      if (job->account != NULL)
        add_unconfirmed (self, job);
    }
  bound_unconfirmed (self);
  add_all_counted (self);
}
