/* The oracle: the promises of "What must always hold", checked on what really
 * happened at the fake workers and on what callers were told.  Shares no code
 * with the decisions. */
#pragma once

#include "fb-types.h"

typedef struct _Oracle Oracle;

Oracle *oracle_new (void);
void oracle_free (Oracle *self);

void oracle_submit (Oracle *self, uint64_t now_ms, guint front, const fb_job *job);
/* The daemon that held the callers of some work is gone. */
void oracle_daemon_died (Oracle *self, guint front);
/* Calls FUNC for each accepted job that has no final answer yet. */
void oracle_foreach_unanswered (Oracle *self,
                                void (*func) (gpointer user, uint64_t job, uint32_t partner),
                                gpointer user);
void oracle_answer (Oracle *self, uint64_t now_ms, guint front, const fb_answer *answer);
void oracle_start (Oracle *self, uint64_t now_ms, guint worker, const fb_res *capacity,
                   const fb_spec *spec);
void oracle_end (Oracle *self, uint64_t now_ms, guint worker, const fb_spec *spec,
                 FbRunStatus run_status);
void oracle_set_worker_leaving (Oracle *self, uint64_t now_ms, guint worker, gboolean leaving);
void oracle_check_config (Oracle *self, uint32_t partner, uint64_t serial, GBytes *revision);
/* No daemon holds the highest revision any more, only the log may. */
void oracle_set_config_orphaned (Oracle *self, uint32_t partner);
gboolean oracle_config_is_orphaned (const Oracle *self, uint32_t partner);
uint64_t oracle_config_serial (const Oracle *self, uint32_t partner);
void oracle_check_final_state (Oracle *self);

/* The answer that a worker gives for a run, and a caller must see whole. */
void oracle_answer_text (const fb_run *run, char *text, gsize size);

void oracle_report_violation (Oracle *self, const char *format, ...) G_GNUC_PRINTF (2, 3);
const char *oracle_violation (const Oracle *self);

/* Counts over all that was seen. */
typedef struct
{
  guint64 starts;
  guint64 completed;
  guint64 failed;
  guint64 stopped;
  guint64 lost;
  guint64 duplicates;    /* ran in two places, or once-only work twice */
  guint64 over_capacity; /* starts that made a worker hold too much */
} OracleCounts;
OracleCounts oracle_counts (const Oracle *self);
fb_res oracle_used_resources (const Oracle *self, guint worker);

FbOutcome oracle_outcome (const Oracle *self, uint64_t job);
guint oracle_starts (const Oracle *self, uint64_t job);
guint oracle_live (const Oracle *self, uint64_t job);
guint oracle_jobs_with (const Oracle *self, FbOutcome outcome);
