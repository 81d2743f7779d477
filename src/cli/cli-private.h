/* Declarations shared by the files of the command-line tool. */
#pragma once

#include "fb-policy.h"

#include <json-glib/json-glib.h>

/* Exit codes; listed in flamingobarrow(1). */
typedef enum
{
  FB_CLI_OK = 0,
  FB_CLI_FAILED = 1, /* the daemon refused the request */
  FB_CLI_USAGE = 2,
  FB_CLI_INVALID = 3, /* a file is invalid */
  FB_CLI_UNREACHABLE = 4,
  FB_CLI_CONFLICT = 5,    /* another revision was published first */
  FB_CLI_LAGGING = 6,     /* accepted, not yet in force everywhere */
  FB_CLI_DIFFERENT = 7,   /* diff found differences */
  FB_CLI_OVERLAP = 8,     /* two runs of a task were at work at once */
  FB_CLI_INSUFFICIENT = 9 /* the logs do not suffice for a verdict */
} FbCliExit;

typedef struct
{
  char *daemon;   /* IP:port */
  char *key_path; /* file with the partner's secret key; NULL if not given */
  char *format;   /* "text" or "json" */
  int wait_s;     /* how long apply waits for the rollout, in s */
  int margin_ms;  /* how much the clocks of two daemons may differ, in ms */
} FbCliOptions;

typedef FbCliExit (*FbCliFunc) (const FbCliOptions *options, char **args);

typedef struct
{
  const char *name;
  const char *args; /* names of the arguments, for the help text */
  const char *help;
  guint min_args; /* number of arguments */
  guint max_args;
  FbCliFunc func;
} FbCliSubcommand;

/* Tables, terminated by an entry whose name is NULL. */
extern const FbCliSubcommand fb_cli_commands[];
extern const FbCliSubcommand fb_cli_queries[];

/* cli-http.c. Sends one request to the daemon. Returns: the HTTP status, 0 when the daemon cannot
 * be reached; *BODY (transfer full) is never NULL. */
guint fb_cli_call (const FbCliOptions *options, const char *method, const char *path,
                   GBytes *request, GBytes **body);
/* Returns: the JSON object at PATH, owned by *PARSER (transfer full); NULL when the daemon did not
 * respond with one. */
JsonObject *fb_cli_get (const FbCliOptions *options, const char *path, JsonParser **parser);
/* Sends a request and prints the response. Returns: FB_CLI_OK for any outcome of a job; after a
 * message on stderr, FB_CLI_FAILED when the daemon refused the request, or FB_CLI_UNREACHABLE. */
FbCliExit fb_cli_call_and_print (const FbCliOptions *options, const char *method, const char *path,
                                 GBytes *request);
FbCliExit fb_cli_unreachable (const FbCliOptions *options);
FbCliExit fb_cli_report_error (guint status, GBytes *body);

/* cli-files.c. Reads the files of a revision from PATHS. Returns: (transfer full): to be freed with
 * fb_cli_free_files(); NULL, after a message on stderr, when a file cannot be read. */
fb_rec_file *fb_cli_read_files (char **paths, guint *n);
void fb_cli_free_files (fb_rec_file *files, guint n);
/* Returns: FB_CLI_OK, or FB_CLI_INVALID after a message on stderr. */
FbCliExit fb_cli_check_files (const fb_rec_file *files, guint n);
gboolean fb_cli_is_json (const FbCliOptions *options);

/* cli-runs.c. The command `runs`. */
FbCliExit fb_cli_runs (const FbCliOptions *options, char **args);
