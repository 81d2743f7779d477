/* The parts of a pool, for its own files only. */
#pragma once

#include "internal/pool.h"

/* ---- times and limits ---------------------------------------------------- */

/* Lease given with each look.  Long enough for a take-over (a silent owner is
 * replaced after about 2 s), short enough that work on a worker that went dark
 * starts again within its caller's patience. */
#define FB_POOL_LEASE_MS 4000
/* A start must be carried out within this time, so that an order that a worker takes up
 * seconds later does nothing.  Answers take some 10 ms; a task whose order got none can
 * start again after this and one look.  With 1,200 ms, and looks of 800 ms, the mean worth
 * of both sites' standard days was 0.02 lower. */
#define FB_POOL_START_WINDOW_MS 700
/* A look waits this long for news at the worker; the lease is renewed as often. */
#define FB_POOL_LOOK_WAIT_MS 500
/* A replaced owner learns of it within this time: its looks are this far apart. */
#define FB_POOL_STEP_DOWN_MS 2000
/* Workers and due times are looked after this often, not at each event: a round
 * over them costs some 100 us, and an owner sees hundreds of events a second. */
#define FB_POOL_TEND_EVERY_MS 20
#define FB_POOL_EXPIRE_EVERY_MS 1000

/* ---- jobs ------------------------------------------------------------------ */

typedef struct _FbPoolJob FbPoolJob;
typedef struct _FbPoolRun FbPoolRun;
typedef struct _FbPoolStep FbPoolStep;
typedef struct _FbPoolLasting FbPoolLasting;

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
  GArray *failed;   /* of uint32_t */
  GArray *crashes;  /* of FbPoolCrash, one a worker; NULL for none */
  GPtrArray *tried; /* of FbPoolTried; NULL for none */
  gboolean
      withheld; /* it does not start: one crash more could be too many, or two are not stored yet */
  uint32_t doubts_n;   /* losses of workers that may have been crashes under it */
  uint32_t recorded_n; /* crashes that an earlier owner's record told of */
  /* It waits until then for a worker where nothing begins; 0: it does not. */
  uint64_t calm_until_ms;
  gboolean done;
  gboolean gave_way;   /* it was stopped once for work of higher priority */
  uint32_t moved;      /* how often it was stopped for taking far too long */
  char *checkpoint;    /* NULL for none */
  FbPoolRun *run;      /* borrowed from its worker; NULL while it waits */
  FbPoolRun *copy;     /* a second run, of a step that allows it; borrowed, NULL for none */
  uint32_t took_ms;    /* its run that ended done */
  FbPoolSpeed *ran_at; /* where that was; NULL: not known, or taken in already */
} FbPoolTask;

/* What the advice service said of one worker for one step. */
typedef struct
{
  uint32_t life; /* of the worker in this slot; 0: it was not asked about */
  gboolean allowed;
  char *ticket; /* NULL while it is not allowed */
  uint64_t valid_until_ms;
} FbPoolRuling;

/* What decides first in which order waiting steps are placed; 0 for those not sorted in yet. */
typedef enum
{
  FB_URGENCY_INTERRUPTED = -1, /* it lasts, and what waits of it has run before, or may have */
  FB_URGENCY_IN_TIME = 0,
  FB_URGENCY_HOPELESS = 1 /* too late to be worth anything */
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
  guint crashed_n;       /* workers that crashed under its tasks since one ran well */
  uint64_t crashed_last; /* rank of the last of these */
  uint64_t crashed_ms;   /* when that was known */
  gboolean released;     /* all steps before it are done, its time has come */
  gboolean gang_broken;  /* a member ended or was refused: the others are stopped */
  FbPoolRuling *rulings; /* by the slots of workers */
  guint rulings_n;
  gboolean ruled;           /* the advice has ruled on some worker */
  uint64_t advice_until_ms; /* the open question is given up then; 0: none is open */
  uint64_t told_ms;         /* when the last answer came */
  GPtrArray *held_on;       /* ids of workers that keep room for it, one entry a task */
  uint64_t held_until_ms;
  gboolean queued;        /* it is among the pool's waiting steps */
  FbPoolUrgency urgency;  /* as of when it was sorted in */
  uint64_t looked_round;  /* last round in which it found no place */
  uint64_t full_look_ms;  /* when it is looked at again whatever has changed */
  uint64_t room_asked_ms; /* when other work was last asked to give way to it */
  FbPoolLasting *lasting; /* what is told of it if it is to last; NULL: nothing yet */
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
  gboolean untouched;           /* no earlier owner can have started any of it */
  gboolean advised_when_stored; /* its queue had advice then */
  uint32_t suspicion;           /* grows with each crash or doubt of one of its tasks */
  uint32_t suspicion_flushing;  /* what of that the open flush holds */
  uint32_t suspicion_stored;    /* what of that is durable */
  gboolean end_unread;          /* when it was taken, workers listed ends of jobs not known */
  uint64_t taken_ms;            /* into this pool */
  uint64_t admitted_ms;
  uint64_t objective_ms; /* on the pool's clock: when its caller wants it */
  uint64_t hopeless_ms;  /* after that it is worth nothing */
  double tightness;      /* its chain of work as a share of its objective, 0 to 1 */
  uint64_t ended_wall_ms;
  GPtrArray *occurrences; /* of FbPoolOccurrence */
  uint32_t next_occurrence;
};

/* ---- workers ----------------------------------------------------------------- */

typedef enum
{
  FB_RUN_STARTING, /* ordered; it is not known whether it is there */
  FB_RUN_RUNNING,
  FB_RUN_STOPPING
} FbRunState;

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
  gboolean given_up;         /* its task no longer counts on it */
  gboolean unanswered;       /* its order got no answer: it may have begun */
  guint suspicion_n;         /* crashes and doubts of its task when it was charged to its worker */
  gboolean whole;            /* started here, from the beginning: its time tells of the worker */
  uint64_t order;            /* the last one sent for it */
  uint64_t deadline_ms;      /* of the start, on the worker's clock */
  uint64_t seen_clock_ms;    /* worker's clock when it was last known to be there */
  uint64_t stopped_clock_ms; /* worker's clock when a stop was taken; 0: not yet */
  uint64_t stop_sent_ms;
  uint64_t started_ms;
};

typedef struct
{
  char *id;
  guint slot;      /* its place in the roster */
  uint32_t life;   /* unique in the pool, never 0 */
  uint64_t rank;   /* decides between equal workers, in whatever order they were listed; names it
                    * in records of crashes */
  gboolean opened; /* it takes more than in the last round */
  gboolean took;   /* it took work when it was last tended */
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
  gboolean gone;          /* this life has certainly ended, or all its leases have */
  /* Names of the steps that may still run there, as the owner before had recorded them when
   * nothing was started there any more; NULL: it may run anything. */
  GHashTable *closed_to;
  gboolean look_open;
  uint32_t first_answer_ms; /* patience of the last look before it first answered */
  uint64_t look_at_ms;      /* when the next look is due */
  uint64_t look_sent_ms;
  uint64_t proof_ms;   /* when the last look that was answered had been sent */
  uint64_t heard_ms;   /* last answer */
  uint64_t clock_ms;   /* worker's clock, no later than HEARD_MS */
  uint64_t lease_ms;   /* highest deadline that was ever sent, on its clock */
  uint64_t seen_end;   /* highest number of an end that was taken in */
  gboolean unread;     /* it lists an end of a job that is not known yet */
  uint64_t unread_end; /* which one that was last; 0: none */
  uint64_t unread_ms;  /* when that was first listed */
  uint64_t flushing_end;
  uint64_t acknowledged;
  uint64_t paused_until_ms;
  uint32_t bad_streak;
  FbPoolSpeed *speed;
  uint64_t spared_until_ms;
  char *last_bad_job;
  GHashTable *runs; /* name -> FbPoolRun */
  guint suspects_n; /* runs of tasks under which workers have crashed */
  guint isolated_n; /* those that run apart for it */
  /* Nothing else than this starts here; it is compared only, never followed. */
  const FbPoolTask *kept_for;
  uint64_t kept_until_ms;
  uint32_t alien_n; /* runs of jobs that are not known: their size is not known */
  int64_t cpu_used;
  int64_t mem_used;
  int64_t gpu_used;
  int64_t cpu_held; /* for steps that wait for advice */
  int64_t mem_held;
  int64_t gpu_held;
} FbPoolWorker;

struct _FbPool
{
  char *service;
  uint64_t epoch;
  FbPoolLimits limits;
  const FbPoolSink *sink;
  gpointer user;
  uint64_t began_ms;
  uint64_t majority_ms; /* when a majority had answered; 0: not yet */
  gboolean workers_complete;
  gboolean settled;   /* nothing can run that this owner does not know of */
  GPtrArray *unheard; /* of FbPoolWorker: what keeps it from that, as of this step; borrowed */
  gboolean fenced;
  gboolean flushing;
  uint64_t last_order;
  GHashTable *workers; /* id -> FbPoolWorker */
  GPtrArray *roster;   /* of FbPoolWorker by slot, NULL where none is; borrowed */
  uint32_t last_life;
  GHashTable *closed;     /* id -> GHashTable, for FbPoolWorker.closed_to: of the owner before */
  GPtrArray *opened;      /* of FbPoolWorker that took more room since the last round; borrowed */
  GPtrArray *waiting;     /* of FbPoolStep with tasks that wait, in their order; borrowed */
  GPtrArray *fresh;       /* of FbPoolStep that are not sorted into these yet; borrowed */
  uint32_t asked_in_vain; /* kinds of questions that no daemon could take in this round */
  uint64_t round;         /* counts the rounds of placing */
  guint place_from;       /* the waiting step with which the open round goes on; 0: none is open */
  guint round_opened_n;   /* of OPENED, those that its first steps have seen */
  uint32_t visits_n;      /* workers and runs that were looked at in this turn of it */
  GHashTable *timed;      /* set of FbPoolJob of which something comes due; borrowed */
  GHashTable *chained;    /* set of FbPoolJob with steps that wait for others; borrowed */
  GHashTable *jobs;       /* id -> FbPoolJob */
  GHashTable *active;     /* set of FbPoolJob that have not ended; borrowed */
  GHashTable *ended;      /* set of FbPoolJob that are kept for late callers; borrowed */
  GHashTable *dirty;      /* set of FbPoolJob with news to record; borrowed */
  GPtrArray *in_flush;    /* of FbPoolJob: what the open flush holds; borrowed */
  GHashTable *orders;     /* order -> FbPoolOrderRef */
  GHashTable *suspects;   /* set of FbPoolStep with tasks under which workers crashed; borrowed */
  GHashTable *causes;     /* rank of a crashed worker -> how many tasks may have crashed it */
  GHashTable *doubts;     /* id of a lost worker -> what was on it: see pool-doubt.c */
  gboolean doubts_due;    /* the list of workers may settle some */
  gboolean hears_most;    /* most workers answered of late */
  gboolean limit_reached; /* a task has come to the limit of crashes */
  uint64_t jobs_read_ms;  /* every job stored before is known */
  gboolean workers_dirty; /* the record of workers is out of date */
  gboolean may_start;     /* its owner was sure of it, and not about to stop, at its last step */
  gboolean place_due;     /* room, work or advice came since the last round */
  uint64_t expired_ms;    /* when results were last looked through for old ones */
  uint64_t tended_ms;     /* when workers and times were last looked after */
  const char *barred;     /* why nothing at all could start, when that was last so; or NULL */
  uint64_t barred_ms;     /* when that was */
};

/* An attempt's number is above all that were used before it.  A job that was taken
 * over may have used some that no record tells of; going on from the epoch, which
 * grows with each owner, keeps them rising. */
#define FB_POOL_ATTEMPTS_PER_EPOCH 4

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
void fb_pool_task_save (FbPoolStep *step, uint32_t index, const char *checkpoint);
gboolean fb_pool_step_done (const FbPoolStep *step);
/* TRUE when the task is neither done nor on a worker; of a step: when one of its is. */
gboolean fb_pool_task_waits (const FbPoolTask *task);
gboolean fb_pool_step_waits (const FbPoolStep *step);
/* What kept task INDEX from waiting for a place may be over. */
void fb_pool_task_may_wait (FbPool *self, FbPoolStep *step, uint32_t index);
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

/* pool-roster.c */
void fb_pool_roster_add (FbPool *self, FbPoolWorker *worker);
/* Forgets WORKER and frees it. */
void fb_pool_roster_remove (FbPool *self, FbPoolWorker *worker);
/* Returns: the next worker from *SLOT on, which moves behind it; NULL: there is none. */
FbPoolWorker *fb_pool_roster_next (const FbPool *self, guint *slot);
/* WORKER may take what it did not take before. */
void fb_pool_worker_opened (FbPool *self, FbPoolWorker *worker);

/* pool-ruling.c */

/* Returns: (nullable): borrowed; NULL when the advice has not ruled on WORKER. */
const FbPoolRuling *fb_pool_ruling (const FbPoolStep *step, const FbPoolWorker *worker);
/* The advice was asked about WORKER. */
void fb_pool_ruling_note (FbPoolStep *step, const FbPoolWorker *worker);
void fb_pool_ruling_allow (FbPoolStep *step, const FbPoolWorker *worker, const char *ticket,
                           uint64_t valid_until_ms);
/* The ticket for WORKER is good no more; it stays allowed. */
void fb_pool_ruling_expire (FbPoolStep *step, const FbPoolWorker *worker);
void fb_pool_rulings_clear (FbPoolStep *step);

/* pool-closed.c */

/* Which steps may still run on WORKER, which drains, goes into KNOWN. */
void fb_pool_closed_record (const FbPoolWorker *worker, fb_work_known *known);
void fb_pool_closed_record_clear (fb_work_known *known);
/* The owner before knew WORKER as KNOWN tells. */
void fb_pool_closed_restore (FbPool *self, const fb_work_known *known);
/* WORKER was listed: it gets what the owner before knew of it. */
void fb_pool_closed_take (FbPool *self, FbPoolWorker *worker);
/* FALSE when no run of STEP can be on WORKER, which drains. */
gboolean fb_pool_closed_may_hold (const FbPoolWorker *worker, const FbPoolStep *step);
/* TRUE when nothing runs on WORKER, whether it answers or not. */
gboolean fb_pool_closed_is_empty (const FbPoolWorker *worker);

/* pool-queue.c */

/* A task of STEP waits, or may. */
void fb_pool_queue_add (FbPool *self, FbPoolStep *step);
/* Brings the waiting steps into their order; steps of which nothing waits are left out. */
void fb_pool_queue_sort (FbPool *self, uint64_t now_ms);
/* JOB is about to be freed. */
void fb_pool_queue_forget (FbPool *self, const FbPoolJob *job);

/* pool-worker.c */
FbPoolWorker *fb_pool_worker_new (const char *id);
/* Returns: what decides between equal workers: the same for ID at all owners. */
uint64_t fb_pool_worker_rank (const char *id);
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
void fb_pool_worker_spare (FbPoolWorker *worker, uint64_t now_ms);
/* Adds (SIGN 1) or takes off (-1) what RUN uses. */
void fb_pool_worker_charge (FbPoolWorker *worker, FbPoolRun *run, int sign);
/* Keeps (SIGN 1) or gives back (-1) room for a task of SHAPE. */
void fb_pool_worker_hold (FbPoolWorker *worker, const fb_work_step *shape, int sign);
gboolean fb_pool_worker_has_label (const FbPoolWorker *worker, const char *label);

/* pool-speed.c */
FbPoolSpeed *fb_pool_speed_new (void);
void fb_pool_speed_unref (FbPoolSpeed *speed);
/* TASK took TOOK_MS where SPEED is of. */
void fb_pool_speed_note (FbPoolTask *task, FbPoolSpeed *speed, uint32_t took_ms);
/* STEP has ended: its runs tell of their workers. */
void fb_pool_speed_learn (FbPoolStep *step);

/* pool-orders.c */
void fb_pool_order_start (FbPool *self, FbPoolWorker *worker, FbPoolStep *step, uint32_t index,
                          uint32_t attempt, uint64_t now_ms);
void fb_pool_order_stop (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms);
void fb_pool_order_look (FbPool *self, FbPoolWorker *worker, uint64_t now_ms);
uint32_t fb_pool_next_attempt (const FbPool *self, const FbPoolStep *step, uint32_t index);
/* The run has certainly ended or never began: its room is free, its task waits again.  HOW: a
 * static text. */
void fb_pool_run_over (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, const char *how,
                       uint64_t now_ms);

/* pool-report.c */

/* How it is known that all runs of a life of a worker have ended. */
typedef enum
{
  FB_LOSS_LEASE_ENDED, /* it may live on, with nothing running */
  FB_LOSS_OTHER_LIFE,  /* another life answers at its address */
  FB_LOSS_LEFT         /* it is not listed, and nothing listens there */
} FbPoolLoss;

void fb_pool_gang_stop (FbPool *self, FbPoolStep *step, uint64_t now_ms);
void fb_pool_worker_lost (FbPool *self, FbPoolWorker *worker, FbPoolLoss loss, uint64_t now_ms);
/* Marks JOB ended, stops what runs of it. */
void fb_pool_job_end (FbPool *self, FbPoolJob *job, fb_work_state state, uint64_t now_ms,
                      uint64_t wall_ms);
void fb_pool_job_changed (FbPool *self, FbPoolJob *job);
void fb_pool_fenced (FbPool *self, const FbPoolWorker *worker);

/* pool-choose.c */

/* FB_TICKET_ALLOWED: the advice allows the worker, its ticket may have run out. */
typedef enum
{
  FB_TICKET_VALID,
  FB_TICKET_ALLOWED
} FbPoolTicketRule;

/* TRUE when its labels, which stay while it lives, allow it a task of SHAPE. */
gboolean fb_pool_has_labels_for (const FbPoolWorker *worker, const fb_work_step *shape);
/* TRUE when it could run such a task if it were empty: its size may change. */
gboolean fb_pool_could_run (const FbPoolWorker *worker, const fb_work_step *shape);
/* The parts of WORKER that are free, added up: more is emptier. */
double fb_pool_free_shares (const FbPoolWorker *worker);
/* All but the ticket: it takes work, and has room and the right to it. */
gboolean fb_pool_has_place (const FbPoolWorker *worker, const FbPoolStep *step, uint64_t now_ms);
/* TRUE when it takes work at all. */
gboolean fb_pool_worker_takes (const FbPoolWorker *worker, uint64_t now_ms);
/* FALSE when what changed since STEP was looked at in this round or the last cannot have given it a
 * place. */
gboolean fb_pool_worth_a_look (FbPool *self, const FbPoolStep *step, uint64_t now_ms);
/* Returns: (nullable): borrowed. */
const FbPoolRuling *fb_pool_valid_ticket (const FbPoolStep *step, const FbPoolWorker *worker,
                                          uint64_t now_ms);
/* For task INDEX.  RACK: only workers of it; NULL for any.  OTHER_THAN: not this one; may be NULL.
 */
FbPoolWorker *fb_pool_best_worker (FbPool *self, const FbPoolStep *step, uint32_t index,
                                   const char *rack, const FbPoolWorker *other_than,
                                   FbPoolTicketRule rule, uint64_t now_ms);
/* Finds workers for up to MOST waiting tasks, each beside those before it.
 * Returns: how many found one. */
guint fb_pool_choose (FbPool *self, FbPoolStep *step, guint most, const char *rack,
                      FbPoolTicketRule rule, FbPoolWorker **chosen, uint64_t now_ms);
/* Returns: FALSE unless every member found one; in one rack if that matters and can be. */
gboolean fb_pool_choose_gang (FbPool *self, FbPoolStep *step, FbPoolTicketRule rule,
                              FbPoolWorker **chosen, uint64_t now_ms);
/* Either of the above; for a gang all or none.  Returns: how many found one. */
guint fb_pool_choose_step (FbPool *self, FbPoolStep *step, guint most, FbPoolTicketRule rule,
                           FbPoolWorker **chosen, uint64_t now_ms);
guint fb_pool_step_waiting_n (const FbPoolStep *step);
/* Keeps room for N tasks of STEP on the workers chosen. */
void fb_pool_hold (FbPool *self, FbPoolStep *step, FbPoolWorker **chosen, guint n,
                   uint64_t until_ms);
/* Returns: (transfer full): where it was held, for fb_pool_hold_again(). */
GPtrArray *fb_pool_release_hold (FbPool *self, FbPoolStep *step);
/* At most MOST of them: some of the tasks may have been placed. */
void fb_pool_hold_again (FbPool *self, FbPoolStep *step, GPtrArray *held_on, guint most,
                         uint64_t until_ms);

/* pool-preempt.c */

/* Stops work that gives way, holds its room for STEP until UNTIL_MS and says in CHOSEN
 * where.  Returns: for how many tasks, at most MOST; all or none for a gang. */
guint fb_pool_make_room (FbPool *self, FbPoolStep *step, guint most, FbPoolWorker **chosen,
                         uint64_t until_ms, uint64_t now_ms);

/* pool-advice.c */

/* Asks if there is something to ask.  Returns: FALSE when no daemon can take it now. */
gboolean fb_pool_ask_advice (FbPool *self, FbPoolStep *step, uint64_t now_ms);
/* The same, if nothing was asked about the step before. */
gboolean fb_pool_ask_first_advice (FbPool *self, FbPoolStep *step, uint64_t now_ms);
/* Asks for a new ticket for WORKER, which the advice allows. */
void fb_pool_renew_ticket (FbPool *self, FbPoolStep *step, const FbPoolWorker *worker,
                           uint64_t now_ms);
/* Asks for steps that come next. */
void fb_pool_ask_ahead (FbPool *self, FbPoolJob *job, uint64_t now_ms);

/* The run is of JOB after all: it keeps its room as what it is. */
void fb_pool_bind_runs (FbPool *self, const FbPoolJob *job);
/* Stops runs that are certainly of no job. */
void fb_pool_stop_strays (FbPool *self, FbPoolWorker *worker, uint64_t now_ms);

/* pool-copy.c */

/* Starts copies of tasks that lag, where their steps allow it. */
void fb_pool_place_copies (FbPool *self, uint64_t now_ms);
/* RUN was ordered or found: it is the task's run, or its copy if there is one already. */
void fb_pool_task_take_run (FbPoolTask *task, FbPoolRun *run);
/* RUN is over; a copy takes its place. */
void fb_pool_task_drop_run (FbPoolTask *task, const FbPoolRun *run);

/* pool-settle.c */

/* Finds out whether all that may run is known. */
void fb_pool_settle (FbPool *self, uint64_t now_ms);
/* TRUE when a majority of the workers has answered under this epoch: what surely runs
 * nowhere may start. */
gboolean fb_pool_may_place (const FbPool *self);
/* TRUE when no earlier owner can have started a job that is not known yet. */
gboolean fb_pool_is_untouched (const FbPool *self);
/* JOB comes now: it waits for ends that workers have listed and that were not understood. */
void fb_pool_hear_ends_first (FbPool *self, FbPoolJob *job, uint64_t now_ms);
/* TRUE while a task of STEP may run, or have ended, on a worker that was not heard. */
gboolean fb_pool_may_run_unheard (const FbPool *self, const FbPoolStep *step);

/* pool-place.c */
void fb_pool_place (FbPool *self, uint64_t now_ms);

/* pool-lasting.c: of steps that are to last; others are passed over. */

/* The last run of task INDEX is over; a start that came to nothing was none.  HOW: a static
 * text. */
void fb_pool_lasting_over (FbPoolStep *step, uint32_t index, const char *how, uint64_t now_ms);
/* A round found no place for all of STEP.  WAITS_FOR: a static text. */
void fb_pool_lasting_waits (const FbPool *self, FbPoolStep *step, const char *waits_for,
                            uint64_t now_ms);
void fb_pool_lasting_waits_no_more (FbPoolStep *step);
/* RUN of STEP is ordered. */
void fb_pool_lasting_started (const FbPool *self, FbPoolStep *step, const FbPoolRun *run,
                              uint64_t now_ms);

/* pool-stuck.c */

/* Stops RUN, so that its task starts elsewhere, if it takes far too long. */
void fb_pool_run_check_stuck (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms);

/* pool-orders.c */

/* Returns: (transfer full): a table of orders in flight. */
GHashTable *fb_pool_orders_new (void);
