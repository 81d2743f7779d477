/* When to ask for advice, and about which workers.
 *
 * A question takes up to 1.7 s, and the workers that a step may use never change; only
 * the tickets run out, after 2 s.  So the first question names all workers that could
 * ever run the step, up to what one question holds, those with room first.  Later ones
 * are asked when there is a place on an allowed worker, name just the workers to be used,
 * and hold their room until the answer comes: without that a gang's room was gone to
 * smaller work when its tickets arrived, and it asked 2.1 times on a heavy day.  When the
 * allowed workers have no place, those that were never named follow, in turns. */
#include "internal/pool-private.h"

#include "fb-event.h"

#include <string.h>
#include <xxhash.h>

/* Advice for a step is asked for this long before the steps before it should end:
 * within the 2 s for which a ticket is good. */
#define ASK_AHEAD_MS 900
/* Workers named in one question for advice. */
#define ADVICE_MAX 100
/* Renewals name at most this many workers: a ticket costs time for each. */
#define RENEW_MAX 6
/* A question for advice without an answer is asked again, this long after its decision should have
 * been there: longer than it is waited for at the daemon that calls the service.  With a bound on
 * the whole, questions of 1.8 s that waited behind others of 1.7 s were asked twice, and the second
 * call held up the next ones. */
#define ADVICE_PATIENCE_MS 4000
#define ADVICE_TIMES 3
/* After a stop's longest time: until its end is listed and the gang is ordered. */
#define ROOM_SLACK_MS 600

/* On top of what a decision takes: the way, and its wait behind another. */
#define HOLD_SLACK_MS 400
/* Failure: a question for a task that was interrupted waits behind others for 2 s, its room is held
 * for less and taken just before the answer, again and again; it shows as a task that is to last
 * and is away for 16 s in a full pool.  Guard: its room is held for as long as a question may wait.
 * A worker stands idle for one task for that long at worst. */
#define HOLD_INTERRUPTED_MS 3000
/* Workers that a step was never asked about are asked about again after so many times what a
 * question takes. */
#define NEWCOMERS_EVERY 3
/* What could give way is gone through this often for a step: it is every run of the pool. */
#define ROOM_EVERY_MS 25

typedef struct
{
  const FbPoolWorker *worker;
  gboolean unconfirmed_workers; /* the step waits for it unless the advice does not allow it */
  double room;                  /* it has a place now: more is better; 0: it has none */
  uint64_t draw;                /* decides between equals, another way for each step */
} Candidate;

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const Candidate *x = a;
  const Candidate *y = b;
  if (x->unconfirmed_workers != y->unconfirmed_workers)
    return x->unconfirmed_workers ? -1 : 1;
  if (x->room != y->room)
    return x->room > y->room ? -1 : 1;
  return (x->draw > y->draw) - (x->draw < y->draw);
}

static gboolean
can_be_named (const FbPoolWorker *worker, const FbPoolStep *step)
{
  return worker->listed && !worker->draining && !worker->runs_ended
         && fb_pool_could_run (worker, step->shape) && fb_pool_worker_advice (step, worker) == NULL;
}

/* Members of a gang need whole workers, so the emptiest come first; single tasks are spread over
 * all that have a place. */
static double
room_of (const FbPoolWorker *worker, const FbPoolStep *step, uint64_t now_ms)
{
  if (!fb_pool_has_place (worker, step, now_ms))
    return 0;
  return step->shape->gang ? 1 + fb_pool_free_shares (worker) : 1;
}

/* A task that lasts and was interrupted is away from its users until it is placed, and a question
 * about a hundred workers takes 1.8 s on some queues, about sixteen 0.9 s.  The advice allows three
 * workers of ten there, so that one of sixteen is allowed in 997 cases of 1,000. */
#define NAMED_FOR_ONE 16
/* The advice allows three workers of ten at the least. */
#define NAMED_FOR_EACH 4
/* Of so many a step of one task is still allowed nine, to choose a fast one of. */
#define NAMED_AT_LEAST 30

/* Failure: every first question names a hundred workers, whatever its step needs, and the service
 * takes 0.5 to 9 ms for each; with 350 workers and 33 daemons these were busy with questions for
 * four fifths of a day, and half of the urgent jobs waited half a second for their first start.
 * Guard: single tasks ask about four workers each (mean worth of six days of that size 0.592 to
 * 0.629).  Gangs need many workers that are free at the same moment, and name all they can. */
static guint
named_first (const FbPoolStep *step)
{
  if (step->shape->gang || step->shape->long_running)
    return ADVICE_MAX;
  guint most = MIN (step->shape->count, ADVICE_MAX) * NAMED_FOR_EACH;
  return CLAMP (most, NAMED_AT_LEAST, ADVICE_MAX);
}

static guint
named_most (const FbPool *self, const FbPoolStep *step)
{
  if (step->urgency != FB_URGENCY_RESTARTING)
    return named_first (step);
  guint unconfirmed_workers = self->recovered ? 0 : self->unconfirmed_workers->len;
  guint waiting = MAX (fb_pool_step_waiting_n (step), 1);
  return MIN (ADVICE_MAX, NAMED_FOR_ONE * waiting + unconfirmed_workers);
}

/* TRUE for what a later question of STEP may name too.  Single tasks need a place now.
 *
 * Failure: a gang needs fifteen whole workers, 29 are allowed, and each later question names the
 * four to twenty others that have room at that moment, one in three seconds; it shows as gangs that
 * wait 20 s while smaller ones of their queue go by.  Guard: a gang asks about others whether they
 * have room or not, as room can be made where it is allowed. */
static gboolean
is_worth_naming (const FbPoolStep *step, double room)
{
  return !step->has_advice || step->shape->gang || room > 0;
}

/* Workers that were never named for STEP: for the first question, and for gangs, all that could
 * ever run it, else only those with a place now.
 *
 * Failure: a pool has more workers than one question names, and each question names the same
 * ones; it shows as a third of the workers with all the work and steps that wait beside idle
 * ones.  Guard: those with room come first, and a draw by step and worker decides between equals.
 */
static GPtrArray *
never_asked (FbPool *self, const FbPoolStep *step, uint64_t now_ms)
{
  self->visits_n += self->worker_slots->len;
  g_autoptr (GArray) candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));
  uint64_t seed = XXH64 (step->job->id, strlen (step->job->id), step->index);
  guint slot = 0;
  const FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (!can_be_named (worker, step))
        continue;
      const Candidate candidate
          = { .worker = worker,
              .unconfirmed_workers = !self->recovered && !worker->answered,
              .room = room_of (worker, step, now_ms),
              .draw = XXH64 (&worker->id_hash, sizeof worker->id_hash, seed) };
      if (is_worth_naming (step, candidate.room))
        g_array_append_val (candidates, candidate);
    }
  guint most = named_most (self, step);
  if (candidates->len > most)
    g_array_sort (candidates, compare_candidates);
  /* Where there is no room it has to be made, and the more are allowed the sooner. */
  if (candidates->len > most && g_array_index (candidates, Candidate, most - 1).room == 0)
    most = ADVICE_MAX;
  GPtrArray *ids = g_ptr_array_new ();
  for (guint i = 0; i < MIN (candidates->len, most); i++)
    g_ptr_array_add (ids, g_array_index (candidates, Candidate, i).worker->id);
  return ids;
}

static uint64_t
takes_ms (const FbPoolStep *step, guint n)
{
  const fb_work_policy *policy = &step->job->record.policy;
  return (policy->advice_decision_us + n * policy->advice_per_worker_us) / 1000;
}

static uint64_t
hold_slack_ms (const FbPoolStep *step)
{
  return step->urgency == FB_URGENCY_RESTARTING ? HOLD_INTERRUPTED_MS : HOLD_SLACK_MS;
}

/* For how many tasks of STEP other work is stopped at once. */
static guint
most_at_once (const FbPoolStep *step)
{
  return step->shape->gang ? step->shape->count : MIN (fb_pool_step_waiting_n (step), RENEW_MAX);
}

/* For how many tasks of STEP one question renews tickets.
 *
 * Failure: tasks that are to last lost their workers together, and a question renews six tickets:
 * each waits its turn and takes half a second; it shows as the last of 28 that run again after
 * 32 s, with most of the workers' room free.  Guard: one question is for all of them. */
static guint
most_renewed (const FbPoolStep *step)
{
  return step->shape->long_running ? MIN (fb_pool_step_waiting_n (step), ADVICE_MAX)
                                   : most_at_once (step);
}

static guint
make_room (FbPool *self, FbPoolStep *step, FbPoolWorker **chosen, uint64_t now_ms)
{
  if (now_ms < step->room_asked_ms + ROOM_EVERY_MS)
    return 0;
  step->room_asked_ms = now_ms;
  guint most = most_at_once (step);
  uint64_t wait_ms = MAX (self->limits.max_stop_ms, takes_ms (step, most));
  return fb_pool_make_room (self, step, most, chosen,
                            now_ms + wait_ms + MAX (ROOM_SLACK_MS, hold_slack_ms (step)), now_ms);
}

/* Returns: (transfer container): the ids of the N workers CHOSEN, each once. */
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

/* Failure: fewer of the allowed workers have a place than tasks of a step that is to last wait, and
 * each question is about those few; the others wait until no place is left on any of them.  It
 * shows as questions about one to five workers, again and again.  Guard: the same question names
 * workers that were never asked about, for the tasks that are left. */
static void
add_newcomers (FbPool *self, const FbPoolStep *step, GPtrArray *ids, guint left, uint64_t now_ms)
{
  g_autoptr (GPtrArray) fresh = never_asked (self, step, now_ms);
  guint most = MIN (ids->len + NAMED_FOR_EACH * left, ADVICE_MAX);
  for (guint i = 0; i < fresh->len && ids->len < most; i++)
    g_ptr_array_add (ids, fresh->pdata[i]);
}

/* Chooses allowed workers that have a place now, whatever the age of their tickets, and holds
 * their room.  Returns: their ids, none when there is no place. */
static GPtrArray *
to_renew (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  guint most = most_renewed (step);
  g_autofree FbPoolWorker **chosen = g_new0 (FbPoolWorker *, most + 1);
  guint n = fb_pool_choose_step (self, step, most, FB_TICKET_ALLOWED, chosen, now_ms);
  GPtrArray *ids = ids_of (chosen, n);
  if (n == 0)
    return ids;
  if (step->shape->long_running && n < most)
    add_newcomers (self, step, ids, most - n, now_ms);
  fb_pool_reserve (self, step, chosen, n,
                   now_ms + takes_ms (step, ids->len) + hold_slack_ms (step));
  return ids;
}

/* Until what is stopped has ended and its end is listed. */
static uint64_t
room_comes_ms (const FbPool *self)
{
  return self->limits.max_stop_ms + ROOM_SLACK_MS;
}

static gboolean
tickets_last (FbPoolStep *step, FbPoolWorker **chosen, guint n, uint64_t until_ms)
{
  for (guint i = 0; i < n; i++)
    {
      if (fb_pool_valid_ticket (step, chosen[i], until_ms) == NULL)
        return FALSE;
    }
  return TRUE;
}

/* The same where room can be made.  Tickets that last until the room is there are not renewed, as
 * the step would wait for the answer; the room is held until then. */
static GPtrArray *
to_renew_after_stops (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  g_autofree FbPoolWorker **chosen = g_new0 (FbPoolWorker *, most_at_once (step) + 1);
  guint n = make_room (self, step, chosen, now_ms);
  uint64_t there_ms = now_ms + room_comes_ms (self);
  if (n == 0 || !tickets_last (step, chosen, n, there_ms))
    return ids_of (chosen, n);
  step->reserved_until_ms = there_ms;
  return g_ptr_array_new ();
}

/* Failure: workers are replaced one after the other, and each new one is asked about for each
 * step that waits: a question of half a second for one worker, which three times of ten is
 * allowed, while the tickets of those that are allowed run out and the room that is there is
 * taken by others; it shows as gangs that wait 8 s with ten questions.  Guard: who is allowed
 * and has a place comes first, and new workers are asked about together, in turns. */
static gboolean
is_time_for_newcomers (const FbPoolStep *step, uint64_t now_ms)
{
  return now_ms >= step->told_ms + NEWCOMERS_EVERY * takes_ms (step, 1);
}

/* Returns: (transfer container): whom to ask about for STEP now, none when there is nothing to ask.
 * Room is held on those that are allowed. */
static GPtrArray *
whom_to_ask (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  if (!step->has_advice)
    return never_asked (self, step, now_ms);
  if (!step->released)
    return g_ptr_array_new ();
  GPtrArray *ids = to_renew (self, step, now_ms);
  if (ids->len == 0 && is_time_for_newcomers (step, now_ms))
    {
      g_ptr_array_unref (ids);
      ids = never_asked (self, step, now_ms);
    }
  if (ids->len > 0)
    return ids;
  g_ptr_array_unref (ids);
  return to_renew_after_stops (self, step, now_ms);
}

static void
make_room_unadvised (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  g_autofree FbPoolWorker **chosen = g_new0 (FbPoolWorker *, step->shape->count);
  (void) make_room (self, step, chosen, now_ms);
}

static gboolean
question_open (const FbPoolStep *step, uint64_t now_ms)
{
  return step->advice_until_ms != 0 && now_ms < step->advice_until_ms;
}

/* Questions that take about as long as one about STEP. */
static uint32_t
kind_of_question (const FbPoolStep *step)
{
  return 1U << MIN (g_bit_storage ((gulong) takes_ms (step, 1)), 31U);
}

/* Returns: FALSE when no daemon can take a question now. */
static gboolean
send_question (FbPool *self, FbPoolStep *step, const GPtrArray *ids, uint64_t now_ms)
{
  g_autofree char *name = fb_pool_step_name (step);
  uint32_t expected_ms = (uint32_t) takes_ms (step, ids->len);
  if (!self->sink->advise (self->user, name, (const char *const *) ids->pdata, ids->len,
                           expected_ms))
    {
      self->asked_in_vain |= kind_of_question (step);
      return FALSE;
    }
  step->advice_until_ms = now_ms + ADVICE_TIMES * expected_ms + ADVICE_PATIENCE_MS;
  return TRUE;
}

gboolean
fb_pool_ask_advice (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  if (!step->job->record.policy.advised)
    {
      if (step->released && step->reserved_on->len == 0)
        make_room_unadvised (self, step, now_ms);
      return TRUE;
    }
  if (question_open (step, now_ms))
    return TRUE;
  /* What to ask costs a pass over the workers, for each of hundreds of steps that wait. */
  if (self->asked_in_vain & kind_of_question (step))
    return FALSE;
  g_autoptr (GPtrArray) ids = whom_to_ask (self, step, now_ms);
  if (ids->len == 0)
    return TRUE;
  if (send_question (self, step, ids, now_ms))
    return TRUE;
  g_ptr_array_unref (fb_pool_release_reservation (self, step));
  return FALSE;
}

void
fb_pool_renew_ticket (FbPool *self, FbPoolStep *step, const FbPoolWorker *worker, uint64_t now_ms)
{
  if (question_open (step, now_ms))
    return;
  g_autoptr (GPtrArray) ids = g_ptr_array_new ();
  g_ptr_array_add (ids, worker->id);
  (void) send_question (self, step, ids, now_ms); /* when none can take it: the next round asks */
}

gboolean
fb_pool_ask_first_advice (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  if (!step->job->record.policy.advised || step->has_advice)
    return TRUE;
  return fb_pool_ask_advice (self, step, now_ms);
}

void
fb_pool_advised (FbPool *self, const char *name, const char *const *asked, guint n,
                 const fb_advice_reply *told, uint64_t now_ms)
{
  FbPoolStep *step = fb_pool_find_step (self, name);
  if (step == NULL)
    return;
  self->place_due = TRUE;
  step->advice_until_ms = 0;
  step->full_look_ms = 0;
  step->told_ms = now_ms;
  if (told == NULL)
    return;
  for (guint i = 0; i < n; i++)
    {
      const FbPoolWorker *worker = g_hash_table_lookup (self->workers, asked[i]);
      if (worker != NULL)
        fb_pool_worker_advice_asked (step, worker);
    }
  for (u_int i = 0; i < told->tickets.tickets_len; i++)
    {
      const fb_ticket *got = &told->tickets.tickets_val[i];
      const FbPoolWorker *worker = g_hash_table_lookup (self->workers, got->worker);
      if (worker != NULL)
        fb_pool_worker_advice_allow (step, worker, got->ticket, now_ms + told->validity_ms);
    }
  fb_event_log (FB_EVENT_ADVISED, "step=%s asked=%u allowed=%u validity_ms=%u", name, n,
                told->tickets.tickets_len, told->validity_ms);
}

/* TRUE when the steps before STEP are about to end: nothing of them waits, and what
 * runs has been running for most of its estimate.  Asking then takes the decision
 * out of the caller's wait: 30 ms of a short job's 250 ms, half a second of others. */
static gboolean
is_next (const FbPoolOccurrence *occurrence, const FbPoolStep *step, uint64_t now_ms)
{
  if (step->released || step->shape->after.after_len == 0)
    return FALSE;
  for (u_int i = 0; i < step->shape->after.after_len; i++)
    {
      const FbPoolStep *before = &occurrence->steps[step->shape->after.after_val[i]];
      for (uint32_t j = 0; j < before->shape->count; j++)
        {
          const FbPoolTask *task = &before->tasks[j];
          if (task->done)
            continue;
          if (task->run == NULL
              || now_ms + ASK_AHEAD_MS < task->run->started_ms + before->shape->estimate_ms)
            return FALSE;
        }
    }
  return TRUE;
}

void
fb_pool_ask_ahead (FbPool *self, FbPoolJob *job, uint64_t now_ms)
{
  for (guint i = 0; job->record.policy.advised && i < job->occurrences->len; i++)
    {
      FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
      for (guint j = 0; !occurrence->finished && j < job->record.spec.steps.steps_len; j++)
        {
          FbPoolStep *step = &occurrence->steps[j];
          if (is_next (occurrence, step, now_ms))
            fb_pool_ask_first_advice (self, step, now_ms);
        }
    }
}
