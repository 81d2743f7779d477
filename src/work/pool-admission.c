/* What forecasts need to know of a pool: the work that waits in it, and how the queue would treat a
 * job that is not stored yet. */
#include "internal/admission.h"
#include "internal/pool-account.h"
#include "internal/pool-order.h"

#include "fb-histogram.h"

/* Steps that are added up at most; what is left out makes forecasts earlier, so that more jobs are
 * accepted.  A step of 20 tasks takes 0.3 us (tests/test-admission.c), so one pass takes 0.6 ms of
 * CPU time at most, each 100 ms. */
#define MEASURED_N 2000
/* Factor by which tasks may take longer than estimated, in percent. */
#define LONGEST_PERCENT 190

gboolean
fb_pool_can_forecast (const FbPool *self)
{
  return self->orders_by_slack && self->recovered && !self->fenced;
}

/* Returns: demand times expected run time of N tasks. */
static FbAmounts
work_of (const fb_work_step *spec, uint64_t run_ms, guint n)
{
  const FbAmounts demand
      = { spec->best_effort ? 0 : spec->cpu_milli, spec->mem_mb, spec->gpu_count };
  FbAmounts work = { 0 };
  fb_amounts_add (&work, &demand, (int64_t) (run_ms * n));
  return work;
}

typedef struct
{
  const FbPool *pool;
  FbAdmission *admission;
} Measurement;

/* Steps that wait for the answer of the advice service cannot start yet and are left out, as are
 * long-running steps, whose end is not known. */
static void
add_step (const Measurement *measurement, const FbPoolStep *step, const char *held_for)
{
  if (step->spec->long_running || step->urgency > FB_URGENCY_BEYOND_RATE
      || (step->job->record.policy.advised && !step->has_advice) || !fb_pool_step_is_pending (step))
    return;
  uint64_t run_ms = fb_pool_step_expected_ms (step);
  guint unit_n = step->spec->gang ? step->spec->count : 1;
  const FbAdmissionWork work
      = { .urgency = step->urgency,
          .priority = step->job->record.policy.priority,
          .is_late = step->is_late || fb_pool_order_yields_to_newer (step),
          .held_for = held_for,
          .latest_start_ms = step->latest_start_ms,
          .no_value_ms = step->job->no_value_ms,
          .arrived_ms = step->job->admitted_ms,
          .unit = work_of (step->spec, 1, unit_n),
          .run_ms = (uint32_t) MIN (run_ms, G_MAXUINT32),
          .work = work_of (step->spec, run_ms, fb_pool_step_pending_n (step)) };
  fb_admission_add (measurement->admission, &work);
}

static void
add_held (gpointer user, const char *account, const FbPoolStep *step)
{
  const Measurement *measurement = user;
  add_step (measurement, step, account);
  fb_admission_set_cap (measurement->admission, account, fb_pool_account_cap (step->job->account));
}

void
fb_pool_measure_backlog (const FbPool *self, FbAdmission *admission, uint64_t now_ms)
{
  const Measurement measurement = { self, admission };
  fb_admission_begin (admission, &self->capacity, now_ms);
  if (!self->orders_by_slack)
    return;
  for (guint i = 0; i < self->queue->len && i < MEASURED_N / 2; i++)
    {
      const FbPoolStep *step = self->queue->pdata[i];
      if (step->is_merged && step->held_at == NULL)
        add_step (&measurement, step, NULL);
    }
  fb_pool_accounts_foreach_held (self, MEASURED_N / 2, add_held, (gpointer) &measurement);
}

/* The time of acceptance decides both from when the objective counts and to which second of its
 * account's rate a job belongs. */
uint64_t
fb_pool_accepted_age_ms (const FbPool *self, const fb_admission_request *request, uint64_t age_ms)
{
  const FbPoolAccount *account = g_hash_table_lookup (self->accounts, request->account);
  uint64_t first_ms = request->accepted_ms - MIN (request->accepted_ms, age_ms);
  return fb_pool_account_would_exceed_rate (account, first_ms) ? 0 : age_ms;
}

/* ---- errors of forecasts ------------------------------------------------------------------- */

/* Forecasts that are kept until their jobs start; all are dropped when there are more. */
#define FORECASTS_MAX 8192

void
fb_pool_note_forecast (FbPool *self, const char *job, uint64_t start_ms)
{
  if (g_hash_table_size (self->forecasts) >= FORECASTS_MAX)
    g_hash_table_remove_all (self->forecasts);
  uint64_t *copy = g_new (uint64_t, 1);
  *copy = start_ms;
  g_hash_table_replace (self->forecasts, g_strdup (job), copy);
}

void
fb_pool_forecast_started (FbPool *self, const FbPoolJob *job, uint64_t now_ms)
{
  const uint64_t *start_ms = g_hash_table_lookup (self->forecasts, job->id);
  if (start_ms == NULL)
    return;
  fb_histogram_add (FB_HISTOGRAM_FORECAST_ERROR, MAX (*start_ms, now_ms) - MIN (*start_ms, now_ms));
  g_hash_table_remove (self->forecasts, job->id);
}

/* ---- jobs that are not stored yet ----------------------------------------------------------- */

/* Returns: FALSE when a step names one that does not come before it. */
static gboolean
critical_path_ms (const FbPool *self, const fb_admission_request *request, uint64_t *path_ms)
{
  uint64_t until_ms[FB_WORK_MAX_STEPS] = { 0 };
  *path_ms = 0;
  for (u_int i = 0; i < request->steps.steps_len; i++)
    {
      const fb_admission_step *step = &request->steps.steps_val[i];
      uint64_t from_ms = 0;
      for (u_int j = 0; j < step->after.after_len; j++)
        {
          if (step->after.after_val[j] >= i)
            return FALSE;
          from_ms = MAX (from_ms, until_ms[step->after.after_val[j]]);
        }
      until_ms[i]
          = from_ms + fb_run_times_predict (self->run_times, request->queue, i, step->estimate_ms);
      *path_ms = MAX (*path_ms, until_ms[i]);
    }
  return request->steps.steps_len > 0;
}

/* The demand of the job is the smallest of the steps that may start first, in each resource. */
static void
add_demand (const FbPool *self, const fb_admission_request *request, FbAdmissionJob *job)
{
  job->demand = (FbAmounts){ G_MAXINT64, G_MAXINT64, G_MAXINT64 };
  for (u_int i = 0; i < request->steps.steps_len; i++)
    {
      const fb_admission_step *step = &request->steps.steps_val[i];
      const FbAmounts demand = { step->cpu_milli, step->mem_mb, step->gpu_count };
      uint32_t run_ms
          = fb_run_times_predict (self->run_times, request->queue, i, step->estimate_ms);
      fb_amounts_add (&job->work, &demand, (int64_t) step->count * run_ms);
      if (step->after.after_len == 0)
        job->demand = fb_amounts_min (&job->demand, &demand);
    }
}

gboolean
fb_pool_describe_job (FbPool *self, const fb_admission_request *request,
                      const fb_work_policy *policy, FbAdmissionJob *job)
{
  *job = (FbAdmissionJob){ .account = request->account, .priority = request->priority };
  if (!critical_path_ms (self, request, &job->path_ms))
    return FALSE;
  const FbPoolAccount *account = g_hash_table_lookup (self->accounts, request->account);
  job->urgency = fb_pool_account_would_exceed_rate (account, request->accepted_ms)
                     ? FB_URGENCY_BEYOND_RATE
                     : FB_URGENCY_NORMAL;
  job->longest_path_ms = job->path_ms * LONGEST_PERCENT / 100;
  job->objective_ms = fb_pool_objective_duration_ms (policy, job->path_ms);
  job->longest_objective_ms = fb_pool_objective_duration_ms (policy, job->longest_path_ms);
  add_demand (self, request, job);
  return TRUE;
}
