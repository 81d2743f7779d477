/* Forecast of when a job could be completed.
 *
 * Work ahead of a job leaves that place without being run when it loses its own value, or, at the
 * same priority, when it becomes late (pool-order.c).  So the wait is the smallest W for which the
 * work that is still ahead after W can have been started within W:
 *
 *   (work ahead that leaves no earlier than now + W) / capacity - longest run <= W
 *
 * Work ahead counts only if it fits wherever a task of the job does, because the job may be started
 * in room that is too small for it, and, for a job that its account sent beyond its rate, only if
 * it is of no lower priority, because the job may preempt it.
 *
 * The longest run is subtracted because the work that is in progress at the start of the job need
 * not be done by then.  The remaining work of runs in progress now is left out: it is at most as
 * long as what was subtracted, and adding it up takes a pass over all runs. */
#include "internal/admission.h"

#include <string.h>

/* Share of the work ahead that is counted, in percent: run times are off by up to 0.9 of the
 * estimate, so the mean of ten steps is off by a quarter in 6% of cases, that of forty in 0.2%. */
#define COUNTED_PERCENT 75
/* Work is added up in rows by these times; each row has the earliest time at which some of its work
 * leaves, and the latest at which some arrived. */
#define START_STEP_MS 250
#define VALUE_STEP_MS 1000
#define ARRIVAL_STEP_MS 1000
/* Times at which work leaves, relative to now: FINE_N steps of FINE_MS and then COARSE_MS. */
#define FINE_MS 250
#define FINE_N 40
#define COARSE_MS 4000
#define BUCKET_N 64

typedef struct
{
  gint urgency;
  uint32_t priority;
  gboolean is_late;
  const char *held_for; /* interned */
  uint64_t start_step;
  uint64_t value_step;
  uint64_t arrival_step;
  FbAmounts unit;
} RowKey;

typedef struct
{
  RowKey key;
  uint64_t latest_start_ms; /* the earliest of the row */
  uint64_t no_value_ms;     /* the earliest of the row */
  uint64_t arrived_ms;      /* the latest of the row */
  uint32_t run_ms;          /* the longest of the row */
  FbAmounts work;
} Row;

struct _FbAdmission
{
  GHashTable *rows;     /* RowKey -> Row, which contains it */
  GPtrArray *row_list;  /* of Row, in the order in which they were added */
  GHashTable *accounts; /* interned name -> FbAmounts, the cap */
  FbAmounts capacity;
  uint64_t updated_ms;
};

/* Strings are compared by their addresses only for equality, so the order of rows does not depend
 * on addresses. */
static guint
key_hash (gconstpointer data)
{
  const RowKey *key = data;
  guint hash = (guint) key->urgency * 31 + key->priority;
  hash = hash * 2 + (guint) (key->is_late != FALSE);
  hash = hash * 31 + (key->held_for != NULL ? g_str_hash (key->held_for) : 0);
  hash = hash * 31 + (guint) key->start_step;
  hash = hash * 31 + (guint) key->value_step;
  hash = hash * 31 + (guint) key->unit.cpu_milli;
  return hash * 31 + (guint) key->arrival_step;
}

static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
  const RowKey *x = a;
  const RowKey *y = b;
  return x->urgency == y->urgency && x->priority == y->priority && x->is_late == y->is_late
         && x->held_for == y->held_for && x->start_step == y->start_step
         && x->value_step == y->value_step && x->arrival_step == y->arrival_step
         && fb_amounts_equal (&x->unit, &y->unit);
}

FbAdmission *
fb_admission_new (void)
{
  FbAdmission *self = g_new0 (FbAdmission, 1);
  self->rows = g_hash_table_new (key_hash, key_equal);
  self->row_list = g_ptr_array_new_with_free_func (g_free);
  self->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  return self;
}

void
fb_admission_free (FbAdmission *self)
{
  g_hash_table_unref (self->rows);
  g_ptr_array_unref (self->row_list);
  g_hash_table_unref (self->accounts);
  g_free (self);
}

/* ---- waiting work --------------------------------------------------------------------- */

void
fb_admission_begin (FbAdmission *self, const FbAmounts *capacity, uint64_t now_ms)
{
  g_hash_table_remove_all (self->rows);
  g_hash_table_remove_all (self->accounts);
  g_ptr_array_set_size (self->row_list, 0);
  self->capacity = *capacity;
  self->updated_ms = now_ms;
}

static Row *
row_for (FbAdmission *self, const FbAdmissionWork *work)
{
  const RowKey key = { .urgency = work->urgency,
                       .priority = work->priority,
                       .is_late = work->is_late,
                       .held_for = work->held_for != NULL ? g_intern_string (work->held_for) : NULL,
                       .start_step = work->latest_start_ms / START_STEP_MS,
                       .value_step = work->no_value_ms / VALUE_STEP_MS,
                       .arrival_step = work->arrived_ms / ARRIVAL_STEP_MS,
                       .unit = work->unit };
  Row *row = g_hash_table_lookup (self->rows, &key);
  if (row != NULL)
    return row;
  row = g_new0 (Row, 1);
  row->key = key;
  row->latest_start_ms = row->no_value_ms = G_MAXUINT64;
  g_hash_table_insert (self->rows, &row->key, row);
  g_ptr_array_add (self->row_list, row);
  return row;
}

void
fb_admission_add (FbAdmission *self, const FbAdmissionWork *work)
{
  Row *row = row_for (self, work);
  row->latest_start_ms = MIN (row->latest_start_ms, work->latest_start_ms);
  row->no_value_ms = MIN (row->no_value_ms, work->no_value_ms);
  row->arrived_ms = MAX (row->arrived_ms, work->arrived_ms);
  row->run_ms = MAX (row->run_ms, work->run_ms);
  fb_amounts_add (&row->work, &work->work, 1);
}

void
fb_admission_set_cap (FbAdmission *self, const char *account, const FbAmounts *cap)
{
  FbAmounts *copy = g_new (FbAmounts, 1);
  *copy = *cap;
  g_hash_table_replace (self->accounts, (gpointer) g_intern_string (account), copy);
}

uint64_t
fb_admission_updated_ms (const FbAdmission *self)
{
  return self->updated_ms;
}

/* Returns: the longest time that one of the resources needs for WORK; a resource of which CAPACITY
 * has nothing does not count. */
static uint64_t
work_off_ms (const FbAmounts *work, const FbAmounts *capacity)
{
  int64_t longest_ms = 0;
  for (guint i = 0; i < FB_AMOUNTS_N; i++)
    {
      int64_t has = fb_amounts_get (capacity, i);
      if (has > 0)
        longest_ms = MAX (longest_ms, fb_amounts_get (work, i) / has);
    }
  return (uint64_t) longest_ms;
}

uint64_t
fb_admission_backlog_ms (const FbAdmission *self)
{
  FbAmounts of_pool = { 0 };
  uint64_t longest_ms = 0;
  g_autoptr (GHashTable) of_accounts
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  for (guint i = 0; i < self->row_list->len; i++)
    {
      const Row *row = self->row_list->pdata[i];
      if (row->key.held_for == NULL)
        {
          fb_amounts_add (&of_pool, &row->work, 1);
          continue;
        }
      FbAmounts *held = g_hash_table_lookup (of_accounts, row->key.held_for);
      if (held == NULL)
        {
          held = g_new0 (FbAmounts, 1);
          g_hash_table_insert (of_accounts, (gpointer) row->key.held_for, held);
        }
      fb_amounts_add (held, &row->work, 1);
      const FbAmounts *cap = g_hash_table_lookup (self->accounts, row->key.held_for);
      if (cap != NULL)
        longest_ms = MAX (longest_ms, work_off_ms (held, cap));
    }
  return MAX (longest_ms, work_off_ms (&of_pool, &self->capacity));
}

/* ---- forecast ----------------------------------------------------------------------------- */

/* Which work counts in a forecast. */
typedef struct
{
  const FbAdmissionJob *job;
  gboolean late;     /* the job has become late itself */
  uint64_t until_ms; /* work that arrived later does not count */
  uint64_t now_ms;
} Question;

/* Work ahead of a job by when it leaves that place. */
typedef struct
{
  FbAmounts work[BUCKET_N];
  uint32_t run_ms; /* the longest run in it */
} Ahead;

static uint64_t
bucket_from_ms (guint bucket)
{
  return bucket <= FINE_N ? (uint64_t) bucket * FINE_MS
                          : FINE_N * FINE_MS + (uint64_t) (bucket - FINE_N) * COARSE_MS;
}

static guint
bucket_of (uint64_t in_ms)
{
  if (in_ms < FINE_N * FINE_MS)
    return (guint) (in_ms / FINE_MS);
  return (guint) MIN (FINE_N + (in_ms - FINE_N * FINE_MS) / COARSE_MS, BUCKET_N - 1);
}

/* Returns: when JOB becomes late, by its expected run times. */
static uint64_t
latest_start_ms (const FbAdmissionJob *job)
{
  uint64_t objective_ms = job->first_ms + job->objective_ms;
  return objective_ms > job->path_ms ? objective_ms - job->path_ms : 0;
}

/* Returns: until when the work of ROW is ahead of the job; 0 if it is not. */
static uint64_t
ahead_until_ms (const Row *row, const Question *question)
{
  const FbAdmissionJob *job = question->job;
  gboolean may_be_preempted = row->key.held_for == NULL && row->key.priority > job->priority;
  if (row->key.urgency != job->urgency)
    return row->key.urgency < job->urgency && !may_be_preempted ? row->no_value_ms : 0;
  if (row->key.priority != job->priority)
    return row->key.priority < job->priority ? row->no_value_ms : 0;
  if (row->latest_start_ms >= latest_start_ms (job))
    return 0;
  if (question->late)
    return row->no_value_ms;
  return row->key.is_late ? 0 : row->latest_start_ms;
}

/* TRUE when what needs UNIT fits wherever a task that needs DEMAND does.  Otherwise the task may be
 * started before it, in room that is too small for it. */
static gboolean
fits_where (const FbAmounts *unit, const FbAmounts *demand)
{
  const FbAmounts both = fb_amounts_max (unit, demand);
  return fb_amounts_equal (&both, demand);
}

static void
collect_ahead (const FbAdmission *self, const Question *question, const char *held_for,
               Ahead *ahead)
{
  for (guint i = 0; i < self->row_list->len; i++)
    {
      const Row *row = self->row_list->pdata[i];
      if (g_strcmp0 (row->key.held_for, held_for) != 0 || row->arrived_ms > question->until_ms
          || !fits_where (&row->key.unit, &question->job->demand))
        continue;
      uint64_t until_ms = ahead_until_ms (row, question);
      if (until_ms <= question->now_ms)
        continue;
      fb_amounts_add (&ahead->work[bucket_of (until_ms - question->now_ms)], &row->work, 1);
      ahead->run_ms = MAX (ahead->run_ms, row->run_ms);
    }
}

/* Returns: the smallest wait for RESOURCE that the work in AHEAD allows. */
static uint64_t
wait_for (const Ahead *ahead, guint resource, int64_t capacity)
{
  int64_t left = 0;
  for (guint i = 0; i < BUCKET_N; i++)
    left += fb_amounts_get (&ahead->work[i], resource);
  for (guint i = 0; i < BUCKET_N; i++)
    {
      /* Waits up to the beginning of bucket I: all of LEFT has to be started. */
      uint64_t needed_ms = (uint64_t) (left / 100 * COUNTED_PERCENT / capacity);
      uint64_t from_ms = i > 0 ? bucket_from_ms (i - 1) : 0;
      uint64_t wait_ms = MAX (needed_ms > ahead->run_ms ? needed_ms - ahead->run_ms : 0, from_ms);
      if (wait_ms <= bucket_from_ms (i))
        return wait_ms;
      left -= fb_amounts_get (&ahead->work[i], resource);
    }
  return bucket_from_ms (BUCKET_N - 1);
}

static uint64_t
longest_wait (const FbAdmission *self, const Question *question, const char *held_for,
              const FbAmounts *capacity)
{
  uint64_t longest_ms = 0;
  Ahead ahead = { 0 };
  collect_ahead (self, question, held_for, &ahead);
  for (guint i = 0; i < FB_AMOUNTS_N; i++)
    {
      int64_t has = fb_amounts_get (capacity, i);
      if (fb_amounts_get (&question->job->demand, i) > 0 && has > 0)
        longest_ms = MAX (longest_ms, wait_for (&ahead, i, has));
    }
  return longest_ms;
}

/* Returns: the wait for the pool or, if that is longer, for the cap of the account. */
static uint64_t
wait_of (const FbAdmission *self, const Question *question, gboolean *is_account_bound)
{
  const char *account = question->job->account;
  const FbAmounts *cap = g_hash_table_lookup (self->accounts, account);
  uint64_t pool_ms = longest_wait (self, question, NULL, &self->capacity);
  uint64_t account_ms = cap != NULL ? longest_wait (self, question, account, cap) : 0;
  *is_account_bound = account_ms > pool_ms;
  return MAX (pool_ms, account_ms);
}

/* A job that is still in time comes before those of its priority that are late.  If it cannot be
 * started as long as it is in time, it comes behind those that became late before it. */
void
fb_admission_forecast (const FbAdmission *self, const FbAdmissionJob *job, uint64_t until_ms,
                       uint64_t now_ms, FbAdmissionForecast *forecast)
{
  Question question = { .job = job, .until_ms = until_ms, .now_ms = now_ms };
  uint64_t in_time_until_ms = MAX (latest_start_ms (job), now_ms);
  *forecast = (FbAdmissionForecast){ 0 };
  forecast->wait_ms = wait_of (self, &question, &forecast->is_account_bound);
  if (now_ms + forecast->wait_ms > latest_start_ms (job))
    {
      question.late = TRUE;
      forecast->wait_ms
          = MAX (wait_of (self, &question, &forecast->is_account_bound), in_time_until_ms - now_ms);
    }
  forecast->end_ms = now_ms + forecast->wait_ms + job->path_ms;
  uint64_t possible_end_ms = now_ms + forecast->wait_ms + job->longest_path_ms;
  uint64_t no_value_ms = job->first_ms + 3 * job->longest_objective_ms;
  forecast->has_value = possible_end_ms <= no_value_ms;
  forecast->excess_ms = forecast->has_value ? 0 : possible_end_ms - no_value_ms;
  const FbAmounts *cap = g_hash_table_lookup (self->accounts, job->account);
  forecast->work_off_ms
      = work_off_ms (&job->work, forecast->is_account_bound ? cap : &self->capacity);
}
