#include "internal/pool-account.h"
#include "internal/pool-order.h"

#include "fb-counter.h"
#include "fb-event.h"

/* Number of waiting steps of one account that are tried at a time, in their order.  A gang that
 * needs much may wait at the head while smaller steps behind it can start. */
#define LOOKAHEAD_N 32
/* Interval at which what may run on workers without an answer is computed again during a takeover:
 * it takes a pass over the active jobs. */
#define UNCONFIRMED_INTERVAL_MS 100
/* Steps whose keys are computed again in one update of all accounts' waiting steps, for each
 * account at least MIN_SCANNED_N. All 5,000 steps of one account take ten updates, that is 1 s, and
 * one update at most 0.5 ms of CPU time, if all steps are moved. Steps at the head, which are next
 * to start, are checked whenever they are tried. */
#define SCANNED_N 500
#define MIN_SCANNED_N 8
/* Steps that are moved when the head of an account's steps is tried; the next round goes on. */
#define MOVED_N 128
/* Number of seconds for which an account's jobs are counted; then the count begins again. */
#define COUNTED_SECONDS_MAX 600
/* An account whose steps may start, and still find no room in the pool for this long, claims no
 * more of its cap for them: two rounds have tried the workers meanwhile, and steps for which
 * preemption frees capacity do not count.  Another pool of the account waits for as long, and
 * should get its part within 100 ms. */
#define NO_ROOM_MS 40
/* It asks for more again when no step has lacked room for this long, so that its gangs are tried
 * again; it then holds an unused part for NO_ROOM_MS and an exchange. */
#define NO_ROOM_VALID_MS 500
/* What waiting steps need is added up again after this time even if no run of the account has
 * started or ended: tasks may also become pending when a crash is resolved. */
#define DEMAND_VALID_MS 1000
/* Minimum interval between two log lines about steps that wait for one account. */
#define LOG_INTERVAL_MS 1000

struct _FbPoolAccount
{
  char *name;
  FbAmounts cap;         /* 0: no limit */
  FbAmounts part;        /* what this pool may use of the cap */
  FbAmounts used;        /* by the runs on the workers of this pool */
  FbAmounts unconfirmed; /* may run on workers that have not answered this owner yet */
  int64_t unconfirmed_best_effort_cpu_milli; /* of these, by tasks whose CPU no worker counts */
  GSequence *held;      /* of FbPoolStep that wait for the account, in the order of the queue */
  GPtrArray *earmarked; /* of FbPoolStep: gangs that wait for their tickets; borrowed */
  FbAccountShare share;
  uint32_t weight;      /* jobs per second that are owed; 0: not known */
  GHashTable *jobs_n;   /* second since 1970 -> number of jobs accepted in it */
  guint scan_position;  /* in HELD, where the next update of the keys goes on */
  gboolean release_due; /* it may run more than when its steps were last tried */
  FbAmounts demand;     /* of the first steps that wait: see wanted_by() */
  gboolean demand_due;  /* DEMAND is out of date */
  uint64_t demand_ms;   /* when DEMAND was computed; 0: never */
  /* Since when steps that the account may start find no room, and when that was last so; 0: never.
   */
  uint64_t no_room_since_ms;
  uint64_t no_room_ms;
  uint64_t logged_ms; /* when it was last logged that steps wait; 0: never */
};

static void
account_free (gpointer data)
{
  FbPoolAccount *account = data;
  g_sequence_free (account->held);
  g_ptr_array_unref (account->earmarked);
  g_hash_table_unref (account->jobs_n);
  g_free (account->name);
  g_free (account);
}

GHashTable *
fb_pool_accounts_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, NULL, account_free);
}

FbPoolAccount *
fb_pool_account_get (FbPool *self, const char *name)
{
  if (name == NULL || *name == '\0')
    return NULL;
  FbPoolAccount *account = g_hash_table_lookup (self->accounts, name);
  if (account != NULL)
    return account;
  account = g_new0 (FbPoolAccount, 1);
  account->name = g_strdup (name);
  account->held = g_sequence_new (NULL);
  account->earmarked = g_ptr_array_new ();
  account->jobs_n = g_hash_table_new (NULL, NULL);
  if (!self->limits.caps_are_divided)
    account->part = (FbAmounts){ G_MAXINT64, G_MAXINT64, G_MAXINT64 };
  g_hash_table_insert (self->accounts, account->name, account);
  return account;
}

FbAccountShare *
fb_pool_account_share (FbPoolAccount *account)
{
  return &account->share;
}

const FbAmounts *
fb_pool_account_used (const FbPoolAccount *account)
{
  return &account->used;
}

gboolean
fb_pool_account_holds_steps (const FbPoolAccount *account)
{
  return !g_sequence_is_empty (account->held);
}

/* ---- amounts --------------------------------------------------------------------- */

static FbAmounts
demand_of (const fb_work_step *spec)
{
  return (FbAmounts){ spec->cpu_milli, spec->mem_mb, spec->gpu_count };
}

/* Returns: how many times DEMAND fits into what is left of a resource.  CAP: 0 for no limit. */
static int64_t
fit_n (int64_t cap, int64_t part, int64_t taken, int64_t demand)
{
  if (cap == 0 || demand == 0)
    return G_MAXINT32;
  int64_t left = MIN (cap, part) - taken;
  return left > 0 ? left / demand : 0;
}

static guint
room_n (const FbPoolAccount *account, const FbAmounts *taken, const fb_work_step *spec, guint max_n)
{
  int64_t n
      = fit_n (account->cap.cpu_milli, account->part.cpu_milli, taken->cpu_milli, spec->cpu_milli);
  n = MIN (n, fit_n (account->cap.mem_mb, account->part.mem_mb, taken->mem_mb, spec->mem_mb));
  n = MIN (n, fit_n (account->cap.gpu_count, account->part.gpu_count, taken->gpu_count,
                     spec->gpu_count));
  return (guint) MIN (n, max_n);
}

static FbAmounts
taken_by (const FbPoolAccount *account)
{
  FbAmounts taken = account->used;
  fb_amounts_add (&taken, &account->unconfirmed, 1);
  return taken;
}

guint
fb_pool_account_room_n (const FbPoolStep *step, guint max_n)
{
  const FbPoolAccount *account = step->job->account;
  if (account == NULL)
    return max_n;
  const FbAmounts taken = taken_by (account);
  return room_n (account, &taken, step->spec, max_n);
}

/* Returns: the number of tasks of STEP that have to start together. */
static guint
unit_of (const FbPoolStep *step)
{
  return step->spec->gang ? step->spec->count : 1;
}

gboolean
fb_pool_account_is_exhausted (const FbPoolStep *step)
{
  guint unit = unit_of (step);
  return fb_pool_account_room_n (step, unit) < unit;
}

void
fb_pool_account_charge (FbPoolAccount *account, const fb_work_step *spec, int sign)
{
  if (account == NULL)
    return;
  const FbAmounts demand = demand_of (spec);
  fb_amounts_add (&account->used, &demand, sign);
  account->demand_due = TRUE;
  if (sign < 0)
    account->release_due = TRUE;
}

/* Seconds are counted by the time of acceptance, so that a new owner, which adds all jobs at once,
 * finds the same jobs beyond the rate. */
gboolean
fb_pool_account_count_job (FbPoolAccount *account, uint64_t accepted_ms)
{
  if (account == NULL || account->weight == 0)
    return TRUE;
  gpointer second = GUINT_TO_POINTER ((guint) (accepted_ms / 1000));
  if (g_hash_table_size (account->jobs_n) >= COUNTED_SECONDS_MAX)
    g_hash_table_remove_all (account->jobs_n);
  guint n = GPOINTER_TO_UINT (g_hash_table_lookup (account->jobs_n, second)) + 1;
  g_hash_table_insert (account->jobs_n, second, GUINT_TO_POINTER (n));
  return n <= account->weight;
}

gboolean
fb_pool_account_would_exceed_rate (const FbPoolAccount *account, uint64_t accepted_ms)
{
  if (account == NULL || account->weight == 0)
    return FALSE;
  gpointer second = GUINT_TO_POINTER ((guint) (accepted_ms / 1000));
  return GPOINTER_TO_UINT (g_hash_table_lookup (account->jobs_n, second)) >= account->weight;
}

/* ---- steps that wait -------------------------------------------------------------- */

static gint
compare_held (gconstpointer a, gconstpointer b, gpointer user)
{
  (void) user;
  return fb_pool_queue_compare (a, b);
}

static void
log_waiting (FbPoolAccount *account, uint64_t now_ms)
{
  if (account->logged_ms != 0 && now_ms < account->logged_ms + LOG_INTERVAL_MS)
    return;
  account->logged_ms = now_ms;
  fb_event_log (
      FB_EVENT_ACCOUNT_AT_CAP,
      "account=%s cpu_used=%" G_GINT64_FORMAT " cpu_part=%" G_GINT64_FORMAT
      " cpu_cap=%" G_GINT64_FORMAT " mem_used=%" G_GINT64_FORMAT " mem_part=%" G_GINT64_FORMAT
      " mem_cap=%" G_GINT64_FORMAT " gpu_used=%" G_GINT64_FORMAT " gpu_part=%" G_GINT64_FORMAT
      " gpu_cap=%" G_GINT64_FORMAT " unconfirmed_cpu=%" G_GINT64_FORMAT,
      account->name, account->used.cpu_milli, account->part.cpu_milli, account->cap.cpu_milli,
      account->used.mem_mb, account->part.mem_mb, account->cap.mem_mb, account->used.gpu_count,
      account->part.gpu_count, account->cap.gpu_count, account->unconfirmed.cpu_milli);
}

void
fb_pool_account_hold (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  FbPoolAccount *account = step->job->account;
  g_ptr_array_unref (fb_pool_release_reservation (self, step));
  fb_pool_long_running_set_wait_reason (self, step, "cap", now_ms);
  log_waiting (account, now_ms);
  step->is_merged = FALSE;
  /* All steps here have the same account, and the flag would be that of when each was sorted. */
  step->is_over_share = FALSE;
  step->held_at = g_sequence_insert_sorted (account->held, step, compare_held, NULL);
  account->demand_due = TRUE;
}

void
fb_pool_account_note_room (const FbPoolStep *step, gboolean found, uint64_t now_ms)
{
  FbPoolAccount *account = step->job->account;
  if (account == NULL)
    return;
  if (found)
    account->no_room_since_ms = 0;
  else if (account->no_room_since_ms == 0 || now_ms > account->no_room_ms + NO_ROOM_VALID_MS)
    account->no_room_since_ms = now_ms;
  account->no_room_ms = now_ms;
  /* Steps behind it may find room. */
  account->release_due = account->release_due || !found;
}

static void
remove_held (FbPoolStep *step)
{
  g_sequence_remove (step->held_at);
  step->job->account->demand_due = TRUE;
  step->held_at = NULL;
  step->queued = FALSE;
}

/* Computes the key of STEP, which waits for its account, again.  Returns: TRUE when the step was
 * moved. */
static gboolean
update_held (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  if (!self->orders_by_slack)
    return FALSE;
  fb_pool_order_predict (self, step, now_ms);
  const FbPoolOrderKey key
      = fb_pool_order_key (self, step, fb_pool_queue_urgency (step, now_ms), now_ms);
  self->visits_n += FB_POOL_ORDER_KEY_VISITS;
  if (!fb_pool_order_key_differs (step, &key))
    return FALSE;
  self->visits_n += FB_POOL_ORDER_KEY_VISITS; /* a move costs as much as a key */
  fb_pool_order_set_key (self, step, &key, now_ms);
  g_sequence_sort_changed (step->held_at, compare_held, NULL);
  step->job->account->demand_due = TRUE;
  return TRUE;
}

/* Returns to the queue the steps of ACCOUNT that it may start, together at most as many as it may
 * run.  Steps that have become late since they were sorted are found here and moved back, since
 * they are ahead of those in time.  Returns: FALSE when too many were moved to try all. */
static gboolean
release_held (FbPool *self, FbPoolAccount *account, uint64_t now_ms)
{
  FbAmounts taken = taken_by (account);
  guint earmarked_n = account->earmarked->len; /* those added below are counted in TAKEN */
  GSequenceIter *at = g_sequence_get_begin_iter (account->held);
  guint moved_n = 0;
  for (guint i = 0; i < LOOKAHEAD_N && moved_n < MOVED_N && !g_sequence_iter_is_end (at); i++)
    {
      FbPoolStep *step = g_sequence_get (at);
      at = g_sequence_iter_next (at);
      if (update_held (self, step, now_ms))
        {
          moved_n++;
          /* It comes up again unless it stayed ahead of the next step. */
          if (g_sequence_iter_compare (step->held_at, at) > 0)
            {
              i--;
              continue;
            }
        }
      guint unit = unit_of (step);
      guint pending_n = fb_pool_step_is_pending (step) ? fb_pool_step_pending_n (step) : 0;
      FbAmounts claimed = fb_pool_earmarks_withheld (account->earmarked, earmarked_n, step);
      fb_amounts_add (&claimed, &taken, 1);
      guint n = room_n (account, &claimed, step->spec, MAX (pending_n, unit));
      if (pending_n > 0 && n < unit)
        continue;
      remove_held (step);
      if (pending_n == 0)
        continue;
      fb_pool_queue_add (self, step);
      fb_pool_earmarks_add (account->earmarked, step, now_ms);
      const FbAmounts demand = demand_of (step->spec);
      fb_amounts_add (&taken, &demand, n);
    }
  return moved_n < MOVED_N;
}

void
fb_pool_accounts_release_held (FbPool *self, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolAccount *account = value;
      gboolean dropped = fb_pool_earmarks_drop_ended (account->earmarked, now_ms);
      account->demand_due = account->demand_due || dropped;
      account->release_due = account->release_due || dropped;
      account->release_due = account->release_due && !g_sequence_is_empty (account->held)
                             && !release_held (self, account, now_ms);
      self->round_due = self->round_due || account->release_due;
    }
}

void
fb_pool_account_reorder_held (FbPool *self, FbPoolStep *step, uint64_t now_ms)
{
  if (step->held_at != NULL && update_held (self, step, now_ms))
    step->job->account->release_due = TRUE;
}

/* Also keeps up to date what is computed from the first waiting steps while none can start. */
static void
scan_held (FbPool *self, FbPoolAccount *account, guint n, uint64_t now_ms)
{
  guint length = (guint) g_sequence_get_length (account->held);
  if (account->scan_position >= length)
    account->scan_position = 0;
  GSequenceIter *at = g_sequence_get_iter_at_pos (account->held, (gint) account->scan_position);
  for (guint i = 0; i < n && !g_sequence_iter_is_end (at); i++)
    {
      FbPoolStep *step = g_sequence_get (at);
      at = g_sequence_iter_next (at);
      if (update_held (self, step, now_ms))
        account->release_due = TRUE;
    }
  account->scan_position += n;
}

void
fb_pool_accounts_reorder_held (FbPool *self, uint64_t now_ms)
{
  guint accounts_n = MAX (g_hash_table_size (self->accounts), 1);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolAccount *account = value;
      if (!g_sequence_is_empty (account->held))
        scan_held (self, account, MAX (SCANNED_N / accounts_n, MIN_SCANNED_N), now_ms);
    }
}

gboolean
fb_pool_account_could_start (const FbPoolStep *step)
{
  const FbAmounts nothing = { 0 };
  guint unit = unit_of (step);
  return room_n (step->job->account, &nothing, step->spec, unit) == unit;
}

FbPoolStep *
fb_pool_account_find_held (const FbPoolAccount *account, guint *position, FbPoolHeldFunc func,
                           uint64_t now_ms)
{
  GSequenceIter *at = g_sequence_get_begin_iter (account->held);
  guint max_n = *position;
  for (guint i = 0; i < max_n && !g_sequence_iter_is_end (at); i++, at = g_sequence_iter_next (at))
    {
      FbPoolStep *step = g_sequence_get (at);
      if (!func (step, now_ms))
        continue;
      *position = i;
      return step;
    }
  return NULL;
}

void
fb_pool_account_drop_job (const FbPoolJob *job)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
      for (guint j = 0; j < job->record.spec.steps.steps_len; j++)
        {
          if (job->account != NULL)
            job->account->release_due
                |= fb_pool_earmarks_drop (job->account->earmarked, &occurrence->steps[j]);
          if (occurrence->steps[j].held_at != NULL)
            remove_held (&occurrence->steps[j]);
        }
    }
}

/* ---- takeover ----------------------------------------------------------------------- */

/* Returns: what all unconfirmed workers whose runs are not counted have together. A worker may have
 * shrunk since its runs were started, so its largest size counts; only that of a worker which a
 * daemon of an earlier version recorded is unknown. */
static FbAmounts
unconfirmed_capacity (const FbPool *self)
{
  FbAmounts capacity = { 0 };
  for (guint i = 0; i < self->unconfirmed_workers->len; i++)
    {
      const FbPoolWorker *worker = self->unconfirmed_workers->pdata[i];
      const FbAmounts of_worker
          = { worker->max_cpu_milli, worker->max_mem_mb, worker->max_gpu_count };
      if (worker->runs_counted)
        continue;
      if (!worker->size_known)
        return (FbAmounts){ G_MAXINT64, G_MAXINT64, G_MAXINT64 };
      fb_amounts_add (&capacity, &of_worker, 1);
    }
  return capacity;
}

/* The CPU of best-effort tasks does not count at their workers, so the size of these is no bound
 * for it. */
static void
charge_unconfirmed (FbPoolAccount *account, const fb_work_step *spec, guint tasks_n)
{
  FbAmounts demand = demand_of (spec);
  if (spec->best_effort)
    {
      account->unconfirmed_best_effort_cpu_milli += tasks_n * demand.cpu_milli;
      demand.cpu_milli = 0;
    }
  fb_amounts_add (&account->unconfirmed, &demand, tasks_n);
}

static void
add_unconfirmed (const FbPool *self, FbPoolJob *job)
{
  for (guint i = 0; i < job->occurrences->len; i++)
    {
      FbPoolOccurrence *occurrence = job->occurrences->pdata[i];
      for (guint j = 0; !occurrence->finished && j < job->record.spec.steps.steps_len; j++)
        {
          const FbPoolStep *step = &occurrence->steps[j];
          guint pending_n = fb_pool_step_is_pending (step) ? fb_pool_step_pending_n (step) : 0;
          if (pending_n > 0 && fb_pool_may_run_uncounted (self, step))
            charge_unconfirmed (job->account, step->spec, pending_n);
        }
    }
}

/* Charges the tasks that the previous owner has counted on WORKER, in addition to what is bounded
 * by bound_unconfirmed(). */
static void
add_counted (FbPool *self, const FbPoolWorker *worker)
{
  const FbAmounts capacity
      = worker->size_known
            ? (FbAmounts){ worker->max_cpu_milli, worker->max_mem_mb, worker->max_gpu_count }
            : (FbAmounts){ G_MAXINT64, G_MAXINT64, G_MAXINT64 };
  GHashTableIter iter;
  gpointer name;
  gpointer n;
  g_hash_table_iter_init (&iter, worker->known_steps);
  while (g_hash_table_iter_next (&iter, &name, &n))
    {
      uint32_t index = 0;
      g_autofree char *task = g_strconcat (name, ".0", NULL);
      const FbPoolStep *step = fb_pool_find_task (self, task, &index);
      if (step == NULL || step->job->account == NULL)
        continue;
      const FbAmounts demand = demand_of (step->spec);
      FbAmounts amounts = { 0 };
      fb_amounts_add (&amounts, &demand, GPOINTER_TO_UINT (n));
      if (!step->spec->best_effort)
        amounts = fb_amounts_min (&amounts, &capacity);
      fb_amounts_add (&step->job->account->unconfirmed, &amounts, 1);
    }
}

static void
add_all_counted (FbPool *self)
{
  for (guint i = 0; i < self->unconfirmed_workers->len; i++)
    {
      const FbPoolWorker *worker = self->unconfirmed_workers->pdata[i];
      if (worker->runs_counted)
        add_counted (self, worker);
    }
}

/* Tasks that may run on workers without an answer use no more than these workers have. */
static void
bound_unconfirmed (FbPool *self)
{
  const FbAmounts capacity = unconfirmed_capacity (self);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolAccount *account = value;
      account->unconfirmed = fb_amounts_min (&account->unconfirmed, &capacity);
      account->unconfirmed.cpu_milli += account->unconfirmed_best_effort_cpu_milli;
      account->release_due = TRUE;
    }
}

static void
clear_unconfirmed (FbPool *self)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolAccount *account = value;
      const FbAmounts none = { 0 };
      account->release_due
          = account->release_due || !fb_amounts_equal (&account->unconfirmed, &none);
      account->unconfirmed = none;
      account->unconfirmed_best_effort_cpu_milli = 0;
    }
}

void
fb_pool_accounts_update_unconfirmed (FbPool *self, uint64_t now_ms)
{
  if (!self->recovered && now_ms < self->unconfirmed_ms + UNCONFIRMED_INTERVAL_MS)
    return;
  self->unconfirmed_ms = now_ms;
  clear_unconfirmed (self);
  if (self->recovered)
    return;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->active_jobs);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      FbPoolJob *job = value;
      if (job->account != NULL)
        add_unconfirmed (self, job);
    }
  bound_unconfirmed (self);
  add_all_counted (self);
}

/* ---- configuration --------------------------------------------------------------------- */

/* Accounts that are no longer configured keep their caps while their jobs run, but take no part in
 * the shares. */
static void
forget_shares (FbPool *self, GHashTable *accounts)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolAccount *account = value;
      if (!g_hash_table_contains (accounts, account->name))
        account->share = (FbAccountShare){ 0 };
    }
}

void
fb_pool_set_accounts (FbPool *self, GHashTable *accounts)
{
  GHashTableIter iter;
  gpointer value;
  forget_shares (self, accounts);
  g_hash_table_iter_init (&iter, accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const FbAccount *configured = value;
      FbPoolAccount *account = fb_pool_account_get (self, configured->name);
      account->cap = configured->cap;
      account->weight = configured->weight;
      account->share.weight = configured->weight;
      account->release_due = TRUE;
    }
  self->orders_by_slack = self->orders_by_slack || g_hash_table_size (accounts) > 0;
  self->round_due = TRUE;
}

/* ---- queries ------------------------------------------------------------------------------ */

/* Returns: (nullable): the first step that ACCOUNT needs its part for: a gang that waits for its
 * tickets, or the first step that waits for the account. */
static const FbPoolStep *
first_waiting (const FbPoolAccount *account)
{
  const FbPoolStep *earmarked = fb_pool_earmarks_first (account->earmarked);
  if (earmarked != NULL || g_sequence_is_empty (account->held))
    return earmarked;
  return g_sequence_get (g_sequence_get_begin_iter (account->held));
}

/* TRUE when STEP, or its smallest part that can start alone, fits into the room that the workers of
 * the pool have together. */
static gboolean
fits_free_capacity (const FbPool *self, const FbPoolStep *step)
{
  const FbAmounts demand = demand_of (step->spec);
  for (guint i = 0; i < FB_AMOUNTS_N; i++)
    {
      int64_t needed = fb_amounts_get (&demand, i) * unit_of (step);
      if (needed > 0 && needed > fb_amounts_get (&self->free_capacity, i))
        return FALSE;
    }
  return TRUE;
}

/* TRUE when ACCOUNT has a part for more than it can start, because the pool lacks room. */
static gboolean
lacks_room (const FbPool *self, const FbPoolAccount *account)
{
  const uint64_t now_ms = self->last_maintenance_ms;
  return account->no_room_since_ms != 0 && now_ms >= account->no_room_since_ms + NO_ROOM_MS
         && now_ms <= account->no_room_ms + NO_ROOM_VALID_MS;
}

/* Returns: what ACCOUNT would use if the first of its waiting steps had started, for a gang all of
 * its tasks, otherwise one.  While the pool lacks room, this is the first step that fits.
 *
 * For pools that are full while another pool of the account waits: with two pools, one of which had
 * room for fewer gangs than the account, the other one waited at its part for up to 1.9 s while the
 * cap had room, which the first one held for its next gang. */
static FbAmounts
needed_by (const FbPool *self, const FbPoolAccount *account)
{
  FbAmounts needed = taken_by (account);
  gboolean any = !lacks_room (self, account);
  const FbPoolStep *first = first_waiting (account);
  if (first != NULL && first->held_at == NULL && (any || fits_free_capacity (self, first)))
    {
      const FbAmounts demand = demand_of (first->spec);
      fb_amounts_add (&needed, &demand, unit_of (first));
      return needed;
    }
  GSequenceIter *at = g_sequence_get_begin_iter (account->held);
  for (guint i = 0; i < LOOKAHEAD_N && !g_sequence_iter_is_end (at); i++)
    {
      const FbPoolStep *step = g_sequence_get (at);
      if (any || fits_free_capacity (self, step))
        {
          const FbAmounts demand = demand_of (step->spec);
          fb_amounts_add (&needed, &demand, unit_of (step));
          break;
        }
      at = g_sequence_iter_next (at);
    }
  return needed;
}

/* Adds up what the first waiting steps of ACCOUNT need.  This takes a pass over their tasks, which
 * took 3.3 ms each 20 ms for 120 accounts of 40 waiting steps, so it is done only when something
 * has changed. */
static void
update_demand (const FbPool *self, FbPoolAccount *account)
{
  if (!account->demand_due && self->last_maintenance_ms < account->demand_ms + DEMAND_VALID_MS)
    return;
  account->demand_due = FALSE;
  account->demand_ms = self->last_maintenance_ms;
  account->demand = fb_pool_earmarks_total (account->earmarked);
  GSequenceIter *at = g_sequence_get_begin_iter (account->held);
  for (guint i = 0; i < LOOKAHEAD_N && !g_sequence_iter_is_end (at); i++)
    {
      const FbPoolStep *step = g_sequence_get (at);
      const FbAmounts demand = demand_of (step->spec);
      fb_amounts_add (&account->demand, &demand, fb_pool_step_pending_n (step));
      at = g_sequence_iter_next (at);
    }
}

/* Returns: what ACCOUNT would use if its first waiting steps had all started, or as many of them as
 * the pool has room for, but at least NEEDED. */
static FbAmounts
wanted_by (const FbPool *self, FbPoolAccount *account, const FbAmounts *needed)
{
  update_demand (self, account);
  double fraction = 1;
  for (guint i = 0; i < FB_AMOUNTS_N; i++)
    {
      int64_t demand = fb_amounts_get (&account->demand, i);
      int64_t room = MAX (fb_amounts_get (&self->free_capacity, i), 0);
      if (demand > room)
        fraction = MIN (fraction, (double) room / (double) demand);
    }
  FbAmounts wanted = taken_by (account);
  for (guint i = 0; i < FB_AMOUNTS_N; i++)
    *fb_amounts_at (&wanted, i)
        += (int64_t) (fraction * (double) fb_amounts_get (&account->demand, i));
  return fb_amounts_max (&wanted, needed);
}

void
fb_pool_foreach_account (const FbPool *self, FbPoolAccountFunc func, gpointer user)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      FbPoolAccount *account = value;
      const FbAmounts needed = needed_by (self, account);
      const FbPoolAccountUsage usage = { .name = account->name,
                                         .cap = account->cap,
                                         .taken = taken_by (account),
                                         .needed = needed,
                                         .wanted = wanted_by (self, account, &needed),
                                         .waits = first_waiting (account) != NULL };
      func (user, &usage);
    }
}

gboolean
fb_pool_usage_is_known (const FbPool *self)
{
  return fb_pool_may_place (self)
         || (self->workers_complete && g_hash_table_size (self->workers) == 0);
}

void
fb_pool_set_account_part (FbPool *self, const char *name, const FbAmounts *part)
{
  FbPoolAccount *account = fb_pool_account_get (self, name);
  gboolean changed = !fb_amounts_equal (&account->part, part);
  account->part = *part;
  account->release_due = account->release_due || changed;
  self->round_due = self->round_due || (changed && !g_sequence_is_empty (account->held));
}

const FbAmounts *
fb_pool_account_cap (const FbPoolAccount *account)
{
  return &account->cap;
}

void
fb_pool_accounts_foreach_held (const FbPool *self, guint max_n, FbPoolHeldStepFunc func,
                               gpointer user)
{
  guint of_account_n = max_n / MAX (g_hash_table_size (self->accounts), 1);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const FbPoolAccount *account = value;
      GSequenceIter *at = g_sequence_get_begin_iter (account->held);
      for (guint i = 0; i < of_account_n && !g_sequence_iter_is_end (at); i++)
        {
          func (user, account->name, g_sequence_get (at));
          at = g_sequence_iter_next (at);
        }
    }
}
