/* Revisions of the partners' configuration.
 *
 * A revision consists of all files of one partner and a serial number, signed with the partner's
 * key. The first revision in the log that has the next serial number takes effect; if two
 * operators publish at the same time, the second one gets a conflict error. A daemon never
 * returns to a lower serial number, whatever it reads later. After a restart it reads the stream
 * again; if the log is unavailable then, it requests the signed revision from a peer.
 *
 * Heartbeats carry the serial numbers in force, which costs 16 bytes per heartbeat. A daemon
 * that has an older revision requests the new one. */
#include "internal/node-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "fb-status.h"
#include "internal/place.h"
#include "internal/rack-query.h"
#include "internal/range-query.h"

#include <string.h>

#define CONFIG_READ_MS 3000
#define CANDIDATE_WAIT_MS 10000

/* ---- application -------------------------------------------------------- */

static void
add_teams (const FbNode *self, FbTeams *teams, const FbCellRack *rack, uint32_t partner)
{
  const FbPolicy *policy = self->config[partner].policy;
  for (guint i = 0; i < policy->teams->len; i++)
    {
      const FbPolicyTeam *declared = g_ptr_array_index (policy->teams, i);
      FbTeam team = { partner, fb_team_id (declared->name), declared->weight, { { 0 } } };
      if (partner == rack->partner)
        team.quota_slice = fb_cell_quota_slice (self->cell, rack, &declared->quota);
      fb_teams_set (teams, &team);
    }
}

void
fb_node_apply_policy (FbNode *self, FbShard *shard)
{
  const FbCellRack *info = fb_cell_rack (self->cell, shard->id);
  FbTeams *teams = fb_teams_new ();
  for (guint p = 0; p < FB_PARTNER_N; p++)
    add_teams (self, teams, info, p);
  const FbPolicy *home = self->config[info->partner].policy;
  FbRackPolicy policy = { .lend_milli = home->lend_milli,
                          .place = fb_place_by_name (home->placement),
                          .queue_max = FB_RACK_QUEUE_MAX,
                          .teams = teams };
  fb_rack_set_policy (shard->rack, &policy);
  g_clear_pointer (&self->teams[shard->id], fb_teams_free);
  self->teams[shard->id] = teams;
}

static void
activate_revision (FbNode *self, const fb_rec_revision *revision, FbPolicy *policy,
                   const void *bytes, gsize len, const void *signature)
{
  FbConfigState *state = &self->config[revision->partner];
  fb_policy_free (state->policy);
  g_clear_pointer (&state->revision, g_bytes_unref);
  state->policy = policy;
  state->serial = revision->serial;
  state->revision = g_bytes_new (bytes, len);
  state->written_ms = self->now_ms;
  memcpy (state->signature, signature, sizeof state->signature);
  fb_counter_add (FB_COUNTER_CONFIG_REVISIONS, 1);
  fb_event_log (FB_EVENT_CONFIG_IN_FORCE, "partner=%s serial=%" G_GUINT64_FORMAT,
                self->cell->partners[revision->partner].name, revision->serial);
  for (guint i = 0; i < self->cell->racks->len; i++)
    {
      if (self->shards[i].rack != NULL && !self->shards[i].lost)
        {
          fb_node_apply_policy (self, &self->shards[i]);
          fb_node_apply_host_states (self, &self->shards[i]);
        }
    }
  self->callbacks->config_changed (self->user, revision->partner, revision->serial);
}

/* ---- checking --------------------------------------------------------- */

static FbNodeConfigStatus
check_revision (FbNode *self, const fb_rec_revision *revision, const void *bytes, gsize len,
                const void *signature)
{
  if (revision->partner >= FB_PARTNER_N)
    return FB_NODE_CONFIG_MALFORMED;
  if (!fb_policy_verify (self->cell->partners[revision->partner].public_key, bytes, len, signature))
    {
      fb_status_set_message ("the revision is not signed with the key of partner %s",
                             self->cell->partners[revision->partner].name);
      return FB_NODE_CONFIG_UNSIGNED;
    }
  const FbConfigState *state = &self->config[revision->partner];
  if (revision->serial <= state->serial)
    {
      fb_status_set_message ("revision %" G_GUINT64_FORMAT " of partner %s is in force already; "
                             "look at it with diff and apply on top of it",
                             state->serial, self->cell->partners[revision->partner].name);
      return FB_NODE_CONFIG_CONFLICT;
    }
  return FB_NODE_CONFIG_OK;
}

static FbNodeConfigStatus
apply_revision (FbNode *self, const void *bytes, gsize len, const void *signature)
{
  fb_rec_revision revision;
  if (!fb_codec_decode_revision (bytes, len, &revision))
    return FB_NODE_CONFIG_MALFORMED;
  FbPolicy *policy = NULL;
  FbNodeConfigStatus status = check_revision (self, &revision, bytes, len, signature);
  if (status == FB_NODE_CONFIG_OK
      && fb_policy_parse (revision.partner, revision.files.files_val, revision.files.files_len,
                          &policy)
             != FB_POLICY_OK)
    status = FB_NODE_CONFIG_INVALID;
  if (status == FB_NODE_CONFIG_OK)
    activate_revision (self, &revision, policy, bytes, len, signature);
  else if (status == FB_NODE_CONFIG_CONFLICT
           && revision.serial == self->config[revision.partner].serial)
    self->config[revision.partner].written_ms = self->now_ms;
  fb_codec_clear_revision (&revision);
  return status;
}

static void
log_ignored_revision (FbNodeConfigStatus status, const char *source)
{
  /* Peers and rewrites often deliver the revision that is already in force; this is not logged. */
  if (status == FB_NODE_CONFIG_OK || status == FB_NODE_CONFIG_CONFLICT)
    return;
  fb_counter_add (FB_COUNTER_CONFIG_REJECTED, 1);
  fb_event_log (FB_EVENT_CONFIG_IGNORED, "source=%s reason=%s", source,
                status == FB_NODE_CONFIG_MALFORMED ? "malformed" : fb_status_message ());
}

/* ---- candidates -------------------------------------------------------- */

/* After records were missed, a revision read from the log may be the wrong one: of two revisions
 * that were published at the same time, the log may have dropped the one that took effect and
 * still have the other. A daemon that has missed records therefore applies a revision only if it
 * is marked as rewritten by a daemon where it is in force, or comes from a peer. This lasts
 * until the daemon has caught up, that is, until all daemons are alive and none has a higher
 * serial number in force. If the log then has a revision that none of them has in force, the
 * first one with the highest serial number is applied. */

static void
clear_candidate (FbConfigState *state)
{
  g_free (state->candidate.revision.revision_val);
  memset (&state->candidate, 0, sizeof state->candidate);
  state->candidate_serial = 0;
}

void
fb_node_config_gap (FbNode *self)
{
  for (guint p = 0; p < FB_PARTNER_N; p++)
    self->config[p].behind = TRUE;
}

/* Stores CONFIG as the candidate if it is valid and has a higher serial number than the present
 * candidate. The signature is verified here, not only when the revision is applied, because a
 * record that the partner has not signed must not replace a candidate. Returns: TRUE if the
 * state of the partner is behind, so that the record must not be applied now. */
static gboolean
keep_candidate_if_behind (FbNode *self, const fb_rec_config *config)
{
  const char *bytes = config->revision.revision_val;
  gsize len = config->revision.revision_len;
  fb_rec_revision revision;
  if (!fb_codec_decode_revision (bytes, len, &revision))
    return FALSE;
  FbConfigState *state = revision.partner < FB_PARTNER_N ? &self->config[revision.partner] : NULL;
  gboolean behind = state != NULL && state->behind;
  if (behind)
    {
      FbNodeConfigStatus status = check_revision (self, &revision, bytes, len, config->signature);
      log_ignored_revision (status, "log");
      if (status == FB_NODE_CONFIG_OK && revision.serial > state->candidate_serial)
        {
          clear_candidate (state);
          state->candidate = *config;
          state->candidate.revision.revision_val = g_memdup2 (bytes, len);
          state->candidate_serial = revision.serial;
        }
    }
  fb_codec_clear_revision (&revision);
  return behind;
}

/* Returns: TRUE if all daemons are alive and none has a revision of PARTNER with SERIAL or above
 * in force. An unreachable daemon may have one in force, and its configuration would then differ
 * from that of the others permanently. */
static gboolean
no_member_has (const FbNode *self, uint32_t partner, uint64_t serial)
{
  guint alive = 1;
  for (guint m = 0; m < fb_members_count (self->members); m++)
    {
      if (m == self->self_index || fb_members_state (self->members, m) != FB_MEMBER_ALIVE)
        continue;
      if (self->links[m].config_serial[partner] >= serial)
        return FALSE;
      alive++;
    }
  return alive == fb_members_count (self->members);
}

static void
catch_up (FbNode *self)
{
  for (guint p = 0; p < FB_PARTNER_N; p++)
    {
      FbConfigState *state = &self->config[p];
      if (!state->behind || self->now_ms - self->started_ms < CANDIDATE_WAIT_MS
          || !no_member_has (self, p, state->serial + 1))
        continue;
      state->behind = FALSE;
      if (state->candidate.revision.revision_len == 0)
        continue;
      log_ignored_revision (apply_revision (self, state->candidate.revision.revision_val,
                                            state->candidate.revision.revision_len,
                                            state->candidate.signature),
                            "candidate");
      clear_candidate (state);
    }
}

void
fb_node_config_clear (FbNode *self)
{
  for (guint p = 0; p < FB_PARTNER_N; p++)
    {
      clear_candidate (&self->config[p]);
      fb_policy_free (self->config[p].policy);
      g_clear_pointer (&self->config[p].revision, g_bytes_unref);
    }
}

/* ---- sources ---------------------------------------------------------- */

void
fb_node_config_record (FbNode *self, uint64_t offset, GBytes *data, uint64_t age_ms)
{
  self->config_next = offset + 1;
  (void) age_ms;
  fb_record record;
  gsize len = 0;
  const void *bytes = g_bytes_get_data (data, &len);
  if (!fb_codec_decode_record (bytes, len, &record))
    {
      log_ignored_revision (FB_NODE_CONFIG_MALFORMED, "log");
      return;
    }
  const fb_rec_config *config = &record.body.fb_rec_body_u.config;
  gboolean is_candidate = record.body.type == FB_REC_CONFIG && !config->rewritten
                          && keep_candidate_if_behind (self, config);
  if (record.body.type == FB_REC_CONFIG && !is_candidate)
    log_ignored_revision (apply_revision (self, config->revision.revision_val,
                                          config->revision.revision_len, config->signature),
                          "log");
  fb_codec_clear_record (&record);
}

FbNodeConfigStatus
fb_node_publish (FbNode *self, uint64_t now_ms, const fb_rec_config *config)
{
  fb_rec_revision revision;
  if (!fb_codec_decode_revision (config->revision.revision_val, config->revision.revision_len,
                                 &revision))
    {
      fb_status_set_message ("the revision is malformed");
      return FB_NODE_CONFIG_MALFORMED;
    }
  fb_node_enter (self, now_ms);
  FbPolicy *policy = NULL;
  FbNodeConfigStatus status = check_revision (self, &revision, config->revision.revision_val,
                                              config->revision.revision_len, config->signature);
  if (status == FB_NODE_CONFIG_OK
      && fb_policy_parse (revision.partner, revision.files.files_val, revision.files.files_len,
                          &policy)
             != FB_POLICY_OK)
    {
      fb_status_prefix_message ("revision %" G_GUINT64_FORMAT, revision.serial);
      status = FB_NODE_CONFIG_INVALID;
    }
  if (status == FB_NODE_CONFIG_OK && revision.serial != self->config[revision.partner].serial + 1)
    {
      fb_status_set_message ("expected serial %" G_GUINT64_FORMAT ", got %" G_GUINT64_FORMAT,
                             self->config[revision.partner].serial + 1, revision.serial);
      status = FB_NODE_CONFIG_CONFLICT;
    }
  if (status == FB_NODE_CONFIG_OK)
    {
      fb_rec_body body = { .type = FB_REC_CONFIG };
      body.fb_rec_body_u.config = *config;
      fb_node_append (self, FB_STREAM_CONFIG, 0, &body);
    }
  g_clear_pointer (&policy, fb_policy_free);
  fb_codec_clear_revision (&revision);
  fb_node_leave (self);
  return status;
}

void
fb_node_config_pull (FbNode *self, const char *from, const fb_config_pull *pull)
{
  if (pull->partner >= FB_PARTNER_N || self->config[pull->partner].serial <= pull->serial)
    return;
  const FbConfigState *state = &self->config[pull->partner];
  gsize len = 0;
  const void *bytes = g_bytes_get_data (state->revision, &len);
  fb_body body = { .type = FB_MSG_CONFIG_RECORD };
  fb_config_record *record = &body.fb_body_u.config;
  record->partner = pull->partner;
  record->revision.revision_len = (u_int) len;
  record->revision.revision_val = (char *) bytes;
  memcpy (record->signature, state->signature, sizeof record->signature);
  int member = fb_members_find (self->members, from);
  if (member >= 0)
    fb_node_send (self, (guint) member, &body);
}

void
fb_node_config_receive (FbNode *self, const fb_config_record *record)
{
  log_ignored_revision (apply_revision (self, record->revision.revision_val,
                                        record->revision.revision_len, record->signature),
                        "peer");
}

static void
pull_from_peers (FbNode *self, uint32_t partner)
{
  for (guint m = 0; m < fb_members_count (self->members); m++)
    {
      if (self->links[m].config_serial[partner] <= self->config[partner].serial
          || fb_members_state (self->members, m) == FB_MEMBER_SUSPECTED)
        continue;
      fb_body body = { .type = FB_MSG_CONFIG_PULL };
      body.fb_body_u.pull = (fb_config_pull){ partner, self->config[partner].serial };
      fb_node_send (self, m, &body);
      return;
    }
}

static void
rewrite_before_dropped (FbNode *self, uint32_t partner)
{
  FbConfigState *state = &self->config[partner];
  const uint64_t age_max_ms = self->cell->retention_ms / 3;
  int writer
      = fb_members_preferred_owner (self->members, self->shard_n + partner, partner, G_MAXUINT);
  if (state->serial == 0 || age_max_ms == 0 || writer != (int) self->self_index
      || self->now_ms - state->written_ms < age_max_ms)
    return;
  state->written_ms = self->now_ms;
  gsize len = 0;
  const void *bytes = g_bytes_get_data (state->revision, &len);
  fb_rec_body body = { .type = FB_REC_CONFIG };
  body.fb_rec_body_u.config.rewritten = TRUE;
  body.fb_rec_body_u.config.revision.revision_len = (u_int) len;
  body.fb_rec_body_u.config.revision.revision_val = (char *) bytes;
  memcpy (body.fb_rec_body_u.config.signature, state->signature, sizeof state->signature);
  fb_node_append (self, FB_STREAM_CONFIG, 0, &body);
}

void
fb_node_config_tick (FbNode *self)
{
  for (guint p = 0; p < FB_PARTNER_N; p++)
    {
      pull_from_peers (self, p);
      rewrite_before_dropped (self, p);
    }
  catch_up (self);
  if (self->config_reading || self->now_ms < self->config_read_at_ms)
    return;
  self->config_reading = TRUE;
  self->config_read_at_ms = self->now_ms + CONFIG_READ_MS;
  self->callbacks->log_read (self->user, FB_STREAM_CONFIG, self->config_next);
}

/* ---- services ----------------------------------------------------------- */

static uint64_t
service_job_id (uint32_t partner, const char *name)
{
  g_autofree char *text = g_strdup_printf ("service/%u/%s", partner, name);
  return fb_hash64 (text, 0);
}

static void
submit_services (FbNode *self, FbShard *shard)
{
  const FbPolicy *policy = self->config[shard->partner].policy;
  g_autoptr (GHashTable) declared = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_autofree uint64_t *ids = g_new0 (uint64_t, policy->services->len + 1);
  for (guint i = 0; i < policy->services->len; i++)
    {
      const FbPolicyService *service = g_ptr_array_index (policy->services, i);
      ids[i] = service_job_id (shard->partner, service->name);
      if (service->count == 0
          || fb_cell_range_of_job (self->cell, shard->partner, ids[i]) != shard->id)
        continue;
      g_hash_table_add (declared, &ids[i]);
      fb_job job = { .id = ids[i],
                     .partner = shard->partner,
                     .team = fb_team_id (service->team),
                     .kind = FB_KIND_SERVICE,
                     .count = service->count,
                     .demand = service->demand,
                     .remaining_ms = FB_NO_DEADLINE_MS,
                     .key = service->name };
      fb_range_submit (shard->range, self->now_ms, &job, 0, "");
    }
  fb_range_cancel_undeclared_services (shard->range, self->now_ms, declared);
}

/* Skips partners of which this daemon has no revision yet, for example right after its start.
 * Otherwise all their services would be cancelled as no longer declared. */
void
fb_node_services_tick (FbNode *self)
{
  for (guint i = 0; i < self->shard_n; i++)
    {
      FbShard *shard = &self->shards[i];
      if (shard->range != NULL && shard->role == FB_SHARD_OWNED && !shard->lost
          && self->config[shard->partner].serial > 0)
        submit_services (self, shard);
    }
}
