/* Requests between daemons: one XDR value in each direction, over the links between them.
 *
 * Only the encoding of ONC RPC is used: its client blocks a thread for each open call, and here
 * hundreds of calls are open on one thread with a fraction of a core. */
#include "src/entry/configuration.h"
#include "src/entry/entry-private.h"

#include "fb-event.h"
#include "fb-traffic.h"
#include "internal/codec.h"

/* Timeout of appending a caller's record for a daemon that the store rejects. */
#define APPEND_TIMEOUT_MS 1500
/* Timeout of one append of an owner's progress, which the owner repeats. */
#define APPEND_PROGRESS_TIMEOUT_MS 500
/* Timeout of the notification of a stored record; by then the owner has read the record from the
 * store. */
#define NOTIFY_TIMEOUT_MS 700
/* Timeout of one attempt to reach an owner. */
#define OWNER_ATTEMPT_TIMEOUT_MS 700
/* Retry interval while an owner is being replaced. */
#define RETRY_INTERVAL_MS 120
/* Retry interval while an owner reads its jobs, which takes a call of the store. */
#define READ_RETRY_INTERVAL_MS 20

/* ---- traffic accounting ------------------------------------------------------- */

static FbTraffic
traffic_of (const fb_peer_request *peer_request)
{
  switch (peer_request->type)
    {
    case FB_REQUEST_ADVICE:
      return FB_TRAFFIC_PEER_ADVICE;
    case FB_REQUEST_APPEND_JOB_RECORD:
    case FB_REQUEST_APPEND_PROGRESS:
    case FB_REQUEST_NOTIFY_STORED:
      return FB_TRAFFIC_PEER_RECORDS;
    case FB_REQUEST_RELAY_ORDER:
    case FB_REQUEST_RELAY_ORDER_PROGRESS:
      return peer_request->fb_peer_request_u.order.kind == FB_ORDER_KIND_POLL
                 ? FB_TRAFFIC_RELAYED_POLLS
                 : FB_TRAFFIC_RELAYED_ORDERS;
    case FB_REQUEST_JOB_STATE:
    case FB_REQUEST_ACCOUNT_JOB_STATE:
    case FB_REQUEST_PENDING_COUNT:
    case FB_REQUEST_QUEUE_SERVICES:
    case FB_REQUEST_CLAIM_JOBS:
    case FB_REQUEST_PARTITION_OWNERS:
    case FB_REQUEST_RECENT_STARTS:
    case FB_REQUEST_UNHEARD_STARTS:
    case FB_REQUEST_SUSPECT_BACKUPS:
    case FB_REQUEST_STORE_STATE:
    case FB_REQUEST_CURRENT_JOB_STATE:
      return FB_TRAFFIC_PEER_QUESTIONS;
    case FB_REQUEST_BACK_UP_SUSPECTS:
      return FB_TRAFFIC_PEER_RECORDS;
    case FB_REQUEST_CONFIGURATION:
    case FB_REQUEST_WATCH_CONFIGURATION:
      return FB_TRAFFIC_PEER_CONFIGURATION;
    case FB_REQUEST_ACCOUNT_PARTS:
      return FB_TRAFFIC_ACCOUNT_PARTS;
    case FB_REQUEST_LOAD_NOTICE:
    case FB_REQUEST_ADMISSION:
      return FB_TRAFFIC_PEER_ADMISSION;
    }
  return FB_TRAFFIC_OTHER;
}

/* ---- requests ----------------------------------------------------------------- */

typedef struct
{
  FbPeerReplyDone done;
  gpointer user;
  FbTraffic traffic;
} OpenRequest;

static void
on_reply (gpointer data, FbLinkResult result, gconstpointer body, gsize len)
{
  OpenRequest *open = data;
  fb_peer_reply peer_reply;
  fb_traffic_add (open->traffic, 0, len);
  if (result == FB_LINK_ANSWERED && fb_codec_decode_peer_reply (body, len, &peer_reply))
    {
      open->done (open->user, &peer_reply);
      xdr_free ((xdrproc_t) xdr_fb_peer_reply, (char *) &peer_reply);
    }
  else if (result == FB_LINK_NOT_SENT)
    {
      /* The peer is down, or the request too large, so that nothing was executed. */
      static const fb_peer_reply unavailable = { .type = FB_REPLY_UNAVAILABLE };
      open->done (open->user, &unavailable);
    }
  else
    open->done (open->user, NULL);
  g_free (open);
}

void
fb_peers_request (FbEntryDaemon *entry, const char *address, const fb_peer_request *peer_request,
                  uint32_t timeout_ms, FbPeerReplyDone done, gpointer user)
{
  OpenRequest *open = g_new0 (OpenRequest, 1);
  open->done = done;
  open->user = user;
  open->traffic = traffic_of (peer_request);
  g_autoptr (GBytes) body = fb_codec_encode_peer_request (peer_request);
  if (body == NULL)
    fb_event_log (FB_EVENT_CALL_FAILED, "request daemon=%s type=%d not encoded", address,
                  peer_request->type);
  fb_traffic_add (open->traffic, body != NULL ? g_bytes_get_size (body) : 0, 0);
  fb_links_call (entry->links, address, body, timeout_ms, on_reply, open);
}

/* ---- requests to an owner ------------------------------------------------------- */

typedef struct
{
  FbEntryDaemon *entry;
  uint32_t partition;
  GBytes *peer_request;
  uint64_t created_ms;
  uint64_t deadline_ms;
  FbPeerReplyDone done;
  gpointer user;
} OwnerRequest;

static void send_to_owner (OwnerRequest *request);

static void
finish (OwnerRequest *request, const fb_peer_reply *peer_reply)
{
  request->done (request->user, peer_reply);
  g_clear_pointer (&request->peer_request, g_bytes_unref);
  g_free (request);
}

static gboolean
on_retry (gpointer data)
{
  send_to_owner (data);
  return G_SOURCE_REMOVE;
}

static void
on_owner_reply (gpointer data, const fb_peer_reply *peer_reply)
{
  OwnerRequest *request = data;
  fb_peer_reply_type type = peer_reply != NULL ? peer_reply->type : FB_REPLY_UNAVAILABLE;
  if (type != FB_REPLY_UNAVAILABLE && type != FB_REPLY_JOBS_NOT_READ)
    {
      finish (request, peer_reply);
      return;
    }
  uint32_t interval_ms
      = type == FB_REPLY_JOBS_NOT_READ ? READ_RETRY_INTERVAL_MS : RETRY_INTERVAL_MS;
  if (type == FB_REPLY_UNAVAILABLE)
    fb_group_refresh_owners (request->entry->group);
  if (fb_clock_ms () + interval_ms < request->deadline_ms)
    g_timeout_add (interval_ms, on_retry, request);
  else
    finish (request, NULL);
}

static void
send_to_owner (OwnerRequest *request)
{
  uint64_t now_ms = fb_clock_ms ();
  gsize len = 0;
  gconstpointer data
      = request->peer_request != NULL ? g_bytes_get_data (request->peer_request, &len) : NULL;
  fb_peer_request peer_request;
  if (now_ms >= request->deadline_ms || !fb_codec_decode_peer_request (data, len, &peer_request))
    {
      finish (request, NULL);
      return;
    }
  if (peer_request.type == FB_REQUEST_CURRENT_JOB_STATE)
    peer_request.fb_peer_request_u.current_job.age_ms += now_ms - request->created_ms;
  FbOwner *owner = fb_entry_owner (request->entry, request->partition);
  const char *address = fb_group_owner_of (request->entry->group, request->partition);
  fb_peer_reply peer_reply = { .type = FB_REPLY_UNAVAILABLE };
  uint64_t remaining_ms = request->deadline_ms - now_ms;
  if (owner != NULL)
    fb_owner_answer (owner, &peer_request, &peer_reply);
  if (owner == NULL && address != NULL && !g_str_equal (address, request->entry->settings->peers))
    fb_peers_request (request->entry, address, &peer_request,
                      (uint32_t) MIN (remaining_ms, OWNER_ATTEMPT_TIMEOUT_MS), on_owner_reply,
                      request);
  else
    on_owner_reply (request, &peer_reply);
  xdr_free ((xdrproc_t) xdr_fb_peer_reply, (char *) &peer_reply);
  xdr_free ((xdrproc_t) xdr_fb_peer_request, (char *) &peer_request);
}

void
fb_peers_request_owner (FbEntryDaemon *entry, const char *service,
                        const fb_peer_request *peer_request, uint32_t timeout_ms,
                        FbPeerReplyDone done, gpointer user)
{
  OwnerRequest *request = g_new0 (OwnerRequest, 1);
  request->entry = entry;
  request->partition = fb_entry_partition_of (entry, service);
  request->peer_request = fb_codec_encode_peer_request (peer_request);
  request->created_ms = fb_clock_ms ();
  request->deadline_ms = request->created_ms + timeout_ms;
  request->done = done;
  request->user = user;
  send_to_owner (request);
}

/* ---- notifying an owner ------------------------------------------------------------- */

void
fb_peers_ignore_reply (gpointer user, const fb_peer_reply *peer_reply)
{
  (void) user;
  (void) peer_reply;
}

/* Without the notification the owner reads the record from the store later: a poll costs a call of
 * the store (4 ms, 100 ms and more when it is slow), and may return nothing for a second while the
 * store cleans up its log. */
void
fb_peers_notify_stored (FbEntryDaemon *entry, uint32_t partition, const char *key, GBytes *value,
                        FbPeerReplyDone done, gpointer user)
{
  fb_peer_reply local_reply = { .type = FB_REPLY_UNAVAILABLE };
  FbOwner *owner = fb_entry_owner (entry, partition);
  const char *address = fb_group_owner_of (entry->group, partition);
  if (owner != NULL)
    {
      if (fb_owner_apply_record (owner, key, value))
        local_reply.type = FB_REPLY_STORED;
      done (user, &local_reply);
      return;
    }
  if (address == NULL || g_str_equal (address, entry->settings->peers))
    {
      fb_group_refresh_owners (entry->group);
      done (user, &local_reply);
      return;
    }
  gsize len = 0;
  fb_peer_request peer_request = { .type = FB_REQUEST_NOTIFY_STORED };
  peer_request.fb_peer_request_u.stored.partition = partition;
  peer_request.fb_peer_request_u.stored.key = (char *) key;
  peer_request.fb_peer_request_u.stored.value.value_val = (char *) g_bytes_get_data (value, &len);
  peer_request.fb_peer_request_u.stored.value.value_len = (u_int) len;
  fb_peers_request (entry, address, &peer_request, NOTIFY_TIMEOUT_MS, done, user);
}

/* ---- appending through a peer ------------------------------------------------------- */

/* Results of an append and the corresponding replies; a reply stands for the last result that has
 * it. */
static const struct
{
  FbAppendResult result;
  fb_peer_reply_type peer_reply;
} append_results[] = { { FB_APPEND_STORED, FB_REPLY_STORED },
                       { FB_APPEND_INVALID, FB_REPLY_NOT_STORED },
                       { FB_APPEND_NOT_STORED, FB_REPLY_NOT_STORED },
                       { FB_APPEND_IN_DOUBT, FB_REPLY_IN_DOUBT },
                       { FB_APPEND_FENCED, FB_REPLY_FENCED },
                       { FB_APPEND_OUT_OF_SEQUENCE, FB_REPLY_OUT_OF_SEQUENCE } };

typedef struct
{
  FbAppendDone done;
  gpointer user;
} PeerAppend;

static void
on_peer_appended (gpointer data, const fb_peer_reply *peer_reply)
{
  PeerAppend *append = data;
  FbAppendResult result = FB_APPEND_IN_DOUBT;
  for (guint i = 0; peer_reply != NULL && i < G_N_ELEMENTS (append_results); i++)
    {
      if (peer_reply->type == append_results[i].peer_reply)
        result = append_results[i].result;
    }
  if (peer_reply != NULL && peer_reply->type == FB_REPLY_UNAVAILABLE)
    result = FB_APPEND_NOT_STORED; /* the peer is down, or has no such partition */
  append->done (append->user, result);
  g_free (append);
}

void
fb_peers_append_progress (FbEntryDaemon *entry, const char *peer,
                          const fb_progress_append_request *write, uint32_t timeout_ms,
                          FbAppendDone done, gpointer user)
{
  PeerAppend *open = g_new0 (PeerAppend, 1);
  open->done = done;
  open->user = user;
  fb_peer_request peer_request = { .type = FB_REQUEST_APPEND_PROGRESS };
  peer_request.fb_peer_request_u.write = *write;
  fb_peers_request (entry, peer, &peer_request, timeout_ms, on_peer_appended, open);
}

/* ---- serving requests ------------------------------------------------------------- */

/* A peer's call that is being served. */
typedef struct
{
  FbLinkCall *call;
  FbTraffic traffic;
} ServedRequest;

/* Sends the reply and frees DATA, the ServedRequest.  PEER_REPLY: NULL when none is available. */
static void
send_reply (gpointer data, const fb_peer_reply *peer_reply)
{
  ServedRequest *served = data;
  static const fb_peer_reply unavailable = { .type = FB_REPLY_UNAVAILABLE };
  g_autoptr (GBytes) body
      = fb_codec_encode_peer_reply (peer_reply != NULL ? peer_reply : &unavailable);
  if (body == NULL) /* the reply is larger than the limit */
    body = fb_codec_encode_peer_reply (&unavailable);
  fb_traffic_add (served->traffic, g_bytes_get_size (body), 0);
  fb_link_call_answer (served->call, body);
  g_free (served);
}

static void
on_appended (gpointer data, FbAppendResult result)
{
  fb_peer_reply peer_reply = { .type = FB_REPLY_IN_DOUBT };
  for (guint i = 0; i < G_N_ELEMENTS (append_results); i++)
    {
      if (append_results[i].result == result)
        peer_reply.type = append_results[i].peer_reply;
    }
  send_reply (data, &peer_reply);
}

static void
on_progress_appended (gpointer data, const FbHttpReply *reply)
{
  on_appended (data, fb_wire_parse_append (reply));
}

/* Appends immediately under the owner's sequence number, so that a repeat by the owner is
 * harmless. */
static void
append_for_owner (FbEntryDaemon *entry, const fb_progress_append_request *peer_request,
                  ServedRequest *served)
{
  if (peer_request->partition >= entry->settings->partitions)
    {
      send_reply (served, NULL);
      return;
    }
  g_autoptr (GBytes) body
      = g_bytes_new (peer_request->records.records_val, peer_request->records.records_len);
  FbHttpCall call;
  fb_wire_append (&call, entry->settings->store, FB_TOPIC_PROGRESS, peer_request->partition, body,
                  peer_request->writer, peer_request->epoch, peer_request->sequence);
  fb_http_client_exchange (entry->store_client, &call, APPEND_PROGRESS_TIMEOUT_MS,
                           on_progress_appended, served);
  fb_http_call_clear (&call);
}

static void
append_for_peer (FbEntryDaemon *entry, const fb_append_request *peer_request, ServedRequest *served)
{
  if (peer_request->partition >= entry->settings->partitions)
    {
      send_reply (served, NULL);
      return;
    }
  if (fb_entry_store_is_silent (entry))
    {
      on_appended (served, FB_APPEND_NOT_STORED);
      return;
    }
  GByteArray *records = g_byte_array_new ();
  g_byte_array_append (records, (const guint8 *) peer_request->records.records_val,
                       peer_request->records.records_len);
  fb_appender_put (fb_entry_appender (entry, peer_request->partition), records,
                   fb_clock_ms () + APPEND_TIMEOUT_MS, on_appended, served);
}

static fb_peer_reply_type
apply_stored (FbEntryDaemon *entry, const fb_stored_notice *peer_request)
{
  FbOwner *owner = fb_entry_owner (entry, peer_request->partition);
  g_autoptr (GBytes) value
      = g_bytes_new (peer_request->value.value_val, peer_request->value.value_len);
  return owner != NULL && fb_owner_apply_record (owner, peer_request->key, value)
             ? FB_REPLY_STORED
             : FB_REPLY_UNAVAILABLE;
}

static void
reply_with_starts (FbEntryDaemon *entry, gboolean unheard, ServedRequest *served)
{
  fb_peer_reply peer_reply = { .type = FB_REPLY_RECENT_STARTS };
  fb_recent_starts_list (entry->recent_starts, unheard, fb_clock_ms (),
                         &peer_reply.fb_peer_reply_u.starts);
  send_reply (served, &peer_reply);
  g_free (peer_reply.fb_peer_reply_u.starts.starts.starts_val);
}

static void
reply_with_suspect_backups (FbEntryDaemon *entry, ServedRequest *served)
{
  fb_peer_reply peer_reply = { .type = FB_REPLY_SUSPECT_BACKUPS };
  fb_suspect_backups_list (entry->suspect_backups, fb_clock_ms (),
                           &peer_reply.fb_peer_reply_u.backups);
  send_reply (served, &peer_reply);
  xdr_free ((xdrproc_t) xdr_fb_peer_reply, (char *) &peer_reply);
}

/* Replies with the configuration in force if it is newer than that of the requesting daemon. */
static void
reply_with_configuration (FbEntryDaemon *entry, const fb_configuration_request *peer_request,
                          ServedRequest *served)
{
  fb_peer_reply peer_reply;
  gboolean is_newer
      = fb_configuration_fill_reply (entry, peer_request->config_version, &peer_reply);
  send_reply (served, is_newer ? &peer_reply : NULL);
}

static const char *
service_of (const fb_peer_request *peer_request)
{
  switch (peer_request->type)
    {
    case FB_REQUEST_JOB_STATE:
      return peer_request->fb_peer_request_u.job.service;
    case FB_REQUEST_ACCOUNT_JOB_STATE:
      return peer_request->fb_peer_request_u.account_job.service;
    case FB_REQUEST_CURRENT_JOB_STATE:
      return peer_request->fb_peer_request_u.current_job.job.service;
    case FB_REQUEST_ACCOUNT_PARTS:
      return peer_request->fb_peer_request_u.parts.coordinator;
    case FB_REQUEST_ADMISSION:
      return peer_request->fb_peer_request_u.admission.service;
    case FB_REQUEST_CLAIM_JOBS:
      return peer_request->fb_peer_request_u.claim.service;
    default:
      return peer_request->fb_peer_request_u.queue.service;
    }
}

static void
serve_request (FbEntryDaemon *entry, const fb_peer_request *peer_request, ServedRequest *served)
{
  fb_peer_reply peer_reply = { .type = FB_REPLY_UNAVAILABLE };
  FbOwner *owner = NULL;
  switch (peer_request->type)
    {
    case FB_REQUEST_ADVICE:
      if (entry->settings->advice == NULL)
        break;
      fb_advisor_call (entry, &peer_request->fb_peer_request_u.advice, send_reply, served);
      return;
    case FB_REQUEST_APPEND_JOB_RECORD:
      append_for_peer (entry, &peer_request->fb_peer_request_u.append, served);
      return;
    case FB_REQUEST_APPEND_PROGRESS:
      append_for_owner (entry, &peer_request->fb_peer_request_u.write, served);
      return;
    case FB_REQUEST_PARTITION_OWNERS:
      fb_group_send_owners (entry->group, send_reply, served);
      return;
    case FB_REQUEST_RELAY_ORDER:
    case FB_REQUEST_RELAY_ORDER_PROGRESS:
      fb_relay_serve (entry, peer_request, fb_link_call_waited_max_ms (served->call), send_reply,
                      served);
      return;
    case FB_REQUEST_RECENT_STARTS:
    case FB_REQUEST_UNHEARD_STARTS:
      if (peer_request->type == FB_REQUEST_RECENT_STARTS)
        fb_group_refresh_owners (entry->group); /* a new owner asks */
      reply_with_starts (entry, peer_request->type == FB_REQUEST_UNHEARD_STARTS, served);
      return;
    case FB_REQUEST_SUSPECT_BACKUPS:
      reply_with_suspect_backups (entry, served);
      return;
    case FB_REQUEST_BACK_UP_SUSPECTS:
      fb_suspect_backups_put (entry->suspect_backups, &peer_request->fb_peer_request_u.backup,
                              fb_clock_ms ());
      break;
    case FB_REQUEST_NOTIFY_STORED:
      peer_reply.type = apply_stored (entry, &peer_request->fb_peer_request_u.stored);
      break;
    case FB_REQUEST_CONFIGURATION:
      reply_with_configuration (entry, &peer_request->fb_peer_request_u.configuration, served);
      return;
    case FB_REQUEST_WATCH_CONFIGURATION:
      fb_configuration_watchers_add (entry->configuration_watchers,
                                     &peer_request->fb_peer_request_u.watch, send_reply, served);
      return;
    case FB_REQUEST_STORE_STATE:
      peer_reply.type = FB_REPLY_STORE_STATE;
      peer_reply.fb_peer_reply_u.store_state = fb_store_witnesses_own_state (entry, fb_clock_ms ());
      break;
    case FB_REQUEST_LOAD_NOTICE:
      fb_load_notices_put (entry->load_notices, &peer_request->fb_peer_request_u.notice,
                           fb_clock_ms ());
      break;
    case FB_REQUEST_CLAIM_JOBS:
      owner = fb_entry_owner (entry, fb_entry_partition_of (entry, service_of (peer_request)));
      if (owner == NULL)
        break;
      fb_owner_disclaim (owner, &peer_request->fb_peer_request_u.claim, send_reply, served);
      return;
    case FB_REQUEST_JOB_STATE:
    case FB_REQUEST_ACCOUNT_JOB_STATE:
    case FB_REQUEST_CURRENT_JOB_STATE:
    case FB_REQUEST_ACCOUNT_PARTS:
    case FB_REQUEST_ADMISSION:
    case FB_REQUEST_PENDING_COUNT:
    case FB_REQUEST_QUEUE_SERVICES:
      owner = fb_entry_owner (entry, fb_entry_partition_of (entry, service_of (peer_request)));
      if (owner != NULL)
        fb_owner_answer (owner, peer_request, &peer_reply);
      break;
    }
  send_reply (served, &peer_reply);
  xdr_free ((xdrproc_t) xdr_fb_peer_reply, (char *) &peer_reply);
}

void
fb_peers_serve (gpointer data, FbLinkCall *call, gconstpointer body, gsize len)
{
  fb_peer_request peer_request;
  ServedRequest *served = g_new0 (ServedRequest, 1);
  served->call = call;
  served->traffic = FB_TRAFFIC_OTHER;
  if (!fb_codec_decode_peer_request (body, len, &peer_request))
    {
      fb_event_log (FB_EVENT_PEER_REFUSED, "bytes=%u", (guint) len);
      send_reply (served, NULL);
      return;
    }
  served->traffic = traffic_of (&peer_request);
  fb_traffic_add (served->traffic, 0, len);
  serve_request (data, &peer_request, served);
  xdr_free ((xdrproc_t) xdr_fb_peer_request, (char *) &peer_request);
}
