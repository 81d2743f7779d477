/* Adapter for the host list over HTTP and JSON; see docs/PLATFORM.md. */
#include "platform.h"
#include "src/net/http-client.h"
#include "src/net/json.h"

#define CALL_TIMEOUT_MS 1500

typedef struct
{
  FbHostList base;
  FbHttpClient *http;
  char *url;
} HostListHttp;

typedef struct
{
  FbHostListDone done;
  gpointer user;
} Call;

static FbHostState
parse_state (const char *text)
{
  if (g_str_equal (text, "leaving"))
    return FB_HOST_LEAVING;
  return g_str_equal (text, "gone") ? FB_HOST_GONE : FB_HOST_LIVE;
}

static gboolean
parse_host (JsonObject *item, FbHostEntry *entry)
{
  gboolean malformed = FALSE;
  entry->name = fb_json_string (item, "name", &malformed);
  entry->state = parse_state (fb_json_string (item, "state", &malformed));
  return !malformed;
}

static void
on_polled (gpointer user, FbHttpStatus status, JsonObject *root)
{
  g_autofree Call *call = user;
  JsonArray *list = status == FB_HTTP_OK ? fb_json_array (root, "hosts", NULL) : NULL;
  guint n = list != NULL ? json_array_get_length (list) : 0;
  g_autofree FbHostEntry *entries = g_new0 (FbHostEntry, n + 1);
  /* A host that is left out would be taken for one that has gone. */
  gboolean malformed = list == NULL;
  for (guint i = 0; i < n && !malformed; i++)
    {
      JsonObject *item = fb_json_row_object (list, i);
      malformed = item == NULL || !parse_host (item, &entries[i]);
    }
  call->done (call->user, malformed ? NULL : entries, malformed ? 0 : n);
}

static void
host_list_poll (FbHostList *list, FbHostListDone done, gpointer user)
{
  HostListHttp *self = (HostListHttp *) list;
  Call *call = g_new0 (Call, 1);
  *call = (Call){ done, user };
  g_autofree char *url = g_strdup_printf ("%s/v1/hosts", self->url);
  fb_http_client_call (self->http, url, NULL, CALL_TIMEOUT_MS, on_polled, call);
}

static void
host_list_free (FbHostList *list)
{
  HostListHttp *self = (HostListHttp *) list;
  fb_http_client_free (self->http);
  g_free (self->url);
  g_free (self);
}

static const FbHostListOps host_list_ops = { host_list_poll, host_list_free };

FbHostList *
fb_host_list_http_new (const char *url)
{
  HostListHttp *self = g_new0 (HostListHttp, 1);
  self->base.ops = &host_list_ops;
  self->http = fb_http_client_new ();
  self->url = g_strdup (url);
  return &self->base;
}
