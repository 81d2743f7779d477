/* Lines of daemons' logs, as read from files. */
#pragma once

#include "fb-event.h"

typedef struct
{
  gint64 time_us; /* time of day of the daemon, in us since 1970 */
  FbEvent event;
  char *stamp;        /* the time as it is written in the line */
  char *daemon;       /* name of the daemon */
  GHashTable *fields; /* values by name */
} FbCliLogLine;

typedef struct
{
  GPtrArray *lines;  /* FbCliLogLine, by time; without duplicates */
  GPtrArray *faults; /* char: what is missing in the files, or is not in order */
} FbCliLog;

/* Reads the lines of processes, pools and workers, and those that are about NAME, a task or a job,
 * from the files PATHS; "-" is standard input.
 *
 * Returns: (transfer full): NULL, after a message on stderr, when a file cannot be read. */
FbCliLog *fb_cli_log_read (char **paths, const char *name);
void fb_cli_log_free (FbCliLog *self);

/* Returns: the value of FIELD, "" when the line does not have it; borrowed. */
const char *fb_cli_log_line_get (const FbCliLogLine *line, const char *field);
guint64 fb_cli_log_line_number (const FbCliLogLine *line, const char *field);
