/* Position in a listing of the newest record of each key, which is read in pages. */
#pragma once

#include "platform/wire.h"

typedef struct
{
  char *after;          /* key after which the next page begins; NULL: the first page */
  char *inexact_prefix; /* of the last page's keys, none of which could be used; NULL: one could */
} FbListingCursor;

/* Moves to the first page. */
void fb_listing_cursor_reset (FbListingCursor *self);
/* Moves to the page after the one that consists of RECORDS (of FbStoreRecord).
 * Returns: FALSE when no key is known that is beyond that page. */
gboolean fb_listing_cursor_advance (FbListingCursor *self, const GPtrArray *records);
