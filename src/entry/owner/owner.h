/* Owner of one partition: runs the pools of its services. */
#pragma once

#include "platform/wire.h"
#include "src/entry/peers/relay.h"

typedef struct _FbEntryDaemon FbEntryDaemon;
typedef struct _FbOwner FbOwner;

FbOwner *fb_owner_new (FbEntryDaemon *entry, uint32_t partition, uint64_t epoch);
void fb_owner_free (FbOwner *self);
/* Returns: TRUE when SELF has stepped down and is to be freed. */
gboolean fb_owner_has_stepped_down (const FbOwner *self);
/* Returns: the time since SELF was created. */
uint64_t fb_owner_owned_ms (const FbOwner *self);
uint64_t fb_owner_epoch (const FbOwner *self);
/* Returns: the time since the ownership was last confirmed; 0: it never was. */
uint64_t fb_owner_confirmed_ms_ago (const FbOwner *self);
/* Answers a request about a job, a queue or parts of caps.  PEER_REPLY is released with
 * xdr_free(). */
void fb_owner_answer (FbOwner *self, const fb_peer_request *peer_request,
                      fb_peer_reply *peer_reply);
/* Answers a claim by the pool of another service once it is stored which of the jobs the pool of
 * the requested service never runs.  DONE is called once, with a reply. */
void fb_owner_disclaim (FbOwner *self, const fb_claim_request *request, FbPeerReplyDone done,
                        gpointer user);
/* Applies a record of FB_TOPIC_JOBS that is known to be stored, before the topic reader reads it.
 * Returns: FALSE when SELF does not apply records yet, or any more. */
gboolean fb_owner_apply_record (FbOwner *self, const char *key, GBytes *value);
/* Schedules a tick of the pools within some ms. */
void fb_owner_schedule_tick (FbOwner *self);
void fb_owner_routes_changed (FbOwner *self);
/* Stores the routes that lead to the services of this partition, for fb_route_directory_find(). */
void fb_owner_store_routes (FbOwner *self);
void fb_owner_worker_listed (FbOwner *self, const FbListedWorker *worker);
void fb_owner_worker_unlisted (FbOwner *self, const FbListedWorker *worker);
/* Appends what client accounts use in the pools, and their caps, in the text exposition format. */
void fb_owner_render_accounts (const FbOwner *self, GString *out);
/* Starts no further tasks; progress is still stored. */
void fb_owner_quiesce (FbOwner *self);
gboolean fb_owner_is_flushed (const FbOwner *self);
/* Passes an answer of the advice service to the pools.  REQUESTED: the N workers in the request.
 * PEER_REPLY: NULL when the request failed. */
void fb_owner_advised (FbOwner *self, const char *step, const char *const *requested, guint n,
                       const fb_advice_reply *peer_reply);
