/* Callers: jobs in, states and counts out.
 *
 * Any daemon stores a job itself and answers when the store has it, so jobs are
 * taken while an owner is being replaced.  A refusal is final: it is given only
 * when the job is certainly not stored.  When that is not known the caller gets
 * 504 and asks again under the same id. */
#include "entry-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "fb-histogram.h"
#include "fb-status.h"
#include "internal/codec.h"
#include "src/work/spec.h"

#include <string.h>
#include <talloc.h>

/* Callers wait about 3 s; an answer leaves before that.  Doubt about a call of the store
 * is resolved by repeating it for this long, then by peers. */
#define STORE_MS 700
#define ASK_MS 2000
#define PEER_APPEND_MS 700
#define PEERS_UNTIL_MS 1900
#define PEERS_MAX 3
/* Appends take 10 to 20 ms; above this the store counts as slow. */
#define SLOW_APPEND_MS 50
#define OWNER_APPEND_MS 900
#define BODY_MAX_BYTES (256 * 1024)
/* When a caller may come back: as long as the store has been away already, so that a
 * caller's few tries outlast an outage of seconds. */
#define RETRY_AFTER_MIN_S 1
#define RETRY_AFTER_MAX_S 4

#define JSON_TYPE "application/json"

/* One call of a caller; the arena of all that it needs. */
typedef struct
{
  FbEntry *entry;
  SoupServerMessage *message;
  char *job;
  char *queue;
  char *service;
  char *key; /* of the record that is to be stored */
  GBytes *value;
  GByteArray *records; /* the same, encoded; kept for a peer */
  GPtrArray *asked;    /* addresses of peers that were asked to store it */
  gboolean in_doubt;   /* a call that may have stored it got no answer */
  uint32_t partition;
  uint64_t since_ms;
  uint64_t stored_since_ms; /* when storing began */
  gboolean is_delete;
} Request;

static guint open_requests;

guint
fb_entry_front_open (void)
{
  return open_requests;
}

static Request *
request_new (FbEntry *entry, SoupServerMessage *message, const FbRoute *route, const char *job)
{
  Request *request = talloc_zero (NULL, Request);
  request->entry = entry;
  request->message = g_object_ref (message);
  request->job = talloc_strdup (request, job);
  request->queue = talloc_strdup (request, route->policy.queue);
  request->service = talloc_strdup (request, route->policy.service);
  request->partition = fb_entry_partition_of (entry, route->policy.service);
  request->since_ms = fb_clock_ms ();
  request->asked = g_ptr_array_new_with_free_func (g_free);
  soup_server_message_pause (message);
  open_requests++;
  return request;
}

static void
set_answer (FbEntry *entry, SoupServerMessage *message, guint status, const char *body)
{
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);
  if (status == SOUP_STATUS_SERVICE_UNAVAILABLE)
    {
      uint64_t away_s = (fb_clock_ms () - entry->store_ok_ms + 999) / 1000;
      g_autofree char *wait_s
          = g_strdup_printf ("%u", (guint) CLAMP (away_s, RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S));
      soup_message_headers_replace (headers, "Retry-After", wait_s);
    }
  if (entry->stopping)
    soup_message_headers_replace (headers, "Connection", "close");
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, JSON_TYPE, SOUP_MEMORY_COPY, body, strlen (body));
}

static void
finish (Request *request, guint status, const char *body)
{
  fb_histogram_add (FB_HISTOGRAM_CALLER_ANSWER, fb_clock_ms () - request->since_ms);
  set_answer (request->entry, request->message, status, body);
  soup_server_message_unpause (request->message);
  g_object_unref (request->message);
  g_clear_pointer (&request->records, g_byte_array_unref);
  g_clear_pointer (&request->value, g_bytes_unref);
  g_ptr_array_unref (request->asked);
  talloc_free (request);
  open_requests--;
}

static void
refuse (FbEntry *entry, SoupServerMessage *message, guint status, const char *why)
{
  g_autofree char *escaped = g_strescape (why, NULL);
  g_autofree char *body = g_strdup_printf ("{\"error\":\"%s\"}", escaped);
  fb_event_log (FB_EVENT_CALLER_REFUSED, "path=%s status=%u why=\"%s\" routes=%u",
                g_uri_get_path (soup_server_message_get_uri (message)), status, why,
                entry->routes != NULL ? (guint) entry->routes->version : 0);
  set_answer (entry, message, status, body);
}

/* ---- storing -------------------------------------------------------------------- */

static void
log_stored (const Request *request, gboolean stored, const char *how)
{
  fb_event_log (stored ? FB_EVENT_JOB_ACCEPTED : FB_EVENT_JOB_REFUSED,
                "job=%s queue=%s how=%s after_ms=%u store_ok_ms_ago=%u", request->job,
                request->queue, how, (guint) (fb_clock_ms () - request->since_ms),
                (guint) (fb_clock_ms () - request->entry->store_ok_ms));
}

static void
answer_stored (Request *request, FbAppendResult result)
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
      finish (request, SOUP_STATUS_OK, "{}");
    }
  else if (result == FB_APPEND_IN_DOUBT || request->is_delete)
    {
      fb_counter_add (FB_COUNTER_JOBS_IN_DOUBT, 1);
      finish (request, SOUP_STATUS_GATEWAY_TIMEOUT,
              "{\"error\":\"not known whether it is stored\"}");
    }
  else
    {
      fb_counter_add (FB_COUNTER_JOBS_REFUSED, 1);
      finish (request, SOUP_STATUS_SERVICE_UNAVAILABLE, "{\"error\":\"not stored\"}");
    }
}

static void store_by_peer (Request *request);

static void
ask_to_append (Request *request, const char *daemon, uint32_t timeout_ms, FbTold done)
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
  Request *request = data;
  if (told != NULL && told->type == FB_TOLD_STORED)
    {
      answer_stored (request, FB_APPEND_STORED);
      return;
    }
  request->in_doubt = request->in_doubt || told == NULL || told->type == FB_TOLD_IN_DOUBT;
  store_by_peer (request);
}

/* Returns: (nullable): a daemon that was not asked yet, chosen at random, borrowed. */
static const char *
other_daemon (Request *request)
{
  const FbEntry *entry = request->entry;
  g_autoptr (GPtrArray) daemons = fb_group_daemons (entry->group);
  for (guint i = daemons->len; i > 0; i--)
    {
      guint at = (guint) g_random_int_range (0, (gint32) i);
      const char *address = daemons->pdata[at];
      if (!g_str_equal (address, entry->settings->peers)
          && !g_ptr_array_find_with_equal_func (request->asked, address, g_str_equal, NULL))
        return address;
      g_ptr_array_remove_index_fast (daemons, at);
    }
  return NULL;
}

/* Failure: the store turns this daemon away and serves the others; it shows as
 * refused callers while workers are free.  Guard: peers are asked to store the job, one
 * after the other; the key makes that harmless where it was stored before. */
static void
store_by_peer (Request *request)
{
  const char *peer = other_daemon (request);
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
  Request *request = data;
  request->in_doubt = request->in_doubt || result == FB_APPEND_IN_DOUBT;
  if (result == FB_APPEND_STORED)
    answer_stored (request, result);
  else
    store_by_peer (request);
}

static void
store_here (Request *request)
{
  fb_appender_put (fb_entry_appender (request->entry, request->partition),
                   g_byte_array_ref (request->records), request->since_ms + STORE_MS, on_stored,
                   request);
}

static void
on_owner_stored (gpointer data, const fb_told *told)
{
  Request *request = data;
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
store_by_owner (Request *request)
{
  const char *owner = fb_group_owner_of (request->entry->group, request->partition);
  if (request->entry->append_ms < SLOW_APPEND_MS || owner == NULL
      || g_str_equal (owner, request->entry->settings->peers))
    return FALSE;
  ask_to_append (request, owner, OWNER_APPEND_MS, on_owner_stored);
  return TRUE;
}

/* KIND: the first letter of the record's key. */
static void
store (Request *request, char kind, GBytes *value)
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

/* ---- submit ------------------------------------------------------------------------ */

static gboolean
read_job (SoupServerMessage *message, fb_work_spec *spec)
{
  g_autoptr (GBytes) body
      = soup_message_body_flatten (soup_server_message_get_request_body (message));
  gsize len = 0;
  const char *text = g_bytes_get_data (body, &len);
  if (len > BODY_MAX_BYTES)
    {
      fb_status_set_message ("the body has %u bytes, expected at most %d", (guint) len,
                             BODY_MAX_BYTES);
      return FALSE;
    }
  if (!fb_wire_job_spec (text, len, spec))
    return FALSE;
  if (fb_spec_check (spec))
    return TRUE;
  xdr_free ((xdrproc_t) xdr_fb_work_spec, (char *) spec);
  return FALSE;
}

static void
submit (FbEntry *entry, SoupServerMessage *message, const FbRoute *route, const char *job)
{
  fb_work_admit admit = { .policy = route->policy, .accepted_ms = fb_clock_wall_ms () };
  if (!read_job (message, &admit.spec))
    {
      refuse (entry, message, SOUP_STATUS_BAD_REQUEST, fb_status_message ());
      return;
    }
  g_autoptr (GBytes) value = fb_codec_encode_admit (&admit);
  xdr_free ((xdrproc_t) xdr_fb_work_spec, (char *) &admit.spec);
  if (value == NULL)
    refuse (entry, message, SOUP_STATUS_BAD_REQUEST, "the job is too large");
  else
    store (request_new (entry, message, route, job), FB_KEY_JOB, value);
}

/* ---- state and cancel ---------------------------------------------------------------- */

static void
on_state (gpointer data, const fb_told *told)
{
  Request *request = data;
  fb_event_log (FB_EVENT_JOB_ASKED, "job=%s told=%d state=%d after_ms=%u", request->job,
                told != NULL ? (int) told->type : 0,
                told != NULL && told->type == FB_TOLD_STATE ? (int) told->fb_told_u.state : -1,
                (guint) (fb_clock_ms () - request->since_ms));
  if (told != NULL && told->type == FB_TOLD_NO_JOB)
    finish (request, SOUP_STATUS_GONE, "{\"error\":\"no such job\"}");
  else if (request->is_delete)
    {
      /* A record without a value would drop its key. */
      g_autoptr (GBytes) mark = g_bytes_new_static ("x", 1);
      store (request, FB_KEY_CANCEL, mark);
    }
  else if (told != NULL && told->type == FB_TOLD_STATE)
    {
      g_autofree char *body = fb_wire_job_state (told->fb_told_u.state);
      finish (request, SOUP_STATUS_OK, body);
    }
  else
    finish (request, SOUP_STATUS_SERVICE_UNAVAILABLE, "{\"error\":\"the owner is away\"}");
}

static void
ask_state (FbEntry *entry, SoupServerMessage *message, const FbRoute *route, const char *job,
           gboolean is_delete)
{
  Request *request = request_new (entry, message, route, job);
  request->is_delete = is_delete;
  fb_ask ask = { .type = FB_ASK_STATE };
  ask.fb_ask_u.job.service = request->service;
  ask.fb_ask_u.job.job = request->job;
  fb_peers_ask_owner (entry, request->service, &ask, is_delete ? ASK_MS / 4 : ASK_MS, on_state,
                      request);
}

/* ---- pending ---------------------------------------------------------------------------- */

static void
on_pending (gpointer data, const fb_told *told)
{
  if (told != NULL && told->type == FB_TOLD_PENDING)
    {
      g_autofree char *body = fb_wire_pending (told->fb_told_u.pending);
      finish (data, SOUP_STATUS_OK, body);
    }
  else
    finish (data, SOUP_STATUS_SERVICE_UNAVAILABLE, "{\"error\":\"the owner is away\"}");
}

static void
ask_pending (FbEntry *entry, SoupServerMessage *message, const FbRoute *route)
{
  Request *request = request_new (entry, message, route, "");
  fb_ask ask = { .type = FB_ASK_PENDING };
  ask.fb_ask_u.queue.service = request->service;
  ask.fb_ask_u.queue.queue = request->queue;
  fb_peers_ask_owner (entry, request->service, &ask, ASK_MS, on_pending, request);
}

/* ---- dispatch ------------------------------------------------------------------------------ */

static gboolean
is_job_id (const char *text)
{
  if (strlen (text) != FB_WORK_JOB_ID_CHARS)
    return FALSE;
  for (; *text != '\0'; text++)
    {
      if (!g_ascii_isxdigit (*text))
        return FALSE;
    }
  return TRUE;
}

static void
serve_queue (FbEntry *entry, SoupServerMessage *message, const FbRoute *route, const char *rest)
{
  const char *method = soup_server_message_get_method (message);
  gboolean is_get = g_str_equal (method, "GET");
  if (is_get && *rest == '\0')
    ask_pending (entry, message, route);
  else if (!is_job_id (rest))
    refuse (entry, message, SOUP_STATUS_NOT_FOUND, "expected 16 hexadecimal digits as job id");
  else if (is_get)
    ask_state (entry, message, route, rest, FALSE);
  else if (g_str_equal (method, "DELETE"))
    ask_state (entry, message, route, rest, TRUE);
  else if (g_str_equal (method, "POST"))
    submit (entry, message, route, rest);
  else
    refuse (entry, message, SOUP_STATUS_METHOD_NOT_ALLOWED, "expected GET, POST or DELETE");
}

void
fb_entry_front_serve (SoupServer *server, SoupServerMessage *message, const char *path,
                      GHashTable *query, gpointer data)
{
  (void) server;
  (void) query;
  FbEntry *entry = data;
  fb_counter_add (FB_COUNTER_REQUESTS, 1);
  if (entry->routes == NULL)
    {
      refuse (entry, message, SOUP_STATUS_SERVICE_UNAVAILABLE, "no configuration yet");
      return;
    }
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  const char *host = soup_message_headers_get_one (headers, "Host");
  const FbRoute *route = fb_routes_find (entry->routes, host != NULL ? host : "", path);
  if (route == NULL)
    refuse (entry, message, SOUP_STATUS_NOT_FOUND, "no such queue");
  else
    serve_queue (entry, message, route, path + strlen (route->prefix));
}
