/* Counters of the process, exported at /metrics in the Prometheus text format.
 *
 * The list is fixed at build time (counters.def), so that the documentation of the counters can be
 * checked against it. Values are atomic: any thread may add. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef enum
{
#define FB_COUNTER(symbol, name, help) FB_COUNTER_##symbol,
#include "counters.def"
#undef FB_COUNTER
  FB_COUNTER_N
} FbCounter;

void fb_counter_add (FbCounter counter, uint64_t amount);
uint64_t fb_counter_get (FbCounter counter);
/* Returns: (transfer full): all counters in the text exposition format. */
char *fb_counter_render (void);
