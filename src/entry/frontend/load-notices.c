#include "load-notices.h"

/* Upper bound of the time for which a notice is relied on, whatever it says. */
#define VALID_MAX_MS 10000
/* Notices of more services than any deployment has are not kept. */
#define SERVICES_MAX 1000

typedef struct
{
  uint64_t epoch;
  uint64_t sequence;
  gboolean overloaded;
  uint64_t received_ms;
  uint32_t valid_ms;
} Notice;

struct _FbLoadNotices
{
  GHashTable *notices; /* service -> Notice */
};

FbLoadNotices *
fb_load_notices_new (void)
{
  FbLoadNotices *self = g_new0 (FbLoadNotices, 1);
  self->notices = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
fb_load_notices_free (FbLoadNotices *self)
{
  g_hash_table_unref (self->notices);
  g_free (self);
}

void
fb_load_notices_put (FbLoadNotices *self, const fb_load_notice *notice, uint64_t now_ms)
{
  Notice *known = g_hash_table_lookup (self->notices, notice->service);
  if (known == NULL && g_hash_table_size (self->notices) >= SERVICES_MAX)
    return;
  if (known == NULL)
    {
      known = g_new0 (Notice, 1);
      g_hash_table_insert (self->notices, g_strdup (notice->service), known);
    }
  if (notice->epoch < known->epoch
      || (notice->epoch == known->epoch && notice->sequence <= known->sequence))
    return;
  known->epoch = notice->epoch;
  known->sequence = notice->sequence;
  known->overloaded = notice->overloaded;
  known->received_ms = now_ms;
  known->valid_ms = MIN (notice->valid_ms, VALID_MAX_MS);
}

gboolean
fb_load_notices_is_overloaded (const FbLoadNotices *self, const char *service, uint64_t now_ms,
                               uint64_t *epoch)
{
  const Notice *notice = g_hash_table_lookup (self->notices, service);
  if (notice == NULL || !notice->overloaded || now_ms >= notice->received_ms + notice->valid_ms)
    return FALSE;
  *epoch = notice->epoch;
  return TRUE;
}
