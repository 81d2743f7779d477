/* Simulates a suspended host in programs that are linked with --wrap=clock_gettime. */
#pragma once

#include <glib.h>

/* Advances CLOCK_BOOTTIME, which includes suspended time, by SECONDS.  Thread-safe. */
void suspended_clock_add (guint seconds);
