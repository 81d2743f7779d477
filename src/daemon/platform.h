/* Interfaces to the platform's services, as tables of functions.
 *
 * Adapters implement these tables; URLs and encodings are private to them. Each service is used on
 * one thread only and invokes its callbacks on that thread, never before the call returns. */
#pragma once

#include "internal/node.h"

/* ---- the log ---------------------------------------------------------- */

typedef struct _FbLogService FbLogService;

/* OFFSETS has N entries. It is NULL when the call failed or its outcome is unknown. */
typedef void (*FbLogAppendDone) (gpointer user, const uint64_t *offsets, guint n);
/* PAGE is borrowed. It is NULL when the call failed. */
typedef void (*FbLogReadDone) (gpointer user, const FbLogPage *page);

typedef struct
{
  void (*append) (FbLogService *self, const FbLogRecord *records, guint n, FbLogAppendDone done,
                  gpointer user);
  void (*read) (FbLogService *self, uint32_t stream, uint64_t from, FbLogReadDone done,
                gpointer user);
  void (*free) (FbLogService *self);
} FbLogServiceOps;

struct _FbLogService
{
  const FbLogServiceOps *ops;
};

/* ---- workers ---------------------------------------------------------- */

typedef struct _FbWorkerService FbWorkerService;

/* REPLY is borrowed. It is NULL when the exchange failed. */
typedef void (*FbWorkerExchangeDone) (gpointer user, const FbSyncReply *reply);
typedef void (*FbWorkerWatchDone) (gpointer user, gboolean ok, uint64_t version);

typedef struct
{
  /* Sends one exchange to the worker at ADDRESS. */
  void (*exchange) (FbWorkerService *self, const char *address, const FbSyncRequest *request,
                    FbWorkerExchangeDone done, gpointer user);
  /* Long poll: waits until a run has ended since VERSION. NULL when workers do not support it; ends
   * of runs are then reported only in the periodic exchanges. */
  void (*watch) (FbWorkerService *self, const char *address, uint64_t version,
                 FbWorkerWatchDone done, gpointer user);
  void (*free) (FbWorkerService *self);
} FbWorkerServiceOps;

struct _FbWorkerService
{
  const FbWorkerServiceOps *ops;
};

/* ---- the host list ---------------------------------------------------- */

typedef struct _FbHostList FbHostList;

typedef struct
{
  const char *name;
  FbHostState state;
} FbHostEntry;
/* ENTRIES is borrowed. It is NULL when the call failed. */
typedef void (*FbHostListDone) (gpointer user, const FbHostEntry *entries, guint n);

typedef struct
{
  void (*poll) (FbHostList *self, FbHostListDone done, gpointer user);
  void (*free) (FbHostList *self);
} FbHostListOps;

struct _FbHostList
{
  const FbHostListOps *ops;
};

/* Adapters for the HTTP and JSON interfaces of the test servers in standins/. */
FbLogService *fb_log_http_new (const char *url);
FbWorkerService *fb_worker_http_new (void);
FbHostList *fb_host_list_http_new (const char *url);
