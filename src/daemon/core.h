/* The core thread: owns the node and makes all decisions.
 *
 * All input reaches it as messages. It posts messages to the threads of the log, the workers and
 * the HTTP front end, and queues messages for peers. */
#pragma once

#include "fb-settings.h"
#include "internal/node-query.h"
#include "peers.h"
#include "platform.h"
#include "src/net/loop.h"

typedef struct _FbCore FbCore;

/* Callbacks of the HTTP front end, run on the core thread. */
typedef struct
{
  void (*answer) (gpointer user, const fb_answer *answer);
} FbCoreListener;

/* CELL and the services are borrowed and must outlive the core. */
FbCore *fb_core_new (const FbCell *cell, guint self_index, FbLogService *log,
                     FbWorkerService *workers, FbHostList *hosts);
/* Joins the threads of the core. Afterwards it makes no calls, and messages posted to it are queued
 * but not handled. */
void fb_core_stop (FbCore *self);
void fb_core_free (FbCore *self);
void fb_core_set_peers (FbCore *self, FbPeers *peers);
void fb_core_set_listener (FbCore *self, const FbCoreListener *listener, gpointer user);
/* Starts the periodic tasks. Must be called after the peers and the listener are set. */
void fb_core_start (FbCore *self);

/* Runs FUNC on the core thread with the node: commands change it, queries do not. DATA is freed
 * with FREE. */
typedef void (*FbCoreCommand) (FbNode *node, uint64_t now_ms, gpointer data);
typedef void (*FbCoreQuery) (const FbNode *node, gpointer data);
void fb_core_command (FbCore *self, FbCoreCommand func, gpointer data, GDestroyNotify free);
void fb_core_query (FbCore *self, FbCoreQuery func, gpointer data, GDestroyNotify free);

/* An FbPeersReceive function; takes ownership of MSG. Returns: FALSE when too many messages are
 * pending. */
gboolean fb_core_receive (gpointer core, fb_msg *msg);

/* Starts a graceful shutdown. Calls DONE on the core thread when this daemon owns no shard and has
 * no work pending, or after LIMIT_MS. */
void fb_core_drain (FbCore *self, uint64_t limit_ms, FbLoopFunc done, gpointer user);
