/* Adapter for the log service over HTTP and JSON; see docs/PLATFORM.md. */
#include "platform.h"
#include "src/net/http-client.h"
#include "src/net/json.h"

#define CALL_TIMEOUT_MS 2000
#define READ_MAX_RECORDS 500

typedef struct
{
  FbLogService base;
  FbHttpClient *http;
  char *url;
} LogHttp;

typedef struct
{
  FbLogAppendDone append_done;
  FbLogReadDone read_done;
  gpointer user;
  guint record_n;
} Call;

static char *
stream_name (uint32_t stream)
{
  return stream == FB_STREAM_CONFIG ? g_strdup ("config") : g_strdup_printf ("shard-%u", stream);
}

static void
on_appended (gpointer user, FbHttpStatus status, JsonObject *root)
{
  g_autofree Call *call = user;
  JsonArray *offsets = status == FB_HTTP_OK ? fb_json_array (root, "offsets", NULL) : NULL;
  if (offsets == NULL || json_array_get_length (offsets) != call->record_n)
    {
      call->append_done (call->user, NULL, 0);
      return;
    }
  g_autofree uint64_t *values = g_new (uint64_t, MAX (call->record_n, 1));
  for (guint i = 0; i < call->record_n; i++)
    values[i] = fb_json_row_uint (offsets, i);
  call->append_done (call->user, values, call->record_n);
}

static void
log_append (FbLogService *service, const FbLogRecord *records, guint n, FbLogAppendDone done,
            gpointer user)
{
  LogHttp *self = (LogHttp *) service;
  JsonBuilder *body = json_builder_new ();
  json_builder_begin_object (body);
  json_builder_set_member_name (body, "records");
  json_builder_begin_array (body);
  for (guint i = 0; i < n; i++)
    {
      g_autofree char *name = stream_name (records[i].stream);
      gsize len = 0;
      const void *bytes = g_bytes_get_data (records[i].data, &len);
      g_autofree char *text = g_base64_encode (bytes, len);
      json_builder_begin_object (body);
      json_builder_set_member_name (body, "stream");
      json_builder_add_string_value (body, name);
      json_builder_set_member_name (body, "data");
      json_builder_add_string_value (body, text);
      json_builder_end_object (body);
    }
  json_builder_end_array (body);
  json_builder_end_object (body);
  Call *call = g_new0 (Call, 1);
  *call = (Call){ .append_done = done, .user = user, .record_n = n };
  g_autofree char *url = g_strdup_printf ("%s/v1/append", self->url);
  fb_http_client_call (self->http, url, body, CALL_TIMEOUT_MS, on_appended, call);
}

static gboolean
parse_page (JsonObject *root, FbLogPage *page, GArray *records)
{
  gboolean malformed = FALSE;
  JsonArray *list = fb_json_array (root, "records", NULL);
  if (list == NULL || !json_object_has_member (root, "first"))
    return FALSE;
  page->first_retained = fb_json_uint (root, "first", 0, &malformed);
  page->log_now_ms = fb_json_uint (root, "now_ms", 0, &malformed);
  page->at_end
      = !json_object_has_member (root, "at_end") || fb_json_bool (root, "at_end", &malformed);
  for (guint i = 0; i < json_array_get_length (list) && !malformed; i++)
    {
      JsonObject *item = fb_json_row_object (list, i);
      if (item == NULL)
        return FALSE;
      gsize len = 0;
      guchar *bytes = g_base64_decode (fb_json_string (item, "data", &malformed), &len);
      FbLogRecord record = { .offset = fb_json_uint (item, "offset", 0, &malformed),
                             .age_ms = fb_json_uint (item, "age_ms", 0, &malformed),
                             .data = g_bytes_new_take (bytes, len) };
      g_array_append_val (records, record);
    }
  return !malformed;
}

static void
on_read (gpointer user, FbHttpStatus status, JsonObject *root)
{
  g_autofree Call *call = user;
  g_autoptr (GArray) records = g_array_new (FALSE, FALSE, sizeof (FbLogRecord));
  FbLogPage page = { 0 };
  gboolean ok = status == FB_HTTP_OK && parse_page (root, &page, records);
  page.records = (const FbLogRecord *) (void *) records->data;
  page.record_n = records->len;
  call->read_done (call->user, ok ? &page : NULL);
  for (guint i = 0; i < records->len; i++)
    g_bytes_unref (g_array_index (records, FbLogRecord, i).data);
}

static void
log_read (FbLogService *service, uint32_t stream, uint64_t from, FbLogReadDone done, gpointer user)
{
  LogHttp *self = (LogHttp *) service;
  Call *call = g_new0 (Call, 1);
  *call = (Call){ .read_done = done, .user = user };
  g_autofree char *name = stream_name (stream);
  g_autofree char *url = g_strdup_printf ("%s/v1/read?stream=%s&from=%" G_GUINT64_FORMAT "&max=%u",
                                          self->url, name, from, READ_MAX_RECORDS);
  fb_http_client_call (self->http, url, NULL, CALL_TIMEOUT_MS, on_read, call);
}

static void
log_free (FbLogService *service)
{
  LogHttp *self = (LogHttp *) service;
  fb_http_client_free (self->http);
  g_free (self->url);
  g_free (self);
}

static const FbLogServiceOps log_ops = { log_append, log_read, log_free };

FbLogService *
fb_log_http_new (const char *url)
{
  LogHttp *self = g_new0 (LogHttp, 1);
  self->base.ops = &log_ops;
  self->http = fb_http_client_new ();
  self->url = g_strdup (url);
  return &self->base;
}
