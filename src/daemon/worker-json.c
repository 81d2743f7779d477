#include "worker-json.h"

#include "src/net/json.h"

#include "internal/codec.h"

#include <string.h>

char *
fb_worker_json_format_run (const fb_run *run)
{
  return g_strdup_printf ("%016" G_GINT64_MODIFIER "x/%u/%u", run->job, run->index, run->attempt);
}

static gboolean
parse_u32 (const char *text, uint32_t *value)
{
  guint64 parsed = 0;
  if (!g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT32, &parsed, NULL))
    return FALSE;
  *value = (uint32_t) parsed;
  return TRUE;
}

gboolean
fb_worker_json_parse_run (const char *text, fb_run *run)
{
  g_auto (GStrv) parts = g_strsplit (text, "/", 4);
  guint64 job = 0;
  if (g_strv_length (parts) != 3
      || !g_ascii_string_to_unsigned (parts[0], 16, 0, G_MAXUINT64, &job, NULL)
      || !parse_u32 (parts[1], &run->index) || !parse_u32 (parts[2], &run->attempt))
    return FALSE;
  run->job = job;
  return TRUE;
}

static void
add_run (JsonBuilder *out, const fb_run *run)
{
  g_autofree char *text = fb_worker_json_format_run (run);
  fb_json_add_string (out, "run", text);
}

/* The specification without its payload, XDR-encoded; opaque to workers. */
static char *
format_tag (const fb_spec *spec)
{
  fb_spec without_payload = *spec;
  without_payload.payload.payload_len = 0;
  without_payload.payload.payload_val = NULL;
  char buffer[512];
  XDR xdr;
  xdrmem_create (&xdr, buffer, sizeof buffer, XDR_ENCODE);
  gboolean ok = xdr_fb_spec (&xdr, &without_payload);
  u_int len = xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  g_assert (ok);
  return g_base64_encode ((const guchar *) buffer, len);
}

static gboolean
parse_tag (const char *tag, fb_spec *spec)
{
  gsize len = 0;
  g_autofree guchar *bytes = g_base64_decode (tag, &len);
  memset (spec, 0, sizeof *spec);
  XDR xdr;
  xdrmem_create (&xdr, (char *) bytes, (u_int) len, XDR_DECODE);
  gboolean ok = len > 0 && xdr_fb_spec (&xdr, spec);
  xdr_destroy (&xdr);
  fb_spec_clear (spec);
  return ok && spec->partner < FB_PARTNER_N && spec->kind < FB_KIND_N;
}

static void
add_start (JsonBuilder *out, const fb_spec *spec, uint64_t start_by_ms)
{
  g_autofree char *tag = format_tag (spec);
  g_autofree char *payload
      = g_base64_encode ((const guchar *) spec->payload.payload_val, spec->payload.payload_len);
  json_builder_begin_object (out);
  add_run (out, &spec->run);
  fb_json_add_string (out, "tag", tag);
  fb_json_add_string (out, "kind", fb_kind_name ((FbKind) spec->kind));
  fb_json_add_uint (out, "start_by_ms", start_by_ms);
  fb_json_add_uint (out, "cpu_milli", spec->demand.amount[FB_RES_CPU_MILLI]);
  fb_json_add_uint (out, "mem_bytes", spec->demand.amount[FB_RES_MEM_BYTES]);
  fb_json_add_uint (out, "accel_count", spec->demand.amount[FB_RES_ACCEL_COUNT]);
  fb_json_add_uint (out, "slot_count", spec->demand.amount[FB_RES_SLOT_COUNT]);
  fb_json_add_uint (out, "run_ms", spec->run_ms);
  fb_json_add_string (out, "payload", payload);
  json_builder_end_object (out);
}

static void
add_runs (JsonBuilder *out, const char *name, const GArray *runs)
{
  json_builder_set_member_name (out, name);
  json_builder_begin_array (out);
  for (guint i = 0; i < runs->len; i++)
    {
      g_autofree char *text = fb_worker_json_format_run (&g_array_index (runs, fb_run, i));
      json_builder_add_string_value (out, text);
    }
  json_builder_end_array (out);
}

JsonBuilder *
fb_worker_json_request (const FbSyncRequest *request)
{
  JsonBuilder *out = json_builder_new ();
  json_builder_begin_object (out);
  fb_json_add_uint (out, "epoch", request->epoch);
  fb_json_add_uint (out, "seq", request->seq);
  fb_json_add_uint (out, "incarnation", request->incarnation);
  fb_json_add_uint (out, "known_version", request->known_version);
  fb_json_add_uint (out, "lease_until_ms", request->lease_until_ms);
  json_builder_set_member_name (out, "starts");
  json_builder_begin_array (out);
  for (guint i = 0; i < request->starts->len; i++)
    add_start (out, g_ptr_array_index (request->starts, i),
               g_array_index (request->start_by_ms, uint64_t, i));
  json_builder_end_array (out);
  json_builder_set_member_name (out, "stops");
  json_builder_begin_array (out);
  for (guint i = 0; i < request->stops->len; i++)
    {
      const FbSyncStop *stop = &g_array_index (request->stops, FbSyncStop, i);
      json_builder_begin_object (out);
      add_run (out, &stop->run);
      json_builder_set_member_name (out, "checkpoint");
      json_builder_add_boolean_value (out, stop->checkpoint);
      json_builder_end_object (out);
    }
  json_builder_end_array (out);
  add_runs (out, "throttles", request->throttles);
  add_runs (out, "acks", request->acks);
  json_builder_end_object (out);
  return out;
}

/* Values above 63 bits are written as negative numbers. */
static uint64_t
get_u64 (JsonObject *object, const char *name, gboolean *malformed)
{
  return (uint64_t) fb_json_int (object, name, 0, malformed);
}

static gboolean
parse_state (JsonObject *item, FbSyncRun *run)
{
  static const char *const states[] = { "live", "ended", "refused" };
  static const struct
  {
    const char *name;
    FbRunStatus run_status;
  } ends[] = { { "completed", FB_RUN_STATUS_COMPLETED },
               { "failed", FB_RUN_STATUS_FAILED },
               { "stopped", FB_RUN_STATUS_STOPPED },
               { "lost", FB_RUN_STATUS_LOST } };
  const char *state = fb_json_string (item, "state", NULL);
  const char *end = fb_json_string (item, "end", NULL);
  gboolean known = FALSE;
  for (guint i = 0; i < G_N_ELEMENTS (states); i++)
    {
      if (g_str_equal (state, states[i]))
        {
          run->state = (FbSyncState) i;
          known = TRUE;
        }
    }
  for (guint i = 0; i < G_N_ELEMENTS (ends); i++)
    {
      if (g_str_equal (end, ends[i].name))
        run->run_status = ends[i].run_status;
    }
  return known && (run->state != FB_SYNC_ENDED || run->run_status != 0);
}

static gboolean
parse_run_item (JsonObject *item, FbWorkerJsonReply *out)
{
  FbSyncRun run = { 0 };
  gboolean malformed = FALSE;
  if (item == NULL || !parse_tag (fb_json_string (item, "tag", NULL), &run.spec)
      || !parse_state (item, &run))
    return FALSE;
  run.usage.amount[FB_RES_CPU_MILLI] = get_u64 (item, "cpu_milli", &malformed);
  run.usage.amount[FB_RES_MEM_BYTES] = get_u64 (item, "mem_bytes", &malformed);
  run.usage.amount[FB_RES_ACCEL_COUNT] = run.spec.demand.amount[FB_RES_ACCEL_COUNT];
  run.usage.amount[FB_RES_SLOT_COUNT] = run.spec.demand.amount[FB_RES_SLOT_COUNT];
  gsize len = 0;
  guchar *answer = g_base64_decode (fb_json_string (item, "answer", &malformed), &len);
  g_ptr_array_add (out->answers, answer);
  run.answer = (const char *) answer;
  run.answer_len = (uint32_t) MIN (len, FB_MAX_PAYLOAD);
  g_array_append_val (out->runs, run);
  return !malformed;
}

gboolean
fb_worker_json_parse_reply (JsonObject *root, FbWorkerJsonReply *out)
{
  gboolean malformed = FALSE;
  JsonArray *list = fb_json_array (root, "runs", NULL);
  if (list == NULL || !json_object_has_member (root, "epoch"))
    return FALSE;
  out->runs = g_array_new (FALSE, FALSE, sizeof (FbSyncRun));
  out->answers = g_ptr_array_new_with_free_func (g_free);
  out->reply = (FbSyncReply){ .epoch = get_u64 (root, "epoch", &malformed),
                              .seq = get_u64 (root, "seq", &malformed),
                              .clock_ms = get_u64 (root, "clock_ms", &malformed),
                              .incarnation = get_u64 (root, "incarnation", &malformed),
                              .version = get_u64 (root, "version", &malformed) };
  out->reply.unchanged = fb_json_bool (root, "unchanged", &malformed);
  out->reply.fenced = fb_json_bool (root, "fenced", &malformed);
  for (guint i = 0; i < json_array_get_length (list) && !malformed; i++)
    malformed = !parse_run_item (fb_json_row_object (list, i), out);
  if (malformed)
    {
      fb_worker_json_clear_reply (out);
      return FALSE;
    }
  out->reply.runs = (const FbSyncRun *) (void *) out->runs->data;
  out->reply.run_n = out->runs->len;
  return TRUE;
}

void
fb_worker_json_clear_reply (FbWorkerJsonReply *out)
{
  g_array_free (out->runs, TRUE);
  g_ptr_array_free (out->answers, TRUE);
}
