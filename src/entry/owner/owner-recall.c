/* Asking the other daemons for what no record tells of: starts of earlier owners, and what these
 * held against tasks and could not store. */
#include "owner-private.h"

/* The answer is of use before the first tasks start again, some 1 s after a take-over. */
#define ANSWER_MS 1000
/* A daemon knows that a worker fell silent once its last look at it has run out. */
#define AGAIN_MS 1500
#define ASKED_MOST 2

typedef struct
{
  FbEntry *entry;
  uint32_t partition;
  uint64_t epoch;
} Recall;

static void
take_starts (FbOwner *self, const fb_recent_starts_reply *told)
{
  GHashTableIter iter;
  gpointer part;
  g_hash_table_iter_init (&iter, self->parts);
  while (g_hash_table_iter_next (&iter, NULL, &part))
    fb_pool_import_starts (((FbOwnerPart *) part)->pool, told, fb_clock_ms ());
}

static void
on_told (gpointer data, const fb_peer_reply *told)
{
  Recall *recall = data;
  FbOwner *owner = fb_entry_owner (recall->entry, recall->partition);
  if (told != NULL && told->type == FB_REPLY_RECENT_STARTS && owner != NULL
      && owner->epoch == recall->epoch)
    take_starts (owner, &told->fb_peer_reply_u.starts);
  else if (told != NULL && told->type == FB_REPLY_SUSPECT_BACKUPS && owner != NULL
           && owner->epoch == recall->epoch)
    fb_owner_take_kept (owner, &told->fb_peer_reply_u.kept);
  g_free (recall);
}

static void
ask_daemon (const FbOwner *self, const char *address, fb_peer_request_type what)
{
  const fb_peer_request ask = { .type = what };
  Recall *recall = g_new0 (Recall, 1);
  recall->entry = self->entry;
  recall->partition = self->partition;
  recall->epoch = self->epoch;
  fb_peers_ask (self->entry, address, &ask, ANSWER_MS, on_told, recall);
}

static void
recall_own (FbOwner *self)
{
  fb_recent_starts_reply told;
  fb_recent_starts_list (self->entry->recent_starts, fb_clock_ms (), &told);
  take_starts (self, &told);
  g_free (told.starts.starts_val);
}

static void
recall_own_kept (FbOwner *self)
{
  fb_suspect_backups_reply told;
  fb_suspect_backups_list (self->entry->suspect_backups, fb_clock_ms (), &told);
  fb_owner_take_kept (self, &told);
  xdr_free ((xdrproc_t) xdr_fb_suspect_backups_reply, (char *) &told);
}

static void
ask_all (FbOwner *self)
{
  const GPtrArray *daemons = fb_daemons_all (self->entry->daemons);
  if (self->recalled_n == 1)
    recall_own_kept (self);
  recall_own (self);
  for (guint i = 0; i < daemons->len; i++)
    {
      const FbDaemon *daemon = daemons->pdata[i];
      if (g_str_equal (daemon->address, self->entry->settings->peers))
        continue;
      /* Asked for once: a task may have been cleared of it since. */
      if (self->recalled_n == 1)
        ask_daemon (self, daemon->address, FB_REQUEST_SUSPECT_BACKUPS);
      ask_daemon (self, daemon->address, FB_REQUEST_RECENT_STARTS);
    }
}

void
fb_owner_recall_starts (FbOwner *self, uint64_t now_ms)
{
  if (self->recalled_n >= ASKED_MOST || now_ms < self->recall_ms)
    return;
  self->recalled_n++;
  self->recall_ms = now_ms + AGAIN_MS;
  ask_all (self);
}
