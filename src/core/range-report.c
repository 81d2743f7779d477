/* Reports of rack owners about runs.
 *
 * A report is matched by job, task and attempt; the order of arrival is irrelevant. A task
 * proceeds to its next attempt only on proof: a rack's report that the attempt did not run and
 * will not, or that it has ended. */
#include "internal/range-private.h"

#include "fb-event.h"

static gboolean
is_end (FbRunStatus run_status)
{
  switch (run_status)
    {
    case FB_RUN_STATUS_REFUSED:
    case FB_RUN_STATUS_NOT_RUN:
    case FB_RUN_STATUS_COMPLETED:
    case FB_RUN_STATUS_FAILED:
    case FB_RUN_STATUS_STOPPED:
    case FB_RUN_STATUS_LOST:
      return TRUE;
    default:
      return FALSE;
    }
}

static void
handle_started (FbRange *self, uint64_t now_ms, FbJobTask *task)
{
  FbJob *job = task->job;
  if (task->state == FB_JOB_TASK_RUNNING)
    return;
  fb_job_set_state (job, task, FB_JOB_TASK_RUNNING);
  task->backoff_ms = 0;
  if (job->first_wait_ms == 0)
    job->first_wait_ms = MAX (now_ms - job->arrived_ms, 1);
  fb_range_set_timer (self, task, now_ms + FB_RANGE_QUERY_MS);
  if (job->frontends->len > 0 && job->state_n[FB_JOB_TASK_RUNNING] == 1)
    fb_range_answer_frontends (self, now_ms, job);
}

static void
handle_reserved (FbRange *self, uint64_t now_ms, FbJobTask *task)
{
  FbJob *job = task->job;
  if (task->state != FB_JOB_TASK_PLACED && task->state != FB_JOB_TASK_RESERVED)
    return;
  if (task->state == FB_JOB_TASK_PLACED)
    {
      fb_job_set_state (job, task, FB_JOB_TASK_RESERVED);
      fb_range_set_timer (self, task, now_ms + FB_RANGE_QUERY_MS);
    }
  if (!job->committed && job->reserve_until_ms > 0 && now_ms >= job->reserve_until_ms)
    fb_gang_break (self, now_ms, job);
  else
    fb_gang_advance (self, now_ms, job);
}

static void
handle_queued (FbRange *self, uint64_t now_ms, FbJobTask *task)
{
  FbJob *job = task->job;
  if (fb_job_is_gang (job))
    {
      if (job->reserve_until_ms > 0 && now_ms >= job->reserve_until_ms)
        fb_gang_break (self, now_ms, job);
      return;
    }
  /* The task is still queued at its rack: withdraw it to move it to a rack with free
   * capacity. The rack's reply proves that it has not started. */
  if (now_ms - task->placed_ms < FB_RANGE_REBALANCE_MS
      || !fb_range_has_other_rack (self, now_ms, task))
    return;
  task->avoid_rack = task->rack;
  fb_range_send_command (self, task, FB_MSG_WITHDRAW, FALSE);
}

static void
handle_not_run (FbRange *self, uint64_t now_ms, FbJobTask *task, FbReason reason)
{
  FbJob *job = task->job;
  if (reason == FB_REASON_PAST_DUE || job->due_ms <= now_ms)
    {
      fb_range_task_past_due (self, task);
      if (fb_job_is_gang (job))
        fb_gang_break (self, now_ms, job);
      return;
    }
  if (reason != FB_REASON_NONE && reason != FB_REASON_WITHDRAWN)
    {
      task->avoid_rack = task->rack;
      self->callbacks->refused (self->user, task->rack, reason);
    }
  fb_range_retry_task (self, now_ms, task, reason != FB_REASON_WITHDRAWN);
  if (fb_job_is_gang (job) && !job->cancelled)
    fb_gang_break (self, now_ms, job);
}

static void
handle_stopped (FbRange *self, uint64_t now_ms, FbJobTask *task, FbReason reason)
{
  FbJob *job = task->job;
  if ((job->spec.flags & FB_FLAG_AT_MOST_ONCE) || job->cancelled)
    {
      fb_range_end_task (self, task, FB_OUTCOME_FAILED, reason, NULL, 0);
      if (fb_job_is_gang (job))
        fb_gang_break (self, now_ms, job);
      return;
    }
  task->preempt_count++;
  task->started_count++;
  fb_range_retry_task (self, now_ms, task, TRUE);
  if (fb_job_is_gang (job) && !job->cancelled)
    fb_gang_break (self, now_ms, job);
}

/* Handles a run that may have run and cannot be running any more. */
static void
handle_lost (FbRange *self, uint64_t now_ms, FbJobTask *task)
{
  FbJob *job = task->job;
  gboolean retries_used = !fb_job_is_service (job) && task->lost_count >= FB_RANGE_LOST_RETRIES;
  if ((job->spec.flags & FB_FLAG_AT_MOST_ONCE) || retries_used)
    {
      fb_range_end_task (self, task, FB_OUTCOME_UNKNOWN, FB_REASON_WORKER_LOST, NULL, 0);
      if (fb_job_is_gang (job))
        fb_gang_break (self, now_ms, job);
      return;
    }
  task->lost_count++;
  task->started_count++;
  fb_range_retry_task (self, now_ms, task, TRUE);
  if (fb_job_is_gang (job) && !job->cancelled)
    fb_gang_break (self, now_ms, job);
}

/* Handles a report that the rack does not have the run. Such a report may come from a replaced
 * owner of the rack or from a later owner, and the run may have started; it must not cause a
 * second concurrent run. A report with an epoch below the one that the run was sent to proves
 * nothing. A report at the same epoch proves that the order was never handled. A report at a
 * later epoch proves that the run is not running and never will, but not that it never ran, so
 * the outcome of an at-most-once run remains unknown. To a successor of the range's owner, the
 * same epoch does not prove that repeatable work has not run: its predecessor may have
 * acknowledged an end that it did not write to the log. */
static void
handle_not_found (FbRange *self, uint64_t now_ms, FbJobTask *task, const fb_report *report)
{
  if (report->rack_epoch < task->rack_epoch)
    return;
  gboolean at_most_once = (task->job->spec.flags & FB_FLAG_AT_MOST_ONCE) != 0;
  if (report->rack_epoch == task->rack_epoch && (at_most_once || !task->recovered))
    handle_not_run (self, now_ms, task, FB_REASON_NONE);
  else
    handle_lost (self, now_ms, task);
}

static void
handle_completed (FbRange *self, uint64_t now_ms, FbJobTask *task, const fb_report *report)
{
  FbJob *job = task->job;
  if (fb_job_is_service (job) && !job->cancelled && task->index < job->spec.count)
    {
      task->started_count++;
      fb_range_retry_task (self, now_ms, task, TRUE);
      return;
    }
  if (job->first_wait_ms == 0)
    job->first_wait_ms = MAX (now_ms - job->arrived_ms, 1);
  fb_range_end_task (self, task, FB_OUTCOME_COMPLETED, FB_REASON_NONE, report->answer.answer_val,
                     report->answer.answer_len);
}

static void
handle_failed (FbRange *self, uint64_t now_ms, FbJobTask *task, const fb_report *report)
{
  FbJob *job = task->job;
  gboolean service = fb_job_is_service (job);
  gboolean retry = !(job->spec.flags & FB_FLAG_AT_MOST_ONCE)
                   && (service || task->fail_count < FB_RANGE_FAIL_RETRIES);
  if (retry && !job->cancelled)
    {
      task->fail_count++;
      task->started_count++;
      task->avoid_rack = task->rack;
      fb_range_retry_task (self, now_ms, task, TRUE);
    }
  else
    fb_range_end_task (self, task, FB_OUTCOME_FAILED, FB_REASON_NONE, report->answer.answer_val,
                       report->answer.answer_len);
  if (fb_job_is_gang (job) && !job->cancelled)
    fb_gang_break (self, now_ms, job);
}

static void
handle_live_task (FbRange *self, uint64_t now_ms, FbJobTask *task, const fb_report *report)
{
  switch ((FbRunStatus) report->run_status)
    {
    case FB_RUN_STATUS_QUEUED:
      handle_queued (self, now_ms, task);
      break;
    case FB_RUN_STATUS_RESERVED:
      handle_reserved (self, now_ms, task);
      break;
    case FB_RUN_STATUS_STARTED:
      handle_started (self, now_ms, task);
      break;
    case FB_RUN_STATUS_REFUSED:
    case FB_RUN_STATUS_NOT_RUN:
      handle_not_run (self, now_ms, task, (FbReason) report->reason);
      break;
    case FB_RUN_STATUS_COMPLETED:
      handle_completed (self, now_ms, task, report);
      break;
    case FB_RUN_STATUS_FAILED:
      handle_failed (self, now_ms, task, report);
      break;
    case FB_RUN_STATUS_STOPPED:
      handle_stopped (self, now_ms, task, (FbReason) report->reason);
      break;
    case FB_RUN_STATUS_LOST:
      handle_lost (self, now_ms, task);
      break;
    case FB_RUN_STATUS_NOT_FOUND:
      handle_not_found (self, now_ms, task, report);
      break;
    case FB_RUN_STATUS_UNDETERMINED:
      break;
    }
}

/* Returns: TRUE and sets *OUTCOME if REPORT determines the outcome of a task that was
 * unknown. */
static gboolean
resolves_unknown (const FbJobTask *task, const fb_report *report, FbOutcome *outcome)
{
  if (task->state != FB_JOB_TASK_DONE || task->outcome != FB_OUTCOME_UNKNOWN)
    return FALSE;
  switch ((FbRunStatus) report->run_status)
    {
    case FB_RUN_STATUS_COMPLETED:
      *outcome = FB_OUTCOME_COMPLETED;
      return TRUE;
    case FB_RUN_STATUS_FAILED:
    case FB_RUN_STATUS_STOPPED:
      *outcome = FB_OUTCOME_FAILED;
      return TRUE;
    case FB_RUN_STATUS_REFUSED:
    case FB_RUN_STATUS_NOT_RUN:
      *outcome = FB_OUTCOME_NOT_RUN;
      return task->started_count == 0;
    default:
      return FALSE;
    }
}

/* Returns: TRUE if the end of TASK may be acknowledged, so that the rack drops it: the log has
 * it, or it has no outcome that the log would have to keep. */
static gboolean
may_ack (const FbJobTask *task)
{
  return task->state != FB_JOB_TASK_ENDING;
}

void
fb_range_report (FbRange *self, uint64_t now_ms, const fb_report *report)
{
  if (!self->active)
    return;
  FbJob *job = fb_range_find (self, report->run.job);
  if (job == NULL || report->run.index >= job->task_n)
    {
      if (is_end ((FbRunStatus) report->run_status))
        fb_range_send_ack (self, report);
      return;
    }
  FbJobTask *task = &job->tasks[report->run.index];
  gboolean current = task->attempt == report->run.attempt;
  gboolean live = task->state == FB_JOB_TASK_PLACED || task->state == FB_JOB_TASK_RESERVED
                  || task->state == FB_JOB_TASK_RUNNING;
  FbOutcome resolved;
  if (current && live)
    handle_live_task (self, now_ms, task, report);
  else if (current && resolves_unknown (task, report, &resolved))
    {
      task->rack = report->rack;
      fb_range_end_task (self, task, resolved, (FbReason) report->reason, report->answer.answer_val,
                         report->answer.answer_len);
      return;
    }
  if (is_end ((FbRunStatus) report->run_status) && (!current || may_ack (task)))
    fb_range_send_ack (self, report);
}
