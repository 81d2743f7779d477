/* HTTP front end for callers: jobs, cancels, states and counts. */
#pragma once

#include <libsoup/soup.h>

void fb_entry_front_serve (SoupServer *server, SoupServerMessage *message, const char *path,
                           GHashTable *query, gpointer entry);
/* Longest time that a caller waits for an answer, with all ways to store a job tried one after the
 * other. */
#define FB_FRONT_LONGEST_CALL_MS 2600
/* How long an append in doubt is repeated from this daemon before peers are asked; callers wait
 * about 3 s. */
#define FB_FRONT_STORE_MS 700
