/* How late the turns of the daemon's loop come: a loop that is out of processor, or holds on to
 * one thing for long, answers and asks nothing meanwhile.  No I/O, clock or thread. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbLoopWatch FbLoopWatch;

/* What is to be told of late turns. */
typedef struct
{
  uint32_t late_ms; /* the latest of them */
  uint32_t turns_n; /* how many they are */
} FbLoopLate;

/* A turn should come each PERIOD_MS after the one before. */
FbLoopWatch *fb_loop_watch_new (uint32_t period_ms, uint64_t now_ms);
void fb_loop_watch_free (FbLoopWatch *self);
/* A turn has come.
 * Returns: TRUE when *LATE is to be told, at most once a second; no late turn is left out. */
gboolean fb_loop_watch_turn (FbLoopWatch *self, uint64_t now_ms, FbLoopLate *late);
/* The latest of the turns of the last 2 s, with one that should have come by now. */
uint32_t fb_loop_watch_longest_ms (const FbLoopWatch *self, uint64_t now_ms);
