/* Latency and failures of the store, as seen in this daemon's own calls.  No I/O, clock or thread.
 *
 * Failure: while the store is slow a partition takes one append in 100 ms and more, and the appends
 * of all daemons queue up; a daemon that learns of it only from successful appends never learns, as
 * its first ones time out in that queue.  It shows as nine of ten callers without an answer for as
 * long as the store is slow (33 daemons, 50 jobs a second).  Guard: the latency of membership
 * renewals shows it before any caller comes, and a failed append counts as well. */
#pragma once

#include <glib.h>
#include <stdint.h>

/* All zero in a new one. */
typedef struct
{
  uint32_t append_latency_ms;  /* latency of the last stored append, sent by any daemon */
  uint32_t renewal_latency_ms; /* latency of the last membership renewal */
  uint64_t failed_until_ms;    /* a failed call of this daemon counts as recent until then */
} FbStoreHealth;

/* To be called when an append has ended after TOOK_MS.  STORED: it was stored.  LOCALLY: it was
 * sent from this daemon, not through another one. */
void fb_store_health_appended (FbStoreHealth *self, gboolean stored, gboolean locally,
                               uint32_t took_ms, uint64_t now_ms);
/* To be called when the store has answered a membership renewal after TOOK_MS. */
void fb_store_health_renewed (FbStoreHealth *self, uint32_t took_ms);
/* To be called when a call from this daemon got no answer. */
void fb_store_health_failed (FbStoreHealth *self, uint64_t now_ms);
/* TRUE when the last append or renewal took long. */
gboolean fb_store_health_is_slow (const FbStoreHealth *self);
/* Returns: the time limit of an append, after which it is repeated.
 *
 * Failure: an append that timed out stays in the queue of the partition, and its repeat waits
 * behind it; while the store is slow each batch is sent two or three times, and callers wait for
 * all of them.  Guard: a slow store is given nearly all the time that callers allow. */
uint32_t fb_store_health_timeout_ms (const FbStoreHealth *self);
/* TRUE for a second after a failed call. */
gboolean fb_store_health_has_failed (const FbStoreHealth *self, uint64_t now_ms);
