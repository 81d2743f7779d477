#include "platform.h"

#include <libsoup/soup.h>
#include <string.h>

#define CALL_TIMEOUT_S 5

struct _SoakPlatform
{
  SoupSession *session;
  guint16 port;
};

SoakPlatform *
soak_platform_new (guint16 port)
{
  SoakPlatform *self = g_new0 (SoakPlatform, 1);
  self->session = soup_session_new_with_options ("timeout", CALL_TIMEOUT_S, NULL);
  self->port = port;
  return self;
}

void
soak_platform_free (SoakPlatform *self)
{
  g_object_unref (self->session);
  g_free (self);
}

char *
soak_platform_ask (SoakPlatform *self, const char *path, const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u%s", self->port, path);
  g_autoptr (SoupMessage) message = soup_message_new (body != NULL ? "POST" : "GET", url);
  if (body != NULL)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
      soup_message_set_request_body_from_bytes (message, "application/json", bytes);
    }
  g_autoptr (GBytes) answer = soup_session_send_and_read (self->session, message, NULL, NULL);
  if (answer == NULL)
    return NULL;
  return g_strndup (g_bytes_get_data (answer, NULL), g_bytes_get_size (answer));
}

void
soak_platform_control (SoakPlatform *self, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *body = g_strdup_vprintf (format, args);
  va_end (args);
  g_free (soak_platform_ask (self, "/control", body));
}

gboolean
soak_platform_is_ready (SoakPlatform *self, const char *url)
{
  g_autoptr (SoupMessage) message = soup_message_new ("GET", url);
  g_autoptr (GBytes) body = soup_session_send_and_read (self->session, message, NULL, NULL);
  return body != NULL && soup_message_get_status (message) == 200;
}
