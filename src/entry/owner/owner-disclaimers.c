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
/* Occurrence that stands for a claimant in the record of a disclaimer. */
#define CLAIMANT_OCCURRENCE (G_MAXUINT32 - 1)

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

/* A job that the pool of a service never runs. */
typedef struct
{
  uint64_t at_ms;       /* when that was last stored, by the wall clock */
  GPtrArray *claimants; /* of char *: services of the same partition that claimed it */
} FbDisclaimed;

static void
disclaimed_free (gpointer data)
{
  FbDisclaimed *disclaimed = data;
  g_ptr_array_unref (disclaimed->claimants);
  g_free (disclaimed);
}

GHashTable *
fb_owner_disclaimed_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, disclaimed_free);
}

/* Daemons that know no disclaimers take the record for the progress of a job that they do not know,
 * and ignore it.  The claimants stand in place of checkpoints, in rows of an occurrence that no job
 * has. */
static GBytes *
encode_disclaimer (const FbDisclaimed *disclaimed)
{
  const guint n = disclaimed->claimants->len;
  g_autofree fb_work_task_progress *rows = g_new0 (fb_work_task_progress, n + 1);
  for (guint i = 0; i < n; i++)
    rows[i] = (fb_work_task_progress){ .occurrence = CLAIMANT_OCCURRENCE,
                                       .checkpoint = disclaimed->claimants->pdata[i] };
  const fb_work_progress progress
      = { .state = FB_WORK_QUEUED, .ended_ms = disclaimed->at_ms, .task_progress = { n, rows } };
  const fb_work_suspects suspects = { 0 };
  return fb_codec_encode_progress (&progress, &suspects);
}

static void
encode_record (GByteArray *records, const char *service, const char *job,
               const FbDisclaimed *disclaimed)
{
  g_autofree char *key = disclaimer_key (service, job);
  g_autoptr (GBytes) value = encode_disclaimer (disclaimed);
  g_assert (value != NULL);
  fb_wire_encode_record (records, key, value);
}

static gboolean
has_claimant (const FbDisclaimed *disclaimed, const char *claimant)
{
  return g_ptr_array_find_with_equal_func (disclaimed->claimants, claimant, g_str_equal, NULL);
}

/* CLAIMANT: NULL for one of another partition. */
static const FbDisclaimed *
put_disclaimed (FbServicePool *service_pool, const char *job, const char *claimant,
                uint64_t wall_ms)
{
  FbDisclaimed *disclaimed = g_hash_table_lookup (service_pool->disclaimed, job);
  if (disclaimed == NULL)
    {
      disclaimed = g_new0 (FbDisclaimed, 1);
      disclaimed->claimants = g_ptr_array_new_with_free_func (g_free);
      g_hash_table_insert (service_pool->disclaimed, g_strdup (job), disclaimed);
    }
  disclaimed->at_ms = wall_ms;
  if (claimant != NULL && !has_claimant (disclaimed, claimant))
    g_ptr_array_add (disclaimed->claimants, g_strdup (claimant));
  return disclaimed;
}

static void
restore_claimants (FbServicePool *service_pool, const char *job, const fb_work_progress *progress)
{
  for (u_int i = 0; i < progress->task_progress.task_progress_len; i++)
    {
      const fb_work_task_progress *row = &progress->task_progress.task_progress_val[i];
      if (row->occurrence == CLAIMANT_OCCURRENCE)
        (void) put_disclaimed (service_pool, job, row->checkpoint, progress->ended_ms);
    }
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
  const char *job = name + service_len + 1;
  FbServicePool *service_pool = fb_owner_pool_for (self, service);
  (void) put_disclaimed (service_pool, job, NULL, progress.ended_ms);
  restore_claimants (service_pool, job, &progress);
  fb_codec_clear_progress (&progress, &suspects);
}

const char *
fb_owner_claimant_here (const FbServicePool *service_pool, const char *job)
{
  const FbDisclaimed *disclaimed = g_hash_table_lookup (service_pool->disclaimed, job);
  for (guint i = 0; disclaimed != NULL && i < disclaimed->claimants->len; i++)
    {
      const char *claimant = disclaimed->claimants->pdata[i];
      const FbServicePool *other
          = g_hash_table_lookup (service_pool->owner->service_pools, claimant);
      if (other == NULL || !g_hash_table_contains (other->disclaimed, job))
        return claimant;
    }
  return NULL;
}

/* Returns: TRUE when there was one to remove. */
static gboolean
remove_claimant (FbDisclaimed *disclaimed, const char *claimant)
{
  guint at = 0;
  guint n = disclaimed->claimants->len;
  if (claimant == NULL)
    g_ptr_array_set_size (disclaimed->claimants, 0);
  else if (g_ptr_array_find_with_equal_func (disclaimed->claimants, claimant, g_str_equal, &at))
    g_ptr_array_remove_index (disclaimed->claimants, at);
  return disclaimed->claimants->len < n;
}

void
fb_owner_forget_claimant (FbOwner *self, const char *job, const char *claimant)
{
  g_autoptr (GByteArray) records = g_byte_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->service_pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const FbServicePool *service_pool = value;
      FbDisclaimed *disclaimed = g_hash_table_lookup (service_pool->disclaimed, job);
      if (disclaimed != NULL && remove_claimant (disclaimed, claimant))
        encode_record (records, service_pool->service, job, disclaimed);
    }
  if (records->len > 0)
    fb_appender_put (self->appender, g_steal_pointer (&records), 0, fb_owner_ignore_stored, NULL);
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

/* TRUE when it is stored that the pool never runs JOB, and that CLAIMANT, if there is one, may. */
static gboolean
is_disclaimed (const FbServicePool *service_pool, const char *job, const char *claimant)
{
  const FbDisclaimed *disclaimed = g_hash_table_lookup (service_pool->disclaimed, job);
  return disclaimed != NULL && (claimant == NULL || has_claimant (disclaimed, claimant));
}

static gboolean
has_job (const FbOwner *self, const FbServicePool *service_pool, const char *job)
{
  fb_work_state state;
  return fb_pool_job_state (service_pool->pool, job, &state)
         || fb_owner_holds_job_for (self, job, service_pool->service);
}

/* A repeated submission to another service of the partition replaces the record of a job.  If the
 * owner ends before it has stored the record again, the next one has only the other service's,
 * although the workers of this one run the job.
 * Returns: FALSE while that cannot be told of each job of REQUEST. */
static gboolean
return_running_jobs (FbOwner *self, const FbServicePool *service_pool,
                     const fb_claim_request *request)
{
  const FbPool *pool = service_pool->pool;
  gboolean lists_unknown = fb_pool_lists_unknown_runs (pool);
  gboolean has_found_all = fb_pool_has_found_all_runs (pool, fb_clock_ms ());
  gboolean is_known = TRUE;
  if (g_hash_table_size (self->service_pools) == 1 || (has_found_all && !lists_unknown))
    return TRUE;
  for (u_int i = 0; i < request->jobs.jobs_len; i++)
    {
      const char *job = request->jobs.jobs_val[i].job;
      if (has_job (self, service_pool, job) || is_disclaimed (service_pool, job, NULL))
        continue;
      /* Runs of a job that nobody has are stopped, unless the pool waits for a loaded job. */
      if (lists_unknown && fb_pool_lists_run_of (pool, job))
        is_known = (fb_owner_return_held_job (self, job, service_pool->service)
                    || fb_owner_holds_loaded_jobs (self))
                   && is_known;
      else
        is_known = (has_found_all || !fb_owner_is_job_loaded (self, job)) && is_known;
    }
  return is_known;
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
  if (!return_running_jobs (self, service_pool, request))
    {
      done (user, &unavailable);
      return;
    }
  const char *claimant_here
      = fb_entry_partition_of (self->entry, request->claimant) == self->partition
            ? request->claimant
            : NULL;
  FbDisclaimer *disclaimer = g_new0 (FbDisclaimer, 1);
  disclaimer->owner = self;
  disclaimer->refused = g_ptr_array_new_with_free_func (g_free);
  disclaimer->done = done;
  disclaimer->user = user;
  uint64_t wall_ms = fb_clock_wall_ms ();
  GByteArray *records = g_byte_array_new ();
  /* What is being stored may not be stored yet, so it is stored once more. */
  gboolean is_storing = self->open_disclaimers->len > 0;
  for (u_int i = 0; i < request->jobs.jobs_len; i++)
    {
      const char *job = request->jobs.jobs_val[i].job;
      if (has_job (self, service_pool, job))
        g_ptr_array_add (disclaimer->refused, g_strdup (job));
      else if (is_storing || !is_disclaimed (service_pool, job, claimant_here))
        encode_record (records, request->service, job,
                       put_disclaimed (service_pool, job, claimant_here, wall_ms));
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
      gpointer disclaimed;
      g_hash_table_iter_init (&jobs, service_pool->disclaimed);
      while (g_hash_table_iter_next (&jobs, &job, &disclaimed))
        {
          if (wall_ms <= ((const FbDisclaimed *) disclaimed)->at_ms + DISCLAIMER_RETENTION_MS)
            continue;
          g_autofree char *key = disclaimer_key (service_pool->service, job);
          fb_wire_encode_record (records, key, NULL);
          g_hash_table_iter_remove (&jobs);
        }
    }
  if (records->len > 0)
    fb_appender_put (self->appender, g_steal_pointer (&records), 0, fb_owner_ignore_stored, NULL);
}
