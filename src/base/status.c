#include "fb-status.h"

static void
message_free (gpointer data)
{
  g_string_free (data, TRUE);
}

static GPrivate last_message = G_PRIVATE_INIT (message_free);

static GString *
message_of_thread (void)
{
  GString *message = g_private_get (&last_message);
  if (message == NULL)
    {
      message = g_string_new (NULL);
      g_private_set (&last_message, message);
    }
  return message;
}

void
fb_status_set_message (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_string_vprintf (message_of_thread (), format, args);
  va_end (args);
}

void
fb_status_prefix_message (const char *format, ...)
{
  GString *message = message_of_thread ();
  va_list args;
  va_start (args, format);
  g_autofree char *prefix = g_strdup_vprintf (format, args);
  va_end (args);
  g_string_prepend (message, ": ");
  g_string_prepend (message, prefix);
}

const char *
fb_status_message (void)
{
  return message_of_thread ()->str;
}
