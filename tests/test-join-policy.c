/* When daemons join the owners' group, played with a model of the store's group: partitions are
 * assigned round-robin to the members, and a member expires after its time to live. */
#include "src/entry/store/daemons.h"
#include "src/entry/store/join-policy.h"

#include "platform/wire.h"

#include <CUnit/Basic.h>
#include <stdio.h>

#define DAEMON_N 7
#define PARTITION_N 8
#define TTL_MS 1000
/* Time for which a daemon that was killed is still listed among the running ones. */
#define LISTED_MS 2000
#define STEP_MS 50
#define CONTACT_MS 10000
#define CONTACT_MAX_MS 20000
#define SERVICE_N 2
static const uint32_t service_partitions[SERVICE_N] = { 1, 4 };

typedef struct
{
  char address[16];
  char member[40]; /* member name of its process */
  uint64_t started_ms;
  uint64_t seen_ms;    /* time at which it was last running and in contact with the store */
  gboolean runs;       /* FALSE: its process was killed or stopped */
  gboolean is_cut_off; /* from the store */
  uint64_t renewed_ms; /* time of its last renewal; 0: not a member as far as it knows */
  FbJoinPolicy policy;
  FbJoinDecision decision; /* the last one */
} Daemon;

typedef struct
{
  Daemon daemons[DAEMON_N];
  GPtrArray *members;     /* of char *, member names in the order of their joins */
  GHashTable *renewed;    /* member name -> time of its last renewal */
  gboolean is_silent;     /* the store does not answer */
  gboolean keeps_members; /* members do not expire */
  uint64_t now_ms;
  char owner[SERVICE_N][40];
  guint moves_n;                /* pools taken from an owner that runs and is in contact */
  uint64_t owned_ms[SERVICE_N]; /* time at which a pool last had such an owner */
} World;

/* ---- the store ------------------------------------------------------------------------ */

static uint64_t
renewed_ms (const World *self, const char *member)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (self->renewed, member));
}

static void
remove_member (World *self, const char *member)
{
  for (guint i = 0; i < self->members->len; i++)
    {
      if (!g_str_equal (self->members->pdata[i], member))
        continue;
      g_hash_table_remove (self->renewed, member);
      g_ptr_array_remove_index (self->members, i);
      return;
    }
}

static void
expire_members (World *self)
{
  for (guint i = self->members->len; i > 0 && !self->keeps_members; i--)
    {
      const char *member = self->members->pdata[i - 1];
      if (self->now_ms > renewed_ms (self, member) + TTL_MS)
        remove_member (self, member);
    }
}

static void
add_member (World *self, Daemon *daemon)
{
  if (!g_hash_table_contains (self->renewed, daemon->member))
    g_ptr_array_add (self->members, g_strdup (daemon->member));
  g_hash_table_insert (self->renewed, g_strdup (daemon->member),
                       GUINT_TO_POINTER ((guint) self->now_ms));
  daemon->renewed_ms = self->now_ms;
}

static const char *
owner_of (const World *self, uint32_t partition)
{
  return self->members->len > 0 ? self->members->pdata[partition % self->members->len] : NULL;
}

static GArray *
list_owners (const World *self)
{
  GArray *owners = g_array_new (FALSE, TRUE, sizeof (FbPartitionOwner));
  for (uint32_t i = 0; i < PARTITION_N && self->members->len > 0; i++)
    {
      FbPartitionOwner owner = { i, (char *) owner_of (self, i) };
      g_array_append_val (owners, owner);
    }
  return owners;
}

static GPtrArray *
list_daemons (const World *self)
{
  GPtrArray *daemons = g_ptr_array_new_with_free_func (fb_daemon_free);
  for (guint i = 0; i < DAEMON_N; i++)
    {
      const Daemon *daemon = &self->daemons[i];
      if (daemon->seen_ms == 0 || self->now_ms > daemon->seen_ms + LISTED_MS)
        continue;
      FbDaemon *row = g_new0 (FbDaemon, 1);
      row->address = g_strdup (daemon->address);
      row->started_us = daemon->started_ms * 1000;
      g_ptr_array_add (daemons, row);
    }
  return daemons;
}

/* ---- daemons -------------------------------------------------------------------------- */

static void
start (World *self, guint i)
{
  Daemon *daemon = &self->daemons[i];
  *daemon = (Daemon){ .started_ms = self->now_ms, .runs = TRUE };
  (void) snprintf (daemon->address, sizeof daemon->address, "10.0.0.%u:7", i);
  (void) snprintf (daemon->member, sizeof daemon->member, "10.0.0.%u:7/%" G_GUINT64_FORMAT, i,
                   self->now_ms * 1000 + 1);
  fb_join_policy_init (&daemon->policy, TTL_MS, self->now_ms);
}

static void
kill_daemon (World *self, guint i)
{
  self->daemons[i].runs = FALSE;
}

/* A planned stop: the daemon leaves the group. */
static void
stop (World *self, guint i)
{
  kill_daemon (self, i);
  remove_member (self, self->daemons[i].member);
}

static void
decide (World *self, Daemon *daemon, gboolean is_answered)
{
  FbJoinPolicyView view;
  g_autoptr (GArray) owners = list_owners (self);
  g_autoptr (GPtrArray) daemons = list_daemons (self);
  g_autoptr (GArray) partitions = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  g_array_append_vals (partitions, service_partitions, SERVICE_N);
  if (is_answered)
    fb_join_policy_owners_read (&daemon->policy, owners, self->now_ms, self->now_ms);
  fb_join_policy_view (&view, owners, partitions, daemons, TRUE, daemon->member);
  daemon->decision = fb_join_policy_decide (&daemon->policy, &view, self->now_ms);
  if (daemon->decision.action == FB_JOIN_NOW && is_answered)
    add_member (self, daemon);
}

static void
run_daemon (World *self, Daemon *daemon)
{
  gboolean is_answered = !self->is_silent && !daemon->is_cut_off;
  if (is_answered)
    {
      daemon->seen_ms = self->now_ms;
      fb_join_policy_store_answered (&daemon->policy, self->now_ms);
    }
  if (daemon->renewed_ms != 0 && self->now_ms > daemon->renewed_ms + TTL_MS)
    {
      fb_join_policy_expired (&daemon->policy, self->now_ms);
      daemon->renewed_ms = 0;
    }
  if (daemon->renewed_ms == 0)
    decide (self, daemon, is_answered);
  else if (is_answered)
    add_member (self, daemon);
}

static const Daemon *
find_daemon (const World *self, const char *member)
{
  for (guint i = 0; i < DAEMON_N; i++)
    {
      const Daemon *daemon = &self->daemons[i];
      if (g_str_equal (daemon->member, member))
        return daemon->runs && !daemon->is_cut_off ? daemon : NULL;
    }
  return NULL;
}

static void
watch_pools (World *self)
{
  for (guint i = 0; i < SERVICE_N; i++)
    {
      const char *owner = owner_of (self, service_partitions[i]);
      if (owner == NULL || find_daemon (self, owner) == NULL)
        continue;
      self->owned_ms[i] = self->now_ms;
      if (g_str_equal (owner, self->owner[i]))
        continue;
      self->moves_n += find_daemon (self, self->owner[i]) != NULL;
      (void) g_strlcpy (self->owner[i], owner, sizeof self->owner[i]);
    }
}

static void
step (World *self)
{
  self->now_ms += STEP_MS;
  if (!self->is_silent)
    expire_members (self);
  for (guint i = 0; i < DAEMON_N; i++)
    {
      if (self->daemons[i].runs)
        run_daemon (self, &self->daemons[i]);
    }
  watch_pools (self);
}

static void
run_for (World *self, uint64_t ms)
{
  for (uint64_t end_ms = self->now_ms + ms; self->now_ms < end_ms;)
    step (self);
}

static gboolean
all_owned (const World *self)
{
  return self->owned_ms[0] == self->now_ms && self->owned_ms[1] == self->now_ms;
}

static guint
members_n (const World *self)
{
  guint n = 0;
  for (guint i = 0; i < DAEMON_N; i++)
    n += self->daemons[i].runs && self->daemons[i].renewed_ms != 0;
  return n;
}

/* Returns: the index of the owner of service I. */
static guint
owner_index (const World *self, guint i)
{
  return (guint) (find_daemon (self, self->owner[i]) - self->daemons);
}

static void
world_clear (World *self)
{
  g_ptr_array_unref (self->members);
  g_hash_table_unref (self->renewed);
}

/* All daemons start at once. */
static void
world_begin (World *self)
{
  *self = (World){ .now_ms = 1000000 };
  self->members = g_ptr_array_new_with_free_func (g_free);
  self->renewed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < DAEMON_N; i++)
    start (self, i);
}

/* ---- tests ---------------------------------------------------------------------------- */

/* First start: a daemon that starts a second later than the others must not wait for 10 s and then
 * move the pools, when they are fully loaded. */
static void
test_first_start (void)
{
  World world;
  world_begin (&world);
  kill_daemon (&world, 6);
  step (&world);
  CU_ASSERT_TRUE (all_owned (&world));
  CU_ASSERT_EQUAL (members_n (&world), 6);
  run_for (&world, 1000);
  start (&world, 6);
  step (&world);
  CU_ASSERT_EQUAL (members_n (&world), 7);
  world_clear (&world);
}

/* All daemons are killed and restart within their time to live: the store still lists their
 * previous processes as owners, and no pool may wait until these have expired. */
static void
test_all_restart_at_once (void)
{
  World world;
  world_begin (&world);
  world.keeps_members = TRUE;
  run_for (&world, 30000);
  for (guint i = 0; i < DAEMON_N; i++)
    start (&world, i);
  step (&world);
  CU_ASSERT_EQUAL (members_n (&world), DAEMON_N);
  world_clear (&world);
}

/* The store answers nobody for 5 s, and all memberships expire: the pools have owners as soon as it
 * answers.  The other daemons join together 10 s later, so that each pool moves once at most. */
static void
test_store_unavailable_to_all (void)
{
  World world;
  world_begin (&world);
  run_for (&world, 30000);
  world.is_silent = TRUE;
  run_for (&world, 5000);
  CU_ASSERT_EQUAL (members_n (&world), 0);
  world.is_silent = FALSE;
  step (&world);
  CU_ASSERT_TRUE (all_owned (&world));
  CU_ASSERT_TRUE (members_n (&world) >= 2);
  guint moves_n = world.moves_n;
  run_for (&world, CONTACT_MS + STEP_MS);
  CU_ASSERT_EQUAL (members_n (&world), DAEMON_N);
  CU_ASSERT_TRUE (world.moves_n <= moves_n + SERVICE_N);
  world_clear (&world);
}

/* The same with a store that does not let members expire while it is unavailable: an owner that is
 * still listed stays the owner. */
static void
test_store_keeps_members_while_unavailable (void)
{
  World world;
  world_begin (&world);
  run_for (&world, 30000);
  guint moves_n = world.moves_n;
  world.is_silent = TRUE;
  world.keeps_members = TRUE;
  run_for (&world, 5000);
  world.is_silent = FALSE;
  step (&world);
  CU_ASSERT_TRUE (all_owned (&world));
  CU_ASSERT_EQUAL (members_n (&world), DAEMON_N);
  CU_ASSERT_EQUAL (world.moves_n, moves_n);
  world_clear (&world);
}

/* An owner is cut off from the store for 3 s.  The pools moved back to such a daemon when it
 * returned, and again with the next fault. */
static void
test_one_daemon_cut_off_and_back (void)
{
  World world;
  world_begin (&world);
  run_for (&world, 30000);
  Daemon *daemon = &world.daemons[owner_index (&world, 0)];
  daemon->is_cut_off = TRUE;
  run_for (&world, 3000);
  CU_ASSERT_TRUE (all_owned (&world));
  CU_ASSERT_EQUAL (daemon->decision.action, FB_JOIN_READ_OWNERS);
  guint moves_n = world.moves_n;
  daemon->is_cut_off = FALSE;
  run_for (&world, CONTACT_MS - STEP_MS);
  CU_ASSERT_EQUAL (daemon->decision.action, FB_JOIN_WAIT);
  CU_ASSERT_EQUAL (daemon->decision.until_ms, world.now_ms + 2 * STEP_MS);
  CU_ASSERT_EQUAL (world.moves_n, moves_n);
  CU_ASSERT_TRUE (all_owned (&world));
  run_for (&world, 2 * STEP_MS);
  CU_ASSERT_EQUAL (members_n (&world), DAEMON_N);
  world_clear (&world);
}

/* A daemon that is cut off again while it waits starts its wait again. */
static void
test_cut_off_again_while_waiting (void)
{
  World world;
  world_begin (&world);
  run_for (&world, 30000);
  Daemon *daemon = &world.daemons[2];
  for (guint i = 0; i < 4; i++)
    {
      daemon->is_cut_off = TRUE;
      run_for (&world, 1500);
      daemon->is_cut_off = FALSE;
      run_for (&world, CONTACT_MS - STEP_MS);
      CU_ASSERT_EQUAL (members_n (&world), DAEMON_N - 1);
    }
  run_for (&world, 2 * STEP_MS);
  CU_ASSERT_EQUAL (members_n (&world), DAEMON_N);
  world_clear (&world);
}

/* Daemons are restarted one after the other, one every 2 s, each within 0.5 s.  No pool may be
 * without an owner, and pools may move only because a member has left and when the daemons return
 * together: without the rule, each return is a change of the group of its own. */
static void
test_rolling_restart (void)
{
  World world;
  guint joins_n = 0;
  guint before = DAEMON_N;
  world_begin (&world);
  run_for (&world, 30000);
  for (uint64_t at_ms = 0; at_ms < 2000 * DAEMON_N + CONTACT_MAX_MS; at_ms += STEP_MS)
    {
      if (at_ms < 2000 * DAEMON_N && at_ms % 2000 == 0)
        stop (&world, (guint) (at_ms / 2000));
      if (at_ms < 2000 * DAEMON_N && at_ms % 2000 == 500)
        start (&world, (guint) (at_ms / 2000));
      step (&world);
      CU_ASSERT_TRUE (all_owned (&world));
      joins_n += members_n (&world) > before;
      before = members_n (&world);
    }
  CU_ASSERT_EQUAL (members_n (&world), DAEMON_N);
  CU_ASSERT_TRUE (joins_n < DAEMON_N);
  world_clear (&world);
}

/* All owners are killed while the other daemons wait before they join: these join as soon as the
 * store lists the owners no more. */
static void
test_last_owner_killed_while_others_wait (void)
{
  World world;
  world_begin (&world);
  run_for (&world, 30000);
  for (guint i = 0; i < DAEMON_N; i++)
    {
      if (i != owner_index (&world, 0) && i != owner_index (&world, 1))
        stop (&world, i);
    }
  step (&world);
  for (guint i = 0; i < DAEMON_N; i++)
    {
      if (!world.daemons[i].runs)
        start (&world, i);
      world.daemons[i].started_ms -= 5000 * i; /* not together, by their wall clocks */
    }
  run_for (&world, 5000);
  CU_ASSERT_EQUAL (members_n (&world), 2);
  kill_daemon (&world, owner_index (&world, 0));
  kill_daemon (&world, owner_index (&world, 1));
  run_for (&world, TTL_MS + STEP_MS);
  CU_ASSERT_TRUE (all_owned (&world));
  CU_ASSERT_TRUE (members_n (&world) >= 2);
  world_clear (&world);
}

/* ---- single decisions -------------------------------------------------------------------- */

static const FbJoinPolicyView two_owners = { .owners_n = 2 };

/* Reads the owners, which change with MEMBER. */
static void
read_owners (FbJoinPolicy *policy, const char *member, uint64_t sent_ms, uint64_t now_ms)
{
  g_autoptr (GArray) owners = g_array_new (FALSE, TRUE, sizeof (FbPartitionOwner));
  FbPartitionOwner owner = { 1, (char *) member };
  g_array_append_val (owners, owner);
  fb_join_policy_store_answered (policy, now_ms);
  fb_join_policy_owners_read (policy, owners, sent_ms, now_ms);
}

/* While the owners keep changing, a daemon joins after 20 s of contact; otherwise it would stay
 * away from a group that needs it. */
static void
test_wait_is_bounded (void)
{
  FbJoinPolicy policy;
  fb_join_policy_init (&policy, TTL_MS, 1000);
  for (uint64_t now_ms = 1000; now_ms < 1000 + CONTACT_MAX_MS; now_ms += 500)
    {
      read_owners (&policy, now_ms % 1000 == 0 ? "10.0.0.1:7/1" : "10.0.0.2:7/1", now_ms, now_ms);
      FbJoinDecision decision = fb_join_policy_decide (&policy, &two_owners, now_ms);
      CU_ASSERT_EQUAL (decision.action, FB_JOIN_WAIT);
      CU_ASSERT_TRUE (decision.until_ms <= 1000 + CONTACT_MAX_MS);
    }
  read_owners (&policy, "10.0.0.3:7/1", 21000, 21000);
  CU_ASSERT_EQUAL (fb_join_policy_decide (&policy, &two_owners, 21000).action, FB_JOIN_NOW);
}

/* A store that answers other calls but does not list the owners must not keep a daemon from being
 * an owner. */
static void
test_owners_not_known (void)
{
  FbJoinPolicy policy;
  fb_join_policy_init (&policy, TTL_MS, 1000);
  for (uint64_t now_ms = 1000; now_ms < 2000; now_ms += 100)
    {
      fb_join_policy_store_answered (&policy, now_ms);
      CU_ASSERT_EQUAL (fb_join_policy_decide (&policy, NULL, now_ms).action, FB_JOIN_READ_OWNERS);
    }
  CU_ASSERT_EQUAL (fb_join_policy_decide (&policy, NULL, 2000).action, FB_JOIN_NOW);
}

/* A membership expires although the store answers other calls: this daemon counts as away. */
static void
test_membership_expired_in_contact (void)
{
  FbJoinPolicy policy;
  fb_join_policy_init (&policy, TTL_MS, 1000);
  for (uint64_t now_ms = 1000; now_ms < 31000; now_ms += 500)
    read_owners (&policy, "10.0.0.1:7/1", now_ms, now_ms);
  fb_join_policy_expired (&policy, 31000);
  read_owners (&policy, "10.0.0.1:7/1", 31000, 31010);
  FbJoinDecision decision = fb_join_policy_decide (&policy, &two_owners, 31010);
  CU_ASSERT_EQUAL (decision.action, FB_JOIN_WAIT);
  CU_ASSERT_EQUAL (decision.until_ms, 31000 + CONTACT_MS);
}

/* A process that was suspended for 3 s gets a reply from before, which lists it as an owner: it
 * must not join because of that. */
static void
test_reply_from_before_a_suspension (void)
{
  static const FbJoinPolicyView lists_self = { .lists_self = TRUE, .owners_n = 2 };
  FbJoinPolicy policy;
  fb_join_policy_init (&policy, TTL_MS, 1000);
  read_owners (&policy, "10.0.0.1:7/1", 1000, 1010);
  read_owners (&policy, "10.0.0.1:7/1", 1100, 4100);
  CU_ASSERT_EQUAL (fb_join_policy_decide (&policy, &lists_self, 4100).action, FB_JOIN_READ_OWNERS);
  read_owners (&policy, "10.0.0.2:7/1", 4100, 4110);
  CU_ASSERT_EQUAL (fb_join_policy_decide (&policy, &two_owners, 4110).action, FB_JOIN_WAIT);
}

/* Three pools with owners at .1, .2 and .3: one whose owner was killed, or killed and restarted, is
 * recognized although the store still lists the owner, and so is one without an owner.  A daemon
 * must not wait then although there are two other owners. */
static void
test_pool_without_an_owner (void)
{
  static const uint32_t three_partitions[] = { 1, 2, 3 };
  static const struct
  {
    guint owners_n;         /* number of listed owners */
    guint daemons_n;        /* number of listed daemons */
    uint64_t restarted_us;  /* start time of the daemon at .3; its ownership is of 5000 */
    const char *name;       /* this process */
    gboolean has_ownerless; /* expected */
    gboolean lists_self;    /* expected */
    FbJoinAction action;    /* expected */
  } cases[] = {
    { 3, 3, 4000, "10.0.0.9:7/90000000", FALSE, FALSE, FB_JOIN_WAIT },
    { 2, 3, 4000, "10.0.0.9:7/90000000", TRUE, FALSE, FB_JOIN_NOW },
    { 3, 2, 4000, "10.0.0.9:7/90000000", TRUE, FALSE, FB_JOIN_NOW },
    { 3, 3, 9000, "10.0.0.9:7/90000000", TRUE, FALSE, FB_JOIN_NOW },
    { 3, 3, 4000, "10.0.0.3:7/5000", FALSE, TRUE, FB_JOIN_NOW },
  };
  static const FbPartitionOwner rows[] = { { 1, (char *) "10.0.0.1:7/5000" },
                                           { 2, (char *) "10.0.0.2:7/5000" },
                                           { 3, (char *) "10.0.0.3:7/5000" } };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      FbDaemon daemons[3]
          = { { .address = (char *) "10.0.0.1:7", .started_us = 4000 },
              { .address = (char *) "10.0.0.2:7", .started_us = 4000 },
              { .address = (char *) "10.0.0.3:7", .started_us = cases[i].restarted_us } };
      g_autoptr (GArray) owners = g_array_new (FALSE, FALSE, sizeof (FbPartitionOwner));
      g_autoptr (GArray) partitions = g_array_new (FALSE, FALSE, sizeof (uint32_t));
      g_autoptr (GPtrArray) listed = g_ptr_array_new ();
      FbJoinPolicyView view;
      FbJoinPolicy policy;
      g_array_append_vals (owners, rows, cases[i].owners_n);
      g_array_append_vals (partitions, three_partitions, 3);
      for (guint j = 0; j < cases[i].daemons_n; j++)
        g_ptr_array_add (listed, &daemons[j]);
      fb_join_policy_init (&policy, TTL_MS, 1000);
      fb_join_policy_store_answered (&policy, 1100);
      fb_join_policy_owners_read (&policy, owners, 1090, 1100);
      fb_join_policy_view (&view, owners, partitions, listed, TRUE, cases[i].name);
      view.started_together = FALSE;
      CU_ASSERT_EQUAL (view.has_ownerless, cases[i].has_ownerless);
      CU_ASSERT_EQUAL (view.lists_self, cases[i].lists_self);
      CU_ASSERT_EQUAL (fb_join_policy_decide (&policy, &view, 1100).action, cases[i].action);
    }
}

/* One daemon owns all pools, and another member owns a partition without a service: a daemon that
 * comes back must wait, as its join could move a pool. */
static void
test_one_owner_of_all_pools (void)
{
  static const uint32_t partition_of_service = 1;
  static const FbPartitionOwner rows[]
      = { { 1, (char *) "10.0.0.1:7/5000" }, { 2, (char *) "10.0.0.2:7/5000" } };
  FbDaemon daemons[2] = { { .address = (char *) "10.0.0.1:7", .started_us = 4000 },
                          { .address = (char *) "10.0.0.2:7", .started_us = 4000 } };
  for (guint owners_n = 1; owners_n <= 2; owners_n++)
    {
      g_autoptr (GArray) owners = g_array_new (FALSE, FALSE, sizeof (FbPartitionOwner));
      g_autoptr (GArray) partitions = g_array_new (FALSE, FALSE, sizeof (uint32_t));
      g_autoptr (GPtrArray) listed = g_ptr_array_new ();
      FbJoinPolicyView view;
      FbJoinPolicy policy;
      g_array_append_vals (owners, rows, owners_n);
      g_array_append_val (partitions, partition_of_service);
      g_ptr_array_add (listed, &daemons[0]);
      g_ptr_array_add (listed, &daemons[1]);
      fb_join_policy_init (&policy, TTL_MS, 1000);
      fb_join_policy_store_answered (&policy, 1100);
      fb_join_policy_owners_read (&policy, owners, 1090, 1100);
      fb_join_policy_view (&view, owners, partitions, listed, TRUE, "10.0.0.9:7/90000000");
      CU_ASSERT_EQUAL (fb_join_policy_decide (&policy, &view, 1100).action,
                       owners_n == 2 ? FB_JOIN_WAIT : FB_JOIN_NOW);
    }
}

/* A list of daemons that cannot contain all of them must not make a working owner seem to have
 * failed: each daemon that came back after an outage joined at once, and pools moved to daemons
 * that had been in contact with the store for 0.1 s. */
static void
test_owner_missing_in_a_short_list (void)
{
  static const FbPartitionOwner rows[]
      = { { 1, (char *) "10.0.0.1:7/5000" }, { 2, (char *) "10.0.0.2:7/5000" } };
  static const uint32_t partitions_of_services[] = { 1, 2 };
  FbDaemon other = { .address = (char *) "10.0.0.3:7", .started_us = 4000 };
  for (guint all_listed = 0; all_listed <= 1; all_listed++)
    {
      g_autoptr (GArray) owners = g_array_new (FALSE, FALSE, sizeof (FbPartitionOwner));
      g_autoptr (GArray) partitions = g_array_new (FALSE, FALSE, sizeof (uint32_t));
      g_autoptr (GPtrArray) listed = g_ptr_array_new ();
      FbJoinPolicyView view;
      FbJoinPolicy policy;
      g_array_append_vals (owners, rows, 2);
      g_array_append_vals (partitions, partitions_of_services, 2);
      g_ptr_array_add (listed, &other);
      fb_join_policy_init (&policy, TTL_MS, 1000);
      fb_join_policy_store_answered (&policy, 1100);
      fb_join_policy_owners_read (&policy, owners, 1090, 1100);
      fb_join_policy_view (&view, owners, partitions, listed, (gboolean) all_listed,
                           "10.0.0.9:7/90000000");
      CU_ASSERT_EQUAL (view.has_ownerless, (gboolean) all_listed);
      CU_ASSERT_EQUAL (fb_join_policy_decide (&policy, &view, 1100).action,
                       all_listed ? FB_JOIN_NOW : FB_JOIN_WAIT);
    }
}

/* When a third of 60 owners come back after an outage of the store, the pools of those that stayed
 * must not move to them; they join when too few owners are left. */
static void
test_spare_owners_do_not_join (void)
{
  static const FbJoinPolicyView many = { .owners_n = 39 };
  static const FbJoinPolicyView few = { .owners_n = 15 };
  static const FbJoinPolicyView ownerless = { .owners_n = 39, .has_ownerless = TRUE };
  g_autoptr (GArray) owners = g_array_new (FALSE, FALSE, sizeof (FbPartitionOwner));
  FbJoinPolicy policy;
  fb_join_policy_init (&policy, TTL_MS, 1000);
  for (uint64_t now_ms = 1100; now_ms < 60000; now_ms += 100)
    {
      fb_join_policy_store_answered (&policy, now_ms);
      fb_join_policy_owners_read (&policy, owners, now_ms, now_ms);
      CU_ASSERT_EQUAL (fb_join_policy_decide (&policy, &many, now_ms).action, FB_JOIN_SPARE);
    }
  CU_ASSERT_EQUAL (fb_join_policy_decide (&policy, &few, 59900).action, FB_JOIN_NOW);
  CU_ASSERT_EQUAL (fb_join_policy_decide (&policy, &ownerless, 59900).action, FB_JOIN_NOW);
}

static const CU_TestInfo tests[] = {
  { "spare owners do not join", test_spare_owners_do_not_join },
  { "an owner missing in a short list", test_owner_missing_in_a_short_list },
  { "first start", test_first_start },
  { "one owner of all pools", test_one_owner_of_all_pools },
  { "all daemons restart at once", test_all_restart_at_once },
  { "the store was unavailable to all", test_store_unavailable_to_all },
  { "a store that keeps members", test_store_keeps_members_while_unavailable },
  { "one daemon cut off and back", test_one_daemon_cut_off_and_back },
  { "cut off again while waiting", test_cut_off_again_while_waiting },
  { "rolling restart", test_rolling_restart },
  { "the last owner is killed while others wait", test_last_owner_killed_while_others_wait },
  { "the wait is bounded", test_wait_is_bounded },
  { "owners not known", test_owners_not_known },
  { "membership expired in contact", test_membership_expired_in_contact },
  { "reply from before a suspension", test_reply_from_before_a_suspension },
  { "pool without an owner", test_pool_without_an_owner },
  CU_TEST_INFO_NULL,
};

int
main (void)
{
  CU_SuiteInfo suites[]
      = { { .pName = "join-policy", .pTests = (CU_TestInfo *) tests }, CU_SUITE_INFO_NULL };
  if (CU_initialize_registry () != CUE_SUCCESS || CU_register_suites (suites) != CUE_SUCCESS)
    return 2;
  CU_basic_set_mode (CU_BRM_NORMAL);
  CU_basic_run_tests ();
  guint failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
