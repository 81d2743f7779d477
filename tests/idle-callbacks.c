#include "idle-callbacks.h"

void
idle_on_stop (gpointer user, const FbStopOrder *order)
{
  (void) user;
  (void) order;
}

gboolean
idle_on_request_advice (gpointer user, const char *step, const char *const *workers, guint n,
                        uint32_t expected_ms)
{
  (void) user;
  (void) step;
  (void) workers;
  (void) n;
  (void) expected_ms;
  return FALSE;
}

void
idle_on_fenced (gpointer user, const char *worker)
{
  (void) user;
  (void) worker;
}
