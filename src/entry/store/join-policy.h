/* Decides when a daemon that is not a member of the owners' group joins it.  No I/O, clock or
 * thread.
 *
 * The store assigns partitions evenly to the members, so each join may move pools, and a pool that
 * moves is loaded and recovered again.  With 44 daemons and two pools, a pool changed owners three
 * times in 19 s after a fault; two of these changes were moves to a daemon that had just come back.
 * A daemon therefore joins only after a period of uninterrupted contact with the store, unless a
 * pool has no owner that is alive or there are too few owners. */
#pragma once

#include <glib.h>
#include <stdint.h>

typedef struct
{
  uint32_t ttl_ms;            /* time to live of a membership; a longer gap is an absence */
  uint64_t started_ms;        /* start time of this process */
  uint64_t answered_ms;       /* time of the store's last answer to any call */
  uint64_t contact_since_ms;  /* start of the current period of answers without a long gap */
  gboolean has_expired;       /* a membership of this process has expired */
  uint64_t owners_read_ms;    /* time at which the store last listed the owners; 0: never */
  uint64_t owners_changed_ms; /* time at which the list was last found changed */
  uint64_t change_began_ms;   /* time of the first one of the last series of changes */
  uint64_t owners_hash;
  uint64_t unknown_since_ms; /* time since which the owners are not known; 0: they are known */
} FbJoinPolicy;

/* What is known about the owners of pools at the time of a decision. */
typedef struct
{
  gboolean lists_self;       /* this process is listed as an owner */
  gboolean has_ownerless;    /* a partition with a service has no owner, or a dead one */
  guint owners_n;            /* number of running owners of any partitions */
  gboolean started_together; /* most other daemons started at the same time as this one */
} FbJoinPolicyView;

typedef enum
{
  FB_JOIN_NOW,
  FB_JOIN_WAIT,
  FB_JOIN_SPARE,      /* waits for as long as there are enough owners */
  FB_JOIN_READ_OWNERS /* the owners have to be read first */
} FbJoinAction;

typedef struct
{
  FbJoinAction action;
  const char *reason; /* static */
  uint64_t until_ms;  /* FB_JOIN_WAIT: time until which the daemon waits at least; 0: no time */
} FbJoinDecision;

void fb_join_policy_init (FbJoinPolicy *self, uint32_t ttl_ms, uint64_t now_ms);
/* To be called before each decision, and more often than the time to live, with the time of the
 * store's last answer. */
void fb_join_policy_store_answered (FbJoinPolicy *self, uint64_t answered_ms);
/* The store has listed OWNERS, of FbPartitionOwner, in reply to a request of SENT_MS. */
void fb_join_policy_owners_read (FbJoinPolicy *self, const GArray *owners, uint64_t sent_ms,
                                 uint64_t now_ms);
/* The membership of this process was not renewed within its time to live. */
void fb_join_policy_expired (FbJoinPolicy *self, uint64_t now_ms);

/* Fills in VIEW.  OWNERS: of FbPartitionOwner, as listed last.  PARTITIONS: of uint32_t, those of
 * configured services.  DAEMONS: of FbDaemon, running ones.  ALL_LISTED: DAEMONS are all that run.
 * NAME: the member name of this process, ADDRESS/START. */
void fb_join_policy_view (FbJoinPolicyView *view, const GArray *owners, const GArray *partitions,
                          const GPtrArray *daemons, gboolean all_listed, const char *name);
/* VIEW: NULL when the configuration or the owners were never read.
 * Returns: whether a daemon that is not a member joins now. */
FbJoinDecision fb_join_policy_decide (FbJoinPolicy *self, const FbJoinPolicyView *view,
                                      uint64_t now_ms);
