/* The clocks of a daemon on the platform. */
#pragma once

#include <stdint.h>

/* Returns: monotonic time in ms, including time while the host is suspended. */
uint64_t fb_clock_ms (void);
/* Returns: wall-clock time of this host in ms since 1970. */
uint64_t fb_clock_wall_ms (void);
