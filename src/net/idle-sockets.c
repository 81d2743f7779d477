#include "idle-sockets.h"

#include <sys/socket.h>

struct _FbIdleSockets
{
  GHashTable *since_ms; /* descriptor -> uint64_t */
};

FbIdleSockets *
fb_idle_sockets_new (void)
{
  FbIdleSockets *self = g_new0 (FbIdleSockets, 1);
  self->since_ms = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return self;
}

void
fb_idle_sockets_free (FbIdleSockets *self)
{
  g_hash_table_unref (self->since_ms);
  g_free (self);
}

void
fb_idle_sockets_add (FbIdleSockets *self, int socket, uint64_t now_ms)
{
  g_hash_table_replace (self->since_ms, GINT_TO_POINTER (socket),
                        g_memdup2 (&now_ms, sizeof now_ms));
}

void
fb_idle_sockets_remove (FbIdleSockets *self, int socket)
{
  g_hash_table_remove (self->since_ms, GINT_TO_POINTER (socket));
}

guint
fb_idle_sockets_shut_down (FbIdleSockets *self, uint64_t before_ms)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer socket;
  gpointer since_ms;
  g_hash_table_iter_init (&iter, self->since_ms);
  while (g_hash_table_iter_next (&iter, &socket, &since_ms))
    {
      if (*(const uint64_t *) since_ms >= before_ms)
        continue;
      (void) shutdown (GPOINTER_TO_INT (socket), SHUT_RDWR);
      g_hash_table_iter_remove (&iter);
      n++;
    }
  return n;
}
