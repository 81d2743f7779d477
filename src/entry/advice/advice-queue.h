/* Queue of this daemon's calls to the advice service, which determines their order.
 *
 * The service handles the calls of one daemon one after the other, and every owner of a pool
 * spreads its requests over all daemons, so that requests of several owners wait in the same
 * queue. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbAdviceQueue FbAdviceQueue;

FbAdviceQueue *fb_advice_queue_new (void);
/* Requests that still wait are borrowed and are not freed. */
void fb_advice_queue_free (FbAdviceQueue *self);
/* Adds REQUEST (borrowed), which arrived at NOW_MS; the service is expected to take EXPECTED_MS to
 * decide on it. */
void fb_advice_queue_add (FbAdviceQueue *self, gpointer request, uint32_t expected_ms,
                          uint64_t now_ms);
/* Returns: (nullable): the request to send to the service now; NULL when none may be sent. */
gpointer fb_advice_queue_next (FbAdviceQueue *self);
/* To be called when the call with REQUEST has ended. */
void fb_advice_queue_ended (FbAdviceQueue *self, gconstpointer request);
