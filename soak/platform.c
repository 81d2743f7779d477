#include "platform.h"

#include "platform/wire.h"

#include <libsoup/soup.h>
#include <string.h>

#define CALL_TIMEOUT_S 5
#define APPENDS_MAX 20

struct _SoakPlatform
{
  SoupSession *session; /* limited to one connection, so that calls arrive in order */
  SoupSession *appends; /* its calls may stay unanswered and must not delay the others */
  guint16 port;
  guint pending; /* control calls without a response yet */
};

typedef struct
{
  gboolean done;
  GBytes *answer; /* owned; NULL: the call failed */
} Call;

SoakPlatform *
soak_platform_new (guint16 port)
{
  SoakPlatform *self = g_new0 (SoakPlatform, 1);
  self->session
      = soup_session_new_with_options ("timeout", CALL_TIMEOUT_S, "max-conns-per-host", 1, NULL);
  self->appends = soup_session_new_with_options ("timeout", CALL_TIMEOUT_S, "max-conns-per-host",
                                                 APPENDS_MAX, "max-conns", APPENDS_MAX, NULL);
  self->port = port;
  return self;
}

void
soak_platform_free (SoakPlatform *self)
{
  soup_session_abort (self->session);
  soup_session_abort (self->appends);
  while (self->pending > 0)
    g_main_context_iteration (NULL, TRUE);
  g_object_unref (self->session);
  g_object_unref (self->appends);
  g_free (self);
}

static SoupMessage *
new_message (const SoakPlatform *self, const char *path, const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u%s", self->port, path);
  SoupMessage *message = soup_message_new (body != NULL ? "POST" : "GET", url);
  if (body != NULL)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
      soup_message_set_request_body_from_bytes (message, "application/json", bytes);
    }
  return message;
}

static void
on_answer (GObject *session, GAsyncResult *result, gpointer user)
{
  Call *call = user;
  call->answer = soup_session_send_and_read_finish (SOUP_SESSION (session), result, NULL);
  call->done = TRUE;
}

/* Iterates the main loop while waiting, so that the proxies continue to forward. */
static GBytes *
wait_for_answer (SoakPlatform *self, SoupMessage *message)
{
  Call call = { 0 };
  soup_session_send_and_read_async (self->session, message, G_PRIORITY_DEFAULT, NULL, on_answer,
                                    &call);
  while (!call.done)
    g_main_context_iteration (NULL, TRUE);
  return call.answer;
}

char *
soak_platform_request (SoakPlatform *self, const char *path, const char *body)
{
  g_autoptr (SoupMessage) message = new_message (self, path, body);
  g_autoptr (GBytes) answer = wait_for_answer (self, message);
  if (answer == NULL)
    return NULL;
  return g_strndup (g_bytes_get_data (answer, NULL), g_bytes_get_size (answer));
}

static void
on_control_answered (GObject *session, GAsyncResult *result, gpointer user)
{
  SoakPlatform *self = user;
  g_autoptr (GBytes) answer
      = soup_session_send_and_read_finish (SOUP_SESSION (session), result, NULL);
  (void) answer;
  self->pending--;
}

void
soak_platform_control (SoakPlatform *self, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *body = g_strdup_vprintf (format, args);
  va_end (args);
  g_autoptr (SoupMessage) message = new_message (self, "/control", body);
  self->pending++;
  soup_session_send_and_read_async (self->session, message, G_PRIORITY_DEFAULT, NULL,
                                    on_control_answered, self);
}

void
soak_platform_append (SoakPlatform *self, const char *topic, guint partition,
                      const GByteArray *records)
{
  g_autofree char *store = g_strdup_printf ("127.0.0.1:%u", self->port);
  g_autoptr (GBytes) body = g_bytes_new (records->data, records->len);
  FbHttpCall call;
  fb_wire_append (&call, store, topic, partition, body, NULL, 0, 0);
  g_autoptr (SoupMessage) message = soup_message_new (call.method, call.url);
  soup_message_set_request_body_from_bytes (message, call.content_type, call.body);
  fb_http_call_clear (&call);
  self->pending++;
  soup_session_send_and_read_async (self->appends, message, G_PRIORITY_DEFAULT, NULL,
                                    on_control_answered, self);
}

gboolean
soak_platform_is_ready (SoakPlatform *self, const char *url)
{
  g_autoptr (SoupMessage) message = soup_message_new ("GET", url);
  g_autoptr (GBytes) body = wait_for_answer (self, message);
  return body != NULL && soup_message_get_status (message) == 200;
}
