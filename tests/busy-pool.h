/* A pool of 250 workers that answer at once and a backlog of 1,000 jobs of 20 tasks, for tests of
 * what one turn of its owner does. */
#pragma once

#include "internal/pool.h"

/* A daemon has as little as 12 ms of processor in each tenth of a second.  Turns of 5 ms let the
 * four that a join takes end within two of them, of the ten that its time to live has. */
#define JOB_US 20 /* to take a job in, on one core */
#define TURN_JOBS (5000 / JOB_US)
/* To look at an entry of a table, a worker or a run: 11 to 31 ns on one core. */
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
  GArray *starts; /* of uint64_t: orders without an answer */
  guint started_n;
} BusyPool;

/* A job of one step; RECORD borrows STEP. */
void busy_fill_job (fb_work_admit *record, fb_work_step *step);
/* PLAY is all zero; an empty pool, freed by busy_pool_clear(). */
void busy_pool_begin (BusyPool *play, uint64_t now_ms);
/* Lists worker I with LABEL, again if it was. */
void busy_pool_list_worker (BusyPool *play, guint i, const char *label, uint64_t now_ms);
/* All workers, with label "a". */
void busy_pool_list_workers (BusyPool *play, uint64_t now_ms);
/* LABEL: of the workers on which the tasks may run; empty for any. */
void busy_pool_admit (BusyPool *play, const char *id, uint32_t priority, const char *label,
                      guint tasks, uint64_t now_ms);
/* JOB_N jobs of JOB_TASKS tasks. */
void busy_pool_admit_backlog (BusyPool *play, uint32_t priority, const char *label,
                              uint64_t now_ms);
/* Answers all starts and looks that are open. */
void busy_pool_answer_all (BusyPool *play, uint64_t now_ms);
/* The oldest run of WORKER is done, its end with NUMBER: its room opens. */
void busy_pool_end_run (BusyPool *play, guint worker, uint64_t number, uint64_t now_ms);
/* Frees what PLAY holds. */
void busy_pool_clear (BusyPool *play);
