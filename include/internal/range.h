/* A range of job ids: the one place that knows what became of its jobs.
 *
 * Pure.  The owner of a range admits jobs, sends each task to a rack as one
 * numbered attempt after another, and decides the final answer.  All that must
 * outlast the process goes through sink->append() and takes effect only when
 * it comes back in the order of the log through fb_range_apply(); a successor
 * that applies the same records comes to the same state.
 *
 * A range without a log (ephemeral) is the same code whose records come back
 * at once: its jobs live as long as the daemon that has their callers. */
#pragma once

#include "internal/codec.h"
#include "internal/router.h"

typedef struct _FbRange FbRange;

#define FB_RANGE_QUERY_MS 2000
#define FB_RANGE_REBALANCE_MS 3000
#define FB_RANGE_DUE_GRACE_MS 2000
#define FB_RANGE_GANG_RESERVE_MS 15000
#define FB_RANGE_JOB_MAX 20000
#define FB_RANGE_TASK_MAX 20000
#define FB_RANGE_KEEP_MS (60 * 60 * 1000)
#define FB_RANGE_FAIL_RETRIES 1
#define FB_RANGE_LOST_RETRIES 8

typedef struct
{
  /* Appends BODY to the range's stream; borrowed for the call. */
  void (*append) (gpointer user, FbRange *range, const fb_rec_body *body);
  /* Sends BODY to the owner of RACK.  Returns: FALSE when none is known; then
   * nothing was sent. */
  gboolean (*send) (gpointer user, FbRange *range, uint32_t rack, const fb_body *body);
  gboolean (*choose) (gpointer user, FbRange *range, const FbRouteRequest *ask,
                      FbRouteChoice *choice);
  gboolean (*ever_fits) (gpointer user, const fb_spec *spec);
  void (*refused) (gpointer user, uint32_t rack, FbReason reason);
  /* Returns: the clock of the log, or somewhat less; 0 when not known yet. */
  uint64_t (*log_clock_ms) (gpointer user);
  uint32_t (*domain_of) (gpointer user, uint32_t rack);
  /* Sends ANSWER to the daemon called FRONT; borrowed for the call. */
  void (*answer) (gpointer user, FbRange *range, const char *front, const fb_answer *answer);
} FbRangeSink;

/* Returns: (transfer full): an empty range, not active. */
FbRange *fb_range_new (uint32_t id, gboolean durable, const FbRangeSink *sink, gpointer user,
                       uint32_t seed);
void fb_range_free (FbRange *self);

/* Where and when a record was written.  LOG_NOW_MS is the clock of the log now,
 * or later; all zero for a range without a log. */
typedef struct
{
  uint64_t offset;
  uint64_t age_ms;
  uint64_t log_now_ms;
} FbRecordPosition;

/* Applies one record of the range's stream. */
void fb_range_apply (FbRange *self, uint64_t now_ms, const fb_rec_body *body,
                     const FbRecordPosition *place);

/* The daemon owns the range at EPOCH and has applied all before its claim. */
void fb_range_activate (FbRange *self, uint64_t now_ms, uint64_t epoch);
/* Nothing is sent or answered any more; the state is kept for nobody. */
void fb_range_deactivate (FbRange *self);

/* Records that are still needed may be lost: see survey.c.  RACK_N racks are
 * asked for what runs; until all have answered nothing is admitted. */
void fb_range_begin_survey (FbRange *self, uint64_t now_ms, guint rack_n);
/* Takes over what is left of a predecessor's doubt. */
void fb_range_set_history_gap (FbRange *self, uint64_t now_ms, uint64_t history_gap_ms);
void fb_range_surveyed (FbRange *self, uint64_t now_ms, const fb_survey_reply *surveyed);

/* Whether appends are getting through; while not, new durable work is refused
 * at once instead of hanging. */
void fb_range_set_log_ok (FbRange *self, gboolean ok);

/* Commands from the daemons that hold the callers. */
/* COPY comes back with a refusal, see fb_answer. */
void fb_range_submit (FbRange *self, uint64_t now_ms, const fb_job *job, uint32_t copy,
                      const char *front);
void fb_range_query_job (FbRange *self, uint64_t now_ms, const fb_job_command *word,
                         const char *front);
void fb_range_cancel (FbRange *self, uint64_t now_ms, const fb_job_command *word,
                      const char *front);

/* Ends the services of this range that are not in WANTED (a set of &job id). */
void fb_range_keep_services (FbRange *self, uint64_t now_ms, GHashTable *wanted);

/* Command from the owner of a rack. */
void fb_range_report (FbRange *self, uint64_t now_ms, const fb_report *report);

/* Writes the state of jobs again whose records are older than AGE_MAX_MS. */
void fb_range_rewrite (FbRange *self, uint64_t now_ms, uint64_t age_max_ms);

void fb_range_tick (FbRange *self, uint64_t now_ms);
/* Sends at once what became due by a command or a record. */
void fb_range_flush (FbRange *self, uint64_t now_ms);
