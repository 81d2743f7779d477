/* The parts of an owner, for its own files only. */
#pragma once

#include "src/entry/entry-private.h"

/* One service's pool, and whose it is. */
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
  FbTopicReader *progress_reader;
  FbTopicReader *job_reader;
  GHashTable *progress;  /* job -> GBytes, while loading */
  GHashTable *cancelled; /* jobs, while loading */
  GHashTable *loading;   /* job -> GBytes, while loading */
  GHashTable *parts;     /* service -> FbOwnerPart */
  guint load_turn;       /* the source that takes in what was read; 0: none */
  gboolean loaded;
  gboolean workers_known; /* the list of workers is younger than the take-over */
  gboolean lost;
  gboolean quiet;
  uint64_t began_ms;
  uint64_t fenced_ms;    /* since when the owner before cannot record anything */
  uint64_t progress_ms;  /* when what the owner before had recorded was read */
  uint64_t jobs_ms;      /* when the jobs were read; they are taken in from then on */
  guint loaded_n;        /* jobs that were taken in */
  gsize loaded_bytes;    /* of all records */
  uint64_t authority_ms; /* when it was last sure to be the owner */
  guint recalled_n;      /* how often the other daemons were asked for starts */
  uint64_t recall_ms;    /* when they are asked again */
  guint kick;
  guint tick;
  guint open_flushes;
  GPtrArray *spent;    /* ids of jobs that have ended: their records can go */
  uint64_t dropped_ms; /* when such were dropped last */
};

/* Keys of FB_TOPIC_PROGRESS are job ids, or this and the name of a service. */
#define FB_KEY_WORKERS "workers."

/* owner-orders.c: what pools send, and what comes back. */
extern const FbPoolSink fb_owner_sink;
/* It must not be used any more; the daemon frees it soon. */
void fb_owner_lose (FbOwner *self, const char *why);

/* owner-load.c: reading what predecessors left. */

/* For the append that shuts the writer before out. */
void fb_owner_writer_shut_out (gpointer self, FbAppendResult result);

/* owner-unstored.c */

/* Hands what the store does not take to other daemons. */
void fb_owner_hand_unstored (const FbOwnerPart *part);
/* Another daemon has kept TOLD for earlier owners. */
void fb_owner_take_kept (FbOwner *self, const fb_suspect_backups_reply *told);

/* owner-recall.c */

/* Asks the other daemons for starts of earlier owners, twice; to be called often once the owner has
 * loaded. */
void fb_owner_recall_starts (FbOwner *self, uint64_t now_ms);

/* owner.c */

/* Returns: borrowed; made when there is none yet. */
FbOwnerPart *fb_owner_part_for (FbOwner *self, const char *service);
