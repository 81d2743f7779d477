/* Internal definitions of a partition's owner. */
#pragma once

#include "src/entry/entry-private.h"

/* The pool of one service of the partition. */
typedef struct
{
  FbOwner *owner;
  FbPool *pool;
  char *service;
} FbOwnerPart;

struct _FbOwner
{
  FbEntry *entry;
  uint32_t partition;
  uint64_t epoch;
  FbAppender *appender;
  FbFollower *progress_follower;
  FbFollower *job_follower;
  GHashTable *progress;  /* job -> GBytes, while loading */
  GHashTable *cancelled; /* set of cancelled jobs, while loading */
  GHashTable *loading;   /* job -> GBytes, while loading */
  GHashTable *parts;     /* service -> FbOwnerPart */
  guint load_turn;       /* source that applies the records read; 0 when none is scheduled */
  gboolean loaded;
  gboolean workers_known; /* the list of workers was read after fenced_ms */
  gboolean lost;
  gboolean quiet;
  uint64_t began_ms;
  uint64_t fenced_ms;    /* when the previous owner was fenced off */
  uint64_t progress_ms;  /* when the recorded progress had been read */
  uint64_t jobs_ms;      /* when the jobs had been read; they are applied from then on */
  guint loaded_n;        /* number of jobs that were loaded */
  gsize loaded_bytes;    /* size of all records that were loaded */
  uint64_t authority_ms; /* when its ownership was last confirmed */
  guint recalled_n;      /* number of requests for recent starts sent to each other daemon */
  uint64_t recall_ms;    /* time of the next such request */
  guint kick;
  guint tick;
  guint open_flushes;
  GPtrArray *spent;    /* ids of jobs whose end is stored: their records can be dropped */
  uint64_t dropped_ms; /* when such records were last dropped */
};

/* Keys of FB_TOPIC_PROGRESS are job ids, or this prefix and the name of a service. */
#define FB_KEY_WORKERS "workers."

/* owner-orders.c: sends the orders of pools and passes the answers back. */
extern const FbPoolSink fb_owner_sink;
/* Marks SELF as no longer the owner: it stops acting at once, and the daemon frees it soon. */
void fb_owner_lose (FbOwner *self, const char *why);

/* owner-load.c: loads the records of previous owners. */

/* Completion of the append that fences off the previous writer. */
void fb_owner_writer_shut_out (gpointer self, FbAppendResult result);

/* owner-unstored.c */

/* Sends crash suspects that the store does not accept to other daemons. */
void fb_owner_hand_unstored (const FbOwnerPart *part);
/* Applies TOLD, the copies of suspects that a daemon has held for earlier owners. */
void fb_owner_take_kept (FbOwner *self, const fb_told_kept *told);

/* owner-recall.c */

/* Requests the recent starts of earlier owners from all daemons, twice.  To be called in every step
 * once the owner has loaded. */
void fb_owner_recall_starts (FbOwner *self, uint64_t now_ms);

/* owner.c */

/* Returns: the pool of SERVICE, borrowed; created when there is none. */
FbOwnerPart *fb_owner_part_for (FbOwner *self, const char *service);
