/* The protocol between daemons: batches of one-way messages.
 *
 * One procedure carries a batch and its reply only acknowledges receipt.
 * Answers travel as messages of their own, matched by run and attempt, so a
 * lost reply never decides anything.  All times are time left, in ms. */

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

struct fb_place {
  unsigned int rack;
  unsigned hyper rack_epoch;
  fb_spec spec;
};

/* What a rack owner tells a range owner about a run. */
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

/* A range owner's word about a run: acknowledge, withdraw, query or commit. */
struct fb_run_command {
  fb_run run;
  unsigned int rack;
  unsigned hyper rack_epoch;
  unsigned int range;
  unsigned hyper range_epoch;
  unsigned int force;
};

/* All runs of RANGE that a complete rack holds, whatever their state. */
struct fb_survey_reply {
  unsigned int rack;
  unsigned int range;
  fb_run runs<FB_MAX_MEMBERS>;
};

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

/* COPY counts how often the sender has sent this submission. */
struct fb_submit {
  unsigned int copy;
  fb_job job;
};

/* REFUSED_COPY is set when no job came into being: the copy that was refused. */
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

struct fb_job_command {
  unsigned hyper job;
  unsigned int partner;
};

/* A lagging picture of one rack, for routing.  WAITING: the home partner's work
 * by FbWaitClass, since each kind waits for something else. */
struct fb_summary {
  unsigned int rack;
  unsigned hyper epoch;
  fb_res free;
  fb_res largest;
  unsigned int waiting[3];
  unsigned int complete;
};

struct fb_claim_notice {
  unsigned int shard;
  unsigned hyper epoch;
  string owner<FB_MAX_NAME>;
  unsigned hyper incarnation;
};

struct fb_heartbeat {
  unsigned hyper clock_ms;
  unsigned int leaving;
  unsigned hyper config_serial[2];
  fb_summary summaries<FB_MAX_SUMMARIES>;
  fb_claim_notice claims<FB_MAX_SUMMARIES>;
};

/* LIVES: for each worker of a rack the incarnation on which the old owner has
 * proved itself, or 0. */
struct fb_handover {
  unsigned int shard;
  unsigned hyper epoch;
  unsigned hyper incarnations<FB_MAX_SUMMARIES>;
};

/* Asks for the revision of PARTNER behind SERIAL. */
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
  FB_MSG_SURVEY = 15,
  FB_MSG_SURVEY_REPLY = 16
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
case FB_MSG_JOB_QUERY: fb_job_command ask;
case FB_MSG_CANCEL: fb_job_command cancel;
case FB_MSG_HANDOVER: fb_handover handover;
case FB_MSG_CONFIG_PULL: fb_config_pull pull;
case FB_MSG_CONFIG_RECORD: fb_config_record config;
case FB_MSG_SURVEY: fb_run_command survey;
case FB_MSG_SURVEY_REPLY: fb_survey_reply surveyed;
};

/* SEQ orders the messages of one sender incarnation to one receiver; a
 * receiver drops what does not advance it.  TO_INCARNATION 0 means any.
 * ECHO_MS is the receiver's own clock as the sender knows it: the clock of its
 * last heartbeat plus the time since.  The receiver's clock less ECHO_MS is at
 * least the time that the message was under way; 0 when not known. */
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
