#include "accounts.h"

#include "fb-status.h"
#include "rpc/work.h"

#include <sodium.h>
#include <string.h>

#define DIGEST_BYTES 32

struct _FbAccounts
{
  guint8 secret[crypto_generichash_KEYBYTES];
  GHashTable *by_name; /* name -> FbAccount */
  GHashTable *by_key;  /* digest -> FbAccount, borrowed */
};

static void
account_free (gpointer data)
{
  FbAccount *account = data;
  g_free (account->name);
  g_free (account);
}

static guint
digest_hash (gconstpointer digest)
{
  guint hash;
  memcpy (&hash, digest, sizeof hash);
  return hash;
}

static gboolean
digest_equal (gconstpointer a, gconstpointer b)
{
  return sodium_memcmp (a, b, DIGEST_BYTES) == 0;
}

static void
digest_key (const FbAccounts *self, const char *key, gsize len, guint8 *digest)
{
  crypto_generichash (digest, DIGEST_BYTES, (const guint8 *) key, len, self->secret,
                      sizeof self->secret);
}

FbAccounts *
fb_accounts_new (void)
{
  FbAccounts *self = g_new0 (FbAccounts, 1);
  crypto_generichash_keygen (self->secret);
  self->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, account_free);
  self->by_key = g_hash_table_new_full (digest_hash, digest_equal, g_free, NULL);
  return self;
}

void
fb_accounts_free (FbAccounts *self)
{
  if (self == NULL)
    return;
  sodium_memzero (self->secret, sizeof self->secret);
  g_hash_table_unref (self->by_key);
  g_hash_table_unref (self->by_name);
  g_free (self);
}

gboolean
fb_accounts_add (FbAccounts *self, FbAccount *account)
{
  gsize len = strlen (account->name);
  if (len > 0 && len <= FB_WORK_MAX_ACCOUNT
      && !g_hash_table_contains (self->by_name, account->name))
    {
      g_hash_table_insert (self->by_name, account->name, account);
      return TRUE;
    }
  if (len == 0)
    fb_status_set_message ("an account has no name");
  else if (len > FB_WORK_MAX_ACCOUNT)
    fb_status_set_message ("the name of an account has %u bytes, expected at most %d", (guint) len,
                           FB_WORK_MAX_ACCOUNT);
  else
    fb_status_set_message ("account %s: listed twice", account->name);
  account_free (account);
  return FALSE;
}

gboolean
fb_accounts_add_key (FbAccounts *self, const FbAccount *account, const char *key)
{
  gsize len = strlen (key);
  if (len == 0 || len > FB_ACCOUNT_KEY_MAX_BYTES)
    {
      fb_status_set_message ("account %s: a key has %u bytes, expected 1 to %d", account->name,
                             (guint) len, FB_ACCOUNT_KEY_MAX_BYTES);
      return FALSE;
    }
  guint8 *digest = g_malloc (DIGEST_BYTES);
  digest_key (self, key, len, digest);
  const FbAccount *other = g_hash_table_lookup (self->by_key, digest);
  if (other != NULL)
    {
      fb_status_set_message ("account %s: a key is also a key of account %s", account->name,
                             other->name);
      g_free (digest);
      return FALSE;
    }
  g_hash_table_insert (self->by_key, digest, (gpointer) account);
  return TRUE;
}

const FbAccount *
fb_accounts_find (const FbAccounts *self, const char *key)
{
  gsize len = strlen (key);
  if (len == 0 || len > FB_ACCOUNT_KEY_MAX_BYTES)
    return NULL;
  guint8 digest[DIGEST_BYTES];
  digest_key (self, key, len, digest);
  return g_hash_table_lookup (self->by_key, digest);
}

GHashTable *
fb_accounts_by_name (const FbAccounts *self)
{
  return self->by_name;
}

guint
fb_accounts_keys_n (const FbAccounts *self)
{
  return g_hash_table_size (self->by_key);
}
