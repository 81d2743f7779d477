/* Owner of one partition: runs the pools of the partition's services, stores their progress, and
 * checks that its ownership is still valid. */
#include "owner-private.h"

#include "fb-event.h"
#include "fb-histogram.h"

#include <stdlib.h>
#include <string.h>

#define WRITER "owner"
/* Delay within which events are combined into one tick. */
#define TICK_DELAY_MS 4
#define TICK_INTERVAL_MS 25
/* MAJORITY_MAX_AGE_MS: maximum age of the answers by a majority of the workers that confirm the
 * ownership. UNCONFIRMED_MAX_MS: time without any confirmation after which an owner steps down. */
#define MAJORITY_MAX_AGE_MS 1500
#define UNCONFIRMED_MAX_MS 2000
/* WITHOUT_STORE_MAX_MS: time since the store last confirmed the ownership for which a majority of
 * the workers alone confirms it. ASK_WITNESSES_AFTER_MS: after which other daemons are asked. */
#define WITHOUT_STORE_MAX_MS 3500
#define ASK_WITNESSES_AFTER_MS 2000
/* Time after a confirmation for which leases are extended. With MAJORITY_MAX_AGE_MS it is no longer
 * than FB_POOL_STEP_DOWN_MS, by which the next owner bounds the last lease. */
#define CONFIRMED_FOR_MS 500
/* A successor leaves workers out of its majority, and then waits, for longer than an owner without
 * the store extends leases. */
G_STATIC_ASSERT (WITHOUT_STORE_MAX_MS + CONFIRMED_FOR_MS
                 < FB_POOL_UNLISTED_COUNTED_MS + FB_POOL_STEP_DOWN_MS);
/* Part of an append that the record of silent workers may take; the record of 17,000 workers, which
 * is in the same append, takes half of 2 MB. */
#define SILENCE_BYTES_DIVISOR 3
/* Part of an append that the record of workers may take with the steps on draining ones. */
#define WORKERS_BYTES_SHARE(bytes) ((bytes) / 16 * 9)
/* Part of an append that one job's record may take.  The rest is for the headers and keys of its
 * parts. */
#define PROGRESS_BYTES_SHARE(bytes) ((bytes) / 16 * 15)
/* Interval at which records of ended jobs are deleted in a batch. */
#define DELETE_INTERVAL_MS 1000
/* Time between two ticks that only a suspended process needs, and the time for which it then waits
 * for a newer configuration at most. */
#define SUSPENDED_MS 1000
#define CONFIG_WAIT_MS 500
/* Maximum age of the list of jobs by which the owner answers that a job does not exist. */
#define JOBS_MAX_AGE_MS 1500

/* ---- pools --------------------------------------------------------------------- */

static void
service_pool_free (gpointer data)
{
  FbServicePool *service_pool = data;
  fb_pool_free (service_pool->pool);
  fb_account_parts_free (service_pool->parts);
  fb_admission_control_free (service_pool->admission);
  g_hash_table_unref (service_pool->disclaimed);
  g_free (service_pool->service);
  g_free (service_pool);
}

static void
add_listed_workers (const FbServicePool *service_pool)
{
  const FbWorkerList *workers = service_pool->owner->entry->workers;
  g_autoptr (GList) ids = fb_worker_list_ids (workers);
  for (const GList *l = ids; l != NULL; l = l->next)
    {
      const FbListedWorker *worker = fb_worker_list_by_id (workers, l->data);
      if (g_str_equal (worker->service, service_pool->service))
        fb_pool_worker_listed (service_pool->pool, &worker->entry, fb_clock_ms ());
    }
}

FbServicePool *
fb_owner_pool_for (FbOwner *self, const char *service)
{
  FbServicePool *service_pool = g_hash_table_lookup (self->service_pools, service);
  if (service_pool != NULL)
    return service_pool;
  const FbEntrySettings *settings = self->entry->settings;
  const FbPoolLimits limits
      = { .max_lease_ms = (uint32_t) settings->max_lease_ms,
          .max_stop_ms = (uint32_t) settings->max_stop_ms,
          .gang_wait_ms = (uint32_t) settings->gang_wait_ms,
          .max_isolated_crashes = (uint32_t) settings->max_isolated_crashes,
          .max_shared_crashes = (uint32_t) settings->max_shared_crashes,
          .max_progress_bytes = (uint32_t) PROGRESS_BYTES_SHARE (settings->append_max_bytes),
          .max_workers_bytes = (uint32_t) WORKERS_BYTES_SHARE (settings->append_max_bytes),
          .max_silence_bytes = (uint32_t) (settings->append_max_bytes / SILENCE_BYTES_DIVISOR),
          .caps_are_divided = TRUE };
  service_pool = g_new0 (FbServicePool, 1);
  service_pool->owner = self;
  service_pool->service = g_strdup (service);
  service_pool->pool = fb_pool_new (service, self->epoch, &limits, &fb_owner_pool_callbacks,
                                    service_pool, fb_clock_ms ());
  fb_pool_set_idle_daemons (service_pool->pool, fb_owner_idle_daemons);
  service_pool->parts = fb_account_parts_new (service, self->epoch);
  service_pool->admission = fb_admission_control_new ();
  service_pool->disclaimed = fb_owner_disclaimed_new ();
  g_hash_table_insert (self->service_pools, service_pool->service, service_pool);
  add_listed_workers (service_pool);
  if (self->workers_known)
    fb_pool_workers_complete (service_pool->pool);
  return service_pool;
}

/* ---- durability ------------------------------------------------------------------ */

/* Callers' records that are being deleted. */
typedef struct
{
  FbEntryDaemon *entry;
  uint32_t partition;
  uint64_t epoch;
  GPtrArray *keys; /* of char * */
} Deletion;

/* A record that is left would be taken for a new job once the end of its job has expired. */
static void
on_records_deleted (gpointer user, FbAppendResult result)
{
  Deletion *deletion = user;
  FbOwner *self = fb_entry_owner (deletion->entry, deletion->partition);
  gboolean is_again = result != FB_APPEND_STORED && result != FB_APPEND_INVALID && self != NULL
                      && self->epoch == deletion->epoch;
  if (is_again)
    g_ptr_array_extend_and_steal (self->stale_keys, g_steal_pointer (&deletion->keys));
  g_clear_pointer (&deletion->keys, g_ptr_array_unref);
  g_free (deletion);
}

/* Deletes the admission and the cancel of each job whose end is stored, and keeps only the end,
 * which has a tenth of the bytes.  Otherwise, after minutes of work, the successor of an owner
 * reads every ended job with its full specification and places nothing meanwhile: 0.35 to 0.49 s
 * with 2,200 jobs, on a quarter of a core.  Records are deleted in batches because each append is a
 * call of the store. */
static void
delete_stale_records (FbOwner *self, uint64_t now_ms)
{
  if (self->stale_keys->len == 0 || now_ms < self->deleted_ms + DELETE_INTERVAL_MS)
    return;
  self->deleted_ms = now_ms;
  Deletion *deletion = g_new0 (Deletion, 1);
  deletion->entry = self->entry;
  deletion->partition = self->partition;
  deletion->epoch = self->epoch;
  deletion->keys = g_steal_pointer (&self->stale_keys);
  self->stale_keys = g_ptr_array_new_with_free_func (g_free);
  GByteArray *body = g_byte_array_new ();
  for (guint i = 0; i < deletion->keys->len; i++)
    fb_wire_encode_record (body, deletion->keys->pdata[i], NULL);
  fb_appender_put (fb_entry_appender (self->entry, self->partition), body, 0, on_records_deleted,
                   deletion);
}

/* ---- periodic tick ---------------------------------------------------------------- */

/* A majority of the workers excludes a successor only while both count the same workers, and the
 * successor leaves out those whose entries have expired. So the owner goes on for longer only in an
 * outage, during which there are no successors. */
static gboolean
may_own_without_store (const FbOwner *self, uint64_t now_ms)
{
  FbStoreWitnesses *witnesses = self->entry->store_witnesses;
  if (now_ms > self->member_ms + ASK_WITNESSES_AFTER_MS)
    fb_store_witnesses_ask (witnesses, now_ms);
  return now_ms <= self->member_ms + WITHOUT_STORE_MAX_MS
         || fb_store_witnesses_report_outage (witnesses, now_ms);
}

gboolean
fb_owner_confirm (FbOwner *self, const FbServicePool *service_pool, uint64_t now_ms)
{
  if (fb_group_is_member (self->entry->group, now_ms))
    self->member_ms = now_ms;
  else if (!may_own_without_store (self, now_ms)
           || !fb_pool_has_majority (service_pool->pool, MAJORITY_MAX_AGE_MS, now_ms))
    return FALSE;
  self->confirmed_ms = now_ms;
  return TRUE;
}

/* Accepts the worker list only if it was read after the previous owner was fenced.  A daemon that
 * was partitioned from the store and takes over a pool after reconnecting may have a list from
 * before the partition that lacks a worker used by the previous owner; the tasks on that worker
 * would be started a second time. */
static void
check_worker_list (FbOwner *self)
{
  const FbTopicReader *list = self->entry->worker_reader;
  if (self->workers_known || fb_topic_reader_synced_ms (list) <= self->fenced_ms)
    return;
  self->workers_known = TRUE;
  fb_histogram_add (FB_HISTOGRAM_TAKE_OVER, fb_clock_ms () - self->takeover_began_ms);
  GHashTableIter iter;
  gpointer service_pool;
  g_hash_table_iter_init (&iter, self->service_pools);
  while (g_hash_table_iter_next (&iter, NULL, &service_pool))
    fb_pool_workers_complete (((FbServicePool *) service_pool)->pool);
}

/* A process that was suspended may have missed a configuration that lowers the cap of an account.
 * Returns: TRUE until the configuration was read again. */
static gboolean
awaits_configuration (FbOwner *self, uint64_t now_ms)
{
  if (self->ticked_ms != 0 && now_ms > self->ticked_ms + SUSPENDED_MS)
    self->woken_ms = now_ms;
  self->ticked_ms = now_ms;
  return self->woken_ms != 0 && now_ms < self->woken_ms + CONFIG_WAIT_MS
         && fb_topic_reader_synced_ms (self->entry->config_reader) < self->woken_ms;
}

/* Confirms the ownership of each pool, or steps down if it has not been confirmed for long. */
static void
confirm_pools (FbOwner *self, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->service_pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbServicePool *service_pool = value;
      service_pool->is_confirmed = fb_owner_confirm (self, service_pool, now_ms);
      if (service_pool->is_confirmed)
        fb_pool_set_leases_until (service_pool->pool, now_ms + CONFIRMED_FOR_MS);
    }
  if (self->loaded && now_ms > self->confirmed_ms + UNCONFIRMED_MAX_MS)
    fb_owner_step_down (self,
                        "neither the store confirms the ownership, nor a majority of the workers "
                        "during an outage that other daemons report");
}

static void
run_tick (FbOwner *self)
{
  uint64_t now_ms = fb_clock_ms ();
  confirm_pools (self, now_ms);
  if (self->stepped_down)
    return;
  gboolean may_act = !self->quiesced && !awaits_configuration (self, now_ms);
  check_worker_list (self);
  fb_owner_claim_held_jobs (self, now_ms);
  fb_owner_check_kept_cancels (self, may_act && fb_group_is_member (self->entry->group, now_ms),
                               now_ms);
  fb_owner_expire_disclaimers (self, now_ms);
  gboolean jobs_complete = !fb_owner_holds_loaded_jobs (self);
  if (jobs_complete)
    fb_owner_request_starts (self, now_ms);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->service_pools);
  while (!self->stepped_down && g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbServicePool *service_pool = value;
      gboolean may_start = service_pool->is_confirmed && may_act;
      if (jobs_complete)
        fb_pool_jobs_complete (service_pool->pool, fb_topic_reader_synced_ms (self->job_reader));
      fb_owner_exchange_account_parts (service_pool, now_ms);
      fb_pool_tick (service_pool->pool, may_start, now_ms, fb_clock_wall_ms ());
      if (may_start)
        fb_owner_watch_load (service_pool, now_ms);
      fb_owner_flush (service_pool);
      fb_owner_back_up_suspects (service_pool);
    }
  delete_stale_records (self, now_ms);
}

static gboolean
on_tick_due (gpointer data)
{
  FbOwner *self = data;
  self->tick_source = 0;
  if (self->loaded && !self->stepped_down)
    run_tick (self);
  return G_SOURCE_REMOVE;
}

void
fb_owner_schedule_tick (FbOwner *self)
{
  if (self->tick_source == 0)
    self->tick_source = g_timeout_add (TICK_DELAY_MS, on_tick_due, self);
}

static void
on_tick (gpointer data, uint64_t now_ms)
{
  (void) now_ms;
  FbOwner *self = data;
  if (self->loaded && !self->stepped_down)
    run_tick (self);
}

/* ---- construction -------------------------------------------------------------------- */

FbOwner *
fb_owner_new (FbEntryDaemon *entry, uint32_t partition, uint64_t epoch)
{
  FbOwner *self = g_new0 (FbOwner, 1);
  self->entry = entry;
  self->partition = partition;
  self->epoch = epoch;
  self->takeover_began_ms = fb_clock_ms ();
  self->progress
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  self->admissions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  self->cancelled
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  self->service_pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_pool_free);
  self->held_jobs = fb_owner_held_jobs_new ();
  self->kept_cancels = fb_owner_kept_cancels_new ();
  self->open_disclaimers = g_ptr_array_new ();
  self->stale_keys = g_ptr_array_new_with_free_func (g_free);
  self->parts_n = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  self->import_sources = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->appender = fb_appender_new (entry, FB_TOPIC_PROGRESS, partition, WRITER, epoch);
  self->tick_timer = fb_timer_subscribe (entry->timer, TICK_INTERVAL_MS, on_tick, self);
  fb_appender_put (self->appender, g_byte_array_new (), 0, fb_owner_previous_writer_fenced, self);
  return self;
}

void
fb_owner_free (FbOwner *self)
{
  fb_timer_unsubscribe (self->entry->timer, self->tick_timer);
  if (self->tick_source != 0)
    g_source_remove (self->tick_source);
  if (self->load_source != 0)
    g_source_remove (self->load_source);
  fb_owner_abandon_disclaimers (self);
  fb_appender_free (self->appender);
  fb_topic_reader_free (self->progress_reader);
  fb_topic_reader_free (self->job_reader);
  g_ptr_array_unref (self->stale_keys);
  g_hash_table_unref (self->parts_n);
  g_hash_table_unref (self->import_sources);
  g_hash_table_unref (self->service_pools);
  g_hash_table_unref (self->held_jobs);
  g_hash_table_unref (self->kept_cancels);
  g_ptr_array_unref (self->open_disclaimers);
  g_hash_table_unref (self->admissions);
  g_hash_table_unref (self->progress);
  g_hash_table_unref (self->cancelled);
  g_free (self);
}

uint64_t
fb_owner_owned_ms (const FbOwner *self)
{
  return fb_clock_ms () - self->takeover_began_ms;
}

uint64_t
fb_owner_epoch (const FbOwner *self)
{
  return self->epoch;
}

uint64_t
fb_owner_confirmed_ms_ago (const FbOwner *self)
{
  return self->confirmed_ms != 0 ? fb_clock_ms () - self->confirmed_ms : 0;
}

gboolean
fb_owner_has_stepped_down (const FbOwner *self)
{
  return self->stepped_down;
}

/* ---- events of the daemon -------------------------------------------------------------- */

void
fb_owner_create_configured_pools (FbOwner *self)
{
  const FbRoutes *routes = self->entry->routes;
  for (guint i = 0; routes != NULL && i < routes->services->len; i++)
    {
      if (fb_entry_partition_of (self->entry, routes->services->pdata[i]) == self->partition)
        fb_owner_pool_for (self, routes->services->pdata[i]);
    }
}

/* Lists the services of this partition for the queues that are directed to them, so that other
 * services know where jobs may be before there are any. */
static void
list_queues (FbOwner *self)
{
  const FbRoutes *routes = self->entry->routes;
  for (guint i = 0; i < routes->routes->len; i++)
    {
      const fb_work_policy *policy = &((FbRoute *) routes->routes->pdata[i])->policy;
      if (fb_entry_partition_of (self->entry, policy->service) == self->partition)
        fb_queue_directory_add (fb_entry_queue_directory (self->entry), policy->queue,
                                policy->service);
    }
}

void
fb_owner_store_routes (FbOwner *self)
{
  if (self->loaded && self->entry->routes != NULL)
    fb_route_directory_store (self->entry->route_directory, self->entry->routes, self->partition);
}

void
fb_owner_routes_changed (FbOwner *self)
{
  const FbRoutes *routes = self->entry->routes;
  if (!self->loaded || routes == NULL)
    return;
  fb_owner_create_configured_pools (self);
  list_queues (self);
  fb_owner_store_routes (self);
  g_autoptr (GHashTable) policies = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < routes->routes->len; i++)
    {
      fb_work_policy *policy = &((FbRoute *) routes->routes->pdata[i])->policy;
      g_hash_table_insert (policies, policy->queue, policy);
    }
  fb_owner_set_held_policies (self, policies);
  GHashTableIter iter;
  gpointer service_pool;
  g_hash_table_iter_init (&iter, self->service_pools);
  while (g_hash_table_iter_next (&iter, NULL, &service_pool))
    {
      fb_pool_set_policies (((FbServicePool *) service_pool)->pool, policies);
      fb_account_parts_set_services (((FbServicePool *) service_pool)->parts, routes->services);
      if (routes->accounts != NULL)
        fb_pool_set_accounts (((FbServicePool *) service_pool)->pool,
                              fb_accounts_by_name (routes->accounts));
    }
}

void
fb_owner_worker_listed (FbOwner *self, const FbListedWorker *worker)
{
  FbServicePool *service_pool = g_hash_table_lookup (self->service_pools, worker->service);
  if (service_pool == NULL)
    return;
  fb_pool_worker_listed (service_pool->pool, &worker->entry, fb_clock_ms ());
  fb_owner_schedule_tick (self);
}

void
fb_owner_worker_unlisted (FbOwner *self, const FbListedWorker *worker)
{
  FbServicePool *service_pool = g_hash_table_lookup (self->service_pools, worker->service);
  if (service_pool != NULL)
    fb_pool_worker_unlisted (service_pool->pool, worker->entry.id, fb_clock_ms ());
}

void
fb_owner_advised (FbOwner *self, const char *step, const char *const *requested, guint n,
                  const fb_advice_reply *peer_reply)
{
  GHashTableIter iter;
  gpointer service_pool;
  g_hash_table_iter_init (&iter, self->service_pools);
  while (g_hash_table_iter_next (&iter, NULL, &service_pool))
    fb_pool_advice_answered (((FbServicePool *) service_pool)->pool, step, requested, n, peer_reply,
                             fb_clock_ms ());
  fb_owner_schedule_tick (self);
}

void
fb_owner_quiesce (FbOwner *self)
{
  self->quiesced = TRUE;
}

gboolean
fb_owner_is_flushed (const FbOwner *self)
{
  return self->quiesced && self->open_flushes == 0;
}

/* ---- queries ------------------------------------------------------------------------------ */

/* Answers a caller of ACCOUNT.  A job of another account is treated as one that does not exist.
 * READ_AFTER_MS: that there is no such job is answered from a read of the jobs that began later
 * than this.  Returns: FALSE when there was none. */
static gboolean
answer_job_state (FbOwner *self, const char *service, const char *job, const char *account,
                  uint64_t read_after_ms, fb_peer_reply *peer_reply)
{
  const FbServicePool *service_pool = g_hash_table_lookup (self->service_pools, service);
  fb_work_state state = FB_WORK_QUEUED;
  if (fb_owner_held_job (self, job) != NULL)
    return TRUE; /* it is not certain yet that the job is not in another pool */
  if (service_pool != NULL && fb_pool_job_state (service_pool->pool, job, &state)
      && fb_pool_job_is_visible (service_pool->pool, job, account))
    {
      peer_reply->type = FB_REPLY_JOB_STATE;
      peer_reply->fb_peer_reply_u.state = state;
      return TRUE;
    }
  if (fb_topic_reader_synced_ms (self->job_reader) <= read_after_ms)
    return FALSE;
  peer_reply->type = FB_REPLY_NO_SUCH_JOB;
  return TRUE;
}

/* Returns: the time AGE_MS ago. */
static uint64_t
time_before (uint64_t age_ms)
{
  uint64_t now_ms = fb_clock_ms ();
  return now_ms > age_ms ? now_ms - age_ms : 0;
}

static void
answer_current_job_state (FbOwner *self, const fb_current_job_state_request *current,
                          fb_peer_reply *peer_reply)
{
  if (answer_job_state (self, current->job.service, current->job.job, current->job.account,
                        time_before (current->age_ms), peer_reply))
    return;
  fb_topic_reader_check (self->job_reader);
  peer_reply->type = FB_REPLY_JOBS_NOT_READ;
}

/* Sets the reply to the services of QUEUE other than SERVICE. */
static void
fill_services (FbOwner *self, const char *queue, const char *service,
               fb_queue_services_reply *reply)
{
  const GPtrArray *services
      = fb_queue_directory_services (fb_entry_queue_directory (self->entry), queue);
  guint max_n = services != NULL ? MIN (services->len, FB_WORK_MAX_SERVICES) : 0;
  reply->services.services_val = calloc (max_n + 1, sizeof (fb_service_name));
  for (guint i = 0; i < max_n; i++)
    {
      const char *other = ((const FbQueueService *) services->pdata[i])->service;
      if (!g_str_equal (other, service))
        reply->services.services_val[reply->services.services_len++].service = strdup (other);
    }
}

/* Answers how many jobs of a queue are pending here, and which other services may have some. */
static void
answer_queue (FbOwner *self, const fb_peer_request *peer_request, fb_peer_reply *peer_reply)
{
  const fb_pending_request *queue = &peer_request->fb_peer_request_u.queue;
  if (!fb_queue_directory_is_known (fb_entry_queue_directory (self->entry)))
    return;
  const FbServicePool *service_pool = g_hash_table_lookup (self->service_pools, queue->service);
  fb_queue_services_reply *reply = &peer_reply->fb_peer_reply_u.services;
  guint pending = fb_owner_held_jobs_n (self, queue->service, queue->queue);
  pending += service_pool != NULL ? fb_pool_pending_jobs_n (service_pool->pool, queue->queue) : 0;
  *reply = (fb_queue_services_reply){ .pending = pending };
  peer_reply->type = FB_REPLY_QUEUE_SERVICES;
  fill_services (self, queue->queue, queue->service, reply);
  if (peer_request->type == FB_REQUEST_QUEUE_SERVICES || reply->services.services_len > 0)
    return;
  xdr_free ((xdrproc_t) xdr_fb_queue_services_reply, (char *) reply);
  peer_reply->type = FB_REPLY_PENDING_COUNT;
  peer_reply->fb_peer_reply_u.pending = pending;
}

void
fb_owner_answer (FbOwner *self, const fb_peer_request *peer_request, fb_peer_reply *peer_reply)
{
  peer_reply->type = FB_REPLY_UNAVAILABLE;
  if (!self->loaded || self->stepped_down)
    return;
  const fb_job_state_request *job = &peer_request->fb_peer_request_u.job;
  const fb_account_job_state_request *account_job = &peer_request->fb_peer_request_u.account_job;
  if (peer_request->type == FB_REQUEST_JOB_STATE)
    (void) answer_job_state (self, job->service, job->job, "", time_before (JOBS_MAX_AGE_MS),
                             peer_reply);
  else if (peer_request->type == FB_REQUEST_ACCOUNT_JOB_STATE)
    (void) answer_job_state (self, account_job->service, account_job->job, account_job->account,
                             time_before (JOBS_MAX_AGE_MS), peer_reply);
  else if (peer_request->type == FB_REQUEST_CURRENT_JOB_STATE)
    answer_current_job_state (self, &peer_request->fb_peer_request_u.current_job, peer_reply);
  else if (peer_request->type == FB_REQUEST_ACCOUNT_PARTS)
    fb_owner_answer_account_parts (self, &peer_request->fb_peer_request_u.parts, peer_reply);
  else if (peer_request->type == FB_REQUEST_ADMISSION)
    fb_owner_answer_admission (self, &peer_request->fb_peer_request_u.admission, peer_reply);
  else if (peer_request->type == FB_REQUEST_PENDING_COUNT
           || peer_request->type == FB_REQUEST_QUEUE_SERVICES)
    answer_queue (self, peer_request, peer_reply);
}
