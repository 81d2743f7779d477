#include "advice-queue.h"

#include "advice-balancer.h"

/* Failure: two pools have questions, one of them long ones for every daemon; a daemon that takes
 * them as they come gives one short answer for each long one, 50 a second in all instead of 300
 * with 30 daemons; it shows as one service of which nothing is done in time for as long as the
 * other one has a backlog, and as tasks that last and wait for seconds.  Guard: who has waited
 * longest in shares of its own time goes first, so that short questions get three fifths of the
 * time when both wait, and a long one waits for at most this many times its own time. */
#define STRETCH 1.5
/* Short questions may follow each other at the service without a pause for the way. */
#define SHORT_AT_ONCE 2

typedef struct
{
  gpointer question;
  uint32_t expected_ms;
  uint64_t due_ms; /* who is due first goes first */
} Waiting;

struct _FbAdviceLine
{
  GArray *waiting; /* of Waiting */
  GArray *called;  /* of Waiting: with the service */
};

FbAdviceLine *
fb_advice_line_new (void)
{
  FbAdviceLine *self = g_new0 (FbAdviceLine, 1);
  self->waiting = g_array_new (FALSE, FALSE, sizeof (Waiting));
  self->called = g_array_new (FALSE, FALSE, sizeof (Waiting));
  return self;
}

void
fb_advice_line_free (FbAdviceLine *self)
{
  g_array_unref (self->waiting);
  g_array_unref (self->called);
  g_free (self);
}

void
fb_advice_line_wait (FbAdviceLine *self, gpointer question, uint32_t expected_ms, uint64_t now_ms)
{
  const Waiting waiting = { .question = question,
                            .expected_ms = expected_ms,
                            .due_ms = now_ms + (uint64_t) (STRETCH * expected_ms) };
  g_array_append_val (self->waiting, waiting);
}

static gboolean
is_short (const Waiting *waiting)
{
  return waiting->expected_ms < FB_ADVICE_LONG_MS;
}

/* Returns: the index of who is due first; WAITING->len when nobody waits. */
static guint
first_due (const FbAdviceLine *self)
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
may_follow (const FbAdviceLine *self, const Waiting *next)
{
  if (self->called->len == 0)
    return TRUE;
  return self->called->len < SHORT_AT_ONCE && is_short (next)
         && is_short (&g_array_index (self->called, Waiting, 0));
}

gpointer
fb_advice_line_next (FbAdviceLine *self)
{
  guint at = first_due (self);
  if (at >= self->waiting->len)
    return NULL;
  const Waiting next = g_array_index (self->waiting, Waiting, at);
  if (!may_follow (self, &next))
    return NULL;
  g_array_remove_index (self->waiting, at);
  g_array_append_val (self->called, next);
  return next.question;
}

void
fb_advice_line_ended (FbAdviceLine *self, gconstpointer question)
{
  for (guint i = 0; i < self->called->len; i++)
    {
      if (g_array_index (self->called, Waiting, i).question != question)
        continue;
      g_array_remove_index (self->called, i);
      return;
    }
}
