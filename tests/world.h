/* Fakes of everything that a node communicates with: network, workers, log, host list, callers.
 *
 * This is not a simulator: load, bandwidth and hosts are not modelled.  The fakes
 * implement their side of each protocol and inject faults on request; an oracle that
 * shares no code with the scheduler checks the invariants after each step. */
#pragma once

#include "internal/node.h"

typedef struct _World World;

typedef struct
{
  guint member_n; /* daemons; those with an odd index belong to partner 1 */
  guint rack_n;   /* racks with an odd index belong to partner 1 */
  guint host_n;   /* hosts in each rack */
  guint range_n;
  fb_res host_capacity;
  uint64_t retention_ms;
  uint32_t seed;
} WorldSize;

World *world_new (const WorldSize *size);
void world_free (World *self);

/* Advances the fake clock by MS, in steps of STEP_MS, until a violation is found. */
void world_run (World *self, uint64_t ms);
uint64_t world_now_ms (const World *self);

/* Nodes.  A killed node can be started again; a paused one does not run, as after SIGSTOP. */
void world_kill (World *self, guint node);
void world_start (World *self, guint node);
void world_set_paused (World *self, guint node, gboolean paused);
void world_drain (World *self, guint node);
gboolean world_is_up (const World *self, guint node);
FbNode *world_node (const World *self, guint node);

/* Network.  Drops the messages between a node and its peers, or the workers. */
void world_set_peers_unreachable (World *self, guint node, gboolean peers_unreachable);
void world_set_workers_unreachable (World *self, guint node, gboolean workers_unreachable);
/* How many of 256 messages are lost, duplicated or delayed. */
void world_set_message_faults (World *self, guint loss_per_256, guint duplicate_per_256,
                               guint delay_per_256);

/* The log. */
typedef enum
{
  WORLD_LOG_UP,
  WORLD_LOG_DOWN,       /* calls fail without effect */
  WORLD_LOG_LOST_ANSWER /* appends take effect, but their replies are lost */
} WorldLogState;
void world_set_log_state (World *self, WorldLogState state);
void world_log_trim (World *self);

/* Workers. */
void world_set_worker_frozen (World *self, guint rack, guint host, gboolean frozen);
void world_restart_worker (World *self, guint rack, guint host);
void world_set_runs_fail (World *self, guint rack, guint host, gboolean fail);
void world_set_host_state (World *self, guint rack, guint host, FbHostState state);
void world_set_usage (World *self, guint rack, guint host, guint percent);

/* Callers. */
typedef struct
{
  uint64_t id;
  uint32_t partner;
  FbKind kind;
  uint32_t flags;
  uint32_t count;
  fb_res demand;
  uint64_t deadline_ms; /* from now; 0: none */
  uint64_t run_ms;
} WorldJob;
void world_submit (World *self, guint node, const WorldJob *job);
void world_cancel (World *self, guint node, uint32_t partner, uint64_t job);
/* Publishes a revision of PARTNER with one service of COUNT tasks. */
FbNodeConfigStatus world_publish_config (World *self, guint node, uint32_t partner, uint64_t serial,
                                         guint count, guint lend);

/* Ends all faults and runs until recovery should be complete. */
void world_heal (World *self);

/* Returns: a description of the first violated invariant, or NULL. */
const char *world_violation (const World *self);
/* Checks after world_heal(): each shard has one owner, configurations agree, queues are
 * empty and every accepted job has its final answer. */
void world_check_final_state (World *self);

/* Observations of the oracle. */
FbOutcome world_outcome (const World *self, uint64_t job);
guint world_starts (const World *self, uint64_t job);
guint world_live (const World *self, uint64_t job);
guint world_jobs_with (const World *self, FbOutcome outcome);
char *world_explain (const World *self, uint64_t job);
