/* Questions for advice.  The advice service handles one call at a time for each
 * calling daemon, and a call takes up to a second: the owner of a pool spreads its
 * questions over all daemons, one open at each (advice-share.h).
 *
 * Failure: one daemon is left and owns two pools; the one whose answer has just come asks
 * again first, each time, and nothing of the other is started any more.  Guard: pools that
 * wait for a daemon take turns, by the time that their questions have taken. */
#include "advice-share.h"
#include "entry-private.h"
#include "turns.h"

#include "fb-counter.h"
#include "fb-event.h"
#include "fb-histogram.h"

/* Over what the decision takes: other pools may have questions at the same daemon. */
#define PATIENCE_MS 3000

struct _FbAdvisor
{
  FbEntry *entry;
  FbTurns *turns;      /* of pools: for short questions, or for all */
  FbTurns *long_turns; /* for those that leave daemons to shorter ones */
  FbAdviceShare *share;
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

static void
question_free (Question *question)
{
  g_free (question->daemon);
  g_free (question->step);
  g_ptr_array_unref (question->workers);
  g_free (question);
}

static void
on_told (gpointer data, const fb_told *told)
{
  Question *question = data;
  fb_advice_share_ended (question->entry->advisor->share, question->daemon);
  fb_histogram_add (FB_HISTOGRAM_ADVICE, fb_clock_ms () - question->sent_ms);
  FbOwner *owner = fb_entry_owner (question->entry, question->partition);
  gboolean answered = told != NULL && told->type == FB_TOLD_ADVICE;
  if (!answered)
    fb_event_log (FB_EVENT_CALL_FAILED, "advice step=%s daemon=%s", question->step,
                  question->daemon);
  if (owner != NULL)
    fb_owner_advised (owner, question->step, (const char *const *) question->workers->pdata,
                      question->workers->len, answered ? &told->fb_told_u.advice : NULL);
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
      names[i].id = question->workers->pdata[i];
    }
  fb_ask ask = { .type = FB_ASK_ADVICE };
  ask.fb_ask_u.advice.step = question->step;
  ask.fb_ask_u.advice.workers.workers_len = n;
  ask.fb_ask_u.advice.workers.workers_val = names;
  if (g_str_equal (daemon, self->entry->settings->peers))
    fb_advisor_call (self->entry, &ask.fb_ask_u.advice, on_told, question);
  else
    fb_peers_ask (self->entry, daemon, &ask, expected_ms + PATIENCE_MS, on_told, question);
  return TRUE;
}

/* ---- the call itself --------------------------------------------------------- */

typedef struct
{
  FbTold done;
  gpointer user;
} AdviceCall;

static void
on_advised (gpointer data, const FbHttpReply *reply)
{
  AdviceCall *call = data;
  fb_told told = { .type = FB_TOLD_ADVICE };
  if (fb_wire_advised (reply, &told.fb_told_u.advice))
    {
      call->done (call->user, &told);
      xdr_free ((xdrproc_t) xdr_fb_told, (char *) &told);
    }
  else
    call->done (call->user, NULL);
  g_free (call);
}

void
fb_advisor_call (FbEntry *entry, const fb_ask_advice *ask, FbTold done, gpointer user)
{
  AdviceCall *advice = g_new0 (AdviceCall, 1);
  advice->done = done;
  advice->user = user;
  FbHttpCall call;
  fb_wire_advise (&call, entry->settings->advice, ask);
  fb_http_client_exchange (entry->advice_client, &call, PATIENCE_MS, on_advised, advice);
  fb_http_call_clear (&call);
}

FbAdvisor *
fb_advisor_new (FbEntry *entry)
{
  FbAdvisor *self = g_new0 (FbAdvisor, 1);
  self->entry = entry;
  self->share = fb_advice_share_new ();
  self->turns = fb_turns_new ();
  self->long_turns = fb_turns_new ();
  return self;
}
