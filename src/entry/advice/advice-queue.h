/* The questions with which this daemon calls the advice service, and their order.
 *
 * The service handles the calls of one daemon one after the other, and every owner of a pool
 * spreads its questions over all daemons, so questions of several owners meet here. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbAdviceLine FbAdviceLine;

FbAdviceLine *fb_advice_line_new (void);
/* What waits is forgotten. */
void fb_advice_line_free (FbAdviceLine *self);
/* QUESTION (borrowed) waits from NOW_MS on; its decision takes EXPECTED_MS. */
void fb_advice_line_wait (FbAdviceLine *self, gpointer question, uint32_t expected_ms,
                          uint64_t now_ms);
/* Returns: (nullable): the question to call the service with now; NULL: none may go. */
gpointer fb_advice_line_next (FbAdviceLine *self);
/* The call with QUESTION has ended. */
void fb_advice_line_ended (FbAdviceLine *self, gconstpointer question);
