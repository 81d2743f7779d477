/* Workers that restart under the same id.
 *
 * A call on its way to an incarnation that has ended meanwhile is received by the next one: the id
 * is the same, its clock may be behind the deadline of a start, and it has seen no epoch. If the
 * runs of the ended incarnation were simply dropped, such a start would run the task twice. So runs
 * that the ended incarnation had listed are over, but a start that it never listed is transferred
 * to the next incarnation and counts as starting there. It stays until that incarnation lists it,
 * the incarnation's clock has passed the deadline, or it has accepted a stop of that attempt, after
 * which it refuses the start. */
#include "internal/pool-crash.h"
#include "internal/pool-silence.h"

#include "fb-event.h"

/* An unanswered order is carried out within this time, if at all. */
#define LATE_ORDER_MAX_MS 15000
/* Maximum number of unanswered starts kept; the oldest are dropped. It bounds the work at a
 * worker's first answer, which scans all of them. */
#define UNANSWERED_STARTS_MAX 4096

/* A start that got no answer and may still be carried out. */
typedef struct
{
  char *incarnation; /* id of the incarnation that it was sent to */
  char *address;
  char *task;
  uint32_t attempt;
  uint64_t sent_ms;
} FbPoolUnansweredStart;

static void
unanswered_start_free (gpointer data)
{
  FbPoolUnansweredStart *start = data;
  g_free (start->incarnation);
  g_free (start->address);
  g_free (start->task);
  g_free (start);
}

GQueue *
fb_pool_unanswered_starts_new (void)
{
  return g_queue_new ();
}

void
fb_pool_unanswered_starts_free (GQueue *starts)
{
  g_queue_free_full (starts, unanswered_start_free);
}

void
fb_pool_unanswered_start_add (FbPool *self, const char *incarnation, const char *address,
                              const char *task, uint32_t attempt, uint64_t sent_ms, uint64_t now_ms)
{
  const FbPoolUnansweredStart *oldest = NULL;
  while ((oldest = g_queue_peek_head (self->unanswered_starts)) != NULL
         && (now_ms > oldest->sent_ms + LATE_ORDER_MAX_MS
             || self->unanswered_starts->length >= UNANSWERED_STARTS_MAX))
    unanswered_start_free (g_queue_pop_head (self->unanswered_starts));
  FbPoolUnansweredStart *start = g_new0 (FbPoolUnansweredStart, 1);
  start->incarnation = g_strdup (incarnation);
  start->address = g_strdup (address);
  start->task = g_strdup (task);
  start->attempt = attempt;
  start->sent_ms = sent_ms;
  g_queue_push_tail (self->unanswered_starts, start);
}

/* Charges START to WORKER, where it may arrive, until WORKER has accepted a stop of it. */
static void
add_tombstone (FbPool *self, FbPoolWorker *worker, const FbPoolUnansweredStart *start,
               uint64_t now_ms)
{
  uint32_t index = 0;
  FbPoolStep *step = fb_pool_find_task (self, start->task, &index);
  if (step == NULL || g_hash_table_contains (worker->runs, start->task))
    return;
  FbPoolRun *run = fb_pool_worker_add_run (worker, step, index, start->task, start->attempt);
  run->started_ms = start->sent_ms;
  run->deadline_ms = G_MAXUINT64;
  run->abandoned = TRUE;
  fb_pool_worker_set_tombstone (worker, run, TRUE);
  run->transferred_ms = now_ms;
  fb_pool_order_stop (self, worker, run, now_ms);
}

void
fb_pool_unanswered_starts_reject (FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  for (const GList *l = worker->may_restart ? self->unanswered_starts->head : NULL; l != NULL;
       l = l->next)
    {
      const FbPoolUnansweredStart *start = l->data;
      if (now_ms <= start->sent_ms + LATE_ORDER_MAX_MS
          && g_str_equal (start->address, worker->address)
          && !g_str_equal (start->incarnation, worker->id))
        add_tombstone (self, worker, start, now_ms);
    }
}

/* Returns: the worker with id INCARNATION, which replaced BEFORE at its address. */
static FbPoolWorker *
next_incarnation (FbPool *self, const FbPoolWorker *before, const char *incarnation,
                  uint64_t now_ms)
{
  FbPoolWorker *next = g_hash_table_lookup (self->workers, incarnation);
  if (next != NULL)
    return next;
  next = fb_pool_worker_new (incarnation);
  next->address = g_strdup (before->address);
  fb_pool_worker_slots_add (self, next, now_ms);
  self->workers_dirty = TRUE;
  fb_pool_incarnation_known (self, next, now_ms);
  return next;
}

/* A copy of an open call may still be in flight, even if another copy was carried out. */
gboolean
fb_pool_restart_may_deliver (const FbPool *self, const FbPoolRun *run)
{
  gboolean is_open = run->state != FB_RUN_STOPPING && fb_pool_order_is_open (self, run->order);
  return run->step != NULL && !run->awaits_record && (run->listed_ms == 0 || is_open);
}

static guint
open_starts_n (const FbPool *self, const FbPoolWorker *worker)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer run;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &run))
    n += fb_pool_restart_may_deliver (self, run);
  return n;
}

/* Returns: when the last acknowledgement that was meant for WORKER, or for an incarnation before
 * it, has certainly arrived at a later one; 0: none may be on its way. */
static uint64_t
acknowledgements_end_ms (const FbPoolWorker *worker)
{
  uint64_t sent_ms = worker->poll_open && worker->poll_acknowledges != 0
                         ? worker->poll_sent_ms
                         : worker->unanswered_acknowledgement_ms;
  return MAX (worker->foreign_acknowledgement_until_ms,
              sent_ms != 0 ? sent_ms + FB_POOL_DELAYED_CALL_MS : 0);
}

void
fb_pool_worker_restarted (FbPool *self, FbPoolWorker *worker, const char *incarnation,
                          uint64_t now_ms)
{
  if (worker->runs_ended && g_hash_table_size (worker->runs) == 0)
    {
      fb_pool_worker_lost (self, worker, FB_LOSS_OTHER_INCARNATION, NULL, now_ms);
      return;
    }
  FbPoolWorker *answering = next_incarnation (self, worker, incarnation, now_ms);
  FbPoolWorker *next = fb_pool_incarnation_running (self, answering);
  if (worker->replaced) /* fb_pool_incarnation_known() found that it had ended */
    return;
  /* By its start time WORKER is newer, but the answer proves that ANSWERING runs now. */
  if (next == worker)
    next = answering;
  fb_pool_incarnation_set_latest (self, next);
  /* Starts that may have reached it are resolved by its answers or by the expiry of its leases. */
  next->runs_ended = FALSE;
  next->replaced = FALSE;
  fb_pool_silence_forget (self, next);
  fb_event_log (FB_EVENT_POOL_WORKER_RETURNED,
                "worker=%s life=%s runs=%u may_come=%u heard_ms_ago=%u listed=%d answered=%d",
                worker->id, next->id, g_hash_table_size (worker->runs),
                open_starts_n (self, worker),
                worker->last_answer_ms != 0 ? (guint) (now_ms - worker->last_answer_ms) : 0,
                next->listed, next->answered);
  fb_pool_worker_lost (self, worker, FB_LOSS_OTHER_INCARNATION, next, now_ms);
  next->has_predecessor = TRUE;
  fb_pool_lease_expect_misdirected (self, next, now_ms);
  next->foreign_acknowledgement_until_ms
      = MAX (next->foreign_acknowledgement_until_ms, acknowledgements_end_ms (worker));
  next->next_poll_ms = now_ms;
}

/* Returns: a copy of RUN on NEXT, where its start may arrive. */
static FbPoolRun *
copy_run_to (FbPoolWorker *next, const FbPoolRun *run, uint64_t now_ms)
{
  FbPoolRun *moved = fb_pool_worker_add_run (next, run->step, run->index, run->name, run->attempt);
  moved->started_ms = run->started_ms;
  moved->deadline_ms = run->deadline_ms;
  moved->abandoned = run->abandoned;
  moved->unanswered = run->unanswered;
  moved->from_start = run->from_start;
  moved->order = run->state != FB_RUN_STOPPING ? run->order : 0;
  fb_pool_worker_set_tombstone (next, moved, run->is_tombstone);
  moved->transferred_ms = now_ms;
  return moved;
}

gboolean
fb_pool_restart_transfer (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, FbPoolWorker *next,
                          uint64_t now_ms)
{
  if (!fb_pool_restart_may_deliver (self, run))
    return FALSE;
  /* NEXT may already have a tombstone that makes it refuse this start. */
  FbPoolRun *moved = g_hash_table_lookup (next->runs, run->name);
  if (moved != NULL && (moved->attempt != run->attempt || moved->transferred_ms == 0))
    return FALSE;
  if (moved == NULL)
    moved = copy_run_to (next, run, now_ms);
  moved->deferred_crash = run->deferred_crash;
  fb_pool_orders_move (self, worker, run, next);
  fb_event_log (FB_EVENT_START_MAY_COME,
                "task=%s attempt=%u worker=%s life=%s unanswered=%d sent_ms_ago=%u", run->name,
                run->attempt, worker->id, next->id, run->unanswered,
                (guint) (now_ms - run->started_ms));
  FbPoolTask *task = &run->step->tasks[run->index];
  gboolean was_current = task->run == run;
  fb_pool_worker_drop_run (worker, run);
  if (was_current && task->run == NULL)
    task->run = moved;
  else if (!moved->is_tombstone) /* a tombstone does not count as a run of its task */
    fb_pool_task_attach_run (task, moved);
  return TRUE;
}

static gboolean
is_same_start (const FbPoolRun *other, const FbPoolRun *run)
{
  return other != NULL && other != run && other->attempt == run->attempt;
}

/* A start is carried out by one incarnation only: drops the same attempt on other incarnations at
 * the address. */
void
fb_pool_restart_found (FbPool *self, const FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms)
{
  const FbPoolTask *task = run->step != NULL ? &run->step->tasks[run->index] : NULL;
  if (task == NULL || (!is_same_start (task->run, run) && !is_same_start (task->copy, run)))
    return;
  guint slot = 0;
  FbPoolWorker *other = NULL;
  while ((other = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      FbPoolRun *same = other != worker ? g_hash_table_lookup (other->runs, run->name) : NULL;
      if (same == NULL || same->attempt != run->attempt
          || g_strcmp0 (other->address, worker->address) != 0)
        continue;
      run->started_ms = same->started_ms;
      fb_pool_worker_drop_run (other, same);
      fb_pool_worker_gained_capacity (self, other);
      other->next_poll_ms = now_ms;
    }
}

void
fb_pool_restart_listed (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms)
{
  if (run->transferred_ms == 0)
    return;
  run->transferred_ms = 0;
  fb_pool_worker_set_tombstone (worker, run, FALSE);
  if (run->deferred_crash.worker != 0)
    {
      fb_pool_unresolved_start_drop_id_hash (&run->step->tasks[run->index],
                                             run->deferred_crash.worker);
      fb_pool_job_changed (self, run->step->job);
    }
  run->deferred_crash.worker = 0;
  if (run->abandoned && run->state != FB_RUN_STOPPING)
    fb_pool_order_stop (self, worker, run, now_ms);
}

void
fb_pool_restart_count_crash (FbPool *self, const FbPoolRun *run, uint64_t now_ms)
{
  if (run->deferred_crash.worker != 0)
    fb_pool_crash_count (self, run->step, run->index, run->deferred_crash, now_ms);
}

gboolean
fb_pool_restart_is_over (const FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run,
                         uint64_t clock_ms)
{
  /* A list that was requested before the transfer may be older than the start. */
  if (worker->poll_sent_ms < run->transferred_ms)
    return FALSE;
  if (run->state == FB_RUN_STOPPING && run->stopped_clock_ms > 0)
    return clock_ms > run->stopped_clock_ms + self->limits.max_stop_ms;
  return clock_ms > run->deadline_ms;
}

void
fb_pool_restart_reject (FbPool *self, FbPoolWorker *worker, FbPoolRun *run, uint64_t now_ms)
{
  if (worker->poll_sent_ms >= run->transferred_ms && run->state == FB_RUN_STARTING)
    fb_pool_order_stop (self, worker, run, now_ms);
}

/* Logs an answer that contradicts earlier ones: a worker's clock never goes back, and acknowledged
 * ends are never listed again. */
void
fb_pool_restart_log_stale (const FbPoolWorker *worker, const FbPollAnswer *answer)
{
  guint again_n = 0;
  uint64_t acknowledged
      = worker->may_restart ? worker->confirmed_acknowledged : worker->acknowledged;
  for (guint i = 0; i < answer->finished->len; i++)
    again_n += g_array_index (answer->finished, FbReportedEnd, i).number <= acknowledged;
  if (answer->clock_ms >= worker->clock_ms && again_n == 0)
    return;
  fb_event_log (FB_EVENT_POOL_WORKER_WENT_BACK,
                "worker=%s clock_ms=%" G_GUINT64_FORMAT " before_ms=%" G_GUINT64_FORMAT
                " ends=%u acknowledged_before=%u acknowledged=%" G_GUINT64_FORMAT " runs=%u",
                worker->id, answer->clock_ms, worker->clock_ms, answer->finished->len, again_n,
                acknowledged, g_hash_table_size (worker->runs));
}
