/* Data of a range, shared by the files that implement it and by no one else. */
#pragma once

#include "internal/range.h"

typedef enum
{
  FB_JOB_TASK_WAITING,  /* no attempt is alive */
  FB_JOB_TASK_INTENT,   /* the next attempt is being written to the log */
  FB_JOB_TASK_PLACED,   /* sent to a rack; may wait, start or have been lost */
  FB_JOB_TASK_RESERVED, /* a gang's member holds its capacity */
  FB_JOB_TASK_RUNNING,
  FB_JOB_TASK_ENDING, /* its final outcome is being written to the log */
  FB_JOB_TASK_DONE
} FbJobTaskState;

typedef struct _FbJob FbJob;

typedef struct
{
  FbJob *job;
  FbJobTaskState state;
  uint32_t index;
  uint32_t attempt;
  uint32_t rack;
  uint32_t avoid_rack;
  uint64_t rack_epoch;
  FbOutcome outcome;
  FbReason reason;
  FbOutcome ending; /* while ENDING: on its way to the log */
  FbReason ending_reason;
  uint32_t preempt_count;
  uint32_t fail_count;
  uint32_t lost_count;
  uint32_t backoff_ms;
  uint64_t placed_ms;
  gboolean sent;          /* this attempt went to its rack, or may have */
  gboolean recovered;     /* this attempt is known from the log only */
  uint32_t started_count; /* earlier attempts that ran, or may have */
  uint64_t due_ms;        /* of its timer */
  GSequenceIter *timer;
} FbJobTask;

struct _FbJob
{
  fb_job spec; /* owned */
  gboolean admitted;
  gboolean cancelled;
  uint32_t doubt; /* see fb_rec_admit */
  uint64_t arrived_ms;
  uint64_t due_ms;
  uint64_t due_log_ms; /* the same on the clock of the log */
  uint64_t first_wait_ms;
  uint64_t written_ms;     /* when its last full record was written */
  uint64_t written_offset; /* and where */
  gboolean rewriting;      /* the next one is on its way */
  gboolean changing;       /* a cancellation or update is on its way */
  uint64_t ended_ms;
  uint64_t blocked_until_ms;
  uint64_t gather_until_ms;
  FbOutcome outcome;
  FbReason reason;
  GBytes *body;
  GBytes *ending_body; /* on its way to the log */
  FbJobTask *tasks;
  guint task_n;
  guint state_n[FB_JOB_TASK_DONE + 1];
  guint outcome_n[FB_OUTCOME_N];
  gboolean committed; /* a gang whose members were told to start */
  guint cancel_next;
  GPtrArray *fronts;    /* char *: daemons that wait for the answer */
  GArray *intents;      /* uint32_t: tasks of this pass */
  GHashTable *per_rack; /* rack -> count, for spread */
};

struct _FbRange
{
  uint32_t id;
  gboolean durable;
  const FbRangeSink *sink;
  gpointer user;
  GRand *rand;
  gboolean active;
  gboolean log_ok;
  uint64_t epoch;
  gboolean *surveyed; /* one a rack while a survey is on, else NULL */
  guint survey_n;
  guint survey_left;
  uint64_t survey_at_ms;
  uint64_t next_due_ms;          /* of the timers set since the last dispatch */
  uint64_t history_gap_until_ms; /* keys used before may have been forgotten */
  GHashTable *jobs;              /* &job->spec.id -> FbJob owned */
  GSequence *timers[FB_KIND_N];
  GQueue cancelling;       /* FbJob with tasks still to cancel */
  GQueue ended;            /* FbJob in the order they ended */
  GPtrArray *with_intents; /* FbJob, scratch of one pass */
};

FbJob *fb_range_find (const FbRange *self, uint64_t job);
/* A job from its caller, or from its record. */
FbJob *fb_job_new (uint64_t now_ms, const fb_job *spec);
FbJob *fb_job_new_recovered (uint64_t now_ms, const fb_rec_admit *admit, uint64_t age_ms,
                             const FbRecordPosition *place);
void fb_job_free (gpointer job);
void fb_job_set_doubt (FbJob *job, uint32_t first_attempt);
void fb_job_resize (FbRange *self, uint64_t now_ms, FbJob *job, guint count);
void fb_job_set_state (FbJob *job, FbJobTask *task, FbJobTaskState state);
/* Counts a task of the job in RACK, for the spread. */
void fb_job_count_rack (FbJob *job, uint32_t rack, int change);
gboolean fb_job_is_service (const FbJob *job);
gboolean fb_job_is_gang (const FbJob *job);
gboolean fb_job_is_final (const FbJob *job);
fb_run fb_job_run (const FbJob *job, const FbJobTask *task);

/* Sets or moves the one timer of a task. */
void fb_range_set_timer (FbRange *self, FbJobTask *task, uint64_t due_ms);
void fb_range_clear_timer (FbRange *self, FbJobTask *task);

/* The attempt is certainly over and left no outcome: wait for the next one. */
void fb_range_retry_task (FbRange *self, uint64_t now_ms, FbJobTask *task, gboolean back_off);
/* Writes the final outcome of a task; it takes effect in fb_range_apply(). */
void fb_range_end_task (FbRange *self, FbJobTask *task, FbOutcome outcome, FbReason reason,
                        const char *body, uint32_t body_len);
void fb_range_task_past_due (FbRange *self, FbJobTask *task);
void fb_range_settle (FbRange *self, uint64_t now_ms, FbJob *job);

void fb_range_send_place (FbRange *self, uint64_t now_ms, FbJobTask *task);
gboolean fb_range_send_word (FbRange *self, FbJobTask *task, fb_msg_type type, gboolean force);
void fb_range_send_ack (FbRange *self, const fb_report *report);
void fb_range_answer_fronts (FbRange *self, uint64_t now_ms, FbJob *job);
void fb_range_answer_one (FbRange *self, uint64_t now_ms, const FbJob *job, const char *front);
void fb_range_dispatch (FbRange *self, uint64_t now_ms);

/* gang.c: all members of a job, or none. */
void fb_gang_reserve (FbRange *self, uint64_t now_ms, FbJob *job);
void fb_gang_advance (FbRange *self, uint64_t now_ms, FbJob *job);
void fb_gang_break (FbRange *self, uint64_t now_ms, FbJob *job);

/* survey.c */
void fb_range_survey_tick (FbRange *self, uint64_t now_ms);

/* range-dispatch.c */
gboolean fb_range_choose_rack (FbRange *self, uint64_t now_ms, FbJobTask *task);
/* Returns: TRUE when another rack than the task's own seems to have room now. */
gboolean fb_range_room_elsewhere (FbRange *self, uint64_t now_ms, const FbJobTask *task);
void fb_range_add_intent (FbRange *self, FbJobTask *task);
