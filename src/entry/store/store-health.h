/* Latency and failures of the store, as measured in this daemon's own calls.  No I/O, clock or
 * thread.
 *
 * Membership renewals and failed appends are included, because successful appends alone are not
 * sufficient: while the store is slow, a partition takes 100 ms and more for one append, the
 * appends of all daemons queue up, and the first ones of each daemon time out in that queue.  With
 * successful appends alone, nine of ten callers got no answer for as long as the store was slow (33
 * daemons, 50 jobs a second). */
#pragma once

#include <glib.h>
#include <stdint.h>

/* Initially all zero. */
typedef struct
{
  uint32_t append_latency_ms;  /* latency of the last stored append, sent by any daemon */
  uint32_t renewal_latency_ms; /* latency of the last membership renewal */
  uint64_t failed_until_ms;    /* time until which a failed call of this daemon is considered
                                * recent */
} FbStoreHealth;

/* To be called when an append has ended after TOOK_MS.  STORED: it was stored.  LOCALLY: it was
 * sent by this daemon rather than by a proxy. */
void fb_store_health_appended (FbStoreHealth *self, gboolean stored, gboolean locally,
                               uint32_t took_ms, uint64_t now_ms);
/* To be called when the store has answered a membership renewal after TOOK_MS. */
void fb_store_health_renewed (FbStoreHealth *self, uint32_t took_ms);
/* To be called when a call from this daemon got no answer. */
void fb_store_health_failed (FbStoreHealth *self, uint64_t now_ms);
/* Returns: TRUE when the latency of the last append or renewal was high. */
gboolean fb_store_health_is_slow (const FbStoreHealth *self);
/* Returns: the timeout of an append, after which it is repeated.
 *
 * While the store is slow, the timeout is nearly the whole time for which callers wait.  An append
 * that has timed out stays in the queue of the partition, and its repeat waits behind it; with a
 * short timeout each batch is sent two or three times, and callers wait for all of them. */
uint32_t fb_store_health_timeout_ms (const FbStoreHealth *self);
/* Returns: TRUE for one second after a failed call. */
gboolean fb_store_health_has_failed (const FbStoreHealth *self, uint64_t now_ms);
