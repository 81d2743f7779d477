/* Internal definitions of the links between daemons. */
#pragma once

#include "links.h"

#include "internal/codec.h"

/* Maximum size of a body: the largest message that the codec encodes, with its header. */
#define FB_LINK_BODY_MAX_BYTES (FB_CODEC_RECORD_MAX_BYTES + 4096)

typedef struct
{
  uint32_t number;       /* of the call, unique on its connection */
  uint64_t frame_offset; /* offset of its frame in the stream of bytes written to the connection */
  uint64_t sent_ms;
  uint64_t timeout_at_ms; /* time at which the call times out */
  FbLinkDone done;
  gpointer user;
} Pending;

typedef struct _FbLinkConnection
{
  FbLinks *links;
  int fd;
  char *address; /* address of the peer; NULL when the peer initiated the connection */
  gboolean connecting;
  gboolean dirty; /* has bytes to write and is contained in FbLinks.dirty */
  gboolean closed;
  guint refs; /* references: one by FbLinks, one by each call being served */
  uint64_t created_ms;
  uint64_t received_ms;   /* time at which data was last received, initially created_ms */
  uint32_t last_number;   /* number of the last call sent */
  uint64_t written_bytes; /* number of bytes written to the socket */
  GByteArray *out;        /* output buffer */
  gsize out_offset;       /* offset of its first unwritten byte */
  GByteArray *in;         /* input buffer; contains no complete frame */
  GQueue pending;         /* of Pending, in the order of their numbers */
} FbLinkConnection;

struct _FbLinks
{
  int epoll;
  int listener;
  GSource *source;
  FbLinkServe serve;
  gpointer user;
  uint64_t now_ms;
  uint64_t drained_ms;     /* all data received before this time has been read */
  uint64_t sweep_began_ms; /* time of the first poll since then */
  guint sweep_events_n;    /* number of events since then */
  guint deferred_checks_n; /* checks for timeouts in a row for which received data was left */
  GHashTable *by_address;  /* address -> FbLinkConnection, for outgoing calls */
  GPtrArray *all;          /* of FbLinkConnection */
  GPtrArray *dirty;        /* of FbLinkConnection */
};

/* link-connection.c */

/* Creates a connection on FD, which it owns.  ADDRESS: of the peer that this daemon connects to;
 * NULL when the peer initiated the connection.
 * Returns: the connection, owned by LINKS until it is closed. */
FbLinkConnection *fb_link_connection_new (FbLinks *links, int fd, const char *address);
/* Registers SELF with epoll by OPERATION (EPOLL_CTL_*) for input and, with FOR_OUTPUT, also for
 * output. */
void fb_link_connection_watch (const FbLinkConnection *self, int operation, gboolean for_output);
void fb_link_connection_ref (FbLinkConnection *self);
void fb_link_connection_unref (FbLinkConnection *self);
/* Closes SELF.  Calls of which nothing was written end with FB_LINK_NOT_SENT, the others with
 * FB_LINK_LOST. */
void fb_link_connection_close (FbLinkConnection *self);
/* Writes as much as the socket accepts.
 * Returns: FALSE when the connection is to be closed. */
gboolean fb_link_connection_write (FbLinkConnection *self);
/* Handles EVENTS, as reported by epoll. */
void fb_link_connection_handle (FbLinkConnection *self, uint32_t events);
/* Queues a call.
 * Returns: FALSE when too many bytes are unwritten already, or BODY is too large. */
gboolean fb_link_connection_call (FbLinkConnection *self, GBytes *body, uint32_t timeout_ms,
                                  FbLinkDone done, gpointer user);
/* Ends calls that have timed out.
 * Returns: FALSE when nothing was received since a call that has timed out was sent, and the
 * connection is to be closed. */
gboolean fb_link_connection_check_timeouts (FbLinkConnection *self, uint64_t now_ms);
