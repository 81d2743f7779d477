/* A host that is suspended, for programs linked with --wrap=clock_gettime. */
#pragma once

#include <glib.h>

/* The clock that goes on while the host is suspended shows SECONDS more.  Thread safe. */
void suspended_clock_add (guint seconds);
