#include "advice-queue.h"

#include "advice-balancer.h"

/* Failure: two pools send requests, one of them long ones to every daemon.  A daemon that sends
 * them in order of arrival returns one short answer for each long one: 50 a second in all instead
 * of 300 with 30 daemons.  It shows as one service whose tasks are all late for as long as the
 * other has a backlog, and as long-running tasks that wait for seconds.  Guard: a request becomes
 * due DUE_FACTOR times its own duration after its arrival, and the earliest due goes first.  When
 * both kinds wait, short requests get three fifths of the time, and a long request waits at most
 * DUE_FACTOR times its own duration. */
#define DUE_FACTOR 1.5
/* Two short requests may be open at the service at once, to hide the round trip. */
#define SHORT_MAX 2

typedef struct
{
  gpointer request;
  uint32_t expected_ms;
  uint64_t due_ms; /* the earliest due is sent first */
} Waiting;

struct _FbAdviceQueue
{
  GArray *waiting; /* of Waiting */
  GArray *called;  /* of Waiting: open calls to the service */
};

FbAdviceQueue *
fb_advice_queue_new (void)
{
  FbAdviceQueue *self = g_new0 (FbAdviceQueue, 1);
  self->waiting = g_array_new (FALSE, FALSE, sizeof (Waiting));
  self->called = g_array_new (FALSE, FALSE, sizeof (Waiting));
  return self;
}

void
fb_advice_queue_free (FbAdviceQueue *self)
{
  g_array_unref (self->waiting);
  g_array_unref (self->called);
  g_free (self);
}

void
fb_advice_queue_add (FbAdviceQueue *self, gpointer request, uint32_t expected_ms, uint64_t now_ms)
{
  const Waiting waiting = { .request = request,
                            .expected_ms = expected_ms,
                            .due_ms = now_ms + (uint64_t) (DUE_FACTOR * expected_ms) };
  g_array_append_val (self->waiting, waiting);
}

static gboolean
is_short (const Waiting *waiting)
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
      if (g_array_index (self->waiting, Waiting, i).due_ms
          < g_array_index (self->waiting, Waiting, first).due_ms)
        first = i;
    }
  return first;
}

static gboolean
may_send (const FbAdviceQueue *self, const Waiting *next)
{
  if (self->called->len == 0)
    return TRUE;
  return self->called->len < SHORT_MAX && is_short (next)
         && is_short (&g_array_index (self->called, Waiting, 0));
}

gpointer
fb_advice_queue_next (FbAdviceQueue *self)
{
  guint at = first_due (self);
  if (at >= self->waiting->len)
    return NULL;
  const Waiting next = g_array_index (self->waiting, Waiting, at);
  if (!may_send (self, &next))
    return NULL;
  g_array_remove_index (self->waiting, at);
  g_array_append_val (self->called, next);
  return next.request;
}

void
fb_advice_queue_ended (FbAdviceQueue *self, gconstpointer request)
{
  for (guint i = 0; i < self->called->len; i++)
    {
      if (g_array_index (self->called, Waiting, i).request != request)
        continue;
      g_array_remove_index (self->called, i);
      return;
    }
}
