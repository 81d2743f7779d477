/* Histograms of times, shown at /metrics beside the counters.
 *
 * The list is fixed at build time (histograms.def).  Buckets are the same for all:
 * callers' patience is 3 s, most steps take some milliseconds.  Any task may add. */
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

/* Counts one time of MS. */
void fb_histogram_add (FbHistogram histogram, uint64_t ms);
/* Appends all histograms to OUT as text exposition lines. */
void fb_histogram_render (GString *out);
