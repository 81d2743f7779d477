#include "configuration-watch.h"

#include "configuration.h"
#include "entry-private.h"

#include "src/entry/store/rendezvous.h"

#include "fb-event.h"

#include <string.h>

/* For how long the watched daemon may delay its answer, and the time allowed for the answer after
 * that. A daemon that hangs is noticed within both. */
#define WAIT_MS 1000
#define ANSWER_ALLOWANCE_MS 400
/* Time for which a daemon is not watched after it did not answer, or could not tell. */
#define AVOID_MS 10000

struct _FbConfigurationWatch
{
  FbEntryDaemon *entry;
  GHashTable *avoided; /* address -> uint64_t: time until which it is avoided */
  char *watched;       /* address of the daemon that answered last; NULL: the store is read */
  char *asked;         /* address of the daemon to which a request is open; NULL: none is */
  uint64_t asked_ms;   /* time at which it was sent */
  uint64_t synced_ms;  /* see fb_configuration_watch_synced_ms() */
};

FbConfigurationWatch *
fb_configuration_watch_new (FbEntryDaemon *entry)
{
  FbConfigurationWatch *self = g_new0 (FbConfigurationWatch, 1);
  self->entry = entry;
  self->avoided = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

/* ---- whom to watch ---------------------------------------------------------------------- */

typedef struct
{
  const char *domain;
  const char *own_address;
  GHashTable *avoided;
  uint64_t cpu_min_milli;
  uint64_t now_ms;
} Choice;

static gboolean
may_be_watched (const FbDaemon *member, gconstpointer user)
{
  const Choice *choice = user;
  const uint64_t *avoided_until_ms = g_hash_table_lookup (choice->avoided, member->address);
  return member->cpu_milli >= choice->cpu_min_milli && g_str_equal (member->domain, choice->domain)
         && !g_str_equal (member->address, choice->own_address)
         && (avoided_until_ms == NULL || choice->now_ms >= *avoided_until_ms);
}

/* Returns: (nullable): the daemon that this one watches: one of its domain that may own pools, if
 * it is not avoided; borrowed. */
static const FbDaemon *
choose_watched (const FbConfigurationWatch *self, uint64_t now_ms)
{
  const FbEntrySettings *settings = self->entry->settings;
  const GPtrArray *members = fb_daemons_all (self->entry->daemons);
  const Choice choice = { settings->domain, settings->peers, self->avoided,
                          fb_daemons_owner_min_milli (members), now_ms };
  return fb_rendezvous_choose (members, settings->peers, may_be_watched, &choice);
}

/* TRUE when this daemon need not read the configuration from the store: it is one of many, owns no
 * pools, has read the configuration once, and may learn of changes as late as the bound allows. */
static gboolean
may_watch (const FbConfigurationWatch *self)
{
  const FbEntryDaemon *entry = self->entry;
  return fb_daemons_is_large_fleet (entry->daemons) && !fb_daemons_may_own (entry->daemons)
         && entry->routes != NULL && !fb_configuration_is_read_often (entry) && !entry->stopping;
}

/* ---- requests ------------------------------------------------------------------------------ */

static void
set_watched (FbConfigurationWatch *self, const char *address, const char *reason)
{
  if (g_strcmp0 (self->watched, address) == 0)
    return;
  g_free (self->watched);
  self->watched = g_strdup (address);
  fb_topic_reader_set_suspended (self->entry->config_reader, address != NULL);
  fb_event_log (FB_EVENT_CONFIGURATION_SOURCE, "from=%s why=\"%s\"",
                address != NULL ? address : "store", reason);
}

static void
avoid (FbConfigurationWatch *self, const char *address, uint64_t now_ms)
{
  uint64_t *until_ms = g_new (uint64_t, 1);
  *until_ms = now_ms + AVOID_MS;
  g_hash_table_replace (self->avoided, g_strdup (address), until_ms);
}

static gboolean
is_answer (const fb_peer_reply *peer_reply)
{
  return peer_reply != NULL
         && (peer_reply->type == FB_REPLY_CONFIGURATION
             || peer_reply->type == FB_REPLY_CONFIGURATION_UNCHANGED);
}

static void
on_reply (gpointer data, const fb_peer_reply *peer_reply)
{
  FbConfigurationWatch *self = data;
  uint64_t now_ms = fb_clock_ms ();
  g_autofree char *asked = g_steal_pointer (&self->asked);
  if (is_answer (peer_reply))
    {
      if (peer_reply->type == FB_REPLY_CONFIGURATION)
        fb_configuration_apply_reply (self->entry, &peer_reply->fb_peer_reply_u.configuration);
      self->synced_ms = self->asked_ms;
      set_watched (self, asked, "it answers");
    }
  else
    {
      avoid (self, asked, now_ms);
      set_watched (self, NULL, peer_reply == NULL ? "no answer" : "it cannot tell");
    }
  fb_configuration_watch_check (self, now_ms);
}

void
fb_configuration_watch_check (FbConfigurationWatch *self, uint64_t now_ms)
{
  FbEntryDaemon *entry = self->entry;
  if (self->asked != NULL)
    return;
  const FbDaemon *member = may_watch (self) ? choose_watched (self, now_ms) : NULL;
  if (member == NULL)
    {
      set_watched (self, NULL, "no daemon can be watched");
      return;
    }
  fb_peer_request peer_request = { .type = FB_REQUEST_WATCH_CONFIGURATION };
  peer_request.fb_peer_request_u.watch
      = (fb_configuration_watch_request){ entry->routes->version, WAIT_MS };
  self->asked = g_strdup (member->address);
  self->asked_ms = now_ms;
  fb_peers_request (entry, member->address, &peer_request, WAIT_MS + ANSWER_ALLOWANCE_MS, on_reply,
                    self);
}

uint64_t
fb_configuration_watch_synced_ms (const FbConfigurationWatch *self)
{
  return self->synced_ms;
}
