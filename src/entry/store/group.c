/* Ownership of partitions, as assigned by the store to the members of a group.
 *
 * When the joins of a daemon no longer reach the store, its partitions are reassigned after its
 * time to live.  A member name contains the start time of the process: a restarted process must not
 * be confused with its predecessor, whose orders may still be in transit. */
#include "group-leave.h"
#include "join-policy.h"

#include "src/entry/entry-private.h"

#include "fb-event.h"

#include <string.h>

#define GROUP "owners"
/* Time to live of a membership, after which a crashed owner is replaced, if the store allows so
 * short a time.  A takeover takes some 0.3 s more.  A daemon on a quarter of a core completes three
 * joins within this time. */
#define TTL_MS 1000
#define JOIN_INTERVAL_MS 250
/* Delay of the next join after a change of the group.  The store reassigns partitions once each
 * member has joined with the new generation, which takes several rounds after a crash of all
 * daemons.  Pools were operational 0.25 s after the last start with this value, and 0.8 s with 62
 * ms. */
#define JOIN_AFTER_CHANGE_MS 30
/* Retry interval until the members are known, which takes some 10 ms after the start. */
#define MEMBERS_RETRY_MS 10
#define ANSWER_TIMEOUT_MS 500
/* Timeout and pause of joins while the store is silent.  Every second join has the usual timeout
 * instead, for a store that is slow.  When the store answers again, callers are refused until a
 * call sent after that is answered; a timeout of 0.5 s for each join added 0.4 to 0.6 s of
 * refusals, a fifth of the time in which a caller retries. */
#define PROBE_TIMEOUT_MS 150
#define PROBE_PAUSE_MS 30
/* Interval of requests for the owners before a join that fb_join_policy_decide() delays.  A pool
 * whose owner has failed is noticed within this time. */
#define OWNERS_BEFORE_JOIN_MS 100
/* The same for a daemon that is not needed as an owner: others take over what a failed owner
 * leaves. */
#define OWNERS_SPARE_MS 800
/* Minimum interval of OWNERSHIP_DEFERRED. */
#define DEFERRED_LOG_INTERVAL_MS 1000
/* Owners are requested when the group has changed, and at least at this interval; in a large fleet
 * by daemons that are no members at the second one.  Those learn from a new owner, which asks all
 * daemons for their recent starts, that the owners have changed. */
#define OWNERS_INTERVAL_MS 3000
#define OWNERS_IDLE_INTERVAL_MS 30000
#define OWNERS_AFTER_CHANGE_MS 200
/* Minimum intervals of requests to peers for the owners, and of OWNERS_FROM_PEER.  While the store
 * is silent, the owners are requested from it every 150 to 500 ms. */
#define PEER_INTERVAL_MS 500
#define PEER_LOG_INTERVAL_MS 1000
/* Maximum age of the owners that are sent to peers; members read them every OWNERS_INTERVAL_MS. */
#define OWNERS_MAX_AGE_MS 3800

struct _FbGroup
{
  FbEntryDaemon *entry;
  char *member;
  uint32_t ttl_ms;
  uint64_t generation;
  uint64_t
      last_renewal_sent_ms; /* time at which the last answered join was sent; 0: not a member */
  uint64_t join_sent_ms;
  uint64_t owners_ms;         /* time at which the store last returned the owners */
  guint probes_n;             /* number of joins since the store stopped answering */
  GHashTable *owner_of;       /* partition -> address */
  uint64_t owners_generation; /* generation at the last request to the store for the owners; 0: they
                               * have to be requested again */
  uint64_t owners_requested_ms;
  gboolean owners_changed;    /* the owners have to be requested soon */
  gboolean owners_open;       /* a request to the store for the owners is open */
  gboolean peer_open;         /* a request to a peer for the owners is open */
  uint64_t peer_requested_ms; /* time of the last request to a peer */
  uint64_t peer_logged_ms;    /* time of the last OWNERS_FROM_PEER */
  FbGroupLeave *group_leave;
  FbJoinPolicy join_policy;
  GArray *listed_owners;       /* of FbPartitionOwner, as the store listed them; NULL: never */
  gboolean is_deferred;        /* the next join is delayed; the owners are read meanwhile */
  gboolean is_spare;           /* it is delayed because there are enough owners */
  uint64_t expired_ms;         /* last_renewal_sent_ms of the last membership found expired */
  uint64_t deferred_until_ms;  /* as logged last */
  const char *deferred_reason; /* as logged last; NULL: none since the last join */
  uint64_t deferral_logged_ms;
  guint timer;
  gboolean keepalive_active; /* the keepalive thread repeats the joins */
  gboolean leaving;
  void (*on_released) (gpointer user);
  gpointer on_released_user;
};

static gboolean join (gpointer data);

/* ---- owners ------------------------------------------------------------------ */

static void
set_owners (FbGroup *self, const GArray *owners)
{
  g_hash_table_remove_all (self->owner_of);
  for (guint i = 0; i < owners->len; i++)
    {
      const FbPartitionOwner *owner = &g_array_index (owners, FbPartitionOwner, i);
      const char *end = strchr (owner->member, '/');
      if (end == NULL)
        continue;
      g_hash_table_insert (self->owner_of, GUINT_TO_POINTER (owner->partition),
                           g_strndup (owner->member, (gsize) (end - owner->member)));
    }
}

/* ---- previous processes of this daemon ----------------------------------------- */

/* Removes the previous processes of this daemon from the group.  When a daemon is killed and
 * restarts within its time to live, the store still regards the previous process as the owner of
 * its partitions, and their pools make no progress for the rest of that time (0.5 s when all
 * daemons are killed). */
static void
remove_predecessors (FbGroup *self, const GArray *owners)
{
  for (guint i = 0; i < owners->len; i++)
    {
      const char *member = g_array_index (owners, FbPartitionOwner, i).member;
      if (fb_group_leave_remove_predecessor (self->group_leave, member))
        fb_event_log (FB_EVENT_PREDECESSOR_DISMISSED, "member=%s", member);
    }
}

/* ---- reading the owners --------------------------------------------------------- */

static void
on_peer_owners_reply (gpointer data, const fb_peer_reply *peer_reply)
{
  FbGroup *self = data;
  self->peer_open = FALSE;
  if (peer_reply == NULL || peer_reply->type != FB_REPLY_PARTITION_OWNERS)
    return; /* the owners are requested again when they are needed */
  const fb_owners_reply *owners = &peer_reply->fb_peer_reply_u.owners;
  uint64_t now_ms = fb_clock_ms ();
  if (now_ms >= self->peer_logged_ms + PEER_LOG_INTERVAL_MS)
    {
      self->peer_logged_ms = now_ms;
      fb_event_log (FB_EVENT_OWNERS_FROM_PEER, "partitions=%u store_ok_ms_ago=%u",
                    owners->owners.owners_len, (guint) (now_ms - self->entry->store_answered_ms));
    }
  g_hash_table_remove_all (self->owner_of);
  for (u_int i = 0; i < owners->owners.owners_len; i++)
    {
      const fb_partition_owner *owner = &owners->owners.owners_val[i];
      g_hash_table_insert (self->owner_of, GUINT_TO_POINTER (owner->partition),
                           g_strdup (owner->address));
    }
}

/* Requests the owners from a peer, for the case that the store rejects this daemon's calls but
 * serves the peer.  Otherwise, after partitions have new owners, callers of this daemon that
 * request a job's state wait for 2 s and get the answer that the owner is unavailable. */
static void
request_owners_from_peer (FbGroup *self)
{
  const char *peer = fb_group_any_peer (self, NULL);
  uint64_t now_ms = fb_clock_ms ();
  if (self->peer_open || peer == NULL || now_ms < self->peer_requested_ms + PEER_INTERVAL_MS)
    return;
  self->peer_requested_ms = now_ms;
  static const fb_peer_request peer_request = { .type = FB_REQUEST_PARTITION_OWNERS };
  self->peer_open = TRUE;
  fb_peers_request (self->entry, peer, &peer_request, ANSWER_TIMEOUT_MS, on_peer_owners_reply,
                    self);
}

/* Decides again on a deferred join now that the owners are known, or a probe of the store has
 * failed. */
static void
reconsider_join (FbGroup *self)
{
  if (!self->is_deferred || self->timer == 0)
    return;
  g_source_remove (self->timer);
  join (self);
}

static void
on_owners_reply (gpointer data, const FbHttpReply *reply)
{
  FbGroup *self = data;
  self->owners_open = FALSE;
  fb_entry_store_answered (self->entry, reply);
  fb_join_policy_store_answered (&self->join_policy, self->entry->store_answered_ms);
  g_autoptr (GArray) owners = g_array_new (FALSE, TRUE, sizeof (FbPartitionOwner));
  g_array_set_clear_func (owners, fb_partition_owner_clear);
  if (fb_wire_parse_owners (reply, owners))
    {
      self->owners_ms = fb_clock_ms ();
      set_owners (self, owners);
      remove_predecessors (self, owners);
      fb_join_policy_owners_read (&self->join_policy, owners, self->owners_requested_ms,
                                  self->owners_ms);
      g_clear_pointer (&self->listed_owners, g_array_unref);
      self->listed_owners = g_steal_pointer (&owners);
    }
  else
    {
      self->owners_generation = 0;
      request_owners_from_peer (self);
    }
  reconsider_join (self);
}

static guint
probe_timeout_ms (FbGroup *self)
{
  self->probes_n = fb_entry_store_is_silent (self->entry) ? self->probes_n + 1 : 0;
  return self->probes_n % 2 == 1 ? PROBE_TIMEOUT_MS : ANSWER_TIMEOUT_MS;
}

static guint
owners_interval_ms (const FbGroup *self)
{
  if (self->is_deferred && self->is_spare && !fb_entry_store_is_silent (self->entry))
    return OWNERS_SPARE_MS;
  if (self->is_deferred)
    return fb_entry_store_is_silent (self->entry) ? PROBE_PAUSE_MS : OWNERS_BEFORE_JOIN_MS;
  if (self->owners_changed || self->owners_generation != self->generation)
    return OWNERS_AFTER_CHANGE_MS;
  return self->last_renewal_sent_ms == 0 && fb_daemons_is_large_fleet (self->entry->daemons)
             ? OWNERS_IDLE_INTERVAL_MS
             : OWNERS_INTERVAL_MS;
}

static void
request_owners (FbGroup *self, uint64_t now_ms)
{
  guint interval_ms = owners_interval_ms (self);
  if (self->owners_open || now_ms < self->owners_requested_ms + interval_ms)
    return;
  self->owners_open = TRUE;
  self->owners_changed = FALSE;
  self->owners_requested_ms = now_ms;
  self->owners_generation = self->generation;
  FbHttpCall call;
  fb_wire_owners (&call, self->entry->settings->store, GROUP);
  fb_http_client_exchange (self->entry->store_client, &call,
                           self->is_deferred ? probe_timeout_ms (self) : ANSWER_TIMEOUT_MS,
                           on_owners_reply, self);
  fb_http_call_clear (&call);
}

/* Owners are also requested along with joins, but a daemon that has left the group sends none:
 * without this function, callers in its last seconds would wait for 2 s and be refused, or be
 * disconnected when the process exits. */
void
fb_group_refresh_owners (FbGroup *self)
{
  self->owners_generation = 0;
  self->owners_changed = TRUE;
  request_owners (self, fb_clock_ms ());
}

void
fb_group_send_owners (const FbGroup *self, FbPeerReplyDone done, gpointer user)
{
  fb_peer_reply peer_reply = { .type = FB_REPLY_UNAVAILABLE };
  if (fb_clock_ms () > self->owners_ms + OWNERS_MAX_AGE_MS || self->owners_generation == 0)
    {
      done (user, &peer_reply);
      return;
    }
  guint n = 0;
  g_autofree fb_partition_owner *rows
      = g_new0 (fb_partition_owner, g_hash_table_size (self->owner_of) + 1);
  GHashTableIter iter;
  gpointer partition;
  gpointer address;
  g_hash_table_iter_init (&iter, self->owner_of);
  while (g_hash_table_iter_next (&iter, &partition, &address))
    rows[n++] = (fb_partition_owner){ GPOINTER_TO_UINT (partition), address };
  peer_reply.type = FB_REPLY_PARTITION_OWNERS;
  peer_reply.fb_peer_reply_u.owners.owners.owners_len = n;
  peer_reply.fb_peer_reply_u.owners.owners.owners_val = rows;
  done (user, &peer_reply);
}

const char *
fb_group_owner_of (const FbGroup *self, uint32_t partition)
{
  return g_hash_table_lookup (self->owner_of, GUINT_TO_POINTER (partition));
}

/* Includes the owners, which the store lists separately from the members.  A daemon whose calls
 * were rejected for 2 s is not listed as a member.  A daemon that reads the members at that moment,
 * and is rejected next, would have no peer that could append for it, and would report no end of a
 * job until the store serves it again. */
GPtrArray *
fb_group_daemons (const FbGroup *self)
{
  GPtrArray *daemons = g_ptr_array_new ();
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  const GPtrArray *members = fb_daemons_all (self->entry->daemons);
  for (guint i = 0; i < members->len; i++)
    {
      char *member = ((FbDaemon *) members->pdata[i])->address;
      g_hash_table_add (seen, member);
      g_ptr_array_add (daemons, member);
    }
  GHashTableIter iter;
  gpointer address;
  g_hash_table_iter_init (&iter, self->owner_of);
  while (g_hash_table_iter_next (&iter, NULL, &address))
    {
      if (g_hash_table_add (seen, address))
        g_ptr_array_add (daemons, address);
    }
  return daemons;
}

const char *
fb_group_any_peer (const FbGroup *self, GPtrArray *except)
{
  g_autoptr (GPtrArray) daemons = fb_group_daemons (self);
  for (guint i = daemons->len; i > 0; i--)
    {
      guint at = (guint) g_random_int_range (0, (gint32) i);
      const char *address = daemons->pdata[at];
      if (!g_str_equal (address, self->entry->settings->peers)
          && (except == NULL
              || !g_ptr_array_find_with_equal_func (except, address, g_str_equal, NULL)))
        return address;
      g_ptr_array_remove_index_fast (daemons, at);
    }
  return NULL;
}

/* ---- membership ---------------------------------------------------------------- */

/* Returns: the time until which no other daemon can have been assigned this daemon's partitions,
 * according to the last renewal that was sent by the main loop or the keepalive thread; 0: not a
 * member. */
static uint64_t
member_until_ms (const FbGroup *self)
{
  if (self->last_renewal_sent_ms == 0)
    return 0;
  uint64_t renewed_ms = fb_keepalive_renewed_ms (self->entry->keepalive, FB_MEMBERSHIP_OWNERS);
  return MAX (self->last_renewal_sent_ms, renewed_ms) + self->ttl_ms;
}

gboolean
fb_group_is_deferred (const FbGroup *self)
{
  return self->is_deferred && !self->is_spare;
}

gboolean
fb_group_is_member (const FbGroup *self, uint64_t now_ms)
{
  return now_ms < member_until_ms (self);
}

/* Releases all partitions, to take them over again, when this daemon has not joined for longer than
 * its time to live and is assigned partitions again.  Another owner may have made changes in
 * between that its state lacks. */
static void
release_after_absence (FbGroup *self, uint64_t generation)
{
  if (self->generation == 0 || generation == self->generation
      || self->join_sent_ms < member_until_ms (self))
    return;
  g_autoptr (GArray) none = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  fb_entry_set_owned_partitions (self->entry, none, generation,
                                 "joined after its time to live had expired");
}

static void
on_joined (gpointer data, const FbHttpReply *reply)
{
  FbGroup *self = data;
  fb_entry_store_answered (self->entry, reply);
  fb_entry_membership_renewed (self->entry, reply, self->join_sent_ms);
  g_autoptr (GArray) partitions = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  uint64_t generation = 0;
  uint64_t now_ms = fb_clock_ms ();
  if (self->leaving)
    return;
  if (!fb_wire_parse_join (reply, &generation, partitions))
    {
      gboolean silent = fb_entry_store_is_silent (self->entry);
      self->timer = g_timeout_add (silent ? PROBE_PAUSE_MS : JOIN_INTERVAL_MS / 2, join, self);
      return;
    }
  fb_entry_join_answered (self->entry, self->ttl_ms);
  release_after_absence (self, generation);
  gboolean changed = generation != self->generation;
  self->generation = generation;
  self->last_renewal_sent_ms = self->join_sent_ms;
  fb_entry_set_owned_partitions (self->entry, partitions, generation, "assigned to another daemon");
  self->timer = g_timeout_add (changed ? JOIN_AFTER_CHANGE_MS : JOIN_INTERVAL_MS, join, self);
  request_owners (self, now_ms);
}

/* Releases all partitions and checks again later whether to join.  To be called while the members
 * are not known yet, or this daemon has too little processor time to be an owner.  One daemon makes
 * all decisions for the pool of a service, so pools are left to the daemons with the most processor
 * time.  In a deployment whose daemons have 0.5 or 0.12 of a core, one with 0.12 was assigned the
 * pool of 350 workers in four of five cases, and had used up its processor time after 4 s. */
static void
stay_non_owner (FbGroup *self)
{
  if (self->last_renewal_sent_ms != 0)
    {
      g_autoptr (GArray) none = g_array_new (FALSE, TRUE, sizeof (uint32_t));
      fb_entry_set_owned_partitions (self->entry, none, self->generation,
                                     "too little processor time to own partitions");
      fb_join_monitor_left (&self->entry->join_monitor);
      fb_group_leave_self (self->group_leave, NULL, NULL);
      self->last_renewal_sent_ms = 0;
      self->generation = 0;
    }
  if (self->keepalive_active)
    fb_keepalive_cancel (self->entry->keepalive, FB_MEMBERSHIP_OWNERS);
  self->keepalive_active = FALSE;
  request_owners (self, fb_clock_ms ());
  guint retry_ms
      = fb_daemons_is_list_complete (self->entry->daemons) ? JOIN_INTERVAL_MS : MEMBERS_RETRY_MS;
  self->timer = g_timeout_add (retry_ms, join, self);
}

/* ---- deferred joins ----------------------------------------------------------------- */

static FbJoinDecision
decide_join (FbGroup *self, uint64_t now_ms)
{
  if (self->last_renewal_sent_ms != 0 && self->last_renewal_sent_ms != self->expired_ms)
    {
      self->expired_ms = self->last_renewal_sent_ms;
      fb_join_policy_expired (&self->join_policy, now_ms);
    }
  FbJoinPolicyView view;
  g_autoptr (GArray) partitions = fb_entry_service_partitions (self->entry);
  gboolean is_known = partitions != NULL && self->listed_owners != NULL;
  if (is_known)
    fb_join_policy_view (&view, self->listed_owners, partitions,
                         fb_daemons_all (self->entry->daemons),
                         fb_daemons_is_whole (self->entry->daemons), self->member);
  return fb_join_policy_decide (&self->join_policy, is_known ? &view : NULL, now_ms);
}

static void
log_deferral (FbGroup *self, const FbJoinDecision *decision, uint64_t now_ms)
{
  if (self->deferred_reason == decision->reason && self->deferred_until_ms == decision->until_ms)
    return;
  if (now_ms < self->deferral_logged_ms + DEFERRED_LOG_INTERVAL_MS)
    return;
  self->deferred_reason = decision->reason;
  self->deferred_until_ms = decision->until_ms;
  self->deferral_logged_ms = now_ms;
  g_autofree char *ages = fb_entry_format_timing (self->entry);
  fb_event_log (FB_EVENT_OWNERSHIP_DEFERRED, "why=\"%s\" wait_ms=%u %s", decision->reason,
                (guint) (MAX (decision->until_ms, now_ms) - now_ms), ages);
}

/* Releases the partitions of an expired membership once the store has listed other owners for
 * them.  Until then this daemon keeps them: without the store, no other daemon takes them over. */
static void
drop_expired_membership (FbGroup *self)
{
  if (self->last_renewal_sent_ms == 0)
    return;
  g_autoptr (GArray) none = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  fb_entry_set_owned_partitions (self->entry, none, self->generation,
                                 "assigned to another daemon after the time to live had expired");
  fb_join_monitor_left (&self->entry->join_monitor);
  self->last_renewal_sent_ms = 0;
  self->generation = 0;
}

/* Delays the join and reads the owners.  Neither this function nor the keepalive thread sends a
 * join meanwhile: it would make this daemon a member as soon as the store answers. */
static void
defer_join (FbGroup *self, const FbJoinDecision *decision, uint64_t now_ms)
{
  self->is_deferred = TRUE;
  self->is_spare = decision->action == FB_JOIN_SPARE;
  if (self->keepalive_active)
    fb_keepalive_cancel (self->entry->keepalive, FB_MEMBERSHIP_OWNERS);
  self->keepalive_active = FALSE;
  if (decision->action != FB_JOIN_READ_OWNERS)
    {
      log_deferral (self, decision, now_ms);
      drop_expired_membership (self);
    }
  request_owners (self, now_ms);
  self->timer = g_timeout_add (owners_interval_ms (self), join, self);
}

static void
send_join (FbGroup *self, uint64_t now_ms)
{
  static const char *const topics[] = { FB_TOPIC_JOBS, NULL };
  FbHttpCall call;
  fb_wire_join (&call, self->entry->settings->store, GROUP, self->member, topics, self->ttl_ms,
                self->generation);
  self->join_sent_ms = now_ms;
  fb_join_monitor_sent (&self->entry->join_monitor, self->join_sent_ms);
  self->keepalive_active = TRUE;
  fb_keepalive_set_renewal (self->entry->keepalive, FB_MEMBERSHIP_OWNERS, &call, self->ttl_ms,
                            self->last_renewal_sent_ms, self->generation);
  fb_http_client_exchange (self->entry->store_client, &call, probe_timeout_ms (self), on_joined,
                           self);
  fb_http_call_clear (&call);
}

static gboolean
join (gpointer data)
{
  FbGroup *self = data;
  uint64_t now_ms = fb_clock_ms ();
  self->timer = 0;
  fb_join_policy_store_answered (&self->join_policy, self->entry->store_answered_ms);
  if (!fb_daemons_is_list_complete (self->entry->daemons)
      || !fb_daemons_may_own (self->entry->daemons))
    {
      self->is_deferred = FALSE;
      stay_non_owner (self);
      return G_SOURCE_REMOVE;
    }
  if (!fb_group_is_member (self, now_ms))
    {
      FbJoinDecision decision = decide_join (self, now_ms);
      if (decision.action != FB_JOIN_NOW)
        {
          defer_join (self, &decision, now_ms);
          return G_SOURCE_REMOVE;
        }
    }
  self->is_deferred = FALSE;
  self->deferred_reason = NULL;
  send_join (self, now_ms);
  return G_SOURCE_REMOVE;
}

static void
on_left (gpointer data, const FbHttpReply *reply)
{
  FbGroup *self = data;
  (void) reply; /* without an answer the membership expires after its time to live */
  self->on_released (self->on_released_user);
}

void
fb_group_release_partitions (FbGroup *self, void (*done) (gpointer user), gpointer user)
{
  self->leaving = TRUE;
  self->on_released = done;
  self->on_released_user = user;
  if (self->timer != 0)
    g_source_remove (self->timer);
  self->timer = 0;
  fb_keepalive_cancel (self->entry->keepalive, FB_MEMBERSHIP_OWNERS);
  fb_group_leave_self (self->group_leave, on_left, self);
}

FbGroup *
fb_group_new (FbEntryDaemon *entry)
{
  FbGroup *self = g_new0 (FbGroup, 1);
  self->entry = entry;
  self->member
      = g_strdup_printf ("%s/%" G_GINT64_FORMAT, entry->settings->peers, g_get_real_time ());
  self->ttl_ms = (uint32_t) MAX (TTL_MS, entry->settings->shortest_ttl_ms);
  self->owner_of = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  fb_join_policy_init (&self->join_policy, self->ttl_ms, fb_clock_ms ());
  self->group_leave = fb_group_leave_new (entry, GROUP, self->member);
  request_owners (self, fb_clock_ms ());
  join (self);
  return self;
}
