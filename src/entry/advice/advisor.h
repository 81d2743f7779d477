/* Spreads questions for advice over the daemons, and calls the service for all of them. */
#pragma once

#include "src/entry/peers/relay.h"

typedef struct _FbAdvisor FbAdvisor;

FbAdvisor *fb_advisor_new (FbEntry *entry);
/* Returns: FALSE when every daemon has a question open. */
gboolean fb_advisor_ask (FbAdvisor *self, uint32_t partition, const char *step,
                         const char *const *workers, guint n, uint32_t expected_ms);
/* Calls the advice service from here. */
void fb_advisor_call (FbEntry *entry, const fb_advice_request *ask, FbTold done, gpointer user);
