#include "internal/pool-account-private.h"

/* Number of seconds for which an account's jobs are counted; then the count begins again. */
#define COUNTED_SECONDS_MAX 600

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

FbAmounts
fb_pool_demand_of (const fb_work_step *spec)
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

guint
fb_pool_account_room_for (const FbPoolAccount *account, const FbAmounts *taken,
                          const fb_work_step *spec, guint max_n)
{
  int64_t n
      = fit_n (account->cap.cpu_milli, account->part.cpu_milli, taken->cpu_milli, spec->cpu_milli);
  n = MIN (n, fit_n (account->cap.mem_mb, account->part.mem_mb, taken->mem_mb, spec->mem_mb));
  n = MIN (n, fit_n (account->cap.gpu_count, account->part.gpu_count, taken->gpu_count,
                     spec->gpu_count));
  return (guint) MIN (n, max_n);
}

FbAmounts
fb_pool_account_taken (const FbPoolAccount *account)
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
  const FbAmounts taken = fb_pool_account_taken (account);
  return fb_pool_account_room_for (account, &taken, step->spec, max_n);
}

guint
fb_pool_unit_of (const FbPoolStep *step)
{
  return step->spec->gang ? step->spec->count : 1;
}

FbAmounts
fb_pool_unit_demand (const FbPoolStep *step)
{
  const FbAmounts demand = fb_pool_demand_of (step->spec);
  FbAmounts total = { 0 };
  fb_amounts_add (&total, &demand, fb_pool_unit_of (step));
  return total;
}

gboolean
fb_pool_account_is_exhausted (const FbPoolStep *step)
{
  guint unit = fb_pool_unit_of (step);
  return fb_pool_account_room_n (step, unit) < unit;
}

gboolean
fb_pool_account_could_start (const FbPoolStep *step)
{
  const FbAmounts nothing = { 0 };
  guint unit = fb_pool_unit_of (step);
  return fb_pool_account_room_for (step->job->account, &nothing, step->spec, unit) == unit;
}

void
fb_pool_account_charge (FbPoolAccount *account, const fb_work_step *spec, int sign)
{
  if (account == NULL)
    return;
  const FbAmounts demand = fb_pool_demand_of (spec);
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
