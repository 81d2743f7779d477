/* Read-only functions of a rack. */
#pragma once

#include "internal/rack.h"

/* Fills a summary for routing: the total free capacity, and for each resource the largest
 * free amount on one worker. */
void fb_rack_summary (const FbRack *self, fb_summary *summary);

uint32_t fb_rack_id (const FbRack *self);
uint64_t fb_rack_epoch (const FbRack *self);
guint fb_rack_worker_count (const FbRack *self);
guint fb_rack_queue_count (const FbRack *self);
guint fb_rack_unacked_count (const FbRack *self);
fb_res fb_rack_worker_used (const FbRack *self, guint worker);
fb_res fb_rack_worker_capacity (const FbRack *self, guint worker);
const char *fb_rack_worker_name (const FbRack *self, guint worker);
/* Returns: the incarnation of WORKER for which this owner has confirmed its ownership, or
 * 0. */
uint64_t fb_rack_worker_confirmed_incarnation (const FbRack *self, guint worker);
/* Returns: "ok", "unknown", "silent", "lapsed", "gone", "leaving" or "quarantined";
 * static. */
const char *fb_rack_worker_state (const FbRack *self, guint worker);

/* Returns: (transfer full): one line with the reason why RUN waits, or with the place where it
 * runs; NULL if the rack does not have it. */
char *fb_rack_explain (const FbRack *self, uint64_t now_ms, const fb_run *run);
