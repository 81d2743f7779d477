/* Tasks under which workers crash: what is counted, what is in doubt, who is given up. */
#pragma once

#include "internal/pool-private.h"

/* Where a task was ordered, while it is suspected and not known what became of it there. */
typedef struct
{
  char *worker; /* its id */
  char *address;
  gboolean seen; /* it was seen at work there */
} FbPoolUnresolvedStart;

/* ---- pool-crash.c: counts, limit, placing -----------------------------------------------------
 */

/* How many workers crashed under TASK. */
guint fb_pool_task_crashes_n (const FbPoolTask *task);
/* TRUE when the crash of the worker of that rank is counted for TASK. */
gboolean fb_pool_task_has_crash (const FbPoolTask *task, uint64_t worker);
/* Fills in what LIMITS leaves to the pool. */
void fb_pool_crash_set_limits (FbPoolLimits *limits);
/* What speaks against task INDEX has changed: finds whether it is withheld. */
void fb_pool_task_update_withheld (const FbPool *self, FbPoolStep *step, uint32_t index);
/* A flush that held JOB is stored. */
void fb_pool_crash_stored (FbPool *self, FbPoolJob *job);
/* TRUE when a worker has crashed under TASK, or may have. */
gboolean fb_pool_task_is_suspect (const FbPoolTask *task);
/* Counts CRASH for task INDEX, once for each worker. */
void fb_pool_crash_count (FbPool *self, FbPoolStep *step, uint32_t index, FbPoolCrash crash,
                          uint64_t now_ms);
/* Task INDEX has shown that it crashes no worker.  WHY: a static text. */
void fb_pool_crash_clear (FbPool *self, FbPoolStep *step, uint32_t index, const char *why);
/* No run of task INDEX is on WORKER, which goes on: the job's record says so, if it named it. */
void fb_pool_crash_task_gone (FbPool *self, const FbPoolWorker *worker, FbPoolStep *step,
                              uint32_t index);
/* A run of task INDEX ended on WORKER, which goes on. */
void fb_pool_crash_task_ended (FbPool *self, const FbPoolWorker *worker, FbPoolStep *step,
                               uint32_t index, FbEndReason how);
/* A start was ordered: the job's record says where, if the task is suspected. */
void fb_pool_crash_task_ordered (FbPool *self, FbPoolWorker *worker, FbPoolStep *step,
                                 uint32_t index);
/* RUN was seen at work on WORKER: the job's record says so, if it names the start. */
void fb_pool_crash_task_seen (FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run);
/* Records what is on WORKER if that fell silent. */
void fb_pool_crash_note_silence (FbPool *self, FbPoolWorker *worker, uint64_t now_ms);
/* Comes before the runs of WORKER are dropped.  NEXT: as for fb_pool_worker_lost(). */
void fb_pool_crash_worker_lost (FbPool *self, FbPoolWorker *worker, FbPoolLoss loss,
                                const FbPoolWorker *next, uint64_t now_ms);
/* Ends jobs of which a task has come to the limit. */
void fb_pool_crash_end_jobs (FbPool *self, uint64_t now_ms, uint64_t wall_ms);
/* JOB has ended. */
void fb_pool_crash_forget (FbPool *self, FbPoolJob *job);
/* FALSE when TASK, which is suspected, must not run beside others that are on WORKER. */
gboolean fb_pool_crash_may_share (const FbPoolWorker *worker, const FbPoolTask *task);
/* FALSE while WORKER is kept for another task than TASK. */
gboolean fb_pool_crash_is_open (const FbPoolWorker *worker, const FbPoolTask *task,
                                uint64_t now_ms);
/* What lasts and has run on WORKER for long is not suspected any more, so that others may start
 * there. */
void fb_pool_crash_clear_lasted (FbPool *self, FbPoolWorker *worker);
/* TRUE when TASK must not start on WORKER, its best, before that is calm; WORKER is kept for it. */
gboolean fb_pool_crash_waits_for_stable (FbPoolWorker *worker, FbPoolTask *task, uint64_t now_ms);
/* What speaks against WORKER for TASK, which is suspected. */
double fb_pool_crash_cost (const FbPoolWorker *worker, const FbPoolTask *task, uint64_t now_ms);
/* RUN, which has a step, comes to WORKER (SIGN 1) or goes (-1). */
void fb_pool_crash_charge (FbPoolWorker *worker, FbPoolRun *run, int sign);

/* ---- pool-crash-causes.c: what may have crashed a worker, which its rank names ------- */

GHashTable *fb_pool_crash_causes_new (void);
/* One task more may have crashed WORKER, or one less. */
void fb_pool_crash_cause_add (FbPool *self, uint64_t worker);
void fb_pool_crash_cause_drop (FbPool *self, uint64_t worker);
/* TRUE when only one is left. */
gboolean fb_pool_crash_has_one_cause (const FbPool *self, uint64_t worker);

/* ---- pool-unresolved-losses.c: losses that may have been crashes
 * ----------------------------------------- */

GHashTable *fb_pool_unresolved_losses_new (void);
/* Task INDEX was on the worker called ID at ADDRESS.  CRASH: what counts if that crashed. */
void fb_pool_unresolved_loss_add (FbPool *self, const char *id, const char *address,
                                  FbPoolStep *step, uint32_t index, FbPoolCrash crash,
                                  uint64_t now_ms);
/* It is known of the worker called ID whether it crashed. */
void fb_pool_unresolved_loss_resolve (FbPool *self, const char *id, gboolean crashed,
                                      uint64_t now_ms);
/* Settles doubts by the list of workers, and gives up those that nothing has settled. */
void fb_pool_unresolved_losses_check (FbPool *self, uint64_t now_ms);

/* ---- pool-probe.c: steps that start one task at a time ----------------------------------------
 */

/* The worker of that rank has certainly crashed under a task of STEP. */
void fb_pool_probe_note_crash (FbPoolStep *step, uint64_t worker, uint64_t now_ms);
/* A task of STEP has shown that not all of them crash their workers. */
void fb_pool_probe_passed (FbPoolStep *step);
/* TRUE while the tasks of STEP start one at a time. */
gboolean fb_pool_probe_is_on (const FbPoolStep *step);
/* Returns: the task that may be started now, the one under which most workers crashed; the count of
 * tasks: none.  May end the probe. */
uint32_t fb_pool_probe_next (FbPoolStep *step);

/* ---- pool-crash-record.c -----------------------------------------------------------------------
 */

void fb_pool_unresolved_start_add (FbPoolTask *task, const char *worker, const char *address,
                                   gboolean seen);
/* TRUE when it is not known yet what became of TASK on WORKER. */
gboolean fb_pool_unresolved_start_has (const FbPoolTask *task, const char *worker);
/* TRUE when what became of TASK on WORKER is known, or in doubt already. */
gboolean fb_pool_start_is_resolved (const FbPool *self, const FbPoolTask *task, const char *worker);
/* TASK was seen at work on WORKER.  Returns: FALSE when that is no news, or not asked for. */
gboolean fb_pool_unresolved_start_set_seen (FbPoolTask *task, const char *worker);
/* It is known what became of TASK on WORKER. */
void fb_pool_unresolved_start_drop (FbPoolTask *task, const char *worker);
/* The same of the worker of that rank. */
void fb_pool_unresolved_start_drop_id_hash (FbPoolTask *task, uint64_t id_hash);
/* RECORD borrows from the job; it is the caller's to clear. */
void fb_pool_crash_record (const FbPoolJob *job, fb_work_suspects *record);
void fb_pool_crash_record_clear (fb_work_suspects *record);
void fb_pool_crash_restore (FbPool *self, FbPoolJob *job, const fb_work_suspects *record,
                            uint64_t now_ms);

/* ---- pool-unstored-suspects.c
 * ---------------------------------------------------------------------------
 */

/* What is held against tasks of JOB has changed. */
void fb_pool_unstored_suspects_add (FbPool *self, FbPoolJob *job);
/* JOB is about to be freed. */
void fb_pool_unstored_suspects_forget (FbPool *self, const FbPoolJob *job);
