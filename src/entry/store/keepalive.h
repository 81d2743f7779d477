/* Renews this daemon's memberships in the store's groups while its main loop is busy.
 *
 * Failure: a take-over keeps the main loop busy for longer than a member's time to live; the store
 * assigns the pool to the next daemon before this one has finished the take-over, the same happens
 * there, and the pool never works again.  It shows as two daemons that take a pool from each other
 * every few seconds, with leases that expire and callers of one service that get no results.
 * Guard: a separate thread repeats the last renewal once the main loop is overdue, so that a busy
 * daemon is not taken for a dead one.  A process that dies or is suspended stops this thread too,
 * and a main loop that hangs is given up after HANG_MS. */
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
/* Ends the thread; an open call is dropped. */
void fb_keepalive_free (FbKeepalive *self);

/* To be called when the main loop sends CALL (borrowed, idempotent), which renews WHICH for TTL_MS.
 * OK_SENT_MS: when its last answered renewal was sent; 0: none was answered. */
void fb_keepalive_set_renewal (FbKeepalive *self, FbMembership which, const FbHttpCall *call,
                               uint32_t ttl_ms, uint64_t ok_sent_ms);
/* Stops renewing WHICH.  A call that is open may still reach the store. */
void fb_keepalive_cancel (FbKeepalive *self, FbMembership which);
/* Returns: when the last repeat was sent of an unbroken sequence of renewals of WHICH, each within
 * the time to live of the one before; 0: none was. */
uint64_t fb_keepalive_renewed_ms (const FbKeepalive *self, FbMembership which);
