/* Adapter for workers over HTTP and JSON; see docs/PLATFORM.md. */
#include "platform.h"
#include "src/net/http-client.h"
#include "src/net/json.h"
#include "worker-json.h"

#define EXCHANGE_TIMEOUT_MS 1500
#define WATCH_WAIT_MS 2000
#define WATCH_TIMEOUT_MS 4000

typedef struct
{
  FbWorkerService base;
  FbHttpClient *http;
} WorkerHttp;

typedef struct
{
  FbWorkerExchangeDone exchange_done;
  FbWorkerWatchDone watch_done;
  gpointer user;
} Call;

static void
on_exchanged (gpointer user, FbHttpStatus status, JsonObject *root)
{
  g_autofree Call *call = user;
  FbWorkerJsonReply parsed;
  if (status != FB_HTTP_OK || !fb_worker_json_parse_reply (root, &parsed))
    {
      call->exchange_done (call->user, NULL);
      return;
    }
  call->exchange_done (call->user, &parsed.reply);
  fb_worker_json_clear_reply (&parsed);
}

static void
worker_exchange (FbWorkerService *service, const char *address, const FbSyncRequest *request,
                 FbWorkerExchangeDone done, gpointer user)
{
  WorkerHttp *self = (WorkerHttp *) service;
  Call *call = g_new0 (Call, 1);
  *call = (Call){ .exchange_done = done, .user = user };
  g_autofree char *url = g_strdup_printf ("http://%s/v1/exchange", address);
  fb_http_client_call (self->http, url, fb_worker_json_request (request), EXCHANGE_TIMEOUT_MS,
                       on_exchanged, call);
}

static void
on_watched (gpointer user, FbHttpStatus status, JsonObject *root)
{
  g_autofree Call *call = user;
  gboolean ok = status == FB_HTTP_OK;
  uint64_t version = ok ? (uint64_t) fb_json_int (root, "version", 0, NULL) : 0;
  call->watch_done (call->user, ok, version);
}

static void
worker_watch (FbWorkerService *service, const char *address, uint64_t version,
              FbWorkerWatchDone done, gpointer user)
{
  WorkerHttp *self = (WorkerHttp *) service;
  Call *call = g_new0 (Call, 1);
  *call = (Call){ .watch_done = done, .user = user };
  g_autofree char *url
      = g_strdup_printf ("http://%s/v1/watch?version=%" G_GUINT64_FORMAT "&wait_ms=%u", address,
                         version, WATCH_WAIT_MS);
  fb_http_client_call (self->http, url, NULL, WATCH_TIMEOUT_MS, on_watched, call);
}

static void
worker_free (FbWorkerService *service)
{
  WorkerHttp *self = (WorkerHttp *) service;
  fb_http_client_free (self->http);
  g_free (self);
}

static const FbWorkerServiceOps worker_ops = { worker_exchange, worker_watch, worker_free };

FbWorkerService *
fb_worker_http_new (void)
{
  WorkerHttp *self = g_new0 (WorkerHttp, 1);
  self->base.ops = &worker_ops;
  self->http = fb_http_client_new ();
  return &self->base;
}
