/* Counts the work of one iteration of a daemon's main loop while the daemon takes a pool over. It
 * must have a bound that does not depend on the backlog.
 *
 * A pool with about a thousand waiting jobs made no progress for the rest of the day after its
 * owner had failed. Each new owner loaded all jobs in one iteration of its main loop and visited
 * all waiting tasks in each of the next iterations. Its group join, which takes several iterations,
 * was therefore later than the membership's time to live; the store assigned the pool to the next
 * daemon, where the same happened. With 12% of a core, 250 workers and 1,000 jobs of 20 tasks, the
 * iteration that loaded the jobs used 15 to 33 ms of CPU time and the four iterations after
 * recovery used 37, 40, 42 and 85 ms, which takes 1.7 s of real time; the pool was lost right after
 * them. */
#include "busy-pool.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "internal/codec.h"
#include "internal/pool-private.h"
#include "platform/wire.h"
#include "src/entry/entry-private.h"
#include "src/entry/entry.h"

#include <CUnit/Basic.h>
#include <fcntl.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

static GString *report; /* the counts, printed at the end */

/* ---- workers and runs visited in an iteration ---------------------------------------------- */

static guint visits;

gboolean __real_g_hash_table_iter_next (GHashTableIter *iter, gpointer *key, gpointer *value);
gboolean __wrap_g_hash_table_iter_next (GHashTableIter *iter, gpointer *key, gpointer *value);
FbPoolWorker *__real_fb_pool_worker_slots_next (const FbPool *self, guint *slot);
FbPoolWorker *__wrap_fb_pool_worker_slots_next (const FbPool *self, guint *slot);

gboolean
__wrap_g_hash_table_iter_next (GHashTableIter *iter, gpointer *key, gpointer *value)
{
  visits++;
  return __real_g_hash_table_iter_next (iter, key, value);
}

FbPoolWorker *
__wrap_fb_pool_worker_slots_next (const FbPool *self, guint *slot)
{
  visits++;
  return __real_fb_pool_worker_slots_next (self, slot);
}

/* A new owner with a backlog visits a bounded number of workers and runs in each iteration, so that
 * group joins are not delayed, and still uses the whole capacity. */
static void
test_placing_work_per_iteration_is_bounded (void)
{
  static BusyPool busy;
  uint64_t now_ms = 100000;
  guint max_visits = 0;
  busy_pool_begin (&busy, now_ms);
  busy_pool_admit_backlog (&busy, 0, "", now_ms);
  busy_pool_list_workers (&busy, now_ms);
  for (uint64_t end_ms = now_ms + SIMULATED_MS; now_ms < end_ms; now_ms += TICK_MS)
    {
      visits = 0;
      fb_pool_tick (busy.pool, TRUE, now_ms, WALL_OFFSET_MS + now_ms);
      max_visits = MAX (max_visits, visits);
      busy_pool_answer_all (&busy, now_ms);
    }
  g_string_append_printf (
      report, "placing: %u workers and runs visited in one iteration, expected at most %d\n",
      max_visits, MAX_VISITS_PER_ITERATION);
  CU_ASSERT_TRUE (max_visits > 0); /* 0: the counting wrappers are not linked */
  CU_ASSERT_TRUE (max_visits <= MAX_VISITS_PER_ITERATION);
  CU_ASSERT_EQUAL (busy.started_n, WORKER_N * (WORKER_CPU / TASK_CPU));
  busy_pool_clear (&busy);
}

/* ---- loading ----------------------------------------------------------------------- */

#define STORED_JOB_N 4000
/* Time to load one job on 4% of a core; all jobs together take 2 s. */
#define JOB_DELAY_US 500
#define MEMBER_TTL_MS 1000
#define TIMEOUT_MS 30000
#define PARTITIONS 32

static struct
{
  gboolean is_counting;
  guint jobs_this_iteration;
  guint max_jobs_per_iteration;
  guint jobs;
  guint joins; /* since the first job was loaded */
  uint64_t last_join_ms;
  uint64_t longest_gap_ms; /* between two joins, or from the last join to the end of loading */
  uint64_t started_ms;
  gboolean stopped;
} load;

static uint64_t
monotonic_ms (void)
{
  return (uint64_t) g_get_monotonic_time () / 1000;
}

void __real_fb_pool_add_job_take (FbPool *self, const char *job, fb_work_admit *record,
                                  const FbPoolReceipt *receipt, uint64_t now_ms, uint64_t wall_ms);
void __wrap_fb_pool_add_job_take (FbPool *self, const char *job, fb_work_admit *record,
                                  const FbPoolReceipt *receipt, uint64_t now_ms, uint64_t wall_ms);
void __real_fb_wire_join (FbHttpCall *call, const char *store, const char *group,
                          const char *member, const char *const *topics, uint32_t ttl_ms,
                          uint64_t generation);
void __wrap_fb_wire_join (FbHttpCall *call, const char *store, const char *group,
                          const char *member, const char *const *topics, uint32_t ttl_ms,
                          uint64_t generation);

void
__wrap_fb_pool_add_job_take (FbPool *self, const char *job, fb_work_admit *record,
                             const FbPoolReceipt *receipt, uint64_t now_ms, uint64_t wall_ms)
{
  if (load.is_counting)
    {
      load.jobs_this_iteration++;
      load.jobs++;
      g_usleep (JOB_DELAY_US);
    }
  __real_fb_pool_add_job_take (self, job, record, receipt, now_ms, wall_ms);
}

static void
update_longest_gap (void)
{
  if (load.jobs > 0)
    load.longest_gap_ms = MAX (load.longest_gap_ms, monotonic_ms () - load.last_join_ms);
}

void
__wrap_fb_wire_join (FbHttpCall *call, const char *store, const char *group, const char *member,
                     const char *const *topics, uint32_t ttl_ms, uint64_t generation)
{
  if (g_str_equal (group, "owners"))
    {
      update_longest_gap ();
      load.last_join_ms = monotonic_ms ();
      load.joins += load.jobs > 0;
    }
  __real_fb_wire_join (call, store, group, member, topics, ttl_ms, generation);
}

/* Runs at the start of each iteration of the main loop. */
static gboolean
on_iteration_start (GSource *source, gint *timeout_ms)
{
  (void) source;
  *timeout_ms = -1;
  load.max_jobs_per_iteration = MAX (load.max_jobs_per_iteration, load.jobs_this_iteration);
  load.jobs_this_iteration = 0;
  gboolean loaded = load.jobs >= STORED_JOB_N && fb_counter_get (FB_COUNTER_TAKE_OVERS) > 0;
  if (load.stopped || (!loaded && monotonic_ms () < load.started_ms + TIMEOUT_MS))
    return FALSE;
  update_longest_gap ();
  load.is_counting = FALSE;
  load.stopped = TRUE;
  (void) raise (SIGTERM);
  return FALSE;
}

static GSourceFuncs iteration_funcs = { .prepare = on_iteration_start };

static GByteArray *
stored_jobs (void)
{
  GByteArray *body = g_byte_array_new ();
  for (guint i = 0; i < STORED_JOB_N; i++)
    {
      fb_work_admit record;
      fb_work_step step;
      g_autofree char *key = g_strdup_printf ("%c%016x", FB_KEY_JOB, i + 1);
      busy_pool_init_job (&record, &step);
      g_autoptr (GBytes) value = fb_codec_encode_admit (&record);
      fb_wire_encode_record (body, key, value);
    }
  return body;
}

static gboolean
store_jobs (guint port)
{
  g_autofree char *store = g_strdup_printf ("127.0.0.1:%u", port);
  guint partition = (guint) (XXH64 (SERVICE, strlen (SERVICE), 0) % PARTITIONS);
  g_autofree char *url = g_strdup_printf ("http://%s/api/log-append?topic=%s&part=%u", store,
                                          FB_TOPIC_JOBS, partition);
  g_autoptr (SoupSession) session = soup_session_new ();
  g_autoptr (SoupMessage) message = soup_message_new ("POST", url);
  g_autoptr (GBytes) body = g_byte_array_free_to_bytes (stored_jobs ());
  soup_message_set_request_body_from_bytes (message, "application/octet-stream", body);
  g_autoptr (GBytes) answer = soup_session_send_and_read (session, message, NULL, NULL);
  return answer != NULL && soup_message_get_status (message) == SOUP_STATUS_OK;
}

static gboolean
is_listening (guint port)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_autoptr (GSocketConnection) connection
      = g_socket_client_connect_to_host (client, "127.0.0.1", (guint16) port, NULL, NULL);
  return connection != NULL;
}

/* Starts the stand-in of the platform and stores the jobs in it. Sets *PORT to the first free port
 * from *PORT on, in steps of 20. Returns: (transfer full) (nullable): its process. */
static GSubprocess *
start_platform (const char *program, guint *port)
{
  for (guint tries = 0; tries < 50; tries++, *port += 20)
    {
      g_autofree char *text = g_strdup_printf ("%u", *port);
      if (is_listening (*port))
        continue;
      GSubprocess *platform
          = g_subprocess_new (G_SUBPROCESS_FLAGS_NONE, NULL, program, text, "2", NULL);
      while (platform != NULL && g_subprocess_get_identifier (platform) != NULL)
        {
          if (store_jobs (*port))
            return platform;
          g_usleep (20000);
        }
      g_clear_object (&platform);
    }
  return NULL;
}

static char *
write_settings (const char *folder, guint port)
{
  char *path = g_build_filename (folder, "daemon.ini", NULL);
  g_autofree char *text = g_strdup_printf (
      "[daemon]\nname=d\ndomain=z\ngrace=1s\n[listen]\ncallers=127.0.0.1:%u\n"
      "readiness=127.0.0.1:%u\npeers=127.0.0.1:%u\nmetrics=127.0.0.1:%u\n[store]\n"
      "address=127.0.0.1:%u\npartitions=%u\nshortest-membership=%ums\n[workers]\n"
      "longest-lease=6000ms\nlongest-stop=200ms\ngang-patience=3000ms\n",
      port + 10, port + 11, port + 12, port + 13, port, PARTITIONS, MEMBER_TTL_MS);
  g_file_set_contents (path, text, -1, NULL);
  return path;
}

static void
run_daemon (const char *settings)
{
  GSource *iteration_source = g_source_new (&iteration_funcs, sizeof (GSource));
  g_source_set_priority (iteration_source, G_PRIORITY_HIGH * 10);
  g_source_attach (iteration_source, NULL);
  /* The daemon's log lines are discarded. */
  int stdout_fd = dup (STDOUT_FILENO);
  int null_fd = open ("/dev/null", O_WRONLY | O_CLOEXEC);
  (void) fflush (stdout);
  (void) dup2 (null_fd, STDOUT_FILENO);
  fb_event_set_quiet (FALSE);
  load.is_counting = TRUE;
  load.started_ms = monotonic_ms ();
  CU_ASSERT_EQUAL (fb_entry_main (settings, FALSE), 0);
  fb_event_set_quiet (TRUE);
  (void) dup2 (stdout_fd, STDOUT_FILENO);
  close (null_fd);
  close (stdout_fd);
  g_source_destroy (iteration_source);
  g_source_unref (iteration_source);
}

static const char *platform_program;

/* A daemon that loads a pool joins the group in time, whatever the size of the pool and its own
 * speed, because one iteration loads a bounded number of jobs. */
static void
test_group_joins_continue_while_loading (void)
{
  guint port = 10000 + (guint) getpid () % 200 * 50;
  GSubprocess *platform = start_platform (platform_program, &port);
  CU_ASSERT_PTR_NOT_NULL_FATAL (platform);
  g_autofree char *folder = g_dir_make_tmp ("takeover-XXXXXX", NULL);
  g_autofree char *settings = write_settings (folder, port);
  run_daemon (settings);
  g_subprocess_force_exit (platform);
  (void) g_subprocess_wait (platform, NULL, NULL);
  g_object_unref (platform);
  (void) unlink (settings);
  (void) rmdir (folder);
  g_string_append_printf (report,
                          "loading: %u jobs, at most %u in one iteration, expected at most %d; %u "
                          "joins, longest gap %u ms, expected less than %d\n",
                          load.jobs, load.max_jobs_per_iteration, MAX_JOBS_PER_ITERATION,
                          load.joins, (guint) load.longest_gap_ms, MEMBER_TTL_MS);
  CU_ASSERT_EQUAL (load.jobs, STORED_JOB_N);
  CU_ASSERT_TRUE (load.max_jobs_per_iteration <= MAX_JOBS_PER_ITERATION);
  CU_ASSERT_TRUE (load.joins > 0);
  CU_ASSERT_TRUE (load.longest_gap_ms < MEMBER_TTL_MS);
}

int
main (int argc, char **argv)
{
  if (argc != 2)
    {
      fprintf (stderr, "usage: test-takeover STANDIN-PLATFORM\n");
      return 2;
    }
  platform_program = argv[1];
  report = g_string_new (NULL);
  fb_event_set_quiet (TRUE);
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("takeover", NULL, NULL);
  CU_add_test (suite, "group joins continue while loading",
               test_group_joins_continue_while_loading);
  CU_add_test (suite, "placing work per iteration is bounded",
               test_placing_work_per_iteration_is_bounded);
  CU_basic_set_mode (CU_BRM_NORMAL);
  CU_basic_run_tests ();
  guint failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  printf ("\n%s", report->str);
  g_string_free (report, TRUE);
  return failures == 0 ? 0 : 1;
}
