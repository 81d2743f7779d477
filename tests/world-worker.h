/* A fake worker: implements the worker's side of the exchange, with its own clock. */
#pragma once

#include "internal/rack.h"
#include "oracle.h"

typedef struct _Worker Worker;
typedef struct _WorkerReply WorkerReply;

const FbSyncReply *worker_reply_view (const WorkerReply *self);
void worker_reply_free (WorkerReply *self);

Worker *worker_new (guint id, const fb_res *capacity, Oracle *oracle, uint64_t now_ms,
                    uint64_t clock_offset_ms);
void worker_free (Worker *self);

/* Returns: (transfer full): the reply, or NULL if a later exchange was handled before. */
WorkerReply *worker_handle (Worker *self, uint64_t now_ms, const FbSyncRequest *request);
/* Ends the runs that are due or whose lease has expired at NOW_MS. */
void worker_tick (Worker *self, uint64_t now_ms);

void worker_set_frozen (Worker *self, uint64_t now_ms, gboolean frozen);
/* Returns: a number that increases with each end of a run. */
guint64 worker_ends_version (const Worker *self);
gboolean worker_is_frozen (const Worker *self);
void worker_restart (Worker *self, uint64_t now_ms);
void worker_set_runs_fail (Worker *self, gboolean fail);
void worker_set_usage (Worker *self, guint percent);
void worker_set_leaving (Worker *self, uint64_t now_ms, gboolean leaving);
