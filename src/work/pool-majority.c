/* The majority of its workers that an owner needs. Workers refuse orders of a lower epoch than they
 * have seen, so while one owner has a majority under its epoch, no other can get one. */
#include "internal/pool-private.h"

#include "fb-event.h"

/* An owner that got answers from half of its workers within this time is considered connected, so
 * the silence of a worker is not attributed to the owner's own network. */
#define CONNECTED_ANSWER_MS 1500

static uint64_t
unlisted_counted_until_ms (const FbPool *self, const FbPoolWorker *worker)
{
  return MAX (worker->unlisted_ms, self->created_ms) + FB_POOL_UNLISTED_COUNTED_MS;
}

/* The list may lack most of the workers for a while, and an owner that does not reach the store
 * still counts them all, so workers that are known otherwise count until their entries must be
 * back. */
static gboolean
counts_for_majority (const FbPool *self, const FbPoolWorker *worker, uint64_t now_ms)
{
  /* No owner gets an answer of an incarnation that has ended. */
  if (worker->replaced)
    return FALSE;
  if (worker->listed)
    return TRUE;
  return !worker->runs_ended && now_ms < unlisted_counted_until_ms (self, worker);
}

typedef struct
{
  guint workers_n;
  guint answered_n; /* of these, workers that have answered recently */
} AnswerCount;

/* Answers in all workers, in those that the stored record names, and in those that the record in
 * the open flush names. */
typedef struct
{
  AnswerCount all;
  AnswerCount recorded;
  AnswerCount in_open_record;
} AnswerCounts;

static gboolean
is_majority (const AnswerCount *count)
{
  return count->answered_n * 2 > count->workers_n;
}

static void
add_worker (AnswerCount *count, gboolean has_answered)
{
  count->workers_n++;
  count->answered_n += has_answered;
}

void
fb_pool_majority_remove (FbPool *self, const FbPoolWorker *worker)
{
  const uint64_t until_ms = unlisted_counted_until_ms (self, worker);
  if ((worker->recorded || worker->in_open_record) && !worker->runs_ended && !worker->replaced)
    g_hash_table_replace (self->counted_departures, g_strdup (worker->id),
                          g_memdup2 (&until_ms, sizeof until_ms));
}

/* TRUE when the worker ID is counted itself, as it was added again and the stored record names it.
 */
static gboolean
is_recorded_again (const FbPool *self, const char *id)
{
  const FbPoolWorker *worker = g_hash_table_lookup (self->workers, id);
  return worker != NULL && worker->recorded;
}

/* Returns: the number of removed workers that count as workers without an answer. */
static guint
departures_n (const FbPool *self, uint64_t now_ms)
{
  guint n = 0;
  GHashTableIter iter;
  gpointer id;
  gpointer until_ms;
  g_hash_table_iter_init (&iter, self->counted_departures);
  while (g_hash_table_iter_next (&iter, &id, &until_ms))
    {
      if (now_ms >= *(const uint64_t *) until_ms || is_recorded_again (self, id))
        g_hash_table_iter_remove (&iter);
      else
        n++;
    }
  return n;
}

/* Returns: the answers within WITHIN_MS. */
static AnswerCounts
count_answers (const FbPool *self, uint32_t within_ms, uint64_t now_ms)
{
  AnswerCounts counts = { 0 };
  guint slot = 0;
  const FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      if (!counts_for_majority (self, worker, now_ms))
        continue;
      gboolean has_answered
          = worker->answered && now_ms - worker->answered_poll_sent_ms <= within_ms;
      add_worker (&counts.all, has_answered);
      if (worker->recorded)
        add_worker (&counts.recorded, has_answered);
      if (worker->in_open_record)
        add_worker (&counts.in_open_record, has_answered);
    }
  guint departed_n = departures_n (self, now_ms);
  counts.recorded.workers_n += counts.recorded.workers_n > 0 ? departed_n : 0;
  counts.in_open_record.workers_n += counts.in_open_record.workers_n > 0 ? departed_n : 0;
  return counts;
}

/* Two majorities have a worker in common only if both are counted over the same workers. An owner
 * and its successor both know those of the stored record; either may know others. While a new
 * record is in flight the successor may read either, so a majority of both is needed. */
gboolean
fb_pool_has_majority (const FbPool *self, uint32_t within_ms, uint64_t now_ms)
{
  /* Unknown workers count until the entries of those that are up must be back. */
  if (self->workers_unreadable && now_ms < self->created_ms + FB_POOL_UNLISTED_COUNTED_MS)
    return FALSE;
  AnswerCounts counts = count_answers (self, within_ms, now_ms);
  if (counts.in_open_record.workers_n > 0 && !is_majority (&counts.in_open_record))
    return FALSE;
  return is_majority (counts.recorded.workers_n > 0 ? &counts.recorded : &counts.all);
}

/* Half of the workers suffice here: the others may have crashed. */
gboolean
fb_pool_is_connected (const FbPool *self, uint64_t now_ms)
{
  const AnswerCount all = count_answers (self, CONNECTED_ANSWER_MS, now_ms).all;
  return all.answered_n > 0 && all.answered_n * 2 >= all.workers_n;
}

void
fb_pool_log_majority (const FbPool *self, uint64_t now_ms)
{
  AnswerCount listed = { 0 };
  AnswerCount unlisted = { 0 };
  AnswerCount recorded = { 0 };
  guint slot = 0;
  const FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (self, &slot)) != NULL)
    {
      add_worker (worker->listed ? &listed : &unlisted, worker->answered);
      if (worker->recorded)
        add_worker (&recorded, worker->answered);
    }
  fb_event_log (FB_EVENT_POOL_MAJORITY,
                "service=%s epoch=%" G_GUINT64_FORMAT
                " listed=%u answered=%u unlisted=%u unlisted_answered=%u recorded=%u"
                " recorded_answered=%u owned_ms=%u",
                self->service, self->epoch, listed.workers_n, listed.answered_n, unlisted.workers_n,
                unlisted.answered_n, recorded.workers_n, recorded.answered_n,
                (guint) (now_ms - self->created_ms));
}
