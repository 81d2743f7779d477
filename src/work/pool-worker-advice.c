/* Answers of the advice service about the workers of a step.
 *
 * Which workers a step may use never changes during the life of a worker process; only the tickets
 * expire. The answers are stored in an array indexed by worker slot, because a round reads them for
 * each pair of worker and pending step. */
#include "internal/pool-private.h"

#include <string.h>

static FbPoolWorkerAdvice *
advice_slot (FbPoolStep *step, const FbPoolWorker *worker)
{
  if (worker->slot >= step->worker_advice_n)
    {
      guint n = worker->slot + 1;
      step->worker_advice = g_renew (FbPoolWorkerAdvice, step->worker_advice, n);
      memset (step->worker_advice + step->worker_advice_n, 0,
              (n - step->worker_advice_n) * sizeof (FbPoolWorkerAdvice));
      step->worker_advice_n = n;
    }
  FbPoolWorkerAdvice *advice = &step->worker_advice[worker->slot];
  if (advice->incarnation != worker->incarnation)
    {
      g_free (advice->ticket);
      *advice = (FbPoolWorkerAdvice){ .incarnation = worker->incarnation };
    }
  return advice;
}

const FbPoolWorkerAdvice *
fb_pool_worker_advice (const FbPoolStep *step, const FbPoolWorker *worker)
{
  if (worker->slot >= step->worker_advice_n)
    return NULL;
  const FbPoolWorkerAdvice *advice = &step->worker_advice[worker->slot];
  return advice->incarnation == worker->incarnation ? advice : NULL;
}

void
fb_pool_worker_advice_requested (FbPoolStep *step, const FbPoolWorker *worker)
{
  (void) advice_slot (step, worker);
  step->has_advice = TRUE;
}

void
fb_pool_worker_advice_allow (FbPoolStep *step, const FbPoolWorker *worker, const char *ticket,
                             uint64_t valid_until_ms)
{
  FbPoolWorkerAdvice *advice = advice_slot (step, worker);
  step->has_advice = TRUE;
  advice->allowed = TRUE;
  g_free (advice->ticket);
  advice->ticket = g_strdup (ticket);
  advice->valid_until_ms = valid_until_ms;
}

void
fb_pool_worker_advice_expire_ticket (FbPoolStep *step, const FbPoolWorker *worker)
{
  if (fb_pool_worker_advice (step, worker) != NULL)
    step->worker_advice[worker->slot].valid_until_ms = 0;
}

void
fb_pool_worker_advice_clear (FbPoolStep *step)
{
  for (guint i = 0; i < step->worker_advice_n; i++)
    g_free (step->worker_advice[i].ticket);
  g_clear_pointer (&step->worker_advice, g_free);
  step->worker_advice_n = 0;
}
