#include "advice-queue.h"

#include "advice-balancer.h"

/* Earliest deadline first: a request is due DUE_FACTOR times its own expected duration after its
 * arrival.  While both kinds wait, short requests get three fifths of the time, and a long request
 * waits at most DUE_FACTOR times its own duration.
 *
 * With two pools, one of which sends long requests to every daemon, sending in order of arrival
 * gives one short answer for each long one: with 30 daemons 50 a second in total instead of 300.
 * All tasks of the service with short requests are then late for as long as the other has a
 * backlog, and long-running tasks wait for seconds. */
#define DUE_FACTOR 1.5
/* Maximum number of short requests that are open at the service, to hide the round-trip time. */
#define SHORT_MAX 2

typedef struct
{
  gpointer request;
  uint32_t expected_ms;
  uint64_t due_ms; /* the earliest due is sent first */
} QueuedRequest;

struct _FbAdviceQueue
{
  GArray *waiting; /* of QueuedRequest */
  GArray *open;    /* of QueuedRequest: open calls to the service */
};

FbAdviceQueue *
fb_advice_queue_new (void)
{
  FbAdviceQueue *self = g_new0 (FbAdviceQueue, 1);
  self->waiting = g_array_new (FALSE, FALSE, sizeof (QueuedRequest));
  self->open = g_array_new (FALSE, FALSE, sizeof (QueuedRequest));
  return self;
}

void
fb_advice_queue_free (FbAdviceQueue *self)
{
  g_array_unref (self->waiting);
  g_array_unref (self->open);
  g_free (self);
}

void
fb_advice_queue_add (FbAdviceQueue *self, gpointer request, uint32_t expected_ms, uint64_t now_ms)
{
  const QueuedRequest waiting = { .request = request,
                                  .expected_ms = expected_ms,
                                  .due_ms = now_ms + (uint64_t) (DUE_FACTOR * expected_ms) };
  g_array_append_val (self->waiting, waiting);
}

static gboolean
is_short (const QueuedRequest *waiting)
{
  return waiting->expected_ms < FB_ADVICE_LONG_MS;
}

/* Returns: the index of the request that is due first; waiting->len when none waits. */
static guint
first_due (const FbAdviceQueue *self)
{
  guint first = 0;
  for (guint i = 1; i < self->waiting->len; i++)
    {
      if (g_array_index (self->waiting, QueuedRequest, i).due_ms
          < g_array_index (self->waiting, QueuedRequest, first).due_ms)
        first = i;
    }
  return first;
}

static gboolean
may_send_next (const FbAdviceQueue *self, const QueuedRequest *next)
{
  if (self->open->len == 0)
    return TRUE;
  return self->open->len < SHORT_MAX && is_short (next)
         && is_short (&g_array_index (self->open, QueuedRequest, 0));
}

gpointer
fb_advice_queue_next (FbAdviceQueue *self)
{
  guint at = first_due (self);
  if (at >= self->waiting->len)
    return NULL;
  const QueuedRequest next = g_array_index (self->waiting, QueuedRequest, at);
  if (!may_send_next (self, &next))
    return NULL;
  g_array_remove_index (self->waiting, at);
  g_array_append_val (self->open, next);
  return next.request;
}

void
fb_advice_queue_ended (FbAdviceQueue *self, gconstpointer request)
{
  for (guint i = 0; i < self->open->len; i++)
    {
      if (g_array_index (self->open, QueuedRequest, i).request != request)
        continue;
      g_array_remove_index (self->open, i);
      return;
    }
}
