/* How a caller's record gets into the store: from here, by a daemon that stores for many
 * (append-proxy.h), or by peers while the store turns this daemon away.  A record is only said not
 * to be stored when no call that may have stored it is without an answer. */
#include "append-proxy.h"
#include "front-private.h"

#include "fb-counter.h"
#include "fb-event.h"

#include <string.h>
#include <talloc.h>

#define PEER_APPEND_MS 700
#define PEERS_UNTIL_MS (FB_FRONT_LONGEST_CALL_MS - PEER_APPEND_MS)
#define PEERS_MAX 3
/* Long enough to spare most callers the same try, short enough for a daemon that is well again. */
#define REFUSES_MS 1000

static void
log_stored (const FbFrontRequest *request, gboolean stored, const char *how)
{
  fb_event_log (stored ? FB_EVENT_JOB_ACCEPTED : FB_EVENT_JOB_REFUSED,
                "job=%s queue=%s how=%s after_ms=%u store_ok_ms_ago=%u", request->job,
                request->queue, how, (guint) (fb_clock_ms () - request->since_ms),
                (guint) (fb_clock_ms () - request->entry->store_ok_ms));
}

static void
answer_stored (FbFrontRequest *request, FbAppendResult result)
{
  static const char *const how[] = { [FB_APPEND_STORED] = "stored",
                                     [FB_APPEND_NOT_STORED] = "certainly not stored",
                                     [FB_APPEND_IN_DOUBT] = "in doubt" };
  log_stored (request, result == FB_APPEND_STORED, how[MIN (result, FB_APPEND_IN_DOUBT)]);
  if (result == FB_APPEND_STORED)
    {
      fb_counter_add (FB_COUNTER_JOBS_STORED, 1);
      fb_peers_tell_stored (request->entry, request->partition, request->key, request->value);
      fb_front_finish (request, SOUP_STATUS_OK, "{}");
    }
  else if (result == FB_APPEND_IN_DOUBT || request->is_delete)
    {
      fb_counter_add (FB_COUNTER_JOBS_IN_DOUBT, 1);
      fb_front_finish (request, SOUP_STATUS_GATEWAY_TIMEOUT,
                       "{\"error\":\"not known whether it is stored\"}");
    }
  else
    {
      fb_counter_add (FB_COUNTER_JOBS_REFUSED, 1);
      fb_front_finish (request, SOUP_STATUS_SERVICE_UNAVAILABLE, "{\"error\":\"not stored\"}");
    }
}

/* No call is known to have stored it. */
static void
answer_unstored (FbFrontRequest *request)
{
  answer_stored (request, request->in_doubt ? FB_APPEND_IN_DOUBT : FB_APPEND_NOT_STORED);
}

static void
note_pace (FbFrontRequest *request, gboolean taken, gboolean here)
{
  uint64_t now_ms = fb_clock_ms ();
  uint64_t took_ms = now_ms - request->stored_since_ms;
  fb_store_health_appended (&request->entry->pace, taken, here,
                            (uint32_t) MIN (took_ms, G_MAXUINT32), now_ms);
}

static void store_by_peer (FbFrontRequest *request);

static void
ask_to_append (FbFrontRequest *request, const char *daemon, uint32_t timeout_ms, FbTold done)
{
  fb_peer_request ask = { .type = FB_REQUEST_APPEND_JOB_RECORD };
  ask.fb_peer_request_u.append.partition = request->partition;
  ask.fb_peer_request_u.append.records.records_len = request->records->len;
  ask.fb_peer_request_u.append.records.records_val = (char *) request->records->data;
  fb_peers_ask (request->entry, daemon, &ask, timeout_ms, done, request);
}

/* TOLD: what another daemon has said of the record; NULL: nothing.
 * Returns: TRUE when it is stored; the caller is answered then, and REQUEST freed. */
static gboolean
is_stored_by_other (FbFrontRequest *request, const fb_peer_reply *told)
{
  if (told != NULL && told->type == FB_REPLY_STORED)
    {
      note_pace (request, TRUE, FALSE);
      answer_stored (request, FB_APPEND_STORED);
      return TRUE;
    }
  request->in_doubt = request->in_doubt || told == NULL || told->type == FB_REPLY_IN_DOUBT;
  return FALSE;
}

static void
on_peer_stored (gpointer data, const fb_peer_reply *told)
{
  FbFrontRequest *request = data;
  if (is_stored_by_other (request, told))
    return;
  store_by_peer (request);
}

/* Failure: the store turns this daemon away and serves the others; it shows as
 * refused callers while workers are free.  Guard: peers are asked to store the job, one
 * after the other; the key makes that harmless where it was stored before. */
static void
store_by_peer (FbFrontRequest *request)
{
  const char *peer = fb_group_any_peer (request->entry->group, request->asked);
  uint64_t spent_ms = fb_clock_ms () - request->since_ms;
  if (peer == NULL || spent_ms >= PEERS_UNTIL_MS || request->asked->len >= PEERS_MAX)
    {
      answer_unstored (request);
      return;
    }
  g_ptr_array_add (request->asked, g_strdup (peer));
  ask_to_append (request, peer, PEER_APPEND_MS, on_peer_stored);
}

static void
on_stored (gpointer data, FbAppendResult result)
{
  FbFrontRequest *request = data;
  note_pace (request, result == FB_APPEND_STORED, TRUE);
  request->in_doubt = request->in_doubt || result == FB_APPEND_IN_DOUBT;
  if (result == FB_APPEND_STORED)
    answer_stored (request, result);
  else
    store_by_peer (request);
}

static void
store_here (FbFrontRequest *request)
{
  fb_appender_put (fb_entry_appender (request->entry, request->partition),
                   g_byte_array_ref (request->records), request->since_ms + FB_FRONT_STORE_MS,
                   on_stored, request);
}

static void
note_trouble (FbEntry *entry, uint64_t now_ms)
{
  const FbStoreHealth *pace = &entry->pace;
  gboolean troubled = fb_append_proxy_store_is_degraded (pace, now_ms);
  if (troubled != entry->troubled)
    fb_event_log (troubled ? FB_EVENT_STORE_SLOW : FB_EVENT_STORE_QUICK,
                  "append_ms=%u renewal_ms=%u failed=%d", pace->append_ms, pace->renewal_ms,
                  fb_store_health_has_failed (pace, now_ms));
  entry->troubled = troubled;
}

static void store_by_gatherer (FbFrontRequest *request);

/* The daemon that was asked last did not store the record; others are asked first for a while. */
static void
note_refusal (FbFrontRequest *request)
{
  const char *daemon = request->asked->pdata[request->asked->len - 1];
  fb_daemons_refuses (request->entry->daemons, daemon, fb_clock_ms () + REFUSES_MS);
}

static void
on_gatherer_stored (gpointer data, const fb_peer_reply *told)
{
  FbFrontRequest *request = data;
  if (is_stored_by_other (request, told))
    return;
  note_refusal (request);
  store_by_gatherer (request);
}

/* By another daemon, or from here where that is better. */
static void
store_by_gatherer (FbFrontRequest *request)
{
  FbEntry *entry = request->entry;
  uint64_t now_ms = fb_clock_ms ();
  const FbAppendProxyRecord record
      = { .front = entry->settings->peers,
          .owner = fb_group_owner_of (entry->group, request->partition),
          .asked = request->asked,
          .partition = request->partition,
          .since_ms = request->since_ms };
  note_trouble (entry, now_ms);
  FbAppendRoute way
      = fb_append_proxy_route (&record, &entry->pace, fb_daemons_all (entry->daemons), now_ms);
  switch (way.step)
    {
    case FB_APPEND_ROUTE_LOCAL:
      store_here (request);
      break;
    case FB_APPEND_ROUTE_PROXY:
      g_ptr_array_add (request->asked, g_strdup (way.address));
      ask_to_append (request, way.address, way.patience_ms, on_gatherer_stored);
      break;
    case FB_APPEND_ROUTE_GIVE_UP:
      answer_unstored (request);
      break;
    }
}

void
fb_front_store (FbFrontRequest *request, char kind, GBytes *value)
{
  request->key = talloc_asprintf (request, "%c%s", kind, request->job);
  request->value = g_bytes_ref (value);
  request->records = g_byte_array_new ();
  fb_wire_encode_record (request->records, request->key, value);
  request->stored_since_ms = fb_clock_ms ();
  /* Failure: the store takes calls and answers none; it shows as callers who wait for 2 s
   * and then are told that nobody knows.  Guard: a daemon that has heard nothing from it
   * sends it nothing, so its refusal is true, and asks those that may still reach it. */
  if (fb_entry_store_is_silent (request->entry))
    store_by_peer (request);
  else
    store_by_gatherer (request);
}
