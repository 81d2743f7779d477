/* The owner of one partition: loads what its predecessors left, then drives the
 * pools of the partition's services.
 *
 * The take-over goes: shut out the writer before (a higher epoch on the partition
 * of progress records), read progress, read jobs, and only then speak to workers,
 * whose lists of runs can be understood then. */
#include "entry-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "fb-histogram.h"
#include "internal/codec.h"

#include <string.h>

#define WRITER "owner"
/* Keys of FB_TOPIC_PROGRESS are job ids, or this and the name of a service. */
#define KEY_WORKERS "workers."
/* Events that come close together are handled in one go. */
#define KICK_MS 4
#define TICK_MS 25
/* An answered order takes a few ms; a worker that hangs should not hold up its
 * caller for long. */
#define ORDER_MS 600
#define LOOK_ANSWER_MS 600
/* Evidence that no other daemon owns the pools, and for how long an owner without
 * any keeps its state. */
#define MAJORITY_MS 1500
#define STEP_DOWN_MS 2000
/* "No such job" needs a read of the jobs that is not older than this. */
#define FRESH_MS 1500

typedef struct
{
  FbOwner *owner;
  FbPool *pool;
  char *service;
} Part;

struct _FbOwner
{
  FbEntry *entry;
  uint32_t partition;
  uint64_t epoch;
  FbAppender *appender;
  FbFollower *progress_follower;
  FbFollower *job_follower;
  GHashTable *progress;  /* job -> GBytes, while loading */
  GHashTable *cancelled; /* jobs, while loading */
  GHashTable *loading;   /* job -> GBytes, while loading */
  GHashTable *parts;     /* service -> Part */
  gboolean loaded;
  gboolean workers_known; /* the list of workers is younger than the take-over */
  gboolean lost;
  gboolean quiet;
  uint64_t began_ms;
  uint64_t fenced_ms;    /* since when the owner before cannot record anything */
  uint64_t authority_ms; /* when it was last sure to be the owner */
  guint kick;
  guint tick;
  guint open_flushes;
};

/* ---- orders: on their way, they outlive the owner ------------------------------ */

typedef enum
{
  ORDER_START,
  ORDER_STOP,
  ORDER_LOOK
} OrderKind;

typedef struct
{
  FbEntry *entry;
  uint32_t partition;
  uint64_t epoch;
  char *service;
  char *worker;
  uint64_t order;
  OrderKind kind;
  uint64_t sent_ms;
} Order;

static Order *
order_new (const Part *part, const char *worker, uint64_t id, OrderKind kind)
{
  Order *order = g_new0 (Order, 1);
  order->entry = part->owner->entry;
  order->partition = part->owner->partition;
  order->epoch = part->owner->epoch;
  order->service = g_strdup (part->service);
  order->worker = g_strdup (worker);
  order->order = id;
  order->kind = kind;
  order->sent_ms = fb_clock_ms ();
  return order;
}

static void
order_free (Order *order)
{
  g_free (order->service);
  g_free (order->worker);
  g_free (order);
}

static Part *
part_of_order (const Order *order)
{
  FbOwner *owner = fb_entry_owner (order->entry, order->partition);
  if (owner == NULL || owner->epoch != order->epoch)
    return NULL;
  return g_hash_table_lookup (owner->parts, order->service);
}

static void
take_look (Part *part, const Order *order, const FbHttpReply *reply)
{
  FbLookAnswer answer;
  fb_wire_look_answer (reply, &answer);
  fb_pool_look_answered (part->pool, order->worker, &answer, fb_clock_ms (), fb_clock_wall_ms ());
  fb_look_answer_clear (&answer);
}

static void
take_result (Part *part, const Order *order, const FbHttpReply *reply)
{
  uint64_t clock_ms = 0;
  FbOrderResult result = fb_wire_order_result (reply, &clock_ms);
  if (order->kind == ORDER_START)
    fb_pool_start_answered (part->pool, order->order, result, clock_ms, fb_clock_ms ());
  else
    fb_pool_stop_answered (part->pool, order->order, result, clock_ms, fb_clock_ms ());
}

static void
on_order_reply (gpointer data, const FbHttpReply *reply)
{
  Order *order = data;
  Part *part = part_of_order (order);
  if (reply->status != FB_HTTP_OK)
    {
      fb_counter_add (FB_COUNTER_WORKER_ERRORS, 1);
      fb_event_log (FB_EVENT_CALL_FAILED, "worker=%s kind=%d status=%d sent=%d after_ms=%u",
                    order->worker, order->kind, reply->status, reply->sent,
                    (guint) (fb_clock_ms () - order->sent_ms));
    }
  if (order->kind != ORDER_LOOK)
    fb_histogram_add (FB_HISTOGRAM_ORDER, fb_clock_ms () - order->sent_ms);
  if (part != NULL && order->kind == ORDER_LOOK)
    take_look (part, order, reply);
  else if (part != NULL)
    take_result (part, order, reply);
  if (part != NULL)
    fb_owner_kick (part->owner);
  order_free (order);
}

static void
send_order (const Part *part, FbHttpCall *call, guint timeout_ms, Order *order)
{
  fb_counter_add (FB_COUNTER_WORKER_SYNCS, 1);
  fb_http_client_exchange (part->owner->entry->worker_client, call, timeout_ms, on_order_reply,
                           order);
  fb_http_call_clear (call);
}

static void
sink_start (gpointer user, const FbStartOrder *order)
{
  FbHttpCall call;
  fb_wire_start (&call, order);
  send_order (user, &call, ORDER_MS, order_new (user, order->worker, order->order, ORDER_START));
}

static void
sink_stop (gpointer user, const FbStopOrder *order)
{
  FbHttpCall call;
  fb_wire_stop (&call, order);
  send_order (user, &call, ORDER_MS, order_new (user, order->worker, order->order, ORDER_STOP));
}

static void
sink_look (gpointer user, const FbLookOrder *order)
{
  FbHttpCall call;
  fb_wire_look (&call, order);
  send_order (user, &call, order->wait_ms + LOOK_ANSWER_MS,
              order_new (user, order->worker, 0, ORDER_LOOK));
}

static gboolean
sink_advise (gpointer user, const char *step, const char *const *workers, guint n,
             uint32_t expected_ms)
{
  const FbOwner *owner = ((Part *) user)->owner;
  return fb_advisor_ask (owner->entry->advisor, owner->partition, step, workers, n, expected_ms);
}

static void
lose (FbOwner *self, const char *why)
{
  if (!self->lost)
    fb_event_log (FB_EVENT_POOL_LOST, "partition=%u epoch=%" G_GUINT64_FORMAT " why=%s",
                  self->partition, self->epoch, why);
  self->lost = TRUE;
}

static void
sink_fenced (gpointer user, const char *worker)
{
  (void) worker;
  lose (((Part *) user)->owner, "a worker has seen a later owner");
}

static const FbPoolSink sink = { sink_start, sink_stop, sink_look, sink_advise, sink_fenced };

/* ---- pools --------------------------------------------------------------------- */

static void
part_free (gpointer data)
{
  Part *part = data;
  fb_pool_free (part->pool);
  g_free (part->service);
  g_free (part);
}

static void
list_known_workers (const Part *part)
{
  const FbEntry *entry = part->owner->entry;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, entry->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const FbListedWorker *worker = value;
      if (g_str_equal (worker->service, part->service))
        fb_pool_worker_listed (part->pool, &worker->entry, fb_clock_ms ());
    }
}

static Part *
part_for (FbOwner *self, const char *service)
{
  Part *part = g_hash_table_lookup (self->parts, service);
  if (part != NULL)
    return part;
  const FbEntrySettings *settings = self->entry->settings;
  const FbPoolLimits limits = { .hold_max_ms = (uint32_t) settings->hold_max_ms,
                                .stop_ms = (uint32_t) settings->stop_ms,
                                .gang_wait_ms = (uint32_t) settings->gang_wait_ms };
  part = g_new0 (Part, 1);
  part->owner = self;
  part->service = g_strdup (service);
  part->pool = fb_pool_new (service, self->epoch, &limits, &sink, part, fb_clock_ms ());
  g_hash_table_insert (self->parts, part->service, part);
  list_known_workers (part);
  if (self->workers_known)
    fb_pool_workers_complete (part->pool);
  return part;
}

static void
admit (FbOwner *self, const char *job, GBytes *value)
{
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (value, &len);
  fb_work_admit record;
  if (!fb_codec_decode_admit (data, len, &record))
    {
      fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "job=%s malformed", job);
      return;
    }
  fb_pool_admit (part_for (self, record.policy.service)->pool, job, &record, fb_clock_ms (),
                 fb_clock_wall_ms ());
  xdr_free ((xdrproc_t) xdr_fb_work_admit, (char *) &record);
}

static void
cancel (FbOwner *self, const char *job)
{
  GHashTableIter iter;
  gpointer part;
  g_hash_table_iter_init (&iter, self->parts);
  while (g_hash_table_iter_next (&iter, NULL, &part))
    fb_pool_cancel (((Part *) part)->pool, job, fb_clock_ms (), fb_clock_wall_ms ());
}

static void
restore_workers (FbOwner *self, const char *service, GBytes *value)
{
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (value, &len);
  fb_work_workers record;
  if (!fb_codec_decode_workers (data, len, &record))
    {
      fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "workers of service=%s malformed", service);
      return;
    }
  fb_pool_restore_workers (part_for (self, service)->pool, &record);
  xdr_free ((xdrproc_t) xdr_fb_work_workers, (char *) &record);
}

static void
restore (FbOwner *self, const char *job, GBytes *value)
{
  if (g_str_has_prefix (job, KEY_WORKERS))
    {
      restore_workers (self, job + strlen (KEY_WORKERS), value);
      return;
    }
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (value, &len);
  fb_work_progress record;
  if (!fb_codec_decode_progress (data, len, &record))
    {
      fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "progress of job=%s malformed", job);
      return;
    }
  GHashTableIter iter;
  gpointer part;
  g_hash_table_iter_init (&iter, self->parts);
  while (g_hash_table_iter_next (&iter, NULL, &part))
    fb_pool_restore (((Part *) part)->pool, job, &record);
  xdr_free ((xdrproc_t) xdr_fb_work_progress, (char *) &record);
}

/* ---- durability ------------------------------------------------------------------ */

typedef struct
{
  FbEntry *entry;
  uint32_t partition;
  uint64_t epoch;
  char *service;
} Flush;

static void
on_flushed (gpointer data, FbAppendResult result)
{
  Flush *flush = data;
  FbOwner *owner = fb_entry_owner (flush->entry, flush->partition);
  if (owner != NULL && owner->epoch == flush->epoch)
    {
      Part *part = g_hash_table_lookup (owner->parts, flush->service);
      owner->open_flushes--;
      if (result == FB_APPEND_STORED && part != NULL)
        fb_pool_flushed (part->pool, fb_clock_ms ());
      else if (result != FB_APPEND_STORED)
        lose (owner, "a later owner writes");
      fb_owner_kick (owner);
    }
  g_free (flush->service);
  g_free (flush);
}

static void
nothing_to_do (gpointer user, FbAppendResult result)
{
  (void) user;
  (void) result; /* the records are dropped again by the next owner */
}

static void
drop_job_records (FbOwner *self, const char *job)
{
  GByteArray *body = g_byte_array_new ();
  g_autofree char *job_key = g_strdup_printf ("%c%s", FB_KEY_JOB, job);
  g_autofree char *cancel_key = g_strdup_printf ("%c%s", FB_KEY_CANCEL, job);
  fb_wire_put_record (body, job_key, NULL);
  fb_wire_put_record (body, cancel_key, NULL);
  fb_appender_put (fb_entry_appender (self->entry, self->partition), body, 0, nothing_to_do, NULL);
}

static void
flush_part (Part *part)
{
  FbOwner *self = part->owner;
  g_autoptr (GPtrArray) records = fb_pool_flush (part->pool, fb_clock_ms (), fb_clock_wall_ms ());
  if (records == NULL)
    return;
  GByteArray *body = g_byte_array_new ();
  for (guint i = 0; i < records->len; i++)
    {
      const FbPoolRecord *record = records->pdata[i];
      g_autofree char *workers_key = g_strconcat (KEY_WORKERS, part->service, NULL);
      fb_wire_put_record (body, record->job != NULL ? record->job : workers_key, record->progress);
      if (record->progress == NULL)
        drop_job_records (self, record->job);
    }
  Flush *flush = g_new0 (Flush, 1);
  flush->entry = self->entry;
  flush->partition = self->partition;
  flush->epoch = self->epoch;
  flush->service = g_strdup (part->service);
  self->open_flushes++;
  fb_appender_put (self->appender, body, 0, on_flushed, flush);
}

/* ---- the round -------------------------------------------------------------------- */

static gboolean
is_sure (FbOwner *self, const Part *part, uint64_t now_ms)
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
  const FbFollower *list = self->entry->worker_follower;
  if (self->workers_known || fb_follower_fresh_ms (list) <= self->fenced_ms)
    return;
  self->workers_known = TRUE;
  fb_histogram_add (FB_HISTOGRAM_TAKE_OVER, fb_clock_ms () - self->began_ms);
  GHashTableIter iter;
  gpointer part;
  g_hash_table_iter_init (&iter, self->parts);
  while (g_hash_table_iter_next (&iter, NULL, &part))
    fb_pool_workers_complete (((Part *) part)->pool);
}

static void
round_of (FbOwner *self)
{
  uint64_t now_ms = fb_clock_ms ();
  check_worker_list (self);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->parts);
  while (!self->lost && g_hash_table_iter_next (&iter, NULL, &value))
    {
      Part *part = value;
      gboolean may_start = is_sure (self, part, now_ms) && !self->quiet;
      fb_pool_jobs_read (part->pool, fb_follower_fresh_ms (self->job_follower));
      fb_pool_step (part->pool, may_start, now_ms, fb_clock_wall_ms ());
      flush_part (part);
    }
  if (self->loaded && now_ms > self->authority_ms + STEP_DOWN_MS)
    lose (self, "neither the store nor the workers say that it still owns it");
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

/* ---- loading ------------------------------------------------------------------------ */

static void
ignore_begin (gpointer user)
{
  (void) user;
}

static void
finish_loading (FbOwner *self)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, self->loading);
  while (g_hash_table_iter_next (&iter, &key, &value))
    admit (self, key, value);
  g_hash_table_iter_init (&iter, self->progress);
  while (g_hash_table_iter_next (&iter, &key, &value))
    restore (self, key, value);
  g_hash_table_iter_init (&iter, self->cancelled);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    cancel (self, key);
  g_hash_table_remove_all (self->loading);
  g_hash_table_remove_all (self->progress);
  g_hash_table_remove_all (self->cancelled);
  self->loaded = TRUE;
  fb_counter_add (FB_COUNTER_TAKE_OVERS, 1);
  self->authority_ms = fb_clock_ms ();
  fb_event_log (FB_EVENT_POOL_TAKEN, "partition=%u epoch=%" G_GUINT64_FORMAT " load_ms=%u",
                self->partition, self->epoch, (guint) (fb_clock_ms () - self->began_ms));
  fb_owner_routes_changed (self);
  fb_owner_kick (self);
}

void
fb_owner_take_record (FbOwner *self, const char *key, GBytes *value)
{
  if (!self->loaded || value == NULL || strlen (key) < 2)
    return;
  if (key[0] == FB_KEY_JOB)
    admit (self, key + 1, value);
  else
    cancel (self, key + 1);
  fb_owner_kick (self);
}

static void
on_job_record (gpointer user, const FbStoreRecord *record)
{
  FbOwner *self = user;
  if (self->loaded)
    {
      fb_owner_take_record (self, record->key, record->value);
      return;
    }
  if (record->value == NULL || strlen (record->key) < 2)
    return;
  g_hash_table_replace (record->key[0] == FB_KEY_JOB ? self->loading : self->cancelled,
                        g_strdup (record->key + 1), g_bytes_ref (record->value));
}

static void
on_jobs_listed (gpointer user)
{
  FbOwner *self = user;
  if (!self->loaded)
    finish_loading (self);
}

static const FbFollowerOps job_ops = { ignore_begin, on_job_record, on_jobs_listed };

static void
on_progress_record (gpointer user, const FbStoreRecord *record)
{
  FbOwner *self = user;
  if (record->value != NULL)
    g_hash_table_replace (self->progress, g_strdup (record->key), g_bytes_ref (record->value));
  else
    g_hash_table_remove (self->progress, record->key);
}

static void
on_progress_listed (gpointer user)
{
  FbOwner *self = user;
  g_clear_pointer (&self->progress_follower, fb_follower_free);
  self->job_follower
      = fb_follower_new (self->entry, FB_TOPIC_JOBS, self->partition, 0, &job_ops, self);
}

static const FbFollowerOps progress_ops = { ignore_begin, on_progress_record, on_progress_listed };

static void
on_fenced_before (gpointer data, FbAppendResult result)
{
  FbOwner *self = data;
  if (result != FB_APPEND_STORED)
    {
      lose (self, "a later owner writes");
      return;
    }
  self->fenced_ms = fb_clock_ms ();
  fb_follower_hurry (self->entry->worker_follower);
  self->progress_follower
      = fb_follower_new (self->entry, FB_TOPIC_PROGRESS, self->partition, 0, &progress_ops, self);
}

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
  self->appender = fb_appender_new (entry, FB_TOPIC_PROGRESS, partition, WRITER, epoch);
  self->tick = fb_timer_subscribe (entry->timer, TICK_MS, on_tick, self);
  fb_appender_put (self->appender, g_byte_array_new (), 0, on_fenced_before, self);
  return self;
}

void
fb_owner_free (FbOwner *self)
{
  fb_timer_unsubscribe (self->entry->timer, self->tick);
  if (self->kick != 0)
    g_source_remove (self->kick);
  fb_appender_free (self->appender);
  fb_follower_free (self->progress_follower);
  fb_follower_free (self->job_follower);
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
        part_for (self, routes->services->pdata[i]);
    }
  GHashTableIter iter;
  gpointer part;
  g_hash_table_iter_init (&iter, self->parts);
  while (g_hash_table_iter_next (&iter, NULL, &part))
    {
      for (guint i = 0; i < routes->routes->len; i++)
        fb_pool_policy (((Part *) part)->pool, &((FbRoute *) routes->routes->pdata[i])->policy);
    }
}

void
fb_owner_worker_listed (FbOwner *self, const FbListedWorker *worker)
{
  Part *part = g_hash_table_lookup (self->parts, worker->service);
  if (part == NULL)
    return;
  fb_pool_worker_listed (part->pool, &worker->entry, fb_clock_ms ());
  fb_owner_kick (self);
}

void
fb_owner_worker_unlisted (FbOwner *self, const FbListedWorker *worker)
{
  Part *part = g_hash_table_lookup (self->parts, worker->service);
  if (part != NULL)
    fb_pool_worker_unlisted (part->pool, worker->entry.id, fb_clock_ms ());
}

void
fb_owner_advised (FbOwner *self, const char *step, const char *const *asked, guint n,
                  const fb_told_advice *told)
{
  GHashTableIter iter;
  gpointer part;
  g_hash_table_iter_init (&iter, self->parts);
  while (g_hash_table_iter_next (&iter, NULL, &part))
    fb_pool_advised (((Part *) part)->pool, step, asked, n, told, fb_clock_ms ());
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
tell_state (FbOwner *self, const fb_ask_job *ask, fb_told *told)
{
  const Part *part = g_hash_table_lookup (self->parts, ask->service);
  fb_work_state state = FB_WORK_QUEUED;
  if (part != NULL && fb_pool_job_state (part->pool, ask->job, &state))
    {
      told->type = FB_TOLD_STATE;
      told->fb_told_u.state = state;
      return;
    }
  uint64_t now_ms = fb_clock_ms ();
  if (now_ms < fb_follower_fresh_ms (self->job_follower) + FRESH_MS)
    told->type = FB_TOLD_NO_JOB;
}

static void
tell_pending (FbOwner *self, const fb_ask_queue *ask, fb_told *told)
{
  const Part *part = g_hash_table_lookup (self->parts, ask->service);
  told->type = FB_TOLD_PENDING;
  told->fb_told_u.pending = part != NULL ? fb_pool_pending (part->pool, ask->queue) : 0;
}

void
fb_owner_tell (FbOwner *self, const fb_ask *ask, fb_told *told)
{
  told->type = FB_TOLD_UNSURE;
  if (!self->loaded || self->lost)
    return;
  if (ask->type == FB_ASK_STATE)
    tell_state (self, &ask->fb_ask_u.job, told);
  else if (ask->type == FB_ASK_PENDING)
    tell_pending (self, &ask->fb_ask_u.queue, told);
}
