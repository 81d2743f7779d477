/* Connections between daemons: calls and answers are sent as frames over TCP, many on one
 * connection and in any order.
 *
 * Each call ends once: answered by the peer, not sent (the peer has certainly not received it), or
 * lost (it may have been executed).  This module only transports bytes; the contents of calls are
 * defined by its users.  It may be used only on the thread of the main context in which it was
 * created. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbLinks FbLinks;
typedef struct _FbLinkCall FbLinkCall;

typedef enum
{
  FB_LINK_ANSWERED,
  FB_LINK_NOT_SENT,
  FB_LINK_LOST
} FbLinkResult;

/* Completion of a call.  BODY is borrowed; NULL unless the call was answered. */
typedef void (*FbLinkDone) (gpointer user, FbLinkResult result, gconstpointer body, gsize len);
/* Handles the call of a peer.  BODY is borrowed.  CALL has to be passed to fb_link_call_answer()
 * exactly once. */
typedef void (*FbLinkServe) (gpointer user, FbLinkCall *call, gconstpointer body, gsize len);

/* Listens on ADDRESS, "IP:PORT".
 * Returns: (transfer full): NULL on failure; fb_status_message() contains the reason. */
FbLinks *fb_links_new (const char *address, FbLinkServe serve, gpointer user);
/* Open calls are dropped without a callback. */
void fb_links_free (FbLinks *self);
/* Sends BODY to the daemon at ADDRESS.  DONE is called from the main loop, within about
 * TIMEOUT_MS. */
void fb_links_call (FbLinks *self, const char *address, GBytes *body, uint32_t timeout_ms,
                    FbLinkDone done, gpointer user);
/* Returns: how long CALL may have waited in this process's sockets before it was read, at most. */
uint64_t fb_link_call_waited_max_ms (const FbLinkCall *call);
/* Answers CALL with BODY and frees CALL.  The answer is dropped when the connection is closed. */
void fb_link_call_answer (FbLinkCall *call, GBytes *body);
/* Ends calls that have timed out.  To be called about every 25 ms. */
void fb_links_check_timeouts (FbLinks *self, uint64_t now_ms);
