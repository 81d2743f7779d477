/* Queues of the waiting tasks of a rack: one for each partner, kind and team.
 *
 * A queue is sorted by rank, see fb_task_queue_rank(). Tasks are borrowed. */
#pragma once

#include "fb-types.h"

typedef struct _FbTask FbTask;
typedef struct _FbTaskQueues FbTaskQueues;

typedef struct
{
  uint32_t partner;
  uint32_t team;
  FbKind kind;
  GSequence *tasks; /* FbTask borrowed, smallest rank first */
  gboolean blocked; /* nothing in this queue can start in this scheduling pass */
} FbTaskQueue;

FbTaskQueues *fb_task_queues_new (void);
void fb_task_queues_free (FbTaskQueues *self);
void fb_task_queues_insert (FbTaskQueues *self, FbTask *task);
void fb_task_queues_remove (FbTaskQueues *self, FbTask *task);
guint fb_task_queues_count (const FbTaskQueues *self);
guint fb_task_queues_count_of (const FbTaskQueues *self, uint32_t partner, FbKind kind);
/* Returns: the number of tasks of PARTNER in the class WAITING. */
guint fb_task_queues_waiting (const FbTaskQueues *self, uint32_t partner, FbWaitClass waiting);
/* Returns: the number of waiting tasks that need accelerators. */
guint fb_task_queues_accel_count (const FbTaskQueues *self);
/* Returns: the queues of PARTNER and KIND that are not empty, borrowed FbTaskQueue. */
const GPtrArray *fb_task_queues_of (const FbTaskQueues *self, uint32_t partner, FbKind kind);
/* Clears FbTaskQueue.blocked of all queues. */
void fb_task_queues_unblock (FbTaskQueues *self);

/* Returns: the sort key of a task that arrived at ARRIVED_MS and is due at DUE_MS; smaller keys
 * start first. */
uint64_t fb_task_queue_rank (FbKind kind, uint64_t arrived_ms, uint64_t due_ms);
