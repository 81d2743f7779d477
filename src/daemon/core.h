/* The core task: owns the node and is the only one that decides.
 *
 * Everything reaches it as a message; what it wants done goes to the tasks of
 * the log, the workers, the peers and the front as messages. */
#pragma once

#include "fb-settings.h"
#include "internal/node-query.h"
#include "peers.h"
#include "platform.h"
#include "src/net/loop.h"

typedef struct _FbCore FbCore;

/* What the front wants to hear; called on the core task. */
typedef struct
{
  void (*answer) (gpointer user, const fb_answer *answer);
} FbCoreListener;

/* CELL and the services are borrowed for the life of the core. */
FbCore *fb_core_new (const FbCell *cell, guint self_index, FbLogService *log,
                     FbWorkerService *workers, FbHostList *hosts);
/* Ends its tasks: from then on it calls nobody, and what it is sent is kept and
 * not handled. */
void fb_core_stop (FbCore *self);
void fb_core_free (FbCore *self);
void fb_core_set_peers (FbCore *self, FbPeers *peers);
void fb_core_set_listener (FbCore *self, const FbCoreListener *listener, gpointer user);
/* Begins the regular work; after the peers and the listener are set. */
void fb_core_start (FbCore *self);

/* Runs FUNC on the core task with the node: commands change it, queries do not.
 * DATA is freed with FREE. */
typedef void (*FbCoreCommand) (FbNode *node, uint64_t now_ms, gpointer data);
typedef void (*FbCoreQuery) (const FbNode *node, gpointer data);
void fb_core_command (FbCore *self, FbCoreCommand func, gpointer data, GDestroyNotify free);
void fb_core_query (FbCore *self, FbCoreQuery func, gpointer data, GDestroyNotify free);

/* For the peers: takes MSG over.  Returns: FALSE when too much is waiting. */
gboolean fb_core_receive (gpointer core, fb_msg *msg);

/* Begins a planned stop and calls DONE on the core task when nothing is owned
 * or owed any more, or after LIMIT_MS. */
void fb_core_drain (FbCore *self, uint64_t limit_ms, FbLoopFunc done, gpointer user);
