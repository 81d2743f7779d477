/* Avoids sending a job's payload more often than needed: the owner of a pool sends it once to each
 * daemon that relays the job's starts, and uses few such daemons while payloads would fill more
 * than a quarter of its network link.  No I/O, clock or thread.
 *
 * Failure: each of a job's 6 to 30 starts carries the whole payload, 1.3 KB, to another daemon; an
 * owner on a link of 2 Mbit/s sends 2.2 Mbit/s of payloads (23 daemons, 120 workers, 160 starts a
 * second).  Renewals of its membership wait in the same link for longer than its time to live, and
 * it shows as a pool that changes its owner each 3 s while the processors are idle.  Guard: a
 * daemon caches the payloads that it was sent, and later starts only name them; while payloads
 * would take more than a quarter of the link, the starts of one job go through few daemons. */
#pragma once

#include "payload-cache.h"

typedef struct _FbPayloadDedup FbPayloadDedup;

/* LINK_KBIT_S: capacity of the link in each direction; 0: not known. */
FbPayloadDedup *fb_payload_dedup_new (uint32_t link_kbit_s);
void fb_payload_dedup_free (FbPayloadDedup *self);
/* To be called for each start with PAYLOAD_BYTES that is to be sent at NOW_MS.
 * Returns: TRUE while the starts of one job should go through few daemons. */
gboolean fb_payload_dedup_link_is_constrained (FbPayloadDedup *self, gsize payload_bytes,
                                               uint64_t now_ms);
/* Returns: (transfer full): key for choosing the daemon that relays the start of TASK, equal for
 * tasks that should use the same one. */
char *fb_payload_dedup_relay_key (const char *task);
/* Returns: TRUE when DAEMON was sent that payload recently; FALSE when it has to be sent, which is
 * recorded. */
gboolean fb_payload_dedup_sent (FbPayloadDedup *self, const char *daemon,
                                const FbPayloadDigest *digest, uint64_t now_ms);
/* Records that DAEMON does not have the payload. */
void fb_payload_dedup_forget (FbPayloadDedup *self, const char *daemon,
                              const FbPayloadDigest *digest);
