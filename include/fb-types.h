/* Types shared by all layers: resources, runs, kinds, outcomes.
 *
 * The wire types (fb_run, fb_res, fb_spec, ...) come from rpc/peer.x. The scheduling code uses
 * them directly, so no conversion is needed. */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "rpc/peer.h"

#define FB_NO_DEADLINE_MS G_MAXUINT64
#define FB_PARTNER_N 2           /* number of partners */
#define FB_NO_WORKER G_MAXUINT32 /* no worker index */

/* Index into fb_res.amount. The name includes the unit. */
typedef enum
{
  FB_RES_CPU_MILLI,
  FB_RES_MEM_BYTES,
  FB_RES_ACCEL_COUNT,
  FB_RES_SLOT_COUNT,
  FB_RES_N
} FbResource;

/* Kind of work; a smaller value has precedence. */
typedef enum
{
  FB_KIND_URGENT,
  FB_KIND_SERVICE,
  FB_KIND_GANG,
  FB_KIND_BATCH,
  FB_KIND_N
} FbKind;

typedef enum
{
  FB_FLAG_AT_MOST_ONCE = 1 << 0, /* not idempotent: must run at most once */
  FB_FLAG_PREEMPTIBLE = 1 << 1,  /* may be stopped and run again */
  FB_FLAG_CHECKPOINT = 1 << 2,   /* saves its progress when stopped */
  FB_FLAG_RESERVE = 1 << 3,      /* reserve the capacity, start on commit */
  FB_FLAG_EPHEMERAL = 1 << 4     /* no record in the log; ends with the daemon of its caller */
} FbFlag;

/* Class of waiting work, by what it waits for. */
typedef enum
{
  FB_WAIT_CLASS_URGENT,
  FB_WAIT_CLASS_ACCEL,
  FB_WAIT_CLASS_OTHER,
  FB_WAIT_CLASS_N
} FbWaitClass;

/* Status of a run, reported by the owner of a rack to the owner of a range. */
typedef enum
{
  FB_RUN_STATUS_QUEUED = 1,
  FB_RUN_STATUS_RESERVED,
  FB_RUN_STATUS_STARTED,
  FB_RUN_STATUS_REFUSED,     /* did not run, and this attempt never will */
  FB_RUN_STATUS_NOT_RUN,     /* was accepted, did not run, and never will */
  FB_RUN_STATUS_COMPLETED,   /* the complete answer is attached */
  FB_RUN_STATUS_FAILED,      /* failed by the target; the answer is attached */
  FB_RUN_STATUS_STOPPED,     /* started, was stopped, and has ended */
  FB_RUN_STATUS_LOST,        /* may have run, and cannot be running any more */
  FB_RUN_STATUS_NOT_FOUND,   /* all workers have replied, and none has the run */
  FB_RUN_STATUS_UNDETERMINED /* some worker has not replied yet */
} FbRunStatus;

/* Why a run or a job was refused, has not run, was stopped or has an unknown outcome. */
typedef enum
{
  FB_REASON_NONE,
  FB_REASON_NEVER_FITS,     /* no host is large enough, or the job is invalid */
  FB_REASON_QUEUE_FULL,     /* at the rack */
  FB_REASON_QUOTA,          /* the demand exceeds this rack's part of the quota */
  FB_REASON_NOT_LENT,       /* the rack does not lend to such work of the other partner */
  FB_REASON_WRONG_EPOCH,    /* sent to, or by, an owner that is not the current one */
  FB_REASON_LEAVING,        /* the worker, or the owner of the rack, is leaving */
  FB_REASON_PAST_DUE,       /* the latest start has passed */
  FB_REASON_WITHDRAWN,      /* by the owner of its range, before it started */
  FB_REASON_EXPIRED,        /* the reservation was neither committed nor queried in time */
  FB_REASON_PREEMPTED,      /* for other work of its own partner, or for lack of memory */
  FB_REASON_RECLAIMED,      /* preempted for the partner that the rack belongs to */
  FB_REASON_WORKER_LOST,    /* the worker restarted, its lease expired, or its rack is silent */
  FB_REASON_WORKER_REFUSED, /* the worker refused the start order */
  FB_REASON_CANCELLED,      /* at the request of its caller, or together with its gang */
  FB_REASON_OWNER_CHANGED,  /* the owner of its range did not answer in time */
  FB_REASON_OVERLOAD,       /* the range has FB_RANGE_JOB_MAX jobs */
  FB_REASON_KEY_MISMATCH,   /* the key was used for a different job */
  FB_REASON_LOG_DOWN,       /* appends to the log fail */
  FB_REASON_RETENTION,      /* the log dropped records, perhaps some of this job */
  FB_REASON_N
} FbReason;

/* Outcome of a job or request. Only the first four are final, and a caller gets exactly
 * one of them. */
typedef enum
{
  FB_OUTCOME_COMPLETED,
  FB_OUTCOME_FAILED,
  FB_OUTCOME_NOT_RUN,
  FB_OUTCOME_UNKNOWN,
  FB_OUTCOME_PENDING,
  FB_OUTCOME_NO_SUCH_JOB,
  FB_OUTCOME_N
} FbOutcome;

/* Returns: a static name for logs, JSON and the command line. */
const char *fb_kind_name (FbKind kind);
const char *fb_run_status_name (FbRunStatus run_status);
const char *fb_reason_name (FbReason reason);
const char *fb_outcome_name (FbOutcome outcome);

/* Returns: TRUE and sets *KIND if NAME is the fb_kind_name() of a kind. */
gboolean fb_kind_parse (const char *name, FbKind *kind);

/* Arithmetic on resource vectors. fb_res_sub() does not go below 0. */
void fb_res_add (fb_res *to, const fb_res *amount);
void fb_res_sub (fb_res *from, const fb_res *amount);
gboolean fb_res_fits (const fb_res *demand, const fb_res *free);
gboolean fb_res_is_zero (const fb_res *amount);

/* Returns: the largest USED/TOTAL over all resources, in thousandths. A resource whose
 * total is 0 counts as 1000 if some of it is used, otherwise not at all. */
uint32_t fb_res_dominant_share_milli (const fb_res *used, const fb_res *total);

/* GHashTable functions for fb_run keys. */
guint fb_run_hash (gconstpointer run);
gboolean fb_run_equal (gconstpointer a, gconstpointer b);

/* Returns: the class that SPEC belongs to while it waits. */
FbWaitClass fb_spec_wait_class (const fb_spec *spec);

/* Deep copy and release of a wire struct with its payload. */
void fb_job_copy (fb_job *to, const fb_job *from);
void fb_job_clear (fb_job *job);
void fb_spec_copy (fb_spec *to, const fb_spec *from);
void fb_spec_clear (fb_spec *spec);

/* Returns: NOW_MS + REMAINING_MS without overflow; FB_NO_DEADLINE_MS if REMAINING_MS is
 * FB_NO_DEADLINE_MS. */
uint64_t fb_deadline_after (uint64_t now_ms, uint64_t remaining_ms);
/* Returns: the time from NOW_MS to DUE_MS, 0 if it has passed. */
uint64_t fb_deadline_remaining (uint64_t now_ms, uint64_t due_ms);

/* Returns: a 64-bit hash of TEXT and SALT (xxHash, the same on every host). */
uint64_t fb_hash64 (const char *text, uint64_t salt);
