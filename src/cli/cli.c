#include "cli.h"

#include "cli-private.h"

#include "fb-build-info.h"

#include <sodium.h>
#include <stdio.h>

#define DEFAULT_DAEMON "127.0.0.1:8080"
#define DEFAULT_WAIT_S 20
#define DEFAULT_MARGIN_MS 10

static FbCliOptions options = { .wait_s = DEFAULT_WAIT_S, .margin_ms = DEFAULT_MARGIN_MS };
static char **arguments;
static gboolean show_version;

static const GOptionEntry entries[] = {
  { "daemon", 'd', 0, G_OPTION_ARG_STRING, &options.daemon, "Daemon to connect to", "IP:PORT" },
  { "key", 'k', 0, G_OPTION_ARG_FILENAME, &options.key_path, "Secret key of the partner", "FILE" },
  { "format", 'f', 0, G_OPTION_ARG_STRING, &options.format, "text or json", "FORMAT" },
  { "wait", 'w', 0, G_OPTION_ARG_INT, &options.wait_s, "How long apply waits", "SECONDS" },
  { "margin", 'm', 0, G_OPTION_ARG_INT, &options.margin_ms,
    "How much clocks of two daemons may differ", "MS" },
  { "version", 'V', 0, G_OPTION_ARG_NONE, &show_version, "Print the version and exit", NULL },
  { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &arguments, NULL, NULL },
  { NULL, 0, 0, 0, NULL, NULL, NULL }
};

static void
describe (GString *out, const char *title, const FbCliSubcommand *subcommands)
{
  g_string_append_printf (out, "%s:\n", title);
  for (; subcommands->name != NULL; subcommands++)
    g_string_append_printf (out, "  %-8s %-14s %s\n", subcommands->name, subcommands->args,
                            subcommands->help);
}

static char *
summary (void)
{
  GString *out = g_string_new (NULL);
  describe (out, "Commands", fb_cli_commands);
  describe (out, "Queries", fb_cli_queries);
  return g_string_free (out, FALSE);
}

static const FbCliSubcommand *
find_subcommand (const char *name)
{
  const FbCliSubcommand *const tables[] = { fb_cli_commands, fb_cli_queries };
  for (guint t = 0; t < G_N_ELEMENTS (tables); t++)
    {
      for (const FbCliSubcommand *subcommand = tables[t]; subcommand->name != NULL; subcommand++)
        {
          if (g_str_equal (subcommand->name, name))
            return subcommand;
        }
    }
  return NULL;
}

static FbCliExit
run_subcommand (void)
{
  const FbCliSubcommand *subcommand = arguments != NULL ? find_subcommand (arguments[0]) : NULL;
  if (subcommand == NULL)
    {
      g_autofree char *text = summary ();
      fprintf (stderr, "%s%s%s",
               arguments != NULL ? "unknown command: " : "expected one of these commands.\n",
               arguments != NULL ? arguments[0] : "", arguments != NULL ? "\n" : "");
      fputs (text, stderr);
      return FB_CLI_USAGE;
    }
  guint n = g_strv_length (arguments) - 1;
  if (n < subcommand->min_args || n > subcommand->max_args)
    {
      fprintf (stderr, "expected: flamingobarrow %s %s\n", subcommand->name, subcommand->args);
      return FB_CLI_USAGE;
    }
  return subcommand->func (&options, arguments + 1);
}

int
fb_cli_main (int argc, char **argv)
{
  g_autoptr (GOptionContext) context = g_option_context_new ("COMMAND [ARGUMENT...]");
  g_autofree char *text = summary ();
  g_option_context_set_summary (context, text);
  g_option_context_add_main_entries (context, entries, NULL);
  g_autoptr (GError) error = NULL;
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return FB_CLI_USAGE;
    }
  if (show_version)
    {
      printf ("flamingobarrow %s\nbuild %s\n", fb_build_version (), fb_build_id ());
      return FB_CLI_OK;
    }
  if (options.daemon == NULL)
    options.daemon = g_strdup (DEFAULT_DAEMON);
  if (options.format != NULL && !g_str_equal (options.format, "text")
      && !g_str_equal (options.format, "json"))
    {
      fprintf (stderr, "--format: expected text or json\n");
      return FB_CLI_USAGE;
    }
  if (options.margin_ms < 0)
    {
      fprintf (stderr, "--margin: expected a number of ms, 0 or more\n");
      return FB_CLI_USAGE;
    }
  if (sodium_init () < 0)
    return FB_CLI_FAILED;
  int code = (int) run_subcommand ();
  g_strfreev (arguments);
  return code;
}
