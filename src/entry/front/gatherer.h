/* The daemon through which all others store their callers' records while the store is slow.  No
 * I/O, clock or thread. */
#pragma once

#include "src/entry/store/daemons.h"

/* MEMBERS: of FbDaemon.  OWNER: of the partition's pool; NULL: not known.  ASKED: addresses that
 * are not to be chosen (again).
 * Returns: (nullable): the address of the owner, else of a daemon that all choose alike for
 * PARTITION, a stronger one more likely; borrowed. */
const char *fb_gatherer_for (const GPtrArray *members, const char *owner, const GPtrArray *asked,
                             uint32_t partition, uint64_t now_ms);
