/* The client accounts of a configuration, and the keys by which their callers are recognized.
 *
 * Keys are not kept: only their digests under a secret of this process are.  A lookup takes the
 * same time whatever the number of keys, and the comparison of digests reveals nothing about how
 * much of a key matched. */
#pragma once

#include "internal/account.h"

typedef struct _FbAccounts FbAccounts;

/* Maximum length of a key in bytes. */
#define FB_ACCOUNT_KEY_MAX_BYTES 4096

FbAccounts *fb_accounts_new (void);
void fb_accounts_free (FbAccounts *self);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FbAccounts, fb_accounts_free)
/* Adds ACCOUNT (transfer full).  Returns: FALSE when there is an account of that name already or
 * the name is empty or too long; fb_status_message() is set and ACCOUNT is freed. */
gboolean fb_accounts_add (FbAccounts *self, FbAccount *account);
/* Adds a key of ACCOUNT, which was added before.  Returns: FALSE when the key is empty, too long or
 * the key of an account already; fb_status_message() is set and does not contain the key. */
gboolean fb_accounts_add_key (FbAccounts *self, const FbAccount *account, const char *key);
/* Returns: (nullable): the account that KEY belongs to, borrowed. */
const FbAccount *fb_accounts_find (const FbAccounts *self, const char *key);
/* Returns: name -> FbAccount, borrowed. */
GHashTable *fb_accounts_by_name (const FbAccounts *self);
guint fb_accounts_keys_n (const FbAccounts *self);
