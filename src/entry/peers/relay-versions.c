#include "relay-versions.h"

/* Time after which a daemon is asked for progress again.  Each unsuccessful request costs a round
 * trip before the poll (its timeout allows for 150 ms) and a log line of that daemon, and an
 * upgraded daemon reports no progress until then. */
#define PLAIN_FOR_MS 10000

struct _FbRelayVersions
{
  GHashTable *plain_until_ms; /* address -> uint64_t */
};

FbRelayVersions *
fb_relay_versions_new (void)
{
  FbRelayVersions *self = g_new0 (FbRelayVersions, 1);
  self->plain_until_ms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
fb_relay_versions_free (FbRelayVersions *self)
{
  if (self == NULL)
    return;
  g_hash_table_unref (self->plain_until_ms);
  g_free (self);
}

void
fb_relay_versions_add_plain (FbRelayVersions *self, const char *address, uint64_t now_ms)
{
  const uint64_t until_ms = now_ms + PLAIN_FOR_MS;
  g_hash_table_replace (self->plain_until_ms, g_strdup (address),
                        g_memdup2 (&until_ms, sizeof until_ms));
}

gboolean
fb_relay_versions_is_plain (FbRelayVersions *self, const char *address, uint64_t now_ms)
{
  const uint64_t *until_ms = g_hash_table_lookup (self->plain_until_ms, address);
  if (until_ms == NULL)
    return FALSE;
  if (now_ms < *until_ms)
    return TRUE;
  g_hash_table_remove (self->plain_until_ms, address);
  return FALSE;
}
