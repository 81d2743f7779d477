/* Unit tests of the modules that a node is built from, as tables of cases. */
#include "fb-cell.h"
#include "fb-policy.h"
#include "fb-status.h"
#include "fb-timer.h"
#include "internal/codec.h"
#include "internal/ini.h"
#include "internal/member.h"
#include "internal/node-query.h"
#include "internal/place.h"
#include "internal/router.h"
#include "internal/stream.h"

#include <CUnit/Basic.h>
#include <stddef.h>
#include <string.h>

/* ---- timer ------------------------------------------------------------ */

static void
count_call (gpointer user, uint64_t now_ms)
{
  (void) now_ms;
  (*(guint *) user)++;
}

static void
test_timer_calls_once_after_a_long_pause (void)
{
  guint calls = 0;
  FbTimer *timer = fb_timer_new (1000);
  guint id = fb_timer_subscribe (timer, 100, count_call, &calls);
  fb_timer_advance (timer, 1099);
  CU_ASSERT_EQUAL (calls, 0);
  fb_timer_advance (timer, 1100);
  CU_ASSERT_EQUAL (calls, 1);
  fb_timer_advance (timer, 9999);
  CU_ASSERT_EQUAL (calls, 2);
  fb_timer_advance (timer, 10000);
  CU_ASSERT_EQUAL (calls, 3);
  fb_timer_unsubscribe (timer, id);
  fb_timer_advance (timer, 99999);
  CU_ASSERT_EQUAL (calls, 3);
  fb_timer_free (timer);
}

/* ---- INI values ------------------------------------------------------- */

static void
test_ini_values (void)
{
  static const struct
  {
    FbIniType type;
    const char *text;
    gboolean ok;
    uint64_t value;
  } cases[] = {
    { FB_INI_MILLI, "0.5", TRUE, 500 },        { FB_INI_MILLI, "16", TRUE, 16000 },
    { FB_INI_MILLI, "-1", FALSE, 0 },          { FB_INI_MILLI, "1x", FALSE, 0 },
    { FB_INI_BYTES, "512M", TRUE, 512 << 20 }, { FB_INI_BYTES, "1.5K", TRUE, 1536 },
    { FB_INI_BYTES, "1e99G", FALSE, 0 },       { FB_INI_BYTES, "nan", FALSE, 0 },
    { FB_INI_DURATION, "9.2s", TRUE, 9200 },   { FB_INI_DURATION, "5m", TRUE, 300000 },
    { FB_INI_DURATION, "5", FALSE, 0 },        { FB_INI_PERCENT, "33", TRUE, 330 },
    { FB_INI_PERCENT, "101", FALSE, 0 },       { FB_INI_UINT, "7", TRUE, 7 },
    { FB_INI_UINT, "11", FALSE, 0 },           { FB_INI_UINT, "07x", FALSE, 0 },
    { FB_INI_BOOLEAN, "true", TRUE, 1 },       { FB_INI_BOOLEAN, "yes", FALSE, 0 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      uint64_t value = 0;
      FbIniField fields[2] = { { "key", cases[i].type, TRUE, 0, 0, NULL, 0 } };
      if (cases[i].type == FB_INI_UINT)
        fields[0].max = 10;
      g_autofree char *text = g_strdup_printf ("[g]\nkey=%s\n", cases[i].text);
      g_autoptr (GKeyFile) keys = fb_ini_load ("t.ini", text, strlen (text));
      FbIniStatus status = fb_ini_read_group (keys, "t.ini", "g", fields, &value);
      CU_ASSERT_EQUAL (status == FB_INI_OK, cases[i].ok);
      if (cases[i].ok)
        CU_ASSERT_EQUAL (value, cases[i].value);
      if (!cases[i].ok)
        CU_ASSERT_PTR_NOT_NULL (strstr (fb_status_message (), "t.ini: [g] key: expected"));
    }
}

/* ---- policy ----------------------------------------------------------- */

/* An empty file in a record must not crash the daemon. The record codec decodes it as a NULL
 * text. An operator drained a host and ended the drain again; the second revision contained an
 * empty file, and every daemon that read it crashed. */
static void
test_policy_accepts_an_empty_file_from_a_record (void)
{
  const fb_rec_file empty = { .name = "drain-h1.ini", .text = { .text_len = 0, .text_val = NULL } };
  FbPolicy *policy = NULL;
  CU_ASSERT_EQUAL (fb_policy_parse (0, &empty, 1, &policy), FB_POLICY_OK);
  CU_ASSERT_PTR_NOT_NULL_FATAL (policy);
  CU_ASSERT_FALSE (fb_policy_is_drained (policy, "h1"));
  fb_policy_free (policy);
}

/* ---- configuration ---------------------------------------------------- */

static void
ignore_send (gpointer user, guint member, const fb_msg *msg)
{
  (void) user;
  (void) member;
  (void) msg;
}

static void
ignore_append (gpointer user, const FbLogRecord *records, guint n)
{
  (void) user;
  (void) records;
  (void) n;
}

static void
ignore_read (gpointer user, uint32_t stream, uint64_t from)
{
  (void) user;
  (void) stream;
  (void) from;
}

static void
ignore_change (gpointer user, uint32_t partner, uint64_t serial)
{
  (void) user;
  (void) partner;
  (void) serial;
}

static GBytes *
config_record (uint64_t serial, const uint8_t *secret)
{
  fb_rec_file file = { .name = (char *) "p.ini" };
  fb_rec_revision revision = { 0, serial, { 1, &file } };
  g_autoptr (GBytes) bytes = fb_codec_encode_revision (&revision);
  gsize len = 0;
  const void *data = g_bytes_get_data (bytes, &len);
  fb_record record = { .format = FB_REC_VERSION };
  record.body.type = FB_REC_CONFIG;
  fb_rec_config *config = &record.body.fb_rec_body_u.config;
  config->revision.revision_len = (u_int) len;
  config->revision.revision_val = (char *) data;
  fb_policy_sign (secret, data, len, config->signature);
  return fb_codec_encode_record (&record);
}

/* A record signed with a foreign key must not displace a valid revision. The log has deleted
 * records that a daemon had not read yet; it still has a valid revision and, before it, one with
 * a higher serial number that another key has signed. The foreign one was kept as the best
 * candidate, and the partner's own revision was lost. */
static void
test_config_foreign_record_displaces_no_revision (void)
{
  static const FbNodeCallbacks callbacks
      = { ignore_send, NULL, ignore_append, ignore_read, NULL, ignore_change };
  uint8_t secret[FB_SIGN_SECRET_BYTES];
  uint8_t foreign[FB_SIGN_SECRET_BYTES];
  uint8_t public_key[FB_SIGN_PUBLIC_BYTES];
  FbCell *cell = fb_cell_new ();
  fb_policy_make_keys (public_key, foreign);
  fb_policy_make_keys (cell->partners[0].public_key, secret);
  cell->partners[0].name = g_strdup ("p");
  cell->partners[1].name = g_strdup ("q");
  fb_cell_add_member (cell, "d0", 0, 0);
  FbNodeConfig config = { .cell = cell, .incarnation = 1, .callbacks = &callbacks };
  FbNode *node = fb_node_new (&config, 1000);
  FbLogRecord records[] = { { FB_STREAM_CONFIG, 5, 0, config_record (99, foreign) },
                            { FB_STREAM_CONFIG, 6, 0, config_record (2, secret) } };
  FbLogPage page = { .first_retained = 5, .at_end = TRUE, .records = records, .record_n = 2 };
  fb_node_log_read (node, 1000, FB_STREAM_CONFIG, &page);
  CU_ASSERT_EQUAL (fb_node_config_serial (node, 0), 0);
  for (uint64_t now_ms = 1000; now_ms <= 20000; now_ms += 100)
    fb_node_advance (node, now_ms);
  CU_ASSERT_EQUAL (fb_node_config_serial (node, 0), 2);
  fb_node_free (node);
  fb_cell_free (cell);
  for (guint i = 0; i < G_N_ELEMENTS (records); i++)
    g_bytes_unref (records[i].data);
}

/* ---- streams: ownership by the order of records in the log -------------- */

typedef struct
{
  FbStream *stream;
  uint64_t offset;
} StreamTest;

static FbStreamResult
append (StreamTest *test, uint64_t writer, uint64_t seq, uint64_t epoch, const fb_rec_body *body)
{
  fb_record record = { .format = FB_REC_VERSION, .epoch = epoch, .writer = writer, .seq = seq };
  record.body = *body;
  GBytes *bytes = fb_codec_encode_record (&record);
  gsize len = 0;
  const void *data = g_bytes_get_data (bytes, &len);
  fb_record read;
  FbStreamResult result = fb_stream_read (test->stream, test->offset++, data, len, &read);
  if (result == FB_STREAM_OK || result == FB_STREAM_CLAIMED)
    fb_codec_clear_record (&read);
  g_bytes_unref (bytes);
  return result;
}

static FbStreamResult
append_claim (StreamTest *test, uint64_t writer, uint64_t seq, uint64_t previous)
{
  fb_rec_body body = { .type = FB_REC_CLAIM };
  body.fb_rec_body_u.claim = (fb_rec_claim){ 3, previous, 0, test->offset, (char *) "d", writer };
  return append (test, writer, seq, previous, &body);
}

static FbStreamResult
append_cancel (StreamTest *test, uint64_t writer, uint64_t seq, uint64_t epoch)
{
  fb_rec_body body = { .type = FB_REC_CANCEL };
  return append (test, writer, seq, epoch, &body);
}

/* Two daemons claim a shard after the same previous claim, and the old owner continues to write.
 * Every reader accepts the first claim and drops later records of the old epoch. */
static void
test_stream_first_claim_wins (void)
{
  StreamTest test = { fb_stream_new (3), 0 };
  CU_ASSERT_EQUAL (append_claim (&test, 1, 1, 0), FB_STREAM_CLAIMED);
  uint64_t first = fb_stream_epoch (test.stream);
  CU_ASSERT_EQUAL (append_cancel (&test, 1, 2, first), FB_STREAM_OK);
  CU_ASSERT_EQUAL (append_claim (&test, 2, 1, first), FB_STREAM_CLAIMED);
  CU_ASSERT_EQUAL (append_claim (&test, 3, 1, first), FB_STREAM_SUPERSEDED);
  CU_ASSERT_EQUAL (append_cancel (&test, 1, 3, first), FB_STREAM_SUPERSEDED);
  uint64_t second = fb_stream_epoch (test.stream);
  CU_ASSERT_EQUAL (append_cancel (&test, 2, 2, second), FB_STREAM_OK);
  CU_ASSERT_EQUAL (append_cancel (&test, 2, 2, second), FB_STREAM_DUPLICATE);
  /* A handover without the log increments the sub-epoch, which never decreases. */
  CU_ASSERT_EQUAL (append_cancel (&test, 4, 1, second + 1), FB_STREAM_OK);
  CU_ASSERT_EQUAL (append_cancel (&test, 2, 3, second), FB_STREAM_SUPERSEDED);
  fb_stream_free (test.stream);
}

/* The log has deleted the claim in force. A reader must not accept records before it reads a
 * RENEW record whose writer had read up to the offset where the reader began. */
static void
test_stream_validates_after_a_gap (void)
{
  StreamTest test = { fb_stream_new (3), 100 };
  fb_stream_set_first_retained (test.stream, 100);
  uint64_t epoch = fb_epoch_of_claim (50);
  fb_rec_body renew = { .type = FB_REC_RENEW };
  renew.fb_rec_body_u.renew.claim.owner = (char *) "d";
  CU_ASSERT_EQUAL (append_cancel (&test, 1, 7, epoch), FB_STREAM_SUPERSEDED);
  renew.fb_rec_body_u.renew.read_to = 99;
  CU_ASSERT_EQUAL (append (&test, 1, 8, epoch, &renew), FB_STREAM_SUPERSEDED);
  renew.fb_rec_body_u.renew.read_to = 101;
  CU_ASSERT_EQUAL (append (&test, 1, 9, epoch, &renew), FB_STREAM_CLAIMED);
  CU_ASSERT_EQUAL (fb_stream_epoch (test.stream), epoch);
  CU_ASSERT_EQUAL (fb_stream_validated_from (test.stream), 102);
  CU_ASSERT_EQUAL (append_cancel (&test, 1, 10, epoch), FB_STREAM_OK);
  fb_stream_free (test.stream);
}

/* The answer to an append of a claim was lost, so the claim was appended again, and the log has
 * deleted the first copy. A reader that began between the two must not accept the second copy as
 * a claim at its own offset. */
static void
test_stream_second_copy_of_a_claim (void)
{
  StreamTest test = { fb_stream_new (3), 100 };
  fb_stream_set_first_retained (test.stream, 100);
  fb_rec_body body = { .type = FB_REC_CLAIM };
  body.fb_rec_body_u.claim = (fb_rec_claim){ 3, 0, 0, 60, (char *) "d", 1 };
  CU_ASSERT_EQUAL (append (&test, 1, 1, 0, &body), FB_STREAM_SUPERSEDED);
  CU_ASSERT_EQUAL (fb_stream_epoch (test.stream), 0);
  CU_ASSERT_EQUAL (append_claim (&test, 2, 1, 0), FB_STREAM_CLAIMED);
  CU_ASSERT_EQUAL (fb_stream_epoch (test.stream), fb_epoch_of_claim (101));
  fb_stream_free (test.stream);
}

/* ---- placement -------------------------------------------------------- */

static void
test_accel_guard_reserves_capacity_for_accelerators (void)
{
  const fb_res host = { { 64000, 256ull << 30, 8, 8 } };
  static const struct
  {
    uint64_t cpu_free_milli;
    uint64_t accel_free;
    uint64_t cpu_milli;
    uint64_t accel;
    gboolean allowed;
  } cases[] = {
    { 64000, 8, 32000, 0, TRUE },  /* half of the host stays free for the eight accelerators */
    { 64000, 8, 33000, 0, FALSE }, /* would leave an accelerator without CPU */
    { 64000, 8, 33000, 1, TRUE },  /* uses an accelerator itself */
    { 8000, 0, 8000, 0, TRUE },    /* no accelerator is free */
  };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fb_res free = { { cases[i].cpu_free_milli, 256ull << 30, cases[i].accel_free, 8 } };
      fb_res demand = { { cases[i].cpu_milli, 1 << 30, cases[i].accel, 1 } };
      FbPlaceCandidate candidate = { &host, &free, &demand, 0, 500 };
      CU_ASSERT_EQUAL (fb_place_accel_guard.cost (&candidate) >= 0, cases[i].allowed);
    }
}

/* ---- membership ------------------------------------------------------- */

/* If one of seven daemons fails, only its own shards move. */
static void
test_rendezvous_moves_only_shards_of_the_failed_member (void)
{
  FbMembers *members = fb_members_new ();
  for (guint i = 0; i < 7; i++)
    {
      g_autofree char *name = g_strdup_printf ("d%u", i);
      fb_members_add (members, name, 0, 0);
    }
  fb_members_set_self (members, 0, 1);
  for (guint i = 1; i < 7; i++)
    fb_members_record_heartbeat (members, 1000, i, 1, FALSE);
  int before[200];
  for (guint s = 0; s < 200; s++)
    before[s] = fb_members_preferred_owner (members, s, 0, G_MAXUINT);
  for (guint i = 1; i < 6; i++)
    fb_members_record_heartbeat (members, 9000, i, 1, FALSE);
  fb_members_tick (members, 9000);
  CU_ASSERT_EQUAL (fb_members_state (members, 6), FB_MEMBER_SUSPECTED);
  guint moved = 0;
  for (guint s = 0; s < 200; s++)
    {
      int now = fb_members_preferred_owner (members, s, 0, G_MAXUINT);
      if (before[s] != 6)
        CU_ASSERT_EQUAL (now, before[s]);
      moved += now != before[s] ? 1 : 0;
    }
  CU_ASSERT (moved > 10 && moved < 60);
  fb_members_free (members);
}

/* ---- quotas ----------------------------------------------------------- */

/* The sum of the quota slices of all racks does not exceed the quota. */
static void
test_quota_slices_never_exceed_the_quota (void)
{
  FbCell *cell = fb_cell_new ();
  const fb_res host = { { 16000, 32ull << 30, 0, 8 } };
  for (guint r = 0; r < 7; r++)
    {
      g_autofree char *name = g_strdup_printf ("r%u", r);
      FbCellRack *rack = fb_cell_add_rack (cell, name, 0, 0, &host);
      for (guint h = 0; h < r + 1; h++)
        fb_cell_add_host (rack, "h", "");
    }
  const fb_res quota = { { 100000, 0, 0, 0 } };
  uint64_t sum = 0;
  for (guint r = 0; r < 7; r++)
    sum += fb_cell_quota_slice (cell, fb_cell_rack (cell, r), &quota).amount[FB_RES_CPU_MILLI];
  CU_ASSERT (sum <= 100000 && sum > 99900);
  fb_cell_free (cell);
}

/* ---- progress of a job --------------------------------------------------- */

/* Progress records without suspects, as older daemons wrote them, are still read: they equal
 * today's records of jobs without crashes. A record that is truncated, or followed by other bytes,
 * is rejected. */
static void
test_progress_with_and_without_suspects (void)
{
  fb_work_task_progress task_progress = { .attempt = 3, .done = TRUE, .checkpoint = "c" };
  const fb_work_progress written
      = { .state = FB_WORK_RUNNING, .task_progress = { 1, &task_progress } };
  u_quad_t isolated[] = { 7 };
  u_quad_t shared[] = { 8, 9 };
  fb_work_unresolved_start unresolved
      = { .worker = (char *) "w", .address = (char *) "10.0.0.9:80" };
  fb_work_suspect suspect = { .index = 2, .unresolved = { 1, &unresolved } };
  suspect.isolated.isolated_len = 1;
  suspect.isolated.isolated_val = isolated;
  suspect.shared.shared_len = 2;
  suspect.shared.shared_val = shared;
  const fb_work_suspects none = { 0 };
  const fb_work_suspects one = { .tasks = { 1, &suspect } };
  g_autoptr (GBytes) old = fb_codec_encode_progress (&written, &none);
  g_autoptr (GBytes) whole = fb_codec_encode_progress (&written, &one);
  gsize old_len = g_bytes_get_size (old);
  gsize whole_len = g_bytes_get_size (whole);
  const char *bytes = g_bytes_get_data (whole, NULL);
  CU_ASSERT_TRUE (memcmp (bytes, g_bytes_get_data (old, NULL), old_len) == 0);
  for (gsize len = 0; len <= whole_len; len++)
    {
      fb_work_progress progress;
      fb_work_suspects suspects;
      gboolean read = fb_codec_decode_progress (bytes, len, &progress, &suspects);
      CU_ASSERT_EQUAL (read, len == old_len || len == whole_len);
      if (!read)
        continue;
      CU_ASSERT_EQUAL (progress.task_progress.task_progress_val[0].attempt, 3);
      CU_ASSERT_EQUAL (suspects.tasks.tasks_len, len == whole_len);
      if (len == whole_len)
        {
          CU_ASSERT_EQUAL (suspects.tasks.tasks_val[0].isolated.isolated_val[0], 7);
          CU_ASSERT_EQUAL (suspects.tasks.tasks_val[0].shared.shared_len, 2);
          CU_ASSERT_STRING_EQUAL (suspects.tasks.tasks_val[0].unresolved.unresolved_val[0].worker,
                                  "w");
        }
      fb_codec_clear_progress (&progress, &suspects);
    }
}

/* A daemon of the previous version takes the record for the progress of a job. If that were read as
 * the progress of an ended job, it would be kept and shown to callers. */
static void
test_silent_workers_are_not_progress_of_an_ended_job (void)
{
  fb_work_step_runs runs[] = { { (char *) "j.0.0", 2 }, { (char *) "k.0.1", 1 } };
  fb_work_label label = { (char *) "kind-a" };
  fb_work_silent_worker rows[2] = { { .id = (char *) "w1", .size_known = TRUE, .cpu_milli = 16000 },
                                    { .id = (char *) "w2", .lease_known = TRUE } };
  rows[0].labels.labels_len = 1;
  rows[0].labels.labels_val = &label;
  rows[1].runs.runs_len = 2;
  rows[1].runs.runs_val = runs;
  fb_work_reference_clock clock = { (char *) "w3", 5000 };
  fb_work_silent_workers written
      = { .state = FB_WORK_QUEUED, .workers = { 2, rows }, .clocks = { 1, &clock } };
  for (guint i = 0; i < 1000; i++)
    {
      written.workers_hash = i * G_GUINT64_CONSTANT (0x9e3779b97f4a7c15);
      written.workers.workers_len = i % 3;
      written.clocks.clocks_len = i % 2;
      g_autoptr (GBytes) bytes = fb_codec_encode_silent_workers (&written);
      gsize len = 0;
      gconstpointer data = g_bytes_get_data (bytes, &len);
      fb_work_silent_workers record;
      CU_ASSERT_TRUE_FATAL (fb_codec_decode_silent_workers (data, len, &record));
      CU_ASSERT_EQUAL (record.workers_hash, written.workers_hash);
      CU_ASSERT_EQUAL (record.workers.workers_len, i % 3);
      xdr_free ((xdrproc_t) xdr_fb_work_silent_workers, (char *) &record);
      fb_work_progress progress;
      fb_work_suspects suspects;
      if (!fb_codec_decode_progress (data, len, &progress, &suspects))
        continue;
      CU_ASSERT_EQUAL (progress.state, FB_WORK_QUEUED);
      fb_codec_clear_progress (&progress, &suspects);
    }
}

static const CU_TestInfo tests[] = {
  { "timer calls once after a long pause", test_timer_calls_once_after_a_long_pause },
  { "INI values", test_ini_values },
  { "empty policy file from a record", test_policy_accepts_an_empty_file_from_a_record },
  { "foreign record displaces no revision", test_config_foreign_record_displaces_no_revision },
  { "first claim wins", test_stream_first_claim_wins },
  { "a stream is validated after a gap", test_stream_validates_after_a_gap },
  { "second copy of a claim", test_stream_second_copy_of_a_claim },
  { "accelerator guard", test_accel_guard_reserves_capacity_for_accelerators },
  { "rendezvous moves few shards", test_rendezvous_moves_only_shards_of_the_failed_member },
  { "progress with and without suspects", test_progress_with_and_without_suspects },
  { "silent workers are not progress", test_silent_workers_are_not_progress_of_an_ended_job },
  { "quota slices", test_quota_slices_never_exceed_the_quota },
  CU_TEST_INFO_NULL,
};

int
main (void)
{
  CU_SuiteInfo suites[]
      = { { .pName = "units", .pTests = (CU_TestInfo *) tests }, CU_SUITE_INFO_NULL };
  if (CU_initialize_registry () != CUE_SUCCESS || CU_register_suites (suites) != CUE_SUCCESS)
    return 2;
  CU_basic_set_mode (CU_BRM_NORMAL);
  CU_basic_run_tests ();
  guint failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
