/* Which daemons relay polls only with the request that all versions know, during a rolling upgrade.
 * No I/O, clock or thread. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbRelayVersions FbRelayVersions;

FbRelayVersions *fb_relay_versions_new (void);
void fb_relay_versions_free (FbRelayVersions *self);
/* The daemon at ADDRESS did not carry out a request for progress, but then the same order without
 * it. */
void fb_relay_versions_add_plain (FbRelayVersions *self, const char *address, uint64_t now_ms);
/* TRUE when that happened a short time ago; the daemon may have been upgraded since an earlier
 * time. */
gboolean fb_relay_versions_is_plain (FbRelayVersions *self, const char *address, uint64_t now_ms);
