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
  GArray *runs; /* of FbRunSeen */
  gboolean look_open;
} BusyWorker;

typedef struct
{
  FbPool *pool;
  BusyWorker workers[WORKER_N];
  GArray *starts; /* of uint64_t: orders without an answer */
  guint started_n;
} BusyPool;

extern const FbPoolSink busy_pool_sink;

/* A job of one step; RECORD borrows STEP. */
void busy_fill_job (fb_work_admit *record, fb_work_step *step);
void busy_pool_list_workers (BusyPool *play, uint64_t now_ms);
/* Answers all starts and looks that are open. */
void busy_pool_answer_all (BusyPool *play, uint64_t now_ms);
/* Frees what PLAY holds. */
void busy_pool_clear (BusyPool *play);
