/* Graph jobs: what callers submit, and the records that outlive a daemon.
 *
 * The same types are used in memory, in records of the platform's log and in messages between
 * daemons, so that each is decoded once. */

const FB_WORK_MAX_PAYLOAD = 4000;
const FB_WORK_MAX_STEPS = 512;
/* The platform sets no length for names and checkpoints.  The bounds limit what a malformed message
 * makes its reader allocate. */
const FB_WORK_MAX_NAME = 4096;
const FB_WORK_MAX_CHECKPOINT = 4194304;
const FB_WORK_JOB_ID_CHARS = 16;
const FB_WORK_MAX_TASK_ROWS = 65536;
const FB_WORK_MAX_FAILED = 1024;
const FB_WORK_MAX_CRASHES = 8;
const FB_WORK_MAX_TICKETS = 128;
const FB_WORK_MAX_WORKERS = 20000;
const FB_WORK_MAX_RUNS = 256;
const FB_WORK_MAX_LABELS = 256;
const FB_WORK_MAX_REFERENCE_CLOCKS = 5;
const FB_WORK_MAX_REPORTED = 65536;
const FB_WORK_MAX_PARTITIONS = 4096;
const FB_WORK_MAX_STARTS = 512;
const FB_WORK_MAX_SUSPECT_BACKUPS = 256;
const FB_WORK_DIGEST_BYTES = 16;
const FB_WORK_MAX_ACCOUNT = 1024;
const FB_WORK_MAX_ACCOUNT_ROWS = 20000;
const FB_WORK_MAX_SERVICES = 4096;
const FB_WORK_MAX_CLAIMS = 512;

/* One step: COUNT identical tasks, each with the given resource demand. */
struct fb_work_step {
  unsigned int count;
  unsigned int cpu_milli;
  unsigned int mem_mb;
  unsigned int gpu_count;
  unsigned int estimate_ms;
  unsigned int max_per_worker;  /* 0: no bound */
  unsigned int max_unavailable; /* of a long-running step; 0: no bound */
  unsigned int tail_latency_target_ms;  /* of a step that serves requests; 0: none */
  bool gang;
  bool rack_local;
  bool checkpointing;
  bool speculative;
  bool long_running;
  bool best_effort; /* uses only capacity that other tasks do not use; its cpu is not counted */
  string preferred_rack<FB_WORK_MAX_NAME>;
  string required_label<FB_WORK_MAX_NAME>;
  string image<FB_WORK_MAX_NAME>;
  unsigned int after<FB_WORK_MAX_STEPS>;
};

struct fb_work_spec {
  string payload<FB_WORK_MAX_PAYLOAD>;
  fb_work_step steps<FB_WORK_MAX_STEPS>;
  unsigned hyper first_due_ms; /* due time of occurrence 0, ms since 1970 */
  unsigned hyper interval_ms;
  unsigned int occurrences; /* 0: runs once, as soon as possible */
};

/* A queue's policy as of the time when the job was accepted. */
struct fb_work_policy {
  string queue<FB_WORK_MAX_NAME>;
  string service<FB_WORK_MAX_NAME>;
  unsigned int priority; /* 0: highest */
  unsigned int max_attempts;
  unsigned int stretch_factor_milli;
  unsigned int target_ms;
  bool advised;
  unsigned int advice_decision_us;
  unsigned int advice_per_worker_us;
  unsigned int advice_validity_ms;
};

/* Admission of a job.  The key of the record names the job; see fb_record_key(). */
struct fb_work_admit {
  fb_work_policy policy;
  fb_work_spec spec;
  unsigned hyper accepted_ms; /* ms since 1970, by the clock of the daemon that accepted it */
  string account<FB_WORK_MAX_ACCOUNT>; /* client account; "": none.  Stored behind the name of the
                                        * queue, see fb_codec_encode_admit() */
};

/* Progress of one task; left out while the task has neither ended nor saved a checkpoint. */
struct fb_work_task_progress {
  unsigned int occurrence;
  unsigned int step;
  unsigned int index;
  unsigned int attempt;
  unsigned int failed<FB_WORK_MAX_FAILED>; /* numbers of the attempts that failed */
  bool done;
  string checkpoint<FB_WORK_MAX_CHECKPOINT>;
};

enum fb_work_state {
  FB_WORK_QUEUED = 0,
  FB_WORK_RUNNING = 1,
  FB_WORK_COMPLETED = 2,
  FB_WORK_FAILED = 3,
  FB_WORK_CANCELLED = 4
};

struct fb_work_progress {
  fb_work_state state;
  unsigned hyper ended_ms; /* ms since 1970; 0 while it has not ended */
  fb_work_task_progress task_progress<FB_WORK_MAX_TASK_ROWS>;
};

struct fb_work_unresolved_start {
  string worker<FB_WORK_MAX_NAME>;
  string address<FB_WORK_MAX_NAME>;
};

/* A task under which workers have crashed.  Workers are identified by their FbPoolWorker.id_hash.
 * A worker whose crash is confirmed, or where the task was seen running, is listed twice; daemons
 * of earlier versions ignore the second entry. */
struct fb_work_suspect {
  unsigned int occurrence;
  unsigned int step;
  unsigned int index;
  unsigned hyper isolated<FB_WORK_MAX_CRASHES>;  /* no other task could be the cause */
  unsigned hyper shared<FB_WORK_MAX_CRASHES>;
  fb_work_unresolved_start unresolved<FB_WORK_MAX_CRASHES>; /* starts with unknown outcome */
};

/* Follows the progress of a job in the job's record; left out when there are no suspects. */
struct fb_work_suspects {
  fb_work_suspect tasks<FB_WORK_MAX_TASK_ROWS>;
};

struct fb_step_name {
  string name<FB_WORK_MAX_NAME>;
};

struct fb_work_known_worker {
  string id<FB_WORK_MAX_NAME>;
  string address<FB_WORK_MAX_NAME>;
  bool steps_known; /* the worker drains, and only STEPS can have runs there */
  fb_step_name steps<FB_WORK_MAX_RUNS>;
};

/* The workers of a pool that may have runs, as known to its owner.  The platform's list loses
 * entries while the store is unavailable. */
struct fb_work_workers {
  fb_work_known_worker workers<FB_WORK_MAX_WORKERS>;
};

struct fb_work_label {
  string name<FB_WORK_MAX_NAME>;
};

/* How many tasks of a step may run on a worker. */
struct fb_work_step_runs {
  string step<FB_WORK_MAX_NAME>;
  unsigned int tasks_n; /* 0xffffffff: unknown */
};

/* A worker that does not answer the owner, or of which the platform's list shows too little. */
struct fb_work_silent_worker {
  string id<FB_WORK_MAX_NAME>;
  bool size_known;
  unsigned int cpu_milli; /* the largest capacity of this incarnation */
  unsigned int mem_mb;
  unsigned int gpu_count;
  bool labels_known;
  fb_work_label labels<FB_WORK_MAX_LABELS>;
  bool draining;
  bool lease_known; /* until it is stored that this row is gone, the owner starts nothing there and
                     * extends no lease */
  unsigned hyper lease_remaining_ms; /* every lease there ends within this time after the record */
  bool runs_known; /* only RUNS can be there; never without LEASE_KNOWN */
  fb_work_step_runs runs<FB_WORK_MAX_RUNS>;
};

/* The highest possible time on a worker's clock when the record was made. */
struct fb_work_reference_clock {
  string worker<FB_WORK_MAX_NAME>;
  unsigned hyper clock_ms;
};

/* Belongs to the fb_work_workers that is stored in the same append; invalid beside any other. */
struct fb_work_silent_workers {
  /* FB_WORK_RUNNING: WORKERS has each worker that may hold a lease from a call that was meant for an
   * earlier incarnation. FB_WORK_QUEUED: it may lack some, also as written by earlier versions.
   * Daemons of versions before the record take it for the progress of a job that they do not know,
   * and ignore it. */
  fb_work_state state;
  unsigned hyper workers_hash; /* XXH64 of the fb_work_workers */
  fb_work_silent_worker workers<FB_WORK_MAX_WORKERS>;
  fb_work_reference_clock clocks<FB_WORK_MAX_REFERENCE_CLOCKS>;
};

/* A service to which a queue has been directed.  Records of such pairs are listed in the order in
 * which they were stored. */
struct fb_queue_service {
  string queue<FB_WORK_MAX_NAME>;
  string service<FB_WORK_MAX_NAME>;
};

/* A route of a configuration that was in force. */
struct fb_stored_route {
  string host<FB_WORK_MAX_NAME>;
  string prefix<FB_WORK_MAX_NAME>;
  bool anonymous;
  fb_queue_service queue;
};

/* Requests between daemons, to the owner of a pool or to any peer. */

enum fb_peer_request_type {
  FB_REQUEST_JOB_STATE = 1,         /* state of a job, answered by the owner of its pool */
  FB_REQUEST_PENDING_COUNT = 2,     /* number of pending jobs of a queue */
  FB_REQUEST_ADVICE = 3,            /* call the advice service from the receiving daemon */
  FB_REQUEST_APPEND_JOB_RECORD = 4, /* append to the log for a daemon that the log rejects */
  FB_REQUEST_NOTIFY_STORED = 5,     /* notifies the owner of a record that is in the log */
  FB_REQUEST_PARTITION_OWNERS = 6,  /* owners of all partitions, according to the log's group */
  FB_REQUEST_APPEND_PROGRESS = 7,   /* append progress for an owner that the log rejects */
  FB_REQUEST_RECENT_STARTS = 9,     /* starts that the receiving daemon sent to workers that no
                                     * longer answer */
  FB_REQUEST_RELAY_ORDER = 10,      /* relay an order to a worker; 8 was one without the worker's
                                     * incarnation: daemons of both versions relay nothing for
                                     * each other */
  FB_REQUEST_BACK_UP_SUSPECTS = 11, /* keep a copy of a job's crash suspects until the store
                                     * has them */
  FB_REQUEST_SUSPECT_BACKUPS = 12,  /* all such copies that the receiving daemon holds */
  FB_REQUEST_UNHEARD_STARTS = 13,   /* as FB_REQUEST_RECENT_STARTS, with starts on workers that the
                                     * receiving daemon has not heard of for some time */
  FB_REQUEST_ACCOUNT_JOB_STATE = 14, /* as FB_REQUEST_JOB_STATE, for a caller of an account */
  FB_REQUEST_CONFIGURATION = 15,    /* the configuration, if it is newer than a version */
  FB_REQUEST_ACCOUNT_PARTS = 16,    /* parts of the caps of accounts for a pool */
  FB_REQUEST_LOAD_NOTICE = 17,      /* the pool of a service is overloaded, or no longer is */
  FB_REQUEST_ADMISSION = 18,        /* whether to store a job, answered by the owner of its pool */
  FB_REQUEST_RELAY_ORDER_PROGRESS = 19, /* as FB_REQUEST_RELAY_ORDER, answered with the progress of
                                        * runs; daemons of earlier versions answer that they did
                                        * nothing */
  FB_REQUEST_WATCH_CONFIGURATION = 20, /* as FB_REQUEST_CONFIGURATION, answered when there is a newer
                                        * one or after a time */
  FB_REQUEST_QUEUE_SERVICES = 21,   /* the other services that may have jobs of a queue */
  FB_REQUEST_CLAIM_JOBS = 22,       /* whether jobs may run under another service */
  FB_REQUEST_STORE_STATE = 23,      /* whether the store is available to the receiving daemon */
  FB_REQUEST_CURRENT_JOB_STATE = 24 /* as FB_REQUEST_ACCOUNT_JOB_STATE; that there is no such job is
                                     * answered only from a read that began after the caller's
                                     * request arrived */
};

struct fb_job_state_request {
  string service<FB_WORK_MAX_NAME>;
  string job<FB_WORK_MAX_NAME>;
};

struct fb_account_job_state_request {
  string service<FB_WORK_MAX_NAME>;
  string job<FB_WORK_MAX_NAME>;
  string account<FB_WORK_MAX_ACCOUNT>;
};

/* CONFIG_VERSION: the one in force at the requesting daemon; 0: none. */
struct fb_configuration_request {
  unsigned hyper config_version;
};

/* WAIT_MS: for how long the answer may be delayed while the version is the newest one. */
struct fb_configuration_watch_request {
  unsigned hyper config_version;
  unsigned int wait_ms;
};

/* Amounts of resources. */
struct fb_work_amounts {
  unsigned hyper cpu_milli;
  unsigned hyper mem_mb;
  unsigned hyper gpu_count;
};

/* The part of one account's cap that a pool holds, what it uses, what it needs to start the first
 * step that waits, and what it needs to start the others as well. */
struct fb_account_part {
  string account<FB_WORK_MAX_ACCOUNT>;
  fb_work_amounts held;
  fb_work_amounts taken;
  fb_work_amounts needed;
  fb_work_amounts wanted;
};

/* From the owner of the pool of SERVICE to the owner of the pool of COORDINATOR, which divides the
 * caps of the accounts in ROWS.  The pool of SERVICE uses no more than the parts held until a reply
 * to this request, or to a later one, grants more. */
struct fb_account_parts_request {
  string coordinator<FB_WORK_MAX_NAME>;
  string service<FB_WORK_MAX_NAME>;
  unsigned hyper epoch;    /* of the owner of SERVICE */
  unsigned hyper sequence; /* number of the request under that epoch */
  unsigned hyper coordinator_epoch; /* of the coordinating owner for which ROWS are meant */
  bool complete;           /* SERVICE holds nothing of accounts that are not in ROWS */
  fb_account_part rows<FB_WORK_MAX_ACCOUNT_ROWS>;
};

/* From the owner of the pool of SERVICE to all daemons. */
struct fb_load_notice {
  string service<FB_WORK_MAX_NAME>;
  unsigned hyper epoch;    /* of the owner */
  unsigned hyper sequence; /* number of the notice under that epoch */
  bool overloaded;         /* ask the owner before storing a job */
  unsigned int valid_ms;   /* the notice expires this long after it was received */
};

/* What a forecast needs of a step. */
struct fb_admission_step {
  unsigned int count;
  unsigned int cpu_milli;
  unsigned int mem_mb;
  unsigned int gpu_count;
  unsigned int estimate_ms;
  unsigned int after<FB_WORK_MAX_STEPS>;
};

/* About a job that is not stored yet. */
struct fb_admission_request {
  string service<FB_WORK_MAX_NAME>;
  string job<FB_WORK_MAX_NAME>;
  string account<FB_WORK_MAX_ACCOUNT>; /* "": none */
  string queue<FB_WORK_MAX_NAME>;
  unsigned int priority;
  unsigned hyper epoch;       /* of the notice for which the daemon asks */
  unsigned hyper accepted_ms; /* as in the record that would be stored */
  fb_admission_step steps<FB_WORK_MAX_STEPS>;
};

struct fb_pending_request {
  string service<FB_WORK_MAX_NAME>;
  string queue<FB_WORK_MAX_NAME>;
};

struct fb_job_name {
  string job<FB_WORK_MAX_NAME>;
};

/* From the owner of the pool of CLAIMANT to that of SERVICE, which has had the queue of JOBS
 * before. */
struct fb_claim_request {
  string service<FB_WORK_MAX_NAME>;
  string claimant<FB_WORK_MAX_NAME>;
  fb_job_name jobs<FB_WORK_MAX_CLAIMS>;
};

struct fb_worker_name {
  string id<FB_WORK_MAX_NAME>;
};

struct fb_current_job_state_request {
  fb_account_job_state_request job;
  unsigned hyper age_ms; /* time since the caller's request arrived */
};

struct fb_advice_request {
  string step<FB_WORK_MAX_NAME>;
  fb_worker_name workers<FB_WORK_MAX_TICKETS>;
  unsigned int expected_ms;  /* how long the service takes to decide */
};

struct fb_append_request {
  unsigned int partition;
  opaque records<>;
};

/* The log accepts each SEQUENCE of a writer once, whoever sends it. */
struct fb_progress_append_request {
  unsigned int partition;
  string writer<FB_WORK_MAX_NAME>;
  unsigned hyper epoch;
  unsigned hyper sequence;
  opaque records<>;
};

struct fb_stored_notice {
  unsigned int partition;
  string key<FB_WORK_MAX_NAME>;
  opaque value<>;
};

enum fb_order_kind {
  FB_ORDER_KIND_START = 1,
  FB_ORDER_KIND_STOP = 2,
  FB_ORDER_KIND_POLL = 3
};

/* An order of the owner of a pool that the receiving daemon relays.  Members that a kind does not
 * need are empty or 0. */
struct fb_relay_request {
  fb_order_kind kind;
  string worker<FB_WORK_MAX_NAME>;
  string address<FB_WORK_MAX_NAME>;
  unsigned hyper epoch;
  string task<FB_WORK_MAX_NAME>;
  unsigned int attempt;
  string payload<FB_WORK_MAX_PAYLOAD>; /* "" with a digest: a payload that was sent before */
  opaque payload_digest<FB_WORK_DIGEST_BYTES>; /* of a payload to cache; empty: none */
  string checkpoint<FB_WORK_MAX_CHECKPOINT>;
  string ticket<FB_WORK_MAX_NAME>; /* "": none */
  unsigned hyper deadline_ms;      /* on the worker's clock */
  unsigned hyper acknowledged;
  unsigned int wait_ms;   /* how long a poll waits at the worker */
  unsigned int answer_ms; /* allowance for the worker's answer after that */
};

/* Crash suspects of a job that the owner of its pool could not store yet. An empty list means
 * that they are stored, or that no task is suspected any more. */
struct fb_suspects_backup {
  string job<FB_WORK_MAX_NAME>;
  unsigned hyper epoch; /* epoch of the owner */
  fb_work_suspects suspects;
};

union fb_peer_request switch (fb_peer_request_type type) {
case FB_REQUEST_JOB_STATE: fb_job_state_request job;
case FB_REQUEST_PENDING_COUNT:
case FB_REQUEST_QUEUE_SERVICES: fb_pending_request queue;
case FB_REQUEST_ADVICE: fb_advice_request advice;
case FB_REQUEST_APPEND_JOB_RECORD: fb_append_request append;
case FB_REQUEST_NOTIFY_STORED: fb_stored_notice stored;
case FB_REQUEST_PARTITION_OWNERS: void;
case FB_REQUEST_APPEND_PROGRESS: fb_progress_append_request write;
case FB_REQUEST_RELAY_ORDER:
case FB_REQUEST_RELAY_ORDER_PROGRESS: fb_relay_request order;
case FB_REQUEST_RECENT_STARTS: void;
case FB_REQUEST_BACK_UP_SUSPECTS: fb_suspects_backup backup;
case FB_REQUEST_SUSPECT_BACKUPS: void;
case FB_REQUEST_UNHEARD_STARTS: void;
case FB_REQUEST_ACCOUNT_JOB_STATE: fb_account_job_state_request account_job;
case FB_REQUEST_CONFIGURATION: fb_configuration_request configuration;
case FB_REQUEST_WATCH_CONFIGURATION: fb_configuration_watch_request watch;
case FB_REQUEST_ACCOUNT_PARTS: fb_account_parts_request parts;
case FB_REQUEST_LOAD_NOTICE: fb_load_notice notice;
case FB_REQUEST_ADMISSION: fb_admission_request admission;
case FB_REQUEST_CLAIM_JOBS: fb_claim_request claim;
case FB_REQUEST_STORE_STATE: void;
case FB_REQUEST_CURRENT_JOB_STATE: fb_current_job_state_request current_job;
};

enum fb_peer_reply_type {
  FB_REPLY_UNAVAILABLE = 1,        /* not the owner, or not caught up: retry */
  FB_REPLY_JOB_STATE = 2,
  FB_REPLY_NO_SUCH_JOB = 3,
  FB_REPLY_PENDING_COUNT = 4,
  FB_REPLY_ADVICE = 5,
  FB_REPLY_STORED = 6,
  FB_REPLY_NOT_STORED = 7,         /* certainly not stored */
  FB_REPLY_IN_DOUBT = 8,
  FB_REPLY_PARTITION_OWNERS = 9,
  FB_REPLY_FENCED = 10,            /* a higher epoch writes there */
  FB_REPLY_OUT_OF_SEQUENCE = 11,   /* another sequence number was expected */
  FB_REPLY_ORDER_RESULT = 12,      /* result of an order */
  FB_REPLY_PAYLOAD_MISSING = 13,   /* nothing was done: the named payload is not cached */
  FB_REPLY_RECENT_STARTS = 14,
  FB_REPLY_SUSPECT_BACKUPS = 15,
  FB_REPLY_CONFIGURATION = 16,     /* a newer configuration */
  FB_REPLY_ACCOUNT_GRANTS = 17,
  FB_REPLY_ADMISSION = 18,
  FB_REPLY_ORDER_RESULT_PROGRESS = 19, /* result of an order, with the progress of runs */
  FB_REPLY_CONFIGURATION_UNCHANGED = 20, /* the store has no newer configuration */
  FB_REPLY_QUEUE_SERVICES = 21,    /* also to FB_REQUEST_PENDING_COUNT when there are others */
  FB_REPLY_CLAIMS = 22,
  FB_REPLY_STORE_STATE = 23,
  FB_REPLY_JOBS_NOT_READ = 24      /* the owner reads the jobs now: retry */
};

/* The store by the last calls of a daemon. */
enum fb_store_state {
  FB_STORE_STATE_UNKNOWN = 0, /* no recent call */
  FB_STORE_STATE_UNAVAILABLE = 1,
  FB_STORE_STATE_AVAILABLE = 2
};

struct fb_ticket {
  string worker<FB_WORK_MAX_NAME>;
  string ticket<FB_WORK_MAX_NAME>;
};

struct fb_advice_reply {
  fb_ticket tickets<FB_WORK_MAX_TICKETS>;
  unsigned int validity_ms;
};

struct fb_partition_owner {
  unsigned int partition;
  string address<FB_WORK_MAX_NAME>; /* IP:PORT where the daemon's peers reach it */
};

struct fb_owners_reply {
  fb_partition_owner owners<FB_WORK_MAX_PARTITIONS>;
};

struct fb_reported_run {
  string task<FB_WORK_MAX_NAME>;
  unsigned int attempt;
  string checkpoint<FB_WORK_MAX_CHECKPOINT>;
};

struct fb_reported_end {
  unsigned hyper number;
  string task<FB_WORK_MAX_NAME>;
  unsigned int attempt;
  unsigned int reason; /* FbEndReason */
  string checkpoint<FB_WORK_MAX_CHECKPOINT>;
};

/* Reply to a relayed order; the lists are only used for a poll. */
struct fb_relay_reply {
  unsigned int result;     /* FbOrderResult */
  unsigned hyper clock_ms; /* the worker's clock; 0: not known */
  string incarnation<FB_WORK_MAX_NAME>; /* which answered in place of the addressed one; "": unknown */
  fb_reported_run running<FB_WORK_MAX_REPORTED>;
  fb_reported_end finished<FB_WORK_MAX_REPORTED>;
};

/* PERCENTS: percent done of each run in ORDER.running, in the same order; 255: not reported. */
struct fb_relay_progress_reply {
  fb_relay_reply order;
  opaque percents<FB_WORK_MAX_REPORTED>;
};

/* A start of the last seconds whose run is not known to have ended. */
struct fb_recent_start {
  string worker<FB_WORK_MAX_NAME>;
  string address<FB_WORK_MAX_NAME>; /* IP:PORT of the worker */
  string task<FB_WORK_MAX_NAME>;
  unsigned int attempt;
  bool confirmed; /* the worker has confirmed the run */
};

struct fb_recent_starts_reply {
  fb_recent_start starts<FB_WORK_MAX_STARTS>;
};

struct fb_suspect_backups_reply {
  fb_suspects_backup jobs<FB_WORK_MAX_SUSPECT_BACKUPS>;
};

/* VALUE: the record as the operator wrote it. */
struct fb_configuration_reply {
  unsigned hyper config_version;
  opaque value<>;
};

/* A part of an account's cap that a pool may use.  CAP: the cap that was divided. */
struct fb_account_grant {
  string account<FB_WORK_MAX_ACCOUNT>;
  fb_work_amounts granted;
  fb_work_amounts cap;
};

struct fb_account_grants_reply {
  unsigned hyper epoch; /* of the owner of the coordinating pool */
  bool complete_needed; /* nothing is granted before a complete request for EPOCH */
  fb_account_grant rows<FB_WORK_MAX_ACCOUNT_ROWS>;
};

struct fb_admission_reply {
  bool admitted;               /* store the job */
  bool known;                  /* the owner has a job with this id: it is stored */
  unsigned int retry_after_ms; /* when a refused caller should try again */
  unsigned hyper wait_ms;         /* the job waits at least this long */
  unsigned hyper forecast_end_ms; /* and ends no sooner than this from now */
  unsigned hyper age_ms;          /* time since the caller's first attempt */
};

struct fb_service_name {
  string service<FB_WORK_MAX_NAME>;
};

/* PENDING: number of pending jobs in the pool of the service that was asked.  SERVICES: the others
 * to which the queue has been directed. */
struct fb_queue_services_reply {
  unsigned int pending;
  fb_service_name services<FB_WORK_MAX_SERVICES>;
};

/* REFUSED: the jobs that the service has itself.  It will never run the others that were asked
 * for, and this is stored. */
struct fb_claims_reply {
  fb_job_name refused<FB_WORK_MAX_CLAIMS>;
};

union fb_peer_reply switch (fb_peer_reply_type type) {
case FB_REPLY_JOB_STATE: fb_work_state state;
case FB_REPLY_PENDING_COUNT: unsigned int pending;
case FB_REPLY_ADVICE: fb_advice_reply advice;
case FB_REPLY_PARTITION_OWNERS: fb_owners_reply owners;
case FB_REPLY_ORDER_RESULT: fb_relay_reply order;
case FB_REPLY_RECENT_STARTS: fb_recent_starts_reply starts;
case FB_REPLY_SUSPECT_BACKUPS: fb_suspect_backups_reply backups;
case FB_REPLY_CONFIGURATION: fb_configuration_reply configuration;
case FB_REPLY_ACCOUNT_GRANTS: fb_account_grants_reply grants;
case FB_REPLY_ADMISSION: fb_admission_reply admission;
case FB_REPLY_ORDER_RESULT_PROGRESS: fb_relay_progress_reply progress;
case FB_REPLY_QUEUE_SERVICES: fb_queue_services_reply services;
case FB_REPLY_CLAIMS: fb_claims_reply claims;
case FB_REPLY_STORE_STATE: fb_store_state store_state;
default: void;
};
