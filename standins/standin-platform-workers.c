/* Workers: they run what they are told to under leases, and judge it. */
#include "standin-platform.h"

#include <stdlib.h>
#include <string.h>

#define LEASE_MAX_MS 6000
/* How long the entry of a life that crashed stays listed. */
#define LISTED_MS 4500
/* Workers that a task may crash before STARTS_MOST more of its starts are too many. */
#define CRASHES_MOST 3
#define STARTS_MOST 3
#define LIFE_HEADER "Flamingobarrow-Expect-Instance"
#define WORKER_CPU 8000

typedef struct
{
  char *task;
  guint64 attempt;
  gint64 ends_ms;
  gboolean stopping;
  gboolean crashes; /* it takes its worker down as it ends */
} Run;

/* What became of a task that crashes its workers. */
typedef struct
{
  guint crashes;
  guint starts_after;
} Crasher;

typedef struct
{
  guint index;
  guint life;
  char *id;
  gboolean up;
  gint64 back_ms;     /* when it starts again after a crash; 0: not by itself */
  char *old_id;       /* of the life that crashed, while it is listed */
  gint64 unlisted_ms; /* when it is not any more */
  guint64 token;
  gint64 lease_ms;
  guint64 last_end;
  GPtrArray *runs;
  GPtrArray *ends; /* of char *, rows of JSON */
  GArray *end_numbers;
  SpHeld look; /* that waits for an end; its message is NULL for none */
} Worker;

static guint base_port;
static guint worker_n;
static Worker workers[SP_WORKER_MAX];
static GHashTable *done_tasks;
static GHashTable *started_jobs; /* set of ids */
static GHashTable *crashers;     /* task -> Crasher */
static guint crashes;
static guint started_too_often;
static guint started;
static guint doubled;
static guint over_capacity;
static guint64 newest_epoch;
static guint epochs; /* that workers have taken orders under */
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
list_worker (const Worker *worker, guint sequence)
{
  g_autofree char *entry = g_strdup_printf (
      "{\"service\":\"" SP_SERVICE
      "\",\"address\":\"127.0.0.1:%u\",\"state\":\"ready\",\"sequence\":"
      "%u,\"capacity\":{\"cpu\":%d,\"mem-mb\":65536,\"gpu\":0},\"labels\":[\"a\",\"r1\"]}",
      base_port + 1 + worker->index, sequence, WORKER_CPU);
  sp_store_put ("keyed.servers/0", worker->id, worker->up ? entry : "");
}

static Run *
find_run (const Worker *worker, const char *task)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      Run *run = worker->runs->pdata[i];
      if (g_str_equal (run->task, task))
        return run;
    }
  return NULL;
}

/* What must never be: a task in two places or after its end, a worker over its room. */
static void
judge (const Worker *worker, const char *task)
{
  for (guint i = 0; i < worker_n; i++)
    doubled += workers[i].up && find_run (&workers[i], task) != NULL;
  doubled += g_hash_table_contains (done_tasks, task);
  Crasher *crasher = g_hash_table_lookup (crashers, task);
  if (crasher != NULL && crasher->crashes >= CRASHES_MOST)
    started_too_often += ++crasher->starts_after == STARTS_MOST;
  /* All tasks of the test ask for 2,000 thousandths of a core. */
  over_capacity += (worker->runs->len + 1) * 2000 > WORKER_CPU;
}

static void
close_connection (SoupServerMessage *message)
{
  g_autoptr (GIOStream) stream = soup_server_message_steal_connection (message);
  g_io_stream_close (stream, NULL, NULL);
}

static void
serve_start (SoupServerMessage *message, Worker *worker, JsonObject *body)
{
  const char *task = json_object_get_string_member (body, "task");
  g_autofree char *clock = g_strdup_printf ("{\"clock-ms\":%" G_GINT64_FORMAT "}", sp_now_ms ());
  if (json_object_get_int_member (body, "deadline-ms") < sp_now_ms ())
    {
      g_autofree char *late = g_strdup_printf (
          "{\"clock-ms\":%" G_GINT64_FORMAT ",\"reason\":\"late\"}", sp_now_ms ());
      sp_reply (message, 409, late);
      return;
    }
  gboolean is_copy = find_run (worker, task) != NULL;
  if (!is_copy)
    {
      judge (worker, task);
      Run *run = g_new0 (Run, 1);
      run->task = g_strdup (task);
      run->attempt = (guint64) json_object_get_int_member (body, "attempt");
      const char *spec = json_object_get_string_member (body, "spec");
      run->crashes = g_str_has_prefix (spec, "crash ");
      run->ends_ms = sp_now_ms () + atoi (run->crashes ? spec + strlen ("crash ") : spec);
      g_hash_table_add (started_jobs, g_strndup (task, strcspn (task, ".")));
      g_ptr_array_add (worker->runs, run);
      started++;
    }
  worker->lease_ms = MAX (worker->lease_ms, json_object_get_int_member (body, "deadline-ms"));
  if (losing_answers && is_copy)
    sp_reply (message, 503, "{}");
  else if (losing_answers)
    close_connection (message);
  else
    sp_reply (message, 200, clock);
}

static void
serve_stop (SoupServerMessage *message, Worker *worker, JsonObject *body)
{
  Run *run = find_run (worker, json_object_get_string_member (body, "task"));
  if (run != NULL)
    {
      run->stopping = TRUE;
      run->ends_ms = sp_now_ms ();
    }
  g_autofree char *clock = g_strdup_printf ("{\"clock-ms\":%" G_GINT64_FORMAT "}", sp_now_ms ());
  sp_reply (message, 200, clock);
}

static void
answer_look (SoupServerMessage *message, const Worker *worker)
{
  GString *out = g_string_new (NULL);
  g_string_printf (out, "{\"clock-ms\":%" G_GINT64_FORMAT ",\"running\":[", sp_now_ms ());
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const Run *run = worker->runs->pdata[i];
      g_string_append_printf (out, "%s[\"%s\",%" G_GUINT64_FORMAT ",\"\",100]", i > 0 ? "," : "",
                              run->task, run->attempt);
    }
  g_string_append (out, "],\"finished\":[");
  for (guint i = 0; i < worker->ends->len; i++)
    g_string_append_printf (out, "%s%s", i > 0 ? "," : "", (char *) worker->ends->pdata[i]);
  g_string_append (out, "]}");
  sp_reply (message, 200, out->str);
  g_string_free (out, TRUE);
}

static void
answer_held_look (Worker *worker)
{
  if (worker->look.message == NULL)
    return;
  answer_look (worker->look.message, worker);
  sp_release (&worker->look);
}

/* A later look ends the wait of the one before. */
static void
hold_look (SoupServerMessage *message, Worker *worker, guint64 wait_ms)
{
  answer_held_look (worker);
  sp_hold (&worker->look, message, wait_ms);
}

static void
serve_look (SoupServerMessage *message, Worker *worker, JsonObject *body)
{
  guint64 acknowledged = (guint64) json_object_get_int_member (body, "acknowledged");
  while (worker->end_numbers->len > 0
         && g_array_index (worker->end_numbers, guint64, 0) <= acknowledged)
    {
      g_array_remove_index (worker->end_numbers, 0);
      g_ptr_array_remove_index (worker->ends, 0);
    }
  if (json_object_has_member (body, "deadline-ms"))
    worker->lease_ms = MAX (worker->lease_ms, MIN (json_object_get_int_member (body, "deadline-ms"),
                                                   sp_now_ms () + LEASE_MAX_MS));
  gint64 wait_ms
      = json_object_has_member (body, "wait-ms") ? json_object_get_int_member (body, "wait-ms") : 0;
  if (worker->ends->len > 0 || wait_ms == 0)
    answer_look (message, worker);
  else
    hold_look (message, worker, (guint64) wait_ms);
}

void
sp_worker_serve (SoupServerMessage *message, guint k, const char *path, JsonObject *body)
{
  Worker *worker = &workers[k];
  if (!worker->up && worker->back_ms != 0)
    {
      close_connection (message); /* its host has no process that listens there */
      return;
    }
  if (!worker->up || body == NULL)
    {
      sp_reply (message, 500, "{}");
      return;
    }
  const char *life = soup_message_headers_get_one (
      soup_server_message_get_request_headers (message), LIFE_HEADER);
  if (life != NULL && !g_str_equal (life, worker->id))
    {
      sp_reply (message, 421, "{}");
      return;
    }
  guint64 token = (guint64) json_object_get_int_member (body, "fencing-token");
  if (token < worker->token)
    {
      sp_reply (message, 409, "{\"clock-ms\":1,\"reason\":\"fence\"}");
      return;
    }
  worker->token = token;
  epochs += token > newest_epoch;
  newest_epoch = MAX (newest_epoch, token);
  if (g_str_equal (path, "/api/run-start"))
    serve_start (message, worker, body);
  else if (g_str_equal (path, "/api/run-stop"))
    serve_stop (message, worker, body);
  else if (g_str_equal (path, "/api/hold"))
    serve_look (message, worker, body);
  else
    sp_reply (message, 404, "{}");
}

static void
begin_life (Worker *worker)
{
  worker->life++;
  g_free (worker->id);
  worker->id = g_strdup_printf ("i-%u-%u", worker->index, worker->life);
  worker->up = TRUE;
  worker->back_ms = 0;
  worker->token = 0;
  worker->lease_ms = 0;
  worker->last_end = 0;
  list_worker (worker, 0);
}

/* An end that nobody has taken note of is lost with its worker: the task may be started again. */
static void
forget_ends (Worker *worker)
{
  for (guint i = 0; i < worker->ends->len; i++)
    {
      g_auto (GStrv) parts = g_strsplit (worker->ends->pdata[i], "\"", 3);
      g_hash_table_remove (done_tasks, parts[1]);
    }
  g_ptr_array_set_size (worker->ends, 0);
  g_array_set_size (worker->end_numbers, 0);
}

void
sp_workers_lose_answers (gboolean lose)
{
  losing_answers = lose;
}

void
sp_worker_crash (guint k, gint64 for_ms)
{
  Worker *worker = &workers[k % worker_n];
  if (!worker->up)
    return;
  worker->up = FALSE;
  worker->back_ms = sp_now_ms () + for_ms;
  worker->unlisted_ms = sp_now_ms () + LISTED_MS;
  g_free (worker->old_id);
  worker->old_id = g_strdup (worker->id);
  g_ptr_array_set_size (worker->runs, 0);
  forget_ends (worker);
  if (worker->look.message == NULL)
    return;
  sp_reply (worker->look.message, 500, "{}");
  sp_release (&worker->look);
}

static void
crash_by (Worker *worker, const Run *run)
{
  Crasher *crasher = g_hash_table_lookup (crashers, run->task);
  if (crasher == NULL)
    {
      crasher = g_new0 (Crasher, 1);
      g_hash_table_insert (crashers, g_strdup (run->task), crasher);
    }
  crasher->crashes++;
  crashes++;
  sp_worker_crash (worker->index, 2000 + (gint64) (crashes % 5) * 1000);
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

static void
end_run (Worker *worker, guint i)
{
  const Run *run = worker->runs->pdata[i];
  gboolean lapsed = sp_now_ms () >= worker->lease_ms;
  const char *how = run->stopping ? "stopped" : lapsed ? "lapsed" : "done";
  guint64 n = ++worker->last_end;
  g_ptr_array_add (worker->ends, g_strdup_printf ("[%" G_GUINT64_FORMAT ",\"%s\",%" G_GUINT64_FORMAT
                                                  ",\"%s\",\"\"]",
                                                  n, run->task, run->attempt, how));
  g_array_append_val (worker->end_numbers, n);
  if (g_str_equal (how, "done"))
    g_hash_table_add (done_tasks, g_strdup (run->task));
  g_ptr_array_remove_index (worker->runs, i);
}

static void
end_runs (Worker *worker)
{
  for (guint i = worker->runs->len; worker->up && i > 0; i--)
    {
      const Run *run = worker->runs->pdata[i - 1];
      if (run->crashes && !run->stopping && sp_now_ms () >= run->ends_ms)
        crash_by (worker, run);
      else if (sp_now_ms () >= run->ends_ms || sp_now_ms () >= worker->lease_ms)
        end_run (worker, i - 1);
    }
}

void
sp_workers_init (guint n, guint port)
{
  base_port = port;
  worker_n = n;
  done_tasks = g_hash_table_new (g_str_hash, g_str_equal);
  started_jobs = g_hash_table_new (g_str_hash, g_str_equal);
  crashers = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < n; i++)
    {
      workers[i].index = i;
      workers[i].id = g_strdup_printf ("i-%u", i);
      workers[i].up = TRUE;
      workers[i].runs = g_ptr_array_new_with_free_func (run_free);
      workers[i].ends = g_ptr_array_new_with_free_func (g_free);
      workers[i].end_numbers = g_array_new (FALSE, FALSE, sizeof (guint64));
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

void
sp_workers_turn (void)
{
  for (guint i = 0; i < worker_n; i++)
    {
      Worker *worker = &workers[i];
      come_back (worker);
      end_runs (worker);
      if (worker->ends->len > 0 || sp_now_ms () >= worker->look.until_ms)
        answer_held_look (worker);
    }
}

void
sp_workers_list (guint sequence)
{
  for (guint i = 0; i < worker_n; i++)
    {
      if (workers[i].up)
        list_worker (&workers[i], sequence);
    }
}

char *
sp_workers_audit (void)
{
  return g_strdup_printf ("{\"started\":%u,\"done\":%u,\"doubled\":%u,\"over-capacity\":%u,"
                          "\"epochs\":%u,\"crashes\":%u,"
                          "\"started-too-often\":%u}",
                          started, g_hash_table_size (done_tasks), doubled, over_capacity, epochs,
                          crashes, started_too_often);
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

gboolean
sp_workers_started (const char *job)
{
  return g_hash_table_contains (started_jobs, job);
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
