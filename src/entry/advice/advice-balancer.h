/* Which daemon puts a question to the advice service, or whether it has to wait.
 *
 * The service handles one call at a time for each calling daemon, and questions take from
 * a hundredth of a second to a second.  Any free daemon takes any question, but long ones
 * leave as many daemons free as the shorter ones have lately kept busy.  The load that this
 * answers: short work whose callers give it half a second, beside gangs whose question takes
 * most of one.  No I/O, clock or thread. */
#pragma once

#include <glib.h>
#include <stdint.h>

/* Questions that take so long are long, others short.  Any figure does that all owners share; half
 * of the 250 ms that the tightest callers give, so that a question about a hundred workers of such
 * a queue (68 ms) is a short one. */
#define FB_ADVICE_LONG_MS 128

typedef struct _FbAdviceShare FbAdviceShare;

FbAdviceShare *fb_advice_share_new (void);
void fb_advice_share_free (FbAdviceShare *self);

/* How many of DAEMONS_N daemons a question of EXPECTED_MS leaves to shorter ones; 0 when it
 * has to leave none. */
guint fb_advice_share_kept (FbAdviceShare *self, guint daemons_n, uint32_t expected_ms,
                            uint64_t now_ms);
/* DAEMONS: addresses, of const char.
 * Returns: (nullable): borrowed from DAEMONS; NULL: the question has to wait. */
const char *fb_advice_share_daemon (FbAdviceShare *self, const GPtrArray *daemons,
                                    uint32_t expected_ms, uint64_t now_ms);
/* A question of EXPECTED_MS goes to DAEMON, as fb_advice_share_daemon() said. */
void fb_advice_share_began (FbAdviceShare *self, const char *daemon, uint32_t expected_ms,
                            uint64_t now_ms);
/* DAEMON has answered a question, or will not. */
void fb_advice_share_ended (FbAdviceShare *self, const char *daemon);
