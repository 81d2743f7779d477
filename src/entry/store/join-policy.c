#include "join-policy.h"

#include "daemons.h"

#include "platform/wire.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Period of contact after which a daemon that started or was away joins.  Faults of a daemon come
 * in series of some seconds (killed, restarted, cut off again), and each return in between must not
 * move a pool. */
#define CONTACT_MS 10000
/* Period without a change of the owners, so that a pool is not moved while it is being recovered
 * after another change.  Recovery takes 0.1 to 0.3 s, and 2 s with a long backlog on a slow
 * daemon. */
#define QUIET_MS 2000
/* Time after the first one of a series of changes for which daemons still join.  Daemons that wait
 * for the same reason end their waits within 0.2 s; the pools are being moved then, and with a
 * pause of QUIET_MS between two joins, six of seven daemons that return together would move them
 * six times. */
#define JOIN_TOGETHER_MS 500
/* Period of contact after which a daemon joins although the owners keep changing. */
#define CONTACT_MAX_MS 20000
/* Maximum age of a list of owners in a decision; it is read every 100 ms before a join. */
#define OWNERS_FRESH_MS 1000
/* Time for which the owners may be unknown while the store answers other calls: the timeouts of two
 * requests for them, since the first may have been sent before the store answered again. */
#define OWNERS_UNKNOWN_MAX_MS 1000
/* Minimum number of members that own partitions; with fewer, no other member could be assigned the
 * pools of one that fails. */
#define OWNERS_MIN 2
/* Number of owners from which a daemon that comes back stays a spare.  Each join makes the store
 * distribute partitions anew and may move a pool whose owner works well; so many owners are enough
 * to take over the pools of those that fail. */
#define OWNERS_ENOUGH 16
/* Maximum difference between the start times of daemons that start together.  A difference of wall
 * clocks beyond this makes a daemon wait, which delays no pool. */
#define START_TOGETHER_US (3 * G_USEC_PER_SEC)

void
fb_join_policy_init (FbJoinPolicy *self, uint32_t ttl_ms, uint64_t now_ms)
{
  *self = (FbJoinPolicy){
    .ttl_ms = ttl_ms, .started_ms = now_ms, .answered_ms = now_ms, .contact_since_ms = now_ms
  };
}

void
fb_join_policy_store_answered (FbJoinPolicy *self, uint64_t answered_ms)
{
  if (answered_ms <= self->answered_ms)
    return;
  if (answered_ms > self->answered_ms + self->ttl_ms)
    self->contact_since_ms = MAX (self->contact_since_ms, answered_ms);
  self->answered_ms = answered_ms;
}

/* Returns: a hash of OWNERS that does not depend on their order. */
static uint64_t
hash_owners (const GArray *owners)
{
  uint64_t sum = owners->len;
  for (guint i = 0; i < owners->len; i++)
    {
      const FbPartitionOwner *owner = &g_array_index (owners, FbPartitionOwner, i);
      sum += XXH64 (owner->member, strlen (owner->member), owner->partition);
    }
  return sum;
}

/* Ignores a reply that is older than the time to live: a process that was suspended receives
 * replies from before, which may still list it as an owner. */
void
fb_join_policy_owners_read (FbJoinPolicy *self, const GArray *owners, uint64_t sent_ms,
                            uint64_t now_ms)
{
  if (now_ms > sent_ms + self->ttl_ms)
    return;
  uint64_t hash = hash_owners (owners);
  if (self->owners_read_ms == 0 || hash != self->owners_hash)
    {
      if (now_ms >= self->owners_changed_ms + QUIET_MS)
        self->change_began_ms = now_ms;
      self->owners_changed_ms = now_ms;
    }
  self->owners_hash = hash;
  self->owners_read_ms = now_ms;
}

void
fb_join_policy_expired (FbJoinPolicy *self, uint64_t now_ms)
{
  self->has_expired = TRUE;
  self->contact_since_ms = MAX (self->contact_since_ms, now_ms);
}

/* ---- the owners of pools ---------------------------------------------------------- */

/* Returns: (nullable): the owner of PARTITION, a member name, borrowed. */
static const char *
owner_of (const GArray *owners, uint32_t partition)
{
  for (guint i = 0; i < owners->len; i++)
    {
      const FbPartitionOwner *owner = &g_array_index (owners, FbPartitionOwner, i);
      if (owner->partition == partition)
        return owner->member;
    }
  return NULL;
}

/* Returns: the start time in the member name NAME, ADDRESS/START. */
static uint64_t
start_of (const char *name)
{
  const char *start = strchr (name, '/');
  return start != NULL ? strtoull (start + 1, NULL, 10) : 0;
}

/* TRUE when DAEMON has the address in the member name NAME. */
static gboolean
is_at_address_of (const FbDaemon *daemon, const char *name)
{
  gsize address_len = strcspn (name, "/");
  return strlen (daemon->address) == address_len
         && strncmp (daemon->address, name, address_len) == 0;
}

/* Returns: FALSE when no process at the address of the member NAME runs, or only one that started
 * later: the owner was killed, and its successor at the address does not have its pools.  A process
 * joins the group of daemons before that of owners.  An address that is missing in DAEMONS proves
 * nothing unless all are listed. */
static gboolean
is_running (const GPtrArray *daemons, gboolean all_listed, const char *name)
{
  for (guint i = 0; i < daemons->len; i++)
    {
      const FbDaemon *daemon = daemons->pdata[i];
      if (is_at_address_of (daemon, name))
        return daemon->started_us <= start_of (name);
    }
  return !all_listed;
}

/* Returns: TRUE when more than half of the other DAEMONS started when the member NAME did. */
static gboolean
started_together (const GPtrArray *daemons, const char *name)
{
  uint64_t own_us = start_of (name);
  guint others_n = 0;
  guint together_n = 0;
  for (guint i = 0; i < daemons->len; i++)
    {
      const FbDaemon *daemon = daemons->pdata[i];
      if (is_at_address_of (daemon, name))
        continue;
      uint64_t apart_us = MAX (own_us, daemon->started_us) - MIN (own_us, daemon->started_us);
      others_n++;
      together_n += apart_us <= START_TOGETHER_US;
    }
  return 2 * together_n > others_n;
}

void
fb_join_policy_view (FbJoinPolicyView *view, const GArray *owners, const GArray *partitions,
                     const GPtrArray *daemons, gboolean all_listed, const char *name)
{
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  *view = (FbJoinPolicyView){ .started_together = started_together (daemons, name) };
  for (guint i = 0; i < owners->len; i++)
    {
      const char *owner = g_array_index (owners, FbPartitionOwner, i).member;
      view->lists_self = view->lists_self || g_str_equal (owner, name);
      if (is_running (daemons, all_listed, owner))
        g_hash_table_add (seen, (gpointer) owner);
    }
  for (guint i = 0; i < partitions->len; i++)
    {
      const char *owner = owner_of (owners, g_array_index (partitions, uint32_t, i));
      view->has_ownerless
          = view->has_ownerless || owner == NULL || !g_hash_table_contains (seen, owner);
    }
  view->owners_n = g_hash_table_size (seen);
}

/* ---- the decision ------------------------------------------------------------------ */

static FbJoinDecision
join_now (const char *reason)
{
  return (FbJoinDecision){ FB_JOIN_NOW, reason, 0 };
}

/* To be called while the store answers other calls but has not listed the owners. */
static FbJoinDecision
decide_without_owners (FbJoinPolicy *self, uint64_t now_ms)
{
  if (self->unknown_since_ms < self->contact_since_ms || self->unknown_since_ms == 0)
    self->unknown_since_ms = now_ms;
  if (now_ms >= self->unknown_since_ms + OWNERS_UNKNOWN_MAX_MS)
    return join_now ("the owners are not known");
  return (FbJoinDecision){ FB_JOIN_READ_OWNERS, "the owners have to be read", 0 };
}

static FbJoinDecision
decide_by_contact (const FbJoinPolicy *self, uint64_t now_ms)
{
  uint64_t limit_ms = self->contact_since_ms + CONTACT_MAX_MS;
  uint64_t contact_ms = self->contact_since_ms + CONTACT_MS;
  uint64_t quiet_ms = self->owners_changed_ms + QUIET_MS;
  if (now_ms >= limit_ms)
    return join_now ("the owners have kept changing");
  if (now_ms < contact_ms)
    return (FbJoinDecision){ FB_JOIN_WAIT,
                             self->contact_since_ms == self->started_ms
                                 ? "this daemon has just started"
                                 : "this daemon was away",
                             contact_ms };
  if (now_ms < quiet_ms && now_ms >= self->change_began_ms + JOIN_TOGETHER_MS)
    return (FbJoinDecision){ FB_JOIN_WAIT, "the owners have just changed",
                             MIN (quiet_ms, limit_ms) };
  return join_now ("in contact with the store");
}

FbJoinDecision
fb_join_policy_decide (FbJoinPolicy *self, const FbJoinPolicyView *view, uint64_t now_ms)
{
  if (now_ms > self->answered_ms + self->ttl_ms)
    return (FbJoinDecision){ FB_JOIN_READ_OWNERS, "the store does not answer", 0 };
  if (view == NULL || self->owners_read_ms < self->contact_since_ms
      || now_ms > self->owners_read_ms + OWNERS_FRESH_MS)
    return decide_without_owners (self, now_ms);
  self->unknown_since_ms = 0;
  if (view->lists_self)
    return join_now ("listed as an owner");
  if (view->has_ownerless)
    return join_now ("a pool has no owner");
  if (view->owners_n < OWNERS_MIN)
    return join_now ("too few owners");
  if (view->started_together && !self->has_expired && now_ms < self->started_ms + CONTACT_MS)
    return join_now ("most daemons have just started");
  if (view->owners_n >= OWNERS_ENOUGH)
    return (FbJoinDecision){ FB_JOIN_SPARE, "there are enough owners", 0 };
  return decide_by_contact (self, now_ms);
}
