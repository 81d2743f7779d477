/* The message of the last failed call, kept per thread.
 *
 * Every module has its own status enum (FbSettingsStatus, FbLogStatus, ...). A function that
 * returns a status other than OK has set the last message of its thread. A module that converts a
 * status of a lower module to its own adds context with fb_status_prefix_message(). */
#pragma once

#include <glib.h>

/* Sets the last message of this thread. */
void fb_status_set_message (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* Prepends the formatted text and ": " to the last message of this thread. */
void fb_status_prefix_message (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* Returns: the last message of this thread, never NULL. It is borrowed until the next call of this
 * module on the same thread. */
const char *fb_status_message (void);
