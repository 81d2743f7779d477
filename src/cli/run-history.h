/* The runs of a task, rebuilt from the lines of daemons' logs. */
#pragma once

#include "cli-log.h"

#include <stdint.h>

typedef struct
{
  uint32_t attempt;
  char *worker;       /* incarnation of the worker */
  const char *daemon; /* the owner that ordered the run; NULL when its order is not in the logs */
  guint64 epoch;
  const FbCliLogLine *placed;   /* the order; NULL when it is not in the logs */
  const FbCliLogLine *began;    /* the order; for a start that a later incarnation carried out, or
                                   whose order is not in the logs, the first line of the run */
  const FbCliLogLine *end;      /* what tells that the run had ended; NULL: nothing */
  const FbCliLogLine *refuted;  /* an earlier conclusion that it had ended, which was wrong */
  const FbCliLogLine *late_end; /* reported after its lease had ended: may be older than END */
  const FbCliLogLine *short_lease; /* proves that its leases outlasted their bound */
  GPtrArray *lines;                /* of the run, by time; borrowed */
} FbCliRun;

typedef struct
{
  char *task;
  GPtrArray *runs;   /* FbCliRun, in the order in which they began */
  GPtrArray *faults; /* char: lines that must be there and are not */
  GHashTable *outcomes;
} FbCliTaskRuns;

typedef enum
{
  FB_CLI_RUNS_SEQUENTIAL, /* the first run had ended, or the second was refused */
  FB_CLI_RUNS_COPY,       /* both at once, as the second is a copy */
  FB_CLI_RUNS_OVERLAP,    /* the second was ordered before the first had ended on record */
  FB_CLI_RUNS_UNDECIDED   /* the lines do not tell */
} FbCliRelation;

/* Returns: (transfer full): FbCliTaskRuns by task, for all tasks of LINES. */
GHashTable *fb_cli_run_history_new (const GPtrArray *lines);

/* Compares two runs of a task of which FIRST began first; MARGIN_US is how much the clocks of two
 * daemons may differ.
 *
 * Returns: (transfer full): what is said about them, NULL for runs one after the other. */
char *fb_cli_run_history_compare (const FbCliRun *first, const FbCliRun *second, gint64 margin_us,
                                  FbCliRelation *relation);

/* Returns: the time from the end of RUN on record to LATER, in us. */
gint64 fb_cli_run_ended_before_us (const FbCliRun *run, const FbCliLogLine *later);
/* TRUE when the end of RUN was concluded and not reported by its worker. */
gboolean fb_cli_run_end_is_concluded (const FbCliRun *run);
