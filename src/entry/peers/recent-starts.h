/* Recent starts of tasks that this daemon sent to workers, for the next owner of their pool.
 *
 * An owner may start a task that crashes its worker, and be replaced before it detects the crash.
 * No record contains that start, so the next owner would count crashes from zero, and workers would
 * continue to crash while owners change.  The daemons that relayed the starts outlive the owner,
 * and report to the next owner which starts went to workers that no longer answer.  The report is a
 * hint: if it is lost, the only cost is one more crash.
 *
 * Bounded by age and number.  No I/O, clock or thread. */
#pragma once

#include "internal/pool.h"

typedef struct _FbRecentStarts FbRecentStarts;

FbRecentStarts *fb_recent_starts_new (void);
void fb_recent_starts_free (FbRecentStarts *self);
/* Records that a start of TASK is sent to WORKER. */
void fb_recent_starts_sent (FbRecentStarts *self, const char *worker, const char *address,
                            const char *task, uint32_t attempt, uint64_t now_ms);
/* Records the result of that start. */
void fb_recent_starts_answered (FbRecentStarts *self, const char *worker, const char *task,
                                uint32_t attempt, FbOrderResult result, uint64_t now_ms);
/* Records the answer to a poll of WORKER. */
void fb_recent_starts_polled (FbRecentStarts *self, const char *worker, const FbPollAnswer *answer,
                              uint64_t now_ms);
/* WORKER is no longer listed, and not because it drained: it may be polled by nobody any more. */
void fb_recent_starts_unlisted (FbRecentStarts *self, const char *worker);
/* Fills in PEER_REPLY with the starts on workers that did not answer their last order or are no
 * longer listed, and, with UNHEARD, those on workers of which this daemon has had no answer for
 * some time, as other daemons may relay their polls.  The caller frees the array; its strings are
 * borrowed until SELF changes. */
void fb_recent_starts_list (const FbRecentStarts *self, gboolean unheard, uint64_t now_ms,
                            fb_recent_starts_reply *peer_reply);
