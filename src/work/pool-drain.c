/* Record of the steps that may still run on draining workers, for the next owner.
 *
 * A worker may drain and leave at about the time its pool changes owners. Its host does not answer,
 * and the new owner, which has the worker from the record or an outdated list, would wait 6 s for
 * its lease and meanwhile start nothing that the worker had capacity for. During a rolling
 * replacement of workers every change of owner is affected, and callers with a timeout of a few
 * seconds get no result in time. Nothing new is started on a draining worker, so only the runs that
 * its owner tracks there when it begins to drain can run there from then on. Their steps are
 * stored, and the next owner holds back only these steps. */
#include "internal/pool-silence.h"

#include <string.h>

static GHashTable *
set_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

char *
fb_pool_step_of_task (const char *task)
{
  const char *dot = strrchr (task, '.');
  return dot != NULL ? g_strndup (task, (gsize) (dot - task)) : g_strdup (task);
}

/* Returns: (transfer full) (nullable): names of the steps that may run on WORKER; NULL: unknown. */
static GHashTable *
steps_on (const FbPoolWorker *worker)
{
  if (!worker->draining)
    return NULL;
  if (!worker->answered)
    return worker->known_steps != NULL ? g_hash_table_ref (worker->known_steps) : NULL;
  if (fb_pool_worker_has_unsettled_end (worker))
    return NULL;
  GHashTable *steps = set_new ();
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_hash_table_add (steps, fb_pool_step_of_task (name));
  return steps;
}

void
fb_pool_drain_record (const FbPoolWorker *worker, GHashTable *known_steps,
                      fb_work_known_worker *known)
{
  g_autoptr (GHashTable) steps
      = known_steps != NULL ? g_hash_table_ref (known_steps) : steps_on (worker);
  if (steps == NULL || g_hash_table_size (steps) > FB_WORK_MAX_RUNS)
    return;
  known->steps_known = TRUE;
  known->steps.steps_val = g_new0 (fb_step_name, g_hash_table_size (steps) + 1);
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, steps);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    known->steps.steps_val[known->steps.steps_len++].name = g_strdup (name);
}

void
fb_pool_drain_record_clear (fb_work_known_worker *known)
{
  for (u_int i = 0; i < known->steps.steps_len; i++)
    g_free (known->steps.steps_val[i].name);
  g_clear_pointer (&known->steps.steps_val, g_free);
  known->steps.steps_len = 0;
}

void
fb_pool_drain_restore (FbPool *self, const fb_work_known_worker *known)
{
  /* Workers that are closed are written like draining ones, see pool-record.c. */
  if (!known->steps_known || fb_pool_silence_has_runs (self, known->id))
    return;
  GHashTable *steps = set_new ();
  for (u_int i = 0; i < known->steps.steps_len; i++)
    g_hash_table_add (steps, g_strdup (known->steps.steps_val[i].name));
  g_hash_table_replace (self->drain_steps, g_strdup (known->id), steps);
}

void
fb_pool_drain_apply (FbPool *self, FbPoolWorker *worker)
{
  GHashTable *steps = g_hash_table_lookup (self->drain_steps, worker->id);
  if (steps == NULL || worker->known_steps != NULL)
    return;
  worker->known_steps = g_hash_table_ref (steps);
  worker->draining = TRUE; /* an outdated list may not show it yet */
}

gboolean
fb_pool_drain_may_run (const FbPoolWorker *worker, const FbPoolStep *step)
{
  if (worker->known_steps == NULL)
    return TRUE;
  g_autofree char *name = fb_pool_step_name (step);
  return g_hash_table_contains (worker->known_steps, name);
}

gboolean
fb_pool_drain_is_empty (const FbPoolWorker *worker)
{
  return worker->known_steps != NULL && g_hash_table_size (worker->known_steps) == 0;
}
