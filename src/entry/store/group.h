/* Which partitions this daemon owns, and who owns the others, as the store deals them. */
#pragma once

#include "src/entry/peers/relay.h"

typedef struct _FbGroup FbGroup;

FbGroup *fb_group_new (FbEntry *entry);
/* Gives all partitions back; DONE is called when the store has it, or gave no
 * answer. */
void fb_group_leave (FbGroup *self, void (*done) (gpointer user), gpointer user);
/* TRUE while no other daemon can have been dealt this one's partitions. */
gboolean fb_group_is_member (const FbGroup *self, uint64_t now_ms);
/* Returns: (nullable): the address of the daemon that owns PARTITION, borrowed. */
const char *fb_group_owner_of (const FbGroup *self, uint32_t partition);
/* What is known of the owners is wrong: they are asked for, at most each 0.2 s. */
void fb_group_refresh (FbGroup *self);
/* Tells DONE the owners of all partitions, or UNSURE while the store does not answer here. */
void fb_group_tell_owners (const FbGroup *self, FbTold done, gpointer user);
/* Returns: (transfer container): addresses of all daemons, as members or as owners. */
GPtrArray *fb_group_daemons (const FbGroup *self);
/* EXCEPT: addresses; may be NULL.
 * Returns: (nullable): another daemon, drawn at random, borrowed. */
const char *fb_group_any_peer (const FbGroup *self, GPtrArray *except);
