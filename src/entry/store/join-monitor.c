#include "join-monitor.h"

void
fb_join_monitor_sent (FbJoinMonitor *self, uint64_t now_ms)
{
  self->sent_ms = now_ms;
}

gboolean
fb_join_monitor_answered (FbJoinMonitor *self, uint32_t ttl_ms, uint64_t now_ms)
{
  gboolean late = self->answered_ms != 0 && now_ms > self->answered_ms + ttl_ms;
  self->gap_ms = self->answered_ms != 0 ? (uint32_t) (now_ms - self->answered_ms) : 0;
  self->answered_ms = now_ms;
  return late;
}

void
fb_join_monitor_left (FbJoinMonitor *self)
{
  self->answered_ms = 0;
  self->gap_ms = 0;
}
