#include "daemons.h"

#include "group-leave.h"

#include "src/entry/entry-private.h"

#include "fb-event.h"

#include <stdlib.h>
#include <string.h>

#define GROUP "daemons"
/* Time to live of a membership, after which a crashed member is removed.  Until then calls to it
 * fail immediately or time out, and it is not used for a while (relay_backoff_until_ms).  A shorter
 * time to live requires more calls of the store. */
#define TTL_MS 2000
#define JOIN_INTERVAL_MS 600
/* Delay of the next join after a change of the group.  The store reassigns partitions once each
 * member has joined with the new generation, so a member that receives a new generation joins again
 * soon. */
#define JOIN_AFTER_CHANGE_MS 100
#define ANSWER_TIMEOUT_MS 500
/* Members are read when the group has changed, and at least at this interval. */
#define READ_INTERVAL_MS 3000
#define READ_AFTER_CHANGE_MS 300
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
/* Initial number of topics whose partitions the group assigns.  The store lists only members that
 * hold a partition, so there have to be more partitions than daemons; see
 * fb_daemons_needed_topics(). */
#define TOPICS_MIN 4
#define TOPICS_MAX 64
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
  gboolean list_complete; /* see fb_daemons_is_list_complete() */
  guint topics_n;         /* number of topics in the next join */
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

static FbDaemon *
find_member (const GPtrArray *members, const char *address)
{
  for (guint i = 0; i < members->len; i++)
    {
      if (g_str_equal (((FbDaemon *) members->pdata[i])->address, address))
        return members->pdata[i];
    }
  return NULL;
}

void
fb_daemons_parse (GPtrArray *members, const GArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    {
      FbDaemon *member = parse_member (g_array_index (rows, FbPartitionOwner, i).member);
      FbDaemon *other = member != NULL ? find_member (members, member->address) : NULL;
      if (member != NULL && other == NULL)
        g_ptr_array_add (members, member);
      else if (member != NULL)
        {
          if (member->started_us > other->started_us)
            {
              other->started_us = member->started_us;
              other->cpu_milli = member->cpu_milli;
            }
          fb_daemon_free (member);
        }
    }
}

gboolean
fb_daemons_contain (const GPtrArray *members, const char *address)
{
  return find_member (members, address) != NULL;
}

/* Doubles the number of topics once as many members are listed as there are partitions.  With more
 * daemons than partitions only some are listed, and the others relay no orders and send no requests
 * for advice. */
guint
fb_daemons_needed_topics (guint topics_n, guint partitions_n, guint members_n)
{
  return members_n > 0 && members_n >= partitions_n ? MIN (2 * topics_n, TOPICS_MAX) : topics_n;
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
  for (guint i = 0; i < members->len; i++)
    {
      FbDaemon *member = members->pdata[i];
      const FbDaemon *previous = find_member (self->members, member->address);
      member->relay_backoff_until_ms = previous != NULL ? previous->relay_backoff_until_ms : 0;
      member->append_backoff_until_ms = previous != NULL ? previous->append_backoff_until_ms : 0;
    }
  g_ptr_array_unref (self->members);
  self->members = members;
  self->list_complete = self->list_complete
                        || fb_daemons_contain (members, self->entry->settings->peers)
                        || fb_clock_ms () > self->began_ms + ANY_LIST_AFTER_MS;
  self->topics_n = fb_daemons_needed_topics (self->topics_n, partitions_n, members->len);
  if (members->len != previous_n)
    fb_event_log (FB_EVENT_DAEMONS_READ,
                  "members=%u before=%u generation=%" G_GUINT64_FORMAT " partitions=%u complete=%d",
                  members->len, previous_n, self->generation, partitions_n, self->list_complete);
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

static void
read_members (FbDaemons *self, uint64_t now_ms)
{
  uint64_t interval_ms
      = self->read_generation != self->generation ? READ_AFTER_CHANGE_MS : READ_INTERVAL_MS;
  if (!self->list_complete)
    interval_ms = READ_RETRY_MS;
  if (self->read_open || (self->read_ms != 0 && now_ms < self->read_ms + interval_ms))
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
    self->generation = generation;
  read_members (self, fb_clock_ms ());
  gboolean join_soon = changed || !self->list_complete;
  self->timer = g_timeout_add (join_soon ? JOIN_AFTER_CHANGE_MS : JOIN_INTERVAL_MS, join, self);
}

/* Returns: (transfer full): the names of the first N topics of the group. */
static GStrv
topic_names (guint n)
{
  GStrv names = g_new0 (char *, n + 1);
  for (guint i = 0; i < n; i++)
    names[i] = g_strdup_printf ("daemons.%u", i + 1);
  return names;
}

static gboolean
join (gpointer data)
{
  FbDaemons *self = data;
  self->timer = 0;
  g_auto (GStrv) topics = topic_names (self->topics_n);
  uint32_t ttl_ms = (uint32_t) MAX (TTL_MS, self->entry->settings->shortest_ttl_ms);
  FbHttpCall call;
  fb_wire_join (&call, self->entry->settings->store, GROUP, self->name,
                (const char *const *) topics, ttl_ms, self->generation);
  self->join_sent_ms = fb_clock_ms ();
  fb_keepalive_set_renewal (self->entry->keepalive, FB_MEMBERSHIP_DAEMONS, &call, ttl_ms, 0);
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

const GPtrArray *
fb_daemons_all (const FbDaemons *self)
{
  return self->members;
}

gboolean
fb_daemons_is_list_complete (const FbDaemons *self)
{
  return self->list_complete;
}

gboolean
fb_daemons_may_own (const FbDaemons *self)
{
  uint64_t own_milli = self->entry->settings->cpu_milli;
  uint64_t max_milli = own_milli;
  for (guint i = 0; i < self->members->len; i++)
    max_milli = MAX (max_milli, ((FbDaemon *) self->members->pdata[i])->cpu_milli);
  return own_milli * 100 >= max_milli * OWNER_CPU_MIN_PERCENT;
}

void
fb_daemons_back_off_relay (FbDaemons *self, const char *address, uint64_t until_ms)
{
  FbDaemon *member = find_member (self->members, address);
  if (member != NULL)
    member->relay_backoff_until_ms = until_ms;
}

void
fb_daemons_back_off_append (FbDaemons *self, const char *address, uint64_t until_ms)
{
  FbDaemon *member = find_member (self->members, address);
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
  self->began_ms = fb_clock_ms ();
  self->topics_n = TOPICS_MIN;
  self->name = g_strdup_printf ("%s/%s/%u/%" G_GINT64_FORMAT, settings->peers, settings->domain,
                                (guint) settings->cpu_milli, g_get_real_time ());
  self->group_leave = fb_group_leave_new (entry, GROUP, self->name);
  read_members (self, fb_clock_ms ());
  join (self);
  return self;
}
