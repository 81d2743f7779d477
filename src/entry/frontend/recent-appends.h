/* Jobs that this daemon has tried to store during the last seconds.  No I/O, clock or thread.
 *
 * Their outcome may be unknown to the caller and to the owner of the pool, so such a job is not
 * refused when it comes again: the refusal would say that the job is not run. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct _FbRecentAppends FbRecentAppends;

FbRecentAppends *fb_recent_appends_new (void);
void fb_recent_appends_free (FbRecentAppends *self);
/* Storing JOB begins, or ends. */
void fb_recent_appends_note (FbRecentAppends *self, const char *job, uint64_t now_ms);
/* Returns: TRUE when JOB may have been stored. */
gboolean fb_recent_appends_contain (FbRecentAppends *self, const char *job, uint64_t now_ms);
