/* Ports of loopback on which nobody listens. */
#pragma once

#include <gio/gio.h>

/* TRUE when each of the N ports from FIRST on can be listened on now. */
gboolean soak_ports_are_free (guint first, guint n);
