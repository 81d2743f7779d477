/* Stores records among those of callers, for the owner of a partition: cancels that belong to the
 * pool of another service, and records that another one has replaced. */
#include "owner-private.h"

#include "src/entry/cancel-records.h"

#define RETRY_MS 200
#define RETRY_PERIOD_MS 30000

typedef struct
{
  FbEntryDaemon *entry;
  uint32_t partition;
  char *key;
  GBytes *value;
  uint64_t until_ms; /* it is not tried again after this time */
  FbAppendDone done;
  gpointer user;
} StoredRecord;

static void
finish (StoredRecord *record, FbAppendResult result)
{
  if (result == FB_APPEND_STORED)
    fb_peers_notify_stored (record->entry, record->partition, record->key, record->value,
                            fb_peers_ignore_reply, NULL);
  record->done (record->user, result);
  g_bytes_unref (record->value);
  g_free (record->key);
  g_free (record);
}

static void append (StoredRecord *record);

static gboolean
on_retry (gpointer data)
{
  append (data);
  return G_SOURCE_REMOVE;
}

static void
on_appended (gpointer data, FbAppendResult result)
{
  StoredRecord *record = data;
  if (result == FB_APPEND_STORED || result == FB_APPEND_INVALID
      || fb_clock_ms () >= record->until_ms)
    finish (record, result);
  else
    g_timeout_add (RETRY_MS, on_retry, record);
}

static void
append (StoredRecord *record)
{
  GByteArray *records = g_byte_array_new ();
  fb_caller_record_encode (records, record->key, record->value);
  fb_appender_put (fb_entry_appender (record->entry, record->partition), records, record->until_ms,
                   on_appended, record);
}

void
fb_owner_store_record (FbEntryDaemon *entry, uint32_t partition, const char *key, GBytes *value,
                       FbAppendDone done, gpointer user)
{
  StoredRecord *record = g_new0 (StoredRecord, 1);
  record->entry = entry;
  record->partition = partition;
  record->key = g_strdup (key);
  record->value = g_bytes_ref (value);
  record->until_ms = fb_clock_ms () + RETRY_PERIOD_MS;
  record->done = done;
  record->user = user;
  append (record);
}

void
fb_owner_ignore_stored (gpointer user, FbAppendResult result)
{
  (void) user;
  (void) result;
}
