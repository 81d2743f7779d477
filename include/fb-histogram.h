/* Histograms of durations, exported at /metrics beside the counters.
 *
 * The list is fixed at build time (histograms.def). All have the same buckets: callers wait up to 3
 * s, and most steps take a few milliseconds. Any thread may add. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef enum
{
#define FB_HISTOGRAM(symbol, name, help) FB_HISTOGRAM_##symbol,
#include "histograms.def"
#undef FB_HISTOGRAM
  FB_HISTOGRAM_N
} FbHistogram;

/* Adds one duration of MS milliseconds. */
void fb_histogram_add (FbHistogram histogram, uint64_t ms);
/* Appends all histograms to OUT in the text exposition format. */
void fb_histogram_render (GString *out);
