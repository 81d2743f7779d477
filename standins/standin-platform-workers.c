/* Workers: execute orders of the pool and run tasks under leases. */
#include "standin-platform.h"

#include <stdlib.h>
#include <string.h>

#define DEFAULT_MAX_LEASE_MS 6000
/* Time to live of an entry in the worker list that is not renewed, as after a crash. */
#define ENTRY_TTL_MS 4500
#define MAX_RELIST_MS 2000
#define INSTANCE_HEADER "Flamingobarrow-Expect-Instance"
#define WORKER_CPU_MILLI 8000
/* Value of a worker's clock when it restarts. */
#define INITIAL_CLOCK_MS 1000
/* A checkpoint is saved with each CHECKPOINT_MS of work and at a stop. */
#define CHECKPOINT_MS 1000
#define RESTORE_MS 100
#define CHECKPOINT_PREFIX "work-"
/* A member of a gang ends when the others are not present after GANG_WAIT_MS. */
#define GANG_WAIT_MS 3000
/* Ends of runs in one response to a poll. */
#define MAX_POLL_ENDS 500
#define MAX_CLOCK_LAG_PERMYRIAD 200
#define STOP_SEED 2

typedef struct
{
  char *task;
  guint64 attempt;
  guint64 token;      /* fencing token of the order that started it */
  gint64 started_ms;  /* by sp_now_ms() */
  gint64 ends_ms;     /* by sp_now_ms() */
  gint64 restored_ms; /* work that was done before, by its checkpoint */
  gint64 saved_ms;    /* work done at its stop; 0: it was not stopped */
  SpPayload payload;
  gboolean stopping;
  gboolean waits;         /* for the other members of its gang */
  const char *end_reason; /* NULL: it ends by itself, or with its lease */
  gboolean started_late;  /* the worker executed the order late */
  gboolean is_counted;    /* sp_audit_run() has counted it */
} Run;

/* The end of a run, retained until the pool acknowledges it. */
typedef struct
{
  guint64 n; /* number among the ends of one incarnation, from 1 on */
  char *task;
  guint64 attempt;
  const char *reason;
  char *checkpoint;
  gboolean is_counted; /* counted by the audit: the task is done, and the lease has not expired
                          since */
} End;

/* The entry of a crashed incarnation, until its time to live has passed. */
typedef struct
{
  char *id;
  gint64 unlist_ms; /* by sp_now_ms() */
} StaleEntry;

typedef struct
{
  guint index;
  guint incarnation; /* number of restarts */
  char *id;
  gint64 incarnation_started_ms; /* ms since 1970 */
  gint64 clock_set_ms;           /* sp_now_ms() when its clock was CLOCK_BASE_MS */
  gint64 clock_base_ms;
  gint64 clock_lag_permyriad; /* by how much its clock is slow */
  gboolean reuses_id;         /* the next incarnation has the same id */
  gboolean up;
  gint64
      restart_ms; /* when it restarts after a crash, by sp_now_ms(); 0: no restart is scheduled */
  GPtrArray *stale_entries; /* of StaleEntry: crashed incarnations that are still listed */
  guint64 token;            /* highest fencing token of an order */
  gint64 lease_ms;          /* when the lease expires, by the worker's clock */
  guint64 last_end;         /* number of its last End */
  gint64 unlisted_until_ms; /* it does not renew its entry before, by sp_now_ms(); 0: it does */
  gint64 relist_ms; /* when its expired entry is written again, by sp_now_ms(); 0: not scheduled */
  gint64 refuses_until_ms; /* it does not listen before, by sp_now_ms(); 0: it listens */
  gint64 last_listed_ms;   /* when it last renewed its entry, by sp_now_ms(); 0: it is not listed */
  GPtrArray *runs;         /* of Run */
  GPtrArray *ends;         /* of End */
  GHashTable *ended_attempts; /* task -> its highest attempt that has ended or was stopped */
  gboolean executes_late;     /* the call that it executes was delayed */
  gint64 suspended_ms;        /* when it began to stand still, by sp_now_ms() */
  SpPausedRequest poll; /* waits for the end of a run; its message is NULL when no poll waits */
} Worker;

static guint worker_n;
static Worker workers[SP_WORKER_MAX];
static guint first_worker_port;
static const guint *worker_listed_ports;
static const char **worker_services;
/* Starts are executed and their connections closed without a response; repeated starts are
 * rejected. */
static gboolean drop_answers;
static gboolean entries_expire; /* also while the store is unavailable */
static gboolean reports_start_times;
static guint list_sequence;
static gboolean stops_unlisted; /* runs that are being stopped are not listed */
static gint64 max_lease_ms = DEFAULT_MAX_LEASE_MS;
static gint32 longest_stop_ms; /* 0: stops take no time */
static GRand *stop_rand;       /* for the duration of stops */

static void
run_free (gpointer data)
{
  Run *run = data;
  g_free (run->task);
  g_free (run);
}

static void
end_free (gpointer data)
{
  End *end = data;
  g_free (end->task);
  g_free (end->checkpoint);
  g_free (end);
}

/* Returns: (transfer full): the member with the start time, after a comma, if it is reported. */
static char *
start_time_member (const Worker *worker)
{
  if (!reports_start_times)
    return g_strdup ("");
  return g_strdup_printf (",\"born\":%" G_GINT64_FORMAT, worker->incarnation_started_ms);
}

static void
stale_entry_free (gpointer data)
{
  StaleEntry *entry = data;
  g_free (entry->id);
  g_free (entry);
}

static void
list_worker (Worker *worker, guint sequence)
{
  g_autofree char *start_time = start_time_member (worker);
  g_autofree char *entry = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"state\":\"ready\",\"sequence\":"
      "%u,\"capacity\":{\"cpu\":%d,\"mem-mb\":65536,\"gpu\":0},\"labels\":[\"a\",\"r1\"]%s}",
      worker_services[worker->index], worker_listed_ports[worker->index], sequence,
      WORKER_CPU_MILLI, start_time);
  sp_store_put ("keyed.servers/0", worker->id, worker->up ? entry : "");
  worker->last_listed_ms = worker->up ? sp_now_ms () : 0;
}

static gint64
worker_clock_ms (const Worker *worker)
{
  gint64 passed_ms = sp_now_ms () - worker->clock_set_ms;
  return worker->clock_base_ms + passed_ms - passed_ms * worker->clock_lag_permyriad / 10000;
}

static void
clear_ends (Worker *worker)
{
  for (guint i = 0; i < worker->ends->len; i++)
    {
      const End *end = worker->ends->pdata[i];
      if (end->is_counted)
        sp_audit_forget_done (end->task);
    }
  g_ptr_array_set_size (worker->ends, 0);
}

/* Called when the lease has expired: the pool may start the tasks of ends that were not
 * acknowledged again, so these ends are no longer counted. */
static void
uncount_ends (Worker *worker)
{
  for (guint i = 0; i < worker->ends->len; i++)
    {
      End *end = worker->ends->pdata[i];
      if (end->is_counted)
        sp_audit_forget_done (end->task);
      end->is_counted = FALSE;
    }
}

static void
mark_attempt_ended (Worker *worker, const char *task, guint64 attempt)
{
  guint64 before = GPOINTER_TO_SIZE (g_hash_table_lookup (worker->ended_attempts, task));
  if (attempt > before)
    g_hash_table_replace (worker->ended_attempts, g_strdup (task), GSIZE_TO_POINTER (attempt));
}

static Run *
find_run (const Worker *worker, const char *task, guint64 attempt)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      Run *run = worker->runs->pdata[i];
      if (g_str_equal (run->task, task) && run->attempt == attempt)
        return run;
    }
  return NULL;
}

/* Returns: how long RUN takes to restore its checkpoint. */
static gint64
restore_ms (const Run *run)
{
  return run->restored_ms > 0 ? RESTORE_MS : 0;
}

/* Returns: the time since RUN began its own work. */
static gint64
worked_ms (const Run *run)
{
  return MAX (sp_now_ms () - run->started_ms - restore_ms (run), 0);
}

/* Returns: (transfer full): the newest checkpoint of RUN; "": none. */
static char *
newest_checkpoint (const Run *run)
{
  gint64 work_ms = MIN (worked_ms (run), run->payload.work_ms);
  gint64 saved_ms = run->restored_ms + work_ms / CHECKPOINT_MS * CHECKPOINT_MS;
  if (!run->payload.saves || MAX (saved_ms, run->saved_ms) == 0)
    return g_strdup ("");
  GString *checkpoint = g_string_new (NULL);
  g_string_printf (checkpoint, CHECKPOINT_PREFIX "%" G_GINT64_FORMAT,
                   run->stopping ? run->saved_ms : saved_ms);
  while (checkpoint->len < run->payload.saved_chars)
    g_string_append_c (checkpoint, '-');
  return g_string_free (checkpoint, FALSE);
}

/* Returns: (transfer full): RUN in the words of the audit. */
static char *
describe_run (const Worker *worker, const Run *run)
{
  return g_strdup_printf ("%s attempt %" G_GUINT64_FORMAT " on %s#%u, token %" G_GUINT64_FORMAT
                          ", started at %" G_GINT64_FORMAT " ms%s%s",
                          run->task, run->attempt, worker->id, worker->incarnation, run->token,
                          run->started_ms, run->started_late ? ", late" : "",
                          run->stopping ? ", being stopped" : "");
}

/* Reports each other run of the task of RUN, which starts on WORKER.  Returns: their number. */
static guint
report_other_runs (const Worker *worker, const Run *run)
{
  guint n = 0;
  g_autofree char *started = describe_run (worker, run);
  for (guint i = 0; i < worker_n; i++)
    {
      for (guint j = 0; workers[i].up && j < workers[i].runs->len; j++)
        {
          const Run *other = workers[i].runs->pdata[j];
          if (!g_str_equal (other->task, run->task))
            continue;
          g_autofree char *text = describe_run (&workers[i], other);
          sp_audit_overlap (text, started);
          n++;
        }
    }
  return n;
}

/* ---- runs --------------------------------------------------------------------------- */

static void
end_run (Worker *worker, guint i)
{
  const Run *run = worker->runs->pdata[i];
  gboolean lapsed = worker_clock_ms (worker) >= worker->lease_ms;
  End *end = g_new0 (End, 1);
  end->n = ++worker->last_end;
  end->task = g_strdup (run->task);
  end->attempt = run->attempt;
  end->reason = run->end_reason != NULL ? run->end_reason : lapsed ? "lapsed" : "done";
  end->checkpoint = newest_checkpoint (run);
  end->is_counted = g_str_equal (end->reason, "done");
  g_debug ("%s: %s attempt %" G_GUINT64_FORMAT " ends %s", worker->id, run->task, run->attempt,
           end->reason);
  sp_audit_end (end->reason);
  if (end->is_counted)
    sp_audit_done (end->task);
  mark_attempt_ended (worker, end->task, end->attempt);
  g_ptr_array_add (worker->ends, end);
  g_ptr_array_remove_index (worker->runs, i);
}

static void
end_due_runs (Worker *worker)
{
  gint64 now_ms = sp_now_ms ();
  gboolean works = !sp_reach_is_suspended (worker->index);
  for (guint i = worker->runs->len; worker->up && i > 0; i--)
    {
      const Run *run = worker->runs->pdata[i - 1];
      if (works && run->payload.crashes && !run->stopping && now_ms >= run->ends_ms)
        {
          guint crashes_n = sp_audit_crash (run->task);
          sp_worker_crash (worker->index, 2000 + (gint64) (crashes_n % 5) * 1000,
                           crashes_n % 2 == 0);
        }
      else if ((works && now_ms >= run->ends_ms) || worker_clock_ms (worker) >= worker->lease_ms)
        end_run (worker, i - 1);
    }
  if (worker_clock_ms (worker) >= worker->lease_ms)
    uncount_ends (worker);
}

/* Ends the due runs of all other workers, so that the audit does not count them as running when a
 * task starts on WORKER. */
static void
end_runs_elsewhere (const Worker *worker)
{
  for (guint i = 0; i < worker_n; i++)
    {
      if (&workers[i] != worker)
        end_due_runs (&workers[i]);
    }
}

static guint
cpu_used_milli (const Worker *worker)
{
  guint used = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    used += ((const Run *) worker->runs->pdata[i])->payload.cpu_milli;
  return used;
}

static void
begin_run (Worker *worker, JsonObject *body)
{
  const char *task = json_object_get_string_member (body, "task");
  const char *spec = json_object_get_string_member (body, "spec");
  end_runs_elsewhere (worker);
  Run *run = g_new0 (Run, 1);
  run->task = g_strdup (task);
  run->attempt = (guint64) json_object_get_int_member (body, "attempt");
  run->payload = sp_payload_parse (spec, task);
  run->token = worker->token;
  run->started_late = worker->executes_late;
  run->started_ms = sp_now_ms ();
  const char *checkpoint = json_object_get_string_member_with_default (body, "checkpoint", "");
  if (run->payload.saves && g_str_has_prefix (checkpoint, CHECKPOINT_PREFIX))
    run->restored_ms = atoi (checkpoint + strlen (CHECKPOINT_PREFIX));
  gint64 left_ms = MAX (run->payload.work_ms - run->restored_ms, 0);
  run->waits = run->payload.gang_n > 0;
  run->ends_ms = run->waits ? G_MAXINT64 : run->started_ms + left_ms + restore_ms (run);
  sp_audit_start (task, report_other_runs (worker, run),
                  cpu_used_milli (worker) + run->payload.cpu_milli <= WORKER_CPU_MILLI,
                  worker->executes_late);
  g_ptr_array_add (worker->runs, run);
  g_debug ("%s: %s attempt %" G_GUINT64_FORMAT " starts, token %" G_GUINT64_FORMAT, worker->id,
           task, run->attempt, run->token);
}

/* ---- gangs --------------------------------------------------------------------------- */

static gboolean
are_of_one_gang (const Run *first, const Run *second)
{
  gsize length = (gsize) (strrchr (first->task, '.') - first->task) + 1;
  return first->attempt == second->attempt && strncmp (first->task, second->task, length) == 0;
}

/* Returns: (transfer container): the present members of the gang of RUN, which is one of them. */
static GPtrArray *
gang_members (const Run *run)
{
  GPtrArray *members = g_ptr_array_new ();
  for (guint i = 0; i < worker_n; i++)
    {
      for (guint j = 0; workers[i].up && j < workers[i].runs->len; j++)
        {
          if (are_of_one_gang (run, workers[i].runs->pdata[j]))
            g_ptr_array_add (members, workers[i].runs->pdata[j]);
        }
    }
  return members;
}

static void
begin_gang (GPtrArray *members)
{
  for (guint i = 0; i < members->len; i++)
    {
      Run *member = members->pdata[i];
      member->waits = FALSE;
      if (!member->stopping)
        member->ends_ms = sp_now_ms () + member->payload.work_ms;
    }
}

static void
end_member (Run *run, const char *reason)
{
  run->end_reason = reason;
  run->ends_ms = sp_now_ms ();
}

/* The work of a gang begins when all members are present, and ends when one of them ends. */
static void
update_gang (Run *run)
{
  if (run->end_reason != NULL || sp_now_ms () >= run->ends_ms)
    return;
  g_autoptr (GPtrArray) members = gang_members (run);
  if (run->waits && members->len >= run->payload.gang_n)
    begin_gang (members);
  else if (run->waits && sp_now_ms () >= run->started_ms + GANG_WAIT_MS)
    end_member (run, "alone");
  else if (!run->waits && members->len < run->payload.gang_n)
    end_member (run, "broken");
}

static void
update_gangs (void)
{
  for (guint i = 0; i < worker_n; i++)
    {
      for (guint j = 0; workers[i].up && j < workers[i].runs->len; j++)
        {
          Run *run = workers[i].runs->pdata[j];
          if (run->payload.gang_n > 0)
            update_gang (run);
        }
    }
}

/* ---- calls --------------------------------------------------------------------------- */

/* Returns: (transfer full): a response with the clock and, unless it is NULL, REASON. */
static char *
short_answer (const Worker *worker, const char *reason)
{
  if (reason == NULL)
    return g_strdup_printf ("{\"clock-ms\":%" G_GINT64_FORMAT "}", worker_clock_ms (worker));
  return g_strdup_printf ("{\"clock-ms\":%" G_GINT64_FORMAT ",\"reason\":\"%s\"}",
                          worker_clock_ms (worker), reason);
}

static void
extend_lease (Worker *worker, gint64 deadline_ms)
{
  worker->lease_ms
      = MAX (worker->lease_ms, MIN (deadline_ms, worker_clock_ms (worker) + max_lease_ms));
}

/* Returns: TRUE when WORKER has a run of TASK that is being stopped, or one as high as ATTEMPT. */
static gboolean
has_run_in_place (const Worker *worker, const char *task, guint64 attempt)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const Run *run = worker->runs->pdata[i];
      if (g_str_equal (run->task, task) && (run->stopping || run->attempt >= attempt))
        return TRUE;
    }
  return FALSE;
}

/* handle_start(), handle_stop() and handle_poll() return the HTTP status and set ANSWER (transfer
 * full). */
static guint
handle_start (Worker *worker, JsonObject *body, char **answer)
{
  const char *task = json_object_get_string_member (body, "task");
  guint64 attempt = (guint64) json_object_get_int_member (body, "attempt");
  gint64 deadline_ms = json_object_get_int_member (body, "deadline-ms");
  const char *reason = NULL;
  const Run *run = find_run (worker, task, attempt);
  gboolean is_there = run != NULL && !run->stopping;
  if (deadline_ms < worker_clock_ms (worker))
    reason = "late";
  else if (!is_there
           && (has_run_in_place (worker, task, attempt)
               || attempt <= GPOINTER_TO_SIZE (g_hash_table_lookup (worker->ended_attempts, task))))
    reason = "old";
  else if (!is_there)
    begin_run (worker, body);
  extend_lease (worker, deadline_ms);
  *answer = short_answer (worker, reason);
  return reason == NULL ? 200 : 409;
}

static guint
handle_stop (Worker *worker, JsonObject *body, char **answer)
{
  const char *task = json_object_get_string_member (body, "task");
  guint64 attempt = (guint64) json_object_get_int_member (body, "attempt");
  Run *run = find_run (worker, task, attempt);
  if (run != NULL && !run->stopping)
    {
      gint64 takes_ms
          = longest_stop_ms > 0 ? g_rand_int_range (stop_rand, 0, longest_stop_ms + 1) : 0;
      run->saved_ms = run->restored_ms + worked_ms (run);
      run->stopping = TRUE;
      run->end_reason = "stopped";
      run->ends_ms = sp_now_ms () + takes_ms;
      g_debug ("%s: %s attempt %" G_GUINT64_FORMAT " is being stopped, for %" G_GINT64_FORMAT " ms",
               worker->id, task, attempt, takes_ms);
    }
  else if (run == NULL)
    mark_attempt_ended (worker, task, attempt);
  *answer = short_answer (worker, NULL);
  return 200;
}

/* Returns: how much of RUN is done, from 0 to 100. */
static guint
percent_done (const Run *run)
{
  if (run->waits)
    return 0;
  gint64 passed_ms = sp_now_ms () - run->started_ms;
  gint64 total_ms = MAX (run->ends_ms - run->started_ms, 1);
  return (guint) CLAMP (passed_ms * 100 / total_ms, 0, 100);
}

/* Returns: (transfer full): the runs and the unacknowledged ends, as JSON. */
static char *
format_poll (const Worker *worker)
{
  g_autofree char *start_time = start_time_member (worker);
  GString *out = g_string_new (NULL);
  g_string_printf (out, "{\"clock-ms\":%" G_GINT64_FORMAT "%s,\"running\":[",
                   worker_clock_ms (worker), start_time);
  guint n = 0;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const Run *run = worker->runs->pdata[i];
      if (run->stopping && stops_unlisted)
        continue;
      g_autofree char *checkpoint = newest_checkpoint (run);
      g_string_append_printf (out, "%s[\"%s\",%" G_GUINT64_FORMAT ",\"%s\",%u]", n++ > 0 ? "," : "",
                              run->task, run->attempt, checkpoint, percent_done (run));
    }
  g_string_append (out, "],\"finished\":[");
  for (guint i = 0; i < MIN (worker->ends->len, MAX_POLL_ENDS); i++)
    {
      const End *end = worker->ends->pdata[i];
      g_string_append_printf (
          out, "%s[%" G_GUINT64_FORMAT ",\"%s\",%" G_GUINT64_FORMAT ",\"%s\",\"%s\"]",
          i > 0 ? "," : "", end->n, end->task, end->attempt, end->reason, end->checkpoint);
    }
  g_string_append (out, "]}");
  return g_string_free (out, FALSE);
}

static void
answer_waiting_poll (Worker *worker)
{
  if (worker->poll.message == NULL)
    return;
  g_autofree char *text = format_poll (worker);
  sp_reply (worker->poll.message, 200, text);
  sp_resume_request (&worker->poll);
}

/* Only one poll waits at a time: a poll that is already waiting is answered now. */
static void
hold_poll (SoupServerMessage *message, Worker *worker, guint64 wait_ms)
{
  answer_waiting_poll (worker);
  sp_pause_request (&worker->poll, message, wait_ms);
}

static guint
handle_poll (Worker *worker, JsonObject *body, char **answer)
{
  guint64 acknowledged = (guint64) json_object_get_int_member (body, "acknowledged");
  while (worker->ends->len > 0 && ((const End *) worker->ends->pdata[0])->n <= acknowledged)
    g_ptr_array_remove_index (worker->ends, 0);
  if (json_object_has_member (body, "deadline-ms"))
    extend_lease (worker, json_object_get_int_member (body, "deadline-ms"));
  *answer = format_poll (worker);
  return 200;
}

/* Returns: the HTTP status; sets ANSWER (transfer full), which is NULL for an empty response. */
static guint
handle_call (Worker *worker, SoupServerMessage *message, const char *path, JsonObject *body,
             char **answer)
{
  const char *incarnation = soup_message_headers_get_one (
      soup_server_message_get_request_headers (message), INSTANCE_HEADER);
  guint64 token = (guint64) json_object_get_int_member (body, "fencing-token");
  *answer = NULL;
  if (incarnation != NULL && !g_str_equal (incarnation, worker->id))
    return 421;
  if (token < worker->token)
    {
      *answer = short_answer (worker, "fence");
      return 409;
    }
  worker->token = token;
  sp_audit_order (token);
  if (g_str_equal (path, "/api/run-start"))
    return handle_start (worker, body, answer);
  if (g_str_equal (path, "/api/run-stop"))
    return handle_stop (worker, body, answer);
  if (g_str_equal (path, "/api/hold"))
    return handle_poll (worker, body, answer);
  return 404;
}

static gboolean
is_duplicate_start (const Worker *worker, const char *path, JsonObject *body)
{
  return g_str_equal (path, "/api/run-start")
         && find_run (worker, json_object_get_string_member (body, "task"),
                      (guint64) json_object_get_int_member (body, "attempt"))
                != NULL;
}

static void
serve_call (SoupServerMessage *message, Worker *worker, const char *path, JsonObject *body)
{
  g_autofree char *answer = NULL;
  gboolean is_duplicate = is_duplicate_start (worker, path, body);
  guint status = handle_call (worker, message, path, body, &answer);
  gboolean is_poll = g_str_equal (path, "/api/hold") && status == 200;
  gint64 wait_ms = json_object_get_int_member_with_default (body, "wait-ms", 0);
  if (drop_answers && status == 200 && is_duplicate)
    sp_reply (message, 503, "{}");
  else if (drop_answers && status == 200 && g_str_equal (path, "/api/run-start"))
    sp_close_connection (message);
  else if (is_poll && worker->ends->len == 0 && wait_ms > 0)
    hold_poll (message, worker, (guint64) wait_ms);
  else
    sp_reply (message, status, answer != NULL ? answer : "{}");
}

void
sp_worker_execute (SoupServerMessage *message, guint k, const char *path, JsonObject *body,
                   gboolean late)
{
  g_autofree char *answer = NULL;
  end_due_runs (&workers[k]);
  workers[k].executes_late = late;
  if (workers[k].up)
    (void) handle_call (&workers[k], message, path, body, &answer);
  workers[k].executes_late = FALSE;
  sp_close_connection (message);
}

void
sp_worker_serve (SoupServerMessage *message, guint k, const char *path, JsonObject *body)
{
  Worker *worker = &workers[k];
  end_due_runs (worker);
  if (!worker->up && worker->restart_ms != 0)
    {
      sp_close_connection (message); /* as if no process listened at its address */
      return;
    }
  if (!worker->up || body == NULL)
    {
      sp_reply (message, 500, "{}");
      return;
    }
  if (sp_reach_hold (message, k, path, body))
    return;
  switch (sp_faults_draw (k))
    {
    case SP_CALL_REFUSED:
      sp_reply (message, 503, "{}");
      break;
    case SP_CALL_UNANSWERED:
      sp_worker_execute (message, k, path, body, FALSE);
      break;
    case SP_CALL_DELAYED:
      sp_faults_delay_call (message, k, path, body);
      break;
    case SP_CALL_SERVED:
    case SP_CALL_OUTCOME_N:
    default:
      serve_call (message, worker, path, body);
    }
}

void
sp_worker_suspend (guint k, gint64 for_ms)
{
  Worker *worker = &workers[k % worker_n];
  end_due_runs (worker);
  if (!worker->up || sp_reach_is_suspended (worker->index))
    return;
  worker->suspended_ms = sp_now_ms ();
  sp_worker_set_unlisted (worker->index, for_ms);
  sp_reach_suspend (worker->index, for_ms);
}

void
sp_worker_go_on (guint k)
{
  Worker *worker = &workers[k];
  gint64 stood_ms = sp_now_ms () - worker->suspended_ms;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      Run *run = worker->runs->pdata[i];
      if (run->stopping || run->payload.gang_n > 0)
        continue;
      run->started_ms += stood_ms;
      run->ends_ms += stood_ms;
    }
  end_due_runs (worker);
}

void
sp_worker_execute_waiting (SoupServerMessage *message, guint k, const char *path, JsonObject *body)
{
  Worker *worker = &workers[k];
  g_autofree char *answer = NULL;
  end_due_runs (worker);
  worker->executes_late = TRUE;
  guint status = worker->up ? handle_call (worker, message, path, body, &answer) : 500;
  worker->executes_late = FALSE;
  sp_reply (message, status, answer != NULL ? answer : "{}");
  soup_server_message_unpause (message);
}

void
sp_worker_exclude_later_owners (guint k, gint64 for_ms)
{
  Worker *worker = &workers[k % worker_n];
  sp_reach_exclude_later (worker->index, worker->token, for_ms);
}

static void
begin_incarnation (Worker *worker)
{
  worker->incarnation++;
  worker->incarnation_started_ms = g_get_real_time () / 1000;
  worker->clock_set_ms = sp_now_ms ();
  worker->clock_base_ms = INITIAL_CLOCK_MS;
  worker->up = TRUE;
  worker->restart_ms = 0;
  worker->token = 0;
  worker->lease_ms = 0;
  worker->last_end = 0;
  /* Under the same id, the entry of the previous incarnation stays until the next heartbeat. */
  if (worker->reuses_id)
    return;
  g_free (worker->id);
  worker->id = g_strdup_printf ("i-%u-%u", worker->index, worker->incarnation);
  if (sp_now_ms () >= worker->unlisted_until_ms)
    list_worker (worker, 0);
}

void
sp_workers_set_drop_answers (gboolean drop)
{
  drop_answers = drop;
}

void
sp_workers_set_max_lease (gint64 max_ms)
{
  max_lease_ms = max_ms;
}

void
sp_workers_set_longest_stop (guint longest_ms)
{
  longest_stop_ms = (gint32) longest_ms;
}

void
sp_workers_set_stops_unlisted (gboolean unlisted)
{
  stops_unlisted = unlisted;
}

void
sp_workers_set_slow_clocks (gboolean slow)
{
  for (guint i = 0; i < worker_n; i++)
    {
      Worker *worker = &workers[i];
      worker->clock_base_ms = worker_clock_ms (worker);
      worker->clock_set_ms = sp_now_ms ();
      worker->clock_lag_permyriad
          = slow ? (gint64) i * MAX_CLOCK_LAG_PERMYRIAD / (gint64) MAX (worker_n - 1, 1) : 0;
    }
}

void
sp_worker_crash (guint k, gint64 for_ms, gboolean reuses_id)
{
  Worker *worker = &workers[k % worker_n];
  if (!worker->up)
    return;
  worker->up = FALSE;
  /* Without start times, incarnations differ by their ids. */
  reuses_id = reuses_id && reports_start_times;
  worker->reuses_id = reuses_id;
  worker->restart_ms = sp_now_ms () + for_ms;
  if (!reuses_id)
    {
      StaleEntry *entry = g_new (StaleEntry, 1);
      *entry = (StaleEntry){ g_strdup (worker->id), sp_now_ms () + ENTRY_TTL_MS };
      g_ptr_array_add (worker->stale_entries, entry);
    }
  g_debug ("%s: crashes", worker->id);
  sp_reach_drop_calls (worker->index);
  g_ptr_array_set_size (worker->runs, 0);
  /* Unacknowledged ends are lost with the worker: their tasks may be started again. */
  clear_ends (worker);
  g_hash_table_remove_all (worker->ended_attempts);
  if (worker->poll.message == NULL)
    return;
  sp_reply (worker->poll.message, 500, "{}");
  sp_resume_request (&worker->poll);
}

void
sp_worker_set_unlisted (guint k, gint64 for_ms)
{
  workers[k % worker_n].unlisted_until_ms = sp_now_ms () + for_ms;
}

void
sp_workers_set_entries_expire (gboolean expire)
{
  entries_expire = expire;
}

void
sp_workers_store_returned (void)
{
  for (guint i = 0; i < worker_n; i++)
    {
      if (workers[i].up && workers[i].last_listed_ms == 0)
        workers[i].relist_ms = sp_now_ms () + (i + 1) * MAX_RELIST_MS / worker_n;
    }
}

void
sp_worker_refuse_connections (guint k, gint64 for_ms)
{
  Worker *worker = &workers[k % worker_n];
  sp_worker_set_unlisted (k, for_ms);
  worker->refuses_until_ms = worker->unlisted_until_ms;
  sp_listen_stop (first_worker_port + worker->index);
}

static void
listen_if_due (Worker *worker)
{
  g_autoptr (GError) error = NULL;
  if (worker->refuses_until_ms == 0 || sp_now_ms () < worker->refuses_until_ms)
    return;
  if (sp_listen (first_worker_port + worker->index, &error))
    worker->refuses_until_ms = 0;
  else
    g_warning ("%s: %s", worker->id, error->message);
}

void
sp_workers_clear_faults (void)
{
  sp_faults_clear ();
  sp_reach_clear ();
  for (guint i = 0; i < worker_n; i++)
    {
      workers[i].unlisted_until_ms = 0;
      workers[i].refuses_until_ms = MIN (workers[i].refuses_until_ms, sp_now_ms ());
      listen_if_due (&workers[i]);
    }
}

static void
restart_if_due (Worker *worker)
{
  for (guint i = worker->stale_entries->len; i > 0; i--)
    {
      const StaleEntry *entry = worker->stale_entries->pdata[i - 1];
      if (sp_now_ms () < entry->unlist_ms)
        continue;
      sp_store_put ("keyed.servers/0", entry->id, "");
      g_ptr_array_remove_index (worker->stale_entries, i - 1);
    }
  if (worker->restart_ms != 0 && sp_now_ms () >= worker->restart_ms)
    begin_incarnation (worker);
}

void
sp_workers_init (guint n, guint first_port, const guint *listed_ports, const char **services,
                 gboolean start_times)
{
  reports_start_times = start_times;
  worker_n = n;
  first_worker_port = first_port;
  worker_listed_ports = listed_ports;
  worker_services = services;
  stop_rand = g_rand_new_with_seed (STOP_SEED);
  for (guint i = 0; i < n; i++)
    {
      workers[i].index = i;
      workers[i].id = g_strdup_printf ("i-%u", i);
      workers[i].incarnation_started_ms = g_get_real_time () / 1000;
      workers[i].up = TRUE;
      workers[i].runs = g_ptr_array_new_with_free_func (run_free);
      workers[i].ends = g_ptr_array_new_with_free_func (end_free);
      workers[i].stale_entries = g_ptr_array_new_with_free_func (stale_entry_free);
      workers[i].ended_attempts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
}

void
sp_worker_set_up (guint k, gboolean up)
{
  Worker *worker = &workers[k % SP_WORKER_MAX];
  worker->up = up;
  g_ptr_array_set_size (worker->runs, 0);
  list_worker (worker, 0);
}

/* Removes the entry of a worker that is up but has not renewed it within its time to live. */
static void
unlist_expired (Worker *worker)
{
  gint64 now_ms = sp_now_ms ();
  if (!worker->up || (now_ms >= worker->unlisted_until_ms && !entries_expire)
      || worker->last_listed_ms == 0 || now_ms < worker->last_listed_ms + ENTRY_TTL_MS)
    return;
  sp_store_put ("keyed.servers/0", worker->id, "");
  worker->last_listed_ms = 0;
}

static gboolean
renews_entry (const Worker *worker)
{
  gint64 now_ms = sp_now_ms ();
  return worker->up && now_ms >= worker->unlisted_until_ms && now_ms >= worker->relist_ms;
}

static void
relist_if_due (Worker *worker)
{
  if (worker->relist_ms == 0 || !renews_entry (worker))
    return;
  worker->relist_ms = 0;
  list_worker (worker, list_sequence);
}

static void
audit_runs (Worker *worker)
{
  for (guint i = 0; worker->up && i < worker->runs->len; i++)
    {
      Run *run = worker->runs->pdata[i];
      if (!run->is_counted)
        run->is_counted = sp_audit_run (run->task, run->started_late ? run->started_ms : 0);
    }
}

void
sp_workers_tick (void)
{
  update_gangs ();
  for (guint i = 0; i < worker_n; i++)
    {
      Worker *worker = &workers[i];
      restart_if_due (worker);
      listen_if_due (worker);
      end_due_runs (worker);
      audit_runs (worker);
      unlist_expired (worker);
      relist_if_due (worker);
      if (sp_reach_is_suspended (i))
        continue;
      if (worker->ends->len > 0 || sp_now_ms () >= worker->poll.until_ms)
        answer_waiting_poll (worker);
    }
}

void
sp_workers_list (guint sequence)
{
  list_sequence = sequence;
  for (guint i = 0; i < worker_n; i++)
    {
      Worker *worker = &workers[i];
      if (renews_entry (worker))
        list_worker (worker, sequence);
    }
}

void
sp_workers_finish (const char *job)
{
  for (guint i = 0; i < worker_n; i++)
    {
      for (guint j = 0; j < workers[i].runs->len; j++)
        {
          Run *run = workers[i].runs->pdata[j];
          if (g_str_has_prefix (run->task, job) && !run->stopping)
            run->ends_ms = sp_now_ms ();
        }
    }
}

char *
sp_workers_running (const char *job, int only)
{
  guint n = 0;
  for (guint i = 0; i < worker_n; i++)
    {
      if (only >= 0 && i != (guint) only)
        continue;
      for (guint j = 0; workers[i].up && j < workers[i].runs->len; j++)
        n += g_str_has_prefix (((Run *) workers[i].runs->pdata[j])->task, job);
    }
  return g_strdup_printf ("{\"running\":%u}", n);
}
