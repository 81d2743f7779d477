/* Callers of one run: submit jobs and check the responses. */
#pragma once

#include "platform.h"
#include "processes.h"

typedef struct _SoakCallers SoakCallers;

typedef struct
{
  guint submitted; /* jobs */
  guint accepted;
  guint refused;    /* unused, always 0 */
  guint ended;      /* accepted jobs that were reported in a final state */
  guint cancelled;  /* jobs whose cancel was acknowledged */
  guint answered;   /* calls with a response */
  guint unanswered; /* calls without one */
} SoakCounts;

typedef struct
{
  gboolean repeats; /* accepted jobs are submitted again */
  gboolean lasting; /* the tasks of some jobs run for seconds */
  gboolean stops;   /* some jobs have checkpoints and low priority, others need much room at once */
  gboolean long_tasks; /* tasks of some jobs run for longer than any lease, and none crash */
  gboolean heavy;      /* a job is submitted at every tick */
} SoakCallersSetup;

/* PLATFORM: is told of each acknowledged cancel; borrowed. */
SoakCallers *soak_callers_new (SoakProcesses *processes, SoakPlatform *platform, guint daemon_n,
                               guint32 seed, const SoakCallersSetup *setup);
void soak_callers_free (SoakCallers *self);
/* Submits a job at random ticks, and sends the calls that are due.  NO_NEW_JOBS: submits no more
 * jobs. */
void soak_callers_tick (SoakCallers *self, gboolean no_new_jobs);
/* Returns: TRUE when every job was reported in a final state or abandoned as never accepted, and
 * every cancel was acknowledged. */
gboolean soak_callers_all_ended (const SoakCallers *self);
/* Returns: (transfer full): ids of the jobs all of whose submissions were rejected,
 * NULL-terminated. */
char **soak_callers_refused (const SoakCallers *self);
/* Returns: (nullable): the text of the first violation; borrowed. */
const char *soak_callers_violation (const SoakCallers *self);
SoakCounts soak_callers_counts (const SoakCallers *self);
/* Returns: (nullable) (transfer full): the id of a job that was neither reported in a final state
 * nor abandoned, or whose cancel was not acknowledged. */
char *soak_callers_unfinished_job (const SoakCallers *self);
