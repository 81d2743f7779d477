/* Requests advice for steps that wait for their account (pool-account-held.c).
 *
 * Which workers a step may use never changes, so it can be known when the account may start the
 * step; then only the tickets of the chosen workers are missing.  Eight of 40 gangs of a load test
 * had their first answer 9 to 18 s after they came, because nothing was requested for them while
 * they were held at the cap of their account. */
#include "internal/pool-account.h"
#include "internal/pool-advice-requests.h"

/* Number of steps of one account, in the order in which they wait, for which advice is requested.
 * Any of the first 32 may start next, the first one that fits into what is left of the cap.  With
 * four, 115 of 741 gangs of an account in a burst had their first answer after more than 5 s in
 * tests/test-gang-advice.c, with sixteen 7.  Each step needs its first advice once, so a larger
 * number makes no more requests, only earlier ones. */
#define STEPS_PER_ACCOUNT 16
/* Number of open requests for steps that wait for their accounts, over all accounts.  The longest
 * ones take 1.7 s, so this answers for up to four steps a second, the rate of the gangs, and keeps
 * at most a sixth of 44 daemons busy. */
#define MAX_OPEN 7
/* A request takes a pass over all workers, so one is sent at a time, at this interval. */
#define INTERVAL_MS 20

/* A step for which no worker could be requested is tried again after this time: a worker may have
 * been listed. */
#define RETRY_MS 1000

static gboolean
needs_advice (FbPoolStep *step, uint64_t now_ms)
{
  if (!step->job->record.policy.advised || step->has_advice || now_ms < step->retry_at_ms
      || !fb_pool_step_is_pending (step) || !fb_pool_account_could_start (step))
    return FALSE;
  fb_pool_advice_requests_expire (step, now_ms);
  return !fb_pool_advice_requests_are_sent (step);
}

/* Returns: (nullable): the first step that waits and needs advice: the first ones of all accounts
 * come before the second ones. */
static FbPoolStep *
next_step (const FbPool *self, uint64_t now_ms)
{
  FbPoolStep *first = NULL;
  guint position = STEPS_PER_ACCOUNT;
  GHashTableIter iter;
  gpointer account;
  g_hash_table_iter_init (&iter, self->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &account))
    {
      FbPoolStep *step = fb_pool_account_find_held (account, &position, needs_advice, now_ms);
      first = step != NULL ? step : first;
    }
  return first;
}

void
fb_pool_held_advice_request (FbPool *self, uint64_t now_ms)
{
  if (now_ms < self->held_advice_ms + INTERVAL_MS || self->held_requests_n >= MAX_OPEN)
    return;
  self->held_advice_ms = now_ms;
  FbPoolStep *step = next_step (self, now_ms);
  if (step == NULL || !fb_pool_request_first_advice (self, step, now_ms))
    return;
  if (!fb_pool_advice_requests_are_sent (step))
    step->retry_at_ms = now_ms + RETRY_MS;
}
