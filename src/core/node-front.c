/* Callers held by this daemon: each gets one final answer.
 *
 * A submission is repeated until the owner of its range answers; the job's id
 * makes it the same job every time.
 *
 * Failure: one copy is refused while another is still under way, the caller is
 * told "not run", and the other copy is admitted.  Guard: a refusal counts only
 * when it is that of the last copy and all copies went to one daemon; links keep
 * their order, so the earlier ones have been refused too.
 *
 * Without any answer "not run" is certain only when no copy was ever sent and
 * the id is this daemon's own; the same key may have been sent elsewhere. */
#include "internal/node-private.h"

#include "fb-counter.h"
#include "fb-event.h"

#define RESEND_MS 1000
#define ASK_MS 2000
#define NO_OWNER_MS 3000
#define ANSWER_GRACE_MS 4000
#define UNADMITTED_MS 30000

void
fb_caller_free (gpointer data)
{
  FbCaller *caller = data;
  fb_job_clear (&caller->job);
  g_free (caller);
}

static void
note_sent (FbNode *self, FbCaller *caller, int member)
{
  uint64_t incarnation = fb_members_incarnation (self->members, (guint) member);
  gboolean same = member == caller->sent_to && incarnation == caller->sent_to_incarnation;
  if (caller->copies > 0 && !same)
    member = -1;
  caller->copies++;
  caller->sent_to = member;
  caller->sent_to_incarnation = incarnation;
}

static void
send_submit (FbNode *self, FbCaller *caller)
{
  caller->resend_ms = self->now_ms + RESEND_MS;
  fb_body body = { .type = FB_MSG_SUBMIT };
  fb_submit *submit = &body.fb_body_u.submit;
  submit->copy = caller->copies + 1;
  submit->job = caller->job;
  submit->job.remaining_ms = fb_deadline_remaining (self->now_ms, caller->due_ms);
  if (caller->job.flags & FB_FLAG_EPHEMERAL)
    {
      note_sent (self, caller, (int) self->self_index);
      caller->resend_ms = FB_NO_DEADLINE_MS;
      fb_range_submit (self->local, self->now_ms, &submit->job, submit->copy,
                       fb_members_name (self->members, self->self_index));
      return;
    }
  uint32_t range = fb_cell_range_of_job (self->cell, caller->job.partner, caller->job.id);
  if (fb_node_send_to_owner (self, range, &body))
    note_sent (self, caller, self->shards[range].owner);
}

static gboolean
send_word (FbNode *self, fb_msg_type type, uint32_t partner, uint64_t job)
{
  fb_body body = { .type = type };
  body.fb_body_u.ask = (fb_job_command){ job, partner };
  return fb_node_send_to_owner (self, fb_cell_range_of_job (self->cell, partner, job), &body);
}

void
fb_node_submit (FbNode *self, uint64_t now_ms, const fb_job *job, gboolean until_admitted)
{
  fb_node_enter (self, now_ms);
  fb_counter_add (FB_COUNTER_REQUESTS, 1);
  FbCaller *caller = g_hash_table_lookup (self->callers, &job->id);
  if (caller == NULL)
    {
      caller = g_new0 (FbCaller, 1);
      fb_job_copy (&caller->job, job);
      caller->since_ms = self->now_ms;
      caller->sent_to = -1;
      caller->until_admitted = TRUE;
      caller->due_ms = fb_deadline_after (self->now_ms, job->remaining_ms);
      g_hash_table_insert (self->callers, &caller->job.id, caller);
    }
  caller->until_admitted = caller->until_admitted && until_admitted;
  send_submit (self, caller);
  fb_node_leave (self);
}

gboolean
fb_node_query_job (FbNode *self, uint64_t now_ms, uint32_t partner, uint64_t job)
{
  fb_node_enter (self, now_ms);
  gboolean sent = send_word (self, FB_MSG_JOB_QUERY, partner, job);
  fb_node_leave (self);
  return sent;
}

gboolean
fb_node_cancel (FbNode *self, uint64_t now_ms, uint32_t partner, uint64_t job)
{
  fb_node_enter (self, now_ms);
  gboolean sent = send_word (self, FB_MSG_CANCEL, partner, job);
  fb_node_leave (self);
  return sent;
}

void
fb_node_front_answer (FbNode *self, const fb_answer *answer)
{
  FbCaller *caller = g_hash_table_lookup (self->callers, &answer->job);
  if (answer->refused_copy > 0
      && (caller == NULL || caller->sent_to < 0 || answer->refused_copy != caller->copies))
    return;
  if (caller != NULL)
    {
      caller->admitted = TRUE;
      caller->resend_ms = self->now_ms + ASK_MS;
      if (answer->outcome < FB_OUTCOME_PENDING || caller->until_admitted)
        g_hash_table_remove (self->callers, &answer->job);
    }
  self->sink->answer (self->user, answer);
}

static void
give_up (FbNode *self, FbCaller *caller)
{
  fb_answer answer
      = { .job = caller->job.id, .outcome = FB_OUTCOME_UNKNOWN, .reason = FB_REASON_OWNER_CHANGED };
  if (caller->copies == 0 && caller->job.key[0] == '\0')
    answer.outcome = FB_OUTCOME_NOT_RUN;
  fb_event_log (FB_EVENT_JOB_ENDED, "job=%016" G_GINT64_MODIFIER "x outcome=%s reason=%s",
                answer.job, fb_outcome_name ((FbOutcome) answer.outcome),
                fb_reason_name ((FbReason) answer.reason));
  g_hash_table_remove (self->callers, &answer.job);
  self->sink->answer (self->user, &answer);
}

static gboolean
is_hopeless (const FbNode *self, const FbCaller *caller)
{
  uint64_t waited_ms = self->now_ms - caller->since_ms;
  if (caller->copies == 0)
    return waited_ms >= NO_OWNER_MS || self->now_ms >= caller->due_ms;
  if (!caller->admitted && waited_ms >= UNADMITTED_MS)
    return TRUE;
  uint64_t run_ms = caller->job.run_ms * 4;
  return caller->due_ms != FB_NO_DEADLINE_MS
         && self->now_ms >= caller->due_ms + run_ms + ANSWER_GRACE_MS;
}

void
fb_node_front_tick (FbNode *self)
{
  g_autoptr (GList) all = g_hash_table_get_values (self->callers);
  for (GList *link = all; link != NULL; link = link->next)
    {
      FbCaller *caller = link->data;
      if (is_hopeless (self, caller))
        {
          give_up (self, caller);
          continue;
        }
      if (caller->resend_ms > self->now_ms)
        continue;
      if (!caller->admitted)
        send_submit (self, caller);
      else if (!(caller->job.flags & FB_FLAG_EPHEMERAL))
        {
          caller->resend_ms = self->now_ms + ASK_MS;
          (void) send_word (self, FB_MSG_JOB_QUERY, caller->job.partner, caller->job.id);
        }
    }
}
