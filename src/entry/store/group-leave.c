#include "group-leave.h"

#include "src/entry/entry-private.h"

#define ANSWER_MS 500

struct _FbDismissal
{
  FbEntry *entry;
  const char *group;
  const char *name;
  GHashTable *dismissed; /* names of earlier processes that were taken out */
};

FbDismissal *
fb_dismissal_new (FbEntry *entry, const char *group, const char *name)
{
  FbDismissal *self = g_new0 (FbDismissal, 1);
  self->entry = entry;
  self->group = group;
  self->name = name;
  self->dismissed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return self;
}

static void
on_taken_out (gpointer data, const FbHttpReply *reply)
{
  (void) data;
  (void) reply; /* without an answer its time to live runs out */
}

static void
take_out (FbDismissal *self, const char *member, FbHttpReplyDone done, gpointer user)
{
  FbHttpCall call;
  fb_wire_leave (&call, self->entry->settings->store, self->group, member);
  fb_http_client_exchange (self->entry->store_client, &call, ANSWER_MS, done, user);
  fb_http_call_clear (&call);
}

void
fb_dismissal_leave (FbDismissal *self, FbHttpReplyDone done, gpointer user)
{
  take_out (self, self->name, done != NULL ? done : on_taken_out, user);
}

gboolean
fb_dismissal_of (FbDismissal *self, const char *member)
{
  if (!fb_daemons_is_predecessor (member, self->name)
      || !g_hash_table_add (self->dismissed, g_strdup (member)))
    return FALSE;
  take_out (self, member, on_taken_out, NULL);
  return TRUE;
}
