/* Connections that the HTTP client keeps for reuse, at a server that keeps them open as well. */
#include "src/net/http-client.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALLS_N 6
#define CALL_TIMEOUT_MS 5000
#define TEST_TIMEOUT_US (5 * G_USEC_PER_SEC)
/* A call of this path is answered after some time. */
#define SLOW_PATH "/slow"
#define SLOW_ANSWER_US 300000

typedef struct
{
  int listener;
  char *address;
  gint open_n; /* open connections; atomic */
} Server;

typedef struct
{
  Server *server;
  int fd;
} Connection;

/* Answers each request, which arrives in one piece, until the client closes the connection. */
static gpointer
serve_connection (gpointer data)
{
  static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  Connection *connection = data;
  char request[4096];
  ssize_t n = 0;
  while ((n = recv (connection->fd, request, sizeof request - 1, 0)) > 0)
    {
      request[n] = '\0';
      if (strstr (request, SLOW_PATH) != NULL)
        g_usleep (SLOW_ANSWER_US);
      if (send (connection->fd, answer, strlen (answer), MSG_NOSIGNAL) < 0)
        break;
    }
  close (connection->fd);
  g_atomic_int_add (&connection->server->open_n, -1);
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
      g_atomic_int_inc (&server->open_n);
      g_thread_unref (g_thread_new ("connection", serve_connection, connection));
    }
  return NULL;
}

/* The server is never freed, because its threads may still use it. */
static Server *
server_new (void)
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
                        && listen (server->listener, CALLS_N) == 0);
  server->address = g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
  g_thread_unref (g_thread_new ("server", accept_connections, server));
  return server;
}

typedef struct
{
  guint done_n;
  guint ok_n;
  guint transmissions_n;
} Results;

static void
on_done (gpointer user, const FbHttpReply *reply)
{
  Results *results = user;
  results->done_n++;
  results->ok_n += reply->status == FB_HTTP_OK;
  results->transmissions_n += reply->transmissions;
}

static void
begin_call (FbHttpClient *client, const Server *server, const char *path, Results *results)
{
  FbHttpCall call = { .method = "GET",
                      .idempotent = TRUE,
                      .url = g_strdup_printf ("http://%s%s", server->address, path) };
  fb_http_client_exchange (client, &call, CALL_TIMEOUT_MS, on_done, results);
  fb_http_call_clear (&call);
}

static void
await_calls (const Results *results, guint n)
{
  gint64 until_us = g_get_monotonic_time () + TEST_TIMEOUT_US;
  while (results->done_n < n && g_get_monotonic_time () < until_us)
    g_main_context_iteration (NULL, TRUE);
  CU_ASSERT_EQUAL_FATAL (results->done_n, n);
}

static gboolean
reaches_open_n (Server *server, gint n)
{
  gint64 until_us = g_get_monotonic_time () + TEST_TIMEOUT_US;
  while (g_atomic_int_get (&server->open_n) != n && g_get_monotonic_time () < until_us)
    g_usleep (1000);
  return g_atomic_int_get (&server->open_n) == n;
}

/* Connections that a burst of calls has opened must not use up those that a server serves. */
static void
test_idle_connections_are_closed (void)
{
  Server *server = server_new ();
  FbHttpClient *client = fb_http_client_new ();
  Results results = { 0 };
  for (guint i = 0; i < CALLS_N; i++)
    begin_call (client, server, SLOW_PATH, &results);
  await_calls (&results, CALLS_N);
  CU_ASSERT_EQUAL (g_atomic_int_get (&server->open_n), CALLS_N);
  fb_http_client_close_idle (client, CALL_TIMEOUT_MS);
  g_usleep (20000);
  CU_ASSERT_EQUAL (g_atomic_int_get (&server->open_n), CALLS_N);
  fb_http_client_close_idle (client, 10);
  CU_ASSERT_TRUE (reaches_open_n (server, 0));
  fb_http_client_free (client);
}

/* A call after that is sent once, on a connection of its own. */
static void
test_call_after_idle_connections_were_closed (void)
{
  Server *server = server_new ();
  FbHttpClient *client = fb_http_client_new ();
  Results results = { 0 };
  begin_call (client, server, "/", &results);
  await_calls (&results, 1);
  g_usleep (20000);
  fb_http_client_close_idle (client, 10);
  CU_ASSERT_TRUE (reaches_open_n (server, 0));
  for (guint i = 0; i < CALLS_N; i++)
    begin_call (client, server, "/", &results);
  await_calls (&results, 1 + CALLS_N);
  CU_ASSERT_EQUAL (results.ok_n, 1 + CALLS_N);
  CU_ASSERT_EQUAL (results.transmissions_n, 1 + CALLS_N);
  fb_http_client_free (client);
}

/* A connection with an open call, new or used again, is not idle however long the call takes. */
static void
test_connection_with_an_open_call_stays (void)
{
  Server *server = server_new ();
  FbHttpClient *client = fb_http_client_new ();
  Results results = { 0 };
  for (guint round = 0; round < 2; round++)
    {
      begin_call (client, server, SLOW_PATH, &results);
      gint64 until_us = g_get_monotonic_time () + SLOW_ANSWER_US / 2;
      while (g_get_monotonic_time () < until_us)
        {
          g_main_context_iteration (NULL, FALSE);
          g_usleep (1000);
        }
      CU_ASSERT_EQUAL (results.done_n, round);
      fb_http_client_close_idle (client, 0);
      await_calls (&results, round + 1);
      CU_ASSERT_EQUAL (results.ok_n, round + 1);
    }
  CU_ASSERT_EQUAL (g_atomic_int_get (&server->open_n), 1);
  fb_http_client_free (client);
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("idle connections", NULL, NULL);
  CU_add_test (suite, "idle connections are closed", test_idle_connections_are_closed);
  CU_add_test (suite, "call after idle connections were closed",
               test_call_after_idle_connections_were_closed);
  CU_add_test (suite, "connection with an open call stays",
               test_connection_with_an_open_call_stays);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
