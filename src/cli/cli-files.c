#include "cli-private.h"

#include "fb-status.h"

#include <stdio.h>

void
fb_cli_free_files (fb_rec_file *files, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      g_free (files[i].name);
      g_free (files[i].text.text_val);
    }
  g_free (files);
}

fb_rec_file *
fb_cli_read_files (char **paths, guint *n)
{
  *n = g_strv_length (paths);
  fb_rec_file *files = g_new0 (fb_rec_file, MAX (*n, 1));
  for (guint i = 0; i < *n; i++)
    {
      g_autoptr (GError) error = NULL;
      gsize len = 0;
      files[i].name = g_path_get_basename (paths[i]);
      if (!g_file_get_contents (paths[i], &files[i].text.text_val, &len, &error)
          || len > FB_REC_MAX_FILE)
        {
          fprintf (stderr, "%s\n",
                   error != NULL ? error->message : "a file exceeds the limit of 128 KiB");
          fb_cli_free_files (files, *n);
          return NULL;
        }
      files[i].text.text_len = (u_int) len;
    }
  return files;
}

FbCliExit
fb_cli_check_files (const fb_rec_file *files, guint n)
{
  FbPolicy *policy = NULL;
  if (n > FB_REC_MAX_FILES)
    {
      fprintf (stderr, "expected at most %d files\n", FB_REC_MAX_FILES);
      return FB_CLI_INVALID;
    }
  if (fb_policy_parse (0, files, n, &policy) != FB_POLICY_OK)
    {
      fprintf (stderr, "%s\n", fb_status_message ());
      return FB_CLI_INVALID;
    }
  fb_policy_free (policy);
  return FB_CLI_OK;
}
