#include "faults.h"

#include <signal.h>

/* A worker that writes no entry for longer than this is not listed any more. */
#define UNLISTED_MS 4500
#define ROLL_MOST_MS 25000

struct _SoakFaults
{
  SoakProcesses *processes;
  SoakPlatform *platform;
  const SoakPlanSetup *plan;
  GHashTable *endings; /* set of Ending that are to come; owned */
};

typedef struct
{
  SoakFaults *faults;
  SoakFault fault;
  guint timer;
} Ending;

/* Returns: (nullable): the link that a fault of this kind misuses. */
static SoakLink *
link_of (SoakFaults *self, const SoakFault *fault)
{
  switch (fault->kind)
    {
    case SOAK_STORE_LINK:
    case SOAK_STORE_RESET:
    case SOAK_STORE_SILENCE:
      return soak_store_link (self->processes, fault->target);
    case SOAK_CALLER_LINK:
    case SOAK_CALLER_RESET:
      return soak_caller_link (self->processes, fault->target);
    case SOAK_WORKER_LINK:
    case SOAK_WORKER_RESET:
    case SOAK_WORKER_SILENCE:
    case SOAK_WORKER_CUT:
      return soak_worker_link (self->processes, fault->target);
    case SOAK_PEER_LINK:
    case SOAK_PEER_RESET:
    case SOAK_PEER_SILENCE:
      return soak_peer_link (self->processes, fault->target);
    default:
      return NULL;
    }
}

static gboolean
end_fault (gpointer user)
{
  Ending *ending = user;
  SoakFaults *self = ending->faults;
  const SoakFault *fault = &ending->fault;
  SoakLink *link = link_of (self, fault);
  if (link != NULL)
    soak_link_set_mode (link, SOAK_LINK_PASS, 0);
  else if (fault->kind == SOAK_FREEZE)
    soak_daemon_signal (self->processes, fault->target, SIGCONT);
  else if (fault->kind == SOAK_STORE_AWAY)
    soak_platform_control (self->platform, "{\"outage\":false}");
  else if (fault->kind == SOAK_STORE_MUTE)
    soak_platform_control (self->platform, "{\"silent\":false}");
  else if (fault->kind == SOAK_ROLL)
    soak_daemon_signal (self->processes, fault->target, SIGTERM);
  g_hash_table_remove (self->endings, ending);
  return G_SOURCE_REMOVE;
}

static void
end_later (SoakFaults *self, const SoakFault *fault, guint after_ms)
{
  Ending *ending = g_new0 (Ending, 1);
  ending->faults = self;
  ending->fault = *fault;
  ending->timer = g_timeout_add (after_ms, end_fault, ending);
  g_hash_table_add (self->endings, ending);
}

/* ---- faults of daemons and of the store --------------------------------------------- */

static void
kill_daemon (SoakFaults *self, const SoakFault *fault, guint i, int signal)
{
  soak_daemon_restart (self->processes, i, fault->variant % 2 == 0 ? 0 : fault->for_ms);
  soak_daemon_signal (self->processes, i, signal);
}

static void
kill_all (SoakFaults *self, const SoakFault *fault)
{
  for (guint i = 0; i < self->plan->daemon_n; i++)
    kill_daemon (self, fault, i, SIGKILL);
}

/* One after the other, each while the one before may still be ending. */
static void
roll (SoakFaults *self, const SoakFault *fault)
{
  guint gap_ms = MIN (300 + fault->for_ms / 4, ROLL_MOST_MS / self->plan->daemon_n);
  for (guint i = 0; i < self->plan->daemon_n; i++)
    {
      SoakFault stop = { .kind = SOAK_ROLL, .target = i };
      soak_daemon_restart (self->processes, i, 100);
      end_later (self, &stop, i * gap_ms);
    }
}

/* ---- faults of links ------------------------------------------------------------------ */

static void
misuse_link (SoakFaults *self, const SoakFault *fault)
{
  SoakLinkMode mode = (SoakLinkMode) (SOAK_LINK_SLOW + fault->variant % (SOAK_LINK_N - 1));
  soak_link_set_mode (link_of (self, fault), mode, 20 + fault->variant * 8);
  end_later (self, fault, fault->for_ms);
}

static void
cut_worker (SoakFaults *self, const SoakFault *fault)
{
  guint for_ms = UNLISTED_MS + fault->for_ms;
  soak_link_set_mode (link_of (self, fault), SOAK_LINK_CUT, 0);
  soak_platform_control (self->platform, "{\"unlisted\":%u,\"for-ms\":%u}", fault->target, for_ms);
  end_later (self, fault, for_ms);
}

/* Half of them come back under the id that they had, with another birth, and some of these at once.
 */
static void
crash_worker (SoakFaults *self, const SoakFault *fault)
{
  gboolean returns = fault->variant % 2 == 0;
  guint for_ms = fault->variant % 4 == 0 ? fault->for_ms / 8 : 1000 + fault->for_ms;
  soak_platform_control (self->platform, "{\"crash\":%u,\"for-ms\":%u,\"returns\":%s}",
                         fault->target, for_ms, returns ? "true" : "false");
}

static void
misuse_worker_calls (SoakFaults *self, const SoakFault *fault)
{
  guint share = 10 + fault->variant / 2;
  gboolean refuses = fault->kind == SOAK_WORKER_REFUSES || fault->kind == SOAK_WORKER_FLAKY;
  gboolean loses = fault->kind == SOAK_WORKER_LOSES || fault->kind == SOAK_WORKER_FLAKY;
  soak_platform_control (self->platform,
                         "{\"faults\":%u,\"for-ms\":%u,\"refuse\":%u,\"lose\":%u,\"late\":%u}",
                         fault->target, fault->for_ms, refuses ? share : 0, loses ? share / 2 : 0,
                         fault->kind == SOAK_WORKER_LATE ? share : 0);
}

static void
misuse_store_calls (SoakFaults *self, const SoakFault *fault)
{
  guint share = 10 + fault->variant / 2;
  soak_platform_control (self->platform,
                         "{\"store-faults\":true,\"for-ms\":%u,\"refuse\":%u,\"lose\":%u}",
                         fault->for_ms, share, share / 2);
}

/* ---- public --------------------------------------------------------------------------- */

static void
begin_one (SoakFaults *self, const SoakFault *fault)
{
  switch (fault->kind)
    {
    case SOAK_KILL:
      kill_daemon (self, fault, fault->target, SIGKILL);
      break;
    case SOAK_TERM:
      kill_daemon (self, fault, fault->target, SIGTERM);
      break;
    case SOAK_FREEZE:
      soak_daemon_signal (self->processes, fault->target, SIGSTOP);
      end_later (self, fault, fault->for_ms);
      break;
    case SOAK_RELOAD:
      soak_daemon_signal (self->processes, fault->target, SIGHUP);
      break;
    case SOAK_STORE_LINK:
    case SOAK_CALLER_LINK:
    case SOAK_WORKER_LINK:
    case SOAK_PEER_LINK:
      misuse_link (self, fault);
      break;
    case SOAK_STORE_RESET:
    case SOAK_CALLER_RESET:
    case SOAK_WORKER_RESET:
    case SOAK_PEER_RESET:
      soak_link_reset (link_of (self, fault));
      break;
    case SOAK_STORE_SILENCE:
    case SOAK_WORKER_SILENCE:
    case SOAK_PEER_SILENCE:
      soak_link_silence (link_of (self, fault));
      break;
    case SOAK_STORE_AWAY:
      soak_platform_control (self->platform, "{\"outage\":true}");
      end_later (self, fault, fault->for_ms);
      break;
    case SOAK_STORE_MUTE:
      soak_platform_control (self->platform, "{\"silent\":true}");
      end_later (self, fault, fault->for_ms);
      break;
    case SOAK_WORKER_CRASH:
      crash_worker (self, fault);
      break;
    case SOAK_WORKER_CUT:
      cut_worker (self, fault);
      break;
    case SOAK_WORKER_REFUSES:
    case SOAK_WORKER_LOSES:
    case SOAK_WORKER_FLAKY:
    case SOAK_WORKER_LATE:
      misuse_worker_calls (self, fault);
      break;
    case SOAK_STORE_FLAKY:
      misuse_store_calls (self, fault);
      break;
    case SOAK_ROLL:
      roll (self, fault);
      break;
    case SOAK_KILL_ALL:
    default:
      kill_all (self, fault);
    }
}

void
soak_faults_begin (SoakFaults *self, const SoakFault *fault)
{
  guint n = 1;
  /* Up to a fourth of all workers, that of the plan first. */
  if (fault->kind >= SOAK_WORKER_LINK && fault->kind <= SOAK_WORKER_LATE)
    n += fault->variant % (1 + self->plan->worker_n / 4);
  for (guint i = 0; i < n; i++)
    {
      SoakFault one = *fault;
      one.target = n > 1 ? (fault->target + i) % self->plan->worker_n : fault->target;
      begin_one (self, &one);
    }
}

void
soak_faults_heal (SoakFaults *self)
{
  gboolean links = self->plan->worker_links;
  soak_platform_control (self->platform, "{\"outage\":false,\"silent\":false,\"healthy\":true}");
  for (guint i = 0; i < self->plan->daemon_n; i++)
    {
      soak_link_set_mode (soak_store_link (self->processes, i), SOAK_LINK_PASS, 0);
      soak_link_set_mode (soak_caller_link (self->processes, i), SOAK_LINK_PASS, 0);
      if (links)
        soak_link_set_mode (soak_peer_link (self->processes, i), SOAK_LINK_PASS, 0);
      soak_daemon_signal (self->processes, i, SIGCONT);
      soak_daemon_restart (self->processes, i, 0);
    }
  for (guint k = 0; links && k < self->plan->worker_n; k++)
    soak_link_set_mode (soak_worker_link (self->processes, k), SOAK_LINK_PASS, 0);
}

SoakFaults *
soak_faults_new (SoakProcesses *processes, SoakPlatform *platform, const SoakPlanSetup *plan)
{
  SoakFaults *self = g_new0 (SoakFaults, 1);
  self->processes = processes;
  self->platform = platform;
  self->plan = plan;
  self->endings = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  return self;
}

void
soak_faults_free (SoakFaults *self)
{
  GHashTableIter iter;
  gpointer ending;
  g_hash_table_iter_init (&iter, self->endings);
  while (g_hash_table_iter_next (&iter, &ending, NULL))
    g_source_remove (((Ending *) ending)->timer);
  g_hash_table_unref (self->endings);
  g_free (self);
}
