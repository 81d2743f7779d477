/* The parts of the stand-in of the users' platform.  Each keeps its own state; they share
 * one loop and call each other only where the platform's parts do. */
#pragma once

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#define SP_SERVICE "svc"
#define SP_PARTITIONS 32
#define SP_WORKER_MAX 256
/* Among the workers where faults of calls are told. */
#define SP_STORE SP_WORKER_MAX

/* ---- shared: standin-platform.c ---------------------------------------------- */

gint64 sp_now_ms (void);
void sp_reply (SoupServerMessage *message, guint status, const char *text);

/* A request that waits for news. */
typedef struct
{
  SoupServerMessage *message;
  gint64 until_ms;
} SpHeld;

void sp_hold (SpHeld *held, SoupServerMessage *message, guint64 wait_ms);
/* No answer is sent to MESSAGE. */
void sp_close (SoupServerMessage *message);
/* Sends the answer that was set meanwhile. */
void sp_release (SpHeld *held);

/* ---- the store's partitions: standin-platform-store.c -------------------------- */

void sp_store_init (void);
void sp_store_put (const char *partition, const char *key, const char *value);
/* Returns: FALSE when PATH is none of its. */
gboolean sp_store_serve (SoupServerMessage *message, const char *path, GHashTable *query,
                         GBytes *body);
/* Answers reads that have news or have waited long enough. */
void sp_store_turn (void);

/* ---- the store's one group: standin-platform-group.c ----------------------------- */

void sp_group_init (void);
/* PATIENT: silent members stay. */
void sp_group_set_patient (gboolean patient);
/* Returns: FALSE when PATH is none of its. */
gboolean sp_group_serve (SoupServerMessage *message, const char *path, GHashTable *query,
                         JsonObject *body);

/* ---- workers: standin-platform-workers.c --------------------------------------------- */

/* Worker K is listed at LISTED_PORTS[K], which are borrowed. */
void sp_workers_init (guint n, const guint *listed_ports);
void sp_worker_set_up (guint k, gboolean up);
/* Worker K is gone for FOR_MS with all that runs there; with RETURNS it comes back under the id
 * that it had, else under another one. */
void sp_worker_crash (guint k, gint64 for_ms, gboolean returns);
/* Worker K runs on, but writes no entry for FOR_MS: after a while it is not listed. */
void sp_worker_stay_unlisted (guint k, gint64 for_ms);
/* All workers serve their calls and write their entries. */
void sp_workers_heal (void);
/* LOSE: starts are carried out without an answer, and copies of them are refused. */
void sp_workers_lose_answers (gboolean lose);
void sp_worker_serve (SoupServerMessage *message, guint k, const char *path, JsonObject *body);
/* Does what the call asks for and closes its connection without an answer. */
void sp_worker_carry_out (SoupServerMessage *message, guint k, const char *path, JsonObject *body);
/* Ends runs whose time or lease is over, and answers looks. */
void sp_workers_turn (void);
/* All that are up write their entries. */
void sp_workers_list (guint sequence);
/* Ends the runs of all jobs whose ids begin with JOB. */
void sp_workers_finish (const char *job);
/* Returns: (transfer full): how many tasks of JOB run now, as JSON. */
char *sp_workers_running (const char *job);

/* ---- faults of calls: standin-platform-faults.c -------------------------- */

typedef enum
{
  SP_CALL_SERVED,
  SP_CALL_REFUSED, /* nothing is done */
  SP_CALL_LOST,    /* carried out, its connection is closed without an answer */
  SP_CALL_LATE,    /* carried out seconds later, without an answer */
  SP_CALL_FATE_N
} SpCallFate;

void sp_faults_init (void);
/* TOLD: members "refuse", "lose" and "late" in percent of the calls of worker K or of
 * SP_STORE, "for-ms". */
void sp_faults_set (guint k, JsonObject *told);
void sp_faults_end (void);
SpCallFate sp_faults_draw (guint k);
/* Keeps a call that is carried out late. */
void sp_faults_hold (SoupServerMessage *message, guint k, const char *path, JsonObject *body);
void sp_faults_turn (void);

/* ---- what really ran: standin-platform-audit.c --------------------------------------------- */

void sp_audit_init (void);
/* A task starts.  RUNNING: runs of it that are there already; FITS: there is room for it. */
void sp_audit_start (const char *task, guint running, gboolean fits);
/* A run of TASK has ended as done; its end counts until it is forgotten. */
void sp_audit_done (const char *task);
void sp_audit_forget_done (const char *task);
/* TASK took its worker down.  Returns: the number of all such crashes. */
guint sp_audit_crash (const char *task);
/* A worker took an order under TOKEN. */
void sp_audit_order (guint64 token);
/* TRUE when a task of JOB was ever started. */
gboolean sp_audit_job_started (const char *job);
/* Returns: (transfer full): counts of what ran, as JSON. */
char *sp_audit_text (void);
