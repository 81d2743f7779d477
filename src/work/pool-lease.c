/* What bounds the leases that a worker can hold.
 *
 * A deadline is a time of the clock of one incarnation. A call that was meant for the incarnation
 * before is received by the next one under the same id, whose clock may be far behind that
 * deadline, and then extends the lease to the longest that the worker grants. No answer tells of
 * it.
 *
 * Whoever learns of an incarnation, by the platform's list, an answer or a record, sends no more
 * calls to the one before, and those under way arrive within FB_POOL_DELAYED_CALL_MS. So an entry
 * that is made for an incarnation claims the longest lease from then on, whatever an earlier entry
 * for it claimed: an entry may be removed and made again while the lease goes on. */
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

/* Returns: when a lease has certainly ended that a call extended no later than FROM_MS. */
static uint64_t
longest_lease_end_ms (const FbPool *self, uint64_t from_ms)
{
  return from_ms + max_duration_ms (self->limits.max_lease_ms);
}

/* Returns: when the last call of an earlier owner has certainly arrived; G_MAXUINT64: this is not
 * known yet. */
static uint64_t
earlier_calls_end_ms (const FbPool *self)
{
  return self->majority_ms != 0 ? self->majority_ms + FB_POOL_STEP_DOWN_MS + FB_POOL_DELAYED_CALL_MS
                                : G_MAXUINT64;
}

uint64_t
fb_pool_lease_latest_end_ms (const FbPool *self)
{
  return longest_lease_end_ms (self, self->created_ms + FB_POOL_UNLISTED_COUNTED_MS
                                         + FB_POOL_STEP_DOWN_MS + FB_POOL_DELAYED_CALL_MS);
}

uint64_t
fb_pool_lease_earlier_end_ms (const FbPool *self, gboolean may_restart)
{
  if (self->majority_ms == 0)
    return G_MAXUINT64;
  uint64_t end_ms = self->majority_ms + FB_POOL_STEP_DOWN_MS + max_duration_ms (FB_POOL_LEASE_MS);
  return may_restart ? MAX (end_ms, longest_lease_end_ms (self, earlier_calls_end_ms (self)))
                     : end_ms;
}

void
fb_pool_lease_expect_misdirected (const FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  uint64_t end_ms = longest_lease_end_ms (self, now_ms + FB_POOL_DELAYED_CALL_MS);
  worker->misdirected_end_ms = MAX (worker->misdirected_end_ms, end_ms);
  /* Otherwise the first answer adds it. */
  if (worker->answered)
    worker->lease_ms
        = MAX (worker->lease_ms, worker->clock_ms + now_ms - worker->answered_poll_sent_ms
                                     + FB_POOL_DELAYED_CALL_MS + self->limits.max_lease_ms);
}

gboolean
fb_pool_lease_may_be_misdirected (const FbPoolWorker *worker, uint64_t now_ms)
{
  return worker->may_restart && now_ms <= worker->misdirected_end_ms;
}

uint64_t
fb_pool_lease_first_answer (const FbPool *self, FbPoolWorker *worker, uint64_t now_ms)
{
  /* Until this answer an earlier owner may have sent calls to an earlier incarnation. */
  const uint64_t earlier_ms = MIN (now_ms, earlier_calls_end_ms (self));
  /* The worker's clock was read later than that. */
  const uint64_t asked_ms = MAX (worker->poll_sent_ms, self->created_ms);
  if (!worker->may_restart)
    return FB_POOL_LEASE_MS;
  if (worker->misdirected_end_ms != 0)
    worker->misdirected_end_ms
        = MAX (worker->misdirected_end_ms, longest_lease_end_ms (self, earlier_ms));
  if (worker->lease_recorded)
    worker->misdirected_end_ms
        = MAX (worker->misdirected_end_ms, fb_pool_silence_lease_end_ms (self, worker));
  return MAX (worker->misdirected_end_ms, asked_ms + FB_POOL_LEASE_MS) - asked_ms;
}

/* Returns: when every lease of a worker that never answered has certainly ended; G_MAXUINT64: this
 * is not known yet. It may hold a lease of the previous owner, which learned of its replacement
 * from one of the majority that answered here and extends no lease later than FB_POOL_STEP_DOWN_MS
 * after that, as nothing confirms its ownership any more. If the worker restarted meanwhile, unseen
 * by both owners, a call of the previous one may have given it the longest lease. If that owner had
 * stopped extending leases there, its record tells when the last one ends. */
static uint64_t
unanswered_lease_end_ms (const FbPool *self, const FbPoolWorker *worker)
{
  uint64_t end_ms = fb_pool_lease_earlier_end_ms (self, worker->may_restart);
  if (end_ms == G_MAXUINT64)
    return end_ms;
  end_ms = MIN (end_ms, fb_pool_silence_lease_end_ms (self, worker));
  return worker->may_restart ? MAX (end_ms, worker->misdirected_end_ms) : end_ms;
}

gboolean
fb_pool_lease_is_bounded (const FbPool *self, const FbPoolWorker *worker)
{
  return worker->answered || worker->runs_ended || self->majority_ms != 0;
}

uint64_t
fb_pool_lease_end_of_start_ms (const FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run)
{
  if (!worker->may_restart || !fb_pool_restart_may_deliver (self, run))
    return 0;
  /* A later call with a deadline extends the lease of whatever runs there. */
  uint64_t sent_ms = MAX (run->started_ms, worker->deadline_sent_ms);
  return longest_lease_end_ms (self, sent_ms + FB_POOL_DELAYED_CALL_MS);
}

/* Returns: how long runs go on that may be on a later incarnation of WORKER. */
static uint64_t
remaining_starts_ms (const FbPool *self, const FbPoolWorker *worker, uint64_t now_ms)
{
  uint64_t end_ms = now_ms;
  GHashTableIter iter;
  gpointer run;
  g_hash_table_iter_init (&iter, worker->runs);
  while (g_hash_table_iter_next (&iter, NULL, &run))
    end_ms = MAX (end_ms, fb_pool_lease_end_of_start_ms (self, worker, run));
  return end_ms - now_ms;
}

const char *
fb_pool_worker_lease_bound (const FbPool *self, const FbPoolWorker *worker)
{
  if (worker->answered)
    return "deadlines sent";
  uint64_t end_ms = unanswered_lease_end_ms (self, worker);
  if (end_ms == fb_pool_silence_lease_end_ms (self, worker))
    return "previous owner's record";
  return end_ms > fb_pool_lease_earlier_end_ms (self, FALSE) ? "misdirected call" : "majority";
}

uint64_t
fb_pool_worker_lease_remaining_ms (const FbPool *self, const FbPoolWorker *worker, uint64_t now_ms)
{
  if (worker->runs_ended)
    return remaining_starts_ms (self, worker, now_ms);
  if (worker->answered)
    {
      uint64_t clock_ms = fb_pool_worker_clock_min (worker, now_ms);
      uint64_t lease_ms = worker->lease_ms > clock_ms ? worker->lease_ms - clock_ms : 0;
      return MAX (max_duration_ms (lease_ms), remaining_starts_ms (self, worker, now_ms));
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
