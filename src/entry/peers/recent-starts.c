#include "recent-starts.h"

/* An owner is replaced some 2 s after its last order, and its successor takes up to some seconds to
 * ask; what is older has ended or was recorded. */
#define KEPT_MS 10000
/* Nothing is recorded and nobody takes over while the store is away.  A start that the worker had
 * said is there is proof enough to be told later. */
#define SEEN_KEPT_MS 40000
/* So many lists of a worker that lack a run prove that it has ended. */
#define MISSED_MOST 2

typedef struct
{
  char *worker; /* its id */
  char *address;
  char *task;
  uint32_t attempt;
  uint64_t sent_ms;
  gboolean seen; /* the worker has said that it is there */
  guint missed;  /* lists of the worker in a row that lack it, since then */
} Start;

typedef struct
{
  GQueue starts;   /* of Start, borrowed; the oldest at its head */
  gboolean silent; /* the last order to it got no answer */
} Target;

struct _FbRecentStarts
{
  GHashTable *targets; /* id of a worker -> Target, of those with starts */
  GQueue starts;       /* of Start; the oldest at its head */
};

static void
start_free (gpointer data)
{
  Start *start = data;
  g_free (start->worker);
  g_free (start->address);
  g_free (start->task);
  g_free (start);
}

static void
target_free (gpointer data)
{
  Target *target = data;
  g_queue_clear (&target->starts);
  g_free (target);
}

FbRecentStarts *
fb_recent_starts_new (void)
{
  FbRecentStarts *self = g_new0 (FbRecentStarts, 1);
  self->targets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, target_free);
  g_queue_init (&self->starts);
  return self;
}

void
fb_recent_starts_free (FbRecentStarts *self)
{
  g_hash_table_unref (self->targets);
  g_queue_clear_full (&self->starts, start_free);
  g_free (self);
}

static Target *
target_for (FbRecentStarts *self, const char *worker)
{
  Target *target = g_hash_table_lookup (self->targets, worker);
  if (target != NULL)
    return target;
  target = g_new0 (Target, 1);
  g_queue_init (&target->starts);
  g_hash_table_insert (self->targets, g_strdup (worker), target);
  return target;
}

static void
drop_oldest (FbRecentStarts *self)
{
  Start *start = g_queue_pop_head (&self->starts);
  Target *target = g_hash_table_lookup (self->targets, start->worker);
  (void) g_queue_pop_head (&target->starts);
  if (g_queue_is_empty (&target->starts))
    g_hash_table_remove (self->targets, start->worker);
  start_free (start);
}

static gboolean
is_kept (const Start *start, uint64_t now_ms)
{
  return now_ms < start->sent_ms + (start->seen ? SEEN_KEPT_MS : KEPT_MS);
}

void
fb_recent_starts_sent (FbRecentStarts *self, const char *worker, const char *address,
                       const char *task, uint32_t attempt, uint64_t now_ms)
{
  const Start *oldest = NULL;
  while ((oldest = g_queue_peek_head (&self->starts)) != NULL
         && (!is_kept (oldest, now_ms) || self->starts.length >= FB_WORK_MAX_STARTS))
    drop_oldest (self);
  Start *start = g_new0 (Start, 1);
  start->worker = g_strdup (worker);
  start->address = g_strdup (address);
  start->task = g_strdup (task);
  start->attempt = attempt;
  start->sent_ms = now_ms;
  g_queue_push_tail (&self->starts, start);
  g_queue_push_tail (&target_for (self, worker)->starts, start);
}

/* The start at LINK of TARGET has ended, or never began. */
static void
drop_start (FbRecentStarts *self, Target *target, GList *link)
{
  Start *start = link->data;
  g_queue_delete_link (&target->starts, link);
  g_queue_remove (&self->starts, start);
  start_free (start);
}

static void
drop_if_empty (FbRecentStarts *self, const char *worker, Target *target)
{
  if (g_queue_is_empty (&target->starts))
    g_hash_table_remove (self->targets, worker);
}

/* TRUE when a worker that was sent an order with RESULT lives on. */
static gboolean
was_heard (FbOrderResult result)
{
  return result != FB_ORDER_UNKNOWN && result != FB_ORDER_OTHER_INCARNATION
         && result != FB_ORDER_NO_LISTENER;
}

void
fb_recent_starts_answered (FbRecentStarts *self, const char *worker, const char *task,
                           uint32_t attempt, FbOrderResult result)
{
  Target *target = g_hash_table_lookup (self->targets, worker);
  if (target == NULL)
    return;
  target->silent = !was_heard (result);
  for (GList *l = target->starts.head, *next = NULL; l != NULL; l = next)
    {
      Start *start = l->data;
      next = l->next;
      if (start->attempt != attempt || !g_str_equal (start->task, task))
        continue;
      start->seen |= result == FB_ORDER_DONE;
      /* A run of a superseded attempt may be there. */
      if (result != FB_ORDER_DONE && result != FB_ORDER_UNKNOWN && result != FB_ORDER_SUPERSEDED)
        drop_start (self, target, l);
    }
  drop_if_empty (self, worker, target);
}

static void
take_end (FbRecentStarts *self, Target *target, const FbReportedEnd *end)
{
  for (GList *l = target->starts.head, *next = NULL; l != NULL; l = next)
    {
      const Start *start = l->data;
      next = l->next;
      if (start->attempt <= end->attempt && g_str_equal (start->task, end->task))
        drop_start (self, target, l);
    }
}

static gboolean
is_running (const Start *start, const GArray *running)
{
  for (guint i = 0; i < running->len; i++)
    {
      const FbReportedRun *run = &g_array_index (running, FbReportedRun, i);
      if (start->attempt == run->attempt && g_str_equal (start->task, run->task))
        return TRUE;
    }
  return FALSE;
}

/* A run that is not listed any more has ended, and another daemon heard the end.  One list that
 * lacks it may be older than the run. */
static void
take_running (FbRecentStarts *self, Target *target, const GArray *running)
{
  for (GList *l = target->starts.head, *next = NULL; l != NULL; l = next)
    {
      Start *start = l->data;
      next = l->next;
      if (is_running (start, running))
        {
          start->seen = TRUE;
          start->missed = 0;
        }
      else if (start->seen && ++start->missed == MISSED_MOST)
        drop_start (self, target, l);
    }
}

void
fb_recent_starts_polled (FbRecentStarts *self, const char *worker, const FbPollAnswer *answer)
{
  Target *target = g_hash_table_lookup (self->targets, worker);
  if (target == NULL)
    return;
  target->silent = !was_heard (answer->result);
  if (answer->result == FB_ORDER_DONE)
    take_running (self, target, answer->running);
  for (guint i = 0; answer->finished != NULL && i < answer->finished->len; i++)
    take_end (self, target, &g_array_index (answer->finished, FbReportedEnd, i));
  drop_if_empty (self, worker, target);
}

void
fb_recent_starts_list (const FbRecentStarts *self, uint64_t now_ms, fb_recent_starts_reply *told)
{
  told->starts.starts_val = g_new0 (fb_recent_start, self->starts.length);
  told->starts.starts_len = 0;
  for (const GList *l = self->starts.head; l != NULL; l = l->next)
    {
      const Start *start = l->data;
      const Target *target = g_hash_table_lookup (self->targets, start->worker);
      if (!target->silent || !is_kept (start, now_ms))
        continue;
      told->starts.starts_val[told->starts.starts_len++]
          = (fb_recent_start){ start->worker, start->address, start->task, start->attempt,
                               start->seen };
    }
}
