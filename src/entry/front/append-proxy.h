/* The daemons through which the others store their callers' records.  No I/O, clock or thread.
 *
 * A partition of the store takes one append after the other, and in 100 ms and more each while the
 * store is slow.  With few daemons each appends by itself, and all go through the owner once the
 * store is known to be slow.
 *
 * Failure: of 147 daemons that append by themselves forty do within the time that it takes to
 * learn that the store is slow; its queue is longer than callers wait from then on, and who is
 * refused there tries again by others.  It shows as 392 of 619 callers of six seconds without an
 * answer.  Guard: with many daemons a few append for all, always: four appends wait for each other
 * at most. */
#pragma once

#include "src/entry/store/daemons.h"
#include "src/entry/store/store-health.h"

/* A caller's record; what it points to is borrowed. */
typedef struct
{
  const char *front;      /* address of the daemon that has taken it */
  const char *owner;      /* of the pool of its partition; NULL: not known */
  const GPtrArray *asked; /* addresses of daemons that were asked to store it */
  uint32_t partition;
  uint64_t since_ms; /* when its caller came */
} FbAppendProxyRecord;

typedef enum
{
  FB_APPEND_ROUTE_LOCAL,  /* it is to be stored from here */
  FB_APPEND_ROUTE_PROXY,  /* by another daemon */
  FB_APPEND_ROUTE_GIVE_UP /* nothing more is tried */
} FbAppendProxyStep;

typedef struct
{
  FbAppendProxyStep step;
  const char *address;  /* of that daemon, borrowed; NULL unless one is to be asked */
  uint32_t patience_ms; /* how long its answer is waited for */
} FbAppendRoute;

/* TRUE when records had better not be stored from a daemon with PACE. */
gboolean fb_append_proxy_store_is_degraded (const FbStoreHealth *pace, uint64_t now_ms);
/* What is to be done with RECORD first, or after the daemon asked last has not stored it.  PACE: of
 * the daemon that has taken it.  MEMBERS: of FbDaemon. */
FbAppendRoute fb_append_proxy_route (const FbAppendProxyRecord *record, const FbStoreHealth *pace,
                                     const GPtrArray *members, uint64_t now_ms);

/* Which daemon is to store a record of PARTITION that the daemon at FRONT has taken: with many
 * daemons one of four that all choose alike, else the owner, or without it one that all choose.
 * MEMBERS: of FbDaemon.  OWNER: of the partition's pool; NULL: not known.  ASKED: addresses that
 * are not to be chosen again.
 *
 * Returns: (nullable): its address, borrowed; NULL: there is none. */
const char *fb_append_proxy_for (const GPtrArray *members, const char *owner, const char *front,
                                 const GPtrArray *asked, uint32_t partition, uint64_t now_ms);
/* TRUE when records go through others at all times, not only while the store is slow. */
gboolean fb_append_proxy_always (const GPtrArray *members);
