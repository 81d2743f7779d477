/* Requests to the advice service.  The service handles one call at a time for each calling daemon,
 * and a call takes up to a second.  The owner of a pool therefore distributes its requests over all
 * daemons, with one open at each, or two short ones (advice-balancer.h); at a daemon, requests of
 * several owners wait in one queue (advice-queue.h).
 *
 * Pools that wait for a daemon are served in the order of the service time that their requests have
 * used.  Otherwise, when one daemon is left and owns two pools, the pool that has just received its
 * answer always sends the next request first, and no task of the other pool is started. */
#include "advice-balancer.h"
#include "advice-queue.h"
#include "fair-share.h"
#include "src/entry/entry-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "fb-histogram.h"

/* Maximum time for which a request waits at a daemon behind those of other pools: long enough for
 * one of 1.8 s that has just begun and for short ones that are sent first meanwhile.  A long
 * request may wait for WAIT_MAX_FACTOR times its own duration. */
#define WAIT_MAX_MS 3000
#define WAIT_MAX_FACTOR 2
/* Upper bound of a request's expected duration: a hundred workers at 100 ms each. */
#define EXPECTED_MAX_MS 10000
/* Allowance for the network on top of the time that the decision takes. */
#define CALL_NETWORK_MS 1500

struct _FbAdvisor
{
  FbEntryDaemon *entry;
  FbFairShare *fair_share;      /* sharing among requests that reserve no daemons */
  FbFairShare *long_fair_share; /* sharing among requests that leave daemons to shorter ones */
  FbAdviceBalancer *balancer;
  FbAdviceQueue *queue; /* of AdviceCall */
};

typedef struct
{
  FbEntryDaemon *entry;
  uint32_t partition;
  char *daemon;
  char *step;
  GPtrArray *workers;
  uint64_t sent_ms;
} AdviceRequest;

static uint32_t
wait_max_ms (uint32_t expected_ms)
{
  return MAX (WAIT_MAX_MS, WAIT_MAX_FACTOR * expected_ms);
}

static void
advice_request_free (AdviceRequest *request)
{
  g_free (request->daemon);
  g_free (request->step);
  g_ptr_array_unref (request->workers);
  g_free (request);
}

/* Returns: (nullable): the incarnation of worker ID in REQUEST; borrowed. */
static char *
incarnation_of (const AdviceRequest *request, const char *id)
{
  for (guint i = 0; i < request->workers->len; i++)
    {
      g_autofree char *requested = fb_wire_incarnation_worker_id (request->workers->pdata[i]);
      if (g_str_equal (requested, id))
        return request->workers->pdata[i];
    }
  return NULL;
}

/* Passes the answer to OWNER.  Tickets contain worker ids; they are assigned to the incarnations
 * that the request contained.  PEER_REPLY: NULL without an answer. */
static void
deliver_to_owner (FbOwner *owner, const AdviceRequest *request, const fb_advice_reply *peer_reply)
{
  guint n = peer_reply != NULL ? peer_reply->tickets.tickets_len : 0;
  g_autofree fb_ticket *tickets = g_new0 (fb_ticket, n + 1);
  fb_advice_reply of_incarnations = { .tickets = { 0, tickets } };
  of_incarnations.validity_ms = peer_reply != NULL ? peer_reply->validity_ms : 0;
  for (guint i = 0; i < n; i++)
    {
      const fb_ticket *got = &peer_reply->tickets.tickets_val[i];
      char *incarnation = incarnation_of (request, got->worker);
      if (incarnation != NULL)
        tickets[of_incarnations.tickets.tickets_len++] = (fb_ticket){ incarnation, got->ticket };
    }
  fb_owner_advised (owner, request->step, (const char *const *) request->workers->pdata,
                    request->workers->len, peer_reply != NULL ? &of_incarnations : NULL);
}

static void
on_peer_reply (gpointer data, const fb_peer_reply *peer_reply)
{
  AdviceRequest *request = data;
  fb_advice_balancer_ended (request->entry->advisor->balancer, request->daemon);
  fb_histogram_add (FB_HISTOGRAM_ADVICE, fb_clock_ms () - request->sent_ms);
  FbOwner *owner = fb_entry_owner (request->entry, request->partition);
  gboolean answered = peer_reply != NULL && peer_reply->type == FB_REPLY_ADVICE;
  if (!answered)
    fb_event_log (FB_EVENT_CALL_FAILED, "advice step=%s daemon=%s", request->step, request->daemon);
  if (owner != NULL)
    deliver_to_owner (owner, request, answered ? &peer_reply->fb_peer_reply_u.advice : NULL);
  /* Lets the next pool by fair share send its request. */
  fb_entry_foreach_owner (request->entry, fb_owner_schedule_tick);
  advice_request_free (request);
}

static gint
compare_address (gconstpointer a, gconstpointer b)
{
  return g_strcmp0 (*(const char *const *) a, *(const char *const *) b);
}

/* Returns: (transfer container): addresses of the daemons that may take a request, in the same
 * order at every owner, so that short requests of two owners are sent to the same daemons. */
static GPtrArray *
sorted_daemons (const FbAdvisor *self)
{
  GPtrArray *daemons = fb_group_daemons (self->entry->group);
  if (daemons->len == 0)
    g_ptr_array_add (daemons, (gpointer) self->entry->settings->peers);
  g_ptr_array_sort (daemons, compare_address);
  return daemons;
}

/* Returns: (nullable): the daemon for a request; NULL when none is available or another pool is
 * served first. */
static const char *
choose_daemon (FbAdvisor *self, uint32_t partition, uint32_t expected_ms)
{
  uint64_t now_ms = fb_clock_ms ();
  g_autoptr (GPtrArray) daemons = sorted_daemons (self);
  gboolean reserves
      = fb_advice_balancer_reserved (self->balancer, daemons->len, expected_ms, now_ms) > 0;
  FbFairShare *fair_share = reserves ? self->long_fair_share : self->fair_share;
  const char *daemon = NULL;
  if (fb_fair_share_is_next (fair_share, partition, now_ms))
    daemon = fb_advice_balancer_choose (self->balancer, daemons, expected_ms, now_ms);
  if (daemon == NULL)
    {
      fb_fair_share_wait (fair_share, partition, now_ms);
      return NULL;
    }
  fb_fair_share_served (fair_share, partition, expected_ms);
  fb_advice_balancer_began (self->balancer, daemon, expected_ms, now_ms);
  return daemon;
}

guint
fb_advisor_idle_n (FbAdvisor *self, uint32_t expected_ms)
{
  g_autoptr (GPtrArray) daemons = sorted_daemons (self);
  return fb_advice_balancer_idle_n (self->balancer, daemons, expected_ms, fb_clock_ms ());
}

gboolean
fb_advisor_request (FbAdvisor *self, uint32_t partition, const char *step,
                    const char *const *workers, guint n, uint32_t expected_ms)
{
  if (self->entry->settings->advice == NULL)
    return FALSE;
  const char *daemon = choose_daemon (self, partition, expected_ms);
  if (daemon == NULL)
    return FALSE;
  g_autofree fb_worker_name *names = g_new0 (fb_worker_name, n);
  AdviceRequest *request = g_new0 (AdviceRequest, 1);
  request->entry = self->entry;
  request->partition = partition;
  request->daemon = g_strdup (daemon);
  request->step = g_strdup (step);
  request->sent_ms = fb_clock_ms ();
  fb_counter_add (FB_COUNTER_ADVICE_REQUESTS, 1);
  request->workers = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < n; i++)
    {
      g_ptr_array_add (request->workers, g_strdup (workers[i]));
      names[i].id = fb_wire_incarnation_worker_id (workers[i]);
    }
  fb_peer_request peer_request = { .type = FB_REQUEST_ADVICE };
  peer_request.fb_peer_request_u.advice.step = request->step;
  peer_request.fb_peer_request_u.advice.workers.workers_len = n;
  peer_request.fb_peer_request_u.advice.workers.workers_val = names;
  peer_request.fb_peer_request_u.advice.expected_ms = expected_ms;
  if (g_str_equal (daemon, self->entry->settings->peers))
    fb_advisor_call (self->entry, &peer_request.fb_peer_request_u.advice, on_peer_reply, request);
  else
    fb_peers_request (self->entry, daemon, &peer_request, expected_ms + wait_max_ms (expected_ms),
                      on_peer_reply, request);
  for (guint i = 0; i < n; i++)
    g_free (names[i].id);
  return TRUE;
}

/* ---- call of the service ------------------------------------------------------- */

typedef struct
{
  FbAdvisor *advisor;
  FbHttpCall call;
  uint32_t expected_ms;
  uint64_t queued_ms;
  FbPeerReplyDone done;
  gpointer user;
} AdviceCall;

static void call_next (FbAdvisor *self);

/* Completes CALL with PEER_REPLY, which is NULL without an answer, and frees it. */
static void
end_call (AdviceCall *call, const fb_peer_reply *peer_reply)
{
  fb_advice_queue_ended (call->advisor->queue, call);
  call->done (call->user, peer_reply);
  fb_http_call_clear (&call->call);
  g_free (call);
}

static void
on_advised (gpointer data, const FbHttpReply *reply)
{
  AdviceCall *call = data;
  FbAdvisor *self = call->advisor;
  fb_peer_reply peer_reply = { .type = FB_REPLY_ADVICE };
  gboolean answered = fb_wire_parse_advice (reply, &peer_reply.fb_peer_reply_u.advice);
  end_call (call, answered ? &peer_reply : NULL);
  if (answered)
    xdr_free ((xdrproc_t) xdr_fb_peer_reply, (char *) &peer_reply);
  call_next (self);
}

/* Returns: TRUE when the requester no longer waits for the answer; calling the service would only
 * delay other requests. */
static gboolean
has_timed_out (const AdviceCall *call)
{
  return fb_clock_ms () > call->queued_ms + wait_max_ms (call->expected_ms);
}

static void
call_next (FbAdvisor *self)
{
  AdviceCall *call = NULL;
  while ((call = fb_advice_queue_next (self->queue)) != NULL)
    {
      if (has_timed_out (call))
        end_call (call, NULL);
      else
        fb_http_client_exchange (self->entry->advice_client, &call->call,
                                 2 * call->expected_ms + CALL_NETWORK_MS, on_advised, call);
    }
}

void
fb_advisor_call (FbEntryDaemon *entry, const fb_advice_request *peer_request, FbPeerReplyDone done,
                 gpointer user)
{
  FbAdvisor *self = entry->advisor;
  AdviceCall *call = g_new0 (AdviceCall, 1);
  call->advisor = self;
  call->expected_ms = MIN (peer_request->expected_ms, EXPECTED_MAX_MS);
  call->queued_ms = fb_clock_ms ();
  call->done = done;
  call->user = user;
  fb_wire_advise (&call->call, entry->settings->advice, peer_request);
  fb_advice_queue_add (self->queue, call, call->expected_ms, call->queued_ms);
  call_next (self);
}

FbAdvisor *
fb_advisor_new (FbEntryDaemon *entry)
{
  FbAdvisor *self = g_new0 (FbAdvisor, 1);
  self->entry = entry;
  self->balancer = fb_advice_balancer_new ();
  self->queue = fb_advice_queue_new ();
  self->fair_share = fb_fair_share_new ();
  self->long_fair_share = fb_fair_share_new ();
  return self;
}
