/* Fault injection: workers and the store reject calls or do not respond to them, workers execute
 * calls late, and the store appends late. */
#include "standin-platform.h"

#include <string.h>

/* Range of the delay between the arrival and the execution of a delayed call. */
#define MIN_DELAY_MS 300
#define MAX_DELAY_MS 5000

typedef struct
{
  gint64 until_ms;                  /* sp_now_ms() when the faults end; 0: no faults */
  guint percent[SP_CALL_OUTCOME_N]; /* of the calls, by outcome; all others are served */
  gint delay_ms;                    /* of late calls; 0: a random one for each */
} FaultRates;

typedef struct
{
  SoupServerMessage *message; /* paused */
  guint k;                    /* index of the worker, or SP_STORE */
  char *path;
  JsonObject *body;     /* of a worker's call */
  GHashTable *query;    /* of an append */
  GBytes *records;      /* of an append */
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
  g_clear_pointer (&call->body, json_object_unref);
  g_clear_pointer (&call->query, g_hash_table_unref);
  g_clear_pointer (&call->records, g_bytes_unref);
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
  rates->delay_ms = (gint) json_object_get_int_member_with_default (settings, "late-ms", 0);
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

static DelayedCall *
delay (SoupServerMessage *message, guint k, const char *path)
{
  DelayedCall *call = g_new0 (DelayedCall, 1);
  call->message = g_object_ref (message);
  call->k = k;
  call->path = g_strdup (path);
  gint delay_ms = fault_rates[k].delay_ms;
  if (delay_ms == 0)
    delay_ms = g_rand_int_range (fault_rand, MIN_DELAY_MS, MAX_DELAY_MS);
  call->execute_at_ms = sp_now_ms () + delay_ms;
  soup_server_message_pause (message);
  g_ptr_array_add (delayed_calls, call);
  return call;
}

void
sp_faults_delay_call (SoupServerMessage *message, guint k, const char *path, JsonObject *body)
{
  delay (message, k, path)->body = json_object_ref (body);
}

void
sp_faults_delay_append (SoupServerMessage *message, const char *path, GHashTable *query,
                        GBytes *records)
{
  DelayedCall *call = delay (message, SP_STORE, path);
  call->query = g_hash_table_ref (query);
  call->records = g_bytes_ref (records);
}

static void
execute (const DelayedCall *call)
{
  if (call->k != SP_STORE)
    {
      sp_worker_execute (call->message, call->k, call->path, call->body, TRUE);
      return;
    }
  (void) sp_store_serve (call->message, call->path, call->query, call->records);
  sp_close_connection (call->message);
}

void
sp_faults_tick (void)
{
  for (guint i = delayed_calls->len; i > 0; i--)
    {
      DelayedCall *call = delayed_calls->pdata[i - 1];
      if (sp_now_ms () < call->execute_at_ms
          || (call->k != SP_STORE && sp_reach_is_suspended (call->k)))
        continue;
      execute (call);
      g_ptr_array_remove_index (delayed_calls, i - 1);
    }
}
