/* Sends the orders of pools to workers.  An order in flight may outlive its owner, so it contains
 * names, and the pool is looked up when the answer arrives. */
#include "owner-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "fb-histogram.h"

typedef struct
{
  FbEntryDaemon *entry;
  uint32_t partition;
  uint64_t epoch;
  char *service;
  char *worker;
  uint64_t order;
  fb_order_kind kind;
  uint64_t sent_ms;
} Order;

static Order *
order_new (const FbServicePool *service_pool, const char *worker, uint64_t id, fb_order_kind kind)
{
  Order *order = g_new0 (Order, 1);
  order->entry = service_pool->owner->entry;
  order->partition = service_pool->owner->partition;
  order->epoch = service_pool->owner->epoch;
  order->service = g_strdup (service_pool->service);
  order->worker = g_strdup (worker);
  order->order = id;
  order->kind = kind;
  order->sent_ms = fb_clock_ms ();
  return order;
}

static void
order_free (Order *order)
{
  g_free (order->service);
  g_free (order->worker);
  g_free (order);
}

static FbServicePool *
pool_of_order (const Order *order)
{
  FbOwner *owner = fb_entry_owner (order->entry, order->partition);
  if (owner == NULL || owner->epoch != order->epoch)
    return NULL;
  return g_hash_table_lookup (owner->service_pools, order->service);
}

static void
pass_answer (FbServicePool *service_pool, const Order *order, const FbPollAnswer *answer)
{
  uint64_t now_ms = fb_clock_ms ();
  if (order->kind == FB_ORDER_KIND_POLL)
    fb_pool_poll_answered (service_pool->pool, order->worker, answer, now_ms, fb_clock_wall_ms ());
  else if (order->kind == FB_ORDER_KIND_START)
    fb_pool_start_answered (service_pool->pool, order->order, answer->result, answer->clock_ms,
                            now_ms);
  else
    fb_pool_stop_answered (service_pool->pool, order->order, answer->result, answer->clock_ms,
                           now_ms);
}

/* Passes ANSWER to the pool of ORDER, if this daemon still owns it, and frees ORDER. */
static void
finish (Order *order, const FbPollAnswer *answer)
{
  FbServicePool *service_pool = pool_of_order (order);
  if (order->kind != FB_ORDER_KIND_POLL)
    fb_histogram_add (FB_HISTOGRAM_ORDER, fb_clock_ms () - order->sent_ms);
  if (service_pool != NULL)
    {
      pass_answer (service_pool, order, answer);
      fb_owner_schedule_tick (service_pool->owner);
    }
  order_free (order);
}

static void
log_failed (const Order *order, int status, gboolean sent)
{
  fb_counter_add (FB_COUNTER_WORKER_ERRORS, 1);
  fb_event_log (FB_EVENT_CALL_FAILED, "worker=%s kind=%d status=%d sent=%d after_ms=%u",
                order->worker, order->kind, status, sent,
                (guint) (fb_clock_ms () - order->sent_ms));
}

static void
on_order_reply (gpointer data, const FbHttpReply *reply)
{
  Order *order = data;
  FbPollAnswer answer;
  fb_relay_parse_worker_answer (order->kind, order->worker, reply, &answer);
  if (reply->status != FB_HTTP_OK || answer.result == FB_ORDER_UNKNOWN)
    log_failed (order, reply->status, reply->sent);
  if (order->kind == FB_ORDER_KIND_POLL)
    fb_recent_starts_polled (order->entry->recent_starts, order->worker, &answer, fb_clock_ms ());
  finish (order, &answer);
  fb_poll_answer_clear (&answer);
}

static void
on_relayed (gpointer data, FbRelayResult result, const fb_peer_reply *peer_reply)
{
  Order *order = data;
  FbPollAnswer answer
      = { .result = result == FB_RELAY_LOST ? FB_ORDER_UNKNOWN : FB_ORDER_NOT_DONE };
  if (result == FB_RELAY_ANSWERED)
    fb_relay_decode_answer (peer_reply, &answer);
  /* This daemon may have sent starts to the worker before it owned the pool. */
  if (result == FB_RELAY_ANSWERED && order->kind == FB_ORDER_KIND_POLL)
    fb_recent_starts_polled (order->entry->recent_starts, order->worker, &answer, fb_clock_ms ());
  if (answer.result == FB_ORDER_UNKNOWN || result != FB_RELAY_ANSWERED)
    log_failed (order, (int) result, result != FB_RELAY_NOT_RELAYED);
  finish (order, &answer);
  fb_poll_answer_clear (&answer);
}

static void
send_order (const FbServicePool *service_pool, const fb_relay_request *peer_request, uint64_t id)
{
  FbEntryDaemon *entry = service_pool->owner->entry;
  Order *order = order_new (service_pool, peer_request->worker, id, peer_request->kind);
  const char *relay = fb_relay_address_for (entry, peer_request);
  fb_counter_add (FB_COUNTER_WORKER_SYNCS, 1);
  if (relay != NULL)
    fb_relay_send (entry, relay, peer_request, on_relayed, order);
  else
    fb_relay_call_worker (entry, peer_request, on_order_reply, order);
}

static void
sink_start (gpointer user, const FbStartOrder *order)
{
  const fb_relay_request peer_request
      = { .kind = FB_ORDER_KIND_START,
          .worker = (char *) order->worker,
          .address = (char *) order->address,
          .epoch = order->epoch,
          .task = (char *) order->task,
          .attempt = order->attempt,
          .payload = (char *) order->payload,
          .checkpoint = (char *) order->checkpoint,
          .ticket = (char *) (order->ticket != NULL ? order->ticket : ""),
          .deadline_ms = order->deadline_ms };
  send_order (user, &peer_request, order->order);
}

static void
sink_stop (gpointer user, const FbStopOrder *order)
{
  const fb_relay_request peer_request = { .kind = FB_ORDER_KIND_STOP,
                                          .worker = (char *) order->worker,
                                          .address = (char *) order->address,
                                          .epoch = order->epoch,
                                          .task = (char *) order->task,
                                          .attempt = order->attempt,
                                          .payload = "",
                                          .checkpoint = "",
                                          .ticket = "" };
  send_order (user, &peer_request, order->order);
}

static void
sink_poll (gpointer user, const FbPollOrder *order)
{
  const fb_relay_request peer_request = { .kind = FB_ORDER_KIND_POLL,
                                          .worker = (char *) order->worker,
                                          .address = (char *) order->address,
                                          .epoch = order->epoch,
                                          .task = "",
                                          .payload = "",
                                          .checkpoint = "",
                                          .ticket = "",
                                          .deadline_ms = order->deadline_ms,
                                          .acknowledged = order->acknowledged,
                                          .wait_ms = order->wait_ms,
                                          .answer_ms = order->timeout_ms };
  send_order (user, &peer_request, 0);
}

static gboolean
sink_advise (gpointer user, const char *step, const char *const *workers, guint n,
             uint32_t expected_ms)
{
  const FbOwner *owner = ((FbServicePool *) user)->owner;
  return fb_advisor_request (owner->entry->advisor, owner->partition, step, workers, n,
                             expected_ms);
}

guint
fb_owner_idle_daemons (gpointer user, uint32_t expected_ms)
{
  const FbOwner *owner = ((FbServicePool *) user)->owner;
  return fb_advisor_idle_n (owner->entry->advisor, expected_ms);
}

void
fb_owner_step_down (FbOwner *self, const char *reason)
{
  if (self->stepped_down)
    return;
  self->stepped_down = TRUE;
  g_autofree char *ages = fb_entry_format_timing (self->entry);
  fb_event_log (FB_EVENT_POOL_LOST,
                "partition=%u epoch=%" G_GUINT64_FORMAT " owned_ms=%" G_GUINT64_FORMAT
                " confirmed_ms_ago=%" G_GUINT64_FORMAT " why=\"%s\" %s",
                self->partition, self->epoch, fb_owner_owned_ms (self),
                fb_owner_confirmed_ms_ago (self), reason, ages);
}

static void
sink_fenced (gpointer user, const char *worker)
{
  (void) worker;
  fb_owner_step_down (((FbServicePool *) user)->owner, "a worker has received a higher epoch");
}

const FbPoolCallbacks fb_owner_pool_callbacks = { sink_start,
                                                  sink_stop,
                                                  sink_poll,
                                                  sink_advise,
                                                  sink_fenced,
                                                  fb_wire_incarnation_is_newer,
                                                  fb_owner_is_job_held,
                                                  fb_wire_incarnation_may_restart };
