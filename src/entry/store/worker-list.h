/* The workers that the platform lists, with one incarnation each.
 *
 * Failure: an entry written by an earlier incarnation of a worker arrives after the entry of the
 * incarnation that restarted under the same id; if it were applied, the worker would appear to be
 * gone.  Guard: an entry with an earlier start time than the listed one counts only when it is
 * repeated without an entry of the listed incarnation in between, as happens when the host's clock
 * was set back; an entry without a start time never replaces one with it. */
#pragma once

#include "platform/wire.h"

typedef struct _FbWorkerList FbWorkerList;

FbWorkerList *fb_worker_list_new (void);
void fb_worker_list_free (FbWorkerList *self);
/* Returns: (nullable): the listed incarnation of worker ID; borrowed. */
const FbListedWorker *fb_worker_list_by_id (const FbWorkerList *self, const char *id);
/* Returns: (nullable): the worker listed with INCARNATION; borrowed. */
const FbListedWorker *fb_worker_list_by_incarnation (const FbWorkerList *self,
                                                     const char *incarnation);
/* TRUE when WORKER, an entry that was just read, is to be ignored as one of an earlier
 * incarnation. */
gboolean fb_worker_list_ignores (FbWorkerList *self, const FbListedWorker *worker);
/* Lists WORKER (transfer full) in place of the entry of the same incarnation. */
void fb_worker_list_put (FbWorkerList *self, FbListedWorker *worker);
void fb_worker_list_remove (FbWorkerList *self, const char *id);
/* Returns: (transfer container): ids of all listed workers, borrowed. */
GList *fb_worker_list_ids (const FbWorkerList *self);
