/* Reconciliation with the racks after the log has dropped records that were still needed.
 *
 * If a range has no owner and the log is unavailable for longer than it keeps records, the next
 * owner finds the stream without some of its jobs. It could then start a service in addition to
 * tasks that still run, or send a reminder again under a key that was used. Lost records cannot
 * be recovered, so the successor makes no assumption about them:
 * - before it admits or sends anything, it requests the runs of this range from every rack, and
 *   stops those that it does not know, until every rack has replied without such runs;
 * - for as long as keys are kept, it answers "unknown" to an at-most-once job whose id it
 *   does not know, and to a query about one.
 *
 * The last RENEW shows whether records were lost: it has the offset of the oldest record that
 * was still needed when it was written. */
#include "internal/range-private.h"
#include "internal/range-query.h"

#include <string.h>

#define RECONCILE_PERIOD_MS 1000

void
fb_range_begin_reconciliation (FbRange *self, uint64_t now_ms, guint rack_n)
{
  g_free (self->reconciled_racks);
  self->reconciled_racks = g_new0 (gboolean, rack_n);
  self->reconcile_rack_n = rack_n;
  self->reconcile_remaining = rack_n;
  self->reconcile_at_ms = now_ms;
  self->history_gap_until_ms = now_ms + FB_RANGE_JOB_RETENTION_MS;
}

void
fb_range_set_history_gap (FbRange *self, uint64_t now_ms, uint64_t history_gap_ms)
{
  self->history_gap_until_ms = MAX (self->history_gap_until_ms, now_ms + history_gap_ms);
}

uint64_t
fb_range_history_gap_ms (const FbRange *self, uint64_t now_ms)
{
  return self->history_gap_until_ms > now_ms ? self->history_gap_until_ms - now_ms : 0;
}

gboolean
fb_range_is_reconciling (const FbRange *self)
{
  return self->reconciled_racks != NULL;
}

void
fb_range_reconcile_tick (FbRange *self, uint64_t now_ms)
{
  if (self->reconciled_racks == NULL || now_ms < self->reconcile_at_ms)
    return;
  self->reconcile_at_ms = now_ms + RECONCILE_PERIOD_MS;
  for (guint rack = 0; rack < self->reconcile_rack_n; rack++)
    {
      if (self->reconciled_racks[rack])
        continue;
      fb_body body = { .type = FB_MSG_LIST_RUNS };
      body.fb_body_u.list_runs
          = (fb_run_command){ .rack = rack, .range = self->id, .range_epoch = self->epoch };
      (void) self->callbacks->send (self->user, self, rack, &body);
    }
}

static void
stop_unknown_run (FbRange *self, uint32_t rack, const fb_run *run)
{
  fb_run_command command
      = { .run = *run, .rack = rack, .range = self->id, .range_epoch = self->epoch, .force = TRUE };
  fb_body stop = { .type = FB_MSG_WITHDRAW };
  stop.fb_body_u.withdraw = command;
  (void) self->callbacks->send (self->user, self, rack, &stop);
  fb_body ack = { .type = FB_MSG_ACK };
  ack.fb_body_u.ack = command;
  (void) self->callbacks->send (self->user, self, rack, &ack);
}

/* Returns: TRUE if RUN is the last attempt of its task. It is not enough that the job is known: a
 * late record may remain while the earlier ones are missing. The attempt number of an unknown run
 * is not used again. */
static gboolean
is_known_run (const FbRange *self, uint32_t rack, const fb_run *run)
{
  FbJob *job = fb_range_find (self, run->job);
  if (job == NULL || run->index >= job->task_n)
    return FALSE;
  FbJobTask *task = &job->tasks[run->index];
  if (task->attempt == run->attempt && task->state != FB_JOB_TASK_WAITING && task->rack == rack)
    return TRUE;
  task->attempt = MAX (task->attempt, run->attempt);
  return FALSE;
}

void
fb_range_handle_run_list (FbRange *self, uint64_t now_ms, const fb_run_list *run_list)
{
  (void) now_ms;
  if (!self->active || self->reconciled_racks == NULL || run_list->rack >= self->reconcile_rack_n
      || self->reconciled_racks[run_list->rack])
    return;
  guint unknown = 0;
  for (guint i = 0; i < run_list->runs.runs_len; i++)
    {
      const fb_run *run = &run_list->runs.runs_val[i];
      if (is_known_run (self, run_list->rack, run))
        continue;
      unknown++;
      stop_unknown_run (self, run_list->rack, run);
    }
  if (unknown > 0)
    return;
  self->reconciled_racks[run_list->rack] = TRUE;
  if (--self->reconcile_remaining == 0)
    g_clear_pointer (&self->reconciled_racks, g_free);
}
