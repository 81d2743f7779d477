/* Client accounts in a pool: what runs for each, and the steps that wait because their account may
 * run no more.  Only for the pool's source files.
 *
 * A run counts from its order until it has certainly ended, so what an account uses is never less
 * than what workers run for it.  Steps that wait for their account are not in the queue of the
 * pool, so that they cost a placement round nothing and delay no other account. */
#pragma once

#include "internal/pool-private.h"

/* How much of the pool an account may use while others wait: see account-shares.c. */
typedef struct
{
  uint32_t weight;  /* as configured; 0: the account takes no part */
  double share;     /* its weight as a fraction of those that use or wait for something here */
  double usage;     /* dominant share of the pool that its runs hold, averaged with a decay */
  gboolean is_over; /* USAGE exceeds SHARE clearly */
  gboolean waits;   /* scratch of an update: a step of it waits for room */
} FbAccountShare;

/* pool-account.c */

GHashTable *fb_pool_accounts_new (void);
/* Returns: the account NAME, borrowed; created when there is none.  NULL for "" or NULL. */
FbPoolAccount *fb_pool_account_get (FbPool *self, const char *name);
/* Returns: borrowed. */
FbAccountShare *fb_pool_account_share (FbPoolAccount *account);
/* Returns: what the runs of ACCOUNT use, borrowed. */
const FbAmounts *fb_pool_account_used (const FbPoolAccount *account);
/* Returns: the cap of ACCOUNT, over all pools. */
const FbAmounts *fb_pool_account_cap (const FbPoolAccount *account);
/* TRUE when steps wait because ACCOUNT may run no more. */
gboolean fb_pool_account_holds_steps (const FbPoolAccount *account);
/* Returns: what a task of SPEC needs. */
FbAmounts fb_pool_demand_of (const fb_work_step *spec);
/* Returns: the number of tasks of STEP that have to start together. */
guint fb_pool_unit_of (const FbPoolStep *step);
/* Returns: what the tasks of STEP that have to start together need. */
FbAmounts fb_pool_unit_demand (const FbPoolStep *step);
/* Adds (SIGN 1) or subtracts (-1) what a task of SPEC uses; ACCOUNT: nullable. */
void fb_pool_account_charge (FbPoolAccount *account, const fb_work_step *spec, int sign);
/* Counts a job that was accepted at ACCEPTED_MS, since 1970; ACCOUNT: nullable.  Returns: FALSE
 * when the account has sent more jobs than its weight within that second. */
gboolean fb_pool_account_count_job (FbPoolAccount *account, uint64_t accepted_ms);
/* TRUE when one more job of ACCOUNT (nullable) that is accepted at ACCEPTED_MS, since 1970, would
 * be beyond its rate.  The number of jobs of a second only grows, so that stays true. */
gboolean fb_pool_account_would_exceed_rate (const FbPoolAccount *account, uint64_t accepted_ms);
/* Returns: how many tasks of STEP, at most MAX_N, its account may start in addition. */
guint fb_pool_account_room_n (const FbPoolStep *step, guint max_n);
/* TRUE when the account of STEP may not start a task of it or, for a gang, not all of them. */
gboolean fb_pool_account_is_exhausted (const FbPoolStep *step);
/* TRUE when the account of STEP could start it if nothing else of the account ran. */
gboolean fb_pool_account_could_start (const FbPoolStep *step);

/* pool-account-held.c */

/* Takes STEP, whose account is exhausted, out of the queue until the account may run more. */
void fb_pool_account_hold (FbPool *self, FbPoolStep *step, uint64_t now_ms);
/* Puts the steps back into the queue that their accounts may start now. */
void fb_pool_accounts_release_held (FbPool *self, uint64_t now_ms);
/* STEP gets another key: moves it to its position if it waits for its account. */
void fb_pool_account_reorder_held (FbPool *self, FbPoolStep *step, uint64_t now_ms);
/* Computes the keys of a bounded number of waiting steps again and moves those whose key has
 * changed. */
void fb_pool_accounts_reorder_held (FbPool *self, uint64_t now_ms);
/* Removes the steps of JOB, which has ended, from those that wait. */
void fb_pool_account_drop_job (const FbPoolJob *job);

typedef gboolean (*FbPoolHeldFunc) (FbPoolStep *step, uint64_t now_ms);

/* Returns: (nullable): the first of the *POSITION first steps that wait for ACCOUNT for which FUNC
 * returns TRUE; its position is stored in POSITION. */
FbPoolStep *fb_pool_account_find_held (const FbPoolAccount *account, guint *position,
                                       FbPoolHeldFunc func, uint64_t now_ms);

typedef void (*FbPoolHeldStepFunc) (gpointer user, const char *account, const FbPoolStep *step);

/* Calls FUNC for the first waiting steps of each account, for at most MAX_N together. */
void fb_pool_accounts_foreach_held (const FbPool *self, guint max_n, FbPoolHeldStepFunc func,
                                    gpointer user);

/* pool-account-claim.c */

/* STEP was tried while its account may start more; FOUND: all of it was placed. */
void fb_pool_account_note_room (const FbPoolStep *step, gboolean found, uint64_t now_ms);

/* pool-account-unconfirmed.c */

/* Updates what may run for each account on workers that have not answered the new owner yet. */
void fb_pool_accounts_update_unconfirmed (FbPool *self, uint64_t now_ms);

/* pool-earmark.c: EARMARKS: of FbPoolStep, gangs of one account that wait for their tickets. */

/* STEP has returned to the queue; has no effect unless it is a gang that needs advice. */
void fb_pool_earmarks_add (GPtrArray *earmarks, FbPoolStep *step, uint64_t now_ms);
/* Returns: TRUE when STEP was earmarked. */
gboolean fb_pool_earmarks_drop (GPtrArray *earmarks, FbPoolStep *step);
/* Returns: TRUE when an earmark has ended. */
gboolean fb_pool_earmarks_drop_ended (GPtrArray *earmarks, uint64_t now_ms);
/* Returns: what is withheld from STEP for the first N gangs. */
FbAmounts fb_pool_earmarks_withheld (const GPtrArray *earmarks, guint n, const FbPoolStep *step);
/* Returns: (nullable): the first gang that still waits. */
const FbPoolStep *fb_pool_earmarks_first (const GPtrArray *earmarks);
/* Returns: what the gangs that still wait need together. */
FbAmounts fb_pool_earmarks_total (const GPtrArray *earmarks);

/* pool-held-advice.c */

/* Requests advice for steps that wait for their accounts. */
void fb_pool_held_advice_request (FbPool *self, uint64_t now_ms);

/* account-shares.c */

/* Updates the shares of all accounts, at most every 100 ms. */
void fb_pool_accounts_update_shares (FbPool *self, uint64_t now_ms);
/* TRUE when ACCOUNT (nullable) uses more than its share of the pool, so that its steps come after
 * those of other accounts with the same urgency and priority. */
gboolean fb_pool_account_is_over_share (const FbPoolAccount *account);
/* TRUE when STEP must not start now, because a gang waits for room whose account uses less of its
 * share. */
gboolean fb_pool_account_yields_to_gang (const FbPool *self, const FbPoolStep *step,
                                         uint64_t now_ms);
/* Updates the usage and the flag of SHARE; its weight and share are set.  HELD: dominant share of
 * the pool that the account's runs hold now.  ELAPSED_MS: time since the last update. */
void fb_account_share_update (FbAccountShare *share, double held, uint64_t elapsed_ms);
