/* Callbacks of simulated pools that need no advice and no stops. */
#pragma once

#include "internal/pool.h"

void idle_on_stop (gpointer user, const FbStopOrder *order);
/* Returns: FALSE: no daemon can forward the request. */
gboolean idle_on_request_advice (gpointer user, const char *step, const char *const *workers,
                                 guint n, uint32_t expected_ms);
void idle_on_fenced (gpointer user, const char *worker);
