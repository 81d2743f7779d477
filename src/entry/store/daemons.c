#include "daemons.h"

#include "group-leave.h"

#include "src/entry/configuration.h"
#include "src/entry/entry-private.h"

#include "fb-event.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define GROUP "daemons"
/* Time to live of a membership, after which a crashed member is removed.  Until then calls to it
 * fail immediately or time out, and it is not used for a while (relay_backoff_until_ms).  A shorter
 * time to live requires more calls of the store. */
#define TTL_MS 2000
#define JOIN_INTERVAL_MS 600
/* The same while the configuration is read seldom: joins, which the store counts as a tenth of a
 * call, then show whether it answers (STORE_SILENT_MS). */
#define JOIN_INTERVAL_SHORT_MS 300
/* Delay of the next join after a change of the group.  The store reassigns partitions once each
 * member has joined with the new generation, so a member that receives a new generation joins again
 * soon. */
#define JOIN_AFTER_CHANGE_MS 100
#define ANSWER_TIMEOUT_MS 500
/* Members are read when the group has changed, and at least at this interval, by daemons that need
 * a current list, see needs_current_list(). */
#define READ_INTERVAL_MS 3000
#define READ_AFTER_CHANGE_MS 300
/* Interval at which the other daemons of a large fleet read the members.  They only use the list to
 * choose peers to which they turn when the store does not answer them. */
#define READ_IDLE_INTERVAL_MS 60000
/* Number of members up to which each daemon keeps its lists current.  A list has at least one row
 * of some 70 bytes for each member, so the cost of all lists grows with the square of the members.
 */
#define CURRENT_LISTS_MAX_MEMBERS 64
/* Retry interval until a list is accepted, because pools wait for it. */
#define READ_RETRY_MS 100
/* Time after which any list is accepted, because the store may never assign a partition to the
 * reader.  Until then a list is accepted only if it contains the reader's address.  A list without
 * it was made after the old members expired and before the reader was added: when all daemons start
 * at the same time, the first list that each one reads contains two of 33, and each daemon
 * concludes that it has enough processor time to own partitions.  Daemons of 0.12 of a core then
 * take over pools and lose them 0.5 to 1.3 s later to those of 0.5 of a core, which start loading
 * again.  A list that contains the reader's previous process is accepted, because it was made
 * before that process expired. */
#define ANY_LIST_AFTER_MS 1500
/* Number of topics over which the members of a small group are spread, and of a large one at most:
 * the store assigns the partitions of no more than 20 topics of a group.  See
 * fb_daemon_topic_joined(). */
#define TOPICS_MIN 4
#define TOPICS_MAX 20
/* Time without a partition after which a member joins with another topic.  The store reassigns
 * partitions once all members have joined again. */
#define NO_PARTITION_MS 1500
/* Minimum processor share of an owner, as a percentage of the largest share: the load of an owner
 * depends on its pool, not on its own capacity. */
#define OWNER_CPU_MIN_PERCENT 50

struct _FbDaemons
{
  FbEntryDaemon *entry;
  char *name; /* member name of this process: ADDRESS/DOMAIN/CPU/START */
  uint64_t began_ms;
  uint64_t join_sent_ms;
  GPtrArray *members;     /* of FbDaemon */
  GHashTable *by_address; /* address -> FbDaemon, borrowed from MEMBERS */
  gboolean is_whole;      /* see fb_daemons_is_whole() */
  gboolean list_complete; /* see fb_daemons_is_list_complete() */
  FbDaemonTopic topic;    /* of the next join */
  FbGroupLeave *group_leave;
  uint64_t generation;
  uint64_t read_generation; /* generation at the last request for the members; 0: they have to be
                             * requested again */
  uint64_t read_ms;         /* time at which the members were last requested */
  gboolean read_open;
  gboolean leaving;
  guint timer;
};

static gboolean join (gpointer data);

void
fb_daemon_free (gpointer data)
{
  FbDaemon *member = data;
  g_free (member->address);
  g_free (member->domain);
  g_free (member);
}

/* NAME: ADDRESS/DOMAIN/CPU/START.
 * Returns: (transfer full) (nullable): the member; NULL when NAME is malformed. */
static FbDaemon *
parse_member (const char *name)
{
  g_auto (GStrv) parts = g_strsplit (name, "/", 4);
  if (g_strv_length (parts) != 4 || *parts[0] == '\0')
    return NULL;
  FbDaemon *member = g_new0 (FbDaemon, 1);
  member->address = g_strdup (parts[0]);
  member->domain = g_strdup (parts[1]);
  member->cpu_milli = (uint32_t) strtoul (parts[2], NULL, 10);
  member->started_us = strtoull (parts[3], NULL, 10);
  return member;
}

static GHashTable *
index_members (const GPtrArray *members)
{
  GHashTable *by_address = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < members->len; i++)
    g_hash_table_insert (by_address, ((FbDaemon *) members->pdata[i])->address, members->pdata[i]);
  return by_address;
}

/* Adds MEMBER (transfer full), or updates the one that started earlier at its address. */
static void
add_process (GPtrArray *members, GHashTable *by_address, FbDaemon *member)
{
  FbDaemon *other = g_hash_table_lookup (by_address, member->address);
  if (other == NULL)
    {
      g_ptr_array_add (members, member);
      g_hash_table_insert (by_address, member->address, member);
      return;
    }
  if (member->started_us > other->started_us)
    {
      other->started_us = member->started_us;
      other->cpu_milli = member->cpu_milli;
    }
  fb_daemon_free (member);
}

void
fb_daemons_parse (GPtrArray *members, const GArray *rows)
{
  g_autoptr (GHashTable) by_address = index_members (members);
  for (guint i = 0; i < rows->len; i++)
    {
      FbDaemon *member = parse_member (g_array_index (rows, FbPartitionOwner, i).member);
      if (member != NULL)
        add_process (members, by_address, member);
    }
}

gboolean
fb_daemons_contain (const GPtrArray *members, const char *address)
{
  for (guint i = 0; i < members->len; i++)
    {
      if (g_str_equal (((FbDaemon *) members->pdata[i])->address, address))
        return TRUE;
    }
  return FALSE;
}

uint64_t
fb_daemons_owner_min_milli (const GPtrArray *members)
{
  uint64_t max_milli = 0;
  for (guint i = 0; i < members->len; i++)
    max_milli = MAX (max_milli, ((const FbDaemon *) members->pdata[i])->cpu_milli);
  return (max_milli * OWNER_CPU_MIN_PERCENT + 99) / 100;
}

gboolean
fb_daemons_lists_all (guint per_topic, guint members_n)
{
  return members_n < per_topic;
}

/* Returns: one of the topics from FIRST on, by the name of the member and the number of its
 * choices. */
static guint
choose_topic (FbDaemonTopic *self, guint first)
{
  uint64_t hash = XXH64 (&self->choices_n, sizeof self->choices_n, self->seed);
  self->choices_n++;
  return first + (guint) (hash % (self->topics_n - first));
}

void
fb_daemon_topic_init (FbDaemonTopic *self, const char *address)
{
  *self = (FbDaemonTopic){ .topics_n = TOPICS_MIN, .seed = XXH64 (address, strlen (address), 0) };
  self->topic = choose_topic (self, 0);
}

/* A new member chooses among the topics that the others use; one that is listed changes nothing,
 * because each change moves partitions. */
void
fb_daemon_topic_listed (FbDaemonTopic *self, guint topics_n)
{
  topics_n = MIN (topics_n, TOPICS_MAX);
  if (self->is_listed || topics_n <= self->topics_n)
    return;
  self->topics_n = topics_n;
  self->topic = choose_topic (self, 0);
}

/* The store lists only members that hold a partition.  It distributes those of a topic evenly over
 * the members that join with it, but a member keeps what it holds in other topics while new ones
 * get nothing.  Therefore each member joins with one topic, and with another one if it gets no
 * partition because the topic has more members than partitions.  A member that is not listed relays
 * no orders, is sent no requests for advice, and seems to have failed. */
void
fb_daemon_topic_joined (FbDaemonTopic *self, guint held_n, uint64_t now_ms)
{
  self->is_listed = held_n > 0;
  if (self->is_listed || self->without_since_ms == 0)
    {
      self->without_since_ms = self->is_listed ? 0 : now_ms;
      return;
    }
  if (now_ms < self->without_since_ms + NO_PARTITION_MS)
    return;
  guint previous_n = self->topics_n;
  self->topics_n = MIN (2 * previous_n, TOPICS_MAX);
  self->topic = choose_topic (self, self->topics_n > previous_n ? previous_n : 0);
  self->without_since_ms = now_ms;
}

gboolean
fb_daemons_is_predecessor (const char *name, const char *own_name)
{
  gsize address_len = strcspn (own_name, "/");
  return strncmp (name, own_name, address_len + 1) == 0 && !g_str_equal (name, own_name);
}

/* Removes the previous processes of this daemon from the group.  When all daemons lose power and
 * restart within their time to live, the store assigns nothing to the new processes until the
 * previous ones have expired, and new lists are available only 1.2 s after the restart. */
static void
remove_predecessors (FbDaemons *self, const GArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    fb_group_leave_remove_predecessor (self->group_leave,
                                       g_array_index (rows, FbPartitionOwner, i).member);
}

static void
replace_members (FbDaemons *self, GPtrArray *members, guint partitions_n)
{
  guint previous_n = self->members->len;
  guint per_topic = (guint) self->entry->settings->partitions;
  for (guint i = 0; i < members->len; i++)
    {
      FbDaemon *member = members->pdata[i];
      const FbDaemon *previous = g_hash_table_lookup (self->by_address, member->address);
      member->relay_backoff_until_ms = previous != NULL ? previous->relay_backoff_until_ms : 0;
      member->append_backoff_until_ms = previous != NULL ? previous->append_backoff_until_ms : 0;
    }
  g_hash_table_unref (self->by_address);
  g_ptr_array_unref (self->members);
  self->members = members;
  self->by_address = index_members (members);
  self->is_whole = fb_daemons_lists_all (per_topic, members->len);
  self->list_complete = self->list_complete
                        || fb_daemons_contain (members, self->entry->settings->peers)
                        || fb_clock_ms () > self->began_ms + ANY_LIST_AFTER_MS;
  fb_daemon_topic_listed (&self->topic, (partitions_n + per_topic - 1) / per_topic);
  if (members->len != previous_n)
    fb_event_log (FB_EVENT_DAEMONS_READ,
                  "members=%u before=%u generation=%" G_GUINT64_FORMAT
                  " partitions=%u complete=%d topic=%u listed=%d",
                  members->len, previous_n, self->generation, partitions_n, self->list_complete,
                  self->topic.topic, self->topic.is_listed);
}

static void
on_read (gpointer data, const FbHttpReply *reply)
{
  FbDaemons *self = data;
  self->read_open = FALSE;
  g_autoptr (GArray) rows = g_array_new (FALSE, TRUE, sizeof (FbPartitionOwner));
  g_array_set_clear_func (rows, fb_partition_owner_clear);
  if (!fb_wire_parse_owners (reply, rows))
    {
      self->read_generation = 0;
      return;
    }
  GPtrArray *members = g_ptr_array_new_with_free_func (fb_daemon_free);
  fb_daemons_parse (members, rows);
  remove_predecessors (self, rows);
  replace_members (self, members, rows->len);
}

/* TRUE when this daemon acts on who is running: it owns pools, or is about to. */
static gboolean
needs_current_list (const FbDaemons *self)
{
  return !fb_daemons_is_large_fleet (self) || g_hash_table_size (self->entry->owners) > 0
         || (self->entry->group != NULL && fb_group_is_deferred (self->entry->group));
}

static uint64_t
read_interval_ms (const FbDaemons *self)
{
  if (!self->list_complete)
    return READ_RETRY_MS;
  if (!needs_current_list (self))
    return READ_IDLE_INTERVAL_MS;
  return self->read_generation != self->generation ? READ_AFTER_CHANGE_MS : READ_INTERVAL_MS;
}

static void
read_members (FbDaemons *self, uint64_t now_ms)
{
  if (self->read_open || (self->read_ms != 0 && now_ms < self->read_ms + read_interval_ms (self)))
    return;
  self->read_open = TRUE;
  self->read_ms = now_ms;
  self->read_generation = self->generation;
  FbHttpCall call;
  fb_wire_owners (&call, self->entry->settings->store, GROUP);
  fb_http_client_exchange (self->entry->store_client, &call, ANSWER_TIMEOUT_MS, on_read, self);
  fb_http_call_clear (&call);
}

static void
on_joined (gpointer data, const FbHttpReply *reply)
{
  FbDaemons *self = data;
  g_autoptr (GArray) partitions = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  uint64_t generation = 0;
  fb_entry_store_answered (self->entry, reply);
  fb_entry_membership_renewed (self->entry, reply, self->join_sent_ms);
  if (self->leaving)
    return;
  gboolean joined = fb_wire_parse_join (reply, &generation, partitions);
  gboolean changed = joined && generation != self->generation;
  if (joined)
    {
      self->generation = generation;
      fb_daemon_topic_joined (&self->topic, partitions->len, fb_clock_ms ());
    }
  read_members (self, fb_clock_ms ());
  gboolean join_soon = changed || !self->list_complete;
  guint interval_ms
      = fb_configuration_is_read_often (self->entry) ? JOIN_INTERVAL_MS : JOIN_INTERVAL_SHORT_MS;
  self->timer = g_timeout_add (join_soon ? JOIN_AFTER_CHANGE_MS : interval_ms, join, self);
}

static gboolean
join (gpointer data)
{
  FbDaemons *self = data;
  self->timer = 0;
  g_autofree char *topic = g_strdup_printf ("daemons.%u", self->topic.topic + 1);
  const char *const topics[] = { topic, NULL };
  uint32_t ttl_ms = (uint32_t) MAX (TTL_MS, self->entry->settings->shortest_ttl_ms);
  FbHttpCall call;
  fb_wire_join (&call, self->entry->settings->store, GROUP, self->name, topics, ttl_ms,
                self->generation);
  self->join_sent_ms = fb_clock_ms ();
  fb_keepalive_set_renewal (self->entry->keepalive, FB_MEMBERSHIP_DAEMONS, &call, ttl_ms, 0,
                            self->generation);
  fb_http_client_exchange (self->entry->store_client, &call, ANSWER_TIMEOUT_MS, on_joined, self);
  fb_http_call_clear (&call);
  return G_SOURCE_REMOVE;
}

void
fb_daemons_leave (FbDaemons *self)
{
  if (self->leaving)
    return;
  self->leaving = TRUE;
  if (self->timer != 0)
    g_source_remove (self->timer);
  self->timer = 0;
  fb_keepalive_cancel (self->entry->keepalive, FB_MEMBERSHIP_DAEMONS);
  fb_group_leave_self (self->group_leave, NULL, NULL);
}

void
fb_daemons_refresh (FbDaemons *self)
{
  self->read_ms = 0;
  read_members (self, fb_clock_ms ());
}

const GPtrArray *
fb_daemons_all (const FbDaemons *self)
{
  return self->members;
}

gboolean
fb_daemons_is_large_fleet (const FbDaemons *self)
{
  return self->members->len > CURRENT_LISTS_MAX_MEMBERS;
}

gboolean
fb_daemons_is_whole (const FbDaemons *self)
{
  return self->is_whole;
}

gboolean
fb_daemons_is_list_complete (const FbDaemons *self)
{
  return self->list_complete;
}

gboolean
fb_daemons_may_own (const FbDaemons *self)
{
  return self->entry->settings->cpu_milli >= fb_daemons_owner_min_milli (self->members);
}

void
fb_daemons_back_off_relay (FbDaemons *self, const char *address, uint64_t until_ms)
{
  FbDaemon *member = g_hash_table_lookup (self->by_address, address);
  if (member != NULL)
    member->relay_backoff_until_ms = until_ms;
}

void
fb_daemons_back_off_append (FbDaemons *self, const char *address, uint64_t until_ms)
{
  FbDaemon *member = g_hash_table_lookup (self->by_address, address);
  if (member != NULL)
    member->append_backoff_until_ms = until_ms;
}

FbDaemons *
fb_daemons_new (FbEntryDaemon *entry)
{
  FbDaemons *self = g_new0 (FbDaemons, 1);
  const FbEntrySettings *settings = entry->settings;
  self->entry = entry;
  self->members = g_ptr_array_new_with_free_func (fb_daemon_free);
  self->by_address = index_members (self->members);
  self->began_ms = fb_clock_ms ();
  fb_daemon_topic_init (&self->topic, settings->peers);
  self->name = g_strdup_printf ("%s/%s/%u/%" G_GINT64_FORMAT, settings->peers, settings->domain,
                                (guint) settings->cpu_milli, g_get_real_time ());
  self->group_leave = fb_group_leave_new (entry, GROUP, self->name);
  read_members (self, fb_clock_ms ());
  join (self);
  return self;
}
