/* Encoding and decoding of the platform's messages, as table-driven tests. */
#include "fb-status.h"
#include "platform/wire.h"
#include "src/entry/store/listing-cursor.h"
#include "src/work/spec.h"

#include <CUnit/Basic.h>
#include <string.h>

/* ---- malformed messages ----------------------------------------------- */

/* Every decoder of messages of other programs refuses a text that is nested too deep. */
static void
test_deep_messages (void)
{
  g_autofree char *open = g_strnfill (249999, '[');
  g_autofree char *closed = g_strnfill (249999, ']');
  g_autofree char *text = g_strconcat ("{\"m\":", open, closed, "}", NULL);
  g_autoptr (GBytes) bytes = g_bytes_new_static (text, strlen (text));
  const FbHttpReply reply = { .status = FB_HTTP_OK, .code = 200, .body = bytes };
  const FbHttpReply conflict = { .status = FB_HTTP_OK, .code = 409, .body = bytes };
  fb_work_spec spec;
  CU_ASSERT_FALSE (fb_wire_parse_job_spec (text, strlen (text), &spec));
  CU_ASSERT_PTR_NULL (fb_wire_parse_worker ("i-1", bytes));
  CU_ASSERT_PTR_NULL (fb_wire_parse_routes (bytes));
  g_autoptr (GPtrArray) records = g_ptr_array_new_with_free_func (fb_store_record_free);
  gboolean more = FALSE;
  uint64_t number = 0;
  CU_ASSERT_FALSE (fb_wire_parse_newest (&reply, records, &more, &number));
  g_autoptr (GArray) rows = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  CU_ASSERT_FALSE (fb_wire_parse_join (&reply, &number, rows));
  CU_ASSERT_FALSE (fb_wire_parse_owners (&reply, rows));
  CU_ASSERT_EQUAL (fb_wire_parse_append (&conflict), FB_APPEND_OUT_OF_SEQUENCE);
  CU_ASSERT_EQUAL (fb_wire_parse_order_result (&reply, &number), FB_ORDER_DONE);
  FbPollAnswer answer;
  fb_wire_parse_poll (&reply, "i-1", &answer);
  CU_ASSERT_EQUAL (answer.result, FB_ORDER_UNKNOWN);
  fb_poll_answer_clear (&answer);
  fb_advice_reply advice;
  CU_ASSERT_FALSE (fb_wire_parse_advice (&reply, &advice));
}

/* A malformed record ended the reading of a page, or was skipped without a trace. */
static void
test_malformed_records (void)
{
  static const char newest[] = "{\"items\":[{\"key\":\"a\",\"value\":\"eA==\",\"offset\":1},7,"
                               "{\"key\":5,\"value\":\"eA==\"},{\"key\":\"b\\n\",\"value\":\"\"},"
                               "{\"key\":\"c\",\"value\":\"eA==\",\"offset\":2}],\"end\":9}";
  g_autoptr (GBytes) body = g_bytes_new_static (newest, strlen (newest));
  const FbHttpReply reply = { .status = FB_HTTP_OK, .code = 200, .body = body };
  g_autoptr (GPtrArray) records = g_ptr_array_new_with_free_func (fb_store_record_free);
  gboolean more = FALSE;
  uint64_t end = 0;
  CU_ASSERT_TRUE (fb_wire_parse_newest (&reply, records, &more, &end));
  CU_ASSERT_EQUAL_FATAL (records->len, 5);
  CU_ASSERT_STRING_EQUAL (((FbStoreRecord *) records->pdata[0])->key, "a");
  for (guint i = 1; i < 4; i++)
    CU_ASSERT_PTR_NULL (((FbStoreRecord *) records->pdata[i])->key);
  CU_ASSERT_STRING_EQUAL (((FbStoreRecord *) records->pdata[4])->key, "c");
}

/* Returns: FALSE when the page is unreadable.  ITEMS: the rows of the page. */
static gboolean
parse_page (const char *items, GPtrArray *records)
{
  g_autofree char *text = g_strdup_printf ("{\"items\":[%s],\"has-more\":true,\"end\":9}", items);
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
  const FbHttpReply reply = { .status = FB_HTTP_OK, .code = 200, .body = body };
  gboolean more = FALSE;
  uint64_t end = 0;
  return fb_wire_parse_newest (&reply, records, &more, &end);
}

/* A key that is not UTF-8 made all records of its page unreadable. */
static void
test_malformed_key_in_a_page (void)
{
  static const char *const malformed_keys[]
      = { "\xff\xff", "\xef\xbf\xbd", "\\udcff",   "\\ud800x",
          "\\u0000",  "\xc3",         "a\\u0000b", "\\ud800\\u0041" };
  for (guint i = 0; i < G_N_ELEMENTS (malformed_keys); i++)
    {
      g_autofree char *items = g_strdup_printf ("{\"key\":\"a\",\"value\":\"eA==\",\"offset\":1},"
                                                "{\"key\":\"%s\",\"value\":\"eA==\",\"offset\":2},"
                                                "{\"key\":\"\\ud83d\\ude00\",\"value\":\"eA==\"}",
                                                malformed_keys[i]);
      g_autoptr (GPtrArray) records = g_ptr_array_new_with_free_func (fb_store_record_free);
      CU_ASSERT_TRUE_FATAL (parse_page (items, records));
      CU_ASSERT_EQUAL_FATAL (records->len, 3);
      CU_ASSERT_STRING_EQUAL (((FbStoreRecord *) records->pdata[0])->key, "a");
      CU_ASSERT_PTR_NULL (((FbStoreRecord *) records->pdata[1])->key);
      CU_ASSERT_STRING_EQUAL (((FbStoreRecord *) records->pdata[2])->key, "\xf0\x9f\x98\x80");
    }
}

/* A page of malformed keys only ended its listing, and the keys after it were taken for deleted. */
static void
test_pages_of_malformed_keys (void)
{
  static const struct
  {
    const char *key;
    const char *after;        /* cursor after a page that ends with KEY */
    const char *second_after; /* when the same page follows; NULL: the listing cannot go on */
  } cases[] = {
    { "b\\n", "b\n", NULL },
    { "b\\u0000", "b\1", NULL },
    { "b\xff", "b\xff\xff", "b\xf4\x8f\xbf\xbf" },
    { "b\\udcffc", "b\xff\xff", "b\xf4\x8f\xbf\xbf" },
    { "\xef\xbf\xbd", "\xff\xff", "\xf4\x8f\xbf\xbf" },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      FbListingCursor cursor = { 0 };
      g_autofree char *items
          = g_strdup_printf ("{\"key\":\"%s\",\"value\":\"eA==\"}", cases[i].key);
      g_autoptr (GPtrArray) records = g_ptr_array_new_with_free_func (fb_store_record_free);
      CU_ASSERT_TRUE_FATAL (parse_page (items, records));
      CU_ASSERT_TRUE (fb_listing_cursor_advance (&cursor, records));
      CU_ASSERT_TRUE (g_str_has_prefix (cursor.after, cases[i].after));
      CU_ASSERT_TRUE (strlen (cursor.after) <= 255);
      CU_ASSERT_EQUAL (fb_listing_cursor_advance (&cursor, records), cases[i].second_after != NULL);
      if (cases[i].second_after != NULL)
        {
          CU_ASSERT_TRUE (g_str_has_prefix (cursor.after, cases[i].second_after));
          CU_ASSERT_FALSE (fb_listing_cursor_advance (&cursor, records));
        }
      fb_listing_cursor_reset (&cursor);
    }
}

/* A row of a group without a partition was taken for the first partition. */
static void
test_malformed_rows_of_a_group (void)
{
  static const char text[]
      = "{\"generation\":3,\"parts\":[[\"keyed.jobs\",4,0],[\"keyed.jobs\",\"x\",0],7,"
        "[],[\"keyed.jobs\",5,0],[\"\\udcff\",-1,0]]}";
  g_autoptr (GBytes) body = g_bytes_new_static (text, strlen (text));
  const FbHttpReply reply = { .status = FB_HTTP_OK, .code = 200, .body = body };
  g_autoptr (GArray) partitions = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  uint64_t generation = 0;
  CU_ASSERT_TRUE (fb_wire_parse_join (&reply, &generation, partitions));
  CU_ASSERT_EQUAL (generation, 3);
  CU_ASSERT_EQUAL_FATAL (partitions->len, 2);
  CU_ASSERT_EQUAL (g_array_index (partitions, uint32_t, 0), 4);
  CU_ASSERT_EQUAL (g_array_index (partitions, uint32_t, 1), 5);
}

/* ---- jobs of callers ---------------------------------------------------- */

static gboolean
is_valid_job (const char *text)
{
  fb_work_spec spec;
  if (!fb_wire_parse_job_spec (text, strlen (text), &spec))
    return FALSE;
  gboolean ok = fb_spec_check (&spec);
  xdr_free ((xdrproc_t) xdr_fb_work_spec, (char *) &spec);
  return ok;
}

static void
test_jobs (void)
{
  static const struct
  {
    const char *text;
    gboolean ok;
  } cases[] = {
    { "{\"spec\":\"s\",\"phases\":[{\"count\":1}]}", TRUE },
    { "{\"spec\":\"s\",\"phases\":[{\"count\":2},{\"count\":1,\"after\":[0]}]}", TRUE },
    { "{\"phases\":[{\"count\":10000}]}", TRUE },
    { "{\"phases\":[{\"count\":1,\"unknown\":{\"deep\":[1]}}]}", TRUE },
    { "", FALSE },
    { "{", FALSE },
    { "[]", FALSE },
    { "null", FALSE },
    { "{\"spec\":\"s\"}", FALSE },
    { "{\"spec\":\"s\",\"phases\":[]}", FALSE },
    { "{\"spec\":\"s\",\"phases\":{}}", FALSE },
    { "{\"spec\":\"s\",\"phases\":[1]}", FALSE },
    { "{\"spec\":7,\"phases\":[{\"count\":1}]}", FALSE },
    { "{\"spec\":\"s\",\"phases\":[{}]}", FALSE },
    { "{\"spec\":\"s\",\"phases\":[{\"count\":0}]}", FALSE },
    { "{\"spec\":\"s\",\"phases\":[{\"count\":-1}]}", FALSE },
    { "{\"spec\":\"s\",\"phases\":[{\"count\":\"1\"}]}", FALSE },
    { "{\"spec\":\"s\",\"phases\":[{\"count\":10001}]}", FALSE },
    { "{\"spec\":\"s\",\"phases\":[{\"count\":99999999999}]}", FALSE },
    { "{\"spec\":\"s\",\"phases\":[{\"count\":1,\"cpu\":-5}]}", FALSE },
    { "{\"spec\":\"s\",\"phases\":[{\"count\":1,\"gang\":1}]}", FALSE },
    { "{\"spec\":\"s\",\"phases\":[{\"count\":1,\"after\":[0]}]}", FALSE },
    { "{\"spec\":\"s\",\"phases\":[{\"count\":1,\"after\":[1]},{\"count\":1}]}", FALSE },
    { "{\"spec\":\"s\",\"phases\":[{\"count\":1,\"after\":[-1]}]}", FALSE },
    { "{\"spec\":\"s\",\"phases\":[{\"count\":1,\"after\":\"0\"}]}", FALSE },
    { "{\"spec\":\"s\",\"times\":-1,\"phases\":[{\"count\":1}]}", FALSE },
    { "{\"spec\":\"s\",\"times\":1000000,\"phases\":[{\"count\":1}]}", FALSE },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      gboolean ok = is_valid_job (cases[i].text);
      if (ok != cases[i].ok)
        printf ("\ncase %u: %s\n", i, cases[i].text);
      CU_ASSERT_EQUAL (ok, cases[i].ok);
      if (!ok)
        CU_ASSERT (strlen (fb_status_message ()) > 0);
    }
}

static void
test_long_payload (void)
{
  g_autofree char *longest = g_strnfill (FB_WORK_MAX_PAYLOAD, 'x');
  g_autofree char *longer = g_strnfill (FB_WORK_MAX_PAYLOAD + 1, 'x');
  g_autofree char *a = g_strdup_printf ("{\"spec\":\"%s\",\"phases\":[{\"count\":1}]}", longest);
  g_autofree char *b = g_strdup_printf ("{\"spec\":\"%s\",\"phases\":[{\"count\":1}]}", longer);
  CU_ASSERT_TRUE (is_valid_job (a));
  CU_ASSERT_FALSE (is_valid_job (b));
}

static void
test_step_members (void)
{
  const char *text
      = "{\"spec\":\"s\",\"times\":3,\"start-ms\":1000,\"interval-ms\":50,\"phases\":[{\"count\":4,"
        "\"cpu\":500,\"mem-mb\":256,\"gpu\":2,\"estimate-ms\":900,\"affinity\":\"r1\","
        "\"required-label\":\"k\",\"max-per-server\":3,\"max-unavailable\":1,\"target-ms\":20,"
        "\"gang\":true,\"rack-local\":true,\"checkpointing\":true,\"speculative\":true,"
        "\"long-running\":true,\"fills\":true,\"image\":\"i\"}]}";
  fb_work_spec spec;
  CU_ASSERT_TRUE_FATAL (fb_wire_parse_job_spec (text, strlen (text), &spec));
  const fb_work_step *step = &spec.steps.steps_val[0];
  CU_ASSERT_EQUAL (spec.occurrences, 3);
  CU_ASSERT_EQUAL (spec.first_due_ms, 1000);
  CU_ASSERT_EQUAL (spec.interval_ms, 50);
  CU_ASSERT_EQUAL (step->cpu_milli, 500);
  CU_ASSERT_EQUAL (step->mem_mb, 256);
  CU_ASSERT_EQUAL (step->gpu_count, 2);
  CU_ASSERT_EQUAL (step->estimate_ms, 900);
  CU_ASSERT_EQUAL (step->max_per_worker, 3);
  CU_ASSERT_EQUAL (step->max_unavailable, 1);
  CU_ASSERT_EQUAL (step->tail_latency_target_ms, 20);
  CU_ASSERT_STRING_EQUAL (step->preferred_rack, "r1");
  CU_ASSERT_STRING_EQUAL (step->required_label, "k");
  CU_ASSERT_STRING_EQUAL (step->image, "i");
  CU_ASSERT (step->gang && step->rack_local && step->checkpointing && step->speculative);
  CU_ASSERT (step->long_running && step->best_effort);
  xdr_free ((xdrproc_t) xdr_fb_work_spec, (char *) &spec);
}

/* ---- routes ------------------------------------------------------------------ */

static FbRoutes *
routes_from (const char *text)
{
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));
  return fb_wire_parse_routes (bytes);
}

static void
test_routes (void)
{
  g_autoptr (FbRoutes) routes = routes_from (
      "{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h.example\",\"path-prefix\":\"/p/\","
      "\"service\":\"s\",\"priority\":1,\"max-attempts\":4,\"stretch-factor\":2.2,"
      "\"target-duration-ms\":250,\"advice\":{\"decision-ms\":19.5,\"per-worker-ms\":0.25,"
      "\"validity-ms\":2000}},{\"name\":\"b\",\"host\":\"h.example\",\"path-prefix\":\"/p/q/\","
      "\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}]}");
  CU_ASSERT_PTR_NOT_NULL (routes);
  if (routes == NULL)
    return;
  CU_ASSERT_EQUAL (routes->version, 7);
  const FbRoute *shorter = fb_routes_find (routes, "h.example:8080", "/p/x");
  const FbRoute *longer = fb_routes_find (routes, "H.EXAMPLE", "/p/q/x");
  CU_ASSERT_PTR_NOT_NULL (shorter);
  CU_ASSERT_PTR_NOT_NULL (longer);
  if (shorter == NULL || longer == NULL)
    return;
  CU_ASSERT_STRING_EQUAL (shorter->policy.queue, "a");
  CU_ASSERT_STRING_EQUAL (longer->policy.queue, "b");
  CU_ASSERT_EQUAL (shorter->policy.stretch_factor_milli, 2200);
  CU_ASSERT_EQUAL (shorter->policy.advice_decision_us, 19500);
  CU_ASSERT_EQUAL (shorter->policy.advice_per_worker_us, 250);
  CU_ASSERT_FALSE (longer->policy.advised);
  CU_ASSERT_PTR_NULL (fb_routes_find (routes, "h.example", "/other/"));
  CU_ASSERT_PTR_NULL (fb_routes_find (routes, "other.example", "/p/x"));
  CU_ASSERT_PTR_NULL (routes_from ("{\"routes\":[]}"));
  CU_ASSERT_PTR_NULL (routes_from ("not json"));
}

/* ---- the store ---------------------------------------------------------------- */

static FbHttpReply
reply_of (guint code, GBytes *body)
{
  return (FbHttpReply){
    .status = FB_HTTP_OK, .sent = TRUE, .transmissions = 1, .code = code, .body = body
  };
}

/* Tests which answers of the store prove that a record is not stored, and which leave the outcome
 * unknown. */
static void
test_append_results (void)
{
  static const struct
  {
    FbHttpStatus status;
    gboolean sent;
    guint code;
    const char *body;
    FbAppendResult result;
  } cases[] = {
    { FB_HTTP_OK, TRUE, 200, "{\"offset\":1,\"end\":2}", FB_APPEND_STORED },
    { FB_HTTP_OK, TRUE, 503, "", FB_APPEND_NOT_STORED },
    { FB_HTTP_OK, TRUE, 429, "", FB_APPEND_NOT_STORED },
    { FB_HTTP_OK, TRUE, 507, "", FB_APPEND_NOT_STORED },
    { FB_HTTP_OK, TRUE, 400, "", FB_APPEND_INVALID },
    { FB_HTTP_OK, TRUE, 413, "", FB_APPEND_INVALID },
    { FB_HTTP_OK, TRUE, 403, "", FB_APPEND_NOT_STORED },
    { FB_HTTP_OK, TRUE, 412, "{\"end\":7}", FB_APPEND_NOT_STORED },
    { FB_HTTP_OK, TRUE, 202, "", FB_APPEND_IN_DOUBT },
    { FB_HTTP_OK, TRUE, 302, "", FB_APPEND_IN_DOUBT },
    { FB_HTTP_OK, TRUE, 408, "", FB_APPEND_IN_DOUBT },
    { FB_HTTP_OK, TRUE, 500, "", FB_APPEND_IN_DOUBT },
    { FB_HTTP_OK, TRUE, 505, "", FB_APPEND_IN_DOUBT },
    { FB_HTTP_OK, TRUE, 502, "", FB_APPEND_IN_DOUBT },
    { FB_HTTP_OK, TRUE, 504, "", FB_APPEND_IN_DOUBT },
    { FB_HTTP_OK, TRUE, 409, "{\"reason\":\"fenced\"}", FB_APPEND_FENCED },
    { FB_HTTP_OK, TRUE, 409, "{\"reason\":\"seq\"}", FB_APPEND_OUT_OF_SEQUENCE },
    { FB_HTTP_OK, TRUE, 409, "?", FB_APPEND_OUT_OF_SEQUENCE },
    { FB_HTTP_TIMEOUT, TRUE, 0, NULL, FB_APPEND_IN_DOUBT },
    { FB_HTTP_UNREACHABLE, TRUE, 0, NULL, FB_APPEND_IN_DOUBT },
    { FB_HTTP_TIMEOUT, FALSE, 0, NULL, FB_APPEND_NOT_STORED },
    { FB_HTTP_UNREACHABLE, FALSE, 0, NULL, FB_APPEND_NOT_STORED },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const char *text = cases[i].body != NULL ? cases[i].body : "";
      g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
      FbHttpReply reply = { .status = cases[i].status,
                            .sent = cases[i].sent,
                            .transmissions = cases[i].sent,
                            .code = cases[i].code,
                            .body = body };
      CU_ASSERT_EQUAL (fb_wire_parse_append (&reply), cases[i].result);
    }
}

static void
test_records_read_back (void)
{
  GByteArray *page = g_byte_array_new ();
  static const guint8 header[16] = { [7] = 42, [15] = 40 };
  g_byte_array_append (page, header, sizeof header);
  g_autoptr (GBytes) value = g_bytes_new ("value", 5);
  fb_wire_encode_record (page, "key", value);
  fb_wire_encode_record (page, "dropped", NULL);
  /* A record that is truncated at the end of a page is not returned; the next page begins with
   * it. */
  static const guint8 cut[] = { 0, 0, 0, 9, 3, 'a' };
  g_byte_array_append (page, cut, sizeof cut);
  g_autoptr (GBytes) body = g_byte_array_free_to_bytes (page);
  FbHttpReply reply = reply_of (200, body);
  g_autoptr (GPtrArray) records = g_ptr_array_new_with_free_func (fb_store_record_free);
  uint64_t next = 0;
  uint64_t end = 0;
  CU_ASSERT_EQUAL (fb_wire_parse_read (&reply, 40, records, &next, &end), FB_READ_OK);
  CU_ASSERT_EQUAL_FATAL (records->len, 2);
  CU_ASSERT_EQUAL (next, 42);
  CU_ASSERT_EQUAL (end, 42);
  const FbStoreRecord *first = records->pdata[0];
  const FbStoreRecord *second = records->pdata[1];
  CU_ASSERT_STRING_EQUAL (first->key, "key");
  CU_ASSERT_EQUAL (first->offset, 40);
  CU_ASSERT_TRUE (g_bytes_equal (first->value, value));
  CU_ASSERT_STRING_EQUAL (second->key, "dropped");
  CU_ASSERT_PTR_NULL (second->value);
  reply.code = 410;
  CU_ASSERT_EQUAL (fb_wire_parse_read (&reply, 40, records, &next, &end), FB_READ_EXPIRED);
  reply.code = 503;
  CU_ASSERT_EQUAL (fb_wire_parse_read (&reply, 40, records, &next, &end), FB_READ_FAILED);
}

/* ---- workers --------------------------------------------------------------------- */

static FbOrderResult
result_of (FbHttpStatus status, gboolean sent, guint code, const char *text)
{
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
  FbHttpReply reply
      = { .status = status, .sent = sent, .transmissions = sent, .code = code, .body = body };
  uint64_t clock_ms = 0;
  return fb_wire_parse_order_result (&reply, &clock_ms);
}

static void
test_order_results (void)
{
  CU_ASSERT_EQUAL (result_of (FB_HTTP_OK, TRUE, 200, "{}"), FB_ORDER_DONE);
  CU_ASSERT_EQUAL (result_of (FB_HTTP_OK, TRUE, 409, "{\"reason\":\"fence\"}"), FB_ORDER_FENCED);
  CU_ASSERT_EQUAL (result_of (FB_HTTP_OK, TRUE, 409, "{\"reason\":\"old\"}"), FB_ORDER_SUPERSEDED);
  CU_ASSERT_EQUAL (result_of (FB_HTTP_OK, TRUE, 409, "{\"reason\":\"late\"}"),
                   FB_ORDER_PAST_DEADLINE);
  CU_ASSERT_EQUAL (result_of (FB_HTTP_OK, TRUE, 409, "{\"reason\":\"room\"}"),
                   FB_ORDER_NO_CAPACITY);
  CU_ASSERT_EQUAL (result_of (FB_HTTP_OK, TRUE, 409, "{\"reason\":\"ticket\"}"),
                   FB_ORDER_BAD_TICKET);
  CU_ASSERT_EQUAL (result_of (FB_HTTP_OK, TRUE, 421, ""), FB_ORDER_OTHER_INCARNATION);
  CU_ASSERT_EQUAL (result_of (FB_HTTP_OK, TRUE, 503, ""), FB_ORDER_NOT_DONE);
  CU_ASSERT_EQUAL (result_of (FB_HTTP_OK, TRUE, 500, ""), FB_ORDER_UNKNOWN);
  CU_ASSERT_EQUAL (result_of (FB_HTTP_TIMEOUT, TRUE, 0, ""), FB_ORDER_UNKNOWN);
  CU_ASSERT_EQUAL (result_of (FB_HTTP_UNREACHABLE, FALSE, 0, ""), FB_ORDER_NOT_DONE);
  const FbHttpReply refused = { .status = FB_HTTP_UNREACHABLE, .refused = TRUE };
  uint64_t clock_ms = 0;
  CU_ASSERT_EQUAL (fb_wire_parse_order_result (&refused, &clock_ms), FB_ORDER_NO_LISTENER);
}

/* A malformed answer must not be interpreted as an empty list, as if nothing ran on the worker. */
static void
test_poll_answers (void)
{
  static const struct
  {
    const char *text;
    FbOrderResult result;
    guint running;
    guint finished;
  } cases[] = {
    { "{\"clock-ms\":5,\"running\":[[\"t\",2,\"c\",41]],\"finished\":[[58,\"u\",1,\"done\",\"\"]]}",
      FB_ORDER_DONE, 1, 1 },
    { "{\"clock-ms\":5,\"running\":[],\"finished\":[]}", FB_ORDER_DONE, 0, 0 },
    { "{\"clock-ms\":5}", FB_ORDER_DONE, 0, 0 },
    { "{\"clock-ms\":5,\"running\":7}", FB_ORDER_UNKNOWN, 0, 0 },
    { "{\"clock-ms\":5,\"running\":[7]}", FB_ORDER_UNKNOWN, 0, 0 },
    { "{\"clock-ms\":5,\"running\":[[]]}", FB_ORDER_UNKNOWN, 0, 0 },
    { "{\"clock-ms\":5,\"finished\":[7]}", FB_ORDER_UNKNOWN, 0, 0 },
    { "{\"clock-ms\":5,\"finished\":[[58,\"\",1,\"done\",\"\"]]}", FB_ORDER_UNKNOWN, 0, 0 },
    { "{\"running\":[]}", FB_ORDER_UNKNOWN, 0, 0 },
    { "oops", FB_ORDER_UNKNOWN, 0, 0 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GBytes) body = g_bytes_new (cases[i].text, strlen (cases[i].text));
      FbHttpReply reply = reply_of (200, body);
      FbPollAnswer answer;
      fb_wire_parse_poll (&reply, "i-1", &answer);
      CU_ASSERT_EQUAL (answer.result, cases[i].result);
      CU_ASSERT_EQUAL (answer.running->len, cases[i].running);
      CU_ASSERT_EQUAL (answer.finished->len, cases[i].finished);
      fb_poll_answer_clear (&answer);
    }
}

/* An end that was skipped was acknowledged with the next one, and its task ran again. */
static void
test_ends_that_cannot_be_read (void)
{
  static const char *const rows[]
      = { "\"finished\":[[58,\"u\",1,\"expired\",\"\"],[59,\"v\",1,\"done\",\"\"]]",
          "\"finished\":[[58,\"u\",1],[59,\"v\",1,\"done\",\"\"]]",
          "\"finished\":[[\"58\",\"u\",1,\"done\",\"\"],[59,\"v\",1,\"done\",\"\"]]",
          "\"finished\":[[58,\"u\",null,\"done\",\"\"]]", "\"running\":[[\"t\",\"2\",\"\",41]]" };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *text = g_strdup_printf ("{\"clock-ms\":5,%s}", rows[i]);
      g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
      FbHttpReply reply = reply_of (200, body);
      FbPollAnswer answer;
      fb_wire_parse_poll (&reply, "i-1", &answer);
      CU_ASSERT_EQUAL (answer.result, FB_ORDER_UNKNOWN);
      fb_poll_answer_clear (&answer);
    }
}

/* A worker whose row could not be read counted as not allowed, which proves that no task of the
 * step is there. */
static void
test_advice_rows_that_cannot_be_read (void)
{
  static const struct
  {
    const char *text;
    gboolean readable;
    guint allowed;
  } cases[] = {
    { "{\"allowed\":[[\"i-1\",\"t\"]],\"validity-ms\":5}", TRUE, 1 },
    { "{\"allowed\":[],\"validity-ms\":5}", TRUE, 0 },
    { "{\"validity-ms\":5}", TRUE, 0 },
    { "{\"allowed\":[[\"i-1\",\"t\"],7],\"validity-ms\":5}", FALSE, 0 },
    { "{\"allowed\":[[\"i-1\",\"t\"],[]],\"validity-ms\":5}", FALSE, 0 },
    { "{\"allowed\":[[7,\"t\"]],\"validity-ms\":5}", FALSE, 0 },
    { "{\"allowed\":[[\"\",\"t\"]],\"validity-ms\":5}", FALSE, 0 },
    { "{\"allowed\":{},\"validity-ms\":5}", FALSE, 0 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GBytes) body = g_bytes_new (cases[i].text, strlen (cases[i].text));
      FbHttpReply reply = reply_of (200, body);
      fb_advice_reply advice;
      CU_ASSERT_EQUAL (fb_wire_parse_advice (&reply, &advice), cases[i].readable);
      CU_ASSERT_EQUAL (advice.tickets.tickets_len, cases[i].allowed);
      xdr_free ((xdrproc_t) xdr_fb_advice_reply, (char *) &advice);
    }
}

/* Guards against an answer that is discarded as a whole because the progress of a run is missing or
 * malformed, and against a malformed percentage that is taken for progress. */
static void
test_percentages (void)
{
  static const struct
  {
    const char *percent;
    uint8_t parsed;
  } cases[] = { { ",0", 0 },
                { ",41", 41 },
                { ",100", 100 },
                { "", FB_PERCENT_NOT_REPORTED },
                { ",101", FB_PERCENT_NOT_REPORTED },
                { ",-1", FB_PERCENT_NOT_REPORTED },
                { ",41.5", FB_PERCENT_NOT_REPORTED },
                { ",1e300", FB_PERCENT_NOT_REPORTED },
                { ",99999999999999999999", FB_PERCENT_NOT_REPORTED },
                { ",\"41\"", FB_PERCENT_NOT_REPORTED },
                { ",null", FB_PERCENT_NOT_REPORTED },
                { ",[41]", FB_PERCENT_NOT_REPORTED },
                { ",{}", FB_PERCENT_NOT_REPORTED },
                { ",true", FB_PERCENT_NOT_REPORTED } };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "{\"clock-ms\":5,\"running\":[[\"t\",2,\"c\"%s],[\"u\",1,\"\",7]],\"finished\":[]}",
          cases[i].percent);
      g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
      FbHttpReply reply = reply_of (200, body);
      FbPollAnswer answer;
      fb_wire_parse_poll (&reply, "i-1", &answer);
      CU_ASSERT_EQUAL (answer.result, FB_ORDER_DONE);
      CU_ASSERT_EQUAL_FATAL (answer.running->len, 2);
      CU_ASSERT_EQUAL (g_array_index (answer.running, FbReportedRun, 0).percent, cases[i].parsed);
      CU_ASSERT_EQUAL (g_array_index (answer.running, FbReportedRun, 1).percent, 7);
      fb_poll_answer_clear (&answer);
    }
}

/* When a worker that restarted under the same id answers a call to its previous incarnation, the
 * answer must not be attributed to the previous one. */
static void
test_answers_of_other_incarnations (void)
{
  static const struct
  {
    const char *requested;
    const char *start_time_member;
    FbOrderResult result;
    const char *incarnation;
  } cases[] = { { "i-1@7", ",\"born\":7", FB_ORDER_DONE, NULL },
                { "i-1@7", ",\"born\":8", FB_ORDER_OTHER_INCARNATION, "i-1@8" },
                { "i-1@7", "", FB_ORDER_DONE, NULL },
                { "i-1", ",\"born\":8", FB_ORDER_OTHER_INCARNATION, "i-1@8" },
                { "i-1@7", ",\"born\":\"8\"", FB_ORDER_UNKNOWN, NULL } };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *text
          = g_strdup_printf ("{\"clock-ms\":5,\"running\":[[\"t\",2,\"\",41]],\"finished\":[]%s}",
                             cases[i].start_time_member);
      g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
      FbHttpReply reply = reply_of (200, body);
      FbPollAnswer answer;
      fb_wire_parse_poll (&reply, cases[i].requested, &answer);
      CU_ASSERT_EQUAL (answer.result, cases[i].result);
      CU_ASSERT_EQUAL (g_strcmp0 (answer.incarnation, cases[i].incarnation), 0);
      fb_poll_answer_clear (&answer);
    }
}

/* A worker whose id contains the separator must not be addressed by a part of its id. */
static void
test_names_of_incarnations (void)
{
  static const struct
  {
    const char *id;
    uint64_t incarnation_started_ms;
    const char *incarnation;
  } cases[] = {
    { "i-1", 0, "i-1" }, { "i-1", 77, "i-1@77" }, { "i@1", 0, "i@1@0" }, { "i@1", 77, "i@1@77" }
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *incarnation
          = fb_wire_incarnation (cases[i].id, cases[i].incarnation_started_ms);
      g_autofree char *id = fb_wire_incarnation_worker_id (incarnation);
      CU_ASSERT_STRING_EQUAL (incarnation, cases[i].incarnation);
      CU_ASSERT_STRING_EQUAL (id, cases[i].id);
    }
  CU_ASSERT_TRUE (fb_wire_incarnation_is_newer ("i-1@78", "i-1@77"));
  CU_ASSERT_FALSE (fb_wire_incarnation_is_newer ("i-1@77", "i-1@78"));
  CU_ASSERT_FALSE (fb_wire_incarnation_is_newer ("i-2@78", "i-1@77"));
  CU_ASSERT_FALSE (fb_wire_incarnation_is_newer ("i-1", "i-1@77"));
  CU_ASSERT_TRUE (fb_wire_incarnation_may_restart ("i-1@77"));
  CU_ASSERT_TRUE (fb_wire_incarnation_may_restart ("i@1@77"));
  CU_ASSERT_FALSE (fb_wire_incarnation_may_restart ("i-1"));
  CU_ASSERT_FALSE (fb_wire_incarnation_may_restart ("i@1@0"));
}

/* Calls contain the worker's id, regardless of the incarnation they are addressed to. */
static void
test_calls_carry_the_worker_id (void)
{
  const FbPollOrder order = { .worker = "i-1@1767225600123", .address = "10.0.0.9:80" };
  FbHttpCall call;
  fb_wire_poll (&call, &order);
  CU_ASSERT_STRING_EQUAL (call.header_values[0], "i-1");
  fb_http_call_clear (&call);
}

static void
test_worker_entry (void)
{
  const char *text
      = "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"state\":\"draining\","
        "\"capacity\":{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":8},\"labels\":[\"a\",\"r1-3\"]}";
  g_autoptr (GBytes) value = g_bytes_new (text, strlen (text));
  FbListedWorker *worker = fb_wire_parse_worker ("i-1", value);
  CU_ASSERT_PTR_NOT_NULL (worker);
  if (worker == NULL)
    return;
  CU_ASSERT_STRING_EQUAL (worker->service, "s");
  CU_ASSERT_STRING_EQUAL (worker->entry.rack, "r1-3");
  CU_ASSERT_TRUE (worker->entry.draining);
  CU_ASSERT_EQUAL (worker->entry.cpu_milli, 16000);
  CU_ASSERT_EQUAL (worker->entry.gpu_count, 8);
  CU_ASSERT_STRING_EQUAL (worker->entry.id, "i-1");
  fb_listed_worker_free (worker);
  g_autofree char *start_time_member = g_strdup_printf ("{\"born\":1767225600123,%s", text + 1);
  g_autoptr (GBytes) with_start = g_bytes_new (start_time_member, strlen (start_time_member));
  worker = fb_wire_parse_worker ("i-1", with_start);
  CU_ASSERT_PTR_NOT_NULL (worker);
  if (worker == NULL)
    return;
  CU_ASSERT_STRING_EQUAL (worker->id, "i-1");
  CU_ASSERT_STRING_EQUAL (worker->entry.id, "i-1@1767225600123");
  fb_listed_worker_free (worker);
  g_autoptr (GBytes) bad = g_bytes_new ("[]", 2);
  CU_ASSERT_PTR_NULL (fb_wire_parse_worker ("i-1", bad));
}

/* Records of other programs among the worker entries must be ignored. An unknown state was
 * interpreted as "ready" and a missing capacity as 0, and tasks were sent to an address that is not
 * a worker. */
static void
test_entries_of_other_writers (void)
{
  static const struct
  {
    const char *entry;
    gboolean is_worker;
  } cases[] = {
#define CAPACITY "\"capacity\":{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":0}"
#define SERVICE_AND_ADDRESS "\"service\":\"s\",\"address\":\"10.0.0.9:80\""
    { "{" SERVICE_AND_ADDRESS ",\"state\":\"ready\"," CAPACITY ",\"labels\":[\"a\",\"r1\"]}",
      TRUE },
    { "{" SERVICE_AND_ADDRESS ",\"state\":\"ready\"," CAPACITY "}", TRUE },
    { "{" SERVICE_AND_ADDRESS ",\"state\":\"ready\"," CAPACITY ",\"of another\":{\"x\":[1]}}",
      TRUE },
    { "{" SERVICE_AND_ADDRESS "," CAPACITY "}", FALSE },
    { "{" SERVICE_AND_ADDRESS ",\"state\":\"warming\"," CAPACITY "}", FALSE },
    { "{" SERVICE_AND_ADDRESS ",\"state\":1," CAPACITY "}", FALSE },
    { "{" SERVICE_AND_ADDRESS ",\"state\":null," CAPACITY "}", FALSE },
    { "{" SERVICE_AND_ADDRESS ",\"state\":\"ready\"}", FALSE },
    { "{" SERVICE_AND_ADDRESS ",\"state\":\"ready\",\"capacity\":16000}", FALSE },
    { "{" SERVICE_AND_ADDRESS ",\"state\":\"ready\"," CAPACITY ",\"born\":\"7\"}", FALSE },
    { "{" SERVICE_AND_ADDRESS ",\"state\":\"ready\",\"capacity\":{\"cpu\":\"16000\",\"mem-mb\":1}}",
      FALSE },
    { "{" SERVICE_AND_ADDRESS ",\"state\":\"ready\",\"capacity\":{\"cpu\":-1,\"mem-mb\":1}}",
      FALSE },
    { "{" SERVICE_AND_ADDRESS ",\"state\":\"ready\",\"capacity\":{\"cpu\":1e12,\"mem-mb\":1}}",
      FALSE },
    { "{" SERVICE_AND_ADDRESS ",\"state\":\"ready\",\"capacity\":{\"mem-mb\":1}}", FALSE },
    { "{" SERVICE_AND_ADDRESS ",\"state\":\"ready\"," CAPACITY ",\"labels\":\"a\"}", FALSE },
    { "{" SERVICE_AND_ADDRESS ",\"state\":\"ready\"," CAPACITY ",\"labels\":[1,2]}", FALSE },
    { "{\"service\":\"s\",\"state\":\"ready\"," CAPACITY "}", FALSE },
    { "{\"service\":\"s\",\"address\":7,\"state\":\"ready\"," CAPACITY "}", FALSE },
    { "{\"service\":\"s\",\"address\":\"somewhere\",\"state\":\"ready\"," CAPACITY "}", FALSE },
    { "{\"service\":\"s\",\"address\":\"10.0.0.9\",\"state\":\"ready\"," CAPACITY "}", FALSE },
    { "{\"address\":\"10.0.0.9:80\",\"state\":\"ready\"," CAPACITY "}", FALSE },
    { "{\"service\":[],\"address\":\"10.0.0.9:80\",\"state\":\"ready\"," CAPACITY "}", FALSE },
    { "{}", FALSE },
    { "null", FALSE },
    { "", FALSE },
    { "\xff\xfe\x00\x01", FALSE },
    { "{" SERVICE_AND_ADDRESS ",\"state\":\"ready\"," CAPACITY, FALSE },
#undef CAPACITY
#undef SERVICE_AND_ADDRESS
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (GBytes) value = g_bytes_new (cases[i].entry, strlen (cases[i].entry));
      FbListedWorker *worker = fb_wire_parse_worker ("i-1", value);
      if ((worker != NULL) != cases[i].is_worker)
        printf ("    entry %s\n", cases[i].entry);
      CU_ASSERT_EQUAL (worker != NULL, cases[i].is_worker);
      if (worker != NULL)
        fb_listed_worker_free (worker);
    }
}

/* Entries are modified and truncated at random: each yields either a worker with an address and a
 * capacity above 0, or none. */
static void
test_entries_at_random (void)
{
  static const char whole[]
      = "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"state\":\"ready\",\"slots\":8,"
        "\"capacity\":{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":8},\"labels\":[\"a\",\"r1-3\"]}";
  g_autoptr (GRand) rand = g_rand_new_with_seed (3);
  for (guint i = 0; i < 20000; i++)
    {
      char entry[sizeof whole];
      memcpy (entry, whole, sizeof whole);
      gsize len = (gsize) g_rand_int_range (rand, 0, sizeof whole);
      for (gint n = g_rand_int_range (rand, 0, 4); n > 0; n--)
        entry[g_rand_int_range (rand, 0, sizeof whole - 1)]
            = (char) g_rand_int_range (rand, 1, 256);
      len = g_rand_boolean (rand) ? sizeof whole - 1 : len;
      g_autoptr (GBytes) value = g_bytes_new (entry, len);
      FbListedWorker *worker = fb_wire_parse_worker ("i-1", value);
      if (worker == NULL)
        continue;
      CU_ASSERT_TRUE (worker->entry.cpu_milli > 0 && worker->entry.mem_mb > 0);
      CU_ASSERT_TRUE (strchr (worker->entry.address, ':') != NULL);
      fb_listed_worker_free (worker);
    }
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("wire", NULL, NULL);
  CU_add_test (suite, "deep messages", test_deep_messages);
  CU_add_test (suite, "malformed records", test_malformed_records);
  CU_add_test (suite, "malformed key in a page", test_malformed_key_in_a_page);
  CU_add_test (suite, "pages of malformed keys", test_pages_of_malformed_keys);
  CU_add_test (suite, "malformed rows of a group", test_malformed_rows_of_a_group);
  CU_add_test (suite, "jobs of callers", test_jobs);
  CU_add_test (suite, "a long payload", test_long_payload);
  CU_add_test (suite, "members of a step", test_step_members);
  CU_add_test (suite, "routes", test_routes);
  CU_add_test (suite, "results of appends", test_append_results);
  CU_add_test (suite, "records read back", test_records_read_back);
  CU_add_test (suite, "results of orders", test_order_results);
  CU_add_test (suite, "answers to polls", test_poll_answers);
  CU_add_test (suite, "ends that cannot be read", test_ends_that_cannot_be_read);
  CU_add_test (suite, "advice rows that cannot be read", test_advice_rows_that_cannot_be_read);
  CU_add_test (suite, "percentages", test_percentages);
  CU_add_test (suite, "answers of other incarnations", test_answers_of_other_incarnations);
  CU_add_test (suite, "names of incarnations", test_names_of_incarnations);
  CU_add_test (suite, "calls carry the worker's id", test_calls_carry_the_worker_id);
  CU_add_test (suite, "a worker entry", test_worker_entry);
  CU_add_test (suite, "entries of other writers", test_entries_of_other_writers);
  CU_add_test (suite, "entries at random", test_entries_at_random);
  CU_basic_set_mode (CU_BRM_NORMAL);
  CU_basic_run_tests ();
  int failed = CU_get_number_of_failures () > 0;
  CU_cleanup_registry ();
  return failed;
}
