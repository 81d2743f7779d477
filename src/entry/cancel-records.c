#include "cancel-records.h"

#include "entry-private.h"

#include <string.h>
#include <xxhash.h>

char *
fb_cancel_key (const char *job)
{
  return g_strdup_printf ("%c%s", FB_KEY_CANCEL, job);
}

char *
fb_cancel_account_key (const char *job, const char *account)
{
  if (*account == '\0')
    return NULL;
  return g_strdup_printf ("%c%s.%016" G_GINT64_MODIFIER "x", FB_KEY_CANCEL, job,
                          (guint64) XXH64 (account, strlen (account), 0));
}

char *
fb_cancel_account (GBytes *cancel)
{
  gsize len = 0;
  const char *text = g_bytes_get_data (cancel, &len);
  gsize prefix_len = MIN (len, strlen (FB_CANCEL_PREFIX));
  return g_strndup (text + prefix_len, len - prefix_len);
}

void
fb_caller_record_encode (GByteArray *records, const char *key, GBytes *value)
{
  fb_wire_encode_record (records, key, value);
  if (key[0] != FB_KEY_CANCEL)
    return;
  g_autofree char *account = fb_cancel_account (value);
  g_autofree char *account_key = fb_cancel_account_key (key + 1, account);
  if (account_key != NULL)
    fb_wire_encode_record (records, account_key, value);
}
