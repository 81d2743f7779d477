/* What callers of a daemon on the platform are served: jobs, cancels, states and counts. */
#pragma once

#include <libsoup/soup.h>

void fb_entry_front_serve (SoupServer *server, SoupServerMessage *message, const char *path,
                           GHashTable *query, gpointer entry);
/* The longest that a caller waits here: all ways to store a job, one after the other. */
#define FB_FRONT_LONGEST_CALL_MS 2600
