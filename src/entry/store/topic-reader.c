/* Follows one partition of a keyed topic: the newest record of each key first, then
 * what is added, by long polls.
 *
 * Failure: a connection goes silent for good; it shows as a poll that never ends.
 * Guard: a poll has little more time than it asked to wait, and its successor
 * uses another connection. */
#include "src/entry/entry-private.h"

#include "fb-event.h"

/* A poll waits this long, so that a silent connection is found and a new one has
 * answered within the 2 s in which a configuration has to be in force. */
#define POLL_WAIT_MS 400
/* The store's answers take 4 ms, and 60 times that when it is slow. */
#define ANSWER_MS 800
/* The first bytes of a page come after some 20 ms, and after 0.3 s when the store is slow.
 *
 * Failure: a daemon starts while the store is silent; a listing that it sent just before
 * the store came back is never answered, and shows as 1.5 s in which it knows neither
 * configuration nor jobs.  Guard: the first try is given up after a short silence, each
 * repeat waits twice as long. */
#define PAGE_FIRST_MS 300
#define PAGE_LAST_MS 2400
/* A page of 1 MB, a third more on the way, takes 1.1 s at 10 Mbit/s, the thinnest link of a
 * daemon; four pools may be listed at once, and callers' jobs come meanwhile. */
#define WHOLE_MS 6000
#define RETRY_FIRST_MS 50
#define RETRY_LAST_MS 400

struct _FbTopicReader
{
  FbEntry *entry;
  char *topic;
  uint32_t partition;
  uint32_t pause_ms; /* between a page of changes and the next poll */
  const FbTopicReaderOps *ops;
  gpointer user;
  char *after; /* last key of the listing so far; NULL: it begins */
  gboolean listing;
  uint64_t from;
  uint64_t sent_ms;
  uint64_t listing_ms; /* when the first page of the open listing was sent */
  uint64_t fresh_ms;
  uint32_t retry_ms;
  uint32_t page_ms; /* silence after which the next page of a listing is given up */
  guint timer;
  gboolean hurry; /* the next pause is left out */
  gboolean call_open;
  gboolean in_reply; /* the callbacks below may free it */
  gboolean freed;
};

static void proceed (FbTopicReader *self);

static void
really_free (FbTopicReader *self)
{
  fb_http_client_cancel (self->entry->store_client, self);
  g_free (self->after);
  g_free (self->topic);
  g_free (self);
}

static gboolean
on_retry (gpointer data)
{
  FbTopicReader *self = data;
  self->timer = 0;
  proceed (self);
  return G_SOURCE_REMOVE;
}

static void
retry_later (FbTopicReader *self)
{
  uint32_t wait_ms = self->retry_ms + (uint32_t) g_random_int_range (0, RETRY_FIRST_MS);
  self->retry_ms = MIN (self->retry_ms * 2, RETRY_LAST_MS);
  self->timer = g_timeout_add (wait_ms, on_retry, self);
}

static void
pass_records (FbTopicReader *self, GPtrArray *records)
{
  for (guint i = 0; i < records->len && !self->freed; i++)
    self->ops->record (self->user, records->pdata[i]);
}

static void
begin_listing (FbTopicReader *self)
{
  self->listing = TRUE;
  g_clear_pointer (&self->after, g_free);
}

static void
take_listing (FbTopicReader *self, const FbHttpReply *reply)
{
  g_autoptr (GPtrArray) records = g_ptr_array_new_with_free_func (fb_store_record_free);
  gboolean more = FALSE;
  uint64_t end = 0;
  if (!fb_wire_parse_newest (reply, records, &more, &end))
    {
      begin_listing (self);
      self->page_ms = MIN (self->page_ms * 2, PAGE_LAST_MS);
      retry_later (self);
      return;
    }
  /* Pages are no snapshot: what changed since the first page is read again. */
  if (self->after == NULL)
    {
      self->from = end;
      self->listing_ms = self->sent_ms;
      self->ops->begin (self->user);
    }
  pass_records (self, records);
  if (more && records->len > 0)
    {
      g_free (self->after);
      self->after = g_strdup (((FbStoreRecord *) records->pdata[records->len - 1])->key);
    }
  else
    {
      /* Failure: a record stored behind the page that had been read is not known yet when the last
       * page comes; dated by that one, the listing proved that there is no such job, and its
       * caller was told so.  Guard: it is as old as its first page. */
      self->listing = FALSE;
      self->fresh_ms = self->listing_ms;
      self->ops->listed (self->user);
    }
  self->retry_ms = RETRY_FIRST_MS;
  proceed (self);
}

static void
take_changes (FbTopicReader *self, const FbHttpReply *reply)
{
  g_autoptr (GPtrArray) records = g_ptr_array_new_with_free_func (fb_store_record_free);
  uint64_t end = 0;
  switch (fb_wire_parse_read (reply, self->from, records, &self->from, &end))
    {
    case FB_READ_FAILED:
      retry_later (self);
      return;
    case FB_READ_EXPIRED:
      begin_listing (self);
      break;
    case FB_READ_OK:
      self->retry_ms = RETRY_FIRST_MS;
      pass_records (self, records);
      if (self->from >= end)
        self->fresh_ms = self->sent_ms;
      break;
    }
  gboolean pause = self->pause_ms > 0 && !self->listing && !self->hurry && !self->freed;
  self->hurry = FALSE;
  if (pause)
    self->timer = g_timeout_add (self->pause_ms, on_retry, self);
  else
    proceed (self);
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
        take_listing (self, reply);
      else
        take_changes (self, reply);
    }
  self->in_reply = FALSE;
  if (self->freed)
    really_free (self);
}

static void
proceed (FbTopicReader *self)
{
  if (self->freed)
    return;
  FbHttpCall call;
  const char *store = self->entry->settings->store;
  if (self->listing)
    fb_wire_newest (&call, store, self->topic, self->partition, self->after);
  else
    fb_wire_read (&call, store, self->topic, self->partition, self->from, POLL_WAIT_MS);
  call.idle_timeout_ms = self->listing ? self->page_ms : POLL_WAIT_MS + ANSWER_MS;
  self->call_open = TRUE;
  self->sent_ms = fb_clock_ms ();
  fb_http_client_exchange (self->entry->store_client, &call, WHOLE_MS, on_reply, self);
  fb_http_call_clear (&call);
}

FbTopicReader *
fb_topic_reader_new (FbEntry *entry, const char *topic, uint32_t partition, uint32_t pause_ms,
                     const FbTopicReaderOps *ops, gpointer user)
{
  FbTopicReader *self = g_new0 (FbTopicReader, 1);
  self->entry = entry;
  self->topic = g_strdup (topic);
  self->partition = partition;
  self->pause_ms = pause_ms;
  self->ops = ops;
  self->user = user;
  self->retry_ms = RETRY_FIRST_MS;
  self->page_ms = PAGE_FIRST_MS;
  begin_listing (self);
  proceed (self);
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
    really_free (self);
}

void
fb_topic_reader_read_now (FbTopicReader *self)
{
  self->hurry = TRUE;
  if (self->call_open || self->timer == 0)
    return;
  g_source_remove (self->timer);
  self->timer = 0;
  proceed (self);
}

uint64_t
fb_topic_reader_fresh_ms (const FbTopicReader *self)
{
  return self->fresh_ms;
}
