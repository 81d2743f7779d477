/* Stateful fuzzing of pools: owners that come and go over workers and a store that
 * fail, judged by what really ran.
 *
 * The world keeps the truth about every run and shares no code with the pool.  After
 * each fault phase everything heals, and all that was accepted has to end.  A seed
 * gives the same run every time. */
#include "fb-event.h"
#include "internal/codec.h"
#include "internal/pool.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORKER_N 6
#define JOB_MAX 40
#define TASK_MAX 4
#define STEP_MAX 2
#define TICK_MS 10
#define FAULT_MS 40000
#define HEAL_MS 45000
#define MAX_ATTEMPTS 3
#define CPU 16000
#define STOP_TAKES_MS 150
#define TTL_MS 1000
#define MAJORITY_MS 1500
#define STEP_DOWN_MS 2000
#define LIST_LAG_MS 300
#define SILENCE_MS 4500
#define WALL_MS 1000000000

/* ---- the truth ------------------------------------------------------------------- */

typedef struct
{
  char task[64];
  uint32_t attempt;
  uint64_t ends_ms;
  uint64_t stop_ms; /* when an ordered stop takes effect; 0: none */
  gboolean fails;
} Run;

typedef struct
{
  uint64_t number;
  char task[64];
  uint32_t attempt;
  FbEndHow how;
} End;

typedef struct
{
  char id[32];
  guint life;
  gboolean up;
  gboolean cut; /* nothing gets through */
  gboolean listed;
  gboolean draining;
  uint64_t silent_ms; /* since when the list has heard nothing; 0: it hears */
  uint64_t began_ms;
  uint32_t slow_permille; /* of its clock */
  uint64_t token;
  uint64_t lease_ms;
  uint64_t next_end;
  uint64_t acknowledged;
  GArray *runs;        /* of Run */
  GArray *ends;        /* of End */
  GHashTable *highest; /* task -> highest attempt stopped or ended here */
} Worker;

typedef struct
{
  char id[FB_WORK_JOB_ID_CHARS + 1];
  fb_work_admit record;
  gboolean submitted;
  gboolean cancelled;
  uint64_t cancelled_ms;
  uint32_t done[STEP_MAX][TASK_MAX];   /* runs that ended done */
  gboolean noted[STEP_MAX][TASK_MAX];  /* such an end was acknowledged */
  uint32_t failed[STEP_MAX][TASK_MAX]; /* failed ends that were acknowledged */
  uint32_t fell[STEP_MAX][TASK_MAX];   /* runs that ended failed */
  gboolean poison;
} Job;

typedef enum
{
  ORDER_START,
  ORDER_STOP,
  ORDER_LOOK
} OrderKind;

typedef struct
{
  OrderKind kind;
  guint owner;
  uint64_t owner_life;
  uint64_t order;
  guint worker;
  char worker_id[32];
  char task[64];
  uint32_t attempt;
  uint64_t epoch;
  uint64_t deadline_ms;
  uint64_t acknowledged;
  uint32_t wait_ms;
  uint64_t arrives_ms;
  uint64_t gives_up_ms; /* the sender's time limit */
  gboolean answer_lost;
  gboolean arrived;
  uint64_t waits_until_ms;
  uint64_t knows_ms; /* until when its sender had read the store */
} Order;

typedef struct
{
  FbPool *pool; /* NULL: dead */
  uint64_t life;
  uint64_t epoch;
  gboolean paused;
  gboolean fenced;
  uint64_t authority_ms;
  GPtrArray *flush;
  uint64_t flush_done_ms;
  uint64_t list_seen_ms;
  uint64_t fenced_store_ms; /* when it shut the writer before out */
  gboolean complete;
  gboolean in_shown[WORKER_N];
  char shown[WORKER_N][32];
} Owner;

#define OWNER_N 2

typedef struct
{
  GRand *rand;
  uint64_t now_ms;
  gboolean healing;
  gboolean store_away;
  Worker workers[WORKER_N];
  Job jobs[JOB_MAX];
  guint job_n;
  Owner owners[OWNER_N];
  guint current; /* the owner that the store knows */
  uint64_t store_epoch;
  uint64_t current_seen_ms;
  GHashTable *progress; /* job -> GBytes */
  GBytes *known_workers;
  GPtrArray *orders;
  uint64_t lives;
  uint64_t starts;
  char *broken;
} World;

static void
broke (World *world, const char *format, ...)
{
  if (world->broken != NULL)
    return;
  va_list args;
  va_start (args, format);
  g_autofree char *what = g_strdup_vprintf (format, args);
  va_end (args);
  world->broken = g_strdup_printf ("%s (at %u ms)", what, (unsigned) (world->now_ms % 1000000));
}

static guint
chance (World *world, guint n)
{
  return (guint) g_rand_int_range (world->rand, 0, (gint32) n);
}

static uint64_t
clock_of (const World *world, const Worker *worker)
{
  uint64_t ran_ms = world->now_ms - worker->began_ms;
  return 5000 + ran_ms * (1000 - worker->slow_permille) / 1000;
}

static Job *
job_of (World *world, const char *task, guint *step, guint *index)
{
  unsigned occurrence = 0;
  char id[FB_WORK_JOB_ID_CHARS + 1];
  memcpy (id, task, FB_WORK_JOB_ID_CHARS);
  id[FB_WORK_JOB_ID_CHARS] = '\0';
  if (sscanf (task + FB_WORK_JOB_ID_CHARS, ".%u.%u.%u", &occurrence, step, index) != 3)
    return NULL;
  for (guint i = 0; i < world->job_n; i++)
    {
      if (g_str_equal (world->jobs[i].id, id))
        return &world->jobs[i];
    }
  return NULL;
}

/* ---- workers ------------------------------------------------------------------------- */

static void
worker_begin (World *world, guint i)
{
  Worker *worker = &world->workers[i];
  worker->life++;
  g_snprintf (worker->id, sizeof worker->id, "w%u-%u", i, worker->life);
  worker->up = TRUE;
  worker->cut = FALSE;
  worker->draining = FALSE;
  worker->began_ms = world->now_ms;
  worker->slow_permille = chance (world, 21);
  worker->token = 0;
  worker->lease_ms = 0;
  worker->next_end = 0;
  worker->acknowledged = 0;
  worker->silent_ms = 0;
  worker->listed = TRUE;
  g_array_set_size (worker->runs, 0);
  g_array_set_size (worker->ends, 0);
  g_hash_table_remove_all (worker->highest);
}

static void
add_end (Worker *worker, const Run *run, FbEndHow how)
{
  End end = { .number = ++worker->next_end, .attempt = run->attempt, .how = how };
  memcpy (end.task, run->task, sizeof end.task);
  g_array_append_val (worker->ends, end);
  g_hash_table_replace (worker->highest, g_strdup (run->task), GUINT_TO_POINTER (run->attempt));
}

static void
end_run (World *world, Worker *worker, guint at, FbEndHow how)
{
  Run run = g_array_index (worker->runs, Run, at);
  g_array_remove_index (worker->runs, at);
  add_end (worker, &run, how);
  guint step = 0;
  guint index = 0;
  Job *job = job_of (world, run.task, &step, &index);
  job->done[step][index] += how == FB_END_DONE;
  job->fell[step][index] += how == FB_END_FAILED;
}

static void
worker_tick (World *world, Worker *worker)
{
  if (!worker->up)
    return;
  gboolean lapsed = clock_of (world, worker) >= worker->lease_ms;
  for (guint i = worker->runs->len; i > 0; i--)
    {
      const Run *run = &g_array_index (worker->runs, Run, i - 1);
      if (run->stop_ms != 0 && world->now_ms >= run->stop_ms)
        end_run (world, worker, i - 1, FB_END_STOPPED);
      else if (world->now_ms >= run->ends_ms)
        end_run (world, worker, i - 1, run->fails ? FB_END_FAILED : FB_END_DONE);
      else if (lapsed)
        end_run (world, worker, i - 1, FB_END_LAPSED);
    }
}

/* ---- the judge ---------------------------------------------------------------------------- */

static void
judge_start (World *world, const Worker *worker, const Order *order)
{
  guint step = 0;
  guint index = 0;
  Job *job = job_of (world, order->task, &step, &index);
  if (job == NULL)
    {
      broke (world, "%s started and nobody submitted it", order->task);
      return;
    }
  int64_t cpu_milli = job->record.spec.steps.steps_val[step].cpu_milli;
  for (guint i = 0; i < worker->runs->len; i++)
    {
      guint s = 0;
      guint x = 0;
      const Job *other = job_of (world, g_array_index (worker->runs, Run, i).task, &s, &x);
      cpu_milli += other->record.spec.steps.steps_val[s].cpu_milli;
    }
  if (cpu_milli > CPU)
    broke (world, "%s holds %d of %d", worker->id, (int) cpu_milli, CPU);
  for (guint i = 0; i < WORKER_N; i++)
    {
      const Worker *other = &world->workers[i];
      for (guint j = 0; other->up && j < other->runs->len; j++)
        {
          if (g_str_equal (g_array_index (other->runs, Run, j).task, order->task))
            broke (world, "%s runs on %s and %s", order->task, other->id, worker->id);
        }
    }
  if (job->noted[step][index])
    broke (world, "%s started after its end was acknowledged", order->task);
  if (job->failed[step][index] >= MAX_ATTEMPTS)
    broke (world, "%s started after %u failed runs", order->task, job->failed[step][index]);
  if (step > 0)
    {
      for (u_int i = 0; i < job->record.spec.steps.steps_val[0].count; i++)
        {
          if (job->done[0][i] == 0)
            broke (world, "%s started before step 0 was done", order->task);
        }
    }
  if (job->cancelled && order->knows_ms > job->cancelled_ms)
    broke (world, "%s started after its job was cancelled", order->task);
}

/* ---- orders arrive --------------------------------------------------------------------------- */

static FbOrderResult
take_start (World *world, Worker *worker, const Order *order)
{
  guint highest = GPOINTER_TO_UINT (g_hash_table_lookup (worker->highest, order->task));
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const Run *run = &g_array_index (worker->runs, Run, i);
      if (g_str_equal (run->task, order->task))
        return run->attempt == order->attempt ? FB_ORDER_DONE : FB_ORDER_SUPERSEDED;
    }
  if (highest >= order->attempt)
    return FB_ORDER_SUPERSEDED;
  if (clock_of (world, worker) >= order->deadline_ms)
    return FB_ORDER_LATE;
  judge_start (world, worker, order);
  guint step = 0;
  guint index = 0;
  const Job *job = job_of (world, order->task, &step, &index);
  if (job == NULL)
    return FB_ORDER_NOT_DONE;
  Run run = { .attempt = order->attempt,
              /* Some outlast a lease, so that one that was thought to have ended shows. */
              .ends_ms = world->now_ms + 200 + chance (world, chance (world, 6) == 0 ? 8000 : 1500),
              .fails = job->poison || chance (world, 12) == 0 };
  memcpy (run.task, order->task, sizeof run.task);
  g_array_append_val (worker->runs, run);
  worker->lease_ms = MAX (worker->lease_ms, order->deadline_ms);
  world->starts++;
  return FB_ORDER_DONE;
}

static void
take_stop (World *world, Worker *worker, const Order *order)
{
  guint highest = GPOINTER_TO_UINT (g_hash_table_lookup (worker->highest, order->task));
  g_hash_table_replace (worker->highest, g_strdup (order->task),
                        GUINT_TO_POINTER (MAX (highest, order->attempt)));
  for (guint i = 0; i < worker->runs->len; i++)
    {
      Run *run = &g_array_index (worker->runs, Run, i);
      if (g_str_equal (run->task, order->task) && run->attempt <= order->attempt
          && run->stop_ms == 0)
        run->stop_ms = world->now_ms + STOP_TAKES_MS;
    }
}

static void
acknowledge (World *world, Worker *worker, uint64_t number)
{
  for (guint i = worker->ends->len; i > 0; i--)
    {
      const End *end = &g_array_index (worker->ends, End, i - 1);
      if (end->number > number)
        continue;
      guint step = 0;
      guint index = 0;
      Job *job = job_of (world, end->task, &step, &index);
      job->noted[step][index] = job->noted[step][index] || end->how == FB_END_DONE;
      job->failed[step][index] += end->how == FB_END_FAILED;
      g_array_remove_index (worker->ends, i - 1);
    }
  worker->acknowledged = MAX (worker->acknowledged, number);
}

static void
clear_run (gpointer data)
{
  g_free (((FbRunSeen *) data)->task);
  g_free (((FbRunSeen *) data)->checkpoint);
}

static void
clear_end (gpointer data)
{
  g_free (((FbEndSeen *) data)->task);
  g_free (((FbEndSeen *) data)->checkpoint);
}

static void
list_runs (World *world, const Worker *worker, FbLookAnswer *answer)
{
  answer->clock_ms = clock_of (world, worker);
  answer->running = g_array_new (FALSE, TRUE, sizeof (FbRunSeen));
  answer->finished = g_array_new (FALSE, TRUE, sizeof (FbEndSeen));
  g_array_set_clear_func (answer->running, clear_run);
  g_array_set_clear_func (answer->finished, clear_end);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const Run *run = &g_array_index (worker->runs, Run, i);
      FbRunSeen seen = { g_strdup (run->task), run->attempt, g_strdup (""), 100, 0 };
      g_array_append_val (answer->running, seen);
    }
  for (guint i = 0; i < worker->ends->len; i++)
    {
      const End *end = &g_array_index (worker->ends, End, i);
      FbEndSeen seen = { end->number, g_strdup (end->task), end->attempt, end->how, g_strdup ("") };
      g_array_append_val (answer->finished, seen);
    }
}

static Owner *
sender_of (World *world, const Order *order)
{
  Owner *owner = &world->owners[order->owner];
  return owner->pool != NULL && owner->life == order->owner_life ? owner : NULL;
}

static void
answer (World *world, const Order *order, FbOrderResult result, uint64_t clock_ms,
        FbLookAnswer *look)
{
  Owner *owner = sender_of (world, order);
  if (owner == NULL)
    return;
  FbLookAnswer none = { .result = result };
  if (order->kind == ORDER_START)
    fb_pool_start_answered (owner->pool, order->order, result, clock_ms, world->now_ms);
  else if (order->kind == ORDER_STOP)
    fb_pool_stop_answered (owner->pool, order->order, result, clock_ms, world->now_ms);
  else
    fb_pool_look_answered (owner->pool, order->worker_id, look != NULL ? look : &none,
                           world->now_ms, WALL_MS + world->now_ms);
}

/* Returns: FALSE while the order waits at the worker for news. */
static gboolean
carry_out (World *world, Order *order)
{
  Worker *worker = &world->workers[order->worker];
  FbOrderResult result = FB_ORDER_DONE;
  FbLookAnswer look = { 0 };
  gboolean heard = !order->answer_lost && world->now_ms <= order->gives_up_ms;
  if (!worker->up || worker->cut)
    return TRUE;
  if (!g_str_equal (worker->id, order->worker_id))
    result = FB_ORDER_OTHER_LIFE;
  else if (order->epoch < worker->token)
    result = FB_ORDER_FENCED;
  else
    {
      worker->token = order->epoch;
      if (order->kind == ORDER_START)
        result = take_start (world, worker, order);
      else if (order->kind == ORDER_STOP)
        take_stop (world, worker, order);
      else if (!order->arrived)
        {
          order->arrived = TRUE;
          order->waits_until_ms = world->now_ms + order->wait_ms;
          acknowledge (world, worker, order->acknowledged);
          if (order->deadline_ms > 0)
            worker->lease_ms
                = MAX (worker->lease_ms, MIN (order->deadline_ms, clock_of (world, worker) + 6000));
        }
      if (order->kind == ORDER_LOOK && worker->ends->len == 0
          && world->now_ms < order->waits_until_ms)
        return FALSE;
    }
  if (order->kind == ORDER_LOOK && result == FB_ORDER_DONE)
    list_runs (world, worker, &look);
  if (heard)
    answer (world, order, result, clock_of (world, worker), look.running != NULL ? &look : NULL);
  if (heard)
    order->gives_up_ms = G_MAXUINT64; /* answered */
  g_clear_pointer (&look.running, g_array_unref);
  g_clear_pointer (&look.finished, g_array_unref);
  return TRUE;
}

/* An order is done with when it was carried out or lost and its sender knows or gave up. */
static void
orders_tick (World *world)
{
  for (guint i = 0; i < world->orders->len;)
    {
      Order *order = world->orders->pdata[i];
      gboolean due = order->arrives_ms != G_MAXUINT64 && world->now_ms >= order->arrives_ms;
      Owner *owner = sender_of (world, order);
      if (owner != NULL && owner->paused)
        due = due && order->arrived; /* nobody hears answers; the order itself was sent */
      if (due && carry_out (world, order))
        order->arrives_ms = G_MAXUINT64;
      if (order->gives_up_ms != G_MAXUINT64 && world->now_ms > order->gives_up_ms
          && (owner == NULL || !owner->paused))
        {
          answer (world, order, FB_ORDER_UNKNOWN, 0, NULL);
          order->gives_up_ms = G_MAXUINT64;
        }
      if (order->arrives_ms == G_MAXUINT64 && order->gives_up_ms == G_MAXUINT64)
        {
          g_free (order);
          g_ptr_array_remove_index_fast (world->orders, i);
        }
      else
        i++;
    }
}

/* ---- what the pools send ------------------------------------------------------------------------
 */

static World *the_world;

static guint
worker_index (const char *id)
{
  return (guint) atoi (id + 1);
}

static void
send_order (guint owner, Order *order, const char *worker, uint32_t patience_ms)
{
  World *world = the_world;
  order->owner = owner;
  order->owner_life = world->owners[owner].life;
  order->knows_ms = world->owners[owner].list_seen_ms;
  order->worker = worker_index (worker);
  g_strlcpy (order->worker_id, worker, sizeof order->worker_id);
  order->gives_up_ms = world->now_ms + patience_ms;
  order->arrives_ms = world->now_ms + 2 + chance (world, 8);
  if (!world->healing && chance (world, 25) == 0)
    order->answer_lost = TRUE;
  if (!world->healing && order->kind != ORDER_LOOK && chance (world, 25) == 0)
    {
      order->answer_lost = TRUE;
      order->arrives_ms = world->now_ms + 2000 + chance (world, 10000);
    }
  g_ptr_array_add (world->orders, order);
}

static void
on_start (gpointer user, const FbStartOrder *start)
{
  Order *order = g_new0 (Order, 1);
  order->kind = ORDER_START;
  order->order = start->order;
  order->epoch = start->epoch;
  order->attempt = start->attempt;
  order->deadline_ms = start->deadline_ms;
  g_strlcpy (order->task, start->task, sizeof order->task);
  send_order (GPOINTER_TO_UINT (user), order, start->worker, 600);
}

static void
on_stop (gpointer user, const FbStopOrder *stop)
{
  Order *order = g_new0 (Order, 1);
  order->kind = ORDER_STOP;
  order->order = stop->order;
  order->epoch = stop->epoch;
  order->attempt = stop->attempt;
  g_strlcpy (order->task, stop->task, sizeof order->task);
  send_order (GPOINTER_TO_UINT (user), order, stop->worker, 600);
}

static void
on_look (gpointer user, const FbLookOrder *look)
{
  Order *order = g_new0 (Order, 1);
  order->kind = ORDER_LOOK;
  order->epoch = look->epoch;
  order->acknowledged = look->acknowledged;
  order->deadline_ms = look->deadline_ms;
  order->wait_ms = look->wait_ms;
  send_order (GPOINTER_TO_UINT (user), order, look->worker, look->wait_ms + 600);
}

static gboolean
on_advise (gpointer user, const char *step, const char *const *workers, guint n,
           uint32_t expected_ms)
{
  (void) user;
  (void) step;
  (void) workers;
  (void) n;
  (void) expected_ms;
  return FALSE;
}

static void
on_fenced (gpointer user, const char *worker)
{
  (void) worker;
  the_world->owners[GPOINTER_TO_UINT (user)].fenced = TRUE;
}

static const FbPoolSink sink = { on_start, on_stop, on_look, on_advise, on_fenced };

/* ---- owners
 * ------------------------------------------------------------------------------------------ */

static void
owner_end (World *world, guint i)
{
  Owner *owner = &world->owners[i];
  g_clear_pointer (&owner->pool, fb_pool_free);
  if (owner->flush != NULL)
    g_ptr_array_unref (owner->flush);
  owner->flush = NULL;
  (void) world;
}

static void
show_list (World *world, guint i)
{
  Owner *owner = &world->owners[i];
  for (guint j = 0; j < WORKER_N; j++)
    {
      const Worker *worker = &world->workers[j];
      if (owner->in_shown[j] && (!worker->listed || !g_str_equal (owner->shown[j], worker->id)))
        {
          fb_pool_worker_unlisted (owner->pool, owner->shown[j], world->now_ms);
          owner->in_shown[j] = FALSE;
        }
      if (!worker->listed)
        continue;
      const char *labels[] = { "k", "r1", NULL };
      const FbWorkerEntry entry
          = { worker->id, worker->id, "r1", labels, CPU, 64000, 0, worker->draining };
      fb_pool_worker_listed (owner->pool, &entry, world->now_ms);
      owner->in_shown[j] = TRUE;
      g_strlcpy (owner->shown[j], worker->id, sizeof owner->shown[j]);
    }
  if (!owner->complete)
    fb_pool_workers_complete (owner->pool);
  owner->complete = TRUE;
  owner->list_seen_ms = world->now_ms;
}

/* What an owner reads from the store after it was away. */
static void
read_jobs (World *world, Owner *owner)
{
  fb_pool_jobs_read (owner->pool, world->now_ms);
  for (guint i = 0; i < world->job_n; i++)
    {
      const Job *job = &world->jobs[i];
      fb_pool_admit (owner->pool, job->id, &job->record, world->now_ms, WALL_MS + world->now_ms);
      if (job->cancelled)
        fb_pool_cancel (owner->pool, job->id, world->now_ms, WALL_MS + world->now_ms);
    }
}

static void
restore (World *world, Owner *owner)
{
  for (guint i = 0; i < world->job_n; i++)
    {
      const Job *job = &world->jobs[i];
      /* A job that is stored while it loads may be read only after it heard the workers;
       * what has progress was stored before the owner before was shut out. */
      gboolean late = !g_hash_table_contains (world->progress, job->id)
                      && world->now_ms < job->record.accepted_ms - WALL_MS + 1000;
      if (!late || chance (world, 2) == 0)
        fb_pool_admit (owner->pool, job->id, &job->record, world->now_ms, WALL_MS + world->now_ms);
    }
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, world->progress);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      gsize len = 0;
      gconstpointer data = g_bytes_get_data (value, &len);
      fb_work_progress progress;
      if (!fb_codec_decode_progress (data, len, &progress))
        abort ();
      fb_pool_restore (owner->pool, key, &progress);
      xdr_free ((xdrproc_t) xdr_fb_work_progress, (char *) &progress);
    }
  for (guint i = 0; i < world->job_n; i++)
    {
      if (world->jobs[i].cancelled)
        fb_pool_cancel (owner->pool, world->jobs[i].id, world->now_ms, WALL_MS + world->now_ms);
    }
  fb_work_workers known;
  gsize len = 0;
  gconstpointer data
      = world->known_workers != NULL ? g_bytes_get_data (world->known_workers, &len) : NULL;
  if (data != NULL && fb_codec_decode_workers (data, len, &known))
    {
      fb_pool_restore_workers (owner->pool, &known);
      xdr_free ((xdrproc_t) xdr_fb_work_workers, (char *) &known);
    }
}

static void
owner_begin (World *world, guint i)
{
  static const FbPoolLimits limits = { 6000, STOP_TAKES_MS, 3000 };
  Owner *owner = &world->owners[i];
  owner_end (world, i);
  *owner = (Owner){ .life = ++world->lives, .epoch = ++world->store_epoch };
  owner->authority_ms = world->now_ms;
  owner->fenced_store_ms = world->now_ms;
  owner->pool
      = fb_pool_new ("svc", owner->epoch, &limits, &sink, GUINT_TO_POINTER (i), world->now_ms);
  world->current = i;
  world->current_seen_ms = world->now_ms;
  restore (world, owner);
}

static void
store_flush (World *world, Owner *owner)
{
  if (owner->epoch != world->store_epoch)
    {
      owner->fenced = TRUE;
      return;
    }
  for (guint i = 0; i < owner->flush->len; i++)
    {
      const FbPoolRecord *record = owner->flush->pdata[i];
      if (record->job == NULL)
        {
          g_clear_pointer (&world->known_workers, g_bytes_unref);
          world->known_workers = g_bytes_ref (record->progress);
        }
      else if (record->progress != NULL)
        g_hash_table_replace (world->progress, g_strdup (record->job),
                              g_bytes_ref (record->progress));
    }
  g_clear_pointer (&owner->flush, g_ptr_array_unref);
  fb_pool_flushed (owner->pool, world->now_ms);
}

static void
flush_tick (World *world, Owner *owner)
{
  if (owner->flush == NULL)
    {
      owner->flush = fb_pool_flush (owner->pool, world->now_ms, WALL_MS + world->now_ms);
      owner->flush_done_ms = world->now_ms + 10;
    }
  else if (!world->store_away && world->now_ms >= owner->flush_done_ms)
    store_flush (world, owner);
}

static void
owner_tick (World *world, guint i)
{
  Owner *owner = &world->owners[i];
  if (owner->pool == NULL || owner->paused)
    return;
  gboolean is_current = i == world->current && owner->epoch == world->store_epoch;
  gboolean member = is_current && !world->store_away;
  if (member)
    world->current_seen_ms = world->now_ms;
  if (is_current && !world->store_away && world->now_ms >= owner->list_seen_ms + LIST_LAG_MS)
    {
      show_list (world, i);
      read_jobs (world, owner);
    }
  gboolean sure = member || fb_pool_holds_majority (owner->pool, MAJORITY_MS, world->now_ms);
  if (sure)
    owner->authority_ms = world->now_ms;
  fb_pool_step (owner->pool, sure, world->now_ms, WALL_MS + world->now_ms);
  flush_tick (world, owner);
  if (owner->fenced || world->now_ms > owner->authority_ms + STEP_DOWN_MS)
    owner_end (world, i);
}

/* The store deals the pool to another daemon when its owner is gone for long. */
static void
deal (World *world)
{
  Owner *owner = &world->owners[world->current];
  gboolean alive = owner->pool != NULL && !owner->paused && owner->epoch == world->store_epoch;
  if (world->store_away || (alive && world->now_ms <= world->current_seen_ms + TTL_MS))
    return;
  if (!alive && world->now_ms > world->current_seen_ms + TTL_MS)
    owner_begin (world, (world->current + 1) % OWNER_N);
}

/* ---- jobs and faults
 * ------------------------------------------------------------------------------------ */

static void
submit (World *world)
{
  if (world->job_n == JOB_MAX)
    return;
  Job *job = &world->jobs[world->job_n++];
  g_snprintf (job->id, sizeof job->id, "%016x", world->job_n);
  job->poison = chance (world, 10) == 0;
  guint steps = 1 + chance (world, STEP_MAX);
  fb_work_admit *record = &job->record;
  record->policy = (fb_work_policy){ .queue = "q",
                                     .service = "svc",
                                     .priority = chance (world, 3),
                                     .max_attempts = MAX_ATTEMPTS,
                                     .stretch_milli = 1500,
                                     .target_ms = 1000 };
  record->spec.payload = "p";
  record->spec.steps.steps_len = steps;
  record->spec.steps.steps_val = g_new0 (fb_work_step, steps);
  record->accepted_ms = WALL_MS + world->now_ms;
  gboolean gang = chance (world, 4) == 0;
  for (guint i = 0; i < steps; i++)
    {
      fb_work_step *step = &record->spec.steps.steps_val[i];
      step->count = 1 + chance (world, TASK_MAX);
      step->cpu_milli = 1000 * (1 + chance (world, 8));
      step->mem_mb = 100;
      step->estimate_ms = 1000;
      step->data_rack = step->required_label = step->image = "";
      step->gang = gang && step->count > 1;
      /* Gangs of the world end one by one, so they are not judged as a whole here. */
      step->gang = FALSE;
      step->after.after_val = g_new0 (u_int, 1);
      step->after.after_len = i;
    }
  job->submitted = TRUE;
  for (guint i = 0; i < OWNER_N; i++)
    {
      /* Others read it from the store up to LIST_LAG_MS later. */
      if (world->owners[i].pool != NULL && !world->owners[i].paused && chance (world, 2) == 0)
        fb_pool_admit (world->owners[i].pool, job->id, record, world->now_ms,
                       WALL_MS + world->now_ms);
    }
}

static void
cancel (World *world)
{
  if (world->job_n == 0)
    return;
  Job *job = &world->jobs[chance (world, world->job_n)];
  if (job->cancelled)
    return;
  job->cancelled = TRUE;
  job->cancelled_ms = world->now_ms;
  for (guint i = 0; i < OWNER_N; i++)
    {
      if (world->owners[i].pool != NULL && !world->owners[i].paused)
        fb_pool_cancel (world->owners[i].pool, job->id, world->now_ms, WALL_MS + world->now_ms);
    }
}

static void
fault_worker (World *world)
{
  guint i = chance (world, WORKER_N);
  Worker *worker = &world->workers[i];
  switch (chance (world, 4))
    {
    case 0:
      worker->up = FALSE;
      break;
    case 1:
      worker_begin (world, i);
      break;
    case 2:
      worker->cut = !worker->cut;
      break;
    default:
      worker->draining = TRUE;
    }
}

static void
fault_owner (World *world)
{
  guint i = chance (world, OWNER_N);
  Owner *owner = &world->owners[i];
  if (owner->pool == NULL)
    return;
  switch (chance (world, 3))
    {
    case 0:
      owner_end (world, i);
      break;
    default:
      owner->paused = !owner->paused;
    }
}

static void
faults (World *world)
{
  /* Jobs and cancels are accepted when the store has them. */
  if (chance (world, 30) == 0 && !world->store_away)
    submit (world);
  if (chance (world, 400) == 0 && !world->store_away)
    cancel (world);
  if (chance (world, 150) == 0)
    fault_worker (world);
  if (chance (world, 250) == 0)
    fault_owner (world);
  if (chance (world, 500) == 0)
    world->store_away = !world->store_away;
}

static void
heal (World *world)
{
  world->healing = TRUE;
  world->store_away = FALSE;
  for (guint i = 0; i < WORKER_N; i++)
    {
      if (!world->workers[i].up || world->workers[i].draining)
        worker_begin (world, i);
      world->workers[i].cut = FALSE;
    }
  for (guint i = 0; i < OWNER_N; i++)
    world->owners[i].paused = FALSE;
}

/* The platform lists a worker while it hears it. */
static void
list_tick (World *world)
{
  for (guint i = 0; i < WORKER_N && !world->store_away; i++)
    {
      Worker *worker = &world->workers[i];
      gboolean heard = worker->up && !worker->cut;
      if (heard)
        worker->silent_ms = 0;
      else if (worker->silent_ms == 0)
        worker->silent_ms = world->now_ms;
      worker->listed = heard || world->now_ms < worker->silent_ms + SILENCE_MS;
    }
}

/* ---- the end
 * -----------------------------------------------------------------------------------------------
 */

static void
judge_job (World *world, const FbPool *pool, const Job *job)
{
  fb_work_state state = FB_WORK_QUEUED;
  if (!fb_pool_job_state (pool, job->id, &state))
    broke (world, "job %s is not known at the end", job->id);
  else if (state < FB_WORK_COMPLETED)
    broke (world, "job %s has not ended", job->id);
  else if (state == FB_WORK_FAILED && !job->poison)
    {
      for (u_int i = 0; i < job->record.spec.steps.steps_len; i++)
        {
          for (u_int j = 0; j < TASK_MAX; j++)
            {
              if (job->fell[i][j] >= MAX_ATTEMPTS)
                return;
            }
        }
      broke (world, "job %s failed without cause", job->id);
    }
  for (u_int i = 0; state == FB_WORK_COMPLETED && i < job->record.spec.steps.steps_len; i++)
    {
      for (u_int j = 0; j < job->record.spec.steps.steps_val[i].count; j++)
        {
          if (job->done[i][j] == 0)
            broke (world, "job %s completed without task %u.%u", job->id, i, j);
        }
    }
}

static void
judge_end (World *world)
{
  const FbPool *pool = world->owners[world->current].pool;
  if (pool == NULL)
    broke (world, "nobody owns the pool at the end");
  for (guint i = 0; pool != NULL && i < world->job_n; i++)
    judge_job (world, pool, &world->jobs[i]);
}

static World *
world_new (guint32 seed)
{
  World *world = g_new0 (World, 1);
  the_world = world;
  world->rand = g_rand_new_with_seed (seed);
  world->now_ms = 1000000;
  world->progress
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  world->orders = g_ptr_array_new ();
  for (guint i = 0; i < WORKER_N; i++)
    {
      Worker *worker = &world->workers[i];
      worker->runs = g_array_new (FALSE, TRUE, sizeof (Run));
      worker->ends = g_array_new (FALSE, TRUE, sizeof (End));
      worker->highest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      worker_begin (world, i);
    }
  owner_begin (world, 0);
  return world;
}

static void
world_free (World *world)
{
  for (guint i = 0; i < OWNER_N; i++)
    owner_end (world, i);
  for (guint i = 0; i < WORKER_N; i++)
    {
      g_array_unref (world->workers[i].runs);
      g_array_unref (world->workers[i].ends);
      g_hash_table_unref (world->workers[i].highest);
    }
  for (guint i = 0; i < world->job_n; i++)
    {
      fb_work_spec *spec = &world->jobs[i].record.spec;
      for (u_int j = 0; j < spec->steps.steps_len; j++)
        g_free (spec->steps.steps_val[j].after.after_val);
      g_free (spec->steps.steps_val);
    }
  g_ptr_array_set_free_func (world->orders, g_free);
  g_ptr_array_unref (world->orders);
  g_hash_table_unref (world->progress);
  g_clear_pointer (&world->known_workers, g_bytes_unref);
  g_rand_free (world->rand);
  g_free (world->broken);
  g_free (world);
}

static void
world_tick (World *world)
{
  world->now_ms += TICK_MS;
  for (guint i = 0; i < WORKER_N; i++)
    worker_tick (world, &world->workers[i]);
  orders_tick (world);
  list_tick (world);
  deal (world);
  for (guint i = 0; i < OWNER_N; i++)
    owner_tick (world, i);
}

/* Returns: TRUE when a promise was broken. */
static gboolean
run_seed (guint32 seed, uint64_t *starts)
{
  World *world = world_new (seed);
  uint64_t heal_ms = world->now_ms + FAULT_MS;
  uint64_t end_ms = heal_ms + HEAL_MS;
  while (world->broken == NULL && world->now_ms < end_ms)
    {
      if (world->now_ms < heal_ms)
        faults (world);
      else if (!world->healing)
        heal (world);
      world_tick (world);
    }
  if (world->broken == NULL)
    judge_end (world);
  if (world->broken != NULL)
    printf ("seed %u: %s\n", seed, world->broken);
  gboolean broken = world->broken != NULL;
  *starts += world->starts;
  world_free (world);
  return broken;
}

int
main (int argc, char **argv)
{
  if (argc != 3)
    {
      fprintf (stderr, "usage: fuzz-pool FIRST-SEED SEEDS\n");
      return 2;
    }
  fb_event_set_quiet (getenv ("FUZZ_LOG") == NULL);
  guint32 first = (guint32) atoi (argv[1]);
  guint32 n = (guint32) atoi (argv[2]);
  guint broken = 0;
  uint64_t starts = 0;
  for (guint32 i = 0; i < n; i++)
    broken += run_seed (first + i, &starts);
  printf ("%u seeds, %u starts, %u broken\n", n, (unsigned) starts, broken);
  return broken > 0;
}
