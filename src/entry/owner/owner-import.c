/* After a takeover, requests from the other daemons what no record contains: recent starts by
 * earlier owners, and crash suspects that those owners could not store.
 *
 * Memberships expire while the store is unavailable, so a new owner may know only some of the
 * daemons at first. Each one is asked when it becomes known. */
#include "owner-private.h"

/* Timeout of a request, whose answer is needed before the first tasks are restarted, some 1 s after
 * a takeover. */
#define ANSWER_TIMEOUT_MS 1000
/* Delay of the second request.  A daemon detects an unresponsive worker only when its last poll of
 * that worker times out. */
#define REPEAT_DELAY_MS 1500
#define REQUESTS_MAX 2
/* Time after loading in which daemons are asked that become known, and the interval at which the
 * list of daemons is checked for them. */
#define IMPORT_PERIOD_MS 10000
#define CHECK_INTERVAL_MS 100
/* Number of daemons that are asked in one iteration of the main loop, which may have to connect to
 * each of them: some 5 ms. */
#define SOURCES_PER_ITERATION 64

/* What was requested from one daemon, which may be this one. */
typedef struct
{
  guint requests_n;     /* number of requests for recent starts */
  uint64_t next_ms;     /* time of the next such request */
  gboolean has_backups; /* it has returned its backups of suspects */
} ImportSource;

typedef struct
{
  FbEntryDaemon *entry;
  uint32_t partition;
  uint64_t epoch;
  char *address; /* of the daemon that is asked */
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
    {
      ImportSource *source = g_hash_table_lookup (owner->import_sources, request->address);
      source->has_backups = TRUE;
      fb_owner_import_suspects (owner, &peer_reply->fb_peer_reply_u.backups);
    }
  g_free (request->address);
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
  request->address = g_strdup (address);
  fb_peers_request (self->entry, address, &peer_request, ANSWER_TIMEOUT_MS, on_peer_reply, request);
}

static void
import_own_starts (FbOwner *self, gboolean unheard)
{
  fb_recent_starts_reply peer_reply;
  fb_recent_starts_list (self->entry->recent_starts, unheard, fb_clock_ms (), &peer_reply);
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

/* Returns: the daemon at ADDRESS, which has not been asked yet if it is new. */
static ImportSource *
source_at (FbOwner *self, const char *address)
{
  ImportSource *source = g_hash_table_lookup (self->import_sources, address);
  if (source != NULL)
    return source;
  source = g_new0 (ImportSource, 1);
  g_hash_table_insert (self->import_sources, g_strdup (address), source);
  return source;
}

static gboolean
is_due (const ImportSource *source, uint64_t now_ms)
{
  return source->requests_n < REQUESTS_MAX && now_ms >= source->next_ms;
}

static void
import_from (FbOwner *self, const char *address, ImportSource *source, uint64_t now_ms)
{
  gboolean is_self = g_str_equal (address, self->entry->settings->peers);
  /* At the first request no worker may have been polled yet, so all are unheard. */
  gboolean unheard = source->requests_n > 0;
  source->requests_n++;
  source->next_ms = now_ms + REPEAT_DELAY_MS;
  if (is_self)
    {
      if (!source->has_backups)
        import_own_suspects (self);
      source->has_backups = TRUE;
      import_own_starts (self, unheard);
      return;
    }
  /* Imported once, because the owner may have cleared a task of suspicion since then. */
  if (!source->has_backups)
    request_from (self, address, FB_REQUEST_SUSPECT_BACKUPS);
  request_from (self, address, FB_REQUEST_RECENT_STARTS);
  if (unheard)
    request_from (self, address, FB_REQUEST_UNHEARD_STARTS);
}

void
fb_owner_request_starts (FbOwner *self, uint64_t now_ms)
{
  if (self->import_until_ms == 0)
    self->import_until_ms = now_ms + IMPORT_PERIOD_MS;
  if (now_ms >= self->import_until_ms || now_ms < self->next_import_ms)
    return;
  self->next_import_ms = now_ms + CHECK_INTERVAL_MS;
  const char *own_address = self->entry->settings->peers;
  ImportSource *source = source_at (self, own_address);
  if (is_due (source, now_ms))
    import_from (self, own_address, source, now_ms);
  const GPtrArray *daemons = fb_daemons_all (self->entry->daemons);
  guint asked_n = 0;
  for (guint i = 0; i < daemons->len; i++)
    {
      const char *address = ((const FbDaemon *) daemons->pdata[i])->address;
      source = source_at (self, address);
      if (!is_due (source, now_ms))
        continue;
      if (asked_n++ == SOURCES_PER_ITERATION)
        {
          self->next_import_ms = now_ms; /* the next iteration asks the others */
          return;
        }
      import_from (self, address, source, now_ms);
    }
}
