/* The command `runs`: how each run of a task came to be, by daemons' logs. */
#include "cli-private.h"

#include "run-history.h"

#include <stdio.h>
#include <string.h>

/* The fields of each event that are printed, of those that the line has. */
static const struct
{
  FbEvent event;
  const char *fields;
} printed_events[] = {
  { FB_EVENT_TASK_PLACED,
    "why heard_ms_ago unheard by_record by_labels by_advice stored_later epoch" },
  { FB_EVENT_TASK_STOPPING, "epoch" },
  { FB_EVENT_TASK_REFUSED, "reason epoch" },
  { FB_EVENT_TASK_ENDED, "how number" },
  { FB_EVENT_TASK_PREEMPTED, "for" },
  { FB_EVENT_TASK_COPIED, "heard_ms_ago ran_ms remaining_ms" },
  { FB_EVENT_TASK_MOVED, "to" },
  { FB_EVENT_TASK_STUCK, "ran_ms estimate_ms" },
  { FB_EVENT_TASK_LOST, "why seen ran_ms epoch" },
  { FB_EVENT_RUN_ADOPTED, "wanted epoch" },
  { FB_EVENT_RUN_ABSENT, "proof state clock_ms seen_clock_ms epoch" },
  { FB_EVENT_RUN_OUTLIVES_STOP, "stops ordered_ms_ago accepted_clock_ms clock_ms needed epoch" },
  { FB_EVENT_ORDER_NOT_DONE, "kind code copies result epoch" },
  { FB_EVENT_START_MAY_COME, "life unanswered sent_ms_ago" },
  { FB_EVENT_POOL_WORKER_HEARD, "running ends lease_ms bound epoch" },
  { FB_EVENT_POOL_WORKER_LOST,
    "why proof heard_ms_ago owned_ms answered listed poll lease_left_ms epoch" },
  { FB_EVENT_POOL_LOSS_REFUTED, "lost report bound short_ms lost_ms_ago epoch" },
  { FB_EVENT_POOL_TAKEN, "partition load_ms" },
  { FB_EVENT_POOL_MAJORITY,
    "service listed answered unlisted unlisted_answered recorded recorded_answered owned_ms" },
  { FB_EVENT_POOL_SETTLED, "service workers took_ms" },
  { FB_EVENT_POOL_LOST, "partition owned_ms confirmed_ms_ago why" },
};

/* How often each relation was found. */
typedef struct
{
  guint n[FB_CLI_RUNS_UNDECIDED + 1];
} Findings;

/* ---- lines --------------------------------------------------------------------- */

static void
print_field (const FbCliLogLine *line, const char *field)
{
  const char *value = g_hash_table_lookup (line->fields, field);
  if (value == NULL)
    return;
  gboolean quoted = strchr (value, ' ') != NULL;
  printf (quoted ? " %s=\"%s\"" : " %s=%s", field, value);
}

static void
print_line (const FbCliLogLine *line)
{
  printf ("    %s %s %s", line->stamp, line->daemon, fb_event_name (line->event));
  for (gsize i = 0; i < G_N_ELEMENTS (printed_events); i++)
    {
      if (printed_events[i].event != line->event)
        continue;
      g_auto (GStrv) fields = g_strsplit (printed_events[i].fields, " ", -1);
      for (guint j = 0; fields[j] != NULL; j++)
        print_field (line, fields[j]);
    }
  printf ("\n");
}

/* ---- runs ---------------------------------------------------------------------- */

/* Returns: (transfer full): the age of the proof LINE of an end, "" when there is none. */
static char *
describe_age (const FbCliLogLine *line)
{
  guint64 clock_ms = fb_cli_log_line_number (line, "clock_ms");
  guint64 seen_clock_ms = fb_cli_log_line_number (line, "seen_clock_ms");
  if (line->event == FB_EVENT_RUN_ABSENT && seen_clock_ms != 0)
    return g_strdup_printf (", listed %" G_GUINT64_FORMAT " ms before by its worker's clock",
                            clock_ms - seen_clock_ms);
  if (line->event == FB_EVENT_POOL_WORKER_LOST
      && g_str_equal (fb_cli_log_line_get (line, "answered"), "0"))
    return g_strdup (", its worker never heard by this owner");
  if (line->event == FB_EVENT_POOL_WORKER_LOST)
    return g_strdup_printf (", its worker heard %s ms before",
                            fb_cli_log_line_get (line, "heard_ms_ago"));
  if (line->event == FB_EVENT_POOL_WORKER_HEARD)
    return g_strdup (", not listed by its worker");
  return g_strdup ("");
}

static void
print_end (const FbCliRun *run)
{
  if (run->refuted != NULL)
    printf ("    taken for ended at %s by %s, which a later line contradicts\n",
            run->refuted->stamp, fb_event_name (run->refuted->event));
  if (run->short_lease != NULL)
    printf ("    the bound of its lease, \"%s\", was too short by at least %s ms\n",
            fb_cli_log_line_get (run->short_lease, "bound"),
            fb_cli_log_line_get (run->short_lease, "short_ms"));
  if (run->end == NULL)
    {
      printf ("    no end on record\n");
      return;
    }
  g_autofree char *age = describe_age (run->end);
  printf ("    %s %" G_GINT64_FORMAT " ms after its %s, by %s%s\n",
          fb_cli_run_end_is_concluded (run) ? "concluded to have ended" : "ended",
          -fb_cli_run_ended_before_us (run, run->began) / 1000,
          run->began == run->placed ? "order" : "first line", fb_event_name (run->end->event), age);
}

static void
print_run (const FbCliRun *run, guint number)
{
  printf ("  run %u: attempt %u on %s, ", number, run->attempt, run->worker);
  if (run->daemon != NULL)
    printf ("ordered by %s in epoch %" G_GUINT64_FORMAT "\n", run->daemon, run->epoch);
  else
    printf ("whose order is not in the logs\n");
  if (run->placed != NULL && run->began != run->placed)
    printf ("    carried out by another incarnation than the one that was ordered\n");
  for (guint i = 0; i < run->lines->len; i++)
    print_line (run->lines->pdata[i]);
  print_end (run);
}

static void
print_relation (const FbCliTaskRuns *task, guint i, guint j, const FbCliOptions *options,
                Findings *findings)
{
  const FbCliRun *first = task->runs->pdata[i];
  const FbCliRun *second = task->runs->pdata[j];
  FbCliRelation relation = FB_CLI_RUNS_SEQUENTIAL;
  g_autofree char *text
      = fb_cli_run_history_compare (first, second, (gint64) options->margin_ms * 1000, &relation);
  findings->n[relation]++;
  if (text != NULL)
    printf ("  runs %u and %u %s: %s\n", i + 1, j + 1,
            relation == FB_CLI_RUNS_UNDECIDED ? "may overlap" : "overlap", text);
  else if (j == i + 1 && first->end != NULL)
    printf ("  run %u began %" G_GINT64_FORMAT " ms after run %u had ended\n", j + 1,
            fb_cli_run_ended_before_us (first, second->began) / 1000, i + 1);
}

static void
compare_runs (const FbCliTaskRuns *task, const FbCliOptions *options, Findings *findings)
{
  for (guint j = 1; j < task->runs->len; j++)
    {
      for (guint i = 0; i < j; i++)
        print_relation (task, i, j, options, findings);
    }
}

/* ---- owners -------------------------------------------------------------------- */

/* Returns: the service whose pool the owner at DAEMON has the job in; "" if it is not told. */
static const char *
service_of (const FbCliLog *log, const char *daemon, guint64 epoch)
{
  for (guint i = 0; i < log->lines->len; i++)
    {
      const FbCliLogLine *line = log->lines->pdata[i];
      if (line->event == FB_EVENT_JOB_TAKEN && g_str_equal (line->daemon, daemon)
          && fb_cli_log_line_number (line, "epoch") == epoch)
        return fb_cli_log_line_get (line, "service");
    }
  return "";
}

static gboolean
is_of_owner (const FbCliLogLine *line, const char *daemon, guint64 epoch, const char *service)
{
  const char *named = fb_cli_log_line_get (line, "service");
  gboolean is_of_pool = line->event == FB_EVENT_POOL_TAKEN || line->event == FB_EVENT_POOL_LOST
                        || line->event == FB_EVENT_POOL_MAJORITY
                        || line->event == FB_EVENT_POOL_SETTLED;
  return is_of_pool && g_str_equal (line->daemon, daemon)
         && fb_cli_log_line_number (line, "epoch") == epoch
         && (*named == '\0' || *service == '\0' || g_str_equal (named, service));
}

static void
print_owner (const FbCliLog *log, const char *daemon, guint64 epoch)
{
  const char *service = service_of (log, daemon, epoch);
  printf ("  owner %s, epoch %" G_GUINT64_FORMAT "\n", daemon, epoch);
  for (guint i = 0; i < log->lines->len; i++)
    {
      if (is_of_owner (log->lines->pdata[i], daemon, epoch, service))
        print_line (log->lines->pdata[i]);
    }
}

/* Prints the owners that have ordered or found a run of TASK. */
static void
print_owners (const FbCliLog *log, const FbCliTaskRuns *task)
{
  g_autoptr (GHashTable) known = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < task->runs->len; i++)
    {
      const FbCliRun *run = task->runs->pdata[i];
      for (guint j = 0; j < run->lines->len; j++)
        {
          const FbCliLogLine *line = run->lines->pdata[j];
          const char *epoch = fb_cli_log_line_get (line, "epoch");
          if ((line->event == FB_EVENT_TASK_PLACED || line->event == FB_EVENT_RUN_ADOPTED)
              && g_hash_table_add (known, g_strdup_printf ("%s %s", line->daemon, epoch)))
            print_owner (log, line->daemon, fb_cli_log_line_number (line, "epoch"));
        }
    }
}

/* ---- what is missing ----------------------------------------------------------- */

/* Returns: the first line about the job or its tasks, NULL if there is none. */
static const FbCliLogLine *
first_line (const FbCliLog *log)
{
  for (guint i = 0; i < log->lines->len; i++)
    {
      const FbCliLogLine *line = log->lines->pdata[i];
      if (g_hash_table_contains (line->fields, "job")
          || g_hash_table_contains (line->fields, "task"))
        return line;
    }
  return NULL;
}

/* The lines of a job are all there only if those of its submission are. */
static gboolean
has_submission (const FbCliLog *log)
{
  for (guint i = 0; i < log->lines->len; i++)
    {
      const FbCliLogLine *line = log->lines->pdata[i];
      if (line->event == FB_EVENT_JOB_ACCEPTED
          || (line->event == FB_EVENT_JOB_TAKEN
              && g_str_equal (fb_cli_log_line_get (line, "restored"), "0")))
        return TRUE;
    }
  return FALSE;
}

/* Lines that were dropped before the first one about the job do not matter. */
static void
check_dropped (FbCliLog *log, const FbCliLogLine *first)
{
  guint64 dropped_n = 0;
  const FbCliLogLine *last = NULL;
  for (guint i = 0; i < log->lines->len; i++)
    {
      const FbCliLogLine *line = log->lines->pdata[i];
      if (line->event != FB_EVENT_LINES_DROPPED || line->time_us < first->time_us)
        continue;
      dropped_n += fb_cli_log_line_number (line, "n");
      last = line;
    }
  if (last != NULL)
    g_ptr_array_add (log->faults, g_strdup_printf ("lines that were dropped: %" G_GUINT64_FORMAT
                                                   ", the last by %s before %s",
                                                   dropped_n, last->daemon, last->stamp));
}

static void
check_lines (FbCliLog *log, const char *name)
{
  const FbCliLogLine *first = first_line (log);
  if (first == NULL)
    g_ptr_array_add (log->faults, g_strdup_printf ("no line is about %s", name));
  else if (!has_submission (log))
    g_ptr_array_add (log->faults,
                     g_strdup ("the submission of the job is not in the logs; lines of earlier"
                               " owners may be missing"));
  if (first != NULL)
    check_dropped (log, first);
}

/* ---- verdict ------------------------------------------------------------------- */

static void
print_faults (const GPtrArray *faults)
{
  for (guint i = 0; i < faults->len; i++)
    printf ("missing: %s\n", (const char *) faults->pdata[i]);
}

static FbCliExit
print_verdict (guint faults_n, const Findings *findings, guint tasks_n, guint runs_n)
{
  if (faults_n > 0)
    printf ("no verdict: the logs do not suffice\n");
  else if (findings->n[FB_CLI_RUNS_OVERLAP] > 0)
    printf ("verdict: runs overlap\n");
  else if (findings->n[FB_CLI_RUNS_UNDECIDED] > 0)
    printf ("no verdict: runs may overlap\n");
  else
    printf ("verdict: no two runs overlap%s; tasks: %u, runs: %u\n",
            findings->n[FB_CLI_RUNS_COPY] > 0 ? " but copies" : "", tasks_n, runs_n);
  if (faults_n > 0)
    return FB_CLI_INSUFFICIENT;
  if (findings->n[FB_CLI_RUNS_OVERLAP] > 0)
    return FB_CLI_OVERLAP;
  return findings->n[FB_CLI_RUNS_UNDECIDED] > 0 ? FB_CLI_INSUFFICIENT : FB_CLI_OK;
}

static void
print_task (const FbCliLog *log, const FbCliTaskRuns *task, const FbCliOptions *options,
            Findings *findings)
{
  printf ("task %s\n", task->task);
  for (guint i = 0; i < task->runs->len; i++)
    print_run (task->runs->pdata[i], i + 1);
  print_owners (log, task);
  compare_runs (task, options, findings);
}

static FbCliExit
print_tasks (const FbCliLog *log, const FbCliOptions *options, const char *name)
{
  g_autoptr (GHashTable) tasks = fb_cli_run_history_new (log->lines);
  g_autoptr (GList) names = g_list_sort (g_hash_table_get_keys (tasks), (GCompareFunc) strcmp);
  Findings findings = { { 0 } };
  guint faults_n = log->faults->len;
  guint runs_n = 0;
  for (const GList *l = names; l != NULL; l = l->next)
    {
      const FbCliTaskRuns *task = g_hash_table_lookup (tasks, l->data);
      runs_n += task->runs->len;
      faults_n += task->faults->len;
      if (task->runs->len > 1 || g_str_equal (task->task, name))
        print_task (log, task, options, &findings);
      print_faults (task->faults);
    }
  print_faults (log->faults);
  printf ("clocks of two daemons are taken to differ by at most %d ms\n", options->margin_ms);
  return print_verdict (faults_n, &findings, g_list_length (names), runs_n);
}

FbCliExit
fb_cli_runs (const FbCliOptions *options, char **args)
{
  FbCliLog *log = fb_cli_log_read (args + 1, args[0]);
  if (log == NULL)
    return FB_CLI_INVALID;
  check_lines (log, args[0]);
  FbCliExit code = print_tasks (log, options, args[0]);
  fb_cli_log_free (log);
  return code;
}
