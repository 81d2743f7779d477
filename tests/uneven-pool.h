/* A simulated pool whose workers have different speeds and report the progress of their runs, for
 * tests without a network.  Time passes in steps of UNEVEN_STEP_MS; the store and the network take
 * no time. */
#pragma once

#include "internal/pool.h"

#define UNEVEN_STEP_MS 10
#define UNEVEN_WORKER_CPU 8000
#define UNEVEN_MAX_WORKERS 40
#define UNEVEN_START_MS 100000
/* How long a worker takes to stop a run. */
#define UNEVEN_STOP_MS 100
/* How long a run takes to restore its checkpoint. */
#define UNEVEN_RESTORE_MS 200

typedef struct
{
  char *task;
  uint32_t attempt;
  double length_ms;  /* run time on a worker of speed 1 */
  double done_ms;    /* part of LENGTH_MS that is done */
  double restore_ms; /* time until it continues from its checkpoint */
  uint64_t started_ms;
  uint64_t stop_at_ms; /* when it ends because it was stopped; 0: it was not stopped */
} UnevenRun;

typedef struct
{
  double speed;
  int fixed_percent; /* it reports this of each run; -1: true progress; -2: none */
  GArray *runs;      /* of UnevenRun */
  GArray *ends;      /* of FbReportedEnd, not acknowledged */
  uint64_t last_end;
  gboolean poll_open;
  uint64_t poll_until_ms; /* when an open poll is answered at the latest */
  guint started_n;        /* starts ordered so far */
} UnevenWorker;

typedef struct
{
  FbPool *pool;
  uint64_t now_ms;
  guint workers_n;
  UnevenWorker workers[UNEVEN_MAX_WORKERS];
  GArray *starts; /* of uint64_t: order numbers of starts without an answer */
  GArray *stops;  /* of uint64_t: order numbers of stops without an answer */
  /* Returns: the run time of an attempt on a worker of speed 1; NULL: 1,000 ms. */
  double (*length_ms) (const char *task, uint32_t attempt);
  gboolean saves_checkpoints; /* runs that are stopped save a checkpoint */
  guint started_n;
  guint stopped_n;
  guint jobs_n;
} UnevenPool;

/* Creates a pool in SELF, which must be all zero, with WORKERS_N workers of speed 1 that have
 * answered. */
void uneven_pool_begin (UnevenPool *self, guint workers_n);
void uneven_pool_clear (UnevenPool *self);
/* Adds a job of one step.  SPEC gives the step; unset members get defaults.  Returns: (transfer
 * full): its id. */
char *uneven_pool_admit (UnevenPool *self, const fb_work_step *spec, uint32_t target_ms);
/* Lets MS pass. */
void uneven_pool_run (UnevenPool *self, uint64_t ms);
/* Lets time pass until JOB is completed, at most MAX_MS.  Returns: how long it took. */
uint64_t uneven_pool_run_until_done (UnevenPool *self, const char *job, uint64_t max_ms);
/* Returns: how many runs of JOB are on worker I. */
guint uneven_pool_runs_on (const UnevenPool *self, const char *job, guint i);
