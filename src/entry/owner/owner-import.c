/* After a takeover, requests from the other daemons what no record contains: recent starts by
 * earlier owners, and crash suspects that those owners could not store. */
#include "owner-private.h"

/* Timeout of a request, whose answer is needed before the first tasks are restarted, some 1 s after
 * a takeover. */
#define ANSWER_TIMEOUT_MS 1000
/* Delay of the second request.  A daemon detects an unresponsive worker only when its last poll of
 * that worker times out. */
#define REPEAT_DELAY_MS 1500
#define REQUESTS_MAX 2

typedef struct
{
  FbEntryDaemon *entry;
  uint32_t partition;
  uint64_t epoch;
} ImportRequest;

static void
import_starts (FbOwner *self, const fb_recent_starts_reply *peer_reply)
{
  GHashTableIter iter;
  gpointer service_pool;
  g_hash_table_iter_init (&iter, self->service_pools);
  while (g_hash_table_iter_next (&iter, NULL, &service_pool))
    fb_pool_import_starts (((FbServicePool *) service_pool)->pool, peer_reply, fb_clock_ms ());
}

static void
on_peer_reply (gpointer data, const fb_peer_reply *peer_reply)
{
  ImportRequest *request = data;
  FbOwner *owner = fb_entry_owner (request->entry, request->partition);
  if (peer_reply != NULL && peer_reply->type == FB_REPLY_RECENT_STARTS && owner != NULL
      && owner->epoch == request->epoch)
    import_starts (owner, &peer_reply->fb_peer_reply_u.starts);
  else if (peer_reply != NULL && peer_reply->type == FB_REPLY_SUSPECT_BACKUPS && owner != NULL
           && owner->epoch == request->epoch)
    fb_owner_import_suspects (owner, &peer_reply->fb_peer_reply_u.backups);
  g_free (request);
}

static void
request_from (const FbOwner *self, const char *address, fb_peer_request_type type)
{
  const fb_peer_request peer_request = { .type = type };
  ImportRequest *request = g_new0 (ImportRequest, 1);
  request->entry = self->entry;
  request->partition = self->partition;
  request->epoch = self->epoch;
  fb_peers_request (self->entry, address, &peer_request, ANSWER_TIMEOUT_MS, on_peer_reply, request);
}

static void
import_own_starts (FbOwner *self)
{
  fb_recent_starts_reply peer_reply;
  fb_recent_starts_list (self->entry->recent_starts, self->start_requests_n > 1, fb_clock_ms (),
                         &peer_reply);
  import_starts (self, &peer_reply);
  g_free (peer_reply.starts.starts_val);
}

static void
import_own_suspects (FbOwner *self)
{
  fb_suspect_backups_reply peer_reply;
  fb_suspect_backups_list (self->entry->suspect_backups, fb_clock_ms (), &peer_reply);
  fb_owner_import_suspects (self, &peer_reply);
  xdr_free ((xdrproc_t) xdr_fb_suspect_backups_reply, (char *) &peer_reply);
}

static void
request_from_all (FbOwner *self)
{
  const GPtrArray *daemons = fb_daemons_all (self->entry->daemons);
  if (self->start_requests_n == 1)
    import_own_suspects (self);
  import_own_starts (self);
  for (guint i = 0; i < daemons->len; i++)
    {
      const FbDaemon *daemon = daemons->pdata[i];
      if (g_str_equal (daemon->address, self->entry->settings->peers))
        continue;
      /* Requested only once, because the owner may have cleared a task of suspicion since then. */
      if (self->start_requests_n == 1)
        request_from (self, daemon->address, FB_REQUEST_SUSPECT_BACKUPS);
      request_from (self, daemon->address, FB_REQUEST_RECENT_STARTS);
      /* At the first request no worker may have been polled yet, so all are unheard. */
      if (self->start_requests_n > 1)
        request_from (self, daemon->address, FB_REQUEST_UNHEARD_STARTS);
    }
}

void
fb_owner_request_starts (FbOwner *self, uint64_t now_ms)
{
  if (self->start_requests_n >= REQUESTS_MAX || now_ms < self->next_start_request_ms)
    return;
  self->start_requests_n++;
  self->next_start_request_ms = now_ms + REPEAT_DELAY_MS;
  request_from_all (self);
}
