/* JSON over HTTP to the platform, with a time limit and a size limit on every
 * call.  Belongs to one task. */
#pragma once

#include "fb-traffic.h"

#include <json-glib/json-glib.h>

#define FB_HTTP_CODE_OK 200

typedef struct _FbHttpClient FbHttpClient;

typedef enum
{
  FB_HTTP_OK,
  FB_HTTP_UNREACHABLE, /* nothing answered, or the connection broke */
  FB_HTTP_TIMEOUT,     /* silence; the connection is not used again */
  FB_HTTP_STATUS,      /* another status than 200 */
  FB_HTTP_MALFORMED    /* too large, or not the JSON object expected */
} FbHttpStatus;

/* ROOT is borrowed for the call and NULL unless STATUS is OK. */
typedef void (*FbHttpDone) (gpointer user, FbHttpStatus status, JsonObject *root);

FbHttpClient *fb_http_client_new (void);
void fb_http_client_free (FbHttpClient *self);

/* One call, whatever its body is. */
typedef struct
{
  const char *method; /* static */
  /* Sent twice it does what it does once.  Only such a call may use a connection that
   * was used before: the other end may close it just then, and the call is sent again
   * on a new one.  The answer is that to the last copy: a refusal of it does not prove that
   * no copy was carried out (fb_http_reply_is_ambiguous()). */
  gboolean idempotent;
  char *url;
  const char *content_type; /* static; NULL without a body */
  GBytes *body;             /* may be NULL */
  FbTraffic traffic;        /* what its bytes are counted as */
  guint idle_timeout_ms;    /* given up once nothing has come for so long; 0: no such limit */
  const char *header_names[2];
  char *header_values[2];
} FbHttpCall;

typedef struct
{
  FbHttpStatus status; /* OK: an answer came, with CODE, whatever it says */
  gboolean sent;       /* FALSE: nothing was sent, so nothing was done */
  guint copies;        /* how often the call was begun on a connection; see FbHttpCall.idempotent */
  gboolean refused;    /* the host answered that nothing listens there */
  guint code;
  GBytes *body; /* borrowed for the callback; NULL unless OK */
} FbHttpReply;

/* TRUE when a copy of the call before the one that was answered may have been carried out: what the
 * host says of the last copy is no word on that one. */
gboolean fb_http_reply_is_ambiguous (const FbHttpReply *reply);

typedef void (*FbHttpReplyDone) (gpointer user, const FbHttpReply *reply);

void fb_http_call_clear (FbHttpCall *call);
/* COPY shares no memory with CALL that is not reference counted. */
void fb_http_call_copy (FbHttpCall *copy, const FbHttpCall *call);

/* Sends CALL (borrowed) and calls DONE once, never from inside this call.  DONE must
 * not free the client.  TIMEOUT_MS is for the whole of the answer. */
void fb_http_client_exchange (FbHttpClient *self, const FbHttpCall *call, guint timeout_ms,
                              FbHttpReplyDone done, gpointer user);

/* Ends the calls of USER that name a silence; DONE is not called.  What of their answers is on the
 * way fills no link any more. */
void fb_http_client_cancel (FbHttpClient *self, gconstpointer user);

/* Sends BODY (consumed; NULL for GET) and calls DONE once, on this task, never
 * from inside this call. */
void fb_http_client_call (FbHttpClient *self, const char *url, JsonBuilder *body, guint timeout_ms,
                          FbHttpDone done, gpointer user);
