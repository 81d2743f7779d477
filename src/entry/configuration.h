/* Keeps the newest configuration in force: reads it from the store, or learns of it from a daemon
 * that does (configuration-watch.h), and asks any other daemon while neither answers.
 *
 * The version only grows, whatever the source: an older configuration is never applied after a
 * newer one. */
#pragma once

#include "rpc/work.h"

#include <glib.h>
#include <stdint.h>

typedef struct _FbEntryDaemon FbEntryDaemon;

/* Returns: for how long the store may delay its answer to a read of the configuration, if a new one
 * has to be in force within BOUND_MS.  HAS_ACCOUNTS: client accounts are configured, or may be. */
uint32_t fb_configuration_wait_ms (uint64_t bound_ms, gboolean has_accounts);
/* Returns: TRUE when the configuration is read so often that the answers show whether the store can
 * be reached. */
gboolean fb_configuration_is_read_often (const FbEntryDaemon *entry);

/* Returns: TRUE while this daemon reads the configuration from the store, and any that is newer
 * than the one in force was stored in the last moments only. */
gboolean fb_configuration_is_current (const FbEntryDaemon *entry, uint64_t now_ms);
/* Returns: TRUE when the configuration in force is newer than CONFIG_VERSION. */
gboolean fb_configuration_is_newer (const FbEntryDaemon *entry, uint64_t config_version);
/* Makes PEER_REPLY one with the configuration in force, which it borrows, if that is newer than
 * CONFIG_VERSION.  Returns: FALSE when it is not. */
gboolean fb_configuration_fill_reply (const FbEntryDaemon *entry, uint64_t config_version,
                                      fb_peer_reply *peer_reply);
/* Applies the configuration in REPLY if it is valid and newer than the one in force. */
void fb_configuration_apply_reply (FbEntryDaemon *entry, const fb_configuration_reply *reply);
/* Starts reading the configuration into ENTRY->routes. */
void fb_configuration_watch (FbEntryDaemon *entry);
