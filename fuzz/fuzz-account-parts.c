/* Fuzzes the division of caps among pools: several pools with owners that are replaced and frozen,
 * messages that are lost, delayed and answered by a replaced owner, workers that carry out orders
 * late, and caps that change.
 *
 * The oracle knows only what the workers run: a start must not bring an account above the highest
 * cap that may be in force, and an account under half of its cap must not wait. */
#include "fb-event.h"
#include "internal/account-parts.h"
#include "internal/codec.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVICES_N 3
#define WORKERS_N 2
#define ACCOUNTS_N 4
#define TROUBLED_MS 30000
#define CALM_MS 20000
/* Time after the last fault until all leases have ended, and jobs no longer come. */
#define SETTLED_MS 8000
#define LAST_JOB_MS 13000
#define STEP_MS 10
/* A configuration reaches all owners within CONFIG_MS, and the rules allow it CONFIG_MAX_MS. */
#define CONFIG_MS 2000
#define CONFIG_MAX_MS 3000
/* An account under half of its cap may wait for this long in a calm world. */
#define WAIT_MAX_MS 3000
#define LEASE_MS 6000
#define WALL_MS 1700000000000ULL

typedef struct
{
  char *task;
  guint account;
  uint32_t attempt;
  int64_t cpu_milli;
  uint64_t ends_ms;
} Run;

typedef struct
{
  char *id;
  uint64_t epoch;  /* highest seen */
  GPtrArray *runs; /* of Run */
  GArray *ends;    /* of FbReportedEnd */
  uint64_t last_end;
  uint64_t lease_ms;     /* until when its runs may go on */
  uint64_t cut_until_ms; /* unreachable, and runs on */
} Worker;

typedef struct _World World;

typedef struct
{
  World *world;
  guint service;
  uint64_t epoch;
  FbPool *pool;
  FbAccountParts *parts;
  uint64_t frozen_until_ms;
  uint64_t config_ms; /* when it reads the newest configuration */
  gboolean replaced;
  uint64_t gone_ms; /* a replaced owner acts on until then */
} Owner;

typedef struct
{
  char id[17];
  guint service;
  guint account;
  fb_work_admit record;
  fb_work_step step;
  uint64_t stored_ms;
} Job;

typedef enum
{
  EVENT_START,
  EVENT_START_ANSWER,
  EVENT_POLL,
  EVENT_POLL_ANSWER,
  EVENT_STOP,
  EVENT_PARTS,
  EVENT_PARTS_REPLY
} EventKind;

typedef struct
{
  EventKind kind;
  uint64_t due_ms;
  uint64_t number;
  guint service;  /* of the owner that it comes from or goes to */
  uint64_t epoch; /* of that owner */
  Worker *worker;
  char *task;
  uint32_t attempt;
  uint64_t order;
  uint64_t deadline_ms;
  uint64_t acknowledged;
  FbOrderResult result;
  guint coordinator;
  fb_account_parts_request request; /* owned copies */
  fb_account_grants_reply reply;
  gboolean answered;
} Event;

struct _World
{
  GRand *rand;
  uint64_t now_ms;
  uint64_t events_n;
  GList *events; /* of Event, by due time */
  Worker workers[SERVICES_N][WORKERS_N];
  Owner *owners[SERVICES_N]; /* the present ones */
  GPtrArray *replaced;       /* of Owner */
  GPtrArray *jobs;           /* of Job */
  GHashTable *progress;      /* job -> GBytes */
  FbAccount accounts[ACCOUNTS_N];
  int64_t previous_cap[ACCOUNTS_N]; /* in force beside the present one until CHANGED_MS */
  uint64_t changed_ms[ACCOUNTS_N];
  uint64_t idle_since_ms[ACCOUNTS_N];
  GPtrArray *services;
  gboolean calm;
  guint starts_n;
  char *fault;
};

static gboolean
chance (World *world, double share)
{
  return !world->calm && g_rand_double (world->rand) < share;
}

static void
fail (World *world, const char *format, ...)
{
  if (world->fault != NULL)
    return;
  va_list args;
  va_start (args, format);
  world->fault = g_strdup_vprintf (format, args);
  va_end (args);
}

/* ---- events --------------------------------------------------------------------- */

static gint
compare_events (gconstpointer a, gconstpointer b)
{
  const Event *x = a;
  const Event *y = b;
  if (x->due_ms != y->due_ms)
    return x->due_ms < y->due_ms ? -1 : 1;
  return (x->number > y->number) - (x->number < y->number);
}

static Event *
schedule (World *world, EventKind kind, const Owner *owner)
{
  Event *event = g_new0 (Event, 1);
  event->kind = kind;
  event->number = world->events_n++;
  event->service = owner->service;
  event->epoch = owner->epoch;
  uint32_t delay_ms = (uint32_t) g_rand_int_range (world->rand, 1, 8);
  if (chance (world, 0.02))
    delay_ms += (uint32_t) g_rand_int_range (world->rand, 100, 3000);
  event->due_ms = world->now_ms + delay_ms;
  return event;
}

static void
post (World *world, Event *event)
{
  world->events = g_list_insert_sorted (world->events, event, compare_events);
}

static void
event_free (Event *event)
{
  fb_account_parts_request_clear (&event->request);
  g_free (event->request.service);
  g_free (event->request.coordinator);
  xdr_free ((xdrproc_t) xdr_fb_account_grants_reply, (char *) &event->reply);
  g_free (event->task);
  g_free (event);
}

/* Returns: (nullable): the owner of SERVICE with EPOCH, if it still exists. */
static Owner *
find_owner (const World *world, guint service, uint64_t epoch)
{
  if (world->owners[service]->epoch == epoch)
    return world->owners[service];
  for (guint i = 0; i < world->replaced->len; i++)
    {
      Owner *owner = world->replaced->pdata[i];
      if (owner->service == service && owner->epoch == epoch)
        return owner;
    }
  return NULL;
}

static gboolean
is_frozen (const World *world, const Owner *owner)
{
  return world->now_ms < owner->frozen_until_ms;
}

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
  Event *event = schedule (owner->world, EVENT_START, owner);
  event->worker = find_worker (owner->world, owner->service, order->worker);
  event->task = g_strdup (order->task);
  event->attempt = order->attempt;
  event->order = order->order;
  event->deadline_ms = order->deadline_ms;
  post (owner->world, event);
}

static void
on_stop (gpointer user, const FbStopOrder *order)
{
  Owner *owner = user;
  Event *event = schedule (owner->world, EVENT_STOP, owner);
  event->worker = find_worker (owner->world, owner->service, order->worker);
  event->task = g_strdup (order->task);
  event->attempt = order->attempt;
  event->order = order->order;
  post (owner->world, event);
}

static void
on_poll (gpointer user, const FbPollOrder *order)
{
  Owner *owner = user;
  Event *event = schedule (owner->world, EVENT_POLL, owner);
  event->worker = find_worker (owner->world, owner->service, order->worker);
  event->acknowledged = order->acknowledged;
  event->deadline_ms = order->deadline_ms;
  event->due_ms += order->wait_ms > 0 ? 40 : 0;
  post (owner->world, event);
}

static void
on_fenced (gpointer user, const char *worker)
{
  (void) worker;
  ((Owner *) user)->gone_ms = ((Owner *) user)->world->now_ms;
}

static const FbPoolCallbacks callbacks = { on_start, on_stop, on_poll, NULL, on_fenced, NULL };

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

static Owner *
owner_new (World *world, guint service, uint64_t epoch)
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

static void
owner_free (gpointer data)
{
  Owner *owner = data;
  fb_pool_free (owner->pool);
  fb_account_parts_free (owner->parts);
  g_free (owner);
}

static void
replace_owner (World *world, guint service)
{
  Owner *before = world->owners[service];
  before->replaced = TRUE;
  before->gone_ms = world->now_ms + (uint64_t) g_rand_int_range (world->rand, 0, 4000);
  g_ptr_array_add (world->replaced, before);
  world->owners[service] = owner_new (world, service, before->epoch + 1);
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
      Event *event = schedule (world, EVENT_PARTS, owner);
      event->coordinator = i;
      event->request = request;
      event->request.service = g_strdup (request.service);
      event->request.coordinator = g_strdup (request.coordinator);
      post (world, event);
    }
}

/* A replaced owner starts and asks for nothing, since neither the store nor its workers confirm
 * it. */
static void
run_owner (Owner *owner)
{
  World *world = owner->world;
  if (is_frozen (world, owner))
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

/* ---- workers ----------------------------------------------------------------------- */

static int64_t
running_of (World *world, guint account)
{
  int64_t cpu_milli = 0;
  for (guint i = 0; i < SERVICES_N; i++)
    {
      for (guint j = 0; j < WORKERS_N; j++)
        {
          const GPtrArray *runs = world->workers[i][j].runs;
          for (guint k = 0; k < runs->len; k++)
            {
              const Run *run = runs->pdata[k];
              cpu_milli += run->account == account ? run->cpu_milli : 0;
            }
        }
    }
  return cpu_milli;
}

static void
check_start (World *world, const Run *run)
{
  guint account = run->account;
  int64_t cap = world->accounts[account].cap.cpu_milli;
  if (world->now_ms < world->changed_ms[account] + CONFIG_MAX_MS)
    cap = MAX (cap, world->previous_cap[account]);
  int64_t running = running_of (world, account);
  if (running > cap)
    fail (world, "account %s runs %d of %d after the start of %s", world->accounts[account].name,
          (int) running, (int) cap, run->task);
}

static const Job *
job_of (const World *world, const char *task)
{
  for (guint i = 0; i < world->jobs->len; i++)
    {
      const Job *job = world->jobs->pdata[i];
      if (g_str_has_prefix (task, job->id))
        return job;
    }
  g_assert_not_reached ();
}

static void
run_free (gpointer data)
{
  Run *run = data;
  g_free (run->task);
  g_free (run);
}

static Run *
find_run (const Worker *worker, const char *task)
{
  for (guint i = 0; i < worker->runs->len; i++)
    {
      Run *run = worker->runs->pdata[i];
      if (g_str_equal (run->task, task))
        return run;
    }
  return NULL;
}

static void
end_run (Worker *worker, Run *run, FbEndReason reason)
{
  const FbReportedEnd end
      = { ++worker->last_end, g_strdup (run->task), run->attempt, reason, g_strdup ("") };
  g_array_append_val (worker->ends, end);
  g_ptr_array_remove (worker->runs, run);
}

static FbOrderResult
carry_out_start (World *world, const Event *event)
{
  Worker *worker = event->worker;
  if (event->epoch < worker->epoch)
    return FB_ORDER_FENCED;
  worker->epoch = event->epoch;
  if (world->now_ms > event->deadline_ms)
    return FB_ORDER_PAST_DEADLINE;
  worker->lease_ms = MAX (worker->lease_ms, event->deadline_ms);
  if (find_run (worker, event->task) != NULL)
    return FB_ORDER_DONE;
  const Job *job = job_of (world, event->task);
  Run *run = g_new0 (Run, 1);
  run->task = g_strdup (event->task);
  run->attempt = event->attempt;
  run->account = job->account;
  run->cpu_milli = job->step.cpu_milli;
  run->ends_ms = world->now_ms + (uint64_t) g_rand_int_range (world->rand, 200, 4000);
  g_ptr_array_add (worker->runs, run);
  world->starts_n++;
  check_start (world, run);
  return FB_ORDER_DONE;
}

static void
answer (World *world, const Event *event, EventKind kind, FbOrderResult result)
{
  const Owner *owner = find_owner (world, event->service, event->epoch);
  if (owner == NULL)
    return;
  Event *reply = schedule (world, kind, owner);
  reply->worker = event->worker;
  reply->task = g_strdup (event->task);
  reply->order = event->order;
  reply->result = result;
  reply->acknowledged = event->acknowledged;
  post (world, reply);
}

static void
handle_start (World *world, const Event *event)
{
  if (world->now_ms < event->worker->cut_until_ms)
    {
      answer (world, event, EVENT_START_ANSWER, FB_ORDER_UNKNOWN);
      return;
    }
  FbOrderResult result = carry_out_start (world, event);
  answer (world, event, EVENT_START_ANSWER, chance (world, 0.03) ? FB_ORDER_UNKNOWN : result);
}

static void
handle_stop (World *world, const Event *event)
{
  Worker *worker = event->worker;
  if (world->now_ms < worker->cut_until_ms || event->epoch < worker->epoch)
    return;
  Run *run = find_run (worker, event->task);
  if (run != NULL && run->attempt == event->attempt)
    end_run (worker, run, FB_END_STOPPED);
}

static void
handle_poll (World *world, const Event *event)
{
  Worker *worker = event->worker;
  FbOrderResult result = FB_ORDER_DONE;
  if (world->now_ms < worker->cut_until_ms || chance (world, 0.01))
    result = FB_ORDER_UNKNOWN;
  else if (event->epoch < worker->epoch)
    result = FB_ORDER_FENCED;
  else
    {
      worker->epoch = event->epoch;
      worker->lease_ms = MAX (worker->lease_ms, event->deadline_ms);
    }
  guint forgotten = 0;
  while (result == FB_ORDER_DONE && forgotten < worker->ends->len
         && g_array_index (worker->ends, FbReportedEnd, forgotten).number <= event->acknowledged)
    forgotten++;
  g_array_remove_range (worker->ends, 0, forgotten);
  answer (world, event, EVENT_POLL_ANSWER, result);
}

/* The lists are those of the moment at which the answer arrives. */
static void
handle_poll_answer (World *world, Owner *owner, const Event *event)
{
  g_autoptr (GArray) running = g_array_new (FALSE, TRUE, sizeof (FbReportedRun));
  for (guint i = 0; i < event->worker->runs->len; i++)
    {
      const Run *run = event->worker->runs->pdata[i];
      FbReportedRun row = { run->task, run->attempt, "" };
      g_array_append_val (running, row);
    }
  const FbPollAnswer poll_answer = { .result = event->result,
                                     .clock_ms = world->now_ms,
                                     .running = running,
                                     .finished = event->worker->ends };
  fb_pool_poll_answered (owner->pool, event->worker->id, &poll_answer, world->now_ms,
                         WALL_MS + world->now_ms);
}

/* ---- parts ----------------------------------------------------------------------------- */

/* A request reaches the present owner, or one that was replaced, which the store and its workers
 * do not confirm, so that it grants nothing. */
static Owner *
receiver_of (World *world, guint service)
{
  for (guint i = 0; i < world->replaced->len; i++)
    {
      Owner *owner = world->replaced->pdata[i];
      if (owner->service == service && chance (world, 0.5))
        return owner;
    }
  return world->owners[service];
}

static void
handle_parts (World *world, Event *event)
{
  Owner *receiver = receiver_of (world, event->coordinator);
  Owner *sender = find_owner (world, event->service, event->epoch);
  fb_account_grants_reply reply = { 0 };
  gboolean served
      = !is_frozen (world, receiver) && !receiver->replaced && !chance (world, 0.05)
        && fb_account_parts_serve (receiver->parts, receiver->pool, &event->request, &reply);
  if (sender == NULL)
    {
      xdr_free ((xdrproc_t) xdr_fb_account_grants_reply, (char *) &reply);
      return;
    }
  Event *back = schedule (world, EVENT_PARTS_REPLY, sender);
  back->coordinator = event->coordinator;
  back->answered = served && !chance (world, 0.05);
  back->reply = reply;
  if (!back->answered)
    back->due_ms += 600;
  post (world, back);
}

static void
dispatch (World *world, Event *event)
{
  if (event->kind == EVENT_START)
    handle_start (world, event);
  else if (event->kind == EVENT_STOP)
    handle_stop (world, event);
  else if (event->kind == EVENT_POLL)
    handle_poll (world, event);
  else if (event->kind == EVENT_PARTS)
    handle_parts (world, event);
  Owner *owner = find_owner (world, event->service, event->epoch);
  if (owner == NULL)
    return;
  if (event->kind == EVENT_START_ANSWER)
    fb_pool_start_answered (owner->pool, event->order, event->result, world->now_ms, world->now_ms);
  else if (event->kind == EVENT_POLL_ANSWER)
    handle_poll_answer (world, owner, event);
  else if (event->kind == EVENT_PARTS_REPLY)
    fb_account_parts_answered (owner->parts, world->services->pdata[event->coordinator],
                               event->answered ? &event->reply : NULL);
}

/* An event for a frozen owner waits until it wakes. */
static gboolean
is_for_frozen (const World *world, Event *event)
{
  const Owner *owner = find_owner (world, event->service, event->epoch);
  gboolean incoming = event->kind == EVENT_START_ANSWER || event->kind == EVENT_POLL_ANSWER
                      || event->kind == EVENT_PARTS_REPLY;
  if (!incoming || owner == NULL || !is_frozen (world, owner))
    return FALSE;
  event->due_ms = owner->frozen_until_ms;
  return TRUE;
}

static void
run_events (World *world)
{
  while (world->events != NULL && ((Event *) world->events->data)->due_ms <= world->now_ms)
    {
      Event *event = world->events->data;
      world->events = g_list_delete_link (world->events, world->events);
      if (is_for_frozen (world, event))
        {
          post (world, event);
          continue;
        }
      dispatch (world, event);
      event_free (event);
    }
}

/* ---- the world --------------------------------------------------------------------------- */

static void
add_job (World *world)
{
  Job *job = g_new0 (Job, 1);
  g_snprintf (job->id, sizeof job->id, "%016x", world->jobs->len + 1);
  job->service = (guint) g_rand_int_range (world->rand, 0, SERVICES_N);
  job->account = (guint) g_rand_int_range (world->rand, 0, ACCOUNTS_N);
  job->stored_ms = world->now_ms;
  job->step = (fb_work_step){ .count = (u_int) g_rand_int_range (world->rand, 1, 6),
                              .cpu_milli = (u_int) g_rand_int_range (world->rand, 1, 4) * 500,
                              .mem_mb = 100,
                              .estimate_ms = 1000,
                              .preferred_rack = "",
                              .required_label = "",
                              .image = "" };
  job->step.gang = g_rand_int_range (world->rand, 0, 4) == 0;
  job->record = (fb_work_admit){ .policy = { .queue = "q",
                                             .service = world->services->pdata[job->service],
                                             .max_attempts = 3,
                                             .stretch_factor_milli = 2000,
                                             .target_ms = 1000 },
                                 .spec = { .payload = "" },
                                 .accepted_ms = WALL_MS + world->now_ms,
                                 .account = world->accounts[job->account].name };
  job->record.spec.steps.steps_len = 1;
  job->record.spec.steps.steps_val = &job->step;
  g_ptr_array_add (world->jobs, job);
  fb_pool_add_job (world->owners[job->service]->pool, job->id, &job->record, world->now_ms,
                   WALL_MS + world->now_ms);
}

static void
change_cap (World *world)
{
  guint i = (guint) g_rand_int_range (world->rand, 0, ACCOUNTS_N);
  if (world->now_ms < world->changed_ms[i] + CONFIG_MAX_MS)
    return;
  world->previous_cap[i] = world->accounts[i].cap.cpu_milli;
  world->changed_ms[i] = world->now_ms;
  world->accounts[i].cap.cpu_milli = g_rand_int_range (world->rand, 16, 40) * 500;
  for (guint j = 0; j < SERVICES_N; j++)
    {
      uint64_t read_ms = world->now_ms + (uint64_t) g_rand_int_range (world->rand, 1, CONFIG_MS);
      /* A pending read also returns this change. */
      if (world->owners[j]->config_ms == 0)
        world->owners[j]->config_ms = read_ms;
    }
}

/* An owner that wakes reads the configuration before it starts anything. */
static void
freeze (World *world, Owner *owner)
{
  owner->frozen_until_ms = world->now_ms + (uint64_t) g_rand_int_range (world->rand, 200, 2500);
  owner->config_ms = 1;
}

static void
play_faults (World *world)
{
  guint service = (guint) g_rand_int_range (world->rand, 0, SERVICES_N);
  if (chance (world, 0.003))
    replace_owner (world, service);
  if (chance (world, 0.0005))
    {
      for (guint i = 0; i < SERVICES_N; i++)
        replace_owner (world, i);
    }
  if (chance (world, 0.001))
    freeze (world, world->owners[service]);
  if (chance (world, 0.001))
    world->workers[service][0].cut_until_ms
        = world->now_ms + (uint64_t) g_rand_int_range (world->rand, 200, 3000);
  if (chance (world, 0.005))
    change_cap (world);
}

static void
end_runs (World *world)
{
  for (guint i = 0; i < SERVICES_N; i++)
    {
      for (guint j = 0; j < WORKERS_N; j++)
        {
          Worker *worker = &world->workers[i][j];
          for (guint k = worker->runs->len; k > 0; k--)
            {
              Run *run = worker->runs->pdata[k - 1];
              if (world->now_ms > worker->lease_ms)
                end_run (worker, run, FB_END_LEASE_EXPIRED);
              else if (world->now_ms >= run->ends_ms)
                end_run (worker, run, FB_END_DONE);
            }
        }
    }
}

static void
remove_replaced (World *world)
{
  for (guint i = world->replaced->len; i > 0; i--)
    {
      const Owner *owner = world->replaced->pdata[i - 1];
      if (world->calm || (world->now_ms >= owner->gone_ms && !is_frozen (world, owner)))
        g_ptr_array_remove_index (world->replaced, i - 1);
    }
}

/* TRUE when a job of ACCOUNT has nothing running, and none of its tasks was started. */
static gboolean
has_waiting_job (World *world, guint account)
{
  for (guint i = 0; i < world->jobs->len; i++)
    {
      const Job *job = world->jobs->pdata[i];
      fb_work_state state = FB_WORK_QUEUED;
      if (job->account == account
          && fb_pool_job_state (world->owners[job->service]->pool, job->id, &state)
          && state == FB_WORK_QUEUED)
        return TRUE;
    }
  return FALSE;
}

static void
check_waiting (World *world)
{
  for (guint i = 0; i < ACCOUNTS_N; i++)
    {
      gboolean waits = running_of (world, i) * 2 < world->accounts[i].cap.cpu_milli
                       && has_waiting_job (world, i);
      if (world->now_ms < TROUBLED_MS + SETTLED_MS || !waits)
        world->idle_since_ms[i] = world->now_ms;
      if (world->now_ms > world->idle_since_ms[i] + WAIT_MAX_MS)
        fail (world, "account %s waits with %d of %d", world->accounts[i].name,
              (int) running_of (world, i), (int) world->accounts[i].cap.cpu_milli);
    }
}

static void
step (World *world)
{
  world->now_ms += STEP_MS;
  gboolean is_last = world->now_ms > TROUBLED_MS + LAST_JOB_MS;
  if (!is_last && g_rand_int_range (world->rand, 0, 12) == 0)
    add_job (world);
  play_faults (world);
  end_runs (world);
  run_events (world);
  for (guint i = 0; i < SERVICES_N; i++)
    run_owner (world->owners[i]);
  for (guint i = 0; i < world->replaced->len; i++)
    run_owner (world->replaced->pdata[i]);
  remove_replaced (world);
  check_waiting (world);
}

static World *
world_new (guint32 seed)
{
  World *world = g_new0 (World, 1);
  world->rand = g_rand_new_with_seed (seed);
  world->now_ms = 1000;
  world->replaced = g_ptr_array_new_with_free_func (owner_free);
  world->jobs = g_ptr_array_new_with_free_func (g_free);
  world->progress
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  world->services = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < ACCOUNTS_N; i++)
    {
      world->accounts[i].name = g_strdup_printf ("account-%u", i);
      world->accounts[i].cap.cpu_milli = g_rand_int_range (world->rand, 16, 40) * 500;
    }
  for (guint i = 0; i < SERVICES_N; i++)
    g_ptr_array_add (world->services, g_strdup_printf ("service-%u", i));
  for (guint i = 0; i < SERVICES_N; i++)
    {
      for (guint j = 0; j < WORKERS_N; j++)
        {
          Worker *worker = &world->workers[i][j];
          worker->id = g_strdup_printf ("worker-%u-%u", i, j);
          worker->runs = g_ptr_array_new_with_free_func (run_free);
          worker->ends = g_array_new (FALSE, TRUE, sizeof (FbReportedEnd));
        }
      world->owners[i] = owner_new (world, i, 1);
    }
  return world;
}

/* Returns: FALSE when the oracle has found a fault. */
static gboolean
play (guint32 seed)
{
  World *world = world_new (seed);
  while (world->fault == NULL && world->now_ms < TROUBLED_MS + CALM_MS)
    {
      world->calm = world->now_ms > TROUBLED_MS;
      step (world);
    }
  gboolean ok = world->fault == NULL;
  if (!ok)
    printf ("seed %u at %u ms: %s\n", seed, (guint) world->now_ms, world->fault);
  else if (world->starts_n == 0)
    printf ("seed %u: nothing was started\n", seed);
  return ok && world->starts_n > 0;
}

int
main (int argc, char **argv)
{
  if (argc != 3)
    {
      fprintf (stderr, "usage: fuzz-account-parts FIRST-SEED COUNT\n");
      return 2;
    }
  guint32 first = (guint32) strtoul (argv[1], NULL, 10);
  guint32 count = (guint32) strtoul (argv[2], NULL, 10);
  guint broken_n = 0;
  fb_event_set_quiet (TRUE);
  for (guint32 i = 0; i < count; i++)
    broken_n += !play (first + i);
  printf ("%u seeds, %u broken\n", count, broken_n);
  return broken_n == 0 ? 0 : 1;
}
