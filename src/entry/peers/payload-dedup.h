/* How the owner of a pool sends the payload of a job to the daemons that carry its starts: once to
 * each, and to few of them when its network link has little to spare.  No I/O, clock or thread.
 *
 * Failure: each of a job's 6 to 30 starts carries the whole payload, 1.3 KB, to another daemon; an
 * owner on a link of 2 Mbit/s sends 2.2 Mbit/s of them (23 daemons, 120 workers, 160 starts a
 * second).  Renewals of its membership wait in the same link for longer than its time to live, and
 * it shows as a pool that changes its owner each 3 s while the processors are idle.  Guard: a
 * daemon that was sent a payload keeps it, and later starts only name it; while payloads would
 * take more than a quarter of the link, the starts of one job go through few daemons. */
#pragma once

#include "payload-cache.h"

typedef struct _FbPayloadShare FbPayloadShare;

/* LINK_KBIT_S: what the link carries in each direction; 0: not known. */
FbPayloadShare *fb_payload_share_new (uint32_t link_kbit_s);
void fb_payload_share_free (FbPayloadShare *self);
/* A start with PAYLOAD_BYTES is to be sent at NOW_MS.
 * Returns: TRUE while the starts of one job should go through few daemons. */
gboolean fb_payload_share_is_scarce (FbPayloadShare *self, gsize payload_bytes, uint64_t now_ms);
/* Returns: (transfer full): by which the daemon that carries the start of TASK is chosen: equal for
 * tasks that should share one. */
char *fb_payload_share_key (const char *task);
/* Returns: TRUE when DAEMON was sent that payload lately, FALSE when it is to be sent now. */
gboolean fb_payload_share_sent (FbPayloadShare *self, const char *daemon,
                                const FbPayloadDigest *digest, uint64_t now_ms);
/* DAEMON does not have it after all. */
void fb_payload_share_forget (FbPayloadShare *self, const char *daemon,
                              const FbPayloadDigest *digest);
