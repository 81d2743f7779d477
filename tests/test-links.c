/* Links between daemons, over loopback and in one process. */
#include "suspended-clock.h"
#include "test-ports.h"

#include "src/entry/peers/links.h"

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LONG_TIMEOUT_MS 2000
#define SHORT_TIMEOUT_MS 100
/* A few bodies of this size fill the socket buffers of a peer that does not read. */
#define LARGE_BYTES (1024 * 1024)

typedef struct
{
  guint done_n;
  guint answered_n;
  guint not_sent_n;
  guint lost_n;
  char last_body[64];
} Results;

static guint served_n;
static FbLinkCall
    *unanswered_call; /* the call with the body "keep", which is not answered immediately */

static void
serve (gpointer user, FbLinkCall *call, gconstpointer body, gsize len)
{
  (void) user;
  served_n++;
  if (len == 4 && memcmp (body, "keep", 4) == 0)
    {
      unanswered_call = call;
      return;
    }
  g_autoptr (GBytes) answer = g_bytes_new (body, len);
  fb_link_call_answer (call, answer);
}

static void
on_done (gpointer user, FbLinkResult result, gconstpointer body, gsize len)
{
  Results *results = user;
  results->done_n++;
  results->answered_n += result == FB_LINK_ANSWERED;
  results->not_sent_n += result == FB_LINK_NOT_SENT;
  results->lost_n += result == FB_LINK_LOST;
  if (result == FB_LINK_ANSWERED)
    g_snprintf (results->last_body, sizeof results->last_body, "%.*s", (int) len,
                (const char *) body);
}

static FbLinks *
links_at (const char *address)
{
  FbLinks *links = fb_links_new (address, serve, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (links);
  return links;
}

static void
call (FbLinks *links, const char *address, const char *text, uint32_t timeout_ms, Results *results)
{
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
  fb_links_call (links, address, body, timeout_ms, on_done, results);
}

static uint64_t
boottime_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (uint64_t) now.tv_sec * 1000 + (uint64_t) now.tv_nsec / 1000000;
}

static gboolean
on_check_timeouts (gpointer links)
{
  fb_links_check_timeouts (links, boottime_ms ());
  return G_SOURCE_CONTINUE;
}

/* Runs the loop until N calls are done, or for two seconds. */
static void
run_until (FbLinks *links, const Results *results, guint n)
{
  guint timer = g_timeout_add (5, on_check_timeouts, links);
  uint64_t until_ms = boottime_ms () + LONG_TIMEOUT_MS;
  while (results->done_n < n && boottime_ms () < until_ms)
    g_main_context_iteration (NULL, TRUE);
  g_source_remove (timer);
}

static void
test_answers_go_to_their_calls (void)
{
  g_autofree char *own_address = test_unused_address ();
  g_autofree char *peer_address = test_unused_address ();
  FbLinks *a = links_at (own_address);
  FbLinks *b = links_at (peer_address);
  Results first = { 0 };
  Results others = { 0 };
  call (a, peer_address, "keep", LONG_TIMEOUT_MS, &first);
  for (guint i = 0; i < 200; i++)
    call (a, peer_address, "other", LONG_TIMEOUT_MS, &others);
  run_until (a, &others, 200);
  CU_ASSERT_EQUAL (others.answered_n, 200);
  CU_ASSERT_STRING_EQUAL (others.last_body, "other");
  CU_ASSERT_EQUAL (first.done_n, 0);
  g_autoptr (GBytes) late_answer = g_bytes_new_static ("late", 4);
  fb_link_call_answer (unanswered_call, late_answer);
  run_until (a, &first, 1);
  CU_ASSERT_STRING_EQUAL (first.last_body, "late");
  fb_links_free (a);
  fb_links_free (b);
}

/* A peer's process does not run and its host refuses the connection.  The caller must be informed
 * immediately that nothing was sent, so that it can do the work itself. */
static void
test_connection_refused (void)
{
  g_autofree char *own_address = test_unused_address ();
  g_autofree char *peer_address = test_unused_address ();
  FbLinks *a = links_at (own_address);
  Results results = { 0 };
  uint64_t began_ms = boottime_ms ();
  call (a, peer_address, "x", LONG_TIMEOUT_MS, &results);
  run_until (a, &results, 1);
  CU_ASSERT_EQUAL (results.not_sent_n, 1);
  CU_ASSERT_TRUE (boottime_ms () < began_ms + LONG_TIMEOUT_MS / 2);
  fb_links_free (a);
}

/* A peer is killed after it has read calls.  They may have been executed, so their result is lost,
 * not unsent.  The next call reaches the new process at the same address. */
static void
test_peer_restarts (void)
{
  g_autofree char *own_address = test_unused_address ();
  g_autofree char *peer_address = test_unused_address ();
  FbLinks *a = links_at (own_address);
  FbLinks *b = links_at (peer_address);
  Results results = { 0 };
  served_n = 0;
  call (a, peer_address, "keep", LONG_TIMEOUT_MS, &results);
  uint64_t until_ms = boottime_ms () + LONG_TIMEOUT_MS;
  while (served_n == 0 && boottime_ms () < until_ms)
    g_main_context_iteration (NULL, TRUE);
  fb_links_free (b);
  run_until (a, &results, 1);
  CU_ASSERT_EQUAL (results.lost_n, 1);
  g_autoptr (GBytes) late_answer = g_bytes_new_static ("late", 4);
  fb_link_call_answer (unanswered_call, late_answer); /* its connection is closed */
  b = links_at (peer_address);
  call (a, peer_address, "again", LONG_TIMEOUT_MS, &results);
  run_until (a, &results, 2);
  CU_ASSERT_EQUAL (results.answered_n, 1);
  fb_links_free (a);
  fb_links_free (b);
}

/* Returns: the listening socket of a peer.  ADDRESS: (transfer full): where it listens. */
static int
listen_as_peer (char **address)
{
  uint16_t port = 0;
  int listener = test_socket_at (&port);
  CU_ASSERT_TRUE_FATAL (listener >= 0 && listen (listener, 8) == 0);
  *address = g_strdup_printf ("127.0.0.1:%u", port);
  return listener;
}

/* A connection stops delivering data: writes succeed and nothing is received.  The first call that
 * times out detects it, and the next call has to use a new connection. */
static void
test_silent_connection_is_closed (void)
{
  g_autofree char *peer_address = NULL;
  int listener = listen_as_peer (&peer_address);
  g_autofree char *own_address = test_unused_address ();
  FbLinks *a = links_at (own_address);
  Results results = { 0 };
  call (a, peer_address, "x", SHORT_TIMEOUT_MS, &results);
  call (a, peer_address, "y", LONG_TIMEOUT_MS, &results);
  int first = accept (listener, NULL, NULL);
  run_until (a, &results, 2);
  CU_ASSERT_EQUAL (results.lost_n, 2);
  call (a, peer_address, "z", SHORT_TIMEOUT_MS, &results);
  g_main_context_iteration (NULL, FALSE);
  int second = accept (listener, NULL, NULL);
  CU_ASSERT_TRUE (second >= 0 && second != first);
  close (first);
  close (second);
  close (listener);
  fb_links_free (a);
}

static void
answer_first_call (int fd)
{
  const uint32_t frame[] = { htonl (8), htonl (1), htonl (2) };
  CU_ASSERT_EQUAL (send (fd, frame, sizeof frame, 0), sizeof frame);
}

/* A call that times out before it is written is lost, not unsent, because its bytes may still be
 * written.  A peer that was requested to store a job read slowly; the call timed out and was
 * reported as not sent, but its bytes were written later and reached the peer: the caller was
 * informed that its job was not stored, and the job ran. */
static void
test_timed_out_before_it_is_written (void)
{
  g_autofree char *peer_address = NULL;
  int listener = listen_as_peer (&peer_address);
  g_autofree char *own_address = test_unused_address ();
  g_autofree char *large = g_strnfill (LARGE_BYTES, 'b');
  FbLinks *a = links_at (own_address);
  Results before = { 0 };
  Results results = { 0 };
  for (guint i = 0; i < 6; i++)
    call (a, peer_address, large, 10 * LONG_TIMEOUT_MS, &before);
  int peer = accept (listener, NULL, NULL);
  for (guint i = 0; i < 20; i++)
    g_main_context_iteration (NULL, FALSE);
  call (a, peer_address, "x", SHORT_TIMEOUT_MS, &results);
  g_usleep (SHORT_TIMEOUT_MS * 1000
            / 4); /* so that the peer's answer arrives after the call was sent */
  answer_first_call (peer);
  run_until (a, &before, 1);
  run_until (a, &results, 1);
  CU_ASSERT_EQUAL (before.answered_n, 1);
  CU_ASSERT_EQUAL (results.not_sent_n, 0);
  CU_ASSERT_EQUAL (results.lost_n, 1);
  close (peer);
  close (listener);
  fb_links_free (a);
}

/* A client with another protocol connects to the port of the links: its connection is closed, and
 * peers are still served. */
static void
test_other_protocols_are_rejected (void)
{
  g_autofree char *own_address = test_unused_address ();
  g_autofree char *peer_address = test_unused_address ();
  FbLinks *a = links_at (own_address);
  FbLinks *b = links_at (peer_address);
  struct sockaddr_in address = { .sin_family = AF_INET };
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t) atoi (strchr (peer_address, ':') + 1));
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  CU_ASSERT_EQUAL (send (fd, "GET / HTTP/1.1\r\n\r\n", 18, 0), 18);
  Results results = { 0 };
  call (a, peer_address, "x", LONG_TIMEOUT_MS, &results);
  run_until (a, &results, 1);
  CU_ASSERT_EQUAL (results.answered_n, 1);
  char byte = 0;
  CU_ASSERT_TRUE (recv (fd, &byte, 1, 0) <= 0);
  close (fd);
  fb_links_free (a);
  fb_links_free (b);
}

/* A daemon that was suspended must not send an order whose call has already timed out. */
static void
test_expired_call_is_not_sent (void)
{
  g_autofree char *own_address = test_unused_address ();
  g_autofree char *peer_address = test_unused_address ();
  FbLinks *a = links_at (own_address);
  FbLinks *b = links_at (peer_address);
  Results first = { 0 };
  Results results = { 0 };
  call (a, peer_address, "x", LONG_TIMEOUT_MS, &first);
  run_until (a, &first, 1);
  guint served_before_n = served_n;
  call (a, peer_address, "y", SHORT_TIMEOUT_MS, &results);
  suspended_clock_add (1);
  run_until (a, &results, 1);
  CU_ASSERT_EQUAL (results.not_sent_n, 1);
  Results final_call = { 0 };
  call (a, peer_address, "z", LONG_TIMEOUT_MS, &final_call);
  run_until (a, &final_call, 1);
  CU_ASSERT_EQUAL (final_call.answered_n, 1);
  CU_ASSERT_EQUAL (served_n, served_before_n + 1);
  fb_links_free (a);
  fb_links_free (b);
}

/* Guards against an owner that takes an answer for missing which waits in its own socket. */
static void
test_received_answer_is_read_before_the_timeout (void)
{
  g_autofree char *peer_address = NULL;
  int listener = listen_as_peer (&peer_address);
  g_autofree char *own_address = test_unused_address ();
  FbLinks *a = links_at (own_address);
  Results results = { 0 };
  call (a, peer_address, "x", SHORT_TIMEOUT_MS, &results);
  int peer = accept (listener, NULL, NULL);
  for (guint i = 0; i < 20; i++)
    g_main_context_iteration (NULL, FALSE);
  answer_first_call (peer);
  g_usleep (2 * SHORT_TIMEOUT_MS * 1000);
  fb_links_check_timeouts (a, boottime_ms ());
  CU_ASSERT_EQUAL (results.answered_n, 1);
  CU_ASSERT_EQUAL (results.lost_n, 0);
  close (peer);
  close (listener);
  fb_links_free (a);
}

int
main (void)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("links", NULL, NULL);
  CU_add_test (suite, "answers go to their calls", test_answers_go_to_their_calls);
  CU_add_test (suite, "connection refused", test_connection_refused);
  CU_add_test (suite, "peer restarts", test_peer_restarts);
  CU_add_test (suite, "silent connection is closed", test_silent_connection_is_closed);
  CU_add_test (suite, "timed out before it is written", test_timed_out_before_it_is_written);
  CU_add_test (suite, "an expired call is not sent", test_expired_call_is_not_sent);
  CU_add_test (suite, "a received answer is read before the timeout",
               test_received_answer_is_read_before_the_timeout);
  CU_add_test (suite, "other protocols are rejected", test_other_protocols_are_rejected);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
