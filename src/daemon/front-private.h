/* Declarations shared by the files of the HTTP front end. */
#pragma once

#include "front.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <talloc.h>

#define FB_FRONT_BODY_MAX FB_MAX_PAYLOAD
#define FB_FRONT_CONFIG_MAX (FB_MAX_CONFIG + 4096)
#define FB_FRONT_RETRY_AFTER_S 2

typedef enum
{
  FB_CALL_REQUEST,    /* answered with the final outcome of its job */
  FB_CALL_JOB,        /* answered when its job is admitted */
  FB_CALL_JOB_QUERY,  /* answered with the current state of its job */
  FB_CALL_WITHOUT_JOB /* no answer depends on a job: status, configuration, metrics, explanation */
} FbCallMode;

/* One HTTP request, owned by the front-end thread until it is answered. */
typedef struct
{
  FbFront *front;
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
  FbFront *front;
  guint64 call_id;
  uint64_t job; /* 0: none */
} FbFrontCoreRequest;

struct _FbFront
{
  const FbCell *cell;
  guint self_index;
  uint32_t partner;
  FbCore *core;
  FbLoop *loop;
  SoupServer *server;
  gboolean closed; /* fb_front_close() was called: new jobs are rejected */
  gint64 started_us;
  guint64 last_id;
  GHashTable *calls; /* &FbCall.id -> FbCall, owned */
};

/* front.c */
FbCall *fb_front_call_new (FbFront *self, SoupServerMessage *message, FbCallMode mode);
/* Like fb_front_call_new(), for a call on the job whose id is TEXT. When TEXT is malformed,
 * responds with an error and returns NULL. */
FbCall *fb_front_job_call_new (FbFront *self, SoupServerMessage *message, FbCallMode mode,
                               const char *text);
/* Returns: (transfer full): to be freed with g_free(). */
FbFrontCoreRequest *fb_front_core_request_new (const FbCall *call);
/* Returns: (transfer full): the text of BODY, which is unreferenced. */
char *fb_front_json_text (JsonBuilder *body);
/* Answers and frees the call. */
void fb_front_respond (FbCall *call, guint status, const char *type, const char *body, gsize len);
void fb_front_respond_json (FbCall *call, guint status, JsonBuilder *body);
void fb_front_refuse (FbCall *call, guint status, const char *reason);

/* Called on the core thread; post a message to the front-end thread, which is ignored when the call
 * is no longer open. TEXT is consumed. */
void fb_front_post_text (FbFront *self, guint64 call_id, guint status, const char *type,
                         char *text);
void fb_front_post_error (FbFront *self, guint64 call_id, guint status, const char *reason);
void fb_front_post_job (FbFront *self, guint64 call_id, uint64_t job);

/* front-commands.c, front-queries.c. Returns: FALSE when they do not serve PATH. */
gboolean fb_front_command (FbFront *self, SoupServerMessage *message, const char *path,
                           GHashTable *query);
gboolean fb_front_query (FbFront *self, SoupServerMessage *message, const char *path);
