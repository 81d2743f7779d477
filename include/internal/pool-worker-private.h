/* The workers of a pool and the runs on them, for its own files only. */
#pragma once

#include "internal/pool-job-private.h"

typedef enum
{
  FB_RUN_STARTING, /* ordered; it is not known whether it is there */
  FB_RUN_RUNNING,
  FB_RUN_STOPPING
} FbRunState;

/* How it is known that a task was on a worker that crashed. */
typedef enum
{
  FB_CRASH_REPORTED, /* a record or another daemon says that it was ordered there */
  FB_CRASH_PROBABLE, /* this owner started it there and got no answer, or one before saw it */
  FB_CRASH_CONFIRMED /* it was seen there, or all but certainly began there */
} FbCrashEvidence;

/* A worker that crashed, for the tasks that were on it. */
typedef struct
{
  uint64_t worker;   /* its rank */
  gboolean isolated; /* nothing else was on it that could have crashed it */
  FbCrashEvidence evidence;
} FbPoolCrash;

/* An attempt on a worker, from its order until it has certainly ended there. */
struct _FbPoolRun
{
  char *name;
  FbPoolStep *step;   /* NULL: of no job that is known */
  uint64_t seen_ms;   /* when it was first listed */
  uint64_t listed_ms; /* when it was last listed; 0: never */
  uint32_t index;
  uint32_t attempt;
  FbRunState state;
  gboolean abandoned;        /* its task no longer counts on it */
  gboolean unanswered;       /* its order got no answer: it may have begun */
  guint suspect_score;       /* crashes and doubts of its task when it was charged to its worker */
  gboolean from_start;       /* started here, from the beginning: its time tells of the worker */
  uint64_t order;            /* the last one sent for it */
  uint64_t deadline_ms;      /* of the start, on the worker's clock */
  uint64_t seen_clock_ms;    /* worker's clock when it was last known to be there */
  uint64_t stopped_clock_ms; /* worker's clock when a stop was taken; 0: not yet */
  uint64_t stop_sent_ms;
  uint64_t started_ms;
  /* When it was found that its worker had started again before it was listed there: it may yet come
   * to this one, the next life.  0: that is not so. */
  uint64_t transferred_ms;
  gboolean is_tombstone;      /* it is here only until its worker has taken a stop of it */
  FbPoolCrash deferred_crash; /* counts if it never comes: the life that it was sent to crashed;
                               * rank 0: none did */
};

typedef struct
{
  char *id;
  guint slot;           /* its place in the roster */
  uint32_t incarnation; /* unique in the pool, never 0 */
  uint64_t id_hash; /* decides between equal workers, in whatever order they were listed; names it
                     * in records of crashes */
  gboolean gained_capacity; /* it takes more than in the last round */
  gboolean accepted_work;   /* it took work when it was last tended */
  char *address;
  char *rack;
  char **labels;
  uint32_t cpu_milli;
  uint32_t mem_mb;
  uint32_t gpu_count;
  gboolean listed;
  uint64_t listed_ms; /* when it was first listed; 0: it was known before */
  gboolean draining;
  gboolean answered;      /* under the present epoch */
  gboolean silence_noted; /* it fell silent, and records say what was on it */
  gboolean runs_ended;    /* this life has certainly ended, or all its leases have */
  gboolean replaced;      /* this life has certainly ended */
  gboolean may_restart;   /* a later life may take calls that are meant for this one */
  gboolean superseded;    /* another life at its address began later, as far as is known */
  /* When it was found that calls which were meant for another life may come here; 0: none may. */
  uint64_t misdirected_calls_since_ms;
  /* Names of the steps that may still run there, as the owner before had recorded them when
   * nothing was started there any more; NULL: it may run anything. */
  GHashTable *drain_steps;
  gboolean poll_open;
  uint32_t first_poll_timeout_ms; /* patience of the last look before it first answered */
  uint64_t next_poll_ms;          /* when the next look is due */
  uint64_t poll_sent_ms;
  gboolean poll_failed;           /* the last one was not answered */
  uint64_t answered_poll_sent_ms; /* when the last look that was answered had been sent */
  uint64_t last_answer_ms;        /* last answer */
  uint64_t clock_ms;              /* worker's clock, no later than HEARD_MS */
  uint64_t
      lease_ms; /* highest deadline that was ever sent, on its clock; by the owner before, too */
  uint64_t seen_end; /* highest number of an end that was taken in */
  gboolean
      has_unknown_end;  /* it lists an end of a job that is not known yet, or may have more ends */
  uint64_t unknown_end; /* which one that was last; 0: none */
  uint64_t unknown_end_ms; /* when that was first listed */
  uint64_t flushing_end;
  uint64_t acknowledged;
  uint64_t acknowledging;     /* by the open look, where a later life may take it; 0: nothing */
  uint64_t told_acknowledged; /* the worker has taken that, where a later life might have */
  uint64_t paused_until_ms;
  uint32_t failure_streak;
  FbPoolSpeed *speed;
  uint64_t throttled_until_ms;
  char *last_failed_job;
  GHashTable *runs;   /* name -> FbPoolRun */
  guint tombstones_n; /* those that are to be shut out */
  guint suspects_n;   /* runs of tasks under which workers have crashed */
  guint isolated_n;   /* those that run apart for it */
  /* Nothing else than this starts here; it is compared only, never followed. */
  const FbPoolTask *exclusive_for;
  uint64_t exclusive_until_ms;
  uint32_t unknown_runs_n; /* runs of jobs that are not known: their size is not known */
  int64_t cpu_used;
  int64_t mem_used;
  int64_t gpu_used;
  guint reserved_n; /* tasks for which room is held, of steps that wait for advice */
  int64_t cpu_reserved;
  int64_t mem_reserved;
  int64_t gpu_reserved;
} FbPoolWorker;

/* pool-worker.c */
FbPoolWorker *fb_pool_worker_new (const char *id);
/* Returns: what decides between equal workers: the same for ID at all owners. */
uint64_t fb_pool_worker_id_hash (const char *id);
void fb_pool_worker_free (gpointer worker);
void fb_pool_worker_describe (FbPoolWorker *worker, const FbWorkerEntry *entry);
/* The worker's clock now, estimated so that it is never ahead of the truth. */
uint64_t fb_pool_worker_clock_low (const FbPoolWorker *worker, uint64_t now_ms);
gboolean fb_pool_worker_silent (const FbPoolWorker *worker, uint64_t now_ms);
/* TRUE when every lease that it can hold has certainly ended. */
gboolean fb_pool_worker_lapsed (const FbPool *self, const FbPoolWorker *worker, uint64_t now_ms);
FbPoolRun *fb_pool_worker_add_run (FbPoolWorker *worker, FbPoolStep *step, uint32_t index,
                                   const char *name, uint32_t attempt);
void fb_pool_worker_drop_run (FbPoolWorker *worker, FbPoolRun *run);
gboolean fb_pool_worker_fits (const FbPoolWorker *worker, const fb_work_step *shape);
/* Pauses a worker that fails what it is given, after a failure and after a start. */
void fb_pool_worker_throttle (FbPoolWorker *worker, uint64_t now_ms);
/* Adds (SIGN 1) or takes off (-1) what RUN uses. */
void fb_pool_worker_charge (FbPoolWorker *worker, FbPoolRun *run, int sign);
/* Keeps (SIGN 1) or gives back (-1) room for a task of SHAPE. */
void fb_pool_worker_reserve (FbPoolWorker *worker, const fb_work_step *shape, int sign);
gboolean fb_pool_worker_has_label (const FbPoolWorker *worker, const char *label);

/* pool-worker-slots.c */
void fb_pool_worker_slots_add (FbPool *self, FbPoolWorker *worker);
/* Forgets WORKER and frees it. */
void fb_pool_worker_slots_remove (FbPool *self, FbPoolWorker *worker);
/* Returns: the next worker from *SLOT on, which moves behind it; NULL: there is none. */
FbPoolWorker *fb_pool_worker_slots_next (const FbPool *self, guint *slot);
/* WORKER may take what it did not take before. */
void fb_pool_worker_gained_capacity (FbPool *self, FbPoolWorker *worker);

/* pool-drain.c */

/* Which steps may still run on WORKER, which drains, goes into KNOWN. */
void fb_pool_drain_record (const FbPoolWorker *worker, fb_work_known_worker *known);
void fb_pool_drain_record_clear (fb_work_known_worker *known);
/* The owner before knew WORKER as KNOWN tells. */
void fb_pool_drain_restore (FbPool *self, const fb_work_known_worker *known);
/* WORKER was listed: it gets what the owner before knew of it. */
void fb_pool_drain_apply (FbPool *self, FbPoolWorker *worker);
/* FALSE when no run of STEP can be on WORKER, which drains. */
gboolean fb_pool_drain_may_run (const FbPoolWorker *worker, const FbPoolStep *step);
/* TRUE when nothing runs on WORKER, whether it answers or not. */
gboolean fb_pool_drain_is_empty (const FbPoolWorker *worker);
