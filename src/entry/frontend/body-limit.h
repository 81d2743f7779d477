/* Limits the bodies of requests to a server while they arrive. */
#pragma once

#include <libsoup/soup.h>

#define FB_BODY_MAX_BYTES (256 * 1024)

/* To be called before handlers are added to SERVER. */
void fb_body_limit_install (SoupServer *server);
/* Returns: TRUE when the body of MESSAGE exceeds the limit; it has not been kept then. */
gboolean fb_body_limit_is_exceeded (SoupServerMessage *message);
