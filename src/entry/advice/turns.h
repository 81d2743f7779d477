/* Fair sharing of a resource: of the users that wait, the one that has used it for the least time
 * goes first.  No I/O, clock or thread. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbTurns FbTurns;

FbTurns *fb_turns_new (void);
void fb_turns_free (FbTurns *self);
/* To be called each time that USER requests the resource.
 * Returns: FALSE while a user that has used less is waiting. */
gboolean fb_turns_is_next (FbTurns *self, uint32_t user, uint64_t now_ms);
/* Records that USER was served with something that takes TOOK_MS. */
void fb_turns_went (FbTurns *self, uint32_t user, uint32_t took_ms);
/* Records that USER has to wait; it will ask again soon. */
void fb_turns_waits (FbTurns *self, uint32_t user, uint64_t now_ms);
