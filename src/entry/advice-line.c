#include "advice-line.h"

struct _FbAdviceLine
{
  GQueue waiting; /* of questions, borrowed */
};

FbAdviceLine *
fb_advice_line_new (void)
{
  return g_new0 (FbAdviceLine, 1);
}

void
fb_advice_line_free (FbAdviceLine *self)
{
  g_queue_clear (&self->waiting);
  g_free (self);
}

void
fb_advice_line_wait (FbAdviceLine *self, gpointer question, uint32_t expected_ms, uint64_t now_ms)
{
  (void) expected_ms;
  (void) now_ms;
  g_queue_push_tail (&self->waiting, question);
}

gpointer
fb_advice_line_next (FbAdviceLine *self)
{
  return g_queue_pop_head (&self->waiting);
}

void
fb_advice_line_ended (FbAdviceLine *self, gconstpointer question)
{
  (void) self;
  (void) question;
}
