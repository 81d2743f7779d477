/* Questions between daemons, and their answers. */
#pragma once

#include "links.h"
#include "relay.h"
#include "src/entry/store/appender.h"

void fb_peers_ask (FbEntry *entry, const char *address, const fb_peer_request *ask,
                   uint32_t timeout_ms, FbTold done, gpointer user);
/* For what needs no answer. */
void fb_peers_ignore_told (gpointer user, const fb_peer_reply *told);
/* Asks the owner of the pool of SERVICE, wherever it is. */
void fb_peers_ask_owner (FbEntry *entry, const char *service, const fb_peer_request *ask,
                         uint32_t timeout_ms, FbTold done, gpointer user);
/* Tells the owner of PARTITION of a stored record; it is read from the store anyway,
 * so nothing depends on the answer. */
void fb_peers_tell_stored (FbEntry *entry, uint32_t partition, const char *key, GBytes *value);
/* Appends progress through PEER, as the store would take it from here. */
void fb_peers_write (FbEntry *entry, const char *peer, const fb_progress_append_request *write,
                     uint32_t timeout_ms, FbAppended done, gpointer user);
/* For the links of ENTRY. */
void fb_peers_serve (gpointer entry, FbLinkCall *call, gconstpointer body, gsize len);
