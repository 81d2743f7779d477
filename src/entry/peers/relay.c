/* Orders that other daemons carry to workers for the owner of a pool.
 *
 * One daemon decides for a service, and what it decides is cheap; the calls to workers are not:
 * each takes a request, a parse of its answer and several system calls.  So each worker has a
 * daemon of its own failure domain that carries the owner's orders to it, chosen by rendezvous
 * hashing weighted by processor, and the owner sends and hears frames of a few hundred bytes.
 * Starts of one job go through few daemons where the owner's link is thin (payload-dedup.h).
 *
 * The relay decides nothing and repeats nothing.  An order that it delays is as one that the
 * network delays: it carries the owner's epoch and a deadline on the worker's clock.
 *
 * Failure: a relay dies, freezes or is cut off; it shows as workers of one domain that seem
 * silent together.  Guard: a relay that does not answer rests, its workers go to the next one or
 * to the owner itself, and an order that was certainly not sent counts as not done and is
 * repeated. */
#include "relay.h"

#include "src/entry/entry-private.h"
#include "src/entry/store/rendezvous.h"

#include "fb-event.h"
#include "internal/codec.h"

#include <string.h>

/* A relay that did not answer gets nothing for so long. */
#define REST_MS 3000
/* On top of an order's own time limit: the way to the relay and back. */
#define WAY_MS 150
/* For an order that is not a look.  An answered one takes a few ms; a worker that hangs should
 * not hold up its caller for long. */
#define ORDER_MS 600
/* To name a payload takes 20 bytes, and it may have to be sent after all. */
#define SHARED_MIN_BYTES 64

/* ---- choosing ------------------------------------------------------------------- */

typedef struct
{
  const char *domain;
  const char *but;
  uint64_t now_ms;
} Choice;

static gboolean
may_carry (const FbDaemon *member, gconstpointer user)
{
  const Choice *choice = user;
  return choice->now_ms >= member->rests_ms && g_str_equal (member->domain, choice->domain)
         && !g_str_equal (member->address, choice->but);
}

const FbDaemon *
fb_relay_choose (const GPtrArray *members, const char *domain, const char *key, const char *but,
                 uint64_t now_ms)
{
  const Choice choice = { domain, but, now_ms };
  return fb_rendezvous_choose (members, key, may_carry, &choice);
}

const char *
fb_relay_for (FbEntry *entry, const fb_relay_request *order)
{
  const FbListedWorker *listed = fb_worker_list_find (entry->workers, order->worker);
  if (listed == NULL)
    return NULL;
  uint64_t now_ms = fb_clock_ms ();
  gboolean by_job
      = order->kind == FB_ORDER_KIND_START
        && fb_payload_share_is_scarce (entry->payload_share, strlen (order->payload), now_ms);
  g_autofree char *job_key = by_job ? fb_payload_share_key (order->task) : NULL;
  const FbDaemon *member
      = fb_relay_choose (fb_daemons_all (entry->daemons), listed->domain,
                         by_job ? job_key : order->worker, entry->settings->peers, now_ms);
  return member != NULL ? member->address : NULL;
}

/* ---- calls to workers --------------------------------------------------------------- */

static uint32_t
limit_ms (const fb_relay_request *order)
{
  return order->kind == FB_ORDER_KIND_POLL ? order->wait_ms + order->answer_ms : ORDER_MS;
}

static void
make_call (FbHttpCall *call, const fb_relay_request *order)
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
                                   .answer_ms = order->answer_ms };
        fb_wire_poll (call, &poll);
        break;
      }
    }
}

/* An order to start or stop a run, on its way to its worker. */
typedef struct
{
  FbEntry *entry;
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
worker_call_new (FbEntry *entry, const fb_relay_request *order, FbHttpReplyDone done, gpointer user)
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
                               result);
  call->done (call->user, reply);
  g_free (call->worker);
  g_free (call->task);
  g_free (call);
}

void
fb_relay_call_worker (FbEntry *entry, const fb_relay_request *order, FbHttpReplyDone done,
                      gpointer user)
{
  FbHttpCall call;
  make_call (&call, order);
  if (order->kind == FB_ORDER_KIND_START)
    fb_recent_starts_sent (entry->recent_starts, order->worker, order->address, order->task,
                           order->attempt, fb_clock_ms ());
  if (order->kind == FB_ORDER_KIND_POLL)
    fb_http_client_exchange (entry->worker_client, &call, limit_ms (order), done, user);
  else
    fb_http_client_exchange (entry->worker_client, &call, limit_ms (order), on_worker_reply,
                             worker_call_new (entry, order, done, user));
  fb_http_call_clear (&call);
}

void
fb_relay_worker_answer (fb_order_kind kind, const char *worker, const FbHttpReply *reply,
                        FbPollAnswer *answer)
{
  *answer = (FbPollAnswer){ 0 };
  if (kind == FB_ORDER_KIND_POLL)
    fb_wire_parse_poll (reply, worker, answer);
  else
    answer->result = fb_wire_parse_order_result (reply, &answer->clock_ms);
}

/* ---- asking ----------------------------------------------------------------------- */

typedef struct
{
  FbEntry *entry;
  char *daemon;
  FbRelayDone done;
  gpointer user;
  GBytes *whole; /* the order with its payload, of one that was sent without; else NULL */
  FbPayloadDigest digest;
  uint64_t until_ms;
} Carried;

static void on_told (gpointer data, const fb_peer_reply *told);

/* The daemon has started anew, or dropped the payload.  Returns: FALSE when it was sent it. */
static gboolean
send_whole (Carried *carried)
{
  uint64_t now_ms = fb_clock_ms ();
  g_autoptr (GBytes) whole = g_steal_pointer (&carried->whole);
  gsize len = 0;
  gconstpointer data = whole != NULL ? g_bytes_get_data (whole, &len) : NULL;
  fb_peer_request ask;
  fb_payload_share_forget (carried->entry->payload_share, carried->daemon, &carried->digest);
  if (data == NULL || now_ms >= carried->until_ms
      || !fb_codec_decode_peer_request (data, len, &ask))
    return FALSE;
  (void) fb_payload_share_sent (carried->entry->payload_share, carried->daemon, &carried->digest,
                                now_ms);
  fb_peers_ask (carried->entry, carried->daemon, &ask, (uint32_t) (carried->until_ms - now_ms),
                on_told, carried);
  xdr_free ((xdrproc_t) xdr_fb_peer_request, (char *) &ask);
  return TRUE;
}

static void
on_told (gpointer data, const fb_peer_reply *told)
{
  Carried *carried = data;
  if (told != NULL && told->type == FB_REPLY_PAYLOAD_MISSING && send_whole (carried))
    return;
  gboolean answered = told != NULL && told->type == FB_REPLY_ORDER_RESULT;
  if (!answered)
    {
      fb_event_log (FB_EVENT_CALL_FAILED, "order by daemon=%s lost=%d", carried->daemon,
                    told == NULL);
      fb_daemons_rest (carried->entry->daemons, carried->daemon, fb_clock_ms () + REST_MS);
    }
  if (answered)
    carried->done (carried->user, FB_RELAY_ANSWERED, &told->fb_peer_reply_u.order);
  else
    carried->done (carried->user, told != NULL ? FB_RELAY_NOT_RELAYED : FB_RELAY_LOST, NULL);
  g_clear_pointer (&carried->whole, g_bytes_unref);
  g_free (carried->daemon);
  g_free (carried);
}

/* Names the payload of ASK, a start, instead of sending it where DAEMON has it. */
static void
share_payload (Carried *carried, fb_peer_request *ask, uint64_t now_ms)
{
  fb_relay_request *order = &ask->fb_peer_request_u.order;
  if (order->kind != FB_ORDER_KIND_START || strlen (order->payload) < SHARED_MIN_BYTES)
    return;
  fb_payload_digest (order->payload, &carried->digest);
  order->payload_digest.payload_digest_val = (char *) carried->digest.bytes;
  order->payload_digest.payload_digest_len = sizeof carried->digest.bytes;
  if (!fb_payload_share_sent (carried->entry->payload_share, carried->daemon, &carried->digest,
                              now_ms))
    return;
  carried->whole = fb_codec_encode_peer_request (ask);
  order->payload = "";
}

void
fb_relay_send (FbEntry *entry, const char *daemon, const fb_relay_request *order, FbRelayDone done,
               gpointer user)
{
  Carried *carried = g_new0 (Carried, 1);
  carried->entry = entry;
  carried->daemon = g_strdup (daemon);
  carried->done = done;
  carried->user = user;
  uint64_t now_ms = fb_clock_ms ();
  uint32_t patience_ms = limit_ms (order) + WAY_MS;
  carried->until_ms = now_ms + patience_ms;
  fb_peer_request ask = { .type = FB_REQUEST_RELAY_ORDER };
  ask.fb_peer_request_u.order = *order;
  share_payload (carried, &ask, now_ms);
  fb_peers_ask (entry, daemon, &ask, patience_ms, on_told, carried);
}

/* ---- carrying ------------------------------------------------------------------------ */

typedef struct
{
  FbEntry *entry;
  FbTold done;
  gpointer user;
  fb_order_kind kind;
  char *worker;
} Order;

/* ROWS and ENDS borrow from ANSWER. */
static void
tell_look (const FbPollAnswer *answer, fb_relay_reply *told, fb_reported_run *rows,
           fb_reported_end *ends)
{
  for (guint i = 0; i < answer->running->len; i++)
    {
      const FbReportedRun *run = &g_array_index (answer->running, FbReportedRun, i);
      rows[i] = (fb_reported_run){ run->task, run->attempt, run->checkpoint };
    }
  for (guint i = 0; i < answer->finished->len; i++)
    {
      const FbReportedEnd *end = &g_array_index (answer->finished, FbReportedEnd, i);
      ends[i]
          = (fb_reported_end){ end->number, end->task, end->attempt, end->how, end->checkpoint };
    }
  told->running.running_len = answer->running->len;
  told->running.running_val = rows;
  told->finished.finished_len = answer->finished->len;
  told->finished.finished_val = ends;
}

static void
on_reply (gpointer data, const FbHttpReply *reply)
{
  Order *order = data;
  FbPollAnswer answer;
  fb_relay_worker_answer (order->kind, order->worker, reply, &answer);
  if (order->kind == FB_ORDER_KIND_POLL)
    fb_recent_starts_polled (order->entry->recent_starts, order->worker, &answer);
  fb_peer_reply told = { .type = FB_REPLY_ORDER_RESULT };
  fb_relay_reply *mine = &told.fb_peer_reply_u.order;
  mine->result = answer.result;
  mine->clock_ms = answer.clock_ms;
  mine->incarnation = answer.incarnation != NULL ? answer.incarnation : "";
  guint runs_n = answer.running != NULL ? answer.running->len : 0;
  guint ends_n = answer.finished != NULL ? answer.finished->len : 0;
  g_autofree fb_reported_run *rows = g_new0 (fb_reported_run, runs_n + 1);
  g_autofree fb_reported_end *ends = g_new0 (fb_reported_end, ends_n + 1);
  if (answer.running != NULL && answer.finished != NULL)
    tell_look (&answer, mine, rows, ends);
  order->done (order->user, &told);
  fb_poll_answer_clear (&answer);
  g_free (order->worker);
  g_free (order);
}

/* Keeps the payload of ASK, or puts the one that it names into it; borrowed.
 * Returns: FALSE when that is not here. */
static gboolean
complete_payload (FbEntry *entry, fb_relay_request *ask)
{
  FbPayloadDigest digest;
  if (ask->payload_digest.payload_digest_len != sizeof digest.bytes)
    return TRUE;
  memcpy (digest.bytes, ask->payload_digest.payload_digest_val, sizeof digest.bytes);
  if (*ask->payload != '\0')
    {
      fb_payload_cache_put (entry->payload_cache, &digest, ask->payload);
      return TRUE;
    }
  ask->payload = (char *) fb_payload_cache_get (entry->payload_cache, &digest);
  return ask->payload != NULL;
}

void
fb_relay_serve (FbEntry *entry, const fb_relay_request *ask, FbTold done, gpointer user)
{
  fb_relay_request complete = *ask;
  if (!complete_payload (entry, &complete))
    {
      static const fb_peer_reply no_payload = { .type = FB_REPLY_PAYLOAD_MISSING };
      done (user, &no_payload);
      return;
    }
  Order *order = g_new0 (Order, 1);
  order->entry = entry;
  order->done = done;
  order->user = user;
  order->kind = ask->kind;
  order->worker = g_strdup (ask->worker);
  fb_relay_call_worker (entry, &complete, on_reply, order);
}

void
fb_relay_poll_answer (const fb_relay_reply *told, FbPollAnswer *answer)
{
  *answer = (FbPollAnswer){ .result = (FbOrderResult) MIN (told->result, FB_ORDER_UNKNOWN),
                            .clock_ms = told->clock_ms,
                            .incarnation
                            = *told->incarnation != '\0' ? g_strdup (told->incarnation) : NULL };
  if (answer->result != FB_ORDER_DONE)
    return;
  answer->running
      = g_array_sized_new (FALSE, TRUE, sizeof (FbReportedRun), told->running.running_len);
  answer->finished
      = g_array_sized_new (FALSE, TRUE, sizeof (FbReportedEnd), told->finished.finished_len);
  for (u_int i = 0; i < told->running.running_len; i++)
    {
      const fb_reported_run *row = &told->running.running_val[i];
      FbReportedRun run
          = { .task = row->task, .attempt = row->attempt, .checkpoint = row->checkpoint };
      g_array_append_val (answer->running, run);
    }
  for (u_int i = 0; i < told->finished.finished_len; i++)
    {
      const fb_reported_end *row = &told->finished.finished_val[i];
      FbReportedEnd end = { .number = row->number,
                            .task = row->task,
                            .attempt = row->attempt,
                            .how = (FbEndReason) MIN (row->how, FB_END_GANG_TIMEOUT),
                            .checkpoint = row->checkpoint };
      g_array_append_val (answer->finished, end);
    }
}
