/* Queues of the waiting tasks of a rack: one for each partner, kind and team.
 *
 * A queue is sorted by rank, see fb_lane_rank(). Tasks are borrowed. */
#pragma once

#include "fb-types.h"

typedef struct _FbTask FbTask;
typedef struct _FbLanes FbLanes;

typedef struct
{
  uint32_t partner;
  uint32_t team;
  FbKind kind;
  GSequence *tasks; /* FbTask borrowed, smallest rank first */
  gboolean blocked; /* nothing in this queue can start in this scheduling pass */
} FbLane;

FbLanes *fb_lanes_new (void);
void fb_lanes_free (FbLanes *self);
void fb_lanes_insert (FbLanes *self, FbTask *task);
void fb_lanes_remove (FbLanes *self, FbTask *task);
guint fb_lanes_count (const FbLanes *self);
guint fb_lanes_count_of (const FbLanes *self, uint32_t partner, FbKind kind);
/* Returns: the number of tasks of PARTNER in the class WAITING. */
guint fb_lanes_waiting (const FbLanes *self, uint32_t partner, FbWaiting waiting);
/* Returns: the number of waiting tasks that need accelerators. */
guint fb_lanes_accel_count (const FbLanes *self);
/* Returns: the queues of PARTNER and KIND that are not empty, borrowed FbLane. */
const GPtrArray *fb_lanes_of (const FbLanes *self, uint32_t partner, FbKind kind);
/* Clears FbLane.blocked of all queues. */
void fb_lanes_unblock (FbLanes *self);

/* Returns: the sort key of a task that arrived at ARRIVED_MS and is due at DUE_MS. */
uint64_t fb_lane_rank (FbKind kind, uint64_t arrived_ms, uint64_t due_ms);
