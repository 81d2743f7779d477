/* A pool: the workers of one service and the graph jobs that run on them.
 *
 * One daemon owns a pool at a time and alone decides what starts there.  The pool
 * has no I/O, clock or thread: events come in as calls with the time, orders go
 * out through the sink.  Times are in ms on a clock that also counts while the
 * host is suspended; WALL times are in ms since 1970.
 *
 * Safety rests on the workers.  Every order carries the epoch of its owner, and a
 * worker refuses lower epochs, so an owner that was replaced is told by the first
 * worker that it speaks to.  What runs is what the workers list; nothing is started
 * before each worker of the pool has answered under the present epoch, or its lease
 * has certainly ended. */
#pragma once

#include "rpc/work.h"

#include <glib.h>
#include <stdint.h>

typedef struct _FbPool FbPool;

/* ---- what workers say --------------------------------------------------- */

typedef struct
{
  const char *id; /* one life of a worker */
  const char *address;
  const char *rack;          /* may be NULL */
  const char *const *labels; /* NULL-terminated */
  uint32_t cpu_milli;
  uint32_t mem_mb;
  uint32_t gpu_count;
  gboolean draining;
  gboolean may_restart; /* a later life may take calls that are meant for this one */
} FbWorkerEntry;

typedef struct
{
  char *task;
  uint32_t attempt;
  char *checkpoint;
} FbReportedRun;

typedef enum
{
  FB_END_DONE,
  FB_END_FAILED,
  FB_END_STOPPED,
  FB_END_LEASE_EXPIRED,
  FB_END_GANG_BROKEN, /* another member of its gang ended */
  FB_END_GANG_TIMEOUT /* it waited too long for its gang */
} FbEndReason;

typedef struct
{
  uint64_t number; /* grows over one life of the worker */
  char *task;
  uint32_t attempt;
  FbEndReason how;
  char *checkpoint;
} FbReportedEnd;

/* How a worker answered an order. */
typedef enum
{
  FB_ORDER_DONE,
  FB_ORDER_FENCED,     /* a higher epoch was seen */
  FB_ORDER_SUPERSEDED, /* this attempt or a higher one was there */
  FB_ORDER_PAST_DEADLINE,
  FB_ORDER_NO_CAPACITY,
  FB_ORDER_BAD_TICKET,
  FB_ORDER_NOT_DONE,          /* it certainly did nothing */
  FB_ORDER_OTHER_INCARNATION, /* another life of a worker is at this address */
  FB_ORDER_NO_LISTENER,       /* its host answers that nothing listens there; it did nothing */
  FB_ORDER_UNKNOWN            /* it may be carried out, now or later */
} FbOrderResult;

/* Returns: a word for the log; static. */
const char *fb_order_result_name (FbOrderResult result);

typedef struct
{
  FbOrderResult result;
  uint64_t clock_ms; /* the worker's, 0 if not told */
  GArray *running;   /* of FbReportedRun; NULL unless DONE */
  GArray *finished;  /* of FbReportedEnd */
  char *incarnation; /* of OTHER_LIFE: the one that answered, if it takes what is meant for the life
                      * that was asked; else NULL */
} FbPollAnswer;

/* ---- orders --------------------------------------------------------------- */

typedef struct
{
  uint64_t order; /* names it in the answer */
  const char *worker;
  const char *address;
  uint64_t epoch;
  const char *task;
  uint32_t attempt;
  const char *payload;
  const char *checkpoint; /* "" for none */
  const char *ticket;     /* NULL for none */
  uint64_t deadline_ms;   /* on the worker's clock */
} FbStartOrder;

typedef struct
{
  uint64_t order;
  const char *worker;
  const char *address;
  uint64_t epoch;
  const char *task;
  uint32_t attempt;
} FbStopOrder;

typedef struct
{
  const char *worker;
  const char *address;
  uint64_t epoch;
  uint64_t acknowledged;
  uint64_t deadline_ms; /* on the worker's clock; 0: extends no lease */
  uint32_t wait_ms;     /* for news, at the worker */
  uint32_t answer_ms;   /* given up when it has not answered so long after that */
} FbPollOrder;

/* Everything passed is borrowed for the call. */
typedef struct
{
  void (*start) (gpointer user, const FbStartOrder *order);
  void (*stop) (gpointer user, const FbStopOrder *order);
  void (*poll) (gpointer user, const FbPollOrder *order);
  /* EXPECTED_MS: what the advice service needs for it.
   * Returns: FALSE when no daemon can take the question now. */
  gboolean (*advise) (gpointer user, const char *step, const char *const *workers, guint n,
                      uint32_t expected_ms);
  /* A worker knows of a higher epoch: the pool must not be used any more. */
  void (*fenced) (gpointer user, const char *worker);
  /* Returns: TRUE when LIFE began after OTHER, under the same id.  NULL: no worker starts again
   * under its id. */
  gboolean (*is_newer_incarnation) (const char *incarnation, const char *other);
} FbPoolSink;

/* Limits that come from the site. */
typedef struct
{
  uint32_t max_lease_ms; /* longest lease that a worker grants */
  uint32_t max_stop_ms;  /* longest time that a stop takes */
  uint32_t gang_wait_ms;
  /* Workers that may crash under a task: if nothing else was on one of them that could have done
   * it, and in any case; 0: what the pool takes by itself. */
  uint32_t max_isolated_crashes;
  uint32_t max_shared_crashes;
  /* Ends that a worker lists in one answer; 0: what the pool takes by itself. */
  uint32_t max_reported_ends;
} FbPoolLimits;

/* ---- life ------------------------------------------------------------------ */

FbPool *fb_pool_new (const char *service, uint64_t epoch, const FbPoolLimits *limits,
                     const FbPoolSink *sink, gpointer user, uint64_t now_ms);
void fb_pool_free (FbPool *self);

/* ---- events ---------------------------------------------------------------- */

/* A worker is listed, or its entry changed. */
void fb_pool_worker_listed (FbPool *self, const FbWorkerEntry *entry, uint64_t now_ms);
/* A worker is no longer listed: it left, or was silent for long. */
void fb_pool_worker_unlisted (FbPool *self, const char *id, uint64_t now_ms);
/* What was passed in is all that the platform listed at a moment after the pool was
 * made: an older list may lack a worker that the owner before has used. */
void fb_pool_workers_complete (FbPool *self);
/* Workers that the owner before knew; comes before fb_pool_workers_complete(). */
void fb_pool_restore_workers (FbPool *self, const fb_work_workers *record);

/* Takes a job into the pool; a job that it knows is left as it is. */
void fb_pool_admit (FbPool *self, const char *job, const fb_work_admit *record, uint64_t now_ms,
                    uint64_t wall_ms);
/* The same, without a copy: takes over what RECORD holds, allocated as XDR does it, and leaves it
 * empty; of a job that it knows, RECORD stays the caller's. */
void fb_pool_admit_owned (FbPool *self, const char *job, fb_work_admit *record, uint64_t now_ms,
                          uint64_t wall_ms);
/* What an earlier owner recorded; comes after the admission of the job, which a job that has
 * ended may lack. */
void fb_pool_restore (FbPool *self, const char *job, const fb_work_progress *record,
                      const fb_work_suspects *suspects, uint64_t now_ms);
/* Every job that was stored before UNTIL_MS has been passed in: what names another one
 * names none.  Until then runs and ends of jobs that are not known are left alone. */
void fb_pool_jobs_read (FbPool *self, uint64_t until_ms);
/* Starts by earlier owners of which no record may tell; rows of other pools are passed over. */
void fb_pool_import_starts (FbPool *self, const fb_recent_starts_reply *told, uint64_t now_ms);
void fb_pool_cancel (FbPool *self, const char *job, uint64_t now_ms, uint64_t wall_ms);
/* Policies changed.  POLICIES: name of a queue -> fb_work_policy; a queue that is not there
 * keeps the one it has. */
void fb_pool_policies (FbPool *self, GHashTable *policies);

void fb_pool_poll_answered (FbPool *self, const char *worker, const FbPollAnswer *answer,
                            uint64_t now_ms, uint64_t wall_ms);
void fb_pool_start_answered (FbPool *self, uint64_t order, FbOrderResult result, uint64_t clock_ms,
                             uint64_t now_ms);
void fb_pool_stop_answered (FbPool *self, uint64_t order, FbOrderResult result, uint64_t clock_ms,
                            uint64_t now_ms);
/* TOLD is NULL when the question failed. */
void fb_pool_advised (FbPool *self, const char *step, const char *const *asked, guint n,
                      const fb_advice_reply *told, uint64_t now_ms);

/* Lets time pass and, with MAY_START, starts what can start; to be called after
 * events and at least every 100 ms. */
void fb_pool_tick (FbPool *self, gboolean may_start, uint64_t now_ms, uint64_t wall_ms);

/* ---- durability -------------------------------------------------------------- */

typedef struct
{
  char *job;        /* NULL: the record of the pool's workers */
  GBytes *progress; /* NULL: all records of the job can go */
  gboolean ended;   /* once this is stored the job's admission is needed no more */
} FbPoolRecord;

/* Begins a flush of everything that changed.  One flush is open at a time.
 * Returns: (transfer full): FbPoolRecord entries, or NULL when nothing changed. */
GPtrArray *fb_pool_flush (FbPool *self, uint64_t now_ms, uint64_t wall_ms);
/* The open flush is stored: ends in it may be acknowledged and shown. */
void fb_pool_flushed (FbPool *self, uint64_t now_ms);

/* What is held against tasks of a job, and not stored yet. */
typedef struct
{
  char *job;
  GBytes *suspects; /* fb_work_suspects; NULL: it is stored, or nothing is held against them */
} FbPoolUnstoredSuspects;

/* What other daemons are to keep for the next owner, while the store takes nothing, or to forget.
 * Returns: (transfer full): of FbPoolUnstoredSuspects, or NULL when there is nothing new. */
GPtrArray *fb_pool_take_unstored_suspects (FbPool *self, uint64_t now_ms);
/* Another daemon has kept SUSPECTS of JOB for an earlier owner. */
void fb_pool_import_suspects (FbPool *self, const char *job, const fb_work_suspects *suspects,
                              uint64_t now_ms);

/* ---- queries ------------------------------------------------------------------ */

/* Returns: FALSE for a job that the pool does not know. */
gboolean fb_pool_job_state (const FbPool *self, const char *job, fb_work_state *state);
/* Returns: accepted jobs of QUEUE without a time of their own and without a start. */
uint32_t fb_pool_pending (const FbPool *self, const char *queue);
/* TRUE while a majority of the listed workers answered looks under this epoch that
 * were sent within the last WITHIN_MS.  While it holds, no other daemon can have passed its own
 * check of a majority, as workers refuse the lower of two epochs. */
gboolean fb_pool_holds_majority (const FbPool *self, uint32_t within_ms, uint64_t now_ms);
