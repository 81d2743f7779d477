/* When this daemon's joins of the group were sent and answered: one whose join is answered later
 * than its time to live may have been dealt out meanwhile.  No I/O, clock or thread. */
#pragma once

#include <glib.h>
#include <stdint.h>

/* Empty: all zero. */
typedef struct
{
  uint64_t sent_ms;     /* the last one */
  uint64_t answered_ms; /* when the last answer came; 0: none since it entered */
  uint32_t gap_ms;      /* between the last two answers */
} FbJoinWatch;

void fb_join_watch_sent (FbJoinWatch *self, uint64_t now_ms);
/* The last join was answered.
 * Returns: TRUE when that was more than TTL_MS after the answer before. */
gboolean fb_join_watch_answered (FbJoinWatch *self, uint32_t ttl_ms, uint64_t now_ms);
/* It left the group by itself: its next answer is not late. */
void fb_join_watch_left (FbJoinWatch *self);
