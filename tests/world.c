#include "world.h"

#include "fb-event.h"
#include "internal/node-query.h"
#include "internal/rack-query.h"
#include "internal/sync-copy.h"
#include "oracle.h"
#include "world-log.h"
#include "world-worker.h"

#include <string.h>

#define STEP_MS 20
#define RECOVERY_MS 90000
#define QUERY_MS 2000
#define EXCHANGE_TIMEOUT_MS 1000
#define HOST_LIST_INTERVAL_MS 1000

typedef struct
{
  World *world;
  guint index;
  FbNode *node;
  guint incarnation; /* counts starts and kills; replies to an earlier one are dropped */
  gboolean paused;
  uint64_t hosts_sent_ms;
  gboolean draining;
  gboolean peers_unreachable;
  gboolean workers_unreachable;
  uint64_t last_serial[FB_PARTNER_N];
} DaemonSlot;

typedef enum
{
  EVENT_MSG,
  EVENT_EXCHANGE, /* an exchange arrives at the worker */
  EVENT_REPLY,    /* the worker's reply, or a timeout, arrives at the node */
  EVENT_APPENDED,
  EVENT_READ
} EventType;

typedef struct
{
  EventType type;
  uint64_t at_ms;
  uint64_t order;
  guint node;
  guint incarnation;
  GBytes *msg;
  uint32_t rack;
  guint host;
  uint64_t epoch;
  FbSyncRequest *exchange;
  WorkerReply *reply;
  gboolean ok;
  GArray *offsets;
  uint32_t stream;
  uint64_t from;
} Event;

struct _World
{
  WorldSize size;
  FbCell *cell;
  uint8_t secret[FB_PARTNER_N][FB_SIGN_SECRET_BYTES];
  DaemonSlot *slots;
  GSequence *events;
  uint64_t now_ms;
  uint64_t order;
  uint64_t incarnation;
  GRand *rand;
  guint loss_per_256;
  guint duplicate_per_256;
  guint delay_per_256;
  WorldLog *log;
  WorldLogState log_state;
  Worker **workers; /* rack * host_n + host */
  FbHostState *host_states;
  Oracle *oracle;
};

/* ---- events ----------------------------------------------------------- */

static void
event_free (gpointer data)
{
  Event *event = data;
  g_clear_pointer (&event->msg, g_bytes_unref);
  g_clear_pointer (&event->exchange, fb_sync_request_free);
  g_clear_pointer (&event->reply, worker_reply_free);
  if (event->offsets != NULL)
    g_array_free (event->offsets, TRUE);
  g_free (event);
}

static int
compare_event (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void) unused;
  const Event *x = a;
  const Event *y = b;
  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return (x->order > y->order) - (x->order < y->order);
}

static gboolean
chance (World *self, guint chance_per_256)
{
  return chance_per_256 > 0 && (guint) g_rand_int_range (self->rand, 0, 256) < chance_per_256;
}

static Event *
event_new (World *self, EventType type, const DaemonSlot *slot, uint64_t delay_ms)
{
  Event *event = g_new0 (Event, 1);
  event->type = type;
  event->at_ms = self->now_ms + delay_ms;
  event->order = ++self->order;
  event->node = slot->index;
  event->incarnation = slot->incarnation;
  return event;
}

static void
schedule_event (World *self, Event *event)
{
  g_sequence_insert_sorted (self->events, event, compare_event, NULL);
}

static uint64_t
draw_delivery_delay (World *self)
{
  return 1
         + (chance (self, self->delay_per_256) ? (uint64_t) g_rand_int_range (self->rand, 0, 3000)
                                               : 0);
}

/* ---- callbacks of the node -------------------------------------------- */

static void
on_send (gpointer user, guint member, const fb_msg *msg)
{
  DaemonSlot *from = user;
  World *self = from->world;
  DaemonSlot *to = &self->slots[member];
  if (from->peers_unreachable || to->peers_unreachable || chance (self, self->loss_per_256))
    return;
  guint copies = chance (self, self->duplicate_per_256) ? 2 : 1;
  for (guint i = 0; i < copies; i++)
    {
      Event *event = event_new (self, EVENT_MSG, to, draw_delivery_delay (self));
      event->msg = fb_codec_encode_msg (msg);
      g_assert_nonnull (event->msg);
      schedule_event (self, event);
    }
}

static void
on_worker_sync (gpointer user, uint32_t rack, guint host, const FbSyncRequest *request)
{
  DaemonSlot *slot = user;
  World *self = slot->world;
  gboolean lost = slot->workers_unreachable || chance (self, self->loss_per_256);
  if (!lost)
    {
      Event *event = event_new (self, EVENT_EXCHANGE, slot, draw_delivery_delay (self));
      event->rack = rack;
      event->host = host;
      event->epoch = request->epoch;
      event->exchange = fb_sync_request_copy (request);
      schedule_event (self, event);
    }
  /* The timeout of the exchange; ignored when a reply arrives first. */
  Event *timeout = event_new (self, EVENT_REPLY, slot, EXCHANGE_TIMEOUT_MS);
  timeout->rack = rack;
  timeout->host = host;
  timeout->epoch = request->epoch;
  schedule_event (self, timeout);
}

static void
on_log_append (gpointer user, const FbLogRecord *records, guint n)
{
  DaemonSlot *slot = user;
  World *self = slot->world;
  Event *event = event_new (self, EVENT_APPENDED, slot, 5);
  event->offsets = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  if (self->log_state != WORLD_LOG_DOWN)
    {
      for (guint i = 0; i < n; i++)
        {
          uint64_t offset
              = world_log_append (self->log, self->now_ms, records[i].stream, records[i].data);
          g_array_append_val (event->offsets, offset);
        }
    }
  event->ok = self->log_state == WORLD_LOG_UP;
  if (!event->ok)
    event->at_ms += 500;
  schedule_event (self, event);
}

static void
on_log_read (gpointer user, uint32_t stream, uint64_t from)
{
  DaemonSlot *slot = user;
  World *self = slot->world;
  Event *event = event_new (self, EVENT_READ, slot, 5);
  event->stream = stream;
  event->from = from;
  event->ok = self->log_state != WORLD_LOG_DOWN;
  schedule_event (self, event);
}

static void
on_answer (gpointer user, const fb_answer *answer)
{
  DaemonSlot *slot = user;
  oracle_answer (slot->world->oracle, slot->world->now_ms, slot->index, answer);
}

static void
on_config_changed (gpointer user, uint32_t partner, uint64_t serial)
{
  DaemonSlot *slot = user;
  World *self = slot->world;
  if (serial < slot->last_serial[partner])
    oracle_report_violation (self->oracle,
                             "a daemon reverted to a configuration with a lower serial");
  slot->last_serial[partner] = serial;
  oracle_check_config (self->oracle, partner, serial,
                       fb_node_config_revision (slot->node, partner));
}

static const FbNodeCallbacks node_callbacks
    = { on_send, on_worker_sync, on_log_append, on_log_read, on_answer, on_config_changed };

/* ---- delivery --------------------------------------------------------- */

static Worker *
worker_at (const World *self, guint rack, guint host)
{
  return self->workers[rack * self->size.host_n + host];
}

static void
deliver_exchange (World *self, Event *event)
{
  DaemonSlot *slot = &self->slots[event->node];
  Worker *worker = worker_at (self, event->rack, event->host);
  if (worker_is_frozen (worker))
    {
      /* The exchange stays in the worker's socket buffer until the worker is resumed. */
      Event *later = event_new (self, EVENT_EXCHANGE, slot, STEP_MS);
      later->incarnation = event->incarnation;
      later->rack = event->rack;
      later->host = event->host;
      later->epoch = event->epoch;
      later->exchange = g_steal_pointer (&event->exchange);
      schedule_event (self, later);
      return;
    }
  WorkerReply *reply = worker_handle (worker, self->now_ms, event->exchange);
  if (reply == NULL)
    return;
  if (chance (self, self->loss_per_256) || slot->workers_unreachable)
    {
      worker_reply_free (reply);
      return;
    }
  Event *answer = event_new (self, EVENT_REPLY, slot, draw_delivery_delay (self));
  answer->incarnation = event->incarnation;
  answer->rack = event->rack;
  answer->host = event->host;
  answer->epoch = event->epoch;
  answer->reply = reply;
  schedule_event (self, answer);
}

static void
deliver_read (World *self, Event *event)
{
  DaemonSlot *slot = &self->slots[event->node];
  g_autoptr (GArray) records = g_array_new (FALSE, FALSE, sizeof (FbLogRecord));
  FbLogPage page = { .log_now_ms = world_log_clock_ms (self->now_ms) };
  if (event->ok)
    page.at_end = world_log_read (self->log, self->now_ms, event->stream, event->from,
                                  &page.first_retained, records);
  page.records = (const FbLogRecord *) (void *) records->data;
  page.record_n = records->len;
  fb_node_log_read (slot->node, self->now_ms, event->stream, event->ok ? &page : NULL);
}

static void
deliver_to_node (World *self, Event *event)
{
  DaemonSlot *slot = &self->slots[event->node];
  switch (event->type)
    {
    case EVENT_MSG:
      {
        fb_msg msg;
        gsize offset = 0;
        gsize len = 0;
        const void *data = g_bytes_get_data (event->msg, &len);
        g_assert_true (fb_codec_decode_msg (data, len, &offset, &msg));
        fb_node_receive (slot->node, self->now_ms, &msg);
        fb_codec_clear_msg (&msg);
        break;
      }
    case EVENT_REPLY:
      if (event->reply != NULL)
        fb_node_sync_done (slot->node, self->now_ms, event->rack, event->host, event->epoch,
                           worker_reply_view (event->reply));
      else
        fb_node_sync_failed (slot->node, self->now_ms, event->rack, event->host, event->epoch);
      break;
    case EVENT_APPENDED:
      fb_node_log_appended (slot->node, self->now_ms,
                            event->ok ? (const uint64_t *) (void *) event->offsets->data : NULL,
                            event->offsets->len);
      break;
    case EVENT_READ:
      deliver_read (self, event);
      break;
    case EVENT_EXCHANGE:
      break;
    }
}

static void
deliver (World *self, Event *event)
{
  if (event->type == EVENT_EXCHANGE)
    {
      deliver_exchange (self, event);
      return;
    }
  DaemonSlot *slot = &self->slots[event->node];
  if (slot->node == NULL || slot->incarnation != event->incarnation)
    return;
  if (slot->paused)
    {
      /* The event stays in the socket buffer until the process is resumed. */
      Event *later = g_memdup2 (event, sizeof *event);
      memset (event, 0, sizeof *event);
      later->at_ms = self->now_ms + STEP_MS;
      schedule_event (self, later);
      return;
    }
  deliver_to_node (self, event);
}

static void
deliver_due_events (World *self)
{
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (self->events);
      if (g_sequence_iter_is_end (first))
        return;
      Event *event = g_sequence_get (first);
      if (event->at_ms > self->now_ms)
        return;
      Event copy = *event;
      memset (event, 0, sizeof *event);
      g_sequence_remove (first);
      deliver (self, &copy);
      g_clear_pointer (&copy.msg, g_bytes_unref);
      g_clear_pointer (&copy.exchange, fb_sync_request_free);
      g_clear_pointer (&copy.reply, worker_reply_free);
      if (copy.offsets != NULL)
        g_array_free (copy.offsets, TRUE);
    }
}

static void
send_host_states (World *self, DaemonSlot *slot)
{
  slot->hosts_sent_ms = self->now_ms;
  for (guint rack = 0; rack < self->size.rack_n; rack++)
    {
      for (guint host = 0; host < self->size.host_n; host++)
        fb_node_set_host_state (slot->node, self->now_ms, rack, host,
                                self->host_states[rack * self->size.host_n + host]);
    }
}

void
world_run (World *self, uint64_t ms)
{
  uint64_t until_ms = self->now_ms + ms;
  while (self->now_ms < until_ms && oracle_violation (self->oracle) == NULL)
    {
      self->now_ms += STEP_MS;
      for (guint i = 0; i < self->size.rack_n * self->size.host_n; i++)
        worker_tick (self->workers[i], self->now_ms);
      deliver_due_events (self);
      for (guint i = 0; i < self->size.member_n; i++)
        {
          DaemonSlot *slot = &self->slots[i];
          if (slot->node == NULL || slot->paused)
            continue;
          if (self->now_ms - slot->hosts_sent_ms >= HOST_LIST_INTERVAL_MS)
            send_host_states (self, slot);
          fb_node_advance (slot->node, self->now_ms);
        }
    }
}

uint64_t
world_now_ms (const World *self)
{
  return self->now_ms;
}

/* ---- construction --------------------------------------------------------- */

static FbCell *
build_cell (World *self)
{
  FbCell *cell = fb_cell_new ();
  static const char *const names[FB_PARTNER_N] = { "alpha", "beta" };
  for (guint p = 0; p < FB_PARTNER_N; p++)
    {
      cell->partners[p].name = g_strdup (names[p]);
      fb_policy_make_keys (cell->partners[p].public_key, self->secret[p]);
    }
  for (guint i = 0; i < self->size.member_n; i++)
    {
      g_autofree char *name = g_strdup_printf ("d%u", i);
      fb_cell_add_member (cell, name, i % FB_PARTNER_N, i % 3);
    }
  for (guint i = 0; i < self->size.rack_n; i++)
    {
      g_autofree char *name = g_strdup_printf ("r%u", i);
      FbCellRack *rack
          = fb_cell_add_rack (cell, name, i % FB_PARTNER_N, i % 3, &self->size.host_capacity);
      for (guint h = 0; h < self->size.host_n; h++)
        {
          g_autofree char *host = g_strdup_printf ("r%uh%u", i, h);
          fb_cell_add_host (rack, host, "");
        }
    }
  cell->range_n = self->size.range_n;
  cell->retention_ms = self->size.retention_ms;
  return cell;
}

World *
world_new (const WorldSize *size)
{
  World *self = g_new0 (World, 1);
  self->size = *size;
  self->now_ms = 1000000;
  self->rand = g_rand_new_with_seed (size->seed);
  self->events = g_sequence_new (event_free);
  self->cell = build_cell (self);
  self->log = world_log_new (size->retention_ms);
  self->oracle = oracle_new ();
  guint worker_n = size->rack_n * size->host_n;
  self->workers = g_new0 (Worker *, worker_n);
  self->host_states = g_new0 (FbHostState, worker_n);
  for (guint i = 0; i < worker_n; i++)
    self->workers[i] = worker_new (i, &size->host_capacity, self->oracle, self->now_ms,
                                   (uint64_t) g_rand_int_range (self->rand, 0, 100000));
  self->slots = g_new0 (DaemonSlot, size->member_n);
  for (guint i = 0; i < size->member_n; i++)
    {
      self->slots[i].world = self;
      self->slots[i].index = i;
      world_start (self, i);
    }
  return self;
}

void
world_free (World *self)
{
  for (guint i = 0; i < self->size.member_n; i++)
    world_kill (self, i);
  for (guint i = 0; i < self->size.rack_n * self->size.host_n; i++)
    worker_free (self->workers[i]);
  g_sequence_free (self->events);
  g_free (self->workers);
  g_free (self->host_states);
  g_free (self->slots);
  world_log_free (self->log);
  oracle_free (self->oracle);
  fb_cell_free (self->cell);
  g_rand_free (self->rand);
  g_free (self);
}

/* ---- faults ----------------------------------------------------------- */

/* Marks revisions that no running daemon has any more. Such a revision is at most in the log,
 * and retention may drop it there before a daemon reads it. This loss is allowed, because no
 * caller has received a confirmation that the revision is in force. */
static void
record_config_loss (World *self)
{
  for (guint p = 0; p < FB_PARTNER_N; p++)
    {
      uint64_t highest = 0;
      for (guint i = 0; i < self->size.member_n; i++)
        {
          if (self->slots[i].node != NULL)
            highest = MAX (highest, fb_node_config_serial (self->slots[i].node, p));
        }
      if (highest < oracle_config_serial (self->oracle, p))
        oracle_set_config_orphaned (self->oracle, p);
    }
}

void
world_kill (World *self, guint node)
{
  DaemonSlot *slot = &self->slots[node];
  g_clear_pointer (&slot->node, fb_node_free);
  oracle_daemon_killed (self->oracle, node);
  slot->incarnation++;
  slot->paused = FALSE;
  slot->draining = FALSE;
  record_config_loss (self);
}

void
world_start (World *self, guint node)
{
  DaemonSlot *slot = &self->slots[node];
  if (slot->node != NULL)
    return;
  slot->incarnation++;
  memset (slot->last_serial, 0, sizeof slot->last_serial);
  FbNodeConfig config = { .cell = self->cell,
                          .self_index = node,
                          .incarnation = ++self->incarnation,
                          .seed = (uint32_t) g_rand_int (self->rand),
                          .callbacks = &node_callbacks,
                          .user = slot };
  slot->node = fb_node_new (&config, self->now_ms);
}

void
world_set_paused (World *self, guint node, gboolean paused)
{
  self->slots[node].paused = paused && self->slots[node].node != NULL;
}

void
world_drain (World *self, guint node)
{
  if (!world_is_up (self, node))
    return;
  self->slots[node].draining = TRUE;
  fb_node_drain (self->slots[node].node, self->now_ms);
}

gboolean
world_is_up (const World *self, guint node)
{
  return self->slots[node].node != NULL && !self->slots[node].paused;
}

FbNode *
world_node (const World *self, guint node)
{
  return self->slots[node].node;
}

void
world_set_peers_unreachable (World *self, guint node, gboolean peers_unreachable)
{
  self->slots[node].peers_unreachable = peers_unreachable;
}

void
world_set_workers_unreachable (World *self, guint node, gboolean workers_unreachable)
{
  self->slots[node].workers_unreachable = workers_unreachable;
}

void
world_set_message_faults (World *self, guint loss_per_256, guint duplicate_per_256,
                          guint delay_per_256)
{
  self->loss_per_256 = loss_per_256;
  self->duplicate_per_256 = duplicate_per_256;
  self->delay_per_256 = delay_per_256;
}

void
world_set_log_state (World *self, WorldLogState state)
{
  self->log_state = state;
}

void
world_log_trim (World *self)
{
  world_log_drop_expired (self->log, self->now_ms);
}

void
world_set_worker_frozen (World *self, guint rack, guint host, gboolean frozen)
{
  worker_set_frozen (worker_at (self, rack, host), self->now_ms, frozen);
}

void
world_restart_worker (World *self, guint rack, guint host)
{
  worker_restart (worker_at (self, rack, host), self->now_ms);
}

void
world_set_runs_fail (World *self, guint rack, guint host, gboolean fail)
{
  worker_set_runs_fail (worker_at (self, rack, host), fail);
}

void
world_set_usage (World *self, guint rack, guint host, guint percent)
{
  worker_set_usage (worker_at (self, rack, host), percent);
}

void
world_set_host_state (World *self, guint rack, guint host, FbHostState state)
{
  self->host_states[rack * self->size.host_n + host] = state;
  worker_set_leaving (worker_at (self, rack, host), self->now_ms, state != FB_HOST_LIVE);
  if (state == FB_HOST_GONE)
    worker_restart (worker_at (self, rack, host), self->now_ms);
}

/* ---- callers ---------------------------------------------------------- */

void
world_submit (World *self, guint node, const WorldJob *job)
{
  if (!world_is_up (self, node))
    return;
  uint64_t remaining_ms = job->deadline_ms > 0 ? job->deadline_ms : FB_NO_DEADLINE_MS;
  fb_job spec = { .id = job->id,
                  .partner = job->partner,
                  .team = (uint32_t) (job->id % 3),
                  .kind = job->kind,
                  .flags = job->flags,
                  .count = job->count,
                  .demand = job->demand,
                  .remaining_ms = remaining_ms,
                  .run_ms = job->run_ms,
                  .key = (job->flags & FB_FLAG_EPHEMERAL) ? "" : "key" };
  char payload[32];
  spec.payload.payload_len
      = (u_int) g_snprintf (payload, sizeof payload, "%" G_GUINT64_FORMAT, job->run_ms);
  spec.payload.payload_val = payload;
  oracle_submit (self->oracle, self->now_ms, node, &spec);
  fb_node_submit (self->slots[node].node, self->now_ms, &spec, FALSE);
}

void
world_cancel (World *self, guint node, uint32_t partner, uint64_t job)
{
  if (world_is_up (self, node))
    (void) fb_node_cancel (self->slots[node].node, self->now_ms, partner, job);
}

FbNodeConfigStatus
world_publish_config (World *self, guint node, uint32_t partner, uint64_t serial, guint count,
                      guint lend)
{
  if (!world_is_up (self, node))
    return FB_NODE_CONFIG_INVALID;
  g_autofree char *text
      = g_strdup_printf ("[partner]\nlend=%u\n[team t]\n[service s]\nteam=t\ncount=%u\ncpu=1\n"
                         "memory=1G\n",
                         lend, count);
  fb_rec_file file = { (char *) "p.ini", { (u_int) strlen (text), text } };
  fb_rec_revision revision = { partner, serial, { 1, &file } };
  GBytes *bytes = fb_codec_encode_revision (&revision);
  gsize len = 0;
  const void *data = g_bytes_get_data (bytes, &len);
  fb_rec_config config = { .revision = { (u_int) len, (char *) data } };
  fb_policy_sign (self->secret[partner], data, len, config.signature);
  FbNodeConfigStatus status = fb_node_publish (self->slots[node].node, self->now_ms, &config);
  g_bytes_unref (bytes);
  return status;
}

/* ---- recovery and final checks ---------------------------------------------------------- */

static void
query_job (gpointer user, uint64_t job, uint32_t partner)
{
  World *self = user;
  (void) fb_node_query_job (self->slots[0].node, self->now_ms, partner, job);
}

void
world_heal (World *self)
{
  world_set_message_faults (self, 0, 0, 0);
  world_set_log_state (self, WORLD_LOG_UP);
  for (guint i = 0; i < self->size.member_n; i++)
    {
      world_set_peers_unreachable (self, i, FALSE);
      world_set_workers_unreachable (self, i, FALSE);
      world_set_paused (self, i, FALSE);
      /* A drained daemon exits, and a new process replaces it. */
      if (self->slots[i].draining)
        world_kill (self, i);
      world_start (self, i);
    }
  for (guint rack = 0; rack < self->size.rack_n; rack++)
    {
      for (guint host = 0; host < self->size.host_n; host++)
        {
          world_set_worker_frozen (self, rack, host, FALSE);
          world_set_runs_fail (self, rack, host, FALSE);
          world_set_usage (self, rack, host, 0);
          world_set_host_state (self, rack, host, FB_HOST_LIVE);
        }
    }
  world_run (self, RECOVERY_MS);
  /* Callers whose daemon was killed query another one for the outcome. */
  oracle_foreach_unanswered (self->oracle, query_job, self);
  world_run (self, QUERY_MS);
}

/* Logs the state of all workers, for the analysis of a failed run. */
static void
log_worker_states (const World *self)
{
  for (guint i = 0; i < self->size.rack_n; i++)
    {
      for (guint m = 0; m < self->size.member_n; m++)
        {
          const FbRack *rack = fb_node_rack (self->slots[m].node, i);
          for (guint w = 0; rack != NULL && w < fb_rack_worker_count (rack); w++)
            {
              fb_res used = fb_rack_worker_used (rack, w);
              fb_event_log (FB_EVENT_WORKER_HEARD,
                            "final state: daemon=%u worker=%s state=%s cpu_milli=%" G_GUINT64_FORMAT
                            " waiting=%u",
                            m, fb_rack_worker_name (rack, w), fb_rack_worker_state (rack, w),
                            used.amount[FB_RES_CPU_MILLI], fb_rack_queue_count (rack));
            }
        }
    }
}

static void
log_unanswered_job (gpointer user, uint64_t job, uint32_t partner)
{
  (void) partner;
  g_autofree char *text = world_explain (user, job);
  fb_event_log (FB_EVENT_JOB_ENDED, "final state: job=%" G_GUINT64_FORMAT " open: %s", job, text);
}

static gboolean
all_racks_empty (const World *self)
{
  for (guint i = 0; i < self->size.rack_n; i++)
    {
      for (guint m = 0; m < self->size.member_n; m++)
        {
          const FbRack *rack = fb_node_rack (self->slots[m].node, i);
          if (rack != NULL && fb_rack_queue_count (rack) > 0)
            return FALSE;
        }
    }
  return TRUE;
}

static void
check_owners (World *self)
{
  for (guint shard = 0; shard < fb_cell_shard_count (self->cell); shard++)
    {
      guint owners = 0;
      for (guint m = 0; m < self->size.member_n; m++)
        owners += fb_node_owned_epoch (self->slots[m].node, shard) > 0 ? 1 : 0;
      if (owners != 1)
        oracle_report_violation (self->oracle,
                                 owners == 0 ? "a shard has no owner after recovery"
                                             : "a shard has more than one owner after recovery");
    }
}

static void
check_config (World *self)
{
  for (guint m = 0; m < self->size.member_n; m++)
    {
      for (guint p = 0; p < FB_PARTNER_N; p++)
        {
          uint64_t serial = fb_node_config_serial (self->slots[m].node, p);
          if (serial != fb_node_config_serial (self->slots[0].node, p)
              || (serial != oracle_config_serial (self->oracle, p)
                  && !oracle_config_is_orphaned (self->oracle, p)))
            oracle_report_violation (self->oracle,
                                     "an accepted configuration is not in force on all daemons");
        }
    }
}

void
world_check_final_state (World *self)
{
  if (oracle_violation (self->oracle) != NULL)
    return;
  check_owners (self);
  check_config (self);
  log_worker_states (self);
  oracle_foreach_unanswered (self->oracle, log_unanswered_job, self);
  if (!all_racks_empty (self))
    oracle_report_violation (self->oracle, "tasks are still queued after recovery");
  oracle_check_final_state (self->oracle);
}

const char *
world_violation (const World *self)
{
  return oracle_violation (self->oracle);
}

FbOutcome
world_outcome (const World *self, uint64_t job)
{
  return oracle_outcome (self->oracle, job);
}

guint
world_starts (const World *self, uint64_t job)
{
  return oracle_starts (self->oracle, job);
}

guint
world_live (const World *self, uint64_t job)
{
  return oracle_live (self->oracle, job);
}

guint
world_jobs_with (const World *self, FbOutcome outcome)
{
  return oracle_jobs_with (self->oracle, outcome);
}

char *
world_explain (const World *self, uint64_t job)
{
  for (guint i = 0; i < self->size.member_n; i++)
    {
      if (self->slots[i].node == NULL)
        continue;
      char *text = fb_node_explain (self->slots[i].node, job);
      if (text != NULL)
        return text;
    }
  return g_strdup ("no daemon knows the job\n");
}
