/* Appending to the log and reading of streams.
 *
 * Records of all streams are collected while an append is in progress and are written together
 * by the next one (group commit). The log handles a few hundred appends per second for the whole
 * cell, so the number of calls is what limits the throughput, not the number of records.
 *
 * An append that failed, or whose answer was lost, is repeated unchanged. Its records may then
 * be in the log twice; readers drop the duplicates (stream.c). A record takes effect in this
 * daemon only when it is read at its position in the stream. If no unread record precedes it, it
 * is applied directly; otherwise the records in between are read first, as they may contain a
 * successor's claim. */
#include "internal/node-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "internal/range-query.h"

#define APPEND_RETRY_MS 500

static FbShard *
shard_of_stream (FbNode *self, uint32_t stream)
{
  return stream == FB_STREAM_CONFIG ? NULL : fb_node_shard (self, stream);
}

void
fb_node_append (FbNode *self, uint32_t stream, uint64_t epoch, const fb_rec_body *body)
{
  const char *name = fb_members_name (self->members, self->self_index);
  fb_record record = { .format = FB_REC_VERSION,
                       .epoch = epoch,
                       .writer = fb_hash64 (name, self->incarnation),
                       .seq = ++self->record_seq };
  record.body = *body;
  GBytes *data = fb_codec_encode_record (&record);
  g_return_if_fail (data != NULL);
  FbLogRecord *entry = g_new0 (FbLogRecord, 1);
  entry->stream = stream;
  entry->data = data;
  g_queue_push_tail (&self->pending, entry);
  fb_counter_add (FB_COUNTER_LOG_RECORDS, 1);
}

gboolean
fb_node_has_pending (const FbNode *self, uint32_t stream)
{
  for (const GList *link = self->pending.head; link != NULL; link = link->next)
    {
      if (((const FbLogRecord *) link->data)->stream == stream)
        return TRUE;
    }
  return FALSE;
}

static void
entry_free (FbLogRecord *entry)
{
  g_bytes_unref (entry->data);
  g_free (entry);
}

/* Drops the pending records of a shard that this daemon no longer owns, which readers would skip
 * as superseded. Those that are being appended are kept, since the answer to the call refers to
 * them by position. */
void
fb_node_drop_pending (FbNode *self, uint32_t stream)
{
  GList *link = g_queue_peek_nth_link (&self->pending, self->in_flight);
  while (link != NULL)
    {
      GList *next = link->next;
      FbLogRecord *entry = link->data;
      if (entry->stream == stream)
        {
          g_queue_delete_link (&self->pending, link);
          entry_free (entry);
        }
      link = next;
    }
}

void
fb_node_flush_log (FbNode *self)
{
  if (self->appending || g_queue_is_empty (&self->pending) || self->now_ms < self->append_retry_ms)
    return;
  g_autoptr (GArray) batch = g_array_new (FALSE, FALSE, sizeof (FbLogRecord));
  gsize bytes = 0;
  for (GList *link = self->pending.head; link != NULL; link = link->next)
    {
      FbLogRecord *entry = link->data;
      bytes += g_bytes_get_size (entry->data);
      if (batch->len > 0 && (batch->len >= FB_NODE_BATCH_RECORDS || bytes > FB_NODE_BATCH_BYTES))
        break;
      g_array_append_val (batch, *entry);
    }
  /* A failed call is repeated with exactly the same records. */
  if (self->in_flight > 0)
    g_array_set_size (batch, self->in_flight);
  self->in_flight = batch->len;
  self->appending = TRUE;
  fb_counter_add (FB_COUNTER_LOG_APPENDS, 1);
  self->callbacks->log_append (self->user, (const FbLogRecord *) (void *) batch->data, batch->len);
}

static void
set_log_ok (FbNode *self, gboolean ok)
{
  if (self->log_ok == ok)
    return;
  self->log_ok = ok;
  fb_event_log (ok ? FB_EVENT_LOG_AVAILABLE : FB_EVENT_LOG_UNAVAILABLE, "pending=%u",
                g_queue_get_length (&self->pending));
  for (guint i = 0; i < self->shard_n; i++)
    {
      if (self->shards[i].range != NULL)
        fb_range_set_log_ok (self->shards[i].range, ok);
    }
}

static void
apply_appended_record (FbNode *self, FbLogRecord *entry, uint64_t offset)
{
  if (entry->stream == FB_STREAM_CONFIG)
    {
      if (offset == self->config_next)
        fb_node_config_record (self, offset, entry->data, 0);
      return;
    }
  FbShard *shard = shard_of_stream (self, entry->stream);
  if (shard == NULL || shard->stream == NULL || shard->lost)
    return;
  if (!shard->reading && offset == fb_stream_next (shard->stream))
    {
      /* No age and no clock are needed: this owner already has the jobs with their exact
       * times. */
      FbRecordPosition position = { .offset = offset };
      fb_node_shard_record (self, shard, entry->data, &position);
      return;
    }
  shard->read_until = MAX (shard->read_until, offset + 1);
  fb_node_read_shard (self, shard);
}

void
fb_node_log_appended (FbNode *self, uint64_t now_ms, const uint64_t *offsets, guint n)
{
  fb_node_enter (self, now_ms);
  self->appending = FALSE;
  if (offsets == NULL || n != self->in_flight)
    {
      self->append_retry_ms = self->now_ms + APPEND_RETRY_MS;
      fb_counter_add (FB_COUNTER_LOG_ERRORS, 1);
      set_log_ok (self, FALSE);
      fb_node_leave (self);
      return;
    }
  set_log_ok (self, TRUE);
  self->in_flight = 0;
  g_autoptr (GPtrArray) done = g_ptr_array_new_with_free_func ((GDestroyNotify) entry_free);
  for (guint i = 0; i < n; i++)
    g_ptr_array_add (done, g_queue_pop_head (&self->pending));
  for (guint i = 0; i < n; i++)
    apply_appended_record (self, g_ptr_array_index (done, i), offsets[i]);
  fb_node_leave (self);
}

void
fb_node_read_shard (FbNode *self, FbShard *shard)
{
  if (shard->reading || shard->stream == NULL)
    return;
  shard->reading = TRUE;
  shard->read_requested_ms = self->now_ms;
  self->callbacks->log_read (self->user, shard->id, fb_stream_next (shard->stream));
}

static void
read_config (FbNode *self, const FbLogPage *page)
{
  if (page->first_retained > self->config_next)
    fb_node_config_gap (self);
  self->config_next = MAX (self->config_next, page->first_retained);
  for (guint i = 0; i < page->record_n; i++)
    {
      const FbLogRecord *record = &page->records[i];
      if (record->offset >= self->config_next)
        fb_node_config_record (self, record->offset, record->data, record->age_ms);
    }
}

static void
read_shard (FbNode *self, FbShard *shard, const FbLogPage *page)
{
  /* Upper bound of the log's clock now: its last reading plus the time that the read
   * took. */
  uint64_t log_now_ms = page->log_now_ms + (self->now_ms - shard->read_requested_ms);
  /* An owner that has missed records, for example because it was suspended for longer than the
   * log keeps them, steps down and claims the shard again. Another daemon may have owned the
   * shard in the meantime, and this owner would lack the jobs that it admitted. */
  if (page->first_retained > fb_stream_next (shard->stream) && fb_stream_next (shard->stream) > 0
      && fb_shard_is_owned (shard))
    {
      fb_node_step_down (self, shard);
      return;
    }
  fb_stream_set_first_retained (shard->stream, page->first_retained);
  for (guint i = 0; i < page->record_n && !shard->lost; i++)
    {
      const FbLogRecord *record = &page->records[i];
      FbRecordPosition position = { record->offset, record->age_ms, log_now_ms };
      fb_node_shard_record (self, shard, record->data, &position);
    }
  if (shard->lost)
    return;
  if (!page->at_end || fb_stream_next (shard->stream) < shard->read_until)
    fb_node_read_shard (self, shard);
  else
    fb_node_shard_read_end (self, shard);
}

static void
update_log_clock (FbNode *self, const FbLogPage *page)
{
  if (page->log_now_ms == 0)
    return;
  self->log_clock_ms = page->log_now_ms;
  self->log_clock_at_ms = self->now_ms;
}

void
fb_node_log_read (FbNode *self, uint64_t now_ms, uint32_t stream, const FbLogPage *page)
{
  fb_node_enter (self, now_ms);
  if (page == NULL)
    fb_counter_add (FB_COUNTER_LOG_ERRORS, 1);
  else
    update_log_clock (self, page);
  FbShard *shard = shard_of_stream (self, stream);
  if (stream == FB_STREAM_CONFIG)
    {
      self->config_reading = FALSE;
      if (page != NULL)
        read_config (self, page);
    }
  else if (shard != NULL && shard->reading && shard->stream != NULL)
    {
      shard->reading = FALSE;
      if (page != NULL && !shard->lost)
        read_shard (self, shard, page);
    }
  fb_node_leave (self);
}

/* Rewrites records before the log drops them: see docs/design/retention.md. */
void
fb_node_renew_tick (FbNode *self)
{
  const uint64_t age_max_ms = self->cell->retention_ms / 3;
  if (age_max_ms == 0)
    return;
  for (guint i = 0; i < self->shard_n; i++)
    {
      FbShard *shard = &self->shards[i];
      if (!fb_shard_is_owned (shard))
        continue;
      if (shard->range != NULL)
        fb_range_rewrite (shard->range, self->now_ms, age_max_ms);
      if (self->now_ms - shard->renewed_ms < age_max_ms)
        continue;
      shard->renewed_ms = self->now_ms;
      /* The owner of a rack does not read its stream regularly. */
      if (shard->is_rack)
        fb_node_read_shard (self, shard);
      fb_rec_body body = { .type = FB_REC_RENEW };
      fb_rec_renew *renew = &body.fb_rec_body_u.renew;
      renew->read_to = fb_stream_next (shard->stream);
      renew->claim = (fb_rec_claim){ shard->id,
                                     shard->epoch,
                                     0,
                                     0,
                                     (char *) fb_members_name (self->members, self->self_index),
                                     self->incarnation };
      if (shard->range != NULL)
        {
          renew->oldest = fb_range_oldest_offset (shard->range, fb_stream_next (shard->stream));
          renew->history_gap_ms = fb_range_history_gap_ms (shard->range, self->now_ms);
          renew->reconciling = fb_range_is_reconciling (shard->range);
        }
      fb_node_append (self, shard->id, shard->epoch, &body);
    }
}
