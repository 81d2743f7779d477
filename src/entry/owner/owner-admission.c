/* Tells all daemons of overloaded pools, and answers whether jobs should be stored. */
#include "owner-private.h"

#include "fb-counter.h"
#include "fb-event.h"

#define NOTICE_TIMEOUT_MS 700
/* Age of the sums of waiting work up to which they are used: they are 100 ms old at most unless
 * this daemon is delayed. */
#define FORECAST_MAX_AGE_MS 500
/* Minimum interval between two log lines about refused jobs of one pool. */
#define LOG_INTERVAL_MS 1000

/* ---- notices -------------------------------------------------------------------------------- */

static void
send_notice (const FbServicePool *service_pool, const FbAdmissionNotice *notice, uint64_t now_ms)
{
  FbEntryDaemon *entry = service_pool->owner->entry;
  fb_peer_request peer_request = { .type = FB_REQUEST_LOAD_NOTICE };
  peer_request.fb_peer_request_u.notice
      = (fb_load_notice){ .service = service_pool->service,
                          .epoch = service_pool->owner->epoch,
                          .sequence = notice->sequence,
                          .overloaded = notice->overloaded,
                          .valid_ms = FB_ADMISSION_NOTICE_VALID_MS };
  fb_load_notices_put (entry->load_notices, &peer_request.fb_peer_request_u.notice, now_ms);
  const GPtrArray *members = fb_daemons_all (entry->daemons);
  for (guint i = 0; i < members->len; i++)
    {
      const FbDaemon *member = members->pdata[i];
      if (!g_str_equal (member->address, entry->settings->peers))
        fb_peers_request (entry, member->address, &peer_request, NOTICE_TIMEOUT_MS,
                          fb_peers_ignore_reply, NULL);
    }
}

void
fb_owner_watch_load (FbServicePool *service_pool, uint64_t now_ms)
{
  FbAdmissionControl *control = service_pool->admission;
  FbAdmissionNotice notice;
  if (!fb_pool_can_forecast (service_pool->pool)
      || !fb_admission_control_update_due (control, now_ms))
    return;
  fb_pool_measure_backlog (service_pool->pool, fb_admission_control_forecasts (control), now_ms);
  if (!fb_admission_control_updated (control, now_ms, &notice))
    return;
  send_notice (service_pool, &notice, now_ms);
  if (notice.changed)
    fb_event_log (FB_EVENT_POOL_OVERLOADED,
                  "service=%s overloaded=%d backlog_ms=%" G_GUINT64_FORMAT, service_pool->service,
                  notice.overloaded, notice.backlog_ms);
}

/* ---- questions ------------------------------------------------------------------------------ */

static const fb_work_policy *
policy_of (const FbOwner *self, const char *queue)
{
  const FbRoutes *routes = self->entry->routes;
  for (guint i = 0; routes != NULL && routes->accounts != NULL && i < routes->routes->len; i++)
    {
      const FbRoute *route = routes->routes->pdata[i];
      if (g_str_equal (route->policy.queue, queue))
        return &route->policy;
    }
  return NULL;
}

static void
log_refused (FbServicePool *service_pool, const fb_admission_request *request,
             const FbAdmissionDecision *decision, uint64_t now_ms)
{
  service_pool->refused_n++;
  if (service_pool->refused_logged_ms != 0
      && now_ms < service_pool->refused_logged_ms + LOG_INTERVAL_MS)
    return;
  service_pool->refused_logged_ms = now_ms;
  const FbAdmissionForecast *forecast = &decision->forecast;
  fb_event_log (FB_EVENT_ADMISSION_REFUSED,
                "job=%s queue=%s account=%s age_ms=%" G_GUINT64_FORMAT " wait_ms=%" G_GUINT64_FORMAT
                " end_ms=%" G_GUINT64_FORMAT " too_late_ms=%" G_GUINT64_FORMAT
                " limit=%s retry_after_ms=%u backlog_ms=%" G_GUINT64_FORMAT " refused=%u",
                request->job, request->queue, request->account, decision->age_ms, forecast->wait_ms,
                forecast->end_ms - now_ms, forecast->excess_ms,
                forecast->is_account_bound ? "account" : "pool", decision->retry_after_ms,
                fb_admission_backlog_ms (fb_admission_control_forecasts (service_pool->admission)),
                service_pool->refused_n);
  service_pool->refused_n = 0;
}

/* Returns: TRUE when a forecast for REQUEST would rest on what this owner knows for certain. */
static gboolean
can_decide (FbOwner *self, const FbServicePool *service_pool, const fb_admission_request *request,
            uint64_t now_ms)
{
  return request->epoch == self->epoch && fb_pool_can_forecast (service_pool->pool)
         && fb_admission_control_is_overloaded (service_pool->admission)
         && now_ms <= fb_admission_updated_ms (
                          fb_admission_control_forecasts (service_pool->admission))
                          + FORECAST_MAX_AGE_MS
         && fb_owner_confirm (self, service_pool, now_ms);
}

/* Returns: TRUE when the pool of another service may have the job of REQUEST. */
static gboolean
may_be_elsewhere (FbOwner *self, const fb_admission_request *request)
{
  const GPtrArray *services
      = fb_queue_directory_services (fb_entry_queue_directory (self->entry), request->queue);
  return services == NULL || services->len > 1;
}

/* Whatever this owner does not know for certain makes it admit the job. */
void
fb_owner_answer_admission (FbOwner *self, const fb_admission_request *request,
                           fb_peer_reply *peer_reply)
{
  FbServicePool *service_pool = g_hash_table_lookup (self->service_pools, request->service);
  const fb_work_policy *policy = policy_of (self, request->queue);
  fb_admission_reply *reply = &peer_reply->fb_peer_reply_u.admission;
  uint64_t now_ms = fb_clock_ms ();
  fb_work_state state;
  FbAdmissionJob job;
  peer_reply->type = FB_REPLY_ADMISSION;
  *reply = (fb_admission_reply){ .admitted = TRUE };
  if (service_pool == NULL)
    return;
  reply->known = fb_pool_job_state (service_pool->pool, request->job, &state)
                 || fb_owner_held_job (self, request->job) != NULL;
  if (reply->known || may_be_elsewhere (self, request) || policy == NULL
      || !can_decide (self, service_pool, request, now_ms)
      || !fb_pool_describe_job (service_pool->pool, request, policy, &job))
    return;
  FbAdmissionDecision decision;
  fb_admission_control_decide (service_pool->admission, request->job, &job, now_ms, &decision);
  reply->admitted = decision.admitted;
  reply->retry_after_ms = decision.retry_after_ms;
  reply->wait_ms = decision.forecast.wait_ms;
  reply->forecast_end_ms = decision.forecast.end_ms - now_ms;
  reply->age_ms = fb_pool_accepted_age_ms (service_pool->pool, request, decision.age_ms);
  if (!decision.admitted)
    log_refused (service_pool, request, &decision, now_ms);
  else
    fb_pool_note_forecast (service_pool->pool, request->job, now_ms + decision.forecast.wait_ms);
  fb_counter_add (FB_COUNTER_REFUSED_RETURNED, decision.returned);
}
