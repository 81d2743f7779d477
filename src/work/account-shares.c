/* Shares of the pool by the weights of client accounts.
 *
 * For loads in which several accounts wait for one pool, as when one of twenty sends 5.5 times its
 * usual: the steps of those that use more than their share come after those of the others with the
 * same urgency and priority.  Each pool decides from its own usage, so that no message and no other
 * daemon is needed; docs/design/accounts.md compares this with shares over all pools. */
#include "internal/pool-account.h"

#include <math.h>

/* Jobs that are owed have objectives of 0.25 to 3 s and up to 4 times their critical path, so a
 * shorter time would let an account that has just had a burst go first again while its callers
 * still wait for the jobs of others, and a longer one would make it pay after they have been
 * served. */
#define DECAY_MS 3000
/* Shares are updated at this interval: the pass over the queue costs as much as sorting it, which
 * each round does. */
#define UPDATE_INTERVAL_MS 100
/* An account counts as over its share from this many times its share on, until it uses less than
 * its share, so that the order does not change with each run that starts or ends. */
#define OVER_FROM 1.25
#define OVER_UNTIL 1.0
/* A gang has to wait for this long before others yield: most find room as runs of less than 0.6 s
 * end. */
#define GANG_PATIENCE_MS 300
/* Others yield for at most the first time, then not for the second: capacity that is freed
 * meanwhile is idle, and a gang that does not fit then has to wait for preemption.  Within the
 * first, two thirds of quick checks (0.56 s) and a quarter of batches (3.6 s) end. */
#define YIELD_MS 1000
#define YIELD_PAUSE_MS 3000

void
fb_account_share_update (FbAccountShare *share, double held, uint64_t elapsed_ms)
{
  share->usage += (held - share->usage) * (1 - exp (-(double) elapsed_ms / DECAY_MS));
  if (share->weight == 0 || share->usage < OVER_UNTIL * share->share)
    share->is_over = FALSE;
  else if (share->usage >= OVER_FROM * share->share)
    share->is_over = TRUE;
}

gboolean
fb_pool_account_is_over_share (const FbPoolAccount *account)
{
  return account != NULL && fb_pool_account_share ((FbPoolAccount *) account)->is_over;
}

/* ---- update ------------------------------------------------------------------------------- */

static void
mark_waiting (const GPtrArray *steps)
{
  for (guint i = 0; i < steps->len; i++)
    {
      const FbPoolStep *step = steps->pdata[i];
      if (step->job->account != NULL && step->held_at == NULL)
        fb_pool_account_share (step->job->account)->waits = TRUE;
    }
}

/* TRUE when ACCOUNT uses something here or waits for it. */
static gboolean
is_active (FbPoolAccount *account)
{
  static const FbAmounts none;
  return fb_pool_account_share (account)->waits || fb_pool_account_holds_steps (account)
         || !fb_amounts_equal (fb_pool_account_used (account), &none);
}

/* Returns: the sum of the weights of the accounts that use or wait for something. */
static uint64_t
sum_of_weights (const FbPool *self)
{
  uint64_t sum = 0;
  GHashTableIter iter;
  gpointer account;
  g_hash_table_iter_init (&iter, self->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &account))
    {
      if (is_active (account))
        sum += fb_pool_account_share (account)->weight;
    }
  return sum;
}

static void
update_account (const FbPool *self, FbPoolAccount *account, uint64_t weights, uint64_t elapsed_ms)
{
  FbAccountShare *share = fb_pool_account_share (account);
  if (share->weight == 0 || !is_active (account))
    {
      /* No credit and no debt accumulate while an account is idle. */
      *share = (FbAccountShare){ .weight = share->weight };
      return;
    }
  share->waits = FALSE;
  share->share = (double) share->weight / (double) weights;
  fb_account_share_update (
      share, fb_amounts_dominant_share (fb_pool_account_used (account), &self->capacity),
      elapsed_ms);
}

/* TRUE when STEP is a gang that has found no room, of an account that uses less than its share. */
static gboolean
is_waiting_gang (const FbPoolStep *step)
{
  if (!step->spec->gang || step->job->account == NULL || step->held_at != NULL
      || step->urgency != FB_URGENCY_NORMAL || step->last_failed_round == 0
      || !fb_pool_step_is_pending (step))
    return FALSE;
  const FbAccountShare *share = fb_pool_account_share (step->job->account);
  return share->weight > 0 && share->usage < share->share;
}

/* Notes since when the first waiting gang in the order of the queue waits. */
static void
find_waiting_gang (FbPool *self, uint64_t now_ms)
{
  for (guint i = 0; i < self->queue->len; i++)
    {
      const FbPoolStep *step = self->queue->pdata[i];
      if (!is_waiting_gang (step))
        continue;
      if (self->gang_waits_since_ms == 0)
        self->gang_waits_since_ms = now_ms;
      if (now_ms >= self->gang_waits_since_ms + GANG_PATIENCE_MS
          && (self->yield_began_ms == 0
              || now_ms >= self->yield_began_ms + YIELD_MS + YIELD_PAUSE_MS))
        self->yield_began_ms = now_ms;
      self->gang_priority = step->job->record.policy.priority;
      return;
    }
  self->gang_waits_since_ms = 0;
}

void
fb_pool_accounts_update_shares (FbPool *self, uint64_t now_ms)
{
  if (now_ms < self->shares_ms + UPDATE_INTERVAL_MS || g_hash_table_size (self->accounts) == 0)
    return;
  const uint64_t elapsed_ms = self->shares_ms != 0 ? now_ms - self->shares_ms : 0;
  self->shares_ms = now_ms;
  mark_waiting (self->queue);
  mark_waiting (self->unmerged);
  const uint64_t weights = sum_of_weights (self);
  GHashTableIter iter;
  gpointer account;
  g_hash_table_iter_init (&iter, self->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &account))
    update_account (self, account, weights, elapsed_ms);
  if (weights > 0)
    find_waiting_gang (self, now_ms);
  else
    self->gang_waits_since_ms = 0;
}

/* ---- gangs -------------------------------------------------------------------------------- */

/* Single tasks that start into all capacity that is freed would starve a gang, whatever the order.
 * So accounts that use more than their exact share start nothing of the same or a lower priority
 * for a while.  In a full pool there is always such an account while the gang's uses less than its
 * share. */
gboolean
fb_pool_account_yields_to_gang (const FbPool *self, const FbPoolStep *step, uint64_t now_ms)
{
  if (self->gang_waits_since_ms == 0 || self->yield_began_ms == 0
      || now_ms >= self->yield_began_ms + YIELD_MS || step->job->account == NULL
      || step->urgency == FB_URGENCY_RESTARTING
      || step->job->record.policy.priority < self->gang_priority)
    return FALSE;
  const FbAccountShare *share = fb_pool_account_share (step->job->account);
  return share->weight > 0 && share->usage > share->share;
}
