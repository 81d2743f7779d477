#include "frontend-private.h"

#include "fb-counter.h"
#include "fb-event.h"

#include <string.h>

#define EXPIRY_PERIOD_MS 500
#define QUERY_TIMEOUT_MS 3000

/* ---- calls ------------------------------------------------------------ */

static void
call_free (gpointer data)
{
  FbCall *call = data;
  g_signal_handler_disconnect (call->message, call->disconnect_handler);
  g_object_unref (call->message);
  talloc_free (call);
}

/* The caller has closed the connection. Its job continues; no response is sent. */
static void
on_disconnected (SoupServerMessage *message, gpointer data)
{
  (void) message;
  FbCall *call = data;
  g_hash_table_remove (call->frontend->calls, &call->id);
}

FbCall *
fb_frontend_call_new (FbFrontend *self, SoupServerMessage *message, FbCallMode mode)
{
  FbCall *call = talloc_zero (NULL, FbCall);
  call->frontend = self;
  call->id = ++self->last_id;
  call->mode = mode;
  call->message = g_object_ref (message);
  call->received_ms = fb_loop_now_ms ();
  call->disconnect_handler
      = g_signal_connect (message, "disconnected", G_CALLBACK (on_disconnected), call);
  g_hash_table_insert (self->calls, &call->id, call);
  soup_server_message_pause (message);
  return call;
}

void
fb_frontend_respond (FbCall *call, guint status, const char *type, const char *body, gsize len)
{
  SoupServerMessage *message = call->message;
  if (status == SOUP_STATUS_SERVICE_UNAVAILABLE || status == SOUP_STATUS_GATEWAY_TIMEOUT)
    {
      char wait[16];
      g_snprintf (wait, sizeof wait, "%u", FB_FRONTEND_RETRY_AFTER_S);
      soup_message_headers_replace (soup_server_message_get_response_headers (message),
                                    "Retry-After", wait);
    }
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, type, SOUP_MEMORY_COPY, body, len);
  soup_server_message_unpause (message);
  g_hash_table_remove (call->frontend->calls, &call->id);
}

char *
fb_frontend_json_text (JsonBuilder *body)
{
  JsonNode *root = json_builder_get_root (body);
  char *text = json_to_string (root, FALSE);
  json_node_unref (root);
  g_object_unref (body);
  return text;
}

void
fb_frontend_respond_json (FbCall *call, guint status, JsonBuilder *body)
{
  g_autofree char *text = fb_frontend_json_text (body);
  fb_frontend_respond (call, status, "application/json", text, strlen (text));
}

static JsonBuilder *
error_json (const char *reason)
{
  JsonBuilder *body = json_builder_new ();
  json_builder_begin_object (body);
  json_builder_set_member_name (body, "error");
  json_builder_add_string_value (body, reason);
  json_builder_end_object (body);
  return body;
}

void
fb_frontend_refuse (FbCall *call, guint status, const char *reason)
{
  fb_event_log (FB_EVENT_CALLER_REFUSED, "status=%u reason=%s", status, reason);
  fb_frontend_respond_json (call, status, error_json (reason));
}

FbCall *
fb_frontend_job_call_new (FbFrontend *self, SoupServerMessage *message, FbCallMode mode,
                          const char *text)
{
  FbCall *call = fb_frontend_call_new (self, message, mode);
  guint64 job = 0;
  if (!g_ascii_string_to_unsigned (text, 16, 0, G_MAXUINT64, &job, NULL))
    {
      fb_frontend_refuse (call, SOUP_STATUS_BAD_REQUEST, "job: expected hexadecimal digits");
      return NULL;
    }
  call->job = job;
  return call;
}

FbFrontendCoreRequest *
fb_frontend_core_request_new (const FbCall *call)
{
  FbFrontendCoreRequest *request = g_new (FbFrontendCoreRequest, 1);
  *request = (FbFrontendCoreRequest){ call->frontend, call->id, call->job };
  return request;
}

/* ---- answers ---------------------------------------------------------- */

static guint
http_status_of (const fb_answer *answer)
{
  switch ((FbOutcome) answer->outcome)
    {
    case FB_OUTCOME_COMPLETED:
      return SOUP_STATUS_OK;
    case FB_OUTCOME_FAILED:
      return SOUP_STATUS_BAD_GATEWAY;
    case FB_OUTCOME_NOT_RUN:
      return answer->reason == FB_REASON_NEVER_FITS || answer->reason == FB_REASON_KEY_MISMATCH
                 ? SOUP_STATUS_UNPROCESSABLE_ENTITY
                 : SOUP_STATUS_SERVICE_UNAVAILABLE;
    case FB_OUTCOME_UNKNOWN:
      return SOUP_STATUS_GATEWAY_TIMEOUT;
    case FB_OUTCOME_NO_SUCH_JOB:
      return SOUP_STATUS_NOT_FOUND;
    default:
      return SOUP_STATUS_ACCEPTED;
    }
}

static void
add_answer_headers (FbCall *call, const fb_answer *answer)
{
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (call->message);
  char job[24];
  g_snprintf (job, sizeof job, "%016" G_GINT64_MODIFIER "x", answer->job);
  soup_message_headers_replace (headers, "X-Job", job);
  soup_message_headers_replace (headers, "X-Outcome",
                                fb_outcome_name ((FbOutcome) answer->outcome));
  char waited[24];
  g_snprintf (waited, sizeof waited, "%" G_GUINT64_FORMAT, answer->wait_ms);
  soup_message_headers_replace (headers, "X-Waited-Ms", waited);
  soup_message_headers_replace (headers, "X-Reason", fb_reason_name ((FbReason) answer->reason));
}

static JsonBuilder *
answer_json (const fb_answer *answer)
{
  JsonBuilder *body = json_builder_new ();
  char job[24];
  g_snprintf (job, sizeof job, "%016" G_GINT64_MODIFIER "x", answer->job);
  json_builder_begin_object (body);
  json_builder_set_member_name (body, "job");
  json_builder_add_string_value (body, job);
  json_builder_set_member_name (body, "outcome");
  json_builder_add_string_value (body, fb_outcome_name ((FbOutcome) answer->outcome));
  json_builder_set_member_name (body, "reason");
  json_builder_add_string_value (body, fb_reason_name ((FbReason) answer->reason));
  json_builder_set_member_name (body, "tasks");
  json_builder_add_int_value (body, answer->task_count);
  json_builder_set_member_name (body, "done");
  json_builder_add_int_value (body, answer->done_count);
  json_builder_set_member_name (body, "running");
  json_builder_add_int_value (body, answer->running_count);
  json_builder_set_member_name (body, "waited_ms");
  json_builder_add_int_value (body, (gint64) answer->wait_ms);
  json_builder_end_object (body);
  return body;
}

static void
answer_call (FbCall *call, const fb_answer *answer)
{
  gboolean final = answer->outcome < FB_OUTCOME_PENDING;
  if (call->mode == FB_CALL_REQUEST && !final)
    return;
  add_answer_headers (call, answer);
  gboolean send_body = call->mode == FB_CALL_REQUEST && answer->outcome <= FB_OUTCOME_FAILED;
  if (send_body)
    fb_frontend_respond (call, http_status_of (answer), "application/octet-stream",
                         answer->body.body_val, answer->body.body_len);
  else
    fb_frontend_respond_json (call, http_status_of (answer), answer_json (answer));
}

typedef struct
{
  FbFrontend *frontend;
  fb_answer answer;
} AnswerMessage;

static void
answer_message_free (gpointer data)
{
  AnswerMessage *message = data;
  g_free (message->answer.body.body_val);
  g_free (message);
}

static void
answer_calls_on_frontend (gpointer data)
{
  AnswerMessage *message = data;
  g_autoptr (GList) calls = g_hash_table_get_values (message->frontend->calls);
  for (GList *link = calls; link != NULL; link = link->next)
    {
      FbCall *call = link->data;
      if (call->job == message->answer.job && call->mode != FB_CALL_WITHOUT_JOB)
        answer_call (call, &message->answer);
    }
}

static void
on_core_answer (gpointer user, const fb_answer *answer)
{
  FbFrontend *self = user;
  AnswerMessage *message = g_new (AnswerMessage, 1);
  message->frontend = self;
  message->answer = *answer;
  message->answer.body.body_val = g_memdup2 (answer->body.body_val, answer->body.body_len);
  fb_loop_post (self->loop, answer_calls_on_frontend, message, answer_message_free);
}

static const FbCoreListener core_listener = { on_core_answer };

typedef struct
{
  FbFrontend *frontend;
  guint64 call_id;
  uint64_t job;
  guint status;
  const char *type;
  char *text;
} CallMessage;

static void
call_message_free (gpointer data)
{
  CallMessage *message = data;
  g_free (message->text);
  g_free (message);
}

static void
update_call_on_frontend (gpointer data)
{
  CallMessage *message = data;
  FbCall *call = g_hash_table_lookup (message->frontend->calls, &message->call_id);
  if (call == NULL)
    return;
  if (message->text != NULL)
    fb_frontend_respond (call, message->status, message->type, message->text,
                         strlen (message->text));
  else
    call->job = message->job;
}

void
fb_frontend_post_text (FbFrontend *self, guint64 call_id, guint status, const char *type,
                       char *text)
{
  CallMessage *message = g_new0 (CallMessage, 1);
  *message = (CallMessage){ self, call_id, 0, status, type, text };
  fb_loop_post (self->loop, update_call_on_frontend, message, call_message_free);
}

void
fb_frontend_post_error (FbFrontend *self, guint64 call_id, guint status, const char *reason)
{
  fb_frontend_post_text (self, call_id, status, "application/json",
                         fb_frontend_json_text (error_json (reason)));
}

void
fb_frontend_post_job (FbFrontend *self, guint64 call_id, uint64_t job)
{
  CallMessage *message = g_new0 (CallMessage, 1);
  *message = (CallMessage){ self, call_id, job, 0, NULL, NULL };
  fb_loop_post (self->loop, update_call_on_frontend, message, call_message_free);
}

/* ---- requests --------------------------------------------------------- */

/* Checks the size limits before the body is read. A chunked body is rejected, because its size is
 * not known before it is read. */
static void
on_request_headers (SoupServer *server, SoupServerMessage *message, const char *path,
                    GHashTable *query, gpointer data)
{
  (void) server;
  (void) query;
  (void) data;
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  goffset limit = g_str_equal (path, "/v1/config") ? FB_FRONTEND_CONFIG_MAX : FB_FRONTEND_BODY_MAX;
  if (soup_message_headers_get_encoding (headers) == SOUP_ENCODING_CHUNKED)
    soup_server_message_set_status (message, SOUP_STATUS_LENGTH_REQUIRED, NULL);
  else if (soup_message_headers_get_content_length (headers) > limit)
    soup_server_message_set_status (message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, NULL);
}

static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
            gpointer data)
{
  (void) server;
  FbFrontend *self = data;
  if (soup_server_message_get_status (message) != 0)
    return;
  const char *method = soup_server_message_get_method (message);
  gboolean is_query = g_str_equal (method, "GET");
  gboolean handled = is_query ? fb_frontend_query (self, message, path)
                              : fb_frontend_command (self, message, path, query);
  if (!handled)
    fb_frontend_refuse (fb_frontend_call_new (self, message, FB_CALL_WITHOUT_JOB),
                        SOUP_STATUS_NOT_FOUND, "no such path or method; see docs/HTTP.md");
}

/* Fails job queries that were not answered within QUERY_TIMEOUT_MS. */
static void
expire_queries (gpointer data)
{
  FbFrontend *self = data;
  g_autoptr (GList) calls = g_hash_table_get_values (self->calls);
  for (GList *link = calls; link != NULL; link = link->next)
    {
      FbCall *call = link->data;
      if (call->mode == FB_CALL_JOB_QUERY
          && fb_loop_now_ms () - call->received_ms >= QUERY_TIMEOUT_MS)
        fb_frontend_refuse (call, SOUP_STATUS_SERVICE_UNAVAILABLE,
                            "the owner of this job's range did not answer");
    }
}

FbFrontendStatus
fb_frontend_new (const FbCell *cell, guint self_index, FbCore *core, FbLoop *loop,
                 FbFrontend **frontend)
{
  const FbCellMember *member = fb_cell_member (cell, self_index);
  FbFrontend *self = g_new0 (FbFrontend, 1);
  self->cell = cell;
  self->self_index = self_index;
  self->partner = member->partner;
  self->started_us = g_get_monotonic_time ();
  self->core = core;
  self->loop = loop;
  self->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, call_free);
  self->server = soup_server_new ("server-header", "flamingobarrow", NULL);
  soup_server_add_early_handler (self->server, "/", on_request_headers, self, NULL);
  soup_server_add_handler (self->server, "/", on_request, self, NULL);
  g_autoptr (GInetAddress) ip = g_inet_address_new_from_string (member->host);
  g_autoptr (GSocketAddress) address = g_inet_socket_address_new (ip, member->http_port);
  if (!soup_server_listen (self->server, address, 0, NULL))
    {
      fb_frontend_free (self);
      return FB_FRONTEND_ADDRESS_IN_USE;
    }
  fb_core_set_listener (core, &core_listener, self);
  fb_loop_add_periodic (loop, EXPIRY_PERIOD_MS, expire_queries, self);
  *frontend = self;
  return FB_FRONTEND_OK;
}

void
fb_frontend_free (FbFrontend *self)
{
  soup_server_disconnect (self->server);
  g_hash_table_destroy (self->calls);
  g_object_unref (self->server);
  g_free (self);
}

void
fb_frontend_close (FbFrontend *self)
{
  self->closed = TRUE;
}
