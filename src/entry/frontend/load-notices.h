/* Notices of overloaded pools that this daemon has received from their owners.  No I/O, clock or
 * thread.
 *
 * A daemon asks the owner of a pool about new jobs only while it has a valid notice, so that there
 * are no such messages without an overload, and it accepts jobs without asking as soon as it hears
 * nothing more from the owner. */
#pragma once

#include "rpc/work.h"

#include <glib.h>
#include <stdint.h>

typedef struct _FbLoadNotices FbLoadNotices;

FbLoadNotices *fb_load_notices_new (void);
void fb_load_notices_free (FbLoadNotices *self);
/* Notices of a lower epoch, or with a lower number of the same epoch, are ignored. */
void fb_load_notices_put (FbLoadNotices *self, const fb_load_notice *notice, uint64_t now_ms);
/* Returns: TRUE when the pool of SERVICE is overloaded according to a valid notice; sets EPOCH to
 * the epoch of its owner. */
gboolean fb_load_notices_is_overloaded (const FbLoadNotices *self, const char *service,
                                        uint64_t now_ms, uint64_t *epoch);
