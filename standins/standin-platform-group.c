/* The store's group: its members share the partitions evenly, in the order of their joining. */
#include "standin-platform.h"

typedef struct
{
  char *name;
  gint64 seen_ms;
  gint64 ttl_ms;
} Member;

static GPtrArray *members; /* of Member */
static guint64 generation = 1;
static gboolean patient;

void
sp_group_init (void)
{
  members = g_ptr_array_new ();
}

void
sp_group_set_patient (gboolean value)
{
  patient = value;
}

static void
drop_member (guint i)
{
  Member *member = members->pdata[i];
  g_ptr_array_remove_index (members, i);
  g_free (member->name);
  g_free (member);
  generation++;
}

static void
drop_silent_members (void)
{
  for (guint i = members->len; i > 0; i--)
    {
      const Member *member = members->pdata[i - 1];
      if (!patient && sp_now_ms () > member->seen_ms + member->ttl_ms)
        drop_member (i - 1);
    }
}

static const char *
owner_of (guint partition)
{
  if (members->len == 0)
    return NULL;
  return ((Member *) members->pdata[partition % members->len])->name;
}

static Member *
find_member (const char *name, guint *at)
{
  for (guint i = 0; i < members->len; i++)
    {
      if (!g_str_equal (((Member *) members->pdata[i])->name, name))
        continue;
      *at = i;
      return members->pdata[i];
    }
  return NULL;
}

static void
serve_join (SoupServerMessage *message, JsonObject *body)
{
  const char *name = json_object_get_string_member (body, "member");
  guint at = 0;
  drop_silent_members ();
  Member *member = find_member (name, &at);
  if (member == NULL)
    {
      member = g_new0 (Member, 1);
      member->name = g_strdup (name);
      g_ptr_array_add (members, member);
      generation++;
    }
  member->seen_ms = sp_now_ms ();
  member->ttl_ms = json_object_get_int_member (body, "ttl-ms");
  GString *out = g_string_new (NULL);
  g_string_printf (out, "{\"generation\":%" G_GUINT64_FORMAT ",\"parts\":[", generation);
  gboolean first = TRUE;
  for (guint i = 0; i < SP_PARTITIONS; i++)
    {
      if (!g_str_equal (owner_of (i), name))
        continue;
      g_string_append_printf (out, "%s[\"keyed.jobs\",%u,0]", first ? "" : ",", i);
      first = FALSE;
    }
  g_string_append (out, "]}");
  sp_reply (message, 200, out->str);
  g_string_free (out, TRUE);
}

static void
serve_leave (SoupServerMessage *message, JsonObject *body)
{
  guint at = 0;
  if (find_member (json_object_get_string_member (body, "member"), &at) != NULL)
    drop_member (at);
  sp_reply (message, 200, "{}");
}

static void
serve_owners (SoupServerMessage *message)
{
  drop_silent_members ();
  GString *out = g_string_new ("{\"owners\":[");
  for (guint i = 0; i < SP_PARTITIONS && members->len > 0; i++)
    g_string_append_printf (out, "%s[\"keyed.jobs\",%u,\"%s\",0]", i > 0 ? "," : "", i,
                            owner_of (i));
  g_string_append (out, "]}");
  sp_reply (message, 200, out->str);
  g_string_free (out, TRUE);
}

gboolean
sp_group_serve (SoupServerMessage *message, const char *path, JsonObject *body)
{
  if (g_str_equal (path, "/api/log-owners"))
    serve_owners (message);
  else if (g_str_equal (path, "/api/log-join") && body != NULL)
    serve_join (message, body);
  else if (g_str_equal (path, "/api/log-leave") && body != NULL)
    serve_leave (message, body);
  else
    return FALSE;
  return TRUE;
}
