/* Records and messages with values that are larger than usual, and jobs with more tasks. */
#include "idle-callbacks.h"

#include "internal/codec.h"
#include "internal/pool-compact.h"
#include "internal/pool-private.h"

#include <CUnit/Basic.h>
#include <string.h>

#define CHECKPOINT_CHARS 200000
#define NAME_CHARS 1000
#define JOB "00000000000000a1"

/* ---- values of any length ------------------------------------------------------------ */

/* Guards against a start that no relay can carry because of its checkpoint or ticket. */
static void
test_relayed_start_with_long_values (void)
{
  g_autofree char *checkpoint = g_strnfill (CHECKPOINT_CHARS, 'c');
  g_autofree char *ticket = g_strnfill (NAME_CHARS, 't');
  fb_peer_request written = { .type = FB_REQUEST_RELAY_ORDER };
  written.fb_peer_request_u.order = (fb_relay_request){ .kind = FB_ORDER_KIND_START,
                                                        .worker = "w",
                                                        .address = "127.0.0.1:1",
                                                        .task = JOB ".0.0.0",
                                                        .payload = "p",
                                                        .checkpoint = checkpoint,
                                                        .ticket = ticket };
  g_autoptr (GBytes) bytes = fb_codec_encode_peer_request (&written);
  CU_ASSERT_PTR_NOT_NULL_FATAL (bytes);
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (bytes, &len);
  fb_peer_request read;
  CU_ASSERT_TRUE_FATAL (fb_codec_decode_peer_request (data, len, &read));
  CU_ASSERT_STRING_EQUAL (read.fb_peer_request_u.order.checkpoint, checkpoint);
  CU_ASSERT_STRING_EQUAL (read.fb_peer_request_u.order.ticket, ticket);
  xdr_free ((xdrproc_t) xdr_fb_peer_request, (char *) &read);
}

/* Guards against a worker that seems silent because no relay can report its checkpoints. */
static void
test_relayed_list_with_long_checkpoints (void)
{
  g_autofree char *checkpoint = g_strnfill (CHECKPOINT_CHARS, 'c');
  fb_reported_run run = { (char *) JOB ".0.0.0", 1, checkpoint };
  fb_reported_end end = { 1, (char *) JOB ".0.0.1", 1, FB_END_STOPPED, checkpoint };
  fb_peer_reply written = { .type = FB_REPLY_ORDER_RESULT };
  written.fb_peer_reply_u.order
      = (fb_relay_reply){ .incarnation = "", .running = { 1, &run }, .finished = { 1, &end } };
  g_autoptr (GBytes) bytes = fb_codec_encode_peer_reply (&written);
  CU_ASSERT_PTR_NOT_NULL_FATAL (bytes);
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (bytes, &len);
  fb_peer_reply read;
  CU_ASSERT_TRUE_FATAL (fb_codec_decode_peer_reply (data, len, &read));
  const fb_relay_reply *order = &read.fb_peer_reply_u.order;
  CU_ASSERT_STRING_EQUAL (order->running.running_val[0].checkpoint, checkpoint);
  CU_ASSERT_STRING_EQUAL (order->finished.finished_val[0].checkpoint, checkpoint);
  xdr_free ((xdrproc_t) xdr_fb_peer_reply, (char *) &read);
}

/* Guards against jobs, queues and routes that are not stored because of a long name. */
static void
test_long_names_are_stored (void)
{
  g_autofree char *name = g_strnfill (NAME_CHARS, 'n');
  fb_work_step step = { .count = 1, .preferred_rack = name, .required_label = name, .image = name };
  fb_work_admit admit = { .account = name, .policy = { .queue = name, .service = name } };
  admit.spec.payload = "p";
  admit.spec.steps.steps_len = 1;
  admit.spec.steps.steps_val = &step;
  g_autoptr (GBytes) bytes = fb_codec_encode_admit (&admit);
  CU_ASSERT_PTR_NOT_NULL_FATAL (bytes);
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (bytes, &len);
  fb_work_admit read;
  CU_ASSERT_TRUE_FATAL (fb_codec_decode_admit (data, len, &read));
  CU_ASSERT_STRING_EQUAL (read.account, name);
  CU_ASSERT_STRING_EQUAL (read.policy.queue, name);
  xdr_free ((xdrproc_t) xdr_fb_work_admit, (char *) &read);
  const fb_queue_service pair = { name, name };
  g_autoptr (GBytes) queue = fb_codec_encode_queue_service (&pair);
  CU_ASSERT_PTR_NOT_NULL (queue);
  const fb_stored_route route = { .host = name, .prefix = name, .queue = pair };
  g_autoptr (GBytes) stored = fb_codec_encode_stored_route (&route);
  CU_ASSERT_PTR_NOT_NULL (stored);
}

/* Guards against callers that are not told of all services that may have their job. */
static void
test_many_services_of_a_queue (void)
{
  fb_service_name names[1000];
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    names[i].service = (char *) "svc";
  fb_peer_reply reply = { .type = FB_REPLY_QUEUE_SERVICES };
  reply.fb_peer_reply_u.services.services.services_len = G_N_ELEMENTS (names);
  reply.fb_peer_reply_u.services.services.services_val = names;
  g_autoptr (GBytes) bytes = fb_codec_encode_peer_reply (&reply);
  CU_ASSERT_PTR_NOT_NULL (bytes);
}

/* ---- jobs with many tasks ------------------------------------------------------------- */

static FbPoolJob *
add_job (FbPool **pool, const guint *counts, guint steps_n, guint occurrences)
{
  static const FbPoolLimits limits = { .max_lease_ms = 6000, .max_stop_ms = 200 };
  static const FbPoolCallbacks callbacks = { .stop = idle_on_stop };
  g_autofree fb_work_step *steps = g_new0 (fb_work_step, steps_n);
  for (guint i = 0; i < steps_n; i++)
    steps[i] = (fb_work_step){ .count = counts[i],
                               .preferred_rack = (char *) "",
                               .required_label = (char *) "",
                               .image = (char *) "" };
  fb_work_admit record = { .account = "", .policy = { .queue = "q", .service = "s" } };
  record.spec.payload = "p";
  record.spec.occurrences = occurrences;
  record.spec.steps.steps_len = steps_n;
  record.spec.steps.steps_val = steps;
  *pool = fb_pool_new ("s", 1, &limits, &callbacks, NULL, 1000);
  fb_pool_add_job (*pool, JOB, &record, 1000, 1000000);
  return g_hash_table_lookup ((*pool)->jobs, JOB);
}

static void
set_done (FbPoolJob *job, uint32_t occurrence, uint32_t step, uint32_t index)
{
  FbPoolStep *found = fb_pool_job_step (job, occurrence, step);
  found->tasks[index].done = TRUE;
  found->tasks[index].attempt = 1;
  found->done_n++;
}

/* Encodes the progress of JOB and restores it in a new pool that has the same job.
 * Returns: (transfer full): that pool. */
static FbPool *
pass_on (const FbPoolJob *job, const guint *counts, guint steps_n, guint occurrences,
         gsize max_bytes)
{
  FbPool *pool = NULL;
  const fb_work_suspects none = { 0 };
  fb_work_progress progress;
  fb_work_suspects suspects;
  fb_pool_job_progress (job, &progress);
  (void) fb_pool_compact_progress (job, &progress, max_bytes);
  progress.state = FB_WORK_RUNNING;
  g_autoptr (GBytes) bytes = fb_codec_encode_progress (&progress, &none);
  g_free (progress.task_progress.task_progress_val);
  (void) add_job (&pool, counts, steps_n, occurrences);
  CU_ASSERT_PTR_NOT_NULL_FATAL (bytes);
  CU_ASSERT_TRUE (g_bytes_get_size (bytes) <= max_bytes);
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (bytes, &len);
  CU_ASSERT_TRUE_FATAL (fb_codec_decode_progress (data, len, &progress, &suspects));
  fb_pool_restore_job (pool, JOB, &progress, &suspects, 1000);
  fb_codec_clear_progress (&progress, &suspects);
  return pool;
}

static void
check_same_progress (FbPoolJob *job, FbPool *next, guint steps_n, guint occurrences)
{
  FbPoolJob *restored = g_hash_table_lookup (next->jobs, JOB);
  guint different_n = 0;
  for (guint k = 0; k < MAX (occurrences, 1); k++)
    {
      for (guint s = 0; s < steps_n; s++)
        {
          const FbPoolStep *a = fb_pool_job_step (job, k, s);
          const FbPoolStep *b = fb_pool_job_step (restored, k, s);
          different_n += a->done_n != b->done_n;
          for (guint i = 0; i < a->spec->count; i++)
            different_n += a->tasks[i].done != b->tasks[i].done;
        }
    }
  CU_ASSERT_EQUAL (different_n, 0);
}

/* Guards against done tasks that run again, as their job has more of them than a record has rows.
 */
static void
test_done_tasks_beyond_the_rows_of_a_record (void)
{
  static const guint counts[] = { 100000, 3 };
  FbPool *pool = NULL;
  FbPoolJob *job = add_job (&pool, counts, 2, 0);
  for (guint i = 0; i < counts[0]; i++)
    {
      if (i % 977 != 5)
        set_done (job, 0, 0, i);
    }
  set_done (job, 0, 1, 0);
  FbPool *next = pass_on (job, counts, 2, 0, 2000000);
  check_same_progress (job, next, 2, 0);
  fb_pool_free (next);
  fb_pool_free (pool);
}

/* Guards against the same in a job with many occurrences of few tasks. */
static void
test_done_occurrences_beyond_the_rows_of_a_record (void)
{
  static const guint counts[] = { 2, 1 };
  const guint occurrences = 40000;
  FbPool *pool = NULL;
  FbPoolJob *job = add_job (&pool, counts, 2, occurrences);
  for (guint k = 0; k < occurrences - 2; k++)
    {
      set_done (job, k, 0, 0);
      if (k != 777)
        set_done (job, k, 0, 1);
      if (k != 20000)
        set_done (job, k, 1, 0);
    }
  FbPool *next = pass_on (job, counts, 2, occurrences, 2000000);
  check_same_progress (job, next, 2, occurrences);
  fb_pool_free (next);
  fb_pool_free (pool);
}

/* A record without room for all checkpoints keeps attempts that failed and tasks that are done. */
static void
test_checkpoints_give_way (void)
{
  static const guint counts[] = { 10 };
  g_autofree char *checkpoint = g_strnfill (1000, 'c');
  FbPool *pool = NULL;
  FbPoolJob *job = add_job (&pool, counts, 1, 0);
  FbPoolStep *step = fb_pool_job_step (job, 0, 0);
  set_done (job, 0, 0, 0);
  for (guint i = 1; i < counts[0]; i++)
    fb_pool_task_set_checkpoint (step, i, checkpoint);
  (void) fb_pool_task_count_failed (&step->tasks[9], 4);
  FbPool *next = pass_on (job, counts, 1, 0, 5000);
  const FbPoolStep *restored = fb_pool_job_step (g_hash_table_lookup (next->jobs, JOB), 0, 0);
  guint checkpoints_n = 0;
  for (guint i = 0; i < counts[0]; i++)
    checkpoints_n += restored->tasks[i].checkpoint != NULL;
  CU_ASSERT_EQUAL (checkpoints_n, 4);
  CU_ASSERT_TRUE (restored->tasks[0].done);
  CU_ASSERT_EQUAL (fb_pool_task_failed_n (&restored->tasks[9]), 1);
  fb_pool_free (next);
  fb_pool_free (pool);
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("limits of records", NULL, NULL);
  CU_add_test (suite, "relayed start with long values", test_relayed_start_with_long_values);
  CU_add_test (suite, "relayed list with long checkpoints",
               test_relayed_list_with_long_checkpoints);
  CU_add_test (suite, "long names are stored", test_long_names_are_stored);
  CU_add_test (suite, "many services of a queue", test_many_services_of_a_queue);
  CU_add_test (suite, "done tasks beyond the rows of a record",
               test_done_tasks_beyond_the_rows_of_a_record);
  CU_add_test (suite, "done occurrences beyond the rows of a record",
               test_done_occurrences_beyond_the_rows_of_a_record);
  CU_add_test (suite, "checkpoints give way", test_checkpoints_give_way);
  CU_basic_set_mode (CU_BRM_NORMAL);
  CU_basic_run_tests ();
  guint failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
