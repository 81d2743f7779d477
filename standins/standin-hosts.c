/* Stand-in for the platform's host list.  POST /control {"host":NAME,"state":"live|leaving|gone"}
 * sets the state of a host; the list shows the change "lag_ms" ms later. */
#include "standin.h"

#include <stdio.h>

typedef struct
{
  char *state;
  guint64 changed_ms;   /* standin_now_ms() when STATE was set */
  char *previous_state; /* listed until lag_ms after CHANGED_MS */
} Host;

typedef struct
{
  GHashTable *hosts; /* name -> Host */
  guint64 lag_ms;    /* delay before a change of state is listed */
} Hosts;

static const char *
visible_state (const Hosts *self, const Host *host)
{
  return standin_now_ms () >= host->changed_ms + self->lag_ms ? host->state : host->previous_state;
}

static JsonBuilder *
handle (gpointer user, SoupServerMessage *message, const char *path, GHashTable *query,
        JsonObject *body)
{
  (void) message;
  (void) path;
  (void) query;
  (void) body;
  Hosts *self = user;
  JsonBuilder *out = standin_object ();
  json_builder_set_member_name (out, "hosts");
  json_builder_begin_array (out);
  GHashTableIter iter;
  gpointer name;
  gpointer host;
  g_hash_table_iter_init (&iter, self->hosts);
  while (g_hash_table_iter_next (&iter, &name, &host))
    {
      json_builder_begin_object (out);
      standin_add_text (out, "name", name);
      standin_add_text (out, "state", visible_state (self, host));
      json_builder_end_object (out);
    }
  json_builder_end_array (out);
  return out;
}

static void
control (gpointer user, JsonObject *body)
{
  Hosts *self = user;
  self->lag_ms
      = (guint64) json_object_get_int_member_with_default (body, "lag_ms", (gint64) self->lag_ms);
  const char *name = json_object_get_string_member_with_default (body, "host", NULL);
  const char *state = json_object_get_string_member_with_default (body, "state", "live");
  if (name == NULL)
    return;
  Host *host = g_hash_table_lookup (self->hosts, name);
  if (host == NULL)
    {
      host = g_new0 (Host, 1);
      host->state = g_strdup ("live");
      g_hash_table_insert (self->hosts, g_strdup (name), host);
    }
  g_free (host->previous_state);
  host->previous_state = host->state;
  host->state = g_strdup (state);
  host->changed_ms = standin_now_ms ();
}

int
main (int argc, char **argv)
{
  int port = 0;
  const GOptionEntry options[]
      = { { "port", 'p', 0, G_OPTION_ARG_INT, &port, "Port on 127.0.0.1", "N" },
          { NULL, 0, 0, 0, NULL, NULL, NULL } };
  g_autoptr (GOptionContext) context = g_option_context_new ("- stand-in for the host list");
  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL) || port <= 0)
    {
      fprintf (stderr, "usage: standin-hosts --port N\n");
      return 2;
    }
  Hosts hosts = { .hosts = g_hash_table_new (g_str_hash, g_str_equal) };
  standin_set_control (standin_new ((guint) port, handle, &hosts), control);
  g_main_loop_run (g_main_loop_new (NULL, FALSE));
  return 0;
}
