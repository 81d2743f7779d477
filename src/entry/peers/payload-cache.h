/* Payloads of jobs that a daemon was sent with orders to carry, for later orders that only name
 * them.  Bounded by bytes: the oldest goes first.  No I/O, clock or thread. */
#pragma once

#include "fb-types.h"

#define FB_PAYLOAD_DIGEST_BYTES 16

/* Of a payload's content: equal only for equal payloads, by all that one can meet. */
typedef struct
{
  uint8_t bytes[FB_PAYLOAD_DIGEST_BYTES];
} FbPayloadDigest;

void fb_payload_digest (const char *payload, FbPayloadDigest *digest);
/* For hash tables. */
guint fb_payload_digest_hash (gconstpointer digest);
gboolean fb_payload_digest_equal (gconstpointer a, gconstpointer b);

typedef struct _FbPayloadCache FbPayloadCache;

FbPayloadCache *fb_payload_cache_new (gsize max_bytes);
void fb_payload_cache_free (FbPayloadCache *self);
/* Keeps a copy of PAYLOAD, which DIGEST is of. */
void fb_payload_cache_put (FbPayloadCache *self, const FbPayloadDigest *digest,
                           const char *payload);
/* Returns: (nullable): borrowed until the next put. */
const char *fb_payload_cache_get (const FbPayloadCache *self, const FbPayloadDigest *digest);
