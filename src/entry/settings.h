/* Settings of a daemon on the platform, read from an INI file that the platform generates. */
#pragma once

#include "fb-types.h"

typedef struct
{
  char *name;
  char *domain;              /* failure domain */
  char *callers;             /* IP:PORT where callers are served */
  char *readiness;           /* IP:PORT of the readiness check */
  char *peers;               /* IP:PORT where the other daemons reach this one */
  char *peers_listen;        /* IP:PORT where it listens for them */
  char *metrics;             /* IP:PORT of the metrics */
  char *store;               /* address of the platform's store */
  char *advice;              /* IP:PORT of the advice service; NULL: no queue has advice */
  uint64_t partitions;       /* number of partitions of the job and progress topics */
  uint64_t shortest_ttl_ms;  /* shortest time to live that a group of the store allows */
  uint64_t record_max_bytes; /* largest record that the store accepts, with its key */
  uint64_t append_max_bytes; /* largest body of an append that the store accepts */
  uint64_t max_lease_ms;     /* limits of workers; see FbPoolLimits */
  uint64_t max_stop_ms;
  uint64_t gang_wait_ms;
  uint64_t max_isolated_crashes; /* crashed workers at which a task's job fails; 0: default */
  uint64_t max_shared_crashes;   /* the same if other tasks may be the cause; 0: default */
  uint64_t config_bound_ms;      /* time within which a new configuration has to be in force */
  uint64_t grace_ms;             /* time between the stop signal and the kill of the process */
  uint64_t link_kbit_s; /* capacity of the network link, each way; Mbit/s in the file; 0: unknown */
  uint64_t cpu_milli;   /* processor share, in thousandths of a core; 1000 by default */
} FbEntrySettings;

/* Returns: TRUE when the file at PATH contains settings of this kind rather than of a cell's
 * daemon. */
gboolean fb_entry_settings_recognize (const char *path);
/* Returns: (transfer full): NULL on an error; fb_status_message() contains file, group and key. */
FbEntrySettings *fb_entry_settings_load (const char *path);
void fb_entry_settings_free (FbEntrySettings *self);
gboolean fb_entry_settings_same_listeners (const FbEntrySettings *a, const FbEntrySettings *b);
