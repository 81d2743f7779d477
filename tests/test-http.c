/* Calls over HTTP to a store whose answers come slowly, or stop coming. */
#include "suspended-clock.h"

#include "src/entry/entry-private.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PIECE_MS 25
#define SILENCE_MS 200
#define WHOLE_MS 5000
#define PATIENCE_MS 8000

/* A server in a thread: one call a connection, its answer in pieces at an even pace. */
typedef struct
{
  int listener;
  char *address;
  GBytes *body;
  GBytes *rest; /* the second page of a listing; NULL: there is none */
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
  ssize_t n = recv (talk->fd, request, sizeof request - 1, 0);
  request[MAX (n, 0)] = '\0';
  gboolean goes_on = store->rest != NULL && strstr (request, "after=") != NULL;
  const char *body = g_bytes_get_data (goes_on ? store->rest : store->body, &len);
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

/* ---- one call -------------------------------------------------------------------- */

typedef struct
{
  gboolean done;
  FbHttpStatus status;
  gboolean sent;
  gsize bytes;
  uint64_t after_ms;
  uint64_t began_ms;
} Seen;

static void
on_done (gpointer user, const FbHttpReply *reply)
{
  Seen *seen = user;
  seen->done = TRUE;
  seen->status = reply->status;
  seen->sent = reply->sent;
  seen->bytes = reply->body != NULL ? g_bytes_get_size (reply->body) : 0;
  seen->after_ms = fb_clock_ms () - seen->began_ms;
}

/* BODY: consumed; NULL: none. */
static Seen
call_with (const Store *store, GBytes *body)
{
  FbHttpClient *client = fb_http_client_new ();
  FbHttpCall call = { .method = body != NULL ? "POST" : "GET",
                      .idempotent = TRUE,
                      .traffic = FB_TRAFFIC_APPENDS,
                      .url = g_strdup_printf ("http://%s/", store->address),
                      .content_type = body != NULL ? "application/octet-stream" : NULL,
                      .body = body,
                      .idle_timeout_ms = SILENCE_MS };
  Seen seen = { .began_ms = fb_clock_ms () };
  fb_http_client_exchange (client, &call, WHOLE_MS, on_done, &seen);
  fb_http_call_clear (&call);
  while (!seen.done && fb_clock_ms () < seen.began_ms + PATIENCE_MS)
    g_main_context_iteration (NULL, TRUE);
  fb_http_client_free (client);
  return seen;
}

static Seen
call_once (const Store *store)
{
  return call_with (store, NULL);
}

/* What a call puts on the network link is counted, headers and bodies, under its kind alone. */
static void
test_bytes_are_counted_by_kind (void)
{
  Store *store = store_new (g_bytes_new_take (g_malloc0 (24000), 24000), 1, G_MAXUINT);
  FbTrafficTotals before;
  FbTrafficTotals after;
  fb_traffic_totals (&before);
  Seen seen = call_with (store, g_bytes_new_take (g_malloc0 (1000), 1000));
  fb_traffic_totals (&after);
  CU_ASSERT_TRUE_FATAL (seen.done);
  for (guint i = 0; i < FB_TRAFFIC_N; i++)
    {
      uint64_t sent = after.sent_bytes[i] - before.sent_bytes[i];
      uint64_t received = after.received_bytes[i] - before.received_bytes[i];
      gboolean counted = i == FB_TRAFFIC_APPENDS;
      CU_ASSERT_TRUE (counted ? sent > 1000 && sent < 1500 : sent == 0);
      CU_ASSERT_TRUE (counted ? received > 24000 && received < 24500 : received == 0);
    }
}

/* Guards against: a daemon that was suspended sends an order that its caller has given up. */
static void
test_an_overdue_call_is_not_sent (void)
{
  Store *store = store_new (g_bytes_new_static ("{}", 2), 1, G_MAXUINT);
  FbHttpClient *client = fb_http_client_new ();
  FbHttpCall call = { .method = "POST",
                      .url = g_strdup_printf ("http://%s/", store->address),
                      .content_type = "application/json",
                      .body = g_bytes_new_static ("{}", 2) };
  Seen seen = { .began_ms = fb_clock_ms () };
  fb_http_client_exchange (client, &call, WHOLE_MS, on_done, &seen);
  suspended_clock_add (2 * WHOLE_MS / 1000);
  uint64_t woke_ms = fb_clock_ms ();
  while (!seen.done && fb_clock_ms () < woke_ms + PATIENCE_MS)
    g_main_context_iteration (NULL, TRUE);
  CU_ASSERT_TRUE_FATAL (seen.done);
  CU_ASSERT_EQUAL (seen.status, FB_HTTP_UNREACHABLE);
  CU_ASSERT_FALSE (seen.sent);
  CU_ASSERT_EQUAL (g_atomic_int_get (&store->calls_n), 0);
  fb_http_call_clear (&call);
  fb_http_client_free (client);
}

/* An answer that comes for 0.6 s is waited for, though the limit on silence is 0.2 s. */
static void
test_a_slow_answer_is_waited_for (void)
{
  Store *store = store_new (g_bytes_new_take (g_malloc0 (24000), 24000), 24, G_MAXUINT);
  Seen seen = call_once (store);
  CU_ASSERT_TRUE_FATAL (seen.done);
  CU_ASSERT_EQUAL (seen.status, FB_HTTP_OK);
  CU_ASSERT_EQUAL (seen.bytes, 24000);
  CU_ASSERT_TRUE (seen.after_ms > 2 * SILENCE_MS);
}

/* A connection that falls silent amid an answer is given up 0.2 s after its last bytes, long
 * before the limit on the whole; so is one that never answers. */
static void
test_silence_is_given_up (void)
{
  static const guint stops[] = { 0, 4 };
  for (guint i = 0; i < G_N_ELEMENTS (stops); i++)
    {
      Store *store = store_new (g_bytes_new_take (g_malloc0 (24000), 24000), 24, stops[i]);
      Seen seen = call_once (store);
      CU_ASSERT_TRUE_FATAL (seen.done);
      CU_ASSERT_EQUAL (seen.status, FB_HTTP_TIMEOUT);
      CU_ASSERT_TRUE (seen.after_ms >= SILENCE_MS);
      CU_ASSERT_TRUE (seen.after_ms < WHOLE_MS / 2);
    }
}

/* A client that goes with a call open leaves nothing behind that would still run. */
static void
test_client_goes_with_a_call_open (void)
{
  Store *store = store_new (g_bytes_new_take (g_malloc0 (24000), 24000), 24, 0);
  FbHttpClient *client = fb_http_client_new ();
  FbHttpCall call = { .method = "GET",
                      .idempotent = TRUE,
                      .url = g_strdup_printf ("http://%s/", store->address),
                      .idle_timeout_ms = SILENCE_MS };
  Seen seen = { .began_ms = fb_clock_ms () };
  fb_http_client_exchange (client, &call, WHOLE_MS, on_done, &seen);
  fb_http_call_clear (&call);
  fb_http_client_free (client);
  while (fb_clock_ms () < seen.began_ms + 2 * SILENCE_MS)
    {
      g_main_context_iteration (NULL, FALSE);
      g_usleep (1000);
    }
  CU_ASSERT_FALSE (seen.done);
}

/* A call that is dropped is told of no more, and the next one is as any. */
static void
test_a_call_is_dropped (void)
{
  Store *store = store_new (g_bytes_new_take (g_malloc0 (24000), 24000), 4, G_MAXUINT);
  FbHttpClient *client = fb_http_client_new ();
  FbHttpCall call = { .method = "GET",
                      .idempotent = TRUE,
                      .url = g_strdup_printf ("http://%s/", store->address),
                      .idle_timeout_ms = SILENCE_MS };
  Seen dropped = { .began_ms = fb_clock_ms () };
  Seen kept = { .began_ms = fb_clock_ms () };
  fb_http_client_exchange (client, &call, WHOLE_MS, on_done, &dropped);
  while (g_atomic_int_get (&store->calls_n) == 0 && fb_clock_ms () < kept.began_ms + PATIENCE_MS)
    g_main_context_iteration (NULL, TRUE);
  fb_http_client_exchange (client, &call, WHOLE_MS, on_done, &kept);
  fb_http_client_cancel (client, &dropped);
  while (!kept.done && fb_clock_ms () < kept.began_ms + PATIENCE_MS)
    g_main_context_iteration (NULL, TRUE);
  fb_http_call_clear (&call);
  CU_ASSERT_TRUE (kept.done);
  CU_ASSERT_EQUAL (kept.status, FB_HTTP_OK);
  CU_ASSERT_FALSE (dropped.done);
  fb_http_client_free (client);
}

static FbHttpClient *dropping;

static void
on_done_drop (gpointer user, const FbHttpReply *reply)
{
  on_done (user, reply);
  fb_http_client_cancel (dropping, user);
}

/* A reader that goes when its listing is complete drops its calls while it is told of one: the
 * call was freed twice, and every daemon that took a pool over crashed. */
static void
test_who_is_told_drops (void)
{
  static const guint stops[] = { 0, G_MAXUINT };
  for (guint i = 0; i < G_N_ELEMENTS (stops); i++)
    {
      Store *store = store_new (g_bytes_new_take (g_malloc0 (24000), 24000), 4, stops[i]);
      dropping = fb_http_client_new ();
      FbHttpCall call = { .method = "GET",
                          .idempotent = TRUE,
                          .url = g_strdup_printf ("http://%s/", store->address),
                          .idle_timeout_ms = SILENCE_MS };
      Seen seen = { .began_ms = fb_clock_ms () };
      fb_http_client_exchange (dropping, &call, WHOLE_MS, on_done_drop, &seen);
      fb_http_call_clear (&call);
      while (!seen.done && fb_clock_ms () < seen.began_ms + PATIENCE_MS)
        g_main_context_iteration (NULL, TRUE);
      CU_ASSERT_TRUE (seen.done);
      fb_http_client_free (dropping);
    }
}

/* ---- memberships beside a busy loop --------------------------------------------------- */

#define TTL_MS 1000
#define BUSY_MS 1800

static void
renew (FbKeepalive *keepalive, const Store *store, uint64_t ok_sent_ms)
{
  FbHttpCall call = { .method = "GET",
                      .idempotent = TRUE,
                      .url = g_strdup_printf ("http://%s/", store->address) };
  fb_keepalive_renewing (keepalive, FB_MEMBERSHIP_OWNERS, &call, TTL_MS, ok_sent_ms);
  fb_http_call_clear (&call);
}

/* One service stood still for the rest of the day.  Its owner worked through a backlog, its joins
 * waited behind that for longer than its time to live, and the store dealt the pool to the next
 * daemon, which had the same backlog.  Evidence: 14 of 14 changes of owner 1.1 to 1.35 s after the
 * last join of the one before.  The loop is away here, and the join is repeated all the same. */
static void
test_membership_is_kept_beside_a_busy_loop (void)
{
  Store *store = store_new (g_bytes_new_static ("{}", 2), 1, G_MAXUINT);
  FbKeepalive *keepalive = fb_keepalive_new ();
  uint64_t began_ms = fb_clock_ms ();
  renew (keepalive, store, began_ms);
  g_usleep (BUSY_MS * 1000);
  CU_ASSERT_TRUE (g_atomic_int_get (&store->calls_n) >= 2);
  CU_ASSERT_TRUE (fb_keepalive_renewed_ms (keepalive, FB_MEMBERSHIP_OWNERS) > began_ms);
  fb_keepalive_cancel (keepalive, FB_MEMBERSHIP_OWNERS);
  g_usleep (TTL_MS * 1000 / 4); /* a repeat may have been open */
  gint calls_n = g_atomic_int_get (&store->calls_n);
  g_usleep (TTL_MS * 1000);
  CU_ASSERT_EQUAL (g_atomic_int_get (&store->calls_n), calls_n);
  fb_keepalive_free (keepalive);
}

/* The time to live had run out before the first repeat: the store may have dealt the partitions on
 * and back, so nothing counts as kept.  And a loop that hangs is not kept for ever. */
static void
test_what_ran_out_is_not_kept (void)
{
  Store *store = store_new (g_bytes_new_static ("{}", 2), 1, G_MAXUINT);
  FbKeepalive *keepalive = fb_keepalive_new ();
  renew (keepalive, store, fb_clock_ms () - 2 * TTL_MS);
  g_usleep (4 * TTL_MS * 1000);
  CU_ASSERT_EQUAL (fb_keepalive_renewed_ms (keepalive, FB_MEMBERSHIP_OWNERS), 0);
  gint calls_n = g_atomic_int_get (&store->calls_n);
  CU_ASSERT_TRUE (calls_n >= 2);
  g_usleep (TTL_MS * 1000);
  CU_ASSERT_EQUAL (g_atomic_int_get (&store->calls_n), calls_n);
  fb_keepalive_free (keepalive);
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

/* Callers of a service saw nothing start for seconds after its owner had died.  The daemon that
 * was dealt the pool has a link of 10 Mbit/s; the pool's 372 jobs are a page of 0.7 MB, which
 * needs 0.6 s on it.  The page was given up after 0.3 s, then after 0.6 s, and came at the third
 * try: 2.2 s, more than twice what the store waits for a daemon, and the more jobs the longer.
 * Evidence: limit, silence and bytes of each try; "status=timeout after_ms=305", "after_ms=601",
 * "bytes=718348 after_ms=718".  One call has to do. */
static void
test_listing_over_a_thin_link (void)
{
  Store *store = store_new (jobs_page (FALSE), LISTING_PIECES, G_MAXUINT);
  FbEntrySettings settings = { .store = store->address };
  FbEntry entry = { .settings = &settings, .store_client = fb_http_client_new () };
  Listing listing = { 0 };
  uint64_t began_ms = fb_clock_ms ();
  FbTopicReader *follower
      = fb_topic_reader_new (&entry, FB_TOPIC_JOBS, 0, 0, &listing_ops, &listing);
  while (!listing.listed && fb_clock_ms () < began_ms + PATIENCE_MS)
    g_main_context_iteration (NULL, TRUE);
  CU_ASSERT_TRUE (listing.listed);
  CU_ASSERT_EQUAL (listing.records_n, JOB_N);
  CU_ASSERT_EQUAL (g_atomic_int_get (&store->calls_n), 1);
  fb_topic_reader_free (follower);
  fb_http_client_free (entry.store_client);
}

/* A caller whose job had been accepted was told that there is no such job.  A new owner listed more
 * jobs than a page holds; the job was stored behind what the first page had passed, and the caller
 * asked when the last page had come, before the changes since the first one were read.  The
 * owner took its jobs for as young as the last page.
 * Evidence: a job accepted at 9.259 s, the listing in three pages until 9.416 s, and the caller
 * told at 9.425 s that there is none.  A listing is as old as its first page. */
static void
test_listing_is_as_old_as_its_first_page (void)
{
  Store *store = store_new (jobs_page (TRUE), LISTING_PIECES, G_MAXUINT);
  store->rest = jobs_page (FALSE);
  FbEntrySettings settings = { .store = store->address };
  FbEntry entry = { .settings = &settings, .store_client = fb_http_client_new () };
  Listing listing = { 0 };
  uint64_t began_ms = fb_clock_ms ();
  FbTopicReader *follower
      = fb_topic_reader_new (&entry, FB_TOPIC_JOBS, 0, 0, &listing_ops, &listing);
  while (!listing.listed && fb_clock_ms () < began_ms + PATIENCE_MS)
    g_main_context_iteration (NULL, TRUE);
  CU_ASSERT_EQUAL (listing.records_n, 2 * JOB_N);
  /* The first page took this long to come. */
  CU_ASSERT_TRUE (fb_topic_reader_fresh_ms (follower) < began_ms + LISTING_PIECES * PIECE_MS);
  fb_topic_reader_free (follower);
  fb_http_client_free (entry.store_client);
}

int
main (void)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("http", NULL, NULL);
  CU_add_test (suite, "bytes are counted by kind", test_bytes_are_counted_by_kind);
  CU_add_test (suite, "an overdue call is not sent", test_an_overdue_call_is_not_sent);
  CU_add_test (suite, "a slow answer is waited for", test_a_slow_answer_is_waited_for);
  CU_add_test (suite, "silence is given up", test_silence_is_given_up);
  CU_add_test (suite, "client goes with a call open", test_client_goes_with_a_call_open);
  CU_add_test (suite, "a call is dropped", test_a_call_is_dropped);
  CU_add_test (suite, "who is told drops", test_who_is_told_drops);
  CU_add_test (suite, "membership is kept beside a busy loop",
               test_membership_is_kept_beside_a_busy_loop);
  CU_add_test (suite, "what ran out is not kept", test_what_ran_out_is_not_kept);
  CU_add_test (suite, "listing over a thin link", test_listing_over_a_thin_link);
  CU_add_test (suite, "listing is as old as its first page",
               test_listing_is_as_old_as_its_first_page);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
