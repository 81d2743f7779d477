/* HTTP client on libcurl's multi interface, run by the GLib main loop of the calling thread.
 *
 * libcurl's sockets are registered with one epoll descriptor, which is the only one that the main
 * loop polls. With one GSource per connection, every iteration of the loop checks all of them: with
 * a hundred connections at 500 calls per second, that took two fifths of a daemon's CPU time (perf,
 * 35 workers on loopback).
 *
 * A connection can stop passing data while new ones work; its calls would never end. Every call
 * therefore has its own timeout, after which its connection is closed, and the next call opens
 * another one. After a timeout it is not known whether the request was executed: callers retry it
 * with the same sequence or attempt number. */
#include "http-client.h"

#include "idle-sockets.h"
#include "json.h"

#include "fb-counter.h"

#include <curl/curl.h>
#include <errno.h>
#include <sys/epoll.h>
#include <unistd.h>

#define ANSWER_MAX_BYTES (8 * 1024 * 1024)
/* Size of the pool of idle connections, for all hosts together, of a client without a limit on its
 * calls. */
#define IDLE_CONNECTIONS_MAX 512
/* Size of the pool of unused curl handles. */
#define SPARE_HANDLES_MAX 64
#define EPOLL_BATCH 64
/* Batches of EPOLL_BATCH events handled per iteration, before other sources are dispatched. */
#define BATCHES_PER_ITERATION 8

typedef struct
{
  GSource base;
  FbHttpClient *client;
} ClientSource;

struct _FbHttpClient
{
  CURLM *multi; /* created by the first call, on the thread that owns the client */
  int epoll_fd;
  GSource *source;          /* polls the epoll descriptor; ready time: libcurl's next timeout */
  GPtrArray *spare_handles; /* of CURL *, for reuse */
  GHashTable *calls_with_idle_timeout; /* set of open Call */
  FbIdleSockets *idle_sockets;         /* of connections without an open call */
  guint calls_max;                     /* see fb_http_client_set_calls_max(); 0: no limit */
  guint calls_n;                       /* number of open calls */
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
  guint transmissions;
  uint64_t deadline_ms; /* by clock_ms(), which also counts while the host is suspended */
  guint idle_timeout_ms;
  GSource *idle_timer; /* NULL: no idle timeout */
} Call;

/* A call whose response body is a JSON object. */
typedef struct
{
  FbHttpDone done;
  gpointer user;
} JsonCall;

static uint64_t
clock_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (uint64_t) now.tv_sec * 1000 + (uint64_t) now.tv_nsec / 1000000;
}

/* ---- sockets and timeouts ------------------------------------------------------- */

static int
on_socket_change (CURL *easy, curl_socket_t socket, int what, void *user, void *socket_data)
{
  (void) easy;
  (void) socket_data;
  FbHttpClient *self = user;
  struct epoll_event event = { .data.fd = socket };
  if (what == CURL_POLL_REMOVE)
    {
      (void) epoll_ctl (self->epoll_fd, EPOLL_CTL_DEL, socket, NULL);
      fb_idle_sockets_add (self->idle_sockets, socket, clock_ms ());
      return 0;
    }
  fb_idle_sockets_remove (self->idle_sockets, socket);
  if (what & CURL_POLL_IN)
    event.events |= EPOLLIN;
  if (what & CURL_POLL_OUT)
    event.events |= EPOLLOUT;
  /* A closed socket is no longer in the epoll set, and its descriptor may have been reused. */
  if (epoll_ctl (self->epoll_fd, EPOLL_CTL_MOD, socket, &event) < 0)
    (void) epoll_ctl (self->epoll_fd, EPOLL_CTL_ADD, socket, &event);
  return 0;
}

/* Called when a connection is closed, whichever call opened it. */
static int
on_close (void *user, curl_socket_t socket)
{
  FbHttpClient *self = user;
  fb_idle_sockets_remove (self->idle_sockets, socket);
  return close (socket);
}

static int
on_timer_change (CURLM *multi, long timeout_ms, void *user)
{
  (void) multi;
  FbHttpClient *self = user;
  gint64 ready_us = timeout_ms < 0 ? -1 : g_get_monotonic_time () + (gint64) timeout_ms * 1000;
  g_source_set_ready_time (self->source, ready_us);
  return 0;
}

static void
cancel_idle_timer (Call *call)
{
  if (call->idle_timer == NULL)
    return;
  g_hash_table_remove (call->client->calls_with_idle_timeout, call);
  g_source_destroy (call->idle_timer);
  g_clear_pointer (&call->idle_timer, g_source_unref);
}

static void
call_free (Call *call)
{
  cancel_idle_timer (call);
  curl_slist_free_all (call->headers);
  g_clear_pointer (&call->body, g_bytes_unref);
  g_byte_array_unref (call->answer);
  g_free (call);
}

static void
release_handle (FbHttpClient *self, CURL *easy)
{
  self->calls_n--;
  curl_multi_remove_handle (self->multi, easy);
  if (self->spare_handles->len < SPARE_HANDLES_MAX)
    g_ptr_array_add (self->spare_handles, easy);
  else
    curl_easy_cleanup (easy);
}

static void
count_traffic (const Call *call, long sent_bytes)
{
  long header_bytes = 0;
  curl_easy_getinfo (call->easy, CURLINFO_HEADER_SIZE, &header_bytes);
  fb_traffic_add (call->traffic, (uint64_t) sent_bytes,
                  (uint64_t) header_bytes + call->answer->len);
}

static void
finish_call (FbHttpClient *self, Call *call, CURLcode result)
{
  cancel_idle_timer (call); /* DONE may call fb_http_client_cancel() */
  FbHttpReply reply = { .status = FB_HTTP_OK };
  long sent_bytes = 0;
  long code = 0;
  long connect_errno = 0;
  curl_easy_getinfo (call->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &code);
  curl_easy_getinfo (call->easy, CURLINFO_OS_ERRNO, &connect_errno);
  reply.sent = sent_bytes > 0;
  reply.transmissions = call->transmissions;
  count_traffic (call, sent_bytes);
  reply.refused = result == CURLE_COULDNT_CONNECT && connect_errno == ECONNREFUSED;
  if (result == CURLE_OPERATION_TIMEDOUT)
    reply.status = FB_HTTP_TIMEOUT;
  else if (result == CURLE_WRITE_ERROR)
    reply.status = FB_HTTP_MALFORMED;
  else if (result != CURLE_OK)
    reply.status = FB_HTTP_UNREACHABLE;
  else
    reply.code = (guint) code;
  release_handle (self, call->easy);
  fb_counter_add (FB_COUNTER_PLATFORM_BYTES, call->answer->len);
  g_autoptr (GBytes) body = g_byte_array_free_to_bytes (g_byte_array_ref (call->answer));
  reply.body = reply.status == FB_HTTP_OK ? body : NULL;
  call->done (call->user, &reply);
  call_free (call);
}

/* Limits the time without received data, so that a response that keeps arriving may take longer.
 * On a slow link a large response takes long: 0.6 s for 0.7 MB at 10 Mbit/s. A limit on the whole
 * call that is short enough to detect a dead connection would abort every attempt after it has used
 * the link: a listing took 2.2 s, of which 1 s was spent on aborted attempts. */
static gboolean
on_idle_timeout (gpointer data)
{
  Call *call = data;
  /* The ready time is later when data was received in this iteration of the loop. */
  if (g_source_get_ready_time (call->idle_timer) > g_get_monotonic_time ())
    return G_SOURCE_CONTINUE;
  finish_call (call->client, call, CURLE_OPERATION_TIMEDOUT);
  return G_SOURCE_REMOVE;
}

static void
restart_idle_timer (Call *call)
{
  if (call->idle_timer != NULL)
    g_source_set_ready_time (call->idle_timer,
                             g_get_monotonic_time () + (gint64) call->idle_timeout_ms * 1000);
}

static void
start_idle_timer (FbHttpClient *self, Call *call, guint idle_timeout_ms)
{
  if (idle_timeout_ms == 0)
    return;
  call->idle_timeout_ms = idle_timeout_ms;
  call->idle_timer = g_timeout_source_new (idle_timeout_ms);
  g_source_set_callback (call->idle_timer, on_idle_timeout, call, NULL);
  g_source_attach (call->idle_timer, g_main_context_get_thread_default ());
  g_hash_table_add (self->calls_with_idle_timeout, call);
}

static void
finish_calls (FbHttpClient *self)
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
      finish_call (self, (Call *) (gpointer) call, result);
    }
}

/* Handles one batch of events. Returns: FALSE when no more are pending. */
static gboolean
handle_sockets (FbHttpClient *self)
{
  struct epoll_event events[EPOLL_BATCH];
  int running = 0;
  int n = epoll_wait (self->epoll_fd, events, EPOLL_BATCH, 0);
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
  return n == EPOLL_BATCH;
}

/* Reads received data before it checks timeouts, and up to BATCHES_PER_ITERATION batches of it:
 * with 64 sockets per iteration, a loop that ran five times per second read less than was received,
 * and the remaining calls timed out. A call whose own timeout has passed still fails, because
 * libcurl checks that timeout before it reads. */
static gboolean
dispatch (GSource *source, GSourceFunc callback, gpointer user)
{
  (void) callback;
  (void) user;
  FbHttpClient *self = ((ClientSource *) source)->client;
  for (guint i = 0; i < BATCHES_PER_ITERATION && handle_sockets (self); i++)
    ;
  finish_calls (self);
  gint64 ready_us = g_source_get_ready_time (source);
  if (ready_us >= 0 && ready_us <= g_source_get_time (source))
    {
      int running = 0;
      g_source_set_ready_time (source, -1);
      curl_multi_socket_action (self->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
  finish_calls (self);
  return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = { .dispatch = dispatch };

/* ---- construction ---------------------------------------------------------------- */

FbHttpClient *
fb_http_client_new (void)
{
  FbHttpClient *self = g_new0 (FbHttpClient, 1);
  self->spare_handles = g_ptr_array_new ();
  self->calls_with_idle_timeout = g_hash_table_new (NULL, NULL);
  self->idle_sockets = fb_idle_sockets_new ();
  return self;
}

static void
init_multi (FbHttpClient *self)
{
  static gsize once;
  if (g_once_init_enter (&once))
    {
      /* The platform's interfaces use HTTP without TLS. */
      curl_global_init (CURL_GLOBAL_NOTHING);
      g_once_init_leave (&once, 1);
    }
  self->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  self->multi = curl_multi_init ();
  g_assert (self->epoll_fd >= 0 && self->multi != NULL);
  self->source = g_source_new (&source_funcs, sizeof (ClientSource));
  ((ClientSource *) self->source)->client = self;
  g_source_add_unix_fd (self->source, self->epoll_fd, G_IO_IN);
  g_source_attach (self->source, g_main_context_get_thread_default ());
  curl_multi_setopt (self->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
  curl_multi_setopt (self->multi, CURLMOPT_SOCKETDATA, self);
  curl_multi_setopt (self->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
  curl_multi_setopt (self->multi, CURLMOPT_TIMERDATA, self);
  /* When more connections than this are open, libcurl compares all of them for the one to close
   * each time a call ends. */
  curl_multi_setopt (self->multi, CURLMOPT_MAXCONNECTS,
                     (long) MAX (self->calls_max, IDLE_CONNECTIONS_MAX));
}

/* Cancels open calls without calling their callbacks. */
void
fb_http_client_free (FbHttpClient *self)
{
  GHashTableIter iter;
  gpointer call;
  g_hash_table_iter_init (&iter, self->calls_with_idle_timeout);
  while (g_hash_table_iter_next (&iter, &call, NULL))
    {
      g_source_destroy (((Call *) call)->idle_timer);
      g_clear_pointer (&((Call *) call)->idle_timer, g_source_unref);
    }
  g_hash_table_unref (self->calls_with_idle_timeout);
  for (guint i = 0; i < self->spare_handles->len; i++)
    curl_easy_cleanup (self->spare_handles->pdata[i]);
  g_ptr_array_unref (self->spare_handles);
  if (self->multi != NULL)
    {
      curl_multi_cleanup (self->multi);
      g_source_destroy (self->source);
      g_source_unref (self->source);
      close (self->epoll_fd);
    }
  fb_idle_sockets_free (self->idle_sockets);
  g_free (self);
}

void
fb_http_client_close_idle (FbHttpClient *self, uint32_t idle_ms)
{
  uint64_t now_ms = clock_ms ();
  guint n = fb_idle_sockets_shut_down (self->idle_sockets, now_ms - MIN (idle_ms, now_ms));
  fb_counter_add (FB_COUNTER_IDLE_CONNECTIONS_CLOSED, n);
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
  return reply->status == FB_HTTP_OK ? reply->transmissions != 1 : reply->sent;
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
  restart_idle_timer (call);
  g_byte_array_append (call->answer, (const guint8 *) data, (guint) (size * n));
  return size * n;
}

/* Called once per transmission, when the connection is open and before the request is written.
 *
 * Aborts requests that are past their deadline: libcurl's timeouts do not advance while the host is
 * suspended. A daemon that was suspended while it opened a connection would otherwise send an order
 * that its caller has already treated as failed, and a task would run twice. */
static int
on_transmission (void *user, char *peer_ip, char *own_ip, int peer_port, int own_port)
{
  (void) peer_ip;
  (void) own_ip;
  (void) peer_port;
  (void) own_port;
  Call *call = user;
  if (clock_ms () >= call->deadline_ms)
    return CURL_PREREQFUNC_ABORT;
  call->transmissions++;
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
  /* An empty body is sent with Content-Length: 0. */
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, data != NULL ? data : "");
  call->headers = add_header (call->headers, "Content-Type", request->content_type);
  /* Disables "Expect: 100-continue", so that large bodies are sent at once. */
  call->headers = curl_slist_append (call->headers, "Expect:");
}

static CURL *
acquire_handle (FbHttpClient *self)
{
  if (self->spare_handles->len == 0)
    return curl_easy_init ();
  CURL *easy = g_ptr_array_remove_index_fast (self->spare_handles, self->spare_handles->len - 1);
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
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_transmission);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, on_close);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, call->client);
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
fb_http_client_set_calls_max (FbHttpClient *self, guint calls_max)
{
  self->calls_max = calls_max;
}

gboolean
fb_http_client_is_full (const FbHttpClient *self)
{
  return self->calls_max > 0 && self->calls_n >= self->calls_max;
}

typedef struct
{
  FbHttpReplyDone done;
  gpointer user;
} UnsentCall;

static gboolean
on_unsent (gpointer data)
{
  static const FbHttpReply reply = { .status = FB_HTTP_UNREACHABLE };
  UnsentCall *call = data;
  call->done (call->user, &reply);
  g_free (call);
  return G_SOURCE_REMOVE;
}

static void
end_unsent (FbHttpReplyDone done, gpointer user)
{
  UnsentCall *call = g_new0 (UnsentCall, 1);
  call->done = done;
  call->user = user;
  g_autoptr (GSource) source = g_idle_source_new ();
  g_source_set_callback (source, on_unsent, call, NULL);
  g_source_attach (source, g_main_context_get_thread_default ());
}

void
fb_http_client_exchange (FbHttpClient *self, const FbHttpCall *request, guint timeout_ms,
                         FbHttpReplyDone done, gpointer user)
{
  if (fb_http_client_is_full (self))
    {
      end_unsent (done, user);
      return;
    }
  if (self->multi == NULL)
    init_multi (self);
  Call *call = g_new0 (Call, 1);
  self->calls_n++;
  call->easy = acquire_handle (self);
  call->answer = g_byte_array_new ();
  call->done = done;
  call->user = user;
  call->client = self;
  call->traffic = request->traffic;
  call->deadline_ms = clock_ms () + timeout_ms;
  start_idle_timer (self, call, request->idle_timeout_ms);
  set_options (call, request, timeout_ms);
  curl_multi_add_handle (self->multi, call->easy);
}

static gboolean
cancel_if_of_user (gpointer data, gpointer unused, gpointer user)
{
  (void) unused;
  Call *call = data;
  if (call->user != user)
    return FALSE;
  g_source_destroy (call->idle_timer);
  g_clear_pointer (&call->idle_timer, g_source_unref);
  release_handle (call->client, call->easy);
  call_free (call);
  return TRUE;
}

void
fb_http_client_cancel (FbHttpClient *self, gconstpointer user)
{
  g_hash_table_foreach_steal (self->calls_with_idle_timeout, cancel_if_of_user, (gpointer) user);
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
