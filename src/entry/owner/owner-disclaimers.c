/* Answers claims of jobs by the pools of other services: the jobs that the claimed pool has are
 * refused, and of the others it is stored that the pool never runs them.  See owner-claims.c. */
#include "owner-private.h"

#include "fb-event.h"
#include "internal/codec.h"

#include <string.h>

/* A disclaimer is needed while the job's record may still arrive, or its caller may repeat the
 * submission; it is kept longer than the ends of jobs. */
#define DISCLAIMER_RETENTION_MS 600000
#define EXPIRY_INTERVAL_MS 10000

/* A claim by another pool whose jobs are being disclaimed. */
struct _FbDisclaimer
{
  FbOwner *owner;
  GPtrArray *refused; /* of char * */
  FbPeerReplyDone done;
  gpointer user;
};

static char *
disclaimer_key (const char *service, const char *job)
{
  return g_strconcat (FB_KEY_DISCLAIMED, service, ".", job, NULL);
}

/* Daemons that know no disclaimers take the record for the progress of a job that they do not know,
 * and ignore it. */
static GBytes *
encode_disclaimer (uint64_t wall_ms)
{
  const fb_work_progress progress = { .state = FB_WORK_QUEUED, .ended_ms = wall_ms };
  const fb_work_suspects suspects = { 0 };
  return fb_codec_encode_progress (&progress, &suspects);
}

static void
put_disclaimed (FbServicePool *service_pool, const char *job, uint64_t wall_ms)
{
  uint64_t *at_ms = g_new (uint64_t, 1);
  *at_ms = wall_ms;
  g_hash_table_replace (service_pool->disclaimed, g_strdup (job), at_ms);
}

void
fb_owner_restore_disclaimer (FbOwner *self, const char *key, GBytes *value)
{
  const char *name = key + strlen (FB_KEY_DISCLAIMED);
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (value, &len);
  fb_work_progress progress;
  fb_work_suspects suspects;
  gsize name_len = strlen (name);
  if (name_len <= FB_WORK_JOB_ID_CHARS + 1
      || !fb_codec_decode_progress (data, len, &progress, &suspects))
    {
      fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "key=%s malformed", key);
      return;
    }
  gsize service_len = name_len - FB_WORK_JOB_ID_CHARS - 1;
  g_autofree char *service = g_strndup (name, service_len);
  put_disclaimed (fb_owner_pool_for (self, service), name + service_len + 1, progress.ended_ms);
  fb_codec_clear_progress (&progress, &suspects);
}

static void
disclaimer_finish (FbDisclaimer *disclaimer, gboolean stored)
{
  fb_peer_reply peer_reply = { .type = stored ? FB_REPLY_CLAIMS : FB_REPLY_UNAVAILABLE };
  g_autofree fb_job_name *names = g_new0 (fb_job_name, disclaimer->refused->len);
  for (guint i = 0; i < disclaimer->refused->len; i++)
    names[i].job = disclaimer->refused->pdata[i];
  if (stored)
    peer_reply.fb_peer_reply_u.claims = (fb_claims_reply){ { disclaimer->refused->len, names } };
  disclaimer->done (disclaimer->user, &peer_reply);
  g_ptr_array_unref (disclaimer->refused);
  g_free (disclaimer);
}

static void
on_disclaimer_stored (gpointer data, FbAppendResult result)
{
  FbDisclaimer *disclaimer = data;
  FbOwner *self = disclaimer->owner;
  g_ptr_array_remove_fast (self->open_disclaimers, disclaimer);
  if (result != FB_APPEND_STORED)
    fb_owner_step_down (self, "disclaimers rejected because a later owner has written");
  disclaimer_finish (disclaimer, result == FB_APPEND_STORED);
}

void
fb_owner_abandon_disclaimers (FbOwner *self)
{
  while (self->open_disclaimers->len > 0)
    disclaimer_finish (g_ptr_array_steal_index_fast (self->open_disclaimers, 0), FALSE);
}

/* Returns: FALSE until each kept cancel of a job of REQUEST is stored with the claimant. */
static gboolean
pass_on_cancels (FbOwner *self, const fb_claim_request *request)
{
  gboolean are_passed_on = TRUE;
  for (u_int i = 0; i < request->jobs.jobs_len; i++)
    are_passed_on
        = fb_owner_pass_on_kept_cancel (self, request->jobs.jobs_val[i].job, request->claimant)
          && are_passed_on;
  return are_passed_on;
}

void
fb_owner_disclaim (FbOwner *self, const fb_claim_request *request, FbPeerReplyDone done,
                   gpointer user)
{
  static const fb_peer_reply unavailable = { .type = FB_REPLY_UNAVAILABLE };
  if (!self->loaded || self->stepped_down)
    {
      done (user, &unavailable);
      return;
    }
  /* The claimant asks again; it may run a job only once the cancel is stored with it. */
  if (!pass_on_cancels (self, request))
    {
      done (user, &unavailable);
      return;
    }
  FbServicePool *service_pool = fb_owner_pool_for (self, request->service);
  FbDisclaimer *disclaimer = g_new0 (FbDisclaimer, 1);
  disclaimer->owner = self;
  disclaimer->refused = g_ptr_array_new_with_free_func (g_free);
  disclaimer->done = done;
  disclaimer->user = user;
  uint64_t wall_ms = fb_clock_wall_ms ();
  g_autoptr (GBytes) value = encode_disclaimer (wall_ms);
  GByteArray *records = g_byte_array_new ();
  /* What is being stored may not be stored yet, so it is stored once more. */
  gboolean is_storing = self->open_disclaimers->len > 0;
  for (u_int i = 0; i < request->jobs.jobs_len; i++)
    {
      const char *job = request->jobs.jobs_val[i].job;
      fb_work_state state;
      if (fb_pool_job_state (service_pool->pool, job, &state)
          || fb_owner_holds_job_for (self, job, request->service))
        g_ptr_array_add (disclaimer->refused, g_strdup (job));
      else if (is_storing || !g_hash_table_contains (service_pool->disclaimed, job))
        {
          g_autofree char *key = disclaimer_key (request->service, job);
          put_disclaimed (service_pool, job, wall_ms);
          fb_wire_encode_record (records, key, value);
        }
    }
  if (records->len == 0)
    {
      g_byte_array_unref (records);
      disclaimer_finish (disclaimer, TRUE);
      return;
    }
  g_ptr_array_add (self->open_disclaimers, disclaimer);
  fb_appender_put (self->appender, records, 0, on_disclaimer_stored, disclaimer);
}

void
fb_owner_expire_disclaimers (FbOwner *self, uint64_t now_ms)
{
  if (now_ms < self->disclaimers_checked_ms + EXPIRY_INTERVAL_MS)
    return;
  self->disclaimers_checked_ms = now_ms;
  uint64_t wall_ms = fb_clock_wall_ms ();
  g_autoptr (GByteArray) records = g_byte_array_new ();
  GHashTableIter pools;
  gpointer value;
  g_hash_table_iter_init (&pools, self->service_pools);
  while (g_hash_table_iter_next (&pools, NULL, &value))
    {
      FbServicePool *service_pool = value;
      GHashTableIter jobs;
      gpointer job;
      gpointer at_ms;
      g_hash_table_iter_init (&jobs, service_pool->disclaimed);
      while (g_hash_table_iter_next (&jobs, &job, &at_ms))
        {
          if (wall_ms <= *(uint64_t *) at_ms + DISCLAIMER_RETENTION_MS)
            continue;
          g_autofree char *key = disclaimer_key (service_pool->service, job);
          fb_wire_encode_record (records, key, NULL);
          g_hash_table_iter_remove (&jobs);
        }
    }
  if (records->len > 0)
    fb_appender_put (self->appender, g_steal_pointer (&records), 0, fb_owner_ignore_stored, NULL);
}
