/* Application of the records of a range's stream, in log order.
 *
 * The same code applies the owner's own records when the log returns them, and the records that
 * a successor reads; only an active range sends messages and answers. */
#include "internal/range-private.h"

#include "fb-counter.h"
#include "fb-event.h"

static void
record_written (FbJob *job, uint64_t now_ms, const FbRecordPosition *position)
{
  job->written_ms = now_ms - MIN (now_ms, position->age_ms);
  job->written_offset = position->offset;
  job->rewriting = FALSE;
}

static void
apply_admit (FbRange *self, uint64_t now_ms, const fb_rec_admit *admit, uint64_t age_ms,
             const FbRecordPosition *position)
{
  const fb_job *spec = &admit->job;
  FbJob *job = fb_range_find (self, spec->id);
  /* An update has no state of the tasks. It is not applied if the earlier records are missing, as
   * the job would otherwise be taken for a new one. */
  if (job == NULL && admit->update)
    return;
  if (job == NULL)
    {
      if (spec->kind >= FB_KIND_N || spec->count == 0 || spec->count > FB_RANGE_TASK_MAX)
        {
          fb_counter_add (FB_COUNTER_LOG_SKIPPED, 1);
          return;
        }
      job = fb_job_new_recovered (now_ms, admit, age_ms, position);
      g_hash_table_insert (self->jobs, &job->spec.id, job);
    }
  else if (job->admitted && fb_job_is_service (job))
    {
      job->changing = FALSE;
      job->cancelled = FALSE;
      job->outcome = FB_OUTCOME_PENDING;
      job->spec.demand = spec->demand;
      job->spec.flags = spec->flags;
      fb_job_resize (self, now_ms, job, spec->count);
    }
  if (job->admitted)
    return;
  job->admitted = TRUE;
  record_written (job, now_ms, position);
  for (guint i = 0; i < job->task_n; i++)
    fb_range_set_timer (self, &job->tasks[i], now_ms);
  fb_event_log (FB_EVENT_JOB_ADMITTED, "job=%016" G_GINT64_MODIFIER "x kind=%s tasks=%u range=%u",
                spec->id, fb_kind_name ((FbKind) spec->kind), spec->count, self->id);
  fb_range_answer_frontends (self, now_ms, job);
}

static FbJobTask *
task_of (FbJob *job, const fb_rec_task *record)
{
  return record->index < job->task_n ? &job->tasks[record->index] : NULL;
}

static void
apply_intent_task (FbRange *self, uint64_t now_ms, FbJob *job, const fb_rec_task *record)
{
  FbJobTask *task = task_of (job, record);
  if (task == NULL || task->state == FB_JOB_TASK_DONE || task->state == FB_JOB_TASK_ENDING)
    return;
  gboolean own
      = self->active && task->state == FB_JOB_TASK_INTENT && task->attempt == record->attempt;
  task->attempt = record->attempt;
  task->preempt_count = record->preempt_count;
  task->started_count = record->started_count;
  if (own && fb_job_is_gang (job))
    {
      fb_job_set_state (job, task, FB_JOB_TASK_PLACED);
      return;
    }
  if (own)
    {
      fb_range_send_place (self, now_ms, task);
      return;
    }
  if (task->state != FB_JOB_TASK_WAITING)
    fb_job_set_state (job, task, FB_JOB_TASK_WAITING);
  task->rack = record->rack;
  task->rack_epoch = record->rack_epoch;
  task->placed_ms = now_ms;
  task->sent = TRUE;
  task->recovered = TRUE;
  job->reserve_until_ms = now_ms + FB_RANGE_GANG_RESERVE_MS;
  fb_job_set_state (job, task, FB_JOB_TASK_PLACED);
  fb_range_set_timer (self, task, now_ms);
}

static void
apply_intent (FbRange *self, uint64_t now_ms, const fb_rec_intent *intent)
{
  FbJob *job = fb_range_find (self, intent->job);
  if (job == NULL)
    return;
  for (guint i = 0; i < intent->tasks.tasks_len; i++)
    apply_intent_task (self, now_ms, job, &intent->tasks.tasks_val[i]);
  if (self->active && fb_job_is_gang (job))
    fb_gang_advance (self, now_ms, job);
}

/* A known outcome may replace "unknown", never the other way round. */
static gboolean
may_replace (const FbJobTask *task, FbOutcome outcome)
{
  if (task->state != FB_JOB_TASK_DONE)
    return TRUE;
  return task->outcome == FB_OUTCOME_UNKNOWN && outcome != FB_OUTCOME_UNKNOWN;
}

static void
apply_end_task (FbRange *self, FbJob *job, const fb_rec_task *record, const fb_rec_end *end)
{
  FbJobTask *task = task_of (job, record);
  if (task == NULL || record->outcome >= FB_OUTCOME_PENDING
      || !may_replace (task, (FbOutcome) record->outcome))
    return;
  if (task->state == FB_JOB_TASK_DONE)
    job->outcome_n[task->outcome]--;
  fb_range_clear_timer (self, task);
  fb_job_set_state (job, task, FB_JOB_TASK_DONE);
  task->attempt = record->attempt;
  task->rack = record->rack;
  task->rack_epoch = record->rack_epoch;
  task->outcome = (FbOutcome) record->outcome;
  task->reason = (FbReason) record->reason;
  task->started_count = record->started_count;
  job->outcome_n[task->outcome]++;
  if (end != NULL && end->body.body_len > 0)
    {
      g_clear_pointer (&job->body, g_bytes_unref);
      job->body = g_bytes_new (end->body.body_val, end->body.body_len);
    }
  if (self->active && record->rack != FB_NO_RACK && record->outcome != FB_OUTCOME_UNKNOWN)
    {
      fb_report ended = { .run = fb_job_run (job, task), .rack = task->rack };
      fb_range_send_ack (self, &ended);
    }
}

static void
apply_end (FbRange *self, uint64_t now_ms, const fb_rec_end *end)
{
  FbJob *job = fb_range_find (self, end->job);
  if (job == NULL)
    return;
  for (guint i = 0; i < end->tasks.tasks_len; i++)
    apply_end_task (self, job, &end->tasks.tasks_val[i], end);
  fb_range_finish_if_done (self, now_ms, job);
}

static void
apply_cancel (FbRange *self, uint64_t now_ms, const fb_rec_cancel *cancel)
{
  FbJob *job = fb_range_find (self, cancel->job);
  if (job == NULL)
    return;
  job->changing = FALSE;
  if (job->cancelled || fb_job_is_final (job))
    return;
  job->cancelled = TRUE;
  job->cancel_next = 0;
  g_queue_push_tail (&self->cancelling, job);
  fb_range_finish_if_done (self, now_ms, job);
}

/* Restores the entries of tasks beyond the count of a service that has shrunk. */
static void
restore_entries (FbRange *self, uint64_t now_ms, FbJob *job, const fb_rec_state *state)
{
  guint entries = job->task_n;
  for (guint i = 0; i < state->tasks.tasks_len; i++)
    entries = MAX (entries, state->tasks.tasks_val[i].index + 1);
  if (!fb_job_is_service (job) || entries == job->task_n || entries > FB_RANGE_TASK_MAX)
    return;
  guint count = job->spec.count;
  fb_job_resize (self, now_ms, job, entries);
  job->spec.count = count;
}

/* A rewritten state only has an effect if the job is not known yet. */
static void
apply_state (FbRange *self, uint64_t now_ms, const fb_rec_state *state,
             const FbRecordPosition *position)
{
  FbJob *job = fb_range_find (self, state->admit.job.id);
  if (job != NULL && job->admitted)
    {
      record_written (job, now_ms, position);
      return;
    }
  apply_admit (self, now_ms, &state->admit, position->age_ms + state->age_ms, position);
  job = fb_range_find (self, state->admit.job.id);
  if (job == NULL)
    return;
  restore_entries (self, now_ms, job, state);
  if (state->body.body_len > 0)
    job->body = g_bytes_new (state->body.body_val, state->body.body_len);
  for (guint i = 0; i < state->tasks.tasks_len; i++)
    {
      const fb_rec_task *record = &state->tasks.tasks_val[i];
      FbJobTask *task = task_of (job, record);
      if (record->outcome == FB_OUTCOME_PENDING && record->rack != FB_NO_RACK)
        apply_intent_task (self, now_ms, job, record);
      else if (record->outcome == FB_OUTCOME_PENDING && task != NULL)
        {
          task->attempt = MAX (task->attempt, record->attempt);
          task->started_count = record->started_count;
        }
      else
        apply_end_task (self, job, record, NULL);
    }
  if (state->cancelled)
    {
      fb_rec_cancel cancel = { state->admit.job.id };
      apply_cancel (self, now_ms, &cancel);
    }
  fb_range_finish_if_done (self, now_ms, job);
}

void
fb_range_apply (FbRange *self, uint64_t now_ms, const fb_rec_body *body,
                const FbRecordPosition *position)
{
  switch (body->type)
    {
    case FB_REC_ADMIT:
      apply_admit (self, now_ms, &body->fb_rec_body_u.admit, position->age_ms, position);
      break;
    case FB_REC_INTENT:
      apply_intent (self, now_ms, &body->fb_rec_body_u.intent);
      break;
    case FB_REC_END:
      apply_end (self, now_ms, &body->fb_rec_body_u.end);
      break;
    case FB_REC_CANCEL:
      apply_cancel (self, now_ms, &body->fb_rec_body_u.cancel);
      break;
    case FB_REC_STATE:
      apply_state (self, now_ms, &body->fb_rec_body_u.state, position);
      break;
    case FB_REC_CLAIM:
    case FB_REC_RENEW:
    case FB_REC_CONFIG:
      break;
    }
}

static fb_rec_task
record_of (const FbJobTask *task)
{
  /* An end that is being appended is included: its own record precedes this one in the log, so a
   * reader that begins at this record does not get it. */
  gboolean ending = task->state == FB_JOB_TASK_ENDING;
  return (fb_rec_task){ .index = task->index,
                        .attempt = task->attempt,
                        .rack = task->state == FB_JOB_TASK_WAITING ? FB_NO_RACK : task->rack,
                        .rack_epoch = task->rack_epoch,
                        .outcome = ending ? task->ending : task->outcome,
                        .reason = ending ? task->ending_reason : task->reason,
                        .preempt_count = task->preempt_count,
                        .started_count = task->started_count };
}

static void
rewrite_job (FbRange *self, uint64_t now_ms, FbJob *job)
{
  gsize len = 0;
  GBytes *last = job->ending_body != NULL ? job->ending_body : job->body;
  const char *data = last != NULL ? g_bytes_get_data (last, &len) : NULL;
  g_autofree fb_rec_task *tasks = g_new0 (fb_rec_task, MAX (job->task_n, 1));
  guint n = 0;
  for (guint i = 0; i < job->task_n; i++)
    {
      /* The last attempt number is kept even if no attempt is in progress, since a late
       * report may still carry it. */
      if (job->tasks[i].state != FB_JOB_TASK_WAITING || job->tasks[i].attempt > 0)
        tasks[n++] = record_of (&job->tasks[i]);
    }
  fb_rec_body body = { .type = FB_REC_STATE };
  fb_rec_state *state = &body.fb_rec_body_u.state;
  state->admit = (fb_rec_admit){ job->spec, FALSE, job->first_attempt_after_gap, job->due_log_ms };
  state->age_ms = now_ms - job->arrived_ms;
  state->cancelled = job->cancelled;
  state->tasks.tasks_len = n;
  state->tasks.tasks_val = tasks;
  state->body.body_len = (u_int) len;
  state->body.body_val = (char *) data;
  job->rewriting = TRUE;
  self->callbacks->append (self->user, self, &body);
}

uint64_t
fb_range_oldest_offset (const FbRange *self, uint64_t next)
{
  uint64_t oldest = next;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const FbJob *job = value;
      if (job->admitted)
        oldest = MIN (oldest, job->written_offset);
    }
  return oldest;
}

void
fb_range_rewrite (FbRange *self, uint64_t now_ms, uint64_t age_max_ms)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbJob *job = value;
      /* A reader that begins between the record of a change and the rewritten state would miss
       * the change. */
      if (job->admitted && !job->rewriting && !job->changing
          && now_ms - job->written_ms >= age_max_ms)
        rewrite_job (self, now_ms, job);
    }
}
