/* Connections between daemons: calls and answers in frames over TCP, many on one
 * connection, in any order.
 *
 * A call is answered once: with the peer's answer, as not sent (the peer has certainly not
 * read it), or as lost (it may have been carried out).  Bytes and connections are handled
 * here; what calls say is their callers' matter.  All of it belongs to the thread of the
 * main context in which it was made. */
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

/* BODY is borrowed; NULL unless the call was answered. */
typedef void (*FbLinkDone) (gpointer user, FbLinkResult result, gconstpointer body, gsize len);
/* A peer calls.  BODY is borrowed.  CALL has to be given to fb_link_call_answer() once. */
typedef void (*FbLinkServe) (gpointer user, FbLinkCall *call, gconstpointer body, gsize len);

/* Returns: (transfer full): NULL when ADDRESS, "IP:PORT", cannot be listened on; a last message
 * says why.  */
FbLinks *fb_links_new (const char *address, FbLinkServe serve, gpointer user);
/* Calls that are open are forgotten without an answer. */
void fb_links_free (FbLinks *self);
/* Sends BODY to the daemon at ADDRESS.  DONE is called later, within about TIMEOUT_MS. */
void fb_links_call (FbLinks *self, const char *address, GBytes *body, uint32_t timeout_ms,
                    FbLinkDone done, gpointer user);
/* Takes over CALL.  An answer to a caller that is gone is dropped. */
void fb_link_call_answer (FbLinkCall *call, GBytes *body);
/* Lets time pass: gives up calls that have waited too long.  To be called each 25 ms or so. */
void fb_links_tend (FbLinks *self, uint64_t now_ms);
