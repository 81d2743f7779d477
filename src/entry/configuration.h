/* Keeps the newest configuration in force: reads it from the store and, while the store does not
 * answer this daemon, from other daemons.
 *
 * The version only grows, whatever the source: an older configuration is never applied after a
 * newer one. */
#pragma once

#include <glib.h>

typedef struct _FbEntryDaemon FbEntryDaemon;

/* Starts reading the configuration into ENTRY->routes. */
void fb_configuration_watch (FbEntryDaemon *entry);
/* Applies SOURCE, a configuration as the operator wrote it, if it is valid and newer than the one
 * in force.  FROM: where it comes from, a static text for the log. */
void fb_configuration_apply (FbEntryDaemon *entry, GBytes *source, const char *from);
