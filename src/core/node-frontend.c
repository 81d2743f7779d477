/* Submissions of the callers of this daemon. Each caller gets exactly one final answer.
 *
 * A submission is repeated until the owner of its range answers. All copies carry the same job
 * id, so they are the same job to the owner.
 *
 * A refusal is passed on only if it refers to the last copy and all copies were sent to the same
 * incarnation of one daemon. Otherwise the caller could get the answer "not run" while another
 * copy is still in transit and is admitted later. Connections preserve the order of messages, so
 * a refusal of the last copy implies that the earlier ones were refused too.
 *
 * If no answer arrives, "not run" is certain only if no copy was ever sent and the job has no
 * idempotency key; a job with the same key may have been submitted to another daemon. */
#include "internal/node-private.h"

#include "fb-counter.h"
#include "fb-event.h"

#define RESEND_MS 1000
#define JOB_QUERY_MS 2000
#define NO_OWNER_MS 3000
#define ANSWER_GRACE_MS 4000
#define UNADMITTED_MS 30000

void
fb_submission_free (gpointer data)
{
  FbSubmission *submission = data;
  fb_job_clear (&submission->job);
  g_free (submission);
}

static void
record_sent (FbNode *self, FbSubmission *submission, int member)
{
  uint64_t incarnation = fb_members_incarnation (self->members, (guint) member);
  gboolean same = member == submission->sent_to && incarnation == submission->sent_to_incarnation;
  if (submission->copies > 0 && !same)
    member = -1;
  submission->copies++;
  submission->sent_to = member;
  submission->sent_to_incarnation = incarnation;
}

static void
send_submit (FbNode *self, FbSubmission *submission)
{
  submission->resend_ms = self->now_ms + RESEND_MS;
  fb_body body = { .type = FB_MSG_SUBMIT };
  fb_submit *submit = &body.fb_body_u.submit;
  submit->copy = submission->copies + 1;
  submit->job = submission->job;
  submit->job.remaining_ms = fb_deadline_remaining (self->now_ms, submission->due_ms);
  if (submission->job.flags & FB_FLAG_EPHEMERAL)
    {
      record_sent (self, submission, (int) self->self_index);
      submission->resend_ms = FB_NO_DEADLINE_MS;
      fb_range_submit (self->ephemeral_range, self->now_ms, &submit->job, submit->copy,
                       fb_members_name (self->members, self->self_index));
      return;
    }
  uint32_t range = fb_cell_range_of_job (self->cell, submission->job.partner, submission->job.id);
  if (fb_node_send_to_owner (self, range, &body))
    record_sent (self, submission, self->shards[range].owner);
}

static gboolean
send_job_command (FbNode *self, fb_msg_type type, uint32_t partner, uint64_t job)
{
  fb_body body = { .type = type };
  body.fb_body_u.job_query = (fb_job_command){ job, partner };
  return fb_node_send_to_owner (self, fb_cell_range_of_job (self->cell, partner, job), &body);
}

void
fb_node_submit (FbNode *self, uint64_t now_ms, const fb_job *job, gboolean until_admitted)
{
  fb_node_enter (self, now_ms);
  fb_counter_add (FB_COUNTER_REQUESTS, 1);
  FbSubmission *submission = g_hash_table_lookup (self->submissions, &job->id);
  if (submission == NULL)
    {
      submission = g_new0 (FbSubmission, 1);
      fb_job_copy (&submission->job, job);
      submission->submitted_ms = self->now_ms;
      submission->sent_to = -1;
      submission->until_admitted = TRUE;
      submission->due_ms = fb_deadline_after (self->now_ms, job->remaining_ms);
      g_hash_table_insert (self->submissions, &submission->job.id, submission);
    }
  submission->until_admitted = submission->until_admitted && until_admitted;
  send_submit (self, submission);
  fb_node_leave (self);
}

gboolean
fb_node_query_job (FbNode *self, uint64_t now_ms, uint32_t partner, uint64_t job)
{
  fb_node_enter (self, now_ms);
  gboolean sent = send_job_command (self, FB_MSG_JOB_QUERY, partner, job);
  fb_node_leave (self);
  return sent;
}

gboolean
fb_node_cancel (FbNode *self, uint64_t now_ms, uint32_t partner, uint64_t job)
{
  fb_node_enter (self, now_ms);
  gboolean sent = send_job_command (self, FB_MSG_CANCEL, partner, job);
  fb_node_leave (self);
  return sent;
}

void
fb_node_frontend_answer (FbNode *self, const fb_answer *answer)
{
  FbSubmission *submission = g_hash_table_lookup (self->submissions, &answer->job);
  if (answer->refused_copy > 0
      && (submission == NULL || submission->sent_to < 0
          || answer->refused_copy != submission->copies))
    return;
  if (submission != NULL)
    {
      submission->admitted = TRUE;
      submission->resend_ms = self->now_ms + JOB_QUERY_MS;
      if (answer->outcome < FB_OUTCOME_PENDING || submission->until_admitted)
        g_hash_table_remove (self->submissions, &answer->job);
    }
  self->callbacks->answer (self->user, answer);
}

static void
answer_timed_out (FbNode *self, FbSubmission *submission)
{
  fb_answer answer = { .job = submission->job.id,
                       .outcome = FB_OUTCOME_UNKNOWN,
                       .reason = FB_REASON_OWNER_CHANGED };
  if (submission->copies == 0 && submission->job.key[0] == '\0')
    answer.outcome = FB_OUTCOME_NOT_RUN;
  fb_event_log (FB_EVENT_JOB_ENDED, "job=%016" G_GINT64_MODIFIER "x outcome=%s reason=%s",
                answer.job, fb_outcome_name ((FbOutcome) answer.outcome),
                fb_reason_name ((FbReason) answer.reason));
  g_hash_table_remove (self->submissions, &answer.job);
  self->callbacks->answer (self->user, &answer);
}

static gboolean
has_timed_out (const FbNode *self, const FbSubmission *submission)
{
  uint64_t waited_ms = self->now_ms - submission->submitted_ms;
  if (submission->copies == 0)
    return waited_ms >= NO_OWNER_MS || self->now_ms >= submission->due_ms;
  if (!submission->admitted && waited_ms >= UNADMITTED_MS)
    return TRUE;
  uint64_t run_ms = submission->job.run_ms * 4;
  return submission->due_ms != FB_NO_DEADLINE_MS
         && self->now_ms >= submission->due_ms + run_ms + ANSWER_GRACE_MS;
}

void
fb_node_frontend_tick (FbNode *self)
{
  g_autoptr (GList) all = g_hash_table_get_values (self->submissions);
  for (GList *link = all; link != NULL; link = link->next)
    {
      FbSubmission *submission = link->data;
      if (has_timed_out (self, submission))
        {
          answer_timed_out (self, submission);
          continue;
        }
      if (submission->resend_ms > self->now_ms)
        continue;
      if (!submission->admitted)
        send_submit (self, submission);
      else if (!(submission->job.flags & FB_FLAG_EPHEMERAL))
        {
          submission->resend_ms = self->now_ms + JOB_QUERY_MS;
          (void) send_job_command (self, FB_MSG_JOB_QUERY, submission->job.partner,
                                   submission->job.id);
        }
    }
}
