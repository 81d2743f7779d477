/* Declarations shared by the sender (peer-link.c) and the receiver (peer-server.c) of batches. */
#pragma once

#include "peers.h"

#define FB_PEERS_KEY_BYTES 32
#define FB_PEERS_RECORD_MAX (FB_MAX_BATCH + 4096)

typedef struct _FbPeerLink FbPeerLink;
typedef struct _FbPeerServer FbPeerServer;

/* peer-link.c.  KEY is borrowed. */
FbPeerLink *fb_peer_link_new (const FbCellMember *member, const uint8_t *key);
void fb_peer_link_free (FbPeerLink *self);
void fb_peer_link_send (FbPeerLink *self, GBytes *message);

/* peer-server.c */
FbPeersStatus fb_peer_server_new (const FbCellMember *member, const uint8_t *key,
                                  FbPeersReceive receive, gpointer user, FbPeerServer **server);
void fb_peer_server_free (FbPeerServer *self);
