/* The workers that the platform lists, a life of each.
 *
 * Failure: what an earlier life of a worker wrote to its entry arrives after the entry of the life
 * that came back under its id; taken as it stands it shows as a worker that is gone.  Guard: an
 * entry with an earlier birth than the listed one counts only when it comes again with none of the
 * listed life between, as that of a host whose time went back does; one without a birth never does.
 */
#pragma once

#include "platform/wire.h"

typedef struct _FbWorkerList FbWorkerList;

FbWorkerList *fb_worker_list_new (void);
void fb_worker_list_free (FbWorkerList *self);
/* Returns: (nullable): borrowed; the life that is listed of the worker called ID. */
const FbListedWorker *fb_worker_list_of (const FbWorkerList *self, const char *id);
/* Returns: (nullable): borrowed. */
const FbListedWorker *fb_worker_list_find (const FbWorkerList *self, const char *incarnation);
/* TRUE when WORKER, an entry that was just read, is to be passed over as one of an earlier life. */
gboolean fb_worker_list_passes_over (FbWorkerList *self, const FbListedWorker *worker);
/* WORKER (transfer full) takes the place of what was listed of it, of the same life. */
void fb_worker_list_put (FbWorkerList *self, FbListedWorker *worker);
void fb_worker_list_remove (FbWorkerList *self, const char *id);
/* Returns: (transfer container): ids of all, which are borrowed. */
GList *fb_worker_list_ids (const FbWorkerList *self);
