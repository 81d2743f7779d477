#include "group-leave.h"

#include "src/entry/entry-private.h"

#define ANSWER_TIMEOUT_MS 500

struct _FbGroupLeave
{
  FbEntryDaemon *entry;
  const char *group;
  const char *name;
  GHashTable *removed; /* member names of previous processes that were removed */
};

FbGroupLeave *
fb_group_leave_new (FbEntryDaemon *entry, const char *group, const char *name)
{
  FbGroupLeave *self = g_new0 (FbGroupLeave, 1);
  self->entry = entry;
  self->group = group;
  self->name = name;
  self->removed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return self;
}

static void
on_removed (gpointer data, const FbHttpReply *reply)
{
  (void) data;
  (void) reply; /* without an answer the member is removed after its time to live */
}

static void
remove_member (FbGroupLeave *self, const char *member, FbHttpReplyDone done, gpointer user)
{
  FbHttpCall call;
  fb_wire_leave (&call, self->entry->settings->store, self->group, member);
  fb_http_client_exchange (self->entry->store_client, &call, ANSWER_TIMEOUT_MS, done, user);
  fb_http_call_clear (&call);
}

void
fb_group_leave_self (FbGroupLeave *self, FbHttpReplyDone done, gpointer user)
{
  remove_member (self, self->name, done != NULL ? done : on_removed, user);
}

gboolean
fb_group_leave_remove_predecessor (FbGroupLeave *self, const char *member)
{
  if (!fb_daemons_is_predecessor (member, self->name)
      || !g_hash_table_add (self->removed, g_strdup (member)))
    return FALSE;
  remove_member (self, member, on_removed, NULL);
  return TRUE;
}
