/* A range: requests of the daemons that serve callers, and the end of tasks and jobs. */
#include "internal/range-private.h"
#include "internal/stream.h"

#include "fb-counter.h"
#include "fb-event.h"

#include <string.h>

#define CANCEL_CHUNK 256
#define BACKOFF_FIRST_MS 100
#define BACKOFF_MAX_MS 5000
#define REMOVE_CHUNK 64
#define GANG_RETRY_MS 1500
#define ATTEMPTS_PER_CLAIM_BITS 8

FbRange *
fb_range_new (uint32_t id, gboolean durable, const FbRangeCallbacks *callbacks, gpointer user,
              uint32_t seed)
{
  FbRange *self = g_new0 (FbRange, 1);
  self->id = id;
  self->durable = durable;
  self->callbacks = callbacks;
  self->user = user;
  self->log_ok = TRUE;
  self->next_due_ms = G_MAXUINT64;
  self->rand = g_rand_new_with_seed (seed);
  self->jobs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, fb_job_free);
  for (guint k = 0; k < FB_KIND_N; k++)
    self->timers[k] = g_sequence_new (NULL);
  self->with_intents = g_ptr_array_new ();
  g_queue_init (&self->cancelling);
  g_queue_init (&self->ended);
  return self;
}

void
fb_range_free (FbRange *self)
{
  g_queue_clear (&self->cancelling);
  g_queue_clear (&self->ended);
  g_hash_table_destroy (self->jobs);
  for (guint k = 0; k < FB_KIND_N; k++)
    g_sequence_free (self->timers[k]);
  g_ptr_array_free (self->with_intents, TRUE);
  g_rand_free (self->rand);
  g_free (self->reconciled_racks);
  g_free (self);
}

FbJob *
fb_range_find (const FbRange *self, uint64_t job)
{
  return g_hash_table_lookup (self->jobs, &job);
}

static int
compare_timer (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void) unused;
  const FbJobTask *x = a;
  const FbJobTask *y = b;
  if (x->due_ms != y->due_ms)
    return x->due_ms < y->due_ms ? -1 : 1;
  if (x->job->due_ms != y->job->due_ms)
    return x->job->due_ms < y->job->due_ms ? -1 : 1;
  if (x->job->spec.id != y->job->spec.id)
    return x->job->spec.id < y->job->spec.id ? -1 : 1;
  return (x->index > y->index) - (x->index < y->index);
}

void
fb_range_clear_timer (FbRange *self, FbJobTask *task)
{
  (void) self;
  if (task->timer != NULL)
    g_sequence_remove (task->timer);
  task->timer = NULL;
}

void
fb_range_set_timer (FbRange *self, FbJobTask *task, uint64_t due_ms)
{
  fb_range_clear_timer (self, task);
  task->due_ms = due_ms;
  self->next_due_ms = MIN (self->next_due_ms, due_ms);
  task->timer
      = g_sequence_insert_sorted (self->timers[task->job->spec.kind], task, compare_timer, NULL);
}

/* ---- answers ---------------------------------------------------------- */

void
fb_range_send_answer (FbRange *self, uint64_t now_ms, const FbJob *job, const char *frontend)
{
  gsize len = 0;
  const char *data = job->body != NULL ? g_bytes_get_data (job->body, &len) : NULL;
  fb_answer answer
      = { .job = job->spec.id,
          .outcome = job->outcome,
          .reason = job->reason,
          .task_count = job->spec.count,
          .done_count = job->state_n[FB_JOB_TASK_DONE],
          .running_count = job->state_n[FB_JOB_TASK_RUNNING],
          .wait_ms = job->first_wait_ms > 0 ? job->first_wait_ms : now_ms - job->arrived_ms,
          .body = { (u_int) len, (char *) data } };
  self->callbacks->answer (self->user, self, frontend, &answer);
}

void
fb_range_answer_frontends (FbRange *self, uint64_t now_ms, FbJob *job)
{
  if (!self->active)
    return;
  for (guint i = 0; i < job->frontends->len; i++)
    fb_range_send_answer (self, now_ms, job, g_ptr_array_index (job->frontends, i));
  if (fb_job_is_final (job))
    g_ptr_array_set_size (job->frontends, 0);
}

static void
send_outcome (FbRange *self, uint64_t job, FbOutcome outcome, FbReason reason, uint32_t copy,
              const char *frontend)
{
  fb_answer answer = { .refused_copy = copy, .job = job, .outcome = outcome, .reason = reason };
  self->callbacks->answer (self->user, self, frontend, &answer);
}

/* Answers about a job that this range does not have. If records were lost, the job may have
 * existed. */
static void
answer_unknown_job (FbRange *self, uint64_t now_ms, uint64_t job, const char *frontend)
{
  if (now_ms < self->history_gap_until_ms)
    send_outcome (self, job, FB_OUTCOME_UNKNOWN, FB_REASON_RETENTION, 0, frontend);
  else
    send_outcome (self, job, FB_OUTCOME_NO_SUCH_JOB, FB_REASON_NONE, 0, frontend);
}

static void
add_frontend (FbJob *job, const char *frontend)
{
  for (guint i = 0; i < job->frontends->len; i++)
    {
      if (g_str_equal (g_ptr_array_index (job->frontends, i), frontend))
        return;
    }
  g_ptr_array_add (job->frontends, g_strdup (frontend));
}

/* ---- commands --------------------------------------------------------- */

static gboolean
same_job (const fb_job *a, const fb_job *b)
{
  return a->partner == b->partner && a->team == b->team && a->kind == b->kind
         && a->count == b->count && a->payload.payload_len == b->payload.payload_len
         && memcmp (&a->demand, &b->demand, sizeof a->demand) == 0
         && (a->payload.payload_len == 0
             || memcmp (a->payload.payload_val, b->payload.payload_val, a->payload.payload_len)
                    == 0);
}

static FbReason
refusal_of (const FbRange *self, const fb_job *job)
{
  if (job->kind >= FB_KIND_N || job->partner >= FB_PARTNER_N || job->count == 0
      || job->count > FB_RANGE_TASK_MAX)
    return FB_REASON_NEVER_FITS;
  fb_spec spec = { .partner = job->partner, .flags = job->flags, .demand = job->demand };
  if (!self->callbacks->ever_fits (self->user, &spec))
    return FB_REASON_NEVER_FITS;
  if (self->durable && !self->log_ok)
    return FB_REASON_LOG_DOWN;
  if (self->reconciled_racks != NULL)
    return FB_REASON_RETENTION;
  if (g_hash_table_size (self->jobs) >= FB_RANGE_JOB_MAX)
    return FB_REASON_OVERLOAD;
  return FB_REASON_NONE;
}

static void
submit_duplicate (FbRange *self, uint64_t now_ms, FbJob *job, const fb_job *spec, uint32_t copy,
                  const char *frontend)
{
  if (fb_job_is_service (job))
    {
      gboolean changed
          = job->cancelled || !same_job (&job->spec, spec) || job->spec.flags != spec->flags;
      if (changed && self->log_ok)
        {
          job->changing = TRUE;
          fb_rec_body body = { .type = FB_REC_ADMIT };
          body.fb_rec_body_u.admit = (fb_rec_admit){ *spec, TRUE, 0, 0 };
          self->callbacks->append (self->user, self, &body);
        }
      return;
    }
  if (!same_job (&job->spec, spec))
    {
      send_outcome (self, spec->id, FB_OUTCOME_NOT_RUN, FB_REASON_KEY_MISMATCH, copy, frontend);
      return;
    }
  if (fb_job_is_final (job))
    {
      fb_range_send_answer (self, now_ms, job, frontend);
      return;
    }
  add_frontend (job, frontend);
  if (job->admitted)
    fb_range_send_answer (self, now_ms, job, frontend);
}

/* Returns: the number of the first attempt after a loss of records: a value that only this claim
 * uses. If a job was lost together with its attempts and is admitted again, a late report about
 * an old attempt could otherwise be taken for a report about a new attempt with the same number. */
static uint32_t
first_attempt_of (uint64_t epoch)
{
  return (uint32_t) ((epoch >> FB_EPOCH_SUB_BITS) << ATTEMPTS_PER_CLAIM_BITS) | 1;
}

/* Returns: the outcome of a job that is refused. A replaced owner that has not noticed its
 * replacement may refuse a key that its successor has admitted, so "not run" would be wrong for
 * work that runs. "Not run" is therefore answered only for a job without a key, which cannot be
 * the same as another job. For a job with a key, the state of this owner proves nothing until it
 * has been read back from the log; the answer is "unknown", and the caller may submit the job
 * again under the same key. A job that never fits is refused by every owner. */
static FbOutcome
refusal_outcome (const fb_job *spec, FbReason reason)
{
  if (reason == FB_REASON_NEVER_FITS || spec->key[0] == '\0')
    return FB_OUTCOME_NOT_RUN;
  return FB_OUTCOME_UNKNOWN;
}

void
fb_range_submit (FbRange *self, uint64_t now_ms, const fb_job *spec, uint32_t copy,
                 const char *frontend)
{
  if (!self->active)
    return;
  FbJob *job = fb_range_find (self, spec->id);
  if (job != NULL)
    {
      submit_duplicate (self, now_ms, job, spec, copy, frontend);
      return;
    }
  if (now_ms < self->history_gap_until_ms && (spec->flags & FB_FLAG_AT_MOST_ONCE))
    {
      send_outcome (self, spec->id, FB_OUTCOME_UNKNOWN, FB_REASON_RETENTION, 0, frontend);
      return;
    }
  FbReason refusal = refusal_of (self, spec);
  if (refusal != FB_REASON_NONE)
    {
      FbOutcome outcome = refusal_outcome (spec, refusal);
      fb_event_log (FB_EVENT_JOB_ENDED, "job=%016" G_GINT64_MODIFIER "x outcome=%s reason=%s",
                    spec->id, fb_outcome_name (outcome), fb_reason_name (refusal));
      send_outcome (self, spec->id, outcome, refusal, copy, frontend);
      return;
    }
  job = fb_job_new (now_ms, spec);
  if (now_ms < self->history_gap_until_ms)
    fb_job_set_history_gap (job, first_attempt_of (self->epoch));
  uint64_t log_now_ms = self->callbacks->log_clock_ms (self->user);
  if (log_now_ms > 0 && spec->remaining_ms != FB_NO_DEADLINE_MS)
    job->due_log_ms = fb_deadline_after (log_now_ms, spec->remaining_ms);
  g_hash_table_insert (self->jobs, &job->spec.id, job);
  add_frontend (job, frontend);
  fb_rec_body body = { .type = FB_REC_ADMIT };
  body.fb_rec_body_u.admit
      = (fb_rec_admit){ job->spec, FALSE, job->first_attempt_after_gap, job->due_log_ms };
  self->callbacks->append (self->user, self, &body);
}

void
fb_range_query_job (FbRange *self, uint64_t now_ms, const fb_job_command *command,
                    const char *frontend)
{
  if (!self->active)
    return;
  FbJob *job = fb_range_find (self, command->job);
  if (job == NULL || job->spec.partner != command->partner)
    answer_unknown_job (self, now_ms, command->job, frontend);
  else if (job->admitted)
    fb_range_send_answer (self, now_ms, job, frontend);
}

void
fb_range_cancel (FbRange *self, uint64_t now_ms, const fb_job_command *command,
                 const char *frontend)
{
  if (!self->active)
    return;
  FbJob *job = fb_range_find (self, command->job);
  if (job == NULL || job->spec.partner != command->partner)
    {
      answer_unknown_job (self, now_ms, command->job, frontend);
      return;
    }
  if (!job->cancelled && !fb_job_is_final (job))
    {
      job->changing = TRUE;
      fb_rec_body body = { .type = FB_REC_CANCEL };
      body.fb_rec_body_u.cancel.job = command->job;
      self->callbacks->append (self->user, self, &body);
    }
  /* An answer implies that the job has been admitted. */
  if (job->admitted)
    fb_range_send_answer (self, now_ms, job, frontend);
}

void
fb_range_cancel_undeclared_services (FbRange *self, uint64_t now_ms, GHashTable *declared)
{
  g_autoptr (GList) all = g_hash_table_get_values (self->jobs);
  for (GList *link = all; link != NULL; link = link->next)
    {
      const FbJob *job = link->data;
      if (!fb_job_is_service (job) || job->cancelled || !job->admitted
          || g_hash_table_contains (declared, &job->spec.id))
        continue;
      fb_job_command command = { job->spec.id, job->spec.partner };
      fb_range_cancel (self, now_ms, &command, "");
    }
}

/* ---- end of tasks and jobs --------------------------------------------- */

void
fb_range_retry_task (FbRange *self, uint64_t now_ms, FbJobTask *task, gboolean back_off)
{
  FbJob *job = task->job;
  if (job->cancelled || task->index >= job->spec.count)
    {
      fb_job_set_state (job, task, FB_JOB_TASK_WAITING);
      fb_range_end_task (self, task,
                         task->started_count > 0 ? FB_OUTCOME_UNKNOWN : FB_OUTCOME_NOT_RUN,
                         FB_REASON_CANCELLED, NULL, 0);
      return;
    }
  fb_job_set_state (job, task, FB_JOB_TASK_WAITING);
  uint32_t wait_ms = 0;
  if (back_off)
    {
      task->backoff_ms = MIN (MAX (task->backoff_ms * 2, BACKOFF_FIRST_MS), BACKOFF_MAX_MS);
      wait_ms = task->backoff_ms / 2
                + (uint32_t) g_rand_int_range (self->rand, 0, (gint32) task->backoff_ms);
    }
  /* The capacity that the members have released reaches the router only with the next summary. */
  if (fb_job_is_gang (job))
    wait_ms
        = MAX (wait_ms, GANG_RETRY_MS + (uint32_t) g_rand_int_range (self->rand, 0, GANG_RETRY_MS));
  fb_range_set_timer (self, task, now_ms + wait_ms);
}

void
fb_range_end_task (FbRange *self, FbJobTask *task, FbOutcome outcome, FbReason reason,
                   const char *body, uint32_t body_len)
{
  FbJob *job = task->job;
  fb_range_clear_timer (self, task);
  if (task->state == FB_JOB_TASK_DONE)
    job->outcome_n[task->outcome]--;
  fb_job_set_state (job, task, FB_JOB_TASK_ENDING);
  task->ending = outcome;
  task->ending_reason = reason;
  if (body_len > 0)
    {
      g_clear_pointer (&job->ending_body, g_bytes_unref);
      job->ending_body = g_bytes_new (body, body_len);
    }
  fb_rec_task end = { .index = task->index,
                      .attempt = task->attempt,
                      .rack = task->rack,
                      .rack_epoch = task->rack_epoch,
                      .outcome = outcome,
                      .reason = reason,
                      .started_count = task->started_count };
  fb_rec_body record = { .type = FB_REC_END };
  record.fb_rec_body_u.end.job = job->spec.id;
  record.fb_rec_body_u.end.tasks.tasks_len = 1;
  record.fb_rec_body_u.end.tasks.tasks_val = &end;
  record.fb_rec_body_u.end.body.body_len = body_len;
  record.fb_rec_body_u.end.body.body_val = (char *) body;
  self->callbacks->append (self->user, self, &record);
}

/* Ends a task that is past its due time and not running. If an earlier attempt ran or may
 * have run, "not run" would be wrong. */
void
fb_range_task_past_due (FbRange *self, FbJobTask *task)
{
  FbOutcome outcome = task->started_count > 0 ? FB_OUTCOME_UNKNOWN : FB_OUTCOME_NOT_RUN;
  fb_range_end_task (self, task, outcome, FB_REASON_PAST_DUE, NULL, 0);
}

/* Returns: the outcome of a job whose tasks are all done: NOT_RUN only if no task ever ran,
 * UNKNOWN if it is unknown for some task whether it ran. */
static FbOutcome
outcome_of (const FbJob *job)
{
  if (job->outcome_n[FB_OUTCOME_UNKNOWN] > 0)
    return FB_OUTCOME_UNKNOWN;
  if (job->outcome_n[FB_OUTCOME_COMPLETED] == job->task_n)
    return FB_OUTCOME_COMPLETED;
  if (job->outcome_n[FB_OUTCOME_NOT_RUN] == job->task_n)
    return FB_OUTCOME_NOT_RUN;
  return FB_OUTCOME_FAILED;
}

static FbReason
reason_of (const FbJob *job)
{
  for (guint i = 0; i < job->task_n; i++)
    {
      if (job->tasks[i].reason != FB_REASON_NONE)
        return job->tasks[i].reason;
    }
  return FB_REASON_NONE;
}

static void
count_outcome (FbOutcome outcome)
{
  static const FbCounter counters[]
      = { FB_COUNTER_COMPLETED, FB_COUNTER_FAILED, FB_COUNTER_NOT_RUN, FB_COUNTER_UNKNOWN };
  if (outcome < G_N_ELEMENTS (counters))
    fb_counter_add (counters[outcome], 1);
}

void
fb_range_finish_if_done (FbRange *self, uint64_t now_ms, FbJob *job)
{
  if (job->state_n[FB_JOB_TASK_DONE] < job->task_n || (fb_job_is_service (job) && !job->cancelled))
    return;
  gboolean first = !fb_job_is_final (job);
  job->outcome = outcome_of (job);
  job->reason = job->outcome == FB_OUTCOME_COMPLETED ? FB_REASON_NONE : reason_of (job);
  if (first)
    {
      job->ended_ms = now_ms;
      g_queue_push_tail (&self->ended, job);
      count_outcome (job->outcome);
    }
  fb_event_log (FB_EVENT_JOB_ENDED, "job=%016" G_GINT64_MODIFIER "x outcome=%s reason=%s tasks=%u",
                job->spec.id, fb_outcome_name (job->outcome), fb_reason_name (job->reason),
                job->task_n);
  fb_range_answer_frontends (self, now_ms, job);
}

/* ---- periodic work ----------------------------------------------------- */

static void
cancel_next_tasks (FbRange *self, uint64_t now_ms)
{
  guint budget = CANCEL_CHUNK;
  FbJob *job;
  while (budget > 0 && (job = g_queue_peek_head (&self->cancelling)) != NULL)
    {
      while (budget > 0 && job->cancel_next < job->task_n)
        {
          FbJobTask *task = &job->tasks[job->cancel_next++];
          budget--;
          gboolean unsent = task->state == FB_JOB_TASK_PLACED && !task->sent;
          if (task->state == FB_JOB_TASK_WAITING || unsent)
            fb_range_retry_task (self, now_ms, task, FALSE);
          else if (task->state < FB_JOB_TASK_ENDING)
            fb_range_send_command (self, task, FB_MSG_WITHDRAW, TRUE);
        }
      if (job->cancel_next >= job->task_n)
        g_queue_pop_head (&self->cancelling);
    }
}

static void
remove_expired_jobs (FbRange *self, uint64_t now_ms)
{
  const uint64_t keep_ms = self->durable ? FB_RANGE_JOB_RETENTION_MS : 2 * FB_RANGE_DUE_GRACE_MS;
  for (guint i = 0; i < REMOVE_CHUNK; i++)
    {
      FbJob *job = g_queue_peek_head (&self->ended);
      if (job == NULL || now_ms - job->ended_ms < keep_ms)
        return;
      g_queue_pop_head (&self->ended);
      g_hash_table_remove (self->jobs, &job->spec.id);
    }
}

void
fb_range_activate (FbRange *self, uint64_t now_ms, uint64_t epoch)
{
  self->active = TRUE;
  self->epoch = epoch;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbJob *job = value;
      for (guint i = 0; i < job->task_n && !fb_job_is_final (job); i++)
        {
          if (job->tasks[i].state < FB_JOB_TASK_ENDING)
            fb_range_set_timer (self, &job->tasks[i], now_ms);
        }
    }
}

void
fb_range_deactivate (FbRange *self)
{
  self->active = FALSE;
}

void
fb_range_set_log_ok (FbRange *self, gboolean ok)
{
  self->log_ok = ok;
}

void
fb_range_flush (FbRange *self, uint64_t now_ms)
{
  if (!self->active || self->reconciled_racks != NULL || self->next_due_ms > now_ms)
    return;
  self->next_due_ms = G_MAXUINT64;
  fb_range_dispatch (self, now_ms);
}

void
fb_range_tick (FbRange *self, uint64_t now_ms)
{
  if (!self->active)
    return;
  fb_range_reconcile_tick (self, now_ms);
  if (self->reconciled_racks == NULL)
    fb_range_dispatch (self, now_ms);
  cancel_next_tasks (self, now_ms);
  remove_expired_jobs (self, now_ms);
}
