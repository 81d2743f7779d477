#include "recent-starts.h"

/* Maximum age of a start.  An owner is replaced some 2 s after its last order, and its successor
 * may take some more seconds until it sends its request; older starts have ended or were
 * recorded. */
#define START_MAX_AGE_MS 10000
/* The same for a start that the worker has confirmed.  While the store is unavailable, nothing is
 * recorded and no daemon takes over; a confirmed start is still sufficient evidence afterwards. */
#define CONFIRMED_MAX_AGE_MS 40000
/* Time without an answer after which a worker counts as unheard.  Its owner polls it several times
 * in this time. */
#define UNHEARD_AFTER_MS 1300
/* Number of consecutive lists of a worker's runs without the run that prove that it has ended. */
#define MISSING_MAX 2

typedef struct
{
  char *worker; /* id of the worker */
  char *address;
  char *task;
  uint32_t attempt;
  uint64_t sent_ms;
  gboolean confirmed; /* the worker has confirmed the run */
  guint missing_n;    /* number of consecutive run lists without it since it was last listed */
} Start;

typedef struct
{
  GQueue starts;         /* of Start, borrowed, oldest first */
  uint64_t heard_ms;     /* when a result last implied that it is running, or the first start */
  gboolean unresponsive; /* nothing implies that it is running since its last order, or since it
                            was unlisted */
} WorkerStarts;

struct _FbRecentStarts
{
  GHashTable *workers; /* id of a worker -> WorkerStarts, only for workers with starts */
  GQueue starts;       /* of Start, oldest first */
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
worker_starts_free (gpointer data)
{
  WorkerStarts *worker_starts = data;
  g_queue_clear (&worker_starts->starts);
  g_free (worker_starts);
}

FbRecentStarts *
fb_recent_starts_new (void)
{
  FbRecentStarts *self = g_new0 (FbRecentStarts, 1);
  self->workers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, worker_starts_free);
  g_queue_init (&self->starts);
  return self;
}

void
fb_recent_starts_free (FbRecentStarts *self)
{
  g_hash_table_unref (self->workers);
  g_queue_clear_full (&self->starts, start_free);
  g_free (self);
}

static WorkerStarts *
worker_starts_for (FbRecentStarts *self, const char *worker, uint64_t now_ms)
{
  WorkerStarts *worker_starts = g_hash_table_lookup (self->workers, worker);
  if (worker_starts != NULL)
    return worker_starts;
  worker_starts = g_new0 (WorkerStarts, 1);
  g_queue_init (&worker_starts->starts);
  worker_starts->heard_ms = now_ms;
  g_hash_table_insert (self->workers, g_strdup (worker), worker_starts);
  return worker_starts;
}

static void
evict (FbRecentStarts *self, GList *link)
{
  Start *start = link->data;
  WorkerStarts *worker_starts = g_hash_table_lookup (self->workers, start->worker);
  g_queue_remove (&worker_starts->starts, start);
  if (g_queue_is_empty (&worker_starts->starts))
    g_hash_table_remove (self->workers, start->worker);
  g_queue_delete_link (&self->starts, link);
  start_free (start);
}

static gboolean
is_unresponsive (const FbRecentStarts *self, const Start *start)
{
  return ((const WorkerStarts *) g_hash_table_lookup (self->workers, start->worker))->unresponsive;
}

/* Evicts the oldest start on a worker that seems to be running, or the oldest one if there is
 * none. */
static void
evict_one (FbRecentStarts *self)
{
  GList *link = self->starts.head;
  for (GList *l = link; l != NULL; l = l->next)
    {
      if (is_unresponsive (self, l->data))
        continue;
      link = l;
      break;
    }
  if (link != NULL)
    evict (self, link);
}

static gboolean
is_recent (const Start *start, uint64_t now_ms)
{
  return now_ms < start->sent_ms + (start->confirmed ? CONFIRMED_MAX_AGE_MS : START_MAX_AGE_MS);
}

void
fb_recent_starts_sent (FbRecentStarts *self, const char *worker, const char *address,
                       const char *task, uint32_t attempt, uint64_t now_ms)
{
  GList *oldest = NULL;
  while ((oldest = self->starts.head) != NULL && !is_recent (oldest->data, now_ms))
    evict (self, oldest);
  if (self->starts.length >= FB_WORK_MAX_STARTS)
    evict_one (self);
  Start *start = g_new0 (Start, 1);
  start->worker = g_strdup (worker);
  start->address = g_strdup (address);
  start->task = g_strdup (task);
  start->attempt = attempt;
  start->sent_ms = now_ms;
  g_queue_push_tail (&self->starts, start);
  g_queue_push_tail (&worker_starts_for (self, worker, now_ms)->starts, start);
}

/* Removes the start at LINK of WORKER_STARTS, whose run has ended or was never created. */
static void
remove_start (FbRecentStarts *self, WorkerStarts *worker_starts, GList *link)
{
  Start *start = link->data;
  g_queue_delete_link (&worker_starts->starts, link);
  g_queue_remove (&self->starts, start);
  start_free (start);
}

static void
remove_if_empty (FbRecentStarts *self, const char *worker, WorkerStarts *worker_starts)
{
  if (g_queue_is_empty (&worker_starts->starts))
    g_hash_table_remove (self->workers, worker);
}

/* Returns: TRUE when RESULT of an order implies that the worker is running. */
static gboolean
implies_running (FbOrderResult result)
{
  return result != FB_ORDER_UNKNOWN && result != FB_ORDER_OTHER_INCARNATION
         && result != FB_ORDER_NO_LISTENER;
}

static void
record_result (WorkerStarts *worker_starts, FbOrderResult result, uint64_t now_ms)
{
  /* A call that was not sent says nothing about the worker. */
  if (result == FB_ORDER_NOT_DONE)
    return;
  worker_starts->unresponsive = !implies_running (result);
  if (!worker_starts->unresponsive)
    worker_starts->heard_ms = now_ms;
}

void
fb_recent_starts_answered (FbRecentStarts *self, const char *worker, const char *task,
                           uint32_t attempt, FbOrderResult result, uint64_t now_ms)
{
  WorkerStarts *worker_starts = g_hash_table_lookup (self->workers, worker);
  if (worker_starts == NULL)
    return;
  record_result (worker_starts, result, now_ms);
  for (GList *l = worker_starts->starts.head, *next = NULL; l != NULL; l = next)
    {
      Start *start = l->data;
      next = l->next;
      if (start->attempt != attempt || !g_str_equal (start->task, task))
        continue;
      start->confirmed |= result == FB_ORDER_DONE;
      /* The worker may have a run even if the attempt is superseded. */
      if (result != FB_ORDER_DONE && result != FB_ORDER_UNKNOWN && result != FB_ORDER_SUPERSEDED)
        remove_start (self, worker_starts, l);
    }
  remove_if_empty (self, worker, worker_starts);
}

static void
remove_ended (FbRecentStarts *self, WorkerStarts *worker_starts, const FbReportedEnd *end)
{
  for (GList *l = worker_starts->starts.head, *next = NULL; l != NULL; l = next)
    {
      const Start *start = l->data;
      next = l->next;
      if (start->attempt <= end->attempt && g_str_equal (start->task, end->task))
        remove_start (self, worker_starts, l);
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

/* Compares the starts with the list of runs.  A run that is no longer listed has ended, and its end
 * was reported to another daemon.  A single list without the run may be older than the run. */
static void
apply_running (FbRecentStarts *self, WorkerStarts *worker_starts, const GArray *running)
{
  for (GList *l = worker_starts->starts.head, *next = NULL; l != NULL; l = next)
    {
      Start *start = l->data;
      next = l->next;
      if (is_running (start, running))
        {
          start->confirmed = TRUE;
          start->missing_n = 0;
        }
      else if (start->confirmed && ++start->missing_n == MISSING_MAX)
        remove_start (self, worker_starts, l);
    }
}

void
fb_recent_starts_polled (FbRecentStarts *self, const char *worker, const FbPollAnswer *answer,
                         uint64_t now_ms)
{
  WorkerStarts *worker_starts = g_hash_table_lookup (self->workers, worker);
  if (worker_starts == NULL)
    return;
  record_result (worker_starts, answer->result, now_ms);
  if (answer->result == FB_ORDER_DONE)
    apply_running (self, worker_starts, answer->running);
  for (guint i = 0; answer->finished != NULL && i < answer->finished->len; i++)
    remove_ended (self, worker_starts, &g_array_index (answer->finished, FbReportedEnd, i));
  remove_if_empty (self, worker, worker_starts);
}

void
fb_recent_starts_unlisted (FbRecentStarts *self, const char *worker)
{
  WorkerStarts *worker_starts = g_hash_table_lookup (self->workers, worker);
  if (worker_starts != NULL)
    worker_starts->unresponsive = TRUE;
}

static gboolean
is_unheard (const WorkerStarts *worker_starts, const Start *start, uint64_t now_ms)
{
  return now_ms >= worker_starts->heard_ms + UNHEARD_AFTER_MS
         && now_ms < start->sent_ms + START_MAX_AGE_MS;
}

void
fb_recent_starts_list (const FbRecentStarts *self, gboolean unheard, uint64_t now_ms,
                       fb_recent_starts_reply *peer_reply)
{
  peer_reply->starts.starts_val = g_new0 (fb_recent_start, self->starts.length);
  peer_reply->starts.starts_len = 0;
  for (const GList *l = self->starts.head; l != NULL; l = l->next)
    {
      const Start *start = l->data;
      const WorkerStarts *worker_starts = g_hash_table_lookup (self->workers, start->worker);
      if (!is_recent (start, now_ms)
          || !(worker_starts->unresponsive
               || (unheard && is_unheard (worker_starts, start, now_ms))))
        continue;
      peer_reply->starts.starts_val[peer_reply->starts.starts_len++]
          = (fb_recent_start){ start->worker, start->address, start->task, start->attempt,
                               start->confirmed };
    }
}
