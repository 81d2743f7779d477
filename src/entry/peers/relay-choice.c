#include "relay-choice.h"

#include "src/entry/store/rendezvous.h"

#include <string.h>

struct _FbRelayChoices
{
  GPtrArray *members;    /* the list for which BY_WORKER was computed; NULL: none yet */
  GHashTable *by_worker; /* id of a worker -> FbDaemon, borrowed from MEMBERS; NULL: no relay */
};

typedef struct
{
  const char *domain; /* NULL: any */
  const char *except;
  uint64_t now_ms; /* G_MAXUINT64: a relay that did not answer may be chosen, too */
} Choice;

static gboolean
may_relay (const FbDaemon *member, gconstpointer user)
{
  const Choice *choice = user;
  return choice->now_ms >= member->relay_backoff_until_ms
         && (choice->domain == NULL || g_str_equal (member->domain, choice->domain))
         && !g_str_equal (member->address, choice->except);
}

const FbDaemon *
fb_relay_choose (const GPtrArray *members, const char *domain, const char *key, const char *except,
                 uint64_t now_ms)
{
  const Choice in_domain = { domain, except, now_ms };
  const Choice anywhere = { NULL, except, now_ms };
  const FbDaemon *member = fb_rendezvous_choose (members, key, may_relay, &in_domain);
  return member != NULL ? member : fb_rendezvous_choose (members, key, may_relay, &anywhere);
}

FbRelayChoices *
fb_relay_choices_new (void)
{
  FbRelayChoices *self = g_new0 (FbRelayChoices, 1);
  self->by_worker = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return self;
}

void
fb_relay_choices_free (FbRelayChoices *self)
{
  g_hash_table_unref (self->by_worker);
  g_clear_pointer (&self->members, g_ptr_array_unref);
  g_free (self);
}

static void
set_members (FbRelayChoices *self, const GPtrArray *members)
{
  if (self->members == members)
    return;
  g_hash_table_remove_all (self->by_worker);
  g_clear_pointer (&self->members, g_ptr_array_unref);
  self->members = g_ptr_array_ref ((GPtrArray *) members);
}

const FbDaemon *
fb_relay_choices_get (FbRelayChoices *self, const GPtrArray *members, const char *domain,
                      const char *worker, const char *except, uint64_t now_ms)
{
  gpointer usual = NULL;
  set_members (self, members);
  if (!g_hash_table_lookup_extended (self->by_worker, worker, NULL, &usual))
    {
      usual = (gpointer) fb_relay_choose (members, domain, worker, except, G_MAXUINT64);
      g_hash_table_insert (self->by_worker, g_strdup (worker), usual);
    }
  const FbDaemon *member = usual;
  return member == NULL || now_ms >= member->relay_backoff_until_ms
             ? member
             : fb_relay_choose (members, domain, worker, except, now_ms);
}
