/* What was concluded from the end of a worker's leases, for as long as reports may refute it; only
 * for the pool's source files. */
#pragma once

#include "internal/pool-worker-private.h"

typedef struct _FbPoolConclusions FbPoolConclusions;

FbPoolConclusions *fb_pool_conclusions_new (void);
void fb_pool_conclusions_free (FbPoolConclusions *self);
/* All leases of WORKER have ended, by BOUND, a static text for the log. */
void fb_pool_conclusions_add_worker (FbPool *self, const FbPoolWorker *worker, const char *bound,
                                     uint64_t now_ms);
/* RUN on WORKER has ended with its leases, by BOUND, a static text for the log. */
void fb_pool_conclusions_add_run (FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run,
                                  const char *bound, uint64_t now_ms);
/* Logs what ANSWER of WORKER refutes. Called before ANSWER changes anything. */
void fb_pool_conclusions_check (FbPool *self, FbPoolWorker *worker, const FbPollAnswer *answer,
                                uint64_t now_ms);
