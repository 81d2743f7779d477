/* The workers of a pool in a dense array, and the list of workers whose capacity has grown.
 *
 * A round checks the free capacity of each worker for each pending step, so it iterates over an
 * array instead of a hash table.  A slot is used again after its worker is forgotten;
 * FbPoolWorker.life, which never repeats, tells the two workers apart. */
#include "internal/pool-private.h"

void
fb_pool_roster_add (FbPool *self, FbPoolWorker *worker)
{
  guint slot = 0;
  while (slot < self->roster->len && self->roster->pdata[slot] != NULL)
    slot++;
  if (slot == self->roster->len)
    g_ptr_array_add (self->roster, worker);
  else
    self->roster->pdata[slot] = worker;
  worker->slot = slot;
  worker->life = ++self->last_life;
  g_hash_table_insert (self->workers, worker->id, worker);
}

/* Removes WORKER from OPENED.  The entries that the open round began with stay the first ones. */
static void
remove_opened (FbPool *self, FbPoolWorker *worker)
{
  guint at = 0;
  if (!g_ptr_array_find (self->opened, worker, &at))
    return;
  g_ptr_array_remove_index (self->opened, at);
  if (at < self->round_opened_n)
    self->round_opened_n--;
}

void
fb_pool_roster_remove (FbPool *self, FbPoolWorker *worker)
{
  self->roster->pdata[worker->slot] = NULL;
  fb_pool_life_forget (self, worker);
  remove_opened (self, worker);
  g_hash_table_remove (self->workers, worker->id);
}

FbPoolWorker *
fb_pool_roster_next (const FbPool *self, guint *slot)
{
  while (*slot < self->roster->len)
    {
      FbPoolWorker *worker = self->roster->pdata[(*slot)++];
      if (worker != NULL)
        return worker;
    }
  return NULL;
}

void
fb_pool_worker_opened (FbPool *self, FbPoolWorker *worker)
{
  self->place_due = TRUE;
  if (worker->opened)
    return;
  worker->opened = TRUE;
  g_ptr_array_add (self->opened, worker);
}
