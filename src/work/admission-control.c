#include "internal/admission-control.h"

/* Interval at which the waiting work is added up again. */
#define UPDATE_INTERVAL_MS 100
/* A pool that needs more time than this for the work that waits is overloaded.  The shortest jobs
 * (0.56 s, target 250 ms, stretch 1.5) have value if they wait for 2.7 s at most. */
#define OVERLOADED_MS 1000
#define NOTICE_INTERVAL_MS 1000
/* Callers return within some seconds; 8,192 ids are 30 s of 270 refusals a second. */
#define REFUSED_N 8192
#define REFUSED_MS 30000
/* Bounds of the time after which a refused caller should return. */
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 10000
/* For how long an admitted id is not refused: callers try for 15 s at most, and an append ends
 * within 3 s. */
#define ADMITTED_MS 20000
/* A caller that returns this much before its time still counts as one that returns at its time:
 * Retry-After has whole seconds, and timers of callers are not exact. */
#define EARLY_MS 500

typedef struct
{
  char *id;
  uint64_t first_ms;
  uint64_t return_ms;  /* when it was told to return */
  uint64_t refused_ms; /* when it was refused first; entries are evicted in this order */
} Refused;

struct _FbAdmissionControl
{
  FbAdmission *forecasts;
  gboolean overloaded;
  uint64_t sequence;
  uint64_t noticed_ms;   /* when the last notice was due; 0: never */
  GHashTable *refused;   /* id -> Refused */
  GQueue order;          /* of Refused, the oldest at its head; borrowed */
  GHashTable *admitted;  /* id -> uint64_t, when it was admitted */
  GQueue admitted_order; /* keys of ADMITTED, the oldest at its head; borrowed */
  GHashTable *slots_ms;  /* account, "" for the pool -> uint64_t: the next free time to return */
};

static void
refused_free (gpointer data)
{
  Refused *refused = data;
  g_free (refused->id);
  g_free (refused);
}

FbAdmissionControl *
fb_admission_control_new (void)
{
  FbAdmissionControl *self = g_new0 (FbAdmissionControl, 1);
  self->forecasts = fb_admission_new ();
  self->refused = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, refused_free);
  self->admitted = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  self->slots_ms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return self;
}

void
fb_admission_control_free (FbAdmissionControl *self)
{
  fb_admission_free (self->forecasts);
  g_queue_clear (&self->order);
  g_hash_table_unref (self->refused);
  g_queue_clear (&self->admitted_order);
  g_hash_table_unref (self->admitted);
  g_hash_table_unref (self->slots_ms);
  g_free (self);
}

FbAdmission *
fb_admission_control_forecasts (FbAdmissionControl *self)
{
  return self->forecasts;
}

guint
fb_admission_control_refused_n (const FbAdmissionControl *self)
{
  return g_hash_table_size (self->refused);
}

/* ---- overload ----------------------------------------------------------------------------- */

gboolean
fb_admission_control_is_overloaded (const FbAdmissionControl *self)
{
  return self->overloaded;
}

gboolean
fb_admission_control_update_due (const FbAdmissionControl *self, uint64_t now_ms)
{
  uint64_t updated_ms = fb_admission_updated_ms (self->forecasts);
  return updated_ms == 0 || now_ms >= updated_ms + UPDATE_INTERVAL_MS;
}

/* An overload lasts until the notice after the last one that reported it is due, so that a backlog
 * around the limit sends no more than one notice a second either. */
gboolean
fb_admission_control_updated (FbAdmissionControl *self, uint64_t now_ms, FbAdmissionNotice *notice)
{
  uint64_t backlog_ms = fb_admission_backlog_ms (self->forecasts);
  gboolean overloaded = backlog_ms > OVERLOADED_MS;
  gboolean due = self->noticed_ms == 0 || now_ms >= self->noticed_ms + NOTICE_INTERVAL_MS;
  if (!due || (!overloaded && !self->overloaded))
    return FALSE;
  *notice = (FbAdmissionNotice){ .sequence = ++self->sequence,
                                 .overloaded = overloaded,
                                 .changed = overloaded != self->overloaded,
                                 .backlog_ms = backlog_ms };
  self->overloaded = overloaded;
  self->noticed_ms = now_ms;
  return TRUE;
}

/* ---- refused ids ------------------------------------------------------------------------------
 */

static void
forget_oldest (FbAdmissionControl *self)
{
  const Refused *oldest = g_queue_pop_head (&self->order);
  g_hash_table_remove (self->refused, oldest->id);
}

static void
expire_refused (FbAdmissionControl *self, uint64_t now_ms)
{
  const Refused *oldest = NULL;
  while ((oldest = g_queue_peek_head (&self->order)) != NULL
         && now_ms >= oldest->refused_ms + REFUSED_MS)
    forget_oldest (self);
}

static void
forget (FbAdmissionControl *self, Refused *refused)
{
  g_queue_remove (&self->order, refused);
  g_hash_table_remove (self->refused, refused->id);
}

static Refused *
remember (FbAdmissionControl *self, const char *id, uint64_t now_ms)
{
  if (g_hash_table_size (self->refused) >= REFUSED_N)
    forget_oldest (self);
  Refused *refused = g_new0 (Refused, 1);
  refused->id = g_strdup (id);
  refused->first_ms = refused->refused_ms = now_ms;
  g_hash_table_insert (self->refused, refused->id, refused);
  g_queue_push_tail (&self->order, refused);
  return refused;
}

/* ---- admitted ids -----------------------------------------------------------------------------
 */

/* A daemon that was told to store a job may not know whether it is stored, and its caller tries
 * again elsewhere.  So that a refusal is true, an id that was admitted is not refused before every
 * append of the job has ended. */
static void
note_admitted (FbAdmissionControl *self, const char *id, uint64_t now_ms)
{
  uint64_t *at_ms = g_hash_table_lookup (self->admitted, id);
  if (at_ms != NULL)
    return;
  char *key = g_strdup (id);
  at_ms = g_new (uint64_t, 1);
  *at_ms = now_ms;
  g_hash_table_insert (self->admitted, key, at_ms);
  g_queue_push_tail (&self->admitted_order, key);
}

/* Returns: TRUE while ID may not be refused. */
static gboolean
was_admitted (FbAdmissionControl *self, const char *id, uint64_t now_ms)
{
  const char *oldest = NULL;
  while ((oldest = g_queue_peek_head (&self->admitted_order)) != NULL
         && now_ms >= *(uint64_t *) g_hash_table_lookup (self->admitted, oldest) + ADMITTED_MS)
    g_hash_table_remove (self->admitted, g_queue_pop_head (&self->admitted_order));
  return g_hash_table_contains (self->admitted, id);
}

/* ---- decisions --------------------------------------------------------------------------------
 */

/* Returns: when the caller should return: not before a new job like this one would have value, and
 * each caller as much later than the one before it as the work of its job takes. */
static uint64_t
next_slot_ms (FbAdmissionControl *self, const FbAdmissionJob *job,
              const FbAdmissionForecast *forecast, uint64_t now_ms)
{
  const char *name = forecast->is_account_bound ? job->account : "";
  uint64_t *next_ms = g_hash_table_lookup (self->slots_ms, name);
  if (next_ms == NULL)
    {
      next_ms = g_new0 (uint64_t, 1);
      g_hash_table_insert (self->slots_ms, g_strdup (name), next_ms);
    }
  uint64_t slot_ms = MAX (*next_ms, now_ms + forecast->excess_ms);
  slot_ms = CLAMP (slot_ms, now_ms + RETRY_MIN_MS, now_ms + RETRY_MAX_MS);
  *next_ms = slot_ms + forecast->work_off_ms;
  return slot_ms;
}

void
fb_admission_control_decide (FbAdmissionControl *self, const char *id, FbAdmissionJob *job,
                             uint64_t now_ms, FbAdmissionDecision *decision)
{
  expire_refused (self, now_ms);
  *decision = (FbAdmissionDecision){ 0 };
  Refused *refused = g_hash_table_lookup (self->refused, id);
  gboolean at_its_time = refused != NULL && now_ms + EARLY_MS >= refused->return_ms;
  job->first_ms = refused != NULL ? refused->first_ms : now_ms;
  decision->age_ms = now_ms - job->first_ms;
  fb_admission_forecast (self->forecasts, job, at_its_time ? job->first_ms : now_ms, now_ms,
                         &decision->forecast);
  decision->admitted = was_admitted (self, id, now_ms) || decision->forecast.has_value;
  if (decision->admitted)
    {
      note_admitted (self, id, now_ms);
      decision->returned = refused != NULL;
      if (refused != NULL)
        forget (self, refused);
      return;
    }
  if (refused == NULL)
    refused = remember (self, id, now_ms);
  /* A caller that returns early keeps its time. */
  if (refused->return_ms < now_ms + RETRY_MIN_MS)
    refused->return_ms = next_slot_ms (self, job, &decision->forecast, now_ms);
  decision->retry_after_ms = (uint32_t) (refused->return_ms - now_ms);
}
