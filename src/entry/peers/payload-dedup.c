#include "payload-dedup.h"

#include <stdlib.h>
#include <string.h>

/* Share of the link's capacity above which payloads make it count as constrained; three quarters
 * are left for polls, records and renewals. */
#define PAYLOAD_PERCENT 25
/* Number of a job's tasks that are relayed through the same daemon of each failure domain: with
 * three to five domains a daemon starts four to seven of them, some 2 ms of work each on 0.12 of a
 * core. */
#define TASKS_PER_RELAY 20
/* Time for which a payload is assumed to be cached.  A daemon caches some 700 payloads
 * (PAYLOAD_CACHE_BYTES), those of 20 s at 30 jobs a second. */
#define CACHED_FOR_MS 10000
/* Maximum number of payloads recorded per daemon: 66 jobs a second, each relayed through a dozen of
 * 147 daemons, are 54 for each daemon in CACHED_FOR_MS.  Beyond it, payloads are sent again. */
#define SENT_MAX 250
/* Period over which the rate is measured; the rate is that of the last complete period, or of the
 * current one if that is higher. */
#define RATE_PERIOD_MS 1000

struct _FbPayloadDedup
{
  uint32_t link_kbit_s;
  uint64_t period; /* number of the current period */
  uint64_t period_bytes;
  uint64_t previous_bytes; /* bytes of the previous period */
  GHashTable *daemons;     /* address -> GHashTable: FbPayloadDigest -> when it was sent */
};

FbPayloadDedup *
fb_payload_dedup_new (uint32_t link_kbit_s)
{
  FbPayloadDedup *self = g_new0 (FbPayloadDedup, 1);
  self->link_kbit_s = link_kbit_s;
  self->daemons = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify) g_hash_table_unref);
  return self;
}

void
fb_payload_dedup_free (FbPayloadDedup *self)
{
  g_hash_table_unref (self->daemons);
  g_free (self);
}

static void
advance_period (FbPayloadDedup *self, uint64_t now_ms)
{
  uint64_t period = now_ms / RATE_PERIOD_MS;
  if (period == self->period)
    return;
  self->previous_bytes = period == self->period + 1 ? self->period_bytes : 0;
  self->period_bytes = 0;
  self->period = period;
}

gboolean
fb_payload_dedup_link_is_constrained (FbPayloadDedup *self, gsize payload_bytes, uint64_t now_ms)
{
  advance_period (self, now_ms);
  self->period_bytes += payload_bytes;
  uint64_t bytes = MAX (self->period_bytes, self->previous_bytes);
  return bytes * 8 / RATE_PERIOD_MS * 100 > (uint64_t) self->link_kbit_s * PAYLOAD_PERCENT
         && self->link_kbit_s > 0;
}

char *
fb_payload_dedup_relay_key (const char *task)
{
  gsize job_len = strcspn (task, ".");
  const char *index = strrchr (task, '.');
  unsigned long group = index != NULL ? strtoul (index + 1, NULL, 10) / TASKS_PER_RELAY : 0;
  return g_strdup_printf ("%.*s/%lu", (int) job_len, task, group);
}

gboolean
fb_payload_dedup_check_sent (FbPayloadDedup *self, const char *daemon,
                             const FbPayloadDigest *digest, uint64_t now_ms)
{
  GHashTable *sent = g_hash_table_lookup (self->daemons, daemon);
  if (sent == NULL)
    {
      sent
          = g_hash_table_new_full (fb_payload_digest_hash, fb_payload_digest_equal, g_free, g_free);
      g_hash_table_insert (self->daemons, g_strdup (daemon), sent);
    }
  uint64_t *sent_ms = g_hash_table_lookup (sent, digest);
  if (sent_ms != NULL && now_ms < *sent_ms + CACHED_FOR_MS)
    return TRUE;
  if (g_hash_table_size (sent) >= SENT_MAX)
    g_hash_table_remove_all (sent);
  g_hash_table_replace (sent, g_memdup2 (digest, sizeof *digest),
                        g_memdup2 (&now_ms, sizeof now_ms));
  return FALSE;
}

void
fb_payload_dedup_forget (FbPayloadDedup *self, const char *daemon, const FbPayloadDigest *digest)
{
  GHashTable *sent = g_hash_table_lookup (self->daemons, daemon);
  if (sent != NULL)
    g_hash_table_remove (sent, digest);
}
