/* What starts where, and when to ask for advice.
 *
 * Waiting steps are taken in order: those that can still earn something first,
 * then by priority, then by the time their caller wants them.  Each task goes to
 * the worker that it leaves with the least room (best fit), so that wide rooms
 * stay for large tasks.  A gang is placed as a whole or not at all.
 *
 * may_start() is the one place that answers whether a task may start on a worker
 * now. */
#include "internal/pool-private.h"

#include "fb-event.h"

#include <string.h>

/* Lets a serving step's worker be free of tasks that fill. */
static gboolean
disturbs (const FbPoolWorker *worker, const fb_work_step *shape)
{
  if (!shape->fills && shape->tail_target_ms == 0)
    return FALSE;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const FbPoolRun *run = value;
      if (run->step == NULL)
        continue;
      const fb_work_step *other = run->step->shape;
      if (shape->fills ? other->tail_target_ms > 0 : other->fills)
        return TRUE;
    }
  return FALSE;
}

static guint
runs_of_step (const FbPoolWorker *worker, const FbPoolStep *step)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer run;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &run))
    n += ((FbPoolRun *) run)->step == step;
  return n;
}

/* What cannot change while the worker lives: its size and labels. */
static gboolean
could_ever_run (const FbPoolWorker *worker, const fb_work_step *shape)
{
  return shape->cpu_milli <= worker->cpu_milli && shape->mem_mb <= worker->mem_mb
         && shape->gpu_count <= worker->gpu_count
         && (*shape->required_label == '\0'
             || fb_pool_worker_has_label (worker, shape->required_label));
}

static gboolean
takes_work (const FbPoolWorker *worker, uint64_t now_ms)
{
  if (!worker->listed || worker->draining || worker->gone || fb_pool_worker_silent (worker, now_ms)
      || now_ms < worker->paused_until_ms)
    return FALSE;
  return worker->bad_streak < FB_POOL_BAD_STREAK || g_hash_table_size (worker->runs) == 0;
}

static const FbPoolTicket *
valid_ticket (const FbPoolStep *step, const FbPoolWorker *worker, uint64_t now_ms)
{
  const FbPoolTicket *ticket = g_hash_table_lookup (step->tickets, worker->id);
  return ticket != NULL && now_ms + FB_POOL_TICKET_MARGIN_MS < ticket->valid_until_ms ? ticket
                                                                                      : NULL;
}

/* EXTRA: members of the same gang that are about to start there. */
static gboolean
has_place (const FbPoolWorker *worker, const FbPoolStep *step, guint extra, uint64_t now_ms)
{
  const fb_work_step *shape = step->shape;
  if (!takes_work (worker, now_ms) || !could_ever_run (worker, shape)
      || !fb_pool_worker_fits (worker, shape) || disturbs (worker, shape))
    return FALSE;
  return shape->max_per_worker == 0 || runs_of_step (worker, step) + extra < shape->max_per_worker;
}

static gboolean
may_start (const FbPoolWorker *worker, const FbPoolStep *step, guint extra, uint64_t now_ms)
{
  if (!has_place (worker, step, extra, now_ms))
    return FALSE;
  return !step->job->record.policy.advised || valid_ticket (step, worker, now_ms) != NULL;
}

/* Lower is better: the share of the scarcest resource that stays free. */
static double
cost_of (const FbPoolWorker *worker, const fb_work_step *shape)
{
  double cpu_left = worker->cpu_milli - worker->cpu_used;
  double mem_left = worker->mem_mb - worker->mem_used;
  double cost = cpu_left / MAX (worker->cpu_milli, 1) + 0.5 * mem_left / MAX (worker->mem_mb, 1);
  if (worker->gpu_count > 0)
    cost += (double) (worker->gpu_count - worker->gpu_used) / worker->gpu_count;
  if (*shape->data_rack != '\0' && !fb_pool_worker_has_label (worker, shape->data_rack))
    cost += 10;
  if (worker->bad_streak > 0)
    cost += 2.0 * worker->bad_streak;
  /* Tasks that last or serve are spread, so that one loss takes few of them. */
  return shape->lasting ? -cost : cost;
}

/* RACK: only workers of it; NULL for any. */
static FbPoolWorker *
best_worker (FbPool *self, const FbPoolStep *step, const char *rack, uint64_t now_ms)
{
  FbPoolWorker *best = NULL;
  double best_cost = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolWorker *worker = value;
      if ((rack != NULL && g_strcmp0 (rack, worker->rack) != 0)
          || !may_start (worker, step, 0, now_ms))
        continue;
      double cost = cost_of (worker, step->shape);
      if (best == NULL || cost < best_cost)
        {
          best = worker;
          best_cost = cost;
        }
    }
  return best;
}

static void
start_on (FbPool *self, FbPoolWorker *worker, FbPoolStep *step, uint32_t index, uint32_t attempt,
          uint64_t now_ms)
{
  const FbPoolTicket *ticket = valid_ticket (step, worker, now_ms);
  fb_pool_order_start (self, worker, step, index, attempt, ticket != NULL ? ticket->ticket : NULL,
                       now_ms);
}

/* ---- single tasks ------------------------------------------------------------ */

/* Returns: TRUE when no task waits any more. */
static gboolean
place_tasks (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  for (uint32_t i = step->waiting_from; i < step->shape->count; i++)
    {
      FbPoolTask *task = &step->tasks[i];
      if (task->done || task->run != NULL)
        continue;
      FbPoolWorker *worker = best_worker (self, step, NULL, now_ms);
      if (worker == NULL)
        {
          step->waiting_from = i;
          return FALSE;
        }
      start_on (self, worker, step, i, fb_pool_next_attempt (self, step, i), now_ms);
    }
  step->waiting_from = step->shape->count;
  return TRUE;
}

/* ---- gangs -------------------------------------------------------------------- */

static gboolean
gang_is_idle (const FbPoolStep *step)
{
  for (uint32_t i = 0; i < step->shape->count; i++)
    {
      if (step->tasks[i].run != NULL)
        return FALSE;
    }
  return TRUE;
}

/* Finds a worker for each member by charging them one after the other; the
 * charges are taken back.  Returns: FALSE when not all have a place. */
static gboolean
choose_gang (FbPool *self, FbPoolStep *step, const char *rack, FbPoolWorker **chosen,
             uint64_t now_ms)
{
  uint32_t n = 0;
  FbPoolRun **runs = g_new0 (FbPoolRun *, step->shape->count);
  for (; n < step->shape->count; n++)
    {
      chosen[n] = best_worker (self, step, rack, now_ms);
      if (chosen[n] == NULL)
        break;
      g_autofree char *name = fb_pool_task_name (step, n);
      runs[n] = fb_pool_worker_add_run (chosen[n], step, n, name, 0);
    }
  gboolean all = n == step->shape->count;
  while (n-- > 0)
    fb_pool_worker_drop_run (chosen[n], runs[n]);
  g_free (runs);
  return all;
}

static gboolean
choose_one_rack (FbPool *self, FbPoolStep *step, FbPoolWorker **chosen, uint64_t now_ms)
{
  g_autoptr (GHashTable) tried = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const char *rack = ((FbPoolWorker *) value)->rack;
      if (rack != NULL && g_hash_table_add (tried, (gpointer) rack)
          && choose_gang (self, step, rack, chosen, now_ms))
        return TRUE;
    }
  return FALSE;
}

static const char *
gang_checkpoint (const FbPoolStep *step)
{
  const char *newest = NULL;
  for (uint32_t i = 0; i < step->shape->count; i++)
    {
      if (step->tasks[i].checkpoint != NULL)
        newest = step->tasks[i].checkpoint;
    }
  return newest;
}

static gboolean
place_gang (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  if (!gang_is_idle (step))
    return FALSE;
  step->gang_broken = FALSE;
  g_autofree FbPoolWorker **chosen = g_new0 (FbPoolWorker *, step->shape->count);
  gboolean found = step->shape->rack_local && choose_one_rack (self, step, chosen, now_ms);
  if (!found && !choose_gang (self, step, NULL, chosen, now_ms))
    return FALSE;
  uint32_t attempt = step->gang_attempt + 1;
  for (uint32_t i = 0; i < step->shape->count; i++)
    attempt = MAX (attempt, fb_pool_next_attempt (self, step, i));
  step->gang_attempt = attempt;
  /* All members carry the same checkpoint. */
  g_autofree char *checkpoint = g_strdup (gang_checkpoint (step));
  for (uint32_t i = 0; i < step->shape->count; i++)
    {
      fb_pool_task_save (step, i, checkpoint);
      start_on (self, chosen[i], step, i, attempt, now_ms);
    }
  return TRUE;
}

/* ---- advice ------------------------------------------------------------------- */

/* Workers to ask about: first all that could run the step and were never named,
 * then allowed ones whose ticket has run out and that have a place now. */
static GPtrArray *
to_ask (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  GPtrArray *ids = g_ptr_array_new ();
  gboolean any_valid = FALSE;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolWorker *worker = value;
      if (takes_work (worker, now_ms) && could_ever_run (worker, step->shape)
          && !g_hash_table_contains (step->asked, worker->id) && ids->len < FB_POOL_ADVICE_MAX)
        g_ptr_array_add (ids, worker->id);
      any_valid = any_valid || may_start (worker, step, 0, now_ms);
    }
  if (ids->len > 0 || any_valid || !step->released)
    return ids;
  g_hash_table_iter_init (&iter, self->workers);
  while (g_hash_table_iter_next (&iter, NULL, &value) && ids->len < FB_POOL_RENEW_MAX)
    {
      FbPoolWorker *worker = value;
      if (g_hash_table_contains (step->tickets, worker->id)
          && valid_ticket (step, worker, now_ms) == NULL && has_place (worker, step, 0, now_ms))
        g_ptr_array_add (ids, worker->id);
    }
  return ids;
}

/* Returns: FALSE when no daemon can take a question now. */
static gboolean
ask_advice (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  if (!step->job->record.policy.advised)
    return TRUE;
  if (step->advice_sent_ms != 0 && now_ms < step->advice_sent_ms + FB_POOL_ADVICE_PATIENCE_MS)
    return TRUE;
  g_autoptr (GPtrArray) ids = to_ask (self, step, now_ms);
  if (ids->len == 0)
    return TRUE;
  g_autofree char *name = fb_pool_step_name (step);
  const fb_work_policy *policy = &step->job->record.policy;
  uint32_t expected_ms
      = (policy->advice_decision_us + ids->len * policy->advice_per_worker_us) / 1000;
  if (!self->sink->advise (self->user, name, (const char *const *) ids->pdata, ids->len,
                           expected_ms))
    return FALSE;
  step->advice_sent_ms = now_ms;
  return TRUE;
}

void
fb_pool_advised (FbPool *self, const char *name, const char *const *asked, guint n,
                 const fb_told_advice *told, uint64_t now_ms)
{
  FbPoolStep *step = fb_pool_find_step (self, name);
  if (step == NULL)
    return;
  self->place_due = TRUE;
  step->advice_sent_ms = 0;
  if (told == NULL)
    return;
  for (guint i = 0; i < n; i++)
    g_hash_table_add (step->asked, g_strdup (asked[i]));
  for (u_int i = 0; i < told->tickets.tickets_len; i++)
    {
      const fb_ticket *got = &told->tickets.tickets_val[i];
      FbPoolTicket *ticket = g_new0 (FbPoolTicket, 1);
      ticket->ticket = g_strdup (got->ticket);
      ticket->valid_until_ms = now_ms + told->validity_ms;
      g_hash_table_replace (step->tickets, g_strdup (got->worker), ticket);
    }
  fb_event_log (FB_EVENT_ADVISED, "step=%s asked=%u allowed=%u validity_ms=%u", name, n,
                told->tickets.tickets_len, told->validity_ms);
}

/* TRUE when the steps before STEP are about to end: nothing of them waits, and what
 * runs has been running for most of its estimate.  Asking then takes the decision
 * out of the caller's wait: 30 ms of a short job's 250 ms, half a second of others. */
static gboolean
is_next (const FbPoolOccurrence *occurrence, const FbPoolStep *step, uint64_t now_ms)
{
  if (step->released || step->shape->after.after_len == 0)
    return FALSE;
  for (u_int i = 0; i < step->shape->after.after_len; i++)
    {
      const FbPoolStep *before = &occurrence->steps[step->shape->after.after_val[i]];
      for (uint32_t j = 0; j < before->shape->count; j++)
        {
          const FbPoolTask *task = &before->tasks[j];
          if (task->done)
            continue;
          if (task->run == NULL
              || now_ms + FB_POOL_ASK_AHEAD_MS < task->run->started_ms + before->shape->estimate_ms)
            return FALSE;
        }
    }
  return TRUE;
}

static void
ask_ahead (FbPool *self, FbPoolJob *job, uint64_t now_ms)
{
  for (guint i = 0; job->record.policy.advised && i < job->occurrences->len; i++)
    {
      FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
      for (guint j = 0; !occurrence->finished && j < job->record.spec.steps.steps_len; j++)
        {
          FbPoolStep *step = &occurrence->steps[j];
          if (g_hash_table_size (step->asked) == 0 && is_next (occurrence, step, now_ms))
            ask_advice (self, step, now_ms);
        }
    }
}

/* ---- the round ------------------------------------------------------------------ */

typedef struct
{
  FbPoolStep *step;
  gboolean hopeless;
} Waiting;

static gint
compare_waiting (gconstpointer a, gconstpointer b)
{
  const Waiting *x = a;
  const Waiting *y = b;
  if (x->hopeless != y->hopeless)
    return x->hopeless ? 1 : -1;
  const FbPoolJob *m = x->step->job;
  const FbPoolJob *n = y->step->job;
  uint32_t mp = m->record.policy.priority;
  uint32_t np = n->record.policy.priority;
  if (mp != np)
    return mp < np ? -1 : 1;
  if (m->objective_ms != n->objective_ms)
    return m->objective_ms < n->objective_ms ? -1 : 1;
  return strcmp (m->id, n->id);
}

static void
collect_waiting (FbPoolJob *job, GArray *waiting, uint64_t now_ms)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
      for (guint j = 0; !occurrence->finished && j < job->record.spec.steps.steps_len; j++)
        {
          Waiting entry = { &occurrence->steps[j], job->record.spec.occurrences == 0
                                                       && now_ms > job->hopeless_ms
                                                       && !occurrence->steps[j].shape->lasting };
          if (fb_pool_step_waits (entry.step))
            g_array_append_val (waiting, entry);
        }
    }
}

void
fb_pool_place (FbPool *self, uint64_t now_ms)
{
  g_autoptr (GArray) waiting = g_array_new (FALSE, FALSE, sizeof (Waiting));
  GHashTableIter iter;
  gpointer job;
  g_hash_table_iter_init (&iter, self->active);
  while (g_hash_table_iter_next (&iter, &job, NULL))
    collect_waiting (job, waiting, now_ms);
  g_array_sort (waiting, compare_waiting);
  gboolean can_ask = TRUE;
  for (guint i = 0; i < waiting->len && !self->fenced; i++)
    {
      FbPoolStep *step = g_array_index (waiting, Waiting, i).step;
      gboolean placed
          = step->shape->gang ? place_gang (self, step, now_ms) : place_tasks (self, step, now_ms);
      if (!placed)
        can_ask &= ask_advice (self, step, now_ms);
    }
  g_hash_table_iter_init (&iter, self->active);
  while (can_ask && g_hash_table_iter_next (&iter, &job, NULL))
    ask_ahead (self, job, now_ms);
}
