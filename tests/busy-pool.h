/* A pool with a backlog of 1,000 jobs of 20 tasks and 250 workers that answer without delay, for
 * tests of the work done in one iteration of the owner's main loop. */
#pragma once

#include "internal/pool.h"

/* A daemon's CPU quota can be as low as 12 ms per 100 ms. With iterations of 5 ms the four
 * iterations of a group join take at most 200 ms; the membership expires after 1 s. */
#define JOB_COST_US 20 /* CPU time to add a job, on one core */
#define MAX_JOBS_PER_ITERATION (5000 / JOB_COST_US)
/* CPU time to visit a table entry, a worker or a run: 11 to 31 ns on one core. */
#define VISIT_COST_NS 20
#define MAX_VISITS_PER_ITERATION (5000 * 1000 / VISIT_COST_NS)

#define SERVICE "svc"
#define QUEUE "q"
#define JOB_TASKS 20
#define TASK_CPU 2000

#define WORKER_CPU 8000

#define WORKER_N 250
#define JOB_N 1000
#define TICK_MS 4
#define SIMULATED_MS 2000
#define WALL_OFFSET_MS 1000000000

typedef struct
{
  GArray *runs; /* of FbReportedRun */
  gboolean poll_open;
} BusyWorker;

typedef struct
{
  FbPool *pool;
  BusyWorker workers[WORKER_N];
  GArray *starts; /* of uint64_t: order numbers of starts without an answer */
  guint started_n;
} BusyPool;

/* Initializes RECORD as a job of one step; it borrows STEP. */
void busy_pool_init_job (fb_work_admit *record, fb_work_step *step);
/* Creates an empty pool in BUSY, which must be all zero; freed by busy_pool_clear(). */
void busy_pool_begin (BusyPool *busy, uint64_t now_ms);
/* Lists worker I with LABEL, or updates its entry. */
void busy_pool_list_worker (BusyPool *busy, guint i, const char *label, uint64_t now_ms);
/* Lists all workers, with label "a". */
void busy_pool_list_workers (BusyPool *busy, uint64_t now_ms);
/* LABEL: label of the workers on which the tasks may run; empty: any worker. */
void busy_pool_admit (BusyPool *busy, const char *id, uint32_t priority, const char *label,
                      guint tasks, uint64_t now_ms);
/* Adds JOB_N jobs of JOB_TASKS tasks. */
void busy_pool_admit_backlog (BusyPool *busy, uint32_t priority, const char *label,
                              uint64_t now_ms);
/* Answers all open starts and polls. */
void busy_pool_answer_all (BusyPool *busy, uint64_t now_ms);
/* Reports that the oldest run of WORKER ended successfully, as end NUMBER, and frees its capacity.
 */
void busy_pool_end_run (BusyPool *busy, guint worker, uint64_t number, uint64_t now_ms);
/* TRUE when a task of JOB is on a worker. */
gboolean busy_pool_is_running (const BusyPool *busy, const char *job);
/* Frees the contents of BUSY. */
void busy_pool_clear (BusyPool *busy);
