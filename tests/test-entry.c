/* Parts of a daemon on the platform that need no network. */
#include "src/entry/turns.h"

#include <CUnit/Basic.h>

#define LONG_MS 600
#define SHORT_MS 30
#define RETRY_MS 25

/* One daemon is left for the questions of two pools.  The answer to pool 1's question comes,
 * pool 1 asks again at once, and pool 2, which asks each 25 ms, finds it busy every time: its
 * callers saw nothing start for 40 s.  Pool 2 has to go as soon as it has used less. */
static void
test_neither_pool_starves (void)
{
  FbTurns *turns = fb_turns_new ();
  uint64_t busy_until_ms = 0;
  uint32_t used_ms[3] = { 0 };
  for (uint64_t now_ms = 1000; now_ms < 31000; now_ms += RETRY_MS)
    {
      /* Pool 1 is always the first to ask. */
      for (uint32_t pool = 1; pool <= 2; pool++)
        {
          uint32_t takes_ms = pool == 1 ? LONG_MS : SHORT_MS;
          if (fb_turns_is_next (turns, pool, now_ms) && now_ms >= busy_until_ms)
            {
              busy_until_ms = now_ms + takes_ms;
              used_ms[pool] += takes_ms;
              fb_turns_went (turns, pool, takes_ms);
            }
          else
            fb_turns_waits (turns, pool, now_ms);
        }
    }
  CU_ASSERT_TRUE (used_ms[1] > 9000);
  CU_ASSERT_TRUE (used_ms[2] > 9000);
  fb_turns_free (turns);
}

/* A pool with nothing to ask must not keep another waiting. */
static void
test_who_asks_no_more_is_not_waited_for (void)
{
  FbTurns *turns = fb_turns_new ();
  CU_ASSERT_TRUE (fb_turns_is_next (turns, 1, 1000));
  fb_turns_went (turns, 1, LONG_MS);
  fb_turns_waits (turns, 2, 1000);
  CU_ASSERT_FALSE (fb_turns_is_next (turns, 1, 1050));
  CU_ASSERT_TRUE (fb_turns_is_next (turns, 1, 1200));
  fb_turns_free (turns);
}

/* A pool that was idle for long must not take all daemons until it has caught up. */
static void
test_idle_time_gives_no_claim (void)
{
  FbTurns *turns = fb_turns_new ();
  CU_ASSERT_TRUE (fb_turns_is_next (turns, 2, 1000));
  fb_turns_went (turns, 2, SHORT_MS);
  CU_ASSERT_TRUE (fb_turns_is_next (turns, 1, 1000));
  fb_turns_went (turns, 1, 20 * LONG_MS);
  fb_turns_waits (turns, 1, 9000);
  CU_ASSERT_TRUE (fb_turns_is_next (turns, 2, 9000));
  fb_turns_went (turns, 2, SHORT_MS);
  fb_turns_waits (turns, 2, 9001);
  CU_ASSERT_TRUE (fb_turns_is_next (turns, 1, 9001));
  fb_turns_free (turns);
}

int
main (void)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("entry", NULL, NULL);
  CU_add_test (suite, "neither pool starves", test_neither_pool_starves);
  CU_add_test (suite, "who asks no more is not waited for",
               test_who_asks_no_more_is_not_waited_for);
  CU_add_test (suite, "idle time gives no claim", test_idle_time_gives_no_claim);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
