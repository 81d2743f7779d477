/* Calls from owners to the simulated workers: connection faults, and the encoded replies that the
 * platform's adapter decodes. */
#include "pool-world.h"

/* A copy of a call may be executed this much later, also after the last copy was answered. */
#define MAX_LATE_MS 12000

static const struct
{
  guint code;
  const char *reason;
} replies[]
    = { [FB_ORDER_DONE] = { 200, NULL },          [FB_ORDER_FENCED] = { 409, "fence" },
        [FB_ORDER_SUPERSEDED] = { 409, "old" },   [FB_ORDER_PAST_DEADLINE] = { 409, "late" },
        [FB_ORDER_NO_CAPACITY] = { 409, "room" }, [FB_ORDER_BAD_TICKET] = { 409, "ticket" },
        [FB_ORDER_NOT_DONE] = { 503, NULL },      [FB_ORDER_OTHER_INCARNATION] = { 421, NULL },
        [FB_ORDER_NO_LISTENER] = { 0, NULL },     [FB_ORDER_UNKNOWN] = { 0, NULL } };

/* ---- replies --------------------------------------------------------------------------- */

/* Appends the running tasks of WORKER and its first MAX_ENDS ends. */
static void
add_rows (GString *body, const Worker *worker, guint max_ends)
{
  static const char *const reason_names[]
      = { "done", "failed", "stopped", "lapsed", "broken", "alone" };
  g_string_append (body, ",\"running\":[");
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const Run *run = &g_array_index (worker->runs, Run, i);
      g_string_append_printf (body, "%s[\"%s\",%u,\"%s\",%u]", i > 0 ? "," : "", run->task,
                              run->attempt, run->checkpoint, run->percent);
    }
  g_string_append (body, "],\"finished\":[");
  for (guint i = 0; i < MIN (worker->ends->len, max_ends); i++)
    {
      const End *end = &g_array_index (worker->ends, End, i);
      g_string_append_printf (body, "%s[%" G_GUINT64_FORMAT ",\"%s\",%u,\"%s\",\"%s\"]",
                              i > 0 ? "," : "", end->number, end->task, end->attempt,
                              reason_names[end->reason], end->checkpoint);
    }
  g_string_append_c (body, ']');
}

/* Returns: the reply to ORDER; the caller frees its body.  It lists the runs and the first MAX_ENDS
 * ends of WORKER, and with REPORTS_START when the incarnation started; WORKER may be NULL. */
static FbHttpReply
make_reply (const Order *order, FbOrderResult result, const Worker *worker, guint max_ends,
            gboolean reports_start, uint64_t clock_ms)
{
  FbHttpReply reply = { .status = FB_HTTP_OK, .sent = TRUE, .transmissions = order->copies };
  if (result == FB_ORDER_UNKNOWN)
    {
      reply.status = FB_HTTP_TIMEOUT;
      return reply;
    }
  if (result == FB_ORDER_NO_LISTENER || order->not_sent)
    {
      reply.status = FB_HTTP_UNREACHABLE;
      reply.refused = result == FB_ORDER_NO_LISTENER;
      reply.sent = order->copies > 1;
      return reply;
    }
  reply.code = order->refusal_code != 0 ? order->refusal_code : replies[result].code;
  GString *body = g_string_new (NULL);
  g_string_printf (body, "{\"clock-ms\":%" G_GUINT64_FORMAT, clock_ms);
  if (replies[result].reason != NULL)
    g_string_append_printf (body, ",\"reason\":\"%s\"", replies[result].reason);
  if (worker != NULL)
    add_rows (body, worker, max_ends);
  if (worker != NULL && reports_start)
    g_string_append_printf (body, ",\"born\":%" G_GUINT64_FORMAT, worker->incarnation_started_ms);
  g_string_append_c (body, '}');
  reply.body = g_string_free_to_bytes (body);
  return reply;
}

FbOrderResult
world_reply (const Order *order, FbOrderResult result, uint64_t *clock_ms)
{
  FbHttpReply reply = make_reply (order, result, NULL, 0, FALSE, *clock_ms);
  FbOrderResult parsed = fb_wire_parse_order_result (&reply, clock_ms);
  g_clear_pointer (&reply.body, g_bytes_unref);
  return parsed;
}

void
world_poll_reply (const World *world, const Order *order, FbOrderResult result,
                  const Worker *worker, uint64_t clock_ms, FbPollAnswer *answer)
{
  guint max_ends = world->repeats ? MAX_REPORTED_ENDS : G_MAXUINT;
  const Worker *listed = result == FB_ORDER_DONE ? worker : NULL;
  gboolean reports_start = world->restart_mode != RESTART_NEW_ID;
  FbHttpReply reply = make_reply (order, result, listed, max_ends, reports_start, clock_ms);
  fb_wire_parse_poll (&reply, order->worker_name, answer);
  g_clear_pointer (&reply.body, g_bytes_unref);
}

/* ---- connection faults ------------------------------------------------------------- */

/* The copy that is answered is refused without being executed. */
static void
draw_refusal (World *world, Order *order)
{
  static const struct
  {
    FbOrderResult result;
    guint code;        /* status code; 0: the usual one of RESULT */
    gboolean not_sent; /* no connection was made */
    gboolean of_start;
    gboolean of_ticket;
  } table[] = { { FB_ORDER_NOT_DONE, 0, FALSE, FALSE, FALSE },
                { FB_ORDER_NOT_DONE, 429, FALSE, FALSE, FALSE },
                { FB_ORDER_NOT_DONE, 0, TRUE, FALSE, FALSE },
                { FB_ORDER_NO_LISTENER, 0, FALSE, TRUE, FALSE },
                { FB_ORDER_NO_CAPACITY, 0, FALSE, TRUE, FALSE },
                { FB_ORDER_PAST_DEADLINE, 0, FALSE, TRUE, FALSE },
                { FB_ORDER_BAD_TICKET, 0, FALSE, TRUE, TRUE } };
  guint i = world_random (world, G_N_ELEMENTS (table));
  if ((table[i].of_start && order->kind != ORDER_START)
      || (table[i].of_ticket && !order->has_ticket))
    i = 0;
  order->refusal = table[i].result;
  order->refusal_code = table[i].code;
  order->not_sent = table[i].not_sent;
}

/* Sends a copy whose connection breaks before the reply: it is executed now, late or never. */
static void
send_unanswered_copy (World *world, const Order *order)
{
  guint outcome = world_random (world, 4);
  if (outcome == 0)
    return;
  Order *lost = g_memdup2 (order, sizeof *order);
  lost->answer_lost = TRUE;
  lost->timeout_at_ms = G_MAXUINT64;
  if (outcome == 1)
    lost->received_ms = world->now_ms + 2;
  if (outcome == 1)
    lost->arrives_ms = world->now_ms + 2 + world_random (world, MAX_LATE_MS);
  g_ptr_array_add (world->orders, lost);
}

static gboolean
draw_connection_fault (World *world, const Order *order)
{
  if (world->workers[order->worker].failing || world->now_ms < world->connections_break_until_ms)
    return world_random (world, 2) == 0;
  return world_random (world, 30) == 0;
}

void
world_call (World *world, Order *order)
{
  order->copies = 1;
  if (!world->repeats || world->healing || !draw_connection_fault (world, order))
    {
      g_ptr_array_add (world->orders, order);
      return;
    }
  guint kind = world_random (world, 4);
  if (kind > 0)
    {
      send_unanswered_copy (world, order);
      order->copies++;
      order->arrives_ms += world_random (world, world_random (world, 4) == 0 ? 500 : 20);
    }
  if (kind > 1 && world_random (world, 4) == 0)
    {
      send_unanswered_copy (world, order);
      order->copies++;
    }
  if (kind != 1)
    draw_refusal (world, order);
  g_ptr_array_add (world->orders, order);
}
