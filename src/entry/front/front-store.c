/* How a caller's record gets into the store: from here, by one daemon for all while the store is
 * slow, or by peers while the store turns this daemon away.  A record is only said not to
 * be stored when no call that may have stored it is without an answer. */
#include "front-private.h"
#include "gatherer.h"

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
/* One append of a slow store, and the wait for the one before it. */
#define GATHERER_APPEND_MS 900
/* Later there is no time left to ask another one. */
#define GATHERERS_UNTIL_MS (FB_FRONT_LONGEST_CALL_MS - GATHERER_APPEND_MS - STORE_MS)

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

static void
note_pace (FbFrontRequest *request, gboolean taken, gboolean here)
{
  uint64_t now_ms = fb_clock_ms ();
  uint64_t took_ms = now_ms - request->stored_since_ms;
  fb_store_pace_appended (&request->entry->pace, taken, here, (uint32_t) MIN (took_ms, G_MAXUINT32),
                          now_ms);
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
      note_pace (request, TRUE, FALSE);
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
                   g_byte_array_ref (request->records), request->since_ms + STORE_MS, on_stored,
                   request);
}

/* Returns: TRUE when records go through one daemon for all. */
static gboolean
is_store_slow (FbEntry *entry, uint64_t now_ms)
{
  const FbStorePace *pace = &entry->pace;
  gboolean slow = fb_store_pace_is_slow (pace, now_ms);
  if (slow != entry->gathers)
    fb_event_log (slow ? FB_EVENT_STORE_SLOW : FB_EVENT_STORE_QUICK,
                  "append_ms=%u renewal_ms=%u failed=%d", pace->append_ms, pace->renewal_ms,
                  now_ms < pace->failed_until_ms);
  entry->gathers = slow;
  return slow;
}

static gboolean store_by_gatherer (FbFrontRequest *request);

static void
on_gatherer_stored (gpointer data, const fb_told *told)
{
  FbFrontRequest *request = data;
  if (told != NULL && told->type == FB_TOLD_STORED)
    {
      note_pace (request, TRUE, FALSE);
      answer_stored (request, FB_APPEND_STORED);
      return;
    }
  request->in_doubt = request->in_doubt || told == NULL || told->type == FB_TOLD_IN_DOUBT;
  if (!store_by_gatherer (request))
    store_here (request);
}

/* Failure: while the store is slow, a partition takes one append in 100 ms and more, and
 * those of all daemons queue up; it shows as jobs that are accepted after 0.8 s, or not at all.
 * Guard: then all daemons send their records to one, whose one append at a time carries them all:
 * the owner, or, where that does not answer, a daemon that all choose alike.
 * Returns: FALSE when that is this daemon, or there is no other. */
static gboolean
store_by_gatherer (FbFrontRequest *request)
{
  FbEntry *entry = request->entry;
  uint64_t now_ms = fb_clock_ms ();
  const char *gatherer = fb_gatherer_for (fb_daemons_all (entry->daemons),
                                          fb_group_owner_of (entry->group, request->partition),
                                          request->asked, request->partition, now_ms);
  if (!is_store_slow (entry, now_ms) || gatherer == NULL
      || g_str_equal (gatherer, entry->settings->peers)
      || now_ms >= request->since_ms + GATHERERS_UNTIL_MS)
    return FALSE;
  g_ptr_array_add (request->asked, g_strdup (gatherer));
  ask_to_append (request, gatherer, GATHERER_APPEND_MS, on_gatherer_stored);
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
  else if (!store_by_gatherer (request))
    store_here (request);
}
