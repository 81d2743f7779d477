/* Membership as seen by one daemon: which members are alive, and which one should own a shard.
 * Does no I/O. */
#pragma once

#include "fb-types.h"

#define FB_MEMBER_HEARTBEAT_MS 1000
#define FB_MEMBER_SUSPECT_MS 3500 /* without a heartbeat */
#define FB_MEMBER_STABLE_MS 3000  /* see fb_members_is_stable() */

typedef struct _FbMembers FbMembers;

typedef enum
{
  FB_MEMBER_NO_CONTACT, /* no heartbeat has arrived yet */
  FB_MEMBER_ALIVE,
  FB_MEMBER_LEAVING,  /* shuts down gracefully: gets no shards */
  FB_MEMBER_SUSPECTED /* no heartbeat for FB_MEMBER_SUSPECT_MS */
} FbMemberState;

FbMembers *fb_members_new (void);
void fb_members_free (FbMembers *self);
guint fb_members_add (FbMembers *self, const char *name, uint32_t partner, uint32_t domain);
/* Marks the member at INDEX, added like all others, as this daemon. */
void fb_members_set_self (FbMembers *self, guint index, uint64_t incarnation);

guint fb_members_count (const FbMembers *self);
/* Returns: the index of NAME, or -1 if there is no such member. */
int fb_members_find (const FbMembers *self, const char *name);
const char *fb_members_name (const FbMembers *self, guint index);
FbMemberState fb_members_state (const FbMembers *self, guint index);
uint64_t fb_members_incarnation (const FbMembers *self, guint index);

/* Records a heartbeat. Returns: TRUE if it is the first of a new incarnation. */
gboolean fb_members_record_heartbeat (FbMembers *self, uint64_t now_ms, guint index,
                                      uint64_t incarnation, gboolean leaving);
/* Marks members without a heartbeat for FB_MEMBER_SUSPECT_MS as suspected. */
void fb_members_tick (FbMembers *self, uint64_t now_ms);

/* Returns: the index of the member that should own SHARD of PARTNER: by rendezvous
 * hashing, the one with the highest weight among the members of PARTNER that are alive
 * and not leaving; or -1. The member EXCLUDED is left out; G_MAXUINT leaves out none. */
int fb_members_preferred_owner (const FbMembers *self, uint32_t shard, uint32_t partner,
                                guint excluded);

/* Returns: TRUE if the member INDEX has been alive for FB_MEMBER_STABLE_MS, so that a
 * shard moved to it is unlikely to move back at once. */
gboolean fb_members_is_stable (const FbMembers *self, uint64_t now_ms, guint index);
