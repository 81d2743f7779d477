/* Numbered log events, written through GLib's structured logging.
 *
 * The list is events.def; docs/EVENTS.md is checked against it.  One line is
 * written for each routing or placement decision. */
#pragma once

#include <glib.h>

typedef enum
{
#define FB_EVENT(number, symbol, level, meaning) FB_EVENT_##symbol = number,
#include "events.def"
#undef FB_EVENT
} FbEvent;

/* Writes one line "FBnnnn SYMBOL text" with the fields FB_EVENT and
 * FB_EVENT_NAME beside the usual ones. */
void fb_event_log (FbEvent event, const char *format, ...) G_GNUC_PRINTF (2, 3);

/* Sends the lines of this process to stderr, one line an event.  QUIET leaves
 * out the decisions (level debug), which fuzzing and benches do not want. */
void fb_event_init (const char *process_name, gboolean quiet);
/* Sends the lines to stdout instead, at most LINES_PER_S of them: a line beyond
 * that, or one that would have to wait for the reader, is left out and counted. */
void fb_event_init_stdout (const char *process_name, guint lines_per_s);
/* Changes whether decisions are left out.  Any thread. */
void fb_event_set_quiet (gboolean quiet);
