/* The processes of one run: the stand-in for the platform and the daemons, connected by links. */
#pragma once

#include "link.h"

typedef struct
{
  guint16 base_port; /* of the stand-in; the ports of its workers follow */
  guint daemon_n;
  guint worker_n;
  gboolean worker_links; /* also between daemons and workers, and between daemons */
  const char *folder;    /* for settings and logs of the run */
  const char *programs;  /* build folder of the programs */
} SoakSetup;

typedef struct _SoakProcesses SoakProcesses;

/* Returns: (transfer full): NULL when a process could not be started. */
SoakProcesses *soak_processes_new (const SoakSetup *setup);
/* Kills the processes and closes the links. */
void soak_processes_free (SoakProcesses *self);
/* Links of daemon I: to the store, and of callers to it. */
SoakLink *soak_store_link (SoakProcesses *self, guint i);
SoakLink *soak_caller_link (SoakProcesses *self, guint i);
/* Links of all daemons to worker K, and of the other daemons to daemon I.  Returns: (nullable):
 * NULL without worker_links. */
SoakLink *soak_worker_link (SoakProcesses *self, guint k);
SoakLink *soak_peer_link (SoakProcesses *self, guint i);
/* The port on which daemon I itself listens for callers. */
guint16 soak_daemon_port (const SoakProcesses *self, guint i);
/* Sends SIGNAL to daemon I if it runs. */
void soak_daemon_signal (SoakProcesses *self, guint i, int signal);
/* Daemon I restarts AFTER_MS after each of its ends, or AFTER_MS from now if it is down. */
void soak_daemon_restart (SoakProcesses *self, guint i, guint after_ms);
gboolean soak_daemon_runs (const SoakProcesses *self, guint i);
/* Returns: (nullable) (transfer full): text of a violation: a daemon ended by itself, or uses too
 * much memory or too many file descriptors. */
char *soak_processes_check (SoakProcesses *self);
