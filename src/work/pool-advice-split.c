/* Decides into how many parallel requests the first request of a gang is split.
 *
 * The load: gangs of five members with a target of 1 s, on 98 suitable workers, and an advice
 * service that needs 715 ms for a decision and 10 ms for each worker.  One request for all of them
 * takes 1.72 s; three of 33 workers each take 1.05 s, and 1.43 s more of the service's time. */
#include "internal/pool-advice-requests.h"

/* The answer for this many workers is worth waiting for: three of ten workers are allowed, nine of
 * thirty. */
#define WORKERS_PER_PART 30
/* More parts would save less than the time that one more answer takes on the network. */
#define MAX_PARTS 4
/* A split that shortens the answer by less is not made.  It is a fifth of the shortest target of a
 * gang, 1 s. */
#define MIN_GAIN_US 200000
/* Parts use at most one of IDLE_DIVISOR idle daemons, so that a gang's additional requests do not
 * delay the first requests of other steps. */
#define IDLE_DIVISOR 4

static uint64_t
duration_us (const fb_work_policy *policy, guint workers_n)
{
  return policy->advice_decision_us + (uint64_t) workers_n * policy->advice_per_worker_us;
}

/* Each part beyond the first costs one more decision.  The parts together take at most twice the
 * time of the single request, because the service handles one call at a time for each daemon. */
guint
fb_pool_advice_parts_n (const fb_work_policy *policy, guint workers_n, guint idle_n)
{
  if (workers_n <= WORKERS_PER_PART
      || duration_us (policy, workers_n) < duration_us (policy, WORKERS_PER_PART) + MIN_GAIN_US)
    return 1;
  guint parts_n = MIN ((workers_n + WORKERS_PER_PART - 1) / WORKERS_PER_PART, MAX_PARTS);
  while (parts_n > 1
         && (uint64_t) (parts_n - 1) * policy->advice_decision_us > duration_us (policy, workers_n))
    parts_n--;
  return CLAMP (idle_n / IDLE_DIVISOR, 1, parts_n);
}
