/* Chooses the daemons through which others append their callers' records to the store.  No I/O,
 * clock or thread.
 *
 * A partition of the store processes one append after the other, each in 100 ms and more while the
 * store is slow.  With few daemons each one appends its own records, and all append through the
 * owner once the store is known to be slow.
 *
 * With many daemons, a few append for all at all times, so that at most four appends queue at the
 * partition.  When each of 147 daemons appended its own records, forty did so before they detected
 * that the store was slow; the queue then exceeded the time for which callers wait, and refused
 * records were sent again by other daemons. 392 of 619 callers within six seconds got no answer. */
#pragma once

#include "src/entry/store/daemons.h"
#include "src/entry/store/store-health.h"

/* A caller's record; all pointers are borrowed. */
typedef struct
{
  const char *receiver;   /* address of the daemon that received the record */
  const char *owner;      /* address of the partition's owner; NULL: not known */
  const GPtrArray *tried; /* addresses of daemons that have been tried as proxies */
  uint32_t partition;
  uint64_t received_ms; /* time at which the record was received */
} FbAppendProxyRecord;

typedef enum
{
  FB_APPEND_ROUTE_LOCAL,  /* append from this daemon */
  FB_APPEND_ROUTE_PROXY,  /* append through another daemon */
  FB_APPEND_ROUTE_GIVE_UP /* no further attempt */
} FbAppendStep;

typedef struct
{
  FbAppendStep step;
  const char *address; /* of the other daemon for FB_APPEND_ROUTE_PROXY, borrowed; else NULL */
  uint32_t timeout_ms; /* timeout of the call to it */
} FbAppendRoute;

/* Returns: TRUE when a daemon with STORE_HEALTH should not append records itself. */
gboolean fb_append_proxy_store_is_degraded (const FbStoreHealth *store_health, uint64_t now_ms);
/* Returns: the next step for RECORD, initially or after the last proxy has failed.  STORE_HEALTH:
 * of the daemon that received the record.  MEMBERS: of FbDaemon. */
FbAppendRoute fb_append_proxy_route (const FbAppendProxyRecord *record,
                                     const FbStoreHealth *store_health, const GPtrArray *members,
                                     uint64_t now_ms);

/* Chooses the daemon that appends a record of PARTITION received by the daemon at RECEIVER: with
 * many daemons, one of four, chosen alike by all daemons; otherwise the owner or, if it is not
 * known, a daemon that is chosen alike by all.  MEMBERS: of FbDaemon.  OWNER: address of the
 * partition's owner; NULL: not known.  TRIED: addresses that are excluded.
 *
 * Returns: (nullable): the address of the daemon, borrowed; NULL when there is none. */
const char *fb_append_proxy_choose (const GPtrArray *members, const char *owner,
                                    const char *receiver, const GPtrArray *tried,
                                    uint32_t partition, uint64_t now_ms);
/* Returns: TRUE when a proxy that has not stored a record should not be used for a while.  REACHED:
 * the record was sent to it.
 *
 * A proxy that was reached may wait for a store that has just become slow.  When each daemon then
 * went on to other proxies, a dozen daemons appended, each append waited for all others, and no
 * record was stored within the time for which callers wait, also seconds after the store had
 * recovered. */
gboolean fb_append_proxy_is_at_fault (gboolean reached);
/* Returns: TRUE when records are appended through proxies at all times, not only while the store is
 * slow. */
gboolean fb_append_proxy_is_always_used (const GPtrArray *members);
