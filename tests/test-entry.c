/* Parts of a daemon on the platform that need no network. */
#include "src/entry/advice/advice-balancer.h"
#include "src/entry/advice/fair-share.h"
#include "src/entry/loop-watch.h"
#include "src/entry/settings.h"
#include "src/entry/store/join-watch.h"

#include <CUnit/Basic.h>
#include <glib/gstdio.h>
#include <stdio.h>

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

/* ---- questions for advice ------------------------------------------------------- */

#define DAEMON_N 9
#define PLAY_MS 20000

/* One kind of question of the load that is played. */
typedef struct
{
  uint32_t takes_ms;
  uint32_t per_s;      /* at the beginning */
  uint32_t in_burst_s; /* from 5 to 9 s */
  GQueue waiting;      /* of the times at which they came, in ms */
  GArray *waits_ms;    /* of uint32_t: what those that were asked had waited */
} Kind;

typedef struct
{
  uint64_t busy_until_ms[DAEMON_N];
  GQueue ends_ms[DAEMON_N]; /* of the questions that are at the daemon, in their order */
  GPtrArray *names;
  FbAdviceShare
      *share; /* NULL: a third of the daemons takes what needs under 100 ms, the rest the others */
} Play;

static gint
compare_waits (gconstpointer a, gconstpointer b)
{
  return (gint) (*(const uint32_t *) a) - (gint) (*(const uint32_t *) b);
}

static uint32_t
wait_of (Kind *kind, double part)
{
  g_array_sort (kind->waits_ms, compare_waits);
  return g_array_index (kind->waits_ms, uint32_t, (guint) ((kind->waits_ms->len - 1) * part));
}

static int
daemon_by_split (const Play *play, uint32_t takes_ms, uint64_t now_ms)
{
  guint from = takes_ms > 100 ? 3 : 0;
  guint to = takes_ms > 100 ? DAEMON_N : 3;
  for (guint i = from; i < to; i++)
    {
      if (now_ms >= play->busy_until_ms[i])
        return (int) i;
    }
  return -1;
}

static int
daemon_by_share (const Play *play, uint32_t takes_ms, uint64_t now_ms)
{
  const char *name = fb_advice_share_daemon (play->share, play->names, takes_ms, now_ms);
  for (guint i = 0; name != NULL && i < DAEMON_N; i++)
    {
      if (play->names->pdata[i] == name)
        return (int) i;
    }
  return -1;
}

static void
ask_what_waits (Play *play, Kind *kind, uint64_t now_ms)
{
  while (!g_queue_is_empty (&kind->waiting))
    {
      int at = play->share != NULL ? daemon_by_share (play, kind->takes_ms, now_ms)
                                   : daemon_by_split (play, kind->takes_ms, now_ms);
      if (at < 0)
        return;
      uint64_t begins_ms = MAX (play->busy_until_ms[at], now_ms);
      uint32_t waited_ms
          = (uint32_t) (begins_ms - GPOINTER_TO_UINT (g_queue_pop_head (&kind->waiting)));
      g_array_append_val (kind->waits_ms, waited_ms);
      play->busy_until_ms[at] = begins_ms + kind->takes_ms;
      g_queue_push_tail (&play->ends_ms[at], GUINT_TO_POINTER ((guint) play->busy_until_ms[at]));
      if (play->share != NULL)
        fb_advice_share_began (play->share, play->names->pdata[at], kind->takes_ms, now_ms);
    }
}

/* Plays KINDS, the most urgent first. */
static void
play_questions (Play *play, Kind *kinds, guint n)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (7);
  for (uint64_t now_ms = 1; now_ms < PLAY_MS; now_ms++)
    {
      for (guint i = 0; i < DAEMON_N; i++)
        {
          if (GPOINTER_TO_UINT (g_queue_peek_head (&play->ends_ms[i])) != now_ms)
            continue;
          g_queue_pop_head (&play->ends_ms[i]);
          if (play->share != NULL)
            fb_advice_share_ended (play->share, play->names->pdata[i]);
        }
      for (guint k = 0; k < n; k++)
        {
          gboolean burst = now_ms >= 5000 && now_ms < 9000;
          if ((uint32_t) g_rand_int_range (rand, 0, 1000)
              < (burst ? kinds[k].in_burst_s : kinds[k].per_s))
            g_queue_push_tail (&kinds[k].waiting, GUINT_TO_POINTER ((guint) now_ms));
          ask_what_waits (play, &kinds[k], now_ms);
        }
    }
}

static void
play_new (Play *play, gboolean shared)
{
  *play = (Play){ .names = g_ptr_array_new_with_free_func (g_free) };
  for (guint i = 0; i < DAEMON_N; i++)
    g_ptr_array_add (play->names, g_strdup_printf ("daemon-%u", i));
  play->share = shared ? fb_advice_share_new () : NULL;
}

static void
play_clear (Play *play)
{
  g_clear_pointer (&play->share, fb_advice_share_free);
  g_ptr_array_unref (play->names);
  for (guint i = 0; i < DAEMON_N; i++)
    g_queue_clear (&play->ends_ms[i]);
}

static void
kinds_clear (Kind *kinds, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      g_queue_clear (&kinds[i].waiting);
      g_array_unref (kinds[i].waits_ms);
    }
}

/* Short work comes at 2.3 times its rate for four seconds, beside batches and gangs.  With a
 * third of the daemons kept for questions under 100 ms, short ones wait behind batches while
 * the other daemons are idle: their callers, who give them some 600 ms, are late. */
static void
test_short_questions_in_a_burst (void)
{
  uint32_t p95_ms[2];
  uint32_t gang_p95_ms[2];
  for (guint shared = 0; shared < 2; shared++)
    {
      Kind kinds[] = { { .takes_ms = 16, .per_s = 40, .in_burst_s = 92 },
                       { .takes_ms = 89, .per_s = 15, .in_burst_s = 26 },
                       { .takes_ms = 875, .per_s = 2, .in_burst_s = 3 } };
      for (guint k = 0; k < G_N_ELEMENTS (kinds); k++)
        kinds[k].waits_ms = g_array_new (FALSE, FALSE, sizeof (uint32_t));
      Play play;
      play_new (&play, shared == 1);
      play_questions (&play, kinds, G_N_ELEMENTS (kinds));
      p95_ms[shared] = wait_of (&kinds[0], 0.95);
      gang_p95_ms[shared] = wait_of (&kinds[2], 0.95);
      play_clear (&play);
      kinds_clear (kinds, G_N_ELEMENTS (kinds));
    }
  printf ("    short question, 95th percentile of waits: %u ms split, %u ms shared; gangs %u and "
          "%u ms\n",
          p95_ms[0], p95_ms[1], gang_p95_ms[0], gang_p95_ms[1]);
  CU_ASSERT_TRUE (p95_ms[1] <= 5);
  CU_ASSERT_TRUE (p95_ms[0] > 5 * p95_ms[1]);
  CU_ASSERT_TRUE (gang_p95_ms[1] <= gang_p95_ms[0] + 300);
}

/* Only long questions are left: none of the daemons may stay idle for short ones that do
 * not come. */
static void
test_nothing_is_kept_for_nobody (void)
{
  Play play;
  play_new (&play, TRUE);
  fb_advice_share_began (play.share, "daemon-0", 16, 1000);
  fb_advice_share_ended (play.share, "daemon-0");
  CU_ASSERT_EQUAL (fb_advice_share_kept (play.share, DAEMON_N, 875, 1001), 1);
  CU_ASSERT_EQUAL (fb_advice_share_kept (play.share, DAEMON_N, 875, 9000), 0);
  for (guint i = 0; i < DAEMON_N; i++)
    {
      const char *daemon = fb_advice_share_daemon (play.share, play.names, 875, 9000);
      CU_ASSERT_PTR_NOT_NULL_FATAL (daemon);
      fb_advice_share_began (play.share, daemon, 875, 9000);
    }
  CU_ASSERT_PTR_NULL (fb_advice_share_daemon (play.share, play.names, 16, 9000));
  play_clear (&play);
}

/* Two daemons: a long question leaves one to short ones; one daemon has to do for all. */
static void
test_few_daemons (void)
{
  Play play;
  play_new (&play, TRUE);
  fb_advice_share_began (play.share, "daemon-0", 16, 1000);
  fb_advice_share_ended (play.share, "daemon-0");
  CU_ASSERT_EQUAL (fb_advice_share_kept (play.share, 2, 875, 1001), 1);
  CU_ASSERT_EQUAL (fb_advice_share_kept (play.share, 1, 875, 1001), 0);
  play_clear (&play);
}

/* ---- late turns of the loop -------------------------------------------------------- */

#define TURN_MS 25

/* Turns come in time from FROM_MS to UNTIL_MS.  Returns: the time of the last one. */
static uint64_t
turns_in_time (FbLoopWatch *watch, uint64_t from_ms, uint64_t until_ms)
{
  FbLoopLate late;
  uint64_t now_ms = from_ms;
  for (; now_ms + TURN_MS <= until_ms; now_ms += TURN_MS)
    CU_ASSERT_FALSE (fb_loop_watch_turn (watch, now_ms + TURN_MS, &late));
  return now_ms;
}

/* A daemon read a long list for 1.2 s and joined the group too late; its lines told only that
 * the pool was lost.  The late turn has to be told, with how late it was. */
static void
test_a_late_turn_is_told (void)
{
  FbLoopWatch *watch = fb_loop_watch_new (TURN_MS, 1000);
  FbLoopLate late;
  uint64_t now_ms = turns_in_time (watch, 1000, 3000);
  CU_ASSERT_EQUAL (fb_loop_watch_longest_ms (watch, now_ms), 0);
  CU_ASSERT_FALSE (fb_loop_watch_turn (watch, now_ms + TURN_MS + 250, &late));
  now_ms += TURN_MS + 250;
  CU_ASSERT_TRUE_FATAL (fb_loop_watch_turn (watch, now_ms + TURN_MS + 1200, &late));
  CU_ASSERT_EQUAL (late.late_ms, 1200);
  CU_ASSERT_EQUAL (late.turns_n, 1);
  fb_loop_watch_free (watch);
}

/* A daemon without processor has late turns all the time: a line a second tells of all. */
static void
test_late_turns_are_told_once_a_second (void)
{
  static const uint32_t late_ms[] = { 300, 700, 260 };
  FbLoopWatch *watch = fb_loop_watch_new (TURN_MS, 1000);
  uint64_t now_ms = 1000;
  uint64_t told_ms = 0;
  guint told_n = 0;
  guint turns_n = 0;
  for (guint i = 0; i < 300; i++)
    {
      FbLoopLate late;
      now_ms += TURN_MS + late_ms[i % G_N_ELEMENTS (late_ms)];
      if (!fb_loop_watch_turn (watch, now_ms, &late))
        continue;
      CU_ASSERT (told_ms == 0 || now_ms >= told_ms + 1000);
      CU_ASSERT (told_ms == 0 || late.late_ms == 700);
      told_ms = now_ms;
      told_n++;
      turns_n += late.turns_n;
    }
  CU_ASSERT (told_n > 60 && told_n <= (now_ms - 1000) / 1000 + 1);
  CU_ASSERT (turns_n >= 298);
  fb_loop_watch_free (watch);
}

/* What is asked when a pool is lost: the latest turn of the last 2 s, and one that has not come
 * yet, as what loses the pool may be handled before the turn. */
static void
test_the_latest_turn_is_kept (void)
{
  FbLoopWatch *watch = fb_loop_watch_new (TURN_MS, 1000);
  FbLoopLate late;
  CU_ASSERT_EQUAL (fb_loop_watch_longest_ms (watch, 1000 + TURN_MS + 900), 900);
  CU_ASSERT_TRUE (fb_loop_watch_turn (watch, 1000 + TURN_MS + 1400, &late));
  uint64_t late_at_ms = 1000 + TURN_MS + 1400;
  uint64_t now_ms = turns_in_time (watch, late_at_ms, late_at_ms + 2000);
  CU_ASSERT_EQUAL (fb_loop_watch_longest_ms (watch, now_ms), 1400);
  now_ms = turns_in_time (watch, now_ms, late_at_ms + 2250 + TURN_MS);
  CU_ASSERT_EQUAL (fb_loop_watch_longest_ms (watch, now_ms), 0);
  fb_loop_watch_free (watch);
}

/* ---- late joins ------------------------------------------------------------------- */

/* A daemon that may live 1 s without a join took a pool over for 1.4 s; the group dealt the pool
 * to another, and no line told that it was the join. */
static void
test_a_late_join_is_told (void)
{
  FbJoinWatch watch = { 0 };
  fb_join_watch_sent (&watch, 1000);
  CU_ASSERT_FALSE (fb_join_watch_answered (&watch, 1000, 1010));
  fb_join_watch_sent (&watch, 1260);
  CU_ASSERT_FALSE (fb_join_watch_answered (&watch, 1000, 2010));
  CU_ASSERT_EQUAL (watch.gap_ms, 1000);
  fb_join_watch_sent (&watch, 3400);
  CU_ASSERT_TRUE (fb_join_watch_answered (&watch, 1000, 3410));
  CU_ASSERT_EQUAL (watch.gap_ms, 1400);
  CU_ASSERT_EQUAL (watch.sent_ms, 3400);
}

/* A daemon that left the group by itself and enters it again is not late. */
static void
test_who_left_joins_in_time (void)
{
  FbJoinWatch watch = { 0 };
  fb_join_watch_sent (&watch, 1000);
  CU_ASSERT_FALSE (fb_join_watch_answered (&watch, 1000, 1010));
  fb_join_watch_left (&watch);
  fb_join_watch_sent (&watch, 60000);
  CU_ASSERT_FALSE (fb_join_watch_answered (&watch, 1000, 60010));
  CU_ASSERT_EQUAL (watch.gap_ms, 0);
}

/* ---- settings --------------------------------------------------------------------- */

/* Returns: (transfer full) (nullable): what is read with LINE in the group of listeners. */
static FbEntrySettings *
settings_with (const char *line)
{
  g_autofree char *folder = g_dir_make_tmp ("test-entry-XXXXXX", NULL);
  g_autofree char *path = g_build_filename (folder, "daemon.ini", NULL);
  g_autofree char *text
      = g_strdup_printf ("[daemon]\nname=d\ndomain=z\ngrace=6s\n"
                         "[listen]\ncallers=10.0.0.1:1\nreadiness=10.0.0.1:2\npeers=10.0.0.1:3\n"
                         "metrics=10.0.0.1:4\n%s\n"
                         "[store]\naddress=10.0.0.2:1\npartitions=32\nshortest-membership=1s\n"
                         "[workers]\nlongest-lease=6s\nlongest-stop=200ms\ngang-patience=3s\n",
                         line);
  CU_ASSERT_TRUE_FATAL (g_file_set_contents (path, text, -1, NULL));
  FbEntrySettings *settings = fb_entry_settings_load (path);
  (void) g_remove (path);
  (void) g_rmdir (folder);
  return settings;
}

/* A host whose address from outside is not the one it binds: the others dial what it advertises. */
static void
test_the_others_dial_what_is_advertised (void)
{
  FbEntrySettings *plain = settings_with ("");
  FbEntrySettings *advertised = settings_with ("advertised-peers=192.0.2.7:33");
  g_assert (plain != NULL && advertised != NULL);
  CU_ASSERT_STRING_EQUAL (plain->peers, "10.0.0.1:3");
  CU_ASSERT_STRING_EQUAL (plain->peers_listen, "10.0.0.1:3");
  CU_ASSERT_STRING_EQUAL (advertised->peers, "192.0.2.7:33");
  CU_ASSERT_STRING_EQUAL (advertised->peers_listen, "10.0.0.1:3");
  CU_ASSERT_FALSE (fb_entry_settings_same_listeners (plain, advertised));
  fb_entry_settings_free (plain);
  fb_entry_settings_free (advertised);
}

static void
test_an_advertised_address_is_checked (void)
{
  CU_ASSERT_PTR_NULL (settings_with ("advertised-peers=192.0.2.7"));
  CU_ASSERT_PTR_NULL (settings_with ("advertised-peers=:33"));
  CU_ASSERT_PTR_NULL (settings_with ("advertised-peers=192.0.2.7:0"));
  CU_ASSERT_PTR_NULL (settings_with ("advertised-peers=host:33"));
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
  CU_add_test (suite, "short questions in a burst", test_short_questions_in_a_burst);
  CU_add_test (suite, "nothing is kept for nobody", test_nothing_is_kept_for_nobody);
  CU_add_test (suite, "few daemons", test_few_daemons);
  CU_add_test (suite, "a late turn is told", test_a_late_turn_is_told);
  CU_add_test (suite, "late turns are told once a second", test_late_turns_are_told_once_a_second);
  CU_add_test (suite, "the latest turn is kept", test_the_latest_turn_is_kept);
  CU_add_test (suite, "a late join is told", test_a_late_join_is_told);
  CU_add_test (suite, "who left joins in time", test_who_left_joins_in_time);
  CU_add_test (suite, "the others dial what is advertised",
               test_the_others_dial_what_is_advertised);
  CU_add_test (suite, "an advertised address is checked", test_an_advertised_address_is_checked);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
