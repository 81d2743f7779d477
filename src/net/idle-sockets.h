/* Sockets of connections that are kept for reuse, and since when each of them is idle. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbIdleSockets FbIdleSockets;

FbIdleSockets *fb_idle_sockets_new (void);
void fb_idle_sockets_free (FbIdleSockets *self);
/* No call uses SOCKET any more. */
void fb_idle_sockets_add (FbIdleSockets *self, int socket, uint64_t now_ms);
/* A call uses SOCKET, or it is about to be closed. */
void fb_idle_sockets_remove (FbIdleSockets *self, int socket);
/* Ends the connections that have been idle since before BEFORE_MS.  Their descriptors stay open
 * until their owner finds the connections closed.  Returns: their number. */
guint fb_idle_sockets_shut_down (FbIdleSockets *self, uint64_t before_ms);
