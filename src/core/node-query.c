#include "internal/node-query.h"

#include "internal/node-private.h"
#include "internal/rack-query.h"
#include "internal/range-query.h"

#define EXPLAIN_TASKS_MAX 20

gboolean
fb_node_is_drained (const FbNode *self)
{
  for (guint i = 0; i < self->shard_n; i++)
    {
      if (self->shards[i].role != FB_SHARD_NOT_OWNED)
        return FALSE;
    }
  return g_hash_table_size (self->submissions) == 0
         && fb_range_open_count (self->ephemeral_range) == 0;
}

uint64_t
fb_node_config_serial (const FbNode *self, uint32_t partner)
{
  return self->config[partner].serial;
}

const FbPolicy *
fb_node_policy (const FbNode *self, uint32_t partner)
{
  return self->config[partner].policy;
}

GBytes *
fb_node_config_revision (const FbNode *self, uint32_t partner)
{
  return self->config[partner].revision;
}

gboolean
fb_node_log_is_available (const FbNode *self)
{
  return self->log_ok;
}

const FbRack *
fb_node_rack (const FbNode *self, uint32_t rack)
{
  return rack < self->shard_n && fb_shard_is_owned (&self->shards[rack]) ? self->shards[rack].rack
                                                                         : NULL;
}

uint64_t
fb_node_owned_epoch (const FbNode *self, uint32_t shard)
{
  return shard < self->shard_n && fb_shard_is_owned (&self->shards[shard])
             ? self->shards[shard].epoch
             : 0;
}

int
fb_node_owner_of (const FbNode *self, uint32_t shard)
{
  return shard < self->shard_n ? self->shards[shard].owner : -1;
}

const char *
fb_node_member_state (const FbNode *self, guint member)
{
  static const char *const names[] = { "unheard", "alive", "leaving", "suspected" };
  return names[fb_members_state (self->members, member)];
}

uint64_t
fb_node_member_serial (const FbNode *self, guint member, uint32_t partner)
{
  return member == self->self_index ? self->config[partner].serial
                                    : self->links[member].config_serial[partner];
}

typedef struct
{
  const FbNode *node;
  uint64_t job;
  GString *out;
  guint task_n;
} Explain;

static void
explain_task (gpointer user, const FbRangeTaskView *task)
{
  Explain *explain = user;
  if (explain->task_n++ >= EXPLAIN_TASKS_MAX)
    return;
  const FbCell *cell = explain->node->cell;
  g_string_append_printf (explain->out, "task %u attempt %u: %s", task->index, task->attempt,
                          task->state);
  if (task->rack != FB_NO_RACK && task->rack < cell->racks->len)
    g_string_append_printf (explain->out, ", rack %s", fb_cell_rack (cell, task->rack)->name);
  if (task->outcome != FB_OUTCOME_PENDING)
    g_string_append_printf (explain->out, ", %s", fb_outcome_name (task->outcome));
  const FbRack *rack = fb_node_rack (explain->node, task->rack);
  fb_run run = { explain->job, task->index, task->attempt };
  g_autofree char *why = rack != NULL ? fb_rack_explain (rack, explain->node->now_ms, &run) : NULL;
  g_string_append_printf (explain->out, "%s%s\n", why != NULL ? ": " : "", why != NULL ? why : "");
}

char *
fb_node_explain (const FbNode *self, uint64_t job)
{
  Explain explain = { self, job, g_string_new (NULL), 0 };
  gboolean found = fb_range_foreach_task (self->ephemeral_range, job, explain_task, &explain);
  for (guint i = 0; i < self->shard_n && !found; i++)
    {
      if (self->shards[i].range != NULL && fb_shard_is_owned (&self->shards[i]))
        found = fb_range_foreach_task (self->shards[i].range, job, explain_task, &explain);
    }
  if (explain.task_n > EXPLAIN_TASKS_MAX)
    g_string_append_printf (explain.out, "and %u more tasks\n", explain.task_n - EXPLAIN_TASKS_MAX);
  return g_string_free (explain.out, !found);
}
