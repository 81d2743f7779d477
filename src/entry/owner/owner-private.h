/* Internal definitions of a partition's owner. */
#pragma once

#include "src/entry/entry-private.h"

#include "internal/account-parts.h"
#include "internal/admission-control.h"

/* The pool of one service of the partition. */
typedef struct
{
  FbOwner *owner;
  FbPool *pool;
  char *service;
  gboolean is_confirmed; /* fb_owner_confirm() at the last tick */
  FbAccountParts *parts; /* its parts of the caps of client accounts */
  uint64_t parts_ms;     /* time at which they were last applied to the pool */
  FbAdmissionControl *admission;
  GHashTable *disclaimed;     /* job that it never runs -> FbDisclaimed, see owner-disclaimers.c */
  guint refused_n;            /* jobs refused since that was last logged */
  uint64_t refused_logged_ms; /* when that was; 0: never */
} FbServicePool;

typedef struct _FbHeldJob FbHeldJob;
typedef struct _FbDisclaimer FbDisclaimer;

struct _FbOwner
{
  FbEntryDaemon *entry;
  uint32_t partition;
  uint64_t epoch;
  FbAppender *appender;
  FbTopicReader *progress_reader;
  FbTopicReader *job_reader;
  GHashTable *progress;      /* job -> GBytes of its progress record, while loading */
  GHashTable *cancelled;     /* set of cancelled jobs, while loading */
  GHashTable *admissions;    /* job -> GBytes of its admission record, while loading */
  GHashTable *service_pools; /* service -> FbServicePool */
  GHashTable *held_jobs;     /* job -> FbHeldJob, see owner-claims.c */
  GHashTable *kept_cancels;  /* job -> cancels, of jobs that this partition does not have; see
                              * owner-cancels.c */
  uint64_t next_cancel_check_ms;
  GPtrArray *open_disclaimers;     /* of FbDisclaimer */
  uint64_t disclaimers_checked_ms; /* when old ones were last looked for */
  guint load_source; /* source that applies the records read; 0 when none is scheduled */
  gboolean loaded;
  gboolean workers_known; /* the worker list was read after fenced_ms */
  gboolean stepped_down;  /* has stepped down and takes no further action */
  gboolean quiesced;      /* starts no tasks, because the daemon is stopping */
  uint64_t takeover_began_ms;
  uint64_t fenced_ms;         /* time at which the previous owner was fenced */
  uint64_t progress_ms;       /* time at which the progress records had been read */
  uint64_t jobs_ms;           /* time at which the jobs had been read; applying them starts then */
  guint loaded_n;             /* number of jobs that were loaded */
  gsize loaded_bytes;         /* size of all records that were loaded */
  uint64_t confirmed_ms;      /* time at which its ownership was last confirmed */
  uint64_t member_ms;         /* time at which it was last confirmed by the store */
  GHashTable *import_sources; /* address of a daemon -> ImportSource, see owner-import.c */
  uint64_t import_until_ms;   /* until when daemons are asked; 0: none was asked yet */
  uint64_t next_import_ms;    /* when the list of daemons is checked next */
  guint tick_source;          /* source of the scheduled tick; 0: none */
  guint tick_timer;           /* subscription for the periodic tick */
  guint open_flushes;         /* number of appends of progress without a result yet */
  GPtrArray *stale_keys;      /* of char *, keys of callers' records that are to be deleted */
  uint64_t deleted_ms;        /* time at which such records were last deleted */
  GHashTable *parts_n; /* key -> number of parts in which its value may be stored; of those that
                        * have ever been stored in several */
  uint64_t ticked_ms;  /* time of the last tick; 0: none yet */
  uint64_t woken_ms;   /* time of the first tick after the process was suspended; 0: never */
};

/* Keys of FB_TOPIC_PROGRESS are job ids, or a prefix followed by the name of a service. */
#define FB_KEY_WORKERS "workers."
/* As FB_KEY_WORKERS, of records in the same append. */
#define FB_KEY_SILENT_WORKERS "silent-workers."
/* Followed by the name of a service, a dot and the id of a job that the service never runs. */
#define FB_KEY_DISCLAIMED "disclaimed."

/* owner-orders.c: sends the orders of pools and passes the answers back. */
extern const FbPoolCallbacks fb_owner_pool_callbacks;
/* FbPoolIdleDaemonsFunc */
guint fb_owner_idle_daemons (gpointer user, uint32_t expected_ms);
/* Ends the ownership: SELF takes no further action, and the daemon frees it soon. */
void fb_owner_step_down (FbOwner *self, const char *reason);

/* owner-load.c: loads the records of previous owners. */

/* Completion of the append that fences the previous writer. */
void fb_owner_previous_writer_fenced (gpointer self, FbAppendResult result);

/* Applies a stored record of the progress of JOB, which is in a pool. */
void fb_owner_apply_progress (FbOwner *self, const char *job, GBytes *value);

/* owner-claims.c */

GHashTable *fb_owner_held_jobs_new (void);
/* Adds JOB to the pool of its service, or holds it until it is certain that no other service of its
 * queue runs it.  RECORD may be taken over. */
void fb_owner_admit (FbOwner *self, const char *job, fb_work_admit *record);
/* Returns: (nullable): the held JOB, borrowed. */
FbHeldJob *fb_owner_held_job (const FbOwner *self, const char *job);
/* Returns: TRUE when JOB is held for the pool of SERVICE. */
gboolean fb_owner_holds_job_for (const FbOwner *self, const char *job, const char *service);
/* Stores PROGRESS or CANCEL, records of HELD, until the job is in its pool. */
void fb_owner_hold_progress (FbHeldJob *held, GBytes *progress);
void fb_owner_hold_cancel (FbHeldJob *held, GBytes *cancel);
void fb_owner_forget_held_job (FbOwner *self, const char *job);
/* Returns: TRUE when JOB is held and was stored before the takeover. */
gboolean fb_owner_is_job_loaded (const FbOwner *self, const char *job);
/* Holds JOB, which is held for another service of the partition, for SERVICE, whose workers run it.
 * Returns: FALSE when no such job is held. */
gboolean fb_owner_return_held_job (FbOwner *self, const char *job, const char *service);
/* POLICIES: queue -> fb_work_policy of the configuration in force. */
void fb_owner_set_held_policies (FbOwner *self, GHashTable *policies);
/* Returns: how many jobs of QUEUE are held that wait for their first start in the pool of
 * SERVICE. */
guint fb_owner_held_jobs_n (const FbOwner *self, const char *service, const char *queue);
/* Returns: TRUE while jobs are held that were stored before the takeover. */
gboolean fb_owner_holds_loaded_jobs (const FbOwner *self);
/* Callback of the pools. */
gboolean fb_owner_is_job_held (gpointer service_pool, const char *job);
/* Claims the held jobs from other pools, and adds those to their pools that may run there.  To be
 * called in every tick after loading. */
void fb_owner_claim_held_jobs (FbOwner *self, uint64_t now_ms);
/* owner-disclaimers.c */

/* Returns: FbServicePool.disclaimed */
GHashTable *fb_owner_disclaimed_new (void);
/* Returns: (nullable): another service of the partition that may run JOB, to which the pool of
 * SERVICE_POOL has disclaimed it; borrowed. */
const char *fb_owner_claimant_here (const FbServicePool *service_pool, const char *job);
/* JOB has ended or was given up: CLAIMANT, or each claimant if that is NULL, does not run it any
 * more. */
void fb_owner_forget_claimant (FbOwner *self, const char *job, const char *claimant);
/* Answers the claims that are being stored that this owner is not available. */
void fb_owner_abandon_disclaimers (FbOwner *self);
/* Applies a record whose KEY begins with FB_KEY_DISCLAIMED. */
void fb_owner_restore_disclaimer (FbOwner *self, const char *key, GBytes *value);
/* Deletes disclaimers that are no longer needed.  To be called in every tick. */
void fb_owner_expire_disclaimers (FbOwner *self, uint64_t now_ms);

/* owner-records.c */

/* Stores VALUE under KEY among the callers' records of PARTITION, and tells its owner.  DONE is
 * called once, within half a minute. */
void fb_owner_store_record (FbEntryDaemon *entry, uint32_t partition, const char *key,
                            GBytes *value, FbAppendDone done, gpointer user);
/* FbAppendDone */
void fb_owner_ignore_stored (gpointer user, FbAppendResult result);
/* owner-cancels.c */

GHashTable *fb_owner_kept_cancels_new (void);
/* Deletes the records that cancel JOB, which has ended. */
void fb_owner_delete_cancels (FbOwner *self, const char *job);
/* Cancels the job whose id NAME begins with, or keeps CANCEL, its record, until the job is known.
 */
void fb_owner_apply_cancel (FbOwner *self, const char *name, GBytes *cancel);
/* As above, of a record that was read from the store. */
void fb_owner_apply_stored_cancel (FbOwner *self, const char *name, GBytes *cancel);
/* A record that cancelled the job whose id NAME begins with was deleted; cancels of it that are
 * still kept are stored again. */
void fb_owner_cancel_deleted (FbOwner *self, const char *name);
/* Applies the kept cancel of JOB, if there is one.  To be called when a job becomes known. */
void fb_owner_apply_kept_cancel (FbOwner *self, const char *job);
/* Has JOB cancelled by the owner of the pool of SERVICE.  CANCEL: the stored record. */
void fb_owner_pass_on_cancel (FbOwner *self, const char *job, GBytes *cancel, const char *service,
                              FbAppendDone done, gpointer user);
/* Passes the kept cancel of JOB, if there is one, on to SERVICE.
 * Returns: FALSE until it is stored there. */
gboolean fb_owner_pass_on_kept_cancel (FbOwner *self, const char *job, const char *service);
/* Passes kept cancels on to all services that share a queue with one of this partition, once these
 * are known, and forgets old ones if IS_CONFIRMED: the store confirms the ownership.  To be called
 * in every tick. */
void fb_owner_check_kept_cancels (FbOwner *self, gboolean is_confirmed, uint64_t now_ms);

/* owner-flush.c */

/* Stores what has changed in the pool, unless a flush of it is open. */
void fb_owner_flush (FbServicePool *service_pool);

/* owner-suspect-backups.c */

/* Sends crash suspects that the store does not accept to other daemons. */
void fb_owner_back_up_suspects (const FbServicePool *service_pool);
/* Applies PEER_REPLY, a daemon's copies of crash suspects of earlier owners. */
void fb_owner_import_suspects (FbOwner *self, const fb_suspect_backups_reply *peer_reply);

/* owner-import.c */

/* Requests the recent starts of earlier owners from each daemon, twice, and the suspects held for
 * earlier owners until they are received.  To be called in every tick after loading. */
void fb_owner_request_starts (FbOwner *self, uint64_t now_ms);

/* owner-account-parts.c */

/* Applies the parts of the caps of client accounts to the pool, and requests other parts from the
 * owners of other pools.  To be called in every tick after loading. */
void fb_owner_exchange_account_parts (FbServicePool *service_pool, uint64_t now_ms);
/* Answers a request of the owner of another pool for parts of the caps that the pool in it
 * divides. */
void fb_owner_answer_account_parts (FbOwner *self, const fb_account_parts_request *peer_request,
                                    fb_peer_reply *peer_reply);

/* owner-admission.c */

/* Tells all daemons when the pool becomes overloaded, and each second while it is.  To be called in
 * every tick while the ownership is confirmed. */
void fb_owner_watch_load (FbServicePool *service_pool, uint64_t now_ms);
/* Answers whether a job should be stored.  PEER_REPLY needs no xdr_free(). */
void fb_owner_answer_admission (FbOwner *self, const fb_admission_request *request,
                                fb_peer_reply *peer_reply);

/* owner.c */

/* Returns: the pool of SERVICE, borrowed; created when there is none. */
FbServicePool *fb_owner_pool_for (FbOwner *self, const char *service);
/* Creates the pools of the configured services of the partition. */
void fb_owner_create_configured_pools (FbOwner *self);
/* Returns: TRUE when the store or a majority of the workers of SERVICE_POOL confirms the ownership,
 * so that no other daemon acts as owner. */
gboolean fb_owner_confirm (FbOwner *self, const FbServicePool *service_pool, uint64_t now_ms);
