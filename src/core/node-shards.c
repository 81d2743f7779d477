/* Who owns what: claims through the log, hand-over without it, stepping down.
 *
 * A daemon that should own a shard by rendezvous, and hears of no living owner,
 * reads the shard's stream to its end and appends a claim behind it.  It owns
 * the shard when it has read its own claim back as the valid one.  Authority
 * does not run out with time: only a later claim, or a hand-over, ends it, so
 * an outage of the log disturbs no owner.
 *
 * A rack is handed over directly: the old owner gives back what waits, stops,
 * and lets the new one go on at the next sub-epoch; the workers fence the old
 * one.  A range is handed over by permission to claim: its successor has to
 * read the stream in any case. */
#include "internal/node-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "internal/rack-query.h"

#define DRAIN_MAX_MS 3000
#define CLAIM_RETRY_MS 2000

gboolean
fb_shard_is_mine (const FbShard *shard)
{
  return !shard->lost && (shard->role == FB_SHARD_OWNED || shard->role == FB_SHARD_DRAINING);
}

/* ---- becoming and ceasing to be the owner ----------------------------- */

static void
set_owner (FbNode *self, FbShard *shard, int owner, uint64_t incarnation, uint64_t epoch)
{
  shard->owner = owner;
  shard->owner_incarnation = incarnation;
  shard->known_epoch = epoch;
  if (shard->is_rack && owner < 0)
    fb_router_forget (self->router, shard->id);
}

static void
begin_rack (FbNode *self, FbShard *shard)
{
  const FbCellRack *facts = fb_cell_rack (self->cell, shard->id);
  shard->rack = fb_rack_new (shard->id, facts->name, facts->partner, shard->epoch,
                             &fb_node_rack_sink, self);
  for (guint i = 0; i < facts->hosts->len; i++)
    {
      const FbCellHost *host = g_ptr_array_index (facts->hosts, i);
      fb_rack_add_worker (shard->rack, host->name, &facts->host_capacity);
    }
  fb_node_apply_policy (self, shard);
  fb_node_apply_host_states (self, shard);
}

/* Every job that was needed at the last RENEW has its full record at or behind
 * the offset that it names.  See survey.c. */
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
  shard->handed_to = -1;
  shard->handed_here = FALSE;
  shard->renewed_ms = 0;
  set_owner (self, shard, (int) self->self_index, self->incarnation, epoch);
  fb_event_log (FB_EVENT_SHARD_OWNED, "shard=%u kind=%s epoch=%" G_GUINT64_FORMAT, shard->id,
                shard->is_rack ? "rack" : "range", epoch);
  if (shard->is_rack)
    begin_rack (self, shard);
  else
    {
      fb_range_set_log_ok (shard->range, self->log_ok);
      fb_range_activate (shard->range, self->now_ms, epoch);
      if (shard->renew_read)
        fb_range_set_history_gap (shard->range, self->now_ms, shard->renew_history_gap_ms);
      if (lost_records (shard) || (shard->renew_read && shard->renew_surveying))
        {
          fb_counter_add (FB_COUNTER_RETENTION_ALARMS, 1);
          fb_event_log (FB_EVENT_LOG_RETENTION_PASSED, "shard=%u", shard->id);
          fb_range_begin_survey (shard->range, self->now_ms, self->cell->racks->len);
        }
    }
}

/* The shard's objects may be in use further up the stack: they are dropped by
 * fb_node_reap(). */
void
fb_node_step_down (FbNode *self, FbShard *shard)
{
  if (shard->role == FB_SHARD_FOREIGN)
    return;
  if (fb_shard_is_mine (shard))
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
fb_node_reap (FbNode *self)
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
      shard->role = FB_SHARD_FOREIGN;
      shard->lost = FALSE;
      shard->reading = FALSE;
      shard->confirm_ms = 0;
      shard->read_wanted = 0;
      shard->claim_at_ms = self->now_ms + CLAIM_RETRY_MS;
    }
}

/* ---- what peers say --------------------------------------------------- */

void
fb_node_note_claim (FbNode *self, guint member, const fb_claim_notice *claim)
{
  FbShard *shard = fb_node_shard (self, claim->shard);
  if (shard == NULL || claim->epoch < shard->known_epoch)
    return;
  if (claim->epoch == shard->known_epoch && shard->owner >= 0 && (guint) shard->owner != member)
    return;
  if (fb_shard_is_mine (shard))
    {
      if (claim->epoch <= shard->epoch)
        return;
      fb_node_step_down (self, shard);
    }
  if (shard->handed_to >= 0 && claim->epoch > shard->handed_epoch)
    shard->handed_to = -1;
  shard->announced_ms = self->now_ms;
  set_owner (self, shard, (int) member, claim->incarnation, claim->epoch);
}

void
fb_node_note_handover (FbNode *self, const fb_handover *handover)
{
  FbShard *shard = fb_node_shard (self, handover->shard);
  if (shard == NULL || shard->role != FB_SHARD_FOREIGN || shard->lost || self->draining
      || handover->epoch < shard->known_epoch)
    return;
  shard->handed_here = TRUE;
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
note_claim_in_force (FbNode *self, FbShard *shard, const fb_rec_claim *claim)
{
  uint64_t epoch = fb_stream_epoch (shard->stream);
  gboolean mine = claim->incarnation == self->incarnation
                  && fb_members_find (self->members, claim->owner) == (int) self->self_index;
  if (fb_shard_is_mine (shard))
    {
      if (!fb_epoch_same_claim (epoch, shard->epoch) && epoch > shard->epoch)
        fb_node_step_down (self, shard);
      return;
    }
  if (mine && shard->role == FB_SHARD_CLAIMING)
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
fb_node_shard_record (FbNode *self, FbShard *shard, GBytes *data, const FbRecordPosition *place)
{
  fb_record record;
  gsize len = 0;
  const void *bytes = g_bytes_get_data (data, &len);
  FbStreamResult verdict = fb_stream_read (shard->stream, place->offset, bytes, len, &record);
  gboolean read = verdict == FB_STREAM_OK || verdict == FB_STREAM_CLAIMED;
  if (read && record.body.type == FB_REC_RENEW)
    {
      shard->renew_read = TRUE;
      shard->renew_oldest = record.body.fb_rec_body_u.renew.oldest;
      shard->renew_history_gap_ms = record.body.fb_rec_body_u.renew.history_gap_ms;
      shard->renew_surveying = record.body.fb_rec_body_u.renew.surveying;
    }
  switch (verdict)
    {
    case FB_STREAM_OK:
      if (shard->range != NULL)
        fb_range_apply (shard->range, self->now_ms, &record.body, place);
      break;
    case FB_STREAM_CLAIMED:
      note_claim_in_force (self, shard,
                           record.body.type == FB_REC_RENEW ? &record.body.fb_rec_body_u.renew.claim
                                                            : &record.body.fb_rec_body_u.claim);
      break;
    case FB_STREAM_SUPERSEDED:
    case FB_STREAM_MALFORMED:
      fb_counter_add (FB_COUNTER_LOG_SKIPPED, 1);
      fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "shard=%u offset=%" G_GUINT64_FORMAT " reason=%s",
                    shard->id, place->offset,
                    verdict == FB_STREAM_SUPERSEDED ? "void" : "malformed");
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

/* The stream has been read to its end, from a read that began at READ_ASKED. */
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
      /* Our claim is in the log and did not take effect. */
      fb_node_step_down (self, shard);
      return;
    }
  if (shard->confirm_ms == 0 || shard->read_asked_ms < shard->confirm_ms || shard->rack == NULL)
    return;
  uint64_t asked_ms = shard->confirm_ms;
  shard->confirm_ms = 0;
  if (fb_epoch_same_claim (fb_stream_epoch (shard->stream), shard->epoch))
    fb_rack_ownership_confirmed (shard->rack, self->now_ms, asked_ms);
}

/* ---- wishes ----------------------------------------------------------- */

/* An owner names its shards in every heartbeat: one that is heard and does not
 * name this shard any more has given it up, perhaps to a daemon that never got
 * the word. */
static gboolean
owner_is_living (const FbNode *self, const FbShard *shard)
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
    shard->range = fb_range_new (shard->id, TRUE, &fb_node_range_sink, self,
                                 (uint32_t) (self->incarnation ^ shard->id));
  fb_node_read_shard (self, shard);
}

static void
send_handover (FbNode *self, FbShard *shard)
{
  fb_body body = { .type = FB_MSG_HANDOVER };
  fb_handover *handover = &body.fb_body_u.handover;
  handover->shard = shard->id;
  handover->epoch = shard->handed_epoch;
  if (shard->handed_incarnations != NULL)
    {
      handover->incarnations.incarnations_len = shard->handed_incarnations->len;
      handover->incarnations.incarnations_val
          = (u_quad_t *) (void *) shard->handed_incarnations->data;
    }
  fb_node_send (self, (guint) shard->handed_to, &body);
}

static void
note_lives (FbShard *shard)
{
  g_clear_pointer (&shard->handed_incarnations, g_array_unref);
  if (shard->rack == NULL)
    return;
  shard->handed_incarnations = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (guint i = 0; i < fb_rack_worker_count (shard->rack); i++)
    {
      uint64_t incarnation = fb_rack_worker_confirmed_incarnation (shard->rack, i);
      g_array_append_val (shard->handed_incarnations, incarnation);
    }
}

static void
finish_handover (FbNode *self, FbShard *shard, int to)
{
  fb_counter_add (FB_COUNTER_HANDOVERS, 1);
  fb_event_log (FB_EVENT_SHARD_HANDED_OVER, "shard=%u to=%s epoch=%" G_GUINT64_FORMAT, shard->id,
                fb_members_name (self->members, (guint) to), shard->epoch);
  shard->handed_to = to;
  shard->handed_epoch = shard->epoch;
  note_lives (shard);
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
tick_mine (FbNode *self, FbShard *shard, int rightful)
{
  if (shard->role == FB_SHARD_OWNED)
    {
      if (rightful < 0 || rightful == (int) self->self_index
          || !fb_members_is_stable (self->members, self->now_ms, (guint) rightful))
        return;
      shard->role = FB_SHARD_DRAINING;
      shard->drain_since_ms = self->now_ms;
      if (shard->rack != NULL)
        fb_rack_drain (shard->rack, self->now_ms);
    }
  if (rightful >= 0 && rightful != (int) self->self_index && ready_to_hand_over (self, shard))
    finish_handover (self, shard, rightful);
}

static void
tick_foreign (FbNode *self, FbShard *shard, int rightful)
{
  if (shard->handed_to >= 0)
    {
      /* Say it again until the successor is heard of as the owner. */
      FbMemberState state = fb_members_state (self->members, (guint) shard->handed_to);
      if (state != FB_MEMBER_ALIVE)
        shard->handed_to = -1;
      else
        {
          send_handover (self, shard);
          return;
        }
    }
  gboolean settled = self->now_ms - self->started_ms >= FB_MEMBER_SUSPECT_MS;
  if (self->draining || rightful != (int) self->self_index || self->now_ms < shard->claim_at_ms)
    return;
  if (shard->handed_here || (settled && !owner_is_living (self, shard)))
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
      int rightful = fb_members_preferred_owner (self->members, i, shard->partner,
                                                 self->draining ? self->self_index : G_MAXUINT);
      if (fb_shard_is_mine (shard))
        tick_mine (self, shard, rightful);
      else if (shard->role == FB_SHARD_FOREIGN)
        tick_foreign (self, shard, rightful);
      else if (!shard->reading)
        fb_node_read_shard (self, shard);
    }
}
