/* Waiting work of a rack: one lane for each partner, kind and team.
 *
 * A lane is ordered by rank, see task-queue.c.  Tasks are borrowed. */
#pragma once

#include "fb-types.h"

typedef struct _FbTask FbTask;
typedef struct _FbTaskQueues FbTaskQueues;

typedef struct
{
  uint32_t partner;
  uint32_t team;
  FbKind kind;
  GSequence *tasks;
  gboolean blocked; /* scratch of one scheduling pass */
} FbTaskQueue;

FbTaskQueues *fb_task_queues_new (void);
void fb_task_queues_free (FbTaskQueues *self);
void fb_task_queues_insert (FbTaskQueues *self, FbTask *task);
void fb_task_queues_remove (FbTaskQueues *self, FbTask *task);
guint fb_task_queues_count (const FbTaskQueues *self);
guint fb_task_queues_count_of (const FbTaskQueues *self, uint32_t partner, FbKind kind);
/* Returns: how many tasks of PARTNER stand in line with WAITING. */
guint fb_task_queues_waiting (const FbTaskQueues *self, uint32_t partner, FbWaitClass waiting);
/* Returns: how many waiting tasks want accelerators. */
guint fb_task_queues_accel_count (const FbTaskQueues *self);
/* Returns: the lanes of PARTNER and KIND that hold work, borrowed FbTaskQueue. */
const GPtrArray *fb_task_queues_of (const FbTaskQueues *self, uint32_t partner, FbKind kind);
void fb_task_queues_unblock (FbTaskQueues *self);

/* Returns: the rank of work that arrived at ARRIVED and is due at DUE. */
uint64_t fb_task_queue_rank (FbKind kind, uint64_t arrived_ms, uint64_t due_ms);
