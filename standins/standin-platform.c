/* The users' platform in one process, by its published protocol: the store on PORT, its
 * workers on the ports after it.  It also judges: GET /audit tells what really ran.
 *
 * A task's payload is its run time in ms.  POST /control {"outage":true} takes the store
 * away, {"silent":true} lets it answer nothing, {"patient":true} keeps silent members in
 * their groups, {"worker":K,"up":false} takes a worker away. */
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORKER_MAX 32
#define TURN_MS 5
#define HEARTBEAT_MS 500
#define LEASE_MAX_MS 6000
#define WORKER_CPU 8000
#define SERVICE "svc"
#define PARTITIONS 32
#define RAW "application/octet-stream"
#define JSON "application/json"

typedef struct
{
  GPtrArray *records; /* of GBytes: key length, key, value */
  guint64 epoch;
  guint64 sequence;
  char *answer; /* to the last append of the writer */
} Partition;

typedef struct
{
  char *name;
  gint64 seen_ms;
  gint64 ttl_ms;
} Member;

typedef struct
{
  char *task;
  guint64 attempt;
  gint64 ends_ms;
  gboolean stopping;
} Run;

typedef struct
{
  guint index;
  gboolean up;
  guint64 token;
  gint64 lease_ms;
  guint64 last_end;
  GPtrArray *runs;
  GPtrArray *ends; /* of char *, rows of JSON */
  GArray *end_numbers;
} Worker;

/* A request that waits for news. */
typedef struct
{
  SoupServerMessage *message;
  Worker *worker; /* NULL: a read of the store */
  char *partition;
  guint64 from;
  gint64 until_ms;
} Waiting;

static guint base_port;
static guint worker_n;
static Worker workers[WORKER_MAX];
static GHashTable *partitions;
static GPtrArray *members;
static GPtrArray *waiting;
static GHashTable *done_tasks;
static guint64 generation = 1;
static gboolean outage;
static gboolean silent;
static gboolean patient;
static guint started;
static guint doubled;
static guint over_capacity;

static gint64
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static void
reply (SoupServerMessage *message, guint status, const char *text)
{
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, JSON, SOUP_MEMORY_COPY, text, strlen (text));
}

/* ---- the store --------------------------------------------------------------- */

static Partition *
partition_of (const char *name)
{
  Partition *partition = g_hash_table_lookup (partitions, name);
  if (partition == NULL)
    {
      partition = g_new0 (Partition, 1);
      partition->records = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
      g_hash_table_insert (partitions, g_strdup (name), partition);
    }
  return partition;
}

static const char *
param (GHashTable *query, const char *name)
{
  const char *text = query != NULL ? g_hash_table_lookup (query, name) : NULL;
  return text != NULL ? text : "";
}

static guint64
number (GHashTable *query, const char *name)
{
  return g_ascii_strtoull (param (query, name), NULL, 10);
}

static char *
partition_name (GHashTable *query)
{
  return g_strconcat (param (query, "topic"), "/", param (query, "part"), NULL);
}

static void
put (const char *name, const char *key, const char *value)
{
  GByteArray *record = g_byte_array_new ();
  guint8 len = (guint8) strlen (key);
  g_byte_array_append (record, &len, 1);
  g_byte_array_append (record, (const guint8 *) key, len);
  g_byte_array_append (record, (const guint8 *) value, (guint) strlen (value));
  g_ptr_array_add (partition_of (name)->records, g_byte_array_free_to_bytes (record));
}

static void
add_records (Partition *partition, GBytes *body)
{
  gsize len = 0;
  const guint8 *data = g_bytes_get_data (body, &len);
  for (gsize at = 0; at + 4 <= len;)
    {
      guint32 size = 0;
      memcpy (&size, data + at, sizeof size);
      size = GUINT32_FROM_BE (size);
      g_ptr_array_add (partition->records, g_bytes_new (data + at + 4, size));
      at += 4 + size;
    }
}

static void
serve_append (SoupServerMessage *message, GHashTable *query, GBytes *body)
{
  g_autofree char *name = partition_name (query);
  Partition *partition = partition_of (name);
  gboolean fences = *param (query, "producer") != '\0';
  guint64 epoch = number (query, "epoch");
  guint64 sequence = number (query, "sequence");
  if (fences && epoch < partition->epoch)
    {
      reply (message, 409, "{\"reason\":\"fenced\"}");
      return;
    }
  if (fences && epoch == partition->epoch && partition->answer != NULL
      && sequence == partition->sequence)
    {
      reply (message, 200, partition->answer);
      return;
    }
  if (fences && epoch == partition->epoch && partition->answer != NULL
      && sequence != partition->sequence + 1)
    {
      reply (message, 409, "{\"reason\":\"seq\"}");
      return;
    }
  guint offset = partition->records->len;
  add_records (partition, body);
  g_autofree char *answer
      = g_strdup_printf ("{\"offset\":%u,\"end\":%u}", offset, partition->records->len);
  reply (message, 200, answer);
  if (!fences)
    return;
  partition->epoch = epoch;
  partition->sequence = sequence;
  g_free (partition->answer);
  partition->answer = g_steal_pointer (&answer);
}

static void
add_u64 (GByteArray *out, guint64 value)
{
  value = GUINT64_TO_BE (value);
  g_byte_array_append (out, (const guint8 *) &value, sizeof value);
}

static void
answer_read (SoupServerMessage *message, const Partition *partition, guint64 from)
{
  g_autoptr (GByteArray) out = g_byte_array_new ();
  add_u64 (out, partition->records->len);
  add_u64 (out, 0);
  for (guint64 i = from; i < partition->records->len; i++)
    {
      gsize len = 0;
      const guint8 *data = g_bytes_get_data (partition->records->pdata[i], &len);
      guint32 size = GUINT32_TO_BE ((guint32) len);
      g_byte_array_append (out, (const guint8 *) &size, sizeof size);
      g_byte_array_append (out, data, (guint) len);
    }
  soup_server_message_set_status (message, 200, NULL);
  soup_server_message_set_response (message, RAW, SOUP_MEMORY_COPY, (const char *) out->data,
                                    out->len);
}

static void
wait_for_news (SoupServerMessage *message, Worker *worker, const char *partition, guint64 from,
               guint64 wait_ms)
{
  Waiting *entry = g_new0 (Waiting, 1);
  entry->message = g_object_ref (message);
  entry->worker = worker;
  entry->partition = g_strdup (partition);
  entry->from = from;
  entry->until_ms = now_ms () + (gint64) wait_ms;
  g_ptr_array_add (waiting, entry);
  soup_server_message_pause (message);
}

static void
serve_read (SoupServerMessage *message, GHashTable *query)
{
  g_autofree char *name = partition_name (query);
  const Partition *partition = partition_of (name);
  guint64 from = number (query, "from");
  if (from < partition->records->len || number (query, "wait-ms") == 0)
    answer_read (message, partition, from);
  else
    wait_for_news (message, NULL, name, from, number (query, "wait-ms"));
}

static void
serve_newest (SoupServerMessage *message, GHashTable *query)
{
  g_autofree char *name = partition_name (query);
  const Partition *partition = partition_of (name);
  g_autoptr (GHashTable) newest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (guint i = 0; i < partition->records->len; i++)
    {
      gsize len = 0;
      const guint8 *data = g_bytes_get_data (partition->records->pdata[i], &len);
      char *key = g_strndup ((const char *) data + 1, data[0]);
      if (len == 1u + data[0])
        {
          g_hash_table_remove (newest, key);
          g_free (key);
          continue;
        }
      g_autofree char *value = g_base64_encode (data + 1 + data[0], len - 1 - data[0]);
      char *row
          = g_strdup_printf ("{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%u}", key, value, i);
      g_hash_table_replace (newest, key, row);
    }
  GString *out = g_string_new ("{\"items\":[");
  GHashTableIter iter;
  gpointer row;
  g_hash_table_iter_init (&iter, newest);
  for (guint n = 0; g_hash_table_iter_next (&iter, NULL, &row); n++)
    g_string_append_printf (out, "%s%s", n > 0 ? "," : "", (char *) row);
  g_string_append_printf (out, "],\"has-more\":false,\"end\":%u}", partition->records->len);
  reply (message, 200, out->str);
  g_string_free (out, TRUE);
}

/* ---- the group ---------------------------------------------------------------- */

static void
drop_member (guint i)
{
  Member *member = members->pdata[i];
  g_ptr_array_remove_index (members, i);
  g_free (member->name);
  g_free (member);
  generation++;
}

static void
drop_silent_members (void)
{
  for (guint i = members->len; i > 0; i--)
    {
      const Member *member = members->pdata[i - 1];
      if (!patient && now_ms () > member->seen_ms + member->ttl_ms)
        drop_member (i - 1);
    }
}

static const char *
owner_of (guint partition)
{
  if (members->len == 0)
    return NULL;
  return ((Member *) members->pdata[partition % members->len])->name;
}

static Member *
find_member (const char *name, guint *at)
{
  for (guint i = 0; i < members->len; i++)
    {
      if (!g_str_equal (((Member *) members->pdata[i])->name, name))
        continue;
      *at = i;
      return members->pdata[i];
    }
  return NULL;
}

static void
serve_join (SoupServerMessage *message, JsonObject *body)
{
  const char *name = json_object_get_string_member (body, "member");
  guint at = 0;
  drop_silent_members ();
  Member *member = find_member (name, &at);
  if (member == NULL)
    {
      member = g_new0 (Member, 1);
      member->name = g_strdup (name);
      g_ptr_array_add (members, member);
      generation++;
    }
  member->seen_ms = now_ms ();
  member->ttl_ms = json_object_get_int_member (body, "ttl-ms");
  GString *out = g_string_new (NULL);
  g_string_printf (out, "{\"generation\":%" G_GUINT64_FORMAT ",\"parts\":[", generation);
  gboolean first = TRUE;
  for (guint i = 0; i < PARTITIONS; i++)
    {
      if (!g_str_equal (owner_of (i), name))
        continue;
      g_string_append_printf (out, "%s[\"keyed.jobs\",%u,0]", first ? "" : ",", i);
      first = FALSE;
    }
  g_string_append (out, "]}");
  reply (message, 200, out->str);
  g_string_free (out, TRUE);
}

static void
serve_leave (SoupServerMessage *message, JsonObject *body)
{
  guint at = 0;
  if (find_member (json_object_get_string_member (body, "member"), &at) != NULL)
    drop_member (at);
  reply (message, 200, "{}");
}

static void
serve_owners (SoupServerMessage *message)
{
  drop_silent_members ();
  GString *out = g_string_new ("{\"owners\":[");
  for (guint i = 0; i < PARTITIONS && members->len > 0; i++)
    g_string_append_printf (out, "%s[\"keyed.jobs\",%u,\"%s\",0]", i > 0 ? "," : "", i,
                            owner_of (i));
  g_string_append (out, "]}");
  reply (message, 200, out->str);
  g_string_free (out, TRUE);
}

/* ---- workers --------------------------------------------------------------------- */

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
  g_autofree char *id = g_strdup_printf ("i-%u", worker->index);
  g_autofree char *entry = g_strdup_printf (
      "{\"service\":\"" SERVICE "\",\"address\":\"127.0.0.1:%u\",\"state\":\"ready\",\"sequence\":"
      "%u,\"capacity\":{\"cpu\":%d,\"mem-mb\":65536,\"gpu\":0},\"labels\":[\"a\",\"r1\"]}",
      base_port + 1 + worker->index, sequence, WORKER_CPU);
  put ("keyed.servers/0", id, worker->up ? entry : "");
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
  /* All tasks of the test ask for 2,000 thousandths of a core. */
  over_capacity += (worker->runs->len + 1) * 2000 > WORKER_CPU;
}

static void
serve_start (SoupServerMessage *message, Worker *worker, JsonObject *body)
{
  const char *task = json_object_get_string_member (body, "task");
  g_autofree char *clock = g_strdup_printf ("{\"clock-ms\":%" G_GINT64_FORMAT "}", now_ms ());
  if (find_run (worker, task) == NULL)
    {
      judge (worker, task);
      Run *run = g_new0 (Run, 1);
      run->task = g_strdup (task);
      run->attempt = (guint64) json_object_get_int_member (body, "attempt");
      run->ends_ms = now_ms () + atoi (json_object_get_string_member (body, "spec"));
      g_ptr_array_add (worker->runs, run);
      started++;
    }
  worker->lease_ms = MAX (worker->lease_ms, json_object_get_int_member (body, "deadline-ms"));
  reply (message, 200, clock);
}

static void
serve_stop (SoupServerMessage *message, Worker *worker, JsonObject *body)
{
  Run *run = find_run (worker, json_object_get_string_member (body, "task"));
  if (run != NULL)
    {
      run->stopping = TRUE;
      run->ends_ms = now_ms ();
    }
  g_autofree char *clock = g_strdup_printf ("{\"clock-ms\":%" G_GINT64_FORMAT "}", now_ms ());
  reply (message, 200, clock);
}

static void
answer_look (SoupServerMessage *message, const Worker *worker)
{
  GString *out = g_string_new (NULL);
  g_string_printf (out, "{\"clock-ms\":%" G_GINT64_FORMAT ",\"running\":[", now_ms ());
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
  reply (message, 200, out->str);
  g_string_free (out, TRUE);
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
                                                   now_ms () + LEASE_MAX_MS));
  gint64 wait_ms
      = json_object_has_member (body, "wait-ms") ? json_object_get_int_member (body, "wait-ms") : 0;
  if (worker->ends->len > 0 || wait_ms == 0)
    answer_look (message, worker);
  else
    wait_for_news (message, worker, NULL, 0, (guint64) wait_ms);
}

static void
serve_worker (SoupServerMessage *message, Worker *worker, const char *path, JsonObject *body)
{
  guint64 token = (guint64) json_object_get_int_member (body, "fencing-token");
  if (token < worker->token)
    {
      reply (message, 409, "{\"clock-ms\":1,\"reason\":\"fence\"}");
      return;
    }
  worker->token = token;
  if (g_str_equal (path, "/api/run-start"))
    serve_start (message, worker, body);
  else if (g_str_equal (path, "/api/run-stop"))
    serve_stop (message, worker, body);
  else if (g_str_equal (path, "/api/hold"))
    serve_look (message, worker, body);
  else
    reply (message, 404, "{}");
}

static void
end_run (Worker *worker, guint i)
{
  const Run *run = worker->runs->pdata[i];
  gboolean lapsed = now_ms () >= worker->lease_ms;
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
      if (now_ms () >= run->ends_ms || now_ms () >= worker->lease_ms)
        end_run (worker, i - 1);
    }
}

/* ---- requests ------------------------------------------------------------------------ */

static void
serve_control (SoupServerMessage *message, JsonObject *body)
{
  if (json_object_has_member (body, "outage"))
    outage = json_object_get_boolean_member (body, "outage");
  if (json_object_has_member (body, "silent"))
    silent = json_object_get_boolean_member (body, "silent");
  if (json_object_has_member (body, "patient"))
    patient = json_object_get_boolean_member (body, "patient");
  if (json_object_has_member (body, "worker"))
    {
      Worker *worker = &workers[json_object_get_int_member (body, "worker") % WORKER_MAX];
      worker->up = json_object_get_boolean_member (body, "up");
      g_ptr_array_set_size (worker->runs, 0);
      list_worker (worker, 0);
    }
  reply (message, 200, "{}");
}

static void
serve_audit (SoupServerMessage *message)
{
  g_autofree char *text
      = g_strdup_printf ("{\"started\":%u,\"done\":%u,\"doubled\":%u,\"over-capacity\":%u}",
                         started, g_hash_table_size (done_tasks), doubled, over_capacity);
  reply (message, 200, text);
}

static void
serve_store (SoupServerMessage *message, const char *path, GHashTable *query, GBytes *bytes,
             JsonObject *body)
{
  if (silent)
    soup_server_message_pause (g_object_ref (message)); /* never answered */
  else if (outage)
    reply (message, 503, "{}");
  else if (g_str_equal (path, "/api/log-append"))
    serve_append (message, query, bytes);
  else if (g_str_equal (path, "/api/log-read"))
    serve_read (message, query);
  else if (g_str_equal (path, "/api/log-newest"))
    serve_newest (message, query);
  else if (g_str_equal (path, "/api/log-owners"))
    serve_owners (message);
  else if (g_str_equal (path, "/api/log-join") && body != NULL)
    serve_join (message, body);
  else if (g_str_equal (path, "/api/log-leave") && body != NULL)
    serve_leave (message, body);
  else
    reply (message, 404, "{}");
}

static void
serve (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
       gpointer user)
{
  (void) server;
  (void) user;
  GSocketAddress *local = soup_server_message_get_local_address (message);
  guint port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local));
  g_autoptr (GBytes) bytes
      = soup_message_body_flatten (soup_server_message_get_request_body (message));
  gsize len = 0;
  const char *text = g_bytes_get_data (bytes, &len);
  g_autoptr (JsonParser) parser = json_parser_new ();
  JsonObject *body = NULL;
  if (len > 0 && text[0] == '{' && json_parser_load_from_data (parser, text, (gssize) len, NULL))
    body = json_node_get_object (json_parser_get_root (parser));
  Worker *worker = port > base_port ? &workers[port - base_port - 1] : NULL;
  if (worker != NULL && worker->up && body != NULL)
    serve_worker (message, worker, path, body);
  else if (worker != NULL)
    reply (message, 500, "{}");
  else if (g_str_equal (path, "/control") && body != NULL)
    serve_control (message, body);
  else if (g_str_equal (path, "/audit"))
    serve_audit (message);
  else
    serve_store (message, path, query, bytes, body);
}

/* ---- time ------------------------------------------------------------------------------- */

static gboolean
has_news (const Waiting *entry)
{
  if (now_ms () >= entry->until_ms)
    return TRUE;
  if (entry->worker != NULL)
    return entry->worker->ends->len > 0;
  return partition_of (entry->partition)->records->len > entry->from;
}

static gboolean
on_turn (gpointer user)
{
  (void) user;
  for (guint i = 0; i < worker_n; i++)
    end_runs (&workers[i]);
  for (guint i = waiting->len; i > 0; i--)
    {
      Waiting *entry = waiting->pdata[i - 1];
      if (!has_news (entry))
        continue;
      if (entry->worker != NULL)
        answer_look (entry->message, entry->worker);
      else
        answer_read (entry->message, partition_of (entry->partition), entry->from);
      soup_server_message_unpause (entry->message);
      g_object_unref (entry->message);
      g_free (entry->partition);
      g_free (entry);
      g_ptr_array_remove_index_fast (waiting, i - 1);
    }
  return G_SOURCE_CONTINUE;
}

static gboolean
on_heartbeat (gpointer user)
{
  (void) user;
  static guint sequence;
  sequence++;
  for (guint i = 0; i < worker_n && !outage; i++)
    {
      if (workers[i].up)
        list_worker (&workers[i], sequence);
    }
  return G_SOURCE_CONTINUE;
}

static void
listen_on (SoupServer *server, guint port)
{
  g_autoptr (GError) error = NULL;
  if (soup_server_listen_local (server, port, SOUP_SERVER_LISTEN_IPV4_ONLY, &error))
    return;
  fprintf (stderr, "standin-platform: port %u: %s\n", port, error->message);
  exit (1);
}

int
main (int argc, char **argv)
{
  if (argc != 3 || atoi (argv[2]) < 1 || atoi (argv[2]) > WORKER_MAX)
    {
      fprintf (stderr, "usage: standin-platform PORT WORKERS\n");
      return 2;
    }
  base_port = (guint) atoi (argv[1]);
  worker_n = (guint) atoi (argv[2]);
  partitions = g_hash_table_new (g_str_hash, g_str_equal);
  members = g_ptr_array_new ();
  waiting = g_ptr_array_new ();
  done_tasks = g_hash_table_new (g_str_hash, g_str_equal);
  SoupServer *server = soup_server_new (NULL, NULL);
  soup_server_add_handler (server, NULL, serve, NULL, NULL);
  listen_on (server, base_port);
  put ("keyed.op/0", "config",
       "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"h.example\",\"path-prefix\":\"/q/\","
       "\"service\":\"" SERVICE "\",\"max-attempts\":3,\"stretch-factor\":2,\"target-duration-ms\":"
       "1000}],\"services\":[{\"name\":\"" SERVICE "\"}]}");
  for (guint i = 0; i < worker_n; i++)
    {
      workers[i].index = i;
      workers[i].up = TRUE;
      workers[i].runs = g_ptr_array_new_with_free_func (run_free);
      workers[i].ends = g_ptr_array_new_with_free_func (g_free);
      workers[i].end_numbers = g_array_new (FALSE, FALSE, sizeof (guint64));
      listen_on (server, base_port + 1 + i);
    }
  on_heartbeat (NULL);
  g_timeout_add (TURN_MS, on_turn, NULL);
  g_timeout_add (HEARTBEAT_MS, on_heartbeat, NULL);
  g_main_loop_run (g_main_loop_new (NULL, FALSE));
  return 0;
}
