/* Workers of a pool and the runs on them. Private to the pool's own files. */
#pragma once

#include "internal/pool-job-private.h"
#include "internal/run-progress.h"

typedef enum
{
  FB_RUN_STARTING, /* start sent, or about to be; not confirmed by the worker yet */
  FB_RUN_RUNNING,
  FB_RUN_STOPPING
} FbRunState;

/* Evidence that a task was on a worker when that worker crashed. */
typedef enum
{
  FB_CRASH_REPORTED, /* a stored record or another daemon reports that it was started there */
  FB_CRASH_PROBABLE, /* its start got no answer, or an earlier owner saw it there */
  FB_CRASH_CONFIRMED /* it was seen there, or almost certainly began there */
} FbCrashEvidence;

/* A worker crash, as counted for a task that was on the worker. */
typedef struct
{
  uint64_t worker;   /* FbPoolWorker.id_hash of the worker; 0: none */
  gboolean isolated; /* no other run on the worker could have caused the crash */
  FbCrashEvidence evidence;
} FbPoolCrash;

/* One attempt of a task on a worker. Exists from the start order until the attempt has certainly
 * ended there. */
struct _FbPoolRun
{
  char *name;
  FbPoolStep *step;         /* NULL: its job is not known */
  uint64_t first_listed_ms; /* when the worker first listed it; 0: this owner started it */
  uint64_t listed_ms;       /* when the worker last listed it; 0: never */
  uint32_t index;
  uint32_t attempt;
  FbRunState state;
  gboolean abandoned;  /* its task no longer depends on this run */
  gboolean unanswered; /* the start got no answer: it may have begun */
  /* The start is not ordered yet: see pool-awaiting-starts.c. */
  gboolean awaits_record;
  /* Crashes and unresolved losses of its task when the run was charged to the worker. */
  guint suspect_score;
  /* Begun here without a checkpoint: its duration measures the worker's speed. */
  gboolean from_start;
  uint64_t order;            /* number of the last order sent for it; 0: none */
  uint64_t deadline_ms;      /* deadline of the start, on the worker's clock */
  uint64_t seen_clock_ms;    /* worker's clock when the run was last known to be there; 0: never */
  uint64_t stopped_clock_ms; /* worker's clock when it accepted a stop; 0: not yet */
  uint64_t stop_ordered_ms;  /* when the first stop was sent; 0: none was */
  uint64_t stop_sent_ms;     /* when the last stop was sent */
  guint stops_n;             /* number of stops sent */
  gboolean stop_failed;      /* the last answered stop was not confirmed by the worker */
  uint64_t outlived_ms;      /* when it was last logged that it outlives its stop; 0: never */
  /* Worker's clock at the first list that would have proved that the run is over, had it not
   * possibly been being stopped; 0: none since it was last listed. */
  uint64_t absent_clock_ms;
  uint64_t started_ms; /* when the start was sent, or the run was first listed */
  /* When the start was transferred to this incarnation because the one that it was sent to ended
   * before it listed the run; the start may still arrive here. 0: not so, or listed since. */
  uint64_t transferred_ms;
  gboolean is_tombstone; /* late start that the worker is ordered to refuse */
  /* Counted if the transferred start never arrives, as the earlier incarnation crashed; worker 0:
   * nothing to count. */
  FbPoolCrash deferred_crash;
  FbRunProgress progress;
  gboolean is_copy; /* its task already had a run */
  /* PROGRESS.seen_ms of the report by which a copy or a restart elsewhere was last considered; 0:
   * never. */
  uint64_t considered_ms;
  FbPoolSpeed *speed; /* of its worker; borrowed */
};

typedef struct
{
  char *id;
  guint slot;           /* index in FbPool.worker_slots */
  uint32_t incarnation; /* number of this incarnation, unique in the pool, rising, never 0 */
  /* Hash of the id: breaks ties between equal workers independently of the listing order, and
   * identifies the worker in crash records. */
  uint64_t id_hash;
  gboolean gained_capacity;    /* it is in FbPool.gained_capacity */
  gboolean accepted_work;      /* it accepted starts at the last maintenance pass */
  char *address;               /* IP:PORT; NULL: not known yet */
  uint64_t address_changed_ms; /* when it was last listed at another address; 0: never */
  char *rack;                  /* NULL: not known */
  char **labels;               /* NULL-terminated */
  uint32_t cpu_milli;
  uint32_t mem_mb;
  uint32_t gpu_count;
  /* Largest capacity that this incarnation was ever listed with, also to earlier owners. */
  uint32_t max_cpu_milli;
  uint32_t max_mem_mb;
  uint32_t max_gpu_count;
  gboolean size_known;       /* it was listed, or an earlier owner recorded its capacity */
  gboolean labels_known;     /* as SIZE_KNOWN, for its labels */
  gboolean has_silence_row;  /* it is in the last record of pool-silence.c */
  gboolean has_restart_row;  /* that record has it for leases from misdirected calls */
  gboolean listed;           /* the platform lists it now */
  uint64_t listed_ms;        /* when it was first listed; 0: known from a record only */
  uint64_t unlisted_ms;      /* when it was last found missing in the list; 0: never listed */
  gboolean recorded;         /* a stored record of workers names it */
  gboolean in_open_record;   /* the record of workers in the open flush names it */
  gboolean draining;         /* will exit soon: gets no new work */
  gboolean answered;         /* has answered a poll under the present epoch */
  gboolean silence_recorded; /* its last poll failed, and its runs have been recorded */
  gboolean runs_ended;       /* this incarnation or all its leases have certainly ended */
  gboolean replaced;         /* this incarnation has certainly ended */
  /* Restarts under the same id, so a later incarnation may receive calls meant for this one. */
  gboolean may_restart;
  gboolean superseded;      /* a later incarnation at its address is known */
  gboolean has_predecessor; /* an earlier incarnation was known when this one was found */
  /* When every lease has certainly ended that a call for another incarnation may have extended
   * here, but for calls of earlier owners that are not recorded; 0: there is none. */
  uint64_t misdirected_end_ms;
  /* Name of a step -> number of its tasks that may still run here, as recorded by the previous
   * owner when it stopped starting work here; NULL: any step may run. */
  GHashTable *known_steps;
  gboolean runs_counted; /* the numbers in KNOWN_STEPS are known */
  /* Nothing starts here and no lease is extended, see pool-silence.c. */
  gboolean closed;
  gboolean lease_recorded;    /* the previous owner's record bounds the leases here */
  uint64_t recorded_lease_ms; /* every lease ends within this time after that record */
  /* Its clock is at most this far ahead of this owner's since it last began to answer. */
  int64_t clock_ahead_ms;
  gboolean poll_open; /* a poll is unanswered */
  /* When a poll was sent to a removed entry of this worker that is still open; 0: there is none. */
  uint64_t outlived_poll_sent_ms;
  gboolean first_poll_open;       /* it is counted in FbPool.first_polls_open_n */
  uint32_t first_poll_timeout_ms; /* timeout of the last initial poll; 0: none sent */
  uint64_t next_poll_ms;          /* when the next poll is due */
  /* When the last poll was sent, or an earlier one that the next answer may belong to. */
  uint64_t poll_sent_ms;
  FbOrderResult poll_result;      /* of the last poll; FB_ORDER_DONE before the first one */
  uint64_t answered_poll_sent_ms; /* when the last answered poll had been sent */
  uint64_t last_answer_ms;        /* when the last answer arrived; 0: never */
  uint64_t clock_ms;              /* worker's clock, as read no later than last_answer_ms */
  /* Highest deadline ever sent, on the worker's clock, including those of the previous owner. */
  uint64_t lease_ms;
  uint64_t deadline_sent_ms; /* when the last call with a deadline was sent; 0: none was */
  /* Of the last answer that listed all ends: when its poll was sent (0: there was none), the
   * worker's clock, and the highest number of an end in it or in an earlier answer. */
  uint64_t complete_list_sent_ms;
  uint64_t complete_list_clock_ms;
  uint64_t complete_list_end;
  uint64_t processed_end; /* highest number of an end that has been processed */
  /* Lists an end of a job that is not known yet, or may have more ends than one answer holds. */
  gboolean has_unknown_end;
  uint64_t unknown_end;                           /* number of the last such end; 0: none */
  char unknown_end_job[FB_WORK_JOB_ID_CHARS + 1]; /* its job */
  uint64_t unknown_end_ms;                        /* when that end was first listed */
  uint64_t flushing_end;                          /* processed_end when the open flush began */
  uint64_t acknowledged; /* highest number of an end whose effects are stored */
  uint64_t unstored_end; /* lowest number of an end that may be in a record that the store does not
                          * accept; 0: none */
  gboolean has_failed_stop; /* a run has FbPoolRun.stop_failed, so polls yield their connection */
  /* Number acknowledged by the open poll if a later incarnation may receive it; 0: none. */
  uint64_t poll_acknowledges;
  /* Highest number that the worker is known to have received, if later incarnations may receive
   * calls. */
  uint64_t confirmed_acknowledged;
  /* When the last poll was sent that acknowledged an end and got no answer; 0: none was. */
  uint64_t unanswered_acknowledgement_ms;
  /* Acknowledgements that were meant for earlier incarnations arrive here no later: an end of a run
   * that is started before might be discarded. */
  uint64_t foreign_acknowledgement_until_ms;
  uint64_t paused_until_ms; /* no starts before, as it refused one or left it unanswered */
  uint32_t failure_streak;  /* failed runs of different jobs in a row */
  FbPoolSpeed *speed;
  uint64_t throttled_until_ms; /* no starts before, as its runs fail */
  char *last_failed_job;       /* id of the job of the last failed run; NULL: none */
  GHashTable *runs;            /* name of the task -> FbPoolRun */
  guint tombstones_n;          /* runs that are tombstones of late starts */
  guint suspect_runs_n;  /* runs of tasks under which workers have crashed or may have crashed */
  guint isolated_runs_n; /* runs beside which nothing is started, as their tasks are isolated */
  /* Only this task may start here until exclusive_until_ms; NULL: any. Compared only, never
   * dereferenced. */
  const FbPoolTask *exclusive_for;
  uint64_t exclusive_until_ms;
  uint32_t unknown_runs_n; /* runs of unknown jobs, whose resource use is unknown */
  /* Resources that its runs use; best-effort runs use no CPU. */
  int64_t cpu_used; /* 1/1000 CPU */
  int64_t mem_used; /* MB */
  int64_t gpu_used;
  guint reserved_n; /* tasks for which resources are reserved while their steps wait for advice */
  /* Resources reserved for these tasks. */
  int64_t cpu_reserved; /* 1/1000 CPU */
  int64_t mem_reserved; /* MB */
  int64_t gpu_reserved;
} FbPoolWorker;

/* pool-worker.c */
FbPoolWorker *fb_pool_worker_new (const char *id);
/* Returns: a hash of ID that breaks ties between equal workers; the same at all owners. */
uint64_t fb_pool_worker_id_hash (const char *id);
void fb_pool_worker_free (gpointer worker);
void fb_pool_worker_set_entry (FbPoolWorker *worker, const FbWorkerEntry *entry);
/* Returns: how long RUN still takes, by the progress that its worker reports; 0: not known. */
uint64_t fb_pool_run_remaining_ms (const FbPoolRun *run, uint64_t now_ms);
/* TRUE when WORKER has never answered, or not for longer than a poll takes. */
gboolean fb_pool_worker_silent (const FbPoolWorker *worker, uint64_t now_ms);
/* TRUE when a run that is no longer counted on WORKER may have an end that is not processed, or not
 * stored. */
gboolean fb_pool_worker_has_unsettled_end (const FbPoolWorker *worker);
/* Returns: RESULT of a call of SENT_MS, or FB_ORDER_UNKNOWN when it tells nothing about WORKER: if
 * its entry has moved since, another worker may answer at the address that it had. */
FbOrderResult fb_pool_worker_call_result (const FbPoolWorker *worker, FbOrderResult result,
                                          uint64_t sent_ms);
/* TRUE when the last poll of WORKER did not succeed. */
gboolean fb_pool_worker_poll_failed (const FbPoolWorker *worker);
FbPoolRun *fb_pool_worker_add_run (FbPoolWorker *worker, FbPoolStep *step, uint32_t index,
                                   const char *name, uint32_t attempt);
/* RUN, whose job was not known, is of task INDEX of STEP. */
void fb_pool_worker_set_step (FbPoolWorker *worker, FbPoolRun *run, FbPoolStep *step,
                              uint32_t index);
/* Marks RUN as a tombstone, or as a run that is there after all. */
void fb_pool_worker_set_tombstone (FbPoolWorker *worker, FbPoolRun *run, gboolean is_tombstone);
/* TRUE when task INDEX has a tombstone on WORKER, or a run that it does not depend on. */
gboolean fb_pool_worker_has_other_run (const FbPoolWorker *worker, const FbPoolStep *step,
                                       uint32_t index);
/* Removes RUN from WORKER and from its task, and frees it. */
void fb_pool_worker_drop_run (FbPoolWorker *worker, FbPoolRun *run);
/* TRUE when the free capacity of WORKER suffices for a task of SPEC. */
gboolean fb_pool_worker_fits (const FbPoolWorker *worker, const fb_work_step *spec);
/* Throttles a worker whose runs keep failing; called after a failure and after a start. */
void fb_pool_worker_throttle (FbPoolWorker *worker, uint64_t now_ms);
/* Adds (SIGN 1) or subtracts (-1) the resources that RUN uses. */
void fb_pool_worker_charge (FbPoolWorker *worker, FbPoolRun *run, int sign);
/* Reserves (SIGN 1) or releases (-1) resources for a task of SPEC. */
void fb_pool_worker_reserve (FbPoolWorker *worker, const fb_work_step *spec, int sign);
gboolean fb_pool_worker_has_label (const FbPoolWorker *worker, const char *label);

/* pool-lease.c */

/* Calls that were meant for another incarnation may be on their way to WORKER. */
void fb_pool_lease_expect_misdirected (const FbPool *self, FbPoolWorker *worker, uint64_t now_ms);
/* TRUE while WORKER, which has answered, may hold a lease from a call that was meant for an earlier
 * incarnation. */
gboolean fb_pool_lease_may_be_misdirected (const FbPoolWorker *worker, uint64_t now_ms);
/* WORKER answers this owner for the first time, or for the first time since it was lost.  Returns:
 * the longest lease that it may hold, from an earlier owner or from a call that was meant for an
 * earlier incarnation. */
uint64_t fb_pool_lease_first_answer (const FbPool *self, FbPoolWorker *worker, uint64_t now_ms);
/* Returns: a lower bound of the worker's clock now. */
uint64_t fb_pool_worker_clock_min (const FbPoolWorker *worker, uint64_t now_ms);
/* Returns: when RUN has certainly ended if a later incarnation of WORKER has carried out its start;
 * 0: none can. */
uint64_t fb_pool_lease_end_of_start_ms (const FbPool *self, const FbPoolWorker *worker,
                                        const FbPoolRun *run);
/* Returns: an upper bound of the real time until every lease that the worker can hold has ended;
 * G_MAXUINT64: there is none. */
uint64_t fb_pool_worker_lease_remaining_ms (const FbPool *self, const FbPoolWorker *worker,
                                            uint64_t now_ms);
/* Returns: when each lease has certainly ended that an earlier owner has extended, also one that a
 * majority of the workers never told of its successor. */
uint64_t fb_pool_lease_latest_end_ms (const FbPool *self);
/* Returns: when every lease of an earlier owner has certainly ended, on a worker that its record of
 * silent workers does not have; G_MAXUINT64: this is not known yet. */
uint64_t fb_pool_lease_earlier_end_ms (const FbPool *self, gboolean may_restart);
/* TRUE when fb_pool_worker_lease_remaining_ms() returns a bound. */
gboolean fb_pool_lease_is_bounded (const FbPool *self, const FbPoolWorker *worker);
/* Returns: what bounds the last lease that WORKER can hold, as a static text for the log. */
const char *fb_pool_worker_lease_bound (const FbPool *self, const FbPoolWorker *worker);
/* TRUE when every lease that the worker can hold has certainly ended. */
gboolean fb_pool_worker_lease_expired (const FbPool *self, const FbPoolWorker *worker,
                                       uint64_t now_ms);

/* pool-pace.c */

/* WORKER has reported the progress of its runs. */
void fb_pool_pace_update (const FbPoolWorker *worker, uint64_t now_ms);
/* RUN, of a known step, has ended successfully on WORKER. */
void fb_pool_pace_run_ended (const FbPoolWorker *worker, const FbPoolRun *run, uint64_t now_ms);

/* pool-worker-slots.c */
/* Adds WORKER, which became known at KNOWN_MS, to the pool. */
void fb_pool_worker_slots_add (FbPool *self, FbPoolWorker *worker, uint64_t known_ms);
/* Removes WORKER and frees it. */
void fb_pool_worker_slots_remove (FbPool *self, FbPoolWorker *worker);
/* Returns: the next worker at or after index *SLOT, which is moved past it; NULL at the end. */
FbPoolWorker *fb_pool_worker_slots_next (const FbPool *self, guint *slot);
/* Marks WORKER as able to take work that it could not take before. */
void fb_pool_worker_gained_capacity (FbPool *self, FbPoolWorker *worker);

/* pool-drain.c */

/* Returns: (transfer full): the name of the step that TASK belongs to. */
char *fb_pool_step_of_task (const char *task);
/* Writes STEPS, or the steps that may still run on WORKER if it drains, into KNOWN. STEPS: set of
 * names; NULL: not known. */
void fb_pool_drain_record (const FbPoolWorker *worker, GHashTable *steps,
                           fb_work_known_worker *known);
void fb_pool_drain_record_clear (fb_work_known_worker *known);
/* Stores what the previous owner recorded of a worker until that worker is listed. */
void fb_pool_drain_restore (FbPool *self, const fb_work_known_worker *known);
/* WORKER was listed: applies what the previous owner recorded of it. */
void fb_pool_drain_apply (FbPool *self, FbPoolWorker *worker);
/* FALSE when the previous owner's record proves that no run of STEP can be on WORKER. */
gboolean fb_pool_drain_may_run (const FbPoolWorker *worker, const FbPoolStep *step);
/* TRUE when the previous owner's record proves that nothing runs on WORKER, even if it does not
 * answer. */
gboolean fb_pool_drain_is_empty (const FbPoolWorker *worker);
