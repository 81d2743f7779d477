/* The owner of one partition: drives the pools of its services. */
#pragma once

#include "platform/wire.h"

typedef struct _FbEntry FbEntry;
typedef struct _FbOwner FbOwner;

FbOwner *fb_owner_new (FbEntry *entry, uint32_t partition, uint64_t epoch);
void fb_owner_free (FbOwner *self);
gboolean fb_owner_lost (const FbOwner *self);
/* Answers questions about jobs and queues. */
void fb_owner_tell (FbOwner *self, const fb_peer_request *ask, fb_peer_reply *told);
/* Takes a record of FB_TOPIC_JOBS that is in the store, before it is read there. */
void fb_owner_take_record (FbOwner *self, const char *key, GBytes *value);
/* Something changed that pools should look at soon. */
void fb_owner_kick (FbOwner *self);
void fb_owner_routes_changed (FbOwner *self);
void fb_owner_worker_listed (FbOwner *self, const FbListedWorker *worker);
void fb_owner_worker_unlisted (FbOwner *self, const FbListedWorker *worker);
/* Nothing is started any more; what is known is made durable. */
void fb_owner_quiesce (FbOwner *self);
gboolean fb_owner_is_quiet (const FbOwner *self);
/* TOLD is NULL when the question failed. */
void fb_owner_advised (FbOwner *self, const char *step, const char *const *asked, guint n,
                       const fb_advice_reply *told);
