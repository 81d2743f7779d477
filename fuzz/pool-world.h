/* The simulated environment of a fuzzing run: workers, a store and owners, all of which fail, and a
 * record of every run on the workers. It shares no code with the pool under test, except that the
 * recent starts and the suspect backups at peers are kept by the daemon's own modules. */
#pragma once

#include "internal/pool.h"
#include "platform/wire.h"
#include "src/entry/peers/recent-starts.h"
#include "src/entry/peers/suspect-backups.h"

#define WORKER_N 6
#define JOB_MAX 40
#define TASK_MAX 4
#define STEP_MAX 2
#define TICK_MS 10
#define FAULT_MS 40000
#define HEAL_MS 45000
#define MAX_ATTEMPTS 3
/* A daemon is stable when neither it nor the store had a fault for this long. */
#define STABLE_AFTER_MS 3000
#define MAX_CRASHES 2 /* a job may fail after this many crashes under a task */
/* After this many crashes of its workers, this many more starts of a task are a violation. */
#define CRASHED_START_LIMIT 3
#define WORKER_CPU_MILLI 16000
#define CAPACITY_GRACE_MS 4500 /* how long after a reduction the larger capacity is allowed */
#define STOP_DELAY_MS 150
#define LONG_STOP_MS 900 /* longest stop in the kinds with stops */
#define GANG_WAIT_MS 3000
#define CHECKPOINT_CHARS 15
#define MAX_LEASE_MS 6000 /* longest lease that a worker grants; longer in some worlds */
#define TTL_MS 1000
#define MAJORITY_MS 1500
#define STEP_DOWN_MS 2000
#define CONFIRMED_FOR_MS 500 /* leases are extended for so long after a confirmation */
#define MAX_STALL_MS 3000
#define MAX_REPORTED_ENDS 6 /* ends in one poll reply, in mode "repeats" */
#define LIST_LAG_MS 300
#define UNLIST_DELAY_MS 4500 /* how long the list keeps a silent worker */
#define WALL_MS 1000000000
#define MAX_RESTART_MS 2000    /* a process that exited restarts within this time */
#define ENTRY_INTERVAL_MS 1500 /* at least this often a worker writes its entry in the list */

/* The id of the next incarnation of a worker. */
typedef enum
{
  RESTART_EITHER_ID, /* the old or a new id, drawn from the seed */
  RESTART_NEW_ID,    /* always a new id; workers do not report when they started */
  /* As RESTART_EITHER_ID, and an incarnation may execute late what an earlier one received. */
  RESTART_LATE_CALLS
} RestartMode;

/* How calls across a partition fail. */
typedef enum
{
  CUT_SILENT,  /* they are not answered */
  CUT_REFUSED, /* connections are refused; open ones are reset */
  CUT_RESET,   /* connections are accepted and reset */
  CUT_KIND_N
} CutKind;

typedef struct
{
  char task[64];
  uint32_t attempt;
  uint64_t end_ms;   /* when it ends unless it is stopped before */
  uint64_t stop_ms;  /* when an ordered stop takes effect; 0: none was ordered */
  uint64_t crash_ms; /* when it crashes its worker; 0: never */
  gboolean fails;
  /* Of a run of a cancelled job: the incarnation of the owner that knows of the cancel and has been
   * in touch with the worker since IN_TOUCH_SINCE_MS; 0: none. */
  uint64_t in_touch_with;
  uint64_t in_touch_since_ms;
  /* The following are only used in the kinds with stops. */
  guint work_ms; /* of the whole task */
  guint left_ms; /* of WORK_MS, and the time to restore a checkpoint */
  uint8_t percent;
  gboolean saves; /* it saves checkpoints */
  char checkpoint[CHECKPOINT_CHARS + 1];
  char start_checkpoint[CHECKPOINT_CHARS + 1];
  gboolean is_gang;
  gboolean waits;         /* for the other members of its gang */
  gboolean is_broken;     /* another member has ended */
  uint64_t gang_until_ms; /* until when it waits for them */
} Run;

/* The event after which a job is cancelled in the cancelling kinds. */
typedef enum
{
  CANCEL_AT_ANY_TIME,
  CANCEL_AT_START,        /* a start of its tasks is sent */
  CANCEL_AT_STOP,         /* a stop of its tasks is sent */
  CANCEL_AT_OWNER_CHANGE, /* the owner stops or another one starts */
  CANCEL_AT_CRASH,        /* a worker crashes that runs its tasks */
  CANCEL_AT_SECOND_RUN,   /* an end of a task is acknowledged while it runs again */
  CANCEL_TRIGGER_N
} CancelTrigger;

typedef struct
{
  uint64_t number;
  char task[64];
  uint32_t attempt;
  FbEndReason reason;
  uint64_t at_ms;
  gboolean lease_expired; /* a lease of its worker has expired since the end */
  char checkpoint[CHECKPOINT_CHARS + 1];
} End;

/* What the entry of a worker in the list contains. */
typedef struct
{
  char id[32];
  uint64_t incarnation_started_ms; /* since 1970 */
} Entry;

typedef struct
{
  char id[32];
  guint incarnation;
  uint64_t incarnation_started_ms; /* since 1970 */
  uint64_t clock_start_ms;         /* its clock when the incarnation started */
  Entry previous_entry;            /* of the previous incarnation under this id */
  uint64_t entry_updated_ms;       /* until then the list has PREVIOUS_ENTRY */
  /* When a late write restores PREVIOUS_ENTRY for LIST_LAG_MS; 0: never. */
  uint64_t stale_entry_ms;
  uint64_t second_crash_ms; /* when it crashes again after a restart; 0: never */
  gboolean up;
  gboolean unreachable; /* no messages to or from it are delivered */
  gboolean listed;
  gboolean draining;
  gboolean failing; /* it breaks connections and refuses calls */
  /* The following are only used in the kinds with restarts. */
  gboolean keeps_id;        /* its next incarnation has the same id */
  uint64_t cut_due_ms;      /* when it is cut off after its restart; 0: not so */
  uint64_t hide_due_ms;     /* when its entry is removed after its restart; 0: not so */
  uint64_t hidden_until_ms; /* its entry is not written before */
  /* The following are only used in kind "partitions". */
  gboolean entry_listed;        /* LISTED, as of the last tick */
  gboolean writes_entry;        /* it is up and reaches the store */
  uint64_t entry_written_ms;    /* when its entry was last written */
  uint64_t next_entry_ms;       /* when its entry is written next if WRITES_ENTRY */
  uint64_t store_cut_until_ms;  /* it does not reach the store before */
  uint64_t cut_until_ms;        /* no calls reach it before */
  uint64_t cut_change_ms;       /* when the first of CUT_KINDS is replaced by the second */
  CutKind cut_kinds[2];         /* how calls fail while it is cut off */
  gboolean refuses_when_down;   /* connections are refused when it is down */
  int64_t cpu_milli;            /* its capacity, which may shrink and grow */
  int64_t previous_cpu_milli;   /* the largest allowed use before the last change */
  uint64_t cpu_changed_ms;      /* when the list last showed a change of the capacity */
  uint64_t restart_ms;          /* when it starts again after a crash; 0: no restart is due */
  uint64_t unanswered_since_ms; /* since when no message from it arrives; 0: not so */
  uint64_t started_ms;
  uint32_t slow_permille;       /* by how much its clock is slow */
  uint64_t fence_epoch;         /* orders with a lower epoch are fenced */
  uint64_t lease_until_ms;      /* on its clock */
  uint64_t last_end_number;     /* 0: no end yet */
  uint64_t acknowledged;        /* highest number of an acknowledged end; 0: none */
  GArray *runs;                 /* of Run */
  GArray *ends;                 /* of End */
  GHashTable *highest_attempts; /* task -> highest attempt stopped or ended here */
  /* The following are only used in the kinds with stops.  While it stands still its tasks make no
   * progress, and it executes no calls. */
  uint64_t slow_until_ms;
  uint64_t stands_still_until_ms;
} Worker;

typedef struct
{
  char id[FB_WORK_JOB_ID_CHARS + 1];
  fb_work_admit record;
  gboolean submitted;
  gboolean admission_dropped; /* its end is stored, and the store has dropped its admission */
  gboolean cancelled;
  uint64_t cancelled_ms;
  /* Runs that ended with FB_END_DONE. */
  uint32_t done_runs[STEP_MAX][TASK_MAX];
  /* Such an end was acknowledged. */
  gboolean end_acknowledged[STEP_MAX][TASK_MAX];
  /* Starts sent before this time may still arrive after the acknowledged end; 0: none may. */
  uint64_t late_start_limit_ms[STEP_MAX][TASK_MAX];
  /* When it last started. */
  uint64_t started_ms[STEP_MAX][TASK_MAX];
  /* Acknowledged ends with FB_END_FAILED. */
  uint32_t failed_acknowledged[STEP_MAX][TASK_MAX];
  /* Runs that ended with FB_END_FAILED. */
  uint32_t failed_runs[STEP_MAX][TASK_MAX];
  /* Worker crashes during its runs that no task caused. */
  uint32_t plain_crashes[STEP_MAX][TASK_MAX];
  /* Worker crashes that it caused. */
  uint32_t own_crashes[STEP_MAX][TASK_MAX];
  /* Worker crashes during its runs that another task caused. */
  uint32_t other_crashes[STEP_MAX][TASK_MAX];
  /* Its starts since OWN_CRASHES reached CRASHED_START_LIMIT. */
  uint32_t crashed_starts[STEP_MAX][TASK_MAX];
  gboolean always_fails;
  /* The following are only used in the cancelling kinds. */
  gboolean lasting; /* its tasks run until they are stopped */
  CancelTrigger cancel_trigger;
  uint64_t cancel_due_ms; /* when it is cancelled unless its trigger is earlier; 0: never */
  guint crashing_tasks; /* this many tasks of its first step, from task 0 on, crash their workers */
  /* In the kinds with stops; 0: not drawn yet. */
  guint work_ms[STEP_MAX][TASK_MAX];
} Job;

typedef enum
{
  ORDER_START,
  ORDER_STOP,
  ORDER_POLL
} OrderKind;

typedef struct
{
  OrderKind kind;
  guint owner;
  uint64_t owner_incarnation;
  uint64_t order;
  guint worker;
  char worker_name[64]; /* the worker's name in the pool of the owner */
  char worker_id[32];   /* the id that the call addresses */
  char task[64];
  uint32_t attempt;
  char checkpoint[CHECKPOINT_CHARS + 1];
  uint64_t epoch;
  uint64_t deadline_ms;
  uint64_t acknowledged;
  uint32_t wait_ms;
  uint64_t sent_ms;
  uint64_t arrives_ms;
  uint64_t timeout_at_ms; /* when its sender stops waiting */
  gboolean has_ticket;
  guint copies;          /* number of times it had been sent when this copy was */
  FbOrderResult refusal; /* result without execution; FB_ORDER_DONE: it is executed */
  guint refusal_code;    /* status code of the refusal; 0: the usual one of REFUSAL */
  gboolean not_sent;     /* no connection was made for this copy */
  gboolean answer_lost;
  FbPollAnswer answer; /* the reply on its way back; only a poll's has lists */
  uint64_t answer_ms;  /* when the reply arrives; 0: there is none */
  gboolean arrived;
  guint arrived_incarnation; /* the worker's incarnation at the arrival */
  /* When the worker receives it, to execute it at ARRIVES_MS; 0: it is executed on receipt. */
  uint64_t received_ms;
  guint received_incarnation; /* the worker's incarnation on receipt; 0: not received yet */
  gboolean is_connecting;     /* the sender retries the connection: no process listens */
  uint64_t reply_by_ms;       /* when a poll without ends is answered */
  uint64_t store_read_ms;     /* when its sender had last read the store */
  gboolean follows_cancel;    /* its sender knew that the job of its task was cancelled */
  gboolean sender_stable;     /* its sender and the store had no fault for STABLE_AFTER_MS */
} Order;

typedef struct _World World;

typedef struct
{
  World *world;
  FbPool *pool; /* NULL: the daemon is not running */
  uint64_t incarnation;
  uint64_t epoch;
  gboolean paused;
  uint64_t resume_ms; /* when a stall ends; 0: the daemon is not stalled */
  gboolean fenced;
  uint64_t authority_ms; /* when it last had the authority to give orders */
  GPtrArray *flush;      /* of FbPoolRecord, on the way to the store; NULL: none */
  uint64_t flush_done_ms;
  uint64_t list_read_ms;
  uint64_t store_fenced_ms; /* when it fenced the previous writer at the store */
  gboolean list_complete;   /* it has read the whole list of workers once */
  gboolean is_listed[WORKER_N];
  char listed_ids[WORKER_N][64];
  GPtrArray *advice_requests; /* of AdviceRequest */
  /* The following are only used in the cancelling kinds. */
  gboolean cancel_read[JOB_MAX];
  uint64_t cancel_applied_ms[JOB_MAX]; /* when its pool was told; 0: not yet */
  guint known_incarnations[WORKER_N];  /* the last one that it has found in the list; 0: none */
  uint64_t entry_current_since_ms[WORKER_N]; /* since when the list shows the present one; 0: not */
} Owner;

/* Partitions of a daemon in kind "partitions"; unlike an Owner, they outlast the daemon's process.
 */
typedef struct
{
  uint64_t store_cut_until_ms; /* it does not reach the store before */
  uint64_t cut_until_ms;       /* it does not reach CUT_WORKERS before */
  gboolean cut_workers[WORKER_N];
  CutKind cut_kind; /* how calls to them fail */
} Daemon;

/* A request to the advice service that is not answered yet. */
typedef struct
{
  char *step;
  GPtrArray *workers; /* their ids */
  uint64_t answer_ms;
} AdviceRequest;

#define OWNER_N 2
#define PEER_N 3 /* daemons that relay orders, each to its share of the workers */
#define ADVICE_MS 30

struct _World
{
  GRand *rand;
  GRand *restart_rand; /* separate, so that RESTART_MODE does not change the other draws */
  RestartMode restart_mode;
  GHashTable *ids;         /* a worker's name in the pool -> the id that calls to it address */
  gboolean owners_stable;  /* owners and the store do not fail */
  gboolean shrinking;      /* the capacity of workers shrinks and grows */
  gboolean crashing;       /* an eighth of the jobs crash the workers that start them */
  gboolean repeats;        /* connections break, and calls on them are sent again */
  GRand *partition_rand;   /* separate, as RESTART_RAND */
  gboolean partitions;     /* pool-world-partitions.c injects faults */
  GRand *cancel_rand;      /* separate, as RESTART_RAND */
  gboolean cancelling;     /* pool-world-cancels.c cancels jobs */
  gboolean entries_expire; /* also while the store is unavailable */
  uint64_t outage_ms;      /* when the next outage of the store begins; 0: none is scheduled */
  uint64_t outage_end_ms;  /* likewise, the other faults of pool-world-partitions.c */
  uint64_t worker_cut_ms;
  uint64_t owner_kill_ms;
  uint64_t separation_ms;
  Daemon daemons[OWNER_N];
  /* The following are only used by pool-world-stops.c; 0: not so. */
  gboolean stops;
  GRand *stop_rand;
  uint64_t stop_fault_ms; /* when the owner fails that has ordered a stop */
  uint64_t path_cut_until_ms[OWNER_N][WORKER_N];
  uint64_t relay_still_until_ms[PEER_N];
  uint64_t owner_still_until_ms[OWNER_N];
  uint64_t max_lease_ms; /* longest lease that a worker grants */
  gboolean uses_advice;  /* half of the jobs are limited to some workers, a third may have copies */
  /* The following are only used by pool-world-restarts.c. */
  gboolean restarts;
  gboolean restarts_owners; /* owners fail too */
  GRand *restarts_rand;
  uint64_t owner_fault_ms; /* when the owner fails; 0: not so */
  /* The following are only used by pool-world-conclusions.c. */
  GHashTable *run_ends;    /* run on a worker -> when it ended; G_MAXUINT64: not yet */
  GHashTable *starts_over; /* start that an incarnation will not carry out -> proof */
  uint64_t now_ms;
  uint64_t connections_break_until_ms;
  gboolean healing;
  gboolean store_unavailable;
  uint64_t store_unavailable_ms;   /* when it was last unavailable; 0: never */
  uint64_t last_fault_ms[OWNER_N]; /* when the daemon was last killed or paused; 0: never */
  Worker workers[WORKER_N];
  Job jobs[JOB_MAX];
  guint job_n;
  Owner owners[OWNER_N];
  guint current_owner;                       /* the owner according to the store */
  FbRecentStarts *recent_starts[PEER_N];     /* the starts that each peer has relayed */
  FbSuspectBackups *suspect_backups[PEER_N]; /* of the same peers */
  guint peer_failures_n;
  uint64_t store_epoch;
  uint64_t current_owner_seen_ms;
  GHashTable *progress; /* job -> GBytes */
  GBytes *known_workers;
  GBytes *silent_workers; /* stored with KNOWN_WORKERS, or with an earlier record; NULL: none */
  GPtrArray *orders;      /* of Order */
  uint64_t last_incarnation;
  uint64_t starts;
  gboolean traced; /* events are printed with their time */
  char *violation; /* the first one; NULL: none */
};

/* Returns: TRUE when daemon I and the store had no fault for STABLE_AFTER_MS. */
gboolean world_is_stable (const World *world, guint i);
/* Records a violated invariant of the pool; later ones are ignored. */
void world_report_violation (World *world, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Prints an event when the run is traced. */
void world_trace (const World *world, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Returns: a number below N, drawn from the seed. */
guint world_random (World *world, guint n);

/* Returns: whether the advice service allows TASK, a task or a step, on WORKER; always the same for
 * the same arguments. */
gboolean world_allows (const char *task, guint worker);

/* Returns: (nullable): the job of TASK. */
Job *world_find_job (World *world, const char *task);

/* ---- incarnations: pool-world-incarnations.c ------------------------------------------------- */

/* Returns: a number below N, drawn for restarts of workers. */
guint world_restart_random (World *world, guint n);
/* Starts a new, empty incarnation of worker I, under a new id or its previous one. */
void world_worker_start (World *world, guint i);
/* The process of WORKER exits without being stopped; it may restart soon. */
void world_worker_fail (World *world, Worker *worker);
/* Returns: (transfer full): the name of the present incarnation of WORKER in a pool. */
char *world_worker_name (const World *world, const Worker *worker);
/* Returns: what the list has of WORKER now. */
Entry world_worker_entry (const World *world, const Worker *worker);

/* ---- workers: pool-world-workers.c ----------------------------------------------------------- */

/* Changes the capacity that WORKER reports. */
void world_worker_resize (World *world, Worker *worker, int64_t cpu_milli);
/* WORKER crashes with all its runs. CAUSE: the run that crashed it, or NULL. */
void world_worker_crash (World *world, Worker *worker, const Run *cause);
/* Counts a crash of the worker of TASK that no task caused. */
void world_worker_count_crash (World *world, const char *task);
void world_worker_tick (World *world, Worker *worker);
/* Executes the orders that have arrived, and delivers their replies and timeouts. */
void world_orders_tick (World *world);
void world_order_free (gpointer order);

/* ---- calls: pool-world-calls.c --------------------------------------------------------------- */

/* Sends ORDER (consumed), again when its connection breaks. */
void world_call (World *world, Order *order);
/* Returns: what the sender of ORDER gets when the worker answers RESULT at CLOCK_MS, passed through
 * the adapter that decodes replies; RESULT is FB_ORDER_UNKNOWN when no reply came. */
FbOrderResult world_reply (const Order *order, FbOrderResult result, uint64_t *clock_ms);
/* As world_reply() for a poll, with the runs and ends of WORKER; ANSWER is cleared with
 * fb_poll_answer_clear(). */
void world_poll_reply (const World *world, const Order *order, FbOrderResult result,
                       const Worker *worker, uint64_t clock_ms, FbPollAnswer *answer);

/* ---- partitions: pool-world-partitions.c ----------------------------------------------------- */

/* Returns: TRUE when daemon I reaches the store. */
gboolean world_daemon_reaches_store (const World *world, guint i);
/* An incarnation of WORKER has started. */
void world_partitions_worker_started (World *world, Worker *worker, gboolean reuses_id);
/* Writes the entries of workers in the list and removes those that have expired. */
void world_partitions_list_tick (World *world);
/* Returns: TRUE when ORDER does not reach its worker.  RESULT: what its sender gets, or
 * FB_ORDER_DONE when it gets no reply. */
gboolean world_call_is_blocked (const World *world, const Order *order, FbOrderResult *result);
/* Returns: TRUE when WORKER or daemon I is cut off from the other. */
gboolean world_partitions_separate (const World *world, guint i, const Worker *worker);
/* Returns: how long a run lasts at least. */
guint world_partitions_min_run_ms (World *world);
void world_partitions_inject_faults (World *world);
void world_partitions_heal (World *world);

/* ---- cancels: pool-world-cancels.c; no effect in other kinds --------------------------------- */

gboolean world_cancels_may_submit (World *world);
/* Changes JOB, which is about to be stored, and decides when it is cancelled. */
void world_cancels_submit (World *world, Job *job);
void world_cancels_order_sent (World *world, const Order *order);
void world_cancels_owner_changed (World *world);
void world_cancels_worker_crashed (World *world, const Worker *worker);
void world_cancels_end_acknowledged (World *world, Job *job, const char *task);
/* Returns: how long a run lasts at least. */
guint world_cancels_min_run_ms (World *world);
/* OWNER has read JOB and has passed it to its pool. */
void world_cancels_job_read (World *world, Owner *owner, const Job *job);
/* OWNER reads all cancels, or some of them, from the store. */
void world_cancels_read_all (World *world, Owner *owner);
void world_cancels_read_some (World *world, Owner *owner);
void world_cancels_check_start (World *world, const Job *job, const Order *order);
/* Cancels the jobs that are due, and checks that the tasks of cancelled jobs do not run on. */
void world_cancels_tick (World *world);

/* ---- stops: pool-world-stops.c; no effect in other kinds ------------------------------------- */

gboolean world_stops_may_submit (World *world);
/* Changes JOB, which is about to be stored. */
void world_stops_submit (World *world, Job *job);
/* Completes RUN, which ORDER starts. */
void world_stops_start_run (World *world, const Order *order, Run *run);
/* Returns: how long a stop takes; in other kinds STOP_DELAY_MS. */
guint world_stops_delay_ms (World *world);
/* Returns: TRUE when RUN ends because of its gang, with REASON. */
gboolean world_stops_gang_end (const World *world, const Run *run, FbEndReason *reason);
void world_stops_save_at_stop (Run *run);
/* RUN has ended; its worker has it no more, or has crashed. */
void world_stops_run_ended (World *world, const Run *run, FbEndReason reason);
/* An end with FB_END_DONE of a task of STEP was acknowledged. */
void world_stops_done_acknowledged (const World *world, Job *job, guint step);
gboolean world_stops_stands_still (const World *world, const Worker *worker);
/* Returns: TRUE while WORKER, which has received ORDER, stands still. */
gboolean world_stops_hold_call (const World *world, const Worker *worker, Order *order);
/* Returns: TRUE when the sender of ORDER does not reach its worker. */
gboolean world_stops_path_is_cut (const World *world, const Order *order);
gboolean world_stops_relay_stands_still (const World *world, const Order *order);
void world_stops_order_sent (World *world, Order *order);
void world_stops_inject_faults (World *world);
void world_stops_heal (World *world);
void world_stops_tick (World *world);

/* Returns: TRUE once when the time of *DUE_MS has come; 0: it does not come. */
static inline gboolean
world_is_due (const World *world, uint64_t *due_ms)
{
  if (*due_ms == 0 || world->now_ms < *due_ms)
    return FALSE;
  *due_ms = 0;
  return TRUE;
}

/* ---- restarts: pool-world-restarts.c; no effect in other kinds ------------------------------- */

void world_restarts_init (World *world);
gboolean world_restarts_may_submit (World *world);
/* Changes JOB, which is about to be stored. */
void world_restarts_submit (World *world, Job *job);
/* Returns: how long a run lasts at least. */
guint world_restarts_min_run_ms (World *world);
/* An incarnation of WORKER has started. */
void world_restarts_worker_started (World *world, Worker *worker, gboolean reuses_id);
/* WORKER has crashed, with ends that were not acknowledged. */
void world_restarts_worker_crashed (World *world, const Worker *worker);
/* A worker has received ORDER and carries it out late. */
void world_restarts_order_received (const World *world, Order *order);
/* The call of ORDER, a start, has timed out. */
void world_restarts_start_unanswered (World *world, const Order *order);
void world_restarts_inject_faults (World *world);
void world_restarts_heal (World *world);

/* ---- conclusions: pool-world-conclusions.c --------------------------------------------------- */

/* Checks the conclusions of the owners of WORLD, if its kind does or margins are kept. */
void world_conclusions_begin (World *world);
void world_conclusions_end (World *world);
void world_conclusions_run_started (World *world, const Worker *worker, const Run *run);
void world_conclusions_run_ended (World *world, const Worker *worker, const Run *run);
void world_conclusions_keep_margins (void);
void world_conclusions_print_margins (void);

/* ---- owners: pool-world-owners.c ------------------------------------------------------------- */

/* Returns: the recent starts of the peer that relays orders to WORKER. */
FbRecentStarts *world_recent_starts (World *world, guint worker);
/* One of the peers, in round-robin order, fails with the owner and loses what it stores. */
void world_peer_fail (World *world);
void world_owner_start (World *world, guint i);
void world_owner_stop (World *world, guint i);
void world_owner_tick (World *world, guint i);
/* The store assigns the pool to another daemon when the owner has been gone for TTL_MS. */
void world_assign_pool (World *world);
