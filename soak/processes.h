/* The processes of one play: the stand-in of the platform and the daemons, each behind links. */
#pragma once

#include "link.h"

typedef struct
{
  guint16 base_port; /* of the stand-in; its workers follow */
  guint daemon_n;
  guint worker_n;
  gboolean worker_links; /* workers are behind links, and daemons for each other */
  const char *folder;    /* of the play, for settings and logs */
  const char *programs;  /* where the programs were built */
} SoakSetup;

typedef struct _SoakProcesses SoakProcesses;

/* Returns: (transfer full): all processes started; NULL: one could not be. */
SoakProcesses *soak_processes_new (const SoakSetup *setup);
/* Ends them by their ids, and what they listened on. */
void soak_processes_free (SoakProcesses *self);
/* Links of daemon I. */
SoakLink *soak_store_link (SoakProcesses *self, guint i);
SoakLink *soak_caller_link (SoakProcesses *self, guint i);
/* Of worker K, and of the other daemons to daemon I.  Returns: (nullable): NULL without such. */
SoakLink *soak_worker_link (SoakProcesses *self, guint k);
SoakLink *soak_peer_link (SoakProcesses *self, guint i);
/* Where daemon I itself listens for callers. */
guint16 soak_daemon_port (const SoakProcesses *self, guint i);
/* Sends SIGNAL to daemon I if it runs. */
void soak_daemon_signal (SoakProcesses *self, guint i, int signal);
/* Daemon I starts again once it has ended and AFTER_MS more have passed. */
void soak_daemon_restart (SoakProcesses *self, guint i, guint after_ms);
gboolean soak_daemon_runs (const SoakProcesses *self, guint i);
/* Returns: (nullable): what is wrong with a process: one that ended though nobody ended it, too
 * much memory, too many descriptors.  (transfer full) */
char *soak_processes_check (SoakProcesses *self);
