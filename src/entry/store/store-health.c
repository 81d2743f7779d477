#include "store-health.h"

/* Latency of an append from which the store is considered slow; appends usually take 10 to 20
 * ms. */
#define SLOW_APPEND_MS 50
/* Latency of a renewal from which the store is considered slow.  Renewals usually take some 10 ms;
 * the main loop of a daemon with little processor time adds up to 50 ms when it is busy, and with a
 * store that is 50 times slower renewals take 200 ms. */
#define SLOW_RENEWAL_MS 120
/* Time for which other daemons are preferred after a failed append: the store may reject only this
 * daemon, which lasts some seconds. */
#define FAILURE_AGE_MS 1000

/* Timeout of an append.  The store answers within some 10 ms, also with some tens of appends
 * queued. */
#define TIMEOUT_MS 900
/* Timeout of an append while the store is slow: the 2.6 s for which callers wait, less the network
 * delay. */
#define SLOW_TIMEOUT_MS 2400

void
fb_store_health_failed (FbStoreHealth *self, uint64_t now_ms)
{
  self->failed_until_ms = now_ms + FAILURE_AGE_MS;
}

void
fb_store_health_appended (FbStoreHealth *self, gboolean stored, gboolean locally, uint32_t took_ms,
                          uint64_t now_ms)
{
  if (stored)
    self->append_latency_ms = took_ms;
  if (locally && stored)
    self->failed_until_ms = 0;
  else if (locally)
    fb_store_health_failed (self, now_ms);
}

void
fb_store_health_renewed (FbStoreHealth *self, uint32_t took_ms)
{
  self->renewal_latency_ms = took_ms;
}

gboolean
fb_store_health_is_slow (const FbStoreHealth *self)
{
  return self->append_latency_ms >= SLOW_APPEND_MS || self->renewal_latency_ms >= SLOW_RENEWAL_MS;
}

gboolean
fb_store_health_has_failed (const FbStoreHealth *self, uint64_t now_ms)
{
  return now_ms < self->failed_until_ms;
}

uint32_t
fb_store_health_timeout_ms (const FbStoreHealth *self)
{
  return fb_store_health_is_slow (self) ? SLOW_TIMEOUT_MS : TIMEOUT_MS;
}
