/* Read-only functions of a node. */
#pragma once

#include "internal/node.h"

/* Returns: TRUE if this daemon owns no shard and has no answer left to send. */
gboolean fb_node_is_drained (const FbNode *self);

uint64_t fb_node_config_serial (const FbNode *self, uint32_t partner);
const FbPolicy *fb_node_policy (const FbNode *self, uint32_t partner);
/* Returns: the encoded revision in force, borrowed, or NULL if there is none. */
GBytes *fb_node_config_revision (const FbNode *self, uint32_t partner);

gboolean fb_node_log_is_available (const FbNode *self);
/* Returns: the rack if this daemon owns it, borrowed, or NULL. */
const FbRack *fb_node_rack (const FbNode *self, uint32_t rack);
/* Returns: the epoch at which this daemon owns SHARD, or 0 if it does not. */
uint64_t fb_node_owned_epoch (const FbNode *self, uint32_t shard);
/* Returns: the index of the member that owns SHARD as far as this daemon knows, or -1. */
int fb_node_owner_of (const FbNode *self, uint32_t shard);
const char *fb_node_member_state (const FbNode *self, guint member);
/* Returns: the serial of PARTNER's revision in force at MEMBER, according to its last
 * heartbeat. */
uint64_t fb_node_member_serial (const FbNode *self, guint member, uint32_t partner);

/* Returns: (transfer full): a text with the state and place of each task of JOB and the reasons,
 * as far as they are known to this daemon; NULL if it does not know the job. */
char *fb_node_explain (const FbNode *self, uint64_t job);
