/* Stand-in for the workers of a cell: one server per host of the cell file, each on its own port,
 * in one process, so that one audit record covers them all.
 *
 * The servers provide the JSON interface to the fake workers of the unit tests (world-worker.h).
 * The audit record comes from the oracle, which checks the actual runs, not what daemons report;
 * GET /record on the record port returns it.  POST /control on the port of a host sets faults:
 * those of standin.h, "fail_all" (every run fails), "pause" (the host is suspended) and "restart".
 */
#include "standin.h"

#include "../tests/world-worker.h"
#include "fb-settings.h"
#include "fb-status.h"
#include "internal/codec.h"
#include "internal/sync-copy.h"
#include "src/daemon/worker-json.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define TICK_MS 5

typedef struct
{
  SoupServerMessage *message;
  guint64 version;  /* version of the host that the caller has */
  guint64 until_ms; /* end of the timeout, by standin_now_ms() */
  gulong finished;
} WaitingWatch;

typedef struct
{
  guint id;
  Worker *worker;
  Standin *standin;
  fb_res capacity;
  guint64 version; /* of the worker's state; increased by each end of a run */
  gboolean paused;
  GPtrArray *waiting_watches; /* of WaitingWatch */
} Host;

static GPtrArray *hosts;
static Oracle *oracle;
static Standin *record;
static guint64 started_ms;
static double cpu_busy_milli_ms;
static double accel_busy_ms;

/* ---- requests --------------------------------------------------------- */

static guint64
get_u64 (JsonObject *object, const char *name)
{
  return (guint64) json_object_get_int_member_with_default (object, name, 0);
}

static JsonArray *
get_list (JsonObject *object, const char *name)
{
  return json_object_has_member (object, name) ? json_object_get_array_member (object, name) : NULL;
}

static fb_spec *
parse_start (JsonObject *item)
{
  gsize len = 0;
  g_autofree guchar *tag
      = g_base64_decode (json_object_get_string_member_with_default (item, "tag", ""), &len);
  fb_spec *spec = g_new0 (fb_spec, 1);
  XDR xdr;
  xdrmem_create (&xdr, (char *) tag, (u_int) len, XDR_DECODE);
  gboolean ok = len > 0 && xdr_fb_spec (&xdr, spec);
  xdr_destroy (&xdr);
  fb_spec_clear (spec);
  if (!ok)
    g_clear_pointer (&spec, g_free);
  return spec;
}

static void
parse_runs (JsonArray *list, GArray *runs)
{
  for (guint i = 0; list != NULL && i < json_array_get_length (list); i++)
    {
      fb_run run;
      if (fb_worker_json_parse_run (json_array_get_string_element (list, i), &run))
        g_array_append_val (runs, run);
    }
}

static void
parse_stops (JsonArray *list, GArray *stops)
{
  for (guint i = 0; list != NULL && i < json_array_get_length (list); i++)
    {
      JsonObject *item = json_array_get_object_element (list, i);
      FbSyncStop stop = { 0 };
      if (fb_worker_json_parse_run (json_object_get_string_member_with_default (item, "run", ""),
                                    &stop.run))
        g_array_append_val (stops, stop);
    }
}

static FbSyncRequest *
parse_request (JsonObject *body)
{
  FbSyncRequest *request = g_new0 (FbSyncRequest, 1);
  request->epoch = get_u64 (body, "epoch");
  request->seq = get_u64 (body, "seq");
  request->incarnation = get_u64 (body, "incarnation");
  request->known_version = get_u64 (body, "known_version");
  request->lease_until_ms = get_u64 (body, "lease_until_ms");
  request->starts = g_ptr_array_new ();
  request->start_by_ms = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  request->stops = g_array_new (FALSE, FALSE, sizeof (FbSyncStop));
  request->throttles = g_array_new (FALSE, FALSE, sizeof (fb_run));
  request->acks = g_array_new (FALSE, FALSE, sizeof (fb_run));
  JsonArray *starts = get_list (body, "starts");
  for (guint i = 0; starts != NULL && i < json_array_get_length (starts); i++)
    {
      JsonObject *item = json_array_get_object_element (starts, i);
      fb_spec *spec = parse_start (item);
      uint64_t start_by_ms = get_u64 (item, "start_by_ms");
      if (spec == NULL)
        continue;
      g_ptr_array_add (request->starts, spec);
      g_array_append_val (request->start_by_ms, start_by_ms);
    }
  parse_stops (get_list (body, "stops"), request->stops);
  parse_runs (get_list (body, "acks"), request->acks);
  return request;
}

/* ---- replies ---------------------------------------------------------- */

static void
add_run (JsonBuilder *out, const FbSyncRun *run)
{
  static const char *const states[] = { "live", "ended", "refused" };
  char buffer[512];
  XDR xdr;
  xdrmem_create (&xdr, buffer, sizeof buffer, XDR_ENCODE);
  g_assert_true (xdr_fb_spec (&xdr, (fb_spec *) &run->spec));
  g_autofree char *tag = g_base64_encode ((const guchar *) buffer, xdr_getpos (&xdr));
  xdr_destroy (&xdr);
  g_autofree char *answer = g_base64_encode ((const guchar *) run->answer, run->answer_len);
  json_builder_begin_object (out);
  standin_add_text (out, "tag", tag);
  standin_add_text (out, "state", states[run->state]);
  if (run->state == FB_SYNC_ENDED)
    standin_add_text (out, "end", fb_run_status_name (run->run_status));
  standin_add_int (out, "cpu_milli", (gint64) run->usage.amount[FB_RES_CPU_MILLI]);
  standin_add_int (out, "mem_bytes", (gint64) run->usage.amount[FB_RES_MEM_BYTES]);
  standin_add_text (out, "answer", answer);
  json_builder_end_object (out);
}

static JsonBuilder *
reply_json (const FbSyncReply *reply)
{
  JsonBuilder *out = standin_object ();
  standin_add_int (out, "epoch", (gint64) reply->epoch);
  standin_add_int (out, "seq", (gint64) reply->seq);
  standin_add_int (out, "clock_ms", (gint64) reply->clock_ms);
  standin_add_int (out, "incarnation", (gint64) reply->incarnation);
  standin_add_int (out, "version", (gint64) reply->version);
  json_builder_set_member_name (out, "unchanged");
  json_builder_add_boolean_value (out, reply->unchanged);
  json_builder_set_member_name (out, "fenced");
  json_builder_add_boolean_value (out, reply->fenced);
  json_builder_set_member_name (out, "runs");
  json_builder_begin_array (out);
  for (guint i = 0; i < reply->run_n; i++)
    {
      FbSyncRun run = reply->runs[i];
      run.spec.payload.payload_len = 0;
      run.spec.payload.payload_val = NULL;
      add_run (out, &run);
    }
  json_builder_end_array (out);
  return out;
}

static JsonBuilder *
exchange (Host *host, JsonObject *body)
{
  FbSyncRequest *request = parse_request (body);
  WorkerReply *reply = worker_handle (host->worker, standin_now_ms (), request);
  fb_sync_request_free (request);
  if (reply == NULL)
    return standin_object ();
  JsonBuilder *out = reply_json (worker_reply_view (reply));
  worker_reply_free (reply);
  return out;
}

/* ---- watches ---------------------------------------------------------- */

static void
waiting_watch_free (gpointer data)
{
  WaitingWatch *entry = data;
  g_object_unref (entry->message);
  g_free (entry);
}

static JsonBuilder *
version_json (const Host *host)
{
  JsonBuilder *out = standin_object ();
  standin_add_int (out, "version", (gint64) host->version);
  return out;
}

static JsonBuilder *
watch (Host *host, SoupServerMessage *message, GHashTable *query)
{
  guint64 version = standin_query_u64 (query, "version", 0);
  if (version != host->version)
    return version_json (host);
  WaitingWatch *entry = g_new0 (WaitingWatch, 1);
  entry->message = g_object_ref (message);
  entry->version = version;
  entry->until_ms = standin_now_ms () + standin_query_u64 (query, "wait_ms", 1000);
  g_ptr_array_add (host->waiting_watches, entry);
  return NULL;
}

static void
answer_waiting_watches (Host *host)
{
  for (guint i = host->waiting_watches->len; i > 0; i--)
    {
      WaitingWatch *entry = g_ptr_array_index (host->waiting_watches, i - 1);
      if (entry->version == host->version && standin_now_ms () < entry->until_ms)
        continue;
      standin_answer (host->standin, entry->message, version_json (host));
      g_ptr_array_remove_index_fast (host->waiting_watches, i - 1);
    }
}

/* ---- hosts ------------------------------------------------------------ */

static JsonBuilder *
handle_host (gpointer user, SoupServerMessage *message, const char *path, GHashTable *query,
             JsonObject *body)
{
  Host *host = user;
  if (g_str_equal (path, "/v1/watch"))
    return watch (host, message, query);
  if (g_str_equal (path, "/v1/exchange") && body != NULL)
    return exchange (host, body);
  return standin_object ();
}

static void
control_host (gpointer user, JsonObject *body)
{
  Host *host = user;
  if (json_object_has_member (body, "fail_all"))
    worker_set_runs_fail (host->worker, json_object_get_boolean_member (body, "fail_all"));
  if (json_object_has_member (body, "pause"))
    {
      host->paused = json_object_get_boolean_member (body, "pause");
      standin_faults (host->standin)->freeze = host->paused;
      worker_set_frozen (host->worker, standin_now_ms (), host->paused);
    }
  if (json_object_get_boolean_member_with_default (body, "restart", FALSE))
    worker_restart (host->worker, standin_now_ms ());
}

static gboolean
on_tick (gpointer unused)
{
  (void) unused;
  for (guint i = 0; i < hosts->len; i++)
    {
      Host *host = g_ptr_array_index (hosts, i);
      worker_tick (host->worker, standin_now_ms ());
      host->version = worker_ends_version (host->worker);
      answer_waiting_watches (host);
      fb_res used = oracle_used_resources (oracle, host->id);
      cpu_busy_milli_ms += (double) used.amount[FB_RES_CPU_MILLI] * TICK_MS;
      accel_busy_ms += (double) used.amount[FB_RES_ACCEL_COUNT] * TICK_MS;
    }
  return G_SOURCE_CONTINUE;
}

/* ---- the audit record ------------------------------------------------- */

static JsonBuilder *
handle_record (gpointer user, SoupServerMessage *message, const char *path, GHashTable *query,
               JsonObject *body)
{
  (void) user;
  (void) message;
  (void) path;
  (void) query;
  (void) body;
  double elapsed_ms = (double) (standin_now_ms () - started_ms);
  double cpu_milli = 0;
  double accel = 0;
  for (guint i = 0; i < hosts->len; i++)
    {
      const Host *host = g_ptr_array_index (hosts, i);
      cpu_milli += (double) host->capacity.amount[FB_RES_CPU_MILLI];
      accel += (double) host->capacity.amount[FB_RES_ACCEL_COUNT];
    }
  JsonBuilder *out = standin_object ();
  OracleCounts counts = oracle_counts (oracle);
  standin_add_int (out, "starts", (gint64) counts.starts);
  standin_add_int (out, "completed", (gint64) counts.completed);
  standin_add_int (out, "failed", (gint64) counts.failed);
  standin_add_int (out, "stopped", (gint64) counts.stopped);
  standin_add_int (out, "lost", (gint64) counts.lost);
  standin_add_int (out, "doubled", (gint64) counts.duplicates);
  standin_add_int (out, "over_capacity", (gint64) counts.over_capacity);
  standin_add_int (out, "cpu_used_permille",
                   (gint64) (1000 * cpu_busy_milli_ms / (cpu_milli * MAX (elapsed_ms, 1))));
  standin_add_int (out, "accel_used_permille",
                   (gint64) (1000 * accel_busy_ms / MAX (accel * elapsed_ms, 1)));
  const char *violation = oracle_violation (oracle);
  standin_add_text (out, "broken", violation != NULL ? violation : "");
  return out;
}

static void
add_host (const FbCellHost *info, const fb_res *capacity)
{
  Host *host = g_new0 (Host, 1);
  host->id = hosts->len;
  host->capacity = *capacity;
  host->worker = worker_new (host->id, capacity, oracle, (guint64) g_get_real_time () / 1000, 0);
  host->waiting_watches = g_ptr_array_new_with_free_func (waiting_watch_free);
  const char *port = strrchr (info->address, ':') + 1;
  host->standin = standin_new ((guint) g_ascii_strtoull (port, NULL, 10), handle_host, host);
  standin_set_control (host->standin, control_host);
  g_ptr_array_add (hosts, host);
}

int
main (int argc, char **argv)
{
  int port = 0;
  char *cell_path = NULL;
  const GOptionEntry options[]
      = { { "cell", 'c', 0, G_OPTION_ARG_FILENAME, &cell_path, "Cell file", "FILE" },
          { "record-port", 'p', 0, G_OPTION_ARG_INT, &port, "Port of the record", "N" },
          { NULL, 0, 0, 0, NULL, NULL, NULL } };
  g_autoptr (GOptionContext) context = g_option_context_new ("- stand-in for workers");
  g_option_context_add_main_entries (context, options, NULL);
  FbCell *cell = NULL;
  if (!g_option_context_parse (context, &argc, &argv, NULL) || port <= 0 || cell_path == NULL)
    {
      fprintf (stderr, "usage: standin-workers --cell FILE --record-port N\n");
      return 2;
    }
  if (fb_settings_load_cell (cell_path, &cell) != FB_SETTINGS_OK)
    {
      fprintf (stderr, "%s\n", fb_status_message ());
      return 3;
    }
  hosts = g_ptr_array_new ();
  oracle = oracle_new ();
  started_ms = standin_now_ms ();
  for (guint r = 0; r < cell->racks->len; r++)
    {
      const FbCellRack *rack = fb_cell_rack (cell, r);
      for (guint h = 0; h < rack->hosts->len; h++)
        add_host (g_ptr_array_index (rack->hosts, h), &rack->host_capacity);
    }
  record = standin_new ((guint) port, handle_record, NULL);
  g_timeout_add (TICK_MS, on_tick, NULL);
  g_main_loop_run (g_main_loop_new (NULL, FALSE));
  return 0;
}
