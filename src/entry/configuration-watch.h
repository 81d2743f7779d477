/* Learns of configurations from another daemon of the same failure domain instead of the store.
 *
 * In a large fleet the store would otherwise answer each daemon twice a second that nothing has
 * changed, and send it each configuration.  The daemons that may own pools read the store; each of
 * the others watches one of these, chosen by its own address, and reads the store itself whenever
 * the one that it watches does not answer or may lack a configuration. */
#pragma once

#include "src/entry/store/daemons.h"

typedef struct _FbConfigurationWatch FbConfigurationWatch;

FbConfigurationWatch *fb_configuration_watch_new (FbEntryDaemon *entry);
/* Watches another daemon if that is possible and no request is open.  To be called at least every
 * 250 ms. */
void fb_configuration_watch_check (FbConfigurationWatch *self, uint64_t now_ms);
/* Returns: the time at which the last answered request was sent: every configuration that was
 * stored before then, but for the time within which the watched daemon notices that it lacks one,
 * is in force; 0: never. */
uint64_t fb_configuration_watch_synced_ms (const FbConfigurationWatch *self);
