/* Chooses the daemon that forwards a request to the advice service, or makes the request wait.
 *
 * The service handles one call at a time for each calling daemon, and a request takes between 10 ms
 * and 1 s.  Any idle daemon can take any request, but long requests leave as many daemons idle as
 * shorter ones have recently kept busy.  This serves a load of short tasks whose callers allow half
 * a second together with gangs whose request takes most of a second.  No I/O, clock or thread. */
#pragma once

#include <glib.h>
#include <stdint.h>

/* Minimum expected duration of a long request; shorter requests are short.  All owners have to use
 * the same value.  It is half of the 250 ms that the strictest callers allow, so that a request for
 * a hundred workers of such a queue (68 ms) is short. */
#define FB_ADVICE_LONG_MS 128

typedef struct _FbAdviceBalancer FbAdviceBalancer;

FbAdviceBalancer *fb_advice_balancer_new (void);
void fb_advice_balancer_free (FbAdviceBalancer *self);

/* Returns: how many of DAEMONS_N daemons a request of EXPECTED_MS has to leave idle for shorter
 * requests. */
guint fb_advice_balancer_reserved (FbAdviceBalancer *self, guint daemons_n, uint32_t expected_ms,
                                   uint64_t now_ms);
/* DAEMONS: addresses, of const char.
 * Returns: (nullable): the daemon to use, borrowed from DAEMONS; NULL when the request has to
 * wait. */
const char *fb_advice_balancer_choose (FbAdviceBalancer *self, const GPtrArray *daemons,
                                       uint32_t expected_ms, uint64_t now_ms);
/* Returns: how many of DAEMONS have no open request and may take one of EXPECTED_MS. */
guint fb_advice_balancer_idle_n (FbAdviceBalancer *self, const GPtrArray *daemons,
                                 uint32_t expected_ms, uint64_t now_ms);
/* Records that a request of EXPECTED_MS was sent to DAEMON, as fb_advice_balancer_choose() chose.
 */
void fb_advice_balancer_began (FbAdviceBalancer *self, const char *daemon, uint32_t expected_ms,
                               uint64_t now_ms);
/* Records that a request at DAEMON was answered or failed. */
void fb_advice_balancer_ended (FbAdviceBalancer *self, const char *daemon);
