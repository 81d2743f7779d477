/* Order of waiting work.
 *
 * Within a queue the order is earliest deadline first by a *virtual* due time: min (due, arrival
 * + ageing time of the kind). Plain EDF starves work without a deadline, and ageing by sorting
 * again costs a pass over the queue. With a virtual due time that is fixed at arrival, work
 * without a deadline advances because later arrivals get higher ranks, and the queue remains a
 * balanced tree: O(log n) to insert, O(log n) to remove, O(1) for the first task. The
 * disadvantage: a deadline that is further away than the ageing time has no influence. */
#include "internal/task-queue.h"

#include "internal/rack-private.h"

struct _FbTaskQueues
{
  GHashTable *by_key;                            /* key_of() -> FbTaskQueue owned */
  GPtrArray *non_empty[FB_PARTNER_N][FB_KIND_N]; /* FbTaskQueue borrowed: those not empty */
  guint count[FB_PARTNER_N][FB_KIND_N];
  guint total;
  guint accel; /* tasks that need accelerators */
  guint waiting[FB_PARTNER_N][FB_WAIT_CLASS_N];
};

/* Ageing time: how long after its arrival a task without a deadline has its virtual due time. */
static const uint64_t ageing_ms[FB_KIND_N] = {
  [FB_KIND_URGENT] = 9200,
  [FB_KIND_SERVICE] = 60 * 1000,
  [FB_KIND_GANG] = 10 * 60 * 1000,
  [FB_KIND_BATCH] = 60 * 60 * 1000,
};

static int
compare_rank (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void) unused;
  const FbTask *x = a;
  const FbTask *y = b;
  if (x->rank_ms != y->rank_ms)
    return x->rank_ms < y->rank_ms ? -1 : 1;
  if (x->spec.run.job != y->spec.run.job)
    return x->spec.run.job < y->spec.run.job ? -1 : 1;
  return (x->spec.run.index > y->spec.run.index) - (x->spec.run.index < y->spec.run.index);
}

static void
queue_free (gpointer data)
{
  FbTaskQueue *queue = data;
  g_sequence_free (queue->tasks);
  g_free (queue);
}

static uint64_t
key_of (const fb_spec *spec)
{
  return ((uint64_t) spec->partner << 40) | ((uint64_t) spec->kind << 32) | spec->team;
}

FbTaskQueues *
fb_task_queues_new (void)
{
  FbTaskQueues *self = g_new0 (FbTaskQueues, 1);
  self->by_key = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, queue_free);
  for (guint p = 0; p < FB_PARTNER_N; p++)
    {
      for (guint k = 0; k < FB_KIND_N; k++)
        self->non_empty[p][k] = g_ptr_array_new ();
    }
  return self;
}

void
fb_task_queues_free (FbTaskQueues *self)
{
  for (guint p = 0; p < FB_PARTNER_N; p++)
    {
      for (guint k = 0; k < FB_KIND_N; k++)
        g_ptr_array_free (self->non_empty[p][k], TRUE);
    }
  g_hash_table_destroy (self->by_key);
  g_free (self);
}

static FbTaskQueue *
queue_for (FbTaskQueues *self, const fb_spec *spec)
{
  uint64_t key = key_of (spec);
  FbTaskQueue *queue = g_hash_table_lookup (self->by_key, &key);
  if (queue == NULL)
    {
      queue = g_new0 (FbTaskQueue, 1);
      queue->partner = spec->partner;
      queue->team = spec->team;
      queue->kind = (FbKind) spec->kind;
      queue->tasks = g_sequence_new (NULL);
      g_hash_table_insert (self->by_key, g_memdup2 (&key, sizeof key), queue);
    }
  return queue;
}

static gboolean
needs_accel (const FbTask *task)
{
  return task->spec.demand.amount[FB_RES_ACCEL_COUNT] > 0;
}

guint
fb_task_queues_waiting (const FbTaskQueues *self, uint32_t partner, FbWaitClass waiting)
{
  return self->waiting[partner][waiting];
}

guint
fb_task_queues_accel_count (const FbTaskQueues *self)
{
  return self->accel;
}

void
fb_task_queues_insert (FbTaskQueues *self, FbTask *task)
{
  FbTaskQueue *queue = queue_for (self, &task->spec);
  if (g_sequence_is_empty (queue->tasks))
    g_ptr_array_add (self->non_empty[queue->partner][queue->kind], queue);
  task->queue_pos = g_sequence_insert_sorted (queue->tasks, task, compare_rank, NULL);
  self->count[queue->partner][queue->kind]++;
  self->total++;
  self->accel += needs_accel (task) ? 1 : 0;
  self->waiting[queue->partner][fb_spec_wait_class (&task->spec)]++;
}

void
fb_task_queues_remove (FbTaskQueues *self, FbTask *task)
{
  FbTaskQueue *queue = queue_for (self, &task->spec);
  g_sequence_remove (task->queue_pos);
  task->queue_pos = NULL;
  self->count[queue->partner][queue->kind]--;
  self->total--;
  self->accel -= needs_accel (task) ? 1 : 0;
  self->waiting[queue->partner][fb_spec_wait_class (&task->spec)]--;
  if (g_sequence_is_empty (queue->tasks))
    {
      uint64_t key = key_of (&task->spec);
      g_ptr_array_remove_fast (self->non_empty[queue->partner][queue->kind], queue);
      g_hash_table_remove (self->by_key, &key);
    }
}

guint
fb_task_queues_count (const FbTaskQueues *self)
{
  return self->total;
}

guint
fb_task_queues_count_of (const FbTaskQueues *self, uint32_t partner, FbKind kind)
{
  return self->count[partner][kind];
}

const GPtrArray *
fb_task_queues_of (const FbTaskQueues *self, uint32_t partner, FbKind kind)
{
  return self->non_empty[partner][kind];
}

void
fb_task_queues_unblock (FbTaskQueues *self)
{
  GHashTableIter iter;
  gpointer queue;
  g_hash_table_iter_init (&iter, self->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &queue))
    ((FbTaskQueue *) queue)->blocked = FALSE;
}

uint64_t
fb_task_queue_rank (FbKind kind, uint64_t arrived_ms, uint64_t due_ms)
{
  return MIN (due_ms, arrived_ms + ageing_ms[kind]);
}
