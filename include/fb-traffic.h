/* Bytes of bodies and headers that the daemon sends and receives, by what they are for, shown at
 * /metrics.  Calls of callers are not among them.
 *
 * The list is fixed at build time (traffic.def).  Values are atomic: any task may add. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef enum
{
#define FB_TRAFFIC(symbol, name, help) FB_TRAFFIC_##symbol,
#include "traffic.def"
#undef FB_TRAFFIC
  FB_TRAFFIC_N
} FbTraffic;

/* Bytes since the start of the process, by FbTraffic. */
typedef struct
{
  uint64_t sent_bytes[FB_TRAFFIC_N];
  uint64_t received_bytes[FB_TRAFFIC_N];
} FbTrafficTotals;

void fb_traffic_add (FbTraffic kind, uint64_t sent_bytes, uint64_t received_bytes);
void fb_traffic_totals (FbTrafficTotals *totals);
const char *fb_traffic_name (FbTraffic kind);
/* Appends both counters of each kind as text exposition lines. */
void fb_traffic_render (GString *out);
