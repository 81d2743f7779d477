/* Load generator of the demo: simulates callers of both partners and prints a table of outcomes.
 *
 * Sends each class of calls at a constant rate, round-robin to the daemons of its partner.  A call
 * without a response is retried at the next daemon if it is safe to repeat.  Violations of
 * guarantees are read from the audit record of the workers, not from the daemons. */
#include "fb-settings.h"
#include "fb-status.h"
#include "src/net/json.h"

#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT_MS 45000
#define JOB_POLL_INTERVAL_MS 250
#define MAX_TRIES 20

typedef struct
{
  const char *name;
  uint32_t partner;
  const char *path; /* of the HTTP interface */
  guint tasks;
  double per_s;
  gboolean has_key; /* sent with an idempotency key; calls of several tasks always are */
} ClassLoad;

static const ClassLoad loads[] = {
  { "check", 0, "/v1/requests", 1, 20, FALSE },
  { "pull-request", 0, "/v1/requests", 1, 4, TRUE },
  { "lockfile", 0, "/v1/jobs", 10, 2, FALSE },
  { "compat", 0, "/v1/jobs", 4, 0.25, FALSE },
  { "changelog", 0, "/v1/jobs", 8, 1.5, FALSE },
  { "reminder", 1, "/v1/requests", 1, 20, TRUE },
  { "call-list", 1, "/v1/requests", 1, 10, FALSE },
  { "voice", 1, "/v1/requests", 1, 6, FALSE },
  { "statement", 1, "/v1/jobs", 10, 2, FALSE },
};

enum
{
  ENDED_COMPLETED,
  ENDED_FAILED,
  ENDED_NOT_RUN,
  ENDED_UNKNOWN,
  ENDED_NO_ANSWER,
  ENDED_N
};

typedef struct
{
  guint requested;
  guint ended[ENDED_N];
  GArray *waits_ms; /* of guint32 */
  double calls_due; /* calls to send; the fraction is carried over to the next tick */
} ClassCount;

typedef struct
{
  guint class;
  guint number;
  guint tries;
  guint member; /* index of the daemon to which it is sent */
  char *job;    /* id of its job, which is polled; NULL: not known yet */
  gint64 started_us;
  SoupMessage *message;
} Call;

static FbCell *cell;
static ClassCount counts[G_N_ELEMENTS (loads)];
static SoupSession *session;
static GMainLoop *loop;
static guint open_calls;
static guint next_member[FB_PARTNER_N];
static gboolean sending = TRUE;
static guint64 run_id;

static int seconds = 30;
static double scale = 1;
static gboolean terse;
static int record_port;
static char *cell_path;

static void send_call (Call *call);

static guint
pick_member (uint32_t partner)
{
  guint n = cell->members->len;
  for (guint i = 0; i < n; i++)
    {
      guint member = (next_member[partner] + 1 + i) % n;
      if (fb_cell_member (cell, member)->partner == partner)
        {
          next_member[partner] = member;
          return member;
        }
    }
  return 0;
}

static void
end_call (Call *call, guint outcome_index, guint32 wait_ms)
{
  ClassCount *count = &counts[call->class];
  count->ended[outcome_index]++;
  if (outcome_index == ENDED_COMPLETED)
    g_array_append_val (count->waits_ms, wait_ms);
  open_calls--;
  g_clear_object (&call->message);
  g_free (call->job);
  g_free (call);
}

static gboolean
on_retry (gpointer data)
{
  send_call (data);
  return G_SOURCE_REMOVE;
}

/* Retries a call.  This is safe: the call has an idempotency key or a job id, or is idempotent. */
static void
retry_call (Call *call, guint wait_ms)
{
  gboolean has_timed_out = g_get_monotonic_time () - call->started_us > CALL_TIMEOUT_MS * 1000;
  if (has_timed_out || call->tries >= MAX_TRIES * (call->job != NULL ? 40 : 1))
    {
      end_call (call, ENDED_NO_ANSWER, 0);
      return;
    }
  call->member = pick_member (loads[call->class].partner);
  g_clear_object (&call->message);
  g_timeout_add (wait_ms, on_retry, call);
}

static guint
parse_outcome (const char *name)
{
  static const char *const names[] = { "completed", "failed", "not run", "unknown" };
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      if (g_strcmp0 (name, names[i]) == 0)
        return i;
    }
  return ENDED_N;
}

static void
on_answer (GObject *source, GAsyncResult *result, gpointer data)
{
  Call *call = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) body
      = soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);
  SoupMessageHeaders *headers = soup_message_get_response_headers (call->message);
  const char *outcome = body != NULL ? soup_message_headers_get_one (headers, "X-Outcome") : NULL;
  const char *waited = soup_message_headers_get_one (headers, "X-Waited-Ms");
  guint outcome_index = parse_outcome (outcome);
  const char *reason = soup_message_headers_get_one (headers, "X-Reason");
  gboolean not_run = outcome_index == ENDED_NOT_RUN && g_strcmp0 (reason, "past-due") != 0;
  gboolean key_unchecked = outcome_index == ENDED_UNKNOWN && g_strcmp0 (reason, "log-down") == 0;
  if ((not_run || key_unchecked) && call->tries < MAX_TRIES)
    {
      /* The caller retries both: "not run" is definite, and a call whose key could not be checked
       * may be repeated. */
      retry_call (call, 1000);
      return;
    }
  if (outcome_index < ENDED_N)
    {
      end_call (call, outcome_index,
                waited != NULL ? (guint32) g_ascii_strtoull (waited, NULL, 10) : 0);
      return;
    }
  if (g_strcmp0 (outcome, "pending") == 0 && call->job == NULL)
    call->job = g_strdup (soup_message_headers_get_one (headers, "X-Job"));
  retry_call (call, call->job != NULL ? JOB_POLL_INTERVAL_MS : 300);
}

static void
send_call (Call *call)
{
  const ClassLoad *load = &loads[call->class];
  const FbCellMember *member = fb_cell_member (cell, call->member);
  g_autofree char *url = NULL;
  if (call->job != NULL)
    url = g_strdup_printf ("http://%s:%u/v1/jobs/%s", member->host, member->http_port, call->job);
  else
    url = g_strdup_printf ("http://%s:%u%s?class=%s&tasks=%u", member->host, member->http_port,
                           load->path, load->name, load->tasks);
  call->message = soup_message_new (call->job != NULL ? "GET" : "POST", url);
  call->tries++;
  g_autofree char *key
      = g_strdup_printf ("%" G_GUINT64_FORMAT "-%s-%u", run_id, load->name, call->number);
  if (call->job == NULL && (load->has_key || load->tasks > 1))
    soup_message_headers_replace (soup_message_get_request_headers (call->message),
                                  "Idempotency-Key", key);
  soup_session_send_and_read_async (session, call->message, G_PRIORITY_DEFAULT, NULL, on_answer,
                                    call);
}

static gboolean
tick (gpointer unused)
{
  (void) unused;
  for (guint c = 0; c < G_N_ELEMENTS (loads) && sending; c++)
    {
      counts[c].calls_due += loads[c].per_s * scale * 0.05;
      while (counts[c].calls_due >= 1)
        {
          counts[c].calls_due -= 1;
          Call *call = g_new0 (Call, 1);
          call->class = c;
          call->number = counts[c].requested++;
          call->member = pick_member (loads[c].partner);
          call->started_us = g_get_monotonic_time ();
          open_calls++;
          send_call (call);
        }
    }
  if (!sending && open_calls == 0)
    g_main_loop_quit (loop);
  return G_SOURCE_CONTINUE;
}

static gboolean
stop_sending (gpointer unused)
{
  (void) unused;
  sending = FALSE;
  return G_SOURCE_REMOVE;
}

static gboolean
on_deadline (gpointer unused)
{
  (void) unused;
  g_main_loop_quit (loop);
  return G_SOURCE_REMOVE;
}

/* ---- the table -------------------------------------------------------- */

static int
compare_wait (gconstpointer a, gconstpointer b)
{
  guint32 x = *(const guint32 *) a;
  guint32 y = *(const guint32 *) b;
  return (x > y) - (x < y);
}

static guint32
percentile (GArray *waits, guint percent)
{
  if (waits->len == 0)
    return 0;
  g_array_sort (waits, compare_wait);
  return g_array_index (waits, guint32, (waits->len - 1) * percent / 100);
}

static void
print_classes (void)
{
  printf ("%-14s %6s %10s %7s %8s %8s %10s %9s %9s\n", "class", "calls", "completed", "failed",
          "not run", "unknown", "no answer", "wait p50", "wait p99");
  for (guint c = 0; c < G_N_ELEMENTS (loads); c++)
    {
      const ClassCount *count = &counts[c];
      printf ("%-14s %6u %10u %7u %8u %8u %10u %6u ms %6u ms\n", loads[c].name, count->requested,
              count->ended[ENDED_COMPLETED], count->ended[ENDED_FAILED],
              count->ended[ENDED_NOT_RUN], count->ended[ENDED_UNKNOWN],
              count->ended[ENDED_NO_ANSWER], percentile (count->waits_ms, 50),
              percentile (count->waits_ms, 99));
    }
}

static char *
fetch (const char *url)
{
  g_autoptr (SoupMessage) message = soup_message_new ("GET", url);
  g_autoptr (GBytes) body = soup_session_send_and_read (session, message, NULL, NULL);
  gsize len = 0;
  const char *text = body != NULL ? g_bytes_get_data (body, &len) : NULL;
  return text != NULL ? g_strndup (text, len) : NULL;
}

static double
read_metric (const char *text, const char *name)
{
  g_autofree char *start = g_strdup_printf ("\n%s ", name);
  const char *found = strstr (text, start);
  return found != NULL ? g_ascii_strtod (found + strlen (start), NULL) : 0;
}

static void
print_daemons (double elapsed_s)
{
  double cpu_s = 0;
  double bytes = 0;
  double memory = 0;
  guint n = 0;
  for (guint i = 0; i < cell->members->len; i++)
    {
      const FbCellMember *member = fb_cell_member (cell, i);
      g_autofree char *url
          = g_strdup_printf ("http://%s:%u/metrics", member->host, member->http_port);
      g_autofree char *text = fetch (url);
      if (text == NULL)
        continue;
      n++;
      double uptime_s = read_metric (text, "process_uptime_seconds");
      cpu_s += read_metric (text, "process_cpu_seconds_total") / MAX (uptime_s, 1);
      bytes += read_metric (text, "flamingobarrow_peer_bytes_sent_total") / MAX (uptime_s, 1);
      memory = MAX (memory, read_metric (text, "process_resident_memory_bytes"));
    }
  printf ("\ndaemons responding     %u of %u\n", n, cell->members->len);
  printf ("CPU per daemon         %.2f%% of a core\n", 100 * cpu_s / MAX (n, 1));
  printf ("bytes to peers         %.1f KB/s per daemon\n", bytes / 1000 / MAX (n, 1));
  printf ("largest daemon         %.1f MB resident\n", memory / 1e6);
  (void) elapsed_s;
}

/* Prints averages over the daemons that respond, in the format that tools/slopes.sh reads. */
static void
print_terse (void)
{
  static const char *const names[] = { "process_cpu_seconds_total",
                                       "process_uptime_seconds",
                                       "process_resident_memory_bytes",
                                       "flamingobarrow_peer_bytes_sent_total",
                                       "flamingobarrow_peer_messages_sent_total",
                                       "flamingobarrow_placements_total",
                                       "flamingobarrow_worker_syncs_total",
                                       "flamingobarrow_log_appends_total",
                                       "flamingobarrow_log_records_total",
                                       "flamingobarrow_platform_bytes_total" };
  double sums[G_N_ELEMENTS (names)] = { 0 };
  guint n = 0;
  for (guint i = 0; i < cell->members->len; i++)
    {
      const FbCellMember *member = fb_cell_member (cell, i);
      g_autofree char *url
          = g_strdup_printf ("http://%s:%u/metrics", member->host, member->http_port);
      g_autofree char *text = fetch (url);
      for (guint m = 0; text != NULL && m < G_N_ELEMENTS (names); m++)
        sums[m] += read_metric (text, names[m]);
      n += text != NULL ? 1 : 0;
    }
  printf ("%u", n);
  for (guint m = 0; m < G_N_ELEMENTS (names); m++)
    printf (" %.4f", sums[m] / MAX (n, 1));
  printf ("\n");
}

/* Returns: TRUE when the workers' audit record shows no violation. */
static gboolean
print_record (void)
{
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%d/record", record_port);
  g_autofree char *text = fetch (url);
  JsonObject *root = NULL;
  g_autoptr (JsonParser) parser = text != NULL ? fb_json_parse (text, strlen (text), &root) : NULL;
  if (parser == NULL)
    {
      printf ("the workers' record cannot be read\n");
      return FALSE;
    }
  gint64 duplicates = json_object_get_int_member_with_default (root, "doubled", -1);
  gint64 over_capacity = json_object_get_int_member_with_default (root, "over_capacity", -1);
  const char *violation = json_object_get_string_member_with_default (root, "broken", "");
  printf ("\naudit record of the workers\n");
  printf ("started                %" G_GINT64_FORMAT "\n",
          json_object_get_int_member_with_default (root, "starts", 0));
  printf ("stopped                %" G_GINT64_FORMAT "\n",
          json_object_get_int_member_with_default (root, "stopped", 0));
  printf ("lost with their host   %" G_GINT64_FORMAT "\n",
          json_object_get_int_member_with_default (root, "lost", 0));
  printf ("duplicate runs         %" G_GINT64_FORMAT "\n", duplicates);
  printf ("over capacity          %" G_GINT64_FORMAT "\n", over_capacity);
  printf ("CPU in use             %.1f%%\n",
          (double) json_object_get_int_member_with_default (root, "cpu_used_permille", 0) / 10);
  printf ("accelerators in use    %.1f%%\n",
          (double) json_object_get_int_member_with_default (root, "accel_used_permille", 0) / 10);
  if (violation[0] != '\0')
    printf ("VIOLATION: %s\n", violation);
  return duplicates == 0 && over_capacity == 0 && violation[0] == '\0';
}

static gboolean
all_answered (void)
{
  guint unanswered = 0;
  for (guint c = 0; c < G_N_ELEMENTS (loads); c++)
    unanswered += counts[c].ended[ENDED_NO_ANSWER];
  return unanswered == 0 && open_calls == 0;
}

int
main (int argc, char **argv)
{
  const GOptionEntry options[]
      = { { "cell", 'c', 0, G_OPTION_ARG_FILENAME, &cell_path, "Cell file", "FILE" },
          { "record-port", 'p', 0, G_OPTION_ARG_INT, &record_port, "Port of the workers' record",
            "N" },
          { "scale", 'x', 0, G_OPTION_ARG_DOUBLE, &scale, "Factor of the usual rates", "N" },
          { "terse", 't', 0, G_OPTION_ARG_NONE, &terse,
            "Print one line of averages over the daemons", NULL },
          { "seconds", 's', 0, G_OPTION_ARG_INT, &seconds, "How long calls are sent", "N" },
          { NULL, 0, 0, 0, NULL, NULL, NULL } };
  g_autoptr (GOptionContext) context = g_option_context_new ("- load generator of the demo");
  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL) || cell_path == NULL
      || record_port == 0)
    {
      fprintf (stderr, "usage: flamingobarrow-load --cell FILE --record-port N\n");
      return 2;
    }
  if (fb_settings_load_cell (cell_path, &cell) != FB_SETTINGS_OK)
    {
      fprintf (stderr, "%s\n", fb_status_message ());
      return 3;
    }
  for (guint c = 0; c < G_N_ELEMENTS (loads); c++)
    counts[c].waits_ms = g_array_new (FALSE, FALSE, sizeof (guint32));
  run_id = (guint64) g_get_real_time ();
  session = soup_session_new_with_options ("max-conns", 2000, "max-conns-per-host", 500, "timeout",
                                           50, NULL);
  loop = g_main_loop_new (NULL, FALSE);
  g_timeout_add (50, tick, NULL);
  g_timeout_add_seconds ((guint) seconds, stop_sending, NULL);
  g_timeout_add_seconds ((guint) seconds + CALL_TIMEOUT_MS / 1000 + 5, on_deadline, NULL);
  g_main_loop_run (loop);
  if (terse)
    {
      print_terse ();
      return 0;
    }
  print_classes ();
  gboolean record_ok = print_record ();
  print_daemons (seconds);
  gboolean answered = all_answered ();
  printf ("\n%s\n", !record_ok ? "A GUARANTEE WAS VIOLATED"
                    : answered ? "no guarantee was violated, and every call was answered"
                               : "no guarantee was violated; some calls got no response");
  return record_ok && answered ? 0 : 1;
}
