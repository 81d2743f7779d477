/* What other daemons say of the store, for an owner that has lost it.
 *
 * Such an owner cannot tell an outage of the store from a partition that separates it from the
 * store.  Behind a partition it may have a successor that it cannot reach. */
#pragma once

#include "rpc/work.h"

#include <glib.h>
#include <stdint.h>

typedef struct _FbEntryDaemon FbEntryDaemon;
typedef struct _FbStoreWitnesses FbStoreWitnesses;

/* ENTRY: borrowed. */
FbStoreWitnesses *fb_store_witnesses_new (FbEntryDaemon *entry);
/* Asks other daemons for the state of the store, at limited intervals; to be called for as long as
 * fb_store_witnesses_report_outage() is needed. */
void fb_store_witnesses_ask (FbStoreWitnesses *self, uint64_t now_ms);
/* Returns: TRUE when recent replies of a majority of the daemons that are asked, this one included,
 * say that the store is unavailable to them and none says that it is available, or there are no
 * others. */
gboolean fb_store_witnesses_report_outage (const FbStoreWitnesses *self, uint64_t now_ms);

/* Returns: the state of the store for ENTRY, by its own calls. */
fb_store_state fb_store_witnesses_own_state (const FbEntryDaemon *entry, uint64_t now_ms);
