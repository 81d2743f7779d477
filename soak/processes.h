/* The processes of one run: stand-in platform and daemons, connected by proxies (link.h). */
#pragma once

#include "link.h"

typedef struct
{
  guint16 base_port; /* port of the stand-in platform; the ports of its workers follow */
  guint daemon_n;
  guint worker_n;
  gboolean worker_links; /* connections to workers and between daemons use links as well */
  gboolean queue_moves;  /* half of the workers belong to SOAK_SECOND_SERVICE */
  gboolean start_times;  /* workers report when they were started */
  gboolean stops;        /* the workers' stops take up to SOAK_LONGEST_STOP_MS */
  guint max_lease_ms;    /* the longest lease of the workers */
  const char *folder;    /* for settings and logs of the run */
  const char *programs;  /* build folder of the programs */
} SoakSetup;

/* The longest leases of workers; the second with restarts. */
#define SOAK_MAX_LEASE_MS 6000
#define SOAK_LONG_MAX_LEASE_MS 10000

/* The bounds of stops with and without SoakSetup.stops. */
#define SOAK_LONGEST_STOP_MS 900
#define SOAK_SHORT_STOP_MS 200

/* The services of the stand-in platform. */
#define SOAK_SERVICE "svc"
#define SOAK_SECOND_SERVICE "svc2"

typedef struct _SoakProcesses SoakProcesses;

/* Returns: (transfer full): NULL when a process could not be started. */
SoakProcesses *soak_processes_new (const SoakSetup *setup);
/* Kills the processes and closes the links. */
void soak_processes_free (SoakProcesses *self);
/* The link of daemon I to the store, and the link of callers to daemon I. */
SoakLink *soak_store_link (SoakProcesses *self, guint i);
SoakLink *soak_caller_link (SoakProcesses *self, guint i);
/* The link of all daemons to worker K, and the link of the other daemons to daemon I.  Returns:
 * (nullable): NULL without worker_links. */
SoakLink *soak_worker_link (SoakProcesses *self, guint k);
SoakLink *soak_peer_link (SoakProcesses *self, guint i);
/* The port on which daemon I itself listens for callers. */
guint16 soak_daemon_port (const SoakProcesses *self, guint i);
/* Sends SIGNAL to daemon I if it runs. */
void soak_daemon_signal (SoakProcesses *self, guint i, int signal);
/* Daemon I restarts AFTER_MS after each exit, or AFTER_MS from now when it is down. */
void soak_daemon_restart (SoakProcesses *self, guint i, guint after_ms);
gboolean soak_daemon_runs (const SoakProcesses *self, guint i);
/* Returns: TRUE when daemon I runs and was not told to stop. */
gboolean soak_daemon_stays (const SoakProcesses *self, guint i);
/* Returns: (nullable) (transfer full): text of a violation: a daemon exited unexpectedly, or uses
 * too much memory or too many file descriptors. */
char *soak_processes_check (SoakProcesses *self);
