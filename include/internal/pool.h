/* A pool: the workers of one service and the jobs (graphs of steps) that run on them.
 *
 * One daemon at a time owns a pool and alone decides what starts there. The pool does no I/O and
 * has no clock or thread: events are passed in as calls that contain the time, and orders are sent
 * through callbacks. Times are in ms on a clock that also counts while the host is suspended; WALL
 * times are in ms since 1970.
 *
 * The workers carry out the orders of one owner only. Every order carries the epoch of its owner,
 * and a worker refuses epochs lower than the highest one it has seen, so the first worker that a
 * replaced owner calls reports the replacement. What runs is what the workers report; a task is not
 * started while a worker may still run it that has not answered under the present epoch and whose
 * lease may be valid. */
#pragma once

#include "internal/account.h"
#include "internal/admission.h"
#include "rpc/work.h"

#include <glib.h>
#include <stdint.h>

/* Results are kept this long after a job has ended, for late requests from callers. */
#define FB_POOL_ENDED_JOB_RETENTION_MS 300000
/* An owner starts nothing and extends no lease later than this after a majority of the workers has
 * answered its successor, as nothing confirms its ownership any more. */
#define FB_POOL_STEP_DOWN_MS 2000
/* Time for which a worker counts for the majority that is found missing in the list, or that only
 * the record names. Live workers write their entries again within 2 s of the store's return. */
#define FB_POOL_UNLISTED_COUNTED_MS 3000

typedef struct _FbPool FbPool;

/* ---- reports of workers --------------------------------------------------- */

typedef struct
{
  const char *id; /* names one incarnation of a worker, that is, one run of its process */
  const char *address;
  const char *rack;          /* NULL: not known */
  const char *const *labels; /* NULL-terminated */
  uint32_t cpu_milli;
  uint32_t mem_mb;
  uint32_t gpu_count;
  gboolean draining; /* will exit soon: gets no new work */
} FbWorkerEntry;

typedef struct
{
  char *task; /* name of the task: JOB.OCCURRENCE.STEP.INDEX */
  uint32_t attempt;
  char *checkpoint; /* the last one that the run saved; "" or NULL: none */
  uint8_t percent;  /* percent done; FB_PERCENT_NOT_REPORTED: not reported */
} FbReportedRun;

#define FB_PERCENT_NOT_REPORTED 255

typedef enum
{
  FB_END_DONE,
  FB_END_FAILED,
  FB_END_STOPPED,
  FB_END_LEASE_EXPIRED,
  FB_END_GANG_BROKEN, /* another member of its gang ended */
  FB_END_GANG_TIMEOUT /* the rest of its gang did not start in time */
} FbEndReason;

typedef struct
{
  uint64_t number; /* grows during one incarnation of the worker */
  char *task;
  uint32_t attempt;
  FbEndReason reason;
  char *checkpoint; /* as in FbReportedRun */
} FbReportedEnd;

/* How a worker answered an order. */
typedef enum
{
  FB_ORDER_DONE,
  FB_ORDER_FENCED,        /* the worker has seen a higher epoch */
  FB_ORDER_SUPERSEDED,    /* the worker already has this attempt or a higher one */
  FB_ORDER_PAST_DEADLINE, /* the order arrived after its deadline */
  FB_ORDER_NO_CAPACITY,
  FB_ORDER_BAD_TICKET,        /* the worker refused the ticket */
  FB_ORDER_NOT_DONE,          /* the order was certainly not carried out */
  FB_ORDER_OTHER_INCARNATION, /* another incarnation of a worker is at this address */
  FB_ORDER_NO_LISTENER, /* the host reports that nothing listens at the address; the order was not
                           carried out */
  FB_ORDER_UNKNOWN      /* no valid answer: the order may have been carried out, or may be later */
} FbOrderResult;

/* Returns: the name of RESULT for the log; static. */
const char *fb_order_result_name (FbOrderResult result);

typedef struct
{
  FbOrderResult result;
  uint64_t clock_ms; /* the worker's clock; 0: not reported */
  GArray *running;   /* of FbReportedRun; NULL unless RESULT is FB_ORDER_DONE */
  GArray *finished;  /* of FbReportedEnd; NULL unless RESULT is FB_ORDER_DONE */
  /* With FB_ORDER_OTHER_INCARNATION: id of the incarnation that answered, if it accepts calls that
   * are meant for the addressed one; NULL otherwise. */
  char *incarnation;
} FbPollAnswer;

/* ---- orders --------------------------------------------------------------- */

typedef struct
{
  uint64_t order;     /* number of the order, passed back with the answer */
  const char *worker; /* id of the worker */
  const char *address;
  uint64_t epoch; /* epoch of this owner */
  const char *task;
  uint32_t attempt;
  const char *payload;    /* payload of the job */
  const char *checkpoint; /* "": none */
  const char *ticket;     /* NULL: none */
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
  uint64_t acknowledged; /* the worker need not list ends up to this number any more; 0: none */
  /* New end of the lease, on the worker's clock; 0: the lease is not extended. */
  uint64_t deadline_ms;
  uint32_t wait_ms;    /* how long the worker may delay its answer while it has nothing to report */
  uint32_t timeout_ms; /* the poll has failed when no answer has arrived this long after WAIT_MS */
} FbPollOrder;

/* Callbacks of the pool's owner.  All arguments are borrowed for the duration of the call. */
typedef struct
{
  void (*start) (gpointer user, const FbStartOrder *order);
  void (*stop) (gpointer user, const FbStopOrder *order);
  void (*poll) (gpointer user, const FbPollOrder *order);
  /* Requests advice on which of the N WORKERS may run STEP. EXPECTED_MS: time that the advice
   * service needs for the answer. Returns: FALSE when no daemon can forward the request now. */
  gboolean (*request_advice) (gpointer user, const char *step, const char *const *workers, guint n,
                              uint32_t expected_ms);
  /* WORKER has seen a higher epoch: the pool must not be used any more. */
  void (*fenced) (gpointer user, const char *worker);
  /* Returns: TRUE when INCARNATION began after OTHER, under the same id.  NULL: no worker restarts
   * under its id. */
  gboolean (*is_newer_incarnation) (const char *incarnation, const char *other);
  /* Returns: TRUE when JOB is stored, but not added to a pool yet; the previous owner may have run
   * it. NULL: there are no such jobs. */
  gboolean (*is_job_held) (gpointer user, const char *job);
  /* Returns: TRUE when a later incarnation may receive calls that are meant for INCARNATION.  NULL:
   * no worker restarts under its id. */
  gboolean (*may_restart) (const char *incarnation);
} FbPoolCallbacks;

/* Returns: how many requests to the advice service of EXPECTED_MS each could be forwarded now. */
typedef guint (*FbPoolIdleDaemonsFunc) (gpointer user, uint32_t expected_ms);

/* Limits that are configured for the deployment. */
typedef struct
{
  uint32_t max_lease_ms; /* longest lease that a worker grants */
  uint32_t max_stop_ms;  /* longest time that a stop takes */
  /* How long a worker lets a started run wait for the rest of its gang; the pool does not use it.
   */
  uint32_t gang_wait_ms;
  /* Number of crashed workers at which the job of a task fails; 0: the pool's default. The first
   * limit applies when no other run on one of the workers could have caused its crash and the
   * evidence is sufficient, the second, which is no lower, otherwise; see pool-crash.c. */
  uint32_t max_isolated_crashes;
  uint32_t max_shared_crashes;
  /* Ended runs that a worker lists in one answer; 0: the pool's default. */
  uint32_t max_reported_ends;
  /* Largest record of a job; what does not fit is left out, see pool-compact.h. 0: no limit. */
  uint32_t max_progress_bytes;
  /* Largest record of workers for which the steps on draining ones are recorded; 0: no limit. */
  uint32_t max_workers_bytes;
  /* Largest record of silent workers; 0: no limit. */
  uint32_t max_silence_bytes;
  /* Other pools share the caps of client accounts: an account that has a cap may use nothing here
   * before fb_pool_set_account_part(). */
  gboolean caps_are_divided;
} FbPoolLimits;

/* ---- creation -------------------------------------------------------------- */

FbPool *fb_pool_new (const char *service, uint64_t epoch, const FbPoolLimits *limits,
                     const FbPoolCallbacks *callbacks, gpointer user, uint64_t now_ms);
void fb_pool_free (FbPool *self);

/* ---- events ---------------------------------------------------------------- */

/* The platform lists a worker, or its entry has changed. */
void fb_pool_worker_listed (FbPool *self, const FbWorkerEntry *entry, uint64_t now_ms);
/* The platform no longer lists the worker: it has left, or was silent for a long time. */
void fb_pool_worker_unlisted (FbPool *self, const char *id, uint64_t now_ms);
/* The workers passed in so far are all that the platform listed at some moment after the pool was
 * created.  An older list may lack a worker that the previous owner has used. */
void fb_pool_workers_complete (FbPool *self);
/* Adds the workers that the previous owner recorded; must be called before
 * fb_pool_workers_complete(). */
void fb_pool_restore_workers (FbPool *self, const fb_work_workers *record);
/* The record of workers cannot be read: the previous owner may have used workers that are not
 * listed. */
void fb_pool_workers_unreadable (FbPool *self);
/* Restores the record of silent workers; must be called before fb_pool_restore_workers(). WORKERS:
 * the newest record of workers, as stored. FENCED_MS: a time from which on the previous owner could
 * store nothing. Returns: FALSE when SILENT_WORKERS is malformed; a
 * record that does not belong to WORKERS is ignored. */
gboolean fb_pool_restore_silent_workers (FbPool *self, GBytes *workers, GBytes *silent_workers,
                                         uint64_t fenced_ms);

/* What an earlier owner can have done with a job, as of when the job was received. */
typedef struct
{
  uint64_t stored_after_ms; /* all jobs that were stored before this time were known */
  gboolean was_advised;     /* its starts needed tickets of the advice service */
} FbPoolReceipt;

/* Returns: the receipt of a job that is received now with RECORD. */
FbPoolReceipt fb_pool_make_receipt (const FbPool *self, const fb_work_admit *record);
/* Adds a job to the pool; no effect when the pool already has it. */
void fb_pool_add_job (FbPool *self, const char *job, const fb_work_admit *record, uint64_t now_ms,
                      uint64_t wall_ms);
/* Returns: (transfer full) (nullable): the record of JOB; NULL when it is not known, or has ended.
 */
GBytes *fb_pool_encode_admission (const FbPool *self, const char *job);
/* Like fb_pool_add_job() without a copy: takes over the contents of RECORD, allocated as XDR does
 * it, and leaves it empty. When the pool already has the job, RECORD remains the caller's. */
void fb_pool_add_job_take (FbPool *self, const char *job, fb_work_admit *record,
                           const FbPoolReceipt *receipt, uint64_t now_ms, uint64_t wall_ms);
/* Restores what an earlier owner recorded of a job.  The job must have been added before, unless it
 * has ended. */
void fb_pool_restore_job (FbPool *self, const char *job, const fb_work_progress *record,
                          const fb_work_suspects *suspects, uint64_t now_ms);
/* Every job that was stored before UNTIL_MS has been added: a reported run or end of any other job
 * belongs to a job that does not exist. Until this is called, runs and ends of unknown jobs are
 * left unchanged. */
void fb_pool_jobs_complete (FbPool *self, uint64_t until_ms);
/* Adds starts by earlier owners that other daemons have relayed and that may be missing in the
 * records; starts in other pools are skipped. */
void fb_pool_import_starts (FbPool *self, const fb_recent_starts_reply *reply, uint64_t now_ms);
/* Ends JOB as cancelled unless it has ended, and stops its runs.  A completed job may have some: a
 * task whose end was reported late has been started again. */
void fb_pool_cancel_job (FbPool *self, const char *job, uint64_t now_ms, uint64_t wall_ms);
/* Sets CURRENT, of a job, to POLICY, of its queue.  The job stays with the queue and the service
 * that it was stored with. */
void fb_pool_update_policy (fb_work_policy *current, const fb_work_policy *policy);
/* Replaces the policies of queues.  POLICIES: name of a queue -> fb_work_policy; a queue that is
 * not in the table keeps its policy. */
void fb_pool_set_policies (FbPool *self, GHashTable *policies);

/* Replaces the caps of client accounts.  ACCOUNTS: name -> FbAccount; an account that is not in the
 * table keeps its cap while its jobs run. */
void fb_pool_set_accounts (FbPool *self, GHashTable *accounts);
/* Sets the part of its cap that the account NAME may use in this pool. */
void fb_pool_set_account_part (FbPool *self, const char *name, const FbAmounts *part);

void fb_pool_poll_answered (FbPool *self, const char *worker, const FbPollAnswer *answer,
                            uint64_t now_ms, uint64_t wall_ms);
void fb_pool_start_answered (FbPool *self, uint64_t order, FbOrderResult result, uint64_t clock_ms,
                             uint64_t now_ms);
void fb_pool_stop_answered (FbPool *self, uint64_t order, FbOrderResult result, uint64_t clock_ms,
                            uint64_t now_ms);
/* Without it, or with NULL, each step has one request to the advice service open at a time. */
void fb_pool_set_idle_daemons (FbPool *self, FbPoolIdleDaemonsFunc func);
/* The advice service answered a request for STEP that listed the N workers in ASKED. REPLY: the
 * answer; NULL: the request failed. */
void fb_pool_advice_answered (FbPool *self, const char *step, const char *const *asked, guint n,
                              const fb_advice_reply *reply, uint64_t now_ms);

/* Advances the pool to NOW_MS and, with MAY_START, starts the tasks that can start.  To be called
 * after events and at least every 100 ms. */
void fb_pool_tick (FbPool *self, gboolean may_start, uint64_t now_ms, uint64_t wall_ms);

/* ---- durability -------------------------------------------------------------- */

typedef enum
{
  FB_POOL_RECORD_JOB,
  FB_POOL_RECORD_WORKERS,       /* fb_work_workers */
  FB_POOL_RECORD_SILENT_WORKERS /* fb_work_silent_workers, to be stored in one append with the
                                   record of workers of the same flush */
} FbPoolRecordKind;

typedef struct
{
  FbPoolRecordKind kind;
  char *job;            /* NULL unless KIND is FB_POOL_RECORD_JOB */
  GBytes *progress;     /* NULL only if IS_DELETION */
  gboolean is_deletion; /* all records of the job can be deleted */
  gboolean ended; /* the job has ended: its admission record is not needed once this is stored */
} FbPoolRecord;

/* Begins a flush of everything that has changed.  Only one flush may be open at a time.  Returns:
 * (transfer full): FbPoolRecord entries, or NULL when nothing has changed. */
GPtrArray *fb_pool_flush (FbPool *self, uint64_t now_ms, uint64_t wall_ms);
/* The store does not accept a record of the open flush: that of JOB, of BYTES; NULL: a record of
 * workers.  No record of JOB of that size or larger is in a later flush, and no end that it would
 * contain is acknowledged. */
void fb_pool_record_not_accepted (FbPool *self, const char *job, gsize bytes);
/* The open flush has been stored, but for the records that were not accepted: the ends in it may be
 * acknowledged to the workers and shown to callers. */
void fb_pool_flushed (FbPool *self, uint64_t now_ms);

/* The tasks of a job that are suspected of crashing workers, while that is not stored yet. */
typedef struct
{
  char *job;
  GBytes *suspects; /* encoded fb_work_suspects; NULL: stored meanwhile, or no task is suspected any
                       more */
} FbPoolUnstoredSuspects;

/* Returns: (transfer full): FbPoolUnstoredSuspects entries that other daemons are to keep for the
 * next owner while the store is unavailable, or to discard; NULL when there is nothing new. */
GPtrArray *fb_pool_take_unstored_suspects (FbPool *self, uint64_t now_ms);
/* Another daemon has kept SUSPECTS of JOB for an earlier owner. */
void fb_pool_import_suspects (FbPool *self, const char *job, const fb_work_suspects *suspects,
                              uint64_t now_ms);

/* ---- queries ------------------------------------------------------------------ */

/* Returns: FALSE when the pool does not have the job. */
gboolean fb_pool_job_state (const FbPool *self, const char *job, fb_work_state *state);
/* Returns: FALSE when JOB belongs to another client account than ACCOUNT; "" stands for a caller
 * that needs no key, and jobs may have no account. */
gboolean fb_pool_job_is_visible (const FbPool *self, const char *job, const char *account);
/* Returns: the client account of JOB, borrowed; "" when it has none, or the pool does not have the
 * job. */
const char *fb_pool_job_account (const FbPool *self, const char *job);
/* What a client account uses in a pool. */
typedef struct
{
  const char *name; /* borrowed */
  FbAmounts cap;    /* over all pools; 0: no limit */
  FbAmounts taken;  /* by what runs or may run here */
  FbAmounts needed; /* TAKEN and what the first waiting step needs to start */
  FbAmounts wanted; /* TAKEN and what the waiting steps need */
  gboolean waits;   /* steps wait because the account may use no more here */
} FbPoolAccountUsage;
typedef void (*FbPoolAccountFunc) (gpointer user, const FbPoolAccountUsage *usage);
void fb_pool_foreach_account (const FbPool *self, FbPoolAccountFunc func, gpointer user);
/* FALSE while runs of an earlier owner may be missing in what accounts use here. */
gboolean fb_pool_usage_is_known (const FbPool *self);
/* Adds up the work that waits, for forecasts; only where client accounts are configured. */
void fb_pool_measure_backlog (const FbPool *self, FbAdmission *admission, uint64_t now_ms);
/* Describes the job in REQUEST, of a queue with POLICY, for a forecast; JOB borrows from REQUEST.
 * Returns: FALSE when it cannot be described. */
gboolean fb_pool_describe_job (FbPool *self, const fb_admission_request *request,
                               const fb_work_policy *policy, FbAdmissionJob *job);
/* Returns: by how much earlier the job in REQUEST, whose caller first tried AGE_MS ago, is to be
 * accepted: AGE_MS, or 0 if that would put it beyond the rate of its account, which it is not now.
 */
uint64_t fb_pool_accepted_age_ms (const FbPool *self, const fb_admission_request *request,
                                  uint64_t age_ms);
/* The job with the id JOB, which is being stored, was forecast to start at START_MS. */
void fb_pool_note_forecast (FbPool *self, const char *job, uint64_t start_ms);
/* TRUE when client accounts are configured and the pool knows all that runs in it, so that
 * forecasts are possible. */
gboolean fb_pool_can_forecast (const FbPool *self);
/* Returns: how many jobs of QUEUE have no scheduled occurrences and no task that was started. */
uint32_t fb_pool_pending_jobs_n (const FbPool *self, const char *queue);
/* Leases are extended only before UNTIL_MS, as another owner may have taken the pool over since. In
 * a new pool none are. */
void fb_pool_set_leases_until (FbPool *self, uint64_t until_ms);
/* TRUE when a worker lists a run of a job that the pool does not have, or the end of one. */
gboolean fb_pool_lists_unknown_runs (const FbPool *self);
/* TRUE when a worker lists a run of JOB, which the pool does not have, or the end of one. */
gboolean fb_pool_lists_run_of (const FbPool *self, const char *job);
/* TRUE when all that earlier owners started was found, or has ended with its lease. */
gboolean fb_pool_has_found_all_runs (const FbPool *self, uint64_t now_ms);
/* TRUE while a majority of the workers that the stored record names has answered polls that were
 * sent under this epoch within the last WITHIN_MS; of all workers, if there is no record. Workers
 * whose entries have been missing for some seconds do not count. As long as this holds, no owner
 * that counts the same workers can have passed its own check for a majority, because workers refuse
 * the lower of two epochs. */
gboolean fb_pool_has_majority (const FbPool *self, uint32_t within_ms, uint64_t now_ms);
