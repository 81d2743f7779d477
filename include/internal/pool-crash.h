/* Tasks suspected of crashing their workers: counting crashes, tracking losses with unknown cause,
 * failing the job at a limit. */
#pragma once

#include "internal/pool-private.h"

/* A worker on which a suspected task was started and where the outcome is unknown. */
typedef struct
{
  char *worker; /* id of the worker */
  char *address;
  gboolean seen; /* the task was seen running there */
} FbPoolUnresolvedStart;

/* pool-crash.c: crash counts, the limit, placement */

/* Returns: how many worker crashes are counted for TASK. */
guint fb_pool_task_crashes_n (const FbPoolTask *task);
/* TRUE when the crash of the worker with id hash WORKER is counted for TASK. */
gboolean fb_pool_task_has_crash (const FbPoolTask *task, uint64_t worker);
/* Sets defaults for the crash limits that are 0. */
void fb_pool_crash_set_limits (FbPoolLimits *limits);
/* Recomputes whether task INDEX is withheld; called when its crashes or unresolved losses
 * change. */
void fb_pool_task_update_withheld (const FbPool *self, FbPoolStep *step, uint32_t index);
/* A flush that contained JOB has been stored: releases tasks that were withheld until then. */
void fb_pool_crash_stored (FbPool *self, FbPoolJob *job);
/* TRUE when a worker has crashed, or may have crashed, while running TASK. */
gboolean fb_pool_task_is_suspect (const FbPoolTask *task);
/* Counts CRASH for task INDEX, at most once per worker. */
void fb_pool_crash_count (FbPool *self, FbPoolStep *step, uint32_t index, FbPoolCrash crash,
                          uint64_t now_ms);
/* Task INDEX has proven to be harmless: removes its crashes. WHY: a static string. */
void fb_pool_crash_clear (FbPool *self, FbPoolStep *step, uint32_t index, const char *why);
/* No run of task INDEX is on WORKER, which is still up: removes the unresolved start from the job's
 * record. */
void fb_pool_crash_task_absent (FbPool *self, const FbPoolWorker *worker, FbPoolStep *step,
                                uint32_t index);
/* A run of task INDEX ended on WORKER, which is still up. */
void fb_pool_crash_task_ended (FbPool *self, const FbPoolWorker *worker, FbPoolStep *step,
                               uint32_t index, FbEndReason reason);
/* Task INDEX got its place on WORKER: adds the start to the job's record if the task is
 * suspected. */
void fb_pool_crash_task_placed (FbPoolWorker *worker, FbPoolStep *step, uint32_t index);
/* RUN was seen running on WORKER: updates the job's record if it contains the start. */
void fb_pool_crash_task_seen (FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run);
/* Records the runs on WORKER when a poll of it has failed. */
void fb_pool_crash_record_silence (FbPool *self, FbPoolWorker *worker, uint64_t now_ms);
/* The start of RUN was confirmed, or got no answer: records RUN if a poll of WORKER has failed. */
void fb_pool_crash_start_answered (FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run);
/* Called before the runs of a lost WORKER are dropped. NEXT: as for fb_pool_worker_lost(). */
void fb_pool_crash_worker_lost (FbPool *self, FbPoolWorker *worker, FbPoolLoss loss,
                                const FbPoolWorker *next, uint64_t now_ms);
/* Fails jobs that have a task at the crash limit. */
void fb_pool_crash_end_jobs (FbPool *self, uint64_t now_ms, uint64_t wall_ms);
/* Removes JOB, which has ended, from the suspects. */
void fb_pool_crash_remove_job (FbPool *self, FbPoolJob *job);
/* FALSE when TASK is suspected and must not share WORKER with the suspected tasks there. */
gboolean fb_pool_crash_may_share (const FbPoolWorker *worker, const FbPoolTask *task);
/* FALSE while WORKER is exclusive to another task than TASK. */
gboolean fb_pool_crash_may_use (const FbPoolWorker *worker, const FbPoolTask *task,
                                uint64_t now_ms);
/* Clears long-running tasks that have run on WORKER long enough, so that others may start there. */
void fb_pool_crash_clear_long_running (FbPool *self, FbPoolWorker *worker);
/* TRUE when TASK must wait until no run on WORKER, its best worker, is just beginning; WORKER is
 * exclusive to TASK meanwhile. */
gboolean fb_pool_crash_waits_for_stable (FbPoolWorker *worker, FbPoolTask *task, uint64_t now_ms);
/* Returns: the placement cost of WORKER for the suspected TASK; lower is better. */
double fb_pool_crash_cost (const FbPoolWorker *worker, const FbPoolTask *task, uint64_t now_ms);
/* Updates WORKER's counts of suspected runs when RUN is added (SIGN 1) or removed (-1). RUN has a
 * step. */
void fb_pool_crash_charge (FbPoolWorker *worker, FbPoolRun *run, int sign);

/* pool-crash-causes.c: possible causes per crash, keyed by the hash of the worker's id */

GHashTable *fb_pool_crash_causes_new (void);
/* Adds or removes one task that may have crashed WORKER. */
void fb_pool_crash_cause_add (FbPool *self, uint64_t worker);
void fb_pool_crash_cause_drop (FbPool *self, uint64_t worker);
/* TRUE when exactly one possible cause is left. */
gboolean fb_pool_crash_has_one_cause (const FbPool *self, uint64_t worker);

/* pool-unresolved-losses.c: losses that may or may not have been crashes */

GHashTable *fb_pool_unresolved_losses_new (void);
/* Task INDEX was on the lost worker ID at ADDRESS. CRASH: what to count if the worker crashed. */
void fb_pool_unresolved_loss_add (FbPool *self, const char *id, const char *address,
                                  FbPoolStep *step, uint32_t index, FbPoolCrash crash,
                                  uint64_t now_ms);
/* Resolves the loss of worker ID: counts it for its tasks if CRASHED, else discards it. */
void fb_pool_unresolved_loss_resolve (FbPool *self, const char *id, gboolean crashed,
                                      uint64_t now_ms);
/* Resolves losses by the list of workers, and discards those that are still unresolved after a
 * timeout. */
void fb_pool_unresolved_losses_check (FbPool *self, uint64_t now_ms);

/* pool-probe.c: steps that start one task at a time */

/* The crash of the worker with id hash WORKER was counted for a task of STEP. */
void fb_pool_probe_record_crash (FbPoolStep *step, uint64_t worker, uint64_t now_ms);
/* A task of STEP has run without crashing its worker: ends the probe. */
void fb_pool_probe_passed (FbPoolStep *step);
/* TRUE while tasks of STEP are started one at a time. */
gboolean fb_pool_probe_is_on (const FbPoolStep *step);
/* Returns: the task that may start now, which is the one with the most crashes; the task count if
 * none may. May end the probe. */
uint32_t fb_pool_probe_next (FbPoolStep *step);

/* pool-crash-record.c: suspected tasks in a job's record */

void fb_pool_unresolved_start_add (FbPoolTask *task, const char *worker, const char *address,
                                   gboolean seen);
/* TRUE when the outcome of TASK on WORKER is recorded as unknown. */
gboolean fb_pool_unresolved_start_has (const FbPoolTask *task, const char *worker);
/* TRUE when the outcome of TASK on WORKER is known, or already tracked as unresolved. */
gboolean fb_pool_start_is_resolved (const FbPool *self, const FbPoolTask *task, const char *worker);
/* TASK was seen running on WORKER. Returns: TRUE if this changed an entry. */
gboolean fb_pool_unresolved_start_set_seen (FbPoolTask *task, const char *worker);
/* The outcome of TASK on WORKER is known: removes the entry. */
void fb_pool_unresolved_start_drop (FbPoolTask *task, const char *worker);
/* Like fb_pool_unresolved_start_drop(), for the worker with that id hash. */
void fb_pool_unresolved_start_drop_id_hash (FbPoolTask *task, uint64_t id_hash);
/* Fills in RECORD, whose strings are borrowed from JOB; clear with fb_pool_crash_record_clear(). */
void fb_pool_crash_record (const FbPoolJob *job, fb_work_suspects *record);
void fb_pool_crash_record_clear (fb_work_suspects *record);
void fb_pool_crash_restore (FbPool *self, FbPoolJob *job, const fb_work_suspects *record,
                            uint64_t now_ms);

/* pool-awaiting-starts.c: starts that are ordered once they are stored */

/* Returns: (transfer full): an empty list for FbPool.awaiting_starts. */
GPtrArray *fb_pool_awaiting_starts_new (void);
/* TRUE when starts of TASK are recorded: it is suspected, or on a worker that fails its polls. */
gboolean fb_pool_task_needs_record (const FbPoolTask *task);
/* TRUE when a start of task INDEX must be stored before it is ordered. */
gboolean fb_pool_start_needs_record (const FbPoolStep *step, uint32_t index);
/* TRUE while task INDEX is not placed, because a start of it could not be stored now. */
gboolean fb_pool_start_is_postponed (const FbPool *self, const FbPoolStep *step, uint32_t index,
                                     uint64_t now_ms);
/* RUN, which has its place on WORKER, is ordered once that is stored. */
void fb_pool_start_await_record (FbPool *self, const FbPoolWorker *worker, FbPoolRun *run,
                                 uint64_t now_ms);
/* WORKER is lost: withdraws the starts that wait there. */
void fb_pool_awaiting_starts_withdraw (FbPool *self, FbPoolWorker *worker, uint64_t now_ms);
/* Orders the starts that are stored, if MAY_START, and withdraws those that must not be sent any
 * more. */
void fb_pool_awaiting_starts_check (FbPool *self, gboolean may_start, uint64_t now_ms);

/* pool-unstored-suspects.c: suspicions that are not stored yet */

/* TRUE while the open write of the pool's records takes unusually long. */
gboolean fb_pool_write_is_slow (const FbPool *self, uint64_t now_ms);

/* Crashes or unresolved losses of JOB's tasks have changed. */
void fb_pool_unstored_suspects_add (FbPool *self, FbPoolJob *job);
/* Removes JOB, which is about to be freed. */
void fb_pool_unstored_suspects_remove (FbPool *self, const FbPoolJob *job);
