/* Questions for advice.  The advice service handles one call at a time for each
 * calling daemon, and a call takes up to a second: the owner of a pool spreads its
 * questions over all daemons, one open at each or two short ones (advice-balancer.h), where those
 * of several owners wait in one line (advice-queue.h).
 *
 * Failure: one daemon is left and owns two pools; the one whose answer has just come asks
 * again first, each time, and nothing of the other is started any more.  Guard: pools that
 * wait for a daemon take turns, by the time that their questions have taken. */
#include "advice-balancer.h"
#include "advice-queue.h"
#include "fair-share.h"
#include "src/entry/entry-private.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "fb-histogram.h"

/* How long a question may wait at a daemon for those of other pools: for one of 1.8 s that has just
 * begun, and for the short ones that go first meanwhile; a long one for twice its own time. */
#define PATIENCE_MS 3000
#define PATIENCE_TIMES 2
/* The longest that is believed of a question: a hundred workers at 100 ms each. */
#define EXPECTED_MOST_MS 10000
/* For the way to the service and back, over what it has to decide. */
#define CALL_SLACK_MS 1500

struct _FbAdvisor
{
  FbEntry *entry;
  FbTurns *turns;      /* of pools: for short questions, or for all */
  FbTurns *long_turns; /* for those that leave daemons to shorter ones */
  FbAdviceShare *share;
  FbAdviceLine *line; /* of AdviceCall */
};

typedef struct
{
  FbEntry *entry;
  uint32_t partition;
  char *daemon;
  char *step;
  GPtrArray *workers;
  uint64_t sent_ms;
} Question;

static uint32_t
patience_ms (uint32_t expected_ms)
{
  return MAX (PATIENCE_MS, PATIENCE_TIMES * expected_ms);
}

static void
question_free (Question *question)
{
  g_free (question->daemon);
  g_free (question->step);
  g_ptr_array_unref (question->workers);
  g_free (question);
}

/* Returns: (nullable): the life that QUESTION asked about under ID; borrowed. */
static char *
life_of (const Question *question, const char *id)
{
  for (guint i = 0; i < question->workers->len; i++)
    {
      g_autofree char *asked = fb_wire_incarnation_worker_id (question->workers->pdata[i]);
      if (g_str_equal (asked, id))
        return question->workers->pdata[i];
    }
  return NULL;
}

/* Tickets name workers by their ids; they are for the lives that were asked about.  TOLD: NULL
 * without an answer. */
static void
tell_owner (FbOwner *owner, const Question *question, const fb_advice_reply *told)
{
  guint n = told != NULL ? told->tickets.tickets_len : 0;
  g_autofree fb_ticket *tickets = g_new0 (fb_ticket, n + 1);
  fb_advice_reply of_lives = { .tickets = { 0, tickets } };
  of_lives.validity_ms = told != NULL ? told->validity_ms : 0;
  for (guint i = 0; i < n; i++)
    {
      const fb_ticket *got = &told->tickets.tickets_val[i];
      char *incarnation = life_of (question, got->worker);
      if (incarnation != NULL)
        tickets[of_lives.tickets.tickets_len++] = (fb_ticket){ incarnation, got->ticket };
    }
  fb_owner_advised (owner, question->step, (const char *const *) question->workers->pdata,
                    question->workers->len, told != NULL ? &of_lives : NULL);
}

static void
on_told (gpointer data, const fb_peer_reply *told)
{
  Question *question = data;
  fb_advice_share_ended (question->entry->advisor->share, question->daemon);
  fb_histogram_add (FB_HISTOGRAM_ADVICE, fb_clock_ms () - question->sent_ms);
  FbOwner *owner = fb_entry_owner (question->entry, question->partition);
  gboolean answered = told != NULL && told->type == FB_REPLY_ADVICE;
  if (!answered)
    fb_event_log (FB_EVENT_CALL_FAILED, "advice step=%s daemon=%s", question->step,
                  question->daemon);
  if (owner != NULL)
    tell_owner (owner, question, answered ? &told->fb_peer_reply_u.advice : NULL);
  /* Whose turn it is may ask now. */
  fb_entry_each_owner (question->entry, fb_owner_kick);
  question_free (question);
}

static gint
compare_address (gconstpointer a, gconstpointer b)
{
  return g_strcmp0 (*(const char *const *) a, *(const char *const *) b);
}

/* Returns: (transfer container): addresses of the daemons that may take a question; the same
 * order at every owner, so that short questions of two owners meet at the same ones. */
static GPtrArray *
all_daemons (const FbAdvisor *self)
{
  GPtrArray *daemons = fb_group_daemons (self->entry->group);
  if (daemons->len == 0)
    g_ptr_array_add (daemons, (gpointer) self->entry->settings->peers);
  g_ptr_array_sort (daemons, compare_address);
  return daemons;
}

/* Returns: (nullable): the daemon for a question; NULL: none is free, or another pool is to
 * go first. */
static const char *
take_turn (FbAdvisor *self, uint32_t partition, uint32_t expected_ms)
{
  uint64_t now_ms = fb_clock_ms ();
  g_autoptr (GPtrArray) daemons = all_daemons (self);
  gboolean leaves_some = fb_advice_share_kept (self->share, daemons->len, expected_ms, now_ms) > 0;
  FbTurns *turns = leaves_some ? self->long_turns : self->turns;
  const char *daemon = NULL;
  if (fb_turns_is_next (turns, partition, now_ms))
    daemon = fb_advice_share_daemon (self->share, daemons, expected_ms, now_ms);
  if (daemon == NULL)
    {
      fb_turns_waits (turns, partition, now_ms);
      return NULL;
    }
  fb_turns_went (turns, partition, expected_ms);
  fb_advice_share_began (self->share, daemon, expected_ms, now_ms);
  return daemon;
}

gboolean
fb_advisor_ask (FbAdvisor *self, uint32_t partition, const char *step, const char *const *workers,
                guint n, uint32_t expected_ms)
{
  if (self->entry->settings->advice == NULL)
    return FALSE;
  const char *daemon = take_turn (self, partition, expected_ms);
  if (daemon == NULL)
    return FALSE;
  g_autofree fb_worker_name *names = g_new0 (fb_worker_name, n);
  Question *question = g_new0 (Question, 1);
  question->entry = self->entry;
  question->partition = partition;
  question->daemon = g_strdup (daemon);
  question->step = g_strdup (step);
  question->sent_ms = fb_clock_ms ();
  fb_counter_add (FB_COUNTER_ADVICE_ASKED, 1);
  question->workers = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < n; i++)
    {
      g_ptr_array_add (question->workers, g_strdup (workers[i]));
      names[i].id = fb_wire_incarnation_worker_id (workers[i]);
    }
  fb_peer_request ask = { .type = FB_REQUEST_ADVICE };
  ask.fb_peer_request_u.advice.step = question->step;
  ask.fb_peer_request_u.advice.workers.workers_len = n;
  ask.fb_peer_request_u.advice.workers.workers_val = names;
  ask.fb_peer_request_u.advice.expected_ms = expected_ms;
  if (g_str_equal (daemon, self->entry->settings->peers))
    fb_advisor_call (self->entry, &ask.fb_peer_request_u.advice, on_told, question);
  else
    fb_peers_ask (self->entry, daemon, &ask, expected_ms + patience_ms (expected_ms), on_told,
                  question);
  for (guint i = 0; i < n; i++)
    g_free (names[i].id);
  return TRUE;
}

/* ---- the call itself --------------------------------------------------------- */

typedef struct
{
  FbAdvisor *advisor;
  FbHttpCall call;
  uint32_t expected_ms;
  uint64_t since_ms;
  FbTold done;
  gpointer user;
} AdviceCall;

static void call_next (FbAdvisor *self);

/* TOLD: NULL without an answer. */
static void
end_call (AdviceCall *call, const fb_peer_reply *told)
{
  fb_advice_line_ended (call->advisor->line, call);
  call->done (call->user, told);
  fb_http_call_clear (&call->call);
  g_free (call);
}

static void
on_advised (gpointer data, const FbHttpReply *reply)
{
  AdviceCall *call = data;
  FbAdvisor *self = call->advisor;
  fb_peer_reply told = { .type = FB_REPLY_ADVICE };
  gboolean answered = fb_wire_parse_advice (reply, &told.fb_peer_reply_u.advice);
  end_call (call, answered ? &told : NULL);
  if (answered)
    xdr_free ((xdrproc_t) xdr_fb_peer_reply, (char *) &told);
  call_next (self);
}

/* Who asked has given up by then: a call would only hold up the others. */
static gboolean
is_too_late (const AdviceCall *call)
{
  return fb_clock_ms () > call->since_ms + patience_ms (call->expected_ms);
}

static void
call_next (FbAdvisor *self)
{
  AdviceCall *call = NULL;
  while ((call = fb_advice_line_next (self->line)) != NULL)
    {
      if (is_too_late (call))
        end_call (call, NULL);
      else
        fb_http_client_exchange (self->entry->advice_client, &call->call,
                                 2 * call->expected_ms + CALL_SLACK_MS, on_advised, call);
    }
}

void
fb_advisor_call (FbEntry *entry, const fb_advice_request *ask, FbTold done, gpointer user)
{
  FbAdvisor *self = entry->advisor;
  AdviceCall *call = g_new0 (AdviceCall, 1);
  call->advisor = self;
  call->expected_ms = MIN (ask->expected_ms, EXPECTED_MOST_MS);
  call->since_ms = fb_clock_ms ();
  call->done = done;
  call->user = user;
  fb_wire_advise (&call->call, entry->settings->advice, ask);
  fb_advice_line_wait (self->line, call, call->expected_ms, call->since_ms);
  call_next (self);
}

FbAdvisor *
fb_advisor_new (FbEntry *entry)
{
  FbAdvisor *self = g_new0 (FbAdvisor, 1);
  self->entry = entry;
  self->share = fb_advice_share_new ();
  self->line = fb_advice_line_new ();
  self->turns = fb_turns_new ();
  self->long_turns = fb_turns_new ();
  return self;
}
