/* Values that are larger than a record of the store may be are stored in several records.
 *
 * The first part has the key of the value, the others have keys of their own.  All parts of a value
 * are stored by one append, so they belong together; each has the hash of the whole value, so that
 * parts of two values are never combined.  A value that fits into one record is stored unchanged.
 */
#pragma once

#include "fb-types.h"

/* Appends the records that store VALUE under KEY to BODY.  VALUE: NULL deletes KEY.  MAX_BYTES:
 * size of the largest record.  PREVIOUS_N: number of parts in which KEY may be stored now; parts
 * beyond the new ones are deleted.  Returns: the number of parts. */
guint fb_record_parts_encode (GByteArray *body, const char *key, GBytes *value, guint previous_n,
                              gsize max_bytes);
/* Returns: TRUE when KEY is that of a further part; then *VALUE_KEY (transfer full) is the key of
 * its value and *N the number of parts up to it. */
gboolean fb_record_parts_parse_key (const char *key, char **value_key, guint *n);
/* Returns: (transfer full) (nullable): the value stored under KEY; NULL when a part is missing or
 * belongs to another value.  RECORDS: key -> GBytes. */
GBytes *fb_record_parts_join (GHashTable *records, const char *key);
