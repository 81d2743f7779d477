/* Periodic timers on an external clock: components subscribe, and one driver advances the time.
 *
 * The daemon drives the service from the monotonic clock of its core thread, tests and the fuzzer
 * drive it by hand, so that both run the same code. Not thread-safe: a service belongs to one
 * thread. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbTimer FbTimer;
typedef void (*FbTimerFunc) (gpointer user, uint64_t now_ms);

/* Returns: (transfer full): a service whose current time is NOW_MS. */
FbTimer *fb_timer_new (uint64_t now_ms);
void fb_timer_free (FbTimer *self);

/* Calls FUNC every PERIOD_MS (at least 1), for the first time after one period. Returns: an id for
 * fb_timer_unsubscribe(), never 0. */
guint fb_timer_subscribe (FbTimer *self, uint64_t period_ms, FbTimerFunc func, gpointer user);
void fb_timer_unsubscribe (FbTimer *self, guint id);

/* Calls the functions that are due up to NOW_MS. A subscriber that is several periods behind, for
 * example because the process was suspended, is called once, not once per missed period. */
void fb_timer_advance (FbTimer *self, uint64_t now_ms);
