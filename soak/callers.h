/* Callers of one run: they submit jobs and check the answers. */
#pragma once

#include "processes.h"

typedef struct _SoakCallers SoakCallers;

typedef struct
{
  guint submitted; /* jobs */
  guint accepted;
  guint refused;    /* jobs that every answer refused; not counted, always 0 */
  guint ended;      /* accepted jobs that were seen in a final state */
  guint answered;   /* calls with an answer */
  guint unanswered; /* calls without one */
} SoakCounts;

SoakCallers *soak_callers_new (SoakProcesses *processes, guint daemon_n, guint32 seed);
void soak_callers_free (SoakCallers *self);
/* Submits a job now and then, and sends the calls of jobs that are due.  NO_NEW_JOBS: no job is
 * submitted any more. */
void soak_callers_tick (SoakCallers *self, gboolean no_new_jobs);
/* TRUE when every accepted job was seen in a final state. */
gboolean soak_callers_all_ended (const SoakCallers *self);
/* Returns: (transfer full): ids of jobs whose every submission was refused, NULL-terminated. */
char **soak_callers_refused (const SoakCallers *self);
/* Returns: (nullable): the text of the first violation; borrowed. */
const char *soak_callers_violation (const SoakCallers *self);
SoakCounts soak_callers_counts (const SoakCallers *self);
/* Returns: (nullable) (transfer full): the id of a job that was not seen in a final state. */
char *soak_callers_unfinished_job (const SoakCallers *self);
