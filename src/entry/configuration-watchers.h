/* Requests of other daemons that wait for a newer configuration than their own.
 *
 * They are answered as soon as one is in force here, or after a time that nothing has changed; and
 * that this daemon cannot tell as soon as it may lack a configuration itself. */
#pragma once

#include "src/entry/peers/relay.h"

typedef struct _FbConfigurationWatchers FbConfigurationWatchers;

FbConfigurationWatchers *fb_configuration_watchers_new (FbEntryDaemon *entry);
/* DONE is called once, now or later. */
void fb_configuration_watchers_add (FbConfigurationWatchers *self,
                                    const fb_configuration_watch_request *peer_request,
                                    FbPeerReplyDone done, gpointer user);
/* A newer configuration is in force. */
void fb_configuration_watchers_changed (FbConfigurationWatchers *self);
/* Answers requests whose time has passed, or all while this daemon may lack a configuration.  To be
 * called at least every 100 ms. */
void fb_configuration_watchers_check (FbConfigurationWatchers *self, uint64_t now_ms);
