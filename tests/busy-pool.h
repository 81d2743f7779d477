/* A pool of 250 workers that answer at once and a backlog of 1,000 jobs of 20 tasks, for tests of
 * the work done in one turn of the owner's main loop. */
#pragma once

#include "internal/pool.h"

/* A daemon has as little as 12 ms of processor time in each tenth of a second.  Turns of 5 ms let
 * the four turns of a join finish within two tenths of a second, of the ten before its membership
 * expires. */
#define JOB_US 20 /* time to add a job, on one core */
#define TURN_JOBS (5000 / JOB_US)
/* Time to visit a table entry, a worker or a run: 11 to 31 ns on one core. */
#define VISIT_NS 20
#define TURN_VISITS (5000 * 1000 / VISIT_NS)

#define SERVICE "svc"
#define QUEUE "q"
#define JOB_TASKS 20
#define TASK_CPU 2000

#define WORKER_CPU 8000

#define WORKER_N 250
#define JOB_N 1000
#define STEP_MS 4
#define PLAY_MS 2000
#define WALL_MS 1000000000

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

/* Fills in a job of one step; RECORD borrows STEP. */
void busy_fill_job (fb_work_admit *record, fb_work_step *step);
/* Creates an empty pool in BUSY, which must be all zero; freed by busy_pool_clear(). */
void busy_pool_begin (BusyPool *busy, uint64_t now_ms);
/* Lists worker I with LABEL, or lists it again. */
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
/* Ends the oldest run of WORKER successfully, as end NUMBER, which frees its capacity. */
void busy_pool_end_run (BusyPool *busy, guint worker, uint64_t number, uint64_t now_ms);
/* Frees the contents of BUSY. */
void busy_pool_clear (BusyPool *busy);
