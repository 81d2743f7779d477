/* Calls to the stand-in of the platform. */
#pragma once

#include <gio/gio.h>

typedef struct _SoakPlatform SoakPlatform;

/* Returns: (transfer full): for the stand-in that listens at PORT. */
SoakPlatform *soak_platform_new (guint16 port);
void soak_platform_free (SoakPlatform *self);
/* BODY: NULL for a GET.  Returns: (transfer full) (nullable): the answer's text. */
char *soak_platform_ask (SoakPlatform *self, const char *path, const char *body);
/* Tells the stand-in what to do, in JSON; it is sent before what comes after it. */
void soak_platform_control (SoakPlatform *self, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Returns: TRUE when URL is answered 200. */
gboolean soak_platform_is_ready (SoakPlatform *self, const char *url);
