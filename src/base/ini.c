#include "internal/ini.h"

#include "fb-status.h"

#include <string.h>

/* GKeyFile merges groups of the same name, and later keys would silently override earlier ones. */
static gboolean
has_duplicate_group (const char *file, const char *text, gsize len)
{
  g_autofree char *copy = g_strndup (text, len);
  g_auto (GStrv) lines = g_strsplit (copy, "\n", -1);
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      char *line = g_strstrip (lines[i]);
      if (line[0] != '[' || g_hash_table_add (seen, line))
        continue;
      fb_status_set_message ("%s: line %u: %s stands twice, expected each group once", file, i + 1,
                             line);
      return TRUE;
    }
  return FALSE;
}

GKeyFile *
fb_ini_load (const char *file, const char *text, gsize len)
{
  GKeyFile *keys = g_key_file_new ();
  g_autoptr (GError) error = NULL;
  /* TEXT is NULL for an empty file that was decoded from a record. */
  if (text == NULL)
    text = "";
  if (memchr (text, '\0', len) != NULL || !g_utf8_validate (text, (gssize) len, NULL))
    fb_status_set_message ("%s: expected UTF-8 text", file);
  else if (has_duplicate_group (file, text, len))
    ;
  else if (g_key_file_load_from_data (keys, text, len, G_KEY_FILE_NONE, &error))
    return keys;
  else
    fb_status_set_message ("%s: %s", file, error->message);
  g_key_file_free (keys);
  return NULL;
}

static gboolean
parse_scaled (const char *text, const char *const *units, const double *factors, guint unit_n,
              uint64_t *value)
{
  char *end = NULL;
  double number = g_ascii_strtod (text, &end);
  if (end == text || number < 0 || !(number < 1e15))
    return FALSE;
  while (*end == ' ')
    end++;
  for (guint i = 0; i < unit_n; i++)
    {
      if (g_str_equal (end, units[i]))
        {
          *value = (uint64_t) (number * factors[i] + 0.5);
          return TRUE;
        }
    }
  return FALSE;
}

static gboolean
parse_bytes (const char *text, uint64_t *value)
{
  static const char *const units[] = { "", "K", "M", "G", "T" };
  static const double factors[] = { 1, 1024.0, 1048576.0, 1073741824.0, 1099511627776.0 };
  return parse_scaled (text, units, factors, G_N_ELEMENTS (units), value);
}

static gboolean
parse_duration (const char *text, uint64_t *value)
{
  static const char *const units[] = { "ms", "s", "m", "h" };
  static const double factors[] = { 1, 1000, 60000, 3600000 };
  return parse_scaled (text, units, factors, G_N_ELEMENTS (units), value);
}

static gboolean
parse_milli (const char *text, uint64_t *value)
{
  static const char *const units[] = { "" };
  static const double factors[] = { 1000 };
  return parse_scaled (text, units, factors, 1, value);
}

static gboolean
parse_choice (const char *text, const char *choices, uint64_t *value)
{
  g_auto (GStrv) names = g_strsplit (choices, "|", -1);
  for (guint i = 0; names[i] != NULL; i++)
    {
      if (g_str_equal (text, names[i]))
        {
          *value = i;
          return TRUE;
        }
    }
  return FALSE;
}

static gboolean
parse_number (const FbIniField *field, const char *text, uint64_t *value)
{
  switch (field->type)
    {
    case FB_INI_UINT:
      return g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT64, value, NULL);
    case FB_INI_PERCENT:
      if (!g_ascii_string_to_unsigned (text, 10, 0, 100, value, NULL))
        return FALSE;
      *value *= 10;
      return TRUE;
    case FB_INI_MILLI:
      return parse_milli (text, value);
    case FB_INI_BYTES:
      return parse_bytes (text, value);
    case FB_INI_DURATION:
      return parse_duration (text, value);
    case FB_INI_BOOLEAN:
      return parse_choice (text, "false|true", value);
    case FB_INI_CHOICE:
      return parse_choice (text, field->choices, value);
    case FB_INI_STRING:
      break;
    }
  return FALSE;
}

static char *
describe_expected (const FbIniField *field)
{
  switch (field->type)
    {
    case FB_INI_STRING:
      return g_strdup_printf ("a name of 1 to %" G_GUINT64_FORMAT " characters", field->max);
    case FB_INI_UINT:
      return g_strdup_printf ("a whole number from %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT,
                              field->min, field->max);
    case FB_INI_PERCENT:
      return g_strdup ("a whole number from 0 to 100");
    case FB_INI_MILLI:
      return g_strdup ("a number such as 0.5 or 16");
    case FB_INI_BYTES:
      return g_strdup ("a size such as 512M or 32G");
    case FB_INI_DURATION:
      return g_strdup ("a time such as 500ms, 9.2s, 5m or 1h");
    case FB_INI_BOOLEAN:
      return g_strdup ("true or false");
    case FB_INI_CHOICE:
      return g_strdup_printf ("one of %s", field->choices);
    }
  return g_strdup ("something else");
}

static FbIniStatus
read_field (const char *file, const char *group, const FbIniField *field, const char *text,
            gpointer target)
{
  void *member = (char *) target + field->offset;
  if (field->type == FB_INI_STRING)
    {
      gsize len = strlen (text);
      if (len > 0 && len <= field->max)
        {
          g_free (*(char **) member);
          *(char **) member = g_strdup (text);
          return FB_INI_OK;
        }
    }
  else
    {
      uint64_t value = 0;
      if (parse_number (field, text, &value)
          && (field->max == 0 || (value >= field->min && value <= field->max)))
        {
          *(uint64_t *) member = value;
          return FB_INI_OK;
        }
    }
  g_autofree char *expected = describe_expected (field);
  fb_status_set_message ("%s: [%s] %s: expected %s, got \"%.60s\"", file, group, field->key,
                         expected, text);
  return FB_INI_BAD_VALUE;
}

static const FbIniField *
find_field (const FbIniField *fields, const char *key)
{
  for (; fields->key != NULL; fields++)
    {
      if (g_str_equal (fields->key, key))
        return fields;
    }
  return NULL;
}

static char *
known_keys (const FbIniField *fields)
{
  GString *out = g_string_new (NULL);
  for (; fields->key != NULL; fields++)
    g_string_append_printf (out, "%s%s", out->len > 0 ? ", " : "", fields->key);
  return g_string_free (out, FALSE);
}

FbIniStatus
fb_ini_read_group (GKeyFile *keys, const char *file, const char *group, const FbIniField *fields,
                   gpointer target)
{
  g_auto (GStrv) names = g_key_file_get_keys (keys, group, NULL, NULL);
  for (guint i = 0; names != NULL && names[i] != NULL; i++)
    {
      const FbIniField *field = find_field (fields, names[i]);
      if (field == NULL)
        {
          g_autofree char *known = known_keys (fields);
          fb_status_set_message ("%s: [%s] %s: unknown key, expected %s%s", file, group, names[i],
                                 *known == '\0' ? "no key here" : "one of ", known);
          return FB_INI_UNKNOWN_KEY;
        }
      g_autofree char *raw = g_key_file_get_string (keys, group, names[i], NULL);
      FbIniStatus status
          = read_field (file, group, field, raw != NULL ? g_strstrip (raw) : "", target);
      if (status != FB_INI_OK)
        return status;
    }
  for (; fields->key != NULL; fields++)
    {
      if (fields->required && !g_key_file_has_key (keys, group, fields->key, NULL))
        {
          g_autofree char *expected = describe_expected (fields);
          fb_status_set_message ("%s: [%s] %s: missing, expected %s", file, group, fields->key,
                                 expected);
          return FB_INI_MISSING_KEY;
        }
    }
  return FB_INI_OK;
}

const char *
fb_ini_group_name (const char *group, const char *kind)
{
  gsize len = strlen (kind);
  if (strncmp (group, kind, len) != 0 || group[len] != ' ' || group[len + 1] == '\0')
    return NULL;
  return group + len + 1;
}
