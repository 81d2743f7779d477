/* Data of a node, shared by the files that implement it and by no one else. */
#pragma once

#include "internal/member.h"
#include "internal/node.h"
#include "internal/range.h"
#include "internal/router.h"
#include "internal/stream.h"

typedef enum
{
  FB_SHARD_FOREIGN,
  FB_SHARD_READING,  /* reading the stream, to claim behind its end */
  FB_SHARD_CLAIMING, /* the claim is on its way to the log */
  FB_SHARD_OWNED,
  FB_SHARD_DRAINING /* owned, being handed over */
} FbShardRole;

typedef struct
{
  uint32_t id;
  gboolean is_rack;
  uint32_t partner;

  /* What is known of the owner, from heartbeats. */
  uint64_t known_epoch;
  int owner; /* member, or -1 */
  uint64_t owner_incarnation;
  uint64_t announced_ms; /* the owner said so last */

  /* What this daemon has of it. */
  FbShardRole role;
  uint64_t epoch;
  FbStream *stream;
  FbRack *rack;
  FbRange *range;
  gboolean lost; /* to be dropped when no call is under way in it */
  gboolean reading;
  uint64_t read_asked_ms;
  uint64_t read_wanted; /* read on until this offset is behind */
  uint64_t confirm_ms;  /* proof of ownership asked at this time, or 0 */
  uint64_t claim_at_ms; /* not before */
  uint64_t drain_since_ms;
  uint64_t renewed_ms; /* 0: at the next occasion */
  gboolean renew_read; /* the last RENEW read, if any: */
  uint64_t renew_oldest;
  uint64_t renew_history_gap_ms;
  gboolean renew_surveying;
  int handed_to; /* member, or -1 */
  uint64_t handed_epoch;
  GArray *handed_incarnations; /* uint64_t, see fb_handover */
  gboolean handed_here;        /* the owner before gave its word to claim */
} FbShard;

typedef struct
{
  fb_job job; /* owned */
  uint64_t due_ms;
  uint64_t since_ms;
  uint64_t resend_ms;
  uint32_t copies; /* how often it was sent */
  int sent_to;     /* the one member that got all copies, or -1 */
  uint64_t sent_to_incarnation;
  gboolean admitted;
  gboolean until_admitted;
} FbCaller;

typedef struct
{
  uint64_t serial;
  GBytes *revision;
  uint8_t signature[FB_REC_SIGNATURE_BYTES];
  FbPolicy *policy;
  uint64_t written_ms;
  gboolean behind;         /* may have missed records: see node-config.c */
  fb_rec_config candidate; /* owned */
  uint64_t candidate_serial;
} FbConfigState;

typedef struct
{
  uint64_t seq_out;
  uint64_t seq_in;
  uint64_t seq_in_incarnation;
  uint64_t config_serial[FB_PARTNER_N];
  uint64_t peer_clock_ms; /* of its last heartbeat */
  uint64_t heartbeat_ms;  /* when that was heard */
} FbLink;

struct _FbNode
{
  const FbCell *cell;
  guint self_index;
  uint64_t incarnation;
  const FbNodeSink *sink;
  gpointer user;
  FbTimer *timer;
  uint64_t now_ms;
  uint64_t started_ms;
  uint64_t advanced_ms;
  gboolean draining;
  guint depth; /* of entry points, so that flushing is done once at the end */

  FbMembers *members;
  FbLink *links; /* one a member */
  FbRouter *router;
  FbShard *shards;
  guint shard_n;
  FbRange *local;      /* ephemeral work of this daemon's callers */
  FbTeams **teams;     /* one a rack */
  FbHostState **hosts; /* [rack][worker], also of racks owned by others */

  GQueue loopback;      /* GBytes: messages to this daemon itself */
  GQueue local_records; /* GBytes: records of the ephemeral range */

  gboolean log_ok;
  gboolean appending;
  uint64_t append_retry_ms;
  uint64_t record_seq;
  uint64_t log_clock_ms; /* what the log showed, at LOG_CLOCK_AT_MS or before */
  uint64_t log_clock_at_ms;
  GQueue pending; /* FbLogRecord owned; the first IN_FLIGHT are being appended */
  guint in_flight;

  FbConfigState config[FB_PARTNER_N];
  uint64_t config_next; /* offset in the config stream */
  gboolean config_reading;
  uint64_t config_read_at_ms;

  GHashTable *callers; /* &job.id -> FbCaller owned */
};

/* node.c */
void fb_node_enter (FbNode *self, uint64_t now_ms);
void fb_node_leave (FbNode *self);
void fb_node_send (FbNode *self, guint member, const fb_body *body);
/* Returns: FALSE when no owner of SHARD is known; nothing was sent. */
gboolean fb_node_send_to_owner (FbNode *self, uint32_t shard, const fb_body *body);
FbShard *fb_node_shard (FbNode *self, uint32_t shard);
/* Tells the rack of SHARD what the host list says of its workers. */
void fb_node_apply_host_states (FbNode *self, FbShard *shard);

/* node-shards.c: ownership */
void fb_node_shards_tick (FbNode *self);
void fb_node_note_claim (FbNode *self, guint member, const fb_claim_notice *claim);
void fb_node_note_handover (FbNode *self, const fb_handover *handover);
void fb_node_shard_record (FbNode *self, FbShard *shard, GBytes *data,
                           const FbRecordPosition *place);
void fb_node_shard_read_end (FbNode *self, FbShard *shard);
void fb_node_step_down (FbNode *self, FbShard *shard);
void fb_node_reap (FbNode *self);
gboolean fb_shard_is_mine (const FbShard *shard);

/* node-log.c */
void fb_node_append (FbNode *self, uint32_t stream, uint64_t epoch, const fb_rec_body *body);
gboolean fb_node_has_pending (const FbNode *self, uint32_t stream);
void fb_node_drop_pending (FbNode *self, uint32_t stream);
void fb_node_read_shard (FbNode *self, FbShard *shard);
void fb_node_pump_log (FbNode *self);
void fb_node_renew_tick (FbNode *self);

/* node-work.c: sinks of racks and ranges */
extern const FbRackSink fb_node_rack_sink;
extern const FbRangeSink fb_node_range_sink;
void fb_node_work_message (FbNode *self, const char *from, const fb_body *body);
uint32_t fb_node_local_range_id (const FbNode *self);

/* node-config.c */
void fb_node_config_record (FbNode *self, uint64_t offset, GBytes *data, uint64_t age_ms);
void fb_node_config_tick (FbNode *self);
void fb_node_config_clear (FbNode *self);
/* The log has dropped records of the stream before they were read. */
void fb_node_config_gap (FbNode *self);
void fb_node_config_pull (FbNode *self, const char *from, const fb_config_pull *pull);
void fb_node_config_offer (FbNode *self, const fb_config_record *record);
void fb_node_apply_policy (FbNode *self, FbShard *rack);
void fb_node_services_tick (FbNode *self);

/* node-front.c */
void fb_node_front_answer (FbNode *self, const fb_answer *answer);
void fb_node_front_tick (FbNode *self);
void fb_caller_free (gpointer caller);
