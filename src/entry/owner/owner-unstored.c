/* Handing what the store does not take to other daemons, and asking them for it after a take-over.
 */
#include "owner-private.h"

#include "src/entry/store/rendezvous.h"

#include "fb-event.h"
#include "internal/codec.h"

/* One may be killed with the owner, and another be cut off. */
#define KEEPERS 3
#define ANSWER_MS 1000

typedef struct
{
  const char *own_address;
  GPtrArray *chosen; /* addresses, borrowed */
} Choice;

static gboolean
may_keep (const FbDaemon *daemon, gconstpointer user)
{
  const Choice *choice = user;
  return !g_str_equal (daemon->address, choice->own_address)
         && !g_ptr_array_find_with_equal_func (choice->chosen, daemon->address, g_str_equal, NULL);
}

/* The same daemons for a job, whatever is handed over, as long as they live. */
static void
hand_over (const FbOwner *self, const fb_peer_request *ask)
{
  const GPtrArray *daemons = fb_daemons_all (self->entry->daemons);
  g_autoptr (GPtrArray) chosen = g_ptr_array_new ();
  const Choice choice = { self->entry->settings->peers, chosen };
  const FbDaemon *daemon = NULL;
  while (chosen->len < KEEPERS
         && (daemon
             = fb_rendezvous_choose (daemons, ask->fb_peer_request_u.keep.job, may_keep, &choice))
                != NULL)
    {
      g_ptr_array_add (chosen, daemon->address);
      fb_peers_ask (self->entry, daemon->address, ask, ANSWER_MS, fb_peers_ignore_told, NULL);
    }
  fb_event_log (FB_EVENT_SUSPECTS_HANDED, "job=%s epoch=%" G_GUINT64_FORMAT " tasks=%u daemons=%u",
                ask->fb_peer_request_u.keep.job, self->epoch,
                ask->fb_peer_request_u.keep.suspects.tasks.tasks_len, chosen->len);
}

static void
hand_job (const FbOwner *self, const FbPoolUnstoredSuspects *unstored)
{
  fb_peer_request ask = { .type = FB_REQUEST_BACK_UP_SUSPECTS };
  fb_suspects_backup *kept = &ask.fb_peer_request_u.keep;
  kept->job = unstored->job;
  kept->epoch = self->epoch;
  gsize len = 0;
  gconstpointer data
      = unstored->suspects != NULL ? g_bytes_get_data (unstored->suspects, &len) : NULL;
  if (data != NULL && !fb_codec_decode_suspects (data, len, &kept->suspects))
    return;
  hand_over (self, &ask);
  xdr_free ((xdrproc_t) xdr_fb_work_suspects, (char *) &kept->suspects);
}

void
fb_owner_hand_unstored (const FbOwnerPart *part)
{
  g_autoptr (GPtrArray) unstored = fb_pool_take_unstored_suspects (part->pool, fb_clock_ms ());
  for (guint i = 0; unstored != NULL && i < unstored->len; i++)
    hand_job (part->owner, unstored->pdata[i]);
}

/* ---- after a take-over ------------------------------------------------------------------- */

void
fb_owner_take_kept (FbOwner *self, const fb_suspect_backups_reply *told)
{
  GHashTableIter iter;
  gpointer part;
  for (u_int i = 0; i < told->jobs.jobs_len; i++)
    {
      const fb_suspects_backup *kept = &told->jobs.jobs_val[i];
      if (kept->epoch >= self->epoch)
        continue;
      g_hash_table_iter_init (&iter, self->parts);
      while (g_hash_table_iter_next (&iter, NULL, &part))
        fb_pool_import_suspects (((FbOwnerPart *) part)->pool, kept->job, &kept->suspects,
                                 fb_clock_ms ());
    }
}
