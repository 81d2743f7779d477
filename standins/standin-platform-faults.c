/* Fault injection: workers and the store reject calls or do not respond to them, and workers
 * execute calls late. */
#include "standin-platform.h"

#include <string.h>

/* Range of the delay between the arrival and the execution of a delayed call. */
#define MIN_DELAY_MS 300
#define MAX_DELAY_MS 5000

typedef struct
{
  gint64 until_ms;                  /* sp_now_ms() when the faults end; 0: no faults */
  guint percent[SP_CALL_OUTCOME_N]; /* of the calls, by outcome; all others are served */
} FaultRates;

typedef struct
{
  SoupServerMessage *message; /* paused */
  guint k;                    /* index of the worker */
  char *path;
  JsonObject *body;
  gint64 execute_at_ms; /* by sp_now_ms() */
} DelayedCall;

static FaultRates fault_rates[SP_WORKER_MAX + 1]; /* by worker, and SP_STORE */
static GPtrArray *delayed_calls;                  /* of DelayedCall */
static GRand *fault_rand;

static void
delayed_call_free (gpointer data)
{
  DelayedCall *call = data;
  g_object_unref (call->message);
  g_free (call->path);
  json_object_unref (call->body);
  g_free (call);
}

void
sp_faults_init (void)
{
  delayed_calls = g_ptr_array_new_with_free_func (delayed_call_free);
  fault_rand = g_rand_new_with_seed (1);
}

void
sp_faults_set (guint k, JsonObject *settings)
{
  static const char *const names[SP_CALL_OUTCOME_N]
      = { [SP_CALL_REFUSED] = "refuse", [SP_CALL_UNANSWERED] = "lose", [SP_CALL_DELAYED] = "late" };
  FaultRates *rates = &fault_rates[MIN (k, SP_STORE)];
  rates->until_ms = sp_now_ms () + json_object_get_int_member_with_default (settings, "for-ms", 0);
  for (guint i = SP_CALL_SERVED + 1; i < SP_CALL_OUTCOME_N; i++)
    rates->percent[i] = (guint) json_object_get_int_member_with_default (settings, names[i], 0);
}

void
sp_faults_clear (void)
{
  memset (fault_rates, 0, sizeof fault_rates);
}

SpCallOutcome
sp_faults_draw (guint k)
{
  const FaultRates *rates = &fault_rates[k];
  if (sp_now_ms () >= rates->until_ms)
    return SP_CALL_SERVED;
  guint drawn = (guint) g_rand_int_range (fault_rand, 0, 100);
  for (guint i = SP_CALL_SERVED + 1; i < SP_CALL_OUTCOME_N; i++)
    {
      if (drawn < rates->percent[i])
        return (SpCallOutcome) i;
      drawn -= rates->percent[i];
    }
  return SP_CALL_SERVED;
}

void
sp_faults_delay_call (SoupServerMessage *message, guint k, const char *path, JsonObject *body)
{
  DelayedCall *call = g_new0 (DelayedCall, 1);
  call->message = g_object_ref (message);
  call->k = k;
  call->path = g_strdup (path);
  call->body = json_object_ref (body);
  call->execute_at_ms = sp_now_ms () + g_rand_int_range (fault_rand, MIN_DELAY_MS, MAX_DELAY_MS);
  soup_server_message_pause (message);
  g_ptr_array_add (delayed_calls, call);
}

void
sp_faults_tick (void)
{
  for (guint i = delayed_calls->len; i > 0; i--)
    {
      DelayedCall *call = delayed_calls->pdata[i - 1];
      if (sp_now_ms () < call->execute_at_ms)
        continue;
      sp_worker_execute (call->message, call->k, call->path, call->body);
      g_ptr_array_remove_index (delayed_calls, i - 1);
    }
}
