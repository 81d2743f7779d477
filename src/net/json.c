#include "json.h"

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
  if (holds_number (node) && json_node_get_double (node) >= 0 && json_node_get_double (node) < 9e18)
    return (uint64_t) json_node_get_int (node);
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

uint64_t
fb_json_row_uint (JsonArray *row, guint i)
{
  if (i >= json_array_get_length (row) || !holds_number (json_array_get_element (row, i)))
    return 0;
  double value = json_node_get_double (json_array_get_element (row, i));
  return value > 0 ? (uint64_t) value : 0;
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

JsonParser *
fb_json_parse (const char *data, gsize len, JsonObject **root)
{
  JsonParser *parser = json_parser_new ();
  JsonNode *node = NULL;
  if (len > 0 && json_parser_load_from_data (parser, data, (gssize) len, NULL))
    node = json_parser_get_root (parser);
  if (node != NULL && JSON_NODE_HOLDS_OBJECT (node))
    {
      *root = json_node_get_object (node);
      return parser;
    }
  g_object_unref (parser);
  return NULL;
}

JsonParser *
fb_json_parse_bytes (GBytes *bytes, JsonObject **root)
{
  gsize len = 0;
  const char *data = g_bytes_get_data (bytes, &len);
  return fb_json_parse (data, len, root);
}

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
