/* Payloads of tasks: what the stand-in's workers do with a task. */
#include "standin-platform.h"

#include <stdlib.h>
#include <string.h>

#define CRASH_PREFIX "crash "
#define DEFAULT_CPU_MILLI 2000

/* Returns: the number for step STEP in the list after NAME in SPEC, or DEFAULT_VALUE. */
static guint
number_of_step (const char *spec, const char *name, guint step, guint default_value)
{
  const char *list = strstr (spec, name);
  if (list == NULL)
    return default_value;
  g_autofree char *word = g_strndup (list + strlen (name), strcspn (list + strlen (name), " "));
  g_auto (GStrv) numbers = g_strsplit (word, ",", 0);
  return step < g_strv_length (numbers) ? (guint) atoi (numbers[step]) : default_value;
}

SpPayload
sp_payload_parse (const char *spec, const char *task)
{
  g_auto (GStrv) parts = g_strsplit (task, ".", 0); /* job, occurrence, step, index */
  guint step = g_strv_length (parts) == 4 ? (guint) atoi (parts[2]) : 0;
  gboolean crashes = g_str_has_prefix (spec, CRASH_PREFIX);
  return (SpPayload){ .work_ms = atoi (crashes ? spec + strlen (CRASH_PREFIX) : spec),
                      .crashes = crashes,
                      .cpu_milli = number_of_step (spec, " cpu=", step, DEFAULT_CPU_MILLI),
                      .gang_n = number_of_step (spec, " gang=", step, 0),
                      .saves = number_of_step (spec, " saves=", step, 0) != 0,
                      .saved_chars = number_of_step (spec, " saved-chars=", step, 0) };
}
