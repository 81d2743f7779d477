/* Times of this daemon's joins of the owners' group: a daemon whose join is answered later than its
 * time to live may have lost its partitions meanwhile.  No I/O, clock or thread. */
#pragma once

#include <glib.h>
#include <stdint.h>

/* All zero in a new one. */
typedef struct
{
  uint64_t sent_ms;     /* when the last join was sent */
  uint64_t answered_ms; /* when the last answer came; 0: none since it joined the group */
  uint32_t gap_ms;      /* time between the last two answers */
} FbJoinWatch;

void fb_join_watch_sent (FbJoinWatch *self, uint64_t now_ms);
/* To be called when the last join was answered.
 * Returns: TRUE when more than TTL_MS have passed since the previous answer. */
gboolean fb_join_watch_answered (FbJoinWatch *self, uint32_t ttl_ms, uint64_t now_ms);
/* To be called when this daemon left the group itself: its next answer does not count as late. */
void fb_join_watch_left (FbJoinWatch *self);
