#include "cli-log.h"

#include <stdio.h>
#include <string.h>

/* Threads of a daemon may write their lines in another order than they took the time. */
#define MAX_DISORDER_US 1000

/* The events that are read, and the fields that their lines must have. */
static const struct
{
  FbEvent event;
  const char *fields;
} read_events[] = {
  { FB_EVENT_PROCESS_STARTED, "version build" },
  { FB_EVENT_LINES_DROPPED, "n" },
  { FB_EVENT_DAEMONS_READ, "members" },
  { FB_EVENT_JOB_ACCEPTED, "job" },
  { FB_EVENT_JOB_TAKEN, "job restored service epoch" },
  { FB_EVENT_JOB_OVER, "job state" },
  { FB_EVENT_TASK_PLACED, "task attempt worker heard_ms_ago epoch why" },
  { FB_EVENT_TASK_STOPPING, "task attempt worker epoch" },
  { FB_EVENT_TASK_REFUSED, "task attempt worker reason epoch" },
  { FB_EVENT_TASK_ENDED, "task attempt worker how known number" },
  { FB_EVENT_TASK_PREEMPTED, "task attempt worker for" },
  { FB_EVENT_TASK_COPIED, "task attempt worker ran_ms" },
  { FB_EVENT_TASK_MOVED, "task attempt worker" },
  { FB_EVENT_TASK_STUCK, "task attempt worker" },
  { FB_EVENT_TASK_LOST, "task attempt worker why epoch" },
  { FB_EVENT_RUN_ADOPTED, "task attempt worker epoch" },
  { FB_EVENT_RUN_ABSENT, "task attempt worker state clock_ms seen_clock_ms proof epoch" },
  { FB_EVENT_RUN_OUTLIVES_STOP,
    "task attempt worker stops ordered_ms_ago accepted_clock_ms needed epoch" },
  { FB_EVENT_ORDER_NOT_DONE, "task attempt worker kind epoch copies result" },
  { FB_EVENT_START_MAY_COME, "task attempt worker life" },
  { FB_EVENT_START_WITHDRAWN, "task attempt worker why" },
  { FB_EVENT_POOL_WORKER_HEARD, "worker epoch" },
  { FB_EVENT_POOL_WORKER_LOST, "worker why heard_ms_ago epoch answered lease_left_ms proof" },
  { FB_EVENT_POOL_LOSS_REFUTED,
    "task attempt worker lost report bound short_ms lost_ms_ago epoch" },
  { FB_EVENT_POOL_TAKEN, "partition epoch" },
  { FB_EVENT_POOL_MAJORITY, "service epoch listed answered recorded recorded_answered" },
  { FB_EVENT_POOL_SETTLED, "service epoch" },
  { FB_EVENT_POOL_LOST, "partition epoch confirmed_ms_ago why" },
};

/* What is known of a daemon from all files. */
typedef struct
{
  gint64 first_us;
  gint64 started_us; /* the first PROCESS_STARTED; G_MAXINT64 if there is none */
} Daemon;

/* The file that is being read. */
typedef struct
{
  const char *name;
  const char *wanted; /* the task or job whose lines are read */
  guint64 line_n;
  guint64 cut_n;
  guint64 first_cut;
  guint64 late_n;
  guint64 first_late;
  GHashTable *last_us; /* gint64 by daemon */
} File;

typedef struct
{
  FbCliLog *log;
  GHashTable *known; /* texts of the lines that were read */
  GHashTable *daemons;
  GHashTable *builds; /* GPtrArray of names of daemons, by version and build */
  guint64 members_n;  /* the most daemons that one of them has read of */
} Reader;

/* ---- lines --------------------------------------------------------------------- */

const char *
fb_cli_log_line_get (const FbCliLogLine *line, const char *field)
{
  const char *value = g_hash_table_lookup (line->fields, field);
  return value != NULL ? value : "";
}

guint64
fb_cli_log_line_number (const FbCliLogLine *line, const char *field)
{
  return g_ascii_strtoull (fb_cli_log_line_get (line, field), NULL, 10);
}

static void
line_free (gpointer data)
{
  FbCliLogLine *line = data;
  g_free (line->stamp);
  g_free (line->daemon);
  g_clear_pointer (&line->fields, g_hash_table_unref);
  g_free (line);
}

/* Splits TEXT at its first space. Returns: the part after it, NULL if there is no space. */
static char *
split_word (char *text)
{
  char *space = strchr (text, ' ');
  if (space == NULL)
    return NULL;
  *space = '\0';
  return space + 1;
}

/* Splits TEXT, `name=value name="quoted value" ...`, into FIELDS. Words without a name are left
 * out.
 *
 * Returns: FALSE when a quoted value has no end. */
static gboolean
parse_fields (char *text, GHashTable *fields)
{
  while (text != NULL && *text != '\0')
    {
      char *equals = text + strcspn (text, "= ");
      gboolean quoted = equals[0] == '=' && equals[1] == '"';
      char *end = quoted ? strchr (equals + 2, '"') : equals + strcspn (equals, " ");
      if (end == NULL)
        return FALSE;
      char *next = end + (quoted ? 1 : 0);
      next = *next != '\0' ? next + 1 : NULL;
      *end = '\0';
      if (*equals == '=')
        {
          *equals = '\0';
          g_hash_table_replace (fields, g_strdup (text), g_strdup (equals + (quoted ? 2 : 1)));
        }
      text = next;
    }
  return TRUE;
}

static gboolean
parse_event (const char *word, const char *name, FbEvent *event)
{
  guint64 number = 0;
  if (!g_str_has_prefix (word, "FB")
      || !g_ascii_string_to_unsigned (word + 2, 10, 0, G_MAXINT, &number, NULL))
    return FALSE;
  *event = (FbEvent) number;
  return g_strcmp0 (fb_event_name (number), name) == 0;
}

/* A line whose end is missing is joined to the next one. */
static gboolean
contains_line (const char *text)
{
  static GRegex *start;
  if (start == NULL)
    start = g_regex_new ("\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{6}Z \\S+ FB\\d",
                         G_REGEX_RAW, 0, NULL);
  return strstr (text, "Z ") != NULL && g_regex_match (start, text, 0, NULL);
}

/* Returns: the fields that a line of EVENT must have; NULL when such lines are not read. */
static const char *
required_fields (FbEvent event)
{
  for (gsize i = 0; i < G_N_ELEMENTS (read_events); i++)
    {
      if (read_events[i].event == event)
        return read_events[i].fields;
    }
  return NULL;
}

/* Parses TEXT, which is changed. Fields are parsed only of events that are read; a message of a
 * library has no event.
 *
 * Returns: (transfer full) (nullable): NULL when TEXT is no whole line. */
static FbCliLogLine *
parse_line (char *text)
{
  char *daemon = split_word (text);
  char *message = daemon != NULL ? split_word (daemon) : NULL;
  if (message == NULL || *daemon == '\0' || contains_line (message))
    return NULL;
  g_autoptr (GDateTime) time = g_date_time_new_from_iso8601 (text, NULL);
  if (time == NULL)
    return NULL;
  FbCliLogLine *line = g_new0 (FbCliLogLine, 1);
  line->time_us = g_date_time_to_unix (time) * G_USEC_PER_SEC + g_date_time_get_microsecond (time);
  line->stamp = g_strdup (text);
  line->daemon = g_strdup (daemon);
  if (g_str_has_prefix (message, "warning: "))
    message += strlen ("warning: ");
  if (!g_str_has_prefix (message, "FB"))
    return line;
  char *name = split_word (message);
  char *fields = name != NULL ? split_word (name) : NULL;
  gboolean whole = name != NULL && parse_event (message, name, &line->event);
  if (whole && required_fields (line->event) != NULL)
    {
      line->fields = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      whole = parse_fields (fields, line->fields);
    }
  if (!whole)
    g_clear_pointer (&line, line_free);
  return line;
}

static gboolean
has_fields (const FbCliLogLine *line, const char *required)
{
  g_auto (GStrv) names = g_strsplit (required, " ", -1);
  for (guint i = 0; names[i] != NULL; i++)
    {
      if (!g_hash_table_contains (line->fields, names[i]))
        return FALSE;
    }
  return TRUE;
}

/* TRUE for lines about no task or job, and those about WANTED or a task of it. */
static gboolean
is_about (const FbCliLogLine *line, const char *wanted)
{
  const char *task = g_hash_table_lookup (line->fields, "task");
  const char *job = g_hash_table_lookup (line->fields, "job");
  gsize len = strlen (wanted);
  if (task != NULL)
    return strncmp (task, wanted, len) == 0 && (task[len] == '\0' || task[len] == '.');
  if (job != NULL)
    return strncmp (job, wanted, strlen (job)) == 0
           && (wanted[strlen (job)] == '\0' || wanted[strlen (job)] == '.');
  return TRUE;
}

/* ---- files --------------------------------------------------------------------- */

static void add_fault (FbCliLog *log, const char *format, ...) G_GNUC_PRINTF (2, 3);

static void
add_fault (FbCliLog *log, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_ptr_array_add (log->faults, g_strdup_vprintf (format, args));
  va_end (args);
}

static void
check_order (File *file, const FbCliLogLine *line)
{
  gint64 *last_us = g_hash_table_lookup (file->last_us, line->daemon);
  if (last_us == NULL)
    {
      last_us = g_new (gint64, 1);
      *last_us = line->time_us;
      g_hash_table_insert (file->last_us, g_strdup (line->daemon), last_us);
    }
  if (line->time_us < *last_us - MAX_DISORDER_US && file->late_n++ == 0)
    file->first_late = file->line_n;
  *last_us = line->time_us;
}

static void
note_start (Reader *self, Daemon *daemon, const FbCliLogLine *line)
{
  daemon->started_us = MIN (daemon->started_us, line->time_us);
  g_autofree char *build
      = g_strdup_printf ("version %s, build %s", fb_cli_log_line_get (line, "version"),
                         fb_cli_log_line_get (line, "build"));
  GPtrArray *names = g_hash_table_lookup (self->builds, build);
  if (names == NULL)
    {
      names = g_ptr_array_new_with_free_func (g_free);
      g_hash_table_insert (self->builds, g_strdup (build), names);
    }
  if (!g_ptr_array_find_with_equal_func (names, line->daemon, g_str_equal, NULL))
    g_ptr_array_add (names, g_strdup (line->daemon));
}

static void
note_daemon (Reader *self, const FbCliLogLine *line)
{
  Daemon *daemon = g_hash_table_lookup (self->daemons, line->daemon);
  if (daemon == NULL)
    {
      daemon = g_new0 (Daemon, 1);
      daemon->first_us = G_MAXINT64;
      daemon->started_us = G_MAXINT64;
      g_hash_table_insert (self->daemons, g_strdup (line->daemon), daemon);
    }
  daemon->first_us = MIN (daemon->first_us, line->time_us);
  if (line->event == FB_EVENT_PROCESS_STARTED)
    note_start (self, daemon, line);
  if (line->event == FB_EVENT_DAEMONS_READ)
    self->members_n = MAX (self->members_n, fb_cli_log_line_number (line, "members"));
}

/* Returns: FALSE when TEXT is no whole line. */
static gboolean
add_line (Reader *self, File *file, char *text)
{
  g_autofree char *copy = g_strdup (text);
  FbCliLogLine *line = parse_line (text);
  if (line == NULL)
    return FALSE;
  const char *required = line->fields != NULL ? required_fields (line->event) : NULL;
  gboolean whole = required == NULL || has_fields (line, required);
  if (whole)
    {
      check_order (file, line);
      note_daemon (self, line);
    }
  if (whole && required != NULL && is_about (line, file->wanted)
      && g_hash_table_add (self->known, g_steal_pointer (&copy)))
    g_ptr_array_add (self->log->lines, line);
  else
    line_free (line);
  return whole;
}

static void
report_file (FbCliLog *log, const File *file)
{
  if (file->line_n == 0)
    add_fault (log, "%s: it has no lines", file->name);
  if (file->cut_n > 0)
    add_fault (log,
               "%s: lines that are cut, or of another build: %" G_GUINT64_FORMAT
               "; the first is line %" G_GUINT64_FORMAT,
               file->name, file->cut_n, file->first_cut);
  if (file->late_n > 0)
    add_fault (log,
               "%s: lines that are earlier than the one before of their daemon: %" G_GUINT64_FORMAT
               "; the first is line %" G_GUINT64_FORMAT,
               file->name, file->late_n, file->first_late);
}

static GIOStatus
read_lines (Reader *self, File *file, GIOChannel *channel, GError **error)
{
  for (;;)
    {
      g_autofree char *text = NULL;
      gsize len = 0;
      gsize end = 0;
      GIOStatus status = g_io_channel_read_line (channel, &text, &len, &end, error);
      if (status != G_IO_STATUS_NORMAL)
        return status;
      file->line_n++;
      text[end] = '\0';
      if ((end == len || strlen (text) != end || !add_line (self, file, text))
          && file->cut_n++ == 0)
        file->first_cut = file->line_n;
    }
}

static gboolean
read_file (Reader *self, const char *path, const char *wanted)
{
  g_autoptr (GError) error = NULL;
  gboolean is_stdin = g_str_equal (path, "-");
  g_autoptr (GIOChannel) channel = is_stdin ? g_io_channel_unix_new (fileno (stdin))
                                            : g_io_channel_new_file (path, "r", &error);
  g_autofree char *name = is_stdin ? g_strdup ("standard input") : g_path_get_basename (path);
  GIOStatus status = G_IO_STATUS_ERROR;
  if (channel != NULL)
    {
      File file = { .name = name, .wanted = wanted };
      file.last_us = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_io_channel_set_encoding (channel, NULL, NULL);
      g_io_channel_set_line_term (channel, "\n", 1);
      status = read_lines (self, &file, channel, &error);
      report_file (self->log, &file);
      g_hash_table_unref (file.last_us);
    }
  if (status == G_IO_STATUS_EOF)
    return TRUE;
  fprintf (stderr, "%s: %s\n", name, error != NULL ? error->message : "cannot be read");
  return FALSE;
}

/* ---- all files ----------------------------------------------------------------- */

static int
compare_times (gconstpointer a, gconstpointer b)
{
  const FbCliLogLine *first = *(FbCliLogLine *const *) a;
  const FbCliLogLine *second = *(FbCliLogLine *const *) b;
  return (first->time_us > second->time_us) - (first->time_us < second->time_us);
}

static void
check_starts (const Reader *self)
{
  g_autoptr (GList) names
      = g_list_sort (g_hash_table_get_keys (self->daemons), (GCompareFunc) g_strcmp0);
  for (const GList *l = names; l != NULL; l = l->next)
    {
      const Daemon *daemon = g_hash_table_lookup (self->daemons, l->data);
      if (daemon->started_us > daemon->first_us)
        add_fault (self->log, "%s: its lines do not begin with PROCESS_STARTED", (char *) l->data);
    }
}

static void
check_daemons (const Reader *self)
{
  guint daemons_n = g_hash_table_size (self->daemons);
  if (daemons_n > 0 && self->members_n > daemons_n)
    add_fault (self->log,
               "the lines are of %u daemons, and DAEMONS_READ tells of %" G_GUINT64_FORMAT,
               daemons_n, self->members_n);
}

static void
check_builds (const Reader *self)
{
  if (g_hash_table_size (self->builds) < 2)
    return;
  g_autoptr (GList) builds
      = g_list_sort (g_hash_table_get_keys (self->builds), (GCompareFunc) g_strcmp0);
  for (const GList *l = builds; l != NULL; l = l->next)
    {
      GPtrArray *names = g_hash_table_lookup (self->builds, l->data);
      g_ptr_array_add (names, NULL);
      g_autofree char *daemons = g_strjoinv (", ", (char **) names->pdata);
      add_fault (self->log, "lines of several builds: %s: %s", (char *) l->data, daemons);
    }
}

FbCliLog *
fb_cli_log_read (char **paths, const char *name)
{
  FbCliLog *log = g_new0 (FbCliLog, 1);
  log->lines = g_ptr_array_new_with_free_func (line_free);
  log->faults = g_ptr_array_new_with_free_func (g_free);
  Reader reader = { .log = log };
  reader.known = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  reader.daemons = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  reader.builds
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_ptr_array_unref);
  gboolean read = TRUE;
  for (guint i = 0; read && paths[i] != NULL; i++)
    read = read_file (&reader, paths[i], name);
  g_ptr_array_sort (log->lines, compare_times);
  check_starts (&reader);
  check_daemons (&reader);
  check_builds (&reader);
  g_hash_table_unref (reader.known);
  g_hash_table_unref (reader.daemons);
  g_hash_table_unref (reader.builds);
  if (!read)
    g_clear_pointer (&log, fb_cli_log_free);
  return log;
}

void
fb_cli_log_free (FbCliLog *self)
{
  g_ptr_array_unref (self->lines);
  g_ptr_array_unref (self->faults);
  g_free (self);
}
