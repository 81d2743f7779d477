/* Membership by heartbeats, and preferred owners by rendezvous hashing.
 *
 * Membership only determines which daemon tries to own a shard; it does not grant ownership. If
 * two daemons with different views both claim a shard, only the first claim in the log takes
 * effect (stream.c). Plain heartbeats with a fixed suspicion timeout are therefore sufficient: a
 * wrong suspicion moves a shard unnecessarily, but does not affect safety. With rendezvous hashing,
 * only the shards of a member that leaves are moved. */
#include "internal/member.h"

#include "fb-event.h"

typedef struct
{
  char *name;
  uint32_t partner;
  uint32_t domain;
  uint64_t incarnation;       /* 0 if no heartbeat has arrived */
  uint64_t last_heartbeat_ms; /* when the last heartbeat arrived */
  uint64_t alive_since_ms;
  FbMemberState state;
} Member;

struct _FbMembers
{
  GPtrArray *all;
  GHashTable *by_name;
  guint self_index;
};

static void
member_free (gpointer data)
{
  Member *member = data;
  g_free (member->name);
  g_free (member);
}

FbMembers *
fb_members_new (void)
{
  FbMembers *self = g_new0 (FbMembers, 1);
  self->all = g_ptr_array_new_with_free_func (member_free);
  self->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  return self;
}

void
fb_members_free (FbMembers *self)
{
  g_hash_table_destroy (self->by_name);
  g_ptr_array_free (self->all, TRUE);
  g_free (self);
}

guint
fb_members_add (FbMembers *self, const char *name, uint32_t partner, uint32_t domain)
{
  Member *member = g_new0 (Member, 1);
  member->name = g_strdup (name);
  member->partner = partner;
  member->domain = domain;
  g_ptr_array_add (self->all, member);
  g_hash_table_insert (self->by_name, member->name, GUINT_TO_POINTER (self->all->len));
  return self->all->len - 1;
}

static Member *
member_at (const FbMembers *self, guint index)
{
  return g_ptr_array_index (self->all, index);
}

void
fb_members_set_self (FbMembers *self, guint index, uint64_t incarnation)
{
  self->self_index = index;
  member_at (self, index)->incarnation = incarnation;
  member_at (self, index)->state = FB_MEMBER_ALIVE;
}

guint
fb_members_count (const FbMembers *self)
{
  return self->all->len;
}

int
fb_members_find (const FbMembers *self, const char *name)
{
  return (int) GPOINTER_TO_UINT (g_hash_table_lookup (self->by_name, name)) - 1;
}

const char *
fb_members_name (const FbMembers *self, guint index)
{
  return member_at (self, index)->name;
}

FbMemberState
fb_members_state (const FbMembers *self, guint index)
{
  return member_at (self, index)->state;
}

uint64_t
fb_members_incarnation (const FbMembers *self, guint index)
{
  return member_at (self, index)->incarnation;
}

gboolean
fb_members_record_heartbeat (FbMembers *self, uint64_t now_ms, guint index, uint64_t incarnation,
                             gboolean leaving)
{
  Member *member = member_at (self, index);
  gboolean is_new = incarnation != member->incarnation;
  FbMemberState state = leaving ? FB_MEMBER_LEAVING : FB_MEMBER_ALIVE;
  if (member->state != state || is_new)
    {
      if (state == FB_MEMBER_ALIVE)
        member->alive_since_ms = now_ms;
      fb_event_log (leaving ? FB_EVENT_MEMBER_LEAVING : FB_EVENT_MEMBER_ALIVE, "member=%s",
                    member->name);
    }
  member->incarnation = incarnation;
  member->last_heartbeat_ms = now_ms;
  member->state = state;
  return is_new;
}

void
fb_members_tick (FbMembers *self, uint64_t now_ms)
{
  for (guint i = 0; i < self->all->len; i++)
    {
      Member *member = member_at (self, i);
      gboolean reachable = member->state == FB_MEMBER_ALIVE || member->state == FB_MEMBER_LEAVING;
      if (i == self->self_index || !reachable
          || now_ms - member->last_heartbeat_ms < FB_MEMBER_SUSPECT_MS)
        continue;
      member->state = FB_MEMBER_SUSPECTED;
      fb_event_log (FB_EVENT_MEMBER_SUSPECTED, "member=%s silent_ms=%" G_GUINT64_FORMAT,
                    member->name, now_ms - member->last_heartbeat_ms);
    }
}

int
fb_members_preferred_owner (const FbMembers *self, uint32_t shard, uint32_t partner, guint excluded)
{
  int best = -1;
  uint64_t best_weight = 0;
  for (guint i = 0; i < self->all->len; i++)
    {
      const Member *member = member_at (self, i);
      if (i == excluded || member->partner != partner || member->state != FB_MEMBER_ALIVE)
        continue;
      uint64_t weight = fb_hash64 (member->name, shard);
      if (best < 0 || weight > best_weight)
        {
          best = (int) i;
          best_weight = weight;
        }
    }
  return best;
}

gboolean
fb_members_is_stable (const FbMembers *self, uint64_t now_ms, guint index)
{
  const Member *member = member_at (self, index);
  return member->state == FB_MEMBER_ALIVE
         && (index == self->self_index || now_ms - member->alive_since_ms >= FB_MEMBER_STABLE_MS);
}
