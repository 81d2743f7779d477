/* Owners of pools: their orders, and what they do in each step. */
#include "account-world.h"

/* ---- orders ------------------------------------------------------------------------ */

static Worker *
find_worker (World *world, guint service, const char *id)
{
  for (guint i = 0; i < WORKERS_N; i++)
    {
      if (g_str_equal (world->workers[service][i].id, id))
        return &world->workers[service][i];
    }
  g_assert_not_reached ();
}

static void
on_start (gpointer user, const FbStartOrder *order)
{
  Owner *owner = user;
  Event *event = account_world_schedule (owner->world, EVENT_START, owner);
  event->worker = find_worker (owner->world, owner->service, order->worker);
  event->task = g_strdup (order->task);
  event->attempt = order->attempt;
  event->order = order->order;
  event->deadline_ms = order->deadline_ms;
  account_world_post (owner->world, event);
}

static void
on_stop (gpointer user, const FbStopOrder *order)
{
  Owner *owner = user;
  Event *event = account_world_schedule (owner->world, EVENT_STOP, owner);
  event->worker = find_worker (owner->world, owner->service, order->worker);
  event->task = g_strdup (order->task);
  event->attempt = order->attempt;
  event->order = order->order;
  account_world_post (owner->world, event);
}

static void
on_poll (gpointer user, const FbPollOrder *order)
{
  Owner *owner = user;
  Event *event = account_world_schedule (owner->world, EVENT_POLL, owner);
  event->worker = find_worker (owner->world, owner->service, order->worker);
  event->acknowledged = order->acknowledged;
  event->deadline_ms = order->deadline_ms;
  event->due_ms += order->wait_ms > 0 ? 40 : 0;
  account_world_post (owner->world, event);
}

static void
on_fenced (gpointer user, const char *worker)
{
  (void) worker;
  ((Owner *) user)->gone_ms = ((Owner *) user)->world->now_ms;
}

static const FbPoolCallbacks callbacks
    = { on_start, on_stop, on_poll, NULL, on_fenced, NULL, NULL, NULL };

/* ---- owners ------------------------------------------------------------------------- */

static GHashTable *
accounts_table (World *world)
{
  GHashTable *table = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < ACCOUNTS_N; i++)
    g_hash_table_insert (table, world->accounts[i].name, &world->accounts[i]);
  return table;
}

static void
read_configuration (Owner *owner)
{
  g_autoptr (GHashTable) accounts = accounts_table (owner->world);
  fb_account_parts_set_services (owner->parts, owner->world->services);
  fb_pool_set_accounts (owner->pool, accounts);
}

static void
list_workers (Owner *owner)
{
  static const char *const no_labels[] = { NULL };
  for (guint i = 0; i < WORKERS_N; i++)
    {
      const FbWorkerEntry entry = { .id = owner->world->workers[owner->service][i].id,
                                    .address = "127.0.0.1:1",
                                    .labels = no_labels,
                                    .cpu_milli = 64000,
                                    .mem_mb = 64000 };
      fb_pool_worker_listed (owner->pool, &entry, owner->world->now_ms);
    }
  fb_pool_workers_complete (owner->pool);
}

Owner *
account_world_owner_new (World *world, guint service, uint64_t epoch)
{
  static const FbPoolLimits limits = {
    .max_lease_ms = LEASE_MS, .max_stop_ms = 200, .gang_wait_ms = 3000, .caps_are_divided = TRUE
  };
  Owner *owner = g_new0 (Owner, 1);
  owner->world = world;
  owner->service = service;
  owner->epoch = epoch;
  owner->pool = fb_pool_new (world->services->pdata[service], epoch, &limits, &callbacks, owner,
                             world->now_ms);
  fb_pool_set_leases_until (owner->pool, G_MAXUINT64);
  owner->parts = fb_account_parts_new (world->services->pdata[service], epoch);
  read_configuration (owner);
  for (guint i = 0; i < world->jobs->len; i++)
    {
      const Job *job = world->jobs->pdata[i];
      GBytes *progress = g_hash_table_lookup (world->progress, job->id);
      if (job->service != service)
        continue;
      fb_pool_add_job (owner->pool, job->id, &job->record, world->now_ms, WALL_MS + world->now_ms);
      gsize len = 0;
      fb_work_progress record;
      fb_work_suspects suspects;
      gconstpointer data = progress != NULL ? g_bytes_get_data (progress, &len) : NULL;
      if (data != NULL && fb_codec_decode_progress (data, len, &record, &suspects))
        {
          fb_pool_restore_job (owner->pool, job->id, &record, &suspects, world->now_ms);
          fb_codec_clear_progress (&record, &suspects);
        }
    }
  list_workers (owner);
  return owner;
}

void
account_world_owner_free (gpointer data)
{
  Owner *owner = data;
  fb_pool_free (owner->pool);
  fb_account_parts_free (owner->parts);
  g_free (owner);
}

void
account_world_replace_owner (World *world, guint service)
{
  Owner *before = world->owners[service];
  before->replaced = TRUE;
  before->gone_ms = world->now_ms + (uint64_t) g_rand_int_range (world->rand, 0, 4000);
  g_ptr_array_add (world->replaced, before);
  world->owners[service] = account_world_owner_new (world, service, before->epoch + 1);
}

/* Only the present owner stores progress: the store refuses that of a lower epoch. */
static void
store_progress (Owner *owner)
{
  World *world = owner->world;
  g_autoptr (GPtrArray) records
      = fb_pool_flush (owner->pool, world->now_ms, WALL_MS + world->now_ms);
  for (guint i = 0; records != NULL && i < records->len; i++)
    {
      const FbPoolRecord *record = records->pdata[i];
      if (record->job != NULL && record->progress != NULL)
        g_hash_table_replace (world->progress, g_strdup (record->job),
                              g_bytes_ref (record->progress));
    }
  if (records != NULL)
    fb_pool_flushed (owner->pool, world->now_ms);
}

static void
send_parts (Owner *owner)
{
  World *world = owner->world;
  for (guint i = 0; i < SERVICES_N; i++)
    {
      fb_account_parts_request request;
      if (!fb_account_parts_build_request (owner->parts, owner->pool, world->services->pdata[i],
                                           world->now_ms, &request))
        continue;
      Event *event = account_world_schedule (world, EVENT_PARTS, owner);
      event->coordinator = i;
      event->request = request;
      event->request.service = g_strdup (request.service);
      event->request.coordinator = g_strdup (request.coordinator);
      account_world_post (world, event);
    }
}

/* A replaced owner starts and asks for nothing, since neither the store nor its workers confirm
 * it. */
void
account_world_run_owner (Owner *owner)
{
  World *world = owner->world;
  if (account_world_is_frozen (world, owner))
    return;
  if (owner->config_ms != 0 && world->now_ms >= owner->config_ms)
    {
      owner->config_ms = 0;
      read_configuration (owner);
    }
  fb_account_parts_apply (owner->parts, owner->pool);
  if (!owner->replaced)
    send_parts (owner);
  fb_pool_jobs_complete (owner->pool, world->now_ms);
  fb_pool_tick (owner->pool, !owner->replaced, world->now_ms, WALL_MS + world->now_ms);
  if (!owner->replaced)
    store_progress (owner);
}
