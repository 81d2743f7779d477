/* Chooses the daemons through which the others store their callers' records.  No I/O, clock or
 * thread.
 *
 * A partition of the store processes one append after the other, each in 100 ms and more while the
 * store is slow.  With few daemons each appends by itself, and all go through the owner once the
 * store is known to be slow.
 *
 * Failure: of 147 daemons that append by themselves forty do so before they learn that the store is
 * slow; from then on its queue is longer than callers wait, and refused records are sent again by
 * other daemons.  It shows as 392 of 619 callers within six seconds that get no answer.  Guard:
 * with many daemons a few append for all at all times, so that at most four appends wait for each
 * other. */
#pragma once

#include "src/entry/store/daemons.h"
#include "src/entry/store/store-health.h"

/* A caller's record; everything that it points to is borrowed. */
typedef struct
{
  const char *front;      /* address of the daemon that received it */
  const char *owner;      /* address of the partition's owner; NULL: not known */
  const GPtrArray *asked; /* addresses of daemons that were asked to store it */
  uint32_t partition;
  uint64_t since_ms; /* when it was received */
} FbAppendProxyRecord;

typedef enum
{
  FB_APPEND_ROUTE_LOCAL,  /* append from this daemon */
  FB_APPEND_ROUTE_PROXY,  /* append through another daemon */
  FB_APPEND_ROUTE_GIVE_UP /* no further attempt */
} FbAppendProxyStep;

typedef struct
{
  FbAppendProxyStep step;
  const char *address; /* of the other daemon for FB_APPEND_ROUTE_PROXY, borrowed; else NULL */
  uint32_t timeout_ms; /* time limit of its reply */
} FbAppendRoute;

/* TRUE when STORE_HEALTH of a daemon shows that records should not be stored from there. */
gboolean fb_append_proxy_store_is_degraded (const FbStoreHealth *store_health, uint64_t now_ms);
/* Returns: the next step for RECORD, initially or after the daemon asked last has not stored it.
 * STORE_HEALTH: of the daemon that received the record.  MEMBERS: of FbDaemon. */
FbAppendRoute fb_append_proxy_route (const FbAppendProxyRecord *record,
                                     const FbStoreHealth *store_health, const GPtrArray *members,
                                     uint64_t now_ms);

/* Chooses the daemon that stores a record of PARTITION received by the daemon at FRONT: with many
 * daemons, one of four on which all agree; otherwise the owner or, if that is not known, one on
 * which all agree.  MEMBERS: of FbDaemon.  OWNER: address of the partition's owner; NULL: not
 * known.  ASKED: addresses that are not to be chosen again.
 *
 * Returns: (nullable): its address, borrowed; NULL when there is none. */
const char *fb_append_proxy_for (const GPtrArray *members, const char *owner, const char *front,
                                 const GPtrArray *asked, uint32_t partition, uint64_t now_ms);
/* TRUE when records go through other daemons at all times, not only while the store is slow. */
gboolean fb_append_proxy_always (const GPtrArray *members);
