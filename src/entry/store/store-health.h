/* Whether the store is slow to take records, as this daemon knows from its own calls.  No I/O,
 * clock or thread.
 *
 * Failure: while the store is slow a partition takes one append in 100 ms and more, and those of
 * all daemons queue up; a daemon that learns of it only from an append that was taken never learns,
 * as its first ones are given up in that queue.  It shows as nine of ten callers without an answer
 * for as long as the store is slow (33 daemons, 50 jobs a second).  Guard: renewals tell of it
 * before any caller comes, and an append that was not taken tells as well. */
#pragma once

#include <glib.h>
#include <stdint.h>

/* Empty: all zero. */
typedef struct
{
  uint32_t append_ms; /* how long the last append that was taken took, by whatever way */
  uint32_t renewal_ms;
  uint64_t failed_until_ms; /* the store did not take or answer a call from here lately */
} FbStoreHealth;

/* An append came to its end after TOOK_MS.  HERE: it was this daemon's own, not one through another
 * daemon. */
void fb_store_health_appended (FbStoreHealth *self, gboolean taken, gboolean here, uint32_t took_ms,
                               uint64_t now_ms);
/* The store has answered a renewal of a membership after TOOK_MS. */
void fb_store_health_renewed (FbStoreHealth *self, uint32_t took_ms);
/* A call from here got no answer. */
void fb_store_health_failed (FbStoreHealth *self, uint64_t now_ms);
/* TRUE while the store takes long for each call. */
gboolean fb_store_health_is_slow (const FbStoreHealth *self);
/* Returns: how long an append is waited for before it is sent again.
 *
 * Failure: an append that is given up stays in the queue of the partition, and its repeat waits
 * behind it; while the store is slow each batch is sent two or three times, and callers wait for
 * all of them.  Guard: a slow store is given nearly all the time that callers have. */
uint32_t fb_store_health_timeout_ms (const FbStoreHealth *self);
/* TRUE for a second after a call that failed. */
gboolean fb_store_health_has_failed (const FbStoreHealth *self, uint64_t now_ms);
