#include "listing-cursor.h"

#include <string.h>

#define KEY_MAX_BYTES 255
/* U+10FFFF, the highest character, in UTF-8. */
#define HIGHEST_CHARACTER "\xf4\x8f\xbf\xbf"

void
fb_listing_cursor_reset (FbListingCursor *self)
{
  g_clear_pointer (&self->after, g_free);
  g_clear_pointer (&self->inexact_prefix, g_free);
}

/* Returns: (nullable): the last key in RECORDS. */
static const char *
last_key (const GPtrArray *records)
{
  for (guint i = records->len; i > 0; i--)
    {
      const FbStoreRecord *record = records->pdata[i - 1];
      if (record->key != NULL)
        return record->key;
    }
  return NULL;
}

/* AFTER (transfer full).  Returns: FALSE when the next page would begin where the last one did. */
static gboolean
move_after (FbListingCursor *self, char *after)
{
  gboolean moved = g_strcmp0 (after, self->after) != 0;
  g_free (self->after);
  self->after = after;
  return moved;
}

/* Returns: (transfer full): PREFIX, followed by as many LAST as a key may contain. */
static char *
last_key_with_prefix (const char *prefix, const char *last)
{
  GString *key = g_string_new (prefix);
  while (key->len + strlen (last) <= KEY_MAX_BYTES)
    g_string_append (key, last);
  return g_string_free (key, FALSE);
}

/* Moves beyond SHOWN_KEY, whose stored form is known only up to REPLACED; the byte there is above
 * 127.  All keys that continue with an ASCII character there are before it, so a cursor at
 * the end of the prefix passes none of them by.  A store that reads the cursor as UTF-8 may replace
 * the bytes 0xff in it, so the second cursor is valid text. */
static gboolean
move_beyond_prefix (FbListingCursor *self, const char *shown_key, const char *replaced)
{
  g_autofree char *prefix = g_strndup (shown_key, (gsize) (replaced - shown_key));
  gboolean is_second = g_strcmp0 (prefix, self->inexact_prefix) == 0;
  g_free (self->inexact_prefix);
  self->inexact_prefix = g_strdup (prefix);
  return move_after (self, last_key_with_prefix (prefix, is_second ? HIGHEST_CHARACTER : "\xff"));
}

gboolean
fb_listing_cursor_advance (FbListingCursor *self, const GPtrArray *records)
{
  const char *key = last_key (records);
  if (key == NULL && records->len > 0)
    {
      const FbStoreRecord *record = records->pdata[records->len - 1];
      key = record->shown_key;
    }
  if (key == NULL || *key == '\0')
    return FALSE;
  const char *replaced = fb_wire_replaced_part (key);
  if (replaced != NULL)
    return move_beyond_prefix (self, key, replaced);
  g_clear_pointer (&self->inexact_prefix, g_free);
  return move_after (self, g_strdup (key));
}
