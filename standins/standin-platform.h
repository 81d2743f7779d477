/* The parts of the stand-in for the users' platform.  Each keeps its own state.  All run on one
 * main loop and call each other only where the parts of the real platform do. */
#pragma once

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#define SP_SERVICE "svc"
#define SP_PARTITIONS 32
#define SP_WORKER_MAX 256
/* Stands for the store where faults of calls are set by the index of a worker. */
#define SP_STORE SP_WORKER_MAX

/* ---- shared: standin-platform.c ---------------------------------------------- */

gint64 sp_now_ms (void);
void sp_reply (SoupServerMessage *message, guint status, const char *text);

/* A request whose answer is delayed until there is something to report or a timeout has passed. */
typedef struct
{
  SoupServerMessage *message;
  gint64 until_ms; /* by sp_now_ms(): when it is answered at the latest */
} SpPausedRequest;

/* Pauses MESSAGE for up to WAIT_MS; sp_resume_request() must be called later. */
void sp_pause_request (SpPausedRequest *request, SoupServerMessage *message, guint64 wait_ms);
/* Closes the connection of MESSAGE without an answer. */
void sp_close_connection (SoupServerMessage *message);
/* Sends the answer that was set by sp_reply() since the pause began. */
void sp_resume_request (SpPausedRequest *request);

/* ---- the store's partitions: standin-platform-store.c -------------------------- */

void sp_store_init (void);
void sp_store_put (const char *partition, const char *key, const char *value);
/* Returns: FALSE when PATH is not a path of the partitions. */
gboolean sp_store_serve (SoupServerMessage *message, const char *path, GHashTable *query,
                         GBytes *body);
/* Answers waiting reads that have new records or whose timeout has passed. */
void sp_store_tick (void);

/* ---- the store's groups: standin-platform-group.c ----------------------------- */

void sp_group_init (void);
/* EXPIRY_DISABLED: members stay in their groups although their time to live has passed. */
void sp_group_set_expiry_disabled (gboolean expiry_disabled);
/* Returns: FALSE when PATH is not a path of the groups. */
gboolean sp_group_serve (SoupServerMessage *message, const char *path, GHashTable *query,
                         JsonObject *body);

/* ---- workers: standin-platform-workers.c --------------------------------------------- */

/* The entry of worker K names the port LISTED_PORTS[K]; the array is borrowed. */
void sp_workers_init (guint n, const guint *listed_ports);
/* Sets whether worker K serves calls; its runs are dropped. */
void sp_worker_set_up (guint k, gboolean up);
/* Worker K crashes with all its runs and restarts after FOR_MS: under the same id with KEEPS_ID,
 * else under a new one. */
void sp_worker_crash (guint k, gint64 for_ms, gboolean keeps_id);
/* Worker K goes on running but renews its entry in the worker list only after FOR_MS; the entry is
 * removed when its time to live has passed. */
void sp_worker_set_unlisted (guint k, gint64 for_ms);
/* Ends the faults of calls, and workers renew their entries again. */
void sp_workers_clear_faults (void);
/* LOSE: workers execute starts without answering them and refuse repeated starts with 503. */
void sp_workers_set_lose_answers (gboolean lose);
void sp_worker_serve (SoupServerMessage *message, guint k, const char *path, JsonObject *body);
/* Executes the call and closes its connection without an answer. */
void sp_worker_execute (SoupServerMessage *message, guint k, const char *path, JsonObject *body);
/* Ends runs whose time has passed or whose lease has expired, restarts workers, answers polls. */
void sp_workers_tick (void);
/* Workers that are up renew their entries in the worker list. */
void sp_workers_list (guint sequence);
/* Ends the runs of all tasks whose names begin with JOB. */
void sp_workers_finish (const char *job);
/* Returns: (transfer full): the number of runs of JOB, as JSON. */
char *sp_workers_running (const char *job);

/* ---- faults of calls: standin-platform-faults.c -------------------------- */

typedef enum
{
  SP_CALL_SERVED,
  SP_CALL_REFUSED,    /* answered 503 and not executed */
  SP_CALL_UNANSWERED, /* executed; the connection is closed without an answer */
  SP_CALL_DELAYED,    /* executed 0.3 to 5 s later; the connection is closed without an answer */
  SP_CALL_OUTCOME_N
} SpCallOutcome;

void sp_faults_init (void);
/* Sets the faults of worker K, or of SP_STORE.  SETTINGS: "refuse", "lose" and "late" in percent of
 * the calls, and "for-ms", after which they end. */
void sp_faults_set (guint k, JsonObject *settings);
void sp_faults_clear (void);
SpCallOutcome sp_faults_draw (guint k);
/* Keeps a call to worker K to execute it after a random delay. */
void sp_faults_delay_call (SoupServerMessage *message, guint k, const char *path, JsonObject *body);
void sp_faults_tick (void);

/* ---- audit of the runs: standin-platform-audit.c --------------------------------------------- */

void sp_audit_init (void);
/* Counts the start of TASK.  RUNNING: runs of it that exist already; FITS: the worker has capacity
 * for it. */
void sp_audit_start (const char *task, guint running, gboolean fits);
/* A run of TASK has ended as done.  Another start of TASK is a duplicate until that end is
 * forgotten. */
void sp_audit_done (const char *task);
/* An end of TASK was lost before the pool acknowledged it: TASK may run again. */
void sp_audit_forget_done (const char *task);
/* TASK crashed its worker.  Returns: the number of crashes by all tasks. */
guint sp_audit_crash (const char *task);
/* A worker accepted an order with the fencing token TOKEN. */
void sp_audit_order (guint64 token);
/* TRUE when a task of JOB was ever started. */
gboolean sp_audit_job_started (const char *job);
/* Returns: (transfer full): the counts, as JSON. */
char *sp_audit_text (void);
