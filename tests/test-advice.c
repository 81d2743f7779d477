/* Two owners that question the advice service through the same daemons. */
#include "src/entry/advice/advice-balancer.h"
#include "src/entry/advice/advice-queue.h"

#include <CUnit/Basic.h>
#include <stdio.h>

#define DAEMON_N 30
#define LONG_MS 1000
#define PLAY_MS 3000
/* From a daemon to an owner and back. */
#define WAY_MS 4

typedef struct
{
  FbAdviceShare *share;
  uint32_t takes_ms;
  guint waiting;
  guint answered;
} Owner;

typedef struct
{
  Owner *owner;
  guint daemon;
  uint64_t told_ms; /* when its owner has the answer; 0: not yet */
} Question;

/* A daemon, and what of its calls the service has: one after the other. */
typedef struct
{
  FbAdviceLine *line;
  GQueue calls;     /* of Question */
  uint64_t ends_ms; /* of the call at the head; 0: it has not begun */
} Daemon;

typedef struct
{
  GPtrArray *names;
  Daemon daemons[DAEMON_N];
  Owner owners[2];
  GQueue told; /* of Question: answers on their way */
} Play;

static void
ask (Play *play, Owner *owner, uint64_t now_ms)
{
  const char *name = NULL;
  while (owner->waiting > 0
         && (name = fb_advice_share_daemon (owner->share, play->names, owner->takes_ms, now_ms))
                != NULL)
    {
      Question *question = g_new0 (Question, 1);
      question->owner = owner;
      g_ptr_array_find (play->names, name, &question->daemon);
      fb_advice_share_began (owner->share, name, owner->takes_ms, now_ms);
      fb_advice_line_wait (play->daemons[question->daemon].line, question, owner->takes_ms, now_ms);
      owner->waiting--;
    }
}

static void
serve (Play *play, Daemon *daemon, uint64_t now_ms)
{
  Question *question = g_queue_peek_head (&daemon->calls);
  if (question != NULL && now_ms >= daemon->ends_ms)
    {
      g_queue_pop_head (&daemon->calls);
      fb_advice_line_ended (daemon->line, question);
      question->told_ms = now_ms + WAY_MS;
      g_queue_push_tail (&play->told, question);
      question = g_queue_peek_head (&daemon->calls);
      daemon->ends_ms = question != NULL ? now_ms + question->owner->takes_ms : 0;
    }
  gpointer next = NULL;
  while ((next = fb_advice_line_next (daemon->line)) != NULL)
    {
      if (g_queue_is_empty (&daemon->calls))
        daemon->ends_ms = now_ms + ((Question *) next)->owner->takes_ms;
      g_queue_push_tail (&daemon->calls, next);
    }
}

static void
hear (Play *play, uint64_t now_ms)
{
  Question *question = NULL;
  while ((question = g_queue_peek_head (&play->told)) != NULL && now_ms >= question->told_ms)
    {
      g_queue_pop_head (&play->told);
      fb_advice_share_ended (question->owner->share, play->names->pdata[question->daemon]);
      question->owner->answered++;
      g_free (question);
    }
}

static void
play_new (Play *play, uint32_t short_ms)
{
  *play = (Play){ .names = g_ptr_array_new_with_free_func (g_free) };
  for (guint i = 0; i < DAEMON_N; i++)
    {
      g_ptr_array_add (play->names, g_strdup_printf ("daemon-%02u", i));
      play->daemons[i].line = fb_advice_line_new ();
    }
  play->owners[0]
      = (Owner){ .share = fb_advice_share_new (), .takes_ms = short_ms, .waiting = 5000 };
  play->owners[1] = (Owner){ .share = fb_advice_share_new (), .takes_ms = LONG_MS, .waiting = 500 };
}

static void
play_clear (Play *play)
{
  for (guint i = 0; i < G_N_ELEMENTS (play->owners); i++)
    fb_advice_share_free (play->owners[i].share);
  for (guint i = 0; i < DAEMON_N; i++)
    {
      fb_advice_line_free (play->daemons[i].line);
      g_queue_clear (&play->daemons[i].calls);
    }
  g_queue_clear_full (&play->told, g_free);
  g_ptr_array_unref (play->names);
}

static void
play_two_owners (uint32_t short_ms)
{
  Play play;
  play_new (&play, short_ms);
  for (uint64_t now_ms = 1; now_ms < PLAY_MS; now_ms++)
    {
      hear (&play, now_ms);
      for (guint i = 0; i < DAEMON_N; i++)
        serve (&play, &play.daemons[i], now_ms);
      /* The long ones were first at each daemon. */
      ask (&play, &play.owners[1], now_ms);
      ask (&play, &play.owners[0], now_ms);
    }
  printf ("    in 3 s: %u short answers, %u long ones\n", play.owners[0].answered,
          play.owners[1].answered);
  CU_ASSERT_TRUE (play.owners[0].answered >= 3 * 200);
  /* A quarter of what they would get alone. */
  CU_ASSERT_TRUE (play.owners[1].answered >= 3 * DAEMON_N / 4);
  play_clear (&play);
}

/* After all daemons had been killed, callers of one service saw hundreds of short jobs start 10 s
 * late, and tasks that last stay away as long, while the other service had its own backlog.  Each
 * owner had a question open at each daemon; the service takes a daemon's calls one after the
 * other, so that each short answer waited for a long one.  Evidence: 48 to 69 answers a second to
 * each of the two owners for 8 s, and 198 to 335 once the long backlog was done. */
static void
test_long_questions_of_another_owner (void)
{
  play_two_owners (36);
}

/* The same with a hundred workers named, which took 68 ms a question on the site of the trace. */
static void
test_long_questions_and_large_ones (void)
{
  play_two_owners (68);
}

/* ---- a long question beside short ones --------------------------------------------------- */

#define VERY_LONG_MS 2100
/* A question that has waited for longer, or for twice its own time, is given up uncalled. */
#define CALLED_UNTIL_MS 3000

/* Short questions always wait at a daemon, four at a time, as two owners ask them; a long one has
 * to be called before it counts as too late. */
static void
test_a_long_question_is_called (void)
{
  static const uint32_t takes_ms[] = { 1000, 1800, VERY_LONG_MS };
  for (guint i = 0; i < G_N_ELEMENTS (takes_ms); i++)
    {
      FbAdviceLine *line = fb_advice_line_new ();
      char a_long = 0;
      char shorts[4] = { 0 };
      uint64_t now_ms = 1;
      gpointer next = NULL;
      fb_advice_line_wait (line, &a_long, takes_ms[i], now_ms);
      for (guint k = 0; k < G_N_ELEMENTS (shorts); k++)
        fb_advice_line_wait (line, &shorts[k], 68, now_ms);
      while ((next = fb_advice_line_next (line)) != &a_long)
        {
          now_ms += 68;
          fb_advice_line_ended (line, next);
          fb_advice_line_wait (line, next, 68, now_ms);
        }
      printf ("    one of %u ms is called after %u ms\n", takes_ms[i], (guint) now_ms - 1);
      CU_ASSERT_TRUE (now_ms <= 1 + MAX (CALLED_UNTIL_MS, 2 * takes_ms[i]));
      fb_advice_line_ended (line, next);
      fb_advice_line_free (line);
    }
}

int
main (void)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  CU_pSuite suite = CU_add_suite ("advice", NULL, NULL);
  CU_add_test (suite, "long questions of another owner", test_long_questions_of_another_owner);
  CU_add_test (suite, "long questions and large ones", test_long_questions_and_large_ones);
  CU_add_test (suite, "a long question is called", test_a_long_question_is_called);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  guint failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
