/* HTTP requests that read state: jobs, status, configuration, metrics. */
#include "frontend-private.h"

#include "fb-counter.h"
#include "internal/rack-query.h"

#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

/* ---- jobs ------------------------------------------------------------- */

static void
query_job_on_core (FbNode *node, uint64_t now_ms, gpointer data)
{
  const FbFrontendCoreRequest *request = data;
  if (!fb_node_query_job (node, now_ms, request->frontend->partner, request->job))
    fb_frontend_post_error (request->frontend, request->call_id, SOUP_STATUS_SERVICE_UNAVAILABLE,
                            "the range of this job has no owner now");
}

static void
explain_on_core (const FbNode *node, gpointer data)
{
  const FbFrontendCoreRequest *request = data;
  char *text = fb_node_explain (node, request->job);
  if (text != NULL)
    {
      fb_frontend_post_text (request->frontend, request->call_id, SOUP_STATUS_OK, "text/plain",
                             text);
      return;
    }
  uint32_t range
      = fb_cell_range_of_job (request->frontend->cell, request->frontend->partner, request->job);
  int owner = fb_node_owner_of (node, range);
  const FbCellMember *member
      = owner >= 0 ? fb_cell_member (request->frontend->cell, (guint) owner) : NULL;
  if (member == NULL || (guint) owner == request->frontend->self_index)
    fb_frontend_post_text (request->frontend, request->call_id, SOUP_STATUS_NOT_FOUND, "text/plain",
                           g_strdup ("no such job, or its range has no owner now\n"));
  else
    fb_frontend_post_text (
        request->frontend, request->call_id, SOUP_STATUS_MISDIRECTED_REQUEST, "text/plain",
        g_strdup_printf ("%s %s:%u\n", member->name, member->host, member->http_port));
}

static void
query_job (FbFrontend *self, SoupServerMessage *message, const char *text, gboolean explain)
{
  FbCall *call = fb_frontend_job_call_new (self, message,
                                           explain ? FB_CALL_WITHOUT_JOB : FB_CALL_JOB_QUERY, text);
  if (call == NULL)
    return;
  FbFrontendCoreRequest *request = fb_frontend_core_request_new (call);
  if (explain)
    fb_core_query (self->core, explain_on_core, request, g_free);
  else
    /* Sending the query to the owner of the range requires a mutable node, although it changes no
     * state of this node. */
    fb_core_command (self->core, query_job_on_core, request, g_free);
}

/* ---- status ----------------------------------------------------------- */

static void
add_text (JsonBuilder *out, const char *name, const char *value)
{
  json_builder_set_member_name (out, name);
  json_builder_add_string_value (out, value);
}

static void
add_number (JsonBuilder *out, const char *name, uint64_t value)
{
  json_builder_set_member_name (out, name);
  json_builder_add_int_value (out, (gint64) value);
}

static void
add_members (JsonBuilder *out, const FbFrontend *frontend, const FbNode *node)
{
  json_builder_set_member_name (out, "members");
  json_builder_begin_array (out);
  for (guint i = 0; i < frontend->cell->members->len; i++)
    {
      json_builder_begin_object (out);
      add_text (out, "name", fb_cell_member (frontend->cell, i)->name);
      add_text (out, "state", fb_node_member_state (node, i));
      for (guint p = 0; p < FB_PARTNER_N; p++)
        add_number (out, frontend->cell->partners[p].name, fb_node_member_serial (node, i, p));
      json_builder_end_object (out);
    }
  json_builder_end_array (out);
}

static void
add_workers (JsonBuilder *out, const FbRack *rack)
{
  json_builder_set_member_name (out, "workers");
  json_builder_begin_array (out);
  for (guint i = 0; i < fb_rack_worker_count (rack); i++)
    {
      fb_res used = fb_rack_worker_used (rack, i);
      fb_res capacity = fb_rack_worker_capacity (rack, i);
      json_builder_begin_object (out);
      add_text (out, "name", fb_rack_worker_name (rack, i));
      add_text (out, "state", fb_rack_worker_state (rack, i));
      add_number (out, "used_milli", fb_res_dominant_share_milli (&used, &capacity));
      json_builder_end_object (out);
    }
  json_builder_end_array (out);
}

static void
add_shards (JsonBuilder *out, const FbFrontend *frontend, const FbNode *node)
{
  json_builder_set_member_name (out, "shards");
  json_builder_begin_array (out);
  for (guint i = 0; i < fb_cell_shard_count (frontend->cell); i++)
    {
      int owner = fb_node_owner_of (node, i);
      json_builder_begin_object (out);
      add_number (out, "shard", i);
      if (fb_cell_is_rack (frontend->cell, i))
        add_text (out, "rack", fb_cell_rack (frontend->cell, i)->name);
      add_text (out, "owner",
                owner >= 0 ? fb_cell_member (frontend->cell, (guint) owner)->name : "none");
      add_number (out, "owned_epoch", fb_node_owned_epoch (node, i));
      const FbRack *rack = fb_node_rack (node, i);
      if (rack != NULL)
        {
          add_number (out, "waiting", fb_rack_queue_count (rack));
          add_workers (out, rack);
        }
      json_builder_end_object (out);
    }
  json_builder_end_array (out);
}

static void
status_on_core (const FbNode *node, gpointer data)
{
  const FbFrontendCoreRequest *request = data;
  const FbFrontend *frontend = request->frontend;
  JsonBuilder *out = json_builder_new ();
  json_builder_begin_object (out);
  add_text (out, "name", fb_cell_member (frontend->cell, frontend->self_index)->name);
  add_text (out, "partner", frontend->cell->partners[frontend->partner].name);
  add_number (out, "partner_index", frontend->partner);
  add_text (out, "log", fb_node_log_is_available (node) ? "up" : "down");
  add_members (out, frontend, node);
  add_shards (out, frontend, node);
  json_builder_end_object (out);
  fb_frontend_post_text (request->frontend, request->call_id, SOUP_STATUS_OK, "application/json",
                         fb_frontend_json_text (out));
}

/* ---- configuration ---------------------------------------------------- */

static void
add_files (JsonBuilder *out, GBytes *bytes)
{
  gsize len = 0;
  const void *data = bytes != NULL ? g_bytes_get_data (bytes, &len) : NULL;
  fb_rec_revision revision;
  json_builder_set_member_name (out, "files");
  json_builder_begin_object (out);
  if (data != NULL && fb_codec_decode_revision (data, len, &revision))
    {
      for (guint i = 0; i < revision.files.files_len; i++)
        {
          const fb_rec_file *file = &revision.files.files_val[i];
          g_autofree char *text = g_strndup (file->text.text_val, file->text.text_len);
          add_text (out, file->name, text == NULL ? "" : text);
        }
      fb_codec_clear_revision (&revision);
    }
  json_builder_end_object (out);
}

static void
config_on_core (const FbNode *node, gpointer data)
{
  const FbFrontendCoreRequest *request = data;
  uint32_t partner = request->frontend->partner;
  JsonBuilder *out = json_builder_new ();
  json_builder_begin_object (out);
  add_number (out, "serial", fb_node_config_serial (node, partner));
  add_files (out, fb_node_config_revision (node, partner));
  json_builder_end_object (out);
  fb_frontend_post_text (request->frontend, request->call_id, SOUP_STATUS_OK, "application/json",
                         fb_frontend_json_text (out));
}

static void
query_core (FbFrontend *self, SoupServerMessage *message, FbCoreQuery func)
{
  FbCall *call = fb_frontend_call_new (self, message, FB_CALL_WITHOUT_JOB);
  fb_core_query (self->core, func, fb_frontend_core_request_new (call), g_free);
}

/* Resource usage of the process as reported by the kernel, in the text exposition format. */
static char *
process_metrics (gint64 started_us)
{
  struct rusage usage;
  getrusage (RUSAGE_SELF, &usage);
  double cpu_s = (double) (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
                 + (double) (usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
  g_autofree char *statm = NULL;
  long pages = 0;
  if (g_file_get_contents ("/proc/self/statm", &statm, NULL, NULL))
    {
      const char *space = strchr (statm, ' ');
      pages = space != NULL ? strtol (space, NULL, 10) : 0;
    }
  gint64 now_us = g_get_monotonic_time ();
  return g_strdup_printf ("# TYPE process_cpu_seconds_total counter\n"
                          "process_cpu_seconds_total %.3f\n"
                          "# TYPE process_uptime_seconds gauge\n"
                          "process_uptime_seconds %.3f\n"
                          "# TYPE process_resident_memory_bytes gauge\n"
                          "process_resident_memory_bytes %ld\n",
                          cpu_s, (double) (now_us - started_us) / 1e6,
                          pages * sysconf (_SC_PAGESIZE));
}

static void
metrics (FbFrontend *self, SoupServerMessage *message)
{
  FbCall *call = fb_frontend_call_new (self, message, FB_CALL_WITHOUT_JOB);
  g_autofree char *counters = fb_counter_render ();
  g_autofree char *process = process_metrics (self->started_us);
  g_autofree char *text = g_strconcat (counters, process, NULL);
  fb_frontend_respond (call, SOUP_STATUS_OK, "text/plain; version=0.0.4", text, strlen (text));
}

gboolean
fb_frontend_query (FbFrontend *self, SoupServerMessage *message, const char *path)
{
  if (g_str_has_prefix (path, "/v1/jobs/"))
    query_job (self, message, path + strlen ("/v1/jobs/"), FALSE);
  else if (g_str_has_prefix (path, "/v1/explain/"))
    query_job (self, message, path + strlen ("/v1/explain/"), TRUE);
  else if (g_str_equal (path, "/v1/status"))
    query_core (self, message, status_on_core);
  else if (g_str_equal (path, "/v1/config"))
    query_core (self, message, config_on_core);
  else if (g_str_equal (path, "/metrics"))
    metrics (self, message);
  else
    return FALSE;
  return TRUE;
}
