/* Renews this daemon's memberships in the store's groups while its main loop is busy.
 *
 * Failure: a take-over keeps the main loop busy for longer than the time to live of a member;
 * the store deals the pool to the next daemon before this one has settled it, the same happens
 * there, and the pool never works again.  It shows as two daemons that take a pool from each
 * other every few seconds, with leases that lapse and callers of one service that get nothing.
 * Guard: a task of its own repeats the last renewal once the main loop is overdue, so that
 * work, however much, is not taken for a death.  A daemon that dies or stands still takes this
 * task with it; a main loop that hangs is given up after a bound. */
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

/* Starts the task. */
FbKeepalive *fb_keepalive_new (void);
/* Ends the task; a call that is open is forgotten. */
void fb_keepalive_free (FbKeepalive *self);

/* The main loop sends CALL (borrowed, idempotent), which renews WHICH for TTL_MS.  OK_SENT_MS: when
 * the last of its renewals that was answered had been sent; 0: none was. */
void fb_keepalive_renewing (FbKeepalive *self, FbMembership which, const FbHttpCall *call,
                            uint32_t ttl_ms, uint64_t ok_sent_ms);
/* WHICH is given up: nothing more is sent for it.  A call that is open may still arrive. */
void fb_keepalive_cancel (FbKeepalive *self, FbMembership which);
/* Returns: when the last repeat was sent up to which WHICH was never without a renewal for its time
 * to live; 0: none was. */
uint64_t fb_keepalive_renewed_ms (const FbKeepalive *self, FbMembership which);
