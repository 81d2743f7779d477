/* The workers that the platform lists, with one incarnation each.
 *
 * An entry that was written by a previous incarnation of a worker may arrive after the entry of the
 * incarnation that restarted under the same id; if it were applied, the running incarnation would
 * be removed.  Therefore an entry with an earlier start time than the listed one is applied only
 * when it is repeated without an entry of the listed incarnation in between, as happens after the
 * host's clock was set back.  An entry without a start time never replaces one with a start
 * time. */
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
/* Returns: TRUE when WORKER, an entry that was just read, is to be ignored as one of a previous
 * incarnation. */
gboolean fb_worker_list_is_outdated (FbWorkerList *self, const FbListedWorker *worker);
/* Lists WORKER (transfer full) in place of the entry of the same incarnation. */
void fb_worker_list_put (FbWorkerList *self, FbListedWorker *worker);
void fb_worker_list_remove (FbWorkerList *self, const char *id);
/* Returns: (transfer container): ids of all listed workers, borrowed. */
GList *fb_worker_list_ids (const FbWorkerList *self);
