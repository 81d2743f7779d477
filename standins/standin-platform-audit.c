/* Audit of the runs on the workers: counts starts, ends and violations of the scheduler's
 * guarantees. */
#include "standin-platform.h"

#include <string.h>

/* A task counts as started too often when it is started EXCESS_STARTS more times after it has
 * crashed MAX_CRASHES workers. */
#define MAX_CRASHES 3
#define EXCESS_STARTS 3
/* Bounds of the rule on cancelled jobs: no task starts later than CANCEL_MS after the
 * acknowledgement of the cancel, and none is at work stop_ms after that.  Both hold from CONTACT_MS
 * after the end of a disruption. */
#define CANCEL_MS 3000
#define DEFAULT_STOP_MS 200
#define CONTACT_MS 3000
/* Overlaps in the response; the log has all of them. */
#define MAX_REPORTED_OVERLAPS 4

/* A task that has crashed at least one worker. */
typedef struct
{
  guint crashes;      /* workers it has crashed */
  guint starts_after; /* its starts since CRASHES reached MAX_CRASHES */
} CrashingTask;

static GHashTable *done_tasks;     /* task -> number of its ends as done, see sp_audit_done() */
static GHashTable *started_jobs;   /* set of job ids */
static GHashTable *crashing_tasks; /* task -> CrashingTask */
static guint crashes;              /* of workers, caused by tasks */
static guint started;
static guint duplicate_starts; /* number of other runs of a task, plus one if it is done, summed
                                  over its starts */
static GHashTable *ends;       /* reason -> number of ends */
static guint overlaps_n;
static GString *overlaps;   /* the first ones, as elements of a JSON array */
static guint over_capacity; /* starts on a worker without capacity for them */
static guint started_too_often;
static GHashTable *cancelled_jobs; /* job -> sp_now_ms() at the acknowledgement, a gint64 */
static gint64 stop_ms = DEFAULT_STOP_MS;
static gboolean is_disrupted;
static gint64 calm_since_ms;    /* by sp_now_ms(); while there is no disruption */
static guint cancelled_started; /* starts of tasks of cancelled jobs that were too late */
static guint cancelled_at_work; /* runs of tasks of cancelled jobs that lasted too long */
static guint64 highest_epoch;
static guint epochs_n; /* how often the highest fencing token in orders has risen */

void
sp_audit_init (void)
{
  done_tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  started_jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  crashing_tasks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cancelled_jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  ends = g_hash_table_new (g_str_hash, g_str_equal);
  overlaps = g_string_new (NULL);
  calm_since_ms = sp_now_ms ();
}

void
sp_audit_set_stop_ms (gint64 value)
{
  stop_ms = value;
}

void
sp_audit_overlap (const char *first, const char *second)
{
  g_debug ("two runs of one task: %s; %s", first, second);
  if (overlaps_n++ < MAX_REPORTED_OVERLAPS)
    g_string_append_printf (overlaps, "%s[\"%s\",\"%s\"]", overlaps->len > 0 ? "," : "", first,
                            second);
}

void
sp_audit_cancelled (const char *job)
{
  if (g_hash_table_contains (cancelled_jobs, job))
    return;
  gint64 *acknowledged_ms = g_new (gint64, 1);
  *acknowledged_ms = sp_now_ms ();
  g_hash_table_insert (cancelled_jobs, g_strdup (job), acknowledged_ms);
  g_debug ("cancel of job %s acknowledged", job);
}

void
sp_audit_set_disrupted (gboolean disrupted)
{
  if (is_disrupted && !disrupted)
    calm_since_ms = sp_now_ms ();
  if (is_disrupted != disrupted)
    g_debug ("%s", disrupted ? "disruptions begin" : "disruptions are over");
  is_disrupted = disrupted;
}

/* Returns: how long the job of TASK has been cancelled for machines that are in touch, in ms; -1:
 * it is not cancelled, or no machine counts as in touch. */
static gint64
cancelled_for_ms (const char *task)
{
  g_autofree char *job = g_strndup (task, strcspn (task, "."));
  const gint64 *acknowledged_ms = g_hash_table_lookup (cancelled_jobs, job);
  gint64 in_touch_ms = sp_now_ms () - calm_since_ms - CONTACT_MS;
  if (acknowledged_ms == NULL || is_disrupted || in_touch_ms < 0)
    return -1;
  return sp_now_ms () - *acknowledged_ms;
}

gboolean
sp_audit_run (const char *task, gint64 late_start_ms)
{
  gint64 allowed_ms = CANCEL_MS + stop_ms;
  gint64 calm_ms = sp_now_ms () - calm_since_ms - CONTACT_MS;
  if (cancelled_for_ms (task) <= allowed_ms || calm_ms <= allowed_ms
      || sp_now_ms () - late_start_ms <= allowed_ms)
    return FALSE;
  g_debug ("task %s of a cancelled job is still at work", task);
  cancelled_at_work++;
  return TRUE;
}

void
sp_audit_start (const char *task, guint running, gboolean fits, gboolean late)
{
  if (!late && cancelled_for_ms (task) > CANCEL_MS)
    {
      g_debug ("task %s of a cancelled job starts", task);
      cancelled_started++;
    }
  gboolean is_done = g_hash_table_contains (done_tasks, task);
  if (running > 0 || is_done)
    g_debug ("duplicate start of task %s: %u other runs, %s", task, running,
             is_done ? "already done" : "not done");
  duplicate_starts += running + is_done;
  over_capacity += !fits;
  CrashingTask *crashing_task = g_hash_table_lookup (crashing_tasks, task);
  if (crashing_task != NULL && crashing_task->crashes >= MAX_CRASHES)
    started_too_often += ++crashing_task->starts_after == EXCESS_STARTS;
  started++;
  g_hash_table_add (started_jobs, g_strndup (task, strcspn (task, ".")));
}

void
sp_audit_end (const char *reason)
{
  guint before = GPOINTER_TO_UINT (g_hash_table_lookup (ends, reason));
  g_hash_table_replace (ends, (gpointer) reason, GUINT_TO_POINTER (before + 1));
}

/* Returns: (transfer full): the numbers of ends by reason, as text. */
static char *
format_ends (void)
{
  GString *text = g_string_new (NULL);
  GHashTableIter iter;
  gpointer reason;
  gpointer n;
  g_hash_table_iter_init (&iter, ends);
  while (g_hash_table_iter_next (&iter, &reason, &n))
    g_string_append_printf (text, "%s%s %u", text->len > 0 ? ", " : "", (const char *) reason,
                            GPOINTER_TO_UINT (n));
  return g_string_free (text, FALSE);
}

static guint
count_done (const char *task)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (done_tasks, task));
}

void
sp_audit_done (const char *task)
{
  g_hash_table_replace (done_tasks, g_strdup (task), GUINT_TO_POINTER (count_done (task) + 1));
}

void
sp_audit_forget_done (const char *task)
{
  if (count_done (task) > 1)
    g_hash_table_replace (done_tasks, g_strdup (task), GUINT_TO_POINTER (count_done (task) - 1));
  else
    g_hash_table_remove (done_tasks, task);
}

guint
sp_audit_crash (const char *task)
{
  CrashingTask *crashing_task = g_hash_table_lookup (crashing_tasks, task);
  if (crashing_task == NULL)
    {
      crashing_task = g_new0 (CrashingTask, 1);
      g_hash_table_insert (crashing_tasks, g_strdup (task), crashing_task);
    }
  crashing_task->crashes++;
  return ++crashes;
}

void
sp_audit_order (guint64 token)
{
  epochs_n += token > highest_epoch;
  highest_epoch = MAX (highest_epoch, token);
}

gboolean
sp_audit_job_started (const char *job)
{
  return g_hash_table_contains (started_jobs, job);
}

char *
sp_audit_text (void)
{
  g_autofree char *ends_text = format_ends ();
  return g_strdup_printf (
      "{\"started\":%u,\"done\":%u,\"doubled\":%u,\"over-capacity\":%u,"
      "\"epochs\":%u,\"crashes\":%u,"
      "\"started-too-often\":%u,\"cancelled\":%u,\"cancelled-started\":%u,"
      "\"cancelled-at-work\":%u,\"calm-ms\":%" G_GINT64_FORMAT
      ",\"ends\":\"%s\",\"overlaps\":[%s]}",
      started, g_hash_table_size (done_tasks), duplicate_starts, over_capacity, epochs_n, crashes,
      started_too_often, g_hash_table_size (cancelled_jobs), cancelled_started, cancelled_at_work,
      is_disrupted ? 0 : sp_now_ms () - calm_since_ms, ends_text, overlaps->str);
}
