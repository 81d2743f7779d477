/* Records of the streams that the system keeps in the platform's log.
 *
 * A shard's stream holds the claims that govern it and, for a range, the
 * records of its jobs.  The stream named "config" holds revisions. */

const FB_REC_MAX_TASKS = 65536;
const FB_REC_MAX_FILES = 64;
const FB_REC_MAX_FILE = 131072;
const FB_REC_SIGNATURE_BYTES = 64;
const FB_REC_VERSION = 1;

/* Takes over a shard.  Valid only when PREVIOUS is the epoch in force at this
 * place of the stream; its own offset then becomes the epoch.  A claimant that
 * found no epoch because the log has dropped it names the offset FIRST at which
 * its reading began.  READ_TO: up to where it had read. */
struct fb_rec_claim {
  unsigned int shard;
  unsigned hyper previous;
  unsigned hyper first;
  unsigned hyper read_to;
  string owner<64>;
  unsigned hyper incarnation;
};

/* One task of a job as far as the log must know it. */
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

/* An owner's sign of life.  READ_TO: its epoch was in force up to this offset.  OLDEST: no job that is still needed has its full
 * record before this offset of the stream.  UNSURE_MS and SURVEYING:
 * what is left of the guards against forgotten jobs. */
struct fb_rec_renew {
  fb_rec_claim claim;
  unsigned hyper read_to;
  unsigned hyper oldest;
  unsigned hyper history_gap_ms;
  unsigned int surveying;
};

/* DUE_LOG_MS is on the clock of the log, which all daemons can read, and no
 * later than the true due time; 0 for none.  The time left in JOB would be too
 * much for a reader when the append was held up. */
struct fb_rec_admit {
  fb_job job;
  unsigned int update; /* of a service that its readers know from before */
  unsigned int doubt;  /* above 0: may have run and been forgotten; attempts
                        * are counted from here, as lower ones may be in use */
  unsigned hyper due_log_ms;
};

struct fb_rec_intent {
  unsigned hyper job;
  fb_rec_task tasks<FB_REC_MAX_TASKS>;
};

struct fb_rec_end {
  unsigned hyper job;
  fb_rec_task tasks<FB_REC_MAX_TASKS>;
  opaque body<FB_MAX_PAYLOAD>;
};

struct fb_rec_cancel {
  unsigned hyper job;
};

/* The whole state of a job, written again before the log drops its records.
 * AGE_MS is the time since admission, for what is left of its deadline. */
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

/* What a partner signs: its files as one revision. */
struct fb_rec_revision {
  unsigned int partner;
  unsigned hyper serial;
  fb_rec_file files<FB_REC_MAX_FILES>;
};

/* RESTATED: written again by a daemon where the revision is in force. */
struct fb_rec_config {
  unsigned int restated;
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

/* WRITER and SEQ let readers drop the doubles of an append whose answer was
 * lost.  EPOCH is that of the writer: a record behind a later claim is void. */
struct fb_record {
  unsigned int format;
  unsigned hyper epoch;
  unsigned hyper writer;
  unsigned hyper seq;
  fb_rec_body body;
};
