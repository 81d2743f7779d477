/* Reads JSON text of other programs within limits, reads members with type checks, and writes JSON.
 *
 * All JSON that this process did not write itself is read by fb_json_parse() or its variants. */
#pragma once

#include <json-glib/json-glib.h>
#include <stdint.h>

/* Limits of a text. The protocols nest their messages less than 8 levels deep. */
#define FB_JSON_MAX_BYTES (8 * 1024 * 1024)
#define FB_JSON_MAX_DEPTH 64
/* Containers, and separators between members or elements. */
#define FB_JSON_MAX_ITEMS (128 * 1024)

/* Each returns FALLBACK (FALSE for fb_json_bool()) when the member is missing or malformed.
 * *MALFORMED is set to TRUE when the member has another type or is negative; MALFORMED may be
 * NULL. */
uint64_t fb_json_uint (JsonObject *object, const char *name, uint64_t fallback,
                       gboolean *malformed);
int64_t fb_json_int (JsonObject *object, const char *name, int64_t fallback, gboolean *malformed);
double fb_json_double (JsonObject *object, const char *name, double fallback, gboolean *malformed);
gboolean fb_json_bool (JsonObject *object, const char *name, gboolean *malformed);
/* Returns: borrowed; "" when missing. */
const char *fb_json_string (JsonObject *object, const char *name, gboolean *malformed);
/* Returns: borrowed; NULL when missing. */
JsonArray *fb_json_array (JsonObject *object, const char *name, gboolean *malformed);

/* Returns: borrowed; NULL when missing. */
JsonObject *fb_json_object (JsonObject *object, const char *name, gboolean *malformed);

/* Returns: FALSE for other values and numbers beyond 63 bits. */
gboolean fb_json_is_uint (JsonNode *node);
/* Element I of an array; 0 or "" when it is missing or of another type. */
uint64_t fb_json_row_uint (JsonArray *row, guint i);
const char *fb_json_row_string (JsonArray *row, guint i);
/* Returns: borrowed; NULL unless element I is an array. */
JsonArray *fb_json_row (JsonArray *rows, guint i);
/* Returns: borrowed; NULL unless element I is an object. */
JsonObject *fb_json_row_object (JsonArray *rows, guint i);

/* Returns: (transfer full): a parser that owns the object *ROOT; NULL when DATA is not a JSON
 * object or exceeds a limit, and fb_status_message() tells why. */
JsonParser *fb_json_parse (const char *data, gsize len, JsonObject **root);
JsonParser *fb_json_parse_bytes (GBytes *bytes, JsonObject **root);
/* U+FFFD, in UTF-8. */
#define FB_JSON_REPLACEMENT "\xef\xbf\xbd"
/* As fb_json_parse_bytes(), but a malformed character does not invalidate the text: each byte that
 * is not UTF-8 and each unpaired surrogate becomes FB_JSON_REPLACEMENT, and NUL becomes U+0001. */
JsonParser *fb_json_parse_lossy (GBytes *bytes, JsonObject **root);
void fb_json_add_string (JsonBuilder *builder, const char *name, const char *value);
void fb_json_add_uint (JsonBuilder *builder, const char *name, uint64_t value);
/* Returns: (transfer full): the generated text. BUILDER is unreferenced. */
GBytes *fb_json_finish (JsonBuilder *builder);
