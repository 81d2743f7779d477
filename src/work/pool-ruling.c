/* Answers of the advice service about the workers of a step.
 *
 * Which workers a step may use never changes during the life of a worker process; only the tickets
 * expire.  The answers are stored in an array indexed by worker slot, because a round reads them
 * for each pair of worker and pending step. */
#include "internal/pool-private.h"

#include <string.h>

static FbPoolRuling *
advice_slot (FbPoolStep *step, const FbPoolWorker *worker)
{
  if (worker->slot >= step->rulings_n)
    {
      guint n = worker->slot + 1;
      step->rulings = g_renew (FbPoolRuling, step->rulings, n);
      memset (step->rulings + step->rulings_n, 0, (n - step->rulings_n) * sizeof (FbPoolRuling));
      step->rulings_n = n;
    }
  FbPoolRuling *ruling = &step->rulings[worker->slot];
  if (ruling->life != worker->life)
    {
      g_free (ruling->ticket);
      *ruling = (FbPoolRuling){ .life = worker->life };
    }
  return ruling;
}

const FbPoolRuling *
fb_pool_ruling (const FbPoolStep *step, const FbPoolWorker *worker)
{
  if (worker->slot >= step->rulings_n)
    return NULL;
  const FbPoolRuling *ruling = &step->rulings[worker->slot];
  return ruling->life == worker->life ? ruling : NULL;
}

void
fb_pool_ruling_note (FbPoolStep *step, const FbPoolWorker *worker)
{
  (void) advice_slot (step, worker);
  step->ruled = TRUE;
}

void
fb_pool_ruling_allow (FbPoolStep *step, const FbPoolWorker *worker, const char *ticket,
                      uint64_t valid_until_ms)
{
  FbPoolRuling *ruling = advice_slot (step, worker);
  step->ruled = TRUE;
  ruling->allowed = TRUE;
  g_free (ruling->ticket);
  ruling->ticket = g_strdup (ticket);
  ruling->valid_until_ms = valid_until_ms;
}

void
fb_pool_ruling_expire (FbPoolStep *step, const FbPoolWorker *worker)
{
  if (fb_pool_ruling (step, worker) != NULL)
    step->rulings[worker->slot].valid_until_ms = 0;
}

void
fb_pool_rulings_clear (FbPoolStep *step)
{
  for (guint i = 0; i < step->rulings_n; i++)
    g_free (step->rulings[i].ticket);
  g_clear_pointer (&step->rulings, g_free);
  step->rulings_n = 0;
}
