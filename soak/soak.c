/* A fault soak: real daemons and a stand-in of the platform as processes of their own, faults from
 * outside by links and signals, in series and overlapping, while callers work.  What callers and
 * workers see alone is judged.
 *
 * The plan of a seed is the same each time; the processes are real, so that what happens in it need
 * not be. */
#include "callers.h"
#include "faults.h"
#include "ports.h"

#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Below the ports that the system gives to connections. */
#define FIRST_PORT 10000
#define PORT_RANGES 11
#define RANGE_PORTS 900
#define PORTS_OF_DAEMON 4
#define TURN_MS 40
#define READY_MS 20000
/* After the faults all that was accepted has this long to end: leases, a take-over and doubts about
 * crashed workers take some 20 s one after the other. */
#define HEAL_MS 45000
#define HEAL_TURNS 10

static gint option_seeds = 1;
static gint option_seed = 1;
static gint option_seconds = 25;
static gint option_daemons = 3;
static gint option_workers = 6;
static gint option_port = 0;
static gboolean option_without_worker_links = FALSE;
static char *option_programs;
static char *option_folder;
static char *option_replay;

static const GOptionEntry options[]
    = { { "seeds", 0, 0, G_OPTION_ARG_INT, &option_seeds, "Plays, one a seed", "N" },
        { "seed", 0, 0, G_OPTION_ARG_INT, &option_seed, "The first seed", "S" },
        { "seconds", 0, 0, G_OPTION_ARG_INT, &option_seconds, "Faults come for so long", "N" },
        { "daemons", 0, 0, G_OPTION_ARG_INT, &option_daemons, "Daemons, 1 to 150", "N" },
        { "workers", 0, 0, G_OPTION_ARG_INT, &option_workers, "Workers, 1 to 250", "N" },
        { "without-worker-links", 0, 0, G_OPTION_ARG_NONE, &option_without_worker_links,
          "Neither faults of workers but crashes, nor of links between daemons", NULL },
        { "port", 0, 0, G_OPTION_ARG_INT, &option_port, "First port of the processes", "PORT" },
        { "programs", 0, 0, G_OPTION_ARG_STRING, &option_programs, "Where they were built", "DIR" },
        { "folder", 0, 0, G_OPTION_ARG_STRING, &option_folder, "Where plays that failed are kept",
          "DIR" },
        { "replay", 0, 0, G_OPTION_ARG_STRING, &option_replay, "Play that of DIR again", "DIR" },
        { NULL, 0, 0, 0, NULL, NULL, NULL } };

typedef struct
{
  SoakPlanSetup plan;
  SoakSetup setup;
  SoakProcesses *processes;
  SoakCallers *callers;
  SoakPlatform *platform;
  SoakFaults *faults;
  char *broken; /* the first promise that was */
} Play;

static guint
count_of (const char *audit, const char *name)
{
  g_autofree char *key = g_strdup_printf ("\"%s\":", name);
  const char *at = audit != NULL ? strstr (audit, key) : NULL;
  return at != NULL ? (guint) atoi (at + strlen (key)) : 0;
}

/* ---- judging ----------------------------------------------------------------------------- */

static void
judge_refused (Play *play)
{
  g_auto (GStrv) refused = soak_callers_refused (play->callers);
  for (guint i = 0; refused[i] != NULL && play->broken == NULL; i++)
    {
      g_autofree char *path = g_strdup_printf ("/started?job=%s", refused[i]);
      g_autofree char *answer = soak_platform_ask (play->platform, path, NULL);
      if (answer != NULL && strstr (answer, "true") != NULL)
        play->broken = g_strdup_printf ("job %s was refused by all and was started", refused[i]);
    }
}

static void
judge_workers (Play *play)
{
  static const char *const promises[] = { "doubled", "over-capacity", "started-too-often" };
  g_autofree char *audit = soak_platform_ask (play->platform, "/audit", NULL);
  if (audit == NULL)
    play->broken = g_strdup ("the stand-in answers nothing");
  for (guint i = 0; i < G_N_ELEMENTS (promises) && play->broken == NULL; i++)
    {
      if (count_of (audit, promises[i]) > 0)
        play->broken = g_strdup_printf ("workers saw %s", audit);
    }
}

static void
judge (Play *play)
{
  if (play->broken == NULL)
    play->broken = g_strdup (soak_callers_broken (play->callers));
  if (play->broken == NULL)
    play->broken = soak_processes_check (play->processes);
}

/* ---- one play -------------------------------------------------------------------------------- */

static gboolean
wake (gpointer woken)
{
  *(gboolean *) woken = TRUE;
  return G_SOURCE_REMOVE;
}

static void
pause_ms (guint ms)
{
  gboolean woken = FALSE;
  g_timeout_add (ms, wake, &woken);
  while (!woken)
    g_main_context_iteration (NULL, TRUE);
}

static gboolean
wait_until_ready (Play *play)
{
  gint64 until_us = g_get_monotonic_time () + READY_MS * 1000;
  guint ready = 0;
  while (ready < play->setup.daemon_n && g_get_monotonic_time () < until_us)
    {
      pause_ms (100);
      ready = 0;
      for (guint i = 0; i < play->setup.daemon_n; i++)
        {
          g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/api/readyz",
                                                  soak_daemon_port (play->processes, i) + 1u);
          ready += soak_platform_is_ready (play->platform, url);
        }
    }
  return ready == play->setup.daemon_n;
}

static void
run_plan (Play *play, const GArray *plan, guint until_ms)
{
  gint64 began_us = g_get_monotonic_time ();
  guint next = 0;
  guint passed_ms = 0;
  while (play->broken == NULL && (passed_ms < until_ms || next < plan->len))
    {
      passed_ms = (guint) ((g_get_monotonic_time () - began_us) / 1000);
      for (; next < plan->len && g_array_index (plan, SoakFault, next).at_ms <= passed_ms; next++)
        soak_faults_begin (play->faults, &g_array_index (plan, SoakFault, next));
      soak_callers_turn (play->callers, FALSE);
      judge (play);
      pause_ms (TURN_MS);
    }
}

static void
run_calm (Play *play)
{
  gint64 until_us = g_get_monotonic_time () + HEAL_MS * 1000;
  for (guint turn = 0; play->broken == NULL && !soak_callers_all_ended (play->callers)
                       && g_get_monotonic_time () < until_us;
       turn++)
    {
      /* What a fault that ends late has changed is put right again. */
      if (turn % HEAL_TURNS == 0)
        soak_faults_heal (play->faults);
      soak_callers_turn (play->callers, TRUE);
      judge (play);
      pause_ms (TURN_MS);
    }
  g_autofree char *open = soak_callers_open_job (play->callers);
  if (play->broken == NULL && open != NULL)
    play->broken = g_strdup_printf ("job %s was accepted and has not ended %u s after all faults",
                                    open, HEAL_MS / 1000);
  judge_refused (play);
  judge_workers (play);
}

static void
keep_plan (const Play *play, const GArray *plan)
{
  g_autofree char *path = g_build_filename (play->setup.folder, "plan.txt", NULL);
  g_autofree char *text = soak_plan_text (plan);
  g_autofree char *whole = g_strdup_printf (
      "seed=%u seconds=%d daemons=%u workers=%u worker-links=%d\n%s", play->plan.seed,
      option_seconds, play->setup.daemon_n, play->setup.worker_n, play->plan.worker_links, text);
  (void) g_file_set_contents (path, whole, -1, NULL);
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

/* Returns: TRUE when a promise was broken. */
static gboolean
run_seed (guint32 seed)
{
  g_autofree char *name = g_strdup_printf ("seed-%u", seed);
  g_autofree char *folder = g_build_filename (option_folder, name, NULL);
  remove_folder (folder);
  (void) g_mkdir_with_parents (folder, 0755);
  Play play = { .plan = { .seed = seed,
                          .daemon_n = (guint) option_daemons,
                          .worker_n = (guint) option_workers,
                          .until_ms = (guint) option_seconds * 1000,
                          .worker_links = !option_without_worker_links },
                .setup = { .base_port = (guint16) option_port,
                           .daemon_n = (guint) option_daemons,
                           .worker_n = (guint) option_workers,
                           .worker_links = !option_without_worker_links,
                           .folder = folder,
                           .programs = option_programs } };
  g_autoptr (GArray) plan = soak_plan_new (&play.plan);
  keep_plan (&play, plan);
  play.platform = soak_platform_new (play.setup.base_port);
  play.processes = soak_processes_new (&play.setup);
  SoakCounts counts = { 0 };
  if (play.processes == NULL || !wait_until_ready (&play))
    play.broken = g_strdup ("the processes did not start");
  else
    {
      play.faults = soak_faults_new (play.processes, play.platform, &play.plan);
      play.callers = soak_callers_new (play.processes, play.setup.daemon_n, seed);
      run_plan (&play, plan, (guint) option_seconds * 1000);
      run_calm (&play);
      counts = soak_callers_counts (play.callers);
      soak_callers_free (play.callers);
      soak_faults_free (play.faults);
    }
  g_clear_pointer (&play.processes, soak_processes_free);
  soak_platform_free (play.platform);
  printf ("seed %u: %u faults, %u jobs, %u accepted, %u ended, %u calls answered, %u not: %s\n",
          seed, plan->len, counts.submitted, counts.accepted, counts.ended, counts.answered,
          counts.unanswered, play.broken != NULL ? play.broken : "all kept");
  fflush (stdout);
  gboolean broken = play.broken != NULL;
  if (!broken)
    remove_folder (folder);
  g_free (play.broken);
  return broken;
}

/* Takes over what the plan of FOLDER says. */
static gboolean
read_replay (const char *folder)
{
  g_autofree char *path = g_build_filename (folder, "plan.txt", NULL);
  g_autofree char *text = NULL;
  gint links = 0;
  if (!g_file_get_contents (path, &text, NULL, NULL)
      || sscanf (text, "seed=%d seconds=%d daemons=%d workers=%d worker-links=%d", &option_seed,
                 &option_seconds, &option_daemons, &option_workers, &links)
             < 4)
    return FALSE;
  option_without_worker_links = links == 0;
  option_seeds = 1;
  return TRUE;
}

static gboolean
options_are_good (void)
{
  return option_seeds > 0 && option_seed > 0 && option_seconds > 0 && option_daemons >= 1
         && option_daemons <= 150 && option_workers >= 1 && option_workers <= 250
         && option_port > 1024 && option_port < 60000;
}

/* Returns: the first port of a range in which N are free, of the one that follows from the
 * process's id if that is so; else of the last that was tried. */
static gint
free_range (guint n)
{
  gint port = FIRST_PORT;
  for (gint i = 0; i < PORT_RANGES; i++)
    {
      port = FIRST_PORT + (getpid () + i) % PORT_RANGES * RANGE_PORTS;
      if (soak_ports_are_free ((guint) port, n))
        break;
    }
  return port;
}

int
main (int argc, char **argv)
{
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- faults from outside, for real daemons");
  g_autoptr (GError) error = NULL;
  option_programs = g_strdup ("build");
  option_folder = g_strdup ("out/soak");
  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || argc > 1)
    {
      fprintf (stderr, "soak: %s\n", error != NULL ? error->message : "too many words");
      return 2;
    }
  if (option_replay != NULL && !read_replay (option_replay))
    {
      fprintf (stderr, "soak: %s has no plan to replay\n", option_replay);
      return 2;
    }
  guint ports_n = 1 + (guint) (option_workers + PORTS_OF_DAEMON * option_daemons);
  if (option_port == 0)
    option_port = free_range (ports_n);
  if (!options_are_good ())
    {
      fprintf (stderr, "soak: a number is out of its range, see --help\n");
      return 2;
    }
  if (!soak_ports_are_free ((guint) option_port, ports_n))
    {
      fprintf (stderr, "soak: of the %u ports from %d on some are taken\n", ports_n, option_port);
      return 2;
    }
  guint broken = 0;
  for (gint i = 0; i < option_seeds; i++)
    broken += run_seed ((guint32) (option_seed + i));
  printf ("%d seeds, %u broken\n", option_seeds, broken);
  return broken > 0;
}
