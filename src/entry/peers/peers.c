/* Requests between daemons: one XDR value in each direction, over the links between them.
 *
 * ONC RPC's client blocks a thread for each open call, but here hundreds of calls are open on one
 * thread with a fraction of a core, so only its encoding is used. */
#include "src/entry/entry-private.h"

#include "fb-event.h"
#include "fb-traffic.h"
#include "internal/codec.h"

/* Time limit of appending a caller's record for a daemon that the store rejects. */
#define APPEND_MS 1500
/* Time limit of one append of an owner's progress, which the owner repeats. */
#define WRITE_MS 500
/* Time limit of the notification of a stored record; after it the owner has read the record
 * itself. */
#define TELL_MS 700
/* Retry interval while an owner is being replaced. */
#define ASK_AGAIN_MS 120

/* ---- traffic accounting ------------------------------------------------------- */

static FbTraffic
traffic_of (const fb_ask *ask)
{
  switch (ask->type)
    {
    case FB_ASK_ADVICE:
      return FB_TRAFFIC_PEER_ADVICE;
    case FB_ASK_APPEND:
    case FB_ASK_WRITE:
    case FB_ASK_STORED:
      return FB_TRAFFIC_PEER_RECORDS;
    case FB_ASK_ORDER:
      return ask->fb_ask_u.order.kind == FB_CARRY_LOOK ? FB_TRAFFIC_CARRIED_LOOKS
                                                       : FB_TRAFFIC_CARRIED_ORDERS;
    case FB_ASK_STATE:
    case FB_ASK_PENDING:
    case FB_ASK_OWNERS:
    case FB_ASK_STARTS:
    case FB_ASK_KEPT:
      return FB_TRAFFIC_PEER_QUESTIONS;
    case FB_ASK_KEEP:
      return FB_TRAFFIC_PEER_RECORDS;
    }
  return FB_TRAFFIC_OTHER;
}

/* ---- requests ----------------------------------------------------------------- */

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
  fb_told told;
  fb_traffic_add (asked->traffic, 0, len);
  if (result == FB_LINK_ANSWERED && fb_codec_decode_told (body, len, &told))
    {
      asked->done (asked->user, &told);
      xdr_free ((xdrproc_t) xdr_fb_told, (char *) &told);
    }
  else if (result == FB_LINK_NOT_SENT)
    {
      /* The peer is down, so it has done nothing. */
      static const fb_told unsure = { .type = FB_TOLD_UNSURE };
      asked->done (asked->user, &unsure);
    }
  else
    asked->done (asked->user, NULL);
  g_free (asked);
}

void
fb_peers_ask (FbEntry *entry, const char *address, const fb_ask *ask, uint32_t timeout_ms,
              FbTold done, gpointer user)
{
  Asked *asked = g_new0 (Asked, 1);
  asked->done = done;
  asked->user = user;
  asked->traffic = traffic_of (ask);
  g_autoptr (GBytes) body = fb_codec_encode_ask (ask);
  fb_traffic_add (asked->traffic, body != NULL ? g_bytes_get_size (body) : 0, 0);
  fb_links_call (entry->links, address, body, timeout_ms, on_reply, asked);
}

/* ---- requests to an owner ------------------------------------------------------- */

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
finish (OwnerQuestion *question, const fb_told *told)
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
on_owner_told (gpointer data, const fb_told *told)
{
  OwnerQuestion *question = data;
  if (told != NULL && told->type != FB_TOLD_UNSURE)
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
  fb_ask ask;
  if (now_ms >= question->until_ms || !fb_codec_decode_ask (data, len, &ask))
    {
      finish (question, NULL);
      return;
    }
  FbOwner *owner = fb_entry_owner (question->entry, question->partition);
  const char *address = fb_group_owner_of (question->entry->group, question->partition);
  fb_told told = { .type = FB_TOLD_UNSURE };
  uint64_t left_ms = question->until_ms - now_ms;
  if (owner != NULL)
    fb_owner_answer (owner, &ask, &told);
  if (owner == NULL && address != NULL && !g_str_equal (address, question->entry->settings->peers))
    fb_peers_ask (question->entry, address, &ask, (uint32_t) MIN (left_ms, 700), on_owner_told,
                  question);
  else
    on_owner_told (question, &told);
  xdr_free ((xdrproc_t) xdr_fb_ask, (char *) &ask);
}

void
fb_peers_ask_owner (FbEntry *entry, const char *service, const fb_ask *ask, uint32_t timeout_ms,
                    FbTold done, gpointer user)
{
  OwnerQuestion *question = g_new0 (OwnerQuestion, 1);
  question->entry = entry;
  question->partition = fb_entry_partition_of (entry, service);
  question->ask = fb_codec_encode_ask (ask);
  question->until_ms = fb_clock_ms () + timeout_ms;
  question->done = done;
  question->user = user;
  ask_owner (question);
}

/* ---- notifying an owner ------------------------------------------------------------- */

void
fb_peers_ignore_told (gpointer user, const fb_told *told)
{
  (void) user;
  (void) told;
}

/* The owner reads the record from the store too, but later: a poll costs a call of the store (4 ms,
 * 100 ms and more when it is slow), and a poll may return nothing for a second while the store
 * compacts. */
void
fb_peers_tell_stored (FbEntry *entry, uint32_t partition, const char *key, GBytes *value)
{
  FbOwner *owner = fb_entry_owner (entry, partition);
  const char *address = fb_group_owner_of (entry->group, partition);
  if (owner != NULL)
    {
      fb_owner_apply_record (owner, key, value);
      return;
    }
  if (address == NULL || g_str_equal (address, entry->settings->peers))
    {
      fb_group_refresh (entry->group);
      return;
    }
  gsize len = 0;
  fb_ask ask = { .type = FB_ASK_STORED };
  ask.fb_ask_u.stored.partition = partition;
  ask.fb_ask_u.stored.key = (char *) key;
  ask.fb_ask_u.stored.value.value_val = (char *) g_bytes_get_data (value, &len);
  ask.fb_ask_u.stored.value.value_len = (u_int) len;
  fb_peers_ask (entry, address, &ask, TELL_MS, fb_peers_ignore_told, NULL);
}

/* ---- appending through a peer ------------------------------------------------------- */

/* Results of an append and the replies that denote them. */
static const struct
{
  FbAppendResult result;
  fb_told_type told;
} append_results[] = { { FB_APPEND_STORED, FB_TOLD_STORED },
                       { FB_APPEND_NOT_STORED, FB_TOLD_NOT_STORED },
                       { FB_APPEND_IN_DOUBT, FB_TOLD_IN_DOUBT },
                       { FB_APPEND_FENCED, FB_TOLD_FENCED },
                       { FB_APPEND_SEQUENCE, FB_TOLD_SEQUENCE } };

typedef struct
{
  FbAppended done;
  gpointer user;
} PeerWrite;

static void
on_peer_wrote (gpointer data, const fb_told *told)
{
  PeerWrite *write = data;
  FbAppendResult result = FB_APPEND_IN_DOUBT;
  for (guint i = 0; told != NULL && i < G_N_ELEMENTS (append_results); i++)
    {
      if (told->type == append_results[i].told)
        result = append_results[i].result;
    }
  if (told != NULL && told->type == FB_TOLD_UNSURE)
    result = FB_APPEND_NOT_STORED; /* the peer is down, or has no such partition */
  write->done (write->user, result);
  g_free (write);
}

void
fb_peers_write (FbEntry *entry, const char *peer, const fb_ask_write *write, uint32_t timeout_ms,
                FbAppended done, gpointer user)
{
  PeerWrite *open = g_new0 (PeerWrite, 1);
  open->done = done;
  open->user = user;
  fb_ask ask = { .type = FB_ASK_WRITE };
  ask.fb_ask_u.write = *write;
  fb_peers_ask (entry, peer, &ask, timeout_ms, on_peer_wrote, open);
}

/* ---- serving requests ------------------------------------------------------------- */

/* A peer's call that is being served. */
typedef struct
{
  FbLinkCall *call;
  FbTraffic traffic;
} Answer;

/* Sends the reply; TOLD of NULL means that none is available.  DATA: the Answer, which is freed. */
static void
on_answer_ready (gpointer data, const fb_told *told)
{
  Answer *answer = data;
  static const fb_told unsure = { .type = FB_TOLD_UNSURE };
  g_autoptr (GBytes) body = fb_codec_encode_told (told != NULL ? told : &unsure);
  if (body == NULL) /* the reply is larger than the limit */
    body = fb_codec_encode_told (&unsure);
  fb_traffic_add (answer->traffic, g_bytes_get_size (body), 0);
  fb_link_call_answer (answer->call, body);
  g_free (answer);
}

static void
on_appended (gpointer data, FbAppendResult result)
{
  fb_told told = { .type = FB_TOLD_IN_DOUBT };
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
  on_appended (data, fb_wire_append_result (reply));
}

/* Appends immediately, under the owner's own sequence number, so that a repeat by the owner is
 * harmless. */
static void
write_for_owner (FbEntry *entry, const fb_ask_write *ask, Answer *answer)
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
append_for_peer (FbEntry *entry, const fb_ask_append *ask, Answer *answer)
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
take_stored (FbEntry *entry, const fb_ask_stored *ask)
{
  FbOwner *owner = fb_entry_owner (entry, ask->partition);
  g_autoptr (GBytes) value = g_bytes_new (ask->value.value_val, ask->value.value_len);
  if (owner != NULL)
    fb_owner_apply_record (owner, ask->key, value);
}

static void
tell_starts (FbEntry *entry, Answer *answer)
{
  fb_told told = { .type = FB_TOLD_STARTS };
  fb_recent_starts_tell (entry->recent_starts, fb_clock_ms (), &told.fb_told_u.starts);
  on_answer_ready (answer, &told);
  g_free (told.fb_told_u.starts.starts.starts_val);
}

static void
tell_kept (FbEntry *entry, Answer *answer)
{
  fb_told told = { .type = FB_TOLD_KEPT };
  fb_kept_suspects_tell (entry->kept_suspects, fb_clock_ms (), &told.fb_told_u.kept);
  on_answer_ready (answer, &told);
  xdr_free ((xdrproc_t) xdr_fb_told, (char *) &told);
}

static const char *
service_of (const fb_ask *ask)
{
  return ask->type == FB_ASK_STATE ? ask->fb_ask_u.job.service : ask->fb_ask_u.queue.service;
}

static void
answer_ask (FbEntry *entry, const fb_ask *ask, Answer *answer)
{
  fb_told told = { .type = FB_TOLD_UNSURE };
  FbOwner *owner = NULL;
  switch (ask->type)
    {
    case FB_ASK_ADVICE:
      if (entry->settings->advice == NULL)
        break;
      fb_advisor_call (entry, &ask->fb_ask_u.advice, on_answer_ready, answer);
      return;
    case FB_ASK_APPEND:
      append_for_peer (entry, &ask->fb_ask_u.append, answer);
      return;
    case FB_ASK_WRITE:
      write_for_owner (entry, &ask->fb_ask_u.write, answer);
      return;
    case FB_ASK_OWNERS:
      fb_group_tell_owners (entry->group, on_answer_ready, answer);
      return;
    case FB_ASK_ORDER:
      fb_relay_serve (entry, &ask->fb_ask_u.order, on_answer_ready, answer);
      return;
    case FB_ASK_STARTS:
      tell_starts (entry, answer);
      return;
    case FB_ASK_KEPT:
      tell_kept (entry, answer);
      return;
    case FB_ASK_KEEP:
      fb_kept_suspects_take (entry->kept_suspects, &ask->fb_ask_u.keep, fb_clock_ms ());
      break;
    case FB_ASK_STORED:
      take_stored (entry, &ask->fb_ask_u.stored);
      break;
    case FB_ASK_STATE:
    case FB_ASK_PENDING:
      owner = fb_entry_owner (entry, fb_entry_partition_of (entry, service_of (ask)));
      if (owner != NULL)
        fb_owner_answer (owner, ask, &told);
      break;
    }
  on_answer_ready (answer, &told);
}

void
fb_peers_serve (gpointer data, FbLinkCall *call, gconstpointer body, gsize len)
{
  fb_ask ask;
  Answer *answer = g_new0 (Answer, 1);
  answer->call = call;
  answer->traffic = FB_TRAFFIC_OTHER;
  if (!fb_codec_decode_ask (body, len, &ask))
    {
      fb_event_log (FB_EVENT_PEER_REFUSED, "bytes=%u", (guint) len);
      on_answer_ready (answer, NULL);
      return;
    }
  answer->traffic = traffic_of (&ask);
  fb_traffic_add (answer->traffic, 0, len);
  answer_ask (data, &ask, answer);
  xdr_free ((xdrproc_t) xdr_fb_ask, (char *) &ask);
}
