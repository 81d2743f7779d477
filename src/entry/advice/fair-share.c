#include "fair-share.h"

/* A waiting user repeats its request every 25 ms; after this time without a request it is no longer
 * considered waiting. */
#define WAIT_EXPIRY_MS 100
/* A user without a request for this long gets no credit for that time. */
#define IDLE_MS 1000

typedef struct
{
  uint64_t used_ms;
  uint64_t last_request_ms;
  uint64_t last_wait_ms; /* time at which it last had to wait; 0: not since it was last served */
} Share;

struct _FbFairShare
{
  GHashTable *shares; /* user -> Share */
};

FbFairShare *
fb_fair_share_new (void)
{
  FbFairShare *self = g_new0 (FbFairShare, 1);
  self->shares = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return self;
}

void
fb_fair_share_free (FbFairShare *self)
{
  g_hash_table_unref (self->shares);
  g_free (self);
}

static Share *
share_of (FbFairShare *self, uint32_t user)
{
  Share *share = g_hash_table_lookup (self->shares, GUINT_TO_POINTER (user));
  if (share == NULL)
    {
      share = g_new0 (Share, 1);
      g_hash_table_insert (self->shares, GUINT_TO_POINTER (user), share);
    }
  return share;
}

/* Returns: the shortest time used by any waiting user other than EXCEPT; G_MAXUINT64 when none
 * waits. */
static uint64_t
least_used_by_waiting_ms (const FbFairShare *self, const Share *except, uint64_t now_ms)
{
  uint64_t least_ms = G_MAXUINT64;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->shares);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Share *share = value;
      if (share != except && share->last_wait_ms != 0
          && now_ms < share->last_wait_ms + WAIT_EXPIRY_MS)
        least_ms = MIN (least_ms, share->used_ms);
    }
  return least_ms;
}

gboolean
fb_fair_share_is_next (FbFairShare *self, uint32_t user, uint64_t now_ms)
{
  Share *share = share_of (self, user);
  uint64_t least_ms = least_used_by_waiting_ms (self, share, now_ms);
  if (now_ms > share->last_request_ms + IDLE_MS && least_ms != G_MAXUINT64)
    share->used_ms = MAX (share->used_ms, least_ms);
  share->last_request_ms = now_ms;
  return share->used_ms <= least_ms;
}

void
fb_fair_share_served (FbFairShare *self, uint32_t user, uint32_t took_ms)
{
  Share *share = share_of (self, user);
  share->used_ms += took_ms;
  share->last_wait_ms = 0;
}

void
fb_fair_share_wait (FbFairShare *self, uint32_t user, uint64_t now_ms)
{
  share_of (self, user)->last_wait_ms = now_ms;
}
