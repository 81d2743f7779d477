#include "cli-private.h"

#include "src/net/json.h"

#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#define TIMEOUT_S 10

guint
fb_cli_call (const FbCliOptions *options, const char *method, const char *path, GBytes *request,
             GBytes **body)
{
  g_autofree char *url = g_strdup_printf ("http://%s%s", options->daemon, path);
  g_autoptr (SoupSession) session = soup_session_new_with_options ("timeout", TIMEOUT_S, NULL);
  g_autoptr (SoupMessage) message = soup_message_new (method, url);
  *body = NULL;
  if (message != NULL)
    {
      if (request != NULL)
        soup_message_set_request_body_from_bytes (message, "application/octet-stream", request);
      *body = soup_session_send_and_read (session, message, NULL, NULL);
    }
  if (*body != NULL)
    return soup_message_get_status (message);
  *body = g_bytes_new_static ("", 0);
  return 0;
}

JsonObject *
fb_cli_get (const FbCliOptions *options, const char *path, JsonParser **parser)
{
  g_autoptr (GBytes) body = NULL;
  guint status = fb_cli_call (options, "GET", path, NULL, &body);
  gsize len = 0;
  const char *text = g_bytes_get_data (body, &len);
  JsonObject *root = NULL;
  *parser = status == SOUP_STATUS_OK ? fb_json_parse (text, len, &root) : NULL;
  return root;
}

FbCliExit
fb_cli_unreachable (const FbCliOptions *options)
{
  fprintf (stderr, "no response from the daemon at %s; try another one with --daemon IP:PORT\n",
           options->daemon);
  return FB_CLI_UNREACHABLE;
}

FbCliExit
fb_cli_report_error (guint status, GBytes *body)
{
  gsize len = 0;
  const char *text = g_bytes_get_data (body, &len);
  fprintf (stderr, "the daemon refused (%u): %.*s\n", status, (int) len, text);
  return FB_CLI_FAILED;
}

FbCliExit
fb_cli_call_and_print (const FbCliOptions *options, const char *method, const char *path,
                       GBytes *request)
{
  g_autoptr (GBytes) body = NULL;
  guint status = fb_cli_call (options, method, path, request, &body);
  if (status == 0)
    return fb_cli_unreachable (options);
  gsize len = 0;
  const char *text = g_bytes_get_data (body, &len);
  g_autofree char *copy = g_strndup (text, len);
  if (status >= 400 && (strstr (copy, "\"error\"") != NULL || copy[0] != '{'))
    return fb_cli_report_error (status, body);
  printf ("%s%s", copy, g_str_has_suffix (copy, "\n") ? "" : "\n");
  return FB_CLI_OK;
}

gboolean
fb_cli_is_json (const FbCliOptions *options)
{
  return g_strcmp0 (options->format, "json") == 0;
}
