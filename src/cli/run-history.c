#include "run-history.h"

#include <string.h>

/* What has been read so far. */
typedef struct
{
  GHashTable *tasks; /* FbCliTaskRuns by name */
  GPtrArray *heard;  /* the POOL_WORKER_HEARD lines; borrowed */
} History;

/* ---- runs ---------------------------------------------------------------------- */

static void
run_free (gpointer data)
{
  FbCliRun *run = data;
  g_free (run->worker);
  g_ptr_array_unref (run->lines);
  g_free (run);
}

static void
task_runs_free (gpointer data)
{
  FbCliTaskRuns *task = data;
  g_free (task->task);
  g_ptr_array_unref (task->runs);
  g_ptr_array_unref (task->faults);
  g_hash_table_unref (task->outcomes);
  g_free (task);
}

static FbCliTaskRuns *
task_runs (History *self, const char *name)
{
  FbCliTaskRuns *task = g_hash_table_lookup (self->tasks, name);
  if (task != NULL)
    return task;
  task = g_new0 (FbCliTaskRuns, 1);
  task->task = g_strdup (name);
  task->runs = g_ptr_array_new_with_free_func (run_free);
  task->faults = g_ptr_array_new_with_free_func (g_free);
  task->outcomes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_insert (self->tasks, task->task, task);
  return task;
}

static uint32_t
attempt_of (const FbCliLogLine *line)
{
  return (uint32_t) fb_cli_log_line_number (line, "attempt");
}

/* Returns: the last run of the attempt and the worker of LINE; NULL if there is none. */
static FbCliRun *
find_run (const FbCliTaskRuns *task, const FbCliLogLine *line)
{
  for (guint i = task->runs->len; i > 0; i--)
    {
      FbCliRun *run = task->runs->pdata[i - 1];
      if (run->attempt == attempt_of (line)
          && g_str_equal (run->worker, fb_cli_log_line_get (line, "worker")))
        return run;
    }
  return NULL;
}

/* Returns: the run of the attempt of LINE on another incarnation of its worker; NULL if there is
 * none. */
static FbCliRun *
find_start (const FbCliTaskRuns *task, const FbCliLogLine *line)
{
  const char *worker = fb_cli_log_line_get (line, "worker");
  gsize len = strcspn (worker, "@");
  for (guint i = task->runs->len; i > 0; i--)
    {
      FbCliRun *run = task->runs->pdata[i - 1];
      if (run->attempt == attempt_of (line) && run->placed != NULL
          && strcspn (run->worker, "@") == len && strncmp (run->worker, worker, len) == 0)
        return run;
    }
  return NULL;
}

static FbCliRun *
add_run (FbCliTaskRuns *task, const FbCliLogLine *line)
{
  FbCliRun *run = g_new0 (FbCliRun, 1);
  run->attempt = attempt_of (line);
  run->worker = g_strdup (fb_cli_log_line_get (line, "worker"));
  run->began = line;
  run->lines = g_ptr_array_new ();
  g_ptr_array_add (task->runs, run);
  return run;
}

static void
set_order (FbCliRun *run, const FbCliLogLine *placed)
{
  run->placed = placed;
  run->daemon = placed->daemon;
  run->epoch = fb_cli_log_line_number (placed, "epoch");
}

/* Returns: the run that LINE reports, which is added if it is not known. */
static FbCliRun *
reported_run (FbCliTaskRuns *task, const FbCliLogLine *line)
{
  FbCliRun *run = find_run (task, line);
  if (run != NULL)
    return run;
  const FbCliRun *start = find_start (task, line);
  run = add_run (task, line);
  if (start != NULL)
    set_order (run, start->placed);
  return run;
}

gboolean
fb_cli_run_end_is_concluded (const FbCliRun *run)
{
  return run->end != NULL && run->end->event != FB_EVENT_TASK_ENDED;
}

static gboolean
was_lost (const FbCliRun *run)
{
  return run->end != NULL
         && (run->end->event == FB_EVENT_POOL_WORKER_LOST || run->end->event == FB_EVENT_TASK_LOST);
}

/* TRUE when a later owner than that of LINE has ordered or found RUN: what LINE concludes is of an
 * owner that has been replaced. */
static gboolean
is_superseded (const FbCliRun *run, const FbCliLogLine *line)
{
  guint64 epoch = run->epoch;
  for (guint i = 0; i < run->lines->len; i++)
    {
      const FbCliLogLine *found = run->lines->pdata[i];
      if (found->event == FB_EVENT_RUN_ADOPTED)
        epoch = MAX (epoch, fb_cli_log_line_number (found, "epoch"));
    }
  return fb_cli_log_line_number (line, "epoch") < epoch;
}

/* Returns: the last line that shows RUN at work, NULL if none does. */
static const FbCliLogLine *
last_found (const FbCliRun *run)
{
  for (guint i = run->lines->len; i > 0; i--)
    {
      const FbCliLogLine *line = run->lines->pdata[i - 1];
      if (line->event == FB_EVENT_RUN_ADOPTED)
        return line;
    }
  return NULL;
}

/* ---- outcomes ------------------------------------------------------------------ */

/* Notes that the owner at the daemon of LINE took the run before for ended. */
static void
note_outcome (FbCliTaskRuns *task, const FbCliLogLine *line, const char *outcome)
{
  g_hash_table_add (task->outcomes, g_strdup_printf ("%s %s", line->daemon, outcome));
}

static gboolean
is_of_daemon (gpointer key, gpointer value, gpointer prefix)
{
  (void) value;
  return g_str_has_prefix (key, prefix);
}

/* An order names how the run before ended; the same daemon must have logged that end. */
static void
check_outcome (FbCliTaskRuns *task, const FbCliLogLine *placed)
{
  static const char *const without_line[] = { "first", "copy", "not found", "superseded", NULL };
  const char *why = fb_cli_log_line_get (placed, "why");
  g_autofree char *key = g_strdup_printf ("%s %s", placed->daemon, why);
  if (!g_strv_contains (without_line, why) && !g_hash_table_contains (task->outcomes, key))
    g_ptr_array_add (
        task->faults,
        g_strdup_printf ("%s: the end `%s` before attempt %u is not in the lines of %s", task->task,
                         why, attempt_of (placed), placed->daemon));
  g_autofree char *prefix = g_strdup_printf ("%s ", placed->daemon);
  if (!g_str_equal (why, "copy"))
    g_hash_table_foreach_remove (task->outcomes, is_of_daemon, prefix);
}

static void
check_orders (FbCliTaskRuns *task)
{
  for (guint i = 0; i < task->runs->len; i++)
    {
      const FbCliRun *run = task->runs->pdata[i];
      if (run->placed == NULL)
        g_ptr_array_add (task->faults,
                         g_strdup_printf ("%s: the order of attempt %u on %s is not in the logs",
                                          task->task, run->attempt, run->worker));
    }
}

/* ---- lines --------------------------------------------------------------------- */

static gboolean
was_found_by (const FbCliRun *run, const char *daemon)
{
  for (guint i = 0; i < run->lines->len; i++)
    {
      const FbCliLogLine *line = run->lines->pdata[i];
      if (line->event == FB_EVENT_RUN_ADOPTED && g_str_equal (line->daemon, daemon))
        return TRUE;
    }
  return FALSE;
}

/* Returns: the first line by which the owner of PLACED had heard of the worker of RUN since RUN
 * began; NULL if there is none. */
static const FbCliLogLine *
find_heard (const History *self, const FbCliRun *run, const FbCliLogLine *placed)
{
  const char *epoch = fb_cli_log_line_get (placed, "epoch");
  for (guint i = 0; i < self->heard->len; i++)
    {
      const FbCliLogLine *line = self->heard->pdata[i];
      if (line->time_us >= run->began->time_us && g_str_equal (line->daemon, placed->daemon)
          && g_str_equal (fb_cli_log_line_get (line, "worker"), run->worker)
          && g_str_equal (fb_cli_log_line_get (line, "epoch"), epoch))
        return line;
    }
  return NULL;
}

/* A run that an earlier owner ordered has ended when its worker has answered the owner of PLACED
 * and did not list it. */
static void
conclude_absent (const History *self, FbCliRun *run, const FbCliLogLine *placed)
{
  gboolean same_owner = run->daemon != NULL && g_str_equal (run->daemon, placed->daemon)
                        && run->epoch == fb_cli_log_line_number (placed, "epoch");
  if (run->end != NULL)
    return;
  if (!same_owner && !was_found_by (run, placed->daemon))
    run->end = find_heard (self, run, placed);
  else if (same_owner && g_str_equal (fb_cli_log_line_get (placed, "why"), "superseded"))
    run->end = placed;
}

static void
add_order (History *self, FbCliTaskRuns *task, const FbCliLogLine *line)
{
  check_outcome (task, line);
  for (guint i = 0; i < task->runs->len; i++)
    conclude_absent (self, task->runs->pdata[i], line);
  FbCliRun *run = find_run (task, line);
  /* Another daemon with a clock that is behind may have reported the run. */
  if (run == NULL || run->placed != NULL)
    run = add_run (task, line);
  set_order (run, line);
  run->began = line;
  g_ptr_array_add (run->lines, (gpointer) line);
}

static void
add_found (FbCliTaskRuns *task, const FbCliLogLine *line)
{
  FbCliRun *run = reported_run (task, line);
  g_ptr_array_add (run->lines, (gpointer) line);
  if (!fb_cli_run_end_is_concluded (run))
    return;
  run->refuted = run->end;
  run->end = NULL;
}

static void
add_reported_end (FbCliTaskRuns *task, const FbCliLogLine *line)
{
  const char *how = fb_cli_log_line_get (line, "how");
  note_outcome (task, line, how);
  FbCliRun *run = reported_run (task, line);
  g_ptr_array_add (run->lines, (gpointer) line);
  if (run->end == NULL)
    run->end = line;
  else if (was_lost (run) && !g_str_equal (fb_cli_log_line_get (run->end, "why"), "other life"))
    run->late_end = g_str_equal (how, "lapsed") && run->short_lease == NULL ? NULL : line;
  else if (fb_cli_run_end_is_concluded (run))
    {
      run->refuted = run->end;
      run->end = line;
    }
}

static void
add_concluded_end (FbCliTaskRuns *task, const FbCliLogLine *line, const char *outcome)
{
  note_outcome (task, line, outcome);
  FbCliRun *run = find_run (task, line);
  if (run == NULL)
    return;
  g_ptr_array_add (run->lines, (gpointer) line);
  if (run->end == NULL && !is_superseded (run, line))
    run->end = line;
}

/* The next incarnation may carry out the start. */
static void
transfer_start (FbCliTaskRuns *task, const FbCliLogLine *line)
{
  FbCliRun *run = find_run (task, line);
  if (run == NULL)
    return;
  g_ptr_array_add (run->lines, (gpointer) line);
  g_free (run->worker);
  run->worker = g_strdup (fb_cli_log_line_get (line, "life"));
  if (was_lost (run))
    run->end = NULL;
}

static void
add_refuted_loss (FbCliTaskRuns *task, const FbCliLogLine *line)
{
  FbCliRun *run = reported_run (task, line);
  g_ptr_array_add (run->lines, (gpointer) line);
  run->short_lease = line;
}

static void
add_other (FbCliTaskRuns *task, const FbCliLogLine *line)
{
  FbCliRun *run = find_run (task, line);
  if (run != NULL)
    g_ptr_array_add (run->lines, (gpointer) line);
}

static void
add_task_line (History *self, FbCliTaskRuns *task, const FbCliLogLine *line)
{
  if (line->event == FB_EVENT_TASK_PLACED)
    add_order (self, task, line);
  else if (line->event == FB_EVENT_RUN_ADOPTED)
    add_found (task, line);
  else if (line->event == FB_EVENT_TASK_ENDED)
    add_reported_end (task, line);
  else if (line->event == FB_EVENT_RUN_ABSENT)
    add_concluded_end (task, line, "absent");
  else if (line->event == FB_EVENT_TASK_REFUSED)
    add_concluded_end (task, line, "refused");
  else if (line->event == FB_EVENT_TASK_LOST)
    add_concluded_end (task, line, fb_cli_log_line_get (line, "why"));
  else if (line->event == FB_EVENT_START_WITHDRAWN)
    note_outcome (task, line, "withdrawn");
  else if (line->event == FB_EVENT_START_MAY_COME)
    transfer_start (task, line);
  else if (line->event == FB_EVENT_POOL_LOSS_REFUTED)
    add_refuted_loss (task, line);
  else
    add_other (task, line);
}

/* All runs of the worker of LINE have ended. */
static void
add_lost_worker (const History *self, const FbCliLogLine *line)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const FbCliTaskRuns *task = value;
      for (guint i = 0; i < task->runs->len; i++)
        {
          FbCliRun *run = task->runs->pdata[i];
          if (run->end != NULL || is_superseded (run, line)
              || !g_str_equal (run->worker, fb_cli_log_line_get (line, "worker")))
            continue;
          run->end = line;
          g_ptr_array_add (run->lines, (gpointer) line);
        }
    }
}

GHashTable *
fb_cli_run_history_new (const GPtrArray *lines)
{
  History history = { 0 };
  history.tasks = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, task_runs_free);
  history.heard = g_ptr_array_new ();
  for (guint i = 0; i < lines->len; i++)
    {
      const FbCliLogLine *line = lines->pdata[i];
      const char *task = fb_cli_log_line_get (line, "task");
      if (*task != '\0')
        add_task_line (&history, task_runs (&history, task), line);
      else if (line->event == FB_EVENT_POOL_WORKER_LOST)
        add_lost_worker (&history, line);
      else if (line->event == FB_EVENT_POOL_WORKER_HEARD)
        g_ptr_array_add (history.heard, (gpointer) line);
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, history.tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    check_orders (value);
  g_ptr_array_unref (history.heard);
  return history.tasks;
}

/* ---- comparison ---------------------------------------------------------------- */

gint64
fb_cli_run_ended_before_us (const FbCliRun *run, const FbCliLogLine *later)
{
  return later->time_us - run->end->time_us;
}

static gboolean
is_copy (const FbCliRun *run)
{
  return run->placed != NULL && g_str_equal (fb_cli_log_line_get (run->placed, "why"), "copy");
}

/* TRUE when the owner that ordered SECOND had ordered or found FIRST. */
static gboolean
is_known_to_owner (const FbCliRun *first, const FbCliRun *second)
{
  if (first->daemon == NULL || second->daemon == NULL)
    return FALSE;
  return (g_str_equal (first->daemon, second->daemon) && first->epoch == second->epoch)
         || was_found_by (first, second->daemon);
}

/* TRUE when a line shows FIRST at work after SECOND began. */
static gboolean
was_found_beside (const FbCliRun *first, const FbCliRun *second)
{
  const FbCliLogLine *found = last_found (first);
  return found != NULL && found->time_us > second->began->time_us;
}

static char *
compare_without_end (const FbCliRun *first, const FbCliRun *second, FbCliRelation *relation)
{
  *relation = FB_CLI_RUNS_OVERLAP;
  if (was_found_beside (first, second))
    return g_strdup_printf ("the earlier was found at work at %s and has no end on record",
                            last_found (first)->stamp);
  if (is_known_to_owner (first, second))
    return g_strdup ("the owner of the later has no end of the earlier on record");
  *relation = FB_CLI_RUNS_UNDECIDED;
  return g_strdup ("no line tells how the earlier ended");
}

/* Compares FIRST, whose end on record is GAP_US before SECOND began, by more than the margin. */
static char *
compare_clearly (const FbCliRun *first, const FbCliRun *second, gint64 gap_us,
                 FbCliRelation *relation)
{
  *relation = FB_CLI_RUNS_SEQUENTIAL;
  if (gap_us >= 0)
    return NULL;
  *relation = FB_CLI_RUNS_OVERLAP;
  if (!fb_cli_run_end_is_concluded (first) || is_known_to_owner (first, second)
      || was_found_beside (first, second))
    return g_strdup_printf ("the earlier ended on record %" G_GINT64_FORMAT
                            " ms after the later began",
                            -gap_us / 1000);
  *relation = FB_CLI_RUNS_UNDECIDED;
  return g_strdup_printf ("the end of the earlier was concluded %" G_GINT64_FORMAT
                          " ms after the later began, and no line shows it at work then",
                          -gap_us / 1000);
}

/* Returns: when RUN, whose leases outlasted their bound, was certainly still at work. */
static gint64
at_work_until_us (const FbCliRun *run)
{
  const FbCliLogLine *line = run->short_lease;
  return line->time_us
         + 1000
               * ((gint64) fb_cli_log_line_number (line, "short_ms")
                  - (gint64) fb_cli_log_line_number (line, "lost_ms_ago"));
}

static char *
compare_with_end (const FbCliRun *first, const FbCliRun *second, gint64 margin_us,
                  FbCliRelation *relation)
{
  gint64 gap_us = fb_cli_run_ended_before_us (first, second->began);
  gboolean one_clock = g_str_equal (first->end->daemon, second->began->daemon);
  *relation = FB_CLI_RUNS_OVERLAP;
  if (first->late_end != NULL && first->short_lease != NULL
      && at_work_until_us (first) > second->began->time_us)
    return g_strdup_printf ("the leases of the earlier went on for %" G_GINT64_FORMAT
                            " ms or more after the later began",
                            (at_work_until_us (first) - second->began->time_us) / 1000);
  *relation = FB_CLI_RUNS_UNDECIDED;
  if (first->late_end != NULL && first->late_end->time_us > second->began->time_us)
    return g_strdup_printf ("the lease of the earlier had ended, and at %s its worker reported the"
                            " end `%s`, which may be of before or after it",
                            first->late_end->stamp, fb_cli_log_line_get (first->late_end, "how"));
  if (!one_clock && ABS (gap_us) <= margin_us)
    return g_strdup_printf ("the earlier ended %" G_GINT64_FORMAT " ms %s the later began,"
                            " within the margin of two clocks",
                            ABS (gap_us) / 1000, gap_us >= 0 ? "before" : "after");
  return compare_clearly (first, second, gap_us, relation);
}

char *
fb_cli_run_history_compare (const FbCliRun *first, const FbCliRun *second, gint64 margin_us,
                            FbCliRelation *relation)
{
  *relation = FB_CLI_RUNS_SEQUENTIAL;
  if (second->end != NULL && second->end->event == FB_EVENT_TASK_REFUSED)
    return NULL;
  g_autofree char *text = first->end == NULL
                              ? compare_without_end (first, second, relation)
                              : compare_with_end (first, second, margin_us, relation);
  if (*relation == FB_CLI_RUNS_SEQUENTIAL || !is_copy (second))
    return g_steal_pointer (&text);
  *relation = FB_CLI_RUNS_COPY;
  return g_strdup ("the later is a copy");
}
