/* The steps of which something waits, in the order in which they are placed.
 *
 * Tasks that last and were interrupted come first, then what can still earn something; among
 * these priority decides, then the time at which their callers want them.  The order is kept from
 * round to round: new steps are sorted among themselves and merged in, so that a round costs one
 * pass over what waits.  Sorting all of it in each round took a quarter of an owner's processor
 * time once hundreds of steps waited, which made the backlog grow. */
#include "internal/pool-private.h"

#include <string.h>

static gint
compare (const FbPoolStep *x, const FbPoolStep *y)
{
  if (x->urgency != y->urgency)
    return x->urgency < y->urgency ? -1 : 1;
  const FbPoolJob *m = x->job;
  const FbPoolJob *n = y->job;
  uint32_t mp = m->record.policy.priority;
  uint32_t np = n->record.policy.priority;
  if (mp != np)
    return mp < np ? -1 : 1;
  if (m->objective_ms != n->objective_ms)
    return m->objective_ms < n->objective_ms ? -1 : 1;
  return strcmp (m->id, n->id);
}

static gint
compare_places (gconstpointer a, gconstpointer b)
{
  return compare (*(FbPoolStep *const *) a, *(FbPoolStep *const *) b);
}

/* TRUE when a task of STEP waits that has run before, or may have under an earlier owner. */
static gboolean
is_interrupted (const FbPoolStep *step)
{
  gboolean may_have_run = step->job->restored && !step->job->never_started;
  for (uint32_t i = 0; i < step->shape->count; i++)
    {
      const FbPoolTask *task = &step->tasks[i];
      if (fb_pool_task_waits (task) && (may_have_run || task->attempt > 0))
        return TRUE;
    }
  return FALSE;
}

/* Failure: an owner has to ask the advice service anew about each step that it took over, and a
 * task that lasts, whose lease ended meanwhile, waits behind hundreds of urgent ones; it shows as a
 * task that is to last and does not run for 11 s beside idle workers.  Guard: what was interrupted
 * goes first.  Lasting tasks are few and short of nothing else, so it delays the others by some
 * questions only. */
static FbPoolUrgency
urgency_of (const FbPoolStep *step, uint64_t now_ms)
{
  const FbPoolJob *job = step->job;
  if (step->shape->long_running)
    return is_interrupted (step) ? FB_URGENCY_RESTARTING : FB_URGENCY_IN_TIME;
  if (job->record.spec.occurrences == 0 && now_ms > job->worthless_ms)
    return FB_URGENCY_WORTHLESS;
  return FB_URGENCY_IN_TIME;
}

void
fb_pool_queue_add (FbPool *self, FbPoolStep *step)
{
  if (step->queued)
    return;
  step->queued = TRUE;
  g_ptr_array_add (self->fresh, step);
}

/* Moves to FRESH what belongs elsewhere in the order now, and leaves out what waits no more. */
static void
keep_waiting (FbPool *self, uint64_t now_ms)
{
  guint n = 0;
  for (guint i = 0; i < self->waiting->len; i++)
    {
      FbPoolStep *step = self->waiting->pdata[i];
      if (!fb_pool_step_waits (step))
        step->queued = FALSE;
      else if (step->urgency != urgency_of (step, now_ms))
        g_ptr_array_add (self->fresh, step);
      else
        self->waiting->pdata[n++] = step;
    }
  g_ptr_array_set_size (self->waiting, (gint) n);
}

/* Leaves in FRESH what waits, in order. */
static void
sort_fresh (FbPool *self, uint64_t now_ms)
{
  guint n = 0;
  for (guint i = 0; i < self->fresh->len; i++)
    {
      FbPoolStep *step = self->fresh->pdata[i];
      step->urgency = urgency_of (step, now_ms);
      step->queued = fb_pool_step_waits (step);
      if (step->queued)
        self->fresh->pdata[n++] = step;
    }
  g_ptr_array_set_size (self->fresh, (gint) n);
  g_ptr_array_sort (self->fresh, compare_places);
}

static void
merge_fresh (FbPool *self)
{
  guint kept = self->waiting->len;
  guint added = self->fresh->len;
  g_ptr_array_set_size (self->waiting, (gint) (kept + added));
  gpointer *all = self->waiting->pdata;
  gpointer *fresh = self->fresh->pdata;
  while (added > 0)
    {
      gboolean from_kept = kept > 0 && compare (all[kept - 1], fresh[added - 1]) > 0;
      all[kept + added - 1] = from_kept ? all[kept - 1] : fresh[added - 1];
      if (from_kept)
        kept--;
      else
        added--;
    }
  g_ptr_array_set_size (self->fresh, 0);
}

void
fb_pool_queue_sort (FbPool *self, uint64_t now_ms)
{
  keep_waiting (self, now_ms);
  sort_fresh (self, now_ms);
  merge_fresh (self);
}

static void
drop_of (GPtrArray *steps, const FbPoolJob *job)
{
  guint n = 0;
  for (guint i = 0; i < steps->len; i++)
    {
      if (((FbPoolStep *) steps->pdata[i])->job != job)
        steps->pdata[n++] = steps->pdata[i];
    }
  g_ptr_array_set_size (steps, (gint) n);
}

void
fb_pool_queue_forget (FbPool *self, const FbPoolJob *job)
{
  drop_of (self->waiting, job);
  drop_of (self->fresh, job);
}
