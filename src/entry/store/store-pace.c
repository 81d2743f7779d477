#include "store-pace.h"

/* Appends take 10 to 20 ms; above this the store counts as slow. */
#define SLOW_APPEND_MS 50
/* Renewals take some 10 ms; a weak daemon's loop adds up to 50 ms when it is busy, and a store that
 * is 50 times slower takes 200 ms. */
#define SLOW_RENEWAL_MS 120
/* After an append that was not taken another way goes first for so long: the store may turn just
 * this daemon away, which lasts some seconds. */
#define FAILED_FOR_MS 1000

void
fb_store_pace_appended (FbStorePace *self, gboolean taken, gboolean here, uint32_t took_ms,
                        uint64_t now_ms)
{
  if (taken)
    self->append_ms = took_ms;
  if (here)
    self->failed_until_ms = taken ? 0 : now_ms + FAILED_FOR_MS;
}

void
fb_store_pace_renewed (FbStorePace *self, uint32_t took_ms)
{
  self->renewal_ms = took_ms;
}

gboolean
fb_store_pace_is_slow (const FbStorePace *self, uint64_t now_ms)
{
  return self->append_ms >= SLOW_APPEND_MS || self->renewal_ms >= SLOW_RENEWAL_MS
         || now_ms < self->failed_until_ms;
}
