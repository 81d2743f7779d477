/* Asks the owner of an overloaded pool about a caller's job before the job is stored.
 *
 * Only a refusal by the owner, on information of the last moment, keeps a job from being stored:
 * without a notice, without an answer, or with any other answer it is stored as if there were no
 * overload.  Nothing has been sent to the store before a refusal, so "not run" is true. */
#include "frontend-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "internal/codec.h"

/* Timeout of the question.  A caller waits 3 s, and storing its job takes up to 2.6 s. */
#define TIMEOUT_MS 250
#define STATUS_TOO_MANY_REQUESTS 429

typedef struct
{
  FbFrontendRequest *request;
  GBytes *value; /* the record to store */
} Question;

/* Returns: (transfer full): VALUE with the job accepted AGE_MS earlier, at its caller's first
 * attempt. */
static GBytes *
value_with_age (GBytes *value, uint64_t age_ms)
{
  fb_work_admit admit;
  gsize len = 0;
  gconstpointer data = g_bytes_get_data (value, &len);
  if (age_ms == 0 || !fb_codec_decode_admit (data, len, &admit))
    return g_bytes_ref (value);
  admit.accepted_ms -= MIN (admit.accepted_ms, age_ms);
  GBytes *with_age = fb_codec_encode_admit (&admit);
  xdr_free ((xdrproc_t) xdr_fb_work_admit, (char *) &admit);
  return with_age != NULL ? with_age : g_bytes_ref (value);
}

static void
store (FbFrontendRequest *request, GBytes *value, uint64_t age_ms)
{
  g_autoptr (GBytes) with_age = value_with_age (value, age_ms);
  fb_entry_frontend_store (request, FB_KEY_JOB, with_age);
}

static void
refuse (FbFrontendRequest *request, const fb_admission_reply *reply)
{
  guint retry_after_s = (reply->retry_after_ms + 999) / 1000;
  g_autofree char *header = g_strdup_printf ("%u", retry_after_s);
  g_autofree char *body = g_strdup_printf (
      "{\"error\":\"not run: the pool is overloaded, and the job would end in %" G_GUINT64_FORMAT
      " ms at the earliest, too late to be of value\"}",
      (guint64) reply->forecast_end_ms);
  fb_counter_add (FB_COUNTER_REFUSED_BY_FORECAST, 1);
  fb_entry_frontend_log (request, FB_EVENT_JOB_REFUSED, "no value by forecast");
  soup_message_headers_replace (soup_server_message_get_response_headers (request->message),
                                "Retry-After", header);
  fb_entry_frontend_finish (request, STATUS_TOO_MANY_REQUESTS, body);
}

static void
on_answer (gpointer data, const fb_peer_reply *peer_reply)
{
  Question *question = data;
  FbFrontendRequest *request = question->request;
  const fb_admission_reply *reply = peer_reply != NULL && peer_reply->type == FB_REPLY_ADMISSION
                                        ? &peer_reply->fb_peer_reply_u.admission
                                        : NULL;
  FbAdmissionAnswer answer = fb_entry_frontend_admission_answer (
      request->entry->recent_appends, request->job, reply, fb_clock_ms ());
  if (reply == NULL)
    fb_counter_add (FB_COUNTER_ADMITTED_UNANSWERED, 1);
  if (answer == FB_ADMISSION_KNOWN)
    {
      fb_entry_frontend_log (request, FB_EVENT_JOB_ACCEPTED, "known");
      fb_entry_frontend_finish (request, SOUP_STATUS_OK, "{}");
    }
  else if (answer == FB_ADMISSION_REFUSE)
    refuse (request, reply);
  else
    store (request, question->value, reply != NULL ? reply->age_ms : 0);
  g_bytes_unref (question->value);
  g_free (question);
}

FbAdmissionAnswer
fb_entry_frontend_admission_answer (FbRecentAppends *recent_appends, const char *job,
                                    const fb_admission_reply *reply, uint64_t now_ms)
{
  if (reply != NULL && reply->known)
    return FB_ADMISSION_KNOWN;
  /* Another attempt may have begun to store it since the question was sent. */
  if (reply == NULL || reply->admitted || fb_recent_appends_contain (recent_appends, job, now_ms))
    return FB_ADMISSION_STORE;
  return FB_ADMISSION_REFUSE;
}

gboolean
fb_entry_frontend_must_ask (const FbLoadNotices *notices, FbRecentAppends *recent_appends,
                            const char *service, const char *job, const fb_work_spec *spec,
                            uint64_t now_ms, uint64_t *epoch)
{
  return spec->occurrences == 0 && fb_load_notices_is_overloaded (notices, service, now_ms, epoch)
         && !fb_recent_appends_contain (recent_appends, job, now_ms);
}

void
fb_entry_frontend_ask (FbFrontendRequest *request, const fb_work_admit *admit, GBytes *value,
                       uint64_t epoch)
{
  fb_admission_step steps[FB_WORK_MAX_STEPS];
  fb_peer_request peer_request = { .type = FB_REQUEST_ADMISSION };
  fb_admission_request *admission = &peer_request.fb_peer_request_u.admission;
  *admission = (fb_admission_request){ .service = request->service,
                                       .job = request->job,
                                       .account = request->account,
                                       .queue = request->queue,
                                       .priority = admit->policy.priority,
                                       .epoch = epoch,
                                       .accepted_ms = admit->accepted_ms };
  u_int steps_n = MIN (admit->spec.steps.steps_len, FB_WORK_MAX_STEPS);
  for (u_int i = 0; i < steps_n; i++)
    {
      const fb_work_step *step = &admit->spec.steps.steps_val[i];
      steps[i] = (fb_admission_step){ .count = step->count,
                                      .cpu_milli = step->best_effort ? 0 : step->cpu_milli,
                                      .mem_mb = step->mem_mb,
                                      .gpu_count = step->gpu_count,
                                      .estimate_ms = step->estimate_ms };
      steps[i].after.after_len = step->after.after_len;
      steps[i].after.after_val = step->after.after_val;
    }
  admission->steps.steps_len = steps_n;
  admission->steps.steps_val = steps;
  Question *question = g_new0 (Question, 1);
  question->request = request;
  question->value = g_bytes_ref (value);
  fb_peers_request_owner (request->entry, request->service, &peer_request, TIMEOUT_MS, on_answer,
                          question);
}
