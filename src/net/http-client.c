/* HTTP calls by libcurl's multi interface, on the main loop of the task.
 *
 * libcurl reports its sockets to one epoll descriptor, which is the only thing that
 * the main loop watches.  A client that gives the main loop a source for each of its
 * connections lets every turn of the loop visit all of them: with a hundred
 * connections at 500 calls a second that was two fifths of a daemon's processor
 * time (perf, 35 workers on loopback).
 *
 * Failure: a connection goes silent for good while new ones work.  It shows as
 * calls that never end.  Guard: every call has a time limit of its own; when it
 * passes, its connection is closed and the next call opens another.  What the call
 * did is not concluded from silence: callers repeat it under the same number. */
#include "http-client.h"

#include "json.h"

#include "fb-counter.h"

#include <curl/curl.h>
#include <errno.h>
#include <sys/epoll.h>
#include <unistd.h>

#define ANSWER_MAX_BYTES (8 * 1024 * 1024)
/* Idle connections that are kept for reuse, over all hosts. */
#define IDLE_CONNECTIONS 512
/* Handles of ended calls that are kept for the next ones. */
#define SPARE_HANDLES 64
#define EVENTS_AT_ONCE 64
/* Of the above in one turn: other sources have their turn then. */
#define READS_PER_TURN 8

typedef struct
{
  GSource base;
  FbHttpClient *client;
} ClientSource;

struct _FbHttpClient
{
  CURLM *multi; /* made by the first call, on the task that owns it */
  int epoll;
  GSource *source;     /* watches the epoll descriptor and libcurl's next time limit */
  GPtrArray *spare;    /* of CURL */
  GHashTable *watched; /* open calls that are given up after a silence */
};

typedef struct
{
  CURL *easy;
  struct curl_slist *headers;
  GBytes *body;
  GByteArray *answer;
  FbHttpReplyDone done;
  gpointer user;
  FbHttpClient *client;
  FbTraffic traffic;
  guint copies;
  uint64_t until_ms; /* its time limit, by a clock that goes on while the host is suspended */
  guint idle_timeout_ms;
  GSource *silence; /* NULL without such a limit */
} Call;

/* A call whose answer is one JSON object. */
typedef struct
{
  FbHttpDone done;
  gpointer user;
} JsonCall;

/* ---- sockets and time limits -------------------------------------------------- */

static int
on_socket_change (CURL *easy, curl_socket_t socket, int what, void *user, void *known)
{
  (void) easy;
  (void) known;
  FbHttpClient *self = user;
  struct epoll_event event = { .data.fd = socket };
  if (what == CURL_POLL_REMOVE)
    {
      (void) epoll_ctl (self->epoll, EPOLL_CTL_DEL, socket, NULL);
      return 0;
    }
  if (what & CURL_POLL_IN)
    event.events |= EPOLLIN;
  if (what & CURL_POLL_OUT)
    event.events |= EPOLLOUT;
  /* A socket that was closed has left the set by itself; its number may be in use again. */
  if (epoll_ctl (self->epoll, EPOLL_CTL_MOD, socket, &event) < 0)
    (void) epoll_ctl (self->epoll, EPOLL_CTL_ADD, socket, &event);
  return 0;
}

static int
on_time_limit (CURLM *multi, long timeout_ms, void *user)
{
  (void) multi;
  FbHttpClient *self = user;
  gint64 ready_us = timeout_ms < 0 ? -1 : g_get_monotonic_time () + (gint64) timeout_ms * 1000;
  g_source_set_ready_time (self->source, ready_us);
  return 0;
}

static void
unwatch (Call *call)
{
  if (call->silence == NULL)
    return;
  g_hash_table_remove (call->client->watched, call);
  g_source_destroy (call->silence);
  g_clear_pointer (&call->silence, g_source_unref);
}

static void
call_free (Call *call)
{
  unwatch (call);
  curl_slist_free_all (call->headers);
  g_clear_pointer (&call->body, g_bytes_unref);
  g_byte_array_unref (call->answer);
  g_free (call);
}

static void
keep_handle (FbHttpClient *self, CURL *easy)
{
  curl_multi_remove_handle (self->multi, easy);
  if (self->spare->len < SPARE_HANDLES)
    g_ptr_array_add (self->spare, easy);
  else
    curl_easy_cleanup (easy);
}

static void
count_bytes (const Call *call, long sent_bytes)
{
  long header_bytes = 0;
  curl_easy_getinfo (call->easy, CURLINFO_HEADER_SIZE, &header_bytes);
  fb_traffic_add (call->traffic, (uint64_t) sent_bytes,
                  (uint64_t) header_bytes + call->answer->len);
}

static void
end_call (FbHttpClient *self, Call *call, CURLcode result)
{
  unwatch (call); /* who is told may drop its calls */
  FbHttpReply reply = { .status = FB_HTTP_OK };
  long sent_bytes = 0;
  long code = 0;
  long connect_errno = 0;
  curl_easy_getinfo (call->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &code);
  curl_easy_getinfo (call->easy, CURLINFO_OS_ERRNO, &connect_errno);
  reply.sent = sent_bytes > 0;
  reply.copies = call->copies;
  count_bytes (call, sent_bytes);
  reply.refused = result == CURLE_COULDNT_CONNECT && connect_errno == ECONNREFUSED;
  if (result == CURLE_OPERATION_TIMEDOUT)
    reply.status = FB_HTTP_TIMEOUT;
  else if (result == CURLE_WRITE_ERROR)
    reply.status = FB_HTTP_MALFORMED;
  else if (result != CURLE_OK)
    reply.status = FB_HTTP_UNREACHABLE;
  else
    reply.code = (guint) code;
  keep_handle (self, call->easy);
  fb_counter_add (FB_COUNTER_PLATFORM_BYTES, call->answer->len);
  g_autoptr (GBytes) body = g_byte_array_free_to_bytes (g_byte_array_ref (call->answer));
  reply.body = reply.status == FB_HTTP_OK ? body : NULL;
  call->done (call->user, &reply);
  call_free (call);
}

/* Failure: an answer is large and the link thin, 0.7 MB at 10 Mbit/s take 0.6 s; a limit on the
 * whole that finds a dead connection soon ends each try, and the bytes of the try fill the link
 * for nothing.  It shows as a listing that needs 2.2 s, of which 1 s is thrown away.  Guard: what
 * is limited is the silence, so that an answer that comes may take its time. */
static gboolean
on_silence (gpointer data)
{
  Call *call = data;
  /* What came in this same turn of the loop has put it off. */
  if (g_source_get_ready_time (call->silence) > g_get_monotonic_time ())
    return G_SOURCE_CONTINUE;
  end_call (call->client, call, CURLE_OPERATION_TIMEDOUT);
  return G_SOURCE_REMOVE;
}

static void
put_off_silence (Call *call)
{
  if (call->silence != NULL)
    g_source_set_ready_time (call->silence,
                             g_get_monotonic_time () + (gint64) call->idle_timeout_ms * 1000);
}

static void
watch_silence (FbHttpClient *self, Call *call, guint idle_timeout_ms)
{
  if (idle_timeout_ms == 0)
    return;
  call->idle_timeout_ms = idle_timeout_ms;
  call->silence = g_timeout_source_new (idle_timeout_ms);
  g_source_set_callback (call->silence, on_silence, call, NULL);
  g_source_attach (call->silence, g_main_context_get_thread_default ());
  g_hash_table_add (self->watched, call);
}

static void
end_calls (FbHttpClient *self)
{
  CURLMsg *message = NULL;
  int left = 0;
  while ((message = curl_multi_info_read (self->multi, &left)) != NULL)
    {
      if (message->msg != CURLMSG_DONE)
        continue;
      char *call = NULL;
      CURLcode result = message->data.result;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &call);
      end_call (self, (Call *) (gpointer) call, result);
    }
}

/* Returns: FALSE when nothing more has come. */
static gboolean
handle_sockets (FbHttpClient *self)
{
  struct epoll_event events[EVENTS_AT_ONCE];
  int running = 0;
  int n = epoll_wait (self->epoll, events, EVENTS_AT_ONCE, 0);
  for (int i = 0; i < n; i++)
    {
      int action = 0;
      if (events[i].events & EPOLLIN)
        action |= CURL_CSELECT_IN;
      if (events[i].events & EPOLLOUT)
        action |= CURL_CSELECT_OUT;
      if (events[i].events & (EPOLLERR | EPOLLHUP))
        action |= CURL_CSELECT_ERR;
      curl_multi_socket_action (self->multi, events[i].data.fd, action, &running);
    }
  return n == EVENTS_AT_ONCE;
}

/* What has come is read before any time limit is looked at, and all of it in one turn: with 64
 * sockets a turn a loop of five turns a second read less than came, and gave up the rest.  It does
 * not help a call whose own limit has passed: libcurl looks at that before it reads. */
static gboolean
dispatch (GSource *source, GSourceFunc callback, gpointer user)
{
  (void) callback;
  (void) user;
  FbHttpClient *self = ((ClientSource *) source)->client;
  for (guint i = 0; i < READS_PER_TURN && handle_sockets (self); i++)
    ;
  end_calls (self);
  gint64 ready_us = g_source_get_ready_time (source);
  if (ready_us >= 0 && ready_us <= g_source_get_time (source))
    {
      int running = 0;
      g_source_set_ready_time (source, -1);
      curl_multi_socket_action (self->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
  end_calls (self);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = { .dispatch = dispatch };

/* ---- life ------------------------------------------------------------------------ */

FbHttpClient *
fb_http_client_new (void)
{
  FbHttpClient *self = g_new0 (FbHttpClient, 1);
  self->spare = g_ptr_array_new ();
  self->watched = g_hash_table_new (NULL, NULL);
  return self;
}

static void
start (FbHttpClient *self)
{
  static gsize once;
  if (g_once_init_enter (&once))
    {
      /* No TLS: the interfaces are plain HTTP. */
      curl_global_init (CURL_GLOBAL_NOTHING);
      g_once_init_leave (&once, 1);
    }
  self->epoll = epoll_create1 (EPOLL_CLOEXEC);
  self->multi = curl_multi_init ();
  g_assert (self->epoll >= 0 && self->multi != NULL);
  self->source = g_source_new (&source_funcs, sizeof (ClientSource));
  ((ClientSource *) self->source)->client = self;
  g_source_add_unix_fd (self->source, self->epoll, G_IO_IN);
  g_source_attach (self->source, g_main_context_get_thread_default ());
  curl_multi_setopt (self->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
  curl_multi_setopt (self->multi, CURLMOPT_SOCKETDATA, self);
  curl_multi_setopt (self->multi, CURLMOPT_TIMERFUNCTION, on_time_limit);
  curl_multi_setopt (self->multi, CURLMOPT_TIMERDATA, self);
  curl_multi_setopt (self->multi, CURLMOPT_MAXCONNECTS, (long) IDLE_CONNECTIONS);
}

/* Calls that are open are forgotten without an answer. */
void
fb_http_client_free (FbHttpClient *self)
{
  GHashTableIter iter;
  gpointer call;
  g_hash_table_iter_init (&iter, self->watched);
  while (g_hash_table_iter_next (&iter, &call, NULL))
    {
      g_source_destroy (((Call *) call)->silence);
      g_clear_pointer (&((Call *) call)->silence, g_source_unref);
    }
  g_hash_table_unref (self->watched);
  for (guint i = 0; i < self->spare->len; i++)
    curl_easy_cleanup (self->spare->pdata[i]);
  g_ptr_array_unref (self->spare);
  if (self->multi != NULL)
    {
      curl_multi_cleanup (self->multi);
      g_source_destroy (self->source);
      g_source_unref (self->source);
      close (self->epoll);
    }
  g_free (self);
}

/* ---- calls ------------------------------------------------------------------------- */

void
fb_http_call_clear (FbHttpCall *call)
{
  g_clear_pointer (&call->url, g_free);
  g_clear_pointer (&call->body, g_bytes_unref);
  for (guint i = 0; i < G_N_ELEMENTS (call->header_values); i++)
    g_clear_pointer (&call->header_values[i], g_free);
}

gboolean
fb_http_reply_is_ambiguous (const FbHttpReply *reply)
{
  return reply->status == FB_HTTP_OK ? reply->copies != 1 : reply->sent;
}

void
fb_http_call_copy (FbHttpCall *copy, const FbHttpCall *call)
{
  *copy = *call;
  copy->url = g_strdup (call->url);
  copy->body = call->body != NULL ? g_bytes_ref (call->body) : NULL;
  for (guint i = 0; i < G_N_ELEMENTS (call->header_values); i++)
    copy->header_values[i] = g_strdup (call->header_values[i]);
}

static size_t
on_data (char *data, size_t size, size_t n, void *user)
{
  Call *call = user;
  if (call->answer->len + size * n > ANSWER_MAX_BYTES)
    return 0;
  put_off_silence (call);
  g_byte_array_append (call->answer, (const guint8 *) data, (guint) (size * n));
  return size * n;
}

static uint64_t
clock_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (uint64_t) now.tv_sec * 1000 + (uint64_t) now.tv_nsec / 1000000;
}

/* Called with a connection in hand, before the call is written to it: once a copy.
 *
 * Failure: a daemon is suspended as it makes a connection, which libcurl's time limits do not see,
 * and sends an order when it wakes that its caller had given up; it shows as a second run of a
 * task.  Guard: a call is not sent once its time limit has passed. */
static int
on_copy (void *user, char *peer_ip, char *own_ip, int peer_port, int own_port)
{
  (void) peer_ip;
  (void) own_ip;
  (void) peer_port;
  (void) own_port;
  Call *call = user;
  if (clock_ms () >= call->until_ms)
    return CURL_PREREQFUNC_ABORT;
  call->copies++;
  return CURL_PREREQFUNC_OK;
}

static struct curl_slist *
add_header (struct curl_slist *list, const char *name, const char *value)
{
  g_autofree char *line = g_strdup_printf ("%s: %s", name, value);
  return curl_slist_append (list, line);
}

static void
set_body (Call *call, const FbHttpCall *request)
{
  gsize len = 0;
  call->body = g_bytes_ref (request->body);
  const char *data = g_bytes_get_data (call->body, &len);
  fb_counter_add (FB_COUNTER_PLATFORM_BYTES, len);
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE, (long) len);
  /* An empty body is still a body. */
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, data != NULL ? data : "");
  call->headers = add_header (call->headers, "Content-Type", request->content_type);
  /* No pause for "100 Continue" before large bodies. */
  call->headers = curl_slist_append (call->headers, "Expect:");
}

static CURL *
take_handle (FbHttpClient *self)
{
  if (self->spare->len == 0)
    return curl_easy_init ();
  CURL *easy = g_ptr_array_remove_index_fast (self->spare, self->spare->len - 1);
  curl_easy_reset (easy);
  return easy;
}

static void
set_options (Call *call, const FbHttpCall *request, guint timeout_ms)
{
  CURL *easy = call->easy;
  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long) CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long) timeout_ms);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_copy);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  if (!request->idempotent)
    {
      curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
    }
  if (request->body != NULL)
    set_body (call, request);
  for (guint i = 0; i < G_N_ELEMENTS (request->header_values); i++)
    {
      if (request->header_values[i] != NULL)
        call->headers
            = add_header (call->headers, request->header_names[i], request->header_values[i]);
    }
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
}

void
fb_http_client_exchange (FbHttpClient *self, const FbHttpCall *request, guint timeout_ms,
                         FbHttpReplyDone done, gpointer user)
{
  if (self->multi == NULL)
    start (self);
  Call *call = g_new0 (Call, 1);
  call->easy = take_handle (self);
  call->answer = g_byte_array_new ();
  call->done = done;
  call->user = user;
  call->client = self;
  call->traffic = request->traffic;
  call->until_ms = clock_ms () + timeout_ms;
  watch_silence (self, call, request->idle_timeout_ms);
  set_options (call, request, timeout_ms);
  curl_multi_add_handle (self->multi, call->easy);
}

static gboolean
drop_if_of (gpointer data, gpointer unused, gpointer user)
{
  (void) unused;
  Call *call = data;
  if (call->user != user)
    return FALSE;
  g_source_destroy (call->silence);
  g_clear_pointer (&call->silence, g_source_unref);
  keep_handle (call->client, call->easy);
  call_free (call);
  return TRUE;
}

void
fb_http_client_cancel (FbHttpClient *self, gconstpointer user)
{
  g_hash_table_foreach_steal (self->watched, drop_if_of, (gpointer) user);
}

static void
on_json_reply (gpointer user, const FbHttpReply *reply)
{
  JsonCall *call = user;
  FbHttpStatus status = reply->status;
  if (status == FB_HTTP_OK && reply->code != FB_HTTP_CODE_OK)
    status = FB_HTTP_STATUS;
  JsonObject *root = NULL;
  g_autoptr (JsonParser) parser
      = status == FB_HTTP_OK ? fb_json_parse_bytes (reply->body, &root) : NULL;
  if (parser != NULL)
    call->done (call->user, FB_HTTP_OK, root);
  else
    call->done (call->user, status == FB_HTTP_OK ? FB_HTTP_MALFORMED : status, NULL);
  g_free (call);
}

void
fb_http_client_call (FbHttpClient *self, const char *url, JsonBuilder *body, guint timeout_ms,
                     FbHttpDone done, gpointer user)
{
  JsonCall *call = g_new0 (JsonCall, 1);
  call->done = done;
  call->user = user;
  FbHttpCall request = { .method = body != NULL ? "POST" : "GET",
                         .url = g_strdup (url),
                         .traffic = FB_TRAFFIC_OTHER };
  if (body != NULL)
    {
      request.content_type = "application/json";
      request.body = fb_json_finish (body);
    }
  fb_http_client_exchange (self, &request, timeout_ms, on_json_reply, call);
  fb_http_call_clear (&request);
}
