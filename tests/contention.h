/* A pool that just carries four accounts, under a burst in which one sends 5.5 times its usual. */
#pragma once

#include "internal/pool.h"

typedef enum
{
  CONTENTION_QUICK,
  CONTENTION_BATCH,
  CONTENTION_KINDS
} ContentionKind;

/* Calls of a test for each job; members may be NULL. */
typedef struct
{
  /* Job NUMBER of the account RECORD->account arrives, for the first time or again.  May change
   * RECORD->accepted_ms.  Returns: 0 when it is admitted; otherwise it is not added to the pool,
   * and comes again at the returned time; G_MAXUINT64: never. */
  uint64_t (*arrived) (gpointer user, FbPool *pool, guint number, const char *id,
                       fb_work_admit *record, uint64_t now_ms, uint64_t wall_ms);
  /* Called for each job at the end of a run, with ENDED_MS 0 if it did not end. */
  void (*ended) (gpointer user, guint number, ContentionKind kind, uint64_t started_ms,
                 uint64_t ended_ms, uint64_t objective_ms, uint64_t no_value_ms);
} ContentionHooks;

typedef struct
{
  gboolean by_slack;            /* the order for client accounts; FALSE: the objective first */
  double estimate_error;        /* estimates are off by up to this share of the run time */
  guint workers_n;              /* at most CONTENTION_MAX_WORKERS, of 16 cores each */
  gboolean only_quick;          /* no batches arrive */
  int64_t cap_cpu;              /* cap of each account; 0: none */
  guint runs_n;                 /* number of runs, each with random numbers of its own */
  double hot_factor;            /* of the rate of the first account, during the burst; 0: 5.5 */
  uint32_t weight;              /* jobs per second that each account is owed; 0: no limit */
  const ContentionHooks *hooks; /* NULL: none */
  gpointer user;                /* passed to HOOKS */
} ContentionSetup;

#define CONTENTION_MAX_WORKERS 100
#define CONTENTION_START_MS 100000
#define CONTENTION_BURST_MS 10000 /* when the burst begins */
#define CONTENTION_BURST_LENGTH_MS 4000
#define CONTENTION_END_MS 40000 /* when the last job arrives */

/* Sums over all runs. */
typedef struct
{
  guint jobs_n[CONTENTION_KINDS];
  guint in_time_n[CONTENTION_KINDS]; /* ended within their objective by actual run times */
  guint late_n[CONTENTION_KINDS];    /* ended later, but within three times the objective */
  /* Quick checks by the second of their arrival, and how many of them ended in time. */
  guint arrived_n[CONTENTION_END_MS / 1000];
  guint arrived_in_time_n[CONTENTION_END_MS / 1000];
  /* From the end of the burst until the end of the last 4 s of which less than nine tenths of the
   * share of before the burst ended in time. */
  guint recovery_ms;
} ContentionResult;

ContentionResult contention_run (const ContentionSetup *setup);
