/* Weighted rendezvous hashing: chooses the daemon that serves a key.  All daemons that know the
 * same members choose alike; each member's probability is its share of the processor, and when one
 * leaves only the keys that it served move.  No I/O, clock or thread. */
#pragma once

#include "daemons.h"

/* Returns: TRUE when MEMBER may be chosen; USER is passed through. */
typedef gboolean (*FbRendezvousMay) (const FbDaemon *member, gconstpointer user);

/* MEMBERS: of FbDaemon.
 * Returns: (nullable): the member with the largest weight for KEY among those that MAY allows;
 * borrowed. */
const FbDaemon *fb_rendezvous_choose (const GPtrArray *members, const char *key,
                                      FbRendezvousMay may, gconstpointer user);
