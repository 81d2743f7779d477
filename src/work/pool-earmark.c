/* What an account leaves for gangs that it may start and that wait for their tickets.
 *
 * A gang that returns from the steps that wait for its account (pool-account-held.c) needs valid
 * tickets first, which takes most of a second.  Without the earmark, single tasks that are held
 * behind it were given its amounts meanwhile, so it was held again.  The earmark ends after the
 * time of one request, because a gang that finds no free workers with its tickets would leave its
 * account's part idle for as long as it waits. */
#include "internal/pool-account.h"

void
fb_pool_earmarks_add (GPtrArray *earmarks, FbPoolStep *step, uint64_t now_ms)
{
  if (!step->spec->gang || !step->job->record.policy.advised)
    return;
  if (step->earmarked_until_ms == 0)
    g_ptr_array_add (earmarks, step);
  step->earmarked_until_ms = now_ms + fb_pool_advice_wait_ms (step);
}

gboolean
fb_pool_earmarks_drop (GPtrArray *earmarks, FbPoolStep *step)
{
  if (step->earmarked_until_ms == 0)
    return FALSE;
  step->earmarked_until_ms = 0;
  g_ptr_array_remove (earmarks, step);
  return TRUE;
}

gboolean
fb_pool_earmarks_drop_ended (GPtrArray *earmarks, uint64_t now_ms)
{
  gboolean dropped = FALSE;
  for (guint i = earmarks->len; i > 0; i--)
    {
      FbPoolStep *step = earmarks->pdata[i - 1];
      if (now_ms >= step->earmarked_until_ms || step->held_at != NULL
          || !fb_pool_step_is_pending (step))
        dropped |= fb_pool_earmarks_drop (earmarks, step);
    }
  return dropped;
}

/* Only single tasks that come after a gang in the queue are smaller steps behind it.  Other gangs
 * need their own tickets, and several that wait at the same time use the account's part better than
 * one after the other: with earmarks against them, gangs of an account at its cap started 1 to
 * 1.6 s later on average in tests/test-gang-advice.c. */
FbAmounts
fb_pool_earmarks_withheld (const GPtrArray *earmarks, guint n, const FbPoolStep *step)
{
  FbAmounts withheld = { 0 };
  for (guint i = 0; !step->spec->gang && i < n; i++)
    {
      const FbAmounts demand = fb_pool_unit_demand (earmarks->pdata[i]);
      if (fb_pool_queue_compare (earmarks->pdata[i], step) < 0)
        fb_amounts_add (&withheld, &demand, 1);
    }
  return withheld;
}

const FbPoolStep *
fb_pool_earmarks_first (const GPtrArray *earmarks)
{
  for (guint i = 0; i < earmarks->len; i++)
    {
      if (fb_pool_step_is_pending (earmarks->pdata[i]))
        return earmarks->pdata[i];
    }
  return NULL;
}

FbAmounts
fb_pool_earmarks_total (const GPtrArray *earmarks)
{
  FbAmounts total = { 0 };
  for (guint i = 0; i < earmarks->len; i++)
    {
      const FbAmounts demand = fb_pool_unit_demand (earmarks->pdata[i]);
      if (fb_pool_step_is_pending (earmarks->pdata[i]))
        fb_amounts_add (&total, &demand, 1);
    }
  return total;
}
