/* The starts of tasks that went out from this daemon of late, for the next owner of their pool.
 *
 * Failure: an owner starts a task that crashes its worker, and is replaced before it knows of the
 * crash; no record tells of that start, the next owner counts from the beginning, and it shows as
 * workers that go on crashing while owners change.  Guard: other daemons have carried the starts
 * and outlive the owner.  They tell the next one which of them went to workers that fell silent: a
 * hint, which costs nothing but the crash when it is lost.
 *
 * Bounded by time and number.  No I/O, clock or thread. */
#pragma once

#include "internal/pool.h"

typedef struct _FbRecentStarts FbRecentStarts;

FbRecentStarts *fb_recent_starts_new (void);
void fb_recent_starts_free (FbRecentStarts *self);
/* A start of TASK goes out to WORKER. */
void fb_recent_starts_sent (FbRecentStarts *self, const char *worker, const char *address,
                            const char *task, uint32_t attempt, uint64_t now_ms);
/* What that start came to. */
void fb_recent_starts_answered (FbRecentStarts *self, const char *worker, const char *task,
                                uint32_t attempt, FbOrderResult result);
/* What a look at WORKER came to. */
void fb_recent_starts_polled (FbRecentStarts *self, const char *worker, const FbPollAnswer *answer);
/* Fills in TOLD: the starts at workers that did not answer what was sent to them last.  Its array
 * is the caller's to free, its texts are borrowed until SELF changes. */
void fb_recent_starts_list (const FbRecentStarts *self, uint64_t now_ms,
                            fb_recent_starts_reply *told);
