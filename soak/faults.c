#include "faults.h"

#include "other-writer.h"

#include <signal.h>

/* Time to live of an entry in the worker list that is not renewed. */
#define ENTRY_TTL_MS 4500
#define MAX_ROLLING_RESTART_MS 25000
/* How long the store takes appends that it executes late, and by how much per step of the variant.
 */
#define LATE_APPENDS_MS 1000
#define APPEND_DELAY_STEP_MS 60
/* A slow daemon runs for SLOW_RUN_MS and then stands still for SLOW_STAND_MS. */
#define SLOW_RUN_MS 20
#define SLOW_STAND_MS 180
#define MAX_ENTRY_DELAY_MS 2000

struct _SoakFaults
{
  SoakProcesses *processes;
  SoakPlatform *platform;
  const SoakPlanSetup *plan;
  guint *frozen_n;            /* by daemon: how many SOAK_FREEZE are active */
  GHashTable *scheduled_ends; /* set of ScheduledEnd whose timers run; owned */
};

typedef struct
{
  SoakFaults *faults;
  SoakFault fault;
  guint timer;
} ScheduledEnd;

/* Returns: (nullable): the link that FAULT affects. */
static SoakLink *
link_of_fault (SoakFaults *self, const SoakFault *fault)
{
  switch (fault->kind)
    {
    case SOAK_STORE_LINK:
    case SOAK_STORE_RESET:
    case SOAK_STORE_BLACKHOLE:
      return soak_store_link (self->processes, fault->target);
    case SOAK_CALLER_LINK:
    case SOAK_CALLER_RESET:
      return soak_caller_link (self->processes, fault->target);
    case SOAK_WORKER_LINK:
    case SOAK_WORKER_RESET:
    case SOAK_WORKER_BLACKHOLE:
    case SOAK_WORKER_PARTITION:
    case SOAK_WORKER_NO_LISTENER:
    case SOAK_WORKER_CUT_OFF:
      return soak_worker_link (self->processes, fault->target);
    case SOAK_PEER_LINK:
    case SOAK_PEER_RESET:
    case SOAK_PEER_BLACKHOLE:
      return soak_peer_link (self->processes, fault->target);
    default:
      return NULL;
    }
}

/* EXPIRE: the store is unavailable, and what has a time to live expires. */
static void
set_store_expiring (SoakFaults *self, gboolean expire)
{
  soak_platform_control (self->platform, expire ? "{\"outage\":true,\"expire\":true}"
                                                : "{\"outage\":false,\"expire\":false}");
}

static void
set_store_refusing (SoakFaults *self, gboolean refusing)
{
  for (guint i = 0; i < self->plan->daemon_n; i++)
    {
      soak_link_set_refusing (soak_store_link (self->processes, i), refusing);
      if (refusing)
        soak_link_reset (soak_store_link (self->processes, i));
    }
  set_store_expiring (self, refusing);
}

static void
thaw_daemon (SoakFaults *self, guint i)
{
  self->frozen_n[i]--;
  soak_daemon_signal (self->processes, i, SIGCONT);
}

static gboolean end_fault (gpointer user);

static void
end_later (SoakFaults *self, const SoakFault *fault, guint after_ms)
{
  ScheduledEnd *scheduled = g_new0 (ScheduledEnd, 1);
  scheduled->faults = self;
  scheduled->fault = *fault;
  scheduled->timer = g_timeout_add (after_ms, end_fault, scheduled);
  g_hash_table_add (self->scheduled_ends, scheduled);
}

/* VARIANT of FAULT: whether the daemon stands still. */
static void
switch_slow_daemon (SoakFaults *self, const SoakFault *fault)
{
  SoakFault next = *fault;
  guint passed_ms = fault->variant != 0 ? SLOW_STAND_MS : SLOW_RUN_MS;
  next.duration_ms -= MIN (passed_ms, fault->duration_ms);
  next.variant = fault->variant == 0 && next.duration_ms > 0;
  if (self->frozen_n[fault->target] == 0)
    soak_daemon_signal (self->processes, fault->target, next.variant != 0 ? SIGSTOP : SIGCONT);
  if (next.duration_ms > 0)
    end_later (self, &next, next.variant != 0 ? SLOW_STAND_MS : SLOW_RUN_MS);
}

static gboolean
end_fault (gpointer user)
{
  ScheduledEnd *scheduled = user;
  SoakFaults *self = scheduled->faults;
  const SoakFault *fault = &scheduled->fault;
  SoakLink *link = link_of_fault (self, fault);
  if (fault->kind == SOAK_WORKER_NO_LISTENER || fault->kind == SOAK_WORKER_CUT_OFF)
    soak_link_set_refusing (link, FALSE);
  if (link != NULL)
    soak_link_set_mode (link, SOAK_LINK_PASS, 0);
  else if (fault->kind == SOAK_FREEZE)
    thaw_daemon (self, fault->target);
  else if (fault->kind == SOAK_DAEMON_SLOW)
    switch_slow_daemon (self, fault);
  else if (fault->kind == SOAK_STORE_DOWN)
    soak_platform_control (self->platform, "{\"outage\":false}");
  else if (fault->kind == SOAK_STORE_UNRESPONSIVE)
    soak_platform_control (self->platform, "{\"silent\":false}");
  else if (fault->kind == SOAK_STORE_OUTAGE)
    set_store_refusing (self, FALSE);
  else if (fault->kind == SOAK_STORE_EXPIRY)
    set_store_expiring (self, FALSE);
  else if (fault->kind == SOAK_ROLLING_RESTART)
    soak_daemon_signal (self->processes, fault->target, SIGTERM);
  g_hash_table_remove (self->scheduled_ends, scheduled);
  return G_SOURCE_REMOVE;
}

/* ---- faults of daemons and of the store --------------------------------------------- */

static void
kill_daemon (SoakFaults *self, const SoakFault *fault, guint i, int signal)
{
  soak_daemon_restart (self->processes, i, fault->variant % 2 == 0 ? 0 : fault->duration_ms);
  soak_daemon_signal (self->processes, i, signal);
}

static void
kill_all (SoakFaults *self, const SoakFault *fault)
{
  for (guint i = 0; i < self->plan->daemon_n; i++)
    kill_daemon (self, fault, i, SIGKILL);
}

/* Restarts all daemons one after the other, without waiting for the previous one to stop. */
static void
rolling_restart (SoakFaults *self, const SoakFault *fault)
{
  guint gap_ms = MIN (300 + fault->duration_ms / 4, MAX_ROLLING_RESTART_MS / self->plan->daemon_n);
  for (guint i = 0; i < self->plan->daemon_n; i++)
    {
      SoakFault stop = { .kind = SOAK_ROLLING_RESTART, .target = i };
      soak_daemon_restart (self->processes, i, 100);
      end_later (self, &stop, i * gap_ms);
    }
}

/* ---- faults of links ------------------------------------------------------------------ */

static void
degrade_link (SoakFaults *self, const SoakFault *fault)
{
  SoakLinkMode mode = (SoakLinkMode) (SOAK_LINK_SLOW + fault->variant % (SOAK_LINK_N - 1));
  soak_link_set_mode (link_of_fault (self, fault), mode, 20 + fault->variant * 8);
  end_later (self, fault, fault->duration_ms);
}

static void
partition_worker (SoakFaults *self, const SoakFault *fault)
{
  guint duration_ms = ENTRY_TTL_MS + fault->duration_ms;
  soak_link_set_mode (link_of_fault (self, fault), SOAK_LINK_PARTITION, 0);
  soak_platform_control (self->platform, "{\"unlisted\":%u,\"for-ms\":%u}", fault->target,
                         duration_ms);
  end_later (self, fault, duration_ms);
}

/* Connections to the worker are refused; its open connections are reset or stop forwarding.
 * REACHES_STORE: it renews its entry, which otherwise expires if that lasts long enough. */
static void
refuse_worker_connections (SoakFaults *self, const SoakFault *fault, gboolean reaches_store)
{
  SoakLink *link = link_of_fault (self, fault);
  soak_link_set_refusing (link, TRUE);
  if (fault->variant % 2 == 0)
    soak_link_reset (link);
  else
    soak_link_set_mode (link, SOAK_LINK_PARTITION, 0);
  if (!reaches_store)
    soak_platform_control (self->platform, "{\"unlisted\":%u,\"for-ms\":%u}", fault->target,
                           fault->duration_ms);
  end_later (self, fault, fault->duration_ms);
}

/* Half of the crashed workers restart with the same id and a new start time, half of these within
 * 0.9 s. */
static void
crash_worker (SoakFaults *self, const SoakFault *fault)
{
  gboolean reuses_id = fault->variant % 2 == 0;
  guint duration_ms = fault->variant % 4 == 0 ? fault->duration_ms / 8 : 1000 + fault->duration_ms;
  soak_platform_control (self->platform, "{\"crash\":%u,\"for-ms\":%u,\"returns\":%s}",
                         fault->target, duration_ms, reuses_id ? "true" : "false");
}

/* Up to MAX_ENTRY_DELAY_MS later half of the workers are listed as they have restarted; until then
 * the entry from before may stay. */
static void
restart_worker (SoakFaults *self, const SoakFault *fault)
{
  soak_platform_control (self->platform, "{\"crash\":%u,\"for-ms\":%u,\"returns\":true}",
                         fault->target, fault->duration_ms);
  if (fault->variant % 2 == 0)
    soak_platform_control (self->platform, "{\"unlisted\":%u,\"for-ms\":%u}", fault->target,
                           fault->duration_ms + fault->variant * MAX_ENTRY_DELAY_MS / 100);
}

static void
set_worker_call_faults (SoakFaults *self, const SoakFault *fault)
{
  guint share = 10 + fault->variant / 2;
  gboolean refuses = fault->kind == SOAK_WORKER_REFUSES || fault->kind == SOAK_WORKER_FLAKY;
  gboolean loses = fault->kind == SOAK_WORKER_LOSES || fault->kind == SOAK_WORKER_FLAKY;
  soak_platform_control (self->platform,
                         "{\"faults\":%u,\"for-ms\":%u,\"refuse\":%u,\"lose\":%u,\"late\":%u}",
                         fault->target, fault->duration_ms, refuses ? share : 0,
                         loses ? share / 2 : 0, fault->kind == SOAK_WORKER_LATE ? share : 0);
}

static void
set_store_call_faults (SoakFaults *self, const SoakFault *fault)
{
  guint share = 10 + fault->variant / 2;
  soak_platform_control (self->platform,
                         "{\"store-faults\":true,\"for-ms\":%u,\"refuse\":%u,\"lose\":%u}",
                         fault->duration_ms, share, share / 2);
}

static void
set_late_appends (SoakFaults *self, const SoakFault *fault)
{
  soak_platform_control (
      self->platform, "{\"store-faults\":true,\"for-ms\":%u,\"late\":%u,\"late-ms\":%u}",
      LATE_APPENDS_MS, 10 + fault->variant / 2, (1 + fault->variant) * APPEND_DELAY_STEP_MS);
}

static void
set_worker_reach (SoakFaults *self, const SoakFault *fault)
{
  const char *command = fault->kind == SOAK_WORKER_FREEZE ? "suspend" : "exclude-later-owners";
  soak_platform_control (self->platform, "{\"%s\":%u,\"for-ms\":%u}", command, fault->target,
                         fault->duration_ms);
}

/* ---- public --------------------------------------------------------------------------- */

static void
begin_on_target (SoakFaults *self, const SoakFault *fault)
{
  switch (fault->kind)
    {
    case SOAK_KILL:
      kill_daemon (self, fault, fault->target, SIGKILL);
      break;
    case SOAK_TERM:
      kill_daemon (self, fault, fault->target, SIGTERM);
      break;
    case SOAK_DAEMON_SLOW:
      switch_slow_daemon (self, fault);
      break;
    case SOAK_FREEZE:
      self->frozen_n[fault->target]++;
      soak_daemon_signal (self->processes, fault->target, SIGSTOP);
      end_later (self, fault, fault->duration_ms);
      break;
    case SOAK_RELOAD:
      soak_daemon_signal (self->processes, fault->target, SIGHUP);
      break;
    case SOAK_STORE_LINK:
    case SOAK_CALLER_LINK:
    case SOAK_WORKER_LINK:
    case SOAK_PEER_LINK:
      degrade_link (self, fault);
      break;
    case SOAK_STORE_RESET:
    case SOAK_CALLER_RESET:
    case SOAK_WORKER_RESET:
    case SOAK_PEER_RESET:
      soak_link_reset (link_of_fault (self, fault));
      break;
    case SOAK_STORE_BLACKHOLE:
    case SOAK_WORKER_BLACKHOLE:
    case SOAK_PEER_BLACKHOLE:
      soak_link_blackhole (link_of_fault (self, fault));
      break;
    case SOAK_STORE_DOWN:
      soak_platform_control (self->platform, "{\"outage\":true}");
      end_later (self, fault, fault->duration_ms);
      break;
    case SOAK_STORE_UNRESPONSIVE:
      soak_platform_control (self->platform, "{\"silent\":true}");
      end_later (self, fault, fault->duration_ms);
      break;
    case SOAK_WORKER_CRASH:
      crash_worker (self, fault);
      break;
    case SOAK_WORKER_RESTART:
      restart_worker (self, fault);
      break;
    case SOAK_WORKER_PARTITION:
      partition_worker (self, fault);
      break;
    case SOAK_WORKER_NO_LISTENER:
      refuse_worker_connections (self, fault, FALSE);
      break;
    case SOAK_WORKER_CUT_OFF:
      refuse_worker_connections (self, fault, fault->variant / 2 % 2 == 0);
      break;
    case SOAK_STORE_OUTAGE:
      set_store_refusing (self, TRUE);
      end_later (self, fault, fault->duration_ms);
      break;
    case SOAK_STORE_EXPIRY:
      set_store_expiring (self, TRUE);
      end_later (self, fault, fault->duration_ms);
      break;
    case SOAK_WORKER_REFUSES:
    case SOAK_WORKER_LOSES:
    case SOAK_WORKER_FLAKY:
    case SOAK_WORKER_LATE:
      set_worker_call_faults (self, fault);
      break;
    case SOAK_WORKER_FREEZE:
    case SOAK_WORKER_LATER_OWNERS:
      set_worker_reach (self, fault);
      break;
    case SOAK_STORE_FLAKY:
      set_store_call_faults (self, fault);
      break;
    case SOAK_QUEUE_MOVE:
      soak_platform_control (self->platform, "{\"queue-service\":\"%s\"}",
                             fault->variant % 2 == 0 ? SOAK_SERVICE : SOAK_SECOND_SERVICE);
      break;
    case SOAK_OTHER_WRITER:
      soak_other_writer_store (self->platform, fault->variant,
                               fault->variant % self->plan->worker_n);
      break;
    case SOAK_STORE_LATE:
      set_late_appends (self, fault);
      break;
    case SOAK_ROLLING_RESTART:
      rolling_restart (self, fault);
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
  /* Faults of workers apply to up to a quarter of them, starting with the target. */
  if ((fault->kind >= SOAK_WORKER_LINK && fault->kind <= SOAK_WORKER_LATE)
      || fault->kind == SOAK_WORKER_NO_LISTENER)
    n += fault->variant % (1 + self->plan->worker_n / 4);
  else if (fault->kind == SOAK_WORKER_LATER_OWNERS) /* up to half of them */
    n += fault->variant % MAX (self->plan->worker_n / 2, 1);
  for (guint i = 0; i < n; i++)
    {
      SoakFault one = *fault;
      one.target = n > 1 ? (fault->target + i) % self->plan->worker_n : fault->target;
      begin_on_target (self, &one);
    }
}

void
soak_faults_clear (SoakFaults *self)
{
  gboolean links = self->plan->worker_links;
  soak_platform_control (self->platform,
                         "{\"outage\":false,\"expire\":false,\"silent\":false,\"healthy\":true}");
  for (guint i = 0; i < self->plan->daemon_n; i++)
    {
      soak_link_set_refusing (soak_store_link (self->processes, i), FALSE);
      soak_link_set_mode (soak_store_link (self->processes, i), SOAK_LINK_PASS, 0);
      soak_link_set_mode (soak_caller_link (self->processes, i), SOAK_LINK_PASS, 0);
      if (links)
        soak_link_set_mode (soak_peer_link (self->processes, i), SOAK_LINK_PASS, 0);
      soak_daemon_signal (self->processes, i, SIGCONT);
      soak_daemon_restart (self->processes, i, 0);
    }
  for (guint k = 0; links && k < self->plan->worker_n; k++)
    {
      soak_link_set_refusing (soak_worker_link (self->processes, k), FALSE);
      soak_link_set_mode (soak_worker_link (self->processes, k), SOAK_LINK_PASS, 0);
    }
}

gboolean
soak_faults_are_over (const SoakFaults *self)
{
  GHashTableIter iter;
  gpointer scheduled;
  g_hash_table_iter_init (&iter, self->scheduled_ends);
  while (g_hash_table_iter_next (&iter, &scheduled, NULL))
    {
      /* The ends of the other faults change nothing once these are cleared. */
      SoakFaultKind kind = ((ScheduledEnd *) scheduled)->fault.kind;
      if (kind == SOAK_ROLLING_RESTART || kind == SOAK_DAEMON_SLOW)
        return FALSE;
    }
  for (guint i = 0; i < self->plan->daemon_n; i++)
    {
      if (!soak_daemon_stays (self->processes, i))
        return FALSE;
    }
  return TRUE;
}

SoakFaults *
soak_faults_new (SoakProcesses *processes, SoakPlatform *platform, const SoakPlanSetup *plan)
{
  SoakFaults *self = g_new0 (SoakFaults, 1);
  self->processes = processes;
  self->platform = platform;
  self->plan = plan;
  self->frozen_n = g_new0 (guint, plan->daemon_n);
  self->scheduled_ends = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  return self;
}

void
soak_faults_free (SoakFaults *self)
{
  GHashTableIter iter;
  gpointer scheduled;
  g_hash_table_iter_init (&iter, self->scheduled_ends);
  while (g_hash_table_iter_next (&iter, &scheduled, NULL))
    g_source_remove (((ScheduledEnd *) scheduled)->timer);
  g_hash_table_unref (self->scheduled_ends);
  g_free (self->frozen_n);
  g_free (self);
}
