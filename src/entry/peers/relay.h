/* Relays orders to workers through other daemons on behalf of the owner of a pool. */
#pragma once

#include "relay-choice.h"

#include "platform/wire.h"

typedef enum
{
  FB_RELAY_ANSWERED,
  FB_RELAY_NOT_RELAYED, /* the order was certainly not executed */
  FB_RELAY_LOST         /* the order may be executed, now or later */
} FbRelayResult;

/* Completion of a relayed order.  PEER_REPLY is borrowed, for fb_relay_decode_answer(); NULL unless
 * the relay answered. */
typedef void (*FbRelayDone) (gpointer user, FbRelayResult result, const fb_peer_reply *peer_reply);
/* Completion of a request to a peer.  PEER_REPLY is borrowed; NULL when no reply arrived, and of
 * type FB_REPLY_UNAVAILABLE also when nothing was sent. */
typedef void (*FbPeerReplyDone) (gpointer user, const fb_peer_reply *peer_reply);

/* Returns: (nullable): the address of the daemon that relays ORDER to its worker, borrowed; NULL
 * when this daemon sends it itself. */
const char *fb_relay_address_for (FbEntryDaemon *entry, const fb_relay_request *order);
/* Sends ORDER through DAEMON; everything that ORDER points to is borrowed for the call. */
void fb_relay_send (FbEntryDaemon *entry, const char *daemon, const fb_relay_request *order,
                    FbRelayDone done, gpointer user);
/* Sends the order in PEER_REQUEST, which has one of the types that relay an order, to its worker on
 * behalf of another daemon; DONE is called once.  WAITED_MAX_MS: how long the request may have
 * waited in this process's sockets; an order whose sender may have given it up is not sent. */
void fb_relay_serve (FbEntryDaemon *entry, const fb_peer_request *peer_request,
                     uint64_t waited_max_ms, FbPeerReplyDone done, gpointer user);
/* Sends ORDER to its worker from this daemon. */
void fb_relay_call_worker (FbEntryDaemon *entry, const fb_relay_request *order,
                           FbHttpReplyDone done, gpointer user);
/* Parses the worker's answer to an order of KIND; only the answer to a poll has lists.  ANSWER is
 * cleared with fb_poll_answer_clear(). */
void fb_relay_parse_worker_answer (fb_order_kind kind, const char *worker, const FbHttpReply *reply,
                                   FbPollAnswer *answer);
/* Converts a relay's reply, of one of the types that contain the result of an order.  ANSWER
 * borrows its strings from RELAY_REPLY; it is cleared with fb_poll_answer_clear(). */
void fb_relay_decode_answer (const fb_peer_reply *relay_reply, FbPollAnswer *answer);
