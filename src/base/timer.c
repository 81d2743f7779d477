#include "fb-timer.h"

typedef struct
{
  guint id;
  uint64_t period_ms;
  uint64_t due_ms;
  FbTimerFunc func;
  gpointer user;
} Subscription;

struct _FbTimer
{
  uint64_t now_ms;
  guint last_id;
  GSequence *by_due;
};

static int
compare_due (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void) unused;
  const Subscription *x = a;
  const Subscription *y = b;
  if (x->due_ms != y->due_ms)
    return x->due_ms < y->due_ms ? -1 : 1;
  return (x->id > y->id) - (x->id < y->id);
}

FbTimer *
fb_timer_new (uint64_t now_ms)
{
  FbTimer *self = g_new0 (FbTimer, 1);
  self->now_ms = now_ms;
  self->by_due = g_sequence_new (g_free);
  return self;
}

void
fb_timer_free (FbTimer *self)
{
  g_sequence_free (self->by_due);
  g_free (self);
}

guint
fb_timer_subscribe (FbTimer *self, uint64_t period_ms, FbTimerFunc func, gpointer user)
{
  Subscription *sub = g_new0 (Subscription, 1);
  sub->id = ++self->last_id;
  sub->period_ms = MAX (period_ms, 1);
  sub->due_ms = self->now_ms + sub->period_ms;
  sub->func = func;
  sub->user = user;
  g_sequence_insert_sorted (self->by_due, sub, compare_due, NULL);
  return sub->id;
}

void
fb_timer_unsubscribe (FbTimer *self, guint id)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (self->by_due);
  while (!g_sequence_iter_is_end (iter))
    {
      Subscription *sub = g_sequence_get (iter);
      if (sub->id == id)
        {
          g_sequence_remove (iter);
          return;
        }
      iter = g_sequence_iter_next (iter);
    }
}

void
fb_timer_advance (FbTimer *self, uint64_t now_ms)
{
  self->now_ms = MAX (self->now_ms, now_ms);
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (self->by_due);
      if (g_sequence_iter_is_end (first))
        return;
      Subscription *sub = g_sequence_get (first);
      if (sub->due_ms > self->now_ms)
        return;
      uint64_t behind_ms = self->now_ms - sub->due_ms;
      sub->due_ms += (behind_ms / sub->period_ms + 1) * sub->period_ms;
      g_sequence_sort_changed (first, compare_due, NULL);
      sub->func (sub->user, self->now_ms);
    }
}
