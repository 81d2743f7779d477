/* Callbacks of racks and ranges, and dispatch of their messages. */
#include "internal/node-private.h"

#include "internal/rack-query.h"
#include "internal/range-query.h"

/* Returns: the id of this daemon's ephemeral range. Ids after those of the shards are the
 * ephemeral ranges of the members. */
uint32_t
fb_node_ephemeral_range_id (const FbNode *self)
{
  return fb_cell_shard_count (self->cell) + self->self_index;
}

/* ---- callbacks of racks ----------------------------------------------- */

static void
rack_sync (gpointer user, FbRack *rack, guint worker, const FbSyncRequest *request)
{
  FbNode *self = user;
  self->callbacks->worker_sync (self->user, fb_rack_id (rack), worker, request);
}

static void
send_to_range (FbNode *self, const fb_report *report)
{
  fb_body body = { .type = FB_MSG_REPORT };
  body.fb_body_u.report = *report;
  if (report->range < self->shard_n)
    {
      (void) fb_node_send_to_owner (self, report->range, &body);
      return;
    }
  guint member = report->range - self->shard_n;
  if (member < fb_members_count (self->members))
    fb_node_send (self, member, &body);
}

static void
rack_report (gpointer user, FbRack *rack, const fb_report *report)
{
  (void) rack;
  send_to_range (user, report);
}

static void
rack_confirm_ownership (gpointer user, FbRack *rack)
{
  FbNode *self = user;
  FbShard *shard = fb_node_shard (self, fb_rack_id (rack));
  shard->confirm_requested_ms = self->now_ms;
  fb_node_read_shard (self, shard);
}

static void
rack_run_list (gpointer user, FbRack *rack, const fb_run_list *run_list)
{
  (void) rack;
  fb_body body = { .type = FB_MSG_RUN_LIST };
  body.fb_body_u.run_list = *run_list;
  (void) fb_node_send_to_owner (user, run_list->range, &body);
}

static void
rack_fenced (gpointer user, FbRack *rack)
{
  FbNode *self = user;
  fb_node_step_down (self, fb_node_shard (self, fb_rack_id (rack)));
}

const FbRackCallbacks fb_node_rack_callbacks
    = { rack_sync, rack_report, rack_confirm_ownership, rack_run_list, rack_fenced };

/* ---- callbacks of ranges ---------------------------------------------- */

static void
range_append (gpointer user, FbRange *range, const fb_rec_body *body)
{
  FbNode *self = user;
  if (range != self->ephemeral_range)
    {
      FbShard *shard = fb_node_shard (self, fb_range_id (range));
      if (fb_shard_is_owned (shard))
        fb_node_append (self, shard->id, shard->epoch, body);
      return;
    }
  fb_record record = { .format = FB_REC_VERSION };
  record.body = *body;
  GBytes *data = fb_codec_encode_record (&record);
  if (data != NULL)
    g_queue_push_tail (&self->ephemeral_records, data);
}

static gboolean
range_send (gpointer user, FbRange *range, uint32_t rack, const fb_body *body)
{
  (void) range;
  return fb_node_send_to_owner (user, rack, body);
}

static gboolean
range_choose (gpointer user, FbRange *range, const FbRouteRequest *request, FbRouteChoice *choice)
{
  (void) range;
  FbNode *self = user;
  return fb_router_choose (self->router, request, choice);
}

static gboolean
range_ever_fits (gpointer user, const fb_spec *spec)
{
  FbNode *self = user;
  return fb_router_ever_fits (self->router, spec);
}

static void
range_refused (gpointer user, uint32_t rack, FbReason reason)
{
  FbNode *self = user;
  fb_router_record_refusal (self->router, self->now_ms, rack, reason);
}

/* Lower bound of the log's clock now: its last reading plus the time since that arrived. */
static uint64_t
range_log_clock_ms (gpointer user)
{
  const FbNode *self = user;
  if (self->log_clock_ms == 0)
    return 0;
  return self->log_clock_ms + (self->now_ms - self->log_clock_at_ms);
}

static uint32_t
range_domain_of (gpointer user, uint32_t rack)
{
  FbNode *self = user;
  return fb_router_rack (self->router, rack)->domain;
}

static void
range_answer (gpointer user, FbRange *range, const char *frontend, const fb_answer *answer)
{
  (void) range;
  FbNode *self = user;
  int member = fb_members_find (self->members, frontend);
  if (member < 0)
    return;
  fb_body body = { .type = FB_MSG_ANSWER };
  body.fb_body_u.answer = *answer;
  fb_node_send (self, (guint) member, &body);
}

const FbRangeCallbacks fb_node_range_callbacks
    = { range_append,  range_send,         range_choose,    range_ever_fits,
        range_refused, range_log_clock_ms, range_domain_of, range_answer };

/* ---- messages --------------------------------------------------------- */

/* A place message is sent once, to one daemon. If that daemon does not own the rack, it can
 * report with certainty that the run will never start. */
static void
refuse_place (FbNode *self, const fb_place *place)
{
  fb_report report = { .run = place->spec.run,
                       .range = place->spec.range,
                       .rack = place->rack,
                       .run_status = FB_RUN_STATUS_REFUSED,
                       .reason = FB_REASON_WRONG_EPOCH,
                       .worker = FB_NO_WORKER };
  send_to_range (self, &report);
}

static FbRack *
owned_rack (FbNode *self, uint32_t rack)
{
  FbShard *shard = fb_node_shard (self, rack);
  return shard != NULL && fb_shard_is_owned (shard) ? shard->rack : NULL;
}

static FbRange *
owned_range (FbNode *self, uint32_t range)
{
  if (range == fb_node_ephemeral_range_id (self))
    return self->ephemeral_range;
  FbShard *shard = fb_node_shard (self, range);
  return shard != NULL && shard->role == FB_SHARD_OWNED && !shard->lost ? shard->range : NULL;
}

static FbRange *
range_of_job (FbNode *self, uint32_t partner, uint64_t job)
{
  if (partner >= FB_PARTNER_N)
    return NULL;
  return owned_range (self, fb_cell_range_of_job (self->cell, partner, job));
}

static void
dispatch_run_command (FbNode *self, fb_msg_type type, const fb_run_command *command)
{
  FbRack *rack = owned_rack (self, command->rack);
  if (rack == NULL)
    return;
  switch (type)
    {
    case FB_MSG_ACK:
      fb_rack_ack (rack, self->now_ms, command);
      break;
    case FB_MSG_WITHDRAW:
      fb_rack_withdraw (rack, self->now_ms, command);
      break;
    case FB_MSG_QUERY:
      fb_rack_query (rack, self->now_ms, command);
      break;
    case FB_MSG_COMMIT:
      fb_rack_commit (rack, self->now_ms, command);
      break;
    case FB_MSG_LIST_RUNS:
      fb_rack_list_runs (rack, self->now_ms, command);
      break;
    default:
      break;
    }
}

static void
dispatch_job_command (FbNode *self, const char *from, const fb_body *body)
{
  const fb_job_command *command = &body->fb_body_u.job_query;
  FbRange *range = range_of_job (self, command->partner, command->job);
  if (range == NULL)
    return;
  if (body->type == FB_MSG_CANCEL)
    fb_range_cancel (range, self->now_ms, command, from);
  else
    fb_range_query_job (range, self->now_ms, command, from);
}

void
fb_node_work_message (FbNode *self, const char *from, const fb_body *body)
{
  switch (body->type)
    {
    case FB_MSG_PLACE:
      {
        const fb_place *place = &body->fb_body_u.place;
        FbRack *rack = owned_rack (self, place->rack);
        if (rack != NULL)
          fb_rack_place (rack, self->now_ms, place);
        else
          refuse_place (self, place);
        break;
      }
    case FB_MSG_REPORT:
      {
        const fb_report *report = &body->fb_body_u.report;
        FbRange *range = owned_range (self, report->range);
        if (range != NULL)
          fb_range_report (range, self->now_ms, report);
        break;
      }
    case FB_MSG_SUBMIT:
      {
        const fb_job *job = &body->fb_body_u.submit.job;
        FbRange *range = range_of_job (self, job->partner, job->id);
        if (range != NULL)
          fb_range_submit (range, self->now_ms, job, body->fb_body_u.submit.copy, from);
        break;
      }
    case FB_MSG_RUN_LIST:
      {
        const fb_run_list *run_list = &body->fb_body_u.run_list;
        FbRange *range = owned_range (self, run_list->range);
        if (range != NULL)
          fb_range_handle_run_list (range, self->now_ms, run_list);
        break;
      }
    case FB_MSG_JOB_QUERY:
    case FB_MSG_CANCEL:
      dispatch_job_command (self, from, body);
      break;
    default:
      dispatch_run_command (self, body->type, &body->fb_body_u.query);
      break;
    }
}
