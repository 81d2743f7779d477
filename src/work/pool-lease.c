/* What bounds the leases that a worker can hold. */
#include "internal/pool-silence.h"

/* Maximum by which a worker's clock may run slow, in 1/1000. */
#define CLOCK_SLOW_PERMILLE 20
/* Safety margin added to a lease that must certainly have ended. */
#define LEASE_EXPIRY_SLACK_MS 100

uint64_t
fb_pool_worker_clock_min (const FbPoolWorker *worker, uint64_t now_ms)
{
  uint64_t passed_ms = now_ms > worker->last_answer_ms ? now_ms - worker->last_answer_ms : 0;
  return worker->clock_ms + passed_ms * (1000 - CLOCK_SLOW_PERMILLE) / 1000;
}

/* Returns: the longest real time that LEASE_MS can take on a worker's clock. */
static uint64_t
max_duration_ms (uint64_t lease_ms)
{
  return lease_ms * 1000 / (1000 - CLOCK_SLOW_PERMILLE) + LEASE_EXPIRY_SLACK_MS;
}

uint64_t
fb_pool_earlier_leases_end_ms (const FbPool *self)
{
  return self->majority_ms != 0
             ? self->majority_ms + FB_POOL_STEP_DOWN_MS + max_duration_ms (FB_POOL_LEASE_MS)
             : G_MAXUINT64;
}

/* Returns: when every lease of a worker that never answered has certainly ended; G_MAXUINT64: this
 * is not known yet. It may hold a lease of the previous owner, which learned of its replacement
 * from one of the majority that answered here and extends no lease later than FB_POOL_STEP_DOWN_MS
 * after that, as nothing confirms its ownership any more; if that owner had stopped extending
 * leases there, its record tells when the last one ends. Calls meant for an earlier incarnation may
 * have reached the worker as well. */
static uint64_t
unanswered_lease_end_ms (const FbPool *self, const FbPoolWorker *worker)
{
  if (self->majority_ms == 0)
    return G_MAXUINT64;
  uint64_t end_ms
      = MIN (fb_pool_silence_lease_end_ms (self, worker), fb_pool_earlier_leases_end_ms (self));
  if (worker->misdirected_calls_since_ms != 0)
    end_ms
        = MAX (end_ms, worker->misdirected_calls_since_ms
                           + max_duration_ms (self->limits.max_lease_ms + FB_POOL_DELAYED_CALL_MS));
  return end_ms;
}

const char *
fb_pool_worker_lease_bound (const FbPool *self, const FbPoolWorker *worker)
{
  if (worker->answered)
    return "deadlines sent";
  uint64_t end_ms = unanswered_lease_end_ms (self, worker);
  if (end_ms == fb_pool_silence_lease_end_ms (self, worker))
    return "previous owner's record";
  return end_ms > fb_pool_earlier_leases_end_ms (self) ? "misdirected call" : "majority";
}

uint64_t
fb_pool_worker_lease_remaining_ms (const FbPool *self, const FbPoolWorker *worker, uint64_t now_ms)
{
  if (worker->runs_ended)
    return 0;
  if (worker->answered)
    {
      uint64_t clock_ms = fb_pool_worker_clock_min (worker, now_ms);
      return max_duration_ms (worker->lease_ms > clock_ms ? worker->lease_ms - clock_ms : 0);
    }
  uint64_t end_ms = unanswered_lease_end_ms (self, worker);
  if (end_ms == G_MAXUINT64)
    return G_MAXUINT64;
  return end_ms > now_ms ? end_ms - now_ms : 0;
}

gboolean
fb_pool_worker_lease_expired (const FbPool *self, const FbPoolWorker *worker, uint64_t now_ms)
{
  if (worker->runs_ended)
    return TRUE;
  if (!worker->answered)
    return now_ms > unanswered_lease_end_ms (self, worker);
  return fb_pool_worker_silent (worker, now_ms)
         && fb_pool_worker_clock_min (worker, now_ms) > worker->lease_ms + LEASE_EXPIRY_SLACK_MS;
}
