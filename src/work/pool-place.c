/* The round in which waiting tasks are started.
 *
 * Waiting steps are taken in order: those that can still earn something first, then by
 * priority, then by the time their caller wants them.  A gang is placed as a whole or
 * not at all. */
#include "internal/pool-private.h"

#include <string.h>

/* ---- single tasks ------------------------------------------------------------ */

/* Returns: TRUE when no task waits any more. */
static gboolean
place_tasks (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  for (uint32_t i = step->waiting_from; i < step->shape->count; i++)
    {
      if (!fb_pool_task_waits (&step->tasks[i]))
        continue;
      FbPoolWorker *worker = fb_pool_best_worker (self, step, NULL, NULL, FB_TICKET_VALID, now_ms);
      if (worker == NULL)
        {
          step->waiting_from = i;
          return FALSE;
        }
      fb_pool_order_start (self, worker, step, i, fb_pool_next_attempt (self, step, i), now_ms);
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
  if (!fb_pool_choose_gang (self, step, FB_TICKET_VALID, chosen, now_ms))
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
      fb_pool_order_start (self, chosen[i], step, i, attempt, now_ms);
    }
  return TRUE;
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
      if (step->advice_sent_ms != 0 && now_ms < step->held_until_ms)
        continue; /* its room is held until the advice comes */
      if (fb_pool_may_run_unheard (self, step))
        {
          can_ask &= fb_pool_ask_first_advice (self, step, now_ms);
          continue;
        }
      uint64_t held_until_ms = step->held_until_ms;
      g_autoptr (GPtrArray) held_on = fb_pool_release_hold (self, step);
      gboolean placed
          = step->shape->gang ? place_gang (self, step, now_ms) : place_tasks (self, step, now_ms);
      if (!placed && now_ms < held_until_ms)
        fb_pool_hold_again (self, step, held_on, fb_pool_step_waiting_n (step), held_until_ms);
      else if (!placed)
        can_ask &= fb_pool_ask_advice (self, step, now_ms);
    }
  g_hash_table_iter_init (&iter, self->active);
  while (can_ask && g_hash_table_iter_next (&iter, &job, NULL))
    fb_pool_ask_ahead (self, job, now_ms);
}
