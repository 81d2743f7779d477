/* Orders of pools to workers.  An order on its way outlives its owner, so it carries names
 * and finds the pool again when its answer comes. */
#include "owner-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "fb-histogram.h"

/* An answered order takes a few ms; a worker that hangs should not hold up its
 * caller for long. */
#define ORDER_MS 600

typedef enum
{
  ORDER_START,
  ORDER_STOP,
  ORDER_LOOK
} OrderKind;

typedef struct
{
  FbEntry *entry;
  uint32_t partition;
  uint64_t epoch;
  char *service;
  char *worker;
  uint64_t order;
  OrderKind kind;
  uint64_t sent_ms;
} Order;

static Order *
order_new (const FbOwnerPart *part, const char *worker, uint64_t id, OrderKind kind)
{
  Order *order = g_new0 (Order, 1);
  order->entry = part->owner->entry;
  order->partition = part->owner->partition;
  order->epoch = part->owner->epoch;
  order->service = g_strdup (part->service);
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

static FbOwnerPart *
part_of_order (const Order *order)
{
  FbOwner *owner = fb_entry_owner (order->entry, order->partition);
  if (owner == NULL || owner->epoch != order->epoch)
    return NULL;
  return g_hash_table_lookup (owner->parts, order->service);
}

static void
take_look (FbOwnerPart *part, const Order *order, const FbHttpReply *reply)
{
  FbLookAnswer answer;
  fb_wire_look_answer (reply, &answer);
  fb_pool_look_answered (part->pool, order->worker, &answer, fb_clock_ms (), fb_clock_wall_ms ());
  fb_look_answer_clear (&answer);
}

static void
take_result (FbOwnerPart *part, const Order *order, const FbHttpReply *reply)
{
  uint64_t clock_ms = 0;
  FbOrderResult result = fb_wire_order_result (reply, &clock_ms);
  if (order->kind == ORDER_START)
    fb_pool_start_answered (part->pool, order->order, result, clock_ms, fb_clock_ms ());
  else
    fb_pool_stop_answered (part->pool, order->order, result, clock_ms, fb_clock_ms ());
}

static void
on_order_reply (gpointer data, const FbHttpReply *reply)
{
  Order *order = data;
  FbOwnerPart *part = part_of_order (order);
  if (reply->status != FB_HTTP_OK)
    {
      fb_counter_add (FB_COUNTER_WORKER_ERRORS, 1);
      fb_event_log (FB_EVENT_CALL_FAILED, "worker=%s kind=%d status=%d sent=%d after_ms=%u",
                    order->worker, order->kind, reply->status, reply->sent,
                    (guint) (fb_clock_ms () - order->sent_ms));
    }
  if (order->kind != ORDER_LOOK)
    fb_histogram_add (FB_HISTOGRAM_ORDER, fb_clock_ms () - order->sent_ms);
  if (part != NULL && order->kind == ORDER_LOOK)
    take_look (part, order, reply);
  else if (part != NULL)
    take_result (part, order, reply);
  if (part != NULL)
    fb_owner_kick (part->owner);
  order_free (order);
}

static void
send_order (const FbOwnerPart *part, FbHttpCall *call, guint timeout_ms, Order *order)
{
  fb_counter_add (FB_COUNTER_WORKER_SYNCS, 1);
  fb_http_client_exchange (part->owner->entry->worker_client, call, timeout_ms, on_order_reply,
                           order);
  fb_http_call_clear (call);
}

static void
sink_start (gpointer user, const FbStartOrder *order)
{
  FbHttpCall call;
  fb_wire_start (&call, order);
  send_order (user, &call, ORDER_MS, order_new (user, order->worker, order->order, ORDER_START));
}

static void
sink_stop (gpointer user, const FbStopOrder *order)
{
  FbHttpCall call;
  fb_wire_stop (&call, order);
  send_order (user, &call, ORDER_MS, order_new (user, order->worker, order->order, ORDER_STOP));
}

static void
sink_look (gpointer user, const FbLookOrder *order)
{
  FbHttpCall call;
  fb_wire_look (&call, order);
  send_order (user, &call, order->wait_ms + order->answer_ms,
              order_new (user, order->worker, 0, ORDER_LOOK));
}

static gboolean
sink_advise (gpointer user, const char *step, const char *const *workers, guint n,
             uint32_t expected_ms)
{
  const FbOwner *owner = ((FbOwnerPart *) user)->owner;
  return fb_advisor_ask (owner->entry->advisor, owner->partition, step, workers, n, expected_ms);
}

void
fb_owner_lose (FbOwner *self, const char *why)
{
  if (!self->lost)
    fb_event_log (FB_EVENT_POOL_LOST, "partition=%u epoch=%" G_GUINT64_FORMAT " why=%s",
                  self->partition, self->epoch, why);
  self->lost = TRUE;
}

static void
sink_fenced (gpointer user, const char *worker)
{
  (void) worker;
  fb_owner_lose (((FbOwnerPart *) user)->owner, "a worker has seen a later owner");
}

const FbPoolSink fb_owner_sink = { sink_start, sink_stop, sink_look, sink_advise, sink_fenced };
