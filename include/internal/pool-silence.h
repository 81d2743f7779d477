/* What the owner of a pool stores of workers that do not answer, for the next owner. Only for the
 * pool's source files. */
#pragma once

#include "internal/pool-private.h"

FbPoolSilence *fb_pool_silence_new (void);
void fb_pool_silence_free (FbPoolSilence *self);
/* WORKER was added to the pool: applies what the previous owner stored of it. */
void fb_pool_silence_worker_added (FbPool *self, FbPoolWorker *worker);
/* WORKER was listed: remembers its largest size. */
void fb_pool_silence_worker_listed (FbPoolWorker *worker);
/* A poll of WORKER has succeeded or failed. */
void fb_pool_silence_polled (FbPool *self, const FbPoolWorker *worker);
/* TRUE when the record must be written for the next owner. */
gboolean fb_pool_silence_record_is_due (const FbPool *self, uint64_t now_ms);
/* Returns: (transfer full) (nullable): the record that belongs to WORKERS, which is written in the
 * same flush; NULL when no worker needs it. */
GBytes *fb_pool_silence_record (FbPool *self, GBytes *workers, uint64_t now_ms);
