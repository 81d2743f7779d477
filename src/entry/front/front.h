/* What callers of a daemon on the platform are served: jobs, cancels, states and counts. */
#pragma once

#include <libsoup/soup.h>

void fb_entry_front_serve (SoupServer *server, SoupServerMessage *message, const char *path,
                           GHashTable *query, gpointer entry);
/* The longest that a caller waits here: all ways to store a job, one after the other. */
#define FB_FRONT_LONGEST_CALL_MS 2600
/* Doubt about a call of the store is resolved by repeating it for this long, then by
 * peers; callers wait about 3 s. */
#define FB_FRONT_STORE_MS 700
