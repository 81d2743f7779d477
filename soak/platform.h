/* HTTP client for the stand-in platform (standins/standin-platform.c). */
#pragma once

#include <gio/gio.h>

typedef struct _SoakPlatform SoakPlatform;

/* Returns: (transfer full): a client of the stand-in platform that listens on PORT. */
SoakPlatform *soak_platform_new (guint16 port);
void soak_platform_free (SoakPlatform *self);
/* Sends a GET, or a POST when BODY is not NULL.  Returns: (transfer full) (nullable): the text of
 * the response. */
char *soak_platform_request (SoakPlatform *self, const char *path, const char *body);
/* Sends the formatted JSON to /control without waiting for the response.  Calls arrive in the order
 * in which they were sent. */
void soak_platform_control (SoakPlatform *self, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Appends encoded RECORDS to a partition of the store without waiting for the response. */
void soak_platform_append (SoakPlatform *self, const char *topic, guint partition,
                           const GByteArray *records);
/* Returns: TRUE when a GET of URL is answered with 200. */
gboolean soak_platform_is_ready (SoakPlatform *self, const char *url);
