/* Workers that were lost and may have crashed, and what was on them.
 *
 * A worker that fell silent may run on behind a cut, be frozen, or be gone for good with its rack;
 * that all its leases have ended says nothing of why.  Its tasks start again elsewhere, and until
 * something proves more they are in doubt: the worker answers again, or another life is found at
 * its address.  What proves nothing for DOUBT_MS is counted for nobody. */
#include "internal/pool-crash.h"

#include "fb-counter.h"
#include "fb-event.h"

/* Hosts are back some seconds after a crash, and a lease ends 4 s after the last answer. */
#define DOUBT_MS 10000

typedef struct
{
  char *name; /* of the task */
  FbPoolCrash crash;
} LostTask;

typedef struct
{
  GArray *lost;  /* of LostTask */
  char *address; /* of the worker */
  uint64_t since_ms;
} Doubt;

static void
lost_task_clear (gpointer data)
{
  g_free (((LostTask *) data)->name);
}

static void
doubt_free (gpointer data)
{
  Doubt *doubt = data;
  g_array_unref (doubt->lost);
  g_free (doubt->address);
  g_free (doubt);
}

GHashTable *
fb_pool_unresolved_losses_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, doubt_free);
}

static Doubt *
doubt_about (FbPool *self, const char *id, const char *address, uint64_t now_ms)
{
  Doubt *doubt = g_hash_table_lookup (self->unresolved_losses, id);
  if (doubt != NULL)
    return doubt;
  doubt = g_new0 (Doubt, 1);
  doubt->lost = g_array_new (FALSE, FALSE, sizeof (LostTask));
  g_array_set_clear_func (doubt->lost, lost_task_clear);
  doubt->address = g_strdup (address);
  doubt->since_ms = now_ms;
  g_hash_table_insert (self->unresolved_losses, g_strdup (id), doubt);
  return doubt;
}

void
fb_pool_unresolved_loss_add (FbPool *self, const char *id, const char *address, FbPoolStep *step,
                             uint32_t index, FbPoolCrash crash, uint64_t now_ms)
{
  const LostTask lost = { fb_pool_task_name (step, index), crash };
  g_array_append_val (doubt_about (self, id, address, now_ms)->lost, lost);
  step->tasks[index].unresolved_losses_n++;
  step->job->suspects_version++;
  fb_pool_unstored_suspects_add (self, step->job);
  fb_pool_task_update_withheld (self, step, index);
  self->unresolved_losses_due = TRUE;
}

static void
settle_task (FbPool *self, const char *id, const LostTask *lost, gboolean crashed, uint64_t now_ms)
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
settle (FbPool *self, const char *id, const Doubt *doubt, gboolean crashed, uint64_t now_ms)
{
  fb_counter_add (FB_COUNTER_WORKER_CRASHES, crashed);
  for (guint i = 0; i < doubt->lost->len; i++)
    settle_task (self, id, &g_array_index (doubt->lost, LostTask, i), crashed, now_ms);
}

void
fb_pool_unresolved_loss_resolve (FbPool *self, const char *id, gboolean crashed, uint64_t now_ms)
{
  const Doubt *doubt = g_hash_table_lookup (self->unresolved_losses, id);
  if (doubt == NULL)
    return;
  settle (self, id, doubt, crashed, now_ms);
  g_hash_table_remove (self->unresolved_losses, id);
}

/* LOST may be NULL: it is not known any more.  A life that was listed and is gone by now proves as
 * much as one that is listed. */
static gboolean
is_successor (const FbPoolWorker *other, const FbPoolWorker *lost)
{
  if (lost != NULL && other->listed_ms > 0 && other->incarnation > lost->incarnation)
    return TRUE;
  return other->listed && (lost == NULL || !lost->listed);
}

/* TRUE when another life than that of the worker called ID is listed at its address, by a list that
 * is newer than this pool, and was listed later. */
static gboolean
is_replaced (const FbPool *self, const char *id, const Doubt *doubt)
{
  const FbPoolWorker *lost = g_hash_table_lookup (self->workers, id);
  if (!self->workers_complete)
    return FALSE;
  guint slot = 0;
  const FbPoolWorker *other = NULL;
  while ((other = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (other != lost && g_strcmp0 (other->address, doubt->address) == 0
          && is_successor (other, lost))
        return TRUE;
    }
  return FALSE;
}

static gboolean
drains (const FbPool *self, const char *id)
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
      const Doubt *doubt = value;
      gboolean replaced = due && is_replaced (self, id, doubt);
      if (!replaced && now_ms < doubt->since_ms + DOUBT_MS)
        continue;
      settle (self, id, doubt, replaced && !drains (self, id), now_ms);
      g_hash_table_iter_remove (&iter);
    }
}
