/* A pool: what it holds beside its jobs and workers, and what goes on between them; for its own
 * files only. */
#pragma once

#include "internal/pool-worker-private.h"

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
#define FB_POOL_POLL_WAIT_MS 500
/* A replaced owner learns of it within this time: its looks are this far apart. */
#define FB_POOL_STEP_DOWN_MS 2000
/* A call to a worker that has just ended may wait so long for the next life to listen. */
#define FB_POOL_DELAYED_CALL_MS 1200
/* Workers and due times are looked after this often, not at each event: a round
 * over them costs some 100 us, and an owner sees hundreds of events a second. */
#define FB_POOL_MAINTENANCE_INTERVAL_MS 20
#define FB_POOL_EXPIRE_INTERVAL_MS 1000

/* ---- the pool ------------------------------------------------------------- */

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
  gboolean recovered; /* nothing can run that this owner does not know of */
  GPtrArray *
      unconfirmed_workers; /* of FbPoolWorker: what keeps it from that, as of this step; borrowed */
  gboolean fenced;
  gboolean flushing;
  uint64_t flush_began_ms;
  uint64_t last_order;
  GHashTable *workers;     /* id -> FbPoolWorker */
  GPtrArray *worker_slots; /* of FbPoolWorker by slot, NULL where none is; borrowed */
  uint32_t last_incarnation;
  GHashTable *latest; /* address -> FbPoolWorker, the life there that began last; borrowed */
  GHashTable *closed; /* id -> GHashTable, for FbPoolWorker.drain_steps: of the owner before */
  GPtrArray
      *gained_capacity;   /* of FbPoolWorker that took more room since the last round; borrowed */
  GPtrArray *waiting;     /* of FbPoolStep with tasks that wait, in their order; borrowed */
  GPtrArray *fresh;       /* of FbPoolStep that are not sorted into these yet; borrowed */
  uint32_t asked_in_vain; /* kinds of questions that no daemon could take in this round */
  uint64_t round;         /* counts the rounds of placing */
  guint place_from;       /* the waiting step with which the open round goes on; 0: none is open */
  guint round_gained_n;   /* of OPENED, those that its first steps have seen */
  uint32_t visits_n;      /* workers and runs that were looked at in this turn of it */
  GHashTable *timed;      /* set of FbPoolJob of which something comes due; borrowed */
  GHashTable *chained;    /* set of FbPoolJob with steps that wait for others; borrowed */
  GHashTable *jobs;       /* id -> FbPoolJob */
  GHashTable *active;     /* set of FbPoolJob that have not ended; borrowed */
  GHashTable *ended;      /* set of FbPoolJob that are kept for late callers; borrowed */
  GHashTable *dirty;      /* set of FbPoolJob with news to record; borrowed */
  GPtrArray *in_flush;    /* of FbPoolJob: what the open flush holds; borrowed */
  GHashTable *orders;     /* order -> FbPoolOrderRef */
  GQueue *unanswered_starts; /* of FbPoolUnansweredStart; the oldest at its head */
  GHashTable *suspects; /* set of FbPoolStep with tasks under which workers crashed; borrowed */
  GHashTable
      *unstored;      /* set of FbPoolJob with news that other daemons may have to keep; borrowed */
  GHashTable *causes; /* rank of a crashed worker -> how many tasks may have crashed it */
  GHashTable
      *unresolved_losses; /* id of a lost worker -> what was on it: see pool-unresolved-losses.c */
  gboolean unresolved_losses_due; /* the list of workers may settle some */
  gboolean majority_answers;      /* most workers answered of late */
  gboolean limit_reached;         /* a task has come to the limit of crashes */
  uint64_t jobs_read_ms;          /* every job stored before is known */
  gboolean workers_dirty;         /* the record of workers is out of date */
  gboolean may_start;  /* its owner was sure of it, and not about to stop, at its last step */
  gboolean place_due;  /* room, work or advice came since the last round */
  uint64_t expired_ms; /* when results were last looked through for old ones */
  uint64_t last_maintenance_ms; /* when workers and times were last looked after */
  const char *no_start_reason;  /* why nothing at all could start, when that was last so; or NULL */
  uint64_t no_start_ms;         /* when that was */
};

/* An attempt's number is above all that were used before it.  A job that was taken
 * over may have used some that no record tells of; going on from the epoch, which
 * grows with each owner, keeps them rising. */
#define FB_POOL_ATTEMPTS_PER_EPOCH 4

/* pool-worker-advice.c */

/* Returns: (nullable): borrowed; NULL when the advice has not ruled on WORKER. */
const FbPoolWorkerAdvice *fb_pool_worker_advice (const FbPoolStep *step,
                                                 const FbPoolWorker *worker);
/* The advice was asked about WORKER. */
void fb_pool_worker_advice_asked (FbPoolStep *step, const FbPoolWorker *worker);
void fb_pool_worker_advice_allow (FbPoolStep *step, const FbPoolWorker *worker, const char *ticket,
                                  uint64_t valid_until_ms);
/* The ticket for WORKER is good no more; it stays allowed. */
void fb_pool_worker_advice_expire_ticket (FbPoolStep *step, const FbPoolWorker *worker);
void fb_pool_worker_advice_clear (FbPoolStep *step);

/* pool-queue.c */

/* A task of STEP waits, or may. */
void fb_pool_queue_add (FbPool *self, FbPoolStep *step);
/* Brings the waiting steps into their order; steps of which nothing waits are left out. */
void fb_pool_queue_sort (FbPool *self, uint64_t now_ms);
/* JOB is about to be freed. */
void fb_pool_queue_forget (FbPool *self, const FbPoolJob *job);

/* pool-orders.c */
void fb_pool_order_start (FbPool *self, FbPoolWorker *worker, FbPoolStep *step, uint32_t index,
                          uint32_t attempt, uint64_t now_ms);
void fb_pool_order_stop (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms);
void fb_pool_order_poll (FbPool *self, FbPoolWorker *worker, uint64_t now_ms);
/* TRUE while WORKER, which may start again under its id, has not taken an acknowledgement. */
gboolean fb_pool_owes_acknowledgement (const FbPoolWorker *worker);
/* FALSE when a look at WORKER right after its answer would bring no more than that. */
gboolean fb_pool_may_poll_again (const FbPoolWorker *worker);
/* TRUE while ORDER was sent and not answered. */
gboolean fb_pool_order_is_open (const FbPool *self, uint64_t order);
/* Answers to orders about RUN, which was on WORKER, are of the same run on NEXT. */
void fb_pool_orders_move (FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run,
                          const FbPoolWorker *next);
/* Returns: when a look at a worker that has never answered is repeated, once that look failed. */
uint64_t fb_pool_first_poll_retry_ms (const FbPoolWorker *worker, uint64_t now_ms);
uint32_t fb_pool_next_attempt (const FbPool *self, const FbPoolStep *step, uint32_t index);
/* The run has certainly ended or never began: its room is free, its task waits again.  HOW: a
 * static text. */
void fb_pool_run_ended (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, const char *how,
                        uint64_t now_ms);

/* pool-report.c */

/* Fills in what LIMITS leaves to the pool. */
void fb_pool_report_set_limits (FbPoolLimits *limits);
void fb_pool_stop_gang (FbPool *self, FbPoolStep *step, uint64_t now_ms);
/* Marks JOB ended, stops what runs of it. */
void fb_pool_job_end (FbPool *self, FbPoolJob *job, fb_work_state state, uint64_t now_ms,
                      uint64_t wall_ms);
void fb_pool_job_changed (FbPool *self, FbPoolJob *job);
void fb_pool_fenced (FbPool *self, const FbPoolWorker *worker);

/* pool-loss.c */

/* How it is known that all runs of a life of a worker have ended. */
typedef enum
{
  FB_LOSS_LEASE_ENDED,       /* it may live on, with nothing running */
  FB_LOSS_OTHER_INCARNATION, /* another life answers at its address */
  FB_LOSS_LEFT               /* it is not listed, and nothing listens there */
} FbPoolLoss;

/* All that runs on this life of WORKER has certainly ended.  NEXT: the life that takes what was
 * meant for it; NULL: none is known. */
void fb_pool_worker_lost (FbPool *self, FbPoolWorker *worker, FbPoolLoss loss, FbPoolWorker *next,
                          uint64_t now_ms);

/* pool-incarnations.c */

/* WORKER has come to be known, at its address. */
void fb_pool_incarnation_known (FbPool *self, FbPoolWorker *worker, uint64_t now_ms);
/* WORKER has answered a look that was meant for it. */
void fb_pool_incarnation_answered (FbPool *self, FbPoolWorker *worker, uint64_t now_ms);
/* WORKER is certainly the life that runs at its address. */
void fb_pool_incarnation_set_latest (FbPool *self, FbPoolWorker *worker);
/* Returns: the life that runs in the place of WORKER, which may be WORKER. */
FbPoolWorker *fb_pool_incarnation_running (const FbPool *self, FbPoolWorker *worker);
void fb_pool_incarnation_forget (FbPool *self, const FbPoolWorker *worker);

/* pool-restart.c */

/* Tells of an ANSWER that is older than what WORKER said before. */
void fb_pool_restart_log_stale (const FbPoolWorker *worker, const FbPollAnswer *answer);

/* Returns: (transfer full): what fb_pool_unanswered_start_add() keeps. */
GQueue *fb_pool_unanswered_starts_new (void);
void fb_pool_unanswered_starts_free (GQueue *starts);
/* A start that was sent at SENT_MS to a life of the worker at ADDRESS got no answer: a later life
 * may yet carry it out. */
void fb_pool_unanswered_start_add (FbPool *self, const char *incarnation, const char *address,
                                   const char *task, uint32_t attempt, uint64_t sent_ms,
                                   uint64_t now_ms);
/* WORKER has answered for the first time: it is told to refuse starts that were sent to lives
 * before it and got no answer. */
void fb_pool_unanswered_starts_reject (FbPool *self, FbPoolWorker *worker, uint64_t now_ms);
/* TRUE while WORKER is to shut an earlier start of task INDEX out. */
gboolean fb_pool_restart_rejects (const FbPoolWorker *worker, const FbPoolStep *step,
                                  uint32_t index);
/* LIFE answered instead of WORKER, under the same id. */
void fb_pool_worker_restarted (FbPool *self, FbPoolWorker *worker, const char *incarnation,
                               uint64_t now_ms);
/* TRUE when a later life of its worker may carry RUN out. */
gboolean fb_pool_restart_may_deliver (const FbPool *self, const FbPoolRun *run);
/* RUN did not come: it was on the life that it was sent to. */
void fb_pool_restart_count_crash (FbPool *self, const FbPoolRun *run, uint64_t now_ms);
/* WORKER has ended and NEXT takes what was meant for it.
 * Returns: FALSE when RUN has ended with WORKER; else it is on NEXT, or may come there. */
gboolean fb_pool_restart_transfer (FbPool *self, FbPoolWorker *worker, FbPoolRun *run,
                                   FbPoolWorker *next, uint64_t now_ms);
/* WORKER lists RUN, which this owner did not order there. */
void fb_pool_restart_found (FbPool *self, const FbPoolWorker *worker, FbPoolRun *run,
                            uint64_t now_ms);
/* WORKER lists RUN. */
void fb_pool_restart_listed (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms);
/* TRUE when RUN, which might have come to WORKER and is not in its list of CLOCK_MS, never will. */
gboolean fb_pool_restart_is_over (const FbPool *self, const FbPoolWorker *worker,
                                  const FbPoolRun *run, uint64_t clock_ms);
/* RUN is not listed and may yet come: WORKER is told to refuse it. */
void fb_pool_restart_reject (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms);

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
gboolean fb_pool_step_may_fit (FbPool *self, const FbPoolStep *step, uint64_t now_ms);
/* Returns: (nullable): borrowed. */
const FbPoolWorkerAdvice *fb_pool_valid_ticket (const FbPoolStep *step, const FbPoolWorker *worker,
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
void fb_pool_reserve (FbPool *self, FbPoolStep *step, FbPoolWorker **chosen, guint n,
                      uint64_t until_ms);
/* Returns: (transfer full): where it was held, for fb_pool_reserve_again(). */
GPtrArray *fb_pool_release_reservation (FbPool *self, FbPoolStep *step);
/* At most MOST of them: some of the tasks may have been placed. */
void fb_pool_reserve_again (FbPool *self, FbPoolStep *step, GPtrArray *reserved_on, guint most,
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
void fb_pool_adopt_runs (FbPool *self, const FbPoolJob *job);
/* Stops runs that are certainly of no job. */
void fb_pool_stop_orphans (FbPool *self, FbPoolWorker *worker, uint64_t now_ms);

/* pool-copy.c */

/* Starts copies of tasks that lag, where their steps allow it. */
void fb_pool_place_copies (FbPool *self, uint64_t now_ms);
/* RUN was ordered or found: it is the task's run, or its copy if there is one already. */
void fb_pool_task_attach_run (FbPoolTask *task, FbPoolRun *run);
/* RUN is over; a copy takes its place. */
void fb_pool_task_detach_run (FbPoolTask *task, const FbPoolRun *run);

/* pool-recovery.c */

/* Finds out whether all that may run is known. */
void fb_pool_check_recovery (FbPool *self, uint64_t now_ms);
/* TRUE when a majority of the workers has answered under this epoch: what surely runs
 * nowhere may start. */
gboolean fb_pool_may_place (const FbPool *self);
/* TRUE when no earlier owner can have started a job that is not known yet. */
gboolean fb_pool_has_no_earlier_starts (const FbPool *self);
/* JOB comes now: it waits for ends that workers have listed and that were not understood. */
void fb_pool_await_unknown_ends (FbPool *self, FbPoolJob *job, uint64_t now_ms);
/* TRUE while a task of STEP may run, or have ended, on a worker that was not heard. */
gboolean fb_pool_may_run_unconfirmed (const FbPool *self, const FbPoolStep *step);

/* pool-place.c */
void fb_pool_place (FbPool *self, uint64_t now_ms);

/* pool-long-running.c: of steps that are to last; others are passed over. */

/* The last run of task INDEX is over; a start that came to nothing was none.  HOW: a static
 * text. */
void fb_pool_long_running_ended (FbPoolStep *step, uint32_t index, const char *how,
                                 uint64_t now_ms);
/* A round found no place for all of STEP.  WAITS_FOR: a static text. */
void fb_pool_long_running_waits (const FbPool *self, FbPoolStep *step, const char *waits_for,
                                 uint64_t now_ms);
void fb_pool_long_running_wait_over (FbPoolStep *step);
/* BUT: set of tasks that do not count; NULL: none.
 * Returns: of the tasks of STEP that wait the one that is away for longest, one that never ran if
 * all did not; the count when none waits. */
uint32_t fb_pool_long_running_next (const FbPool *self, const FbPoolStep *step, GHashTable *but);
/* RUN of STEP is ordered. */
void fb_pool_long_running_started (const FbPool *self, FbPoolStep *step, const FbPoolRun *run,
                                   uint64_t now_ms);

/* pool-stuck.c */

/* Stops RUN, so that its task starts elsewhere, if it takes far too long. */
void fb_pool_run_check_stuck (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms);

/* pool-orders.c */

/* Returns: (transfer full): a table of orders in flight. */
GHashTable *fb_pool_orders_new (void);
