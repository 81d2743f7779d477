/* Renews this daemon's memberships in the store's groups while its main loop is busy.
 *
 * A separate thread repeats the last renewal once the main loop is overdue, so that a busy daemon
 * is not mistaken for a crashed one.  Without it, when a takeover keeps the main loop busy for
 * longer than the time to live, the store assigns the pool to the next daemon, where the same
 * happens: two daemons take a pool from each other every few seconds, leases expire, callers of
 * that service get no results, and the pool does not recover.  When the process crashes or is
 * suspended, the thread stops too, and it stops renewing when the main loop has hung for
 * HANG_TIMEOUT_MS. */
#pragma once

#include "src/net/http-client.h"

#include <stdint.h>

typedef struct _FbKeepalive FbKeepalive;

typedef enum
{
  FB_MEMBERSHIP_OWNERS,
  FB_MEMBERSHIP_DAEMONS,
  FB_MEMBERSHIP_N
} FbMembership;

/* Starts the keepalive thread. */
FbKeepalive *fb_keepalive_new (void);
/* Stops the thread; an open call is cancelled. */
void fb_keepalive_free (FbKeepalive *self);

/* To be called when the main loop sends CALL (borrowed, idempotent), which renews WHICH for TTL_MS.
 * LAST_RENEWAL_SENT_MS: time at which its last answered renewal was sent; 0: none was answered.
 * GENERATION: of the group, as CALL names it; answers of another one extend nothing. */
void fb_keepalive_set_renewal (FbKeepalive *self, FbMembership which, const FbHttpCall *call,
                               uint32_t ttl_ms, uint64_t last_renewal_sent_ms, uint64_t generation);
/* Stops renewing WHICH.  A call that is open may still reach the store. */
void fb_keepalive_cancel (FbKeepalive *self, FbMembership which);
/* Returns: the time at which the last repeat was sent in an unbroken sequence of renewals of WHICH,
 * each within the time to live of the previous one; 0: there is none. */
uint64_t fb_keepalive_renewed_ms (const FbKeepalive *self, FbMembership which);
