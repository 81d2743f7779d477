/* Runs one scenario script against fakes of the platform and prints the results.
 *
 * The output is compared with the .expected file next to the script.  A script has one
 * command per line; lines that begin with '#' are comments.  See tests/scripts/README.md. */
#include "world.h"

#include "fb-event.h"
#include "internal/node-query.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static World *world;

static uint64_t
arg_u64 (char **args, guint i, uint64_t default_value)
{
  return i < g_strv_length (args) ? g_ascii_strtoull (args[i], NULL, 10) : default_value;
}

/* Returns: VALUE of the argument "KEY=VALUE", or DEFAULT_VALUE. */
static uint64_t
option (char **args, const char *key, uint64_t default_value)
{
  for (guint i = 1; args[i] != NULL; i++)
    {
      if (g_str_has_prefix (args[i], key) && args[i][strlen (key)] == '=')
        return g_ascii_strtoull (args[i] + strlen (key) + 1, NULL, 10);
    }
  return default_value;
}

static gboolean
has_flag (char **args, const char *name)
{
  return g_strv_contains ((const char *const *) args, name);
}

static void
run_world (char **args)
{
  WorldSize size = { .member_n = (guint) option (args, "daemons", 4),
                     .rack_n = (guint) option (args, "racks", 4),
                     .host_n = (guint) option (args, "hosts", 3),
                     .range_n = (guint) option (args, "ranges", 4),
                     .retention_ms = option (args, "retention", 600000),
                     .seed = (uint32_t) option (args, "seed", 1) };
  size.host_capacity = (fb_res){ { option (args, "cpu", 4) * 1000, 16ull << 30,
                                   option (args, "accel", 0), option (args, "slots", 8) } };
  world = world_new (&size);
}

static FbKind
kind_arg (char **args)
{
  FbKind kind = FB_KIND_BATCH;
  for (guint i = 1; args[i] != NULL; i++)
    (void) fb_kind_parse (args[i], &kind);
  return kind;
}

static void
run_submit (char **args)
{
  WorldJob job = { .id = arg_u64 (args, 1, 1),
                   .partner = (uint32_t) option (args, "partner", 0),
                   .kind = kind_arg (args),
                   .count = (uint32_t) option (args, "tasks", 1),
                   .deadline_ms = option (args, "deadline", 0),
                   .run_ms = option (args, "run", 500) };
  job.flags = (has_flag (args, "at-most-once") ? FB_FLAG_AT_MOST_ONCE : 0)
              | (has_flag (args, "preemptible") ? FB_FLAG_PREEMPTIBLE : 0)
              | (has_flag (args, "ephemeral") ? FB_FLAG_EPHEMERAL : 0);
  job.demand = (fb_res){ { option (args, "cpu", 1) * 1000, 1ull << 30, option (args, "accel", 0),
                           option (args, "slots", 1) } };
  world_submit (world, (guint) option (args, "at", job.partner), &job);
}

static void
run_show (char **args)
{
  uint64_t job = arg_u64 (args, 1, 1);
  printf ("job %" G_GUINT64_FORMAT ": %s, started %u, live %u\n", job,
          fb_outcome_name (world_outcome (world, job)), world_starts (world, job),
          world_live (world, job));
}

static void
run_log (char **args)
{
  world_set_log_state (world, has_flag (args, "down")          ? WORLD_LOG_DOWN
                              : has_flag (args, "lost-answer") ? WORLD_LOG_LOST_ANSWER
                                                               : WORLD_LOG_UP);
}

static void
run_apply (char **args)
{
  static const char *const names[] = { "ok", "malformed", "unsigned", "conflict", "invalid" };
  FbNodeConfigStatus status
      = world_publish_config (world, (guint) option (args, "at", 0),
                              (uint32_t) option (args, "partner", 0), option (args, "serial", 1),
                              (guint) option (args, "count", 1), (guint) option (args, "lend", 0));
  printf ("apply: %s\n", names[status]);
}

static void
run_owners (char **args)
{
  uint32_t shard = (uint32_t) arg_u64 (args, 1, 0);
  guint owners = 0;
  for (guint i = 0; i < option (args, "daemons", 4); i++)
    {
      if (world_is_up (world, i) && fb_node_owned_epoch (world_node (world, i), shard) > 0)
        owners++;
    }
  printf ("shard %u: %u owner%s\n", shard, owners, owners == 1 ? "" : "s");
}

/* Returns: the index of the daemon that owns SHARD, or -1. */
static int
find_shard_owner (uint32_t shard)
{
  for (guint i = 0; i < 4; i++)
    {
      if (world_is_up (world, i) && fb_node_owned_epoch (world_node (world, i), shard) > 0)
        return (int) i;
    }
  return -1;
}

/* Scripts name a daemon by its index or as "owner-of-SHARD", so that they do not depend on the
 * hashing of shards. */
static guint
daemon_index (char **args, guint i)
{
  if (g_str_has_prefix (args[i], "owner-of-"))
    {
      int owner = find_shard_owner ((uint32_t) g_ascii_strtoull (args[i] + 9, NULL, 10));
      return owner >= 0 ? (guint) owner : 0;
    }
  return (guint) g_ascii_strtoull (args[i], NULL, 10);
}

static guint last_node; /* the daemon that "same-daemon" names in a script */

static guint
node_arg (char **args)
{
  if (g_strv_length (args) < 2)
    return 0;
  if (g_str_equal (args[1], "same-daemon"))
    return last_node;
  last_node = daemon_index (args, 1);
  return last_node;
}

static gboolean
is_on (char **args)
{
  return !has_flag (args, "off");
}

static gboolean
run_fault (char **args)
{
  if (g_str_equal (args[0], "kill"))
    world_kill (world, node_arg (args));
  else if (g_str_equal (args[0], "start"))
    world_start (world, node_arg (args));
  else if (g_str_equal (args[0], "pause"))
    world_set_paused (world, node_arg (args), is_on (args));
  else if (g_str_equal (args[0], "drain"))
    world_drain (world, node_arg (args));
  else if (g_str_equal (args[0], "cut"))
    world_set_peers_unreachable (world, node_arg (args), is_on (args));
  else if (g_str_equal (args[0], "cut-workers"))
    world_set_workers_unreachable (world, node_arg (args), is_on (args));
  else if (g_str_equal (args[0], "message-faults"))
    world_set_message_faults (world, (guint) option (args, "loss", 0),
                              (guint) option (args, "duplicate", 0),
                              (guint) option (args, "delay", 0));
  else if (g_str_equal (args[0], "log"))
    run_log (args);
  else if (g_str_equal (args[0], "trim"))
    world_log_trim (world);
  else
    return FALSE;
  return TRUE;
}

static gboolean
run_host_fault (char **args)
{
  guint rack = (guint) arg_u64 (args, 1, 0);
  guint host = (guint) arg_u64 (args, 2, 0);
  if (g_str_equal (args[0], "freeze"))
    world_set_worker_frozen (world, rack, host, is_on (args));
  else if (g_str_equal (args[0], "restart-host"))
    world_restart_worker (world, rack, host);
  else if (g_str_equal (args[0], "fail-all"))
    world_set_runs_fail (world, rack, host, is_on (args));
  else if (g_str_equal (args[0], "usage"))
    world_set_usage (world, rack, host, (guint) option (args, "percent", 100));
  else if (g_str_equal (args[0], "leave"))
    world_set_host_state (world, rack, host,
                          has_flag (args, "gone")  ? FB_HOST_GONE
                          : has_flag (args, "off") ? FB_HOST_LIVE
                                                   : FB_HOST_LEAVING);
  else
    return FALSE;
  return TRUE;
}

static gboolean
run_command (char **args)
{
  if (g_str_equal (args[0], "world"))
    run_world (args);
  else if (g_str_equal (args[0], "run"))
    world_run (world, arg_u64 (args, 1, 1000));
  else if (g_str_equal (args[0], "submit"))
    run_submit (args);
  else if (g_str_equal (args[0], "cancel"))
    world_cancel (world, (guint) option (args, "at", 0), (uint32_t) option (args, "partner", 0),
                  arg_u64 (args, 1, 1));
  else if (g_str_equal (args[0], "show"))
    run_show (args);
  else if (g_str_equal (args[0], "explain"))
    {
      g_autofree char *text = world_explain (world, arg_u64 (args, 1, 1));
      fputs (text, stdout);
    }
  else if (g_str_equal (args[0], "apply"))
    run_apply (args);
  else if (g_str_equal (args[0], "owners"))
    run_owners (args);
  else if (g_str_equal (args[0], "outcomes"))
    printf ("completed %u, failed %u, not run %u, unknown %u\n",
            world_jobs_with (world, FB_OUTCOME_COMPLETED),
            world_jobs_with (world, FB_OUTCOME_FAILED), world_jobs_with (world, FB_OUTCOME_NOT_RUN),
            world_jobs_with (world, FB_OUTCOME_UNKNOWN));
  else if (g_str_equal (args[0], "heal"))
    {
      world_heal (world);
      world_check_final_state (world);
    }
  else
    return run_fault (args) || run_host_fault (args);
  return TRUE;
}

int
main (int argc, char **argv)
{
  char *text = NULL;
  if (argc != 2 || !g_file_get_contents (argv[1], &text, NULL, NULL))
    {
      fprintf (stderr, "usage: test-script FILE\n");
      return 2;
    }
  fb_event_init ("script", g_getenv ("FB_SCRIPT_LOG") == NULL);
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  g_free (text);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      g_strstrip (lines[i]);
      if (lines[i][0] == '\0' || lines[i][0] == '#')
        continue;
      g_auto (GStrv) args = g_strsplit (lines[i], " ", -1);
      if (!run_command (args))
        {
          printf ("line %u: unknown command %s\n", i + 1, args[0]);
          return 1;
        }
      if (world != NULL && world_violation (world) != NULL)
        {
          printf ("line %u: invariant violated: %s\n", i + 1, world_violation (world));
          return 1;
        }
    }
  printf ("all invariants held\n");
  world_free (world);
  return 0;
}
