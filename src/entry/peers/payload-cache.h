/* Cache of job payloads that a daemon has received with orders to relay, for later orders that
 * contain only a payload's digest.  Bounded by size: the oldest payload is evicted first.  No I/O,
 * clock or thread. */
#pragma once

#include "fb-types.h"

#define FB_PAYLOAD_DIGEST_BYTES 16

/* Digest of a payload's content; collisions are too improbable to occur. */
typedef struct
{
  uint8_t bytes[FB_PAYLOAD_DIGEST_BYTES];
} FbPayloadDigest;

void fb_payload_digest (const char *payload, FbPayloadDigest *digest);
/* Hash and equality functions of FbPayloadDigest for hash tables. */
guint fb_payload_digest_hash (gconstpointer digest);
gboolean fb_payload_digest_equal (gconstpointer a, gconstpointer b);

typedef struct _FbPayloadCache FbPayloadCache;

FbPayloadCache *fb_payload_cache_new (gsize max_bytes);
void fb_payload_cache_free (FbPayloadCache *self);
/* Adds a copy of PAYLOAD, whose digest is DIGEST. */
void fb_payload_cache_put (FbPayloadCache *self, const FbPayloadDigest *digest,
                           const char *payload);
/* Returns: (nullable): the payload with DIGEST, borrowed until the next put. */
const char *fb_payload_cache_get (const FbPayloadCache *self, const FbPayloadDigest *digest);
