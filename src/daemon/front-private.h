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
  FB_CALL_REQUEST,   /* answered with the final outcome of its job */
  FB_CALL_JOB,       /* answered when its job is admitted */
  FB_CALL_JOB_QUERY, /* answered with the current state of its job */
  FB_CALL_PLAIN      /* not answered from its job: status, configuration, metrics, explanation */
} FbCallMode;

/* One HTTP request. It is the talloc context of what it needs, and lives on the front thread until
 * it is answered. */
typedef struct
{
  FbFront *front;
  guint64 id;
  FbCallMode mode;
  SoupServerMessage *message;
  gulong disconnected; /* handler of the message's signal "disconnected" */
  uint64_t job;        /* 0: none, or not admitted yet */
  uint64_t since_ms;   /* when the request arrived */
} FbCall;

/* Data of a query or command that is posted to the core thread. */
typedef struct
{
  FbFront *front;
  guint64 call_id;
  uint64_t job; /* 0: not about a job */
} FbFrontCoreRequest;

struct _FbFront
{
  const FbCell *cell;
  guint self_index;
  uint32_t partner;
  FbCore *core;
  FbLoop *loop;
  SoupServer *server;
  gboolean closed; /* fb_front_close() was called: refuses new jobs */
  gint64 started_us;
  guint64 last_id;
  GHashTable *calls; /* &FbCall.id -> FbCall, owned */
};

/* front.c */
FbCall *fb_front_call_new (FbFront *self, SoupServerMessage *message, FbCallMode mode);
/* Like fb_front_call_new(), for a call about the job whose id is TEXT; NULL when TEXT is malformed,
 * after a reply with the error. */
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

/* Called on the core thread: they reach the call on the front thread if it is still open. TEXT is
 * freed. */
void fb_front_post_text (FbFront *self, guint64 call_id, guint status, const char *type,
                         char *text);
void fb_front_post_error (FbFront *self, guint64 call_id, guint status, const char *reason);
void fb_front_post_job (FbFront *self, guint64 call_id, uint64_t job);

/* front-commands.c, front-queries.c. Returns: TRUE when PATH is theirs and the request was
 * handled. */
gboolean fb_front_command (FbFront *self, SoupServerMessage *message, const char *path,
                           GHashTable *query);
gboolean fb_front_query (FbFront *self, SoupServerMessage *message, const char *path);
