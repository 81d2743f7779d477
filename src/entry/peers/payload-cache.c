#include "payload-cache.h"

#include <string.h>
#include <xxhash.h>

struct _FbPayloadCache
{
  gsize max_bytes;
  gsize bytes;
  GHashTable *payloads; /* FbPayloadDigest -> char * */
  GQueue by_age;        /* keys of PAYLOADS, borrowed, oldest first */
};

void
fb_payload_digest (const char *payload, FbPayloadDigest *digest)
{
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash (&canonical, XXH3_128bits (payload, strlen (payload)));
  memcpy (digest->bytes, canonical.digest, sizeof digest->bytes);
}

guint
fb_payload_digest_hash (gconstpointer digest)
{
  guint hash = 0;
  memcpy (&hash, ((const FbPayloadDigest *) digest)->bytes, sizeof hash);
  return hash;
}

gboolean
fb_payload_digest_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (FbPayloadDigest)) == 0;
}

FbPayloadCache *
fb_payload_cache_new (gsize max_bytes)
{
  FbPayloadCache *self = g_new0 (FbPayloadCache, 1);
  self->max_bytes = max_bytes;
  self->payloads
      = g_hash_table_new_full (fb_payload_digest_hash, fb_payload_digest_equal, g_free, g_free);
  g_queue_init (&self->by_age);
  return self;
}

void
fb_payload_cache_free (FbPayloadCache *self)
{
  g_queue_clear (&self->by_age);
  g_hash_table_unref (self->payloads);
  g_free (self);
}

static void
evict_oldest (FbPayloadCache *self)
{
  const FbPayloadDigest *digest = g_queue_pop_head (&self->by_age);
  self->bytes -= strlen (g_hash_table_lookup (self->payloads, digest)) + 1;
  g_hash_table_remove (self->payloads, digest);
}

void
fb_payload_cache_put (FbPayloadCache *self, const FbPayloadDigest *digest, const char *payload)
{
  gsize size = strlen (payload) + 1;
  if (size > self->max_bytes || g_hash_table_contains (self->payloads, digest))
    return;
  while (self->bytes + size > self->max_bytes)
    evict_oldest (self);
  FbPayloadDigest *key = g_memdup2 (digest, sizeof *digest);
  g_hash_table_insert (self->payloads, key, g_strdup (payload));
  g_queue_push_tail (&self->by_age, key);
  self->bytes += size;
}

const char *
fb_payload_cache_get (const FbPayloadCache *self, const FbPayloadDigest *digest)
{
  return g_hash_table_lookup (self->payloads, digest);
}
