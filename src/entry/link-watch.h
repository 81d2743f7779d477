/* How much of its network link a daemon uses, and for what.  No I/O, clock or thread.
 *
 * Failure: the link of an owner is full, and the renewals of its membership wait behind what it
 * sends to workers; it shows as a pool that goes from daemon to daemon while the processors are
 * idle.  This tells it apart from a lack of processor. */
#pragma once

#include "fb-traffic.h"

typedef struct _FbLinkWatch FbLinkWatch;

/* The kind that took most in one direction, and all kinds. */
typedef struct
{
  uint32_t kbit_s;
  FbTraffic most;
  uint32_t most_kbit_s;
} FbLinkUse;

/* LINK_KBIT_S: what the link carries in each direction; 0: not known, and nothing is told. */
FbLinkWatch *fb_link_watch_new (uint32_t link_kbit_s, uint64_t now_ms);
void fb_link_watch_free (FbLinkWatch *self);
/* TOTALS as of NOW_MS, called each few seconds.
 * Returns: TRUE when more than half of the link was used in either direction since the last call;
 * SENT and RECEIVED tell for what. */
gboolean fb_link_watch_turn (FbLinkWatch *self, const FbTrafficTotals *totals, uint64_t now_ms,
                             FbLinkUse *sent, FbLinkUse *received);
