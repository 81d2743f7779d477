#include "oracle.h"

#include "fb-event.h"

#include <string.h>

#define LEAVING_GRACE_MS 3000
#define WORKER_MAX 256

typedef struct
{
  guint starts;
  guint live;
  gboolean completed;
} TaskRecord;

typedef struct
{
  uint64_t id;
  uint32_t partner;
  uint32_t kind;
  uint32_t flags;
  guint count;
  uint64_t deadline_ms;
  guint daemon;
  gboolean daemon_killed;
  gboolean accepted; /* a daemon has confirmed the job to a caller */
  gboolean has_deadline;
  FbOutcome last_outcome;
  uint32_t unanswered_daemons; /* bit per daemon whose caller waits for an answer */
  guint starts;
  guint live;
  GHashTable *tasks; /* task index + 1 -> TaskRecord */
} JobRecord;

struct _Oracle
{
  GHashTable *jobs;
  fb_res used[WORKER_MAX];
  uint64_t worker_leaving_since_ms[WORKER_MAX];
  uint64_t serial[FB_PARTNER_N];
  GBytes *revision[FB_PARTNER_N];
  gboolean orphaned[FB_PARTNER_N];
  OracleCounts counts;
  char *violation;
};

static void
job_free (gpointer data)
{
  JobRecord *job = data;
  g_hash_table_destroy (job->tasks);
  g_free (job);
}

Oracle *
oracle_new (void)
{
  Oracle *self = g_new0 (Oracle, 1);
  self->jobs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, job_free);
  return self;
}

void
oracle_free (Oracle *self)
{
  g_hash_table_destroy (self->jobs);
  for (guint p = 0; p < FB_PARTNER_N; p++)
    g_clear_pointer (&self->revision[p], g_bytes_unref);
  g_free (self->violation);
  g_free (self);
}

void
oracle_report_violation (Oracle *self, const char *format, ...)
{
  if (self->violation != NULL)
    return;
  va_list args;
  va_start (args, format);
  self->violation = g_strdup_vprintf (format, args);
  va_end (args);
}

const char *
oracle_violation (const Oracle *self)
{
  return self->violation;
}

void
oracle_answer_text (const fb_run *run, char *text, gsize size)
{
  g_snprintf (text, size, "answer to %" G_GUINT64_FORMAT "/%u", run->job, run->index);
}

static gboolean
is_final (uint32_t outcome)
{
  return outcome <= FB_OUTCOME_UNKNOWN;
}

static JobRecord *
find_job (const Oracle *self, uint64_t id)
{
  return g_hash_table_lookup (self->jobs, &id);
}

static JobRecord *
job_new (Oracle *self, uint64_t id)
{
  JobRecord *job = g_new0 (JobRecord, 1);
  job->id = id;
  job->last_outcome = FB_OUTCOME_PENDING;
  job->tasks = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  g_hash_table_insert (self->jobs, &job->id, job);
  return job;
}

static TaskRecord *
get_task (JobRecord *job, uint32_t index)
{
  gpointer key = GUINT_TO_POINTER (index + 1);
  TaskRecord *task = g_hash_table_lookup (job->tasks, key);
  if (task == NULL)
    {
      task = g_new0 (TaskRecord, 1);
      g_hash_table_insert (job->tasks, key, task);
    }
  return task;
}

void
oracle_submit (Oracle *self, uint64_t now_ms, guint daemon, const fb_job *spec)
{
  JobRecord *job = find_job (self, spec->id);
  uint64_t deadline_ms = fb_deadline_after (now_ms, spec->remaining_ms);
  if (job == NULL)
    {
      job = job_new (self, spec->id);
      job->deadline_ms = deadline_ms;
    }
  /* The first submission may have been refused, so that a repeated one sets the deadline
   * again: starts are allowed until the latest deadline. */
  job->deadline_ms = MAX (job->deadline_ms, deadline_ms);
  /* After the answer "not run" a caller may submit again with the same key. */
  if (job->last_outcome == FB_OUTCOME_NOT_RUN)
    job->last_outcome = FB_OUTCOME_PENDING;
  job->partner = spec->partner;
  job->kind = spec->kind;
  job->flags = spec->flags;
  job->count = spec->count;
  job->daemon = daemon;
  job->unanswered_daemons |= 1u << daemon;
}

void
oracle_daemon_killed (Oracle *self, guint daemon)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      JobRecord *job = value;
      if (job->daemon == daemon && (job->flags & FB_FLAG_EPHEMERAL))
        job->daemon_killed = TRUE;
    }
}

void
oracle_foreach_unanswered (Oracle *self,
                           void (*func) (gpointer user, uint64_t job, uint32_t partner),
                           gpointer user)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const JobRecord *job = value;
      if (job->accepted && !is_final (job->last_outcome) && !(job->flags & FB_FLAG_EPHEMERAL))
        func (user, job->id, job->partner);
    }
}

static void
check_completed (Oracle *self, JobRecord *job, const fb_answer *answer)
{
  for (guint i = 0; i < job->count; i++)
    {
      if (!get_task (job, i)->completed)
        oracle_report_violation (
            self, "job %" G_GUINT64_FORMAT " was reported completed, but task %u has not completed",
            job->id, i);
    }
  if (job->count != 1)
    return;
  char expected[64];
  fb_run run = { .job = job->id };
  oracle_answer_text (&run, expected, sizeof expected);
  if (answer->body.body_len != strlen (expected)
      || memcmp (answer->body.body_val, expected, strlen (expected)) != 0)
    oracle_report_violation (
        self, "job %" G_GUINT64_FORMAT " was answered with another job's result", job->id);
}

void
oracle_answer (Oracle *self, uint64_t now_ms, guint daemon, const fb_answer *answer)
{
  (void) now_ms;
  JobRecord *job = find_job (self, answer->job);
  gboolean is_unknown_or_expired
      = answer->outcome == FB_OUTCOME_NO_SUCH_JOB || answer->reason == FB_REASON_RETENTION;
  if (job == NULL && is_unknown_or_expired)
    return;
  if (job == NULL)
    {
      oracle_report_violation (self, "a job that was never submitted was answered");
      return;
    }
  if (answer->outcome == FB_OUTCOME_PENDING)
    job->accepted = TRUE;
  if (!is_final (answer->outcome))
    return;
  if (answer->outcome == FB_OUTCOME_NOT_RUN && job->starts > 0)
    oracle_report_violation (self,
                             "job %" G_GUINT64_FORMAT " was reported not run (%s) after %u starts",
                             job->id, fb_reason_name ((FbReason) answer->reason), job->starts);
  if (answer->outcome == FB_OUTCOME_COMPLETED)
    check_completed (self, job, answer);
  job->last_outcome = (FbOutcome) answer->outcome;
  job->unanswered_daemons &= ~(1u << daemon);
}

static void
check_start (Oracle *self, uint64_t now_ms, guint worker, const fb_res *capacity, JobRecord *job,
             TaskRecord *task)
{
  gboolean over = !fb_res_fits (&self->used[worker], capacity);
  gboolean duplicates = task->live > 1 || ((job->flags & FB_FLAG_AT_MOST_ONCE) && task->starts > 1);
  self->counts.starts++;
  self->counts.over_capacity += over ? 1 : 0;
  self->counts.duplicates += duplicates ? 1 : 0;
  if (over)
    oracle_report_violation (self, "a start exceeds the capacity of worker %u", worker);
  if (task->live > 1)
    oracle_report_violation (
        self, "a task of job %" G_GUINT64_FORMAT " runs twice at the same time", job->id);
  if ((job->flags & FB_FLAG_AT_MOST_ONCE) && task->starts > 1)
    oracle_report_violation (
        self, "an at-most-once task of job %" G_GUINT64_FORMAT " was started twice", job->id);
  if (now_ms > job->deadline_ms)
    oracle_report_violation (self, "job %" G_GUINT64_FORMAT " was started after its deadline",
                             job->id);
  if (self->worker_leaving_since_ms[worker] > 0
      && now_ms > self->worker_leaving_since_ms[worker] + LEAVING_GRACE_MS)
    oracle_report_violation (self, "worker %u was given new work while it is leaving", worker);
  /* The job may still start for another caller that waits with the same key. */
  if (job->last_outcome == FB_OUTCOME_NOT_RUN && job->unanswered_daemons == 0)
    oracle_report_violation (
        self, "job %" G_GUINT64_FORMAT " was started after it was reported not run", job->id);
}

void
oracle_start (Oracle *self, uint64_t now_ms, guint worker, const fb_res *capacity,
              const fb_spec *spec)
{
  JobRecord *job = find_job (self, spec->run.job);
  if (job == NULL)
    {
      /* Tasks of a service come from the configuration, not from a caller. */
      job = job_new (self, spec->run.job);
      job->kind = spec->kind;
      job->flags = spec->flags;
      job->deadline_ms = FB_NO_DEADLINE_MS;
    }
  fb_event_log (FB_EVENT_PLACED,
                "oracle: start job=%016" G_GINT64_MODIFIER
                "x task=%u attempt=%u worker=%u at=%" G_GUINT64_FORMAT,
                spec->run.job, spec->run.index, spec->run.attempt, worker, now_ms);
  TaskRecord *task = get_task (job, spec->run.index);
  task->starts++;
  task->live++;
  job->starts++;
  job->live++;
  fb_res_add (&self->used[worker], &spec->demand);
  check_start (self, now_ms, worker, capacity, job, task);
}

void
oracle_end (Oracle *self, uint64_t now_ms, guint worker, const fb_spec *spec,
            FbRunStatus run_status)
{
  (void) now_ms;
  JobRecord *job = find_job (self, spec->run.job);
  TaskRecord *task = get_task (job, spec->run.index);
  fb_event_log (FB_EVENT_RUN_ENDED,
                "oracle: end job=%016" G_GINT64_MODIFIER
                "x task=%u attempt=%u worker=%u at=%" G_GUINT64_FORMAT " %s",
                spec->run.job, spec->run.index, spec->run.attempt, worker, now_ms,
                fb_run_status_name (run_status));
  self->counts.completed += run_status == FB_RUN_STATUS_COMPLETED ? 1 : 0;
  self->counts.failed += run_status == FB_RUN_STATUS_FAILED ? 1 : 0;
  self->counts.stopped += run_status == FB_RUN_STATUS_STOPPED ? 1 : 0;
  self->counts.lost += run_status == FB_RUN_STATUS_LOST ? 1 : 0;
  task->live--;
  job->live--;
  task->completed = task->completed || run_status == FB_RUN_STATUS_COMPLETED;
  fb_res_sub (&self->used[worker], &spec->demand);
}

void
oracle_set_worker_leaving (Oracle *self, uint64_t now_ms, guint worker, gboolean leaving)
{
  if (!leaving)
    self->worker_leaving_since_ms[worker] = 0;
  else if (self->worker_leaving_since_ms[worker] == 0)
    self->worker_leaving_since_ms[worker] = now_ms;
}

void
oracle_check_config (Oracle *self, uint32_t partner, uint64_t serial, GBytes *revision)
{
  if (serial == self->serial[partner] && !self->orphaned[partner]
      && !g_bytes_equal (revision, self->revision[partner]))
    oracle_report_violation (self, "two revisions of partner %u are in force with the same serial",
                             partner);
  if (serial <= self->serial[partner])
    return;
  self->serial[partner] = serial;
  g_clear_pointer (&self->revision[partner], g_bytes_unref);
  self->revision[partner] = g_bytes_ref (revision);
}

void
oracle_set_config_orphaned (Oracle *self, uint32_t partner)
{
  self->orphaned[partner] = TRUE;
}

gboolean
oracle_config_is_orphaned (const Oracle *self, uint32_t partner)
{
  return self->orphaned[partner];
}

uint64_t
oracle_config_serial (const Oracle *self, uint32_t partner)
{
  return self->serial[partner];
}

static void
check_job_final_state (Oracle *self, const JobRecord *job)
{
  if (job->kind == FB_KIND_SERVICE)
    return;
  /* An ephemeral job has no record and is lost with the daemon that holds its caller. */
  if (job->accepted && !job->daemon_killed && !is_final (job->last_outcome))
    oracle_report_violation (self, "job %" G_GUINT64_FORMAT " was accepted and has no final answer",
                             job->id);
  if (job->live > 0 && is_final (job->last_outcome) && job->last_outcome != FB_OUTCOME_UNKNOWN)
    oracle_report_violation (self, "job %" G_GUINT64_FORMAT " still runs after its final answer",
                             job->id);
}

void
oracle_check_final_state (Oracle *self)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    check_job_final_state (self, value);
}

OracleCounts
oracle_counts (const Oracle *self)
{
  return self->counts;
}

fb_res
oracle_used_resources (const Oracle *self, guint worker)
{
  return self->used[worker];
}

FbOutcome
oracle_outcome (const Oracle *self, uint64_t job)
{
  const JobRecord *record = find_job (self, job);
  return record != NULL ? record->last_outcome : FB_OUTCOME_NO_SUCH_JOB;
}

guint
oracle_starts (const Oracle *self, uint64_t job)
{
  const JobRecord *record = find_job (self, job);
  return record != NULL ? record->starts : 0;
}

guint
oracle_live (const Oracle *self, uint64_t job)
{
  const JobRecord *record = find_job (self, job);
  return record != NULL ? record->live : 0;
}

guint
oracle_jobs_with (const Oracle *self, FbOutcome outcome)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += ((JobRecord *) value)->last_outcome == outcome ? 1 : 0;
  return n;
}
