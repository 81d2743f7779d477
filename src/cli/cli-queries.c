/* Commands that read state. */
#include "cli-private.h"

#include "fb-event.h"

#include <stdio.h>
#include <string.h>

/* ---- check and diff --------------------------------------------------- */

static FbCliExit
check (const FbCliOptions *options, char **args)
{
  (void) options;
  guint n = 0;
  fb_rec_file *files = fb_cli_read_files (args, &n);
  if (files == NULL)
    return FB_CLI_INVALID;
  FbCliExit code = fb_cli_check_files (files, n);
  if (code == FB_CLI_OK)
    printf ("%u file%s: ok\n", n, n == 1 ? "" : "s");
  fb_cli_free_files (files, n);
  return code;
}

/* Prints the LINES that are not in OTHERS. Returns: their number. */
static guint
print_missing (const char *sign, const char *name, char **lines, char **others)
{
  guint n = 0;
  for (guint i = 0; lines[i] != NULL; i++)
    {
      if (lines[i][0] == '\0' || g_strv_contains ((const char *const *) others, lines[i]))
        continue;
      printf ("%s %s: %s\n", sign, name, lines[i]);
      n++;
    }
  return n;
}

static guint
diff_file (const char *name, const char *old_text, const char *new_text)
{
  g_auto (GStrv) old_lines = g_strsplit (old_text, "\n", -1);
  g_auto (GStrv) new_lines = g_strsplit (new_text, "\n", -1);
  return print_missing ("-", name, old_lines, new_lines)
         + print_missing ("+", name, new_lines, old_lines);
}

static const fb_rec_file *
find_file (const fb_rec_file *files, guint n, const char *name)
{
  for (guint i = 0; i < n; i++)
    {
      if (g_str_equal (files[i].name, name))
        return &files[i];
    }
  return NULL;
}

static guint
diff_all (JsonObject *in_force, const fb_rec_file *files, guint n)
{
  guint differences = 0;
  for (guint i = 0; i < n; i++)
    {
      const char *old = json_object_get_string_member_with_default (in_force, files[i].name, "");
      g_autofree char *text = g_strndup (files[i].text.text_val, files[i].text.text_len);
      differences += diff_file (files[i].name, old, text);
    }
  g_autoptr (GList) names = json_object_get_members (in_force);
  for (GList *link = names; link != NULL; link = link->next)
    {
      if (find_file (files, n, link->data) == NULL)
        differences
            += diff_file (link->data, json_object_get_string_member (in_force, link->data), "");
    }
  return differences;
}

static FbCliExit
diff (const FbCliOptions *options, char **args)
{
  guint n = 0;
  fb_rec_file *files = fb_cli_read_files (args, &n);
  if (files == NULL)
    return FB_CLI_INVALID;
  g_autoptr (JsonParser) parser = NULL;
  JsonObject *root = fb_cli_get (options, "/v1/config", &parser);
  FbCliExit code = FB_CLI_OK;
  if (root == NULL)
    code = fb_cli_unreachable (options);
  else
    {
      printf ("against revision %" G_GINT64_FORMAT "\n",
              json_object_get_int_member_with_default (root, "serial", 0));
      if (diff_all (json_object_get_object_member (root, "files"), files, n) > 0)
        code = FB_CLI_DIFFERENT;
    }
  fb_cli_free_files (files, n);
  return code;
}

/* ---- status ----------------------------------------------------------- */

static void
print_members (JsonObject *root)
{
  JsonArray *members = json_object_get_array_member (root, "members");
  printf ("%-14s %s\n", "daemon", "state");
  for (guint i = 0; i < json_array_get_length (members); i++)
    {
      JsonObject *member = json_array_get_object_element (members, i);
      printf ("%-14s %s\n", json_object_get_string_member_with_default (member, "name", "?"),
              json_object_get_string_member_with_default (member, "state", "?"));
    }
}

static void
print_shards (JsonObject *root)
{
  JsonArray *shards = json_object_get_array_member (root, "shards");
  printf ("\n%-6s %-16s %s\n", "shard", "rack", "owner");
  for (guint i = 0; i < json_array_get_length (shards); i++)
    {
      JsonObject *shard = json_array_get_object_element (shards, i);
      printf ("%-6" G_GINT64_FORMAT " %-16s %s\n",
              json_object_get_int_member_with_default (shard, "shard", 0),
              json_object_get_string_member_with_default (shard, "rack", "(range)"),
              json_object_get_string_member_with_default (shard, "owner", "none"));
    }
}

static FbCliExit
print_body (const FbCliOptions *options, const char *path)
{
  return fb_cli_call_and_print (options, "GET", path, NULL);
}

static FbCliExit
status (const FbCliOptions *options, char **args)
{
  (void) args;
  if (fb_cli_is_json (options))
    return print_body (options, "/v1/status");
  g_autoptr (JsonParser) parser = NULL;
  JsonObject *root = fb_cli_get (options, "/v1/status", &parser);
  if (root == NULL)
    return fb_cli_unreachable (options);
  printf ("%s of %s, log %s\n\n", json_object_get_string_member_with_default (root, "name", "?"),
          json_object_get_string_member_with_default (root, "partner", "?"),
          json_object_get_string_member_with_default (root, "log", "?"));
  print_members (root);
  print_shards (root);
  return FB_CLI_OK;
}

/* ---- jobs ------------------------------------------------------------- */

static FbCliExit
job (const FbCliOptions *options, char **args)
{
  g_autofree char *path = g_strdup_printf ("/v1/jobs/%s", args[0]);
  return print_body (options, path);
}

/* A daemon that does not own the job's range replies with the name and address of the owner. */
static FbCliExit
explain (const FbCliOptions *options, char **args)
{
  g_autofree char *path = g_strdup_printf ("/v1/explain/%s", args[0]);
  g_autoptr (GBytes) body = NULL;
  guint status = fb_cli_call (options, "GET", path, NULL, &body);
  if (status == 421)
    {
      gsize len = 0;
      const char *text = g_bytes_get_data (body, &len);
      g_autofree char *line = g_strndup (text, len);
      char *address = strchr (g_strstrip (line), ' ');
      if (address != NULL)
        {
          FbCliOptions other = *options;
          other.daemon = address + 1;
          return print_body (&other, path);
        }
    }
  return print_body (options, path);
}

/* ---- events ----------------------------------------------------------- */

static FbCliExit
events (const FbCliOptions *options, char **args)
{
  (void) options;
  (void) args;
  static const struct
  {
    int number;
    const char *name;
    const char *meaning;
  } all[] = {
#define FB_EVENT(number, symbol, level, meaning) { number, #symbol, meaning },
#include "events.def"
#undef FB_EVENT
  };
  for (guint i = 0; i < G_N_ELEMENTS (all); i++)
    printf ("FB%d %-22s %s\n", all[i].number, all[i].name, all[i].meaning);
  return FB_CLI_OK;
}

static FbCliExit
metrics (const FbCliOptions *options, char **args)
{
  (void) args;
  return print_body (options, "/metrics");
}

const FbCliSubcommand fb_cli_queries[] = {
  { "check", "FILE...", "check files; no daemon is needed", 1, 64, check },
  { "diff", "FILE...", "compare files with what is in force", 1, 64, diff },
  { "status", "", "members, racks and owners as known to one daemon", 0, 0, status },
  { "job", "JOB", "the state or the result of a job", 1, 1, job },
  { "explain", "JOB", "where the tasks of a job run or wait, and why", 1, 1, explain },
  { "runs", "TASK LOG...", "the runs of a task, or of a job's tasks, by logs", 2, 65, fb_cli_runs },
  { "metrics", "", "the counters of one daemon", 0, 0, metrics },
  { "events", "", "the list of log events", 0, 0, events },
  { NULL, NULL, NULL, 0, 0, NULL },
};
