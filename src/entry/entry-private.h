/* The parts of a daemon on the platform, for its own files only.
 *
 * All parts but the keepalive share one thread's main loop: a daemon has a fraction of one
 * core, and what it does is short.  Each part owns its calls; a part that is freed with a
 * call open leaves the call to free what it needs. */
#pragma once

#include "clock.h"
#include "link-watch.h"
#include "loop-watch.h"
#include "routes.h"
#include "settings.h"

#include "src/entry/advice/advisor.h"
#include "src/entry/owner/owner.h"
#include "src/entry/peers/links.h"
#include "src/entry/peers/payload-dedup.h"
#include "src/entry/peers/peers.h"
#include "src/entry/peers/recent-starts.h"
#include "src/entry/peers/relay.h"
#include "src/entry/peers/suspect-backups.h"
#include "src/entry/store/appender.h"
#include "src/entry/store/daemons.h"
#include "src/entry/store/group.h"
#include "src/entry/store/join-watch.h"
#include "src/entry/store/keepalive.h"
#include "src/entry/store/store-health.h"
#include "src/entry/store/topic-reader.h"
#include "src/entry/store/worker-list.h"

#include "fb-timer.h"
#include "internal/pool.h"
#include "platform/wire.h"

/* Keys of FB_TOPIC_JOBS: one letter and the job's id. */
#define FB_KEY_JOB 'j'
#define FB_KEY_CANCEL 'c'

/* ---- the whole --------------------------------------------------------- */

struct _FbEntry
{
  FbEntrySettings *settings;
  const char *settings_path;
  FbHttpClient *store_client;
  FbHttpClient *worker_client;
  FbHttpClient *advice_client;
  FbLinks *links;   /* to the other daemons */
  FbRoutes *routes; /* NULL until the first configuration */
  FbTopicReader *config_reader;
  FbTopicReader *worker_reader; /* NULL until it owns something */
  FbWorkerList *workers;
  GHashTable *skipped;  /* ids of entries that could not be read, told of already */
  GHashTable *relisted; /* ids of the listing that is open; NULL: none is */
  FbKeepalive *keepalive;
  FbDaemons *daemons;
  FbGroup *group;
  FbAdvisor *advisor;
  GHashTable *owners;    /* partition -> FbOwner */
  GHashTable *appenders; /* partition -> FbAppender for callers' records */
  GHashTable *takes;     /* partition -> FbTake: epochs that were used here */
  FbTimer *timer;
  FbLoopWatch *loop;
  FbLinkWatch *link;
  FbPayloadShare *payload_share;     /* what was sent to other daemons */
  FbPayloadCache *payload_cache;     /* what they have sent here */
  FbRecentStarts *recent_starts;     /* that went out from here */
  FbSuspectBackups *suspect_backups; /* for owners whose store takes nothing */
  FbJoinWatch joins;
  gboolean stopping;
  gboolean refusing;    /* near its end: calls are turned away at once */
  guint open_calls;     /* of callers */
  uint64_t answered_ms; /* when a caller was given an answer last */
  uint64_t store_ok_ms; /* last answer of the store */
  gboolean store_lost;
  FbStoreHealth pace; /* of callers' records */
  gboolean troubled;  /* they had better not be stored from here, as was logged last */
};

uint32_t fb_entry_partition_of (const FbEntry *self, const char *service);
FbOwner *fb_entry_owner (const FbEntry *self, uint32_t partition);
FbAppender *fb_entry_appender (FbEntry *self, uint32_t partition);
/* Sets which partitions this daemon owns from now on, under EPOCH if they are new.  WHY: what
 * is told of those that it owns no more. */
void fb_entry_own (FbEntry *self, const GArray *partitions, uint64_t epoch, const char *why);
void fb_entry_disown (FbEntry *self, uint32_t partition);
void fb_entry_each_owner (FbEntry *self, void (*func) (FbOwner *owner));
/* Begins to follow the configuration and to give up what is lost. */
void fb_entry_watch (FbEntry *self);
/* Returns: (transfer full): how old its joins are and how late its loop was, for lines that tell
 * of a loss. */
char *fb_entry_ages (const FbEntry *self);
/* The store has answered a join; TTL_MS is the daemon's time to live in the group. */
void fb_entry_join_answered (FbEntry *self, uint32_t ttl_ms);
/* A renewal of a membership that was sent at SENT_MS has come to REPLY. */
void fb_entry_renewed (FbEntry *self, const FbHttpReply *reply, uint64_t sent_ms);
/* Notes whether the store answered. */
void fb_entry_store_answered (FbEntry *self, const FbHttpReply *reply);
/* TRUE when the store has been silent for so long that a call would most likely get no
 * answer: callers are refused at once then, before anything is sent. */
gboolean fb_entry_store_is_silent (const FbEntry *self);
gboolean fb_entry_is_ready (const FbEntry *self);
