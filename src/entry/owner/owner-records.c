/* Stores records among those of callers, for the owner of a partition: cancels that belong to the
 * pool of another service, and records that another one has replaced. */
#include "owner-private.h"

#include "fb-event.h"

#include <string.h>

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
    fb_peers_notify_stored (record->entry, record->partition, record->key, record->value);
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
  fb_wire_encode_record (records, record->key, record->value);
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

/* ---- cancels ------------------------------------------------------------------------ */

void
fb_owner_pass_on_cancel (FbOwner *self, const char *job, GBytes *cancel, const char *service,
                         FbAppendDone done, gpointer user)
{
  gsize len = 0;
  const char *text = g_bytes_get_data (cancel, &len);
  gsize prefix_len = MIN (len, strlen (FB_CANCEL_PREFIX));
  g_autofree char *account = g_strndup (text + prefix_len, len - prefix_len);
  g_autofree char *passed_on = g_strconcat (FB_PASSED_CANCEL_PREFIX, account, NULL);
  g_autofree char *key = g_strdup_printf ("%c%s", FB_KEY_CANCEL, job);
  g_autoptr (GBytes) value = g_bytes_new (passed_on, strlen (passed_on));
  uint32_t partition = fb_entry_partition_of (self->entry, service);
  fb_event_log (FB_EVENT_CANCEL_PASSED_ON, "job=%s service=%s", job, service);
  if (partition != self->partition)
    {
      fb_owner_store_record (self->entry, partition, key, value, done, user);
      return;
    }
  FbServicePool *service_pool = g_hash_table_lookup (self->service_pools, service);
  if (service_pool != NULL && fb_pool_job_is_visible (service_pool->pool, job, account))
    fb_pool_cancel_job (service_pool->pool, job, fb_clock_ms (), fb_clock_wall_ms ());
  done (user, FB_APPEND_STORED);
}

static gboolean
is_passed_on (GBytes *cancel)
{
  gsize len = 0;
  const char *text = g_bytes_get_data (cancel, &len);
  return len > 0 && text[0] == FB_PASSED_CANCEL_PREFIX[0];
}

static gboolean
is_known (const FbOwner *self, const char *job)
{
  GHashTableIter iter;
  gpointer value;
  fb_work_state state;
  g_hash_table_iter_init (&iter, self->service_pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (fb_pool_job_state (((FbServicePool *) value)->pool, job, &state))
        return TRUE;
    }
  return fb_owner_held_job (self, job) != NULL;
}

static void
pass_on_to_all (FbOwner *self, const char *job, GBytes *cancel)
{
  g_autoptr (GList) services = g_hash_table_get_keys (self->service_pools);
  for (GList *l = services; l != NULL; l = l->next)
    {
      g_autoptr (GHashTable) others
          = fb_queue_directory_sharing (fb_entry_queue_directory (self->entry), l->data);
      GHashTableIter iter;
      gpointer other;
      g_hash_table_iter_init (&iter, others);
      while (g_hash_table_iter_next (&iter, &other, NULL))
        fb_owner_pass_on_cancel (self, job, cancel, other, fb_owner_ignore_stored, NULL);
    }
}

void
fb_owner_keep_unknown_cancel (FbOwner *self, const char *job, GBytes *cancel)
{
  if (!is_passed_on (cancel) && !is_known (self, job))
    g_hash_table_replace (self->unknown_cancels, g_strdup (job), g_bytes_ref (cancel));
}

void
fb_owner_pass_on_unknown_cancels (FbOwner *self)
{
  if (g_hash_table_size (self->unknown_cancels) == 0
      || !fb_queue_directory_is_known (fb_entry_queue_directory (self->entry)))
    return;
  GHashTableIter iter;
  gpointer job;
  gpointer cancel;
  g_hash_table_iter_init (&iter, self->unknown_cancels);
  while (g_hash_table_iter_next (&iter, &job, &cancel))
    pass_on_to_all (self, job, cancel);
  g_hash_table_remove_all (self->unknown_cancels);
}
