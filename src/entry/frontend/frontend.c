/* HTTP front end for callers: accepts jobs and cancels, and returns states and counts.
 *
 * Every daemon stores the jobs that it receives, itself or through a proxy, and answers when the
 * store has confirmed it, so that jobs are accepted while an owner is being replaced.  An error
 * that says that the job is not stored is sent only when this is certain.  Otherwise the caller
 * gets status 504 and submits the job again under the same id. */
#include "body-limit.h"
#include "frontend-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "fb-histogram.h"
#include "fb-status.h"
#include "internal/codec.h"
#include "src/work/spec.h"

#include <string.h>
#include <talloc.h>

/* Timeout of the requests to owners for one caller, who waits about 3 s for the answer. */
#define OWNER_TIMEOUT_MS 2000
/* The same for a cancel, which can be stored without their answers. */
#define CANCEL_TIMEOUT_MS 500
#define REQUEST_TIMEOUT_MIN_MS 100
/* Bounds of Retry-After, which is set to the time for which the store has been unavailable, so that
 * a caller's few attempts outlast an outage of seconds. */
#define RETRY_AFTER_MIN_S 1
#define RETRY_AFTER_MAX_S 4

/* Not among the status codes of libsoup. */
#define STATUS_TOO_MANY_REQUESTS 429

#define JSON_TYPE "application/json"

/* Where a caller's request is directed, and for whom; borrowed for the duration of a call. */
typedef struct
{
  const FbRoute *route;
  const char *account; /* name of the caller's account; "": none */
  gboolean is_not_in_force;
} Target;

static FbFrontendRequest *
request_new (FbEntryDaemon *entry, SoupServerMessage *message, const Target *target,
             const char *job)
{
  const FbRoute *route = target->route;
  FbFrontendRequest *request = talloc_zero (NULL, FbFrontendRequest);
  request->entry = entry;
  request->message = g_object_ref (message);
  request->job = talloc_strdup (request, job);
  request->queue = talloc_strdup (request, route->policy.queue);
  request->queue_service = talloc_strdup (request, route->policy.service);
  request->service = request->queue_service;
  request->account = talloc_strdup (request, target->account);
  request->route_is_not_in_force = target->is_not_in_force;
  request->partition = fb_entry_partition_of (entry, route->policy.service);
  request->received_ms = fb_clock_ms ();
  request->tried = g_ptr_array_new_with_free_func (g_free);
  request->without_job = g_ptr_array_new_with_free_func (g_free);
  soup_server_message_pause (message);
  entry->open_calls++;
  return request;
}

static void
set_response (FbEntryDaemon *entry, SoupServerMessage *message, guint status, const char *body)
{
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);
  entry->last_answer_ms = fb_clock_ms ();
  if (status == SOUP_STATUS_SERVICE_UNAVAILABLE)
    {
      uint64_t unavailable_s = (fb_clock_ms () - entry->store_answered_ms + 999) / 1000;
      g_autofree char *retry_after_s = g_strdup_printf (
          "%u", (guint) CLAMP (unavailable_s, RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S));
      soup_message_headers_replace (headers, "Retry-After", retry_after_s);
    }
  if (entry->stopping)
    soup_message_headers_replace (headers, "Connection", "close");
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, JSON_TYPE, SOUP_MEMORY_COPY, body, strlen (body));
}

void
fb_entry_frontend_finish (FbFrontendRequest *request, guint status, const char *body)
{
  fb_histogram_add (FB_HISTOGRAM_CALLER_ANSWER, fb_clock_ms () - request->received_ms);
  set_response (request->entry, request->message, status, body);
  soup_server_message_unpause (request->message);
  request->entry->open_calls--;
  g_object_unref (request->message);
  g_clear_pointer (&request->records, g_byte_array_unref);
  g_clear_pointer (&request->value, g_bytes_unref);
  g_ptr_array_unref (request->tried);
  g_clear_pointer (&request->services, g_ptr_array_unref);
  g_ptr_array_unref (request->without_job);
  talloc_free (request);
}

static void
refuse (FbEntryDaemon *entry, SoupServerMessage *message, guint status, const char *reason)
{
  g_autofree char *escaped = g_strescape (reason, NULL);
  g_autofree char *body = g_strdup_printf ("{\"error\":\"%s\"}", escaped);
  fb_event_log (FB_EVENT_CALLER_REFUSED, "path=%s status=%u why=\"%s\" routes=%u",
                g_uri_get_path (soup_server_message_get_uri (message)), status, reason,
                entry->routes != NULL ? (guint) entry->routes->version : 0);
  set_response (entry, message, status, body);
}

static void
refuse_long_body (FbEntryDaemon *entry, SoupServerMessage *message)
{
  g_autofree char *reason = g_strdup_printf ("the body has more than %d bytes", FB_BODY_MAX_BYTES);
  soup_message_headers_replace (soup_server_message_get_response_headers (message), "Connection",
                                "close");
  refuse (entry, message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, reason);
}

/* ---- submit ------------------------------------------------------------------------ */

static gboolean
read_job (SoupServerMessage *message, fb_work_spec *spec)
{
  g_autoptr (GBytes) body
      = soup_message_body_flatten (soup_server_message_get_request_body (message));
  gsize len = 0;
  const char *text = g_bytes_get_data (body, &len);
  if (!fb_wire_parse_job_spec (text, len, spec))
    return FALSE;
  if (fb_spec_check (spec))
    return TRUE;
  xdr_free ((xdrproc_t) xdr_fb_work_spec, (char *) spec);
  return FALSE;
}

static gboolean
fits_account (const FbEntryDaemon *entry, const Target *target, const fb_work_spec *spec)
{
  const FbAccount *account = NULL;
  if (*target->account != '\0')
    account = g_hash_table_lookup (fb_accounts_by_name (entry->routes->accounts), target->account);
  return account == NULL || fb_spec_fits_cap (spec, &account->cap);
}

static void
submit (FbEntryDaemon *entry, SoupServerMessage *message, const Target *target, const char *job)
{
  fb_work_admit admit = { .policy = target->route->policy,
                          .accepted_ms = fb_clock_wall_ms (),
                          .account = (char *) target->account };
  if (!read_job (message, &admit.spec))
    {
      refuse (entry, message, SOUP_STATUS_BAD_REQUEST, fb_status_message ());
      return;
    }
  if (!fits_account (entry, target, &admit.spec))
    {
      refuse (entry, message, STATUS_TOO_MANY_REQUESTS, fb_status_message ());
      xdr_free ((xdrproc_t) xdr_fb_work_spec, (char *) &admit.spec);
      return;
    }
  g_autoptr (GBytes) value = fb_codec_encode_admit (&admit);
  uint64_t epoch = 0;
  if (value == NULL)
    refuse (entry, message, SOUP_STATUS_BAD_REQUEST, "the job is too large");
  else if (entry->routes->accounts != NULL
           && fb_entry_frontend_must_ask (entry->load_notices, entry->recent_appends,
                                          admit.policy.service, job, &admit.spec, fb_clock_ms (),
                                          &epoch))
    fb_entry_frontend_ask (request_new (entry, message, target, job), &admit, value, epoch);
  else
    fb_entry_frontend_store (request_new (entry, message, target, job), FB_KEY_JOB, value);
  xdr_free ((xdrproc_t) xdr_fb_work_spec, (char *) &admit.spec);
}

/* ---- state and cancel ---------------------------------------------------------------- */

/* Returns: the timeout of the next request to an owner for REQUEST. */
static uint32_t
remaining_ms (const FbFrontendRequest *request)
{
  uint64_t until_ms
      = request->received_ms + (request->is_delete ? CANCEL_TIMEOUT_MS : OWNER_TIMEOUT_MS);
  uint64_t now_ms = fb_clock_ms ();
  return (uint32_t) MAX (until_ms > now_ms ? until_ms - now_ms : 0, REQUEST_TIMEOUT_MIN_MS);
}

/* A cancel that is refused because there is no such job must name one that is not stored, not one
 * that the owner has not read yet. */
static void
request_current_job_state (FbFrontendRequest *request, FbPeerReplyDone done)
{
  fb_peer_request peer_request = { .type = FB_REQUEST_CURRENT_JOB_STATE };
  fb_current_job_state_request *current = &peer_request.fb_peer_request_u.current_job;
  current->job.service = request->service;
  current->job.job = request->job;
  current->job.account = request->account;
  current->age_ms = fb_clock_ms () - request->received_ms;
  fb_peers_request_owner (request->entry, request->service, &peer_request, remaining_ms (request),
                          done, request);
}

static void
request_job_state (FbFrontendRequest *request, FbPeerReplyDone done)
{
  fb_peer_request peer_request = { .type = FB_REQUEST_JOB_STATE };
  if (request->is_delete)
    {
      request_current_job_state (request, done);
      return;
    }
  if (*request->account != '\0')
    {
      peer_request.type = FB_REQUEST_ACCOUNT_JOB_STATE;
      peer_request.fb_peer_request_u.account_job.service = request->service;
      peer_request.fb_peer_request_u.account_job.job = request->job;
      peer_request.fb_peer_request_u.account_job.account = request->account;
    }
  else
    {
      peer_request.fb_peer_request_u.job.service = request->service;
      peer_request.fb_peer_request_u.job.job = request->job;
    }
  fb_peers_request_owner (request->entry, request->service, &peer_request, remaining_ms (request),
                          done, request);
}

static void
log_job_state (const FbFrontendRequest *request, const fb_peer_reply *peer_reply)
{
  fb_event_log (FB_EVENT_JOB_ASKED, "job=%s service=%s told=%d state=%d after_ms=%u", request->job,
                request->service, peer_reply != NULL ? (int) peer_reply->type : 0,
                peer_reply != NULL && peer_reply->type == FB_REPLY_JOB_STATE
                    ? (int) peer_reply->fb_peer_reply_u.state
                    : -1,
                (guint) (fb_clock_ms () - request->received_ms));
}

static void
store_cancel (FbFrontendRequest *request)
{
  g_autofree char *text = g_strconcat (FB_CANCEL_PREFIX, request->account, NULL);
  g_autoptr (GBytes) value = g_bytes_new (text, strlen (text));
  request->partition = fb_entry_partition_of (request->entry, request->service);
  fb_entry_frontend_store (request, FB_KEY_CANCEL, value);
}

/* Finishes the request without an answer about the job.  A cancel is stored with the service to
 * which the queue is directed, whose owner passes it on if another service has the job. */
static void
answer_unknown_state (FbFrontendRequest *request)
{
  request->service = request->queue_service;
  if (request->is_delete)
    store_cancel (request);
  else
    fb_entry_frontend_finish (request, SOUP_STATUS_SERVICE_UNAVAILABLE,
                              "{\"error\":\"the owner is away\"}");
}

/* No service has the job.  A cancel is stored with each of them nevertheless, for a submission that
 * is under way: it would be stored after this answer, and its job would run. */
static void
finish_without_job (FbFrontendRequest *request)
{
  if (!request->is_delete)
    {
      fb_entry_frontend_finish (request, SOUP_STATUS_GONE, FB_NO_SUCH_JOB_BODY);
      return;
    }
  request->has_no_job = TRUE;
  fb_entry_frontend_store_next_cancel (request);
}

void
fb_entry_frontend_store_next_cancel (FbFrontendRequest *request)
{
  g_autofree char *service = g_ptr_array_steal_index (request->without_job, 0);
  request->service = talloc_strdup (request, service);
  store_cancel (request);
}

static void on_state (gpointer data, const fb_peer_reply *peer_reply);

/* Asks the next of the other services that may have the job. */
static void
request_state_elsewhere (FbFrontendRequest *request)
{
  if (request->services->len == 0)
    {
      finish_without_job (request);
      return;
    }
  g_autofree char *service = g_ptr_array_steal_index (request->services, 0);
  request->service = talloc_strdup (request, service);
  request_job_state (request, on_state);
}

static void
add_services (FbFrontendRequest *request, const fb_queue_services_reply *reply)
{
  request->services = g_ptr_array_new_with_free_func (g_free);
  for (u_int i = 0; i < reply->services.services_len; i++)
    g_ptr_array_add (request->services, g_strdup (reply->services.services_val[i].service));
}

static void
on_job_services (gpointer data, const fb_peer_reply *peer_reply)
{
  FbFrontendRequest *request = data;
  if (peer_reply == NULL || peer_reply->type != FB_REPLY_QUEUE_SERVICES)
    {
      answer_unknown_state (request);
      return;
    }
  add_services (request, &peer_reply->fb_peer_reply_u.services);
  request_state_elsewhere (request);
}

static void
request_queue (FbFrontendRequest *request, fb_peer_request_type type, FbPeerReplyDone done)
{
  fb_peer_request peer_request = { .type = type };
  peer_request.fb_peer_request_u.queue.service = request->service;
  peer_request.fb_peer_request_u.queue.queue = request->queue;
  fb_peers_request_owner (request->entry, request->service, &peer_request, remaining_ms (request),
                          done, request);
}

static void
on_state (gpointer data, const fb_peer_reply *peer_reply)
{
  FbFrontendRequest *request = data;
  fb_peer_reply_type type = peer_reply != NULL ? peer_reply->type : FB_REPLY_UNAVAILABLE;
  log_job_state (request, peer_reply);
  if (request->is_delete && type == FB_REPLY_NO_SUCH_JOB)
    g_ptr_array_add (request->without_job, g_strdup (request->service));
  if (type == FB_REPLY_NO_SUCH_JOB && request->services == NULL)
    request_queue (request, FB_REQUEST_QUEUE_SERVICES, on_job_services);
  else if (type == FB_REPLY_NO_SUCH_JOB)
    request_state_elsewhere (request);
  else if (type != FB_REPLY_JOB_STATE)
    answer_unknown_state (request);
  else if (request->is_delete)
    store_cancel (request);
  else
    {
      g_autofree char *body = fb_wire_format_job_state (peer_reply->fb_peer_reply_u.state);
      fb_entry_frontend_finish (request, SOUP_STATUS_OK, body);
    }
}

static void
request_state (FbEntryDaemon *entry, SoupServerMessage *message, const Target *target,
               const char *job, gboolean is_delete)
{
  FbFrontendRequest *request = request_new (entry, message, target, job);
  request->is_delete = is_delete;
  request_job_state (request, on_state);
}

/* ---- pending ---------------------------------------------------------------------------- */

static void
answer_pending (FbFrontendRequest *request)
{
  g_autofree char *body = fb_wire_format_pending (request->pending);
  fb_entry_frontend_finish (request, SOUP_STATUS_OK, body);
}

static void on_pending (gpointer data, const fb_peer_reply *peer_reply);

static void
request_pending_elsewhere (FbFrontendRequest *request)
{
  if (request->services->len == 0)
    {
      answer_pending (request);
      return;
    }
  g_autofree char *service = g_ptr_array_steal_index (request->services, 0);
  request->service = talloc_strdup (request, service);
  request_queue (request, FB_REQUEST_QUEUE_SERVICES, on_pending);
}

static void
on_pending (gpointer data, const fb_peer_reply *peer_reply)
{
  FbFrontendRequest *request = data;
  if (peer_reply != NULL && peer_reply->type == FB_REPLY_PENDING_COUNT)
    {
      request->pending = peer_reply->fb_peer_reply_u.pending;
      answer_pending (request);
    }
  else if (peer_reply != NULL && peer_reply->type == FB_REPLY_QUEUE_SERVICES)
    {
      request->pending += peer_reply->fb_peer_reply_u.services.pending;
      if (request->services == NULL)
        add_services (request, &peer_reply->fb_peer_reply_u.services);
      request_pending_elsewhere (request);
    }
  else
    fb_entry_frontend_finish (request, SOUP_STATUS_SERVICE_UNAVAILABLE,
                              "{\"error\":\"the owner is away\"}");
}

static void
request_pending (FbEntryDaemon *entry, SoupServerMessage *message, const Target *target)
{
  request_queue (request_new (entry, message, target, ""), FB_REQUEST_PENDING_COUNT, on_pending);
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
serve_queue (FbEntryDaemon *entry, SoupServerMessage *message, const Target *target,
             const char *rest)
{
  const char *method = soup_server_message_get_method (message);
  gboolean is_get = g_str_equal (method, "GET");
  if (is_get && *rest == '\0')
    request_pending (entry, message, target);
  else if (!is_job_id (rest))
    refuse (entry, message, SOUP_STATUS_NOT_FOUND, "expected 16 hexadecimal digits as job id");
  else if (is_get)
    request_state (entry, message, target, rest, FALSE);
  else if (g_str_equal (method, "DELETE"))
    request_state (entry, message, target, rest, TRUE);
  else if (g_str_equal (method, "POST"))
    submit (entry, message, target, rest);
  else
    refuse (entry, message, SOUP_STATUS_METHOD_NOT_ALLOWED, "expected GET, POST or DELETE");
}

/* Finds the account of a caller.  Returns: (nullable): why the caller is refused, as a static text;
 * NULL when it is let in. */
static const char *
authenticate (const FbEntryDaemon *entry, SoupMessageHeaders *headers, Target *target)
{
  target->account = "";
  if (entry->routes->accounts == NULL || target->route->anonymous)
    return NULL;
  const char *key = soup_message_headers_get_one (headers, FB_HEADER_KEY);
  if (key == NULL)
    return "the request has no key of a client account";
  const FbAccount *account = fb_accounts_find (entry->routes->accounts, key);
  if (account == NULL)
    return "the key belongs to no client account";
  target->account = account->name;
  return NULL;
}

/* Returns: FALSE when the caller was refused. */
static gboolean
check_account (FbEntryDaemon *entry, SoupServerMessage *message, Target *target)
{
  const char *reason
      = authenticate (entry, soup_server_message_get_request_headers (message), target);
  if (reason == NULL)
    return TRUE;
  fb_counter_add (FB_COUNTER_KEYS_REFUSED, 1);
  refuse (entry, message, SOUP_STATUS_UNAUTHORIZED, reason);
  return FALSE;
}

/* A cancel at a path that the configuration in force does not have. */
typedef struct
{
  FbEntryDaemon *entry;
  SoupServerMessage *message;
  char *path;
} UnroutedCancel;

/* Returns: the text behind the last slash of PATH. */
static const char *
last_component (const char *path)
{
  const char *slash = strrchr (path, '/');
  return slash != NULL ? slash + 1 : path;
}

static void
cancel_at_stored_route (const UnroutedCancel *cancel, const FbRoute *route, gboolean is_known)
{
  FbEntryDaemon *entry = cancel->entry;
  SoupServerMessage *message = cancel->message;
  Target target = { .route = route, .is_not_in_force = TRUE };
  const char *job = last_component (cancel->path);
  if (!is_known)
    refuse (entry, message, SOUP_STATUS_SERVICE_UNAVAILABLE, "not known whether there is a queue");
  else if (route == NULL || !g_str_equal (cancel->path + strlen (route->prefix), job))
    refuse (entry, message, SOUP_STATUS_NOT_FOUND, "no such queue");
  else if (check_account (entry, message, &target))
    {
      request_state (entry, message, &target, job, TRUE);
      return;
    }
  soup_server_message_unpause (message);
}

static void
on_stored_route (gpointer user, const FbRoute *route, gboolean is_known)
{
  UnroutedCancel *cancel = user;
  cancel_at_stored_route (cancel, route, is_known);
  cancel->entry->open_calls--;
  g_object_unref (cancel->message);
  g_free (cancel->path);
  g_free (cancel);
}

/* Jobs outlive their route, and another daemon may have accepted them with a newer configuration.
 */
static void
find_stored_route (FbEntryDaemon *entry, SoupServerMessage *message, const char *host,
                   const char *path)
{
  UnroutedCancel *cancel = g_new0 (UnroutedCancel, 1);
  cancel->entry = entry;
  cancel->message = g_object_ref (message);
  cancel->path = g_strdup (path);
  soup_server_message_pause (message);
  entry->open_calls++;
  fb_route_directory_find (entry->route_directory, host, path, on_stored_route, cancel);
}

static void
serve_unrouted (FbEntryDaemon *entry, SoupServerMessage *message, const char *host,
                const char *path)
{
  if (g_str_equal (soup_server_message_get_method (message), "DELETE")
      && is_job_id (last_component (path)))
    find_stored_route (entry, message, host, path);
  else
    refuse (entry, message, SOUP_STATUS_NOT_FOUND, "no such queue");
}

void
fb_entry_frontend_serve (SoupServer *server, SoupServerMessage *message, const char *path,
                         GHashTable *query, gpointer data)
{
  (void) server;
  (void) query;
  FbEntryDaemon *entry = data;
  fb_counter_add (FB_COUNTER_REQUESTS, 1);
  if (fb_body_limit_is_exceeded (message))
    {
      refuse_long_body (entry, message);
      return;
    }
  if (entry->refusing_callers || entry->routes == NULL)
    {
      refuse (entry, message, SOUP_STATUS_SERVICE_UNAVAILABLE,
              entry->refusing_callers ? "the daemon is about to end" : "no configuration yet");
      return;
    }
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  const char *host = soup_message_headers_get_one (headers, "Host");
  Target target = { .route = fb_routes_find (entry->routes, host != NULL ? host : "", path) };
  if (target.route == NULL)
    serve_unrouted (entry, message, host != NULL ? host : "", path);
  else if (check_account (entry, message, &target))
    serve_queue (entry, message, &target, path + strlen (target.route->prefix));
}
