/* The owner of one partition: drives the pools of the partition's services, makes their
 * progress durable, and knows for how long it may. */
#include "owner-private.h"

#include "fb-event.h"
#include "fb-histogram.h"

#include <string.h>

#define WRITER "owner"
/* Events that come close together are handled in one go. */
#define KICK_MS 4
#define TICK_MS 25
/* Evidence that no other daemon owns the pools, and for how long an owner without
 * any keeps its state. */
#define MAJORITY_MS 1500
#define STEP_DOWN_MS 2000
/* Records of jobs that have ended are dropped together. */
#define DROP_EVERY_MS 1000
/* "No such job" needs a read of the jobs that is not older than this. */
#define FRESH_MS 1500

/* ---- pools --------------------------------------------------------------------- */

static void
part_free (gpointer data)
{
  FbOwnerPart *part = data;
  fb_pool_free (part->pool);
  g_free (part->service);
  g_free (part);
}

static void
list_known_workers (const FbOwnerPart *part)
{
  const FbWorkerList *workers = part->owner->entry->workers;
  g_autoptr (GList) ids = fb_worker_list_ids (workers);
  for (const GList *l = ids; l != NULL; l = l->next)
    {
      const FbListedWorker *worker = fb_worker_list_of (workers, l->data);
      if (g_str_equal (worker->service, part->service))
        fb_pool_worker_listed (part->pool, &worker->entry, fb_clock_ms ());
    }
}

FbOwnerPart *
fb_owner_part_for (FbOwner *self, const char *service)
{
  FbOwnerPart *part = g_hash_table_lookup (self->parts, service);
  if (part != NULL)
    return part;
  const FbEntrySettings *settings = self->entry->settings;
  const FbPoolLimits limits = { .max_lease_ms = (uint32_t) settings->max_lease_ms,
                                .max_stop_ms = (uint32_t) settings->max_stop_ms,
                                .gang_wait_ms = (uint32_t) settings->gang_wait_ms,
                                .max_isolated_crashes = (uint32_t) settings->max_isolated_crashes,
                                .max_shared_crashes = (uint32_t) settings->max_shared_crashes };
  part = g_new0 (FbOwnerPart, 1);
  part->owner = self;
  part->service = g_strdup (service);
  part->pool = fb_pool_new (service, self->epoch, &limits, &fb_owner_sink, part, fb_clock_ms ());
  g_hash_table_insert (self->parts, part->service, part);
  list_known_workers (part);
  if (self->workers_known)
    fb_pool_workers_complete (part->pool);
  return part;
}

/* ---- durability ------------------------------------------------------------------ */

typedef struct
{
  FbEntry *entry;
  uint32_t partition;
  uint64_t epoch;
  char *service;
  GPtrArray *ended; /* ids of jobs whose ends it stores */
} Flush;

static void
on_flushed (gpointer data, FbAppendResult result)
{
  Flush *flush = data;
  FbOwner *owner = fb_entry_owner (flush->entry, flush->partition);
  if (owner != NULL && owner->epoch == flush->epoch)
    {
      FbOwnerPart *part = g_hash_table_lookup (owner->parts, flush->service);
      owner->open_flushes--;
      if (result == FB_APPEND_STORED)
        g_ptr_array_extend_and_steal (owner->spent, g_steal_pointer (&flush->ended));
      if (result == FB_APPEND_STORED && part != NULL)
        fb_pool_flushed (part->pool, fb_clock_ms ());
      else if (result != FB_APPEND_STORED)
        fb_owner_lose (owner, "a later owner writes");
      fb_owner_kick (owner);
    }
  g_clear_pointer (&flush->ended, g_ptr_array_unref);
  g_free (flush->service);
  g_free (flush);
}

static void
nothing_to_do (gpointer user, FbAppendResult result)
{
  (void) user;
  (void) result; /* what stays is dropped when the job is forgotten */
}

/* Failure: an owner is replaced after minutes of work; its successor reads every job that has
 * ended since, each with what it was to run, and places nothing meanwhile: 0.35 to 0.49 s with
 * 2,200 jobs, on a quarter of a core.  Guard: once the end of a job is stored only the end is
 * kept, a tenth of the bytes.  Done in turns, as each append is a call of the store. */
static void
drop_spent_jobs (FbOwner *self, uint64_t now_ms)
{
  if (self->spent->len == 0 || now_ms < self->dropped_ms + DROP_EVERY_MS)
    return;
  self->dropped_ms = now_ms;
  GByteArray *body = g_byte_array_new ();
  for (guint i = 0; i < self->spent->len; i++)
    {
      const char *job = self->spent->pdata[i];
      g_autofree char *job_key = g_strdup_printf ("%c%s", FB_KEY_JOB, job);
      g_autofree char *cancel_key = g_strdup_printf ("%c%s", FB_KEY_CANCEL, job);
      fb_wire_encode_record (body, job_key, NULL);
      fb_wire_encode_record (body, cancel_key, NULL);
    }
  g_ptr_array_set_size (self->spent, 0);
  fb_appender_put (fb_entry_appender (self->entry, self->partition), body, 0, nothing_to_do, NULL);
}

static void
flush_part (FbOwnerPart *part)
{
  FbOwner *self = part->owner;
  g_autoptr (GPtrArray) records = fb_pool_flush (part->pool, fb_clock_ms (), fb_clock_wall_ms ());
  if (records == NULL)
    return;
  GByteArray *body = g_byte_array_new ();
  GPtrArray *ended = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < records->len; i++)
    {
      const FbPoolRecord *record = records->pdata[i];
      g_autofree char *workers_key = g_strconcat (FB_KEY_WORKERS, part->service, NULL);
      fb_wire_encode_record (body, record->job != NULL ? record->job : workers_key,
                             record->progress);
      if (record->progress == NULL || record->ended)
        g_ptr_array_add (ended, g_strdup (record->job));
    }
  Flush *flush = g_new0 (Flush, 1);
  flush->entry = self->entry;
  flush->partition = self->partition;
  flush->epoch = self->epoch;
  flush->service = g_strdup (part->service);
  flush->ended = ended;
  self->open_flushes++;
  fb_appender_put (self->appender, body, 0, on_flushed, flush);
}

/* ---- the round -------------------------------------------------------------------- */

static gboolean
is_sure (FbOwner *self, const FbOwnerPart *part, uint64_t now_ms)
{
  if (!fb_group_is_member (self->entry->group, now_ms)
      && !fb_pool_holds_majority (part->pool, MAJORITY_MS, now_ms))
    return FALSE;
  self->authority_ms = now_ms;
  return TRUE;
}

/* Failure: the daemon was cut off from the store, came back and took over; its list of
 * workers is as old as the cut and lacks one that the owner before has used.  It
 * shows as a second run of what runs there.  Guard: only a list that was read after
 * the owner before was shut out counts. */
static void
check_worker_list (FbOwner *self)
{
  const FbTopicReader *list = self->entry->worker_reader;
  if (self->workers_known || fb_topic_reader_fresh_ms (list) <= self->fenced_ms)
    return;
  self->workers_known = TRUE;
  fb_histogram_add (FB_HISTOGRAM_TAKE_OVER, fb_clock_ms () - self->began_ms);
  GHashTableIter iter;
  gpointer part;
  g_hash_table_iter_init (&iter, self->parts);
  while (g_hash_table_iter_next (&iter, NULL, &part))
    fb_pool_workers_complete (((FbOwnerPart *) part)->pool);
}

static void
round_of (FbOwner *self)
{
  uint64_t now_ms = fb_clock_ms ();
  check_worker_list (self);
  fb_owner_recall_starts (self, now_ms);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->parts);
  while (!self->lost && g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbOwnerPart *part = value;
      gboolean may_start = is_sure (self, part, now_ms) && !self->quiet;
      fb_pool_jobs_read (part->pool, fb_topic_reader_fresh_ms (self->job_reader));
      fb_pool_tick (part->pool, may_start, now_ms, fb_clock_wall_ms ());
      flush_part (part);
      fb_owner_hand_unstored (part);
    }
  drop_spent_jobs (self, now_ms);
  if (self->loaded && now_ms > self->authority_ms + STEP_DOWN_MS)
    fb_owner_lose (self, "neither the store nor the workers say that it still owns it");
}

static gboolean
on_kick (gpointer data)
{
  FbOwner *self = data;
  self->kick = 0;
  if (self->loaded && !self->lost)
    round_of (self);
  return G_SOURCE_REMOVE;
}

void
fb_owner_kick (FbOwner *self)
{
  if (self->kick == 0)
    self->kick = g_timeout_add (KICK_MS, on_kick, self);
}

static void
on_tick (gpointer data, uint64_t now_ms)
{
  (void) now_ms;
  FbOwner *self = data;
  if (self->loaded && !self->lost)
    round_of (self);
}

/* ---- life --------------------------------------------------------------------------- */

FbOwner *
fb_owner_new (FbEntry *entry, uint32_t partition, uint64_t epoch)
{
  FbOwner *self = g_new0 (FbOwner, 1);
  self->entry = entry;
  self->partition = partition;
  self->epoch = epoch;
  self->began_ms = fb_clock_ms ();
  self->progress
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  self->loading
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  self->cancelled
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  self->parts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, part_free);
  self->spent = g_ptr_array_new_with_free_func (g_free);
  self->appender = fb_appender_new (entry, FB_TOPIC_PROGRESS, partition, WRITER, epoch);
  self->tick = fb_timer_subscribe (entry->timer, TICK_MS, on_tick, self);
  fb_appender_put (self->appender, g_byte_array_new (), 0, fb_owner_writer_shut_out, self);
  return self;
}

void
fb_owner_free (FbOwner *self)
{
  fb_timer_unsubscribe (self->entry->timer, self->tick);
  if (self->kick != 0)
    g_source_remove (self->kick);
  if (self->load_turn != 0)
    g_source_remove (self->load_turn);
  fb_appender_free (self->appender);
  fb_topic_reader_free (self->progress_reader);
  fb_topic_reader_free (self->job_reader);
  g_ptr_array_unref (self->spent);
  g_hash_table_unref (self->parts);
  g_hash_table_unref (self->loading);
  g_hash_table_unref (self->progress);
  g_hash_table_unref (self->cancelled);
  g_free (self);
}

gboolean
fb_owner_lost (const FbOwner *self)
{
  return self->lost;
}

/* ---- what the daemon learns ------------------------------------------------------------ */

void
fb_owner_routes_changed (FbOwner *self)
{
  const FbRoutes *routes = self->entry->routes;
  if (!self->loaded || routes == NULL)
    return;
  for (guint i = 0; i < routes->services->len; i++)
    {
      if (fb_entry_partition_of (self->entry, routes->services->pdata[i]) == self->partition)
        fb_owner_part_for (self, routes->services->pdata[i]);
    }
  g_autoptr (GHashTable) policies = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < routes->routes->len; i++)
    {
      fb_work_policy *policy = &((FbRoute *) routes->routes->pdata[i])->policy;
      g_hash_table_insert (policies, policy->queue, policy);
    }
  GHashTableIter iter;
  gpointer part;
  g_hash_table_iter_init (&iter, self->parts);
  while (g_hash_table_iter_next (&iter, NULL, &part))
    fb_pool_policies (((FbOwnerPart *) part)->pool, policies);
}

void
fb_owner_worker_listed (FbOwner *self, const FbListedWorker *worker)
{
  FbOwnerPart *part = g_hash_table_lookup (self->parts, worker->service);
  if (part == NULL)
    return;
  fb_pool_worker_listed (part->pool, &worker->entry, fb_clock_ms ());
  fb_owner_kick (self);
}

void
fb_owner_worker_unlisted (FbOwner *self, const FbListedWorker *worker)
{
  FbOwnerPart *part = g_hash_table_lookup (self->parts, worker->service);
  if (part != NULL)
    fb_pool_worker_unlisted (part->pool, worker->entry.id, fb_clock_ms ());
}

void
fb_owner_advised (FbOwner *self, const char *step, const char *const *asked, guint n,
                  const fb_advice_reply *told)
{
  GHashTableIter iter;
  gpointer part;
  g_hash_table_iter_init (&iter, self->parts);
  while (g_hash_table_iter_next (&iter, NULL, &part))
    fb_pool_advised (((FbOwnerPart *) part)->pool, step, asked, n, told, fb_clock_ms ());
  fb_owner_kick (self);
}

void
fb_owner_quiesce (FbOwner *self)
{
  self->quiet = TRUE;
}

gboolean
fb_owner_is_quiet (const FbOwner *self)
{
  return self->quiet && self->open_flushes == 0;
}

/* ---- queries ------------------------------------------------------------------------------ */

static void
tell_state (FbOwner *self, const fb_job_state_request *ask, fb_peer_reply *told)
{
  const FbOwnerPart *part = g_hash_table_lookup (self->parts, ask->service);
  fb_work_state state = FB_WORK_QUEUED;
  if (part != NULL && fb_pool_job_state (part->pool, ask->job, &state))
    {
      told->type = FB_REPLY_JOB_STATE;
      told->fb_peer_reply_u.state = state;
      return;
    }
  uint64_t now_ms = fb_clock_ms ();
  if (now_ms < fb_topic_reader_fresh_ms (self->job_reader) + FRESH_MS)
    told->type = FB_REPLY_NO_SUCH_JOB;
}

static void
tell_pending (FbOwner *self, const fb_pending_request *ask, fb_peer_reply *told)
{
  const FbOwnerPart *part = g_hash_table_lookup (self->parts, ask->service);
  told->type = FB_REPLY_PENDING_COUNT;
  told->fb_peer_reply_u.pending = part != NULL ? fb_pool_pending (part->pool, ask->queue) : 0;
}

void
fb_owner_tell (FbOwner *self, const fb_peer_request *ask, fb_peer_reply *told)
{
  told->type = FB_REPLY_UNAVAILABLE;
  if (!self->loaded || self->lost)
    return;
  if (ask->type == FB_REQUEST_JOB_STATE)
    tell_state (self, &ask->fb_peer_request_u.job, told);
  else if (ask->type == FB_REQUEST_PENDING_COUNT)
    tell_pending (self, &ask->fb_peer_request_u.queue, told);
}
