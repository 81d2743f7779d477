/* A range of job ids. Only its owner decides the outcome of the jobs in it.
 *
 * This code has no clock, I/O or threads. The owner of a range admits jobs, sends each task to a
 * rack in numbered attempts, one at a time, and decides the final outcome. Everything that has
 * to survive the process goes to the log through callbacks->append() and takes effect only when
 * the log returns it, in log order, through fb_range_apply(). A successor that applies the same
 * records reaches the same state.
 *
 * A range without a log (ephemeral) uses the same code, but its records are applied at once: its
 * jobs live as long as the daemon that serves their callers. */
#pragma once

#include "internal/codec.h"
#include "internal/router.h"

typedef struct _FbRange FbRange;

#define FB_RANGE_QUERY_MS 2000         /* between queries about a task at a rack */
#define FB_RANGE_REBALANCE_MS 3000     /* a task queued for longer may move to another rack */
#define FB_RANGE_DUE_GRACE_MS 2000     /* wait for a rack's report after the due time */
#define FB_RANGE_GANG_RESERVE_MS 15000 /* for all members of a gang to reserve capacity */
#define FB_RANGE_JOB_MAX 20000  /* jobs in one range, including ended ones that are still kept */
#define FB_RANGE_TASK_MAX 20000 /* tasks of one job */
/* How long ended jobs and their keys are kept. */
#define FB_RANGE_JOB_RETENTION_MS (60 * 60 * 1000)
#define FB_RANGE_FAIL_RETRIES 1 /* of a task that its target failed */
#define FB_RANGE_LOST_RETRIES 8 /* of a task whose worker was lost */

typedef struct
{
  /* Appends BODY to the range's stream; borrowed for the call. */
  void (*append) (gpointer user, FbRange *range, const fb_rec_body *body);
  /* Sends BODY to the owner of RACK. Returns: FALSE if no owner is known; nothing was
   * sent then. */
  gboolean (*send) (gpointer user, FbRange *range, uint32_t rack, const fb_body *body);
  /* Chooses a rack with the router, see fb_router_choose(). */
  gboolean (*choose) (gpointer user, FbRange *range, const FbRouteRequest *request,
                      FbRouteChoice *choice);
  /* Returns: TRUE if SPEC fits an empty host of some rack that it may use. */
  gboolean (*ever_fits) (gpointer user, const fb_spec *spec);
  /* RACK has refused a task. */
  void (*refused) (gpointer user, uint32_t rack, FbReason reason);
  /* Returns: a lower bound of the log's current clock; 0 if not known yet. */
  uint64_t (*log_clock_ms) (gpointer user);
  /* Returns: the failure domain of RACK. */
  uint32_t (*domain_of) (gpointer user, uint32_t rack);
  /* Sends ANSWER to the daemon FRONTEND, which serves the caller. ANSWER is borrowed for the
   * call. */
  void (*answer) (gpointer user, FbRange *range, const char *frontend, const fb_answer *answer);
} FbRangeCallbacks;

/* Returns: (transfer full): an empty range, not active. */
FbRange *fb_range_new (uint32_t id, gboolean durable, const FbRangeCallbacks *callbacks,
                       gpointer user, uint32_t seed);
void fb_range_free (FbRange *self);

/* Position and age of a record. LOG_NOW_MS is an upper bound of the log's current clock.
 * All members are 0 for a range without a log. */
typedef struct
{
  uint64_t offset;
  uint64_t age_ms;
  uint64_t log_now_ms;
} FbRecordPosition;

/* Applies one record of the range's stream. */
void fb_range_apply (FbRange *self, uint64_t now_ms, const fb_rec_body *body,
                     const FbRecordPosition *position);

/* Starts sending and answering. The daemon owns the range at EPOCH and has applied all records
 * before its claim. */
void fb_range_activate (FbRange *self, uint64_t now_ms, uint64_t epoch);
/* Stops sending and answering. The state remains until the range is freed. */
void fb_range_deactivate (FbRange *self);

/* Requests the runs of this range from RACK_N racks, because records that are still needed may
 * be missing; see reconcile.c. No job is admitted until all racks have replied and have no run
 * that this range does not know. */
void fb_range_begin_reconciliation (FbRange *self, uint64_t now_ms, guint rack_n);
/* Marks that jobs from before a loss of records may be unknown for another HISTORY_GAP_MS, as they
 * were to the predecessor. */
void fb_range_set_history_gap (FbRange *self, uint64_t now_ms, uint64_t history_gap_ms);
void fb_range_handle_run_list (FbRange *self, uint64_t now_ms, const fb_run_list *run_list);

/* Sets whether appends to the log succeed. While they do not, new durable jobs are refused at
 * once instead of waiting. */
void fb_range_set_log_ok (FbRange *self, gboolean ok);

/* Requests of the daemons that serve callers; FRONTEND is the name of the daemon. A refusal of a
 * submission returns COPY in fb_answer.refused_copy. */
void fb_range_submit (FbRange *self, uint64_t now_ms, const fb_job *job, uint32_t copy,
                      const char *frontend);
void fb_range_query_job (FbRange *self, uint64_t now_ms, const fb_job_command *command,
                         const char *frontend);
void fb_range_cancel (FbRange *self, uint64_t now_ms, const fb_job_command *command,
                      const char *frontend);

/* Cancels the services of this range that are not in DECLARED (a set of &job id). */
void fb_range_cancel_undeclared_services (FbRange *self, uint64_t now_ms, GHashTable *declared);

/* Report of the owner of a rack. */
void fb_range_report (FbRange *self, uint64_t now_ms, const fb_report *report);

/* Writes the full state of each job again whose last full record is older than
 * AGE_MAX_MS. */
void fb_range_rewrite (FbRange *self, uint64_t now_ms, uint64_t age_max_ms);

void fb_range_tick (FbRange *self, uint64_t now_ms);
/* Sends what has become due through a request or a record since the last call. */
void fb_range_flush (FbRange *self, uint64_t now_ms);
