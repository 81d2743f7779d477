/* Weighted rendezvous hashing: chooses the daemon that serves a key.  All daemons with the same
 * list of members choose the same one.  Each member's probability is its fraction of the total
 * processor share, and when a member leaves only the keys that it served move.  No I/O, clock or
 * thread. */
#pragma once

#include "daemons.h"

/* Returns: TRUE when MEMBER may be chosen; USER is passed through. */
typedef gboolean (*FbRendezvousFilter) (const FbDaemon *member, gconstpointer user);

/* MEMBERS: of FbDaemon.
 * Returns: (nullable): the member with the largest weight for KEY among those for which IS_ELIGIBLE
 * returns TRUE; borrowed. */
const FbDaemon *fb_rendezvous_choose (const GPtrArray *members, const char *key,
                                      FbRendezvousFilter is_eligible, gconstpointer user);
