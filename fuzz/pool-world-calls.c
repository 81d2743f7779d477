/* Calls of the fuzzing world: what connections do to an order on its way, and the reply that the
 * platform's adapter makes a result of. */
#include "pool-world.h"

/* Copies of a call that may be carried out after the last of them was answered. */
#define LATE_MOST_MS 12000

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

/* Rows of what runs on WORKER and of what ended there. */
static void
add_rows (GString *body, const Worker *worker, guint ends_most)
{
  static const char *const hows[] = { "done", "failed", "stopped", "lapsed", "broken", "alone" };
  g_string_append (body, ",\"running\":[");
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const Run *run = &g_array_index (worker->runs, Run, i);
      g_string_append_printf (body, "%s[\"%s\",%u,\"\",0]", i > 0 ? "," : "", run->task,
                              run->attempt);
    }
  g_string_append (body, "],\"finished\":[");
  for (guint i = 0; i < MIN (worker->ends->len, ends_most); i++)
    {
      const End *end = &g_array_index (worker->ends, End, i);
      g_string_append_printf (body, "%s[%" G_GUINT64_FORMAT ",\"%s\",%u,\"%s\",\"\"]",
                              i > 0 ? "," : "", end->number, end->task, end->attempt,
                              hows[end->how]);
    }
  g_string_append_c (body, ']');
}

/* Returns: the reply to ORDER, whose body is the caller's to free.  WORKER: whose runs and first
 * ENDS_MOST ends it lists, and with SAYS_BIRTH when it was born; may be NULL. */
static FbHttpReply
make_reply (const Order *order, FbOrderResult result, const Worker *worker, guint ends_most,
            gboolean says_birth, uint64_t clock_ms)
{
  FbHttpReply reply = { .status = FB_HTTP_OK, .sent = TRUE, .transmissions = order->copies };
  if (result == FB_ORDER_UNKNOWN)
    {
      reply.status = FB_HTTP_TIMEOUT;
      return reply;
    }
  if (result == FB_ORDER_NO_LISTENER || order->unsent)
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
    add_rows (body, worker, ends_most);
  if (worker != NULL && says_birth)
    g_string_append_printf (body, ",\"born\":%" G_GUINT64_FORMAT, worker->incarnation_started_ms);
  g_string_append_c (body, '}');
  reply.body = g_string_free_to_bytes (body);
  return reply;
}

FbOrderResult
world_reply (const Order *order, FbOrderResult result, uint64_t *clock_ms)
{
  FbHttpReply reply = make_reply (order, result, NULL, 0, FALSE, *clock_ms);
  FbOrderResult told = fb_wire_parse_order_result (&reply, clock_ms);
  g_clear_pointer (&reply.body, g_bytes_unref);
  return told;
}

void
world_reply_to_look (const World *world, const Order *order, FbOrderResult result,
                     const Worker *worker, uint64_t clock_ms, FbPollAnswer *answer)
{
  guint ends_most = world->repeats ? ENDS_LISTED : G_MAXUINT;
  const Worker *listed = result == FB_ORDER_DONE ? worker : NULL;
  gboolean says_birth = world->returns != RETURNS_UNDER_NEW_IDS;
  FbHttpReply reply = make_reply (order, result, listed, ends_most, says_birth, clock_ms);
  fb_wire_parse_poll (&reply, order->worker_name, answer);
  g_clear_pointer (&reply.body, g_bytes_unref);
}

/* ---- trouble --------------------------------------------------------------------------- */

/* The copy that is answered is refused, and nothing is done for it. */
static void
draw_refusal (World *world, Order *order)
{
  static const struct
  {
    FbOrderResult result;
    guint code;      /* 0: the one of RESULT */
    gboolean unsent; /* no connection came about */
    gboolean of_start;
    gboolean of_ticket;
  } table[] = { { FB_ORDER_NOT_DONE, 0, FALSE, FALSE, FALSE },
                { FB_ORDER_NOT_DONE, 429, FALSE, FALSE, FALSE },
                { FB_ORDER_NOT_DONE, 0, TRUE, FALSE, FALSE },
                { FB_ORDER_NO_LISTENER, 0, FALSE, TRUE, FALSE },
                { FB_ORDER_NO_CAPACITY, 0, FALSE, TRUE, FALSE },
                { FB_ORDER_PAST_DEADLINE, 0, FALSE, TRUE, FALSE },
                { FB_ORDER_BAD_TICKET, 0, FALSE, TRUE, TRUE } };
  guint i = world_chance (world, G_N_ELEMENTS (table));
  if ((table[i].of_start && order->kind != ORDER_START) || (table[i].of_ticket && !order->ticket))
    i = 0;
  order->refusal = table[i].result;
  order->refusal_code = table[i].code;
  order->unsent = table[i].unsent;
}

/* A copy whose connection ends without an answer: it is carried out now, late or never. */
static void
lose_copy (World *world, const Order *order)
{
  guint fate = world_chance (world, 4);
  if (fate == 0)
    return;
  Order *lost = g_memdup2 (order, sizeof *order);
  lost->answer_lost = TRUE;
  lost->gives_up_ms = G_MAXUINT64;
  if (fate == 1)
    lost->taken_ms = world->now_ms + 2;
  if (fate == 1)
    lost->arrives_ms = world->now_ms + 2 + world_chance (world, LATE_MOST_MS);
  g_ptr_array_add (world->orders, lost);
}

static gboolean
is_in_trouble (World *world, const Order *order)
{
  if (world->workers[order->worker].failing || world->now_ms < world->breaking_ms)
    return world_chance (world, 2) == 0;
  return world_chance (world, 30) == 0;
}

void
world_call (World *world, Order *order)
{
  order->copies = 1;
  if (!world->repeats || world->healing || !is_in_trouble (world, order))
    {
      g_ptr_array_add (world->orders, order);
      return;
    }
  guint kind = world_chance (world, 4);
  if (kind > 0)
    {
      lose_copy (world, order);
      order->copies++;
      order->arrives_ms += world_chance (world, world_chance (world, 4) == 0 ? 500 : 20);
    }
  if (kind > 1 && world_chance (world, 4) == 0)
    {
      lose_copy (world, order);
      order->copies++;
    }
  if (kind != 1)
    draw_refusal (world, order);
  g_ptr_array_add (world->orders, order);
}
