#include "daemons.h"

#include "entry-private.h"

#include "fb-event.h"

#include <stdlib.h>

#define GROUP "daemons"
/* A member that is dead is left out after this; meanwhile what is sent to it fails at once or
 * after its time limit, and it rests.  Short lives cost calls of the store. */
#define TTL_MS 2000
#define JOIN_EVERY_MS 600
#define ANSWER_MS 500
/* Members are read when the group has changed, and this often all the same. */
#define READ_EVERY_MS 3000
#define READ_SOON_MS 300
/* A daemon with less than half of the strongest one's processor owns nothing: an owner's load is
 * that of its pool, whatever it has itself. */
#define STRONG_PERCENT 50

struct _FbDaemons
{
  FbEntry *entry;
  char *name;
  GPtrArray *members; /* of FbDaemon */
  gboolean known;
  uint64_t generation;
  uint64_t read_generation;
  uint64_t read_ms; /* when they were asked for last */
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

/* NAME: ADDRESS/DOMAIN/CPU/START.  Returns: (transfer full) (nullable). */
static FbDaemon *
member_from (const char *name)
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
find (const GPtrArray *members, const char *address)
{
  for (guint i = 0; i < members->len; i++)
    {
      if (g_str_equal (((FbDaemon *) members->pdata[i])->address, address))
        return members->pdata[i];
    }
  return NULL;
}

void
fb_daemons_read (GPtrArray *members, const GArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    {
      FbDaemon *member = member_from (g_array_index (rows, FbPartitionOwner, i).member);
      FbDaemon *other = member != NULL ? find (members, member->address) : NULL;
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

static void
on_read (gpointer data, const FbHttpReply *reply)
{
  FbDaemons *self = data;
  self->read_open = FALSE;
  g_autoptr (GArray) rows = g_array_new (FALSE, TRUE, sizeof (FbPartitionOwner));
  g_array_set_clear_func (rows, fb_partition_owner_clear);
  if (!fb_wire_owners_told (reply, rows))
    {
      self->read_generation = 0;
      return;
    }
  GPtrArray *members = g_ptr_array_new_with_free_func (fb_daemon_free);
  fb_daemons_read (members, rows);
  for (guint i = 0; i < members->len; i++)
    {
      FbDaemon *member = members->pdata[i];
      const FbDaemon *before = find (self->members, member->address);
      member->rests_ms = before != NULL ? before->rests_ms : 0;
    }
  if (members->len != self->members->len)
    fb_event_log (FB_EVENT_DAEMONS_READ, "members=%u before=%u generation=%" G_GUINT64_FORMAT,
                  members->len, self->members->len, self->generation);
  g_ptr_array_unref (self->members);
  self->members = members;
  self->known = TRUE;
}

static void
read_members (FbDaemons *self, uint64_t now_ms)
{
  uint64_t every_ms = self->read_generation != self->generation ? READ_SOON_MS : READ_EVERY_MS;
  if (self->read_open || (self->read_ms != 0 && now_ms < self->read_ms + every_ms))
    return;
  self->read_open = TRUE;
  self->read_ms = now_ms;
  self->read_generation = self->generation;
  FbHttpCall call;
  fb_wire_owners (&call, self->entry->settings->store, GROUP);
  fb_http_client_exchange (self->entry->store_client, &call, ANSWER_MS, on_read, self);
  fb_http_call_clear (&call);
}

static void
on_joined (gpointer data, const FbHttpReply *reply)
{
  FbDaemons *self = data;
  g_autoptr (GArray) partitions = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  uint64_t generation = 0;
  fb_entry_store_answered (self->entry, reply);
  if (self->leaving)
    return;
  if (fb_wire_joined (reply, &generation, partitions))
    self->generation = generation;
  read_members (self, fb_clock_ms ());
  self->timer = g_timeout_add (JOIN_EVERY_MS, join, self);
}

/* The store names only members that hold a partition, so there have to be more of these than
 * daemons: those of four topics. */
static gboolean
join (gpointer data)
{
  static const char *const topics[]
      = { FB_TOPIC_JOBS, FB_TOPIC_PROGRESS, "daemons.1", "daemons.2", NULL };
  FbDaemons *self = data;
  self->timer = 0;
  uint32_t ttl_ms = (uint32_t) MAX (TTL_MS, self->entry->settings->shortest_ttl_ms);
  FbHttpCall call;
  fb_wire_join (&call, self->entry->settings->store, GROUP, self->name, topics, ttl_ms,
                self->generation);
  fb_keepalive_renewing (self->entry->keepalive, FB_MEMBERSHIP_DAEMONS, &call, ttl_ms, 0);
  fb_http_client_exchange (self->entry->store_client, &call, ANSWER_MS, on_joined, self);
  fb_http_call_clear (&call);
  return G_SOURCE_REMOVE;
}

static void
on_left (gpointer data, const FbHttpReply *reply)
{
  (void) data;
  (void) reply; /* without an answer its time to live runs out */
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
  fb_keepalive_forget (self->entry->keepalive, FB_MEMBERSHIP_DAEMONS);
  FbHttpCall call;
  fb_wire_leave (&call, self->entry->settings->store, GROUP, self->name);
  fb_http_client_exchange (self->entry->store_client, &call, ANSWER_MS, on_left, self);
  fb_http_call_clear (&call);
}

const GPtrArray *
fb_daemons_all (const FbDaemons *self)
{
  return self->members;
}

gboolean
fb_daemons_known (const FbDaemons *self)
{
  return self->known;
}

gboolean
fb_daemons_is_strong (const FbDaemons *self)
{
  uint64_t own_milli = self->entry->settings->cpu_milli;
  uint64_t most_milli = own_milli;
  for (guint i = 0; i < self->members->len; i++)
    most_milli = MAX (most_milli, ((FbDaemon *) self->members->pdata[i])->cpu_milli);
  return own_milli * 100 >= most_milli * STRONG_PERCENT;
}

void
fb_daemons_rest (FbDaemons *self, const char *address, uint64_t until_ms)
{
  FbDaemon *member = find (self->members, address);
  if (member != NULL)
    member->rests_ms = until_ms;
}

FbDaemons *
fb_daemons_new (FbEntry *entry)
{
  FbDaemons *self = g_new0 (FbDaemons, 1);
  const FbEntrySettings *settings = entry->settings;
  self->entry = entry;
  self->members = g_ptr_array_new_with_free_func (fb_daemon_free);
  self->name = g_strdup_printf ("%s/%s/%u/%" G_GINT64_FORMAT, settings->peers, settings->domain,
                                (guint) settings->cpu_milli, g_get_real_time ());
  read_members (self, fb_clock_ms ());
  join (self);
  return self;
}
