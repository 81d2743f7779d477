#include "configuration-watchers.h"

#include "configuration.h"
#include "entry-private.h"

/* Maximum time for which an answer is delayed. */
#define WAIT_MAX_MS 2000
/* Maximum number of requests that wait; further ones are answered that this daemon cannot tell. */
#define WATCHERS_MAX 1024

typedef struct
{
  uint64_t config_version;
  uint64_t until_ms;
  FbPeerReplyDone done;
  gpointer user;
} Watcher;

struct _FbConfigurationWatchers
{
  FbEntryDaemon *entry;
  GQueue waiting; /* of Watcher */
};

FbConfigurationWatchers *
fb_configuration_watchers_new (FbEntryDaemon *entry)
{
  FbConfigurationWatchers *self = g_new0 (FbConfigurationWatchers, 1);
  self->entry = entry;
  return self;
}

/* Answers WATCHER with the configuration if it is newer, else with TYPE, and frees WATCHER. */
static void
answer (const FbConfigurationWatchers *self, Watcher *watcher, fb_peer_reply_type type)
{
  fb_peer_reply peer_reply = { .type = type };
  (void) fb_configuration_fill_reply (self->entry, watcher->config_version, &peer_reply);
  watcher->done (watcher->user, &peer_reply);
  g_free (watcher);
}

void
fb_configuration_watchers_add (FbConfigurationWatchers *self,
                               const fb_configuration_watch_request *peer_request,
                               FbPeerReplyDone done, gpointer user)
{
  uint64_t now_ms = fb_clock_ms ();
  Watcher *watcher = g_new0 (Watcher, 1);
  watcher->config_version = peer_request->config_version;
  watcher->until_ms = now_ms + MIN (peer_request->wait_ms, WAIT_MAX_MS);
  watcher->done = done;
  watcher->user = user;
  if (fb_configuration_is_newer (self->entry, watcher->config_version)
      || !fb_configuration_is_current (self->entry, now_ms)
      || g_queue_get_length (&self->waiting) >= WATCHERS_MAX)
    answer (self, watcher, FB_REPLY_UNAVAILABLE);
  else
    g_queue_push_tail (&self->waiting, watcher);
}

/* Answers all requests; those that arrive meanwhile are kept. */
static void
answer_all (FbConfigurationWatchers *self, fb_peer_reply_type type)
{
  GQueue waiting = self->waiting;
  Watcher *watcher = NULL;
  g_queue_init (&self->waiting);
  while ((watcher = g_queue_pop_head (&waiting)) != NULL)
    answer (self, watcher, type);
}

void
fb_configuration_watchers_changed (FbConfigurationWatchers *self)
{
  answer_all (self, FB_REPLY_CONFIGURATION_UNCHANGED);
}

void
fb_configuration_watchers_check (FbConfigurationWatchers *self, uint64_t now_ms)
{
  if (!fb_configuration_is_current (self->entry, now_ms))
    {
      answer_all (self, FB_REPLY_UNAVAILABLE);
      return;
    }
  for (guint n = g_queue_get_length (&self->waiting); n > 0; n--)
    {
      Watcher *watcher = g_queue_pop_head (&self->waiting);
      if (now_ms >= watcher->until_ms)
        answer (self, watcher, FB_REPLY_CONFIGURATION_UNCHANGED);
      else
        g_queue_push_tail (&self->waiting, watcher);
    }
}
