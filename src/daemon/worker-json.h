/* JSON encoding of the exchange with a worker, used by the daemon and by the stand-in for workers
 * in standins/.
 *
 * The fields of a run's specification that a worker needs are separate members. The whole
 * specification, without the payload, is also sent as an opaque "tag", which the worker returns
 * unchanged. */
#pragma once

#include "internal/rack.h"

#include <json-glib/json-glib.h>

/* Returns: (transfer full): REQUEST as a JSON object. */
JsonBuilder *fb_worker_json_request (const FbSyncRequest *request);

typedef struct
{
  FbSyncReply reply;
  GArray *runs;       /* of FbSyncRun */
  GPtrArray *answers; /* decoded answers, owned */
} FbWorkerJsonReply;

/* Returns: FALSE when ROOT is not a reply. On TRUE, OUT is released with
 * fb_worker_json_clear_reply(). */
gboolean fb_worker_json_parse_reply (JsonObject *root, FbWorkerJsonReply *out);
void fb_worker_json_clear_reply (FbWorkerJsonReply *out);

/* Format: "job/index/attempt", with the job in hexadecimal. */
char *fb_worker_json_format_run (const fb_run *run);
gboolean fb_worker_json_parse_run (const char *text, fb_run *run);
