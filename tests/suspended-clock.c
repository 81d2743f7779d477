#include "suspended-clock.h"

#include <time.h>

static gint suspended_s; /* seconds added to CLOCK_BOOTTIME; atomic */

int __real_clock_gettime (clockid_t clock, struct timespec *now);
int __wrap_clock_gettime (clockid_t clock, struct timespec *now);

int
__wrap_clock_gettime (clockid_t clock, struct timespec *now)
{
  int result = __real_clock_gettime (clock, now);
  if (clock == CLOCK_BOOTTIME)
    now->tv_sec += g_atomic_int_get (&suspended_s);
  return result;
}

void
suspended_clock_add (guint seconds)
{
  g_atomic_int_add (&suspended_s, (gint) seconds);
}
