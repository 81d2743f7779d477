/* Internal definitions of the daemon that is deployed on the platform.
 *
 * All components except the keepalive run on one thread's main loop: a daemon has a fraction of one
 * core, and its callbacks are short.  Each component owns its open calls.  When a component is
 * freed while a call is open, the completion of the call frees the call's state. */
#pragma once

#include "clock.h"
#include "configuration-watch.h"
#include "configuration-watchers.h"
#include "link-monitor.h"
#include "loop-monitor.h"
#include "routes.h"
#include "settings.h"

#include "src/entry/advice/advisor.h"
#include "src/entry/frontend/load-notices.h"
#include "src/entry/frontend/recent-appends.h"
#include "src/entry/owner/owner.h"
#include "src/entry/peers/links.h"
#include "src/entry/peers/payload-dedup.h"
#include "src/entry/peers/peers.h"
#include "src/entry/peers/recent-starts.h"
#include "src/entry/peers/relay-versions.h"
#include "src/entry/peers/relay.h"
#include "src/entry/peers/suspect-backups.h"
#include "src/entry/store/appender.h"
#include "src/entry/store/daemons.h"
#include "src/entry/store/group.h"
#include "src/entry/store/join-monitor.h"
#include "src/entry/store/keepalive.h"
#include "src/entry/store/queue-directory.h"
#include "src/entry/store/route-directory.h"
#include "src/entry/store/store-health.h"
#include "src/entry/store/store-witnesses.h"
#include "src/entry/store/topic-reader.h"
#include "src/entry/store/worker-list.h"

#include "fb-timer.h"
#include "internal/pool.h"
#include "platform/wire.h"

/* First letter of the keys in FB_TOPIC_JOBS; the job's id follows. */
#define FB_KEY_JOB 'j'
#define FB_KEY_CANCEL 'c'
/* The value of a cancel: this prefix, since a record without a value deletes its key, and the
 * account of the caller. */
#define FB_CANCEL_PREFIX "x"
/* The same of a cancel that the owner of another partition has passed on. */
#define FB_PASSED_CANCEL_PREFIX "y"

/* ---- daemon state ------------------------------------------------------ */

struct _FbEntryDaemon
{
  FbEntrySettings *settings;
  const char *settings_path;
  FbHttpClient *store_client;
  FbHttpClient *worker_client;
  FbHttpClient *advice_client;
  FbLinks *links;   /* connections to the other daemons */
  FbRoutes *routes; /* NULL until the first configuration */
  FbTopicReader *config_reader;
  FbConfigurationWatch *configuration_watch;
  FbConfigurationWatchers *configuration_watchers;
  FbTopicReader *worker_reader; /* NULL unless this daemon owns a pool, or has until recently */
  uint64_t
      without_pools_ms; /* time since which it has owned none while it is read; 0: it owns one */
  FbQueueDirectory *queue_directory; /* NULL until this daemon is assigned a partition */
  FbRouteDirectory *route_directory;
  FbWorkerList *workers;
  GHashTable *malformed_ids; /* ids of malformed worker entries that have been logged */
  GHashTable *listed_ids;    /* ids in the listing in progress; NULL: none in progress */
  FbKeepalive *keepalive;
  FbDaemons *daemons;
  FbStoreWitnesses *store_witnesses;
  FbGroup *group;
  FbAdvisor *advisor;
  GHashTable *owners;           /* partition -> FbOwner */
  GHashTable *appenders;        /* partition -> FbAppender for callers' records */
  GHashTable *partition_epochs; /* partition -> FbPartitionEpochs: epochs used by this daemon */
  FbTimer *timer;
  FbLoopMonitor *loop_monitor;
  FbLinkMonitor *link_monitor;
  FbPayloadDedup *payload_dedup;     /* payloads sent to other daemons */
  FbPayloadCache *payload_cache;     /* payloads received from other daemons */
  FbRelayVersions *relay_versions;   /* daemons that relay no progress of runs */
  FbRelayChoices *relay_choices;     /* daemons that relay this one's orders */
  uint64_t calls_limited_logged_ms;  /* time of the last WORKER_CALLS_LIMITED; 0: never */
  FbRecentStarts *recent_starts;     /* starts sent to workers from this daemon */
  FbRecentAppends *recent_appends;   /* callers' jobs that this daemon has tried to store */
  FbLoadNotices *load_notices;       /* of overloaded pools, from their owners */
  FbSuspectBackups *suspect_backups; /* held for owners that cannot write to the store */
  FbJoinMonitor join_monitor;
  gboolean stopping;
  gboolean refusing_callers;  /* new callers are refused because the process is about to exit */
  guint open_calls;           /* number of callers' requests without an answer */
  uint64_t last_answer_ms;    /* time of the last answer to a caller */
  uint64_t store_answered_ms; /* time of the last successful answer of the store */
  uint64_t store_failed_ms;   /* time of the last failed call of the store; 0: none yet */
  gboolean store_lost;
  FbStoreHealth store_health; /* latency and failures of this daemon's calls to the store */
  gboolean store_degraded;    /* last logged state; see fb_append_proxy_store_is_degraded() */
};

uint32_t fb_entry_partition_of (const FbEntryDaemon *self, const char *service);
/* Returns: (transfer full) (nullable): the partitions of the services that are configured, or may
 * have jobs of earlier configurations, of uint32_t; NULL before the first configuration. */
GArray *fb_entry_service_partitions (const FbEntryDaemon *self);
/* Returns: the services of all queues, borrowed; begins to read them when that was not done yet. */
FbQueueDirectory *fb_entry_queue_directory (FbEntryDaemon *self);
FbOwner *fb_entry_owner (const FbEntryDaemon *self, uint32_t partition);
FbAppender *fb_entry_appender (FbEntryDaemon *self, uint32_t partition);
/* Sets the partitions that this daemon owns.  New ones are taken over with an epoch of the group's
 * GENERATION.  REASON: logged as the reason for partitions that are no longer owned. */
void fb_entry_set_owned_partitions (FbEntryDaemon *self, const GArray *partitions,
                                    uint64_t generation, const char *reason);
void fb_entry_release_partition (FbEntryDaemon *self, uint32_t partition);
void fb_entry_foreach_owner (FbEntryDaemon *self, void (*func) (FbOwner *owner));
/* Starts reading the configuration, and the periodic release of partitions whose ownership was
 * lost. */
void fb_entry_start_watching (FbEntryDaemon *self);
/* Returns: (transfer full): ages of the last joins and the largest main loop delay, for log lines
 * about a lost partition. */
char *fb_entry_format_timing (const FbEntryDaemon *self);
/* To be called when the store has answered a join of the owners' group; TTL_MS is this daemon's
 * time to live in the group. */
void fb_entry_join_answered (FbEntryDaemon *self, uint32_t ttl_ms);
/* To be called with the REPLY to a membership renewal that was sent at SENT_MS: updates
 * store_health. */
void fb_entry_membership_renewed (FbEntryDaemon *self, const FbHttpReply *reply, uint64_t sent_ms);
/* To be called with the REPLY to a call of the store: records whether the store is available. */
void fb_entry_store_answered (FbEntryDaemon *self, const FbHttpReply *reply);
/* Returns: TRUE when the store has not answered for so long that a call would probably time out;
 * callers are then refused before anything is sent. */
gboolean fb_entry_store_is_silent (const FbEntryDaemon *self);
gboolean fb_entry_is_ready (const FbEntryDaemon *self);
