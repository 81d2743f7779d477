/* HTTP front end for callers: submits and cancels jobs, returns their states and the number of
 * pending jobs. */
#pragma once

#include <libsoup/soup.h>

void fb_entry_frontend_serve (SoupServer *server, SoupServerMessage *message, const char *path,
                              GHashTable *query, gpointer entry);
/* Maximum time until a caller is answered, if all ways to store a job are tried in sequence. */
#define FB_ENTRY_FRONTEND_CALL_MAX_MS 2600
/* Maximum time for which an append of unknown outcome is repeated from this daemon before peers are
 * used; callers wait about 3 s. */
#define FB_ENTRY_FRONTEND_STORE_MS 700
