/* Runs a script of calls to one host over real connections and prints the result of each.
 *
 * A line "host WORD..." sets what the host does with the next call that it receives; any other line
 * makes a call. Connections are kept open and reused, as in a daemon. */
#include "platform/wire.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUEST_MAX_BYTES 4096
#define TIMEOUT_MS 2000
#define BODY_SEPARATOR "\r\n\r\n"

/* ---- the host ------------------------------------------------------------------ */

typedef enum
{
  HOST_ANSWERS,
  HOST_CLOSES,         /* reads the call and closes its connection without an answer */
  HOST_RESETS,         /* the same, with a TCP reset */
  HOST_STOPS_LISTENING /* reads the call, closes its connection and its listening socket */
} HostAction;

typedef struct
{
  HostAction action;
  guint code;
  char *reason;
} HostStep;

/* Runs in its own thread and serves one connection at a time. */
typedef struct
{
  int listener;
  char *address;
  GAsyncQueue *steps; /* of HostStep, one for each call */
  gint calls_n;       /* calls received completely; atomic */
  GThread *thread;
} Host;

static void
host_step_free (gpointer data)
{
  HostStep *step = data;
  g_free (step->reason);
  g_free (step);
}

/* Reads one call. Returns: FALSE when the connection was closed. */
static gboolean
read_call (int fd)
{
  char request[REQUEST_MAX_BYTES] = "";
  gsize len = 0;
  for (;;)
    {
      ssize_t n = recv (fd, request + len, sizeof request - 1 - len, 0);
      if (n <= 0)
        return FALSE;
      len += (gsize) n;
      request[len] = '\0';
      const char *end = strstr (request, BODY_SEPARATOR);
      const char *length = strstr (request, "Content-Length: ");
      if (end == NULL || length == NULL)
        continue;
      gsize whole = (gsize) (end - request) + strlen (BODY_SEPARATOR)
                    + (gsize) g_ascii_strtoull (length + strlen ("Content-Length: "), NULL, 10);
      if (len >= whole)
        return TRUE;
    }
}

static void
answer (int fd, const HostStep *step)
{
  g_autofree char *body = step->reason != NULL
                              ? g_strdup_printf ("{\"reason\":\"%s\"}", step->reason)
                              : g_strdup ("{}");
  g_autofree char *text = g_strdup_printf ("HTTP/1.1 %u X\r\nContent-Length: %zu\r\n\r\n%s",
                                           step->code, strlen (body), body);
  (void) send (fd, text, strlen (text), MSG_NOSIGNAL);
}

/* Returns: TRUE when the host is to stop listening. */
static gboolean
serve_connection (Host *host, int fd)
{
  HostAction action = HOST_ANSWERS;
  while (action == HOST_ANSWERS && read_call (fd))
    {
      HostStep *step = g_async_queue_pop (host->steps);
      action = step->action;
      g_atomic_int_inc (&host->calls_n);
      if (action == HOST_ANSWERS)
        answer (fd, step);
      host_step_free (step);
    }
  static const struct linger at_once = { 1, 0 };
  if (action == HOST_RESETS)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  if (action == HOST_STOPS_LISTENING)
    close (host->listener);
  close (fd);
  return action == HOST_STOPS_LISTENING;
}

static gpointer
run_host (gpointer data)
{
  Host *host = data;
  int fd = -1;
  while ((fd = accept (host->listener, NULL, NULL)) >= 0)
    {
      if (serve_connection (host, fd))
        break;
    }
  return NULL;
}

static Host *
host_new (void)
{
  Host *host = g_new0 (Host, 1);
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  host->steps = g_async_queue_new ();
  host->listener = socket (AF_INET, SOCK_STREAM, 0);
  if (bind (host->listener, (struct sockaddr *) &address, sizeof address) != 0
      || getsockname (host->listener, (struct sockaddr *) &address, &len) != 0
      || listen (host->listener, 1) != 0)
    g_error ("no port to listen on");
  host->address = g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
  host->thread = g_thread_new ("host", run_host, host);
  return host;
}

/* Queues the step that WORDS describe. Returns: FALSE when they describe none. */
static gboolean
host_add_step (Host *host, char **words)
{
  static const char *const names[] = { [HOST_ANSWERS] = "answers",
                                       [HOST_CLOSES] = "closes",
                                       [HOST_RESETS] = "resets",
                                       [HOST_STOPS_LISTENING] = "stops-listening" };
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      if (g_strcmp0 (words[1], names[i]) != 0)
        continue;
      HostStep *step = g_new0 (HostStep, 1);
      step->action = (HostAction) i;
      if (i == HOST_ANSWERS && words[2] != NULL)
        {
          step->code = (guint) g_ascii_strtoull (words[2], NULL, 10);
          step->reason = g_strdup (words[3]);
        }
      g_async_queue_push (host->steps, step);
      return TRUE;
    }
  return FALSE;
}

/* ---- calls ---------------------------------------------------------------------- */

static void
make_start (FbHttpCall *call, const char *address)
{
  const FbStartOrder order = { .worker = "i-1",
                               .address = address,
                               .epoch = 1,
                               .task = "0000000000000001.0.0.0",
                               .attempt = 1,
                               .payload = "x",
                               .checkpoint = "",
                               .deadline_ms = 1000 };
  fb_wire_start (call, &order);
}

static void
make_stop (FbHttpCall *call, const char *address)
{
  const FbStopOrder order = {
    .worker = "i-1", .address = address, .epoch = 1, .task = "0000000000000001.0.0.0", .attempt = 1
  };
  fb_wire_stop (call, &order);
}

static void
make_append (FbHttpCall *call, const char *address, const char *writer)
{
  g_autoptr (GByteArray) records = g_byte_array_new ();
  fb_wire_encode_record (records, "key", NULL);
  g_autoptr (GBytes) body = g_bytes_new (records->data, records->len);
  fb_wire_append (call, address, FB_TOPIC_JOBS, 0, body, writer, 1, 1);
}

static void
make_append_without_writer (FbHttpCall *call, const char *address)
{
  make_append (call, address, NULL);
}

static void
make_owner_append (FbHttpCall *call, const char *address)
{
  make_append (call, address, "writer");
}

static void
make_non_idempotent_start (FbHttpCall *call, const char *address)
{
  make_start (call, address);
  call->idempotent = FALSE;
}

static const char *
call_result (const FbHttpReply *reply)
{
  return reply->status == FB_HTTP_OK ? "answered" : "unanswered";
}

static const char *
order_result (const FbHttpReply *reply)
{
  uint64_t clock_ms = 0;
  return fb_order_result_name (fb_wire_parse_order_result (reply, &clock_ms));
}

static const char *
append_result (const FbHttpReply *reply)
{
  static const char *const names[] = { [FB_APPEND_STORED] = "stored",
                                       [FB_APPEND_NOT_STORED] = "not-stored",
                                       [FB_APPEND_IN_DOUBT] = "in-doubt",
                                       [FB_APPEND_FENCED] = "fenced",
                                       [FB_APPEND_OUT_OF_SEQUENCE] = "sequence",
                                       [FB_APPEND_INVALID] = "not-accepted" };
  return names[fb_wire_parse_append (reply)];
}

static const struct
{
  const char *name;
  void (*make) (FbHttpCall *call, const char *address);
  const char *(*result_of) (const FbHttpReply *reply);
} kinds[] = { { "start", make_start, order_result },
              { "stop", make_stop, order_result },
              { "non-idempotent-start", make_non_idempotent_start, call_result },
              { "append", make_append_without_writer, append_result },
              { "append-as-owner", make_owner_append, append_result } };

typedef struct
{
  const char *(*result_of) (const FbHttpReply *reply);
  const char *result;
} Result;

static void
on_reply (gpointer user, const FbHttpReply *reply)
{
  Result *outcome = user;
  outcome->result = outcome->result_of (reply);
}

/* Makes the call NAME. Returns: FALSE when there is none. */
static gboolean
make_call (FbHttpClient *client, Host *host, const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      if (!g_str_equal (name, kinds[i].name))
        continue;
      Result outcome = { .result_of = kinds[i].result_of };
      gint before = g_atomic_int_get (&host->calls_n);
      FbHttpCall call;
      kinds[i].make (&call, host->address);
      fb_http_client_exchange (client, &call, TIMEOUT_MS, on_reply, &outcome);
      fb_http_call_clear (&call);
      while (outcome.result == NULL)
        g_main_context_iteration (NULL, TRUE);
      printf ("%s: %s, transmissions received: %d\n", name, outcome.result,
              g_atomic_int_get (&host->calls_n) - before);
      return TRUE;
    }
  return FALSE;
}

int
main (int argc, char **argv)
{
  g_autofree char *text = NULL;
  if (argc != 2 || !g_file_get_contents (argv[1], &text, NULL, NULL))
    {
      fprintf (stderr, "usage: test-calls SCRIPT\n");
      return 2;
    }
  Host *host = host_new ();
  FbHttpClient *client = fb_http_client_new ();
  g_auto (GStrv) lines = g_strsplit (text, "\n", 0);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      if (*lines[i] == '\0' || *lines[i] == '#')
        continue;
      g_auto (GStrv) words = g_strsplit (lines[i], " ", 0);
      gboolean ok = g_str_equal (words[0], "host") ? host_add_step (host, words)
                                                   : make_call (client, host, words[0]);
      if (!ok)
        {
          fprintf (stderr, "line %u: unknown command: %s\n", i + 1, lines[i]);
          return 2;
        }
    }
  fb_http_client_free (client);
  return 0;
}
