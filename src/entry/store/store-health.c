#include "store-health.h"

/* Appends take 10 to 20 ms; above this the store counts as slow. */
#define SLOW_APPEND_MS 50
/* Renewals take some 10 ms; a weak daemon's loop adds up to 50 ms when it is busy, and a store that
 * is 50 times slower takes 200 ms. */
#define SLOW_RENEWAL_MS 120
/* After an append that was not taken another way goes first for so long: the store may turn just
 * this daemon away, which lasts some seconds. */
#define FAILED_FOR_MS 1000

/* The store's answers take some 10 ms, also in a queue of some tens of appends. */
#define PATIENCE_MS 900
/* Callers wait for 2.6 s; the way to them and back is left out. */
#define SLOW_PATIENCE_MS 2400

void
fb_store_health_failed (FbStoreHealth *self, uint64_t now_ms)
{
  self->failed_until_ms = now_ms + FAILED_FOR_MS;
}

void
fb_store_health_appended (FbStoreHealth *self, gboolean taken, gboolean here, uint32_t took_ms,
                          uint64_t now_ms)
{
  if (taken)
    self->append_ms = took_ms;
  if (here && taken)
    self->failed_until_ms = 0;
  else if (here)
    fb_store_health_failed (self, now_ms);
}

void
fb_store_health_renewed (FbStoreHealth *self, uint32_t took_ms)
{
  self->renewal_ms = took_ms;
}

gboolean
fb_store_health_is_slow (const FbStoreHealth *self)
{
  return self->append_ms >= SLOW_APPEND_MS || self->renewal_ms >= SLOW_RENEWAL_MS;
}

gboolean
fb_store_health_has_failed (const FbStoreHealth *self, uint64_t now_ms)
{
  return now_ms < self->failed_until_ms;
}

uint32_t
fb_store_health_timeout_ms (const FbStoreHealth *self)
{
  return fb_store_health_is_slow (self) ? SLOW_PATIENCE_MS : PATIENCE_MS;
}
