/* Bytes of headers and bodies that the daemon sends and receives, by purpose, exported at /metrics.
 * Requests of callers are not included.
 *
 * The list is fixed at build time (traffic.def). Values are atomic: any thread may add. */
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

/* Bytes since the start of the process, indexed by FbTraffic. */
typedef struct
{
  uint64_t sent_bytes[FB_TRAFFIC_N];
  uint64_t received_bytes[FB_TRAFFIC_N];
} FbTrafficTotals;

void fb_traffic_add (FbTraffic kind, uint64_t sent_bytes, uint64_t received_bytes);
void fb_traffic_totals (FbTrafficTotals *totals);
const char *fb_traffic_name (FbTraffic kind);
/* Appends both counters of each kind in the text exposition format. */
void fb_traffic_render (GString *out);
