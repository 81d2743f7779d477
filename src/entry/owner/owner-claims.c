/* Decides between the pools of several services that have the same job.
 *
 * When the operator directs a queue to another service, jobs that are stored already stay with the
 * service that they were stored with, and a caller's repeated submission is stored with the new
 * one.  The log orders the records of one partition only.  So the services of a queue are ordered
 * by the queue directory, and a pool runs a job only if every service before its own in that order
 * has disclaimed the job: it has no such job, and has stored that it will never run it.  The pool
 * of the first service asks nobody.  At any time at most one pool can be past this check, whatever
 * the configurations in force and however late a record arrives.
 *
 * Jobs that wait for it are held here, outside of their pool.  Those that were loaded with the
 * partition may run already, for an earlier owner; until they are in the pool, it is not told that
 * its jobs are complete, so that it neither stops nor forgets runs that it does not know. */
#include "owner-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "internal/codec.h"

#include <stdlib.h>
#include <string.h>

#define CLAIM_TIMEOUT_MS 700
/* Pause after a claim that was not answered, as the owner of the other pool is being replaced. */
#define RETRY_MS 100
/* Jobs that one tick adds to pools, as many as one iteration of loading. */
#define ADMIT_PER_TICK 32

struct _FbHeldJob
{
  char *id;
  fb_work_admit record;
  GBytes *progress;   /* NULL: none was stored */
  GPtrArray *cancels; /* of GBytes, each of another account */
  gboolean is_loaded; /* it was stored when this owner took over */
  FbPoolReceipt receipt;
  guint disclaimed_n;  /* number of services before its own that have disclaimed it */
  gboolean is_claimed; /* a claim of it is open */
  uint64_t next_ms;    /* it is not claimed before */
};

/* An open claim of jobs from the pool of another service. */
typedef struct
{
  FbEntryDaemon *entry;
  uint32_t partition; /* of the claiming owner */
  uint64_t epoch;     /* of the claiming owner */
  char *service;      /* that is asked */
  char *claimant;
  GPtrArray *jobs; /* of char * */
} Claim;

/* ---- held jobs --------------------------------------------------------------------- */

static void
held_job_free (gpointer data)
{
  FbHeldJob *held = data;
  xdr_free ((xdrproc_t) xdr_fb_work_admit, (char *) &held->record);
  g_clear_pointer (&held->progress, g_bytes_unref);
  g_ptr_array_unref (held->cancels);
  g_free (held->id);
  g_free (held);
}

GHashTable *
fb_owner_held_jobs_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, NULL, held_job_free);
}

FbHeldJob *
fb_owner_held_job (const FbOwner *self, const char *job)
{
  return g_hash_table_lookup (self->held_jobs, job);
}

gboolean
fb_owner_holds_job_for (const FbOwner *self, const char *job, const char *service)
{
  const FbHeldJob *held = fb_owner_held_job (self, job);
  return held != NULL && g_str_equal (held->record.policy.service, service);
}

guint
fb_owner_held_jobs_n (const FbOwner *self, const char *service, const char *queue)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->held_jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const FbHeldJob *held = value;
      n += held->record.spec.occurrences == 0 && g_str_equal (held->record.policy.service, service)
           && g_str_equal (held->record.policy.queue, queue);
    }
  return n;
}

gboolean
fb_owner_holds_loaded_jobs (const FbOwner *self)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->held_jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (((const FbHeldJob *) value)->is_loaded)
        return TRUE;
    }
  return FALSE;
}

gboolean
fb_owner_is_job_loaded (const FbOwner *self, const char *job)
{
  const FbHeldJob *held = fb_owner_held_job (self, job);
  return held != NULL && held->is_loaded;
}

gboolean
fb_owner_is_job_held (gpointer service_pool, const char *job)
{
  return fb_owner_held_job (((const FbServicePool *) service_pool)->owner, job) != NULL;
}

void
fb_owner_hold_progress (FbHeldJob *held, GBytes *progress)
{
  g_clear_pointer (&held->progress, g_bytes_unref);
  held->progress = g_bytes_ref (progress);
}

void
fb_owner_hold_cancel (FbHeldJob *held, GBytes *cancel)
{
  if (!g_ptr_array_find_with_equal_func (held->cancels, cancel, g_bytes_equal, NULL))
    g_ptr_array_add (held->cancels, g_bytes_ref (cancel));
}

void
fb_owner_set_held_policies (FbOwner *self, GHashTable *policies)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->held_jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      fb_work_policy *current = &((FbHeldJob *) value)->record.policy;
      const fb_work_policy *policy = g_hash_table_lookup (policies, current->queue);
      if (policy != NULL)
        fb_pool_update_policy (current, policy);
    }
}

void
fb_owner_forget_held_job (FbOwner *self, const char *job)
{
  g_hash_table_remove (self->held_jobs, job);
}

/* RECORD (transfer full). */
static void
hold (FbOwner *self, const char *job, fb_work_admit *record)
{
  FbHeldJob *held = g_new0 (FbHeldJob, 1);
  held->id = g_strdup (job);
  held->record = *record;
  held->is_loaded = !self->loaded;
  held->receipt
      = fb_pool_make_receipt (fb_owner_pool_for (self, record->policy.service)->pool, record);
  held->cancels = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
  g_hash_table_replace (self->held_jobs, held->id, held);
  fb_event_log (FB_EVENT_JOB_HELD, "job=%s queue=%s service=%s", job, record->policy.queue,
                record->policy.service);
  fb_owner_apply_kept_cancel (self, job);
}

static void
add_to_pool (FbOwner *self, const char *job, fb_work_admit *record, const FbPoolReceipt *receipt)
{
  FbPool *pool = fb_owner_pool_for (self, record->policy.service)->pool;
  fb_pool_add_job_take (pool, job, record, receipt, fb_clock_ms (), fb_clock_wall_ms ());
  fb_owner_apply_kept_cancel (self, job);
}

/* Returns: (transfer full) (nullable): the record of JOB, which a pool of this partition has or
 * which is held for one. */
static GBytes *
encode_record (const FbOwner *self, const char *job)
{
  const FbHeldJob *held = fb_owner_held_job (self, job);
  if (held != NULL)
    return fb_codec_encode_admit (&held->record);
  GBytes *record = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->service_pools);
  while (record == NULL && g_hash_table_iter_next (&iter, NULL, &value))
    record = fb_pool_encode_admission (((FbServicePool *) value)->pool, job);
  return record;
}

/* Services that share this partition also share the keys of its records, so that a repeated
 * submission replaces the record of the job for the other service, which is stored again.
 * Returns: TRUE when this partition has JOB. */
static gboolean
restore_record (FbOwner *self, const char *job)
{
  g_autoptr (GBytes) record = encode_record (self, job);
  if (record == NULL)
    return FALSE;
  g_autofree char *key = g_strdup_printf ("%c%s", FB_KEY_JOB, job);
  fb_owner_store_record (self->entry, self->partition, key, record, fb_owner_ignore_stored, NULL);
  return TRUE;
}

/* Deletes the record of JOB, which another service runs: it would be taken for a new job once the
 * end of that one, or the disclaimer, has expired.  Its cancel stays for that service. */
static void
delete_record (FbOwner *self, const char *job)
{
  if (!restore_record (self, job))
    g_ptr_array_add (self->stale_keys, g_strdup_printf ("%c%s", FB_KEY_JOB, job));
}

static gboolean
is_in_pool (const FbOwner *self, const char *job)
{
  GHashTableIter iter;
  gpointer value;
  fb_work_state state;
  g_hash_table_iter_init (&iter, self->service_pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (fb_pool_job_state (((const FbServicePool *) value)->pool, job, &state))
        return TRUE;
    }
  return FALSE;
}

static void
set_service (const char *job, fb_work_admit *record, const char *service, const char *reason)
{
  fb_event_log (FB_EVENT_JOB_RETURNED, "job=%s queue=%s service=%s recorded=%s why=\"%s\"", job,
                record->policy.queue, service, record->policy.service, reason);
  char *previous = record->policy.service;
  record->policy.service = strdup (service);
  free (previous);
}

/* The service of RECORD, that of SERVICE_POOL, has disclaimed JOB.  If that was for another service
 * of the partition, the repeated submission has replaced the record of the job for that one. */
static void
admit_for_claimant (FbOwner *self, const FbServicePool *service_pool, const char *job,
                    fb_work_admit *record)
{
  const char *claimant = fb_owner_claimant_here (service_pool, job);
  if (claimant == NULL || is_in_pool (self, job))
    {
      delete_record (self, job);
      return;
    }
  set_service (job, record, claimant, "disclaimed");
  fb_owner_admit (self, job, record);
  (void) restore_record (self, job);
}

gboolean
fb_owner_return_held_job (FbOwner *self, const char *job, const char *service)
{
  FbHeldJob *held = g_hash_table_lookup (self->held_jobs, job);
  if (held == NULL)
    return FALSE;
  set_service (job, &held->record, service, "runs");
  held->receipt = (FbPoolReceipt){ 0 };
  held->disclaimed_n = 0;
  held->is_claimed = FALSE;
  held->next_ms = 0;
  (void) restore_record (self, job);
  fb_owner_schedule_tick (self);
  return TRUE;
}

void
fb_owner_admit (FbOwner *self, const char *job, fb_work_admit *record)
{
  const FbServicePool *service_pool = fb_owner_pool_for (self, record->policy.service);
  const FbHeldJob *held = fb_owner_held_job (self, job);
  fb_work_state state;
  if (fb_pool_job_state (service_pool->pool, job, &state))
    return;
  if (held != NULL)
    {
      if (!g_str_equal (held->record.policy.service, record->policy.service))
        (void) restore_record (self, job);
      return;
    }
  if (g_hash_table_contains (service_pool->disclaimed, job))
    {
      admit_for_claimant (self, service_pool, job, record);
      return;
    }
  if (fb_queue_directory_position (fb_entry_queue_directory (self->entry), record->policy.queue,
                                   record->policy.service)
      == 0)
    {
      const FbPoolReceipt receipt = fb_pool_make_receipt (service_pool->pool, record);
      add_to_pool (self, job, record, &receipt);
    }
  else
    {
      hold (self, job, record);
      *record = (fb_work_admit){ 0 };
    }
}

/* Every service before that of HELD has disclaimed the job. */
static void
release (FbOwner *self, FbHeldJob *held)
{
  fb_counter_add (FB_COUNTER_CLAIMS_GRANTED, held->disclaimed_n > 0);
  add_to_pool (self, held->id, &held->record, &held->receipt);
  g_hash_table_steal (self->held_jobs, held->id);
  if (held->progress != NULL)
    fb_owner_apply_progress (self, held->id, held->progress);
  for (guint i = 0; i < held->cancels->len; i++)
    fb_owner_apply_cancel (self, held->id, held->cancels->pdata[i]);
  held_job_free (held);
}

/* ---- claims ------------------------------------------------------------------------- */

static void
claim_free (Claim *claim)
{
  g_free (claim->service);
  g_free (claim->claimant);
  g_ptr_array_unref (claim->jobs);
  g_free (claim);
}

/* Cancels that are passed on, one after the other, to the pool that has the job. */
typedef struct
{
  FbEntryDaemon *entry;
  uint32_t partition;
  uint64_t epoch;
  char *job;
  char *service;
  guint n; /* number of the cancels that have been passed on, or are being */
} PassedCancels;

static void
passed_free (PassedCancels *passed)
{
  g_free (passed->job);
  g_free (passed->service);
  g_free (passed);
}

static void on_cancel_passed_on (gpointer data, FbAppendResult result);

/* Passes on the next cancel of HELD, or gives the job up after the last one.  Takes PASSED. */
static void
pass_on_next (FbOwner *self, FbHeldJob *held, PassedCancels *passed)
{
  if (passed->n < held->cancels->len)
    {
      g_autoptr (GBytes) cancel = g_bytes_ref (held->cancels->pdata[passed->n++]);
      fb_owner_pass_on_cancel (self, passed->job, cancel, passed->service, on_cancel_passed_on,
                               passed);
      return;
    }
  g_autoptr (GPtrArray) cancels = g_ptr_array_ref (held->cancels);
  fb_owner_forget_claimant (self, passed->job, held->record.policy.service);
  fb_owner_forget_held_job (self, passed->job);
  delete_record (self, passed->job);
  for (guint i = 0; i < cancels->len; i++)
    fb_owner_apply_stored_cancel (self, passed->job, cancels->pdata[i]);
  passed_free (passed);
}

static void
on_cancel_passed_on (gpointer data, FbAppendResult result)
{
  PassedCancels *passed = data;
  FbOwner *owner = fb_entry_owner (passed->entry, passed->partition);
  FbHeldJob *held = owner != NULL && owner->epoch == passed->epoch
                        ? fb_owner_held_job (owner, passed->job)
                        : NULL;
  if (held != NULL && result == FB_APPEND_STORED)
    {
      pass_on_next (owner, held, passed);
      return;
    }
  if (held != NULL)
    held->is_claimed = FALSE;
  passed_free (passed);
}

/* The pool of SERVICE has the job of HELD, which this owner gives up.  Cancels that were stored
 * with it are passed on first. */
static void
give_up (FbOwner *self, FbHeldJob *held, const char *service)
{
  fb_counter_add (FB_COUNTER_CLAIMS_REFUSED, 1);
  fb_event_log (FB_EVENT_JOB_ELSEWHERE, "job=%s queue=%s service=%s elsewhere=%s", held->id,
                held->record.policy.queue, held->record.policy.service, service);
  PassedCancels *passed = g_new0 (PassedCancels, 1);
  passed->entry = self->entry;
  passed->partition = self->partition;
  passed->epoch = self->epoch;
  passed->job = g_strdup (held->id);
  passed->service = g_strdup (service);
  held->is_claimed = TRUE;
  pass_on_next (self, held, passed);
}

static gboolean
is_refused (const fb_claims_reply *reply, const char *job)
{
  for (u_int i = 0; i < reply->refused.refused_len; i++)
    {
      if (g_str_equal (reply->refused.refused_val[i].job, job))
        return TRUE;
    }
  return FALSE;
}

static void
apply_claim_reply (FbOwner *self, const Claim *claim, const fb_claims_reply *reply)
{
  for (guint i = 0; i < claim->jobs->len; i++)
    {
      FbHeldJob *held = fb_owner_held_job (self, claim->jobs->pdata[i]);
      if (held == NULL || !held->is_claimed
          || !g_str_equal (held->record.policy.service, claim->claimant))
        continue;
      held->is_claimed = FALSE;
      if (reply == NULL)
        held->next_ms = fb_clock_ms () + RETRY_MS;
      else if (is_refused (reply, held->id))
        give_up (self, held, claim->service);
      else
        held->disclaimed_n++;
    }
  if (reply != NULL)
    fb_owner_schedule_tick (self);
  else if (fb_entry_owner (self->entry, fb_entry_partition_of (self->entry, claim->service))
           == NULL)
    fb_group_refresh_owners (self->entry->group);
}

static void
on_claim_reply (gpointer data, const fb_peer_reply *peer_reply)
{
  Claim *claim = data;
  FbOwner *owner = fb_entry_owner (claim->entry, claim->partition);
  if (owner != NULL && owner->epoch == claim->epoch && !owner->stepped_down)
    apply_claim_reply (owner, claim,
                       peer_reply != NULL && peer_reply->type == FB_REPLY_CLAIMS
                           ? &peer_reply->fb_peer_reply_u.claims
                           : NULL);
  claim_free (claim);
}

static void
send_claim (FbOwner *self, Claim *claim)
{
  static const fb_peer_reply unavailable = { .type = FB_REPLY_UNAVAILABLE };
  g_autofree fb_job_name *names = g_new0 (fb_job_name, claim->jobs->len);
  for (guint i = 0; i < claim->jobs->len; i++)
    names[i].job = claim->jobs->pdata[i];
  fb_peer_request peer_request = { .type = FB_REQUEST_CLAIM_JOBS };
  peer_request.fb_peer_request_u.claim
      = (fb_claim_request){ claim->service, claim->claimant, { claim->jobs->len, names } };
  uint32_t partition = fb_entry_partition_of (self->entry, claim->service);
  FbOwner *owner = fb_entry_owner (self->entry, partition);
  const char *address = fb_group_owner_of (self->entry->group, partition);
  if (owner != NULL)
    fb_owner_disclaim (owner, &peer_request.fb_peer_request_u.claim, on_claim_reply, claim);
  else if (address != NULL && !g_str_equal (address, self->entry->settings->peers))
    fb_peers_request (self->entry, address, &peer_request, CLAIM_TIMEOUT_MS, on_claim_reply, claim);
  else
    on_claim_reply (claim, &unavailable);
}

/* Adds HELD to the claim from SERVICE in CLAIMS.  The claims of one tick are few: one for each pair
 * of services. */
static void
add_to_claim (const FbOwner *self, GPtrArray *claims, FbHeldJob *held, const char *service)
{
  const char *claimant = held->record.policy.service;
  Claim *claim = NULL;
  for (guint i = 0; i < claims->len && claim == NULL; i++)
    {
      Claim *other = claims->pdata[i];
      if (g_str_equal (other->service, service) && g_str_equal (other->claimant, claimant))
        claim = other;
    }
  if (claim == NULL)
    {
      claim = g_new0 (Claim, 1);
      claim->entry = self->entry;
      claim->partition = self->partition;
      claim->epoch = self->epoch;
      claim->service = g_strdup (service);
      claim->claimant = g_strdup (claimant);
      claim->jobs = g_ptr_array_new_with_free_func (g_free);
      g_ptr_array_add (claims, claim);
    }
  if (claim->jobs->len >= FB_WORK_MAX_CLAIMS)
    return;
  g_ptr_array_add (claim->jobs, g_strdup (held->id));
  held->is_claimed = TRUE;
}

void
fb_owner_claim_held_jobs (FbOwner *self, uint64_t now_ms)
{
  if (g_hash_table_size (self->held_jobs) == 0)
    return;
  FbQueueDirectory *directory = fb_entry_queue_directory (self->entry);
  g_autoptr (GPtrArray) claims = g_ptr_array_new ();
  g_autoptr (GList) jobs = g_hash_table_get_values (self->held_jobs);
  guint released_n = 0;
  for (GList *l = jobs; l != NULL && released_n < ADMIT_PER_TICK; l = l->next)
    {
      FbHeldJob *held = l->data;
      if (held->is_claimed || now_ms < held->next_ms)
        continue;
      const fb_work_policy *policy = &held->record.policy;
      int position = fb_queue_directory_position (directory, policy->queue, policy->service);
      if (position < 0)
        fb_queue_directory_add (directory, policy->queue, policy->service);
      else if (held->disclaimed_n >= (guint) position)
        {
          release (self, held);
          released_n++;
        }
      else
        {
          const GPtrArray *services = fb_queue_directory_services (directory, policy->queue);
          add_to_claim (self, claims, held,
                        ((const FbQueueService *) services->pdata[held->disclaimed_n])->service);
        }
    }
  if (released_n == ADMIT_PER_TICK)
    fb_owner_schedule_tick (self);
  for (guint i = 0; i < claims->len; i++)
    send_claim (self, claims->pdata[i]);
}
