/* Requests between daemons, and their replies. */
#pragma once

#include "links.h"
#include "relay.h"
#include "src/entry/store/appender.h"

/* Sends PEER_REQUEST to the daemon at ADDRESS.  DONE is called once, within about TIMEOUT_MS. */
void fb_peers_request (FbEntryDaemon *entry, const char *address,
                       const fb_peer_request *peer_request, uint32_t timeout_ms,
                       FbPeerReplyDone done, gpointer user);
/* Completion callback for requests whose reply does not matter. */
void fb_peers_ignore_reply (gpointer user, const fb_peer_reply *peer_reply);
/* Sends a request to the owner of the pool of SERVICE, which may be this daemon; retries for up to
 * TIMEOUT_MS. */
void fb_peers_request_owner (FbEntryDaemon *entry, const char *service,
                             const fb_peer_request *peer_request, uint32_t timeout_ms,
                             FbPeerReplyDone done, gpointer user);
/* Notifies the owner of PARTITION of a stored record.  The owner also reads it from the store.
 * DONE is called once, with FB_REPLY_STORED if the owner has applied the record. */
void fb_peers_notify_stored (FbEntryDaemon *entry, uint32_t partition, const char *key,
                             GBytes *value, FbPeerReplyDone done, gpointer user);
/* Appends an owner's progress through PEER, with the same effect as an append sent by this
 * daemon. */
void fb_peers_append_progress (FbEntryDaemon *entry, const char *peer,
                               const fb_progress_append_request *write, uint32_t timeout_ms,
                               FbAppendDone done, gpointer user);
/* Handles calls of peers; a FbLinkServe for the links of ENTRY. */
void fb_peers_serve (gpointer entry, FbLinkCall *call, gconstpointer body, gsize len);
