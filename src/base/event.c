#include "fb-event.h"

#include "fb-counter.h"

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static _Atomic gboolean quiet_process;
static char *process_label;

static const struct
{
  FbEvent event;
  const char *name;
  GLogLevelFlags level;
} event_table[] = {
#define FB_EVENT(number, symbol, level, meaning) { number, #symbol, G_LOG_LEVEL_##level },
#include "events.def"
#undef FB_EVENT
};

/* Returns: the index of the event NUMBER, or G_N_ELEMENTS (event_table) when there is none. */
static gsize
find_event (guint64 number)
{
  gsize i = 0;
  while (i < G_N_ELEMENTS (event_table) && (guint64) event_table[i].event != number)
    i++;
  return i;
}

const char *
fb_event_name (guint64 number)
{
  gsize i = find_event (number);
  return i < G_N_ELEMENTS (event_table) ? event_table[i].name : NULL;
}

/* ---- time of day ----------------------------------------------------------- */

#define TIMESTAMP_BYTES 40

/* Writes the time of day in ISO 8601 format to TIMESTAMP, a buffer of TIMESTAMP_BYTES. The text of
 * the current second is cached, so a date is formatted once per second and not for each line. */
static void
write_timestamp (char *timestamp)
{
  static _Thread_local gint64 cached_s = -1;
  static _Thread_local char cached[TIMESTAMP_BYTES / 2];
  gint64 now_us = g_get_real_time ();
  time_t now_s = (time_t) (now_us / G_USEC_PER_SEC);
  if (now_s != cached_s)
    {
      struct tm parts;
      gmtime_r (&now_s, &parts);
      strftime (cached, sizeof cached, "%FT%T", &parts);
      cached_s = now_s;
    }
  g_snprintf (timestamp, TIMESTAMP_BYTES, "%s.%06dZ", cached, (int) (now_us % G_USEC_PER_SEC));
}

/* ---- rate limit ---------------------------------------------------------- */

/* Part of the limit that lines of levels info and debug, which report decisions on jobs and
 * workers, may not use. Otherwise a daemon that takes over a pool of 2,000 jobs uses up the limit
 * of that second with one line per job, and the line that reports the pool as recovered or lost is
 * dropped, so the pool seems to make no progress. */
#define RESERVED_PERCENT 20

static guint lines_per_s;
static gint64 current_s;
static guint lines_this_s;
static guint dropped;

/* Returns: FALSE when the limit of this second is reached; for lines without MAY_USE_RESERVE, when
 * only the reserved part is left. */
static gboolean
count_line (gboolean may_use_reserve)
{
  gint64 now_s = g_get_monotonic_time () / G_USEC_PER_SEC;
  if (now_s != current_s)
    {
      current_s = now_s;
      lines_this_s = 0;
    }
  guint limit = may_use_reserve ? lines_per_s : lines_per_s * (100 - RESERVED_PERCENT) / 100;
  if (lines_this_s >= limit)
    return FALSE;
  lines_this_s++;
  return TRUE;
}

static void
write_bounded (const char *line, gsize len, gboolean may_use_reserve)
{
  if (!count_line (may_use_reserve) || write (STDOUT_FILENO, line, len) < 0)
    {
      dropped++;
      fb_counter_add (FB_COUNTER_LINES_DROPPED, 1);
    }
}

/* Reports at most once per second, so that the report itself does not use up the limit. */
static void
report_dropped (const char *timestamp)
{
  static gint64 reported_s;
  gint64 now_s = g_get_monotonic_time () / G_USEC_PER_SEC;
  if (dropped == 0 || now_s == reported_s || !count_line (TRUE))
    return;
  reported_s = now_s;
  char line[160];
  int len = g_snprintf (line, sizeof line, "%s %s FB%d LINES_DROPPED n=%u\n", timestamp,
                        process_label, FB_EVENT_LINES_DROPPED, dropped);
  if (write (STDOUT_FILENO, line, (gsize) len) > 0)
    dropped = 0;
}

static GLogWriterOutput
write_line (GLogLevelFlags level, const GLogField *fields, gsize n_fields, gpointer unused)
{
  (void) unused;
  const char *message = "";
  gboolean is_event = FALSE;
  for (gsize i = 0; i < n_fields; i++)
    {
      if (g_str_equal (fields[i].key, "MESSAGE"))
        message = fields[i].value;
      is_event = is_event || g_str_equal (fields[i].key, "FB_EVENT");
    }
  /* Libraries log every connection at these levels. */
  if (!is_event && (level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_DEBUG)))
    return G_LOG_WRITER_HANDLED;
  char timestamp[TIMESTAMP_BYTES];
  write_timestamp (timestamp);
  if (lines_per_s > 0)
    {
      report_dropped (timestamp);
      g_autofree char *line = g_strdup_printf ("%s %s %s\n", timestamp, process_label, message);
      write_bounded (line, strlen (line), (level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_DEBUG)) == 0);
      return G_LOG_WRITER_HANDLED;
    }
  fprintf (stderr, "%s %s %s%s\n", timestamp, process_label != NULL ? process_label : "-",
           (level & (G_LOG_LEVEL_WARNING | G_LOG_LEVEL_CRITICAL)) ? "warning: " : "", message);
  return G_LOG_WRITER_HANDLED;
}

void
fb_event_init (const char *process_name, gboolean quiet)
{
  process_label = g_strdup (process_name);
  quiet_process = quiet;
  g_log_set_writer_func (write_line, NULL, NULL);
}

void
fb_event_init_stdout (const char *process_name, guint limit_per_s)
{
  lines_per_s = limit_per_s;
  int flags = fcntl (STDOUT_FILENO, F_GETFL);
  if (flags >= 0)
    (void) fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  fb_event_init (process_name, FALSE);
}

void
fb_event_set_quiet (gboolean quiet)
{
  quiet_process = quiet;
}

void
fb_event_log (FbEvent event, const char *format, ...)
{
  if (quiet_process)
    return;
  gsize i = find_event (event);
  g_assert (i < G_N_ELEMENTS (event_table));
  va_list args;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  char number[16];
  g_snprintf (number, sizeof number, "%d", event);
  g_log_structured ("flamingobarrow", event_table[i].level, "FB_EVENT", number, "FB_EVENT_NAME",
                    event_table[i].name, "MESSAGE", "FB%d %s %s", event, event_table[i].name, text);
}
