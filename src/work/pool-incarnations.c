/* Lives of one worker that are known at the same time.
 *
 * Failure: an owner knows two lives under one id, as entries and answers come late and out of
 * order, and orders work for both; all of it reaches the one that runs.  It shows as a worker that
 * holds more than its room, and as tasks that wait for a life that has ended.  Guard: of the lives
 * at an address the one that began last takes all that was meant for those before, as soon as it is
 * known, and nothing is started on any other. */
#include "internal/pool-private.h"

static gboolean
is_newer_incarnation (const FbPool *self, const FbPoolWorker *incarnation,
                      const FbPoolWorker *other)
{
  return self->sink->is_newer_incarnation != NULL
         && self->sink->is_newer_incarnation (incarnation->id, other->id);
}

/* Returns: (nullable): borrowed. */
static FbPoolWorker *
latest_at (const FbPool *self, const char *address)
{
  return address != NULL ? g_hash_table_lookup (self->latest, address) : NULL;
}

void
fb_pool_incarnation_set_latest (FbPool *self, FbPoolWorker *worker)
{
  worker->superseded = FALSE;
  if (self->sink->is_newer_incarnation != NULL && worker->address != NULL)
    g_hash_table_replace (self->latest, g_strdup (worker->address), worker);
}

void
fb_pool_incarnation_known (FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  FbPoolWorker *latest = latest_at (self, worker->address);
  if (latest == worker)
    return;
  /* The entry may be a late one; a host whose time went back is told apart by its answer. */
  if (latest != NULL && is_newer_incarnation (self, latest, worker))
    {
      worker->superseded = TRUE;
      return;
    }
  fb_pool_incarnation_set_latest (self, worker);
  if (latest != NULL && is_newer_incarnation (self, worker, latest))
    fb_pool_worker_restarted (self, latest, worker->id, now_ms);
}

void
fb_pool_incarnation_answered (FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  if (!worker->superseded)
    return;
  FbPoolWorker *latest = latest_at (self, worker->address);
  if (latest == NULL || latest->runs_ended)
    fb_pool_incarnation_set_latest (self, worker);
  else if (worker->poll_sent_ms >= MAX (latest->last_answer_ms, worker->listed_ms))
    fb_pool_worker_restarted (self, latest, worker->id, now_ms);
}

FbPoolWorker *
fb_pool_incarnation_running (const FbPool *self, FbPoolWorker *worker)
{
  FbPoolWorker *latest = worker->replaced ? latest_at (self, worker->address) : NULL;
  return latest != NULL && is_newer_incarnation (self, latest, worker) ? latest : worker;
}

void
fb_pool_incarnation_forget (FbPool *self, const FbPoolWorker *worker)
{
  if (latest_at (self, worker->address) == worker)
    g_hash_table_remove (self->latest, worker->address);
}
