/* Distributes requests for advice over the daemons, and calls the advice service on behalf of any
 * daemon. */
#pragma once

#include "src/entry/peers/relay.h"

typedef struct _FbAdvisor FbAdvisor;

FbAdvisor *fb_advisor_new (FbEntryDaemon *entry);
/* Requests advice on N WORKERS, names of incarnations, for STEP of a pool of PARTITION.
 * EXPECTED_MS: expected duration of the decision.  The answer is passed to fb_owner_advised().
 * Returns: FALSE when no daemon is available for the request, or there is no advice service. */
gboolean fb_advisor_request (FbAdvisor *self, uint32_t partition, const char *step,
                             const char *const *workers, guint n, uint32_t expected_ms);
/* Returns: how many requests of EXPECTED_MS idle daemons could take now. */
guint fb_advisor_idle_n (FbAdvisor *self, uint32_t expected_ms);
/* Calls the advice service from this daemon, after queued requests with an earlier deadline.  DONE
 * is called once. */
void fb_advisor_call (FbEntryDaemon *entry, const fb_advice_request *peer_request,
                      FbPeerReplyDone done, gpointer user);
