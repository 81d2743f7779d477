/* Several incarnations of one worker that are known at the same time.
 *
 * List entries and answers arrive late and out of order, so an owner may have two incarnations
 * under one id and send work to both, while all of it is delivered to the one that runs. That
 * worker would then get more than its capacity, and tasks would wait for an incarnation that has
 * ended. So as soon as the latest incarnation at an address is known, it takes over everything
 * meant for earlier ones, and nothing is started on any other. */
#include "internal/pool-private.h"

static gboolean
is_newer_incarnation (const FbPool *self, const FbPoolWorker *incarnation,
                      const FbPoolWorker *other)
{
  return self->callbacks->is_newer_incarnation != NULL
         && self->callbacks->is_newer_incarnation (incarnation->id, other->id);
}

/* Returns: (nullable): borrowed. */
static FbPoolWorker *
latest_at (const FbPool *self, const char *address)
{
  return address != NULL ? g_hash_table_lookup (self->latest_incarnations, address) : NULL;
}

gboolean
fb_pool_incarnation_is_latest (const FbPool *self, const FbPoolWorker *worker)
{
  return !worker->superseded && latest_at (self, worker->address) == worker;
}

void
fb_pool_incarnation_set_latest (FbPool *self, FbPoolWorker *worker)
{
  worker->superseded = FALSE;
  if (self->callbacks->is_newer_incarnation != NULL && worker->address != NULL)
    g_hash_table_replace (self->latest_incarnations, g_strdup (worker->address), worker);
}

void
fb_pool_incarnation_known (FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  FbPoolWorker *latest = latest_at (self, worker->address);
  if (latest == worker)
    return;
  /* The entry may be outdated. If the host's clock was set back, an answer of the worker corrects
   * this. */
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
fb_pool_incarnation_remove (FbPool *self, const FbPoolWorker *worker)
{
  if (latest_at (self, worker->address) == worker)
    g_hash_table_remove (self->latest_incarnations, worker->address);
}
