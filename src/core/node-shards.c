/* Ownership of shards: claims through the log, handovers without it, and stepping down.
 *
 * A daemon that is the preferred owner of a shard by rendezvous hashing, and has no record of a
 * live owner, reads the shard's stream to its end and appends a claim. It owns the shard once it
 * has read its own claim back as the one in force. Ownership does not expire: only a later claim
 * or a handover ends it, so owners are not affected by an outage of the log.
 *
 * A rack is handed over directly: the old owner reports the waiting tasks as not run and stops,
 * and the new one continues at the next sub-epoch; the workers fence the old one. The handover
 * of a range only permits the successor to claim it, because the successor has to read the
 * stream in any case. */
#include "internal/node-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "internal/rack-query.h"

#define DRAIN_MAX_MS 3000
#define CLAIM_RETRY_MS 2000

gboolean
fb_shard_is_owned (const FbShard *shard)
{
  return !shard->lost && (shard->role == FB_SHARD_OWNED || shard->role == FB_SHARD_DRAINING);
}

/* ---- taking and giving up ownership ------------------------------------- */

static void
set_owner (FbNode *self, FbShard *shard, int owner, uint64_t incarnation, uint64_t epoch)
{
  shard->owner = owner;
  shard->owner_incarnation = incarnation;
  shard->known_epoch = epoch;
  if (shard->is_rack && owner < 0)
    fb_router_disable_rack (self->router, shard->id);
}

static void
create_rack (FbNode *self, FbShard *shard)
{
  const FbCellRack *info = fb_cell_rack (self->cell, shard->id);
  shard->rack = fb_rack_new (shard->id, info->name, info->partner, shard->epoch,
                             &fb_node_rack_callbacks, self);
  for (guint i = 0; i < info->hosts->len; i++)
    {
      const FbCellHost *host = g_ptr_array_index (info->hosts, i);
      fb_rack_add_worker (shard->rack, host->name, &info->host_capacity);
    }
  fb_node_apply_policy (self, shard);
  fb_node_apply_host_states (self, shard);
}

/* Returns: TRUE if the stream may lack records that are still needed. Every job that was
 * needed at the last RENEW has its full record at or after the offset that the RENEW
 * names. See reconcile.c. */
static gboolean
lost_records (const FbShard *shard)
{
  uint64_t first;
  if (!fb_stream_has_gap (shard->stream, &first))
    return FALSE;
  return !shard->renew_read || shard->renew_oldest < fb_stream_validated_from (shard->stream);
}

static void
become_owner (FbNode *self, FbShard *shard, uint64_t epoch)
{
  shard->role = FB_SHARD_OWNED;
  shard->epoch = epoch;
  shard->successor = -1;
  shard->handover_received = FALSE;
  shard->renewed_ms = 0;
  set_owner (self, shard, (int) self->self_index, self->incarnation, epoch);
  fb_event_log (FB_EVENT_SHARD_OWNED, "shard=%u kind=%s epoch=%" G_GUINT64_FORMAT, shard->id,
                shard->is_rack ? "rack" : "range", epoch);
  if (shard->is_rack)
    create_rack (self, shard);
  else
    {
      fb_range_set_log_ok (shard->range, self->log_ok);
      fb_range_activate (shard->range, self->now_ms, epoch);
      if (shard->renew_read)
        fb_range_set_history_gap (shard->range, self->now_ms, shard->renew_history_gap_ms);
      if (lost_records (shard) || (shard->renew_read && shard->renew_reconciling))
        {
          fb_counter_add (FB_COUNTER_RETENTION_ALARMS, 1);
          fb_event_log (FB_EVENT_LOG_RETENTION_PASSED, "shard=%u", shard->id);
          fb_range_begin_reconciliation (shard->range, self->now_ms, self->cell->racks->len);
        }
    }
}

/* Only marks the shard: its objects may be in use by a caller of this function.
 * fb_node_free_lost_shards() frees them. */
void
fb_node_step_down (FbNode *self, FbShard *shard)
{
  if (shard->role == FB_SHARD_NOT_OWNED)
    return;
  if (fb_shard_is_owned (shard))
    {
      fb_counter_add (FB_COUNTER_STEP_DOWNS, 1);
      fb_event_log (FB_EVENT_SHARD_LOST, "shard=%u epoch=%" G_GUINT64_FORMAT, shard->id,
                    shard->epoch);
    }
  if (shard->owner == (int) self->self_index)
    set_owner (self, shard, -1, 0, shard->known_epoch);
  if (shard->range != NULL)
    fb_range_deactivate (shard->range);
  shard->lost = TRUE;
}

void
fb_node_free_lost_shards (FbNode *self)
{
  for (guint i = 0; i < self->shard_n; i++)
    {
      FbShard *shard = &self->shards[i];
      if (!shard->lost)
        continue;
      fb_node_drop_pending (self, shard->id);
      g_clear_pointer (&shard->rack, fb_rack_free);
      g_clear_pointer (&shard->range, fb_range_free);
      g_clear_pointer (&shard->stream, fb_stream_free);
      shard->role = FB_SHARD_NOT_OWNED;
      shard->lost = FALSE;
      shard->reading = FALSE;
      shard->confirm_requested_ms = 0;
      shard->read_until = 0;
      shard->claim_at_ms = self->now_ms + CLAIM_RETRY_MS;
    }
}

/* ---- messages of peers -------------------------------------------------- */

void
fb_node_handle_claim (FbNode *self, guint member, const fb_claim_notice *claim)
{
  FbShard *shard = fb_node_shard (self, claim->shard);
  if (shard == NULL || claim->epoch < shard->known_epoch)
    return;
  if (claim->epoch == shard->known_epoch && shard->owner >= 0 && (guint) shard->owner != member)
    return;
  if (fb_shard_is_owned (shard))
    {
      if (claim->epoch <= shard->epoch)
        return;
      fb_node_step_down (self, shard);
    }
  if (shard->successor >= 0 && claim->epoch > shard->handover_epoch)
    shard->successor = -1;
  shard->announced_ms = self->now_ms;
  set_owner (self, shard, (int) member, claim->incarnation, claim->epoch);
}

void
fb_node_handle_handover (FbNode *self, const fb_handover *handover)
{
  FbShard *shard = fb_node_shard (self, handover->shard);
  if (shard == NULL || shard->role != FB_SHARD_NOT_OWNED || shard->lost || self->draining
      || handover->epoch < shard->known_epoch)
    return;
  shard->handover_received = TRUE;
  shard->claim_at_ms = 0;
  if (!shard->is_rack)
    {
      set_owner (self, shard, -1, 0, handover->epoch);
      return;
    }
  shard->stream = fb_stream_new (shard->id);
  become_owner (self, shard, handover->epoch + 1);
  guint known = MIN (handover->incarnations.incarnations_len, fb_rack_worker_count (shard->rack));
  for (guint i = 0; i < known; i++)
    fb_rack_set_confirmed_incarnation (shard->rack, i, handover->incarnations.incarnations_val[i]);
}

/* ---- records of a shard's stream -------------------------------------- */

static void
handle_claim_in_force (FbNode *self, FbShard *shard, const fb_rec_claim *claim)
{
  uint64_t epoch = fb_stream_epoch (shard->stream);
  gboolean own = claim->incarnation == self->incarnation
                 && fb_members_find (self->members, claim->owner) == (int) self->self_index;
  if (fb_shard_is_owned (shard))
    {
      if (!fb_epoch_same_claim (epoch, shard->epoch) && epoch > shard->epoch)
        fb_node_step_down (self, shard);
      return;
    }
  if (own && shard->role == FB_SHARD_CLAIMING)
    {
      become_owner (self, shard, epoch);
      return;
    }
  int owner = fb_members_find (self->members, claim->owner);
  shard->announced_ms = self->now_ms;
  if (epoch > shard->known_epoch && owner != (int) self->self_index)
    set_owner (self, shard, owner, claim->incarnation, epoch);
}

void
fb_node_shard_record (FbNode *self, FbShard *shard, GBytes *data, const FbRecordPosition *position)
{
  fb_record record;
  gsize len = 0;
  const void *bytes = g_bytes_get_data (data, &len);
  FbStreamResult result = fb_stream_read (shard->stream, position->offset, bytes, len, &record);
  gboolean read = result == FB_STREAM_OK || result == FB_STREAM_CLAIMED;
  if (read && record.body.type == FB_REC_RENEW)
    {
      shard->renew_read = TRUE;
      shard->renew_oldest = record.body.fb_rec_body_u.renew.oldest;
      shard->renew_history_gap_ms = record.body.fb_rec_body_u.renew.history_gap_ms;
      shard->renew_reconciling = record.body.fb_rec_body_u.renew.reconciling;
    }
  switch (result)
    {
    case FB_STREAM_OK:
      if (shard->range != NULL)
        fb_range_apply (shard->range, self->now_ms, &record.body, position);
      break;
    case FB_STREAM_CLAIMED:
      handle_claim_in_force (self, shard,
                             record.body.type == FB_REC_RENEW
                                 ? &record.body.fb_rec_body_u.renew.claim
                                 : &record.body.fb_rec_body_u.claim);
      break;
    case FB_STREAM_SUPERSEDED:
    case FB_STREAM_MALFORMED:
      fb_counter_add (FB_COUNTER_LOG_SKIPPED, 1);
      fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "shard=%u offset=%" G_GUINT64_FORMAT " reason=%s",
                    shard->id, position->offset,
                    result == FB_STREAM_SUPERSEDED ? "void" : "malformed");
      return;
    case FB_STREAM_DUPLICATE:
    case FB_STREAM_OLD:
      return;
    }
  fb_codec_clear_record (&record);
}

static void
append_claim (FbNode *self, FbShard *shard)
{
  uint64_t previous = fb_stream_epoch (shard->stream);
  uint64_t first = 0;
  if (!fb_stream_has_gap (shard->stream, &first) || previous > 0)
    first = 0;
  fb_rec_body body = { .type = FB_REC_CLAIM };
  body.fb_rec_body_u.claim
      = (fb_rec_claim){ shard->id,
                        previous,
                        first,
                        fb_stream_next (shard->stream),
                        (char *) fb_members_name (self->members, self->self_index),
                        self->incarnation };
  shard->role = FB_SHARD_CLAIMING;
  fb_counter_add (FB_COUNTER_CLAIMS, 1);
  fb_event_log (FB_EVENT_SHARD_CLAIMING, "shard=%u previous=%" G_GUINT64_FORMAT, shard->id,
                previous);
  fb_node_append (self, shard->id, previous, &body);
}

/* Called when the stream has been read to its end. shard->read_requested_ms is the time at which
 * that read was requested. */
void
fb_node_shard_read_end (FbNode *self, FbShard *shard)
{
  if (shard->lost)
    return;
  if (shard->role == FB_SHARD_READING)
    {
      append_claim (self, shard);
      return;
    }
  if (shard->role == FB_SHARD_CLAIMING && !fb_node_has_pending (self, shard->id))
    {
      /* This daemon's claim is in the log, but another claim preceded it. */
      fb_node_step_down (self, shard);
      return;
    }
  if (shard->confirm_requested_ms == 0 || shard->read_requested_ms < shard->confirm_requested_ms
      || shard->rack == NULL)
    return;
  uint64_t requested_ms = shard->confirm_requested_ms;
  shard->confirm_requested_ms = 0;
  if (fb_epoch_same_claim (fb_stream_epoch (shard->stream), shard->epoch))
    fb_rack_ownership_confirmed (shard->rack, self->now_ms, requested_ms);
}

/* ---- claims and handovers ----------------------------------------------- */

/* An owner lists its shards in every heartbeat. If its heartbeats do not contain this shard, it
 * no longer owns it, for example after a handover message that was lost. */
static gboolean
owner_is_alive (const FbNode *self, const FbShard *shard)
{
  if (shard->owner < 0 || self->now_ms - shard->announced_ms >= FB_MEMBER_SUSPECT_MS)
    return FALSE;
  guint owner = (guint) shard->owner;
  if (fb_members_incarnation (self->members, owner) != shard->owner_incarnation)
    return FALSE;
  FbMemberState state = fb_members_state (self->members, owner);
  return state == FB_MEMBER_ALIVE || state == FB_MEMBER_LEAVING;
}

static void
begin_claim (FbNode *self, FbShard *shard)
{
  shard->role = FB_SHARD_READING;
  shard->stream = fb_stream_new (shard->id);
  shard->renew_read = FALSE;
  if (!shard->is_rack)
    shard->range = fb_range_new (shard->id, TRUE, &fb_node_range_callbacks, self,
                                 (uint32_t) (self->incarnation ^ shard->id));
  fb_node_read_shard (self, shard);
}

static void
send_handover (FbNode *self, FbShard *shard)
{
  fb_body body = { .type = FB_MSG_HANDOVER };
  fb_handover *handover = &body.fb_body_u.handover;
  handover->shard = shard->id;
  handover->epoch = shard->handover_epoch;
  if (shard->handed_over_incarnations != NULL)
    {
      handover->incarnations.incarnations_len = shard->handed_over_incarnations->len;
      handover->incarnations.incarnations_val
          = (u_quad_t *) (void *) shard->handed_over_incarnations->data;
    }
  fb_node_send (self, (guint) shard->successor, &body);
}

static void
save_confirmed_incarnations (FbShard *shard)
{
  g_clear_pointer (&shard->handed_over_incarnations, g_array_unref);
  if (shard->rack == NULL)
    return;
  shard->handed_over_incarnations = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (guint i = 0; i < fb_rack_worker_count (shard->rack); i++)
    {
      uint64_t incarnation = fb_rack_worker_confirmed_incarnation (shard->rack, i);
      g_array_append_val (shard->handed_over_incarnations, incarnation);
    }
}

static void
finish_handover (FbNode *self, FbShard *shard, int to)
{
  fb_counter_add (FB_COUNTER_HANDOVERS, 1);
  fb_event_log (FB_EVENT_SHARD_HANDED_OVER, "shard=%u to=%s epoch=%" G_GUINT64_FORMAT, shard->id,
                fb_members_name (self->members, (guint) to), shard->epoch);
  shard->successor = to;
  shard->handover_epoch = shard->epoch;
  save_confirmed_incarnations (shard);
  fb_node_step_down (self, shard);
  send_handover (self, shard);
}

static gboolean
ready_to_hand_over (const FbNode *self, const FbShard *shard)
{
  if (shard->rack != NULL)
    return fb_rack_unacked_count (shard->rack) == 0
           || self->now_ms - shard->drain_since_ms >= DRAIN_MAX_MS;
  return !fb_node_has_pending (self, shard->id);
}

static void
tick_owned (FbNode *self, FbShard *shard, int preferred)
{
  if (shard->role == FB_SHARD_OWNED)
    {
      if (preferred < 0 || preferred == (int) self->self_index
          || !fb_members_is_stable (self->members, self->now_ms, (guint) preferred))
        return;
      shard->role = FB_SHARD_DRAINING;
      shard->drain_since_ms = self->now_ms;
      if (shard->rack != NULL)
        fb_rack_drain (shard->rack, self->now_ms);
    }
  if (preferred >= 0 && preferred != (int) self->self_index && ready_to_hand_over (self, shard))
    finish_handover (self, shard, preferred);
}

static void
tick_not_owned (FbNode *self, FbShard *shard, int preferred)
{
  if (shard->successor >= 0)
    {
      /* Repeat the handover message until the successor announces the shard. */
      FbMemberState state = fb_members_state (self->members, (guint) shard->successor);
      if (state != FB_MEMBER_ALIVE)
        shard->successor = -1;
      else
        {
          send_handover (self, shard);
          return;
        }
    }
  gboolean startup_over = self->now_ms - self->started_ms >= FB_MEMBER_SUSPECT_MS;
  if (self->draining || preferred != (int) self->self_index || self->now_ms < shard->claim_at_ms)
    return;
  if (shard->handover_received || (startup_over && !owner_is_alive (self, shard)))
    begin_claim (self, shard);
}

void
fb_node_shards_tick (FbNode *self)
{
  for (guint i = 0; i < self->shard_n; i++)
    {
      FbShard *shard = &self->shards[i];
      if (shard->lost)
        continue;
      int preferred = fb_members_preferred_owner (self->members, i, shard->partner,
                                                  self->draining ? self->self_index : G_MAXUINT);
      if (fb_shard_is_owned (shard))
        tick_owned (self, shard, preferred);
      else if (shard->role == FB_SHARD_NOT_OWNED)
        tick_not_owned (self, shard, preferred);
      else if (!shard->reading)
        fb_node_read_shard (self, shard);
    }
}
