/* Runs of jobs that the pool does not have, since their record names another service of the same
 * partition. */
#include "internal/pool-private.h"

gboolean
fb_pool_lists_unknown_runs (const FbPool *self)
{
  guint slot = 0;
  const FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (worker->has_unknown_end || worker->unknown_runs_n > 0)
        return TRUE;
    }
  return FALSE;
}

static gboolean
lists_run_of (const FbPoolWorker *worker, const char *job)
{
  GHashTableIter iter;
  gpointer name;
  if (worker->has_unknown_end && g_str_equal (worker->unknown_end_job, job))
    return TRUE;
  g_hash_table_iter_init (&iter, worker->runs);
  while (worker->unknown_runs_n > 0 && g_hash_table_iter_next (&iter, &name, NULL))
    {
      if (g_str_has_prefix (name, job))
        return TRUE;
    }
  return FALSE;
}

gboolean
fb_pool_has_found_all_runs (const FbPool *self, uint64_t now_ms)
{
  if (self->recovered || (self->workers_complete && g_hash_table_size (self->workers) == 0))
    return TRUE;
  return now_ms > fb_pool_lease_latest_end_ms (self) + self->limits.max_stop_ms;
}

gboolean
fb_pool_lists_run_of (const FbPool *self, const char *job)
{
  guint slot = 0;
  const FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (lists_run_of (worker, job))
        return TRUE;
    }
  return FALSE;
}
