#include "fb-histogram.h"

#include <stdatomic.h>

/* Upper bounds in ms; the last bucket has none. */
static const uint64_t bounds_ms[] = { 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000 };

#define BUCKET_N (G_N_ELEMENTS (bounds_ms) + 1)

static _Atomic uint64_t counts[FB_HISTOGRAM_N][BUCKET_N];
static _Atomic uint64_t sums_ms[FB_HISTOGRAM_N];

static const struct
{
  const char *name;
  const char *help;
} descriptions[FB_HISTOGRAM_N] = {
#define FB_HISTOGRAM(symbol, name, help) { name, help },
#include "histograms.def"
#undef FB_HISTOGRAM
};

void
fb_histogram_add (FbHistogram histogram, uint64_t ms)
{
  guint bucket = 0;
  while (bucket < G_N_ELEMENTS (bounds_ms) && ms > bounds_ms[bucket])
    bucket++;
  atomic_fetch_add_explicit (&counts[histogram][bucket], 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&sums_ms[histogram], ms, memory_order_relaxed);
}

static void
render_one (GString *out, guint i)
{
  const char *name = descriptions[i].name;
  uint64_t total = 0;
  g_string_append_printf (out, "# HELP %s %s\n# TYPE %s histogram\n", name, descriptions[i].help,
                          name);
  for (guint b = 0; b < G_N_ELEMENTS (bounds_ms); b++)
    {
      total += counts[i][b];
      g_string_append_printf (out,
                              "%s_bucket{le=\"%" G_GUINT64_FORMAT "\"} %" G_GUINT64_FORMAT "\n",
                              name, bounds_ms[b], total);
    }
  total += counts[i][BUCKET_N - 1];
  g_string_append_printf (out, "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n", name, total);
  g_string_append_printf (out, "%s_sum %" G_GUINT64_FORMAT "\n%s_count %" G_GUINT64_FORMAT "\n",
                          name, sums_ms[i], name, total);
}

void
fb_histogram_render (GString *out)
{
  for (guint i = 0; i < FB_HISTOGRAM_N; i++)
    render_one (out, i);
}
