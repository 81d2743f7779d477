/* Check for free ports on loopback. */
#pragma once

#include <gio/gio.h>

/* Returns: TRUE when a socket can listen on each of the N ports from FIRST on. */
gboolean soak_ports_are_free (guint first, guint n);
