/* Keeps the newest configuration in force: reads it from the store and, while the store does not
 * answer this daemon, from other daemons.
 *
 * The version only grows, whatever the source: an older configuration is never applied after a
 * newer one. */
#pragma once

typedef struct _FbEntryDaemon FbEntryDaemon;

/* Starts reading the configuration into ENTRY->routes. */
void fb_configuration_watch (FbEntryDaemon *entry);
