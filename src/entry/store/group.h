/* Membership in the group of owners: the partitions that the store assigns to this daemon, and the
 * owners of the other partitions. */
#pragma once

#include "src/entry/peers/relay.h"

typedef struct _FbGroup FbGroup;

FbGroup *fb_group_new (FbEntryDaemon *entry);
/* Releases all partitions.  DONE is called when the store has answered or the call has failed. */
void fb_group_release_partitions (FbGroup *self, void (*done) (gpointer user), gpointer user);
/* Returns: TRUE while no other daemon can have been assigned this daemon's partitions. */
gboolean fb_group_is_member (const FbGroup *self, uint64_t now_ms);
/* Returns: TRUE while this daemon waits before it joins the owners, and may join at any time. */
gboolean fb_group_is_deferred (const FbGroup *self);
/* Returns: (nullable): the address of the daemon that owns PARTITION, borrowed. */
const char *fb_group_owner_of (const FbGroup *self, uint32_t partition);
/* To be called when the known owner of a partition is found to be outdated: requests the owners, at
 * most every 0.2 s. */
void fb_group_refresh_owners (FbGroup *self);
/* Passes the owners of all partitions to DONE, or FB_REPLY_UNAVAILABLE while the store does not
 * answer this daemon. */
void fb_group_send_owners (const FbGroup *self, FbPeerReplyDone done, gpointer user);
/* Returns: (transfer container): addresses of all daemons that are members or owners. */
GPtrArray *fb_group_daemons (const FbGroup *self);
/* EXCEPT: addresses that are excluded; may be NULL.
 * Returns: (nullable): the address of another daemon, chosen at random; borrowed. */
const char *fb_group_any_peer (const FbGroup *self, GPtrArray *except);
