#include "record-parts.h"

#include "platform/wire.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define PART_KEY_PREFIX "part."
/* First word of a part.  No encoded value begins with it, and daemons of earlier versions take a
 * part for a malformed record and skip it. */
#define PART_MAGIC 0xfb706172u
/* A length that no decoder accepts, at the place where earlier versions expect a number of rows. */
#define PART_GUARD 0xffffffffu
#define HASH_SEED 2
/* Length of a record and of its key, which the store counts as part of it. */
#define RECORD_OVERHEAD_BYTES 8

/* Encoded in big-endian words, like XDR. */
typedef struct
{
  uint32_t magic;
  uint32_t hash_high;
  uint32_t hash_low;
  uint32_t guard;
  uint32_t parts_n;
  uint32_t index;
} PartHeader;

static char *
part_key (const char *key, guint index)
{
  return index == 0 ? g_strdup (key) : g_strdup_printf (PART_KEY_PREFIX "%u.%s", index, key);
}

gboolean
fb_record_parts_parse_key (const char *key, char **value_key, guint *n)
{
  if (!g_str_has_prefix (key, PART_KEY_PREFIX))
    return FALSE;
  char *end = NULL;
  unsigned long index = strtoul (key + strlen (PART_KEY_PREFIX), &end, 10);
  if (index == 0 || index >= G_MAXUINT16 || *end != '.')
    return FALSE;
  *value_key = g_strdup (end + 1);
  *n = (guint) index + 1;
  return TRUE;
}

/* Returns: the header of the first part. */
static PartHeader
header_of (GBytes *value, guint parts_n)
{
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (value, &len);
  uint64_t hash = XXH64 (data, len, HASH_SEED);
  return (PartHeader){ .magic = GUINT32_TO_BE (PART_MAGIC),
                       .hash_high = GUINT32_TO_BE ((uint32_t) (hash >> 32)),
                       .hash_low = GUINT32_TO_BE ((uint32_t) hash),
                       .guard = GUINT32_TO_BE (PART_GUARD),
                       .parts_n = GUINT32_TO_BE (parts_n) };
}

/* Returns: FALSE when RECORD is not a part. */
static gboolean
read_header (GBytes *record, PartHeader *header)
{
  gsize len = 0;
  const void *data = g_bytes_get_data (record, &len);
  if (len < sizeof *header)
    return FALSE;
  memcpy (header, data, sizeof *header);
  return header->magic == GUINT32_TO_BE (PART_MAGIC);
}

static void
encode_part (GByteArray *body, const char *key, GBytes *value, gsize from, gsize len,
             const PartHeader *header)
{
  g_autofree char *name = part_key (key, GUINT32_FROM_BE (header->index));
  const guint8 *data = g_bytes_get_data (value, NULL);
  GByteArray *part = g_byte_array_sized_new ((guint) (sizeof *header + len));
  g_byte_array_append (part, (const guint8 *) header, sizeof *header);
  g_byte_array_append (part, data + from, (guint) len);
  g_autoptr (GBytes) record = g_byte_array_free_to_bytes (part);
  fb_wire_encode_record (body, name, record);
}

static guint
encode_parts (GByteArray *body, const char *key, GBytes *value, gsize max_bytes)
{
  const gsize len = g_bytes_get_size (value);
  const gsize overhead
      = RECORD_OVERHEAD_BYTES + strlen (PART_KEY_PREFIX) + strlen (key) + 6 + sizeof (PartHeader);
  g_assert (max_bytes > overhead);
  const gsize part_len = max_bytes - overhead;
  const guint parts_n = (guint) ((len + part_len - 1) / part_len);
  PartHeader header = header_of (value, parts_n);
  for (guint i = 0; i < parts_n; i++)
    {
      const gsize from = i * part_len;
      header.index = GUINT32_TO_BE (i);
      encode_part (body, key, value, from, MIN (part_len, len - from), &header);
    }
  return parts_n;
}

guint
fb_record_parts_encode (GByteArray *body, const char *key, GBytes *value, guint previous_n,
                        gsize max_bytes)
{
  guint n = 1;
  if (value == NULL || RECORD_OVERHEAD_BYTES + strlen (key) + g_bytes_get_size (value) <= max_bytes)
    fb_wire_encode_record (body, key, value);
  else
    n = encode_parts (body, key, value, max_bytes);
  for (guint i = n; i < previous_n; i++)
    {
      g_autofree char *name = part_key (key, i);
      fb_wire_encode_record (body, name, NULL);
    }
  return n;
}

static gboolean
is_same_value (const PartHeader *a, const PartHeader *b)
{
  return a->hash_high == b->hash_high && a->hash_low == b->hash_low && a->parts_n == b->parts_n;
}

GBytes *
fb_record_parts_join (GHashTable *records, const char *key)
{
  GBytes *first = g_hash_table_lookup (records, key);
  PartHeader header;
  if (first == NULL || !read_header (first, &header))
    return first != NULL ? g_bytes_ref (first) : NULL;
  GByteArray *value = g_byte_array_new ();
  for (guint i = 0; i < GUINT32_FROM_BE (header.parts_n); i++)
    {
      g_autofree char *name = part_key (key, i);
      GBytes *record = g_hash_table_lookup (records, name);
      PartHeader part;
      if (record == NULL || !read_header (record, &part) || !is_same_value (&part, &header)
          || GUINT32_FROM_BE (part.index) != i)
        break;
      gsize len = 0;
      const guint8 *data = g_bytes_get_data (record, &len);
      g_byte_array_append (value, data + sizeof part, (guint) (len - sizeof part));
    }
  g_autoptr (GBytes) joined = g_byte_array_free_to_bytes (value);
  const PartHeader expected = header_of (joined, GUINT32_FROM_BE (header.parts_n));
  return is_same_value (&expected, &header) ? g_steal_pointer (&joined) : NULL;
}
