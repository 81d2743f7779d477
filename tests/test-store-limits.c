/* Records and appends beyond the limits of the store. */
#include "large-pool.h"

#include "fb-event.h"
#include "internal/codec.h"
#include "internal/pool-compact.h"
#include "internal/pool-private.h"
#include "src/entry/owner/owner-private.h"
#include "src/entry/store/record-parts.h"

#include <CUnit/Basic.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define RECORD_MAX_BYTES 262144
#define APPEND_MAX_BYTES 2097152
#define TIMEOUT_MS 20000

/* ---- parts of a value -------------------------------------------------------------- */

static GBytes *
value_of (gsize len, guint seed)
{
  guint8 *data = g_malloc (len);
  for (gsize i = 0; i < len; i++)
    data[i] = (guint8) (i * 31 + seed + i / 251);
  return g_bytes_new_take (data, len);
}

/* Applies the records in BODY to RECORDS, key -> GBytes, as the store does.  Returns: the size of
 * the largest one. */
static gsize
apply_body (GHashTable *records, const GByteArray *body)
{
  gsize largest = 0;
  for (gsize at = 0; at + 4 <= body->len;)
    {
      uint32_t len = 0;
      memcpy (&len, body->data + at, sizeof len);
      len = GUINT32_FROM_BE (len);
      const guint8 *record = body->data + at + 4;
      char *key = g_strndup ((const char *) record + 1, record[0]);
      if (len > 1u + record[0])
        g_hash_table_replace (records, key,
                              g_bytes_new (record + 1 + record[0], len - 1 - record[0]));
      else
        {
          g_hash_table_remove (records, key);
          g_free (key);
        }
      largest = MAX (largest, len);
      at += 4 + len;
    }
  return largest;
}

static GHashTable *
records_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
}

static guint
put (GHashTable *records, const char *key, GBytes *value, guint previous_n, gsize max_bytes)
{
  g_autoptr (GByteArray) body = g_byte_array_new ();
  guint n = fb_record_parts_encode (body, key, value, previous_n, max_bytes);
  CU_ASSERT_TRUE (apply_body (records, body) <= max_bytes);
  return n;
}

static gboolean
holds (GHashTable *records, const char *key, GBytes *value)
{
  g_autoptr (GBytes) joined = fb_record_parts_join (records, key);
  return joined != NULL && g_bytes_equal (joined, value);
}

/* A value of any size is read as it was stored, in records within the limit. */
static void
test_value_is_stored_in_parts (void)
{
  static const gsize sizes[] = { 1, 900, 1000, 1024, 2000, 5000, 100000 };
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      g_autoptr (GHashTable) records = records_new ();
      g_autoptr (GBytes) value = value_of (sizes[i], i);
      guint n = put (records, "workers.svc", value, 0, 1024);
      CU_ASSERT_EQUAL (g_hash_table_size (records), n);
      CU_ASSERT_EQUAL (n > 1, sizes[i] >= 1024);
      CU_ASSERT_TRUE (holds (records, "workers.svc", value));
    }
}

/* Half of a value, or parts of two writers, are never taken for a value. */
static void
test_incomplete_value_is_refused (void)
{
  g_autoptr (GHashTable) records = records_new ();
  g_autoptr (GBytes) first = value_of (5000, 1);
  g_autoptr (GBytes) second = value_of (5000, 2);
  g_autoptr (GHashTable) other = records_new ();
  (void) put (records, "k", first, 0, 1024);
  (void) put (other, "k", second, 0, 1024);
  GBytes *stolen = g_hash_table_lookup (other, "part.2.k");
  g_hash_table_replace (records, g_strdup ("part.2.k"), g_bytes_ref (stolen));
  CU_ASSERT_PTR_NULL (fb_record_parts_join (records, "k"));
  g_hash_table_remove (records, "part.2.k");
  CU_ASSERT_PTR_NULL (fb_record_parts_join (records, "k"));
}

/* Parts of an earlier value do not stay in the store when a later one has fewer. */
static void
test_smaller_value_deletes_parts (void)
{
  g_autoptr (GHashTable) records = records_new ();
  g_autoptr (GBytes) large = value_of (5000, 1);
  g_autoptr (GBytes) small = value_of (100, 2);
  guint n = put (records, "k", large, 0, 1024);
  CU_ASSERT_EQUAL (put (records, "k", small, n, 1024), 1);
  CU_ASSERT_EQUAL (g_hash_table_size (records), 1);
  CU_ASSERT_TRUE (holds (records, "k", small));
  (void) put (records, "k", large, 1, 1024);
  (void) put (records, "k", NULL, n, 1024);
  CU_ASSERT_EQUAL (g_hash_table_size (records), 0);
}

/* Decoders of daemons that know no parts take a part for malformed. */
static void
test_part_is_malformed_elsewhere (void)
{
  g_autoptr (GHashTable) records = records_new ();
  g_autoptr (GBytes) value = value_of (5000, 1);
  (void) put (records, "k", value, 0, 1024);
  GHashTableIter iter;
  gpointer record;
  g_hash_table_iter_init (&iter, records);
  while (g_hash_table_iter_next (&iter, NULL, &record))
    {
      gsize len = 0;
      gconstpointer data = g_bytes_get_data (record, &len);
      fb_work_workers workers;
      fb_work_silent_workers silent;
      fb_work_progress progress;
      fb_work_suspects suspects;
      CU_ASSERT_FALSE (fb_codec_decode_workers (data, len, &workers));
      CU_ASSERT_FALSE (fb_codec_decode_silent_workers (data, len, &silent));
      CU_ASSERT_FALSE (fb_codec_decode_progress (data, len, &progress, &suspects));
    }
}

/* ---- an owner and the stand-in of the store -------------------------------------------- */

static const char *platform_program;

typedef struct
{
  FbEntryDaemon entry;
  FbEntrySettings settings;
  FbOwner owner;
  FbServicePool service_pool;
  LargePool large;
  GSubprocess *platform;
  uint64_t now_ms;
} Fixture;

static gboolean
is_served (const char *store)
{
  g_autofree char *url = g_strdup_printf ("http://%s/audit", store);
  g_autoptr (SoupSession) session = soup_session_new ();
  g_autoptr (SoupMessage) message = soup_message_new ("GET", url);
  g_autoptr (GBytes) answer = soup_session_send_and_read (session, message, NULL, NULL);
  return answer != NULL && soup_message_get_status (message) == SOUP_STATUS_OK;
}

static gboolean
start_platform (Fixture *self)
{
  for (guint port = 20000 + (guint) getpid () % 200 * 20, tries = 0; tries < 50;
       tries++, port += 20)
    {
      g_autofree char *text = g_strdup_printf ("%u", port);
      self->settings.store = g_strdup_printf ("127.0.0.1:%u", port);
      self->platform = is_served (self->settings.store)
                           ? NULL
                           : g_subprocess_new (G_SUBPROCESS_FLAGS_STDERR_SILENCE, NULL,
                                               platform_program, text, "1", NULL);
      while (self->platform != NULL && g_subprocess_get_identifier (self->platform) != NULL)
        {
          if (is_served (self->settings.store))
            return TRUE;
          g_usleep (20000);
        }
      g_clear_object (&self->platform);
      g_clear_pointer (&self->settings.store, g_free);
    }
  return FALSE;
}

static gboolean
begin (Fixture *self, guint workers_n)
{
  *self = (Fixture){ .now_ms = 100000 };
  self->settings.record_max_bytes = RECORD_MAX_BYTES;
  self->settings.append_max_bytes = APPEND_MAX_BYTES;
  if (!start_platform (self))
    return FALSE;
  self->entry.settings = &self->settings;
  self->entry.store_client = fb_http_client_new ();
  self->entry.owners = g_hash_table_new (NULL, NULL);
  self->entry.timer = fb_timer_new (0);
  self->owner = (FbOwner){ .entry = &self->entry, .epoch = 1 };
  self->owner.stale_keys = g_ptr_array_new_with_free_func (g_free);
  self->owner.parts_n = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  self->owner.service_pools = g_hash_table_new (g_str_hash, g_str_equal);
  self->owner.appender = fb_appender_new (&self->entry, FB_TOPIC_PROGRESS, 0, "owner", 1);
  g_hash_table_insert (self->entry.owners, GUINT_TO_POINTER (0), &self->owner);
  large_pool_begin (&self->large, workers_n, self->now_ms);
  self->service_pool = (FbServicePool){ .owner = &self->owner,
                                        .pool = self->large.pool,
                                        .service = (char *) LARGE_POOL_SERVICE };
  g_hash_table_insert (self->owner.service_pools, (char *) LARGE_POOL_SERVICE, &self->service_pool);
  return TRUE;
}

static void
end (Fixture *self)
{
  fb_appender_free (self->owner.appender);
  g_hash_table_unref (self->owner.service_pools);
  g_hash_table_unref (self->owner.parts_n);
  g_ptr_array_unref (self->owner.stale_keys);
  large_pool_clear (&self->large);
  if (self->owner.tick_source != 0)
    g_source_remove (self->owner.tick_source);
  g_hash_table_unref (self->entry.owners);
  fb_timer_free (self->entry.timer);
  fb_http_client_free (self->entry.store_client);
  g_subprocess_force_exit (self->platform);
  (void) g_subprocess_wait (self->platform, NULL, NULL);
  g_object_unref (self->platform);
  g_free (self->settings.store);
}

/* Waits until the open flush has ended.  Returns: FALSE when it does not end. */
static gboolean
await_flush (Fixture *self)
{
  uint64_t until_ms = fb_clock_ms () + TIMEOUT_MS;
  while (self->owner.open_flushes > 0 && fb_clock_ms () < until_ms)
    {
      (void) g_main_context_iteration (NULL, FALSE);
      g_usleep (100);
    }
  return self->owner.open_flushes == 0 && !self->owner.stepped_down;
}

static gboolean
flush (Fixture *self)
{
  fb_owner_flush (&self->service_pool);
  return await_flush (self);
}

/* Returns: (transfer full): all records of the topic, key -> GBytes. */
static GHashTable *
read_all (const Fixture *self)
{
  GHashTable *records = records_new ();
  g_autoptr (SoupSession) session = soup_session_new ();
  g_autofree char *after = NULL;
  gboolean more = TRUE;
  while (more)
    {
      FbHttpCall call;
      uint64_t end_offset = 0;
      fb_wire_newest (&call, self->settings.store, FB_TOPIC_PROGRESS, 0, after);
      g_autoptr (SoupMessage) message = soup_message_new ("GET", call.url);
      g_autoptr (GBytes) body = soup_session_send_and_read (session, message, NULL, NULL);
      const FbHttpReply reply
          = { .status = FB_HTTP_OK, .code = soup_message_get_status (message), .body = body };
      g_autoptr (GPtrArray) page = g_ptr_array_new_with_free_func (fb_store_record_free);
      more = fb_wire_parse_newest (&reply, page, &more, &end_offset) && more;
      for (guint i = 0; i < page->len; i++)
        {
          const FbStoreRecord *record = page->pdata[i];
          g_hash_table_replace (records, g_strdup (record->key), g_bytes_ref (record->value));
          g_free (after);
          after = g_strdup (record->key);
        }
      fb_http_call_clear (&call);
    }
  return records;
}

/* Guards against a list of workers that exceeds a record and blocks all records of its pool. */
static void
test_workers_of_a_large_pool_are_stored (void)
{
  static Fixture self;
  CU_ASSERT_TRUE_FATAL (begin (&self, 19000));
  large_pool_recover (&self.large, &self.now_ms);
  CU_ASSERT_TRUE (fb_pool_may_place (self.large.pool));
  CU_ASSERT_TRUE (flush (&self));
  g_autoptr (GHashTable) records = read_all (&self);
  g_autoptr (GBytes) value = fb_record_parts_join (records, FB_KEY_WORKERS LARGE_POOL_SERVICE);
  CU_ASSERT_PTR_NOT_NULL_FATAL (value);
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (value, &len);
  fb_work_workers record;
  CU_ASSERT_TRUE_FATAL (fb_codec_decode_workers (data, len, &record));
  CU_ASSERT_EQUAL (record.workers.workers_len, 19000);
  xdr_free ((xdrproc_t) xdr_fb_work_workers, (char *) &record);
  end (&self);
}

static guint
unacknowledged_n (const LargePool *large, const char *job)
{
  guint n = 0;
  for (guint i = 0; i < large->workers_n; i++)
    {
      for (guint j = 0; j < large->workers[i].ends->len; j++)
        n += g_str_has_prefix (g_array_index (large->workers[i].ends, FbReportedEnd, j).task, job);
    }
  return n;
}

static void
run_for (Fixture *self, guint ticks_n)
{
  for (guint i = 0; i < ticks_n; i++, self->now_ms += 20)
    {
      large_pool_tick (&self->large, self->now_ms);
      (void) large_pool_answer (&self->large, self->large.workers_n, self->now_ms);
    }
}

#define LARGE_JOB "00000000000000a1"
#define SMALL_JOB "00000000000000b2"
#define LARGE_JOB_TASKS 10000
#define LARGE_JOB_ENDS 9800
#define LATER_ENDS 100
#define CHECKPOINT "checkpoint-of-a-usual-length"

/* Guards against a record that the store does not accept and that blocks the other jobs. */
static void
test_record_at_fault_is_left_out (void)
{
  static Fixture self;
  fb_work_state state = FB_WORK_QUEUED;
  CU_ASSERT_TRUE_FATAL (begin (&self, 64));
  /* The settings allow larger records than the store. */
  self.settings.record_max_bytes = 4 * RECORD_MAX_BYTES;
  large_pool_admit (&self.large, LARGE_JOB, LARGE_JOB_TASKS, 100, self.now_ms);
  large_pool_admit (&self.large, SMALL_JOB, 2, 1000, self.now_ms);
  run_for (&self, 300);
  CU_ASSERT_EQUAL (large_pool_end_runs (&self.large, LARGE_JOB, LARGE_JOB_ENDS, CHECKPOINT),
                   LARGE_JOB_ENDS);
  CU_ASSERT_EQUAL (large_pool_end_runs (&self.large, SMALL_JOB, 2, ""), 2);
  run_for (&self, 5);
  fb_owner_flush (&self.service_pool);
  /* Other runs end while the flush is open. */
  CU_ASSERT_EQUAL (large_pool_end_runs (&self.large, LARGE_JOB, LATER_ENDS, CHECKPOINT),
                   LATER_ENDS);
  run_for (&self, 5);
  CU_ASSERT_TRUE (await_flush (&self));
  CU_ASSERT_TRUE (fb_pool_job_state (self.large.pool, SMALL_JOB, &state));
  CU_ASSERT_EQUAL (state, FB_WORK_COMPLETED);
  guint held_n = unacknowledged_n (&self.large, LARGE_JOB);
  run_for (&self, 20);
  CU_ASSERT_TRUE (flush (&self));
  run_for (&self, 20);
  CU_ASSERT_TRUE (held_n == LARGE_JOB_ENDS + LATER_ENDS);
  CU_ASSERT_EQUAL (unacknowledged_n (&self.large, LARGE_JOB), held_n);
  g_autoptr (GHashTable) records = read_all (&self);
  CU_ASSERT_FALSE (g_hash_table_contains (records, LARGE_JOB));
  CU_ASSERT_TRUE (g_hash_table_contains (records, SMALL_JOB));
  /* A cancelled job needs a small record, which is accepted. */
  fb_pool_cancel_job (self.large.pool, LARGE_JOB, self.now_ms,
                      LARGE_POOL_WALL_OFFSET_MS + self.now_ms);
  run_for (&self, 5);
  CU_ASSERT_TRUE (flush (&self));
  run_for (&self, 5);
  CU_ASSERT_EQUAL (unacknowledged_n (&self.large, LARGE_JOB), 0);
  end (&self);
}

/* The progress of a job with thousands of tasks is stored in parts. */
static void
test_progress_of_a_large_job_is_stored (void)
{
  static Fixture self;
  CU_ASSERT_TRUE_FATAL (begin (&self, 64));
  large_pool_admit (&self.large, LARGE_JOB, LARGE_JOB_TASKS, 100, self.now_ms);
  run_for (&self, 300);
  CU_ASSERT_EQUAL (large_pool_end_runs (&self.large, LARGE_JOB, LARGE_JOB_ENDS, CHECKPOINT),
                   LARGE_JOB_ENDS);
  run_for (&self, 5);
  CU_ASSERT_TRUE (flush (&self));
  run_for (&self, 5);
  CU_ASSERT_EQUAL (unacknowledged_n (&self.large, LARGE_JOB), 0);
  g_autoptr (GHashTable) records = read_all (&self);
  g_autoptr (GBytes) value = fb_record_parts_join (records, LARGE_JOB);
  CU_ASSERT_PTR_NOT_NULL (value);
  CU_ASSERT_TRUE (value != NULL && g_bytes_get_size (value) > RECORD_MAX_BYTES);
  end (&self);
}

static guint
done_n (const fb_work_progress *progress)
{
  guint n = 0;
  for (u_int i = 0; i < progress->task_progress.task_progress_len; i++)
    {
      const fb_work_task_progress *row = &progress->task_progress.task_progress_val[i];
      n += row->done ? MAX (fb_pool_compact_series_n (row), 1) : 0;
    }
  return n;
}

/* Guards against a job that is deleted because a checkpoint exceeds a limit of its record. */
static void
test_long_checkpoint_deletes_no_job (void)
{
  static const gsize sizes[] = { 158, 300, 1000, 20000, 150000, 3000000, 6000000 };
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      static Fixture self;
      g_autofree char *checkpoint = g_strnfill (sizes[i], 'c');
      CU_ASSERT_TRUE_FATAL (begin (&self, 8));
      large_pool_recover (&self.large, &self.now_ms);
      large_pool_admit (&self.large, LARGE_JOB, 24, 100, self.now_ms);
      run_for (&self, 20);
      large_pool_save (&self.large, LARGE_JOB, checkpoint);
      run_for (&self, 5);
      CU_ASSERT_EQUAL (large_pool_end_runs (&self.large, LARGE_JOB, 12, ""), 12);
      run_for (&self, 5);
      CU_ASSERT_TRUE (flush (&self));
      CU_ASSERT_EQUAL (self.owner.stale_keys->len, 0);
      g_autoptr (GHashTable) records = read_all (&self);
      g_autoptr (GBytes) value = fb_record_parts_join (records, LARGE_JOB);
      CU_ASSERT_PTR_NOT_NULL_FATAL (value);
      gsize len = 0;
      gconstpointer data = g_bytes_get_data (value, &len);
      fb_work_progress progress;
      fb_work_suspects suspects;
      CU_ASSERT_TRUE_FATAL (fb_codec_decode_progress (data, len, &progress, &suspects));
      CU_ASSERT_EQUAL (done_n (&progress), 12);
      if (sizes[i] * 12 < LARGE_POOL_PROGRESS_MAX_BYTES)
        CU_ASSERT_EQUAL (progress.task_progress.task_progress_len, 24);
      fb_codec_clear_progress (&progress, &suspects);
      run_for (&self, 5);
      CU_ASSERT_EQUAL (unacknowledged_n (&self.large, LARGE_JOB), 0);
      end (&self);
    }
}

int
main (int argc, char **argv)
{
  if (argc != 2)
    {
      fprintf (stderr, "usage: test-store-limits STANDIN-PLATFORM\n");
      return 2;
    }
  platform_program = argv[1];
  fb_event_set_quiet (TRUE);
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("limits of the store", NULL, NULL);
  CU_add_test (suite, "value is stored in parts", test_value_is_stored_in_parts);
  CU_add_test (suite, "incomplete value is refused", test_incomplete_value_is_refused);
  CU_add_test (suite, "smaller value deletes parts", test_smaller_value_deletes_parts);
  CU_add_test (suite, "part is malformed elsewhere", test_part_is_malformed_elsewhere);
  CU_add_test (suite, "workers of a large pool are stored",
               test_workers_of_a_large_pool_are_stored);
  CU_add_test (suite, "progress of a large job is stored", test_progress_of_a_large_job_is_stored);
  CU_add_test (suite, "record at fault is left out", test_record_at_fault_is_left_out);
  CU_add_test (suite, "long checkpoint deletes no job", test_long_checkpoint_deletes_no_job);
  CU_basic_set_mode (CU_BRM_NORMAL);
  CU_basic_run_tests ();
  guint failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
