/* The owners: each drives a pool as a daemon does, with a store that may be unavailable and that
 * accepts the writes of one owner at a time. */
#include "pool-world.h"

#include "internal/codec.h"

#include <stdlib.h>
#include <string.h>

gboolean
world_is_stable (const World *world, guint i)
{
  uint64_t last_fault_ms = MAX (world->last_fault_ms[i], world->store_unavailable_ms);
  return last_fault_ms == 0 || world->now_ms > last_fault_ms + STABLE_AFTER_MS;
}

static guint
worker_index (const char *id)
{
  return (guint) atoi (id + 1);
}

/* Returns: the address of worker I, the same for all its incarnations. */
static char *
world_address (guint i)
{
  return g_strdup_printf ("10.0.0.%u:1", i);
}

/* Returns: the worker id in the header of a call to WORKER, a name in the pool; borrowed. */
static const char *
world_call_id (World *world, const char *worker)
{
  const char *id = g_hash_table_lookup (world->ids, worker);
  if (id != NULL)
    return id;
  const FbPollOrder order = { .worker = worker, .address = "" };
  FbHttpCall call;
  fb_wire_poll (&call, &order);
  g_hash_table_insert (world->ids, g_strdup (worker), g_strdup (call.header_values[0]));
  fb_http_call_clear (&call);
  return g_hash_table_lookup (world->ids, worker);
}

FbRecentStarts *
world_recent_starts (World *world, guint worker)
{
  return world->recent_starts[worker % PEER_N];
}

void
world_peer_fail (World *world)
{
  guint i = world->peer_failures_n++ % PEER_N;
  fb_recent_starts_free (world->recent_starts[i]);
  world->recent_starts[i] = fb_recent_starts_new ();
  fb_suspect_backups_free (world->suspect_backups[i]);
  world->suspect_backups[i] = fb_suspect_backups_new ();
}

static gboolean
is_cancel_applied (World *world, const Owner *owner, const char *task)
{
  const Job *job = world_find_job (world, task);
  return job != NULL && owner->cancel_applied_ms[job - world->jobs] != 0;
}

static void
send_order (Owner *owner, Order *order, const char *worker, uint32_t timeout_ms)
{
  World *world = owner->world;
  order->owner = (guint) (owner - world->owners);
  order->owner_incarnation = owner->incarnation;
  order->store_read_ms = owner->list_read_ms;
  if (world->cancelling && order->kind == ORDER_START)
    order->follows_cancel = is_cancel_applied (world, owner, order->task);
  order->sender_stable = world_is_stable (world, order->owner);
  order->worker = worker_index (worker);
  g_strlcpy (order->worker_name, worker, sizeof order->worker_name);
  g_strlcpy (order->worker_id, world_call_id (world, worker), sizeof order->worker_id);
  order->sent_ms = world->now_ms;
  order->timeout_at_ms = world->now_ms + timeout_ms;
  order->arrives_ms = world->now_ms + 2 + world_random (world, 8);
  if (!world->healing && world_random (world, 25) == 0)
    order->answer_lost = TRUE;
  if (!world->healing && order->kind != ORDER_POLL && world_random (world, 25) == 0)
    {
      order->answer_lost = TRUE;
      order->received_ms = order->arrives_ms;
      order->arrives_ms = world->now_ms + 2000 + world_random (world, 10000);
    }
  world_cancels_order_sent (world, order);
  world_stops_order_sent (world, order);
  world_call (world, order);
}

static void
on_start (gpointer user, const FbStartOrder *start)
{
  Order *order = g_new0 (Order, 1);
  order->kind = ORDER_START;
  order->order = start->order;
  order->epoch = start->epoch;
  order->attempt = start->attempt;
  order->deadline_ms = start->deadline_ms;
  order->has_ticket = start->ticket != NULL;
  g_strlcpy (order->checkpoint, start->checkpoint, sizeof order->checkpoint);
  g_strlcpy (order->task, start->task, sizeof order->task);
  World *world = ((Owner *) user)->world;
  g_autofree char *address = world_address (worker_index (start->worker));
  fb_recent_starts_sent (world_recent_starts (world, worker_index (start->worker)), start->worker,
                         address, start->task, start->attempt, world->now_ms);
  send_order (user, order, start->worker, 600);
}

static void
on_stop (gpointer user, const FbStopOrder *stop)
{
  Order *order = g_new0 (Order, 1);
  order->kind = ORDER_STOP;
  order->order = stop->order;
  order->epoch = stop->epoch;
  order->attempt = stop->attempt;
  g_strlcpy (order->task, stop->task, sizeof order->task);
  send_order (user, order, stop->worker, 600);
}

static void
on_poll (gpointer user, const FbPollOrder *poll)
{
  Order *order = g_new0 (Order, 1);
  order->kind = ORDER_POLL;
  order->epoch = poll->epoch;
  order->acknowledged = poll->acknowledged;
  order->deadline_ms = poll->deadline_ms;
  order->wait_ms = poll->wait_ms;
  send_order (user, order, poll->worker, poll->wait_ms + poll->timeout_ms);
}

static void
advice_request_free (gpointer data)
{
  AdviceRequest *request = data;
  g_free (request->step);
  g_ptr_array_unref (request->workers);
  g_free (request);
}

static gboolean
on_advise (gpointer user, const char *step, const char *const *workers, guint n,
           uint32_t expected_ms)
{
  (void) expected_ms;
  Owner *owner = user;
  AdviceRequest *request = g_new0 (AdviceRequest, 1);
  request->step = g_strdup (step);
  request->workers = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < n; i++)
    g_ptr_array_add (request->workers, g_strdup (workers[i]));
  request->answer_ms = owner->world->now_ms + ADVICE_MS;
  g_ptr_array_add (owner->advice_requests, request);
  return TRUE;
}

static void
answer_advice_request (Owner *owner, const AdviceRequest *request)
{
  g_autofree fb_ticket *tickets = g_new0 (fb_ticket, request->workers->len + 1);
  fb_advice_reply reply = { .tickets = { 0, tickets }, .validity_ms = 2000 };
  for (guint i = 0; i < request->workers->len; i++)
    {
      char *id = request->workers->pdata[i];
      if (world_allows (request->step, worker_index (id)))
        tickets[reply.tickets.tickets_len++] = (fb_ticket){ id, "t" };
    }
  fb_pool_advice_answered (owner->pool, request->step,
                           (const char *const *) request->workers->pdata, request->workers->len,
                           &reply, owner->world->now_ms);
}

static void
answer_advice_requests (Owner *owner)
{
  for (guint i = 0; i < owner->advice_requests->len;)
    {
      const AdviceRequest *request = owner->advice_requests->pdata[i];
      if (owner->world->now_ms < request->answer_ms)
        {
          i++;
          continue;
        }
      answer_advice_request (owner, request);
      g_ptr_array_remove_index (owner->advice_requests, i);
    }
}

static void
on_fenced (gpointer user, const char *worker)
{
  (void) worker;
  Owner *owner = user;
  owner->fenced = TRUE;
}

static const FbPoolCallbacks callbacks = { on_start,  on_stop,
                                           on_poll,   on_advise,
                                           on_fenced, fb_wire_incarnation_is_newer,
                                           NULL,      fb_wire_incarnation_may_restart };

/* ---- owners --------------------------------------------------------------------- */

void
world_owner_stop (World *world, guint i)
{
  Owner *owner = &world->owners[i];
  if (owner->pool != NULL)
    world_cancels_owner_changed (world);
  g_clear_pointer (&owner->pool, fb_pool_free);
  g_clear_pointer (&owner->advice_requests, g_ptr_array_unref);
  if (owner->flush != NULL)
    g_ptr_array_unref (owner->flush);
  owner->flush = NULL;
}

/* Returns: (transfer full): the entry of worker I as decoded by the adapter. */
static FbListedWorker *
listed_worker (const World *world, guint i)
{
  const Worker *worker = &world->workers[i];
  const Entry entry = world_worker_entry (world, worker);
  g_autofree char *address = world_address (i);
  GString *text = g_string_new (NULL);
  g_string_printf (
      text,
      "{\"service\":\"svc\",\"zone\":\"z\",\"address\":\"%s\",\"state\":\"%s\","
      "\"capacity\":{\"cpu\":%d,\"mem-mb\":64000,\"gpu\":0},\"labels\":[\"k\",\"r1\"]",
      address, worker->draining ? "draining" : "ready",
      (int) MAX (worker->cpu_milli, 1)); /* the adapter rejects an entry without capacity */
  if (world->restart_mode != RESTART_NEW_ID)
    g_string_append_printf (text, ",\"born\":%" G_GUINT64_FORMAT, entry.incarnation_started_ms);
  g_string_append_c (text, '}');
  g_autoptr (GBytes) value = g_string_free_to_bytes (text);
  return fb_wire_parse_worker (entry.id, value);
}

static void
pass_worker_list (World *world, guint i)
{
  Owner *owner = &world->owners[i];
  for (guint j = 0; j < WORKER_N; j++)
    {
      const Worker *worker = &world->workers[j];
      FbListedWorker *listed = worker->listed ? listed_worker (world, j) : NULL;
      if (owner->is_listed[j]
          && (listed == NULL || !g_str_equal (owner->listed_ids[j], listed->entry.id)))
        {
          fb_pool_worker_unlisted (owner->pool, owner->listed_ids[j], world->now_ms);
          owner->is_listed[j] = FALSE;
        }
      if (listed == NULL)
        continue;
      fb_pool_worker_listed (owner->pool, &listed->entry, world->now_ms);
      owner->is_listed[j] = TRUE;
      g_strlcpy (owner->listed_ids[j], listed->entry.id, sizeof owner->listed_ids[j]);
      fb_listed_worker_free (listed);
    }
  if (!owner->list_complete)
    fb_pool_workers_complete (owner->pool);
  owner->list_complete = TRUE;
  owner->list_read_ms = world->now_ms;
}

/* Passes all jobs and cancels in the store to the pool. */
static void
read_jobs (World *world, Owner *owner)
{
  fb_pool_jobs_complete (owner->pool, world->now_ms);
  world_cancels_read_some (world, owner);
  for (guint i = 0; i < world->job_n; i++)
    {
      const Job *job = &world->jobs[i];
      fb_pool_add_job (owner->pool, job->id, &job->record, world->now_ms, WALL_MS + world->now_ms);
      world_cancels_job_read (world, owner, job);
      if (job->cancelled && !world->cancelling)
        fb_pool_cancel_job (owner->pool, job->id, world->now_ms, WALL_MS + world->now_ms);
    }
  if (world->cancelling)
    world_cancels_read_all (world, owner);
}

static void
restore (World *world, Owner *owner)
{
  for (guint i = 0; i < world->job_n; i++)
    {
      const Job *job = &world->jobs[i];
      /* A job that is stored while the pool loads may be read only after the workers have
       * answered; a job with progress was stored before the previous owner was fenced. */
      gboolean late = !g_hash_table_contains (world->progress, job->id)
                      && world->now_ms < job->record.accepted_ms - WALL_MS + 1000;
      if ((!late || world_random (world, 2) == 0) && !job->admission_dropped)
        fb_pool_add_job (owner->pool, job->id, &job->record, world->now_ms,
                         WALL_MS + world->now_ms);
    }
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, world->progress);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      gsize len = 0;
      gconstpointer data = g_bytes_get_data (value, &len);
      fb_work_progress progress;
      fb_work_suspects suspects;
      if (!fb_codec_decode_progress (data, len, &progress, &suspects))
        abort ();
      fb_pool_restore_job (owner->pool, key, &progress, &suspects, world->now_ms);
      fb_codec_clear_progress (&progress, &suspects);
    }
  if (world->cancelling)
    world_cancels_read_all (world, owner);
  for (guint i = 0; !world->cancelling && i < world->job_n; i++)
    {
      if (world->jobs[i].cancelled)
        fb_pool_cancel_job (owner->pool, world->jobs[i].id, world->now_ms, WALL_MS + world->now_ms);
    }
  fb_work_workers known;
  gsize len = 0;
  gconstpointer data
      = world->known_workers != NULL ? g_bytes_get_data (world->known_workers, &len) : NULL;
  if (data != NULL && fb_codec_decode_workers (data, len, &known))
    {
      if (world->silent_workers != NULL)
        fb_pool_restore_silent_workers (owner->pool, world->known_workers, world->silent_workers,
                                        owner->store_fenced_ms);
      fb_pool_restore_workers (owner->pool, &known);
      xdr_free ((xdrproc_t) xdr_fb_work_workers, (char *) &known);
    }
}

/* Imports the starts that the peers have relayed recently. */
static void
import_recent_starts (World *world, Owner *owner)
{
  for (guint i = 0; i < PEER_N; i++)
    {
      fb_recent_starts_reply reply;
      fb_recent_starts_list (world->recent_starts[i], FALSE, world->now_ms, &reply);
      fb_pool_import_starts (owner->pool, &reply, world->now_ms);
      g_free (reply.starts.starts_val);
    }
}

/* Imports the suspects that the peers keep. */
static void
import_suspect_backups (World *world, Owner *owner)
{
  for (guint i = 0; i < PEER_N; i++)
    {
      fb_suspect_backups_reply reply;
      fb_suspect_backups_list (world->suspect_backups[i], world->now_ms, &reply);
      for (u_int j = 0; j < reply.jobs.jobs_len; j++)
        fb_pool_import_suspects (owner->pool, reply.jobs.jobs_val[j].job,
                                 &reply.jobs.jobs_val[j].suspects, world->now_ms);
      xdr_free ((xdrproc_t) xdr_fb_suspect_backups_reply, (char *) &reply);
    }
}

/* Sends UNSTORED to all peers; each may miss it. */
static void
back_up_suspects (World *world, const Owner *owner, const FbPoolUnstoredSuspects *unstored)
{
  fb_suspects_backup backup = { .job = unstored->job, .epoch = owner->epoch };
  gsize len = 0;
  gconstpointer data
      = unstored->suspects != NULL ? g_bytes_get_data (unstored->suspects, &len) : NULL;
  if (data != NULL && !fb_codec_decode_suspects (data, len, &backup.suspects))
    abort ();
  for (guint i = 0; i < PEER_N; i++)
    {
      if (world->healing || world_restart_random (world, 10) > 0)
        fb_suspect_backups_put (world->suspect_backups[i], &backup, world->now_ms);
    }
  xdr_free ((xdrproc_t) xdr_fb_work_suspects, (char *) &backup.suspects);
}

static void
back_up_unstored_suspects (World *world, Owner *owner)
{
  g_autoptr (GPtrArray) unstored = fb_pool_take_unstored_suspects (owner->pool, world->now_ms);
  for (guint i = 0; unstored != NULL && i < unstored->len; i++)
    back_up_suspects (world, owner, unstored->pdata[i]);
}

void
world_owner_start (World *world, guint i)
{
  const FbPoolLimits limits = { .max_lease_ms = (uint32_t) world->max_lease_ms,
                                .max_stop_ms = world->stops ? LONG_STOP_MS : STOP_DELAY_MS,
                                .gang_wait_ms = GANG_WAIT_MS,
                                .max_reported_ends = world->repeats ? MAX_REPORTED_ENDS : 0 };
  Owner *owner = &world->owners[i];
  world_owner_stop (world, i);
  *owner = (Owner){ .world = world,
                    .incarnation = ++world->last_incarnation,
                    .epoch = ++world->store_epoch };
  owner->advice_requests = g_ptr_array_new_with_free_func (advice_request_free);
  owner->authority_ms = world->now_ms;
  owner->store_fenced_ms = world->now_ms;
  owner->pool = fb_pool_new ("svc", owner->epoch, &limits, &callbacks, owner, world->now_ms);
  if (!world->partitions)
    fb_pool_set_leases_until (owner->pool, G_MAXUINT64);
  world_cancels_owner_changed (world);
  world->current_owner = i;
  world->current_owner_seen_ms = world->now_ms;
  world_trace (world, "daemon %u owns the pool under epoch %u", i, (unsigned) owner->epoch);
  restore (world, owner);
  import_suspect_backups (world, owner);
  import_recent_starts (world, owner);
}

/* The store drops the admission of a job that has ended. */
static void
drop_admission (World *world, const char *id)
{
  for (guint i = 0; i < world->job_n; i++)
    world->jobs[i].admission_dropped |= g_str_equal (world->jobs[i].id, id);
}

static void
store_flush (World *world, Owner *owner)
{
  if (owner->epoch != world->store_epoch)
    {
      owner->fenced = TRUE;
      return;
    }
  for (guint i = 0; i < owner->flush->len; i++)
    {
      const FbPoolRecord *record = owner->flush->pdata[i];
      if (record->kind == FB_POOL_RECORD_SILENT_WORKERS)
        {
          g_clear_pointer (&world->silent_workers, g_bytes_unref);
          world->silent_workers = g_bytes_ref (record->progress);
        }
      else if (record->job == NULL)
        {
          g_clear_pointer (&world->known_workers, g_bytes_unref);
          world->known_workers = g_bytes_ref (record->progress);
        }
      else if (record->progress != NULL)
        {
          g_hash_table_replace (world->progress, g_strdup (record->job),
                                g_bytes_ref (record->progress));
          if (record->ended)
            drop_admission (world, record->job);
        }
    }
  g_clear_pointer (&owner->flush, g_ptr_array_unref);
  fb_pool_flushed (owner->pool, world->now_ms);
}

static void
flush_tick (World *world, Owner *owner, gboolean reaches_store)
{
  if (owner->flush == NULL)
    {
      owner->flush = fb_pool_flush (owner->pool, world->now_ms, WALL_MS + world->now_ms);
      owner->flush_done_ms = world->now_ms + 10;
    }
  else if (reaches_store && world->now_ms >= owner->flush_done_ms)
    store_flush (world, owner);
}

void
world_owner_tick (World *world, guint i)
{
  Owner *owner = &world->owners[i];
  gboolean is_current = i == world->current_owner && owner->epoch == world->store_epoch;
  gboolean reaches_store = world_daemon_reaches_store (world, i);
  gboolean member = is_current && reaches_store;
  gboolean stalls = owner->paused && owner->resume_ms != 0;
  if (owner->pool == NULL || (owner->paused && !stalls))
    return;
  if (member)
    world->current_owner_seen_ms = world->now_ms;
  if (stalls)
    return;
  if (member && world->now_ms >= owner->list_read_ms + LIST_LAG_MS)
    {
      pass_worker_list (world, i);
      read_jobs (world, owner);
    }
  answer_advice_requests (owner);
  gboolean has_authority = member || fb_pool_has_majority (owner->pool, MAJORITY_MS, world->now_ms);
  if (has_authority)
    owner->authority_ms = world->now_ms;
  if (has_authority && world->partitions)
    fb_pool_set_leases_until (owner->pool, world->now_ms + CONFIRMED_FOR_MS);
  fb_pool_tick (owner->pool, has_authority, world->now_ms, WALL_MS + world->now_ms);
  flush_tick (world, owner, reaches_store);
  back_up_unstored_suspects (world, owner);
  if (owner->fenced || world->now_ms > owner->authority_ms + STEP_DOWN_MS)
    world_owner_stop (world, i);
}

void
world_assign_pool (World *world)
{
  Owner *owner = &world->owners[world->current_owner];
  gboolean alive = owner->pool != NULL && (!owner->paused || owner->resume_ms != 0)
                   && owner->epoch == world->store_epoch
                   && world_daemon_reaches_store (world, world->current_owner);
  if (world->store_unavailable || (alive && world->now_ms <= world->current_owner_seen_ms + TTL_MS))
    return;
  if (alive || world->now_ms <= world->current_owner_seen_ms + TTL_MS)
    return;
  for (guint i = 1; i <= OWNER_N; i++)
    {
      guint next = (world->current_owner + i) % OWNER_N;
      if (world_daemon_reaches_store (world, next))
        {
          world_owner_start (world, next);
          return;
        }
    }
}
