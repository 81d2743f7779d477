/* Data structures of a node, private to the files that implement it. */
#pragma once

#include "internal/member.h"
#include "internal/node.h"
#include "internal/range.h"
#include "internal/router.h"
#include "internal/stream.h"

typedef enum
{
  FB_SHARD_NOT_OWNED, /* not owned by this daemon */
  FB_SHARD_READING,   /* reading the stream to its end before claiming */
  FB_SHARD_CLAIMING,  /* the claim is being appended to the log */
  FB_SHARD_OWNED,
  FB_SHARD_DRAINING /* owned; being handed over to another daemon */
} FbShardRole;

typedef struct
{
  uint32_t id;
  gboolean is_rack;
  uint32_t partner;

  /* The owner as known from heartbeats. */
  uint64_t known_epoch; /* highest epoch known of an owner; 0 if none */
  int owner;            /* index of a member, or -1 */
  uint64_t owner_incarnation;
  uint64_t announced_ms; /* when the owner last announced the shard */

  /* The shard as held by this daemon. */
  FbShardRole role;
  uint64_t epoch;                /* if OWNED or DRAINING: of this daemon */
  FbStream *stream;              /* NULL unless reading or owned */
  FbRack *rack;                  /* of an owned rack, else NULL */
  FbRange *range;                /* of a range that is read or owned, else NULL */
  gboolean lost;                 /* ownership has ended, see fb_node_free_lost_shards() */
  gboolean reading;              /* a read of the stream is not answered yet */
  uint64_t read_requested_ms;    /* when the last read was requested */
  uint64_t read_until;           /* read until the next offset is at least this one */
  uint64_t confirm_requested_ms; /* when the rack asked to confirm the ownership, or 0 */
  uint64_t claim_at_ms;          /* earliest time of the next claim */
  uint64_t drain_since_ms;       /* if DRAINING */
  uint64_t renewed_ms; /* when the last RENEW was appended; 0: append one at the next tick */
  gboolean renew_read; /* a RENEW was read; the next three members are those of fb_rec_renew */
  uint64_t renew_oldest;
  uint64_t renew_history_gap_ms;
  gboolean renew_reconciling;
  int successor;                    /* member to which the shard was handed over, or -1 */
  uint64_t handover_epoch;          /* epoch at which it was handed over */
  GArray *handed_over_incarnations; /* uint64_t for each worker, see fb_handover; or NULL */
  gboolean handover_received;       /* the previous owner has handed the shard to this daemon */
} FbShard;

typedef struct
{
  fb_job job;            /* owned */
  uint64_t due_ms;       /* FB_NO_DEADLINE_MS if none */
  uint64_t submitted_ms; /* when the caller submitted the job */
  uint64_t resend_ms;    /* when the submission or query is sent again */
  uint32_t copies;       /* how often the submission was sent */
  int sent_to;           /* index of the member that got all copies, or -1 */
  uint64_t sent_to_incarnation;
  gboolean admitted;       /* the owner of the range has answered that the job is admitted */
  gboolean until_admitted; /* see fb_node_submit() */
} FbSubmission;

/* Configuration of one partner. */
typedef struct
{
  uint64_t serial;  /* of the revision in force; 0 if none */
  GBytes *revision; /* encoded revision in force; NULL if none */
  uint8_t signature[FB_REC_SIGNATURE_BYTES];
  FbPolicy *policy;
  uint64_t written_ms;     /* when the revision was last seen in the log */
  gboolean behind;         /* records may have been missed: see node-config.c */
  fb_rec_config candidate; /* owned; empty if none */
  uint64_t candidate_serial;
} FbConfigState;

/* Connection state of one peer. */
typedef struct
{
  uint64_t seq_out;                     /* number of the last message sent */
  uint64_t seq_in;                      /* number of the last message accepted */
  uint64_t seq_in_incarnation;          /* and its sender's incarnation */
  uint64_t config_serial[FB_PARTNER_N]; /* revisions in force at the peer */
  uint64_t peer_clock_ms;               /* the peer's clock in its last heartbeat */
  uint64_t heartbeat_ms;                /* when that heartbeat arrived; 0 if none */
} FbLink;

struct _FbNode
{
  const FbCell *cell;
  guint self_index;
  uint64_t incarnation;
  const FbNodeCallbacks *callbacks;
  gpointer user;
  FbTimer *timer;
  uint64_t now_ms;
  uint64_t started_ms;
  uint64_t advanced_ms; /* when fb_node_advance() was called last */
  gboolean draining;    /* fb_node_drain() was called: claims no shards and hands its own over */
  guint depth;          /* nesting depth of entry points; the outermost one flushes at its end */

  FbMembers *members;
  FbLink *links; /* one for each member */
  FbRouter *router;
  FbShard *shards;
  guint shard_n;
  FbRange *ephemeral_range; /* the ephemeral jobs of this daemon's callers */
  FbTeams **teams;          /* one for each rack */
  FbHostState **hosts;      /* [rack][worker], including racks owned by other daemons */

  GQueue loopback;          /* GBytes owned: encoded messages to this daemon itself */
  GQueue ephemeral_records; /* GBytes owned: encoded records of the ephemeral range */

  gboolean log_ok;          /* the last append succeeded */
  gboolean appending;       /* an append is not answered yet */
  uint64_t append_retry_ms; /* no append before this time */
  uint64_t record_seq;      /* number of the last record of this writer */
  uint64_t log_clock_ms;    /* the log's clock at LOG_CLOCK_AT_MS or earlier; 0 if not known */
  uint64_t log_clock_at_ms;
  GQueue pending; /* FbLogRecord owned, to be appended; the first IN_FLIGHT are being appended */
  guint in_flight;

  FbConfigState config[FB_PARTNER_N];
  uint64_t config_next;       /* next offset to read in the config stream */
  gboolean config_reading;    /* a read of it is not answered yet */
  uint64_t config_read_at_ms; /* when it is read next */

  GHashTable *submissions; /* &job.id -> FbSubmission owned */
};

/* node.c */
void fb_node_enter (FbNode *self, uint64_t now_ms);
void fb_node_leave (FbNode *self);
void fb_node_send (FbNode *self, guint member, const fb_body *body);
/* Returns: FALSE if no owner of SHARD is known; nothing was sent then. */
gboolean fb_node_send_to_owner (FbNode *self, uint32_t shard, const fb_body *body);
FbShard *fb_node_shard (FbNode *self, uint32_t shard);
/* Passes the states of the hosts to the rack of SHARD. */
void fb_node_apply_host_states (FbNode *self, FbShard *shard);

/* node-shards.c: ownership */
void fb_node_shards_tick (FbNode *self);
void fb_node_handle_claim (FbNode *self, guint member, const fb_claim_notice *claim);
void fb_node_handle_handover (FbNode *self, const fb_handover *handover);
void fb_node_shard_record (FbNode *self, FbShard *shard, GBytes *data,
                           const FbRecordPosition *position);
void fb_node_shard_read_end (FbNode *self, FbShard *shard);
void fb_node_step_down (FbNode *self, FbShard *shard);
void fb_node_free_lost_shards (FbNode *self);
gboolean fb_shard_is_owned (const FbShard *shard);

/* node-log.c */
void fb_node_append (FbNode *self, uint32_t stream, uint64_t epoch, const fb_rec_body *body);
gboolean fb_node_has_pending (const FbNode *self, uint32_t stream);
void fb_node_drop_pending (FbNode *self, uint32_t stream);
void fb_node_read_shard (FbNode *self, FbShard *shard);
void fb_node_flush_log (FbNode *self);
void fb_node_renew_tick (FbNode *self);

/* node-work.c: callbacks of racks and ranges */
extern const FbRackCallbacks fb_node_rack_callbacks;
extern const FbRangeCallbacks fb_node_range_callbacks;
void fb_node_work_message (FbNode *self, const char *from, const fb_body *body);
uint32_t fb_node_ephemeral_range_id (const FbNode *self);

/* node-config.c */
void fb_node_config_record (FbNode *self, uint64_t offset, GBytes *data, uint64_t age_ms);
void fb_node_config_tick (FbNode *self);
void fb_node_config_clear (FbNode *self);
/* To be called when the log has dropped records of the config stream before they were read. */
void fb_node_config_gap (FbNode *self);
void fb_node_config_pull (FbNode *self, const char *from, const fb_config_pull *pull);
void fb_node_config_receive (FbNode *self, const fb_config_record *record);
void fb_node_apply_policy (FbNode *self, FbShard *rack);
void fb_node_services_tick (FbNode *self);

/* node-frontend.c */
void fb_node_frontend_answer (FbNode *self, const fb_answer *answer);
void fb_node_frontend_tick (FbNode *self);
void fb_submission_free (gpointer submission);
