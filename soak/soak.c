/* Fault-injection soak test.  Daemons and the stand-in platform run as processes; proxies and
 * signals inject overlapping faults while callers submit jobs.  Violations are detected only from
 * the responses to callers, the audit of the platform's workers and the state of the processes.
 *
 * A seed always gives the same plan of faults.  The processes run in real time, so runs with the
 * same seed still differ. */
#include "callers.h"
#include "faults.h"
#include "ports.h"

#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Below the system's range of ephemeral ports. */
#define FIRST_PORT 10000
#define PORT_RANGES 11
#define PORTS_PER_RANGE 900
#define PORTS_PER_DAEMON 4
#define TICK_MS 40
#define READY_MS 20000
/* Accepted jobs must end within this time after the last fault.  The expiry of leases, a takeover
 * and unresolved losses of crashed workers together take about 20 s. */
#define RECOVERY_MS 45000
#define CLEAR_FAULTS_TICKS 10
/* Daemons have applied a configuration after this time. */
#define APPLY_CONFIGURATION_MS 2000
/* A run goes on until tasks of all cancelled jobs would have been counted: for the bounds in
 * standin-platform-audit.c, and a little longer. */
#define IN_TOUCH_AFTER_MS 3000
#define WATCH_CANCELLED_MS 3700
/* Stops that take longer are waited for as well. */
#define WATCH_STOPS_MS (SOAK_LONGEST_STOP_MS - SOAK_SHORT_STOP_MS)

static gint option_seeds = 1;
static gint option_seed = 1;
static gint option_seconds = 25;
static gint option_daemons = 3;
static gint option_workers = 6;
static gint option_port = 0;
static gboolean option_without_worker_links = FALSE;
static gboolean option_queue_moves = FALSE;
static gboolean option_other_writer = FALSE;
static gboolean option_late_appends = FALSE;
static gboolean option_partitions = FALSE;
static gboolean option_outages = FALSE;
static gboolean option_stops = FALSE;
static gboolean option_restarts = FALSE;
static gboolean option_unlisted_stops = FALSE;
static gboolean option_without_start_times = FALSE;
static char *option_programs;
static char *option_folder;
static char *option_replay;

static const GOptionEntry options[] = {
  { "seeds", 0, 0, G_OPTION_ARG_INT, &option_seeds, "Number of runs, each with its own seed", "N" },
  { "seed", 0, 0, G_OPTION_ARG_INT, &option_seed, "The first seed", "S" },
  { "seconds", 0, 0, G_OPTION_ARG_INT, &option_seconds, "Duration of the faults", "N" },
  { "daemons", 0, 0, G_OPTION_ARG_INT, &option_daemons, "Daemons, 1 to 150", "N" },
  { "workers", 0, 0, G_OPTION_ARG_INT, &option_workers, "Workers, 1 to 250", "N" },
  { "without-worker-links", 0, 0, G_OPTION_ARG_NONE, &option_without_worker_links,
    "Workers only crash, and links between daemons have no faults", NULL },
  { "queue-moves", 0, 0, G_OPTION_ARG_NONE, &option_queue_moves,
    "The queue is directed to one service and another, and accepted jobs are submitted again",
    NULL },
  { "other-writer", 0, 0, G_OPTION_ARG_NONE, &option_other_writer,
    "Another program stores malformed records besides the faults", NULL },
  { "late-appends", 0, 0, G_OPTION_ARG_NONE, &option_late_appends,
    "The store executes appends late and without a response besides the faults", NULL },
  { "partitions", 0, 0, G_OPTION_ARG_NONE, &option_partitions,
    "The only faults are workers that refuse connections and expire, and kills", NULL },
  { "outages", 0, 0, G_OPTION_ARG_NONE, &option_outages,
    "The only faults are outages of the store, during each of which a sixth of the workers is "
    "cut off",
    NULL },
  { "stops", 0, 0, G_OPTION_ARG_NONE, &option_stops,
    "Stops take time and are frequent, and the faults are of workers and of the pool's owner",
    NULL },
  { "restarts", 0, 0, G_OPTION_ARG_NONE, &option_restarts,
    "Workers restart under their ids and are cut off soon after while long tasks run, and the "
    "other faults are of the pool's owner",
    NULL },
  { "unlisted-stops", 0, 0, G_OPTION_ARG_NONE, &option_unlisted_stops,
    "As --stops, and workers do not list a run that is being stopped", NULL },
  { "without-start-times", 0, 0, G_OPTION_ARG_NONE, &option_without_start_times,
    "Workers do not report when they were started", NULL },
  { "port", 0, 0, G_OPTION_ARG_INT, &option_port, "First port of the processes", "PORT" },
  { "programs", 0, 0, G_OPTION_ARG_STRING, &option_programs, "Build folder of the programs",
    "DIR" },
  { "folder", 0, 0, G_OPTION_ARG_STRING, &option_folder, "Folder for the files of failed runs",
    "DIR" },
  { "replay", 0, 0, G_OPTION_ARG_STRING, &option_replay, "Run the plan in DIR again", "DIR" },
  { NULL, 0, 0, 0, NULL, NULL, NULL }
};

typedef struct
{
  SoakPlanSetup plan;
  SoakSetup setup;
  SoakProcesses *processes;
  SoakCallers *callers;
  SoakPlatform *platform;
  SoakFaults *faults;
  gint64 calm_since_ms; /* by the monotonic clock; 0: faults are active */
  char *ends;           /* how runs have ended, as the audit tells; NULL: not asked */
  char *violation;      /* text of the first violation; NULL: none */
} SoakRun;

#define ENDS_KEY "\"ends\":\""

static guint
audit_count (const char *audit, const char *name)
{
  g_autofree char *key = g_strdup_printf ("\"%s\":", name);
  const char *at = audit != NULL ? strstr (audit, key) : NULL;
  return at != NULL ? (guint) atoi (at + strlen (key)) : 0;
}

/* ---- checks ------------------------------------------------------------------------------ */

static void
check_refused_jobs (SoakRun *run)
{
  g_auto (GStrv) refused = soak_callers_refused (run->callers);
  for (guint i = 0; refused[i] != NULL && run->violation == NULL; i++)
    {
      g_autofree char *path = g_strdup_printf ("/started?job=%s", refused[i]);
      g_autofree char *answer = soak_platform_request (run->platform, path, NULL);
      if (answer != NULL && strstr (answer, "true") != NULL)
        run->violation = g_strdup_printf (
            "all submissions of job %s were rejected, but it was started", refused[i]);
    }
}

static void
check_worker_audit (SoakRun *run)
{
  static const char *const counters[] = { "doubled", "over-capacity", "started-too-often",
                                          "cancelled-started", "cancelled-at-work" };
  g_autofree char *audit = soak_platform_request (run->platform, "/audit", NULL);
  if (audit == NULL)
    run->violation = g_strdup ("the stand-in platform does not respond");
  for (guint i = 0; i < G_N_ELEMENTS (counters) && run->violation == NULL; i++)
    {
      if (audit_count (audit, counters[i]) > 0)
        run->violation = g_strdup_printf ("audit of the workers: %s", audit);
    }
  const char *ends = audit != NULL ? strstr (audit, ENDS_KEY) : NULL;
  if (ends != NULL)
    run->ends = g_strndup (ends + strlen (ENDS_KEY), strcspn (ends + strlen (ENDS_KEY), "\""));
  guint cancelled = soak_callers_counts (run->callers).cancelled;
  if (run->violation == NULL && audit_count (audit, "cancelled") != cancelled)
    run->violation = g_strdup_printf ("the audit knows %u of %u cancelled jobs",
                                      audit_count (audit, "cancelled"), cancelled);
}

static void
check_violations (SoakRun *run)
{
  if (run->violation == NULL)
    run->violation = g_strdup (soak_callers_violation (run->callers));
  if (run->violation == NULL)
    run->violation = soak_processes_check (run->processes);
}

/* ---- one run --------------------------------------------------------------------------------- */

static gboolean
on_timeout (gpointer timed_out)
{
  *(gboolean *) timed_out = TRUE;
  return G_SOURCE_REMOVE;
}

static void
iterate_for_ms (guint ms)
{
  gboolean timed_out = FALSE;
  g_timeout_add (ms, on_timeout, &timed_out);
  while (!timed_out)
    g_main_context_iteration (NULL, TRUE);
}

static gboolean
wait_until_ready (SoakRun *run)
{
  gint64 until_us = g_get_monotonic_time () + READY_MS * 1000;
  guint ready = 0;
  while (ready < run->setup.daemon_n && g_get_monotonic_time () < until_us)
    {
      iterate_for_ms (100);
      ready = 0;
      for (guint i = 0; i < run->setup.daemon_n; i++)
        {
          g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/api/readyz",
                                                  soak_daemon_port (run->processes, i) + 1u);
          ready += soak_platform_is_ready (run->platform, url);
        }
    }
  return ready == run->setup.daemon_n;
}

/* Prepares the stand-in's workers and the configuration for a load with stops. */
static void
set_up_stops (SoakRun *run)
{
  soak_platform_control (run->platform,
                         "{\"stop-ms\":%u,\"slow-clocks\":true,\"low-priority-queue\":true,"
                         "\"unlisted-stops\":%s}",
                         SOAK_LONGEST_STOP_MS, option_unlisted_stops ? "true" : "false");
  iterate_for_ms (APPLY_CONFIGURATION_MS);
}

static void
set_up_restarts (SoakRun *run)
{
  soak_platform_control (run->platform, "{\"max-lease-ms\":%u,\"slow-clocks\":true}",
                         run->setup.max_lease_ms);
}

/* Tells the audit whether faults are active. */
static void
set_calm (SoakRun *run, gboolean calm)
{
  if (calm == (run->calm_since_ms != 0))
    return;
  run->calm_since_ms = calm ? g_get_monotonic_time () / 1000 : 0;
  soak_platform_control (run->platform, "{\"disrupted\":%s}", calm ? "false" : "true");
}

static void
run_plan (SoakRun *run, const GArray *plan, guint until_ms)
{
  gint64 began_us = g_get_monotonic_time ();
  guint next = 0;
  guint passed_ms = 0;
  while (run->violation == NULL && (passed_ms < until_ms || next < plan->len))
    {
      passed_ms = (guint) ((g_get_monotonic_time () - began_us) / 1000);
      for (; next < plan->len && g_array_index (plan, SoakFault, next).at_ms <= passed_ms; next++)
        {
          set_calm (run, FALSE);
          soak_faults_begin (run->faults, &g_array_index (plan, SoakFault, next));
        }
      soak_callers_tick (run->callers, FALSE);
      check_violations (run);
      iterate_for_ms (TICK_MS);
    }
}

/* Lets time pass until tasks of cancelled jobs that start or work too late have been counted. */
static void
watch_cancelled_jobs (SoakRun *run)
{
  gint64 ended_ms = g_get_monotonic_time () / 1000;
  gint64 until_ms = G_MAXINT64;
  soak_faults_clear (run->faults); /* they are still active if all jobs had ended by then */
  while (run->violation == NULL && g_get_monotonic_time () / 1000 < until_ms)
    {
      soak_callers_tick (run->callers, TRUE);
      check_violations (run);
      set_calm (run, soak_faults_are_over (run->faults));
      until_ms = run->calm_since_ms == 0
                     ? G_MAXINT64
                     : MAX (ended_ms, run->calm_since_ms + IN_TOUCH_AFTER_MS) + WATCH_CANCELLED_MS
                           + (run->setup.stops ? WATCH_STOPS_MS : 0);
      iterate_for_ms (TICK_MS);
    }
}

static void
run_recovery (SoakRun *run)
{
  gint64 until_us = g_get_monotonic_time () + RECOVERY_MS * 1000;
  for (guint tick = 0; run->violation == NULL && !soak_callers_all_ended (run->callers)
                       && g_get_monotonic_time () < until_us;
       tick++)
    {
      /* Repeated, because some faults, such as a rolling restart, still act after they were
       * cleared. */
      if (tick % CLEAR_FAULTS_TICKS == 0)
        soak_faults_clear (run->faults);
      set_calm (run, soak_faults_are_over (run->faults));
      soak_callers_tick (run->callers, TRUE);
      check_violations (run);
      iterate_for_ms (TICK_MS);
    }
  g_autofree char *unfinished = soak_callers_unfinished_job (run->callers);
  if (unfinished == NULL)
    watch_cancelled_jobs (run);
  check_refused_jobs (run);
  check_worker_audit (run);
  if (run->violation == NULL && unfinished != NULL)
    run->violation
        = g_strdup_printf ("job %s was accepted, but has not ended %u s after the last fault",
                           unfinished, RECOVERY_MS / 1000);
}

static void
save_plan (const SoakRun *run, const GArray *plan)
{
  g_autofree char *path = g_build_filename (run->setup.folder, "plan.txt", NULL);
  g_autofree char *text = soak_plan_text (plan);
  g_autofree char *contents = g_strdup_printf (
      "seed=%u seconds=%d daemons=%u workers=%u worker-links=%d queue-moves=%d partitions=%d "
      "outages=%d start-times=%d other-writer=%d late-appends=%d stops=%d "
      "unlisted-stops=%d restarts=%d\n%s",
      run->plan.seed, option_seconds, run->setup.daemon_n, run->setup.worker_n,
      run->plan.worker_links, run->plan.queue_moves, run->plan.partitions, run->plan.outages,
      run->setup.start_times, run->plan.other_writer, run->plan.late_appends, run->plan.stops,
      option_unlisted_stops, run->plan.restarts, text);
  (void) g_file_set_contents (path, contents, -1, NULL);
}

static void
remove_folder (const char *folder)
{
  g_autoptr (GDir) dir = g_dir_open (folder, 0, NULL);
  const char *name = NULL;
  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      g_autofree char *path = g_build_filename (folder, name, NULL);
      (void) g_remove (path);
    }
  (void) g_rmdir (folder);
}

/* Returns: TRUE when there was a violation. */
static gboolean
run_seed (guint32 seed)
{
  g_autofree char *name = g_strdup_printf ("seed-%u", seed);
  g_autofree char *folder = g_build_filename (option_folder, name, NULL);
  remove_folder (folder);
  (void) g_mkdir_with_parents (folder, 0755);
  SoakRun run
      = { .plan = { .seed = seed,
                    .daemon_n = (guint) option_daemons,
                    .worker_n = (guint) option_workers,
                    .duration_ms = (guint) option_seconds * 1000,
                    .worker_links = !option_without_worker_links,
                    .queue_moves = option_queue_moves,
                    .other_writer = option_other_writer,
                    .late_appends = option_late_appends,
                    .partitions = option_partitions,
                    .stops = option_stops,
                    .restarts = option_restarts,
                    .outages = option_outages },
          .setup = { .base_port = (guint16) option_port,
                     .daemon_n = (guint) option_daemons,
                     .worker_n = (guint) option_workers,
                     .worker_links = !option_without_worker_links,
                     .queue_moves = option_queue_moves,
                     .start_times = !option_without_start_times,
                     .stops = option_stops,
                     .max_lease_ms = option_restarts ? SOAK_LONG_MAX_LEASE_MS : SOAK_MAX_LEASE_MS,
                     .folder = folder,
                     .programs = option_programs } };
  g_autoptr (GArray) plan = soak_plan_new (&run.plan);
  save_plan (&run, plan);
  run.platform = soak_platform_new (run.setup.base_port);
  run.processes = soak_processes_new (&run.setup);
  SoakCounts counts = { 0 };
  if (run.processes == NULL || !wait_until_ready (&run))
    run.violation = g_strdup ("the processes did not start");
  else
    {
      run.calm_since_ms = g_get_monotonic_time () / 1000;
      if (option_stops)
        set_up_stops (&run);
      if (option_restarts)
        set_up_restarts (&run);
      run.faults = soak_faults_new (run.processes, run.platform, &run.plan);
      const SoakCallersSetup callers = { .repeats = option_queue_moves,
                                         .lasting = option_partitions || option_outages,
                                         .stops = option_stops,
                                         .long_tasks = option_restarts,
                                         .heavy = option_outages };
      run.callers
          = soak_callers_new (run.processes, run.platform, run.setup.daemon_n, seed, &callers);
      run_plan (&run, plan, (guint) option_seconds * 1000);
      run_recovery (&run);
      counts = soak_callers_counts (run.callers);
      soak_callers_free (run.callers);
      soak_faults_free (run.faults);
    }
  g_clear_pointer (&run.processes, soak_processes_free);
  soak_platform_free (run.platform);
  printf ("seed %u: %u faults, %u jobs, %u accepted, %u cancelled, %u ended, %u calls answered, %u "
          "not%s%s: %s\n",
          seed, plan->len, counts.submitted, counts.accepted, counts.cancelled, counts.ended,
          counts.answered, counts.unanswered, option_stops ? "; runs ended: " : "",
          option_stops && run.ends != NULL ? run.ends : "",
          run.violation != NULL ? run.violation : "no violation");
  fflush (stdout);
  gboolean has_violation = run.violation != NULL;
  if (!has_violation)
    remove_folder (folder);
  g_free (run.ends);
  g_free (run.violation);
  return has_violation;
}

/* Sets the options from the first line of the plan in FOLDER. */
static gboolean
read_replay (const char *folder)
{
  g_autofree char *path = g_build_filename (folder, "plan.txt", NULL);
  g_autofree char *text = NULL;
  gint links = 0;
  gint moves = 0;
  gint partitions = 0;
  gint outages = 0;
  gint start_times = 1;
  gint other_writer = 0;
  gint late_appends = 0;
  gint stops = 0;
  gint unlisted_stops = 0;
  gint restarts = 0;
  if (!g_file_get_contents (path, &text, NULL, NULL)
      || sscanf (text,
                 "seed=%d seconds=%d daemons=%d workers=%d worker-links=%d queue-moves=%d "
                 "partitions=%d outages=%d start-times=%d other-writer=%d late-appends=%d stops=%d "
                 "unlisted-stops=%d restarts=%d",
                 &option_seed, &option_seconds, &option_daemons, &option_workers, &links, &moves,
                 &partitions, &outages, &start_times, &other_writer, &late_appends, &stops,
                 &unlisted_stops, &restarts)
             < 4)
    return FALSE;
  option_without_worker_links = links == 0;
  option_queue_moves = moves != 0;
  option_partitions = partitions != 0;
  option_outages = outages != 0;
  option_without_start_times = start_times == 0;
  option_other_writer = other_writer != 0;
  option_late_appends = late_appends != 0;
  option_stops = stops != 0;
  option_unlisted_stops = unlisted_stops != 0;
  option_restarts = restarts != 0;
  option_seeds = 1;
  return TRUE;
}

static gboolean
options_are_valid (void)
{
  return option_seeds > 0 && option_seed > 0 && option_seconds > 0 && option_daemons >= 1
         && option_daemons <= 150 && option_workers >= 1 && option_workers <= 250
         && option_port > 1024 && option_port < 60000
         && !((option_partitions || option_outages || option_stops || option_restarts)
              && option_without_worker_links)
         && option_partitions + option_outages + option_restarts <= 1
         && !(option_stops && option_restarts);
}

/* Returns: the first port of a range whose first N ports are free; the search begins at a range
 * derived from the process id.  When no range is free: the first port of the last one tried. */
static gint
find_free_ports (guint n)
{
  gint port = FIRST_PORT;
  for (gint i = 0; i < PORT_RANGES; i++)
    {
      port = FIRST_PORT + (getpid () + i) % PORT_RANGES * PORTS_PER_RANGE;
      if (soak_ports_are_free ((guint) port, n))
        break;
    }
  return port;
}

int
main (int argc, char **argv)
{
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- soak test of daemons under injected faults");
  g_autoptr (GError) error = NULL;
  option_programs = g_strdup ("build");
  option_folder = g_strdup ("out/soak");
  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || argc > 1)
    {
      fprintf (stderr, "soak: %s\n", error != NULL ? error->message : "too many arguments");
      return 2;
    }
  option_stops = option_stops || option_unlisted_stops;
  if (option_replay != NULL && !read_replay (option_replay))
    {
      fprintf (stderr, "soak: %s has no plan to replay\n", option_replay);
      return 2;
    }
  guint ports_n = 1 + (guint) (option_workers + PORTS_PER_DAEMON * option_daemons);
  if (option_port == 0)
    option_port = find_free_ports (ports_n);
  if (!options_are_valid ())
    {
      fprintf (stderr, "soak: an option is out of range, see --help\n");
      return 2;
    }
  if (!soak_ports_are_free ((guint) option_port, ports_n))
    {
      fprintf (stderr, "soak: some of the %u ports from %d on are in use\n", ports_n, option_port);
      return 2;
    }
  guint violations_n = 0;
  for (gint i = 0; i < option_seeds; i++)
    violations_n += run_seed ((guint32) (option_seed + i));
  printf ("%d seeds, %u with violations\n", option_seeds, violations_n);
  return violations_n > 0;
}
