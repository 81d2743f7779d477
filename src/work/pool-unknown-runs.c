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

/* Time after the creation of a pool in which an earlier owner, which cannot reach the store, may
 * still extend leases. */
#define EARLIER_OWNER_MS (FB_POOL_UNLISTED_COUNTED_MS + FB_POOL_STEP_DOWN_MS)
/* A worker's clock may be slow by 1 part in CLOCK_TOLERANCE_DIVISOR. */
#define CLOCK_TOLERANCE_DIVISOR 50

gboolean
fb_pool_has_found_all_runs (const FbPool *self, uint64_t now_ms)
{
  if (self->recovered || (self->workers_complete && g_hash_table_size (self->workers) == 0))
    return TRUE;
  uint64_t lease_ms = self->limits.max_lease_ms;
  return now_ms > self->created_ms + EARLIER_OWNER_MS + lease_ms
                      + lease_ms / CLOCK_TOLERANCE_DIVISOR + self->limits.max_stop_ms;
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
