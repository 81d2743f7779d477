/* Deep copies of worker requests and replies, to pass them between threads of the daemon. */
#pragma once

#include "internal/rack.h"

FbSyncRequest *fb_sync_request_copy (const FbSyncRequest *request);
void fb_sync_request_free (FbSyncRequest *self);

FbSyncReply *fb_sync_reply_copy (const FbSyncReply *reply);
void fb_sync_reply_free (FbSyncReply *self);
