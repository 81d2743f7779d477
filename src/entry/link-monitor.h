/* Measures the utilization of a daemon's network link by kind of traffic.  No I/O, clock or thread.
 *
 * When an owner's link is saturated, renewals of its membership queue behind orders to workers, and
 * its pool moves from daemon to daemon while the processors are idle.  The report distinguishes
 * this from a lack of processor time. */
#pragma once

#include "fb-traffic.h"

typedef struct _FbLinkMonitor FbLinkMonitor;

/* Utilization of one direction. */
typedef struct
{
  uint32_t kbit_s;         /* of all kinds of traffic */
  FbTraffic busiest;       /* the kind with the highest rate */
  uint32_t busiest_kbit_s; /* rate of that kind */
} FbLinkUtilization;

/* LINK_KBIT_S: capacity of the link in each direction; 0: not known, and nothing is reported. */
FbLinkMonitor *fb_link_monitor_new (uint32_t link_kbit_s, uint64_t now_ms);
void fb_link_monitor_free (FbLinkMonitor *self);
/* To be called every few seconds with TOTALS as of NOW_MS.
 * Returns: TRUE when more than half of the link's capacity was used in either direction since the
 * last call; SENT and RECEIVED are set in any case unless no time has passed. */
gboolean fb_link_monitor_sample (FbLinkMonitor *self, const FbTrafficTotals *totals,
                                 uint64_t now_ms, FbLinkUtilization *sent,
                                 FbLinkUtilization *received);
