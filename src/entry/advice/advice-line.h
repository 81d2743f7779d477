/* Queue of this daemon's calls to the advice service, which decides their order.
 *
 * The service handles the calls of one daemon one after the other, and every owner of a pool
 * spreads its requests over all daemons, so requests of several owners wait in the same queue. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbAdviceLine FbAdviceLine;

FbAdviceLine *fb_advice_line_new (void);
/* Waiting requests are dropped without a callback. */
void fb_advice_line_free (FbAdviceLine *self);
/* Adds QUESTION (borrowed), which arrived at NOW_MS; the service is expected to take EXPECTED_MS to
 * decide on it. */
void fb_advice_line_wait (FbAdviceLine *self, gpointer question, uint32_t expected_ms,
                          uint64_t now_ms);
/* Returns: (nullable): the request to send to the service now; NULL when none may be sent. */
gpointer fb_advice_line_next (FbAdviceLine *self);
/* To be called when the call with QUESTION has ended. */
void fb_advice_line_ended (FbAdviceLine *self, gconstpointer question);
