/* The HTTP client, group memberships and topic readers with a store whose answers are slow or
 * stop. */
#include "suspended-clock.h"

#include "src/entry/entry-private.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CHUNK_INTERVAL_MS 25
#define IDLE_TIMEOUT_MS 200
#define CALL_TIMEOUT_MS 5000
#define TEST_TIMEOUT_MS 8000

/* A server in a thread: handles one request per connection and sends its answer in chunks at a
 * constant rate. */
typedef struct
{
  int listener;
  char *address;
  GBytes *body;
  GBytes *second_page; /* the second page of a listing; NULL: the listing has one page */
  guint chunks_n;
  guint chunks_until_stop; /* number of chunks after which it sends nothing more and keeps the
                            * connection open */
  gint calls_n;            /* requests received; atomic */
  GThread *thread;
} Server;

typedef struct
{
  Server *server;
  int fd;
} Connection;

static gboolean
send_all (int fd, const char *data, gsize len)
{
  while (len > 0)
    {
      ssize_t n = send (fd, data, len, MSG_NOSIGNAL);
      if (n <= 0)
        return FALSE;
      data += n;
      len -= (gsize) n;
    }
  return TRUE;
}

static gpointer
serve_connection (gpointer data)
{
  Connection *connection = data;
  Server *server = connection->server;
  char request[4096];
  gsize len = 0;
  ssize_t n = recv (connection->fd, request, sizeof request - 1, 0);
  request[MAX (n, 0)] = '\0';
  gboolean is_second_page = server->second_page != NULL && strstr (request, "after=") != NULL;
  const char *body = g_bytes_get_data (is_second_page ? server->second_page : server->body, &len);
  if (n > 0 && strstr (request, "/api/log-read") == NULL)
    {
      g_atomic_int_inc (&server->calls_n);
      g_autofree char *head = g_strdup_printf (
          "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\nConnection: close\r\n\r\n", len);
      gboolean open = send_all (connection->fd, head, strlen (head));
      for (guint i = 0; open && i < server->chunks_n && i < server->chunks_until_stop; i++)
        {
          gsize from = len * i / server->chunks_n;
          gsize to = len * (i + 1) / server->chunks_n;
          g_usleep (CHUNK_INTERVAL_MS * 1000);
          open = send_all (connection->fd, body + from, to - from);
        }
    }
  while (recv (connection->fd, request, sizeof request, 0) > 0)
    ;
  close (connection->fd);
  g_free (connection);
  return NULL;
}

static gpointer
accept_connections (gpointer data)
{
  Server *server = data;
  int fd = -1;
  while ((fd = accept (server->listener, NULL, NULL)) >= 0)
    {
      Connection *connection = g_new0 (Connection, 1);
      connection->server = server;
      connection->fd = fd;
      g_thread_unref (g_thread_new ("connection", serve_connection, connection));
    }
  return NULL;
}

/* Takes ownership of BODY. The server is never freed, because its threads may still use it. */
static Server *
server_new (GBytes *body, guint chunks_n, guint chunks_until_stop)
{
  Server *server = g_new0 (Server, 1);
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server->listener = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_TRUE_FATAL (server->listener >= 0
                        && bind (server->listener, (struct sockaddr *) &address, sizeof address)
                               == 0
                        && getsockname (server->listener, (struct sockaddr *) &address, &len) == 0
                        && listen (server->listener, 8) == 0);
  server->address = g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
  server->body = body;
  server->chunks_n = chunks_n;
  server->chunks_until_stop = chunks_until_stop;
  server->thread = g_thread_new ("server", accept_connections, server);
  return server;
}

/* ---- one call -------------------------------------------------------------------- */

typedef struct
{
  gboolean done;
  FbHttpStatus status;
  gboolean sent;
  gsize bytes;
  uint64_t elapsed_ms;
  uint64_t started_ms;
} Result;

static void
on_done (gpointer user, const FbHttpReply *reply)
{
  Result *result = user;
  result->done = TRUE;
  result->status = reply->status;
  result->sent = reply->sent;
  result->bytes = reply->body != NULL ? g_bytes_get_size (reply->body) : 0;
  result->elapsed_ms = fb_clock_ms () - result->started_ms;
}

/* BODY: consumed; NULL for a GET request. */
static Result
call_with (const Server *server, GBytes *body)
{
  FbHttpClient *client = fb_http_client_new ();
  FbHttpCall call = { .method = body != NULL ? "POST" : "GET",
                      .idempotent = TRUE,
                      .traffic = FB_TRAFFIC_APPENDS,
                      .url = g_strdup_printf ("http://%s/", server->address),
                      .content_type = body != NULL ? "application/octet-stream" : NULL,
                      .body = body,
                      .idle_timeout_ms = IDLE_TIMEOUT_MS };
  Result result = { .started_ms = fb_clock_ms () };
  fb_http_client_exchange (client, &call, CALL_TIMEOUT_MS, on_done, &result);
  fb_http_call_clear (&call);
  while (!result.done && fb_clock_ms () < result.started_ms + TEST_TIMEOUT_MS)
    g_main_context_iteration (NULL, TRUE);
  fb_http_client_free (client);
  return result;
}

static Result
call_once (const Server *server)
{
  return call_with (server, NULL);
}

/* The bytes of a call, headers and bodies, are counted under its kind and under no other. */
static void
test_bytes_are_counted_by_kind (void)
{
  Server *server = server_new (g_bytes_new_take (g_malloc0 (24000), 24000), 1, G_MAXUINT);
  FbTrafficTotals before;
  FbTrafficTotals after;
  fb_traffic_totals (&before);
  Result result = call_with (server, g_bytes_new_take (g_malloc0 (1000), 1000));
  fb_traffic_totals (&after);
  CU_ASSERT_TRUE_FATAL (result.done);
  for (guint i = 0; i < FB_TRAFFIC_N; i++)
    {
      uint64_t sent = after.sent_bytes[i] - before.sent_bytes[i];
      uint64_t received = after.received_bytes[i] - before.received_bytes[i];
      gboolean counted = i == FB_TRAFFIC_APPENDS;
      CU_ASSERT_TRUE (counted ? sent > 1000 && sent < 1500 : sent == 0);
      CU_ASSERT_TRUE (counted ? received > 24000 && received < 24500 : received == 0);
    }
}

/* A daemon that was suspended must not send an order whose call has already timed out. */
static void
test_call_past_its_deadline_is_not_sent (void)
{
  Server *server = server_new (g_bytes_new_static ("{}", 2), 1, G_MAXUINT);
  FbHttpClient *client = fb_http_client_new ();
  FbHttpCall call = { .method = "POST",
                      .url = g_strdup_printf ("http://%s/", server->address),
                      .content_type = "application/json",
                      .body = g_bytes_new_static ("{}", 2) };
  Result result = { .started_ms = fb_clock_ms () };
  fb_http_client_exchange (client, &call, CALL_TIMEOUT_MS, on_done, &result);
  suspended_clock_add (2 * CALL_TIMEOUT_MS / 1000);
  uint64_t resumed_ms = fb_clock_ms ();
  while (!result.done && fb_clock_ms () < resumed_ms + TEST_TIMEOUT_MS)
    g_main_context_iteration (NULL, TRUE);
  CU_ASSERT_TRUE_FATAL (result.done);
  CU_ASSERT_EQUAL (result.status, FB_HTTP_UNREACHABLE);
  CU_ASSERT_FALSE (result.sent);
  CU_ASSERT_EQUAL (g_atomic_int_get (&server->calls_n), 0);
  fb_http_call_clear (&call);
  fb_http_client_free (client);
}

/* An answer that arrives over 0.6 s succeeds although the idle timeout is 0.2 s. */
static void
test_slow_answer_succeeds (void)
{
  Server *server = server_new (g_bytes_new_take (g_malloc0 (24000), 24000), 24, G_MAXUINT);
  Result result = call_once (server);
  CU_ASSERT_TRUE_FATAL (result.done);
  CU_ASSERT_EQUAL (result.status, FB_HTTP_OK);
  CU_ASSERT_EQUAL (result.bytes, 24000);
  CU_ASSERT_TRUE (result.elapsed_ms > 2 * IDLE_TIMEOUT_MS);
}

/* A connection that stops in the middle of an answer, or never answers, fails 0.2 s after the last
 * received bytes, long before the timeout of the whole call. */
static void
test_idle_timeout (void)
{
  static const guint stops[] = { 0, 4 };
  for (guint i = 0; i < G_N_ELEMENTS (stops); i++)
    {
      Server *server = server_new (g_bytes_new_take (g_malloc0 (24000), 24000), 24, stops[i]);
      Result result = call_once (server);
      CU_ASSERT_TRUE_FATAL (result.done);
      CU_ASSERT_EQUAL (result.status, FB_HTTP_TIMEOUT);
      CU_ASSERT_TRUE (result.elapsed_ms >= IDLE_TIMEOUT_MS);
      CU_ASSERT_TRUE (result.elapsed_ms < CALL_TIMEOUT_MS / 2);
    }
}

/* A daemon that has to call all workers itself must not use up its file descriptors: calls beyond
 * the limit are certainly not sent, and others may follow when open ones have ended. */
static void
test_calls_beyond_the_limit_are_not_sent (void)
{
  Server *server = server_new (g_bytes_new_take (g_malloc0 (24000), 24000), 24, G_MAXUINT);
  FbHttpClient *client = fb_http_client_new ();
  Result results[4] = { { 0 } };
  fb_http_client_set_calls_max (client, 2);
  for (guint i = 0; i < 4; i++)
    {
      FbHttpCall call = { .method = "GET",
                          .idempotent = TRUE,
                          .url = g_strdup_printf ("http://%s/", server->address) };
      results[i].started_ms = fb_clock_ms ();
      fb_http_client_exchange (client, &call, TEST_TIMEOUT_MS, on_done, &results[i]);
      fb_http_call_clear (&call);
      CU_ASSERT_EQUAL (fb_http_client_is_full (client), i == 1 || i == 2);
      while (i == 2 && !(results[0].done && results[1].done && results[2].done))
        g_main_context_iteration (NULL, TRUE);
    }
  while (!results[3].done)
    g_main_context_iteration (NULL, TRUE);
  CU_ASSERT_EQUAL (results[2].status, FB_HTTP_UNREACHABLE);
  CU_ASSERT_EQUAL (results[0].status, FB_HTTP_OK);
  CU_ASSERT_EQUAL (results[3].status, FB_HTTP_OK);
  CU_ASSERT_EQUAL (g_atomic_int_get (&server->calls_n), 3);
  fb_http_client_free (client);
}

/* Freeing a client with an open call also removes its timers and callbacks. */
static void
test_client_freed_with_an_open_call (void)
{
  Server *server = server_new (g_bytes_new_take (g_malloc0 (24000), 24000), 24, 0);
  FbHttpClient *client = fb_http_client_new ();
  FbHttpCall call = { .method = "GET",
                      .idempotent = TRUE,
                      .url = g_strdup_printf ("http://%s/", server->address),
                      .idle_timeout_ms = IDLE_TIMEOUT_MS };
  Result result = { .started_ms = fb_clock_ms () };
  fb_http_client_exchange (client, &call, CALL_TIMEOUT_MS, on_done, &result);
  fb_http_call_clear (&call);
  fb_http_client_free (client);
  while (fb_clock_ms () < result.started_ms + 2 * IDLE_TIMEOUT_MS)
    {
      g_main_context_iteration (NULL, FALSE);
      g_usleep (1000);
    }
  CU_ASSERT_FALSE (result.done);
}

/* A cancelled call gets no callback, and other calls of the client are unaffected. */
static void
test_call_is_cancelled (void)
{
  Server *server = server_new (g_bytes_new_take (g_malloc0 (24000), 24000), 4, G_MAXUINT);
  FbHttpClient *client = fb_http_client_new ();
  FbHttpCall call = { .method = "GET",
                      .idempotent = TRUE,
                      .url = g_strdup_printf ("http://%s/", server->address),
                      .idle_timeout_ms = IDLE_TIMEOUT_MS };
  Result cancelled = { .started_ms = fb_clock_ms () };
  Result other = { .started_ms = fb_clock_ms () };
  fb_http_client_exchange (client, &call, CALL_TIMEOUT_MS, on_done, &cancelled);
  while (g_atomic_int_get (&server->calls_n) == 0
         && fb_clock_ms () < other.started_ms + TEST_TIMEOUT_MS)
    g_main_context_iteration (NULL, TRUE);
  fb_http_client_exchange (client, &call, CALL_TIMEOUT_MS, on_done, &other);
  fb_http_client_cancel (client, &cancelled);
  while (!other.done && fb_clock_ms () < other.started_ms + TEST_TIMEOUT_MS)
    g_main_context_iteration (NULL, TRUE);
  fb_http_call_clear (&call);
  CU_ASSERT_TRUE (other.done);
  CU_ASSERT_EQUAL (other.status, FB_HTTP_OK);
  CU_ASSERT_FALSE (cancelled.done);
  fb_http_client_free (client);
}

static FbHttpClient *cancelling_client;

static void
on_done_cancel (gpointer user, const FbHttpReply *reply)
{
  on_done (user, reply);
  fb_http_client_cancel (cancelling_client, user);
}

/* A callback may cancel the calls of its own user, as a topic reader does when its listing is
 * complete. Such a call was once freed twice, and every daemon that took over a pool crashed. */
static void
test_callback_cancels_its_calls (void)
{
  static const guint stops[] = { 0, G_MAXUINT };
  for (guint i = 0; i < G_N_ELEMENTS (stops); i++)
    {
      Server *server = server_new (g_bytes_new_take (g_malloc0 (24000), 24000), 4, stops[i]);
      cancelling_client = fb_http_client_new ();
      FbHttpCall call = { .method = "GET",
                          .idempotent = TRUE,
                          .url = g_strdup_printf ("http://%s/", server->address),
                          .idle_timeout_ms = IDLE_TIMEOUT_MS };
      Result result = { .started_ms = fb_clock_ms () };
      fb_http_client_exchange (cancelling_client, &call, CALL_TIMEOUT_MS, on_done_cancel, &result);
      fb_http_call_clear (&call);
      while (!result.done && fb_clock_ms () < result.started_ms + TEST_TIMEOUT_MS)
        g_main_context_iteration (NULL, TRUE);
      CU_ASSERT_TRUE (result.done);
      fb_http_client_free (cancelling_client);
    }
}

/* ---- memberships during a busy main loop ---------------------------------------------- */

#define TTL_MS 1000
#define BUSY_MS 1800

static void
start_renewals (FbKeepalive *keepalive, const Server *server, uint64_t last_renewal_sent_ms,
                uint64_t generation)
{
  FbHttpCall call = { .method = "GET",
                      .idempotent = TRUE,
                      .url = g_strdup_printf ("http://%s/", server->address) };
  fb_keepalive_set_renewal (keepalive, FB_MEMBERSHIP_OWNERS, &call, TTL_MS, last_renewal_sent_ms,
                            generation);
  fb_http_call_clear (&call);
}

/* A membership has to be renewed while the main loop is blocked. Otherwise, when an owner processes
 * a backlog, its renewals are delayed for longer than the time to live, and the store assigns the
 * pool to the next daemon, which has the same backlog. A service made no progress for the rest of
 * the day; 14 of 14 changes of owner occurred 1.1 to 1.35 s after the previous owner's last
 * join. */
static void
test_membership_is_renewed_while_the_loop_is_busy (void)
{
  Server *server = server_new (g_bytes_new_static ("{}", 2), 1, G_MAXUINT);
  FbKeepalive *keepalive = fb_keepalive_new ();
  uint64_t started_ms = fb_clock_ms ();
  start_renewals (keepalive, server, started_ms, 0);
  g_usleep (BUSY_MS * 1000);
  CU_ASSERT_TRUE (g_atomic_int_get (&server->calls_n) >= 2);
  CU_ASSERT_TRUE (fb_keepalive_renewed_ms (keepalive, FB_MEMBERSHIP_OWNERS) > started_ms);
  fb_keepalive_cancel (keepalive, FB_MEMBERSHIP_OWNERS);
  g_usleep (TTL_MS * 1000 / 4); /* a renewal may be in flight */
  gint calls_n = g_atomic_int_get (&server->calls_n);
  g_usleep (TTL_MS * 1000);
  CU_ASSERT_EQUAL (g_atomic_int_get (&server->calls_n), calls_n);
  fb_keepalive_free (keepalive);
}

/* When the time to live has expired before the first renewal, the store may have assigned the
 * partitions to another daemon and back, so the membership is not considered renewed. A membership
 * is not renewed indefinitely while the main loop hangs. */
static void
test_expired_membership_is_not_renewed (void)
{
  Server *server = server_new (g_bytes_new_static ("{}", 2), 1, G_MAXUINT);
  FbKeepalive *keepalive = fb_keepalive_new ();
  start_renewals (keepalive, server, fb_clock_ms () - 2 * TTL_MS, 0);
  g_usleep (4 * TTL_MS * 1000);
  CU_ASSERT_EQUAL (fb_keepalive_renewed_ms (keepalive, FB_MEMBERSHIP_OWNERS), 0);
  gint calls_n = g_atomic_int_get (&server->calls_n);
  CU_ASSERT_TRUE (calls_n >= 2);
  g_usleep (TTL_MS * 1000);
  CU_ASSERT_EQUAL (g_atomic_int_get (&server->calls_n), calls_n);
  fb_keepalive_free (keepalive);
}

/* A daemon whose main loop hung went on as the owner of partitions that had been assigned anew. */
static void
test_answer_of_another_generation_renews_nothing (void)
{
  static const char answer[] = "{\"generation\":5,\"parts\":[]}";
  for (uint64_t generation = 4; generation <= 5; generation++)
    {
      Server *server = server_new (g_bytes_new_static (answer, strlen (answer)), 1, G_MAXUINT);
      FbKeepalive *keepalive = fb_keepalive_new ();
      uint64_t started_ms = fb_clock_ms ();
      start_renewals (keepalive, server, started_ms, generation);
      g_usleep (BUSY_MS * 1000);
      CU_ASSERT_TRUE (g_atomic_int_get (&server->calls_n) >= 2);
      CU_ASSERT_EQUAL (fb_keepalive_renewed_ms (keepalive, FB_MEMBERSHIP_OWNERS) > started_ms,
                       generation == 5);
      fb_keepalive_free (keepalive);
    }
}

/* ---- a listing ---------------------------------------------------------------------- */

#define JOB_N 372
#define JOB_BYTES 1450
#define LISTING_CHUNKS 30

typedef struct
{
  guint records_n;
  gboolean listed;
} Listing;

static void
on_begin (gpointer user)
{
  (void) user;
}

static void
on_record (gpointer user, const FbStoreRecord *record)
{
  Listing *listing = user;
  listing->records_n += g_bytes_get_size (record->value) == JOB_BYTES;
}

static void
on_listed (gpointer user)
{
  ((Listing *) user)->listed = TRUE;
}

static const FbTopicReaderOps listing_ops = { on_begin, on_record, on_listed };

static GBytes *
jobs_page (gboolean more)
{
  guchar value[JOB_BYTES] = { 0 };
  g_autofree char *text = g_base64_encode (value, sizeof value);
  GString *page = g_string_new ("{\"items\":[");
  for (guint i = 0; i < JOB_N; i++)
    g_string_append_printf (page, "%s{\"key\":\"j%016u\",\"value\":\"%s\",\"offset\":%u}",
                            i > 0 ? "," : "", i, text, i);
  g_string_append_printf (page, "],\"has-more\":%s,\"end\":%u}", more ? "true" : "false", JOB_N);
  return g_string_free_to_bytes (page);
}

/* One call has to be sufficient for a listing that takes long over a slow link. A new owner with a
 * link of 10 Mbit/s listed 372 jobs, a page of 0.7 MB that takes 0.6 s. It timed out after 0.3 s
 * ("status=timeout after_ms=305") and after 0.6 s ("after_ms=601"), and succeeded at the third
 * attempt ("bytes=718348 after_ms=718"). For 2.2 s nothing was started, more than twice the time to
 * live of a membership, and longer with more jobs. */
static void
test_listing_over_a_slow_link (void)
{
  Server *server = server_new (jobs_page (FALSE), LISTING_CHUNKS, G_MAXUINT);
  FbEntrySettings settings = { .store = server->address };
  FbEntryDaemon entry = { .settings = &settings, .store_client = fb_http_client_new () };
  Listing listing = { 0 };
  uint64_t started_ms = fb_clock_ms ();
  FbTopicReader *reader = fb_topic_reader_new (&entry, FB_TOPIC_JOBS, 0, 0, &listing_ops, &listing);
  while (!listing.listed && fb_clock_ms () < started_ms + TEST_TIMEOUT_MS)
    g_main_context_iteration (NULL, TRUE);
  CU_ASSERT_TRUE (listing.listed);
  CU_ASSERT_EQUAL (listing.records_n, JOB_N);
  CU_ASSERT_EQUAL (g_atomic_int_get (&server->calls_n), 1);
  fb_topic_reader_free (reader);
  fb_http_client_free (entry.store_client);
}

/* A listing is only as recent as its first page; otherwise an accepted job may be reported as
 * unknown. A new owner listed jobs in several pages, and a job was stored after the first page had
 * been read, at a key that the first page had passed. The owner considered its list as recent as
 * the last page, and answered the caller before it had read the changes since the first page: the
 * job was accepted at 9.259 s, the listing took three pages until 9.416 s, and "no such job" was
 * answered at 9.425 s. */
static void
test_listing_is_as_old_as_its_first_page (void)
{
  Server *server = server_new (jobs_page (TRUE), LISTING_CHUNKS, G_MAXUINT);
  server->second_page = jobs_page (FALSE);
  FbEntrySettings settings = { .store = server->address };
  FbEntryDaemon entry = { .settings = &settings, .store_client = fb_http_client_new () };
  Listing listing = { 0 };
  uint64_t started_ms = fb_clock_ms ();
  FbTopicReader *reader = fb_topic_reader_new (&entry, FB_TOPIC_JOBS, 0, 0, &listing_ops, &listing);
  while (!listing.listed && fb_clock_ms () < started_ms + TEST_TIMEOUT_MS)
    g_main_context_iteration (NULL, TRUE);
  CU_ASSERT_EQUAL (listing.records_n, 2 * JOB_N);
  /* The time that the first page takes to arrive. */
  CU_ASSERT_TRUE (fb_topic_reader_synced_ms (reader)
                  < started_ms + LISTING_CHUNKS * CHUNK_INTERVAL_MS);
  fb_topic_reader_free (reader);
  fb_http_client_free (entry.store_client);
}

int
main (void)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("http", NULL, NULL);
  CU_add_test (suite, "bytes are counted by kind", test_bytes_are_counted_by_kind);
  CU_add_test (suite, "a call past its deadline is not sent",
               test_call_past_its_deadline_is_not_sent);
  CU_add_test (suite, "a slow answer succeeds", test_slow_answer_succeeds);
  CU_add_test (suite, "idle timeout", test_idle_timeout);
  CU_add_test (suite, "calls beyond the limit are not sent",
               test_calls_beyond_the_limit_are_not_sent);
  CU_add_test (suite, "client freed with an open call", test_client_freed_with_an_open_call);
  CU_add_test (suite, "a call is cancelled", test_call_is_cancelled);
  CU_add_test (suite, "a callback cancels its calls", test_callback_cancels_its_calls);
  CU_add_test (suite, "membership is renewed while the loop is busy",
               test_membership_is_renewed_while_the_loop_is_busy);
  CU_add_test (suite, "an expired membership is not renewed",
               test_expired_membership_is_not_renewed);
  CU_add_test (suite, "answer of another generation renews nothing",
               test_answer_of_another_generation_renews_nothing);
  CU_add_test (suite, "listing over a slow link", test_listing_over_a_slow_link);
  CU_add_test (suite, "listing is as old as its first page",
               test_listing_is_as_old_as_its_first_page);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
