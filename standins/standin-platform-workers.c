/* Workers: they run what they are told to under leases. */
#include "standin-platform.h"

#include <stdlib.h>
#include <string.h>

#define LEASE_MAX_MS 6000
/* How long the entry of a life that crashed stays listed. */
#define LISTED_MS 4500
#define LIFE_HEADER "Flamingobarrow-Expect-Instance"
#define WORKER_CPU 8000
/* What the clock of a life that came back shows at its start. */
#define FIRST_CLOCK_MS 1000
/* All tasks of the tests ask for so much. */
#define TASK_CPU 2000
/* Ends that one look shows. */
#define ENDS_MOST 500

typedef struct
{
  char *task;
  guint64 attempt;
  gint64 ends_ms;
  gboolean stopping;
  gboolean crashes; /* it takes its worker down as it ends */
} Run;

/* The end of a run, until it is acknowledged. */
typedef struct
{
  guint64 n;
  char *task;
  guint64 attempt;
  const char *how;
  gboolean counts; /* as the end of its task: it is done, and the lease has not lapsed since */
} End;

typedef struct
{
  guint index;
  guint incarnation;
  char *id;
  gint64 incarnation_started_ms; /* since 1970 */
  gint64 clock_ms;               /* sp_now_ms() when its clock showed 0 */
  gboolean returns;              /* the next life has the id of this one */
  gboolean up;
  gint64 back_ms;     /* when it starts again after a crash; 0: not by itself */
  char *old_id;       /* of the life that crashed, while it is listed */
  gint64 unlisted_ms; /* when it is not any more */
  guint64 token;
  gint64 lease_ms;
  guint64 last_end;
  gint64 unlisted_until_ms; /* it writes no entry before */
  gint64 listed_ms;         /* when it wrote its last */
  GPtrArray *runs;          /* of Run */
  GPtrArray *ends;          /* of End */
  GHashTable *over;         /* task -> its highest attempt that was stopped or has ended */
  SpHeld poll;              /* that waits for an end; its message is NULL for none */
} Worker;

static guint worker_n;
static Worker workers[SP_WORKER_MAX];
static const guint *listed;
/* A start is carried out and its connection closed without an answer; a copy of it is refused. */
static gboolean losing_answers;

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
  g_free (end);
}

static void
list_worker (Worker *worker, guint sequence)
{
  g_autofree char *entry = g_strdup_printf (
      "{\"service\":\"" SP_SERVICE
      "\",\"address\":\"127.0.0.1:%u\",\"state\":\"ready\",\"sequence\":"
      "%u,\"capacity\":{\"cpu\":%d,\"mem-mb\":65536,\"gpu\":0},\"labels\":[\"a\",\"r1\"],"
      "\"born\":%" G_GINT64_FORMAT "}",
      listed[worker->index], sequence, WORKER_CPU, worker->incarnation_started_ms);
  sp_store_put ("keyed.servers/0", worker->id, worker->up ? entry : "");
  worker->listed_ms = worker->up ? sp_now_ms () : 0;
}

static gint64
clock_of (const Worker *worker)
{
  return sp_now_ms () - worker->clock_ms;
}

static void
clear_ends (Worker *worker)
{
  for (guint i = 0; i < worker->ends->len; i++)
    {
      const End *end = worker->ends->pdata[i];
      if (end->counts)
        sp_audit_forget_done (end->task);
    }
  g_ptr_array_set_size (worker->ends, 0);
}

/* An end that nobody has acknowledged before the lease lapsed does not count any more. */
static void
lapse_ends (Worker *worker)
{
  for (guint i = 0; i < worker->ends->len; i++)
    {
      End *end = worker->ends->pdata[i];
      if (end->counts)
        sp_audit_forget_done (end->task);
      end->counts = FALSE;
    }
}

static void
mark_over (Worker *worker, const char *task, guint64 attempt)
{
  guint64 before = GPOINTER_TO_SIZE (g_hash_table_lookup (worker->over, task));
  if (attempt > before)
    g_hash_table_replace (worker->over, g_strdup (task), GSIZE_TO_POINTER (attempt));
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

static guint
runs_of (const char *task)
{
  guint n = 0;
  for (guint i = 0; i < worker_n; i++)
    {
      for (guint j = 0; workers[i].up && j < workers[i].runs->len; j++)
        n += g_str_equal (((const Run *) workers[i].runs->pdata[j])->task, task);
    }
  return n;
}

/* ---- runs --------------------------------------------------------------------------- */

static void
end_run (Worker *worker, guint i)
{
  const Run *run = worker->runs->pdata[i];
  gboolean lapsed = clock_of (worker) >= worker->lease_ms;
  End *end = g_new0 (End, 1);
  end->n = ++worker->last_end;
  end->task = g_strdup (run->task);
  end->attempt = run->attempt;
  end->how = run->stopping ? "stopped" : lapsed ? "lapsed" : "done";
  end->counts = g_str_equal (end->how, "done");
  g_debug ("%s: %s attempt %" G_GUINT64_FORMAT " ends %s", worker->id, run->task, run->attempt,
           end->how);
  if (end->counts)
    sp_audit_done (end->task);
  mark_over (worker, end->task, end->attempt);
  g_ptr_array_add (worker->ends, end);
  g_ptr_array_remove_index (worker->runs, i);
}

static void
end_runs (Worker *worker)
{
  gint64 now_ms = sp_now_ms ();
  for (guint i = worker->runs->len; worker->up && i > 0; i--)
    {
      const Run *run = worker->runs->pdata[i - 1];
      if (run->crashes && !run->stopping && now_ms >= run->ends_ms)
        {
          guint crashes_n = sp_audit_crash (run->task);
          sp_worker_crash (worker->index, 2000 + (gint64) (crashes_n % 5) * 1000,
                           crashes_n % 2 == 0);
        }
      else if (now_ms >= run->ends_ms || clock_of (worker) >= worker->lease_ms)
        end_run (worker, i - 1);
    }
  if (clock_of (worker) >= worker->lease_ms)
    lapse_ends (worker);
}

/* What has ended elsewhere at this moment does not count as running. */
static void
end_other_runs (const Worker *worker)
{
  for (guint i = 0; i < worker_n; i++)
    {
      if (&workers[i] != worker)
        end_runs (&workers[i]);
    }
}

static void
begin_run (Worker *worker, JsonObject *body)
{
  const char *task = json_object_get_string_member (body, "task");
  const char *spec = json_object_get_string_member (body, "spec");
  end_other_runs (worker);
  sp_audit_start (task, runs_of (task), (worker->runs->len + 1) * TASK_CPU <= WORKER_CPU);
  Run *run = g_new0 (Run, 1);
  run->task = g_strdup (task);
  run->attempt = (guint64) json_object_get_int_member (body, "attempt");
  run->crashes = g_str_has_prefix (spec, "crash ");
  run->ends_ms = sp_now_ms () + atoi (run->crashes ? spec + strlen ("crash ") : spec);
  g_ptr_array_add (worker->runs, run);
  g_debug ("%s: %s attempt %" G_GUINT64_FORMAT " starts", worker->id, task, run->attempt);
}

/* ---- calls --------------------------------------------------------------------------- */

/* Returns: (transfer full): of an answer without more than a REASON, which may be NULL. */
static char *
short_answer (const Worker *worker, const char *reason)
{
  if (reason == NULL)
    return g_strdup_printf ("{\"clock-ms\":%" G_GINT64_FORMAT "}", clock_of (worker));
  return g_strdup_printf ("{\"clock-ms\":%" G_GINT64_FORMAT ",\"reason\":\"%s\"}",
                          clock_of (worker), reason);
}

static void
extend_lease (Worker *worker, gint64 deadline_ms)
{
  worker->lease_ms = MAX (worker->lease_ms, MIN (deadline_ms, clock_of (worker) + LEASE_MAX_MS));
}

/* Each of these returns the status and sets ANSWER (transfer full). */
static guint
take_start (Worker *worker, JsonObject *body, char **answer)
{
  const char *task = json_object_get_string_member (body, "task");
  guint64 attempt = (guint64) json_object_get_int_member (body, "attempt");
  gint64 deadline_ms = json_object_get_int_member (body, "deadline-ms");
  const char *reason = NULL;
  if (deadline_ms < clock_of (worker))
    reason = "late";
  else if (find_run (worker, task, attempt) == NULL
           && attempt <= GPOINTER_TO_SIZE (g_hash_table_lookup (worker->over, task)))
    reason = "old";
  else if (find_run (worker, task, attempt) == NULL)
    begin_run (worker, body);
  extend_lease (worker, deadline_ms);
  *answer = short_answer (worker, reason);
  return reason == NULL ? 200 : 409;
}

static guint
take_stop (Worker *worker, JsonObject *body, char **answer)
{
  const char *task = json_object_get_string_member (body, "task");
  guint64 attempt = (guint64) json_object_get_int_member (body, "attempt");
  Run *run = find_run (worker, task, attempt);
  if (run != NULL)
    {
      run->stopping = TRUE;
      run->ends_ms = sp_now_ms ();
    }
  else
    mark_over (worker, task, attempt);
  *answer = short_answer (worker, NULL);
  return 200;
}

/* Returns: (transfer full): what runs and what has ended, as JSON. */
static char *
look_text (const Worker *worker)
{
  GString *out = g_string_new (NULL);
  g_string_printf (out,
                   "{\"clock-ms\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT ",\"running\":[",
                   clock_of (worker), worker->incarnation_started_ms);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const Run *run = worker->runs->pdata[i];
      g_string_append_printf (out, "%s[\"%s\",%" G_GUINT64_FORMAT ",\"\",100]", i > 0 ? "," : "",
                              run->task, run->attempt);
    }
  g_string_append (out, "],\"finished\":[");
  for (guint i = 0; i < MIN (worker->ends->len, ENDS_MOST); i++)
    {
      const End *end = worker->ends->pdata[i];
      g_string_append_printf (out,
                              "%s[%" G_GUINT64_FORMAT ",\"%s\",%" G_GUINT64_FORMAT ",\"%s\",\"\"]",
                              i > 0 ? "," : "", end->n, end->task, end->attempt, end->how);
    }
  g_string_append (out, "]}");
  return g_string_free (out, FALSE);
}

static void
answer_held_look (Worker *worker)
{
  if (worker->poll.message == NULL)
    return;
  g_autofree char *text = look_text (worker);
  sp_reply (worker->poll.message, 200, text);
  sp_release (&worker->poll);
}

/* A later look ends the wait of the one before. */
static void
hold_look (SoupServerMessage *message, Worker *worker, guint64 wait_ms)
{
  answer_held_look (worker);
  sp_hold (&worker->poll, message, wait_ms);
}

static guint
take_look (Worker *worker, JsonObject *body, char **answer)
{
  guint64 acknowledged = (guint64) json_object_get_int_member (body, "acknowledged");
  while (worker->ends->len > 0 && ((const End *) worker->ends->pdata[0])->n <= acknowledged)
    g_ptr_array_remove_index (worker->ends, 0);
  if (json_object_has_member (body, "deadline-ms"))
    extend_lease (worker, json_object_get_int_member (body, "deadline-ms"));
  *answer = look_text (worker);
  return 200;
}

/* Returns: the status; ANSWER is set (transfer full). */
static guint
take_call (Worker *worker, SoupServerMessage *message, const char *path, JsonObject *body,
           char **answer)
{
  const char *incarnation = soup_message_headers_get_one (
      soup_server_message_get_request_headers (message), LIFE_HEADER);
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
    return take_start (worker, body, answer);
  if (g_str_equal (path, "/api/run-stop"))
    return take_stop (worker, body, answer);
  if (g_str_equal (path, "/api/hold"))
    return take_look (worker, body, answer);
  return 404;
}

static gboolean
is_there_already (const Worker *worker, const char *path, JsonObject *body)
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
  gboolean is_copy = is_there_already (worker, path, body);
  guint status = take_call (worker, message, path, body, &answer);
  gboolean is_look = g_str_equal (path, "/api/hold") && status == 200;
  gint64 wait_ms = json_object_get_int_member_with_default (body, "wait-ms", 0);
  if (losing_answers && status == 200 && is_copy)
    sp_reply (message, 503, "{}");
  else if (losing_answers && status == 200 && g_str_equal (path, "/api/run-start"))
    sp_close (message);
  else if (is_look && worker->ends->len == 0 && wait_ms > 0)
    hold_look (message, worker, (guint64) wait_ms);
  else
    sp_reply (message, status, answer != NULL ? answer : "{}");
}

void
sp_worker_carry_out (SoupServerMessage *message, guint k, const char *path, JsonObject *body)
{
  g_autofree char *answer = NULL;
  end_runs (&workers[k]);
  if (workers[k].up)
    (void) take_call (&workers[k], message, path, body, &answer);
  sp_close (message);
}

void
sp_worker_serve (SoupServerMessage *message, guint k, const char *path, JsonObject *body)
{
  Worker *worker = &workers[k];
  end_runs (worker);
  if (!worker->up && worker->back_ms != 0)
    {
      sp_close (message); /* its host has no process that listens there */
      return;
    }
  if (!worker->up || body == NULL)
    {
      sp_reply (message, 500, "{}");
      return;
    }
  switch (sp_faults_draw (k))
    {
    case SP_CALL_REFUSED:
      sp_reply (message, 503, "{}");
      break;
    case SP_CALL_LOST:
      sp_worker_carry_out (message, k, path, body);
      break;
    case SP_CALL_LATE:
      sp_faults_hold (message, k, path, body);
      break;
    case SP_CALL_SERVED:
    case SP_CALL_FATE_N:
    default:
      serve_call (message, worker, path, body);
    }
}

static void
begin_life (Worker *worker)
{
  worker->incarnation++;
  worker->incarnation_started_ms = g_get_real_time () / 1000;
  worker->clock_ms = sp_now_ms () - FIRST_CLOCK_MS;
  worker->up = TRUE;
  worker->back_ms = 0;
  worker->token = 0;
  worker->lease_ms = 0;
  worker->last_end = 0;
  /* What the life before has written stays listed until the next heartbeat. */
  if (worker->returns)
    return;
  g_free (worker->id);
  worker->id = g_strdup_printf ("i-%u-%u", worker->index, worker->incarnation);
  list_worker (worker, 0);
}

void
sp_workers_lose_answers (gboolean lose)
{
  losing_answers = lose;
}

void
sp_worker_crash (guint k, gint64 for_ms, gboolean returns)
{
  Worker *worker = &workers[k % worker_n];
  if (!worker->up)
    return;
  worker->up = FALSE;
  worker->returns = returns;
  worker->back_ms = sp_now_ms () + for_ms;
  worker->unlisted_ms = sp_now_ms () + LISTED_MS;
  if (!returns)
    {
      g_free (worker->old_id);
      worker->old_id = g_strdup (worker->id);
    }
  g_debug ("%s: crashes", worker->id);
  g_ptr_array_set_size (worker->runs, 0);
  /* An end that nobody has acknowledged is lost with its worker: the task may be started again. */
  clear_ends (worker);
  g_hash_table_remove_all (worker->over);
  if (worker->poll.message == NULL)
    return;
  sp_reply (worker->poll.message, 500, "{}");
  sp_release (&worker->poll);
}

void
sp_worker_stay_unlisted (guint k, gint64 for_ms)
{
  workers[k % worker_n].unlisted_until_ms = sp_now_ms () + for_ms;
}

void
sp_workers_heal (void)
{
  sp_faults_end ();
  for (guint i = 0; i < worker_n; i++)
    workers[i].unlisted_until_ms = 0;
}

static void
come_back (Worker *worker)
{
  if (worker->old_id != NULL && sp_now_ms () >= worker->unlisted_ms)
    {
      sp_store_put ("keyed.servers/0", worker->old_id, "");
      g_clear_pointer (&worker->old_id, g_free);
    }
  if (worker->back_ms != 0 && sp_now_ms () >= worker->back_ms)
    begin_life (worker);
}

void
sp_workers_init (guint n, const guint *listed_ports)
{
  worker_n = n;
  listed = listed_ports;
  for (guint i = 0; i < n; i++)
    {
      workers[i].index = i;
      workers[i].id = g_strdup_printf ("i-%u", i);
      workers[i].incarnation_started_ms = g_get_real_time () / 1000;
      workers[i].up = TRUE;
      workers[i].runs = g_ptr_array_new_with_free_func (run_free);
      workers[i].ends = g_ptr_array_new_with_free_func (end_free);
      workers[i].over = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
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

/* The entry of a worker that runs on and writes none for long is removed. */
static void
unlist_silent (Worker *worker)
{
  gint64 now_ms = sp_now_ms ();
  if (!worker->up || now_ms >= worker->unlisted_until_ms || worker->listed_ms == 0
      || now_ms < worker->listed_ms + LISTED_MS)
    return;
  sp_store_put ("keyed.servers/0", worker->id, "");
  worker->listed_ms = 0;
}

void
sp_workers_turn (void)
{
  for (guint i = 0; i < worker_n; i++)
    {
      Worker *worker = &workers[i];
      come_back (worker);
      end_runs (worker);
      unlist_silent (worker);
      if (worker->ends->len > 0 || sp_now_ms () >= worker->poll.until_ms)
        answer_held_look (worker);
    }
}

void
sp_workers_list (guint sequence)
{
  for (guint i = 0; i < worker_n; i++)
    {
      Worker *worker = &workers[i];
      if (!worker->up || sp_now_ms () < worker->unlisted_until_ms)
        continue;
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
          if (g_str_has_prefix (run->task, job))
            run->ends_ms = sp_now_ms ();
        }
    }
}

char *
sp_workers_running (const char *job)
{
  guint n = 0;
  for (guint i = 0; i < worker_n; i++)
    {
      for (guint j = 0; workers[i].up && j < workers[i].runs->len; j++)
        n += g_str_has_prefix (((Run *) workers[i].runs->pdata[j])->task, job);
    }
  return g_strdup_printf ("{\"running\":%u}", n);
}
