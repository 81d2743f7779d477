/* Client accounts in a pool: what runs for each, and the steps that wait because their account may
 * run no more.  Only for the pool's source files.
 *
 * A run counts from its order until it has certainly ended, so what an account uses is never less
 * than what workers run for it.  Steps that wait for their account are not in the queue of the
 * pool, so that they cost a placement round nothing and delay no other account. */
#pragma once

#include "internal/pool-private.h"

GHashTable *fb_pool_accounts_new (void);
/* Returns: the account NAME, borrowed; created when there is none.  NULL for "" or NULL. */
FbPoolAccount *fb_pool_account_get (FbPool *self, const char *name);
/* Adds (SIGN 1) or subtracts (-1) what a task of SPEC uses; ACCOUNT: nullable. */
void fb_pool_account_charge (FbPoolAccount *account, const fb_work_step *spec, int sign);
/* Counts a job that was accepted at ACCEPTED_MS, since 1970; ACCOUNT: nullable.  Returns: FALSE
 * when the account has sent more jobs than its weight within that second. */
gboolean fb_pool_account_count_job (FbPoolAccount *account, uint64_t accepted_ms);
/* Returns: how many tasks of STEP, at most MAX_N, its account may start in addition. */
guint fb_pool_account_room_n (const FbPoolStep *step, guint max_n);
/* TRUE when the account of STEP may not start a task of it or, for a gang, not all of them. */
gboolean fb_pool_account_is_exhausted (const FbPoolStep *step);
/* Takes STEP, whose account is exhausted, out of the queue until the account may run more. */
void fb_pool_account_hold (FbPool *self, FbPoolStep *step, uint64_t now_ms);
/* STEP was tried while its account may start more; FOUND: all of it was placed. */
void fb_pool_account_note_room (const FbPoolStep *step, gboolean found, uint64_t now_ms);
/* Puts the steps back into the queue that their accounts may start now. */
void fb_pool_accounts_release_held (FbPool *self, uint64_t now_ms);
/* STEP gets another key: moves it to its position if it waits for its account. */
void fb_pool_account_reorder_held (FbPool *self, FbPoolStep *step, uint64_t now_ms);
/* Computes the keys of a bounded number of waiting steps again and moves those whose key has
 * changed. */
void fb_pool_accounts_reorder_held (FbPool *self, uint64_t now_ms);
/* Removes the steps of JOB, which has ended, from those that wait. */
void fb_pool_account_drop_job (const FbPoolJob *job);
/* Updates what may run for each account on workers that have not answered the new owner yet. */
void fb_pool_accounts_update_unconfirmed (FbPool *self, uint64_t now_ms);
/* Calls FUNC for the first waiting steps of each account, for at most MAX_N together. */
typedef void (*FbPoolHeldFunc) (gpointer user, const char *account, const FbPoolStep *step);
void fb_pool_accounts_foreach_held (const FbPool *self, guint max_n, FbPoolHeldFunc func,
                                    gpointer user);
/* Returns: the cap of ACCOUNT, over all pools. */
const FbAmounts *fb_pool_account_cap (const FbPoolAccount *account);
/* TRUE when one more job of ACCOUNT (nullable) that is accepted at ACCEPTED_MS, since 1970, would
 * be beyond its rate.  The number of jobs of a second only grows, so that stays true. */
gboolean fb_pool_account_would_exceed_rate (const FbPoolAccount *account, uint64_t accepted_ms);
