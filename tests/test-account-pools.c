/* Client accounts in pools under load: parts of their caps between two pools, and shares of one. */
#include "fb-event.h"
#include "internal/pool-account.h"
#include "two-pools.h"

#include <CUnit/Basic.h>

/* ---- parts of two pools ------------------------------------------------------------ */

#define PART_CAP_MILLI 197683
#define SMALL_TASK_MILLI 2600
/* While steps wait, the part must follow within this time if the cap has room. */
#define PART_WAIT_MAX_MS 100

static TwoPools *
two_pools_with_account (guint coordinator, const char **account)
{
  static const FbAmounts capacities[] = { { .cpu_milli = 4000000, .mem_mb = 4000000 },
                                          { .cpu_milli = 4000000, .mem_mb = 4000000 } };
  const FbAmounts cap = { .cpu_milli = PART_CAP_MILLI };
  TwoPools *world = two_pools_new (capacities);
  *account = two_pools_add_account (world, coordinator, &cap);
  two_pools_run (world, 2000);
  return world;
}

/* Returns: for how long, in one piece, steps of ACCOUNT wait in pool SIDE within the next MS
 * although the cap has room for a task. */
static uint32_t
longest_wait_ms (TwoPools *world, guint side, const char *account, uint32_t ms)
{
  uint32_t longest = 0;
  uint32_t waited = 0;
  for (uint32_t passed = 0; passed < ms; passed += 2)
    {
      two_pools_run (world, 2);
      const FbPoolAccountUsage usage = two_pools_usage (world, side, account);
      const FbPoolAccountUsage other = two_pools_usage (world, 1 - side, account);
      gboolean has_room
          = usage.taken.cpu_milli + other.taken.cpu_milli + SMALL_TASK_MILLI <= usage.cap.cpu_milli;
      waited = usage.waits && has_room ? waited + 2 : 0;
      longest = MAX (longest, waited);
    }
  return longest;
}

/* Pool 0 has wanted all of the cap and then needs nothing; when pool 1 gets work afterwards, it
 * must not wait at the small part that it was left with.  COORDINATOR: the pool that divides. */
static uint32_t
wait_after_other_pool (guint coordinator, uint32_t offset_ms)
{
  const char *account = NULL;
  const FbAmounts demand = { .cpu_milli = SMALL_TASK_MILLI, .mem_mb = 100 };
  TwoPools *world = two_pools_with_account (coordinator, &account);
  world->run_ms = 20000;
  two_pools_add_job (world, 1, account, 10, FALSE, &demand);
  two_pools_run (world, 500);
  world->run_ms = 1000;
  two_pools_add_job (world, 0, account, 100, FALSE, &demand);
  two_pools_run (world, 5000 + offset_ms);
  world->run_ms = 20000;
  two_pools_add_job (world, 1, account, 40, FALSE, &demand);
  uint32_t waited_ms = longest_wait_ms (world, 1, account, 3000);
  CU_ASSERT_EQUAL (two_pools_usage (world, 1, account).taken.cpu_milli, 50 * SMALL_TASK_MILLI);
  two_pools_free (world);
  return waited_ms;
}

/* Guards against an account that waits at a small part in one pool (26,000 of 26,000) while the cap
 * (197,683) has room, which the other pool holds and does not use. */
static void
test_part_follows_within_its_time (void)
{
  for (guint coordinator = 0; coordinator < TWO_POOLS_N; coordinator++)
    {
      uint32_t longest_ms = 0;
      for (uint32_t offset_ms = 0; offset_ms < 300; offset_ms += 14)
        longest_ms = MAX (longest_ms, wait_after_other_pool (coordinator, offset_ms));
      g_print ("longest wait for a part, coordinated by the %s pool: %u ms\n",
               coordinator == 0 ? "other" : "waiting", longest_ms);
      CU_ASSERT_TRUE (longest_ms <= PART_WAIT_MAX_MS);
    }
}

#define GANG_MEMBER_MILLI 9000
#define WORLD_MS 10000

/* Adds jobs at random times to pool 0, which has room for few gangs, and to pool 1, which has much.
 * Returns: the longest time for which pool 1 waited with room under the cap and started nothing. */
static uint32_t
wait_beside_full_pool (guint seed)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  const FbAmounts capacities[] = { { .cpu_milli = g_rand_int_range (rand, 1, 5) * 40000,
                                     .mem_mb = 4000000,
                                     .gpu_count = g_rand_int_range (rand, 4, 30) },
                                   { .cpu_milli = 4000000, .mem_mb = 4000000 } };
  const FbAmounts cap = { .cpu_milli = PART_CAP_MILLI, .gpu_count = 20 };
  const FbAmounts small = { .cpu_milli = SMALL_TASK_MILLI, .mem_mb = 100 };
  TwoPools *world = two_pools_new (capacities);
  const char *account = two_pools_add_account (world, seed % TWO_POOLS_N, &cap);
  two_pools_run (world, 2000);
  int64_t used = 0;
  uint32_t waited = 0;
  uint32_t longest = 0;
  for (uint32_t ms = 0; ms < WORLD_MS; ms += 2)
    {
      const FbAmounts member = { .cpu_milli = GANG_MEMBER_MILLI,
                                 .mem_mb = 100,
                                 .gpu_count = g_rand_int_range (rand, 2, 4) };
      if (g_rand_int_range (rand, 0, 500) == 0)
        two_pools_add_job (world, 0, account, 5, TRUE, &member);
      if (g_rand_int_range (rand, 0, 200) == 0)
        two_pools_add_job (world, 1, account, 10, FALSE, &small);
      world->run_ms = (uint32_t) g_rand_int_range (rand, 300, 2000);
      two_pools_run (world, 2);
      const FbPoolAccountUsage usage = two_pools_usage (world, 1, account);
      const FbPoolAccountUsage other = two_pools_usage (world, 0, account);
      gboolean has_room
          = usage.taken.cpu_milli + other.taken.cpu_milli + SMALL_TASK_MILLI <= PART_CAP_MILLI;
      waited = usage.waits && has_room && usage.taken.cpu_milli <= used ? waited + 2 : 0;
      longest = MAX (longest, waited);
      used = usage.taken.cpu_milli;
    }
  two_pools_free (world);
  return longest;
}

/* Guards against a pool that holds a part for a gang for which it has no room, while another pool
 * of the account waits at its part. */
static void
test_part_follows_beside_a_full_pool (void)
{
  uint32_t longest_ms = 0;
  for (guint seed = 1; seed <= 30; seed++)
    longest_ms = MAX (longest_ms, wait_beside_full_pool (seed));
  g_print ("longest wait for a part beside a full pool: %u ms\n", longest_ms);
  CU_ASSERT_TRUE (longest_ms <= PART_WAIT_MAX_MS);
}

/* ---- shares by weight ---------------------------------------------------------------- */

#define SLOTS_N 100
#define SLOT_MILLI 1000
#define RUN_MS 600
/* High enough that no job is beyond the rate of its account. */
#define WEIGHT 10000

typedef struct
{
  TwoPools *world;
  const char *names[20];
  double used[20]; /* mean number of slots, of the last play_shares() */
} SharedPool;

/* Returns: a pool of SLOTS_N slots with N accounts of the same weight and without caps. */
static SharedPool
shared_pool_new (guint n)
{
  static const FbAmounts capacities[]
      = { { .cpu_milli = SLOTS_N * SLOT_MILLI, .mem_mb = 1000000 }, { 0 } };
  const FbAmounts no_cap = { 0 };
  SharedPool shared = { .world = two_pools_new (capacities) };
  for (guint i = 0; i < n; i++)
    {
      shared.names[i] = two_pools_add_account (shared.world, 0, &no_cap);
      two_pools_set_weight (shared.world, shared.names[i], WEIGHT);
    }
  shared.world->run_ms = RUN_MS;
  two_pools_run (shared.world, 500);
  return shared;
}

static void
add_single (const SharedPool *shared, guint account, guint count)
{
  const FbAmounts slot = { .cpu_milli = SLOT_MILLI, .mem_mb = 10 };
  two_pools_add_job (shared->world, 0, shared->names[account], count, FALSE, &slot);
}

/* Lets MS milliseconds pass, in which account I adds JOBS[I] jobs of four tasks a second. */
static void
play_shares (SharedPool *shared, guint n, const guint *jobs, uint32_t ms)
{
  double slots[20] = { 0 };
  for (uint32_t passed = 0; passed < ms; passed += 20)
    {
      for (guint i = 0; i < n; i++)
        {
          /* Spread over the second, each account at another time. */
          uint32_t before = (passed + i * 20) * jobs[i] / 1000;
          uint32_t after = (passed + i * 20 + 20) * jobs[i] / 1000;
          for (; before < after; before++)
            add_single (shared, i, 4);
        }
      two_pools_run (shared->world, 20);
      for (guint i = 0; i < n; i++)
        slots[i] += (double) two_pools_usage (shared->world, 0, shared->names[i]).taken.cpu_milli
                    / SLOT_MILLI;
    }
  for (guint i = 0; i < n; i++)
    shared->used[i] = slots[i] / (ms / 20.0);
}

/* Returns: how many of the jobs of account I have no task started. */
static guint
queued_n (const SharedPool *shared, guint account)
{
  guint n = 0;
  for (guint i = 1; i <= shared->world->jobs_n; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", i);
      fb_work_state state = FB_WORK_COMPLETED;
      const FbPool *pool = shared->world->sides[0].pool;
      n += fb_pool_job_state (pool, id, &state) && state == FB_WORK_QUEUED
           && !fb_pool_job_is_visible (pool, id, "another")
           && fb_pool_job_is_visible (pool, id, shared->names[account]);
    }
  return n;
}

/* Guards against an account that delays all others with the same priority once it sends more than
 * the pool can run. */
static void
test_hot_account_beside_nineteen (void)
{
  SharedPool shared = shared_pool_new (20);
  guint jobs[20] = { 100 };
  for (guint i = 1; i < 20; i++)
    jobs[i] = 1;
  play_shares (&shared, 20, jobs, 10000);
  guint others_n = 0;
  for (guint i = 1; i < 20; i++)
    others_n += queued_n (&shared, i);
  g_print ("jobs that wait after 10 s: %u of the hot account, %u of the others\n",
           queued_n (&shared, 0), others_n);
  CU_ASSERT_TRUE (others_n <= 19);
  CU_ASSERT_TRUE (shared.used[0] > 40);
  two_pools_free (shared.world);
}

static void
test_two_hot_accounts (void)
{
  SharedPool shared = shared_pool_new (4);
  const guint jobs[] = { 100, 100, 2, 2 };
  two_pools_set_weight (shared.world, shared.names[0], 3 * WEIGHT);
  play_shares (&shared, 4, jobs, 5000);
  play_shares (&shared, 4, jobs, 15000);
  guint others_n = queued_n (&shared, 2) + queued_n (&shared, 3);
  g_print ("slots used by two hot accounts of weights 3 and 1: %.1f and %.1f, by others %.1f and "
           "%.1f; %u jobs of others wait\n",
           shared.used[0], shared.used[1], shared.used[2], shared.used[3], others_n);
  /* Their shares are 50 and 16.7 slots; what the other two leave goes to both. */
  /* They send 4 jobs a second together.  An account counts as over its share only from 1.25 times
   * on, and until then its older jobs go first. */
  CU_ASSERT_TRUE (others_n <= 8);
  CU_ASSERT_TRUE (shared.used[0] >= 50);
  CU_ASSERT_TRUE (shared.used[1] >= 16.7);
  two_pools_free (shared.world);
}

/* Guards against credit of an idle account, with which it would keep another one from the pool, and
 * against an account that waits behind the backlog of another one when it returns. */
static void
test_account_that_returns (void)
{
  SharedPool shared = shared_pool_new (2);
  const guint alone[] = { 50, 0 };
  const guint both[] = { 50, 50 };
  play_shares (&shared, 2, alone, 20000);
  CU_ASSERT_TRUE (shared.used[0] > 95);
  play_shares (&shared, 2, both, 2000);
  double first = shared.used[1];
  play_shares (&shared, 2, both, 10000);
  g_print ("slots used by an account that returns: %.1f in the first 2 s, %.1f in the next 10 s\n",
           first, shared.used[1]);
  CU_ASSERT_TRUE (first > 35);
  CU_ASSERT_TRUE (shared.used[1] > 35 && shared.used[1] < 65);
  two_pools_free (shared.world);
}

static void
test_weight_that_changes (void)
{
  SharedPool shared = shared_pool_new (2);
  const guint both[] = { 60, 60 };
  play_shares (&shared, 2, both, 10000);
  double before = shared.used[1];
  two_pools_set_weight (shared.world, shared.names[1], 4 * WEIGHT);
  play_shares (&shared, 2, both, 3000);
  play_shares (&shared, 2, both, 10000);
  g_print ("slots used before and after a weight is raised fourfold: %.1f and %.1f\n", before,
           shared.used[1]);
  CU_ASSERT_TRUE (before > 35 && before < 65);
  CU_ASSERT_TRUE (shared.used[1] > 65);
  two_pools_free (shared.world);
}

/* Guards against an account that is kept back for its past use once it is no longer configured. */
static void
test_account_that_is_removed (void)
{
  SharedPool shared = shared_pool_new (2);
  const guint both[] = { 60, 5 };
  play_shares (&shared, 2, both, 10000);
  FbPool *pool = shared.world->sides[0].pool;
  CU_ASSERT_TRUE (fb_pool_account_is_over_share (fb_pool_account_get (pool, shared.names[0])));
  two_pools_set_weight (shared.world, shared.names[0], 0);
  play_shares (&shared, 2, both, 1000);
  CU_ASSERT_FALSE (fb_pool_account_is_over_share (fb_pool_account_get (pool, shared.names[0])));
  CU_ASSERT_FALSE (fb_pool_account_is_over_share (fb_pool_account_get (pool, shared.names[1])));
  CU_ASSERT_FALSE (fb_pool_account_is_over_share (NULL));
  two_pools_free (shared.world);
}

/* Guards against a gang that never starts because single tasks of another account take all capacity
 * that is freed. */
static void
test_gang_beside_single_tasks (void)
{
  SharedPool shared = shared_pool_new (2);
  const guint alone[] = { 60, 0 };
  const FbAmounts slot = { .cpu_milli = SLOT_MILLI, .mem_mb = 10 };
  two_pools_set_weight (shared.world, shared.names[0], 4 * WEIGHT);
  play_shares (&shared, 2, alone, 5000);
  two_pools_add_job (shared.world, 0, shared.names[1], 20, TRUE, &slot);
  uint32_t waited_ms = 0;
  while (waited_ms < 10000 && queued_n (&shared, 1) > 0)
    {
      play_shares (&shared, 2, alone, 100);
      waited_ms += 100;
    }
  g_print ("a gang beside single tasks waited for %u ms\n", waited_ms);
  CU_ASSERT_TRUE (waited_ms <= 2000);
  two_pools_free (shared.world);
}

/* Guards against an order that changes with each run that starts or ends. */
static void
test_flag_has_two_limits (void)
{
  FbAccountShare share = { .weight = 1, .share = 0.4, .usage = 0.45 };
  fb_account_share_update (&share, 0.45, 100);
  CU_ASSERT_FALSE (share.is_over);
  share.usage = 0.51;
  fb_account_share_update (&share, 0.51, 100);
  CU_ASSERT_TRUE (share.is_over);
  share.usage = 0.45;
  fb_account_share_update (&share, 0.45, 100);
  CU_ASSERT_TRUE (share.is_over);
  share.usage = 0.39;
  fb_account_share_update (&share, 0.39, 100);
  CU_ASSERT_FALSE (share.is_over);
}

int
main (void)
{
  static const struct
  {
    const char *name;
    CU_TestFunc function;
  } tests[] = {
    { "a part follows within its time", test_part_follows_within_its_time },
    { "a part follows beside a full pool", test_part_follows_beside_a_full_pool },
    { "a hot account beside nineteen others", test_hot_account_beside_nineteen },
    { "two hot accounts", test_two_hot_accounts },
    { "an account that returns", test_account_that_returns },
    { "a weight that changes", test_weight_that_changes },
    { "an account that is removed", test_account_that_is_removed },
    { "a gang beside single tasks", test_gang_beside_single_tasks },
    { "the flag has two limits", test_flag_has_two_limits },
  };
  fb_event_set_quiet (TRUE);
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  CU_pSuite suite = CU_add_suite ("account pools", NULL, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (tests); i++)
    CU_add_test (suite, tests[i].name, tests[i].function);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
