/* The clocks of a daemon on the platform. */
#pragma once

#include <stdint.h>

/* Time that goes on while the host is suspended, in ms. */
uint64_t fb_clock_ms (void);
/* Time since 1970 in ms, as this host has it. */
uint64_t fb_clock_wall_ms (void);
