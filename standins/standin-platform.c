/* Stand-in for the platform in one process, which implements its published protocol: the store on
 * PORT, the workers on the ports after it.  GET /audit returns the numbers of runs on the workers
 * and of violations of the scheduler's guarantees.
 *
 * The payload of a task is its run time in ms.  The payload "crash N" crashes the worker of the
 * task after N ms.  Lists with a number for each step of the job may follow: "cpu=" in thousandths
 * of a core, "gang=" the members of a gang, "saves=" 1 where tasks save checkpoints,
 * "saved-chars=" the least length of these.
 *
 * POST /control sets faults:
 *   {"outage":true}               the store rejects all calls with 503
 *   {"expire":true}               entries of workers expire during an outage; they are back within
 *                                 2 s of its end
 *   {"reject-appends":true}       the store rejects appends with 503 and serves all other calls
 *   {"silent":true}               the store never responds
 *   {"patient":true}              members of groups do not expire
 *   {"worker":K,"up":false}       worker K responds with 500 and its entry is removed
 *   {"crash":K,"for-ms":N}        worker K crashes and restarts after N ms with another id, or with
 *                                 the same id if "returns":true
 *   {"unlisted":K,"for-ms":N}     worker K continues to run without renewing its entry
 *   {"refuse-connections":K,"for-ms":N}
 *                                 worker K continues to run without renewing its entry, does not
 *                                 listen, and its open connections are reset
 *   {"max-connections":N}         each worker serves N connections, at first 64, and resets others
 *   {"lose-answers":true}         workers execute starts without responding, and reject repeated
 *                                 starts
 *   {"faults":K,"for-ms":N,"refuse":P,"lose":P,"late":P,"late-ms":N}
 *                                 worker K rejects P percent of its calls, executes P percent
 *                                 without responding, and P percent late and without responding
 *   {"store-faults":true,...}     the same for the store; "late" for appends only
 *   {"stop-ms":N}                 stops take up to N ms, and the run is listed until its end
 *   {"max-lease-ms":N}            workers shorten leases to N ms, at first 6,000
 *   {"unlisted-stops":true}       a run that is being stopped is not listed
 *   {"slow-clocks":true}          the workers' clocks are 0 to 2 percent slow
 *   {"suspend":K,"for-ms":N}      worker K stands still; its calls wait and are then executed in
 *                                 order, after the runs whose lease has expired were ended
 *   {"exclude-later-owners":K,"for-ms":N}
 *                                 worker K does not get calls with a higher fencing token than it
 *                                 has seen
 *   {"low-priority-queue":true}   the configuration has a second queue, /low/, of lower priority
 *   {"healthy":true}              ends "unlisted", "refuse-connections", "faults", "store-faults",
 *                                 "suspend" and "exclude-later-owners"
 *   {"finish":JOB}                ends the runs of JOB
 * and tells the audit what callers know:
 *   {"cancelled":JOB}             the cancel of JOB was acknowledged
 *   {"disrupted":true}            faults are active; cancelled jobs are checked only while
 *                                 there are none
 *
 * GET /running?job=JOB&worker=K returns the number of runs of JOB, on worker K only if it is given;
 * GET /listed the number of entries in the worker list; GET /connections the largest number of open
 * connections to a worker.
 */
#include "standin-platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 5
#define HEARTBEAT_MS 1500
#define MAX_CONNECTIONS 64
#define JSON "application/json"

static guint base_port;
static guint workers_n;
static gboolean outage;
static gboolean appends_rejected;
static gboolean unresponsive;
static gboolean has_low_priority_queue;

static void
set_max_connections (guint max_connections)
{
  for (guint i = 1; i <= workers_n; i++)
    sp_listen_set_max_connections (base_port + i, max_connections);
}

/* ---- shared ------------------------------------------------------------------------ */

gint64
sp_now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

void
sp_reply (SoupServerMessage *message, guint status, const char *text)
{
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, JSON, SOUP_MEMORY_COPY, text, strlen (text));
}

void
sp_pause_request (SpPausedRequest *request, SoupServerMessage *message, guint64 wait_ms)
{
  request->message = g_object_ref (message);
  request->until_ms = sp_now_ms () + (gint64) wait_ms;
  soup_server_message_pause (message);
}

void
sp_resume_request (SpPausedRequest *request)
{
  soup_server_message_unpause (request->message);
  g_clear_object (&request->message);
}

void
sp_close_connection (SoupServerMessage *message)
{
  g_autoptr (GIOStream) stream = soup_server_message_steal_connection (message);
  g_io_stream_close (stream, NULL, NULL);
}

/* ---- requests ------------------------------------------------------------------------ */

/* Stores the next version of the configuration, which directs the queue to SERVICE. */
static void
set_queue_service (const char *service)
{
  static guint version = 3;
  static const char *const low_priority_route
      = ",{\"name\":\"low\",\"host\":\"h.example\",\"path-prefix\":\"/low/\",\"service\":"
        "\"" SP_SERVICE "\",\"max-attempts\":3,\"priority\":1,\"stretch-factor\":2,"
        "\"target-duration-ms\":20000}";
  g_autofree char *configuration = g_strdup_printf (
      "{\"version\":%u,\"routes\":[{\"name\":\"q\",\"host\":\"h.example\",\"path-prefix\":\"/q/\","
      "\"service\":\"%s\",\"max-attempts\":3,\"stretch-factor\":2,\"target-duration-ms\":1000}%s],"
      "\"services\":[{\"name\":\"" SP_SERVICE "\"},{\"name\":\"" SP_SECOND_SERVICE "\"}]}",
      version, service, has_low_priority_queue ? low_priority_route : "");
  version += 2;
  sp_store_put ("keyed.op/0", "config", configuration);
}

static void
set_outage (gboolean unavailable)
{
  if (outage && !unavailable)
    sp_workers_store_returned ();
  outage = unavailable;
}

static void
add_low_priority_queue (void)
{
  has_low_priority_queue = TRUE;
  set_queue_service (SP_SERVICE);
}

static void
set_longest_stop (gint64 longest_ms)
{
  sp_workers_set_longest_stop ((guint) longest_ms);
  sp_audit_set_stop_ms (longest_ms);
}

static void
serve_control (SoupServerMessage *message, JsonObject *body)
{
  if (json_object_has_member (body, "outage"))
    set_outage (json_object_get_boolean_member (body, "outage"));
  if (json_object_has_member (body, "expire"))
    sp_workers_set_entries_expire (json_object_get_boolean_member (body, "expire"));
  if (json_object_has_member (body, "reject-appends"))
    appends_rejected = json_object_get_boolean_member (body, "reject-appends");
  if (json_object_has_member (body, "silent"))
    unresponsive = json_object_get_boolean_member (body, "silent");
  if (json_object_has_member (body, "patient"))
    sp_group_set_expiry_disabled (json_object_get_boolean_member (body, "patient"));
  if (json_object_has_member (body, "worker"))
    sp_worker_set_up ((guint) json_object_get_int_member (body, "worker"),
                      json_object_get_boolean_member (body, "up"));
  if (json_object_has_member (body, "crash"))
    sp_worker_crash ((guint) json_object_get_int_member (body, "crash"),
                     json_object_get_int_member (body, "for-ms"),
                     json_object_get_boolean_member_with_default (body, "returns", FALSE));
  if (json_object_has_member (body, "unlisted"))
    sp_worker_set_unlisted ((guint) json_object_get_int_member (body, "unlisted"),
                            json_object_get_int_member (body, "for-ms"));
  if (json_object_has_member (body, "refuse-connections"))
    sp_worker_refuse_connections ((guint) json_object_get_int_member (body, "refuse-connections"),
                                  json_object_get_int_member (body, "for-ms"));
  if (json_object_has_member (body, "suspend"))
    sp_worker_suspend ((guint) json_object_get_int_member (body, "suspend"),
                       json_object_get_int_member (body, "for-ms"));
  if (json_object_has_member (body, "exclude-later-owners"))
    sp_worker_exclude_later_owners (
        (guint) json_object_get_int_member (body, "exclude-later-owners"),
        json_object_get_int_member (body, "for-ms"));
  if (json_object_has_member (body, "healthy"))
    sp_workers_clear_faults ();
  if (json_object_has_member (body, "faults"))
    sp_faults_set ((guint) json_object_get_int_member (body, "faults"), body);
  if (json_object_has_member (body, "store-faults"))
    sp_faults_set (SP_STORE, body);
  if (json_object_has_member (body, "lose-answers"))
    sp_workers_set_drop_answers (json_object_get_boolean_member (body, "lose-answers"));
  if (json_object_has_member (body, "queue-service"))
    set_queue_service (json_object_get_string_member (body, "queue-service"));
  if (json_object_has_member (body, "malformed-keys"))
    sp_store_set_malformed_keys (json_object_get_string_member (body, "malformed-keys"));
  if (json_object_has_member (body, "finish"))
    sp_workers_finish (json_object_get_string_member (body, "finish"));
  if (json_object_has_member (body, "stop-ms"))
    set_longest_stop (json_object_get_int_member (body, "stop-ms"));
  if (json_object_has_member (body, "max-connections"))
    set_max_connections ((guint) json_object_get_int_member (body, "max-connections"));
  if (json_object_has_member (body, "max-lease-ms"))
    sp_workers_set_max_lease (json_object_get_int_member (body, "max-lease-ms"));
  if (json_object_has_member (body, "low-priority-queue"))
    add_low_priority_queue ();
  if (json_object_has_member (body, "unlisted-stops"))
    sp_workers_set_stops_unlisted (json_object_get_boolean_member (body, "unlisted-stops"));
  if (json_object_has_member (body, "slow-clocks"))
    sp_workers_set_slow_clocks (json_object_get_boolean_member (body, "slow-clocks"));
  if (json_object_has_member (body, "cancelled"))
    sp_audit_cancelled (json_object_get_string_member (body, "cancelled"));
  if (json_object_has_member (body, "disrupted"))
    sp_audit_set_disrupted (json_object_get_boolean_member (body, "disrupted"));
  sp_reply (message, 200, "{}");
}

static void
serve_audit (SoupServerMessage *message)
{
  g_autofree char *text = sp_audit_text ();
  sp_reply (message, 200, text);
}

static void
serve_running (SoupServerMessage *message, GHashTable *query)
{
  const char *job = query != NULL ? g_hash_table_lookup (query, "job") : NULL;
  const char *k = query != NULL ? g_hash_table_lookup (query, "worker") : NULL;
  g_autofree char *text = sp_workers_running (job != NULL ? job : "", k != NULL ? atoi (k) : -1);
  sp_reply (message, 200, text);
}

static void
serve_connections (SoupServerMessage *message)
{
  guint most_n = 0;
  for (guint i = 1; i <= workers_n; i++)
    most_n = MAX (most_n, sp_listen_connections_n (base_port + i));
  g_autofree char *text = g_strdup_printf ("{\"connections\":%u}", most_n);
  sp_reply (message, 200, text);
}

static void
serve_listed (SoupServerMessage *message)
{
  g_autofree char *text = g_strdup_printf ("{\"listed\":%u}", sp_store_keys_n ("keyed.servers/0"));
  sp_reply (message, 200, text);
}

static void
serve_started (SoupServerMessage *message, GHashTable *query)
{
  const char *job = query != NULL ? g_hash_table_lookup (query, "job") : NULL;
  gboolean started = sp_audit_job_started (job != NULL ? job : "");
  sp_reply (message, 200, started ? "{\"started\":true}" : "{\"started\":false}");
}

static void
serve_store (SoupServerMessage *message, const char *path, GHashTable *query, GBytes *bytes,
             JsonObject *body)
{
  SpCallOutcome outcome = sp_faults_draw (SP_STORE);
  if (unresponsive)
    soup_server_message_pause (g_object_ref (message)); /* never answered */
  else if (outage || outcome == SP_CALL_REFUSED
           || (appends_rejected && g_str_equal (path, "/api/log-append")))
    sp_reply (message, 503, "{}");
  else if (outcome == SP_CALL_DELAYED && g_str_equal (path, "/api/log-append"))
    sp_faults_delay_append (message, path, query, bytes);
  else if (!sp_store_serve (message, path, query, bytes)
           && !sp_group_serve (message, path, query, body))
    sp_reply (message, 404, "{}");
  else if (outcome == SP_CALL_UNANSWERED && !g_str_equal (path, "/api/log-read"))
    sp_close_connection (message); /* not for reads, which may be paused and change no state */
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
  if (port > base_port)
    sp_worker_serve (message, port - base_port - 1, path, body);
  else if (g_str_equal (path, "/control") && body != NULL)
    serve_control (message, body);
  else if (g_str_equal (path, "/audit"))
    serve_audit (message);
  else if (g_str_equal (path, "/running"))
    serve_running (message, query);
  else if (g_str_equal (path, "/connections"))
    serve_connections (message);
  else if (g_str_equal (path, "/listed"))
    serve_listed (message);
  else if (g_str_equal (path, "/started"))
    serve_started (message, query);
  else
    serve_store (message, path, query, bytes, body);
}

/* ---- main loop -------------------------------------------------------------------------- */

static gboolean
on_tick (gpointer user)
{
  (void) user;
  sp_reach_tick ();
  sp_faults_tick ();
  sp_workers_tick ();
  sp_store_tick ();
  return G_SOURCE_CONTINUE;
}

static gboolean
on_heartbeat (gpointer user)
{
  (void) user;
  static guint sequence;
  sequence++;
  if (!outage)
    sp_workers_list (sequence);
  return G_SOURCE_CONTINUE;
}

static void
listen_on (guint port)
{
  g_autoptr (GError) error = NULL;
  if (sp_listen (port, &error))
    return;
  fprintf (stderr, "standin-platform: cannot listen on port %u: %s\n", port, error->message);
  exit (1);
}

/* Sets PORTS to the comma-separated ports in LIST; a worker without one is listed at the port on
 * which it listens. */
static void
read_listed_ports (const char *list, guint worker_n, guint *ports)
{
  g_auto (GStrv) parts = g_strsplit (list, ",", 0);
  guint n = g_strv_length (parts);
  for (guint i = 0; i < worker_n; i++)
    ports[i] = i < n ? (guint) atoi (parts[i]) : base_port + 1 + i;
}

/* Sets SERVICES to the services of the workers.  ASSIGNMENT: "NAME=N,...": the last workers belong
 * to these services, N to each, the others to SP_SERVICE. */
static void
read_services (const char *assignment, guint worker_n, const char **services)
{
  g_auto (GStrv) parts = g_strsplit (assignment, ",", 0);
  guint end = worker_n;
  for (guint i = 0; i < worker_n; i++)
    services[i] = SP_SERVICE;
  for (guint i = 0; parts[i] != NULL; i++)
    {
      g_auto (GStrv) pair = g_strsplit (parts[i], "=", 2);
      if (g_strv_length (pair) != 2)
        continue;
      const char *service = g_intern_string (pair[0]);
      for (int n = atoi (pair[1]); n > 0 && end > 0; n--)
        services[--end] = service;
    }
}

int
main (int argc, char **argv)
{
  if (argc < 3 || argc > 6 || atoi (argv[2]) < 1 || atoi (argv[2]) > SP_WORKER_MAX)
    {
      fprintf (stderr, "usage: standin-platform PORT WORKERS [PORT-LISTED,... [SERVICE=WORKERS,... "
                       "[without-start-times]]]\n");
      return 2;
    }
  base_port = (guint) atoi (argv[1]);
  workers_n = (guint) atoi (argv[2]);
  static guint listed_ports[SP_WORKER_MAX];
  static const char *services[SP_WORKER_MAX];
  read_listed_ports (argc > 3 ? argv[3] : "", workers_n, listed_ports);
  read_services (argc > 4 ? argv[4] : "", workers_n, services);
  sp_store_init ();
  sp_group_init ();
  sp_faults_init ();
  sp_audit_init ();
  sp_workers_init (workers_n, base_port + 1, listed_ports, services,
                   argc < 6 || !g_str_equal (argv[5], "without-start-times"));
  SoupServer *server = soup_server_new (NULL, NULL);
  soup_server_add_handler (server, NULL, serve, NULL, NULL);
  sp_listen_init (server);
  for (guint i = 0; i <= workers_n; i++)
    listen_on (base_port + i);
  set_max_connections (MAX_CONNECTIONS);
  sp_store_put (
      "keyed.op/0", "config",
      "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"h.example\",\"path-prefix\":\"/q/\","
      "\"service\":\"" SP_SERVICE
      "\",\"max-attempts\":3,\"stretch-factor\":2,\"target-duration-ms\":"
      "1000}],\"services\":[{\"name\":\"" SP_SERVICE "\"}]}");
  on_heartbeat (NULL);
  g_timeout_add (TICK_MS, on_tick, NULL);
  g_timeout_add (HEARTBEAT_MS, on_heartbeat, NULL);
  g_main_loop_run (g_main_loop_new (NULL, FALSE));
  return 0;
}
