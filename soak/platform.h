/* Calls to the stand-in for the platform. */
#pragma once

#include <gio/gio.h>

typedef struct _SoakPlatform SoakPlatform;

/* Returns: (transfer full): for the stand-in that listens at PORT. */
SoakPlatform *soak_platform_new (guint16 port);
void soak_platform_free (SoakPlatform *self);
/* BODY: NULL for a GET.  Returns: (transfer full) (nullable): the answer's text. */
char *soak_platform_request (SoakPlatform *self, const char *path, const char *body);
/* Sends the formatted JSON to /control without waiting for the answer.  Calls arrive in the order
 * in which they were made. */
void soak_platform_control (SoakPlatform *self, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Returns: TRUE when a GET of URL is answered 200. */
gboolean soak_platform_is_ready (SoakPlatform *self, const char *url);
