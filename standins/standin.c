#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct _Standin
{
  SoupServer *server;
  StandinFaults faults;
  StandinHandler handler;
  StandinControl control;
  gpointer user;
};

guint64
standin_now_ms (void)
{
  return (guint64) g_get_monotonic_time () / 1000;
}

JsonBuilder *
standin_object (void)
{
  JsonBuilder *out = json_builder_new ();
  json_builder_begin_object (out);
  return out;
}

void
standin_add_int (JsonBuilder *out, const char *name, gint64 value)
{
  json_builder_set_member_name (out, name);
  json_builder_add_int_value (out, value);
}

void
standin_add_text (JsonBuilder *out, const char *name, const char *value)
{
  json_builder_set_member_name (out, name);
  json_builder_add_string_value (out, value);
}

guint64
standin_query_u64 (GHashTable *query, const char *name, guint64 default_value)
{
  const char *text = query != NULL ? g_hash_table_lookup (query, name) : NULL;
  guint64 value = default_value;
  if (text != NULL)
    g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT64, &value, NULL);
  return value;
}

StandinFaults *
standin_faults (Standin *self)
{
  return &self->faults;
}

void
standin_set_control (Standin *self, StandinControl control)
{
  self->control = control;
}

typedef struct
{
  SoupServerMessage *message;
  char *text;
} DelayedAnswer;

static gboolean
send_answer (gpointer data)
{
  DelayedAnswer *delayed = data;
  soup_server_message_set_status (delayed->message, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (delayed->message, "application/json", SOUP_MEMORY_TAKE,
                                    delayed->text, strlen (delayed->text));
  soup_server_message_unpause (delayed->message);
  g_object_unref (delayed->message);
  g_free (delayed);
  return G_SOURCE_REMOVE;
}

static void
close_connection (SoupServerMessage *message)
{
  GIOStream *stream = soup_server_message_steal_connection (message);
  g_io_stream_close (stream, NULL, NULL);
  g_object_unref (stream);
}

/* Sends ANSWER (transfer full) as the response to MESSAGE, which is paused. */
void
standin_answer (Standin *self, SoupServerMessage *message, JsonBuilder *answer)
{
  json_builder_end_object (answer);
  JsonNode *root = json_builder_get_root (answer);
  DelayedAnswer *delayed = g_new (DelayedAnswer, 1);
  *delayed = (DelayedAnswer){ g_object_ref (message), json_to_string (root, FALSE) };
  json_node_unref (root);
  g_object_unref (answer);
  if (self->faults.lose_answers)
    {
      close_connection (message);
      g_object_unref (delayed->message);
      g_free (delayed->text);
      g_free (delayed);
    }
  else if (self->faults.delay_ms > 0)
    g_timeout_add ((guint) self->faults.delay_ms, send_answer, delayed);
  else
    send_answer (delayed);
}

static JsonObject *
parse_body (SoupServerMessage *message, JsonParser *parser)
{
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  g_autoptr (GBytes) bytes = soup_message_body_flatten (body);
  gsize len = 0;
  const char *text = g_bytes_get_data (bytes, &len);
  if (len == 0 || !json_parser_load_from_data (parser, text, (gssize) len, NULL))
    return NULL;
  JsonNode *root = json_parser_get_root (parser);
  return JSON_NODE_HOLDS_OBJECT (root) ? json_node_get_object (root) : NULL;
}

static void
set_faults (Standin *self, JsonObject *body)
{
  StandinFaults *faults = &self->faults;
  faults->delay_ms = json_object_get_int_member_with_default (body, "delay_ms", faults->delay_ms);
  faults->outage = json_object_get_boolean_member_with_default (body, "outage", faults->outage);
  faults->freeze = json_object_get_boolean_member_with_default (body, "freeze", faults->freeze);
  faults->lose_answers
      = json_object_get_boolean_member_with_default (body, "lose_answers", faults->lose_answers);
  if (self->control != NULL)
    self->control (self->user, body);
}

static void
on_request (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
            gpointer data)
{
  (void) server;
  Standin *self = data;
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonObject *body = parse_body (message, parser);
  if (g_str_equal (path, "/control"))
    {
      if (body != NULL)
        set_faults (self, body);
      soup_server_message_set_status (message, body != NULL ? 200 : 400, NULL);
      return;
    }
  gboolean faults_apply = !g_str_equal (path, "/record");
  if (faults_apply && self->faults.outage)
    {
      soup_server_message_set_status (message, SOUP_STATUS_SERVICE_UNAVAILABLE, NULL);
      return;
    }
  soup_server_message_pause (message);
  if (faults_apply && self->faults.freeze)
    return;
  JsonBuilder *answer = self->handler (self->user, message, path, query, body);
  if (answer != NULL)
    standin_answer (self, message, answer);
}

Standin *
standin_new (guint port, StandinHandler handler, gpointer user)
{
  Standin *self = g_new0 (Standin, 1);
  self->handler = handler;
  self->user = user;
  self->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (self->server, "/", on_request, self, NULL);
  g_autoptr (GError) error = NULL;
  g_autoptr (GInetAddress) ip = g_inet_address_new_from_string ("127.0.0.1");
  g_autoptr (GSocketAddress) address = g_inet_socket_address_new (ip, (guint16) port);
  if (!soup_server_listen (self->server, address, 0, &error))
    {
      fprintf (stderr, "cannot listen on 127.0.0.1:%u: %s\n", port, error->message);
      exit (4);
    }
  return self;
}
