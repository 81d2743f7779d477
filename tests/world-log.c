#include "world-log.h"

#define PAGE_RECORDS 100
#define CLOCK_OFFSET_MS 77000

typedef struct
{
  uint64_t first;  /* offset of the first retained record */
  GPtrArray *data; /* GBytes */
  GArray *at_ms;   /* uint64_t: when each record was appended */
} Stream;

struct _WorldLog
{
  uint64_t retention_ms;
  GHashTable *streams;
};

static void
stream_free (gpointer data)
{
  Stream *stream = data;
  g_ptr_array_free (stream->data, TRUE);
  g_array_free (stream->at_ms, TRUE);
  g_free (stream);
}

WorldLog *
world_log_new (uint64_t retention_ms)
{
  WorldLog *self = g_new0 (WorldLog, 1);
  self->retention_ms = retention_ms;
  self->streams = g_hash_table_new_full (NULL, NULL, NULL, stream_free);
  return self;
}

void
world_log_free (WorldLog *self)
{
  g_hash_table_destroy (self->streams);
  g_free (self);
}

static Stream *
stream_of (WorldLog *self, uint32_t id)
{
  Stream *stream = g_hash_table_lookup (self->streams, GUINT_TO_POINTER (id));
  if (stream == NULL)
    {
      stream = g_new0 (Stream, 1);
      stream->data = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
      stream->at_ms = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      g_hash_table_insert (self->streams, GUINT_TO_POINTER (id), stream);
    }
  return stream;
}

uint64_t
world_log_append (WorldLog *self, uint64_t now_ms, uint32_t id, GBytes *data)
{
  Stream *stream = stream_of (self, id);
  g_ptr_array_add (stream->data, g_bytes_ref (data));
  g_array_append_val (stream->at_ms, now_ms);
  return stream->first + stream->data->len - 1;
}

gboolean
world_log_read (WorldLog *self, uint64_t now_ms, uint32_t id, uint64_t from,
                uint64_t *first_retained, GArray *records)
{
  Stream *stream = stream_of (self, id);
  *first_retained = stream->first;
  uint64_t i = from > stream->first ? from - stream->first : 0;
  for (guint n = 0; i < stream->data->len && n < PAGE_RECORDS; i++, n++)
    {
      FbLogRecord record = { .stream = id,
                             .offset = stream->first + i,
                             .age_ms = now_ms - g_array_index (stream->at_ms, uint64_t, i),
                             .data = g_ptr_array_index (stream->data, i) };
      g_array_append_val (records, record);
    }
  return i >= stream->data->len;
}

uint64_t
world_log_clock_ms (uint64_t now_ms)
{
  return now_ms + CLOCK_OFFSET_MS;
}

void
world_log_drop_expired (WorldLog *self, uint64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, self->streams);
  while (self->retention_ms > 0 && g_hash_table_iter_next (&iter, NULL, &value))
    {
      Stream *stream = value;
      guint old = 0;
      while (old < stream->at_ms->len
             && g_array_index (stream->at_ms, uint64_t, old) + self->retention_ms < now_ms)
        old++;
      if (old == 0)
        continue;
      g_ptr_array_remove_range (stream->data, 0, old);
      g_array_remove_range (stream->at_ms, 0, old);
      stream->first += old;
    }
}
