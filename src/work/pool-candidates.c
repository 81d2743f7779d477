/* The workers that can take a task of a step now, in a heap by their placement cost.
 *
 * All tasks of a step need the same, so they are placed with one search over the workers: a start
 * changes the cost only of the worker that takes it.  With a search for each task, an owner of
 * 4,320 workers spent 80 ms on a step of 300 tasks in one iteration of its main loop.
 *
 * A task for which other conditions count than for the step gets a search of its own.  The result
 * is always the same as that of fb_pool_best_worker(). */
#include "internal/pool-crash.h"

typedef struct
{
  FbPoolWorker *worker;
  double cost;
} Candidate;

struct _FbPoolCandidates
{
  FbPool *pool;
  FbPoolStep *step;
  const char *rack; /* NULL: any */
  FbPoolTicketRule rule;
  FbSlownessRule slowness;
  uint64_t now_ms;
  GArray *heap; /* of Candidate, the one of lowest cost first */
  /* The worker of a task with a search of its own costs less now, but is not first in the heap. */
  gboolean is_outdated;
  /* A worker is kept free for one task, so each task needs a search of its own. */
  gboolean has_exclusive;
};

static gboolean
is_better (const Candidate *a, const Candidate *b)
{
  return a->cost < b->cost || (a->cost == b->cost && a->worker->id_hash < b->worker->id_hash);
}

static Candidate *
at (const FbPoolCandidates *self, guint i)
{
  return &g_array_index (self->heap, Candidate, i);
}

static void
swap (FbPoolCandidates *self, guint i, guint j)
{
  Candidate candidate = *at (self, i);
  *at (self, i) = *at (self, j);
  *at (self, j) = candidate;
}

static void
sift_down (FbPoolCandidates *self, guint i)
{
  for (guint child = 2 * i + 1; child < self->heap->len; i = child, child = 2 * i + 1)
    {
      if (child + 1 < self->heap->len && is_better (at (self, child + 1), at (self, child)))
        child++;
      if (!is_better (at (self, child), at (self, i)))
        return;
      swap (self, i, child);
    }
}

static void
push (FbPoolCandidates *self, const Candidate *candidate)
{
  g_array_append_val (self->heap, *candidate);
  for (guint i = self->heap->len - 1; i > 0 && is_better (at (self, i), at (self, (i - 1) / 2));
       i = (i - 1) / 2)
    swap (self, i, (i - 1) / 2);
}

static void
remove_first (FbPoolCandidates *self)
{
  g_array_remove_index_fast (self->heap, 0);
  sift_down (self, 0);
}

static gboolean
is_eligible (const FbPoolCandidates *self, const FbPoolWorker *worker)
{
  return worker->isolated_runs_n == 0
         && fb_pool_can_start_now (worker, self->step, self->rule, self->now_ms);
}

static double
cost_of (const FbPoolCandidates *self, const FbPoolWorker *worker)
{
  return fb_pool_placement_cost (worker, self->step, &self->slowness);
}

static void
search (FbPoolCandidates *self)
{
  guint slot = 0;
  FbPoolWorker *worker = NULL;
  g_array_set_size (self->heap, 0);
  self->is_outdated = FALSE;
  self->pool->visits_n += self->pool->worker_slots->len;
  while ((worker = fb_pool_worker_slots_next (self->pool, &slot)) != NULL)
    {
      if ((self->rack != NULL && g_strcmp0 (self->rack, worker->rack) != 0)
          || !is_eligible (self, worker))
        continue;
      const Candidate candidate = { worker, cost_of (self, worker) };
      g_array_append_val (self->heap, candidate);
      self->has_exclusive = self->has_exclusive || worker->exclusive_for != NULL;
    }
  for (guint i = self->heap->len / 2; i > 0; i--)
    sift_down (self, i - 1);
}

FbPoolCandidates *
fb_pool_candidates_new (FbPool *pool, FbPoolStep *step, const char *rack, FbPoolTicketRule rule,
                        uint64_t now_ms)
{
  FbPoolCandidates *self = g_new0 (FbPoolCandidates, 1);
  self->pool = pool;
  self->step = step;
  self->rack = rack;
  self->rule = rule;
  self->slowness = fb_pool_slowness_rule (pool, step, now_ms);
  self->now_ms = now_ms;
  self->heap = g_array_new (FALSE, FALSE, sizeof (Candidate));
  search (self);
  return self;
}

void
fb_pool_candidates_free (FbPoolCandidates *self)
{
  if (self == NULL)
    return;
  g_array_unref (self->heap);
  g_free (self);
}

gboolean
fb_pool_candidates_suit (const FbPoolCandidates *self, uint32_t index)
{
  return !self->has_exclusive && !fb_pool_task_is_suspect (&self->step->tasks[index]);
}

/* Updates the first candidate after it has taken a task.  Returns: TRUE when it is up to date. */
static gboolean
update_first (FbPoolCandidates *self)
{
  Candidate *first = at (self, 0);
  if (!is_eligible (self, first->worker))
    {
      remove_first (self);
      return FALSE;
    }
  double cost = cost_of (self, first->worker);
  if (cost == first->cost)
    return TRUE;
  first->cost = cost;
  sift_down (self, 0);
  return FALSE;
}

/* Returns: (nullable): the first candidate that may take task INDEX. */
static FbPoolWorker *
find_first (FbPoolCandidates *self, uint32_t index)
{
  g_autoptr (GArray) skipped = g_array_new (FALSE, FALSE, sizeof (Candidate));
  FbPoolWorker *best = NULL;
  while (best == NULL && self->heap->len > 0)
    {
      self->pool->visits_n++;
      if (!update_first (self))
        continue;
      const Candidate first = *at (self, 0);
      if (!fb_pool_worker_has_other_run (first.worker, self->step, index))
        best = first.worker;
      else
        {
          g_array_append_val (skipped, first);
          remove_first (self);
        }
    }
  for (guint i = 0; i < skipped->len; i++)
    push (self, &g_array_index (skipped, Candidate, i));
  return best;
}

FbPoolWorker *
fb_pool_candidates_best (FbPoolCandidates *self, uint32_t index)
{
  if (self->is_outdated && fb_pool_candidates_suit (self, index))
    search (self);
  if (fb_pool_candidates_suit (self, index))
    return find_first (self, index);
  self->is_outdated = TRUE;
  return fb_pool_best_worker (self->pool, self->step, index, self->rack, NULL, self->rule,
                              self->now_ms);
}
