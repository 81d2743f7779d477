/* Decides when to request advice for a step, and for which workers. A worker is requested for a
 * step when a request for that step lists it.
 *
 * A request takes up to 1.7 s. Which workers a step may use never changes; only the tickets expire,
 * after 2 s. So the first request lists every worker that could ever run the step, up to the limit
 * of one request, and those with free capacity first. Later requests are sent when an allowed
 * worker has free capacity; they list only the workers to be used, and capacity on these is
 * reserved until the answer arrives. Without the reservation, smaller tasks took the capacity of a
 * gang before its tickets arrived, and gangs needed 2.1 requests each in a heavy load test. While
 * no allowed worker has free capacity, workers that were never requested are requested at
 * intervals. */
#include "internal/pool-advice-requests.h"

#include "fb-counter.h"
#include "fb-event.h"

#include <string.h>
#include <xxhash.h>

/* Advice is requested this long before the preceding steps are expected to end, which is within the
 * 2 s for which a ticket is valid. */
#define REQUEST_AHEAD_MS 900
/* Maximum number of workers in one request. */
#define MAX_WORKERS_PER_REQUEST 100
/* Maximum number of workers in a request that renews tickets, because the service takes time for
 * each ticket, and of single tasks for which work is preempted at once. */
#define MAX_RENEWED_TICKETS 6
/* A request without an answer is repeated after ADVICE_TIMEOUT_FACTOR times its expected duration
 * plus ADVICE_TIMEOUT_MS, which is longer than the daemon that calls the service waits for the
 * answer. With one fixed timeout, requests of 1.8 s that queued behind others of 1.7 s were sent
 * twice, and the second call delayed the following ones. */
#define ADVICE_TIMEOUT_MS 4000
#define ADVICE_TIMEOUT_FACTOR 3
/* Added to the maximum duration of a stop: the time until the end is reported and the gang is
 * started. */
#define STOP_SLACK_MS 600

/* Added to the duration of a decision: network latency and the wait behind another request. */
#define RESERVATION_SLACK_MS 400
/* A request for a restarting task may queue behind others for 2 s. With a shorter reservation,
 * other tasks repeatedly took the capacity just before the answer arrived, and a long-running task
 * was down for 16 s in a full pool. So the capacity stays reserved for as long as a request may
 * queue. At worst, capacity for one task is idle for that time. */
#define RESTARTING_RESERVATION_SLACK_MS 3000
/* Capacity for a gang whose tickets are requested stays reserved beyond the above until the answer
 * arrives, for at most this many times the expected duration of the request: a request behind
 * another of the same length takes twice its duration.  Otherwise other tasks took the capacity
 * just before the answer arrived, and a second request was sent for the same members. */
#define LATE_ANSWER_FACTOR 2
/* Workers that were never requested for a step are requested only after this many times the
 * duration of a request. */
#define UNREQUESTED_INTERVAL_FACTOR 3
/* Minimum interval between two searches for preemptible runs for a step: each search visits every
 * run of the pool. */
#define PREEMPTION_INTERVAL_MS 25

typedef struct
{
  const FbPoolWorker *worker;
  gboolean unconfirmed; /* the step waits for this worker unless the advice forbids it */
  double free_rank;     /* 0: no free capacity for the task; the higher, the better */
  uint64_t tie_breaker; /* breaks ties, differently for each step */
} Candidate;

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const Candidate *x = a;
  const Candidate *y = b;
  if (x->unconfirmed != y->unconfirmed)
    return x->unconfirmed ? -1 : 1;
  if (x->free_rank != y->free_rank)
    return x->free_rank > y->free_rank ? -1 : 1;
  return (x->tie_breaker > y->tie_breaker) - (x->tie_breaker < y->tie_breaker);
}

static gboolean
can_be_requested (const FbPoolWorker *worker, const FbPoolStep *step)
{
  return worker->listed && !worker->draining && !worker->runs_ended
         && fb_pool_worker_could_run (worker, step->spec)
         && fb_pool_worker_advice (step, worker) == NULL
         && !fb_pool_advice_requests_list (step, worker->id);
}

/* Returns: the rank of WORKER by free capacity. Members of a gang need whole workers, so the
 * emptiest worker ranks highest; single tasks are spread over all workers with capacity for
 * them. */
static double
free_rank_of (const FbPoolWorker *worker, const FbPoolStep *step, uint64_t now_ms)
{
  if (!fb_pool_worker_can_start (worker, step, now_ms))
    return 0;
  return step->spec->gang ? 1 + fb_pool_worker_free_share (worker) : 1;
}

/* A restarting long-running task is unavailable to its users until it is placed, and a request for
 * a hundred workers takes 1.8 s on some queues, one for sixteen 0.9 s. The advice allows three
 * workers of ten there, so at least one of sixteen is allowed in 997 cases of 1,000. */
#define WORKERS_PER_RESTARTING_TASK 16
/* Workers requested per task: the advice allows at least three workers of ten. */
#define WORKERS_PER_TASK 4
/* With this many requested, a step of one task still has nine allowed workers, from which a fast
 * one can be chosen. */
#define MIN_WORKERS_PER_REQUEST 30

/* Returns: the maximum number of workers in the first request for STEP.
 *
 * The service takes 0.5 to 9 ms for each worker. When every first request listed a hundred workers,
 * whatever its step needed, the daemons were busy with requests for four fifths of the time in load
 * tests with 350 workers and 33 daemons, and half of the urgent jobs waited half a second for their
 * first start. So single tasks request about four workers each, and more jobs are completed in
 * time. Gangs need many workers that are free at the same moment, and request as many as
 * possible. */
static guint
max_workers_in_first_request (const FbPoolStep *step)
{
  if (step->spec->gang || step->spec->long_running)
    return MAX_WORKERS_PER_REQUEST;
  guint max_n = MIN (step->spec->count, MAX_WORKERS_PER_REQUEST) * WORKERS_PER_TASK;
  return CLAMP (max_n, MIN_WORKERS_PER_REQUEST, MAX_WORKERS_PER_REQUEST);
}

static guint
max_workers_in_request (const FbPool *self, const FbPoolStep *step)
{
  if (step->urgency != FB_URGENCY_RESTARTING)
    return max_workers_in_first_request (step);
  guint unconfirmed = self->recovered ? 0 : self->unconfirmed_workers->len;
  guint pending = MAX (fb_pool_step_pending_n (step), 1);
  return MIN (MAX_WORKERS_PER_REQUEST, WORKERS_PER_RESTARTING_TASK * pending + unconfirmed);
}

/* TRUE when a later request for STEP may include a worker with this rank by free capacity. For
 * single tasks the worker must have capacity now.
 *
 * A gang may need fifteen whole workers and have 29 allowed ones. When each later request, one in
 * three seconds, included only the four to twenty other workers with free capacity at that moment,
 * gangs waited 20 s while smaller ones of their queue were started. So a gang requests other
 * workers whether they have free capacity or not, because preemption can free it on allowed
 * workers. */
static gboolean
is_worth_requesting (const FbPoolStep *step, double free_rank)
{
  return !step->has_advice || step->spec->gang || free_rank > 0;
}

/* Returns: (transfer container): ids of workers that were never requested for STEP. For the first
 * request and for gangs these are all workers that could ever run it, otherwise only those with
 * capacity now.
 *
 * If a pool has more workers than one request holds and each request lists the same ones, a third
 * of the workers get all the work, and steps wait while other workers are idle. So workers with
 * free capacity come first, and ties are broken by a hash of step and worker. */
static GPtrArray *
unrequested_workers (FbPool *self, const FbPoolStep *step, uint64_t now_ms)
{
  self->visits_n += self->worker_slots->len;
  g_autoptr (GArray) candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));
  uint64_t seed = XXH64 (step->job->id, strlen (step->job->id), step->index);
  guint slot = 0;
  const FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (!can_be_requested (worker, step))
        continue;
      const Candidate candidate
          = { .worker = worker,
              .unconfirmed = !self->recovered && !worker->answered,
              .free_rank = free_rank_of (worker, step, now_ms),
              .tie_breaker = XXH64 (&worker->id_hash, sizeof worker->id_hash, seed) };
      if (is_worth_requesting (step, candidate.free_rank))
        g_array_append_val (candidates, candidate);
    }
  guint max_n = max_workers_in_request (self, step);
  if (candidates->len > max_n || step->spec->gang)
    g_array_sort (candidates, compare_candidates);
  /* Without free capacity, preemption has to free it, which takes less time the more workers are
   * allowed. */
  if (candidates->len > max_n && g_array_index (candidates, Candidate, max_n - 1).free_rank == 0)
    max_n = MAX_WORKERS_PER_REQUEST;
  GPtrArray *ids = g_ptr_array_new ();
  for (guint i = 0; i < MIN (candidates->len, max_n); i++)
    g_ptr_array_add (ids, g_array_index (candidates, Candidate, i).worker->id);
  return ids;
}

static uint64_t
request_ms (const FbPoolStep *step, guint n)
{
  const fb_work_policy *policy = &step->job->record.policy;
  return (policy->advice_decision_us + n * policy->advice_per_worker_us) / 1000;
}

static uint64_t
reservation_slack_ms (const FbPoolStep *step)
{
  return step->urgency == FB_URGENCY_RESTARTING ? RESTARTING_RESERVATION_SLACK_MS
                                                : RESERVATION_SLACK_MS;
}

uint64_t
fb_pool_advice_wait_ms (const FbPoolStep *step)
{
  guint n = step->has_advice ? step->spec->count : max_workers_in_first_request (step);
  return request_ms (step, n) + reservation_slack_ms (step);
}

/* Returns: for how many tasks of STEP other work is preempted at once. */
static guint
max_preempted (const FbPoolStep *step)
{
  return step->spec->gang ? step->spec->count
                          : MIN (fb_pool_step_pending_n (step), MAX_RENEWED_TICKETS);
}

/* Returns: for how many tasks of STEP one request renews tickets.
 *
 * Long-running tasks may lose their workers together. When each request renewed only six tickets,
 * queued, and took half a second, the last of 28 tasks ran again after 32 s although most of the
 * workers' capacity was free. So one request covers all of them. */
static guint
max_renewed_tickets (const FbPoolStep *step)
{
  return step->spec->long_running ? MIN (fb_pool_step_pending_n (step), MAX_WORKERS_PER_REQUEST)
                                  : max_preempted (step);
}

static guint
preempt_for (FbPool *self, FbPoolStep *step, FbPoolWorker **chosen, uint64_t now_ms)
{
  if (now_ms < step->preemption_tried_ms + PREEMPTION_INTERVAL_MS)
    return 0;
  step->preemption_tried_ms = now_ms;
  guint max_n = max_preempted (step);
  uint64_t wait_ms = MAX (self->limits.max_stop_ms, request_ms (step, max_n));
  return fb_pool_preempt (self, step, max_n, chosen,
                          now_ms + wait_ms + MAX (STOP_SLACK_MS, reservation_slack_ms (step)),
                          now_ms);
}

/* Returns: (transfer container): the ids of the N workers in CHOSEN, without duplicates. */
static GPtrArray *
ids_of (FbPoolWorker **chosen, guint n)
{
  GPtrArray *ids = g_ptr_array_new ();
  for (guint i = 0; i < n; i++)
    {
      if (!g_ptr_array_find (ids, chosen[i]->id, NULL))
        g_ptr_array_add (ids, chosen[i]->id);
    }
  return ids;
}

/* Adds to IDS workers that were never requested, for LEFT more tasks.
 *
 * If fewer allowed workers have capacity than a long-running step has pending tasks, requests for
 * those few workers alone would make the other tasks wait until none of these has capacity left,
 * and requests for one to five workers would follow each other. So the same request also lists
 * workers that were never requested, for the remaining tasks. */
static void
add_unrequested (FbPool *self, const FbPoolStep *step, GPtrArray *ids, guint left, uint64_t now_ms)
{
  g_autoptr (GPtrArray) unrequested = unrequested_workers (self, step, now_ms);
  guint max_n = MIN (ids->len + WORKERS_PER_TASK * left, MAX_WORKERS_PER_REQUEST);
  for (guint i = 0; i < unrequested->len && ids->len < max_n; i++)
    g_ptr_array_add (ids, unrequested->pdata[i]);
}

/* Chooses allowed workers that have capacity now, whether their tickets are still valid or not, and
 * reserves it.  Returns: (transfer container): their ids; empty when there is no capacity. */
static GPtrArray *
workers_to_renew (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  guint max_n = max_renewed_tickets (step);
  g_autofree FbPoolWorker **chosen = g_new0 (FbPoolWorker *, max_n + 1);
  guint n = fb_pool_choose_step (self, step, max_n, FB_TICKET_ALLOWED, chosen, now_ms);
  GPtrArray *ids = ids_of (chosen, n);
  if (n == 0)
    return ids;
  if (step->spec->long_running && n < max_n)
    add_unrequested (self, step, ids, max_n - n, now_ms);
  fb_pool_reserve (self, step, chosen, n,
                   now_ms + request_ms (step, ids->len) + reservation_slack_ms (step));
  step->capacity_free_ms = now_ms;
  return ids;
}

/* Returns: the time until preempted runs have ended and their ends are reported. */
static uint64_t
preemption_ms (const FbPool *self)
{
  return self->limits.max_stop_ms + STOP_SLACK_MS;
}

static gboolean
tickets_are_valid (FbPoolStep *step, FbPoolWorker **chosen, guint n, uint64_t until_ms)
{
  for (guint i = 0; i < n; i++)
    {
      if (fb_pool_valid_ticket (step, chosen[i], until_ms) == NULL)
        return FALSE;
    }
  return TRUE;
}

/* TRUE when tickets for N workers that are requested now are still valid at UNTIL_MS, unless the
 * answer comes much earlier than expected, or when their validity is not known. */
static gboolean
would_be_valid (const FbPoolStep *step, guint n, uint64_t until_ms, uint64_t now_ms)
{
  uint32_t validity_ms = step->job->record.policy.advice_validity_ms;
  return validity_ms == 0
         || now_ms + request_ms (step, n) + validity_ms >= until_ms + RESERVATION_SLACK_MS;
}

/* Like workers_to_renew(), for allowed workers on which preemption frees capacity. Tickets that
 * stay valid until then are not renewed, because the step would have to wait for the answer; the
 * capacity stays reserved until then. */
static GPtrArray *
workers_to_renew_after_preemption (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  g_autofree FbPoolWorker **chosen = g_new0 (FbPoolWorker *, max_preempted (step) + 1);
  guint n = preempt_for (self, step, chosen, now_ms);
  uint64_t freed_ms = now_ms + preemption_ms (self);
  step->capacity_free_ms = freed_ms;
  if (n > 0 && step->spec->gang && !would_be_valid (step, n, freed_ms, now_ms))
    return g_ptr_array_new (); /* fb_pool_renew_reserved() requests them in time */
  if (n == 0 || !tickets_are_valid (step, chosen, n, freed_ms))
    return ids_of (chosen, n);
  step->reserved_until_ms = freed_ms;
  return g_ptr_array_new ();
}

/* During a rolling replacement of workers, each pending step would send a request for each new
 * worker. Such a request takes half a second, and the worker is allowed in three cases of ten;
 * meanwhile the tickets of allowed workers expire and other tasks take the free capacity. Gangs
 * waited 8 s with ten requests. So allowed workers with capacity come first, and new workers are
 * requested together, at intervals. */
static gboolean
may_request_unrequested (const FbPoolStep *step, uint64_t now_ms)
{
  return now_ms >= step->last_advice_ms + UNREQUESTED_INTERVAL_FACTOR * request_ms (step, 1);
}

/* Returns: (transfer container): ids of the workers to request for STEP now; empty when there is
 * nothing to request. Capacity is reserved on those that are allowed. */
static GPtrArray *
workers_to_request (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  if (!step->has_advice)
    return fb_pool_advice_requests_are_open (step) ? g_ptr_array_new ()
                                                   : unrequested_workers (self, step, now_ms);
  if (!step->released)
    return g_ptr_array_new ();
  GPtrArray *ids = workers_to_renew (self, step, now_ms);
  if (fb_pool_advice_requests_await_part (step, now_ms))
    return ids;
  if (ids->len == 0 && may_request_unrequested (step, now_ms))
    {
      g_ptr_array_unref (ids);
      ids = unrequested_workers (self, step, now_ms);
    }
  if (ids->len > 0)
    return ids;
  g_ptr_array_unref (ids);
  return workers_to_renew_after_preemption (self, step, now_ms);
}

static void
preempt_unadvised (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  g_autofree FbPoolWorker **chosen = g_new0 (FbPoolWorker *, step->spec->count);
  (void) preempt_for (self, step, chosen, now_ms);
}

/* Returns: a bit that represents all requests that take about as long as one for STEP. */
static uint32_t
request_kind (const FbPoolStep *step)
{
  return 1U << MIN (g_bit_storage ((gulong) request_ms (step, 1)), 31U);
}

/* Returns: FALSE when no daemon can forward a request to the advice service now. */
static gboolean
send_request (FbPool *self, FbPoolStep *step, const GPtrArray *ids, gboolean is_part,
              uint64_t now_ms)
{
  g_autofree char *name = fb_pool_step_name (step);
  uint32_t expected_ms = (uint32_t) request_ms (step, ids->len);
  if (!self->callbacks->request_advice (self->user, name, (const char *const *) ids->pdata,
                                        ids->len, expected_ms))
    {
      self->refused_request_kinds |= request_kind (step);
      return FALSE;
    }
  const FbPoolAdviceRequest request
      = { .is_part = is_part,
          .expected_ms = expected_ms,
          .sent_ms = now_ms,
          .until_ms = now_ms + ADVICE_TIMEOUT_FACTOR * expected_ms + ADVICE_TIMEOUT_MS,
          .open_n = step->held_at != NULL ? &self->held_requests_n : NULL };
  fb_pool_advice_requests_add (step, ids, &request);
  return TRUE;
}

/* ---- parallel requests ---------------------------------------------------------- */

/* Returns: into how many parallel requests the request for N workers is split.  Only gangs that can
 * still be in time and are not waiting for earlier steps of their account are worth the additional
 * decisions. */
static guint
parts_n (const FbPool *self, const FbPoolStep *step, guint n)
{
  if (!step->spec->gang || step->has_advice || step->urgency > FB_URGENCY_NORMAL
      || step->held_at != NULL || self->idle_daemons == NULL)
    return 1;
  uint32_t expected_ms = (uint32_t) request_ms (step, MIN_WORKERS_PER_REQUEST);
  return fb_pool_advice_parts_n (&step->job->record.policy, n,
                                 self->idle_daemons (self->user, expected_ms));
}

static GPtrArray *
slice (const GPtrArray *ids, guint from, guint to)
{
  GPtrArray *part = g_ptr_array_new ();
  for (guint i = from; i < to; i++)
    g_ptr_array_add (part, ids->pdata[i]);
  return part;
}

/* Sends the request for IDS, which begin with the workers that suit the gang best, in parts.  A
 * part that no daemon can forward is sent later, unless the gang was placed meanwhile. */
static gboolean
send_in_parts (FbPool *self, FbPoolStep *step, const GPtrArray *ids, uint64_t now_ms)
{
  guint n = parts_n (self, step, ids->len);
  if (n == 1)
    return send_request (self, step, ids, FALSE, now_ms);
  gboolean can_request = TRUE;
  for (guint i = 0; i < n; i++)
    {
      g_autoptr (GPtrArray) part = slice (ids, ids->len * i / n, ids->len * (i + 1) / n);
      can_request = can_request && send_request (self, step, part, TRUE, now_ms);
      if (!can_request && i == 0)
        return FALSE;
      if (!can_request)
        fb_pool_advice_requests_add (step, part, &(FbPoolAdviceRequest){ .is_part = TRUE });
    }
  fb_counter_add (FB_COUNTER_ADVICE_SPLITS, 1);
  return TRUE;
}

/* Repeats the parts that have failed or timed out, each for those of its workers that can still be
 * used.  Returns: FALSE when no daemon can forward a request now. */
static gboolean
repeat_failed_parts (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  FbPoolAdviceRequest *failed = NULL;
  gboolean can_request = TRUE;
  while (can_request && (failed = fb_pool_advice_requests_take_failed (step)) != NULL)
    {
      g_autoptr (GPtrArray) ids = g_ptr_array_new ();
      GHashTableIter iter;
      gpointer id;
      g_hash_table_iter_init (&iter, failed->workers);
      while (g_hash_table_iter_next (&iter, &id, NULL))
        {
          const FbPoolWorker *worker = g_hash_table_lookup (self->workers, id);
          if (worker != NULL && can_be_requested (worker, step))
            g_ptr_array_add (ids, id);
        }
      can_request = ids->len == 0 || send_request (self, step, ids, TRUE, now_ms);
      if (!can_request)
        fb_pool_advice_requests_add (step, ids, &(FbPoolAdviceRequest){ .is_part = TRUE });
      fb_pool_advice_request_free (failed);
    }
  return can_request;
}

gboolean
fb_pool_request_advice (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  if (!step->job->record.policy.advised)
    {
      if (step->released && step->reserved_on->len == 0)
        preempt_unadvised (self, step, now_ms);
      return TRUE;
    }
  fb_pool_advice_requests_expire (step, now_ms);
  if (fb_pool_advice_requests_single (step) != NULL)
    return TRUE;
  /* Choosing the workers takes a pass over all of them, for each of hundreds of pending steps. */
  if (self->refused_request_kinds & request_kind (step))
    return FALSE;
  if (!repeat_failed_parts (self, step, now_ms))
    return FALSE;
  g_autoptr (GPtrArray) ids = workers_to_request (self, step, now_ms);
  if (ids->len == 0)
    return TRUE;
  if (send_in_parts (self, step, ids, now_ms))
    return TRUE;
  g_ptr_array_unref (fb_pool_release_reservation (self, step));
  return FALSE;
}

void
fb_pool_set_idle_daemons (FbPool *self, FbPoolIdleDaemonsFunc func)
{
  self->idle_daemons = func;
}

gboolean
fb_pool_advice_keeps_reservation (const FbPoolStep *step, uint64_t now_ms)
{
  const FbPoolAdviceRequest *open = fb_pool_advice_requests_single (step);
  if (open == NULL)
    return FALSE;
  if (now_ms < step->reserved_until_ms)
    return TRUE;
  return step->spec->gang && step->reserved_on->len > 0
         && now_ms < open->sent_ms + (uint64_t) LATE_ANSWER_FACTOR * open->expected_ms;
}

static GPtrArray *
reserved_workers (const FbPool *self, const FbPoolStep *step)
{
  GPtrArray *workers = g_ptr_array_new ();
  for (guint i = 0; i < step->reserved_on->len; i++)
    {
      FbPoolWorker *worker = g_hash_table_lookup (self->workers, step->reserved_on->pdata[i]);
      if (worker != NULL)
        g_ptr_array_add (workers, worker);
    }
  return workers;
}

void
fb_pool_renew_reserved (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  if (!step->spec->gang || !step->job->record.policy.advised
      || fb_pool_advice_requests_single (step) != NULL
      || self->refused_request_kinds & request_kind (step))
    return;
  g_autoptr (GPtrArray) workers = reserved_workers (self, step);
  FbPoolWorker **chosen = (FbPoolWorker **) workers->pdata;
  uint64_t free_ms = MAX (step->capacity_free_ms, now_ms);
  g_autoptr (GPtrArray) ids = ids_of (chosen, workers->len);
  if (ids->len > 0 && !tickets_are_valid (step, chosen, workers->len, free_ms)
      && would_be_valid (step, ids->len, free_ms, now_ms))
    (void) send_request (self, step, ids, FALSE, now_ms);
}

void
fb_pool_renew_ticket (FbPool *self, FbPoolStep *step, const FbPoolWorker *worker, uint64_t now_ms)
{
  fb_pool_advice_requests_expire (step, now_ms);
  if (fb_pool_advice_requests_single (step) != NULL)
    return;
  g_autoptr (GPtrArray) ids = g_ptr_array_new ();
  g_ptr_array_add (ids, worker->id);
  /* If no daemon can forward the request, the next round repeats it. */
  (void) send_request (self, step, ids, FALSE, now_ms);
}

gboolean
fb_pool_request_first_advice (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  if (!step->job->record.policy.advised || step->has_advice)
    return TRUE;
  return fb_pool_request_advice (self, step, now_ms);
}

void
fb_pool_advice_answered (FbPool *self, const char *name, const char *const *asked, guint n,
                         const fb_advice_reply *reply, uint64_t now_ms)
{
  FbPoolStep *step = fb_pool_find_step (self, name);
  if (step == NULL)
    return;
  self->round_due = TRUE;
  fb_pool_advice_requests_ended (step, asked, n, reply == NULL);
  step->retry_at_ms = 0;
  step->last_advice_ms = now_ms;
  if (reply == NULL)
    return;
  for (guint i = 0; i < n; i++)
    {
      const FbPoolWorker *worker = g_hash_table_lookup (self->workers, asked[i]);
      if (worker != NULL)
        fb_pool_worker_advice_requested (step, worker);
    }
  for (u_int i = 0; i < reply->tickets.tickets_len; i++)
    {
      const fb_ticket *ticket = &reply->tickets.tickets_val[i];
      const FbPoolWorker *worker = g_hash_table_lookup (self->workers, ticket->worker);
      if (worker != NULL)
        fb_pool_worker_advice_allow (step, worker, ticket->ticket, now_ms + reply->validity_ms);
    }
  fb_event_log (FB_EVENT_ADVISED, "step=%s asked=%u allowed=%u validity_ms=%u", name, n,
                reply->tickets.tickets_len, reply->validity_ms);
}

/* TRUE when the steps before STEP are about to end: none of their tasks is pending, and each run
 * has used most of its estimate. A request at that point removes the decision time from the
 * caller's wait: 30 ms of a short job's 250 ms, and half a second for other jobs. */
static gboolean
is_about_to_be_released (const FbPoolOccurrence *occurrence, const FbPoolStep *step,
                         uint64_t now_ms)
{
  if (step->released || step->spec->after.after_len == 0)
    return FALSE;
  for (u_int i = 0; i < step->spec->after.after_len; i++)
    {
      const FbPoolStep *before = &occurrence->steps[step->spec->after.after_val[i]];
      for (uint32_t j = 0; j < before->spec->count; j++)
        {
          const FbPoolTask *task = &before->tasks[j];
          if (task->done)
            continue;
          if (task->run == NULL
              || now_ms + REQUEST_AHEAD_MS < task->run->started_ms + before->spec->estimate_ms)
            return FALSE;
        }
    }
  return TRUE;
}

void
fb_pool_request_advice_ahead (FbPool *self, FbPoolJob *job, uint64_t now_ms)
{
  for (guint i = 0; job->record.policy.advised && i < job->occurrences->len; i++)
    {
      FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
      for (guint j = 0; !occurrence->finished && j < job->record.spec.steps.steps_len; j++)
        {
          FbPoolStep *step = &occurrence->steps[j];
          if (is_about_to_be_released (occurrence, step, now_ms))
            fb_pool_request_first_advice (self, step, now_ms);
        }
    }
}
