/* How a caller's record gets into the store: from here, by the owner while the store is
 * slow, or by peers while the store turns this daemon away.  A record is only said not to
 * be stored when no call that may have stored it is without an answer. */
#include "front-private.h"

#include "fb-counter.h"
#include "fb-event.h"

#include <string.h>
#include <talloc.h>

/* Doubt about a call of the store is resolved by repeating it for this long, then by
 * peers; callers wait about 3 s. */
#define STORE_MS 700
#define PEER_APPEND_MS 700
#define PEERS_UNTIL_MS (FB_FRONT_LONGEST_CALL_MS - PEER_APPEND_MS)
#define PEERS_MAX 3
/* Appends take 10 to 20 ms; above this the store counts as slow. */
#define SLOW_APPEND_MS 50
#define OWNER_APPEND_MS 900

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
      request->entry->append_ms = fb_clock_ms () - request->stored_since_ms;
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

static void store_by_peer (FbFrontRequest *request);

static void
ask_to_append (FbFrontRequest *request, const char *daemon, uint32_t timeout_ms, FbTold done)
{
  fb_ask ask = { .type = FB_ASK_APPEND };
  ask.fb_ask_u.append.partition = request->partition;
  ask.fb_ask_u.append.records.records_len = request->records->len;
  ask.fb_ask_u.append.records.records_val = (char *) request->records->data;
  fb_peers_ask (request->entry, daemon, &ask, timeout_ms, done, request);
}

static void
on_peer_stored (gpointer data, const fb_told *told)
{
  FbFrontRequest *request = data;
  if (told != NULL && told->type == FB_TOLD_STORED)
    {
      answer_stored (request, FB_APPEND_STORED);
      return;
    }
  request->in_doubt = request->in_doubt || told == NULL || told->type == FB_TOLD_IN_DOUBT;
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
      answer_stored (request, request->in_doubt ? FB_APPEND_IN_DOUBT : FB_APPEND_NOT_STORED);
      return;
    }
  g_ptr_array_add (request->asked, g_strdup (peer));
  ask_to_append (request, peer, PEER_APPEND_MS, on_peer_stored);
}

static void
on_stored (gpointer data, FbAppendResult result)
{
  FbFrontRequest *request = data;
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
                   g_byte_array_ref (request->records), request->since_ms + STORE_MS, on_stored,
                   request);
}

static void
on_owner_stored (gpointer data, const fb_told *told)
{
  FbFrontRequest *request = data;
  if (told != NULL && told->type == FB_TOLD_STORED)
    {
      answer_stored (request, FB_APPEND_STORED);
      return;
    }
  request->in_doubt = told == NULL || told->type == FB_TOLD_IN_DOUBT;
  store_here (request);
}

/* Failure: while the store is slow, a partition takes one append in 100 ms and more, and
 * those of seven daemons queue up; it shows as jobs that are accepted after 0.8 s.
 * Guard: then all daemons send their records to the owner, whose one append at a time
 * carries them all. */
static gboolean
store_by_owner (FbFrontRequest *request)
{
  const char *owner = fb_group_owner_of (request->entry->group, request->partition);
  if (request->entry->append_ms < SLOW_APPEND_MS || owner == NULL
      || g_str_equal (owner, request->entry->settings->peers))
    return FALSE;
  ask_to_append (request, owner, OWNER_APPEND_MS, on_owner_stored);
  return TRUE;
}

void
fb_front_store (FbFrontRequest *request, char kind, GBytes *value)
{
  request->key = talloc_asprintf (request, "%c%s", kind, request->job);
  request->value = g_bytes_ref (value);
  request->records = g_byte_array_new ();
  fb_wire_put_record (request->records, request->key, value);
  request->stored_since_ms = fb_clock_ms ();
  /* Failure: the store takes calls and answers none; it shows as callers who wait for 2 s
   * and then are told that nobody knows.  Guard: a daemon that has heard nothing from it
   * sends it nothing, so its refusal is true, and asks those that may still reach it. */
  if (fb_entry_store_is_silent (request->entry))
    store_by_peer (request);
  else if (!store_by_owner (request))
    store_here (request);
}
