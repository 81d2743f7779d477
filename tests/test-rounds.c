/* Tests of placement rounds that take several iterations of the main loop: capacity that is freed
 * during a round must go to the most urgent waiting step that fits.
 *
 * When the pool is full and hundreds of steps wait, a round takes dozens of iterations. If a task
 * ends or a worker leaves during the round, the next iteration continues behind the most urgent
 * steps; an urgent task could then wait while freed capacity goes to less urgent work, or capacity
 * could stay unused for as many ms as there are waiting steps. */
#include "busy-pool.h"

#include "fb-event.h"
#include "internal/pool-private.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static uint64_t
tick_once (BusyPool *busy, uint64_t now_ms)
{
  fb_pool_tick (busy->pool, TRUE, now_ms, WALL_OFFSET_MS + now_ms);
  busy_pool_answer_all (busy, now_ms);
  return now_ms + TICK_MS;
}

/* Returns: the time at which all slots are in use and nearly all jobs wait. */
static uint64_t
fill_pool (BusyPool *busy, uint64_t now_ms)
{
  busy_pool_begin (busy, now_ms);
  busy_pool_list_workers (busy, now_ms);
  busy_pool_admit_backlog (busy, 1, "", now_ms);
  for (uint64_t end_ms = now_ms + SIMULATED_MS; now_ms < end_ms;)
    now_ms = tick_once (busy, now_ms);
  CU_ASSERT_EQUAL (busy->started_n, WORKER_N * (WORKER_CPU / TASK_CPU));
  return now_ms;
}

static uint64_t
advance_to_open_round (BusyPool *busy, uint64_t now_ms)
{
  for (uint64_t end_ms = now_ms + 3000; busy->pool->round_position < 20 && now_ms < end_ms;)
    now_ms = tick_once (busy, now_ms);
  return now_ms;
}

static gboolean
is_running (const BusyPool *busy, const char *job)
{
  for (guint i = 0; i < WORKER_N; i++)
    {
      for (guint j = 0; j < busy->workers[i].runs->len; j++)
        if (g_str_has_prefix (g_array_index (busy->workers[i].runs, FbReportedRun, j).task, job))
          return TRUE;
    }
  return FALSE;
}

/* An urgent job has waited since before the round. Slots are freed one at a time, 100 ms apart,
 * while a round is open: the first one must go to the urgent job. */
static void
test_urgent_gets_capacity_freed_in_open_round (void)
{
  static BusyPool busy;
  uint64_t now_ms = fill_pool (&busy, 100000);
  busy_pool_admit (&busy, "ffffffffffffffff", 0, "", 1, now_ms);
  for (guint i = 0; i < 5; i++)
    now_ms = tick_once (&busy, now_ms);
  guint misplaced = 0;
  for (guint i = 0; i < 50 && !is_running (&busy, "ffffffffffffffff"); i++)
    {
      now_ms = advance_to_open_round (&busy, now_ms);
      guint before = busy.started_n;
      busy_pool_end_run (&busy, i, 1, now_ms);
      while (busy.started_n == before)
        now_ms = tick_once (&busy, now_ms);
      misplaced += !is_running (&busy, "ffffffffffffffff");
    }
  printf ("\nfreed slots given to less urgent work while an urgent task waited: %u\n", misplaced);
  CU_ASSERT_EQUAL (misplaced, 0);
  busy_pool_clear (&busy);
}

/* The same at any point of a round: an urgent job is added every 300 ms, and a slot is freed 150 ms
 * later. */
static void
test_urgent_gets_freed_capacity (void)
{
  static BusyPool busy;
  uint64_t now_ms = fill_pool (&busy, 100000);
  guint misplaced = 0;
  for (guint i = 0; i < 50; i++)
    {
      g_autofree char *id = g_strdup_printf ("f%015x", i);
      busy_pool_admit (&busy, id, 0, "", 1, now_ms);
      for (uint64_t end_ms = now_ms + 150; now_ms < end_ms;)
        now_ms = tick_once (&busy, now_ms);
      guint before = busy.started_n;
      busy_pool_end_run (&busy, i, 1, now_ms);
      for (uint64_t end_ms = now_ms + 150; now_ms < end_ms && busy.started_n == before;)
        now_ms = tick_once (&busy, now_ms);
      misplaced += !is_running (&busy, "f");
      /* End the urgent job, wherever it runs, before the next one. */
      fb_pool_cancel_job (busy.pool, id, now_ms, WALL_OFFSET_MS + now_ms);
      for (guint k = 0; k < WORKER_N; k++)
        for (guint r = 0; r < busy.workers[k].runs->len; r++)
          if (g_array_index (busy.workers[k].runs, FbReportedRun, r).task[0] == 'f')
            {
              g_array_remove_index (busy.workers[k].runs, r);
              break;
            }
      for (uint64_t end_ms = now_ms + 150; now_ms < end_ms;)
        now_ms = tick_once (&busy, now_ms);
    }
  printf ("\nof 50 freed slots given to less urgent work while an urgent job waited: %u\n",
          misplaced);
  CU_ASSERT_EQUAL (misplaced, 0);
  busy_pool_clear (&busy);
}

/* ---- a worker with freed capacity ----------------------------------------------------- */

#define URGENT_WORKER 0   /* the worker on which only urgent jobs may run */
#define UNUSABLE_WORKER 1 /* a worker on which nothing may run */

/* A slot is freed during a round, and an idle worker that was listed when the round began leaves:
 * the next round must still consider the freed slot. */
static void
test_freed_capacity_is_not_missed (void)
{
  static BusyPool busy;
  uint64_t now_ms = 100000;
  busy_pool_begin (&busy, now_ms);
  busy_pool_list_workers (&busy, now_ms);
  busy_pool_list_worker (&busy, URGENT_WORKER, "urgent", now_ms);
  busy_pool_list_worker (&busy, UNUSABLE_WORKER, "unused", now_ms);
  for (guint i = 0; i < 20; i++)
    {
      g_autofree char *id = g_strdup_printf ("e%015x", i);
      busy_pool_admit (&busy, id, 0, "urgent", 1, now_ms);
    }
  busy_pool_admit_backlog (&busy, 1, "a", now_ms);
  for (uint64_t end_ms = now_ms + SIMULATED_MS; now_ms < end_ms;)
    now_ms = tick_once (&busy, now_ms);
  CU_ASSERT_EQUAL (busy.started_n, (WORKER_N - 1) * (WORKER_CPU / TASK_CPU));
  guint missed = 0;
  for (guint i = 0; i < 3; i++)
    {
      for (uint64_t end_ms = now_ms + 3000; busy.pool->round_position < 60 && now_ms < end_ms;)
        {
          if (busy.pool->round_position == 0)
            busy_pool_list_worker (&busy, UNUSABLE_WORKER, "unused", now_ms);
          now_ms = tick_once (&busy, now_ms);
        }
      guint before = busy.started_n;
      busy_pool_end_run (&busy, URGENT_WORKER, i + 1, now_ms);
      fb_pool_worker_unlisted (busy.pool, "1", now_ms);
      while (busy.pool->round_position > 0)
        now_ms = tick_once (&busy, now_ms);
      const FbPoolWorker *urgent = g_hash_table_lookup (busy.pool->workers, "0");
      missed += busy.started_n == before && !urgent->gained_capacity;
      busy_pool_list_worker (&busy, UNUSABLE_WORKER, "unused", now_ms);
      for (uint64_t end_ms = now_ms + 1000; now_ms < end_ms;)
        now_ms = tick_once (&busy, now_ms);
    }
  printf ("\nof 3 slots freed in an open round, neither used nor known to the next round: %u\n",
          missed);
  CU_ASSERT_EQUAL (missed, 0);
  busy_pool_clear (&busy);
}

/* ---- cost of an iteration ---------------------------------------------------------------- */

#define LOW_PRIORITY_JOB_N 3000
/* Limit of workers and runs visited in one iteration, about 5 ms of CPU time; the smallest daemons
 * have an eighth of a core. */
#define MAX_ROUND_VISITS_PER_ITERATION 100000

/* All workers are marked as having freed capacity at the same time, but none has capacity for the
 * waiting steps. */
static void
test_iteration_with_freed_capacity_everywhere (void)
{
  static BusyPool busy;
  uint64_t now_ms = fill_pool (&busy, 100000);
  for (guint i = 0; i < LOW_PRIORITY_JOB_N; i++)
    {
      g_autofree char *id = g_strdup_printf ("d%015x", i);
      busy_pool_admit (&busy, id, 2, "", 1, now_ms);
    }
  guint max_visits = 0;
  for (uint64_t end_ms = now_ms + 12000; now_ms < end_ms;)
    {
      if (busy.pool->round_position == 0)
        for (guint i = 0; i < WORKER_N; i++)
          busy_pool_list_worker (&busy, i, "a", now_ms);
      fb_pool_tick (busy.pool, TRUE, now_ms, WALL_OFFSET_MS + now_ms);
      max_visits = MAX (max_visits, busy.pool->visits_n);
      busy_pool_answer_all (&busy, now_ms);
      now_ms += TICK_MS;
    }
  printf (
      "\nlongest iteration with %u waiting steps and %u workers with freed capacity: %u visits\n",
      busy.pool->queue->len, WORKER_N, max_visits);
  CU_ASSERT_TRUE (max_visits > WORKER_N);
  CU_ASSERT_TRUE (max_visits <= MAX_ROUND_VISITS_PER_ITERATION);
  busy_pool_clear (&busy);
}

/* ---- parts of an account's cap --------------------------------------------------------- */

#define PART_INTERVAL_MS FB_POOL_MAINTENANCE_INTERVAL_MS

/* Guards against a round for each time that an unchanged part of a cap is set. */
static void
test_unchanged_part_needs_no_round (void)
{
  static BusyPool busy;
  uint64_t now_ms = 100000;
  busy_pool_begin (&busy, now_ms);
  busy_pool_list_workers (&busy, now_ms);
  g_autoptr (GHashTable) accounts = g_hash_table_new (g_str_hash, g_str_equal);
  FbAccount capped = { .name = (char *) "a", .cap = { .cpu_milli = TASK_CPU } };
  g_hash_table_insert (accounts, capped.name, &capped);
  fb_pool_set_accounts (busy.pool, accounts);
  const FbAmounts part = { .cpu_milli = TASK_CPU };
  fb_pool_set_account_part (busy.pool, capped.name, &part);
  fb_work_admit record;
  fb_work_step step;
  busy_pool_init_job (&record, &step);
  record.account = capped.name;
  step.count = JOB_TASKS;
  fb_pool_add_job (busy.pool, "a000000000000000", &record, now_ms, WALL_OFFSET_MS + now_ms);
  for (uint64_t end_ms = now_ms + 1000; now_ms < end_ms;)
    now_ms = tick_once (&busy, now_ms);
  CU_ASSERT_EQUAL (busy.started_n, 1);

  const uint32_t round = busy.pool->round;
  for (uint64_t begin_ms = now_ms; now_ms < begin_ms + 1000;)
    {
      /* Between two maintenance passes, so that it cannot share their rounds. */
      if ((now_ms - busy.pool->last_maintenance_ms) % PART_INTERVAL_MS == PART_INTERVAL_MS / 2 - 2)
        fb_pool_set_account_part (busy.pool, capped.name, &part);
      now_ms = tick_once (&busy, now_ms);
    }
  guint rounds_n = busy.pool->round - round;
  printf ("\nrounds in a second in which nothing changes: %u\n", rounds_n);
  CU_ASSERT_TRUE (rounds_n <= 1000 / FB_POOL_MAINTENANCE_INTERVAL_MS + 1);
  busy_pool_clear (&busy);
}

int
main (void)
{
  fb_event_set_quiet (TRUE);
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("rounds", NULL, NULL);
  CU_add_test (suite, "an urgent task gets capacity freed in an open round",
               test_urgent_gets_capacity_freed_in_open_round);
  CU_add_test (suite, "an urgent task gets freed capacity", test_urgent_gets_freed_capacity);
  CU_add_test (suite, "freed capacity is not missed", test_freed_capacity_is_not_missed);
  CU_add_test (suite, "an iteration with freed capacity everywhere",
               test_iteration_with_freed_capacity_everywhere);
  CU_add_test (suite, "an unchanged part of a cap needs no round",
               test_unchanged_part_needs_no_round);
  CU_basic_set_mode (CU_BRM_NORMAL);
  CU_basic_run_tests ();
  guint failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
