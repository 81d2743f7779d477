/* Pairs are added by appends on the condition that nothing was stored since this daemon last read.
 * So each pair is stored once, and whoever reads its record has read all records before it. */
#include "queue-directory.h"

#include "src/entry/entry-private.h"

#include "fb-event.h"
#include "internal/codec.h"

#include <string.h>
#include <xxhash.h>

/* Time for which the store may delay its answer while nothing changes.  Pairs that another daemon
 * adds are not urgent: its jobs that are in another pool as well are claimed from that pool. */
#define WAIT_MS 5000
#define APPEND_TIMEOUT_MS 1500
#define RETRY_MS 100
/* Pairs that are added within this time are stored by one append. */
#define APPEND_DELAY_MS 5

struct _FbQueueDirectory
{
  FbEntryDaemon *entry;
  FbTopicReader *reader;
  GHashTable *queues;     /* queue -> GPtrArray of FbQueueService */
  GHashTable *listed;     /* as QUEUES, of the listing in progress; NULL: none in progress */
  GHashTable *wanted;     /* key of a pair -> GBytes of its record: pairs to be added */
  GPtrArray *open_keys;   /* of char *, of the records of the open append; NULL: none is open */
  GPtrArray *open_values; /* of GBytes, the records */
  uint64_t append_end;    /* offset at which the open append is to be stored */
  guint append_source;    /* source of the next append; 0: none */
};

static void
service_free (gpointer data)
{
  FbQueueService *service = data;
  g_free (service->service);
  g_free (service);
}

static GHashTable *
queues_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                (GDestroyNotify) g_ptr_array_unref);
}

/* Returns: (transfer full): the key of a record; both names may be as long as a key. */
static char *
key_of (const char *queue, const char *service)
{
  return g_strdup_printf ("%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
                          (guint64) XXH64 (queue, strlen (queue), 0),
                          (guint64) XXH64 (service, strlen (service), 0));
}

/* ---- reading -------------------------------------------------------------------- */

static gint
compare_offsets (gconstpointer a, gconstpointer b)
{
  const FbQueueService *first = *(FbQueueService *const *) a;
  const FbQueueService *second = *(FbQueueService *const *) b;
  return first->offset < second->offset ? -1 : first->offset > second->offset;
}

static gboolean
has_service (gconstpointer element, gconstpointer service)
{
  return g_str_equal (((const FbQueueService *) element)->service, service);
}

static void
put (GHashTable *queues, const char *queue, const char *service, uint64_t offset)
{
  GPtrArray *services = g_hash_table_lookup (queues, queue);
  if (services == NULL)
    {
      services = g_ptr_array_new_with_free_func (service_free);
      g_hash_table_insert (queues, g_strdup (queue), services);
    }
  if (g_ptr_array_find_with_equal_func (services, service, has_service, NULL))
    return;
  FbQueueService *row = g_new0 (FbQueueService, 1);
  row->service = g_strdup (service);
  row->offset = offset;
  g_ptr_array_add (services, row);
  g_ptr_array_sort (services, compare_offsets);
}

/* Returns: FALSE when VALUE is not a record of a pair. */
static gboolean
put_record (GHashTable *queues, GBytes *value, uint64_t offset)
{
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (value, &len);
  fb_queue_service pair;
  if (!fb_codec_decode_queue_service (data, len, &pair))
    return FALSE;
  put (queues, pair.queue, pair.service, offset);
  xdr_free ((xdrproc_t) xdr_fb_queue_service, (char *) &pair);
  return TRUE;
}

static void
on_begin (gpointer user)
{
  FbQueueDirectory *self = user;
  g_clear_pointer (&self->listed, g_hash_table_unref);
  self->listed = queues_new ();
}

static void
on_record (gpointer user, const FbStoreRecord *record)
{
  FbQueueDirectory *self = user;
  if (record->value == NULL)
    return;
  if (!put_record (self->listed != NULL ? self->listed : self->queues, record->value,
                   record->offset))
    fb_event_log (FB_EVENT_LOG_RECORD_SKIPPED, "queue directory key=%s malformed", record->key);
  g_hash_table_remove (self->wanted, record->key);
  if (self->listed == NULL)
    fb_entry_foreach_owner (self->entry, fb_owner_schedule_tick);
}

static void append_wanted (FbQueueDirectory *self);

static void
on_listed (gpointer user)
{
  FbQueueDirectory *self = user;
  if (self->queues != NULL)
    g_hash_table_unref (self->queues);
  self->queues = g_steal_pointer (&self->listed);
  append_wanted (self);
  fb_entry_foreach_owner (self->entry, fb_owner_schedule_tick);
}

static const FbTopicReaderOps reader_ops = { on_begin, on_record, on_listed };

/* ---- adding ------------------------------------------------------------------------ */

static gboolean
on_append_due (gpointer data)
{
  FbQueueDirectory *self = data;
  self->append_source = 0;
  append_wanted (self);
  return G_SOURCE_REMOVE;
}

static void
schedule_append (FbQueueDirectory *self, guint delay_ms)
{
  if (self->append_source == 0)
    self->append_source = g_timeout_add (delay_ms, on_append_due, self);
}

/* The condition of the append held, so every record before these has been read. */
static void
apply_appended (FbQueueDirectory *self)
{
  for (guint i = 0; i < self->open_keys->len; i++)
    {
      g_hash_table_remove (self->wanted, self->open_keys->pdata[i]);
      (void) put_record (self->queues, self->open_values->pdata[i], self->append_end + i);
    }
  fb_entry_foreach_owner (self->entry, fb_owner_schedule_tick);
}

static void
clear_open_append (FbQueueDirectory *self)
{
  g_clear_pointer (&self->open_keys, g_ptr_array_unref);
  g_clear_pointer (&self->open_values, g_ptr_array_unref);
}

static void
on_appended (gpointer data, const FbHttpReply *reply)
{
  FbQueueDirectory *self = data;
  fb_entry_store_answered (self->entry, reply);
  if (fb_wire_parse_append (reply) == FB_APPEND_STORED)
    apply_appended (self);
  clear_open_append (self);
  /* An append of unknown outcome may have been stored; then its repeat is not, as the end has
   * moved, and the reader delivers the records. */
  if (g_hash_table_size (self->wanted) > 0)
    schedule_append (self, RETRY_MS);
}

static void
append_wanted (FbQueueDirectory *self)
{
  if (self->open_keys != NULL || self->listed != NULL || !fb_queue_directory_is_known (self)
      || g_hash_table_size (self->wanted) == 0)
    return;
  self->open_keys = g_ptr_array_new_with_free_func (g_free);
  self->open_values = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
  GByteArray *records = g_byte_array_new ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, self->wanted);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      fb_wire_encode_record (records, key, value);
      g_ptr_array_add (self->open_keys, g_strdup (key));
      g_ptr_array_add (self->open_values, g_bytes_ref (value));
    }
  g_autoptr (GBytes) body = g_byte_array_free_to_bytes (records);
  FbHttpCall call;
  self->append_end = fb_topic_reader_next_offset (self->reader);
  fb_wire_append_at (&call, self->entry->settings->store, FB_TOPIC_QUEUES, 0, body,
                     self->append_end);
  call.idle_timeout_ms = APPEND_TIMEOUT_MS;
  fb_http_client_exchange (self->entry->store_client, &call, APPEND_TIMEOUT_MS, on_appended, self);
  fb_http_call_clear (&call);
}

void
fb_queue_directory_add (FbQueueDirectory *self, const char *queue, const char *service)
{
  if (fb_queue_directory_position (self, queue, service) >= 0)
    return;
  char *key = key_of (queue, service);
  if (g_hash_table_contains (self->wanted, key))
    {
      g_free (key);
      return;
    }
  const fb_queue_service pair = { (char *) queue, (char *) service };
  GBytes *value = fb_codec_encode_queue_service (&pair);
  fb_event_log (FB_EVENT_QUEUE_LISTED, "queue=%s service=%s", queue, service);
  g_hash_table_insert (self->wanted, key, value);
  schedule_append (self, APPEND_DELAY_MS);
}

/* ---- queries ------------------------------------------------------------------------- */

gboolean
fb_queue_directory_is_known (const FbQueueDirectory *self)
{
  return self->queues != NULL;
}

const GPtrArray *
fb_queue_directory_services (const FbQueueDirectory *self, const char *queue)
{
  return self->queues != NULL ? g_hash_table_lookup (self->queues, queue) : NULL;
}

int
fb_queue_directory_position (const FbQueueDirectory *self, const char *queue, const char *service)
{
  const GPtrArray *services = fb_queue_directory_services (self, queue);
  for (guint i = 0; services != NULL && i < services->len; i++)
    {
      if (has_service (services->pdata[i], service))
        return (int) i;
    }
  return -1;
}

GPtrArray *
fb_queue_directory_all_services (const FbQueueDirectory *self)
{
  GPtrArray *names = g_ptr_array_new ();
  if (self->queues == NULL)
    return names;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const GPtrArray *services = value;
      for (guint i = 0; i < services->len; i++)
        g_ptr_array_add (names, ((FbQueueService *) services->pdata[i])->service);
    }
  return names;
}

GHashTable *
fb_queue_directory_sharing (const FbQueueDirectory *self, const char *service)
{
  GHashTable *names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (self->queues == NULL)
    return names;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const GPtrArray *services = value;
      if (!g_ptr_array_find_with_equal_func ((GPtrArray *) value, service, has_service, NULL))
        continue;
      for (guint i = 0; i < services->len; i++)
        {
          const char *name = ((FbQueueService *) services->pdata[i])->service;
          if (!g_str_equal (name, service))
            g_hash_table_add (names, g_strdup (name));
        }
    }
  return names;
}

/* ---- construction ---------------------------------------------------------------------- */

FbQueueDirectory *
fb_queue_directory_new (FbEntryDaemon *entry)
{
  FbQueueDirectory *self = g_new0 (FbQueueDirectory, 1);
  self->entry = entry;
  self->wanted
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  self->reader = fb_topic_reader_new (entry, FB_TOPIC_QUEUES, 0, 0, &reader_ops, self);
  fb_topic_reader_set_wait (self->reader, WAIT_MS);
  return self;
}

void
fb_queue_directory_free (FbQueueDirectory *self)
{
  if (self == NULL)
    return;
  if (self->append_source != 0)
    g_source_remove (self->append_source);
  if (self->open_keys != NULL)
    fb_http_client_cancel (self->entry->store_client, self);
  clear_open_append (self);
  fb_topic_reader_free (self->reader);
  g_clear_pointer (&self->queues, g_hash_table_unref);
  g_clear_pointer (&self->listed, g_hash_table_unref);
  g_hash_table_unref (self->wanted);
  g_free (self);
}
