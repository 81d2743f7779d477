/* Data structures of a range, private to the files that implement it. */
#pragma once

#include "internal/range.h"

typedef enum
{
  FB_JOB_TASK_WAITING,  /* no attempt is in progress */
  FB_JOB_TASK_INTENT,   /* the record of the next attempt is being appended to the log */
  FB_JOB_TASK_PLACED,   /* sent to a rack; may be queued, starting or lost */
  FB_JOB_TASK_RESERVED, /* member of a gang that has reserved its capacity */
  FB_JOB_TASK_RUNNING,
  FB_JOB_TASK_ENDING, /* the record of its final outcome is being appended to the log */
  FB_JOB_TASK_DONE
} FbJobTaskState;

typedef struct _FbJob FbJob;

typedef struct
{
  FbJob *job;
  FbJobTaskState state;
  uint32_t index;
  uint32_t attempt;    /* number of the last attempt; 0 if none */
  uint32_t rack;       /* of the last attempt, or FB_NO_RACK */
  uint32_t avoid_rack; /* not chosen for the next attempt, or FB_NO_RACK */
  uint64_t rack_epoch; /* epoch of the rack's owner that the attempt was sent to */
  FbOutcome outcome;
  FbReason reason;
  FbOutcome ending; /* if ENDING: the outcome that is being appended */
  FbReason ending_reason;
  uint32_t preempt_count;
  uint32_t fail_count;
  uint32_t lost_count;
  uint32_t backoff_ms;    /* delay before the next attempt; 0 if the last one started */
  uint64_t placed_ms;     /* when this attempt was sent */
  gboolean sent;          /* this attempt was sent to its rack, or may have been */
  gboolean recovered;     /* this attempt was read from the log, not sent by this owner */
  uint32_t started_count; /* number of earlier attempts that ran or may have run */
  uint64_t due_ms;        /* when its timer expires */
  GSequenceIter *timer;   /* position in FbRange.timers, or NULL */
} FbJobTask;

struct _FbJob
{
  fb_job spec;       /* owned */
  gboolean admitted; /* its ADMIT record is in the log */
  gboolean cancelled;
  uint32_t first_attempt_after_gap; /* if above 0, records of earlier runs may be lost; see
                                       fb_rec_admit */
  uint64_t arrived_ms;
  uint64_t due_ms;
  uint64_t due_log_ms;     /* due time on the clock of the log; 0 if none or not known */
  uint64_t first_wait_ms;  /* from arrival to the first start; 0 before it */
  uint64_t written_ms;     /* when its last full record (ADMIT or STATE) was written */
  uint64_t written_offset; /* offset of that record */
  gboolean rewriting;      /* a STATE record is being appended */
  gboolean changing;       /* a CANCEL record or an update of a service is being appended */
  uint64_t ended_ms;
  uint64_t blocked_until_ms; /* no rack was found: no task of the job is routed before this */
  uint64_t reserve_until_ms; /* a gang gives up its reservations after this; 0 if none */
  FbOutcome outcome;
  FbReason reason;
  GBytes *body;        /* output of the last task that had one, or NULL */
  GBytes *ending_body; /* the same, being appended to the log; or NULL */
  FbJobTask *tasks;
  guint task_n;
  guint state_n[FB_JOB_TASK_DONE + 1]; /* number of tasks in each state */
  guint outcome_n[FB_OUTCOME_N];       /* number of done tasks with each outcome */
  gboolean committed;                  /* the commit was sent to the members of the gang */
  guint cancel_next;                   /* index of the next task to cancel */
  GPtrArray *frontends; /* char * owned: names of the daemons that wait for the answer */
  GArray *intents; /* uint32_t: indexes of the tasks whose INTENT record is written in this pass */
  GHashTable *per_rack; /* rack + 1 -> number of tasks there, to spread the job */
};

struct _FbRange
{
  uint32_t id;
  gboolean durable;
  const FbRangeCallbacks *callbacks;
  gpointer user;
  GRand *rand;
  gboolean active; /* sends and answers; FALSE: only applies records read from the log */
  gboolean log_ok; /* the last append to the log succeeded */
  uint64_t epoch;
  gboolean *reconciled_racks; /* for each rack: it has no unknown runs; NULL unless reconciling */
  guint reconcile_rack_n;     /* number of racks in reconciled_racks */
  guint reconcile_remaining;  /* number of racks that are not reconciled yet */
  uint64_t reconcile_at_ms;   /* when the request to the racks is repeated */
  uint64_t next_due_ms;       /* earliest expiry of the timers set since the last dispatch */
  uint64_t history_gap_until_ms; /* until then, older jobs and keys may be missing */
  GHashTable *jobs;              /* &job->spec.id -> FbJob owned */
  GSequence *timers[FB_KIND_N];  /* FbJobTask borrowed, earliest first */
  GQueue cancelling;             /* FbJob whose tasks are not all cancelled yet */
  GQueue ended;                  /* FbJob in the order they ended */
  GPtrArray *with_intents;       /* FbJob borrowed: those with intents in this pass */
};

FbJob *fb_range_find (const FbRange *self, uint64_t job);
/* A job as submitted, or as read from its record. */
FbJob *fb_job_new (uint64_t now_ms, const fb_job *spec);
FbJob *fb_job_new_recovered (uint64_t now_ms, const fb_rec_admit *admit, uint64_t age_ms,
                             const FbRecordPosition *position);
void fb_job_free (gpointer job);
/* Marks that records of earlier runs of the job may be lost: counts all its tasks as started,
 * and numbers their attempts from FIRST_ATTEMPT. */
void fb_job_set_history_gap (FbJob *job, uint32_t first_attempt);
void fb_job_resize (FbRange *self, uint64_t now_ms, FbJob *job, guint count);
void fb_job_set_state (FbJob *job, FbJobTask *task, FbJobTaskState state);
/* Adds CHANGE to the number of tasks in RACK, for the spread. */
void fb_job_count_rack (FbJob *job, uint32_t rack, int change);
gboolean fb_job_is_service (const FbJob *job);
gboolean fb_job_is_gang (const FbJob *job);
gboolean fb_job_is_final (const FbJob *job);
fb_run fb_job_run (const FbJob *job, const FbJobTask *task);

/* Sets the timer of a task; a task has only one. */
void fb_range_set_timer (FbRange *self, FbJobTask *task, uint64_t due_ms);
void fb_range_clear_timer (FbRange *self, FbJobTask *task);

/* Schedules the next attempt, after a delay if BACK_OFF. To be called when the last attempt is
 * known to have ended without an outcome. */
void fb_range_retry_task (FbRange *self, uint64_t now_ms, FbJobTask *task, gboolean back_off);
/* Appends the final outcome of a task; it takes effect in fb_range_apply(). */
void fb_range_end_task (FbRange *self, FbJobTask *task, FbOutcome outcome, FbReason reason,
                        const char *body, uint32_t body_len);
void fb_range_task_past_due (FbRange *self, FbJobTask *task);
/* Ends the job if all its tasks are done. */
void fb_range_finish_if_done (FbRange *self, uint64_t now_ms, FbJob *job);

void fb_range_send_place (FbRange *self, uint64_t now_ms, FbJobTask *task);
gboolean fb_range_send_command (FbRange *self, FbJobTask *task, fb_msg_type type, gboolean force);
void fb_range_send_ack (FbRange *self, const fb_report *report);
void fb_range_answer_frontends (FbRange *self, uint64_t now_ms, FbJob *job);
void fb_range_send_answer (FbRange *self, uint64_t now_ms, const FbJob *job, const char *frontend);
void fb_range_dispatch (FbRange *self, uint64_t now_ms);

/* gang.c: all members of a job start, or none */
void fb_gang_reserve (FbRange *self, uint64_t now_ms, FbJob *job);
void fb_gang_advance (FbRange *self, uint64_t now_ms, FbJob *job);
void fb_gang_break (FbRange *self, uint64_t now_ms, FbJob *job);

/* reconcile.c */
void fb_range_reconcile_tick (FbRange *self, uint64_t now_ms);

/* range-dispatch.c */
gboolean fb_range_choose_rack (FbRange *self, uint64_t now_ms, FbJobTask *task);
/* Returns: TRUE if, according to the summaries, a rack other than the task's own has free
 * capacity now. */
gboolean fb_range_has_other_rack (FbRange *self, uint64_t now_ms, const FbJobTask *task);
void fb_range_add_intent (FbRange *self, FbJobTask *task);
