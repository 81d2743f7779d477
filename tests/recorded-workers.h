/* Workers of simulated pools without a store: they are listed, and a record that was stored earlier
 * names them, so that work may start there. */
#pragma once

#include "internal/pool.h"

static inline void
list_recorded_worker (FbPool *pool, const FbWorkerEntry *entry, uint64_t now_ms)
{
  fb_work_known_worker known = { .id = (char *) entry->id, .address = (char *) entry->address };
  const fb_work_workers record = { .workers = { 1, &known } };
  fb_pool_worker_listed (pool, entry, now_ms);
  fb_pool_restore_workers (pool, &record);
}
