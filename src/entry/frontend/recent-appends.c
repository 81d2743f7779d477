#include "recent-appends.h"

/* For how long a job counts after storing it began or ended.  An append ends within 3 s, and the
 * owner of the pool has read a stored job some seconds later. */
#define KEPT_MS 10000
/* Jobs that are kept; a daemon receives some 100 a second at most.  While there are more, every job
 * counts as one that may have been stored. */
#define KEPT_N 16384

typedef struct
{
  char *job;
  uint64_t noted_ms;
} Append;

struct _FbRecentAppends
{
  GHashTable *last_ms;    /* job -> uint64_t, when it was last noted */
  GQueue order;           /* of Append, the oldest at its head */
  uint64_t full_until_ms; /* until when jobs may be missing; 0: none are */
};

static void
append_free (gpointer data)
{
  Append *append = data;
  g_free (append->job);
  g_free (append);
}

FbRecentAppends *
fb_recent_appends_new (void)
{
  FbRecentAppends *self = g_new0 (FbRecentAppends, 1);
  self->last_ms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
fb_recent_appends_free (FbRecentAppends *self)
{
  g_queue_clear_full (&self->order, append_free);
  g_hash_table_unref (self->last_ms);
  g_free (self);
}

static void
expire (FbRecentAppends *self, uint64_t now_ms)
{
  const Append *oldest = NULL;
  while ((oldest = g_queue_peek_head (&self->order)) != NULL
         && now_ms >= oldest->noted_ms + KEPT_MS)
    {
      const uint64_t *last_ms = g_hash_table_lookup (self->last_ms, oldest->job);
      if (last_ms != NULL && *last_ms == oldest->noted_ms)
        g_hash_table_remove (self->last_ms, oldest->job);
      append_free (g_queue_pop_head (&self->order));
    }
}

void
fb_recent_appends_note (FbRecentAppends *self, const char *job, uint64_t now_ms)
{
  expire (self, now_ms);
  if (self->order.length >= KEPT_N)
    {
      self->full_until_ms = now_ms + KEPT_MS;
      return;
    }
  Append *append = g_new0 (Append, 1);
  append->job = g_strdup (job);
  append->noted_ms = now_ms;
  g_queue_push_tail (&self->order, append);
  uint64_t *last_ms = g_new (uint64_t, 1);
  *last_ms = now_ms;
  g_hash_table_replace (self->last_ms, g_strdup (job), last_ms);
}

gboolean
fb_recent_appends_contain (FbRecentAppends *self, const char *job, uint64_t now_ms)
{
  expire (self, now_ms);
  return now_ms < self->full_until_ms || g_hash_table_contains (self->last_ms, job);
}
