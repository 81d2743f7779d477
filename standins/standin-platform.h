/* The parts of the stand-in of the users' platform.  Each keeps its own state; they share
 * one loop and call each other only where the platform's parts do. */
#pragma once

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#define SP_SERVICE "svc"
#define SP_PARTITIONS 32
#define SP_WORKER_MAX 256

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

/* ---- workers, and what really ran: standin-platform-workers.c ---------------------- */

/* Worker K listens at BASE_PORT + 1 + K. */
void sp_workers_init (guint n, guint base_port);
void sp_worker_set_up (guint k, gboolean up);
/* Worker K is gone for FOR_MS with all that runs there, and comes back under another id. */
void sp_worker_crash (guint k, gint64 for_ms);
/* LOSE: starts are carried out without an answer, and copies of them are refused. */
void sp_workers_lose_answers (gboolean lose);
void sp_worker_serve (SoupServerMessage *message, guint k, const char *path, JsonObject *body);
/* Ends runs whose time or lease is over, and answers looks. */
void sp_workers_turn (void);
/* All that are up write their entries. */
void sp_workers_list (guint sequence);
/* Returns: (transfer full): counts of what ran, as JSON. */
char *sp_workers_audit (void);
/* Ends the runs of all jobs whose ids begin with JOB. */
void sp_workers_finish (const char *job);
/* TRUE when a task of JOB was ever started. */
gboolean sp_workers_started (const char *job);
/* Returns: (transfer full): how many tasks of JOB run now, as JSON. */
char *sp_workers_running (const char *job);
