/* Deduplicates job payloads: the owner of a pool sends a payload once to each daemon that relays
 * the job's starts, and uses few such daemons while payloads would use more than a quarter of its
 * network link.  No I/O, clock or thread.
 *
 * A daemon caches the payloads that it received, and later starts contain only the digest; while
 * payloads would take more than a quarter of the link, the starts of one job are relayed through
 * few daemons.  If each of a job's 6 to 30 starts contained the payload of 1.3 KB, an owner on a
 * link of 2 Mbit/s would send 2.2 Mbit/s of payloads (23 daemons, 120 workers, 160 starts a
 * second).  Renewals of its membership would be queued for longer than its time to live, and the
 * pool would change its owner every 3 s while the processors are idle. */
#pragma once

#include "payload-cache.h"

typedef struct _FbPayloadDedup FbPayloadDedup;

/* LINK_KBIT_S: capacity of the link in each direction; 0: not known. */
FbPayloadDedup *fb_payload_dedup_new (uint32_t link_kbit_s);
void fb_payload_dedup_free (FbPayloadDedup *self);
/* To be called for each start with a payload of PAYLOAD_BYTES that is to be sent at NOW_MS.
 * Returns: TRUE while the starts of one job should be relayed through few daemons. */
gboolean fb_payload_dedup_link_is_constrained (FbPayloadDedup *self, gsize payload_bytes,
                                               uint64_t now_ms);
/* Returns: (transfer full): key for choosing the daemon that relays the start of TASK; equal for
 * tasks that should be relayed by the same daemon. */
char *fb_payload_dedup_relay_key (const char *task);
/* Checks whether DAEMON was sent the payload recently; if not, records that it is sent now.
 * Returns: FALSE when the payload has to be sent. */
gboolean fb_payload_dedup_check_sent (FbPayloadDedup *self, const char *daemon,
                                      const FbPayloadDigest *digest, uint64_t now_ms);
/* Records that DAEMON has not cached the payload. */
void fb_payload_dedup_forget (FbPayloadDedup *self, const char *daemon,
                              const FbPayloadDigest *digest);
