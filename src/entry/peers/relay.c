/* Relays orders to workers through other daemons on behalf of the owner of a pool.
 *
 * One daemon makes all decisions for a service, which is cheap.  The calls to workers are not: each
 * takes a request, parsing of the answer and several system calls.  Therefore a daemon in the
 * failure domain of each worker relays the owner's orders to it.  It is chosen by rendezvous
 * hashing weighted by processor share, and the owner exchanges frames of a few hundred bytes with
 * it.  When the owner's link is slow, the starts of one job are relayed through few daemons
 * (payload-dedup.h).  Where the domain has no other daemon, one of another domain relays: it keeps
 * the starts that it relayed (recent-starts.h), and what only the owner knows is lost with it.
 *
 * A relay makes no decisions and no retries.  An order that it delays is equivalent to one that the
 * network delays: it contains the owner's epoch and a deadline on the worker's clock.
 *
 * When a relay crashes, hangs or is partitioned from the network, all workers that it serves seem
 * unresponsive together.  Therefore a relay that does not answer is not used for a while, its
 * workers are served by the next relay or by the owner itself, and an order that was certainly not
 * sent counts as not done and is repeated.
 *
 * Polls are relayed with a request that is answered with the progress of runs.  A relay of an
 * earlier version cannot decode it and answers that it did nothing; the poll is then sent again at
 * once with the request that it knows. */
#include "relay.h"

#include "src/entry/entry-private.h"

#include "fb-event.h"
#include "internal/codec.h"

#include <string.h>

/* Time for which a relay that did not answer is not used. */
#define BACKOFF_MS 3000
/* Part of an order's timeout for which this daemon's main loop was late if a missing answer does
 * not count against the relay. */
#define LOOP_LATE_DIVISOR 2
/* Added to an order's own timeout for the network delay to the relay and back. */
#define NETWORK_DELAY_MS 150
/* Timeout of a start or stop.  An answer takes a few ms; a worker that hangs should not block its
 * caller for long. */
#define ORDER_TIMEOUT_MS 600
/* Minimum size of a payload that is replaced by its digest, which takes 20 bytes; the payload may
 * have to be sent later all the same. */
#define DIGEST_MIN_BYTES 64
#define CALLS_LIMITED_LOG_INTERVAL_MS 1000
/* Size of an answer of a worker below which its lists surely fit into a reply. */
#define LARGE_ANSWER_BYTES (FB_CODEC_RECORD_MAX_BYTES / 4)

/* ---- choosing a relay ----------------------------------------------------------- */

const char *
fb_relay_address_for (FbEntryDaemon *entry, const fb_relay_request *order)
{
  const FbListedWorker *listed = fb_worker_list_by_incarnation (entry->workers, order->worker);
  if (listed == NULL)
    return NULL;
  uint64_t now_ms = fb_clock_ms ();
  gboolean by_job = order->kind == FB_ORDER_KIND_START
                    && fb_payload_dedup_link_is_constrained (entry->payload_dedup,
                                                             strlen (order->payload), now_ms);
  const GPtrArray *members = fb_daemons_all (entry->daemons);
  const char *own_address = entry->settings->peers;
  g_autofree char *job_key = by_job ? fb_payload_dedup_relay_key (order->task) : NULL;
  const FbDaemon *member
      = by_job ? fb_relay_choose (members, listed->domain, job_key, own_address, now_ms)
               : fb_relay_choices_get (entry->relay_choices, members, listed->domain, order->worker,
                                       own_address, now_ms);
  return member != NULL ? member->address : NULL;
}

/* ---- calls to workers --------------------------------------------------------------- */

static uint32_t
order_timeout_ms (const fb_relay_request *order)
{
  return order->kind == FB_ORDER_KIND_POLL ? order->wait_ms + order->answer_ms : ORDER_TIMEOUT_MS;
}

static void
build_call (FbHttpCall *call, const fb_relay_request *order)
{
  switch (order->kind)
    {
    case FB_ORDER_KIND_START:
      {
        const FbStartOrder start = { .worker = order->worker,
                                     .address = order->address,
                                     .epoch = order->epoch,
                                     .task = order->task,
                                     .attempt = order->attempt,
                                     .payload = order->payload,
                                     .checkpoint = order->checkpoint,
                                     .ticket = *order->ticket != '\0' ? order->ticket : NULL,
                                     .deadline_ms = order->deadline_ms };
        fb_wire_start (call, &start);
        break;
      }
    case FB_ORDER_KIND_STOP:
      {
        const FbStopOrder stop = { .worker = order->worker,
                                   .address = order->address,
                                   .epoch = order->epoch,
                                   .task = order->task,
                                   .attempt = order->attempt };
        fb_wire_stop (call, &stop);
        break;
      }
    case FB_ORDER_KIND_POLL:
      {
        const FbPollOrder poll = { .worker = order->worker,
                                   .address = order->address,
                                   .epoch = order->epoch,
                                   .acknowledged = order->acknowledged,
                                   .deadline_ms = order->deadline_ms,
                                   .wait_ms = order->wait_ms,
                                   .timeout_ms = order->answer_ms };
        fb_wire_poll (call, &poll);
        break;
      }
    }
}

/* An order to start or stop a run that was sent to its worker. */
typedef struct
{
  FbEntryDaemon *entry;
  fb_order_kind kind;
  char *worker;
  char *task;
  uint32_t attempt;
  uint64_t epoch;
  uint64_t sent_ms;
  FbHttpReplyDone done;
  gpointer user;
} WorkerCall;

static WorkerCall *
worker_call_new (FbEntryDaemon *entry, const fb_relay_request *order, FbHttpReplyDone done,
                 gpointer user)
{
  WorkerCall *call = g_new0 (WorkerCall, 1);
  call->entry = entry;
  call->kind = order->kind;
  call->worker = g_strdup (order->worker);
  call->task = g_strdup (order->task);
  call->attempt = order->attempt;
  call->epoch = order->epoch;
  call->sent_ms = fb_clock_ms ();
  call->done = done;
  call->user = user;
  return call;
}

static void
log_not_done (const WorkerCall *call, const FbHttpReply *reply, FbOrderResult result)
{
  fb_event_log (FB_EVENT_ORDER_NOT_DONE,
                "task=%s attempt=%u worker=%s kind=%d epoch=%" G_GUINT64_FORMAT
                " code=%u status=%d copies=%u result=%s after_ms=%u",
                call->task, call->attempt, call->worker, call->kind, call->epoch, reply->code,
                reply->status, reply->transmissions, fb_order_result_name (result),
                (guint) (fb_clock_ms () - call->sent_ms));
}

static void
on_worker_reply (gpointer data, const FbHttpReply *reply)
{
  WorkerCall *call = data;
  FbOrderResult result = FB_ORDER_DONE;
  if (reply->status != FB_HTTP_OK || reply->code != FB_HTTP_CODE_OK)
    {
      uint64_t clock_ms = 0;
      result = fb_wire_parse_order_result (reply, &clock_ms);
      log_not_done (call, reply, result);
    }
  if (call->kind == FB_ORDER_KIND_START)
    fb_recent_starts_answered (call->entry->recent_starts, call->worker, call->task, call->attempt,
                               result, fb_clock_ms ());
  call->done (call->user, reply);
  g_free (call->worker);
  g_free (call->task);
  g_free (call);
}

/* Logs that calls have to wait for others, at most once in CALLS_LIMITED_LOG_INTERVAL_MS. */
static void
log_limited_calls (FbEntryDaemon *entry)
{
  if (!fb_http_client_is_full (entry->worker_client))
    return;
  uint64_t now_ms = fb_clock_ms ();
  if (now_ms < entry->calls_limited_logged_ms + CALLS_LIMITED_LOG_INTERVAL_MS)
    return;
  entry->calls_limited_logged_ms = now_ms;
  fb_event_log (FB_EVENT_WORKER_CALLS_LIMITED, "partitions=%u", g_hash_table_size (entry->owners));
}

void
fb_relay_call_worker (FbEntryDaemon *entry, const fb_relay_request *order, FbHttpReplyDone done,
                      gpointer user)
{
  FbHttpCall call;
  log_limited_calls (entry);
  build_call (&call, order);
  if (order->kind == FB_ORDER_KIND_START)
    fb_recent_starts_sent (entry->recent_starts, order->worker, order->address, order->task,
                           order->attempt, fb_clock_ms ());
  if (order->kind == FB_ORDER_KIND_POLL)
    fb_http_client_exchange (entry->worker_client, &call, order_timeout_ms (order), done, user);
  else
    fb_http_client_exchange (entry->worker_client, &call, order_timeout_ms (order), on_worker_reply,
                             worker_call_new (entry, order, done, user));
  fb_http_call_clear (&call);
}

void
fb_relay_parse_worker_answer (fb_order_kind kind, const char *worker, const FbHttpReply *reply,
                              FbPollAnswer *answer)
{
  *answer = (FbPollAnswer){ 0 };
  if (kind == FB_ORDER_KIND_POLL)
    fb_wire_parse_poll (reply, worker, answer);
  else
    answer->result = fb_wire_parse_order_result (reply, &answer->clock_ms);
}

/* ---- sending orders to a relay ---------------------------------------------------- */

typedef struct
{
  FbEntryDaemon *entry;
  char *daemon;
  FbRelayDone done;
  gpointer user;
  GBytes *full_request; /* request including its payload, if the payload was omitted; else NULL */
  FbPayloadDigest digest;
  /* Poll as a request that relays of all versions know, if the other one was sent; NULL: not so, or
   * this one has been sent as well. */
  GBytes *plain_poll;
  gboolean sent_again; /* PLAIN_POLL was sent */
  uint32_t timeout_ms;
  uint64_t timeout_at_ms;
} RelayedOrder;

static void on_peer_reply (gpointer data, const fb_peer_reply *peer_reply);

/* Sends the order again with its payload, because the relay has restarted or evicted the payload.
 * Returns: FALSE when the order has timed out or already contained its payload. */
static gboolean
send_with_payload (RelayedOrder *relayed)
{
  uint64_t now_ms = fb_clock_ms ();
  g_autoptr (GBytes) full_request = g_steal_pointer (&relayed->full_request);
  gsize len = 0;
  gconstpointer data = full_request != NULL ? g_bytes_get_data (full_request, &len) : NULL;
  fb_peer_request peer_request;
  fb_payload_dedup_forget (relayed->entry->payload_dedup, relayed->daemon, &relayed->digest);
  if (data == NULL || now_ms >= relayed->timeout_at_ms
      || !fb_codec_decode_peer_request (data, len, &peer_request))
    return FALSE;
  (void) fb_payload_dedup_check_sent (relayed->entry->payload_dedup, relayed->daemon,
                                      &relayed->digest, now_ms);
  fb_peers_request (relayed->entry, relayed->daemon, &peer_request,
                    (uint32_t) (relayed->timeout_at_ms - now_ms), on_peer_reply, relayed);
  xdr_free ((xdrproc_t) xdr_fb_peer_request, (char *) &peer_request);
  return TRUE;
}

/* Sends a poll again that the relay did not carry out, in the form that relays of all versions
 * know. Returns: FALSE when there is no such form, or the order has timed out. */
static gboolean
send_plain_poll (RelayedOrder *relayed)
{
  uint64_t now_ms = fb_clock_ms ();
  g_autoptr (GBytes) plain_poll = g_steal_pointer (&relayed->plain_poll);
  gsize len = 0;
  gconstpointer data = plain_poll != NULL ? g_bytes_get_data (plain_poll, &len) : NULL;
  fb_peer_request peer_request;
  if (data == NULL || now_ms >= relayed->timeout_at_ms
      || !fb_codec_decode_peer_request (data, len, &peer_request))
    return FALSE;
  relayed->sent_again = TRUE;
  fb_peers_request (relayed->entry, relayed->daemon, &peer_request,
                    (uint32_t) (relayed->timeout_at_ms - now_ms), on_peer_reply, relayed);
  xdr_free ((xdrproc_t) xdr_fb_peer_request, (char *) &peer_request);
  return TRUE;
}

/* When the main loop was late, answers of many relays are missing at once, and the relays are not
 * the cause.  Without relays the owner would call thousands of workers itself, and be later still.
 */
static void
back_off (const RelayedOrder *relayed)
{
  FbEntryDaemon *entry = relayed->entry;
  uint64_t now_ms = fb_clock_ms ();
  uint32_t late_ms = fb_loop_monitor_max_delay_ms (entry->loop_monitor, now_ms);
  if (late_ms < relayed->timeout_ms / LOOP_LATE_DIVISOR)
    fb_daemons_back_off_relay (entry->daemons, relayed->daemon, now_ms + BACKOFF_MS);
}

static gboolean
has_order_result (const fb_peer_reply *peer_reply)
{
  return peer_reply != NULL
         && (peer_reply->type == FB_REPLY_ORDER_RESULT
             || peer_reply->type == FB_REPLY_ORDER_RESULT_PROGRESS);
}

static void
on_peer_reply (gpointer data, const fb_peer_reply *peer_reply)
{
  RelayedOrder *relayed = data;
  if (peer_reply != NULL && peer_reply->type == FB_REPLY_PAYLOAD_MISSING
      && send_with_payload (relayed))
    return;
  if (peer_reply != NULL && peer_reply->type == FB_REPLY_UNAVAILABLE && send_plain_poll (relayed))
    return;
  gboolean answered = has_order_result (peer_reply);
  if (answered && relayed->sent_again)
    fb_relay_versions_add_plain (relayed->entry->relay_versions, relayed->daemon, fb_clock_ms ());
  if (!answered)
    {
      fb_event_log (FB_EVENT_CALL_FAILED, "relayed order daemon=%s lost=%d", relayed->daemon,
                    peer_reply == NULL);
      back_off (relayed);
    }
  if (answered)
    relayed->done (relayed->user, FB_RELAY_ANSWERED, peer_reply);
  else
    relayed->done (relayed->user, peer_reply != NULL ? FB_RELAY_NOT_RELAYED : FB_RELAY_LOST, NULL);
  g_clear_pointer (&relayed->full_request, g_bytes_unref);
  g_clear_pointer (&relayed->plain_poll, g_bytes_unref);
  g_free (relayed->daemon);
  g_free (relayed);
}

/* Replaces the payload of PEER_REQUEST, if it is a start, by its digest when the relay has cached
 * the payload. */
static void
omit_sent_payload (RelayedOrder *relayed, fb_peer_request *peer_request, uint64_t now_ms)
{
  fb_relay_request *order = &peer_request->fb_peer_request_u.order;
  if (order->kind != FB_ORDER_KIND_START || strlen (order->payload) < DIGEST_MIN_BYTES)
    return;
  fb_payload_digest (order->payload, &relayed->digest);
  order->payload_digest.payload_digest_val = (char *) relayed->digest.bytes;
  order->payload_digest.payload_digest_len = sizeof relayed->digest.bytes;
  if (!fb_payload_dedup_check_sent (relayed->entry->payload_dedup, relayed->daemon,
                                    &relayed->digest, now_ms))
    return;
  relayed->full_request = fb_codec_encode_peer_request (peer_request);
  order->payload = "";
}

/* Requests the progress of runs with a poll.  Starts and stops are answered without lists, so that
 * the request that relays of all versions know suffices for them. */
static void
request_progress (RelayedOrder *relayed, fb_peer_request *peer_request, uint64_t now_ms)
{
  if (peer_request->fb_peer_request_u.order.kind != FB_ORDER_KIND_POLL
      || fb_relay_versions_is_plain (relayed->entry->relay_versions, relayed->daemon, now_ms))
    return;
  relayed->plain_poll = fb_codec_encode_peer_request (peer_request);
  peer_request->type = FB_REQUEST_RELAY_ORDER_PROGRESS;
}

void
fb_relay_send (FbEntryDaemon *entry, const char *daemon, const fb_relay_request *order,
               FbRelayDone done, gpointer user)
{
  RelayedOrder *relayed = g_new0 (RelayedOrder, 1);
  relayed->entry = entry;
  relayed->daemon = g_strdup (daemon);
  relayed->done = done;
  relayed->user = user;
  uint64_t now_ms = fb_clock_ms ();
  uint32_t timeout_ms = order_timeout_ms (order) + NETWORK_DELAY_MS;
  relayed->timeout_ms = timeout_ms;
  relayed->timeout_at_ms = now_ms + timeout_ms;
  fb_peer_request peer_request = { .type = FB_REQUEST_RELAY_ORDER };
  peer_request.fb_peer_request_u.order = *order;
  omit_sent_payload (relayed, &peer_request, now_ms);
  request_progress (relayed, &peer_request, now_ms);
  fb_peers_request (entry, daemon, &peer_request, timeout_ms, on_peer_reply, relayed);
}

/* ---- serving as a relay ---------------------------------------------------------------- */

typedef struct
{
  FbEntryDaemon *entry;
  FbPeerReplyDone done;
  gpointer user;
  fb_order_kind kind;
  gboolean with_progress; /* the reply contains the progress of runs */
  char *worker;
} ServedOrder;

/* Fills in PEER_REPLY from ANSWER; ROWS, ENDS and PERCENTS are its arrays, whose strings are
 * borrowed from ANSWER. */
static void
fill_poll_reply (const FbPollAnswer *answer, fb_relay_progress_reply *progress,
                 fb_reported_run *rows, fb_reported_end *ends, char *percents)
{
  fb_relay_reply *peer_reply = &progress->order;
  for (guint i = 0; i < answer->running->len; i++)
    {
      const FbReportedRun *run = &g_array_index (answer->running, FbReportedRun, i);
      rows[i] = (fb_reported_run){ run->task, run->attempt, run->checkpoint };
      percents[i] = (char) run->percent;
    }
  for (guint i = 0; i < answer->finished->len; i++)
    {
      const FbReportedEnd *end = &g_array_index (answer->finished, FbReportedEnd, i);
      ends[i]
          = (fb_reported_end){ end->number, end->task, end->attempt, end->reason, end->checkpoint };
    }
  peer_reply->running.running_len = answer->running->len;
  peer_reply->running.running_val = rows;
  peer_reply->finished.finished_len = answer->finished->len;
  peer_reply->finished.finished_val = ends;
  progress->percents.percents_len = answer->running->len;
  progress->percents.percents_val = percents;
}

/* Sets PEER_REPLY, which borrows the lists of PROGRESS, to what the owner has asked for. */
static void
set_reply (const ServedOrder *order, const fb_relay_progress_reply *progress,
           fb_peer_reply *peer_reply)
{
  peer_reply->type = order->with_progress ? FB_REPLY_ORDER_RESULT_PROGRESS : FB_REPLY_ORDER_RESULT;
  if (order->with_progress)
    peer_reply->fb_peer_reply_u.progress = *progress;
  else
    peer_reply->fb_peer_reply_u.order = progress->order;
}

static gboolean
is_too_large (const fb_peer_reply *peer_reply)
{
  gsize bytes = xdr_sizeof ((xdrproc_t) xdr_fb_peer_reply, (gpointer) peer_reply);
  return bytes == 0 || bytes > FB_CODEC_RECORD_MAX_BYTES;
}

/* Leaves out of PEER_REPLY, whose lists are PROGRESS, what makes it too large: first the
 * checkpoints of runs, which are listed again, then those of ends.  Without the lists the worker
 * would seem silent.  If the rows alone are too many, the result is unknown: the order was carried
 * out. */
static void
fit_reply (const ServedOrder *order, fb_relay_progress_reply *progress, fb_peer_reply *peer_reply)
{
  fb_relay_reply *lists = &progress->order;
  if (!is_too_large (peer_reply))
    return;
  for (u_int i = 0; i < lists->running.running_len; i++)
    lists->running.running_val[i].checkpoint = (char *) "";
  gboolean with_ends = is_too_large (peer_reply);
  for (u_int i = 0; with_ends && i < lists->finished.finished_len; i++)
    lists->finished.finished_val[i].checkpoint = (char *) "";
  fb_event_log (FB_EVENT_CHECKPOINTS_LEFT_OUT, "worker=%s tasks=%u", order->worker,
                lists->running.running_len + (with_ends ? lists->finished.finished_len : 0));
  if (!is_too_large (peer_reply))
    return;
  *progress = (fb_relay_progress_reply){ .order = { .result = FB_ORDER_UNKNOWN,
                                                    .incarnation = lists->incarnation } };
  set_reply (order, progress, peer_reply);
}

static void
on_reply (gpointer data, const FbHttpReply *reply)
{
  ServedOrder *order = data;
  FbPollAnswer answer;
  fb_relay_parse_worker_answer (order->kind, order->worker, reply, &answer);
  if (order->kind == FB_ORDER_KIND_POLL)
    fb_recent_starts_polled (order->entry->recent_starts, order->worker, &answer, fb_clock_ms ());
  fb_relay_progress_reply progress
      = { .order = { .result = answer.result,
                     .clock_ms = answer.clock_ms,
                     .incarnation = answer.incarnation != NULL ? answer.incarnation : "" } };
  guint runs_n = answer.running != NULL ? answer.running->len : 0;
  guint ends_n = answer.finished != NULL ? answer.finished->len : 0;
  g_autofree fb_reported_run *rows = g_new0 (fb_reported_run, runs_n + 1);
  g_autofree fb_reported_end *ends = g_new0 (fb_reported_end, ends_n + 1);
  g_autofree char *percents = g_new0 (char, runs_n + 1);
  if (answer.running != NULL && answer.finished != NULL)
    fill_poll_reply (&answer, &progress, rows, ends, percents);
  fb_peer_reply peer_reply;
  set_reply (order, &progress, &peer_reply);
  if (reply->body != NULL && g_bytes_get_size (reply->body) > LARGE_ANSWER_BYTES)
    fit_reply (order, &progress, &peer_reply);
  order->done (order->user, &peer_reply);
  fb_poll_answer_clear (&answer);
  g_free (order->worker);
  g_free (order);
}

/* Caches the payload of PEER_REQUEST, or fills in the cached one (borrowed) that PEER_REQUEST
 * refers to by its digest.
 * Returns: FALSE when that payload is not cached. */
static gboolean
resolve_payload (FbEntryDaemon *entry, fb_relay_request *peer_request)
{
  FbPayloadDigest digest;
  if (peer_request->payload_digest.payload_digest_len != sizeof digest.bytes)
    return TRUE;
  memcpy (digest.bytes, peer_request->payload_digest.payload_digest_val, sizeof digest.bytes);
  if (*peer_request->payload != '\0')
    {
      fb_payload_cache_put (entry->payload_cache, &digest, peer_request->payload);
      return TRUE;
    }
  peer_request->payload = (char *) fb_payload_cache_get (entry->payload_cache, &digest);
  return peer_request->payload != NULL;
}

/* A process that resumes may find old orders in its sockets. The deadline in such an order does not
 * stop a later incarnation of its worker, whose clock began anew, from executing it. */
static gboolean
is_overdue (const fb_relay_request *order, uint64_t waited_max_ms)
{
  if (waited_max_ms < order_timeout_ms (order) + NETWORK_DELAY_MS)
    return FALSE;
  fb_event_log (FB_EVENT_ORDER_OVERDUE,
                "task=%s attempt=%u worker=%s kind=%d epoch=%" G_GUINT64_FORMAT
                " waited_max_ms=%" G_GUINT64_FORMAT,
                order->task, order->attempt, order->worker, order->kind, order->epoch,
                waited_max_ms);
  return TRUE;
}

void
fb_relay_serve (FbEntryDaemon *entry, const fb_peer_request *peer_request, uint64_t waited_max_ms,
                FbPeerReplyDone done, gpointer user)
{
  static const fb_peer_reply not_sent = { .type = FB_REPLY_UNAVAILABLE };
  fb_relay_request resolved = peer_request->fb_peer_request_u.order;
  if (is_overdue (&resolved, waited_max_ms))
    {
      done (user, &not_sent);
      return;
    }
  if (!resolve_payload (entry, &resolved))
    {
      static const fb_peer_reply payload_missing = { .type = FB_REPLY_PAYLOAD_MISSING };
      done (user, &payload_missing);
      return;
    }
  ServedOrder *order = g_new0 (ServedOrder, 1);
  order->entry = entry;
  order->done = done;
  order->user = user;
  order->kind = resolved.kind;
  order->with_progress = peer_request->type == FB_REQUEST_RELAY_ORDER_PROGRESS;
  order->worker = g_strdup (resolved.worker);
  fb_relay_call_worker (entry, &resolved, on_reply, order);
}

/* Returns: the percentage of run I, FB_PERCENT_NOT_REPORTED unless the list of percentages has an
 * entry for each run; PROGRESS: NULL when the relay reports none. */
static uint8_t
relayed_percent (const fb_relay_progress_reply *progress, u_int i)
{
  if (progress == NULL || progress->percents.percents_len != progress->order.running.running_len)
    return FB_PERCENT_NOT_REPORTED;
  uint8_t percent = (uint8_t) progress->percents.percents_val[i];
  return percent <= 100 ? percent : FB_PERCENT_NOT_REPORTED;
}

void
fb_relay_decode_answer (const fb_peer_reply *relay_reply, FbPollAnswer *answer)
{
  const fb_relay_progress_reply *progress = relay_reply->type == FB_REPLY_ORDER_RESULT_PROGRESS
                                                ? &relay_reply->fb_peer_reply_u.progress
                                                : NULL;
  const fb_relay_reply *peer_reply
      = progress != NULL ? &progress->order : &relay_reply->fb_peer_reply_u.order;
  *answer = (FbPollAnswer){ .result = (FbOrderResult) MIN (peer_reply->result, FB_ORDER_UNKNOWN),
                            .clock_ms = peer_reply->clock_ms,
                            .incarnation = *peer_reply->incarnation != '\0'
                                               ? g_strdup (peer_reply->incarnation)
                                               : NULL };
  if (answer->result != FB_ORDER_DONE)
    return;
  answer->running
      = g_array_sized_new (FALSE, TRUE, sizeof (FbReportedRun), peer_reply->running.running_len);
  answer->finished
      = g_array_sized_new (FALSE, TRUE, sizeof (FbReportedEnd), peer_reply->finished.finished_len);
  for (u_int i = 0; i < peer_reply->running.running_len; i++)
    {
      const fb_reported_run *row = &peer_reply->running.running_val[i];
      FbReportedRun run = { .task = row->task,
                            .attempt = row->attempt,
                            .checkpoint = row->checkpoint,
                            .percent = relayed_percent (progress, i) };
      g_array_append_val (answer->running, run);
    }
  for (u_int i = 0; i < peer_reply->finished.finished_len; i++)
    {
      const fb_reported_end *row = &peer_reply->finished.finished_val[i];
      FbReportedEnd end = { .number = row->number,
                            .task = row->task,
                            .attempt = row->attempt,
                            .reason = (FbEndReason) MIN (row->reason, FB_END_GANG_TIMEOUT),
                            .checkpoint = row->checkpoint };
      g_array_append_val (answer->finished, end);
    }
}
