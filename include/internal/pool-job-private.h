/* The jobs of a pool, for its own files only. */
#pragma once

#include "internal/pool.h"

typedef struct _FbPoolJob FbPoolJob;
typedef struct _FbPoolRun FbPoolRun;
typedef struct _FbPoolStep FbPoolStep;
typedef struct _FbPoolLongRunning FbPoolLongRunning;

/* What is learned of a worker, shared with the tasks that ran there until their steps
 * have ended. */
typedef struct
{
  double slowness;   /* its run times against those of others on the same steps; 1: as they */
  double step_ratio; /* sum over its runs of the step that is being taken in */
  guint step_runs;   /* how many these are */
  guint refs;
} FbPoolSpeed;

typedef struct
{
  uint32_t attempt; /* highest that was used */
  /* Attempts that ended failed.  Each is counted once, in whatever order they come: a
   * successor hears the same ends again, from several workers.  NULL for none. */
  GArray *failed;        /* of uint32_t */
  GArray *crashes;       /* of FbPoolCrash, one a worker; NULL for none */
  GPtrArray *unresolved; /* of FbPoolUnresolvedStart; NULL for none */
  gboolean
      withheld; /* it does not start: one crash more could be too many, or two are not stored yet */
  uint32_t unresolved_losses_n; /* losses of workers that may have been crashes under it */
  /* It waits until then for a worker where nothing begins; 0: it does not. */
  uint64_t stable_wait_until_ms;
  gboolean done;
  gboolean was_preempted; /* it was stopped once for work of higher priority */
  uint32_t moved;         /* how often it was stopped for taking far too long */
  char *checkpoint;       /* NULL for none */
  FbPoolRun *run;         /* borrowed from its worker; NULL while it waits */
  FbPoolRun *copy;        /* a second run, of a step that allows it; borrowed, NULL for none */
  uint32_t took_ms;       /* its run that ended done */
  FbPoolSpeed *ran_at;    /* where that was; NULL: not known, or taken in already */
} FbPoolTask;

/* What the advice service said of one worker for one step. */
typedef struct
{
  uint32_t incarnation; /* of the worker in this slot; 0: it was not asked about */
  gboolean allowed;
  char *ticket; /* NULL while it is not allowed */
  uint64_t valid_until_ms;
} FbPoolWorkerAdvice;

/* What decides first in which order waiting steps are placed; 0 for those not sorted in yet. */
typedef enum
{
  FB_URGENCY_RESTARTING = -1, /* it lasts, and what waits of it has run before, or may have */
  FB_URGENCY_IN_TIME = 0,
  FB_URGENCY_WORTHLESS = 1 /* too late to be worth anything */
} FbPoolUrgency;

/* One step of one occurrence of a job. */
struct _FbPoolStep
{
  FbPoolJob *job;
  uint32_t occurrence;
  uint32_t index;
  const fb_work_step *shape; /* borrowed from the job's record */
  FbPoolTask *tasks;         /* SHAPE->count */
  uint32_t done_n;
  uint32_t timed_n; /* runs that ended done here, and how long they took in all */
  uint64_t timed_ms;
  uint32_t waiting_from; /* no task before this index waits */
  uint32_t gang_attempt;
  guint crashed_n;                   /* workers that crashed under its tasks since one ran well */
  uint64_t crashed_last;             /* rank of the last of these */
  uint64_t crashed_ms;               /* when that was known */
  gboolean released;                 /* all steps before it are done, its time has come */
  gboolean gang_broken;              /* a member ended or was refused: the others are stopped */
  FbPoolWorkerAdvice *worker_advice; /* by the slots of workers */
  guint worker_advice_n;
  gboolean has_advice;      /* the advice has ruled on some worker */
  uint64_t advice_until_ms; /* the open question is given up then; 0: none is open */
  uint64_t told_ms;         /* when the last answer came */
  GPtrArray *reserved_on;   /* ids of workers that keep room for it, one entry a task */
  uint64_t reserved_until_ms;
  gboolean queued;                 /* it is among the pool's waiting steps */
  FbPoolUrgency urgency;           /* as of when it was sorted in */
  uint64_t looked_round;           /* last round in which it found no place */
  uint64_t full_look_ms;           /* when it is looked at again whatever has changed */
  uint64_t room_asked_ms;          /* when other work was last asked to give way to it */
  FbPoolLongRunning *long_running; /* what is told of it if it is to last; NULL: nothing yet */
};

typedef struct
{
  uint32_t number;
  gboolean finished;
  FbPoolStep *steps; /* as many as the job has */
} FbPoolOccurrence;

struct _FbPoolJob
{
  char *id;
  fb_work_admit record;
  fb_work_state state;
  fb_work_state stored_state; /* what callers are told: the state last made durable */
  fb_work_state flushing_state;
  gboolean started;             /* a task of it has been started */
  gboolean restored;            /* an earlier owner may have used attempts that nobody knows of */
  gboolean never_started;       /* no earlier owner can have started any of it */
  gboolean advised_when_stored; /* its queue had advice then */
  gboolean kept;                /* other daemons keep what is held against its tasks */
  gboolean unstored_changed;    /* that has changed since they were told */
  uint32_t suspects_version;    /* grows with each crash or doubt of one of its tasks */
  uint32_t suspects_version_flushing; /* what of that the open flush holds */
  uint32_t suspects_version_stored;   /* what of that is durable */
  gboolean awaits_unknown_ends;       /* when it was taken, workers listed ends of jobs not known */
  uint64_t taken_ms;                  /* into this pool */
  uint64_t admitted_ms;
  uint64_t objective_ms; /* on the pool's clock: when its caller wants it */
  uint64_t worthless_ms; /* after that it is worth nothing */
  double tightness;      /* its chain of work as a share of its objective, 0 to 1 */
  uint64_t ended_wall_ms;
  GPtrArray *occurrences; /* of FbPoolOccurrence */
  uint32_t next_occurrence;
};

/* pool-job.c */
/* TO is the caller's to free, by XDR. */
void fb_pool_job_copy_record (const fb_work_admit *from, fb_work_admit *to);
/* Takes over what RECORD holds, allocated as XDR does it, and leaves it empty. */
FbPoolJob *fb_pool_job_new (const char *id, fb_work_admit *record, uint64_t now_ms,
                            uint64_t wall_ms);
void fb_pool_job_free (gpointer job);
gboolean fb_pool_job_ended (const FbPoolJob *job);
void fb_pool_job_objective (FbPoolJob *job);
/* Creates the occurrences whose time has come and releases steps.
 * Returns: TRUE when that completed the job. */
gboolean fb_pool_job_release (FbPool *self, FbPoolJob *job, uint64_t wall_ms);
FbPoolOccurrence *fb_pool_job_occurrence (FbPoolJob *job, uint32_t number);
FbPoolStep *fb_pool_job_step (FbPoolJob *job, uint32_t occurrence, uint32_t step);
void fb_pool_job_progress (const FbPoolJob *job, fb_work_progress *progress);
void fb_pool_job_restore (FbPoolJob *job, const fb_work_progress *progress);
/* Returns: FALSE when that attempt was counted before. */
gboolean fb_pool_task_count_failed (FbPoolTask *task, uint32_t attempt);
guint fb_pool_task_failed_n (const FbPoolTask *task);
void fb_pool_task_set_checkpoint (FbPoolStep *step, uint32_t index, const char *checkpoint);
gboolean fb_pool_step_done (const FbPoolStep *step);
/* TRUE when the task is neither done nor on a worker; of a step: when one of its is. */
gboolean fb_pool_task_waits (const FbPoolTask *task);
gboolean fb_pool_step_waits (const FbPoolStep *step);
/* What kept task INDEX from waiting for a place may be over. */
void fb_pool_task_requeue (FbPool *self, FbPoolStep *step, uint32_t index);
/* Returns: PERCENT of the mean time of its ended runs, or FACTOR times the estimate while too
 * few have ended. */
uint64_t fb_pool_step_times_ms (const FbPoolStep *step, uint32_t percent, uint32_t factor);
/* Returns: (transfer full): ID.K.STEP */
char *fb_pool_step_name (const FbPoolStep *step);
char *fb_pool_task_name (const FbPoolStep *step, uint32_t index);
/* Returns: (nullable): the job of which the step or task NAME is, also one that is over. */
FbPoolJob *fb_pool_find_job (const FbPool *self, const char *name);
/* Finds the step and index that NAME names; NULL if the pool has no such task. */
FbPoolStep *fb_pool_find_task (FbPool *self, const char *name, uint32_t *index);
/* The same for ID.K.STEP. */
FbPoolStep *fb_pool_find_step (FbPool *self, const char *name);

/* pool-speed.c */
FbPoolSpeed *fb_pool_speed_new (void);
void fb_pool_speed_unref (FbPoolSpeed *speed);
/* TASK took TOOK_MS where SPEED is of. */
void fb_pool_speed_note (FbPoolTask *task, FbPoolSpeed *speed, uint32_t took_ms);
/* STEP has ended: its runs tell of their workers. */
void fb_pool_speed_learn (FbPoolStep *step);
