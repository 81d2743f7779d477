/* Which daemon owns which partitions, as the store deals them.
 *
 * A daemon that the store can no longer hear is dealt out after its time to live.
 * Its name carries the moment of its start: a restarted process must not be taken
 * for the one before, whose orders may still be under way. */
#include "group-leave.h"

#include "src/entry/entry-private.h"

#include "fb-event.h"

#include <string.h>

#define GROUP "owners"
/* A dead owner is replaced after this, if the store allows so short a time; a take-over
 * adds some 0.3 s.  A daemon on a quarter of a core gets three joins through. */
#define TTL_MS 1000
#define JOIN_EVERY_MS 250
/* The store deals anew once each member has joined with the new generation; after a loss
 * of all daemons that takes several rounds.  With 62 ms pools were settled 0.8 s after the
 * last start, with this 0.25 s. */
#define JOIN_CHANGED_MS 30
/* Pause while it is not known yet who the members are, some 10 ms after the start. */
#define UNKNOWN_MS 10
#define ANSWER_MS 500
/* Failure: a store that was silent answers again, and callers are refused until a call that
 * is sent later has told so; with 0.5 s for a join it showed as 0.4 to 0.6 s of refusals more,
 * a fifth of the time in which a caller tries.  Guard: while the store is silent a join is
 * given up and repeated soon, and each second one has the usual time, for a slow store. */
#define PROBE_ANSWER_MS 150
#define PROBE_PAUSE_MS 30
/* Owners are asked for when the group changed, and this often all the same. */
#define OWNERS_EVERY_MS 3000
#define OWNERS_SOON_MS 200
/* What the store has told is told to peers for so long: a read each OWNERS_EVERY_MS. */
#define OWNERS_FRESH_MS 3800

struct _FbGroup
{
  FbEntry *entry;
  char *member;
  uint32_t ttl_ms;
  uint64_t generation;
  uint64_t ok_sent_ms; /* when the last join that was answered had been sent */
  uint64_t join_sent_ms;
  uint64_t owners_ms;   /* when the store last told the owners */
  guint probes_n;       /* joins since the store fell silent */
  GHashTable *owner_of; /* partition -> address */
  uint64_t owners_generation;
  uint64_t owners_asked_ms;
  gboolean owners_open;
  gboolean peer_open; /* a peer is asked for them */
  FbDismissal *dismissal;
  guint timer;
  gboolean renews; /* joins are sent, and repeated by the keepalive */
  gboolean leaving;
  void (*left) (gpointer user);
  gpointer left_user;
};

static gboolean join (gpointer data);

/* ---- owners ------------------------------------------------------------------ */

static void
take_owners (FbGroup *self, const GArray *owners)
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

/* ---- earlier processes of this daemon ------------------------------------------ */

/* Failure: a daemon is killed and starts again within its time to live; the store still
 * takes the process before for the owner of its partitions, and their pools stand still
 * for what is left of that time (0.5 s when all are killed).  Guard: the process before is
 * taken out of the group. */
static void
dismiss_predecessors (FbGroup *self, const GArray *owners)
{
  for (guint i = 0; i < owners->len; i++)
    {
      const char *member = g_array_index (owners, FbPartitionOwner, i).member;
      if (fb_dismissal_of (self->dismissal, member))
        fb_event_log (FB_EVENT_PREDECESSOR_DISMISSED, "member=%s", member);
    }
}

/* ---- what the store says of owners ---------------------------------------------- */

static void
on_peer_owners (gpointer data, const fb_peer_reply *told)
{
  FbGroup *self = data;
  self->peer_open = FALSE;
  if (told == NULL || told->type != FB_REPLY_PARTITION_OWNERS)
    return; /* who needs them asks again */
  const fb_owners_reply *owners = &told->fb_peer_reply_u.owners;
  fb_event_log (FB_EVENT_OWNERS_FROM_PEER, "partitions=%u store_ok_ms_ago=%u",
                owners->owners.owners_len, (guint) (fb_clock_ms () - self->entry->store_ok_ms));
  g_hash_table_remove_all (self->owner_of);
  for (u_int i = 0; i < owners->owners.owners_len; i++)
    {
      const fb_partition_owner *owner = &owners->owners.owners_val[i];
      g_hash_table_insert (self->owner_of, GUINT_TO_POINTER (owner->partition),
                           g_strdup (owner->address));
    }
}

/* Failure: the store turns this daemon away and its partitions have new owners; it shows as
 * callers here who ask for a job, wait for 2 s and are told that the owner is away.  Guard: a
 * peer that the store serves knows the owners. */
static void
ask_peer (FbGroup *self)
{
  const char *peer = fb_group_any_peer (self, NULL);
  if (self->peer_open || peer == NULL)
    return;
  static const fb_peer_request ask = { .type = FB_REQUEST_PARTITION_OWNERS };
  self->peer_open = TRUE;
  fb_peers_ask (self->entry, peer, &ask, ANSWER_MS, on_peer_owners, self);
}

static void
on_owners (gpointer data, const FbHttpReply *reply)
{
  FbGroup *self = data;
  self->owners_open = FALSE;
  g_autoptr (GArray) owners = g_array_new (FALSE, TRUE, sizeof (FbPartitionOwner));
  g_array_set_clear_func (owners, fb_partition_owner_clear);
  if (fb_wire_parse_owners (reply, owners))
    {
      self->owners_ms = fb_clock_ms ();
      take_owners (self, owners);
      dismiss_predecessors (self, owners);
    }
  else
    {
      self->owners_generation = 0;
      ask_peer (self);
    }
}

static void
ask_owners (FbGroup *self, uint64_t now_ms)
{
  gboolean changed = self->owners_generation != self->generation;
  uint64_t every_ms = changed ? OWNERS_SOON_MS : OWNERS_EVERY_MS;
  if (self->owners_open || now_ms < self->owners_asked_ms + every_ms)
    return;
  self->owners_open = TRUE;
  self->owners_asked_ms = now_ms;
  self->owners_generation = self->generation;
  FbHttpCall call;
  fb_wire_owners (&call, self->entry->settings->store, GROUP);
  fb_http_client_exchange (self->entry->store_client, &call, ANSWER_MS, on_owners, self);
  fb_http_call_clear (&call);
}

/* Failure: a daemon that has left joins no more, and with its joins it asked for owners;
 * it shows as callers of its last seconds who wait for 2 s and are turned away, or cut
 * off at its end.  Guard: who notices that an owner is not the one asks. */
void
fb_group_refresh (FbGroup *self)
{
  self->owners_generation = 0;
  ask_owners (self, fb_clock_ms ());
}

void
fb_group_tell_owners (const FbGroup *self, FbTold done, gpointer user)
{
  fb_peer_reply told = { .type = FB_REPLY_UNAVAILABLE };
  if (fb_clock_ms () > self->owners_ms + OWNERS_FRESH_MS || self->owners_generation == 0)
    {
      done (user, &told);
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
  told.type = FB_REPLY_PARTITION_OWNERS;
  told.fb_peer_reply_u.owners.owners.owners_len = n;
  told.fb_peer_reply_u.owners.owners.owners_val = rows;
  done (user, &told);
}

const char *
fb_group_owner_of (const FbGroup *self, uint32_t partition)
{
  return g_hash_table_lookup (self->owner_of, GUINT_TO_POINTER (partition));
}

/* Failure: a daemon that the store turned away for 2 s is no member for its peers; one that reads
 * the members just then and is turned away next knows of nobody that could write for it, and shows
 * no end of a job until it is served again.  Guard: owners count too, whom the store tells apart
 * from the members. */
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

/* Returns: until when no other daemon can have been dealt this one's partitions, by the last
 * renewal that the main loop has sent or that was sent for it; 0: no member. */
static uint64_t
held_until_ms (const FbGroup *self)
{
  if (self->ok_sent_ms == 0)
    return 0;
  uint64_t kept_ms = fb_keepalive_renewed_ms (self->entry->keepalive, FB_MEMBERSHIP_OWNERS);
  return MAX (self->ok_sent_ms, kept_ms) + self->ttl_ms;
}

gboolean
fb_group_is_member (const FbGroup *self, uint64_t now_ms)
{
  return now_ms < held_until_ms (self);
}

/* Failure: a daemon was away for longer than its time to live and is dealt the same
 * partitions again; it shows as an owner whose state lacks what another did in between.
 * Guard: it gives up what it had, and takes it over anew. */
static void
give_up_after_absence (FbGroup *self, uint64_t generation)
{
  if (self->generation == 0 || generation == self->generation
      || self->join_sent_ms < held_until_ms (self))
    return;
  g_autoptr (GArray) none = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  fb_entry_own (self->entry, none, generation, "it joined too late");
}

static void
on_joined (gpointer data, const FbHttpReply *reply)
{
  FbGroup *self = data;
  fb_entry_store_answered (self->entry, reply);
  fb_entry_renewed (self->entry, reply, self->join_sent_ms);
  g_autoptr (GArray) partitions = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  uint64_t generation = 0;
  uint64_t now_ms = fb_clock_ms ();
  if (self->leaving)
    return;
  if (!fb_wire_parse_join (reply, &generation, partitions))
    {
      gboolean silent = fb_entry_store_is_silent (self->entry);
      self->timer = g_timeout_add (silent ? PROBE_PAUSE_MS : JOIN_EVERY_MS / 2, join, self);
      return;
    }
  fb_entry_join_answered (self->entry, self->ttl_ms);
  give_up_after_absence (self, generation);
  gboolean changed = generation != self->generation;
  self->generation = generation;
  self->ok_sent_ms = self->join_sent_ms;
  fb_entry_own (self->entry, partitions, generation, "dealt to another daemon");
  self->timer = g_timeout_add (changed ? JOIN_CHANGED_MS : JOIN_EVERY_MS, join, self);
  ask_owners (self, now_ms);
}

/* The pool of a service is decided by one daemon, so it is left to those with the most
 * processor.  On a site of 0.5 and 0.12 of a core one of the latter got the pool of 350 workers
 * in four of five cases, and was out of processor after 4 s. */
static void
stay_out (FbGroup *self)
{
  if (self->ok_sent_ms != 0)
    {
      g_autoptr (GArray) none = g_array_new (FALSE, TRUE, sizeof (uint32_t));
      fb_entry_own (self->entry, none, self->generation, "not among the strong daemons");
      fb_join_watch_left (&self->entry->joins);
      fb_dismissal_leave (self->dismissal, NULL, NULL);
      self->ok_sent_ms = 0;
      self->generation = 0;
    }
  if (self->renews)
    fb_keepalive_cancel (self->entry->keepalive, FB_MEMBERSHIP_OWNERS);
  self->renews = FALSE;
  ask_owners (self, fb_clock_ms ());
  guint again_ms = fb_daemons_known (self->entry->daemons) ? JOIN_EVERY_MS : UNKNOWN_MS;
  self->timer = g_timeout_add (again_ms, join, self);
}

static guint
join_patience_ms (FbGroup *self)
{
  self->probes_n = fb_entry_store_is_silent (self->entry) ? self->probes_n + 1 : 0;
  return self->probes_n % 2 == 1 ? PROBE_ANSWER_MS : ANSWER_MS;
}

static gboolean
join (gpointer data)
{
  FbGroup *self = data;
  self->timer = 0;
  if (!fb_daemons_known (self->entry->daemons) || !fb_daemons_is_strong (self->entry->daemons))
    {
      stay_out (self);
      return G_SOURCE_REMOVE;
    }
  static const char *const topics[] = { FB_TOPIC_JOBS, NULL };
  FbHttpCall call;
  fb_wire_join (&call, self->entry->settings->store, GROUP, self->member, topics, self->ttl_ms,
                self->generation);
  self->join_sent_ms = fb_clock_ms ();
  fb_join_watch_sent (&self->entry->joins, self->join_sent_ms);
  self->renews = TRUE;
  fb_keepalive_renewing (self->entry->keepalive, FB_MEMBERSHIP_OWNERS, &call, self->ttl_ms,
                         self->ok_sent_ms);
  fb_http_client_exchange (self->entry->store_client, &call, join_patience_ms (self), on_joined,
                           self);
  fb_http_call_clear (&call);
  return G_SOURCE_REMOVE;
}

static void
on_left (gpointer data, const FbHttpReply *reply)
{
  FbGroup *self = data;
  (void) reply; /* without an answer the store waits for the time to live */
  self->left (self->left_user);
}

void
fb_group_leave (FbGroup *self, void (*done) (gpointer user), gpointer user)
{
  self->leaving = TRUE;
  self->left = done;
  self->left_user = user;
  if (self->timer != 0)
    g_source_remove (self->timer);
  self->timer = 0;
  fb_keepalive_cancel (self->entry->keepalive, FB_MEMBERSHIP_OWNERS);
  fb_dismissal_leave (self->dismissal, on_left, self);
}

FbGroup *
fb_group_new (FbEntry *entry)
{
  FbGroup *self = g_new0 (FbGroup, 1);
  self->entry = entry;
  self->member
      = g_strdup_printf ("%s/%" G_GINT64_FORMAT, entry->settings->peers, g_get_real_time ());
  self->ttl_ms = (uint32_t) MAX (TTL_MS, entry->settings->shortest_ttl_ms);
  self->owner_of = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  self->dismissal = fb_dismissal_new (entry, GROUP, self->member);
  ask_owners (self, fb_clock_ms ());
  join (self);
  return self;
}
