#include "payload-dedup.h"

#include <stdlib.h>
#include <string.h>

/* Three quarters are left for looks, records and renewals. */
#define SCARCE_PERCENT 25
/* Tasks that share a daemon in each failure domain: with three to five domains it starts four to
 * seven of them, some 2 ms of work each on 0.12 of a core. */
#define TASKS_TOGETHER 20
/* A daemon keeps some 700 payloads (PAYLOADS_KEPT_BYTES), those of 20 s at 30 jobs a second. */
#define SENT_FOR_MS 10000
/* Payloads remembered for one daemon: 66 jobs a second, each through a dozen of 147 daemons, are 54
 * for each of them in SENT_FOR_MS.  Beyond that they are sent again. */
#define SENT_MAX 250
/* The rate is that of the last whole slot, or of the one that is open if that is higher. */
#define SLOT_MS 1000

struct _FbPayloadShare
{
  uint32_t link_kbit_s;
  uint64_t slot; /* number of the open one */
  uint64_t slot_bytes;
  uint64_t last_bytes; /* of the slot before */
  GHashTable *daemons; /* address -> GHashTable: FbPayloadDigest -> when it was sent */
};

FbPayloadShare *
fb_payload_share_new (uint32_t link_kbit_s)
{
  FbPayloadShare *self = g_new0 (FbPayloadShare, 1);
  self->link_kbit_s = link_kbit_s;
  self->daemons = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify) g_hash_table_unref);
  return self;
}

void
fb_payload_share_free (FbPayloadShare *self)
{
  g_hash_table_unref (self->daemons);
  g_free (self);
}

static void
turn_slot (FbPayloadShare *self, uint64_t now_ms)
{
  uint64_t slot = now_ms / SLOT_MS;
  if (slot == self->slot)
    return;
  self->last_bytes = slot == self->slot + 1 ? self->slot_bytes : 0;
  self->slot_bytes = 0;
  self->slot = slot;
}

gboolean
fb_payload_share_is_scarce (FbPayloadShare *self, gsize payload_bytes, uint64_t now_ms)
{
  turn_slot (self, now_ms);
  self->slot_bytes += payload_bytes;
  uint64_t bytes = MAX (self->slot_bytes, self->last_bytes);
  return bytes * 8 / SLOT_MS * 100 > (uint64_t) self->link_kbit_s * SCARCE_PERCENT
         && self->link_kbit_s > 0;
}

char *
fb_payload_share_key (const char *task)
{
  gsize job_len = strcspn (task, ".");
  const char *index = strrchr (task, '.');
  unsigned long group = index != NULL ? strtoul (index + 1, NULL, 10) / TASKS_TOGETHER : 0;
  return g_strdup_printf ("%.*s/%lu", (int) job_len, task, group);
}

gboolean
fb_payload_share_sent (FbPayloadShare *self, const char *daemon, const FbPayloadDigest *digest,
                       uint64_t now_ms)
{
  GHashTable *sent = g_hash_table_lookup (self->daemons, daemon);
  if (sent == NULL)
    {
      sent
          = g_hash_table_new_full (fb_payload_digest_hash, fb_payload_digest_equal, g_free, g_free);
      g_hash_table_insert (self->daemons, g_strdup (daemon), sent);
    }
  uint64_t *sent_ms = g_hash_table_lookup (sent, digest);
  if (sent_ms != NULL && now_ms < *sent_ms + SENT_FOR_MS)
    return TRUE;
  if (g_hash_table_size (sent) >= SENT_MAX)
    g_hash_table_remove_all (sent);
  g_hash_table_replace (sent, g_memdup2 (digest, sizeof *digest),
                        g_memdup2 (&now_ms, sizeof now_ms));
  return FALSE;
}

void
fb_payload_share_forget (FbPayloadShare *self, const char *daemon, const FbPayloadDigest *digest)
{
  GHashTable *sent = g_hash_table_lookup (self->daemons, daemon);
  if (sent != NULL)
    g_hash_table_remove (sent, digest);
}
