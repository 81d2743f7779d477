/* Commands that change state. */
#include "cli-private.h"

#include "fb-settings.h"
#include "internal/codec.h"

#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#define POLL_US (200 * 1000)

/* ---- keygen ----------------------------------------------------------- */

static FbCliExit
generate_keys (const FbCliOptions *options, char **args)
{
  (void) options;
  uint8_t public_key[FB_SIGN_PUBLIC_BYTES];
  uint8_t secret_key[FB_SIGN_SECRET_BYTES];
  fb_policy_make_keys (public_key, secret_key);
  g_autofree char *secret = fb_settings_format_hex (secret_key, sizeof secret_key);
  g_autofree char *public = fb_settings_format_hex (public_key, sizeof public_key);
  g_autoptr (GError) error = NULL;
  if (!g_file_set_contents_full (args[0], secret, -1, G_FILE_SET_CONTENTS_CONSISTENT, 0600, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return FB_CLI_FAILED;
    }
  printf ("public-key=%s\n", public);
  return FB_CLI_OK;
}

/* ---- apply ------------------------------------------------------------ */

static gboolean
read_key (const FbCliOptions *options, uint8_t *secret)
{
  g_autofree char *text = NULL;
  if (options->key_path == NULL)
    fprintf (stderr, "expected --key FILE, made by flamingobarrow keygen\n");
  else if (!g_file_get_contents (options->key_path, &text, NULL, NULL))
    fprintf (stderr, "%s: cannot be read\n", options->key_path);
  else if (!fb_settings_parse_hex (g_strstrip (text), secret, FB_SIGN_SECRET_BYTES))
    fprintf (stderr, "%s: expected 128 hexadecimal digits\n", options->key_path);
  else
    return TRUE;
  return FALSE;
}

static GBytes *
signed_revision (const fb_rec_revision *revision, const uint8_t *secret)
{
  GBytes *bytes = fb_codec_encode_revision (revision);
  if (bytes == NULL)
    return NULL;
  gsize len = 0;
  const void *data = g_bytes_get_data (bytes, &len);
  fb_record record = { .format = FB_REC_VERSION };
  record.body.type = FB_REC_CONFIG;
  fb_rec_config *config = &record.body.fb_rec_body_u.config;
  config->revision.revision_len = (u_int) len;
  config->revision.revision_val = (char *) data;
  fb_policy_sign (secret, data, len, config->signature);
  GBytes *encoded = fb_codec_encode_record (&record);
  g_bytes_unref (bytes);
  return encoded;
}

typedef struct
{
  guint lagging_n; /* live members that do not have the revision yet */
  guint alive_n;
  GString *lagging_names;
} RolloutState;

/* Counts the live members, and those that do not have revision SERIAL of PARTNER yet. */
static gboolean
read_rollout (const FbCliOptions *options, const char *partner, gint64 serial,
              RolloutState *rollout)
{
  g_autoptr (JsonParser) parser = NULL;
  JsonObject *root = fb_cli_get (options, "/v1/status", &parser);
  if (root == NULL)
    return FALSE;
  JsonArray *members = json_object_get_array_member (root, "members");
  rollout->lagging_n = 0;
  rollout->alive_n = 0;
  g_string_truncate (rollout->lagging_names, 0);
  for (guint i = 0; i < json_array_get_length (members); i++)
    {
      JsonObject *member = json_array_get_object_element (members, i);
      const char *state = json_object_get_string_member_with_default (member, "state", "");
      if (!g_str_equal (state, "alive"))
        continue;
      rollout->alive_n++;
      if (json_object_get_int_member_with_default (member, partner, 0) >= serial)
        continue;
      rollout->lagging_n++;
      g_string_append_printf (rollout->lagging_names, " %s",
                              json_object_get_string_member_with_default (member, "name", "?"));
    }
  return TRUE;
}

static FbCliExit
wait_for_rollout (const FbCliOptions *options, const char *partner, gint64 serial)
{
  RolloutState rollout = { 0, 0, g_string_new (NULL) };
  gint64 until_us = g_get_monotonic_time () + (gint64) options->wait_s * 1000000;
  FbCliExit code = FB_CLI_LAGGING;
  while (code == FB_CLI_LAGGING && g_get_monotonic_time () < until_us)
    {
      if (read_rollout (options, partner, serial, &rollout) && rollout.lagging_n == 0
          && rollout.alive_n > 0)
        code = FB_CLI_OK;
      else
        g_usleep (POLL_US);
    }
  if (code == FB_CLI_OK)
    printf ("revision %" G_GINT64_FORMAT " of %s is in force on all %u daemons\n", serial, partner,
            rollout.alive_n);
  else
    fprintf (stderr, "revision %" G_GINT64_FORMAT " is accepted, but not yet in force on:%s\n",
             serial, rollout.lagging_names->str);
  g_string_free (rollout.lagging_names, TRUE);
  return code;
}

/* Returns: TRUE when the files in force are FILES, or when the daemon does not return them. */
static gboolean
is_in_force (const FbCliOptions *options, const fb_rec_file *files, guint n)
{
  g_autoptr (JsonParser) parser = NULL;
  JsonObject *root = fb_cli_get (options, "/v1/config", &parser);
  if (root == NULL)
    return TRUE;
  JsonObject *in_force = json_object_get_object_member (root, "files");
  if (json_object_get_size (in_force) != n)
    return FALSE;
  for (guint i = 0; i < n; i++)
    {
      const char *text = json_object_get_string_member_with_default (in_force, files[i].name, NULL);
      if (text == NULL || strlen (text) != files[i].text.text_len
          || memcmp (text, files[i].text.text_val, files[i].text.text_len) != 0)
        return FALSE;
    }
  return TRUE;
}

/* Publishes FILES as the revision that follows BASE, the configuration that they were derived from;
 * NULL: that follows the current revision. The daemon rejects them when another revision already
 * follows BASE. */
static FbCliExit
publish (const FbCliOptions *options, JsonObject *base, const fb_rec_file *files, guint n)
{
  uint8_t secret[FB_SIGN_SECRET_BYTES];
  if (!read_key (options, secret))
    return FB_CLI_USAGE;
  g_autoptr (JsonParser) parser = NULL;
  g_autoptr (JsonParser) status_parser = NULL;
  if (base == NULL)
    base = fb_cli_get (options, "/v1/config", &parser);
  JsonObject *status_root = fb_cli_get (options, "/v1/status", &status_parser);
  if (base == NULL || status_root == NULL)
    return fb_cli_unreachable (options);
  g_autofree char *partner
      = g_strdup (json_object_get_string_member_with_default (status_root, "partner", ""));
  gint64 serial = json_object_get_int_member_with_default (base, "serial", 0) + 1;
  fb_rec_revision revision = { .serial = (uint64_t) serial };
  revision.partner
      = (uint32_t) json_object_get_int_member_with_default (status_root, "partner_index", 0);
  revision.files.files_len = n;
  revision.files.files_val = (fb_rec_file *) files;
  g_autoptr (GBytes) request = signed_revision (&revision, secret);
  if (request == NULL)
    {
      fprintf (stderr, "the files exceed the limit of %d bytes in total\n", FB_MAX_CONFIG);
      return FB_CLI_INVALID;
    }
  g_autoptr (GBytes) body = NULL;
  guint status = fb_cli_call (options, "POST", "/v1/config", request, &body);
  if (status == 0)
    return fb_cli_unreachable (options);
  if (status == 409)
    {
      fb_cli_report_error (status, body);
      return FB_CLI_CONFLICT;
    }
  if (status != 202)
    return fb_cli_report_error (status, body);
  FbCliExit code = wait_for_rollout (options, partner, serial);
  if (code == FB_CLI_OK && !is_in_force (options, files, n))
    {
      fprintf (stderr,
               "conflict: another operator's revision %" G_GINT64_FORMAT
               " was published first; compare it with diff, then apply again\n",
               serial);
      return FB_CLI_CONFLICT;
    }
  return code;
}

/* Takes ownership of FILES. */
static FbCliExit
check_and_publish (const FbCliOptions *options, JsonObject *base, fb_rec_file *files, guint n)
{
  FbCliExit code = fb_cli_check_files (files, n);
  if (code == FB_CLI_OK)
    code = publish (options, base, files, n);
  fb_cli_free_files (files, n);
  return code;
}

static FbCliExit
apply (const FbCliOptions *options, char **args)
{
  guint n = 0;
  fb_rec_file *files = fb_cli_read_files (args, &n);
  if (files == NULL)
    return FB_CLI_INVALID;
  return check_and_publish (options, NULL, files, n);
}

/* ---- drain ------------------------------------------------------------ */

#define DRAIN_FILE "drain.ini"

/* Returns: (transfer full): TEXT without the drain group of HOST; with it, at the end, when
 * DRAINED. */
static char *
drain_text (const char *text, const char *host, gboolean drained)
{
  g_autofree char *group = g_strdup_printf ("[drain %s]", host);
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  GString *out = g_string_new (NULL);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      if (lines[i][0] != '\0' && !g_str_equal (g_strstrip (lines[i]), group))
        g_string_append_printf (out, "%s\n", lines[i]);
    }
  if (drained)
    g_string_append_printf (out, "%s\n", group);
  return g_string_free (out, FALSE);
}

/* Returns: (transfer full): the files in force, with DRAIN_FILE changed. */
static fb_rec_file *
files_with_drain (JsonObject *in_force, const char *host, gboolean drained, guint *n)
{
  g_autoptr (GList) names = json_object_get_members (in_force);
  fb_rec_file *files = g_new0 (fb_rec_file, g_list_length (names) + 1);
  const char *old = json_object_get_string_member_with_default (in_force, DRAIN_FILE, "");
  *n = 0;
  files[(*n)++] = (fb_rec_file){ .name = g_strdup (DRAIN_FILE) };
  files[0].text.text_val = drain_text (old, host, drained);
  for (GList *link = names; link != NULL; link = link->next)
    {
      if (g_str_equal (link->data, DRAIN_FILE))
        continue;
      fb_rec_file *file = &files[(*n)++];
      file->name = g_strdup (link->data);
      file->text.text_val = g_strdup (json_object_get_string_member (in_force, link->data));
    }
  for (guint i = 0; i < *n; i++)
    files[i].text.text_len = (u_int) strlen (files[i].text.text_val);
  return files;
}

static FbCliExit
drain (const FbCliOptions *options, char **args)
{
  gboolean off = args[1] != NULL && g_str_equal (args[1], "off");
  if (args[1] != NULL && !off)
    {
      fprintf (stderr, "expected: flamingobarrow drain HOST [off]\n");
      return FB_CLI_USAGE;
    }
  g_autoptr (JsonParser) parser = NULL;
  JsonObject *root = fb_cli_get (options, "/v1/config", &parser);
  if (root == NULL)
    return fb_cli_unreachable (options);
  guint n = 0;
  fb_rec_file *files
      = files_with_drain (json_object_get_object_member (root, "files"), args[0], !off, &n);
  return check_and_publish (options, root, files, n);
}

/* ---- cancel ----------------------------------------------------------- */

static FbCliExit
cancel (const FbCliOptions *options, char **args)
{
  g_autofree char *path = g_strdup_printf ("/v1/jobs/%s", args[0]);
  return fb_cli_call_and_print (options, "DELETE", path, NULL);
}

/* ---- submit ----------------------------------------------------------- */

static FbCliExit
submit (const FbCliOptions *options, char **args)
{
  g_autofree char *path
      = g_strdup_printf ("/v1/jobs?class=%s&tasks=%s", args[0], args[1] != NULL ? args[1] : "1");
  g_autoptr (GBytes) empty = g_bytes_new_static ("", 0);
  return fb_cli_call_and_print (options, "POST", path, empty);
}

const FbCliSubcommand fb_cli_commands[] = {
  { "keygen", "FILE", "make a partner's key pair; FILE gets the secret", 1, 1, generate_keys },
  { "apply", "FILE...", "put the partner's files in force as one revision", 1, 64, apply },
  { "drain", "HOST [off]", "stop placing work on one of the partner's hosts", 1, 2, drain },
  { "submit", "CLASS [TASKS]", "submit a job", 1, 2, submit },
  { "cancel", "JOB", "cancel a job", 1, 1, cancel },
  { NULL, NULL, NULL, 0, 0, NULL },
};
