/* Measures the intervals between answered joins of the owners' group: a daemon whose join is
 * answered later than its time to live may have lost its partitions meanwhile.  No I/O, clock or
 * thread. */
#pragma once

#include <glib.h>
#include <stdint.h>

/* Initially all zero. */
typedef struct
{
  uint64_t sent_ms;     /* time at which the last join was sent */
  uint64_t answered_ms; /* time of the last answer; 0: none since this daemon joined the group */
  uint32_t gap_ms;      /* time between the last two answers */
} FbJoinMonitor;

void fb_join_monitor_sent (FbJoinMonitor *self, uint64_t now_ms);
/* To be called when the last join was answered.
 * Returns: TRUE when more than TTL_MS have passed since the previous answer. */
gboolean fb_join_monitor_answered (FbJoinMonitor *self, uint32_t ttl_ms, uint64_t now_ms);
/* To be called when this daemon leaves the group on its own: the next answer is then not reported
 * as late. */
void fb_join_monitor_left (FbJoinMonitor *self);
