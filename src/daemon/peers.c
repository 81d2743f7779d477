#include "peers-private.h"

#include "fb-counter.h"
#include "internal/codec.h"

#include <sodium.h>
#include <string.h>

struct _FbPeers
{
  uint8_t key[FB_PEERS_KEY_BYTES];
  guint link_n;
  FbPeerLink **links; /* NULL for this daemon itself */
  FbPeerServer *server;
};

FbPeersStatus
fb_peers_new (const FbCell *cell, guint self_index, FbPeersReceive receive, gpointer user,
              FbPeers **peers)
{
  FbPeers *self = g_new0 (FbPeers, 1);
  crypto_generichash (self->key, sizeof self->key, (const uint8_t *) cell->peer_key,
                      strlen (cell->peer_key), NULL, 0);
  FbPeersStatus status = fb_peer_server_new (fb_cell_member (cell, self_index), self->key, receive,
                                             user, &self->server);
  if (status != FB_PEERS_OK)
    {
      g_free (self);
      return status;
    }
  self->link_n = cell->members->len;
  self->links = g_new0 (FbPeerLink *, self->link_n);
  for (guint i = 0; i < self->link_n; i++)
    {
      if (i != self_index)
        self->links[i] = fb_peer_link_new (fb_cell_member (cell, i), self->key);
    }
  *peers = self;
  return FB_PEERS_OK;
}

void
fb_peers_free (FbPeers *self)
{
  for (guint i = 0; i < self->link_n; i++)
    {
      if (self->links[i] != NULL)
        fb_peer_link_free (self->links[i]);
    }
  fb_peer_server_free (self->server);
  g_free (self->links);
  g_free (self);
}

void
fb_peers_send (FbPeers *self, guint member, const fb_msg *msg)
{
  if (member >= self->link_n || self->links[member] == NULL)
    return;
  GBytes *bytes = fb_codec_encode_msg (msg);
  if (bytes == NULL)
    {
      fb_counter_add (FB_COUNTER_PEER_MESSAGES_DROPPED, 1);
      return;
    }
  fb_counter_add (FB_COUNTER_PEER_BYTES_SENT, g_bytes_get_size (bytes));
  fb_peer_link_send (self->links[member], bytes);
}
