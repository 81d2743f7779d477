/* Lost workers that may have crashed, and the tasks that were on them.
 *
 * A silent worker may still be running on the other side of a network partition, be suspended, or
 * be permanently lost with its rack; the end of its leases does not distinguish these cases. Its
 * tasks start again elsewhere, and the loss stays unresolved until the worker answers again or
 * another incarnation is found at its address. A loss that stays unresolved for
 * UNRESOLVED_LOSS_MAX_MS is not counted for any task. */
#include "internal/pool-crash.h"

#include "fb-counter.h"
#include "fb-event.h"

/* Hosts restart within some seconds of a crash, and a lease ends 4 s after the last answer. */
#define UNRESOLVED_LOSS_MAX_MS 10000

typedef struct
{
  char *name; /* name of the task */
  FbPoolCrash crash;
} LostTask;

typedef struct
{
  GArray *lost;  /* of LostTask: the tasks that were on the worker */
  char *address; /* address of the worker */
  uint64_t since_ms;
} UnresolvedLoss;

static void
lost_task_clear (gpointer data)
{
  g_free (((LostTask *) data)->name);
}

static void
unresolved_loss_free (gpointer data)
{
  UnresolvedLoss *loss = data;
  g_array_unref (loss->lost);
  g_free (loss->address);
  g_free (loss);
}

GHashTable *
fb_pool_unresolved_losses_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, unresolved_loss_free);
}

static UnresolvedLoss *
loss_of_worker (FbPool *self, const char *id, const char *address, uint64_t now_ms)
{
  UnresolvedLoss *loss = g_hash_table_lookup (self->unresolved_losses, id);
  if (loss != NULL)
    return loss;
  loss = g_new0 (UnresolvedLoss, 1);
  loss->lost = g_array_new (FALSE, FALSE, sizeof (LostTask));
  g_array_set_clear_func (loss->lost, lost_task_clear);
  loss->address = g_strdup (address);
  loss->since_ms = now_ms;
  g_hash_table_insert (self->unresolved_losses, g_strdup (id), loss);
  return loss;
}

void
fb_pool_unresolved_loss_add (FbPool *self, const char *id, const char *address, FbPoolStep *step,
                             uint32_t index, FbPoolCrash crash, uint64_t now_ms)
{
  const LostTask lost = { fb_pool_task_name (step, index), crash };
  g_array_append_val (loss_of_worker (self, id, address, now_ms)->lost, lost);
  step->tasks[index].unresolved_losses_n++;
  step->job->suspects_version++;
  fb_pool_unstored_suspects_add (self, step->job);
  fb_pool_task_update_withheld (self, step, index);
  self->unresolved_losses_due = TRUE;
}

static void
resolve_task (FbPool *self, const char *id, const LostTask *lost, gboolean crashed, uint64_t now_ms)
{
  uint32_t index = 0;
  FbPoolStep *step = fb_pool_find_task (self, lost->name, &index);
  fb_event_log (FB_EVENT_DOUBT_SETTLED, "task=%s worker=%s crashed=%d", lost->name, id, crashed);
  if (step == NULL)
    return;
  FbPoolTask *task = &step->tasks[index];
  task->unresolved_losses_n--;
  fb_pool_task_update_withheld (self, step, index);
  fb_pool_unresolved_start_drop (task, id);
  fb_pool_job_changed (self, step->job);
  fb_pool_unstored_suspects_add (self, step->job);
  if (crashed)
    fb_pool_crash_count (self, step, index, lost->crash, now_ms);
  fb_pool_task_requeue (self, step, index);
}

static void
resolve (FbPool *self, const char *id, const UnresolvedLoss *loss, gboolean crashed,
         uint64_t now_ms)
{
  fb_counter_add (FB_COUNTER_WORKER_CRASHES, crashed);
  for (guint i = 0; i < loss->lost->len; i++)
    resolve_task (self, id, &g_array_index (loss->lost, LostTask, i), crashed, now_ms);
}

void
fb_pool_unresolved_loss_resolve (FbPool *self, const char *id, gboolean crashed, uint64_t now_ms)
{
  const UnresolvedLoss *loss = g_hash_table_lookup (self->unresolved_losses, id);
  if (loss == NULL)
    return;
  resolve (self, id, loss, crashed, now_ms);
  g_hash_table_remove (self->unresolved_losses, id);
}

/* TRUE when OTHER replaced LOST. LOST is NULL if it is no longer known. An incarnation that was
 * listed and has disappeared since proves as much as one that is still listed. */
static gboolean
is_successor (const FbPoolWorker *other, const FbPoolWorker *lost)
{
  if (lost != NULL && other->listed_ms > 0 && other->incarnation > lost->incarnation)
    return TRUE;
  return other->listed && (lost == NULL || !lost->listed);
}

/* TRUE when an incarnation that was listed later than worker ID is listed at its address, according
 * to a list that was read under this owner. */
static gboolean
is_replaced (const FbPool *self, const char *id, const UnresolvedLoss *loss)
{
  const FbPoolWorker *lost = g_hash_table_lookup (self->workers, id);
  if (!self->workers_complete)
    return FALSE;
  guint slot = 0;
  const FbPoolWorker *other = NULL;
  while ((other = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (other != lost && g_strcmp0 (other->address, loss->address) == 0
          && is_successor (other, lost))
        return TRUE;
    }
  return FALSE;
}

static gboolean
is_draining (const FbPool *self, const char *id)
{
  const FbPoolWorker *worker = g_hash_table_lookup (self->workers, id);
  return worker != NULL && worker->draining;
}

void
fb_pool_unresolved_losses_check (FbPool *self, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer id;
  gpointer value;
  gboolean due = self->unresolved_losses_due;
  self->unresolved_losses_due = FALSE;
  g_hash_table_iter_init (&iter, self->unresolved_losses);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const UnresolvedLoss *loss = value;
      gboolean replaced = due && is_replaced (self, id, loss);
      /* Only the list shows what took the place of a worker that this owner never polled. */
      if (!replaced
          && (now_ms < loss->since_ms + UNRESOLVED_LOSS_MAX_MS || !self->workers_complete))
        continue;
      resolve (self, id, loss, replaced && !is_draining (self, id), now_ms);
      g_hash_table_iter_remove (&iter);
    }
}
