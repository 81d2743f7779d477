/* Copies crash suspects that the store does not accept to other daemons, and restores them after a
 * takeover. */
#include "owner-private.h"

#include "src/entry/store/rendezvous.h"

#include "fb-event.h"
#include "internal/codec.h"

/* Number of daemons that hold a copy: one may be killed together with the owner, and another may be
 * partitioned from the network. */
#define BACKUPS_N 3
#define ANSWER_TIMEOUT_MS 1000

typedef struct
{
  const char *own_address;
  GPtrArray *chosen; /* addresses, borrowed */
} Choice;

static gboolean
may_hold_backup (const FbDaemon *daemon, gconstpointer user)
{
  const Choice *choice = user;
  return !g_str_equal (daemon->address, choice->own_address)
         && !g_ptr_array_find_with_equal_func (choice->chosen, daemon->address, g_str_equal, NULL);
}

/* Sends PEER_REQUEST to the daemons chosen for its job, which are always the same while they are
 * members. */
static void
send_backups (const FbOwner *self, const fb_peer_request *peer_request)
{
  const GPtrArray *daemons = fb_daemons_all (self->entry->daemons);
  g_autoptr (GPtrArray) chosen = g_ptr_array_new ();
  const Choice choice = { self->entry->settings->peers, chosen };
  const FbDaemon *daemon = NULL;
  while (chosen->len < BACKUPS_N
         && (daemon = fb_rendezvous_choose (daemons, peer_request->fb_peer_request_u.backup.job,
                                            may_hold_backup, &choice))
                != NULL)
    {
      g_ptr_array_add (chosen, daemon->address);
      fb_peers_request (self->entry, daemon->address, peer_request, ANSWER_TIMEOUT_MS,
                        fb_peers_ignore_reply, NULL);
    }
  fb_event_log (FB_EVENT_SUSPECTS_HANDED, "job=%s epoch=%" G_GUINT64_FORMAT " tasks=%u daemons=%u",
                peer_request->fb_peer_request_u.backup.job, self->epoch,
                peer_request->fb_peer_request_u.backup.suspects.tasks.tasks_len, chosen->len);
}

static void
back_up_job (const FbOwner *self, const FbPoolUnstoredSuspects *unstored)
{
  fb_peer_request peer_request = { .type = FB_REQUEST_BACK_UP_SUSPECTS };
  fb_suspects_backup *backup = &peer_request.fb_peer_request_u.backup;
  backup->job = unstored->job;
  backup->epoch = self->epoch;
  gsize len = 0;
  gconstpointer data
      = unstored->suspects != NULL ? g_bytes_get_data (unstored->suspects, &len) : NULL;
  if (data != NULL && !fb_codec_decode_suspects (data, len, &backup->suspects))
    return;
  send_backups (self, &peer_request);
  xdr_free ((xdrproc_t) xdr_fb_work_suspects, (char *) &backup->suspects);
}

void
fb_owner_back_up_suspects (const FbServicePool *service_pool)
{
  g_autoptr (GPtrArray) unstored
      = fb_pool_take_unstored_suspects (service_pool->pool, fb_clock_ms ());
  for (guint i = 0; unstored != NULL && i < unstored->len; i++)
    back_up_job (service_pool->owner, unstored->pdata[i]);
}

/* ---- after a takeover -------------------------------------------------------------------- */

void
fb_owner_import_suspects (FbOwner *self, const fb_suspect_backups_reply *peer_reply)
{
  GHashTableIter iter;
  gpointer service_pool;
  for (u_int i = 0; i < peer_reply->jobs.jobs_len; i++)
    {
      const fb_suspects_backup *backup = &peer_reply->jobs.jobs_val[i];
      if (backup->epoch >= self->epoch)
        continue;
      g_hash_table_iter_init (&iter, self->service_pools);
      while (g_hash_table_iter_next (&iter, NULL, &service_pool))
        fb_pool_import_suspects (((FbServicePool *) service_pool)->pool, backup->job,
                                 &backup->suspects, fb_clock_ms ());
    }
}
