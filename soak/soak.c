/* A fault soak: real daemons and a stand-in of the platform as processes of their own, faults from
 * outside by links and signals, in series and overlapping, while callers work.  What callers and
 * workers see alone is judged.
 *
 * The plan of a seed is the same each time; the processes are real, so that what happens in it need
 * not be. */
#include "callers.h"
#include "plan.h"

#include <glib/gstdio.h>
#include <libsoup/soup.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Below the ports that the system gives to connections. */
#define FIRST_PORT 10000
#define PORT_RANGES 18
#define RANGE_PORTS 550
#define TURN_MS 40
#define READY_MS 20000
/* After the faults all that was accepted has this long to end: leases, a take-over and doubts about
 * crashed workers take some 20 s one after the other. */
#define HEAL_MS 45000
#define CALL_TIMEOUT_S 5
/* A worker that writes no entry for longer than this is not listed any more. */
#define UNLISTED_MS 4500

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
        { "daemons", 0, 0, G_OPTION_ARG_INT, &option_daemons, "Daemons, 1 to 64", "N" },
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
  SoupSession *session; /* to the stand-in */
  GHashTable *endings;  /* set of Ending that are to come; owned */
  char *broken;         /* the first promise that was */
} Play;

/* ---- the stand-in ----------------------------------------------------------------- */

/* Returns: (transfer full) (nullable): the answer's text. */
static char *
ask_platform (Play *play, const char *path, const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u%s", play->setup.base_port, path);
  g_autoptr (SoupMessage) message = soup_message_new (body != NULL ? "POST" : "GET", url);
  if (body != NULL)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
      soup_message_set_request_body_from_bytes (message, "application/json", bytes);
    }
  g_autoptr (GBytes) answer = soup_session_send_and_read (play->session, message, NULL, NULL);
  if (answer == NULL)
    return NULL;
  return g_strndup (g_bytes_get_data (answer, NULL), g_bytes_get_size (answer));
}

G_GNUC_PRINTF (2, 3)
static void
control (Play *play, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *body = g_strdup_vprintf (format, args);
  va_end (args);
  g_free (ask_platform (play, "/control", body));
}

static guint
count_of (const char *audit, const char *name)
{
  g_autofree char *key = g_strdup_printf ("\"%s\":", name);
  const char *at = audit != NULL ? strstr (audit, key) : NULL;
  return at != NULL ? (guint) atoi (at + strlen (key)) : 0;
}

/* ---- faults ------------------------------------------------------------------------- */

typedef struct
{
  Play *play;
  SoakFault fault;
  guint timer;
} Ending;

static gboolean
end_fault (gpointer user)
{
  Ending *ending = user;
  Play *play = ending->play;
  const SoakFault *fault = &ending->fault;
  if (fault->kind == SOAK_FREEZE)
    soak_daemon_signal (play->processes, fault->target, SIGCONT);
  else if (fault->kind == SOAK_STORE_LINK)
    soak_link_set_mode (soak_store_link (play->processes, fault->target), SOAK_LINK_PASS, 0);
  else if (fault->kind == SOAK_CALLER_LINK)
    soak_link_set_mode (soak_caller_link (play->processes, fault->target), SOAK_LINK_PASS, 0);
  else if (fault->kind == SOAK_WORKER_LINK || fault->kind == SOAK_WORKER_CUT)
    soak_link_set_mode (soak_worker_link (play->processes, fault->target), SOAK_LINK_PASS, 0);
  else if (fault->kind == SOAK_STORE_AWAY)
    control (play, "{\"outage\":false}");
  else if (fault->kind == SOAK_STORE_MUTE)
    control (play, "{\"silent\":false}");
  else if (fault->kind == SOAK_ROLL)
    soak_daemon_signal (play->processes, fault->target, SIGTERM);
  g_hash_table_remove (play->endings, ending);
  return G_SOURCE_REMOVE;
}

static void
forget_endings (Play *play)
{
  GHashTableIter iter;
  gpointer ending;
  g_hash_table_iter_init (&iter, play->endings);
  while (g_hash_table_iter_next (&iter, &ending, NULL))
    g_source_remove (((Ending *) ending)->timer);
  g_hash_table_unref (play->endings);
}

static void
end_later (Play *play, const SoakFault *fault, guint after_ms)
{
  Ending *ending = g_new0 (Ending, 1);
  ending->play = play;
  ending->fault = *fault;
  ending->timer = g_timeout_add (after_ms, end_fault, ending);
  g_hash_table_add (play->endings, ending);
}

static void
kill_daemon (Play *play, guint i, int signal, guint down_ms)
{
  soak_daemon_restart (play->processes, i, down_ms);
  soak_daemon_signal (play->processes, i, signal);
}

static void
misuse_link (SoakLink *link, const SoakFault *fault)
{
  SoakLinkMode mode = (SoakLinkMode) (SOAK_LINK_SLOW + fault->variant % (SOAK_LINK_N - 1));
  soak_link_set_mode (link, mode, 20 + fault->variant * 8);
}

/* One after the other, each while the one before may still be ending. */
static void
roll (Play *play, const SoakFault *fault)
{
  for (guint i = 0; i < play->setup.daemon_n; i++)
    {
      SoakFault stop = { .kind = SOAK_ROLL, .target = i };
      soak_daemon_restart (play->processes, i, 100);
      end_later (play, &stop, i * (300 + fault->for_ms / 4));
    }
}

/* Up to a fourth of all workers, that of the plan first. */
static guint
workers_hit (const Play *play, const SoakFault *fault)
{
  return 1 + fault->variant % (1 + play->setup.worker_n / 4);
}

static void
begin_worker_fault (Play *play, const SoakFault *fault)
{
  SoakLink *link = soak_worker_link (play->processes, fault->target);
  guint share = 10 + fault->variant / 2;
  guint refuse = fault->kind == SOAK_WORKER_REFUSES || fault->kind == SOAK_WORKER_ILL ? share : 0;
  guint lose = fault->kind == SOAK_WORKER_LOSES || fault->kind == SOAK_WORKER_ILL ? share / 2 : 0;
  switch (fault->kind)
    {
    case SOAK_WORKER_LINK:
      misuse_link (link, fault);
      end_later (play, fault, fault->for_ms);
      break;
    case SOAK_WORKER_RESET:
      soak_link_reset (link);
      break;
    case SOAK_WORKER_SILENCE:
      soak_link_silence (link);
      break;
    case SOAK_WORKER_CUT:
      soak_link_set_mode (link, SOAK_LINK_CUT, 0);
      control (play, "{\"unlisted\":%u,\"for-ms\":%u}", fault->target, UNLISTED_MS + fault->for_ms);
      end_later (play, fault, UNLISTED_MS + fault->for_ms);
      break;
    default:
      control (play, "{\"faults\":%u,\"for-ms\":%u,\"refuse\":%u,\"lose\":%u,\"late\":%u}",
               fault->target, fault->for_ms, refuse, lose,
               fault->kind == SOAK_WORKER_LATE ? share : 0);
    }
}

static void
begin_fault (Play *play, const SoakFault *fault)
{
  SoakProcesses *processes = play->processes;
  guint down_ms = fault->variant % 2 == 0 ? 0 : fault->for_ms;
  switch (fault->kind)
    {
    case SOAK_KILL:
      kill_daemon (play, fault->target, SIGKILL, down_ms);
      break;
    case SOAK_TERM:
      kill_daemon (play, fault->target, SIGTERM, down_ms);
      break;
    case SOAK_FREEZE:
      soak_daemon_signal (processes, fault->target, SIGSTOP);
      end_later (play, fault, fault->for_ms);
      break;
    case SOAK_RELOAD:
      soak_daemon_signal (processes, fault->target, SIGHUP);
      break;
    case SOAK_STORE_LINK:
      misuse_link (soak_store_link (processes, fault->target), fault);
      end_later (play, fault, fault->for_ms);
      break;
    case SOAK_STORE_RESET:
      soak_link_reset (soak_store_link (processes, fault->target));
      break;
    case SOAK_STORE_SILENCE:
      soak_link_silence (soak_store_link (processes, fault->target));
      break;
    case SOAK_CALLER_LINK:
      misuse_link (soak_caller_link (processes, fault->target), fault);
      end_later (play, fault, fault->for_ms);
      break;
    case SOAK_CALLER_RESET:
      soak_link_reset (soak_caller_link (processes, fault->target));
      break;
    case SOAK_STORE_AWAY:
      control (play, "{\"outage\":true}");
      end_later (play, fault, fault->for_ms);
      break;
    case SOAK_STORE_MUTE:
      control (play, "{\"silent\":true}");
      end_later (play, fault, fault->for_ms);
      break;
    case SOAK_WORKER_CRASH:
      control (play, "{\"crash\":%u,\"for-ms\":%u}", fault->target, 1000 + fault->for_ms);
      break;
    case SOAK_ROLL:
      roll (play, fault);
      break;
    case SOAK_WORKER_LINK:
    case SOAK_WORKER_RESET:
    case SOAK_WORKER_SILENCE:
    case SOAK_WORKER_CUT:
    case SOAK_WORKER_REFUSES:
    case SOAK_WORKER_LOSES:
    case SOAK_WORKER_ILL:
    case SOAK_WORKER_LATE:
      for (guint n = 0; n < workers_hit (play, fault); n++)
        {
          SoakFault one = *fault;
          one.target = (fault->target + n) % play->setup.worker_n;
          begin_worker_fault (play, &one);
        }
      break;
    case SOAK_KILL_ALL:
    default:
      for (guint i = 0; i < play->setup.daemon_n; i++)
        kill_daemon (play, i, SIGKILL, down_ms);
    }
}

static void
heal (Play *play)
{
  control (play, "{\"outage\":false,\"silent\":false,\"healthy\":true}");
  for (guint i = 0; i < play->setup.daemon_n; i++)
    {
      soak_link_set_mode (soak_store_link (play->processes, i), SOAK_LINK_PASS, 0);
      soak_link_set_mode (soak_caller_link (play->processes, i), SOAK_LINK_PASS, 0);
      soak_daemon_signal (play->processes, i, SIGCONT);
      soak_daemon_restart (play->processes, i, 0);
    }
  for (guint k = 0; play->plan.worker_links && k < play->setup.worker_n; k++)
    soak_link_set_mode (soak_worker_link (play->processes, k), SOAK_LINK_PASS, 0);
}

/* ---- judging ----------------------------------------------------------------------------- */

static void
judge_refused (Play *play)
{
  g_auto (GStrv) refused = soak_callers_refused (play->callers);
  for (guint i = 0; refused[i] != NULL && play->broken == NULL; i++)
    {
      g_autofree char *path = g_strdup_printf ("/started?job=%s", refused[i]);
      g_autofree char *answer = ask_platform (play, path, NULL);
      if (answer != NULL && strstr (answer, "true") != NULL)
        play->broken = g_strdup_printf ("job %s was refused by all and was started", refused[i]);
    }
}

static void
judge_workers (Play *play)
{
  static const char *const promises[] = { "doubled", "over-capacity", "started-too-often" };
  g_autofree char *audit = ask_platform (play, "/audit", NULL);
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
          g_autoptr (SoupMessage) message = soup_message_new ("GET", url);
          g_autoptr (GBytes) body = soup_session_send_and_read (play->session, message, NULL, NULL);
          ready += body != NULL && soup_message_get_status (message) == 200;
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
        begin_fault (play, &g_array_index (plan, SoakFault, next));
      soak_callers_turn (play->callers, FALSE);
      judge (play);
      pause_ms (TURN_MS);
    }
}

static void
run_calm (Play *play)
{
  gint64 until_us = g_get_monotonic_time () + HEAL_MS * 1000;
  while (play->broken == NULL && !soak_callers_all_ended (play->callers)
         && g_get_monotonic_time () < until_us)
    {
      /* What a fault that ends late has changed is put right again. */
      heal (play);
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
  play.endings = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  play.session = soup_session_new_with_options ("timeout", CALL_TIMEOUT_S, NULL);
  play.processes = soak_processes_new (&play.setup);
  SoakCounts counts = { 0 };
  if (play.processes == NULL || !wait_until_ready (&play))
    play.broken = g_strdup ("the processes did not start");
  else
    {
      play.callers = soak_callers_new (play.processes, play.setup.daemon_n, seed);
      run_plan (&play, plan, (guint) option_seconds * 1000);
      run_calm (&play);
      counts = soak_callers_counts (play.callers);
      soak_callers_free (play.callers);
    }
  forget_endings (&play);
  g_clear_pointer (&play.processes, soak_processes_free);
  g_object_unref (play.session);
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
         && option_daemons <= 64 && option_workers >= 1 && option_workers <= 250
         && option_port > 1024 && option_port < 60000;
}

int
main (int argc, char **argv)
{
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- faults from outside, for real daemons");
  g_autoptr (GError) error = NULL;
  option_programs = g_strdup ("build");
  option_folder = g_strdup ("out/soak");
  option_port = FIRST_PORT + (getpid () % PORT_RANGES) * RANGE_PORTS;
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
  if (!options_are_good ())
    {
      fprintf (stderr, "soak: a number is out of its range, see --help\n");
      return 2;
    }
  guint broken = 0;
  for (gint i = 0; i < option_seeds; i++)
    broken += run_seed ((guint32) (option_seed + i));
  printf ("%d seeds, %u broken\n", option_seeds, broken);
  return broken > 0;
}
