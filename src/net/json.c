#include "json.h"

#include "fb-status.h"

#include <string.h>

/* NUL is replaced by the character after it, so that keys keep their order. */
#define NUL_REPLACEMENT '\1'
#define ESCAPED_NUL_REPLACEMENT "\\u0001"

/* ---- limits ------------------------------------------------------------------------ */

typedef struct
{
  const char *at;
  const char *end;
  guint depth;
  guint item_n;
} Scan;

/* Returns: FALSE unless four hexadecimal digits follow. */
static gboolean
scan_hex (Scan *scan, guint *code_unit)
{
  if (scan->end - scan->at < 4)
    return FALSE;
  *code_unit = 0;
  for (guint i = 0; i < 4; i++, scan->at++)
    {
      gint digit = g_ascii_xdigit_value (*scan->at);
      if (digit < 0)
        return FALSE;
      *code_unit = *code_unit * 16 + (guint) digit;
    }
  return TRUE;
}

/* Scans the escape of one code unit, "\\uXXXX".  Returns: FALSE when none follows. */
static gboolean
scan_code_unit (Scan *scan, guint *code_unit)
{
  if (scan->end - scan->at < 2 || scan->at[0] != '\\' || scan->at[1] != 'u')
    return FALSE;
  scan->at += 2;
  return scan_hex (scan, code_unit);
}

/* Scans an escape from its backslash on. The library's parser reads on to the second half of a
 * surrogate pair without checking what it passes, so an unpaired half is refused. */
static gboolean
scan_escape (Scan *scan)
{
  if (scan->end - scan->at < 2)
    return FALSE;
  if (scan->at[1] != 'u')
    {
      scan->at += 2;
      return scan->at[-1] != '\0' && strchr ("\"\\/bfnrt", scan->at[-1]) != NULL;
    }
  guint code_unit = 0;
  if (!scan_code_unit (scan, &code_unit) || (code_unit >= 0xdc00 && code_unit <= 0xdfff))
    return FALSE;
  if (code_unit < 0xd800 || code_unit > 0xdbff)
    return code_unit != 0;
  return scan_code_unit (scan, &code_unit) && code_unit >= 0xdc00 && code_unit <= 0xdfff;
}

/* Scans the rest of a string after its opening quote. */
static gboolean
scan_string (Scan *scan)
{
  while (scan->at < scan->end)
    {
      if (*scan->at == '\\')
        {
          if (!scan_escape (scan))
            return FALSE;
          continue;
        }
      char c = *scan->at++;
      if (c == '"')
        return TRUE;
      if (c == '\0')
        return FALSE;
    }
  return FALSE;
}

/* Returns: why TEXT is refused, or NULL. Only the tokens of JSON are accepted outside strings: the
 * library's parser also reads comments and other quotes, which would hide brackets from this
 * scan. */
static const char *
scan_text (const char *text, gsize len)
{
  Scan scan = { .at = text, .end = text + len };
  while (scan.at < scan.end)
    {
      char c = *scan.at++;
      if (c == '"')
        {
          if (!scan_string (&scan))
            return "contains a malformed string";
        }
      else if (c == '[' || c == '{')
        {
          scan.item_n++;
          if (++scan.depth > FB_JSON_MAX_DEPTH)
            return "is nested too deep";
        }
      else if (c == ']' || c == '}')
        {
          if (scan.depth-- == 0)
            return "is not JSON";
        }
      else if (c == ',' || c == ':')
        scan.item_n++;
      else if (!g_ascii_isalnum (c) && (c == '\0' || strchr ("+-. \t\r\n", c) == NULL))
        return "is not JSON";
    }
  if (scan.item_n > FB_JSON_MAX_ITEMS)
    return "has too many members or elements";
  return scan.depth == 0 ? NULL : "is not JSON";
}

/* The library's parser recurses for each level of nesting and allocates for each value, so the
 * limits are checked before it sees the text. */
static const char *
check_limits (const char *data, gsize len)
{
  if (len > FB_JSON_MAX_BYTES)
    return "is too long";
  if (!g_utf8_validate_len (data, len, NULL))
    return "is not UTF-8";
  return scan_text (data, len);
}

/* ---- members ----------------------------------------------------------------------- */

static JsonNode *
member_of (JsonObject *object, const char *name)
{
  JsonNode *node = json_object_get_member (object, name);
  return node != NULL && !JSON_NODE_HOLDS_NULL (node) ? node : NULL;
}

static void
set_malformed (gboolean *malformed)
{
  if (malformed != NULL)
    *malformed = TRUE;
}

static gboolean
holds_number (JsonNode *node)
{
  if (!JSON_NODE_HOLDS_VALUE (node))
    return FALSE;
  GType type = json_node_get_value_type (node);
  return type == G_TYPE_INT64 || type == G_TYPE_DOUBLE;
}

/* Values beyond 63 bits are refused: their conversion to an integer is undefined. */
gboolean
fb_json_is_uint (JsonNode *node)
{
  return holds_number (node) && json_node_get_double (node) >= 0
         && json_node_get_double (node) < 9e18;
}

static gboolean
holds_string (JsonNode *node)
{
  return JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == G_TYPE_STRING;
}

double
fb_json_double (JsonObject *object, const char *name, double fallback, gboolean *malformed)
{
  JsonNode *node = member_of (object, name);
  if (node == NULL)
    return fallback;
  if (holds_number (node) && json_node_get_double (node) >= 0)
    return json_node_get_double (node);
  set_malformed (malformed);
  return fallback;
}

uint64_t
fb_json_uint (JsonObject *object, const char *name, uint64_t fallback, gboolean *malformed)
{
  JsonNode *node = member_of (object, name);
  if (node == NULL)
    return fallback;
  if (fb_json_is_uint (node))
    return (uint64_t) json_node_get_int (node);
  set_malformed (malformed);
  return fallback;
}

int64_t
fb_json_int (JsonObject *object, const char *name, int64_t fallback, gboolean *malformed)
{
  JsonNode *node = member_of (object, name);
  if (node == NULL)
    return fallback;
  if (JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == G_TYPE_INT64)
    return json_node_get_int (node);
  set_malformed (malformed);
  return fallback;
}

gboolean
fb_json_bool (JsonObject *object, const char *name, gboolean *malformed)
{
  JsonNode *node = member_of (object, name);
  if (node == NULL)
    return FALSE;
  if (JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == G_TYPE_BOOLEAN)
    return json_node_get_boolean (node);
  set_malformed (malformed);
  return FALSE;
}

const char *
fb_json_string (JsonObject *object, const char *name, gboolean *malformed)
{
  JsonNode *node = member_of (object, name);
  if (node == NULL)
    return "";
  if (holds_string (node))
    return json_node_get_string (node);
  set_malformed (malformed);
  return "";
}

JsonArray *
fb_json_array (JsonObject *object, const char *name, gboolean *malformed)
{
  JsonNode *node = member_of (object, name);
  if (node == NULL)
    return NULL;
  if (JSON_NODE_HOLDS_ARRAY (node))
    return json_node_get_array (node);
  set_malformed (malformed);
  return NULL;
}

JsonObject *
fb_json_object (JsonObject *object, const char *name, gboolean *malformed)
{
  JsonNode *node = member_of (object, name);
  if (node == NULL)
    return NULL;
  if (JSON_NODE_HOLDS_OBJECT (node))
    return json_node_get_object (node);
  set_malformed (malformed);
  return NULL;
}

uint64_t
fb_json_row_uint (JsonArray *row, guint i)
{
  if (i >= json_array_get_length (row) || !fb_json_is_uint (json_array_get_element (row, i)))
    return 0;
  return (uint64_t) json_node_get_int (json_array_get_element (row, i));
}

const char *
fb_json_row_string (JsonArray *row, guint i)
{
  if (i >= json_array_get_length (row) || !holds_string (json_array_get_element (row, i)))
    return "";
  return json_node_get_string (json_array_get_element (row, i));
}

JsonArray *
fb_json_row (JsonArray *rows, guint i)
{
  JsonNode *node = json_array_get_element (rows, i);
  return JSON_NODE_HOLDS_ARRAY (node) ? json_node_get_array (node) : NULL;
}

JsonObject *
fb_json_row_object (JsonArray *rows, guint i)
{
  JsonNode *node = json_array_get_element (rows, i);
  return JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
}

/* ---- texts ------------------------------------------------------------------------- */

JsonParser *
fb_json_parse (const char *data, gsize len, JsonObject **root)
{
  const char *error = check_limits (data, len);
  if (error != NULL)
    {
      fb_status_set_message ("the text %s", error);
      return NULL;
    }
  JsonParser *parser = json_parser_new ();
  JsonNode *node = NULL;
  if (len > 0 && json_parser_load_from_data (parser, data, (gssize) len, NULL))
    node = json_parser_get_root (parser);
  if (node != NULL && JSON_NODE_HOLDS_OBJECT (node))
    {
      *root = json_node_get_object (node);
      return parser;
    }
  fb_status_set_message ("the text is not a JSON object");
  g_object_unref (parser);
  return NULL;
}

/* Appends the escape at SCAN to OUT, or its replacement when it is malformed. */
static void
append_escape (GString *out, Scan *scan)
{
  const char *start = scan->at;
  guint code_unit = 0;
  if (!scan_escape (scan))
    {
      scan->at = start;
      if (scan_code_unit (scan, &code_unit))
        {
          g_string_append (out, code_unit == 0 ? ESCAPED_NUL_REPLACEMENT : FB_JSON_REPLACEMENT);
          return;
        }
      scan->at = start + 1;
    }
  g_string_append_len (out, start, scan->at - start);
}

/* Returns: (transfer full): DATA with its malformed characters replaced. */
static GString *
replace_malformed_characters (const char *data, gsize len)
{
  g_autofree char *copy = g_memdup2 (data, len);
  for (gsize i = 0; i < len; i++)
    {
      if (copy[i] == '\0')
        copy[i] = NUL_REPLACEMENT;
    }
  g_autofree char *valid = g_utf8_make_valid (copy, (gssize) len);
  Scan scan = { .at = valid, .end = valid + strlen (valid) };
  GString *out = g_string_sized_new (len);
  while (scan.at < scan.end)
    {
      gsize plain_len = strcspn (scan.at, "\\");
      g_string_append_len (out, scan.at, (gssize) plain_len);
      scan.at += plain_len;
      if (scan.at < scan.end)
        append_escape (out, &scan);
    }
  return out;
}

JsonParser *
fb_json_parse_lossy (GBytes *bytes, JsonObject **root)
{
  gsize len = 0;
  const char *data = g_bytes_get_data (bytes, &len);
  JsonParser *parser = fb_json_parse (data, len, root);
  if (parser != NULL || len == 0 || len > FB_JSON_MAX_BYTES)
    return parser;
  GString *text = replace_malformed_characters (data, len);
  parser = fb_json_parse (text->str, text->len, root);
  g_string_free (text, TRUE);
  return parser;
}

JsonParser *
fb_json_parse_bytes (GBytes *bytes, JsonObject **root)
{
  gsize len = 0;
  const char *data = g_bytes_get_data (bytes, &len);
  return fb_json_parse (data, len, root);
}

/* ---- writing ------------------------------------------------------------------------ */

GBytes *
fb_json_finish (JsonBuilder *builder)
{
  JsonNode *root = json_builder_get_root (builder);
  g_autoptr (JsonGenerator) generator = json_generator_new ();
  json_generator_set_root (generator, root);
  gsize len = 0;
  char *text = json_generator_to_data (generator, &len);
  json_node_unref (root);
  g_object_unref (builder);
  return g_bytes_new_take (text, len);
}

void
fb_json_add_string (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
}

void
fb_json_add_uint (JsonBuilder *builder, const char *name, uint64_t value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, (gint64) value);
}
