/* The jobs of a pool; only for the pool's source files. */
#pragma once

#include "internal/pool.h"

typedef struct _FbPoolJob FbPoolJob;
typedef struct _FbPoolRun FbPoolRun;
typedef struct _FbPoolStep FbPoolStep;
typedef struct _FbPoolLongRunning FbPoolLongRunning;
typedef struct _FbPoolAccount FbPoolAccount;

/* The estimated speed of a worker.  It is shared with the tasks that ran there until their steps
 * have ended, so it may outlive the worker. */
typedef struct
{
  double slowness;   /* run times relative to other workers' for the same steps; 1: average */
  double step_ratio; /* sum of the relative run times in the step that is being evaluated */
  guint step_runs;   /* number of terms in STEP_RATIO */
  guint learnt_n;    /* runs from which SLOWNESS was learnt */
  double pace;       /* SLOWNESS at present, by the progress of runs; 0: never measured */
  uint64_t pace_ms;  /* when PACE was measured */
  uint64_t slow_ms; /* when the worker was last found to be much slower than in general; 0: never */
  uint64_t measured_ms; /* when it was last tried to measure PACE */
  double ended_ratio;   /* duration of the run that ended last, as a multiple of the usual one */
  uint64_t ended_ms;    /* when that run ended; 0: none has */
  gboolean slow_logged; /* the last line of the log says that it is slow */
  uint64_t logged_ms;   /* when that line was written */
  guint refs;
} FbPoolSpeed;

typedef struct
{
  uint32_t attempt;      /* number of the latest attempt; 0: none yet */
  uint32_t known_runs_n; /* runs of it on workers, without tombstones: RUN, COPY and any others */
  /* Numbers of the attempts that failed; NULL: none.  Each is counted once in whatever order the
   * ends arrive: a new owner receives the same ends again, from several workers. */
  GArray *failed;        /* of uint32_t */
  GArray *crashes;       /* of FbPoolCrash, one for each worker; NULL: none */
  GPtrArray *unresolved; /* of FbPoolUnresolvedStart; NULL: none */
  gboolean withheld; /* it must not start: one more crash could exceed the limit, or two crashes are
                        not stored yet */
  uint32_t unresolved_losses_n; /* lost workers that may have crashed because of this task */
  /* Until when the task waits for a worker on which nothing else starts; 0: it does not wait. */
  uint64_t stable_wait_until_ms;
  gboolean done;           /* a run of it ended successfully */
  gboolean was_preempted;  /* it was preempted once */
  gboolean was_moved;      /* it was stopped to be started on a faster worker */
  uint32_t stuck_restarts; /* how often it was stopped as stuck */
  char *checkpoint;        /* NULL: none */
  FbPoolRun *run;          /* borrowed from its worker; NULL: not on a worker */
  FbPoolRun *copy; /* a speculative second run, if the step allows it; borrowed; NULL: none */
  /* How its last run ended under this owner, a static text for the log; NULL: none did. */
  const char *last_outcome;
  uint32_t duration_ms; /* duration of the run that ended successfully; valid with WORKER_SPEED */
  /* Speed of the worker of that run; NULL: not measured, or already evaluated. */
  FbPoolSpeed *worker_speed;
} FbPoolTask;

/* Answer of the advice service about one worker for one step. */
typedef struct
{
  uint32_t incarnation; /* FbPoolWorker.incarnation of the worker; 0: no advice was requested */
  gboolean allowed;
  char *ticket; /* NULL: not allowed */
  uint64_t valid_until_ms;
} FbPoolWorkerAdvice;

/* First sort key of the queue of steps; 0 for steps that are not sorted in yet. */
typedef enum
{
  FB_URGENCY_RESTARTING = -1, /* long-running; a pending task has run, or may have */
  FB_URGENCY_NORMAL = 0,      /* any other */
  FB_URGENCY_BEYOND_RATE = 1, /* of a job that its account sent beyond its rate; not long-running */
  FB_URGENCY_NO_VALUE = 2     /* of a job without a schedule, past FbPoolJob.no_value_ms; not
                               * long-running */
} FbPoolUrgency;

/* One step of one occurrence of a job. */
struct _FbPoolStep
{
  FbPoolJob *job;
  uint32_t occurrence;       /* number of the occurrence */
  uint32_t index;            /* index of the step in the job */
  const fb_work_step *spec;  /* borrowed from the job's record */
  FbPoolTask *tasks;         /* SPEC->count entries */
  uint32_t done_n;           /* tasks that are done */
  uint32_t timed_runs_n;     /* successful runs that ended under this owner */
  uint64_t timed_total_ms;   /* their total duration since they were started or first listed */
  uint64_t median_ms;        /* see fb_pool_step_median_ms() */
  uint64_t normal_median_ms; /* the same on a worker of slowness 1 */
  uint32_t median_runs_n;    /* TIMED_RUNS_N when the medians were computed */
  uint32_t pending_from;     /* no task before this index is pending */
  uint32_t gang_attempt;     /* number of the latest attempt of the gang; 0: none yet */
  /* Workers that crashed under its tasks since one of the tasks last ran without a crash. */
  guint crashed_n;
  uint64_t last_crashed_worker; /* id hash of the worker that crashed last; 0: none */
  uint64_t crashed_ms;          /* when that crash became known */
  gboolean released;            /* all preceding steps are done, and the occurrence is due */
  gboolean gang_broken;         /* a member ended or was refused, so the others are being stopped */
  FbPoolWorkerAdvice *worker_advice; /* by worker slot */
  guint worker_advice_n;             /* entries of WORKER_ADVICE */
  gboolean has_advice;               /* the advice service has answered about some worker */
  GPtrArray *advice_requests;        /* of FbPoolAdviceRequest: open requests; NULL: none yet */
  uint64_t last_advice_ms;           /* when the last request was answered or failed; 0: never */
  GPtrArray *reserved_on;     /* ids of workers with reserved capacity, one entry for each task */
  uint64_t reserved_until_ms; /* when the reservation ends; 0: none */
  uint64_t capacity_free_ms;  /* when preemption should have freed the reserved capacity */
  gboolean queued; /* it is in FbPool.queue or FbPool.unmerged, or waits for its account */
  /* Until when its account leaves amounts for it; 0: it does not.  See pool-earmark.c. */
  uint64_t earmarked_until_ms;
  GSequenceIter *held_at; /* in FbPoolAccount.held; NULL: it does not wait for its account */
  gboolean is_merged;     /* it has an entry in FbPool.queue that is still valid */
  FbPoolUrgency urgency;  /* as of when it was sorted into the queue */
  /* Sort keys as of then, where FbPool.orders_by_slack is set: see pool-order.c. */
  gboolean is_late;         /* its job cannot be completed within its objective any more */
  uint64_t latest_start_ms; /* objective of its job less the remaining time; 0: not computed */
  uint64_t position_ms;     /* among steps that are equal otherwise; 0: the objective decides */
  uint64_t waits_since_ms; /* when it was first sorted in, right after its release; 0: it was not */
  gboolean has_turn;       /* it counts as in time because it has waited for long */
  GList late_link;         /* in FbPool.late_steps; data NULL: it is not in there */
  gboolean is_over_share;  /* its account used more than its share, as of then */
  uint64_t last_failed_round;      /* last round that left it pending; 0: none */
  uint64_t retry_at_ms;            /* when it is tried again even if nothing has changed */
  uint64_t preemption_tried_ms;    /* when preemptible runs were last searched for; 0: never */
  FbPoolLongRunning *long_running; /* state of a long-running step; NULL: none yet */
};

typedef struct
{
  uint32_t number;
  gboolean finished;        /* all its steps are done */
  uint64_t remaining_ms;    /* fb_pool_job_remaining_ms() as of REMAINING_AT_MS */
  uint64_t remaining_at_ms; /* when the order last computed it; 0: never */
  FbPoolStep *steps;        /* one for each step of the job */
} FbPoolOccurrence;

struct _FbPoolJob
{
  char *id;
  fb_work_admit record;
  FbPoolAccount *account; /* borrowed from the pool; NULL: it belongs to no account */
  fb_work_state state;
  fb_work_state stored_state;   /* the state last made durable, which is reported to callers */
  fb_work_state flushing_state; /* the state in the open flush */
  guint checkpoints_left_out_n; /* number of checkpoints that its last record does not have */
  gsize not_accepted_bytes;     /* size of a record of the job that the store does not accept; 0: it
                                 * accepts all */
  gboolean started;             /* a task of the job has been started */
  gboolean was_late;            /* one of its steps was found to be late while it waited */
  gboolean beyond_rate;         /* its account had sent more than its rate when it came */
  gboolean restored;      /* an earlier owner may have used attempts that no record mentions */
  gboolean never_started; /* no earlier owner can have started any task of the job */
  gboolean advised_when_received; /* FbPoolReceipt.was_advised */
  gboolean has_backup;            /* other daemons keep the suspected tasks of the job */
  /* Its suspects have changed since they were last sent to other daemons. */
  gboolean unstored_changed;
  uint32_t suspects_version; /* incremented with each crash or suspected crash under its tasks */
  uint32_t suspects_version_flushing; /* value of SUSPECTS_VERSION in the open flush */
  uint32_t suspects_version_stored;   /* value of SUSPECTS_VERSION that is durable */
  /* When the job was added, workers reported ends of unknown jobs, and they have not all answered
   * again yet. */
  gboolean awaits_unknown_ends;
  uint64_t added_ms;        /* when it was added to this pool */
  uint64_t admitted_ms;     /* when it was accepted, on the pool's clock */
  uint64_t objective_ms;    /* when it should be completed, on the pool's clock */
  uint64_t no_value_ms;     /* when its completion has no value any more */
  uint32_t *expected_ms;    /* predicted run time of each step's tasks; NULL: it has no steps */
  uint64_t predicted_ms;    /* when the order last updated EXPECTED_MS; 0: never */
  double tightness;         /* its critical path as a share of its objective, 0 to 1 */
  uint64_t ended_wall_ms;   /* when it ended; 0: it has not */
  uint64_t cancelled_ms;    /* when this pool learned that it is cancelled; 0: it has not */
  GPtrArray *occurrences;   /* of FbPoolOccurrence, by number */
  uint32_t next_occurrence; /* number of the first occurrence that is not released yet */
};

/* pool-job.c */
/* Copies FROM to TO, which the caller frees with xdr_free(). */
void fb_pool_job_copy_record (const fb_work_admit *from, fb_work_admit *to);
/* Takes over the contents of RECORD, allocated as XDR does it, and leaves it empty. */
FbPoolJob *fb_pool_job_new (const FbPool *self, const char *id, fb_work_admit *record,
                            uint64_t now_ms, uint64_t wall_ms);
void fb_pool_job_free (gpointer job);
gboolean fb_pool_job_ended (const FbPoolJob *job);
/* Returns: the duration of the objective of a job of POLICY with a critical path of PATH_MS. */
uint64_t fb_pool_objective_duration_ms (const fb_work_policy *policy, uint64_t path_ms);
/* Computes what follows from the policy of JOB and the expected run times of its steps: objective,
 * tightness and the time when its completion has no value any more.  Where client accounts are
 * configured, the objective of a job that has begun is not moved to an earlier time. */
void fb_pool_job_update_objective (const FbPool *self, FbPoolJob *job);
/* Creates the occurrences that are due and releases steps.  Returns: TRUE when the job is
 * complete. */
gboolean fb_pool_job_release (FbPool *self, FbPoolJob *job, uint64_t wall_ms);
FbPoolOccurrence *fb_pool_job_occurrence (FbPoolJob *job, uint32_t number);
FbPoolStep *fb_pool_job_step (FbPoolJob *job, uint32_t occurrence, uint32_t step);
void fb_pool_job_progress (const FbPoolJob *job, fb_work_progress *progress);
void fb_pool_job_restore (FbPoolJob *job, const fb_work_progress *progress);
/* Counts ATTEMPT as failed.  Returns: FALSE when it was counted before. */
gboolean fb_pool_task_count_failed (FbPoolTask *task, uint32_t attempt);
guint fb_pool_task_failed_n (const FbPoolTask *task);
void fb_pool_task_set_checkpoint (FbPoolStep *step, uint32_t index, const char *checkpoint);
gboolean fb_pool_step_done (const FbPoolStep *step);
/* TRUE when the task may be placed: it is neither done nor withheld, and no run of it is known,
 * also none that is being stopped; for a step, when one of its tasks may be. */
gboolean fb_pool_task_is_pending (const FbPoolTask *task);
gboolean fb_pool_step_is_pending (const FbPoolStep *step);
/* Task INDEX may have become pending: puts its step back into the queue. */
void fb_pool_task_requeue (FbPool *self, FbPoolStep *step, uint32_t index);
/* Returns: PERCENT of the mean time of the ended runs of STEP, or FACTOR times the estimate while
 * too few runs have ended. */
uint64_t fb_pool_step_scaled_run_ms (const FbPoolStep *step, uint32_t percent, uint32_t factor);
/* Returns: (transfer full): JOB.OCCURRENCE.STEP */
char *fb_pool_step_name (const FbPoolStep *step);
char *fb_pool_task_name (const FbPoolStep *step, uint32_t index);
/* Returns: (nullable): the job to which the step or task NAME belongs, even if the job has
 * ended. */
FbPoolJob *fb_pool_find_job (const FbPool *self, const char *name);
/* TRUE when the step or task NAME belongs to a job that is stored, but not added to a pool yet. */
gboolean fb_pool_is_of_held_job (const FbPool *self, const char *name);
/* Returns: (nullable): the step of the task NAME, whose index it stores in INDEX; NULL when the
 * pool has no such task. */
FbPoolStep *fb_pool_find_task (FbPool *self, const char *name, uint32_t *index);
/* Returns: (nullable): the step JOB.OCCURRENCE.STEP. */
FbPoolStep *fb_pool_find_step (FbPool *self, const char *name);

/* pool-speed.c */
FbPoolSpeed *fb_pool_speed_new (void);
void fb_pool_speed_unref (FbPoolSpeed *speed);
/* TASK ran for DURATION_MS on the worker with SPEED. */
void fb_pool_speed_record_run (FbPoolTask *task, FbPoolSpeed *speed, uint32_t duration_ms);
/* STEP has ended: updates the speeds of the workers of its runs. */
void fb_pool_speed_update (FbPoolStep *step);

/* pool-predict.c */

/* For qsort(), in ascending order. */
int fb_pool_compare_doubles (const void *a, const void *b);

/* Returns: the median time of the runs of STEP that began here without a checkpoint and ended; 0
 * while too few have. */
uint64_t fb_pool_step_median_ms (FbPoolStep *step);
/* Returns: how long a run of STEP takes on a worker of slowness 1: the median of the ended runs,
 * with which *MEASURED is TRUE, or the estimate. */
uint64_t fb_pool_step_predicted_ms (FbPoolStep *step, gboolean *measured);
/* Returns: the median run time of STEP on a worker of slowness 1, by the runs that have ended and
 * by the progress of others, without those in progress on the worker of EXCLUDED (nullable); 0
 * while there are too few. */
double fb_pool_step_baseline_ms (const FbPoolStep *step, const FbPoolSpeed *excluded,
                                 uint64_t now_ms);

/* pool-tightness.c */

/* Returns: the part of the time until the objective of its job that STEP and the steps after it
 * take, 0 to 1. */
double fb_pool_step_tightness (FbPoolStep *step, uint64_t now_ms);

/* pool-pace.c */

/* Returns: how many times longer runs take now on the worker with SPEED than on an average one. */
double fb_pool_pace_slowness (const FbPoolSpeed *speed, uint64_t now_ms);
/* TRUE when the worker was found to be much slower than in general at SINCE_MS or later. */
gboolean fb_pool_pace_was_slow (const FbPoolSpeed *speed, uint64_t since_ms);
