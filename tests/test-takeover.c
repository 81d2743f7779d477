/* What one turn of a daemon's main loop does while it takes a pool over, counted.
 *
 * What users saw: a pool with some thousand waiting jobs stood still for the rest of the day,
 * while the other pool of the same daemons went on; nothing of it ended in time.
 * Order: its owner died; another daemon was dealt it, loaded all jobs in one turn and went
 * through all that waited in each of the next ones; its join of the group waited behind these
 * turns for longer than the time to live; the store dealt the pool to the next daemon, which did
 * the same.
 * Cause: the length of a turn grew with the backlog, and a join takes several turns.
 * Evidence: on 12% of a core with 250 workers and 1,000 jobs of 20 tasks the turn that took the
 * jobs in used 15 to 33 ms of processor, and the four after the pool was settled 37, 40, 42 and
 * 85 ms, which is 1.7 s; each time the pool was lost right after them. */
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

static GString *report; /* what was counted */

/* ---- what a turn goes through -------------------------------------------------- */

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

/* A new owner with a backlog goes through what waits in turns that a join fits between, and
 * fills all places all the same. */
static void
test_placing_leaves_turns_to_others (void)
{
  static BusyPool play;
  uint64_t now_ms = 100000;
  guint most = 0;
  busy_pool_begin (&play, now_ms);
  busy_pool_admit_backlog (&play, 0, "", now_ms);
  busy_pool_list_workers (&play, now_ms);
  for (uint64_t end_ms = now_ms + PLAY_MS; now_ms < end_ms; now_ms += STEP_MS)
    {
      visits = 0;
      fb_pool_tick (play.pool, TRUE, now_ms, WALL_MS + now_ms);
      most = MAX (most, visits);
      busy_pool_answer_all (&play, now_ms);
    }
  g_string_append_printf (
      report, "placing: %u workers and runs gone through in one turn, expected at most %d\n", most,
      TURN_VISITS);
  CU_ASSERT_TRUE (most > 0); /* else nothing was counted */
  CU_ASSERT_TRUE (most <= TURN_VISITS);
  CU_ASSERT_EQUAL (play.started_n, WORKER_N * (WORKER_CPU / TASK_CPU));
  busy_pool_clear (&play);
}

/* ---- loading ----------------------------------------------------------------------- */

#define STORED_N 4000
/* What a job costs a daemon on 4% of a core: all of them take 2 s. */
#define SLOW_US 500
#define TTL_MS 1000
#define GIVE_UP_MS 30000
#define PARTITIONS 32

static struct
{
  gboolean counts;
  guint turn_jobs;
  guint most_jobs; /* in one turn */
  guint jobs;
  guint joins; /* since the first job was taken in */
  uint64_t joined_ms;
  uint64_t longest_ms; /* between two joins, or since the last */
  uint64_t began_ms;
  gboolean stopped;
} load;

static uint64_t
now (void)
{
  return (uint64_t) g_get_monotonic_time () / 1000;
}

void __real_fb_pool_admit_owned (FbPool *self, const char *job, fb_work_admit *record,
                                 uint64_t now_ms, uint64_t wall_ms);
void __wrap_fb_pool_admit_owned (FbPool *self, const char *job, fb_work_admit *record,
                                 uint64_t now_ms, uint64_t wall_ms);
void __real_fb_wire_join (FbHttpCall *call, const char *store, const char *group,
                          const char *member, const char *const *topics, uint32_t ttl_ms,
                          uint64_t generation);
void __wrap_fb_wire_join (FbHttpCall *call, const char *store, const char *group,
                          const char *member, const char *const *topics, uint32_t ttl_ms,
                          uint64_t generation);

void
__wrap_fb_pool_admit_owned (FbPool *self, const char *job, fb_work_admit *record, uint64_t now_ms,
                            uint64_t wall_ms)
{
  if (load.counts)
    {
      load.turn_jobs++;
      load.jobs++;
      g_usleep (SLOW_US);
    }
  __real_fb_pool_admit_owned (self, job, record, now_ms, wall_ms);
}

static void
note_gap (void)
{
  if (load.jobs > 0)
    load.longest_ms = MAX (load.longest_ms, now () - load.joined_ms);
}

void
__wrap_fb_wire_join (FbHttpCall *call, const char *store, const char *group, const char *member,
                     const char *const *topics, uint32_t ttl_ms, uint64_t generation)
{
  if (g_str_equal (group, "owners"))
    {
      note_gap ();
      load.joined_ms = now ();
      load.joins += load.jobs > 0;
    }
  __real_fb_wire_join (call, store, group, member, topics, ttl_ms, generation);
}

/* Runs at the start of each turn of the main loop. */
static gboolean
on_turn (GSource *source, gint *timeout_ms)
{
  (void) source;
  *timeout_ms = -1;
  load.most_jobs = MAX (load.most_jobs, load.turn_jobs);
  load.turn_jobs = 0;
  gboolean loaded = load.jobs >= STORED_N && fb_counter_get (FB_COUNTER_TAKE_OVERS) > 0;
  if (load.stopped || (!loaded && now () < load.began_ms + GIVE_UP_MS))
    return FALSE;
  note_gap ();
  load.counts = FALSE;
  load.stopped = TRUE;
  (void) raise (SIGTERM);
  return FALSE;
}

static GSourceFuncs turn_funcs = { .prepare = on_turn };

static GByteArray *
stored_jobs (void)
{
  GByteArray *body = g_byte_array_new ();
  for (guint i = 0; i < STORED_N; i++)
    {
      fb_work_admit record;
      fb_work_step step;
      g_autofree char *key = g_strdup_printf ("%c%016x", FB_KEY_JOB, i + 1);
      busy_fill_job (&record, &step);
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
somebody_listens (guint port)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_autoptr (GSocketConnection) connection
      = g_socket_client_connect_to_host (client, "127.0.0.1", (guint16) port, NULL, NULL);
  return connection != NULL;
}

/* Returns: (transfer full) (nullable): a stand-in of the platform that holds the jobs, at the
 * first of the ports from *PORT on that are free. */
static GSubprocess *
start_platform (const char *program, guint *port)
{
  for (guint tries = 0; tries < 50; tries++, *port += 20)
    {
      g_autofree char *text = g_strdup_printf ("%u", *port);
      if (somebody_listens (*port))
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
      port + 10, port + 11, port + 12, port + 13, port, PARTITIONS, TTL_MS);
  g_file_set_contents (path, text, -1, NULL);
  return path;
}

static void
run_daemon (const char *settings)
{
  GSource *turns = g_source_new (&turn_funcs, sizeof (GSource));
  g_source_set_priority (turns, G_PRIORITY_HIGH * 10);
  g_source_attach (turns, NULL);
  /* Its lines are not looked at. */
  int out = dup (STDOUT_FILENO);
  int nowhere = open ("/dev/null", O_WRONLY | O_CLOEXEC);
  (void) fflush (stdout);
  (void) dup2 (nowhere, STDOUT_FILENO);
  fb_event_set_quiet (FALSE);
  load.counts = TRUE;
  load.began_ms = now ();
  CU_ASSERT_EQUAL (fb_entry_main (settings, FALSE), 0);
  fb_event_set_quiet (TRUE);
  (void) dup2 (out, STDOUT_FILENO);
  close (nowhere);
  close (out);
  g_source_destroy (turns);
  g_source_unref (turns);
}

static const char *platform_program;

/* While a daemon takes a pool over it goes on joining, whatever the pool's size and however slow
 * it is itself: no turn takes in more than a bounded number of jobs. */
static void
test_loading_leaves_turns_to_joins (void)
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
  g_string_append_printf (
      report,
      "loading: %u jobs, at most %u in one turn, expected at most %d; %u joins, longest without "
      "one %u ms, expected less than %d\n",
      load.jobs, load.most_jobs, TURN_JOBS, load.joins, (guint) load.longest_ms, TTL_MS);
  CU_ASSERT_EQUAL (load.jobs, STORED_N);
  CU_ASSERT_TRUE (load.most_jobs <= TURN_JOBS);
  CU_ASSERT_TRUE (load.joins > 0);
  CU_ASSERT_TRUE (load.longest_ms < TTL_MS);
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
  CU_add_test (suite, "loading leaves turns to joins", test_loading_leaves_turns_to_joins);
  CU_add_test (suite, "placing leaves turns to others", test_placing_leaves_turns_to_others);
  CU_basic_set_mode (CU_BRM_NORMAL);
  CU_basic_run_tests ();
  guint failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  printf ("\n%s", report->str);
  g_string_free (report, TRUE);
  return failures == 0 ? 0 : 1;
}
