/* What accounts use in a pool, and what they claim of their caps for steps that wait. */
#include "internal/pool-account-private.h"

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
  const FbAmounts demand = fb_pool_unit_demand (step);
  for (guint i = 0; i < FB_AMOUNTS_N; i++)
    {
      int64_t needed = fb_amounts_get (&demand, i);
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

/* Returns: (nullable): the first waiting step of ACCOUNT; while the pool lacks room, the first one
 * that fits. */
static const FbPoolStep *
first_startable (const FbPool *self, const FbPoolAccount *account)
{
  gboolean any = !lacks_room (self, account);
  const FbPoolStep *first = first_waiting (account);
  if (first != NULL && first->held_at == NULL && (any || fits_free_capacity (self, first)))
    return first;
  GSequenceIter *at = g_sequence_get_begin_iter (account->held);
  for (guint i = 0; i < FB_POOL_ACCOUNT_LOOKAHEAD_N && !g_sequence_iter_is_end (at); i++)
    {
      const FbPoolStep *step = g_sequence_get (at);
      if (any || fits_free_capacity (self, step))
        return step;
      at = g_sequence_iter_next (at);
    }
  return NULL;
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
  FbAmounts needed = fb_pool_account_taken (account);
  const FbPoolStep *step = first_startable (self, account);
  if (step != NULL)
    {
      const FbAmounts demand = fb_pool_unit_demand (step);
      fb_amounts_add (&needed, &demand, 1);
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
  for (guint i = 0; i < FB_POOL_ACCOUNT_LOOKAHEAD_N && !g_sequence_iter_is_end (at); i++)
    {
      const FbPoolStep *step = g_sequence_get (at);
      const FbAmounts demand = fb_pool_demand_of (step->spec);
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
  FbAmounts wanted = fb_pool_account_taken (account);
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
                                         .taken = fb_pool_account_taken (account),
                                         .needed = needed,
                                         .wanted = wanted_by (self, account, &needed),
                                         .waits = first_waiting (account) != NULL };
      func (user, &usage);
    }
}
