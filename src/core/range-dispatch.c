/* Timed work of a range: routing, queries and timeouts.
 *
 * Each task has one timer. The timer of a waiting task is its next attempt; the timer of a task
 * at a rack is the next query about it, which makes up for lost reports. Kinds are served in
 * order of precedence, each with a limited number of tasks per pass, so that ten thousand batch
 * tasks that become due together do not delay an urgent one. */
#include "internal/range-private.h"

#include "fb-event.h"

#define KIND_BUDGET 512
#define RUNNING_QUERY_MS 10000
#define NO_RACK_WAIT_MS 200
#define INTENTS_PER_RECORD 256

static guint
count_in_rack (gpointer user, uint32_t rack)
{
  FbJob *job = user;
  return GPOINTER_TO_UINT (g_hash_table_lookup (job->per_rack, GUINT_TO_POINTER (rack + 1)));
}

typedef struct
{
  FbRange *range;
  FbJob *job;
} SpreadContext;

static guint
spread_in_rack (gpointer user, uint32_t rack)
{
  return count_in_rack (((SpreadContext *) user)->job, rack);
}

static guint
spread_in_domain (gpointer user, uint32_t domain)
{
  SpreadContext *context = user;
  GHashTableIter iter;
  gpointer key;
  gpointer count;
  guint sum = 0;
  g_hash_table_iter_init (&iter, context->job->per_rack);
  while (g_hash_table_iter_next (&iter, &key, &count))
    {
      uint32_t rack = GPOINTER_TO_UINT (key) - 1;
      if (context->range->callbacks->domain_of (context->range->user, rack) == domain)
        sum += GPOINTER_TO_UINT (count);
    }
  return sum;
}

static void
fill_spec (const FbRange *self, uint64_t now_ms, const FbJobTask *task, fb_spec *spec)
{
  const FbJob *job = task->job;
  *spec = (fb_spec){ .run = fb_job_run (job, task),
                     .range = self->id,
                     .range_epoch = self->epoch,
                     .partner = job->spec.partner,
                     .team = job->spec.team,
                     .kind = job->spec.kind,
                     .flags = job->spec.flags,
                     .preempt_count = task->preempt_count,
                     .demand = job->spec.demand,
                     .remaining_ms = fb_deadline_remaining (now_ms, job->due_ms),
                     .waited_ms = now_ms - job->arrived_ms,
                     .run_ms = job->spec.run_ms };
  spec->payload.payload_len = job->spec.payload.payload_len;
  spec->payload.payload_val = job->spec.payload.payload_val;
  if (fb_job_is_gang (job))
    spec->flags |= FB_FLAG_RESERVE;
}

gboolean
fb_range_choose_rack (FbRange *self, uint64_t now_ms, FbJobTask *task)
{
  FbJob *job = task->job;
  fb_spec spec;
  fill_spec (self, now_ms, task, &spec);
  SpreadContext context = { self, job };
  gboolean spread = fb_job_is_service (job) || fb_job_is_gang (job);
  FbRouteRequest request = { .spec = &spec,
                             .now_ms = now_ms,
                             .avoid_rack = task->avoid_rack,
                             .count_in_rack = spread ? spread_in_rack : NULL,
                             .count_in_domain = spread ? spread_in_domain : NULL,
                             .user = &context };
  FbRouteChoice choice;
  if (!self->callbacks->choose (self->user, self, &request, &choice))
    {
      fb_event_log (FB_EVENT_ROUTE_NONE, "job=%016" G_GINT64_MODIFIER "x task=%u", job->spec.id,
                    task->index);
      task->avoid_rack = FB_NO_RACK;
      return FALSE;
    }
  task->rack = choice.rack;
  task->rack_epoch = choice.epoch;
  fb_event_log (FB_EVENT_ROUTED,
                "job=%016" G_GINT64_MODIFIER "x task=%u attempt=%u rack=%u runner_up=%d",
                job->spec.id, task->index, task->attempt + 1, choice.rack,
                choice.runner_up == FB_NO_RACK ? -1 : (int) choice.runner_up);
  return TRUE;
}

gboolean
fb_range_has_other_rack (FbRange *self, uint64_t now_ms, const FbJobTask *task)
{
  fb_spec spec;
  FbRouteChoice choice;
  fill_spec (self, now_ms, task, &spec);
  FbRouteRequest request
      = { .spec = &spec, .now_ms = now_ms, .avoid_rack = task->rack, .probe_only = TRUE };
  return self->callbacks->choose (self->user, self, &request, &choice);
}

void
fb_range_add_intent (FbRange *self, FbJobTask *task)
{
  FbJob *job = task->job;
  task->attempt++;
  task->sent = FALSE;
  task->recovered = FALSE;
  task->placed_ms = 0;
  fb_range_clear_timer (self, task);
  fb_job_set_state (job, task, FB_JOB_TASK_INTENT);
  if (job->intents->len == 0)
    g_ptr_array_add (self->with_intents, job);
  g_array_append_val (job->intents, task->index);
}

/* Appends the attempts to the log, with the rack and its epoch, before they are sent. Otherwise,
 * if the owner fails after sending a task and before it gets the result, its successor would
 * send the task again, and for example a reminder would be sent twice. A successor queries the
 * recorded rack, and starts no second attempt of an at-most-once task without proof that the
 * first one did not run. */
static void
write_intents (FbRange *self, FbJob *job)
{
  fb_rec_task tasks[INTENTS_PER_RECORD];
  guint done = 0;
  while (done < job->intents->len)
    {
      guint n = MIN (job->intents->len - done, INTENTS_PER_RECORD);
      for (guint i = 0; i < n; i++)
        {
          const FbJobTask *task = &job->tasks[g_array_index (job->intents, uint32_t, done + i)];
          tasks[i] = (fb_rec_task){ .index = task->index,
                                    .attempt = task->attempt,
                                    .rack = task->rack,
                                    .rack_epoch = task->rack_epoch,
                                    .outcome = FB_OUTCOME_PENDING,
                                    .preempt_count = task->preempt_count,
                                    .started_count = task->started_count };
        }
      fb_rec_body body = { .type = FB_REC_INTENT };
      body.fb_rec_body_u.intent.job = job->spec.id;
      body.fb_rec_body_u.intent.tasks.tasks_len = n;
      body.fb_rec_body_u.intent.tasks.tasks_val = tasks;
      self->callbacks->append (self->user, self, &body);
      done += n;
    }
  g_array_set_size (job->intents, 0);
}

void
fb_range_send_place (FbRange *self, uint64_t now_ms, FbJobTask *task)
{
  FbJob *job = task->job;
  if (job->cancelled || job->due_ms <= now_ms)
    {
      /* It was not sent, so it has certainly not run. */
      fb_range_retry_task (self, now_ms, task, FALSE);
      return;
    }
  fb_body body = { .type = FB_MSG_PLACE };
  body.fb_body_u.place.rack = task->rack;
  body.fb_body_u.place.rack_epoch = task->rack_epoch;
  fill_spec (self, now_ms, task, &body.fb_body_u.place.spec);
  if (!self->callbacks->send (self->user, self, task->rack, &body))
    {
      fb_range_retry_task (self, now_ms, task, TRUE);
      return;
    }
  task->sent = TRUE;
  task->placed_ms = now_ms;
  if (task->state != FB_JOB_TASK_PLACED)
    fb_job_set_state (job, task, FB_JOB_TASK_PLACED);
  fb_range_set_timer (self, task, now_ms + FB_RANGE_QUERY_MS);
}

gboolean
fb_range_send_command (FbRange *self, FbJobTask *task, fb_msg_type type, gboolean force)
{
  fb_body body = { .type = type };
  fb_run_command command = { .run = fb_job_run (task->job, task),
                             .rack = task->rack,
                             .rack_epoch = task->rack_epoch,
                             .range = self->id,
                             .range_epoch = self->epoch,
                             .force = force };
  /* All members of the union that are an fb_run_command share one layout, so any of them
   * can be used. */
  body.fb_body_u.query = command;
  return self->callbacks->send (self->user, self, task->rack, &body);
}

void
fb_range_send_ack (FbRange *self, const fb_report *report)
{
  fb_body body = { .type = FB_MSG_ACK };
  body.fb_body_u.ack = (fb_run_command){
    .run = report->run, .rack = report->rack, .range = self->id, .range_epoch = self->epoch
  };
  (void) self->callbacks->send (self->user, self, report->rack, &body);
}

static void
place_waiting_task (FbRange *self, uint64_t now_ms, FbJobTask *task)
{
  FbJob *job = task->job;
  if (job->cancelled || task->index >= job->spec.count)
    {
      fb_range_retry_task (self, now_ms, task, FALSE);
      return;
    }
  if (job->due_ms <= now_ms)
    {
      fb_range_task_past_due (self, task);
      return;
    }
  if (fb_job_is_gang (job))
    {
      fb_gang_reserve (self, now_ms, job);
      return;
    }
  gboolean blocked = job->blocked_until_ms > now_ms;
  if (!blocked && fb_range_choose_rack (self, now_ms, task))
    {
      fb_range_add_intent (self, task);
      return;
    }
  /* The tasks of one job have the same demand: if one finds no rack, the others do not
   * search in this pass. */
  if (!blocked)
    job->blocked_until_ms
        = now_ms + NO_RACK_WAIT_MS + (uint64_t) g_rand_int_range (self->rand, 0, NO_RACK_WAIT_MS);
  fb_range_set_timer (self, task, MIN (job->blocked_until_ms, job->due_ms));
}

static void
query_rack (FbRange *self, uint64_t now_ms, FbJobTask *task)
{
  FbJob *job = task->job;
  gboolean unconfirmed = task->state == FB_JOB_TASK_PLACED || task->state == FB_JOB_TASK_RESERVED;
  if (unconfirmed && job->due_ms != FB_NO_DEADLINE_MS
      && now_ms >= job->due_ms + FB_RANGE_DUE_GRACE_MS)
    {
      /* The rack should have ended the task by now but does not answer. The task may have run. */
      fb_range_end_task (self, task, FB_OUTCOME_UNKNOWN, FB_REASON_WORKER_LOST, NULL, 0);
      if (fb_job_is_gang (job))
        fb_gang_break (self, now_ms, job);
      return;
    }
  gboolean unwanted = job->cancelled || task->index >= job->spec.count;
  if (unwanted)
    fb_range_send_command (self, task, FB_MSG_WITHDRAW, TRUE);
  else if (task->state == FB_JOB_TASK_RESERVED && job->committed)
    fb_range_send_command (self, task, FB_MSG_COMMIT, FALSE);
  else
    fb_range_send_command (self, task, FB_MSG_QUERY, FALSE);
  uint64_t wait_ms
      = task->state == FB_JOB_TASK_RUNNING && !unwanted ? RUNNING_QUERY_MS : FB_RANGE_QUERY_MS;
  fb_range_set_timer (self, task, now_ms + wait_ms);
}

static void
on_timer (FbRange *self, uint64_t now_ms, FbJobTask *task)
{
  fb_range_clear_timer (self, task);
  if (!task->job->admitted)
    return;
  switch (task->state)
    {
    case FB_JOB_TASK_WAITING:
      place_waiting_task (self, now_ms, task);
      break;
    case FB_JOB_TASK_PLACED:
    case FB_JOB_TASK_RESERVED:
    case FB_JOB_TASK_RUNNING:
      if (task->sent)
        query_rack (self, now_ms, task);
      break;
    case FB_JOB_TASK_INTENT:
    case FB_JOB_TASK_ENDING:
    case FB_JOB_TASK_DONE:
      break;
    }
}

void
fb_range_dispatch (FbRange *self, uint64_t now_ms)
{
  for (guint kind = 0; kind < FB_KIND_N; kind++)
    {
      for (guint i = 0; i < KIND_BUDGET; i++)
        {
          GSequenceIter *first = g_sequence_get_begin_iter (self->timers[kind]);
          if (g_sequence_iter_is_end (first))
            break;
          FbJobTask *task = g_sequence_get (first);
          if (task->due_ms > now_ms)
            break;
          on_timer (self, now_ms, task);
        }
    }
  for (guint i = 0; i < self->with_intents->len; i++)
    write_intents (self, g_ptr_array_index (self->with_intents, i));
  g_ptr_array_set_size (self->with_intents, 0);
}
