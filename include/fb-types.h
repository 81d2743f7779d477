/* Types shared by all layers: resources, runs, kinds, outcomes.
 *
 * Wire types (fb_run, fb_res, fb_spec, ...) come from rpc/peer.x and are used
 * as they are by the decision code, so that nothing is translated twice. */
#pragma once

#include <glib.h>
#include <stdint.h>

#include "rpc/peer.h"

#define FB_NO_DEADLINE_MS G_MAXUINT64
#define FB_PARTNER_N 2
#define FB_NO_WORKER G_MAXUINT32

/* Index into fb_res.amount.  The unit is part of the name. */
typedef enum
{
  FB_RES_CPU_MILLI,
  FB_RES_MEM_BYTES,
  FB_RES_ACCEL_COUNT,
  FB_RES_SLOT_COUNT,
  FB_RES_N
} FbResource;

/* What a piece of work asks of the scheduler; smaller goes first. */
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
  FB_FLAG_AT_MOST_ONCE = 1 << 0, /* not idempotent: runs at most once */
  FB_FLAG_PREEMPTIBLE = 1 << 1,  /* may be stopped and run again */
  FB_FLAG_CHECKPOINT = 1 << 2,   /* keeps its progress when stopped */
  FB_FLAG_RESERVE = 1 << 3,      /* hold the capacity, start on commit */
  FB_FLAG_EPHEMERAL = 1 << 4     /* no record in the log; dies with its caller */
} FbFlag;

/* What waiting work stands in line with. */
typedef enum
{
  FB_WAIT_CLASS_URGENT,
  FB_WAIT_CLASS_ACCEL,
  FB_WAIT_CLASS_OTHER,
  FB_WAIT_CLASS_N
} FbWaitClass;

/* News of a run, from the owner of a rack to the owner of a range. */
typedef enum
{
  FB_RUN_STATUS_QUEUED = 1,
  FB_RUN_STATUS_RESERVED,
  FB_RUN_STATUS_STARTED,
  FB_RUN_STATUS_REFUSED,     /* never ran, never will under this attempt */
  FB_RUN_STATUS_NOT_RUN,     /* was accepted, never ran, never will */
  FB_RUN_STATUS_COMPLETED,   /* whole answer attached */
  FB_RUN_STATUS_FAILED,      /* the target's own failure, answer attached */
  FB_RUN_STATUS_STOPPED,     /* started, was stopped, has ended */
  FB_RUN_STATUS_LOST,        /* may have run, cannot be running any more */
  FB_RUN_STATUS_NOT_FOUND,   /* complete knowledge of the rack, and no such run */
  FB_RUN_STATUS_UNDETERMINED /* some worker has not answered yet */
} FbRunStatus;

typedef enum
{
  FB_REASON_NONE,
  FB_REASON_NEVER_FITS,
  FB_REASON_QUEUE_FULL,
  FB_REASON_QUOTA,
  FB_REASON_NOT_LENT,
  FB_REASON_WRONG_EPOCH,
  FB_REASON_LEAVING,
  FB_REASON_PAST_DUE,
  FB_REASON_WITHDRAWN,
  FB_REASON_EXPIRED,
  FB_REASON_PREEMPTED,
  FB_REASON_RECLAIMED,
  FB_REASON_WORKER_LOST,
  FB_REASON_WORKER_REFUSED,
  FB_REASON_CANCELLED,
  FB_REASON_OWNER_CHANGED,
  FB_REASON_OVERLOAD,
  FB_REASON_KEY_MISMATCH,
  FB_REASON_LOG_DOWN,
  FB_REASON_RETENTION,
  FB_REASON_N
} FbReason;

/* How a job or request ended, or that it has not.  The first four are the only
 * final ones, and a caller gets exactly one of them. */
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

/* Returns: static names for logs, JSON and the command line. */
const char *fb_kind_name (FbKind kind);
const char *fb_run_status_name (FbRunStatus run_status);
const char *fb_reason_name (FbReason reason);
const char *fb_outcome_name (FbOutcome outcome);

/* Returns: TRUE and sets *KIND when NAME is one of fb_kind_name(). */
gboolean fb_kind_parse (const char *name, FbKind *kind);

/* Arithmetic on resource vectors.  fb_res_sub() stops at zero. */
void fb_res_add (fb_res *to, const fb_res *amount);
void fb_res_sub (fb_res *from, const fb_res *amount);
gboolean fb_res_fits (const fb_res *demand, const fb_res *free);
gboolean fb_res_is_zero (const fb_res *amount);

/* Returns: the largest USED/TOTAL over all resources, in thousandths; a
 * resource with no total counts only when some of it is used (1000). */
uint32_t fb_res_dominant_milli (const fb_res *used, const fb_res *total);

/* GHashTable functions for fb_run keys. */
guint fb_run_hash (gconstpointer run);
gboolean fb_run_equal (gconstpointer a, gconstpointer b);

/* Returns: the line that SPEC waits in. */
FbWaitClass fb_spec_wait_class (const fb_spec *spec);

/* Deep copy and release of a wire struct with its payload. */
void fb_job_copy (fb_job *to, const fb_job *from);
void fb_job_clear (fb_job *job);
void fb_spec_copy (fb_spec *to, const fb_spec *from);
void fb_spec_clear (fb_spec *spec);

/* Returns: NOW + LEFT without overflow; FB_NO_DEADLINE_MS stays itself. */
uint64_t fb_deadline_after (uint64_t now_ms, uint64_t remaining_ms);
/* Returns: what is left of DUE at NOW, 0 when it is past. */
uint64_t fb_deadline_remaining (uint64_t now_ms, uint64_t due_ms);

/* Returns: a 64-bit hash of TEXT and SALT (xxHash, equal on every host). */
uint64_t fb_hash64 (const char *text, uint64_t salt);
