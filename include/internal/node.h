/* A node: all decisions of one daemon, without I/O, clock or threads.
 *
 * It joins the parts (members, shards, racks, ranges, router, configuration) and
 * speaks messages on four sides: peers, workers, the log, callers.  The daemon
 * gives it sockets and a clock; the fuzzer and the tests give it fakes.
 *
 * Every function that changes the node takes NOW_MS of one monotonic clock. */
#pragma once

#include "fb-cell.h"
#include "fb-timer.h"
#include "internal/codec.h"
#include "internal/rack.h"

typedef struct _FbNode FbNode;

#define FB_STREAM_CONFIG G_MAXUINT32
#define FB_NODE_BATCH_RECORDS 256
#define FB_NODE_BATCH_BYTES (512 * 1024)

/* One record on its way to the log, or read from it. */
typedef struct
{
  uint32_t stream; /* a shard, or FB_STREAM_CONFIG */
  uint64_t offset; /* set when it is in the log */
  uint64_t age_ms; /* by the log's own clock */
  GBytes *data;
} FbLogRecord;

typedef struct
{
  /* MSG is borrowed for the call; MEMBER is an index into the cell. */
  void (*send) (gpointer user, guint member, const fb_msg *msg);
  /* Answered by fb_node_sync_done() or fb_node_sync_failed(). */
  void (*worker_sync) (gpointer user, uint32_t rack, guint worker, const FbSyncRequest *request);
  /* Appends all or nothing, in order.  Answered by fb_node_log_appended().
   * One call is open at a time. */
  void (*log_append) (gpointer user, const FbLogRecord *records, guint n);
  /* Reads from FROM to the end.  Answered by fb_node_log_read(). */
  void (*log_read) (gpointer user, uint32_t stream, uint64_t from);
  /* For callers held by this daemon; borrowed for the call. */
  void (*answer) (gpointer user, const fb_answer *answer);
  /* A revision came into force, or one that was submitted here lost. */
  void (*config_changed) (gpointer user, uint32_t partner, uint64_t serial);
} FbNodeSink;

typedef struct
{
  const FbCell *cell; /* borrowed for the life of the node */
  guint self_index;
  uint64_t incarnation; /* grows from one start of the process to the next */
  uint32_t seed;
  const FbNodeSink *sink;
  gpointer user;
} FbNodeConfig;

FbNode *fb_node_new (const FbNodeConfig *config, uint64_t now_ms);
void fb_node_free (FbNode *self);

/* Lets time pass; to be called at least every 100 ms. */
void fb_node_advance (FbNode *self, uint64_t now_ms);

/* A message of a peer; its time left is corrected in place. */
void fb_node_receive (FbNode *self, uint64_t now_ms, fb_msg *msg);

/* Workers.  EPOCH is that of the request which is answered. */
void fb_node_sync_done (FbNode *self, uint64_t now_ms, uint32_t rack, guint worker,
                        uint64_t request_epoch, const FbSyncReply *reply);
void fb_node_sync_failed (FbNode *self, uint64_t now_ms, uint32_t rack, guint worker,
                          uint64_t request_epoch);
/* Something changed at a worker: ask it soon. */
void fb_node_worker_changed (FbNode *self, uint64_t now_ms, uint32_t rack, guint worker);
typedef enum
{
  FB_HOST_LIVE,
  FB_HOST_LEAVING,
  FB_HOST_GONE
} FbHostState;
void fb_node_set_host_state (FbNode *self, uint64_t now_ms, uint32_t rack, guint worker,
                             FbHostState state);

/* The log.  OFFSETS has one entry for each record of the call; NULL means that
 * it failed or that its fate is unknown. */
void fb_node_log_appended (FbNode *self, uint64_t now_ms, const uint64_t *offsets, guint n);
/* RECORDS from FIRST_KEPT, or the offset asked for, on.  AT_END tells
 * that there was nothing behind them when the log answered, LOG_NOW_MS what its
 * clock showed then. */
typedef struct
{
  uint64_t log_now_ms;
  uint64_t first_retained;
  gboolean at_end;
  const FbLogRecord *records; /* borrowed */
  guint record_n;
} FbLogPage;
/* PAGE is NULL when the read failed. */
void fb_node_log_read (FbNode *self, uint64_t now_ms, uint32_t stream, const FbLogPage *page);

/* Callers. */
/* UNTIL_ADMITTED: the caller only waits for the job to be in force; else for its
 * final answer. */
void fb_node_submit (FbNode *self, uint64_t now_ms, const fb_job *job, gboolean until_admitted);
/* Returns: FALSE when the owner of the job's range is not known; nothing was
 * sent.  Else an answer comes through the sink, unless it is lost. */
gboolean fb_node_query_job (FbNode *self, uint64_t now_ms, uint32_t partner, uint64_t job);
gboolean fb_node_cancel (FbNode *self, uint64_t now_ms, uint32_t partner, uint64_t job);

/* Operators: RECORD is an encoded, signed fb_rec_config body.  The outcome is
 * seen through config_changed() and fb_node_config_serial(). */
typedef enum
{
  FB_NODE_CONFIG_OK,
  FB_NODE_CONFIG_MALFORMED,
  FB_NODE_CONFIG_UNSIGNED,
  FB_NODE_CONFIG_CONFLICT,
  FB_NODE_CONFIG_INVALID
} FbNodeConfigStatus;
FbNodeConfigStatus fb_node_publish (FbNode *self, uint64_t now_ms, const fb_rec_config *config);

/* Begins a planned stop: shards are handed over. */
void fb_node_drain (FbNode *self, uint64_t now_ms);
