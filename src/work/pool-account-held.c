/* Steps that wait because their account may run no more. */
#include "internal/pool-account-private.h"
#include "internal/pool-order.h"

#include "fb-event.h"

/* Steps whose keys are computed again in one update of all accounts' waiting steps, for each
 * account at least MIN_SCANNED_N. All 5,000 steps of one account take ten updates, that is 1 s, and
 * one update at most 0.5 ms of CPU time, if all steps are moved. Steps at the head, which are next
 * to start, are checked whenever they are tried. */
#define SCANNED_N 500
#define MIN_SCANNED_N 8
/* Steps that are moved when the head of an account's steps is tried; the next round goes on. */
#define MOVED_N 128
/* Minimum interval between two log lines about steps that wait for one account. */
#define LOG_INTERVAL_MS 1000

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
  const FbPoolOrderKey key = fb_pool_order_key (self, step, now_ms);
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
  FbAmounts taken = fb_pool_account_taken (account);
  guint earmarked_n = account->earmarked->len; /* those added below are counted in TAKEN */
  GSequenceIter *at = g_sequence_get_begin_iter (account->held);
  guint moved_n = 0;
  for (guint i = 0;
       i < FB_POOL_ACCOUNT_LOOKAHEAD_N && moved_n < MOVED_N && !g_sequence_iter_is_end (at); i++)
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
      guint unit = fb_pool_unit_of (step);
      guint pending_n = fb_pool_step_is_pending (step) ? fb_pool_step_pending_n (step) : 0;
      FbAmounts claimed = fb_pool_earmarks_withheld (account->earmarked, earmarked_n, step);
      fb_amounts_add (&claimed, &taken, 1);
      guint n = fb_pool_account_room_for (account, &claimed, step->spec, MAX (pending_n, unit));
      if (pending_n > 0 && n < unit)
        continue;
      remove_held (step);
      if (pending_n == 0)
        continue;
      fb_pool_queue_add (self, step);
      fb_pool_earmarks_add (account->earmarked, step, now_ms);
      const FbAmounts demand = fb_pool_demand_of (step->spec);
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
