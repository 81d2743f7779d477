#include "two-pools.h"
#include "idle-callbacks.h"
#include "recorded-workers.h"

#include <stdlib.h>
#include <string.h>

#define STEP_MS 2
#define START_MS 100000
#define WALL_OFFSET_MS 1000000000
/* As in src/entry/owner/owner-account-parts.c. */
#define APPLY_INTERVAL_MS 20

typedef struct
{
  uint64_t due_ms;
  guint from;
  gboolean is_reply;
  gboolean answered;
  fb_account_parts_request request;
  fb_account_grants_reply reply;
} Message;

/* ---- the workers --------------------------------------------------------------------- */

static void
clear_run (gpointer data)
{
  g_free (((FbReportedRun *) data)->task);
}

static void
clear_end (gpointer data)
{
  g_free ((char *) ((FbReportedEnd *) data)->task);
}

static void
on_start (gpointer user, const FbStartOrder *order)
{
  TwoPoolsSide *side = user;
  const FbReportedRun run = { g_strdup (order->task), order->attempt, "", FB_PERCENT_NOT_REPORTED };
  const uint64_t ends_ms = side->world->now_ms + side->world->run_ms;
  g_array_append_val (side->runs, run);
  g_array_append_val (side->run_ends, ends_ms);
  g_array_append_val (side->starts, order->order);
}

static void
on_poll (gpointer user, const FbPollOrder *order)
{
  TwoPoolsSide *side = user;
  side->poll_open = TRUE;
  while (side->ends->len > 0
         && g_array_index (side->ends, FbReportedEnd, 0).number <= order->acknowledged)
    g_array_remove_index (side->ends, 0);
}

static const FbPoolCallbacks two_pools_callbacks
    = { on_start, idle_on_stop, on_poll, idle_on_request_advice, idle_on_fenced, NULL, NULL, NULL };

static void
end_runs (TwoPoolsSide *side)
{
  for (guint i = side->runs->len; i > 0; i--)
    {
      FbReportedRun *run = &g_array_index (side->runs, FbReportedRun, i - 1);
      if (side->world->now_ms < g_array_index (side->run_ends, uint64_t, i - 1))
        continue;
      const FbReportedEnd end = { .number = ++side->last_end,
                                  .task = g_strdup (run->task),
                                  .attempt = run->attempt,
                                  .reason = FB_END_DONE,
                                  .checkpoint = "" };
      g_array_append_val (side->ends, end);
      g_array_remove_index (side->runs, i - 1);
      g_array_remove_index (side->run_ends, i - 1);
    }
}

static void
answer_orders (TwoPoolsSide *side)
{
  const uint64_t now_ms = side->world->now_ms;
  for (guint i = 0; i < side->starts->len; i++)
    fb_pool_start_answered (side->pool, g_array_index (side->starts, uint64_t, i), FB_ORDER_DONE,
                            now_ms, now_ms);
  g_array_set_size (side->starts, 0);
  if (!side->poll_open)
    return;
  side->poll_open = FALSE;
  const FbPollAnswer answer = { .clock_ms = now_ms, .running = side->runs, .finished = side->ends };
  fb_pool_poll_answered (side->pool, side->worker, &answer, now_ms, WALL_OFFSET_MS + now_ms);
}

/* ---- messages ------------------------------------------------------------------------------ */

static void
message_free (gpointer data)
{
  Message *message = data;
  fb_account_parts_request_clear (&message->request);
  if (message->answered)
    xdr_free ((xdrproc_t) xdr_fb_account_grants_reply, (char *) &message->reply);
  g_free (message);
}

static void
exchange_parts (TwoPoolsSide *side)
{
  TwoPools *self = side->world;
  TwoPoolsSide *other = &self->sides[1 - side->index];
  if (self->now_ms < side->parts_ms + APPLY_INTERVAL_MS)
    return;
  side->parts_ms = self->now_ms;
  fb_account_parts_apply (side->parts, side->pool);
  fb_account_parts_measure_waits (side->parts, side->pool, self->now_ms);
  Message *message = g_new0 (Message, 1);
  if (!fb_account_parts_build_request (side->parts, side->pool, other->service, self->now_ms,
                                       &message->request))
    {
      g_free (message);
      return;
    }
  side->requests_n++;
  message->from = side->index;
  message->due_ms = self->now_ms + TWO_POOLS_DELAY_MS;
  g_queue_push_tail (self->messages, message);
}

static void
deliver (TwoPools *self, Message *message)
{
  TwoPoolsSide *from = &self->sides[message->from];
  TwoPoolsSide *to = &self->sides[1 - message->from];
  if (message->is_reply)
    {
      fb_account_parts_answered (from->parts, to->service,
                                 message->answered ? &message->reply : NULL);
      from->parts_ms = 0;
      message_free (message);
      return;
    }
  message->answered
      = fb_account_parts_serve (to->parts, to->pool, &message->request, &message->reply);
  message->is_reply = TRUE;
  message->due_ms = self->now_ms + TWO_POOLS_DELAY_MS;
  g_queue_push_tail (self->messages, message);
}

/* ---- the world ----------------------------------------------------------------------------- */

static void
step_world (TwoPools *self)
{
  self->now_ms += STEP_MS;
  while (!g_queue_is_empty (self->messages)
         && ((Message *) g_queue_peek_head (self->messages))->due_ms <= self->now_ms)
    deliver (self, g_queue_pop_head (self->messages));
  for (guint i = 0; i < TWO_POOLS_N; i++)
    {
      TwoPoolsSide *side = &self->sides[i];
      end_runs (side);
      answer_orders (side);
      exchange_parts (side);
      fb_pool_jobs_complete (side->pool, self->now_ms);
      fb_pool_tick (side->pool, TRUE, self->now_ms, WALL_OFFSET_MS + self->now_ms);
      g_autoptr (GPtrArray) records
          = fb_pool_flush (side->pool, self->now_ms, WALL_OFFSET_MS + self->now_ms);
      if (records != NULL)
        fb_pool_flushed (side->pool, self->now_ms);
    }
}

void
two_pools_run (TwoPools *self, uint32_t ms)
{
  for (uint64_t end_ms = self->now_ms + ms; self->now_ms < end_ms;)
    step_world (self);
}

static void
begin_side (TwoPools *self, guint index, const FbAmounts *capacity)
{
  static const FbPoolLimits limits = {
    .max_lease_ms = 6000, .max_stop_ms = 200, .gang_wait_ms = 3000, .caps_are_divided = TRUE
  };
  static const char *const no_labels[] = { NULL };
  TwoPoolsSide *side = &self->sides[index];
  side->world = self;
  side->index = index;
  g_snprintf (side->service, sizeof side->service, "service-%u", index);
  g_snprintf (side->worker, sizeof side->worker, "worker-%u", index);
  side->runs = g_array_new (FALSE, TRUE, sizeof (FbReportedRun));
  side->run_ends = g_array_new (FALSE, TRUE, sizeof (uint64_t));
  side->ends = g_array_new (FALSE, TRUE, sizeof (FbReportedEnd));
  side->starts = g_array_new (FALSE, TRUE, sizeof (uint64_t));
  g_array_set_clear_func (side->runs, clear_run);
  g_array_set_clear_func (side->ends, clear_end);
  side->pool = fb_pool_new (side->service, 1, &limits, &two_pools_callbacks, side, self->now_ms);
  fb_pool_set_leases_until (side->pool, G_MAXUINT64);
  side->parts = fb_account_parts_new (side->service, 1);
  fb_account_parts_set_services (side->parts, self->services);
  const FbWorkerEntry entry = { .id = side->worker,
                                .address = side->worker,
                                .labels = no_labels,
                                .cpu_milli = (uint32_t) capacity->cpu_milli,
                                .mem_mb = (uint32_t) capacity->mem_mb,
                                .gpu_count = (uint32_t) capacity->gpu_count };
  list_recorded_worker (side->pool, &entry, self->now_ms);
  fb_pool_workers_complete (side->pool);
}

static void
account_free (gpointer data)
{
  FbAccount *account = data;
  g_free (account->name);
  g_free (account);
}

TwoPools *
two_pools_new (const FbAmounts *capacities)
{
  TwoPools *self = g_new0 (TwoPools, 1);
  self->now_ms = START_MS;
  self->run_ms = 3000;
  self->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, account_free);
  self->services = g_ptr_array_new_with_free_func (g_free);
  self->messages = g_queue_new ();
  for (guint i = 0; i < TWO_POOLS_N; i++)
    g_ptr_array_add (self->services, g_strdup_printf ("service-%u", i));
  for (guint i = 0; i < TWO_POOLS_N; i++)
    begin_side (self, i, &capacities[i]);
  return self;
}

void
two_pools_free (TwoPools *self)
{
  for (guint i = 0; i < TWO_POOLS_N; i++)
    {
      TwoPoolsSide *side = &self->sides[i];
      fb_pool_free (side->pool);
      fb_account_parts_free (side->parts);
      g_array_unref (side->runs);
      g_array_unref (side->run_ends);
      g_array_unref (side->ends);
      g_array_unref (side->starts);
    }
  g_queue_free_full (self->messages, message_free);
  g_ptr_array_unref (self->services);
  g_hash_table_unref (self->accounts);
  g_free (self);
}

const char *
two_pools_add_account (TwoPools *self, guint coordinator, const FbAmounts *cap)
{
  FbAccount *account = g_new0 (FbAccount, 1);
  /* The service that coordinates an account follows from the name. */
  for (guint i = 0; account->name == NULL; i++)
    {
      g_autofree char *name = g_strdup_printf ("account-%u", i);
      if (!g_hash_table_contains (self->accounts, name)
          && fb_account_parts_is_coordinated_by (self->sides[0].parts, name,
                                                 self->sides[coordinator].service))
        account->name = g_steal_pointer (&name);
    }
  account->cap = *cap;
  g_hash_table_insert (self->accounts, account->name, account);
  for (guint i = 0; i < TWO_POOLS_N; i++)
    fb_pool_set_accounts (self->sides[i].pool, self->accounts);
  return account->name;
}

void
two_pools_set_weight (TwoPools *self, const char *name, uint32_t weight)
{
  FbAccount *account = g_hash_table_lookup (self->accounts, name);
  account->weight = weight;
  g_autoptr (GHashTable) configured = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbAccount *other = value;
      if (other->weight > 0)
        g_hash_table_insert (configured, other->name, other);
    }
  for (guint i = 0; i < TWO_POOLS_N; i++)
    fb_pool_set_accounts (self->sides[i].pool, configured);
}

void
two_pools_add_job (TwoPools *self, guint side, const char *account, guint count, gboolean gang,
                   const FbAmounts *demand)
{
  fb_work_step step = { .count = count,
                        .cpu_milli = (u_int) demand->cpu_milli,
                        .mem_mb = (u_int) demand->mem_mb,
                        .gpu_count = (u_int) demand->gpu_count,
                        .gang = gang,
                        .estimate_ms = 1000,
                        .preferred_rack = "",
                        .required_label = "",
                        .image = "" };
  fb_work_admit record = { .policy = { .queue = "q",
                                       .service = self->sides[side].service,
                                       .max_attempts = 3,
                                       .stretch_factor_milli = 4000,
                                       .target_ms = 60000 },
                           .spec = { .payload = "" },
                           .accepted_ms = WALL_OFFSET_MS + self->now_ms,
                           .account = (char *) account };
  record.spec.steps.steps_len = 1;
  record.spec.steps.steps_val = &step;
  g_autofree char *id = g_strdup_printf ("%016x", ++self->jobs_n);
  fb_pool_add_job (self->sides[side].pool, id, &record, self->now_ms,
                   WALL_OFFSET_MS + self->now_ms);
}

typedef struct
{
  const char *account;
  FbPoolAccountUsage usage;
} UsageContext;

static void
find_usage (gpointer user, const FbPoolAccountUsage *usage)
{
  UsageContext *context = user;
  if (g_str_equal (usage->name, context->account))
    context->usage = *usage;
}

FbPoolAccountUsage
two_pools_usage (const TwoPools *self, guint side, const char *account)
{
  UsageContext context = { .account = account };
  fb_pool_foreach_account (self->sides[side].pool, find_usage, &context);
  return context.usage;
}
