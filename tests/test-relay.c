/* Orders that other daemons relay over slow links: which payloads are sent, and how the utilization
 * of the link is reported. */
#include "test-ports.h"

#include "internal/codec.h"
#include "src/entry/entry-private.h"

#include <CUnit/Basic.h>
#include <libsoup/soup.h>
#include <string.h>

#define PAYLOAD_BYTES 1300
#define DOMAIN_N 5
#define DAEMON_N 18
#define JOBS_PER_S 12
#define TASKS_PER_JOB 14
#define SIMULATION_S 8

/* ---- how often a payload is sent ------------------------------------------------ */

static GPtrArray *
make_daemons (void)
{
  g_autoptr (GArray) rows = g_array_new (FALSE, TRUE, sizeof (FbPartitionOwner));
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < DAEMON_N; i++)
    {
      char *name = g_strdup_printf ("10.0.0.%u:7/z%u/120/1", i, i % DOMAIN_N);
      FbPartitionOwner row = { .member = name };
      g_ptr_array_add (names, name);
      g_array_append_val (rows, row);
    }
  GPtrArray *daemons = g_ptr_array_new_with_free_func (fb_daemon_free);
  fb_daemons_parse (daemons, rows);
  return daemons;
}

/* Returns: bytes of payloads that an owner on a link of LINK_KBIT_S sends in SIMULATION_S. */
static uint64_t
simulate_starts (uint32_t link_kbit_s)
{
  g_autoptr (GPtrArray) daemons = make_daemons ();
  FbPayloadDedup *dedup = fb_payload_dedup_new (link_kbit_s);
  uint64_t sent_bytes = 0;
  for (guint job = 0; job < SIMULATION_S * JOBS_PER_S; job++)
    {
      uint64_t now_ms = 100000 + job * 1000 / JOBS_PER_S;
      g_autofree char *payload = g_strdup_printf ("%0*u", PAYLOAD_BYTES, job);
      FbPayloadDigest digest;
      fb_payload_digest (payload, &digest);
      for (guint i = 0; i < TASKS_PER_JOB; i++)
        {
          g_autofree char *task = g_strdup_printf ("%016x.0.0.%u", job, i);
          g_autofree char *worker = g_strdup_printf ("i-%08x", (job * 31 + i) * 2654435761U);
          g_autofree char *domain = g_strdup_printf ("z%u", (job + i) % DOMAIN_N);
          gboolean is_constrained
              = fb_payload_dedup_link_is_constrained (dedup, PAYLOAD_BYTES, now_ms);
          g_autofree char *key
              = is_constrained ? fb_payload_dedup_relay_key (task) : g_strdup (worker);
          const FbDaemon *daemon = fb_relay_choose (daemons, domain, key, "", now_ms);
          if (!fb_payload_dedup_check_sent (dedup, daemon->address, &digest, now_ms))
            sent_bytes += PAYLOAD_BYTES;
        }
    }
  fb_payload_dedup_free (dedup);
  return sent_bytes;
}

/* Payloads may use half of a slow link; the rest is for traffic that must not be delayed.  On a
 * link of 2 Mbit/s, with one payload in each of 160 starts a second, payloads were 2.2 of the 2.7
 * Mbit/s sent, and the renewals of the owner's membership were queued for longer than its time to
 * live.  Three owners took over the pool from each other each 3 s, long-running tasks did not run
 * and seven of ten checks were dropped, while no processor was busy. */
static void
test_payloads_leave_half_of_a_slow_link (void)
{
  uint64_t undeduplicated_bytes
      = (uint64_t) SIMULATION_S * JOBS_PER_S * TASKS_PER_JOB * PAYLOAD_BYTES;
  CU_ASSERT_TRUE (undeduplicated_bytes * 8 / SIMULATION_S / 1000 > 1000);
  CU_ASSERT_TRUE (simulate_starts (2000) * 8 / SIMULATION_S / 1000 < 1000);
}

/* On a fast link the starts of a job are distributed by worker, because relaying each start costs a
 * daemon processor time. */
static void
test_fast_link_distributes_by_worker (void)
{
  CU_ASSERT_TRUE (simulate_starts (200000) > 2 * simulate_starts (2000));
  CU_ASSERT_EQUAL (simulate_starts (200000), simulate_starts (0));
}

/* ---- payload cache -------------------------------------------------------------------- */

/* The oldest payload is evicted, so that the cache does not exhaust the memory of a daemon. */
static void
test_the_oldest_payload_is_evicted (void)
{
  FbPayloadCache *cache = fb_payload_cache_new (3 * (PAYLOAD_BYTES + 1));
  FbPayloadDigest digests[4];
  for (guint i = 0; i < G_N_ELEMENTS (digests); i++)
    {
      g_autofree char *payload = g_strdup_printf ("%0*u", PAYLOAD_BYTES, i);
      fb_payload_digest (payload, &digests[i]);
      fb_payload_cache_put (cache, &digests[i], payload);
      fb_payload_cache_put (cache, &digests[i], payload);
    }
  CU_ASSERT_PTR_NULL (fb_payload_cache_get (cache, &digests[0]));
  for (guint i = 1; i < G_N_ELEMENTS (digests); i++)
    CU_ASSERT_PTR_NOT_NULL (fb_payload_cache_get (cache, &digests[i]));
  fb_payload_cache_free (cache);
}

/* ---- a relay that lacks the payload ------------------------------------------------------ */

typedef struct
{
  FbEntryDaemon entry;
  guint not_sent_n;     /* orders that it did not send to their worker */
  guint with_payload_n; /* starts received with their payload */
  guint by_digest_n;    /* starts received with only the digest */
  guint missing_n;
} Relay;

typedef struct
{
  Relay *relay;
  FbLinkCall *call;
} Served;

static void
on_served (gpointer user, const fb_peer_reply *reply)
{
  Served *served = user;
  served->relay->missing_n += reply->type == FB_REPLY_PAYLOAD_MISSING;
  served->relay->not_sent_n += reply->type == FB_REPLY_UNAVAILABLE;
  g_autoptr (GBytes) body = fb_codec_encode_peer_reply (reply);
  fb_link_call_answer (served->call, body);
  g_free (served);
}

static void
serve_relay (gpointer data, FbLinkCall *call, gconstpointer body, gsize len)
{
  Relay *self = data;
  fb_peer_request request;
  CU_ASSERT_TRUE_FATAL (fb_codec_decode_peer_request (body, len, &request));
  if (*request.fb_peer_request_u.order.payload != '\0')
    self->with_payload_n++;
  else
    self->by_digest_n++;
  Served *served = g_new0 (Served, 1);
  served->relay = self;
  served->call = call;
  fb_relay_serve (&self->entry, &request, fb_link_call_waited_max_ms (call), on_served, served);
  xdr_free ((xdrproc_t) xdr_fb_peer_request, (char *) &request);
}

typedef struct
{
  guint done_n;
  guint answered_n;
  uint8_t percent; /* of the first run in the last list */
} Results;

static void
on_relayed (gpointer user, FbRelayResult result, const fb_peer_reply *reply)
{
  Results *results = user;
  results->done_n++;
  results->answered_n += result == FB_RELAY_ANSWERED;
  if (result != FB_RELAY_ANSWERED)
    return;
  FbPollAnswer answer;
  fb_relay_decode_answer (reply, &answer);
  if (answer.running != NULL && answer.running->len > 0)
    results->percent = g_array_index (answer.running, FbReportedRun, 0).percent;
  fb_poll_answer_clear (&answer);
}

static gboolean
on_check_timeouts (gpointer links)
{
  fb_links_check_timeouts (links, fb_clock_ms ());
  return G_SOURCE_CONTINUE;
}

static void
send_and_wait (FbEntryDaemon *entry, const char *address, const fb_relay_request *order,
               Results *results)
{
  guint before_n = results->done_n;
  fb_relay_send (entry, address, order, on_relayed, results);
  guint timer = g_timeout_add (10, on_check_timeouts, entry->links);
  while (results->done_n == before_n)
    g_main_context_iteration (NULL, TRUE);
  g_source_remove (timer);
}

static void
relay_order (FbEntryDaemon *entry, const char *address, const char *task, const char *payload,
             Results *results)
{
  const fb_relay_request order = { .kind = FB_ORDER_KIND_START,
                                   .worker = "i-1",
                                   .address = "127.0.0.1:1",
                                   .task = (char *) task,
                                   .payload = (char *) payload,
                                   .checkpoint = "",
                                   .ticket = "" };
  send_and_wait (entry, address, &order, results);
}

/* A relay that was killed and restarted has lost a payload that the owner assumes to be cached.  It
 * has to reply that a start with only a digest was not executed, and gets the start again with the
 * payload.  Otherwise the task starts at least 0.3 s later, and so does each task until the owner's
 * record expires. */
static void
test_restarted_relay_gets_the_payload_again (void)
{
  g_autofree char *payload = g_strdup_printf ("%0*u", PAYLOAD_BYTES, 7U);
  g_autofree char *address = test_unused_address ();
  g_autofree char *own_address = test_unused_address ();
  Relay relay = { .entry = { .payload_cache = fb_payload_cache_new (1 << 20),
                             .recent_starts = fb_recent_starts_new (),
                             .worker_client = fb_http_client_new () } };
  Results results = { 0 };
  FbLinks *served = fb_links_new (address, serve_relay, &relay);
  FbEntryDaemon entry = { .links = fb_links_new (own_address, serve_relay, NULL),
                          .payload_dedup = fb_payload_dedup_new (2000) };
  relay_order (&entry, address, "0000000000000001.0.0.0", payload, &results);
  relay_order (&entry, address, "0000000000000001.0.0.1", payload, &results);
  CU_ASSERT_EQUAL (relay.with_payload_n, 1);
  CU_ASSERT_EQUAL (relay.by_digest_n, 1);
  fb_payload_cache_free (relay.entry.payload_cache);
  relay.entry.payload_cache = fb_payload_cache_new (1 << 20);
  relay_order (&entry, address, "0000000000000001.0.0.2", payload, &results);
  CU_ASSERT_EQUAL (relay.missing_n, 1);
  CU_ASSERT_EQUAL (relay.with_payload_n, 2);
  CU_ASSERT_EQUAL (results.answered_n, 3);
  FbPayloadDigest digest;
  fb_payload_digest (payload, &digest);
  CU_ASSERT_STRING_EQUAL (fb_payload_cache_get (relay.entry.payload_cache, &digest), payload);
  fb_links_free (entry.links);
  fb_links_free (served);
  fb_http_client_free (relay.entry.worker_client);
  fb_payload_cache_free (relay.entry.payload_cache);
  fb_recent_starts_free (relay.entry.recent_starts);
  fb_payload_dedup_free (entry.payload_dedup);
}

/* ---- a relay that was suspended ---------------------------------------------------------- */

#define SUSPENDED_MS 1000

/* An owner and its relay. Both run on this thread, so while it sleeps nothing is read. */
typedef struct
{
  Relay relay;
  FbLinks *served;
  char *address;
  FbEntryDaemon owner;
  Results results;
} Pair;

static void
pair_init (Pair *self)
{
  g_autofree char *own_address = test_unused_address ();
  *self = (Pair){ .address = test_unused_address () };
  self->relay.entry.payload_cache = fb_payload_cache_new (1 << 20);
  self->relay.entry.recent_starts = fb_recent_starts_new ();
  self->relay.entry.worker_client = fb_http_client_new ();
  self->owner.links = fb_links_new (own_address, serve_relay, NULL);
  self->owner.payload_dedup = fb_payload_dedup_new (2000);
  self->owner.loop_monitor = fb_loop_monitor_new (25, fb_clock_ms ());
  self->served = fb_links_new (self->address, serve_relay, &self->relay);
}

static void
pair_clear (Pair *self)
{
  fb_links_free (self->owner.links);
  fb_links_free (self->served);
  fb_loop_monitor_free (self->owner.loop_monitor);
  fb_payload_dedup_free (self->owner.payload_dedup);
  fb_http_client_free (self->relay.entry.worker_client);
  fb_payload_cache_free (self->relay.entry.payload_cache);
  fb_recent_starts_free (self->relay.entry.recent_starts);
  g_free (self->address);
}

static void
pair_order (Pair *self, const char *task)
{
  relay_order (&self->owner, self->address, task, "p", &self->results);
}

/* Guards against an order that a relay sends when it resumes, long after its owner gave it up. */
static void
test_suspended_relay_sends_no_earlier_orders (void)
{
  Pair pair;
  pair_init (&pair);
  pair_order (&pair, "0000000000000001.0.0.0");
  CU_ASSERT_EQUAL (pair.relay.not_sent_n, 0);
  g_usleep (SUSPENDED_MS * 1000);
  pair_order (&pair, "0000000000000001.0.0.1");
  CU_ASSERT_EQUAL (pair.relay.not_sent_n, 1);
  pair_order (&pair, "0000000000000001.0.0.2");
  CU_ASSERT_EQUAL (pair.relay.not_sent_n, 1);
  CU_ASSERT_EQUAL (pair.results.answered_n, 2);
  pair_clear (&pair);
}

/* Guards against the same on a connection that was opened while the relay was suspended. */
static void
test_suspended_relay_sends_no_orders_of_new_connections (void)
{
  Pair pair;
  pair_init (&pair);
  g_usleep (SUSPENDED_MS * 1000);
  pair_order (&pair, "0000000000000001.0.0.0");
  CU_ASSERT_EQUAL (pair.relay.not_sent_n, 1);
  pair_clear (&pair);
}

/* ---- long lists -------------------------------------------------------------------------- */

/* A worker that answers polls with RUNS_N runs whose checkpoints have CHECKPOINT_CHARS. */
typedef struct
{
  guint runs_n;
  guint checkpoint_chars;
} ListingWorker;

static void
serve_list (SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query,
            gpointer data)
{
  (void) server;
  (void) path;
  (void) query;
  const ListingWorker *worker = data;
  g_autofree char *checkpoint = g_strnfill (worker->checkpoint_chars, 'c');
  GString *body = g_string_new ("{\"clock-ms\":5,\"running\":[");
  for (guint i = 0; i < worker->runs_n; i++)
    g_string_append_printf (body, "%s[\"j.0.0.%u\",1,\"%s\",50]", i > 0 ? "," : "", i, checkpoint);
  g_string_append (body, "],\"finished\":[[1,\"j.0.1.0\",1,\"done\",\"\"]]}");
  soup_server_message_set_status (message, SOUP_STATUS_OK, NULL);
  gsize len = body->len;
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_TAKE,
                                    g_string_free (body, FALSE), len);
}

typedef struct
{
  FbOrderResult result;
  guint runs_n;
  guint ends_n;
  gsize checkpoint_chars; /* of the first run */
  gboolean is_done;
} ListResult;

static void
on_list_relayed (gpointer user, FbRelayResult result, const fb_peer_reply *reply)
{
  ListResult *list = user;
  list->is_done = TRUE;
  list->result = FB_ORDER_NOT_DONE;
  if (result != FB_RELAY_ANSWERED)
    return;
  FbPollAnswer answer;
  fb_relay_decode_answer (reply, &answer);
  list->result = answer.result;
  list->runs_n = answer.running != NULL ? answer.running->len : 0;
  list->ends_n = answer.finished != NULL ? answer.finished->len : 0;
  if (list->runs_n > 0)
    list->checkpoint_chars = strlen (g_array_index (answer.running, FbReportedRun, 0).checkpoint);
  fb_poll_answer_clear (&answer);
}

static ListResult
relay_list (guint runs_n, guint checkpoint_chars)
{
  ListingWorker worker = { runs_n, checkpoint_chars };
  ListResult list = { 0 };
  Pair pair;
  pair_init (&pair);
  pair.owner.relay_versions = fb_relay_versions_new ();
  g_autofree char *worker_address = test_unused_address ();
  SoupServer *server = soup_server_new (NULL, NULL);
  soup_server_add_handler (server, NULL, serve_list, &worker, NULL);
  guint port = (guint) g_ascii_strtoull (strchr (worker_address, ':') + 1, NULL, 10);
  CU_ASSERT_TRUE_FATAL (
      soup_server_listen_local (server, port, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL));
  const fb_relay_request poll = { .kind = FB_ORDER_KIND_POLL,
                                  .worker = "i-1",
                                  .address = worker_address,
                                  .task = "",
                                  .payload = "",
                                  .checkpoint = "",
                                  .ticket = "",
                                  .answer_ms = 5000 };
  fb_relay_send (&pair.owner, pair.address, &poll, on_list_relayed, &list);
  guint timer = g_timeout_add (10, on_check_timeouts, pair.owner.links);
  while (!list.is_done)
    g_main_context_iteration (NULL, TRUE);
  g_source_remove (timer);
  g_object_unref (server);
  fb_relay_versions_free (pair.owner.relay_versions);
  pair_clear (&pair);
  return list;
}

/* Guards against workers that seem silent because a relay cannot encode their lists. */
static void
test_long_lists_are_relayed (void)
{
  ListResult list = relay_list (3, 100000);
  CU_ASSERT_EQUAL (list.result, FB_ORDER_DONE);
  CU_ASSERT_EQUAL (list.runs_n, 3);
  CU_ASSERT_EQUAL (list.checkpoint_chars, 100000);
  list = relay_list (300, 20000);
  CU_ASSERT_EQUAL (list.result, FB_ORDER_DONE);
  CU_ASSERT_EQUAL (list.runs_n, 300);
  CU_ASSERT_EQUAL (list.ends_n, 1);
  CU_ASSERT_EQUAL (list.checkpoint_chars, 0);
  list = relay_list (5000, 10);
  CU_ASSERT_EQUAL (list.result, FB_ORDER_DONE);
  CU_ASSERT_EQUAL (list.runs_n, 5000);
  list = relay_list (FB_WORK_MAX_REPORTED + 1, 1);
  CU_ASSERT_EQUAL (list.result, FB_ORDER_UNKNOWN);
}

/* ---- relays of both versions ----------------------------------------------------------- */

#define PERCENT 41

/* A relay that answers polls at once with one run. */
typedef struct
{
  gboolean knows_progress; /* FALSE: as a daemon of the version before progress was relayed */
  guint progress_n;        /* requests received that ask for progress */
  guint plain_n;           /* requests received that do not */
} PollRelay;

static void
answer_call (FbLinkCall *call, const fb_peer_reply *reply)
{
  g_autoptr (GBytes) body = fb_codec_encode_peer_reply (reply);
  fb_link_call_answer (call, body);
}

static void
serve_poll (gpointer data, FbLinkCall *call, gconstpointer body, gsize len)
{
  PollRelay *self = data;
  fb_peer_request request;
  CU_ASSERT_TRUE_FATAL (fb_codec_decode_peer_request (body, len, &request));
  gboolean asks_progress = request.type == FB_REQUEST_RELAY_ORDER_PROGRESS;
  self->progress_n += asks_progress;
  self->plain_n += !asks_progress;
  CU_ASSERT_STRING_EQUAL (request.fb_peer_request_u.order.worker, "i-1");
  CU_ASSERT_EQUAL (request.fb_peer_request_u.order.acknowledged, 58);
  xdr_free ((xdrproc_t) xdr_fb_peer_request, (char *) &request);
  /* A daemon answers what it cannot decode so. */
  fb_peer_reply reply = { .type = FB_REPLY_UNAVAILABLE };
  fb_reported_run run = { (char *) "j.0.0.1", 3, (char *) "" };
  char percent = PERCENT;
  const fb_relay_reply result = {
    .result = FB_ORDER_DONE, .clock_ms = 5, .incarnation = (char *) "", .running = { 1, &run }
  };
  if (asks_progress && self->knows_progress)
    {
      reply.type = FB_REPLY_ORDER_RESULT_PROGRESS;
      reply.fb_peer_reply_u.progress = (fb_relay_progress_reply){ result, { 1, &percent } };
    }
  else if (!asks_progress)
    {
      reply.type = FB_REPLY_ORDER_RESULT;
      reply.fb_peer_reply_u.order = result;
    }
  answer_call (call, &reply);
}

static void
relay_polls (PollRelay *relay, guint n, Results *results)
{
  g_autofree char *address = test_unused_address ();
  g_autofree char *own_address = test_unused_address ();
  FbLinks *served = fb_links_new (address, serve_poll, relay);
  FbEntryDaemon entry = { .links = fb_links_new (own_address, serve_poll, NULL),
                          .relay_versions = fb_relay_versions_new () };
  const fb_relay_request poll = { .kind = FB_ORDER_KIND_POLL,
                                  .worker = "i-1",
                                  .address = "127.0.0.1:1",
                                  .task = "",
                                  .payload = "",
                                  .checkpoint = "",
                                  .ticket = "",
                                  .acknowledged = 58,
                                  .answer_ms = 600 };
  for (guint i = 0; i < n; i++)
    send_and_wait (&entry, address, &poll, results);
  fb_links_free (entry.links);
  fb_links_free (served);
  fb_relay_versions_free (entry.relay_versions);
}

/* During a rolling upgrade half of the relays cannot decode a request for progress.  Guards against
 * polls that are lost there (workers would seem silent, and leases would expire): the poll has to
 * be sent again as an earlier version knows it, and the next polls so from the start. */
static void
test_polls_through_relays_of_both_versions (void)
{
  PollRelay current = { .knows_progress = TRUE };
  Results results = { 0 };
  relay_polls (&current, 3, &results);
  CU_ASSERT_EQUAL (results.answered_n, 3);
  CU_ASSERT_EQUAL (results.percent, PERCENT);
  CU_ASSERT_EQUAL (current.progress_n, 3);
  CU_ASSERT_EQUAL (current.plain_n, 0);

  PollRelay previous = { .knows_progress = FALSE };
  results = (Results){ 0 };
  relay_polls (&previous, 3, &results);
  CU_ASSERT_EQUAL (results.answered_n, 3);
  CU_ASSERT_EQUAL (results.percent, FB_PERCENT_NOT_REPORTED);
  CU_ASSERT_EQUAL (previous.progress_n, 1);
  CU_ASSERT_EQUAL (previous.plain_n, 3);
}

/* A daemon that was upgraded has to be asked for progress again. */
static void
test_an_upgraded_relay_is_asked_again (void)
{
  FbRelayVersions *versions = fb_relay_versions_new ();
  CU_ASSERT_FALSE (fb_relay_versions_is_plain (versions, "a:1", 1000));
  fb_relay_versions_add_plain (versions, "a:1", 1000);
  CU_ASSERT_TRUE (fb_relay_versions_is_plain (versions, "a:1", 10999));
  CU_ASSERT_FALSE (fb_relay_versions_is_plain (versions, "b:1", 1000));
  CU_ASSERT_FALSE (fb_relay_versions_is_plain (versions, "a:1", 11000));
  fb_relay_versions_free (versions);
}

/* A list of percentages that does not fit the runs, or holds an impossible one, must not be taken
 * for progress, and the rest of the reply counts. */
static void
test_malformed_relayed_progress (void)
{
  fb_reported_run runs[]
      = { { (char *) "j.0.0.1", 3, (char *) "" }, { (char *) "j.0.0.2", 1, (char *) "" } };
  char percents[] = { 101, 7, 7 };
  fb_peer_reply reply = { .type = FB_REPLY_ORDER_RESULT_PROGRESS };
  reply.fb_peer_reply_u.progress.order = (fb_relay_reply){
    .result = FB_ORDER_DONE, .clock_ms = 5, .incarnation = (char *) "", .running = { 2, runs }
  };
  for (u_int len = 0; len <= G_N_ELEMENTS (percents); len++)
    {
      reply.fb_peer_reply_u.progress.percents.percents_val = percents;
      reply.fb_peer_reply_u.progress.percents.percents_len = len;
      FbPollAnswer answer;
      fb_relay_decode_answer (&reply, &answer);
      CU_ASSERT_EQUAL_FATAL (answer.running->len, 2);
      const FbReportedRun *first = &g_array_index (answer.running, FbReportedRun, 0);
      const FbReportedRun *second = &g_array_index (answer.running, FbReportedRun, 1);
      CU_ASSERT_EQUAL (first->attempt, 3);
      CU_ASSERT_EQUAL (first->percent, FB_PERCENT_NOT_REPORTED);
      CU_ASSERT_EQUAL (second->percent, len == 2 ? 7 : FB_PERCENT_NOT_REPORTED);
      fb_poll_answer_clear (&answer);
    }
}

/* ---- reports of link utilization ------------------------------------------------------- */

/* A saturated link of an owner has to be reported, with the kind of traffic that has the highest
 * rate, because the owner's processor may be idle at the same time. */
static void
test_busy_link_is_reported (void)
{
  FbLinkMonitor *monitor = fb_link_monitor_new (2000, 1000);
  FbTrafficTotals totals = { 0 };
  FbLinkUtilization sent;
  FbLinkUtilization received;
  totals.sent_bytes[FB_TRAFFIC_GROUP] = 1000;
  totals.sent_bytes[FB_TRAFFIC_RELAYED_ORDERS] = 200000;
  CU_ASSERT_FALSE (fb_link_monitor_sample (monitor, &totals, 3000, &sent, &received));
  totals.sent_bytes[FB_TRAFFIC_GROUP] += 1000;
  totals.sent_bytes[FB_TRAFFIC_RELAYED_ORDERS] += 300000;
  CU_ASSERT_TRUE (fb_link_monitor_sample (monitor, &totals, 5000, &sent, &received));
  CU_ASSERT_EQUAL (sent.kbit_s, 1204);
  CU_ASSERT_EQUAL (sent.busiest, FB_TRAFFIC_RELAYED_ORDERS);
  CU_ASSERT_EQUAL (sent.busiest_kbit_s, 1200);
  CU_ASSERT_EQUAL (received.kbit_s, 0);
  CU_ASSERT_FALSE (fb_link_monitor_sample (monitor, &totals, 7000, &sent, &received));
  fb_link_monitor_free (monitor);
}

/* A link of unknown capacity is never reported as busy. */
static void
test_a_link_of_unknown_capacity (void)
{
  FbLinkMonitor *monitor = fb_link_monitor_new (0, 1000);
  FbTrafficTotals totals = { .sent_bytes = { 1000000 } };
  FbLinkUtilization sent;
  FbLinkUtilization received;
  CU_ASSERT_FALSE (fb_link_monitor_sample (monitor, &totals, 3000, &sent, &received));
  fb_link_monitor_free (monitor);
}

/* ---- a relay that does not answer ------------------------------------------------------- */

static guint backed_off_n;

void __wrap_fb_daemons_back_off_relay (FbDaemons *self, const char *address, uint64_t until_ms);

void
__wrap_fb_daemons_back_off_relay (FbDaemons *self, const char *address, uint64_t until_ms)
{
  (void) self;
  (void) address;
  (void) until_ms;
  backed_off_n++;
}

/* An owner whose main loop was late must not stop using all its relays, and then call thousands of
 * workers itself. */
static void
test_late_loop_backs_off_no_relay (void)
{
  for (guint is_late = 0; is_late <= 1; is_late++)
    {
      g_autofree char *address = test_unused_address ();
      g_autofree char *own_address = test_unused_address ();
      FbEntryDaemon entry = { .links = fb_links_new (own_address, serve_relay, NULL),
                              .payload_dedup = fb_payload_dedup_new (2000),
                              .loop_monitor = fb_loop_monitor_new (25, fb_clock_ms () - 500) };
      Results results = { 0 };
      FbLoopDelays delays;
      backed_off_n = 0;
      if (!is_late)
        {
          fb_loop_monitor_free (entry.loop_monitor);
          entry.loop_monitor = fb_loop_monitor_new (25, fb_clock_ms ());
        }
      (void) fb_loop_monitor_iteration (entry.loop_monitor, fb_clock_ms (), &delays);
      relay_order (&entry, address, "0000000000000001.0.0.0", "p", &results);
      CU_ASSERT_EQUAL (results.done_n, 1);
      CU_ASSERT_EQUAL (results.answered_n, 0);
      CU_ASSERT_EQUAL (backed_off_n, is_late ? 0 : 1);
      fb_loop_monitor_free (entry.loop_monitor);
      fb_payload_dedup_free (entry.payload_dedup);
      fb_links_free (entry.links);
    }
}

int
main (void)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("relay", NULL, NULL);
  CU_add_test (suite, "payloads leave half of a slow link",
               test_payloads_leave_half_of_a_slow_link);
  CU_add_test (suite, "a fast link distributes by worker", test_fast_link_distributes_by_worker);
  CU_add_test (suite, "the oldest payload is evicted", test_the_oldest_payload_is_evicted);
  CU_add_test (suite, "a restarted relay gets the payload again",
               test_restarted_relay_gets_the_payload_again);
  CU_add_test (suite, "a suspended relay sends no earlier orders",
               test_suspended_relay_sends_no_earlier_orders);
  CU_add_test (suite, "a suspended relay sends no orders of new connections",
               test_suspended_relay_sends_no_orders_of_new_connections);
  CU_add_test (suite, "long lists are relayed", test_long_lists_are_relayed);
  CU_add_test (suite, "polls through relays of both versions",
               test_polls_through_relays_of_both_versions);
  CU_add_test (suite, "an upgraded relay is asked again", test_an_upgraded_relay_is_asked_again);
  CU_add_test (suite, "a late loop backs off no relay", test_late_loop_backs_off_no_relay);
  CU_add_test (suite, "malformed relayed progress", test_malformed_relayed_progress);
  CU_add_test (suite, "a busy link is reported", test_busy_link_is_reported);
  CU_add_test (suite, "a link of unknown capacity", test_a_link_of_unknown_capacity);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
