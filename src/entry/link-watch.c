#include "link-watch.h"

/* Above this utilization, bursts are queued for longer than a membership renewal may be delayed. */
#define BUSY_PERCENT 50

struct _FbLinkWatch
{
  uint32_t link_kbit_s;
  uint64_t turn_ms;     /* time of the last sample */
  FbTrafficTotals last; /* totals at that time */
};

FbLinkWatch *
fb_link_watch_new (uint32_t link_kbit_s, uint64_t now_ms)
{
  FbLinkWatch *self = g_new0 (FbLinkWatch, 1);
  self->link_kbit_s = link_kbit_s;
  self->turn_ms = now_ms;
  return self;
}

void
fb_link_watch_free (FbLinkWatch *self)
{
  g_free (self);
}

static uint32_t
rate_kbit_s (uint64_t bytes, uint64_t span_ms)
{
  return (uint32_t) MIN (bytes * 8 / span_ms, G_MAXUINT32);
}

static FbLinkUse
use_of (const uint64_t *now_bytes, const uint64_t *last_bytes, uint64_t span_ms)
{
  FbLinkUse use = { 0 };
  uint64_t all_bytes = 0;
  uint64_t most_bytes = 0;
  for (guint i = 0; i < FB_TRAFFIC_N; i++)
    {
      uint64_t bytes = now_bytes[i] - last_bytes[i];
      all_bytes += bytes;
      if (bytes <= most_bytes)
        continue;
      most_bytes = bytes;
      use.most = (FbTraffic) i;
    }
  use.kbit_s = rate_kbit_s (all_bytes, span_ms);
  use.most_kbit_s = rate_kbit_s (most_bytes, span_ms);
  return use;
}

static gboolean
is_busy (const FbLinkWatch *self, const FbLinkUse *use)
{
  return (uint64_t) use->kbit_s * 100 > (uint64_t) self->link_kbit_s * BUSY_PERCENT;
}

gboolean
fb_link_watch_turn (FbLinkWatch *self, const FbTrafficTotals *totals, uint64_t now_ms,
                    FbLinkUse *sent, FbLinkUse *received)
{
  if (now_ms <= self->turn_ms)
    return FALSE;
  uint64_t span_ms = now_ms - self->turn_ms;
  *sent = use_of (totals->sent_bytes, self->last.sent_bytes, span_ms);
  *received = use_of (totals->received_bytes, self->last.received_bytes, span_ms);
  self->turn_ms = now_ms;
  self->last = *totals;
  return self->link_kbit_s > 0 && (is_busy (self, sent) || is_busy (self, received));
}
