/* The protocol between daemons: batches of one-way messages.
 *
 * One procedure carries a batch; its reply only acknowledges receipt. Answers are separate
 * messages, matched by run and attempt, so the loss of a reply never affects a decision. Times that refer to a deadline are sent as the remaining time in ms. */

const FB_MAX_PAYLOAD = 65536;
const FB_MAX_NAME = 64;
const FB_MAX_KEY = 128;
const FB_MAX_SUMMARIES = 1024;
const FB_MAX_MEMBERS = 4096;
const FB_MAX_BATCH = 1048576;
const FB_MAX_CONFIG = 262144;
const FB_MAC_BYTES = 32;

/* One attempt at one task of one job. */
struct fb_run {
  unsigned hyper job;
  unsigned int index;
  unsigned int attempt;
};

/* Amounts indexed by FbResource. */
struct fb_res {
  unsigned hyper amount[4];
};

/* One attempt as a rack gets it. REMAINING_MS: remaining time to the latest start, all
 * ones for none. WAITED_MS: time since the job arrived. RUN_MS: expected run time. */
struct fb_spec {
  fb_run run;
  unsigned int range;
  unsigned hyper range_epoch;
  unsigned int partner;
  unsigned int team;
  unsigned int kind;
  unsigned int flags;
  unsigned int preempt_count;
  fb_res demand;
  unsigned hyper remaining_ms;
  unsigned hyper waited_ms;
  unsigned hyper run_ms;
  opaque payload<FB_MAX_PAYLOAD>;
};

/* Order to run an attempt on RACK, valid for the owner at RACK_EPOCH only. */
struct fb_place {
  unsigned int rack;
  unsigned hyper rack_epoch;
  fb_spec spec;
};

/* Status of a run, from a rack owner to a range owner. RUN_STATUS is an FbRunStatus, REASON an
 * FbReason, WORKER an index or all ones for none. */
struct fb_report {
  fb_run run;
  unsigned int range;
  unsigned int rack;
  unsigned hyper rack_epoch;
  unsigned int run_status;
  unsigned int reason;
  unsigned int worker;
  opaque answer<FB_MAX_PAYLOAD>;
};

/* Message of a range owner about a run: acknowledge, withdraw, query or commit; or, with RUN
 * unused, a request for all runs of the range. FORCE: a withdrawal that also stops a started
 * run. */
struct fb_run_command {
  fb_run run;
  unsigned int rack;
  unsigned hyper rack_epoch;
  unsigned int range;
  unsigned hyper range_epoch;
  unsigned int force;
};

/* All runs of RANGE that RACK has, in any state, except ends that are acknowledged. */
struct fb_run_list {
  unsigned int rack;
  unsigned int range;
  fb_run runs<FB_MAX_MEMBERS>;
};

/* A job as submitted. KEY: its idempotency key, empty for none. */
struct fb_job {
  unsigned hyper id;
  unsigned int partner;
  unsigned int team;
  unsigned int kind;
  unsigned int flags;
  unsigned int count;
  fb_res demand;
  unsigned hyper remaining_ms;
  unsigned hyper run_ms;
  string key<FB_MAX_KEY>;
  opaque payload<FB_MAX_PAYLOAD>;
};

/* COPY: number of this copy of the submission, counted by its sender from 1. */
struct fb_submit {
  unsigned int copy;
  fb_job job;
};

/* State of a job, from the owner of its range to the daemon that serves its caller. OUTCOME is an
 * FbOutcome, PENDING until the job has ended; REASON is an FbReason. BODY: output of the last task
 * that had one. REFUSED_COPY: number of the copy that was refused, if no job was admitted;
 * otherwise 0. WAIT_MS: time from arrival to the first start, or until now if no task has
 * started. */
struct fb_answer {
  unsigned int refused_copy;
  unsigned hyper job;
  unsigned int outcome;
  unsigned int reason;
  unsigned int task_count;
  unsigned int done_count;
  unsigned int running_count;
  unsigned hyper wait_ms;
  opaque body<FB_MAX_PAYLOAD>;
};

/* Query or cancellation of a job. */
struct fb_job_command {
  unsigned hyper job;
  unsigned int partner;
};

/* State of one rack for routing, which lags behind. FREE: total free capacity. LARGEST:
 * for each resource the largest free amount on one worker. WAITING: number of queued
 * tasks of the home partner, indexed by FbWaitClass. COMPLETE: all workers have replied to
 * this owner. */
struct fb_summary {
  unsigned int rack;
  unsigned hyper epoch;
  fb_res free;
  fb_res largest;
  unsigned int waiting[3];
  unsigned int complete;
};

/* Announces in a heartbeat that OWNER owns SHARD. */
struct fb_claim_notice {
  unsigned int shard;
  unsigned hyper epoch;
  string owner<FB_MAX_NAME>;
  unsigned hyper incarnation;
};

/* CLOCK_MS: the sender's monotonic clock. CONFIG_SERIAL: serial of each partner's
 * revision in force at the sender. */
struct fb_heartbeat {
  unsigned hyper clock_ms;
  unsigned int leaving;
  unsigned hyper config_serial[2];
  fb_summary summaries<FB_MAX_SUMMARIES>;
  fb_claim_notice claims<FB_MAX_SUMMARIES>;
};

/* Hands SHARD over to the receiver. INCARNATIONS: for each worker of a rack, the incarnation for
 * which the old owner has confirmed its ownership, or 0. */
struct fb_handover {
  unsigned int shard;
  unsigned hyper epoch;
  unsigned hyper incarnations<FB_MAX_SUMMARIES>;
};

/* Requests the revision of PARTNER if its serial is above SERIAL. */
struct fb_config_pull {
  unsigned int partner;
  unsigned hyper serial;
};

struct fb_config_record {
  unsigned int partner;
  opaque revision<FB_MAX_CONFIG>;
  opaque signature[64];
};

enum fb_msg_type {
  FB_MSG_HEARTBEAT = 1,
  FB_MSG_PLACE = 2,
  FB_MSG_REPORT = 3,
  FB_MSG_ACK = 4,
  FB_MSG_WITHDRAW = 5,
  FB_MSG_QUERY = 6,
  FB_MSG_COMMIT = 7,
  FB_MSG_SUBMIT = 8,
  FB_MSG_ANSWER = 9,
  FB_MSG_JOB_QUERY = 10,
  FB_MSG_CANCEL = 11,
  FB_MSG_HANDOVER = 12,
  FB_MSG_CONFIG_PULL = 13,
  FB_MSG_CONFIG_RECORD = 14,
  FB_MSG_LIST_RUNS = 15,
  FB_MSG_RUN_LIST = 16
};

union fb_body switch (fb_msg_type type) {
case FB_MSG_HEARTBEAT: fb_heartbeat heartbeat;
case FB_MSG_PLACE: fb_place place;
case FB_MSG_REPORT: fb_report report;
case FB_MSG_ACK: fb_run_command ack;
case FB_MSG_WITHDRAW: fb_run_command withdraw;
case FB_MSG_QUERY: fb_run_command query;
case FB_MSG_COMMIT: fb_run_command commit;
case FB_MSG_SUBMIT: fb_submit submit;
case FB_MSG_ANSWER: fb_answer answer;
case FB_MSG_JOB_QUERY: fb_job_command job_query;
case FB_MSG_CANCEL: fb_job_command cancel;
case FB_MSG_HANDOVER: fb_handover handover;
case FB_MSG_CONFIG_PULL: fb_config_pull pull;
case FB_MSG_CONFIG_RECORD: fb_config_record config;
case FB_MSG_LIST_RUNS: fb_run_command list_runs;
case FB_MSG_RUN_LIST: fb_run_list run_list;
};

/* SEQ numbers the messages of one sender incarnation to one receiver; a receiver drops a
 * message whose number is not above the last one. TO_INCARNATION 0 means any.
 *
 * ECHO_MS is a lower bound of the receiver's own clock when the message was sent: the
 * clock in its last heartbeat plus the time since that arrived; 0 if not known. The
 * receiver's clock on arrival minus ECHO_MS is therefore an upper bound of the transit
 * time. */
struct fb_msg {
  string from<FB_MAX_NAME>;
  unsigned hyper from_incarnation;
  unsigned hyper to_incarnation;
  unsigned hyper seq;
  unsigned hyper echo_ms;
  fb_body body;
};

struct fb_batch {
  opaque mac[FB_MAC_BYTES];
  opaque messages<FB_MAX_BATCH>;
};

enum fb_receipt {
  FB_RECEIPT_OK = 0,
  FB_RECEIPT_BAD_KEY = 1,
  FB_RECEIPT_MALFORMED = 2,
  FB_RECEIPT_BUSY = 3
};

program FB_PEER_PROGRAM {
  version FB_PEER_VERSION {
    fb_receipt FB_PEER_DELIVER(fb_batch) = 1;
  } = 1;
} = 0x20424242;
