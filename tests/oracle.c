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
} TaskSeen;

typedef struct
{
  uint64_t id;
  uint32_t partner;
  uint32_t kind;
  uint32_t flags;
  guint count;
  uint64_t due_ms;
  guint front;
  gboolean front_died;
  gboolean accepted; /* a caller was told that it is in force */
  gboolean has_due;
  FbOutcome told;
  uint32_t open_fronts; /* bit a daemon: its caller has no answer yet */
  guint starts;
  guint live;
  GHashTable *tasks; /* index + 1 -> TaskSeen */
} JobSeen;

struct _Oracle
{
  GHashTable *jobs;
  fb_res used[WORKER_MAX];
  uint64_t leaving_since_ms[WORKER_MAX];
  uint64_t serial[FB_PARTNER_N];
  GBytes *revision[FB_PARTNER_N];
  gboolean orphaned[FB_PARTNER_N];
  OracleCounts counts;
  char *broken;
};

static void
job_free (gpointer data)
{
  JobSeen *job = data;
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
  g_free (self->broken);
  g_free (self);
}

void
oracle_report_violation (Oracle *self, const char *format, ...)
{
  if (self->broken != NULL)
    return;
  va_list args;
  va_start (args, format);
  self->broken = g_strdup_vprintf (format, args);
  va_end (args);
}

const char *
oracle_violation (const Oracle *self)
{
  return self->broken;
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

static JobSeen *
job_of (const Oracle *self, uint64_t id)
{
  return g_hash_table_lookup (self->jobs, &id);
}

static JobSeen *
job_new (Oracle *self, uint64_t id)
{
  JobSeen *job = g_new0 (JobSeen, 1);
  job->id = id;
  job->told = FB_OUTCOME_PENDING;
  job->tasks = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  g_hash_table_insert (self->jobs, &job->id, job);
  return job;
}

static TaskSeen *
task_of (JobSeen *job, uint32_t index)
{
  gpointer key = GUINT_TO_POINTER (index + 1);
  TaskSeen *task = g_hash_table_lookup (job->tasks, key);
  if (task == NULL)
    {
      task = g_new0 (TaskSeen, 1);
      g_hash_table_insert (job->tasks, key, task);
    }
  return task;
}

void
oracle_submit (Oracle *self, uint64_t now_ms, guint front, const fb_job *spec)
{
  JobSeen *job = job_of (self, spec->id);
  uint64_t due_ms = fb_deadline_after (now_ms, spec->remaining_ms);
  if (job == NULL)
    {
      job = job_new (self, spec->id);
      job->due_ms = due_ms;
    }
  /* A repeated submission may find the first one refused and set the due time
   * anew: the latest bounds what may start. */
  job->due_ms = MAX (job->due_ms, due_ms);
  /* Told "not run", a caller may come back with the same key. */
  if (job->told == FB_OUTCOME_NOT_RUN)
    job->told = FB_OUTCOME_PENDING;
  job->partner = spec->partner;
  job->kind = spec->kind;
  job->flags = spec->flags;
  job->count = spec->count;
  job->front = front;
  job->open_fronts |= 1u << front;
}

void
oracle_daemon_died (Oracle *self, guint front)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      JobSeen *job = value;
      if (job->front == front && (job->flags & FB_FLAG_EPHEMERAL))
        job->front_died = TRUE;
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
      const JobSeen *job = value;
      if (job->accepted && !is_final (job->told) && !(job->flags & FB_FLAG_EPHEMERAL))
        func (user, job->id, job->partner);
    }
}

static void
check_completed (Oracle *self, JobSeen *job, const fb_answer *answer)
{
  for (guint i = 0; i < job->count; i++)
    {
      if (!task_of (job, i)->completed)
        oracle_report_violation (self, "job %" G_GUINT64_FORMAT " told completed, task %u was not",
                                 job->id, i);
    }
  if (job->count != 1)
    return;
  char expected[64];
  fb_run run = { .job = job->id };
  oracle_answer_text (&run, expected, sizeof expected);
  if (answer->body.body_len != strlen (expected)
      || memcmp (answer->body.body_val, expected, strlen (expected)) != 0)
    oracle_report_violation (self, "job %" G_GUINT64_FORMAT " got another answer than its own",
                             job->id);
}

void
oracle_answer (Oracle *self, uint64_t now_ms, guint front, const fb_answer *answer)
{
  (void) now_ms;
  JobSeen *job = job_of (self, answer->job);
  gboolean disowned
      = answer->outcome == FB_OUTCOME_NO_SUCH_JOB || answer->reason == FB_REASON_RETENTION;
  if (job == NULL && disowned)
    return;
  if (job == NULL)
    {
      oracle_report_violation (self, "an answer to a job that nobody submitted");
      return;
    }
  if (answer->outcome == FB_OUTCOME_PENDING)
    job->accepted = TRUE;
  if (!is_final (answer->outcome))
    return;
  if (answer->outcome == FB_OUTCOME_NOT_RUN && job->starts > 0)
    oracle_report_violation (self, "job %" G_GUINT64_FORMAT " told not run (%s), started %u times",
                             job->id, fb_reason_name ((FbReason) answer->reason), job->starts);
  if (answer->outcome == FB_OUTCOME_COMPLETED)
    check_completed (self, job, answer);
  job->told = (FbOutcome) answer->outcome;
  job->open_fronts &= ~(1u << front);
}

static void
check_start (Oracle *self, uint64_t now_ms, guint worker, const fb_res *capacity, JobSeen *job,
             TaskSeen *task)
{
  gboolean over = !fb_res_fits (&self->used[worker], capacity);
  gboolean duplicates = task->live > 1 || ((job->flags & FB_FLAG_AT_MOST_ONCE) && task->starts > 1);
  self->counts.starts++;
  self->counts.over_capacity += over ? 1 : 0;
  self->counts.duplicates += duplicates ? 1 : 0;
  if (over)
    oracle_report_violation (self, "worker %u was given more than it holds", worker);
  if (task->live > 1)
    oracle_report_violation (self, "a task of job %" G_GUINT64_FORMAT " runs in two places",
                             job->id);
  if ((job->flags & FB_FLAG_AT_MOST_ONCE) && task->starts > 1)
    oracle_report_violation (
        self, "a once-only task of job %" G_GUINT64_FORMAT " was started twice", job->id);
  if (now_ms > job->due_ms)
    oracle_report_violation (self, "job %" G_GUINT64_FORMAT " was started after its due time",
                             job->id);
  if (self->leaving_since_ms[worker] > 0
      && now_ms > self->leaving_since_ms[worker] + LEAVING_GRACE_MS)
    oracle_report_violation (self, "worker %u is leaving and was given new work", worker);
  /* Another caller with the same key may still be waiting, and be served. */
  if (job->told == FB_OUTCOME_NOT_RUN && job->open_fronts == 0)
    oracle_report_violation (self, "job %" G_GUINT64_FORMAT " was told not run, and then started",
                             job->id);
}

void
oracle_start (Oracle *self, uint64_t now_ms, guint worker, const fb_res *capacity,
              const fb_spec *spec)
{
  JobSeen *job = job_of (self, spec->run.job);
  if (job == NULL)
    {
      /* A standing service, which no caller submitted. */
      job = job_new (self, spec->run.job);
      job->kind = spec->kind;
      job->flags = spec->flags;
      job->due_ms = FB_NO_DEADLINE_MS;
    }
  fb_event_log (FB_EVENT_PLACED,
                "oracle: start job=%016" G_GINT64_MODIFIER
                "x task=%u attempt=%u worker=%u at=%" G_GUINT64_FORMAT,
                spec->run.job, spec->run.index, spec->run.attempt, worker, now_ms);
  TaskSeen *task = task_of (job, spec->run.index);
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
  JobSeen *job = job_of (self, spec->run.job);
  TaskSeen *task = task_of (job, spec->run.index);
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
    self->leaving_since_ms[worker] = 0;
  else if (self->leaving_since_ms[worker] == 0)
    self->leaving_since_ms[worker] = now_ms;
}

void
oracle_check_config (Oracle *self, uint32_t partner, uint64_t serial, GBytes *revision)
{
  if (serial == self->serial[partner] && !self->orphaned[partner]
      && !g_bytes_equal (revision, self->revision[partner]))
    oracle_report_violation (self, "two revisions of partner %u are in force under one serial",
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
check_job_settled (Oracle *self, const JobSeen *job)
{
  if (job->kind == FB_KIND_SERVICE)
    return;
  /* Work without a record dies with the daemon that holds its caller. */
  if (job->accepted && !job->front_died && !is_final (job->told))
    oracle_report_violation (self, "job %" G_GUINT64_FORMAT " was accepted and has no answer",
                             job->id);
  if (job->live > 0 && is_final (job->told) && job->told != FB_OUTCOME_UNKNOWN)
    oracle_report_violation (self, "job %" G_GUINT64_FORMAT " has its answer and still runs",
                             job->id);
}

void
oracle_check_final_state (Oracle *self)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    check_job_settled (self, value);
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
  const JobSeen *seen = job_of (self, job);
  return seen != NULL ? seen->told : FB_OUTCOME_NO_SUCH_JOB;
}

guint
oracle_starts (const Oracle *self, uint64_t job)
{
  const JobSeen *seen = job_of (self, job);
  return seen != NULL ? seen->starts : 0;
}

guint
oracle_live (const Oracle *self, uint64_t job)
{
  const JobSeen *seen = job_of (self, job);
  return seen != NULL ? seen->live : 0;
}

guint
oracle_jobs_with (const Oracle *self, FbOutcome outcome)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += ((JobSeen *) value)->told == outcome ? 1 : 0;
  return n;
}
