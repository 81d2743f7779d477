/* Settings of a daemon on the platform: an INI file that the platform fills in. */
#pragma once

#include "fb-types.h"

typedef struct
{
  char *name;
  char *domain;  /* failure domain */
  char *callers; /* IP:PORT, each of these */
  char *readiness;
  char *peers;        /* where the other daemons reach this one */
  char *peers_listen; /* where it listens for them */
  char *metrics;
  char *store;
  char *advice; /* NULL: no queue has advice */
  uint64_t partitions;
  uint64_t shortest_ttl_ms; /* of a member of a group */
  uint64_t max_lease_ms;
  uint64_t max_stop_ms;
  uint64_t gang_wait_ms;
  uint64_t max_isolated_crashes; /* of workers under a task before it is given up; 0 if not told */
  uint64_t max_shared_crashes;   /* the same if others were on the workers; 0 if not told */
  uint64_t grace_ms;
  uint64_t link_kbit_s; /* of its network link, each way; Mbit/s in the file; 0 if not told */
  uint64_t cpu_milli;   /* what it has of a core, in thousandths; 1000 if not told */
} FbEntrySettings;

/* Returns: TRUE when the file at PATH is of this kind, not a cell's daemon. */
gboolean fb_entry_settings_recognize (const char *path);
/* Returns: (transfer full): NULL with a last message that names file, group and key. */
FbEntrySettings *fb_entry_settings_load (const char *path);
void fb_entry_settings_free (FbEntrySettings *self);
gboolean fb_entry_settings_same_listeners (const FbEntrySettings *a, const FbEntrySettings *b);
