/* Components of the stand-in platform.  Each has its own state.  All run on one main loop and call
 * each other only where the components of the real platform communicate. */
#pragma once

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#define SP_SERVICE "svc"
#define SP_SECOND_SERVICE "svc2" /* to which the queue is directed on request */
#define SP_PARTITIONS 32
#define SP_WORKER_MAX 256
/* Index of the store among the workers in sp_faults_set() and sp_faults_draw(). */
#define SP_STORE SP_WORKER_MAX

/* ---- shared: standin-platform.c ---------------------------------------------- */

gint64 sp_now_ms (void);
void sp_reply (SoupServerMessage *message, guint status, const char *text);

/* Long poll: a request whose response is delayed until there is data or the timeout has passed. */
typedef struct
{
  SoupServerMessage *message;
  gint64 until_ms; /* end of the timeout, by sp_now_ms() */
} SpPausedRequest;

/* Pauses MESSAGE for up to WAIT_MS; sp_resume_request() must be called later. */
void sp_pause_request (SpPausedRequest *request, SoupServerMessage *message, guint64 wait_ms);
/* Closes the connection of MESSAGE without a response. */
void sp_close_connection (SoupServerMessage *message);
/* Sends the response that was set with sp_reply() while the request was paused. */
void sp_resume_request (SpPausedRequest *request);

/* ---- the store's partitions: standin-platform-store.c -------------------------- */

void sp_store_init (void);
void sp_store_put (const char *partition, const char *key, const char *value);
/* Returns: the number of keys of PARTITION whose newest value is not empty. */
guint sp_store_keys_n (const char *partition);
/* Sets the form in which listings show the bytes of a key that are not UTF-8: "raw", "replaced" by
 * U+FFFD, as unpaired "surrogates", or "omitted" with their record. */
void sp_store_set_malformed_keys (const char *form);
/* Returns: FALSE when PATH is not one of the partitions' paths. */
gboolean sp_store_serve (SoupServerMessage *message, const char *path, GHashTable *query,
                         GBytes *body);
/* Responds to waiting reads for which there are new records or whose timeout has passed. */
void sp_store_tick (void);

/* ---- the store's groups: standin-platform-group.c ----------------------------- */

void sp_group_init (void);
/* EXPIRY_DISABLED: members stay in their groups after their time to live. */
void sp_group_set_expiry_disabled (gboolean expiry_disabled);
/* Returns: FALSE when PATH is not one of the groups' paths. */
gboolean sp_group_serve (SoupServerMessage *message, const char *path, GHashTable *query,
                         JsonObject *body);

/* ---- listening sockets: standin-platform-listen.c -------------------------------------- */

/* SERVER: gets the accepted connections. */
void sp_listen_init (SoupServer *server);
/* Listens on the loopback port NUMBER.  Returns: FALSE and sets ERROR when it is not free. */
gboolean sp_listen (guint number, GError **error);
/* Port NUMBER serves up to MAX_CONNECTIONS connections (0: any number) and resets further ones; of
 * those that it has, the oldest. */
void sp_listen_set_max_connections (guint number, guint max_connections);
/* Returns: the number of open connections to port NUMBER. */
guint sp_listen_connections_n (guint number);
/* Closes the listening socket of port NUMBER and resets the connections to it. */
void sp_listen_stop (guint number);

/* ---- payloads: standin-platform-payload.c ------------------------------------------- */

typedef struct
{
  gint64 work_ms;
  gboolean crashes; /* it crashes its worker when it ends */
  guint cpu_milli;
  guint gang_n;      /* members of its gang; 0: it is in none */
  gboolean saves;    /* it saves checkpoints */
  guint saved_chars; /* least length of its checkpoints */
} SpPayload;

SpPayload sp_payload_parse (const char *spec, const char *task);

/* ---- workers: standin-platform-workers.c --------------------------------------------- */

/* FIRST_PORT: on which the first worker listens, the others on the ports after it.  LISTED_PORTS:
 * for each worker, the port in its entry of the worker list; borrowed.  START_TIMES: workers report
 * when they were started. */
void sp_workers_init (guint n, guint first_port, const guint *listed_ports, const char **services,
                      gboolean start_times);
/* Sets whether worker K serves calls, and drops its runs. */
void sp_worker_set_up (guint k, gboolean up);
/* A stop takes up to LONGEST_MS; the run is listed until then. */
/* Leases are shortened to MAX_MS. */
void sp_workers_set_max_lease (gint64 max_ms);
void sp_workers_set_longest_stop (guint longest_ms);
/* UNLISTED: workers do not list a run that is being stopped, until they list its end. */
void sp_workers_set_stops_unlisted (gboolean unlisted);
/* SLOW: the clocks of the workers are 0 to 2 percent slow, each by its own share. */
void sp_workers_set_slow_clocks (gboolean slow);
/* Crashes worker K, which loses its runs and restarts after FOR_MS: with the same id if REUSES_ID,
 * else with a new one. */
void sp_worker_crash (guint k, gint64 for_ms, gboolean reuses_id);
/* Worker K continues to run, but does not renew its entry in the worker list for FOR_MS; the entry
 * is removed after its time to live. */
void sp_worker_set_unlisted (guint k, gint64 for_ms);
/* EXPIRE: entries expire while the store is unavailable. */
void sp_workers_set_entries_expire (gboolean expire);
/* The store is available again: entries that have expired are written within 2 s. */
void sp_workers_store_returned (void);
/* Worker K continues to run, but for FOR_MS it refuses connections and does not renew its entry. */
void sp_worker_refuse_connections (guint k, gint64 for_ms);
/* Worker K and its runs stand still for FOR_MS, but for its clock.  Its entry is not renewed. */
void sp_worker_suspend (guint k, gint64 for_ms);
/* Worker K no longer stands still.  It first ends the runs whose lease has expired. */
void sp_worker_go_on (guint k);
/* Executes and answers a paused call that came while worker K stood still. */
void sp_worker_execute_waiting (SoupServerMessage *message, guint k, const char *path,
                                JsonObject *body);
/* For FOR_MS, calls to worker K with a higher fencing token than it has seen are lost. */
void sp_worker_exclude_later_owners (guint k, gint64 for_ms);
/* Ends faults of calls; all workers listen and renew their entries again. */
void sp_workers_clear_faults (void);
/* DROP: workers execute starts without responding, and reject repeated starts with 503. */
void sp_workers_set_drop_answers (gboolean drop);
void sp_worker_serve (SoupServerMessage *message, guint k, const char *path, JsonObject *body);
/* Executes the call and closes its connection without a response.  LATE: the call was delayed. */
void sp_worker_execute (SoupServerMessage *message, guint k, const char *path, JsonObject *body,
                        gboolean late);
/* Ends runs that are due or whose lease has expired, restarts workers, responds to polls. */
void sp_workers_tick (void);
/* Renews the entries of the workers that are up in the worker list. */
void sp_workers_list (guint sequence);
/* Ends the runs of all tasks whose names start with JOB. */
void sp_workers_finish (const char *job);
/* Returns: (transfer full): the number of runs of JOB, as JSON.  ONLY: a worker, -1: all of them.
 */
char *sp_workers_running (const char *job, int only);

/* ---- workers that are out of reach: standin-platform-reach.c -------------------------------- */

/* Returns: TRUE when the call to worker K must wait or is lost; the message is paused. */
gboolean sp_reach_hold (SoupServerMessage *message, guint k, const char *path, JsonObject *body);
void sp_reach_suspend (guint k, gint64 for_ms);
gboolean sp_reach_is_suspended (guint k);
/* For FOR_MS, calls to worker K with a fencing token above TOKEN are lost. */
void sp_reach_exclude_later (guint k, guint64 token, gint64 for_ms);
/* Worker K has crashed: closes the connections of the calls that wait for it. */
void sp_reach_drop_calls (guint k);
/* Ends the faults at the next tick. */
void sp_reach_clear (void);
void sp_reach_tick (void);

/* ---- faults of calls: standin-platform-faults.c -------------------------- */

typedef enum
{
  SP_CALL_SERVED,
  SP_CALL_REFUSED,    /* answered with 503, not executed */
  SP_CALL_UNANSWERED, /* executed; the connection is closed without a response */
  SP_CALL_DELAYED,    /* executed 0.3 to 5 s later; the connection is closed without a response */
  SP_CALL_OUTCOME_N
} SpCallOutcome;

void sp_faults_init (void);
/* Sets the faults of worker K, or of SP_STORE.  SETTINGS: "refuse", "lose" and "late", in percent
 * of the calls, their duration, "for-ms", and the delay of late calls, "late-ms". */
void sp_faults_set (guint k, JsonObject *settings);
void sp_faults_clear (void);
SpCallOutcome sp_faults_draw (guint k);
/* Schedules a call to worker K for execution after a random delay. */
void sp_faults_delay_call (SoupServerMessage *message, guint k, const char *path, JsonObject *body);
/* As above, for an append to the store. */
void sp_faults_delay_append (SoupServerMessage *message, const char *path, GHashTable *query,
                             GBytes *records);
void sp_faults_tick (void);

/* ---- audit of the runs: standin-platform-audit.c --------------------------------------------- */

void sp_audit_init (void);
/* Counts a start of TASK.  RUNNING: number of other runs of it; FITS: the worker has capacity for
 * it; LATE: the worker executes the order late. */
void sp_audit_start (const char *task, guint running, gboolean fits, gboolean late);
/* A task starts while another run of it is on a worker that is up; both are described in words. */
void sp_audit_overlap (const char *first, const char *second);
/* A run that is stopped may be at work for up to STOP_MS after the stop. */
void sp_audit_set_stop_ms (gint64 stop_ms);
/* A caller has received the acknowledgement of the cancel of JOB. */
void sp_audit_cancelled (const char *job);
/* DISRUPTED: faults are active.  Tasks of cancelled jobs are counted only while there are none. */
void sp_audit_set_disrupted (gboolean disrupted);
/* Checks a run of TASK, which is at work.  LATE_START_MS: when it was started if the worker
 * executed the order late, by sp_now_ms(); else 0.  Returns: TRUE when the run was counted because
 * its job is cancelled. */
gboolean sp_audit_run (const char *task, gint64 late_start_ms);
/* A run has ended; REASON: as workers report it, static. */
void sp_audit_end (const char *reason);
/* A run of TASK has ended as done.  Another start of TASK counts as a duplicate until
 * sp_audit_forget_done(). */
void sp_audit_done (const char *task);
/* An end of TASK was lost before the pool acknowledged it, so TASK may run again. */
void sp_audit_forget_done (const char *task);
/* TASK crashed its worker.  Returns: the number of crashes by all tasks. */
guint sp_audit_crash (const char *task);
/* A worker has accepted an order with the fencing token TOKEN. */
void sp_audit_order (guint64 token);
/* Returns: TRUE when a task of JOB was ever started. */
gboolean sp_audit_job_started (const char *job);
/* Returns: (transfer full): the counts, as JSON. */
char *sp_audit_text (void);
