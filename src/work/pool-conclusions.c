/* Checks later reports against what was concluded from the end of a worker's leases.
 *
 * A list proves a conclusion wrong if it was made after it: its poll was sent later, or the
 * worker's clock had passed the highest value that it can have had by then. An end carries no time;
 * it proves that only if an earlier list, made after the conclusion, lacked it. So a run that ended
 * while its worker was cut off, with a lease that was too long, is not noticed here. */
#include "internal/pool-conclusions.h"
#include "internal/pool-private.h"

#include "fb-counter.h"
#include "fb-event.h"

/* Conclusions that are kept; the oldest are dropped. */
#define MAX_CONCLUSIONS 4096
/* By how much two clocks may differ in what they measure of one cut. */
#define CLOCK_MARGIN_MS 100

typedef struct
{
  char *name;       /* of the task; of the worker: that none of its runs is left */
  uint32_t attempt; /* 0: of a worker */
  char *worker;     /* the lost incarnation */
  const char *bound;
  uint64_t concluded_ms;
  /* Highest value that the worker's clock can have had by then; 0: not known. */
  uint64_t clock_ms;
  GList link; /* in FbPoolConclusions.by_age */
} Conclusion;

struct _FbPoolConclusions
{
  GHashTable *set; /* of Conclusion */
  GQueue by_age;   /* of the same, by their links; the oldest at its head */
};

static guint
conclusion_hash (gconstpointer key)
{
  const Conclusion *conclusion = key;
  return g_str_hash (conclusion->name) + conclusion->attempt;
}

static gboolean
conclusion_equal (gconstpointer x, gconstpointer y)
{
  const Conclusion *first = x;
  const Conclusion *second = y;
  return first->attempt == second->attempt && g_str_equal (first->name, second->name);
}

static void
conclusion_free (gpointer data)
{
  Conclusion *conclusion = data;
  g_free (conclusion->name);
  g_free (conclusion->worker);
  g_free (conclusion);
}

FbPoolConclusions *
fb_pool_conclusions_new (void)
{
  FbPoolConclusions *self = g_new0 (FbPoolConclusions, 1);
  self->set = g_hash_table_new_full (conclusion_hash, conclusion_equal, conclusion_free, NULL);
  g_queue_init (&self->by_age);
  return self;
}

void
fb_pool_conclusions_free (FbPoolConclusions *self)
{
  g_hash_table_unref (self->set);
  g_free (self);
}

static Conclusion *
find (const FbPoolConclusions *self, const char *name, uint32_t attempt)
{
  const Conclusion key = { .name = (char *) name, .attempt = attempt };
  Conclusion *found = NULL;
  return g_hash_table_lookup_extended (self->set, &key, (gpointer *) &found, NULL) ? found : NULL;
}

static void
forget (FbPoolConclusions *self, Conclusion *conclusion)
{
  g_queue_unlink (&self->by_age, &conclusion->link);
  g_hash_table_remove (self->set, conclusion);
}

static void
add (FbPoolConclusions *self, const FbPoolWorker *worker, const char *name, uint32_t attempt,
     const char *bound, uint64_t now_ms)
{
  Conclusion *earlier = find (self, name, attempt);
  if (earlier != NULL)
    forget (self, earlier);
  else if (self->by_age.length >= MAX_CONCLUSIONS)
    forget (self, g_queue_peek_head (&self->by_age));
  Conclusion *conclusion = g_new0 (Conclusion, 1);
  conclusion->name = g_strdup (name);
  conclusion->attempt = attempt;
  conclusion->worker = g_strdup (worker->id);
  conclusion->bound = bound;
  conclusion->concluded_ms = now_ms;
  if (worker->last_answer_ms != 0)
    conclusion->clock_ms = worker->clock_ms + now_ms - worker->answered_poll_sent_ms;
  g_hash_table_add (self->set, conclusion);
  conclusion->link.data = conclusion;
  g_queue_push_tail_link (&self->by_age, &conclusion->link);
}

void
fb_pool_conclusions_add_worker (FbPool *self, const FbPoolWorker *worker, const char *bound,
                                uint64_t now_ms)
{
  add (self->conclusions, worker, worker->id, 0, bound, now_ms);
}

void
fb_pool_conclusions_add_run (FbPool *self, const FbPoolWorker *worker, const FbPoolRun *run,
                             const char *bound, uint64_t now_ms)
{
  add (self->conclusions, worker, run->name, run->attempt, bound, now_ms);
}

/* Returns: how long after CONCLUSION an answer of WORKER was made, at least; 0: it may have been
 * made before. SENT_MS: when its poll was sent. CLOCK_MS: the worker's clock in it. */
static uint64_t
made_after_ms (const Conclusion *conclusion, const FbPoolWorker *worker, uint64_t sent_ms,
               uint64_t clock_ms)
{
  uint64_t after_ms = sent_ms > conclusion->concluded_ms ? sent_ms - conclusion->concluded_ms : 0;
  gboolean has_clock = conclusion->clock_ms != 0 && g_str_equal (conclusion->worker, worker->id);
  if (has_clock && clock_ms > conclusion->clock_ms + CLOCK_MARGIN_MS)
    after_ms = MAX (after_ms, clock_ms - conclusion->clock_ms - CLOCK_MARGIN_MS);
  return after_ms;
}

static void
refute (FbPool *self, const Conclusion *conclusion, const FbPoolWorker *worker, const char *task,
        uint32_t attempt, const char *report, uint64_t short_ms, uint64_t now_ms)
{
  fb_counter_add (FB_COUNTER_LOSSES_REFUTED, 1);
  fb_event_log (FB_EVENT_POOL_LOSS_REFUTED,
                "task=%s attempt=%u worker=%s lost=%s report=%s bound=\"%s\" short_ms=%u"
                " lost_ms_ago=%u epoch=%" G_GUINT64_FORMAT,
                task, attempt, worker->id, conclusion->worker, report, conclusion->bound,
                (guint) short_ms, (guint) (now_ms - conclusion->concluded_ms), self->epoch);
}

/* Checks RUN, which WORKER lists and which is not known there. */
static void
check_listed_run (FbPool *self, const FbPoolWorker *worker, const FbReportedRun *run,
                  uint64_t clock_ms, uint64_t now_ms)
{
  Conclusion *of_run = find (self->conclusions, run->task, run->attempt);
  /* Nothing is started on a lost worker before it has answered. */
  const Conclusion *of_worker = !worker->answered ? find (self->conclusions, worker->id, 0) : NULL;
  const Conclusion *conclusion = of_run != NULL ? of_run : of_worker;
  uint64_t short_ms
      = conclusion != NULL ? made_after_ms (conclusion, worker, worker->poll_sent_ms, clock_ms) : 0;
  if (short_ms > 0)
    refute (self, conclusion, worker, run->task, run->attempt, "listed", short_ms, now_ms);
  if (of_run != NULL)
    forget (self->conclusions, of_run);
}

static void
check_end (FbPool *self, const FbPoolWorker *worker, const FbReportedEnd *end, uint64_t now_ms)
{
  Conclusion *conclusion = find (self->conclusions, end->task, end->attempt);
  if (conclusion == NULL)
    return;
  uint64_t short_ms = worker->complete_list_sent_ms != 0 && end->number > worker->complete_list_end
                          ? made_after_ms (conclusion, worker, worker->complete_list_sent_ms,
                                           worker->complete_list_clock_ms)
                          : 0;
  if (short_ms > 0)
    refute (self, conclusion, worker, end->task, end->attempt, fb_pool_end_name (end->reason),
            short_ms, now_ms);
  forget (self->conclusions, conclusion);
}

static void
note_complete_list (const FbPool *self, FbPoolWorker *worker, const FbPollAnswer *answer)
{
  if (answer->finished->len >= self->limits.max_reported_ends)
    return;
  worker->complete_list_sent_ms = worker->poll_sent_ms;
  worker->complete_list_clock_ms = answer->clock_ms;
  for (guint i = 0; i < answer->finished->len; i++)
    worker->complete_list_end = MAX (worker->complete_list_end,
                                     g_array_index (answer->finished, FbReportedEnd, i).number);
}

void
fb_pool_conclusions_check (FbPool *self, FbPoolWorker *worker, const FbPollAnswer *answer,
                           uint64_t now_ms)
{
  gboolean has_any = self->conclusions->by_age.length > 0;
  for (guint i = 0; has_any && i < answer->running->len; i++)
    {
      const FbReportedRun *listed = &g_array_index (answer->running, FbReportedRun, i);
      const FbPoolRun *known = g_hash_table_lookup (worker->runs, listed->task);
      if (known == NULL || known->attempt != listed->attempt)
        check_listed_run (self, worker, listed, answer->clock_ms, now_ms);
    }
  for (guint i = 0; has_any && i < answer->finished->len; i++)
    check_end (self, worker, &g_array_index (answer->finished, FbReportedEnd, i), now_ms);
  Conclusion *of_worker
      = has_any && !worker->answered ? find (self->conclusions, worker->id, 0) : NULL;
  if (of_worker != NULL)
    forget (self->conclusions, of_worker);
  note_complete_list (self, worker, answer);
}
