/* The parts of a daemon on the platform, for its own files only.
 *
 * All parts but the keepalive share one thread's main loop: a daemon has a fraction of one
 * core, and what it does is short.  Each part owns its calls; a part that is freed with a
 * call open leaves the call to free what it needs. */
#pragma once

#include "clock.h"
#include "daemons.h"
#include "join-watch.h"
#include "keepalive.h"
#include "link-watch.h"
#include "links.h"
#include "loop-watch.h"
#include "payload-share.h"
#include "relay.h"
#include "routes.h"
#include "settings.h"

#include "fb-timer.h"
#include "internal/pool.h"
#include "platform/wire.h"

#include <libsoup/soup.h>

/* Keys of FB_TOPIC_JOBS: one letter and the job's id. */
#define FB_KEY_JOB 'j'
#define FB_KEY_CANCEL 'c'

typedef struct _FbFollower FbFollower;
typedef struct _FbAppender FbAppender;
typedef struct _FbGroup FbGroup;
typedef struct _FbOwner FbOwner;
typedef struct _FbAdvisor FbAdvisor;

/* ---- follower: one partition of a keyed topic, as it changes ----------------- */

typedef struct
{
  /* A full listing begins; what it does not pass is gone. */
  void (*begin) (gpointer user);
  void (*record) (gpointer user, const FbStoreRecord *record);
  /* The listing is complete; changes follow. */
  void (*listed) (gpointer user);
} FbFollowerOps;

/* PAUSE_MS lies between a page of changes and the next poll. */
FbFollower *fb_follower_new (FbEntry *entry, const char *topic, uint32_t partition,
                             uint32_t pause_ms, const FbFollowerOps *ops, gpointer user);
void fb_follower_free (FbFollower *self);
/* Reads now what it would read after its pause. */
void fb_follower_hurry (FbFollower *self);
/* When the last answered read was sent: everything stored before is known.  0
 * while the first listing is open. */
uint64_t fb_follower_fresh_ms (const FbFollower *self);

/* ---- appender: group commit to one partition ------------------------------------ */

typedef void (*FbAppended) (gpointer user, FbAppendResult result);

/* WRITER of NULL: beside the writer in force, repeated only to resolve doubt.
 * Else repeated until it is stored or refused for good. */
FbAppender *fb_appender_new (FbEntry *entry, const char *topic, uint32_t partition,
                             const char *writer, uint64_t epoch);
void fb_appender_free (FbAppender *self);
/* Takes over RECORDS, already encoded.  DONE is called once unless the appender is
 * freed; not later than GIVE_UP_MS when there is no writer. */
void fb_appender_put (FbAppender *self, GByteArray *records, uint64_t give_up_ms, FbAppended done,
                      gpointer user);

/* ---- group: which partitions this daemon owns ------------------------------------- */

FbGroup *fb_group_new (FbEntry *entry);
/* Gives all partitions back; DONE is called when the store has it, or gave no
 * answer. */
void fb_group_leave (FbGroup *self, void (*done) (gpointer user), gpointer user);
/* TRUE while no other daemon can have been dealt this one's partitions. */
gboolean fb_group_is_member (const FbGroup *self, uint64_t now_ms);
/* Returns: (nullable): the address of the daemon that owns PARTITION, borrowed. */
const char *fb_group_owner_of (const FbGroup *self, uint32_t partition);
/* What is known of the owners is wrong: they are asked for, at most each 0.2 s. */
void fb_group_refresh (FbGroup *self);
/* Tells DONE the owners of all partitions, or UNSURE while the store does not answer here. */
void fb_group_tell_owners (const FbGroup *self, FbTold done, gpointer user);
/* Returns: (transfer container): addresses of all daemons, as members or as owners. */
GPtrArray *fb_group_daemons (const FbGroup *self);
/* EXCEPT: addresses; may be NULL.
 * Returns: (nullable): another daemon, drawn at random, borrowed. */
const char *fb_group_any_peer (const FbGroup *self, GPtrArray *except);

/* ---- owner: the pools of one partition ------------------------------------------------ */

FbOwner *fb_owner_new (FbEntry *entry, uint32_t partition, uint64_t epoch);
void fb_owner_free (FbOwner *self);
gboolean fb_owner_lost (const FbOwner *self);
/* Answers questions about jobs and queues. */
void fb_owner_tell (FbOwner *self, const fb_ask *ask, fb_told *told);
/* Takes a record of FB_TOPIC_JOBS that is in the store, before it is read there. */
void fb_owner_take_record (FbOwner *self, const char *key, GBytes *value);
/* Something changed that pools should look at soon. */
void fb_owner_kick (FbOwner *self);
void fb_owner_routes_changed (FbOwner *self);
void fb_owner_worker_listed (FbOwner *self, const FbListedWorker *worker);
void fb_owner_worker_unlisted (FbOwner *self, const FbListedWorker *worker);
/* Nothing is started any more; what is known is made durable. */
void fb_owner_quiesce (FbOwner *self);
gboolean fb_owner_is_quiet (const FbOwner *self);
/* TOLD is NULL when the question failed. */
void fb_owner_advised (FbOwner *self, const char *step, const char *const *asked, guint n,
                       const fb_told_advice *told);

/* ---- peers ------------------------------------------------------------------------------ */

void fb_peers_ask (FbEntry *entry, const char *address, const fb_ask *ask, uint32_t timeout_ms,
                   FbTold done, gpointer user);
/* Asks the owner of the pool of SERVICE, wherever it is. */
void fb_peers_ask_owner (FbEntry *entry, const char *service, const fb_ask *ask,
                         uint32_t timeout_ms, FbTold done, gpointer user);
/* Tells the owner of PARTITION of a stored record; it is read from the store anyway,
 * so nothing depends on the answer. */
void fb_peers_tell_stored (FbEntry *entry, uint32_t partition, const char *key, GBytes *value);
/* Appends progress through PEER, as the store would take it from here. */
void fb_peers_write (FbEntry *entry, const char *peer, const fb_ask_write *write,
                     uint32_t timeout_ms, FbAppended done, gpointer user);
/* For the links of ENTRY. */
void fb_peers_serve (gpointer entry, FbLinkCall *call, gconstpointer body, gsize len);

/* ---- advisor: spreads questions for advice over the daemons -------------------------------- */

FbAdvisor *fb_advisor_new (FbEntry *entry);
/* Returns: FALSE when every daemon has a question open. */
gboolean fb_advisor_ask (FbAdvisor *self, uint32_t partition, const char *step,
                         const char *const *workers, guint n, uint32_t expected_ms);
/* Calls the advice service from here. */
void fb_advisor_call (FbEntry *entry, const fb_ask_advice *ask, FbTold done, gpointer user);

/* ---- front --------------------------------------------------------- */

void fb_entry_front_serve (SoupServer *server, SoupServerMessage *message, const char *path,
                           GHashTable *query, gpointer entry);
/* The longest that a caller waits here: all ways to store a job, one after the other. */
#define FB_FRONT_LONGEST_CALL_MS 2600

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
  FbFollower *config_follower;
  FbFollower *worker_follower; /* NULL until it owns something */
  GHashTable *workers;         /* id -> FbListedWorker */
  GHashTable *skipped;         /* ids of entries that could not be read, told of already */
  GHashTable *relisted;        /* ids of the listing that is open; NULL: none is */
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
  FbPayloadShare *payload_share; /* what was sent to other daemons */
  FbPayloadCache *payload_cache; /* what they have sent here */
  FbJoinWatch joins;
  gboolean stopping;
  gboolean refusing;    /* near its end: calls are turned away at once */
  guint open_calls;     /* of callers */
  uint64_t answered_ms; /* when a caller was given an answer last */
  uint64_t store_ok_ms; /* last answer of the store */
  gboolean store_lost;
  uint64_t append_ms; /* how long a caller's record took last, by whatever way */
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
/* Notes whether the store answered. */
void fb_entry_store_answered (FbEntry *self, const FbHttpReply *reply);
/* TRUE when the store has been silent for so long that a call would most likely get no
 * answer: callers are refused at once then, before anything is sent. */
gboolean fb_entry_store_is_silent (const FbEntry *self);
gboolean fb_entry_is_ready (const FbEntry *self);
