#include "body-limit.h"

#define KEY "fb-body-limit"
/* Bytes of a body beyond the limit that are read and dropped, so that a caller that sends its body
 * to the end receives the response; a longer one is cut off. */
#define DROPPED_MAX_BYTES (4 * FB_BODY_MAX_BYTES)

typedef struct
{
  goffset received_bytes;
  gboolean exceeded;
  gboolean closing;
} BodyLimit;

static void
set_exceeded (SoupServerMessage *message, BodyLimit *limit)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  limit->exceeded = TRUE;
  soup_message_body_set_accumulate (body, FALSE);
  soup_message_body_truncate (body);
}

/* The connection can't be closed while the server reads from it. */
static gboolean
close_connection (gpointer data)
{
  g_autoptr (SoupServerMessage) message = data;
  GSocket *socket = soup_server_message_get_socket (message);
  if (socket != NULL)
    (void) g_socket_close (socket, NULL);
  return G_SOURCE_REMOVE;
}

static void
on_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  BodyLimit *limit = data;
  limit->received_bytes += (goffset) g_bytes_get_size (chunk);
  if (limit->received_bytes > FB_BODY_MAX_BYTES && !limit->exceeded)
    set_exceeded (message, limit);
  if (limit->received_bytes <= FB_BODY_MAX_BYTES + DROPPED_MAX_BYTES || limit->closing)
    return;
  limit->closing = TRUE;
  g_idle_add (close_connection, g_object_ref (message));
}

static void
on_headers (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
            gpointer data)
{
  (void) server;
  (void) path;
  (void) query;
  (void) data;
  BodyLimit *limit = g_new0 (BodyLimit, 1);
  g_object_set_data_full (G_OBJECT (message), KEY, limit, g_free);
  g_signal_connect (message, "got-chunk", G_CALLBACK (on_chunk), limit);
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  if (soup_message_headers_get_encoding (headers) == SOUP_ENCODING_CONTENT_LENGTH
      && soup_message_headers_get_content_length (headers) > FB_BODY_MAX_BYTES)
    set_exceeded (message, limit);
}

void
fb_body_limit_install (SoupServer *server)
{
  soup_server_add_early_handler (server, NULL, on_headers, NULL, NULL);
}

gboolean
fb_body_limit_is_exceeded (SoupServerMessage *message)
{
  const BodyLimit *limit = g_object_get_data (G_OBJECT (message), KEY);
  return limit != NULL && limit->exceeded;
}
