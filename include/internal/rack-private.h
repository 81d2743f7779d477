/* Data of a rack, shared by the files that implement it and by no one else. */
#pragma once

#include "internal/place.h"
#include "internal/rack.h"
#include "internal/task-queue.h"

typedef enum
{
  FB_TASK_QUEUED,
  FB_TASK_RESERVED, /* holds capacity, waits for commit */
  FB_TASK_STARTING, /* ordered, the worker has not confirmed */
  FB_TASK_RUNNING,
  FB_TASK_STOPPING, /* told to stop, still holds its capacity */
  FB_TASK_ENDED     /* reported until acknowledged */
} FbTaskState;

struct _FbTask
{
  fb_spec spec; /* owned */
  FbTaskState state;
  guint worker;      /* holds its capacity, or FB_NO_WORKER */
  guint last_worker; /* the one it was last ordered to */
  uint64_t arrived_ms;
  uint64_t due_ms;
  uint64_t rank_ms; /* order in its lane: earliest first */
  uint64_t started_ms;
  uint64_t reserved_until_ms;
  uint64_t sent_seq;      /* first exchange that carried the start */
  uint64_t last_sent_seq; /* and the last */
  fb_res charge;          /* what it takes from its worker: declared or seen */
  gboolean checkpoint_stop;
  FbReason stop_reason;
  FbRunStatus run_status; /* when ENDED */
  FbReason reason;
  GBytes *answer;
  uint64_t report_at_ms;
  gboolean acked;
  GSequenceIter *lane_pos;
  GSequenceIter *due_pos;
};

typedef enum
{
  FB_WORKER_UNKNOWN, /* counts as full */
  FB_WORKER_OK,
  FB_WORKER_SILENT, /* lease may have lapsed, not yet proved */
  FB_WORKER_LAPSED, /* nothing we ordered can be running there */
  FB_WORKER_GONE
} FbWorkerState;

struct _FbWorker
{
  char *name;
  fb_res capacity;
  fb_res used;
  FbWorkerState state;
  gboolean leaving;
  gboolean dirty;
  gboolean in_flight;
  gboolean promised; /* space is being freed here for urgent work */
  uint64_t incarnation;
  uint64_t incarnation_heard_ms;  /* first word of this incarnation */
  uint64_t confirmed_incarnation; /* see fb_rack_ownership_confirmed() */
  uint64_t clock_ms;
  uint64_t heard_ms;
  uint64_t sync_at_ms;
  uint64_t sent_seq;
  uint64_t heard_seq;
  uint64_t known_version;
  uint64_t gone_ms;
  uint32_t fail_streak;
  uint64_t last_failed_job;
  gboolean quarantined;
  uint64_t probe_at_ms;
  uint64_t probe_wait_ms;
  GPtrArray *tasks; /* FbTask borrowed: all that hold capacity here */
};

struct _FbRack
{
  uint32_t id;
  const char *name;
  uint32_t home;
  uint64_t epoch;
  const FbRackSink *sink;
  gpointer user;
  FbRackPolicy policy;
  gboolean draining;
  GPtrArray *workers; /* FbWorker owned */
  GHashTable *tasks;  /* fb_run * in the task -> FbTask owned */
  FbTaskQueues *lanes;
  GSequence *by_due; /* waiting FbTask with a due time */
  GQueue ended;      /* FbTask not yet acknowledged */
  fb_res total;
  fb_res partner_used[FB_PARTNER_N];
  GHashTable *team_used;    /* key -> fb_res */
  GHashTable *range_epochs; /* range + 1 -> uint64_t, the highest heard */
  gboolean wants_schedule;
  uint64_t starts_held_until_ms;
  uint64_t confirm_asked_ms;
  fb_run hold_run;
  guint hold_worker;
};

FbWorker *fb_rack_worker (const FbRack *self, guint index);
FbTask *fb_rack_find (const FbRack *self, const fb_run *run);
fb_res fb_worker_free_space (const FbWorker *worker);
gboolean fb_worker_takes_work (const FbWorker *worker);
/* Returns: TRUE when every worker has answered under this epoch or is gone. */
gboolean fb_rack_is_complete (const FbRack *self);
const fb_res *fb_rack_team_used (const FbRack *self, uint32_t partner, uint32_t team);

/* ledger.c: the only writers of FbWorker.used and the shares. */
void fb_ledger_charge (FbRack *self, FbTask *task, guint worker, const fb_res *charge);
void fb_ledger_release (FbRack *self, FbTask *task);
void fb_ledger_recharge (FbRack *self, FbTask *task, const fb_res *charge);

/* rack.c: life of a task. */
FbTask *fb_task_new (uint64_t now_ms, const fb_spec *spec);
/* Returns: TRUE when the start was never put into an exchange, so that it cannot
 * have reached the worker. */
gboolean fb_task_never_sent (const FbTask *task);
void fb_rack_enqueue (FbRack *self, FbTask *task);
/* Tells the owner of SPEC's range; ANSWER may be NULL. */
void fb_rack_report (FbRack *self, const fb_spec *spec, guint worker, FbRunStatus run_status,
                     FbReason reason, GBytes *answer);
FbTask *fb_rack_adopt (FbRack *self, uint64_t now_ms, guint worker, const fb_spec *spec);
void fb_rack_end_task (FbRack *self, uint64_t now_ms, FbTask *task, FbRunStatus run_status,
                       FbReason reason, const char *answer, uint32_t answer_len);
void fb_rack_send_run_status (FbRack *self, const FbTask *task, FbRunStatus run_status,
                              FbReason reason);
void fb_rack_dequeue (FbRack *self, FbTask *task);
void fb_rack_forget (FbRack *self, FbTask *task);
void fb_rack_stop_task (FbRack *self, FbTask *task, FbReason reason);
void fb_rack_mark_dirty (FbRack *self, guint worker);

/* rack-sync.c: sends the exchanges that are due or wanted. */
void fb_rack_exchange (FbRack *self, uint64_t now_ms);

/* schedule.c: starts what can start. */
void fb_rack_schedule (FbRack *self, uint64_t now_ms);

/* preempt.c: see the note at the top of that file. */
void fb_preempt_for_waiting (FbRack *self, uint64_t now_ms, uint32_t partner, FbKind kind);

/* worker-health.c: workers that fail what they start. */
void fb_worker_health_note_end (FbRack *self, uint64_t now_ms, guint worker, const FbTask *task,
                                FbRunStatus run_status);
/* Returns: what to add to the cost of a placement. */
int64_t fb_worker_health_cost (const FbWorker *worker, const FbTask *task);
void fb_worker_health_note_start (FbWorker *worker, uint64_t now_ms);
void fb_worker_health_tick (FbRack *self, uint64_t now_ms);
gboolean fb_worker_health_allows (const FbRack *self, uint64_t now_ms, const FbWorker *worker,
                                  const FbTask *task);
