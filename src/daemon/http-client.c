/* Failure: a connection goes silent for good while new ones work.  It shows as
 * calls that never end.  Guard: every call has a time limit of its own; when it
 * passes the message is cancelled, which closes its connection, and the next
 * call opens another.  What the call did is not concluded from silence: callers
 * repeat it under the same number. */
#include "http-client.h"

#include "fb-counter.h"

#define ANSWER_MAX_BYTES (8 * 1024 * 1024)

struct _FbHttpClient
{
  guint connections_per_host;
  SoupSession *session; /* made by the first call, on the task that owns it */
};

typedef struct
{
  SoupMessage *message;
  GCancellable *cancellable;
  GSource *timer;
  gboolean timed_out;
  gboolean sent;
  FbHttpReplyDone done;
  gpointer user;
} Call;

/* A call whose answer is one JSON object. */
typedef struct
{
  FbHttpDone done;
  gpointer user;
} JsonCall;

FbHttpClient *
fb_http_client_new (guint connections_per_host)
{
  FbHttpClient *self = g_new0 (FbHttpClient, 1);
  self->connections_per_host = connections_per_host;
  return self;
}

static SoupSession *
session_of (FbHttpClient *self)
{
  if (self->session == NULL)
    self->session
        = soup_session_new_with_options ("max-conns-per-host", self->connections_per_host,
                                         "max-conns", 1024, "idle-timeout", 30, "timeout", 0,
                                         /* The default resolver reads the desktop's
                                          * settings on threads of its own. */
                                         "proxy-resolver", NULL, NULL);
  return self->session;
}

void
fb_http_client_free (FbHttpClient *self)
{
  g_clear_object (&self->session);
  g_free (self);
}

static void
call_free (Call *call)
{
  if (call->timer != NULL)
    {
      g_source_destroy (call->timer);
      g_source_unref (call->timer);
    }
  g_signal_handlers_disconnect_by_data (call->message, call);
  g_object_unref (call->cancellable);
  g_object_unref (call->message);
  g_free (call);
}

static void
on_starting (SoupMessage *message, gpointer data)
{
  (void) message;
  ((Call *) data)->sent = TRUE;
}

static void
on_answer (GObject *source, GAsyncResult *result, gpointer data)
{
  Call *call = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) body
      = soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);
  FbHttpReply reply = { .status = FB_HTTP_OK, .sent = call->sent, .body = body };
  if (body == NULL)
    reply.status = call->timed_out ? FB_HTTP_TIMEOUT : FB_HTTP_UNREACHABLE;
  else if (g_bytes_get_size (body) > ANSWER_MAX_BYTES)
    reply.status = FB_HTTP_MALFORMED;
  if (body != NULL)
    {
      reply.code = soup_message_get_status (call->message);
      fb_counter_add (FB_COUNTER_PLATFORM_BYTES, g_bytes_get_size (body));
    }
  call->done (call->user, &reply);
  call_free (call);
}

static gboolean
on_timeout (gpointer data)
{
  Call *call = data;
  call->timed_out = TRUE;
  g_cancellable_cancel (call->cancellable);
  return G_SOURCE_REMOVE;
}

static GBytes *
body_bytes (JsonBuilder *body)
{
  JsonNode *root = json_builder_get_root (body);
  g_autoptr (JsonGenerator) generator = json_generator_new ();
  json_generator_set_root (generator, root);
  gsize len = 0;
  char *text = json_generator_to_data (generator, &len);
  json_node_unref (root);
  return g_bytes_new_take (text, len);
}

void
fb_http_call_clear (FbHttpCall *call)
{
  g_clear_pointer (&call->url, g_free);
  g_clear_pointer (&call->body, g_bytes_unref);
  for (guint i = 0; i < G_N_ELEMENTS (call->header_values); i++)
    g_clear_pointer (&call->header_values[i], g_free);
}

static SoupMessage *
message_of (const FbHttpCall *call)
{
  SoupMessage *message = soup_message_new (call->method, call->url);
  g_assert (message != NULL);
  if (call->idempotent)
    soup_message_add_flags (message, SOUP_MESSAGE_IDEMPOTENT);
  if (call->body != NULL)
    {
      fb_counter_add (FB_COUNTER_PLATFORM_BYTES, g_bytes_get_size (call->body));
      soup_message_set_request_body_from_bytes (message, call->content_type, call->body);
    }
  for (guint i = 0; i < G_N_ELEMENTS (call->header_values); i++)
    {
      if (call->header_values[i] != NULL)
        soup_message_headers_replace (soup_message_get_request_headers (message),
                                      call->header_names[i], call->header_values[i]);
    }
  return message;
}

void
fb_http_client_exchange (FbHttpClient *self, const FbHttpCall *request, guint timeout_ms,
                         FbHttpReplyDone done, gpointer user)
{
  Call *call = g_new0 (Call, 1);
  call->message = message_of (request);
  call->cancellable = g_cancellable_new ();
  call->done = done;
  call->user = user;
  g_signal_connect (call->message, "starting", G_CALLBACK (on_starting), call);
  call->timer = g_timeout_source_new (timeout_ms);
  g_source_set_callback (call->timer, on_timeout, call, NULL);
  g_source_attach (call->timer, g_main_context_get_thread_default ());
  soup_session_send_and_read_async (session_of (self), call->message, G_PRIORITY_DEFAULT,
                                    call->cancellable, on_answer, call);
}

static void
on_json_reply (gpointer user, const FbHttpReply *reply)
{
  JsonCall *call = user;
  FbHttpStatus status = reply->status;
  if (status == FB_HTTP_OK && reply->code != SOUP_STATUS_OK)
    status = FB_HTTP_STATUS;
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonNode *root = NULL;
  if (status == FB_HTTP_OK
      && json_parser_load_from_data (parser, g_bytes_get_data (reply->body, NULL),
                                     (gssize) g_bytes_get_size (reply->body), NULL))
    root = json_parser_get_root (parser);
  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    call->done (call->user, FB_HTTP_OK, json_node_get_object (root));
  else
    call->done (call->user, status == FB_HTTP_OK ? FB_HTTP_MALFORMED : status, NULL);
  g_free (call);
}

void
fb_http_client_call (FbHttpClient *self, const char *url, JsonBuilder *body, guint timeout_ms,
                     FbHttpDone done, gpointer user)
{
  JsonCall *call = g_new0 (JsonCall, 1);
  call->done = done;
  call->user = user;
  FbHttpCall request = { .method = body != NULL ? "POST" : "GET", .url = g_strdup (url) };
  if (body != NULL)
    {
      request.content_type = "application/json";
      request.body = body_bytes (body);
      g_object_unref (body);
    }
  fb_http_client_exchange (self, &request, timeout_ms, on_json_reply, call);
  fb_http_call_clear (&request);
}
