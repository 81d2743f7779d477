#include "link-monitor.h"

/* Above this utilization, bursts are queued for longer than a membership renewal may be delayed. */
#define BUSY_PERCENT 50

struct _FbLinkMonitor
{
  uint32_t link_kbit_s;
  uint64_t sampled_ms;     /* time of the last sample */
  FbTrafficTotals sampled; /* totals at that time */
};

FbLinkMonitor *
fb_link_monitor_new (uint32_t link_kbit_s, uint64_t now_ms)
{
  FbLinkMonitor *self = g_new0 (FbLinkMonitor, 1);
  self->link_kbit_s = link_kbit_s;
  self->sampled_ms = now_ms;
  return self;
}

void
fb_link_monitor_free (FbLinkMonitor *self)
{
  g_free (self);
}

/* Bits per millisecond are equal to kilobits per second. */
static uint32_t
rate_kbit_s (uint64_t bytes, uint64_t span_ms)
{
  return (uint32_t) MIN (bytes * 8 / span_ms, G_MAXUINT32);
}

static FbLinkUtilization
utilization_of (const uint64_t *now_bytes, const uint64_t *last_bytes, uint64_t span_ms)
{
  FbLinkUtilization utilization = { 0 };
  uint64_t all_bytes = 0;
  uint64_t max_bytes = 0;
  for (guint i = 0; i < FB_TRAFFIC_N; i++)
    {
      uint64_t bytes = now_bytes[i] - last_bytes[i];
      all_bytes += bytes;
      if (bytes <= max_bytes)
        continue;
      max_bytes = bytes;
      utilization.busiest = (FbTraffic) i;
    }
  utilization.kbit_s = rate_kbit_s (all_bytes, span_ms);
  utilization.busiest_kbit_s = rate_kbit_s (max_bytes, span_ms);
  return utilization;
}

static gboolean
is_busy (const FbLinkMonitor *self, const FbLinkUtilization *utilization)
{
  return (uint64_t) utilization->kbit_s * 100 > (uint64_t) self->link_kbit_s * BUSY_PERCENT;
}

gboolean
fb_link_monitor_sample (FbLinkMonitor *self, const FbTrafficTotals *totals, uint64_t now_ms,
                        FbLinkUtilization *sent, FbLinkUtilization *received)
{
  if (now_ms <= self->sampled_ms)
    return FALSE;
  uint64_t span_ms = now_ms - self->sampled_ms;
  *sent = utilization_of (totals->sent_bytes, self->sampled.sent_bytes, span_ms);
  *received = utilization_of (totals->received_bytes, self->sampled.received_bytes, span_ms);
  self->sampled_ms = now_ms;
  self->sampled = *totals;
  return self->link_kbit_s > 0 && (is_busy (self, sent) || is_busy (self, received));
}
