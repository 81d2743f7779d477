/* Questions between daemons: one XDR value in, one out, over the links between them.
 *
 * ONC RPC's client blocks a thread for each open call, and here hundreds of calls
 * are open on one thread with a fraction of a core; only its encoding is used. */
#include "src/entry/entry-private.h"

#include "fb-event.h"
#include "fb-traffic.h"
#include "internal/codec.h"

/* For an append on behalf of a daemon that the store turns away. */
#define APPEND_MS 1500
/* For one append of an owner's progress; it is repeated by the owner. */
#define WRITE_MS 500
/* After this the owner has read the record itself. */
#define TELL_MS 700
/* An owner that is being replaced is asked for again after this. */
#define ASK_AGAIN_MS 120

/* ---- what calls are counted as ------------------------------------------------- */

static FbTraffic
traffic_of (const fb_peer_request *ask)
{
  switch (ask->type)
    {
    case FB_REQUEST_ADVICE:
      return FB_TRAFFIC_PEER_ADVICE;
    case FB_REQUEST_APPEND_JOB_RECORD:
    case FB_REQUEST_APPEND_PROGRESS:
    case FB_REQUEST_NOTIFY_STORED:
      return FB_TRAFFIC_PEER_RECORDS;
    case FB_REQUEST_RELAY_ORDER:
      return ask->fb_peer_request_u.order.kind == FB_ORDER_KIND_POLL ? FB_TRAFFIC_RELAYED_POLLS
                                                                     : FB_TRAFFIC_RELAYED_ORDERS;
    case FB_REQUEST_JOB_STATE:
    case FB_REQUEST_PENDING_COUNT:
    case FB_REQUEST_PARTITION_OWNERS:
    case FB_REQUEST_RECENT_STARTS:
    case FB_REQUEST_SUSPECT_BACKUPS:
      return FB_TRAFFIC_PEER_QUESTIONS;
    case FB_REQUEST_BACK_UP_SUSPECTS:
      return FB_TRAFFIC_PEER_RECORDS;
    }
  return FB_TRAFFIC_OTHER;
}

/* ---- asking ------------------------------------------------------------------- */

typedef struct
{
  FbTold done;
  gpointer user;
  FbTraffic traffic;
} Asked;

static void
on_reply (gpointer data, FbLinkResult result, gconstpointer body, gsize len)
{
  Asked *asked = data;
  fb_peer_reply told;
  fb_traffic_add (asked->traffic, 0, len);
  if (result == FB_LINK_ANSWERED && fb_codec_decode_peer_reply (body, len, &told))
    {
      asked->done (asked->user, &told);
      xdr_free ((xdrproc_t) xdr_fb_peer_reply, (char *) &told);
    }
  else if (result == FB_LINK_NOT_SENT)
    {
      /* The peer is down: it did nothing, and knows nothing. */
      static const fb_peer_reply unsure = { .type = FB_REPLY_UNAVAILABLE };
      asked->done (asked->user, &unsure);
    }
  else
    asked->done (asked->user, NULL);
  g_free (asked);
}

void
fb_peers_ask (FbEntry *entry, const char *address, const fb_peer_request *ask, uint32_t timeout_ms,
              FbTold done, gpointer user)
{
  Asked *asked = g_new0 (Asked, 1);
  asked->done = done;
  asked->user = user;
  asked->traffic = traffic_of (ask);
  g_autoptr (GBytes) body = fb_codec_encode_peer_request (ask);
  fb_traffic_add (asked->traffic, body != NULL ? g_bytes_get_size (body) : 0, 0);
  fb_links_call (entry->links, address, body, timeout_ms, on_reply, asked);
}

/* ---- asking an owner ------------------------------------------------------------ */

typedef struct
{
  FbEntry *entry;
  uint32_t partition;
  GBytes *ask;
  uint64_t until_ms;
  FbTold done;
  gpointer user;
} OwnerQuestion;

static void ask_owner (OwnerQuestion *question);

static void
finish (OwnerQuestion *question, const fb_peer_reply *told)
{
  question->done (question->user, told);
  g_bytes_unref (question->ask);
  g_free (question);
}

static gboolean
on_ask_again (gpointer data)
{
  ask_owner (data);
  return G_SOURCE_REMOVE;
}

static void
on_owner_told (gpointer data, const fb_peer_reply *told)
{
  OwnerQuestion *question = data;
  if (told != NULL && told->type != FB_REPLY_UNAVAILABLE)
    {
      finish (question, told);
      return;
    }
  fb_group_refresh (question->entry->group);
  if (fb_clock_ms () + ASK_AGAIN_MS < question->until_ms)
    g_timeout_add (ASK_AGAIN_MS, on_ask_again, question);
  else
    finish (question, NULL);
}

static void
ask_owner (OwnerQuestion *question)
{
  uint64_t now_ms = fb_clock_ms ();
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (question->ask, &len);
  fb_peer_request ask;
  if (now_ms >= question->until_ms || !fb_codec_decode_peer_request (data, len, &ask))
    {
      finish (question, NULL);
      return;
    }
  FbOwner *owner = fb_entry_owner (question->entry, question->partition);
  const char *address = fb_group_owner_of (question->entry->group, question->partition);
  fb_peer_reply told = { .type = FB_REPLY_UNAVAILABLE };
  uint64_t remaining_ms = question->until_ms - now_ms;
  if (owner != NULL)
    fb_owner_tell (owner, &ask, &told);
  if (owner == NULL && address != NULL && !g_str_equal (address, question->entry->settings->peers))
    fb_peers_ask (question->entry, address, &ask, (uint32_t) MIN (remaining_ms, 700), on_owner_told,
                  question);
  else
    on_owner_told (question, &told);
  xdr_free ((xdrproc_t) xdr_fb_peer_request, (char *) &ask);
}

void
fb_peers_ask_owner (FbEntry *entry, const char *service, const fb_peer_request *ask,
                    uint32_t timeout_ms, FbTold done, gpointer user)
{
  OwnerQuestion *question = g_new0 (OwnerQuestion, 1);
  question->entry = entry;
  question->partition = fb_entry_partition_of (entry, service);
  question->ask = fb_codec_encode_peer_request (ask);
  question->until_ms = fb_clock_ms () + timeout_ms;
  question->done = done;
  question->user = user;
  ask_owner (question);
}

/* ---- telling an owner --------------------------------------------------------------- */

void
fb_peers_ignore_told (gpointer user, const fb_peer_reply *told)
{
  (void) user;
  (void) told;
}

/* The owner reads the record from the store too, but later: a poll costs a call of the
 * store (4 ms, 100 ms and more when it is slow), and polls may hear nothing for a
 * second while the store cleans up. */
void
fb_peers_tell_stored (FbEntry *entry, uint32_t partition, const char *key, GBytes *value)
{
  FbOwner *owner = fb_entry_owner (entry, partition);
  const char *address = fb_group_owner_of (entry->group, partition);
  if (owner != NULL)
    {
      fb_owner_take_record (owner, key, value);
      return;
    }
  if (address == NULL || g_str_equal (address, entry->settings->peers))
    {
      fb_group_refresh (entry->group);
      return;
    }
  gsize len = 0;
  fb_peer_request ask = { .type = FB_REQUEST_NOTIFY_STORED };
  ask.fb_peer_request_u.stored.partition = partition;
  ask.fb_peer_request_u.stored.key = (char *) key;
  ask.fb_peer_request_u.stored.value.value_val = (char *) g_bytes_get_data (value, &len);
  ask.fb_peer_request_u.stored.value.value_len = (u_int) len;
  fb_peers_ask (entry, address, &ask, TELL_MS, fb_peers_ignore_told, NULL);
}

/* ---- writing through a peer --------------------------------------------------------- */

/* What an append came to, as peers tell it. */
static const struct
{
  FbAppendResult result;
  fb_peer_reply_type told;
} append_results[] = { { FB_APPEND_STORED, FB_REPLY_STORED },
                       { FB_APPEND_NOT_STORED, FB_REPLY_NOT_STORED },
                       { FB_APPEND_IN_DOUBT, FB_REPLY_IN_DOUBT },
                       { FB_APPEND_FENCED, FB_REPLY_FENCED },
                       { FB_APPEND_OUT_OF_SEQUENCE, FB_REPLY_OUT_OF_SEQUENCE } };

typedef struct
{
  FbAppended done;
  gpointer user;
} PeerWrite;

static void
on_peer_wrote (gpointer data, const fb_peer_reply *told)
{
  PeerWrite *write = data;
  FbAppendResult result = FB_APPEND_IN_DOUBT;
  for (guint i = 0; told != NULL && i < G_N_ELEMENTS (append_results); i++)
    {
      if (told->type == append_results[i].told)
        result = append_results[i].result;
    }
  if (told != NULL && told->type == FB_REPLY_UNAVAILABLE)
    result = FB_APPEND_NOT_STORED; /* the peer is down, or does not know the partition */
  write->done (write->user, result);
  g_free (write);
}

void
fb_peers_write (FbEntry *entry, const char *peer, const fb_progress_append_request *write,
                uint32_t timeout_ms, FbAppended done, gpointer user)
{
  PeerWrite *open = g_new0 (PeerWrite, 1);
  open->done = done;
  open->user = user;
  fb_peer_request ask = { .type = FB_REQUEST_APPEND_PROGRESS };
  ask.fb_peer_request_u.write = *write;
  fb_peers_ask (entry, peer, &ask, timeout_ms, on_peer_wrote, open);
}

/* ---- answering -------------------------------------------------------------------- */

/* A call of a peer that is being served. */
typedef struct
{
  FbLinkCall *call;
  FbTraffic traffic;
} Answer;

/* DATA: the Answer, which ends here. */
static void
on_answer_ready (gpointer data, const fb_peer_reply *told)
{
  Answer *answer = data;
  static const fb_peer_reply unsure = { .type = FB_REPLY_UNAVAILABLE };
  g_autoptr (GBytes) body = fb_codec_encode_peer_reply (told != NULL ? told : &unsure);
  if (body == NULL) /* more than one answer holds */
    body = fb_codec_encode_peer_reply (&unsure);
  fb_traffic_add (answer->traffic, g_bytes_get_size (body), 0);
  fb_link_call_answer (answer->call, body);
  g_free (answer);
}

static void
on_appended (gpointer data, FbAppendResult result)
{
  fb_peer_reply told = { .type = FB_REPLY_IN_DOUBT };
  for (guint i = 0; i < G_N_ELEMENTS (append_results); i++)
    {
      if (append_results[i].result == result)
        told.type = append_results[i].told;
    }
  on_answer_ready (data, &told);
}

static void
on_written (gpointer data, const FbHttpReply *reply)
{
  on_appended (data, fb_wire_parse_append (reply));
}

/* Sent at once, under the owner's own sequence: a repeat from there does no harm. */
static void
write_for_owner (FbEntry *entry, const fb_progress_append_request *ask, Answer *answer)
{
  if (ask->partition >= entry->settings->partitions)
    {
      on_answer_ready (answer, NULL);
      return;
    }
  g_autoptr (GBytes) body = g_bytes_new (ask->records.records_val, ask->records.records_len);
  FbHttpCall call;
  fb_wire_append (&call, entry->settings->store, FB_TOPIC_PROGRESS, ask->partition, body,
                  ask->writer, ask->epoch, ask->sequence);
  fb_http_client_exchange (entry->store_client, &call, WRITE_MS, on_written, answer);
  fb_http_call_clear (&call);
}

static void
append_for_peer (FbEntry *entry, const fb_append_request *ask, Answer *answer)
{
  if (ask->partition >= entry->settings->partitions)
    {
      on_answer_ready (answer, NULL);
      return;
    }
  if (fb_entry_store_is_silent (entry))
    {
      on_appended (answer, FB_APPEND_NOT_STORED);
      return;
    }
  GByteArray *records = g_byte_array_new ();
  g_byte_array_append (records, (const guint8 *) ask->records.records_val,
                       ask->records.records_len);
  fb_appender_put (fb_entry_appender (entry, ask->partition), records, fb_clock_ms () + APPEND_MS,
                   on_appended, answer);
}

static void
take_stored (FbEntry *entry, const fb_stored_notice *ask)
{
  FbOwner *owner = fb_entry_owner (entry, ask->partition);
  g_autoptr (GBytes) value = g_bytes_new (ask->value.value_val, ask->value.value_len);
  if (owner != NULL)
    fb_owner_take_record (owner, ask->key, value);
}

static void
tell_starts (FbEntry *entry, Answer *answer)
{
  fb_peer_reply told = { .type = FB_REPLY_RECENT_STARTS };
  fb_recent_starts_list (entry->recent_starts, fb_clock_ms (), &told.fb_peer_reply_u.starts);
  on_answer_ready (answer, &told);
  g_free (told.fb_peer_reply_u.starts.starts.starts_val);
}

static void
tell_kept (FbEntry *entry, Answer *answer)
{
  fb_peer_reply told = { .type = FB_REPLY_SUSPECT_BACKUPS };
  fb_suspect_backups_list (entry->suspect_backups, fb_clock_ms (), &told.fb_peer_reply_u.kept);
  on_answer_ready (answer, &told);
  xdr_free ((xdrproc_t) xdr_fb_peer_reply, (char *) &told);
}

static const char *
service_of (const fb_peer_request *ask)
{
  return ask->type == FB_REQUEST_JOB_STATE ? ask->fb_peer_request_u.job.service
                                           : ask->fb_peer_request_u.queue.service;
}

static void
answer_ask (FbEntry *entry, const fb_peer_request *ask, Answer *answer)
{
  fb_peer_reply told = { .type = FB_REPLY_UNAVAILABLE };
  FbOwner *owner = NULL;
  switch (ask->type)
    {
    case FB_REQUEST_ADVICE:
      if (entry->settings->advice == NULL)
        break;
      fb_advisor_call (entry, &ask->fb_peer_request_u.advice, on_answer_ready, answer);
      return;
    case FB_REQUEST_APPEND_JOB_RECORD:
      append_for_peer (entry, &ask->fb_peer_request_u.append, answer);
      return;
    case FB_REQUEST_APPEND_PROGRESS:
      write_for_owner (entry, &ask->fb_peer_request_u.write, answer);
      return;
    case FB_REQUEST_PARTITION_OWNERS:
      fb_group_tell_owners (entry->group, on_answer_ready, answer);
      return;
    case FB_REQUEST_RELAY_ORDER:
      fb_relay_serve (entry, &ask->fb_peer_request_u.order, on_answer_ready, answer);
      return;
    case FB_REQUEST_RECENT_STARTS:
      tell_starts (entry, answer);
      return;
    case FB_REQUEST_SUSPECT_BACKUPS:
      tell_kept (entry, answer);
      return;
    case FB_REQUEST_BACK_UP_SUSPECTS:
      fb_suspect_backups_put (entry->suspect_backups, &ask->fb_peer_request_u.keep, fb_clock_ms ());
      break;
    case FB_REQUEST_NOTIFY_STORED:
      take_stored (entry, &ask->fb_peer_request_u.stored);
      break;
    case FB_REQUEST_JOB_STATE:
    case FB_REQUEST_PENDING_COUNT:
      owner = fb_entry_owner (entry, fb_entry_partition_of (entry, service_of (ask)));
      if (owner != NULL)
        fb_owner_tell (owner, ask, &told);
      break;
    }
  on_answer_ready (answer, &told);
}

void
fb_peers_serve (gpointer data, FbLinkCall *call, gconstpointer body, gsize len)
{
  fb_peer_request ask;
  Answer *answer = g_new0 (Answer, 1);
  answer->call = call;
  answer->traffic = FB_TRAFFIC_OTHER;
  if (!fb_codec_decode_peer_request (body, len, &ask))
    {
      fb_event_log (FB_EVENT_PEER_REFUSED, "bytes=%u", (guint) len);
      on_answer_ready (answer, NULL);
      return;
    }
  answer->traffic = traffic_of (&ask);
  fb_traffic_add (answer->traffic, 0, len);
  answer_ask (data, &ask, answer);
  xdr_free ((xdrproc_t) xdr_fb_peer_request, (char *) &ask);
}
