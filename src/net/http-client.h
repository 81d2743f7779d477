/* HTTP client for the platform, with a timeout for every call and a size limit for every response.
 * A client is used on one thread only. */
#pragma once

#include "fb-traffic.h"

#include <json-glib/json-glib.h>

#define FB_HTTP_CODE_OK 200

typedef struct _FbHttpClient FbHttpClient;

typedef enum
{
  FB_HTTP_OK,
  FB_HTTP_UNREACHABLE, /* the connection could not be opened, or was lost */
  FB_HTTP_TIMEOUT,     /* no response in time; the connection is not reused */
  FB_HTTP_STATUS,      /* a status other than 200 */
  FB_HTTP_MALFORMED    /* too large, or not a JSON object */
} FbHttpStatus;

/* ROOT is borrowed for the callback and NULL unless STATUS is FB_HTTP_OK. */
typedef void (*FbHttpDone) (gpointer user, FbHttpStatus status, JsonObject *root);

FbHttpClient *fb_http_client_new (void);
/* Limits the number of open calls; further ones end as not sent.  To be called before the first
 * call. The client keeps as many connections for reuse. */
void fb_http_client_set_calls_max (FbHttpClient *self, guint calls_max);
/* Returns: TRUE when a call would end as not sent because of that limit. */
gboolean fb_http_client_is_full (const FbHttpClient *self);
void fb_http_client_free (FbHttpClient *self);
/* Closes the connections that no call has used for IDLE_MS. */
void fb_http_client_close_idle (FbHttpClient *self, uint32_t idle_ms);

/* One HTTP request; the body may have any content type. */
typedef struct
{
  const char *method; /* static string */
  /* TRUE when sending the request twice has the same effect as sending it once. Only such a request
   * may reuse an idle connection: the server may close that connection at the same moment, and
   * libcurl then sends the request again on a new one. The response belongs to the last
   * transmission, so a rejection does not prove that no transmission was executed
   * (fb_http_reply_is_ambiguous()). */
  gboolean idempotent;
  char *url;
  const char *content_type; /* static string; NULL without a body */
  GBytes *body;             /* may be NULL */
  FbTraffic traffic;        /* category for the byte counters */
  guint idle_timeout_ms;    /* fails the call when nothing is received for this time; 0: none */
  const char *header_names[2];
  char *header_values[2];
} FbHttpCall;

typedef struct
{
  FbHttpStatus status; /* FB_HTTP_OK: a response was received, with any status CODE */
  gboolean sent;       /* FALSE: nothing was sent, so nothing was executed */
  guint transmissions; /* number of connections on which the request was started; see
                          FbHttpCall.idempotent */
  gboolean refused;    /* connection refused: no process listens on the port */
  guint code;          /* HTTP status code */
  GBytes *body;        /* borrowed for the callback; NULL unless FB_HTTP_OK */
} FbHttpReply;

/* Returns: TRUE when a transmission other than the one that REPLY belongs to may have been
 * executed, with an unknown result. */
gboolean fb_http_reply_is_ambiguous (const FbHttpReply *reply);

typedef void (*FbHttpReplyDone) (gpointer user, const FbHttpReply *reply);

void fb_http_call_clear (FbHttpCall *call);
/* Initializes COPY as a copy of CALL; the body is shared by reference. */
void fb_http_call_copy (FbHttpCall *copy, const FbHttpCall *call);

/* Sends CALL (borrowed) and calls DONE once, never before this function returns. DONE must not free
 * the client. TIMEOUT_MS limits the whole call, including the response. */
void fb_http_client_exchange (FbHttpClient *self, const FbHttpCall *call, guint timeout_ms,
                              FbHttpReplyDone done, gpointer user);

/* Cancels the calls of USER that have an idle timeout, without calling DONE. The rest of their
 * responses is not received, which saves bandwidth. */
void fb_http_client_cancel (FbHttpClient *self, gconstpointer user);

/* Sends BODY (consumed; NULL for a GET request) and calls DONE once, on this thread and never
 * before this function returns. */
void fb_http_client_call (FbHttpClient *self, const char *url, JsonBuilder *body, guint timeout_ms,
                          FbHttpDone done, gpointer user);
