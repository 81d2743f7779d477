/* A pool of any number of workers, which answer when the test lets them. */
#pragma once

#include "internal/pool.h"

#define LARGE_POOL_SERVICE "svc"
#define LARGE_POOL_WORKER_CPU 16000
/* Of an owner whose store takes appends of 2 MiB. */
#define LARGE_POOL_PROGRESS_MAX_BYTES (2097152 / 16 * 15)
#define LARGE_POOL_WALL_OFFSET_MS 1000000000

typedef struct
{
  char *id;
  GArray *runs; /* of FbReportedRun */
  GArray *ends; /* of FbReportedEnd: not acknowledged yet */
  uint64_t last_end;
  gboolean poll_open;
} LargePoolWorker;

typedef struct
{
  FbPool *pool;
  guint workers_n;
  LargePoolWorker *workers;
  GHashTable *by_id; /* id -> LargePoolWorker */
  GArray *starts;    /* of uint64_t: order numbers of starts without an answer */
  guint started_n;
  guint polls_n;     /* polls ordered since the test last reset it */
  guint next_worker; /* whose poll is answered next */
} LargePool;

/* Creates a pool of WORKERS_N workers with ids as long as those of the platform, all listed. */
void large_pool_begin (LargePool *self, guint workers_n, uint64_t now_ms);
void large_pool_clear (LargePool *self);
/* Adds a job of one step of TASKS tasks of TASK_CPU each. */
void large_pool_admit (LargePool *self, const char *id, guint tasks, uint32_t task_cpu,
                       uint64_t now_ms);
void large_pool_tick (LargePool *self, uint64_t now_ms);
/* Answers all open starts and up to MAX_N open polls.  Returns: the number of answered polls. */
guint large_pool_answer (LargePool *self, guint max_n, uint64_t now_ms);
/* Ticks the pool and answers all orders until all workers are known. */
void large_pool_recover (LargePool *self, uint64_t *now_ms);
/* Up to MAX_N runs of JOB end as done, with CHECKPOINT; reported with the next answers.  Returns:
 * how many. */
guint large_pool_end_runs (LargePool *self, const char *job, guint max_n, const char *checkpoint);
/* All runs of JOB save CHECKPOINT, which is borrowed and listed by the next answers. */
void large_pool_save (LargePool *self, const char *job, const char *checkpoint);
