/* Runs a script against a pool and prints each line, followed by the orders that the pool sends.
 *
 * A line is one event or query; see COMMANDS. Lines that begin with '#' are comments. Job ids are
 * written without their leading zeros; a task is JOB.OCCURRENCE.STEP.INDEX. The clock stands still
 * except in "tick". */
#include "recorded-workers.h"

#include "fb-event.h"
#include "internal/codec.h"
#include "internal/pool.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define START_MS 100000
#define START_WALL_MS 1000000000
/* With more workers than this, starts are not printed. */
#define MAX_PRINTED_WORKERS 20

typedef struct
{
  FbPool *pool;
  uint64_t now_ms;
  GHashTable *admitted;        /* job -> fb_work_admit, as stored */
  GHashTable *progress;        /* job -> GBytes, the progress record as stored */
  GHashTable *suspect_backups; /* job -> GBytes, the suspects that other daemons back up */
  GBytes *stored_workers;      /* the stored record of the pool's workers; NULL: none */
  GBytes *stored_silent;       /* the stored record of silent workers; NULL: none */
  GHashTable *workers; /* id -> the words of its line, used to list it again to the next owner */
  GHashTable *starts;  /* task, and task/attempt -> order number of the last start */
  GHashTable *stops;   /* task -> order number of the last stop */
  GHashTable *used_workers; /* set of ids of workers on which something was started */
  /* What runs on the workers of "workers N": name of a task -> its last start. */
  GHashTable *crowd_runs;
  guint crowd_starts_n;    /* starts on these workers since the last "starts" */
  guint crowd_repeated_n;  /* of these, of tasks that ran on another worker */
  GHashTable *accounts;    /* name -> FbAccount, as configured; NULL: none */
  GPtrArray *flush;        /* the open flush; NULL: none */
  guint max_silence_bytes; /* limit of the record of silent workers; 0: none */
  gboolean store_is_up;    /* each tick is followed by a flush that is stored at once */
  gboolean show_polls;
  uint64_t advice_requests_left; /* number of advice requests that are still accepted */
  GPtrArray *advice_requests;    /* of GStrv: a step and the workers of a request, in their order */
  char **args;
  const char *line;
} Script;

static const char *
strip_zeros (const char *name)
{
  while (*name == '0')
    name++;
  return name;
}

static char *
pad_job_id (const char *name)
{
  const char *dot = strchr (name, '.');
  gsize len = dot != NULL ? (gsize) (dot - name) : strlen (name);
  GString *out = g_string_new (NULL);
  for (gsize i = len; i < FB_WORK_JOB_ID_CHARS; i++)
    g_string_append_c (out, '0');
  return g_string_free (g_string_append (out, name), FALSE);
}

static void
fail (const Script *script, const char *why)
{
  fprintf (stderr, "bad line \"%s\": %s\n", script->line, why);
  exit (2);
}

/* ---- arguments of a line -------------------------------------------------------- */

static const char *
option (const Script *script, const char *name)
{
  gsize len = strlen (name);
  for (guint i = 1; script->args[i] != NULL; i++)
    {
      if (strncmp (script->args[i], name, len) == 0 && script->args[i][len] == '=')
        return script->args[i] + len + 1;
    }
  return NULL;
}

static uint64_t
option_u64 (const Script *script, const char *name, uint64_t fallback)
{
  const char *text = option (script, name);
  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : fallback;
}

static gboolean
has_flag (const Script *script, const char *name)
{
  return g_strv_contains ((const char *const *) script->args + 1, name);
}

/* ---- orders of the pool ------------------------------------------------------ */

static void
record_order (GHashTable *table, const char *task, uint64_t order)
{
  g_hash_table_replace (table, g_strdup (strip_zeros (task)), g_memdup2 (&order, sizeof order));
}

/* A task that the pool has started on one of many workers. */
typedef struct
{
  char *worker;
  uint32_t attempt;
} CrowdRun;

static void
record_crowd_start (Script *script, const FbStartOrder *order)
{
  const CrowdRun *earlier = g_hash_table_lookup (script->crowd_runs, order->task);
  script->crowd_starts_n++;
  script->crowd_repeated_n += earlier != NULL;
  CrowdRun *run = g_new0 (CrowdRun, 1);
  run->worker = g_strdup (order->worker);
  run->attempt = order->attempt;
  g_hash_table_replace (script->crowd_runs, g_strdup (order->task), run);
}

static void
on_start (gpointer user, const FbStartOrder *order)
{
  Script *script = user;
  g_autofree char *name = g_strdup_printf ("%s/%u", order->task, order->attempt);
  record_order (script->starts, order->task, order->order);
  record_order (script->starts, name, order->order);
  g_hash_table_add (script->used_workers, g_strdup (order->worker));
  if (g_hash_table_size (script->workers) > MAX_PRINTED_WORKERS)
    {
      record_crowd_start (script, order);
      return;
    }
  printf ("  start %s attempt=%u on %s%s%s%s%s\n", strip_zeros (order->task), order->attempt,
          order->worker, *order->checkpoint != '\0' ? " checkpoint=" : "", order->checkpoint,
          order->ticket != NULL ? " ticket=" : "", order->ticket != NULL ? order->ticket : "");
}

static void
on_stop (gpointer user, const FbStopOrder *order)
{
  record_order (((Script *) user)->stops, order->task, order->order);
  printf ("  stop %s attempt=%u on %s\n", strip_zeros (order->task), order->attempt, order->worker);
}

static void
on_poll (gpointer user, const FbPollOrder *order)
{
  if (((Script *) user)->show_polls)
    printf ("  poll %s acknowledged=%" G_GUINT64_FORMAT " wait=%u%s\n", order->worker,
            order->acknowledged, order->wait_ms, order->deadline_ms > 0 ? " lease" : "");
}

static gboolean
on_request_advice (gpointer user, const char *step, const char *const *workers, guint n,
                   uint32_t expected_ms)
{
  if (((Script *) user)->advice_requests_left == 0)
    return FALSE;
  ((Script *) user)->advice_requests_left--;
  GPtrArray *request = g_ptr_array_new ();
  g_ptr_array_add (request, g_strdup (step));
  for (guint i = 0; i < n; i++)
    g_ptr_array_add (request, g_strdup (workers[i]));
  g_ptr_array_add (request, NULL);
  g_ptr_array_add (((Script *) user)->advice_requests, g_ptr_array_free (request, FALSE));
  printf ("  request advice for %s on %u workers, expected after %u ms", strip_zeros (step), n,
          expected_ms);
  guint used_n = 0;
  for (guint i = 0; i < n; i++)
    used_n += g_hash_table_contains (((Script *) user)->used_workers, workers[i]);
  if (used_n > 0 && n > MAX_PRINTED_WORKERS)
    printf (", %u of them in use", used_n);
  printf ("\n");
  return TRUE;
}

static guint
idle_daemons (gpointer user, uint32_t expected_ms)
{
  (void) expected_ms;
  return (guint) MIN (((Script *) user)->advice_requests_left, G_MAXUINT);
}

static void
on_fenced (gpointer user, const char *worker)
{
  (void) user;
  printf ("  fenced by %s\n", worker);
}

/* Incarnations are called ID@N in scripts. */
static gboolean
is_newer_incarnation (const char *incarnation, const char *other)
{
  g_auto (GStrv) parts = g_strsplit (incarnation, "@", 2);
  g_auto (GStrv) other_parts = g_strsplit (other, "@", 2);
  return parts[1] != NULL && other_parts[1] != NULL && g_str_equal (parts[0], other_parts[0])
         && atoi (parts[1]) > atoi (other_parts[1]);
}

static gboolean
may_restart (const char *incarnation)
{
  return strchr (incarnation, '@') != NULL;
}

static const FbPoolCallbacks callbacks
    = { on_start, on_stop,    on_poll, on_request_advice, on_fenced, is_newer_incarnation,
        NULL,     may_restart };

/* ---- pools ------------------------------------------------------------------------ */

static void
list_worker (Script *script, char **args)
{
  char **saved = script->args;
  script->args = args;
  const char *labels[] = { "kind-a", option (script, "rack"), NULL };
  const FbWorkerEntry entry
      = { .id = args[1],
          .address = option (script, "address") != NULL ? option (script, "address") : args[1],
          .rack = labels[1],
          .labels = labels,
          .cpu_milli = (uint32_t) option_u64 (script, "cpu", 16000),
          .mem_mb = (uint32_t) option_u64 (script, "mem", 32000),
          .gpu_count = (uint32_t) option_u64 (script, "gpu", 0),
          .draining = has_flag (script, "draining") };
  if (has_flag (script, "unrecorded"))
    fb_pool_worker_listed (script->pool, &entry, script->now_ms);
  else
    list_recorded_worker (script->pool, &entry, script->now_ms);
  script->args = saved;
}

static void
open_pool (Script *script, uint64_t epoch)
{
  const FbPoolLimits limits = { .max_lease_ms = 6000,
                                .max_stop_ms = 200,
                                .gang_wait_ms = 3000,
                                .max_reported_ends = 10,
                                .max_silence_bytes = script->max_silence_bytes };
  g_clear_pointer (&script->pool, fb_pool_free);
  script->pool = fb_pool_new ("svc", epoch, &limits, &callbacks, script, script->now_ms);
  fb_pool_set_idle_daemons (script->pool, idle_daemons);
  fb_pool_set_leases_until (script->pool, G_MAXUINT64);
  if (script->flush != NULL)
    g_clear_pointer (&script->flush, g_ptr_array_unref);
}

/* ---- client accounts ------------------------------------------------------------------- */

static void
apply_accounts (Script *script)
{
  if (script->accounts != NULL)
    fb_pool_set_accounts (script->pool, script->accounts);
}

/* account NAME [weight=N] [cpu=MILLI] [mem=MB] [gpu=N]: configures an account with these limits. */
static void
do_account (Script *script)
{
  if (script->accounts == NULL)
    script->accounts = g_hash_table_new (g_str_hash, g_str_equal);
  FbAccount *account = g_new0 (FbAccount, 1);
  account->name = g_strdup (script->args[1]);
  account->weight = (uint32_t) option_u64 (script, "weight", 0);
  account->cap = (FbAmounts){ (int64_t) option_u64 (script, "cpu", 0),
                              (int64_t) option_u64 (script, "mem", 0),
                              (int64_t) option_u64 (script, "gpu", 0) };
  g_hash_table_replace (script->accounts, account->name, account);
  apply_accounts (script);
}

/* account-part NAME [cpu=MILLI] [mem=MB] [gpu=N]: sets the part of the cap that the pool has. */
static void
do_account_part (Script *script)
{
  const FbAmounts part = { (int64_t) option_u64 (script, "cpu", G_MAXINT64),
                           (int64_t) option_u64 (script, "mem", G_MAXINT64),
                           (int64_t) option_u64 (script, "gpu", G_MAXINT64) };
  fb_pool_set_account_part (script->pool, script->args[1], &part);
}

static uint64_t
wall_ms (const Script *script)
{
  return START_WALL_MS + script->now_ms - START_MS;
}

static void
restore_workers (Script *script)
{
  gsize len = 0;
  fb_work_workers record;
  if (script->stored_workers == NULL)
    return;
  gconstpointer data = g_bytes_get_data (script->stored_workers, &len);
  if (!fb_codec_decode_workers (data, len, &record))
    fail (script, "the record of workers is malformed");
  if (script->stored_silent != NULL
      && !fb_pool_restore_silent_workers (script->pool, script->stored_workers,
                                          script->stored_silent, script->now_ms))
    fail (script, "the record of silent workers is malformed");
  fb_pool_restore_workers (script->pool, &record);
  xdr_free ((xdrproc_t) xdr_fb_work_workers, (char *) &record);
}

/* silence-bytes N: owners from here on, the first one included, store no longer record of silent
 * workers. */
static void
do_silence_bytes (Script *script)
{
  script->max_silence_bytes = (guint) atoi (script->args[1]);
  open_pool (script, 1);
}

/* new-owner EPOCH [stale-list] [unreadable-workers]: replaces the owner by one that loads the
 * stored records and the list of workers; with stale-list the list may lack workers that the
 * previous owner has used; with unreadable-workers the record of workers cannot be read. */
static void
do_new_owner (Script *script)
{
  open_pool (script, g_ascii_strtoull (script->args[1], NULL, 10));
  apply_accounts (script);
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, script->admitted);
  while (g_hash_table_iter_next (&iter, &key, &value))
    fb_pool_add_job (script->pool, key, value, script->now_ms, wall_ms (script));
  g_hash_table_iter_init (&iter, script->progress);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      gsize len = 0;
      gconstpointer data = g_bytes_get_data (value, &len);
      fb_work_progress progress;
      fb_work_suspects suspects;
      if (!fb_codec_decode_progress (data, len, &progress, &suspects))
        fail (script, "the recorded progress is malformed");
      fb_pool_restore_job (script->pool, key, &progress, &suspects, script->now_ms);
      fb_codec_clear_progress (&progress, &suspects);
    }
  g_hash_table_iter_init (&iter, script->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    list_worker (script, value);
  if (has_flag (script, "unreadable-workers"))
    fb_pool_workers_unreadable (script->pool);
  else
    restore_workers (script);
  if (!has_flag (script, "stale-list"))
    fb_pool_workers_complete (script->pool);
}

/* worker ID [address=ADDRESS] [rack=NAME] [cpu=MILLI] [mem=MB] [gpu=N] [draining] [unrecorded]:
 * lists a worker or changes its entry. Unless it is unrecorded, a record of workers that was stored
 * earlier names it. Workers whose ID has the form NAME@N may restart. */
static void
do_worker (Script *script)
{
  g_hash_table_replace (script->workers, g_strdup (script->args[1]), g_strdupv (script->args));
  list_worker (script, script->args);
}

/* workers N: lists N workers, each of which answers a poll. */
static void
do_workers (Script *script)
{
  guint n = (guint) atoi (script->args[1]);
  for (guint i = 1; i <= n; i++)
    {
      g_autofree char *line = g_strdup_printf ("worker c%u", i);
      char **args = g_strsplit (line, " ", -1);
      g_hash_table_replace (script->workers, g_strdup (args[1]), args);
      list_worker (script, args);
      g_autoptr (GArray) running = g_array_new (FALSE, TRUE, sizeof (FbReportedRun));
      g_autoptr (GArray) finished = g_array_new (FALSE, TRUE, sizeof (FbReportedEnd));
      const FbPollAnswer answer
          = { .clock_ms = script->now_ms, .running = running, .finished = finished };
      fb_pool_poll_answered (script->pool, args[1], &answer, script->now_ms, wall_ms (script));
    }
}

/* Returns: (transfer full): FbReportedRun of what was started on WORKER. */
static GArray *
crowd_running (const Script *script, const char *worker)
{
  GArray *running = g_array_new (FALSE, TRUE, sizeof (FbReportedRun));
  GHashTableIter iter;
  gpointer task;
  gpointer value;
  g_hash_table_iter_init (&iter, script->crowd_runs);
  while (g_hash_table_iter_next (&iter, &task, &value))
    {
      const CrowdRun *run = value;
      const FbReportedRun row
          = { .task = task, .attempt = run->attempt, .checkpoint = (char *) "" };
      if (g_str_equal (run->worker, worker))
        g_array_append_val (running, row);
    }
  return running;
}

/* answers FIRST LAST [fail]: each of the workers cFIRST to cLAST answers a poll with what was
 * started there; with fail, its poll gets no answer. */
static void
do_answers (Script *script)
{
  for (int i = atoi (script->args[1]); i <= atoi (script->args[2]); i++)
    {
      g_autofree char *id = g_strdup_printf ("c%d", i);
      g_autoptr (GArray) running = crowd_running (script, id);
      g_autoptr (GArray) finished = g_array_new (FALSE, TRUE, sizeof (FbReportedEnd));
      const FbPollAnswer answer
          = { .result = has_flag (script, "fail") ? FB_ORDER_UNKNOWN : FB_ORDER_DONE,
              .clock_ms = script->now_ms,
              .running = running,
              .finished = finished };
      fb_pool_poll_answered (script->pool, id, &answer, script->now_ms, wall_ms (script));
    }
}

static gboolean
is_on_worker (gpointer task, gpointer run, gpointer worker)
{
  (void) task;
  return g_str_equal (((const CrowdRun *) run)->worker, worker);
}

/* forget FIRST LAST: what runs on the workers cFIRST to cLAST has ended with them. */
static void
do_forget (Script *script)
{
  for (int i = atoi (script->args[1]); i <= atoi (script->args[2]); i++)
    {
      g_autofree char *id = g_strdup_printf ("c%d", i);
      g_hash_table_foreach_remove (script->crowd_runs, is_on_worker, id);
    }
}

/* starts: prints how many tasks were started on many workers since the last time. */
static void
do_starts (Script *script)
{
  printf ("  %u starts, %u of tasks that ran already\n", script->crowd_starts_n,
          script->crowd_repeated_n);
  script->crowd_starts_n = script->crowd_repeated_n = 0;
}

/* unlist ID: the list no longer has this worker. */
static void
do_unlist (Script *script)
{
  g_hash_table_remove (script->workers, script->args[1]);
  fb_pool_worker_unlisted (script->pool, script->args[1], script->now_ms);
}

/* workers-complete: the owner has read the whole list of workers. */
static void
do_workers_complete (Script *script)
{
  fb_pool_workers_complete (script->pool);
}

/* ---- jobs ---------------------------------------------------------------------------- */

/* step:COUNT[,cpu=MILLI][,mem=MB][,gpu=N][,estimate=MS][,max-per-worker=N][,after=STEP][,label=NAME][,gang]
 * [,long-running][,checkpointing][,speculative] */
static void
parse_step (const Script *script, const char *text, fb_work_step *step)
{
  g_auto (GStrv) parts = g_strsplit (text, ",", -1);
  step->count = (u_int) atoi (parts[0]);
  step->cpu_milli = 1000;
  step->mem_mb = 100;
  step->estimate_ms = 1000;
  step->after.after_val = calloc (FB_WORK_MAX_STEPS, sizeof (u_int));
  step->preferred_rack = step->required_label = step->image = "";
  for (guint i = 1; parts[i] != NULL; i++)
    {
      const char *value = strchr (parts[i], '=');
      u_int n = value != NULL ? (u_int) atoi (value + 1) : 1;
      if (g_str_has_prefix (parts[i], "cpu="))
        step->cpu_milli = n;
      else if (g_str_has_prefix (parts[i], "mem="))
        step->mem_mb = n;
      else if (g_str_has_prefix (parts[i], "gpu="))
        step->gpu_count = n;
      else if (g_str_has_prefix (parts[i], "max-per-worker="))
        step->max_per_worker = n;
      else if (g_str_has_prefix (parts[i], "estimate="))
        step->estimate_ms = n;
      else if (g_str_has_prefix (parts[i], "after="))
        step->after.after_val[step->after.after_len++] = n;
      else if (g_str_has_prefix (parts[i], "label="))
        step->required_label = g_strdup (value + 1);
      else if (g_str_equal (parts[i], "gang"))
        step->gang = TRUE;
      else if (g_str_equal (parts[i], "long-running"))
        step->long_running = TRUE;
      else if (g_str_equal (parts[i], "checkpointing"))
        step->checkpointing = TRUE;
      else if (g_str_equal (parts[i], "speculative"))
        step->speculative = TRUE;
      else
        fail (script, parts[i]);
    }
}

/* job ID [account=NAME] [advised [decision=US] [per-worker=US] [validity=MS]] [queue=NAME]
 * [priority=N] [attempts=N] [target=MS] [occurrences=N due=MS interval=MS] step:...: stores a job
 * and adds it to the pool. */
static void
do_job (Script *script)
{
  fb_work_admit *record = g_new0 (fb_work_admit, 1);
  record->policy.queue
      = g_strdup (option (script, "queue") != NULL ? option (script, "queue") : "q");
  record->policy.service = "svc";
  record->account = g_strdup (option (script, "account"));
  record->policy.priority = (u_int) option_u64 (script, "priority", 0);
  record->policy.max_attempts = (u_int) option_u64 (script, "attempts", 3);
  record->policy.stretch_factor_milli = 2000;
  record->policy.target_ms = (u_int) option_u64 (script, "target", 1000);
  record->policy.advised = has_flag (script, "advised");
  record->policy.advice_decision_us = (u_int) option_u64 (script, "decision", 20000);
  record->policy.advice_per_worker_us = (u_int) option_u64 (script, "per-worker", 0);
  record->policy.advice_validity_ms = (u_int) option_u64 (script, "validity", 2000);
  record->spec.payload = "payload";
  record->spec.occurrences = (u_int) option_u64 (script, "occurrences", 0);
  record->spec.first_due_ms = START_WALL_MS + option_u64 (script, "due", 0);
  record->spec.interval_ms = option_u64 (script, "interval", 0);
  record->accepted_ms = wall_ms (script);
  record->spec.steps.steps_val = calloc (FB_WORK_MAX_STEPS, sizeof (fb_work_step));
  for (guint i = 2; script->args[i] != NULL; i++)
    {
      if (g_str_has_prefix (script->args[i], "step:"))
        parse_step (script, script->args[i] + strlen ("step:"),
                    &record->spec.steps.steps_val[record->spec.steps.steps_len++]);
    }
  char *id = pad_job_id (script->args[1]);
  g_hash_table_replace (script->admitted, id, record);
  fb_pool_add_job (script->pool, id, record, script->now_ms, wall_ms (script));
}

static void
do_cancel (Script *script)
{
  g_autofree char *id = pad_job_id (script->args[1]);
  fb_pool_cancel_job (script->pool, id, script->now_ms, wall_ms (script));
}

static void
do_state (Script *script)
{
  static const char *const names[] = { "queued", "running", "completed", "failed", "cancelled" };
  g_autofree char *id = pad_job_id (script->args[1]);
  fb_work_state state = FB_WORK_QUEUED;
  gboolean known = fb_pool_job_state (script->pool, id, &state);
  printf ("  %s is %s\n", script->args[1], known ? names[state] : "not known");
}

static void
do_pending (Script *script)
{
  printf ("  %u pending\n", fb_pool_pending_jobs_n (script->pool, script->args[1]));
}

/* majority MS: whether a majority of the workers has answered within MS. */
static void
do_majority (Script *script)
{
  uint32_t within_ms = (uint32_t) atoi (script->args[1]);
  gboolean has = fb_pool_has_majority (script->pool, within_ms, script->now_ms);
  printf ("  %s majority\n", has ? "a" : "no");
}

/* ---- reports of workers ------------------------------------------------------------------ */

static FbOrderResult
parse_result (const Script *script, const char *name)
{
  static const char *const names[]
      = { "done",       "fenced",   "superseded", "late",        "no-room",
          "bad-ticket", "not-done", "other-life", "no-listener", "unknown" };
  for (guint i = 0; name != NULL && i < G_N_ELEMENTS (names); i++)
    {
      if (g_str_equal (name, names[i]))
        return (FbOrderResult) i;
    }
  fail (script, "unknown result");
  return FB_ORDER_UNKNOWN;
}

/* running=TASK/ATTEMPT[/CHECKPOINT][@PERCENT],... */
static void
parse_running (const char *text, GArray *running)
{
  g_auto (GStrv) items = g_strsplit (text != NULL ? text : "", ",", -1);
  for (guint i = 0; items[i] != NULL; i++)
    {
      g_auto (GStrv) progress = g_strsplit (items[i], "@", 2);
      g_auto (GStrv) parts = g_strsplit (progress[0], "/", 3);
      FbReportedRun run = { .task = pad_job_id (parts[0]),
                            .attempt = (uint32_t) atoi (parts[1]),
                            .checkpoint = g_strdup (parts[2] != NULL ? parts[2] : ""),
                            .percent = progress[1] != NULL ? (uint8_t) atoi (progress[1])
                                                           : FB_PERCENT_NOT_REPORTED };
      g_array_append_val (running, run);
    }
}

/* ends=NUMBER/TASK/ATTEMPT/REASON[/CHECKPOINT],... */
static void
parse_ends (const Script *script, const char *text, GArray *finished)
{
  static const char *const reasons[]
      = { "done", "failed", "stopped", "lapsed", "broken", "alone", NULL };
  g_auto (GStrv) items = g_strsplit (text != NULL ? text : "", ",", -1);
  for (guint i = 0; items[i] != NULL; i++)
    {
      g_auto (GStrv) parts = g_strsplit (items[i], "/", 5);
      guint reason = 0;
      while (reasons[reason] != NULL && !g_str_equal (reasons[reason], parts[3]))
        reason++;
      if (reasons[reason] == NULL)
        fail (script, "unknown end reason");
      FbReportedEnd end = { .number = g_ascii_strtoull (parts[0], NULL, 10),
                            .task = pad_job_id (parts[1]),
                            .attempt = (uint32_t) atoi (parts[2]),
                            .reason = (FbEndReason) reason,
                            .checkpoint = g_strdup (parts[4] != NULL ? parts[4] : "") };
      g_array_append_val (finished, end);
    }
}

/* poll-answer WORKER [result=RESULT] [clock=MS] [incarnation=ID] [running=...] [ends=...] */
static void
do_poll_answer (Script *script)
{
  g_autoptr (GArray) running = g_array_new (FALSE, TRUE, sizeof (FbReportedRun));
  g_autoptr (GArray) finished = g_array_new (FALSE, TRUE, sizeof (FbReportedEnd));
  const char *result = option (script, "result");
  FbPollAnswer answer = { .result = result != NULL ? parse_result (script, result) : FB_ORDER_DONE,
                          .clock_ms = option_u64 (script, "clock", script->now_ms),
                          .running = running,
                          .finished = finished,
                          .incarnation = (char *) option (script, "incarnation") };
  parse_running (option (script, "running"), running);
  parse_ends (script, option (script, "ends"), finished);
  fb_pool_poll_answered (script->pool, script->args[1], &answer, script->now_ms, wall_ms (script));
}

static uint64_t
last_order (const Script *script, GHashTable *table)
{
  const uint64_t *order = g_hash_table_lookup (table, script->args[1]);
  if (order == NULL)
    fail (script, "no such order");
  return *order;
}

/* start-answer TASK[/ATTEMPT] RESULT [clock=MS] */
static void
do_start_answer (Script *script)
{
  fb_pool_start_answered (script->pool, last_order (script, script->starts),
                          parse_result (script, script->args[2]),
                          option_u64 (script, "clock", script->now_ms), script->now_ms);
}

/* stop-answer TASK RESULT [clock=MS] */
static void
do_stop_answer (Script *script)
{
  fb_pool_stop_answered (script->pool, last_order (script, script->stops),
                         parse_result (script, script->args[2]),
                         option_u64 (script, "clock", script->now_ms), script->now_ms);
}

/* Returns: (transfer full): the workers of the request number N for STEP, counted from 1. */
static GStrv
requested_workers (const Script *script, const char *step, uint64_t n)
{
  for (guint i = 0; i < script->advice_requests->len; i++)
    {
      GStrv request = script->advice_requests->pdata[i];
      if (g_str_equal (request[0], step) && --n == 0)
        return g_strdupv (request + 1);
    }
  fail (script, "no such request");
  return NULL;
}

/* advice-answer STEP requested=WORKER,... [allowed=WORKER,...] [valid=MS]
 * advice-answer STEP request=N [allow=N] [valid=MS] [failed]: answers the request number N for the
 * step; its first workers are allowed. */
static void
do_advice_answer (Script *script)
{
  g_autofree char *step = pad_job_id (script->args[1]);
  uint64_t request_n = option_u64 (script, "request", 0);
  g_auto (GStrv) requested = request_n > 0 ? requested_workers (script, step, request_n)
                                           : g_strsplit (option (script, "requested"), ",", -1);
  const char *list = option (script, "allowed");
  g_auto (GStrv) allowed = g_strsplit (list != NULL ? list : "", ",", -1);
  if (request_n > 0)
    {
      g_strfreev (g_steal_pointer (&allowed));
      allowed = g_strdupv (requested);
      for (uint64_t i = g_strv_length (allowed); i > option_u64 (script, "allow", 0); i--)
        g_clear_pointer (&allowed[i - 1], g_free);
    }
  guint n = g_strv_length (allowed);
  fb_advice_reply reply = { .validity_ms = (u_int) option_u64 (script, "valid", 2000) };
  reply.tickets.tickets_len = n;
  reply.tickets.tickets_val = calloc (n + 1, sizeof (fb_ticket));
  for (guint i = 0; i < n; i++)
    {
      reply.tickets.tickets_val[i].worker = allowed[i];
      reply.tickets.tickets_val[i].ticket = "t";
    }
  fb_pool_advice_answered (script->pool, step, (const char *const *) requested,
                           g_strv_length (requested), has_flag (script, "failed") ? NULL : &reply,
                           script->now_ms);
  free (reply.tickets.tickets_val);
}

/* ---- time and records ---------------------------------------------------------------------- */

static gint
compare_lines (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *) a, *(char *const *) b);
}

/* The pool records its jobs in any order, so the lines are sorted before they are printed. */
static void
do_flush (Script *script)
{
  g_autoptr (GPtrArray) lines = g_ptr_array_new_with_free_func (g_free);
  script->flush = fb_pool_flush (script->pool, script->now_ms, wall_ms (script));
  for (guint i = 0; script->flush != NULL && i < script->flush->len; i++)
    {
      const FbPoolRecord *record = script->flush->pdata[i];
      const char *name = record->kind == FB_POOL_RECORD_WORKERS ? "workers"
                         : record->kind == FB_POOL_RECORD_SILENT_WORKERS
                             ? "silent workers"
                             : strip_zeros (record->job);
      g_ptr_array_add (
          lines, g_strdup_printf ("  %s %s", record->progress != NULL ? "record" : "drop", name));
    }
  g_ptr_array_sort (lines, compare_lines);
  for (guint i = 0; i < lines->len; i++)
    puts (lines->pdata[i]);
}

/* flushed [refused=JOB|workers]: the store has taken the records of the last flush; with refused,
 * all but that of JOB, or those of workers, which are too large. */
static void
do_flushed (Script *script)
{
  g_autofree char *refused
      = option (script, "refused") != NULL ? pad_job_id (option (script, "refused")) : NULL;
  gboolean refuses_workers = g_strcmp0 (option (script, "refused"), "workers") == 0;
  for (guint i = 0; script->flush != NULL && i < script->flush->len; i++)
    {
      const FbPoolRecord *record = script->flush->pdata[i];
      if (record->kind == FB_POOL_RECORD_JOB && g_strcmp0 (record->job, refused) == 0)
        fb_pool_record_not_accepted (script->pool, refused, g_bytes_get_size (record->progress));
      else if (record->kind != FB_POOL_RECORD_JOB && refuses_workers)
        fb_pool_record_not_accepted (script->pool, NULL, g_bytes_get_size (record->progress));
      else if (record->kind == FB_POOL_RECORD_SILENT_WORKERS)
        {
          g_clear_pointer (&script->stored_silent, g_bytes_unref);
          script->stored_silent = g_bytes_ref (record->progress);
        }
      else if (record->kind == FB_POOL_RECORD_WORKERS)
        {
          g_clear_pointer (&script->stored_workers, g_bytes_unref);
          script->stored_workers = g_bytes_ref (record->progress);
        }
      else if (record->progress != NULL)
        {
          g_hash_table_replace (script->progress, g_strdup (record->job),
                                g_bytes_ref (record->progress));
          if (record->ended)
            g_hash_table_remove (script->admitted, record->job);
        }
      else
        {
          g_hash_table_remove (script->progress, record->job);
          g_hash_table_remove (script->admitted, record->job);
        }
    }
  g_clear_pointer (&script->flush, g_ptr_array_unref);
  fb_pool_flushed (script->pool, script->now_ms);
}

/* workers-stored-by-previous-version: an owner of the previous version replaces the record of
 * workers, and leaves that of silent workers. It knows the same workers, and none that drains. */
static void
do_workers_stored_by_previous_version (Script *script)
{
  gsize len = 0;
  fb_work_workers record;
  gconstpointer data = g_bytes_get_data (script->stored_workers, &len);
  if (!fb_codec_decode_workers (data, len, &record))
    fail (script, "the record of workers is malformed");
  g_autofree fb_work_known_worker *known
      = g_new0 (fb_work_known_worker, record.workers.workers_len + 1);
  fb_work_workers written = { .workers = { 0, known } };
  for (u_int i = 0; i < record.workers.workers_len; i++)
    {
      const fb_work_known_worker *row = &record.workers.workers_val[i];
      if (*row->id != '#') /* a row without a worker */
        known[written.workers.workers_len++]
            = (fb_work_known_worker){ .id = row->id, .address = row->address };
    }
  g_bytes_unref (script->stored_workers);
  script->stored_workers = fb_codec_encode_workers (&written);
  xdr_free ((xdrproc_t) xdr_fb_work_workers, (char *) &record);
}

/* store up: from here on each tick stores what has changed, and the pool ticks again. store down:
 * only flush and flushed do. */
static void
do_store (Script *script)
{
  script->store_is_up = has_flag (script, "up");
}

/* tick [MS]: advances the clock by MS and calls fb_pool_tick(). */
static void
do_tick (Script *script)
{
  if (script->args[1] != NULL)
    script->now_ms += g_ascii_strtoull (script->args[1], NULL, 10);
  fb_pool_tick (script->pool, TRUE, script->now_ms, wall_ms (script));
  if (!script->store_is_up)
    return;
  script->flush = fb_pool_flush (script->pool, script->now_ms, wall_ms (script));
  if (script->flush != NULL)
    do_flushed (script);
  fb_pool_tick (script->pool, TRUE, script->now_ms, wall_ms (script));
}

/* leases-for MS: the ownership was confirmed now, and leases may be extended for MS. */
static void
do_leases_for (Script *script)
{
  fb_pool_set_leases_until (script->pool,
                            script->now_ms + g_ascii_strtoull (script->args[1], NULL, 10));
}

/* jobs-complete: every job stored so far has been added. */
static void
do_jobs_complete (Script *script)
{
  fb_pool_jobs_complete (script->pool, script->now_ms);
}

/* import-start TASK/ATTEMPT on=WORKER [address=ADDRESS] [seen]: another daemon reports a start by
 * an earlier owner; with seen, the worker has confirmed the run. */
static void
do_import_start (Script *script)
{
  g_auto (GStrv) parts = g_strsplit (script->args[1], "/", 2);
  g_autofree char *task = pad_job_id (parts[0]);
  const char *worker = option (script, "on");
  const char *address = option (script, "address") != NULL ? option (script, "address") : worker;
  fb_recent_start start = { (char *) worker, (char *) address, task, (u_int) atoi (parts[1]),
                            has_flag (script, "seen") };
  const fb_recent_starts_reply reply = { { 1, &start } };
  fb_pool_import_starts (script->pool, &reply, script->now_ms);
}

/* backup-suspects: other daemons back up the suspects that are not stored yet, or drop backups. */
static void
do_backup_suspects (Script *script)
{
  g_autoptr (GPtrArray) unstored = fb_pool_take_unstored_suspects (script->pool, script->now_ms);
  for (guint i = 0; unstored != NULL && i < unstored->len; i++)
    {
      const FbPoolUnstoredSuspects *row = unstored->pdata[i];
      printf ("  %s %s\n", row->suspects != NULL ? "back up suspects of" : "drop backup of",
              strip_zeros (row->job));
      if (row->suspects != NULL)
        g_hash_table_replace (script->suspect_backups, g_strdup (row->job),
                              g_bytes_ref (row->suspects));
      else
        g_hash_table_remove (script->suspect_backups, row->job);
    }
}

/* import-suspects: the other daemons pass their backups to the new owner. */
static void
do_import_suspects (Script *script)
{
  GHashTableIter iter;
  gpointer job;
  gpointer value;
  g_hash_table_iter_init (&iter, script->suspect_backups);
  while (g_hash_table_iter_next (&iter, &job, &value))
    {
      gsize len = 0;
      gconstpointer data = g_bytes_get_data (value, &len);
      fb_work_suspects suspects;
      if (!fb_codec_decode_suspects (data, len, &suspects))
        fail (script, "the backup of the suspects is malformed");
      fb_pool_import_suspects (script->pool, job, &suspects, script->now_ms);
      xdr_free ((xdrproc_t) xdr_fb_work_suspects, (char *) &suspects);
    }
}

/* Prefix of the names of the events to print; NULL: none. */
static char *shown_event_prefix;

static GLogWriterOutput
print_event (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer unused)
{
  const char *name = NULL;
  const char *message = NULL;
  for (gsize i = 0; i < n; i++)
    {
      if (g_str_equal (fields[i].key, "FB_EVENT_NAME"))
        name = fields[i].value;
      else if (g_str_equal (fields[i].key, "MESSAGE"))
        message = fields[i].value;
    }
  if (name == NULL || message == NULL || shown_event_prefix == NULL)
    return g_log_writer_default (level, fields, n, unused);
  if (g_str_has_prefix (name, shown_event_prefix))
    printf ("  %s\n", strchr (message, ' ') + 1);
  return G_LOG_WRITER_HANDLED;
}

/* show [polls] [events=PREFIX]: prints polls, and the events whose names begin with PREFIX. */
static void
do_show (Script *script)
{
  script->show_polls = has_flag (script, "polls");
  g_free (shown_event_prefix);
  shown_event_prefix = g_strdup (option (script, "events"));
  fb_event_set_quiet (shown_event_prefix == NULL);
}

/* advice busy: no advice request is accepted. advice [slots=N]: the next N are; without N, all. */
static void
do_advice (Script *script)
{
  script->advice_requests_left
      = has_flag (script, "busy") ? 0 : option_u64 (script, "slots", G_MAXUINT64);
}

static const struct
{
  const char *name;
  void (*run) (Script *script);
} commands[] = { { "new-owner", do_new_owner },
                 { "silence-bytes", do_silence_bytes },
                 { "worker", do_worker },
                 { "workers", do_workers },
                 { "answers", do_answers },
                 { "forget", do_forget },
                 { "starts", do_starts },
                 { "unlist", do_unlist },
                 { "workers-complete", do_workers_complete },
                 { "account", do_account },
                 { "account-part", do_account_part },
                 { "job", do_job },
                 { "leases-for", do_leases_for },
                 { "jobs-complete", do_jobs_complete },
                 { "cancel", do_cancel },
                 { "state", do_state },
                 { "pending", do_pending },
                 { "majority", do_majority },
                 { "poll-answer", do_poll_answer },
                 { "start-answer", do_start_answer },
                 { "stop-answer", do_stop_answer },
                 { "advice", do_advice },
                 { "advice-answer", do_advice_answer },
                 { "workers-stored-by-previous-version", do_workers_stored_by_previous_version },
                 { "store", do_store },
                 { "tick", do_tick },
                 { "flush", do_flush },
                 { "flushed", do_flushed },
                 { "import-start", do_import_start },
                 { "backup-suspects", do_backup_suspects },
                 { "import-suspects", do_import_suspects },
                 { "show", do_show } };

static void
run_line (Script *script, const char *line)
{
  g_auto (GStrv) args = g_strsplit_set (line, " ", -1);
  script->line = line;
  script->args = args;
  for (guint i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      if (!g_str_equal (args[0], commands[i].name))
        continue;
      commands[i].run (script);
      return;
    }
  fail (script, "unknown command");
}

int
main (int argc, char **argv)
{
  g_autofree char *text = NULL;
  if (argc != 2 || !g_file_get_contents (argv[1], &text, NULL, NULL))
    {
      fprintf (stderr, "usage: test-pool SCRIPT\n");
      return 2;
    }
  fb_event_set_quiet (TRUE);
  g_log_set_writer_func (print_event, NULL, NULL);
  Script script = { .now_ms = START_MS, .advice_requests_left = G_MAXUINT64 };
  script.suspect_backups
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  script.advice_requests = g_ptr_array_new ();
  script.admitted = g_hash_table_new (g_str_hash, g_str_equal);
  script.progress = g_hash_table_new (g_str_hash, g_str_equal);
  script.workers = g_hash_table_new (g_str_hash, g_str_equal);
  script.used_workers = g_hash_table_new (g_str_hash, g_str_equal);
  script.crowd_runs = g_hash_table_new (g_str_hash, g_str_equal);
  script.starts = g_hash_table_new (g_str_hash, g_str_equal);
  script.stops = g_hash_table_new (g_str_hash, g_str_equal);
  open_pool (&script, 1);
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      if (lines[i][0] == '\0' || lines[i][0] == '#')
        continue;
      printf ("%s\n", lines[i]);
      run_line (&script, lines[i]);
    }
  fb_pool_free (script.pool);
  return 0;
}
