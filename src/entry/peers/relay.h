/* Orders that other daemons carry to workers for the owner of a pool. */
#pragma once

#include "src/entry/store/daemons.h"

#include "platform/wire.h"

typedef enum
{
  FB_RELAY_ANSWERED,
  FB_RELAY_NOT_RELAYED, /* certainly */
  FB_RELAY_LOST         /* the order may be carried out, now or later */
} FbRelayResult;

/* TOLD is borrowed; NULL unless it was answered. */
typedef void (*FbRelayDone) (gpointer user, FbRelayResult result, const fb_relay_reply *told);
/* TOLD is borrowed; NULL when no answer came, UNSURE also when nothing was sent. */
typedef void (*FbTold) (gpointer user, const fb_peer_reply *told);

/* MEMBERS: of FbDaemon.  BUT: an address that is not to be chosen.
 * Returns: (nullable): who of DOMAIN carries what KEY stands for; borrowed. */
const FbDaemon *fb_relay_choose (const GPtrArray *members, const char *domain, const char *key,
                                 const char *but, uint64_t now_ms);
/* Returns: (nullable): the address of the daemon that carries ORDER to its worker, borrowed; NULL:
 * this one does. */
const char *fb_relay_for (FbEntry *entry, const fb_relay_request *order);
/* Has DAEMON carry ORDER; all it points to is borrowed for the call. */
void fb_relay_send (FbEntry *entry, const char *daemon, const fb_relay_request *order,
                    FbRelayDone done, gpointer user);
/* Carries an order for another daemon; DONE is called once. */
void fb_relay_serve (FbEntry *entry, const fb_relay_request *order, FbTold done, gpointer user);
/* Calls the worker from here. */
void fb_relay_call_worker (FbEntry *entry, const fb_relay_request *order, FbHttpReplyDone done,
                           gpointer user);
/* Reads what the worker answered to an order of KIND; the lists are those of a look.  ANSWER is
 * cleared with fb_poll_answer_clear(). */
void fb_relay_worker_answer (fb_order_kind kind, const char *worker, const FbHttpReply *reply,
                             FbPollAnswer *answer);
/* ANSWER borrows its texts from TOLD; it is cleared with fb_poll_answer_clear(). */
void fb_relay_poll_answer (const fb_relay_reply *told, FbPollAnswer *answer);
