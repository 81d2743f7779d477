/* Whose turn it is among users of something that is scarce: of those that wait, the one that
 * has used the least time.  No I/O, clock or thread. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbTurns FbTurns;

FbTurns *fb_turns_new (void);
void fb_turns_free (FbTurns *self);
/* To be asked each time that USER wants something.
 * Returns: FALSE while another waits that has used less. */
gboolean fb_turns_is_next (FbTurns *self, uint32_t user, uint64_t now_ms);
/* USER got what takes TOOK_MS. */
void fb_turns_went (FbTurns *self, uint32_t user, uint32_t took_ms);
/* USER got nothing, and will ask again soon. */
void fb_turns_waits (FbTurns *self, uint32_t user, uint64_t now_ms);
