/* Stand-in for the platform's log: streams with offsets and retention, stored in memory and served
 * as JSON over HTTP. */
#include "standin.h"

#include <stdio.h>
#include <string.h>

#define MAX_PAGE_RECORDS 500

typedef struct
{
  guint64 first;       /* offset of the oldest retained record */
  GPtrArray *data;     /* of char * */
  GArray *appended_ms; /* of guint64: standin_now_ms() at the append of each record */
} Stream;

typedef struct
{
  GHashTable *streams; /* name -> Stream */
  guint64 retention_ms;
  guint64 appends; /* append calls served */
  guint64 records; /* records appended by them */
} Log;

static Stream *
get_stream (Log *self, const char *name)
{
  Stream *stream = g_hash_table_lookup (self->streams, name);
  if (stream == NULL)
    {
      stream = g_new0 (Stream, 1);
      stream->data = g_ptr_array_new_with_free_func (g_free);
      stream->appended_ms = g_array_new (FALSE, FALSE, sizeof (guint64));
      g_hash_table_insert (self->streams, g_strdup (name), stream);
    }
  return stream;
}

static void
drop_expired (const Log *self, Stream *stream)
{
  guint64 now_ms = standin_now_ms ();
  guint expired_n = 0;
  while (expired_n < stream->appended_ms->len
         && g_array_index (stream->appended_ms, guint64, expired_n) + self->retention_ms < now_ms)
    expired_n++;
  if (expired_n == 0)
    return;
  g_ptr_array_remove_range (stream->data, 0, expired_n);
  g_array_remove_range (stream->appended_ms, 0, expired_n);
  stream->first += expired_n;
}

static JsonBuilder *
append (Log *self, JsonObject *body)
{
  JsonBuilder *out = standin_object ();
  json_builder_set_member_name (out, "offsets");
  json_builder_begin_array (out);
  JsonArray *records = body != NULL && json_object_has_member (body, "records")
                           ? json_object_get_array_member (body, "records")
                           : NULL;
  guint n = records != NULL ? json_array_get_length (records) : 0;
  guint64 now_ms = standin_now_ms ();
  for (guint i = 0; i < n; i++)
    {
      JsonObject *record = json_array_get_object_element (records, i);
      Stream *stream
          = get_stream (self, json_object_get_string_member_with_default (record, "stream", ""));
      drop_expired (self, stream);
      g_ptr_array_add (stream->data,
                       g_strdup (json_object_get_string_member_with_default (record, "data", "")));
      g_array_append_val (stream->appended_ms, now_ms);
      json_builder_add_int_value (out, (gint64) (stream->first + stream->data->len - 1));
    }
  json_builder_end_array (out);
  self->appends++;
  self->records += n;
  return out;
}

static JsonBuilder *
read_stream (Log *self, GHashTable *query)
{
  const char *name = query != NULL ? g_hash_table_lookup (query, "stream") : NULL;
  Stream *stream = get_stream (self, name != NULL ? name : "");
  drop_expired (self, stream);
  guint64 from = standin_query_u64 (query, "from", 0);
  guint64 max = MIN (standin_query_u64 (query, "max", MAX_PAGE_RECORDS), MAX_PAGE_RECORDS);
  guint64 now_ms = standin_now_ms ();
  JsonBuilder *out = standin_object ();
  standin_add_int (out, "first", (gint64) stream->first);
  standin_add_int (out, "now_ms", (gint64) now_ms);
  json_builder_set_member_name (out, "records");
  json_builder_begin_array (out);
  guint64 i = from > stream->first ? from - stream->first : 0;
  for (guint64 n = 0; i < stream->data->len && n < max; i++, n++)
    {
      json_builder_begin_object (out);
      standin_add_int (out, "offset", (gint64) (stream->first + i));
      standin_add_int (out, "age_ms",
                       (gint64) (now_ms - g_array_index (stream->appended_ms, guint64, i)));
      standin_add_text (out, "data", g_ptr_array_index (stream->data, i));
      json_builder_end_object (out);
    }
  json_builder_end_array (out);
  json_builder_set_member_name (out, "at_end");
  json_builder_add_boolean_value (out, i >= stream->data->len);
  return out;
}

static JsonBuilder *
handle (gpointer user, SoupServerMessage *message, const char *path, GHashTable *query,
        JsonObject *body)
{
  (void) message;
  Log *self = user;
  if (g_str_equal (path, "/v1/append"))
    return append (self, body);
  if (g_str_equal (path, "/v1/read"))
    return read_stream (self, query);
  JsonBuilder *out = standin_object ();
  standin_add_int (out, "appends", (gint64) self->appends);
  standin_add_int (out, "records", (gint64) self->records);
  return out;
}

static void
control (gpointer user, JsonObject *body)
{
  Log *self = user;
  self->retention_ms = (guint64) json_object_get_int_member_with_default (
      body, "retention_ms", (gint64) self->retention_ms);
}

int
main (int argc, char **argv)
{
  int port = 0;
  int retention_s = 3600;
  const GOptionEntry options[]
      = { { "port", 'p', 0, G_OPTION_ARG_INT, &port, "Port on 127.0.0.1", "N" },
          { "retention", 'r', 0, G_OPTION_ARG_INT, &retention_s, "Seconds", "N" },
          { NULL, 0, 0, 0, NULL, NULL, NULL } };
  g_autoptr (GOptionContext) context = g_option_context_new ("- stand-in for the log");
  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL) || port <= 0)
    {
      fprintf (stderr, "usage: standin-log --port N [--retention SECONDS]\n");
      return 2;
    }
  Log log = { .streams = g_hash_table_new (g_str_hash, g_str_equal),
              .retention_ms = (guint64) retention_s * 1000 };
  Standin *standin = standin_new ((guint) port, handle, &log);
  standin_set_control (standin, control);
  g_main_loop_run (g_main_loop_new (NULL, FALSE));
  return 0;
}
