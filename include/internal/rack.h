/* The owner's view of one rack: the one place that decides what runs there.
 *
 * Pure decision code.  It has no clock, no I/O and no threads: time and news
 * come in through the commands below, orders and reports go out through the
 * sink.  "No worker is given more than it can hold" is a local check of this
 * object over its own ledger.  Queries are in rack-query.h. */
#pragma once

#include "fb-types.h"
#include "internal/team.h"

typedef struct _FbRack FbRack;
typedef struct _FbPlacePolicy FbPlacePolicy;

/* Longer than a successor needs to take over (about 6 s), so that runs outlive
 * their owner; a lost worker's runs are started again after it. */
#define FB_RACK_LEASE_MS 10000
#define FB_RACK_START_MS 2000 /* how long a start order is valid at a worker */
#define FB_RACK_CLOCK_DRIFT_PERCENT 2
#define FB_RACK_SYNC_PERIOD_MS 2500
#define FB_RACK_REPORT_PERIOD_MS 1000
#define FB_RACK_RESERVE_MS 5000
#define FB_RACK_HOLD_MS 2000
#define FB_RACK_QUEUE_MAX 256
#define FB_RACK_PREEMPT_MAX 3

/* What a worker says of one run. */
typedef enum
{
  FB_SYNC_LIVE,
  FB_SYNC_ENDED,
  FB_SYNC_REFUSED /* the start order was not carried out and never will be */
} FbSyncState;

typedef struct
{
  fb_spec spec; /* payload not set; borrowed */
  FbSyncState state;
  FbRunStatus run_status; /* when ENDED: COMPLETED, FAILED, STOPPED or LOST (lease lapsed) */
  fb_res usage;
  const char *answer; /* borrowed */
  uint32_t answer_len;
} FbSyncRun;

/* Answer of a worker to one exchange: all it runs and all ends not yet
 * acknowledged.  CLOCK_MS is the worker's own monotonic clock. */
typedef struct
{
  uint64_t epoch;
  uint64_t seq;
  gboolean fenced; /* a higher epoch is in force at the worker */
  uint64_t clock_ms;
  uint64_t incarnation;
  uint64_t version;   /* of the state; 0 for a worker that does not number it */
  gboolean unchanged; /* the state is that of the version asked about: no RUNS */
  const FbSyncRun *runs;
  guint run_n;
} FbSyncReply;

typedef struct
{
  fb_run run;
  gboolean checkpoint;
} FbSyncStop;

/* One exchange.  It names all that is wanted, so that a lost exchange is made
 * good by the next one.  A worker handles exchanges in order of (epoch, seq)
 * and refuses one that does not advance it. */
typedef struct
{
  uint64_t epoch;
  uint64_t seq;
  uint64_t incarnation;    /* starts are for this life of the worker only */
  uint64_t known_version;  /* of the last whole state that was heard, or 0 */
  uint64_t lease_until_ms; /* on the worker's clock; 0 renews nothing */
  GPtrArray *starts;       /* const fb_spec *, borrowed */
  GArray *start_by_ms;     /* uint64_t on the worker's clock, as starts */
  GArray *stops;           /* FbSyncStop */
  GArray *throttles;       /* fb_run */
  GArray *acks;            /* fb_run: the worker may forget their ends */
} FbSyncRequest;

typedef struct
{
  /* Sends one exchange; the caller answers each with fb_rack_sync_done() or
   * fb_rack_sync_failed().  REQUEST is borrowed for the call. */
  void (*sync) (gpointer user, FbRack *rack, guint worker, const FbSyncRequest *request);
  /* Sends news of a run to the owner of its range; borrowed for the call. */
  void (*report) (gpointer user, FbRack *rack, const fb_report *report);
  /* Asks for proof from the log that this daemon still owns the rack; answered
   * with fb_rack_ownership_confirmed(), or by dropping the rack. */
  void (*confirm_ownership) (gpointer user, FbRack *rack);
  void (*surveyed) (gpointer user, FbRack *rack, const fb_survey_reply *surveyed);
  /* A worker holds a higher epoch: this daemon is no longer the owner. */
  void (*fenced) (gpointer user, FbRack *rack);
} FbRackSink;

/* What operators set; replaced as a whole by fb_rack_set_policy(). */
typedef struct
{
  uint32_t lend_milli;        /* share of the rack the guest may hold */
  const FbPlacePolicy *place; /* static table, see place.h */
  uint32_t queue_max;
  const FbTeams *teams; /* borrowed; weights and slices of quota */
} FbRackPolicy;

/* Returns: (transfer full): a rack owned at EPOCH whose workers are unknown.
 * NAME and SINK are borrowed for the life of the rack. */
FbRack *fb_rack_new (uint32_t id, const char *name, uint32_t home_partner, uint64_t epoch,
                     const FbRackSink *sink, gpointer user);
void fb_rack_free (FbRack *self);
void fb_rack_set_policy (FbRack *self, const FbRackPolicy *policy);

/* Adds a worker with its declared CAPACITY.  Returns: its index. */
guint fb_rack_add_worker (FbRack *self, const char *name, const fb_res *capacity);

/* Commands from range owners.  Each answers through sink->report. */
void fb_rack_place (FbRack *self, uint64_t now_ms, const fb_place *place);
void fb_rack_withdraw (FbRack *self, uint64_t now_ms, const fb_run_command *word);
void fb_rack_query (FbRack *self, uint64_t now_ms, const fb_run_command *word);
void fb_rack_commit (FbRack *self, uint64_t now_ms, const fb_run_command *word);
/* Answers with all runs of a range, through sink->surveyed(), once complete. */
void fb_rack_survey (FbRack *self, uint64_t now_ms, const fb_run_command *word);
void fb_rack_ack (FbRack *self, uint64_t now_ms, const fb_run_command *word);

/* Commands from the workers' side. */
void fb_rack_sync_done (FbRack *self, uint64_t now_ms, guint worker, const FbSyncReply *reply);
void fb_rack_sync_failed (FbRack *self, uint64_t now_ms, guint worker);
void fb_rack_worker_changed (FbRack *self, guint worker);
void fb_rack_set_leaving (FbRack *self, uint64_t now_ms, guint worker, gboolean leaving);
void fb_rack_set_gone (FbRack *self, uint64_t now_ms, guint worker);
void fb_rack_ownership_confirmed (FbRack *self, uint64_t now_ms, uint64_t asked_ms);

/* The owner before, who handed the rack over, had proved itself on this life. */
void fb_rack_set_confirmed_incarnation (FbRack *self, guint worker, uint64_t incarnation);

/* Starts nothing until UNTIL_MS. */
void fb_rack_hold_starts (FbRack *self, uint64_t until_ms);

/* Gives all waiting work back as not run; nothing new is accepted after. */
void fb_rack_drain (FbRack *self, uint64_t now_ms);

/* Lets time pass: due times, leases, reservations, resent reports, starts. */
void fb_rack_tick (FbRack *self, uint64_t now_ms);

/* Sends the exchanges that are wanted now.  Called after a batch of events. */
void fb_rack_flush (FbRack *self, uint64_t now_ms);
