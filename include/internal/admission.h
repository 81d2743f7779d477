/* Forecast of when a job could be completed, from the work that waits in a pool.  No I/O, clock or
 * thread.
 *
 * Load: more work arrives than the pool can run, and some of it waits until its completion has no
 * value.  Callers try for about 3 s in all, so one that certainly gets nothing should be told at
 * once.  A wrong refusal costs a job that would have been served; a wrong acceptance costs nothing
 * that the order of the queue does not prevent already.  So every term of the forecast is a lower
 * bound of the wait: see admission.c. */
#pragma once

#include "internal/account.h"

typedef struct _FbAdmission FbAdmission;

/* Waiting work; tasks of one step, or of several. */
typedef struct
{
  gint urgency;             /* FbPoolUrgency */
  uint32_t priority;        /* 0: highest */
  gboolean is_late;         /* it comes after what arrives later with the same priority */
  const char *held_for;     /* account that may run no more; NULL: it waits for the pool */
  uint64_t latest_start_ms; /* when it becomes late */
  uint64_t no_value_ms;     /* when its completion has no value any more, so that it comes last */
  uint64_t arrived_ms;
  uint32_t run_ms; /* expected run time of one task */
  FbAmounts unit;  /* demand of the smallest part that can start alone: a task or a gang */
  FbAmounts work;  /* demand times expected run time, of all tasks, in units times ms */
} FbAdmissionWork;

/* A job for which a forecast is wanted. */
typedef struct
{
  const char *account; /* "": none */
  gint urgency;
  uint32_t priority;
  FbAmounts demand;              /* of a task of its first step */
  FbAmounts work;                /* of all its tasks, in units times ms */
  uint64_t path_ms;              /* its critical path, by expected run times */
  uint64_t objective_ms;         /* duration of its objective */
  uint64_t longest_objective_ms; /* the same if its tasks take as long as is possible */
  uint64_t longest_path_ms;
  uint64_t first_ms; /* time of the caller's first attempt, from which its objective counts */
} FbAdmissionJob;

typedef struct
{
  gboolean has_value;        /* FALSE: the job certainly ends too late to have any value */
  uint64_t wait_ms;          /* lower bound of the time until its first task starts */
  uint64_t end_ms;           /* lower bound of its end */
  uint64_t excess_ms;        /* by how much that is too late; 0 with HAS_VALUE */
  uint64_t work_off_ms;      /* time that the pool, or the account, needs for the work of the job */
  gboolean is_account_bound; /* its account's cap decides, not the pool */
} FbAdmissionForecast;

FbAdmission *fb_admission_new (void);
void fb_admission_free (FbAdmission *self);
/* Replaces all waiting work.  CAPACITY: of the workers of the pool together. */
void fb_admission_begin (FbAdmission *self, const FbAmounts *capacity, uint64_t now_ms);
void fb_admission_add (FbAdmission *self, const FbAdmissionWork *work);
/* Sets the CAP of ACCOUNT, for which work is held. */
void fb_admission_set_cap (FbAdmission *self, const char *account, const FbAmounts *cap);
/* Returns: when the waiting work was last replaced; 0: never. */
uint64_t fb_admission_updated_ms (const FbAdmission *self);
/* Returns: the time that the pool, or the account with the most waiting work for its cap, needs for
 * all work that waits. */
uint64_t fb_admission_backlog_ms (const FbAdmission *self);
/* Work that arrived after UNTIL_MS is left out. */
void fb_admission_forecast (const FbAdmission *self, const FbAdmissionJob *job, uint64_t until_ms,
                            uint64_t now_ms, FbAdmissionForecast *forecast);
