/* Data structures of a rack, private to the files that implement it. */
#pragma once

#include "internal/place.h"
#include "internal/rack.h"
#include "internal/task-queue.h"

typedef enum
{
  FB_TASK_QUEUED,
  FB_TASK_RESERVED, /* capacity is charged; waits for commit */
  FB_TASK_STARTING, /* start ordered; the worker has not confirmed it */
  FB_TASK_RUNNING,
  FB_TASK_STOPPING, /* stop ordered; still charged */
  FB_TASK_ENDED     /* reported until the range owner acknowledges it */
} FbTaskState;

struct _FbTask
{
  fb_spec spec; /* owned */
  FbTaskState state;
  guint worker;               /* index of the worker that is charged, or FB_NO_WORKER */
  guint last_worker;          /* index of the worker of the last start order, or FB_NO_WORKER */
  uint64_t arrived_ms;        /* when its job arrived */
  uint64_t due_ms;            /* latest start; FB_NO_DEADLINE_MS if none */
  uint64_t rank_ms;           /* sort key in its queue, smallest first */
  uint64_t started_ms;        /* when the worker first reported it as live; 0 if never */
  uint64_t reserved_until_ms; /* if RESERVED */
  uint64_t sent_seq;      /* sequence number of the first request with the start; 0 if not sent */
  uint64_t last_sent_seq; /* sequence number of the last request with the start */
  fb_res charge; /* amount charged to the worker: the larger of declared and measured usage */
  gboolean checkpoint_stop; /* the worker saves a checkpoint when it stops the run */
  FbReason stop_reason;     /* if STOPPING */
  FbRunStatus run_status;   /* if ENDED */
  FbReason reason;
  GBytes *answer;           /* output of an ended run, or NULL */
  uint64_t report_at_ms;    /* when the end is reported again */
  gboolean acked;           /* the range owner has acknowledged the end */
  GSequenceIter *queue_pos; /* position in its queue, or NULL */
  GSequenceIter *due_pos;   /* position in FbRack.by_due, or NULL */
};

typedef enum
{
  FB_WORKER_UNKNOWN, /* no reply yet; counts as full */
  FB_WORKER_OK,
  FB_WORKER_SILENT, /* its lease should have expired, but the ownership is not confirmed yet */
  FB_WORKER_LEASE_EXPIRED, /* no run ordered by this owner can be running there any more */
  FB_WORKER_GONE           /* no reply yet, and off the host list for longer than a lease */
} FbWorkerState;

struct _FbWorker
{
  char *name;
  fb_res capacity;
  fb_res used; /* sum of the charges of its tasks */
  FbWorkerState state;
  gboolean leaving;               /* its host is drained or off the host list: gets no new work */
  gboolean dirty;                 /* a request is due at the next flush */
  gboolean in_flight;             /* a request is not answered yet */
  gboolean urgent_only;           /* only the home partner's urgent work may start here */
  uint64_t incarnation;           /* in the last reply; 0 if none */
  uint64_t incarnation_seen_ms;   /* when its first reply of this incarnation arrived */
  uint64_t confirmed_incarnation; /* see fb_rack_ownership_confirmed(); 0 if none */
  uint64_t clock_ms;              /* its own clock in the last reply */
  uint64_t last_reply_ms;         /* when the last reply arrived */
  uint64_t sync_at_ms;            /* when the next periodic request is due */
  uint64_t sent_seq;              /* of the last request */
  uint64_t last_reply_seq;        /* of the request that was answered last; 0 if none */
  uint64_t known_version;         /* of the last complete state received, or 0 */
  uint64_t unlisted_since_ms;     /* when the host list dropped it; 0 if listed */
  uint32_t fail_streak;           /* failures in a row, see worker-health.c */
  uint64_t last_failed_job;
  gboolean quarantined;
  uint64_t probe_at_ms;   /* if quarantined: earliest time of the next probe */
  uint64_t probe_wait_ms; /* interval between probes */
  GPtrArray *tasks;       /* FbTask borrowed: all that are charged to this worker */
};

struct _FbRack
{
  uint32_t id;
  const char *name;
  uint32_t home; /* the partner that the rack belongs to */
  uint64_t epoch;
  const FbRackCallbacks *callbacks;
  gpointer user;
  FbRackPolicy policy;
  gboolean draining;  /* fb_rack_drain() was called: refuses new work */
  GPtrArray *workers; /* FbWorker owned */
  GHashTable *tasks;  /* fb_run * in the task -> FbTask owned */
  FbTaskQueues *queues;
  GSequence *by_due; /* queued FbTask that have a due time, earliest first */
  GQueue ended;      /* ended FbTask that are still kept */
  fb_res total;      /* capacity of all workers */
  fb_res partner_used[FB_PARTNER_N];
  GHashTable *team_used;     /* partner << 32 | team -> fb_res owned */
  GHashTable *range_epochs;  /* range + 1 -> uint64_t owned: highest epoch seen of its owner */
  gboolean schedule_pending; /* run a scheduling pass at the next flush */
  uint64_t starts_paused_until_ms; /* 0 if never paused */
  uint64_t confirm_requested_ms;   /* when callbacks->confirm_ownership() was called last */
  fb_run hold_run;                 /* the task for which hold_worker is held */
  guint hold_worker;               /* or FB_NO_WORKER */
};

FbWorker *fb_rack_worker (const FbRack *self, guint index);
FbTask *fb_rack_find (const FbRack *self, const fb_run *run);
fb_res fb_worker_free_capacity (const FbWorker *worker);
gboolean fb_worker_takes_work (const FbWorker *worker);
/* Returns: TRUE if every worker has replied at this epoch or is gone. */
gboolean fb_rack_is_complete (const FbRack *self);
const fb_res *fb_rack_team_used (const FbRack *self, uint32_t partner, uint32_t team);

/* usage.c: charged capacity. These are the only functions that change FbWorker.used,
 * FbRack.partner_used and FbRack.team_used. */
void fb_usage_charge (FbRack *self, FbTask *task, guint worker, const fb_res *charge);
void fb_usage_release (FbRack *self, FbTask *task);
void fb_usage_recharge (FbRack *self, FbTask *task, const fb_res *charge);

/* rack.c: lifecycle of a task */
FbTask *fb_task_new (uint64_t now_ms, const fb_spec *spec);
/* Returns: TRUE if no request has contained the start, so that the worker cannot have
 * received it. */
gboolean fb_task_never_sent (const FbTask *task);
void fb_rack_enqueue (FbRack *self, FbTask *task);
/* Reports to the owner of SPEC's range. ANSWER may be NULL. */
void fb_rack_report (FbRack *self, const fb_spec *spec, guint worker, FbRunStatus run_status,
                     FbReason reason, GBytes *answer);
/* Adds a task for a run that a worker lists although this owner did not order it. */
FbTask *fb_rack_adopt (FbRack *self, uint64_t now_ms, guint worker, const fb_spec *spec);
void fb_rack_end_task (FbRack *self, uint64_t now_ms, FbTask *task, FbRunStatus run_status,
                       FbReason reason, const char *answer, uint32_t answer_len);
void fb_rack_send_run_status (FbRack *self, const FbTask *task, FbRunStatus run_status,
                              FbReason reason);
void fb_rack_dequeue (FbRack *self, FbTask *task);
void fb_rack_remove_task (FbRack *self, FbTask *task);
void fb_rack_stop_task (FbRack *self, FbTask *task, FbReason reason);
void fb_rack_mark_dirty (FbRack *self, guint worker);

/* rack-sync.c: sends the requests that are due or marked dirty */
void fb_rack_exchange (FbRack *self, uint64_t now_ms);

/* schedule.c: starts the queued tasks that fit */
void fb_rack_schedule (FbRack *self, uint64_t now_ms);

/* preempt.c: stops running work for queued tasks of PARTNER and KIND */
void fb_preempt_for_waiting (FbRack *self, uint64_t now_ms, uint32_t partner, FbKind kind);

/* worker-health.c: quarantine of workers that fail the work they start */
void fb_worker_health_record_end (FbRack *self, uint64_t now_ms, guint worker, const FbTask *task,
                                  FbRunStatus run_status);
/* Returns: the penalty to add to the cost of a placement. */
int64_t fb_worker_health_cost (const FbWorker *worker, const FbTask *task);
void fb_worker_health_record_start (FbWorker *worker, uint64_t now_ms);
void fb_worker_health_tick (FbRack *self, uint64_t now_ms);
gboolean fb_worker_health_allows (const FbRack *self, uint64_t now_ms, const FbWorker *worker,
                                  const FbTask *task);
