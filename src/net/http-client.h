/* HTTP calls to the platform, with a time limit on every call and a size limit on every answer. A
 * client belongs to one thread. */
#pragma once

#include "fb-traffic.h"

#include <json-glib/json-glib.h>

#define FB_HTTP_CODE_OK 200

typedef struct _FbHttpClient FbHttpClient;

typedef enum
{
  FB_HTTP_OK,
  FB_HTTP_UNREACHABLE, /* no connection, or it broke */
  FB_HTTP_TIMEOUT,     /* no answer in time; the connection is not reused */
  FB_HTTP_STATUS,      /* a status other than 200 */
  FB_HTTP_MALFORMED    /* too large, or not a JSON object */
} FbHttpStatus;

/* ROOT is borrowed for the callback and NULL unless STATUS is FB_HTTP_OK. */
typedef void (*FbHttpDone) (gpointer user, FbHttpStatus status, JsonObject *root);

FbHttpClient *fb_http_client_new (void);
void fb_http_client_free (FbHttpClient *self);

/* One HTTP request, with any kind of body. */
typedef struct
{
  const char *method; /* static string */
  /* TRUE when sending the request twice has the same effect as sending it once. Only such a request
   * may use an idle connection: the server may close that connection at the same moment, and
   * libcurl then sends the request again on a new one. The answer belongs to the last transmission,
   * so a refusal does not prove that no transmission was carried out
   * (fb_http_reply_is_ambiguous()). */
  gboolean idempotent;
  char *url;
  const char *content_type; /* static string; NULL without a body */
  GBytes *body;             /* may be NULL */
  FbTraffic traffic;        /* kind under which its bytes are counted */
  guint idle_timeout_ms;    /* fails the call when nothing was received for this time; 0: none */
  const char *header_names[2];
  char *header_values[2];
} FbHttpCall;

typedef struct
{
  FbHttpStatus status; /* FB_HTTP_OK: an answer was received, with any status CODE */
  gboolean sent;       /* FALSE: nothing was sent, so nothing was carried out */
  guint transmissions; /* how often the request was begun on a connection; see
                          FbHttpCall.idempotent */
  gboolean refused;    /* the host refused the connection: nothing listens on the port */
  guint code;
  GBytes *body; /* borrowed for the callback; NULL unless FB_HTTP_OK */
} FbHttpReply;

/* TRUE when a transmission other than the answered one may have been carried out: the answer says
 * nothing about that one. */
gboolean fb_http_reply_is_ambiguous (const FbHttpReply *reply);

typedef void (*FbHttpReplyDone) (gpointer user, const FbHttpReply *reply);

void fb_http_call_clear (FbHttpCall *call);
/* COPY shares only reference-counted memory with CALL. */
void fb_http_call_copy (FbHttpCall *copy, const FbHttpCall *call);

/* Sends CALL (borrowed) and calls DONE once, never from inside this function. DONE must not free
 * the client. TIMEOUT_MS limits the whole call, up to the end of the answer. */
void fb_http_client_exchange (FbHttpClient *self, const FbHttpCall *call, guint timeout_ms,
                              FbHttpReplyDone done, gpointer user);

/* Cancels the calls of USER that have an idle timeout, without calling DONE. The rest of their
 * answers is not received, and so takes no bandwidth. */
void fb_http_client_cancel (FbHttpClient *self, gconstpointer user);

/* Sends BODY (consumed; NULL for a GET request) and calls DONE once, on this thread and never from
 * inside this function. */
void fb_http_client_call (FbHttpClient *self, const char *url, JsonBuilder *body, guint timeout_ms,
                          FbHttpDone done, gpointer user);
