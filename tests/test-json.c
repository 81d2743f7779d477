/* JSON text of other programs: limits of texts, and types of members. */
#include "src/daemon/worker-json.h"
#include "src/net/json.h"

#include <CUnit/Basic.h>
#include <string.h>

static gboolean
is_read (const char *text, gsize len)
{
  JsonObject *root = NULL;
  g_autoptr (JsonParser) parser = fb_json_parse (text, len, &root);
  CU_ASSERT_EQUAL (parser != NULL, root != NULL);
  return parser != NULL;
}

/* An object whose member is nested in N - 1 arrays. */
static char *
nested_text (guint n, gboolean closed)
{
  GString *text = g_string_new ("{\"m\":");
  for (guint i = 1; i < n; i++)
    g_string_append_c (text, '[');
  for (guint i = 1; closed && i < n; i++)
    g_string_append_c (text, ']');
  return g_string_free (g_string_append (text, closed ? "}" : ""), FALSE);
}

/* Deep nesting in a text overflowed the stack of the recursive parser. */
static void
test_deep_texts (void)
{
  static const struct
  {
    guint depth;
    gboolean closed;
    gboolean ok;
  } cases[] = { { 1, FALSE, FALSE },
                { 8, TRUE, TRUE },
                { FB_JSON_MAX_DEPTH, TRUE, TRUE },
                { FB_JSON_MAX_DEPTH + 1, TRUE, FALSE },
                { 250000, TRUE, FALSE },
                { 250000, FALSE, FALSE } };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *text = nested_text (cases[i].depth, cases[i].closed);
      CU_ASSERT_EQUAL (is_read (text, strlen (text)), cases[i].ok);
    }
}

/* Quotes, escapes and comments that only the library's parser knows hid brackets from the limit. */
static void
test_hidden_brackets (void)
{
  static const char *const prefixes[] = { "{\"m\":['\"',",           "{\"m\":[/*\"*/",
                                          "{\"m\":[#\"\n",           "{\"m\":[//\"\n",
                                          "{\"m\":[\"\\u1\",\",",    "{\"m\":[\"\\ud800\",\",",
                                          "{\"m\":[\"\\udc00\",\",", "{\"m\":[\"\\ud800\\n\",\",",
                                          "{\"m\":[\"\\x\",\"," };
  for (guint i = 0; i < G_N_ELEMENTS (prefixes); i++)
    {
      GString *text = g_string_new (prefixes[i]);
      for (guint n = 0; n < 250000; n++)
        g_string_append_c (text, '[');
      CU_ASSERT_FALSE (is_read (text->str, text->len));
      g_string_free (text, TRUE);
    }
}

static void
test_texts (void)
{
  static const struct
  {
    const char *text;
    gboolean ok;
  } cases[] = { { "{}", TRUE },
                { " {\"a\" : [ 1, -2.5e3, true, null, \"\" ] }\r\n", TRUE },
                { "{\"[[[\":\"]]]}{\\\"[\"}", TRUE },
                { "{\"a\":\"\\u00e9\\ud83d\\ude00\\n\\\\\"}", TRUE },
                { "{\"a\":\"\xc3\xa9\"}", TRUE },
                { "{\"a\":\"\xc3\"}", FALSE },
                { "{\"a\":\"\\u0000\"}", FALSE },
                { "{\"a\":\"\n\t\r\x01\"}", TRUE },
                { "{\"a\":\"\\", FALSE },
                { "{\"a\":\"", FALSE },
                { "{\"a\":'b'}", FALSE },
                { "var a = {}", FALSE },
                { "{}}", FALSE },
                { "", FALSE } };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      if (is_read (cases[i].text, strlen (cases[i].text)) != cases[i].ok)
        printf ("    text %s\n", cases[i].text);
      CU_ASSERT_EQUAL (is_read (cases[i].text, strlen (cases[i].text)), cases[i].ok);
    }
  CU_ASSERT_FALSE (is_read ("{\"a\":\"\0\"}", 9));
}

/* A short text of many small values takes a hundred times its size in memory once it is read. */
static void
test_texts_with_many_values (void)
{
  GString *text = g_string_new ("{\"m\":[");
  for (guint n = 0; n < FB_JSON_MAX_ITEMS / 2; n++)
    g_string_append (text, "[],");
  g_string_append (text, "0]}");
  CU_ASSERT_FALSE (is_read (text->str, text->len));
  g_string_free (text, TRUE);
}

/* Numbers beyond 64 bits were converted to integers, which is undefined. */
static void
test_large_numbers (void)
{
  static const char text[] = "{\"n\":1e300,\"row\":[1e300,9007199254740993,-1]}";
  JsonObject *root = NULL;
  g_autoptr (JsonParser) parser = fb_json_parse (text, strlen (text), &root);
  gboolean malformed = FALSE;
  CU_ASSERT_PTR_NOT_NULL_FATAL (parser);
  CU_ASSERT_EQUAL (fb_json_uint (root, "n", 7, &malformed), 7);
  CU_ASSERT_TRUE (malformed);
  JsonArray *row = fb_json_array (root, "row", NULL);
  CU_ASSERT_EQUAL (fb_json_row_uint (row, 0), 0);
  CU_ASSERT_EQUAL (fb_json_row_uint (row, 1), 9007199254740993);
  CU_ASSERT_EQUAL (fb_json_row_uint (row, 2), 0);
}

/* A member of another type in a worker's reply was passed on as a null string. */
static void
test_worker_replies_of_other_types (void)
{
  static const char *const texts[] = { "{\"epoch\":1,\"runs\":[{\"tag\":1}]}",
                                       "{\"epoch\":1,\"runs\":[1]}",
                                       "{\"epoch\":1,\"runs\":{}}",
                                       "{\"epoch\":[],\"runs\":[]}",
                                       "{\"epoch\":1,\"runs\":[],\"fenced\":\"no\"}",
                                       "{\"epoch\":1}" };
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      JsonObject *root = NULL;
      g_autoptr (JsonParser) parser = fb_json_parse (texts[i], strlen (texts[i]), &root);
      CU_ASSERT_PTR_NOT_NULL_FATAL (parser);
      FbWorkerJsonReply reply;
      CU_ASSERT_FALSE (fb_worker_json_parse_reply (root, &reply));
    }
  static const char valid[] = "{\"epoch\":1,\"incarnation\":-2,\"runs\":[],\"unchanged\":true}";
  JsonObject *root = NULL;
  g_autoptr (JsonParser) parser = fb_json_parse (valid, strlen (valid), &root);
  FbWorkerJsonReply reply;
  CU_ASSERT_PTR_NOT_NULL_FATAL (parser);
  CU_ASSERT_TRUE_FATAL (fb_worker_json_parse_reply (root, &reply));
  CU_ASSERT_EQUAL (reply.reply.incarnation, (uint64_t) -2);
  fb_worker_json_clear_reply (&reply);
}

int
main (void)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  CU_pSuite suite = CU_add_suite ("json", NULL, NULL);
  CU_add_test (suite, "texts", test_texts);
  CU_add_test (suite, "deep texts", test_deep_texts);
  CU_add_test (suite, "hidden brackets", test_hidden_brackets);
  CU_add_test (suite, "texts with many values", test_texts_with_many_values);
  CU_add_test (suite, "large numbers", test_large_numbers);
  CU_add_test (suite, "worker replies of other types", test_worker_replies_of_other_types);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
