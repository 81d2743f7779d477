/* A node: construction, connections to peers, and dispatch of messages.
 *
 * Every entry point is enclosed in fb_node_enter() and fb_node_leave(). The outermost
 * fb_node_leave() delivers the messages that the node sent to itself, lets racks start work and
 * exchange with workers, and passes records to the log. As a result, no object is called from
 * inside another call on the same object. */
#include "internal/node-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "internal/rack-query.h"

#include <string.h>

#define RACK_TICK_MS 100
#define RANGE_TICK_MS 100
#define SHARD_TICK_MS 500
#define FRONTEND_TICK_MS 250
#define CONFIG_TICK_MS 1000
#define LOG_TICK_MS 250
#define LOOPBACK_MESSAGES_MAX 1000000
#define SUSPENSION_MIN_MS 1000
#define HOST_LIST_REFRESH_MS 1500

FbShard *
fb_node_shard (FbNode *self, uint32_t shard)
{
  return shard < self->shard_n ? &self->shards[shard] : NULL;
}

/* ---- connections to peers ---------------------------------------------- */

/* Messages from one incarnation of a daemon to another are numbered, and a message is accepted
 * only if its number is higher than the last one. Otherwise a delayed or duplicated message
 * could be handled after newer ones, and an order could be executed after it was withdrawn. Lost
 * messages are made up for by the queries of ranges. */
static gboolean
link_accepts (FbNode *self, guint member, const fb_msg *msg)
{
  FbLink *link = &self->links[member];
  if (msg->to_incarnation != 0 && msg->to_incarnation != self->incarnation)
    return FALSE;
  if (msg->to_incarnation == 0 && msg->body.type != FB_MSG_HEARTBEAT)
    return FALSE;
  if (msg->from_incarnation < link->seq_in_incarnation)
    return FALSE;
  if (msg->from_incarnation == link->seq_in_incarnation && msg->seq <= link->seq_in)
    return FALSE;
  link->seq_in_incarnation = msg->from_incarnation;
  link->seq_in = msg->seq;
  return TRUE;
}

void
fb_node_send (FbNode *self, guint member, const fb_body *body)
{
  fb_msg msg = { .from = (char *) fb_members_name (self->members, self->self_index),
                 .from_incarnation = self->incarnation };
  msg.body = *body;
  if (member == self->self_index)
    {
      GBytes *copy = fb_codec_encode_msg (&msg);
      if (copy != NULL)
        g_queue_push_tail (&self->loopback, copy);
      return;
    }
  msg.to_incarnation = fb_members_incarnation (self->members, member);
  if (msg.to_incarnation == 0 && body->type != FB_MSG_HEARTBEAT)
    return;
  FbLink *link = &self->links[member];
  msg.seq = ++link->seq_out;
  if (link->heartbeat_ms > 0)
    msg.echo_ms = link->peer_clock_ms + (self->now_ms - link->heartbeat_ms);
  fb_counter_add (FB_COUNTER_PEER_MESSAGES_SENT, 1);
  self->callbacks->send (self->user, member, &msg);
}

gboolean
fb_node_send_to_owner (FbNode *self, uint32_t shard, const fb_body *body)
{
  const FbShard *s = fb_node_shard (self, shard);
  if (s == NULL || s->owner < 0)
    return FALSE;
  if ((guint) s->owner != self->self_index
      && fb_members_incarnation (self->members, (guint) s->owner) != s->owner_incarnation)
    return FALSE;
  fb_node_send (self, (guint) s->owner, body);
  return TRUE;
}

/* ---- heartbeats ------------------------------------------------------- */

static void
send_heartbeats (gpointer user, uint64_t now_ms)
{
  FbNode *self = user;
  (void) now_ms;
  g_autofree fb_summary *summaries = g_new0 (fb_summary, self->shard_n + 1);
  g_autofree fb_claim_notice *claims = g_new0 (fb_claim_notice, self->shard_n + 1);
  fb_body body = { .type = FB_MSG_HEARTBEAT };
  fb_heartbeat *heartbeat = &body.fb_body_u.heartbeat;
  heartbeat->clock_ms = self->now_ms;
  heartbeat->leaving = self->draining;
  for (guint p = 0; p < FB_PARTNER_N; p++)
    heartbeat->config_serial[p] = self->config[p].serial;
  heartbeat->summaries.summaries_val = summaries;
  heartbeat->claims.claims_val = claims;
  char *name = (char *) fb_members_name (self->members, self->self_index);
  for (guint i = 0; i < self->shard_n; i++)
    {
      FbShard *shard = &self->shards[i];
      if (!fb_shard_is_owned (shard))
        continue;
      claims[heartbeat->claims.claims_len++]
          = (fb_claim_notice){ shard->id, shard->epoch, name, self->incarnation };
      if (shard->rack == NULL)
        continue;
      fb_summary *summary = &summaries[heartbeat->summaries.summaries_len++];
      fb_rack_summary (shard->rack, summary);
      fb_router_update_summary (self->router, self->now_ms, summary);
    }
  for (guint m = 0; m < fb_members_count (self->members); m++)
    {
      if (m != self->self_index)
        fb_node_send (self, m, &body);
    }
}

static void
handle_heartbeat (FbNode *self, guint member, const fb_msg *msg)
{
  const fb_heartbeat *heartbeat = &msg->body.fb_body_u.heartbeat;
  fb_members_record_heartbeat (self->members, self->now_ms, member, msg->from_incarnation,
                               heartbeat->leaving != 0);
  self->links[member].peer_clock_ms = heartbeat->clock_ms;
  self->links[member].heartbeat_ms = self->now_ms;
  for (guint p = 0; p < FB_PARTNER_N; p++)
    self->links[member].config_serial[p] = heartbeat->config_serial[p];
  for (guint i = 0; i < heartbeat->claims.claims_len; i++)
    fb_node_handle_claim (self, member, &heartbeat->claims.claims_val[i]);
  for (guint i = 0; i < heartbeat->summaries.summaries_len; i++)
    fb_router_update_summary (self->router, self->now_ms, &heartbeat->summaries.summaries_val[i]);
}

/* ---- messages --------------------------------------------------------- */

/* Subtracts the transit time from the remaining time in MSG. Otherwise the work in a message
 * that was buffered for seconds could start after its due time. The echo of the receiver's own
 * clock gives an upper bound of the transit time. Without an echo, a message with a due time
 * counts as past due. */
static void
subtract_transit_time (const FbNode *self, fb_msg *msg)
{
  uint64_t *remaining_ms = NULL;
  if (msg->body.type == FB_MSG_PLACE)
    remaining_ms = &msg->body.fb_body_u.place.spec.remaining_ms;
  else if (msg->body.type == FB_MSG_SUBMIT)
    remaining_ms = &msg->body.fb_body_u.submit.job.remaining_ms;
  if (remaining_ms == NULL || *remaining_ms == FB_NO_DEADLINE_MS)
    return;
  uint64_t transit_ms = self->now_ms - MIN (self->now_ms, msg->echo_ms);
  *remaining_ms -= MIN (*remaining_ms, transit_ms);
}

static void
dispatch (FbNode *self, guint member, const fb_msg *msg)
{
  const char *from = fb_members_name (self->members, member);
  switch (msg->body.type)
    {
    case FB_MSG_HEARTBEAT:
      handle_heartbeat (self, member, msg);
      break;
    case FB_MSG_HANDOVER:
      fb_node_handle_handover (self, &msg->body.fb_body_u.handover);
      break;
    case FB_MSG_CONFIG_PULL:
      fb_node_config_pull (self, from, &msg->body.fb_body_u.pull);
      break;
    case FB_MSG_CONFIG_RECORD:
      fb_node_config_receive (self, &msg->body.fb_body_u.config);
      break;
    case FB_MSG_ANSWER:
      fb_node_frontend_answer (self, &msg->body.fb_body_u.answer);
      break;
    default:
      fb_node_work_message (self, from, &msg->body);
      break;
    }
}

void
fb_node_receive (FbNode *self, uint64_t now_ms, fb_msg *msg)
{
  int member = fb_members_find (self->members, msg->from);
  if (member < 0 || (guint) member == self->self_index)
    {
      fb_counter_add (FB_COUNTER_PEER_REJECTED, 1);
      fb_event_log (FB_EVENT_PEER_REFUSED, "from=%s reason=not-in-settings", msg->from);
      return;
    }
  fb_node_enter (self, now_ms);
  if (link_accepts (self, (guint) member, msg))
    {
      subtract_transit_time (self, msg);
      dispatch (self, (guint) member, msg);
    }
  else
    fb_counter_add (FB_COUNTER_PEER_MESSAGES_DROPPED, 1);
  fb_node_leave (self);
}

void
fb_node_enter (FbNode *self, uint64_t now_ms)
{
  self->now_ms = MAX (self->now_ms, now_ms);
  self->depth++;
}

static gboolean
deliver_one (FbNode *self)
{
  GBytes *bytes = g_queue_pop_head (&self->loopback);
  if (bytes != NULL)
    {
      fb_msg msg;
      gsize offset = 0;
      gsize len = 0;
      const void *data = g_bytes_get_data (bytes, &len);
      if (fb_codec_decode_msg (data, len, &offset, &msg))
        {
          dispatch (self, self->self_index, &msg);
          fb_codec_clear_msg (&msg);
        }
      g_bytes_unref (bytes);
      return TRUE;
    }
  bytes = g_queue_pop_head (&self->ephemeral_records);
  if (bytes == NULL)
    return FALSE;
  fb_record record;
  gsize len = 0;
  const void *data = g_bytes_get_data (bytes, &len);
  if (fb_codec_decode_record (data, len, &record))
    {
      static const FbRecordPosition no_position;
      fb_range_apply (self->ephemeral_range, self->now_ms, &record.body, &no_position);
      fb_codec_clear_record (&record);
    }
  g_bytes_unref (bytes);
  return TRUE;
}

static void
flush (FbNode *self)
{
  for (guint i = 0; i < LOOPBACK_MESSAGES_MAX && deliver_one (self); i++)
    ;
  fb_node_free_lost_shards (self);
  fb_range_flush (self->ephemeral_range, self->now_ms);
  for (guint i = 0; i < self->shard_n; i++)
    {
      FbShard *shard = &self->shards[i];
      if (shard->rack != NULL)
        fb_rack_flush (shard->rack, self->now_ms);
      else if (shard->range != NULL && fb_shard_is_owned (shard))
        fb_range_flush (shard->range, self->now_ms);
    }
}

void
fb_node_leave (FbNode *self)
{
  if (self->depth > 1)
    {
      self->depth--;
      return;
    }
  do
    {
      flush (self);
      fb_node_free_lost_shards (self);
    }
  while (!g_queue_is_empty (&self->loopback) || !g_queue_is_empty (&self->ephemeral_records));
  fb_node_flush_log (self);
  self->depth--;
}

static void
tick_racks (gpointer user, uint64_t now_ms)
{
  FbNode *self = user;
  for (guint i = 0; i < self->shard_n; i++)
    {
      if (self->shards[i].rack != NULL && !self->shards[i].lost)
        fb_rack_tick (self->shards[i].rack, now_ms);
    }
}

static void
tick_ranges (gpointer user, uint64_t now_ms)
{
  FbNode *self = user;
  fb_range_tick (self->ephemeral_range, now_ms);
  for (guint i = 0; i < self->shard_n; i++)
    {
      if (self->shards[i].range != NULL && fb_shard_is_owned (&self->shards[i]))
        fb_range_tick (self->shards[i].range, now_ms);
    }
}

static void
tick_shards (gpointer user, uint64_t now_ms)
{
  FbNode *self = user;
  fb_members_tick (self->members, now_ms);
  fb_node_shards_tick (self);
}

static void
tick_frontend (gpointer user, uint64_t now_ms)
{
  (void) now_ms;
  fb_node_frontend_tick (user);
}

static void
tick_config (gpointer user, uint64_t now_ms)
{
  (void) now_ms;
  fb_node_config_tick (user);
  fb_node_services_tick (user);
  fb_node_renew_tick (user);
}

static void
tick_log (gpointer user, uint64_t now_ms)
{
  (void) now_ms;
  fb_node_flush_log (user);
}

/* Delays all starts by HOST_LIST_REFRESH_MS, in which the host list is read again. A process that
 * resumes after a suspension has outdated state and could start work on a host that began to leave
 * in the meantime. */
static void
delay_starts_after_suspension (FbNode *self)
{
  for (guint i = 0; i < self->shard_n; i++)
    {
      if (self->shards[i].rack != NULL)
        fb_rack_pause_starts (self->shards[i].rack, self->now_ms + HOST_LIST_REFRESH_MS);
    }
}

void
fb_node_advance (FbNode *self, uint64_t now_ms)
{
  uint64_t gap_ms = now_ms - MIN (now_ms, self->advanced_ms);
  self->advanced_ms = now_ms;
  fb_node_enter (self, now_ms);
  if (gap_ms >= SUSPENSION_MIN_MS)
    delay_starts_after_suspension (self);
  fb_timer_advance (self->timer, self->now_ms);
  fb_node_leave (self);
}

/* ---- workers ---------------------------------------------------------- */

static FbRack *
rack_at_epoch (FbNode *self, uint32_t rack, uint64_t epoch)
{
  FbShard *shard = fb_node_shard (self, rack);
  if (shard == NULL || shard->rack == NULL || shard->lost || shard->epoch != epoch)
    return NULL;
  return shard->rack;
}

void
fb_node_sync_done (FbNode *self, uint64_t now_ms, uint32_t rack, guint worker,
                   uint64_t request_epoch, const FbSyncReply *reply)
{
  fb_node_enter (self, now_ms);
  FbRack *target = rack_at_epoch (self, rack, request_epoch);
  if (target != NULL)
    fb_rack_sync_done (target, self->now_ms, worker, reply);
  fb_node_leave (self);
}

void
fb_node_sync_failed (FbNode *self, uint64_t now_ms, uint32_t rack, guint worker,
                     uint64_t request_epoch)
{
  fb_node_enter (self, now_ms);
  FbRack *target = rack_at_epoch (self, rack, request_epoch);
  if (target != NULL)
    fb_rack_sync_failed (target, self->now_ms, worker);
  fb_node_leave (self);
}

void
fb_node_worker_changed (FbNode *self, uint64_t now_ms, uint32_t rack, guint worker)
{
  FbShard *shard = fb_node_shard (self, rack);
  if (shard == NULL || shard->rack == NULL || shard->lost)
    return;
  fb_node_enter (self, now_ms);
  fb_rack_worker_changed (shard->rack, worker);
  fb_node_leave (self);
}

/* A host is leaving if the host list says so, or if the operators of its own partner
 * drain it. */
static void
apply_host_state (FbNode *self, FbRack *rack, guint worker, FbHostState state)
{
  const FbPolicy *home = self->config[fb_cell_rack (self->cell, fb_rack_id (rack))->partner].policy;
  if (state == FB_HOST_LIVE && fb_policy_is_drained (home, fb_rack_worker_name (rack, worker)))
    state = FB_HOST_LEAVING;
  fb_rack_set_leaving (rack, self->now_ms, worker, state != FB_HOST_LIVE);
  if (state == FB_HOST_GONE)
    fb_rack_set_gone (rack, self->now_ms, worker);
}

void
fb_node_apply_host_states (FbNode *self, FbShard *shard)
{
  for (guint i = 0; i < fb_rack_worker_count (shard->rack); i++)
    apply_host_state (self, shard->rack, i, self->hosts[shard->id][i]);
}

void
fb_node_set_host_state (FbNode *self, uint64_t now_ms, uint32_t rack, guint worker,
                        FbHostState state)
{
  if (rack >= self->cell->racks->len || worker >= fb_cell_rack (self->cell, rack)->hosts->len)
    return;
  self->hosts[rack][worker] = state;
  FbShard *shard = fb_node_shard (self, rack);
  if (shard->rack == NULL || shard->lost)
    return;
  fb_node_enter (self, now_ms);
  apply_host_state (self, shard->rack, worker, state);
  fb_node_leave (self);
}

/* ---- construction ------------------------------------------------------- */

static void
add_shards (FbNode *self)
{
  self->shard_n = fb_cell_shard_count (self->cell);
  self->shards = g_new0 (FbShard, self->shard_n);
  self->teams = g_new0 (FbTeams *, MAX (self->cell->racks->len, 1));
  self->hosts = g_new0 (FbHostState *, MAX (self->cell->racks->len, 1));
  for (guint i = 0; i < self->shard_n; i++)
    {
      FbShard *shard = &self->shards[i];
      shard->id = i;
      shard->is_rack = fb_cell_is_rack (self->cell, i);
      shard->partner = fb_cell_shard_partner (self->cell, i);
      shard->owner = -1;
      shard->successor = -1;
      if (!shard->is_rack)
        continue;
      const FbCellRack *rack = fb_cell_rack (self->cell, i);
      FbRackInfo info = { rack->partner, rack->domain, rack->host_capacity, { { 0 } } };
      for (guint h = 0; h < rack->hosts->len; h++)
        fb_res_add (&info.total, &rack->host_capacity);
      fb_router_add_rack (self->router, &info);
      self->hosts[i] = g_new0 (FbHostState, MAX (rack->hosts->len, 1));
    }
}

static void
subscribe (FbNode *self)
{
  fb_timer_subscribe (self->timer, FB_MEMBER_HEARTBEAT_MS, send_heartbeats, self);
  fb_timer_subscribe (self->timer, SHARD_TICK_MS, tick_shards, self);
  fb_timer_subscribe (self->timer, RACK_TICK_MS, tick_racks, self);
  fb_timer_subscribe (self->timer, RANGE_TICK_MS, tick_ranges, self);
  fb_timer_subscribe (self->timer, FRONTEND_TICK_MS, tick_frontend, self);
  fb_timer_subscribe (self->timer, CONFIG_TICK_MS, tick_config, self);
  fb_timer_subscribe (self->timer, LOG_TICK_MS, tick_log, self);
}

FbNode *
fb_node_new (const FbNodeConfig *config, uint64_t now_ms)
{
  FbNode *self = g_new0 (FbNode, 1);
  self->cell = config->cell;
  self->self_index = config->self_index;
  self->incarnation = config->incarnation;
  self->callbacks = config->callbacks;
  self->user = config->user;
  self->now_ms = now_ms;
  self->started_ms = now_ms;
  self->advanced_ms = now_ms;
  self->timer = fb_timer_new (now_ms);
  self->members = fb_members_new ();
  for (guint i = 0; i < self->cell->members->len; i++)
    {
      const FbCellMember *member = fb_cell_member (self->cell, i);
      fb_members_add (self->members, member->name, member->partner, member->domain);
    }
  fb_members_set_self (self->members, self->self_index, self->incarnation);
  self->links = g_new0 (FbLink, self->cell->members->len);
  self->router = fb_router_new (&fb_route_best_known, config->seed);
  add_shards (self);
  self->ephemeral_range = fb_range_new (fb_node_ephemeral_range_id (self), FALSE,
                                        &fb_node_range_callbacks, self, config->seed + 1);
  fb_range_activate (self->ephemeral_range, now_ms, 1);
  self->log_ok = TRUE;
  g_queue_init (&self->loopback);
  g_queue_init (&self->ephemeral_records);
  g_queue_init (&self->pending);
  for (guint p = 0; p < FB_PARTNER_N; p++)
    self->config[p].policy = fb_policy_new_default (p);
  self->submissions = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, fb_submission_free);
  subscribe (self);
  return self;
}

static void
free_shards (FbNode *self)
{
  for (guint i = 0; i < self->shard_n; i++)
    {
      g_clear_pointer (&self->shards[i].rack, fb_rack_free);
      g_clear_pointer (&self->shards[i].range, fb_range_free);
      g_clear_pointer (&self->shards[i].stream, fb_stream_free);
      g_clear_pointer (&self->shards[i].handed_over_incarnations, g_array_unref);
    }
  for (guint i = 0; i < self->cell->racks->len; i++)
    {
      g_clear_pointer (&self->teams[i], fb_teams_free);
      g_free (self->hosts[i]);
    }
  g_free (self->shards);
  g_free (self->teams);
  g_free (self->hosts);
}

static void
log_record_free (gpointer data)
{
  FbLogRecord *record = data;
  g_bytes_unref (record->data);
  g_free (record);
}

void
fb_node_free (FbNode *self)
{
  free_shards (self);
  fb_range_free (self->ephemeral_range);
  g_queue_clear_full (&self->pending, log_record_free);
  g_queue_clear_full (&self->loopback, (GDestroyNotify) g_bytes_unref);
  g_queue_clear_full (&self->ephemeral_records, (GDestroyNotify) g_bytes_unref);
  fb_node_config_clear (self);
  g_hash_table_destroy (self->submissions);
  fb_router_free (self->router);
  fb_members_free (self->members);
  fb_timer_free (self->timer);
  g_free (self->links);
  g_free (self);
}

void
fb_node_drain (FbNode *self, uint64_t now_ms)
{
  fb_node_enter (self, now_ms);
  self->draining = TRUE;
  send_heartbeats (self, now_ms);
  fb_node_shards_tick (self);
  fb_node_leave (self);
}
