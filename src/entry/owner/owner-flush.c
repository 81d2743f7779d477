/* Stores the flushes of a pool.
 *
 * The records of a flush are stored by as many appends as the store's limits require.  The records
 * of workers refer to each other and to what earlier flushes and the jobs of this one contain, so
 * they are stored together by the last append.
 *
 * The store refuses an append as a whole.  When it refuses one for good, its records are stored one
 * by one, and the one at fault is reported to the pool: what depends on it stays unacknowledged,
 * while the other jobs of the pool go on. */
#include "owner-private.h"

#include "src/entry/store/record-parts.h"

#include "fb-event.h"

typedef struct
{
  FbEntryDaemon *entry;
  uint32_t partition;
  uint64_t epoch;
  char *service;
  GPtrArray *records; /* of FbPoolRecord */
  guint open_n;       /* number of appends without a result */
} Flush;

/* Consecutive records of a flush that are stored by one append. */
typedef struct
{
  Flush *flush;
  guint from;
  guint n;
} FlushPart;

static void
flush_free (Flush *flush)
{
  g_ptr_array_unref (flush->records);
  g_free (flush->service);
  g_free (flush);
}

/* ---- encoding ------------------------------------------------------------------- */

/* Returns: (transfer full): the key under which RECORD is stored. */
static char *
key_of (const char *service, const FbPoolRecord *record)
{
  static const char *const prefixes[] = { [FB_POOL_RECORD_WORKERS] = FB_KEY_WORKERS,
                                          [FB_POOL_RECORD_SILENT_WORKERS] = FB_KEY_SILENT_WORKERS };
  return record->kind == FB_POOL_RECORD_JOB ? g_strdup (record->job)
                                            : g_strconcat (prefixes[record->kind], service, NULL);
}

static void
encode_record (FbOwner *self, GByteArray *body, const char *key, GBytes *value)
{
  guint previous_n = GPOINTER_TO_UINT (g_hash_table_lookup (self->parts_n, key));
  guint n = fb_record_parts_encode (body, key, value, previous_n,
                                    self->entry->settings->record_max_bytes);
  /* Until the append is stored, all parts of the previous value may still be there. */
  if (n > 1 && n > previous_n)
    g_hash_table_replace (self->parts_n, g_strdup (key), GUINT_TO_POINTER (n));
}

static GByteArray *
encode_part (FbOwner *self, const Flush *flush, guint from, guint n)
{
  GByteArray *body = g_byte_array_new ();
  for (guint i = from; i < from + n; i++)
    {
      const FbPoolRecord *record = flush->records->pdata[i];
      g_autofree char *key = key_of (flush->service, record);
      g_assert (record->is_deletion || record->progress != NULL);
      encode_record (self, body, key, record->progress);
    }
  return body;
}

/* ---- appends ---------------------------------------------------------------------- */

static FbOwner *
owner_of (const Flush *flush)
{
  FbOwner *owner = fb_entry_owner (flush->entry, flush->partition);
  return owner != NULL && owner->epoch == flush->epoch ? owner : NULL;
}

static void on_part_stored (gpointer data, FbAppendResult result);

static void
store_part (FbOwner *self, Flush *flush, guint from, guint n, GByteArray *body)
{
  FlushPart *part = g_new0 (FlushPart, 1);
  part->flush = flush;
  part->from = from;
  part->n = n;
  flush->open_n++;
  if (body->len <= self->entry->settings->append_max_bytes)
    {
      fb_appender_put (self->appender, body, 0, on_part_stored, part);
      return;
    }
  g_byte_array_unref (body);
  on_part_stored (part, FB_APPEND_INVALID);
}

/* Returns: the number of records from FROM on that are stored by one append in any case. */
static guint
unit_at (const Flush *flush, guint from)
{
  const FbPoolRecord *record = flush->records->pdata[from];
  return record->kind == FB_POOL_RECORD_JOB ? 1 : flush->records->len - from;
}

/* Stores each unit of N records from FROM on by an append of its own. */
static void
store_units (FbOwner *self, Flush *flush, guint from, guint n)
{
  for (guint i = from; i < from + n; i += unit_at (flush, i))
    store_part (self, flush, i, unit_at (flush, i),
                encode_part (self, flush, i, unit_at (flush, i)));
}

static void
reject_records (const FbOwner *self, const Flush *flush, guint from, guint n)
{
  FbServicePool *service_pool = g_hash_table_lookup (self->service_pools, flush->service);
  for (guint i = from; i < from + n && service_pool != NULL; i++)
    {
      const FbPoolRecord *record = flush->records->pdata[i];
      g_autofree char *key = key_of (flush->service, record);
      gsize len = record->progress != NULL ? g_bytes_get_size (record->progress) : 0;
      fb_event_log (FB_EVENT_RECORD_NOT_ACCEPTED, "key=%s bytes=%" G_GSIZE_FORMAT, key, len);
      fb_pool_record_not_accepted (service_pool->pool, record->job, len);
    }
}

static void
delete_records_of_ended_jobs (FbOwner *self, const Flush *flush, guint from, guint n)
{
  for (guint i = from; i < from + n; i++)
    {
      const FbPoolRecord *record = flush->records->pdata[i];
      if (record->kind == FB_POOL_RECORD_JOB && (record->is_deletion || record->ended))
        {
          g_ptr_array_add (self->stale_keys, g_strdup_printf ("%c%s", FB_KEY_JOB, record->job));
          fb_owner_delete_cancels (self, record->job);
        }
    }
}

static void
handle_result (FbOwner *self, Flush *flush, const FlushPart *part, FbAppendResult result)
{
  gboolean is_unit = part->n == unit_at (flush, part->from);
  if (result == FB_APPEND_STORED)
    delete_records_of_ended_jobs (self, flush, part->from, part->n);
  else if (result == FB_APPEND_INVALID && is_unit)
    reject_records (self, flush, part->from, part->n);
  else if (result == FB_APPEND_INVALID)
    store_units (self, flush, part->from, part->n);
  else
    fb_owner_step_down (self, "append rejected because a later owner has written");
}

static void
finish (FbOwner *self, const Flush *flush)
{
  FbServicePool *service_pool = g_hash_table_lookup (self->service_pools, flush->service);
  self->open_flushes--;
  if (service_pool != NULL && !self->stepped_down)
    fb_pool_flushed (service_pool->pool, fb_clock_ms ());
  fb_owner_schedule_tick (self);
}

static void
on_part_stored (gpointer data, FbAppendResult result)
{
  FlushPart *part = data;
  Flush *flush = part->flush;
  FbOwner *owner = owner_of (flush);
  if (owner != NULL)
    handle_result (owner, flush, part, result);
  g_free (part);
  flush->open_n--;
  if (flush->open_n > 0)
    return;
  if (owner != NULL)
    finish (owner, flush);
  flush_free (flush);
}

/* Stores all records with as few appends as possible. */
static void
store_all (FbOwner *self, Flush *flush)
{
  guint from = 0;
  guint at = 0;
  GByteArray *body = g_byte_array_new ();
  while (at < flush->records->len)
    {
      guint n = unit_at (flush, at);
      GByteArray *unit = encode_part (self, flush, at, n);
      if (at > from && body->len + unit->len > self->entry->settings->append_max_bytes)
        {
          store_part (self, flush, from, at - from, g_steal_pointer (&body));
          body = g_byte_array_new ();
          from = at;
        }
      g_byte_array_append (body, unit->data, unit->len);
      g_byte_array_unref (unit);
      at += n;
    }
  store_part (self, flush, from, at - from, body);
}

/* Without the record of its end, a job would be taken for one that its claimant has not begun. */
static void
forget_claimants (FbOwner *self, const Flush *flush)
{
  for (guint i = 0; i < flush->records->len; i++)
    {
      const FbPoolRecord *record = flush->records->pdata[i];
      if (record->is_deletion)
        fb_owner_forget_claimant (self, record->job, NULL);
    }
}

void
fb_owner_flush (FbServicePool *service_pool)
{
  FbOwner *self = service_pool->owner;
  GPtrArray *records = fb_pool_flush (service_pool->pool, fb_clock_ms (), fb_clock_wall_ms ());
  if (records == NULL)
    return;
  Flush *flush = g_new0 (Flush, 1);
  flush->entry = self->entry;
  flush->partition = self->partition;
  flush->epoch = self->epoch;
  flush->service = g_strdup (service_pool->service);
  flush->records = records;
  self->open_flushes++;
  forget_claimants (self, flush);
  /* Keeps FLUSH until all parts have been begun. */
  flush->open_n++;
  store_all (self, flush);
  flush->open_n--;
  if (flush->open_n > 0)
    return;
  finish (self, flush);
  flush_free (flush);
}
