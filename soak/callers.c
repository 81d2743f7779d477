#include "callers.h"

#include <libsoup/soup.h>
#include <string.h>

/* A submission without a response for this time is repeated with the same id. */
#define CALL_TIMEOUT_S 3
#define MAX_SUBMIT_TRIES 4
#define POLL_INTERVAL_MS 700
/* On average one job is submitted per this many ticks. */
#define TICKS_PER_JOB 3
/* On average a job is submitted again instead of one of this many of its calls. */
#define TICKS_PER_REPEAT 4
#define CRASHING_PERCENT 2
#define LONG_RUNNING_PERCENT 8
/* Of the jobs with stops. */
#define CHECKPOINTING_PERCENT 9
#define WIDE_PERCENT 9
#define GANG_PERCENT 7
#define LASTING_PERCENT 9
/* With long tasks one of this many jobs has them. */
#define LONG_TASKS_EVERY 24
#define STOPS_SEED 0x50000
/* Jobs whose tasks end by themselves are cancelled at this rate, the others always. */
#define CANCELLED_PERCENT 30
#define MAX_CANCEL_DELAY_MS 4000
/* Of the cancels, those that are sent beside the first submission, and those that are sent again
 * after their acknowledgement. */
#define EARLY_CANCEL_PERCENT 35
#define REPEATED_CANCEL_PERCENT 25
/* An early cancel is sent at most so long before or after the first submission. */
#define MAX_EARLY_CANCEL_MS 400
/* Daemons keep the ends of jobs for so long. */
#define ENDS_KEPT_MS 300000

typedef enum
{
  JOB_PLAIN,
  JOB_CRASHING,      /* its task crashes workers; the job may fail */
  JOB_LASTING,       /* its tasks run for seconds */
  JOB_LONG,          /* its tasks run for longer than any lease */
  JOB_LONG_RUNNING,  /* its tasks do not end; it is always cancelled */
  JOB_CHECKPOINTING, /* of low priority; its tasks run for seconds and save checkpoints */
  JOB_WIDE,          /* each task of its second step needs a whole worker */
  JOB_GANG           /* its second step is a gang */
} JobKind;

typedef struct
{
  char id[17];
  JobKind kind;
  guint tries;    /* submissions */
  guint refusals; /* submissions that were answered 429 or 503 */
  gboolean accepted;
  gboolean abandoned;     /* not accepted after MAX_SUBMIT_TRIES */
  gint64 submit_at_ms;    /* when it is first submitted */
  gboolean is_cancelled;  /* its caller cancels it */
  gboolean cancels_early; /* at cancel_at_ms, whether it was accepted or not */
  gint64 cancel_at_ms;    /* if cancels_early; else after its acceptance, or its abandonment */
  guint acks_wanted;      /* acknowledgements of its cancel that are waited for */
  guint cancel_acks;      /* acknowledgements of its cancel */
  gint64 last_cancel_ms;  /* when a cancel was last sent */
  gboolean cancel_sent;
  gboolean cancel_pending;     /* a cancel has no response yet */
  gboolean must_end_cancelled; /* its cancel was acknowledged before its first submission */
  gboolean call_pending;       /* another call for it has no response yet */
  char end[16];                /* final state as last reported; "": none yet */
  gint64 accepted_ms;
  gint64 last_call_ms;
} Job;

struct _SoakCallers
{
  SoakProcesses *processes;
  SoakPlatform *platform;
  guint daemon_n;
  SoakCallersSetup setup;
  GRand *rand;
  GRand *stops_rand; /* for the kinds of jobs with stops */
  SoupSession *session;
  GPtrArray *jobs; /* of Job */
  SoakCounts counts;
  char *violation; /* text of the first one; NULL: none */
  guint pending;   /* calls without a response yet */
};

typedef struct
{
  SoakCallers *callers;
  Job *job;
  SoupMessage *message;
  gboolean was_accepted; /* the job had been accepted when the call was sent */
} Call;

static gint64
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

G_GNUC_PRINTF (2, 3)
static void
report_violation (SoakCallers *self, const char *format, ...)
{
  if (self->violation != NULL)
    return;
  va_list args;
  va_start (args, format);
  self->violation = g_strdup_vprintf (format, args);
  va_end (args);
}

/* ---- answers --------------------------------------------------------------------- */

/* Statuses that leave open whether a call took effect, or say that it did not. */
static gboolean
is_to_be_repeated (guint status)
{
  return status == 0 || status == 429 || (status >= 502 && status <= 504);
}

static void
handle_submit_answer (SoakCallers *self, Job *job, guint status)
{
  if (status == 200)
    {
      self->counts.accepted += !job->accepted;
      job->accepted_ms = job->accepted ? job->accepted_ms : now_ms ();
      job->accepted = TRUE;
    }
  else if (status == 429 || status == 503)
    job->refusals++;
  else if (!is_to_be_repeated (status))
    report_violation (self, "job %s was answered %u", job->id, status);
}

static void
handle_cancel_answer (SoakCallers *self, const Call *call, guint status)
{
  Job *job = call->job;
  if (status != 200 && status != 410)
    {
      if (!is_to_be_repeated (status))
        report_violation (self, "the cancel of job %s was answered %u", job->id, status);
      return;
    }
  if (status == 410 && call->was_accepted && now_ms () < job->accepted_ms + ENDS_KEPT_MS)
    report_violation (self, "the cancel of the accepted job %s was answered 410", job->id);
  if (job->cancel_acks++ > 0)
    return;
  self->counts.cancelled++;
  job->must_end_cancelled = job->tries == 0;
  soak_platform_control (self->platform, "{\"cancelled\":\"%s\"}", job->id);
}

static void
handle_state_answer (SoakCallers *self, Job *job, guint status, GBytes *body)
{
  if (status == 410 && *job->end != '\0')
    report_violation (self, "job %s was answered as %s and then as unknown", job->id, job->end);
  if (status != 200 || body == NULL)
    return;
  g_autofree char *text = g_strndup (g_bytes_get_data (body, NULL), g_bytes_get_size (body));
  static const char *const ends[] = { "completed", "failed", "cancelled" };
  const char *end = "";
  for (guint i = 0; i < G_N_ELEMENTS (ends); i++)
    end = strstr (text, ends[i]) != NULL ? ends[i] : end;
  if (*job->end != '\0' && !g_str_equal (job->end, end))
    report_violation (self, "job %s was answered as %s, then as %s", job->id, job->end, text);
  if (g_str_equal (end, "failed") && job->kind != JOB_CRASHING)
    report_violation (self, "job %s failed without cause", job->id);
  if (g_str_equal (end, "completed")
      && (job->kind == JOB_CRASHING || job->kind == JOB_LONG_RUNNING))
    report_violation (self, "job %s completed although its tasks cannot", job->id);
  if (job->must_end_cancelled && *end != '\0' && !g_str_equal (end, "cancelled"))
    report_violation (self, "job %s, cancelled before its submission, was answered as %s", job->id,
                      end);
  if (g_str_equal (end, "cancelled") && !job->cancel_sent)
    report_violation (self, "job %s was cancelled without a request", job->id);
  self->counts.ended += *job->end == '\0' && *end != '\0';
  g_strlcpy (job->end, end, sizeof job->end);
}

static void
on_answer (GObject *session, GAsyncResult *result, gpointer user)
{
  Call *call = user;
  SoakCallers *self = call->callers;
  Job *job = call->job;
  g_autoptr (GBytes) body
      = soup_session_send_and_read_finish (SOUP_SESSION (session), result, NULL);
  guint status = body != NULL ? soup_message_get_status (call->message) : 0;
  const char *method = soup_message_get_method (call->message);
  self->counts.answered += status != 0;
  self->counts.unanswered += status == 0;
  if (g_str_equal (method, "DELETE"))
    job->cancel_pending = FALSE;
  else
    job->call_pending = FALSE;
  if (g_str_equal (method, "POST"))
    handle_submit_answer (self, job, status);
  else if (g_str_equal (method, "DELETE"))
    handle_cancel_answer (self, call, status);
  else
    handle_state_answer (self, job, status, body);
  self->pending--;
  g_object_unref (call->message);
  g_free (call);
}

/* ---- calls ------------------------------------------------------------------------- */

static void
send_call (SoakCallers *self, Job *job, const char *method, const char *body)
{
  guint i = (guint) g_rand_int_range (self->rand, 0, (gint32) self->daemon_n);
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u/%s/%s",
                                          soak_link_port (soak_caller_link (self->processes, i)),
                                          job->kind == JOB_CHECKPOINTING ? "low" : "q", job->id);
  Call *call = g_new0 (Call, 1);
  call->callers = self;
  call->job = job;
  call->message = soup_message_new (method, url);
  soup_message_headers_replace (soup_message_get_request_headers (call->message), "Host",
                                "h.example");
  if (body != NULL)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
      soup_message_set_request_body_from_bytes (call->message, "application/json", bytes);
    }
  call->was_accepted = job->accepted;
  if (g_str_equal (method, "DELETE"))
    {
      job->cancel_pending = TRUE;
      job->cancel_sent = TRUE;
      job->last_cancel_ms = now_ms ();
    }
  else
    {
      job->call_pending = TRUE;
      job->last_call_ms = now_ms ();
    }
  self->pending++;
  soup_session_send_and_read_async (self->session, call->message, G_PRIORITY_DEFAULT, NULL,
                                    on_answer, call);
}

static void
submit_job (SoakCallers *self, Job *job)
{
  static const char *const bodies[] = {
    [JOB_PLAIN] = "{\"spec\":\"%u\",\"phases\":[{\"count\":3,\"cpu\":2000,\"mem-mb\":100,"
                  "\"estimate-ms\":300},{\"count\":1,\"cpu\":2000,\"mem-mb\":100,"
                  "\"estimate-ms\":300,\"after\":[0]}]}",
    [JOB_CRASHING] = "{\"spec\":\"crash %u\",\"phases\":[{\"count\":1,\"cpu\":2000,\"mem-mb\":100,"
                     "\"estimate-ms\":300}]}",
    [JOB_LASTING] = "{\"spec\":\"%u\",\"phases\":[{\"count\":3,\"cpu\":2000,\"mem-mb\":100,"
                    "\"estimate-ms\":5000}]}",
    [JOB_LONG] = "{\"spec\":\"%u\",\"phases\":[{\"count\":4,\"cpu\":2000,\"mem-mb\":100,"
                 "\"estimate-ms\":14000}]}",
    [JOB_LONG_RUNNING]
    = "{\"spec\":\"600000%u\",\"phases\":[{\"count\":2,\"cpu\":2000,\"mem-mb\":100,"
      "\"long-running\":true}]}",
    [JOB_CHECKPOINTING]
    = "{\"spec\":\"%u saves=1,1\",\"phases\":[{\"count\":6,\"cpu\":2000,\"mem-mb\":100,"
      "\"estimate-ms\":3500,\"checkpointing\":true},{\"count\":2,\"cpu\":2000,\"mem-mb\":100,"
      "\"estimate-ms\":3500,\"checkpointing\":true,\"after\":[0]}]}",
    [JOB_WIDE]
    = "{\"spec\":\"%u cpu=2000,8000\",\"phases\":[{\"count\":1,\"cpu\":2000,\"mem-mb\":100,"
      "\"estimate-ms\":300},{\"count\":2,\"cpu\":8000,\"mem-mb\":100,"
      "\"estimate-ms\":300,\"after\":[0]}]}",
    [JOB_GANG] = "{\"spec\":\"%u cpu=2000,4000 gang=0,3\",\"phases\":[{\"count\":1,\"cpu\":2000,"
                 "\"mem-mb\":100,\"estimate-ms\":300},{\"count\":3,\"cpu\":4000,\"mem-mb\":100,"
                 "\"estimate-ms\":300,\"gang\":true,\"after\":[0]}]}",
  };
  g_auto (GStrv) parts = g_strsplit (bodies[job->kind], "%u", 2);
  /* The run time is derived from the id, so that repeated submissions of a job have the same body.
   */
  guint number = (guint) g_ascii_strtoull (job->id + 8, NULL, 16);
  guint work_ms = 50 + number % 700;
  if (job->kind == JOB_LASTING)
    work_ms = 2000 + number * 613 % 6000;
  else if (job->kind == JOB_LONG)
    work_ms = 11000 + number * 613 % 5000;
  else if (job->kind == JOB_CHECKPOINTING)
    work_ms = 2000 + number * 613 % 3000;
  g_autofree char *run_ms = g_strdup_printf ("%u", work_ms);
  g_autofree char *body = g_strjoin (run_ms, parts[0], parts[1], NULL);
  job->tries++;
  send_call (self, job, "POST", body);
}

static gboolean
draw_percent (SoakCallers *self, guint percent)
{
  return (guint) g_rand_int_range (self->rand, 0, 100) < percent;
}

/* Decides whether and when JOB is cancelled. */
static void
draw_cancel (SoakCallers *self, Job *job)
{
  job->submit_at_ms = now_ms ();
  job->is_cancelled = job->kind == JOB_LONG_RUNNING || draw_percent (self, CANCELLED_PERCENT);
  job->cancels_early = job->is_cancelled && draw_percent (self, EARLY_CANCEL_PERCENT);
  job->acks_wanted = job->is_cancelled ? 1 + draw_percent (self, REPEATED_CANCEL_PERCENT) : 0;
  job->cancel_at_ms = g_rand_int_range (self->rand, 0, MAX_CANCEL_DELAY_MS);
  if (!job->cancels_early)
    return;
  gint64 offset_ms = g_rand_int_range (self->rand, -MAX_EARLY_CANCEL_MS, MAX_EARLY_CANCEL_MS);
  job->submit_at_ms += MAX (-offset_ms, 0);
  job->cancel_at_ms = now_ms () + MAX (offset_ms, 0);
}

static JobKind
draw_kind_with_stops (SoakCallers *self)
{
  guint drawn = (guint) g_rand_int_range (self->stops_rand, 0, 100);
  if (drawn < CHECKPOINTING_PERCENT)
    return JOB_CHECKPOINTING;
  if (drawn < CHECKPOINTING_PERCENT + WIDE_PERCENT)
    return JOB_WIDE;
  drawn -= CHECKPOINTING_PERCENT + WIDE_PERCENT;
  if (drawn < GANG_PERCENT)
    return JOB_GANG;
  return drawn < GANG_PERCENT + LASTING_PERCENT ? JOB_LASTING : JOB_PLAIN;
}

static void
new_job (SoakCallers *self)
{
  Job *job = g_new0 (Job, 1);
  g_snprintf (job->id, sizeof job->id, "%08x%08x", g_rand_int (self->rand), self->jobs->len + 1);
  guint drawn = (guint) g_rand_int_range (self->rand, 0, 100);
  /* Long tasks beside crashing ones reach the limit of crashes without cause. */
  if (drawn < CRASHING_PERCENT && !self->setup.long_tasks)
    job->kind = JOB_CRASHING;
  else if (drawn < CRASHING_PERCENT + LONG_RUNNING_PERCENT)
    job->kind = JOB_LONG_RUNNING;
  else if (self->setup.long_tasks && self->jobs->len % LONG_TASKS_EVERY == 0)
    job->kind = JOB_LONG;
  else if (self->setup.lasting && self->jobs->len % 4 == 0)
    job->kind = JOB_LASTING;
  else if (self->setup.stops)
    job->kind = draw_kind_with_stops (self);
  g_ptr_array_add (self->jobs, job);
  self->counts.submitted++;
  draw_cancel (self, job);
}

/* Returns: TRUE when the cancel of JOB is to be sent, for the first time or again. */
static gboolean
cancel_is_due (const Job *job)
{
  if (job->cancel_acks >= job->acks_wanted || job->cancel_pending)
    return FALSE;
  if (job->cancel_sent)
    return now_ms () >= job->last_cancel_ms + POLL_INTERVAL_MS;
  if (job->cancels_early)
    return now_ms () >= job->cancel_at_ms;
  return job->abandoned || (job->accepted && now_ms () >= job->accepted_ms + job->cancel_at_ms);
}

/* Returns: TRUE when the accepted JOB is to be submitted again in place of another call. */
static gboolean
is_repeated (const SoakCallers *self, const Job *job)
{
  return self->setup.repeats && !job->cancel_sent
         && g_rand_int_range (self->rand, 0, TICKS_PER_REPEAT) == 0;
}

static void
job_tick (SoakCallers *self, Job *job)
{
  if (cancel_is_due (job))
    send_call (self, job, "DELETE", NULL);
  if (job->call_pending || job->abandoned || now_ms () < job->submit_at_ms
      || now_ms () < job->last_call_ms + POLL_INTERVAL_MS)
    return;
  gboolean has_ended = *job->end != '\0';
  if (job->tries < MAX_SUBMIT_TRIES && (!job->accepted || is_repeated (self, job)))
    submit_job (self, job);
  else if (!job->accepted)
    job->abandoned = TRUE;
  else if (!has_ended || g_rand_int_range (self->rand, 0, 20) == 0)
    send_call (self, job, "GET", NULL); /* occasionally also after the job has ended */
}

/* ---- public ---------------------------------------------------------------------------- */

SoakCallers *
soak_callers_new (SoakProcesses *processes, SoakPlatform *platform, guint daemon_n, guint32 seed,
                  const SoakCallersSetup *setup)
{
  SoakCallers *self = g_new0 (SoakCallers, 1);
  self->processes = processes;
  self->platform = platform;
  self->daemon_n = daemon_n;
  self->setup = *setup;
  self->rand = g_rand_new_with_seed (seed + 1);
  self->stops_rand = g_rand_new_with_seed (seed + STOPS_SEED);
  self->jobs = g_ptr_array_new_with_free_func (g_free);
  /* Connections are reused until the daemon closes them. */
  self->session = soup_session_new_with_options ("timeout", CALL_TIMEOUT_S, "max-conns", 64,
                                                 "max-conns-per-host", 8, NULL);
  return self;
}

void
soak_callers_free (SoakCallers *self)
{
  soup_session_abort (self->session);
  while (self->pending > 0)
    g_main_context_iteration (NULL, TRUE);
  g_object_unref (self->session);
  g_ptr_array_unref (self->jobs);
  g_rand_free (self->rand);
  g_rand_free (self->stops_rand);
  g_free (self->violation);
  g_free (self);
}

void
soak_callers_tick (SoakCallers *self, gboolean no_new_jobs)
{
  if (!no_new_jobs && (self->setup.heavy || g_rand_int_range (self->rand, 0, TICKS_PER_JOB) == 0))
    new_job (self);
  for (guint i = 0; i < self->jobs->len; i++)
    job_tick (self, self->jobs->pdata[i]);
}

static const Job *
find_unfinished_job (const SoakCallers *self)
{
  for (guint i = 0; i < self->jobs->len; i++)
    {
      const Job *job = self->jobs->pdata[i];
      if ((*job->end == '\0' && !job->abandoned) || job->cancel_acks < job->acks_wanted)
        return job;
    }
  return NULL;
}

gboolean
soak_callers_all_ended (const SoakCallers *self)
{
  return find_unfinished_job (self) == NULL;
}

char *
soak_callers_unfinished_job (const SoakCallers *self)
{
  const Job *job = find_unfinished_job (self);
  return job != NULL ? g_strdup (job->id) : NULL;
}

char **
soak_callers_refused (const SoakCallers *self)
{
  GPtrArray *ids = g_ptr_array_new ();
  for (guint i = 0; i < self->jobs->len; i++)
    {
      const Job *job = self->jobs->pdata[i];
      if (job->abandoned && job->refusals == job->tries)
        g_ptr_array_add (ids, g_strdup (job->id));
    }
  g_ptr_array_add (ids, NULL);
  return (char **) g_ptr_array_free (ids, FALSE);
}

const char *
soak_callers_violation (const SoakCallers *self)
{
  return self->violation;
}

SoakCounts
soak_callers_counts (const SoakCallers *self)
{
  return self->counts;
}
