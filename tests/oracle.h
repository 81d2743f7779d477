/* The oracle: checks the invariants of the scheduler against the starts and ends at the fake
 * workers and against the answers to callers. It shares no code with the scheduler, apart from
 * the types and the arithmetic of fb-types.h. */
#pragma once

#include "fb-types.h"

typedef struct _Oracle Oracle;

Oracle *oracle_new (void);
void oracle_free (Oracle *self);

void oracle_submit (Oracle *self, uint64_t now_ms, guint daemon, const fb_job *job);
/* DAEMON has been killed, and its open connections to callers were closed. */
void oracle_daemon_killed (Oracle *self, guint daemon);
/* Calls FUNC for each accepted job without a final answer, except ephemeral ones. */
void oracle_foreach_unanswered (Oracle *self,
                                void (*func) (gpointer user, uint64_t job, uint32_t partner),
                                gpointer user);
void oracle_answer (Oracle *self, uint64_t now_ms, guint daemon, const fb_answer *answer);
void oracle_start (Oracle *self, uint64_t now_ms, guint worker, const fb_res *capacity,
                   const fb_spec *spec);
void oracle_end (Oracle *self, uint64_t now_ms, guint worker, const fb_spec *spec,
                 FbRunStatus run_status);
void oracle_set_worker_leaving (Oracle *self, uint64_t now_ms, guint worker, gboolean leaving);
void oracle_check_config (Oracle *self, uint32_t partner, uint64_t serial, GBytes *revision);
/* Marks the highest revision of PARTNER as held by no running daemon; the log may still have it. */
void oracle_set_config_orphaned (Oracle *self, uint32_t partner);
gboolean oracle_config_is_orphaned (const Oracle *self, uint32_t partner);
uint64_t oracle_config_serial (const Oracle *self, uint32_t partner);
void oracle_check_final_state (Oracle *self);

/* Writes the answer that a worker returns for RUN; its caller must get the same bytes. */
void oracle_answer_text (const fb_run *run, char *text, gsize size);

/* Records a violation; later ones are ignored. */
void oracle_report_violation (Oracle *self, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Returns: the first violation, or NULL. */
const char *oracle_violation (const Oracle *self);

/* Totals since oracle_new(). */
typedef struct
{
  guint64 starts;
  guint64 completed;
  guint64 failed;
  guint64 stopped;
  guint64 lost;
  guint64 duplicates;    /* a second concurrent run, or a second start of an at-most-once task */
  guint64 over_capacity; /* starts that exceeded the capacity of their worker */
} OracleCounts;
OracleCounts oracle_counts (const Oracle *self);
fb_res oracle_used_resources (const Oracle *self, guint worker);

FbOutcome oracle_outcome (const Oracle *self, uint64_t job);
guint oracle_starts (const Oracle *self, uint64_t job);
guint oracle_live (const Oracle *self, uint64_t job);
guint oracle_jobs_with (const Oracle *self, FbOutcome outcome);
