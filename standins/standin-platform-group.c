/* Consumer groups of the store.  Partitions are assigned to the members of a group round-robin, in
 * the order in which they joined.  All topics of a group have the same assignment, so only that of
 * keyed.jobs is reported. */
#include "standin-platform.h"

typedef struct
{
  char *name;
  gint64 last_join_ms; /* by sp_now_ms() */
  gint64 ttl_ms;       /* the member is removed when it does not join again within this time */
} Member;

typedef struct
{
  GPtrArray *members; /* of Member */
  guint64 generation; /* incremented when a member joins or leaves */
} Group;

static GHashTable *groups; /* name -> Group */
static gboolean expiry_disabled;

void
sp_group_init (void)
{
  groups = g_hash_table_new (g_str_hash, g_str_equal);
}

static Group *
get_group (const char *name)
{
  Group *group = g_hash_table_lookup (groups, name);
  if (group == NULL)
    {
      group = g_new0 (Group, 1);
      group->members = g_ptr_array_new ();
      group->generation = 1;
      g_hash_table_insert (groups, g_strdup (name), group);
    }
  return group;
}

void
sp_group_set_expiry_disabled (gboolean value)
{
  expiry_disabled = value;
}

static void
remove_member (Group *group, guint i)
{
  Member *member = group->members->pdata[i];
  g_ptr_array_remove_index (group->members, i);
  g_free (member->name);
  g_free (member);
  group->generation++;
}

static void
expire_members (Group *group)
{
  for (guint i = group->members->len; i > 0; i--)
    {
      const Member *member = group->members->pdata[i - 1];
      if (!expiry_disabled && sp_now_ms () > member->last_join_ms + member->ttl_ms)
        remove_member (group, i - 1);
    }
}

static const char *
owner_of (const Group *group, guint partition)
{
  if (group->members->len == 0)
    return NULL;
  return ((Member *) group->members->pdata[partition % group->members->len])->name;
}

static Member *
find_member (const Group *group, const char *name, guint *at)
{
  for (guint i = 0; i < group->members->len; i++)
    {
      if (!g_str_equal (((Member *) group->members->pdata[i])->name, name))
        continue;
      *at = i;
      return group->members->pdata[i];
    }
  return NULL;
}

static void
serve_join (SoupServerMessage *message, JsonObject *body)
{
  const char *name = json_object_get_string_member (body, "member");
  Group *group = get_group (json_object_get_string_member (body, "group"));
  guint at = 0;
  expire_members (group);
  Member *member = find_member (group, name, &at);
  if (member == NULL)
    {
      member = g_new0 (Member, 1);
      member->name = g_strdup (name);
      g_ptr_array_add (group->members, member);
      group->generation++;
    }
  member->last_join_ms = sp_now_ms ();
  member->ttl_ms = json_object_get_int_member (body, "ttl-ms");
  GString *out = g_string_new (NULL);
  g_string_printf (out, "{\"generation\":%" G_GUINT64_FORMAT ",\"parts\":[", group->generation);
  gboolean first = TRUE;
  for (guint i = 0; i < SP_PARTITIONS; i++)
    {
      if (!g_str_equal (owner_of (group, i), name))
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
  Group *group = get_group (json_object_get_string_member (body, "group"));
  guint at = 0;
  if (find_member (group, json_object_get_string_member (body, "member"), &at) != NULL)
    remove_member (group, at);
  sp_reply (message, 200, "{}");
}

static void
serve_owners (SoupServerMessage *message, const char *name)
{
  Group *group = get_group (name != NULL ? name : "");
  expire_members (group);
  GString *out = g_string_new ("{\"owners\":[");
  for (guint i = 0; i < SP_PARTITIONS && group->members->len > 0; i++)
    g_string_append_printf (out, "%s[\"keyed.jobs\",%u,\"%s\",0]", i > 0 ? "," : "", i,
                            owner_of (group, i));
  g_string_append (out, "]}");
  sp_reply (message, 200, out->str);
  g_string_free (out, TRUE);
}

gboolean
sp_group_serve (SoupServerMessage *message, const char *path, GHashTable *query, JsonObject *body)
{
  if (g_str_equal (path, "/api/log-owners"))
    serve_owners (message, query != NULL ? g_hash_table_lookup (query, "group") : NULL);
  else if (g_str_equal (path, "/api/log-join") && body != NULL)
    serve_join (message, body);
  else if (g_str_equal (path, "/api/log-leave") && body != NULL)
    serve_leave (message, body);
  else
    return FALSE;
  return TRUE;
}
