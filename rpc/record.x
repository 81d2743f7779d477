/* Records of the streams in the platform's log.
 *
 * A shard's stream contains the claims that determine its owner and, for a range, the
 * records of its jobs. The stream "config" contains revisions. */

const FB_REC_MAX_TASKS = 65536;
const FB_REC_MAX_FILES = 64;
const FB_REC_MAX_FILE = 131072;
const FB_REC_SIGNATURE_BYTES = 64;
const FB_REC_VERSION = 1;

/* Claims a shard. Valid only if PREVIOUS is the epoch in force at this position of the
 * stream; the offset of the claim then becomes the epoch. A claimant that found no epoch
 * because the log has dropped it sets FIRST to the offset at which its reading began,
 * otherwise to 0. READ_TO: the offset up to which it had read. */
struct fb_rec_claim {
  unsigned int shard;
  unsigned hyper previous;
  unsigned hyper first;
  unsigned hyper read_to;
  string owner<64>;
  unsigned hyper incarnation;
};

/* State of one task of a job. */
struct fb_rec_task {
  unsigned int index;
  unsigned int attempt;
  unsigned int rack;
  unsigned hyper rack_epoch;
  unsigned int outcome;
  unsigned int reason;
  unsigned int preempt_count;
  unsigned int started_count;
};

/* Renewal of a claim, which an owner writes periodically. READ_TO: the epoch was in force up to
 * this offset. OLDEST: no job that is still needed has its full record before this offset of the
 * stream. HISTORY_GAP_MS, RECONCILING: for how long jobs from before a loss of records may still be
 * unknown (in ms), and whether the reconciliation with the racks is in progress; both are 0 if no
 * record was lost. */
struct fb_rec_renew {
  fb_rec_claim claim;
  unsigned hyper read_to;
  unsigned hyper oldest;
  unsigned hyper history_gap_ms;
  unsigned int reconciling;
};

/* DUE_LOG_MS: due time on the clock of the log, which all daemons can read, and not later than
 * the true due time; 0 for none. The remaining time in JOB would be too long for a reader if the
 * append was delayed. FIRST_ATTEMPT_AFTER_GAP: if above 0, records of earlier runs of the job
 * may be lost; attempts are numbered from this value, as lower numbers may be in use. */
struct fb_rec_admit {
  fb_job job;
  unsigned int update; /* changes a service that readers already know */
  unsigned int first_attempt_after_gap;
  unsigned hyper due_log_ms;
};

/* The attempts that are about to be sent to racks. */
struct fb_rec_intent {
  unsigned hyper job;
  fb_rec_task tasks<FB_REC_MAX_TASKS>;
};

/* Final outcomes of tasks. BODY: output of the last task, or empty. */
struct fb_rec_end {
  unsigned hyper job;
  fb_rec_task tasks<FB_REC_MAX_TASKS>;
  opaque body<FB_MAX_PAYLOAD>;
};

struct fb_rec_cancel {
  unsigned hyper job;
};

/* The full state of a job, written again before the log drops its records. AGE_MS: time
 * since admission, from which the rest of its deadline follows. */
struct fb_rec_state {
  fb_rec_admit admit;
  unsigned hyper age_ms;
  unsigned int cancelled;
  fb_rec_task tasks<FB_REC_MAX_TASKS>;
  opaque body<FB_MAX_PAYLOAD>;
};

struct fb_rec_file {
  string name<64>;
  opaque text<FB_REC_MAX_FILE>;
};

/* The data that a partner signs: its files as one revision. */
struct fb_rec_revision {
  unsigned int partner;
  unsigned hyper serial;
  fb_rec_file files<FB_REC_MAX_FILES>;
};

/* REWRITTEN: written again by a daemon where the revision is in force, not published by an
 * operator. */
struct fb_rec_config {
  unsigned int rewritten;
  opaque revision<FB_MAX_CONFIG>;
  opaque signature[FB_REC_SIGNATURE_BYTES];
};

enum fb_rec_type {
  FB_REC_CLAIM = 1,
  FB_REC_ADMIT = 2,
  FB_REC_INTENT = 3,
  FB_REC_END = 4,
  FB_REC_CANCEL = 5,
  FB_REC_STATE = 6,
  FB_REC_CONFIG = 7,
  FB_REC_RENEW = 8
};

union fb_rec_body switch (fb_rec_type type) {
case FB_REC_CLAIM: fb_rec_claim claim;
case FB_REC_ADMIT: fb_rec_admit admit;
case FB_REC_INTENT: fb_rec_intent intent;
case FB_REC_END: fb_rec_end end;
case FB_REC_CANCEL: fb_rec_cancel cancel;
case FB_REC_STATE: fb_rec_state state;
case FB_REC_CONFIG: fb_rec_config config;
case FB_REC_RENEW: fb_rec_renew renew;
};

/* WRITER and SEQ let readers drop the duplicates of an append that was repeated because
 * its answer was lost. EPOCH: the writer's epoch; a record after a later claim is
 * superseded. */
struct fb_record {
  unsigned int format;
  unsigned hyper epoch;
  unsigned hyper writer;
  unsigned hyper seq;
  fb_rec_body body;
};
