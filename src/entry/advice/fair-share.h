/* Fair sharing of a resource: of the waiting users, the one that has used it for the shortest time
 * is served first.  No I/O, clock or thread. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbFairShare FbFairShare;

FbFairShare *fb_fair_share_new (void);
void fb_fair_share_free (FbFairShare *self);
/* To be called each time that USER requests the resource.
 * Returns: FALSE while a user that has used less is waiting. */
gboolean fb_fair_share_is_next (FbFairShare *self, uint32_t user, uint64_t now_ms);
/* Records that USER was served, which takes TOOK_MS. */
void fb_fair_share_served (FbFairShare *self, uint32_t user, uint32_t took_ms);
/* Records that USER has to wait; it is expected to request the resource again soon. */
void fb_fair_share_wait (FbFairShare *self, uint32_t user, uint64_t now_ms);
