/* State of one rack, kept by its owner. All decisions about what runs on the workers of the rack
 * are made by this object.
 *
 * It has no clock, I/O or threads. The caller passes in the time and all incoming messages
 * through the functions below; outgoing requests and reports leave through FbRackCallbacks.
 * Because the capacity of every start is charged here first, it can check locally that no worker
 * is given more than its capacity. Read-only functions are in rack-query.h. */
#pragma once

#include "fb-types.h"
#include "internal/team.h"

typedef struct _FbRack FbRack;
typedef struct _FbPlacePolicy FbPlacePolicy;

/* How long a run may continue after the worker's last contact with the owner. Longer than a
 * successor needs to take over the rack (about 6 s), so that runs survive their owner. The runs
 * of a lost worker are started again only after this time. */
#define FB_RACK_LEASE_MS 10000
#define FB_RACK_START_MS 2000         /* a worker refuses a start order older than this */
#define FB_RACK_CLOCK_DRIFT_PERCENT 2 /* added to the lease: clocks differ in their rate */
#define FB_RACK_SYNC_PERIOD_MS 2500   /* period of exchanges with an idle worker */
#define FB_RACK_REPORT_PERIOD_MS 1000 /* between repeats of a report or of a request to confirm */
#define FB_RACK_RESERVE_MS 5000       /* a reservation expires unless the range queries it */
#define FB_RACK_HOLD_MS 2000          /* waiting time after which a task may hold a worker */
#define FB_RACK_QUEUE_MAX 256         /* queued tasks for each partner and kind */
#define FB_RACK_PREEMPT_MAX 3         /* preemptions of one run by its own partner */

/* State of one run as a worker reports it. */
typedef enum
{
  FB_SYNC_LIVE,
  FB_SYNC_ENDED,
  FB_SYNC_REFUSED /* the worker did not execute the start order and never will */
} FbSyncState;

typedef struct
{
  fb_spec spec; /* payload not set; borrowed */
  FbSyncState state;
  /* If state is ENDED: COMPLETED, FAILED, STOPPED or LOST (lease expired). */
  FbRunStatus run_status;
  fb_res usage;       /* measured; raises the charge above the declared demand */
  const char *answer; /* borrowed */
  uint32_t answer_len;
} FbSyncRun;

/* Reply of a worker to one exchange: all its live runs and all ends that the owner has
 * not acknowledged yet. */
typedef struct
{
  uint64_t epoch;
  uint64_t seq;      /* of the request */
  gboolean fenced;   /* the worker has accepted a higher epoch */
  uint64_t clock_ms; /* the worker's own monotonic clock */
  uint64_t incarnation;
  uint64_t version; /* version of the worker's state; 0 if the worker does not number its states */
  gboolean unchanged; /* the state still has the request's known_version; RUNS is empty */
  const FbSyncRun *runs;
  guint run_n;
} FbSyncReply;

typedef struct
{
  fb_run run;
  gboolean checkpoint;
} FbSyncStop;

/* One request to a worker. It lists every outstanding start, stop and acknowledgement, so that
 * the next exchange makes up for a lost one. A worker handles requests in ascending order of
 * (epoch, seq) and rejects any other. */
typedef struct
{
  uint64_t epoch;
  uint64_t seq;
  uint64_t incarnation;    /* the starts are valid only for this incarnation of the worker */
  uint64_t known_version;  /* version of the last complete state received, or 0 */
  uint64_t lease_until_ms; /* on the worker's clock; 0 does not renew the lease */
  GPtrArray *starts;       /* const fb_spec *, borrowed */
  GArray *start_by_ms; /* uint64_t, for each of starts: latest start time on the worker's clock */
  GArray *stops;       /* FbSyncStop */
  GArray *throttles;   /* fb_run: runs to be slowed down */
  GArray *acks;        /* fb_run: ended runs that the worker may drop */
} FbSyncRequest;

typedef struct
{
  /* Sends one request; the caller answers it with fb_rack_sync_done() or
   * fb_rack_sync_failed(). REQUEST is borrowed for the call. */
  void (*sync) (gpointer user, FbRack *rack, guint worker, const FbSyncRequest *request);
  /* Sends the status of a run to the owner of its range. REPORT is borrowed for the call. */
  void (*report) (gpointer user, FbRack *rack, const fb_report *report);
  /* Requests a confirmation from the log that this daemon still owns the rack. The caller
   * answers with fb_rack_ownership_confirmed(), or frees the rack. */
  void (*confirm_ownership) (gpointer user, FbRack *rack);
  /* Sends the reply to fb_rack_list_runs() to the owner of the range. */
  void (*run_list) (gpointer user, FbRack *rack, const fb_run_list *run_list);
  /* A worker has accepted a higher epoch: this daemon is no longer the owner. */
  void (*fenced) (gpointer user, FbRack *rack);
} FbRackCallbacks;

/* Operator settings; fb_rack_set_policy() replaces all of them. */
typedef struct
{
  uint32_t lend_milli; /* share of the rack that the other partner's work may use, in thousandths */
  const FbPlacePolicy *place; /* static table, see place.h */
  uint32_t queue_max;         /* queued tasks for each partner and kind */
  const FbTeams *teams; /* borrowed; weights of the teams and this rack's part of their quotas */
} FbRackPolicy;

/* Returns: (transfer full): a rack owned at EPOCH; all workers are in state unknown. NAME
 * and CALLBACKS are borrowed for the lifetime of the rack. */
FbRack *fb_rack_new (uint32_t id, const char *name, uint32_t home_partner, uint64_t epoch,
                     const FbRackCallbacks *callbacks, gpointer user);
void fb_rack_free (FbRack *self);
void fb_rack_set_policy (FbRack *self, const FbRackPolicy *policy);

/* Adds a worker with its declared CAPACITY. Returns: its index. */
guint fb_rack_add_worker (FbRack *self, const char *name, const fb_res *capacity);

/* Requests of range owners. The answer goes out through callbacks->report(). */
void fb_rack_place (FbRack *self, uint64_t now_ms, const fb_place *place);
void fb_rack_withdraw (FbRack *self, uint64_t now_ms, const fb_run_command *command);
void fb_rack_query (FbRack *self, uint64_t now_ms, const fb_run_command *command);
void fb_rack_commit (FbRack *self, uint64_t now_ms, const fb_run_command *command);
/* Answers with all runs of a range through callbacks->run_list(); does nothing until every
 * worker has replied. */
void fb_rack_list_runs (FbRack *self, uint64_t now_ms, const fb_run_command *command);
void fb_rack_ack (FbRack *self, uint64_t now_ms, const fb_run_command *command);

/* Replies and events of the workers. */
void fb_rack_sync_done (FbRack *self, uint64_t now_ms, guint worker, const FbSyncReply *reply);
void fb_rack_sync_failed (FbRack *self, uint64_t now_ms, guint worker);
/* To be called when the worker has signalled a change: exchanges with it at the next flush. */
void fb_rack_worker_changed (FbRack *self, guint worker);
void fb_rack_set_leaving (FbRack *self, uint64_t now_ms, guint worker, gboolean leaving);
/* To be called when the host list does not contain the worker any more. */
void fb_rack_set_gone (FbRack *self, uint64_t now_ms, guint worker);
/* To be called when the log, read at or after REQUESTED_MS, still names this daemon as the
 * owner. */
void fb_rack_ownership_confirmed (FbRack *self, uint64_t now_ms, uint64_t requested_ms);

/* Records that the previous owner, before it handed the rack over, had confirmed its ownership
 * after it saw this INCARNATION of the worker. */
void fb_rack_set_confirmed_incarnation (FbRack *self, guint worker, uint64_t incarnation);

/* Delays all starts until UNTIL_MS. */
void fb_rack_pause_starts (FbRack *self, uint64_t until_ms);

/* Reports all waiting work as not run and refuses new work from now on. */
void fb_rack_drain (FbRack *self, uint64_t now_ms);

/* Handles everything that is due at NOW_MS: due times, leases, reservations, repeated
 * reports, starts. */
void fb_rack_tick (FbRack *self, uint64_t now_ms);

/* Schedules and sends the pending requests to the workers. Called after a batch of
 * events. */
void fb_rack_flush (FbRack *self, uint64_t now_ms);
