/* Stores a caller's record: from this daemon, through a daemon that appends for many
 * (append-proxy.h), or through peers while the store rejects this daemon's calls.  A caller gets
 * the answer that its record is not stored only if every call that may have stored it was
 * answered. */
#include "append-proxy.h"
#include "cancel-notice.h"
#include "frontend-private.h"

#include "src/entry/cancel-records.h"

#include "fb-counter.h"
#include "fb-event.h"

#include <string.h>
#include <talloc.h>

#define PEER_APPEND_TIMEOUT_MS 700
#define IN_DOUBT_BODY "{\"error\":\"not known whether it is stored\"}"
/* Time from which a record that was not stored counts as one that waited for the store. */
#define WAITED_MS 100
#define PEERS_MAX_AGE_MS (FB_ENTRY_FRONTEND_CALL_MAX_MS - PEER_APPEND_TIMEOUT_MS)
#define PEERS_MAX 3
/* Time for which a daemon that failed to append a record is not used: long enough to spare most
 * callers the same failed attempt, short enough for a daemon that has recovered. */
#define BACKOFF_MS 1000

void
fb_entry_frontend_log (const FbFrontendRequest *request, FbEvent event, const char *how)
{
  fb_event_log (event, "job=%s queue=%s how=%s after_ms=%u store_ok_ms_ago=%u", request->job,
                request->queue, how, (guint) (fb_clock_ms () - request->received_ms),
                (guint) (fb_clock_ms () - request->entry->store_answered_ms));
}

/* A job that this daemon has tried to store is not refused for some seconds. */
static void
note_append (const FbFrontendRequest *request)
{
  if (request->entry->routes->accounts != NULL && !request->is_delete)
    fb_recent_appends_note (request->entry->recent_appends, request->job, fb_clock_ms ());
}

static const char *const append_result_names[] = { [FB_APPEND_STORED] = "stored",
                                                   [FB_APPEND_NOT_STORED] = "certainly not stored",
                                                   [FB_APPEND_IN_DOUBT] = "in doubt" };

/* A cancel that may not be stored is repeated by its caller. */
static void
answer_cancel (FbFrontendRequest *request, FbAppendResult result)
{
  guint status = SOUP_STATUS_GATEWAY_TIMEOUT;
  const char *body = IN_DOUBT_BODY;
  /* A route that is not in force serves nobody with success. */
  gboolean is_gone = request->has_no_job || request->route_is_not_in_force;
  if (result == FB_APPEND_STORED)
    {
      status = is_gone ? SOUP_STATUS_GONE : SOUP_STATUS_OK;
      body = is_gone ? FB_NO_SUCH_JOB_BODY : "{}";
    }
  fb_event_log (FB_EVENT_JOB_CANCEL, "job=%s queue=%s service=%s status=%u how=\"%s\" after_ms=%u",
                request->job, request->queue, request->service, status,
                append_result_names[MIN (result, FB_APPEND_IN_DOUBT)],
                (guint) (fb_clock_ms () - request->received_ms));
  fb_entry_frontend_finish (request, status, body);
}

static void
answer_submission (FbFrontendRequest *request, FbAppendResult result)
{
  note_append (request);
  fb_entry_frontend_log (request,
                         result == FB_APPEND_STORED ? FB_EVENT_JOB_ACCEPTED : FB_EVENT_JOB_REFUSED,
                         append_result_names[MIN (result, FB_APPEND_IN_DOUBT)]);
  if (result == FB_APPEND_STORED)
    fb_entry_frontend_finish (request, SOUP_STATUS_OK, "{}");
  else if (result == FB_APPEND_IN_DOUBT)
    fb_entry_frontend_finish (request, SOUP_STATUS_GATEWAY_TIMEOUT, IN_DOUBT_BODY);
  else
    fb_entry_frontend_finish (request, SOUP_STATUS_SERVICE_UNAVAILABLE,
                              "{\"error\":\"not stored\"}");
}

static void
notify_owner (const FbFrontendRequest *request)
{
  if (request->is_delete)
    fb_cancel_notice_send (request->entry, request->partition, request->key, request->value);
  else
    fb_peers_notify_stored (request->entry, request->partition, request->key, request->value,
                            fb_peers_ignore_reply, NULL);
}

static void
answer_stored (FbFrontendRequest *request, FbAppendResult result)
{
  if (result == FB_APPEND_STORED)
    {
      fb_counter_add (FB_COUNTER_JOBS_STORED, 1);
      notify_owner (request);
    }
  else if (result == FB_APPEND_IN_DOUBT || request->is_delete)
    fb_counter_add (FB_COUNTER_JOBS_IN_DOUBT, 1);
  else
    fb_counter_add (FB_COUNTER_JOBS_REFUSED, 1);
  if (result == FB_APPEND_STORED && request->has_no_job && request->without_job->len > 0)
    fb_entry_frontend_store_next_cancel (request);
  else if (request->is_delete)
    answer_cancel (request, result);
  else
    answer_submission (request, result);
}

/* Answers the caller when no call is known to have stored the record. */
static void
answer_not_stored (FbFrontendRequest *request)
{
  answer_stored (request, request->in_doubt ? FB_APPEND_IN_DOUBT : FB_APPEND_NOT_STORED);
}

static void
record_append_result (FbFrontendRequest *request, gboolean stored, gboolean locally)
{
  uint64_t now_ms = fb_clock_ms ();
  uint64_t took_ms = now_ms - request->store_began_ms;
  fb_store_health_appended (&request->entry->store_health, stored, locally,
                            (uint32_t) MIN (took_ms, G_MAXUINT32), now_ms);
}

static void store_by_peer (FbFrontendRequest *request);

static void
request_append (FbFrontendRequest *request, const char *daemon, uint32_t timeout_ms,
                FbPeerReplyDone done)
{
  fb_peer_request peer_request = { .type = FB_REQUEST_APPEND_JOB_RECORD };
  peer_request.fb_peer_request_u.append.partition = request->partition;
  peer_request.fb_peer_request_u.append.records.records_len = request->records->len;
  peer_request.fb_peer_request_u.append.records.records_val = (char *) request->records->data;
  fb_peers_request (request->entry, daemon, &peer_request, timeout_ms, done, request);
}

/* PEER_REPLY: another daemon's reply to the request to store the record; NULL: none.
 * Returns: TRUE when the record is stored; the caller was answered then, and REQUEST freed. */
static gboolean
is_stored_by_other (FbFrontendRequest *request, const fb_peer_reply *peer_reply)
{
  if (peer_reply != NULL && peer_reply->type == FB_REPLY_STORED)
    {
      record_append_result (request, TRUE, FALSE);
      answer_stored (request, FB_APPEND_STORED);
      return TRUE;
    }
  request->in_doubt
      = request->in_doubt || peer_reply == NULL || peer_reply->type == FB_REPLY_IN_DOUBT;
  return FALSE;
}

static void
on_peer_stored (gpointer data, const fb_peer_reply *peer_reply)
{
  FbFrontendRequest *request = data;
  if (is_stored_by_other (request, peer_reply))
    return;
  store_by_peer (request);
}

/* Has the record stored by peers, which are tried one after the other, because the store may reject
 * this daemon's calls while it serves other daemons; otherwise callers would be refused while
 * workers are idle.  The record has a key, so storing it again is harmless. */
static void
store_by_peer (FbFrontendRequest *request)
{
  const char *peer = fb_group_any_peer (request->entry->group, request->tried);
  uint64_t spent_ms = fb_clock_ms () - request->received_ms;
  /* Peers would add their appends to those for which this record had to wait.  A store that fails
   * at once may be out of reach of this daemon only. */
  gboolean is_slow = request->appended && spent_ms >= WAITED_MS
                     && fb_store_health_is_slow (&request->entry->store_health);
  if (peer == NULL || is_slow || spent_ms >= PEERS_MAX_AGE_MS || request->tried->len >= PEERS_MAX)
    {
      answer_not_stored (request);
      return;
    }
  g_ptr_array_add (request->tried, g_strdup (peer));
  request_append (request, peer, PEER_APPEND_TIMEOUT_MS, on_peer_stored);
}

static void
on_stored (gpointer data, FbAppendResult result)
{
  FbFrontendRequest *request = data;
  request->appended = TRUE;
  record_append_result (request, result == FB_APPEND_STORED, TRUE);
  request->in_doubt = request->in_doubt || result == FB_APPEND_IN_DOUBT;
  if (result == FB_APPEND_STORED)
    answer_stored (request, result);
  else if (result == FB_APPEND_INVALID)
    answer_not_stored (request);
  else
    store_by_peer (request);
}

static void
store_locally (FbFrontendRequest *request)
{
  fb_appender_put (fb_entry_appender (request->entry, request->partition),
                   g_byte_array_ref (request->records),
                   request->received_ms + FB_ENTRY_FRONTEND_STORE_MS, on_stored, request);
}

static void
log_store_health_change (FbEntryDaemon *entry, uint64_t now_ms)
{
  const FbStoreHealth *store_health = &entry->store_health;
  gboolean store_degraded = fb_append_proxy_store_is_degraded (store_health, now_ms);
  if (store_degraded != entry->store_degraded)
    fb_event_log (store_degraded ? FB_EVENT_STORE_SLOW : FB_EVENT_STORE_QUICK,
                  "append_ms=%u renewal_ms=%u failed=%d", store_health->append_latency_ms,
                  store_health->renewal_latency_ms,
                  fb_store_health_has_failed (store_health, now_ms));
  entry->store_degraded = store_degraded;
}

static void store_by_proxy (FbFrontendRequest *request);

/* Excludes the proxy that was tried last for a while, because it did not store the record. */
static void
back_off_last_proxy (FbFrontendRequest *request)
{
  const char *daemon = request->tried->pdata[request->tried->len - 1];
  fb_daemons_back_off_append (request->entry->daemons, daemon, fb_clock_ms () + BACKOFF_MS);
}

static void
on_proxy_stored (gpointer data, const fb_peer_reply *peer_reply)
{
  FbFrontendRequest *request = data;
  if (is_stored_by_other (request, peer_reply))
    return;
  gboolean reached = peer_reply == NULL || peer_reply->type != FB_REPLY_UNAVAILABLE;
  if (fb_append_proxy_is_at_fault (reached))
    back_off_last_proxy (request);
  store_by_proxy (request);
}

/* Stores the record through another daemon, or from this one, as fb_append_proxy_route()
 * decides. */
static void
store_by_proxy (FbFrontendRequest *request)
{
  FbEntryDaemon *entry = request->entry;
  uint64_t now_ms = fb_clock_ms ();
  const FbAppendProxyRecord record
      = { .receiver = entry->settings->peers,
          .owner = fb_group_owner_of (entry->group, request->partition),
          .tried = request->tried,
          .partition = request->partition,
          .received_ms = request->received_ms };
  log_store_health_change (entry, now_ms);
  FbAppendRoute route = fb_append_proxy_route (&record, &entry->store_health,
                                               fb_daemons_all (entry->daemons), now_ms);
  switch (route.step)
    {
    case FB_APPEND_ROUTE_LOCAL:
      store_locally (request);
      break;
    case FB_APPEND_ROUTE_PROXY:
      g_ptr_array_add (request->tried, g_strdup (route.address));
      request_append (request, route.address, route.timeout_ms, on_proxy_stored);
      break;
    case FB_APPEND_ROUTE_GIVE_UP:
      answer_not_stored (request);
      break;
    }
}

void
fb_entry_frontend_store (FbFrontendRequest *request, char kind, GBytes *value)
{
  request->key = talloc_asprintf (request, "%c%s", kind, request->job);
  g_clear_pointer (&request->value, g_bytes_unref);
  request->value = g_bytes_ref (value);
  g_clear_pointer (&request->records, g_byte_array_unref);
  request->records = g_byte_array_new ();
  g_ptr_array_set_size (request->tried, 0);
  request->appended = FALSE;
  fb_caller_record_encode (request->records, request->key, value);
  request->store_began_ms = fb_clock_ms ();
  note_append (request);
  /* A daemon that has received nothing from the store for a while sends it nothing, and uses peers
   * that may still reach the store.  If the store accepted calls without answering them, callers
   * would wait for 2 s and then get an unknown outcome; without a call, the answer that nothing is
   * stored is correct. */
  if (fb_entry_store_is_silent (request->entry))
    store_by_peer (request);
  else
    store_by_proxy (request);
}
