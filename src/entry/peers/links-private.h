/* The parts of links, for their own files only. */
#pragma once

#include "links.h"

/* Largest body: a batch of records that a peer appends, and room for its encoding. */
#define FB_LINK_BODY_MAX_BYTES (2 * 1024 * 1024)

typedef struct
{
  uint32_t number;
  uint64_t frame_from; /* bytes written to the connection before its frame */
  uint64_t sent_ms;
  uint64_t until_ms;
  FbLinkDone done;
  gpointer user;
} Pending;

typedef struct _FbLinkConnection
{
  FbLinks *links;
  int fd;
  char *address; /* of the peer that was called; NULL: it is the caller */
  gboolean connecting;
  gboolean dirty; /* it has bytes to write and is listed for that */
  gboolean closed;
  guint refs; /* one of the links, one of each call that is being served */
  uint64_t began_ms;
  uint64_t heard_ms;
  uint32_t last_number;
  uint64_t written;
  GByteArray *out;
  gsize out_from;
  GByteArray *in;
  GQueue pending; /* of Pending, in the order of their numbers */
} FbLinkConnection;

struct _FbLinks
{
  int epoll;
  int listener;
  GSource *source;
  FbLinkServe serve;
  gpointer user;
  uint64_t now_ms;
  GHashTable *by_address; /* address -> FbLinkConnection: where calls go out */
  GPtrArray *all;         /* of FbLinkConnection */
  GPtrArray *dirty;       /* of FbLinkConnection */
};

/* link-connection.c */

/* A connection over FD, which it owns.  ADDRESS: of the peer that is called; NULL: it called.
 * Returns: owned by LINKS until it is closed. */
FbLinkConnection *fb_link_connection_new (FbLinks *links, int fd, const char *address);
/* It may be written to now, or, with FOR_ROOM, is watched until it may. */
void fb_link_connection_watch (const FbLinkConnection *self, int operation, gboolean for_room);
void fb_link_connection_ref (FbLinkConnection *self);
void fb_link_connection_unref (FbLinkConnection *self);
/* Ends SELF: calls that were not written at all were not sent, the others are lost. */
void fb_link_connection_close (FbLinkConnection *self);
/* Returns: FALSE when the connection is of no more use. */
gboolean fb_link_connection_write (FbLinkConnection *self);
/* EVENTS: of epoll. */
void fb_link_connection_handle (FbLinkConnection *self, uint32_t events);
/* Returns: FALSE when it has too much to write already, or BODY is too large. */
gboolean fb_link_connection_call (FbLinkConnection *self, GBytes *body, uint32_t timeout_ms,
                                  FbLinkDone done, gpointer user);
/* Gives up calls whose time has passed.  Returns: FALSE when the connection is silent. */
gboolean fb_link_connection_give_up_calls (FbLinkConnection *self, uint64_t now_ms);
