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
void fb_pool_silence_polled (FbPool *self, const FbPoolWorker *worker, uint64_t now_ms);
/* WORKER has answered a poll; IS_FIRST: it had not answered this owner before, or had been lost. */
void fb_pool_silence_answered (FbPool *self, FbPoolWorker *worker, gboolean is_first,
                               uint64_t now_ms);
/* Calls that were meant for another incarnation may have reached WORKER: what the previous owner
 * recorded of it proves nothing any more. */
void fb_pool_silence_forget (FbPool *self, FbPoolWorker *worker);
/* Returns: when every lease of WORKER has certainly ended, by the record of the previous owner;
 * G_MAXUINT64: the record does not tell. */
uint64_t fb_pool_silence_lease_end_ms (const FbPool *self, const FbPoolWorker *worker);
/* TRUE when the next record closes WORKER. */
gboolean fb_pool_silence_will_close (const FbPool *self, const FbPoolWorker *worker,
                                     uint64_t now_ms);
/* Chooses the workers that get rows in the next record; to be called before the functions below. */
void fb_pool_silence_choose_rows (FbPool *self, uint64_t now_ms);
/* Returns: (transfer full) (nullable): name of a step -> number of its tasks on WORKER, if the next
 * record closes WORKER and nothing else can run there. */
GHashTable *fb_pool_silence_runs (const FbPool *self, const FbPoolWorker *worker, uint64_t now_ms);
/* TRUE when the previous owner's record lists the runs on the worker ID. */
gboolean fb_pool_silence_has_runs (const FbPool *self, const char *id);
/* TRUE when the previous owner's record proves that the worker ID, which its record of workers
 * names, holds no lease from a call that was meant for an earlier incarnation. */
gboolean fb_pool_silence_excludes_misdirected (const FbPool *self, const char *id);
/* The workers that the previous owner's record names have been added. */
void fb_pool_silence_applied (FbPool *self);
/* TRUE when the last records of workers are old enough to be written again. */
gboolean fb_pool_silence_may_record (const FbPool *self, uint64_t now_ms);
/* TRUE when the record must be written for the next owner. */
gboolean fb_pool_silence_record_is_due (const FbPool *self, uint64_t now_ms);
/* Sets *SILENT (transfer full) to the record that belongs to WORKERS, which is written in the same
 * flush; to NULL when no worker needs it. Closes the workers in it.
 * Returns: FALSE when the record cannot be encoded. */
gboolean fb_pool_silence_record (FbPool *self, GBytes *workers, uint64_t now_ms, GBytes **silent);
/* The open flush has been stored: reopens the workers that its record leaves out. */
void fb_pool_silence_stored (FbPool *self, uint64_t now_ms);
/* The store did not accept the record of the open flush: no worker is reopened. */
void fb_pool_silence_not_stored (FbPool *self);
