/* Calls over HTTP to a store whose answers come slowly, or stop coming. */
#include "src/entry/entry-private.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PIECE_MS 25
#define PATIENCE_MS 8000

/* A server in a thread: one call a connection, its answer in pieces at an even pace. */
typedef struct
{
  int listener;
  char *address;
  GBytes *body;
  guint pieces;
  guint stop_after; /* pieces; then it falls silent, and keeps the connection open */
  gint calls_n;     /* atomic */
  GThread *thread;
} Store;

typedef struct
{
  Store *store;
  int fd;
} Talk;

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
talk (gpointer data)
{
  Talk *talk = data;
  Store *store = talk->store;
  char request[4096];
  gsize len = 0;
  const char *body = g_bytes_get_data (store->body, &len);
  ssize_t n = recv (talk->fd, request, sizeof request - 1, 0);
  request[MAX (n, 0)] = '\0';
  if (n > 0 && strstr (request, "/api/log-read") == NULL)
    {
      g_atomic_int_inc (&store->calls_n);
      g_autofree char *head = g_strdup_printf (
          "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\nConnection: close\r\n\r\n", len);
      gboolean open = send_all (talk->fd, head, strlen (head));
      for (guint i = 0; open && i < store->pieces && i < store->stop_after; i++)
        {
          gsize from = len * i / store->pieces;
          gsize to = len * (i + 1) / store->pieces;
          g_usleep (PIECE_MS * 1000);
          open = send_all (talk->fd, body + from, to - from);
        }
    }
  while (recv (talk->fd, request, sizeof request, 0) > 0)
    ;
  close (talk->fd);
  g_free (talk);
  return NULL;
}

static gpointer
serve (gpointer data)
{
  Store *store = data;
  int fd = -1;
  while ((fd = accept (store->listener, NULL, NULL)) >= 0)
    {
      Talk *next = g_new0 (Talk, 1);
      next->store = store;
      next->fd = fd;
      g_thread_unref (g_thread_new ("talk", talk, next));
    }
  return NULL;
}

/* Takes over BODY.  The server stays until the process ends, as threads may still talk. */
static Store *
store_new (GBytes *body, guint pieces, guint stop_after)
{
  Store *store = g_new0 (Store, 1);
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  store->listener = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_TRUE_FATAL (store->listener >= 0
                        && bind (store->listener, (struct sockaddr *) &address, sizeof address) == 0
                        && getsockname (store->listener, (struct sockaddr *) &address, &len) == 0
                        && listen (store->listener, 8) == 0);
  store->address = g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
  store->body = body;
  store->pieces = pieces;
  store->stop_after = stop_after;
  store->thread = g_thread_new ("store", serve, store);
  return store;
}

/* ---- a listing ---------------------------------------------------------------------- */

#define JOB_N 372
#define JOB_BYTES 1450
#define LISTING_PIECES 30

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

static const FbFollowerOps listing_ops = { on_begin, on_record, on_listed };

static GBytes *
jobs_page (void)
{
  guchar value[JOB_BYTES] = { 0 };
  g_autofree char *text = g_base64_encode (value, sizeof value);
  GString *page = g_string_new ("{\"items\":[");
  for (guint i = 0; i < JOB_N; i++)
    g_string_append_printf (page, "%s{\"key\":\"j%016u\",\"value\":\"%s\",\"offset\":%u}",
                            i > 0 ? "," : "", i, text, i);
  g_string_append_printf (page, "],\"has-more\":false,\"end\":%u}", JOB_N);
  return g_string_free_to_bytes (page);
}

/* Callers of a service saw nothing start for seconds after its owner had died.  The daemon that
 * was dealt the pool has a link of 10 Mbit/s; the pool's 372 jobs are a page of 0.7 MB, which
 * needs 0.6 s on it.  The page was given up after 0.3 s, then after 0.6 s, and came at the third
 * try: 2.2 s, more than twice what the store waits for a daemon, and the more jobs the longer.
 * Evidence: limit, silence and bytes of each try; "status=timeout after_ms=305", "after_ms=601",
 * "bytes=718348 after_ms=718".  One call has to do. */
static void
test_listing_over_a_thin_link (void)
{
  Store *store = store_new (jobs_page (), LISTING_PIECES, G_MAXUINT);
  FbEntrySettings settings = { .store = store->address };
  FbEntry entry = { .settings = &settings, .store_client = fb_http_client_new () };
  Listing listing = { 0 };
  uint64_t began_ms = fb_clock_ms ();
  FbFollower *follower = fb_follower_new (&entry, FB_TOPIC_JOBS, 0, 0, &listing_ops, &listing);
  while (!listing.listed && fb_clock_ms () < began_ms + PATIENCE_MS)
    g_main_context_iteration (NULL, TRUE);
  CU_ASSERT_TRUE (listing.listed);
  CU_ASSERT_EQUAL (listing.records_n, JOB_N);
  CU_ASSERT_EQUAL (g_atomic_int_get (&store->calls_n), 1);
  fb_follower_free (follower);
  fb_http_client_free (entry.store_client);
}

int
main (void)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("http", NULL, NULL);
  CU_add_test (suite, "listing over a thin link", test_listing_over_a_thin_link);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
