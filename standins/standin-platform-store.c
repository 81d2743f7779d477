/* Partitions of the store: appends, reads from an offset, and the newest record of each key. */
#include "standin-platform.h"

#include <string.h>

#define OCTET_STREAM "application/octet-stream"
/* A page ends at whichever limit is reached first. */
#define MAX_PAGE_ROWS 500
#define MAX_PAGE_BYTES 1000000
/* Limits of the store on the size of a record and on that of an append. */
#define RECORD_MAX_BYTES 262144
#define APPEND_MAX_BYTES 2097152
/* Cached responses per partition: a repeat of one of the last 5 appends gets the first response
 * again. */
#define MAX_CACHED_ANSWERS 5

typedef struct
{
  GPtrArray *records; /* of GBytes: key length (1 byte), key, value */
  GTree
      *newest; /* key -> offset of its newest record, except for keys whose newest value is empty */
  guint64 epoch;                     /* highest epoch of all producers that have appended */
  guint64 sequence;                  /* of the last append in this epoch */
  guint appends_n;                   /* appends of a producer in this epoch */
  char *answers[MAX_CACHED_ANSWERS]; /* to the last appends, by their number modulo
                                        MAX_CACHED_ANSWERS; owned */
} Partition;

typedef struct
{
  SpPausedRequest request;
  char *partition;
  guint64 from; /* offset of the first requested record */
} WaitingRead;

static GHashTable *partitions;   /* name -> Partition */
static GPtrArray *waiting_reads; /* of WaitingRead */

void
sp_store_init (void)
{
  partitions = g_hash_table_new (g_str_hash, g_str_equal);
  waiting_reads = g_ptr_array_new ();
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer user)
{
  (void) user;
  return strcmp (a, b);
}

static Partition *
get_partition (const char *name)
{
  Partition *partition = g_hash_table_lookup (partitions, name);
  if (partition == NULL)
    {
      partition = g_new0 (Partition, 1);
      partition->records = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
      partition->newest = g_tree_new_full (compare_keys, NULL, g_free, NULL);
      g_hash_table_insert (partitions, g_strdup (name), partition);
    }
  return partition;
}

static const char *
param (GHashTable *query, const char *name)
{
  const char *text = query != NULL ? g_hash_table_lookup (query, name) : NULL;
  return text != NULL ? text : "";
}

static guint64
number (GHashTable *query, const char *name)
{
  return g_ascii_strtoull (param (query, name), NULL, 10);
}

static char *
partition_name (GHashTable *query)
{
  return g_strconcat (param (query, "topic"), "/", param (query, "part"), NULL);
}

static void
update_newest (Partition *partition, guint offset)
{
  gsize len = 0;
  const guint8 *data = g_bytes_get_data (partition->records->pdata[offset], &len);
  if (len == 0 || len < 1u + data[0])
    return;
  char *key = g_strndup ((const char *) data + 1, data[0]);
  if (len > 1u + data[0])
    {
      g_tree_replace (partition->newest, key, GUINT_TO_POINTER (offset));
      return;
    }
  g_tree_remove (partition->newest, key);
  g_free (key);
}

static void
add_record (Partition *partition, GBytes *record)
{
  g_ptr_array_add (partition->records, record);
  update_newest (partition, partition->records->len - 1);
}

void
sp_store_put (const char *name, const char *key, const char *value)
{
  GByteArray *record = g_byte_array_new ();
  guint8 len = (guint8) strlen (key);
  g_byte_array_append (record, &len, 1);
  g_byte_array_append (record, (const guint8 *) key, len);
  g_byte_array_append (record, (const guint8 *) value, (guint) strlen (value));
  add_record (get_partition (name), g_byte_array_free_to_bytes (record));
}

guint
sp_store_keys_n (const char *name)
{
  return (guint) g_tree_nnodes (get_partition (name)->newest);
}

static void
add_records (Partition *partition, GBytes *body)
{
  gsize len = 0;
  const guint8 *data = g_bytes_get_data (body, &len);
  for (gsize at = 0; at + 4 <= len;)
    {
      guint32 size = 0;
      memcpy (&size, data + at, sizeof size);
      size = GUINT32_FROM_BE (size);
      add_record (partition, g_bytes_new (data + at + 4, size));
      at += 4 + size;
    }
}

/* Responds to an append whose SEQUENCE does not follow the last one: with the cached response if it
 * repeats a recent append, else with 409. */
static void
answer_repeated_append (SoupServerMessage *message, const Partition *partition, guint64 sequence)
{
  guint64 back = partition->sequence - sequence;
  if (sequence <= partition->sequence && back < MIN (partition->appends_n, MAX_CACHED_ANSWERS))
    sp_reply (message, 200,
              partition->answers[(partition->appends_n - 1 - back) % MAX_CACHED_ANSWERS]);
  else
    sp_reply (message, 409, "{\"reason\":\"seq\"}");
}

/* Returns: FALSE when BODY does not consist of whole records within the limits. */
static gboolean
is_valid_body (GBytes *body)
{
  gsize len = 0;
  const guint8 *data = g_bytes_get_data (body, &len);
  gsize at = 0;
  while (at + 4 <= len && len <= APPEND_MAX_BYTES)
    {
      guint32 size = 0;
      memcpy (&size, data + at, sizeof size);
      size = GUINT32_FROM_BE (size);
      if (size > RECORD_MAX_BYTES || size > len - at - 4)
        return FALSE;
      at += 4 + size;
    }
  return at == len;
}

static void
serve_append (SoupServerMessage *message, GHashTable *query, GBytes *body)
{
  if (!is_valid_body (body))
    {
      sp_reply (message, 400, "{\"error\":\"records can't be read, or are too long\"}");
      return;
    }
  g_autofree char *name = partition_name (query);
  Partition *partition = get_partition (name);
  if (*param (query, "at") != '\0' && number (query, "at") != partition->records->len)
    {
      g_autofree char *end = g_strdup_printf ("{\"end\":%u}", partition->records->len);
      sp_reply (message, 412, end);
      return;
    }
  gboolean has_producer = *param (query, "producer") != '\0';
  guint64 epoch = number (query, "epoch");
  guint64 sequence = number (query, "sequence");
  if (has_producer && epoch < partition->epoch)
    {
      sp_reply (message, 409, "{\"reason\":\"fenced\"}");
      return;
    }
  if (has_producer && epoch == partition->epoch && partition->appends_n > 0
      && sequence != partition->sequence + 1)
    {
      answer_repeated_append (message, partition, sequence);
      return;
    }
  guint offset = partition->records->len;
  add_records (partition, body);
  g_autofree char *answer
      = g_strdup_printf ("{\"offset\":%u,\"end\":%u}", offset, partition->records->len);
  sp_reply (message, 200, answer);
  if (!has_producer)
    return;
  if (epoch != partition->epoch)
    partition->appends_n = 0;
  partition->epoch = epoch;
  partition->sequence = sequence;
  char **slot = &partition->answers[partition->appends_n++ % MAX_CACHED_ANSWERS];
  g_free (*slot);
  *slot = g_steal_pointer (&answer);
}

static void
add_u64 (GByteArray *out, guint64 value)
{
  value = GUINT64_TO_BE (value);
  g_byte_array_append (out, (const guint8 *) &value, sizeof value);
}

static void
answer_read (SoupServerMessage *message, const Partition *partition, guint64 from)
{
  g_autoptr (GByteArray) out = g_byte_array_new ();
  add_u64 (out, partition->records->len);
  add_u64 (out, 0);
  for (guint64 i = from; i < partition->records->len && out->len < MAX_PAGE_BYTES; i++)
    {
      gsize len = 0;
      const guint8 *data = g_bytes_get_data (partition->records->pdata[i], &len);
      guint32 size = GUINT32_TO_BE ((guint32) len);
      g_byte_array_append (out, (const guint8 *) &size, sizeof size);
      g_byte_array_append (out, data, (guint) len);
    }
  soup_server_message_set_status (message, 200, NULL);
  soup_server_message_set_response (message, OCTET_STREAM, SOUP_MEMORY_COPY,
                                    (const char *) out->data, out->len);
}

static void
wait_for_records (SoupServerMessage *message, const char *partition, guint64 from, guint64 wait_ms)
{
  WaitingRead *entry = g_new0 (WaitingRead, 1);
  entry->partition = g_strdup (partition);
  entry->from = from;
  sp_pause_request (&entry->request, message, wait_ms);
  g_ptr_array_add (waiting_reads, entry);
}

static void
serve_read (SoupServerMessage *message, GHashTable *query)
{
  g_autofree char *name = partition_name (query);
  const Partition *partition = get_partition (name);
  guint64 from = number (query, "from");
  if (from < partition->records->len || number (query, "wait-ms") == 0)
    answer_read (message, partition, from);
  else
    wait_for_records (message, name, from, number (query, "wait-ms"));
}

/* ---- the newest record of each key --------------------------------------------- */

static const char *malformed_key_form = "raw";

void
sp_store_set_malformed_keys (const char *form)
{
  malformed_key_form = g_intern_string (form);
}

static void
append_malformed_byte (GString *out, guchar byte)
{
  if (g_str_equal (malformed_key_form, "replaced"))
    g_string_append (out, "\xef\xbf\xbd");
  else if (g_str_equal (malformed_key_form, "surrogates"))
    g_string_append_printf (out, "\\udc%02x", byte);
  else
    g_string_append_c (out, (char) byte);
}

static void
append_key (GString *out, const char *key)
{
  for (const char *at = key; *at != '\0';)
    {
      gunichar character = g_utf8_get_char_validated (at, -1);
      if (character == (gunichar) -1 || character == (gunichar) -2)
        {
          append_malformed_byte (out, (guchar) *at++);
          continue;
        }
      if (character < 0x20 || character == '"' || character == '\\')
        g_string_append_printf (out, "\\u%04x", character);
      else
        g_string_append_unichar (out, character);
      at = g_utf8_next_char (at);
    }
}

static gboolean
is_shown (const char *key)
{
  return !g_str_equal (malformed_key_form, "omitted") || g_utf8_validate (key, -1, NULL);
}

static void
add_row (GString *out, const Partition *partition, const char *key, guint offset)
{
  gsize len = 0;
  const guint8 *data = g_bytes_get_data (partition->records->pdata[offset], &len);
  g_autofree char *value = g_base64_encode (data + 1 + data[0], len - 1 - data[0]);
  g_string_append (out, "{\"key\":\"");
  append_key (out, key);
  g_string_append_printf (out, "\",\"value\":\"%s\",\"offset\":%u}", value, offset);
}

/* Returns: (nullable): the first row after the key AFTER; the first of all when AFTER is empty. */
static GTreeNode *
first_after (const Partition *partition, const char *after)
{
  return *after == '\0' ? g_tree_node_first (partition->newest)
                        : g_tree_upper_bound (partition->newest, after);
}

static void
serve_newest (SoupServerMessage *message, GHashTable *query)
{
  g_autofree char *name = partition_name (query);
  const Partition *partition = get_partition (name);
  GString *out = g_string_new ("{\"items\":[");
  GTreeNode *node = first_after (partition, param (query, "after"));
  guint rows_n = 0;
  while (node != NULL && rows_n < MAX_PAGE_ROWS && out->len < MAX_PAGE_BYTES)
    {
      const char *key = g_tree_node_key (node);
      if (is_shown (key))
        {
          g_string_append (out, rows_n > 0 ? "," : "");
          add_row (out, partition, key, GPOINTER_TO_UINT (g_tree_node_value (node)));
          rows_n++;
        }
      node = g_tree_node_next (node);
    }
  g_string_append_printf (out, "],\"has-more\":%s,\"end\":%u}", node != NULL ? "true" : "false",
                          partition->records->len);
  sp_reply (message, 200, out->str);
  g_string_free (out, TRUE);
}

gboolean
sp_store_serve (SoupServerMessage *message, const char *path, GHashTable *query, GBytes *body)
{
  if (g_str_equal (path, "/api/log-append"))
    serve_append (message, query, body);
  else if (g_str_equal (path, "/api/log-read"))
    serve_read (message, query);
  else if (g_str_equal (path, "/api/log-newest"))
    serve_newest (message, query);
  else
    return FALSE;
  return TRUE;
}

void
sp_store_tick (void)
{
  for (guint i = waiting_reads->len; i > 0; i--)
    {
      WaitingRead *entry = waiting_reads->pdata[i - 1];
      const Partition *partition = get_partition (entry->partition);
      if (sp_now_ms () < entry->request.until_ms && partition->records->len <= entry->from)
        continue;
      answer_read (entry->request.message, partition, entry->from);
      sp_resume_request (&entry->request);
      g_free (entry->partition);
      g_free (entry);
      g_ptr_array_remove_index_fast (waiting_reads, i - 1);
    }
}
