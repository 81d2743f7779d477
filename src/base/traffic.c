#include "fb-traffic.h"

#include <stdatomic.h>

static _Atomic uint64_t sent_bytes[FB_TRAFFIC_N];
static _Atomic uint64_t received_bytes[FB_TRAFFIC_N];

static const char *const names[FB_TRAFFIC_N] = {
#define FB_TRAFFIC(symbol, name, help) name,
#include "traffic.def"
#undef FB_TRAFFIC
};

void
fb_traffic_add (FbTraffic kind, uint64_t sent, uint64_t received)
{
  atomic_fetch_add_explicit (&sent_bytes[kind], sent, memory_order_relaxed);
  atomic_fetch_add_explicit (&received_bytes[kind], received, memory_order_relaxed);
}

void
fb_traffic_totals (FbTrafficTotals *totals)
{
  for (guint i = 0; i < FB_TRAFFIC_N; i++)
    {
      totals->sent_bytes[i] = atomic_load_explicit (&sent_bytes[i], memory_order_relaxed);
      totals->received_bytes[i] = atomic_load_explicit (&received_bytes[i], memory_order_relaxed);
    }
}

const char *
fb_traffic_name (FbTraffic kind)
{
  return names[kind];
}

static void
render (GString *out, const char *name, const char *help, const uint64_t *bytes)
{
  g_string_append_printf (out, "# HELP %s %s\n# TYPE %s counter\n", name, help, name);
  for (guint i = 0; i < FB_TRAFFIC_N; i++)
    g_string_append_printf (out, "%s{kind=\"%s\"} %" G_GUINT64_FORMAT "\n", name, names[i],
                            bytes[i]);
}

void
fb_traffic_render (GString *out)
{
  FbTrafficTotals totals;
  fb_traffic_totals (&totals);
  render (out, "flamingobarrow_sent_bytes_total", "Bytes sent, by what they are for.",
          totals.sent_bytes);
  render (out, "flamingobarrow_received_bytes_total", "Bytes received, by what they are for.",
          totals.received_bytes);
}
