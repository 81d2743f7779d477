/* Reads one partition of a keyed topic by long polls: first the newest record of each key, then
 * each later record.
 *
 * A connection may stop delivering data permanently.  Therefore a poll times out shortly after the
 * wait time that it passes to the store, and the next poll uses another connection. */
#include "src/entry/entry-private.h"

#include "listing-cursor.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "fb-status.h"

/* Time for which the store may delay its answer to a poll, unless it is set otherwise: short enough
 * that a silent connection is detected and a new one has delivered data within the 2 s in which a
 * new configuration has to take effect. */
#define POLL_WAIT_MS 400
/* Time allowed for the store's answer, which takes 4 ms, and 60 times as long when the store is
 * slow. */
#define ANSWER_ALLOWANCE_MS 800
/* Bounds of the time without data after which reading a page times out.  The first bytes arrive
 * after some 20 ms, and after 0.3 s when the store is slow.  The first attempt times out after a
 * short silence, and each repeat waits twice as long: a listing that was requested just before a
 * silent store recovers is never answered, and with a long timeout a daemon that starts then has
 * neither configuration nor jobs for 1.5 s. */
#define PAGE_SILENCE_MIN_MS 300
#define PAGE_SILENCE_MAX_MS 2400
/* Timeout of a whole call.  A page of 1 MB, a third more when encoded, takes 1.1 s at 10 Mbit/s,
 * the slowest link of a daemon; four pools may be listed at once, and callers' jobs use the link as
 * well. */
#define CALL_TIMEOUT_MS 6000
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 400

struct _FbTopicReader
{
  FbEntryDaemon *entry;
  char *topic;
  uint32_t partition;
  uint32_t pause_ms; /* pause between a page of changes and the next poll */
  uint32_t wait_ms;  /* time for which the store may delay its answer to a poll */
  const FbTopicReaderOps *ops;
  gpointer user;
  FbListingCursor cursor;
  gboolean listing;     /* a listing is in progress; otherwise later records are read */
  uint64_t next_offset; /* offset of the next record to read */
  uint64_t sent_ms;     /* time at which the open or last call was sent */
  uint64_t listing_ms;  /* time at which the first page of the current listing was requested */
  uint64_t synced_ms;   /* every record that was stored before this time has been read; 0: none
                         * yet */
  uint32_t retry_ms; /* delay after the next failure; RETRY_MIN_MS: the last call has not failed */
  uint32_t page_silence_ms; /* time without data after which the next page of a listing times out */
  guint timer;
  gboolean skip_pause;    /* the next pause is skipped */
  gboolean suspended;     /* no call is sent after the open one */
  gboolean check_open;    /* a call of fb_topic_reader_check() has no reply yet */
  uint64_t check_sent_ms; /* time of the last one */
  gboolean call_open;
  gboolean in_reply; /* callbacks are running, which may free this reader */
  gboolean freed;
};

static void send_call (FbTopicReader *self);

static void
destroy (FbTopicReader *self)
{
  fb_http_client_cancel (self->entry->store_client, self);
  fb_listing_cursor_reset (&self->cursor);
  g_free (self->topic);
  g_free (self);
}

static gboolean
on_retry (gpointer data)
{
  FbTopicReader *self = data;
  self->timer = 0;
  send_call (self);
  return G_SOURCE_REMOVE;
}

static void
retry_later (FbTopicReader *self)
{
  uint32_t wait_ms = self->retry_ms + (uint32_t) g_random_int_range (0, RETRY_MIN_MS);
  self->retry_ms = MIN (self->retry_ms * 2, RETRY_MAX_MS);
  self->timer = g_timeout_add (wait_ms, on_retry, self);
}

static void
skip_malformed_record (const FbTopicReader *self, const FbStoreRecord *record)
{
  fb_counter_add (FB_COUNTER_LOG_SKIPPED, 1);
  fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED,
                "topic=%s partition=%u offset=%" G_GUINT64_FORMAT " why=\"malformed\"", self->topic,
                self->partition, record->offset);
}

static void
deliver_records (FbTopicReader *self, GPtrArray *records)
{
  for (guint i = 0; i < records->len && !self->freed; i++)
    {
      const FbStoreRecord *record = records->pdata[i];
      if (record->key != NULL)
        self->ops->record (self->user, record);
      else
        skip_malformed_record (self, record);
    }
}

static void
begin_listing (FbTopicReader *self)
{
  self->listing = TRUE;
  fb_listing_cursor_reset (&self->cursor);
}

/* Lists from the beginning again, after a delay. */
static void
restart_listing (FbTopicReader *self)
{
  begin_listing (self);
  self->page_silence_ms = MIN (self->page_silence_ms * 2, PAGE_SILENCE_MAX_MS);
  retry_later (self);
}

static void
report_unreadable_page (const FbTopicReader *self, const char *why)
{
  g_autofree char *after = g_strescape (self->cursor.after != NULL ? self->cursor.after : "", NULL);
  fb_counter_add (FB_COUNTER_LISTINGS_FAILED, 1);
  fb_event_log (FB_EVENT_CALL_FAILED, "topic=%s partition=%u page after=\"%s\" why=\"%s\"",
                self->topic, self->partition, after, why);
}

static void
finish_listing (FbTopicReader *self)
{
  /* A listing is as old as its first page: a record may be stored at a key that an earlier page
   * has passed.  If the listing were dated by its last page, it would appear to prove that
   * there is no such job, and the job's caller would get that answer. */
  self->listing = FALSE;
  self->retry_ms = RETRY_MIN_MS;
  self->synced_ms = self->listing_ms;
  self->ops->listed (self->user);
}

static void
handle_listing (FbTopicReader *self, const FbHttpReply *reply)
{
  g_autoptr (GPtrArray) records = g_ptr_array_new_with_free_func (fb_store_record_free);
  gboolean more = FALSE;
  uint64_t end = 0;
  if (!fb_wire_parse_newest (reply, records, &more, &end))
    {
      if (reply->status == FB_HTTP_OK && reply->code == FB_HTTP_CODE_OK)
        report_unreadable_page (self, fb_status_message ());
      restart_listing (self);
      return;
    }
  /* The pages are not a consistent snapshot: changes since the first page are read afterwards. */
  if (self->cursor.after == NULL)
    {
      self->next_offset = end;
      self->listing_ms = self->sent_ms;
      self->ops->begin (self->user);
    }
  deliver_records (self, records);
  if (!more)
    finish_listing (self);
  else if (!fb_listing_cursor_advance (&self->cursor, records))
    {
      report_unreadable_page (self, "no key beyond this page is known");
      restart_listing (self);
      return;
    }
  send_call (self);
}

static void
handle_changes (FbTopicReader *self, const FbHttpReply *reply)
{
  g_autoptr (GPtrArray) records = g_ptr_array_new_with_free_func (fb_store_record_free);
  uint64_t end = 0;
  switch (fb_wire_parse_read (reply, self->next_offset, records, &self->next_offset, &end))
    {
    case FB_READ_FAILED:
      retry_later (self);
      return;
    case FB_READ_EXPIRED:
      begin_listing (self);
      break;
    case FB_READ_OK:
      self->retry_ms = RETRY_MIN_MS;
      deliver_records (self, records);
      if (self->next_offset >= end)
        self->synced_ms = self->sent_ms;
      break;
    }
  gboolean pause = self->pause_ms > 0 && !self->listing && !self->skip_pause && !self->freed;
  self->skip_pause = FALSE;
  if (pause)
    self->timer = g_timeout_add (self->pause_ms, on_retry, self);
  else
    send_call (self);
}

static void
on_reply (gpointer data, const FbHttpReply *reply)
{
  FbTopicReader *self = data;
  self->call_open = FALSE;
  self->in_reply = TRUE;
  if (!self->freed)
    {
      fb_entry_store_answered (self->entry, reply);
      if (self->listing)
        handle_listing (self, reply);
      else
        handle_changes (self, reply);
    }
  self->in_reply = FALSE;
  if (self->freed)
    destroy (self);
}

static void
send_call (FbTopicReader *self)
{
  if (self->freed || (self->suspended && !self->listing))
    return;
  FbHttpCall call;
  const char *store = self->entry->settings->store;
  if (self->listing)
    fb_wire_newest (&call, store, self->topic, self->partition, self->cursor.after);
  else
    fb_wire_read (&call, store, self->topic, self->partition, self->next_offset, self->wait_ms);
  call.idle_timeout_ms
      = self->listing ? self->page_silence_ms : self->wait_ms + ANSWER_ALLOWANCE_MS;
  self->call_open = TRUE;
  self->sent_ms = fb_clock_ms ();
  fb_http_client_exchange (self->entry->store_client, &call, CALL_TIMEOUT_MS, on_reply, self);
  fb_http_call_clear (&call);
}

/* Records in the reply are left to the poll that is open, which the store answers as well. */
static void
on_checked (gpointer data, const FbHttpReply *reply)
{
  FbTopicReader *self = data;
  g_autoptr (GPtrArray) records = g_ptr_array_new_with_free_func (fb_store_record_free);
  uint64_t next = 0;
  uint64_t end = 0;
  self->check_open = FALSE;
  fb_entry_store_answered (self->entry, reply);
  if (!self->listing && !self->freed
      && fb_wire_parse_read (reply, self->next_offset, records, &next, &end) == FB_READ_OK
      && end <= self->next_offset)
    self->synced_ms = MAX (self->synced_ms, self->check_sent_ms);
}

void
fb_topic_reader_check (FbTopicReader *self)
{
  if (self->check_open || self->listing || self->freed)
    return;
  FbHttpCall call;
  self->check_sent_ms = fb_clock_ms ();
  fb_wire_read (&call, self->entry->settings->store, self->topic, self->partition,
                self->next_offset, 0);
  call.idle_timeout_ms = ANSWER_ALLOWANCE_MS;
  self->check_open = TRUE;
  fb_http_client_exchange (self->entry->store_client, &call, ANSWER_ALLOWANCE_MS, on_checked, self);
  fb_http_call_clear (&call);
}

FbTopicReader *
fb_topic_reader_new (FbEntryDaemon *entry, const char *topic, uint32_t partition, uint32_t pause_ms,
                     const FbTopicReaderOps *ops, gpointer user)
{
  FbTopicReader *self = g_new0 (FbTopicReader, 1);
  self->entry = entry;
  self->topic = g_strdup (topic);
  self->partition = partition;
  self->pause_ms = pause_ms;
  self->wait_ms = POLL_WAIT_MS;
  self->ops = ops;
  self->user = user;
  self->retry_ms = RETRY_MIN_MS;
  self->page_silence_ms = PAGE_SILENCE_MIN_MS;
  begin_listing (self);
  send_call (self);
  return self;
}

void
fb_topic_reader_free (FbTopicReader *self)
{
  if (self == NULL)
    return;
  self->freed = TRUE;
  if (self->timer != 0)
    g_source_remove (self->timer);
  self->timer = 0;
  if (!self->in_reply)
    destroy (self);
}

void
fb_topic_reader_skip_pause (FbTopicReader *self)
{
  self->skip_pause = TRUE;
  if (self->call_open || self->timer == 0)
    return;
  g_source_remove (self->timer);
  self->timer = 0;
  send_call (self);
}

void
fb_topic_reader_set_wait (FbTopicReader *self, uint32_t wait_ms)
{
  self->wait_ms = wait_ms;
}

void
fb_topic_reader_set_suspended (FbTopicReader *self, gboolean suspended)
{
  self->suspended = suspended;
  if (!suspended && !self->call_open && self->timer == 0)
    send_call (self);
}

gboolean
fb_topic_reader_is_suspended (const FbTopicReader *self)
{
  return self->suspended;
}

gboolean
fb_topic_reader_has_failed (const FbTopicReader *self)
{
  return self->retry_ms > RETRY_MIN_MS;
}

uint64_t
fb_topic_reader_synced_ms (const FbTopicReader *self)
{
  return self->synced_ms;
}

uint64_t
fb_topic_reader_next_offset (const FbTopicReader *self)
{
  return self->next_offset;
}
