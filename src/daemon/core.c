#include "core.h"

#include "internal/codec.h"
#include "internal/sync-copy.h"

#include <stdatomic.h>
#include <string.h>

#define ADVANCE_PERIOD_MS 50
#define HOST_LIST_PERIOD_MS 1000
#define PENDING_MESSAGES_MAX 20000

/* Long poll of one worker of a rack that this daemon owns. */
typedef struct
{
  FbCore *core;
  uint32_t rack;
  guint host;
  gboolean is_polling; /* a poll is outstanding */
  uint64_t version;    /* last version reported by the worker; a poll waits for another one */
} Watch;

struct _FbCore
{
  const FbCell *cell;
  guint self_index;
  FbNode *node;
  FbLoop *loop;
  FbLoop *log_loop;
  FbLoop *worker_loop;
  FbLogService *log;
  FbWorkerService *workers;
  FbHostList *hosts;
  FbPeers *peers;
  const FbCoreListener *listener;
  gpointer listener_user;
  Watch **watches;           /* [rack][host] */
  GHashTable *hosts_by_name; /* name -> HostState with the last state passed to the node */
  _Atomic guint pending_messages_n;
  uint64_t drain_until_ms;
  FbLoopFunc on_drained; /* NULL: no drain is in progress, or it was called */
  gpointer on_drained_user;
};

/* ---- log -------------------------------------------------------------- */

typedef struct
{
  FbCore *core;
  uint32_t stream;
  uint64_t from;
  FbLogRecord *records;
  guint record_n;
  uint64_t *offsets;
  gboolean ok;
  FbLogPage page;
} LogCall;

static void
log_call_free (gpointer data)
{
  LogCall *call = data;
  for (guint i = 0; i < call->record_n; i++)
    g_bytes_unref (call->records[i].data);
  g_free (call->records);
  g_free (call->offsets);
  g_free (call);
}

static void
appended_on_core (gpointer data)
{
  LogCall *call = data;
  fb_node_log_appended (call->core->node, fb_loop_now_ms (), call->ok ? call->offsets : NULL,
                        call->record_n);
}

static void
append_done (gpointer user, const uint64_t *offsets, guint n)
{
  LogCall *call = user;
  call->ok = offsets != NULL && n == call->record_n;
  if (call->ok)
    call->offsets = g_memdup2 (offsets, n * sizeof *offsets);
  fb_loop_post (call->core->loop, appended_on_core, call, log_call_free);
}

static void
append_on_log (gpointer data)
{
  LogCall *call = data;
  call->core->log->ops->append (call->core->log, call->records, call->record_n, append_done, call);
}

static FbLogRecord *
copy_records (const FbLogRecord *records, guint n)
{
  FbLogRecord *copy = g_memdup2 (records, n * sizeof *records);
  for (guint i = 0; i < n; i++)
    g_bytes_ref (copy[i].data);
  return copy;
}

static void
on_log_append (gpointer user, const FbLogRecord *records, guint n)
{
  FbCore *self = user;
  LogCall *call = g_new0 (LogCall, 1);
  call->core = self;
  call->records = copy_records (records, n);
  call->record_n = n;
  fb_loop_post (self->log_loop, append_on_log, call, NULL);
}

static void
read_on_core (gpointer data)
{
  LogCall *call = data;
  fb_node_log_read (call->core->node, fb_loop_now_ms (), call->stream,
                    call->ok ? &call->page : NULL);
}

static void
read_done (gpointer user, const FbLogPage *page)
{
  LogCall *call = user;
  call->ok = page != NULL;
  if (page != NULL)
    {
      call->page = *page;
      call->records = copy_records (page->records, page->record_n);
      call->record_n = page->record_n;
      call->page.records = call->records;
    }
  fb_loop_post (call->core->loop, read_on_core, call, log_call_free);
}

static void
read_on_log (gpointer data)
{
  LogCall *call = data;
  call->core->log->ops->read (call->core->log, call->stream, call->from, read_done, call);
}

static void
on_log_read (gpointer user, uint32_t stream, uint64_t from)
{
  FbCore *self = user;
  LogCall *call = g_new0 (LogCall, 1);
  call->core = self;
  call->stream = stream;
  call->from = from;
  fb_loop_post (self->log_loop, read_on_log, call, NULL);
}

/* ---- workers ---------------------------------------------------------- */

typedef struct
{
  FbCore *core;
  uint32_t rack;
  guint host;
  uint64_t epoch;
  FbSyncRequest *request;
  FbSyncReply *reply;
} Exchange;

static void
exchange_free (gpointer data)
{
  Exchange *exchange = data;
  fb_sync_request_free (exchange->request);
  if (exchange->reply != NULL)
    fb_sync_reply_free (exchange->reply);
  g_free (exchange);
}

static void
exchanged_on_core (gpointer data)
{
  Exchange *exchange = data;
  if (exchange->reply != NULL)
    fb_node_sync_done (exchange->core->node, fb_loop_now_ms (), exchange->rack, exchange->host,
                       exchange->epoch, exchange->reply);
  else
    fb_node_sync_failed (exchange->core->node, fb_loop_now_ms (), exchange->rack, exchange->host,
                         exchange->epoch);
}

static void
exchange_done (gpointer user, const FbSyncReply *reply)
{
  Exchange *exchange = user;
  if (reply != NULL)
    exchange->reply = fb_sync_reply_copy (reply);
  fb_loop_post (exchange->core->loop, exchanged_on_core, exchange, exchange_free);
}

static const char *
host_address (const FbCore *self, uint32_t rack, guint host)
{
  const FbCellRack *cell_rack = fb_cell_rack (self->cell, rack);
  return ((FbCellHost *) g_ptr_array_index (cell_rack->hosts, host))->address;
}

static void
exchange_on_workers (gpointer data)
{
  Exchange *exchange = data;
  FbCore *self = exchange->core;
  self->workers->ops->exchange (self->workers, host_address (self, exchange->rack, exchange->host),
                                exchange->request, exchange_done, exchange);
}

static void
on_worker_sync (gpointer user, uint32_t rack, guint host, const FbSyncRequest *request)
{
  FbCore *self = user;
  Exchange *exchange = g_new0 (Exchange, 1);
  exchange->core = self;
  exchange->rack = rack;
  exchange->host = host;
  exchange->epoch = request->epoch;
  exchange->request = fb_sync_request_copy (request);
  fb_loop_post (self->worker_loop, exchange_on_workers, exchange, NULL);
}

/* ---- watches ---------------------------------------------------------- */

/* A poll to be sent, which waits for a change since VERSION, or the result of a poll. */
typedef struct
{
  Watch *watch;
  gboolean ok; /* FALSE when the poll failed */
  uint64_t version;
} WatchMessage;

static void
apply_watch_on_core (gpointer data)
{
  WatchMessage *message = data;
  Watch *watch = message->watch;
  watch->is_polling = FALSE;
  if (!message->ok || message->version == watch->version)
    return;
  watch->version = message->version;
  fb_node_worker_changed (watch->core->node, fb_loop_now_ms (), watch->rack, watch->host);
}

static void
watch_done (gpointer user, gboolean ok, uint64_t version)
{
  Watch *watch = user;
  WatchMessage *message = g_new (WatchMessage, 1);
  *message = (WatchMessage){ watch, ok, version };
  fb_loop_post (watch->core->loop, apply_watch_on_core, message, g_free);
}

static void
watch_on_workers (gpointer data)
{
  WatchMessage *message = data;
  Watch *watch = message->watch;
  FbCore *self = watch->core;
  self->workers->ops->watch (self->workers, host_address (self, watch->rack, watch->host),
                             message->version, watch_done, watch);
}

static void
watch_owned_workers (FbCore *self)
{
  if (self->workers->ops->watch == NULL)
    return;
  for (guint r = 0; r < self->cell->racks->len; r++)
    {
      if (fb_node_rack (self->node, r) == NULL)
        continue;
      guint host_n = fb_cell_rack (self->cell, r)->hosts->len;
      for (guint h = 0; h < host_n; h++)
        {
          Watch *watch = &self->watches[r][h];
          if (watch->is_polling)
            continue;
          watch->is_polling = TRUE;
          WatchMessage *message = g_new (WatchMessage, 1);
          *message = (WatchMessage){ watch, TRUE, watch->version };
          fb_loop_post (self->worker_loop, watch_on_workers, message, g_free);
        }
    }
}

static void
make_watches (FbCore *self)
{
  self->watches = g_new0 (Watch *, self->cell->racks->len);
  for (guint r = 0; r < self->cell->racks->len; r++)
    {
      guint host_n = fb_cell_rack (self->cell, r)->hosts->len;
      self->watches[r] = g_new0 (Watch, host_n);
      for (guint h = 0; h < host_n; h++)
        self->watches[r][h] = (Watch){ .core = self, .rack = r, .host = h };
    }
}

/* ---- host list -------------------------------------------------------- */

/* The host list covers the whole cell and changes rarely, so only changes are posted to the core
 * thread. There is one entry per host, accessed only on the polling thread. */
typedef struct
{
  FbCore *core;
  uint32_t rack;
  guint host;
  FbHostState state;
} HostState;

static GHashTable *
index_hosts (FbCore *self)
{
  GHashTable *by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  for (guint r = 0; r < self->cell->racks->len; r++)
    {
      const FbCellRack *rack = fb_cell_rack (self->cell, r);
      for (guint h = 0; h < rack->hosts->len; h++)
        {
          const FbCellHost *host = g_ptr_array_index (rack->hosts, h);
          HostState *entry = g_new (HostState, 1);
          *entry = (HostState){ self, r, h, FB_HOST_LIVE };
          g_hash_table_insert (by_name, host->name, entry);
        }
    }
  return by_name;
}

static void
apply_host_on_core (gpointer data)
{
  HostState *message = data;
  fb_node_set_host_state (message->core->node, fb_loop_now_ms (), message->rack, message->host,
                          message->state);
}

static void
update_host (FbCore *self, const FbHostEntry *entry)
{
  HostState *last = g_hash_table_lookup (self->hosts_by_name, entry->name);
  if (last == NULL || last->state == entry->state)
    return;
  last->state = entry->state;
  fb_loop_post (self->loop, apply_host_on_core, g_memdup2 (last, sizeof *last), g_free);
}

static void
hosts_polled (gpointer user, const FbHostEntry *entries, guint n)
{
  for (guint i = 0; i < n; i++)
    update_host (user, &entries[i]);
}

static void
poll_hosts (gpointer data)
{
  FbCore *self = data;
  self->hosts->ops->poll (self->hosts, hosts_polled, self);
}

/* ---- peers and front end ---------------------------------------------- */

static void
on_send (gpointer user, guint member, const fb_msg *msg)
{
  FbCore *self = user;
  fb_peers_send (self->peers, member, msg);
}

typedef struct
{
  FbCore *core;
  fb_msg *msg;
} ReceivedMessage;

static void
received_free (gpointer data)
{
  ReceivedMessage *received = data;
  fb_codec_clear_msg (received->msg);
  g_free (received->msg);
  g_free (received);
}

static void
received_on_core (gpointer data)
{
  ReceivedMessage *received = data;
  atomic_fetch_sub (&received->core->pending_messages_n, 1);
  fb_node_receive (received->core->node, fb_loop_now_ms (), received->msg);
}

gboolean
fb_core_receive (gpointer core, fb_msg *msg)
{
  FbCore *self = core;
  ReceivedMessage *received = g_new (ReceivedMessage, 1);
  *received = (ReceivedMessage){ self, msg };
  if (atomic_fetch_add (&self->pending_messages_n, 1) >= PENDING_MESSAGES_MAX)
    {
      atomic_fetch_sub (&self->pending_messages_n, 1);
      received_free (received);
      return FALSE;
    }
  fb_loop_post (self->loop, received_on_core, received, received_free);
  return TRUE;
}

static void
on_answer (gpointer user, const fb_answer *answer)
{
  FbCore *self = user;
  if (self->listener != NULL)
    self->listener->answer (self->listener_user, answer);
}

static void
on_config_changed (gpointer user, uint32_t partner, uint64_t serial)
{
  (void) user;
  (void) partner;
  (void) serial;
}

static const FbNodeCallbacks node_callbacks
    = { on_send, on_worker_sync, on_log_append, on_log_read, on_answer, on_config_changed };

typedef struct
{
  FbCore *core;
  FbCoreCommand command;
  FbCoreQuery query;
  gpointer data;
  GDestroyNotify free;
} NodeCall;

static void
node_call_free (gpointer data)
{
  NodeCall *call = data;
  if (call->free != NULL)
    call->free (call->data);
  g_free (call);
}

static void
run_node_call (gpointer data)
{
  NodeCall *call = data;
  if (call->command != NULL)
    call->command (call->core->node, fb_loop_now_ms (), call->data);
  else
    call->query (call->core->node, call->data);
}

static void
post_node_call (FbCore *self, FbCoreCommand command, FbCoreQuery query, gpointer data,
                GDestroyNotify free)
{
  NodeCall *call = g_new (NodeCall, 1);
  *call = (NodeCall){ self, command, query, data, free };
  fb_loop_post (self->loop, run_node_call, call, node_call_free);
}

void
fb_core_command (FbCore *self, FbCoreCommand func, gpointer data, GDestroyNotify free)
{
  post_node_call (self, func, NULL, data, free);
}

void
fb_core_query (FbCore *self, FbCoreQuery func, gpointer data, GDestroyNotify free)
{
  post_node_call (self, NULL, func, data, free);
}

/* ---- construction, start and stop ------------------------------------- */

static void
check_drained (FbCore *self)
{
  if (self->on_drained == NULL
      || (!fb_node_is_drained (self->node) && fb_loop_now_ms () < self->drain_until_ms))
    return;
  FbLoopFunc done = self->on_drained;
  self->on_drained = NULL;
  done (self->on_drained_user);
}

static void
advance (gpointer data)
{
  FbCore *self = data;
  fb_node_advance (self->node, fb_loop_now_ms ());
  watch_owned_workers (self);
  check_drained (self);
}

FbCore *
fb_core_new (const FbCell *cell, guint self_index, FbLogService *log, FbWorkerService *workers,
             FbHostList *hosts)
{
  FbCore *self = g_new0 (FbCore, 1);
  self->cell = cell;
  self->self_index = self_index;
  self->log = log;
  self->workers = workers;
  self->hosts = hosts;
  self->loop = fb_loop_new ("core");
  self->log_loop = fb_loop_new ("log");
  self->worker_loop = fb_loop_new ("workers");
  make_watches (self);
  self->hosts_by_name = index_hosts (self);
  FbNodeConfig config = { .cell = cell,
                          .self_index = self_index,
                          .incarnation = (uint64_t) g_get_real_time (),
                          .seed = g_random_int (),
                          .callbacks = &node_callbacks,
                          .user = self };
  self->node = fb_node_new (&config, fb_loop_now_ms ());
  return self;
}

void
fb_core_set_peers (FbCore *self, FbPeers *peers)
{
  self->peers = peers;
}

void
fb_core_set_listener (FbCore *self, const FbCoreListener *listener, gpointer user)
{
  self->listener = listener;
  self->listener_user = user;
}

void
fb_core_start (FbCore *self)
{
  fb_loop_add_periodic (self->loop, ADVANCE_PERIOD_MS, advance, self);
  fb_loop_add_periodic (self->log_loop, HOST_LIST_PERIOD_MS, poll_hosts, self);
}

typedef struct
{
  FbCore *core;
  uint64_t limit_ms;
  FbLoopFunc done;
  gpointer user;
} DrainRequest;

static void
drain_on_core (gpointer data)
{
  DrainRequest *drain = data;
  FbCore *self = drain->core;
  self->drain_until_ms = fb_loop_now_ms () + drain->limit_ms;
  self->on_drained = drain->done;
  self->on_drained_user = drain->user;
  fb_node_drain (self->node, fb_loop_now_ms ());
}

void
fb_core_drain (FbCore *self, uint64_t limit_ms, FbLoopFunc done, gpointer user)
{
  DrainRequest *drain = g_new (DrainRequest, 1);
  *drain = (DrainRequest){ self, limit_ms, done, user };
  fb_loop_post (self->loop, drain_on_core, drain, g_free);
}

void
fb_core_stop (FbCore *self)
{
  fb_loop_join (self->worker_loop);
  fb_loop_join (self->log_loop);
  fb_loop_join (self->loop);
}

void
fb_core_free (FbCore *self)
{
  fb_core_stop (self);
  fb_loop_free (self->worker_loop);
  fb_loop_free (self->log_loop);
  fb_loop_free (self->loop);
  fb_node_free (self->node);
  for (guint r = 0; r < self->cell->racks->len; r++)
    g_free (self->watches[r]);
  g_free (self->watches);
  g_hash_table_destroy (self->hosts_by_name);
  g_free (self);
}
