/* Admission of jobs to an overloaded pool: which are refused, when their callers should try again,
 * and when other daemons are told of the overload.  No I/O, clock or thread.
 *
 * Load: hundreds of callers a second while a pool works off a burst.  Refused callers that all came
 * back at once would be the next burst, so each gets a time of its own. */
#pragma once

#include "internal/admission.h"

/* For how long a daemon relies on a notice: two intervals of notices, so that one may be lost. */
#define FB_ADMISSION_NOTICE_VALID_MS 2000

typedef struct _FbAdmissionControl FbAdmissionControl;

typedef struct
{
  gboolean admitted;
  gboolean returned;       /* it was refused before and is admitted now */
  uint32_t retry_after_ms; /* 0 with ADMITTED */
  uint64_t age_ms;         /* time since the caller's first attempt */
  FbAdmissionForecast forecast;
} FbAdmissionDecision;

typedef struct
{
  uint64_t sequence; /* rises with each notice */
  gboolean overloaded;
  gboolean changed;    /* an overload has begun or ended */
  uint64_t backlog_ms; /* time that the pool needs for what waits */
} FbAdmissionNotice;

FbAdmissionControl *fb_admission_control_new (void);
void fb_admission_control_free (FbAdmissionControl *self);
/* Returns: the forecasts, borrowed. */
FbAdmission *fb_admission_control_forecasts (FbAdmissionControl *self);
/* Returns: TRUE when the waiting work should be added up again, at most once in 100 ms. */
gboolean fb_admission_control_update_due (const FbAdmissionControl *self, uint64_t now_ms);
/* To be called when the waiting work was added up.  Returns: TRUE when all daemons are to be sent
 * NOTICE, at most once a second and once more at the end of an overload. */
gboolean fb_admission_control_updated (FbAdmissionControl *self, uint64_t now_ms,
                                       FbAdmissionNotice *notice);
gboolean fb_admission_control_is_overloaded (const FbAdmissionControl *self);
/* Decides about the job ID.  Sets JOB->first_ms to the caller's first attempt. */
void fb_admission_control_decide (FbAdmissionControl *self, const char *id, FbAdmissionJob *job,
                                  uint64_t now_ms, FbAdmissionDecision *decision);
/* Returns: the number of refused ids that are remembered. */
guint fb_admission_control_refused_n (const FbAdmissionControl *self);
