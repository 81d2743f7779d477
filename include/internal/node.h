/* A node: all decisions of one daemon, without I/O, clock or threads.
 *
 * It combines the members, shards, racks, ranges, router and configuration, and exchanges
 * messages with peers, workers, the log and callers. The daemon connects it to sockets
 * and a clock; the fuzzer and the tests connect it to simulated ones.
 *
 * Every function that changes the node takes NOW_MS of one monotonic clock. */
#pragma once

#include "fb-cell.h"
#include "fb-timer.h"
#include "internal/codec.h"
#include "internal/rack.h"

typedef struct _FbNode FbNode;

#define FB_STREAM_CONFIG G_MAXUINT32 /* stream of the partners' configuration */
/* Limits of one append to the log. */
#define FB_NODE_BATCH_RECORDS 256
#define FB_NODE_BATCH_BYTES (512 * 1024)

/* One record to be appended to the log, or read from it. */
typedef struct
{
  uint32_t stream; /* index of the shard, or FB_STREAM_CONFIG */
  uint64_t offset; /* set once the record is in the log */
  uint64_t age_ms; /* age by the log's clock */
  GBytes *data;
} FbLogRecord;

typedef struct
{
  /* Sends MSG to MEMBER, an index into the cell. MSG is borrowed for the call. */
  void (*send) (gpointer user, guint member, const fb_msg *msg);
  /* Sends one request to a worker. Answered by fb_node_sync_done() or
   * fb_node_sync_failed(). */
  void (*worker_sync) (gpointer user, uint32_t rack, guint worker, const FbSyncRequest *request);
  /* Appends all N records in order, or none. Answered by fb_node_log_appended(). Only one
   * call is unanswered at a time. */
  void (*log_append) (gpointer user, const FbLogRecord *records, guint n);
  /* Reads STREAM from offset FROM to its end. Answered by fb_node_log_read(). */
  void (*log_read) (gpointer user, uint32_t stream, uint64_t from);
  /* An answer for callers of this daemon; borrowed for the call. */
  void (*answer) (gpointer user, const fb_answer *answer);
  /* The revision SERIAL of PARTNER has come into force. */
  void (*config_changed) (gpointer user, uint32_t partner, uint64_t serial);
} FbNodeCallbacks;

typedef struct
{
  const FbCell *cell; /* borrowed for the lifetime of the node */
  guint self_index;
  uint64_t incarnation; /* larger at each start of the process */
  uint32_t seed;
  const FbNodeCallbacks *callbacks;
  gpointer user;
} FbNodeConfig;

FbNode *fb_node_new (const FbNodeConfig *config, uint64_t now_ms);
void fb_node_free (FbNode *self);

/* Handles everything that is due at NOW_MS. To be called at least every 100 ms. */
void fb_node_advance (FbNode *self, uint64_t now_ms);

/* Handles a message of a peer. Its remaining time is reduced in place by the transit
 * time. */
void fb_node_receive (FbNode *self, uint64_t now_ms, fb_msg *msg);

/* Replies of workers. REQUEST_EPOCH is the epoch of the request that is answered. */
void fb_node_sync_done (FbNode *self, uint64_t now_ms, uint32_t rack, guint worker,
                        uint64_t request_epoch, const FbSyncReply *reply);
void fb_node_sync_failed (FbNode *self, uint64_t now_ms, uint32_t rack, guint worker,
                          uint64_t request_epoch);
/* A worker has signalled a change: requests its state soon. */
void fb_node_worker_changed (FbNode *self, uint64_t now_ms, uint32_t rack, guint worker);
typedef enum
{
  FB_HOST_LIVE,    /* on the host list, and gets work */
  FB_HOST_LEAVING, /* to be drained: gets no new work */
  FB_HOST_GONE     /* not on the host list any more */
} FbHostState;
/* Sets the state of a host from the host list. */
void fb_node_set_host_state (FbNode *self, uint64_t now_ms, uint32_t rack, guint worker,
                             FbHostState state);

/* Result of an append. OFFSETS has one entry for each record of the call; NULL means that
 * the append failed or that its result is unknown. */
void fb_node_log_appended (FbNode *self, uint64_t now_ms, const uint64_t *offsets, guint n);
/* Result of a read: RECORDS from the requested offset on, or from FIRST_RETAINED, the oldest
 * offset that the log still has, if that is later. AT_END: the stream ended after them
 * when the log answered. LOG_NOW_MS: the log's clock at that time; 0 if not known. */
typedef struct
{
  uint64_t log_now_ms;
  uint64_t first_retained;
  gboolean at_end;
  const FbLogRecord *records; /* borrowed */
  guint record_n;
} FbLogPage;
/* PAGE is NULL if the read failed. */
void fb_node_log_read (FbNode *self, uint64_t now_ms, uint32_t stream, const FbLogPage *page);

/* Submits a job for a caller. UNTIL_ADMITTED: the caller only waits until the job is
 * admitted; otherwise until its final answer. */
void fb_node_submit (FbNode *self, uint64_t now_ms, const fb_job *job, gboolean until_admitted);
/* Returns: FALSE if the owner of the job's range is not known; nothing was sent then.
 * Otherwise an answer arrives through the callbacks, unless a message is lost. */
gboolean fb_node_query_job (FbNode *self, uint64_t now_ms, uint32_t partner, uint64_t job);
gboolean fb_node_cancel (FbNode *self, uint64_t now_ms, uint32_t partner, uint64_t job);

/* Publishes CONFIG, a signed revision of an operator. Whether it comes into force is
 * reported by config_changed() and fb_node_config_serial(). */
typedef enum
{
  FB_NODE_CONFIG_OK, /* valid; fb_node_publish() has appended it to the log */
  FB_NODE_CONFIG_MALFORMED,
  FB_NODE_CONFIG_UNSIGNED, /* not signed with the key of its partner */
  FB_NODE_CONFIG_CONFLICT, /* its serial is not the next after the revision in force */
  FB_NODE_CONFIG_INVALID   /* an error in its files; see fb_status_message() */
} FbNodeConfigStatus;
FbNodeConfigStatus fb_node_publish (FbNode *self, uint64_t now_ms, const fb_rec_config *config);

/* Begins a graceful shutdown: hands the shards over to other daemons. */
void fb_node_drain (FbNode *self, uint64_t now_ms);
