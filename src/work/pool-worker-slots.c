/* The workers of a pool in a dense array, and the list of workers whose capacity has grown.
 *
 * A round checks the free capacity of each worker for each pending step, so it iterates over an
 * array instead of a hash table. A slot is reused after its worker has been removed;
 * FbPoolWorker.incarnation, which is never reused, distinguishes the two workers. */
#include "internal/pool-silence.h"

void
fb_pool_worker_slots_add (FbPool *self, FbPoolWorker *worker, uint64_t known_ms)
{
  while (self->free_slot < self->worker_slots->len
         && self->worker_slots->pdata[self->free_slot] != NULL)
    self->free_slot++;
  if (self->free_slot == self->worker_slots->len)
    g_ptr_array_add (self->worker_slots, worker);
  else
    self->worker_slots->pdata[self->free_slot] = worker;
  worker->slot = self->free_slot;
  worker->incarnation = ++self->last_incarnation;
  g_hash_table_insert (self->workers, worker->id, worker);
  const uint64_t *sent_ms = g_hash_table_lookup (self->outlived_polls, worker->id);
  worker->outlived_poll_sent_ms = sent_ms != NULL ? *sent_ms : 0;
  g_hash_table_remove (self->outlived_polls, worker->id);
  worker->may_restart
      = self->callbacks->may_restart != NULL && self->callbacks->may_restart (worker->id);
  fb_pool_lease_expect_misdirected (self, worker, known_ms);
  fb_pool_silence_worker_added (self, worker);
}

/* Removes WORKER from FbPool.gained_capacity.  The entries that the open round began with stay the
 * first ones. */
static void
remove_gained_capacity (FbPool *self, FbPoolWorker *worker)
{
  guint at = 0;
  if (!g_ptr_array_find (self->gained_capacity, worker, &at))
    return;
  g_ptr_array_remove_index (self->gained_capacity, at);
  if (at < self->round_gained_n)
    self->round_gained_n--;
}

void
fb_pool_worker_slots_remove (FbPool *self, FbPoolWorker *worker)
{
  self->worker_slots->pdata[worker->slot] = NULL;
  self->free_slot = MIN (self->free_slot, worker->slot);
  fb_pool_first_poll_ended (self, worker);
  if (worker->poll_open)
    g_hash_table_replace (self->outlived_polls, g_strdup (worker->id),
                          g_memdup2 (&worker->poll_sent_ms, sizeof worker->poll_sent_ms));
  fb_pool_incarnation_remove (self, worker);
  fb_pool_majority_remove (self, worker);
  remove_gained_capacity (self, worker);
  g_hash_table_remove (self->workers, worker->id);
}

FbPoolWorker *
fb_pool_worker_slots_next (const FbPool *self, guint *slot)
{
  while (*slot < self->worker_slots->len)
    {
      FbPoolWorker *worker = self->worker_slots->pdata[(*slot)++];
      if (worker != NULL)
        return worker;
    }
  return NULL;
}

void
fb_pool_worker_gained_capacity (FbPool *self, FbPoolWorker *worker)
{
  self->round_due = TRUE;
  if (worker->gained_capacity)
    return;
  worker->gained_capacity = TRUE;
  g_ptr_array_add (self->gained_capacity, worker);
}
