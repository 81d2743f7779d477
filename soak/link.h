/* A TCP proxy on loopback that injects faults into its connections. */
#pragma once

#include <gio/gio.h>

typedef struct _SoakLink SoakLink;

typedef enum
{
  SOAK_LINK_PASS,
  SOAK_LINK_SLOW,      /* data is forwarded with a delay */
  SOAK_LINK_PARTITION, /* nothing is forwarded in either direction until the mode changes */
  SOAK_LINK_ONE_WAY,   /* data from the server is dropped */
  SOAK_LINK_N
} SoakLinkMode;

/* Returns: (transfer full): a proxy that listens on an ephemeral port and connects to TO_PORT; NULL
 * when it cannot listen. */
SoakLink *soak_link_new (guint16 to_port);
void soak_link_free (SoakLink *self);
guint16 soak_link_port (const SoakLink *self);
/* SLOW_MS: delay of SOAK_LINK_SLOW, ignored in other modes. */
void soak_link_set_mode (SoakLink *self, SoakLinkMode mode, guint slow_ms);
/* REFUSING: the port is bound, but nothing listens on it, so that new connections are refused. Open
 * connections are not affected. */
void soak_link_set_refusing (SoakLink *self, gboolean refusing);
/* Resets all open connections (TCP RST). */
void soak_link_reset (SoakLink *self);
/* Stops forwarding on all open connections, permanently and without closing them. New connections
 * are forwarded. */
void soak_link_blackhole (SoakLink *self);
