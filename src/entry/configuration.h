/* Keeps the newest configuration in force: reads it from the store and, while the store does not
 * answer this daemon, from other daemons.
 *
 * The version only grows, whatever the source: an older configuration is never applied after a
 * newer one. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbEntryDaemon FbEntryDaemon;

/* Returns: for how long the store may delay its answer to a read of the configuration, if a new one
 * has to be in force within BOUND_MS.  HAS_ACCOUNTS: client accounts are configured, or may be. */
uint32_t fb_configuration_wait_ms (uint64_t bound_ms, gboolean has_accounts);
/* Returns: TRUE when the configuration is read so often that the answers show whether the store can
 * be reached. */
gboolean fb_configuration_is_read_often (const FbEntryDaemon *entry);

/* Starts reading the configuration into ENTRY->routes. */
void fb_configuration_watch (FbEntryDaemon *entry);
