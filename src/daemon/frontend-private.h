/* Declarations shared by the files of the HTTP front end. */
#pragma once

#include "frontend.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <talloc.h>

#define FB_FRONTEND_BODY_MAX FB_MAX_PAYLOAD
#define FB_FRONTEND_CONFIG_MAX (FB_MAX_CONFIG + 4096)
#define FB_FRONTEND_RETRY_AFTER_S 2

typedef enum
{
  FB_CALL_REQUEST,    /* answered with the final outcome of its job */
  FB_CALL_JOB,        /* answered when its job is admitted */
  FB_CALL_JOB_QUERY,  /* answered with the current state of its job */
  FB_CALL_WITHOUT_JOB /* does not wait for a job: status, configuration, metrics, explanation */
} FbCallMode;

/* One HTTP request, owned by the front-end thread until it is answered. */
typedef struct
{
  FbFrontend *frontend;
  guint64 id;
  FbCallMode mode;
  SoupServerMessage *message;
  gulong disconnect_handler; /* id of the handler of the message's signal "disconnected" */
  uint64_t job;              /* 0: none, or not admitted yet */
  uint64_t received_ms;
} FbCall;

/* Argument of a query or command that is posted to the core thread. */
typedef struct
{
  FbFrontend *frontend;
  guint64 call_id;
  uint64_t job; /* 0: none */
} FbFrontendCoreRequest;

struct _FbFrontend
{
  const FbCell *cell;
  guint self_index;
  uint32_t partner;
  FbCore *core;
  FbLoop *loop;
  SoupServer *server;
  gboolean closed; /* fb_frontend_close() was called: new jobs are rejected */
  gint64 started_us;
  guint64 last_id;
  GHashTable *calls; /* &FbCall.id -> FbCall, owned */
};

/* frontend.c */
FbCall *fb_frontend_call_new (FbFrontend *self, SoupServerMessage *message, FbCallMode mode);
/* Like fb_frontend_call_new(), for a call on the job whose id is TEXT. When TEXT is malformed,
 * responds with an error and returns NULL. */
FbCall *fb_frontend_job_call_new (FbFrontend *self, SoupServerMessage *message, FbCallMode mode,
                                  const char *text);
/* Returns: (transfer full): to be freed with g_free(). */
FbFrontendCoreRequest *fb_frontend_core_request_new (const FbCall *call);
/* Returns: (transfer full): the text of BODY, which is unreferenced. */
char *fb_frontend_json_text (JsonBuilder *body);
/* Answers and frees the call. */
void fb_frontend_respond (FbCall *call, guint status, const char *type, const char *body,
                          gsize len);
void fb_frontend_respond_json (FbCall *call, guint status, JsonBuilder *body);
void fb_frontend_refuse (FbCall *call, guint status, const char *reason);

/* Called on the core thread; post a message to the front-end thread, which is ignored when the call
 * is no longer open. TEXT is consumed. */
void fb_frontend_post_text (FbFrontend *self, guint64 call_id, guint status, const char *type,
                            char *text);
void fb_frontend_post_error (FbFrontend *self, guint64 call_id, guint status, const char *reason);
void fb_frontend_post_job (FbFrontend *self, guint64 call_id, uint64_t job);

/* frontend-commands.c, frontend-queries.c. Returns: FALSE when they do not serve PATH. */
gboolean fb_frontend_command (FbFrontend *self, SoupServerMessage *message, const char *path,
                              GHashTable *query);
gboolean fb_frontend_query (FbFrontend *self, SoupServerMessage *message, const char *path);
