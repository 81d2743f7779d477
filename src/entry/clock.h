/* The clocks of a daemon on the platform. */
#pragma once

#include <stdint.h>

/* Returns: monotonic time in ms, which includes time while the host is suspended. */
uint64_t fb_clock_ms (void);
/* Returns: time since 1970 in ms, by this host's clock. */
uint64_t fb_clock_wall_ms (void);
