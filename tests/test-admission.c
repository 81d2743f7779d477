/* Tests of the admission of jobs to an overloaded pool (src/work/admission.c, admission-control.c,
 * pool-admission.c). */
#include "busy-pool.h"
#include "contention.h"

#include "fb-event.h"
#include "internal/admission-control.h"
#include "internal/codec.h"
#include "internal/pool-private.h"

#include <CUnit/Basic.h>
#include <stdio.h>

/* ---- the load of a burst ------------------------------------------------------------------ */

/* Attempts of a caller, and how long it waits for the time to return: callers try for 3 s in all.
 */
#define ATTEMPTS_MAX 5
#define RUNS_N 5
#define CALLER_MS 3000

typedef struct
{
  FbAdmissionForecast forecast; /* the one of the first refusal, or of the admission */
  guint attempts_n;
  gboolean is_hot; /* of the account that sends many times its usual rate */
  gboolean admitted;
} Caller;

/* What callers got. */
typedef struct
{
  guint callers_n;
  guint in_time_n;
  guint late_n;
  guint no_value_n; /* admitted, and ended without value */
  guint refused_n;  /* refused at their last attempt */
  guint returned_n; /* refused at first, and admitted when they returned */
} Outcome;

typedef struct
{
  gboolean enforced; /* refused jobs are not added to the pool */
  FbAdmissionControl *control;
  GArray *callers;         /* of Caller, by number of the job */
  Outcome outcomes[2];     /* of the other accounts, and of the hot one */
  guint refused_in_time_n; /* forecast to have no value, and ended within their objective */
  guint refused_late_n;    /* forecast to have no value, and ended later with some value */
  guint notices_n;
} Burst;

/* Fills REQUEST and STEPS from RECORD, from which they borrow. */
static void
describe (const fb_work_admit *record, const char *id, fb_admission_request *request,
          fb_admission_step *steps)
{
  *request = (fb_admission_request){ .service = record->policy.service,
                                     .job = (char *) id,
                                     .account = record->account,
                                     .queue = record->policy.queue,
                                     .priority = record->policy.priority,
                                     .accepted_ms = record->accepted_ms };
  for (u_int i = 0; i < record->spec.steps.steps_len; i++)
    {
      const fb_work_step *step = &record->spec.steps.steps_val[i];
      steps[i] = (fb_admission_step){ .count = step->count,
                                      .cpu_milli = step->cpu_milli,
                                      .mem_mb = step->mem_mb,
                                      .gpu_count = step->gpu_count,
                                      .estimate_ms = step->estimate_ms };
      steps[i].after.after_len = step->after.after_len;
      steps[i].after.after_val = step->after.after_val;
    }
  request->steps.steps_len = record->spec.steps.steps_len;
  request->steps.steps_val = steps;
}

static void
update (Burst *burst, FbPool *pool, uint64_t now_ms)
{
  FbAdmissionNotice notice;
  if (!fb_admission_control_update_due (burst->control, now_ms))
    return;
  fb_pool_measure_backlog (pool, fb_admission_control_forecasts (burst->control), now_ms);
  burst->notices_n += fb_admission_control_updated (burst->control, now_ms, &notice);
}

/* Returns: when the caller returns whose NUMBERth attempt was refused. */
static uint64_t
return_ms (const Burst *burst, const Caller *caller, const FbAdmissionDecision *decision,
           uint64_t now_ms)
{
  if (!burst->enforced)
    return 0;
  /* Retry-After has whole seconds. */
  uint64_t wait_ms = (decision->retry_after_ms + 999) / 1000 * 1000;
  if (caller->attempts_n >= ATTEMPTS_MAX || decision->age_ms + wait_ms > CALLER_MS)
    return G_MAXUINT64;
  return now_ms + wait_ms;
}

/* Each run of a burst begins with an owner that knows nothing. */
static void
begin_run (Burst *burst)
{
  g_clear_pointer (&burst->control, fb_admission_control_free);
  burst->control = fb_admission_control_new ();
}

static uint64_t
on_arrived (gpointer user, FbPool *pool, guint number, const char *id, fb_work_admit *record,
            uint64_t now_ms, uint64_t wall_ms)
{
  Burst *burst = user;
  FbAdmissionJob job;
  FbAdmissionDecision decision = { .admitted = TRUE, .forecast.has_value = TRUE };
  fb_admission_request request;
  fb_admission_step steps[2];
  (void) wall_ms;
  g_array_set_size (burst->callers, MAX (burst->callers->len, number + 1));
  if (number == 0 && g_array_index (burst->callers, Caller, 0).attempts_n == 0)
    begin_run (burst);
  describe (record, id, &request, steps);
  update (burst, pool, now_ms);
  if (fb_pool_can_forecast (pool) && fb_admission_control_is_overloaded (burst->control)
      && fb_pool_describe_job (pool, &request, &record->policy, &job))
    fb_admission_control_decide (burst->control, id, &job, now_ms, &decision);
  Caller *caller = &g_array_index (burst->callers, Caller, number);
  if (caller->attempts_n++ == 0 || !decision.forecast.has_value)
    caller->forecast = decision.forecast;
  caller->is_hot = g_str_equal (record->account, "a0");
  caller->admitted = decision.admitted;
  record->accepted_ms -= fb_pool_accepted_age_ms (pool, &request, decision.age_ms);
  return decision.admitted ? 0 : return_ms (burst, caller, &decision, now_ms);
}

static void
on_ended (gpointer user, guint number, ContentionKind kind, uint64_t started_ms, uint64_t ended_ms,
          uint64_t objective_ms, uint64_t no_value_ms)
{
  Burst *burst = user;
  (void) kind;
  (void) started_ms;
  const Caller *caller = &g_array_index (burst->callers, Caller, number);
  Outcome *outcome = &burst->outcomes[caller->is_hot];
  gboolean in_time = ended_ms != 0 && ended_ms <= objective_ms;
  gboolean late = ended_ms != 0 && !in_time && ended_ms <= no_value_ms;
  outcome->callers_n++;
  outcome->in_time_n += in_time;
  outcome->late_n += late;
  outcome->no_value_n += caller->admitted && !in_time && !late;
  outcome->refused_n += !caller->admitted;
  outcome->returned_n += caller->admitted && caller->attempts_n > 1;
  g_array_index (burst->callers, Caller, number).attempts_n = 0;
  burst->refused_in_time_n += !caller->forecast.has_value && in_time;
  burst->refused_late_n += !caller->forecast.has_value && late;
}

static guint
refused_n (const Burst *burst)
{
  return burst->outcomes[0].refused_n + burst->outcomes[1].refused_n;
}

static void
print_outcome (const char *whose, const Outcome *outcome)
{
  printf ("; %s: %u callers, %u in time, %u late, %u without value, %u refused, %u admitted when "
          "they returned",
          whose, outcome->callers_n, outcome->in_time_n, outcome->late_n, outcome->no_value_n,
          outcome->refused_n, outcome->returned_n);
}

static Burst
run_burst (const char *name, ContentionSetup setup, gboolean enforced)
{
  Burst burst = { .enforced = enforced };
  static const ContentionHooks hooks = { on_arrived, on_ended };
  setup.by_slack = TRUE;
  setup.runs_n = RUNS_N;
  setup.hooks = &hooks;
  setup.user = &burst;
  burst.callers = g_array_new (FALSE, TRUE, sizeof (Caller));
  (void) contention_run (&setup);
  printf ("\n%s, estimates off by %.1f, %s", name, setup.estimate_error,
          enforced ? "refusing" : "only forecasting");
  print_outcome ("hot account", &burst.outcomes[1]);
  print_outcome ("others", &burst.outcomes[0]);
  printf ("; of those forecast to have no value %u in time, %u late; %u notices",
          burst.refused_in_time_n, burst.refused_late_n, burst.notices_n);
  fb_admission_control_free (burst.control);
  g_array_unref (burst.callers);
  return burst;
}

/* ---- bursts -------------------------------------------------------------------------------- */

typedef struct
{
  const char *name;
  ContentionSetup setup;
  gboolean refuses; /* some jobs are refused: those beyond the rate of an account at its cap */
} Case;

/* One account sends ten or forty times its usual rate for 4 s.  A job that is refused must not be
 * one that would have had value: each case is run with the forecasts only compared with what
 * happens to the jobs. */
static void
test_refused_jobs_would_have_no_value (void)
{
  const Case cases[] = {
    { "small pool", { .workers_n = 22, .only_quick = TRUE, .hot_factor = 10 }, FALSE },
    { "beside batches", { .workers_n = 50, .hot_factor = 10, .weight = 12 }, FALSE },
    { "cap", { .workers_n = 70, .hot_factor = 10, .weight = 12, .cap_cpu = 80000 }, FALSE },
    { "cap, forty times",
      { .workers_n = 70, .hot_factor = 40, .weight = 12, .cap_cpu = 80000 },
      TRUE },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      for (guint error = 0; error < 2; error++)
        {
          ContentionSetup setup = cases[i].setup;
          setup.estimate_error = 0.9 * error;
          Burst burst = run_burst (cases[i].name, setup, FALSE);
          CU_ASSERT_EQUAL (burst.refused_in_time_n, 0);
          CU_ASSERT_EQUAL (burst.refused_late_n, 0);
          CU_ASSERT_TRUE (!cases[i].refuses || refused_n (&burst) > 20);
        }
    }
  printf ("\n");
}

/* Bursts with refusals and returning callers: what each caller got.  Guards against refusals that
 * cost an account its jobs in time.  Callers that return compete with others of their account, and
 * a different order alone changes the numbers by 1 to 3%. */
static void
test_burst_with_returning_callers (void)
{
  for (guint error = 0; error < 2; error++)
    {
      const ContentionSetup setup = { .estimate_error = 0.9 * error,
                                      .workers_n = 70,
                                      .hot_factor = 40,
                                      .weight = 12,
                                      .cap_cpu = 80000 };
      Burst before = run_burst ("cap, forty times", setup, FALSE);
      Burst after = run_burst ("cap, forty times", setup, TRUE);
      CU_ASSERT_TRUE (refused_n (&after) > 20);
      CU_ASSERT_EQUAL (after.refused_in_time_n, 0);
      for (guint i = 0; i < 2; i++)
        CU_ASSERT_TRUE (after.outcomes[i].in_time_n >= 0.95 * before.outcomes[i].in_time_n);
    }
  printf ("\n");
}

/* ---- single forecasts ------------------------------------------------------------------------ */

#define NOW_MS 100000
/* Of a pool with ten cores. */
static const FbAmounts ten_cores = { .cpu_milli = 10000 };

/* Returns: work of SECONDS of the whole pool, that leaves its place ahead after LEAVES_MS. */
static FbAdmissionWork
work_of_seconds (uint32_t seconds, uint64_t leaves_ms)
{
  return (FbAdmissionWork){ .latest_start_ms = NOW_MS + leaves_ms,
                            .no_value_ms = NOW_MS + leaves_ms,
                            .arrived_ms = NOW_MS - 1000,
                            .unit = { .cpu_milli = 1000 },
                            .run_ms = 1000,
                            .work = { .cpu_milli = (int64_t) seconds * 1000 * 10000 } };
}

/* Returns: a job of one task of 1 s on one core with an objective of 2 s, so that it has value
 * until 6 s after its first attempt. */
static FbAdmissionJob
short_job (uint32_t priority)
{
  return (FbAdmissionJob){ .account = "",
                           .priority = priority,
                           .demand = { .cpu_milli = 1000 },
                           .work = { .cpu_milli = 1000 * 1000 },
                           .path_ms = 1000,
                           .objective_ms = 2000,
                           .longest_objective_ms = 2000,
                           .longest_path_ms = 1000,
                           .first_ms = NOW_MS };
}

static FbAdmissionForecast
forecast_behind (const FbAdmissionWork *work, const FbAdmissionJob *job)
{
  FbAdmissionForecast forecast;
  FbAdmission *admission = fb_admission_new ();
  fb_admission_begin (admission, &ten_cores, NOW_MS);
  fb_admission_add (admission, work);
  fb_admission_set_cap (admission, "a", &ten_cores);
  fb_admission_forecast (admission, job, NOW_MS, NOW_MS, &forecast);
  fb_admission_free (admission);
  return forecast;
}

/* Work of a higher priority that keeps its value for long delays a job by three quarters of its
 * length, less one run.  Guards against a forecast that never refuses. */
static void
test_work_ahead (void)
{
  const FbAdmissionWork work = work_of_seconds (20, 60000);
  FbAdmissionJob job = short_job (1);
  FbAdmissionForecast forecast = forecast_behind (&work, &job);
  CU_ASSERT_EQUAL (forecast.wait_ms, 14000);
  CU_ASSERT_EQUAL (forecast.end_ms, NOW_MS + 15000);
  CU_ASSERT_FALSE (forecast.has_value);
  CU_ASSERT_EQUAL (forecast.excess_ms, 9000);
  CU_ASSERT_EQUAL (forecast.work_off_ms, 100);
}

/* Guards against a refusal because of work that drops behind the job before it is run. */
static void
test_work_that_loses_its_value (void)
{
  const FbAdmissionWork work = work_of_seconds (200, 3000);
  FbAdmissionJob job = short_job (1);
  FbAdmissionForecast forecast = forecast_behind (&work, &job);
  CU_ASSERT_TRUE (forecast.has_value);
  CU_ASSERT_TRUE (forecast.wait_ms <= 3000);
}

/* Work of the same priority whose job is late does not delay a job that is in time, but one that is
 * late itself. */
static void
test_late_work_of_the_same_priority (void)
{
  FbAdmissionWork work = work_of_seconds (20, 60000);
  work.is_late = TRUE;
  work.latest_start_ms = NOW_MS - 5000;
  FbAdmissionJob job = short_job (0);
  CU_ASSERT_EQUAL (forecast_behind (&work, &job).wait_ms, 0);
  job.first_ms = NOW_MS - 3000;
  FbAdmissionForecast forecast = forecast_behind (&work, &job);
  CU_ASSERT_EQUAL (forecast.wait_ms, 14000);
  CU_ASSERT_FALSE (forecast.has_value);
}

/* Guards against counting work that comes after the job: of a lower priority, held at the cap of
 * another account, or of a resource that the job does not need. */
static void
test_work_that_is_not_ahead (void)
{
  FbAdmissionWork work = work_of_seconds (20, 60000);
  FbAdmissionJob job = short_job (0);
  work.priority = 1;
  CU_ASSERT_EQUAL (forecast_behind (&work, &job).wait_ms, 0);
  job.priority = 2;
  CU_ASSERT_EQUAL (forecast_behind (&work, &job).wait_ms, 14000);
  work.held_for = "b";
  CU_ASSERT_EQUAL (forecast_behind (&work, &job).wait_ms, 0);
  work.held_for = NULL;
  job.demand = (FbAmounts){ .cpu_milli = 2000, .gpu_count = 1 };
  CU_ASSERT_EQUAL (forecast_behind (&work, &job).wait_ms, 14000);
  work.unit = (FbAmounts){ 0 };
  job.demand = (FbAmounts){ .gpu_count = 1 };
  CU_ASSERT_EQUAL (forecast_behind (&work, &job).wait_ms, 0);
}

/* Guards against counting work that does not fit where the job does, or that the job preempts. */
static void
test_work_that_the_job_may_pass (void)
{
  FbAdmissionWork work = work_of_seconds (20, 60000);
  FbAdmissionJob job = short_job (1);
  work.unit.cpu_milli = 1001;
  CU_ASSERT_EQUAL (forecast_behind (&work, &job).wait_ms, 0);
  work.unit = (FbAmounts){ .cpu_milli = 1000, .gpu_count = 1 };
  CU_ASSERT_EQUAL (forecast_behind (&work, &job).wait_ms, 0);
  work.unit = (FbAmounts){ .cpu_milli = 1000 };
  work.priority = 2;
  job.urgency = 1;
  CU_ASSERT_EQUAL (forecast_behind (&work, &job).wait_ms, 0);
  work.priority = 1;
  CU_ASSERT_EQUAL (forecast_behind (&work, &job).wait_ms, 14000);
  work.priority = 2;
  work.held_for = "a";
  job.account = "a";
  CU_ASSERT_EQUAL (forecast_behind (&work, &job).wait_ms, 14000);
}

/* Work that is held at the cap of the account delays further jobs of that account. */
static void
test_work_at_the_cap (void)
{
  FbAdmissionWork work = work_of_seconds (20, 60000);
  work.held_for = "a";
  FbAdmissionJob job = short_job (1);
  CU_ASSERT_TRUE (forecast_behind (&work, &job).has_value);
  job.account = "a";
  FbAdmissionForecast forecast = forecast_behind (&work, &job);
  CU_ASSERT_EQUAL (forecast.wait_ms, 14000);
  CU_ASSERT_TRUE (forecast.is_account_bound);
}

/* A pool of which nothing is known yet must not refuse. */
static void
test_empty_pool (void)
{
  FbAdmissionForecast forecast;
  FbAdmission *admission = fb_admission_new ();
  const FbAmounts none = { 0 };
  const FbAdmissionWork work = work_of_seconds (20, 60000);
  FbAdmissionJob job = short_job (1);
  fb_admission_forecast (admission, &job, NOW_MS, NOW_MS, &forecast);
  CU_ASSERT_TRUE (forecast.has_value);
  fb_admission_begin (admission, &none, NOW_MS);
  fb_admission_add (admission, &work);
  fb_admission_forecast (admission, &job, NOW_MS, NOW_MS, &forecast);
  CU_ASSERT_TRUE (forecast.has_value);
  CU_ASSERT_EQUAL (fb_admission_backlog_ms (admission), 0);
  fb_admission_free (admission);
}

/* ---- cost ---------------------------------------------------------------------------------------
 */

/* The sums are computed each 100 ms by an owner that may have 0.12 of a core, and a forecast is
 * made for each job while a pool is overloaded. */
static void
test_cost (void)
{
  static BusyPool busy;
  uint64_t now_ms = NOW_MS;
  g_autoptr (GHashTable) accounts = g_hash_table_new (g_str_hash, g_str_equal);
  FbAccount account = { .name = (char *) "a" };
  g_hash_table_insert (accounts, account.name, &account);
  busy_pool_begin (&busy, now_ms);
  fb_pool_set_accounts (busy.pool, accounts);
  busy_pool_list_workers (&busy, now_ms);
  for (guint i = 0; i < 5 * JOB_N; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", i + 1);
      busy_pool_admit (&busy, id, i % 3, "", JOB_TASKS, now_ms);
    }
  for (; now_ms < NOW_MS + 1000; now_ms += TICK_MS)
    {
      fb_pool_tick (busy.pool, TRUE, now_ms, WALL_OFFSET_MS + now_ms);
      busy_pool_answer_all (&busy, now_ms);
    }
  FbAdmission *admission = fb_admission_new ();
  FbAdmissionForecast forecast;
  FbAdmissionJob job = short_job (2);
  job.first_ms = now_ms;
  int64_t began_us = g_get_monotonic_time ();
  for (guint i = 0; i < 100; i++)
    fb_pool_measure_backlog (busy.pool, admission, now_ms);
  int64_t measured_us = g_get_monotonic_time ();
  for (guint i = 0; i < 10000; i++)
    fb_admission_forecast (admission, &job, now_ms, now_ms, &forecast);
  int64_t ended_us = g_get_monotonic_time ();
  printf ("\n%u waiting steps of %u tasks: sums %.2f ms, a forecast %.2f us\n",
          busy.pool->queue->len, JOB_TASKS, (double) (measured_us - began_us) / 1000 / 100,
          (double) (ended_us - measured_us) / 10000);
  CU_ASSERT_TRUE (measured_us - began_us < 100 * 5000);
  CU_ASSERT_TRUE (ended_us - measured_us < 10000 * 100);
  fb_admission_free (admission);
  busy_pool_clear (&busy);
}

/* Notices go to all daemons each second, and a question to the owner for each job. */
static void
test_size_of_messages (void)
{
  u_int first = 0;
  fb_admission_step steps[2] = { { .count = 10, .cpu_milli = 2700, .estimate_ms = 560 },
                                 { .count = 10, .cpu_milli = 2700, .estimate_ms = 560 } };
  steps[1].after.after_len = 1;
  steps[1].after.after_val = &first;
  fb_peer_request question = { .type = FB_REQUEST_ADMISSION };
  question.fb_peer_request_u.admission
      = (fb_admission_request){ .service = (char *) "service-name-1",
                                .job = (char *) "00000000000000a1",
                                .account = (char *) "account-name-1",
                                .queue = (char *) "queue-name-of-checks" };
  question.fb_peer_request_u.admission.steps.steps_len = 2;
  question.fb_peer_request_u.admission.steps.steps_val = steps;
  fb_peer_request notice = { .type = FB_REQUEST_LOAD_NOTICE };
  notice.fb_peer_request_u.notice = (fb_load_notice){ .service = (char *) "service-name-1" };
  g_autoptr (GBytes) question_bytes = fb_codec_encode_peer_request (&question);
  g_autoptr (GBytes) notice_bytes = fb_codec_encode_peer_request (&notice);
  printf ("\nquestion of %u bytes, notice of %u bytes\n", (guint) g_bytes_get_size (question_bytes),
          (guint) g_bytes_get_size (notice_bytes));
  CU_ASSERT_TRUE (g_bytes_get_size (question_bytes) <= 300);
  CU_ASSERT_TRUE (g_bytes_get_size (notice_bytes) <= 100);
}

/* ---- refusals and returns ----------------------------------------------------------------------
 */

/* Returns: (transfer full): the control of a pool with work of SECONDS ahead of priority 1. */
static FbAdmissionControl *
control_behind (uint32_t seconds)
{
  FbAdmissionControl *control = fb_admission_control_new ();
  const FbAdmissionWork work = work_of_seconds (seconds, 60000);
  fb_admission_begin (fb_admission_control_forecasts (control), &ten_cores, NOW_MS);
  fb_admission_add (fb_admission_control_forecasts (control), &work);
  return control;
}

static FbAdmissionDecision
decide (FbAdmissionControl *control, const char *id, uint64_t now_ms)
{
  FbAdmissionDecision decision;
  FbAdmissionJob job = short_job (1);
  fb_admission_control_decide (control, id, &job, now_ms, &decision);
  return decision;
}

/* Refused callers must not all return at once.  Each job takes 100 ms of the pool. */
static void
test_returns_are_spread (void)
{
  FbAdmissionControl *control = control_behind (10);
  for (guint i = 0; i < 100; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", i);
      FbAdmissionDecision decision = decide (control, id, NOW_MS);
      CU_ASSERT_FALSE (decision.admitted);
      CU_ASSERT_EQUAL (decision.retry_after_ms, MIN (1500 + 100 * i, 10000));
    }
  fb_admission_control_free (control);
}

/* A caller that returns too early keeps its time; one that returns at its time is not delayed by
 * work that arrived after it. */
static void
test_return_leaves_out_later_work (void)
{
  FbAdmissionControl *control = control_behind (10);
  FbAdmission *forecasts = fb_admission_control_forecasts (control);
  CU_ASSERT_EQUAL (decide (control, "a", NOW_MS).retry_after_ms, 1500);
  CU_ASSERT_EQUAL (decide (control, "a", NOW_MS + 200).retry_after_ms, 1300);
  FbAdmissionWork work = work_of_seconds (20, 60000);
  work.arrived_ms = NOW_MS + 500;
  fb_admission_begin (forecasts, &ten_cores, NOW_MS + 1500);
  fb_admission_add (forecasts, &work);
  CU_ASSERT_FALSE (decide (control, "b", NOW_MS + 1500).admitted);
  FbAdmissionDecision decision = decide (control, "a", NOW_MS + 1500);
  CU_ASSERT_TRUE (decision.admitted);
  CU_ASSERT_TRUE (decision.returned);
  CU_ASSERT_EQUAL (decision.age_ms, 1500);
  CU_ASSERT_EQUAL (fb_admission_control_refused_n (control), 1);
  fb_admission_control_free (control);
}

/* The memory of refused ids is bounded in number and time. */
static void
test_refused_ids_are_forgotten (void)
{
  FbAdmissionControl *control = control_behind (50);
  for (guint i = 0; i < 10000; i++)
    {
      g_autofree char *id = g_strdup_printf ("%016x", i);
      (void) decide (control, id, NOW_MS);
    }
  CU_ASSERT_EQUAL (fb_admission_control_refused_n (control), 8192);
  (void) decide (control, "another", NOW_MS + 30000);
  CU_ASSERT_EQUAL (fb_admission_control_refused_n (control), 1);
  fb_admission_control_free (control);
}

/* ---- notices -------------------------------------------------------------------------------- */

/* Returns: how many notices are due from FROM_MS until UNTIL_MS, while what waits takes SECONDS. */
static guint
notices_n (FbAdmissionControl *control, uint32_t seconds, uint64_t from_ms, uint64_t until_ms,
           FbAdmissionNotice *notice)
{
  guint n = 0;
  for (uint64_t now_ms = from_ms; now_ms < until_ms; now_ms += 100)
    {
      FbAdmission *forecasts = fb_admission_control_forecasts (control);
      const FbAdmissionWork work = work_of_seconds (seconds, 600000);
      CU_ASSERT_TRUE (fb_admission_control_update_due (control, now_ms));
      fb_admission_begin (forecasts, &ten_cores, now_ms);
      fb_admission_add (forecasts, &work);
      CU_ASSERT_FALSE (fb_admission_control_update_due (control, now_ms + 99));
      n += fb_admission_control_updated (control, now_ms, notice);
    }
  return n;
}

/* No messages without overload, one a second during it, and one more at its end. */
static void
test_notices (void)
{
  FbAdmissionControl *control = fb_admission_control_new ();
  FbAdmissionNotice notice = { 0 };
  CU_ASSERT_EQUAL (notices_n (control, 1, NOW_MS, NOW_MS + 10000, &notice), 0);
  CU_ASSERT_EQUAL (notices_n (control, 5, NOW_MS + 10000, NOW_MS + 15000, &notice), 5);
  CU_ASSERT_TRUE (notice.overloaded);
  CU_ASSERT_FALSE (notice.changed);
  CU_ASSERT_EQUAL (notices_n (control, 1, NOW_MS + 15000, NOW_MS + 25000, &notice), 1);
  CU_ASSERT_TRUE (!notice.overloaded && notice.changed);
  CU_ASSERT_EQUAL (notice.sequence, 6);
  fb_admission_control_free (control);
}

int
main (void)
{
  fb_event_set_quiet (TRUE);
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("admission", NULL, NULL);
  CU_add_test (suite, "refused jobs would have no value", test_refused_jobs_would_have_no_value);
  CU_add_test (suite, "a burst with returning callers", test_burst_with_returning_callers);
  CU_add_test (suite, "work ahead", test_work_ahead);
  CU_add_test (suite, "work that loses its value", test_work_that_loses_its_value);
  CU_add_test (suite, "late work of the same priority", test_late_work_of_the_same_priority);
  CU_add_test (suite, "work that is not ahead", test_work_that_is_not_ahead);
  CU_add_test (suite, "work that the job may pass", test_work_that_the_job_may_pass);
  CU_add_test (suite, "work at the cap", test_work_at_the_cap);
  CU_add_test (suite, "an empty pool", test_empty_pool);
  CU_add_test (suite, "the cost of forecasts", test_cost);
  CU_add_test (suite, "the size of messages", test_size_of_messages);
  CU_add_test (suite, "returns are spread", test_returns_are_spread);
  CU_add_test (suite, "a return leaves out later work", test_return_leaves_out_later_work);
  CU_add_test (suite, "refused ids are forgotten", test_refused_ids_are_forgotten);
  CU_add_test (suite, "notices", test_notices);
  CU_basic_set_mode (CU_BRM_NORMAL);
  CU_basic_run_tests ();
  guint failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
