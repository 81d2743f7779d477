#include "store-witnesses.h"

#include "src/entry/entry-private.h"

#include "fb-event.h"

/* In a large fleet a sample of the daemons is asked. */
#define SAMPLE_MAX 15
#define ASK_INTERVAL_MS 400
#define REPLY_TIMEOUT_MS 350
/* Maximum age of a reply that counts. */
#define REPLY_MAX_AGE_MS 1200
/* Maximum time between questions to the same sample. */
#define SAMPLE_MAX_AGE_MS 5000
/* Maximum age of a call of the store that tells its state. */
#define CALL_MAX_AGE_MS 3000

typedef struct
{
  char *address;
  fb_store_state state; /* by its last reply that tells it */
  uint64_t replied_ms;  /* time of that reply; 0: none yet */
} Witness;

struct _FbStoreWitnesses
{
  FbEntryDaemon *entry;
  GPtrArray *sample; /* of Witness */
  uint64_t asked_ms; /* time of the last question; 0: none yet */
  gboolean reported; /* last logged result */
};

typedef struct
{
  FbStoreWitnesses *witnesses;
  char *address;
} Question;

static void
witness_free (gpointer data)
{
  Witness *witness = data;
  g_free (witness->address);
  g_free (witness);
}

FbStoreWitnesses *
fb_store_witnesses_new (FbEntryDaemon *entry)
{
  FbStoreWitnesses *self = g_new0 (FbStoreWitnesses, 1);
  self->entry = entry;
  self->sample = g_ptr_array_new_with_free_func (witness_free);
  return self;
}

fb_store_state
fb_store_witnesses_own_state (const FbEntryDaemon *entry, uint64_t now_ms)
{
  if (entry->store_failed_ms >= entry->store_answered_ms
      && now_ms <= entry->store_failed_ms + CALL_MAX_AGE_MS)
    return FB_STORE_STATE_UNAVAILABLE;
  if (now_ms <= entry->store_answered_ms + CALL_MAX_AGE_MS)
    return FB_STORE_STATE_AVAILABLE;
  return FB_STORE_STATE_UNKNOWN;
}

/* Chooses daemons at random, without replacement. */
static void
choose_sample (FbStoreWitnesses *self)
{
  const GPtrArray *daemons = fb_daemons_all (self->entry->daemons);
  g_autoptr (GPtrArray) others = g_ptr_array_new ();
  for (guint i = 0; i < daemons->len; i++)
    {
      const FbDaemon *daemon = daemons->pdata[i];
      if (!g_str_equal (daemon->address, self->entry->settings->peers))
        g_ptr_array_add (others, daemon->address);
    }
  g_ptr_array_set_size (self->sample, 0);
  while (others->len > 0 && self->sample->len < SAMPLE_MAX)
    {
      guint i = (guint) g_random_int_range (0, (gint32) others->len);
      Witness *witness = g_new0 (Witness, 1);
      witness->address = g_strdup (others->pdata[i]);
      g_ptr_array_add (self->sample, witness);
      g_ptr_array_remove_index_fast (others, i);
    }
}

static void
on_reply (gpointer data, const fb_peer_reply *peer_reply)
{
  Question *question = data;
  const GPtrArray *sample = question->witnesses->sample;
  fb_store_state state = FB_STORE_STATE_UNKNOWN;
  if (peer_reply != NULL && peer_reply->type == FB_REPLY_STORE_STATE)
    state = peer_reply->fb_peer_reply_u.store_state;
  for (guint i = 0; i < sample->len && state != FB_STORE_STATE_UNKNOWN; i++)
    {
      Witness *witness = sample->pdata[i];
      if (!g_str_equal (witness->address, question->address))
        continue;
      witness->state = state;
      witness->replied_ms = fb_clock_ms ();
    }
  g_free (question->address);
  g_free (question);
}

typedef struct
{
  guint unavailable_n;
  guint available_n;
} ReplyCounts;

/* Counts the daemons by their last reply. */
static ReplyCounts
count_replies (const FbStoreWitnesses *self, uint64_t now_ms)
{
  ReplyCounts counts = { 0 };
  for (guint i = 0; i < self->sample->len; i++)
    {
      const Witness *witness = self->sample->pdata[i];
      if (now_ms > witness->replied_ms + REPLY_MAX_AGE_MS)
        continue;
      if (witness->state == FB_STORE_STATE_AVAILABLE)
        counts.available_n++;
      else
        counts.unavailable_n++;
    }
  return counts;
}

static gboolean
show_outage (const ReplyCounts *counts, guint sample_n)
{
  return counts->available_n == 0 && (counts->unavailable_n + 1) * 2 > sample_n + 1;
}

static void
log_change (FbStoreWitnesses *self, uint64_t now_ms)
{
  const ReplyCounts counts = count_replies (self, now_ms);
  gboolean reported = show_outage (&counts, self->sample->len);
  if (reported == self->reported)
    return;
  self->reported = reported;
  fb_event_log (FB_EVENT_STORE_WITNESSES, "outage=%d asked=%u unavailable=%u available=%u",
                reported, self->sample->len, counts.unavailable_n, counts.available_n);
}

void
fb_store_witnesses_ask (FbStoreWitnesses *self, uint64_t now_ms)
{
  static const fb_peer_request peer_request = { .type = FB_REQUEST_STORE_STATE };
  if (self->asked_ms != 0 && now_ms < self->asked_ms + ASK_INTERVAL_MS)
    return;
  if (self->asked_ms == 0 || now_ms > self->asked_ms + SAMPLE_MAX_AGE_MS)
    {
      choose_sample (self);
      self->reported = FALSE;
    }
  self->asked_ms = now_ms;
  log_change (self, now_ms);
  for (guint i = 0; i < self->sample->len; i++)
    {
      const Witness *witness = self->sample->pdata[i];
      Question *question = g_new0 (Question, 1);
      question->witnesses = self;
      question->address = g_strdup (witness->address);
      fb_peers_request (self->entry, witness->address, &peer_request, REPLY_TIMEOUT_MS, on_reply,
                        question);
    }
}

gboolean
fb_store_witnesses_report_outage (const FbStoreWitnesses *self, uint64_t now_ms)
{
  const ReplyCounts counts = count_replies (self, now_ms);
  return show_outage (&counts, self->sample->len);
}
