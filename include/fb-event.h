/* Numbered log events, written through GLib's structured logging.
 *
 * The list is events.def; docs/EVENTS.md is checked against it. Each routing or placement decision
 * is logged as one line. */
#pragma once

#include <glib.h>

typedef enum
{
#define FB_EVENT(number, symbol, level, meaning) FB_EVENT_##symbol = number,
#include "events.def"
#undef FB_EVENT
} FbEvent;

/* Returns: the name of the event NUMBER, a static text; NULL when there is none. */
const char *fb_event_name (guint64 number);

/* Writes one line "FBnnnn SYMBOL text", with the fields FB_EVENT and FB_EVENT_NAME in addition to
 * the usual ones. */
void fb_event_log (FbEvent event, const char *format, ...) G_GNUC_PRINTF (2, 3);

/* Writes the log of this process to stderr, one line per event. QUIET drops the lines of events of
 * every level, which fuzzers and benchmarks need; messages of libraries, which are written from
 * level "message" up, are not affected. */
void fb_event_init (const char *process_name, gboolean quiet);
/* Writes the log to stdout instead, at most LINES_PER_S lines a second. A line above that limit, or
 * one for which the write would block, is dropped and counted. */
void fb_event_init_stdout (const char *process_name, guint lines_per_s);
/* Turns event lines off or on. May be called on any thread. */
void fb_event_set_quiet (gboolean quiet);
