/* Who is alive, as one daemon sees it, and who should own what.  Pure. */
#pragma once

#include "fb-types.h"

#define FB_MEMBER_HEARTBEAT_MS 1000
#define FB_MEMBER_SUSPECT_MS 3500
#define FB_MEMBER_STABLE_MS 3000

typedef struct _FbMembers FbMembers;

typedef enum
{
  FB_MEMBER_UNHEARD,
  FB_MEMBER_ALIVE,
  FB_MEMBER_LEAVING,
  FB_MEMBER_SUSPECTED
} FbMemberState;

/* SELF is the index of this daemon, added like all others. */
FbMembers *fb_members_new (void);
void fb_members_free (FbMembers *self);
guint fb_members_add (FbMembers *self, const char *name, uint32_t partner, uint32_t domain);
void fb_members_set_self (FbMembers *self, guint index, uint64_t incarnation);

guint fb_members_count (const FbMembers *self);
/* Returns: the index of NAME, or -1. */
int fb_members_find (const FbMembers *self, const char *name);
const char *fb_members_name (const FbMembers *self, guint index);
FbMemberState fb_members_state (const FbMembers *self, guint index);
uint64_t fb_members_incarnation (const FbMembers *self, guint index);

/* A heartbeat arrived.  Returns: TRUE when it begins a new incarnation. */
gboolean fb_members_note_heartbeat (FbMembers *self, uint64_t now_ms, guint index,
                                    uint64_t incarnation, gboolean leaving);
/* Suspects who has been silent. */
void fb_members_tick (FbMembers *self, uint64_t now_ms);

/* Returns: the member that should own SHARD of PARTNER: the highest random
 * weight among its members that are alive and not leaving, or -1.  WITHOUT is
 * left out; G_MAXUINT leaves out nobody. */
int fb_members_preferred_owner (const FbMembers *self, uint32_t shard, uint32_t partner,
                                guint without);

/* Returns: TRUE when member INDEX has been alive for the stable time, so that a
 * shard moved to it will not move back at once. */
gboolean fb_members_is_stable (const FbMembers *self, uint64_t now_ms, guint index);
