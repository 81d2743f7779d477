/* Batches of messages to and from peers over ONC RPC.
 *
 * Each peer has a sender thread with a bounded queue, so that a blocked or unresponsive peer does
 * not delay messages to the others. One thread serves all incoming connections. A batch that cannot
 * be delivered is dropped: links do not retry, the node sends its requests again. */
#pragma once

#include "fb-cell.h"

typedef struct _FbPeers FbPeers;

/* Called on the server thread with one decoded message. Takes ownership of MSG, which must be
 * cleared and freed. Returns: FALSE when the receiver is overloaded. */
typedef gboolean (*FbPeersReceive) (gpointer user, fb_msg *msg);

typedef enum
{
  FB_PEERS_OK,
  FB_PEERS_ADDRESS_IN_USE,
  FB_PEERS_RPC_FAILED
} FbPeersStatus;

/* Listens on the RPC address of member SELF_INDEX of CELL (borrowed) and starts the links to the
 * other members. At most one per process, because the server state of the RPC library is global. */
FbPeersStatus fb_peers_new (const FbCell *cell, guint self_index, FbPeersReceive receive,
                            gpointer user, FbPeers **peers);
void fb_peers_free (FbPeers *self);

/* Queues MSG for MEMBER, or drops it when the queue is full. May be called on any thread. */
void fb_peers_send (FbPeers *self, guint member, const fb_msg *msg);
