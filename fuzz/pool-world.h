/* The world of a fuzzing run: workers, a store and owners, all of which fail, and the
 * truth about every run on them.  It shares no code with the pool that it judges;
 * only what its carriers remember of starts is kept by the product's own code. */
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
#define CONTACT_MS 3000
#define MAX_CRASHES 2  /* after these a task may be given up */
#define STARTS_AFTER 3 /* so many starts more are too many after so many crashes */
#define CPU 16000
#define ROOM_GRACE_MS 4500 /* a room that has shrunk counts so much later */
#define STOP_TAKES_MS 150
#define HOLD_MAX_MS 6000 /* longest lease that a worker grants */
#define TTL_MS 1000
#define MAJORITY_MS 1500
#define STEP_DOWN_MS 2000
#define STALL_MOST_MS 3000
#define ENDS_LISTED 6 /* in one answer, where calls are repeated */
#define LIST_LAG_MS 300
#define SILENCE_MS 4500
#define WALL_MS 1000000000
#define RETURN_MOST_MS 2000 /* a process that ended by itself is back so soon */
#define ENTRY_LAG_MS 1500   /* a worker writes to its entry so often */

/* Under which id the next life of a worker starts. */
typedef enum
{
  RETURNS_EITHER_WAY,    /* by the seed */
  RETURNS_UNDER_NEW_IDS, /* always another one; workers do not say when they were born */
  RETURNS_WITH_OLD_CALLS /* as the first, and a life carries out late what another had taken */
} Returns;

typedef struct
{
  char task[64];
  uint32_t attempt;
  uint64_t ends_ms;
  uint64_t max_stop_ms; /* when an ordered stop takes effect; 0: none */
  uint64_t crash_ms;    /* when it takes its worker down; 0: never */
  gboolean fails;
} Run;

typedef struct
{
  uint64_t number;
  char task[64];
  uint32_t attempt;
  FbEndReason how;
  uint64_t at_ms;
  gboolean lapsed; /* a lease of its worker ended since */
} End;

/* What a worker's entry says of it. */
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
  uint64_t clock_from_ms;          /* what its clock showed then */
  Entry before;                    /* of the life before under this id */
  uint64_t entry_ms;               /* until then its entry is the one of the life before */
  uint64_t stale_ms;       /* when a late write brings that one back for a moment; 0: never */
  uint64_t crash_again_ms; /* when it crashes once more; 0: it does not */
  gboolean up;
  gboolean cut; /* nothing gets through */
  gboolean listed;
  gboolean draining;
  gboolean failing;        /* it breaks connections and refuses calls */
  int64_t cpu_milli;       /* what it has; it may shrink and grow */
  int64_t cpu_before;      /* the most that it had within ROOM_GRACE_MS before that */
  uint64_t cpu_changed_ms; /* when its list last showed a change */
  uint64_t back_ms;        /* when it starts again after a task took it down; 0: not for that */
  uint64_t silent_ms;      /* since when the list has heard nothing; 0: it hears */
  uint64_t began_ms;
  uint32_t slow_permille; /* of its clock */
  uint64_t token;
  uint64_t lease_ms;
  uint64_t next_end;
  uint64_t acknowledged;
  GArray *runs;        /* of Run */
  GArray *ends;        /* of End */
  GHashTable *highest; /* task -> highest attempt stopped or ended here */
} Worker;

typedef struct
{
  char id[FB_WORK_JOB_ID_CHARS + 1];
  fb_work_admit record;
  gboolean submitted;
  gboolean spent; /* its end is stored, and its admission is not any more */
  gboolean cancelled;
  uint64_t cancelled_ms;
  uint32_t done[STEP_MAX][TASK_MAX];         /* runs that ended done */
  gboolean noted[STEP_MAX][TASK_MAX];        /* such an end was acknowledged */
  uint64_t excused_ms[STEP_MAX][TASK_MAX];   /* starts that were sent before may arrive after it */
  uint64_t started_ms[STEP_MAX][TASK_MAX];   /* its last start */
  uint32_t failed[STEP_MAX][TASK_MAX];       /* failed ends that were acknowledged */
  uint32_t fell[STEP_MAX][TASK_MAX];         /* runs that ended failed */
  uint32_t crashed[STEP_MAX][TASK_MAX];      /* workers that crashed under it, by no task's doing */
  uint32_t took_down[STEP_MAX][TASK_MAX];    /* workers that it crashed */
  uint32_t beside[STEP_MAX][TASK_MAX];       /* workers that another task crashed under it */
  uint32_t starts_after[STEP_MAX][TASK_MAX]; /* its starts since these were STARTS_AFTER */
  gboolean poison;
  guint crashers; /* how many tasks of its first step crash their workers, from the first on */
} Job;

typedef enum
{
  ORDER_START,
  ORDER_STOP,
  ORDER_LOOK
} OrderKind;

typedef struct
{
  OrderKind kind;
  guint owner;
  uint64_t owner_life;
  uint64_t order;
  guint worker;
  char worker_name[64]; /* what its owner calls the worker */
  char worker_id[32];   /* whom the call is for */
  char task[64];
  uint32_t attempt;
  uint64_t epoch;
  uint64_t deadline_ms;
  uint64_t acknowledged;
  uint32_t wait_ms;
  uint64_t sent_ms;
  uint64_t arrives_ms;
  uint64_t gives_up_ms;  /* the sender's time limit */
  gboolean ticket;       /* it carries one */
  guint copies;          /* how often it had been sent when this copy went out */
  FbOrderResult refusal; /* FB_ORDER_DONE: it is not refused before it is looked at */
  guint refusal_code;    /* 0: the one of REFUSAL */
  gboolean unsent;       /* this copy found no connection */
  gboolean answer_lost;
  FbPollAnswer answer; /* that is on its way back; of other orders without lists */
  uint64_t answer_ms;  /* when it is back; 0: there is none */
  gboolean arrived;
  guint arrived_life; /* of its worker */
  uint64_t taken_ms;  /* when its worker takes it, to carry it out later; 0: it is not late */
  guint taken_life;   /* of its worker; 0: not taken yet */
  gboolean waits;     /* its connection is not made yet: nobody listens */
  uint64_t waits_until_ms;
  uint64_t knows_ms; /* until when its sender had read the store */
  gboolean in_touch; /* its sender and the store had been undisturbed for CONTACT_MS */
} Order;

typedef struct _World World;

typedef struct
{
  World *world;
  FbPool *pool; /* NULL: dead */
  uint64_t incarnation;
  uint64_t epoch;
  gboolean paused;
  uint64_t resumes_ms; /* when it goes on by itself after a stall; 0: it does not */
  gboolean fenced;
  uint64_t authority_ms;
  GPtrArray *flush;
  uint64_t flush_done_ms;
  uint64_t list_seen_ms;
  uint64_t fenced_store_ms; /* when it shut the writer before out */
  gboolean complete;
  gboolean in_shown[WORKER_N];
  char shown[WORKER_N][64];
  GPtrArray *questions; /* of Question */
} Owner;

/* A question for advice, on its way. */
typedef struct
{
  char *step;
  GPtrArray *workers; /* their ids */
  uint64_t answer_ms;
} Question;

#define OWNER_N 2
#define CARRIER_N 3 /* daemons that carry orders, each to its part of the workers */
#define ADVICE_MS 30

struct _World
{
  GRand *rand;
  GRand *return_rand; /* of its own, so that the rest of a run does not depend on returns */
  Returns returns;
  GHashTable *ids;    /* what owners call a worker -> whom calls for it name */
  gboolean steady;    /* owners live on and the store stays */
  gboolean shrinking; /* the rooms of workers shrink and grow */
  gboolean crashing;  /* an eighth of the jobs crash the workers that start them */
  gboolean repeats;   /* connections break, and calls on them are sent again */
  gboolean advised;   /* half of the jobs may use some workers only, a third may have copies */
  uint64_t now_ms;
  uint64_t breaking_ms; /* until when connections to all workers break */
  gboolean healing;
  gboolean store_away;
  uint64_t store_away_ms;         /* when it was last away; 0: never */
  uint64_t disturbed_ms[OWNER_N]; /* when the daemon was last killed or paused; 0: never */
  Worker workers[WORKER_N];
  Job jobs[JOB_MAX];
  guint job_n;
  Owner owners[OWNER_N];
  guint current; /* the owner that the store knows */
  FbRecentStarts *carriers[CARRIER_N];
  FbSuspectBackups *keepers[CARRIER_N]; /* the same daemons */
  guint carriers_lost_n;
  uint64_t store_epoch;
  uint64_t current_seen_ms;
  GHashTable *progress; /* job -> GBytes */
  GBytes *known_workers;
  GPtrArray *orders;
  uint64_t incarnations;
  uint64_t starts;
  gboolean traced; /* what happens is printed, with the time */
  char *broken;
};

/* TRUE when daemon I and the store have been undisturbed for CONTACT_MS. */
gboolean world_in_touch (const World *world, guint i);
/* Notes that a promise of the pool was broken; the first one counts. */
void world_broke (World *world, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Prints what happens, where the run is traced. */
void world_trace (const World *world, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Returns: a number below N, drawn from the seed. */
guint world_chance (World *world, guint n);

/* What the advice service allows: it never changes.  TASK may also be a step's name. */
gboolean world_allows (const char *task, guint worker);

/* ---- lives: pool-world-lives.c -------------------------------------------------------------- */

/* Returns: a number below N, drawn for what returns do. */
guint world_return_chance (World *world, guint n);
/* Begins a new life of worker I, empty: under a new id or the one it had. */
void world_worker_begin (World *world, guint i);
/* WORKER ends by itself; it may be back soon. */
void world_worker_fail (World *world, Worker *worker);
/* Returns: what the list has of WORKER now. */
Entry world_worker_entry (const World *world, const Worker *worker);

/* ---- workers: pool-world-workers.c ----------------------------------------------------------- */

/* WORKER says of itself that it has CPU_MILLI now. */
void world_worker_resize (World *world, Worker *worker, int64_t cpu_milli);
/* The worker dies with all that runs there.  BY: who did it, or NULL. */
void world_worker_crash (World *world, Worker *worker, const Run *by);
void world_worker_tick (World *world, Worker *worker);
/* Orders that are due arrive, and those without an answer are given up. */
void world_orders_tick (World *world);
void world_order_free (gpointer order);

/* ---- calls: pool-world-calls.c ------------------------------------------------------------ */

/* Sends ORDER (consumed), and again where its connection breaks. */
void world_call (World *world, Order *order);
/* What ORDER comes to at its sender when RESULT is what the worker says at CLOCK_MS, by way of the
 * adapter that decodes replies; FB_ORDER_UNKNOWN: nothing was heard. */
FbOrderResult world_reply (const Order *order, FbOrderResult result, uint64_t *clock_ms);
/* The same for a look, with what runs and ended on WORKER; ANSWER is cleared with
 * fb_poll_answer_clear(). */
void world_reply_to_look (const World *world, const Order *order, FbOrderResult result,
                          const Worker *worker, uint64_t clock_ms, FbPollAnswer *answer);

/* ---- owners: pool-world-owners.c -------------------------------------------------------- */

/* Returns: who carries orders to WORKER. */
FbRecentStarts *world_carrier (World *world, guint worker);
/* A daemon dies with the owner: a carrier, each in turn. */
void world_carrier_die (World *world);
void world_owner_begin (World *world, guint i);
void world_owner_end (World *world, guint i);
void world_owner_tick (World *world, guint i);
/* The store deals the pool to another daemon when its owner is gone for long. */
void world_deal (World *world);
