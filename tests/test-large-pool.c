/* Costs of a pool that grow with its workers: workers visited, and processor time. */
#include "large-pool.h"

#include "fb-event.h"
#include "internal/pool-private.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

static GString *report; /* printed at the end */

/* ---- workers visited ----------------------------------------------------------------- */

static guint visits_n;

FbPoolWorker *__real_fb_pool_worker_slots_next (const FbPool *self, guint *slot);
FbPoolWorker *__wrap_fb_pool_worker_slots_next (const FbPool *self, guint *slot);

FbPoolWorker *
__wrap_fb_pool_worker_slots_next (const FbPool *self, guint *slot)
{
  visits_n++;
  return __real_fb_pool_worker_slots_next (self, slot);
}

static double
cpu_ms (void)
{
  struct timespec now;
  (void) clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double) now.tv_sec * 1e3 + (double) now.tv_nsec / 1e6;
}

/* ---- placing a step ------------------------------------------------------------------- */

#define JOB "00000000000000f1"
#define JOB_TASKS 200

static void
load_unevenly (LargePool *large, uint64_t *now_ms)
{
  for (guint i = 0; i < 12; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", i + 1);
      large_pool_admit (large, id, 7 * (i + 1), 500 + 700 * i, *now_ms);
    }
  large_pool_recover (large, now_ms);
}

/* Places all tasks of JOB, each by a search of its own or all by one search.  Returns: (transfer
 * full): the workers in the order in which they were chosen. */
static char *
place_job (gboolean by_one_search, gboolean long_running)
{
  static LargePool large;
  uint64_t now_ms = 100000;
  uint32_t first = 0;
  GString *chosen = g_string_new (NULL);
  large_pool_begin (&large, 60, now_ms);
  load_unevenly (&large, &now_ms);
  large_pool_admit (&large, JOB, JOB_TASKS, 1100, now_ms);
  FbPoolStep *step = fb_pool_find_task (large.pool, JOB ".0.0.0", &first);
  step->job->record.spec.steps.steps_val[0].long_running = long_running;
  g_autoptr (FbPoolCandidates) candidates
      = fb_pool_candidates_new (large.pool, step, NULL, FB_TICKET_VALID, now_ms);
  for (uint32_t i = 0; i < JOB_TASKS; i++)
    {
      CU_ASSERT_TRUE (fb_pool_candidates_suit (candidates, i));
      FbPoolWorker *worker = by_one_search ? fb_pool_candidates_best (candidates, i)
                                           : fb_pool_best_worker (large.pool, step, i, NULL, NULL,
                                                                  FB_TICKET_VALID, now_ms);
      if (worker == NULL)
        break;
      g_string_append_printf (chosen, "%s ", worker->id);
      fb_pool_order_start (large.pool, worker, step, i, 1, now_ms);
    }
  large_pool_clear (&large);
  return g_string_free (chosen, FALSE);
}

/* Guards against one search for a step that chooses other workers than one for each task. */
static void
test_one_search_chooses_the_same_workers (void)
{
  for (guint long_running = 0; long_running <= 1; long_running++)
    {
      g_autofree char *each = place_job (FALSE, (gboolean) long_running);
      g_autofree char *all = place_job (TRUE, (gboolean) long_running);
      CU_ASSERT_STRING_EQUAL (each, all);
      CU_ASSERT_TRUE (strlen (each) > 100 * 20);
    }
}

/* All tasks but the last one of so many are suspect. */
#define SUSPECT_EVERY 4
#define CHOSEN_N 40
/* Age of an answer that is overdue, but not so long that the worker counts as silent. */
#define OVERDUE_MS 650

/* An idle pool in which the best worker for a step is not the best one for its suspect tasks. */
static FbPoolStep *
begin_with_suspect_tasks (LargePool *large, uint64_t *now_ms)
{
  uint32_t first = 0;
  large_pool_begin (large, 60, *now_ms);
  large_pool_recover (large, now_ms);
  large_pool_admit (large, JOB, JOB_TASKS, 1100, *now_ms);
  FbPoolStep *step = fb_pool_find_task (large->pool, JOB ".0.0.0", &first);
  /* Tasks that are chosen together take up capacity only where their number is limited. */
  step->job->record.spec.steps.steps_val[0].max_per_worker = JOB_TASKS;
  FbPoolWorker *best
      = fb_pool_best_worker (large->pool, step, first, NULL, NULL, FB_TICKET_VALID, *now_ms);
  best->last_answer_ms = *now_ms - OVERDUE_MS;
  for (uint32_t i = 0; i < CHOSEN_N; i++)
    step->tasks[i].unresolved_losses_n = i % SUSPECT_EVERY != SUSPECT_EVERY - 1;
  return step;
}

/* Guards against outdated costs after a task of the step that got a search of its own. */
static void
test_one_search_allows_for_suspect_tasks (void)
{
  static LargePool large;
  uint64_t now_ms = 100000;
  FbPoolWorker *each[CHOSEN_N];
  FbPoolWorker *all[CHOSEN_N];
  FbPoolRun *runs[CHOSEN_N];
  FbPoolStep *step = begin_with_suspect_tasks (&large, &now_ms);
  for (uint32_t i = 0; i < CHOSEN_N; i++)
    {
      each[i] = fb_pool_best_worker (large.pool, step, i, NULL, NULL, FB_TICKET_VALID, now_ms);
      g_autofree char *name = fb_pool_task_name (step, i);
      runs[i] = fb_pool_worker_add_run (each[i], step, i, name, 0);
    }
  for (uint32_t i = 0; i < CHOSEN_N; i++)
    fb_pool_worker_drop_run (each[i], runs[i]);
  CU_ASSERT_EQUAL (
      fb_pool_choose_workers (large.pool, step, CHOSEN_N, NULL, FB_TICKET_VALID, all, now_ms),
      CHOSEN_N);
  for (uint32_t i = 0; i < CHOSEN_N; i++)
    CU_ASSERT_PTR_EQUAL (all[i], each[i]);
  large_pool_clear (&large);
}

/* ---- polls of a takeover ------------------------------------------------------------------ */

static guint
first_polls_open_n (const FbPool *pool)
{
  guint n = 0;
  guint slot = 0;
  const FbPoolWorker *worker = NULL;
  while ((worker = fb_pool_worker_slots_next (pool, &slot)) != NULL)
    n += worker->poll_open && !worker->answered;
  return n;
}

/* Guards against an owner that polls all its workers at once and reads no answer meanwhile. */
static void
test_first_polls_are_paced (void)
{
  static LargePool large;
  uint64_t now_ms = 100000;
  large_pool_begin (&large, 4320, now_ms);
  for (guint i = 0; i < 60; i++, now_ms += 5)
    {
      large.polls_n = 0;
      large_pool_tick (&large, now_ms);
      CU_ASSERT_TRUE (large.polls_n <= 256);
      CU_ASSERT_TRUE (first_polls_open_n (large.pool) <= 1024);
      (void) large_pool_answer (&large, 100, now_ms);
    }
  large_pool_recover (&large, &now_ms);
  CU_ASSERT_TRUE (large.pool->recovered);
  CU_ASSERT_EQUAL (large.pool->first_polls_open_n, 0);
  large_pool_clear (&large);
}

/* ---- records ------------------------------------------------------------------------------ */

#define SILENCE_MAX_BYTES 700000

/* Guards against records of workers that exceed an append of the store together. */
static void
test_record_of_silent_workers_is_bounded (void)
{
  static LargePool large;
  uint64_t now_ms = 100000;
  gboolean found = FALSE;
  large_pool_begin (&large, 17000, now_ms);
  large.pool->limits.max_silence_bytes = SILENCE_MAX_BYTES;
  large_pool_recover (&large, &now_ms);
  for (guint i = 0; i < 16000; i++)
    {
      const FbPollAnswer answer = { .result = FB_ORDER_UNKNOWN };
      fb_pool_poll_answered (large.pool, large.workers[i].id, &answer, now_ms + 2000,
                             LARGE_POOL_WALL_OFFSET_MS + now_ms + 2000);
    }
  g_autoptr (GPtrArray) records
      = fb_pool_flush (large.pool, now_ms + 4000, LARGE_POOL_WALL_OFFSET_MS + now_ms + 4000);
  CU_ASSERT_PTR_NOT_NULL_FATAL (records);
  for (guint i = 0; i < records->len; i++)
    {
      const FbPoolRecord *record = records->pdata[i];
      if (record->kind != FB_POOL_RECORD_SILENT_WORKERS)
        continue;
      found = TRUE;
      CU_ASSERT_TRUE (g_bytes_get_size (record->progress) <= SILENCE_MAX_BYTES + 1000);
      CU_ASSERT_TRUE (g_bytes_get_size (record->progress) > SILENCE_MAX_BYTES / 2);
    }
  CU_ASSERT_TRUE (found);
  large_pool_clear (&large);
}

/* ---- a takeover with a backlog ------------------------------------------------------------ */

static const guint sizes[] = { 1100, 2160, 4320, 8640 };

#define BACKLOG_JOBS 120
#define BACKLOG_TASKS 300
#define TURNS_N 400
#define TURN_MS 5
/* Answers of workers that an owner reads in a turn. */
#define ANSWERS_PER_TURN 400
/* A turn visits each worker at most this many times besides what the round may visit, so that it
 * takes less than 50 ms with 8,640 workers at 35 ns a visit. */
#define WORKER_VISITS_PER_TURN 12
#define ROUND_VISITS_PER_TURN 60000

typedef struct
{
  guint max_visits_n;
  guint64 visits_n;
  double max_ms;
  double all_ms;
} TurnCost;

static void
take_over (guint workers_n, TurnCost *cost)
{
  static LargePool large;
  uint64_t now_ms = 100000;
  *cost = (TurnCost){ 0 };
  large_pool_begin (&large, workers_n, now_ms);
  for (guint i = 0; i < BACKLOG_JOBS; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", i + 1);
      large_pool_admit (&large, id, BACKLOG_TASKS, 1000, now_ms);
    }
  for (guint i = 0; i < TURNS_N; i++, now_ms += TURN_MS)
    {
      double began_ms = cpu_ms ();
      visits_n = 0;
      large_pool_tick (&large, now_ms);
      double took_ms = cpu_ms () - began_ms;
      cost->max_visits_n = MAX (cost->max_visits_n, visits_n);
      cost->visits_n += visits_n;
      cost->max_ms = MAX (cost->max_ms, took_ms);
      cost->all_ms += took_ms;
      (void) large_pool_answer (&large, ANSWERS_PER_TURN, now_ms);
    }
  CU_ASSERT_EQUAL (large.started_n,
                   MIN (BACKLOG_JOBS * BACKLOG_TASKS, workers_n * LARGE_POOL_WORKER_CPU / 1000));
  large_pool_clear (&large);
}

/* Guards against turns of a takeover that delay joins, and costs per worker that grow. */
static void
test_turns_of_a_takeover_are_bounded (void)
{
  g_string_append (report, "takeover with 120 jobs of 300 tasks, 2 s in turns of 5 ms\n"
                           "workers  visits in a turn  visits a worker  longest turn ms  all ms\n");
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      TurnCost cost;
      take_over (sizes[i], &cost);
      g_string_append_printf (report, "%7u  %16u  %15u  %15.1f  %6.0f\n", sizes[i],
                              cost.max_visits_n, (guint) (cost.visits_n / sizes[i]), cost.max_ms,
                              cost.all_ms);
      CU_ASSERT_TRUE (cost.max_visits_n
                      <= WORKER_VISITS_PER_TURN * sizes[i] + ROUND_VISITS_PER_TURN);
    }
}

int
main (void)
{
  report = g_string_new (NULL);
  fb_event_set_quiet (TRUE);
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("large pools", NULL, NULL);
  CU_add_test (suite, "one search chooses the same workers",
               test_one_search_chooses_the_same_workers);
  CU_add_test (suite, "one search allows for suspect tasks",
               test_one_search_allows_for_suspect_tasks);
  CU_add_test (suite, "first polls are paced", test_first_polls_are_paced);
  CU_add_test (suite, "the record of silent workers is bounded",
               test_record_of_silent_workers_is_bounded);
  CU_add_test (suite, "turns of a takeover are bounded", test_turns_of_a_takeover_are_bounded);
  CU_basic_set_mode (CU_BRM_NORMAL);
  CU_basic_run_tests ();
  guint failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  printf ("\n%s", report->str);
  g_string_free (report, TRUE);
  return failures == 0 ? 0 : 1;
}
