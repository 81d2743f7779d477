/* Internal definitions of a partition's owner. */
#pragma once

#include "src/entry/entry-private.h"

/* The pool of one service of the partition. */
typedef struct
{
  FbOwner *owner;
  FbPool *pool;
  char *service;
} FbServicePool;

struct _FbOwner
{
  FbEntry *entry;
  uint32_t partition;
  uint64_t epoch;
  FbAppender *appender;
  FbTopicReader *progress_reader;
  FbTopicReader *job_reader;
  GHashTable *progress;      /* job -> GBytes of its progress record, while loading */
  GHashTable *cancelled;     /* set of cancelled jobs, while loading */
  GHashTable *admissions;    /* job -> GBytes of its admission record, while loading */
  GHashTable *service_pools; /* service -> FbServicePool */
  guint load_source;         /* source that applies the records read; 0 when none is scheduled */
  gboolean loaded;
  gboolean workers_known; /* the list of workers was read after fenced_ms */
  gboolean lost;          /* stepped down: does not act any more */
  gboolean quiesced;      /* starts no tasks, because the daemon is stopping */
  uint64_t take_over_began_ms;
  uint64_t fenced_ms;     /* when the previous owner was fenced off */
  uint64_t progress_ms;   /* when the recorded progress had been read */
  uint64_t jobs_ms;       /* when the jobs had been read; they are applied from then on */
  guint loaded_n;         /* number of jobs that were loaded */
  gsize loaded_bytes;     /* size of all records that were loaded */
  uint64_t confirmed_ms;  /* when its ownership was last confirmed */
  guint start_requests_n; /* number of requests for recent starts sent to each other daemon */
  uint64_t next_start_request_ms; /* time of the next such request */
  guint tick_source;              /* source of a tick that is scheduled; 0: none */
  guint tick_timer;               /* subscription for the periodic tick */
  guint open_flushes;             /* number of appends of progress without a result */
  GPtrArray *ended_jobs; /* ids of jobs whose end is stored: their records can be dropped */
  uint64_t dropped_ms;   /* when such records were last dropped */
};

/* Keys of FB_TOPIC_PROGRESS are job ids, or this prefix and the name of a service. */
#define FB_KEY_WORKERS "workers."

/* owner-orders.c: sends the orders of pools and passes the answers back. */
extern const FbPoolCallbacks fb_owner_pool_callbacks;
/* Marks SELF as no longer the owner: it stops acting at once, and the daemon frees it soon. */
void fb_owner_step_down (FbOwner *self, const char *why);

/* owner-load.c: loads the records of previous owners. */

/* Completion of the append that fences off the previous writer. */
void fb_owner_writer_fenced (gpointer self, FbAppendResult result);

/* owner-suspect-backups.c */

/* Sends crash suspects that the store does not accept to other daemons. */
void fb_owner_back_up_suspects (const FbServicePool *service_pool);
/* Applies PEER_REPLY, the copies of suspects that a daemon has held for earlier owners. */
void fb_owner_import_suspects (FbOwner *self, const fb_suspect_backups_reply *peer_reply);

/* owner-import.c */

/* Requests the recent starts of earlier owners from all daemons, twice, and the suspects that they
 * hold for earlier owners, once.  To be called in every tick once the owner has loaded. */
void fb_owner_request_starts (FbOwner *self, uint64_t now_ms);

/* owner.c */

/* Returns: the pool of SERVICE, borrowed; created when there is none. */
FbServicePool *fb_owner_pool_for (FbOwner *self, const char *service);
