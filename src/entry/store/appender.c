/* Appends records to one partition with one call at a time; records that arrive meanwhile are
 * combined into the next call (group commit).
 *
 * An append without an answer may have been stored, or may be stored later.  With a writer, it is
 * repeated under its sequence number until the outcome is known.  Without a writer the records are
 * keyed, so that a repeat is harmless: it is repeated too, and if the outcome is still unknown at
 * the end, the caller is informed that it is unknown, never that nothing was stored.
 *
 * The store refuses a call as a whole.  When it refuses one for good, the parts of the batch are
 * sent one by one, so that only the records at fault are not stored. */
#include "src/entry/entry-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "fb-histogram.h"

/* Timeout of an append through another daemon. */
#define PEER_TIMEOUT_MS 900
#define RETRY_MIN_MS 40
#define RETRY_MAX_MS 300
/* Size up to which records are combined into one call: a peer may have to send the batch, whose
 * frames are limited to 2 MB. */
#define BATCH_MAX_BYTES (1024 * 1024)

typedef struct
{
  GByteArray *records;
  uint64_t retry_until_ms; /* see fb_appender_put() */
  FbAppendDone done;
  gpointer user;
} PendingAppend;

struct _FbAppender
{
  FbEntryDaemon *entry;
  char *topic;
  uint32_t partition;
  char *writer;
  uint64_t epoch;
  uint64_t sequence;
  GQueue pending; /* of PendingAppend */
  GQueue batch;   /* of PendingAppend: records in the open call or its repeat */
  guint single_n; /* number of pending appends that are sent one by one */
  GBytes *body;
  uint64_t batch_sent_ms; /* time at which the batch was first sent */
  gboolean in_doubt;      /* an unanswered call may have stored this body */
  guint failures_n;       /* number of failed calls with this body */
  uint32_t retry_ms;
  guint timer;
  gboolean call_open;
  gboolean in_reply; /* callbacks are running, which may free this appender */
  gboolean freed;
};

static void send_next (FbAppender *self);

static void
pending_append_free (gpointer data)
{
  PendingAppend *append = data;
  g_byte_array_unref (append->records);
  g_free (append);
}

static void
destroy (FbAppender *self)
{
  g_queue_clear_full (&self->pending, pending_append_free);
  g_queue_clear_full (&self->batch, pending_append_free);
  g_clear_pointer (&self->body, g_bytes_unref);
  g_free (self->writer);
  g_free (self->topic);
  g_free (self);
}

static void
finish_batch (FbAppender *self, FbAppendResult result)
{
  GQueue batch = self->batch;
  g_queue_init (&self->batch);
  fb_histogram_add (FB_HISTOGRAM_STORE_APPEND, fb_clock_ms () - self->batch_sent_ms);
  g_clear_pointer (&self->body, g_bytes_unref);
  self->in_doubt = FALSE;
  self->failures_n = 0;
  self->retry_ms = RETRY_MIN_MS;
  if (result != FB_APPEND_INVALID)
    self->sequence++;
  PendingAppend *append = NULL;
  while ((append = g_queue_pop_head (&batch)) != NULL)
    {
      if (!self->freed)
        append->done (append->user, result);
      pending_append_free (append);
    }
}

static gboolean
on_retry (gpointer data)
{
  FbAppender *self = data;
  self->timer = 0;
  send_next (self);
  return G_SOURCE_REMOVE;
}

static void
retry_later (FbAppender *self)
{
  self->timer = g_timeout_add (self->retry_ms, on_retry, self);
  self->retry_ms = MIN (self->retry_ms * 2, RETRY_MAX_MS);
}

static gboolean
may_retry (const FbAppender *self)
{
  uint64_t now_ms = fb_clock_ms ();
  for (GList *l = self->batch.head; l != NULL; l = l->next)
    {
      if (now_ms < ((PendingAppend *) l->data)->retry_until_ms)
        return TRUE;
    }
  return FALSE;
}

/* Puts the appends of the batch, which the store refuses for good, back to be sent one by one. */
static void
split_batch (FbAppender *self)
{
  PendingAppend *append = NULL;
  self->single_n = g_queue_get_length (&self->batch);
  while ((append = g_queue_pop_tail (&self->batch)) != NULL)
    g_queue_push_head (&self->pending, append);
  g_clear_pointer (&self->body, g_bytes_unref);
  self->in_doubt = FALSE;
  self->failures_n = 0;
}

static void
handle_result (FbAppender *self, FbAppendResult result)
{
  if (result == FB_APPEND_INVALID)
    {
      if (g_queue_get_length (&self->batch) > 1)
        split_batch (self);
      else
        finish_batch (self, result);
      return;
    }
  self->in_doubt = self->in_doubt || result == FB_APPEND_IN_DOUBT;
  gboolean final = result == FB_APPEND_STORED || result == FB_APPEND_FENCED
                   || result == FB_APPEND_OUT_OF_SEQUENCE;
  if (self->writer != NULL && !final)
    {
      self->failures_n++;
      retry_later (self);
      return;
    }
  if (self->writer == NULL && !final && self->in_doubt)
    {
      if (may_retry (self))
        {
          retry_later (self);
          return;
        }
      result = FB_APPEND_IN_DOUBT;
    }
  finish_batch (self, result);
}

/* Ends the open call with RESULT.  CODE: the store's HTTP status; 0 when a peer made the call. */
static void
end_call (FbAppender *self, FbAppendResult result, guint code)
{
  self->call_open = FALSE;
  self->in_reply = TRUE;
  if (!self->freed)
    {
      if (result != FB_APPEND_STORED)
        fb_event_log (FB_EVENT_CALL_FAILED, "append topic=%s partition=%u result=%d code=%u",
                      self->topic, self->partition, result, code);
      handle_result (self, result);
    }
  self->in_reply = FALSE;
  if (self->freed && !self->call_open)
    destroy (self);
  else if (self->timer == 0)
    send_next (self);
}

static void
on_reply (gpointer data, const FbHttpReply *reply)
{
  FbAppender *self = data;
  if (!self->freed)
    fb_entry_store_answered (self->entry, reply);
  end_call (self, fb_wire_parse_append (reply), reply->code);
}

static void
on_peer_appended (gpointer data, FbAppendResult result)
{
  end_call (data, result, 0);
}

/* Returns: TRUE when the first pending append may be added to a batch of LEN bytes. */
static gboolean
may_add_to_batch (const FbAppender *self, gsize len)
{
  const PendingAppend *append = g_queue_peek_head ((GQueue *) &self->pending);
  const gsize max_bytes = MIN (BATCH_MAX_BYTES, self->entry->settings->append_max_bytes);
  return append != NULL && self->single_n == 0 && len + append->records->len <= max_bytes;
}

static void
begin_batch (FbAppender *self)
{
  GByteArray *body = g_byte_array_new ();
  do
    {
      PendingAppend *append = g_queue_pop_head (&self->pending);
      g_byte_array_append (body, append->records->data, append->records->len);
      g_queue_push_tail (&self->batch, append);
    }
  while (may_add_to_batch (self, body->len));
  if (self->single_n > 0)
    self->single_n--;
  self->body = g_byte_array_free_to_bytes (body);
  self->batch_sent_ms = fb_clock_ms ();
}

/* Sends every second attempt through a peer, because the store may reject the owner's calls while
 * it serves other daemons.  Without that, no end is recorded and therefore none is reported until
 * another daemon has taken over the pool, 1 to 1.5 s later, and short jobs that end meanwhile are
 * late.  The store accepts each sequence number once, whoever sends it.
 * Returns: FALSE when the attempt is to be sent by this daemon. */
static gboolean
append_through_peer (FbAppender *self)
{
  const char *peer = self->writer != NULL && self->failures_n % 2 == 1
                         ? fb_group_any_peer (self->entry->group, NULL)
                         : NULL;
  if (peer == NULL)
    return FALSE;
  gsize len = 0;
  const char *records = g_bytes_get_data (self->body, &len);
  const fb_progress_append_request write = { .partition = self->partition,
                                             .writer = self->writer,
                                             .epoch = self->epoch,
                                             .sequence = self->sequence,
                                             .records = { (u_int) len, (char *) records } };
  fb_peers_append_progress (self->entry, peer, &write, PEER_TIMEOUT_MS, on_peer_appended, self);
  return TRUE;
}

static void
send_next (FbAppender *self)
{
  if (self->freed || self->call_open)
    return;
  if (self->body == NULL && g_queue_is_empty (&self->pending))
    return;
  if (self->body == NULL)
    begin_batch (self);
  self->call_open = TRUE;
  if (append_through_peer (self))
    return;
  FbHttpCall call;
  fb_wire_append (&call, self->entry->settings->store, self->topic, self->partition, self->body,
                  self->writer, self->epoch, self->sequence);
  fb_counter_add (FB_COUNTER_LOG_APPENDS, 1);
  fb_http_client_exchange (self->entry->store_client, &call,
                           fb_store_health_timeout_ms (&self->entry->store_health), on_reply, self);
  fb_http_call_clear (&call);
}

FbAppender *
fb_appender_new (FbEntryDaemon *entry, const char *topic, uint32_t partition, const char *writer,
                 uint64_t epoch)
{
  FbAppender *self = g_new0 (FbAppender, 1);
  self->entry = entry;
  self->topic = g_strdup (topic);
  self->partition = partition;
  self->writer = g_strdup (writer);
  self->epoch = epoch;
  self->retry_ms = RETRY_MIN_MS;
  return self;
}

void
fb_appender_free (FbAppender *self)
{
  if (self == NULL)
    return;
  self->freed = TRUE;
  if (self->timer != 0)
    g_source_remove (self->timer);
  self->timer = 0;
  if (!self->call_open && !self->in_reply)
    destroy (self);
}

void
fb_appender_put (FbAppender *self, GByteArray *records, uint64_t retry_until_ms, FbAppendDone done,
                 gpointer user)
{
  PendingAppend *append = g_new0 (PendingAppend, 1);
  append->records = records;
  append->retry_until_ms = retry_until_ms;
  append->done = done;
  append->user = user;
  g_queue_push_tail (&self->pending, append);
  if (self->timer == 0)
    send_next (self);
}
